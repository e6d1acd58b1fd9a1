/* Traffic shifts of plain services, whose requests are of no session. */
#include "shift_fake.h"

/* A shift of the plain service, with three endpoints of the new version. */
static WPShift *start_plain_shift(Fake *k, int64_t elapsed_ms)
{
    WPShiftOrder o = { "app", "v2", DURATION_MS, 10 };
    WPShift *sh = wp_shifts_add_order(k->d.shifts, k->now, &o);
    wp_shift_merge_elapsed(sh, k->now, elapsed_ms);
    fake_put(k, "n1", "app", "v2", false);
    fake_put(k, "n2", "app", "v2", false);
    fake_put(k, "n3", "app", "v2", false);
    return sh;
}

/* Begins requests until one is sent to the new version. */
static WPFlow *ask_new_version(Fake *k, WPFlowAction *m)
{
    for (;;) {
        WPFlow *f = fake_ask(k, "/safe/x", NULL, m);
        assert_int_equal(m->kind, WP_FLOW_SEND);
        if (!strcmp(m->replica->version, "v2"))
            return f;
        wp_flow_on_caller_gone(f, k->now);
        wp_flow_free(f);
    }
}

/* A version is not bad for requests that fail wherever they run. */
static void request_that_fails_on_both_versions_is_not_counted(void **state)
{
    const WPDirectAnswer failure = fake_answer(500, -1);
    (void)state;
    for (int fails_on_old = 0; fails_on_old < 2; fails_on_old++) {
        Fake k;
        WPFlowAction m;
        fake_init(&k);
        WPShift *sh = start_plain_shift(&k, LEAD_MS);
        for (int i = 0; i < 60; i++)
            fake_serve(&k, "/safe/x", &m);
        uint32_t answered = wp_canary_own_sums(&sh->canary).answered;
        WPFlow *f = ask_new_version(&k, &m);
        wp_flow_on_answer(f, k.now, &failure, &m);
        assert_int_equal(m.kind, WP_FLOW_SEND);
        assert_string_equal(m.replica->version, "v1");
        WPDirectAnswer second = fake_answer(fails_on_old ? 500 : 200, 90);
        wp_flow_on_answer(f, k.now, &second, &m);
        wp_flow_on_done(f, k.now, 0);
        wp_flow_free(f);
        WPCanarySums sums = wp_canary_own_sums(&sh->canary);
        assert_int_equal(sums.failed, !fails_on_old);
        assert_int_equal(sums.answered, answered + !fails_on_old);
        fake_end(&k);
    }
}

/* A failure that was compared with nothing counts. */
static void failure_without_a_second_answer_is_counted(void **state)
{
    const WPDirectAnswer failure = fake_answer(500, -1);
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_plain_shift(&k, LEAD_MS);
    WPFlow *f = ask_new_version(&k, &m);
    wp_flow_on_answer(f, k.now, &failure, &m);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    assert_int_equal(wp_canary_own_sums(&sh->canary).failed, 1);
    fake_end(&k);
}

/* Some endpoint of the new version is to be half full before the end. */
static void last_stage_fills_one_endpoint_after_the_other(void **state)
{
    Fake k;
    WPFlow *flows[8];
    const char *first = NULL;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_plain_shift(&k, DURATION_MS * 96 / 100);
    wp_shift_merge_gate_passed(sh);
    for (size_t i = 0; i < WP_COUNT(flows); i++) {
        WPFlowAction m;
        flows[i] = fake_ask(&k, "/safe/x", NULL, &m);
        assert_string_equal(m.replica->version, "v2");
        first = first ? first : m.replica->id;
        if (i < 5) /* of 8 places */
            assert_string_equal(m.replica->id, first);
        else
            assert_string_not_equal(m.replica->id, first);
    }
    for (size_t i = 0; i < WP_COUNT(flows); i++) {
        wp_flow_on_caller_gone(flows[i], k.now);
        wp_flow_free(flows[i]);
    }
    fake_end(&k);
}

/* Boxes know of failures at different moments, and any may complete. */
static void several_failures_take_more_good_answers_to_complete(void **state)
{
    (void)state;
    for (int many = 0; many < 2; many++) {
        Fake k;
        fake_init(&k);
        WPShift *sh = start_shift(&k);
        record_timed_answers(sh, "v1", "l1", 0.2, 25, 50, 25);
        record_timed_answers(sh, "v2", "n1", 0.02, 45, 0, 0);
        record_answers(sh, "v1", "l1", "chat", 100, 4, 0);
        record_answers(sh, "v2", "n1", "chat", 3, 3, 0);
        if (many)
            record_answers(sh, "v2", "n1", "chat", 14, 0, 0);
        assert_false(wp_canary_may_fail(&sh->canary));
        assert_int_equal(wp_canary_is_not_sound(&sh->canary), !many);
        assert_int_equal(poll_for(&k, sh, 2 * DURATION_MS),
                         many ? WP_SHIFT_DONE : WP_SHIFT_RUNNING);
        fake_end(&k);
    }
}

TESTS_MAIN(T(request_that_fails_on_both_versions_is_not_counted),
           T(failure_without_a_second_answer_is_counted),
           T(last_stage_fills_one_endpoint_after_the_other),
           T(several_failures_take_more_good_answers_to_complete))
