/* The course of a request that is sent to endpoints directly. */
#include "direct_fake.h"

static void what_may_have_run_once_is_never_sent_again(void **state)
{
    Fake k;
    WPMove m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    wp_flow_lost(f, k.now, WP_LOSS_SILENT, &m);
    assert_int_equal(m.kind, WP_MOVE_FAIL);
    /* 502 promises nothing; 429 and 503 would say that it has not run. */
    assert_int_equal(wp_code_info(m.code)->status, 502);
    wp_flow_free(f);
    fake_end(&k);
}

static void what_never_left_goes_elsewhere(void **state)
{
    Fake k;
    WPMove m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    const WPReplica *first = m.replica;
    wp_flow_lost(f, k.now, WP_LOSS_UNSENT, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    assert_ptr_not_equal(m.replica, first);
    wp_flow_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

static void
a_refusal_goes_elsewhere_and_is_told_only_if_nothing_ran(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer no = fake_answer(503, -1);
    (void)state;
    no.not_run = true;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    wp_flow_answer(f, k.now, &no, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    wp_flow_answer(f, k.now, &no, &m);
    assert_int_equal(m.kind, WP_MOVE_FAIL);
    assert_int_equal(wp_code_info(m.code)->status, 503);
    assert_true(m.retry_ms > 0);
    wp_flow_free(f);

    /* The first leg of this one failed after it had run. */
    f = fake_ask(&k, "/safe/x", NULL, &m);
    WPDirectAnswer bad = fake_answer(500, -1);
    wp_flow_answer(f, k.now, &bad, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    wp_flow_answer(f, k.now, &no, &m);
    while (m.kind == WP_MOVE_SEND)
        wp_flow_answer(f, k.now, &no, &m);
    assert_int_equal(m.kind, WP_MOVE_FAIL);
    assert_int_equal(wp_code_info(m.code)->status, 502);
    wp_flow_free(f);
    fake_end(&k);
}

static void an_endpoints_503_without_its_mark_is_no_promise(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer a = fake_answer(503, -1);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    wp_flow_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_MOVE_FAIL);
    assert_int_equal(wp_code_info(m.code)->status, 502);
    wp_flow_free(f);
    fake_end(&k);
}

static void an_endpoints_own_failure_is_passed_on_at_the_end(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer a = fake_answer(500, -1);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
    wp_flow_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    wp_flow_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_MOVE_PASS);
    wp_flow_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

static void an_answer_without_the_endpoints_mark_is_none(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer a = fake_answer(200, -1);
    (void)state;
    a.genuine = false;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    wp_flow_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_MOVE_FAIL);
    assert_int_equal(wp_code_info(m.code)->status, 502);
    wp_flow_free(f);
    fake_end(&k);
}

static void a_leaving_endpoint_gets_nothing_more(void **state)
{
    Fake k;
    WPMove m;
    (void)state;
    fake_init(&k);
    fake_put(&k, "a1", "app", "v1", true);
    for (int i = 0; i < 50; i++) {
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        assert_string_equal(m.replica->id, "a2");
        /* Nor for a retry, though the other has failed. */
        wp_flow_lost(f, k.now, WP_LOSS_SILENT, &m);
        if (m.kind == WP_MOVE_SEND) {
            assert_string_equal(m.replica->id, "a2");
            wp_flow_left(f, k.now);
        }
        wp_flow_free(f);
    }
    /* A stale listing does not bring it back. */
    fake_put(&k, "a1", "app", "v1", false);
    assert_true(wp_fleet_find(k.d.fleet, "a1")->reported.draining.source);
    fake_end(&k);
}

/* The caller whose stream broke off comes back with a new request. */
static void a_stream_is_not_resumed_where_it_broke_off(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer good = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 20; i++) {
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        const WPReplica *first = m.replica;
        wp_flow_answer(f, k.now, &good, &m);
        wp_flow_lost(f, k.now, WP_LOSS_BROKEN, &m);
        assert_ptr_not_equal(m.replica, first);
        WPReplica *other = m.replica;
        wp_flow_left(f, k.now);
        wp_flow_free(f);
        /* Also where the other one is the fuller by far. */
        wp_fleet_set_load(other, k.now, 6, 0, 8);
        f = fake_ask(&k, "/chat/x", NULL, &m);
        assert_ptr_equal(m.replica, other);
        wp_flow_done(f, k.now, 9);
        wp_flow_free(f);
        fake_pass(&k, 5000);
    }
    fake_end(&k);
}

/* Nor is it sent back to the endpoint that failed last, when all have. */
static void the_last_to_fail_is_not_asked_next(void **state)
{
    Fake k;
    WPMove m;
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 20; i++) {
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        wp_flow_lost(f, k.now, WP_LOSS_BROKEN, &m);
        const WPReplica *second = m.replica;
        wp_flow_lost(f, k.now, WP_LOSS_BROKEN, &m);
        assert_int_equal(m.kind, WP_MOVE_SEND);
        assert_ptr_not_equal(m.replica, second);
        wp_flow_left(f, k.now);
        wp_flow_free(f);
        fake_pass(&k, 8000);
    }
    fake_end(&k);
}

/* Begins a request to a box that ends in `stay_ms`. */
static WPFlow *ask_leaving(Fake *k, const char *path, uint32_t stay_ms,
                           WPMove *m)
{
    WPDirectAsk ask = { .id = wp_str("r"),
                        .host = wp_str("h.example"),
                        .path = wp_str(path),
                        .key = wp_str("key-1"),
                        .deadline_ms = 10000,
                        .stay_ms = stay_ms };
    return wp_flow_begin(&k->d, k->now, &ask, m);
}

/* A box that stops takes what it can finish, and tells others at once that
   they have not run. */
static void a_box_that_stops_takes_what_it_can_finish(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer ok = fake_answer(200, -1);
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 10; i++) { /* plain answers take 50 ms */
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        fake_pass(&k, 50);
        wp_flow_answer(f, k.now, &ok, &m);
        wp_flow_done(f, k.now, 0);
        wp_flow_free(f);
    }
    WPFlow *f = ask_leaving(&k, "/safe/x", 1000, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    /* Its answer is the box's own, if need be, before the process ends. */
    assert_true(m.budget_ms <= 1000);
    wp_flow_done(f, k.now, 0);
    wp_flow_free(f);
    const struct {
        const char *path;
        uint32_t stay_ms;
    } refused[] = { { "/safe/x", 100 }, { "/chat/x", 4000 } };
    for (size_t i = 0; i < WP_COUNT(refused); i++) {
        f = ask_leaving(&k, refused[i].path, refused[i].stay_ms, &m);
        assert_int_equal(m.kind, WP_MOVE_FAIL);
        assert_int_equal(m.code, WP_LEAVING);
        assert_true(m.retry_ms > 0);
        wp_flow_free(f);
    }
    fake_end(&k);
}

/* A box that starts tells callers to come back soon, or later when the store,
   from which it needs the routes, does not answer. */
static void a_box_without_routes_tells_when_to_come_back(void **state)
{
    Fake k;
    WPMove m;
    uint32_t soon = 0;
    (void)state;
    fake_init(&k);
    wp_routes_unref(k.d.routes);
    k.d.routes = NULL;
    for (int away = 0; away < 2; away++) {
        k.d.start.store_unavailable = away;
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        assert_int_equal(m.code, WP_NOT_READY);
        assert_true(m.retry_ms > soon);
        soon = m.retry_ms;
        wp_flow_free(f);
    }
    fake_end(&k);
}

/* Begins a request with a prompt of that many tokens. */
static WPFlow *ask_prompt(Fake *k, uint32_t tokens, WPMove *m)
{
    WPDirectAsk ask = { .id = wp_str("r"),
                        .host = wp_str("h.example"),
                        .path = wp_str("/chat/x"),
                        .key = wp_str("key-1"),
                        .prompt = { .tokens = tokens },
                        .answer_tokens = 300,
                        .deadline_ms = 20000 };
    return wp_flow_begin(&k->d, k->now, &ask, m);
}

/* Before the largest model has been seen, its price tells how much slower it
   reads: a long prompt is not asked of it in vain. */
static void an_unseen_model_is_foretold_by_its_price(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer good = fake_answer(200, 90), poor = fake_answer(200, 45);
    (void)state;
    fake_init(&k);
    for (uint32_t i = 0; i < 40; i++) {
        uint32_t tokens = 500 + i * 300;
        WPFlow *f = ask_prompt(&k, tokens, &m);
        fake_pass(&k, 20 + tokens / 200);
        wp_flow_answer(f, k.now, &good, &m);
        wp_flow_done(f, k.now, 9);
        wp_flow_free(f);
    }
    WPFlow *f = ask_prompt(&k, 60000, &m);
    fake_pass(&k, 320);
    wp_flow_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_MOVE_PASS);
    wp_flow_done(f, k.now, 9);
    wp_flow_free(f);
    f = ask_prompt(&k, 2000, &m);
    fake_pass(&k, 30);
    wp_flow_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    wp_flow_left(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* A few first bytes that come far too late, as after all boxes have stopped, do
   not show strain for long. */
static void late_first_bytes_are_soon_forgotten(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer good = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 50; i++) {
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        fake_pass(&k, i < 10 ? 6000 : 100); /* the aim is 2 s */
        wp_flow_answer(f, k.now, &good, &m);
        wp_flow_done(f, k.now, 9);
        wp_flow_free(f);
        assert_true(k.d.lag <= 1);
    }
    assert_true(k.d.lag < 0.15);
    fake_end(&k);
}

static void another_endpoint_at_the_address_is_left_alone(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer a = fake_answer(421, -1);
    (void)state;
    a.not_run = a.wrong = true;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    WPReplica *first = m.replica;
    wp_flow_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    assert_true(first->unreachable);
    wp_flow_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

static void a_poor_answer_is_asked_again_of_the_largest(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer poor = fake_answer(200, 20), good = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    assert_true(wp_str_eq(m.model, wp_str("small")));
    wp_flow_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    assert_int_equal(m.why, WP_WHY_BETTER);
    assert_true(wp_str_eq(m.model, wp_str("large")));
    /* The largest model's answer is passed on whatever it thinks of it. */
    wp_flow_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_MOVE_PASS);
    wp_flow_done(f, k.now, 0);
    wp_flow_free(f);

    f = fake_ask(&k, "/chat/x", NULL, &m);
    wp_flow_answer(f, k.now, &good, &m);
    assert_int_equal(m.kind, WP_MOVE_PASS);
    wp_flow_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

/* The larger model's leg may be lost as well: an answer in hand is not dropped
   for it when no attempt would be left after that. */
static void the_last_answer_in_hand_is_not_dropped(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer poor = fake_answer(200, 20);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    wp_flow_lost(f, k.now, WP_LOSS_SILENT, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    wp_flow_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_MOVE_PASS);
    wp_flow_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

static void a_broken_stream_goes_on_elsewhere(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    const WPReplica *first = m.replica;
    wp_flow_answer(f, k.now, &a, &m);
    wp_flow_lost(f, k.now, WP_LOSS_BROKEN, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    assert_int_equal(m.why, WP_WHY_RESUME);
    assert_ptr_not_equal(m.replica, first);
    wp_flow_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_MOVE_PASS);
    wp_flow_lost(f, k.now, WP_LOSS_BROKEN, &m);
    if (m.kind == WP_MOVE_SEND)
        wp_flow_lost(f, k.now, WP_LOSS_BROKEN, &m);
    /* Three attempts are over: the caller's answer must not look whole. */
    assert_int_equal(m.kind, WP_MOVE_CUT);
    wp_flow_free(f);
    fake_end(&k);
}

static void time_over_is_told_for_what_it_is(void **state)
{
    Fake k;
    WPMove m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    /* The route holds it for two seconds, the caller for ten. */
    assert_int_equal(m.budget_ms, 2000);
    fake_pass(&k, 2000);
    wp_flow_expired(f, k.now, &m);
    assert_int_equal(m.kind, WP_MOVE_FAIL);
    assert_int_equal(wp_code_info(m.code)->status, 504);
    wp_flow_free(f);
    fake_end(&k);
}

static void keys_and_routes_are_checked(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAsk ask = { .id = wp_str("x"),
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

static void routes_never_go_back(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    assert_true(wp_direct_routes(&k.d, fake_routes(5)));
    assert_false(wp_direct_routes(&k.d, fake_routes(4)));
    assert_false(wp_direct_routes(&k.d, fake_routes(5)));
    assert_int_equal(k.d.routes->version, 5);
    fake_end(&k);
}

/* Whatever fails, the legs beyond the first of each request stay a share of
   the requests and a fixed number. */
static void retries_stay_within_the_budget(void **state)
{
    Fake k;
    WPMove m;
    unsigned legs = 0, requests = 400;
    (void)state;
    fake_init(&k);
    k.d.boxes = 2;
    for (unsigned i = 0; i < requests; i++) {
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        for (; m.kind == WP_MOVE_SEND; legs++)
            wp_flow_lost(f, k.now, WP_LOSS_SILENT, &m);
        wp_flow_free(f);
        fake_pass(&k, 10);
    }
    assert_true(legs > requests);
    assert_true(legs - requests <= 0.5 * requests + 20 / 2);
    fake_end(&k);
}

/* A mute endpoint does not keep what may be repeated: once it is overdue, it
   goes elsewhere; what may not be repeated waits. */
static void a_mute_endpoint_is_left_for_another(void **state)
{
    Fake k;
    WPMove m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    assert_true(m.patience_ms > 0);
    fake_pass(&k, m.patience_ms);
    assert_true(wp_flow_impatient(f, k.now, &m));
    assert_int_equal(m.kind, WP_MOVE_SEND);
    wp_flow_left(f, k.now);
    wp_flow_free(f);
    f = fake_ask(&k, "/once/x", NULL, &m);
    assert_int_equal(m.patience_ms, 0);
    wp_flow_left(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* Also where a stream goes on at another endpoint. */
static void the_longest_gap_between_events_is_noted(void **state)
{
    static const int ms[] = { 0, 40, 900, 40 };
    Fake k;
    WPMove m;
    WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    wp_flow_answer(f, k.now, &a, &m);
    for (unsigned i = 0; i < WP_COUNT(ms); i++) {
        k.now.mono_us += ms[i] * WP_US_PER_MS;
        wp_flow_progress(f, k.now, i + 1);
        wp_flow_progress(f, k.now, i + 1); /* part of an event only */
    }
    assert_int_equal(f->gap_us, 900 * WP_US_PER_MS);
    wp_flow_lost(f, k.now, WP_LOSS_BROKEN, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    k.now.mono_us += 1300 * WP_US_PER_MS;
    wp_flow_answer(f, k.now, &a, &m);
    wp_flow_progress(f, k.now, 1);
    assert_int_equal(f->gap_us, 1300 * WP_US_PER_MS);
    wp_flow_done(f, k.now, 1);
    wp_flow_free(f);
    fake_end(&k);
}

TESTS_MAIN(T(a_box_without_routes_tells_when_to_come_back),
           T(an_unseen_model_is_foretold_by_its_price),
           T(late_first_bytes_are_soon_forgotten),
           T(a_stream_is_not_resumed_where_it_broke_off),
           T(the_last_to_fail_is_not_asked_next),
           T(a_box_that_stops_takes_what_it_can_finish),
           T(what_may_have_run_once_is_never_sent_again),
           T(what_never_left_goes_elsewhere),
           T(a_refusal_goes_elsewhere_and_is_told_only_if_nothing_ran),
           T(an_endpoints_503_without_its_mark_is_no_promise),
           T(an_endpoints_own_failure_is_passed_on_at_the_end),
           T(an_answer_without_the_endpoints_mark_is_none),
           T(a_leaving_endpoint_gets_nothing_more),
           T(another_endpoint_at_the_address_is_left_alone),
           T(a_poor_answer_is_asked_again_of_the_largest),
           T(the_last_answer_in_hand_is_not_dropped),
           T(a_broken_stream_goes_on_elsewhere),
           T(time_over_is_told_for_what_it_is), T(keys_and_routes_are_checked),
           T(routes_never_go_back), T(retries_stay_within_the_budget),
           T(a_mute_endpoint_is_left_for_another),
           T(the_longest_gap_between_events_is_noted))
