/* Reads the clocks. */
#include "wp_clock.h"

#include <time.h>

enum { NS_PER_US = 1000 };

/* The clock that also counts while the machine is suspended. With the steady
   one, which stands still then, a request held its endpoint for the time of the
   suspension longer, and a suspension of 5 s looked like a step of the time of
   day, which is followed within 45 s. */
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

void wp_clock_watch(WPLog *l, WPClockMonitor *s, WPTime now)
{
    WPClockSample look = wp_clock_monitor_sample(s, now);
    g_autofree char *step = NULL, *pause = NULL;
    if (look.step_ms) {
        step = g_strdup_printf("%ld", (long)look.step_ms);
        wp_log(l, WP_WARN, "clock_stepped", "by_ms", step, NULL);
    }
    if (look.pause_ms) {
        pause = g_strdup_printf("%ld", (long)look.pause_ms);
        wp_log(l, WP_WARN, "paused", "ms", pause, NULL);
    }
}
