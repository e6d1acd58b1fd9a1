/* Callers of wpdirect that do not behave, at each of its ports, against a box
 * whose machine has little memory: the process lives, stays within that memory
 * and its descriptors, and answers an ordinary request beside them. */
#include "cluster.h"
#include "crowd.h"

enum {
    MEMORY_MB = 24,
    REPLICAS = 2,
    SLOTS = 200,
    DESCRIPTORS = 256, /* of a box where these run out */
    KB = 1 << 10
};

#define SETTINGS "memory_mb: 24\n"
#define CALLER                                                                 \
    "Host: h.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: crowd\r\n"
#define GET(target) "GET " target " HTTP/1.1\r\n" CALLER "\r\n"
#define ORDINARY "GET /call/x HTTP/1.1\r\nConnection: close\r\n" CALLER "\r\n"
#define POST "POST /call/x HTTP/1.1\r\n" CALLER
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static TestCluster *cluster;
static ClusterEntry box;
static Crowd *crowd;

static void open_box(void)
{
    cluster = cluster_new_with_settings(1, REPLICAS, SLOTS, SETTINGS);
    box = cluster_entry(cluster, 0);
}

static void set_replicas(const char *json)
{
    for (unsigned i = 0; i < REPLICAS; i++)
        cluster_set_replica_faults(cluster, i, json);
}

/* What must hold beside any crowd. Sanitizers keep freed memory, so that they
   do not show what the box holds. */
static void check_box(void)
{
    assert_true(crowd_is_alive(box.pid));
    set_replicas("{\"answer_bytes\":0}");
    assert_true(crowd_is_served(box.http, wp_str(ORDINARY), "HTTP/1.1 200 "));
    assert_true(crowd_is_alive(box.pid));
#ifndef __SANITIZE_ADDRESS__
    long kb = crowd_peak_kb(box.pid);
    print_message("%ld KB\n", kb);
    if (!kb || kb > MEMORY_MB * KB)
        fail_msg("%ld KB of %d KB", kb, MEMORY_MB * KB);
#endif
}

/* Also after a test that has failed. */
static int close_box(void **state)
{
    (void)state;
    crowd_free(crowd);
    crowd = NULL;
    cluster_free(cluster);
    return 0;
}

static void play(const CrowdPlan *plan)
{
    crowd = crowd_new(plan);
    check_box();
    crowd_free(g_steal_pointer(&crowd));
    check_box();
}

/* Bodies that stop short of their end. */
static void small_bodies_cut_short_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    play(&(CrowdPlan){ .port = box.http,
                       .connections = 400,
                       .head = wp_str(POST CHUNKED "ffff\r\n"),
                       .fill_bytes = 63 * KB });
}

static void bodies_in_tiny_chunks_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    play(&(CrowdPlan){ .port = box.http,
                       .connections = 200,
                       .head = wp_str(POST CHUNKED),
                       .unit = "1\r\nx\r\n",
                       .repeats = 200000 });
}

static void large_bodies_cut_short_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    play(&(CrowdPlan){ .port = box.http,
                       .connections = 200,
                       .head = wp_str(POST CHUNKED "3fffff\r\n"),
                       .fill_bytes = 2000 * KB });
}

static void bodies_with_a_length_cut_short_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    play(&(CrowdPlan){ .port = box.http,
                       .connections = 400,
                       .head = wp_str(POST "Content-Length: 65000\r\n\r\n"),
                       .fill_bytes = 63 * KB });
}

static void heads_cut_short_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    play(&(CrowdPlan){ .port = box.http,
                       .connections = 1500,
                       .head = wp_str("GET /call/x HTTP/1.1\r\n" CALLER "X: "),
                       .fill_bytes = 15 * KB });
}

/* What one caller may send is taken in calm, again and again. */
static void requests_inside_the_limits_are_refused_in_calm(void **state)
{
    enum { BODY_BYTES = 4 << 20, FIELD_BYTES = 15 << 10, TIMES = 3 };
    g_autofree char *body = g_strnfill(BODY_BYTES, 'x');
    g_autofree char *field = g_strnfill(FIELD_BYTES, 'x');
    g_autofree char *text = g_strdup_printf(
        POST "Connection: close\r\nX-Fill: %s\r\nContent-Length: %d\r\n\r\n%s",
        field, BODY_BYTES, body);
    (void)state;
    open_box();
    for (unsigned i = 0; i < TIMES; i++)
        assert_true(crowd_is_served(box.http, wp_str(text), "HTTP/1.1 200 "));
    g_autofree char *metrics = cluster_entry_metrics(cluster, 0);
    assert_non_null(
        strstr(metrics, "wp_bad_input_total{box=\"e0\",zone=\"z1\"} 0"));
    assert_non_null(strstr(
        metrics, "wp_connections_gave_way_total{box=\"e0\",zone=\"z1\"} 0"));
    check_box();
}

/* Requests sent ahead, whose answers are not read. */
static void answers_to_requests_ahead_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    set_replicas("{\"answer_bytes\":60000}");
    play(&(CrowdPlan){ .port = box.http,
                       .connections = 100,
                       .unit = GET("/call/x"),
                       .repeats = 400,
                       .rounds = 300 });
}

static void large_answers_to_requests_ahead_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    set_replicas("{\"answer_bytes\":900000}");
    play(&(CrowdPlan){ .port = box.http,
                       .connections = 60,
                       .unit = GET("/call/x"),
                       .repeats = 100,
                       .rounds = 300 });
}

static void refusals_of_requests_ahead_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    play(&(CrowdPlan){ .port = box.http,
                       .connections = 60,
                       .unit = GET("/none"),
                       .repeats = 100000,
                       .rounds = 300 });
}

static void streams_that_nobody_reads_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    set_replicas("{\"events\":300,\"event_bytes\":30000}");
    play(&(CrowdPlan){ .port = box.http,
                       .connections = 300,
                       .unit = GET("/stream/x"),
                       .repeats = 2,
                       .rounds = 300 });
}

static void slow_readers_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    set_replicas("{\"answer_bytes\":900000}");
    play(&(CrowdPlan){ .port = box.http,
                       .connections = 100,
                       .head = wp_str(GET("/call/x")),
                       .read_bytes = 20,
                       .rounds = 400 });
}

/* The ports that other processes of the project, or the platform, use. */
static void frames_before_a_hello_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    play(&(CrowdPlan){ .port = box.peers,
                       .connections = 60,
                       .head = wp_strn("\x00\x79\x00\x00", 4),
                       .fill_bytes = 7000 * KB });
}

static void bodies_at_the_metrics_port_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    play(&(CrowdPlan){ .port = box.metrics,
                       .connections = 60,
                       .head = wp_str("POST /metrics HTTP/1.1\r\nHost: m\r\n"
                                      "Content-Length: 8000000\r\n\r\n"),
                       .fill_bytes = 4000 * KB });
}

static void bodies_at_the_ready_port_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    play(&(CrowdPlan){
        .port = box.ready,
        .connections = 60,
        .head = wp_str("POST / HTTP/1.1\r\nHost: m\r\n" CHUNKED "7fffff\r\n"),
        .fill_bytes = 4000 * KB });
}

static void unread_metrics_exceed_the_memory(void **state)
{
    (void)state;
    open_box();
    play(&(CrowdPlan){ .port = box.metrics,
                       .connections = 60,
                       .unit = "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n",
                       .repeats = 20000,
                       .rounds = 300 });
}

/* Plays a crowd of idle connections against a box with few descriptors. */
static void play_idle(uint16_t (*port)(void))
{
    unsigned before = crowd_limit_descriptors(DESCRIPTORS);
    open_box();
    crowd_limit_descriptors(before);
    crowd = crowd_new(&(CrowdPlan){ .port = port(), .connections = 400 });
    check_box();
    assert_in_range(crowd_descriptors(box.pid), 1, DESCRIPTORS - 1);
    crowd_free(g_steal_pointer(&crowd));
    check_box();
}

static uint16_t http_port(void)
{
    return box.http;
}

static uint16_t peers_port(void)
{
    return box.peers;
}

static uint16_t metrics_port(void)
{
    return box.metrics;
}

static void idle_callers_take_all_descriptors(void **state)
{
    (void)state;
    play_idle(http_port);
}

static void idle_peers_take_all_descriptors(void **state)
{
    (void)state;
    play_idle(peers_port);
}

static void idle_readers_of_metrics_take_all_descriptors(void **state)
{
    (void)state;
    play_idle(metrics_port);
}

#define U(name) cmocka_unit_test_teardown(name, close_box)

TESTS_MAIN(U(small_bodies_cut_short_exceed_the_memory),
           U(bodies_in_tiny_chunks_exceed_the_memory),
           U(large_bodies_cut_short_exceed_the_memory),
           U(bodies_with_a_length_cut_short_exceed_the_memory),
           U(heads_cut_short_exceed_the_memory),
           U(requests_inside_the_limits_are_refused_in_calm),
           U(answers_to_requests_ahead_exceed_the_memory),
           U(large_answers_to_requests_ahead_exceed_the_memory),
           U(refusals_of_requests_ahead_exceed_the_memory),
           U(streams_that_nobody_reads_exceed_the_memory),
           U(slow_readers_exceed_the_memory),
           U(frames_before_a_hello_exceed_the_memory),
           U(bodies_at_the_metrics_port_exceed_the_memory),
           U(bodies_at_the_ready_port_exceed_the_memory),
           U(unread_metrics_exceed_the_memory),
           U(idle_callers_take_all_descriptors),
           U(idle_peers_take_all_descriptors),
           U(idle_readers_of_metrics_take_all_descriptors))
