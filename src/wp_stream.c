/* Events of a stream. */
#include "wp_stream.h"

void wp_stream_init(WPStream *s)
{
    memset(s, 0, sizeof(*s));
    s->partial = g_byte_array_new();
}

void wp_stream_end(WPStream *s)
{
    g_byte_array_unref(s->partial);
}

void wp_stream_set_last_id(WPStream *s, uint64_t id)
{
    s->has_last_id = true;
    s->last_id = id;
}

void wp_stream_discard_partial(WPStream *s)
{
    g_byte_array_set_size(s->partial, 0);
    s->scanned = 0;
    s->quiet_bytes = 0;
}

/* The length of the first complete event with its empty line; 0: none. No event
   ends within the first `from` bytes. */
static size_t event_length(const char *p, size_t n, size_t from)
{
    for (size_t i = from; i + 1 < n; i++) {
        const char *e = memchr(p + i, '\n', n - 1 - i);
        if (!e)
            return 0;
        i = (size_t)(e - p);
        if (p[i + 1] == '\n')
            return i + 2;
        if (p[i + 1] == '\r' && i + 2 < n && p[i + 2] == '\n')
            return i + 3;
    }
    return 0;
}

/* The event's id; false when it has none. */
static bool event_id(WPStr event, uint64_t *id)
{
    while (event.n) {
        WPStr line = wp_str_trim(wp_str_cut(&event, '\n'));
        WPStr name = wp_str_cut(&line, ':');
        if (!wp_str_eq(name, wp_str("id")))
            continue;
        g_autofree char *text = g_strndup(line.p, line.n);
        char *end;
        *id = g_ascii_strtoull(g_strstrip(text), &end, 10);
        return *text && !*end;
    }
    return false;
}

static bool has_data(WPStr event)
{
    while (event.n) {
        WPStr line = wp_str_cut(&event, '\n');
        if (wp_str_eq(wp_str_trim(wp_str_cut(&line, ':')), wp_str("data")))
            return true;
    }
    return false;
}

/* Passes one event on unless the caller has it already; false when one before
   it is missing. */
static bool take_event(WPStream *s, const char *p, size_t n, GByteArray *out)
{
    WPStr event = wp_strn(p, n);
    uint64_t id;
    bool has_id = event_id(event, &id);
    if (has_id) {
        if (s->has_last_id && id <= s->last_id)
            return true;
        if (s->has_last_id && id != s->last_id + 1)
            return false;
        s->has_last_id = true;
        s->last_id = id;
    }
    if (has_id || has_data(event)) {
        s->quiet_bytes = 0;
        s->events++;
    }
    g_byte_array_append(out, (const guint8 *)p, (guint)n);
    return true;
}

WPStreamStatus wp_stream_feed(WPStream *s, const char *data, size_t n,
                              GByteArray *out)
{
    size_t at = 0, from = s->scanned, length;
    g_byte_array_append(s->partial, (const guint8 *)data, (guint)n);
    const char *p = (const char *)s->partial->data;
    size_t size = s->partial->len;
    while ((length = event_length(p + at, size - at, from))) {
        from = 0;
        s->quiet_bytes += length;
        if (!take_event(s, p + at, length, out))
            return WP_STREAM_EVENT_MISSING;
        at += length;
    }
    g_byte_array_remove_range(s->partial, 0, (guint)at);
    /* An empty line may begin with the last two bytes. */
    s->scanned = s->partial->len > 2 ? s->partial->len - 2 : 0;
    return s->quiet_bytes + s->partial->len > WP_STREAM_QUIET_MAX_BYTES
               ? WP_STREAM_ENDLESS
               : WP_STREAM_OK;
}

bool wp_stream_at_event_boundary(const WPStream *s)
{
    return s->partial->len == 0;
}
