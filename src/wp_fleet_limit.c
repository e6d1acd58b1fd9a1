/* Rate limits that endpoints set for all boxes together: the known values,
 * their updates to other boxes, and how requests keep to them. */
#include "wp_fleet_int.h"

enum {
    /* Minimum time between two logged reports of invalid fields of one
       endpoint. */
    BAD_FIELD_INTERVAL_MS = 10000,
    /* Minimum time between two updates about one endpoint: a limit may change
       with each answer. */
    UPDATE_INTERVAL_MS = 250,
    QUOTA_TTL_MS = 300, /* how long a computed quota is used */
    SUM_TTL_MS = 200,   /* the same of the sum of a zone's limits */
    /* How long boxes that join are sent that an endpoint has no limit any
       more. */
    ENDED_LIMIT_TTL_MS = 60000,
    EARLY_MAX = 4096, /* limits of endpoints that are not registered yet */
    /* Latest time at which a refused caller is told to retry. */
    RETRY_MAX_MS = 5000,
    RETRY_MIN_MS = 20,
    /* How long after the refusal of a more urgent request less urgent ones
       yield. */
    YIELD_MS = 1000
};

/* Share of the less urgent requests that leave their slots to more urgent ones
   that were refused lately; not all of them, so that none starves. */
#define YIELD_SHARE 0.75

/* Highest limit that is accepted from another box. */
#define PER_S_MAX 1e9

/* State of refused requests, by service. */
typedef struct Refusals {
    /* Retry time that the last refused caller was told. */
    int64_t next_retry_us;
    int64_t at_us[WP_PRIORITIES]; /* latest refusal by priority */
} Refusals;

/* Sum of the limits of the endpoints of one service and zone. */
typedef struct ZoneLimit {
    double per_s;
    int64_t at_us;
} ZoneLimit;

double wp_fleet_limit_of(const WPReplica *s)
{
    return s->reported.limit ? s->reported.limit->per_s : 0;
}

static uint64_t service_hash(const char *service)
{
    return wp_hash(wp_str(service), 0);
}

static WPLimit *get_limit(WPFleet *f, WPReplica *s, WPTime now)
{
    if (s->reported.limit)
        return s->reported.limit;
    s->reported.limit = g_new0(WPLimit, 1);
    s->reported.limit->first_known_us = now.mono_us;
    s->reported.limit->service_zone_hash =
        wp_hash(wp_str(s->zone), service_hash(s->service));
    g_ptr_array_add(f->limited, s);
    return s->reported.limit;
}

void wp_fleet_forget_limit(WPFleet *f, WPReplica *s)
{
    if (s->reported.limit)
        g_ptr_array_remove_fast(f->limited, s);
    g_clear_pointer(&s->reported.limit, g_free);
}

/* Returns whether an invalid field of this endpoint is to be reported now: none
   was reported for BAD_FIELD_INTERVAL_MS. If so, records `now` as the time of
   the last report. */
static bool claim_bad_field_report(WPLimit *l, WPTime now)
{
    if (l->bad_field_reported_us &&
        now.mono_us - l->bad_field_reported_us <
            (int64_t)BAD_FIELD_INTERVAL_MS * WP_US_PER_MS)
        return false;
    l->bad_field_reported_us = now.mono_us;
    return true;
}

/* Whether an answer may be older than the known limit: its request was sent
   before that was known. A lower limit is accepted all the same, as nothing is
   risked by that. */
static bool may_be_outdated(const WPLimit *l, double per_s, int64_t sent_us)
{
    bool lower = per_s > 0 && l->per_s > 0 && per_s < l->per_s;
    return l->sequence && !lower && sent_us < l->changed_us;
}

static void set_own_limit(WPFleet *f, WPLimit *l, WPTime now, double per_s)
{
    wp_limit_set(l, now, per_s);
    l->sequence++;
    l->origin_box = f->boxes.self.hash;
    l->unsent = true;
    f->limits_unsent = true;
}

WPLimitChange wp_fleet_record_limit(WPFleet *f, WPReplica *s, WPTime now,
                                    const WPLimitReport *report)
{
    bool named = report->field.status == WP_LIMIT_FIELD_PRESENT;
    if (s->gone ||
        (!s->reported.limit && report->field.status == WP_LIMIT_FIELD_NONE))
        return WP_LIMIT_UNCHANGED;
    WPLimit *l = get_limit(f, s, now);
    double per_s = named ? report->field.per_s : 0;
    l->answered_us = now.mono_us;
    bool invalid = report->field.status == WP_LIMIT_FIELD_INVALID &&
                   claim_bad_field_report(l, now);
    bool counts = named || report->has_seal;
    if (counts && l->per_s != per_s &&
        !may_be_outdated(l, per_s, report->sent_us)) {
        set_own_limit(f, l, now, per_s);
        return WP_LIMIT_CHANGED;
    }
    return invalid ? WP_LIMIT_REPORT_INVALID : WP_LIMIT_UNCHANGED;
}

static bool is_later(const WPLimitUpdate *n, uint32_t sequence,
                     uint64_t origin_box)
{
    return n->sequence > sequence ||
           (n->sequence == sequence && n->origin_box > origin_box);
}

/* A box that starts receives limits before it has read the registry. */
static void store_early_limit(WPFleet *f, const WPLimitUpdate *n)
{
    WPLimitUpdate *had = g_hash_table_lookup(f->early_limits, &n->endpoint);
    if (had && is_later(n, had->sequence, had->origin_box))
        *had = *n;
    if (had)
        return;
    /* Full: the endpoints of old entries were never registered. */
    if (g_hash_table_size(f->early_limits) >= EARLY_MAX)
        g_hash_table_remove_all(f->early_limits);
    g_hash_table_insert(f->early_limits,
                        g_memdup2(&n->endpoint, sizeof(n->endpoint)),
                        g_memdup2(n, sizeof(*n)));
}

void wp_fleet_merge_early_limit(WPFleet *f, WPTime now, const WPReplica *s)
{
    const WPLimitUpdate *n =
        g_hash_table_lookup(f->early_limits, &s->incarnation_hash);
    if (!n)
        return;
    wp_fleet_merge_limit(f, now, n);
    g_hash_table_remove(f->early_limits, &s->incarnation_hash);
}

WPReplica *wp_fleet_merge_limit(WPFleet *f, WPTime now, const WPLimitUpdate *n)
{
    WPReplica *s = wp_fleet_by_hash(f, n->endpoint);
    bool valid = n->per_s >= 0 && n->per_s <= PER_S_MAX;
    if (!s && valid)
        store_early_limit(f, n);
    if (!s || !valid || (!s->reported.limit && n->per_s <= 0))
        return NULL;
    WPLimit *l = get_limit(f, s, now);
    if (!is_later(n, l->sequence, l->origin_box))
        return NULL;
    if (l->per_s != n->per_s)
        wp_limit_set(l, now, n->per_s);
    l->sequence = n->sequence;
    l->origin_box = n->origin_box;
    l->unsent = true;
    f->limits_unsent = true;
    return s;
}

static WPLimitUpdate update_of(const WPReplica *s)
{
    const WPLimit *l = s->reported.limit;
    return (WPLimitUpdate){ s->incarnation_hash, l->per_s, l->sequence,
                            l->origin_box };
}

size_t wp_fleet_take_unsent_limits(WPFleet *f, WPTime now, WPLimitUpdate *out,
                                   size_t max)
{
    size_t n = 0;
    if (!f->limits_unsent)
        return 0;
    f->limits_unsent = false;
    for (guint i = 0; i < f->limited->len; i++) {
        const WPReplica *s = g_ptr_array_index(f->limited, i);
        WPLimit *l = s->reported.limit;
        int64_t age_us = now.mono_us - l->update_sent_us;
        bool due =
            !l->update_sent_us || age_us >= UPDATE_INTERVAL_MS * WP_US_PER_MS;
        if (!l->unsent)
            continue;
        if (!due || n == max) {
            f->limits_unsent = true;
            continue;
        }
        out[n++] = update_of(s);
        l->unsent = false;
        l->update_sent_us = now.mono_us;
    }
    return n;
}

bool wp_fleet_has_unsent_limits(const WPFleet *f)
{
    return f->limits_unsent;
}

void wp_fleet_each_limit(WPFleet *f, void (*fn)(void *, const WPLimitUpdate *),
                         void *arg)
{
    for (guint i = 0; i < f->limited->len; i++) {
        const WPLimitUpdate n = update_of(g_ptr_array_index(f->limited, i));
        if (n.sequence)
            fn(arg, &n);
    }
}

void wp_fleet_tick_limits(WPFleet *f, WPTime now)
{
    for (guint i = f->limited->len; i-- > 0;) {
        WPReplica *s = g_ptr_array_index(f->limited, i);
        const WPLimit *l = s->reported.limit;
        int64_t age_us = now.mono_us - MAX(l->changed_us, l->answered_us);
        if (wp_limit_rate(l, now) > 0)
            wp_demand_activate(f->demand, now, service_hash(s->service));
        else if (age_us > (int64_t)ENDED_LIMIT_TTL_MS * WP_US_PER_MS)
            wp_fleet_forget_limit(f, s);
    }
}

/* Sum of the rate limits, in requests a second, of the endpoints of the service
   and zone that `zone_key` is the hash of; computed again after SUM_TTL_MS. */
static double zone_limit_per_s(WPFleet *f, WPTime now, uint64_t zone_key)
{
    ZoneLimit *p = g_hash_table_lookup(f->limit_sums, &zone_key);
    if (!p) {
        p = g_new0(ZoneLimit, 1);
        g_hash_table_insert(f->limit_sums,
                            g_memdup2(&zone_key, sizeof(zone_key)), p);
    }
    if (p->at_us && now.mono_us - p->at_us < SUM_TTL_MS * WP_US_PER_MS)
        return p->per_s;
    p->at_us = now.mono_us;
    p->per_s = 0;
    for (guint i = 0; i < f->limited->len; i++) {
        const WPReplica *s = g_ptr_array_index(f->limited, i);
        if (s->reported.limit->service_zone_hash == zone_key)
            p->per_s += wp_limit_rate(s->reported.limit, now);
    }
    return p->per_s;
}

/* This box's share, in requests, of a window of `part` requests of the
   endpoint's limit; computed again after QUOTA_TTL_MS, or if `part` has
   changed. */
static unsigned quota_of(WPFleet *f, WPTime now, const WPReplica *s,
                         unsigned part)
{
    WPLimit *l = s->reported.limit;
    bool fresh =
        l->quota_computed_us && l->quota_window == part &&
        now.mono_us - l->quota_computed_us < QUOTA_TTL_MS * WP_US_PER_MS;
    if (fresh)
        return l->quota;
    const WPDemandQuotaQuery e = { .service = service_hash(s->service),
                                   .endpoint = s->incarnation_hash,
                                   .zone = s->zone,
                                   .zone_per_s = zone_limit_per_s(
                                       f, now, l->service_zone_hash),
                                   .window_requests = part };
    l->quota = wp_demand_quota(f->demand, now, &f->boxes, &e);
    l->quota_window = part;
    l->quota_computed_us = now.mono_us;
    return l->quota;
}

int64_t wp_fleet_limit_next_send_us(WPFleet *f, WPTime now, const WPReplica *s)
{
    if (!s->reported.limit)
        return 0;
    const WPLimitWindow w = wp_limit_window(s->reported.limit, now);
    if (!w.requests)
        return 0;
    return wp_limit_next_send_us(s->reported.limit, now, &w,
                                 quota_of(f, now, s, w.requests));
}

double wp_fleet_limit_own_rate(WPFleet *f, WPTime now, const WPReplica *s)
{
    const WPLimitWindow w = wp_limit_window(s->reported.limit, now);
    if (!w.requests)
        return 0;
    return (double)quota_of(f, now, s, w.requests) * WP_US_PER_S /
           (double)w.length_us;
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

/* In the order in which slots become free for this box, so that callers do not
   all retry at the same moment; a caller that would be too late by that is
   given a random time. */
static int64_t retry_at_us(WPFleet *f, Refusals *r, WPTime now,
                           const WPExcludedEndpoints *excluded)
{
    int64_t max_us = now.mono_us + (int64_t)RETRY_MAX_MS * WP_US_PER_MS;
    int64_t min_us = now.mono_us + RETRY_MIN_MS * WP_US_PER_MS;
    int64_t first_us = MAX(min_us, excluded->next_send_us);
    int64_t at_us = first_us;
    if (excluded->own_per_s > 0)
        at_us =
            MAX(r->next_retry_us + (int64_t)(WP_US_PER_S / excluded->own_per_s),
                first_us);
    if (excluded->own_per_s > 0 && at_us <= max_us) {
        r->next_retry_us = at_us;
        return at_us;
    }
    return min_us +
           (int64_t)(g_rand_double(f->rand) * (double)(max_us - min_us));
}

uint32_t wp_fleet_limit_refused(WPFleet *f, WPTime now,
                                const WPEndpointQuery *q,
                                const WPExcludedEndpoints *excluded)
{
    Refusals *r = refusals_of(f, q->service);
    r->at_us[CLAMP(q->priority, 0, WP_PRIORITIES - 1)] = now.mono_us;
    int64_t us = retry_at_us(f, r, now, excluded) - now.mono_us;
    return (uint32_t)(us / WP_US_PER_MS) + 1;
}

bool wp_fleet_limit_yields(WPFleet *f, WPTime now, const WPEndpointQuery *q)
{
    const Refusals *r = g_hash_table_lookup(f->refusals, q->service);
    if (!r || q->random >= YIELD_SHARE)
        return false;
    for (int i = 0; i < MIN(q->priority, WP_PRIORITIES); i++)
        if (r->at_us[i] &&
            now.mono_us - r->at_us[i] < (int64_t)YIELD_MS * WP_US_PER_MS)
            return true;
    return false;
}

WPDemand *wp_fleet_demand(WPFleet *f)
{
    return f->demand;
}

bool wp_fleet_take_unsent_zone_demand(WPFleet *f, WPTime now,
                                      WPDemandUpdate *out)
{
    return wp_demand_take_unsent_zone(f->demand, now, &f->boxes, out);
}

void wp_fleet_count_request(WPFleet *f, WPTime now, const char *service)
{
    wp_demand_count_request(f->demand, now, service_hash(service));
}
