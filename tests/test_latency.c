/* Prediction of the time to first byte (TTFB), and the choice of the model that
 * follows from it. */
#include "test.h"
#include "wp_cascade.h"
#include "wp_latency.h"

#include <math.h>

/* Time to first byte of an engine whose prefill time has a part proportional to
   the number of tokens and one that grows with its square. */
static int64_t ttfb_us(uint32_t tokens)
{
    double k = tokens / 1000.0;
    return (int64_t)(50000 + 27000 * k + 460 * k * k);
}

/* Inputs of a prompt of which nothing is cached, at an idle endpoint. */
static WPTtfbInputs uncached(uint32_t tokens)
{
    return (WPTtfbInputs){ .prompt_tokens = tokens, .uncached_tokens = tokens };
}

static void add(WPTtfbModel *s, uint32_t tokens, int64_t us)
{
    WPTtfbInputs w = uncached(tokens);
    wp_ttfb_add(s, &w, us);
}

static double predict(WPTtfbModel *s, uint32_t tokens)
{
    WPTtfbInputs w = uncached(tokens);
    return wp_ttfb_predict(s, &w);
}

static void long_prompts_are_predicted_by_the_curve(void **state)
{
    WPTtfbModel s = { 0 };
    (void)state;
    for (uint32_t i = 0; i < 300; i++) {
        uint32_t tokens = 500 + (i * 7919) % 20000;
        add(&s, tokens, ttfb_us(tokens));
    }
    for (uint32_t tokens = 1000; tokens <= 60000; tokens += 1000) {
        double predicted = predict(&s, tokens);
        assert_true(fabs(predicted - (double)ttfb_us(tokens)) <
                    0.02 * (double)ttfb_us(tokens));
    }
}

static void few_or_equal_prompts_give_no_slope(void **state)
{
    WPTtfbModel s = { 0 };
    (void)state;
    for (int i = 0; i < 19; i++)
        add(&s, 600, 60000);
    assert_true(predict(&s, 600) == 0);
    add(&s, 600, 60000);
    assert_true(fabs(predict(&s, 50000) - 60000) < 1);
}

/* A chance late answer to a short prompt bends the fitted curve down: the
   prediction is then a straight line, which does not fall with the length. */
static void prediction_does_not_fall_with_the_length(void **state)
{
    WPTtfbModel s = { 0 };
    (void)state;
    for (uint32_t i = 0; i < 100; i++) {
        uint32_t tokens = 500 + (i * 7919) % 20000;
        add(&s, tokens, tokens < 1500 ? 900000 : ttfb_us(tokens));
    }
    assert_true(predict(&s, 60000) >= predict(&s, 20000));
}

/* Cached tokens need no prefill; requests that run or wait at the endpoint come
   first. */
static void cached_tokens_load_and_queue_are_separated(void **state)
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
    WPTtfbInputs none_cached = { .prompt_tokens = 30000,
                                 .uncached_tokens = 30000 };
    WPTtfbInputs most_cached = { .prompt_tokens = 30000,
                                 .uncached_tokens = 3000 };
    WPTtfbInputs busy = { .prompt_tokens = 30000,
                          .uncached_tokens = 3000,
                          .load = 20 };
    WPTtfbInputs queued = { .prompt_tokens = 30000,
                            .uncached_tokens = 3000,
                            .queued_prefill_us = 2e6 };
    double base = wp_ttfb_predict(&s, &most_cached);
    assert_true(fabs(wp_ttfb_predict(&s, &none_cached) - 1055000) < 80000);
    assert_true(fabs(base - 143750) < 60000);
    assert_true(fabs(wp_ttfb_predict(&s, &busy) - base - 160000) < 40000);
    assert_true(fabs(wp_ttfb_predict(&s, &queued) - base - 3e6) < 200000);
    assert_true(wp_ttfb_predict_prefill(&s, &most_cached) <
                wp_ttfb_predict_prefill(&s, &none_cached));
}

static const WPCascadeRules rules = { .confidence_even = 44,
                                      .confidence_spread = 7,
                                      .answer_value = 0.35,
                                      .request_value = 0.4,
                                      .strain_from = 0.1,
                                      .strain_weight = 3 };

/* An endpoint that reports that its work takes twice as long (a slowdown of 2)
   is predicted to take twice as long; its times, divided by its slowdown, are
   learned for the other endpoints as well. */
static void slowdown_scales_times(void **state)
{
    (void)state;
    WPTtfbModel s = { 0 };
    for (uint32_t i = 0; i < 300; i++) {
        uint32_t tokens = 500 + (i * 7919) % 20000;
        WPTtfbInputs slow = uncached(tokens);
        slow.slowdown = 2;
        wp_ttfb_add(&s, &slow, 2 * ttfb_us(tokens));
        add(&s, tokens, ttfb_us(tokens));
    }
    WPTtfbInputs w = uncached(10000);
    double us = wp_ttfb_predict(&s, &w),
           prefill_us = wp_ttfb_predict_prefill(&s, &w);
    assert_true(fabs(us - (double)ttfb_us(10000)) < 0.02 * us);
    w.slowdown = 2;
    assert_true(fabs(wp_ttfb_predict(&s, &w) - 2 * us) < 1);
    assert_true(fabs(wp_ttfb_predict_prefill(&s, &w) - 2 * prefill_us) < 1);
}

static void chance_to_be_on_time(void **state)
{
    (void)state;
    assert_true(wp_cascade_on_time_chance(0, 1000) == 1);
    assert_true(fabs(wp_cascade_on_time_chance(1000, 1000) - 0.5) < 0.01);
    assert_true(wp_cascade_on_time_chance(1000, 1500) > 0.99);
    assert_true(wp_cascade_on_time_chance(1500, 1000) < 0.05);
}

/* Starting with the largest model pays only where asking both in turn would be
   late and the largest alone would not. */
static void starts_with_the_largest_model_where_both_would_be_late(void **state)
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

/* Prefill has a high price where engines are overloaded and have a high value
   rate; cached tokens need no prefill, so an escalation of such a prompt still
   pays. */
static void prefill_price_follows_overload_and_value_rate(void **state)
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
    for (int i = 0; i < 300; i++) { /* twice the value rate */
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

/* Right after a start nothing has been observed: the typical value rate holds,
   and the first requests do not change it much. */
static void start_does_not_raise_the_prefill_price(void **state)
{
    WPValueRate e;
    (void)state;
    wp_value_rate_init(&e);
    double typical = wp_value_rate_per_s(&e);
    for (int i = 0; i < 10; i++)
        wp_value_rate_add_request(&e, &rules, 9000, 100);
    assert_true(wp_value_rate_per_s(&e) < 1.5 * typical);
}

TESTS_MAIN(T(prefill_price_follows_overload_and_value_rate),
           T(start_does_not_raise_the_prefill_price),
           T(cached_tokens_load_and_queue_are_separated),
           T(long_prompts_are_predicted_by_the_curve),
           T(few_or_equal_prompts_give_no_slope),
           T(prediction_does_not_fall_with_the_length),
           T(slowdown_scales_times), T(chance_to_be_on_time),
           T(starts_with_the_largest_model_where_both_would_be_late))
