/* Splits server-sent events. */
#define _GNU_SOURCE /* memmem */
#include "wp_sse.h"

#include <jansson.h>

#define DATA "data: "
#define USAGE "\"usage\":"

void wp_sse_init(WPSse *s, bool want_usage)
{
    memset(s, 0, sizeof(*s));
    s->partial = g_byte_array_new();
    s->want_usage = want_usage;
}

void wp_sse_end(WPSse *s)
{
    if (s->partial)
        g_byte_array_unref(s->partial);
    s->partial = NULL;
}

bool wp_sse_parse_usage(WPStr text, uint32_t *prompt_tokens,
                        uint32_t *answer_tokens)
{
    json_t *j = json_loadb(text.p, text.n, 0, NULL);
    json_t *u = json_object_get(j, "usage");
    bool found = json_is_object(u);
    if (found) {
        *prompt_tokens =
            (uint32_t)json_integer_value(json_object_get(u, "prompt_tokens"));
        *answer_tokens = (uint32_t)json_integer_value(
            json_object_get(u, "completion_tokens"));
    }
    json_decref(j);
    return found;
}

/* Counts one complete event; returns whether it goes to the caller. */
static bool take_event(WPSse *s, WPStr event)
{
    size_t skip = strlen(DATA);
    if (event.n < skip || memcmp(event.p, DATA, skip))
        return true;
    WPStr data = wp_str_trim(wp_strn(event.p + skip, event.n - skip));
    if (wp_str_eq(data, wp_str("[DONE]"))) {
        s->done = true;
        return true;
    }
    if (memmem(data.p, data.n, USAGE, strlen(USAGE)) &&
        wp_sse_parse_usage(data, &s->prompt_tokens, &s->answer_tokens)) {
        s->has_usage = true;
        return s->want_usage;
    }
    s->events++;
    return true;
}

bool wp_sse_feed(WPSse *s, const uint8_t *data, size_t n, GByteArray *out)
{
    WPStr rest = wp_strn((const char *)data, n);
    const char *end;
    if (s->partial->len) {
        g_byte_array_append(s->partial, data, (guint)n);
        rest = wp_strn((const char *)s->partial->data, s->partial->len);
    }
    while ((end = memmem(rest.p, rest.n, "\n\n", 2))) {
        WPStr event = wp_strn(rest.p, (size_t)(end + 2 - rest.p));
        if (take_event(s, event))
            g_byte_array_append(out, (const guint8 *)event.p, (guint)event.n);
        rest = wp_strn(event.p + event.n, rest.n - event.n);
    }
    GByteArray *left = g_byte_array_new();
    g_byte_array_append(left, (const guint8 *)rest.p, (guint)rest.n);
    g_byte_array_unref(s->partial);
    s->partial = left;
    return left->len <= WP_SSE_EVENT_MAX_BYTES;
}
