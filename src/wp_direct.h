/* Direct mode, in which an entry calls endpoints without agents: its state
 * (WPDirect), and the decisions on one request (WPFlow): which endpoint and
 * model it goes to, and what follows from each answer, failure and time-out. No
 * sockets and no clocks: the caller moves the bytes and passes the time. */
#ifndef WP_DIRECT_H
#define WP_DIRECT_H

#include "wp_retry_budget.h"
#include "wp_cascade.h"
#include "wp_code.h"
#include "wp_counters.h"
#include "wp_fleet.h"
#include "wp_notice.h"
#include "wp_route.h"
#include "wp_shift.h"
#include "wp_startup.h"
#include "wp_suspect_keys.h"

/* Whether the time of a service's engines counts as scarce. */
typedef enum WPContention {
    WP_CONTENTION_OFF,
    WP_CONTENTION_ON,
    /* If its endpoints report how long work takes: their speed changes. */
    WP_CONTENTION_AUTO
} WPContention;

typedef struct WPDirectRules {
    WPContention contention;
    uint64_t box; /* hash of this box's id */
    const char *zone;
    WPRetryBudgetRules retry_budget;
    /* the longest time between requests of a session */
    uint32_t session_idle_ms;
    WPExposureLimit exposure; /* of new versions */
    WPCascadeRules cascade;
    double contended_strain_weight; /* in place of that of `cascade` */
    WPFleetRules fleet;
    /* weight of a second until the first byte, in slots for each unit of value
       that engines produce in that time */
    double first_byte_weight;
} WPDirectRules;

typedef struct WPDirect {
    WPDirectRules rules;
    WPRoutes *routes; /* NULL: none are known yet */
    WPFleet *fleet;
    WPShifts *shifts;
    WPSuspects *suspects;
    struct WPUsage *usage; /* counts requests for usage reports; not owned,
                              NULL: none are made */
    WPCounters counters;
    WPStartup startup;
    unsigned boxes; /* entries that share the retry budget, with this one */
    /* since when retry budgets are filled: the start of this process, or
       earlier if no process of the system came before it */
    int64_t retries_since_us;
    GHashTable *retry_budgets; /* service -> WPRetryBudget */
    GHashTable *sessions;      /* hash of the id -> WPSessionRecord */
    GHashTable
        *ttfb_models;      /* "SERVICE MODEL" or "ROUTE MODEL" -> WPTtfbModel */
    GHashTable *quartiles; /* the same -> WPQuartiles */
    GHashTable *quality;   /* route -> WPGoodShare, of the smallest model */
    double target_ratio;   /* mean of recent times to first byte, as parts of
                              their targets */
    WPValueRate value_rate;
    WPStallModel stalls;
    GHashTable *irregular_routes; /* interned names: the ids of their events
                                     ascend by unlike steps */
    GHashTable *uneven_services;  /* interned names: their endpoints report how
                                     long work takes */
    int64_t tick_us;              /* of the last tick; 0: none */
    int64_t expired_us;           /* when sessions and suspects last expired */
    GRand *rand;
} WPDirect;

/* `chart` gives the stages of shifts and must outlive `d`; `seed` is of the
   random choices. */
void wp_direct_init(WPDirect *d, const WPDirectRules *rules,
                    const Wp__Chart *chart, uint32_t seed);

/* Frees what `d` owns, but not `d` itself. */
void wp_direct_end(WPDirect *d);

/* This is the first start of the whole system, so that nothing was taken of the
   retry budgets before: they begin with a window's slack. */
void wp_direct_note_first_start(WPDirect *d);

/* Takes over a table of routes, with the caller's reference. Returns false, and
   drops it, if its version is not newer than the known one, so that a table
   which was replaced never comes back into force. */
bool wp_direct_set_routes(WPDirect *d, WPRoutes *t);

/* Whether the time of the service's engines counts as scarce. */
bool wp_direct_is_contended(const WPDirect *d, const char *service);

/* Records that an endpoint of the service reports how long work takes there.
   Returns whether the service counts as contended from now on and did not
   before. */
bool wp_direct_note_uneven(WPDirect *d, const char *service);

/* The state of a session that is sent to the other boxes. */
typedef enum WPSessionUpdate {
    /* it was lately on the old version and stays there; sent while a shift is
       in its first half */
    WP_SESSION_UPDATE_BOUND,
    WP_SESSION_UPDATE_MOVED, /* it is on the new one; sent until the shift
                                covers all sessions */
    /* it was lately on a version that a completed shift has retired; see
       wp_flow_session_bound_ms() for what follows */
    WP_SESSION_UPDATE_RETIRED
} WPSessionUpdate;

/* Writes the hashes of up to `max` sessions of which this has not been sent to
   the other boxes yet to `out`, and marks them as sent. Returns how many. */
size_t wp_direct_take_unsent_sessions(WPDirect *d, WPTime now,
                                      WPSessionUpdate what, uint64_t *out,
                                      size_t max);

/* Merges the state of a session that another box has sent. The state known from
   this box's own requests prevails. */
void wp_direct_merge_session(WPDirect *d, WPTime now, WPSessionUpdate what,
                             uint64_t session);

/* Whether the ids of events on the route are known to ascend by unlike steps;
   wp_direct_note_irregular_ids() makes it known. */
bool wp_direct_has_irregular_ids(const WPDirect *d, const char *route);
void wp_direct_note_irregular_ids(WPDirect *d, const char *route);

/* Removes expired sessions, suspects and endpoints; to be called several times
   a second. */
void wp_direct_tick(WPDirect *d, WPTime now);

/* A caller's request, decoded. The strings need only be valid during the call
   that they are passed to. */
typedef struct WPDirectRequest {
    WPStr id;
    WPStr host, path;
    WPStr key;     /* empty: none was sent */
    WPStr session; /* id of its session; empty: none */
    WPStr model;   /* empty: none was named */
    WPPrompt prompt;
    uint32_t body_bytes;
    uint64_t content_hash;  /* hash of method, target and body */
    uint32_t answer_tokens; /* the caller's estimate, or the maximum that it
                               allows */
    uint32_t deadline_ms;   /* how long the caller waits; 0: not known */
    /* milliseconds until this box stops; 0: it is not draining */
    uint32_t box_stops_in_ms;
    bool resumes; /* the caller resumes a stream after `after_event` */
    uint64_t after_event;
} WPDirectRequest;

/* The next action for a request. */
typedef enum WPFlowActionKind {
    WP_FLOW_SEND, /* send it to `replica`, to which the flow holds a reference
                     until the attempt has ended */
    WP_FLOW_WAIT, /* ask again by wp_flow_on_wait_end() in `retry_ms` */
    WP_FLOW_FORWARD, /* forward the attempt's answer to the caller */
    WP_FLOW_HOLD, /* no routes are known yet: hold it until wp_flow_admit(), for
                     `retry_ms` at the most */
    WP_FLOW_FAIL, /* answer the caller with `code` */
    WP_FLOW_ABORT /* the caller has part of an answer: abort that */
} WPFlowActionKind;

/* Why an attempt is made. */
typedef enum WPAttemptReason {
    WP_ATTEMPT_FIRST,
    WP_ATTEMPT_RETRY,    /* the attempt before failed or was refused */
    WP_ATTEMPT_ESCALATE, /* the answer before was not good enough */
    WP_ATTEMPT_RESUME    /* the stream before broke off */
} WPAttemptReason;

typedef struct WPFlowAction {
    WPFlowActionKind kind;
    WPReplica *replica;
    WPStr model; /* to name to the endpoint; empty: as the caller named it */
    WPAttemptReason reason;
    /* address of an endpoint with more of the prompt in its prefix cache, from
       which the replica is to fetch it; NULL: none */
    const char *prefix_source;
    uint32_t budget_ms; /* what is left until the deadline */
    /* how long to wait for the first byte before another endpoint is tried; 0:
       until the deadline */
    uint32_t first_byte_timeout_ms;
    WPCode code;
    uint32_t retry_ms; /* FAIL: when the caller may try again, 0: none is
                          suggested; HOLD: see there */
    /* FAIL: the excluded endpoint that would be free first; valid until the
       next call only; NULL: none */
    const WPReplica *excluded;
    WPExclusion exclusion; /* why that is excluded */
    /* FAIL: key of the suspect, the request or a part of its prompt, for which
       it is not sent; 0: none */
    uint64_t suspect;
} WPFlowAction;

/* The head of an endpoint's answer, decoded. */
typedef struct WPDirectAnswer {
    int status;
    bool until_close; /* it has neither a length nor chunks, and ends with its
                         connection */
    bool has_length;  /* it has a Content-Length */
    bool is_event_stream; /* its body is text/event-stream */
    bool not_run;        /* the endpoint says that it did not run the request */
    bool wrong_endpoint; /* the request is not for the endpoint: another one has
                            this address now, or it has not got the model */
    bool has_seal;  /* carries the endpoint's seal, so the endpoint itself has
                       sent it */
    int confidence; /* the model's own estimate that it is good, 0 to 100; -1:
                       none */
    WPNoticeStatus load_status;
    WPLoadReport load; /* of the endpoint */
    WPLimitField limit;
    WPNoticeField draining;
    WPNoticeField backoff; /* counts only if the answer is a refusal */
} WPDirectAnswer;

/* How an attempt was lost, that is ended without a complete answer. */
typedef enum WPAttemptLoss {
    WP_LOSS_UNSENT,    /* nothing of the request was sent */
    WP_LOSS_NO_ANSWER, /* it may have run; no answer has begun */
    WP_LOSS_BROKEN,    /* the answer broke off */
    WP_LOSS_INVALID    /* the answer broke the protocol: its endpoint is alive
                          and faulty */
} WPAttemptLoss;

enum { WP_FLOW_TRIED_MAX = 8 }; /* endpoints that a flow remembers */

enum { WP_ATTEMPT_GAPS = 24 }; /* gaps between events that an attempt keeps */

/* One attempt at an endpoint. */
typedef struct WPAttempt {
    WPReplica *replica; /* NULL: no attempt is under way */
    int64_t sent_us;
    int64_t first_byte_us; /* when its first byte came */
    uint64_t events;       /* events of its stream that have come */
    /* The first times between two of them, each divided by the number of events
       that came after it. */
    uint32_t gaps_us[WP_ATTEMPT_GAPS];
    unsigned n_gaps;
    /* Of the last of these: all of the time, the events after it, and whether
       several of them came together. */
    uint64_t gap_total_us, gap_events;
    bool gap_held;
    bool first_byte_seen; /* its first byte has come */
    bool until_close;     /* of its answer: see WPDirectAnswer */
    bool ran_long; /* wp_flow_note_long_run() has cleared the prompt's parts */
    bool cold;     /* its endpoint had started lately */
    bool busy; /* its endpoint was so full, or had started so lately, that it
                  may be slow */
    /* what the endpoint has to do before the first byte, as known when the
       attempt was sent */
    WPTtfbInputs ttfb_inputs;
    double expected_ttfb_us; /* time to first byte predicted from that; 0: not
                                known */
    double prefill_us;  /* the part of that for the prefill of its own prompt */
    double utilization; /* share of the endpoint's slots that were taken when it
                           was sent */
    bool loaded;        /* that share was WP_FLOW_LOADED_SHARE or more */
    double running;     /* requests that its endpoint ran, by the head of the
                           answer, else as far as known when it was sent */
    double slowdown;    /* how long work takes at its endpoint, by the head of
                           the answer, against the usual; 0: not reported */
    bool speed_sampled; /* its time was compared with the usual one */
    bool sampled;       /* counted for the check of a shift's new version */
    bool old_version; /* counted among the attempts on a shift's old version */
} WPAttempt;

/* One request in direct mode. */
typedef struct WPFlow {
    WPDirect *direct;
    WPRoutes *routes; /* the table in force when it was admitted; a reference */
    const WPRoute *route;
    const WPService *service;
    char *id, *model;
    const char *workspace; /* NULL: anonymous */
    /* where the caller's requests may be served; see WPEndpointQuery */
    const GPtrArray *areas;
    int priority;     /* 0 is the most urgent */
    uint64_t session; /* key of its session at its service; 0: none */
    uint64_t hash; /* of workspace, method, host, path and body: the same each
                      time that the caller sends the request */
    WPSuspectKeys suspects; /* what it may be suspect for */
    WPPrompt prompt;
    uint32_t answer_tokens, body_bytes;
    double draw;     /* at random in [0, 1); see wp_fleet_limit_yields() */
    double position; /* wp_direct_session_position() of the session, or of the
                        request's id */
    int64_t start_us, deadline_us;
    unsigned step;         /* index of the present model in the route's list */
    unsigned attempts_run; /* ended attempts that may have run */
    unsigned attempts_refused;           /* ended attempts that did not run */
    WPAttempt attempt;                   /* the one under way */
    WPReplica *tried[WP_FLOW_TRIED_MAX]; /* endpoints of ended attempts, a
                                            reference to each */
    size_t n_tried;
    bool answer_started;      /* the caller has been sent part of an answer */
    const char *answer_fault; /* why the last answer is not valid, though it is
                                 HTTP; NULL: it is */
    bool lost_place; /* it is not known after which event of the stream another
                        endpoint would have to go on */
    bool began_with_events;    /* its head is of text/event-stream */
    bool began_with_length;    /* its head has a Content-Length */
    bool endpoint_failed;      /* the caller gets an endpoint's own failure */
    bool first_byte_timed_out; /* it left an endpoint whose first byte was
                                  overdue; once at the most, but for contended
                                  services */
    bool has_waited;    /* for a slot of a full endpoint; once at the most */
    bool usage_counted; /* as usage of its workspace */
    /* nothing of the last attempt was sent, so that another one is no repeat */
    bool unsent;
    /* the retry budget has refused it another attempt */
    bool retry_budget_spent;
    /* why no attempt followed the last one that failed, as a word for the log;
       NULL: one did, or none was needed */
    const char *not_retried;
    /* endpoints that count as lost while they ran it */
    unsigned endpoints_lost;
    /* when the last event of its stream came; 0: none has */
    int64_t last_event_us;
    double speed_ratio; /* of the last attempt that was compared, as in
                           WPAttempt; 0: none was */
    int64_t max_gap_us; /* the longest time between two events */
    /* Endpoint of a shift's new version that it failed at, not counted yet: an
       attempt on the old version shows whether it fails there too. A reference;
       NULL: none. */
    WPReplica *canary_failure;
    bool canary_failure_loaded; /* that endpoint was loaded */
    const char *kept_reason;    /* why the answer of a smaller model was not
                                   escalated; NULL: it was, or there is none */
    char *fails_loaded; /* a version that this request has shown to fail under
                           load, on half-full endpoints; to be reported, NULL:
                           none */
} WPFlow;

/* Makes the flow of a new request and decides on its first action. To be freed
   with wp_flow_free() after its last action. */
WPFlow *wp_flow_begin(WPDirect *d, WPTime now, const WPDirectRequest *request,
                      WPFlowAction *out);

/* Decides on a request that was held, once the routes are known. */
void wp_flow_admit(WPFlow *f, WPTime now, const WPDirectRequest *request,
                   WPFlowAction *out);

/* The time for which a request was held is over: refuses it. */
void wp_flow_hold_timeout(WPFlow *f, WPFlowAction *out);

/* Changes in the known state of an endpoint, caused by the head of its
   answer. */
typedef struct WPHeadChanges {
    bool draining;  /* it drains now, and did not before */
    bool backoff;   /* the same of a back-off that it asks for */
    bool contended; /* its service counts as contended from now on */
    /* whether its limit has changed, or could not be read */
    WPLimitChange limit;
    double previous_limit; /* the limit before, in requests a second; 0: none */
    const char *bad_field; /* name of a notice that could not be read, to be
                              logged; NULL: none */
} WPHeadChanges;

/* The head of any answer to this attempt has come. Its report on the endpoint
   counts from now on, whatever becomes of the answer. */
void wp_flow_on_head(WPFlow *f, WPTime now, const WPDirectAnswer *a,
                     WPHeadChanges *out);

/* The head of a stream that succeeds, or any other answer completely, has come,
   after wp_flow_on_head(). Decides whether it is forwarded. */
void wp_flow_on_answer(WPFlow *f, WPTime now, const WPDirectAnswer *a,
                       WPFlowAction *out);

/* Usual time between two events of the present attempt's stream, without those
   during which its engine read prompts, in microseconds; 0: not known. */
double wp_flow_usual_gap_us(const WPFlow *f);

/* The wait of WP_FLOW_WAIT is over. */
void wp_flow_on_wait_end(WPFlow *f, WPTime now, WPFlowAction *out);

/* The stream cannot be resumed any more: it is not known which of its events
   the caller has. */
void wp_flow_lose_place(WPFlow *f);

/* The attempt ended without a complete answer. */
void wp_flow_on_lost(WPFlow *f, WPTime now, WPAttemptLoss how,
                     WPFlowAction *out);

/* The attempt's first byte is overdue. Returns false if the caller is to go on
   waiting for it; else the attempt has ended and `out` is what follows. */
bool wp_flow_on_first_byte_timeout(WPFlow *f, WPTime now, WPFlowAction *out);

/* The deadline of the caller or of the route has passed. */
void wp_flow_on_deadline(WPFlow *f, WPTime now, WPFlowAction *out);

/* `events` of this attempt's stream have come so far, the last of them now. */
void wp_flow_on_events(WPFlow *f, WPTime now, uint64_t events);

/* The caller has the complete answer; `events` of a stream came from this
   attempt. */
void wp_flow_on_done(WPFlow *f, WPTime now, uint64_t events);

/* The caller has closed its connection. */
void wp_flow_on_caller_gone(WPFlow *f, WPTime now);

/* Frees a flow after its last action. */
void wp_flow_free(WPFlow *f);

/* The reason's name in the log. */
const char *wp_attempt_reason_name(WPAttemptReason reason);

#endif
