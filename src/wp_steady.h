/* Whether a process's own clocks run as they should: the time of day against
 * the monotonic clock, and looks that come late. */
#ifndef WP_STEADY_H
#define WP_STEADY_H

#include "wp_base.h"

typedef struct WPSteady {
    WPTime last;       /* of the last look; zero: none yet */
    int64_t offset_us; /* the time of day without steps, less the monotonic */
} WPSteady;

/* What the time since the last look was like. */
typedef struct WPSteadyLook {
    int64_t step_ms;  /* by which the time of day was set on, or (below zero)
                         back, meanwhile; 0: by less than a quarter second */
    int64_t pause_ms; /* that passed without a look; 0: less than a second */
} WPSteadyLook;

/* To be called several times a second. */
WPSteadyLook wp_steady_look(WPSteady *s, WPTime now);

/* Unix milliseconds without steps: a step of the time of day is followed at a
   tenth of the time that passes. Where boxes compare times of day, as for keys
   of requests that may run once and for the dwell of a roll-out's states, a
   clock that is 20 s ahead for 5 s is then 0.5 s ahead at most. The raw time
   before the first look. */
int64_t wp_steady_wall_ms(const WPSteady *s, WPTime now);

#endif
