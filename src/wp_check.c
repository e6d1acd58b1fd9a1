/* Checks of a whole configuration. */
#include "wp_check.h"
#include "wp_policy_int.h"

typedef struct Checking {
    const WPPolicy *p;
    GPtrArray *out;
    GHashTable *known; /* label keys that some version can carry */
    const char *selector;
} Checking;

static void say(Checking *c, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void say(Checking *c, const char *format, ...)
{
    va_list ap;
    va_start(ap, format);
    g_ptr_array_add(c->out, g_strdup_vprintf(format, ap));
    va_end(ap);
}

static void know_labels(Checking *c)
{
    for (unsigned i = 0; i < wp_policy_versions(c->p); i++) {
        const WPLabels *l = wp_policy_version_at(c->p, i)->labels;
        for (size_t k = 0; k < wp_labels_count(l); k++) {
            const char *key, *value;
            wp_labels_at(l, k, &key, &value);
            g_hash_table_add(c->known, g_strdup(key));
        }
    }
}

static void check_key(void *arg, const char *key)
{
    Checking *c = arg;
    if (!g_hash_table_contains(c->known, key))
        say(c, "selector %s: no version has a label '%s'", c->selector, key);
}

static void check_selectors(Checking *c)
{
    for (guint i = 0; i < c->p->selectors->len; i++) {
        const WPSelectorRule *s =
            &g_array_index(c->p->selectors, WPSelectorRule, i);
        WPSelector *versions = wp_selector_new(wp_str(s->spec->versions), NULL);
        c->selector = s->spec->name;
        if (versions)
            wp_selector_keys(versions, check_key, c);
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

static void check_workspaces(Checking *c)
{
    for (unsigned w = 0; w < wp_policy_workspaces(c->p); w++) {
        const WPWorkspace *ws = wp_policy_workspace_at(c->p, w);
        if (!any_version(c->p, ws))
            say(c, "workspace %s: no version may serve it", ws->spec->name);
        if (ws->spec->weight <= 0)
            say(c, "workspace %s: weight: expected a number above 0",
                ws->spec->name);
    }
}

static bool is_share(double v)
{
    return v >= 0 && v <= 1;
}

static void check_values(Checking *c)
{
    for (unsigned i = 0; i < wp_policy_versions(c->p); i++) {
        const Wp__Version *v = wp_policy_version_at(c->p, i)->spec;
        if (!is_share(v->quality_prior))
            say(c, "version %s: quality_prior: expected 0 to 1", v->name);
        if (v->cost_in < 0 || v->cost_out < 0)
            say(c, "version %s: cost: expected a number not below 0", v->name);
    }
    for (unsigned i = 0; i < wp_policy_kinds(c->p); i++) {
        const Wp__Kind *k = wp_policy_kind_at(c->p, i)->spec;
        if (!is_share(k->quality_target) || !is_share(k->explore_share))
            say(c, "kind %s: quality_target, explore_share: expected 0 to 1",
                k->name);
        if (k->cascade && !k->repeatable)
            say(c, "kind %s: cascade: what may not be repeated cannot escalate",
                k->name);
    }
}

GPtrArray *wp_check(const WPConfig *config)
{
    WPPolicy *p = wp_policy_new(config);
    Checking c = { p, g_ptr_array_new_with_free_func(g_free),
                   g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                   NULL };
    const GPtrArray *problems = wp_policy_problems(p);
    for (guint i = 0; i < problems->len; i++)
        say(&c, "%s", (const char *)problems->pdata[i]);
    know_labels(&c);
    check_selectors(&c);
    check_workspaces(&c);
    check_values(&c);
    g_hash_table_unref(c.known);
    wp_policy_unref(p);
    return c.out;
}
