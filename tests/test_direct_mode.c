/* Direct mode with real processes on loopback: entries, with stand-ins of the
 * platform's store and endpoints. Each step waits for its condition, so that no
 * test depends on the speed of the machine. */
#include "cluster.h"
#include "wp_suspects.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    ROUTE_TIMEOUT_S = 20, /* timeoutMs of the routes */
    SLOW_UPLOADS = 100,
    SLOW_BODY_BYTES = 4 << 20, /* the last byte is never sent */
    STALLED_ROUNDS = 50,       /* rounds in which the entry accepted no byte */
    ENTRY_MAX_KB = 160 << 10,  /* memory limit for a small machine */
    SENDS_MAX = 60,
    SEND_EVERY_MS = 100
};

static void a_request_is_forwarded_without_reserved_fields(void **state)
{
    TestCluster *p = cluster_new(2, 2);
    (void)state;
    ClusterAnswer a = cluster_request(p, 0, "GET", "/call/x", NULL);
    assert_int_equal(a.status, 200);
    assert_true(g_str_has_prefix(a.body->str, "ran r"));
    cluster_answer_release(&a);
    a = cluster_request(p, 1, "GET", "/stream/x", NULL);
    assert_int_equal(a.status, 200);
    assert_int_equal(cluster_count_events(&a), 5);
    cluster_answer_release(&a);
    a = cluster_request(p, 0, "GET", "/nowhere", NULL);
    assert_int_equal(a.status, 404);
    cluster_answer_release(&a);
    a = cluster_request(p, 0, "GET", "/call/x",
                        "Authorization: Token wrong\r\n");
    assert_int_equal(a.status, 401);
    cluster_answer_release(&a);
    assert_int_equal(cluster_count_field_violations(p), 0);
    cluster_free(p);
}

static void malformed_heads_are_rejected(void **state)
{
    static const char *const malformed[] = {
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
    TestCluster *p = cluster_new(1, 1);
    unsigned before = cluster_count_runs(p);
    (void)state;
    for (size_t i = 0; i < WP_COUNT(malformed); i++) {
        ClusterAnswer a = cluster_send_raw(p, 0, malformed[i]);
        assert_int_equal(a.status, 400);
        assert_true(a.closed);
        cluster_answer_release(&a);
    }
    assert_int_equal(cluster_count_runs(p), before);
    cluster_free(p);
}

/* Two pipelined requests are answered one after the other, in order. */
static void keep_alive_connections_carry_one_request_at_a_time(void **state)
{
    TestCluster *p = cluster_new(1, 2);
    (void)state;
    ClusterAnswer a = cluster_send_raw(
        p, 0,
        "GET /call/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: q1\r\n"
        "Authorization: Token key-1\r\n\r\n"
        "GET /call/2 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: q2\r\n"
        "Authorization: Token key-1\r\nConnection: close\r\n\r\n");
    const char *first = strstr(a.body->str, "ran q1");
    const char *second = strstr(a.body->str, "ran q2");
    assert_true(first && second && first < second);
    cluster_answer_release(&a);
    cluster_free(p);
}

static void aborted_streams_resume_at_another_endpoint(void **state)
{
    TestCluster *p = cluster_new(1, 2);
    (void)state;
    cluster_set_replica_faults(p, 0, "{\"cut\":1,\"events\":20}");
    cluster_set_replica_faults(p, 1, "{\"events\":20}");
    for (int i = 0; i < 10; i++) {
        ClusterAnswer a = cluster_request(p, 0, "GET", "/stream/x", NULL);
        assert_int_equal(a.status, 200);
        assert_int_equal(cluster_count_events(&a), 20);
        cluster_answer_release(&a);
    }
    cluster_free(p);
}

/* Answers with neither a length nor chunks end with their connections. */
static void
a_stream_that_closes_inside_an_event_does_not_look_complete(void **state)
{
    enum { STREAMS = 60 };
    TestCluster *p = cluster_new(1, 3);
    unsigned whole = 0;
    (void)state;
    for (unsigned i = 0; i < 3; i++)
        cluster_set_replica_faults(
            p, i, "{\"until_close\":1,\"cut\":0.3,\"events\":6}");
    for (unsigned i = 0; i < STREAMS; i++) {
        ClusterAnswer a = cluster_request(p, 0, "GET", "/stream/x", NULL);
        if (a.complete)
            assert_int_equal(cluster_count_events(&a), 6);
        whole += a.complete;
        cluster_answer_release(&a);
    }
    assert_in_range(whole, STREAMS * 9 / 10, STREAMS);
    cluster_free(p);
}

static void
answers_that_end_with_their_connections_are_passed_on_whole(void **state)
{
    TestCluster *p = cluster_new(1, 1);
    (void)state;
    cluster_set_replica_faults(p, 0, "{\"until_close\":1,\"events\":6}");
    for (int i = 0; i < 10; i++) {
        ClusterAnswer a = cluster_request(p, 0, "GET", "/stream/x", NULL);
        assert_int_equal(cluster_count_events(&a), 6);
        cluster_answer_release(&a);
        a = cluster_request(p, 0, "GET", "/call/x", NULL);
        g_autofree char *body = g_strdup_printf("ran %s\n", a.id);
        assert_true(a.complete);
        assert_string_equal(a.body->str, body);
        cluster_answer_release(&a);
    }
    cluster_free(p);
}

static void non_repeatable_requests_run_at_most_once(void **state)
{
    TestCluster *p = cluster_new(2, 2);
    (void)state;
    cluster_set_replica_faults(p, 0, "{\"cut\":0.5}");
    cluster_set_replica_faults(p, 1, "{\"refuse\":0.3}");
    for (int i = 0; i < 40; i++) {
        ClusterAnswer a =
            cluster_request(p, (unsigned)i % 2, "POST", "/once/x", NULL);
        bool ran = cluster_has_run(p, a.id);
        /* Both guarantee that the request has not run. */
        if (a.status == 503 || a.status == 429)
            assert_false(ran);
        if (a.status == 200)
            assert_true(ran);
        cluster_answer_release(&a);
    }
    assert_int_equal(cluster_max_runs_of_a_request(p), 1);
    cluster_free(p);
}

/* A configuration becomes active at a box that cannot reach the store, because
   the other box sends it. */
static void
a_box_without_the_store_gets_the_configuration_from_a_peer(void **state)
{
    TestCluster *p = cluster_new(2, 1);
    (void)state;
    cluster_silence_store(p, 1);
    cluster_write_config(p, 2, "/new/");
    cluster_wait_status(p, 0, "/new/x", 200);
    cluster_wait_status(p, 1, "/new/x", 200);
    cluster_free(p);
}

static void a_draining_endpoint_gets_no_requests(void **state)
{
    TestCluster *p = cluster_new(2, 2);
    (void)state;
    cluster_set_replica_faults(p, 0, "{\"draining\":true}");
    cluster_wait_no_requests(p, 0);
    unsigned before = cluster_count_replica_runs(p, 0);
    for (int i = 0; i < 20; i++) {
        ClusterAnswer a =
            cluster_request(p, (unsigned)i % 2, "GET", "/call/x", NULL);
        assert_int_equal(a.status, 200);
        cluster_answer_release(&a);
    }
    assert_int_equal(cluster_count_replica_runs(p, 0), before);
    cluster_free(p);
}

/* The last configuration stays active while the store is unavailable, and later
   changes are applied when it is back, also if its history was dropped. */
static void requests_are_served_while_the_store_is_down(void **state)
{
    TestCluster *p = cluster_new(1, 1);
    (void)state;
    cluster_control_store(p, "{\"down\":\"silent\"}");
    ClusterAnswer a = cluster_request(p, 0, "GET", "/call/x", NULL);
    assert_int_equal(a.status, 200);
    cluster_answer_release(&a);
    cluster_write_config(p, 2, "/new/");
    cluster_control_store(p, "{\"down\":\"\",\"compact\":true}");
    cluster_wait_status(p, 0, "/new/x", 200);
    cluster_free(p);
}

static void a_planned_stop_completes_streams(void **state)
{
    TestCluster *p = cluster_new(1, 1);
    (void)state;
    cluster_set_replica_faults(p, 0, "{\"events\":60}");
    ClusterAnswer a = cluster_send_request(p, 0, "GET", "/stream/x");
    cluster_stop_entry(p, 0);
    cluster_read_answer(p, &a);
    assert_int_equal(a.status, 200);
    assert_int_equal(cluster_count_events(&a), 60);
    cluster_answer_release(&a);
    assert_int_equal(cluster_wait_exit_code(p, 0), 0);
    cluster_free(p);
}

/* A box that stops while peers are linked to it exits with code 0. It must free
   its links after the modules that send updates over them: a crash there lost
   the last answers, on 2 of 42 days with planned stops. */
static void a_linked_box_stops_cleanly(void **state)
{
    TestCluster *p = cluster_new(2, 1);
    (void)state;
    cluster_silence_store(p, 1);
    cluster_write_config(p, 2, "/new/");
    cluster_wait_status(p, 1, "/new/x", 200); /* sent by the other box */
    cluster_stop_entry(p, 1);
    assert_int_equal(cluster_wait_exit_code(p, 1), 0);
    cluster_free(p);
}

/* A reload of the settings aborts no request in flight. */
static void a_reload_aborts_no_stream(void **state)
{
    TestCluster *p = cluster_new(1, 1);
    (void)state;
    cluster_set_replica_faults(p, 0, "{\"events\":40}");
    ClusterAnswer a = cluster_send_request(p, 0, "GET", "/stream/x");
    cluster_signal_entry(p, 0, SIGHUP);
    cluster_read_answer(p, &a);
    assert_int_equal(cluster_count_events(&a), 40);
    cluster_answer_release(&a);
    a = cluster_request(p, 0, "GET", "/call/x", NULL);
    assert_int_equal(a.status, 200);
    cluster_answer_release(&a);
    cluster_free(p);
}

static void a_disconnected_caller_frees_its_endpoint(void **state)
{
    TestCluster *p = cluster_new(1, 1);
    (void)state;
    cluster_set_replica_faults(p, 0, "{\"mute\":1}");
    ClusterAnswer a = cluster_send_request(p, 0, "GET", "/stream/x");
    cluster_wait_running(p, 0, 1);
    cluster_answer_release(&a);
    cluster_wait_running(p, 0, 0);
    cluster_free(p);
}

/* A request's timeout includes the time for which its box was suspended,
   although the monotonic clock and the event loop's timers stop then. */
static void time_limits_count_while_suspended(void **state)
{
    TestCluster *p = cluster_new_with_clocks(1, 1);
    (void)state;
    cluster_set_replica_faults(p, 0, "{\"mute\":1}");
    int64_t from_us = g_get_monotonic_time();
    ClusterAnswer a = cluster_send_request(p, 0, "GET", "/call/x");
    cluster_wait_running(p, 0, 1);
    cluster_simulate_suspend(p, 0, ROUTE_TIMEOUT_S * WP_MS_PER_S);
    cluster_read_answer(p, &a);
    assert_int_equal(a.status, 504);
    assert_true(g_get_monotonic_time() - from_us <
                ROUTE_TIMEOUT_S * WP_US_PER_S / 2);
    cluster_answer_release(&a);
    cluster_free(p);
}

/* The store key of the suspect record of a POST request of workspace acme. */
static char *suspect_record_key(const char *target, const char *body)
{
    uint64_t head = wp_hash(wp_str(target), wp_hash(wp_str("POST"), 0));
    uint64_t content = wp_hash(wp_str(body), head);
    uint64_t request =
        wp_hash(wp_str("acme"), wp_hash(wp_str("h.example"), content));
    return g_strdup_printf("wp/suspect/%016lx",
                           (unsigned long)(request & ~WP_SUSPECT_PART_BIT));
}

/* Sends the request to both entries alternately, 60 times at most, until it is
   answered with `status`, for 503 because of its quarantine. Crashed endpoints
   are restarted. Returns whether the answer came. */
static bool send_until(TestCluster *p, unsigned replicas, const char *body,
                       int status)
{
    for (int i = 0; i < SENDS_MAX; i++) {
        ClusterAnswer a = { .fd = -1, .body = g_string_new(NULL) };
        g_snprintf(a.id, sizeof(a.id), "%s.%d", body, i);
        cluster_exchange_body(&a, cluster_entry_port(p, (unsigned)i % 2),
                              "POST", "/once/x", body);
        bool done = a.status == status &&
                    (status != 503 || strstr(a.body->str, "request_kept_out"));
        cluster_answer_release(&a);
        for (unsigned r = 0; r < replicas; r++)
            if (cluster_replica_exited(p, r))
                cluster_restart_replica(p, r);
        if (done)
            return true;
        g_usleep(SEND_EVERY_MS * WP_US_PER_MS);
    }
    return false;
}

/* A request that crashes endpoints is quarantined at all entries, also after
   all of them were killed, until an operator removes its record. */
static void a_request_is_quarantined_until_an_operator_releases_it(void **state)
{
    enum { REPLICAS = 6 };
    static const char body[] = "crash-0";
    TestCluster *p = cluster_new(2, REPLICAS);
    g_autofree char *key = suspect_record_key("/once/x", body);
    g_autofree char *remove = g_strdup_printf("{\"remove\":\"%s\"}", key);
    (void)state;
    assert_true(send_until(p, REPLICAS, body, 503));
    cluster_wait_store_key(p, key);
    cluster_restart_entry(p, 0);
    cluster_restart_entry(p, 1);
    cluster_wait_status(p, 0, "/call/x", 200);
    cluster_wait_status(p, 1, "/call/x", 200);
    unsigned before = cluster_count_runs(p);
    assert_true(send_until(p, REPLICAS, body, 503));
    assert_int_equal(cluster_count_runs(p), before);
    cluster_control_store(p, remove);
    assert_true(send_until(p, REPLICAS, body, 502));
    cluster_free(p);
}

/* Sends the head of a request with a large body; returns the connection. */
static int start_slow_upload(const TestCluster *p)
{
    static const char head[] = "POST /call/x HTTP/1.1\r\nHost: h.example\r\n"
                               "Authorization: Token key-1\r\n"
                               "X-Attempt-Id: slow\r\n"
                               "Content-Length: %d\r\n\r\n";
    struct sockaddr_in sa = { .sin_family = AF_INET,
                              .sin_port = htons(cluster_entry_port(p, 0)) };
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_autofree char *text = g_strdup_printf(head, SLOW_BODY_BYTES);
    inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
    assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

/* Sends as much of the bodies as the entry accepts; returns the bytes sent. */
static size_t continue_uploads(const int *fds, size_t *unsent)
{
    static const char zeros[64 << 10];
    size_t sum = 0;
    for (unsigned i = 0; i < SLOW_UPLOADS; i++) {
        ssize_t n = write(fds[i], zeros, MIN(unsent[i], sizeof(zeros)));
        unsent[i] -= (size_t)MAX(n, 0);
        sum += (size_t)MAX(n, 0);
    }
    return sum;
}

/* A hundred callers that each send 4 MB except for the last byte do not exhaust
   the memory of a small machine, and other callers are served meanwhile. */
static void slow_uploads_do_not_exhaust_memory(void **state)
{
    TestCluster *p = cluster_new(1, 2);
    int fds[SLOW_UPLOADS];
    size_t unsent[SLOW_UPLOADS];
    unsigned sent = 0, served = 0;
    long max_kb = 0;
    (void)state;
    for (unsigned i = 0; i < SLOW_UPLOADS; i++) {
        fds[i] = start_slow_upload(p);
        unsent[i] = SLOW_BODY_BYTES - 1;
    }
    for (unsigned stalled = 0; stalled < STALLED_ROUNDS; stalled++) {
        if (continue_uploads(fds, unsent))
            stalled = 0;
        ClusterAnswer a = cluster_request(p, 0, "GET", "/call/x", NULL);
        sent++;
        served += a.status == 200;
        cluster_answer_release(&a);
        max_kb = MAX(max_kb, cluster_entry_resident_kb(p, 0));
    }
    print_message("%u of %u served, at most %ld MB\n", served, sent,
                  max_kb >> 10);
    assert_true(served >= 0.98 * sent);
    assert_in_range(max_kb, 1, ENTRY_MAX_KB);
    for (unsigned i = 0; i < SLOW_UPLOADS; i++)
        close(fds[i]);
    cluster_free(p);
}

TESTS_MAIN(T(a_request_is_forwarded_without_reserved_fields),
           T(malformed_heads_are_rejected),
           T(keep_alive_connections_carry_one_request_at_a_time),
           T(aborted_streams_resume_at_another_endpoint),
           T(a_stream_that_closes_inside_an_event_does_not_look_complete),
           T(answers_that_end_with_their_connections_are_passed_on_whole),
           T(non_repeatable_requests_run_at_most_once),
           T(a_box_without_the_store_gets_the_configuration_from_a_peer),
           T(a_draining_endpoint_gets_no_requests),
           T(requests_are_served_while_the_store_is_down),
           T(slow_uploads_do_not_exhaust_memory),
           T(a_planned_stop_completes_streams), T(a_linked_box_stops_cleanly),
           T(a_reload_aborts_no_stream),
           T(a_disconnected_caller_frees_its_endpoint),
           T(time_limits_count_while_suspended),
           T(a_request_is_quarantined_until_an_operator_releases_it))
