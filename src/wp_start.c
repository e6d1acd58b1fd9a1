/* Requests that come while a box starts. */
#include "wp_start.h"

enum {
    STARTS_MS = 4000,   /* one that lasts longer is no start: it may last */
    HOLD_MOST_MS = 1500 /* a reading of the store by all boxes at once */
};

/* Of the caller's time: it has to come back with the rest if it is refused
   after all. */
#define HOLD_PART 0.25

uint32_t wp_start_hold_ms(const WPStart *s, WPTime now, uint32_t deadline_ms)
{
    int64_t ms = (now.mono_us - s->start_us) / WP_US_PER_MS;
    if (!s->start_us || s->store_away || ms > STARTS_MS)
        return 0;
    if (!deadline_ms)
        return HOLD_MOST_MS;
    return MIN(HOLD_MOST_MS, (uint32_t)(HOLD_PART * deadline_ms));
}
