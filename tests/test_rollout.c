/* The interpreter of roll-out charts: every state and event, the gates, and
 * that each box relies only on what it has observed itself. */
#include "test.h"
#include "wp_rollout.h"

#define RULES(state, extra)                                                    \
    "versions:\n"                                                              \
    "  - {name: old, quality_prior: 0.9}\n"                                    \
    "  - {name: new, quality_prior: 0.9}\n"                                    \
    "kinds: [{name: k}]\nworkspaces: [{name: w}]\nselectors: [{name: s}]\n"    \
    "rollouts: [{name: r, from: old, to: new, state: " state ", entered_ms: "  \
    "1000, share: 0.1" extra "}]\n"

static const char chart_text[] =
    "name: c\ninitial: pending\nstates:\n"
    "  - {name: pending, on: [{event: next, to: canary}, {event: abort, to: "
    "aborted}]}\n"
    "  - {name: canary, share: 0.1, dwell_s: 10, gate: quality, ratings: 5, "
    "on: [{event: next, to: done}, {event: bad, to: stopped}, {event: pause, "
    "to: paused}]}\n"
    "  - {name: paused, gate: hold, on: [{event: resume, to: canary}, {event: "
    "bad, to: stopped}]}\n"
    "  - {name: done, share: 1, final: true, gate: watch, on: [{event: bad, "
    "to: stopped}]}\n"
    "  - {name: stopped, share: 0, final: true}\n"
    "  - {name: aborted, share: 0, final: true}\n";

static Wp__Chart *chart(void)
{
    return wp_chart_read(wp_str(chart_text), "chart", NULL);
}

static void add_ratings(WPQuality *q, const WPPolicy *p, uint32_t n,
                        double good)
{
    static uint64_t seq;
    Wp__RatingSum s = WP__RATING_SUM__INIT, *sums[] = { &s };
    Wp__Ratings r = WP__RATINGS__INIT;
    s.kind = (char *)"k";
    s.version = (char *)"new";
    s.count = n;
    s.sum = good * n;
    r.seq = ++seq;
    r.n_sums = 1;
    r.sums = sums;
    wp_quality_update(q, &r, p);
}

static WPTime at_ms(int64_t ms)
{
    return (WPTime){ ms * WP_US_PER_MS, ms };
}

/* Returns the state after one step, to be freed, or NULL if no step is due.
   `ratings` ratings of value `good` come in between; `withdrawn`: whether
   the step withdraws a version. */
static char *step(const char *rules, uint32_t ratings, double good,
                  int64_t now_ms, bool *withdrawn)
{
    WPConfig *c = config_from(rules, 1);
    WPPolicy *p = wp_policy_new(c);
    WPQuality *q = wp_quality_new();
    Wp__Chart *ch = chart();
    g_autofree char *reason = NULL;
    char *state = NULL;
    WPRolloutMonitor w;
    wp_rollout_monitor_init(&w);
    if (ratings)
        add_ratings(q, p, 1, good);
    wp_rollout_monitor_poll(&w, p, q, at_ms(1000));
    if (ratings)
        add_ratings(q, p, 1 + ratings, good);
    wp_rollout_monitor_poll(&w, p, q, at_ms(now_ms));
    GPtrArray *ops = wp_rollout_step(ch, p, q, &w, at_ms(now_ms), &reason);
    *withdrawn = false;
    for (guint i = 0; ops && i < ops->len; i++) {
        const Wp__Op *op = ops->pdata[i];
        Wp__Object *o = wp__object__unpack(NULL, op->value.len, op->value.data);
        if (o->spec_case == WP__OBJECT__SPEC_ROLLOUT)
            state = g_strdup(o->rollout->state);
        else
            *withdrawn = o->version->withdrawn;
        wp_pb_free(o);
    }
    if (ops)
        wp_ops_free(ops);
    wp_rollout_monitor_end(&w);
    wp_pb_free(ch);
    wp_quality_free(q);
    wp_policy_unref(p);
    wp_config_free(c);
    return state;
}

/* A box times a state that another box has entered from when it first sees
   it, by its monotonic clock: the wall clock may be ahead. Ratings from
   before the roll-out do not count. */
static void neither_wall_clock_nor_old_ratings_open_a_gate(void **unused)
{
    WPConfig *c = config_from(RULES("canary", ""), 1);
    WPPolicy *p = wp_policy_new(c);
    WPQuality *q = wp_quality_new();
    Wp__Chart *ch = chart();
    WPRolloutMonitor w;
    WPTime now = at_ms(1000);
    g_autofree char *reason = NULL;
    (void)unused;
    wp_rollout_monitor_init(&w);
    wp_rollout_monitor_poll(&w, p, q, now);
    add_ratings(q, p, 10, 0.9);
    wp_rollout_monitor_poll(&w, p, q, now);
    now.wall_ms += 60000;
    wp_rollout_monitor_poll(&w, p, q, now);
    assert_null(wp_rollout_step(ch, p, q, &w, now, &reason));
    now.mono_us += 20 * WP_US_PER_S;
    assert_null(wp_rollout_step(ch, p, q, &w, now, &reason));
    add_ratings(q, p, 15, 0.9);
    GPtrArray *ops = wp_rollout_step(ch, p, q, &w, now, &reason);
    assert_non_null(ops);
    wp_ops_free(ops);
    wp_rollout_monitor_end(&w);
    wp_pb_free(ch);
    wp_quality_free(q);
    wp_policy_unref(p);
    wp_config_free(c);
}

static void states_follow_their_gates(void **unused)
{
    static const struct {
        const char *rules;
        uint32_t ratings;
        double good;
        int64_t now_ms;
        const char *expected;
        bool withdrawn;
    } rows[] = {
        { RULES("pending", ""), 0, 0, 1000, "canary", false },
        { RULES("canary", ""), 9, 0.9, 5000, NULL, false }, /* still dwelling */
        { RULES("canary", ""), 3, 0.9, 20000, NULL, false }, /* few ratings */
        { RULES("canary", ""), 9, 0.9, 20000, "done", false },
        { RULES("canary", ""), 40, 0.4, 2000, "stopped", true },
        { RULES("paused", ""), 9, 0.9, 90000, NULL, false },
        { RULES("paused", ""), 40, 0.4, 2000, "stopped", true },
        { RULES("done", ""), 9, 0.9, 90000, NULL, false },
        { RULES("done", ""), 40, 0.4, 90000, "stopped", true },
        { RULES("stopped", ""), 40, 0.4, 90000, NULL, false },
        { RULES("aborted", ""), 9, 0.9, 90000, NULL, false },
        { RULES("nonsense", ""), 9, 0.9, 90000, NULL, false },
    };
    (void)unused;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        bool withdrawn;
        g_autofree char *got = step(rows[i].rules, rows[i].ratings,
                                    rows[i].good, rows[i].now_ms, &withdrawn);
        if (g_strcmp0(got, rows[i].expected) || withdrawn != rows[i].withdrawn)
            fail_msg("row %zu: %s", i, got ? got : "nothing");
    }
}

static void operator_events_follow_the_chart(void **unused)
{
    static const struct {
        const char *state, *event, *expected;
    } rows[] = { { "canary", "pause", "paused" },
                 { "paused", "resume", "canary" },
                 { "pending", "abort", "aborted" },
                 { "done", "abort", NULL },
                 { "canary", "fly", NULL } };
    Wp__Chart *ch = chart();
    (void)unused;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        g_autofree char *rules = g_strdup_printf(
            "versions: [{name: old}, {name: new}]\n"
            "rollouts: [{name: r, from: old, to: new, state: %s}]\n",
            rows[i].state);
        WPConfig *c = config_from(rules, 1);
        GError *error = NULL;
        GPtrArray *ops = wp_rollout_event(ch, c, "r", rows[i].event,
                                          (WPTime){ 0, 1 }, &error);
        assert_int_equal(ops != NULL, rows[i].expected != NULL);
        assert_int_equal(error != NULL, rows[i].expected == NULL);
        g_clear_error(&error);
        if (ops)
            wp_ops_free(ops);
        wp_config_free(c);
    }
    wp_pb_free(ch);
}

static void charts_must_name_existing_states(void **unused)
{
    GError *error = NULL;
    (void)unused;
    assert_null(
        wp_chart_read(wp_str("name: c\ninitial: a\nstates:\n"
                             "  - {name: a, on: [{event: x, to: nowhere}]}\n"),
                      "f", &error));
    assert_non_null(strstr(error->message, "nowhere"));
    g_clear_error(&error);
}

/* An operator may have let a withdrawn version serve again. A box that
   starts afterwards must not judge the version by the ratings from before. */
static void old_ratings_do_not_withdraw_a_version(void **unused)
{
    WPConfig *c = config_from("versions: [{name: new, quality_prior: 0.9}, "
                              "{name: old}]\n"
                              "kinds: [{name: k}]\nworkspaces: [{name: w}]\n"
                              "selectors: [{name: s}]\n",
                              1);
    WPPolicy *p = wp_policy_new(c);
    WPQuality *q = wp_quality_new();
    const char *kind;
    (void)unused;
    add_ratings(q, p, 600, 0.3);
    assert_false(wp_quality_is_bad(q, "new", &kind));
    add_ratings(q, p, 640, 0.3);
    assert_true(wp_quality_is_bad(q, "new", &kind));
    wp_quality_free(q);
    wp_policy_unref(p);
    wp_config_free(c);
}

/* The automatic withdrawal never withdraws the last version that may serve a
   kind of request. */
static void the_last_version_is_not_withdrawn(void **unused)
{
    WPConfig *c = config_from("versions: [{name: new, quality_prior: 0.9}]\n"
                              "kinds: [{name: k}]\nworkspaces: [{name: w}]\n"
                              "selectors: [{name: s}]\n",
                              1);
    WPPolicy *p = wp_policy_new(c);
    WPQuality *q = wp_quality_new();
    char *reason = NULL;
    (void)unused;
    /* The first ratings that a box receives count as past. */
    add_ratings(q, p, 1, 0.9);
    add_ratings(q, p, 60, 0.3);
    assert_null(wp_withdraw_bad_version(p, q, (WPTime){ 0, 1 }, &reason));
    wp_quality_free(q);
    wp_policy_unref(p);
    wp_config_free(c);
}

TESTS_MAIN(T(states_follow_their_gates),
           T(neither_wall_clock_nor_old_ratings_open_a_gate),
           T(operator_events_follow_the_chart),
           T(charts_must_name_existing_states),
           T(old_ratings_do_not_withdraw_a_version),
           T(the_last_version_is_not_withdrawn))
