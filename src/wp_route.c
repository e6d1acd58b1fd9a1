/* The routing table. */
#include "wp_route.h"

enum {
    DEFAULT_HEAD_BYTES = 16 << 10,
    DEFAULT_BODY_BYTES = 4 << 20,
    DEFAULT_HEAD_MS = 5000,
    DEFAULT_IDLE_MS = 30000
};

static void free_model(void *m)
{
    g_free(((WPModel *)m)->name);
}

static void free_service(void *p)
{
    WPService *s = p;
    g_array_unref(s->models);
    g_free(s->name);
    g_free(s);
}

static void free_route(void *p)
{
    WPRoute *r = p;
    g_ptr_array_unref(r->models);
    g_ptr_array_unref(r->areas);
    g_array_unref(r->targets);
    g_free(r->name);
    g_free(r->host);
    g_free(r->prefix);
    g_free(r);
}

static void free_caller(void *p)
{
    WPCaller *c = p;
    g_ptr_array_unref(c->areas);
    g_free(c->workspace);
    g_free(c);
}

WPRoutes *wp_routes_new(uint64_t version)
{
    WPRoutes *t = g_new0(WPRoutes, 1);
    t->refs = 1;
    t->version = version;
    t->limits = (WPRouteLimits){ DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES,
                                 DEFAULT_HEAD_MS, DEFAULT_IDLE_MS };
    t->routes = g_ptr_array_new_with_free_func(free_route);
    t->services = g_ptr_array_new_with_free_func(free_service);
    t->callers = g_ptr_array_new_with_free_func(free_caller);
    t->by_path = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    t->by_service = g_hash_table_new(g_str_hash, g_str_equal);
    t->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return t;
}

WPRoutes *wp_routes_ref(WPRoutes *t)
{
    if (t)
        t->refs++;
    return t;
}

void wp_routes_unref(WPRoutes *t)
{
    if (!t || --t->refs > 0)
        return;
    g_hash_table_unref(t->by_path);
    g_hash_table_unref(t->by_service);
    g_hash_table_unref(t->by_key);
    g_ptr_array_unref(t->routes);
    g_ptr_array_unref(t->services);
    g_ptr_array_unref(t->callers);
    g_free(t);
}

WPService *wp_routes_add_service(WPRoutes *t, const char *name)
{
    WPService *s = g_new0(WPService, 1);
    s->name = g_strdup(name);
    s->index = t->services->len;
    s->models = g_array_new(FALSE, FALSE, sizeof(WPModel));
    g_array_set_clear_func(s->models, free_model);
    g_ptr_array_add(t->services, s);
    g_hash_table_insert(t->by_service, s->name, s);
    return s;
}

void wp_service_add_model(WPService *s, const char *name, double cost)
{
    WPModel m = { g_strdup(name), cost };
    g_array_append_val(s->models, m);
}

/* Returns the key of `by_path`. Host names are case-insensitive; the space that
   separates the parts cannot occur in either. */
static char *path_key(WPStr host, const char *prefix, size_t n)
{
    g_autofree char *lower = g_ascii_strdown(host.p, (gssize)host.n);
    return g_strdup_printf("%s %.*s", lower, (int)n, prefix);
}

WPRoute *wp_routes_add(WPRoutes *t, const char *name, const char *host,
                       const char *prefix)
{
    WPRoute *r = g_new0(WPRoute, 1);
    size_t n = strlen(prefix);
    r->name = g_strdup(name);
    r->host = g_strdup(host);
    r->prefix = g_strdup(prefix);
    r->max_attempts = 1;
    r->models = g_ptr_array_new_with_free_func(g_free);
    r->areas = g_ptr_array_new_with_free_func(g_free);
    r->targets = g_array_new(FALSE, FALSE, sizeof(WPRouteTarget));
    t->longest_prefix = MAX(t->longest_prefix, n);
    g_ptr_array_add(t->routes, r);
    g_hash_table_replace(t->by_path, path_key(wp_str(host), prefix, n), r);
    return r;
}

bool wp_route_add_target(WPRoutes *t, WPRoute *r, const char *service,
                         double weight)
{
    const WPService *s = wp_routes_service(t, service);
    if (!s)
        return false;
    WPRouteTarget target = { s->index, weight };
    g_array_append_val(r->targets, target);
    return true;
}

WPCaller *wp_routes_add_caller(WPRoutes *t, const char *workspace, int priority)
{
    WPCaller *c = g_new0(WPCaller, 1);
    c->workspace = g_strdup(workspace);
    c->priority = priority;
    c->areas = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(t->callers, c);
    t->requires_keys = true;
    return c;
}

void wp_routes_add_key(WPRoutes *t, const char *key, WPCaller *c)
{
    g_hash_table_replace(t->by_key, g_strdup(key), c);
}

const WPRoute *wp_routes_find(const WPRoutes *t, WPStr host, WPStr path)
{
    size_t n = MIN(path.n, t->longest_prefix);
    /* Prefixes end in a slash, so only a part of the path that ends in a slash
       can be one. */
    for (; n > 0; n--) {
        if (path.p[n - 1] != '/')
            continue;
        g_autofree char *key = path_key(host, path.p, n);
        const WPRoute *r = g_hash_table_lookup(t->by_path, key);
        if (r)
            return r;
    }
    return NULL;
}

const WPCaller *wp_routes_caller_by_key(const WPRoutes *t, WPStr key)
{
    g_autofree char *k = g_strndup(key.p, key.n);
    return g_hash_table_lookup(t->by_key, k);
}

const WPService *wp_routes_service(const WPRoutes *t, const char *name)
{
    return g_hash_table_lookup(t->by_service, name);
}

const WPService *wp_routes_service_at(const WPRoutes *t, uint32_t index)
{
    return index < t->services->len ? g_ptr_array_index(t->services, index)
                                    : NULL;
}

const WPService *wp_route_pick_service(const WPRoutes *t, const WPRoute *r,
                                       double unit)
{
    double sum = 0;
    for (guint i = 0; i < r->targets->len; i++)
        sum += g_array_index(r->targets, WPRouteTarget, i).weight;
    double at = unit * sum;
    for (guint i = 0; i < r->targets->len; i++) {
        const WPRouteTarget *target =
            &g_array_index(r->targets, WPRouteTarget, i);
        at -= target->weight;
        if (at < 0 && target->weight > 0)
            return wp_routes_service_at(t, target->service);
    }
    return NULL;
}

bool wp_service_has_model(const WPService *s, const char *model)
{
    for (guint i = 0; i < s->models->len; i++)
        if (!strcmp(g_array_index(s->models, WPModel, i).name, model))
            return true;
    return false;
}

double wp_service_cost(const WPService *s, const char *model)
{
    for (guint i = 0; i < s->models->len; i++) {
        const WPModel *m = &g_array_index(s->models, WPModel, i);
        if (!strcmp(m->name, model))
            return m->cost;
    }
    return 0;
}
