/* Silent endpoints. */
#include "test.h"
#include "wp_silence.h"

static WPTime at_ms(int64_t ms)
{
    return (WPTime){ (1000000 + ms) * WP_US_PER_MS, ms };
}

static int64_t silence_ms(const WPSilence *s, int64_t ms)
{
    return wp_silence_us(s, at_ms(ms)) / WP_US_PER_MS;
}

static void silence_starts_with_the_first_request_that_waits(void **state)
{
    WPSilence s = { 0 };
    (void)state;
    assert_int_equal(silence_ms(&s, 500), 0);
    wp_silence_sent(&s, at_ms(1000));
    wp_silence_sent(&s, at_ms(1400));
    assert_int_equal(silence_ms(&s, 1500), 500);
    wp_silence_first_byte(&s, at_ms(1600));
    assert_int_equal(silence_ms(&s, 1700), 100);
    wp_silence_first_byte(&s, at_ms(1800));
    assert_int_equal(silence_ms(&s, 9000), 0);
}

static void requests_of_other_boxes_count(void **state)
{
    WPSilence s = { 0 };
    (void)state;
    wp_silence_merge_sent(&s, at_ms(1000));
    assert_int_equal(silence_ms(&s, 1600), 600);
    wp_silence_merge_first_byte(&s, at_ms(1700));
    assert_int_equal(silence_ms(&s, 1800), 0);
}

/* A box that is killed reports nothing of what it has sent. */
static void requests_of_a_lost_box_are_forgotten(void **state)
{
    WPSilence s = { 0 };
    (void)state;
    wp_silence_merge_sent(&s, at_ms(1000));
    assert_int_equal(silence_ms(&s, 4900), 3900);
    assert_int_equal(silence_ms(&s, 5100), 0);
    wp_silence_sent(&s, at_ms(6000));
    assert_int_equal(silence_ms(&s, 6200), 200);
}

static void given_up_requests_do_not_wait(void **state)
{
    WPSilence s = { 0 };
    (void)state;
    wp_silence_sent(&s, at_ms(1000));
    wp_silence_given_up(&s);
    wp_silence_given_up(&s);
    assert_int_equal(silence_ms(&s, 3000), 0);
}

static void a_queue_explains_silence(void **state)
{
    WPSilence s = { 0 };
    (void)state;
    wp_silence_sent(&s, at_ms(0));
    assert_int_equal(wp_silence_unexplained_us(&s, at_ms(200), 0), 0);
    assert_int_equal(wp_silence_unexplained_us(&s, at_ms(1000), 500e3), 0);
    assert_int_equal(wp_silence_unexplained_us(&s, at_ms(1000), 0),
                     1000 * WP_US_PER_MS);
}

TESTS_MAIN(T(silence_starts_with_the_first_request_that_waits),
           T(requests_of_other_boxes_count),
           T(requests_of_a_lost_box_are_forgotten),
           T(given_up_requests_do_not_wait), T(a_queue_explains_silence))
