/* The operators' view of a box under load. */
#include "wp_load_view.h"

typedef struct Row {
    char *key; /* service, route and workspace */
    const WPFlow *first;
    unsigned waiting, running;
    int64_t oldest_us;
} Row;

struct WPLoadView {
    const WPDirect *direct;
    WPTime now;
    GHashTable *rows;     /* key -> Row */
    GPtrArray *endpoints; /* WPReplica */
};

static void free_row(gpointer p)
{
    Row *r = p;
    g_free(r->key);
    g_free(r);
}

WPLoadView *wp_load_view_new(const WPDirect *d, WPTime now)
{
    WPLoadView *v = g_new0(WPLoadView, 1);
    v->direct = d;
    v->now = now;
    v->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
    v->endpoints = g_ptr_array_new();
    return v;
}

static const char *workspace_of(const WPFlow *f)
{
    return f->workspace ? f->workspace : "-";
}

static Row *row_of(WPLoadView *v, const WPFlow *f)
{
    g_autofree char *key =
        g_strjoin(" ", f->service->name, f->route->name, workspace_of(f), NULL);
    Row *r = g_hash_table_lookup(v->rows, key);
    if (!r) {
        r = g_new0(Row, 1);
        r->key = g_steal_pointer(&key);
        r->first = f;
        r->oldest_us = f->start_us;
        g_hash_table_insert(v->rows, r->key, r);
    }
    return r;
}

void wp_load_view_add_request(WPLoadView *v, const WPFlow *f)
{
    if (!f->route || !f->service) /* its routes are not known yet */
        return;
    Row *r = row_of(v, f);
    if (f->answer_started)
        r->running++;
    else
        r->waiting++;
    r->oldest_us = MIN(r->oldest_us, f->start_us);
}

static json_t *row_json(const WPLoadView *v, const Row *r)
{
    const WPFlow *f = r->first;
    return json_pack(
        "{s:s,s:s,s:s,s:i,s:b,s:i,s:i,s:I}", "service", f->service->name,
        "route", f->route->name, "workspace", workspace_of(f), "priority",
        f->priority, "contended",
        wp_direct_is_contended(v->direct, f->service->name), "waiting",
        (int)r->waiting, "running", (int)r->running, "oldest_ms",
        (json_int_t)((v->now.mono_us - r->oldest_us) / WP_US_PER_MS));
}

static void add_endpoint(void *arg, WPReplica *s)
{
    g_ptr_array_add(((WPLoadView *)arg)->endpoints, s);
}

static json_t *endpoint_json(WPTime now, const WPReplica *s)
{
    int64_t report_us = s->reported.load_reported_us;
    double queued_us = wp_fleet_queued_prefill_us(s, now);
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:f,s:i,s:I,s:f,s:I,s:f,s:b}", "id", s->id,
        "service", s->service, "version", s->version, "zone", s->zone, "slots",
        (int)s->slots, "load", wp_fleet_load_of(s, now), "waiting",
        (int)s->reported.waiting, "report_ms",
        (json_int_t)(report_us ? (now.mono_us - report_us) / WP_US_PER_MS : -1),
        "queued_ms", queued_us / WP_US_PER_MS, "silent_ms",
        (json_int_t)(wp_silence_unexplained_us(&s->silence, now, queued_us) /
                     WP_US_PER_MS),
        "slowdown", s->reported.slowdown, "avoided",
        s->avoid_until_us > now.mono_us);
}

static gint by_key(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

static gint by_id(gconstpointer a, gconstpointer b)
{
    return strcmp((*(WPReplica *const *)a)->id, (*(WPReplica *const *)b)->id);
}

json_t *wp_load_view_end(WPLoadView *v)
{
    json_t *requests = json_array(), *endpoints = json_array();
    GList *keys = g_list_sort(g_hash_table_get_keys(v->rows), by_key);
    for (GList *k = keys; k; k = k->next)
        json_array_append_new(
            requests, row_json(v, g_hash_table_lookup(v->rows, k->data)));
    g_list_free(keys);
    wp_fleet_each(v->direct->fleet, add_endpoint, v);
    g_ptr_array_sort(v->endpoints, by_id);
    for (guint i = 0; i < v->endpoints->len; i++)
        json_array_append_new(
            endpoints,
            endpoint_json(v->now, g_ptr_array_index(v->endpoints, i)));
    g_hash_table_unref(v->rows);
    g_ptr_array_unref(v->endpoints);
    g_free(v);
    return json_pack("{s:o,s:o}", "requests", requests, "endpoints", endpoints);
}
