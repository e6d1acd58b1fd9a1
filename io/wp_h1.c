/* Parser of HTTP/1.1 messages. */
#include "wp_h1.h"

/* Offsets and lengths of one field in WPH1.text. */
typedef struct Span {
    size_t name, name_n, value, value_n;
} Span;

static int on_begin(http_parser *p)
{
    (void)p;
    return 0;
}

static int on_url(http_parser *p, const char *at, size_t n)
{
    WPH1 *h = p->data;
    g_byte_array_append(h->text, (const guint8 *)at, (guint)n);
    h->target_length += n;
    return 0;
}

static int on_field_name(http_parser *p, const char *at, size_t n)
{
    WPH1 *h = p->data;
    if (h->has_head) /* trailers are not forwarded */
        return 0;
    if (h->in_value || !h->spans->len) {
        Span s = { h->text->len, 0, 0, 0 };
        g_array_append_val(h->spans, s);
        h->in_value = false;
    }
    g_byte_array_append(h->text, (const guint8 *)at, (guint)n);
    g_array_index(h->spans, Span, h->spans->len - 1).name_n += n;
    return 0;
}

static int on_field_value(http_parser *p, const char *at, size_t n)
{
    WPH1 *h = p->data;
    if (h->has_head || !h->spans->len)
        return 0;
    Span *s = &g_array_index(h->spans, Span, h->spans->len - 1);
    if (!h->in_value) {
        s->value = h->text->len;
        h->in_value = true;
    }
    g_byte_array_append(h->text, (const guint8 *)at, (guint)n);
    s->value_n += n;
    return 0;
}

static WPStr text_at(const WPH1 *h, size_t at, size_t n)
{
    return wp_strn((const char *)h->text->data + at, n);
}

/* Whether the body of a response ends with the connection, as the response has
   neither a length nor chunked encoding. */
static bool ends_with_connection(const http_parser *p)
{
    return p->type == HTTP_RESPONSE &&
           !wp_status_is_bodiless((int)p->status_code) &&
           !(p->flags & F_CHUNKED) && p->content_length == UINT64_MAX;
}

/* Passes the complete head to `ops->head`. Returns 1 if no body follows, by the
   convention of http_parser, else 0. The parser pauses before a chunked body,
   whose bytes are checked before it gets them. */
static int on_head(http_parser *p)
{
    WPH1 *h = p->data;
    h->has_head = true;
    for (guint i = 0; i < h->spans->len; i++) {
        const Span *s = &g_array_index(h->spans, Span, i);
        WPField f = { text_at(h, s->name, s->name_n),
                      wp_str_trim(text_at(h, s->value, s->value_n)) };
        g_array_append_val(h->fields, f);
    }
    bool request = p->type == HTTP_REQUEST;
    WPHead head = { .method = wp_str(request ? http_method_str(p->method) : ""),
                    .target = text_at(h, 0, h->target_length),
                    .status = request ? 0 : p->status_code,
                    .fields = (const WPField *)h->fields->data,
                    .n_fields = h->fields->len,
                    .keep_alive = http_should_keep_alive(p),
                    .until_close = ends_with_connection(p) };
    if (!h->ops->head(h->arg, &head) || (!request && p->status_code == 304))
        return 1;
    h->chunked = p->flags & F_CHUNKED;
    h->head_paused = h->chunked;
    if (h->chunked)
        http_parser_pause(p, 1);
    return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
    WPH1 *h = p->data;
    h->ops->body(h->arg, at, n);
    return 0;
}

static int on_complete(http_parser *p)
{
    WPH1 *h = p->data;
    h->complete = true;
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings settings = { .on_message_begin = on_begin,
                                               .on_url = on_url,
                                               .on_header_field = on_field_name,
                                               .on_header_value =
                                                   on_field_value,
                                               .on_headers_complete = on_head,
                                               .on_body = on_body,
                                               .on_message_complete =
                                                   on_complete };

void wp_h1_init(WPH1 *h, bool requests, const WPH1Ops *ops, void *arg)
{
    memset(h, 0, sizeof(*h));
    http_parser_init(&h->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
    h->parser.data = h;
    h->ops = ops;
    h->arg = arg;
    h->head_max_bytes = WP_H1_HEAD_MAX_BYTES;
    h->check.is_request = requests;
    h->text = g_byte_array_new();
    h->spans = g_array_new(FALSE, FALSE, sizeof(Span));
    h->fields = g_array_new(FALSE, FALSE, sizeof(WPField));
}

void wp_h1_end(WPH1 *h)
{
    g_byte_array_unref(h->text);
    g_array_unref(h->spans);
    g_array_unref(h->fields);
}

void wp_h1_reset(WPH1 *h)
{
    enum http_parser_type type = h->parser.type;
    http_parser_init(&h->parser, type);
    wp_array_clear(&h->text);
    g_array_set_size(h->spans, 0);
    g_array_set_size(h->fields, 0);
    h->target_length = 0;
    h->in_value = false;
    h->has_head = false;
    h->complete = false;
    h->chunked = false;
    h->head_paused = false;
    h->framing = (WPChunked){ 0 };
    h->check = (WPHeadCheck){ .is_request = type == HTTP_REQUEST };
    h->fault = NULL;
    h->head_too_large = false;
}

static WPH1State invalid(WPH1 *h, const char *fault)
{
    h->fault = fault;
    return WP_H1_ERROR;
}

/* Passes the first `n` bytes of the input to the parser. */
static WPH1State parse(WPH1 *h, struct evbuffer *in, size_t n)
{
    const char *p = (const char *)evbuffer_pullup(in, (ev_ssize_t)n);
    size_t n_parsed = http_parser_execute(&h->parser, &settings, p, n);
    enum http_errno e = HTTP_PARSER_ERRNO(&h->parser);
    evbuffer_drain(in, n_parsed);
    if (e != HPE_OK && e != HPE_PAUSED)
        return invalid(h, http_errno_description(e));
    if (h->parser.upgrade) /* no protocol switch was requested */
        return invalid(h, "protocol switch that was not asked for");
    return h->complete ? WP_H1_COMPLETE : WP_H1_MORE;
}

/* Waits until the head is complete, checks and parses it. */
static WPH1State feed_head(WPH1 *h, struct evbuffer *in)
{
    size_t n = MIN(evbuffer_get_length(in), h->head_max_bytes);
    const char *p = (const char *)evbuffer_pullup(in, (ev_ssize_t)n);
    switch (wp_head_check(&h->check, wp_strn(p, n))) {
    case WP_HEAD_INVALID:
        return invalid(h, h->check.fault);
    case WP_HEAD_MORE:
        h->head_too_large = evbuffer_get_length(in) > n;
        return h->head_too_large ? invalid(h, "the head is too large")
                                 : WP_H1_MORE;
    case WP_HEAD_WHOLE:
        break;
    }
    return parse(h, in, h->check.line_at);
}

/* Checks and parses the next bytes after the head. */
static WPH1State feed_body(WPH1 *h, struct evbuffer *in)
{
    size_t n = evbuffer_get_contiguous_space(in);
    const char *p = (const char *)evbuffer_pullup(in, (ev_ssize_t)n);
    if (h->head_paused) {
        h->head_paused = false;
        http_parser_pause(&h->parser, 0);
        return parse(h, in, 1);
    }
    if (h->chunked && !wp_chunked_check(&h->framing, p, n))
        return invalid(h, "malformed chunk");
    return parse(h, in, n);
}

WPH1State wp_h1_feed(WPH1 *h, struct evbuffer *in)
{
    WPH1State st = h->complete ? WP_H1_COMPLETE : WP_H1_MORE;
    while (st == WP_H1_MORE && evbuffer_get_length(in)) {
        bool in_head = !h->has_head;
        st = in_head ? feed_head(h, in) : feed_body(h, in);
        if (in_head && !h->has_head)
            break;
    }
    return st;
}

bool wp_h1_takes_chunks(const WPH1 *h)
{
    return h->parser.http_major > 1 ||
           (h->parser.http_major == 1 && h->parser.http_minor > 0);
}

WPH1State wp_h1_eof(WPH1 *h)
{
    if (h->complete)
        return WP_H1_COMPLETE;
    http_parser_execute(&h->parser, &settings, NULL, 0);
    return h->complete ? WP_H1_COMPLETE : WP_H1_ERROR;
}

bool wp_field_has_name(const WPField *f, const char *name)
{
    size_t n = strlen(name);
    return f->name.n == n && !g_ascii_strncasecmp(f->name.p, name, n);
}

bool wp_field_is_one_of(const WPField *f, const char *const *names, size_t n)
{
    for (size_t i = 0; i < n; i++)
        if (wp_field_has_name(f, names[i]))
            return true;
    return false;
}

WPStr wp_head_get(const WPHead *h, const char *name, unsigned *n)
{
    WPStr found = wp_str("");
    unsigned count = 0;
    for (size_t i = 0; i < h->n_fields; i++) {
        if (!wp_field_has_name(&h->fields[i], name))
            continue;
        if (!count++)
            found = h->fields[i].value;
    }
    if (n)
        *n = count;
    return found;
}

/* Whether the Connection field lists this field. */
static bool is_in_connection_field(const WPHead *h, const WPField *f)
{
    for (size_t i = 0; i < h->n_fields; i++) {
        if (!wp_field_has_name(&h->fields[i], "Connection"))
            continue;
        WPStr rest = h->fields[i].value;
        while (rest.n) {
            WPStr word = wp_str_trim(wp_str_cut(&rest, ','));
            if (word.n == f->name.n &&
                !g_ascii_strncasecmp(word.p, f->name.p, word.n))
                return true;
        }
    }
    return false;
}

bool wp_field_is_hop_by_hop(const WPHead *h, const WPField *f)
{
    static const char *const names[] = {
        "Connection", "Keep-Alive",         "Transfer-Encoding",
        "Upgrade",    "Proxy-Connection",   "Proxy-Authorization",
        "TE",         "Proxy-Authenticate", "Trailer",
        "Expect",     "Content-Length"
    };
    return wp_field_is_one_of(f, names, WP_COUNT(names)) ||
           is_in_connection_field(h, f);
}
