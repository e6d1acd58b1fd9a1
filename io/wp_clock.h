/* The clocks, read in one place and handed to everything that decides. */
#ifndef WP_CLOCK_H
#define WP_CLOCK_H

#include "wp_log.h"
#include "wp_clock_monitor.h"

/* `skew_ms` is added to wall time; only scenarios set it. */
WPTime wp_clock_now(int32_t skew_ms);

/* A seed that differs between processes, when settings give none. */
uint32_t wp_clock_seed(void);

/* Looks at the process's clocks and tells what disturbs them: steps of the time
   of day, and pauses. */
void wp_clock_watch(WPLog *l, WPClockMonitor *s, WPTime now);

#endif
