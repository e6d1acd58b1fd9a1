/* Internals of WPEntry, for its parts: the table of endpoints, the choice of
 * version and endpoint, the course of a request, the copies of bills. */
#ifndef WP_ENTRY_INT_H
#define WP_ENTRY_INT_H

#include "wp_entry.h"
#include "wp_guard.h"
#include "wp_idempotency.h"
#include "wp_pb.h"

/* The most retries that the entry's budget can hold. */
#define WP_RETRY_BURST 10.0
/* Of those, the retries that are reserved for workspaces with no more than
   their share of the requests. */
#define WP_RETRY_RESERVE 5.0
/* Recent requests of all workspaces at which all counts are halved, so that old
   requests lose their weight. */
#define WP_TRAFFIC_HALVE_AT 2000.0
/* Retry delay sent to a caller when there is no endpoint, no version or no room
   for bills. */
#define WP_NO_ENDPOINT_RETRY_MS 1000
/* An endpoint is not asked for its load if its last report, or the last probe,
   is newer than this. */
#define WP_PROBE_MIN_INTERVAL_US (100 * WP_US_PER_MS)
/* The largest share of a workspace's requests that may be used to explore, that
   is to learn the quality of a version. */
#define WP_EXPLORE_CAP 0.06

/* WPEndpoints of one version, in this entry's zone and in the others. */
typedef struct WPPool {
    GPtrArray *local, *remote;
} WPPool;

/* Requests of a workspace at this entry. */
typedef struct WPWorkspaceTraffic {
    uint64_t requests; /* in all */
    uint64_t explored; /* of those, used to explore */
    double recent;     /* recent ones; halved with those of all others */
} WPWorkspaceTraffic;

/* A copy of a bill that is not known to be in the store. */
typedef struct WPBillCopy {
    WPList link;
    char *owner; /* id of the agent or entry that made it and has to write it */
    uint64_t incarnation; /* of the owner */
    char *source; /* the entry whose backup this one is; NULL: this one's own
                     copy */
    uint64_t source_incarnation;
    int64_t received_us; /* when it came from there */
    bool sent_to_backup; /* it was sent to this entry's backup entry */
    Wp__Bill *bill;
} WPBillCopy;

struct WPEntry {
    WPNode *node;
    WPPolicy *policy;
    WPBound *bounds; /* wp_quality_table() */
    const WPChooser *chooser;
    WPBalancer *balancer;
    GRand *rand;
    double retry_share;     /* retries earned by each request */
    double retry_tokens;    /* retries that may be made now */
    double recent_requests; /* recent requests of all workspaces; see
                               WPWorkspaceTraffic */
    char *zone;
    GHashTable *endpoints;    /* id -> WPEndpoint */
    GPtrArray *all_endpoints; /* every WPEndpoint that is listed or has requests
                                 in flight */
    WPPool *pools;            /* by version index */
    unsigned n_pools;
    GHashTable *traffic; /* workspace -> WPWorkspaceTraffic */
    WPBills *bills;
    /* WPBillCopy of agents' bills, and those that this entry keeps as the
       backup of others */
    WPList bill_copies;
    WPList own_bills; /* WPBillCopy of its own bills that are not in the store
                         yet */
    /* Wp__SettledUpTo, to be sent to the backup entry */
    GPtrArray *settled_pending;
    char *backup_addr;
    char *backup; /* id of the backup entry, which keeps further copies; NULL:
                     none */
    uint64_t backup_incarnation;
    GHashTable *withdrawn; /* names of versions that were withdrawn at the last
                              refresh */
    uint32_t once_settle_ms;
    bool guard_disabled[WP_GUARD_COUNT]; /* guards that a scenario disabled */
};

/* Brings the endpoints and the pools up to date with the table of boxes. */
void wp_pools_rebuild(WPEntry *e, WPTime now);

/* Frees the pools, but not the endpoints in them. */
void wp_pools_free(WPEntry *e);

/* Frees one WPEndpoint. */
void wp_pools_free_endpoint(WPEndpoint *p);

/* Starts the next attempt, with the version that is chosen: chooses the
   endpoint and counts it as sent. Or returns why there is none. */
WPEntryAction wp_plan_attempt(WPEntry *e, WPTime now, WPRequest *r);

/* Chooses the request's version, by its session or by quality and cost, and
   makes its new session token. */
WPCode wp_plan_version(WPEntry *e, WPTime now, WPRequest *r);

/* To be called when the request's version has no room: changes to another one
   whose lower quality bound meets the kind's target, if there is one, no
   session binds the request and it has not escalated. */
void wp_plan_spill(WPEntry *e, WPTime now, WPRequest *r);

/* The action that ends a request with this code. */
WPEntryAction wp_entry_fail(WPCode code, uint32_t retry_ms);

/* The action to try again shortly, as the owner of the idempotency key is just
   changing. */
WPEntryAction wp_entry_retry_later(void);

/* Whether a refusal because the key owner is changing may be followed by
   wp_entry_retry_later(): the request is non-repeatable, began recently, and
   its deadline leaves time for another try. */
bool wp_may_wait_for_key_owner(const WPRequest *r, WPTime now);

/* wp_workspace_traffic.c: the counts of a workspace, created if missing. */
WPWorkspaceTraffic *wp_workspace_traffic(WPEntry *e, const char *workspace);

/* Counts a new request of the workspace. */
void wp_workspace_traffic_count(WPEntry *e, const char *workspace);

/* Whether the workspace has more than its share, by weight, of the recent
   requests. */
bool wp_workspace_over_share(WPEntry *e, const char *workspace);

/* wp_bill_copies.c: a copy of a bill of that owner, in no list yet. */
WPBillCopy *wp_bill_copy_new(const char *owner, uint64_t incarnation,
                             const Wp__Bill *b);

/* Keeps a copy of the bill that an agent has made for the attempt, by its End
   message. */
void wp_bill_copy_add(WPEntry *e, const WPRequest *r, const Wp__End *end);

/* Removes a copy from its list and frees it. */
void wp_bill_copy_free(WPBillCopy *c);

/* Whether this incarnation of a box has ended, also if another one has
   started. */
bool wp_entry_is_box_gone(const WPEntry *e, const char *id,
                          uint64_t incarnation);

/* Makes a bill of this entry's own for a request whose agent has made none. */
void wp_entry_add_bill(WPEntry *e, WPTime now, const WPRequest *r);

/* wp_bill_backup.c: begins without own bills and without a backup entry. */
void wp_bill_backup_init(WPEntry *e);

/* Frees the copies of this entry's own bills, the notes on settled bills that
   are still to be sent, and what is known of its backup entry. */
void wp_bill_backup_end(WPEntry *e);

/* Notes that bills of that owner up to `upto` are settled, so that the backup
   entry can drop its copies. */
void wp_bill_backup_note_settled(WPEntry *e, const char *owner,
                                 uint64_t incarnation, uint64_t upto);

/* To be called when a copy's owner is gone: whether this entry has to write the
   bill now. A copy that it keeps as a backup waits until that entry is gone
   too; `drop` is set when it has been kept long enough. */
bool wp_bill_backup_is_due(const WPEntry *e, WPTime now, const WPBillCopy *c,
                           bool *drop);

#endif
