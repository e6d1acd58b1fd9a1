/* How long ago something began. */
#include "wp_elapsed.h"

/* A year; more is a mistake, and is passed over. */
#define MOST_MS (366LL * 24 * 3600 * WP_MS_PER_S)

void wp_elapsed_hear(WPElapsed *e, WPTime now, int64_t ms)
{
    if (ms < 0 || ms > MOST_MS)
        return;
    int64_t from_us = now.mono_us - ms * WP_US_PER_MS;
    /* Zero is kept for what has not begun. */
    from_us = from_us ? from_us : -1;
    if (!e->from_us || from_us < e->from_us)
        e->from_us = from_us;
}

int64_t wp_elapsed_ms(const WPElapsed *e, WPTime now)
{
    return e->from_us ? (now.mono_us - e->from_us) / WP_US_PER_MS : 0;
}
