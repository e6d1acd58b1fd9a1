/* Estimate of the prompt prefixes that an engine has in its cache, by model:
 * the parts that boxes have sent there, with LRU eviction. An engine can use a
 * cached part only together with all parts before it. */
#ifndef WP_PREFIX_CACHE_H
#define WP_PREFIX_CACHE_H

#include "wp_prompt.h"

typedef struct WPPrefixCache WPPrefixCache;

/* Returns an empty cache; its capacity is not known yet. */
WPPrefixCache *wp_prefix_cache_new(void);
void wp_prefix_cache_free(WPPrefixCache *k);

/* Sets the engine's memory in tokens, a fraction of which is for cached
   prefixes; 0: not known. */
void wp_prefix_cache_set_capacity(WPPrefixCache *k, uint64_t tokens);

/* Records that the prompt was sent to the engine for the model with this
   hash. */
void wp_prefix_cache_add(WPPrefixCache *k, WPTime now, uint64_t model,
                         const WPPrompt *p);

/* Records that another box has sent the engine a prompt with a prefix of
   `tokens` tokens that has this hash (wp_prefix_cache_key()). */
void wp_prefix_cache_add_key(WPPrefixCache *k, WPTime now, uint64_t key,
                             uint32_t tokens);

/* Hash of a prompt prefix and the model that has processed it. */
uint64_t wp_prefix_cache_key(uint64_t model, uint64_t prefix);

/* Returns the number of tokens at the beginning of the prompt that the engine
   is expected to have cached for that model. */
uint32_t wp_prefix_cache_match(const WPPrefixCache *k, WPTime now,
                               uint64_t model, const WPPrompt *p);

/* Number of prompt parts recorded. */
unsigned wp_prefix_cache_size(const WPPrefixCache *k);

#endif
