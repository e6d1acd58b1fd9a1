/* Bad input and awkward callers against a small site of real processes: each
 * gets a clear answer, nothing is lost, nobody else suffers. */
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

static int up(void **state)
{
    static Wp__Scenario plan = WP__SCENARIO__INIT;
    const char *bin = g_getenv("WP_BIN") ? g_getenv("WP_BIN") : "build";
    (void)state;
    plan.name = (char *)"edges";
    plan.entries = 1;
    plan.agents = 2;
    site = site_new(&plan, bin, NULL);
    if (site_up(site))
        return 0;
    print_error("%s\n", site->why->str);
    return -1;
}

static int down(void **state)
{
    g_autofree char *complaint = site_complaint(site);
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

static void put(int fd, const char *data, size_t n)
{
    while (n) {
        ssize_t k = send(fd, data, n, MSG_NOSIGNAL);
        if (k <= 0)
            return; /* the peer has already closed: that is its answer */
        data += k;
        n -= (size_t)k;
    }
}

/* All that comes until the end, or until `want` stands in it. */
static char *get(int fd, const char *want, int timeout_ms)
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

static char *ask(const char *head, const char *body, const char *want)
{
    int fd = dial(site_proc(site, "e1")->port);
    g_autofree char *text = g_strdup_printf("%sContent-Length: %zu\r\n\r\n%s",
                                            head, strlen(body), body);
    put(fd, text, strlen(text));
    char *answer = get(fd, want, 5000);
    close(fd);
    return answer;
}

#define BODY(model)                                                            \
    "{\"model\":\"" model                                                      \
    "\",\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":"        \
    "\"hi\"}]}"

static void still_serves(void)
{
    g_autofree char *a =
        ask(CHAT KEY "X-Wp-Kind: rider-answer\r\n", BODY("auto"), "usage");
    if (!strstr(a, "200 OK") || !strstr(a, "good"))
        fail_msg("%s", a);
}

static void bad_requests_get_a_clear_answer(void **state)
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
        g_autofree char *a = ask(rows[i].head, rows[i].body, want);
        if (!strstr(a, want))
            fail_msg("row %zu: wanted %s in %s", i, want, a);
    }
    still_serves();
}

/* Another workspace's token, taken off a real answer. */
static void a_session_token_is_bound_to_its_workspace(void **state)
{
    g_autofree char *a =
        ask(CHAT KEY "X-Wp-Kind: rider-answer\r\n", BODY("auto"), "usage");
    const char *at = strstr(a, "X-Wp-Session-Token: ");
    (void)state;
    assert_non_null(at);
    at += strlen("X-Wp-Session-Token: ");
    g_autofree char *token = g_strndup(at, strcspn(at, "\r"));
    g_autofree char *head = g_strdup_printf(
        CHAT "Authorization: Bearer key-lake-harbor\r\n"
             "X-Wp-Kind: rider-answer\r\nX-Wp-Session-Token: %s\r\n",
        token);
    g_autofree char *b = ask(head, BODY("auto"), "not_run");
    assert_non_null(strstr(b, "bad_session_token"));
    g_autofree char *own = g_strdup_printf(
        CHAT KEY "X-Wp-Kind: rider-answer\r\nCookie: a=b; wp_session=%s\r\n",
        token);
    g_autofree char *c = ask(own, BODY("auto"), "usage");
    assert_non_null(strstr(c, "200 OK"));
}

static void what_is_too_large_is_refused(void **state)
{
    g_autofree char *big = g_strnfill(3 << 20, 'x');
    g_autofree char *head =
        g_strdup_printf(CHAT KEY "X-Fill: %.*s\r\n", 40 << 10, big);
    (void)state;
    g_autofree char *a = ask(CHAT KEY, big, "413");
    assert_non_null(strstr(a, " 413 "));
    g_autofree char *b = ask(head, BODY("auto"), "\r\n");
    assert_null(strstr(b, "200 OK"));
    still_serves();
}

static void garbage_between_processes_closes_the_link(void **state)
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
            put(fd, rows[k].data, rows[k].n);
            /* Closed by the other side, not by a time-out of ours. */
            struct pollfd p = { fd, POLLIN, 0 };
            char buf[4096];
            ssize_t n = 1;
            while (n > 0 && poll(&p, 1, 5000) > 0)
                n = recv(fd, buf, sizeof(buf), 0);
            assert_true(n <= 0);
            close(fd);
        }
        /* A frame that claims 4 GB and one that never ends hold nothing up. */
        int fd = dial(ports[i]);
        put(fd, "\x00\x00\x10\x00", 4);
        close(fd);
    }
    still_serves();
}

/* A caller that leaves in mid-answer: the engine is told, the place is free
   again and the bill is made. */
static void an_engine_stops_when_its_caller_has_gone(void **state)
{
    Proc *x = site_proc(site, "x1");
    json_decref(site_fetch(site, x->port, "/control", "{\"slow\":30}"));
    int fd = dial(site_proc(site, "e1")->port);
    g_autofree char *body = g_strdup(
        "{\"model\":\"plan\",\"stream\":true,\"max_tokens\":5000,\"messages\":"
        "[{\"role\":\"user\",\"content\":\"long\"}]}");
    g_autofree char *text = g_strdup_printf(
        CHAT KEY "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
    put(fd, text, strlen(text));
    g_autofree char *a = get(fd, "good", 5000);
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
        site_pump(site, 20);
    }
    json_decref(site_fetch(site, x->port, "/control", "{\"slow\":1}"));
    assert_non_null(row);
    json_decref(row);
    still_serves();
}

static long resident_kb(const char *name)
{
    g_autofree char *file =
        g_strdup_printf("/proc/%d/status", site_proc(site, name)->pid);
    g_autofree char *text = NULL;
    g_file_get_contents(file, &text, NULL, NULL);
    const char *rss = text ? strstr(text, "VmRSS:") : NULL;
    return rss ? strtol(rss + 6, NULL, 10) : 0;
}

/* Whether the engine has run a request of so many tokens to its end. */
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

#define LONG_ANSWER 2500 /* tokens of 4 KB: some 10 MB */

/* A caller that does not read its long answer holds up nobody, the memory of
   entry and agent stays bounded, and it gets all of it in the end. */
static void a_slow_reader_is_held_back_to_the_engine(void **state)
{
    int fd = dial(site_proc(site, "e1")->port);
    int small = 4096, large = 4 << 20;
    g_autofree char *body = g_strdup_printf(
        "{\"model\":\"plan\",\"stream\":true,\"max_tokens\":%d,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"long\"}]}",
        LONG_ANSWER);
    g_autofree char *text = g_strdup_printf(
        CHAT KEY "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
    Proc *x = site_proc(site, "x1");
    long entry_kb = resident_kb("e1"), agent_kb = resident_kb("a1");
    (void)state;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    json_decref(
        site_fetch(site, x->port, "/control", "{\"slow\":0.1,\"pad\":4000}"));
    put(fd, text, strlen(text));
    for (int i = 0; i < 1000 && !engine_has_run(LONG_ANSWER); i++)
        site_pump(site, 20);
    assert_true(engine_has_run(LONG_ANSWER));
    if (resident_kb("e1") > entry_kb + 4096 ||
        resident_kb("a1") > agent_kb + 4096)
        fail_msg("entry %ld to %ld KB, agent %ld to %ld KB", entry_kb,
                 resident_kb("e1"), agent_kb, resident_kb("a1"));
    json_decref(
        site_fetch(site, x->port, "/control", "{\"slow\":1,\"pad\":0}"));
    still_serves();
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &large, sizeof(large));
    g_autofree char *all = get(fd, "[DONE]", 5000);
    assert_non_null(strstr(all, "[DONE]"));
    assert_true(strlen(all) > 5 << 20);
    close(fd);
}

static void a_half_sent_request_holds_up_nobody(void **state)
{
    int fds[40];
    (void)state;
    for (size_t i = 0; i < WP_COUNT(fds); i++) {
        fds[i] = dial(site_proc(site, "e1")->port);
        put(fds[i], CHAT, i % 2 ? 10 : strlen(CHAT));
        if (i % 4 == 0)
            shutdown(fds[i], SHUT_WR);
    }
    still_serves();
    for (size_t i = 0; i < WP_COUNT(fds); i++)
        close(fds[i]);
    still_serves();
}

static void refused_configurations_change_nothing(void **state)
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
    /* Without its last selector a workspace would have nothing. */
    g_autofree char *out = NULL;
    assert_int_equal(site_ctl(site, "selector lake-anything --remove", &out),
                     2);
    assert_non_null(strstr(out, "no version may serve it"));
    still_serves();
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        T(bad_requests_get_a_clear_answer),
        T(a_session_token_is_bound_to_its_workspace),
        T(what_is_too_large_is_refused),
        T(garbage_between_processes_closes_the_link),
        T(an_engine_stops_when_its_caller_has_gone),
        T(a_slow_reader_is_held_back_to_the_engine),
        T(a_half_sent_request_holds_up_nobody),
        T(refused_configurations_change_nothing),
    };
    return cmocka_run_group_tests(tests, up, down);
}
