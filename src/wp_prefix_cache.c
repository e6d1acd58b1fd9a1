/* Prompt parts in an engine's cache, in LRU order. */
#include "wp_prefix_cache.h"

enum { PARTS_MAX = 1024 /* per engine, 64 bytes each */ };

/* Time after which an entry that no request has confirmed is ignored. */
#define ENTRY_TTL_US (60 * WP_US_PER_S)

/* Fraction of an engine's memory for cached prefixes; running requests take
   the rest. */
#define CACHED_FRACTION 0.7

typedef struct Part {
    WPList node; /* least recently used first */
    uint64_t key;
    uint32_t tokens;
    int64_t used_us;
} Part;

struct WPPrefixCache {
    GHashTable *parts; /* key -> Part */
    WPList by_use;
    uint64_t tokens, capacity;
};

WPPrefixCache *wp_prefix_cache_new(void)
{
    WPPrefixCache *k = g_new0(WPPrefixCache, 1);
    k->parts = g_hash_table_new(g_int64_hash, g_int64_equal);
    wp_list_init(&k->by_use);
    return k;
}

static void evict(WPPrefixCache *k, Part *p)
{
    k->tokens -= p->tokens;
    g_hash_table_remove(k->parts, &p->key);
    wp_list_remove(&p->node);
    g_free(p);
}

void wp_prefix_cache_free(WPPrefixCache *k)
{
    if (!k)
        return;
    wp_list_each_safe (it, tmp, &k->by_use)
        evict(k, wp_list_item(it, Part, node));
    g_hash_table_unref(k->parts);
    g_free(k);
}

void wp_prefix_cache_set_capacity(WPPrefixCache *k, uint64_t tokens)
{
    k->capacity = (uint64_t)((double)tokens * CACHED_FRACTION);
}

uint64_t wp_prefix_cache_key(uint64_t model, uint64_t prefix)
{
    return prefix ^ model;
}

static void evict_to_capacity(WPPrefixCache *k)
{
    while (!wp_list_empty(&k->by_use) &&
           (g_hash_table_size(k->parts) > PARTS_MAX ||
            (k->capacity && k->tokens > k->capacity)))
        evict(k, wp_list_item(k->by_use.next, Part, node));
}

static void touch(WPPrefixCache *k, WPTime now, uint64_t key, uint32_t tokens)
{
    Part *p = g_hash_table_lookup(k->parts, &key);
    if (!p) {
        p = g_new0(Part, 1);
        p->key = key;
        wp_list_init(&p->node);
        g_hash_table_insert(k->parts, &p->key, p);
    }
    k->tokens += tokens;
    k->tokens -= p->tokens;
    p->tokens = tokens;
    p->used_us = now.mono_us;
    wp_list_remove(&p->node);
    wp_list_append(&k->by_use, &p->node);
}

void wp_prefix_cache_add(WPPrefixCache *k, WPTime now, uint64_t model,
                         const WPPrompt *prompt)
{
    /* From the last part to the first, so that no part is evicted before the
       later parts that depend on it. */
    for (unsigned i = prompt->n_parts; i-- > 0;) {
        const WPPromptPart *p = &prompt->parts[i];
        uint32_t from = i ? p[-1].end_tokens : 0;
        touch(k, now, wp_prefix_cache_key(model, p->prefix_hash),
              p->end_tokens - from);
    }
    evict_to_capacity(k);
}

void wp_prefix_cache_add_key(WPPrefixCache *k, WPTime now, uint64_t key,
                             uint32_t tokens)
{
    touch(k, now, key, tokens);
    evict_to_capacity(k);
}

uint32_t wp_prefix_cache_match(const WPPrefixCache *k, WPTime now,
                               uint64_t model, const WPPrompt *prompt)
{
    for (unsigned i = prompt->n_parts; i-- > 0;) {
        uint64_t key = wp_prefix_cache_key(model, prompt->parts[i].prefix_hash);
        const Part *p = g_hash_table_lookup(k->parts, &key);
        if (p && now.mono_us - p->used_us <= ENTRY_TTL_US)
            return prompt->parts[i].end_tokens;
    }
    return 0;
}

unsigned wp_prefix_cache_size(const WPPrefixCache *k)
{
    return g_hash_table_size(k->parts);
}
