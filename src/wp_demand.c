/* The boxes' requests for a service, and their shares by these. */
#include "wp_demand_int.h"

enum {
    WANTED_MS = 10000,    /* figures are told so long after a limit was met */
    TELL_LEAST_MS = 1000, /* between a box's figures that differ */
    TELL_AGAIN_MS = 4000, /* and that do not */
    ZONE_AGAIN_MS = 8000  /* the same of a zone's, which all boxes pass on */
};

/* A figure that is off by this much is told again. */
#define TELL_RATIO 1.5

uint64_t wp_demand_key(uint64_t a, uint64_t b)
{
    const uint64_t key[2] = { a, b };
    return wp_hash(wp_strn((const char *)key, sizeof(key)), 0);
}

uint64_t wp_demand_zone_hash(const char *zone)
{
    return wp_hash(wp_str(zone), 0);
}

static void free_service(gpointer p)
{
    WPDemandService *s = p;
    if (s->view.boxes)
        g_array_unref(s->view.boxes);
    if (s->view.zones)
        g_array_unref(s->view.zones);
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
    d->away = new_table(NULL);
    return d;
}

void wp_demand_free(WPDemand *d)
{
    if (!d)
        return;
    g_hash_table_unref(d->services);
    g_hash_table_unref(d->boxes);
    g_hash_table_unref(d->zones);
    g_hash_table_unref(d->away);
    g_free(d);
}

/* The value of a table, made when it is missing. */
static void *need_value(GHashTable *t, uint64_t key, size_t size)
{
    void *v = g_hash_table_lookup(t, &key);
    if (!v) {
        v = g_malloc0(size);
        g_hash_table_insert(t, g_memdup2(&key, sizeof(key)), v);
    }
    return v;
}

WPDemandService *wp_demand_service(WPDemand *d, uint64_t service)
{
    WPDemandService *s =
        need_value(d->services, service, sizeof(WPDemandService));
    s->service = service;
    return s;
}

/* Bins that have passed since the newest are empty. */
static void turn_bins(WPDemandService *s, WPTime now)
{
    int64_t bin = now.mono_us / ((int64_t)WP_DEMAND_BIN_MS * WP_US_PER_MS);
    if (bin - s->bin >= WP_DEMAND_BINS)
        memset(s->bins, 0, sizeof(s->bins));
    for (int64_t i = MAX(s->bin + 1, bin - WP_DEMAND_BINS + 1); i <= bin; i++)
        s->bins[i % WP_DEMAND_BINS] = 0;
    s->bin = MAX(s->bin, bin);
}

void wp_demand_asked(WPDemand *d, WPTime now, uint64_t service)
{
    WPDemandService *s = wp_demand_service(d, service);
    turn_bins(s, now);
    s->bins[s->bin % WP_DEMAND_BINS]++;
}

/* Over the time of the bins, of which the newest is half over on average. */
double wp_demand_per_min(WPDemandService *s, WPTime now)
{
    double n = 0;
    turn_bins(s, now);
    for (unsigned i = 0; i < WP_DEMAND_BINS; i++)
        n += s->bins[i];
    return n * WP_DEMAND_S_PER_MIN * WP_MS_PER_S /
           ((WP_DEMAND_BINS - 0.5) * WP_DEMAND_BIN_MS);
}

bool wp_demand_is_wanted(const WPDemand *d, WPTime now)
{
    return d->wanted_until_us > now.mono_us;
}

static gboolean is_old_figure(gpointer key, gpointer value, gpointer arg)
{
    const WPDemandFigure *f = value;
    const WPTime *now = arg;
    (void)key;
    return !wp_demand_is_fresh(f->heard_us, *now, WP_DEMAND_FRESH_MS);
}

void wp_demand_want(WPDemand *d, WPTime now, uint64_t service)
{
    int64_t until_us = now.mono_us + (int64_t)WANTED_MS * WP_US_PER_MS;
    if (!wp_demand_is_wanted(d, now)) {
        d->listens_us = now.mono_us;
        g_hash_table_foreach_remove(d->boxes, is_old_figure, &now);
    }
    d->wanted_until_us = until_us;
    wp_demand_service(d, service)->wanted_until_us = until_us;
}

static bool is_off(double had, double has)
{
    return has > had * TELL_RATIO || had > has * TELL_RATIO;
}

/* Whether a figure is to be told again. */
static bool is_due(WPTime now, int64_t told_us, double had, double has,
                   int64_t again_ms)
{
    int64_t age_ms = (now.mono_us - told_us) / WP_US_PER_MS;
    if (!told_us || age_ms >= again_ms)
        return true;
    bool first = had <= 0 && has > 0;
    return is_off(had, has) && (first || age_ms >= TELL_LEAST_MS);
}

bool wp_demand_tell(WPDemand *d, WPTime now, WPDemandNews *out)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, d->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        WPDemandService *s = v;
        if (s->wanted_until_us <= now.mono_us)
            continue;
        double has = wp_demand_per_min(s, now);
        if (!is_due(now, s->told_us, s->told_per_min, has, TELL_AGAIN_MS))
            continue;
        s->told_us = now.mono_us;
        s->told_per_min = (uint32_t)has;
        d->change++;
        *out =
            (WPDemandNews){ .service = s->service, .per_min = (uint32_t)has };
        return true;
    }
    return false;
}

void wp_demand_hear(WPDemand *d, WPTime now, const WPDemandNews *n)
{
    WPDemandFigure *f =
        need_value(d->boxes, wp_demand_key(n->of, n->service), sizeof(*f));
    if (f->per_min != n->per_min)
        d->change++;
    f->per_min = n->per_min;
    f->heard_us = d->heard_us = now.mono_us;
    wp_demand_set_away(d, n->of, false);
}

bool wp_demand_is_fresh(int64_t heard_us, WPTime now, int64_t ms)
{
    return heard_us && now.mono_us - heard_us < ms * WP_US_PER_MS;
}

bool wp_demand_hear_zone(WPDemand *d, WPTime now, const WPDemandNews *n)
{
    WPDemandZoneFigure *z =
        need_value(d->zones, wp_demand_key(n->of, n->service), sizeof(*z));
    const WPDemandNews *had = &z->news;
    bool later = n->number > had->number ||
                 (n->number == had->number && n->box > had->box);
    if (!later)
        return false;
    if (had->per_min != n->per_min)
        d->change++;
    z->news = *n;
    z->heard_us = now.mono_us;
    return true;
}

void wp_demand_each_zone(WPDemand *d, WPTime now,
                         void (*fn)(void *arg, const WPDemandNews *n),
                         void *arg)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, d->zones);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPDemandZoneFigure *z = v;
        if (wp_demand_is_fresh(z->heard_us, now, WP_DEMAND_ZONE_FRESH_MS))
            fn(arg, &z->news);
    }
}

void wp_demand_set_away(WPDemand *d, uint64_t box, bool away)
{
    bool was = g_hash_table_contains(d->away, &box);
    if (was == away)
        return;
    if (away)
        g_hash_table_add(d->away, g_memdup2(&box, sizeof(box)));
    else
        g_hash_table_remove(d->away, &box);
    d->change++;
}

bool wp_demand_tell_zone(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                         WPDemandNews *out)
{
    uint64_t zone = wp_demand_zone_hash(b->self.zone);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, d->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        WPDemandService *s = v;
        if (s->wanted_until_us <= now.mono_us)
            continue;
        double has = wp_demand_view(d, now, b, s)->per_min;
        WPDemandZoneFigure *z =
            need_value(d->zones, wp_demand_key(zone, s->service), sizeof(*z));
        if (!is_due(now, z->told_us, z->news.per_min, has, ZONE_AGAIN_MS))
            continue;
        z->told_us = z->heard_us = now.mono_us;
        z->news = (WPDemandNews){ .service = s->service,
                                  .of = zone,
                                  .per_min = (uint32_t)has,
                                  .number = z->news.number + 1,
                                  .box = b->self.hash };
        *out = z->news;
        return true;
    }
    return false;
}
