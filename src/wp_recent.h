/* When the latest of some events were: a ring of times in microseconds, which
 * its owner keeps in an array of its own; 0: there was none yet. */
#ifndef WP_RECENT_H
#define WP_RECENT_H

#include "wp_base.h"

/* One more; `next` is the place of the oldest. */
static inline void wp_recent_add(int64_t *ring, unsigned size, unsigned *next,
                                 WPTime now)
{
    ring[*next] = now.mono_us;
    *next = (*next + 1) % size;
}

/* When the `n`th latest is so old: `n` from 1 to the size; 0: there were not so
   many. */
static inline int64_t wp_recent_old_us(const int64_t *ring, unsigned size,
                                       unsigned next, unsigned n,
                                       int64_t age_us)
{
    int64_t at_us = ring[(next + size - n) % size];
    return at_us ? at_us + age_us : 0;
}

#endif
