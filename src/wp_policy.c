/* Compiles a configuration into a policy, and looks up its objects. */
#include "wp_policy_int.h"
#include "wp_pb.h"

unsigned wp_version_set_count(const WPVersionSet *s)
{
    unsigned n = 0;
    for (unsigned i = 0; i < WP_VERSION_SET_WORDS; i++)
        n += (unsigned)__builtin_popcountll(s->w[i]);
    return n;
}

static void add_problem(WPPolicy *p, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void add_problem(WPPolicy *p, const char *format, ...)
{
    va_list ap;
    va_start(ap, format);
    g_ptr_array_add(p->problems, g_strdup_vprintf(format, ap));
    va_end(ap);
}

static void set_labels(WPLabels *l, Wp__Label **items, size_t n)
{
    for (size_t i = 0; i < n; i++)
        wp_labels_set(l, wp_str(items[i]->key), wp_str(items[i]->value));
}

static void index_name(WPPolicy *p, const char *key, unsigned index)
{
    g_hash_table_insert(p->by_name, g_strdup(key), GUINT_TO_POINTER(index + 1));
}

static void add_version(WPPolicy *p, const char *key, const Wp__Version *spec)
{
    WPVersion v = { .index = p->versions->len, .spec = spec };
    if (v.index == WP_MAX_VERSIONS) {
        add_problem(p, "version %s: more than %d versions", spec->name,
                    WP_MAX_VERSIONS);
        return;
    }
    v.labels = wp_labels_new();
    index_name(p, key, v.index);
    g_array_append_val(p->versions, v);
}

static void add_workspace(WPPolicy *p, const char *key,
                          const Wp__Workspace *spec)
{
    WPWorkspace w = { .index = p->workspaces->len, .spec = spec };
    w.labels = wp_labels_new();
    set_labels(w.labels, spec->labels, spec->n_labels);
    index_name(p, key, w.index);
    for (size_t i = 0; i < spec->n_key_sha256; i++)
        g_hash_table_insert(p->by_key, spec->key_sha256[i],
                            GUINT_TO_POINTER(w.index + 1));
    g_array_append_val(p->workspaces, w);
}

static WPSelector *parse_selector(WPPolicy *p, const char *what,
                                  const char *name, const char *text)
{
    g_autoptr(GError) error = NULL;
    WPSelector *s = wp_selector_new(wp_str(text), &error);
    if (!s)
        add_problem(p, "%s %s: %s", what, name, error->message);
    return s;
}

/* Adds one object of the configuration to the list of its type; notes a problem
   if it is invalid. */
static void add_object(void *arg, const char *key, const Wp__Object *o)
{
    WPPolicy *p = arg;
    switch (o->spec_case) {
    case WP__OBJECT__SPEC_MODEL:
        g_ptr_array_add(p->models, o->model);
        break;
    case WP__OBJECT__SPEC_VERSION:
        add_version(p, key, o->version);
        break;
    case WP__OBJECT__SPEC_KIND: {
        WPKind k = { p->kinds->len, o->kind };
        index_name(p, key, k.index);
        g_array_append_val(p->kinds, k);
        break;
    }
    case WP__OBJECT__SPEC_WORKSPACE:
        add_workspace(p, key, o->workspace);
        break;
    case WP__OBJECT__SPEC_RULE: {
        WPLabelRule r = { o->rule, parse_selector(p, "rule", o->rule->name,
                                                  o->rule->match) };
        g_array_append_val(p->rules, r);
        break;
    }
    case WP__OBJECT__SPEC_SELECTOR: {
        WPSelectorRule s = { .spec = o->selector };
        s.deny = !strcmp(o->selector->effect, "deny");
        if (!s.deny && strcmp(o->selector->effect, "allow"))
            add_problem(p, "selector %s: effect: expected allow or deny",
                        o->selector->name);
        g_array_append_val(p->selectors, s);
        break;
    }
    case WP__OBJECT__SPEC_SESSION_KEY:
        g_ptr_array_add(p->session_keys, o->session_key);
        break;
    case WP__OBJECT__SPEC_ROLLOUT: {
        WPRollout r = { .spec = o->rollout };
        g_array_append_val(p->rollouts, r);
        break;
    }
    default:
        break;
    }
}

bool wp_rules_apply(const WPPolicy *p, const char *target,
                    const WPLabels *overrides, WPLabels *labels)
{
    bool changed = true;
    for (guint pass = 0; changed && pass <= p->rules->len; pass++) {
        changed = false;
        for (guint i = 0; i < p->rules->len; i++) {
            const WPLabelRule *r = &g_array_index(p->rules, WPLabelRule, i);
            if (strcmp(r->spec->on, target) || !r->match ||
                !wp_selector_match(r->match, overrides, labels))
                continue;
            for (size_t k = 0; k < r->spec->n_set; k++)
                changed |= wp_labels_set(labels, wp_str(r->spec->set[k]->key),
                                         wp_str(r->spec->set[k]->value));
        }
    }
    return !changed;
}

static const Wp__Model *find_model(const WPPolicy *p, const char *name)
{
    for (guint i = 0; name && i < p->models->len; i++) {
        const Wp__Model *m = p->models->pdata[i];
        if (!strcmp(m->name, name))
            return m;
    }
    return NULL;
}

/* Sets a version's labels: its model's, then its own, then those of rules.
   Later ones replace earlier ones. */
static void label_version(WPPolicy *p, WPVersion *v)
{
    const Wp__Model *m = find_model(p, v->spec->model);
    if (m) {
        set_labels(v->labels, m->labels, m->n_labels);
        wp_labels_set(v->labels, wp_str("model"), wp_str(m->name));
        if (!wp_rules_apply(p, "model", NULL, v->labels))
            add_problem(p, "rules on model %s undo each other", m->name);
    } else if (v->spec->model) {
        add_problem(p, "version %s: model %s is not configured", v->spec->name,
                    v->spec->model);
    }
    set_labels(v->labels, v->spec->labels, v->spec->n_labels);
    wp_labels_set(v->labels, wp_str("version"), wp_str(v->spec->name));
    if (v->spec->service)
        wp_labels_set(v->labels, wp_str("service"), wp_str(v->spec->service));
    if (!wp_rules_apply(p, "version", NULL, v->labels))
        add_problem(p, "rules on version %s undo each other", v->spec->name);
}

/* Parses a selector's expressions and determines the versions that it applies
   to. Without a valid expression for versions, one that denies applies to all
   and one that allows to none. */
static void compile_selector(WPPolicy *p, WPSelectorRule *s)
{
    WPSelector *versions =
        parse_selector(p, "selector", s->spec->name, s->spec->versions);
    s->traffic = parse_selector(p, "selector", s->spec->name, s->spec->traffic);
    for (guint i = 0; i < p->versions->len; i++) {
        WPVersion *v = &g_array_index(p->versions, WPVersion, i);
        bool matches =
            versions ? wp_selector_match(versions, NULL, v->labels) : s->deny;
        if (matches)
            wp_version_set_add(&s->versions, i);
    }
    wp_selector_free(versions);
    /* A selector that denies and cannot be parsed denies all, as the safe
       choice. */
    if (!s->traffic && s->deny)
        s->traffic = wp_selector_new(wp_str(""), NULL);
}

static void resolve_rollouts(WPPolicy *p)
{
    for (guint i = p->rollouts->len; i-- > 0;) {
        WPRollout *r = &g_array_index(p->rollouts, WPRollout, i);
        const WPVersion *from = wp_policy_version(p, r->spec->from);
        const WPVersion *to = wp_policy_version(p, r->spec->to);
        if (from && to && from != to) {
            r->from = from->index;
            r->to = to->index;
            continue;
        }
        add_problem(p, "rollout %s: versions %s and %s must exist and differ",
                    r->spec->name, r->spec->from, r->spec->to);
        g_array_remove_index(p->rollouts, i);
    }
}

static void check_rules(WPPolicy *p)
{
    static const char *const targets[] = { "model", "version", "workspace",
                                           "request", NULL };
    for (guint i = 0; i < p->rules->len; i++) {
        const WPLabelRule *r = &g_array_index(p->rules, WPLabelRule, i);
        if (!g_strv_contains(targets, r->spec->on))
            add_problem(p,
                        "rule %s: on: expected model, version, workspace or "
                        "request",
                        r->spec->name);
    }
}

static void compute_allowed_table(WPPolicy *p)
{
    p->allowed_table =
        g_new0(WPVersionSet, p->workspaces->len * p->kinds->len + 1);
    for (guint w = 0; w < p->workspaces->len; w++)
        for (guint k = 0; k < p->kinds->len; k++)
            wp_policy_compute_allowed(p, wp_policy_workspace_at(p, w),
                                      wp_policy_kind_at(p, k), NULL,
                                      &p->allowed_table[w * p->kinds->len + k]);
}

static void compile_all(WPPolicy *p)
{
    check_rules(p);
    for (guint i = 0; i < p->versions->len; i++)
        label_version(p, &g_array_index(p->versions, WPVersion, i));
    for (guint i = 0; i < p->workspaces->len; i++) {
        WPWorkspace *w = &g_array_index(p->workspaces, WPWorkspace, i);
        if (!wp_rules_apply(p, "workspace", NULL, w->labels))
            add_problem(p, "rules on workspace %s undo each other",
                        w->spec->name);
    }
    for (guint i = 0; i < p->selectors->len; i++)
        compile_selector(p, &g_array_index(p->selectors, WPSelectorRule, i));
    resolve_rollouts(p);
    compute_allowed_table(p);
}

WPPolicy *wp_policy_new(const WPConfig *c)
{
    WPPolicy *p = g_new0(WPPolicy, 1);
    p->refs = 1;
    p->revision = wp_config_revision(c);
    p->versions = g_array_new(FALSE, TRUE, sizeof(WPVersion));
    p->kinds = g_array_new(FALSE, TRUE, sizeof(WPKind));
    p->workspaces = g_array_new(FALSE, TRUE, sizeof(WPWorkspace));
    p->selectors = g_array_new(FALSE, TRUE, sizeof(WPSelectorRule));
    p->rules = g_array_new(FALSE, TRUE, sizeof(WPLabelRule));
    p->rollouts = g_array_new(FALSE, TRUE, sizeof(WPRollout));
    p->models = g_ptr_array_new();
    p->session_keys = g_ptr_array_new();
    p->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    p->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    p->problems = g_ptr_array_new_with_free_func(g_free);
    /* The policy outlives the configuration's next change: keep a copy. */
    p->config_copy = wp_config_copy(c);
    p->past = wp_past_new();
    wp_config_each(p->config_copy, add_object, p);
    compile_all(p);
    return p;
}

WPPolicy *wp_policy_ref(WPPolicy *p)
{
    p->refs++;
    return p;
}

static void free_arrays(WPPolicy *p)
{
    for (guint i = 0; i < p->versions->len; i++)
        wp_labels_free(g_array_index(p->versions, WPVersion, i).labels);
    for (guint i = 0; i < p->workspaces->len; i++)
        wp_labels_free(g_array_index(p->workspaces, WPWorkspace, i).labels);
    for (guint i = 0; i < p->selectors->len; i++)
        wp_selector_free(
            g_array_index(p->selectors, WPSelectorRule, i).traffic);
    for (guint i = 0; i < p->rules->len; i++)
        wp_selector_free(g_array_index(p->rules, WPLabelRule, i).match);
    g_array_unref(p->versions);
    g_array_unref(p->kinds);
    g_array_unref(p->workspaces);
    g_array_unref(p->selectors);
    g_array_unref(p->rules);
    g_array_unref(p->rollouts);
}

void wp_policy_unref(WPPolicy *p)
{
    if (!p || --p->refs)
        return;
    free_arrays(p);
    g_ptr_array_unref(p->models);
    g_ptr_array_unref(p->session_keys);
    g_hash_table_unref(p->by_name);
    g_hash_table_unref(p->by_key);
    g_ptr_array_unref(p->problems);
    wp_config_free(p->config_copy);
    g_array_unref(p->past);
    g_free(p->allowed_table);
    g_free(p);
}

uint64_t wp_policy_revision(const WPPolicy *p)
{
    return p->revision;
}

const GPtrArray *wp_policy_problems(const WPPolicy *p)
{
    return p->problems;
}

/* Returns the index + 1 of the object KIND/NAME, or 0. */
static guint find(const WPPolicy *p, const char *kind, const char *name)
{
    char key[256];
    if (!name || strlen(kind) + strlen(name) + 2 > sizeof(key))
        return 0;
    g_snprintf(key, sizeof(key), "%s/%s", kind, name);
    return GPOINTER_TO_UINT(g_hash_table_lookup(p->by_name, key));
}

#define LOOKUPS(type, thing, array)                                            \
    unsigned wp_policy_##array(const WPPolicy *p)                              \
    {                                                                          \
        return p->array->len;                                                  \
    }                                                                          \
    const type *wp_policy_##thing##_at(const WPPolicy *p, unsigned i)          \
    {                                                                          \
        return &g_array_index(p->array, type, i);                              \
    }                                                                          \
    const type *wp_policy_##thing(const WPPolicy *p, const char *name)         \
    {                                                                          \
        guint i = find(p, #thing, name);                                       \
        return i ? &g_array_index(p->array, type, i - 1) : NULL;               \
    }

LOOKUPS(WPVersion, version, versions)
LOOKUPS(WPKind, kind, kinds)
LOOKUPS(WPWorkspace, workspace, workspaces)

const WPWorkspace *wp_policy_by_key(const WPPolicy *p, const char *sha256)
{
    guint i = GPOINTER_TO_UINT(g_hash_table_lookup(p->by_key, sha256));
    return i ? wp_policy_workspace_at(p, i - 1) : NULL;
}

unsigned wp_policy_rollouts(const WPPolicy *p)
{
    return p->rollouts->len;
}

const WPRollout *wp_policy_rollout_at(const WPPolicy *p, unsigned i)
{
    return &g_array_index(p->rollouts, WPRollout, i);
}

unsigned wp_policy_session_keys(const WPPolicy *p)
{
    return p->session_keys->len;
}

const Wp__SessionKey *wp_policy_session_key_at(const WPPolicy *p, unsigned i)
{
    return p->session_keys->pdata[i];
}
