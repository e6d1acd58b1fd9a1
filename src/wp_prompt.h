/* The parts of a prompt, in order. Requests that begin with the same parts
 * share a prefix, which an engine that has it cached need not prefill again. */
#ifndef WP_PROMPT_H
#define WP_PROMPT_H

#include "wp_base.h"

enum {
    WP_PROMPT_PARTS_MAX = 8, /* later ones are not shared between requests */
    /* XXX: later ones are not known as parts that crash endpoints. */
    WP_PROMPT_IDS_MAX = 32
};

typedef struct WPPromptPart {
    uint64_t prefix_hash; /* hash of the prompt from its beginning to the end of
                             this part */
    uint32_t end_tokens; /* tokens from the beginning to the end of this part */
} WPPromptPart;

typedef struct WPPrompt {
    uint32_t tokens; /* of the whole prompt */
    unsigned n_parts;
    WPPromptPart parts[WP_PROMPT_PARTS_MAX];
    unsigned n_ids; /* of all parts, also of those that are not kept */
    uint64_t ids[WP_PROMPT_IDS_MAX]; /* hash of each part's id */
} WPPrompt;

/* Appends a part of `tokens` tokens with this id; tokens beyond those of the
   whole prompt do not count. Returns false if no more parts fit; its id is
   appended all the same. */
bool wp_prompt_add(WPPrompt *p, WPStr id, uint32_t tokens);

/* Number of entries of `ids` that belong to shared parts: all but the last,
   which is the request's own or its session's. */
unsigned wp_prompt_shared_ids(const WPPrompt *p);

/* Hash of the shared prefix: all parts but the last, which is the request's
   own or its session's. 0 if there are no such parts. */
uint64_t wp_prompt_shared_hash(const WPPrompt *p);

/* Number of tokens in the shared prefix. */
uint32_t wp_prompt_shared_tokens(const WPPrompt *p);

#endif
