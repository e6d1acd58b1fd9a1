/* Time since an event that all boxes follow, measured without a shared clock.
 *
 * Each box counts on with its own monotonic clock, starting from the largest
 * elapsed time that it has received from another box or from the store. A
 * received value is never larger than the time that has really passed, because
 * sending it takes time; so the largest value is the most accurate one.
 * Wall-clock time cannot be used: it is stepped, and it differs between boxes.
 * Shift stages that followed the wall clock completed shifts to bad versions
 * 3 s after an order with a duration of 24 s. */
#ifndef WP_ELAPSED_H
#define WP_ELAPSED_H

#include "wp_base.h"

typedef struct WPElapsed {
    int64_t start_us; /* monotonic time of the event; 0: the event is not known
                        to have happened */
} WPElapsed;

/* Takes a lower bound: at `now`, the event is at least `ms` milliseconds ago.
   The earliest time of the event that any call gave is kept. Values below 0 or
   above a year are ignored. */
void wp_elapsed_merge(WPElapsed *e, WPTime now, int64_t ms);

/* Whether the event is known to have happened. */
static inline bool wp_elapsed_started(const WPElapsed *e)
{
    return e->start_us != 0;
}

/* Milliseconds from the event to `now`; 0 if the event is not known to have
   happened. */
int64_t wp_elapsed_ms(const WPElapsed *e, WPTime now);

#endif
