/* Endpoints that name the requests a second that they take from all boxes
 * together. */
#include "wp_fleet_int.h"

/* Between two reports of one endpoint's bad fields. */
#define BAD_AGAIN_US (10000 * WP_US_PER_MS)

double wp_fleet_limit_of(const WPReplica *s)
{
    return s->limit ? s->limit->per_s : 0;
}

static WPLimit *limit_of(WPReplica *s)
{
    if (!s->limit)
        s->limit = g_new0(WPLimit, 1);
    return s->limit;
}

static bool is_to_be_reported(WPLimit *l, WPTime now)
{
    if (l->bad_us && now.mono_us - l->bad_us < BAD_AGAIN_US)
        return false;
    l->bad_us = now.mono_us;
    return true;
}

WPLimitChange wp_fleet_told_limit(WPReplica *s, WPTime now, WPLimitField field,
                                  bool genuine)
{
    bool named = field.said == WP_LIMIT_NAMED;
    if (!named && (!genuine || (!s->limit && field.said == WP_LIMIT_NONE)))
        return WP_LIMIT_SAME;
    WPLimit *l = limit_of(s);
    double was = l->per_s;
    l->per_s = named ? field.per_s : 0;
    l->heard_us = now.mono_us;
    if (was != l->per_s)
        return WP_LIMIT_CHANGED;
    bool odd = field.said == WP_LIMIT_BAD && is_to_be_reported(l, now);
    return odd ? WP_LIMIT_ODD : WP_LIMIT_SAME;
}
