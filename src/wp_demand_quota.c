/* This box's part of what endpoints take, by the boxes' requests. */
#include "wp_demand_int.h"

enum {
    UNKNOWN_MS = 3000, /* what has not been heard for so long has no requests;
                          a box that comes is told within some tens of ms */
    SMALL_ZONE = 3,    /* boxes: all of them keep links to other zones */
    VIEW_MS = 100      /* what quotas rest on is put together anew */
};

/* A zone whose boxes have so many times the requests that its endpoints take
   uses them up alone. A slope leads there: with a step, which boxes see at
   different times, they use more than their endpoints take. */
#define ENOUGH 1.25

/* What a box of this zone tells; below 0: not known. */
static double weight_of(WPDemand *d, WPTime now, const WPPaceBox *b,
                        uint64_t service)
{
    uint64_t key = wp_demand_key(b->hash, service);
    const WPDemandFigure *f = g_hash_table_lookup(d->boxes, &key);
    if (g_hash_table_contains(d->away, &b->hash))
        return 0;
    if (f && wp_demand_is_fresh(f->heard_us, now, WP_DEMAND_FRESH_MS))
        return f->per_min;
    bool early =
        now.mono_us - d->listens_us < (int64_t)UNKNOWN_MS * WP_US_PER_MS;
    bool alone = !wp_demand_is_fresh(d->heard_us, now, WP_DEMAND_FRESH_MS);
    return early || alone ? -1 : 0;
}

/* What is not known counts as the mean of what is. */
static void fill_unknown(GArray *shares)
{
    double sum = 0;
    unsigned n = 0;
    for (guint i = 0; i < shares->len; i++) {
        double w = g_array_index(shares, WPShare, i).weight;
        sum += MAX(w, 0);
        n += w >= 0;
    }
    double mean = n && sum > 0 ? sum / n : 1;
    for (guint i = 0; i < shares->len; i++) {
        WPShare *s = &g_array_index(shares, WPShare, i);
        s->weight = s->weight < 0 ? mean : s->weight;
    }
}

/* This box, those of its zone, and those that are only known to be there. */
static void view_boxes(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                       WPDemandService *s)
{
    WPDemandView *v = &s->view;
    g_array_set_size(v->boxes, 0);
    v->self = 0;
    for (guint i = 0; i < b->all->len; i++) {
        const WPPaceBox *o = &g_array_index(b->all, WPPaceBox, i);
        bool self = o->hash == b->self.hash;
        if (strcmp(o->zone, b->self.zone))
            continue;
        double weight = !self        ? weight_of(d, now, o, s->service)
                        : s->told_us ? s->told_per_min
                                     : wp_demand_per_min(s, now);
        const WPShare share = { o->hash, weight };
        if (self)
            v->self = v->boxes->len;
        g_array_append_val(v->boxes, share);
    }
    for (unsigned i = b->all->len; i < b->least; i++) {
        const WPShare share = { i, -1 };
        g_array_append_val(v->boxes, share);
    }
    fill_unknown(v->boxes);
    v->per_min = 0;
    for (guint i = 0; i < v->boxes->len; i++)
        v->per_min += g_array_index(v->boxes, WPShare, i).weight;
}

/* Whether links to all boxes of a small zone are lost. In a large one few boxes
   keep links to other zones, so that this tells nothing there. */
static bool is_all_away(const WPDemand *d, const WPPaceBoxes *b,
                        const char *zone)
{
    unsigned n = 0;
    for (guint i = 0; i < b->all->len; i++) {
        const WPPaceBox *o = &g_array_index(b->all, WPPaceBox, i);
        if (strcmp(o->zone, zone))
            continue;
        n++;
        if (!g_hash_table_contains(d->away, &o->hash))
            return false;
    }
    return n <= SMALL_ZONE;
}

/* Requests of another zone; below 0: not known. */
static double zone_weight(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                          const char *zone, uint64_t service)
{
    uint64_t key = wp_demand_key(wp_demand_zone_hash(zone), service);
    const WPDemandZoneFigure *z = g_hash_table_lookup(d->zones, &key);
    if (is_all_away(d, b, zone))
        return 0;
    bool known =
        z && wp_demand_is_fresh(z->heard_us, now, WP_DEMAND_ZONE_FRESH_MS);
    return known ? (double)z->news.per_min : -1;
}

/* Whether this zone's figure is known as the other zones know it. */
static bool is_told(WPDemand *d, WPTime now, uint64_t zone, uint64_t service)
{
    uint64_t key = wp_demand_key(zone, service);
    const WPDemandZoneFigure *z = g_hash_table_lookup(d->zones, &key);
    return z && wp_demand_is_fresh(z->heard_us, now, WP_DEMAND_ZONE_FRESH_MS);
}

static bool has_share(const GArray *shares, uint64_t key)
{
    for (guint i = 0; i < shares->len; i++)
        if (g_array_index(shares, WPShare, i).key == key)
            return true;
    return false;
}

static void view_zones(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                       WPDemandService *s)
{
    WPDemandView *v = &s->view;
    g_array_set_size(v->zones, 0);
    for (guint i = 0; i < b->all->len; i++) {
        const WPPaceBox *o = &g_array_index(b->all, WPPaceBox, i);
        bool own = !strcmp(o->zone, b->self.zone);
        WPShare share = { wp_demand_zone_hash(o->zone), v->per_min };
        if (has_share(v->zones, share.key))
            continue;
        if (own)
            v->self_zone = v->zones->len;
        if (!own || is_told(d, now, share.key, s->service))
            share.weight = zone_weight(d, now, b, o->zone, s->service);
        g_array_append_val(v->zones, share);
    }
}

const WPDemandView *wp_demand_view(WPDemand *d, WPTime now,
                                   const WPPaceBoxes *b, WPDemandService *s)
{
    WPDemandView *v = &s->view;
    int64_t age_us = now.mono_us - v->at_us;
    bool same = v->change == d->change && v->boxes_change == b->change;
    if (v->at_us && same && age_us < (int64_t)VIEW_MS * WP_US_PER_MS)
        return v;
    if (!v->boxes) {
        v->boxes = g_array_new(FALSE, FALSE, sizeof(WPShare));
        v->zones = g_array_new(FALSE, FALSE, sizeof(WPShare));
    }
    view_boxes(d, now, b, s);
    view_zones(d, now, b, s);
    v->at_us = now.mono_us;
    v->change = d->change;
    v->boxes_change = b->change;
    return v;
}

/* What the endpoint's own zone has of its endpoints' requests: all, if its
   boxes have enough callers to use them up. Below 0: the zone has no boxes.
   Without a word from there it is left all. */
static double near_share(const WPDemandView *v, const WPDemandFor *e)
{
    uint64_t key = wp_demand_zone_hash(e->zone);
    double needs = ENOUGH * e->zone_per_s * WP_DEMAND_S_PER_MIN;
    for (guint i = 0; i < v->zones->len; i++) {
        const WPShare *z = &g_array_index(v->zones, WPShare, i);
        if (z->key == key)
            return z->weight < 0 || needs <= 0 ? 1 : MIN(z->weight / needs, 1);
    }
    return -1;
}

/* Weights of the zones: the others share by their callers what is left. */
static WPShare *zone_shares(const WPDemandView *v, const WPDemandFor *e)
{
    uint64_t key = wp_demand_zone_hash(e->zone);
    double near = near_share(v, e), far = 0;
    guint n = v->zones->len;
    WPShare *all = g_memdup2(v->zones->data, n * sizeof(WPShare));
    for (guint i = 0; i < n; i++) {
        all[i].weight = MAX(all[i].weight, 0);
        far += all[i].key == key ? 0 : all[i].weight;
    }
    if (near >= 0 && far <= 0)
        near = 1;
    for (guint i = 0; i < n && near >= 0; i++)
        all[i].weight = all[i].key == key ? near
                        : far > 0         ? (1 - near) * all[i].weight / far
                                          : 0;
    return all;
}

/* How many are this box's zone's. */
static unsigned zone_part(const WPDemandView *v, const WPDemandFor *e)
{
    g_autofree WPShare *all = zone_shares(v, e);
    return wp_share_of(all, v->zones->len, v->self_zone, e->part, e->endpoint);
}

unsigned wp_demand_quota(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                         const WPDemandFor *e)
{
    const WPDemandView *v =
        wp_demand_view(d, now, b, wp_demand_service(d, e->service));
    unsigned part = zone_part(v, e);
    return part ? wp_share_of((const WPShare *)(void *)v->boxes->data,
                              v->boxes->len, v->self, part, e->endpoint)
                : 0;
}
