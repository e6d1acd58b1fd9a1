/* Cold-start pacing of endpoints that have just started: the bound on requests
 * that reach one of them within a second, from all boxes together. */
#include "direct_fake.h"
#include "pace_sim.h"

/* 18 requests a second, an overshoot of half as many again, and a slack of
   five. */
static const WPPaceRules rules = { 18, 1.5, 5 };

enum { BOUND = 32, SEEDS = 3 };

static const struct {
    unsigned boxes, endpoints;
} sizes[] = { { 1, 6 }, { 3, 12 }, { 21, 40 }, { 100, 60 }, { 300, 60 } };

static PacePlan plan_of(size_t size, PaceView view, bool herd, uint32_t seed)
{
    return (PacePlan){ .boxes = sizes[size].boxes,
                       .endpoints = sizes[size].endpoints,
                       .seed = seed,
                       .view = view,
                       .same_order = herd,
                       .rules = rules,
                       .endpoint_rate = 30 };
}

/* The bound holds whatever the boxes know of each other, whichever endpoints
   they prefer, and under four times the load that endpoints usually have.
   Without pacing, 7,800 requests reached one of 1,000 endpoints behind 300
   boxes; with an equal part of the bound for each box, 100 did
   (bench/wppace). */
static void the_bound_holds_over_all_boxes(void **state)
{
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (PaceView v = PACE_ALL_KNOWN; v <= PACE_NEW_BOXES; v++)
            for (uint32_t seed = 1; seed <= SEEDS; seed++) {
                const PacePlan p = plan_of(i, v, seed % 2, seed);
                const PaceResult s = pace_simulate(&p, &pace_policy_quota);
                if (s.max_in_second > BOUND)
                    fail_msg("%u boxes, view %d, seed %u: %u", p.boxes, (int)v,
                             seed, s.max_in_second);
            }
}

static void bound_is_exceeded_without_pacing(void **state)
{
    const PacePlan p = plan_of(2, PACE_ALL_KNOWN, true, 1);
    (void)state;
    assert_true(pace_simulate(&p, &pace_policy_unlimited).max_in_second >
                BOUND);
}

/* At the usual load, a zone whose endpoints have all just started serves its
   own requests from the beginning. */
static void starting_zone_carries_its_load(void **state)
{
    (void)state;
    for (size_t i = 1; i < WP_COUNT(sizes); i++) {
        PacePlan p = plan_of(i, PACE_ALL_KNOWN, false, 1);
        p.endpoint_rate = 7;
        p.endpoints = MAX(4, p.boxes * 4); /* some for each box alone */
        const PaceResult s = pace_simulate(&p, &pace_policy_quota);
        assert_in_range(s.recovery_ms, 1, 500);
        assert_true(s.remote_share < 0.1);
    }
}

static void make_boxes(WPPaceBoxes *b, unsigned self, unsigned n)
{
    g_autofree WPPaceBox *all = g_new(WPPaceBox, n);
    for (unsigned i = 0; i < n; i++)
        all[i] = (WPPaceBox){ 1000 + i, i % 2 ? "z1" : "z0" };
    wp_pace_boxes_init(b);
    wp_pace_boxes_set(b, &all[self], all, n, 0);
}

static unsigned sum_of_quotas(unsigned n, const char *zone)
{
    unsigned sum = 0;
    for (unsigned i = 0; i < n; i++) {
        WPPaceBoxes b;
        make_boxes(&b, i, n);
        sum += wp_pace_quota(&b, &rules, 77, zone);
        wp_pace_boxes_end(&b);
    }
    return sum;
}

static void quotas_add_up_to_half_of_the_bound(void **state)
{
    (void)state;
    for (unsigned n = 2; n <= 120; n++)
        assert_int_equal(sum_of_quotas(n, "z0"), BOUND / 2);
    /* All boxes are remote from a zone that has no box. */
    assert_int_equal(sum_of_quotas(40, "z9"), BOUND / 2);
}

/* A box that knows only how many other boxes there are leaves them their part
   of the quota. */
static void unknown_boxes_are_counted(void **state)
{
    const WPPaceBox self = { 1, "z0" };
    WPPaceBoxes b;
    (void)state;
    wp_pace_boxes_init(&b);
    wp_pace_boxes_set(&b, &self, NULL, 0, 4);
    assert_int_equal(wp_pace_quota(&b, &rules, 77, "z0"), 4);
    wp_pace_boxes_set(&b, &self, NULL, 0, 40);
    assert_true(wp_pace_quota(&b, &rules, 77, "z0") <= 1);
    wp_pace_boxes_end(&b);
}

static const WPRegistryEntry cold_entry = { .id = "l1",
                                            .service = "llm",
                                            .addr = "127.0.0.1:1",
                                            .zone = "z1",
                                            .version = "v1",
                                            .slots = 8,
                                            .cold_left_ms = 3000 };

/* Sets up a service that needs pacing, with one cold endpoint, at this box,
   which is one of eight. Returns the endpoint. */
static WPReplica *init_cold(Fake *k)
{
    const WPPaceBox self = { 1, "z1" };
    fake_init(k);
    k->d.rules.fleet.cold_overshoot = 1.5;
    k->d.rules.fleet.cold_slack = 5;
    wp_fleet_set_rules(k->d.fleet, &k->d.rules.fleet);
    wp_fleet_set_boxes(k->d.fleet, &self, NULL, 0, 8);
    wp_fleet_set_cold_rule(k->d.fleet, "llm", 18, 3);
    wp_fleet_remove(k->d.fleet, k->now, "l2", false);
    fake_advance(k, WP_PACE_WINDOW_MS);
    wp_fleet_put(k->d.fleet, k->now, &cold_entry);
    return wp_fleet_find(k->d.fleet, "l1");
}

/* The same with a warm endpoint. */
static WPReplica *init_warm(Fake *k)
{
    WPReplica *s = init_cold(k);
    s->reported.cold_until_us = 0;
    assert_false(wp_fleet_is_cold(s, k->now));
    return s;
}

static const char *serve_once(Fake *k, WPFlowAction *m)
{
    return fake_serve(k, "/chat/x", m);
}

static void cold_endpoint_gets_this_boxs_quota(void **state)
{
    WPFlowAction m;
    Fake k;
    (void)state;
    init_cold(&k);
    assert_string_equal(serve_once(&k, &m), "l1");
    assert_string_equal(serve_once(&k, &m), "l1");
    /* The next one is refused at once, to be retried when the window is
       over. */
    assert_string_equal(serve_once(&k, &m), "endpoints_starting");
    assert_in_range(m.retry_ms, 1000, 1200);
    fake_advance(&k, m.retry_ms);
    assert_string_equal(serve_once(&k, &m), "l1");
    /* Another endpoint takes the rest. */
    fake_put(&k, "l3", "llm", "v1", false);
    for (int i = 0; i < 20; i++)
        assert_string_equal(serve_once(&k, &m), "l3");
    fake_advance(&k, 3000);
    unsigned returned = 0;
    for (int i = 0; i < 40; i++)
        returned += !strcmp(serve_once(&k, &m), "l1");
    assert_true(returned > 2);
    fake_end(&k);
}

/* A restarted box does not know what its previous process has sent, so it waits
   for one window. */
static void restarted_box_waits_for_a_window(void **state)
{
    WPFlowAction m;
    Fake k;
    (void)state;
    init_cold(&k);
    WPFleet *old_fleet = k.d.fleet;
    k.d.fleet = wp_fleet_new(1);
    wp_fleet_set_rules(k.d.fleet, &k.d.rules.fleet);
    wp_fleet_set_cold_rule(k.d.fleet, "llm", 18, 3);
    wp_fleet_put(k.d.fleet, k.now, &cold_entry);
    assert_string_equal(serve_once(&k, &m), "endpoints_starting");
    assert_in_range(m.retry_ms, 1000, 1200);
    fake_advance(&k, m.retry_ms);
    assert_string_equal(serve_once(&k, &m), "l1");
    wp_fleet_free(old_fleet);
    fake_end(&k);
}

/* The configuration may change the bound while an endpoint is cold. */
static void changed_bound_applies_at_once(void **state)
{
    WPFlowAction m;
    Fake k;
    (void)state;
    init_cold(&k);
    assert_string_equal(serve_once(&k, &m), "l1");
    wp_fleet_set_cold_rule(k.d.fleet, "llm", 60, 3);
    for (int i = 0; i < 5; i++)
        assert_string_equal(serve_once(&k, &m), "l1");
    assert_string_equal(serve_once(&k, &m), "endpoints_starting");
    fake_end(&k);
}

/* Services without a bound are not paced. */
static void services_without_a_bound_are_not_paced(void **state)
{
    WPFlowAction m;
    Fake k;
    (void)state;
    init_cold(&k);
    wp_fleet_set_cold_rule(k.d.fleet, "llm", 0, 3);
    for (int i = 0; i < 20; i++)
        assert_string_equal(serve_once(&k, &m), "l1");
    fake_end(&k);
}

/* An endpoint that answers again after a silence may have restarted, which the
   registry cannot show. */
static void endpoint_that_answers_after_silence_counts_as_cold(void **state)
{
    Fake k;
    (void)state;
    WPReplica *s = init_warm(&k);
    wp_fleet_request_ended(s, k.now, WP_OUTCOME_NO_RESPONSE);
    wp_fleet_request_ended(s, k.now, WP_OUTCOME_NO_RESPONSE);
    fake_advance(&k, 10000);
    assert_false(wp_fleet_is_cold(s, k.now));
    wp_fleet_request_ended(s, k.now, WP_OUTCOME_OK);
    assert_true(wp_fleet_is_cold(s, k.now));
    fake_advance(&k, 3001);
    assert_false(wp_fleet_is_cold(s, k.now));
    fake_end(&k);
}

/* Nor can the registry show at once that an endpoint has restarted whose
   connections were closed. */
static void lost_idle_connections_suggest_a_restart(void **state)
{
    Fake k;
    (void)state;
    WPReplica *s = init_warm(&k);
    wp_fleet_idle_connection_lost(s, k.now);
    assert_true(wp_fleet_is_cold(s, k.now));
    fake_advance(&k, 3001);
    assert_false(wp_fleet_is_cold(s, k.now));
    fake_end(&k);
}

/* All endpoints of a zone may be cold when an operator ends its evacuation. */
static void zone_counts_as_cold_after_evacuation(void **state)
{
    Fake k;
    (void)state;
    WPReplica *s = init_warm(&k);
    wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", true);
    assert_false(wp_fleet_is_cold(s, k.now));
    wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", false);
    assert_true(wp_fleet_is_cold(s, k.now));
    fake_end(&k);
}

TESTS_MAIN(T(the_bound_holds_over_all_boxes),
           T(bound_is_exceeded_without_pacing),
           T(starting_zone_carries_its_load),
           T(quotas_add_up_to_half_of_the_bound), T(unknown_boxes_are_counted),
           T(cold_endpoint_gets_this_boxs_quota),
           T(changed_bound_applies_at_once),
           T(restarted_box_waits_for_a_window),
           T(services_without_a_bound_are_not_paced),
           T(endpoint_that_answers_after_silence_counts_as_cold),
           T(lost_idle_connections_suggest_a_restart),
           T(zone_counts_as_cold_after_evacuation))
