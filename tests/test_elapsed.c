/* How long ago something began, by boxes without a common clock. */
#include "test.h"
#include "wp_elapsed.h"

static void the_most_that_was_told_holds(void **state)
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
    wp_elapsed_merge(&e, now, 400); /* told late */
    assert_int_equal(wp_elapsed_ms(&e, now), 700);
    wp_elapsed_merge(&e, now, 9000); /* before this process began */
    assert_int_equal(wp_elapsed_ms(&e, now), 9000);
}

static void what_cannot_be_is_passed_over(void **state)
{
    WPElapsed e = { 0 };
    const WPTime now = { 5 * WP_US_PER_S, 1700000000000 };
    (void)state;
    wp_elapsed_merge(&e, now, -1);
    wp_elapsed_merge(&e, now, INT64_MAX);
    wp_elapsed_merge(&e, now, now.wall_ms);
    assert_false(wp_elapsed_started(&e));
    wp_elapsed_merge(&e, now, 5000); /* begun at the clock's zero */
    assert_true(wp_elapsed_started(&e));
}

TESTS_MAIN(T(the_most_that_was_told_holds), T(what_cannot_be_is_passed_over))
