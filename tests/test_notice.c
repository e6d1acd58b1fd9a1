/* Notices of endpoints that they are draining, or that a box is to send them
 * nothing for a while (back-off).
 *
 * Guards against notices that are ignored: an endpoint that reported in its
 * answers that it was draining was sent requests by the same box 2.2 and 3.8 s
 * later; one that refused a box and asked for a back-off of 3 s got four
 * requests from it meanwhile. */
#include "shift_fake.h"

static void only_1_means_draining(void **state)
{
    static const char *const bad[] = { "",    "0",   "yes", "true", "11",
                                       "1 1", "1,1", "01",  "-1",   "1.0" };
    g_autofree char *huge = g_strnfill(10240, '1');
    (void)state;
    for (size_t i = 0; i < WP_COUNT(bad); i++)
        if (wp_notice_read_draining(wp_str(bad[i]), 1).status !=
            WP_NOTICE_INVALID)
            fail_msg("'%s' was accepted", bad[i]);
    assert_int_equal(wp_notice_read_draining(wp_str(huge), 1).status,
                     WP_NOTICE_INVALID);
    assert_int_equal(wp_notice_read_draining(wp_str("1"), 2).status,
                     WP_NOTICE_INVALID);
    assert_int_equal(wp_notice_read_draining(wp_str(" 1 "), 1).status,
                     WP_NOTICE_PRESENT);
    assert_int_equal(wp_notice_read_draining(wp_str(""), 0).status,
                     WP_NOTICE_NONE);
}

/* Guards against a load that cannot be read and counts as none at all, so that
   a busy endpoint looks idle. */
static void malformed_load_counts_as_idle(void **state)
{
    static const char *const bad[] = { "",       "3",     "3,1",       "3;1,8",
                                       "3,1,8,", "3,1,x", "-3,1,8",    ",,",
                                       "3,1,+8", "3 1 8", "3,1,8,fast" };
    WPLoadReport v;
    (void)state;
    for (size_t i = 0; i < WP_COUNT(bad); i++) {
        if (wp_notice_read_load(wp_str(bad[i]), 1, &v) != WP_NOTICE_INVALID)
            fail_msg("'%s' is taken for a load", bad[i]);
        assert_int_equal(v.running + v.waiting + v.slots + v.slowdown, 0);
    }
    assert_int_equal(wp_notice_read_load(wp_str("3,1,8"), 2, &v),
                     WP_NOTICE_INVALID);
    assert_int_equal(wp_notice_read_load(wp_str(""), 0, &v), WP_NOTICE_NONE);
    assert_int_equal(wp_notice_read_load(wp_str(" 3, 1 ,8,170,new"), 1, &v),
                     WP_NOTICE_PRESENT);
    assert_int_equal(v.running * 100 + v.waiting * 10 + v.slots, 318);
    assert_int_equal(v.slowdown, 170);
}

static void backoff_is_seconds_or_a_date(void **state)
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
            fail_msg("'%s' was accepted", bad[i]);
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

/* An answer that carries a draining notice of its endpoint; and a refusal that
   asks for a back-off. */
static WPDirectAnswer draining_answer(int status)
{
    WPDirectAnswer a = fake_answer(status, 90);
    a.draining.status = WP_NOTICE_PRESENT;
    return a;
}

static WPDirectAnswer backoff_answer(double backoff_s)
{
    WPDirectAnswer a = fake_answer(503, -1);
    a.not_run = true;
    a.has_seal = false;
    a.backoff = (WPNoticeField){ WP_NOTICE_PRESENT, backoff_s };
    return a;
}

/* Delivers the head of the answer to the flow, then the answer. */
static void deliver_answer(Fake *k, WPFlow *f, const WPDirectAnswer *a,
                           WPFlowAction *m)
{
    WPHeadChanges changes;
    wp_flow_on_head(f, k->now, a, &changes);
    wp_flow_on_answer(f, k->now, a, m);
}

/* Begins a request whose endpoint gives this answer, and ends it; returns that
   endpoint's id. */
static const char *request_answered_with(Fake *k, const char *path,
                                         const WPDirectAnswer *a)
{
    WPFlowAction m;
    WPFlow *f = fake_ask(k, path, NULL, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    const char *id = g_intern_string(m.replica->id);
    deliver_answer(k, f, a, &m);
    if (m.kind == WP_FLOW_FORWARD)
        wp_flow_on_done(f, k->now, 0);
    else
        wp_flow_on_caller_gone(f, k->now);
    wp_flow_free(f);
    return id;
}

/* Whether one of up to `n` requests, 20 ms apart, goes to the endpoint `id`. */
static bool goes_to(Fake *k, const char *path, const char *id, int n)
{
    const WPDirectAnswer ok = fake_answer(200, 90);
    bool found = false;
    for (int i = 0; i < n && !found; i++) {
        found = !strcmp(request_answered_with(k, path, &ok), id);
        fake_advance(k, 20);
    }
    return found;
}

/* Begins a request that must be refused with this code; returns after how many
   milliseconds it may be retried. */
static uint32_t refused_retry_ms(Fake *k, const char *path, WPCode code)
{
    WPFlowAction m;
    WPFlow *f = fake_ask(k, path, NULL, &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    assert_int_equal(m.code, code);
    wp_flow_free(f);
    return m.retry_ms;
}

/* A draining notice holds for the whole incarnation of the endpoint, whatever
   it reports later and whatever the registry says of the same incarnation. */
static void draining_endpoint_gets_no_requests(void **state)
{
    const WPDirectAnswer draining = draining_answer(200);
    Fake k;
    (void)state;
    fake_init(&k);
    const char *id = request_answered_with(&k, "/safe/x", &draining);
    assert_false(goes_to(&k, "/safe/x", id, 200));
    fake_put(&k, id, "app", "v1", false);
    assert_false(goes_to(&k, "/safe/x", id, 200));
    fake_advance(&k, 60000);
    assert_false(goes_to(&k, "/once/x", id, 200));
    fake_end(&k);
}

/* A draining notice also counts in a refusal, and in an answer that is dropped
   for an escalation. */
static void any_answer_may_carry_a_draining_notice(void **state)
{
    WPDirectAnswer refuses = draining_answer(503);
    WPDirectAnswer poor = draining_answer(200);
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    refuses.not_run = true;
    const char *id = request_answered_with(&k, "/safe/x", &refuses);
    assert_false(goes_to(&k, "/safe/x", id, 200));
    poor.confidence = 0;
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    id = g_intern_string(m.replica->id);
    deliver_answer(&k, f, &poor, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    assert_string_not_equal(m.replica->id, id);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    assert_false(goes_to(&k, "/chat/x", id, 200));
    fake_end(&k);
}

/* A notice of another endpoint, which has the address now, does not count for
   the endpoint that the request was sent to. */
static void notice_of_another_endpoint_is_ignored(void **state)
{
    WPDirectAnswer wrong = draining_answer(421);
    Fake k;
    (void)state;
    fake_init(&k);
    wrong.wrong_endpoint = wrong.not_run = true;
    const char *id = request_answered_with(&k, "/safe/x", &wrong);
    assert_false(wp_fleet_find(k.d.fleet, id)->reported.draining.source);
    fake_end(&k);
}

static WPRegistryEntry entry_of(const char *id, const char *addr,
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

/* Notices do not carry over to a new incarnation: the old id with a later start
   time, or another id at the same address. */
static void new_incarnation_is_used_again(void **state)
{
    const WPDirectAnswer draining = draining_answer(200);
    const WPDirectAnswer backoff = backoff_answer(60);
    Fake k;
    (void)state;
    fake_init(&k);
    const char *id = request_answered_with(&k, "/safe/x", &draining);
    const char *other = request_answered_with(&k, "/safe/x", &backoff);
    assert_string_not_equal(id, other);
    const WPRegistryEntry again = entry_of(id, "127.0.0.1:1", 5);
    wp_fleet_put(k.d.fleet, k.now, &again);
    assert_true(goes_to(&k, "/safe/x", id, 10));
    const WPRegistryEntry fresh = entry_of("a9", "127.0.0.1:1", 6);
    wp_fleet_put(k.d.fleet, k.now, &fresh);
    assert_true(goes_to(&k, "/safe/x", "a9", 50));
    assert_false(goes_to(&k, "/safe/x", other, 100));
    fake_end(&k);
}

/* Requests for a service of which all endpoints are draining are refused at
   once. */
static void service_with_only_draining_endpoints_refuses(void **state)
{
    const WPDirectAnswer draining = draining_answer(200);
    Fake k;
    (void)state;
    fake_init(&k);
    request_answered_with(&k, "/safe/x", &draining);
    request_answered_with(&k, "/safe/x", &draining);
    assert_true(refused_retry_ms(&k, "/safe/x", WP_NO_ENDPOINT) > 0);
    assert_true(refused_retry_ms(&k, "/once/x", WP_NO_ENDPOINT) > 0);
    fake_end(&k);
}

/* Nothing is sent to the endpoint before its back-off is over, whichever
   requests end well there meanwhile and however little capacity is left
   elsewhere. */
static void backoff_is_kept(void **state)
{
    const WPDirectAnswer backoff = backoff_answer(3);
    Fake k;
    (void)state;
    fake_init(&k);
    const char *id = request_answered_with(&k, "/safe/x", &backoff);
    assert_false(goes_to(&k, "/safe/x", id, 149));
    fake_advance(&k, 100);
    assert_true(goes_to(&k, "/safe/x", id, 40));
    fake_end(&k);
}

/* Makes the other one of two endpoints nearly full, so that load alone would
   send requests to `id`. */
static void fill_other_endpoint(Fake *k, const char *id)
{
    const char *other = strcmp(id, "a1") ? "a1" : "a2";
    wp_fleet_set_load(wp_fleet_find(k->d.fleet, other), k->now, 7, 0, 8);
}

static void earlier_request_does_not_end_a_backoff(void **state)
{
    const WPDirectAnswer backoff = backoff_answer(3);
    const WPDirectAnswer ok = fake_answer(200, 90);
    WPFlow *early[8];
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    for (size_t i = 0; i < WP_COUNT(early); i++)
        early[i] = fake_ask(&k, "/safe/x", NULL, &m);
    const char *id = request_answered_with(&k, "/safe/x", &backoff);
    for (size_t i = 0; i < WP_COUNT(early); i++) {
        deliver_answer(&k, early[i], &ok, &m);
        wp_flow_on_done(early[i], k.now, 0);
        wp_flow_free(early[i]);
    }
    fill_other_endpoint(&k, id);
    assert_false(goes_to(&k, "/safe/x", id, 149));
    fake_end(&k);
}

/* Neither a shorter back-off nor a failure ends a longer back-off. */
static void backoff_is_not_shortened(void **state)
{
    const WPDirectAnswer backoff = backoff_answer(3),
                         shorter = backoff_answer(0.5);
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPFlow *early[8];
    for (size_t i = 0; i < WP_COUNT(early); i++)
        early[i] = fake_ask(&k, "/safe/x", NULL, &m);
    const char *id = request_answered_with(&k, "/safe/x", &backoff);
    for (size_t i = 0; i < WP_COUNT(early); i++) {
        bool same = !strcmp(early[i]->attempt.replica->id, id);
        if (same && i % 2)
            deliver_answer(&k, early[i], &shorter, &m);
        else if (same)
            wp_flow_on_lost(early[i], k.now, WP_LOSS_BROKEN, &m);
        wp_flow_on_caller_gone(early[i], k.now);
        wp_flow_free(early[i]);
    }
    fill_other_endpoint(&k, id);
    assert_false(goes_to(&k, "/safe/x", id, 120));
    fake_end(&k);
}

/* While all endpoints are backing off, requests are refused at once; the time
   to retry is the earliest end of a back-off, with some jitter. */
static void all_endpoints_back_off(void **state)
{
    const WPDirectAnswer backoff = backoff_answer(3),
                         longer = backoff_answer(9);
    Fake k;
    (void)state;
    fake_init(&k);
    request_answered_with(&k, "/safe/x", &longer);
    request_answered_with(&k, "/safe/x", &backoff);
    uint32_t min_ms = UINT32_MAX, max_ms = 0;
    for (int i = 0; i < 50; i++) {
        uint32_t ms = refused_retry_ms(&k, "/safe/x", WP_RESTING);
        min_ms = MIN(min_ms, ms);
        max_ms = MAX(max_ms, ms);
    }
    assert_in_range(min_ms, 3000, 3200);
    assert_in_range(max_ms, 3200, 4500);
    fake_advance(&k, 3000);
    assert_true(goes_to(&k, "/safe/x", "a1", 1) ||
                goes_to(&k, "/safe/x", "a2", 20));
    fake_end(&k);
}

/* A back-off in the wrong unit does not exclude an endpoint for good, as
   back-offs are capped. */
static void backoff_is_capped(void **state)
{
    const WPDirectAnswer backoff = backoff_answer(1e12);
    Fake k;
    (void)state;
    fake_init(&k);
    const char *id = request_answered_with(&k, "/safe/x", &backoff);
    fake_advance(&k, 1000 * 1000);
    assert_false(goes_to(&k, "/safe/x", id, 500));
    fake_advance(&k, 200 * 1000);
    assert_true(goes_to(&k, "/safe/x", id, 10));
    fake_end(&k);
}

/* A back-off that an endpoint asked of another box does not exclude it here,
   but makes it less preferred: an endpoint that refuses one box mostly refuses
   the others as well. Boxes send such an update once. */
static void backoff_of_another_box_lowers_preference(void **state)
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
    /* The other boxes know it already. */
    assert_false(wp_fleet_has_unsent_backoffs(b.d.fleet));
    fake_advance(&b, 1000);
    wp_fleet_record_draining(b.d.fleet, wp_fleet_find(b.d.fleet, "a2"), b.now);
    assert_true(goes_to(&b, "/safe/x", "a1", 1)); /* the only endpoint left */
    fake_end(&a);
    fake_end(&b);
}

/* With evenly loaded endpoints, it gets its share at once after the back-off:
   the refusal does not count as a failure besides. */
static void load_returns_after_a_backoff(void **state)
{
    const WPDirectAnswer backoff = backoff_answer(1);
    Fake k;
    (void)state;
    fake_init(&k);
    const char *id = request_answered_with(&k, "/safe/x", &backoff);
    fake_advance(&k, 1001);
    assert_true(goes_to(&k, "/safe/x", id, 12));
    fake_end(&k);
}

/* A refusal for lack of slots, and an application's own 429, ask for no
   back-off. */
static void other_refusals_are_no_backoff(void **state)
{
    WPDirectAnswer slots_full = backoff_answer(0), own = fake_answer(429, -1);
    Fake k;
    (void)state;
    fake_init(&k);
    own.backoff = (WPNoticeField){ WP_NOTICE_PRESENT, 60 };
    request_answered_with(&k, "/safe/x", &slots_full);
    request_answered_with(&k, "/safe/x", &own);
    const WPNoticeCount n = wp_fleet_count_notices(k.d.fleet, k.now);
    assert_int_equal(n.backing_off, 0);
    fake_end(&k);
}

/* Several notices hold independently; of the exclusions, the one that lasts
   longer is reported. */
static void notices_hold_independently(void **state)
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
    fake_advance(&k, 2001);
    wp_fleet_request_sent(f, s, k.now, &w, 0);
    assert_int_equal(wp_fleet_exclusion(f, k.now, &w, s), WP_EXCLUDED_COLD);
    fake_advance(&k, 3000);
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

/* Back-offs of the old version's endpoints give the new version no more than
   the shift's share, and move no session to another version. */
static void backoffs_do_not_speed_up_a_shift(void **state)
{
    unsigned to_new = 0, refused = 0;
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    poll_for(&k, sh, LEAD_MS);
    wp_fleet_record_backoff(k.d.fleet, wp_fleet_find(k.d.fleet, "l1"), k.now,
                            60);
    wp_fleet_record_backoff(k.d.fleet, wp_fleet_find(k.d.fleet, "l2"), k.now,
                            60);
    for (int i = 0; i < 300; i++) {
        const char *what = fake_serve(&k, "/chat/x", &m);
        to_new += what[0] == 'n';
        refused += !strcmp(what, "endpoints_resting");
        fake_advance(&k, 20);
    }
    assert_in_range(to_new, 15, 60); /* a tenth of the requests is its share */
    assert_int_equal(to_new + refused, 300);
    fake_end(&k);
}

/* Back-offs of the new version's endpoints count neither for nor against it. */
static void backoffs_are_no_evidence_in_a_shift(void **state)
{
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    poll_for(&k, sh, LEAD_MS);
    for (int i = 0; i < 300; i++) {
        WPDirectAnswer ok = fake_answer(200, 90), backoff = backoff_answer(0.1);
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        while (m.kind == WP_FLOW_SEND && m.replica->id[0] == 'n')
            deliver_answer(&k, f, &backoff, &m);
        if (m.kind == WP_FLOW_SEND)
            deliver_answer(&k, f, &ok, &m);
        wp_flow_on_caller_gone(f, k.now);
        wp_flow_free(f);
        assert_int_equal(poll_for(&k, sh, LOOK_MS), WP_SHIFT_RUNNING);
    }
    assert_int_equal(sh->state, WP_SHIFT_RUNNING);
    fake_end(&k);
}

/* Boxes relay a draining notice once, also to a box that joins, and before the
   endpoint is registered there. */
static void draining_updates_converge(void **state)
{
    uint64_t incarnations[4];
    Fake a, b;
    (void)state;
    fake_init(&a);
    fake_init(&b);
    WPReplica *s = wp_fleet_find(a.d.fleet, "a1");
    assert_true(wp_fleet_record_draining(a.d.fleet, s, a.now));
    assert_false(wp_fleet_record_draining(a.d.fleet, s, a.now));
    assert_int_equal(wp_fleet_take_unsent_draining(a.d.fleet, incarnations, 4),
                     1);
    assert_int_equal(wp_fleet_take_unsent_draining(a.d.fleet, incarnations, 4),
                     0);
    assert_non_null(wp_fleet_merge_draining(b.d.fleet, b.now, incarnations[0]));
    assert_false(goes_to(&b, "/safe/x", "a1", 50));
    assert_int_equal(wp_fleet_take_unsent_draining(b.d.fleet, incarnations, 4),
                     1);
    assert_null(wp_fleet_merge_draining(a.d.fleet, a.now, incarnations[0]));
    assert_false(wp_fleet_has_unsent_draining(a.d.fleet));
    fake_end(&a);
    fake_end(&b);
}

static void notices_outlast_a_missing_registry_entry(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPFleet *f = k.d.fleet;
    wp_fleet_record_draining(f, wp_fleet_find(f, "a1"), k.now);
    wp_fleet_record_backoff(f, wp_fleet_find(f, "a2"), k.now, 60);
    wp_fleet_remove(f, k.now, "a1", false);
    wp_fleet_remove(f, k.now, "a2", true);
    fake_advance(&k, 5000);
    assert_null(wp_fleet_find(f, "a2"));
    fake_put(&k, "a1", "app", "v1", false);
    fake_put(&k, "a2", "app", "v1", false);
    assert_true(refused_retry_ms(&k, "/safe/x", WP_RESTING) > 50000);
    wp_fleet_remove(f, k.now, "a1", false);
    const WPRegistryEntry again = entry_of("a1", "127.0.0.1:1", 7);
    wp_fleet_put(f, k.now, &again);
    assert_true(goes_to(&k, "/safe/x", "a1", 1));
    fake_end(&k);
}

/* The endpoint was removed from the registry while the request that brings the
   notice was running, and the same incarnation was registered again. */
static void notice_from_before_reregistration_counts(void **state)
{
    const WPDirectAnswer draining = draining_answer(200);
    const WPDirectAnswer backoff = backoff_answer(60);
    WPFlowAction m;
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
    assert_string_not_equal(f[0]->attempt.replica->id,
                            f[1]->attempt.replica->id);
    deliver_answer(&k, f[0], &draining, &m);
    wp_flow_on_done(f[0], k.now, 0);
    wp_flow_free(f[0]);
    deliver_answer(&k, f[1], &backoff, &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    wp_flow_free(f[1]);
    refused_retry_ms(&k, "/safe/x", WP_RESTING);
    fake_end(&k);
}

/* An endpoint's own notice outlasts a missing registry entry, whether the
   notice or the registry reported the draining first. */
static void registry_state_does_not_hide_the_notice(void **state)
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

/* An invalid field has no effect and is reported at intervals. */
static void invalid_notices_have_no_effect(void **state)
{
    WPDirectAnswer bad = fake_answer(200, 90);
    WPHeadChanges changes;
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    bad.draining.status = WP_NOTICE_INVALID;
    bad.backoff.status = WP_NOTICE_INVALID;
    unsigned reported = 0;
    for (int i = 0; i < 500; i++) {
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        assert_int_equal(m.kind, WP_FLOW_SEND);
        wp_flow_on_head(f, k.now, &bad, &changes);
        assert_false(changes.draining || changes.backoff);
        reported += changes.bad_field != NULL;
        wp_flow_on_answer(f, k.now, &bad, &m);
        wp_flow_on_done(f, k.now, 0);
        wp_flow_free(f);
        fake_advance(&k, 20);
    }
    assert_in_range(reported, 2, 4); /* for two endpoints, in 10 s */
    const WPNoticeCount n = wp_fleet_count_notices(k.d.fleet, k.now);
    assert_int_equal(n.draining + n.backing_off, 0);
    fake_end(&k);
}

TESTS_MAIN(T(only_1_means_draining), T(malformed_load_counts_as_idle),
           T(backoff_is_seconds_or_a_date),
           T(draining_endpoint_gets_no_requests),
           T(any_answer_may_carry_a_draining_notice),
           T(notice_of_another_endpoint_is_ignored),
           T(new_incarnation_is_used_again),
           T(service_with_only_draining_endpoints_refuses), T(backoff_is_kept),
           T(earlier_request_does_not_end_a_backoff),
           T(backoff_is_not_shortened), T(all_endpoints_back_off),
           T(backoff_is_capped), T(backoff_of_another_box_lowers_preference),
           T(load_returns_after_a_backoff), T(other_refusals_are_no_backoff),
           T(notices_hold_independently), T(backoffs_do_not_speed_up_a_shift),
           T(backoffs_are_no_evidence_in_a_shift), T(draining_updates_converge),
           T(notices_outlast_a_missing_registry_entry),
           T(notice_from_before_reregistration_counts),
           T(registry_state_does_not_hide_the_notice),
           T(invalid_notices_have_no_effect))
