/* Request rates by service: measuring this box's own, sending them, and keeping
 * those of others. */
#include "wp_demand_int.h"

enum {
    ACTIVE_MS = 10000,  /* a service stays active for this time after a rate
                           limit was last seen */
    SEND_MIN_MS = 1000, /* least interval at which a box's rate is sent when it
                           has changed */
    SEND_INTERVAL_MS = 4000,     /* interval when it has not */
    SEND_ZONE_INTERVAL_MS = 8000 /* the same of a zone's rate, which all boxes
                                    forward */
};

/* A rate that has changed by this factor is sent before the interval ends. */
#define SEND_RATIO 1.5

uint64_t wp_demand_key(uint64_t subject, uint64_t service)
{
    const uint64_t key[2] = { subject, service };
    return wp_hash(wp_strn((const char *)key, sizeof(key)), 0);
}

uint64_t wp_demand_zone_hash(const char *zone)
{
    return wp_hash(wp_str(zone), 0);
}

static void free_service(gpointer p)
{
    WPDemandService *s = p;
    if (s->weights.boxes)
        g_array_unref(s->weights.boxes);
    if (s->weights.zones)
        g_array_unref(s->weights.zones);
    g_free(s);
}

static GHashTable *new_table(GDestroyNotify free_value)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                 free_value);
}

WPDemand *wp_demand_new(void)
{
    WPDemand *d = g_new0(WPDemand, 1);
    d->services = new_table(free_service);
    d->boxes = new_table(g_free);
    d->zones = new_table(g_free);
    d->unreachable = new_table(NULL);
    return d;
}

void wp_demand_free(WPDemand *d)
{
    if (!d)
        return;
    g_hash_table_unref(d->services);
    g_hash_table_unref(d->boxes);
    g_hash_table_unref(d->zones);
    g_hash_table_unref(d->unreachable);
    g_free(d);
}

/* Returns the value of `key`, allocated with `size` zero bytes if it is
   missing. */
static void *get_value(GHashTable *t, uint64_t key, size_t size)
{
    void *v = g_hash_table_lookup(t, &key);
    if (!v) {
        v = g_malloc0(size);
        g_hash_table_insert(t, g_memdup2(&key, sizeof(key)), v);
    }
    return v;
}

WPDemandService *wp_demand_get_service(WPDemand *d, uint64_t service)
{
    WPDemandService *s =
        get_value(d->services, service, sizeof(WPDemandService));
    s->service = service;
    return s;
}

/* Moves on to the bin of the present and clears those that were skipped. */
static void advance_bins(WPDemandService *s, WPTime now)
{
    int64_t bin = now.mono_us / ((int64_t)WP_DEMAND_BIN_MS * WP_US_PER_MS);
    if (bin - s->newest_bin >= WP_DEMAND_BINS)
        memset(s->bins, 0, sizeof(s->bins));
    for (int64_t i = MAX(s->newest_bin + 1, bin - WP_DEMAND_BINS + 1); i <= bin;
         i++)
        s->bins[i % WP_DEMAND_BINS] = 0;
    s->newest_bin = MAX(s->newest_bin, bin);
}

void wp_demand_count_request(WPDemand *d, WPTime now, uint64_t service)
{
    WPDemandService *s = wp_demand_get_service(d, service);
    advance_bins(s, now);
    s->bins[s->newest_bin % WP_DEMAND_BINS]++;
}

/* The count is divided by the time that the bins cover, of which the newest is
   half over on average. */
double wp_demand_own_per_min(WPDemandService *s, WPTime now)
{
    double n = 0;
    advance_bins(s, now);
    for (unsigned i = 0; i < WP_DEMAND_BINS; i++)
        n += s->bins[i];
    return n * WP_DEMAND_S_PER_MIN * WP_MS_PER_S /
           ((WP_DEMAND_BINS - 0.5) * WP_DEMAND_BIN_MS);
}

bool wp_demand_is_active(const WPDemand *d, WPTime now)
{
    return d->active_until_us > now.mono_us;
}

static gboolean is_expired_rate(gpointer key, gpointer value, gpointer arg)
{
    const WPDemandBoxRate *f = value;
    const WPTime *now = arg;
    (void)key;
    return !wp_demand_is_fresh(f->received_us, *now, WP_DEMAND_BOX_TTL_MS);
}

void wp_demand_activate(WPDemand *d, WPTime now, uint64_t service)
{
    int64_t active_until_us = now.mono_us + (int64_t)ACTIVE_MS * WP_US_PER_MS;
    if (!wp_demand_is_active(d, now)) {
        d->active_since_us = now.mono_us;
        g_hash_table_foreach_remove(d->boxes, is_expired_rate, &now);
    }
    d->active_until_us = active_until_us;
    wp_demand_get_service(d, service)->active_until_us = active_until_us;
}

static bool has_changed(double sent, double current)
{
    return current > sent * SEND_RATIO || sent > current * SEND_RATIO;
}

/* Whether a rate that was last sent as `sent` at `sent_us` (0: never) and is
   `current` now is due to be sent: always after `interval_ms`, and earlier when
   it has changed enough. */
static bool is_due(WPTime now, int64_t sent_us, double sent, double current,
                   int64_t interval_ms)
{
    int64_t age_ms = (now.mono_us - sent_us) / WP_US_PER_MS;
    if (!sent_us || age_ms >= interval_ms)
        return true;
    bool first = sent <= 0 && current > 0;
    return has_changed(sent, current) && (first || age_ms >= SEND_MIN_MS);
}

bool wp_demand_take_unsent(WPDemand *d, WPTime now, WPDemandUpdate *out)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, d->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        WPDemandService *s = v;
        if (s->active_until_us <= now.mono_us)
            continue;
        double current = wp_demand_own_per_min(s, now);
        if (!is_due(now, s->sent_us, s->sent_per_min, current,
                    SEND_INTERVAL_MS))
            continue;
        s->sent_us = now.mono_us;
        s->sent_per_min = (uint32_t)current;
        d->generation++;
        *out = (WPDemandUpdate){ .service = s->service,
                                 .per_min = (uint32_t)current };
        return true;
    }
    return false;
}

void wp_demand_merge(WPDemand *d, WPTime now, const WPDemandUpdate *n)
{
    WPDemandBoxRate *f =
        get_value(d->boxes, wp_demand_key(n->subject, n->service), sizeof(*f));
    if (f->per_min != n->per_min)
        d->generation++;
    f->per_min = n->per_min;
    f->received_us = d->received_us = now.mono_us;
    wp_demand_set_unreachable(d, n->subject, false);
}

bool wp_demand_is_fresh(int64_t received_us, WPTime now, int64_t ms)
{
    return received_us && now.mono_us - received_us < ms * WP_US_PER_MS;
}

bool wp_demand_merge_zone(WPDemand *d, WPTime now, const WPDemandUpdate *n)
{
    WPDemandZoneRate *z =
        get_value(d->zones, wp_demand_key(n->subject, n->service), sizeof(*z));
    const WPDemandUpdate *known = &z->update;
    /* After an expired rate the zone's boxes may have started anew, with lower
       sequences. */
    bool newer =
        !wp_demand_is_fresh(z->received_us, now, WP_DEMAND_ZONE_TTL_MS) ||
        n->sequence > known->sequence ||
        (n->sequence == known->sequence && n->origin_box > known->origin_box);
    if (!newer)
        return false;
    if (known->per_min != n->per_min)
        d->generation++;
    z->update = *n;
    z->received_us = now.mono_us;
    return true;
}

void wp_demand_each_zone(WPDemand *d, WPTime now,
                         void (*fn)(void *arg, const WPDemandUpdate *n),
                         void *arg)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, d->zones);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPDemandZoneRate *z = v;
        if (wp_demand_is_fresh(z->received_us, now, WP_DEMAND_ZONE_TTL_MS))
            fn(arg, &z->update);
    }
}

void wp_demand_set_unreachable(WPDemand *d, uint64_t box, bool unreachable)
{
    bool was = g_hash_table_contains(d->unreachable, &box);
    if (was == unreachable)
        return;
    if (unreachable)
        g_hash_table_add(d->unreachable, g_memdup2(&box, sizeof(box)));
    else
        g_hash_table_remove(d->unreachable, &box);
    d->generation++;
}

bool wp_demand_take_unsent_zone(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                                WPDemandUpdate *out)
{
    uint64_t zone = wp_demand_zone_hash(b->self.zone);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, d->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        WPDemandService *s = v;
        if (s->active_until_us <= now.mono_us)
            continue;
        double current = wp_demand_weights(d, now, b, s)->zone_per_min;
        WPDemandZoneRate *z =
            get_value(d->zones, wp_demand_key(zone, s->service), sizeof(*z));
        if (!is_due(now, z->sent_us, z->update.per_min, current,
                    SEND_ZONE_INTERVAL_MS))
            continue;
        z->sent_us = z->received_us = now.mono_us;
        z->update = (WPDemandUpdate){ .service = s->service,
                                      .subject = zone,
                                      .per_min = (uint32_t)current,
                                      .sequence = z->update.sequence + 1,
                                      .origin_box = b->self.hash };
        *out = z->update;
        return true;
    }
    return false;
}
