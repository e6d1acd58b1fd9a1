/* What the parts that keep in step with the store share. */
#ifndef WP_SYNC_INT_H
#define WP_SYNC_INT_H

#include "wp_direct_int.h"
#include "wp_staleness.h"
#include "wp_mirror.h"
#include "wp_peers.h"

/* Entries of the system itself. */
#define WP_KEY_BEGAN                                                           \
    "wp/began/"                /* of a service: its move has begun; "ORDER"    \
                                */
#define WP_KEY_SEEN "wp/seen/" /* SERVICE/BOX: a MoveRecord */
#define WP_KEY_SUSPECT                                                         \
    "wp/suspect/" /* hash of a request, in hex: a Suspect; an operator who     \
                     removes it lets the request in again */

#define WP_KEY_DUTY "wp/duty/usage" /* a DutyRecord */

enum {
    WP_MOVES_TOLD = 8,
    WP_LOADED_TOLD = 8,
    WP_SESSIONS_TOLD = 512, /* of each kind in one digest */
    WP_KEPT_TOLD = 128
};

struct WPSync {
    /* What the next digest points to. */
    Wp__MoveSums sums[WP_MOVES_TOLD], *sums_list[WP_MOVES_TOLD];
    uint64_t bound[WP_SESSIONS_TOLD], moved[WP_SESSIONS_TOLD];
    uint64_t left[WP_SESSIONS_TOLD];
    uint64_t kept_at[WP_KEPT_TOLD], kept_prefix[WP_KEPT_TOLD];
    uint32_t kept_tokens[WP_KEPT_TOLD];

    WPDirectHost *host;
    uint64_t life; /* of this process, as boxes tell of it */
    WPKv *kv;
    WPMirror *mirror;
    WPPeers *peers;
    uint32_t boxes_known; /* one more than wp_peers_changes() when the
                             fleet was told; 0: it was not */
    struct WPZone *zone;
    bool reading;                 /* a range is under way */
    int64_t read_us;              /* since when */
    bool watching;                /* a watch is under way */
    char *loaded[WP_LOADED_TOLD]; /* told with the digest; the fleet's */
    bool catching_up;             /* it is to end with its first answer */
    WPStaleness fresh;
    bool up, tried;    /* the store's last answer; whether it was ever asked */
    bool complete;     /* the store or a peer has told everything once */
    int64_t retry_us;  /* when to read again; 0: not waiting */
    int64_t away_us;   /* when the store last answered no box, as far as is
                          known */
    int64_t turned_us; /* when it last began or ceased to answer this one */
    bool looking;      /* the watch is to be answered at once */
    unsigned failures; /* of calls, in a row */
    int64_t again_us;  /* when to ask once more after a break; 0: not */
    bool broken;       /* all is read as a watch broke, or as the store has
                          forgotten what this box lacks */
    uint64_t again_from; /* for all since this revision */
    int64_t tick_us;     /* the last tick's time */
    int64_t start_us;    /* when this box started */
    bool reads_first;    /* the store, at its start: it waits for nobody */
    struct WPSeen *seen; /* what is kept of moves that run */
    struct WPSuspectNews
        *suspect_news;                 /* news of requests that end endpoints */
    struct WPNoticeFlood *notice_news; /* of what endpoints say of themselves */
    struct WPReports *reports;         /* of usage; NULL: none are due */
    bool writing;                      /* a transaction is under way */
    int64_t write_after_us;
    int64_t boxes_us;  /* when to look for boxes without a record */
    int64_t self_us;   /* from when on to write the own record, if no other box
                          has */
    GHashTable *turns; /* what to write -> int64_t, when this box does */
};

/* wp_news.c: takes one entry of the store (value NULL: removed); older ones
   than known change nothing. `lapsed`: it may have been removed only because
   the store was away. */
void wp_news_take(WPSync *s, const char *key, const WPStr *value,
                  uint64_t revision, bool lapsed);

/* wp_sync_peers.c: what comes from other boxes. */
extern const WPPeersOps wp_sync_peers_ops;

/* wp_digest.c: what another box tells with its digest, and what this one does;
   see WPPeersOps. */
void wp_sync_hear(void *arg, const char *from, const Wp__MirrorDigest *d);
void wp_sync_fill(void *arg, Wp__MirrorDigest *d);

/* wp_seen.c: what outlasts a loss of all boxes of a move that runs. */
struct WPSeen *wp_seen_new(void);
void wp_seen_free(struct WPSeen *v);
void wp_seen_tick(WPSync *s, WPTime now);

/* Takes the record of a box; `what` is SERVICE/BOX. */
void wp_seen_take(WPSync *s, const char *what, WPStr value);

/* wp_suspect_news.c: news and records of requests under which endpoints have
   ended (src/wp_suspects.h). */
struct WPSuspectNews *wp_suspect_news_new(WPSync *s);
void wp_suspect_news_free(struct WPSuspectNews *d);
void wp_suspect_news_tick(WPSync *s, WPTime now);
void wp_suspect_news_wake(struct WPSuspectNews *d);
void wp_suspect_news_heard(WPSync *s, const char *from,
                           const Wp__SuspectNews *n);

/* Takes a record of the store; NULL: it has been removed. */
void wp_suspect_news_take(WPSync *s, const char *hex, const WPStr *value);

/* The sums of one life, on the wire. */
void wp_move_sums_fill(const WPShift *sh, uint64_t life, const WPCanarySums *v,
                       Wp__MoveSums *out);
WPCanarySums wp_move_sums_read(const Wp__MoveSums *m);

/* wp_record.c: writes what this box has to tell. */
void wp_record_tick(WPSync *s, WPTime now);

#endif
