/* Validation of a whole configuration. */
#include "wp_config_validate.h"
#include "wp_policy_int.h"

typedef struct CheckContext {
    const WPPolicy *p;
    GPtrArray *out;
    GHashTable *label_keys; /* keys of the labels that versions have */
    const char *selector;   /* name of the one being checked */
} CheckContext;

static void add_problem(CheckContext *c, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void add_problem(CheckContext *c, const char *format, ...)
{
    va_list ap;
    va_start(ap, format);
    g_ptr_array_add(c->out, g_strdup_vprintf(format, ap));
    va_end(ap);
}

static void collect_label_keys(CheckContext *c)
{
    for (unsigned i = 0; i < wp_policy_versions(c->p); i++) {
        const WPLabels *l = wp_policy_version_at(c->p, i)->labels;
        for (size_t k = 0; k < wp_labels_count(l); k++) {
            const char *key, *value;
            wp_labels_at(l, k, &key, &value);
            g_hash_table_add(c->label_keys, g_strdup(key));
        }
    }
}

static void check_label_key(void *arg, const char *key)
{
    CheckContext *c = arg;
    if (!g_hash_table_contains(c->label_keys, key))
        add_problem(c, "selector %s: no version has a label '%s'", c->selector,
                    key);
}

static void check_selectors(CheckContext *c)
{
    for (guint i = 0; i < c->p->selectors->len; i++) {
        const WPSelectorRule *s =
            &g_array_index(c->p->selectors, WPSelectorRule, i);
        WPSelector *versions = wp_selector_new(wp_str(s->spec->versions), NULL);
        c->selector = s->spec->name;
        if (versions)
            wp_selector_keys(versions, check_label_key, c);
        wp_selector_free(versions);
    }
}

static bool any_version(const WPPolicy *p, const WPWorkspace *ws)
{
    for (unsigned k = 0; k < wp_policy_kinds(p); k++) {
        WPVersionSet set;
        wp_policy_allowed(p, ws, wp_policy_kind_at(p, k), NULL, &set);
        if (!wp_version_set_empty(&set))
            return true;
    }
    return false;
}

static void check_workspaces(CheckContext *c)
{
    for (unsigned w = 0; w < wp_policy_workspaces(c->p); w++) {
        const WPWorkspace *ws = wp_policy_workspace_at(c->p, w);
        if (!any_version(c->p, ws))
            add_problem(c, "workspace %s: no version may serve it",
                        ws->spec->name);
        if (ws->spec->weight <= 0)
            add_problem(c, "workspace %s: weight: expected a number above 0",
                        ws->spec->name);
    }
}

static bool is_fraction(double v)
{
    return v >= 0 && v <= 1;
}

/* Notes a problem for each version or kind with a value out of range, and for a
   kind that escalates although it is not repeatable. */
static void check_values(CheckContext *c)
{
    for (unsigned i = 0; i < wp_policy_versions(c->p); i++) {
        const Wp__Version *v = wp_policy_version_at(c->p, i)->spec;
        if (!is_fraction(v->quality_prior))
            add_problem(c, "version %s: quality_prior: expected 0 to 1",
                        v->name);
        if (v->cost_in < 0 || v->cost_out < 0)
            add_problem(c, "version %s: cost: expected a number not below 0",
                        v->name);
    }
    for (unsigned i = 0; i < wp_policy_kinds(c->p); i++) {
        const Wp__Kind *k = wp_policy_kind_at(c->p, i)->spec;
        if (!is_fraction(k->quality_target) || !is_fraction(k->explore_share))
            add_problem(
                c, "kind %s: quality_target, explore_share: expected 0 to 1",
                k->name);
        if (k->cascade && !k->repeatable)
            add_problem(c,
                        "kind %s: cascade: a kind that is not repeatable "
                        "cannot escalate",
                        k->name);
    }
}

GPtrArray *wp_config_validate(const WPConfig *config)
{
    WPPolicy *p = wp_policy_new(config);
    CheckContext c = {
        p, g_ptr_array_new_with_free_func(g_free),
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL), NULL
    };
    const GPtrArray *problems = wp_policy_problems(p);
    for (guint i = 0; i < problems->len; i++)
        add_problem(&c, "%s", (const char *)problems->pdata[i]);
    collect_label_keys(&c);
    check_selectors(&c);
    check_workspaces(&c);
    check_values(&c);
    g_hash_table_unref(c.label_keys);
    wp_policy_unref(p);
    return c.out;
}
