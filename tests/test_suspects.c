/* Suspect requests and prompt parts, during which endpoints have crashed: what
 * counts against them, what clears them, and how many endpoints one of them
 * crashes at 1, 3, 30, 100 and 300 boxes. */
#include "direct_fake.h"

#include <stdio.h>

enum { BAD = 7, GOOD = 8, OTHER = 9 };

static WPTime at_ms(int64_t ms)
{
    return (WPTime){ 1000000000 + ms * WP_US_PER_MS, 1700000000000 + ms };
}

static int64_t us_at(int64_t ms)
{
    return at_ms(ms).mono_us;
}

static unsigned record_crash(WPSuspects *s, int64_t ms, uint64_t request,
                             uint64_t incarnation, uint64_t version,
                             int64_t sent_us)
{
    const WPSuspectAttempt r = { request, incarnation, version, sent_us, 0 };
    return wp_suspects_record_crash(s, at_ms(ms), &r);
}

static void three_crashes_quarantine_a_request_but_for_one_probe(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t incarnation = 1; incarnation <= 3; incarnation++) {
        assert_int_equal(wp_suspects_admit(s, at_ms(0), BAD, 1),
                         WP_SUSPECT_ADMITTED);
        assert_int_equal(record_crash(s, 10, BAD, incarnation, 1, us_at(0)),
                         incarnation);
    }
    assert_false(wp_suspects_may_retry(s, at_ms(10), BAD));
    assert_int_equal(wp_suspects_admit(s, at_ms(20), BAD, 1),
                     WP_SUSPECT_ADMITTED);
    wp_suspects_attempt_started(s, at_ms(20), BAD);
    /* While the probe is in flight no other copy is sent. */
    assert_int_equal(wp_suspects_admit(s, at_ms(30), BAD, 1),
                     WP_SUSPECT_IN_FLIGHT);
    wp_suspects_attempt_ended(s, BAD);
    record_crash(s, 40, BAD, 4, 1, us_at(20));
    assert_int_equal(wp_suspects_admit(s, at_ms(50), BAD, 1),
                     WP_SUSPECT_QUARANTINED);
    /* It is quarantined hours later as well; another version is a reason for a
       probe. */
    wp_suspects_expire(s, at_ms(7200000));
    assert_int_equal(wp_suspects_admit(s, at_ms(7200000), BAD, 1),
                     WP_SUSPECT_QUARANTINED);
    assert_int_equal(wp_suspects_admit(s, at_ms(7200000), BAD, 2),
                     WP_SUSPECT_ADMITTED);
    assert_int_equal(wp_suspects_admit(s, at_ms(7200000), GOOD, 1),
                     WP_SUSPECT_ADMITTED);
    wp_suspects_free(s);
}

static void three_probes_at_most(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t incarnation = 1; incarnation <= 3; incarnation++)
        record_crash(s, 0, BAD, incarnation, 1, us_at(0));
    for (uint64_t version = 2; version <= 4; version++) {
        assert_int_equal(wp_suspects_admit(s, at_ms(0), BAD, version),
                         WP_SUSPECT_ADMITTED);
        wp_suspects_attempt_started(s, at_ms(0), BAD);
        wp_suspects_attempt_ended(s, BAD);
        record_crash(s, 0, BAD, 10 + version, version, us_at(0));
    }
    assert_int_equal(wp_suspects_admit(s, at_ms(0), BAD, 5),
                     WP_SUSPECT_QUARANTINED);
    /* An operator's release admits it again. */
    assert_true(wp_suspects_release(s, at_ms(0), BAD));
    assert_int_equal(wp_suspects_admit(s, at_ms(0), BAD, 1),
                     WP_SUSPECT_ADMITTED);
    wp_suspects_free(s);
}

static void complete_answer_clears(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t incarnation = 1; incarnation <= 3; incarnation++)
        record_crash(s, 0, GOOD, incarnation, 1, us_at(0));
    assert_true(wp_suspects_completed(s, at_ms(100), GOOD));
    assert_int_equal(wp_suspects_crash_count(s, GOOD), 0);
    /* A late report of a crash that was cleared changes nothing. */
    record_crash(s, 110, GOOD, 2, 1, us_at(0));
    assert_int_equal(wp_suspects_crash_count(s, GOOD), 0);
    /* A request that has completed lately may be in flight in several
       copies. */
    record_crash(s, 120, GOOD, 4, 1, us_at(0));
    wp_suspects_attempt_started(s, at_ms(120), GOOD);
    assert_int_equal(wp_suspects_admit(s, at_ms(130), GOOD, 1),
                     WP_SUSPECT_ADMITTED);
    wp_suspects_free(s);
}

static void endpoint_that_answers_has_not_crashed(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    record_crash(s, 10, GOOD, 1, 1, us_at(0));
    /* An answer that was already on its way proves nothing. */
    wp_suspects_endpoint_alive(s, at_ms(12), 1, us_at(5));
    assert_int_equal(wp_suspects_crash_count(s, GOOD), 1);
    wp_suspects_endpoint_alive(s, at_ms(30), 1, us_at(20));
    assert_int_equal(wp_suspects_crash_count(s, GOOD), 0);
    /* Nor does an answer under its id after it may have restarted. */
    record_crash(s, 40, BAD, 2, 1, us_at(35));
    wp_suspects_endpoint_alive(s, at_ms(2000), 2, us_at(1900));
    assert_int_equal(wp_suspects_crash_count(s, BAD), 1);
    wp_suspects_free(s);
}

static void request_sent_after_the_crash_is_not_suspect(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    record_crash(s, 10, BAD, 1, 1, us_at(0));
    assert_int_equal(record_crash(s, 20, GOOD, 1, 1, us_at(15)), 0);
    wp_suspects_free(s);
}

/* Merges all unsent records of `from` into `to`, encoded as on the wire.
   Returns whether any of them was new there. */
static bool merge_unsent(WPSuspects *from, WPSuspects *to, WPTime now)
{
    static WPSuspect list[WP_SUSPECTS_PER_MESSAGE];
    size_t n = wp_suspects_take_unsent(from, list, WP_SUSPECTS_PER_MESSAGE);
    bool is_new = false;
    for (size_t i = 0; i < n; i++) {
        WPSuspectBuffers buffers;
        Wp__Suspect m;
        wp_suspect_encode(&list[i], now, &buffers, &m);
        is_new |= wp_suspects_merge(to, now, &m);
    }
    return is_new;
}

static void updates_between_boxes_converge(void **state)
{
    WPSuspects *a = wp_suspects_new(1), *b = wp_suspects_new(2);
    (void)state;
    record_crash(a, 0, BAD, 1, 1, us_at(0));
    wp_suspects_attempt_started(a, at_ms(0), BAD);
    assert_true(merge_unsent(a, b, at_ms(1)));
    wp_suspects_attempt_ended(a, BAD);
    assert_int_equal(wp_suspects_crash_count(b, BAD), 1);
    assert_int_equal(wp_suspects_admit(b, at_ms(2), BAD, 1),
                     WP_SUSPECT_IN_FLIGHT);
    assert_false(wp_suspects_may_retry(b, at_ms(2), BAD));
    assert_false(merge_unsent(b, a, at_ms(3)));
    assert_false(wp_suspects_any_unsent(a));
    assert_false(wp_suspects_any_unsent(b));
    /* A copy at a box that is gone does not block the request for ever. */
    assert_int_equal(wp_suspects_admit(b, at_ms(2000), BAD, 1),
                     WP_SUSPECT_ADMITTED);
    assert_true(wp_suspects_completed(b, at_ms(2100), BAD));
    assert_true(merge_unsent(b, a, at_ms(2101)));
    assert_int_equal(wp_suspects_crash_count(a, BAD), 0);
    wp_suspects_free(a);
    wp_suspects_free(b);
}

/* Crashes of a stream that had run for over a second each time count half:
   three of them do not quarantine it. */
static void crashes_after_long_runs_count_half(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t incarnation = 1; incarnation <= 5; incarnation++) {
        const WPSuspectAttempt r = { GOOD, incarnation, 1, us_at(0),
                                     us_at(100) };
        assert_int_equal(wp_suspects_record_crash(s, at_ms(1500), &r),
                         incarnation / 2);
    }
    assert_int_equal(wp_suspects_admit(s, at_ms(1600), GOOD, 1),
                     WP_SUSPECT_ADMITTED);
    wp_suspects_free(s);
}

/* A box that is killed during a probe learns nothing from it; the next box
   probes again. */
static void unfinished_probe_is_not_the_last(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t incarnation = 1; incarnation <= 3; incarnation++)
        record_crash(s, 0, GOOD, incarnation, 1, us_at(0));
    for (int i = 0; i < 3; i++) {
        assert_int_equal(wp_suspects_admit(s, at_ms(10), GOOD, 1),
                         WP_SUSPECT_ADMITTED);
        wp_suspects_attempt_started(s, at_ms(10), GOOD);
        wp_suspects_attempt_ended(s, GOOD);
    }
    assert_int_equal(wp_suspects_admit(s, at_ms(10), GOOD, 1),
                     WP_SUSPECT_QUARANTINED);
    wp_suspects_free(s);
}

static void records_with_fewest_crashes_are_evicted(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t incarnation = 1; incarnation <= 3; incarnation++)
        record_crash(s, 0, BAD, incarnation, 1, us_at(0));
    for (uint64_t i = 0; i < 5000; i++)
        record_crash(s, 1, 1000 + i, 100 + i, 1, us_at(0));
    assert_int_equal(wp_suspects_crash_count(s, BAD), 3);
    wp_suspects_free(s);
}

static void request_that_may_crash_endpoints_is_not_escalated(void **state)
{
    Fake k;
    WPFlowAction m;
    const WPDirectAnswer poor = fake_answer(200, 5);
    (void)state;
    fake_init(&k);
    fake_put(&k, "l3", "llm", "v1", false);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    for (int i = 0; i < 2; i++) {
        assert_int_equal(m.kind, WP_FLOW_SEND);
        wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
    }
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_FLOW_FORWARD);
    wp_flow_on_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

static WPSuspectKeys keys_of(uint64_t request, const char *const *parts)
{
    WPPrompt prompt = { .tokens = 1000 };
    WPSuspectKeys k;
    for (; *parts; parts++)
        wp_prompt_add(&prompt, wp_str(*parts), 10);
    wp_suspect_keys_init(&k, request, &prompt);
    return k;
}

#define KEYS(request, ...)                                                     \
    keys_of(request, (const char *const[]){ __VA_ARGS__, "own", NULL })

static void crash_of(WPSuspects *s, int64_t ms, const WPSuspectKeys *k,
                     uint64_t incarnation)
{
    const WPSuspectAttempt a = { .incarnation = incarnation,
                                 .version = 1,
                                 .sent_us = us_at(ms - 50) };
    wp_suspect_keys_record_crash(s, at_ms(ms), k, &a);
}

static WPSuspectAdmission admit(WPSuspects *s, int64_t ms,
                                const WPSuspectKeys *k)
{
    uint64_t why;
    return wp_suspect_keys_admit(s, at_ms(ms), k, 1, &why);
}

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

/* Begins a request that differs from those of fake_ask(). */
static WPFlow *ask_other(Fake *k, WPFlowAction *m)
{
    const WPDirectRequest ask = { .id = wp_str("other"),
                                  .host = wp_str("h.example"),
                                  .path = wp_str("/safe/x"),
                                  .key = wp_str("key-1"),
                                  .content_hash = OTHER,
                                  .deadline_ms = 10000 };
    return wp_flow_begin(&k->d, k->now, &ask, m);
}

/* Such an answer also looks complete if its endpoint has crashed. */
static void
answer_that_ends_with_its_connection_clears_when_its_endpoint_answers_again(
    void **state)
{
    Fake k;
    WPFlowAction m;
    WPHeadChanges changes;
    WPDirectAnswer a = fake_answer(200, 90);
    bool same = false;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
    uint64_t request = f->hash;
    wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    g_autofree char *endpoint = g_strdup(m.replica->id);
    a.until_close = true;
    wp_flow_on_answer(f, k.now, &a, &m);
    wp_flow_on_done(f, k.now, 0);
    wp_flow_free(f);
    assert_int_equal(wp_suspects_crash_count(k.d.suspects, request), 1);
    a.until_close = false;
    for (unsigned i = 0; i < 50 && !same; i++) {
        fake_advance(&k, 10);
        f = ask_other(&k, &m);
        same = !strcmp(m.replica->id, endpoint);
        wp_flow_on_head(f, k.now, &a, &changes);
        assert_int_equal(wp_suspects_crash_count(k.d.suspects, request), !same);
        wp_flow_on_answer(f, k.now, &a, &m);
        wp_flow_on_done(f, k.now, 0);
        wp_flow_free(f);
    }
    assert_true(same);
    fake_end(&k);
}

/* In both orders in which a box may notice the two. */
static void
answer_that_ended_as_its_endpoint_crashed_counts_as_a_crash(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    const WPSuspectKeys k = KEYS(1, "a");
    const uint64_t other = OTHER;
    (void)state;
    WPSuspectAttempt a = { .incarnation = 1, .sent_us = us_at(0) };
    wp_suspects_ended_with_connection(s, at_ms(100), &a, k.keys, k.n);
    record_crash(s, 110, other, 1, 1, us_at(0));
    assert_int_equal(wp_suspects_crash_count(s, k.keys[1]), 1);
    record_crash(s, 200, other, 2, 1, us_at(0));
    a.incarnation = 2;
    wp_suspects_ended_with_connection(s, at_ms(210), &a, k.keys, k.n);
    assert_int_equal(wp_suspects_crash_count(s, k.keys[1]), 2);
    /* A crash later on is not its fault. */
    a.incarnation = 3;
    wp_suspects_ended_with_connection(s, at_ms(300), &a, k.keys, k.n);
    record_crash(s, 600, other, 3, 1, us_at(0));
    assert_int_equal(wp_suspects_crash_count(s, k.keys[1]), 2);
    wp_suspects_free(s);
}

/* The box itself has no other connection to the endpoint. */
static void
answer_that_ended_with_its_endpoint_counts_when_another_box_saw_the_crash(
    void **state)
{
    WPSuspects *a = wp_suspects_new(1), *b = wp_suspects_new(2);
    const WPSuspectKeys k = KEYS(1, "a"), others = KEYS(2, "b");
    (void)state;
    WPSuspectAttempt run = { .incarnation = 1, .sent_us = us_at(0) };
    wp_suspects_ended_with_connection(a, at_ms(100), &run, k.keys, k.n);
    crash_of(b, 100, &others, 1);
    merge_unsent(b, a, at_ms(400));
    assert_int_equal(wp_suspects_crash_count(a, k.keys[1]), 1);
    /* An answer that is older than a second is not in doubt any more. */
    run.incarnation = 2;
    wp_suspects_ended_with_connection(a, at_ms(500), &run, k.keys, k.n);
    crash_of(b, 1600, &others, 2);
    merge_unsent(b, a, at_ms(1610));
    assert_int_equal(wp_suspects_crash_count(a, k.keys[1]), 1);
    wp_suspects_free(a);
    wp_suspects_free(b);
}

/* The endpoint is lost to requests that were sent after the answer had ended.
 */
static void
answer_that_ended_with_its_endpoint_counts_when_later_requests_are_lost(
    void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    const WPSuspectKeys k = KEYS(1, "a");
    (void)state;
    WPSuspectAttempt run = { .incarnation = 1, .sent_us = us_at(0) };
    wp_suspects_ended_with_connection(s, at_ms(100), &run, k.keys, k.n);
    record_crash(s, 700, OTHER, 1, 1, us_at(300));
    assert_int_equal(wp_suspects_crash_count(s, k.keys[1]), 1);
    run.incarnation = 2;
    wp_suspects_ended_with_connection(s, at_ms(800), &run, k.keys, k.n);
    wp_suspects_endpoint_unreachable(s, at_ms(1500), 2);
    assert_int_equal(wp_suspects_crash_count(s, k.keys[1]), 2);
    /* It has answered since. */
    run.incarnation = 3;
    wp_suspects_ended_with_connection(s, at_ms(1600), &run, k.keys, k.n);
    wp_suspects_endpoint_alive(s, at_ms(1800), 3, us_at(1610));
    wp_suspects_endpoint_unreachable(s, at_ms(1900), 3);
    assert_int_equal(wp_suspects_crash_count(s, k.keys[1]), 0);
    for (unsigned i = 1; i <= 3; i++) {
        WPSuspectVerdict v;
        assert_true(wp_suspects_take_verdict(s, &v));
        assert_int_equal(v.request, k.keys[0]);
        assert_int_equal(v.incarnation, i);
        assert_int_equal(v.crashed, i < 3);
    }
    assert_false(wp_suspects_take_verdict(s, &(WPSuspectVerdict){ 0 }));
    wp_suspects_free(s);
}

static void
answer_that_ended_with_its_connection_is_verified_by_the_next_request(
    void **state)
{
    enum { TIMES = 8 };
    (void)state;
    for (unsigned i = 0; i < TIMES; i++) {
        Fake k;
        WPFlowAction m;
        WPHeadChanges changes;
        WPDirectAnswer a = fake_answer(200, 90);
        fake_init(&k);
        for (unsigned n = 0; n < TIMES; n++) {
            g_autofree char *id = g_strdup_printf("more%u", n);
            fake_put(&k, id, "app", "v1", false);
        }
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        uint64_t request = f->hash;
        wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
        assert_int_equal(m.kind, WP_FLOW_SEND);
        g_autofree char *endpoint = g_strdup(m.replica->id);
        a.until_close = true;
        wp_flow_on_answer(f, k.now, &a, &m);
        wp_flow_on_done(f, k.now, 0);
        wp_flow_free(f);
        fake_advance(&k, 10);
        f = ask_other(&k, &m);
        assert_string_equal(m.replica->id, endpoint);
        wp_flow_on_head(f, k.now, &a, &changes);
        assert_int_equal(wp_suspects_crash_count(k.d.suspects, request), 0);
        wp_flow_on_caller_gone(f, k.now);
        wp_flow_free(f);
        fake_end(&k);
    }
}

static void
answer_that_ended_with_its_connection_is_confirmed_after_a_quiet_second(
    void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    const WPSuspectKeys k = KEYS(1, "a");
    (void)state;
    crash_of(s, 10, &k, 1);
    const WPSuspectAttempt run = { .incarnation = 2, .sent_us = us_at(50) };
    wp_suspects_ended_with_connection(s, at_ms(100), &run, k.keys, k.n);
    wp_suspects_endpoint_alive(s, at_ms(1700), 2, us_at(1650));
    assert_int_equal(wp_suspects_crash_count(s, k.keys[1]), 0);
    wp_suspects_free(s);
}

static void
late_report_of_a_crash_does_not_count_after_a_complete_answer(void **state)
{
    WPSuspects *a = wp_suspects_new(1), *b = wp_suspects_new(2);
    const WPSuspectKeys k = KEYS(1, "a");
    (void)state;
    crash_of(a, 50, &k, 9);
    /* `b` knows of the crash by another request, and has then answered one with
       the part. */
    crash_of(b, 50, &(WPSuspectKeys){ 1, { GOOD } }, 9);
    wp_suspects_completed(b, at_ms(100), k.keys[1]);
    merge_unsent(a, b, at_ms(200));
    assert_int_equal(wp_suspects_crash_count(b, k.keys[1]), 0);
    merge_unsent(b, a, at_ms(210));
    assert_int_equal(wp_suspects_crash_count(a, k.keys[1]), 0);
    wp_suspects_free(a);
    wp_suspects_free(b);
}

/* Simulation: boxes that relay updates along links, endpoints that crash and
   come back, one caller that repeats a request that crashes them, and other
   callers. */
enum {
    ENDPOINTS = 40,
    RUN_MS = 12000,
    BAD_INTERVAL_MS = 100,
    OTHER_INTERVAL_MS = 4,
    OTHER_DURATION_MS = 300,
    CRASH_MIN_MS = 50,
    CRASH_MAX_MS = 300,
    RESTART_MS = 2000,
    UNREGISTER_MS = 1200,
    LINKS = 8,
    BEFORE_MS = 1000,     /* the other callers alone, where a part is bad */
    RARE_PARTS = 300,     /* second parts of the other callers' prompts */
    PART_CRASHES_MAX = 8, /* the fifth, and three more */
    RUNS_MAX = 4096,
    SEEDS = 4,
    QUIET_TEST_MS = 8000 /* the second half is without events */
};

typedef struct Run {
    WPFlow *flow; /* NULL: free */
    unsigned box;
    char endpoint[16]; /* the endpoint's id */
    int64_t end_ms;
    bool bad;
} Run;

typedef struct Update {
    int64_t at_ms;
    unsigned to;
    WPSuspect record;
} Update;

typedef struct Endpoint {
    char id[16];
    int64_t back_at_ms;       /* when it comes back; 0: it is up */
    int64_t unregister_at_ms; /* when its registry entry is removed; 0: not to
                                 be removed */
    unsigned incarnations;
} Endpoint;

typedef struct Sim {
    Fake *boxes;
    unsigned n_boxes;
    Endpoint endpoints[ENDPOINTS];
    Run runs[RUNS_MAX];
    GArray *updates;
    GRand *rand;
    int64_t ms;
    bool parts; /* no two bad requests are alike: a part of their prompts is */
    bool closing; /* a bad request's answer looks complete when its endpoint has
                     crashed */
    unsigned crashed, others, served;
} Sim;

static void register_everywhere(Sim *p, const char *id, bool registered)
{
    for (unsigned i = 0; i < p->n_boxes; i++) {
        Fake *k = &p->boxes[i];
        if (registered)
            fake_put(k, id, "many", "v1", false);
        else
            wp_fleet_remove(k->d.fleet, at_ms(p->ms), id, false);
    }
}

static Endpoint *find_endpoint(Sim *p, const char *id)
{
    for (unsigned i = 0; i < ENDPOINTS; i++)
        if (!p->endpoints[i].back_at_ms && !strcmp(p->endpoints[i].id, id))
            return &p->endpoints[i];
    return NULL;
}

static void end_run(Sim *p, Run *r, bool served)
{
    wp_flow_free(r->flow);
    r->flow = NULL;
    if (r->bad)
        return;
    p->others++;
    p->served += served;
}

static void run_action(Sim *p, Run *r, WPFlowAction *m);

/* Sends the attempt to its endpoint; it fails at once if the endpoint is
   down. */
static void send_attempt(Sim *p, Run *r, WPFlowAction *m)
{
    g_strlcpy(r->endpoint, m->replica->id, sizeof(r->endpoint));
    if (!find_endpoint(p, r->endpoint)) {
        wp_flow_on_lost(r->flow, at_ms(p->ms), WP_LOSS_UNSENT, m);
        run_action(p, r, m);
        return;
    }
    int ms = r->bad ? g_rand_int_range(p->rand, CRASH_MIN_MS, CRASH_MAX_MS)
                    : OTHER_DURATION_MS;
    r->end_ms = p->ms + ms;
}

static void run_action(Sim *p, Run *r, WPFlowAction *m)
{
    if (m->kind == WP_FLOW_SEND)
        send_attempt(p, r, m);
    else
        end_run(p, r, false);
}

static void begin_request(Sim *p, bool bad)
{
    Run *r = p->runs;
    while (r->flow)
        r++;
    assert_true(r < p->runs + RUNS_MAX);
    r->box = (unsigned)g_rand_int_range(p->rand, 0, (gint32)p->n_boxes);
    r->bad = bad;
    g_autofree char *id = g_strdup_printf("r%u", p->others);
    g_autofree char *rare =
        g_strdup_printf("rare%d", g_rand_int_range(p->rand, 0, RARE_PARTS));
    WPDirectRequest params = { .id = wp_str(id),
                               .host = wp_str("h.example"),
                               .path = wp_str("/many/x"),
                               .key = wp_str("key-1"),
                               .content_hash = bad && !p->parts
                                                   ? BAD
                                                   : 100 + g_rand_int(p->rand),
                               .prompt = { .tokens = 100 },
                               .deadline_ms = 10000 };
    if (p->parts) {
        wp_prompt_add(&params.prompt, wp_str("common"), 20);
        wp_prompt_add(&params.prompt, wp_str(bad ? "bad" : rare), 20);
        wp_prompt_add(&params.prompt, wp_str(id), 60);
    }
    WPFlowAction m;
    r->flow = wp_flow_begin(&p->boxes[r->box].d, at_ms(p->ms), &params, &m);
    run_action(p, r, &m);
}

static void crash_endpoint(Sim *p, const char *endpoint)
{
    Endpoint *down = find_endpoint(p, endpoint);
    char id[16];
    g_strlcpy(id, endpoint, sizeof(id));
    if (!down)
        return;
    down->back_at_ms = p->ms + RESTART_MS;
    down->unregister_at_ms = p->ms + UNREGISTER_MS;
    p->crashed++;
    for (Run *r = p->runs; r < p->runs + RUNS_MAX; r++) {
        WPFlowAction m;
        if (!r->flow || strcmp(r->endpoint, id))
            continue;
        if (r->bad && p->closing) {
            WPDirectAnswer a = fake_answer(200, -1);
            a.until_close = true;
            wp_flow_on_answer(r->flow, at_ms(p->ms), &a, &m);
            wp_flow_on_done(r->flow, at_ms(p->ms), 0);
            end_run(p, r, true);
            continue;
        }
        wp_flow_on_lost(r->flow, at_ms(p->ms), WP_LOSS_NO_ANSWER, &m);
        run_action(p, r, &m);
    }
}

static void end_due_runs(Sim *p)
{
    for (Run *r = p->runs; r < p->runs + RUNS_MAX; r++) {
        if (!r->flow || p->ms < r->end_ms)
            continue;
        if (r->bad) {
            crash_endpoint(p, r->endpoint);
            continue;
        }
        const WPDirectAnswer a = fake_answer(200, -1);
        WPFlowAction m;
        wp_flow_on_answer(r->flow, at_ms(p->ms), &a, &m);
        wp_flow_on_done(r->flow, at_ms(p->ms), 0);
        end_run(p, r, true);
    }
}

static void update_endpoints(Sim *p)
{
    for (Endpoint *e = p->endpoints; e < p->endpoints + ENDPOINTS; e++) {
        if (e->unregister_at_ms && p->ms >= e->unregister_at_ms) {
            register_everywhere(p, e->id, false);
            e->unregister_at_ms = 0;
        }
        if (!e->back_at_ms || p->ms < e->back_at_ms)
            continue;
        e->back_at_ms = 0;
        g_snprintf(e->id, sizeof(e->id), "e%u.%u", (unsigned)(e - p->endpoints),
                   ++e->incarnations);
        register_everywhere(p, e->id, true);
    }
}

/* Sends the unsent records of a box to the boxes at distances that double along
   a ring, 1 to 30 ms away. */
static void send_updates(Sim *p, unsigned from)
{
    static WPSuspect list[WP_SUSPECTS_PER_MESSAGE];
    size_t n = wp_suspects_take_unsent(p->boxes[from].d.suspects, list,
                                       WP_SUSPECTS_PER_MESSAGE);
    for (unsigned hop = 0; hop < LINKS; hop++) {
        unsigned distance = 1u << hop;
        if (distance >= p->n_boxes)
            return;
        for (size_t i = 0; i < n; i++) {
            Update w = { p->ms + g_rand_int_range(p->rand, 1, 30),
                         (from + distance) % p->n_boxes, list[i] };
            g_array_append_val(p->updates, w);
            w.to = (from + p->n_boxes - distance) % p->n_boxes;
            g_array_append_val(p->updates, w);
        }
    }
}

static void deliver(Sim *p)
{
    for (guint i = 0; i < p->updates->len;) {
        Update w = g_array_index(p->updates, Update, i);
        WPSuspectBuffers buffers;
        Wp__Suspect m;
        if (w.at_ms > p->ms) {
            i++;
            continue;
        }
        g_array_remove_index_fast(p->updates, i);
        wp_suspect_encode(&w.record, at_ms(p->ms), &buffers, &m);
        wp_suspects_merge(p->boxes[w.to].d.suspects, at_ms(p->ms), &m);
    }
}

/* Boxes relay each other's records: whatever has happened, the updates must
   stop once nothing happens any more. They circulated for ever between a
   hundred boxes after a request that many callers send had lost answers by
   connection resets: 300 MB in each box. */
static void updates_stop_without_events(void **state)
{
    Sim *p = g_new0(Sim, 1);
    (void)state;
    p->n_boxes = 20;
    p->rand = g_rand_new_with_seed(1);
    p->updates = g_array_new(FALSE, FALSE, sizeof(Update));
    p->boxes = g_new0(Fake, p->n_boxes);
    for (unsigned i = 0; i < p->n_boxes; i++)
        p->boxes[i].d.suspects = wp_suspects_new(i + 1);
    unsigned late_sends = 0;
    for (p->ms = 1; p->ms < QUIET_TEST_MS; p->ms++) {
        unsigned box = (unsigned)g_rand_int_range(p->rand, 0, p->n_boxes);
        WPSuspects *s = p->boxes[box].d.suspects;
        uint64_t incarnation = 1 + g_rand_int(p->rand) % 50;
        uint64_t request = 1 + g_rand_int(p->rand) % 3;
        if (p->ms < QUIET_TEST_MS / 2 && p->ms % 7 == 0)
            record_crash(s, p->ms, request, incarnation, 1, us_at(p->ms - 1));
        if (p->ms < QUIET_TEST_MS / 2 && p->ms % 11 == 0)
            wp_suspects_endpoint_alive(s, at_ms(p->ms), incarnation,
                                       us_at(p->ms));
        if (p->ms < QUIET_TEST_MS / 2 && p->ms % 101 == 0)
            wp_suspects_completed(s, at_ms(p->ms), request);
        if (p->ms < QUIET_TEST_MS / 2 && p->ms % 13 == 0)
            wp_suspects_attempt_started(s, at_ms(p->ms), request);
        if (p->ms < QUIET_TEST_MS / 2 && p->ms % 17 == 0)
            wp_suspects_attempt_ended(s, request);
        deliver(p);
        for (unsigned i = 0; i < p->n_boxes; i++)
            if (wp_suspects_any_unsent(p->boxes[i].d.suspects)) {
                send_updates(p, i);
                late_sends += p->ms > QUIET_TEST_MS * 3 / 4;
            }
    }
    assert_int_equal(late_sends, 0);
    for (unsigned i = 0; i < p->n_boxes; i++)
        wp_suspects_free(p->boxes[i].d.suspects);
    g_array_unref(p->updates);
    g_rand_free(p->rand);
    g_free(p->boxes);
    g_free(p);
}

static void add_route(Fake *k)
{
    WPRoutes *t = fake_routes(2);
    wp_routes_add_service(t, "many");
    WPRoute *many = wp_routes_add(t, "many", "h.example", "/many/");
    many->retry_policy = WP_RETRY_SAFE;
    many->max_attempts = 3;
    many->timeout_ms = 10000;
    wp_route_add_target(t, many, "many", 1);
    wp_direct_set_routes(&k->d, t);
}

static void simulate(unsigned n_boxes, unsigned seed, bool parts, bool closing)
{
    Sim *p = g_new0(Sim, 1);
    p->n_boxes = n_boxes;
    p->parts = parts;
    p->closing = closing;
    p->rand = g_rand_new_with_seed(seed);
    p->updates = g_array_new(FALSE, FALSE, sizeof(Update));
    p->boxes = g_new0(Fake, n_boxes);
    for (unsigned i = 0; i < n_boxes; i++) {
        fake_init(&p->boxes[i]);
        p->boxes[i].now = at_ms(0);
        wp_suspects_free(p->boxes[i].d.suspects);
        p->boxes[i].d.suspects = wp_suspects_new(i + 1);
        add_route(&p->boxes[i]);
    }
    for (unsigned i = 0; i < ENDPOINTS; i++) {
        g_snprintf(p->endpoints[i].id, sizeof(p->endpoints[i].id), "e%u.0", i);
        register_everywhere(p, p->endpoints[i].id, true);
    }
    for (p->ms = 1; p->ms < RUN_MS; p->ms++) {
        if (p->ms % BAD_INTERVAL_MS == 0 && p->ms > (parts ? BEFORE_MS : 0))
            begin_request(p, true);
        if (p->ms % OTHER_INTERVAL_MS == 0)
            begin_request(p, false);
        end_due_runs(p);
        update_endpoints(p);
        deliver(p);
        for (unsigned i = 0; i < n_boxes; i++)
            if (wp_suspects_any_unsent(p->boxes[i].d.suspects))
                send_updates(p, i);
    }
    printf("%u boxes: %u endpoints crashed, %u of %u others served\n", n_boxes,
           p->crashed, p->served, p->others);
    for (Run *r = p->runs; r < p->runs + RUNS_MAX; r++) {
        if (r->flow)
            wp_flow_on_caller_gone(r->flow, at_ms(p->ms));
        wp_flow_free(r->flow);
    }
    for (unsigned i = 0; i < n_boxes; i++)
        fake_end(&p->boxes[i]);
    assert_in_range(p->crashed, 3, parts ? PART_CRASHES_MAX : 5);
    assert_true(p->served >= 0.98 * p->others);
    g_array_unref(p->updates);
    g_rand_free(p->rand);
    g_free(p->boxes);
    g_free(p);
}

static void one_request_crashes_few_endpoints_at_any_size(void **state)
{
    static const unsigned sizes[] = { 1, 3, 30, 100, 300 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (unsigned seed = 1; seed <= SEEDS; seed++)
            simulate(sizes[i], seed, false, false);
}

static void one_part_crashes_few_endpoints_at_any_size(void **state)
{
    static const unsigned sizes[] = { 1, 3, 30, 100, 300 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (unsigned seed = 1; seed <= SEEDS; seed++)
            simulate(sizes[i], seed, true, false);
}

static void
part_whose_answers_look_complete_crashes_few_endpoints_at_any_size(void **state)
{
    static const unsigned sizes[] = { 1, 3, 30, 100, 300 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (unsigned seed = 1; seed <= SEEDS; seed++)
            simulate(sizes[i], seed, true, true);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(three_crashes_quarantine_a_request_but_for_one_probe),
        cmocka_unit_test(three_probes_at_most),
        cmocka_unit_test(complete_answer_clears),
        cmocka_unit_test(endpoint_that_answers_has_not_crashed),
        cmocka_unit_test(request_sent_after_the_crash_is_not_suspect),
        cmocka_unit_test(updates_between_boxes_converge),
        cmocka_unit_test(crashes_after_long_runs_count_half),
        cmocka_unit_test(unfinished_probe_is_not_the_last),
        cmocka_unit_test(records_with_fewest_crashes_are_evicted),
        cmocka_unit_test(request_that_may_crash_endpoints_is_not_escalated),
        cmocka_unit_test(updates_stop_without_events),
        cmocka_unit_test(one_request_crashes_few_endpoints_at_any_size),
        cmocka_unit_test(
            part_that_crashes_endpoints_is_quarantined_in_unlike_requests),
        cmocka_unit_test(parts_that_were_in_the_crashes_are_sent_apart),
        cmocka_unit_test(part_beside_two_that_crash_is_sent_apart),
        cmocka_unit_test(crashing_part_is_told_from_its_companion),
        cmocka_unit_test(part_answered_lately_is_not_quarantined),
        cmocka_unit_test(
            part_answered_earlier_is_not_quarantined_by_five_crashes),
        cmocka_unit_test(part_answered_earlier_is_probed_each_second),
        cmocka_unit_test(
            crash_during_a_long_answer_does_not_count_against_parts),
        cmocka_unit_test(part_is_quarantined_for_all_workspaces),
        cmocka_unit_test(answer_that_comes_for_a_second_clears_its_parts),
        cmocka_unit_test(failure_of_an_endpoint_does_not_clear),
        cmocka_unit_test(
            answer_that_ends_with_its_connection_clears_when_its_endpoint_answers_again),
        cmocka_unit_test(
            answer_that_ended_as_its_endpoint_crashed_counts_as_a_crash),
        cmocka_unit_test(
            answer_that_ended_with_its_endpoint_counts_when_another_box_saw_the_crash),
        cmocka_unit_test(
            answer_that_ended_with_its_endpoint_counts_when_later_requests_are_lost),
        cmocka_unit_test(
            answer_that_ended_with_its_connection_is_verified_by_the_next_request),
        cmocka_unit_test(
            answer_that_ended_with_its_connection_is_confirmed_after_a_quiet_second),
        cmocka_unit_test(
            late_report_of_a_crash_does_not_count_after_a_complete_answer),
        cmocka_unit_test(one_part_crashes_few_endpoints_at_any_size),
        cmocka_unit_test(
            part_whose_answers_look_complete_crashes_few_endpoints_at_any_size),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
