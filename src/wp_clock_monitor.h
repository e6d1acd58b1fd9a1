/* Monitors the clocks of this process: detects steps of the wall clock, by
 * comparing it with the monotonic clock, and pauses of the process, and derives
 * a wall-clock time without steps. */
#ifndef WP_CLOCK_MONITOR_H
#define WP_CLOCK_MONITOR_H

#include "wp_base.h"

typedef struct WPClockMonitor {
    WPTime last;       /* of the last sample; zero: there was none */
    int64_t offset_us; /* the wall-clock time without steps, less the monotonic
                          time */
} WPClockMonitor;

/* Steps and pauses of the clocks since the sample before. */
typedef struct WPClockSample {
    int64_t step_ms;  /* by how much the wall clock was set forward or, if
                         negative, back; 0: by less than a quarter second */
    int64_t pause_ms; /* time without a sample; 0: less than a second */
} WPClockSample;

/* Takes a sample of the clocks; to be called several times a second. */
WPClockSample wp_clock_monitor_sample(WPClockMonitor *s, WPTime now);

/* Wall-clock time without steps, in Unix milliseconds: a step is slewed, at a
   tenth of the time that passes. With it, a clock that is 20 s ahead for 5 s
   gives a time that is 0.5 s ahead at most. For times that boxes compare with
   each other, as for idempotency keys and for the dwell time of a roll-out's
   states. Before the first sample the wall-clock time itself. */
int64_t wp_clock_monitor_wall_ms(const WPClockMonitor *s, WPTime now);

#endif
