/* Rate limits that endpoints set, and keeping to them. */
#include "wp_limit.h"
#include "wp_time_ring.h"

#include <math.h>

enum {
    WINDOW_MIN_S = 4, /* the window in which the platform counts */
    /* When a limit has ended, the rate doubles with each of these steps, so
       that the boxes do not all return at once. */
    RECOVERY_STEP_MS = 500,
    RECOVERY_STEPS = 6 /* then the endpoint is unlimited */
};

/* Least rate at which an endpoint is asked whether it still sets its limit: one
   that is sent nothing cannot report that it has recovered. The platform allows
   five requests within its window even at a limit of 0. */
#define RATE_MIN 0.1

/* Least distance between a box's requests, as a part of even spacing. */
#define MIN_GAP_SHARE 0.5

WPLimitField wp_limit_parse(WPStr text, unsigned times)
{
    WPLimitField f = { WP_LIMIT_FIELD_NONE, 0 };
    WPStr s = wp_str_trim(text);
    if (!times)
        return f;
    f.status = WP_LIMIT_FIELD_INVALID;
    double per_s;
    if (times == 1 && wp_str_decimal(s, &per_s) && per_s > 0)
        f = (WPLimitField){ WP_LIMIT_FIELD_PRESENT, per_s };
    return f;
}

void wp_limit_set(WPLimit *l, WPTime now, double per_s)
{
    if (per_s <= 0 && l->per_s > 0)
        l->previous_per_s = l->per_s;
    l->per_s = per_s;
    l->changed_us = now.mono_us;
    l->quota_computed_us = 0;
}

double wp_limit_rate(const WPLimit *l, WPTime now)
{
    if (l->per_s > 0)
        return MAX(l->per_s, RATE_MIN);
    if (l->previous_per_s <= 0)
        return 0;
    int64_t age_ms = (now.mono_us - l->changed_us) / WP_US_PER_MS;
    int64_t steps = MAX(age_ms, 0) / RECOVERY_STEP_MS + 1;
    if (steps > RECOVERY_STEPS)
        return 0;
    return MAX(l->previous_per_s, RATE_MIN) * (double)(1 << steps);
}

/* A window holds a whole number of requests and is not much longer than the
   platform's: 0.4 requests per second are two in 5 s, and not one in 4 s. */
WPLimitWindow wp_limit_window(const WPLimit *l, WPTime now)
{
    double rate = wp_limit_rate(l, now);
    if (rate <= 0)
        return (WPLimitWindow){ 0, 0 };
    double requests = CLAMP(ceil(rate * WINDOW_MIN_S), 1, WP_LIMIT_WINDOW_MAX);
    return (WPLimitWindow){ (unsigned)requests,
                            (int64_t)(requests / rate * WP_US_PER_S) };
}

static void record_send(WPLimitSendLog *l, WPTime now)
{
    wp_time_ring_add(l->at_us, WP_LIMIT_WINDOW_MAX, &l->oldest, now);
}

/* When the `n`th latest request is `age_us` old; 0: fewer were sent. */
static int64_t nth_send_expiry_us(const WPLimitSendLog *l, unsigned n,
                                  int64_t age_us)
{
    return wp_time_ring_expiry_us(l->at_us, WP_LIMIT_WINDOW_MAX, l->oldest, n,
                                  age_us);
}

void wp_limit_record_own_send(WPLimit *l, WPTime now)
{
    l->own_send_count++;
    record_send(&l->own_sends, now);
    record_send(&l->all_sends, now);
}

void wp_limit_record_remote_send(WPLimit *l, WPTime now)
{
    record_send(&l->all_sends, now);
}

int64_t wp_limit_next_send_us(const WPLimit *l, WPTime now,
                              const WPLimitWindow *w, unsigned quota)
{
    if (!quota)
        return INT64_MAX;
    int64_t even_us = w->length_us / quota;
    if (now.mono_us - l->first_known_us < w->length_us)
        return MAX(l->first_known_us + even_us,
                   nth_send_expiry_us(&l->own_sends, 1, even_us));
    int64_t gap_us = (int64_t)(MIN_GAP_SHARE * (double)even_us);
    int64_t own_us = nth_send_expiry_us(&l->own_sends, MIN(quota, w->requests),
                                        w->length_us);
    int64_t all_us =
        nth_send_expiry_us(&l->all_sends, w->requests, w->length_us);
    return MAX(MAX(own_us, all_us),
               nth_send_expiry_us(&l->own_sends, 1, gap_us));
}
