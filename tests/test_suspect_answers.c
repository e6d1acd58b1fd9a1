/* Answers that end with their connections: what shows whether their endpoints
 * have crashed. */
#include "suspect_fake.h"

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

/* A request whose first endpoint is lost, and whose answer from the second one,
   `*endpoint`, ends with its connection. Returns its hash. */
static uint64_t ask_until_close(Fake *k, char **endpoint)
{
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, 90);
    WPFlow *f = fake_ask(k, "/safe/x", NULL, &m);
    uint64_t request = f->hash;
    wp_flow_on_lost(f, k->now, WP_LOSS_NO_ANSWER, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    *endpoint = g_strdup(m.replica->id);
    a.until_close = true;
    wp_flow_on_answer(f, k->now, &a, &m);
    wp_flow_on_done(f, k->now, 0);
    wp_flow_free(f);
    return request;
}

/* Such an answer also looks complete if its endpoint has crashed. */
static void
answer_that_ends_with_its_connection_clears_when_its_endpoint_answers_again(
    void **state)
{
    Fake k;
    WPFlowAction m;
    WPHeadChanges changes;
    const WPDirectAnswer a = fake_answer(200, 90);
    g_autofree char *endpoint = NULL;
    bool same = false;
    (void)state;
    fake_init(&k);
    uint64_t request = ask_until_close(&k, &endpoint);
    assert_int_equal(wp_suspects_crash_count(k.d.suspects, request), 1);
    for (unsigned i = 0; i < 50 && !same; i++) {
        fake_advance(&k, 10);
        WPFlow *f = ask_other(&k, &m);
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

static void add_endpoints(Fake *k, unsigned n)
{
    for (unsigned i = 0; i < n; i++) {
        g_autofree char *id = g_strdup_printf("more%u", i);
        fake_put(k, id, "app", "v1", false);
    }
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
        const WPDirectAnswer a = fake_answer(200, 90);
        g_autofree char *endpoint = NULL;
        fake_init(&k);
        add_endpoints(&k, TIMES);
        uint64_t request = ask_until_close(&k, &endpoint);
        fake_advance(&k, 10);
        WPFlow *f = ask_other(&k, &m);
        assert_string_equal(m.replica->id, endpoint);
        wp_flow_on_head(f, k.now, &a, &changes);
        assert_int_equal(wp_suspects_crash_count(k.d.suspects, request), 0);
        wp_flow_on_caller_gone(f, k.now);
        wp_flow_free(f);
        fake_end(&k);
    }
}

static void
answer_that_ended_with_its_connection_counts_when_its_endpoint_is_unreachable(
    void **state)
{
    Fake k;
    WPFlowAction m;
    g_autofree char *endpoint = NULL;
    (void)state;
    fake_init(&k);
    uint64_t request = ask_until_close(&k, &endpoint);
    WPFlow *f = ask_other(&k, &m);
    assert_string_equal(m.replica->id, endpoint);
    wp_flow_on_lost(f, k.now, WP_LOSS_UNSENT, &m);
    assert_int_equal(wp_suspects_crash_count(k.d.suspects, request), 2);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

static void
unreachable_endpoint_counts_against_all_of_its_last_answers(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    const WPSuspectKeys first = KEYS(1, "a"), second = KEYS(2, "b");
    (void)state;
    WPSuspectAttempt run = { .incarnation = 1, .sent_us = us_at(0) };
    wp_suspects_ended_with_connection(s, at_ms(100), &run, first.keys, first.n);
    wp_suspects_ended_with_connection(s, at_ms(110), &run, second.keys,
                                      second.n);
    wp_suspects_endpoint_unreachable(s, at_ms(500), 1);
    assert_int_equal(wp_suspects_crash_count(s, first.keys[1]), 1);
    assert_int_equal(wp_suspects_crash_count(s, second.keys[1]), 1);
    wp_suspects_free(s);
}

static void one_request_at_a_time_verifies_an_answer(void **state)
{
    enum { ENDPOINTS = 20, REQUESTS = 8 };
    Fake k;
    WPFlowAction m;
    WPFlow *flows[REQUESTS];
    g_autofree char *endpoint = NULL;
    unsigned there = 0;
    (void)state;
    fake_init(&k);
    add_endpoints(&k, ENDPOINTS);
    ask_until_close(&k, &endpoint);
    for (unsigned i = 0; i < REQUESTS; i++) {
        flows[i] = ask_other(&k, &m);
        there += !strcmp(m.replica->id, endpoint);
    }
    assert_in_range(there, 1, REQUESTS / 2);
    for (unsigned i = 0; i < REQUESTS; i++) {
        wp_flow_on_caller_gone(flows[i], k.now);
        wp_flow_free(flows[i]);
    }
    fake_end(&k);
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

TESTS_MAIN(
    T(answer_that_ends_with_its_connection_clears_when_its_endpoint_answers_again),
    T(answer_that_ended_as_its_endpoint_crashed_counts_as_a_crash),
    T(answer_that_ended_with_its_endpoint_counts_when_another_box_saw_the_crash),
    T(answer_that_ended_with_its_endpoint_counts_when_later_requests_are_lost),
    T(answer_that_ended_with_its_connection_is_verified_by_the_next_request),
    T(answer_that_ended_with_its_connection_counts_when_its_endpoint_is_unreachable),
    T(unreachable_endpoint_counts_against_all_of_its_last_answers),
    T(one_request_at_a_time_verifies_an_answer),
    T(answer_that_ended_with_its_connection_is_confirmed_after_a_quiet_second),
    T(late_report_of_a_crash_does_not_count_after_a_complete_answer))
