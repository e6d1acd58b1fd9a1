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
    WPTtfbFn ttfb_listener; /* NULL: none */
    void *ttfb_listener_arg;
    /* For the boxes of the zone; NULL: none collected. */
    struct WPBoxUpdates *updates;
};

/* wp_fleet_learn.c: the endpoint may have restarted, and may be cold until the
   registry shows its start. */
void wp_fleet_suspect_restart(WPReplica *s, WPTime now);

/* wp_fleet_limit.c: when this box may send its next request to the endpoint
   under the endpoint's rate limit, in monotonic microseconds; 0: the endpoint
   has no limit; INT64_MAX: not before this box has another quota. */
int64_t wp_fleet_limit_next_send_us(WPFleet *f, WPTime now, const WPReplica *s);

/* How many requests per second this box may send to an endpoint that has
   reported a limit; 0: the endpoint sets none any more. */
double wp_fleet_limit_own_rate(WPFleet *f, WPTime now, const WPReplica *s);

/* Whether the request has to leave the slots of endpoints with rate limits to
   more urgent requests: some of these for the same service were refused within
   the last second because of such limits. Applies only to a share of the less
   urgent requests, chosen by `q->random`, so that none starves. */
bool wp_fleet_limit_yields(WPFleet *f, WPTime now, const WPEndpointQuery *q);

/* Keeps the demand of services active whose endpoints have limits, and forgets
   limits that ended long ago. */
void wp_fleet_tick_limits(WPFleet *f, WPTime now);

/* Applies the limit that was received from another box before the endpoint was
   registered, if there is one. */
void wp_fleet_merge_early_limit(WPFleet *f, WPTime now, const WPReplica *s);

/* Removes what is known of the endpoint's limit. */
void wp_fleet_forget_limit(WPFleet *f, WPReplica *s);

/* wp_fleet_notice.c: the reports of an incarnation outlive its registry entry,
   which may expire and be restored; a new incarnation has reported nothing. */

/* Applies the saved draining state and back-off of an endpoint that is
   registered again, if its incarnation has any. */
void wp_fleet_restore_notices(WPFleet *f, WPReplica *s);

/* Saves the draining state and back-off of an endpoint whose registry entry is
   removed, for wp_fleet_restore_notices(). */
void wp_fleet_save_notices(WPFleet *f, WPTime now, const WPReplica *s);

/* Removes the endpoint from the lists of draining endpoints and back-offs. */
void wp_fleet_forget_notices(WPFleet *f, WPReplica *s);

/* wp_fleet_exclusion.c: the endpoint's exclusion if it is one that does not end
   by itself; otherwise WP_NOT_EXCLUDED. */
WPExclusion wp_fleet_lasting_exclusion(const WPReplica *s);

/* Whether the endpoint has a version and an area that the request allows, and
   was not tried for it before. Exclusions do not count. */
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
