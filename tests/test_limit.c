/* Endpoints that name the requests a second that they take, from all boxes
 * together.
 *
 * What users saw: endpoints that named 2.2 and 2.6 a second got 21 requests
 * within 4 s, 18 and 21 being allowed. Order of events: an endpoint's answers
 * carry the field from some moment on; the boxes pass it back to callers and
 * choose as before. Cause: nothing read it. Evidence: each was overrun by first
 * attempts of one box alone, at the rate that it had before. */
#include "limit_play.h"
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
            fail_msg("'%s' was taken", bad[i]);
    const WPLimitField f = wp_limit_parse(wp_str(" 2.25 "), 1);
    assert_int_equal(f.status, WP_LIMIT_FIELD_PRESENT);
    assert_true(f.per_s == 2.25);
    assert_int_equal(wp_limit_parse(wp_str("2.2"), 2).status,
                     WP_LIMIT_FIELD_INVALID);
    assert_int_equal(wp_limit_parse(wp_str(""), 0).status, WP_LIMIT_FIELD_NONE);
}

/* Whole requests in a window that is no shorter than the platform's, but for
   limits that are no matter; an endpoint that takes next to nothing is asked
   now and then all the same. */
static void windows_hold_what_the_limit_takes(void **state)
{
    static const struct {
        double per_s;
        unsigned part;
    } rows[] = { { 0.001, 1 }, { 0.4, 2 }, { 2.2, 9 }, { 8, 32 }, { 1e4, 64 } };
    const WPTime now = { 1000000, 0 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        WPLimit l = { 0 };
        wp_limit_set(&l, now, rows[i].per_s);
        const WPLimitWindow w = wp_limit_window(&l, now);
        double rate = (double)w.requests * WP_US_PER_S / (double)w.length_us;
        assert_int_equal(w.requests, rows[i].part);
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
        for (unsigned part = 1; part <= 64; part += 9) {
            unsigned sum = 0;
            for (unsigned i = 0; i < n; i++)
                sum += wp_share_of(all, n, i, part, 42);
            assert_int_equal(sum, part);
        }
    }
    g_rand_free(r);
}

static void tell_sent(Fake *k, const char *id, double per_s, int64_t sent_us)
{
    const WPLimitReport seen = {
        { per_s > 0 ? WP_LIMIT_FIELD_PRESENT : WP_LIMIT_FIELD_NONE, per_s },
        true,
        sent_us
    };
    wp_fleet_record_limit(k->d.fleet, wp_fleet_find(k->d.fleet, id), k->now,
                          &seen);
}

static void tell(Fake *k, const char *id, double per_s)
{
    tell_sent(k, id, per_s, k->now.mono_us);
}

static const char *ask_once(Fake *k, WPMove *m)
{
    return fake_serve(k, "/safe/x", m);
}

enum { ASK_EVERY_MS = 20 };

/* Requests for some time, fifty a second; how many reach the endpoint. */
static unsigned ask_for(Fake *k, int64_t ms, const char *id)
{
    unsigned n = 0;
    WPMove m;
    for (int64_t t = 0; t < ms; t += ASK_EVERY_MS) {
        n += !strcmp(ask_once(k, &m), id);
        fake_pass(k, ASK_EVERY_MS);
    }
    return n;
}

static void one_endpoint_is_kept_to_its_limit(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    tell(&k, "a1", LIMIT);
    /* 22 in ten seconds, and others take the rest. */
    assert_in_range(ask_for(&k, 10000, "a1"), 18, 23);
    for (int i = 0; i < 5; i++)
        assert_in_range(ask_for(&k, 4000, "a1"), 7, 10);
    fake_end(&k);
}

/* What looks slow for some answers of a busy moment is used all the same, as
   what gets little is hardly measured anew. */
static void a_slow_moment_does_not_leave_it_unused(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    tell(&k, "a1", LIMIT);
    wp_fleet_find(k.d.fleet, "a1")->latency_ratio = 5;
    assert_in_range(ask_for(&k, 10000, "a1"), 18, 23);
    fake_end(&k);
}

/* Refused at once, with the time when a place comes free, and not all callers
   in the same instant; the line tells which limit was met. */
static void what_finds_no_place_is_refused_at_once(void **state)
{
    uint32_t last_ms = 0;
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    tell(&k, "a1", LIMIT);
    tell(&k, "a2", LIMIT);
    fake_pass(&k, 5000);
    assert_string_not_equal(ask_once(&k, &m), "endpoints_limited");
    assert_string_not_equal(ask_once(&k, &m), "endpoints_limited");
    for (int i = 0; i < 5; i++) {
        assert_string_equal(ask_once(&k, &m), "endpoints_limited");
        assert_true(wp_fleet_limit_of(m.barred) == LIMIT);
        assert_true(m.retry_ms > last_ms);
        last_ms = m.retry_ms;
    }
    /* Both take 4.4 a second; the first place is free after half of that. */
    assert_in_range(last_ms, 500, 1500);
    fake_end(&k);
}

/* Of two classes with the same requests the more urgent one is served more, and
   the other one is not left out. */
static void the_more_urgent_have_the_few_places(void **state)
{
    unsigned urgent = 0, other = 0;
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPRoute *late = wp_routes_add(k.d.routes, "late", "h.example", "/late/");
    late->retry_policy = WP_RETRY_SAFE;
    late->max_attempts = 2;
    late->priority = 2;
    wp_route_add_target(k.d.routes, late, "app", 1);
    tell(&k, "a1", 3);
    tell(&k, "a2", 3);
    GRand *r = g_rand_new_with_seed(1);
    for (int i = 0; i < 2000; i++) {
        if (g_rand_boolean(r))
            urgent += ask_once(&k, &m)[0] == 'a';
        else
            other += fake_serve(&k, "/late/x", &m)[0] == 'a';
        fake_pass(&k, ASK_EVERY_MS / 2);
    }
    g_rand_free(r);
    assert_in_range(urgent + other, 100, 126);
    assert_true(urgent > 2 * other);
    assert_true(other > (urgent + other) / 20);
    fake_end(&k);
}

static void its_share_comes_back_within_seconds(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    tell(&k, "a1", LIMIT);
    ask_for(&k, 8000, "a1");
    tell(&k, "a1", 0);
    /* Not all at once. */
    assert_in_range(ask_for(&k, 500, "a1"), 0, 4);
    ask_for(&k, 2500, "a1");
    assert_true(ask_for(&k, 2000, "a1") > 20);
    fake_end(&k);
}

/* An answer to a request that was sent before may be older than what another
   box has told. */
static void old_answers_end_and_raise_nothing(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    const WPReplica *s = wp_fleet_find(k.d.fleet, "a1");
    int64_t before_us = k.now.mono_us;
    fake_pass(&k, 100);
    const WPLimitUpdate n = { s->incarnation_hash, LIMIT, 5, 99 };
    assert_non_null(wp_fleet_merge_limit(k.d.fleet, k.now, &n));
    tell_sent(&k, "a1", 0, before_us);
    assert_true(wp_fleet_limit_of(s) == LIMIT);
    tell_sent(&k, "a1", 8, before_us);
    assert_true(wp_fleet_limit_of(s) == LIMIT);
    tell_sent(&k, "a1", 1, before_us); /* less is taken: nothing is risked */
    assert_true(wp_fleet_limit_of(s) == 1);
    fake_pass(&k, 100);
    tell(&k, "a1", 0);
    assert_true(wp_fleet_limit_of(s) == 0);
    fake_end(&k);
}

static void what_is_no_limit_ends_the_one_before(void **state)
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
    tell(&k, "a1", LIMIT);
    /* An answer without the endpoint's mark ends nothing. */
    assert_int_equal(wp_fleet_record_limit(k.d.fleet, s, k.now, &forged),
                     WP_LIMIT_UNCHANGED);
    assert_true(wp_fleet_limit_of(s) == LIMIT);
    assert_int_equal(wp_fleet_record_limit(k.d.fleet, s, k.now, &bad),
                     WP_LIMIT_CHANGED);
    assert_true(wp_fleet_limit_of(s) == 0);
    fake_end(&k);
}

/* One that takes next to nothing is asked whether it still says so. */
static void a_tiny_limit_starves_nothing_for_long(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    tell(&k, "a1", 0.0001);
    assert_in_range(ask_for(&k, 30000, "a1"), 2, 4);
    tell(&k, "a1", 0);
    ask_for(&k, 3000, "a1");
    assert_true(ask_for(&k, 1000, "a1") > 5);
    fake_end(&k);
}

static void a_new_life_names_its_own(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    tell(&k, "a1", LIMIT);
    WPRegistryEntry l = { .id = "a1",
                          .service = "app",
                          .addr = "127.0.0.1:1",
                          .zone = "z1",
                          .version = "v1",
                          .slots = 8,
                          .born_ms = 5 };
    wp_fleet_put(k.d.fleet, k.now, &l);
    assert_true(wp_fleet_limit_of(wp_fleet_find(k.d.fleet, "a1")) == 0);
    assert_true(ask_for(&k, 1000, "a1") > 10);
    fake_end(&k);
}

/* A process that starts hears the limits before it has read the list. */
static void a_limit_is_known_before_its_endpoint(void **state)
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

/* Two boxes that pass on what is new to them fall silent. */
static void news_of_limits_comes_to_rest(void **state)
{
    WPLimitUpdate n[4];
    Fake a, b;
    (void)state;
    fake_init(&a);
    fake_init(&b);
    const WPPaceBox name = { 12345, "z1" };
    wp_fleet_set_boxes(b.d.fleet, &name, NULL, 0, 2);
    tell(&a, "a1", LIMIT);
    tell(&b, "a1", 3); /* at the same time: one of them holds at both */
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
        fake_pass(&a, 300);
        fake_pass(&b, 300);
    }
    assert_in_range(rounds, 1, 4);
    assert_true(wp_fleet_limit_of(wp_fleet_find(a.d.fleet, "a1")) ==
                wp_fleet_limit_of(wp_fleet_find(b.d.fleet, "a1")));
    fake_end(&a);
    fake_end(&b);
}

/* While a service moves, limits of the old version's endpoints do not send its
   requests to the new one. */
static void limits_do_not_hurry_a_move(void **state)
{
    unsigned to_new = 0, refused = 0;
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    look_on(&k, sh, LEAD_MS);
    tell(&k, "l1", LIMIT);
    tell(&k, "l2", LIMIT);
    for (int i = 0; i < 300; i++) {
        const char *what = fake_serve(&k, "/chat/x", &m);
        to_new += what[0] == 'n';
        refused += !strcmp(what, "endpoints_limited");
        fake_pass(&k, ASK_EVERY_MS);
    }
    assert_in_range(to_new, 15, 60); /* a tenth are its own */
    assert_true(refused > 200);
    fake_end(&k);
}

/* A repeat, a better answer and a resumed stream reach an endpoint by the same
   way as a first request. */
static void repeats_count_as_well(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    tell(&k, "a2", LIMIT);
    const WPReplica *s = wp_fleet_find(k.d.fleet, "a2");
    for (int i = 0; i < 200; i++) {
        WPDirectAnswer bad = fake_answer(500, -1);
        WPMove m;
        WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
        for (int n = 0; n < 3 && m.kind == WP_MOVE_SEND; n++)
            wp_flow_answer(f, k.now, &bad, &m);
        wp_flow_free(f);
        fake_pass(&k, ASK_EVERY_MS);
    }
    assert_in_range(s->reported.limit->own_send_count, 5, 10);
    fake_end(&k);
}

/* The rule and the aim, in virtual time, wherever callers come to. */
static void check_play(const LimitPlan *p, double used_least)
{
    const LimitSums s = limit_play(p);
    if (s.over || s.used < used_least)
        fail_msg("%u boxes, callers %d, trouble %d: most %u of %u, used %.2f",
                 p->boxes, (int)p->callers, (int)p->trouble, s.most,
                 limit_allowed(p->per_s), s.used);
    if (p->limited < 1)
        assert_true(s.served >= 0.98);
}

static const struct {
    unsigned boxes, endpoints, zones;
    double asked_per_s;
} sites[] = { { 1, 10, 1, 60 },
              { 4, 10, 1, 60 },
              { 12, 24, 3, 120 },
              { 100, 30, 3, 400 },
              { 300, 30, 3, 600 } };

/* The largest one takes a second and more a play. */
enum { SITES_QUICK = WP_COUNT(sites) - 1 };

static LimitPlan plan_of(size_t site, double limited, double per_s)
{
    return (LimitPlan){ .boxes = sites[site].boxes,
                        .endpoints = sites[site].endpoints,
                        .zones = sites[site].zones,
                        .limited = limited,
                        .per_s = per_s,
                        .then_per_s = -1,
                        .asked_per_s = sites[site].asked_per_s,
                        .seed = 1 };
}

/* Without limits kept to, one of 24 endpoints before twelve boxes got 67 in 4 s
   where 23 are allowed. */
static void the_rule_holds_over_all_boxes(void **state)
{
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sites); i++)
        for (LimitCallers c = 0; c < LIMIT_CALLERS_COUNT; c++) {
            LimitPlan p = plan_of(i, 1, 3);
            p.callers = c;
            if (i < SITES_QUICK || c <= LIMIT_ONE_BOX)
                check_play(&p, 0.8);
        }
}

static void others_are_served_while_there_is_room(void **state)
{
    (void)state;
    for (size_t i = 0; i < SITES_QUICK; i++) {
        LimitPlan few = plan_of(i, 0.2, LIMIT);
        LimitPlan one = plan_of(i, 0.04, 0.4);
        check_play(&few, 0.8);
        check_play(&one, 0.8);
    }
}

/* Isolated boxes are left out at 100 and 300: what they send before an endpoint
   has told each of them is not held against them by the rule. */
static void the_rule_holds_in_trouble(void **state)
{
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sites); i++)
        for (LimitTrouble t = LIMIT_KILLS; t < LIMIT_TROUBLES_COUNT; t++) {
            LimitPlan p = plan_of(i, 1, 3);
            p.trouble = t;
            if (i < SITES_QUICK ? t != LIMIT_DEAF || p.boxes <= 12
                                : t == LIMIT_KILLS)
                check_play(&p, 0.75);
        }
}

static void a_lower_limit_holds_at_once(void **state)
{
    (void)state;
    for (size_t i = 0; i < SITES_QUICK; i++) {
        LimitPlan p = plan_of(i, 0.3, 8);
        p.then_per_s = 2;
        check_play(&p, 0.6);
    }
}

static void after_its_end_the_work_is_back(void **state)
{
    (void)state;
    for (size_t i = 0; i < SITES_QUICK; i++) {
        LimitPlan p = plan_of(i, 0.2, LIMIT);
        p.then_per_s = 0;
        const LimitSums s = limit_play(&p);
        assert_int_equal(s.over, 0);
        assert_true(s.back > 0.5 && s.back < 2);
    }
}

TESTS_MAIN(T(only_positive_decimal_numbers_are_limits),
           T(windows_hold_what_the_limit_takes), T(shares_add_up),
           T(one_endpoint_is_kept_to_its_limit),
           T(a_slow_moment_does_not_leave_it_unused),
           T(what_finds_no_place_is_refused_at_once),
           T(the_more_urgent_have_the_few_places),
           T(its_share_comes_back_within_seconds),
           T(old_answers_end_and_raise_nothing),
           T(what_is_no_limit_ends_the_one_before),
           T(a_tiny_limit_starves_nothing_for_long),
           T(a_new_life_names_its_own), T(a_limit_is_known_before_its_endpoint),
           T(news_of_limits_comes_to_rest), T(limits_do_not_hurry_a_move),
           T(repeats_count_as_well), T(the_rule_holds_over_all_boxes),
           T(others_are_served_while_there_is_room),
           T(the_rule_holds_in_trouble), T(a_lower_limit_holds_at_once),
           T(after_its_end_the_work_is_back))
