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
        if (wp_notice_read_draining(wp_str(bad[i]), 1).status !=
            WP_NOTICE_INVALID)
            fail_msg("'%s' was taken", bad[i]);
    assert_int_equal(wp_notice_read_draining(wp_str(huge), 1).status,
                     WP_NOTICE_INVALID);
    assert_int_equal(wp_notice_read_draining(wp_str("1"), 2).status,
                     WP_NOTICE_INVALID);
    assert_int_equal(wp_notice_read_draining(wp_str(" 1 "), 1).status,
                     WP_NOTICE_PRESENT);
    assert_int_equal(wp_notice_read_draining(wp_str(""), 0).status,
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
        if (wp_notice_read_backoff(wp_str(bad[i]), 1, before).status !=
            WP_NOTICE_INVALID)
            fail_msg("'%s' was taken", bad[i]);
    assert_int_equal(wp_notice_read_backoff(wp_str(huge), 1, before).status,
                     WP_NOTICE_INVALID);
    assert_int_equal(wp_notice_read_backoff(wp_str("3"), 2, before).status,
                     WP_NOTICE_INVALID);
    assert_int_equal(wp_notice_read_backoff(wp_str(""), 0, before).status,
                     WP_NOTICE_NONE);
    assert_true(wp_notice_read_backoff(wp_str(" 1.25 "), 1, before).backoff_s ==
                1.25);
    assert_true(wp_notice_read_backoff(wp_str(date), 1, before).backoff_s ==
                2.5);
    assert_true(wp_notice_read_backoff(wp_str(date), 1, after).backoff_s == 0);
}

/* An answer with its endpoint's word that it leaves, or a refusal that asks for
   rest. */
static WPDirectAnswer leaving_answer(int status)
{
    WPDirectAnswer a = fake_answer(status, 90);
    a.leaving.status = WP_NOTICE_PRESENT;
    return a;
}

static WPDirectAnswer resting_answer(double rest_s)
{
    WPDirectAnswer a = fake_answer(503, -1);
    a.not_run = true;
    a.genuine = false;
    a.rest = (WPNoticeField){ WP_NOTICE_PRESENT, rest_s };
    return a;
}

static void answer(Fake *k, WPFlow *f, const WPDirectAnswer *a, WPMove *m)
{
    WPHeard heard;
    wp_flow_head(f, k->now, a, &heard);
    wp_flow_answer(f, k->now, a, m);
}

/* A request whose endpoint answers so; returns that endpoint's id. */
static const char *answered(Fake *k, const char *path, const WPDirectAnswer *a)
{
    WPMove m;
    WPFlow *f = fake_ask(k, path, NULL, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    const char *id = g_intern_string(m.replica->id);
    answer(k, f, a, &m);
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
    answer(&k, f, &poor, &m);
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
    assert_false(wp_fleet_find(k.d.fleet, id)->reported.draining.source);
    fake_end(&k);
}

static WPRegistryEntry listing_of(const char *id, const char *addr,
                                  int64_t born_ms)
{
    return (WPRegistryEntry){ .id = id,
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
    const WPRegistryEntry again = listing_of(id, "127.0.0.1:1", 5);
    wp_fleet_put(k.d.fleet, k.now, &again);
    assert_true(goes_to(&k, "/safe/x", id, 10));
    const WPRegistryEntry fresh = listing_of("a9", "127.0.0.1:1", 6);
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
    wp_fleet_set_load(wp_fleet_find(k->d.fleet, other), k->now, 7, 0, 8);
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
        answer(&k, early[i], &ok, &m);
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
            answer(&k, early[i], &less, &m);
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

/* A slip of units does not keep an endpoint out for good. */
static void a_rest_is_believed_for_so_long_at_most(void **state)
{
    const WPDirectAnswer rests = resting_answer(1e12);
    Fake k;
    (void)state;
    fake_init(&k);
    const char *id = answered(&k, "/safe/x", &rests);
    fake_pass(&k, 1000 * 1000);
    assert_false(goes_to(&k, "/safe/x", id, 500));
    fake_pass(&k, 200 * 1000);
    assert_true(goes_to(&k, "/safe/x", id, 10));
    fake_end(&k);
}

/* Another box's rest is no bar, and weighs: what rests for one mostly refuses
   the others as well. Boxes tell it once. */
static void a_rest_of_another_box_weighs(void **state)
{
    WPBackoffUpdate n[4];
    Fake a, b;
    (void)state;
    fake_init(&a);
    fake_init(&b);
    wp_fleet_record_backoff(a.d.fleet, wp_fleet_find(a.d.fleet, "a1"), a.now,
                            3);
    wp_fleet_record_backoff(a.d.fleet, wp_fleet_find(a.d.fleet, "a1"), a.now,
                            3.1);
    assert_int_equal(wp_fleet_take_unsent_backoffs(a.d.fleet, a.now, n, 4), 1);
    assert_in_range(n[0].left_ms, 2999, 3000);
    wp_fleet_merge_backoff(b.d.fleet, b.now, &n[0]);
    assert_false(goes_to(&b, "/safe/x", "a1", 100));
    assert_false(wp_fleet_has_unsent_backoffs(b.d.fleet));
    wp_fleet_record_backoff(b.d.fleet, wp_fleet_find(b.d.fleet, "a1"), b.now,
                            1);
    assert_false(wp_fleet_has_unsent_backoffs(b.d.fleet)); /* all know it */
    fake_pass(&b, 1000);
    wp_fleet_record_draining(b.d.fleet, wp_fleet_find(b.d.fleet, "a2"), b.now);
    assert_true(goes_to(&b, "/safe/x", "a1", 1)); /* the only one */
    fake_end(&a);
    fake_end(&b);
}

/* At an even load it has its share at once: the refusal is not held against it
   as a failure besides. */
static void after_a_rest_the_work_is_back(void **state)
{
    const WPDirectAnswer rests = resting_answer(1);
    Fake k;
    (void)state;
    fake_init(&k);
    const char *id = answered(&k, "/safe/x", &rests);
    fake_pass(&k, 1001);
    assert_true(goes_to(&k, "/safe/x", id, 12));
    fake_end(&k);
}

/* A refusal of a request beyond its places, and an application's 429, ask for
   no rest. */
static void what_asks_for_no_rest_is_asked_again(void **state)
{
    WPDirectAnswer full = resting_answer(0), own = fake_answer(429, -1);
    Fake k;
    (void)state;
    fake_init(&k);
    own.rest = (WPNoticeField){ WP_NOTICE_PRESENT, 60 };
    answered(&k, "/safe/x", &full);
    answered(&k, "/safe/x", &own);
    const WPNoticeCount n = wp_fleet_count_notices(k.d.fleet, k.now);
    assert_int_equal(n.backing_off, 0);
    fake_end(&k);
}

/* One word beside another: the longer one holds. */
static void words_hold_beside_each_other(void **state)
{
    const WPLimitReport limit = { { WP_LIMIT_FIELD_PRESENT, 0.1 },
                                  true,
                                  INT64_MAX };
    WPEndpointQuery w = { .service = "app", .zone = "z1" };
    Fake k;
    (void)state;
    fake_init(&k);
    WPFleet *f = k.d.fleet;
    WPReplica *s = wp_fleet_find(f, "a1");
    wp_fleet_record_limit(f, s, k.now, &limit);
    wp_fleet_request_sent(f, s, k.now, &w, 0);
    assert_int_equal(wp_fleet_exclusion(f, k.now, &w, s), WP_EXCLUDED_LIMIT);
    wp_fleet_set_cold_rule(f, "app", 0.1, 0);
    s->reported.cold_until_us = k.now.mono_us + 5 * WP_US_PER_S;
    assert_int_equal(wp_fleet_exclusion(f, k.now, &w, s), WP_EXCLUDED_COLD);
    assert_true(wp_fleet_record_backoff(f, s, k.now, 2));
    assert_false(wp_fleet_record_backoff(f, s, k.now, 1));
    assert_int_equal(wp_fleet_exclusion(f, k.now, &w, s), WP_EXCLUDED_BACKOFF);
    fake_pass(&k, 2001);
    wp_fleet_request_sent(f, s, k.now, &w, 0);
    assert_int_equal(wp_fleet_exclusion(f, k.now, &w, s), WP_EXCLUDED_COLD);
    fake_pass(&k, 3000);
    assert_int_equal(wp_fleet_exclusion(f, k.now, &w, s), WP_EXCLUDED_LIMIT);
    wp_fleet_record_backoff(f, s, k.now, 2);
    assert_true(wp_fleet_record_draining(f, s, k.now));
    assert_int_equal(wp_fleet_exclusion(f, k.now, &w, s), WP_EXCLUDED_DRAINING);
    wp_fleet_set_zone_evacuated(f, k.now, "z1", true);
    assert_int_equal(wp_fleet_exclusion(f, k.now, &w, s), WP_EXCLUDED_ZONE);
    wp_fleet_set_zone_evacuated(f, k.now, "z1", false);
    assert_int_equal(wp_fleet_exclusion(f, k.now, &w, s), WP_EXCLUDED_DRAINING);
    fake_end(&k);
}

/* Rests of the old version's endpoints send the new one no more than the move's
   share, and no session to another version. */
static void rests_do_not_hurry_a_move(void **state)
{
    unsigned to_new = 0, refused = 0;
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    look_on(&k, sh, LEAD_MS);
    wp_fleet_record_backoff(k.d.fleet, wp_fleet_find(k.d.fleet, "l1"), k.now,
                            60);
    wp_fleet_record_backoff(k.d.fleet, wp_fleet_find(k.d.fleet, "l2"), k.now,
                            60);
    for (int i = 0; i < 300; i++) {
        const char *what = fake_serve(&k, "/chat/x", &m);
        to_new += what[0] == 'n';
        refused += !strcmp(what, "endpoints_resting");
        fake_pass(&k, 20);
    }
    assert_in_range(to_new, 15, 60); /* a tenth are its own */
    assert_int_equal(to_new + refused, 300);
    fake_end(&k);
}

/* The new version's endpoints rest: they are neither good nor bad by that. */
static void a_rest_is_no_verdict(void **state)
{
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    look_on(&k, sh, LEAD_MS);
    for (int i = 0; i < 300; i++) {
        WPDirectAnswer ok = fake_answer(200, 90), rests = resting_answer(0.1);
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        while (m.kind == WP_MOVE_SEND && m.replica->id[0] == 'n')
            answer(&k, f, &rests, &m);
        if (m.kind == WP_MOVE_SEND)
            answer(&k, f, &ok, &m);
        wp_flow_left(f, k.now);
        wp_flow_free(f);
        assert_int_equal(look_on(&k, sh, LOOK_MS), WP_SHIFT_RUNNING);
    }
    assert_int_equal(sh->state, WP_SHIFT_RUNNING);
    fake_end(&k);
}

/* Boxes pass the word on once, also to a box that comes, and before the
   endpoint is listed there. */
static void news_of_leaving_comes_to_rest(void **state)
{
    uint64_t lives[4];
    Fake a, b;
    (void)state;
    fake_init(&a);
    fake_init(&b);
    WPReplica *s = wp_fleet_find(a.d.fleet, "a1");
    assert_true(wp_fleet_record_draining(a.d.fleet, s, a.now));
    assert_false(wp_fleet_record_draining(a.d.fleet, s, a.now));
    assert_int_equal(wp_fleet_take_unsent_draining(a.d.fleet, lives, 4), 1);
    assert_int_equal(wp_fleet_take_unsent_draining(a.d.fleet, lives, 4), 0);
    assert_non_null(wp_fleet_merge_draining(b.d.fleet, b.now, lives[0]));
    assert_false(goes_to(&b, "/safe/x", "a1", 50));
    assert_int_equal(wp_fleet_take_unsent_draining(b.d.fleet, lives, 4), 1);
    assert_null(wp_fleet_merge_draining(a.d.fleet, a.now, lives[0]));
    assert_false(wp_fleet_has_unsent_draining(a.d.fleet));
    fake_end(&a);
    fake_end(&b);
}

static void a_word_outlasts_a_lapse_of_the_list(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPFleet *f = k.d.fleet;
    wp_fleet_record_draining(f, wp_fleet_find(f, "a1"), k.now);
    wp_fleet_record_backoff(f, wp_fleet_find(f, "a2"), k.now, 60);
    wp_fleet_remove(f, k.now, "a1", false);
    wp_fleet_remove(f, k.now, "a2", true);
    fake_pass(&k, 5000);
    assert_null(wp_fleet_find(f, "a2"));
    fake_put(&k, "a1", "app", "v1", false);
    fake_put(&k, "a2", "app", "v1", false);
    assert_true(refused(&k, "/safe/x", WP_RESTING) > 50000);
    wp_fleet_remove(f, k.now, "a1", false);
    const WPRegistryEntry again = listing_of("a1", "127.0.0.1:1", 7);
    wp_fleet_put(f, k.now, &again);
    assert_true(goes_to(&k, "/safe/x", "a1", 1));
    fake_end(&k);
}

/* The list has let go of the endpoint under the request that tells, and has the
   same life again. */
static void a_word_by_an_earlier_listing_counts(void **state)
{
    const WPDirectAnswer leaves = leaving_answer(200);
    const WPDirectAnswer rests = resting_answer(60);
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPFlow *f[2] = { fake_ask(&k, "/safe/x", NULL, &m),
                     fake_ask(&k, "/safe/x", NULL, &m) };
    for (int i = 1; i <= 2; i++) {
        const char *id = i == 1 ? "a1" : "a2";
        wp_fleet_remove(k.d.fleet, k.now, id, false);
        fake_put(&k, id, "app", "v1", false);
    }
    assert_string_not_equal(f[0]->leg.replica->id, f[1]->leg.replica->id);
    answer(&k, f[0], &leaves, &m);
    wp_flow_done(f[0], k.now, 0);
    wp_flow_free(f[0]);
    answer(&k, f[1], &rests, &m);
    assert_int_equal(m.kind, WP_MOVE_FAIL);
    wp_flow_free(f[1]);
    refused(&k, "/safe/x", WP_RESTING);
    fake_end(&k);
}

/* An endpoint's own word outlasts a lapse of the list, whichever came first. */
static void the_lists_word_does_not_hide_its_own(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPFleet *f = k.d.fleet;
    fake_put(&k, "a1", "app", "v1", true);
    assert_false(wp_fleet_record_draining(f, wp_fleet_find(f, "a1"), k.now));
    wp_fleet_remove(f, k.now, "a1", false);
    fake_put(&k, "a1", "app", "v1", false);
    assert_false(goes_to(&k, "/safe/x", "a1", 50));
    fake_end(&k);
}

/* A bad field has no effect and is reported now and then. */
static void bad_words_have_no_effect(void **state)
{
    WPDirectAnswer bad = fake_answer(200, 90);
    WPHeard heard;
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    bad.leaving.status = WP_NOTICE_INVALID;
    bad.rest.status = WP_NOTICE_INVALID;
    unsigned reported = 0;
    for (int i = 0; i < 500; i++) {
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        assert_int_equal(m.kind, WP_MOVE_SEND);
        wp_flow_head(f, k.now, &bad, &heard);
        assert_false(heard.leaves || heard.rests);
        reported += heard.bad != NULL;
        wp_flow_answer(f, k.now, &bad, &m);
        wp_flow_done(f, k.now, 0);
        wp_flow_free(f);
        fake_pass(&k, 20);
    }
    assert_in_range(reported, 2, 4); /* of two endpoints, in 10 s */
    const WPNoticeCount n = wp_fleet_count_notices(k.d.fleet, k.now);
    assert_int_equal(n.draining + n.backing_off, 0);
    fake_end(&k);
}

TESTS_MAIN(T(only_one_is_leaving), T(rests_are_seconds_or_dates),
           T(what_leaves_gets_no_more), T(any_answer_tells_that_it_leaves),
           T(another_endpoints_word_is_not_its_own),
           T(a_new_life_is_asked_again), T(the_last_of_a_service_leaves),
           T(a_rest_is_kept), T(an_earlier_request_does_not_end_a_rest),
           T(a_rest_is_not_cut_short), T(all_rest),
           T(a_rest_is_believed_for_so_long_at_most),
           T(a_rest_of_another_box_weighs), T(after_a_rest_the_work_is_back),
           T(what_asks_for_no_rest_is_asked_again),
           T(words_hold_beside_each_other), T(rests_do_not_hurry_a_move),
           T(a_rest_is_no_verdict), T(news_of_leaving_comes_to_rest),
           T(a_word_outlasts_a_lapse_of_the_list),
           T(a_word_by_an_earlier_listing_counts),
           T(the_lists_word_does_not_hide_its_own), T(bad_words_have_no_effect))
