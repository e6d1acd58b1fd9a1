/* Areas in which a route or a workspace may be served: every choice of an
 * endpoint has to respect them. */
#include "direct_fake.h"
#include "wp_direct_int.h"

static void put(Fake *k, const char *id, const char *service, const char *zone)
{
    WPRegistryEntry l = { .id = id,
                          .service = service,
                          .addr = "127.0.0.1:1",
                          .zone = zone,
                          .version = "v1",
                          .slots = 8 };
    wp_fleet_put(k->d.fleet, k->now, &l);
}

/* Registers one endpoint of each service in the box's own zone z1 (area north)
   and one in z2 (area south). `route` and `caller`: the area in which all
   routes, or the caller's requests, may be served; NULL: any. */
static void init(Fake *k, const char *route, const char *caller)
{
    static const char *const made[] = { "l1", "l2", "a1", "a2" };
    fake_init(k);
    for (size_t i = 0; i < WP_COUNT(made); i++)
        wp_fleet_remove(k->d.fleet, k->now, made[i], false);
    WPRoutes *t = fake_routes(2);
    for (guint i = 0; i < t->routes->len && route; i++) {
        WPRoute *r = g_ptr_array_index(t->routes, i);
        g_ptr_array_add(r->areas, g_strdup(route));
    }
    WPCaller *c = g_ptr_array_index(t->callers, 0);
    if (caller)
        g_ptr_array_add(c->areas, g_strdup(caller));
    wp_direct_set_routes(&k->d, t);
    wp_fleet_set_area(k->d.fleet, "z1", "north");
    wp_fleet_set_area(k->d.fleet, "z2", "south");
    put(k, "north-llm", "llm", "z1");
    put(k, "south-llm", "llm", "z2");
    put(k, "north-app", "app", "z1");
    put(k, "south-app", "app", "z2");
}

static void assert_sent(const WPFlowAction *m, const char *id)
{
    assert_int_equal(m->kind, WP_FLOW_SEND);
    assert_string_equal(m->replica->id, id);
}

static void first_attempt(void **state)
{
    (void)state;
    Fake k;
    WPFlowAction m;
    init(&k, "south", NULL);
    assert_string_equal(fake_serve(&k, "/once/x", &m), "south-app");
    assert_string_equal(fake_serve(&k, "/chat/x", &m), "south-llm");
    fake_end(&k);
    init(&k, NULL, "south");
    assert_string_equal(fake_serve(&k, "/safe/x", &m), "south-app");
    fake_end(&k);
    init(&k, NULL, NULL);
    assert_string_equal(fake_serve(&k, "/safe/x", &m), "north-app");
    fake_end(&k);
}

/* A retry and a resumed stream may only go to endpoints in the allowed area. */
static void retry_and_resume(void **state)
{
    (void)state;
    Fake k;
    WPFlowAction m;
    init(&k, "south", NULL);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    assert_sent(&m, "south-llm");
    wp_flow_on_lost(f, k.now, WP_LOSS_NO_ANSWER, &m);
    assert_sent(&m, "south-llm");
    WPDirectAnswer a = fake_answer(200, 99);
    wp_flow_on_answer(f, k.now, &a, &m);
    assert_int_equal(m.kind, WP_FLOW_FORWARD);
    wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
    if (m.kind == WP_FLOW_SEND)
        assert_sent(&m, "south-llm");
    wp_flow_free(f);
    fake_end(&k);
}

static void escalation(void **state)
{
    (void)state;
    Fake k;
    WPFlowAction m;
    init(&k, NULL, "south");
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    assert_sent(&m, "south-llm");
    WPDirectAnswer a = fake_answer(200, 0);
    k.now.mono_us += 1000;
    wp_flow_on_answer(f, k.now, &a, &m);
    assert_int_equal(m.reason, WP_ATTEMPT_ESCALATE);
    assert_sent(&m, "south-llm");
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* A cached prefix is not fetched from an endpoint outside the allowed area. */
static void prefix_transfer(void **state)
{
    (void)state;
    Fake k;
    init(&k, "south", NULL);
    WPPrompt p = { .tokens = 8000 };
    wp_prompt_add(&p, wp_str("aa"), 6000);
    wp_prompt_add(&p, wp_str("bb"), 2000);
    GPtrArray *areas = g_ptr_array_new();
    WPEndpointQuery w = { .service = "llm",
                          .zone = "z1",
                          .prompt = &p,
                          .model = 1,
                          .ttfb = wp_direct_ttfb_model(&k.d, "llm",
                                                       wp_str("small")) };
    WPReplica *north = wp_fleet_find(k.d.fleet, "north-llm");
    WPReplica *south = wp_fleet_find(k.d.fleet, "south-llm");
    const WPReplica *source;
    WPFleetRules rules = k.d.rules.fleet;
    rules.track_prefixes = true;
    rules.prefill_weight_per_kt = 1;
    rules.transfer_weight_per_kt = 0.01;
    wp_fleet_set_rules(k.d.fleet, &rules);
    wp_fleet_request_sent(k.d.fleet, north, k.now, &w, 0);
    k.now.mono_us += 1000000;
    wp_fleet_ttfb_inputs(k.d.fleet, k.now, &w, south, &source);
    assert_ptr_equal(source, north);
    g_ptr_array_add(areas, "south");
    w.areas = areas;
    wp_fleet_ttfb_inputs(k.d.fleet, k.now, &w, south, &source);
    assert_null(source);
    g_ptr_array_unref(areas);
    fake_end(&k);
}

/* The request is refused at once, with the reason, although endpoints in other
   areas are free. */
static void no_endpoint_in_the_area(void **state)
{
    (void)state;
    Fake k;
    WPFlowAction m;
    init(&k, "west", NULL);
    assert_string_equal(fake_serve(&k, "/safe/x", &m), "no_endpoint_in_area");
    assert_true(m.retry_ms > 0);
    fake_end(&k);
    init(&k, "north", "south");
    assert_string_equal(fake_serve(&k, "/chat/x", &m), "no_endpoint_in_area");
    fake_end(&k);
}

/* A zone for which no area is set belongs to none. */
static void zone_without_area(void **state)
{
    (void)state;
    Fake k;
    WPFlowAction m;
    init(&k, "south", NULL);
    wp_fleet_remove(k.d.fleet, k.now, "south-app", false);
    put(&k, "far-app", "app", "z9");
    assert_string_equal(fake_serve(&k, "/safe/x", &m), "no_endpoint_in_area");
    fake_end(&k);
}

TESTS_MAIN(T(first_attempt), T(retry_and_resume), T(escalation),
           T(prefix_transfer), T(no_endpoint_in_the_area), T(zone_without_area))
