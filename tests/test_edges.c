/* Invalid input and misbehaving callers against a small site of real processes:
 * each gets a definite error, and other callers are still served. */
#include "site.h"
#include "test.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEY "Authorization: Bearer key-lake-north\r\n"
#define CHAT "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"

static Site *site;

static int set_up(void **state)
{
    static Wp__Scenario plan = WP__SCENARIO__INIT;
    const char *bin = g_getenv("WP_BIN") ? g_getenv("WP_BIN") : "build";
    (void)state;
    plan.name = (char *)"edges";
    plan.entries = 1;
    plan.agents = 2;
    site = site_new(&plan, bin, NULL);
    if (site_start_all(site))
        return 0;
    print_error("%s\n", site->error_text->str);
    return -1;
}

static int tear_down(void **state)
{
    g_autofree char *complaint = site_sanitizer_report(site);
    (void)state;
    if (complaint)
        print_error("%s\n", complaint);
    site_free(site);
    return complaint ? -1 : 0;
}

static int dial(uint16_t port)
{
    struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
    return fd;
}

static void send_bytes(int fd, const char *data, size_t n)
{
    while (n) {
        ssize_t k = send(fd, data, n, MSG_NOSIGNAL);
        if (k <= 0)
            return; /* the peer has closed, which tests accept as an answer */
        data += k;
        n -= (size_t)k;
    }
}

/* Reads until the connection ends, nothing comes for `timeout_ms`, or the text
   contains `want` (unless it is NULL). Free the result with g_free(). */
static char *read_until(int fd, const char *want, int timeout_ms)
{
    GString *s = g_string_new(NULL);
    struct pollfd p = { fd, POLLIN, 0 };
    char buf[65536];
    while (poll(&p, 1, timeout_ms) > 0) {
        ssize_t n = recv(fd, buf, sizeof(buf), 0);
        if (n <= 0)
            break;
        g_string_append_len(s, buf, n);
        if (want && strstr(s->str, want))
            break;
    }
    return g_string_free(s, FALSE);
}

/* Sends a request to the entry; returns the answer as read_until() does. */
static char *send_request(const char *head, const char *body, const char *want)
{
    int fd = dial(site_proc(site, "e1")->port);
    g_autofree char *text = g_strdup_printf("%sContent-Length: %zu\r\n\r\n%s",
                                            head, strlen(body), body);
    send_bytes(fd, text, strlen(text));
    char *answer = read_until(fd, want, 5000);
    close(fd);
    return answer;
}

#define BODY(model)                                                            \
    "{\"model\":\"" model                                                      \
    "\",\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":"        \
    "\"hi\"}]}"

#define STREAM_BODY                                                            \
    "{\"model\":\"plan\",\"stream\":true,\"max_tokens\":5000,\"messages\":"    \
    "[{\"role\":\"user\",\"content\":\"long\"}]}"

/* Fails the test unless an ordinary request is answered. */
static void check_still_serves(void)
{
    g_autofree char *a = send_request(CHAT KEY "X-Wp-Kind: rider-answer\r\n",
                                      BODY("auto"), "usage");
    if (!strstr(a, "200 OK") || !strstr(a, "good"))
        fail_msg("%s", a);
}

static void bad_requests_get_their_error_code(void **state)
{
    static const struct {
        const char *head, *body, *code;
    } rows[] = {
        { CHAT, BODY("auto"), "invalid_api_key" },
        { CHAT "Authorization: Bearer nope\r\n", BODY("auto"),
          "invalid_api_key" },
        { CHAT KEY, "{\"model\":", "bad_json" },
        { CHAT KEY, "[1,2]", "bad_json" },
        { CHAT KEY, "", "bad_json" },
        { CHAT KEY "X-Wp-Kind: plan\r\n", "{\"model\":\"auto\"}",
          "bad_request" },
        { CHAT KEY "X-Wp-Kind: plan\r\n",
          "{\"model\":\"auto\",\"messages\":[]}", "bad_request" },
        { CHAT KEY, BODY("gpt-nothing"), "model_not_found" },
        { CHAT KEY "X-Wp-Kind: nothing\r\n", BODY("auto"), "model_not_found" },
        { CHAT KEY "X-Wp-Kind: plan\r\n", BODY("tagger-1"),
          "no_allowed_version" },
        { CHAT KEY "X-Wp-Kind: plan\r\nX-Wp-Deadline-Ms: soon\r\n",
          BODY("auto"), "bad_request" },
        { CHAT KEY "X-Wp-Kind: plan\r\nX-Wp-Labels: a\r\n", BODY("auto"),
          "bad_request" },
        { CHAT KEY "X-Wp-Kind: plan\r\nX-Wp-Session-Token: abc.def\r\n",
          BODY("auto"), "bad_session_token" },
        { "POST /v1/services/nothing/x HTTP/1.1\r\nHost: x\r\n" KEY
          "X-Wp-Kind: rates\r\n",
          "x", "no_allowed_version" },
        { "POST /v2/nothing HTTP/1.1\r\nHost: x\r\n" KEY, "x", "not_found" },
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        g_autofree char *want = g_strdup_printf(
            "\"code\":\"%s\",\"ran\":\"not_run\"", rows[i].code);
        g_autofree char *a = send_request(rows[i].head, rows[i].body, want);
        if (!strstr(a, want))
            fail_msg("row %zu: wanted %s in %s", i, want, a);
    }
    check_still_serves();
}

/* A token from an answer is rejected for another workspace, and accepted for
   its own. */
static void a_session_token_is_bound_to_its_workspace(void **state)
{
    g_autofree char *a = send_request(CHAT KEY "X-Wp-Kind: rider-answer\r\n",
                                      BODY("auto"), "usage");
    const char *at = strstr(a, "X-Wp-Session-Token: ");
    (void)state;
    assert_non_null(at);
    at += strlen("X-Wp-Session-Token: ");
    g_autofree char *token = g_strndup(at, strcspn(at, "\r"));
    g_autofree char *head = g_strdup_printf(
        CHAT "Authorization: Bearer key-lake-harbor\r\n"
             "X-Wp-Kind: rider-answer\r\nX-Wp-Session-Token: %s\r\n",
        token);
    g_autofree char *b = send_request(head, BODY("auto"), "not_run");
    assert_non_null(strstr(b, "bad_session_token"));
    g_autofree char *own = g_strdup_printf(
        CHAT KEY "X-Wp-Kind: rider-answer\r\nCookie: a=b; wp_session=%s\r\n",
        token);
    g_autofree char *c = send_request(own, BODY("auto"), "usage");
    assert_non_null(strstr(c, "200 OK"));
}

static void oversized_requests_are_rejected(void **state)
{
    g_autofree char *big = g_strnfill(3 << 20, 'x');
    g_autofree char *head =
        g_strdup_printf(CHAT KEY "X-Fill: %.*s\r\n", 40 << 10, big);
    (void)state;
    g_autofree char *a = send_request(CHAT KEY, big, "413");
    assert_non_null(strstr(a, " 413 "));
    g_autofree char *b = send_request(head, BODY("auto"), "\r\n");
    assert_null(strstr(b, "200 OK"));
    check_still_serves();
}

static void garbage_on_peer_ports_closes_the_connection(void **state)
{
    static const char huge[] = "\xff\xff\xff\xff more";
    static const char not_hello[] = "\x00\x00\x00\x02\x08\x01";
    static const char noise[] = "\x00\x00\x00\x04\xff\xff\xff\xff";
    uint16_t ports[] = { site_proc(site, "a1")->peer_port,
                         site_proc(site, "e1")->peer_port };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(ports); i++) {
        const struct {
            const char *data;
            size_t n;
        } rows[] = { { huge, sizeof(huge) - 1 },
                     { not_hello, sizeof(not_hello) - 1 },
                     { noise, sizeof(noise) - 1 },
                     { "GET / HTTP/1.1\r\n\r\n", 18 } };
        for (size_t k = 0; k < WP_COUNT(rows); k++) {
            int fd = dial(ports[i]);
            send_bytes(fd, rows[k].data, rows[k].n);
            /* The box must close it; 5 s without an event end the wait. */
            struct pollfd p = { fd, POLLIN, 0 };
            char buf[4096];
            ssize_t n = 1;
            while (n > 0 && poll(&p, 1, 5000) > 0)
                n = recv(fd, buf, sizeof(buf), 0);
            assert_true(n <= 0);
            close(fd);
        }
        /* A frame that is never completed must not block others; `huge` above
           claims 4 GB. */
        int fd = dial(ports[i]);
        send_bytes(fd, "\x00\x00\x10\x00", 4);
        close(fd);
    }
    check_still_serves();
}

/* When a caller disconnects during its answer, the attempt at the engine is
   cancelled and others are served. */
static void an_engine_stops_when_its_caller_disconnects(void **state)
{
    Proc *x = site_proc(site, "x1");
    json_decref(site_fetch(site, x->port, "/control", "{\"slow\":30}"));
    int fd = dial(site_proc(site, "e1")->port);
    g_autofree char *text =
        g_strdup_printf(CHAT KEY "Content-Length: %zu\r\n\r\n%s",
                        strlen(STREAM_BODY), STREAM_BODY);
    send_bytes(fd, text, strlen(text));
    g_autofree char *a = read_until(fd, "good", 5000);
    (void)state;
    assert_non_null(strstr(a, "good"));
    close(fd);
    json_t *row = NULL;
    for (int i = 0; i < 250 && !row; i++) {
        json_t *rows = site_fetch(site, x->port, "/ledger", NULL), *one;
        size_t k;
        json_array_foreach (rows, k, one)
            if (json_is_true(json_object_get(one, "cancelled")))
                row = json_incref(one);
        json_decref(rows);
        site_run_loop(site, 20);
    }
    json_decref(site_fetch(site, x->port, "/control", "{\"slow\":1}"));
    assert_non_null(row);
    json_decref(row);
    check_still_serves();
}

/* Resident memory of a process of the site, in KB. */
static long resident_kb(const char *name)
{
    g_autofree char *file =
        g_strdup_printf("/proc/%d/status", site_proc(site, name)->pid);
    g_autofree char *text = NULL;
    g_file_get_contents(file, &text, NULL, NULL);
    const char *rss = text ? strstr(text, "VmRSS:") : NULL;
    return rss ? strtol(rss + 6, NULL, 10) : 0;
}

/* The entry leaves an endpoint that has failed for a while. */
static void wait_until_serves(void)
{
    bool serves = false;
    for (int i = 0; i < 200 && !serves; i++) {
        g_autofree char *a = send_request(
            CHAT KEY "X-Wp-Kind: rider-answer\r\n", BODY("auto"), "}");
        serves = g_str_has_prefix(a, "HTTP/1.1 200 ");
        site_run_loop(site, 50);
    }
    assert_true(serves);
}

/* Guards against an event of an engine that does not end, which the agent kept
   whole: its memory grows by at most 4 MB, and the caller's stream ends. */
static void event_without_an_end_fills_the_memory(void **state)
{
    Proc *x = site_proc(site, "x1");
    long agent_kb = resident_kb("a1");
    (void)state;
    json_decref(
        site_fetch(site, x->port, "/control", "{\"endless\":\"event\"}"));
    g_autofree char *a = send_request(CHAT KEY, STREAM_BODY, "}");
    long after_kb = resident_kb("a1");
    json_decref(site_fetch(site, x->port, "/control", "{\"endless\":\"\"}"));
    assert_null(strstr(a, "[DONE]"));
    if (after_kb > agent_kb + 4096)
        fail_msg("agent %ld to %ld KB", agent_kb, after_kb);
    wait_until_serves();
}

/* What the entry answers while its engine sends `raw` in place of answers. */
static char *answer_of_raw(const char *raw)
{
    Proc *x = site_proc(site, "x1");
    json_t *fault = json_pack("{s:s}", "raw", raw);
    g_autofree char *text = json_dumps(fault, 0);
    json_decref(fault);
    json_decref(site_fetch(site, x->port, "/control", text));
    char *a =
        send_request(CHAT KEY "X-Wp-Kind: rider-answer\r\n", BODY("auto"), "}");
    json_decref(site_fetch(site, x->port, "/control", "{\"raw\":\"\"}"));
    return a;
}

/* Guards against answers of an engine that are no HTTP, or are cut short, and
   reached callers as successes or as statuses that there are not. */
static void invalid_answers_of_an_engine_reach_callers(void **state)
{
    static const char *const rows[] = {
        "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\nContent-Length: 2\n\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;\rx\r\n{}\r\n"
        "0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        "Content-Length: 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "ICY 200 OK\r\n\r\n{}",
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        g_autofree char *a = answer_of_raw(rows[i]);
        if (!g_str_has_prefix(a, "HTTP/1.1 502 "))
            fail_msg("row %zu is answered with:\n%s", i, a);
        wait_until_serves();
    }
    g_autofree char *sound =
        answer_of_raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    assert_non_null(strstr(sound, " 200 OK"));
    check_still_serves();
}

/* An engine ends within its answer's head or body. */
static void answers_that_end_early_look_whole(void **state)
{
    static const char *const answers[] = {
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: 11\r\n\r\n{\"a\":\"b\"}\n\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
        "0\r\n\r\n",
    };
    enum { STEP = 3 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(answers); i++) {
        for (size_t n = 1; n < strlen(answers[i]); n += STEP) {
            g_autofree char *cut = g_strndup(answers[i], n);
            g_autofree char *a = answer_of_raw(cut);
            if (!g_str_has_prefix(a, "HTTP/1.1 502 "))
                fail_msg("cut after %zu bytes, answered with:\n%s", n, a);
            wait_until_serves();
        }
        g_autofree char *whole = answer_of_raw(answers[i]);
        assert_non_null(strstr(whole, " 200 OK"));
    }
    check_still_serves();
}

/* Whether the engine's ledger has a run of this many tokens. */
static bool engine_has_run(int tokens)
{
    json_t *rows =
        site_fetch(site, site_proc(site, "x1")->port, "/ledger", NULL);
    json_t *row;
    size_t i;
    bool found = false;
    json_array_foreach (rows, i, row)
        found |= json_integer_value(json_object_get(row, "tokens")) == tokens;
    json_decref(rows);
    return found;
}

#define LONG_ANSWER_TOKENS 2500 /* of 4 KB each: some 10 MB */

/* A caller that does not read its long answer does not block others, entry and
   agent do not buffer the answer (memory grows by at most 4 MB), and the caller
   gets all of it once it reads. */
static void a_slow_reader_bounds_memory_and_gets_all(void **state)
{
    int fd = dial(site_proc(site, "e1")->port);
    int small = 4096, large = 4 << 20;
    g_autofree char *body = g_strdup_printf(
        "{\"model\":\"plan\",\"stream\":true,\"max_tokens\":%d,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"long\"}]}",
        LONG_ANSWER_TOKENS);
    g_autofree char *text = g_strdup_printf(
        CHAT KEY "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
    Proc *x = site_proc(site, "x1");
    long entry_kb = resident_kb("e1"), agent_kb = resident_kb("a1");
    (void)state;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    json_decref(
        site_fetch(site, x->port, "/control", "{\"slow\":0.1,\"pad\":4000}"));
    send_bytes(fd, text, strlen(text));
    for (int i = 0; i < 1000 && !engine_has_run(LONG_ANSWER_TOKENS); i++)
        site_run_loop(site, 20);
    assert_true(engine_has_run(LONG_ANSWER_TOKENS));
    if (resident_kb("e1") > entry_kb + 4096 ||
        resident_kb("a1") > agent_kb + 4096)
        fail_msg("entry %ld to %ld KB, agent %ld to %ld KB", entry_kb,
                 resident_kb("e1"), agent_kb, resident_kb("a1"));
    json_decref(
        site_fetch(site, x->port, "/control", "{\"slow\":1,\"pad\":0}"));
    check_still_serves();
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &large, sizeof(large));
    g_autofree char *all = read_until(fd, "[DONE]", 5000);
    assert_non_null(strstr(all, "[DONE]"));
    assert_true(strlen(all) > 5 << 20);
    close(fd);
}

static void half_sent_requests_do_not_block_others(void **state)
{
    int fds[40];
    (void)state;
    for (size_t i = 0; i < WP_COUNT(fds); i++) {
        fds[i] = dial(site_proc(site, "e1")->port);
        send_bytes(fds[i], CHAT, i % 2 ? 10 : strlen(CHAT));
        if (i % 4 == 0)
            shutdown(fds[i], SHUT_WR);
    }
    check_still_serves();
    for (size_t i = 0; i < WP_COUNT(fds); i++)
        close(fds[i]);
    check_still_serves();
}

static void rejected_commands_change_nothing(void **state)
{
    static const struct {
        const char *words;
        int code;
    } rows[] = {
        { "label version/none a=b", 2 },
        { "label version/tagger-1 =b", 2 },
        { "selector lake-anything --traffic 'a in (' --versions ''", 2 },
        { "selector x --versions 'stge=stable'", 2 },
        { "withdraw none", 2 },
        { "rollout abort none", 2 },
        { "rollout start r --from tagger-1 --to none", 2 },
        { "rule r --on moon --set a=b", 2 },
        { "nonsense", 2 },
        { "apply -f /nonexistent", 2 },
        { "selector lake-plans --remove", 0 },
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        g_autofree char *out = NULL;
        int code = site_ctl(site, rows[i].words, &out);
        if (code != rows[i].code)
            fail_msg("%s: exit %d: %s", rows[i].words, code, out);
        if (code)
            assert_true(strlen(out) > 10);
    }
    /* No version would be left to serve the workspace without its last
       selector. */
    g_autofree char *out = NULL;
    assert_int_equal(site_ctl(site, "selector lake-anything --remove", &out),
                     2);
    assert_non_null(strstr(out, "no version may serve it"));
    check_still_serves();
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        T(bad_requests_get_their_error_code),
        T(a_session_token_is_bound_to_its_workspace),
        T(oversized_requests_are_rejected),
        T(garbage_on_peer_ports_closes_the_connection),
        T(an_engine_stops_when_its_caller_disconnects),
        T(invalid_answers_of_an_engine_reach_callers),
        T(answers_that_end_early_look_whole),
        T(event_without_an_end_fills_the_memory),
        T(a_slow_reader_bounds_memory_and_gets_all),
        T(half_sent_requests_do_not_block_others),
        T(rejected_commands_change_nothing),
    };
    return cmocka_run_group_tests(tests, set_up, tear_down);
}
