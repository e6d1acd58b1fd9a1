/* Traffic shifts of a service between versions of its endpoints. */
#include "shift_fake.h"
#include "wp_direct_int.h"

static void version_gets_nothing_before_its_order_is_recorded(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    sh->elapsed = (WPElapsed){ 0 };
    for (int i = 0; i < 100; i++)
        assert_string_equal(serving_version(&k, NULL), "v1");
    fake_end(&k);
}

static void first_share_goes_to_the_new_version(void **state)
{
    Fake k;
    unsigned to_new = 0;
    (void)state;
    fake_init(&k);
    start_shift(&k);
    fake_advance(&k, LEAD_MS);
    for (int i = 0; i < 1000; i++)
        to_new += !strcmp(serving_version(&k, NULL), "v2");
    assert_in_range(to_new, 70, 130);
    fake_end(&k);
}

/* In the first half of a shift, a session on the old version stays there even
   if its position lies within the new version's share; also when only another
   box has served it. */
static void sessions_on_the_old_version_stay_in_the_first_half(void **state)
{
    Fake k;
    unsigned moved = 0;
    (void)state;
    fake_init(&k);
    for (int i = 0; i < 300; i++) {
        g_autofree char *s = g_strdup_printf("s%d", i);
        serving_version(&k, s);
    }
    start_shift(&k);
    fake_advance(&k, LEAD_MS);
    for (int i = 0; i < 300; i++) {
        g_autofree char *s = g_strdup_printf("s%d", i);
        moved += strcmp(serving_version(&k, s), "v1") != 0;
    }
    assert_int_equal(moved, 0);
    fake_end(&k);
}

/* Whether a box that knows nothing of the session sends it to the new version
   in the first stage. */
static bool in_first_share(const char *session)
{
    return wp_direct_session_position(
               wp_direct_session_key("llm", wp_str(session))) < 0.1;
}

/* Boxes send each other only those bound sessions whose position lies within
   the new version's share: no box would move the others. */
static void other_boxes_learn_which_sessions_are_bound(void **state)
{
    Fake here, there;
    uint64_t bound[512], again[512];
    unsigned moved = 0, unseen = 0, n_in_share = 0;
    g_autofree char *one = NULL;
    (void)state;
    fake_init(&here);
    fake_init(&there);
    for (int i = 0; i < 300; i++) {
        g_autofree char *s = g_strdup_printf("s%d", i);
        serving_version(&here, s);
        if (!in_first_share(s))
            continue;
        n_in_share++;
        g_free(one);
        one = g_strdup(s);
    }
    assert_in_range(n_in_share, 10, 60);
    assert_int_equal(wp_direct_take_unsent_sessions(&here.d, here.now,
                                                    WP_SESSION_UPDATE_BOUND,
                                                    bound, 512),
                     0);
    start_shift(&here);
    start_shift(&there);
    size_t n = wp_direct_take_unsent_sessions(
        &here.d, here.now, WP_SESSION_UPDATE_BOUND, bound, 512);
    assert_int_equal(n, n_in_share);
    /* Each is sent once, and again only when it is used again. */
    assert_int_equal(wp_direct_take_unsent_sessions(&here.d, here.now,
                                                    WP_SESSION_UPDATE_BOUND,
                                                    bound, 512),
                     0);
    serving_version(&here, one);
    assert_int_equal(wp_direct_take_unsent_sessions(&here.d, here.now,
                                                    WP_SESSION_UPDATE_BOUND,
                                                    again, 512),
                     1);
    for (size_t i = 0; i < n; i++)
        wp_direct_merge_session(&there.d, there.now, WP_SESSION_UPDATE_BOUND,
                                bound[i]);
    /* A received session is relayed to boxes further away, once: not again when
       it comes back from them. */
    assert_int_equal(wp_direct_take_unsent_sessions(&there.d, there.now,
                                                    WP_SESSION_UPDATE_BOUND,
                                                    again, 512),
                     n_in_share);
    for (size_t i = 0; i < n; i++)
        wp_direct_merge_session(&there.d, there.now, WP_SESSION_UPDATE_BOUND,
                                bound[i]);
    assert_int_equal(wp_direct_take_unsent_sessions(&there.d, there.now,
                                                    WP_SESSION_UPDATE_BOUND,
                                                    again, 512),
                     0);
    fake_advance(&there, LEAD_MS);
    for (int i = 0; i < 300; i++) {
        g_autofree char *s = g_strdup_printf("s%d", i);
        g_autofree char *t = g_strdup_printf("t%d", i);
        moved += strcmp(serving_version(&there, s), "v1") != 0;
        unseen += strcmp(serving_version(&there, t), "v1") != 0;
    }
    assert_int_equal(moved, 0);
    assert_true(unseen > 0); /* new sessions still go to the new version */
    fake_end(&here);
    fake_end(&there);
}

/* A session that one box has moved stays on the new version at the others
   too. */
static void other_boxes_learn_which_sessions_have_moved(void **state)
{
    Fake here, there;
    uint64_t updates[512];
    unsigned n_new = 0;
    (void)state;
    fake_init(&here);
    fake_init(&there);
    start_shift(&here);
    start_shift(&there);
    fake_advance(&here, LEAD_MS);
    fake_advance(&there, LEAD_MS);
    /* A session whose position alone would leave it on the old version. */
    g_autofree char *s = NULL;
    for (int i = 0; !s; i++) {
        char *name = g_strdup_printf("m%d", i);
        if (wp_direct_session_position(
                wp_direct_session_key("llm", wp_str(name))) > 0.5)
            s = name;
        else
            g_free(name);
    }
    uint64_t id = wp_direct_session_key("llm", wp_str(s));
    wp_direct_record_session(&here.d, here.now, id, "v2");
    size_t n = wp_direct_take_unsent_sessions(
        &here.d, here.now, WP_SESSION_UPDATE_MOVED, updates, 512);
    assert_int_equal(n, 1);
    wp_direct_merge_session(&there.d, there.now, WP_SESSION_UPDATE_MOVED,
                            updates[0]);
    for (int i = 0; i < 20; i++)
        n_new += !strcmp(serving_version(&there, s), "v2");
    assert_int_equal(n_new, 20);
    fake_end(&here);
    fake_end(&there);
}

/* A session's second request may come before its first is answered. */
static void session_is_bound_from_its_first_attempt(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", "s", &m);
    assert_string_equal(wp_fleet_find(k.d.fleet, m.replica->id)->version, "v1");
    start_shift(&k);
    fake_advance(&k, LEAD_MS);
    for (int i = 0; i < 50; i++)
        assert_string_equal(serving_version(&k, "s"), "v1");
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* An answer may take longer than sessions stay bound: the time counts from the
   end of the answer. */
static void session_stays_bound_from_the_end_of_a_request(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, 90);
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", "s", &m);
    wp_flow_on_answer(f, k.now, &a, &m);
    start_shift(&k);
    fake_advance(&k, 8000);
    wp_flow_on_done(f, k.now, 0);
    wp_flow_free(f);
    fake_advance(&k, 1000);
    assert_string_equal(serving_version(&k, "s"), "v1");
    fake_end(&k);
}

static void moved_session_does_not_go_back(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    start_shift(&k);
    fake_advance(&k, DURATION_MS * 6 / 10);
    assert_string_equal(serving_version(&k, "s"), "v2");
    /* Another box may have learned later that the shift began. */
    wp_shifts_find(k.d.shifts, "llm")->elapsed.start_us +=
        DURATION_MS * 2 / 10 * WP_US_PER_MS;
    assert_string_equal(serving_version(&k, "s"), "v2");
    fake_end(&k);
}

static void good_shift_completes_on_time(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShift *sh = start_shift(&k);
    assert_int_equal(poll_for(&k, sh, DURATION_MS * 8 / 10), WP_SHIFT_RUNNING);
    assert_int_equal(poll_for(&k, sh, DURATION_MS * 11 / 100), WP_SHIFT_DONE);
    apply_outcome(&k, "v2", 12, WP_SHIFT_DONE);
    for (int i = 0; i < 50; i++)
        assert_string_equal(serving_version(&k, NULL), "v2");
    fake_end(&k);
}

/* The shipped chart, sampled in each hundredth of an order's duration. */
static void new_version_gets_few_requests_within_the_orders_time(void **state)
{
    static const char path[] = "charts/shift.yaml";
    enum { STEPS = 100 };
    const double max_share = 0.15; /* of the requests, by the platform's rule */
    g_autofree char *text = NULL;
    gsize n;
    double share = 0, last = 0;
    Fake k;
    (void)state;
    assert_true(g_file_get_contents(path, &text, &n, NULL));
    fake_init_chart(&k, text);
    WPShift *sh = start_shift(&k);
    wp_shift_merge_gate_passed(sh);
    bool done = false;
    for (int i = 0; i < STEPS; i++) {
        done = done || poll_for(&k, sh, DURATION_MS / STEPS) == WP_SHIFT_DONE;
        double now = done ? 1 : wp_shift_stage(k.d.shifts, sh, k.now)->share;
        assert_true(now >= last); /* a session never goes back */
        /* The end of an order's time may be detected a little early. */
        assert_true(done || i < STEPS * 97 / 100);
        share += now / STEPS;
        last = now;
    }
    assert_true(share < max_share);
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

/* Doubt keeps the gate of the last stage closed, and so holds up the
   completion; a gate that was passed, here or at another box, stays passed. */
static void doubtful_version_does_not_pass_the_gate(void **state)
{
    Fake k;
    g_autofree char *why = NULL;
    (void)state;
    fake_init_chart(&k, GATED_CHART);
    WPShift *sh = start_shift(&k);
    record_timed_answers(sh, "v1", "l1", 0.2, 25, 50, 25);
    /* Slow, but too few to tell. */
    record_timed_answers(sh, "v2", "n1", 0.02, 0, 1, 1);
    assert_int_equal(poll_for(&k, sh, DURATION_MS), WP_SHIFT_RUNNING);
    assert_string_equal(sh->stage, "canary");
    assert_false(wp_shift_routes_to_new(k.d.shifts, sh, k.now, 0.5, NULL));
    record_timed_answers(sh, "v2", "n1", 0.02, 3, 0, 0);
    assert_true(wp_shift_advance(k.d.shifts, sh, k.now, &why));
    assert_string_equal(sh->stage, "full");
    assert_non_null(strstr(why, "3 fast"));
    record_timed_answers(sh, "v2", "n1", 0.02, 0, 5, 5);
    assert_true(wp_shift_routes_to_new(k.d.shifts, sh, k.now, 0.5, NULL));
    /* The last stage still takes its full time. */
    assert_int_equal(poll_for(&k, sh, DURATION_MS / 20), WP_SHIFT_RUNNING);
    assert_int_equal(poll_for(&k, sh, DURATION_MS / 20), WP_SHIFT_DONE);
    fake_end(&k);

    fake_init_chart(&k, GATED_CHART);
    sh = start_shift(&k);
    record_timed_answers(sh, "v1", "l1", 0.2, 25, 50, 25);
    record_timed_answers(sh, "v2", "n1", 0.02, 0, 1, 1);
    fake_advance(&k, DURATION_MS * 85 / 100);
    assert_false(wp_shift_routes_to_new(k.d.shifts, sh, k.now, 0.5, NULL));
    wp_shift_merge_gate_passed(sh);
    assert_true(wp_shift_routes_to_new(k.d.shifts, sh, k.now, 0.5, NULL));
    fake_end(&k);
}

/* A session that is inside of the first stage's share by its position, or
   outside of it. */
static uint64_t session_at(bool inside)
{
    for (int i = 0;; i++) {
        g_autofree char *name = g_strdup_printf("n%d", i);
        uint64_t key = wp_direct_session_key("llm", wp_str(name));
        if ((wp_direct_session_position(key) < 0.1) == inside)
            return key;
    }
}

/* Boxes send each other the sessions that have moved as long as some have
   not. */
static void moved_sessions_are_sent_until_all_have_moved(void **state)
{
    Fake k;
    uint64_t updates[8];
    (void)state;
    fake_init_chart(&k, GATED_CHART);
    WPShift *sh = start_shift(&k);
    fake_advance(&k, DURATION_MS * 7 / 10);
    uint64_t outside = session_at(false), inside = session_at(true);
    wp_direct_record_session(&k.d, k.now, outside, "v2");
    wp_direct_record_session(&k.d, k.now, inside, "v2");
    wp_direct_record_session(
        &k.d, k.now, wp_direct_session_key("llm", wp_str("other")), "v1");
    assert_int_equal(wp_direct_take_unsent_sessions(
                         &k.d, k.now, WP_SESSION_UPDATE_BOUND, updates, 8),
                     0);
    assert_int_equal(wp_direct_take_unsent_sessions(
                         &k.d, k.now, WP_SESSION_UPDATE_MOVED, updates, 8),
                     1);
    assert_int_equal(updates[0], outside);
    wp_shift_merge_gate_passed(sh);
    fake_advance(&k, DURATION_MS * 15 / 100);
    wp_direct_record_session(&k.d, k.now, outside, "v2");
    assert_int_equal(wp_direct_take_unsent_sessions(
                         &k.d, k.now, WP_SESSION_UPDATE_MOVED, updates, 8),
                     0);
    fake_end(&k);
}

static const char *const paths[] = { "/chat/x", "/safe/x", "/still/x" };
static const char *const services[] = { "llm", "app", "still" };

enum { SESSIONS = 120, BOXES = 4 };

/* A box with a third service, which does not move. */
static void init_third_service(Fake *k)
{
    WPRoutes *t = fake_routes(2);
    fake_init(k);
    wp_routes_add_service(t, "still");
    WPRoute *r = wp_routes_add(t, "still", "h.example", "/still/");
    wp_route_add_target(t, r, "still", 1);
    wp_direct_set_routes(&k->d, t);
    fake_put(k, "s1", "still", "v1", false);
    fake_put(k, "s2", "still", "v2", false);
}

/* Orders for both services, in either order. Both go to a version of the same
   name if `same`. */
static void start_two_shifts(Fake *k, bool app_first, bool same)
{
    const char *app = same ? "v2" : "v3";
    for (int i = 0; i < 2; i++) {
        bool is_app = (i == 0) == app_first;
        WPShiftOrder o = { is_app ? "app" : "llm", is_app ? app : "v2",
                           DURATION_MS, 10 };
        WPShift *sh = wp_shifts_add_order(k->d.shifts, k->now, &o);
        wp_shift_merge_elapsed(sh, k->now, 0);
    }
    fake_put(k, "n1", "llm", "v2", false);
    fake_put(k, "n2", "llm", "v2", false);
    fake_put(k, "b1", "app", app, false);
    fake_put(k, "b2", "app", app, false);
}

/* What one box tells another one of its sessions. */
static void tell_sessions(Fake *from, Fake *to)
{
    static const WPSessionUpdate kinds[] = { WP_SESSION_UPDATE_BOUND,
                                             WP_SESSION_UPDATE_MOVED,
                                             WP_SESSION_UPDATE_RETIRED };
    uint64_t updates[SESSIONS * 3];
    for (size_t i = 0; i < WP_COUNT(kinds); i++) {
        size_t n = wp_direct_take_unsent_sessions(&from->d, from->now, kinds[i],
                                                  updates, WP_COUNT(updates));
        for (size_t u = 0; u < n; u++)
            wp_direct_merge_session(&to->d, to->now, kinds[i], updates[u]);
    }
}

/* Guards against sessions that were sent back to the old version of one service
   while another one moves as well: sessions keep their version at each service,
   at boxes that have only heard of them, from one another. */
static void session_goes_back_while_two_services_move(void **state)
{
    (void)state;
    for (int way = 0; way < 4; way++) {
        Fake box[BOXES];
        const char *was[SESSIONS][WP_COUNT(paths)];
        for (int i = 0; i < BOXES; i++)
            init_third_service(&box[i]);
        for (int i = 0; i < SESSIONS; i++) {
            g_autofree char *s = g_strdup_printf("s%d", i);
            for (unsigned p = 0; p < WP_COUNT(paths); p++)
                was[i][p] = version_on_path(&box[0], paths[p], s);
        }
        for (int i = 0; i < BOXES; i++) {
            start_two_shifts(&box[i], way % 2, way / 2);
            fake_advance(&box[i], LEAD_MS);
        }
        for (int i = 0; i < SESSIONS; i += 3) { /* at one service only */
            unsigned p = (unsigned)i % 2;
            g_autofree char *s = g_strdup_printf("s%d", i);
            was[i][p] = wp_shifts_find(box[0].d.shifts, services[p])->version;
            wp_direct_record_session(
                &box[0].d, box[0].now,
                wp_direct_session_key(services[p], wp_str(s)), was[i][p]);
        }
        for (int b = 0; b + 1 < BOXES; b++)
            tell_sessions(&box[b], &box[b + 1]);
        for (int i = 0; i < SESSIONS * BOXES; i++) {
            Fake *k = &box[BOXES - 1 - i % BOXES];
            g_autofree char *s = g_strdup_printf("s%d", i / BOXES);
            for (unsigned p = 0; p < 2; p++)
                assert_string_equal(version_on_path(k, paths[p], s),
                                    was[i / BOXES][p]);
        }
        for (int i = 0; i < BOXES; i++)
            fake_end(&box[i]);
    }
}

static void older_order_is_ignored(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    start_shift(&k);
    WPShiftOrder old = { "llm", "v0", DURATION_MS, 9 };
    assert_null(wp_shifts_add_order(k.d.shifts, k.now, &old));
    WPShiftOrder next = { "llm", "v3", DURATION_MS, 11 };
    assert_non_null(wp_shifts_add_order(k.d.shifts, k.now, &next));
    /* An outcome record of the previous order does not end this shift. */
    apply_outcome(&k, "v2", 12, WP_SHIFT_DONE);
    assert_int_equal(wp_shifts_find(k.d.shifts, "llm")->state,
                     WP_SHIFT_RUNNING);
    fake_end(&k);
}

/* Endpoints of a version that was found bad are still registered when the next
   order comes: they do not belong to the old version. */
static void reverted_version_stays_excluded_at_the_next_order(void **state)
{
    const WPShiftOrder next = { "llm", "v3", DURATION_MS, 20 };
    Fake k;
    (void)state;
    fake_init(&k);
    start_shift(&k);
    apply_outcome(&k, "v2", 12, WP_SHIFT_ROLLED_BACK);
    WPShift *sh = wp_shifts_add_order(k.d.shifts, k.now, &next);
    wp_shift_merge_elapsed(sh, k.now, 0);
    fake_put(&k, "m1", "llm", "v3", false);
    for (int i = 0; i < 200; i++) {
        g_autofree char *session = g_strdup_printf("s%d", i);
        assert_string_not_equal(serving_version(&k, session), "v2");
        fake_advance(&k, 90);
    }
    /* It may be ordered again, as it may have been fixed. */
    const WPShiftOrder again = { "llm", "v2", DURATION_MS, 30 };
    sh = wp_shifts_add_order(k.d.shifts, k.now, &again);
    assert_true(wp_shift_allows(sh, "v2"));
    fake_end(&k);
}

/* A shift was completed, and the next order comes while endpoints of the
   retired version are still registered: sessions stay on the version that
   serves them, or go to the newest. */
static void retired_version_stays_excluded_at_the_next_order(void **state)
{
    const WPShiftOrder next = { "llm", "v3", DURATION_MS, 20 };
    Fake k;
    (void)state;
    fake_init(&k);
    start_shift(&k);
    apply_outcome(&k, "v2", 12, WP_SHIFT_DONE);
    for (int i = 0; i < 100; i++) {
        g_autofree char *session = g_strdup_printf("s%d", i);
        assert_string_equal(serving_version(&k, session), "v2");
    }
    WPShift *sh = wp_shifts_add_order(k.d.shifts, k.now, &next);
    for (int i = 0; i < 200; i++) {
        g_autofree char *session = g_strdup_printf("s%d", i);
        assert_string_equal(serving_version(&k, session), "v2");
    }
    /* Nor does it come back with an order that follows a rolled back shift. */
    apply_outcome(&k, "v3", 22, WP_SHIFT_ROLLED_BACK);
    assert_int_equal(sh->state, WP_SHIFT_ROLLED_BACK);
    const WPShiftOrder third = { "llm", "v4", DURATION_MS, 30 };
    sh = wp_shifts_add_order(k.d.shifts, k.now, &third);
    assert_false(wp_shift_allows(sh, "v1"));
    assert_true(wp_shift_allows(sh, "v2"));
    fake_end(&k);
}

/* The next order comes while sessions are bound to the version that the shift
   before has retired: they are refused until they are no longer bound. */
static void session_of_a_retired_version_waits_until_unbound(void **state)
{
    const WPShiftOrder next = { "llm", "v3", DURATION_MS, 20 };
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    start_shift(&k);
    assert_string_equal(serving_version(&k, "s"), "v1");
    assert_string_equal(serving_version(&k, "t"), "v1");
    fake_advance(&k, 1000);
    apply_outcome(&k, "v2", 12, WP_SHIFT_DONE);
    /* Without a further order a session moves on with the completed shift. */
    assert_string_equal(serving_version(&k, "t"), "v2");
    wp_shift_merge_elapsed(wp_shifts_add_order(k.d.shifts, k.now, &next), k.now,
                           0);
    WPFlow *f = fake_ask(&k, "/chat/x", "s", &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    assert_int_equal(m.code, WP_SESSION_BOUND);
    assert_in_range(m.retry_ms, 3900, 6000);
    wp_flow_free(f);
    /* Other sessions are served, and this one too once it is no longer
       bound. */
    assert_string_equal(serving_version(&k, "t"), "v2");
    assert_string_equal(serving_version(&k, "u"), "v2");
    fake_advance(&k, m.retry_ms + 1);
    assert_string_equal(serving_version(&k, "s"), "v2");
    fake_end(&k);
}

/* The session's next request comes to a box that has not served it. */
static void
other_boxes_learn_which_sessions_are_on_a_retired_version(void **state)
{
    const WPShiftOrder next = { "llm", "v3", DURATION_MS, 20 };
    Fake here, there;
    uint64_t updates[8];
    WPFlowAction m;
    (void)state;
    fake_init(&here);
    fake_init(&there);
    start_shift(&here);
    start_shift(&there);
    assert_string_equal(serving_version(&here, "s"), "v1");
    assert_int_equal(wp_direct_take_unsent_sessions(&here.d, here.now,
                                                    WP_SESSION_UPDATE_RETIRED,
                                                    updates, 8),
                     0);
    apply_outcome(&here, "v2", 12, WP_SHIFT_DONE);
    apply_outcome(&there, "v2", 12, WP_SHIFT_DONE);
    assert_string_equal(serving_version(&here, "t"), "v2");
    assert_int_equal(wp_direct_take_unsent_sessions(&here.d, here.now,
                                                    WP_SESSION_UPDATE_RETIRED,
                                                    updates, 8),
                     1);
    assert_int_equal(wp_direct_take_unsent_sessions(&here.d, here.now,
                                                    WP_SESSION_UPDATE_RETIRED,
                                                    updates + 1, 7),
                     0);
    wp_direct_merge_session(&there.d, there.now, WP_SESSION_UPDATE_RETIRED,
                            updates[0]);
    wp_shifts_add_order(there.d.shifts, there.now, &next);
    WPFlow *f = fake_ask(&there, "/chat/x", "s", &m);
    assert_int_equal(m.code, WP_SESSION_BOUND);
    wp_flow_free(f);
    assert_string_equal(serving_version(&there, "t"), "v2");
    fake_end(&here);
    fake_end(&there);
}

/* Boxes of other zones hear of a session from a third box. */
static void sessions_on_a_retired_version_are_passed_on(void **state)
{
    const WPShiftOrder next = { "llm", "v3", DURATION_MS, 20 };
    Fake box[3]; /* the first serves the session, the last hears from the second
                  */
    uint64_t updates[8];
    WPFlowAction m;
    (void)state;
    for (int i = 0; i < 3; i++) {
        fake_init(&box[i]);
        start_shift(&box[i]);
        if (i == 0)
            assert_string_equal(serving_version(&box[i], "s"), "v1");
        apply_outcome(&box[i], "v2", 12, WP_SHIFT_DONE);
        WPShift *sh = wp_shifts_add_order(box[i].d.shifts, box[i].now, &next);
        wp_shift_merge_elapsed(sh, box[i].now, LEAD_MS);
    }
    for (int i = 0; i < 2; i++) {
        assert_int_equal(wp_direct_take_unsent_sessions(&box[i].d, box[i].now,
                                                        WP_SESSION_UPDATE_BOUND,
                                                        updates, 8),
                         0);
        assert_int_equal(
            wp_direct_take_unsent_sessions(
                &box[i].d, box[i].now, WP_SESSION_UPDATE_RETIRED, updates, 8),
            1);
        wp_direct_merge_session(&box[i + 1].d, box[i + 1].now,
                                WP_SESSION_UPDATE_RETIRED, updates[0]);
    }
    WPFlow *f = fake_ask(&box[2], "/chat/x", "s", &m);
    assert_int_equal(m.code, WP_SESSION_BOUND);
    wp_flow_free(f);
    /* What comes back is not sent again. */
    wp_direct_merge_session(&box[1].d, box[1].now, WP_SESSION_UPDATE_RETIRED,
                            updates[0]);
    assert_int_equal(wp_direct_take_unsent_sessions(&box[1].d, box[1].now,
                                                    WP_SESSION_UPDATE_RETIRED,
                                                    updates, 8),
                     0);
    for (int i = 0; i < 3; i++)
        fake_end(&box[i]);
}

/* Guards against requests to a version whose order is not known: a box learned
   of the new version's endpoints, the store stopped answering before the box
   learned of the order, and 60 of 108 requests within a second went to the new
   version. */
static void version_without_an_order_gets_no_requests(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    wp_shifts_note_registered(k.d.shifts, "llm", "v1", true);
    wp_shifts_note_registered(k.d.shifts, "llm", "v2", false);
    fake_put(&k, "n1", "llm", "v2", false);
    fake_put(&k, "n2", "llm", "v2", false);
    for (int i = 0; i < 100; i++)
        assert_string_equal(serving_version(&k, NULL), "v1");
    /* It serves when there is no other version. */
    wp_fleet_remove(k.d.fleet, k.now, "l1", false);
    wp_fleet_remove(k.d.fleet, k.now, "l2", false);
    assert_string_equal(serving_version(&k, NULL), "v2");
    fake_end(&k);
}

/* The versions that a box finds registered when it starts all serve. */
static void versions_registered_at_the_start_serve(void **state)
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
        second += !strcmp(serving_version(&k, NULL), "v2");
    assert_in_range(second, 20, 80);
    fake_end(&k);
}

TESTS_MAIN(T(version_without_an_order_gets_no_requests),
           T(versions_registered_at_the_start_serve),
           T(retired_version_stays_excluded_at_the_next_order),
           T(session_of_a_retired_version_waits_until_unbound),
           T(other_boxes_learn_which_sessions_are_on_a_retired_version),
           T(sessions_on_a_retired_version_are_passed_on),
           T(version_gets_nothing_before_its_order_is_recorded),
           T(first_share_goes_to_the_new_version),
           T(sessions_on_the_old_version_stay_in_the_first_half),
           T(other_boxes_learn_which_sessions_are_bound),
           T(other_boxes_learn_which_sessions_have_moved),
           T(session_is_bound_from_its_first_attempt),
           T(session_stays_bound_from_the_end_of_a_request),
           T(moved_session_does_not_go_back), T(good_shift_completes_on_time),
           T(new_version_gets_few_requests_within_the_orders_time),
           T(doubtful_version_does_not_pass_the_gate),
           T(moved_sessions_are_sent_until_all_have_moved),
           T(session_goes_back_while_two_services_move),
           T(older_order_is_ignored),
           T(reverted_version_stays_excluded_at_the_next_order))
