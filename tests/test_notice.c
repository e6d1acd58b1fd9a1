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

/* An answer with its endpoint's word that it leaves, or a refusal that asks for
   rest. */
static WPDirectAnswer leaving_answer(int status)
{
    WPDirectAnswer a = fake_answer(status, 90);
    a.leaving.said = WP_NOTICE_GIVEN;
    return a;
}

static WPDirectAnswer resting_answer(double rest_s)
{
    WPDirectAnswer a = fake_answer(503, -1);
    a.not_run = true;
    a.genuine = false;
    a.rest = (WPNoticeField){ WP_NOTICE_GIVEN, rest_s };
    return a;
}

/* A request whose endpoint answers so; returns that endpoint's id. */
static const char *answered(Fake *k, const char *path, const WPDirectAnswer *a)
{
    WPMove m;
    WPFlow *f = fake_ask(k, path, NULL, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    const char *id = g_intern_string(m.replica->id);
    wp_flow_answer(f, k->now, a, &m);
    if (m.kind == WP_MOVE_PASS)
        wp_flow_done(f, k->now, 0);
    else
        wp_flow_left(f, k->now);
    wp_flow_free(f);
    return id;
}

/* Whether one of `n` requests, 20 ms apart, goes to the endpoint. */
static bool goes_to(Fake *k, const char *path, const char *id, int n)
{
    const WPDirectAnswer ok = fake_answer(200, 90);
    bool found = false;
    for (int i = 0; i < n && !found; i++) {
        found = !strcmp(answered(k, path, &ok), id);
        fake_pass(k, 20);
    }
    return found;
}

/* A request that is refused at once; returns when it is to come back. */
static uint32_t refused(Fake *k, const char *path, WPCode code)
{
    WPMove m;
    WPFlow *f = fake_ask(k, path, NULL, &m);
    assert_int_equal(m.kind, WP_MOVE_FAIL);
    assert_int_equal(m.code, code);
    wp_flow_free(f);
    return m.retry_ms;
}

/* The word holds for the endpoint's life, whatever it says later and whatever
   the list tells of the same life. */
static void what_leaves_gets_no_more(void **state)
{
    const WPDirectAnswer leaves = leaving_answer(200);
    Fake k;
    (void)state;
    fake_init(&k);
    const char *id = answered(&k, "/safe/x", &leaves);
    assert_false(goes_to(&k, "/safe/x", id, 200));
    fake_put(&k, id, "app", "v1", false);
    assert_false(goes_to(&k, "/safe/x", id, 200));
    fake_pass(&k, 60000);
    assert_false(goes_to(&k, "/once/x", id, 200));
    fake_end(&k);
}

/* Also where it refuses, or where its answer is dropped for a better one. */
static void any_answer_tells_that_it_leaves(void **state)
{
    WPDirectAnswer refuses = leaving_answer(503);
    WPDirectAnswer poor = leaving_answer(200);
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    refuses.not_run = true;
    const char *id = answered(&k, "/safe/x", &refuses);
    assert_false(goes_to(&k, "/safe/x", id, 200));
    poor.confidence = 0;
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    id = g_intern_string(m.replica->id);
    wp_flow_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    assert_string_not_equal(m.replica->id, id);
    wp_flow_left(f, k.now);
    wp_flow_free(f);
    assert_false(goes_to(&k, "/chat/x", id, 200));
    fake_end(&k);
}

/* The answer of another endpoint, which sits at the address now, is not its
   word. */
static void another_endpoints_word_is_not_its_own(void **state)
{
    WPDirectAnswer wrong = leaving_answer(421);
    Fake k;
    (void)state;
    fake_init(&k);
    wrong.wrong = wrong.not_run = true;
    const char *id = answered(&k, "/safe/x", &wrong);
    assert_false(wp_fleet_find(k.d.fleet, id)->draining);
    fake_end(&k);
}

static WPListing listing_of(const char *id, const char *addr, int64_t born_ms)
{
    return (WPListing){ .id = id,
                        .service = "app",
                        .addr = addr,
                        .zone = "z1",
                        .version = "v1",
                        .slots = 8,
                        .born_ms = born_ms };
}

/* A new life has said nothing: under the old id with a later start, or under
   another one at the same address. */
static void a_new_life_is_asked_again(void **state)
{
    const WPDirectAnswer leaves = leaving_answer(200);
    const WPDirectAnswer rests = resting_answer(60);
    Fake k;
    (void)state;
    fake_init(&k);
    const char *id = answered(&k, "/safe/x", &leaves);
    const char *other = answered(&k, "/safe/x", &rests);
    assert_string_not_equal(id, other);
    const WPListing again = listing_of(id, "127.0.0.1:1", 5);
    wp_fleet_put(k.d.fleet, k.now, &again);
    assert_true(goes_to(&k, "/safe/x", id, 10));
    const WPListing fresh = listing_of("a9", "127.0.0.1:1", 6);
    wp_fleet_put(k.d.fleet, k.now, &fresh);
    assert_true(goes_to(&k, "/safe/x", "a9", 50));
    assert_false(goes_to(&k, "/safe/x", other, 100));
    fake_end(&k);
}

/* A service all of whose endpoints leave is refused at once. */
static void the_last_of_a_service_leaves(void **state)
{
    const WPDirectAnswer leaves = leaving_answer(200);
    Fake k;
    (void)state;
    fake_init(&k);
    answered(&k, "/safe/x", &leaves);
    answered(&k, "/safe/x", &leaves);
    assert_true(refused(&k, "/safe/x", WP_NO_ENDPOINT) > 0);
    assert_true(refused(&k, "/once/x", WP_NO_ENDPOINT) > 0);
    fake_end(&k);
}

/* Nothing goes there before the rest is over, whatever ends well there
   meanwhile and however little is left elsewhere. */
static void a_rest_is_kept(void **state)
{
    const WPDirectAnswer rests = resting_answer(3);
    Fake k;
    (void)state;
    fake_init(&k);
    const char *id = answered(&k, "/safe/x", &rests);
    assert_false(goes_to(&k, "/safe/x", id, 149));
    fake_pass(&k, 100);
    assert_true(goes_to(&k, "/safe/x", id, 40));
    fake_end(&k);
}

/* The other endpoint of two is nearly full, so that its load alone would send
   requests to this one. */
static void fill_the_other(Fake *k, const char *id)
{
    const char *other = strcmp(id, "a1") ? "a1" : "a2";
    wp_fleet_load(wp_fleet_find(k->d.fleet, other), k->now, 7, 0, 8);
}

static void an_earlier_request_does_not_end_a_rest(void **state)
{
    const WPDirectAnswer rests = resting_answer(3);
    const WPDirectAnswer ok = fake_answer(200, 90);
    WPFlow *early[8];
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    for (size_t i = 0; i < WP_COUNT(early); i++)
        early[i] = fake_ask(&k, "/safe/x", NULL, &m);
    const char *id = answered(&k, "/safe/x", &rests);
    for (size_t i = 0; i < WP_COUNT(early); i++) {
        wp_flow_answer(early[i], k.now, &ok, &m);
        wp_flow_done(early[i], k.now, 0);
        wp_flow_free(early[i]);
    }
    fill_the_other(&k, id);
    assert_false(goes_to(&k, "/safe/x", id, 149));
    fake_end(&k);
}

/* A shorter word does not end a longer one, nor does a failure. */
static void a_rest_is_not_cut_short(void **state)
{
    const WPDirectAnswer rests = resting_answer(3), less = resting_answer(0.5);
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPFlow *early[8];
    for (size_t i = 0; i < WP_COUNT(early); i++)
        early[i] = fake_ask(&k, "/safe/x", NULL, &m);
    const char *id = answered(&k, "/safe/x", &rests);
    for (size_t i = 0; i < WP_COUNT(early); i++) {
        bool same = !strcmp(early[i]->leg.replica->id, id);
        if (same && i % 2)
            wp_flow_answer(early[i], k.now, &less, &m);
        else if (same)
            wp_flow_lost(early[i], k.now, WP_LOSS_BROKEN, &m);
        wp_flow_left(early[i], k.now);
        wp_flow_free(early[i]);
    }
    fill_the_other(&k, id);
    assert_false(goes_to(&k, "/safe/x", id, 120));
    fake_end(&k);
}

/* Refused at once, with the earliest end, spread a little. */
static void all_rest(void **state)
{
    const WPDirectAnswer rests = resting_answer(3), longer = resting_answer(9);
    Fake k;
    (void)state;
    fake_init(&k);
    answered(&k, "/safe/x", &longer);
    answered(&k, "/safe/x", &rests);
    uint32_t least = UINT32_MAX, most = 0;
    for (int i = 0; i < 50; i++) {
        uint32_t ms = refused(&k, "/safe/x", WP_RESTING);
        least = MIN(least, ms);
        most = MAX(most, ms);
    }
    assert_in_range(least, 3000, 3200);
    assert_in_range(most, 3200, 4500);
    fake_pass(&k, 3000);
    assert_true(goes_to(&k, "/safe/x", "a1", 1) ||
                goes_to(&k, "/safe/x", "a2", 20));
    fake_end(&k);
}

TESTS_MAIN(T(only_one_is_leaving), T(rests_are_seconds_or_dates),
           T(what_leaves_gets_no_more), T(any_answer_tells_that_it_leaves),
           T(another_endpoints_word_is_not_its_own),
           T(a_new_life_is_asked_again), T(the_last_of_a_service_leaves),
           T(a_rest_is_kept), T(an_earlier_request_does_not_end_a_rest),
           T(a_rest_is_not_cut_short), T(all_rest))
