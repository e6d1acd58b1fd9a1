/* Endpoints that say that they leave, or that they want nothing from a box for
 * a while.
 *
 * What users saw: an endpoint that said in its answers that it leaves was sent
 * requests by the same box 2.2 and 3.8 s later; one that refused a box and
 * asked for 3 s of rest got four requests from it meanwhile. */
#include "shift_fake.h"

static void only_one_is_leaving(void **state)
{
    static const char *const bad[] = { "",    "0",   "yes", "true", "11",
                                       "1 1", "1,1", "01",  "-1",   "1.0" };
    g_autofree char *huge = g_strnfill(10240, '1');
    (void)state;
    for (size_t i = 0; i < WP_COUNT(bad); i++)
        if (wp_notice_read_leaving(wp_str(bad[i]), 1).said != WP_NOTICE_BAD)
            fail_msg("'%s' was taken", bad[i]);
    assert_int_equal(wp_notice_read_leaving(wp_str(huge), 1).said,
                     WP_NOTICE_BAD);
    assert_int_equal(wp_notice_read_leaving(wp_str("1"), 2).said,
                     WP_NOTICE_BAD);
    assert_int_equal(wp_notice_read_leaving(wp_str(" 1 "), 1).said,
                     WP_NOTICE_GIVEN);
    assert_int_equal(wp_notice_read_leaving(wp_str(""), 0).said,
                     WP_NOTICE_NONE);
}

static void rests_are_seconds_or_dates(void **state)
{
    static const char *const bad[] = { "",
                                       "-1",
                                       "nan",
                                       "inf",
                                       "soon",
                                       "1e3",
                                       "3 s",
                                       "Sun, 06 Nov 1994 08:49:37",
                                       "Sun, 06 Nov 1994 08:49:37 GMT+1" };
    static const char date[] = "Sun, 06 Nov 1994 08:49:37 GMT";
    const int64_t at_ms = 784111777000;
    const WPTime before = { 0, at_ms - 2500 }, after = { 0, at_ms + 1 };
    g_autofree char *huge = g_strnfill(10240, 'S');
    (void)state;
    for (size_t i = 0; i < WP_COUNT(bad); i++)
        if (wp_notice_read_rest(wp_str(bad[i]), 1, before).said !=
            WP_NOTICE_BAD)
            fail_msg("'%s' was taken", bad[i]);
    assert_int_equal(wp_notice_read_rest(wp_str(huge), 1, before).said,
                     WP_NOTICE_BAD);
    assert_int_equal(wp_notice_read_rest(wp_str("3"), 2, before).said,
                     WP_NOTICE_BAD);
    assert_int_equal(wp_notice_read_rest(wp_str(""), 0, before).said,
                     WP_NOTICE_NONE);
    assert_true(wp_notice_read_rest(wp_str(" 1.25 "), 1, before).rest_s ==
                1.25);
    assert_true(wp_notice_read_rest(wp_str(date), 1, before).rest_s == 2.5);
    assert_true(wp_notice_read_rest(wp_str(date), 1, after).rest_s == 0);
}

TESTS_MAIN(T(only_one_is_leaving), T(rests_are_seconds_or_dates))
