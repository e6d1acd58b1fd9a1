/* The process's own clocks. */
#include "wp_steady.h"

#include <stdlib.h>

enum {
    STEP_MS = 250,  /* time services that only slew stay far below this */
    PAUSE_MS = 1000 /* looks come every 50 ms; a box with a part of a slow
                       core is late by some hundred */
};

/* The part of the time that passes by which steps are followed. */
#define FOLLOW_PART 0.1

static void follow(WPSteady *s, int64_t offset_us, int64_t passed_us)
{
    int64_t most_us = (int64_t)(FOLLOW_PART * (double)passed_us);
    s->offset_us += CLAMP(offset_us - s->offset_us, -most_us, most_us);
}

int64_t wp_steady_wall_ms(const WPSteady *s, WPTime now)
{
    if (!s->last.mono_us)
        return now.wall_ms;
    return (now.mono_us + s->offset_us) / WP_US_PER_MS;
}

WPSteadyLook wp_steady_look(WPSteady *s, WPTime now)
{
    WPSteadyLook look = { 0, 0 };
    const WPTime last = s->last;
    int64_t offset_us = now.wall_ms * WP_US_PER_MS - now.mono_us;
    s->last = now;
    if (!last.mono_us) {
        s->offset_us = offset_us;
        return look;
    }
    follow(s, offset_us, now.mono_us - last.mono_us);
    int64_t passed_ms = (now.mono_us - last.mono_us) / WP_US_PER_MS;
    int64_t step_ms = now.wall_ms - last.wall_ms - passed_ms;
    if (llabs(step_ms) >= STEP_MS)
        look.step_ms = step_ms;
    if (passed_ms >= PAUSE_MS)
        look.pause_ms = passed_ms;
    return look;
}
