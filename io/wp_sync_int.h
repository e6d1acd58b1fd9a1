/* Shared by the files that keep a box in sync with the store and other
 * boxes. */
#ifndef WP_SYNC_INT_H
#define WP_SYNC_INT_H

#include "wp_direct_int.h"
#include "wp_staleness.h"
#include "wp_mirror.h"
#include "wp_peers.h"

/* Keys of the router's own store entries. */
#define WP_KEY_PREFIX "wp/"

/* SERVICE: its shift has begun; value "ORDER", the revision of the order. */
#define WP_KEY_SHIFT_BEGAN "wp/began/"
/* SERVICE/BOX: a MoveRecord. */
#define WP_KEY_SHIFT_RECORD "wp/seen/"
/* Hash of a request, in hex: a Suspect; an operator who removes it releases the
   request from quarantine. */
#define WP_KEY_SUSPECT "wp/suspect/"
/* A DutyRecord: the lease of usage reporting. */
#define WP_KEY_REPORT_LEASE "wp/duty/usage"

enum {
    WP_DIGEST_SHIFTS_MAX = 8,
    WP_DIGEST_RELAYED_MAX = 8, /* counts of other boxes */
    WP_DIGEST_FAILING_MAX = 8,
    WP_DIGEST_SESSIONS_MAX = 512, /* of each kind in one digest */
    WP_DIGEST_PREFIXES_MAX = 128
};

/* Numbers in a message for each route (MoveSums.route_counts), and for each
   part of the time (MoveSums.time_counts). */
enum { WP_SHIFT_ROUTE_COUNTS = 4, WP_SHIFT_TIME_COUNTS = 2 };

/* A message with the memory that it points to. */
typedef struct WPShiftSums {
    Wp__MoveSums message;
    uint64_t routes[WP_CANARY_ROUTES_MAX];
    uint32_t route_counts[WP_CANARY_ROUTES_MAX * WP_SHIFT_ROUTE_COUNTS];
    uint32_t time_counts[WP_FAILURE_TIMES * WP_SHIFT_TIME_COUNTS];
    WPSpeedCounts speed, old_speed;
} WPShiftSums;

/* An entry that a transaction writes. */
typedef struct WPSyncWrite {
    char *key;
    GBytes *value; /* NULL: it is removed */
} WPSyncWrite;

struct WPSync {
    /* Memory that the next digest points to. */
    WPShiftSums sums[WP_DIGEST_SHIFTS_MAX];
    Wp__MoveSums *sums_list[WP_DIGEST_SHIFTS_MAX];
    WPShiftSums relayed[WP_DIGEST_RELAYED_MAX];
    Wp__MoveSums *relayed_list[WP_DIGEST_RELAYED_MAX];
    uint64_t bound[WP_DIGEST_SESSIONS_MAX], moved[WP_DIGEST_SESSIONS_MAX];
    uint64_t retired[WP_DIGEST_SESSIONS_MAX];
    uint64_t prefix_replicas[WP_DIGEST_PREFIXES_MAX],
        prefix_keys[WP_DIGEST_PREFIXES_MAX];
    uint32_t prefix_tokens[WP_DIGEST_PREFIXES_MAX];

    WPDirectHost *host;
    uint64_t incarnation; /* of this process, as other boxes know it */
    WPKv *kv;
    WPMirror *mirror;
    WPPeers *peers;
    /* wp_peers_generation() + 1 when the fleet was last given the boxes; 0:
       never */
    uint32_t boxes_generation;
    struct WPZoneUpdates *zone_updates;
    /* a range call is in progress */
    bool reading;
    int64_t read_started_us; /* when it began */
    bool watching;           /* a watch is open */
    /* strings owned by the fleet */
    char *fails_under_load[WP_DIGEST_FAILING_MAX];
    /* the watch was opened to catch up and ends with its first answer */
    bool catching_up;
    WPStaleness staleness;
    /* whether the last call of the store was answered; whether it was ever
       called */
    bool store_up, store_tried;
    /* all entries were received once, from the store or a peer */
    bool complete;
    int64_t retry_us; /* when to call the store again; 0: no retry is due */
    /* when the store was last found to answer none of the boxes, as far as
       this box knows; 0: never */
    int64_t store_unavailable_us;
    int64_t store_changed_us; /* when `store_up` last changed */
    /* since when the store is known to be in a later era than the local copy;
       0: it is not */
    int64_t outdated_us;
    /* when the local copy came to the present era; 0: it began there, or all
       that the store has lost in its restore was settled */
    int64_t restored_us;
    int64_t rewrite_us; /* when to write again what the store has lost */
    bool confirming;    /* the watch asks the store to answer at once */
    unsigned failures;  /* consecutive failed calls */
    /* when to open the watch once more after an interruption; 0: not due */
    int64_t rewatch_us;
    /* everything is read again as a watch broke, or as the store has
       compacted revisions that this box lacks */
    bool watch_broken;
    /* first revision that the watch opened then asks for */
    uint64_t rewatch_revision;
    int64_t tick_us;  /* time of the last tick */
    int64_t start_us; /* when this box started */
    /* reads the store at its start instead of waiting for a full copy from
       others */
    bool reads_first;
    struct WPShiftRecords *shift_records; /* records of running shifts */
    /* updates on requests that crash endpoints */
    struct WPSuspectUpdates *suspect_updates;
    /* updates on what endpoints report of themselves */
    struct WPNoticeUpdates *notice_updates;
    struct WPReports *reports; /* usage reports; NULL: not enabled */
    bool writing;              /* a transaction is in progress */
    GPtrArray *written;        /* of WPSyncWrite: what it writes */
    int64_t write_after_us;    /* no transaction before this time */
    int64_t box_check_us; /* when to look for boxes without a store entry */
    /* when to write the own store entry if no other box has done so */
    int64_t self_write_us;
    /* what to write -> int64_t, when this box writes it */
    GHashTable *write_due;
};

/* wp_store_apply.c: applies a store entry (value NULL: removed). Does
   nothing if the local copy has that revision or a newer one. `lapsed`: the
   entry may have been removed only because its lease expired while the store
   was unavailable. Returns what that has changed in the local copy. */
WPMirrorChange wp_store_apply(WPSync *s, const char *key, const WPStr *value,
                              uint64_t revision, bool lapsed);

/* wp_sync_restore.c: whether this box may write to the store: its copy is
   complete and of the store's present era, so that conditions on its revisions
   hold. */
bool wp_sync_may_write(const WPSync *s);

/* The local copy is complete up to `revision`. Entries that it has from an
   earlier era only have been lost by the store. */
void wp_sync_advance(WPSync *s, uint64_t revision);

/* Removes what a restored store has lost and others have not written again. */
void wp_sync_restore_tick(WPSync *s, WPTime now);

/* Logs another era of the store; a WPKvEraFn. */
void wp_sync_on_era(void *arg, WPStoreEraChange change, const char *text);

/* wp_store_apply.c: counts and logs an item of the store that cannot be
   read. */
void wp_sync_on_bad_item(void *arg, const char *what, const char *why);

/* wp_sync.c: removes the entries that a full copy at `revision` does not have:
   its keys are `keys`. `lapsed`: see wp_store_apply(). */
void wp_sync_remove_missing(WPSync *s, GHashTable *keys, uint64_t revision,
                            bool lapsed);

/* wp_sync.c: whether the store was lately found to answer none of the boxes, so
   that entries whose leases expired meanwhile may come back. */
bool wp_sync_was_store_lost(const WPSync *s);

/* wp_sync.c: the local copy is complete: admits held requests and sends a
   digest. */
void wp_sync_admit(WPSync *s);

/* wp_sync_peers.c: handles what other boxes send. */
extern const WPPeersOps wp_sync_peers_ops;

/* wp_digest.c: merges the digest of another box; see
   WPPeersOps.digest_received. */
void wp_sync_merge_digest(void *arg, const char *from,
                          const Wp__MirrorDigest *d);

/* Adds to a digest what this box sends along; see WPPeersOps.fill_digest. */
void wp_sync_fill_digest(void *arg, Wp__MirrorDigest *d);

/* wp_shift_records.c: records of running shifts in the store, which are kept
   if all boxes are lost. */
struct WPShiftRecords *wp_shift_records_new(void);
void wp_shift_records_free(struct WPShiftRecords *v);

/* Writes the shift record of this box that is oldest, if one is due. */
void wp_shift_records_tick(WPSync *s, WPTime now);

/* Merges the shift record of a box; `what` is "SERVICE/BOX". */
void wp_shift_record_apply(WPSync *s, const char *what, WPStr value);

/* wp_suspect_updates.c: updates and store records on requests during which
   endpoints have crashed (src/wp_suspects.h). */
struct WPSuspectUpdates *wp_suspect_updates_new(WPSync *s);
void wp_suspect_updates_free(struct WPSuspectUpdates *d);

/* Schedules unsent updates, and writes or removes one record in the store if
   that is due. */
void wp_suspect_updates_tick(WPSync *s, WPTime now);

/* Schedules a message to all linked boxes if there are unsent updates: at
   once, or when the interval since the last one has passed. */
void wp_suspect_updates_schedule(struct WPSuspectUpdates *d);

/* Merges a message of the box `from` and schedules the forwarding of what
   was new to this box. */
void wp_suspect_updates_merge(WPSync *s, const char *from,
                              const Wp__SuspectNews *n);

/* Applies a suspect record of the store, or its removal if `value` is NULL.
   `hex` is the hash of the request. */
void wp_suspect_record_apply(WPSync *s, const char *hex, const WPStr *value);

/* Converts the counts that one incarnation has observed of a shift to the
   wire format. */
void wp_shift_sums_encode(const WPShift *sh, uint64_t incarnation,
                          const WPCanarySums *v, WPShiftSums *out);

/* Converts such counts from the wire format. */
WPCanarySums wp_shift_sums_decode(const Wp__MoveSums *m);

/* wp_shift_records.c: merges such counts of the box `box`. Ones that cannot be
   are logged with `from`, which sent them, and counted. Returns whether they
   could be; `is_new`, unless it is NULL, as wp_canary_merge_report() does. */
bool wp_shift_sums_merge(WPSync *s, WPShift *sh, const char *box,
                         const char *from, const Wp__MoveSums *m, bool *is_new);

/* wp_store_writer.c: frees a WPSyncWrite. */
void wp_sync_write_free(void *p);

/* wp_store_writer.c: writes to the store what is due: steps of shifts and the
   entries of boxes. */
void wp_record_tick(WPSync *s, WPTime now);

#endif
