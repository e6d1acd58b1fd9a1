/* What is held for callers that read or send slowly, on loopback, with time
 * that the test moves. */
#include "free_port.h"
#include "test.h"
#include "wp_downstream.h"
#include "wp_buffered.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    SLOW = 12,        /* callers that do not read */
    ANSWER = 8 << 20, /* bytes; more than the kernel keeps for a caller */
    BODY = 3 << 20,   /* of a request */
    PIECE = 64 << 10, /* of it that comes between two ticks */
    TURNS = 200,      /* of the loop until all has moved that can */
    TICK_MS = 50,
    GUARD_MS = 5000,
    SMALL_BUFFER = 4 << 10 /* of the kernel, for one caller */
};

typedef struct World {
    struct event_base *base;
    WPDownstream *front;
    WPBuffered held;
    WPTime now;
    char *answer;
    unsigned requests, left, refused, cut;
    uint16_t port;
} World;

static void on_request(void *arg, WPDownstreamConn *p, const WPHead *h)
{
    World *w = arg;
    (void)h;
    w->requests++;
    wp_downstream_send_answer(p, 200, wp_str(""), wp_strn(w->answer, ANSWER));
}

static void on_left(void *arg, WPDownstreamConn *p)
{
    (void)p;
    ((World *)arg)->left++;
}

static void on_drained(void *arg, WPDownstreamConn *p)
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

static const WPDownstreamOps ops = { on_request, on_left, on_drained,
                                     on_refused };

static void open_world(World *w, double memory_mb)
{
    static const WPRouteLimits limits = { 16 << 10, 4 << 20, 5000, 30000 };
    GError *error = NULL;
    *w = (World){ .now = { 1000000, 0 } };
    w->base = event_base_new();
    w->port = free_port();
    w->answer = g_malloc0(ANSWER);
    wp_buffered_set_limit(&w->held, memory_mb);
    g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", w->port);
    w->front = wp_downstream_new(w->base, addr, &ops, w, &error);
    assert_non_null(w->front);
    wp_downstream_set_limits(w->front, &limits);
}

static void close_world(World *w)
{
    wp_downstream_free(w->front);
    event_base_free(w->base);
    g_free(w->answer);
}

static int dial(const World *w, bool slow)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0),
        small = SMALL_BUFFER;
    struct sockaddr_in sa = { .sin_family = AF_INET,
                              .sin_port = htons(w->port) };
    if (slow)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)))
        assert_int_equal(errno, EINPROGRESS);
    return fd;
}

/* What a box does at each tick. */
static void tick(World *w)
{
    for (unsigned i = 0; i < TURNS; i++)
        event_base_loop(w->base, EVLOOP_NONBLOCK);
    w->now.mono_us += TICK_MS * WP_US_PER_MS;
    if (wp_buffered_update(&w->held,
                           wp_downstream_poll_buffered(w->front, w->now)))
        wp_downstream_set_over_limit(w->front, w->held.over_limit);
    if (w->held.over_limit)
        w->cut += wp_downstream_close_unread(w->front, w->now,
                                             WP_BUFFERED_READ_TIMEOUT_MS);
}

static void ask(int fd)
{
    static const char text[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
}

/* Reads what has come; returns how much. */
static size_t take(int fd)
{
    char some[64 << 10];
    size_t sum = 0;
    for (ssize_t n; (n = read(fd, some, sizeof(some))) > 0;)
        sum += (size_t)n;
    return sum;
}

static void the_bound_has_a_beginning_and_an_end(void **state)
{
    (void)state;
    WPBuffered h = { 0 };
    wp_buffered_set_limit(&h, 100);
    assert_false(wp_buffered_update(&h, h.limit_bytes - 1));
    assert_true(wp_buffered_update(&h, h.limit_bytes) && h.over_limit);
    assert_false(wp_buffered_update(&h, h.limit_bytes - 1));
    assert_true(wp_buffered_update(&h, h.limit_bytes / 2) && !h.over_limit);
    wp_buffered_set_limit(&h, 0);
    assert_true(h.limit_bytes > 0);
}

/* Callers that read nothing are cut off once too much is held; one that reads
   has its whole answer beside them. */
static void callers_that_do_not_read_are_cut(void **state)
{
    (void)state;
    World w;
    int slow[SLOW], good;
    open_world(&w, 32);
    for (unsigned i = 0; i < SLOW; i++)
        slow[i] = dial(&w, true);
    good = dial(&w, false);
    tick(&w);
    for (unsigned i = 0; i < SLOW; i++)
        ask(slow[i]);
    tick(&w);
    assert_int_equal(w.requests, SLOW);
    assert_true(w.held.over_limit);
    ask(good);
    size_t got = 0;
    int64_t end_us = g_get_monotonic_time() + GUARD_MS * WP_US_PER_MS;
    while (got <= ANSWER && g_get_monotonic_time() < end_us) {
        event_base_loop(w.base, EVLOOP_NONBLOCK);
        got += take(good);
    }
    assert_true(got > ANSWER);
    for (unsigned ms = 0; ms <= WP_BUFFERED_READ_TIMEOUT_MS; ms += TICK_MS)
        tick(&w);
    assert_true(w.cut >= SLOW / 2);
    assert_false(w.held.over_limit);
    assert_true(w.held.bytes < w.held.limit_bytes);
    for (unsigned i = 0; i < SLOW; i++)
        close(slow[i]);
    close(good);
    close_world(&w);
}

/* Sends a piece, or what the other side takes of it. */
static void send_some(int fd, size_t *left)
{
    static const char zeros[PIECE];
    ssize_t n = write(fd, zeros, MIN(*left, sizeof(zeros)));
    *left -= (size_t)MAX(n, 0);
}

/* While too much is held large bodies are not read on; then they are. */
static void large_bodies_wait(void **state)
{
    (void)state;
    World w;
    int fd[SLOW];
    size_t left[SLOW];
    open_world(&w, 32);
    for (unsigned i = 0; i < SLOW; i++)
        fd[i] = dial(&w, true);
    tick(&w);
    for (unsigned i = 0; i < SLOW; i++) {
        g_autofree char *head = g_strdup_printf(
            "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", BODY);
        assert_int_equal(write(fd[i], head, strlen(head)), strlen(head));
        left[i] = BODY;
    }
    for (unsigned round = 0; round < TURNS; round++) {
        for (unsigned i = 0; i < SLOW; i++)
            send_some(fd[i], &left[i]);
        event_base_loop(w.base, EVLOOP_NONBLOCK);
        if (wp_buffered_update(&w.held,
                               wp_downstream_poll_buffered(w.front, w.now)))
            wp_downstream_set_over_limit(w.front, w.held.over_limit);
    }
    assert_true(w.held.over_limit);
    assert_true(w.held.bytes < w.held.limit_bytes + SLOW * PIECE);
    assert_int_equal(w.requests, 0);
    wp_downstream_set_over_limit(w.front, false);
    int64_t end_us = g_get_monotonic_time() + GUARD_MS * WP_US_PER_MS;
    while (w.requests < SLOW && g_get_monotonic_time() < end_us) {
        for (unsigned i = 0; i < SLOW; i++)
            send_some(fd[i], &left[i]);
        event_base_loop(w.base, EVLOOP_NONBLOCK);
    }
    assert_int_equal(w.requests, SLOW);
    for (unsigned i = 0; i < SLOW; i++)
        close(fd[i]);
    close_world(&w);
}

TESTS_MAIN(T(the_bound_has_a_beginning_and_an_end),
           T(callers_that_do_not_read_are_cut), T(large_bodies_wait))
