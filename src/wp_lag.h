/* How long a box has lacked revisions of the store that others know. Where
 * changes come all the time there is always one that has not arrived yet; what
 * counts is how long the oldest of them has been missing. */
#ifndef WP_LAG_H
#define WP_LAG_H

#include "wp_base.h"

enum { WP_LAG_MOST = 32 /* revisions noted; later ones count with the last */ };

typedef struct WPLagMark {
    uint64_t revision;
    int64_t heard_us;
} WPLagMark;

typedef struct WPLag {
    WPLagMark marks[WP_LAG_MOST]; /* by rising revision */
    unsigned n;
} WPLag;

/* Another box knows all up to `revision`. */
void wp_lag_hear(WPLag *l, WPTime now, uint64_t revision);

/* All up to `revision` is known here. */
void wp_lag_known(WPLag *l, uint64_t revision);

/* The highest revision that is missing here; 0: none is. */
uint64_t wp_lag_highest(const WPLag *l);

/* For how many milliseconds the oldest has been missing, 1 at least; 0: none
   is. */
int64_t wp_lag_ms(const WPLag *l, WPTime now);

/* How long a box that starts waits for the store's answer before it asks the
   others for all entries, of which there are so many. */
uint32_t wp_lag_start_ms(uint32_t entries);

#endif
