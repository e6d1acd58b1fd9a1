/* What endpoints say of the requests that they take, and keeping to it. */
#include "wp_limit.h"
#include "wp_recent.h"

#include <math.h>

enum {
    WINDOW_LEAST_S = 4, /* as the platform counts */
    BACK_STEP_MS = 500, /* after its end a limit doubles each time, so that
                           the boxes do not all come back at once */
    BACK_STEPS = 6      /* then the endpoint is as any other */
};

/* An endpoint is asked at least so often whether it still names its limit: one
   that is sent nothing cannot say that it is well again. The platform allows
   five requests within its window even at a limit of nothing. */
#define RATE_LEAST 0.1

/* A box's requests keep this part of an even distance. */
#define GAP_PART 0.5

WPLimitField wp_limit_read(WPStr text, unsigned times)
{
    WPLimitField f = { WP_LIMIT_NONE, 0 };
    WPStr s = wp_str_trim(text);
    if (!times)
        return f;
    f.said = WP_LIMIT_BAD;
    double per_s;
    if (times == 1 && wp_str_decimal(s, &per_s) && per_s > 0)
        f = (WPLimitField){ WP_LIMIT_NAMED, per_s };
    return f;
}

void wp_limit_set(WPLimit *l, WPTime now, double per_s)
{
    if (per_s <= 0 && l->per_s > 0)
        l->had_per_s = l->per_s;
    l->per_s = per_s;
    l->changed_us = now.mono_us;
    l->quota_us = 0;
}

double wp_limit_rate(const WPLimit *l, WPTime now)
{
    if (l->per_s > 0)
        return MAX(l->per_s, RATE_LEAST);
    if (l->had_per_s <= 0)
        return 0;
    int64_t age_ms = (now.mono_us - l->changed_us) / WP_US_PER_MS;
    int64_t steps = MAX(age_ms, 0) / BACK_STEP_MS + 1;
    if (steps > BACK_STEPS)
        return 0;
    return MAX(l->had_per_s, RATE_LEAST) * (double)(1 << steps);
}

/* Whole requests in a time that is not much longer than the platform's window:
   0.4 a second are two in 5 s, and not one in 4 s. */
WPLimitWindow wp_limit_window(const WPLimit *l, WPTime now)
{
    double rate = wp_limit_rate(l, now);
    if (rate <= 0)
        return (WPLimitWindow){ 0, 0 };
    double part = CLAMP(ceil(rate * WINDOW_LEAST_S), 1, WP_LIMIT_PART_MOST);
    return (WPLimitWindow){ (unsigned)part,
                            (int64_t)(part / rate * WP_US_PER_S) };
}

static void log_add(WPLimitLog *l, WPTime now)
{
    wp_recent_add(l->at_us, WP_LIMIT_PART_MOST, &l->next, now);
}

/* When the `n`th latest is so old. */
static int64_t log_old_us(const WPLimitLog *l, unsigned n, int64_t age_us)
{
    return wp_recent_old_us(l->at_us, WP_LIMIT_PART_MOST, l->next, n, age_us);
}

void wp_limit_note_own(WPLimit *l, WPTime now)
{
    l->sent++;
    log_add(&l->own, now);
    log_add(&l->all, now);
}

void wp_limit_note_other(WPLimit *l, WPTime now)
{
    log_add(&l->all, now);
}

int64_t wp_limit_free_us(const WPLimit *l, WPTime now, const WPLimitWindow *w,
                         unsigned quota)
{
    if (!quota)
        return INT64_MAX;
    int64_t even_us = w->us / quota;
    if (now.mono_us - l->born_us < w->us)
        return MAX(l->born_us + even_us, log_old_us(&l->own, 1, even_us));
    int64_t gap_us = (int64_t)(GAP_PART * (double)even_us);
    int64_t own_us = log_old_us(&l->own, MIN(quota, w->part), w->us);
    int64_t all_us = log_old_us(&l->all, w->part, w->us);
    return MAX(MAX(own_us, all_us), log_old_us(&l->own, 1, gap_us));
}
