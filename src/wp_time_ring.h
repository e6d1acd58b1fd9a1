/* A ring of the times of the latest events, in monotonic microseconds, in an
 * array that its owner provides; 0: no event yet. */
#ifndef WP_TIME_RING_H
#define WP_TIME_RING_H

#include "wp_base.h"

/* Replaces the oldest time, at index `*oldest`, by the present. */
static inline void wp_time_ring_add(int64_t *ring, unsigned size,
                                    unsigned *oldest, WPTime now)
{
    ring[*oldest] = now.mono_us;
    *oldest = (*oldest + 1) % size;
}

/* When the `n`th latest event is `age_us` old, `n` from 1 to `size`; 0: there
   were fewer events. */
static inline int64_t wp_time_ring_expiry_us(const int64_t *ring, unsigned size,
                                             unsigned oldest, unsigned n,
                                             int64_t age_us)
{
    int64_t at_us = ring[(oldest + size - n) % size];
    return at_us ? at_us + age_us : 0;
}

#endif
