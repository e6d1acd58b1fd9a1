/* Cost of a request at an engine: the predicted time to first byte, shared
 * parts of its prompt that are prefilled again, or the transfer of a cached
 * prefix from another engine. In score units, as the other weights of an
 * endpoint choice (WPFleetRules). */
#ifndef WP_ENGINE_COST_H
#define WP_ENGINE_COST_H

#include "wp_fleet.h"

enum {
    /* Versions of a service for which cache holders are tracked; prompts at
       further versions are never transferred. */
    WP_CACHE_HOLDERS_MAX = 4
};

/* The endpoint of one version that has the most of a prompt in its cache. */
typedef struct WPCacheHolder {
    const WPReplica *replica;
    uint32_t tokens;
} WPCacheHolder;

typedef struct WPCacheHolders {
    WPCacheHolder by_version[WP_CACHE_HOLDERS_MAX];
    unsigned n;
    /* Of each endpoint in the list; the caller's array. */
    uint32_t *cached_tokens;
} WPCacheHolders;

/* Finds the cache holder of each version among `list` (of WPReplica) for the
   prompt of the query, and fills `cached_tokens`, which has the length of the
   list. */
void wp_cache_holders_find(WPCacheHolders *k, WPTime now,
                           const WPEndpointQuery *q, const GPtrArray *list);

typedef struct WPEngineCost {
    WPTtfbInputs inputs;
    /* The engine that the cached prefix is fetched from; NULL: nothing is
       fetched, the prompt is prefilled. */
    const WPReplica *source;
    double cost;
} WPEngineCost;

/* Returns the cost at `s`, which has `cached` tokens of the prompt in its
   cache, for the cheaper of two ways: prefilling the rest, or fetching a
   longer prefix from a cache holder. */
WPEngineCost wp_engine_cost(const WPFleetRules *r, WPTime now,
                            const WPEndpointQuery *q, const WPReplica *s,
                            uint32_t cached, const WPCacheHolders *holders);

#endif
