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
        wp_stream_begin_run(&s);
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
    wp_stream_set_route(&s, true, false);
    wp_stream_begin_run(&s);
    g_autofree char *a = feed(&s, "id: 4\ndata: a\n\nid: 5\ndata: b\n\n", &ok);
    assert_true(ok);
    assert_string_equal(a, "id: 5\ndata: b\n\n");
    g_autofree char *b = feed(&s, "id: 7\ndata: d\n\n", &ok);
    assert_false(ok);
    assert_string_equal(b, "");
    wp_stream_end(&s);
}

enum { SERIES = 6, ATTEMPTS = 3 };

/* Ids of a sound stream's events, as endpoints may number them. */
static const uint64_t series[][SERIES] = {
    { 1, 2, 3, 4, 5, 6 },       { 0, 1, 2, 3, 4, 5 },
    { 10, 20, 30, 40, 50, 60 }, { 7, 14, 21, 28, 35, 42 },
    { 1, 3, 4, 8, 9, 15 },      { 3, 5, 9, 10, 12, 20 }
};

/* Appends the events after the one with id `last`; all if `last` is below 0. */
static void add_events(GString *out, const uint64_t *ids, int64_t last)
{
    for (unsigned i = 0; i < SERIES; i++)
        if ((int64_t)ids[i] > last)
            g_string_append_printf(out, "id: %lu\ndata: piece %u\n\n",
                                   (gulong)ids[i], i + 1);
}

/* What a caller gets. */
typedef struct Outcome {
    GString *text;
    bool complete;
    unsigned runs;
} Outcome;

/* Serves a stream whose first run is `first` and, if `breaks`, ends without its
   end; endpoints that resume it are sound. */
static Outcome serve(const uint64_t *ids, const char *first, bool breaks,
                     bool resumable, bool irregular)
{
    Outcome o = { .text = g_string_new(NULL) };
    g_autoptr(GByteArray) out = g_byte_array_new();
    WPStream s;
    wp_stream_init(&s);
    wp_stream_set_route(&s, resumable, irregular);
    while (!o.complete && o.runs < (resumable ? ATTEMPTS : 1) &&
           wp_stream_has_place(&s)) {
        g_autoptr(GString) run = g_string_new(o.runs ? NULL : first);
        if (o.runs)
            add_events(run, ids, s.has_last_id ? (int64_t)s.last_id : -1);
        wp_stream_begin_run(&s);
        o.complete =
            wp_stream_feed(&s, run->str, run->len, out) == WP_STREAM_OK &&
            (o.runs || !breaks) && wp_stream_finish(&s, out) == WP_STREAM_OK;
        o.runs++;
    }
    g_string_append_len(o.text, (char *)out->data, out->len);
    wp_stream_end(&s);
    return o;
}

/* Whether each piece is in the text once and in order, up to the last one if
   `all`. */
static bool has_pieces(const char *text, bool all)
{
    unsigned next = 1;
    for (const char *p = text; (p = strstr(p, "data: piece ")); p++)
        if ((unsigned)atoi(p + strlen("data: piece ")) != next++)
            return false;
    return !all || next == SERIES + 1;
}

static void assert_outcome(Outcome *o, bool must_be_complete, const char *what)
{
    if (!has_pieces(o->text->str, o->complete) ||
        (must_be_complete && !o->complete))
        fail_msg("%s, %scomplete after %u runs:\n%s", what,
                 o->complete ? "" : "not ", o->runs, o->text->str);
    g_string_free(o->text, TRUE);
}

/* Guards against sound streams that were cut because their ids have gaps: all
   are served, and resumed wherever they break off. */
static void streams_with_gaps_between_ids_are_cut(void **state)
{
    (void)state;
    for (size_t k = 0; k < WP_COUNT(series); k++) {
        g_autoptr(GString) all = g_string_new(NULL);
        add_events(all, series[k], -1);
        for (int once = 0; once < 2; once++) {
            Outcome o = serve(series[k], all->str, false, !once, false);
            assert_outcome(&o, true, all->str);
        }
        for (size_t cut = 0; cut <= all->len; cut++) {
            g_autofree char *head = g_strndup(all->str, cut);
            Outcome o = serve(series[k], head, true, true, k == 4);
            assert_outcome(&o, true, head);
        }
        Outcome o = serve(series[k], all->str, false, true, true);
        assert_int_equal(o.runs, 1);
        assert_outcome(&o, true, all->str);
    }
}

/* Guards against a stream without ids that began again at another endpoint
   after some of its events. */
static void stream_without_ids_begins_again(void **state)
{
    static const char *const texts[] = { "data: piece 1\n\n",
                                         "id: a\ndata: piece 1\n\n" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(texts); i++) {
        WPStream s;
        wp_stream_init(&s);
        assert_true(wp_stream_has_place(&s));
        g_autofree char *a = feed(&s, ": comment\n\n", NULL);
        assert_true(wp_stream_has_place(&s));
        g_autofree char *b = feed(&s, texts[i], NULL);
        assert_string_equal(b, texts[i]);
        assert_false(wp_stream_has_place(&s));
        wp_stream_end(&s);
    }
}

/* Guards against a spoiled id, or another line of an event, that makes a piece
   come twice or vanish, or a stream look complete: the stream is resumed after
   the last sound event, or broken off. */
static void spoiled_event_repeats_or_drops_a_piece(void **state)
{
    static const char *const lines[] = {
        "id: 0",        "id: 1",     "id: 2",
        "id: 3",        "id: 4",     "id: 5",
        "id: 6",        "id: 7",     "id: 9",
        "id: 10",       "id: 15",    "id: 19",
        "id: 20",       "id: 25",    "id: 30",
        "id: 99",       "hd: 7",     "Id: 7",
        "id : 7",       " id: 7",    "id",
        "id:",          "id: x",     "id: -7",
        "id: 7 ",       "id: 7\r8",  "",
        ": id: 7",      "id:\00177", "id: 99999999999999999999",
        "id: 7\nid: 8",
    };
    (void)state;
    for (size_t k = 0; k < WP_COUNT(series); k++)
        for (unsigned i = 0; i < SERIES * WP_COUNT(lines) * 2; i++) {
            unsigned event = i / 2 % SERIES;
            const char *line = lines[i / 2 / SERIES];
            g_autoptr(GString) run = g_string_new(NULL);
            g_autofree char *sound =
                g_strdup_printf("id: %lu\n", (gulong)series[k][event]);
            g_autofree char *bad = g_strdup_printf("%s\n", line);
            add_events(run, series[k], -1);
            g_string_replace(run, sound, *line ? bad : "", 1);
            Outcome o = serve(series[k], run->str, false, i % 2, k >= 4);
            bool must = i % 2 && k < 1 && event > 1;
            assert_outcome(&o, must, run->str);
        }
}

/* The same for each byte of a stream, replaced by each other one. */
static void spoiled_byte_repeats_or_drops_a_piece(void **state)
{
    (void)state;
    for (size_t k = 0; k < 3; k++) {
        g_autoptr(GString) all = g_string_new(NULL);
        add_events(all, series[k], -1);
        for (size_t at = 0; at < all->len * 255; at++) {
            g_autofree char *run = g_strdup(all->str);
            char *p = run + at / 255;
            *p = (char)(*p + 1 + (int)(at % 255));
            /* Pieces are told apart by their data, so that stays. */
            if (!*p || (p > run + 5 && !strncmp(p - 1, "piece", 5)))
                continue;
            const char *line = p;
            while (line > run && line[-1] != '\n')
                line--;
            const char *was = all->str + (line - run);
            if (!strncmp(was, "data: ", 6) && p >= line + 5 &&
                all->str[p - run] != '\n')
                continue;
            Outcome o = serve(series[k], run, false, true, false);
            assert_outcome(
                &o, k == 0 && p > strstr(all->str, "id: 3") - all->str + run,
                run);
        }
    }
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
           T(streams_with_gaps_between_ids_are_cut),
           T(stream_without_ids_begins_again),
           T(spoiled_event_repeats_or_drops_a_piece),
           T(spoiled_byte_repeats_or_drops_a_piece),
           T(a_stream_without_new_events_is_broken),
           T(an_event_in_many_pieces_is_found_wherever_it_ends),
           T(ambiguous_heads_are_rejected),
           T(answers_end_where_their_length_says))
