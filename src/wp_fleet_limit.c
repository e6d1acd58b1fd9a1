/* Endpoints that name the requests a second that they take from all boxes
 * together: what is believed, told and kept to. */
#include "wp_fleet_int.h"

enum {
    BAD_AGAIN_MS = 10000, /* between two reports of one endpoint's bad fields */
    TELL_LEAST_MS = 250,  /* between two beliefs that are told of one endpoint:
                             a limit may change with each answer */
    QUOTA_MS = 300,       /* a quota is worked out anew after so long */
    SUM_MS = 200,         /* the same of what a zone's endpoints take */
    FORGOTTEN_MS = 60000, /* an endpoint that names none any more is told of to
                             boxes that come, for so long */
    EARLY_MOST = 4096,    /* endpoints that are not listed yet */
    RETURN_MOST_MS = 5000, /* a refused caller is told to come back by then */
    RETURN_LEAST_MS = 20,
    YIELDS_MS = 1000 /* after a more urgent request was refused */
};

/* So many of the less urgent requests leave their places to more urgent ones
   that are refused meanwhile; not all, so that none starves. */
#define YIELDS_SHARE 0.75

/* The most that is believed of what another box tells. */
#define PER_S_MOST 1e9

/* What a refused request leaves behind, by service. */
typedef struct Refusals {
    int64_t next_us; /* when the last refused caller was told to come back */
    int64_t at_us[WP_PRIORITIES]; /* the last one of each priority */
} Refusals;

/* What the endpoints of one service and zone take. */
typedef struct PlaceSum {
    double per_s;
    int64_t at_us;
} PlaceSum;

double wp_fleet_limit_of(const WPReplica *s)
{
    return s->said.limit ? s->said.limit->per_s : 0;
}

static uint64_t service_hash(const char *service)
{
    return wp_hash(wp_str(service), 0);
}

static WPLimit *limit_of(WPFleet *f, WPReplica *s, WPTime now)
{
    if (s->said.limit)
        return s->said.limit;
    s->said.limit = g_new0(WPLimit, 1);
    s->said.limit->born_us = now.mono_us;
    s->said.limit->place = wp_hash(wp_str(s->zone), service_hash(s->service));
    g_ptr_array_add(f->limited, s);
    return s->said.limit;
}

void wp_fleet_forget_limit(WPFleet *f, WPReplica *s)
{
    if (s->said.limit)
        g_ptr_array_remove_fast(f->limited, s);
    g_clear_pointer(&s->said.limit, g_free);
}

static bool is_to_be_reported(WPLimit *l, WPTime now)
{
    if (l->bad_us &&
        now.mono_us - l->bad_us < (int64_t)BAD_AGAIN_MS * WP_US_PER_MS)
        return false;
    l->bad_us = now.mono_us;
    return true;
}

/* Whether an answer may be older than what is believed: to a request that was
   sent before that was known. A lower limit is believed all the same, as
   nothing is risked by that. */
static bool may_be_old(const WPLimit *l, double per_s, int64_t sent_us)
{
    bool lower = per_s > 0 && l->per_s > 0 && per_s < l->per_s;
    return l->number && !lower && sent_us < l->changed_us;
}

static void believe(WPFleet *f, WPLimit *l, WPTime now, double per_s)
{
    wp_limit_set(l, now, per_s);
    l->number++;
    l->box = f->boxes.self.hash;
    l->untold = true;
    f->limits_untold = true;
}

WPLimitChange wp_fleet_told_limit(WPFleet *f, WPReplica *s, WPTime now,
                                  const WPLimitSeen *seen)
{
    bool named = seen->field.said == WP_LIMIT_NAMED;
    if (s->gone || (!s->said.limit && seen->field.said == WP_LIMIT_NONE))
        return WP_LIMIT_SAME;
    WPLimit *l = limit_of(f, s, now);
    double per_s = named ? seen->field.per_s : 0;
    l->heard_us = now.mono_us;
    bool odd = seen->field.said == WP_LIMIT_BAD && is_to_be_reported(l, now);
    bool counts = named || seen->genuine;
    if (counts && l->per_s != per_s && !may_be_old(l, per_s, seen->sent_us)) {
        believe(f, l, now, per_s);
        return WP_LIMIT_CHANGED;
    }
    return odd ? WP_LIMIT_ODD : WP_LIMIT_SAME;
}

static bool is_later(const WPLimitNews *n, uint32_t number, uint64_t box)
{
    return n->number > number || (n->number == number && n->box > box);
}

/* A box that starts is told of limits before it has the list of endpoints. */
static void keep_early(WPFleet *f, const WPLimitNews *n)
{
    WPLimitNews *had = g_hash_table_lookup(f->early_limits, &n->endpoint);
    if (had && is_later(n, had->number, had->box))
        *had = *n;
    if (had)
        return;
    if (g_hash_table_size(f->early_limits) >= EARLY_MOST) /* never listed */
        g_hash_table_remove_all(f->early_limits);
    g_hash_table_insert(f->early_limits,
                        g_memdup2(&n->endpoint, sizeof(n->endpoint)),
                        g_memdup2(n, sizeof(*n)));
}

void wp_fleet_take_early_limit(WPFleet *f, WPTime now, const WPReplica *s)
{
    const WPLimitNews *n = g_hash_table_lookup(f->early_limits, &s->life_hash);
    if (!n)
        return;
    wp_fleet_hear_limit(f, now, n);
    g_hash_table_remove(f->early_limits, &s->life_hash);
}

WPReplica *wp_fleet_hear_limit(WPFleet *f, WPTime now, const WPLimitNews *n)
{
    WPReplica *s = wp_fleet_by_hash(f, n->endpoint);
    bool sane = n->per_s >= 0 && n->per_s <= PER_S_MOST;
    if (!s && sane)
        keep_early(f, n);
    if (!s || !sane || (!s->said.limit && n->per_s <= 0))
        return NULL;
    WPLimit *l = limit_of(f, s, now);
    if (!is_later(n, l->number, l->box))
        return NULL;
    if (l->per_s != n->per_s)
        wp_limit_set(l, now, n->per_s);
    l->number = n->number;
    l->box = n->box;
    l->untold = true;
    f->limits_untold = true;
    return s;
}

static WPLimitNews news_of(const WPReplica *s)
{
    const WPLimit *l = s->said.limit;
    return (WPLimitNews){ s->life_hash, l->per_s, l->number, l->box };
}

size_t wp_fleet_tell_limits(WPFleet *f, WPTime now, WPLimitNews *out,
                            size_t most)
{
    size_t n = 0;
    if (!f->limits_untold)
        return 0;
    f->limits_untold = false;
    for (guint i = 0; i < f->limited->len; i++) {
        const WPReplica *s = g_ptr_array_index(f->limited, i);
        WPLimit *l = s->said.limit;
        int64_t age_us = now.mono_us - l->told_us;
        bool due = !l->told_us || age_us >= TELL_LEAST_MS * WP_US_PER_MS;
        if (!l->untold)
            continue;
        if (!due || n == most) {
            f->limits_untold = true;
            continue;
        }
        out[n++] = news_of(s);
        l->untold = false;
        l->told_us = now.mono_us;
    }
    return n;
}

bool wp_fleet_any_untold_limit(const WPFleet *f)
{
    return f->limits_untold;
}

void wp_fleet_each_limit(WPFleet *f, void (*fn)(void *, const WPLimitNews *),
                         void *arg)
{
    for (guint i = 0; i < f->limited->len; i++) {
        const WPLimitNews n = news_of(g_ptr_array_index(f->limited, i));
        if (n.number)
            fn(arg, &n);
    }
}

void wp_fleet_tick_limits(WPFleet *f, WPTime now)
{
    for (guint i = f->limited->len; i-- > 0;) {
        WPReplica *s = g_ptr_array_index(f->limited, i);
        const WPLimit *l = s->said.limit;
        int64_t age_us = now.mono_us - MAX(l->changed_us, l->heard_us);
        if (wp_limit_rate(l, now) > 0)
            wp_demand_want(f->demand, now, service_hash(s->service));
        else if (age_us > (int64_t)FORGOTTEN_MS * WP_US_PER_MS)
            wp_fleet_forget_limit(f, s);
    }
}

static double place_per_s(WPFleet *f, WPTime now, uint64_t place)
{
    PlaceSum *p = g_hash_table_lookup(f->limit_sums, &place);
    if (!p) {
        p = g_new0(PlaceSum, 1);
        g_hash_table_insert(f->limit_sums, g_memdup2(&place, sizeof(place)), p);
    }
    if (p->at_us && now.mono_us - p->at_us < SUM_MS * WP_US_PER_MS)
        return p->per_s;
    p->at_us = now.mono_us;
    p->per_s = 0;
    for (guint i = 0; i < f->limited->len; i++) {
        const WPReplica *s = g_ptr_array_index(f->limited, i);
        if (s->said.limit->place == place)
            p->per_s += wp_limit_rate(s->said.limit, now);
    }
    return p->per_s;
}

static unsigned quota_of(WPFleet *f, WPTime now, const WPReplica *s,
                         unsigned part)
{
    WPLimit *l = s->said.limit;
    bool fresh = l->quota_us && l->quota_part == part &&
                 now.mono_us - l->quota_us < QUOTA_MS * WP_US_PER_MS;
    if (fresh)
        return l->quota;
    const WPDemandFor e = { .service = service_hash(s->service),
                            .endpoint = s->life_hash,
                            .zone = s->zone,
                            .zone_per_s = place_per_s(f, now, l->place),
                            .part = part };
    l->quota = wp_demand_quota(f->demand, now, &f->boxes, &e);
    l->quota_part = part;
    l->quota_us = now.mono_us;
    return l->quota;
}

int64_t wp_fleet_limit_free_us(WPFleet *f, WPTime now, const WPReplica *s)
{
    if (!s->said.limit)
        return 0;
    const WPLimitWindow w = wp_limit_window(s->said.limit, now);
    if (!w.part)
        return 0;
    return wp_limit_free_us(s->said.limit, now, &w,
                            quota_of(f, now, s, w.part));
}

double wp_fleet_limit_own_rate(WPFleet *f, WPTime now, const WPReplica *s)
{
    const WPLimitWindow w = wp_limit_window(s->said.limit, now);
    if (!w.part)
        return 0;
    return (double)quota_of(f, now, s, w.part) * WP_US_PER_S / (double)w.us;
}

static Refusals *refusals_of(WPFleet *f, const char *service)
{
    Refusals *r = g_hash_table_lookup(f->refusals, service);
    if (!r) {
        r = g_new0(Refusals, 1);
        g_hash_table_insert(f->refusals, g_strdup(service), r);
    }
    return r;
}

/* In the order of places that come free at this box, so that callers do not all
   come back in the same instant; whoever would be too late by that, any time.
 */
static int64_t come_back_us(WPFleet *f, Refusals *r, WPTime now,
                            const WPBarred *met)
{
    int64_t most_us = now.mono_us + (int64_t)RETURN_MOST_MS * WP_US_PER_MS;
    int64_t least_us = now.mono_us + RETURN_LEAST_MS * WP_US_PER_MS;
    int64_t first_us = MAX(least_us, met->free_us);
    int64_t at_us = first_us;
    if (met->own_per_s > 0)
        at_us =
            MAX(r->next_us + (int64_t)(WP_US_PER_S / met->own_per_s), first_us);
    if (met->own_per_s > 0 && at_us <= most_us) {
        r->next_us = at_us;
        return at_us;
    }
    return least_us +
           (int64_t)(g_rand_double(f->rand) * (double)(most_us - least_us));
}

uint32_t wp_fleet_limit_refused(WPFleet *f, WPTime now, const WPWant *w,
                                const WPBarred *met)
{
    Refusals *r = refusals_of(f, w->service);
    r->at_us[CLAMP(w->priority, 0, WP_PRIORITIES - 1)] = now.mono_us;
    int64_t us = come_back_us(f, r, now, met) - now.mono_us;
    return (uint32_t)(us / WP_US_PER_MS) + 1;
}

bool wp_fleet_limit_yields(WPFleet *f, WPTime now, const WPWant *w)
{
    const Refusals *r = g_hash_table_lookup(f->refusals, w->service);
    if (!r || w->draw >= YIELDS_SHARE)
        return false;
    for (int i = 0; i < MIN(w->priority, WP_PRIORITIES); i++)
        if (r->at_us[i] &&
            now.mono_us - r->at_us[i] < (int64_t)YIELDS_MS * WP_US_PER_MS)
            return true;
    return false;
}

WPDemand *wp_fleet_demand(WPFleet *f)
{
    return f->demand;
}

bool wp_fleet_tell_zone_demand(WPFleet *f, WPTime now, WPDemandNews *out)
{
    return wp_demand_tell_zone(f->demand, now, &f->boxes, out);
}

void wp_fleet_asked(WPFleet *f, WPTime now, const char *service)
{
    wp_demand_asked(f->demand, now, service_hash(service));
}
