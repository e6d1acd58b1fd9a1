/* What is expected of first bytes, and what follows for the choice of model. */
#include "test.h"
#include "wp_cascade.h"
#include "wp_latency.h"

#include <math.h>

/* As engines read prompts: a part in proportion, a part by the square. */
static int64_t read_us(uint32_t tokens)
{
    double k = tokens / 1000.0;
    return (int64_t)(50000 + 27000 * k + 460 * k * k);
}

/* A prompt of which nothing is kept, on an idle endpoint. */
static WPTtfbInputs cold(uint32_t tokens)
{
    return (WPTtfbInputs){ .prompt_tokens = tokens, .uncached_tokens = tokens };
}

static void add(WPTtfbModel *s, uint32_t tokens, int64_t us)
{
    WPTtfbInputs w = cold(tokens);
    wp_ttfb_add(s, &w, us);
}

static double expect_of(WPTtfbModel *s, uint32_t tokens)
{
    WPTtfbInputs w = cold(tokens);
    return wp_ttfb_predict(s, &w);
}

static void long_prompts_are_foretold_by_the_curve(void **state)
{
    WPTtfbModel s = { 0 };
    (void)state;
    for (uint32_t i = 0; i < 300; i++) {
        uint32_t tokens = 500 + (i * 7919) % 20000;
        add(&s, tokens, read_us(tokens));
    }
    for (uint32_t tokens = 1000; tokens <= 60000; tokens += 1000) {
        double expect = expect_of(&s, tokens);
        assert_true(fabs(expect - (double)read_us(tokens)) <
                    0.02 * (double)read_us(tokens));
    }
}

static void few_or_alike_prompts_are_no_reason_for_a_slope(void **state)
{
    WPTtfbModel s = { 0 };
    (void)state;
    for (int i = 0; i < 19; i++)
        add(&s, 600, 60000);
    assert_true(expect_of(&s, 600) == 0);
    add(&s, 600, 60000);
    assert_true(fabs(expect_of(&s, 50000) - 60000) < 1);
}

/* A chance late answer to a short prompt bends the curve down: the line is
   taken then, which does not fall with the length. */
static void no_curve_falls_with_the_length(void **state)
{
    WPTtfbModel s = { 0 };
    (void)state;
    for (uint32_t i = 0; i < 100; i++) {
        uint32_t tokens = 500 + (i * 7919) % 20000;
        add(&s, tokens, tokens < 1500 ? 900000 : read_us(tokens));
    }
    assert_true(expect_of(&s, 60000) >= expect_of(&s, 20000));
}

/* What is kept is not read; what runs and waits there comes before. */
static void kept_tokens_load_and_prompts_ahead_are_told_apart(void **state)
{
    WPTtfbModel s = { 0 };
    GRand *r = g_rand_new_with_seed(3);
    (void)state;
    for (int i = 0; i < 600; i++) {
        WPTtfbInputs w = { .prompt_tokens =
                               (uint32_t)g_rand_int_range(r, 1000, 40000) };
        w.uncached_tokens = (uint32_t)(w.prompt_tokens * g_rand_double(r));
        w.load = g_rand_double(r) * 20;
        w.queued_prefill_us = g_rand_double(r) * 2e6;
        double k = w.uncached_tokens / 1000.0, all = w.prompt_tokens / 1000.0;
        double us = 20000 + 27000 * k + 500 * k * (all - k / 2) +
                    8000 * w.load + 1.5 * w.queued_prefill_us;
        us *= 0.9 + 0.2 * g_rand_double(r);
        wp_ttfb_add(&s, &w, (int64_t)us);
    }
    g_rand_free(r);
    WPTtfbInputs full = { .prompt_tokens = 30000, .uncached_tokens = 30000 };
    WPTtfbInputs most = { .prompt_tokens = 30000, .uncached_tokens = 3000 };
    WPTtfbInputs busy = { .prompt_tokens = 30000,
                          .uncached_tokens = 3000,
                          .load = 20 };
    WPTtfbInputs after = { .prompt_tokens = 30000,
                           .uncached_tokens = 3000,
                           .queued_prefill_us = 2e6 };
    double base = wp_ttfb_predict(&s, &most);
    assert_true(fabs(wp_ttfb_predict(&s, &full) - 1055000) < 80000);
    assert_true(fabs(base - 143750) < 60000);
    assert_true(fabs(wp_ttfb_predict(&s, &busy) - base - 160000) < 40000);
    assert_true(fabs(wp_ttfb_predict(&s, &after) - base - 3e6) < 200000);
    assert_true(wp_ttfb_predict_prefill(&s, &most) <
                wp_ttfb_predict_prefill(&s, &full));
}

static const WPCascadeRules rules = { .confidence_even = 44,
                                      .confidence_spread = 7,
                                      .answer_value = 0.35,
                                      .request_value = 0.4,
                                      .strain_from = 0.1,
                                      .strain_weight = 3 };

/* An endpoint that says that its work takes twice as long is expected to take
   twice as long, and what it takes tells of the others what it would there. */
static void pace_scales_times(void **state)
{
    (void)state;
    WPTtfbModel s = { 0 };
    for (uint32_t i = 0; i < 300; i++) {
        uint32_t tokens = 500 + (i * 7919) % 20000;
        WPTtfbInputs slow = cold(tokens);
        slow.slowdown = 2;
        wp_ttfb_add(&s, &slow, 2 * read_us(tokens));
        add(&s, tokens, read_us(tokens));
    }
    WPTtfbInputs w = cold(10000);
    double us = wp_ttfb_predict(&s, &w),
           reading_us = wp_ttfb_predict_prefill(&s, &w);
    assert_true(fabs(us - (double)read_us(10000)) < 0.02 * us);
    w.slowdown = 2;
    assert_true(fabs(wp_ttfb_predict(&s, &w) - 2 * us) < 1);
    assert_true(fabs(wp_ttfb_predict_prefill(&s, &w) - 2 * reading_us) < 1);
}

static void the_chance_to_be_in_time(void **state)
{
    (void)state;
    assert_true(wp_cascade_on_time_chance(0, 1000) == 1);
    assert_true(fabs(wp_cascade_on_time_chance(1000, 1000) - 0.5) < 0.01);
    assert_true(wp_cascade_on_time_chance(1000, 1500) > 0.99);
    assert_true(wp_cascade_on_time_chance(1500, 1000) < 0.05);
}

/* The largest model at once pays where both in turn would be late and it alone
   would not, and only there. */
static void the_largest_model_is_asked_at_once_where_two_are_late(void **state)
{
    WPCascadeStart c = { .prompt_tokens = 30000,
                         .answer_tokens = 400,
                         .model_cost = 0.22,
                         .good_share = 0.5,
                         .on_time_largest = 0.9 };
    (void)state;
    assert_true(wp_cascade_starts_with_largest(&rules, &c));
    c.on_time_both = 1;
    assert_false(wp_cascade_starts_with_largest(&rules, &c));
    c.on_time_both = 0.05;
    c.on_time_largest = 0.1;
    assert_false(wp_cascade_starts_with_largest(&rules, &c));
}

/* Reading is dear where engines are strained and earn much; what is kept need
   not be read, so its answer is still worth asking for. */
static void reading_is_priced_by_strain_and_earnings(void **state)
{
    WPValueRate e;
    WPCascadeEscalation c = { .confidence = 45,
                              .prompt_tokens = 17000,
                              .answer_tokens = 120,
                              .model_cost = 0.12,
                              .on_time_chance = 1 };
    (void)state;
    wp_value_rate_init(&e);
    assert_true(wp_cascade_prefill_price(&rules, &e, 0.05) == 0);
    double mild = wp_cascade_prefill_price(&rules, &e, 0.15);
    assert_true(mild > 0);
    assert_true(wp_cascade_prefill_price(&rules, &e, 0.3) > 3 * mild);
    for (int i = 0; i < 300; i++) { /* twice the earnings of a second */
        wp_value_rate_add_request(&e, &rules, 17000, 120);
        wp_value_rate_add_prefill(&e, 0.17);
    }
    assert_true(fabs(wp_value_rate_per_s(&e) - 6.77 / 0.17) < 2);
    double busy = wp_cascade_prefill_price(&rules, &e, 0.25);
    c.prefill_price = 1.4 * busy;
    assert_true(wp_cascade_escalation_gain(&rules, &c) < 0);
    c.prefill_price = 0.1 * busy;
    assert_true(wp_cascade_escalation_gain(&rules, &c) > 0);
}

/* Right after a start nothing has been seen: what is usual holds, and the
   first requests do not move it far. */
static void a_start_does_not_make_reading_dear(void **state)
{
    WPValueRate e;
    (void)state;
    wp_value_rate_init(&e);
    double usual = wp_value_rate_per_s(&e);
    for (int i = 0; i < 10; i++)
        wp_value_rate_add_request(&e, &rules, 9000, 100);
    assert_true(wp_value_rate_per_s(&e) < 1.5 * usual);
}

TESTS_MAIN(T(reading_is_priced_by_strain_and_earnings),
           T(a_start_does_not_make_reading_dear),
           T(kept_tokens_load_and_prompts_ahead_are_told_apart),
           T(long_prompts_are_foretold_by_the_curve),
           T(few_or_alike_prompts_are_no_reason_for_a_slope),
           T(no_curve_falls_with_the_length), T(pace_scales_times),
           T(the_chance_to_be_in_time),
           T(the_largest_model_is_asked_at_once_where_two_are_late))
