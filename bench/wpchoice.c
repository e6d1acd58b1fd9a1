/* Measures how long the choice of an endpoint takes among 160 engines, with
 * 1,000 cached prompt prefixes tracked for each. Prints the mean in
 * microseconds. */
#include "wp_fleet.h"

#include <stdio.h>

enum { ENGINES = 160, PREFIXES = 1000, CHOICES = 20000 };

/* A prompt of three parts: an application's (one of 7), a subject's and the
   user's own. */
static WPPrompt prompt_of(unsigned subject, unsigned user)
{
    WPPrompt p = { .tokens = 12000 };
    uint32_t a = subject % 7, b = subject, c = user;
    wp_prompt_add(&p, wp_strn((const char *)&a, sizeof(a)), 2500);
    wp_prompt_add(&p, wp_strn((const char *)&b, sizeof(b)), 4000);
    wp_prompt_add(&p, wp_strn((const char *)&c, sizeof(c)), 5500);
    return p;
}

/* Adds the engines and runs requests at each, so that their caches of prompt
   prefixes are full. */
static void fill_prefix_caches(WPFleet *f, WPTime now,
                               const WPEndpointQuery *query)
{
    for (unsigned i = 0; i < ENGINES; i++) {
        g_autofree char *id = g_strdup_printf("i-%04u", i);
        g_autofree char *zone = g_strdup_printf("z%u", i % 4);
        const WPRegistryEntry l = { .id = id,
                                    .service = "llm",
                                    .addr = "127.0.0.1:1",
                                    .zone = zone,
                                    .version = "v1",
                                    .slots = 64 };
        wp_fleet_put(f, now, &l);
        WPReplica *s = wp_fleet_find(f, id);
        for (unsigned n = 0; n < PREFIXES / 2; n++) {
            WPPrompt p = prompt_of((i * 31 + n) % 400, i * PREFIXES + n);
            WPEndpointQuery w = *query;
            w.prompt = &p;
            wp_fleet_request_sent(f, s, now, &w, 0);
            wp_fleet_request_ended(s, now, WP_OUTCOME_OK);
        }
    }
}

int main(void)
{
    const WPFleetRules rules = { .zone_weight = 0.35,
                                 .zone_weight_per_kb = 0.03,
                                 .affinity_weight = 0.4,
                                 .prefill_weight_per_kt = 0.04,
                                 .transfer_weight_per_kt = 0.1,
                                 .track_prefixes = true,
                                 .slow_weight = 0.25 };
    WPTime now = { 1000 * WP_US_PER_S, 0 };
    WPTtfbModel model = { 0 };
    WPFleet *f = wp_fleet_new(1);
    wp_fleet_set_rules(f, &rules);
    for (uint32_t i = 0; i < 200; i++) {
        WPTtfbInputs inputs = { .prompt_tokens = 100 * i,
                                .uncached_tokens = 100 * i };
        wp_ttfb_add(&model, &inputs, 20000 + 8000 * (int64_t)i);
    }
    WPEndpointQuery w = { .service = "llm",
                          .zone = "z1",
                          .model = 7,
                          .ttfb = &model,
                          .ttfb_weight = 1,
                          .body_bytes = 12000 };
    fill_prefix_caches(f, now, &w);
    int64_t start = g_get_monotonic_time();
    for (unsigned n = 0; n < CHOICES; n++) {
        WPPrompt p = prompt_of(n % 500, n);
        w.prompt = &p;
        wp_replica_unref(wp_fleet_choose(f, now, &w));
    }
    printf("choice among %d engines: %.2f us\n", ENGINES,
           (double)(g_get_monotonic_time() - start) / CHOICES);
    wp_fleet_free(f);
    return 0;
}
