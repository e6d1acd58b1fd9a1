/* The insides of WPNode, for its parts: life, peers, store. */
#ifndef WP_NODE_INT_H
#define WP_NODE_INT_H

#include "wp_guard.h"
#include "wp_node.h"
#include "wp_pb.h"

/* How often a box on duty makes sure that it knows the newest revision. */
#define WP_CONFIRM_US (2 * WP_US_PER_S)
/* After this long without any confirmation every box asks for itself. */
#define WP_CONFIRM_LATE_US (15 * WP_US_PER_S)
/* Reads a second that boxes without a turn may ask for, all together. */
#define WP_FLEET_READS_PER_S 400
#define WP_STORE_RETRY_US (250 * WP_US_PER_MS)
#define WP_STORE_RETRY_MOST_US (20 * WP_US_PER_S)
#define WP_RATINGS_US (1 * WP_US_PER_S)
#define WP_PULL_GAP_US (50 * WP_US_PER_MS)
/* Peers asked for the configuration at a start. */
#define WP_START_PEERS 5
/* At a start the peers are asked first; the store after this long. */
#define WP_START_PATIENCE_US (200 * WP_US_PER_MS)
/* A peer's word of the newest revision is as good as the store's own when it
   is this young. */
#define WP_START_FRESH_US (5 * WP_US_PER_S)
/* A box known for this long that the platform's list lacks is gone. */
#define WP_LIST_GRACE_US (10 * WP_US_PER_S)

struct WPNode {
    Wp__NodeSettings *settings; /* own copy */
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
    bool ready, listed; /* listed: the list of boxes has been seen */
    /* Store. */
    bool store_up, store_asked_once, watching, reading_all;
    bool late; /* no confirmation for long; its asking is planned */
    int64_t head_due_us, head_pause_us;
    uint64_t head_seen; /* highest revision the store has shown */
    int64_t confirmed_us;
    bool confirmed;
    int64_t boxes_due_us, ratings_due_us;
    /* Peers. */
    int64_t gossip_due_us;
    int64_t pulled_us;
    uint64_t heard[WP_START_PEERS]; /* hashes of peers heard at the start */
    unsigned peers_heard, peers_asked;
    int64_t started_us;
    /* Ranks in the zone, good while the table of boxes has this hash. */
    uint64_t rank_hash;
    unsigned rank_any, rank_entry;
};

WPAction *wp_node_act(WPNode *n, WPActionKind kind);
void wp_node_send(WPNode *n, const char *addr, Wp__Frame *f);
void wp_node_changed(WPNode *n, WPTime now, const Wp__Delta *d, unsigned hops);
void wp_node_confirm(WPNode *n, int64_t at_us);
void wp_node_store_tick(WPNode *n, WPTime now);
void wp_node_check_ready(WPNode *n, WPTime now);
const char *wp_node_random_peer(WPNode *n);
void wp_node_heard(WPNode *n, const char *from);
/* Compares knowledge with a peer; `reply` ends the exchange. */
void wp_node_exchange(WPNode *n, WPTime now, const char *addr, bool reply);
void wp_node_push_member(WPNode *n, const Wp__Member *m);
void wp_node_pull(WPNode *n, const char *from, bool members);

/* Up to `most` of the span, at random, so that boxes do not act as one. */
int64_t wp_node_jitter(WPNode *n, int64_t span_us);

#endif
