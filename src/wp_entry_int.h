/* The insides of WPEntry, for its parts: table of endpoints, plan of a
 * request, course of a request, copies of bills. */
#ifndef WP_ENTRY_INT_H
#define WP_ENTRY_INT_H

#include "wp_entry.h"
#include "wp_guard.h"
#include "wp_once.h"
#include "wp_pb.h"

#define WP_RETRY_BURST 10.0
/* Of those, what is kept for workspaces that ask for little. */
#define WP_RETRY_KEPT 5.0
/* How many requests back a workspace's use is remembered. */
#define WP_USE_MEMORY 2000.0
#define WP_NO_ENDPOINT_RETRY_MS 1000
#define WP_PROBE_FRESH_US (100 * WP_US_PER_MS)
/* Of a workspace's requests, the most that may go to learning. */
#define WP_EXPLORE_CAP 0.06

/* Endpoints of one version: `near` in the own zone, `far` in others. */
typedef struct WPPool {
    GPtrArray *near, *far;
} WPPool;

typedef struct WPUse {
    uint64_t requests, explored;
    double recent; /* requests, fading with all others' */
} WPUse;

/* A copy of a bill that its owner has not yet settled. */
typedef struct WPBillCopy {
    WPList link;
    char *owner; /* the agent that made it, or this entry itself */
    uint64_t incarnation;
    char *from; /* the entry that sent it here to be kept; NULL: this one's */
    uint64_t from_incarnation;
    int64_t since_us; /* when it came here */
    bool told;        /* this entry's witness has it */
    Wp__Bill *bill;
} WPBillCopy;

struct WPEntry {
    WPNode *node;
    WPPolicy *policy;
    WPBound *bounds;
    const WPChooser *chooser;
    WPBalancer *balancer;
    GRand *rand;
    double retry_share, retry_tokens;
    double recent; /* of all workspaces */
    char *zone;
    GHashTable *endpoints; /* id -> WPEndpoint */
    GPtrArray *all;        /* every WPEndpoint ever made and still in use */
    WPPool *pools;         /* by version index */
    unsigned n_pools;
    GHashTable *uses; /* workspace -> WPUse */
    WPBills *bills;
    WPList copies;      /* of agents' bills: this entry's, and those it keeps */
    WPList own;         /* of its own bills that are not in the store yet */
    GPtrArray *settled; /* of Wp__SettledUpTo, for the witness */
    char *witness_addr;
    char *witness; /* id of the entry that keeps copies; NULL: none */
    uint64_t witness_incarnation;
    GHashTable *withdrawn; /* names withdrawn at the last refresh */
    uint32_t once_settle_ms;
    bool off[WP_GUARD_COUNT]; /* guards that a scenario switched off */
};

void wp_pools_rebuild(WPEntry *e, WPTime now);
void wp_pools_free(WPEntry *e);
void wp_pools_drop(WPEndpoint *p); /* frees one endpoint's view */

/* Chooses version and endpoint for the present leg. */
WPStep wp_plan(WPEntry *e, WPTime now, WPRequest *r);
WPCode wp_plan_version(WPEntry *e, WPTime now, WPRequest *r);

/* Its version has no room: takes another that surely meets the target, if
   there is one and no session binds the request. */
void wp_plan_spill(WPEntry *e, WPTime now, WPRequest *r);
WPStep wp_final(WPCode code, uint32_t retry_ms);

/* A key's keeper is changing: the next one is asked again shortly. */
WPStep wp_later(void);
bool wp_may_wait_for_keeper(const WPRequest *r, WPTime now);

WPUse *wp_use_of(WPEntry *e, const char *workspace);
void wp_use_note(WPEntry *e, const char *workspace);
bool wp_use_is_much(WPEntry *e, const char *workspace);

/* wp_copies.c */
WPBillCopy *wp_copy_new(const char *owner, uint64_t incarnation,
                        const Wp__Bill *b);
void wp_copy_add(WPEntry *e, const WPRequest *r, const Wp__End *end);
void wp_copy_drop(WPBillCopy *c);
/* Whether a box has ended, or started again since. */
bool wp_copy_is_gone(const WPEntry *e, const char *id, uint64_t incarnation);
void wp_bill_own(WPEntry *e, WPTime now, const WPRequest *r);

/* wp_witness.c */
void wp_witness_init(WPEntry *e);
void wp_witness_end(WPEntry *e);
void wp_witness_settled(WPEntry *e, const char *owner, uint64_t incarnation,
                        uint64_t upto);
/* Whether a copy that is kept for another entry is this one's to write now;
   `drop`: it is not needed any more. */
bool wp_witness_is_due(const WPEntry *e, WPTime now, const WPBillCopy *c,
                       bool *drop);

#endif
