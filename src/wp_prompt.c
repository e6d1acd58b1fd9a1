/* Prompt parts and the hashes of prefixes. */
#include "wp_prompt.h"

bool wp_prompt_add(WPPrompt *p, WPStr id, uint32_t tokens)
{
    if (p->n_ids < WP_PROMPT_IDS_MAX)
        p->ids[p->n_ids] = wp_hash(id, 0);
    p->n_ids++;
    if (p->n_parts == WP_PROMPT_PARTS_MAX)
        return false;
    const WPPromptPart *last = p->n_parts ? &p->parts[p->n_parts - 1] : NULL;
    uint32_t from = last ? last->end_tokens : 0;
    p->parts[p->n_parts++] = (WPPromptPart){
        .prefix_hash = wp_hash(id, last ? last->prefix_hash : 0),
        .end_tokens = from + MIN(tokens, p->tokens - from),
    };
    return true;
}

unsigned wp_prompt_shared_ids(const WPPrompt *p)
{
    return p->n_ids ? MIN(p->n_ids - 1, WP_PROMPT_IDS_MAX) : 0;
}

uint64_t wp_prompt_shared_hash(const WPPrompt *p)
{
    return p->n_parts > 1 ? p->parts[p->n_parts - 2].prefix_hash : 0;
}

uint32_t wp_prompt_shared_tokens(const WPPrompt *p)
{
    return p->n_parts > 1 ? p->parts[p->n_parts - 2].end_tokens : 0;
}
