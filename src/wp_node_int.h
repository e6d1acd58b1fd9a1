/* Internals of WPNode, shared by wp_node.c, wp_node_gossip.c and
 * wp_node_store.c. */
#ifndef WP_NODE_INT_H
#define WP_NODE_INT_H

#include "wp_guard.h"
#include "wp_node.h"
#include "wp_pb.h"

/* Interval at which a designated box confirms with the store that it has the
   newest revision. */
#define WP_CONFIRM_INTERVAL_US (2 * WP_US_PER_S)
/* Age of the last confirmation after which every box polls the store itself. */
#define WP_CONFIRM_OVERDUE_US (15 * WP_US_PER_S)
/* Store reads per second of all boxes that are not designated, together. */
#define WP_FLEET_READS_PER_S 400
/* First and longest back-off if the store does not answer. */
#define WP_STORE_RETRY_US (250 * WP_US_PER_MS)
#define WP_STORE_RETRY_MAX_US (20 * WP_US_PER_S)
#define WP_RATINGS_INTERVAL_US (1 * WP_US_PER_S)
#define WP_PULL_MIN_INTERVAL_US (50 * WP_US_PER_MS)
/* Number of peers that are asked for the configuration at start-up. */
#define WP_START_PEERS 5
/* At start-up the peers are asked first, and the store after this time. */
#define WP_START_PEER_WAIT_US (200 * WP_US_PER_MS)
/* A peer's confirmation of the newest revision is as good as the store's own
   answer if it is not older than this. */
#define WP_START_CONFIRM_MAX_AGE_US (5 * WP_US_PER_S)
/* A box that is missing from the platform's list is gone if it has been known
   for longer than this. */
#define WP_LIST_GRACE_US (10 * WP_US_PER_S)

struct WPNode {
    Wp__NodeSettings *settings; /* owned copy */
    Wp__Member *self;
    char *addr;
    GRand *rand;
    WPConfig *config;
    WPMembers *members;
    WPQuality *quality;
    WPPolicy *policy;
    WPEvents *events;
    WPCounters counters;
    WPList actions;
    bool ready, box_list_seen; /* box_list_seen: the platform's list of boxes
                                  has been received */
    /* Store. */
    bool store_up, store_polled, watching, reading_all;
    bool confirm_overdue; /* the last confirmation is too old, and a poll of the
                             store is scheduled */
    int64_t head_due_us, head_pause_us;
    uint64_t store_head_revision; /* highest revision received from the store */
    int64_t confirmed_us;
    bool confirmed;
    int64_t boxes_due_us, ratings_due_us;
    /* Peers. */
    int64_t gossip_due_us;
    int64_t pulled_us;
    uint64_t peer_hashes[WP_START_PEERS]; /* hashes of distinct peers that have
                                             answered */
    unsigned peers_answered, peers_asked;
    int64_t started_us;
    /* Ranks in the zone, valid while the membership table has this hash. */
    uint64_t rank_hash;
    unsigned rank_any, rank_entry;
};

/* Queues an action and returns it, for its other members to be set. */
WPAction *wp_node_queue_action(WPNode *n, WPActionKind kind);

/* Queues a frame to the peer at `addr`; sets the revision that the frame
   carries. */
void wp_node_send(WPNode *n, const char *addr, Wp__Frame *f);

/* The configuration has changed, by the change `d` or, if that is NULL, by a
   full copy. Pushes `d` to random peers; `hops` counts the boxes that it has
   passed. */
void wp_node_config_changed(WPNode *n, WPTime now, const Wp__Delta *d,
                            unsigned hops);

/* The local configuration was the newest at `at_us`; an earlier time than the
   one on record is ignored. */
void wp_node_note_confirmed(WPNode *n, int64_t at_us);

/* Queues the reads of the store, of the list of boxes and of the ratings that
   are due, and starts or ends the watch. */
void wp_node_store_tick(WPNode *n, WPTime now);

/* Queues WP_ACT_READY once the configuration is known to be the newest. */
void wp_node_check_ready(WPNode *n, WPTime now);

/* Returns the address of a random live peer, or of a seed if no peer is found;
   NULL if there is neither. */
const char *wp_node_random_peer(WPNode *n);

/* Counts distinct peers that have answered, up to WP_START_PEERS. */
void wp_node_note_peer(WPNode *n, const char *from);

/* Sends a peer a digest of the local state; each side then sends what the other
   lacks. `reply`: this digest answers the peer's, and is not answered
   itself. */
void wp_node_send_digest(WPNode *n, WPTime now, const char *addr, bool reply);

/* Sends a membership record to random peers. */
void wp_node_push_member(WPNode *n, const Wp__Member *m);

/* Requests the missing configuration changes from a peer and, if `members` is
   true, the membership table. */
void wp_node_pull(WPNode *n, const char *from, bool members);

/* Returns a random time from 0 to `span_us`, so that boxes do not all act at
   the same time. */
int64_t wp_node_jitter(WPNode *n, int64_t span_us);

#endif
