/* Requests to endpoints that have just started: the bound on what reaches one
 * within a second, by all boxes together. */
#include "direct_fake.h"
#include "pace_play.h"

/* 18 a second, half as many again and five besides. */
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
                       .herd = herd,
                       .rules = rules,
                       .per_endpoint = 30 };
}

/* Whatever the boxes know of each other, whatever they prefer, and under four
   times the load that endpoints usually have. Without pacing 7,800 reached one
   of 1,000 endpoints before 300 boxes, with a part of the bound for each box
   100 (bench/wppace). */
static void the_bound_holds_over_all_boxes(void **state)
{
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (PaceView v = PACE_ALL_KNOWN; v <= PACE_NEW_BOXES; v++)
            for (uint32_t seed = 1; seed <= SEEDS; seed++) {
                const PacePlan p = plan_of(i, v, seed % 2, seed);
                const PaceSums s = pace_play(&p, &pace_owners);
                if (s.most > BOUND)
                    fail_msg("%u boxes, view %d, seed %u: %u", p.boxes, (int)v,
                             seed, s.most);
            }
}

static void without_pacing_it_does_not(void **state)
{
    const PacePlan p = plan_of(2, PACE_ALL_KNOWN, true, 1);
    (void)state;
    assert_true(pace_play(&p, &pace_none).most > BOUND);
}

/* The usual load stays in its zone from the beginning. */
static void a_zone_that_starts_carries_its_load(void **state)
{
    (void)state;
    for (size_t i = 1; i < WP_COUNT(sizes); i++) {
        PacePlan p = plan_of(i, PACE_ALL_KNOWN, false, 1);
        p.per_endpoint = 7;
        p.endpoints = MAX(4, p.boxes * 4); /* each box has some to itself */
        const PaceSums s = pace_play(&p, &pace_owners);
        assert_in_range(s.carries_ms, 1, 500);
        assert_true(s.elsewhere < 0.1);
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
    /* All are far from a zone that has no box. */
    assert_int_equal(sum_of_quotas(40, "z9"), BOUND / 2);
}

/* A box that knows of others without knowing them leaves them their part. */
static void boxes_that_are_not_known_are_counted(void **state)
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

static const WPRegistryEntry cold_listing = { .id = "l1",
                                              .service = "llm",
                                              .addr = "127.0.0.1:1",
                                              .zone = "z1",
                                              .version = "v1",
                                              .slots = 8,
                                              .cold_left_ms = 3000 };

/* The list of services asks for pacing, one endpoint is cold, and this box is
   one of eight. */
static WPReplica *begin(Fake *k)
{
    const WPPaceBox self = { 1, "z1" };
    fake_init(k);
    k->d.rules.fleet.cold_overshoot = 1.5;
    k->d.rules.fleet.cold_slack = 5;
    wp_fleet_set_rules(k->d.fleet, &k->d.rules.fleet);
    wp_fleet_set_boxes(k->d.fleet, &self, NULL, 0, 8);
    wp_fleet_set_cold_rule(k->d.fleet, "llm", 18, 3);
    wp_fleet_remove(k->d.fleet, k->now, "l2", false);
    fake_pass(k, WP_PACE_WINDOW_MS);
    wp_fleet_put(k->d.fleet, k->now, &cold_listing);
    return wp_fleet_find(k->d.fleet, "l1");
}

/* The same, and the endpoint is warm by now. */
static WPReplica *begin_warm(Fake *k)
{
    WPReplica *s = begin(k);
    s->reported.cold_until_us = 0;
    assert_false(wp_fleet_is_cold(s, k->now));
    return s;
}

static const char *ask_once(Fake *k, WPMove *m)
{
    return fake_serve(k, "/chat/x", m);
}

static void a_cold_endpoint_gets_this_boxs_quota(void **state)
{
    WPMove m;
    Fake k;
    (void)state;
    begin(&k);
    assert_string_equal(ask_once(&k, &m), "l1");
    assert_string_equal(ask_once(&k, &m), "l1");
    /* Refused at once, to come back when the window is over. */
    assert_string_equal(ask_once(&k, &m), "endpoints_starting");
    assert_in_range(m.retry_ms, 1000, 1200);
    fake_pass(&k, m.retry_ms);
    assert_string_equal(ask_once(&k, &m), "l1");
    /* Others take the rest. */
    fake_put(&k, "l3", "llm", "v1", false);
    for (int i = 0; i < 20; i++)
        assert_string_equal(ask_once(&k, &m), "l3");
    fake_pass(&k, 3000);
    unsigned back = 0;
    for (int i = 0; i < 40; i++)
        back += !strcmp(ask_once(&k, &m), "l1");
    assert_true(back > 2);
    fake_end(&k);
}

/* What the process before it has sent is not known. */
static void a_box_that_starts_waits_for_a_window(void **state)
{
    WPMove m;
    Fake k;
    (void)state;
    begin(&k);
    WPFleet *had = k.d.fleet;
    k.d.fleet = wp_fleet_new(1);
    wp_fleet_set_rules(k.d.fleet, &k.d.rules.fleet);
    wp_fleet_set_cold_rule(k.d.fleet, "llm", 18, 3);
    wp_fleet_put(k.d.fleet, k.now, &cold_listing);
    assert_string_equal(ask_once(&k, &m), "endpoints_starting");
    assert_in_range(m.retry_ms, 1000, 1200);
    fake_pass(&k, m.retry_ms);
    assert_string_equal(ask_once(&k, &m), "l1");
    wp_fleet_free(had);
    fake_end(&k);
}

/* The configuration may change the bound while an endpoint is cold. */
static void another_bound_holds_at_once(void **state)
{
    WPMove m;
    Fake k;
    (void)state;
    begin(&k);
    assert_string_equal(ask_once(&k, &m), "l1");
    wp_fleet_set_cold_rule(k.d.fleet, "llm", 60, 3);
    for (int i = 0; i < 5; i++)
        assert_string_equal(ask_once(&k, &m), "l1");
    assert_string_equal(ask_once(&k, &m), "endpoints_starting");
    fake_end(&k);
}

/* Services that tell no bound are left alone. */
static void other_services_are_not_paced(void **state)
{
    WPMove m;
    Fake k;
    (void)state;
    begin(&k);
    wp_fleet_set_cold_rule(k.d.fleet, "llm", 0, 3);
    for (int i = 0; i < 20; i++)
        assert_string_equal(ask_once(&k, &m), "l1");
    fake_end(&k);
}

/* It may have started again, and the list cannot tell. */
static void what_comes_back_after_silence_is_taken_for_cold(void **state)
{
    Fake k;
    (void)state;
    WPReplica *s = begin_warm(&k);
    wp_fleet_request_ended(s, k.now, WP_OUTCOME_NO_RESPONSE);
    wp_fleet_request_ended(s, k.now, WP_OUTCOME_NO_RESPONSE);
    fake_pass(&k, 10000);
    assert_false(wp_fleet_is_cold(s, k.now));
    wp_fleet_request_ended(s, k.now, WP_OUTCOME_OK);
    assert_true(wp_fleet_is_cold(s, k.now));
    fake_pass(&k, 3001);
    assert_false(wp_fleet_is_cold(s, k.now));
    fake_end(&k);
}

/* Nor can the list tell at once of one whose connections have ended. */
static void lost_resting_connections_are_a_sign_of_a_start(void **state)
{
    Fake k;
    (void)state;
    WPReplica *s = begin_warm(&k);
    wp_fleet_idle_connection_lost(s, k.now);
    assert_true(wp_fleet_is_cold(s, k.now));
    fake_pass(&k, 3001);
    assert_false(wp_fleet_is_cold(s, k.now));
    fake_end(&k);
}

/* All of a zone that an operator brings back may be cold. */
static void a_zone_that_is_back_is_taken_for_cold(void **state)
{
    Fake k;
    (void)state;
    WPReplica *s = begin_warm(&k);
    wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", true);
    assert_false(wp_fleet_is_cold(s, k.now));
    wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", false);
    assert_true(wp_fleet_is_cold(s, k.now));
    fake_end(&k);
}

TESTS_MAIN(T(the_bound_holds_over_all_boxes), T(without_pacing_it_does_not),
           T(a_zone_that_starts_carries_its_load),
           T(quotas_add_up_to_half_of_the_bound),
           T(boxes_that_are_not_known_are_counted),
           T(a_cold_endpoint_gets_this_boxs_quota),
           T(another_bound_holds_at_once),
           T(a_box_that_starts_waits_for_a_window),
           T(other_services_are_not_paced),
           T(what_comes_back_after_silence_is_taken_for_cold),
           T(lost_resting_connections_are_a_sign_of_a_start),
           T(a_zone_that_is_back_is_taken_for_cold))
