/* This box's quota of the rate limit of an endpoint, in proportion to the
 * request rates of zones and boxes. */
#include "wp_demand_int.h"

enum {
    RATE_WAIT_MS = 3000, /* a box whose rate has not arrived for this time after
                            listening began has none; a box that joins receives
                            the rates within some tens of ms */
    SMALL_ZONE_MAX = 3,  /* boxes; all boxes of such a zone keep links to other
                            zones */
    WEIGHTS_MAX_AGE_MS = 100 /* weights are computed again after this time */
};

/* A zone whose request rate is this many times the limits of its endpoints gets
   their whole quota. Below that its share falls linearly: with a step instead,
   which boxes see at different times, they together exceed the endpoints'
   limits. */
#define FULL_USE_RATIO 1.25

/* The request rate of another box of this zone; below 0: unknown. A rate that
   has not arrived is unknown while there has been little time for it, or while
   rates arrive from no box; later it is 0. */
static double box_weight(WPDemand *d, WPTime now, const WPPaceBox *b,
                         uint64_t service)
{
    uint64_t key = wp_demand_key(b->hash, service);
    const WPDemandBoxRate *f = g_hash_table_lookup(d->boxes, &key);
    if (g_hash_table_contains(d->unreachable, &b->hash))
        return 0;
    if (f && wp_demand_is_fresh(f->received_us, now, WP_DEMAND_BOX_TTL_MS))
        return f->per_min;
    bool early =
        now.mono_us - d->active_since_us < (int64_t)RATE_WAIT_MS * WP_US_PER_MS;
    bool alone = !wp_demand_is_fresh(d->received_us, now, WP_DEMAND_BOX_TTL_MS);
    return early || alone ? -1 : 0;
}

/* Replaces unknown weights by the mean of the known ones, or by 1 when none of
   those is above 0. */
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

/* Weights of the boxes of this zone: this box, the other known ones, and those
   of which only the number is known. */
static void weigh_boxes(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                        WPDemandService *s)
{
    WPDemandWeights *v = &s->weights;
    g_array_set_size(v->boxes, 0);
    v->self_index = 0;
    for (guint i = 0; i < b->all->len; i++) {
        const WPPaceBox *o = &g_array_index(b->all, WPPaceBox, i);
        bool self = o->hash == b->self.hash;
        if (strcmp(o->zone, b->self.zone))
            continue;
        double weight = !self        ? box_weight(d, now, o, s->service)
                        : s->sent_us ? s->sent_per_min
                                     : wp_demand_own_per_min(s, now);
        const WPShare share = { o->hash, weight };
        if (self)
            v->self_index = v->boxes->len;
        g_array_append_val(v->boxes, share);
    }
    for (unsigned i = b->all->len; i < b->min_count; i++) {
        const WPShare share = { i, -1 };
        g_array_append_val(v->boxes, share);
    }
    fill_unknown(v->boxes);
    v->zone_per_min = 0;
    for (guint i = 0; i < v->boxes->len; i++)
        v->zone_per_min += g_array_index(v->boxes, WPShare, i).weight;
}

/* Whether links to all boxes of a small zone are lost. In a large zone few
   boxes keep links to other zones, so that lost links show nothing there. */
static bool is_zone_unreachable(const WPDemand *d, const WPPaceBoxes *b,
                                const char *zone)
{
    unsigned n = 0;
    for (guint i = 0; i < b->all->len; i++) {
        const WPPaceBox *o = &g_array_index(b->all, WPPaceBox, i);
        if (strcmp(o->zone, zone))
            continue;
        n++;
        if (!g_hash_table_contains(d->unreachable, &o->hash))
            return false;
    }
    return n <= SMALL_ZONE_MAX;
}

/* The request rate of a zone as its box sent it; below 0: unknown. */
static double zone_weight(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                          const char *zone, uint64_t service)
{
    uint64_t key = wp_demand_key(wp_demand_zone_hash(zone), service);
    const WPDemandZoneRate *z = g_hash_table_lookup(d->zones, &key);
    if (is_zone_unreachable(d, b, zone))
        return 0;
    bool known =
        z && wp_demand_is_fresh(z->received_us, now, WP_DEMAND_ZONE_TTL_MS);
    return known ? (double)z->update.per_min : -1;
}

/* Whether the rate of this box's zone is one that was sent, which the other
   zones use as well. */
static bool is_zone_rate_sent(WPDemand *d, WPTime now, uint64_t zone,
                              uint64_t service)
{
    uint64_t key = wp_demand_key(zone, service);
    const WPDemandZoneRate *z = g_hash_table_lookup(d->zones, &key);
    return z && wp_demand_is_fresh(z->received_us, now, WP_DEMAND_ZONE_TTL_MS);
}

static bool has_share(const GArray *shares, uint64_t key)
{
    for (guint i = 0; i < shares->len; i++)
        if (g_array_index(shares, WPShare, i).key == key)
            return true;
    return false;
}

/* Fills the weights of all zones with boxes, for the service. The own zone's is
   the rate that was sent to the other zones, so that all zones compute the same
   shares; while none was sent lately, the sum of its boxes' weights. */
static void weigh_zones(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                        WPDemandService *s)
{
    WPDemandWeights *v = &s->weights;
    g_array_set_size(v->zones, 0);
    for (guint i = 0; i < b->all->len; i++) {
        const WPPaceBox *o = &g_array_index(b->all, WPPaceBox, i);
        bool own = !strcmp(o->zone, b->self.zone);
        WPShare share = { wp_demand_zone_hash(o->zone), v->zone_per_min };
        if (has_share(v->zones, share.key))
            continue;
        if (own)
            v->self_zone_index = v->zones->len;
        if (!own || is_zone_rate_sent(d, now, share.key, s->service))
            share.weight = zone_weight(d, now, b, o->zone, s->service);
        g_array_append_val(v->zones, share);
    }
}

const WPDemandWeights *wp_demand_weights(WPDemand *d, WPTime now,
                                         const WPPaceBoxes *b,
                                         WPDemandService *s)
{
    WPDemandWeights *v = &s->weights;
    int64_t age_us = now.mono_us - v->computed_us;
    bool same =
        v->generation == d->generation && v->boxes_generation == b->generation;
    if (v->computed_us && same &&
        age_us < (int64_t)WEIGHTS_MAX_AGE_MS * WP_US_PER_MS)
        return v;
    if (!v->boxes) {
        v->boxes = g_array_new(FALSE, FALSE, sizeof(WPShare));
        v->zones = g_array_new(FALSE, FALSE, sizeof(WPShare));
    }
    weigh_boxes(d, now, b, s);
    weigh_zones(d, now, b, s);
    v->computed_us = now.mono_us;
    v->generation = d->generation;
    v->boxes_generation = b->generation;
    return v;
}

/* The share, 0 to 1, of the endpoint's quota that goes to the endpoint's own
   zone: all, if its boxes have enough requests to use it up, or if their rate
   is unknown. Below 0: the zone has no boxes. */
static double own_zone_share(const WPDemandWeights *v,
                             const WPDemandQuotaQuery *e)
{
    uint64_t key = wp_demand_zone_hash(e->zone);
    double full_use = FULL_USE_RATIO * e->zone_per_s * WP_DEMAND_S_PER_MIN;
    for (guint i = 0; i < v->zones->len; i++) {
        const WPShare *z = &g_array_index(v->zones, WPShare, i);
        if (z->key == key)
            return z->weight < 0 || full_use <= 0
                       ? 1
                       : MIN(z->weight / full_use, 1);
    }
    return -1;
}

/* Weights of all zones for the endpoint's quota: what its own zone leaves is
   divided among the others by their request rates. Free with g_free(). */
static WPShare *zone_shares(const WPDemandWeights *v,
                            const WPDemandQuotaQuery *e)
{
    uint64_t key = wp_demand_zone_hash(e->zone);
    double local = own_zone_share(v, e), remote = 0;
    guint n = v->zones->len;
    WPShare *all = g_memdup2(v->zones->data, n * sizeof(WPShare));
    for (guint i = 0; i < n; i++) {
        all[i].weight = MAX(all[i].weight, 0);
        remote += all[i].key == key ? 0 : all[i].weight;
    }
    if (local >= 0 && remote <= 0)
        local = 1;
    for (guint i = 0; i < n && local >= 0; i++)
        all[i].weight = all[i].key == key ? local
                        : remote > 0      ? (1 - local) * all[i].weight / remote
                                          : 0;
    return all;
}

/* How many requests per window fall to this box's zone. */
static unsigned zone_quota(const WPDemandWeights *v,
                           const WPDemandQuotaQuery *e)
{
    g_autofree WPShare *all = zone_shares(v, e);
    return wp_share_of(all, v->zones->len, v->self_zone_index,
                       e->window_requests, e->endpoint);
}

unsigned wp_demand_quota(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                         const WPDemandQuotaQuery *e)
{
    const WPDemandWeights *v =
        wp_demand_weights(d, now, b, wp_demand_get_service(d, e->service));
    unsigned own_zone = zone_quota(v, e);
    return own_zone ? wp_share_of((const WPShare *)(void *)v->boxes->data,
                                  v->boxes->len, v->self_index, own_zone,
                                  e->endpoint)
                    : 0;
}
