/* How a request that a box sends to endpoints directly proceeds: attempts,
 * retries, refusals and time limits. */
#include "direct_fake.h"

static void
non_repeatable_request_is_not_retried_if_it_may_have_run(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    /* 502 leaves open whether the request has run; 429 and 503 would say that
       it has not. */
    assert_int_equal(wp_code_info(m.code)->status, 502);
    wp_flow_free(f);
    fake_end(&k);
}

static void unsent_request_is_retried_elsewhere(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    const WPReplica *first = m.replica;
    wp_flow_on_lost(f, k.now, WP_LOSS_UNSENT, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    assert_ptr_not_equal(m.replica, first);
    wp_flow_on_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

static void refusal_is_retried_and_reported_only_if_nothing_ran(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer no = fake_answer(503, -1);
    (void)state;
    no.not_run = true;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    wp_flow_on_answer(f, k.now, &no, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_answer(f, k.now, &no, &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    assert_int_equal(wp_code_info(m.code)->status, 503);
    assert_true(m.retry_ms > 0);
    wp_flow_free(f);

    /* The first attempt of this request failed after it had run. */
    f = fake_ask(&k, "/safe/x", NULL, &m);
    WPDirectAnswer bad = fake_answer(500, -1);
    wp_flow_on_answer(f, k.now, &bad, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_answer(f, k.now, &no, &m);
    while (m.kind == WP_FLOW_SEND)
        wp_flow_on_answer(f, k.now, &no, &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    assert_int_equal(wp_code_info(m.code)->status, 502);
    wp_flow_free(f);
    fake_end(&k);
}

static void a_503_not_marked_as_not_run_may_have_run(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(503, -1);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    wp_flow_on_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    assert_int_equal(wp_code_info(m.code)->status, 502);
    wp_flow_free(f);
    fake_end(&k);
}

/* Guards against a 408 or 429 that promises a caller that its request has not
   run, although the endpoint has not said so. */
static void unmarked_refusal_promises_that_nothing_ran(void **state)
{
    static const int statuses[] = { 408, 429 };
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    for (size_t i = 0; i < WP_COUNT(statuses); i++) {
        WPDirectAnswer a = fake_answer(statuses[i], -1);
        WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
        wp_flow_on_answer(f, k.now, &a, &m);
        assert_int_equal(m.kind, WP_FLOW_FAIL);
        assert_int_equal(wp_code_info(m.code)->status, 502);
        wp_flow_free(f);
        /* Where it may be repeated, the answer is the endpoint's. */
        f = fake_ask(&k, "/safe/x", NULL, &m);
        wp_flow_on_answer(f, k.now, &a, &m);
        assert_int_equal(m.kind, WP_FLOW_FORWARD);
        wp_flow_on_done(f, k.now, 0);
        wp_flow_free(f);
    }
    fake_end(&k);
}

static void last_failure_of_an_endpoint_is_forwarded(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(500, -1);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
    wp_flow_on_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_FLOW_FORWARD);
    wp_flow_on_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

static void answer_without_seal_is_rejected(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, -1);
    (void)state;
    a.has_seal = false;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    wp_flow_on_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    assert_int_equal(wp_code_info(m.code)->status, 502);
    wp_flow_free(f);
    fake_end(&k);
}

/* Guards against requests that are kept out as ones that crash endpoints, as
   their answers had a spoiled seal. */
static void answer_without_seal_counts_as_a_crash(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, -1);
    (void)state;
    a.has_seal = false;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
    wp_flow_on_answer(f, k.now, &a, &m);
    assert_non_null(f->answer_fault);
    assert_int_equal(k.d.counters.value[WP_C_ENDED_UNDER], 0);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* Guards against a refusal that counts as an invalid answer, as the one before
   it was. */
static void refusal_after_an_invalid_answer_counts_as_another(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer head = fake_answer(200, 90), refusal = fake_answer(503, -1);
    (void)state;
    head.is_event_stream = true;
    refusal.not_run = true;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    wp_flow_on_answer(f, k.now, &head, &m);
    wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
    head.is_event_stream = false;
    wp_flow_on_answer(f, k.now, &head, &m);
    assert_non_null(f->answer_fault);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_answer(f, k.now, &refusal, &m);
    assert_null(f->answer_fault);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

static void draining_endpoint_gets_no_requests(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    fake_put(&k, "a1", "app", "v1", true);
    for (int i = 0; i < 50; i++) {
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        assert_string_equal(m.replica->id, "a2");
        /* Not for a retry either, although the other endpoint has failed. */
        wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
        if (m.kind == WP_FLOW_SEND) {
            assert_string_equal(m.replica->id, "a2");
            wp_flow_on_caller_gone(f, k.now);
        }
        wp_flow_free(f);
    }
    /* A stale registry entry does not end the draining. */
    fake_put(&k, "a1", "app", "v1", false);
    assert_true(wp_fleet_find(k.d.fleet, "a1")->reported.draining.source);
    fake_end(&k);
}

/* A caller whose stream broke off sends a new request, which must not go to the
   endpoint where the stream broke off. */
static void stream_is_not_resumed_where_it_broke_off(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer good = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 20; i++) {
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        const WPReplica *first = m.replica;
        wp_flow_on_answer(f, k.now, &good, &m);
        wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
        assert_ptr_not_equal(m.replica, first);
        WPReplica *other = m.replica;
        wp_flow_on_caller_gone(f, k.now);
        wp_flow_free(f);
        /* Even if the other endpoint is much busier. */
        wp_fleet_set_load(other, k.now, 6, 0, 8);
        f = fake_ask(&k, "/chat/x", NULL, &m);
        assert_ptr_equal(m.replica, other);
        wp_flow_on_done(f, k.now, 9);
        wp_flow_free(f);
        fake_advance(&k, 5000);
    }
    fake_end(&k);
}

/* When all endpoints have failed a request, it is not sent again to the one
   that failed last. */
static void retry_avoids_the_last_failed_endpoint(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 20; i++) {
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
        const WPReplica *second = m.replica;
        wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
        assert_int_equal(m.kind, WP_FLOW_SEND);
        assert_ptr_not_equal(m.replica, second);
        wp_flow_on_caller_gone(f, k.now);
        wp_flow_free(f);
        fake_advance(&k, 8000);
    }
    fake_end(&k);
}

/* Begins a request at a box that stops in `stay_ms`. */
static WPFlow *begin_at_stopping_box(Fake *k, const char *path,
                                     uint32_t stay_ms, WPFlowAction *m)
{
    WPDirectRequest ask = { .id = wp_str("r"),
                            .host = wp_str("h.example"),
                            .path = wp_str(path),
                            .key = wp_str("key-1"),
                            .deadline_ms = 10000,
                            .box_stops_in_ms = stay_ms };
    return wp_flow_begin(&k->d, k->now, &ask, m);
}

/* A box that stops accepts what it can finish, and refuses other requests at
   once as not run. */
static void stopping_box_accepts_what_it_can_finish(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer ok = fake_answer(200, -1);
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 10; i++) { /* non-streaming answers take 50 ms */
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        fake_advance(&k, 50);
        wp_flow_on_answer(f, k.now, &ok, &m);
        wp_flow_on_done(f, k.now, 0);
        wp_flow_free(f);
    }
    WPFlow *f = begin_at_stopping_box(&k, "/safe/x", 1000, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    /* If the endpoint does not answer, the box itself answers before its
       process ends. */
    assert_true(m.budget_ms <= 1000);
    wp_flow_on_done(f, k.now, 0);
    wp_flow_free(f);
    const struct {
        const char *path;
        uint32_t stay_ms;
    } refused[] = { { "/safe/x", 100 }, { "/chat/x", 4000 } };
    for (size_t i = 0; i < WP_COUNT(refused); i++) {
        f = begin_at_stopping_box(&k, refused[i].path, refused[i].stay_ms, &m);
        assert_int_equal(m.kind, WP_FLOW_FAIL);
        assert_int_equal(m.code, WP_LEAVING);
        assert_true(m.retry_ms > 0);
        wp_flow_free(f);
    }
    fake_end(&k);
}

/* A starting box without routes tells callers to retry soon, or later when the
   store, from which it reads the routes, does not answer. */
static void box_without_routes_tells_when_to_retry(void **state)
{
    Fake k;
    WPFlowAction m;
    uint32_t last_ms = 0;
    (void)state;
    fake_init(&k);
    wp_routes_unref(k.d.routes);
    k.d.routes = NULL;
    for (int unavailable = 0; unavailable < 2; unavailable++) {
        k.d.startup.store_unavailable = unavailable;
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        assert_int_equal(m.code, WP_NOT_READY);
        assert_true(m.retry_ms > last_ms);
        last_ms = m.retry_ms;
        wp_flow_free(f);
    }
    fake_end(&k);
}

/* Begins a request with a prompt of that many tokens. */
static WPFlow *begin_with_prompt(Fake *k, uint32_t tokens, WPFlowAction *m)
{
    WPDirectRequest ask = { .id = wp_str("r"),
                            .host = wp_str("h.example"),
                            .path = wp_str("/chat/x"),
                            .key = wp_str("key-1"),
                            .prompt = { .tokens = tokens },
                            .answer_tokens = 300,
                            .deadline_ms = 20000 };
    return wp_flow_begin(&k->d, k->now, &ask, m);
}

/* Until the largest model has answered, its prefill time is predicted from its
   price: a long prompt is not sent to it in vain. */
static void unseen_model_is_predicted_by_its_price(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer good = fake_answer(200, 90), poor = fake_answer(200, 45);
    (void)state;
    fake_init(&k);
    for (uint32_t i = 0; i < 40; i++) {
        uint32_t tokens = 500 + i * 300;
        WPFlow *f = begin_with_prompt(&k, tokens, &m);
        fake_advance(&k, 20 + tokens / 200);
        wp_flow_on_answer(f, k.now, &good, &m);
        wp_flow_on_done(f, k.now, 9);
        wp_flow_free(f);
    }
    WPFlow *f = begin_with_prompt(&k, 60000, &m);
    fake_advance(&k, 320);
    wp_flow_on_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_FLOW_FORWARD);
    wp_flow_on_done(f, k.now, 9);
    wp_flow_free(f);
    f = begin_with_prompt(&k, 2000, &m);
    fake_advance(&k, 30);
    wp_flow_on_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* A few first bytes that come far too late, as after all boxes were stopped for
   a while, do not indicate overload for long. */
static void late_first_bytes_decay_quickly(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer good = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 50; i++) {
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        fake_advance(&k, i < 10 ? 6000 : 100); /* the target is 2 s */
        wp_flow_on_answer(f, k.now, &good, &m);
        wp_flow_on_done(f, k.now, 9);
        wp_flow_free(f);
        assert_true(k.d.target_ratio <= 1);
    }
    assert_true(k.d.target_ratio < 0.15);
    fake_end(&k);
}

static void another_endpoint_at_the_address_is_not_used(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(421, -1);
    (void)state;
    a.not_run = a.wrong_endpoint = true;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    WPReplica *first = m.replica;
    wp_flow_on_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    assert_true(wp_fleet_is_misdirected(first, wp_hash(wp_str(""), 0)));
    fake_put(&k, "a1", "app", "v1", false);
    fake_put(&k, "a2", "app", "v1", false);
    assert_false(wp_fleet_is_misdirected(first, wp_hash(wp_str(""), 0)));
    wp_flow_on_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

/* A request on a route without models of its own, which names `model`. */
static WPFlow *ask_model(Fake *k, const char *model, WPFlowAction *m)
{
    WPDirectRequest ask = { .id = wp_str("r"),
                            .host = wp_str("h.example"),
                            .path = wp_str("/free/x"),
                            .key = wp_str("key-1"),
                            .model = wp_str(model),
                            .deadline_ms = 10000 };
    return wp_flow_begin(&k->d, k->now, &ask, m);
}

/* Guards against a caller's wrong model name that shut endpoints out for all
   callers, and that took the retries which others need. */
static void wrong_model_name_shuts_out_other_callers(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer no = fake_answer(421, -1), good = fake_answer(200, -1);
    WPRoutes *t = fake_routes(2);
    WPRoute *free_route = wp_routes_add(t, "free", "h.example", "/free/");
    (void)state;
    no.not_run = no.wrong_endpoint = true;
    free_route->retry_policy = WP_RETRY_STREAM;
    free_route->resumable = true;
    free_route->max_attempts = 3;
    wp_route_add_target(t, free_route, "llm", 1);
    fake_init(&k);
    wp_direct_set_routes(&k.d, t);
    for (int i = 0; i < 2; i++) {
        WPFlow *f = ask_model(&k, "m9", &m);
        assert_int_equal(m.kind, WP_FLOW_SEND);
        wp_flow_on_answer(f, k.now, &no, &m);
        assert_int_equal(m.kind, WP_FLOW_FAIL);
        assert_int_equal(m.code, WP_NO_MODEL);
        wp_flow_free(f);
    }
    /* Both endpoints have said so: the next one is refused at once. */
    WPFlow *f = ask_model(&k, "m9", &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    wp_flow_free(f);
    assert_int_equal(k.d.counters.value[WP_C_RETRIES], 0);
    for (int i = 0; i < 4; i++) {
        f = i % 2 ? ask_model(&k, "small", &m)
                  : fake_ask(&k, "/chat/x", NULL, &m);
        assert_int_equal(m.kind, WP_FLOW_SEND);
        wp_flow_on_answer(f, k.now, &good, &m);
        wp_flow_on_done(f, k.now, 0);
        wp_flow_free(f);
    }
    /* A model that the service lists may be elsewhere. */
    f = ask_model(&k, "large", &m);
    wp_flow_on_answer(f, k.now, &no, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_put(&k, "l1", "llm", "v1", false);
    f = ask_model(&k, "m9", &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    assert_string_equal(m.replica->id, "l1");
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

static void poor_answer_escalates_to_the_largest_model(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer poor = fake_answer(200, 20), good = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    assert_true(wp_str_eq(m.model, wp_str("small")));
    wp_flow_on_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    assert_int_equal(m.reason, WP_ATTEMPT_ESCALATE);
    assert_true(wp_str_eq(m.model, wp_str("large")));
    /* The largest model's answer is forwarded whatever its confidence. */
    wp_flow_on_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_FLOW_FORWARD);
    wp_flow_on_done(f, k.now, 0);
    wp_flow_free(f);

    f = fake_ask(&k, "/chat/x", NULL, &m);
    wp_flow_on_answer(f, k.now, &good, &m);
    assert_int_equal(m.kind, WP_FLOW_FORWARD);
    wp_flow_on_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

/* The attempt with the larger model may fail as well: an answer in hand is not
   dropped for it when no attempt would be left after that. */
static void answer_in_hand_is_kept_before_the_last_attempt(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer poor = fake_answer(200, 20);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_FLOW_FORWARD);
    wp_flow_on_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

static void broken_stream_is_resumed_elsewhere(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    const WPReplica *first = m.replica;
    wp_flow_on_answer(f, k.now, &a, &m);
    wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    assert_int_equal(m.reason, WP_ATTEMPT_RESUME);
    assert_ptr_not_equal(m.replica, first);
    wp_flow_on_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_FLOW_FORWARD);
    wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
    if (m.kind == WP_FLOW_SEND)
        wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
    /* All three attempts are used: the caller's answer is aborted, as it must
       not look complete. */
    assert_int_equal(m.kind, WP_FLOW_ABORT);
    wp_flow_free(f);
    fake_end(&k);
}

/* Guards against a stream that begins again in the middle: one whose place is
   not known is broken off. */
static void stream_without_a_place_is_resumed(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    wp_flow_on_answer(f, k.now, &a, &m);
    wp_flow_lose_place(f);
    wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
    assert_int_equal(m.kind, WP_FLOW_ABORT);
    wp_flow_free(f);
    fake_end(&k);
}

/* Guards against the head of an answer, or a body that is no stream, in the
   middle of the caller's stream: the endpoint that resumes it answers with
   another status or another kind of body. */
static void another_answer_inside_a_resumed_stream(void **state)
{
    static const int statuses[] = {
        201, 204, 206, 302, 304, 400, 404, 500, 503
    };
    Fake k;
    WPFlowAction m;
    WPDirectAnswer head = fake_answer(200, 90);
    (void)state;
    head.is_event_stream = true;
    fake_init(&k);
    for (size_t i = 0; i < WP_COUNT(statuses) + 3; i++) {
        bool is_status = i < WP_COUNT(statuses);
        WPDirectAnswer other = head;
        if (is_status)
            other.status = statuses[i];
        other.is_event_stream = i != WP_COUNT(statuses);
        other.has_length = i == WP_COUNT(statuses) + 1;
        other.has_seal = i != WP_COUNT(statuses) + 2;
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        wp_flow_on_answer(f, k.now, &head, &m);
        wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
        assert_int_equal(m.reason, WP_ATTEMPT_RESUME);
        wp_flow_on_answer(f, k.now, &other, &m);
        assert_int_equal(m.kind, WP_FLOW_SEND);
        wp_flow_on_answer(f, k.now, &other, &m);
        assert_int_equal(m.kind, WP_FLOW_ABORT);
        wp_flow_free(f);
        fake_advance(&k, 20000);
    }
    fake_end(&k);
}

static void route_time_limit_gives_504(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    /* The route's time limit is two seconds, the caller's ten. */
    assert_int_equal(m.budget_ms, 2000);
    fake_advance(&k, 2000);
    wp_flow_on_deadline(f, k.now, &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    assert_int_equal(wp_code_info(m.code)->status, 504);
    wp_flow_free(f);
    fake_end(&k);
}

static void keys_and_routes_are_checked(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectRequest ask = { .id = wp_str("x"),
                            .host = wp_str("H.Example"),
                            .path = wp_str("/chat/deep/er"),
                            .key = wp_str("key-2") };
    (void)state;
    fake_init(&k);
    WPFlow *f = wp_flow_begin(&k.d, k.now, &ask, &m);
    assert_int_equal(wp_code_info(m.code)->status, 401);
    wp_flow_free(f);
    ask.path = wp_str("/chatty");
    f = wp_flow_begin(&k.d, k.now, &ask, &m);
    assert_int_equal(wp_code_info(m.code)->status, 404);
    wp_flow_free(f);
    wp_routes_unref(k.d.routes);
    k.d.routes = NULL;
    f = wp_flow_begin(&k.d, k.now, &ask, &m);
    assert_int_equal(wp_code_info(m.code)->status, 503);
    wp_flow_free(f);
    fake_end(&k);
}

static void older_routes_are_rejected(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    assert_true(wp_direct_set_routes(&k.d, fake_routes(5)));
    assert_false(wp_direct_set_routes(&k.d, fake_routes(4)));
    assert_false(wp_direct_set_routes(&k.d, fake_routes(5)));
    assert_int_equal(k.d.routes->version, 5);
    fake_end(&k);
}

/* Whatever fails, the retries (attempts beyond the first of each request) stay
   within a share of the requests plus a fixed number. */
static void retries_stay_within_the_budget(void **state)
{
    Fake k;
    WPFlowAction m;
    unsigned attempts = 0, requests = 400;
    (void)state;
    fake_init(&k);
    k.d.boxes = 2;
    for (unsigned i = 0; i < requests; i++) {
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        for (; m.kind == WP_FLOW_SEND; attempts++)
            wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
        wp_flow_free(f);
        fake_advance(&k, 10);
    }
    assert_true(attempts > requests);
    assert_true(attempts - requests <= 0.5 * requests + 20 / 2);
    fake_end(&k);
}

/* Requests that all fail, one each `gap_ms`; returns how many retries they
   got. */
static unsigned retries_of_failing(Fake *k, unsigned requests, int64_t gap_ms)
{
    WPFlowAction m;
    unsigned retries = 0;
    for (unsigned i = 0; i < requests; i++) {
        WPFlow *f = fake_ask(k, "/safe/x", NULL, &m);
        wp_flow_on_lost(f, k->now, WP_LOSS_NO_ANSWER, &m);
        for (; m.kind == WP_FLOW_SEND; retries++)
            wp_flow_on_lost(f, k->now, WP_LOSS_NO_ANSWER, &m);
        wp_flow_free(f);
        if (gap_ms)
            fake_advance(k, gap_ms);
    }
    return retries;
}

static void requests_that_waited_for_a_frozen_box_add_no_retries(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    fake_advance(&k, 50);
    retries_of_failing(&k, 200, 50);
    fake_advance(&k, 2000);
    /* 40 requests have come in 2 s; 4 retries of the slack are added in that
       time at most. */
    assert_true(retries_of_failing(&k, 40, 0) <= 4);
    assert_true(retries_of_failing(&k, 200, 50) >= 80);
    fake_end(&k);
}

/* A request that may be repeated does not wait for an endpoint that does not
   answer: at the first-byte time-out it goes to another one. A request that may
   not be repeated waits. */
static void first_byte_timeout_tries_another_endpoint(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    assert_true(m.first_byte_timeout_ms > 0);
    fake_advance(&k, m.first_byte_timeout_ms);
    assert_true(wp_flow_on_first_byte_timeout(f, k.now, &m));
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    f = fake_ask(&k, "/once/x", NULL, &m);
    assert_int_equal(m.first_byte_timeout_ms, 0);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* The longest time between two events of a stream is recorded, also when the
   stream is resumed at another endpoint. */
static void longest_event_gap_is_recorded(void **state)
{
    static const int ms[] = { 0, 40, 900, 40 };
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    wp_flow_on_answer(f, k.now, &a, &m);
    for (unsigned i = 0; i < WP_COUNT(ms); i++) {
        k.now.mono_us += ms[i] * WP_US_PER_MS;
        wp_flow_on_events(f, k.now, i + 1);
        wp_flow_on_events(f, k.now, i + 1); /* part of an event only */
    }
    assert_int_equal(f->max_gap_us, 900 * WP_US_PER_MS);
    wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    k.now.mono_us += 1300 * WP_US_PER_MS;
    wp_flow_on_answer(f, k.now, &a, &m);
    wp_flow_on_events(f, k.now, 1);
    assert_int_equal(f->max_gap_us, 1300 * WP_US_PER_MS);
    wp_flow_on_done(f, k.now, 1);
    wp_flow_free(f);
    fake_end(&k);
}

/* Guards against a request line that does not tell why no other endpoint was
   asked. */
static void reason_against_a_retry_is_unknown(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
    assert_string_equal(f->not_retried, "not_repeatable");
    wp_flow_free(f);
    f = fake_ask(&k, "/safe/x", NULL, &m);
    wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
    assert_null(f->not_retried);
    wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
    assert_string_equal(f->not_retried, "attempts");
    wp_flow_free(f);
    bool budget_spent = false;
    for (int i = 0; i < 200 && !budget_spent; i++) {
        f = fake_ask(&k, "/safe/x", NULL, &m);
        if (m.kind == WP_FLOW_SEND)
            wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
        budget_spent = !g_strcmp0(f->not_retried, "budget");
        wp_flow_on_caller_gone(f, k.now);
        wp_flow_free(f);
    }
    assert_true(budget_spent);
    fake_end(&k);
}

/* Begins requests until all slots of both endpoints are taken and one was
   refused as full. Returns that flow. */
static WPFlow *fill_endpoints(Fake *k, WPFlow **flows, size_t n,
                              WPFlowAction *m)
{
    for (size_t i = 0; i < n; i++) {
        flows[i] = fake_ask(k, "/safe/x", NULL, m);
        assert_int_equal(m->kind, WP_FLOW_SEND);
    }
    return fake_ask(k, "/safe/x", NULL, m);
}

/* A refusal would spend the retry budget a moment before a slot is free. */
static void request_waits_for_a_slot_of_a_full_endpoint(void **state)
{
    const WPDirectAnswer full = { .status = 503, .not_run = true };
    enum { SLOTS = 16 };
    Fake k;
    WPFlow *flows[SLOTS];
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 100; i++) {
        WPDirectAnswer a = fake_answer(200, -1);
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        fake_advance(&k, 8 + i % 3);
        wp_flow_on_answer(f, k.now, &a, &m);
        wp_flow_on_done(f, k.now, 0);
        wp_flow_free(f);
    }
    WPFlow *f = fill_endpoints(&k, flows, SLOTS, &m);
    /* Nothing is known of refusals yet: the endpoint may queue it. */
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_answer(f, k.now, &full, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_answer(f, k.now, &full, &m);
    assert_int_equal(m.kind, WP_FLOW_WAIT);
    assert_in_range(m.retry_ms, 1, 10);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    f = fake_ask(&k, "/safe/x", NULL, &m);
    assert_int_equal(m.kind, WP_FLOW_WAIT);
    fake_advance(&k, m.retry_ms);
    wp_flow_on_caller_gone(flows[0], k.now);
    wp_flow_on_wait_end(f, k.now, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    wp_flow_on_answer(f, k.now, &full, &m);
    assert_int_not_equal(m.kind, WP_FLOW_WAIT); /* once */
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    for (size_t i = 0; i < SLOTS; i++) {
        if (i)
            wp_flow_on_caller_gone(flows[i], k.now);
        wp_flow_free(flows[i]);
    }
    fake_end(&k);
}

TESTS_MAIN(T(request_waits_for_a_slot_of_a_full_endpoint),
           T(box_without_routes_tells_when_to_retry),
           T(unseen_model_is_predicted_by_its_price),
           T(late_first_bytes_decay_quickly),
           T(stream_is_not_resumed_where_it_broke_off),
           T(retry_avoids_the_last_failed_endpoint),
           T(stopping_box_accepts_what_it_can_finish),
           T(non_repeatable_request_is_not_retried_if_it_may_have_run),
           T(unsent_request_is_retried_elsewhere),
           T(refusal_is_retried_and_reported_only_if_nothing_ran),
           T(a_503_not_marked_as_not_run_may_have_run),
           T(unmarked_refusal_promises_that_nothing_ran),
           T(last_failure_of_an_endpoint_is_forwarded),
           T(answer_without_seal_is_rejected),
           T(answer_without_seal_counts_as_a_crash),
           T(refusal_after_an_invalid_answer_counts_as_another),
           T(draining_endpoint_gets_no_requests),
           T(another_endpoint_at_the_address_is_not_used),
           T(wrong_model_name_shuts_out_other_callers),
           T(poor_answer_escalates_to_the_largest_model),
           T(answer_in_hand_is_kept_before_the_last_attempt),
           T(broken_stream_is_resumed_elsewhere),
           T(another_answer_inside_a_resumed_stream),
           T(stream_without_a_place_is_resumed), T(route_time_limit_gives_504),
           T(keys_and_routes_are_checked), T(older_routes_are_rejected),
           T(retries_stay_within_the_budget),
           T(requests_that_waited_for_a_frozen_box_add_no_retries),
           T(first_byte_timeout_tries_another_endpoint),
           T(longest_event_gap_is_recorded),
           T(reason_against_a_retry_is_unknown))
