/* A move of a service between versions, made for tests. */
#ifndef SHIFT_FAKE_H
#define SHIFT_FAKE_H

#include "direct_fake.h"

enum { DURATION_MS = 20000, LEAD_MS = 2000, LOOK_MS = 50 };

static inline WPShift *order(Fake *k)
{
    WPShiftOrder o = { "llm", "v2", DURATION_MS, 10 };
    WPShift *sh = wp_shifts_add_order(k->d.shifts, k->now, &o);
    wp_shift_merge_elapsed(sh, k->now, 0);
    fake_put(k, "n1", "llm", "v2", false);
    fake_put(k, "n2", "llm", "v2", false);
    return sh;
}

/* The move turns out to have begun so long ago. */
static inline void begun_before(Fake *k, WPShift *sh, int64_t ms)
{
    wp_shift_merge_elapsed(sh, k->now, ms);
}

/* The store's record of how a move stands, written at this revision. */
static inline void outcome(Fake *k, const char *version, uint64_t revision,
                           WPShiftState state)
{
    const WPShiftOrder o = { "llm", version, 0, revision };
    wp_shifts_apply_outcome(k->d.shifts, &o, state);
}

/* Lets so much time pass with a look at the move at each tick, as a process
   has; returns the state that it is to be given. */
static inline WPShiftState look_on(Fake *k, WPShift *sh, int64_t ms)
{
    WPShiftState due = WP_SHIFT_RUNNING;
    for (int64_t at = 0; at < ms && due == WP_SHIFT_RUNNING; at += LOOK_MS) {
        g_autofree char *why = NULL;
        fake_pass(k, LOOK_MS);
        wp_shift_advance(k->d.shifts, sh, k->now, &why);
        due = wp_shift_due_state(k->d.shifts, sh, k->now, NULL);
    }
    return due;
}

/* The version that serves one request of a session. */
static inline const char *serve(Fake *k, const char *session)
{
    WPMove m;
    WPDirectAnswer a = fake_answer(200, 90);
    WPFlow *f = fake_ask(k, "/chat/x", session, &m);
    assert_int_equal(m.kind, WP_MOVE_SEND);
    const char *version = g_intern_string(m.replica->version);
    wp_flow_answer(f, k->now, &a, &m);
    wp_flow_done(f, k->now, 0);
    wp_flow_free(f);
    return version;
}

static inline void feed(WPShift *sh, const char *version, const char *replica,
                        const char *route, unsigned n, unsigned failed,
                        unsigned slow)
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

/* Feeds answers whose times lie as told among the old version's, from
   endpoints of which this share of the places is taken. */
static inline void feed_times(WPShift *sh, const char *version,
                              const char *replica, double taken, unsigned fast,
                              unsigned usual, unsigned slow)
{
    WPCanaryAnswer a = { .version = version,
                         .replica = replica,
                         .route = "chat",
                         .utilization = taken };
    for (unsigned i = 0; i < fast + usual + slow; i++) {
        a.time = i < fast           ? WP_TIME_FAST
                 : i < fast + usual ? WP_TIME_MIDDLE
                                    : WP_TIME_SLOW;
        wp_shift_record_answer(sh, &a);
    }
}

#endif
