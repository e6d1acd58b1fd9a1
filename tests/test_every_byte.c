/* Answers of an endpoint with one byte wrong, through the code that relays
 * them, without sockets: each byte replaced by each other one, dropped and
 * doubled. What the caller is written is the true answer, one that differs only
 * where no check can know, an error of the box, or visibly broken off. */
#define _GNU_SOURCE
#include "pf.h"
#include "pf_names.h"
#include "sync_fake.h"
#include "wp_net.h"

#include <event2/bufferevent.h>

#include <stdlib.h>
#include <string.h>

#define ID "q1"
#define FIELDS PF_H_REQUEST_ID ": " ID "\r\n" PF_H_SEAL ": seal\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define OK "HTTP/1.1 200 OK\r\n" FIELDS
#define LAST_CHUNK "0\r\n\r\n"
#define PIECE(n) "id: " n "\ndata: piece " n "\n\n"
#define TWO_PIECES(a, b) "2a\r\n" PIECE(a) PIECE(b) "\r\n"

enum {
    PIECES = 6,
    TURNS_MAX = 60,    /* of the event loop, for a case */
    CASES_A_BOX = 400, /* after which it is made anew, with a fresh memory */
    SAMPLE = 4,        /* one in so many replaced bytes is played by default */
    VALUES = 256       /* 255 others, and 0: dropped; twice 0: doubled */
};

/* What an endpoint answers, after which it ends the connection. NULL: a sound
   stream, after the event that the request names. */
typedef struct Answer {
    const char *text;
    size_t n;
    enum { CLOSES, RESETS, STALLS } end; /* what it does after it */
} Answer;

static const char plain[] = OK "Content-Length: 11\r\n\r\nhello world";
static const char chunked[] =
    OK CHUNKED "6\r\nhello \r\n5;a=b\r\nworld\r\n0\r\nX-T: v\r\n\r\n";
static const char stream[] = OK EVENTS CHUNKED TWO_PIECES("1", "2")
    TWO_PIECES("3", "4") TWO_PIECES("5", "6") LAST_CHUNK;
static const char first_part[] = OK EVENTS CHUNKED TWO_PIECES("1", "2");
static const char rest[] =
    OK EVENTS CHUNKED TWO_PIECES("3", "4") TWO_PIECES("5", "6") LAST_CHUNK;

typedef struct Rig {
    SyncFixture fixture;
    WPPlatformOps platform;
    struct bufferevent *endpoint; /* of the last connection to one */
    bool is_new;
    unsigned cases;
} Rig;

/* The connections that the box opens, in place of sockets. */
static Rig *connecting;

/* Ends the endpoint's connection, as one end of a pair does not see that the
   other one is freed. */
static void end_connection(Rig *r)
{
    if (!r->endpoint)
        return;
    if (bufferevent_pair_get_partner(r->endpoint))
        bufferevent_flush(r->endpoint, EV_WRITE, BEV_FINISHED);
    bufferevent_free(r->endpoint);
    r->endpoint = NULL;
}

void wp_net_options(int fd, uint32_t dead_ms)
{
    (void)fd;
    (void)dead_ms;
}

struct bufferevent *wp_net_connect(struct event_base *base, const char *from,
                                   const char *addr, uint32_t dead_ms)
{
    struct bufferevent *pair[2];
    (void)from;
    (void)addr;
    (void)dead_ms;
    assert_int_equal(bufferevent_pair_new(base, 0, pair), 0);
    end_connection(connecting);
    connecting->endpoint = pair[1];
    connecting->is_new = true;
    bufferevent_enable(pair[1], EV_READ | EV_WRITE);
    return pair[0];
}

static void rig_init(Rig *r)
{
    static const WPUpstreamRules rules = { 60000, 60000, 60000 };
    static const WPRouteLimits limits = { 16 << 10, 4 << 20, 60000, 60000 };
    GError *error = NULL;
    memset(r, 0, sizeof(*r));
    sync_fixture_init(&r->fixture);
    WPDirectHost *h = &r->fixture.host;
    h->direct.rules.retry_budget.ratio = 100;
    r->platform = pf_ops;
    r->platform.decode_store_entry = decode_entry;
    r->platform.release_store_entry = release_entry;
    h->platform = &r->platform;
    g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", free_port());
    h->downstream =
        wp_downstream_new(h->base, addr, &wp_relay_downstream_ops, h, &error);
    assert_non_null(h->downstream);
    wp_downstream_set_limits(h->downstream, &limits);
    h->upstream =
        wp_upstream_new(h->base, "127.0.0.1", &rules, &wp_relay_upstream_ops);
    connecting = r;
}

static void rig_end(Rig *r)
{
    WPDirectHost *h = &r->fixture.host;
    wp_downstream_free(h->downstream);
    wp_upstream_free(h->upstream);
    if (r->endpoint)
        bufferevent_free(r->endpoint);
    sync_fixture_end(&r->fixture);
}

static void turn(Rig *r)
{
    event_base_loop(r->fixture.host.base, EVLOOP_NONBLOCK);
}

static void add_sound_stream(struct evbuffer *request, struct evbuffer *out)
{
    size_t n = evbuffer_get_length(request);
    g_autofree char *text = g_strndup((char *)evbuffer_pullup(request, -1), n);
    const char *after = strstr(text, PF_H_AFTER_EVENT ": ");
    int last = after ? atoi(after + strlen(PF_H_AFTER_EVENT ": ")) : 0;
    evbuffer_add_printf(out, OK EVENTS CHUNKED);
    for (int i = last + 1; i <= PIECES; i++)
        evbuffer_add_printf(out, "15\r\nid: %d\ndata: piece %d\n\n\r\n", i, i);
    evbuffer_add_printf(out, LAST_CHUNK);
}

#define HEAD_FIELDS                                                            \
    "([-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\\r\\n)*"     \
    "\\r\\n"

/* Whether the text begins with such a head. `regex` keeps the compiled grammar
   of RFC 9112, which is told by other means than those of the box. */
static bool matches(GRegex **regex, const char *grammar, const char *text)
{
    if (!*regex)
        *regex = g_regex_new(grammar, G_REGEX_RAW | G_REGEX_OPTIMIZE, 0, NULL);
    return g_regex_match(*regex, text, 0, NULL);
}

/* Returns what is wrong with the bytes that an endpoint got, which have to be
   one request with a length; NULL: nothing. */
static const char *request_fault(const char *text, size_t n)
{
    static GRegex *regex;
    static const char field[] = "\r\nContent-Length: ";
    const char *end = strstr(text, "\r\n\r\n");
    const char *length = strcasestr(text, field);
    if (!matches(
            &regex,
            "^[-0-9A-Za-z]+ /[^\\x00- \\x7f]* HTTP/1\\.1\\r\\n" HEAD_FIELDS,
            text))
        return "no head of HTTP";
    if (strcasestr(text, "\r\nTransfer-Encoding:"))
        return "transfer encoding";
    size_t body =
        length && length < end ? (size_t)atoi(length + strlen(field)) : 0;
    return n == (size_t)(end - text) + 4 + body ? NULL : "wrong length";
}

static void check_request(struct evbuffer *in)
{
    size_t n = evbuffer_get_length(in);
    g_autofree char *text = g_strndup((char *)evbuffer_pullup(in, -1), n);
    const char *why = request_fault(text, n);
    if (why)
        fail_msg("%s; the endpoint got:\n%s", why, text);
}

/* The endpoint has got a request: writes the attempt's answer and ends the
   connection. Returns whether there was one. */
static bool answer_attempt(Rig *r, const Answer *answers, unsigned attempt)
{
    struct evbuffer *in =
        r->endpoint ? bufferevent_get_input(r->endpoint) : NULL;
    struct evbuffer *sent;
    if (r->is_new)
        bufferevent_trigger_event(bufferevent_pair_get_partner(r->endpoint),
                                  BEV_EVENT_CONNECTED, 0);
    r->is_new = false;
    if (!in || !evbuffer_get_length(in))
        return false;
    check_request(in);
    sent = bufferevent_get_output(r->endpoint);
    if (!answers[attempt].text)
        add_sound_stream(in, sent);
    evbuffer_drain(in, evbuffer_get_length(in));
    if (answers[attempt].text)
        evbuffer_add(sent, answers[attempt].text, answers[attempt].n);
    for (int i = 0; i < 3; i++)
        turn(r);
    struct bufferevent *box = r->endpoint && !r->is_new
                                  ? bufferevent_pair_get_partner(r->endpoint)
                                  : NULL;
    if (box && answers[attempt].end == RESETS)
        bufferevent_trigger_event(box, BEV_EVENT_READING | BEV_EVENT_ERROR, 0);
    else if (box && answers[attempt].end == CLOSES)
        bufferevent_flush(r->endpoint, EV_WRITE, BEV_FINISHED);
    return true;
}

/* What a caller has got. */
typedef struct Seen {
    GByteArray *text;
    bool closed;
} Seen;

static bool h1_head(void *arg, const WPHead *h)
{
    (void)arg;
    (void)h;
    return true;
}

static void h1_body(void *arg, const char *p, size_t n)
{
    g_string_append_len(arg, p, (gssize)n);
}

static const WPH1Ops h1_ops = { h1_head, h1_body };

/* Parses what the caller got, strictly. Returns its state; `left` gets the
   bytes after the answer, `status` its status. */
static WPH1State parse_seen(const Seen *seen, GString *body, int *status,
                            size_t *left, const char **fault)
{
    WPH1 h;
    struct evbuffer *in = evbuffer_new();
    wp_h1_init(&h, false, &h1_ops, body);
    evbuffer_add(in, seen->text->data, seen->text->len);
    WPH1State st = wp_h1_feed(&h, in);
    *status = h.has_head ? (int)h.parser.status_code : 0;
    *left = evbuffer_get_length(in);
    *fault = h.fault;
    wp_h1_end(&h);
    evbuffer_free(in);
    return st;
}

/* Plays one request, whose bytes are `request`. */
static void play_request(Rig *r, const GString *request, const Answer *answers,
                         unsigned n, Seen *seen)
{
    struct bufferevent *pair[2];
    struct event_base *base = r->fixture.host.base;
    unsigned attempt = 0;
    assert_int_equal(bufferevent_pair_new(base, 0, pair), 0);
    *seen = (Seen){ g_byte_array_new(), false };
    bufferevent_enable(pair[1], EV_READ | EV_WRITE);
    wp_downstream_add(r->fixture.host.downstream, pair[0]);
    evbuffer_add(bufferevent_get_output(pair[1]), request->str, request->len);
    for (int i = 0; i < TURNS_MAX && !seen->closed; i++) {
        turn(r);
        if (answer_attempt(r, answers, MIN(attempt, n - 1)))
            attempt++;
        seen->closed = !bufferevent_pair_get_partner(pair[1]);
    }
    struct evbuffer *in = bufferevent_get_input(pair[1]);
    size_t length = evbuffer_get_length(in);
    if (length)
        g_byte_array_append(seen->text, evbuffer_pullup(in, -1), (guint)length);
    bufferevent_free(pair[1]);
    for (int i = 0; i < 3; i++)
        turn(r);
}

static GString *new_request(Rig *r, const char *path)
{
    GString *s = g_string_new(NULL);
    g_string_printf(s,
                    "POST %s%u HTTP/1.1\r\nHost: h.example\r\n" PF_H_KEY
                    ": " PF_KEY_SCHEME "key-1\r\n" PF_H_REQUEST_ID ": " ID
                    "\r\nTransfer-Encoding: chunked\r\n"
                    "Connection: close\r\n\r\n2;a=b\r\n{}\r\n0\r\n\r\n",
                    path, r->cases++);
    return s;
}

static void play(Rig *r, const char *path, const Answer *answers, unsigned n,
                 Seen *seen)
{
    g_autoptr(GString) request = new_request(r, path);
    play_request(r, request, answers, n, seen);
}

/* Whether each piece is in the text once and in order, up to the last one if
   `all`. */
static bool has_pieces(const char *text, bool all)
{
    int next = 1;
    for (const char *p = text; (p = strstr(p, "data: piece ")); p++)
        if (atoi(p + strlen("data: piece ")) != next++)
            return false;
    return !all || next == PIECES + 1;
}

/* Where the spoiled byte is, for what no check can know. */
typedef struct Place {
    size_t at, head;      /* its offset, and the length of the head */
    bool in_value;        /* of a field, or in the reason */
    bool in_framing_line; /* of a field that tells the body's length */
    bool in_data;         /* of an event */
} Place;

static Place place_of(const char *text, size_t at)
{
    Place p = { .at = at };
    const char *end = strstr(text, "\r\n\r\n");
    size_t line = at;
    p.head = (size_t)(end - text) + 4;
    while (line && text[line - 1] != '\n')
        line--;
    const char *l = text + line;
    const char *colon = strchr(l, ':');
    p.in_value = at < p.head && (!line || (colon && l + (at - line) > colon));
    p.in_framing_line = at < p.head && (g_str_has_prefix(l, "Content-Length") ||
                                        g_str_has_prefix(l, "Transfer-Enc"));
    p.in_data = at >= p.head && g_str_has_prefix(l, "data: ") &&
                text[at] != '\n' && at > line + 4;
    return p;
}

static bool has_head(const char *text)
{
    static GRegex *regex;
    return matches(&regex,
                   "^HTTP/1\\.1 [1-5][0-9]{2} "
                   "[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\\r\\n" HEAD_FIELDS,
                   text);
}

/* Whether only the parser refuses the answer: http_parser takes a field whose
   name begins with "Transfer-Encoding" for that one, and then no length. */
static bool is_parser_quirk(WPH1State st, const char *fault)
{
    return st == WP_H1_ERROR &&
           !strcmp(fault,
                   http_errno_description(HPE_UNEXPECTED_CONTENT_LENGTH));
}

typedef struct Tally {
    unsigned cases, whole, own, broken;
} Tally;

static void check(const Seen *seen, const Place *p, bool is_stream, Tally *t,
                  const char *spoiled)
{
    g_autoptr(GString) body = g_string_new(NULL);
    int status;
    size_t left;
    const char *fault;
    WPH1State st = parse_seen(seen, body, &status, &left, &fault);
    const char *why = NULL;
    t->cases++;
    g_byte_array_append(seen->text, (const guint8 *)"", 1);
    seen->text->len--;
    if (!has_head((const char *)seen->text->data))
        why = "no head of HTTP";
    else if (st == WP_H1_ERROR)
        why = is_parser_quirk(st, fault) ? NULL : fault;
    else if (left)
        why = "bytes after the answer";
    else if (!seen->closed)
        why = "no end";
    else if (st == WP_H1_MORE && is_stream && !has_pieces(body->str, false))
        why = "wrong pieces before the break";
    else if (st == WP_H1_COMPLETE && status == 200 && is_stream &&
             !p->in_data && !p->in_framing_line && !has_pieces(body->str, true))
        why = "wrong pieces";
    else if (st == WP_H1_COMPLETE && status == 200 && !is_stream &&
             strcmp(body->str, "hello world") && !p->in_framing_line &&
             (p->at + 1 < p->head || body->len != strlen("hello world")))
        why = "wrong body";
    else if (st == WP_H1_COMPLETE && status != 200 && status < 500 &&
             p->at > strlen("HTTP/1.1 200"))
        why = "wrong status";
    t->whole += st == WP_H1_COMPLETE && status == 200;
    t->own += st == WP_H1_COMPLETE && status >= 500;
    t->broken += st == WP_H1_MORE;
    if (why)
        fail_msg("%s, byte %zu of:\n%s\n--- the caller got:\n%.*s", why, p->at,
                 spoiled, (int)seen->text->len, (char *)seen->text->data);
}

/* Plays all wrong bytes of `text`. With `before`, that is the first attempt's
   answer, and `text` is of the second. */
static void play_all(const char *path, const char *before, const char *text,
                     const char *sound, bool is_stream)
{
    size_t n = strlen(text), sound_n = sound ? strlen(sound) : 0;
    Rig *r = g_new0(Rig, 1);
    Tally t = { 0 };
    unsigned step = g_getenv("WP_ALL_BYTES") ? 1 : SAMPLE;
    rig_init(r);
    for (size_t at = 0; at < n; at++) {
        const Place place = place_of(text, at);
        for (unsigned v = 0; v <= VALUES; v++) {
            bool drops = v == 0, doubles = v == VALUES;
            if (!drops && !doubles && (v + at) % step)
                continue;
            g_autoptr(GString) s = g_string_new_len(text, (gssize)n);
            if (drops)
                g_string_erase(s, (gssize)at, 1);
            else if (doubles)
                g_string_insert_c(s, (gssize)at, text[at]);
            else
                s->str[at] = (char)(text[at] + v);
            const Answer answers[] = {
                { before ? before : s->str, before ? strlen(before) : s->len,
                  CLOSES },
                { before ? s->str : sound, before ? s->len : sound_n, CLOSES },
                { sound, sound_n, CLOSES },
            };
            Seen seen;
            play(r, path, answers, WP_COUNT(answers), &seen);
            check(&seen, &place, is_stream, &t, s->str);
            g_byte_array_unref(seen.text);
            if (r->cases == CASES_A_BOX) {
                rig_end(r);
                rig_init(r);
            }
        }
    }
    rig_end(r);
    g_free(r);
    print_message("%u cases: %u whole, %u errors of the box, %u broken off\n",
                  t.cases, t.whole, t.own, t.broken);
    assert_true(t.whole > t.cases * 9 / 10);
}

static void wrong_byte_of_a_plain_answer(void **state)
{
    (void)state;
    play_all("/safe/", NULL, plain, plain, false);
}

static void wrong_byte_of_a_chunked_answer(void **state)
{
    (void)state;
    play_all("/safe/", NULL, chunked, chunked, false);
}

static void wrong_byte_of_a_stream(void **state)
{
    (void)state;
    play_all("/chat/", NULL, stream, NULL, true);
}

static void wrong_byte_of_a_resumed_stream(void **state)
{
    (void)state;
    play_all("/chat/", first_part, rest, NULL, true);
}

/* What the caller gets of an answer of which the endpoint sent a part has to be
   the whole one, an error of the box, or visibly broken off. */
static void check_cut(Seen *seen, bool is_stream, const char *text, size_t n)
{
    g_autoptr(GString) body = g_string_new(NULL);
    int status;
    size_t left;
    const char *fault, *why = NULL;
    WPH1State st = parse_seen(seen, body, &status, &left, &fault);
    bool whole = is_stream ? has_pieces(body->str, true)
                           : !strcmp(body->str, "hello world");
    g_byte_array_append(seen->text, (const guint8 *)"", 1);
    if (st == WP_H1_ERROR || left)
        why = "no answer of HTTP";
    else if (st == WP_H1_COMPLETE && status == 200 && !whole)
        why = "a part that looks whole";
    else if (st == WP_H1_COMPLETE && status != 200 && status < 500)
        why = "wrong status";
    else if (is_stream && !has_pieces(body->str, false))
        why = "wrong pieces";
    if (why)
        fail_msg("%s, after %zu bytes of:\n%s\n--- the caller got:\n%s", why, n,
                 text, (char *)seen->text->data);
}

/* Plays an answer that ends after each number of bytes, by a close, a reset or
   a stall, at the first attempt or at all; `before` as in play_all(). */
static void play_cut(const char *path, const char *before, const char *text,
                     size_t most, bool is_stream)
{
    Rig *r = g_new0(Rig, 1);
    rig_init(r);
    for (size_t n = 0; n < most; n++)
        for (int way = 0; way < 6; way++) {
            const Answer cut = { text, n, way % 3 };
            const Answer sound = { is_stream ? NULL : plain, strlen(plain),
                                   CLOSES };
            const Answer next = way >= 3 ? cut : sound;
            const Answer first = { before, before ? strlen(before) : 0,
                                   CLOSES };
            const Answer answers[] = { before ? first : cut,
                                       before ? cut : next, next };
            Seen seen;
            play(r, path, answers, WP_COUNT(answers), &seen);
            check_cut(&seen, is_stream, text, n);
            g_byte_array_unref(seen.text);
        }
    rig_end(r);
    g_free(r);
}

static void part_of_an_answer_looks_whole(void **state)
{
    static const char unframed[] = OK "\r\nhello world";
    (void)state;
    play_cut("/safe/", NULL, plain, strlen(plain), false);
    play_cut("/safe/", NULL, chunked, strlen(chunked), false);
    /* Without a length the connection's end is the answer's: of the head only
       a part is no answer. */
    play_cut("/safe/", NULL, unframed, strlen(OK) + 2, false);
}

static void part_of_a_stream_looks_whole(void **state)
{
    static const char unframed[] = OK EVENTS "\r\n" PIECE("1");
    (void)state;
    play_cut("/chat/", NULL, stream, strlen(stream), true);
    play_cut("/chat/", NULL, unframed, strlen(OK EVENTS) + 2, true);
}

static void part_of_a_resumed_stream_looks_whole(void **state)
{
    (void)state;
    play_cut("/chat/", first_part, rest, strlen(rest), true);
}

/* What bytes are spoiled of, the review's cases among them. */
static const char *const seeds[] = {
    plain,
    chunked,
    stream,
    first_part,
    rest,
    "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 2\r\n\r\nok",
    "HTTP/1.1 204 No Content\r\n" FIELDS "\r\n",
    "HTTP/1.0 200 OK\r\n" FIELDS EVENTS "\r\n" PIECE("1") PIECE("2"),
    OK EVENTS CHUNKED TWO_PIECES("10", "20") LAST_CHUNK,
    "HTTP/1.1 20 OK\r\n" FIELDS "Content-Length: 5\r\n\r\nhello",
    OK "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 400 Bad Request\r\n" FIELDS "Content-Length: 2\r\n\r\nno",
    "HTTP/1.1 503 Full\r\n" PF_H_NOT_RUN ": 1\r\nRetry-After: 0.01\r\n" FIELDS
    "Content-Length: 0\r\n\r\n",
    OK EVENTS CHUNKED "2a\r\n" PIECE("5") "hd: 6\ndata: piece 6\n\n\r\n",
    "2;\rx\r\n{}\r\n0\r\n\r\nPOST /safe/ HTTP/1.1\r\n\r\n",
    "Content-Length: 2\r\n\r\n{}",
};

static const char *random_seed(GRand *rand)
{
    return seeds[g_rand_int_range(rand, 0, WP_COUNT(seeds))];
}

/* Inserts a part of a seed. */
static void splice(GString *s, gssize at, GRand *rand)
{
    const char *seed = random_seed(rand);
    gint32 n = (gint32)strlen(seed);
    gint32 from = g_rand_int_range(rand, 0, n);
    g_string_insert_len(s, at, seed + from,
                        g_rand_int_range(rand, 0, n - from + 1));
}

static void spoil(GString *s, GRand *rand)
{
    static const char bytes[] = "\0\r\n :;,\t0129afidATx\x7f\xff-+.{";
    int n = g_rand_int_range(rand, 1, 5);
    for (int i = 0; i < n && s->len; i++) {
        gssize at = g_rand_int_range(rand, 0, (gint32)s->len);
        char byte = bytes[g_rand_int_range(rand, 0, sizeof(bytes) - 1)];
        switch (g_rand_int_range(rand, 0, 8)) {
        case 3:
            splice(s, at, rand);
            break;
        case 0:
            g_string_erase(s, at, 1);
            break;
        case 1:
            g_string_insert_c(s, at, byte);
            break;
        case 2:
            g_string_truncate(s, (gsize)at);
            break;
        default:
            s->str[at] = byte;
        }
    }
}

/* Returns what is wrong with all that the caller has got, whatever the others
   have sent; NULL: nothing. */
static const char *seen_fault(Seen *seen, bool one_request)
{
    g_autoptr(GString) body = g_string_new(NULL);
    int status;
    size_t left;
    const char *fault = NULL;
    if (!seen->text->len)
        return NULL;
    g_byte_array_append(seen->text, (const guint8 *)"", 1);
    seen->text->len--;
    if (!has_head((const char *)seen->text->data))
        return "no head of HTTP";
    WPH1State st = parse_seen(seen, body, &status, &left, &fault);
    if (is_parser_quirk(st, fault))
        return NULL;
    return left && one_request && st != WP_H1_ERROR ? "bytes after the answer"
                                                    : fault;
}

/* Several wrong bytes at once, in requests and answers, from a seed: what the
   caller gets is HTTP, and the process goes on. WP_SEED, WP_CASES: other runs,
   by hand. */
static void several_wrong_bytes_in_both_directions(void **state)
{
    const char *seed = g_getenv("WP_SEED"), *cases = g_getenv("WP_CASES");
    g_autoptr(GRand) rand = g_rand_new_with_seed(seed ? atoi(seed) : 1);
    Rig *r = g_new0(Rig, 1);
    (void)state;
    rig_init(r);
    for (int n = cases ? atoi(cases) : 20000; n; n--) {
        bool streams = g_rand_boolean(rand);
        g_autoptr(GString) request =
            new_request(r, streams ? "/chat/" : "/safe/");
        GString *text[2];
        for (int i = 0; i < 2; i++) {
            text[i] = g_string_new(random_seed(rand));
            spoil(text[i], rand);
        }
        bool sound_request = g_rand_int_range(rand, 0, 4) > 0;
        if (!sound_request)
            spoil(request, rand);
        const Answer all[] = { { text[0]->str, text[0]->len, CLOSES },
                               { text[1]->str, text[1]->len, CLOSES },
                               { NULL, 0, CLOSES } };
        Seen seen;
        play_request(r, request, all, WP_COUNT(all), &seen);
        const char *why = seen_fault(&seen, sound_request);
        if (why)
            fail_msg("%s; request:\n%s\nanswers:\n%s\n---\n%s\n---\n%s", why,
                     request->str, text[0]->str, text[1]->str,
                     (char *)seen.text->data);
        g_byte_array_unref(seen.text);
        g_string_free(text[0], TRUE);
        g_string_free(text[1], TRUE);
        if (r->cases >= CASES_A_BOX) {
            rig_end(r);
            rig_init(r);
        }
    }
    rig_end(r);
    g_free(r);
}

TESTS_MAIN(T(part_of_an_answer_looks_whole), T(part_of_a_stream_looks_whole),
           T(part_of_a_resumed_stream_looks_whole),
           T(several_wrong_bytes_in_both_directions),
           T(wrong_byte_of_a_plain_answer), T(wrong_byte_of_a_chunked_answer),
           T(wrong_byte_of_a_stream), T(wrong_byte_of_a_resumed_stream))
