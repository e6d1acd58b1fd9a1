/* A version that fails on loaded endpoints only: it is detected, its loaded
 * endpoints are avoided, and the other boxes are told. */
#include "direct_fake.h"

/* Records `n` answers of l1, which has 8 slots, at this utilization; the first
   `failed` of them failed. */
static void record_answers(Fake *k, double utilization, unsigned n,
                           unsigned failed)
{
    const WPReplica *s = wp_fleet_find(k->d.fleet, "l1");
    for (unsigned i = 0; i < n; i++)
        wp_fleet_record_answer(k->d.fleet, k->now, s, utilization, i < failed);
}

static bool is_detected(Fake *k)
{
    return wp_fleet_fails_under_load(k->d.fleet, k->now, "llm", "v1");
}

static void few_failures_under_load_are_enough(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    record_answers(&k, 0.1, 100, 1);
    record_answers(&k, 0.5, 4, 2);
    assert_false(is_detected(&k));
    record_answers(&k, 0.5, 2, 1);
    assert_true(is_detected(&k));
    /* Nothing fails while its loaded endpoints are avoided, so it stays
       detected for a while. */
    record_answers(&k, 0.5, 100, 0);
    fake_advance(&k, 20000);
    assert_true(is_detected(&k));
    fake_advance(&k, 20000);
    assert_false(is_detected(&k));
    fake_end(&k);
}

/* Failures that occur at any load are left to other checks. */
static void failures_at_any_load_are_not_detected(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    record_answers(&k, 0.1, 100, 20);
    record_answers(&k, 0.5, 20, 10);
    assert_false(is_detected(&k));
    fake_end(&k);

    fake_init(&k);
    record_answers(&k, 0.1, 100, 0);
    record_answers(&k, 0.5, 60, 0);
    record_answers(&k, 0.5, 6, 6); /* few of the answers under load */
    assert_false(is_detected(&k));
    fake_end(&k);
}

static void loaded_endpoints_are_avoided(void **state)
{
    Fake k;
    WPEndpointQuery w = { .service = "llm", .zone = "z1" };
    unsigned loaded_chosen = 0;
    (void)state;
    fake_init(&k);
    /* l3 is in another zone and only a little less loaded: it is not chosen
       until the version is detected. */
    WPRegistryEntry far = { .id = "l3",
                            .service = "llm",
                            .addr = "127.0.0.1:1",
                            .zone = "z2",
                            .version = "v1",
                            .slots = 8 };
    wp_fleet_put(k.d.fleet, k.now, &far);
    wp_fleet_remove(k.d.fleet, k.now, "l2", false);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l1"), k.now, 4, 0, 8);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l3"), k.now, 2, 0, 8);
    for (int round = 0; round < 2; round++) {
        for (int i = 0; i < 20; i++) {
            WPReplica *s = wp_fleet_choose(k.d.fleet, k.now, &w);
            loaded_chosen += !strcmp(s->id, "l1");
            wp_replica_unref(s);
        }
        assert_int_equal(loaded_chosen, 20);
        record_answers(&k, 0.5, 8, 4);
    }
    fake_end(&k);
}

static void no_escalation_to_a_detected_version(void **state)
{
    Fake k;
    (void)state;
    for (int detected = 0; detected < 2; detected++) {
        WPFlowAction m;
        WPDirectAnswer a = fake_answer(200, 5);
        fake_init(&k);
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l1"), k.now, 3, 0, 8);
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l2"), k.now, 3, 0, 8);
        if (detected)
            record_answers(&k, 0.5, 8, 4);
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        wp_flow_on_answer(f, k.now, &a, &m);
        assert_int_equal(m.kind, detected ? WP_FLOW_FORWARD : WP_FLOW_SEND);
        wp_flow_on_caller_gone(f, k.now);
        wp_flow_free(f);
        fake_end(&k);
    }
}

static void count(void *arg, const char *what)
{
    assert_string_equal(what, "llm v1");
    ++*(unsigned *)arg;
}

/* A box sends what it has detected itself, not what it has received. */
static void boxes_send_what_they_have_detected(void **state)
{
    Fake k;
    unsigned n = 0;
    (void)state;
    fake_init(&k);
    wp_fleet_merge_fails_under_load(k.d.fleet, k.now, "llm", "v1");
    assert_true(is_detected(&k));
    wp_fleet_each_failing_under_load(k.d.fleet, k.now, count, &n);
    assert_int_equal(n, 0);
    record_answers(&k, 0.5, 8, 4);
    wp_fleet_each_failing_under_load(k.d.fleet, k.now, count, &n);
    assert_int_equal(n, 1);
    fake_end(&k);
}

/* A request whose attempt fails on a loaded endpoint names the version,
   once. */
static void detecting_request_names_the_version(void **state)
{
    Fake k;
    unsigned named = 0;
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 6; i++) {
        WPFlowAction m;
        WPDirectAnswer a = fake_answer(500, -1);
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l1"), k.now, 5, 0, 8);
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l2"), k.now, 5, 0, 8);
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        wp_flow_on_answer(f, k.now, &a, &m);
        /* Known as soon as the answer has come: the request itself goes on for
           seconds. */
        named += f->fails_loaded && !strcmp(f->fails_loaded, "v1");
        wp_flow_on_caller_gone(f, k.now);
        wp_flow_free(f);
    }
    assert_int_equal(named, 1);
    assert_true(is_detected(&k));
    fake_end(&k);
}

/* A crash of an endpoint ends all requests that ran there: it counts as one
   failure, not one for each request. */
static void a_crash_is_one_failure(void **state)
{
    enum { CONCURRENT = 6 };
    Fake k;
    WPFlow *f[CONCURRENT];
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    wp_fleet_remove(k.d.fleet, k.now, "l2", false);
    record_answers(&k, 0.1, 100, 0);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l1"), k.now, 5, 0, 8);
    for (int i = 0; i < CONCURRENT; i++) {
        f[i] = fake_ask(&k, "/chat/x", NULL, &m);
        assert_int_equal(m.kind, WP_FLOW_SEND);
    }
    fake_advance(&k, 100);
    for (int i = 0; i < CONCURRENT; i++) {
        wp_flow_on_lost(f[i], k.now, WP_LOSS_BROKEN, &m);
        wp_flow_on_caller_gone(f[i], k.now);
        wp_flow_free(f[i]);
    }
    assert_false(is_detected(&k));
    fake_end(&k);
}

TESTS_MAIN(T(a_crash_is_one_failure), T(few_failures_under_load_are_enough),
           T(failures_at_any_load_are_not_detected),
           T(loaded_endpoints_are_avoided),
           T(no_escalation_to_a_detected_version),
           T(boxes_send_what_they_have_detected),
           T(detecting_request_names_the_version))
