/* Events of a stream. */
#include "wp_stream.h"
#include "wp_head_check.h"

/* What the lines of an event say. */
typedef struct Event {
    WPStr text; /* with the empty line */
    unsigned n_ids;
    bool has_number; /* the id is a number */
    uint64_t id;
    bool has_data;
    bool comment_follows; /* after the data */
    bool has_other; /* lines that are neither comments nor control an event */
    bool has_bare_cr;
    bool is_parted; /* an unknown field or a comment within it: perhaps the
                       spoiled first line of another event */
} Event;

void wp_stream_init(WPStream *s)
{
    memset(s, 0, sizeof(*s));
    s->partial = g_byte_array_new();
    s->held = g_byte_array_new();
}

void wp_stream_set_route(WPStream *s, bool resumable, bool irregular)
{
    s->resumable = resumable;
    s->irregular |= irregular;
}

void wp_stream_end(WPStream *s)
{
    g_byte_array_unref(s->partial);
    g_byte_array_unref(s->held);
}

void wp_stream_set_last_id(WPStream *s, uint64_t id)
{
    s->ids = WP_STREAM_NUMBERED;
    s->has_last_id = true;
    s->last_id = id;
}

void wp_stream_begin_run(WPStream *s)
{
    wp_array_clear(&s->partial);
    wp_array_clear(&s->held);
    s->held_id = 0;
    s->scanned = 0;
    s->quiet_bytes = 0;
    s->replays = s->has_last_id;
    s->has_run_id = false;
    s->fault = NULL;
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

static bool is_name(WPStr name, const char *expected)
{
    return wp_str_eq(name, wp_str(expected));
}

static bool is_token(WPStr s)
{
    for (size_t i = 0; i < s.n; i++)
        if (!wp_is_token_byte(s.p[i]))
            return false;
    return true;
}

static void read_line(WPStr line, Event *e)
{
    WPStr value = line;
    WPStr name = wp_str_cut(&value, ':');
    if (!line.n)
        return;
    if (line.p[0] == ':') {
        e->comment_follows |= e->has_data;
        return;
    }
    if (value.n && value.p[0] == ' ')
        value = wp_strn(value.p + 1, value.n - 1);
    if (is_name(name, "id")) {
        e->n_ids++;
        e->has_number = wp_str_uint(value, &e->id);
    } else if (is_name(name, "data")) {
        e->has_data = true;
        e->is_parted |= e->comment_follows;
    } else if (!is_name(name, "event") && !is_name(name, "retry")) {
        e->has_other = true;
        e->is_parted |= !is_token(name) || e->n_ids || e->has_data;
    }
}

static Event read_event(WPStr text)
{
    Event e = { .text = text };
    while (text.n) {
        WPStr line = wp_str_cut(&text, '\n');
        if (line.n && line.p[line.n - 1] == '\r')
            line.n--;
        e.has_bare_cr |= line.n && memchr(line.p, '\r', line.n);
        read_line(line, &e);
    }
    return e;
}

/* Returns what is wrong with the event in itself, or NULL. Two ids show that
   the empty line between two events is missing, an event without data that the
   name of its field is wrong. */
static const char *event_fault(const Event *e)
{
    if (e->has_bare_cr)
        return "bare CR in an event";
    if (e->is_parted)
        return "unknown field inside an event";
    if (e->n_ids > 1)
        return "two ids in an event";
    return (e->n_ids || e->has_other) && !e->has_data ? "event without data"
                                                      : NULL;
}

static WPStreamStatus invalid(WPStream *s, const char *fault)
{
    s->fault = fault;
    return WP_STREAM_INVALID;
}

static void append(const Event *e, GByteArray *out)
{
    g_byte_array_append(out, (const guint8 *)e->text.p, (guint)e->text.n);
}

/* Learns from the ids of two successive events. */
static void learn_step(WPStream *s, uint64_t id)
{
    uint64_t step = id - s->last_id;
    /* Two successive numbers are hardly both wrong. */
    s->is_regular = s->step ? s->step == step : step == 1;
    s->irregular |= s->step && s->step != step;
    s->step = step;
}

/* Passes on an event with data. */
static void pass_on(WPStream *s, const Event *e, GByteArray *out)
{
    if (e->has_number) {
        if (s->has_last_id)
            learn_step(s, e->id);
        else if (e->id == 1)
            s->step = 1; /* as most streams count */
        s->has_last_id = true;
        s->last_id = e->id;
        s->last_hash = wp_hash(e->text, 0);
        s->refused_id = 0;
    }
    s->ids = e->has_number ? WP_STREAM_NUMBERED : WP_STREAM_UNNUMBERED;
    s->replays = false;
    s->quiet_bytes = 0;
    s->events++;
    append(e, out);
}

static void pass_held(WPStream *s, GByteArray *out)
{
    const Event e =
        read_event(wp_strn((const char *)s->held->data, s->held->len));
    if (!s->held_id)
        return;
    pass_on(s, &e, out);
    wp_array_clear(&s->held);
    s->held_id = 0;
}

/* An event with an id that is not above the one before: that id or an earlier
   one is wrong. */
static WPStreamStatus not_ascending(WPStream *s)
{
    if (s->events && !s->replays && !s->is_regular)
        s->lost_place = true;
    return invalid(s, "id that does not ascend");
}

/* An event that the caller has: endpoints may repeat some when they resume a
   stream. */
static WPStreamStatus take_repeated(WPStream *s, const Event *e)
{
    bool same = e->id != s->last_id || !s->last_hash ||
                s->last_hash == wp_hash(e->text, 0);
    if (!s->replays)
        return not_ascending(s);
    return same ? WP_STREAM_OK : invalid(s, "another event under a known id");
}

static void hold(WPStream *s, const Event *e)
{
    append(e, s->held);
    s->held_id = e->id;
}

/* An id that does not follow by the usual step. Events may be missing, the id
   may be wrong, or ids have gaps on this route. That a second run has the same
   one shows the last. */
static WPStreamStatus take_gap(WPStream *s, const Event *e, GByteArray *out)
{
    if (s->resumable && s->refused_id != e->id) {
        s->lost_place = s->refused_id && !s->is_regular;
        s->refused_id = e->id;
        return invalid(s, "gap between ids");
    }
    if (!s->resumable) {
        hold(s, e);
        return WP_STREAM_OK;
    }
    s->irregular = true;
    pass_on(s, e, out);
    return WP_STREAM_OK;
}

/* The event after a held one: both are passed on if it confirms the id of the
   other. */
static WPStreamStatus take_after_held(WPStream *s, const Event *e,
                                      GByteArray *out)
{
    uint64_t step = s->held_id - s->last_id;
    bool agrees = e->id - s->held_id == step;
    if (s->resumable && !agrees && s->refused_id != s->held_id) {
        s->refused_id = s->held_id;
        return invalid(s, "gap between ids");
    }
    pass_held(s, out);
    pass_on(s, e, out);
    return WP_STREAM_OK;
}

/* An event with an id above the last one. */
static WPStreamStatus take_new(WPStream *s, const Event *e, GByteArray *out)
{
    uint64_t step = e->id - s->last_id;
    if (s->held_id)
        return take_after_held(s, e, out);
    bool known = s->step && (s->is_regular || s->step == 1);
    if (s->has_last_id && !s->irregular && known && step != s->step)
        return take_gap(s, e, out);
    if (s->replays && !s->irregular && !known && step != MAX(s->step, 1)) {
        hold(s, e);
        return WP_STREAM_OK;
    }
    pass_on(s, e, out);
    return WP_STREAM_OK;
}

static WPStreamStatus take_numbered(WPStream *s, const Event *e,
                                    GByteArray *out)
{
    if (s->has_run_id && e->id <= s->run_id)
        return not_ascending(s);
    s->has_run_id = true;
    s->run_id = e->id;
    if (s->has_last_id && e->id <= s->last_id)
        return take_repeated(s, e);
    return take_new(s, e, out);
}

/* Takes one complete event. */
static WPStreamStatus take_event(WPStream *s, WPStr text, GByteArray *out)
{
    const Event e = read_event(text);
    const char *fault = event_fault(&e);
    WPStreamIds ids = e.has_number ? WP_STREAM_NUMBERED : WP_STREAM_UNNUMBERED;
    if (fault)
        return invalid(s, fault);
    if (!e.has_data) {
        append(&e, out);
        return WP_STREAM_OK;
    }
    if (s->ids != WP_STREAM_IDS_UNKNOWN && s->ids != ids)
        return invalid(s, e.has_number ? "id in a stream without ids"
                                       : "event without a number");
    if (ids == WP_STREAM_NUMBERED)
        return take_numbered(s, &e, out);
    pass_on(s, &e, out);
    return WP_STREAM_OK;
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
        if (take_event(s, wp_strn(p + at, length), out) != WP_STREAM_OK)
            return WP_STREAM_INVALID;
        at += length;
    }
    if (at == s->partial->len)
        wp_array_clear(&s->partial);
    else
        g_byte_array_remove_range(s->partial, 0, (guint)at);
    /* An empty line may begin with the last two bytes. */
    s->scanned = s->partial->len > 2 ? s->partial->len - 2 : 0;
    return s->quiet_bytes + s->partial->len > WP_STREAM_QUIET_MAX_BYTES
               ? WP_STREAM_ENDLESS
               : WP_STREAM_OK;
}

/* Whether the text has more than comments. */
static bool has_fields(const GByteArray *text)
{
    const Event e = read_event(wp_strn((const char *)text->data, text->len));
    return e.n_ids || e.has_data || e.has_other;
}

WPStreamStatus wp_stream_finish(WPStream *s, GByteArray *out)
{
    /* A run that repeats events ends its repetition with the last one. */
    if (s->replays && s->has_run_id && s->run_id < s->last_id)
        return invalid(s, "id that does not ascend");
    if (s->ids == WP_STREAM_NUMBERED && has_fields(s->partial))
        return invalid(s, "end inside an event");
    if (s->held_id && s->resumable && s->step && s->refused_id != s->held_id) {
        s->refused_id = s->held_id;
        return invalid(s, "gap between ids");
    }
    pass_held(s, out);
    g_byte_array_append(out, s->partial->data, s->partial->len);
    g_byte_array_set_size(s->partial, 0);
    return WP_STREAM_OK;
}

bool wp_stream_at_event_boundary(const WPStream *s)
{
    return s->partial->len == 0;
}

bool wp_stream_has_place(const WPStream *s)
{
    return !s->lost_place && (!s->events || s->has_last_id);
}
