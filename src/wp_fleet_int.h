/* Declarations shared by the wp_fleet*.c files. */
#ifndef WP_FLEET_INT_H
#define WP_FLEET_INT_H

#include "wp_engine_cost.h"

#include <math.h>

/* The endpoints of one service and version: mean state of those in this box's
   zone, whose load is known here. */
typedef struct WPCohort {
    double utilization;       /* mean share of slots taken */
    double queued_prefill_us; /* mean prefill time queued */
    int64_t updated_us;       /* when these were computed */
} WPCohort;

/* How the endpoints of a service start. */
typedef struct WPColdRule {
    double per_s; /* requests that a cold one takes; 0: any number */
    int64_t start_us;
} WPColdRule;

struct WPFleet {
    int64_t start_us; /* when the first registry entry came; 0: none has */
    WPPaceBoxes boxes;
    GHashTable *cold;    /* service -> WPColdRule */
    GHashTable *cohorts; /* "SERVICE VERSION" -> WPCohort */
    /* "SERVICE VERSION" -> LoadedAnswers of wp_fleet_learn.c. */
    GHashTable *answers_by_load;
    int64_t fails_under_load_until_us; /* latest time until which a version
                                          counts as failing under load */
    GHashTable *by_id;
    GHashTable *by_service; /* name -> GPtrArray of WPReplica */
    GHashTable *by_hash; /* by the hash of incarnation and of id -> WPReplica */
    GHashTable *evacuated_zones; /* set of names */
    GHashTable *areas;           /* zone -> area, interned */
    /* WPCachedPrefixUpdate, not sent to other boxes yet. */
    GArray *unsent_prefixes;
    GPtrArray *limited; /* WPReplica with a known limit, present or past */
    bool limits_unsent;
    GPtrArray *draining; /* WPReplica whose report of draining is known */
    bool draining_unsent;
    /* WPReplica, until the end of its back-off is logged. */
    GPtrArray *backing_off;
    GPtrArray *unsent_backoffs; /* WPReplica whose back-off is to be sent to
                                   other boxes */
    bool backoffs_unsent;
    /* Hash of an incarnation -> Unregistered, of wp_fleet_notice.c. */
    GHashTable *unregistered;
    /* Hash of an incarnation that is not registered -> WPLimitUpdate. */
    GHashTable *early_limits;
    GHashTable *limit_sums; /* WPLimit.place -> ZoneLimit of wp_fleet_limit.c */
    GHashTable *refusals;   /* service -> Refusals: for rate limits */
    WPDemand *demand;
    GRand *rand;
    WPFleetRules rules;
    /* For the boxes of the zone; NULL: none collected. */
    struct WPBoxUpdates *updates;
};

/* wp_fleet_learn.c: the endpoint may have restarted, and may be cold until the
   registry shows its start. */
void wp_fleet_suspect_restart(WPReplica *s, WPTime now);

/* wp_fleet_limit.c: when the endpoint's rate limit allows this box's next
   request; how many requests a second this box may send there; whether the
   request leaves such an endpoint's slots to more urgent ones. */
int64_t wp_fleet_limit_next_send_us(WPFleet *f, WPTime now, const WPReplica *s);
double wp_fleet_limit_own_rate(WPFleet *f, WPTime now, const WPReplica *s);
bool wp_fleet_limit_yields(WPFleet *f, WPTime now, const WPEndpointQuery *q);
/* Keep demand rates up to date for endpoints with limits, and forget limits
   that ended long ago; take in a limit received before the endpoint was
   registered; remove the limit of an endpoint that is removed. */
void wp_fleet_tick_limits(WPFleet *f, WPTime now);
void wp_fleet_merge_early_limit(WPFleet *f, WPTime now, const WPReplica *s);
void wp_fleet_forget_limit(WPFleet *f, WPReplica *s);

/* wp_fleet_notice.c: what an incarnation has reported outlives its registry
   entry, which may expire and be restored; a new incarnation has reported
   nothing. */
void wp_fleet_restore_notices(WPFleet *f, WPReplica *s);
void wp_fleet_save_notices(WPFleet *f, WPTime now, const WPReplica *s);
void wp_fleet_forget_notices(WPFleet *f, WPReplica *s);

/* wp_fleet_exclusion.c: an exclusion that does not end by itself, or none;
   whether the endpoint has the version and area for the request and was not
   tried by it, whatever excludes it. */
WPExclusion wp_fleet_lasting_exclusion(const WPReplica *s);
bool wp_fleet_matches(const WPEndpointQuery *q, const WPReplica *s);

/* The endpoints (WPReplica) of a service, an empty list if it is not known
   yet. */
GPtrArray *wp_fleet_service_endpoints(WPFleet *f, const char *service);

/* wp_fleet_updates.c: the endpoint's cohort, by its service and version. */
WPCohort *wp_fleet_cohort(WPFleet *f, const WPReplica *s);

/* Updates the cohorts of a service's endpoints unless that was done just
   now. */
void wp_fleet_refresh_cohorts(WPTime now, const GPtrArray *list);

/* Whether the endpoint's latest load report is recent enough to be used. */
bool wp_fleet_is_load_fresh(const WPReplica *s, WPTime now);

/* Adds an update for the other boxes: the endpoint is sent one more request,
   by this box or another one, with this predicted prefill time. */
void wp_fleet_add_sent_update(WPFleet *f, const WPReplica *s,
                              double prefill_us);

/* The endpoint's failure rate as of now: old failures decay. */
double wp_fleet_fail_rate(const WPReplica *s, WPTime now);

#endif
