/* wpbench: prints the tables of docs/DESIGN.md, each policy next to its
 * baselines. Usage: wpbench [TABLE...]; without a name, all tables. */
#include "lab.h"
#include "wp_code.h"
#include "wp_pb.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <time.h>

#define SEEDS 5
#define GOOD_ROLLOUTS 100

static const LabTrueQuality lake_quality[] = {
    { "rider-answer", "tagger-1", 0.88 },  { "rider-answer", "tagger-2", 0.93 },
    { "rider-answer", "planner-1", 0.97 }, { "damage-tag", "tagger-1", 0.85 },
    { "damage-tag", "tagger-2", 0.92 },    { "damage-tag", "planner-1", 0.96 },
    { "summary", "tagger-1", 0.70 },       { "summary", "tagger-2", 0.85 },
    { "summary", "planner-1", 0.97 },      { "plan", "planner-1", 0.95 },
};
static const LabPool lake_pools[] = { { "tagger-1", 7 },
                                      { "tagger-2", 7 },
                                      { "planner-1", 6 } };

static const LabTrueQuality hall_quality[] = {
    { "zone-tag", "zoner-1", 0.90 }, { "zone-tag", "drafter-1", 0.96 },
    { "digest", "zoner-1", 0.75 },   { "digest", "drafter-1", 0.95 },
    { "draft", "drafter-1", 0.95 },
};
static const LabPool hall_pools[] = { { "zoner-1", 5 }, { "drafter-1", 5 } };

static LabPlan lakeshore(uint32_t seed)
{
    return (LabPlan){ .rules = "bench/lakeshore.yaml",
                      .mix = "bench/lakeshore-mix.yaml",
                      .true_quality = lake_quality,
                      .n_true_quality = WP_COUNT(lake_quality),
                      .pools = lake_pools,
                      .n_pools = WP_COUNT(lake_pools),
                      .entries = 3,
                      .zones = 3,
                      .slots = 8,
                      .queue = 24,
                      .step_us = 10000,
                      .choose = "cost",
                      .balance = "probe",
                      .seed = seed,
                      .rate = 40,
                      .seconds = 900,
                      .warm_s = 300,
                      .rating_lag_s = 3,
                      .slow_agent = -1,
                      .lost_zone = -1 };
}

static LabPlan laurentide(uint32_t seed)
{
    LabPlan p = lakeshore(seed);
    p.rules = "bench/laurentide.yaml";
    p.mix = "bench/laurentide-mix.yaml";
    p.true_quality = hall_quality;
    p.n_true_quality = WP_COUNT(hall_quality);
    p.pools = hall_pools;
    p.n_pools = WP_COUNT(hall_pools);
    return p;
}

/* Mean, minimum and maximum over seeds. */
typedef struct Mean {
    double sum, squares, n, min, max;
} Mean;

static void add(Mean *m, double v)
{
    m->min = m->n ? fmin(m->min, v) : v;
    m->max = m->n ? fmax(m->max, v) : v;
    m->sum += v;
    m->squares += v * v;
    m->n++;
}

static double mean(const Mean *m)
{
    return m->n ? m->sum / m->n : 0;
}

/* --- cost at the quality target --- */

/* Adds the results per kind of one seed to the totals over all seeds. */
static void pool_kinds(LabResult *sum, const LabResult *r)
{
    for (unsigned i = 0; i < r->n_kinds; i++) {
        unsigned k = 0;
        while (k < sum->n_kinds && strcmp(sum->kinds[k].name, r->kinds[i].name))
            k++;
        if (k == sum->n_kinds)
            sum->kinds[sum->n_kinds++] =
                (LabKind){ .target = r->kinds[i].target };
        g_strlcpy(sum->kinds[k].name, r->kinds[i].name,
                  sizeof(sum->kinds[k].name));
        sum->kinds[k].ok += r->kinds[i].ok;
        sum->kinds[k].good += r->kinds[i].good;
    }
}

/* The lowest margin of a kind's share of good answers over its target. */
static double margin(const LabResult *sum)
{
    double min = 1;
    for (unsigned i = 0; i < sum->n_kinds; i++)
        if (sum->kinds[i].ok)
            min = fmin(min,
                       (double)sum->kinds[i].good / (double)sum->kinds[i].ok -
                           sum->kinds[i].target);
    return min;
}

/* Returns the plan of a site for this seed. */
typedef LabPlan (*SiteFn)(uint32_t seed);

/* Prints a row of the cost table: this site with this policy for choosing
   versions. */
static void cost_of(const char *name, SiteFn site, const char *choose)
{
    Mean strong = { 0 }, fixed = { 0 }, ok = { 0 };
    LabResult all = { 0 };
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        LabPlan p = site(seed);
        LabResult r;
        p.choose = choose;
        lab_run(&p, &r);
        add(&strong, r.cost / r.strong_cost);
        add(&fixed, r.cost / r.fixed_cost);
        pool_kinds(&all, &r);
        add(&ok, (double)r.ok / (double)r.offered);
        lab_result_destroy(&r);
    }
    printf("%-11s %-10s %8.3f (%.3f-%.3f) %8.3f (%.3f-%.3f) %+10.3f %9.4f\n",
           name, choose, mean(&strong), strong.min, strong.max, mean(&fixed),
           fixed.min, fixed.max, margin(&all), mean(&ok));
}

static void table_cost(void)
{
    static const char *const policies[] = { "strongest", "cheapest", "static",
                                            "cost" };
    printf("\nCost of answers, %d seeds, against always-strongest and the best "
           "fixed choice\nknown afterwards; lowest margin of a kind's "
           "quality over its target; share answered\n",
           SEEDS);
    printf("%-11s %-10s %22s %22s %10s %9s\n", "site", "policy", "/ strongest",
           "/ best fixed", "margin", "answered");
    for (size_t i = 0; i < WP_COUNT(policies); i++)
        cost_of("lakeshore", lakeshore, policies[i]);
    for (size_t i = 0; i < WP_COUNT(policies); i++)
        cost_of("laurentide", laurentide, policies[i]);
}

/* --- latency by choice of endpoint --- */

static LabPlan one_pool(uint32_t seed)
{
    static const LabPool pool[] = { { "planner-1", 20 } };
    LabPlan p = lakeshore(seed);
    p.mix = "bench/one-mix.yaml";
    p.pools = pool;
    p.n_pools = 1;
    p.choose = "strongest";
    p.seconds = 60;
    p.warm_s = 10;
    p.rate = 0.8 * lab_capacity(&p);
    return p;
}

/* Changes a plan for one case of the latency table. */
typedef void (*PlanEdit)(LabPlan *p);

static void as_is(LabPlan *p)
{
    (void)p;
}

static void with_slow(LabPlan *p)
{
    p->slow_agent = 4;
    p->slow_factor = 4;
    p->slow_from_s = 15;
    p->rate *= 0.95;
}

static void with_lag(LabPlan *p)
{
    p->report_lag_s = 2;
}

static void with_lost_zone(LabPlan *p)
{
    p->lost_zone = 1;
    p->lost_from_s = 20;
    p->rate *= 0.6;
}

/* Prints a row of the latency table. *first_p99 is the p99 that ratios refer
   to; it is set by the first row of a case. */
static void latency_of(const char *name, PlanEdit edit, const char *balance,
                       double *first_p99)
{
    Mean p50 = { 0 }, p99 = { 0 }, ok = { 0 }, attempts = { 0 };
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        LabPlan p = one_pool(seed);
        LabResult r;
        p.balance = balance;
        edit(&p);
        lab_run(&p, &r);
        add(&p50, sample_quantile(r.first_ms, 0.5));
        add(&p99, sample_quantile(r.first_ms, 0.99));
        add(&ok, (double)r.ok / (double)r.offered);
        add(&attempts, (double)r.attempts / (double)r.offered);
        lab_result_destroy(&r);
    }
    if (*first_p99 == 0)
        *first_p99 = mean(&p99);
    printf("%-10s %-15s %8.1f %8.1f (%.1f-%.1f) %8.2f %9.4f %9.3f\n", name,
           balance, mean(&p50), mean(&p99), p99.min, p99.max,
           mean(&p99) / *first_p99, mean(&ok), mean(&attempts));
}

static void table_latency(void)
{
    static const char *const policies[] = { "random", "round_robin",
                                            "least_reported", "two_choices",
                                            "probe" };
    static const struct {
        const char *name;
        PlanEdit edit;
    } cases[] = { { "80% load", as_is },
                  { "one slow", with_slow },
                  { "late loads", with_lag },
                  { "lost zone", with_lost_zone } };
    printf("\nFirst token in ms, 20 replicas, heavy-tailed answers, %d seeds; "
           "ratio of p99 to random's\n",
           SEEDS);
    printf("%-10s %-15s %8s %8s %15s %8s %9s %9s\n", "case", "policy", "p50",
           "p99", "", "/random", "answered", "attempts");
    for (size_t c = 0; c < WP_COUNT(cases); c++) {
        double random_p99 = 0;
        for (size_t i = 0; i < WP_COUNT(policies); i++)
            latency_of(cases[c].name, cases[c].edit, policies[i], &random_p99);
    }
}

/* --- bursts --- */

static double rate_of_capacity(SiteFn site, uint32_t seed)
{
    /* Bisects for the highest rate at which 99 % of requests are answered. */
    double low = 20, high = 400;
    for (int i = 0; i < 6; i++) {
        LabPlan p = site(seed);
        LabResult r;
        p.rate = (low + high) / 2;
        p.seconds = 40;
        p.warm_s = 20;
        lab_run(&p, &r);
        bool sustained = (double)r.ok >= 0.99 * (double)r.offered;
        *(sustained ? &low : &high) = p.rate;
        lab_result_destroy(&r);
    }
    return low;
}

/* Whether a class had a larger share of its requests answered than a higher
   class; differences up to 0.02 do not count. */
static bool inverted(const LabResult *r)
{
    for (unsigned i = 0; i < r->n_kinds; i++) {
        for (unsigned k = 0; k < r->n_kinds; k++) {
            const LabKind *a = &r->kinds[i], *b = &r->kinds[k];
            if (a->rank < b->rank && a->offered && b->offered &&
                (double)a->ok / (double)a->offered + 0.02 <
                    (double)b->ok / (double)b->offered)
                return true;
        }
    }
    return false;
}

/* Prints a row of the burst table: a site at `factor` times its capacity, and
   its recovery after a burst of 5 times 0.6 of its capacity. */
static void burst_of(const char *name, SiteFn site, double factor)
{
    Mean goodput = { 0 }, jain = { 0 }, attempts = { 0 }, recovery = { 0 };
    unsigned inversions = 0;
    double capacity = rate_of_capacity(site, 99);
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        LabPlan p = site(seed);
        LabResult r;
        p.rate = capacity * factor;
        p.seconds = 60;
        p.warm_s = 20;
        lab_run(&p, &r);
        add(&goodput, r.goodput / capacity);
        add(&jain, r.jain);
        add(&attempts, (double)r.attempts / (double)r.offered);
        inversions += inverted(&r);
        if (g_getenv("WP_KINDS"))
            for (unsigned i = 0; i < r.n_kinds; i++)
                printf("  %s rank %u: %.3f of %lu\n", r.kinds[i].name,
                       r.kinds[i].rank,
                       (double)r.kinds[i].ok / (double)r.kinds[i].offered,
                       (unsigned long)r.kinds[i].offered);
        lab_result_destroy(&r);
        p.rate = 0.6 * capacity;
        p.burst_from_s = 25;
        p.burst_to_s = 40;
        p.burst_factor = 5;
        lab_run(&p, &r);
        add(&recovery, r.recovered_after_s < 0 ? 99 : r.recovered_after_s);
        lab_result_destroy(&r);
    }
    printf("%-11s %8.0f/s %5.1fx %9.3f (%.3f-%.3f) %7.3f %9.3f %8u/%d %9.1f "
           "s\n",
           name, capacity, factor, mean(&goodput), goodput.min, goodput.max,
           jain.min, attempts.max, inversions, SEEDS, recovery.max);
}

/* Three classes that share one pool of twenty agents. */
static LabPlan classes(uint32_t seed)
{
    static const LabPool pool[] = { { "planner-1", 20 } };
    LabPlan p = lakeshore(seed);
    p.rules = "bench/classes.yaml";
    p.pools = pool;
    p.n_pools = 1;
    return p;
}

static void table_burst(void)
{
    printf("\nBursts, %d seeds: goodput over capacity, Jain's index over ten "
           "workspaces (min),\nattempts per request (max), runs with an "
           "inversion of classes, seconds until\nservice recovers after 15 s "
           "at five times the base rate (max)\n",
           SEEDS);
    printf("%-11s %10s %6s %9s %15s %7s %9s %10s %10s\n", "site", "capacity",
           "load", "goodput", "", "Jain", "attempts", "inversions", "back");
    burst_of("lakeshore", lakeshore, 3);
    burst_of("laurentide", laurentide, 3);
    burst_of("one pool", classes, 3);
}

/* --- versions that turn bad --- */

static Wp__Chart *load_chart(void)
{
    g_autofree char *text = NULL;
    gsize n;
    if (!g_file_get_contents("charts/rollout.yaml", &text, &n, NULL))
        g_error("cannot read charts/rollout.yaml");
    return wp_chart_read(wp_strn(text, n), "charts/rollout.yaml", NULL);
}

static LabPlan rollout(uint32_t seed, const Wp__Chart *chart)
{
    static const LabTrueQuality quality[] = { { "rider-answer", "old", 0.92 },
                                              { "rider-answer", "new", 0.92 } };
    static const LabPool pools[] = { { "old", 10 }, { "new", 10 } };
    LabPlan p = lakeshore(seed);
    p.rules = "bench/rollout.yaml";
    p.mix = "bench/one-mix.yaml";
    p.true_quality = quality;
    p.n_true_quality = WP_COUNT(quality);
    p.pools = pools;
    p.n_pools = 2;
    p.rate = 60;
    p.seconds = 120;
    p.warm_s = 0;
    p.chart = chart;
    p.stop_bad = true;
    return p;
}

static void table_bad(void)
{
    Wp__Chart *chart = load_chart();
    Mean served = { 0 }, share = { 0 }, after = { 0 };
    unsigned stopped = 0, false_stops = 0, done = 0;
    printf("\nExposure to a bad version: one at 10%% share is bad from its "
           "first request\n(quality 0.5 for 0.92), a fifth of answers rated, "
           "3 s late; and %d good rollouts\n",
           GOOD_ROLLOUTS);
    for (uint32_t seed = 1; seed <= 4 * SEEDS; seed++) {
        LabPlan p = rollout(seed, chart);
        LabResult r;
        p.mix = "bench/rated-mix.yaml";
        p.bad_version = "new";
        p.bad_from_s = 0;
        p.bad_quality = 0.5;
        lab_run(&p, &r);
        stopped += r.stopped_after_s >= 0;
        add(&served, (double)r.bad_served);
        add(&share, (double)r.bad_served / (double)r.window_served);
        add(&after, r.stopped_after_s);
        lab_result_destroy(&r);
    }
    printf("bad: stopped %u of %d, after %.1f s (max %.1f), served %.0f "
           "requests (max %.0f), %.4f of the window's (max %.4f)\n",
           stopped, 4 * SEEDS, mean(&after), after.max, mean(&served),
           served.max, mean(&share), share.max);
    for (uint32_t seed = 1; seed <= GOOD_ROLLOUTS; seed++) {
        LabPlan p = rollout(seed + 500, chart);
        LabResult r;
        p.mix = "bench/rated-mix.yaml";
        lab_run(&p, &r);
        false_stops += !strcmp(r.rollout_state, "stopped");
        done += !strcmp(r.rollout_state, "done");
        lab_result_destroy(&r);
    }
    printf("good: %u of %d done, %u stopped falsely\n", done, GOOD_ROLLOUTS,
           false_stops);
    wp_pb_free(chart);
}

/* --- CPU time of one decision --- */

/* CPU time of this thread in microseconds. */
static double thread_us(void)
{
    struct timespec t;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return (double)t.tv_sec * WP_US_PER_S + (double)t.tv_nsec / 1000;
}

static WPEndpoint *make_endpoint(unsigned i)
{
    WPEndpoint *e = g_new0(WPEndpoint, 1);
    e->id = g_strdup_printf("a%u", i);
    e->zone = "z1";
    e->slots = 8;
    e->inflight = i * 7 % 9;
    e->service_us = 100000;
    e->first_token_us = 10000 + i % 50 * 100;
    return e;
}

/* Prints the mean CPU time of a routing decision with this many endpoints. */
static void decision_cpu(unsigned endpoints)
{
    enum { ROUNDS = 200000 };
    WPBalancer *b = wp_balancer_new("probe", 1);
    g_autofree WPEndpoint **local = g_new0(WPEndpoint *, endpoints);
    g_autofree WPEndpoint **remote = g_new0(WPEndpoint *, endpoints);
    unsigned n_local = MAX(endpoints / 20, 8), n_remote = endpoints - n_local;
    for (unsigned i = 0; i < n_local; i++)
        local[i] = make_endpoint(i);
    for (unsigned i = 0; i < n_remote; i++)
        remote[i] = make_endpoint(i + n_local);
    Wp__Rules *rules;
    g_autofree char *text = NULL;
    gsize size;
    g_file_get_contents("bench/lakeshore.yaml", &text, &size, NULL);
    rules = (Wp__Rules *)wp_yaml_read(&wp__rules__descriptor,
                                      wp_strn(text, size), "rules", NULL);
    GPtrArray *ops = wp_rules_to_ops(rules);
    Wp__Snapshot snap = WP__SNAPSHOT__INIT;
    WPConfig *config = wp_config_new();
    snap.revision = 1;
    snap.n_ops = ops->len;
    snap.ops = (Wp__Op **)ops->pdata;
    wp_config_apply_snapshot(config, &snap);
    WPPolicy *policy = wp_policy_new(config);
    WPQuality *quality = wp_quality_new();
    WPBound *table = wp_quality_table(quality, policy);
    WPVersionQuery c = { .policy = policy,
                         .kind = wp_policy_kind(policy, "rider-answer"),
                         .bounds = table,
                         .prompt_tokens = 50,
                         .answer_tokens = 50 };
    WPPickQuery p = { .local = local,
                      .n_local = n_local,
                      .remote = remote,
                      .n_remote = n_remote };
    const WPChooser *chooser = wp_chooser("cost");
    const WPWorkspace *ws = wp_policy_workspace_at(policy, 0);
    struct mallinfo2 before = mallinfo2();
    double start = thread_us();
    for (int i = 0; i < ROUNDS; i++) {
        wp_policy_allowed(policy, ws, c.kind, NULL, &c.allowed);
        c.random = (double)(i % 1000) / 1000;
        chooser->ops->choose(chooser, &c);
        p.now_us = i;
        p.affinity = (uint64_t)i;
        b->ops->pick(b, &p);
    }
    double us = (thread_us() - start) / ROUNDS;
    struct mallinfo2 then = mallinfo2();
    printf("%8u endpoints: %6.2f us per decision, %ld bytes allocated\n",
           endpoints, us, (long)then.uordblks - (long)before.uordblks);
    for (unsigned i = 0; i < n_local + n_remote; i++) {
        WPEndpoint *e = i < n_local ? local[i] : remote[i - n_local];
        g_free((gpointer)e->id);
        g_free(e);
    }
    g_free(table);
    wp_quality_free(quality);
    wp_policy_unref(policy);
    wp_config_free(config);
    wp_ops_free(ops);
    wp_pb_free(rules);
    wp_balancer_free(b);
}

static void table_cpu(void)
{
    printf("\nCPU time of a decision: allowed set, version, endpoint\n");
    decision_cpu(20);
    decision_cpu(300);
    decision_cpu(10000);
}

static const struct {
    const char *name;
    void (*run)(void);
} tables[] = { { "cost", table_cost },
               { "latency", table_latency },
               { "burst", table_burst },
               { "bad", table_bad },
               { "cpu", table_cpu } };

int main(int argc, char **argv)
{
    setvbuf(stdout, NULL, _IOLBF, 0);
    for (size_t i = 0; i < WP_COUNT(tables); i++) {
        bool selected = argc < 2;
        for (int k = 1; k < argc; k++)
            selected |= !strcmp(argv[k], tables[i].name);
        if (selected)
            tables[i].run();
    }
    return 0;
}
