/* The balancing and admission policies under load and faults, with one seed
 * each, so that a regression shows before `make bench` measures them at
 * length. */
#include "lab.h"
#include "test.h"

static const LabTrueQuality truth[] = { { "rider-answer", "planner-1", 0.97 },
                                        { "damage-tag", "planner-1", 0.96 },
                                        { "summary", "planner-1", 0.97 },
                                        { "plan", "planner-1", 0.95 } };
static const LabPool pool[] = { { "planner-1", 20 } };

static LabPlan one_pool(const char *rules, const char *mix)
{
    LabPlan p = { .rules = rules,
                  .mix = mix,
                  .true_quality = truth,
                  .n_true_quality = WP_COUNT(truth),
                  .pools = pool,
                  .n_pools = 1,
                  .entries = 3,
                  .zones = 3,
                  .slots = 8,
                  .queue = 24,
                  .step_us = 10000,
                  .choose = "strongest",
                  .balance = "probe",
                  .seed = 5,
                  .seconds = 40,
                  .warm_s = 10,
                  .rating_lag_s = 3,
                  .slow_agent = -1,
                  .lost_zone = -1 };
    p.rate = 0.8 * lab_capacity(&p);
    return p;
}

static double p99(LabPlan p, const char *balance)
{
    LabResult r;
    p.balance = balance;
    lab_run(&p, &r);
    double ms = sample_quantile(r.first_ms, 0.99);
    lab_result_destroy(&r);
    return ms;
}

#define LAKESHORE "bench/lakeshore.yaml", "bench/one-mix.yaml"

static void the_first_token_comes_sooner_than_by_baselines(void **state)
{
    LabPlan p = one_pool(LAKESHORE);
    (void)state;
    double own = p99(p, "probe");
    assert_true(own < 0.5 * p99(p, "random"));
    assert_true(own < 0.9 * p99(p, "two_choices"));
}

static void a_slow_endpoint_is_avoided(void **state)
{
    LabPlan p = one_pool(LAKESHORE);
    (void)state;
    p.slow_agent = 4;
    p.slow_factor = 4;
    p.slow_from_s = 12;
    p.rate *= 0.95;
    assert_true(p99(p, "probe") < 0.5 * p99(p, "round_robin"));
}

static void late_load_reports_are_discounted(void **state)
{
    LabPlan p = one_pool(LAKESHORE);
    (void)state;
    p.report_lag_s = 2;
    assert_true(p99(p, "probe") < 0.5 * p99(p, "least_reported"));
}

static void overload_keeps_goodput_and_class_order(void **state)
{
    LabPlan p = one_pool("bench/classes.yaml", "bench/lakeshore-mix.yaml");
    LabResult r, normal;
    (void)state;
    p.rate = 300;
    lab_run(&p, &normal);
    p.rate = 900;
    lab_run(&p, &r);
    assert_true(r.goodput >= 0.95 * normal.goodput);
    assert_true((double)r.attempts <= 1.1 * (double)r.offered);
    assert_true(r.jain > 0.85);
    for (unsigned i = 0; i < r.n_kinds; i++)
        for (unsigned k = 0; k < r.n_kinds; k++)
            if (r.kinds[i].rank < r.kinds[k].rank)
                assert_true((double)r.kinds[i].ok /
                                (double)r.kinds[i].offered >=
                            (double)r.kinds[k].ok / (double)r.kinds[k].offered);
    lab_result_destroy(&r);
    lab_result_destroy(&normal);
}

static LabPlan canary_plan(const Wp__Chart *chart)
{
    static const LabTrueQuality two[] = { { "rider-answer", "old", 0.92 },
                                          { "rider-answer", "new", 0.92 } };
    static const LabPool pools[] = { { "old", 10 }, { "new", 10 } };
    LabPlan p = one_pool("bench/rollout.yaml", "bench/rated-mix.yaml");
    p.true_quality = two;
    p.n_true_quality = 2;
    p.pools = pools;
    p.n_pools = 2;
    p.choose = "cost";
    p.rate = 60;
    p.seconds = 120;
    p.warm_s = 0;
    p.chart = chart;
    p.stop_bad = true;
    return p;
}

static void a_bad_version_is_stopped_and_a_good_one_is_not(void **state)
{
    g_autofree char *text = NULL;
    gsize n;
    (void)state;
    assert_true(g_file_get_contents("charts/rollout.yaml", &text, &n, NULL));
    Wp__Chart *chart = wp_chart_read(wp_strn(text, n), "chart", NULL);
    LabPlan p = canary_plan(chart);
    LabResult r;
    lab_run(&p, &r);
    assert_string_equal(r.rollout_state, "done");
    lab_result_destroy(&r);
    p.bad_version = "new";
    p.bad_quality = 0.5;
    lab_run(&p, &r);
    assert_string_equal(r.rollout_state, "stopped");
    assert_true(r.bad_served < 0.02 * (double)r.window_served);
    lab_result_destroy(&r);
    wp_pb_free(chart);
}

TESTS_MAIN(T(the_first_token_comes_sooner_than_by_baselines),
           T(a_slow_endpoint_is_avoided), T(late_load_reports_are_discounted),
           T(overload_keeps_goodput_and_class_order),
           T(a_bad_version_is_stopped_and_a_good_one_is_not))
