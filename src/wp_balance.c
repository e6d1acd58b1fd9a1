/* Per-endpoint state of an entry, and the balancing policies that pick an
 * endpoint for a request. */
#include "wp_balance.h"

#include <math.h>

#define SMOOTHING 0.2 /* weight of the newest observation */
#define UNANSWERED_GRACE_US (50 * WP_US_PER_MS)
#define ERROR_SMOOTHING 0.02 /* weight of the newest prediction error */
/* Load reports are disregarded in favour of the entry's own request counts
   when the error of the counts is below this ratio of the reports' error. */
#define OWN_COUNT_RATIO 0.97
#define EJECT_AFTER 3 /* consecutive failures */
#define EJECT_MIN_US (1 * WP_US_PER_S)
#define EJECT_MAX_US (30 * WP_US_PER_S)
#define DEFAULT_SERVICE_US 100000.0
/* The affinity endpoint likely has the prefix of the session or prompt in its
   cache. It is picked if its predicted wait is at most this many times the
   best one. */
#define AFFINITY_BOUND 1.25
/* Candidates whose predicted waits are compared. Endpoints of other zones are
   considered only if the best local one has no free slot. */
#define SAMPLED_CANDIDATES 5

bool wp_endpoint_usable(const WPEndpoint *e, int64_t now_us)
{
    if (e->draining || now_us < e->ejected_until_us)
        return false;
    return !(e->ejections && e->half_open && e->inflight);
}

/* Estimates the requests of other entries at the endpoint: those of its last
   load report that were not this entry's, decaying with the report's age as
   they finish. */
static double other_requests(const WPEndpoint *e, int64_t now_us)
{
    double total = e->reported_running + e->reported_queued;
    double other = total - e->inflight_at_report;
    double service = e->service_us > 0 ? e->service_us : DEFAULT_SERVICE_US;
    double age = (double)(now_us - e->report_us);
    return other > 0 ? other * exp(-age / (4 * service)) : 0;
}

/* Predicted time to the first token, in microseconds, at an endpoint that has
   `requests` requests running or queued. */
static double predicted_wait(const WPEndpoint *e, double requests,
                             int64_t now_us)
{
    double service = e->service_us > 0 ? e->service_us : DEFAULT_SERVICE_US;
    double first = e->first_token_us > 0 ? e->first_token_us : service / 10;
    double slots = e->slots ? e->slots : 1;
    double queue =
        requests >= slots ? (requests - slots + 1) / slots * service : 0;
    if (now_us < e->busy_until_us)
        queue += (double)(e->busy_until_us - now_us);
    /* An endpoint that has reported nothing since a request was sent to it may
       be down: the time without a report is added to its wait, long before its
       failure is detected. */
    if (e->unanswered_since_us &&
        now_us - e->unanswered_since_us > UNANSWERED_GRACE_US)
        queue += (double)(now_us - e->unanswered_since_us);
    /* A larger batch slows down each step, also while slots are free. */
    return first * (1 + requests / slots) + queue;
}

double wp_endpoint_wait(const WPEndpoint *e, int64_t now_us)
{
    return predicted_wait(e, e->inflight + other_requests(e, now_us), now_us);
}

double wp_endpoint_own_wait(const WPEndpoint *e, int64_t now_us)
{
    return predicted_wait(e, e->inflight, now_us);
}

WPWaitPrediction wp_balancer_predict(const WPEndpoint *e, int64_t now_us)
{
    return (WPWaitPrediction){ wp_endpoint_wait(e, now_us),
                               wp_endpoint_own_wait(e, now_us) };
}

static double smoothed_error(double old, double predicted, double took)
{
    double error = fabs(log(fmax(predicted, 1) / fmax(took, 1)));
    return old + ERROR_SMOOTHING * (error - old);
}

void wp_balancer_learn(WPBalancer *b, const WPWaitPrediction *f,
                       int64_t took_us)
{
    b->error_reported =
        smoothed_error(b->error_reported, f->reported, (double)took_us);
    b->error_own = smoothed_error(b->error_own, f->own, (double)took_us);
}

/* Outdated load reports predict the wait worse than the entry's own request
   count. Whichever had the smaller recent error is used. */
static bool trusts_reports(const WPBalancer *b)
{
    return b->error_own >= OWN_COUNT_RATIO * b->error_reported;
}

static double current_wait(const WPBalancer *b, const WPEndpoint *e,
                           int64_t now_us)
{
    return trusts_reports(b) ? wp_endpoint_wait(e, now_us)
                             : wp_endpoint_own_wait(e, now_us);
}

static bool has_free_slot(const WPBalancer *b, const WPEndpoint *e,
                          int64_t now_us)
{
    double requests = e->inflight;
    if (trusts_reports(b))
        requests += other_requests(e, now_us);
    return requests < e->slots && now_us >= e->busy_until_us;
}

void wp_endpoint_sent(WPEndpoint *e, int64_t now_us)
{
    e->inflight++;
    if (!e->unanswered_since_us)
        e->unanswered_since_us = now_us;
}

void wp_endpoint_update_load(WPEndpoint *e, const Wp__Load *l, int64_t now_us)
{
    e->reported_running = l->running;
    e->reported_queued = l->queued;
    e->inflight_at_report = e->inflight;
    e->report_us = now_us;
    e->unanswered_since_us = 0;
    if (l->slots)
        e->slots = l->slots;
    if (l->has_service_us && l->service_us)
        e->service_us = l->service_us;
    if (l->has_leaving && l->leaving)
        e->draining = true;
}

static double smooth(double old, double now)
{
    return old > 0 ? old + SMOOTHING * (now - old) : now;
}

void wp_endpoint_first_token(WPEndpoint *e, int64_t took_us)
{
    e->first_token_us = smooth(e->first_token_us, (double)took_us);
}

bool wp_endpoint_ended(WPEndpoint *e, bool ok, int64_t took_us, int64_t now_us)
{
    if (e->inflight)
        e->inflight--;
    e->half_open = false;
    if (ok) {
        e->service_us = smooth(e->service_us, (double)took_us);
        e->fail_streak = 0;
        e->ejections = 0;
        return false;
    }
    e->fail_streak++;
    if (e->fail_streak < EJECT_AFTER && !e->ejections)
        return false;
    double eject_us = ldexp(EJECT_MIN_US, (int)MIN(e->ejections, 8));
    e->ejected_until_us = now_us + (int64_t)fmin(eject_us, EJECT_MAX_US);
    e->ejections++;
    e->half_open = true;
    return true;
}

void wp_endpoint_refused(WPEndpoint *e, uint32_t retry_ms, int64_t now_us)
{
    if (e->inflight)
        e->inflight--;
    e->busy_until_us = now_us + (int64_t)retry_ms * WP_US_PER_MS;
}

static bool was_tried(const WPPickQuery *p, const WPEndpoint *e)
{
    for (unsigned i = 0; i < p->n_tried; i++)
        if (p->tried[i] == e)
            return true;
    return false;
}

/* Collects up to WP_PICK_MAX usable endpoints of `from` into `out`, starting
   at a random index; returns their number. */
static unsigned gather(WPBalancer *b, const WPPickQuery *p,
                       WPEndpoint *const *from, unsigned n, WPEndpoint **out)
{
    unsigned count = 0;
    unsigned start = n ? (unsigned)g_rand_int_range(b->rand, 0, (gint)n) : 0;
    unsigned max_checked = MIN(n, 4 * WP_PICK_MAX);
    for (unsigned i = 0; i < max_checked && count < WP_PICK_MAX; i++) {
        WPEndpoint *e = from[(start + i) % n];
        if (wp_endpoint_usable(e, p->now_us) && !was_tried(p, e))
            out[count++] = e;
    }
    return count;
}

/* Candidates of the baseline policies, which do not prefer the local zone. */
static unsigned gather_all(WPBalancer *b, const WPPickQuery *p,
                           WPEndpoint **out)
{
    unsigned n = gather(b, p, p->local, p->n_local, out);
    WPEndpoint *remote[WP_PICK_MAX];
    unsigned m = gather(b, p, p->remote, p->n_remote, remote);
    for (unsigned i = 0; i < m && n < 2 * WP_PICK_MAX; i++)
        out[n++] = remote[i];
    return n;
}

static WPEndpoint *pick_random(WPBalancer *b, const WPPickQuery *p)
{
    WPEndpoint *c[2 * WP_PICK_MAX];
    unsigned n = gather_all(b, p, c);
    return n ? c[g_rand_int_range(b->rand, 0, (gint)n)] : NULL;
}

/* The next usable endpoint, local or remote, that this request has not tried;
   NULL if there is none. */
static WPEndpoint *pick_round_robin(WPBalancer *b, const WPPickQuery *p)
{
    unsigned n = p->n_local + p->n_remote;
    for (unsigned i = 0; i < n; i++) {
        unsigned k = b->next++ % n;
        WPEndpoint *e =
            k < p->n_local ? p->local[k] : p->remote[k - p->n_local];
        if (wp_endpoint_usable(e, p->now_us) && !was_tried(p, e))
            return e;
    }
    return NULL;
}

/* The candidate whose last load report has the least load, as requests running
   plus queued; NULL if there is none. */
static WPEndpoint *pick_least_reported(WPBalancer *b, const WPPickQuery *p)
{
    WPEndpoint *c[2 * WP_PICK_MAX];
    unsigned n = gather_all(b, p, c);
    WPEndpoint *best = NULL;
    for (unsigned i = 0; i < n; i++)
        if (!best || c[i]->reported_running + c[i]->reported_queued <
                         best->reported_running + best->reported_queued)
            best = c[i];
    return best;
}

static WPEndpoint *pick_two_choices(WPBalancer *b, const WPPickQuery *p)
{
    WPEndpoint *c[2 * WP_PICK_MAX];
    unsigned n = gather_all(b, p, c);
    if (!n)
        return NULL;
    WPEndpoint *x = c[g_rand_int_range(b->rand, 0, (gint)n)];
    WPEndpoint *y = c[g_rand_int_range(b->rand, 0, (gint)n)];
    return x->inflight <= y->inflight ? x : y;
}

/* The candidate with the shortest wait in a random sample of the `n`
   candidates; NULL if there are none. Reorders `c`. */
static WPEndpoint *least_wait(WPBalancer *b, const WPPickQuery *p,
                              WPEndpoint **c, unsigned n)
{
    WPEndpoint *best = NULL;
    double best_wait = 0;
    /* Compares a random sample: if all candidates were compared, entries with
       the same outdated load report would all pick the same endpoint. */
    for (unsigned i = 0; i < MIN(n, SAMPLED_CANDIDATES); i++) {
        unsigned k = (unsigned)g_rand_int_range(b->rand, (gint)i, (gint)n);
        WPEndpoint *e = c[k];
        c[k] = c[i];
        c[i] = e;
        double wait = current_wait(b, e, p->now_us);
        if (best && wait >= best_wait)
            continue;
        best = e;
        best_wait = wait;
    }
    return best;
}

/* The candidate with the highest rendezvous score for the affinity key; NULL
   without a key. */
static WPEndpoint *affinity_endpoint(const WPPickQuery *p, WPEndpoint **c,
                                     unsigned n)
{
    WPEndpoint *affine = NULL;
    double best = -1;
    for (unsigned i = 0; p->affinity && i < n; i++) {
        double score = wp_rendezvous(wp_str(c[i]->id), p->affinity, 1);
        if (score <= best)
            continue;
        best = score;
        affine = c[i];
    }
    return affine;
}

/* The local candidate with the shortest wait; a remote one with a shorter wait
   if the local one has no free slot. The affinity endpoint is preferred if it
   has a free slot and waits at most AFFINITY_BOUND times as long. */
static WPEndpoint *pick_probe(WPBalancer *b, const WPPickQuery *p)
{
    WPEndpoint *c[2 * WP_PICK_MAX];
    unsigned n = gather(b, p, p->local, p->n_local, c);
    WPEndpoint *affine = affinity_endpoint(p, c, n);
    WPEndpoint *best = least_wait(b, p, c, n);
    if (!best || !has_free_slot(b, best, p->now_us)) {
        unsigned m = gather(b, p, p->remote, p->n_remote, c + n);
        WPEndpoint *remote = least_wait(b, p, c + n, m);
        if (remote && (!best || current_wait(b, remote, p->now_us) <
                                    current_wait(b, best, p->now_us)))
            best = remote;
    }
    if (affine && best && has_free_slot(b, affine, p->now_us) &&
        current_wait(b, affine, p->now_us) <=
            AFFINITY_BOUND * current_wait(b, best, p->now_us))
        return affine;
    return best;
}

static const WPBalancerOps ops[] = {
    { "probe", pick_probe },
    { "random", pick_random },
    { "round_robin", pick_round_robin },
    { "least_reported", pick_least_reported },
    { "two_choices", pick_two_choices },
};

WPBalancer *wp_balancer_new(const char *name, uint32_t seed)
{
    for (size_t i = 0; i < WP_COUNT(ops); i++) {
        if (strcmp(ops[i].name, name))
            continue;
        WPBalancer *b = g_new0(WPBalancer, 1);
        b->ops = &ops[i];
        b->rand = g_rand_new_with_seed(seed);
        return b;
    }
    return NULL;
}

void wp_balancer_free(WPBalancer *b)
{
    if (!b)
        return;
    g_rand_free(b->rand);
    g_free(b);
}
