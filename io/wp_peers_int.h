/* What wp_peers.c, wp_peers_reach.c and wp_peers_zone.c share. */
#ifndef WP_PEERS_INT_H
#define WP_PEERS_INT_H

#include "wp_lag.h"
#include "wp_link.h"
#include "wp_peers.h"
#include "wp_full_sync_limit.h"

enum {
    WP_PEERS_SILENT_MS = 3000,  /* a link that is silent so long is closed */
    WP_PEERS_CONNECT_MS = 1000, /* between attempts to reach the same box */
    WP_PEERS_ALL_LINKED = 10 /* a zone's boxes are all linked up to this many;
                                beyond, each reaches some at growing distances
                                in the order of ids, and news takes some hops */
};

typedef struct WPPeerMember {
    char *id, *addr, *zone;
    int64_t tried_us;
    int64_t unlinked_us; /* since when there is no link; 0: there is one */
    bool linked;
    uint64_t
        news_no; /* of the last news sent to it: two links may lead there */
    int64_t fed_until_us; /* until then it is sent what is passed on */
    bool heard;           /* a digest has come */
    bool blind;           /* the store does not answer it, by its last digest */
    uint64_t knows;       /* all revisions up to this, by its last digest */
} WPPeerMember;

struct WPPeers {
    WPHub *hub;
    Wp__Member self;
    char *host;
    WPMirror *mirror;
    const WPPeersOps *ops;
    void *arg;
    GHashTable *members; /* id -> WPPeerMember */
    uint32_t changes;    /* of that table */
    GPtrArray *seeds;    /* addresses */
    unsigned n_seeds;
    int64_t digest_us;
    uint64_t told;        /* revision of the last digest */
    bool dirty;           /* a digest is due now */
    bool hurry;           /* digests more often */
    uint32_t patience_ms; /* before the others are asked */
    WPLag lag;            /* revisions that others know and this box does not */
    int64_t pulled_us;
    unsigned pulls; /* in a row that brought nothing */
    uint64_t behind_link;
    WPFullSyncLimit tell;
    int64_t partial_us; /* when a box named those of its zone instead of telling
                           all; 0: none has */
    bool pulls_far;     /* all entries, if need be */
    bool reaches_far;   /* links to other zones, in any case */
    uint32_t entries;   /* the most that another box has told of */
    unsigned linked;
    int64_t seeds_us;
    const WPPeerMember *passer; /* passes news on in this zone; NULL: none is
                                   reached, or this box does */
    bool passes;                /* this box does */
    const WPPeerMember *feeder; /* what is passed on comes from there; NULL:
                                   nothing does */
    bool zone_is_large;         /* its boxes are not all linked */
    int64_t wanted_us;          /* when it was last asked to send it */
    uint64_t news_no;           /* of the last message of news */
};

/* Whether `every_ms` have passed since `at_us`, which is then set to now. */
bool wp_peers_is_due(int64_t *at_us, WPTime now, int64_t every_ms);

/* Links to all boxes that this one is to be linked to, and to the settings'
   when it has none. */
void wp_peers_reach(WPPeers *p, WPTime now);

/* Whether a box comes before this one, in the order by which boxes take on
   work for their zone. */
bool wp_peers_is_before(const WPPeers *p, const WPPeerMember *m);

/* Tries to link to a box, at once if it is this one's turn to dial. */
void wp_peers_dial(WPPeers *p, WPPeerMember *m, WPTime now, bool mine);

/* wp_peers_zone.c: which box passes news on in this zone, and from which one
   this box has it. */
void wp_peers_choose_passer(WPPeers *p, WPTime now);

/* A member is about to be freed. */
void wp_peers_forget_passer(WPPeers *p, const WPPeerMember *m);

/* News along a link: goes on to those that want it from this box. */
void wp_peers_take_news(WPPeers *p, WPLink *l, WPTime now, Wp__ZoneNews *z);

#endif
