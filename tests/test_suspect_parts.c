/* Prompt parts during which endpoints have crashed: what tells the one that
 * crashes them from those that come along with it. */
#include "suspect_fake.h"

/* Crashes endpoints with requests that share the parts, no two alike, until
   they are not admitted any more; each probe is sent too. Returns how many.
   `from`: how many were before. */
static unsigned crash_until_kept_out(WPSuspects *s, unsigned from,
                                     const char *const *parts)
{
    for (unsigned n = from; n < from + 20; n++) {
        const WPSuspectKeys k = keys_of(1000 + n, parts);
        if (admit(s, 100 * n, &k) != WP_SUSPECT_ADMITTED)
            return n - from;
        wp_suspect_keys_attempt_started(s, at_ms(100 * n), &k);
        crash_of(s, 100 * n + 50, &k, 100 + n);
        wp_suspect_keys_attempt_ended(s, &k);
    }
    fail_msg("parts go on crashing endpoints");
    return 0;
}

static void
part_that_crashes_endpoints_is_quarantined_in_unlike_requests(void **state)
{
    static const char *const places[][5] = { { "bad", "own" },
                                             { "bad", "a", "own" },
                                             { "a", "bad", "own" },
                                             { "a", "b", "bad", "own" } };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(places); i++) {
        WPSuspects *s = wp_suspects_new(1);
        unsigned n = crash_until_kept_out(s, 0, places[i]);
        assert_in_range(n, 3, 4);
        n += crash_until_kept_out(
            s, n, (const char *const[]){ "x", "y", "bad", "z", "own", NULL });
        assert_in_range(n, 4, 5); /* with one probe without the companions */
        const WPSuspectKeys other = KEYS(1, "x", "z", "bad", "y");
        const WPSuspectKeys last =
            keys_of(2, (const char *const[]){ "x", "bad", NULL });
        assert_int_equal(admit(s, 5000, &other), WP_SUSPECT_QUARANTINED);
        assert_int_equal(admit(s, 7200000, &other), WP_SUSPECT_QUARANTINED);
        /* The last part of a prompt is the request's own. */
        assert_int_equal(admit(s, 5000, &last), WP_SUSPECT_ADMITTED);
        wp_suspects_free(s);
    }
}

static void parts_that_were_in_the_crashes_are_sent_apart(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    const WPSuspectKeys sound = KEYS(1, "a"), bad = KEYS(2, "bad"),
                        both = KEYS(3, "a", "bad");
    (void)state;
    crash_until_kept_out(s, 0,
                         (const char *const[]){ "a", "bad", "own", NULL });
    assert_int_equal(admit(s, 1000, &both), WP_SUSPECT_QUARANTINED);
    assert_int_equal(admit(s, 1000, &sound), WP_SUSPECT_ADMITTED);
    wp_suspect_keys_attempt_started(s, at_ms(1000), &sound);
    assert_int_equal(admit(s, 1010, &sound), WP_SUSPECT_IN_FLIGHT);
    wp_suspect_keys_completed(s, at_ms(1100), &sound);
    wp_suspect_keys_attempt_ended(s, &sound);
    for (int i = 0; i < 10; i++) {
        assert_int_equal(admit(s, 1200, &sound), WP_SUSPECT_ADMITTED);
        wp_suspect_keys_attempt_started(s, at_ms(1200), &sound);
    }
    /* The other one alone is left, and has one probe. */
    assert_int_equal(
        crash_until_kept_out(s, 13,
                             (const char *const[]){ "a", "bad", "own", NULL }),
        1);
    assert_int_equal(admit(s, 3300, &both), WP_SUSPECT_QUARANTINED);
    assert_int_equal(admit(s, 3300, &bad), WP_SUSPECT_QUARANTINED);
    wp_suspects_free(s);
}

/* The part that crashes endpoints is tried once apart; the one beside it has
   fewer crashes then. */
/* Two parts crash endpoints; what comes along with both has more crashes than
   either. */
static void part_beside_two_that_crash_is_sent_apart(void **state)
{
    const WPSuspectKeys one = KEYS(1, "bad1", "a", "b"),
                        two = KEYS(2, "bad2", "a", "b");
    const WPSuspectKeys sound = KEYS(3, "a", "b");
    (void)state;
    for (unsigned crashes = 3; crashes <= 6; crashes++) {
        WPSuspects *s = wp_suspects_new(1);
        for (unsigned n = 0; n < crashes; n++)
            crash_of(s, 100 * n, n % 2 ? &one : &two, 1 + n);
        /* One probe was sent with a part that crashes endpoints. */
        wp_suspect_keys_attempt_started(s, at_ms(700), &one);
        wp_suspect_keys_attempt_ended(s, &one);
        assert_int_equal(admit(s, 1000, &sound), WP_SUSPECT_ADMITTED);
        wp_suspect_keys_completed(s, at_ms(1100), &sound);
        assert_int_equal(wp_suspects_crash_count(s, sound.keys[1]), 0);
        wp_suspects_free(s);
    }
}

static void crashing_part_is_told_from_its_companion(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    const WPSuspectKeys sound = KEYS(1, "a"), bad = KEYS(2, "bad");
    (void)state;
    crash_until_kept_out(s, 0,
                         (const char *const[]){ "a", "bad", "own", NULL });
    assert_int_equal(admit(s, 1000, &bad), WP_SUSPECT_ADMITTED);
    wp_suspect_keys_attempt_started(s, at_ms(1000), &bad);
    crash_of(s, 1100, &bad, 50);
    wp_suspect_keys_attempt_ended(s, &bad);
    assert_int_equal(admit(s, 1200, &bad), WP_SUSPECT_QUARANTINED);
    assert_int_equal(admit(s, 1200, &sound), WP_SUSPECT_ADMITTED);
    wp_suspects_free(s);
}

/* Crashes `n` endpoints, one each 100 ms, with unlike requests that have the
   part "a". */
static void crash_with_a(WPSuspects *s, uint64_t n)
{
    for (uint64_t i = 1; i <= n; i++) {
        const WPSuspectKeys k = KEYS(10 + i, "a");
        crash_of(s, 100 * (int64_t)i, &k, i);
    }
}

/* Copies with the part "a" are sent beside each other. */
static void assert_sent_at_once(WPSuspects *s, int64_t ms)
{
    for (uint64_t i = 0; i < 10; i++) {
        const WPSuspectKeys next = KEYS(30 + i, "a");
        assert_int_equal(admit(s, ms, &next), WP_SUSPECT_ADMITTED);
        wp_suspect_keys_attempt_started(s, at_ms(ms), &next);
    }
}

static void part_answered_lately_is_not_quarantined(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    const WPSuspectKeys k = KEYS(1, "a");
    (void)state;
    wp_suspect_keys_completed(s, at_ms(0), &k);
    crash_with_a(s, 8);
    assert_sent_at_once(s, 4900);
    wp_suspects_free(s);
}

static void
part_answered_earlier_is_not_quarantined_by_five_crashes(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    const WPSuspectKeys k = KEYS(1, "a");
    (void)state;
    wp_suspect_keys_completed(s, at_ms(0), &k);
    crash_with_a(s, 5);
    assert_sent_at_once(s, 6000);
    wp_suspects_free(s);
}

/* All endpoints may have been lost at once, with all parts. */
static void part_answered_earlier_is_probed_each_second(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    const WPSuspectKeys k = KEYS(1, "a");
    (void)state;
    wp_suspect_keys_completed(s, at_ms(0), &k);
    crash_with_a(s, 8);
    for (int i = 0; i < 6; i++) {
        int64_t ms = 6000 + 1100 * i;
        const WPSuspectKeys next = KEYS(30 + (uint64_t)i, "a");
        assert_int_equal(admit(s, ms, &next), WP_SUSPECT_ADMITTED);
        wp_suspect_keys_attempt_started(s, at_ms(ms), &next);
        assert_int_equal(admit(s, ms + 10, &next), WP_SUSPECT_IN_FLIGHT);
        wp_suspect_keys_attempt_ended(s, &next);
        assert_int_equal(admit(s, ms + 20, &next), WP_SUSPECT_IN_FLIGHT);
    }
    wp_suspects_free(s);
}

static void
crash_during_a_long_answer_does_not_count_against_parts(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    const WPSuspectKeys k = KEYS(1, "a");
    (void)state;
    for (uint64_t n = 1; n <= 5; n++) {
        const WPSuspectAttempt a = { .incarnation = n,
                                     .version = 1,
                                     .sent_us = us_at(0),
                                     .first_byte_us = us_at(100) };
        wp_suspect_keys_record_crash(s, at_ms(1200), &k, &a);
    }
    assert_int_equal(wp_suspects_crash_count(s, k.keys[1]), 0);
    wp_suspects_free(s);
}

static void part_is_quarantined_for_all_workspaces(void **state)
{
    static const char *const callers[] = { "key-1", "key-2" };
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPRoutes *t = fake_routes(2);
    wp_routes_add_key(t, "key-2", wp_routes_add_caller(t, "umbra", -1));
    wp_direct_set_routes(&k.d, t);
    crash_until_kept_out(k.d.suspects, 0,
                         (const char *const[]){ "bad", "own", NULL });
    /* A release that might mend the part is a reason for a probe. */
    for (int i = 0; i < 3; i++)
        wp_suspects_attempt_started(
            k.d.suspects, k.now,
            wp_suspect_part_key(wp_hash(wp_str("bad"), 0)));
    for (size_t i = 0; i < WP_COUNT(callers); i++) {
        WPDirectRequest ask = { .id = wp_str("r"),
                                .host = wp_str("h.example"),
                                .path = wp_str("/chat/x"),
                                .key = wp_str(callers[i]),
                                .prompt = { .tokens = 100 },
                                .content_hash = i,
                                .deadline_ms = 10000 };
        wp_prompt_add(&ask.prompt, wp_str("bad"), 50);
        wp_prompt_add(&ask.prompt, wp_str("own"), 50);
        WPFlow *f = wp_flow_begin(&k.d, k.now, &ask, &m);
        assert_int_equal(m.kind, WP_FLOW_FAIL);
        assert_true(m.code == WP_KEPT_OUT || m.code == WP_IN_DOUBT);
        assert_int_equal(m.suspect,
                         wp_suspect_part_key(wp_hash(wp_str("bad"), 0)));
        wp_flow_free(f);
    }
    fake_end(&k);
}

static void answer_that_comes_for_a_second_clears_its_parts(void **state)
{
    Fake k;
    WPFlowAction m;
    const WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    const WPSuspectKeys keys = KEYS(1, "a");
    for (uint64_t n = 1; n <= 2; n++)
        crash_of(k.d.suspects, 0, &keys, n);
    WPDirectRequest ask = { .id = wp_str("r"),
                            .host = wp_str("h.example"),
                            .path = wp_str("/chat/x"),
                            .key = wp_str("key-1"),
                            .prompt = { .tokens = 100 },
                            .deadline_ms = 10000 };
    wp_prompt_add(&ask.prompt, wp_str("a"), 50);
    wp_prompt_add(&ask.prompt, wp_str("own"), 50);
    WPFlow *f = wp_flow_begin(&k.d, k.now, &ask, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_answer(f, k.now, &a, &m);
    fake_advance(&k, 900);
    wp_flow_on_events(f, k.now, 1);
    assert_int_equal(wp_suspects_crash_count(k.d.suspects, keys.keys[1]), 2);
    fake_advance(&k, 200);
    wp_flow_on_events(f, k.now, 2);
    assert_int_equal(wp_suspects_crash_count(k.d.suspects, keys.keys[1]), 0);
    wp_flow_on_done(f, k.now, 2);
    wp_flow_free(f);
    fake_end(&k);
}

static void failure_of_an_endpoint_does_not_clear(void **state)
{
    static const int statuses[] = { 500, 504 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(statuses); i++) {
        Fake k;
        WPFlowAction m;
        const WPDirectAnswer failed = fake_answer(statuses[i], -1);
        fake_init(&k);
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        uint64_t request = f->hash;
        wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
        assert_int_equal(m.kind, WP_FLOW_SEND);
        wp_flow_on_answer(f, k.now, &failed, &m);
        assert_int_equal(m.kind, WP_FLOW_FORWARD);
        wp_flow_on_done(f, k.now, 0);
        assert_int_equal(wp_suspects_crash_count(k.d.suspects, request), 1);
        wp_flow_free(f);
        fake_end(&k);
    }
}

TESTS_MAIN(T(part_that_crashes_endpoints_is_quarantined_in_unlike_requests),
           T(parts_that_were_in_the_crashes_are_sent_apart),
           T(part_beside_two_that_crash_is_sent_apart),
           T(crashing_part_is_told_from_its_companion),
           T(part_answered_lately_is_not_quarantined),
           T(part_answered_earlier_is_not_quarantined_by_five_crashes),
           T(part_answered_earlier_is_probed_each_second),
           T(crash_during_a_long_answer_does_not_count_against_parts),
           T(part_is_quarantined_for_all_workspaces),
           T(answer_that_comes_for_a_second_clears_its_parts),
           T(failure_of_an_endpoint_does_not_clear))
