/* What is expected of first bytes, and what follows for the choice of model. */
#include "test.h"
#include "wp_cascade.h"
#include "wp_speed.h"

#include <math.h>

/* As engines read prompts: a part in proportion, a part by the square. */
static int64_t read_us(uint32_t tokens)
{
    double k = tokens / 1000.0;
    return (int64_t)(50000 + 27000 * k + 460 * k * k);
}

static void long_prompts_are_foretold_by_the_curve(void **state)
{
    WPSpeed s = { 0 };
    (void)state;
    for (uint32_t i = 0; i < 300; i++) {
        uint32_t tokens = 500 + (i * 7919) % 20000;
        wp_speed_add(&s, tokens, read_us(tokens));
    }
    for (uint32_t tokens = 1000; tokens <= 60000; tokens += 1000) {
        double expect = wp_speed_expect(&s, tokens);
        assert_true(fabs(expect - (double)read_us(tokens)) <
                    0.02 * (double)read_us(tokens));
    }
}

static void few_or_alike_prompts_are_no_reason_for_a_slope(void **state)
{
    WPSpeed s = { 0 };
    (void)state;
    for (int i = 0; i < 19; i++)
        wp_speed_add(&s, 600, 60000);
    assert_true(wp_speed_expect(&s, 600) == 0);
    wp_speed_add(&s, 600, 60000);
    assert_true(fabs(wp_speed_expect(&s, 50000) - 60000) < 1);
}

/* A chance late answer to a short prompt bends the curve down: the line is
   taken then, which does not fall with the length. */
static void no_curve_falls_with_the_length(void **state)
{
    WPSpeed s = { 0 };
    (void)state;
    for (uint32_t i = 0; i < 100; i++) {
        uint32_t tokens = 500 + (i * 7919) % 20000;
        wp_speed_add(&s, tokens, tokens < 1500 ? 900000 : read_us(tokens));
    }
    assert_true(wp_speed_expect(&s, 60000) >= wp_speed_expect(&s, 20000));
}

static const WPCascadeRules rules = { .even = 44,
                                      .spread = 7,
                                      .value = 0.35,
                                      .base = 0.4,
                                      .strain_from = 0.1,
                                      .strain_weight = 80 };

static void the_chance_to_be_in_time(void **state)
{
    (void)state;
    assert_true(wp_cascade_in_time(0, 1000) == 1);
    assert_true(fabs(wp_cascade_in_time(1000, 1000) - 0.5) < 0.01);
    assert_true(wp_cascade_in_time(1000, 1500) > 0.99);
    assert_true(wp_cascade_in_time(1500, 1000) < 0.05);
}

/* The largest model at once pays where both in turn would be late and it alone
   would not, and only there. */
static void the_largest_model_is_asked_at_once_where_two_are_late(void **state)
{
    WPCascadeAhead c = { .prompt_tokens = 30000,
                         .answer_tokens = 400,
                         .cost = 0.22,
                         .good = 0.5,
                         .in_time_one = 0.9 };
    (void)state;
    assert_true(wp_cascade_skips(&rules, &c));
    c.in_time_both = 1;
    assert_false(wp_cascade_skips(&rules, &c));
    c.in_time_both = 0.05;
    c.in_time_one = 0.1;
    assert_false(wp_cascade_skips(&rules, &c));
}

TESTS_MAIN(T(long_prompts_are_foretold_by_the_curve),
           T(few_or_alike_prompts_are_no_reason_for_a_slope),
           T(no_curve_falls_with_the_length), T(the_chance_to_be_in_time),
           T(the_largest_model_is_asked_at_once_where_two_are_late))
