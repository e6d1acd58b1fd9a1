/* Parts of prompts. */
#include "wp_prompt.h"

bool wp_prompt_add(WPPrompt *p, WPStr id, uint32_t tokens)
{
    if (p->n == WP_PARTS_MOST)
        return false;
    const WPPart *last = p->n ? &p->parts[p->n - 1] : NULL;
    uint32_t from = last ? last->end : 0;
    p->parts[p->n++] = (WPPart){
        .prefix = wp_hash(id, last ? last->prefix : 0),
        .end = from + MIN(tokens, p->tokens - from),
    };
    return true;
}

uint64_t wp_prompt_shared(const WPPrompt *p)
{
    return p->n > 1 ? p->parts[p->n - 2].prefix : 0;
}

uint32_t wp_prompt_shared_tokens(const WPPrompt *p)
{
    return p->n > 1 ? p->parts[p->n - 2].end : 0;
}
