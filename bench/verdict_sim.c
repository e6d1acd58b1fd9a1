/* Simulation of how versions that fail are judged. */
#include "verdict_sim.h"

#include <math.h>

enum {
    STEP_MS = 10,
    POLL_MS = 50,
    LATENCY_MS = 300, /* from a request to its answer */
    LATENCY_STEPS = LATENCY_MS / STEP_MS,
    STEP_REQUESTS_MAX = 32,
    LEARN_MS = 10000, /* of traffic before the order */
    REPLICAS = 8
};

#define LATE_PART 0.7

static const char *const route_names[VERDICT_ROUTES] = { "a", "b", "c" };
static const char *const replica_names[REPLICAS] = { "r0", "r1", "r2", "r3",
                                                     "r4", "r5", "r6", "r7" };

typedef struct Request {
    unsigned route;
    bool on_new, failed;
    int64_t sent_ms; /* since the order */
} Request;

/* The requests that were sent in one step. */
typedef struct Batch {
    Request requests[STEP_REQUESTS_MAX];
    unsigned n;
} Batch;

typedef struct Play {
    const VerdictSite *site;
    const VerdictVersion *version, *suspected;
    int64_t duration_ms;
    GRand *rand;
    WPShifts *shifts;
    WPShift *shift;
    WPTime now;
    Batch batches[LATENCY_STEPS];
    unsigned total;
    VerdictResult result;
} Play;

/* The additional share of failures of a version. */
static double extra_failures(const Play *p, const VerdictVersion *v,
                             unsigned route, int64_t sent_ms)
{
    bool late = (double)sent_ms >= LATE_PART * (double)p->duration_ms;
    switch (v->fault) {
    case VERDICT_GOOD:
        return 0;
    case VERDICT_EVERYWHERE:
        return v->share;
    case VERDICT_ONE_ROUTE:
        return route == 1 ? v->share : 0;
    case VERDICT_LATE:
        return late ? v->share : 0;
    }
    return 0;
}

static double failure_rate(const Play *p, const VerdictVersion *v,
                           unsigned route, int64_t sent_ms)
{
    double extra = extra_failures(p, v, route, sent_ms);
    return p->site->failing[route] + (1 - p->site->failing[route]) * extra;
}

static unsigned draw_route(Play *p)
{
    double at = g_rand_double(p->rand);
    unsigned i = 0;
    while (i + 1 < VERDICT_ROUTES && at >= p->site->share[i])
        at -= p->site->share[i++];
    return i;
}

static bool is_sent_to_new(Play *p, int64_t elapsed_ms)
{
    if (elapsed_ms < 0 || p->shift->state == WP_SHIFT_ROLLED_BACK)
        return false;
    return wp_shift_routes_to_new(p->shifts, p->shift, p->now,
                                  g_rand_double(p->rand), NULL);
}

static void send_request(Play *p, Batch *to, int64_t elapsed_ms)
{
    static const VerdictVersion good = { VERDICT_GOOD, 0 };
    Request *r = &to->requests[to->n++];
    r->route = draw_route(p);
    r->on_new = is_sent_to_new(p, elapsed_ms);
    r->sent_ms = elapsed_ms;
    const VerdictVersion *v = r->on_new ? p->version : &good;
    r->failed =
        g_rand_double(p->rand) < failure_rate(p, v, r->route, elapsed_ms);
    bool counts = elapsed_ms >= 0 && elapsed_ms < p->duration_ms;
    p->total += counts;
    p->result.on_new += counts && r->on_new;
}

/* Sends the requests of one step, evenly spread at random. */
static void send_requests(Play *p, Batch *to, int64_t elapsed_ms)
{
    double mean = p->site->rate * STEP_MS / WP_MS_PER_S;
    to->n = 0;
    for (unsigned i = 0; i < STEP_REQUESTS_MAX; i++)
        if (g_rand_double(p->rand) < mean / STEP_REQUESTS_MAX)
            send_request(p, to, elapsed_ms);
}

/* Adds what an answer of the new version says of the suspected fault. */
static void weigh_exactly(Play *p, const Request *r)
{
    static const VerdictVersion good = { VERDICT_GOOD, 0 };
    double as_bad = failure_rate(p, p->suspected, r->route, r->sent_ms);
    double as_good = failure_rate(p, &good, r->route, r->sent_ms);
    if (as_good <= 0 && r->failed)
        p->result.log_odds = INFINITY;
    else
        p->result.log_odds += r->failed ? log(as_bad / as_good)
                                        : log((1 - as_bad) / (1 - as_good));
}

static void take_answers(Play *p, const Batch *from)
{
    for (unsigned i = 0; i < from->n; i++) {
        const Request *r = &from->requests[i];
        const WPCanaryAnswer a = {
            .version = r->on_new ? "v2" : "v1",
            .replica = replica_names[g_rand_int_range(p->rand, 0, REPLICAS)],
            .route = route_names[r->route],
            .failed = r->failed,
            .time = WP_TIME_RATIO_NORMAL,
        };
        wp_shift_record_answer(p->shift, &a);
        if (!r->on_new)
            continue;
        weigh_exactly(p, r);
        p->result.answers++;
    }
}

static void poll_shift(Play *p)
{
    g_autofree char *why = NULL;
    if (p->shift->state != WP_SHIFT_RUNNING)
        return;
    wp_shift_widen_canary(p->shifts, p->shift, p->now, 1);
    wp_shift_advance(p->shifts, p->shift, p->now, &why);
    p->shift->state = wp_shift_due_state(p->shifts, p->shift, p->now, NULL);
}

VerdictResult verdict_play(const Wp__Chart *chart, const VerdictSite *site,
                           const VerdictVersion *version,
                           const VerdictVersion *suspected, int64_t duration_ms,
                           bool decide, GRand *rand)
{
    const WPShiftOrder order = { "s", "v2", (uint32_t)duration_ms, 10 };
    Play p = { .site = site,
               .version = version,
               .suspected = suspected,
               .duration_ms = duration_ms,
               .rand = rand,
               .shifts = wp_shifts_new(chart),
               .now = { WP_US_PER_S, 0 } };
    wp_shifts_set_exposure(p.shifts, &site->exposure);
    p.shift = wp_shifts_add_order(p.shifts, p.now, &order);
    for (int64_t ms = -LEARN_MS; ms < duration_ms; ms += STEP_MS) {
        Batch *at = &p.batches[(ms + LEARN_MS) / STEP_MS % LATENCY_STEPS];
        take_answers(&p, at);
        if (ms == 0) {
            wp_shift_merge_elapsed(p.shift, p.now, 0);
            p.shift->observed_since_us = p.now.mono_us;
            if (!decide)
                wp_shift_merge_gate_passed(p.shift);
        }
        if (decide && ms >= 0 && ms % POLL_MS == 0)
            poll_shift(&p);
        send_requests(&p, at, ms);
        p.now.mono_us += STEP_MS * WP_US_PER_MS;
    }
    p.result.state = p.shift->state;
    p.result.allowed =
        (unsigned)(site->exposure.share * p.total + site->exposure.slack);
    wp_shifts_free(p.shifts);
    return p.result;
}
