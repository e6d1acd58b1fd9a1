/* The interpreter of roll-out charts, and the automatic stop. */
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
                "%s: state '%s' is led to but not described", file, missing);
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

/* The roll-out object after it has entered `s`. */
static Wp__Object *entered(const Wp__Rollout *old, const Wp__ChartState *s,
                           WPTime now, const char *reason)
{
    Wp__Object wrap = WP__OBJECT__INIT;
    wrap.spec_case = WP__OBJECT__SPEC_ROLLOUT;
    wrap.rollout = (Wp__Rollout *)old;
    Wp__Object *o = wp_pb_copy(&wrap.base);
    Wp__Rollout *r = o->rollout;
    uint64_t wall = (uint64_t)now.wall_ms;
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
        add_share(r, s->share, wall + WP_SHARE_LEAD_MS);
    }
    return o;
}

/* A put of the version with its withdrawal set or lifted. */
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

typedef struct WPWatched {
    uint64_t fence; /* of the state that it is in */
    int64_t since_us;
    double ratings; /* of the new version when it was first seen */
    bool rated;     /* sums of ratings were known at the last look */
} WPWatched;

void wp_watch_init(WPWatch *w)
{
    w->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void wp_watch_end(WPWatch *w)
{
    g_hash_table_unref(w->seen);
}

static void look_at(WPWatch *w, const WPRollout *r, const WPQuality *q,
                    WPTime now)
{
    WPWatched *d = g_hash_table_lookup(w->seen, r->spec->name);
    if (!d) {
        d = g_new0(WPWatched, 1);
        g_hash_table_insert(w->seen, g_strdup(r->spec->name), d);
    }
    /* The first sums that a box hears are of the past; sums may be dropped. */
    double count = wp_quality_rating_count(q, r->spec->to);
    if (!d->since_us || !d->rated || count < d->ratings)
        d->ratings = count;
    d->rated = wp_quality_seq(q) > 0;
    if (d->since_us && d->fence == r->spec->fence)
        return;
    d->fence = r->spec->fence;
    d->since_us = now.mono_us;
}

void wp_watch_look(WPWatch *w, const WPPolicy *p, const WPQuality *q,
                   WPTime now)
{
    for (unsigned i = 0; i < wp_policy_rollouts(p); i++)
        look_at(w, wp_policy_rollout_at(p, i), q, now);
}

/* The gate's event, or NULL to wait. */
static const char *ask_gate(const Wp__ChartState *s, const WPRollout *r,
                            const WPQuality *q, const WPWatched *d, bool dwelt,
                            const char **why)
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

static GPtrArray *step_one(const Wp__Chart *c, const WPPolicy *p,
                           const WPRollout *r, const WPQuality *q,
                           const WPWatched *d, WPTime now, char **why)
{
    const Wp__ChartState *s = wp_chart_state(c, r->spec->state);
    const char *reason = NULL;
    if (!s || !d || d->fence != r->spec->fence)
        return NULL;
    int64_t dwell_us = (int64_t)s->dwell_s * WP_US_PER_S;
    bool dwelt = now.mono_us - d->since_us >= dwell_us;
    const char *event = ask_gate(s, r, q, d, dwelt, &reason);
    const Wp__ChartState *to = event ? wp_chart_next(c, s->name, event) : NULL;
    if (!to)
        return NULL;
    GPtrArray *ops = g_ptr_array_new();
    Wp__Object *o = entered(r->spec, to, now, reason);
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
                           const WPQuality *q, const WPWatch *w, WPTime now,
                           char **why)
{
    for (unsigned i = 0; i < wp_policy_rollouts(p); i++) {
        const WPRollout *r = wp_policy_rollout_at(p, i);
        if (wp_policy_version_at(p, r->to)->spec->withdrawn)
            continue;
        const WPWatched *d = g_hash_table_lookup(w->seen, r->spec->name);
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
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                    "roll-out '%s' is %s: '%s' leads nowhere from there", name,
                    o->rollout->state, event);
        return NULL;
    }
    GPtrArray *ops = g_ptr_array_new();
    Wp__Object *next = entered(o->rollout, to, now, "operator");
    g_ptr_array_add(ops, wp_op_put(next));
    wp_pb_free(next);
    return ops;
}

/* Whether some workspace would be left without a version for some kind. */
static bool last_one(const WPPolicy *p, unsigned version)
{
    for (unsigned w = 0; w < wp_policy_workspaces(p); w++) {
        for (unsigned k = 0; k < wp_policy_kinds(p); k++) {
            WPSet set;
            wp_policy_allowed(p, wp_policy_workspace_at(p, w),
                              wp_policy_kind_at(p, k), NULL, &set);
            if (wp_set_has(&set, version) && wp_set_count(&set) == 1)
                return true;
        }
    }
    return false;
}

GPtrArray *wp_stop_bad(const WPPolicy *p, const WPQuality *q, WPTime now,
                       char **why)
{
    const char *kind;
    for (unsigned i = 0; i < wp_policy_versions(p); i++) {
        const Wp__Version *v = wp_policy_version_at(p, i)->spec;
        if (v->withdrawn || !wp_quality_is_bad(q, v->name, &kind) ||
            last_one(p, i))
            continue;
        GPtrArray *ops = g_ptr_array_new();
        g_ptr_array_add(ops, withdraw_op(v, true, now));
        *why = g_strdup_printf("%s withdrawn: bad at %s", v->name, kind);
        return ops;
    }
    return NULL;
}
