/* Requests that come to a box which knows no routes yet. Answers the load of a
 * start of the whole system: every box is asked before it can serve, callers
 * that are refused come back but once or twice, and meet boxes that know as
 * little. A box whose store answers knows the routes within about a second;
 * what can wait that long for its answer is held, the rest is refused at once.
 */
#ifndef WP_START_H
#define WP_START_H

#include "wp_base.h"

typedef struct WPStart {
    int64_t start_us; /* of the process; 0: not told, nothing is held */
    bool store_away;  /* the store did not answer its last call */
} WPStart;

/* For how long a request is held, in milliseconds, whose caller waits for so
   long (0: not told); 0: it is refused. */
uint32_t wp_start_hold_ms(const WPStart *s, WPTime now, uint32_t deadline_ms);

#endif
