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
    bool bodiless = p->status_code / 100 == 1 || p->status_code == 204 ||
                    p->status_code == 304;
    return p->type == HTTP_RESPONSE && !bodiless && !(p->flags & F_CHUNKED) &&
           p->content_length == UINT64_MAX;
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
    if (!h->ops->head(h->arg, &head))
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
    g_byte_array_set_size(h->text, 0);
    g_array_set_size(h->spans, 0);
    g_array_set_size(h->fields, 0);
    h->target_length = 0;
    h->in_value = false;
    h->has_head = false;
    h->complete = false;
    h->chunked = false;
    h->head_paused = false;
    h->framing = (WPChunked){ 0 };
}

/* Checks the next bytes and returns how many of them the parser may get; 0 if
   the framing of a chunked body is not valid. */
static size_t check_next(WPH1 *h, const char *p, size_t n)
{
    if (h->head_paused) {
        h->head_paused = false;
        http_parser_pause(&h->parser, 0);
        return 1;
    }
    return !h->chunked || wp_chunked_check(&h->framing, p, n) ? n : 0;
}

WPH1State wp_h1_feed(WPH1 *h, struct evbuffer *in)
{
    while (!h->complete) {
        size_t n = evbuffer_get_contiguous_space(in);
        if (!n)
            return WP_H1_MORE;
        const char *p = (const char *)evbuffer_pullup(in, (ev_ssize_t)n);
        n = check_next(h, p, n);
        if (!n)
            return WP_H1_ERROR;
        size_t n_parsed = http_parser_execute(&h->parser, &settings, p, n);
        enum http_errno e = HTTP_PARSER_ERRNO(&h->parser);
        evbuffer_drain(in, n_parsed);
        if (e != HPE_OK && e != HPE_PAUSED)
            return WP_H1_ERROR;
        if (h->parser.upgrade) /* no protocol switch was requested */
            return WP_H1_ERROR;
    }
    return WP_H1_COMPLETE;
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

size_t wp_h1_head_length(struct evbuffer *in)
{
    struct evbuffer_ptr at = evbuffer_search(in, "\n\r\n", 3, NULL);
    return at.pos < 0 ? 0 : (size_t)at.pos + 3;
}

static bool is_token_byte(char ch)
{
    return g_ascii_isalnum(ch) || (ch && strchr("!#$%&'*+-.^_`|~", ch));
}

/* Whether `line` begins with a field name and a colon. */
static bool is_field_line(WPStr line)
{
    size_t n = 0;
    while (n < line.n && is_token_byte(line.p[n]))
        n++;
    return n && n < line.n && line.p[n] == ':';
}

/* Whether `line` has no control characters, tabs aside if `tabs`. */
static bool is_text(WPStr line, bool tabs)
{
    for (size_t i = 0; i < line.n; i++)
        if (g_ascii_iscntrl(line.p[i]) && !(tabs && line.p[i] == '\t'))
            return false;
    return true;
}

bool wp_h1_head_is_strict(const char *p, size_t n)
{
    WPStr rest = wp_strn(p, n);
    for (size_t i = 0; rest.n; i++) {
        const char *lf = memchr(rest.p, '\n', rest.n);
        size_t line_n = lf ? (size_t)(lf - rest.p) : 0;
        if (!line_n || rest.p[line_n - 1] != '\r')
            return false;
        WPStr line = wp_strn(rest.p, line_n - 1);
        rest = wp_strn(lf + 1, rest.n - line_n - 1);
        if (!line.n) /* the empty line is the last one */
            return i && !rest.n;
        if (!is_text(line, i) || (i && !is_field_line(line)))
            return false;
    }
    return false;
}
