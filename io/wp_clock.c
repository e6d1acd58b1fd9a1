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
