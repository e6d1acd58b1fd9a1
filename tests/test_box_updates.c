/* Updates on endpoints that the boxes of a zone send each other. */
#include "direct_fake.h"
#include "wp_box_updates.h"
#include "wp_direct_int.h"
#include "wp_pb.h"

#include <math.h>

static const WPPrompt prompt = { .tokens = 10000 };

static WPEndpointQuery engine_query(void)
{
    return (
        WPEndpointQuery){ .service = "llm", .zone = "z1", .prompt = &prompt };
}

/* Sends the pending updates of `from` to `to`, which merges them; returns
   the number of invalid records. */
static unsigned deliver(WPBoxUpdates *from, Fake *to)
{
    Wp__BoxNews m;
    wp_box_updates_fill(from, 1, &m);
    unsigned bad = wp_box_updates_merge(to->d.fleet, to->now, &m);
    wp_box_updates_reset(from);
    return bad;
}

static double queued_prefill_ms(Fake *k, const char *id)
{
    const WPReplica *s = wp_fleet_find(k->d.fleet, id);
    return wp_fleet_queued_prefill_us(s, k->now) / WP_US_PER_MS;
}

static double load(Fake *k, const char *id)
{
    return wp_fleet_load_of(wp_fleet_find(k->d.fleet, id), k->now);
}

/* Two boxes send to the same engines. The prefill of a request that one box
   has sent counts at the other too until the first byte arrives, and a load
   that the engine reported to one box is used by both. */
static void sent_requests_count_at_the_other_box(void **state)
{
    Fake x, y;
    WPBoxUpdates updates;
    const WPEndpointQuery w = engine_query();
    (void)state;
    fake_init(&x);
    fake_init(&y);
    wp_box_updates_init(&updates);
    wp_fleet_set_updates(x.d.fleet, &updates);
    WPReplica *s = wp_fleet_find(x.d.fleet, "l1");
    wp_fleet_record_load(x.d.fleet, s, x.now, 3, 1, 8);
    wp_fleet_request_sent(x.d.fleet, s, x.now, &w, 400 * WP_US_PER_MS);
    wp_fleet_request_sent(x.d.fleet, s, x.now, &w, 500 * WP_US_PER_MS);
    assert_int_equal(deliver(&updates, &y), 0);
    assert_false(wp_box_updates_pending(&updates));
    assert_float_equal(queued_prefill_ms(&y, "l1"), 900, 1);
    assert_float_equal(queued_prefill_ms(&y, "l2"), 0, 1);
    assert_float_equal(load(&y, "l1"), 4, 0.01);
    wp_fleet_first_byte(x.d.fleet, s, x.now, 400 * WP_US_PER_MS, 1, 0);
    deliver(&updates, &y);
    assert_float_equal(queued_prefill_ms(&y, "l1"), 500, 1);
    for (int i = 0; i < 2; i++)
        wp_fleet_request_ended(s, x.now, WP_OUTCOME_ABANDONED);
    wp_box_updates_destroy(&updates);
    wp_fleet_set_updates(x.d.fleet, NULL);
    fake_end(&x);
    fake_end(&y);
}

/* The update that a prefill is done may be lost, so the queued prefill
   decreases with time by itself. */
static void queued_prefill_expires(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPReplica *s = wp_fleet_find(k.d.fleet, "l1");
    wp_fleet_merge_sent(s, k.now, 400 * WP_US_PER_MS);
    fake_advance(&k, 800);
    assert_float_equal(queued_prefill_ms(&k, "l1"), 200, 1);
    wp_fleet_merge_first_byte(s, k.now, 900 * WP_US_PER_MS);
    assert_float_equal(queued_prefill_ms(&k, "l1"), 0, 1);
    fake_advance(&k, 3000);
    assert_float_equal(queued_prefill_ms(&k, "l1"), 0, 1);
    fake_end(&k);
}

/* A load that the endpoint has just reported to this box is newer than one
   received from another box, and stays. */
static void an_older_load_report_is_ignored(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPReplica *s = wp_fleet_find(k.d.fleet, "l1");
    wp_fleet_set_load(s, k.now, 2, 0, 8);
    fake_advance(&k, 20);
    wp_fleet_merge_load(s, k.now, 7, 1);
    assert_float_equal(load(&k, "l1"), 2, 0.01);
    fake_advance(&k, 200);
    wp_fleet_merge_load(s, k.now, 7, 1);
    assert_float_equal(load(&k, "l1"), 8, 0.01);
    fake_end(&k);
}

static void invalid_records_are_ignored(void **state)
{
    uint64_t at[3] = { wp_hash(wp_str("l1"), 0), wp_hash(wp_str("l2"), 0), 77 };
    uint32_t ms[3] = { 90000, 100, 100 }, running[2] = { 200000, 3 };
    uint32_t waiting[1] = { 0 };
    Fake k;
    Wp__BoxNews m = WP__BOX_NEWS__INIT;
    (void)state;
    fake_init(&k);
    m.sent_to = at;
    m.sent_ms = ms;
    m.n_sent_to = m.n_sent_ms = 3;
    m.load_of = at;
    m.n_load_of = 2;
    m.load_running = running;
    m.n_load_running = 2;
    m.load_waiting = waiting;
    m.n_load_waiting = 1;
    /* Invalid are one prefill time and one load beyond the bounds, and one
       load without its second half. An endpoint that is not known here is
       ignored and not counted. */
    assert_int_equal(wp_box_updates_merge(k.d.fleet, k.now, &m), 3);
    assert_float_equal(queued_prefill_ms(&k, "l1"), 0, 1);
    assert_float_equal(queued_prefill_ms(&k, "l2"), 100, 1);
    fake_end(&k);
}

static void pending_updates_are_bounded(void **state)
{
    WPBoxUpdates n;
    WPUpdateBatch b;
    Wp__BoxNews m;
    (void)state;
    wp_box_updates_init(&n);
    wp_update_batch_init(&b);
    for (uint64_t i = 0; i < 2 * WP_BOX_UPDATES_MAX; i++) {
        wp_box_updates_add_sent(&n, i, 1000);
        wp_box_updates_add_load(&n, i % 3, (uint32_t)i, 0);
    }
    assert_int_equal(n.sent_to->len, WP_BOX_UPDATES_MAX);
    assert_int_equal(n.load_of->len, 3); /* the last load of each endpoint */
    assert_int_equal(n.dropped, WP_BOX_UPDATES_MAX);
    wp_box_updates_fill(&n, 1, &m);
    for (int i = 0; i < 100; i++)
        wp_update_batch_add(&b, &m);
    assert_true(b.records <= WP_UPDATE_BATCH_MAX);
    assert_true(b.dropped > 0);
    wp_update_batch_reset(&b);
    assert_int_equal(b.records, 0);
    wp_update_batch_destroy(&b);
    wp_box_updates_destroy(&n);
}

/* Messages of random bytes: the queued prefill stays finite and not
   negative. */
static void random_messages_are_harmless(void **state)
{
    GRand *r = g_rand_new_with_seed(5);
    Fake k;
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 3000; i++) {
        uint8_t bytes[96];
        size_t n = (size_t)g_rand_int_range(r, 0, sizeof(bytes));
        for (size_t j = 0; j < n; j++)
            bytes[j] = (uint8_t)g_rand_int(r);
        bytes[0] = 0x09; /* tag of the field that names the sending box */
        Wp__BoxNews *m = wp__box_news__unpack(NULL, n, bytes);
        if (!m)
            continue;
        for (size_t j = 0; j < m->n_sent_to; j++)
            m->sent_to[j] = wp_hash(wp_str("l1"), 0);
        wp_box_updates_merge(k.d.fleet, k.now, m);
        wp_pb_free(m);
        fake_advance(&k, 1);
        double ms = queued_prefill_ms(&k, "l1");
        assert_true(ms >= 0 && isfinite(ms));
    }
    g_rand_free(r);
    fake_end(&k);
}

static void put_endpoint(Fake *k, const char *id, const char *zone)
{
    const WPRegistryEntry l = { .id = id,
                                .service = "far",
                                .addr = "127.0.0.1:1",
                                .zone = zone,
                                .version = "v1",
                                .slots = 8 };
    wp_fleet_put(k->d.fleet, k->now, &l);
}

static void put_two_zones(Fake *k)
{
    WPFleetRules rules = k->d.rules.fleet;
    rules.own_zone = "z1";
    wp_fleet_set_rules(k->d.fleet, &rules);
    put_endpoint(k, "n1", "z1");
    put_endpoint(k, "n2", "z1");
    put_endpoint(k, "f1", "z2");
}

/* A box receives few load reports of other zones' endpoints, so an
   unreported load is taken as the mean of the same service's endpoints in
   the box's own zone. When it was taken as idle instead, all boxes sent to
   other zones and the bytes between zones doubled. */
static void an_unreported_load_counts_as_the_mean(void **state)
{
    const WPEndpointQuery w = { .service = "far", .zone = "z1" };
    Fake k;
    (void)state;
    fake_init(&k);
    put_two_zones(&k);
    for (int i = 0; i < 50; i++) {
        WPReplica *n1 = wp_fleet_find(k.d.fleet, "n1");
        WPReplica *n2 = wp_fleet_find(k.d.fleet, "n2");
        wp_fleet_set_load(n1, k.now, 4, 0, 8);
        wp_fleet_set_load(n2, k.now, 6, 0, 8);
        fake_advance(&k, 30);
        WPReplica *s = wp_fleet_choose(k.d.fleet, k.now, &w);
        assert_string_equal(s->id, "n1");
        assert_float_equal(load(&k, "f1"), 5, 0.01);
        wp_replica_unref(s);
    }
    fake_end(&k);
}

/* During a long prefill an engine reports nothing for seconds. When its load
   was then taken as idle, it was sent ten more requests. */
static void an_endpoint_without_reports_does_not_become_idle(void **state)
{
    const WPEndpointQuery w = { .service = "far", .zone = "z1" };
    Fake k;
    (void)state;
    fake_init(&k);
    put_two_zones(&k);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "n2"), k.now, 6, 0, 8);
    for (int ms = 0; ms < 4000; ms += 100) {
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "n1"), k.now, 2, 0, 8);
        fake_advance(&k, 100);
        WPReplica *s = wp_fleet_choose(k.d.fleet, k.now, &w);
        wp_replica_unref(s);
    }
    assert_float_equal(load(&k, "n2"), 2, 0.01);
    fake_end(&k);
}

/* The prediction of a request's first byte at a box; 0: it has learned too
   little. */
static double expected_ms(Fake *k)
{
    WPFlowAction m;
    WPFlow *f = fake_ask(k, "/chat/x", NULL, &m);
    double ms = f->attempt.expected_ttfb_us / WP_US_PER_MS;
    wp_flow_on_caller_gone(f, k->now);
    wp_flow_free(f);
    return ms;
}

/* Serves requests whose first byte takes 400 ms; box `x` tells `y` of them. */
static void serve_and_tell(Fake *x, Fake *y, unsigned n)
{
    WPBoxUpdates updates;
    WPFlowAction m;
    const WPDirectAnswer a = fake_answer(200, 95);
    wp_box_updates_init(&updates);
    wp_fleet_set_updates(x->d.fleet, &updates);
    for (unsigned i = 0; i < n; i++) {
        WPFlow *f = fake_ask(x, "/chat/x", NULL, &m);
        fake_advance(x, 400);
        wp_flow_on_answer(f, x->now, &a, &m);
        wp_flow_on_done(f, x->now, 5);
        wp_flow_free(f);
        assert_int_equal(deliver(&updates, y), 0);
    }
    wp_fleet_set_updates(x->d.fleet, NULL);
    wp_box_updates_destroy(&updates);
}

static void box_predicts_from_what_others_have_learned(void **state)
{
    Fake x, y;
    (void)state;
    fake_init(&x);
    fake_init(&y);
    x.d.rules.contention = y.d.rules.contention = WP_CONTENTION_ON;
    assert_true(expected_ms(&y) == 0);
    serve_and_tell(&x, &y, 30);
    assert_float_equal(expected_ms(&y), 400, 40);
    fake_end(&x);
    fake_end(&y);
}

/* Services that are not contended are served as before. */
static void usual_services_tell_nothing_of_speed(void **state)
{
    Fake x, y;
    (void)state;
    fake_init(&x);
    fake_init(&y);
    serve_and_tell(&x, &y, 30);
    assert_true(expected_ms(&y) == 0);
    fake_end(&x);
    fake_end(&y);
}

/* After two hundred answers nothing more is told. */
static void told_speeds_are_bounded(void **state)
{
    Fake x;
    WPBoxUpdates updates;
    WPTtfbInputs in = { .prompt_tokens = 1000, .uncached_tokens = 1000 };
    (void)state;
    fake_init(&x);
    wp_box_updates_init(&updates);
    wp_fleet_set_updates(x.d.fleet, &updates);
    WPTtfbModel *model = wp_direct_ttfb_model(&x.d, "llm", wp_str("small"));
    unsigned told = 0;
    for (int i = 0; i < 300; i++) {
        wp_ttfb_add(model, &in, 100000);
        wp_direct_share_ttfb(&x.d, model, &in, 100000);
        told += updates.ttfb_of->len;
        wp_box_updates_reset(&updates);
    }
    assert_int_equal(told, 200);
    wp_box_updates_destroy(&updates);
    fake_end(&x);
}

TESTS_MAIN(T(box_predicts_from_what_others_have_learned),
           T(usual_services_tell_nothing_of_speed), T(told_speeds_are_bounded),
           T(sent_requests_count_at_the_other_box), T(queued_prefill_expires),
           T(an_older_load_report_is_ignored), T(invalid_records_are_ignored),
           T(pending_updates_are_bounded), T(random_messages_are_harmless),
           T(an_unreported_load_counts_as_the_mean),
           T(an_endpoint_without_reports_does_not_become_idle))
