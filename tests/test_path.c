/* The whole direct path over real processes: entries, the platform's store
 * and its endpoints as stand-ins, on loopback. Each step waits for what it
 * needs; nothing depends on how fast the machine is. */
#include "path.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    ROUTE_S = 20, /* a route's time */
    SLOW_CALLERS = 100,
    SLOW_BODY = 4 << 20,  /* bytes, of which the last never comes */
    STILL_ROUNDS = 50,    /* without a byte that is taken */
    ENTRY_KB = 160 << 10, /* of a small machine */
    SENDS_MOST = 60,
    SEND_EVERY_MS = 100
};

static void a_request_is_served_and_goes_on_clean(void **state)
{
    Path *p = path_new(2, 2);
    (void)state;
    PathAnswer a = path_ask(p, 0, "GET", "/call/x", NULL);
    assert_int_equal(a.status, 200);
    assert_true(g_str_has_prefix(a.body->str, "ran r"));
    path_answer_end(&a);
    a = path_ask(p, 1, "GET", "/stream/x", NULL);
    assert_int_equal(a.status, 200);
    assert_int_equal(path_events(&a), 5);
    path_answer_end(&a);
    a = path_ask(p, 0, "GET", "/nowhere", NULL);
    assert_int_equal(a.status, 404);
    path_answer_end(&a);
    a = path_ask(p, 0, "GET", "/call/x", "Authorization: Token wrong\r\n");
    assert_int_equal(a.status, 401);
    path_answer_end(&a);
    assert_int_equal(path_broken(p), 0);
    path_free(p);
}

static void odd_heads_are_refused(void **state)
{
    static const char *const odd[] = {
        "GET /call/x HTTP/1.1\nHost: h.example\r\n\r\n",
        "GET /call/x HTTP/1.1\r\nHost: h.example\r\n folded\r\n\r\n",
        "POST /call/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /call/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
        "Content-Length: 4\r\n\r\nabcd",
        "GET /call/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET /call/x HTTP/1.1\r\nHost : h.example\r\n\r\n",
        "POST /call/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: "
        "+3\r\n\r\nabc",
        "GET /call/x HTTP/1.1\r\nHost: h.example\r\n"
        "Transfer-Encoding: identity, chunked\r\n\r\n",
        "GET http://x/call/x HTTP/1.1\r\nHost: a\r\n\r\n"
    };
    Path *p = path_new(1, 1);
    unsigned before = path_ran(p);
    (void)state;
    for (size_t i = 0; i < WP_COUNT(odd); i++) {
        PathAnswer a = path_raw(p, 0, odd[i]);
        assert_int_equal(a.status, 400);
        assert_true(a.closed);
        path_answer_end(&a);
    }
    assert_int_equal(path_ran(p), before);
    path_free(p);
}

/* The second request of a connection never mixes with the first. */
static void kept_connections_carry_one_request_at_a_time(void **state)
{
    Path *p = path_new(1, 2);
    (void)state;
    PathAnswer a = path_raw(
        p, 0,
        "GET /call/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: q1\r\n"
        "Authorization: Token key-1\r\n\r\n"
        "GET /call/2 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: q2\r\n"
        "Authorization: Token key-1\r\nConnection: close\r\n\r\n");
    const char *first = strstr(a.body->str, "ran q1");
    const char *second = strstr(a.body->str, "ran q2");
    assert_true(first && second && first < second);
    path_answer_end(&a);
    path_free(p);
}

static void broken_streams_go_on_elsewhere(void **state)
{
    Path *p = path_new(1, 2);
    (void)state;
    path_fault(p, 0, "{\"cut\":1,\"events\":20}");
    path_fault(p, 1, "{\"events\":20}");
    for (int i = 0; i < 10; i++) {
        PathAnswer a = path_ask(p, 0, "GET", "/stream/x", NULL);
        assert_int_equal(a.status, 200);
        assert_int_equal(path_events(&a), 20);
        path_answer_end(&a);
    }
    path_free(p);
}

static void what_may_not_be_repeated_runs_once(void **state)
{
    Path *p = path_new(2, 2);
    (void)state;
    path_fault(p, 0, "{\"cut\":0.5}");
    path_fault(p, 1, "{\"refuse\":0.3}");
    for (int i = 0; i < 40; i++) {
        PathAnswer a = path_ask(p, (unsigned)i % 2, "POST", "/once/x", NULL);
        bool ran = path_has_run(p, a.id);
        /* These promise that it has not run. */
        if (a.status == 503 || a.status == 429)
            assert_false(ran);
        if (a.status == 200)
            assert_true(ran);
        path_answer_end(&a);
    }
    assert_int_equal(path_most_runs(p), 1);
    path_free(p);
}

/* A configuration that has been accepted is in force at a box that the store
   no longer answers, because the other box tells it. */
static void a_box_without_the_store_learns_from_another(void **state)
{
    Path *p = path_new(2, 1);
    (void)state;
    path_cut_store(p, 1);
    path_config(p, 2, "/new/");
    path_wait_status(p, 0, "/new/x", 200);
    path_wait_status(p, 1, "/new/x", 200);
    path_free(p);
}

static void a_leaving_endpoint_is_left_by_all(void **state)
{
    Path *p = path_new(2, 2);
    (void)state;
    path_fault(p, 0, "{\"draining\":true}");
    path_wait_leaving(p, 0);
    unsigned before = path_ran_at(p, 0);
    for (int i = 0; i < 20; i++) {
        PathAnswer a = path_ask(p, (unsigned)i % 2, "GET", "/call/x", NULL);
        assert_int_equal(a.status, 200);
        path_answer_end(&a);
    }
    assert_int_equal(path_ran_at(p, 0), before);
    path_free(p);
}

/* What is known stays in force while the store is away, and goes on when it
   is back, also when its history is gone. */
static void the_store_may_be_away(void **state)
{
    Path *p = path_new(1, 1);
    (void)state;
    path_store(p, "{\"down\":\"silent\"}");
    PathAnswer a = path_ask(p, 0, "GET", "/call/x", NULL);
    assert_int_equal(a.status, 200);
    path_answer_end(&a);
    path_config(p, 2, "/new/");
    path_store(p, "{\"down\":\"\",\"compact\":true}");
    path_wait_status(p, 0, "/new/x", 200);
    path_free(p);
}

static void a_planned_stop_cuts_nothing(void **state)
{
    Path *p = path_new(1, 1);
    (void)state;
    path_fault(p, 0, "{\"events\":60}");
    PathAnswer a = path_begin(p, 0, "GET", "/stream/x");
    path_stop(p, 0);
    path_finish(p, &a);
    assert_int_equal(a.status, 200);
    assert_int_equal(path_events(&a), 60);
    path_answer_end(&a);
    assert_int_equal(path_exit_code(p, 0), 0);
    path_free(p);
}

/* A box that stops while others are linked to it ends by its own will: links go
   after what tells news over them. What was answered last was lost with a crash
   there, on two of 42 days beside planned stops. */
static void a_linked_box_stops_cleanly(void **state)
{
    Path *p = path_new(2, 1);
    (void)state;
    path_cut_store(p, 1);
    path_config(p, 2, "/new/");
    path_wait_status(p, 1, "/new/x", 200); /* told by the other one */
    path_stop(p, 1);
    assert_int_equal(path_exit_code(p, 1), 0);
    path_free(p);
}

/* Settings are read again while requests run: nothing is cut. */
static void a_reload_disturbs_nothing(void **state)
{
    Path *p = path_new(1, 1);
    (void)state;
    path_fault(p, 0, "{\"events\":40}");
    PathAnswer a = path_begin(p, 0, "GET", "/stream/x");
    path_signal_entry(p, 0, SIGHUP);
    path_finish(p, &a);
    assert_int_equal(path_events(&a), 40);
    path_answer_end(&a);
    a = path_ask(p, 0, "GET", "/call/x", NULL);
    assert_int_equal(a.status, 200);
    path_answer_end(&a);
    path_free(p);
}

static void a_caller_that_leaves_frees_its_endpoint(void **state)
{
    Path *p = path_new(1, 1);
    (void)state;
    path_fault(p, 0, "{\"mute\":1}");
    PathAnswer a = path_begin(p, 0, "GET", "/stream/x");
    path_wait_running(p, 0, 1);
    path_answer_end(&a);
    path_wait_running(p, 0, 0);
    path_free(p);
}

/* A request's time runs on while its box is suspended: the steady clock stands
   still then, and so do the loop's timers. */
static void a_suspended_box_counts_the_time(void **state)
{
    Path *p = path_new_clocks(1, 1);
    (void)state;
    path_fault(p, 0, "{\"mute\":1}");
    int64_t from_us = g_get_monotonic_time();
    PathAnswer a = path_begin(p, 0, "GET", "/call/x");
    path_wait_running(p, 0, 1);
    path_suspend(p, 0, ROUTE_S * WP_MS_PER_S);
    path_finish(p, &a);
    assert_int_equal(a.status, 504);
    assert_true(g_get_monotonic_time() - from_us < ROUTE_S * WP_US_PER_S / 2);
    path_answer_end(&a);
    path_free(p);
}

/* The key of the store's record of a request. */
static char *record_of(const char *target, const char *body)
{
    uint64_t head = wp_hash(wp_str(target), wp_hash(wp_str("POST"), 0));
    uint64_t content = wp_hash(wp_str(body), head);
    uint64_t request =
        wp_hash(wp_str("acme"), wp_hash(wp_str("h.example"), content));
    return g_strdup_printf("wp/suspect/%016lx", (unsigned long)request);
}

/* Sends it to the entries by turns until it is answered so; endpoints that end
   are started again. */
static bool send_until(Path *p, unsigned replicas, const char *body, int status)
{
    for (int i = 0; i < SENDS_MOST; i++) {
        PathAnswer a = { .fd = -1, .body = g_string_new(NULL) };
        g_snprintf(a.id, sizeof(a.id), "%s.%d", body, i);
        path_exchange_body(&a, path_port(p, (unsigned)i % 2), "POST", "/once/x",
                           body);
        bool done = a.status == status &&
                    (status != 503 || strstr(a.body->str, "request_kept_out"));
        path_answer_end(&a);
        for (unsigned r = 0; r < replicas; r++)
            if (path_replica_ended(p, r))
                path_restart_replica(p, r);
        if (done)
            return true;
        g_usleep(SEND_EVERY_MS * WP_US_PER_MS);
    }
    return false;
}

/* A request that ends endpoints is kept out at all entries, also after these
   were all killed, until an operator removes its record. */
static void a_request_is_kept_out_until_an_operator_lets_it_in(void **state)
{
    enum { REPLICAS = 6 };
    static const char body[] = "crash-0";
    Path *p = path_new(2, REPLICAS);
    g_autofree char *key = record_of("/once/x", body);
    g_autofree char *remove = g_strdup_printf("{\"remove\":\"%s\"}", key);
    (void)state;
    assert_true(send_until(p, REPLICAS, body, 503));
    path_wait_stored(p, key);
    path_restart_entry(p, 0);
    path_restart_entry(p, 1);
    path_wait_status(p, 0, "/call/x", 200);
    path_wait_status(p, 1, "/call/x", 200);
    unsigned before = path_ran(p);
    assert_true(send_until(p, REPLICAS, body, 503));
    assert_int_equal(path_ran(p), before);
    path_store(p, remove);
    assert_true(send_until(p, REPLICAS, body, 502));
    path_free(p);
}

/* A caller that has sent the head of a request with a large body. */
static int begin_slow(const Path *p)
{
    static const char head[] = "POST /call/x HTTP/1.1\r\nHost: h.example\r\n"
                               "Authorization: Token key-1\r\n"
                               "X-Attempt-Id: slow\r\n"
                               "Content-Length: %d\r\n\r\n";
    struct sockaddr_in sa = { .sin_family = AF_INET,
                              .sin_port = htons(path_port(p, 0)) };
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_autofree char *text = g_strdup_printf(head, SLOW_BODY);
    inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
    assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

/* Sends what is taken of the bodies; returns how much that was. */
static size_t send_on(const int *fds, size_t *left)
{
    static const char zeros[64 << 10];
    size_t sum = 0;
    for (unsigned i = 0; i < SLOW_CALLERS; i++) {
        ssize_t n = write(fds[i], zeros, MIN(left[i], sizeof(zeros)));
        left[i] -= (size_t)MAX(n, 0);
        sum += (size_t)MAX(n, 0);
    }
    return sum;
}

/* A hundred callers that send 4 MB each but for the last byte do not fill the
   memory of a small machine, and others are served beside them. */
static void slow_callers_do_not_fill_a_box(void **state)
{
    Path *p = path_new(1, 2);
    int fds[SLOW_CALLERS];
    size_t left[SLOW_CALLERS];
    unsigned asked = 0, served = 0;
    long most_kb = 0;
    (void)state;
    for (unsigned i = 0; i < SLOW_CALLERS; i++) {
        fds[i] = begin_slow(p);
        left[i] = SLOW_BODY - 1;
    }
    for (unsigned still = 0; still < STILL_ROUNDS; still++) {
        if (send_on(fds, left))
            still = 0;
        PathAnswer a = path_ask(p, 0, "GET", "/call/x", NULL);
        asked++;
        served += a.status == 200;
        path_answer_end(&a);
        most_kb = MAX(most_kb, path_entry_kb(p, 0));
    }
    print_message("%u of %u served, %ld MB at the most\n", served, asked,
                  most_kb >> 10);
    assert_true(served >= 0.98 * asked);
    assert_in_range(most_kb, 1, ENTRY_KB);
    for (unsigned i = 0; i < SLOW_CALLERS; i++)
        close(fds[i]);
    path_free(p);
}

TESTS_MAIN(T(a_request_is_served_and_goes_on_clean), T(odd_heads_are_refused),
           T(kept_connections_carry_one_request_at_a_time),
           T(broken_streams_go_on_elsewhere),
           T(what_may_not_be_repeated_runs_once),
           T(a_box_without_the_store_learns_from_another),
           T(a_leaving_endpoint_is_left_by_all), T(the_store_may_be_away),
           T(slow_callers_do_not_fill_a_box), T(a_planned_stop_cuts_nothing),
           T(a_linked_box_stops_cleanly), T(a_reload_disturbs_nothing),
           T(a_caller_that_leaves_frees_its_endpoint),
           T(a_suspended_box_counts_the_time),
           T(a_request_is_kept_out_until_an_operator_lets_it_in))
