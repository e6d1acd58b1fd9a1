/* Limit on the store entries sent to boxes that start. */
#include "wp_full_sync_limit.h"

/* For the slowest links, of 10 Mbit/s: the burst takes less than a second, and
   the rate is most of the bandwidth. */
#define BURST_BYTES (400.0 * 1024)
#define BYTES_PER_S (1024.0 * 1024)

bool wp_full_sync_limit_take(WPFullSyncLimit *t, WPTime now, size_t bytes)
{
    double carried =
        (double)(now.mono_us - t->updated_us) / WP_US_PER_S * BYTES_PER_S;
    t->backlog_bytes = MAX(0, t->backlog_bytes - carried);
    t->updated_us = now.mono_us;
    if (t->backlog_bytes > 0 && t->backlog_bytes + (double)bytes > BURST_BYTES)
        return false;
    t->backlog_bytes += (double)bytes;
    return true;
}
