/* The account of the bytes that a process holds for its clients: sums, and who
 * has to give way. */
#include "test.h"
#include "wp_account.h"

enum { KB = 1 << 10, MB = 1 << 20, S = WP_US_PER_S };

static void sums_follow_each_change(void **state)
{
    WPAccount a;
    WPOwner o, p;
    (void)state;
    wp_account_init(&a);
    wp_account_set_memory(&a, 24);
    assert_int_equal(a.limit_bytes, 12 * MB);
    wp_account_add(&a, &o, 0);
    wp_account_add(&a, &p, 0);
    wp_account_set(&a, &o, WP_HELD_BODY, 8 * MB, 0);
    wp_account_set(&a, &p, WP_HELD_OUTPUT, 3 * MB, 0);
    wp_account_set(&a, &o, WP_HELD_BODY, 7 * MB, 0);
    assert_int_equal(a.sum, 10 * MB);
    assert_int_equal(a.bytes[WP_HELD_BODY], 7 * MB);
    assert_true(wp_account_has_room(&a, 2 * MB));
    assert_false(wp_account_has_room(&a, 2 * MB + 1));
    assert_false(wp_account_is_over(&a));
    wp_account_set(&a, &o, WP_HELD_INPUT, 3 * MB, 0);
    assert_true(wp_account_is_over(&a));
    wp_account_remove(&a, &o);
    assert_int_equal(a.sum, 3 * MB);
    wp_account_remove(&a, &p);
    assert_int_equal(a.sum, 0);
    assert_null(wp_account_victim(&a, true, S));
}

/* Those that keep the process waiting go first, by bytes and time. */
static void the_costliest_gives_way(void **state)
{
    WPAccount a;
    WPOwner stalled, fresh, large, waits;
    (void)state;
    wp_account_init(&a);
    wp_account_add(&a, &stalled, 0);
    wp_account_add(&a, &fresh, 0);
    wp_account_add(&a, &large, 0);
    wp_account_add(&a, &waits, 0);
    wp_account_set_waits(&a, &waits, true, 0);
    wp_account_set(&a, &waits, WP_HELD_ANSWER, 9 * MB, 0);
    assert_null(wp_account_victim(&a, false, 5 * S));
    assert_ptr_equal(wp_account_victim(&a, true, 5 * S), &waits);
    wp_account_set(&a, &stalled, WP_HELD_BODY, 60 * KB, 0);
    wp_account_set(&a, &fresh, WP_HELD_BODY, 60 * KB, 4 * S);
    assert_ptr_equal(wp_account_victim(&a, true, 5 * S), &stalled);
    wp_account_set(&a, &large, WP_HELD_OUTPUT, 4 * MB, 4 * S);
    assert_ptr_equal(wp_account_victim(&a, true, 5 * S), &large);
    /* What has been read down counts from then on. */
    wp_account_set(&a, &large, WP_HELD_OUTPUT, 10 * KB, 5 * S);
    wp_account_progress(&a, &stalled, 5 * S);
    assert_ptr_equal(wp_account_victim(&a, true, 6 * S), &fresh);
}

TESTS_MAIN(T(sums_follow_each_change), T(the_costliest_gives_way))
