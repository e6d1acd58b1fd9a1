/* Endpoints that are called directly, without an agent beside them: which
 * there are, the estimated state of each, and the choice of one for a request.
 * The state comes from the endpoint registry, from the load that answers
 * report, from other boxes, and from how this box's own requests ended. */
#ifndef WP_FLEET_H
#define WP_FLEET_H

#include "wp_demand.h"
#include "wp_latency.h"
#include "wp_registry_entry.h"
#include "wp_notice.h"
#include "wp_pace.h"
#include "wp_placing.h"
#include "wp_silence.h"
#include "wp_stall.h"
#include "wp_prefix_cache.h"

enum { WP_PRIORITIES = 10 };

struct WPCohort;
struct WPColdRule;

enum { WP_MISDIRECTED_MAX = 8 };

/* One incarnation of an endpoint; after a restart it is another one. */
typedef struct WPReplica {
    char *id, *service, *addr, *zone, *version;
    int64_t started_ms;      /* time of day of its start; 0: not known */
    struct WPCohort *cohort; /* of its service and version */
    bool remote_zone;        /* in another zone than this box */
    const char *area;        /* of its zone; interned; NULL: not known */
    uint32_t slots;
    WPEndpointNotices reported; /* by the endpoint itself; see wp_notice.h */
    bool zone_evacuated; /* an operator's order: nothing is sent to its zone */
    bool unreadable;     /* its registry entry cannot be read at present */
    bool gone; /* removed from the registry; kept while requests run on it */
    /* Hashes of the names of the models, the latest first, that requests named
       when it answered that they are not for it; 0: none. Another endpoint has
       its address, or it has not got the model. */
    uint64_t misdirected[WP_MISDIRECTED_MAX];
    /* Since when it has been missing in the registry; 0: it is not missing. */
    int64_t refused_us; /* when it last refused a request as full; 0: never */
    int64_t missing_since_us;
    const struct WPColdRule *cold;      /* of its service */
    int64_t restart_suspected_until_us; /* it may have restarted unnoticed, and
                                           be cold until then */
    WPPace cold_pacing;                 /* this box's latest requests to it */
    int refs; /* references: one of each request on it, one of the fleet */

    /* This box's own requests. */
    uint32_t in_flight;
    uint32_t sent_since_load; /* requests since its latest load report */
    /* Predicted prefill time of this box's requests whose first byte has not
       come. */
    double own_queued_prefill_us;
    /* The same of requests from other boxes of the zone, as of
       `others_prefill_updated_us`. */
    double others_queued_prefill_us;
    int64_t others_prefill_updated_us;
    WPSilence silence;
    WPPrefillPeaks peaks;        /* recent maxima of all prefill queued there */
    WPPrefixCache *prefix_cache; /* prompt prefixes it has cached */
    uint64_t id_hash; /* of its id, the same for all its incarnations */
    /* Of its incarnation; equal to `id_hash` if the time of its start is not
       known. */
    uint64_t incarnation_hash;
    double fail_rate; /* moving average over ended requests, 0 to 1 */
    int64_t fail_rate_updated_us; /* when `fail_rate` was last updated */
    /* Moving average of its observed over the predicted time to first byte; 1:
       as predicted. */
    double latency_ratio;
    uint32_t consecutive_failures;
    int64_t avoid_until_us;
    bool has_responded; /* to a request of this box */
} WPReplica;

/* How one request ended at one endpoint. */
typedef enum WPAttemptOutcome {
    WP_OUTCOME_OK,
    WP_OUTCOME_REFUSED, /* the endpoint reported that it did not run it */
    /* The same, with a request for back-off; not counted as a failure. */
    WP_OUTCOME_BACKOFF,
    WP_OUTCOME_FAILED,        /* an error of its own, or no complete answer */
    WP_OUTCOME_STREAM_BROKEN, /* its stream was cut off: the endpoint may have
                                 crashed */
    WP_OUTCOME_NO_RESPONSE,   /* not reachable, or no response in time */
    /* Given up by the caller or by this box: tells nothing about the
       endpoint. */
    WP_OUTCOME_ABANDONED,
    WP_OUTCOME_MISDIRECTED /* it was not for this endpoint */
} WPAttemptOutcome;

/* Whether requests may be sent to a version now. */
typedef bool (*WPVersionFilterFn)(void *arg, const char *version);

/* The requirements of a request on its endpoint, and the properties of the
   request that the endpoints' scores depend on. */
typedef struct WPEndpointQuery {
    const char *service;
    const char *version; /* only this one; NULL: those that `allowed` admits */
    WPVersionFilterFn allowed; /* NULL: all versions */
    void *allowed_arg;
    const char *zone;     /* of this box */
    uint64_t named_model; /* hash of the name that the request has; 0: any */
    /* The following are set for engines; `prompt` is NULL for other
       endpoints. */
    const WPPrompt *prompt;
    uint64_t model;     /* hash of its name */
    WPTtfbModel *ttfb;  /* for that model; NULL: not known */
    double ttfb_weight; /* of a second of time to first byte, in score units */
    WPPlacing placing;
    const WPStallModel
        *stalls;            /* of streams, by queued prefill; NULL: not known */
    double max_stall_us;    /* longest event gap that is not a stall */
    double stall_weight;    /* of one stream that stalls, in score units */
    uint64_t memory_tokens; /* of each endpoint; 0: not known */
    uint32_t body_bytes;    /* sent to the endpoint */
    WPReplica *const *tried; /* not chosen again */
    size_t n_tried;
    bool non_repeatable; /* must not be repeated: failures weigh more */
    /* Endpoints that have crashed during this request. */
    unsigned endpoint_losses;
    /* An endpoint that is preferred, by the hash of its incarnation, as its
       answer shows whether it has crashed; 0: none. */
    uint64_t verify;
    int priority;  /* 0 is the most urgent */
    bool fill;     /* rather few endpoints half full than all less */
    double random; /* of the request, uniform in [0, 1) */
    /* The only areas where the request may be served, by its route and by its
       caller: of char *; NULL or empty: all areas. */
    const GPtrArray *areas, *caller_areas;
} WPEndpointQuery;

/* Weights of an endpoint's score; 1 is the score of a fully utilized
   endpoint. */
typedef struct WPFleetRules {
    const char *own_zone; /* of this box; interned; NULL: none */
    /* For another zone: traffic between zones is paid for. */
    double zone_weight;
    /* The same for engines, for each KB sent there. */
    double zone_weight_per_kb;
    /* The same for requests with WPPlacing: there the bytes are cheap against
       the engine time that a cached prompt saves. */
    double placing_zone_weight_per_kb;
    /* Bonus of the affinity endpoint, which all boxes prefer for a shared
       prompt. */
    double affinity_weight;
    /* For each 1,000 shared tokens that have to be prefilled again. */
    double prefill_weight_per_kt;
    /* For each 1,000 cached tokens that are transferred from another engine;
       0: there are no transfers. */
    double transfer_weight_per_kt;
    double cold_overshoot, cold_slack; /* see WPPaceRules */
    bool track_prefixes; /* record which prompt prefixes engines have cached */
    double stall_weight; /* for what a stalled stream loses in value */
    double slow_weight;  /* for each unit of `latency_ratio` above 1 */
    /* Candidates sampled at random in addition to the affinity endpoint; 0:
       all endpoints. */
    uint32_t choices;
} WPFleetRules;

typedef struct WPFleet WPFleet;
struct WPBoxUpdates;

/* Returns a new fleet without endpoints; `seed` is of its random choices. */
WPFleet *wp_fleet_new(uint32_t seed);
void wp_fleet_free(WPFleet *f);

/* Sets the weights of the scores; `rules` is copied. */
void wp_fleet_set_rules(WPFleet *f, const WPFleetRules *rules);

/* Takes a registry entry that wp_registry_entry_invalid_field() accepts;
   returns true if it changes what is known. An entry with a later start, or
   another address, zone or service, is of a new incarnation, which starts with
   new state. An entry with an earlier start is outdated and ignored. */
bool wp_fleet_put(WPFleet *f, WPTime now, const WPRegistryEntry *l);

/* The endpoint's registry entry cannot be read: nothing is sent to it until it
   can be. */
void wp_fleet_set_unreadable(WPFleet *f, const char *id);

/* Begins or ends the evacuation of a zone, an operator's order that nothing is
   sent to its endpoints. Returns true if that changes its state. */
bool wp_fleet_set_zone_evacuated(WPFleet *f, WPTime now, const char *zone,
                                 bool evacuated);

/* Sets the area in which a zone lies. */
void wp_fleet_set_area(WPFleet *f, const char *zone, const char *area);

/* Whether the areas of the route and of the caller both allow the request to
   be served by the endpoint. */
bool wp_fleet_in_areas(const WPEndpointQuery *q, const WPReplica *s);

/* Whether the request's service has registered endpoints, all of them in areas
   where the request must not be served. */
bool wp_fleet_all_outside_areas(WPFleet *f, const WPEndpointQuery *q);

/* Sets how the endpoints of a service start: each takes `per_s` requests a
   second while it is cold (0: any number), and is cold for `start_s` after a
   suspected restart. */
void wp_fleet_set_cold_rule(WPFleet *f, const char *service, double per_s,
                            double start_s);

/* Sets the boxes that send requests to these endpoints: this one, the `n`
   others that are known, and the least number that there is, known or not. */
void wp_fleet_set_boxes(WPFleet *f, const WPPaceBox *self,
                        const WPPaceBox *others, size_t n, unsigned min);

/* Whether the endpoint has just started and takes few requests. */
bool wp_fleet_is_cold(const WPReplica *s, WPTime now);

/* Whether the service has endpoints in evacuated zones. */
bool wp_fleet_has_evacuated_endpoints(WPFleet *f, const char *service);

/* Calls `fn` for each evacuated zone. */
void wp_fleet_each_evacuated_zone(WPFleet *f,
                                  void (*fn)(void *arg, const char *zone),
                                  void *arg);

/* The endpoint's entry is missing in the registry. With `uncertain` the
   registry itself may have lost entries: the endpoint stays in use until
   wp_fleet_tick() removes it after a grace period. */
void wp_fleet_remove(WPFleet *f, WPTime now, const char *id, bool uncertain);

/* Removes endpoints whose grace period is over, and forgets old rate limits. */
void wp_fleet_tick(WPFleet *f, WPTime now);

/* Returns the endpoint with this id; NULL: not known. */
WPReplica *wp_fleet_find(WPFleet *f, const char *id);

/* Calls `fn` with `arg` for each endpoint, in no particular order. */
void wp_fleet_each(WPFleet *f, void (*fn)(void *arg, WPReplica *s), void *arg);

/* Number of the service's endpoints that can take the request, apart from
   exclusions that end by themselves. */
unsigned wp_fleet_count_eligible(WPFleet *f, const WPEndpointQuery *q);

/* Utilization of all these endpoints together: 0 to 1, above with a queue; 1
   if there are none. */
double wp_fleet_service_utilization(WPFleet *f, WPTime now,
                                    const WPEndpointQuery *q);

/* Returns the endpoint with the lowest score for a request, with a reference
   for the caller; NULL if there is none. */
WPReplica *wp_fleet_choose(WPFleet *f, WPTime now, const WPEndpointQuery *q);

/* Estimated number of requests at the endpoint, from all boxes. */
double wp_fleet_load_of(const WPReplica *s, WPTime now);

/* Whether the endpoint would most likely refuse a request as full: all its
   slots are taken, and it has refused requests for that lately. */
bool wp_fleet_refuses_now(const WPReplica *s, WPTime now);

/* Utilization: that number over the endpoint's slots; above 1 with a queue. */
double wp_fleet_utilization(const WPReplica *s, WPTime now);

/* Takes and drops a reference. */
WPReplica *wp_replica_ref(WPReplica *s);
void wp_replica_unref(WPReplica *s);

/* Returns the work that the endpoint has before the first byte of this
   request, and sets `source` to the endpoint from which it should fetch the
   cached prompt prefix, or NULL. */
WPTtfbInputs wp_fleet_ttfb_inputs(WPFleet *f, WPTime now,
                                  const WPEndpointQuery *q, const WPReplica *s,
                                  const WPReplica **source);

/* A prompt prefix that an engine has cached after a request of a box, as boxes
   send it to each other. */
typedef struct WPCachedPrefixUpdate {
    uint64_t replica; /* hash of its incarnation */
    uint64_t key;     /* from wp_prefix_cache_key() */
    uint32_t tokens;
} WPCachedPrefixUpdate;

/* Moves up to `max` prefixes that have not been sent to other boxes to `out`;
   they then count as sent. Returns their number. */
size_t wp_fleet_take_unsent_prefixes(WPFleet *f, WPCachedPrefixUpdate *out,
                                     size_t max);

/* Merges a prefix that another box has sent. */
void wp_fleet_merge_cached_prefix(WPFleet *f, WPTime now,
                                  const WPCachedPrefixUpdate *n);

/* Records that a request is sent to the endpoint chosen for it; `prefill_us`
   is the predicted prefill time of its prompt there. */
void wp_fleet_request_sent(WPFleet *f, WPReplica *s, WPTime now,
                           const WPEndpointQuery *q, double prefill_us);

/* Records that the first byte of an answer came after `took_us`. `prefill_us`
   is what was passed for its request to wp_fleet_request_sent(), `expected_us`
   the predicted time to first byte; 0: no comparison. */
void wp_fleet_first_byte(WPFleet *f, WPReplica *s, WPTime now,
                         double prefill_us, int64_t took_us,
                         int64_t expected_us);

/* Records that a request has ended without a first byte, before
   wp_fleet_request_ended(). */
void wp_fleet_no_first_byte(WPReplica *s);

/* Records that the endpoint answered that a request which names this model is
   not for it. Until its entry is written anew, or it answers such a request, it
   gets no more of them. */
void wp_fleet_record_misdirected(WPReplica *s, uint64_t model);
void wp_fleet_forget_misdirected(WPReplica *s, uint64_t model);

/* Whether it is known that requests which name this model are not for it. */
bool wp_fleet_is_misdirected(const WPReplica *s, uint64_t model);

/* Records how a request ended at the endpoint. */
void wp_fleet_request_ended(WPReplica *s, WPTime now, WPAttemptOutcome outcome);

/* Records an answer of an endpoint, or a failure of its own, with its
   utilization when the request was sent. Some versions fail only on half-full
   endpoints: such endpoints are then avoided while others have free slots. */
void wp_fleet_record_answer(WPFleet *f, WPTime now, const WPReplica *s,
                            double utilization, bool failed);

/* Records that another box has found a version to fail under load. */
void wp_fleet_merge_fails_under_load(WPFleet *f, WPTime now,
                                     const char *service, const char *version);

/* Calls `fn` with "SERVICE VERSION" for each version that this box itself has
   found to fail under load. */
void wp_fleet_each_failing_under_load(WPFleet *f, WPTime now,
                                      void (*fn)(void *arg, const char *key),
                                      void *arg);

/* Whether a version is known to fail under load. */
bool wp_fleet_fails_under_load(WPFleet *f, WPTime now, const char *service,
                               const char *version);

/* Whether the version fails under load and the service's endpoints are so
   full, on the whole, that it should get less work. */
bool wp_fleet_should_reduce_load(WPFleet *f, WPTime now,
                                 const WPEndpointQuery *q, const char *version);

/* An idle connection to the endpoint was closed before its time: it may have
   restarted, which the registry shows some tenths of a second later. */
void wp_fleet_idle_connection_lost(WPReplica *s, WPTime now);

/* Sets the load that the endpoint has reported: requests running and waiting,
   and its slots (0: as before). */
void wp_fleet_set_load(WPReplica *s, WPTime now, uint32_t running,
                       uint32_t waiting, uint32_t slots);

/* Takes the endpoint's report of how long work takes there, in hundredths of
   the usual time. The value changes many times a second; its moving average is
   used. */
void wp_fleet_record_slowdown(WPReplica *s, uint32_t percent);

/* wp_fleet_limit.c: endpoints' own rate limits.

   What an answer changed about its endpoint's rate limit. */
typedef enum WPLimitChange {
    WP_LIMIT_UNCHANGED,
    WP_LIMIT_CHANGED, /* a first limit, another one, or none any more */
    /* An invalid field that should be logged; it counts as no limit. */
    WP_LIMIT_REPORT_INVALID
} WPLimitChange;

/* The report of an answer about its endpoint's rate limit. */
typedef struct WPLimitReport {
    WPLimitField field;
    /* The answer carries the endpoint's seal: only then the absence of the
       field counts. */
    bool has_seal;
    int64_t sent_us; /* when its request was sent */
} WPLimitReport;

/* Takes such a report. */
WPLimitChange wp_fleet_record_limit(WPFleet *f, WPReplica *s, WPTime now,
                                    const WPLimitReport *report);

/* The rate limit known to be in force, in requests a second; 0: none. */
double wp_fleet_limit_of(const WPReplica *s);

/* A rate limit as boxes send it to each other; see WPLimit. */
typedef struct WPLimitUpdate {
    uint64_t endpoint; /* hash of its incarnation */
    double per_s;      /* 0: it has no limit any more */
    uint32_t sequence;
    uint64_t origin_box;
} WPLimitUpdate;

/* Takes in a limit from another box. Returns the endpoint if that changes what
   is known, which is then sent on to other boxes; else NULL. */
WPReplica *wp_fleet_merge_limit(WPFleet *f, WPTime now, const WPLimitUpdate *n);

/* Moves the limits that are due to be sent to other boxes to `out`; they then
   count as sent. */
size_t wp_fleet_take_unsent_limits(WPFleet *f, WPTime now, WPLimitUpdate *out,
                                   size_t max);

/* Whether limits are still to be sent to other boxes, due or not. */
bool wp_fleet_has_unsent_limits(const WPFleet *f);

/* Calls `fn` for all known limits, for a box that joins. */
void wp_fleet_each_limit(WPFleet *f,
                         void (*fn)(void *arg, const WPLimitUpdate *n),
                         void *arg);

/* The boxes' demand by service, from which quotas are computed. */
WPDemand *wp_fleet_demand(WPFleet *f);

/* Gets the next rate of this box's zone that is due to be sent to other boxes;
   returns false if there is none. */
bool wp_fleet_take_unsent_zone_demand(WPFleet *f, WPTime now,
                                      WPDemandUpdate *out);

/* Counts a caller's request for a service. */
void wp_fleet_count_request(WPFleet *f, WPTime now, const char *service);

/* Records that a request is refused because rate limits alone exclude it from
   endpoints. Returns after how many ms its caller should retry. */
struct WPExcludedEndpoints;
uint32_t wp_fleet_limit_refused(WPFleet *f, WPTime now,
                                const WPEndpointQuery *q,
                                const struct WPExcludedEndpoints *excluded);

/* wp_fleet_notice.c: endpoints that are draining, and endpoints that asked
   this box for back-off. */

/* Records that an answer of the endpoint reports that it is draining. Returns
   true if it is registered and was not known to be draining before. */
bool wp_fleet_record_draining(WPFleet *f, WPReplica *s, WPTime now);

/* Records that the endpoint has asked this box to send nothing for `backoff_s`
   seconds. Returns true if it is registered and was not backing off before. */
bool wp_fleet_record_backoff(WPFleet *f, WPReplica *s, WPTime now,
                             double backoff_s);

/* The endpoint sent a field that cannot be read; returns whether to log it. */
bool wp_fleet_should_report_bad_field(WPReplica *s, WPTime now);

/* Merges that an endpoint has reported to another box to be draining. Returns
   the endpoint if that changes what is known, which is then sent on; else NULL.
 */
WPReplica *wp_fleet_merge_draining(WPFleet *f, WPTime now,
                                   uint64_t incarnation);

/* Moves the hashes of draining incarnations that have not been sent to other
   boxes to `out`; they then count as sent. */
size_t wp_fleet_take_unsent_draining(WPFleet *f, uint64_t *out, size_t max);

/* Whether draining incarnations are left that have not been sent to other
   boxes. */
bool wp_fleet_has_unsent_draining(const WPFleet *f);

/* Calls `fn` for all draining incarnations, for a box that joins. */
void wp_fleet_each_draining(WPFleet *f,
                            void (*fn)(void *arg, uint64_t incarnation),
                            void *arg);

/* Whether the endpoint has asked this box to send nothing at present. */
bool wp_fleet_is_backing_off(const WPReplica *s, WPTime now);

/* Returns an endpoint whose back-off has ended, each once, with a reference
   for the caller; NULL if there is none. */
WPReplica *wp_fleet_next_backoff_ended(WPFleet *f, WPTime now);

/* A back-off as a box sends it to those that it has links to: the endpoint is
   likely to refuse their requests as well. */
typedef struct WPBackoffUpdate {
    uint64_t endpoint; /* hash of its incarnation */
    uint32_t left_ms;
} WPBackoffUpdate;

/* Takes in a back-off from another box: it lowers the endpoint's score but
   does not exclude it. */
void wp_fleet_merge_backoff(WPFleet *f, WPTime now, const WPBackoffUpdate *n);

/* Moves the back-offs that are due to be sent to other boxes to `out`; they
   then count as sent. */
size_t wp_fleet_take_unsent_backoffs(WPFleet *f, WPTime now,
                                     WPBackoffUpdate *out, size_t max);

/* Whether back-offs are still to be sent to other boxes, due or not. */
bool wp_fleet_has_unsent_backoffs(const WPFleet *f);

/* How many endpoints are draining and backing off at present. */
typedef struct WPNoticeCount {
    unsigned draining, backing_off;
} WPNoticeCount;

/* Counts the endpoints that are draining, and those that are backing off. */
WPNoticeCount wp_fleet_count_notices(const WPFleet *f, WPTime now);

/* wp_fleet_exclusion.c: why no request, or no further one, is to be sent to an
   endpoint. */
typedef enum WPExclusion {
    WP_NOT_EXCLUDED,
    /* Gone, its registry entry is unreadable, or another endpoint has its
       address. */
    WP_EXCLUDED_UNREGISTERED,
    WP_EXCLUDED_ZONE,
    WP_EXCLUDED_DRAINING,
    /* The following end by themselves. */
    WP_EXCLUDED_BACKOFF,
    WP_EXCLUDED_COLD, /* this box's quota for the cold endpoint is used up */
    WP_EXCLUDED_LIMIT /* the same for its rate limit */
} WPExclusion;

/* Why the request may not be sent to the endpoint now. Each code path that
   sends requests to endpoints asks this. */
WPExclusion wp_fleet_exclusion(WPFleet *f, WPTime now, const WPEndpointQuery *q,
                               WPReplica *s);

/* The endpoints that only one temporary exclusion keeps from a request. */
typedef struct WPExcludedEndpoints {
    const WPReplica *endpoint; /* the first to become available; NULL: none */
    int64_t next_send_us;      /* when it does; INT64_MAX: not for this box */
    /* Of WP_EXCLUDED_LIMIT: the rate at which this box may send to all of them
       together. */
    double own_per_s;
} WPExcludedEndpoints;

/* Finds the endpoints that the request matches and that this exclusion alone
   keeps from it; returns false if there are none. */
bool wp_fleet_find_excluded(WPFleet *f, WPTime now, const WPEndpointQuery *q,
                            WPExclusion exclusion, WPExcludedEndpoints *out);

/* wp_fleet_updates.c: state that the boxes of a zone share. Sets where updates
   for the other boxes are collected; NULL: nowhere. */
void wp_fleet_set_updates(WPFleet *f, struct WPBoxUpdates *updates);

/* Finds an endpoint by the hash of its incarnation, or of its id, as sent by
   boxes that do not know incarnations; NULL: not known. */
WPReplica *wp_fleet_by_hash(WPFleet *f, uint64_t hash);

/* As wp_fleet_set_load(), with an update for the other boxes. */
void wp_fleet_record_load(WPFleet *f, WPReplica *s, WPTime now,
                          uint32_t running, uint32_t waiting, uint32_t slots);

/* Merges that another box has sent the endpoint a request whose prompt takes
   `prefill_us` to prefill, as predicted. */
void wp_fleet_merge_sent(WPReplica *s, WPTime now, double prefill_us);

/* Merges that another box has received the first byte of an answer.
   `prefill_us`: the same as in wp_fleet_merge_sent(). */
void wp_fleet_merge_first_byte(WPReplica *s, WPTime now, double prefill_us);

/* Sends the other boxes of the zone a time to first byte that this box has
   measured. */
void wp_fleet_share_ttfb(WPFleet *f, const WPTtfbSample *t);

/* Sets what is called for each such time that another box has measured. */
typedef void (*WPTtfbFn)(void *arg, const WPTtfbSample *t);
void wp_fleet_set_ttfb_listener(WPFleet *f, WPTtfbFn fn, void *arg);

/* Merges such a time. */
void wp_fleet_merge_ttfb(WPFleet *f, const WPTtfbSample *t);

/* Merges a load report that another box has received from the endpoint; ignored
   while a load report of at most 40 ms of age is known here already. */
void wp_fleet_merge_load(WPReplica *s, WPTime now, uint32_t running,
                         uint32_t waiting);

/* Estimated prefill time queued at the endpoint before a new request. */
double wp_fleet_queued_prefill_us(const WPReplica *s, WPTime now);

#endif
