/* Detection of wall-clock steps and of pauses of the process. */
#include "test.h"
#include "wp_clock_monitor.h"

enum { SAMPLE_MS = 50 };

/* Advances both clocks and takes a sample of them. */
static WPClockSample sample_after(WPClockMonitor *s, WPTime *now,
                                  int64_t mono_ms, int64_t wall_ms)
{
    now->mono_us += mono_ms * WP_US_PER_MS;
    now->wall_ms += wall_ms;
    return wp_clock_monitor_sample(s, *now);
}

static void wall_clock_step_is_reported_once(void **state)
{
    WPClockMonitor s = { 0 };
    WPTime now = { 1000000, 1700000000000 };
    (void)state;
    assert_int_equal(wp_clock_monitor_sample(&s, now).step_ms, 0);
    assert_int_equal(
        sample_after(&s, &now, SAMPLE_MS, SAMPLE_MS + 20000).step_ms, 20000);
    assert_int_equal(sample_after(&s, &now, SAMPLE_MS, SAMPLE_MS).step_ms, 0);
    assert_int_equal(
        sample_after(&s, &now, SAMPLE_MS, SAMPLE_MS - 2000).step_ms, -2000);
    assert_int_equal(sample_after(&s, &now, SAMPLE_MS, SAMPLE_MS + 10).step_ms,
                     0);
}

static void pause_is_no_step(void **state)
{
    WPClockMonitor s = { 0 };
    WPTime now = { 1000000, 1700000000000 };
    (void)state;
    sample_after(&s, &now, SAMPLE_MS, SAMPLE_MS);
    assert_int_equal(sample_after(&s, &now, 300, 300).pause_ms, 0);
    WPClockSample sample = sample_after(&s, &now, 4000, 4000);
    assert_int_equal(sample.pause_ms, 4000);
    assert_int_equal(sample.step_ms, 0);
}

/* Boxes distinguish a new idempotency key from an old one by wall-clock times,
   with a tolerance of two seconds for clocks that differ. */
static void short_step_hardly_moves_the_compared_time(void **state)
{
    WPClockMonitor s = { 0 };
    WPTime now = { 1000000, 1700000000000 };
    int64_t true_ms = now.wall_ms, step_ms = 60000;
    (void)state;
    assert_int_equal(wp_clock_monitor_wall_ms(&s, now), now.wall_ms);
    wp_clock_monitor_sample(&s, now);
    now.wall_ms += step_ms;
    for (int i = 0; i < 100; i++, true_ms += SAMPLE_MS) {
        sample_after(&s, &now, SAMPLE_MS, SAMPLE_MS);
        assert_in_range(wp_clock_monitor_wall_ms(&s, now), true_ms,
                        true_ms + 5000 / 10 + SAMPLE_MS);
    }
    now.wall_ms -= step_ms;
    for (int i = 0; i < 101; i++, true_ms += SAMPLE_MS)
        sample_after(&s, &now, SAMPLE_MS, SAMPLE_MS);
    assert_int_equal(wp_clock_monitor_wall_ms(&s, now), true_ms);
    /* A clock that was wrong and is corrected is followed in the end. */
    now.wall_ms += 2000;
    for (int i = 0; i < 401; i++)
        sample_after(&s, &now, SAMPLE_MS, SAMPLE_MS);
    assert_int_equal(wp_clock_monitor_wall_ms(&s, now), now.wall_ms);
}

TESTS_MAIN(T(short_step_hardly_moves_the_compared_time),
           T(wall_clock_step_is_reported_once), T(pause_is_no_step))
