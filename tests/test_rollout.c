/* The chart's interpreter: every state and event, gates, and that a step only
 * holds for what it was decided on. */
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

static void rate(WPQuality *q, const WPPolicy *p, uint32_t n, double good)
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

/* The state after one step, or NULL when nothing is due. */
static char *step(const char *rules, uint32_t ratings, double good,
                  int64_t now_ms, bool *withdrawn)
{
    WPConfig *c = config_from(rules, 1);
    WPPolicy *p = wp_policy_new(c);
    WPQuality *q = wp_quality_new();
    Wp__Chart *ch = chart();
    g_autofree char *why = NULL;
    char *state = NULL;
    WPRolloutMonitor w;
    wp_rollout_monitor_init(&w);
    if (ratings)
        rate(q, p, 1, good);
    wp_rollout_monitor_poll(&w, p, q, at_ms(1000));
    if (ratings)
        rate(q, p, 1 + ratings, good);
    wp_rollout_monitor_poll(&w, p, q, at_ms(now_ms));
    GPtrArray *ops = wp_rollout_step(ch, p, q, &w, at_ms(now_ms), &why);
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

/* A state that another box has entered lasts before this box's eyes: its time
   of day may be ahead, and ratings from before the roll-out tell nothing of it.
 */
static void neither_a_clock_nor_the_past_opens_a_gate(void **unused)
{
    WPConfig *c = config_from(RULES("canary", ""), 1);
    WPPolicy *p = wp_policy_new(c);
    WPQuality *q = wp_quality_new();
    Wp__Chart *ch = chart();
    WPRolloutMonitor w;
    WPTime now = at_ms(1000);
    g_autofree char *why = NULL;
    (void)unused;
    wp_rollout_monitor_init(&w);
    wp_rollout_monitor_poll(&w, p, q, now);
    rate(q, p, 10, 0.9);
    wp_rollout_monitor_poll(&w, p, q, now);
    now.wall_ms += 60000;
    wp_rollout_monitor_poll(&w, p, q, now);
    assert_null(wp_rollout_step(ch, p, q, &w, now, &why));
    now.mono_us += 20 * WP_US_PER_S;
    assert_null(wp_rollout_step(ch, p, q, &w, now, &why));
    rate(q, p, 15, 0.9);
    GPtrArray *ops = wp_rollout_step(ch, p, q, &w, now, &why);
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
        const char *want;
        bool withdrawn;
    } rows[] = {
        { RULES("pending", ""), 0, 0, 1000, "canary", false },
        { RULES("canary", ""), 9, 0.9, 5000, NULL, false },  /* dwelling */
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
        if (g_strcmp0(got, rows[i].want) || withdrawn != rows[i].withdrawn)
            fail_msg("row %zu: %s", i, got ? got : "nothing");
    }
}

static void operators_events_lead_where_the_chart_says(void **unused)
{
    static const struct {
        const char *state, *event, *want;
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
        assert_int_equal(ops != NULL, rows[i].want != NULL);
        assert_int_equal(error != NULL, rows[i].want == NULL);
        g_clear_error(&error);
        if (ops)
            wp_ops_free(ops);
        wp_config_free(c);
    }
    wp_pb_free(ch);
}

static void charts_must_lead_somewhere(void **unused)
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

/* A box that starts after an operator has let a version serve again must not
   judge it by the old ratings. */
static void the_past_stops_nothing(void **unused)
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
    rate(q, p, 600, 0.3);
    assert_false(wp_quality_is_bad(q, "new", &kind));
    rate(q, p, 640, 0.3);
    assert_true(wp_quality_is_bad(q, "new", &kind));
    wp_quality_free(q);
    wp_policy_unref(p);
    wp_config_free(c);
}

/* The automatic stop never takes the last version that may serve something. */
static void the_last_version_is_not_stopped(void **unused)
{
    WPConfig *c = config_from("versions: [{name: new, quality_prior: 0.9}]\n"
                              "kinds: [{name: k}]\nworkspaces: [{name: w}]\n"
                              "selectors: [{name: s}]\n",
                              1);
    WPPolicy *p = wp_policy_new(c);
    WPQuality *q = wp_quality_new();
    char *why = NULL;
    (void)unused;
    rate(q, p, 1, 0.9); /* what came before this box counts as past */
    rate(q, p, 60, 0.3);
    assert_null(wp_withdraw_bad_version(p, q, (WPTime){ 0, 1 }, &why));
    wp_quality_free(q);
    wp_policy_unref(p);
    wp_config_free(c);
}

TESTS_MAIN(T(states_follow_their_gates),
           T(neither_a_clock_nor_the_past_opens_a_gate),
           T(operators_events_lead_where_the_chart_says),
           T(charts_must_lead_somewhere), T(the_past_stops_nothing),
           T(the_last_version_is_not_stopped))
