/* Framing of messages in both directions: every message ends where each parser
 * on its way takes it to end. */
#include "free_port.h"
#include "test.h"
#include "wp_downstream.h"
#include "wp_h1.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_HEAD                                                           \
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
#define ANSWER_HEAD "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static bool on_h1_head(void *arg, const WPHead *h)
{
    (void)arg;
    (void)h;
    return true;
}

static void on_h1_body(void *arg, const char *p, size_t n)
{
    g_string_append_len(arg, p, (gssize)n);
}

static const WPH1Ops h1_ops = { on_h1_head, on_h1_body };

/* Parses `head` and `body`, which arrives in pieces of `step` bytes. The
   decoded body is appended to `out`; `left` gets the bytes after the message.
 */
static WPH1State parse(bool request, WPStr body, size_t step, GString *out,
                       size_t *left)
{
    WPH1 h;
    struct evbuffer *in = evbuffer_new();
    WPStr head = wp_str(request ? REQUEST_HEAD : ANSWER_HEAD);
    WPH1State st = WP_H1_MORE;
    wp_h1_init(&h, request, &h1_ops, out);
    evbuffer_add(in, head.p, head.n);
    for (size_t at = 0; at < body.n && st == WP_H1_MORE; at += step) {
        evbuffer_add(in, body.p + at, MIN(step, body.n - at));
        st = wp_h1_feed(&h, in);
    }
    *left = evbuffer_get_length(in);
    wp_h1_end(&h);
    evbuffer_free(in);
    return st;
}

/* Checks the outcome for both kinds of message, whole and in pieces. */
static void assert_parsed(WPStr body, WPH1State expected, const char *decoded)
{
    static const size_t steps[] = { 1, 2, 3, 7, 4096 };
    for (size_t i = 0; i < WP_COUNT(steps) * 2; i++) {
        size_t left;
        GString *out = g_string_new(NULL);
        WPH1State st = parse(i % 2, body, steps[i / 2], out, &left);
        if (st != expected)
            fail_msg("state %d, not %d: %s", st, expected, body.p);
        if (expected == WP_H1_COMPLETE) {
            assert_string_equal(out->str, decoded);
            assert_int_equal(left, 0);
        }
        g_string_free(out, TRUE);
    }
}

static void well_formed_chunks_are_decoded(void **state)
{
    static const struct {
        const char *body, *decoded;
    } cases[] = {
        { "0\r\n\r\n", "" },
        { "3\r\nabc\r\n0\r\n\r\n", "abc" },
        { "3;a=b\r\nabc\r\n0;c\r\n\r\n", "abc" },
        { "3;a=\"b c\"\r\nabc\r\n0\r\n\r\n", "abc" },
        { "3 ;\ta\r\nabc\r\n2 \r\nde\r\n0 \r\n\r\n", "abcde" },
        { "0A\r\n0\r\n\r\nGET \r\r\n0\r\nA: b\r\nC: d\r\n\r\n",
          "0\r\n\r\nGET \r" },
        { "000003\r\n\r\n\r\r\n00\r\n\r\n", "\r\n\r" },
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++)
        assert_parsed(wp_str(cases[i].body), WP_H1_COMPLETE, cases[i].decoded);
}

/* Guards against chunk framing that two parsers read differently, so that one
   of them finds another message inside a body. */
static void ambiguous_chunk_framing_is_an_error(void **state)
{
    static const char *const bodies[] = {
        "3;a=\"\rbc\"\r\nabc\r\n0\r\n\r\n", /* bare CR in an extension */
        "3;a=\nabc\r\n0\r\n\r\n",           /* bare LF in an extension */
        "3;a=\v\r\nabc\r\n0\r\n\r\n",
        "3;a=\f\r\nabc\r\n0\r\n\r\n",
        "3;a=\x7f\r\nabc\r\n0\r\n\r\n",
        "3\nabc\r\n0\r\n\r\n",  /* LF alone after a size */
        "3\rXabc\r\n0\r\n\r\n", /* CR alone after a size */
        "3 4\r\nabc\r\n0\r\n\r\n",
        "3\r\nabc\rX0\r\n\r\n", /* CR alone after a chunk's data */
        "3\r\nabcX\n0\r\n\r\n",
        "3\r\nabc0\r\n\r\n",
        "3\r\nabc\r\n0\r\r\n", /* CR alone at the last chunk */
        "0\r\nA: b\rC: d\r\n\r\n",
        "0\r\nA: b\n\r\n",
        "0\r\nA: b\r\n c\r\n\r\n",
        "0\r\nA: b\r\n\rX",
        "0\r\n\rX",
        "-3\r\nabc\r\n0\r\n\r\n",
        "+3\r\nabc\r\n0\r\n\r\n",
        "0x3\r\nabc\r\n0\r\n\r\n",
        "\r\n3\r\nabc\r\n0\r\n\r\n",
        ";a\r\n",
        "10000000000000003\r\nabc\r\n0\r\n\r\n",
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(bodies); i++)
        assert_parsed(wp_str(bodies[i]), WP_H1_ERROR, NULL);
    static const char with_nul[] = "3;a=\0\r\nabc\r\n0\r\n\r\n";
    assert_parsed(wp_strn(with_nul, sizeof(with_nul) - 1), WP_H1_ERROR, NULL);
}

/* A listener, and what arrived at it. */
typedef struct World {
    struct event_base *base;
    WPDownstream *downstream;
    GString *targets; /* of all requests, each followed by a space */
    unsigned refused;
} World;

static void on_request(void *arg, WPDownstreamConn *p, const WPHead *h)
{
    World *w = arg;
    g_string_append_len(w->targets, h->target.p, (gssize)h->target.n);
    g_string_append_c(w->targets, ' ');
    if (!wp_str_eq(h->target, wp_str("/stream"))) {
        wp_downstream_send_answer(p, 200, wp_str(""), wp_str("done"));
        return;
    }
    wp_downstream_begin_chunked(p, 200, wp_str(""));
    wp_downstream_send_chunk(p, "done", 4);
    wp_downstream_end_chunked(p);
}

static void on_conn(void *arg, WPDownstreamConn *p)
{
    (void)arg;
    (void)p;
}

static void on_refused(void *arg, WPCode code, const char *detail)
{
    (void)code;
    (void)detail;
    ((World *)arg)->refused++;
}

static const WPDownstreamOps ops = { on_request, on_conn, on_conn, on_refused,
                                     NULL };

enum { LOOP_TURNS = 200 }; /* until all that can be read has been read */

/* Sends `bytes` on a new connection to a new world, and reads up to `n` bytes
   of what it answers into `answer`, unless that is NULL. */
static void exchange_with_world(World *w, WPStr bytes, char *answer, size_t n)
{
    static const WPRouteLimits limits = { 16 << 10, 4 << 20, 5000, 30000 };
    GError *error = NULL;
    uint16_t port = free_port();
    struct sockaddr_in sa = { .sin_family = AF_INET,
                              .sin_port = htons(port),
                              .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
    *w = (World){ .base = event_base_new(), .targets = g_string_new(NULL) };
    g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", port);
    w->downstream = wp_downstream_new(w->base, addr, &ops, w, &error);
    assert_non_null(w->downstream);
    wp_downstream_set_limits(w->downstream, &limits);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
    assert_int_equal(write(fd, bytes.p, bytes.n), bytes.n);
    for (int i = 0; i < LOOP_TURNS; i++)
        event_base_loop(w->base, EVLOOP_NONBLOCK);
    if (answer)
        assert_true(recv(fd, answer, n, MSG_DONTWAIT) > 0);
    close(fd);
}

static void send_to_world(World *w, WPStr bytes)
{
    exchange_with_world(w, bytes, NULL, 0);
}

static void close_world(World *w)
{
    wp_downstream_free(w->downstream);
    event_base_free(w->base);
    g_string_free(w->targets, TRUE);
}

/* Guards against a bare CR in a chunk extension that ends the chunk-size line,
   so that the text of a request within a body is run as a request. */
static void a_request_hidden_in_a_chunked_body_is_not_run(void **state)
{
    static const char inner[] = "POST /inner HTTP/1.1\r\nHost: a\r\n"
                                "Content-Length: 0\r\n\r\n";
    World w;
    (void)state;
    size_t n = strlen(inner) + 2;
    g_autofree char *fill = g_strnfill(n, 'f');
    g_autofree char *text = g_strdup_printf(
        REQUEST_HEAD "%zx;a=\"\rX%s--0;\"\r\n\r\n%s\r\n0\r\n\r\n", n, fill,
        inner);
    send_to_world(&w, wp_str(text));
    assert_string_equal(w.targets->str, "");
    assert_int_equal(w.refused, 1);
    close_world(&w);
}

/* Guards against a field name with white space that one parser takes for a
   framing field and the next one for an unknown field. */
static void a_field_name_with_a_space_is_refused(void **state)
{
    static const char *const heads[] = {
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n"
        "0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length : 0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nX-A B: c\r\nContent-Length: 0\r\n"
        "\r\n",
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(heads); i++) {
        World w;
        send_to_world(&w, wp_str(heads[i]));
        assert_string_equal(w.targets->str, "");
        assert_int_equal(w.refused, 1);
        close_world(&w);
    }
}

/* Guards against chunk sizes in the answer to a caller of HTTP/1.0, which does
   not know them. */
static void a_caller_of_http_1_0_gets_chunks(void **state)
{
    static const char *const heads[] = {
        "GET /stream HTTP/1.0\r\nHost: a\r\n\r\n",
        "GET /stream HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n",
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(heads); i++) {
        World w;
        char answer[512] = "";
        exchange_with_world(&w, wp_str(heads[i]), answer, sizeof(answer) - 1);
        assert_non_null(strstr(answer, "\r\n\r\ndone"));
        assert_null(strstr(answer, "chunked"));
        assert_true(g_str_has_suffix(answer, "done"));
        assert_int_equal(wp_downstream_connection_count(w.downstream), 0);
        close_world(&w);
    }
}

/* Guards against a caller that waits for leave to send its body, in vain. */
static void a_caller_that_expects_to_be_told_to_go_on_waits(void **state)
{
    World w;
    char answer[512] = "";
    (void)state;
    exchange_with_world(&w,
                        wp_str("POST /x HTTP/1.1\r\nHost: a\r\n"
                               "Expect: 100-continue\r\n"
                               "Content-Length: 9\r\n\r\n"),
                        answer, sizeof(answer) - 1);
    assert_string_equal(answer, "HTTP/1.1 100 Continue\r\n\r\n");
    assert_string_equal(w.targets->str, "");
    close_world(&w);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(well_formed_chunks_are_decoded),
        cmocka_unit_test(ambiguous_chunk_framing_is_an_error),
        cmocka_unit_test(a_request_hidden_in_a_chunked_body_is_not_run),
        cmocka_unit_test(a_field_name_with_a_space_is_refused),
        cmocka_unit_test(a_caller_of_http_1_0_gets_chunks),
        cmocka_unit_test(a_caller_that_expects_to_be_told_to_go_on_waits),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
