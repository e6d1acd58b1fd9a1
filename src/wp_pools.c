/* The entry's endpoint table, brought up to date from the member table and
 * split into pools by version and zone. */
#include "wp_entry_int.h"

static WPEndpoint *get_endpoint(WPEntry *e, const WPMemberRow *r)
{
    WPEndpoint *p = g_hash_table_lookup(e->endpoints, r->m->id);
    /* Endpoint state belongs to a box id and address: a box that replaces
       another one, also at the same address, starts with new state. */
    if (p && strcmp(p->addr, r->addr) == 0)
        return p;
    p = g_new0(WPEndpoint, 1);
    p->id = g_strdup(r->m->id);
    p->addr = g_strdup(r->addr);
    p->zone = g_strdup(r->m->zone ? r->m->zone : "");
    p->slots = r->m->slots ? r->m->slots : 1;
    g_hash_table_replace(e->endpoints, (gpointer)p->id, p);
    g_ptr_array_add(e->all_endpoints, p);
    return p;
}

void wp_pools_free_endpoint(WPEndpoint *p)
{
    g_free((gpointer)p->id);
    g_free((gpointer)p->addr);
    g_free((gpointer)p->zone);
    g_free(p);
}

void wp_pools_free(WPEntry *e)
{
    for (unsigned i = 0; i < e->n_pools; i++) {
        g_ptr_array_unref(e->pools[i].local);
        g_ptr_array_unref(e->pools[i].remote);
    }
    g_free(e->pools);
    e->pools = NULL;
    e->n_pools = 0;
}

static void make_pools(WPEntry *e)
{
    wp_pools_free(e);
    e->n_pools = wp_policy_versions(e->policy);
    e->pools = g_new0(WPPool, e->n_pools + 1);
    for (unsigned i = 0; i < e->n_pools; i++) {
        e->pools[i].local = g_ptr_array_new();
        e->pools[i].remote = g_ptr_array_new();
    }
}

static void add_to_pools(WPEntry *e, WPEndpoint *p, const Wp__Member *m)
{
    for (size_t i = 0; i < m->n_versions; i++) {
        const WPVersion *v = wp_policy_version(e->policy, m->versions[i]);
        if (!v)
            continue;
        WPPool *pool = &e->pools[v->index];
        bool is_local = !strcmp(p->zone, e->zone);
        g_ptr_array_add(is_local ? pool->local : pool->remote, p);
    }
}

/* Removes endpoints that have left the member table and have no requests in
   flight. */
static void remove_departed(WPEntry *e)
{
    for (guint i = e->all_endpoints->len; i-- > 0;) {
        WPEndpoint *p = e->all_endpoints->pdata[i];
        if (p->is_member || p->inflight)
            continue;
        if (g_hash_table_lookup(e->endpoints, p->id) == p)
            g_hash_table_remove(e->endpoints, p->id);
        g_ptr_array_remove_index_fast(e->all_endpoints, i);
        wp_pools_free_endpoint(p);
    }
}

void wp_pools_rebuild(WPEntry *e, WPTime now)
{
    const WPMembers *t = wp_node_members(e->node);
    (void)now;
    make_pools(e);
    for (guint i = 0; i < e->all_endpoints->len; i++)
        ((WPEndpoint *)e->all_endpoints->pdata[i])->is_member = false;
    for (unsigned i = 0; i < wp_members_live_count(t); i++) {
        const WPMemberRow *r = wp_members_live_at(t, i);
        if (r->m->role != WP__ROLE__ROLE_AGENT)
            continue;
        WPEndpoint *p = get_endpoint(e, r);
        p->is_member = true;
        p->draining = r->m->leaving;
        if (!p->draining)
            add_to_pools(e, p, r->m);
    }
    remove_departed(e);
}

WPEndpoint *wp_entry_endpoint(WPEntry *e, const char *id)
{
    return g_hash_table_lookup(e->endpoints, id);
}

unsigned wp_entry_endpoint_count(const WPEntry *e)
{
    return e->all_endpoints->len;
}

void wp_entry_each_endpoint(WPEntry *e, void (*fn)(void *, WPEndpoint *),
                            void *arg)
{
    for (guint i = 0; i < e->all_endpoints->len; i++)
        fn(arg, e->all_endpoints->pdata[i]);
}

unsigned wp_entry_probe_targets(WPEntry *e, WPTime now, const WPRequest *r,
                                WPEndpoint **out, unsigned max)
{
    const WPVersion *v = wp_policy_version(e->policy, r->version);
    unsigned n = 0;
    if (!v || v->index >= e->n_pools)
        return 0;
    GPtrArray *local = e->pools[v->index].local;
    GPtrArray *from = local->len ? local : e->pools[v->index].remote;
    for (unsigned i = 0; i < max && from->len; i++) {
        gint k = g_rand_int_range(e->rand, 0, (gint)from->len);
        WPEndpoint *p = from->pdata[k];
        if (now.mono_us - p->probe_us < WP_PROBE_MIN_INTERVAL_US ||
            now.mono_us - p->report_us < WP_PROBE_MIN_INTERVAL_US)
            continue;
        p->probe_us = now.mono_us;
        out[n++] = p;
    }
    return n;
}
