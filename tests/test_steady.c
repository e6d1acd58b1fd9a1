/* What a process notices of its own clocks. */
#include "test.h"
#include "wp_clock_monitor.h"

enum { LOOK_MS = 50 };

static WPClockSample after(WPClockMonitor *s, WPTime *now, int64_t mono_ms,
                           int64_t wall_ms)
{
    now->mono_us += mono_ms * WP_US_PER_MS;
    now->wall_ms += wall_ms;
    return wp_clock_monitor_sample(s, *now);
}

static void a_step_of_the_time_of_day_is_seen_once(void **state)
{
    WPClockMonitor s = { 0 };
    WPTime now = { 1000000, 1700000000000 };
    (void)state;
    assert_int_equal(wp_clock_monitor_sample(&s, now).step_ms, 0);
    assert_int_equal(after(&s, &now, LOOK_MS, LOOK_MS + 20000).step_ms, 20000);
    assert_int_equal(after(&s, &now, LOOK_MS, LOOK_MS).step_ms, 0);
    assert_int_equal(after(&s, &now, LOOK_MS, LOOK_MS - 2000).step_ms, -2000);
    assert_int_equal(after(&s, &now, LOOK_MS, LOOK_MS + 10).step_ms, 0);
}

static void a_pause_is_no_step(void **state)
{
    WPClockMonitor s = { 0 };
    WPTime now = { 1000000, 1700000000000 };
    (void)state;
    after(&s, &now, LOOK_MS, LOOK_MS);
    assert_int_equal(after(&s, &now, 300, 300).pause_ms, 0);
    WPClockSample look = after(&s, &now, 4000, 4000);
    assert_int_equal(look.pause_ms, 4000);
    assert_int_equal(look.step_ms, 0);
}

/* A key of a request that may run once is told from an old one by times of day,
   with two seconds for clocks that differ. */
static void a_short_step_hardly_moves_what_boxes_compare(void **state)
{
    WPClockMonitor s = { 0 };
    WPTime now = { 1000000, 1700000000000 };
    int64_t truth_ms = now.wall_ms, off_ms = 60000;
    (void)state;
    assert_int_equal(wp_clock_monitor_wall_ms(&s, now), now.wall_ms);
    wp_clock_monitor_sample(&s, now);
    now.wall_ms += off_ms;
    for (int i = 0; i < 100; i++, truth_ms += LOOK_MS) {
        after(&s, &now, LOOK_MS, LOOK_MS);
        assert_in_range(wp_clock_monitor_wall_ms(&s, now), truth_ms,
                        truth_ms + 5000 / 10 + LOOK_MS);
    }
    now.wall_ms -= off_ms;
    for (int i = 0; i < 101; i++, truth_ms += LOOK_MS)
        after(&s, &now, LOOK_MS, LOOK_MS);
    assert_int_equal(wp_clock_monitor_wall_ms(&s, now), truth_ms);
    /* A clock that was wrong and is set right is followed in the end. */
    now.wall_ms += 2000;
    for (int i = 0; i < 401; i++)
        after(&s, &now, LOOK_MS, LOOK_MS);
    assert_int_equal(wp_clock_monitor_wall_ms(&s, now), now.wall_ms);
}

TESTS_MAIN(T(a_short_step_hardly_moves_what_boxes_compare),
           T(a_step_of_the_time_of_day_is_seen_once), T(a_pause_is_no_step))
