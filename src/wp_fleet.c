/* The table of endpoints that are called directly. */
#include "wp_fleet_int.h"

enum {
    /* How long an endpoint is kept whose registry entry expired while the
       registry was unreachable. */
    REGISTRY_GRACE_US = 2500 * WP_US_PER_MS
};

void wp_replica_unref(WPReplica *s)
{
    if (--s->refs > 0)
        return;
    g_free(s->id);
    g_free(s->service);
    g_free(s->addr);
    g_free(s->zone);
    g_free(s->version);
    wp_prefix_cache_free(s->prefix_cache);
    g_free(s->reported.limit);
    g_free(s);
}

WPReplica *wp_replica_ref(WPReplica *s)
{
    s->refs++;
    return s;
}

void wp_fleet_set_rules(WPFleet *f, const WPFleetRules *rules)
{
    f->rules = *rules;
    wp_pace_boxes_invalidate(&f->boxes);
}

WPFleet *wp_fleet_new(uint32_t seed)
{
    WPFleet *f = g_new0(WPFleet, 1);
    f->cohorts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    f->answers_by_load =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    f->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_ptr_array_unref);
    f->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    f->evacuated_zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->areas = g_hash_table_new(g_str_hash, g_str_equal);
    f->cold = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    wp_pace_boxes_init(&f->boxes);
    f->unsent_prefixes =
        g_array_new(FALSE, FALSE, sizeof(WPCachedPrefixUpdate));
    f->limited = g_ptr_array_new();
    f->draining = g_ptr_array_new();
    f->backing_off = g_ptr_array_new();
    f->unsent_backoffs = g_ptr_array_new();
    f->unregistered =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    f->early_limits =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    f->limit_sums =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    f->refusals =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    f->demand = wp_demand_new();
    f->rand = g_rand_new_with_seed(seed);
    return f;
}

void wp_fleet_free(WPFleet *f)
{
    GHashTableIter it;
    gpointer s;
    if (!f)
        return;
    g_hash_table_iter_init(&it, f->by_id);
    while (g_hash_table_iter_next(&it, NULL, &s))
        wp_replica_unref(s);
    g_hash_table_unref(f->by_id);
    g_hash_table_unref(f->by_service);
    g_hash_table_unref(f->answers_by_load);
    g_hash_table_unref(f->cohorts);
    g_hash_table_unref(f->by_hash);
    g_hash_table_unref(f->evacuated_zones);
    g_hash_table_unref(f->areas);
    g_hash_table_unref(f->cold);
    wp_pace_boxes_end(&f->boxes);
    g_array_unref(f->unsent_prefixes);
    g_ptr_array_unref(f->limited);
    g_ptr_array_unref(f->draining);
    g_ptr_array_unref(f->backing_off);
    g_ptr_array_unref(f->unsent_backoffs);
    g_hash_table_unref(f->unregistered);
    g_hash_table_unref(f->early_limits);
    g_hash_table_unref(f->limit_sums);
    g_hash_table_unref(f->refusals);
    wp_demand_free(f->demand);
    g_rand_free(f->rand);
    g_free(f);
}

GPtrArray *wp_fleet_service_endpoints(WPFleet *f, const char *service)
{
    GPtrArray *list = g_hash_table_lookup(f->by_service, service);
    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(f->by_service, g_strdup(service), list);
    }
    return list;
}

/* Identifies an incarnation in messages between boxes. */
static uint64_t hash_incarnation(const WPReplica *s)
{
    if (!s->started_ms)
        return s->id_hash;
    return wp_hash(wp_strn((const char *)&s->started_ms, sizeof(s->started_ms)),
                   s->id_hash);
}

static WPColdRule *cold_rule(WPFleet *f, const char *service)
{
    WPColdRule *r = g_hash_table_lookup(f->cold, service);
    if (!r) {
        r = g_new0(WPColdRule, 1);
        g_hash_table_insert(f->cold, g_strdup(service), r);
    }
    return r;
}

void wp_fleet_set_cold_rule(WPFleet *f, const char *service, double per_s,
                            double start_s)
{
    WPColdRule *r = cold_rule(f, service);
    if (r->per_s != per_s)
        wp_pace_boxes_invalidate(&f->boxes);
    r->per_s = per_s;
    r->start_us = (int64_t)(start_s * WP_US_PER_S);
}

void wp_fleet_set_boxes(WPFleet *f, const WPPaceBox *self,
                        const WPPaceBox *others, size_t n, unsigned min)
{
    wp_pace_boxes_set(&f->boxes, self, others, n, min);
}

/* Adds an endpoint to the indexes and to its service. Returns it; the fleet
   holds the reference. */
static WPReplica *add(WPFleet *f, const WPRegistryEntry *l)
{
    WPReplica *s = g_new0(WPReplica, 1);
    s->refs = 1;
    s->id = g_strdup(l->id);
    s->service = g_strdup(l->service);
    s->addr = g_strdup(l->addr);
    s->zone = g_strdup(l->zone);
    s->version = g_strdup(l->version);
    s->started_ms = l->born_ms;
    s->cohort = wp_fleet_cohort(f, s);
    s->cold = cold_rule(f, s->service);
    s->remote_zone = f->rules.own_zone && strcmp(f->rules.own_zone, s->zone);
    s->zone_evacuated = g_hash_table_contains(f->evacuated_zones, s->zone);
    s->area = g_hash_table_lookup(f->areas, s->zone);
    s->latency_ratio = 1;
    s->prefix_cache = wp_prefix_cache_new();
    s->id_hash = wp_hash(wp_str(s->id), 0);
    s->incarnation_hash = hash_incarnation(s);
    g_hash_table_insert(f->by_id, s->id, s);
    g_hash_table_insert(f->by_hash, &s->id_hash, s);
    g_hash_table_insert(f->by_hash, &s->incarnation_hash, s);
    g_ptr_array_add(wp_fleet_service_endpoints(f, s->service), s);
    return s;
}

/* Removes an endpoint from all indexes and drops the fleet's reference;
   requests in flight may hold others. */
static void remove_endpoint(WPFleet *f, WPReplica *s)
{
    s->gone = true;
    wp_fleet_forget_limit(f, s);
    wp_fleet_forget_notices(f, s);
    g_hash_table_remove(f->by_id, s->id);
    g_hash_table_remove(f->by_hash, &s->id_hash);
    g_hash_table_remove(f->by_hash, &s->incarnation_hash);
    g_ptr_array_remove_fast(wp_fleet_service_endpoints(f, s->service), s);
    wp_replica_unref(s);
}

/* Removes an endpoint whose registry entry is gone. The same incarnation may
   be registered again. */
static void unregister(WPFleet *f, WPTime now, WPReplica *s)
{
    wp_fleet_save_notices(f, now, s);
    remove_endpoint(f, s);
}

/* Whether the entry is from an earlier start than the one that is known. */
static bool is_outdated(const WPReplica *s, const WPRegistryEntry *l)
{
    return l->born_ms && l->born_ms < s->started_ms;
}

static bool is_new_incarnation(const WPReplica *s, const WPRegistryEntry *l)
{
    return l->born_ms > s->started_ms || strcmp(s->addr, l->addr) ||
           strcmp(s->zone, l->zone) || strcmp(s->service, l->service);
}

/* Takes a new registry entry of the same incarnation; returns true if it
   changes what is known. */
static bool update(WPFleet *f, WPReplica *s, const WPRegistryEntry *l)
{
    bool other_version = strcmp(s->version, l->version) != 0;
    bool changed = other_version ||
                   (!s->reported.draining.source && l->draining) ||
                   s->missing_since_us || s->unreadable;
    if (other_version) {
        g_free(s->version);
        s->version = g_strdup(l->version);
        s->cohort = wp_fleet_cohort(f, s);
    }
    s->missing_since_us = 0;
    s->unreadable = false;
    memset(s->misdirected, 0, sizeof(s->misdirected));
    return changed;
}

bool wp_fleet_put(WPFleet *f, WPTime now, const WPRegistryEntry *l)
{
    WPReplica *s = wp_fleet_find(f, l->id);
    if (!f->start_us)
        f->start_us = now.mono_us;
    if (s && is_outdated(s, l))
        return false;
    if (s && is_new_incarnation(s, l)) {
        remove_endpoint(f, s);
        s = NULL;
    }
    bool changed = s ? update(f, s, l) : true;
    if (!s) {
        s = add(f, l);
        wp_fleet_merge_early_limit(f, now, s);
        wp_fleet_restore_notices(f, s);
    }
    s->slots = (uint32_t)l->slots;
    /* A draining endpoint does not return to service in the same
       incarnation. */
    if (l->draining && !s->reported.draining.source)
        s->reported.draining.source = WP_DRAINING_FROM_REGISTRY;
    s->reported.cold_until_us = now.mono_us + l->cold_left_ms * WP_US_PER_MS;
    return changed;
}

void wp_fleet_set_unreadable(WPFleet *f, const char *id)
{
    WPReplica *s = wp_fleet_find(f, id);
    if (s)
        s->unreadable = true;
}

void wp_fleet_set_area(WPFleet *f, const char *zone, const char *area)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_insert(f->areas, (gpointer)g_intern_string(zone),
                        (gpointer)g_intern_string(area));
    g_hash_table_iter_init(&it, f->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        WPReplica *s = v;
        if (!strcmp(s->zone, zone))
            s->area = g_intern_string(area);
    }
}

bool wp_fleet_set_zone_evacuated(WPFleet *f, WPTime now, const char *zone,
                                 bool evacuated)
{
    bool was = g_hash_table_contains(f->evacuated_zones, zone);
    GHashTableIter it;
    gpointer p;
    if (was == evacuated)
        return false;
    if (evacuated)
        g_hash_table_add(f->evacuated_zones, g_strdup(zone));
    else
        g_hash_table_remove(f->evacuated_zones, zone);
    g_hash_table_iter_init(&it, f->by_id);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        WPReplica *s = p;
        if (strcmp(s->zone, zone))
            continue;
        s->zone_evacuated = evacuated;
        if (!evacuated)
            wp_fleet_suspect_restart(s, now);
    }
    return true;
}

bool wp_fleet_has_evacuated_endpoints(WPFleet *f, const char *service)
{
    const GPtrArray *list = wp_fleet_service_endpoints(f, service);
    for (guint i = 0; i < list->len; i++)
        if (((WPReplica *)g_ptr_array_index(list, i))->zone_evacuated)
            return true;
    return false;
}

void wp_fleet_each_evacuated_zone(WPFleet *f, void (*fn)(void *, const char *),
                                  void *arg)
{
    GHashTableIter it;
    gpointer zone;
    g_hash_table_iter_init(&it, f->evacuated_zones);
    while (g_hash_table_iter_next(&it, &zone, NULL))
        fn(arg, zone);
}

void wp_fleet_remove(WPFleet *f, WPTime now, const char *id, bool uncertain)
{
    WPReplica *s = wp_fleet_find(f, id);
    if (!s)
        return;
    if (!uncertain)
        unregister(f, now, s);
    else if (!s->missing_since_us)
        s->missing_since_us = now.mono_us;
}

void wp_fleet_tick(WPFleet *f, WPTime now)
{
    g_autoptr(GPtrArray) expired = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, f->by_id);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPReplica *s = p;
        if (s->missing_since_us &&
            now.mono_us - s->missing_since_us > REGISTRY_GRACE_US)
            g_ptr_array_add(expired, p);
    }
    for (guint i = 0; i < expired->len; i++)
        unregister(f, now, g_ptr_array_index(expired, i));
    wp_fleet_tick_limits(f, now);
}

WPReplica *wp_fleet_find(WPFleet *f, const char *id)
{
    return g_hash_table_lookup(f->by_id, id);
}

void wp_fleet_each(WPFleet *f, void (*fn)(void *, WPReplica *), void *arg)
{
    GHashTableIter it;
    gpointer s;
    g_hash_table_iter_init(&it, f->by_id);
    while (g_hash_table_iter_next(&it, NULL, &s))
        fn(arg, s);
}
