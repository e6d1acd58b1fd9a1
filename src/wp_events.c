/* Ring buffer of events with a hybrid logical clock. */
#include "wp_events.h"

#include <stdio.h>

typedef struct Event {
    uint64_t clock;
    WPEventKind kind;
    char request[40];
    char text[WP_EVENT_TEXT_SIZE];
} Event;

struct WPEvents {
    char *box;
    uint64_t clock;
    uint64_t count; /* events added since the start */
    Event ring[WP_EVENTS_CAPACITY];
};

static const char *const kind_names[] = {
#define X(name, text) text,
    WP_EVENT_KINDS(X)
#undef X
};

WPEvents *wp_events_new(const char *box)
{
    WPEvents *e = g_new0(WPEvents, 1);
    e->box = g_strdup(box);
    return e;
}

void wp_events_free(WPEvents *e)
{
    if (!e)
        return;
    g_free(e->box);
    g_free(e);
}

uint64_t wp_events_next_clock(WPEvents *e, WPTime now)
{
    uint64_t wall = (uint64_t)now.wall_ms << 16;
    e->clock = MAX(e->clock + 1, wall);
    return e->clock;
}

void wp_events_merge_clock(WPEvents *e, uint64_t clock)
{
    e->clock = MAX(e->clock, clock);
}

void wp_events_add(WPEvents *e, WPTime now, WPEventKind kind,
                   const char *request, const char *format, ...)
{
    Event *v = &e->ring[e->count++ % WP_EVENTS_CAPACITY];
    va_list ap;
    v->clock = wp_events_next_clock(e, now);
    v->kind = kind;
    g_strlcpy(v->request, request ? request : "", sizeof(v->request));
    va_start(ap, format);
    vsnprintf(v->text, sizeof(v->text), format, ap);
    va_end(ap);
}

/* The event with this number; NULL: it is not of the request. */
static const Event *event_of(const WPEvents *e, uint64_t i, const char *request)
{
    const Event *v = &e->ring[i % WP_EVENTS_CAPACITY];
    return !request || !strcmp(request, v->request) ? v : NULL;
}

/* The number of the oldest of the newest `max` events of the request. */
static uint64_t find_first(const WPEvents *e, const char *request, unsigned max)
{
    uint64_t first = e->count;
    uint64_t oldest = e->count - MIN(e->count, WP_EVENTS_CAPACITY);
    for (uint64_t i = e->count; i > oldest && max; i--)
        if (event_of(e, i - 1, request)) {
            first = i - 1;
            max--;
        }
    return first;
}

json_t *wp_events_json(const WPEvents *e, const char *request, unsigned max)
{
    json_t *out = json_array();
    for (uint64_t i = find_first(e, request, max); i < e->count; i++) {
        const Event *v = event_of(e, i, request);
        if (!v)
            continue;
        json_array_append_new(out,
                              json_pack("{s:I,s:s,s:s,s:s,s:s}", "clock",
                                        (json_int_t)v->clock, "box", e->box,
                                        "event", kind_names[v->kind], "request",
                                        v->request, "text", v->text));
    }
    return out;
}
