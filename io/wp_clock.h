/* Reads the clocks of the machine. Code that makes decisions takes the time as
 * an argument, so this is the only place that reads them. */
#ifndef WP_CLOCK_H
#define WP_CLOCK_H

#include "wp_log.h"
#include "wp_clock_monitor.h"

/* The present time. Its monotonic part also counts while the machine is
   suspended. `skew_ms` is added to the wall-clock time: 0 except in
   scenarios. */
WPTime wp_clock_now(int32_t skew_ms);

/* Returns a random seed for this process, used when the settings give none. */
uint32_t wp_clock_seed(void);

/* Takes a sample for the clock monitor and logs what it detects: steps of the
   wall clock and pauses of the process. */
void wp_clock_check(WPLog *l, WPClockMonitor *m, WPTime now);

#endif
