/* Reads the clocks. */
#include "wp_clock.h"

WPTime wp_clock_now(int32_t skew_ms)
{
    return (WPTime){ g_get_monotonic_time(),
                     g_get_real_time() / WP_US_PER_MS + skew_ms };
}

uint32_t wp_clock_seed(void)
{
    return g_random_int();
}

void wp_clock_watch(WPLog *l, WPSteady *s, WPTime now)
{
    WPSteadyLook look = wp_steady_look(s, now);
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
