/* Endpoint state that the boxes of a zone send each other. */
#include "wp_box_updates.h"
#include "wp_fleet_int.h"

/* Upper bound of the age of another box's load report: two batching intervals
   and two network transfers. A report that this box received itself within
   that time is newer. */
#define REMOTE_LOAD_MAX_AGE_US (40 * WP_US_PER_MS)

/* How long a load report is used. */
#define LOAD_FRESH_US (1500 * WP_US_PER_MS)

/* Rate at which the estimate of other boxes' queued prefill decays, in case
   the update that it is done is lost; an engine's prefill is four times as
   fast. */
#define PREFILL_DECAY_RATE 0.25

/* Minimum time between two averages over a cohort: loads change by one request
   in this time. */
#define COHORT_INTERVAL_US (20 * WP_US_PER_MS)

void wp_fleet_set_updates(WPFleet *f, WPBoxUpdates *updates)
{
    f->updates = updates;
}

WPReplica *wp_fleet_by_hash(WPFleet *f, uint64_t hash)
{
    return g_hash_table_lookup(f->by_hash, &hash);
}

void wp_fleet_add_sent_update(WPFleet *f, const WPReplica *s, double prefill_us)
{
    if (f->updates)
        wp_box_updates_add_sent(f->updates, s->incarnation_hash, prefill_us);
}

void wp_fleet_record_load(WPFleet *f, WPReplica *s, WPTime now,
                          uint32_t running, uint32_t waiting, uint32_t slots)
{
    wp_fleet_set_load(s, now, running, waiting, slots);
    if (f->updates)
        wp_box_updates_add_load(f->updates, s->incarnation_hash, running,
                                waiting);
}

/* Prefill time of other boxes' requests that is left by now. */
static double others_prefill_left_us(const WPReplica *s, WPTime now)
{
    double age_us = (double)(now.mono_us - s->others_prefill_updated_us);
    return MAX(0, s->others_queued_prefill_us - PREFILL_DECAY_RATE * age_us);
}

void wp_fleet_merge_sent(WPReplica *s, WPTime now, double prefill_us)
{
    s->others_queued_prefill_us = others_prefill_left_us(s, now) + prefill_us;
    s->others_prefill_updated_us = now.mono_us;
    s->sent_since_load++;
    wp_silence_merge_sent(&s->silence, now);
    if (s->reported.limit)
        wp_limit_record_remote_send(s->reported.limit, now);
    wp_prefill_peaks_add(&s->peaks, now, wp_fleet_queued_prefill_us(s, now));
}

void wp_fleet_merge_first_byte(WPReplica *s, WPTime now, double prefill_us)
{
    s->others_queued_prefill_us =
        MAX(0, others_prefill_left_us(s, now) - prefill_us);
    s->others_prefill_updated_us = now.mono_us;
    wp_silence_merge_first_byte(&s->silence, now);
}

void wp_fleet_share_ttfb(WPFleet *f, const WPTtfbSample *t)
{
    if (f->updates)
        wp_box_updates_add_ttfb(f->updates, t);
}

void wp_fleet_set_ttfb_listener(WPFleet *f, WPTtfbFn fn, void *arg)
{
    f->ttfb_listener = fn;
    f->ttfb_listener_arg = arg;
}

void wp_fleet_merge_ttfb(WPFleet *f, const WPTtfbSample *t)
{
    if (f->ttfb_listener)
        f->ttfb_listener(f->ttfb_listener_arg, t);
}

void wp_fleet_merge_load(WPReplica *s, WPTime now, uint32_t running,
                         uint32_t waiting)
{
    if (!s->reported.load_reported_us ||
        now.mono_us - s->reported.load_reported_us > REMOTE_LOAD_MAX_AGE_US)
        wp_fleet_set_load(s, now, running, waiting, 0);
}

double wp_fleet_queued_prefill_us(const WPReplica *s, WPTime now)
{
    double known_us = s->own_queued_prefill_us + others_prefill_left_us(s, now);
    if (!s->remote_zone || wp_fleet_is_load_fresh(s, now))
        return known_us;
    return MAX(known_us, s->cohort->queued_prefill_us);
}

bool wp_fleet_is_load_fresh(const WPReplica *s, WPTime now)
{
    return s->reported.load_reported_us &&
           now.mono_us - s->reported.load_reported_us < LOAD_FRESH_US;
}

WPCohort *wp_fleet_cohort(WPFleet *f, const WPReplica *s)
{
    g_autofree char *key = g_strdup_printf("%s %s", s->service, s->version);
    WPCohort *c = g_hash_table_lookup(f->cohorts, key);
    if (!c) {
        c = g_new0(WPCohort, 1);
        g_hash_table_insert(f->cohorts, g_steal_pointer(&key), c);
    }
    return c;
}

/* Whether the endpoint counts in the averages of its cohort: it is in this
   zone, is not draining and has reported its load lately. */
static bool is_averaged(const WPReplica *s, const WPCohort *c, WPTime now)
{
    return s->cohort == c && !s->remote_zone && !s->reported.draining.source &&
           s->slots && wp_fleet_is_load_fresh(s, now);
}

/* Computes the averages of utilization and queued prefill over a cohort; 0 if
   no endpoint counts. */
static void refresh_cohort(WPCohort *c, WPTime now, const GPtrArray *list)
{
    double utilization = 0, queued_prefill_us = 0;
    unsigned n = 0;
    for (guint i = 0; i < list->len; i++) {
        const WPReplica *s = g_ptr_array_index(list, i);
        if (!is_averaged(s, c, now))
            continue;
        utilization += wp_fleet_utilization(s, now);
        queued_prefill_us += wp_fleet_queued_prefill_us(s, now);
        n++;
    }
    c->updated_us = now.mono_us;
    c->utilization = n ? utilization / n : 0;
    c->queued_prefill_us = n ? queued_prefill_us / n : 0;
}

void wp_fleet_refresh_cohorts(WPTime now, const GPtrArray *list)
{
    for (guint i = 0; i < list->len; i++) {
        WPCohort *c = ((WPReplica *)g_ptr_array_index(list, i))->cohort;
        if (!c->updated_us || now.mono_us - c->updated_us > COHORT_INTERVAL_US)
            refresh_cohort(c, now, list);
    }
}
