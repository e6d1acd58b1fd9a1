/* Answers of endpoints that break HTTP/1.1: nothing of them reaches a caller,
 * and another endpoint is asked. */
#include "cluster.h"
#include "wp_h1.h"

#define HEAD_OK "HTTP/1.1 200 OK\r\n"

static bool on_head(void *arg, const WPHead *h)
{
    (void)arg;
    (void)h;
    return true;
}

static void on_body(void *arg, const char *p, size_t n)
{
    g_string_append_len(arg, p, (gssize)n);
}

static const WPH1Ops h1_ops = { on_head, on_body };

/* Parses an answer that arrives in pieces of `step` bytes. `body` gets its
   body, `left` the bytes after it. */
static WPH1State parse(WPStr answer, size_t step, GString *body, size_t *left)
{
    WPH1 h;
    struct evbuffer *in = evbuffer_new();
    WPH1State st = WP_H1_MORE;
    wp_h1_init(&h, false, &h1_ops, body);
    for (size_t at = 0; at < answer.n && st == WP_H1_MORE; at += step) {
        evbuffer_add(in, answer.p + at, MIN(step, answer.n - at));
        st = wp_h1_feed(&h, in);
    }
    *left = evbuffer_get_length(in);
    wp_h1_end(&h);
    evbuffer_free(in);
    return st;
}

static void assert_state(WPStr answer, WPH1State expected, size_t step)
{
    g_autoptr(GString) body = g_string_new(NULL);
    size_t left;
    WPH1State st = parse(answer, step, body, &left);
    if (st != expected)
        fail_msg("state %d, not %d, in steps of %zu: %s", st, expected, step,
                 answer.p);
}

/* Guards against heads that a lenient parser takes for an answer and that
   reached callers as they were. */
static void spoiled_heads_of_answers(void **state)
{
    static const char *const heads[] = {
        "HTTP/1.1 20 OK\r\n\r\n",
        "HTTP/1.1 2000 OK\r\n\r\n",
        "HTTP/1.1 000 OK\r\n\r\n",
        "HTTP/1.1 99 OK\r\n\r\n",
        "HTTP/1.1 600 OK\r\n\r\n",
        "HTTP/1.1 +20 OK\r\n\r\n",
        "HTTP/1.1 200OK\r\n\r\n",
        "HTTP/1.1  200 OK\r\n\r\n",
        "HTTP/1.1\t200 OK\r\n\r\n",
        "HTTP/1.1 200\r\n\r\n",
        "HTTP/1.1 200 O\001K\r\n\r\n",
        "HTTP/1.1 200 O\rK\r\n\r\n",
        "HTTP/1.1 200 OK\n\n",
        "HTTP/1.1 200 OK\r\n\n",
        "HTTP/2.0 200 OK\r\n\r\n",
        "HTTP/1.2 200 OK\r\n\r\n",
        "HTTP/11.1 200 OK\r\n\r\n",
        "http/1.1 200 OK\r\n\r\n",
        "\r\nHTTP/1.1 200 OK\r\n\r\n",
        " HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        HEAD_OK "Transfer-Encoding : chunked\r\n\r\n",
        HEAD_OK "Transfer-Encoding: chunked, chunked\r\n\r\n",
        HEAD_OK "Transfer-Encoding: gzip, chunked\r\n\r\n",
        HEAD_OK "Transfer-Encoding: identity\r\n\r\n",
        HEAD_OK "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"
                "\r\n\r\n",
        HEAD_OK "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        HEAD_OK "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        HEAD_OK "Content-Length: 2, 2\r\n\r\nok",
        HEAD_OK "Content-Length: +2\r\n\r\nok",
        HEAD_OK "Content-Length: 0x2\r\n\r\nok",
        HEAD_OK "Content-Length:\r\n\r\n",
        HEAD_OK "Content-Length: 99999999999999999999\r\n\r\n",
        HEAD_OK ": no name\r\n\r\n",
        HEAD_OK "no colon\r\n\r\n",
        HEAD_OK "A b: c\r\n\r\n",
        HEAD_OK "A: b\r\n folded\r\n\r\n",
        HEAD_OK "A: b\nC: d\r\n\r\n",
        HEAD_OK "A: b\rC: d\r\n\r\n",
        HEAD_OK "A: b\x7f"
                "c\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nok",
        HEAD_OK "Transfer-Encoding: chunked\r\n\r\n0\r\nno colon\r\n\r\n",
        HEAD_OK "Transfer-Encoding: chunked\r\n\r\n0\r\n: no name\r\n\r\n",
        HEAD_OK "Transfer-Encoding: chunked\r\n\r\n0\r\nA : b\r\n\r\n",
    };
    static const char with_nul[] = HEAD_OK "A: b\0c\r\n\r\n";
    static const size_t steps[] = { 1, 7, 4096 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(steps); i++) {
        for (size_t k = 0; k < WP_COUNT(heads); k++)
            assert_state(wp_str(heads[k]), WP_H1_ERROR, steps[i]);
        assert_state(wp_strn(with_nul, sizeof(with_nul) - 1), WP_H1_ERROR,
                     steps[i]);
    }
}

static void valid_heads_of_answers_are_taken(void **state)
{
    static const struct {
        const char *answer, *body;
        size_t left;
    } cases[] = {
        { HEAD_OK "Content-Length: 2\r\n\r\nok", "ok", 0 },
        { "HTTP/1.0 200 OK\r\nContent-Length: \t2 \r\n\r\nok", "ok", 0 },
        { "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "ok", 0 },
        { "HTTP/1.1 599 \xc3\xa9\tx\r\nA!:\r\nContent-Length: 0\r\n\r\n", "",
          0 },
        { "HTTP/1.1 204 No Content\r\n\r\n", "", 0 },
        { "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\nok", "", 2 },
        { "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nok", "", 2 },
        { "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\nok",
          "", 2 },
        { HEAD_OK "Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n"
                  "\r\nrest",
          "ok", 4 },
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(cases); i++) {
        g_autoptr(GString) body = g_string_new(NULL);
        size_t left;
        WPH1State st = parse(wp_str(cases[i].answer), 4096, body, &left);
        if (st != WP_H1_COMPLETE)
            fail_msg("state %d: %s", st, cases[i].answer);
        assert_string_equal(body->str, cases[i].body);
        assert_int_equal(left, cases[i].left);
    }
}

/* Guards against a fault that is found only once the head is complete, or never
   as its end is not found: the caller would wait meanwhile. */
static void spoiled_heads_are_found_with_their_line(void **state)
{
    static const char *const begins[] = { "SSH-2.0-x", "HTTP/1.1 20 OK\r\n",
                                          HEAD_OK "A: b\n",
                                          HEAD_OK "A b: c\r\n" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(begins); i++)
        assert_state(wp_str(begins[i]), WP_H1_ERROR, 1);
}

enum { REPLICAS = 3, REQUESTS = 24 };

static void set_raw(TestCluster *p, const char *text)
{
    json_t *j = json_pack("{s:s}", "raw", text);
    char *json = json_dumps(j, JSON_COMPACT);
    cluster_set_replica_faults(p, 0, json);
    free(json);
    json_decref(j);
}

static void assert_metric_above_zero(TestCluster *p, const char *name)
{
    g_autofree char *text = cluster_entry_metrics(p, 0);
    g_autofree char *line = g_strdup_printf("\n%s{", name);
    const char *at = strstr(text, line);
    assert_non_null(at);
    assert_true(atof(strchr(at, '}') + 1) > 0);
}

/* Guards against spoiled heads that callers got as successes: the endpoint's
   answers are dropped and counted, and another endpoint serves. */
static void spoiled_heads_reach_no_caller(void **state)
{
    static const char *const answers[] = {
        "HTTP/1.1 20 OK\r\n{fields}Content-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding : chunked\r\n\r\n"
        "5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n{fields}Content-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\n{fields}X-A: \001b\r\nContent-Length: 2\r\n\r\nok",
    };
    TestCluster *p = cluster_new(1, REPLICAS);
    (void)state;
    for (size_t i = 0; i < WP_COUNT(answers); i++) {
        set_raw(p, answers[i]);
        for (int k = 0; k < REQUESTS; k++) {
            ClusterAnswer a = cluster_request(p, 0, "GET", "/call/x", NULL);
            if (a.status != 200 || !a.complete || !strstr(a.body->str, "ran "))
                fail_msg("status %d after %s", a.status, answers[i]);
            cluster_answer_release(&a);
        }
    }
    assert_true(cluster_count_replica_runs(p, 0) > 0);
    assert_metric_above_zero(p, "wp_answers_bad_head_total");
    cluster_free(p);
}

TESTS_MAIN(T(spoiled_heads_of_answers), T(valid_heads_of_answers_are_taken),
           T(spoiled_heads_are_found_with_their_line),
           T(spoiled_heads_reach_no_caller))
