/* Which endpoint runs a request: the entry's view of each endpoint, and
 * policies that pick one. Nothing here allocates. */
#ifndef WP_BALANCE_H
#define WP_BALANCE_H

#include "wire.pb-c.h"
#include "wp_policy.h"

/* What one entry knows of one agent and its endpoint. */
typedef struct WPEndpoint {
    const char *id;   /* the agent's box id, owned by the entry's table */
    const char *addr; /* host:port of its peer port */
    const char *zone;
    unsigned slots;
    bool leaving;
    bool listed; /* used while the table is brought up to date */
    /* From the agent's last word, and when that came. */
    unsigned reported_running, reported_queued;
    unsigned inflight_at_report;
    int64_t report_us;
    /* From this entry's own requests. */
    unsigned inflight;
    double first_token_us; /* smoothed; 0 until known */
    double service_us;     /* smoothed time to the end; 0 until known */
    unsigned fail_streak;
    unsigned ejections;
    int64_t ejected_until_us;
    int64_t busy_until_us; /* it refused and named a time */
    bool trial;            /* one request tests it after an ejection */
    int64_t probe_us;      /* last time its load was asked for */
    int64_t quiet_us;      /* first request since its last word; 0: none */
} WPEndpoint;

enum { WP_PICK_MAX = 16 }; /* candidates looked at in one decision */

typedef struct WPPick {
    WPEndpoint *const *near; /* same zone */
    unsigned n_near;
    WPEndpoint *const *far; /* other zones */
    unsigned n_far;
    const WPEndpoint *avoid[4]; /* already tried */
    unsigned n_avoid;
    uint64_t affinity; /* hash of session or prompt prefix; 0: none */
    int64_t now_us;
} WPPick;

typedef struct WPBalancer WPBalancer;

typedef struct WPBalancerOps {
    const char *name;
    WPEndpoint *(*pick)(WPBalancer *self, const WPPick *p);
} WPBalancerOps;

struct WPBalancer {
    const WPBalancerOps *ops;
    GRand *rand;
    unsigned next; /* round robin */
    /* How far off each way of foretelling the wait has been of late, as the
       smoothed size of the logarithm of foretold over seen. */
    double error_reported, error_own;
};

/* Both foretold waits of one request, kept until its first token. */
typedef struct WPForetold {
    double reported, own;
} WPForetold;

/* "probe" (the product's), "random", "round_robin", "least_reported" or
   "two_choices"; NULL for another name. Same seed, same picks. */
WPBalancer *wp_balancer_new(const char *name, uint32_t seed);
void wp_balancer_free(WPBalancer *b);

/* Whether it may be sent a request now. */
bool wp_endpoint_usable(const WPEndpoint *e, int64_t now_us);

/* Expected microseconds until a request sent now would begin to answer: from
   the endpoint's reports, or from this entry's own requests alone. */
double wp_endpoint_wait(const WPEndpoint *e, int64_t now_us);
double wp_endpoint_own_wait(const WPEndpoint *e, int64_t now_us);

/* To be called when a request is sent, and when its first token comes. */
WPForetold wp_balancer_foretell(const WPEndpoint *e, int64_t now_us);
void wp_balancer_learn(WPBalancer *b, const WPForetold *f, int64_t took_us);

void wp_endpoint_sent(WPEndpoint *e, int64_t now_us);
void wp_endpoint_load(WPEndpoint *e, const Wp__Load *l, int64_t now_us);
void wp_endpoint_first(WPEndpoint *e, int64_t took_us);

/* `ok` tells whether the endpoint did its work. A run of failures sets it
   aside for a time that doubles; returns whether that happened now. */
bool wp_endpoint_ended(WPEndpoint *e, bool ok, int64_t took_us, int64_t now_us);

/* It answered `not run`, to come back after `retry_ms`. */
void wp_endpoint_refused(WPEndpoint *e, uint32_t retry_ms, int64_t now_us);

#endif
