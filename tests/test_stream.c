/* Event streams that are forwarded event by event, and the strictness of the
 * HTTP/1.1 parser. */
#include "test.h"
#include "wp_h1.h"
#include "wp_stream.h"

static char *feed(WPStream *s, const char *text, bool *in_order)
{
    g_autoptr(GByteArray) out = g_byte_array_new();
    WPStreamStatus status = wp_stream_feed(s, text, strlen(text), out);
    if (in_order)
        *in_order = status == WP_STREAM_OK;
    return g_strndup(out->len ? (char *)out->data : "", out->len);
}

static void only_complete_events_are_forwarded(void **state)
{
    WPStream s;
    (void)state;
    wp_stream_init(&s);
    g_autofree char *a = feed(&s, "id: 1\ndata: x\n\nid: 2\nda", NULL);
    assert_string_equal(a, "id: 1\ndata: x\n\n");
    assert_false(wp_stream_at_event_boundary(&s));
    g_autofree char *b = feed(&s, "ta: y\n\n", NULL);
    assert_string_equal(b, "id: 2\ndata: y\n\n");
    assert_true(wp_stream_at_event_boundary(&s));
    assert_int_equal(s.last_id, 2);
    wp_stream_end(&s);
}

/* Wherever a stream breaks off, resuming it at another endpoint gives the
   caller each event once and in order. */
static void a_resumed_stream_has_each_event_once(void **state)
{
    const char *all = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                      "id: 3\ndata: c\n\n";
    const char *rest[] = { all, strstr(all, "id: 2"), strstr(all, "id: 3"),
                           "" };
    (void)state;
    for (size_t cut = 0; cut <= strlen(all); cut++) {
        WPStream s;
        wp_stream_init(&s);
        g_autofree char *head = g_strndup(all, cut);
        g_autofree char *a = feed(&s, head, NULL);
        wp_stream_discard_partial(&s);
        g_autofree char *b =
            feed(&s, rest[s.has_last_id ? s.last_id : 0], NULL);
        g_autofree char *both = g_strconcat(a, b, NULL);
        assert_string_equal(both, all);
        wp_stream_end(&s);
    }
}

static void repeated_events_are_dropped_and_gaps_found(void **state)
{
    WPStream s;
    bool ok;
    (void)state;
    wp_stream_init(&s);
    wp_stream_set_last_id(&s, 4);
    g_autofree char *a = feed(&s, "id: 4\ndata: a\n\nid: 5\ndata: b\n\n", &ok);
    assert_true(ok);
    assert_string_equal(a, "id: 5\ndata: b\n\n");
    g_autofree char *b = feed(&s, "id: 7\ndata: d\n\n", &ok);
    assert_false(ok);
    assert_string_equal(b, "");
    wp_stream_end(&s);
}

/* Feeds `piece` until the stream is broken; returns how many bytes that took, 0
   for over 4 MiB. */
static size_t bytes_until_broken(const char *piece)
{
    enum { MAX_BYTES = 4 << 20 };
    WPStream s;
    g_autoptr(GByteArray) out = g_byte_array_new();
    size_t n = 0, partial = 0;
    WPStreamStatus status = WP_STREAM_OK;
    wp_stream_init(&s);
    while (status == WP_STREAM_OK && n < MAX_BYTES) {
        status = wp_stream_feed(&s, piece, strlen(piece), out);
        n += strlen(piece);
        partial = MAX(partial, s.partial->len);
    }
    wp_stream_end(&s);
    assert_true(partial <= WP_STREAM_QUIET_MAX_BYTES + strlen(piece));
    return status == WP_STREAM_ENDLESS ? n : 0;
}

/* Guards against an endpoint that sends an event, comments or an old event
   without end, which filled the memory or occupied the caller for good. */
static void a_stream_without_new_events_is_broken(void **state)
{
    static const char *const endless[] = { "data: xxxxxxxxxxxxxxx",
                                           "data: xxxxxxxx\n", ": comment\n\n",
                                           "event: ping\n\n", "\n\n" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(endless); i++)
        assert_in_range(bytes_until_broken(endless[i]), 1,
                        WP_STREAM_QUIET_MAX_BYTES + 32);
    assert_int_equal(bytes_until_broken("data: x\n\n: comment\n\n"), 0);
    WPStream s;
    bool ok = true;
    wp_stream_init(&s);
    for (size_t n = 0; ok && n <= WP_STREAM_QUIET_MAX_BYTES + 28; n += 14) {
        g_autofree char *a = feed(&s, "id: 1\ndata:a\n\n", &ok);
    }
    assert_false(ok);
    wp_stream_end(&s);
}

/* Guards against a search of an incomplete event from its start at each read.
 */
static void an_event_in_many_pieces_is_found_wherever_it_ends(void **state)
{
    static const char *const texts[] = { "data: a\n\ndata: b\r\n\r\n",
                                         "data: a\r\n\ndata: b\n\r\n" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(texts); i++) {
        WPStream s;
        g_autoptr(GByteArray) out = g_byte_array_new();
        wp_stream_init(&s);
        for (const char *p = texts[i]; *p; p++) {
            wp_stream_feed(&s, p, 1, out);
            assert_true(s.scanned + 2 >= s.partial->len);
        }
        assert_int_equal(out->len, strlen(texts[i]));
        assert_int_equal(s.events, 2);
        wp_stream_end(&s);
    }
}

/* Whether the text is one whole and valid head. */
static bool is_valid(bool request, const char *head, size_t n)
{
    WPHeadCheck c = { .is_request = request };
    return wp_head_check(&c, wp_strn(head, n)) == WP_HEAD_WHOLE &&
           c.line_at == n;
}

static bool is_strict(const char *head)
{
    return is_valid(true, head, strlen(head));
}

static void ambiguous_heads_are_rejected(void **state)
{
    (void)state;
    assert_true(is_strict("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    assert_false(is_strict("GET / HTTP/1.1\nHost: a\r\n\r\n"));
    assert_false(is_strict("GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n"));
    assert_false(is_strict("GET / HTTP/1.1\r\nA: b\rC: d\r\n\r\n"));
    assert_false(is_strict("\r\nGET / HTTP/1.1\r\n\r\n"));
    assert_true(is_strict("GET / HTTP/1.1\r\nHost: a\r\nA: b\tc\r\n\r\n"));
    assert_true(is_strict("GET /\xc3\xa9 HTTP/1.1\r\nA!-_1:\r\n\r\n"));
    assert_false(is_strict("GET / HTTP/1.1\r\n: a\r\n\r\n"));
    assert_false(is_strict("GET / HTTP/1.1\r\nHost\r\n\r\n"));
    assert_false(is_strict("GET / HTTP/1.1\r\nA: b\vc\r\n\r\n"));
    assert_false(is_strict("GET /\ta HTTP/1.1\r\nHost: a\r\n\r\n"));
    assert_false(is_strict("GET /\fa HTTP/1.1\r\nHost: a\r\n\r\n"));
    assert_false(is_strict("GET / HTTP/1.1\r\n"));
    assert_false(is_valid(true, "GET /\0 HTTP/1.1\r\n\r\n", 19));
}

/* Result of parsing an answer. */
typedef struct Parsed {
    int status;
    bool until_close;
    GString *body;
} Parsed;

static bool on_head(void *arg, const WPHead *h)
{
    Parsed *g = arg;
    g->status = h->status;
    g->until_close = h->until_close;
    return true;
}

static void on_body(void *arg, const char *p, size_t n)
{
    g_string_append_len(((Parsed *)arg)->body, p, (gssize)n);
}

static const WPH1Ops h1_ops = { on_head, on_body };

static WPH1State parse(Parsed *g, const char *text, bool eof, size_t *left)
{
    WPH1 h;
    struct evbuffer *in = evbuffer_new();
    g->body = g_string_new(NULL);
    evbuffer_add(in, text, strlen(text));
    wp_h1_init(&h, false, &h1_ops, g);
    WPH1State st = wp_h1_feed(&h, in);
    if (st == WP_H1_MORE && eof)
        st = wp_h1_eof(&h);
    *left = evbuffer_get_length(in);
    wp_h1_end(&h);
    evbuffer_free(in);
    return st;
}

static void answers_end_where_their_length_says(void **state)
{
    Parsed g;
    size_t left;
    (void)state;
    assert_int_equal(parse(&g,
                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                           "HTTP/1.1 200 OK\r\n",
                           false, &left),
                     WP_H1_COMPLETE);
    assert_string_equal(g.body->str, "ok");
    assert_int_equal(left, strlen("HTTP/1.1 200 OK\r\n"));
    g_string_free(g.body, TRUE);
    /* A truncated answer is an error, even if the connection is closed
       properly. */
    assert_int_equal(parse(&g, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
                           true, &left),
                     WP_H1_ERROR);
    g_string_free(g.body, TRUE);
    assert_int_equal(parse(&g,
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                           "\r\n\r\n2\r\nok\r\n",
                           true, &left),
                     WP_H1_ERROR);
    g_string_free(g.body, TRUE);
    /* An answer without a length ends with the connection. */
    assert_int_equal(parse(&g, "HTTP/1.1 200 OK\r\n\r\nok", true, &left),
                     WP_H1_COMPLETE);
    assert_true(g.until_close);
    g_string_free(g.body, TRUE);
    assert_int_equal(parse(&g, "\001\002 no answer\r\n\r\n", false, &left),
                     WP_H1_ERROR);
    g_string_free(g.body, TRUE);
}

TESTS_MAIN(T(only_complete_events_are_forwarded),
           T(a_resumed_stream_has_each_event_once),
           T(repeated_events_are_dropped_and_gaps_found),
           T(a_stream_without_new_events_is_broken),
           T(an_event_in_many_pieces_is_found_wherever_it_ends),
           T(ambiguous_heads_are_rejected),
           T(answers_end_where_their_length_says))
