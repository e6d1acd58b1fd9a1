/* Which versions may serve which traffic, and why. */
#include "wp_policy_int.h"

WPLabels *wp_traffic_labels(const WPWorkspace *ws, const WPKind *kind)
{
    WPLabels *l = wp_labels_copy(ws->labels);
    wp_labels_set(l, wp_str("workspace"), wp_str(ws->spec->name));
    if (kind)
        wp_labels_set(l, wp_str("kind"), wp_str(kind->spec->name));
    return l;
}

/* Returns a copy of the request's labels with those that the configuration's
   rules on requests add; `own`: labels of the workspace and kind. */
static WPLabels *request_labels(const WPPolicy *p, const WPLabels *request,
                                const WPLabels *own)
{
    WPLabels *l = wp_labels_copy(request);
    wp_rules_apply(p, "request", own, l);
    return l;
}

void wp_policy_compute_allowed(const WPPolicy *p, const WPWorkspace *ws,
                               const WPKind *kind, const WPLabels *request,
                               WPVersionSet *out)
{
    wp_policy_allowed_as_of(p, ws, kind, request, UINT64_MAX, out);
}

void wp_policy_allowed_as_of(const WPPolicy *p, const WPWorkspace *ws,
                             const WPKind *kind, const WPLabels *request,
                             uint64_t at_ms, WPVersionSet *out)
{
    WPLabels *own = wp_traffic_labels(ws, kind);
    WPLabels *req = request_labels(p, request, own);
    WPVersionSet deny = { 0 };
    memset(out, 0, sizeof(*out));
    for (guint i = 0; i < p->selectors->len; i++) {
        const WPSelectorRule *s =
            &g_array_index(p->selectors, WPSelectorRule, i);
        bool later = !s->deny && s->spec->changed_ms > at_ms;
        if (later || !s->traffic || !wp_selector_match(s->traffic, own, req))
            continue;
        WPVersionSet *into = s->deny ? &deny : out;
        for (unsigned w = 0; w < WP_VERSION_SET_WORDS; w++)
            into->w[w] |= s->versions.w[w];
    }
    for (unsigned w = 0; w < WP_VERSION_SET_WORDS; w++)
        out->w[w] &= ~deny.w[w];
    for (guint i = 0; i < p->versions->len; i++)
        if (wp_policy_version_at(p, i)->spec->withdrawn)
            wp_version_set_remove(out, i);
    wp_labels_free(req);
    wp_labels_free(own);
}

void wp_policy_allowed(const WPPolicy *p, const WPWorkspace *ws,
                       const WPKind *kind, const WPLabels *request,
                       WPVersionSet *out)
{
    if (kind && (!request || !wp_labels_count(request)))
        *out = p->allowed_table[ws->index * p->kinds->len + kind->index];
    else
        wp_policy_compute_allowed(p, ws, kind, request, out);
}

/* Versions of plain services always leave the set: their requests come by the
   service's own path and do not name a model. */
bool wp_policy_filter_model(const WPPolicy *p, const char *model,
                            WPVersionSet *set)
{
    bool any = !strcmp(model, "auto") || wp_policy_kind(p, model);
    bool known = any;
    for (guint i = 0; i < p->versions->len; i++) {
        const Wp__Version *v = wp_policy_version_at(p, i)->spec;
        bool hit =
            !strcmp(v->name, model) || (v->model && !strcmp(v->model, model));
        known |= hit && !v->service;
        if (v->service || !(hit || any))
            wp_version_set_remove(set, i);
    }
    return known;
}

static void keep_only_service(const WPPolicy *p, const char *service,
                              WPVersionSet *set)
{
    for (unsigned i = 0; i < wp_policy_versions(p); i++) {
        const char *s = wp_policy_version_at(p, i)->spec->service;
        if (!s || strcmp(s, service))
            wp_version_set_remove(set, i);
    }
}

bool wp_policy_filter_request(const WPPolicy *p, const char *model,
                              const char *service, WPVersionSet *set)
{
    if (!service)
        return wp_policy_filter_model(p, model ? model : "auto", set);
    keep_only_service(p, service, set);
    return true;
}

/* One line of text on whether requests with these labels may go to the version,
   with the selectors that decide it. Free with g_free(). */
static char *explain_version(const WPPolicy *p, const WPVersion *v,
                             const WPLabels *own, const WPLabels *req)
{
    g_autoptr(GString) why = g_string_new(NULL);
    bool allowed = false;
    bool denied = v->spec->withdrawn;
    if (v->spec->withdrawn)
        g_string_append(why, " withdrawn;");
    for (guint i = 0; i < p->selectors->len; i++) {
        const WPSelectorRule *s =
            &g_array_index(p->selectors, WPSelectorRule, i);
        if (!wp_version_set_has(&s->versions, v->index) || !s->traffic ||
            !wp_selector_match(s->traffic, own, req))
            continue;
        g_string_append_printf(why, " %s by selector %s;",
                               s->deny ? "denied" : "allowed", s->spec->name);
        denied |= s->deny;
        allowed |= !s->deny;
    }
    if (!allowed && !denied)
        g_string_append(why, " no selector allows it;");
    return g_strdup_printf("%s %s:%s", allowed && !denied ? "yes" : "no ",
                           v->spec->name, why->str);
}

GPtrArray *wp_policy_explain(const WPPolicy *p, const WPWorkspace *ws,
                             const WPKind *kind, const WPLabels *request)
{
    GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
    WPLabels *own = wp_traffic_labels(ws, kind);
    WPLabels *req = request_labels(p, request, own);
    for (guint i = 0; i < p->versions->len; i++)
        g_ptr_array_add(
            out, explain_version(p, wp_policy_version_at(p, i), own, req));
    wp_labels_free(req);
    wp_labels_free(own);
    return out;
}
