/* Rate limits that endpoints set, in requests a second from all boxes together.
 *
 * Guards against limits that are not followed: endpoints that set limits of 2.2
 * and 2.6 a second got 21 requests within 4 s, 18 and 21 being allowed. The
 * boxes forwarded the field to callers but did not read it, and chose endpoints
 * as before. Each endpoint was overrun by first attempts of one box alone, at
 * the rate that it had before. */
#include "limit_sim.h"
#include "shift_fake.h"

#include <math.h>

#define LIMIT 2.2

static void only_positive_decimal_numbers_are_limits(void **state)
{
    static const char *const bad[] = { "",    "0",     "0.0", "-1",  "+1",
                                       "nan", "inf",   "1e3", "0x1", "1e999",
                                       "two", "1.2.3", ".",   "1,5", "2 2" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(bad); i++)
        if (wp_limit_parse(wp_str(bad[i]), 1).status != WP_LIMIT_FIELD_INVALID)
            fail_msg("'%s' was accepted", bad[i]);
    const WPLimitField f = wp_limit_parse(wp_str(" 2.25 "), 1);
    assert_int_equal(f.status, WP_LIMIT_FIELD_PRESENT);
    assert_true(f.per_s == 2.25);
    assert_int_equal(wp_limit_parse(wp_str("2.2"), 2).status,
                     WP_LIMIT_FIELD_INVALID);
    assert_int_equal(wp_limit_parse(wp_str(""), 0).status, WP_LIMIT_FIELD_NONE);
}

/* A window counts whole requests and is no shorter than the platform's, except
   for limits too high to matter. An endpoint with a tiny limit still gets a
   request every 10 s. */
static void windows_match_the_limit(void **state)
{
    static const struct {
        double per_s;
        unsigned requests;
    } rows[] = { { 0.001, 1 }, { 0.4, 2 }, { 2.2, 9 }, { 8, 32 }, { 1e4, 64 } };
    const WPTime now = { 1000000, 0 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        WPLimit l = { 0 };
        wp_limit_set(&l, now, rows[i].per_s);
        const WPLimitWindow w = wp_limit_window(&l, now);
        double rate = (double)w.requests * WP_US_PER_S / (double)w.length_us;
        assert_int_equal(w.requests, rows[i].requests);
        assert_true(w.length_us <= 10 * WP_US_PER_S);
        assert_true(fabs(rate - MAX(rows[i].per_s, 0.1)) < 0.01 * rate);
    }
}

static void shares_add_up(void **state)
{
    GRand *r = g_rand_new_with_seed(1);
    (void)state;
    for (unsigned n = 1; n <= 300; n += 13) {
        g_autofree WPShare *all = g_new0(WPShare, n);
        for (unsigned i = 0; i < n; i++)
            all[i] =
                (WPShare){ i * 77 + 5, n % 2 ? 1 : g_rand_int_range(r, 0, 9) };
        for (unsigned requests = 1; requests <= 64; requests += 9) {
            unsigned sum = 0;
            for (unsigned i = 0; i < n; i++)
                sum += wp_share_of(all, n, i, requests, 42);
            assert_int_equal(sum, requests);
        }
    }
    g_rand_free(r);
}

static void report_limit_sent_at(Fake *k, const char *id, double per_s,
                                 int64_t sent_us)
{
    const WPLimitReport seen = {
        { per_s > 0 ? WP_LIMIT_FIELD_PRESENT : WP_LIMIT_FIELD_NONE, per_s },
        true,
        sent_us
    };
    wp_fleet_record_limit(k->d.fleet, wp_fleet_find(k->d.fleet, id), k->now,
                          &seen);
}

static void report_limit(Fake *k, const char *id, double per_s)
{
    report_limit_sent_at(k, id, per_s, k->now.mono_us);
}

static const char *serve_once(Fake *k, WPFlowAction *m)
{
    return fake_serve(k, "/safe/x", m);
}

enum { REQUEST_INTERVAL_MS = 20 };

/* Sends fifty requests a second for `ms`; returns how many reach the endpoint
   `id`. */
static unsigned count_served(Fake *k, int64_t ms, const char *id)
{
    unsigned n = 0;
    WPFlowAction m;
    for (int64_t t = 0; t < ms; t += REQUEST_INTERVAL_MS) {
        n += !strcmp(serve_once(k, &m), id);
        fake_advance(k, REQUEST_INTERVAL_MS);
    }
    return n;
}

static void endpoint_gets_no_more_than_its_limit(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    report_limit(&k, "a1", LIMIT);
    /* 22 requests in ten seconds; the other endpoint takes the rest. */
    assert_in_range(count_served(&k, 10000, "a1"), 18, 23);
    for (int i = 0; i < 5; i++)
        assert_in_range(count_served(&k, 4000, "a1"), 7, 10);
    fake_end(&k);
}

/* An endpoint that looks slow after a busy moment is still used up to its
   limit: with few requests its latency is hardly measured again. */
static void slow_endpoint_is_used_up_to_its_limit(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    report_limit(&k, "a1", LIMIT);
    wp_fleet_find(k.d.fleet, "a1")->latency_ratio = 5;
    assert_in_range(count_served(&k, 10000, "a1"), 18, 23);
    fake_end(&k);
}

/* When all endpoints are at their limits, a request is refused at once with the
   time until one may be sent, which differs so that not all callers retry in
   the same instant. The log line names the limit that was reached. */
static void requests_above_all_limits_are_refused_at_once(void **state)
{
    uint32_t last_ms = 0;
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    report_limit(&k, "a1", LIMIT);
    report_limit(&k, "a2", LIMIT);
    fake_advance(&k, 5000);
    assert_string_not_equal(serve_once(&k, &m), "endpoints_limited");
    assert_string_not_equal(serve_once(&k, &m), "endpoints_limited");
    for (int i = 0; i < 5; i++) {
        assert_string_equal(serve_once(&k, &m), "endpoints_limited");
        assert_true(wp_fleet_limit_of(m.excluded) == LIMIT);
        assert_true(m.retry_ms > last_ms);
        last_ms = m.retry_ms;
    }
    /* Both endpoints together take 4.4 requests a second, so the retry times
       are 227 ms apart, half of one endpoint's interval; the first is after
       that time. */
    assert_in_range(last_ms, 500, 1500);
    fake_end(&k);
}

/* Of two priorities with the same number of requests, the more urgent one is
   served more, and the other one is not starved. */
static void urgent_requests_get_most_of_a_limit(void **state)
{
    unsigned urgent = 0, other = 0;
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPRoute *late = wp_routes_add(k.d.routes, "late", "h.example", "/late/");
    late->retry_policy = WP_RETRY_SAFE;
    late->max_attempts = 2;
    late->priority = 2;
    wp_route_add_target(k.d.routes, late, "app", 1);
    report_limit(&k, "a1", 3);
    report_limit(&k, "a2", 3);
    GRand *r = g_rand_new_with_seed(1);
    for (int i = 0; i < 2000; i++) {
        if (g_rand_boolean(r))
            urgent += serve_once(&k, &m)[0] == 'a';
        else
            other += fake_serve(&k, "/late/x", &m)[0] == 'a';
        fake_advance(&k, REQUEST_INTERVAL_MS / 2);
    }
    g_rand_free(r);
    assert_in_range(urgent + other, 100, 126);
    assert_true(urgent > 2 * other);
    assert_true(other > (urgent + other) / 20);
    fake_end(&k);
}

static void share_returns_within_seconds_after_a_limit(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    report_limit(&k, "a1", LIMIT);
    count_served(&k, 8000, "a1");
    report_limit(&k, "a1", 0);
    /* The rate is not raised in one step. */
    assert_in_range(count_served(&k, 500, "a1"), 0, 4);
    count_served(&k, 2500, "a1");
    assert_true(count_served(&k, 2000, "a1") > 20);
    fake_end(&k);
}

/* An answer to a request that was sent earlier may be older than the limit that
   another box has sent: it neither ends nor raises that limit. */
static void older_answers_neither_end_nor_raise_a_limit(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    const WPReplica *s = wp_fleet_find(k.d.fleet, "a1");
    int64_t before_us = k.now.mono_us;
    fake_advance(&k, 100);
    const WPLimitUpdate n = { s->incarnation_hash, LIMIT, 5, 99 };
    assert_non_null(wp_fleet_merge_limit(k.d.fleet, k.now, &n));
    report_limit_sent_at(&k, "a1", 0, before_us);
    assert_true(wp_fleet_limit_of(s) == LIMIT);
    report_limit_sent_at(&k, "a1", 8, before_us);
    assert_true(wp_fleet_limit_of(s) == LIMIT);
    /* A lower limit is applied, as that is safe. */
    report_limit_sent_at(&k, "a1", 1, before_us);
    assert_true(wp_fleet_limit_of(s) == 1);
    fake_advance(&k, 100);
    report_limit(&k, "a1", 0);
    assert_true(wp_fleet_limit_of(s) == 0);
    fake_end(&k);
}

static void invalid_limit_ends_the_previous_one(void **state)
{
    const WPLimitReport bad = { { WP_LIMIT_FIELD_INVALID, 0 },
                                true,
                                INT64_MAX };
    const WPLimitReport forged = { { WP_LIMIT_FIELD_NONE, 0 },
                                   false,
                                   INT64_MAX };
    Fake k;
    (void)state;
    fake_init(&k);
    WPReplica *s = wp_fleet_find(k.d.fleet, "a1");
    assert_int_equal(wp_fleet_record_limit(k.d.fleet, s, k.now, &bad),
                     WP_LIMIT_REPORT_INVALID);
    assert_int_equal(wp_fleet_record_limit(k.d.fleet, s, k.now, &bad),
                     WP_LIMIT_UNCHANGED);
    report_limit(&k, "a1", LIMIT);
    /* An answer without the endpoint's seal does not end the limit. */
    assert_int_equal(wp_fleet_record_limit(k.d.fleet, s, k.now, &forged),
                     WP_LIMIT_UNCHANGED);
    assert_true(wp_fleet_limit_of(s) == LIMIT);
    assert_int_equal(wp_fleet_record_limit(k.d.fleet, s, k.now, &bad),
                     WP_LIMIT_CHANGED);
    assert_true(wp_fleet_limit_of(s) == 0);
    fake_end(&k);
}

/* An endpoint with a tiny limit still gets a request now and then, whose answer
   tells whether it still sets the limit. */
static void tiny_limit_does_not_starve_an_endpoint(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    report_limit(&k, "a1", 0.0001);
    assert_in_range(count_served(&k, 30000, "a1"), 2, 4);
    report_limit(&k, "a1", 0);
    count_served(&k, 3000, "a1");
    assert_true(count_served(&k, 1000, "a1") > 5);
    fake_end(&k);
}

static void new_incarnation_has_no_limit(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    report_limit(&k, "a1", LIMIT);
    WPRegistryEntry l = { .id = "a1",
                          .service = "app",
                          .addr = "127.0.0.1:1",
                          .zone = "z1",
                          .version = "v1",
                          .slots = 8,
                          .born_ms = 5 };
    wp_fleet_put(k.d.fleet, k.now, &l);
    assert_true(wp_fleet_limit_of(wp_fleet_find(k.d.fleet, "a1")) == 0);
    assert_true(count_served(&k, 1000, "a1") > 10);
    fake_end(&k);
}

/* A starting process receives the limits from other boxes before it has read
   the registry. */
static void limit_is_known_before_its_endpoint(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    const WPLimitUpdate n = { wp_hash(wp_str("a3"), 0), LIMIT, 3, 9 };
    assert_null(wp_fleet_merge_limit(k.d.fleet, k.now, &n));
    fake_put(&k, "a3", "app", "v1", false);
    assert_true(wp_fleet_limit_of(wp_fleet_find(k.d.fleet, "a3")) == LIMIT);
    fake_end(&k);
}

/* Two boxes that relay what is new to them stop sending once both know it. */
static void limit_updates_converge(void **state)
{
    WPLimitUpdate n[4];
    Fake a, b;
    (void)state;
    fake_init(&a);
    fake_init(&b);
    const WPPaceBox name = { 12345, "z1" };
    wp_fleet_set_boxes(b.d.fleet, &name, NULL, 0, 2);
    report_limit(&a, "a1", LIMIT);
    report_limit(&b, "a1", 3); /* at the same time: one limit wins at both */
    unsigned rounds = 0;
    for (; rounds < 10; rounds++) {
        size_t from_a = wp_fleet_take_unsent_limits(a.d.fleet, a.now, n, 4);
        for (size_t i = 0; i < from_a; i++)
            wp_fleet_merge_limit(b.d.fleet, b.now, &n[i]);
        size_t from_b = wp_fleet_take_unsent_limits(b.d.fleet, b.now, n, 4);
        for (size_t i = 0; i < from_b; i++)
            wp_fleet_merge_limit(a.d.fleet, a.now, &n[i]);
        if (!from_a && !from_b && !wp_fleet_has_unsent_limits(a.d.fleet) &&
            !wp_fleet_has_unsent_limits(b.d.fleet))
            break;
        fake_advance(&a, 300);
        fake_advance(&b, 300);
    }
    assert_in_range(rounds, 1, 4);
    assert_true(wp_fleet_limit_of(wp_fleet_find(a.d.fleet, "a1")) ==
                wp_fleet_limit_of(wp_fleet_find(b.d.fleet, "a1")));
    fake_end(&a);
    fake_end(&b);
}

/* During a traffic shift, limits of the old version's endpoints do not divert
   requests to the new version. */
static void limits_do_not_speed_up_a_shift(void **state)
{
    unsigned to_new = 0, refused = 0;
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    poll_for(&k, sh, LEAD_MS);
    report_limit(&k, "l1", LIMIT);
    report_limit(&k, "l2", LIMIT);
    for (int i = 0; i < 300; i++) {
        const char *what = fake_serve(&k, "/chat/x", &m);
        to_new += what[0] == 'n';
        refused += !strcmp(what, "endpoints_limited");
        fake_advance(&k, REQUEST_INTERVAL_MS);
    }
    assert_in_range(to_new, 15, 60); /* a tenth of the requests is its share */
    assert_true(refused > 200);
    fake_end(&k);
}

/* Retries, escalations and resumed streams are sent to an endpoint in the same
   way as first attempts, and so count as well. */
static void retries_count_as_well(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    report_limit(&k, "a2", LIMIT);
    const WPReplica *s = wp_fleet_find(k.d.fleet, "a2");
    for (int i = 0; i < 200; i++) {
        WPDirectAnswer bad = fake_answer(500, -1);
        WPFlowAction m;
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        for (int n = 0; n < 3 && m.kind == WP_FLOW_SEND; n++)
            wp_flow_on_answer(f, k.now, &bad, &m);
        wp_flow_free(f);
        fake_advance(&k, REQUEST_INTERVAL_MS);
    }
    assert_in_range(s->reported.limit->own_send_count, 5, 10);
    fake_end(&k);
}

/* Runs the simulation and checks the platform's rule (no endpoint gets more
   than is allowed) and the target (the used part of all limits is at least
   `min_used`), whichever boxes callers come to. */
static void check_simulation(const LimitPlan *p, double min_used)
{
    const LimitResult s = limit_simulate(p);
    if (s.endpoints_over || s.utilization < min_used)
        fail_msg("%u boxes, callers %d, fault %d: max_in_window %u of %u, "
                 "utilization %.2f",
                 p->boxes, (int)p->callers, (int)p->fault, s.max_in_window,
                 limit_allowed_in_window(p->limit_per_s), s.utilization);
    if (p->limited_share < 1)
        assert_true(s.served_share >= 0.98);
}

static const struct {
    unsigned boxes, endpoints, zones;
    double asked_per_s;
} sites[] = { { 1, 10, 1, 60 },
              { 4, 10, 1, 60 },
              { 12, 24, 3, 120 },
              { 100, 30, 3, 400 },
              { 300, 30, 3, 600 } };

/* All sites but the largest, whose simulation takes over a second. */
enum { QUICK_SITES = WP_COUNT(sites) - 1 };

static LimitPlan plan_of(size_t site, double limited, double per_s)
{
    return (LimitPlan){ .boxes = sites[site].boxes,
                        .endpoints = sites[site].endpoints,
                        .zones = sites[site].zones,
                        .limited_share = limited,
                        .limit_per_s = per_s,
                        .new_limit_per_s = -1,
                        .requests_per_s = sites[site].asked_per_s,
                        .seed = 1 };
}

/* Where limits were ignored, one of 24 endpoints behind twelve boxes got 67
   requests in 4 s; 23 are allowed. */
static void limits_hold_over_all_boxes(void **state)
{
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sites); i++)
        for (LimitCallers c = 0; c < LIMIT_CALLERS_COUNT; c++) {
            LimitPlan p = plan_of(i, 1, 3);
            p.callers = c;
            if (i < QUICK_SITES || c <= LIMIT_ONE_BOX)
                check_simulation(&p, 0.8);
        }
}

static void requests_are_served_while_there_is_capacity(void **state)
{
    (void)state;
    for (size_t i = 0; i < QUICK_SITES; i++) {
        LimitPlan few = plan_of(i, 0.2, LIMIT);
        LimitPlan one = plan_of(i, 0.04, 0.4);
        check_simulation(&few, 0.8);
        check_simulation(&one, 0.8);
    }
}

/* Isolated boxes are not simulated at 100 and 300 boxes: the rule does not
   count what they send before an endpoint has told each of them its limit. */
static void limits_hold_during_faults(void **state)
{
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sites); i++)
        for (LimitFault t = LIMIT_ROLLING_RESTARTS; t < LIMIT_FAULTS_COUNT;
             t++) {
            LimitPlan p = plan_of(i, 1, 3);
            p.fault = t;
            if (i < QUICK_SITES ? t != LIMIT_NO_UPDATES || p.boxes <= 12
                                : t == LIMIT_ROLLING_RESTARTS)
                check_simulation(&p, 0.75);
        }
}

static void a_lower_limit_holds_at_once(void **state)
{
    (void)state;
    for (size_t i = 0; i < QUICK_SITES; i++) {
        LimitPlan p = plan_of(i, 0.3, 8);
        p.new_limit_per_s = 2;
        check_simulation(&p, 0.6);
    }
}

static void load_returns_after_a_limit(void **state)
{
    (void)state;
    for (size_t i = 0; i < QUICK_SITES; i++) {
        LimitPlan p = plan_of(i, 0.2, LIMIT);
        p.new_limit_per_s = 0;
        const LimitResult s = limit_simulate(&p);
        assert_int_equal(s.endpoints_over, 0);
        assert_true(s.recovered_ratio > 0.5 && s.recovered_ratio < 2);
    }
}

/* All boxes of a zone that were away begin to count their updates anew. */
static void rate_of_a_restarted_zone_replaces_an_expired_one(void **state)
{
    static const WPDemandUpdate first = { 1, 2, 600, 50, 9 };
    static const WPDemandUpdate restarted = { 1, 2, 60, 1, 9 };
    WPDemand *d = wp_demand_new();
    WPTime now = { WP_US_PER_S, 0 };
    (void)state;
    assert_true(wp_demand_merge_zone(d, now, &first));
    now.mono_us += 10 * WP_US_PER_S;
    assert_false(wp_demand_merge_zone(d, now, &restarted));
    now.mono_us += 11 * WP_US_PER_S;
    assert_true(wp_demand_merge_zone(d, now, &restarted));
    assert_false(wp_demand_merge_zone(d, now, &restarted));
    wp_demand_free(d);
}

TESTS_MAIN(T(only_positive_decimal_numbers_are_limits),
           T(windows_match_the_limit), T(shares_add_up),
           T(endpoint_gets_no_more_than_its_limit),
           T(slow_endpoint_is_used_up_to_its_limit),
           T(requests_above_all_limits_are_refused_at_once),
           T(urgent_requests_get_most_of_a_limit),
           T(share_returns_within_seconds_after_a_limit),
           T(older_answers_neither_end_nor_raise_a_limit),
           T(invalid_limit_ends_the_previous_one),
           T(tiny_limit_does_not_starve_an_endpoint),
           T(new_incarnation_has_no_limit),
           T(limit_is_known_before_its_endpoint), T(limit_updates_converge),
           T(limits_do_not_speed_up_a_shift), T(retries_count_as_well),
           T(limits_hold_over_all_boxes),
           T(requests_are_served_while_there_is_capacity),
           T(limits_hold_during_faults), T(a_lower_limit_holds_at_once),
           T(load_returns_after_a_limit),
           T(rate_of_a_restarted_zone_replaces_an_expired_one))
