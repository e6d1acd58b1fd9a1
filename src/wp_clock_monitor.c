/* Monitors the clocks of this process. */
#include "wp_clock_monitor.h"

#include <stdlib.h>

enum {
    STEP_MS = 250,  /* a time service that only slews the clock stays far below
                       this between two samples */
    PAUSE_MS = 1000 /* samples come every 50 ms; a box that has a part of a slow
                       core takes them some hundred milliseconds late */
};

/* Rate at which steps are slewed, as a part of the time that passes. */
#define SLEW_RATE 0.1

/* Moves the offset towards `offset_us`, by as much as `passed_us` allows. */
static void slew(WPClockMonitor *s, int64_t offset_us, int64_t passed_us)
{
    int64_t max_us = (int64_t)(SLEW_RATE * (double)passed_us);
    s->offset_us += CLAMP(offset_us - s->offset_us, -max_us, max_us);
}

int64_t wp_clock_monitor_wall_ms(const WPClockMonitor *s, WPTime now)
{
    if (!s->last.mono_us)
        return now.wall_ms;
    return (now.mono_us + s->offset_us) / WP_US_PER_MS;
}

WPClockSample wp_clock_monitor_sample(WPClockMonitor *s, WPTime now)
{
    WPClockSample sample = { 0, 0 };
    const WPTime last = s->last;
    int64_t offset_us = now.wall_ms * WP_US_PER_MS - now.mono_us;
    s->last = now;
    if (!last.mono_us) {
        s->offset_us = offset_us;
        return sample;
    }
    slew(s, offset_us, now.mono_us - last.mono_us);
    int64_t passed_ms = (now.mono_us - last.mono_us) / WP_US_PER_MS;
    int64_t step_ms = now.wall_ms - last.wall_ms - passed_ms;
    if (llabs(step_ms) >= STEP_MS)
        sample.step_ms = step_ms;
    if (passed_ms >= PAUSE_MS)
        sample.pause_ms = passed_ms;
    return sample;
}
