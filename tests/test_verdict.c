/* Whether the version that a move leads to is bad. */
#include "shift_fake.h"

static void a_bad_version_is_found_and_left(void **state)
{
    Fake k;
    g_autofree char *why = NULL;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    fake_pass(&k, LEAD_MS);
    feed(sh, "v1", "l1", "chat", 200, 1, 0);
    feed(sh, "v2", "n1", "chat", 8, 3, 0);
    feed(sh, "v2", "n2", "chat", 8, 3, 0);
    assert_int_equal(wp_shift_due_state(k.d.shifts, sh, k.now, &why),
                     WP_SHIFT_ROLLED_BACK);
    assert_non_null(strstr(why, "new=6/16"));
    outcome(&k, "v2", 12, WP_SHIFT_ROLLED_BACK);
    for (int i = 0; i < 50; i++)
        assert_string_equal(serve(&k, NULL), "v1");
    fake_end(&k);
}

static void a_version_is_bad_when_it_is_slow_or_on_one_route(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    feed(sh, "v1", "l1", "chat", 200, 0, 0);
    feed(sh, "v2", "n1", "chat", 10, 0, 8);
    feed(sh, "v2", "n2", "chat", 10, 0, 8);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    /* Once all is on the new version there is nothing to compare with. */
    assert_false(wp_canary_is_bad(&sh->canary, false, NULL));
    fake_end(&k);

    fake_init(&k);
    sh = order(&k);
    feed(sh, "v1", "l1", "other", 100, 0, 0);
    feed(sh, "v1", "l1", "chat", 100, 0, 0);
    feed(sh, "v2", "n1", "other", 300, 0, 0);
    feed(sh, "v2", "n1", "chat", 6, 4, 0);
    feed(sh, "v2", "n2", "chat", 6, 4, 0);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Three failures are enough where the old version has none, not where it has
   some. */
static void few_failures_tell_where_none_were_expected(void **state)
{
    (void)state;
    for (int clean = 0; clean < 2; clean++) {
        Fake k;
        fake_init(&k);
        WPShift *sh = order(&k);
        feed(sh, "v1", "l1", "chat", 586, clean ? 0 : 12, 0);
        feed(sh, "v2", "n1", "chat", 9, 2, 0);
        feed(sh, "v2", "n2", "chat", 9, 1, 0);
        assert_int_equal(wp_canary_is_bad(&sh->canary, true, NULL), clean);
        fake_end(&k);
    }
}

/* What one box has found holds for all, also for one that has seen little
   itself and would end the move. */
static void a_box_takes_anothers_word_that_a_version_is_bad(void **state)
{
    Fake k;
    g_autofree char *why = NULL;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    feed(sh, "v1", "l1", "chat", 200, 0, 0);
    feed(sh, "v2", "n1", "chat", 5, 0, 0);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    wp_shift_merge_bad(sh);
    assert_int_equal(wp_shift_due_state(k.d.shifts, sh, k.now, &why),
                     WP_SHIFT_ROLLED_BACK);
    for (int i = 0; i < 20; i++)
        assert_string_equal(serve(&k, NULL), "v1");
    fake_end(&k);
}

/* Neither failures that the old version has too, nor one failing endpoint
   among many, make a version bad. */
static void a_good_version_is_not_blamed(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    feed(sh, "v1", "l1", "chat", 200, 30, 0);
    feed(sh, "v2", "n1", "chat", 30, 5, 0);
    feed(sh, "v2", "n2", "chat", 30, 5, 0);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);

    fake_init(&k);
    sh = order(&k);
    feed(sh, "v1", "l1", "chat", 200, 0, 0);
    feed(sh, "v2", "n1", "chat", 20, 9, 0);
    for (int i = 2; i < 8; i++) {
        g_autofree char *id = g_strdup_printf("n%d", i);
        feed(sh, "v2", id, "chat", 20, 0, 0);
    }
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

enum { LONG_MS = 3600 * WP_MS_PER_S };

/* Serves one request whose events come `gap_ms` apart. */
static void serve_paced(Fake *k, const char *want, int gap_ms)
{
    WPMove m;
    WPDirectAnswer a = fake_answer(200, 90);
    WPFlow *f = fake_ask(k, "/chat/x", NULL, &m);
    while (strcmp(m.replica->version, want)) {
        wp_flow_left(f, k->now);
        wp_flow_free(f);
        f = fake_ask(k, "/chat/x", NULL, &m);
    }
    wp_flow_answer(f, k->now, &a, &m);
    for (uint64_t i = 2; i <= 10; i++) {
        k->now.mono_us += gap_ms * WP_US_PER_MS;
        wp_flow_progress(f, k->now, i);
    }
    wp_flow_done(f, k->now, 10);
    wp_flow_free(f);
}

/* A slow version may begin each answer in time. */
static void a_version_is_bad_when_its_events_come_slowly(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    sh->duration_ms = LONG_MS; /* the answers take longer than a first stage */
    fake_pass(&k, LEAD_MS);
    for (int i = 0; i < 60; i++)
        serve_paced(&k, "v1", 30);
    for (int i = 0; i < 10; i++)
        serve_paced(&k, "v2", 30);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    for (int i = 0; i < 30; i++) /* as slow as one was seen to be */
        serve_paced(&k, "v2", 105);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Endpoints whose pace hardly varies: a little slower is no fault, several
   times as slow is one. */
static void a_steady_pace_is_compared_by_far(void **state)
{
    static const struct {
        int gap_ms;
        bool bad;
    } cases[] = { { 31, false }, { 105, true } };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++) {
        Fake k;
        fake_init(&k);
        WPShift *sh = order(&k);
        sh->duration_ms = LONG_MS;
        fake_pass(&k, LEAD_MS);
        for (int n = 0; n < 60; n++)
            serve_paced(&k, "v1", n % 4 ? 30 : 31);
        for (int n = 0; n < 40; n++)
            serve_paced(&k, "v2", cases[i].gap_ms);
        assert_int_equal(wp_canary_is_bad(&sh->canary, true, NULL),
                         cases[i].bad);
        fake_end(&k);
    }
}

/* Bad only on half-full replicas, of which there are two among many. One that
   fails alone is not the version's fault. */
static void a_version_is_bad_when_loaded_replicas_fail(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    for (int i = 0; i < 18; i++) {
        g_autofree char *id = g_strdup_printf("n%d", i);
        feed(sh, "v2", id, "chat", 5, 0, 0);
    }
    for (int i = 0; i < 8; i++)
        wp_canary_record_loaded(&sh->canary, "n1", i % 2);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    for (int i = 0; i < 4; i++)
        wp_canary_record_loaded(&sh->canary, "n2", i % 2);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* The load that is put on a replica on trial makes its answers slow: that is
   not the version's fault. */
static void a_loaded_replica_may_be_slow(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    sh->duration_ms = LONG_MS;
    fake_pass(&k, LEAD_MS);
    for (int i = 0; i < 60; i++)
        serve_paced(&k, "v1", 30);
    for (int i = 0; i < 30; i++) {
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "n1"), k.now, 4, 0, 8);
        wp_fleet_set_load(wp_fleet_find(k.d.fleet, "n2"), k.now, 4, 0, 8);
        serve_paced(&k, "v2", 240);
    }
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Bad only under load: few of many answers, where the old version had none. */
static void a_version_is_bad_when_few_fail_where_none_did(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    feed(sh, "v1", "l1", "chat", 700, 0, 0);
    feed(sh, "v2", "n1", "chat", 130, 4, 0);
    feed(sh, "v2", "n2", "chat", 130, 3, 0);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* On endpoints that have little to do, a slow version's answers are as slow as
   a good one's on busy endpoints, but hardly ever fast. */
static void a_version_is_bad_when_it_is_never_fast(void **state)
{
    static const struct {
        double taken;
        unsigned fast, usual, slow;
        bool bad;
    } cases[] = {
        { 0.02, 0, 4, 2, true },   /* few answers are enough */
        { 0.02, 0, 2, 1, false },  /* but not so few */
        { 0.02, 1, 8, 4, true },   /* one fast one does not save it */
        { 0.02, 8, 3, 1, false },  /* a good one */
        { 0.02, 8, 12, 8, false }, /* one that fills */
        { 0.15, 0, 8, 3, false }   /* as busy as the old version: no wonder */
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++) {
        Fake k;
        fake_init(&k);
        WPShift *sh = order(&k);
        feed_times(sh, "v1", "l1", 0.2, 25, 50, 25);
        feed_times(sh, "v2", "n1", cases[i].taken, cases[i].fast,
                   cases[i].usual, cases[i].slow);
        feed_times(sh, "v2", "n2", cases[i].taken, cases[i].fast,
                   cases[i].usual, cases[i].slow);
        assert_int_equal(wp_canary_is_bad(&sh->canary, true, NULL),
                         cases[i].bad);
        fake_end(&k);
    }
}

/* One endpoint alone is not the version's fault. */
static void one_slow_replica_is_not_the_versions_fault(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    feed_times(sh, "v1", "l1", 0.2, 25, 50, 25);
    feed_times(sh, "v2", "n1", 0.02, 0, 10, 5);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    feed_times(sh, "v2", "n2", 0.02, 0, 1, 0);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Requests that were under way when the order came are the old version's. */
static void what_ran_before_the_order_tells_of_the_old_version(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l1"), k.now, 4, 0, 8);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "l2"), k.now, 4, 0, 8);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    WPShift *sh = order(&k);
    wp_flow_answer(f, k.now, &a, &m);
    wp_flow_done(f, k.now, 10);
    wp_flow_free(f);
    assert_int_equal(wp_canary_own_sums(&sh->canary).loaded, 0);
    assert_int_equal(wp_canary_own_sums(&sh->canary).answered, 0);
    fake_end(&k);
}

/* A box that starts again counts from nothing; what it had told stays known. */
static void what_a_box_told_outlives_it(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    feed(sh, "v1", "l1", "chat", 200, 0, 0);
    feed(sh, "v2", "n1", "chat", 4, 1, 0);
    feed(sh, "v2", "n2", "chat", 4, 1, 0);
    const WPCanarySums first = { .answered = 8, .failed = 3 }, none = { 0 },
                       one = { .answered = 1 };
    wp_canary_merge_report(&sh->canary, "e2", 1, &first);
    wp_canary_merge_report(&sh->canary, "e2", 2, &none);
    wp_canary_merge_report(&sh->canary, "e2", 2, &one);
    /* Nor do they count twice, told again or late. */
    wp_canary_merge_report(&sh->canary, "e2", 1, &first);
    wp_canary_merge_report(&sh->canary, "e2", 1, &one);
    assert_int_equal(wp_canary_pooled_sums(&sh->canary).answered, 8 + 8 + 1);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Answers without a time, where the old version's have one, are a doubt too. */
static void a_version_whose_times_are_not_known_is_doubtful(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    feed_times(sh, "v1", "l1", 0.2, 25, 50, 25);
    assert_false(wp_canary_may_be_slow(&sh->canary));
    for (int i = 0; i < 50; i++)
        wp_shift_record_answer(sh, &(WPCanaryAnswer){ .version = "v2",
                                                      .replica = "n1",
                                                      .route = "chat" });
    assert_true(wp_canary_may_be_slow(&sh->canary));
    feed_times(sh, "v2", "n1", 0.02, 1, 1, 0);
    assert_false(wp_canary_may_be_slow(&sh->canary));
    fake_end(&k);
}

/* As requests move over, the new version's endpoints fill and some answers
   come late; a bad version is slow for a good part of its requests. */
static void a_version_is_not_slow_because_it_fills(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    feed(sh, "v1", "l1", "chat", 655, 0, 0);
    feed(sh, "v2", "n1", "chat", 52, 0, 26);
    feed(sh, "v2", "n2", "chat", 51, 0, 26);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* No box has seen enough by itself; their sums show it. */
static void boxes_find_a_bad_version_together(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    feed(sh, "v1", "l1", "chat", 100, 0, 0);
    feed(sh, "v2", "n1", "chat", 4, 1, 0);
    feed(sh, "v2", "n2", "chat", 4, 1, 0);
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    const WPCanarySums e2 = { .answered = 8, .failed = 3 },
                       e3 = { .answered = 8, .failed = 2 };
    wp_canary_merge_report(&sh->canary, "e2", 1, &e2);
    wp_canary_merge_report(&sh->canary, "e3", 1, &e3);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

/* Serves one request of a plain service that takes `ms`. */
static void serve_plain(Fake *k, const char *want, int ms)
{
    WPMove m;
    WPDirectAnswer a = fake_answer(200, -1);
    WPFlow *f = fake_ask(k, "/safe/x", NULL, &m);
    while (strcmp(m.replica->version, want)) {
        wp_flow_left(f, k->now);
        wp_flow_free(f);
        f = fake_ask(k, "/safe/x", NULL, &m);
    }
    k->now.mono_us += ms * WP_US_PER_MS;
    wp_flow_answer(f, k->now, &a, &m);
    wp_flow_done(f, k->now, 0);
    wp_flow_free(f);
}

static WPShift *order_plain(Fake *k)
{
    WPShiftOrder o = { "app", "v2", DURATION_MS, 10 };
    WPShift *sh = wp_shifts_add_order(k->d.shifts, k->now, &o);
    sh->duration_ms = LONG_MS;
    wp_shift_merge_elapsed(sh, k->now, 0);
    fake_put(k, "b1", "app", "v2", false);
    fake_put(k, "b2", "app", "v2", false);
    return sh;
}

/* A plain service has few places, of which some are always taken: its times
   count all the same. Half of a slow version's answers are slow. */
static void a_plain_service_is_slow_when_some_answers_are_far_off(void **state)
{
    static const int times[] = { 40, 50, 60, 70, 90 };
    Fake k;
    (void)state;
    for (int slow = 0; slow < 2; slow++) {
        fake_init(&k);
        WPShift *sh = order_plain(&k);
        fake_pass(&k, LEAD_MS);
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

/* Another endpoint was asked because this one did not answer: that it was slow
   must not be lost with its answer. */
static void an_answer_that_was_not_waited_for_is_slow(void **state)
{
    Fake k;
    WPMove m;
    (void)state;
    fake_init(&k);
    WPShift *sh = order_plain(&k);
    fake_pass(&k, LEAD_MS);
    for (int i = 0; i < 40; i++)
        serve_plain(&k, "v1", 60);
    WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
    while (strcmp(m.replica->version, "v2")) {
        wp_flow_left(f, k.now);
        wp_flow_free(f);
        f = fake_ask(&k, "/safe/x", NULL, &m);
    }
    k.now.mono_us += 400 * WP_US_PER_MS;
    assert_true(wp_flow_impatient(f, k.now, &m));
    assert_int_equal(wp_canary_own_sums(&sh->canary).ratio_slow, 1);
    wp_flow_left(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* Two slow answers of three are too few to undo a move, and a doubt. */
static void few_far_answers_are_a_doubt(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order_plain(&k);
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

TESTS_MAIN(T(a_steady_pace_is_compared_by_far),
           T(few_failures_tell_where_none_were_expected),
           T(a_box_takes_anothers_word_that_a_version_is_bad),
           T(a_plain_service_is_slow_when_some_answers_are_far_off),
           T(an_answer_that_was_not_waited_for_is_slow),
           T(few_far_answers_are_a_doubt), T(a_bad_version_is_found_and_left),
           T(a_version_is_bad_when_it_is_slow_or_on_one_route),
           T(a_good_version_is_not_blamed),
           T(a_version_is_bad_when_its_events_come_slowly),
           T(a_version_is_bad_when_loaded_replicas_fail),
           T(a_loaded_replica_may_be_slow),
           T(a_version_is_bad_when_few_fail_where_none_did),
           T(a_version_is_bad_when_it_is_never_fast),
           T(one_slow_replica_is_not_the_versions_fault),
           T(what_ran_before_the_order_tells_of_the_old_version),
           T(what_a_box_told_outlives_it),
           T(a_version_whose_times_are_not_known_is_doubtful),
           T(a_version_is_not_slow_because_it_fills),
           T(boxes_find_a_bad_version_together))
