/* Load balancing for endpoints behind agents: what an entry knows of each
 * endpoint, and the policies that pick one for a request. Picking allocates no
 * memory. */
#ifndef WP_BALANCE_H
#define WP_BALANCE_H

#include "wire.pb-c.h"
#include "wp_policy.h"

/* The state, known to one entry, of one agent and the endpoint behind it. */
typedef struct WPEndpoint {
    /* The agent's box id; owned by the entry's endpoint table. */
    const char *id;
    const char *addr; /* host:port of its peer port */
    const char *zone;
    unsigned slots;
    bool draining;
    bool is_member; /* in the member table; used by wp_pools_rebuild() */
    /* The agent's latest load report, and when it arrived. */
    unsigned reported_running, reported_queued;
    unsigned inflight_at_report;
    int64_t report_us;
    /* From this entry's own requests. */
    unsigned inflight;
    double first_token_us; /* smoothed time to the first token; 0: not known */
    double service_us; /* smoothed time to the end of a request; 0: not known */
    unsigned fail_streak;
    unsigned ejections;
    int64_t ejected_until_us;
    /* It refused a request and asked for none until then. */
    int64_t busy_until_us;
    bool half_open;   /* after an ejection: one request at a time until one has
                         ended */
    int64_t probe_us; /* when its load was last requested */
    int64_t unanswered_since_us; /* when the first request since its latest
                                    report was sent; 0: none was */
} WPEndpoint;

/* Candidates considered per decision, local and remote each. */
enum { WP_PICK_MAX = 16 };

/* The candidates for a request. */
typedef struct WPPickQuery {
    WPEndpoint *const *local; /* endpoints of the entry's own zone */
    unsigned n_local;
    WPEndpoint *const *remote; /* endpoints of other zones */
    unsigned n_remote;
    const WPEndpoint *tried[4]; /* already tried for the request */
    unsigned n_tried;
    uint64_t affinity; /* hash of session or prompt prefix; 0: none */
    int64_t now_us;
} WPPickQuery;

typedef struct WPBalancer WPBalancer;

typedef struct WPBalancerOps {
    const char *name;
    WPEndpoint *(*pick)(WPBalancer *self, const WPPickQuery *p);
} WPBalancerOps;

struct WPBalancer {
    const WPBalancerOps *ops;
    GRand *rand;
    unsigned next; /* index of round robin */
    /* Recent errors of the two ways to predict the wait, from load reports and
       from the entry's own request counts: smoothed absolute logarithm of
       predicted over observed time. */
    double error_reported, error_own;
};

/* The wait of one request as predicted in both ways, in microseconds; kept
   until its first token. */
typedef struct WPWaitPrediction {
    double reported, own;
} WPWaitPrediction;

/* Returns a new balancer with the policy "probe" (the product's own),
   "random", "round_robin", "least_reported" or "two_choices"; NULL for another
   name. The same seed gives the same picks. */
WPBalancer *wp_balancer_new(const char *name, uint32_t seed);
void wp_balancer_free(WPBalancer *b);

/* Whether a request may be sent to the endpoint now: it is not draining or
   ejected, and after an ejection no other request is in flight there. */
bool wp_endpoint_usable(const WPEndpoint *e, int64_t now_us);

/* Predicted microseconds from sending a request now to the first token of its
   answer, by the endpoint's load reports and this entry's own requests. */
double wp_endpoint_wait(const WPEndpoint *e, int64_t now_us);

/* Predicts the same time as wp_endpoint_wait(), by this entry's own requests
   alone. */
double wp_endpoint_own_wait(const WPEndpoint *e, int64_t now_us);

/* Predicts the wait of a request that is sent now, in both ways. */
WPWaitPrediction wp_balancer_predict(const WPEndpoint *e, int64_t now_us);

/* Updates the errors of both ways by comparing a request's prediction with the
   observed time to the first token, `took_us`. */
void wp_balancer_learn(WPBalancer *b, const WPWaitPrediction *f,
                       int64_t took_us);

/* Records a request that is sent to the endpoint. */
void wp_endpoint_sent(WPEndpoint *e, int64_t now_us);

/* Records a load report from the endpoint's agent. */
void wp_endpoint_update_load(WPEndpoint *e, const Wp__Load *l, int64_t now_us);

/* Records that the first token of an answer came `took_us` after its request
   was sent. */
void wp_endpoint_first_token(WPEndpoint *e, int64_t took_us);

/* A request has ended at the endpoint after `took_us`; `ok`: the endpoint did
   its work. Several failures in a row eject the endpoint, for a time that
   doubles with each ejection. Returns true if it was ejected now. */
bool wp_endpoint_ended(WPEndpoint *e, bool ok, int64_t took_us, int64_t now_us);

/* The endpoint refused a request without running it and asked for a retry
   after `retry_ms`. */
void wp_endpoint_refused(WPEndpoint *e, uint32_t retry_ms, int64_t now_us);

#endif
