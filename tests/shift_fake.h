/* A traffic shift of the service llm from version v1 to v2, for tests. */
#ifndef SHIFT_FAKE_H
#define SHIFT_FAKE_H

#include "direct_fake.h"

enum {
    DURATION_MS = 20000, /* of an order */
    LEAD_MS = 2000, /* longer than the time from the start of a shift to the
                       first request for the new version */
    LOOK_MS = 50    /* between two polls of a shift */
};

/* Starts a shift: its order, the record that it began, and two endpoints of
   the new version. */
static inline WPShift *start_shift(Fake *k)
{
    WPShiftOrder o = { "llm", "v2", DURATION_MS, 10 };
    WPShift *sh = wp_shifts_add_order(k->d.shifts, k->now, &o);
    wp_shift_merge_elapsed(sh, k->now, 0);
    fake_put(k, "n1", "llm", "v2", false);
    fake_put(k, "n2", "llm", "v2", false);
    return sh;
}

/* Another box reports that the shift began at least `ms` milliseconds ago. */
static inline void merge_elapsed(Fake *k, WPShift *sh, int64_t ms)
{
    wp_shift_merge_elapsed(sh, k->now, ms);
}

/* Applies the store's record of the outcome of a shift, written at this
   revision. */
static inline void apply_outcome(Fake *k, const char *version,
                                 uint64_t revision, WPShiftState state)
{
    const WPShiftOrder o = { "llm", version, 0, revision };
    wp_shifts_apply_outcome(k->d.shifts, &o, state);
}

/* Advances the time by `ms` and polls the shift at each tick, as a process
   does; ends early when another state is due. Returns the state that the shift
   is to be given. */
static inline WPShiftState poll_for(Fake *k, WPShift *sh, int64_t ms)
{
    WPShiftState due = WP_SHIFT_RUNNING;
    for (int64_t at = 0; at < ms && due == WP_SHIFT_RUNNING; at += LOOK_MS) {
        g_autofree char *why = NULL;
        fake_advance(k, LOOK_MS);
        wp_shift_advance(k->d.shifts, sh, k->now, &why);
        due = wp_shift_due_state(k->d.shifts, sh, k->now, NULL);
    }
    return due;
}

/* Serves one request of the session (NULL: of none) on a path. Returns the
   version of its endpoint. */
static inline const char *version_on_path(Fake *k, const char *path,
                                          const char *session)
{
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, 90);
    WPFlow *f = fake_ask(k, path, session, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    const char *version = g_intern_string(m.replica->version);
    wp_flow_on_answer(f, k->now, &a, &m);
    wp_flow_on_done(f, k->now, 0);
    wp_flow_free(f);
    return version;
}

static inline const char *serving_version(Fake *k, const char *session)
{
    return version_on_path(k, "/chat/x", session);
}

/* Records `n` answers of the endpoint `replica` to requests of the route: first
   `failed` that failed, then `slow` slow ones. */
static inline void record_answers(WPShift *sh, const char *version,
                                  const char *replica, const char *route,
                                  unsigned n, unsigned failed, unsigned slow)
{
    for (unsigned i = 0; i < n; i++) {
        bool is_slow = i >= failed && i < failed + slow;
        const WPCanaryAnswer a = { .version = version,
                                   .replica = replica,
                                   .route = route,
                                   .failed = i < failed,
                                   .time = is_slow ? WP_TIME_SLOW
                                                   : WP_TIME_MIDDLE };
        wp_shift_record_answer(sh, &a);
    }
}

/* Records answers in these classes of time, compared with the old version's
   times, of an endpoint with this utilization when they were sent. */
static inline void record_timed_answers(WPShift *sh, const char *version,
                                        const char *replica, double utilization,
                                        unsigned fast, unsigned middle,
                                        unsigned slow)
{
    WPCanaryAnswer a = { .version = version,
                         .replica = replica,
                         .route = "chat",
                         .utilization = utilization };
    for (unsigned i = 0; i < fast + middle + slow; i++) {
        a.time = i < fast            ? WP_TIME_FAST
                 : i < fast + middle ? WP_TIME_MIDDLE
                                     : WP_TIME_SLOW;
        wp_shift_record_answer(sh, &a);
    }
}

#endif
