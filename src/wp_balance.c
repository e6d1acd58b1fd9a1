/* Endpoint views and the policies that pick among them. */
#include "wp_balance.h"

#include <math.h>

#define SMOOTH 0.2 /* weight of the newest observation */
#define QUIET_US (50 * WP_US_PER_MS)
#define LEARN 0.02    /* of the foretelling's errors */
#define DOUBT 0.97    /* reports are left for own counts below this ratio */
#define EJECT_AFTER 3 /* failures in a row */
#define EJECT_FIRST_US (1 * WP_US_PER_S)
#define EJECT_MOST_US (30 * WP_US_PER_S)
#define DEFAULT_SERVICE_US 100000.0
/* An endpoint that likely holds the session's or prompt's prefix is taken
   while its wait is within this factor of the best. */
#define AFFINITY_BOUND 1.25
/* Other zones are looked at once the near ones have no free place. */
#define PICKS_LOOKED_AT 5

bool wp_endpoint_usable(const WPEndpoint *e, int64_t now_us)
{
    if (e->leaving || now_us < e->ejected_until_us)
        return false;
    return !(e->ejections && e->trial && e->inflight);
}

/* Requests of other callers, as last reported, fading as they finish. */
static double others(const WPEndpoint *e, int64_t now_us)
{
    double total = e->reported_running + e->reported_queued;
    double rest = total - e->inflight_at_report;
    double service = e->service_us > 0 ? e->service_us : DEFAULT_SERVICE_US;
    double age = (double)(now_us - e->report_us);
    return rest > 0 ? rest * exp(-age / (4 * service)) : 0;
}

static double wait_for(const WPEndpoint *e, double held, int64_t now_us)
{
    double service = e->service_us > 0 ? e->service_us : DEFAULT_SERVICE_US;
    double first = e->first_token_us > 0 ? e->first_token_us : service / 10;
    double slots = e->slots ? e->slots : 1;
    double queue = held >= slots ? (held - slots + 1) / slots * service : 0;
    if (now_us < e->busy_until_us)
        queue += (double)(e->busy_until_us - now_us);
    /* One that was sent something and has not been heard since may be gone:
       the silence counts, long before it is found out. */
    if (e->quiet_us && now_us - e->quiet_us > QUIET_US)
        queue += (double)(now_us - e->quiet_us);
    /* A fuller batch steps more slowly, also before it is full. */
    return first * (1 + held / slots) + queue;
}

double wp_endpoint_wait(const WPEndpoint *e, int64_t now_us)
{
    return wait_for(e, e->inflight + others(e, now_us), now_us);
}

double wp_endpoint_own_wait(const WPEndpoint *e, int64_t now_us)
{
    return wait_for(e, e->inflight, now_us);
}

WPForetold wp_balancer_foretell(const WPEndpoint *e, int64_t now_us)
{
    return (WPForetold){ wp_endpoint_wait(e, now_us),
                         wp_endpoint_own_wait(e, now_us) };
}

static double error_of(double old, double foretold, double took)
{
    double miss = fabs(log(fmax(foretold, 1) / fmax(took, 1)));
    return old + LEARN * (miss - old);
}

void wp_balancer_learn(WPBalancer *b, const WPForetold *f, int64_t took_us)
{
    b->error_reported =
        error_of(b->error_reported, f->reported, (double)took_us);
    b->error_own = error_of(b->error_own, f->own, (double)took_us);
}

/* Reports that lag foretell worse than the entry's own count: whichever has
   been nearer of late is believed. */
static bool believes_reports(const WPBalancer *b)
{
    return b->error_own >= DOUBT * b->error_reported;
}

static double believed_wait(const WPBalancer *b, const WPEndpoint *e,
                            int64_t now_us)
{
    return believes_reports(b) ? wp_endpoint_wait(e, now_us)
                               : wp_endpoint_own_wait(e, now_us);
}

static bool has_room(const WPBalancer *b, const WPEndpoint *e, int64_t now_us)
{
    double held = e->inflight;
    if (believes_reports(b))
        held += others(e, now_us);
    return held < e->slots && now_us >= e->busy_until_us;
}

void wp_endpoint_sent(WPEndpoint *e, int64_t now_us)
{
    e->inflight++;
    if (!e->quiet_us)
        e->quiet_us = now_us;
}

void wp_endpoint_load(WPEndpoint *e, const Wp__Load *l, int64_t now_us)
{
    e->reported_running = l->running;
    e->reported_queued = l->queued;
    e->inflight_at_report = e->inflight;
    e->report_us = now_us;
    e->quiet_us = 0;
    if (l->slots)
        e->slots = l->slots;
    if (l->has_service_us && l->service_us)
        e->service_us = l->service_us;
    if (l->has_leaving && l->leaving)
        e->leaving = true;
}

static double smooth(double old, double now)
{
    return old > 0 ? old + SMOOTH * (now - old) : now;
}

void wp_endpoint_first(WPEndpoint *e, int64_t took_us)
{
    e->first_token_us = smooth(e->first_token_us, (double)took_us);
}

bool wp_endpoint_ended(WPEndpoint *e, bool ok, int64_t took_us, int64_t now_us)
{
    if (e->inflight)
        e->inflight--;
    e->trial = false;
    if (ok) {
        e->service_us = smooth(e->service_us, (double)took_us);
        e->fail_streak = 0;
        e->ejections = 0;
        return false;
    }
    e->fail_streak++;
    if (e->fail_streak < EJECT_AFTER && !e->ejections)
        return false;
    double pause = ldexp(EJECT_FIRST_US, (int)MIN(e->ejections, 8));
    e->ejected_until_us = now_us + (int64_t)fmin(pause, EJECT_MOST_US);
    e->ejections++;
    e->trial = true;
    return true;
}

void wp_endpoint_refused(WPEndpoint *e, uint32_t retry_ms, int64_t now_us)
{
    if (e->inflight)
        e->inflight--;
    e->busy_until_us = now_us + (int64_t)retry_ms * WP_US_PER_MS;
}

static bool avoided(const WPPick *p, const WPEndpoint *e)
{
    for (unsigned i = 0; i < p->n_avoid; i++)
        if (p->avoid[i] == e)
            return true;
    return false;
}

/* Up to WP_PICK_MAX usable ones, from a random place on. */
static unsigned gather(WPBalancer *b, const WPPick *p, WPEndpoint *const *from,
                       unsigned n, WPEndpoint **out)
{
    unsigned count = 0;
    unsigned start = n ? (unsigned)g_rand_int_range(b->rand, 0, (gint)n) : 0;
    unsigned look = MIN(n, 4 * WP_PICK_MAX);
    for (unsigned i = 0; i < look && count < WP_PICK_MAX; i++) {
        WPEndpoint *e = from[(start + i) % n];
        if (wp_endpoint_usable(e, p->now_us) && !avoided(p, e))
            out[count++] = e;
    }
    return count;
}

/* Candidates of the baselines: all zones alike. */
static unsigned gather_all(WPBalancer *b, const WPPick *p, WPEndpoint **out)
{
    unsigned n = gather(b, p, p->near, p->n_near, out);
    WPEndpoint *far[WP_PICK_MAX];
    unsigned m = gather(b, p, p->far, p->n_far, far);
    for (unsigned i = 0; i < m && n < 2 * WP_PICK_MAX; i++)
        out[n++] = far[i];
    return n;
}

static WPEndpoint *pick_random(WPBalancer *b, const WPPick *p)
{
    WPEndpoint *c[2 * WP_PICK_MAX];
    unsigned n = gather_all(b, p, c);
    return n ? c[g_rand_int_range(b->rand, 0, (gint)n)] : NULL;
}

static WPEndpoint *pick_round_robin(WPBalancer *b, const WPPick *p)
{
    unsigned n = p->n_near + p->n_far;
    for (unsigned i = 0; i < n; i++) {
        unsigned k = b->next++ % n;
        WPEndpoint *e = k < p->n_near ? p->near[k] : p->far[k - p->n_near];
        if (wp_endpoint_usable(e, p->now_us) && !avoided(p, e))
            return e;
    }
    return NULL;
}

static WPEndpoint *pick_least_reported(WPBalancer *b, const WPPick *p)
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

static WPEndpoint *pick_two_choices(WPBalancer *b, const WPPick *p)
{
    WPEndpoint *c[2 * WP_PICK_MAX];
    unsigned n = gather_all(b, p, c);
    if (!n)
        return NULL;
    WPEndpoint *x = c[g_rand_int_range(b->rand, 0, (gint)n)];
    WPEndpoint *y = c[g_rand_int_range(b->rand, 0, (gint)n)];
    return x->inflight <= y->inflight ? x : y;
}

static WPEndpoint *least_wait(WPBalancer *b, const WPPick *p, WPEndpoint **c,
                              unsigned n)
{
    WPEndpoint *best = NULL;
    double best_wait = 0;
    /* A random few: with all, entries that share a late report would all
       pick the same one. */
    for (unsigned i = 0; i < MIN(n, PICKS_LOOKED_AT); i++) {
        unsigned k = (unsigned)g_rand_int_range(b->rand, (gint)i, (gint)n);
        WPEndpoint *e = c[k];
        c[k] = c[i];
        c[i] = e;
        double wait = believed_wait(b, e, p->now_us);
        if (best && wait >= best_wait)
            continue;
        best = e;
        best_wait = wait;
    }
    return best;
}

/* The endpoint the affinity key falls to among the candidates. */
static WPEndpoint *home_of(const WPPick *p, WPEndpoint **c, unsigned n)
{
    WPEndpoint *home = NULL;
    double best = -1;
    for (unsigned i = 0; p->affinity && i < n; i++) {
        double score = wp_rendezvous(wp_str(c[i]->id), p->affinity, 1);
        if (score <= best)
            continue;
        best = score;
        home = c[i];
    }
    return home;
}

static WPEndpoint *pick_probe(WPBalancer *b, const WPPick *p)
{
    WPEndpoint *c[2 * WP_PICK_MAX];
    unsigned n = gather(b, p, p->near, p->n_near, c);
    WPEndpoint *home = home_of(p, c, n);
    WPEndpoint *best = least_wait(b, p, c, n);
    if (!best || !has_room(b, best, p->now_us)) {
        unsigned m = gather(b, p, p->far, p->n_far, c + n);
        WPEndpoint *far = least_wait(b, p, c + n, m);
        if (far && (!best || believed_wait(b, far, p->now_us) <
                                 believed_wait(b, best, p->now_us)))
            best = far;
    }
    if (home && best && has_room(b, home, p->now_us) &&
        believed_wait(b, home, p->now_us) <=
            AFFINITY_BOUND * believed_wait(b, best, p->now_us))
        return home;
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
