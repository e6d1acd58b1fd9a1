/* The likelihoods by which versions that fail are told from good ones. */
#include "test.h"
#include "wp_failure.h"

#include <math.h>

static WPFailureEvidence compare(const WPFailureCounts *c, unsigned part)
{
    WPFailureTime times[WP_FAILURE_TIMES] = { 0 };
    times[part] = (WPFailureTime){ c->answered, c->failed };
    return wp_failure_compare(c, 1, times);
}

/* Density of the rate p that both versions have in common, after the old
   version's answers, up to a factor. */
static double density(const WPFailureCounts *c, double p)
{
    double sound = (double)c->old_answered - c->old_failed;
    double prior = 0.9 * 99 * pow(1 - p, 98) + 0.1 / M_PI / sqrt(p * (1 - p));
    return prior * exp(c->old_failed * log(p) + sound * log1p(-p));
}

/* The same odds by integrating numerically over this rate. */
static double integrated_log_odds(const WPFailureCounts *c)
{
    static const double shares[] = { 0.02, 0.04, 0.08, 0.15, 0.3, 0.5, 0.8 };
    enum { STEPS = 200000 };
    double good = 0, bad[WP_COUNT(shares)] = { 0 }, sum = 0;
    double failed = c->failed, sound = (double)c->answered - failed;
    for (int i = 0; i < STEPS; i++) {
        double p = (i + 0.5) / STEPS, weight = density(c, p);
        good += weight * pow(p, failed) * pow(1 - p, sound);
        for (size_t q = 0; q < WP_COUNT(shares); q++) {
            double rate = shares[q] + (1 - shares[q]) * p;
            bad[q] += weight * pow(rate, failed) * pow(1 - rate, sound);
        }
    }
    for (size_t q = 0; q < WP_COUNT(shares); q++)
        sum += bad[q] / good / WP_COUNT(shares);
    return log(sum);
}

static void log_odds_equal_the_integral_over_the_common_rate(void **state)
{
    static const WPFailureCounts cases[] = {
        { 24, 1, 155, 0 }, { 93, 2, 600, 0 }, { 60, 12, 300, 40 },
        { 40, 0, 100, 3 }, { 5, 5, 6, 6 },    { 200, 40, 500, 70 },
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++) {
        double odds = compare(&cases[i], 0).log_odds;
        assert_true(fabs(odds - integrated_log_odds(&cases[i])) < 0.01);
    }
}

static void large_counts_have_finite_odds(void **state)
{
    static const WPFailureCounts cases[] = {
        { 1000000, 1000000, 0, 0 },
        { 1000000, 0, 1000000, 1000000 },
        { 100000, 20000, 1000000, 200000 },
        { UINT32_MAX, 0, UINT32_MAX, 0 },
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++)
        assert_true(isfinite(compare(&cases[i], 7).log_odds));
}

static void no_answers_speak_for_neither(void **state)
{
    const WPFailureCounts none = { 0, 0, 1000, 0 };
    (void)state;
    assert_true(compare(&none, 0).log_odds == 0);
}

/* Requests of a route all of which fail, whatever serves them, say nothing. */
static void
route_that_always_fails_does_not_speak_against_a_version(void **state)
{
    const WPFailureCounts cases[] = { { 2, 2, 6, 6 }, { 4, 4, 2, 2 } };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++)
        assert_true(compare(&cases[i], 0).log_odds < 0.5);
}

/* The kind that fits best is named, with its route. */
static void kind_of_the_failures_is_named(void **state)
{
    const WPFailureCounts even[] = { { 50, 5, 500, 0 },
                                     { 50, 5, 500, 0 },
                                     { 50, 5, 500, 0 } };
    const WPFailureCounts one[] = { { 200, 0, 500, 0 },
                                    { 200, 0, 500, 0 },
                                    { 20, 8, 500, 0 } };
    WPFailureTime evenly[WP_FAILURE_TIMES], late[WP_FAILURE_TIMES];
    (void)state;
    for (unsigned i = 0; i < WP_FAILURE_TIMES; i++) {
        evenly[i] = (WPFailureTime){ 20, 2 };
        late[i] = (WPFailureTime){ 20, i == WP_FAILURE_TIMES - 1 ? 15 : 0 };
    }
    assert_int_equal(wp_failure_compare(even, 3, evenly).kind,
                     WP_FAILS_EVERYWHERE);
    assert_int_equal(wp_failure_compare(even, 3, late).kind, WP_FAILS_LATE);
    for (unsigned i = 0; i < WP_FAILURE_TIMES; i++)
        evenly[i] = (WPFailureTime){ 52, 1 };
    WPFailureEvidence e = wp_failure_compare(one, 3, evenly);
    assert_int_equal(e.kind, WP_FAILS_ON_ROUTE);
    assert_int_equal(e.route, 2);
}

/* Of a test by likelihoods fewer than 1 in e^6 good versions are found bad. */
static void repeated_looks_find_no_good_version_bad(void **state)
{
    enum { VERSIONS = 2000, ANSWERS = 150 };
    GRand *rand = g_rand_new_with_seed(3);
    unsigned found = 0;
    (void)state;
    for (int i = 0; i < VERSIONS; i++) {
        WPFailureTime times[WP_FAILURE_TIMES] = { 0 };
        WPFailureCounts c = { .old_answered = 500 };
        double rate = g_rand_double(rand) * 0.02, most = 0;
        for (unsigned n = 0; n < c.old_answered; n++)
            c.old_failed += g_rand_double(rand) < rate;
        for (unsigned n = 0; n < ANSWERS; n++) {
            bool failed = g_rand_double(rand) < rate;
            WPFailureTime *t = &times[n * WP_FAILURE_TIMES / ANSWERS];
            c.answered++;
            t->answered++;
            c.failed += failed;
            t->failed += failed;
            if (failed)
                most = MAX(most, wp_failure_compare(&c, 1, times).log_odds);
        }
        found += most >= 6;
    }
    g_rand_free(rand);
    assert_in_range(found, 0, VERSIONS / 400);
}

TESTS_MAIN(T(log_odds_equal_the_integral_over_the_common_rate),
           T(large_counts_have_finite_odds), T(no_answers_speak_for_neither),
           T(route_that_always_fails_does_not_speak_against_a_version),
           T(kind_of_the_failures_is_named),
           T(repeated_looks_find_no_good_version_bad))
