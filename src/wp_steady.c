/* The process's own clocks. */
#include "wp_steady.h"

#include <stdlib.h>

enum {
    STEP_MS = 250,  /* time services that only slew stay far below this */
    PAUSE_MS = 1000 /* looks come every 50 ms; a box with a fifth of a slow core
                       was seen to be late by 300 */
};

WPSteadyLook wp_steady_look(WPSteady *s, WPTime now)
{
    WPSteadyLook look = { 0, 0 };
    const WPTime last = s->last;
    s->last = now;
    if (!last.mono_us)
        return look;
    int64_t passed_ms = (now.mono_us - last.mono_us) / WP_US_PER_MS;
    int64_t step_ms = now.wall_ms - last.wall_ms - passed_ms;
    if (llabs(step_ms) >= STEP_MS)
        look.step_ms = step_ms;
    if (passed_ms >= PAUSE_MS)
        look.pause_ms = passed_ms;
    return look;
}
