/* Server-sent events of an engine's answer: passes on complete events, counts
 * the tokens, and extracts the usage for the bill. */
#ifndef WP_SSE_H
#define WP_SSE_H

#include "wp_base.h"

enum { WP_SSE_EVENT_MAX_BYTES = 256 << 10 };

typedef struct WPSse {
    GByteArray *partial; /* an event that has not arrived completely */
    bool want_usage;     /* the caller asked for the usage event */
    bool done;           /* [DONE] was seen */
    bool has_usage;
    uint32_t events; /* pieces of the answer: one token each */
    uint32_t prompt_tokens, answer_tokens;
} WPSse;

/* Begins an answer; `want_usage`: see WPSse. */
void wp_sse_init(WPSse *s, bool want_usage);

/* Frees what `s` owns, but not `s` itself. */
void wp_sse_end(WPSse *s);

/* Takes the next `n` bytes and appends the complete events that the caller is
   to get to `out`. Returns false if the event after these is longer than
   WP_SSE_EVENT_MAX_BYTES, as one without an end would fill the memory. */
bool wp_sse_feed(WPSse *s, const uint8_t *data, size_t n, GByteArray *out);

/* Reads {"usage": {...}} out of a JSON text; false when there is none. */
bool wp_sse_parse_usage(WPStr json, uint32_t *prompt_tokens,
                        uint32_t *answer_tokens);

#endif
