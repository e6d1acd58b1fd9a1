/* Time since an event that all boxes follow. */
#include "wp_elapsed.h"

/* A year. A larger value is an error of its sender and is ignored. */
#define MAX_MS (366LL * 24 * 3600 * WP_MS_PER_S)

void wp_elapsed_merge(WPElapsed *e, WPTime now, int64_t ms)
{
    if (ms < 0 || ms > MAX_MS)
        return;
    int64_t from_us = now.mono_us - ms * WP_US_PER_MS;
    /* Zero is reserved for an event that has not happened. */
    from_us = from_us ? from_us : -1;
    if (!e->start_us || from_us < e->start_us)
        e->start_us = from_us;
}

int64_t wp_elapsed_ms(const WPElapsed *e, WPTime now)
{
    return e->start_us ? (now.mono_us - e->start_us) / WP_US_PER_MS : 0;
}
