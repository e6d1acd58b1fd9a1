/* Server-sent events of an engine's answer: passes on whole events, counts
 * the tokens, and takes the usage out for the bill. */
#ifndef WP_SSE_H
#define WP_SSE_H

#include "wp_base.h"

typedef struct WPSse {
    GByteArray *partial; /* an event that has not wholly come */
    bool want_usage;     /* the caller asked for the usage event */
    bool done;           /* [DONE] was seen */
    bool has_usage;
    uint32_t events; /* pieces of the answer: one token each */
    uint32_t prompt_tokens, answer_tokens;
} WPSse;

void wp_sse_init(WPSse *s, bool want_usage);
void wp_sse_end(WPSse *s);

/* Appends what may be passed on to `out`. */
void wp_sse_feed(WPSse *s, const uint8_t *data, size_t n, GByteArray *out);

/* Reads {"usage": {...}} out of a JSON text; false when there is none. */
bool wp_usage_read(WPStr json, uint32_t *prompt_tokens,
                   uint32_t *answer_tokens);

#endif
