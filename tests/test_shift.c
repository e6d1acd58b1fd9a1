/* Moves of a service between versions of its endpoints. */
#include "shift_fake.h"
#include "wp_direct_int.h"

static void nothing_goes_to_a_version_before_its_order_is_recorded(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    sh->elapsed = (WPElapsed){ 0 };
    for (int i = 0; i < 100; i++)
        assert_string_equal(serve(&k, NULL), "v1");
    fake_end(&k);
}

static void a_first_share_goes_to_the_new_version(void **state)
{
    Fake k;
    unsigned fresh = 0;
    (void)state;
    fake_init(&k);
    order(&k);
    fake_pass(&k, LEAD_MS);
    for (int i = 0; i < 1000; i++)
        fresh += !strcmp(serve(&k, NULL), "v2");
    assert_in_range(fresh, 70, 130);
    fake_end(&k);
}

/* In the first half, a session that is on the old version stays there, though
   its place would be taken; also when only another box has served it. */
static void sessions_on_the_old_version_stay_in_the_first_half(void **state)
{
    Fake k;
    unsigned moved = 0;
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 300; i++) {
        g_autofree char *s = g_strdup_printf("s%d", i);
        serve(&k, s);
    }
    order(&k);
    fake_pass(&k, LEAD_MS);
    for (int i = 0; i < 300; i++) {
        g_autofree char *s = g_strdup_printf("s%d", i);
        moved += strcmp(serve(&k, s), "v1") != 0;
    }
    assert_int_equal(moved, 0);
    fake_end(&k);
}

/* Whether a box that knows nothing of the session sends it to the new version
   in the first stage. */
static bool in_reach(const char *session)
{
    return wp_direct_unit(wp_hash(wp_str(session), 0)) < 0.1;
}

/* Only of those that the move would take: nobody else would move the rest. */
static void other_boxes_learn_which_sessions_are_bound(void **state)
{
    Fake here, there;
    uint64_t bound[512], again[512];
    unsigned moved = 0, unseen = 0, n_reach = 0;
    g_autofree char *one = NULL;
    (void)state;
    fake_init(&here);
    fake_init(&there);
    for (int i = 0; i < 300; i++) {
        g_autofree char *s = g_strdup_printf("s%d", i);
        serve(&here, s);
        if (!in_reach(s))
            continue;
        n_reach++;
        g_free(one);
        one = g_strdup(s);
    }
    assert_in_range(n_reach, 10, 60);
    assert_int_equal(
        wp_direct_tell(&here.d, here.now, WP_TELL_BOUND, bound, 512), 0);
    order(&here);
    order(&there);
    size_t n = wp_direct_tell(&here.d, here.now, WP_TELL_BOUND, bound, 512);
    assert_int_equal(n, n_reach);
    /* Each is told once, and again only when it is used again. */
    assert_int_equal(
        wp_direct_tell(&here.d, here.now, WP_TELL_BOUND, bound, 512), 0);
    serve(&here, one);
    assert_int_equal(
        wp_direct_tell(&here.d, here.now, WP_TELL_BOUND, again, 512), 1);
    for (size_t i = 0; i < n; i++)
        wp_direct_hear(&there.d, there.now, WP_TELL_BOUND, bound[i]);
    /* What was heard of is told on to boxes further away, once: not again when
       it comes back from them. */
    assert_int_equal(
        wp_direct_tell(&there.d, there.now, WP_TELL_BOUND, again, 512),
        n_reach);
    for (size_t i = 0; i < n; i++)
        wp_direct_hear(&there.d, there.now, WP_TELL_BOUND, bound[i]);
    assert_int_equal(
        wp_direct_tell(&there.d, there.now, WP_TELL_BOUND, again, 512), 0);
    fake_pass(&there, LEAD_MS);
    for (int i = 0; i < 300; i++) {
        g_autofree char *s = g_strdup_printf("s%d", i);
        g_autofree char *t = g_strdup_printf("t%d", i);
        moved += strcmp(serve(&there, s), "v1") != 0;
        unseen += strcmp(serve(&there, t), "v1") != 0;
    }
    assert_int_equal(moved, 0);
    assert_true(unseen > 0); /* new sessions still go to the new version */
    fake_end(&here);
    fake_end(&there);
}

/* A session that one box has moved goes on where it is at the others too. */
static void other_boxes_learn_which_sessions_have_moved(void **state)
{
    Fake here, there;
    uint64_t told[512];
    unsigned n_new = 0;
    (void)state;
    fake_init(&here);
    fake_init(&there);
    order(&here);
    order(&there);
    fake_pass(&here, LEAD_MS);
    fake_pass(&there, LEAD_MS);
    /* One whose place alone would leave it on the old version. */
    g_autofree char *s = NULL;
    for (int i = 0; !s; i++) {
        char *name = g_strdup_printf("m%d", i);
        if (wp_direct_unit(wp_hash(wp_str(name), 0)) > 0.5)
            s = name;
        else
            g_free(name);
    }
    uint64_t id = wp_hash(wp_str(s), 0);
    wp_direct_session_on(&here.d, here.now, id, "v2");
    size_t n = wp_direct_tell(&here.d, here.now, WP_TELL_MOVED, told, 512);
    assert_int_equal(n, 1);
    wp_direct_hear(&there.d, there.now, WP_TELL_MOVED, told[0]);
    for (int i = 0; i < 20; i++)
        n_new += !strcmp(serve(&there, s), "v2");
    assert_int_equal(n_new, 20);
    fake_end(&here);
    fake_end(&there);
}

/* A session's second request may come before its first is answered. */
static void a_session_is_bound_from_its_first_sending(void **state)
{
    Fake k;
    WPMove m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", "s", &m);
    assert_string_equal(wp_fleet_find(k.d.fleet, m.replica->id)->version, "v1");
    order(&k);
    fake_pass(&k, LEAD_MS);
    for (int i = 0; i < 50; i++)
        assert_string_equal(serve(&k, "s"), "v1");
    wp_flow_left(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* An answer may take longer than sessions bind: they bind from its end. */
static void a_session_binds_from_the_end_of_a_request(void **state)
{
    Fake k;
    WPMove m;
    WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", "s", &m);
    wp_flow_answer(f, k.now, &a, &m);
    order(&k);
    fake_pass(&k, 8000);
    wp_flow_done(f, k.now, 0);
    wp_flow_free(f);
    fake_pass(&k, 1000);
    assert_string_equal(serve(&k, "s"), "v1");
    fake_end(&k);
}

static void once_moved_a_session_does_not_go_back(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    order(&k);
    fake_pass(&k, DURATION_MS * 6 / 10);
    assert_string_equal(serve(&k, "s"), "v2");
    /* Another box may have heard later that the move began. */
    wp_shifts_find(k.d.shifts, "llm")->elapsed.start_us +=
        DURATION_MS * 2 / 10 * WP_US_PER_MS;
    assert_string_equal(serve(&k, "s"), "v2");
    fake_end(&k);
}

static void a_move_ends_in_time_when_nothing_is_wrong(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = order(&k);
    assert_int_equal(look_on(&k, sh, DURATION_MS * 8 / 10), WP_SHIFT_RUNNING);
    assert_int_equal(look_on(&k, sh, DURATION_MS * 11 / 100), WP_SHIFT_DONE);
    outcome(&k, "v2", 12, WP_SHIFT_DONE);
    for (int i = 0; i < 50; i++)
        assert_string_equal(serve(&k, NULL), "v2");
    fake_end(&k);
}

/* The chart that is shipped, at the middle of each hundredth of an order. */
static void a_new_version_gets_few_requests_by_the_orders_time(void **state)
{
    static const char path[] = "charts/shift.yaml";
    enum { STEPS = 100 };
    const double most = 0.15; /* of the requests, by the platform's rule */
    g_autofree char *text = NULL;
    gsize n;
    double share = 0, last = 0;
    Fake k;
    (void)state;
    assert_true(g_file_get_contents(path, &text, &n, NULL));
    fake_init_chart(&k, text);
    WPShift *sh = order(&k);
    wp_shift_merge_gate_passed(sh);
    bool done = false;
    for (int i = 0; i < STEPS; i++) {
        done = done || look_on(&k, sh, DURATION_MS / STEPS) == WP_SHIFT_DONE;
        double now = done ? 1 : wp_shift_stage(k.d.shifts, sh, k.now)->share;
        assert_true(now >= last); /* a session never goes back */
        /* An order's time may be found over a little early. */
        assert_true(done || i < STEPS * 97 / 100);
        share += now / STEPS;
        last = now;
    }
    assert_true(share < most);
    assert_true(last == 1);
    fake_end(&k);
}

#define GATED_CHART                                                            \
    "name: shift\ninitial: canary\nstates:\n"                                  \
    "  - {name: canary, share: 0.1, dwell_part: 0.8, on: [{event: next, to: "  \
    "full}, {event: bad, to: undone}]}\n"                                      \
    "  - {name: full, share: 1, gate: evidence, dwell_part: 0.1, on: "         \
    "[{event: "                                                                \
    "next, to: done}, {event: bad, to: undone}]}\n"                            \
    "  - {name: done, share: 1, final: true}\n"                                \
    "  - {name: undone, share: 0, final: true}\n"

/* Doubt holds the last stage back, and the end with it; once it is passed, here
   or at another box, it stays so. */
static void a_doubtful_version_does_not_get_all(void **state)
{
    Fake k;
    g_autofree char *why = NULL;
    (void)state;
    fake_init_chart(&k, GATED_CHART);
    WPShift *sh = order(&k);
    feed_times(sh, "v1", "l1", 0.2, 25, 50, 25);
    feed_times(sh, "v2", "n1", 0.02, 0, 1, 1); /* slow, but too few to tell */
    assert_int_equal(look_on(&k, sh, DURATION_MS), WP_SHIFT_RUNNING);
    assert_string_equal(sh->stage, "canary");
    assert_false(wp_shift_routes_to_new(k.d.shifts, sh, k.now, 0.5, NULL));
    feed_times(sh, "v2", "n1", 0.02, 3, 0, 0);
    assert_true(wp_shift_advance(k.d.shifts, sh, k.now, &why));
    assert_string_equal(sh->stage, "full");
    assert_non_null(strstr(why, "3 fast"));
    feed_times(sh, "v2", "n1", 0.02, 0, 5, 5);
    assert_true(wp_shift_routes_to_new(k.d.shifts, sh, k.now, 0.5, NULL));
    /* The last stage still lasts its time. */
    assert_int_equal(look_on(&k, sh, DURATION_MS / 20), WP_SHIFT_RUNNING);
    assert_int_equal(look_on(&k, sh, DURATION_MS / 20), WP_SHIFT_DONE);
    fake_end(&k);

    fake_init_chart(&k, GATED_CHART);
    sh = order(&k);
    feed_times(sh, "v1", "l1", 0.2, 25, 50, 25);
    feed_times(sh, "v2", "n1", 0.02, 0, 1, 1);
    fake_pass(&k, DURATION_MS * 85 / 100);
    assert_false(wp_shift_routes_to_new(k.d.shifts, sh, k.now, 0.5, NULL));
    wp_shift_merge_gate_passed(sh);
    assert_true(wp_shift_routes_to_new(k.d.shifts, sh, k.now, 0.5, NULL));
    fake_end(&k);
}

/* Sessions that have moved are told of as long as some have not. */
static void moved_sessions_are_told_of_until_all_have_moved(void **state)
{
    Fake k;
    uint64_t told[8];
    (void)state;
    fake_init_chart(&k, GATED_CHART);
    WPShift *sh = order(&k);
    fake_pass(&k, DURATION_MS * 7 / 10);
    uint64_t far = 1, near = 1; /* outside and inside of the share */
    while (wp_direct_unit(far) < 0.1)
        far++;
    while (wp_direct_unit(near) >= 0.1)
        near++;
    wp_direct_session_on(&k.d, k.now, far, "v2");
    wp_direct_session_on(&k.d, k.now, near, "v2");
    wp_direct_session_on(&k.d, k.now, far + 1, "v1");
    assert_int_equal(wp_direct_tell(&k.d, k.now, WP_TELL_BOUND, told, 8), 0);
    assert_int_equal(wp_direct_tell(&k.d, k.now, WP_TELL_MOVED, told, 8), 1);
    assert_int_equal(told[0], far);
    wp_shift_merge_gate_passed(sh);
    fake_pass(&k, DURATION_MS * 15 / 100);
    wp_direct_session_on(&k.d, k.now, far, "v2");
    assert_int_equal(wp_direct_tell(&k.d, k.now, WP_TELL_MOVED, told, 8), 0);
    fake_end(&k);
}

static void an_old_order_changes_nothing(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    order(&k);
    WPShiftOrder old = { "llm", "v0", DURATION_MS, 9 };
    assert_null(wp_shifts_add_order(k.d.shifts, k.now, &old));
    WPShiftOrder next = { "llm", "v3", DURATION_MS, 11 };
    assert_non_null(wp_shifts_add_order(k.d.shifts, k.now, &next));
    /* A record of the order before does not end this one. */
    outcome(&k, "v2", 12, WP_SHIFT_DONE);
    assert_int_equal(wp_shifts_find(k.d.shifts, "llm")->state,
                     WP_SHIFT_RUNNING);
    fake_end(&k);
}

/* Endpoints of a version that was found bad are still there when the next order
   comes: they are not the old version's. */
static void a_version_that_was_undone_stays_out_at_the_next_order(void **state)
{
    const WPShiftOrder next = { "llm", "v3", DURATION_MS, 20 };
    Fake k;
    (void)state;
    fake_init(&k);
    order(&k);
    outcome(&k, "v2", 12, WP_SHIFT_ROLLED_BACK);
    WPShift *sh = wp_shifts_add_order(k.d.shifts, k.now, &next);
    wp_shift_merge_elapsed(sh, k.now, 0);
    fake_put(&k, "m1", "llm", "v3", false);
    for (int i = 0; i < 200; i++) {
        g_autofree char *session = g_strdup_printf("s%d", i);
        assert_string_not_equal(serve(&k, session), "v2");
        fake_pass(&k, 90);
    }
    /* An order for it again: it may have been mended. */
    const WPShiftOrder again = { "llm", "v2", DURATION_MS, 30 };
    sh = wp_shifts_add_order(k.d.shifts, k.now, &again);
    assert_true(wp_shift_allows(sh, "v2"));
    fake_end(&k);
}

/* A move was done, and the next order comes while endpoints of the version that
   was left are still listed: sessions go on where they are, or to the newest.
 */
static void a_version_that_was_left_stays_out_at_the_next_order(void **state)
{
    const WPShiftOrder next = { "llm", "v3", DURATION_MS, 20 };
    Fake k;
    (void)state;
    fake_init(&k);
    order(&k);
    outcome(&k, "v2", 12, WP_SHIFT_DONE);
    for (int i = 0; i < 100; i++) {
        g_autofree char *session = g_strdup_printf("s%d", i);
        assert_string_equal(serve(&k, session), "v2");
    }
    WPShift *sh = wp_shifts_add_order(k.d.shifts, k.now, &next);
    for (int i = 0; i < 200; i++) {
        g_autofree char *session = g_strdup_printf("s%d", i);
        assert_string_equal(serve(&k, session), "v2");
    }
    /* Nor does it come back with an order after one that was undone. */
    outcome(&k, "v3", 22, WP_SHIFT_ROLLED_BACK);
    assert_int_equal(sh->state, WP_SHIFT_ROLLED_BACK);
    const WPShiftOrder third = { "llm", "v4", DURATION_MS, 30 };
    sh = wp_shifts_add_order(k.d.shifts, k.now, &third);
    assert_false(wp_shift_allows(sh, "v1"));
    assert_true(wp_shift_allows(sh, "v2"));
    fake_end(&k);
}

/* The next order comes while sessions are bound to the version that the move
   before has left: they come back when they are free. */
static void a_session_of_a_left_version_waits_until_it_is_free(void **state)
{
    const WPShiftOrder next = { "llm", "v3", DURATION_MS, 20 };
    Fake k;
    WPMove m;
    (void)state;
    fake_init(&k);
    order(&k);
    assert_string_equal(serve(&k, "s"), "v1");
    assert_string_equal(serve(&k, "t"), "v1");
    fake_pass(&k, 1000);
    outcome(&k, "v2", 12, WP_SHIFT_DONE);
    /* Without a further order it moves on with the move that was done. */
    assert_string_equal(serve(&k, "t"), "v2");
    wp_shift_merge_elapsed(wp_shifts_add_order(k.d.shifts, k.now, &next), k.now,
                           0);
    WPFlow *f = fake_ask(&k, "/chat/x", "s", &m);
    assert_int_equal(m.kind, WP_MOVE_FAIL);
    assert_int_equal(m.code, WP_SESSION_BOUND);
    assert_in_range(m.retry_ms, 3900, 6000);
    wp_flow_free(f);
    /* Others are served, and so is this one then. */
    assert_string_equal(serve(&k, "t"), "v2");
    assert_string_equal(serve(&k, "u"), "v2");
    fake_pass(&k, m.retry_ms + 1);
    assert_string_equal(serve(&k, "s"), "v2");
    fake_end(&k);
}

/* The session's next request comes to a box that has not served it. */
static void other_boxes_learn_which_sessions_were_left(void **state)
{
    const WPShiftOrder next = { "llm", "v3", DURATION_MS, 20 };
    Fake here, there;
    uint64_t told[8];
    WPMove m;
    (void)state;
    fake_init(&here);
    fake_init(&there);
    order(&here);
    order(&there);
    assert_string_equal(serve(&here, "s"), "v1");
    assert_int_equal(wp_direct_tell(&here.d, here.now, WP_TELL_LEFT, told, 8),
                     0);
    outcome(&here, "v2", 12, WP_SHIFT_DONE);
    outcome(&there, "v2", 12, WP_SHIFT_DONE);
    assert_string_equal(serve(&here, "t"), "v2");
    assert_int_equal(wp_direct_tell(&here.d, here.now, WP_TELL_LEFT, told, 8),
                     1);
    assert_int_equal(
        wp_direct_tell(&here.d, here.now, WP_TELL_LEFT, told + 1, 7), 0);
    wp_direct_hear(&there.d, there.now, WP_TELL_LEFT, told[0]);
    wp_shifts_add_order(there.d.shifts, there.now, &next);
    WPFlow *f = fake_ask(&there, "/chat/x", "s", &m);
    assert_int_equal(m.code, WP_SESSION_BOUND);
    wp_flow_free(f);
    assert_string_equal(serve(&there, "t"), "v2");
    fake_end(&here);
    fake_end(&there);
}

/* A box hears of the new version's endpoints, and the store stops answering it
   before it hears of the order: 60 of 108 requests went there in a second. */
static void a_version_without_an_order_waits_for_it(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    wp_shifts_note_registered(k.d.shifts, "llm", "v1", true);
    wp_shifts_note_registered(k.d.shifts, "llm", "v2", false);
    fake_put(&k, "n1", "llm", "v2", false);
    fake_put(&k, "n2", "llm", "v2", false);
    for (int i = 0; i < 100; i++)
        assert_string_equal(serve(&k, NULL), "v1");
    /* Rather that one than none. */
    wp_fleet_remove(k.d.fleet, k.now, "l1", false);
    wp_fleet_remove(k.d.fleet, k.now, "l2", false);
    assert_string_equal(serve(&k, NULL), "v2");
    fake_end(&k);
}

/* What a box finds when it starts serves, whatever versions those are. */
static void versions_found_at_the_start_serve(void **state)
{
    Fake k;
    unsigned second = 0;
    (void)state;
    fake_init(&k);
    wp_shifts_note_registered(k.d.shifts, "llm", "v1", true);
    wp_shifts_note_registered(k.d.shifts, "llm", "v2", true);
    fake_put(&k, "n1", "llm", "v2", false);
    fake_put(&k, "n2", "llm", "v2", false);
    for (int i = 0; i < 100; i++)
        second += !strcmp(serve(&k, NULL), "v2");
    assert_in_range(second, 20, 80);
    fake_end(&k);
}

TESTS_MAIN(T(a_version_without_an_order_waits_for_it),
           T(versions_found_at_the_start_serve),
           T(a_version_that_was_left_stays_out_at_the_next_order),
           T(a_session_of_a_left_version_waits_until_it_is_free),
           T(other_boxes_learn_which_sessions_were_left),
           T(nothing_goes_to_a_version_before_its_order_is_recorded),
           T(a_first_share_goes_to_the_new_version),
           T(sessions_on_the_old_version_stay_in_the_first_half),
           T(other_boxes_learn_which_sessions_are_bound),
           T(other_boxes_learn_which_sessions_have_moved),
           T(a_session_is_bound_from_its_first_sending),
           T(a_session_binds_from_the_end_of_a_request),
           T(once_moved_a_session_does_not_go_back),
           T(a_move_ends_in_time_when_nothing_is_wrong),
           T(a_new_version_gets_few_requests_by_the_orders_time),
           T(a_doubtful_version_does_not_get_all),
           T(moved_sessions_are_told_of_until_all_have_moved),
           T(an_old_order_changes_nothing),
           T(a_version_that_was_undone_stays_out_at_the_next_order))
