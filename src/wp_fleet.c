/* The fleet of endpoints that are called directly: which there are. */
#include "wp_fleet_int.h"

enum {
    LIST_GRACE_US = 2500 * WP_US_PER_MS /* for entries that lapsed while the
                                           list was away */
};

void wp_fleet_release(WPReplica *s)
{
    if (--s->refs > 0)
        return;
    g_free(s->id);
    g_free(s->service);
    g_free(s->addr);
    g_free(s->zone);
    g_free(s->version);
    wp_kept_free(s->kept);
    g_free(s->said.limit);
    g_free(s);
}

WPReplica *wp_fleet_hold(WPReplica *s)
{
    s->refs++;
    return s;
}

void wp_fleet_rules(WPFleet *f, const WPFleetRules *rules)
{
    f->rules = *rules;
    wp_pace_boxes_changed(&f->boxes);
}

WPFleet *wp_fleet_new(uint32_t seed)
{
    WPFleet *f = g_new0(WPFleet, 1);
    f->cohorts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    f->by_load = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    f->by_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_ptr_array_unref);
    f->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    f->zones_out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    f->areas = g_hash_table_new(g_str_hash, g_str_equal);
    f->cold = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    wp_pace_boxes_init(&f->boxes);
    f->untold = g_array_new(FALSE, FALSE, sizeof(WPKeptNews));
    f->limited = g_ptr_array_new();
    f->leaving = g_ptr_array_new();
    f->resting = g_ptr_array_new();
    f->rested_by = g_ptr_array_new();
    f->unlisted =
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
        wp_fleet_release(s);
    g_hash_table_unref(f->by_id);
    g_hash_table_unref(f->by_service);
    g_hash_table_unref(f->by_load);
    g_hash_table_unref(f->cohorts);
    g_hash_table_unref(f->by_hash);
    g_hash_table_unref(f->zones_out);
    g_hash_table_unref(f->areas);
    g_hash_table_unref(f->cold);
    wp_pace_boxes_end(&f->boxes);
    g_array_unref(f->untold);
    g_ptr_array_unref(f->limited);
    g_ptr_array_unref(f->leaving);
    g_ptr_array_unref(f->resting);
    g_ptr_array_unref(f->rested_by);
    g_hash_table_unref(f->unlisted);
    g_hash_table_unref(f->early_limits);
    g_hash_table_unref(f->limit_sums);
    g_hash_table_unref(f->refusals);
    wp_demand_free(f->demand);
    g_rand_free(f->rand);
    g_free(f);
}

GPtrArray *wp_fleet_of_service(WPFleet *f, const char *service)
{
    GPtrArray *list = g_hash_table_lookup(f->by_service, service);
    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(f->by_service, g_strdup(service), list);
    }
    return list;
}

/* Boxes name lives to each other by this. */
static uint64_t life_hash(const WPReplica *s)
{
    if (!s->born_ms)
        return s->id_hash;
    return wp_hash(wp_strn((const char *)&s->born_ms, sizeof(s->born_ms)),
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

void wp_fleet_set_cold(WPFleet *f, const char *service, double per_s,
                       double start_s)
{
    WPColdRule *r = cold_rule(f, service);
    if (r->per_s != per_s)
        wp_pace_boxes_changed(&f->boxes);
    r->per_s = per_s;
    r->start_us = (int64_t)(start_s * WP_US_PER_S);
}

void wp_fleet_set_boxes(WPFleet *f, const WPPaceBox *self,
                        const WPPaceBox *others, size_t n, unsigned least)
{
    wp_pace_boxes_set(&f->boxes, self, others, n, least);
}

static WPReplica *add(WPFleet *f, const WPListing *l)
{
    WPReplica *s = g_new0(WPReplica, 1);
    s->refs = 1;
    s->id = g_strdup(l->id);
    s->service = g_strdup(l->service);
    s->addr = g_strdup(l->addr);
    s->zone = g_strdup(l->zone);
    s->version = g_strdup(l->version);
    s->born_ms = l->born_ms;
    s->cohort = wp_fleet_cohort(f, s);
    s->cold = cold_rule(f, s->service);
    s->far = f->rules.own_zone && strcmp(f->rules.own_zone, s->zone);
    s->zone_out = g_hash_table_contains(f->zones_out, s->zone);
    s->area = g_hash_table_lookup(f->areas, s->zone);
    s->slowness = 1;
    s->kept = wp_kept_new();
    s->id_hash = wp_hash(wp_str(s->id), 0);
    s->life_hash = life_hash(s);
    g_hash_table_insert(f->by_id, s->id, s);
    g_hash_table_insert(f->by_hash, &s->id_hash, s);
    g_hash_table_insert(f->by_hash, &s->life_hash, s);
    g_ptr_array_add(wp_fleet_of_service(f, s->service), s);
    return s;
}

static void forget(WPFleet *f, WPReplica *s)
{
    s->gone = true;
    wp_fleet_forget_limit(f, s);
    wp_fleet_forget_notices(f, s);
    g_hash_table_remove(f->by_id, s->id);
    g_hash_table_remove(f->by_hash, &s->id_hash);
    g_hash_table_remove(f->by_hash, &s->life_hash);
    g_ptr_array_remove_fast(wp_fleet_of_service(f, s->service), s);
    wp_fleet_release(s);
}

/* The list has it no more; the same life may come back. */
static void unlist(WPFleet *f, WPTime now, WPReplica *s)
{
    wp_fleet_keep_notices(f, now, s);
    forget(f, s);
}

/* Of a start that is over, as another listing has told. */
static bool is_late(const WPReplica *s, const WPListing *l)
{
    return l->born_ms && l->born_ms < s->born_ms;
}

static bool is_new_life(const WPReplica *s, const WPListing *l)
{
    return l->born_ms > s->born_ms || strcmp(s->addr, l->addr) ||
           strcmp(s->zone, l->zone) || strcmp(s->service, l->service);
}

/* The same life, told of anew. */
static bool update(WPFleet *f, WPReplica *s, const WPListing *l)
{
    bool other_version = strcmp(s->version, l->version) != 0;
    bool changed = other_version || (!s->said.leaving.from && l->draining) ||
                   s->missing_us || s->unreadable;
    if (other_version) {
        g_free(s->version);
        s->version = g_strdup(l->version);
        s->cohort = wp_fleet_cohort(f, s);
    }
    s->missing_us = 0;
    s->unreadable = false;
    return changed;
}

bool wp_fleet_put(WPFleet *f, WPTime now, const WPListing *l)
{
    WPReplica *s = wp_fleet_find(f, l->id);
    if (!f->start_us)
        f->start_us = now.mono_us;
    if (s && is_late(s, l))
        return false;
    if (s && is_new_life(s, l)) {
        forget(f, s);
        s = NULL;
    }
    bool changed = s ? update(f, s, l) : true;
    if (!s) {
        s = add(f, l);
        wp_fleet_take_early_limit(f, now, s);
        wp_fleet_take_notices(f, s);
    }
    s->slots = (uint32_t)l->slots;
    /* What is leaving does not come back in the same life. */
    if (l->draining && !s->said.leaving.from)
        s->said.leaving.from = WP_FROM_LIST;
    s->said.cold_until_us = now.mono_us + l->cold_left_ms * WP_US_PER_MS;
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

bool wp_fleet_set_zone_out(WPFleet *f, WPTime now, const char *zone, bool out)
{
    bool was = g_hash_table_contains(f->zones_out, zone);
    GHashTableIter it;
    gpointer p;
    if (was == out)
        return false;
    if (out)
        g_hash_table_add(f->zones_out, g_strdup(zone));
    else
        g_hash_table_remove(f->zones_out, zone);
    g_hash_table_iter_init(&it, f->by_id);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        WPReplica *s = p;
        if (strcmp(s->zone, zone))
            continue;
        s->zone_out = out;
        if (!out)
            wp_fleet_doubt(s, now);
    }
    return true;
}

bool wp_fleet_is_kept_out(WPFleet *f, const char *service)
{
    const GPtrArray *list = wp_fleet_of_service(f, service);
    for (guint i = 0; i < list->len; i++)
        if (((WPReplica *)g_ptr_array_index(list, i))->zone_out)
            return true;
    return false;
}

void wp_fleet_each_zone_out(WPFleet *f, void (*fn)(void *, const char *),
                            void *arg)
{
    GHashTableIter it;
    gpointer zone;
    g_hash_table_iter_init(&it, f->zones_out);
    while (g_hash_table_iter_next(&it, &zone, NULL))
        fn(arg, zone);
}

void wp_fleet_remove(WPFleet *f, WPTime now, const char *id, bool doubt)
{
    WPReplica *s = wp_fleet_find(f, id);
    if (!s)
        return;
    if (!doubt)
        unlist(f, now, s);
    else if (!s->missing_us)
        s->missing_us = now.mono_us;
}

void wp_fleet_tick(WPFleet *f, WPTime now)
{
    g_autoptr(GPtrArray) lapsed = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, f->by_id);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPReplica *s = p;
        if (s->missing_us && now.mono_us - s->missing_us > LIST_GRACE_US)
            g_ptr_array_add(lapsed, p);
    }
    for (guint i = 0; i < lapsed->len; i++)
        unlist(f, now, g_ptr_array_index(lapsed, i));
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
