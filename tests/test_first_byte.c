/* Time-outs of first bytes, alone and in the course of a request to a contended
 * service. */
#include "direct_fake.h"
#include "wp_first_byte.h"

enum { TARGET_MS = 2000 };

static uint32_t timeout_ms(double expected_ms, double target_left_ms)
{
    const WPFirstByteWait w = { .expected_ms = expected_ms,
                                .target_left_ms = target_left_ms,
                                .min_ms = 600 };
    return wp_first_byte_timeout_ms(&w);
}

/* Whatever is expected, twice that or half of the time is left for the other
   endpoint. */
static void time_is_left_for_another_endpoint(void **state)
{
    (void)state;
    assert_int_equal(timeout_ms(0, TARGET_MS), TARGET_MS / 2);
    assert_int_equal(timeout_ms(400, TARGET_MS), TARGET_MS - 800);
    assert_int_equal(timeout_ms(50, TARGET_MS), 600);
    assert_int_equal(timeout_ms(500, 10 * TARGET_MS), 2500);
}

static void no_timeout_where_another_endpoint_would_be_late(void **state)
{
    (void)state;
    assert_int_equal(timeout_ms(800, TARGET_MS), 0);
    assert_int_equal(timeout_ms(0, 400), 0);
    assert_int_equal(timeout_ms(100, -500), 0);
}

static void fake_init_contended(Fake *k)
{
    fake_init(k);
    k->d.rules.contention = WP_CONTENTION_ON;
    fake_put(k, "l3", "llm", "v1", false);
    for (int i = 0; i < 100; i++) { /* fills the retry budget */
        WPFlowAction m;
        fake_serve(k, "/chat/x", &m);
    }
}

/* Nothing is expected of any endpoint, as after a start, and two of three hang:
   the caller has its answer within the target. */
static void two_hanging_endpoints_leave_time_for_a_third(void **state)
{
    Fake k;
    WPFlowAction m;
    const WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    k.d.rules.contention = WP_CONTENTION_ON;
    fake_put(&k, "l3", "llm", "v1", false);
    wp_direct_note_first_start(&k.d);
    fake_advance(&k, 10000);
    for (int i = 0; i < 10; i++)
        fake_serve(&k, "/safe/x", &m);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    int64_t start_us = k.now.mono_us;
    for (int i = 0; i < 2; i++) {
        assert_int_equal(m.kind, WP_FLOW_SEND);
        assert_true(m.first_byte_timeout_ms > 0);
        fake_advance(&k, m.first_byte_timeout_ms);
        assert_true(wp_flow_on_first_byte_timeout(f, k.now, &m));
    }
    assert_int_equal(m.kind, WP_FLOW_SEND);
    assert_true(k.now.mono_us - start_us <
                (TARGET_MS - 200) * (int64_t)WP_US_PER_MS);
    wp_flow_on_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_FLOW_FORWARD);
    wp_flow_on_done(f, k.now, 5);
    wp_flow_free(f);
    fake_end(&k);
}

/* With the default settings the time-out is the whole target, and only one. */
static void services_that_are_not_contended_wait_as_before(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    assert_int_equal(m.first_byte_timeout_ms, TARGET_MS);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

static void requests_that_must_run_once_are_not_sent_again(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init_contended(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    assert_int_equal(m.first_byte_timeout_ms, 0);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* With "auto" a service is contended once an endpoint reports how long work
   takes there. */
static void reported_slowdown_marks_a_service_as_contended(void **state)
{
    Fake k;
    WPFlowAction m;
    WPHeadChanges changes;
    WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    k.d.rules.contention = WP_CONTENTION_AUTO;
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    wp_flow_on_head(f, k.now, &a, &changes);
    assert_false(wp_direct_is_contended(&k.d, "llm"));
    a.load.slowdown = 170;
    wp_flow_on_head(f, k.now, &a, &changes);
    assert_true(changes.contended);
    assert_true(wp_direct_is_contended(&k.d, "llm"));
    assert_false(wp_direct_is_contended(&k.d, "app"));
    wp_flow_on_head(f, k.now, &a, &changes);
    assert_false(changes.contended);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

TESTS_MAIN(T(time_is_left_for_another_endpoint),
           T(no_timeout_where_another_endpoint_would_be_late),
           T(two_hanging_endpoints_leave_time_for_a_third),
           T(services_that_are_not_contended_wait_as_before),
           T(requests_that_must_run_once_are_not_sent_again),
           T(reported_slowdown_marks_a_service_as_contended))
