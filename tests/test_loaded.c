/* A version that fails on loaded endpoints only: found, spared, and told. */
#include "direct_fake.h"

/* Answers of l1, of 8 places, at a load. */
static void learn(Fake *k, double taken, unsigned n, unsigned failed)
{
    const WPReplica *s = wp_fleet_find(k->d.fleet, "l1");
    for (unsigned i = 0; i < n; i++)
        wp_fleet_record_answer(k->d.fleet, k->now, s, taken, i < failed);
}

static bool is_found(Fake *k)
{
    return wp_fleet_fails_under_load(k->d.fleet, k->now, "llm", "v1");
}

static void a_few_failures_under_load_are_enough(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    learn(&k, 0.1, 100, 1);
    learn(&k, 0.5, 4, 2);
    assert_false(is_found(&k));
    learn(&k, 0.5, 2, 1);
    assert_true(is_found(&k));
    /* Nothing fails while it is spared: it stays found for a while. */
    learn(&k, 0.5, 100, 0);
    fake_pass(&k, 20000);
    assert_true(is_found(&k));
    fake_pass(&k, 20000);
    assert_false(is_found(&k));
    fake_end(&k);
}

/* Failures that come at any load are the business of other checks. */
static void what_fails_at_any_load_is_not_found(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    learn(&k, 0.1, 100, 20);
    learn(&k, 0.5, 20, 10);
    assert_false(is_found(&k));
    fake_end(&k);

    fake_init(&k);
    learn(&k, 0.1, 100, 0);
    learn(&k, 0.5, 60, 0);
    learn(&k, 0.5, 6, 6); /* few of the loaded ones */
    assert_false(is_found(&k));
    fake_end(&k);
}

static void loaded_endpoints_are_passed_over(void **state)
{
    Fake k;
    WPEndpointQuery w = { .service = "llm", .zone = "z1" };
    unsigned full = 0;
    (void)state;
    fake_init(&k);
    /* The other one is far from here and hardly less loaded: not taken. */
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
            full += !strcmp(s->id, "l1");
            wp_replica_unref(s);
        }
        assert_int_equal(full, 20);
        learn(&k, 0.5, 8, 4);
    }
    fake_end(&k);
}

static void the_largest_model_is_not_asked_of_it(void **state)
{
    Fake k;
    (void)state;
    for (int found = 0; found < 2; found++) {
        WPMove m;
        WPDirectAnswer a = fake_answer(200, 5);
        fake_init(&k);
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l1"), k.now, 3, 0, 8);
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l2"), k.now, 3, 0, 8);
        if (found)
            learn(&k, 0.5, 8, 4);
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        wp_flow_answer(f, k.now, &a, &m);
        assert_int_equal(m.kind, found ? WP_MOVE_PASS : WP_MOVE_SEND);
        wp_flow_left(f, k.now);
        wp_flow_free(f);
        fake_end(&k);
    }
}

static void count(void *arg, const char *what)
{
    assert_string_equal(what, "llm v1");
    ++*(unsigned *)arg;
}

/* A box tells what it has found itself, not what it was told. */
static void boxes_tell_what_they_have_found(void **state)
{
    Fake k;
    unsigned n = 0;
    (void)state;
    fake_init(&k);
    wp_fleet_merge_fails_under_load(k.d.fleet, k.now, "llm", "v1");
    assert_true(is_found(&k));
    wp_fleet_each_failing_under_load(k.d.fleet, k.now, count, &n);
    assert_int_equal(n, 0);
    learn(&k, 0.5, 8, 4);
    wp_fleet_each_failing_under_load(k.d.fleet, k.now, count, &n);
    assert_int_equal(n, 1);
    fake_end(&k);
}

/* A request whose leg fails on a loaded endpoint names the version, once. */
static void the_request_that_shows_it_says_so(void **state)
{
    Fake k;
    unsigned shown = 0;
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 6; i++) {
        WPMove m;
        WPDirectAnswer a = fake_answer(500, -1);
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l1"), k.now, 5, 0, 8);
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l2"), k.now, 5, 0, 8);
        WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
        wp_flow_answer(f, k.now, &a, &m);
        /* Known with the answer: the request itself goes on for seconds. */
        shown += f->fails_loaded && !strcmp(f->fails_loaded, "v1");
        wp_flow_left(f, k.now);
        wp_flow_free(f);
    }
    assert_int_equal(shown, 1);
    assert_true(is_found(&k));
    fake_end(&k);
}

/* An endpoint that crashes ends all that ran there: one failure, not as many as
   there were requests. */
static void a_crash_is_one_failure(void **state)
{
    enum { AT_ONCE = 6 };
    Fake k;
    WPFlow *f[AT_ONCE];
    WPMove m;
    (void)state;
    fake_init(&k);
    wp_fleet_remove(k.d.fleet, k.now, "l2", false);
    learn(&k, 0.1, 100, 0);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l1"), k.now, 5, 0, 8);
    for (int i = 0; i < AT_ONCE; i++) {
        f[i] = fake_ask(&k, "/chat/x", NULL, &m);
        assert_int_equal(m.kind, WP_MOVE_SEND);
    }
    fake_pass(&k, 100);
    for (int i = 0; i < AT_ONCE; i++) {
        wp_flow_lost(f[i], k.now, WP_LOSS_BROKEN, &m);
        wp_flow_left(f[i], k.now);
        wp_flow_free(f[i]);
    }
    assert_false(is_found(&k));
    fake_end(&k);
}

TESTS_MAIN(T(a_crash_is_one_failure), T(a_few_failures_under_load_are_enough),
           T(what_fails_at_any_load_is_not_found),
           T(loaded_endpoints_are_passed_over),
           T(the_largest_model_is_not_asked_of_it),
           T(boxes_tell_what_they_have_found),
           T(the_request_that_shows_it_says_so))
