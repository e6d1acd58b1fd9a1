/* The interpreter of roll-out charts, and the automatic withdrawal of bad
 * versions. */
#include "wp_rollout.h"
#include "wp_code.h"
#include "wp_pb.h"

Wp__Chart *wp_chart_read(WPStr text, const char *file, GError **error)
{
    Wp__Chart *c =
        (Wp__Chart *)wp_yaml_read(&wp__chart__descriptor, text, file, error);
    if (!c)
        return NULL;
    const char *missing = wp_chart_state(c, c->initial) ? NULL : c->initial;
    for (size_t i = 0; i < c->n_states; i++)
        for (size_t k = 0; k < c->states[i]->n_on; k++)
            if (!wp_chart_state(c, c->states[i]->on[k]->to))
                missing = c->states[i]->on[k]->to;
    if (!missing)
        return c;
    g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                "%s: state '%s' is used but not defined", file, missing);
    wp_pb_free(c);
    return NULL;
}

const Wp__ChartState *wp_chart_state(const Wp__Chart *c, const char *name)
{
    for (size_t i = 0; i < c->n_states; i++)
        if (!strcmp(c->states[i]->name, name))
            return c->states[i];
    return NULL;
}

const Wp__ChartState *wp_chart_next(const Wp__Chart *c, const char *state,
                                    const char *event)
{
    const Wp__ChartState *s = wp_chart_state(c, state);
    for (size_t i = 0; s && i < s->n_on; i++)
        if (!strcmp(s->on[i]->event, event))
            return wp_chart_state(c, s->on[i]->to);
    return NULL;
}

/* Adds to the roll-out's history that `share` takes effect at `at_ms` (Unix
   milliseconds). */
static void add_share(Wp__Rollout *r, double share, uint64_t at_ms)
{
    Wp__SharePoint *point = calloc(1, sizeof(*point));
    g_assert(point);
    wp__share_point__init(point);
    point->at_ms = at_ms;
    point->share = share;
    r->history = g_realloc(r->history, (r->n_history + 1) * sizeof(point));
    r->history[r->n_history++] = point;
}

/* Returns a copy of the roll-out that has entered state `s`, for the given
   reason. Free it with wp_pb_free(). */
static Wp__Object *enter_state(const Wp__Rollout *old, const Wp__ChartState *s,
                               WPTime now, const char *reason)
{
    Wp__Object wrap = WP__OBJECT__INIT;
    wrap.spec_case = WP__OBJECT__SPEC_ROLLOUT;
    wrap.rollout = (Wp__Rollout *)old;
    Wp__Object *o = wp_pb_copy(&wrap.base);
    Wp__Rollout *r = o->rollout;
    uint64_t wall = (uint64_t)now.wall_ms;
    /* An unset state points to the default value, which is not allocated. */
    if (r->state != r->base.descriptor->fields[3].default_value)
        free(r->state);
    r->state = strdup(s->name);
    r->has_entered_ms = 1;
    r->entered_ms = wall;
    r->has_fence = 1;
    r->fence++;
    free(r->reason);
    r->reason = strdup(reason);
    if (s->share >= 0 && s->share != r->share) {
        r->has_share = 1;
        r->share = s->share;
        add_share(r, s->share, wall + WP_SHARE_ACTIVATION_DELAY_MS);
    }
    return o;
}

/* The operation that writes the version with its withdrawal set or lifted. */
static Wp__Op *withdraw_op(const Wp__Version *old, bool withdrawn, WPTime now)
{
    Wp__Object wrap = WP__OBJECT__INIT;
    wrap.spec_case = WP__OBJECT__SPEC_VERSION;
    wrap.version = (Wp__Version *)old;
    Wp__Object *o = wp_pb_copy(&wrap.base);
    o->version->has_withdrawn = 1;
    o->version->withdrawn = withdrawn;
    if (withdrawn) {
        o->version->has_withdrawn_ms = 1;
        o->version->withdrawn_ms = (uint64_t)now.wall_ms;
    }
    Wp__Op *op = wp_op_put(o);
    wp_pb_free(o);
    return op;
}

GPtrArray *wp_withdraw_ops(const WPConfig *c, const char *version,
                           bool withdrawn, WPTime now, GError **error)
{
    g_autofree char *key = g_strconcat("version/", version, NULL);
    const Wp__Object *o = wp_config_get(c, key);
    if (!o) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                    "version '%s' is not configured", version);
        return NULL;
    }
    GPtrArray *ops = g_ptr_array_new();
    g_ptr_array_add(ops, withdraw_op(o->version, withdrawn, now));
    return ops;
}

/* The observations of this box on one roll-out. */
typedef struct Observed {
    uint64_t fence;   /* fencing token of the state that it is in */
    int64_t since_us; /* when this box first saw it in this state; monotonic */
    double ratings;   /* of the new version when the roll-out was first seen */
    bool has_sums;    /* sums of ratings were known at the last poll */
} Observed;

void wp_rollout_monitor_init(WPRolloutMonitor *w)
{
    w->observed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void wp_rollout_monitor_end(WPRolloutMonitor *w)
{
    g_hash_table_unref(w->observed);
}

/* Updates the observations of one roll-out. */
static void observe(WPRolloutMonitor *w, const WPRollout *r, const WPQuality *q,
                    WPTime now)
{
    Observed *d = g_hash_table_lookup(w->observed, r->spec->name);
    if (!d) {
        d = g_new0(Observed, 1);
        g_hash_table_insert(w->observed, g_strdup(r->spec->name), d);
    }
    /* The first sums that a box receives are of ratings from before, and sums
       may be reset. */
    double count = wp_quality_rating_count(q, r->spec->to);
    if (!d->since_us || !d->has_sums || count < d->ratings)
        d->ratings = count;
    d->has_sums = wp_quality_seq(q) > 0;
    if (d->since_us && d->fence == r->spec->fence)
        return;
    d->fence = r->spec->fence;
    d->since_us = now.mono_us;
}

void wp_rollout_monitor_poll(WPRolloutMonitor *w, const WPPolicy *p,
                             const WPQuality *q, WPTime now)
{
    for (unsigned i = 0; i < wp_policy_rollouts(p); i++)
        observe(w, wp_policy_rollout_at(p, i), q, now);
}

/* Evaluates the gate of state `s`: returns the event that it gives, and its
   reason in `*why`, or NULL while the roll-out is to stay in the state.
   `dwelt`: the state has lasted for its dwell time. */
static const char *evaluate_gate(const Wp__ChartState *s, const WPRollout *r,
                                 const WPQuality *q, const Observed *d,
                                 bool dwelt, const char **why)
{
    const char *kind;
    bool held = !strcmp(s->gate, "hold") || !strcmp(s->gate, "watch");
    if (strcmp(s->gate, "none") && wp_quality_is_bad(q, r->spec->to, &kind)) {
        *why = kind;
        return "bad";
    }
    if (!dwelt || held)
        return NULL;
    if (!strcmp(s->gate, "quality") &&
        wp_quality_rating_count(q, r->spec->to) - d->ratings < s->ratings)
        return NULL;
    *why = "dwell and gate passed";
    return "next";
}

/* The operations of the roll-out's next step; NULL if none is due. */
static GPtrArray *step_one(const Wp__Chart *c, const WPPolicy *p,
                           const WPRollout *r, const WPQuality *q,
                           const Observed *d, WPTime now, char **why)
{
    const Wp__ChartState *s = wp_chart_state(c, r->spec->state);
    const char *reason = NULL;
    if (!s || !d || d->fence != r->spec->fence)
        return NULL;
    int64_t dwell_us = (int64_t)s->dwell_s * WP_US_PER_S;
    bool dwelt = now.mono_us - d->since_us >= dwell_us;
    const char *event = evaluate_gate(s, r, q, d, dwelt, &reason);
    const Wp__ChartState *to = event ? wp_chart_next(c, s->name, event) : NULL;
    if (!to)
        return NULL;
    GPtrArray *ops = g_ptr_array_new();
    Wp__Object *o = enter_state(r->spec, to, now, reason);
    g_ptr_array_add(ops, wp_op_put(o));
    wp_pb_free(o);
    if (!strcmp(event, "bad"))
        g_ptr_array_add(
            ops, withdraw_op(wp_policy_version_at(p, r->to)->spec, true, now));
    *why = g_strdup_printf("%s: %s to %s, %s", r->spec->name, s->name, to->name,
                           reason);
    return ops;
}

GPtrArray *wp_rollout_step(const Wp__Chart *c, const WPPolicy *p,
                           const WPQuality *q, const WPRolloutMonitor *w,
                           WPTime now, char **why)
{
    for (unsigned i = 0; i < wp_policy_rollouts(p); i++) {
        const WPRollout *r = wp_policy_rollout_at(p, i);
        if (wp_policy_version_at(p, r->to)->spec->withdrawn)
            continue;
        const Observed *d = g_hash_table_lookup(w->observed, r->spec->name);
        GPtrArray *ops = step_one(c, p, r, q, d, now, why);
        if (ops)
            return ops;
    }
    return NULL;
}

GPtrArray *wp_rollout_event(const Wp__Chart *c, const WPConfig *config,
                            const char *name, const char *event, WPTime now,
                            GError **error)
{
    g_autofree char *key = g_strconcat("rollout/", name, NULL);
    const Wp__Object *o = wp_config_get(config, key);
    if (!o) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                    "roll-out '%s' is not configured", name);
        return NULL;
    }
    const Wp__ChartState *to = wp_chart_next(c, o->rollout->state, event);
    if (!to) {
        g_set_error(
            error, WP_ERROR, WP_ERROR_INPUT,
            "roll-out '%s' is in state '%s', which has no transition on "
            "event '%s'",
            name, o->rollout->state, event);
        return NULL;
    }
    GPtrArray *ops = g_ptr_array_new();
    Wp__Object *next = enter_state(o->rollout, to, now, "operator");
    g_ptr_array_add(ops, wp_op_put(next));
    wp_pb_free(next);
    return ops;
}

/* Whether the version is the only one that some workspace may use for some kind
   of request. */
static bool is_last_version(const WPPolicy *p, unsigned version)
{
    for (unsigned w = 0; w < wp_policy_workspaces(p); w++) {
        for (unsigned k = 0; k < wp_policy_kinds(p); k++) {
            WPVersionSet set;
            wp_policy_allowed(p, wp_policy_workspace_at(p, w),
                              wp_policy_kind_at(p, k), NULL, &set);
            if (wp_version_set_has(&set, version) &&
                wp_version_set_count(&set) == 1)
                return true;
        }
    }
    return false;
}

GPtrArray *wp_withdraw_bad_version(const WPPolicy *p, const WPQuality *q,
                                   WPTime now, char **why)
{
    const char *kind;
    for (unsigned i = 0; i < wp_policy_versions(p); i++) {
        const Wp__Version *v = wp_policy_version_at(p, i)->spec;
        if (v->withdrawn || !wp_quality_is_bad(q, v->name, &kind) ||
            is_last_version(p, i))
            continue;
        GPtrArray *ops = g_ptr_array_new();
        g_ptr_array_add(ops, withdraw_op(v, true, now));
        *why = g_strdup_printf("%s withdrawn: ratings are bad for kind %s",
                               v->name, kind);
        return ops;
    }
    return NULL;
}
