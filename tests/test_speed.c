/* Versions that answer slower: how they are told from good ones by the times of
 * their answers, at any number of boxes. */
#include "power_sim.h"
#include "shift_fake.h"
#include "wp_sync_int.h"

enum { PLAYS = 100, SHIFT_MS = 20000 };

/* Of PLAYS orders of 10 s: those at whose end the version is found bad, and
   those at whose end it would be completed. */
static void play(const PowerSite *site, const PowerVersion *version,
                 unsigned *found, unsigned *completed)
{
    GRand *rand = g_rand_new_with_seed(7);
    *found = *completed = 0;
    for (unsigned i = 0; i < PLAYS; i++) {
        PowerResult r = power_play(site, version, 10, rand);
        *found += r.bad;
        *completed += !r.bad && !r.in_doubt;
    }
    g_rand_free(rand);
}

/* Guards against boxes that know too little each: the counts of all of them are
   added. */
static void slow_versions_are_found_at_any_number_of_boxes(void **state)
{
    static const PowerVersion versions[] = { { 2.5, 0.3 }, { 3, 0.5 },
                                             { 4, 0.3 },   { 8, 0.3 },
                                             { 2.5, 1 },   { 8, 1 } };
    static const unsigned boxes[] = { 3, 16, 60 };
    (void)state;
    for (size_t b = 0; b < WP_COUNT(boxes); b++) {
        const PowerSite site = { boxes[b], 200, 0.04, 0.15, 5 };
        for (size_t i = 0; i < WP_COUNT(versions); i++) {
            unsigned found, completed;
            play(&site, &versions[i], &found, &completed);
            assert_in_range(found, PLAYS * 95 / 100, PLAYS);
            assert_int_equal(completed, 0);
        }
    }
}

/* Guards against a version of a plain service, whose times vary much, that is
   completed on a few answers. */
static void slow_plain_versions_are_not_completed(void **state)
{
    const PowerSite site = { 3, 60, 0.04, 0.5, 5 };
    static const PowerVersion versions[] = { { 3, 0.5 }, { 4, 0.5 }, { 8, 1 } };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(versions); i++) {
        unsigned found, completed;
        play(&site, &versions[i], &found, &completed);
        assert_in_range(completed, 0, PLAYS / 100);
    }
}

static void good_versions_are_neither_found_bad_nor_held_back(void **state)
{
    static const PowerSite sites[] = { { 3, 100, 0.04, 0.15, 3 },
                                       { 60, 400, 0.04, 0.15, 3 },
                                       { 3, 200, 0.04, 0.5, 3 } };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sites); i++) {
        unsigned found, completed;
        play(&sites[i], &(PowerVersion){ 1, 1 }, &found, &completed);
        assert_int_equal(found, 0);
        assert_in_range(completed, PLAYS * 97 / 100, PLAYS);
    }
}

static void one_long_answer_decides_nothing(void **state)
{
    WPSpeedCounts old = { 0 }, v = { 0 };
    (void)state;
    for (int i = 0; i < WP_SPEED_MIN_OLD - 1; i++)
        wp_speed_record(&old, 1);
    for (int i = 0; i < 30; i++)
        wp_speed_record(&v, 8);
    assert_false(wp_speed_compare(&v, &old).known);
    for (int i = 0; i < 300; i++)
        wp_speed_record(&old, i % 3 ? 1 : 1.1);
    assert_true(wp_speed_compare(&v, &old).log_odds > 50);
    WPSpeedCounts one = { 0 };
    for (int i = 0; i < 10; i++)
        wp_speed_record(&one, 1);
    wp_speed_record(&one, 1000);
    assert_true(wp_speed_compare(&one, &old).log_odds < 6);
}

/* Any factor from 1.5 on, where the old version's times hardly vary. */
static void slowdown_between_two_hypotheses_is_not_found(void **state)
{
    WPSpeedCounts old = { 0 };
    (void)state;
    for (int i = 0; i < 300; i++)
        wp_speed_record(&old, 1);
    for (double slowdown = 1.5; slowdown < 12; slowdown *= 1.02) {
        WPSpeedCounts v = { 0 };
        for (int i = 0; i < 20; i++)
            wp_speed_record(&v, slowdown);
        if (wp_speed_compare(&v, &old).log_odds < 6)
            fail_msg("%.2f times as slow", slowdown);
    }
}

/* Serves one request at an endpoint of the version that runs `running` others;
   after each event, the time passes that `gaps_us` names. */
static void serve_gaps(Fake *k, const char *version, unsigned running,
                       unsigned events, const int64_t *gaps_us)
{
    WPFlowAction m;
    WPHeadChanges changes;
    WPDirectAnswer a = fake_answer(200, 90);
    WPFlow *f = fake_ask(k, "/chat/x", NULL, &m);
    while (strcmp(m.replica->version, version)) {
        wp_flow_on_caller_gone(f, k->now);
        wp_flow_free(f);
        f = fake_ask(k, "/chat/x", NULL, &m);
    }
    a.load_status = WP_NOTICE_PRESENT;
    a.load.running = running;
    a.load.slots = 8;
    wp_flow_on_head(f, k->now, &a, &changes);
    wp_flow_on_answer(f, k->now, &a, &m);
    for (uint64_t i = 1; i <= events; i++) {
        wp_flow_on_events(f, k->now, i);
        k->now.mono_us += gaps_us[i - 1];
    }
    wp_flow_on_done(f, k->now, events);
    wp_flow_free(f);
}

enum { EVENTS_MAX = 8 };

/* The same with events `gap_ms` apart. */
static void serve(Fake *k, const char *version, unsigned running,
                  unsigned events, int gap_ms)
{
    int64_t gaps_us[EVENTS_MAX];
    for (unsigned i = 0; i < events; i++)
        gaps_us[i] = gap_ms * WP_US_PER_MS;
    serve_gaps(k, version, running, events, gaps_us);
}

/* A shift that does not end by its time while a test runs. */
static WPShift *start_long_shift(Fake *k)
{
    fake_init(k);
    WPShift *sh = start_shift(k);
    sh->duration_ms = SHIFT_MS * 100;
    fake_advance(k, LEAD_MS);
    return sh;
}

/* Guards against a slower version that waits in the last stage, where it gets
   all requests, and is not rolled back. */
static void slower_version_is_kept_in_the_last_stage(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    for (int n = 0; n < 300; n++)
        wp_shift_record_speed(sh, "v1", "l1", n % 3 ? 1 : 1.1);
    for (int n = 0; n < 60; n++)
        wp_shift_record_speed(sh, "v2", n % 2 ? "n1" : "n2", 1.4);
    assert_true(wp_canary_in_doubt(&sh->canary));
    assert_true(wp_canary_is_bad(&sh->canary, false, NULL));
    fake_end(&k);
}

/* Guards against a version 1.2 times slower that looks as fast as the old one:
   its endpoints are idle, and those of the old version hardly ever are. */
static void slower_idle_endpoints_are_compared_with_busy_ones(void **state)
{
    static const struct {
        int gap_ms;
        bool slower;
    } cases[] = { { 22, false }, { 27, true } };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++) {
        Fake k;
        WPShift *sh = start_long_shift(&k);
        for (int n = 0; n < 60; n++)
            serve(&k, "v1", n % 20 ? 5 : 0, 5, n % 20 ? 27 + n % 3 : 22);
        for (int n = 0; n < 14; n++)
            serve(&k, "v2", 0, 5, cases[i].gap_ms);
        assert_int_equal(wp_canary_in_doubt(&sh->canary), cases[i].slower);
        fake_end(&k);
    }
}

/* Guards against a version all of whose answers are slow and which is completed
   as hardly any of them could be compared: its answers have few events, and the
   old version's endpoints are busy. */
static void a_slow_version_is_found_beside_busy_endpoints(void **state)
{
    static const struct {
        int gap_ms;
        bool bad;
    } cases[] = { { 20, false }, { 160, true } };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++) {
        Fake k;
        WPShift *sh = start_long_shift(&k);
        for (int n = 0; n < 60; n++)
            serve(&k, "v1", 5, 3, 30 + n % 5);
        for (int n = 0; n < 12; n++)
            serve(&k, "v2", 1, 3, cases[i].gap_ms);
        assert_int_equal(wp_canary_is_bad(&sh->canary, true, NULL),
                         cases[i].bad);
        assert_int_equal(wp_canary_in_doubt(&sh->canary), cases[i].bad);
        fake_end(&k);
    }
}

/* The network holds back events of half of the old version's streams. */
static void good_version_is_slow_beside_events_that_come_together(void **state)
{
    static const int64_t even_us[] = { 12000, 12000, 12000, 12000, 0 };
    static const int64_t held_us[] = { 43400, 20, 15, 4600, 0 };
    static const int64_t slow_us[] = { 60000, 60000, 60000, 60000, 0 };
    (void)state;
    for (int slow = 0; slow < 2; slow++) {
        Fake k;
        WPShift *sh = start_long_shift(&k);
        for (int n = 0; n < 100; n++)
            serve_gaps(&k, "v1", 3, 5, n % 2 ? even_us : held_us);
        for (int n = 0; n < 20; n++)
            serve_gaps(&k, "v2", 1, 5, slow ? slow_us : even_us);
        assert_int_equal(wp_canary_is_bad(&sh->canary, true, NULL), slow);
        assert_int_equal(wp_canary_is_bad(&sh->canary, true, NULL), slow);
        assert_int_equal(wp_canary_in_doubt(&sh->canary), slow);
        fake_end(&k);
    }
}

/* Begins with the chart that is shipped. */
static void init_shipped(Fake *k)
{
    g_autofree char *text = NULL;
    assert_true(g_file_get_contents("charts/shift.yaml", &text, NULL, NULL));
    fake_init_chart(k, text);
}

static void record_speeds(WPShift *sh, const char *version, unsigned n,
                          double ratio)
{
    for (unsigned i = 0; i < n; i++)
        wp_shift_record_speed(sh, version, i % 2 ? "n1" : "n2", ratio);
}

/* Guards against one box that knows of few answers and opens the gate for all,
   while the others know of slow ones. */
static void doubt_of_another_box_keeps_the_gate_closed(void **state)
{
    Fake k;
    (void)state;
    init_shipped(&k);
    WPShift *sh = start_shift(&k);
    for (int i = 0; i < SHIFT_MS / LOOK_MS; i++) {
        wp_shift_merge_doubt(sh, k.now, "e2", true);
        poll_for(&k, sh, LOOK_MS);
    }
    assert_false(sh->gate_passed);
    poll_for(&k, sh, LEAD_MS);
    assert_true(sh->gate_passed);
    fake_end(&k);
}

/* A box may know of failures some tens of milliseconds before the others. */
static void
doubt_of_another_box_does_not_keep_a_shift_from_its_end(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    for (int i = 0; i < 2 * SHIFT_MS / LOOK_MS; i++) {
        wp_shift_merge_doubt(sh, k.now, "e2", true);
        wp_shift_merge_doubt(sh, k.now, "e3", false);
        assert_int_equal(poll_for(&k, sh, LOOK_MS), WP_SHIFT_RUNNING);
    }
    /* The box takes its doubt back. */
    wp_shift_merge_doubt(sh, k.now, "e2", false);
    assert_int_equal(poll_for(&k, sh, LOOK_MS), WP_SHIFT_DONE);
    fake_end(&k);
}

/* Guards against an order that is completed at the end of its time although the
   answers cannot tell a slow version from a good one. */
static void too_few_answers_keep_the_gate_closed(void **state)
{
    Fake k;
    (void)state;
    init_shipped(&k);
    WPShift *sh = start_shift(&k);
    record_speeds(sh, "v1", 100, 1);
    record_speeds(sh, "v1", 30, 2.5);
    record_speeds(sh, "v2", 1, 1);
    poll_for(&k, sh, SHIFT_MS);
    assert_false(sh->gate_passed);
    record_speeds(sh, "v2", 20, 1);
    poll_for(&k, sh, LEAD_MS);
    assert_true(sh->gate_passed);
    fake_end(&k);
}

/* Guards against a version that is kept although the answers of the last stage,
   which are many more than those before it, show that it is slower: the old
   endpoints would stop at once. */
static void slower_answers_of_the_last_stage_are_not_seen(void **state)
{
    Fake k;
    (void)state;
    init_shipped(&k);
    WPShift *sh = start_shift(&k);
    record_speeds(sh, "v1", 100, 1);
    record_speeds(sh, "v2", 20, 1);
    while (!sh->gate_passed)
        assert_int_equal(poll_for(&k, sh, LOOK_MS), WP_SHIFT_RUNNING);
    record_speeds(sh, "v2", 4, 2.5);
    assert_int_equal(poll_for(&k, sh, SHIFT_MS), WP_SHIFT_RUNNING);
    assert_non_null(sh->wait_reason);
    /* More answers decide. */
    record_speeds(sh, "v2", 200, 1);
    assert_int_equal(poll_for(&k, sh, LEAD_MS), WP_SHIFT_DONE);
    fake_end(&k);
}

/* Guards against counts that reach only the boxes with a link to the one that
   counted. */
static void counts_of_other_boxes_are_sent_on_once(void **state)
{
    WPCanary c;
    const WPCanaryReport *out[4];
    WPCanarySums sums = { .answered = 3 };
    (void)state;
    wp_canary_init(&c);
    wp_canary_merge_report(&c, "b1", 7, &sums);
    wp_canary_merge_report(&c, "b2", 7, &sums);
    assert_int_equal(wp_canary_take_unsent(&c, out, 1), 1);
    assert_int_equal(wp_canary_take_unsent(&c, out, 4), 1);
    assert_int_equal(wp_canary_take_unsent(&c, out, 4), 0);
    wp_canary_merge_report(&c, "b1", 7, &sums); /* heard by another way */
    assert_int_equal(wp_canary_take_unsent(&c, out, 4), 0);
    sums.answered = 4;
    wp_canary_merge_report(&c, "b1", 7, &sums);
    assert_int_equal(wp_canary_take_unsent(&c, out, 4), 1);
    assert_string_equal(out[0]->box, "b1");
    assert_int_equal(wp_canary_pooled_sums(&c).answered, 7);
    wp_canary_end(&c);
}

/* Guards against times that are known to the box alone that measured them. */
static void times_of_all_boxes_are_added(void **state)
{
    Fake k;
    WPShiftSums wire;
    WPCanarySums sums = { .answered = 40 };
    (void)state;
    init_shipped(&k);
    WPShift *sh = start_shift(&k);
    for (int i = 0; i < 60; i++)
        wp_speed_record(&sums.old_speed, 1);
    for (int i = 0; i < 12; i++)
        wp_speed_record(&sums.speed, 4);
    sums.timed_replicas = sums.slow_replicas = 6;
    wp_shift_sums_encode(sh, 7, &sums, &wire);
    WPCanarySums told = wp_shift_sums_decode(&wire.message);
    assert_memory_equal(&told.speed, &sums.speed, sizeof(sums.speed));
    assert_memory_equal(&told.old_speed, &sums.old_speed,
                        sizeof(sums.old_speed));
    assert_false(wp_canary_is_bad(&sh->canary, true, NULL));
    wp_canary_merge_report(&sh->canary, "b1", 7, &told);
    assert_true(wp_canary_is_bad(&sh->canary, true, NULL));
    fake_end(&k);
}

TESTS_MAIN(T(slowdown_between_two_hypotheses_is_not_found),
           T(good_version_is_slow_beside_events_that_come_together),
           T(slow_versions_are_found_at_any_number_of_boxes),
           T(slow_plain_versions_are_not_completed),
           T(good_versions_are_neither_found_bad_nor_held_back),
           T(one_long_answer_decides_nothing),
           T(a_slow_version_is_found_beside_busy_endpoints),
           T(slower_version_is_kept_in_the_last_stage),
           T(slower_idle_endpoints_are_compared_with_busy_ones),
           T(doubt_of_another_box_does_not_keep_a_shift_from_its_end),
           T(doubt_of_another_box_keeps_the_gate_closed),
           T(too_few_answers_keep_the_gate_closed),
           T(slower_answers_of_the_last_stage_are_not_seen),
           T(counts_of_other_boxes_are_sent_on_once),
           T(times_of_all_boxes_are_added))
