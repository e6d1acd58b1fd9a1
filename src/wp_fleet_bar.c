/* What bars endpoints from requests: the one place that is asked before each
 * leg. */
#include "wp_fleet_int.h"

static bool was_tried(const WPWant *w, const WPReplica *s)
{
    for (size_t i = 0; i < w->n_tried; i++)
        if (w->tried[i] == s)
            return true;
    return false;
}

static bool allows(const GPtrArray *areas, const char *area)
{
    for (guint i = 0; areas && i < areas->len; i++)
        if (!g_strcmp0(g_ptr_array_index(areas, i), area))
            return true;
    return !areas || !areas->len;
}

bool wp_fleet_in_areas(const WPWant *w, const WPReplica *s)
{
    return allows(w->areas, s->area) && allows(w->caller_areas, s->area);
}

bool wp_fleet_is_elsewhere(WPFleet *f, const WPWant *w)
{
    GPtrArray *list = wp_fleet_of_service(f, w->service);
    unsigned listed = 0;
    for (guint i = 0; i < list->len; i++) {
        const WPReplica *s = g_ptr_array_index(list, i);
        if (!s->gone && wp_fleet_in_areas(w, s))
            return false;
        listed += !s->gone;
    }
    return listed > 0;
}

bool wp_fleet_suits(const WPWant *w, const WPReplica *s)
{
    if (was_tried(w, s) || !wp_fleet_in_areas(w, s))
        return false;
    if (w->version)
        return !strcmp(s->version, w->version);
    return !w->allowed || w->allowed(w->allowed_arg, s->version);
}

WPBar wp_fleet_lasting_bar(const WPReplica *s)
{
    if (s->gone || s->unreachable || s->unreadable)
        return WP_BAR_UNLISTED;
    if (s->zone_out)
        return WP_BAR_ZONE_OUT;
    return s->said.leaving.from ? WP_BAR_LEAVING : WP_BAR_NONE;
}

static int64_t warm_us(const WPReplica *s)
{
    return MAX(s->said.cold_until_us, s->doubt_until_us);
}

bool wp_fleet_is_cold(const WPReplica *s, WPTime now)
{
    return s->cold->per_s > 0 && warm_us(s) > now.mono_us;
}

/* When a cold endpoint takes this box's next request; INT64_MAX: not before it
   is warm. */
static int64_t pace_free_us(WPFleet *f, WPReplica *s)
{
    const WPPaceRules rules = { s->cold->per_s, f->rules.cold_overshoot,
                                f->rules.cold_slack };
    WPPace *p = &s->pace;
    if (p->change != f->boxes.change)
        p->quota = wp_pace_quota(&f->boxes, &rules, s->life_hash, s->zone);
    p->change = f->boxes.change;
    /* A process does not know what the one before it has sent: without this,
       cold endpoints get more than they bear from boxes that start again
       several times a second. */
    int64_t known_us = f->start_us + (int64_t)WP_PACE_WINDOW_MS * WP_US_PER_MS;
    return MAX(wp_pace_free_us(p, p->quota), known_us);
}

static bool is_spared(WPFleet *f, WPTime now, WPReplica *s)
{
    return wp_fleet_is_cold(s, now) && pace_free_us(f, s) > now.mono_us;
}

/* Whether its limit has no room for this request. */
static bool is_limited(WPFleet *f, WPTime now, const WPWant *w,
                       const WPReplica *s)
{
    if (!s->said.limit || wp_limit_rate(s->said.limit, now) <= 0)
        return false;
    return wp_fleet_limit_free_us(f, now, s) > now.mono_us ||
           wp_fleet_limit_yields(f, now, w);
}

WPBar wp_fleet_bar(WPFleet *f, WPTime now, const WPWant *w, WPReplica *s)
{
    WPBar lasting = wp_fleet_lasting_bar(s);
    if (lasting)
        return lasting;
    if (wp_fleet_rests(s, now))
        return WP_BAR_REST;
    if (is_spared(f, now, s))
        return WP_BAR_COLD;
    return is_limited(f, now, w, s) ? WP_BAR_LIMIT : WP_BAR_NONE;
}

/* When the bar has passed, for one more request of this box. */
static int64_t passes_us(WPFleet *f, WPTime now, WPReplica *s, WPBar bar)
{
    switch (bar) {
    case WP_BAR_REST:
        return s->said.rest_until_us;
    case WP_BAR_COLD:
        return MIN(warm_us(s), pace_free_us(f, s));
    case WP_BAR_LIMIT:
        return wp_fleet_limit_free_us(f, now, s);
    default:
        return INT64_MAX;
    }
}

bool wp_fleet_barred(WPFleet *f, WPTime now, const WPWant *w, WPBar bar,
                     WPBarred *out)
{
    GPtrArray *list = wp_fleet_of_service(f, w->service);
    *out = (WPBarred){ .free_us = INT64_MAX };
    for (guint i = 0; i < list->len; i++) {
        WPReplica *s = g_ptr_array_index(list, i);
        if (!wp_fleet_suits(w, s) || wp_fleet_bar(f, now, w, s) != bar)
            continue;
        int64_t free_us = passes_us(f, now, s, bar);
        if (bar == WP_BAR_LIMIT)
            out->own_per_s += wp_fleet_limit_own_rate(f, now, s);
        if (out->endpoint && free_us >= out->free_us)
            continue;
        out->endpoint = s;
        out->free_us = free_us;
    }
    return out->endpoint != NULL;
}
