/* Endpoints that name the requests a second that they take. */
#include "direct_fake.h"

static void only_positive_decimal_numbers_are_limits(void **state)
{
    static const char *const bad[] = { "",     "0",     "0.0", "-1",  "+1",
                                       "nan",  "inf",   "1e3", "0x1", "1e999",
                                       "some", "1.2.3", ".",   "1,5", "2 2" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(bad); i++)
        if (wp_limit_read(wp_str(bad[i]), 1).said != WP_LIMIT_BAD)
            fail_msg("'%s' was taken", bad[i]);
    const WPLimitField f = wp_limit_read(wp_str(" 2.25 "), 1);
    assert_int_equal(f.said, WP_LIMIT_NAMED);
    assert_true(f.per_s == 2.25);
    assert_int_equal(wp_limit_read(wp_str("2.2"), 2).said, WP_LIMIT_BAD);
    assert_int_equal(wp_limit_read(wp_str(""), 0).said, WP_LIMIT_NONE);
}

TESTS_MAIN(T(only_positive_decimal_numbers_are_limits))
