/* Suspect requests, during which endpoints have crashed: what counts against
 * them, what clears them, and what boxes tell each other of them. */
#include "suspect_fake.h"

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

TESTS_MAIN(T(three_crashes_quarantine_a_request_but_for_one_probe),
           T(three_probes_at_most), T(complete_answer_clears),
           T(endpoint_that_answers_has_not_crashed),
           T(request_sent_after_the_crash_is_not_suspect),
           T(updates_between_boxes_converge),
           T(crashes_after_long_runs_count_half),
           T(unfinished_probe_is_not_the_last),
           T(records_with_fewest_crashes_are_evicted),
           T(request_that_may_crash_endpoints_is_not_escalated))
