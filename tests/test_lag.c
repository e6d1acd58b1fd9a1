/* Replication lag: for how long a box has lacked revisions that others have. */
#include "test.h"
#include "wp_lag.h"

static WPTime at(int64_t ms)
{
    return (WPTime){ ms * WP_US_PER_MS, ms };
}

static void the_oldest_missing_revision_counts(void **state)
{
    WPLag l = { 0 };
    (void)state;
    assert_int_equal(wp_lag_ms(&l, at(5)), 0);
    wp_lag_record_remote(&l, at(0), 10);
    assert_int_equal(wp_lag_ms(&l, at(0)), 1);
    wp_lag_record_remote(&l, at(100), 12);
    wp_lag_record_remote(&l, at(150), 11); /* another box, further back */
    assert_int_equal(wp_lag_ms(&l, at(300)), 300);
    wp_lag_record_local(&l, 10);
    assert_int_equal(wp_lag_ms(&l, at(300)), 200);
    assert_int_equal(wp_lag_highest_missing(&l), 12);
    wp_lag_record_local(&l, 12);
    assert_int_equal(wp_lag_ms(&l, at(300)), 0);
    assert_int_equal(wp_lag_highest_missing(&l), 0);
}

/* While all boxes start, the store changes all the time. A box that gets each
   change a little later than it learns of it from others has no large lag: it
   must not read the whole store, as every box would. */
static void steadily_arriving_changes_are_no_lag(void **state)
{
    WPLag l = { 0 };
    (void)state;
    for (int64_t i = 1; i <= 100; i++) {
        wp_lag_record_remote(&l, at(i * 50), (uint64_t)i);
        wp_lag_record_local(&l, i > 2 ? (uint64_t)i - 2 : 0);
        assert_true(wp_lag_ms(&l, at(i * 50)) <= 100);
    }
}

/* With more missing revisions than marks, the lag is rather overestimated. */
static void many_missing_revisions_keep_the_first_seen_time(void **state)
{
    WPLag l = { 0 };
    (void)state;
    for (int64_t i = 1; i <= 200; i++)
        wp_lag_record_remote(&l, at(i), (uint64_t)i);
    assert_int_equal(wp_lag_ms(&l, at(500)), 499);
    assert_int_equal(wp_lag_highest_missing(&l), 200);
    wp_lag_record_local(&l, 150);
    assert_int_equal(wp_lag_highest_missing(&l), 200);
    assert_true(wp_lag_ms(&l, at(500)) >= 350);
    wp_lag_record_local(&l, 200);
    assert_int_equal(wp_lag_ms(&l, at(500)), 0);
}

/* With few entries, a starting box asks other boxes for a copy at once; with
   many it waits for the store's answer, but never for more than a second. */
static void initial_pull_waits_by_the_number_of_entries(void **state)
{
    (void)state;
    assert_int_equal(wp_lag_initial_pull_wait_ms(0), 0);
    assert_true(wp_lag_initial_pull_wait_ms(60) < 50);
    assert_true(wp_lag_initial_pull_wait_ms(600) > 400);
    assert_true(wp_lag_initial_pull_wait_ms(3000) <= 1000);
    assert_true(wp_lag_initial_pull_wait_ms(UINT32_MAX) <= 1000);
}

TESTS_MAIN(T(initial_pull_waits_by_the_number_of_entries),
           T(the_oldest_missing_revision_counts),
           T(steadily_arriving_changes_are_no_lag),
           T(many_missing_revisions_keep_the_first_seen_time))
