/* Requests that arrive at a box before it has a routing table. When the whole
 * system starts, every box receives requests before it can serve them. Callers
 * that are refused retry only once or twice, and reach boxes that are no
 * further. A box whose store answers has its routing table within about a
 * second, so a request whose caller can wait that long is held, and the others
 * are refused at once. */
#ifndef WP_STARTUP_H
#define WP_STARTUP_H

#include "wp_base.h"

typedef struct WPStartup {
    int64_t start_us; /* start of the process; 0: unknown, no request is held */
    bool store_unavailable; /* the last call to the store was not answered */
} WPStartup;

/* Returns how many milliseconds to hold a request whose caller waits for
   `deadline_ms` (0: unknown); 0: refuse it. */
uint32_t wp_startup_hold_ms(const WPStartup *s, WPTime now,
                            uint32_t deadline_ms);

#endif
