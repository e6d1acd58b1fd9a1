/* Reads the clocks. */
#include "wp_clock.h"

#include <time.h>

enum { NS_PER_US = 1000 };

/* CLOCK_BOOTTIME also counts while the machine is suspended. CLOCK_MONOTONIC
   does not: with it, a request occupied its endpoint longer by the time of the
   suspension, and a suspension of 5 s was taken for a step of the wall clock,
   which is slewed over up to 45 s. */
static int64_t since_boot_us(void)
{
    struct timespec t;
    if (clock_gettime(CLOCK_BOOTTIME, &t))
        return g_get_monotonic_time();
    return (int64_t)t.tv_sec * WP_US_PER_S + t.tv_nsec / NS_PER_US;
}

WPTime wp_clock_now(int32_t skew_ms)
{
    return (WPTime){ since_boot_us(),
                     g_get_real_time() / WP_US_PER_MS + skew_ms };
}

uint32_t wp_clock_seed(void)
{
    return g_random_int();
}

void wp_clock_check(WPLog *l, WPClockMonitor *m, WPTime now)
{
    WPClockSample sample = wp_clock_monitor_sample(m, now);
    g_autofree char *step = NULL, *pause = NULL;
    if (sample.step_ms) {
        step = g_strdup_printf("%ld", (long)sample.step_ms);
        wp_log(l, WP_WARN, "clock_stepped", "by_ms", step, NULL);
    }
    if (sample.pause_ms) {
        pause = g_strdup_printf("%ld", (long)sample.pause_ms);
        wp_log(l, WP_WARN, "paused", "ms", pause, NULL);
    }
}
