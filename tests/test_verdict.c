/* Orders for versions that fail, and for good ones, in virtual time through the
 * shift's own decisions: a short run of build/wpverdict. */
#include "test.h"
#include "verdict_sim.h"
#include "wp_pb.h"
#include "wp_rollout.h"

enum { PLAYS = 60, ORDER_MS = 25000 };

static const VerdictSite models = {
    "models", 91, { 0.3, 0.3, 0.4 }, { 0.001, 0.001, 0.001 }, { 0.15, 30 }
};

/* The number of orders that end in each state. */
static void play(const VerdictSite *site, const VerdictVersion *v,
                 unsigned count[3])
{
    g_autofree char *text = NULL;
    GError *error = NULL;
    GRand *rand = g_rand_new_with_seed(5);
    gsize n;
    assert_true(g_file_get_contents("charts/shift.yaml", &text, &n, NULL));
    Wp__Chart *chart = wp_chart_read(wp_strn(text, n), "chart", &error);
    assert_non_null(chart);
    count[0] = count[1] = count[2] = 0;
    for (int i = 0; i < PLAYS; i++)
        count[verdict_play(chart, site, v, v, ORDER_MS, true, rand).state]++;
    g_rand_free(rand);
    wp_pb_free(chart);
}

/* Versions that a judge who knows the fault hardly ever completes. */
static void versions_that_show_that_they_fail_are_completed(void **state)
{
    static const VerdictVersion bad[] = {
        { VERDICT_EVERYWHERE, 0.1 }, { VERDICT_EVERYWHERE, 0.9 },
        { VERDICT_ONE_ROUTE, 0.3 },  { VERDICT_ONE_ROUTE, 0.9 },
        { VERDICT_LATE, 0.1 },       { VERDICT_LATE, 0.3 },
        { VERDICT_LATE, 0.9 }
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(bad); i++) {
        unsigned count[3];
        play(&models, &bad[i], count);
        assert_int_equal(count[WP_SHIFT_DONE], 0);
    }
}

/* 1 in 100 good ones may be late, and none may be rolled back. */
static void good_versions_are_late_or_rolled_back(void **state)
{
    static const VerdictVersion good = { VERDICT_GOOD, 0 };
    enum { LATE_MAX = 3 }; /* more are chance in 1 of 300 runs */
    unsigned count[3];
    (void)state;
    play(&models, &good, count);
    assert_int_equal(count[WP_SHIFT_ROLLED_BACK], 0);
    assert_in_range(count[WP_SHIFT_RUNNING], 0, LATE_MAX);
}

TESTS_MAIN(T(versions_that_show_that_they_fail_are_completed),
           T(good_versions_are_late_or_rolled_back))
