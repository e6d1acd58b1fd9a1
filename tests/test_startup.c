/* Requests that arrive while boxes start: which are held, and how many callers
 * are served when all boxes start at once. */
#include "direct_fake.h"

static void hold_times(void **state)
{
    (void)state;
    WPStartup s = { .start_us = 1000000 };
    WPTime now = { 1100000, 0 };
    assert_true(wp_startup_hold_ms(&s, now, 20000) >= 1000);
    assert_int_equal(wp_startup_hold_ms(&s, now, 1200), 300);
    assert_true(wp_startup_hold_ms(&s, now, 0) > 0);
    s.store_unavailable = true;
    assert_int_equal(wp_startup_hold_ms(&s, now, 20000), 0);
    s.store_unavailable = false;
    now.mono_us += 5000000;
    assert_int_equal(wp_startup_hold_ms(&s, now, 20000), 0);
    s.start_us = 0;
    assert_int_equal(wp_startup_hold_ms(&s, now, 20000), 0);
}

/* The time for which a request is held counts against its caller's deadline. */
static void hold_time_counts_against_the_deadline(void **state)
{
    (void)state;
    Fake k;
    WPFlowAction m;
    fake_init(&k);
    WPRoutes *t = wp_routes_ref(k.d.routes);
    wp_routes_unref(k.d.routes);
    k.d.routes = NULL;
    k.d.startup.start_us = k.now.mono_us - 1;
    WPDirectRequest ask = { .id = wp_str("r1"),
                            .host = wp_str("h.example"),
                            .path = wp_str("/safe/x"),
                            .key = wp_str("key-1"),
                            .deadline_ms = 2000 };
    WPFlow *f = wp_flow_begin(&k.d, k.now, &ask, &m);
    assert_int_equal(m.kind, WP_FLOW_HOLD);
    assert_int_equal(m.retry_ms, 500);
    fake_advance(&k, 300);
    k.d.routes = t;
    wp_flow_admit(f, k.now, &ask, &m);
    assert_int_equal(m.kind, WP_FLOW_SEND);
    assert_int_equal(m.budget_ms, 1700);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

static void request_held_in_vain_is_refused_as_not_run(void **state)
{
    (void)state;
    Fake k;
    WPFlowAction m;
    fake_init(&k);
    wp_routes_unref(k.d.routes);
    k.d.routes = NULL;
    k.d.startup.start_us = k.now.mono_us - 1;
    WPFlow *f = fake_ask(&k, "/once/x", NULL, &m);
    assert_int_equal(m.kind, WP_FLOW_HOLD);
    wp_flow_hold_timeout(f, &m);
    assert_int_equal(m.code, WP_NOT_READY);
    assert_true(m.retry_ms > 0);
    wp_flow_free(f);
    fake_end(&k);
}

/* Simulation: all boxes start at once and are ready between 0.8 and 1.3 s
   later, as measured where 385 of them read the store together. Callers arrive
   all the while; a refused one retries once, at another box, after the time
   that it was told or a third of its remaining time, whichever is shorter. */
enum {
    BOXES = 385,
    CALLERS = 1300,
    ARRIVALS_MS = 1500,
    READY_MIN_MS = 800,
    READY_MAX_MS = 1300
};

typedef struct CallerClass {
    uint32_t deadline_ms;
    double share;
} CallerClass;

static const CallerClass classes[] = {
    { 20000, 0.23 }, { 15000, 0.14 }, { 5000, 0.37 }, { 1500, 0.26 }
};

typedef struct Sim {
    GRand *rand;
    int64_t ready_ms[BOXES];
    bool holds;
    unsigned served, held_in_vain;
} Sim;

static uint32_t draw_deadline(Sim *l)
{
    double draw = g_rand_double(l->rand);
    size_t i = 0;
    while (i + 1 < WP_COUNT(classes) && draw >= classes[i].share)
        draw -= classes[i++].share;
    return classes[i].deadline_ms;
}

/* Returns when the caller gets the answer to an attempt that it makes at
   `at_ms`. `*served`: the box serves the request instead of refusing it. */
static int64_t attempt(Sim *l, int64_t at_ms, uint32_t left_ms, bool *served)
{
    const WPStartup start = { .start_us = 1 };
    const WPTime now = { 1 + at_ms * WP_US_PER_MS, 0 };
    int64_t ready_ms = l->ready_ms[g_rand_int_range(l->rand, 0, BOXES)];
    int64_t hold_ms = l->holds ? wp_startup_hold_ms(&start, now, left_ms) : 0;
    *served = at_ms + hold_ms >= ready_ms;
    l->held_in_vain += hold_ms && !*served;
    return *served ? MAX(at_ms, ready_ms) : at_ms + hold_ms;
}

static void run_caller(Sim *l)
{
    enum { RETRY_AFTER_MS = 500 };
    uint32_t deadline_ms = draw_deadline(l);
    int64_t at_ms = g_rand_int_range(l->rand, 0, ARRIVALS_MS);
    int64_t end_ms = at_ms + deadline_ms;
    bool served;
    int64_t ms = attempt(l, at_ms, deadline_ms, &served);
    if (!served) {
        ms += MIN(RETRY_AFTER_MS, (end_ms - ms) / 3);
        attempt(l, ms, (uint32_t)(end_ms - ms), &served);
    }
    l->served += served;
}

static Sim simulate(bool holds)
{
    Sim l = { .holds = holds };
    l.rand = g_rand_new_with_seed(1);
    for (unsigned i = 0; i < BOXES; i++)
        l.ready_ms[i] = g_rand_int_range(l.rand, READY_MIN_MS, READY_MAX_MS);
    for (unsigned i = 0; i < CALLERS; i++)
        run_caller(&l);
    g_rand_free(l.rand);
    return l;
}

static void callers_are_served_when_all_boxes_start(void **state)
{
    (void)state;
    Sim refuses = simulate(false), holds = simulate(true);
    print_message("served of %u: %u when refused, %u when held (%u in vain)\n",
                  CALLERS, refuses.served, holds.served, holds.held_in_vain);
    assert_true(holds.served > 0.95 * CALLERS);
    assert_true(refuses.served < 0.85 * CALLERS);
}

TESTS_MAIN(T(hold_times), T(hold_time_counts_against_the_deadline),
           T(request_held_in_vain_is_refused_as_not_run),
           T(callers_are_served_when_all_boxes_start))
