/* Shared by wp_peers.c, wp_peers_connect.c and wp_peers_relay.c. */
#ifndef WP_PEERS_INT_H
#define WP_PEERS_INT_H

#include "wp_lag.h"
#include "wp_link.h"
#include "wp_peers.h"
#include "wp_full_sync_limit.h"

enum {
    /* time without data after which a link is closed */
    WP_PEERS_SILENCE_TIMEOUT_MS = 3000,
    /* between attempts to connect to the same box */
    WP_PEERS_RECONNECT_MS = 1000,
    /* up to this many boxes of a zone are all linked to each other; beyond,
       each dials some at growing distances in the order of ids, and updates
       take some hops */
    WP_PEERS_FULL_MESH_MAX = 10
};

typedef struct WPPeerMember {
    char *id, *addr, *zone;
    int64_t dialed_us;
    /* since when there has been no link; 0: there is one */
    int64_t unlinked_us;
    bool linked;
    /* WPPeers.update_no of the last update sent to it, so that it goes only
       once if two links lead there */
    uint64_t last_update_no;
    int64_t child_until_us; /* relayed updates are sent to it until then */
    bool digest_seen;       /* a digest has arrived */
    /* the store does not answer it, from its last digest */
    bool store_unavailable;
    /* it has all revisions up to this one, from its last digest */
    uint64_t revision;
} WPPeerMember;

struct WPPeers {
    WPHub *hub;
    Wp__Member self;
    char *host;
    WPMirror *mirror;
    const WPPeersOps *ops;
    void *arg;
    GHashTable *members; /* id -> WPPeerMember */
    uint32_t generation; /* increases with each change of `members` */
    /* addresses from the settings, dialed while there are no links */
    GPtrArray *seeds;
    unsigned n_seeds;
    int64_t digest_us;
    uint64_t digest_revision; /* unused */
    bool digest_due;          /* a digest is to be sent with the next tick */
    /* digests are sent every 250 ms instead of every second */
    bool fast_digests;
    /* time for which a revision may be missing before it is pulled from
       another box */
    uint32_t pull_delay_ms;
    WPLag lag; /* revisions that others have and this box lacks */
    int64_t pulled_us;
    unsigned unanswered_pulls; /* consecutive pulls without an answer */
    uint64_t ahead_link_id;
    WPFullSyncLimit full_sync_limit;
    /* when a box last named others of this zone to ask instead of sending
       all entries; 0: never */
    int64_t partial_us;
    bool remote_full_pull; /* all entries may be pulled from other zones */
    bool remote_links;     /* links to other zones are kept whatever the rank */
    /* highest number of store entries reported by another box */
    uint32_t max_entries;
    unsigned linked;
    int64_t seeds_dialed_us;
    /* root of this zone's relay tree; NULL: none is linked, or this box is
       it */
    const WPPeerMember *relay_root;
    bool is_relay_root; /* this box is the root */
    /* relayed updates come from it; NULL: there is none */
    const WPPeerMember *relay_parent;
    bool zone_is_large; /* too many boxes for a full mesh */
    /* when it last subscribed at the relay parent */
    int64_t subscribed_us;
    uint64_t update_no; /* number of the last update sent */
};

/* Returns whether `every_ms` have passed since `at_us`, or `at_us` is 0; if
   so, sets it to now. */
bool wp_peers_is_due(int64_t *at_us, WPTime now, int64_t every_ms);

/* Dials all boxes that this one is to be linked to, and the seeds of the
   settings while it has no links. */
void wp_peers_connect(WPPeers *p, WPTime now);

/* Returns whether a box precedes this one in the order in which boxes take
   on work for their zone. */
bool wp_peers_is_before(const WPPeers *p, const WPPeerMember *m);

/* Connects to a box if there is no link and WP_PEERS_RECONNECT_MS have
   passed since the last attempt: at once if `mine`, otherwise only after a
   while, as the other box is expected to connect. */
void wp_peers_dial(WPPeers *p, WPPeerMember *m, WPTime now, bool mine);

/* wp_peers_relay.c: chooses the relay root of this zone and the relay parent
   of this box, and subscribes at the parent. */
void wp_peers_choose_relay(WPPeers *p, WPTime now);

/* Drops references to a member that is about to be freed. */
void wp_peers_forget_relay(WPPeers *p, const WPPeerMember *m);

/* Handles updates of the zone that arrive on a link: records a subscription,
   and relays them to the children. */
void wp_peers_receive_zone_updates(WPPeers *p, WPLink *l, WPTime now,
                                   Wp__ZoneNews *z);

#endif
