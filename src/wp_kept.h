/* What an engine is believed to keep of the prompts that it has read, by model:
 * the parts that this box has sent there, until those unused for the longest
 * give way. An engine keeps a part only together with all before it. */
#ifndef WP_KEPT_H
#define WP_KEPT_H

#include "wp_prompt.h"

typedef struct WPKept WPKept;

WPKept *wp_kept_new(void);
void wp_kept_free(WPKept *k);

/* The engine has room for so many tokens; 0: not known. */
void wp_kept_room(WPKept *k, uint64_t tokens);

/* It is sent this prompt, for the model of that hash. */
void wp_kept_read(WPKept *k, WPTime now, uint64_t model, const WPPrompt *p);

/* Another box has sent it a prompt that begins with `tokens`, which have this
   hash (wp_kept_key()). */
void wp_kept_hear(WPKept *k, WPTime now, uint64_t key, uint32_t tokens);

/* The hash of a prompt's beginning and the model that has read it. */
uint64_t wp_kept_key(uint64_t model, uint64_t prefix);

/* The tokens at the prompt's beginning that it keeps for that model. */
uint32_t wp_kept_tokens(const WPKept *k, WPTime now, uint64_t model,
                        const WPPrompt *p);

/* How many parts are noted. */
unsigned wp_kept_size(const WPKept *k);

#endif
