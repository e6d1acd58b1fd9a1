/* The clocks, read in one place and handed to everything that decides. */
#ifndef WP_CLOCK_H
#define WP_CLOCK_H

#include "wp_base.h"

/* `skew_ms` is added to wall time; only scenarios set it. */
WPTime wp_clock_now(int32_t skew_ms);

/* A seed that differs between processes, when settings give none. */
uint32_t wp_clock_seed(void);

#endif
