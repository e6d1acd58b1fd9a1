/* Exclusion of endpoints from requests: the one check before each attempt. */
#include "wp_fleet_int.h"

static bool was_tried(const WPEndpointQuery *q, const WPReplica *s)
{
    for (size_t i = 0; i < q->n_tried; i++)
        if (q->tried[i] == s)
            return true;
    return false;
}

static bool area_allowed(const GPtrArray *areas, const char *area)
{
    for (guint i = 0; areas && i < areas->len; i++)
        if (!g_strcmp0(g_ptr_array_index(areas, i), area))
            return true;
    return !areas || !areas->len;
}

bool wp_fleet_in_areas(const WPEndpointQuery *q, const WPReplica *s)
{
    return area_allowed(q->areas, s->area) &&
           area_allowed(q->caller_areas, s->area);
}

bool wp_fleet_all_outside_areas(WPFleet *f, const WPEndpointQuery *q)
{
    GPtrArray *list = wp_fleet_service_endpoints(f, q->service);
    unsigned registered = 0;
    for (guint i = 0; i < list->len; i++) {
        const WPReplica *s = g_ptr_array_index(list, i);
        if (!s->gone && wp_fleet_in_areas(q, s))
            return false;
        registered += !s->gone;
    }
    return registered > 0;
}

bool wp_fleet_matches(const WPEndpointQuery *q, const WPReplica *s)
{
    if (was_tried(q, s) || !wp_fleet_in_areas(q, s) ||
        wp_fleet_is_misdirected(s, q->named_model))
        return false;
    if (q->version)
        return !strcmp(s->version, q->version);
    return !q->allowed || q->allowed(q->allowed_arg, s->version);
}

WPExclusion wp_fleet_lasting_exclusion(const WPReplica *s)
{
    if (s->gone || s->unreadable)
        return WP_EXCLUDED_UNREGISTERED;
    if (s->zone_evacuated)
        return WP_EXCLUDED_ZONE;
    return s->reported.draining.source ? WP_EXCLUDED_DRAINING : WP_NOT_EXCLUDED;
}

static int64_t warm_at_us(const WPReplica *s)
{
    return MAX(s->reported.cold_until_us, s->restart_suspected_until_us);
}

bool wp_fleet_is_cold(const WPReplica *s, WPTime now)
{
    return s->cold->per_s > 0 && warm_at_us(s) > now.mono_us;
}

/* When a cold endpoint takes this box's next request; INT64_MAX: not before it
   is warm. */
static int64_t cold_next_send_us(WPFleet *f, WPReplica *s)
{
    const WPPaceRules rules = { s->cold->per_s, f->rules.cold_overshoot,
                                f->rules.cold_slack };
    WPPace *p = &s->cold_pacing;
    if (p->boxes_generation != f->boxes.generation)
        p->quota =
            wp_pace_quota(&f->boxes, &rules, s->incarnation_hash, s->zone);
    p->boxes_generation = f->boxes.generation;
    /* A process does not know what its predecessor has sent. Without this
       wait, cold endpoints get more requests than they can take from boxes
       that restart several times a second. */
    int64_t ready_us = f->start_us + (int64_t)WP_PACE_WINDOW_MS * WP_US_PER_MS;
    return MAX(wp_pace_next_send_us(p, p->quota), ready_us);
}

static bool is_cold_limited(WPFleet *f, WPTime now, WPReplica *s)
{
    return wp_fleet_is_cold(s, now) && cold_next_send_us(f, s) > now.mono_us;
}

/* Whether the endpoint's rate limit has no room for this request. */
static bool is_limited(WPFleet *f, WPTime now, const WPEndpointQuery *q,
                       const WPReplica *s)
{
    if (!s->reported.limit || wp_limit_rate(s->reported.limit, now) <= 0)
        return false;
    return wp_fleet_limit_next_send_us(f, now, s) > now.mono_us ||
           wp_fleet_limit_yields(f, now, q);
}

WPExclusion wp_fleet_exclusion(WPFleet *f, WPTime now, const WPEndpointQuery *q,
                               WPReplica *s)
{
    WPExclusion lasting = wp_fleet_lasting_exclusion(s);
    if (lasting)
        return lasting;
    if (wp_fleet_is_backing_off(s, now))
        return WP_EXCLUDED_BACKOFF;
    if (is_cold_limited(f, now, s))
        return WP_EXCLUDED_COLD;
    return is_limited(f, now, q, s) ? WP_EXCLUDED_LIMIT : WP_NOT_EXCLUDED;
}

/* When the exclusion ends, for one more request of this box. */
static int64_t exclusion_ends_us(WPFleet *f, WPTime now, WPReplica *s,
                                 WPExclusion exclusion)
{
    switch (exclusion) {
    case WP_EXCLUDED_BACKOFF:
        return s->reported.backoff_until_us;
    case WP_EXCLUDED_COLD:
        return MIN(warm_at_us(s), cold_next_send_us(f, s));
    case WP_EXCLUDED_LIMIT:
        return wp_fleet_limit_next_send_us(f, now, s);
    default:
        return INT64_MAX;
    }
}

bool wp_fleet_find_excluded(WPFleet *f, WPTime now, const WPEndpointQuery *q,
                            WPExclusion exclusion, WPExcludedEndpoints *out)
{
    GPtrArray *list = wp_fleet_service_endpoints(f, q->service);
    *out = (WPExcludedEndpoints){ .next_send_us = INT64_MAX };
    for (guint i = 0; i < list->len; i++) {
        WPReplica *s = g_ptr_array_index(list, i);
        if (!wp_fleet_matches(q, s) ||
            wp_fleet_exclusion(f, now, q, s) != exclusion)
            continue;
        int64_t next_us = exclusion_ends_us(f, now, s, exclusion);
        if (exclusion == WP_EXCLUDED_LIMIT)
            out->own_per_s += wp_fleet_limit_own_rate(f, now, s);
        if (out->endpoint && next_us >= out->next_send_us)
            continue;
        out->endpoint = s;
        out->next_send_us = next_us;
    }
    return out->endpoint != NULL;
}
