/* Engines of one service for tests of the choice among them. */
#ifndef ENGINES_FAKE_H
#define ENGINES_FAKE_H

#include "wp_fleet.h"

/* Registers engines "i-00" to "i-(n - 1)" of version v1 with a fleet, in the
   `n_zones` zones "z1", "z2" and so on in turn. */
static inline void fake_put_engines(WPFleet *f, WPTime now, unsigned n,
                                    unsigned n_zones, unsigned slots)
{
    for (unsigned e = 0; e < n; e++) {
        g_autofree char *id = g_strdup_printf("i-%02u", e);
        g_autofree char *zone = g_strdup_printf("z%u", e % n_zones + 1);
        const WPRegistryEntry l = { .id = id,
                                    .service = "llm",
                                    .addr = "127.0.0.1:1",
                                    .zone = zone,
                                    .version = "v1",
                                    .slots = slots };
        wp_fleet_put(f, now, &l);
    }
}

#endif
