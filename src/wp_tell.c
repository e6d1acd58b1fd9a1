/* What goes to boxes that start. */
#include "wp_tell.h"

/* Of the slowest links, 10 Mbit/s, less than a second and most of it. */
#define BURST_BYTES (400.0 * 1024)
#define BYTES_PER_S (1024.0 * 1024)

bool wp_tell_take(WPTell *t, WPTime now, size_t bytes)
{
    double carried =
        (double)(now.mono_us - t->at_us) / WP_US_PER_S * BYTES_PER_S;
    t->spent = MAX(0, t->spent - carried);
    t->at_us = now.mono_us;
    if (t->spent > 0 && t->spent + (double)bytes > BURST_BYTES)
        return false;
    t->spent += (double)bytes;
    return true;
}
