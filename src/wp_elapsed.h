/* How long ago something began that several boxes follow, without a clock that
 * they share. Each counts on by its own monotonic clock from the most that it
 * was told. What is told is never more than what has passed, as it takes time
 * to arrive, so the highest is the nearest to the truth. A time of day would
 * not do: it is stepped, and differs from box to box; stages that followed it
 * ended moves to bad versions 3 s after an order of 24 s. */
#ifndef WP_ELAPSED_H
#define WP_ELAPSED_H

#include "wp_base.h"

typedef struct WPElapsed {
    int64_t from_us; /* monotonic; 0: it has not begun, as far as is known */
} WPElapsed;

/* It began at least so long ago. */
void wp_elapsed_hear(WPElapsed *e, WPTime now, int64_t ms);

static inline bool wp_elapsed_begun(const WPElapsed *e)
{
    return e->from_us != 0;
}

/* Milliseconds; 0 before it has begun. */
int64_t wp_elapsed_ms(const WPElapsed *e, WPTime now);

#endif
