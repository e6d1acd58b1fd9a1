/* Judgement whether the new version of a traffic shift is bad. */
#include "shift_fake.h"

static void bad_version_is_rolled_back(void **state)
{
    Fake k;
    g_autofree char *why = NULL;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    fake_advance(&k, LEAD_MS);
    record_answers(sh, "v1", "l1", "chat", 200, 1, 0);
    record_answers(sh, "v2", "n1", "chat", 8, 3, 0);
    record_answers(sh, "v2", "n2", "chat", 8, 3, 0);
    assert_int_equal(wp_shift_due_state(k.d.shifts, sh, k.now, &why),
                     WP_SHIFT_ROLLED_BACK);
    assert_non_null(strstr(why, "new=6/16"));
    apply_outcome(&k, "v2", 12, WP_SHIFT_ROLLED_BACK);
    for (int i = 0; i < 50; i++)
        assert_string_equal(serving_version(&k, NULL), "v1");
    fake_end(&k);
}

static void version_is_bad_if_slow_or_failing_on_one_route(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_answers(sh, "v1", "l1", "chat", 200, 0, 0);
    record_answers(sh, "v2", "n1", "chat", 10, 0, 8);
    record_answers(sh, "v2", "n2", "chat", 10, 0, 8);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    /* Once all requests go to the new version there is nothing to compare
       with. */
    assert_false(wp_canary_is_bad(&sh->canary, false, NULL));
    fake_end(&k);

    fake_init(&k);
    sh = start_shift(&k);
    record_answers(sh, "v1", "l1", "other", 100, 0, 0);
    record_answers(sh, "v1", "l1", "chat", 100, 0, 0);
    record_answers(sh, "v2", "n1", "other", 300, 0, 0);
    record_answers(sh, "v2", "n1", "chat", 6, 4, 0);
    record_answers(sh, "v2", "n2", "chat", 6, 4, 0);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Three failures are enough where the old version has none, but not where it
   has some. */
static void few_failures_suffice_where_the_old_version_has_none(void **state)
{
    (void)state;
    for (int clean = 0; clean < 2; clean++) {
        Fake k;
        fake_init(&k);
        WPShift *sh = start_shift(&k);
        record_answers(sh, "v1", "l1", "chat", 586, clean ? 0 : 12, 0);
        record_answers(sh, "v2", "n1", "chat", 9, 2, 0);
        record_answers(sh, "v2", "n2", "chat", 9, 1, 0);
        assert_int_equal(wp_canary_is_bad(&sh->canary, true, NULL), clean);
        fake_end(&k);
    }
}

/* What one box has found holds for all boxes, also for one that has seen few
   answers itself and would complete the shift. */
static void box_accepts_that_another_found_a_version_bad(void **state)
{
    Fake k;
    g_autofree char *why = NULL;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_answers(sh, "v1", "l1", "chat", 200, 0, 0);
    record_answers(sh, "v2", "n1", "chat", 5, 0, 0);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    wp_shift_merge_bad(sh);
    assert_int_equal(wp_shift_due_state(k.d.shifts, sh, k.now, &why),
                     WP_SHIFT_ROLLED_BACK);
    for (int i = 0; i < 20; i++)
        assert_string_equal(serving_version(&k, NULL), "v1");
    fake_end(&k);
}

/* Neither failures that the old version has too, nor one failing endpoint
   among many, make a version bad. */
static void good_version_is_not_found_bad(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_answers(sh, "v1", "l1", "chat", 200, 30, 0);
    record_answers(sh, "v2", "n1", "chat", 30, 5, 0);
    record_answers(sh, "v2", "n2", "chat", 30, 5, 0);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);

    fake_init(&k);
    sh = start_shift(&k);
    record_answers(sh, "v1", "l1", "chat", 200, 0, 0);
    record_answers(sh, "v2", "n1", "chat", 20, 9, 0);
    for (int i = 2; i < 8; i++) {
        g_autofree char *id = g_strdup_printf("n%d", i);
        record_answers(sh, "v2", id, "chat", 20, 0, 0);
    }
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Records the answers of one box: of old version 180 on a route that often
   fails and 230 on another, of the new one 7 and `n`, `failed` of which fail.
 */
static void record_two_routes(WPShift *sh, unsigned n, unsigned failed)
{
    record_answers(sh, "v1", "l1", "fragile", 180, 40, 0);
    record_answers(sh, "v1", "l2", "sound", 230, 0, 0);
    record_answers(sh, "v2", "n1", "fragile", 7, 3, 0);
    record_answers(sh, "v2", "n1", "sound", n / 2, failed / 2, 0);
    record_answers(sh, "v2", "n2", "sound", n - n / 2, failed - failed / 2, 0);
}

/* Guards against failures of one route that hide those of all others. */
static void failures_on_a_sound_route_show_beside_a_fragile_one(void **state)
{
    Fake k, other;
    (void)state;
    fake_init(&k);
    fake_init(&other);
    WPShift *sh = start_shift(&k), *sh_other = start_shift(&other);
    record_two_routes(sh, 12, 2);
    record_two_routes(sh_other, 12, 3);
    WPCanarySums told = wp_canary_own_sums(&sh_other->canary);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    assert_true(wp_canary_may_fail(&sh->canary));
    wp_canary_merge_report(&sh->canary, "other", 1, &told);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
    fake_end(&other);
}

/* Requests that fail on any version do not hold back a good one. */
static void failures_on_a_fragile_route_alone_raise_no_doubt(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_two_routes(sh, 14, 0);
    assert_false(wp_canary_may_fail(&sh->canary));
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Sums tell WP_CANARY_ROUTES_MAX routes apart. */
static void routes_with_the_most_failures_are_kept(void **state)
{
    WPCanarySums v = { 0 };
    (void)state;
    for (uint32_t i = 0; i < 2 * WP_CANARY_ROUTES_MAX; i++)
        wp_canary_sums_add_route(
            &v, &(WPCanaryRoute){ .name_hash = i, .counts = { i, i, 0, 0 } });
    assert_int_equal(v.n_routes, WP_CANARY_ROUTES_MAX);
    for (unsigned i = 0; i < v.n_routes; i++)
        assert_true(v.routes[i].counts.failed >= WP_CANARY_ROUTES_MAX);
}

enum { LONG_MS = 3600 * WP_MS_PER_S };

/* Serves one request at an endpoint of the version, with events `gap_ms`
   apart. */
static void serve_stream(Fake *k, const char *version, int gap_ms)
{
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, 90);
    WPFlow *f = fake_ask(k, "/chat/x", NULL, &m);
    while (strcmp(m.replica->version, version)) {
        wp_flow_on_caller_gone(f, k->now);
        wp_flow_free(f);
        f = fake_ask(k, "/chat/x", NULL, &m);
    }
    wp_flow_on_answer(f, k->now, &a, &m);
    for (uint64_t i = 2; i <= 10; i++) {
        k->now.mono_us += gap_ms * WP_US_PER_MS;
        wp_flow_on_events(f, k->now, i);
    }
    wp_flow_on_done(f, k->now, 10);
    wp_flow_free(f);
}

/* A slow version may send the first byte of each answer in time. */
static void version_is_bad_if_its_events_come_slowly(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    sh->duration_ms = LONG_MS; /* the answers take longer than a first stage */
    fake_advance(&k, LEAD_MS);
    for (int i = 0; i < 60; i++)
        serve_stream(&k, "v1", 30);
    for (int i = 0; i < 10; i++)
        serve_stream(&k, "v2", 30);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    for (int i = 0; i < 30; i++) /* as slow as a bad version was seen to be */
        serve_stream(&k, "v2", 105);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Where the event gaps of the old version hardly vary, a little slower is not
   bad, several times as slow is. */
static void steady_event_gaps_are_compared_by_ratio(void **state)
{
    static const struct {
        int gap_ms;
        bool bad;
    } cases[] = { { 31, false }, { 105, true } };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++) {
        Fake k;
        fake_init(&k);
        WPShift *sh = start_shift(&k);
        sh->duration_ms = LONG_MS;
        fake_advance(&k, LEAD_MS);
        for (int n = 0; n < 60; n++)
            serve_stream(&k, "v1", n % 4 ? 30 : 31);
        for (int n = 0; n < 40; n++)
            serve_stream(&k, "v2", cases[i].gap_ms);
        assert_int_equal(wp_canary_is_bad(&sh->canary, true, NULL),
                         cases[i].bad);
        fake_end(&k);
    }
}

/* A version that fails only on loaded replicas (utilization of a half or more),
   of which there are two among many. One replica that fails alone is not the
   version's fault. */
static void version_is_bad_if_loaded_replicas_fail(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    for (int i = 0; i < 18; i++) {
        g_autofree char *id = g_strdup_printf("n%d", i);
        record_answers(sh, "v2", id, "chat", 5, 0, 0);
    }
    for (int i = 0; i < 8; i++)
        wp_canary_record_loaded(&sh->canary, "n1", i % 2);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    for (int i = 0; i < 4; i++)
        wp_canary_record_loaded(&sh->canary, "n2", i % 2);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* The load that is put on a replica of the new version makes its answers slow:
   that is not the version's fault. */
static void loaded_replica_may_be_slow(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    sh->duration_ms = LONG_MS;
    fake_advance(&k, LEAD_MS);
    for (int i = 0; i < 60; i++)
        serve_stream(&k, "v1", 30);
    for (int i = 0; i < 30; i++) {
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "n1"), k.now, 4, 0, 8);
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "n2"), k.now, 4, 0, 8);
        serve_stream(&k, "v2", 240);
    }
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* A version that fails only under load: few of many answers fail, where none of
   the old version's did. */
static void version_is_bad_if_few_fail_where_none_did(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_answers(sh, "v1", "l1", "chat", 700, 0, 0);
    record_answers(sh, "v2", "n1", "chat", 130, 4, 0);
    record_answers(sh, "v2", "n2", "chat", 130, 3, 0);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* On endpoints with little load, a slow version's answers are as slow as a good
   one's on busy endpoints, but hardly ever fast. */
static void version_is_bad_if_never_fast(void **state)
{
    static const struct {
        double utilization;
        unsigned fast, middle, slow;
        bool bad;
    } cases[] = {
        { 0.02, 0, 4, 2, true },   /* few answers are enough */
        { 0.02, 0, 2, 1, false },  /* but these are too few */
        { 0.02, 1, 8, 4, true },   /* one fast answer does not clear it */
        { 0.02, 8, 3, 1, false },  /* a good version */
        { 0.02, 8, 12, 8, false }, /* a good version whose load grows */
        { 0.15, 0, 8, 3, false }   /* as busy as the old version: may be slow */
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++) {
        Fake k;
        fake_init(&k);
        WPShift *sh = start_shift(&k);
        record_timed_answers(sh, "v1", "l1", 0.2, 25, 50, 25);
        record_timed_answers(sh, "v2", "n1", cases[i].utilization,
                             cases[i].fast, cases[i].middle, cases[i].slow);
        record_timed_answers(sh, "v2", "n2", cases[i].utilization,
                             cases[i].fast, cases[i].middle, cases[i].slow);
        assert_int_equal(wp_canary_is_bad(&sh->canary, true, NULL),
                         cases[i].bad);
        fake_end(&k);
    }
}

/* One slow endpoint alone is not the version's fault. */
static void one_slow_replica_is_not_the_versions_fault(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_timed_answers(sh, "v1", "l1", 0.2, 25, 50, 25);
    record_timed_answers(sh, "v2", "n1", 0.02, 0, 10, 5);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    record_timed_answers(sh, "v2", "n2", 0.02, 0, 1, 0);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Requests that were in flight when the order came count for the old
   version. */
static void requests_before_the_order_count_for_the_old_version(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l1"), k.now, 4, 0, 8);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l2"), k.now, 4, 0, 8);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    WPShift *sh = start_shift(&k);
    wp_flow_on_answer(f, k.now, &a, &m);
    wp_flow_on_done(f, k.now, 10);
    wp_flow_free(f);
    assert_int_equal(wp_canary_own_sums(&sh->canary).loaded, 0);
    assert_int_equal(wp_canary_own_sums(&sh->canary).answered, 0);
    fake_end(&k);
}

/* A box that restarts counts from zero; the report of its previous incarnation
   is kept. */
static void report_of_an_ended_incarnation_is_kept(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_answers(sh, "v1", "l1", "chat", 200, 0, 0);
    record_answers(sh, "v2", "n1", "chat", 4, 1, 0);
    record_answers(sh, "v2", "n2", "chat", 4, 1, 0);
    const WPCanarySums first = { .answered = 8, .failed = 3 }, none = { 0 },
                       one = { .answered = 1 };
    wp_canary_merge_report(&sh->canary, "e2", 1, &first);
    wp_canary_merge_report(&sh->canary, "e2", 2, &none);
    wp_canary_merge_report(&sh->canary, "e2", 2, &one);
    /* Nor do reports count twice that arrive again or late. */
    wp_canary_merge_report(&sh->canary, "e2", 1, &first);
    wp_canary_merge_report(&sh->canary, "e2", 1, &one);
    assert_int_equal(wp_canary_pooled_sums(&sh->canary).answered, 8 + 8 + 1);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Answers without a time, where the old version's have times, are a doubt as
   well. */
static void version_without_times_is_doubtful(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_timed_answers(sh, "v1", "l1", 0.2, 25, 50, 25);
    assert_false(wp_canary_may_be_slow(&sh->canary));
    for (int i = 0; i < 50; i++)
        wp_shift_record_answer(sh, &(WPCanaryAnswer){ .version = "v2",
                                                      .replica = "n1",
                                                      .route = "chat" });
    assert_true(wp_canary_may_be_slow(&sh->canary));
    record_timed_answers(sh, "v2", "n1", 0.02, 1, 1, 0);
    assert_false(wp_canary_may_be_slow(&sh->canary));
    fake_end(&k);
}

/* As requests shift to the new version, the load of its endpoints grows and
   some answers come late; a bad version is slow for a good part of its
   requests. */
static void version_is_not_bad_because_its_load_grows(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_answers(sh, "v1", "l1", "chat", 655, 0, 0);
    record_answers(sh, "v2", "n1", "chat", 52, 0, 26);
    record_answers(sh, "v2", "n2", "chat", 51, 0, 26);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* No box has seen enough answers by itself; the pooled sums show that the
   version is bad. */
static void pooled_sums_show_a_bad_version(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_answers(sh, "v1", "l1", "chat", 100, 0, 0);
    record_answers(sh, "v2", "n1", "chat", 4, 1, 0);
    record_answers(sh, "v2", "n2", "chat", 4, 1, 0);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    const WPCanarySums e2 = { .answered = 8, .failed = 3 },
                       e3 = { .answered = 8, .failed = 2 };
    wp_canary_merge_report(&sh->canary, "e2", 1, &e2);
    wp_canary_merge_report(&sh->canary, "e3", 1, &e3);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Serves one request of the plain service at an endpoint of the version, in
   `ms`. */
static void serve_plain(Fake *k, const char *version, int ms)
{
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, -1);
    WPFlow *f = fake_ask(k, "/safe/x", NULL, &m);
    while (strcmp(m.replica->version, version)) {
        wp_flow_on_caller_gone(f, k->now);
        wp_flow_free(f);
        f = fake_ask(k, "/safe/x", NULL, &m);
    }
    k->now.mono_us += ms * WP_US_PER_MS;
    wp_flow_on_answer(f, k->now, &a, &m);
    wp_flow_on_done(f, k->now, 0);
    wp_flow_free(f);
}

static WPShift *start_plain_shift(Fake *k)
{
    WPShiftOrder o = { "app", "v2", DURATION_MS, 10 };
    WPShift *sh = wp_shifts_add_order(k->d.shifts, k->now, &o);
    sh->duration_ms = LONG_MS;
    wp_shift_merge_elapsed(sh, k->now, 0);
    fake_put(k, "b1", "app", "v2", false);
    fake_put(k, "b2", "app", "v2", false);
    return sh;
}

/* A plain service has few slots, of which some are always in use: its times
   count all the same. Half of a slow version's answers are slow. */
static void plain_service_is_bad_if_half_its_answers_are_slow(void **state)
{
    static const int times[] = { 40, 50, 60, 70, 90 };
    Fake k;
    (void)state;
    for (int slow = 0; slow < 2; slow++) {
        fake_init(&k);
        WPShift *sh = start_plain_shift(&k);
        fake_advance(&k, LEAD_MS);
        for (int i = 0; i < 40; i++)
            serve_plain(&k, "v1", times[i % 5]);
        for (int i = 0; i < 10; i++) {
            wp_fleet_set_load(wp_fleet_find(k.d.fleet, "b1"), k.now, 2, 0, 8);
            wp_fleet_set_load(wp_fleet_find(k.d.fleet, "b2"), k.now, 2, 0, 8);
            serve_plain(&k, "v2", times[i % 5] * (slow && i % 2 ? 8 : 1));
        }
        assert_int_equal(wp_canary_is_bad(&sh->canary, true, NULL), slow);
        fake_end(&k);
    }
}

/* After the first-byte time-out another endpoint is tried. That the first one
   was slow must not be lost with its answer. */
static void first_byte_timeout_counts_as_slow(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_plain_shift(&k);
    fake_advance(&k, LEAD_MS);
    for (int i = 0; i < 40; i++)
        serve_plain(&k, "v1", 60);
    WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
    while (strcmp(m.replica->version, "v2")) {
        wp_flow_on_caller_gone(f, k.now);
        wp_flow_free(f);
        f = fake_ask(&k, "/safe/x", NULL, &m);
    }
    k.now.mono_us += 400 * WP_US_PER_MS;
    assert_true(wp_flow_on_first_byte_timeout(f, k.now, &m));
    assert_int_equal(wp_canary_own_sums(&sh->canary).ratio_slow, 1);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* Two slow answers of three are too few to roll back a shift, but are a
   doubt. */
static void few_slow_answers_are_a_doubt(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_plain_shift(&k);
    WPCanaryAnswer a = { .version = "v2",
                         .replica = "b1",
                         .route = "safe",
                         .time = WP_TIME_RATIO_SLOW };
    wp_shift_record_answer(sh, &a);
    a.replica = "b2";
    wp_shift_record_answer(sh, &a);
    a.time = WP_TIME_RATIO_NORMAL;
    wp_shift_record_answer(sh, &a);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    assert_true(wp_canary_may_be_slow(&sh->canary));
    for (int i = 0; i < 10; i++)
        wp_shift_record_answer(sh, &a);
    assert_false(wp_canary_may_be_slow(&sh->canary));
    fake_end(&k);
}

TESTS_MAIN(T(steady_event_gaps_are_compared_by_ratio),
           T(few_failures_suffice_where_the_old_version_has_none),
           T(box_accepts_that_another_found_a_version_bad),
           T(plain_service_is_bad_if_half_its_answers_are_slow),
           T(first_byte_timeout_counts_as_slow),
           T(few_slow_answers_are_a_doubt), T(bad_version_is_rolled_back),
           T(version_is_bad_if_slow_or_failing_on_one_route),
           T(good_version_is_not_found_bad),
           T(failures_on_a_sound_route_show_beside_a_fragile_one),
           T(failures_on_a_fragile_route_alone_raise_no_doubt),
           T(routes_with_the_most_failures_are_kept),
           T(version_is_bad_if_its_events_come_slowly),
           T(version_is_bad_if_loaded_replicas_fail),
           T(loaded_replica_may_be_slow),
           T(version_is_bad_if_few_fail_where_none_did),
           T(version_is_bad_if_never_fast),
           T(one_slow_replica_is_not_the_versions_fault),
           T(requests_before_the_order_count_for_the_old_version),
           T(report_of_an_ended_incarnation_is_kept),
           T(version_without_times_is_doubtful),
           T(version_is_not_bad_because_its_load_grows),
           T(pooled_sums_show_a_bad_version))
