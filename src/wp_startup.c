/* Requests that arrive while a box starts. */
#include "wp_startup.h"

enum {
    STARTUP_MAX_MS = 4000, /* a box that has no routing table after this may
                              stay without one for long */
    HOLD_MAX_MS = 1500 /* time that all boxes need to read the store at once */
};

/* Fraction of the caller's deadline; the rest is left for a retry if the
   request is refused after all. */
#define HOLD_FRACTION 0.25

uint32_t wp_startup_hold_ms(const WPStartup *s, WPTime now,
                            uint32_t deadline_ms)
{
    int64_t ms = (now.mono_us - s->start_us) / WP_US_PER_MS;
    if (!s->start_us || s->store_unavailable || ms > STARTUP_MAX_MS)
        return 0;
    if (!deadline_ms)
        return HOLD_MAX_MS;
    return MIN(HOLD_MAX_MS, (uint32_t)(HOLD_FRACTION * deadline_ms));
}
