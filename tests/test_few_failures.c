/* Versions that fail few of their requests, or only those of one route. */
#include "shift_fake.h"
#include "wp_shift_view.h"

static const char *const routes[] = { "a", "b", "c" };

/* Records answers whose times show nothing. */
static void record(WPShift *sh, const char *version, const char *replica,
                   const char *route, unsigned n, bool failed)
{
    const WPCanaryAnswer a = {
        .version = version, .replica = replica, .route = route, .failed = failed
    };
    for (unsigned i = 0; i < n; i++)
        wp_shift_record_answer(sh, &a);
}

/* Records answers of all routes without a failure, with times. */
static void record_sound_answers(WPShift *sh, unsigned old, unsigned new)
{
    for (size_t i = 0; i < WP_COUNT(routes); i++) {
        record(sh, "v1", "l1", routes[i], old, false);
        record(sh, "v2", "n1", routes[i], new, false);
    }
    record_timed_answers(sh, "v1", "l1", 0.2, 25, 50, 25);
    record_timed_answers(sh, "v2", "n1", 0.02, 10, 0, 0);
}

/* Two of 83 answers failed, of one route, and none of the old version's. */
static void two_failures_among_many_sound_answers_complete_a_shift(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_sound_answers(sh, 526, 27);
    record(sh, "v2", "n1", "b", 1, true);
    record(sh, "v2", "n2", "b", 1, true);
    assert_int_equal(poll_for(&k, sh, 2 * DURATION_MS), WP_SHIFT_RUNNING);
    fake_end(&k);
}

/* The more is known of a version that fails, the surer it is that it does. */
static void
more_answers_make_a_version_that_fails_little_look_sound(void **state)
{
    (void)state;
    for (unsigned times = 1; times <= 4; times *= 2) {
        Fake k;
        fake_init(&k);
        WPShift *sh = start_shift(&k);
        record_sound_answers(sh, 400 * times, 50 * times);
        for (unsigned i = 0; i < 3 * times; i++)
            record(sh, "v2", i % 2 ? "n1" : "n2", routes[i % WP_COUNT(routes)],
                   1, true);
        assert_int_not_equal(poll_for(&k, sh, 2 * DURATION_MS), WP_SHIFT_DONE);
        fake_end(&k);
    }
}

/* A version that fails on one route is found by this route's answers. */
static void sound_answers_of_other_routes_outweigh_failures(void **state)
{
    (void)state;
    for (unsigned sound = 50; sound <= 800; sound *= 2) {
        Fake k;
        fake_init(&k);
        WPShift *sh = start_shift(&k);
        record_sound_answers(sh, 400, 5);
        record(sh, "v2", "n1", "a", sound, false);
        record(sh, "v2", "n1", "b", 19, false);
        record(sh, "v2", "n1", "b", 1, true);
        record(sh, "v2", "n2", "b", 1, true);
        assert_int_not_equal(poll_for(&k, sh, 2 * DURATION_MS), WP_SHIFT_DONE);
        fake_end(&k);
    }
}

/* A good version that failed once among many is completed. */
static void one_failure_among_many_does_not_hold_a_shift(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_sound_answers(sh, 400, 60);
    record(sh, "v2", "n1", "a", 1, true);
    assert_int_equal(poll_for(&k, sh, 2 * DURATION_MS), WP_SHIFT_DONE);
    fake_end(&k);
}

static double number_of(const json_t *o, const char *name)
{
    return json_number_value(json_object_get(o, name));
}

/* Operators see why a shift waits, and for how many answers. */
static void view_tells_how_many_answers_are_needed(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    record_sound_answers(sh, 400, 20);
    record(sh, "v2", "n1", "b", 1, true);
    record(sh, "v2", "n2", "b", 1, true);
    poll_for(&k, sh, DURATION_MS);
    json_t *view = wp_shift_view(k.d.shifts, k.now);
    const json_t *order = json_array_get(json_object_get(view, "orders"), 0);
    const json_t *odds = json_object_get(order, "odds");
    assert_string_equal(json_string_value(json_object_get(order, "service")),
                        "llm");
    assert_true(json_is_string(json_object_get(order, "waits")));
    assert_int_equal((int)number_of(order, "failed"), 2);
    assert_true(number_of(odds, "fails") > 0.5);
    assert_true(number_of(odds, "fails_on_route") >
                number_of(odds, "fails_everywhere"));
    unsigned needed = (unsigned)number_of(order, "needed");
    assert_in_range(needed, 10, 10000);
    for (size_t i = 0; i < WP_COUNT(routes); i++)
        record(sh, "v2", "n1", routes[i], needed / 2, false);
    assert_int_equal(poll_for(&k, sh, DURATION_MS), WP_SHIFT_DONE);
    json_decref(view);
    fake_end(&k);
}

/* Polls a shift of the shipped chart until `part` of the order's duration. */
static WPShiftState poll_until(Fake *k, WPShift *sh, double part)
{
    int64_t ms = (int64_t)(part * DURATION_MS);
    return poll_for(k, sh, ms - wp_elapsed_ms(&sh->elapsed, k->now));
}

/* The answers of the last stage come late in it. */
static void failures_late_in_the_last_stage_come_after_the_verdict(void **state)
{
    g_autofree char *chart = NULL;
    (void)state;
    assert_true(g_file_get_contents("charts/shift.yaml", &chart, NULL, NULL));
    for (int fails = 0; fails < 2; fails++) {
        Fake k;
        fake_init_chart(&k, chart);
        WPShift *sh = start_shift(&k);
        record_sound_answers(sh, 400, 30);
        assert_int_equal(poll_until(&k, sh, 0.95), WP_SHIFT_RUNNING);
        if (fails) {
            record(sh, "v2", "n1", "a", 1, true);
            record(sh, "v2", "n2", "b", 1, true);
        }
        assert_int_equal(poll_until(&k, sh, 0.97),
                         fails ? WP_SHIFT_RUNNING : WP_SHIFT_DONE);
        fake_end(&k);
    }
}

TESTS_MAIN(T(view_tells_how_many_answers_are_needed),
           T(failures_late_in_the_last_stage_come_after_the_verdict),
           T(two_failures_among_many_sound_answers_complete_a_shift),
           T(more_answers_make_a_version_that_fails_little_look_sound),
           T(sound_answers_of_other_routes_outweigh_failures),
           T(one_failure_among_many_does_not_hold_a_shift))
