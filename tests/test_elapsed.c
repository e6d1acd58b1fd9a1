/* Elapsed time since an event, measured by boxes without a common clock. */
#include "test.h"
#include "wp_elapsed.h"

static void largest_merged_value_wins(void **state)
{
    WPElapsed e = { 0 };
    WPTime now = { 5 * WP_US_PER_S, 1700000000000 };
    (void)state;
    assert_false(wp_elapsed_started(&e));
    assert_int_equal(wp_elapsed_ms(&e, now), 0);
    wp_elapsed_merge(&e, now, 0);
    assert_true(wp_elapsed_started(&e));
    now.mono_us += 700 * WP_US_PER_MS;
    now.wall_ms += 60000;
    assert_int_equal(wp_elapsed_ms(&e, now), 700);
    wp_elapsed_merge(&e, now, 400); /* arrived late */
    assert_int_equal(wp_elapsed_ms(&e, now), 700);
    wp_elapsed_merge(&e, now, 9000); /* the event is older than this process */
    assert_int_equal(wp_elapsed_ms(&e, now), 9000);
}

static void invalid_values_are_ignored(void **state)
{
    WPElapsed e = { 0 };
    const WPTime now = { 5 * WP_US_PER_S, 1700000000000 };
    (void)state;
    wp_elapsed_merge(&e, now, -1);
    wp_elapsed_merge(&e, now, INT64_MAX);
    wp_elapsed_merge(&e, now, now.wall_ms);
    assert_false(wp_elapsed_started(&e));
    wp_elapsed_merge(&e, now, 5000); /* the event was at monotonic time 0 */
    assert_true(wp_elapsed_started(&e));
}

TESTS_MAIN(T(largest_merged_value_wins), T(invalid_values_are_ignored))
