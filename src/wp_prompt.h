/* The parts of a prompt, in order: other requests may begin with the same
 * ones, which an engine then need not read again. */
#ifndef WP_PROMPT_H
#define WP_PROMPT_H

#include "wp_base.h"

enum { WP_PARTS_MOST = 8 /* later ones count as the request's own */ };

typedef struct WPPart {
    uint64_t prefix; /* hash of the prompt from its beginning to here */
    uint32_t end;    /* tokens from the beginning to here */
} WPPart;

typedef struct WPPrompt {
    uint32_t tokens; /* of the whole prompt */
    unsigned n;
    WPPart parts[WP_PARTS_MOST];
} WPPrompt;

/* Adds the next part; tokens beyond those of the whole prompt do not count.
   Returns false when no more parts fit. */
bool wp_prompt_add(WPPrompt *p, WPStr id, uint32_t tokens);

/* A hash of all parts but the last, which is the request's own or its
   session's; 0 when there are none. */
uint64_t wp_prompt_shared(const WPPrompt *p);

/* The tokens of those parts. */
uint32_t wp_prompt_shared_tokens(const WPPrompt *p);

#endif
