/* What a process notices of its own clocks. */
#include "test.h"
#include "wp_steady.h"

enum { LOOK_MS = 50 };

static WPSteadyLook after(WPSteady *s, WPTime *now, int64_t mono_ms,
                          int64_t wall_ms)
{
    now->mono_us += mono_ms * WP_US_PER_MS;
    now->wall_ms += wall_ms;
    return wp_steady_look(s, *now);
}

static void a_step_of_the_time_of_day_is_seen_once(void **state)
{
    WPSteady s = { 0 };
    WPTime now = { 1000000, 1700000000000 };
    (void)state;
    assert_int_equal(wp_steady_look(&s, now).step_ms, 0);
    assert_int_equal(after(&s, &now, LOOK_MS, LOOK_MS + 20000).step_ms, 20000);
    assert_int_equal(after(&s, &now, LOOK_MS, LOOK_MS).step_ms, 0);
    assert_int_equal(after(&s, &now, LOOK_MS, LOOK_MS - 2000).step_ms, -2000);
    assert_int_equal(after(&s, &now, LOOK_MS, LOOK_MS + 10).step_ms, 0);
}

static void a_pause_is_no_step(void **state)
{
    WPSteady s = { 0 };
    WPTime now = { 1000000, 1700000000000 };
    (void)state;
    after(&s, &now, LOOK_MS, LOOK_MS);
    assert_int_equal(after(&s, &now, 300, 300).pause_ms, 0);
    WPSteadyLook look = after(&s, &now, 4000, 4000);
    assert_int_equal(look.pause_ms, 4000);
    assert_int_equal(look.step_ms, 0);
}

TESTS_MAIN(T(a_step_of_the_time_of_day_is_seen_once), T(a_pause_is_no_step))
