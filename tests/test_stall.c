/* Streams that stall while their engine prefills other prompts. */
#include "direct_fake.h"
#include "wp_engine_cost.h"

#define TARGET_US 1.2e6

static void long_prefill_causes_stalls(void **state)
{
    WPStallModel p;
    double last = 0;
    (void)state;
    wp_stall_init(&p);
    assert_float_equal(wp_stall_probability(&p, 0.5 * TARGET_US, TARGET_US), 0,
                       0.001);
    for (double ratio = 0.6; ratio < 4; ratio += 0.05) {
        double probability =
            wp_stall_probability(&p, ratio * TARGET_US, TARGET_US);
        assert_true(probability >= last && probability <= 1);
        last = probability;
    }
    assert_true(last > 0.9);
    /* Without a target no stall is too long. */
    assert_float_equal(wp_stall_probability(&p, 9e6, 0), 0, 0.001);
}

/* An engine whose events hold few tokens never stalls for so long, and this is
   learned from its streams. */
static void engine_that_does_not_stall_is_learned(void **state)
{
    WPStallModel p;
    (void)state;
    wp_stall_init(&p);
    for (int i = 0; i < 80; i++)
        wp_stall_add(&p, (0.6 + i % 4) * TARGET_US, TARGET_US, 0.5 * TARGET_US);
    for (int i = 0; i < 20; i++)
        wp_stall_add(&p, 1.3 * TARGET_US, TARGET_US, 0.5 * TARGET_US);
    assert_true(wp_stall_probability(&p, 1.3 * TARGET_US, TARGET_US) < 0.1);
    wp_stall_add(&p, 0, TARGET_US, 2 * TARGET_US); /* for another reason */
    assert_true(wp_stall_probability(&p, 1.3 * TARGET_US, TARGET_US) < 0.1);
}

static void peaks_are_found_by_time(void **state)
{
    WPPrefillPeaks p = { 0 };
    (void)state;
    for (int i = 0; i < 20; i++) {
        WPTime now = { i * WP_US_PER_S, 0 };
        wp_prefill_peaks_add(&p, now, i == 15 ? 2e6 : 3e5);
    }
    assert_float_equal(wp_prefill_peaks_max_since(&p, 14 * WP_US_PER_S), 2e6,
                       1);
    assert_float_equal(wp_prefill_peaks_max_since(&p, 16 * WP_US_PER_S), 3e5,
                       1);
    assert_float_equal(wp_prefill_peaks_max_since(&p, 30 * WP_US_PER_S), 0, 1);
}

static void learn(WPTtfbModel *s)
{
    for (uint32_t i = 0; i < 100; i++) {
        uint32_t tokens = 500 + (i * 7919) % 40000;
        WPTtfbInputs w = { .prompt_tokens = tokens, .uncached_tokens = tokens };
        wp_ttfb_add(s, &w, (int64_t)(20000 + tokens * 30.0));
    }
}

/* A prompt with a prefill time of 1.5 s goes to the engine with few streams; a
   short one to the affinity replica, as it costs the same at both engines. */
static void long_prompt_goes_where_few_streams_run(void **state)
{
    WPTtfbModel s = { 0 };
    WPStallModel stalls;
    Fake k;
    (void)state;
    fake_init(&k);
    learn(&s);
    wp_stall_init(&stalls);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l1"), k.now, 4, 0, 8);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l2"), k.now, 1, 0, 8);
    WPReplica *busy = wp_fleet_find(k.d.fleet, "l1");
    WPReplica *calm = wp_fleet_find(k.d.fleet, "l2");
    for (uint32_t tokens = 2000; tokens <= 50000; tokens += 48000) {
        const WPPrompt p = { .tokens = tokens };
        const WPEndpointQuery w = { .service = "llm",
                                    .zone = "z1",
                                    .prompt = &p,
                                    .ttfb = &s,
                                    .ttfb_weight = 1,
                                    .stalls = &stalls,
                                    .max_stall_us = TARGET_US,
                                    .stall_weight = 0.1 };
        uint32_t own[2] = { 0 };
        WPCacheHolders holders = { .cached_tokens = own };
        double a =
            wp_engine_cost(&k.d.rules.fleet, k.now, &w, busy, 0, &holders).cost;
        double b =
            wp_engine_cost(&k.d.rules.fleet, k.now, &w, calm, 0, &holders).cost;
        if (tokens < 40000)
            assert_float_equal(a, b, 0.01);
        else
            assert_float_equal(a - b, 0.1 * 3 * 0.55, 0.1);
    }
    fake_end(&k);
}

TESTS_MAIN(T(long_prefill_causes_stalls),
           T(engine_that_does_not_stall_is_learned), T(peaks_are_found_by_time),
           T(long_prompt_goes_where_few_streams_run))
