/* Bytes that are buffered for callers that read or send slowly, on loopback,
 * with virtual time. */
#include "free_port.h"
#include "test.h"
#include "wp_downstream.h"
#include "wp_buffered.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    SLOW_CALLERS = 12,      /* callers that do not read */
    ANSWER_BYTES = 8 << 20, /* more than the kernel buffers for a caller */
    BODY_BYTES = 3 << 20,   /* of a request */
    CHUNK_BYTES = 64 << 10, /* of a body, sent between two ticks */
    LOOP_TURNS = 200, /* of the event loop, until all that can move has moved */
    TICK_MS = 50,
    TIMEOUT_MS = 5000,
    SETTLED_MS = 300,      /* longer than a socket takes to fill its buffers */
    RCVBUF_BYTES = 4 << 10 /* receive buffer of the kernel for a slow caller */
};

typedef struct World {
    struct event_base *base;
    WPDownstream *downstream;
    WPBuffered buffered;
    WPTime now;
    char *answer;
    unsigned requests, gone, refused, closed;
    WPCode last_refusal;
    uint16_t port;
} World;

static void on_request(void *arg, WPDownstreamConn *p, const WPHead *h)
{
    World *w = arg;
    (void)h;
    w->requests++;
    wp_downstream_send_answer(p, 200, wp_str(""),
                              wp_strn(w->answer, ANSWER_BYTES));
}

static void on_gone(void *arg, WPDownstreamConn *p)
{
    (void)p;
    ((World *)arg)->gone++;
}

static void on_drained(void *arg, WPDownstreamConn *p)
{
    (void)arg;
    (void)p;
}

static void on_refused(void *arg, WPCode code, const char *detail)
{
    World *w = arg;
    (void)detail;
    w->last_refusal = code;
    w->refused++;
}

static const WPDownstreamOps ops = { on_request, on_gone, on_drained,
                                     on_refused, NULL };

static void open_world(World *w, double memory_mb)
{
    static const WPRouteLimits limits = { 16 << 10, 4 << 20, 5000, 30000 };
    GError *error = NULL;
    *w = (World){ .now = { 1000000, 0 } };
    w->base = event_base_new();
    w->port = free_port();
    w->answer = g_malloc0(ANSWER_BYTES);
    wp_buffered_set_limit(&w->buffered, memory_mb);
    g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", w->port);
    w->downstream = wp_downstream_new(w->base, addr, &ops, w, &error);
    assert_non_null(w->downstream);
    wp_downstream_set_limits(w->downstream, &limits);
}

static void close_world(World *w)
{
    wp_downstream_free(w->downstream);
    event_base_free(w->base);
    g_free(w->answer);
}

static int dial(const World *w, bool slow)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0),
        small = RCVBUF_BYTES;
    struct sockaddr_in sa = { .sin_family = AF_INET,
                              .sin_port = htons(w->port) };
    if (slow)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)))
        assert_int_equal(errno, EINPROGRESS);
    return fd;
}

/* Runs the event loop, then does what a box does at each tick. */
static void tick(World *w)
{
    for (unsigned i = 0; i < LOOP_TURNS; i++)
        event_base_loop(w->base, EVLOOP_NONBLOCK);
    w->now.mono_us += TICK_MS * WP_US_PER_MS;
    if (wp_buffered_update(&w->buffered,
                           wp_downstream_poll_buffered(w->downstream, w->now)))
        wp_downstream_set_over_limit(w->downstream, w->buffered.over_limit);
    if (w->buffered.over_limit)
        w->closed += wp_downstream_close_unread(w->downstream, w->now,
                                                WP_BUFFERED_READ_TIMEOUT_MS);
}

/* Runs the event loop, without virtual time, until the kernel has taken all
   bytes that it buffers for callers that do not read. */
static void settle(World *w)
{
    int64_t now_us = g_get_monotonic_time(), changed_us = now_us,
            end_us = now_us + TIMEOUT_MS * WP_US_PER_MS;
    size_t bytes = 0;
    while (now_us - changed_us < SETTLED_MS * WP_US_PER_MS && now_us < end_us) {
        event_base_loop(w->base, EVLOOP_NONBLOCK);
        size_t n = wp_downstream_poll_buffered(w->downstream, w->now);
        now_us = g_get_monotonic_time();
        if (n != bytes)
            changed_us = now_us;
        bytes = n;
    }
}

static void send_request(int fd)
{
    static const char text[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
}

/* Reads and discards the bytes that have arrived; returns their number. */
static size_t read_available(int fd)
{
    char buf[64 << 10];
    size_t sum = 0;
    for (ssize_t n; (n = read(fd, buf, sizeof(buf))) > 0;)
        sum += (size_t)n;
    return sum;
}

static void limit_has_hysteresis(void **state)
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

/* Above the limit, connections of callers that read nothing are closed; a
   caller that reads gets its complete answer meanwhile. */
static void callers_that_do_not_read_are_closed(void **state)
{
    (void)state;
    World w;
    int slow[SLOW_CALLERS], good;
    open_world(&w, 32);
    for (unsigned i = 0; i < SLOW_CALLERS; i++)
        slow[i] = dial(&w, true);
    good = dial(&w, false);
    tick(&w);
    for (unsigned i = 0; i < SLOW_CALLERS; i++)
        send_request(slow[i]);
    tick(&w);
    assert_int_equal(w.requests, SLOW_CALLERS);
    assert_true(w.buffered.over_limit);
    send_request(good);
    size_t got = 0;
    int64_t end_us = g_get_monotonic_time() + TIMEOUT_MS * WP_US_PER_MS;
    while (got <= ANSWER_BYTES && g_get_monotonic_time() < end_us) {
        event_base_loop(w.base, EVLOOP_NONBLOCK);
        got += read_available(good);
    }
    assert_true(got > ANSWER_BYTES);
    settle(&w);
    for (unsigned ms = 0; ms <= WP_BUFFERED_READ_TIMEOUT_MS; ms += TICK_MS)
        tick(&w);
    assert_true(w.closed >= SLOW_CALLERS / 2);
    assert_false(w.buffered.over_limit);
    assert_true(w.buffered.bytes < w.buffered.limit_bytes);
    for (unsigned i = 0; i < SLOW_CALLERS; i++)
        close(slow[i]);
    close(good);
    close_world(&w);
}

/* Sends a chunk of the `*unsent` bytes, or what the socket accepts of it. */
static void send_chunk(int fd, size_t *unsent)
{
    static const char zeros[CHUNK_BYTES];
    ssize_t n = write(fd, zeros, MIN(*unsent, sizeof(zeros)));
    *unsent -= (size_t)MAX(n, 0);
}

/* Sends large bodies until the box is over its limit. */
static void upload_over_the_limit(World *w, int fd[], size_t unsent[])
{
    for (unsigned i = 0; i < SLOW_CALLERS; i++)
        fd[i] = dial(w, true);
    tick(w);
    for (unsigned i = 0; i < SLOW_CALLERS; i++) {
        g_autofree char *head = g_strdup_printf(
            "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n",
            BODY_BYTES);
        assert_int_equal(write(fd[i], head, strlen(head)), strlen(head));
        unsent[i] = BODY_BYTES;
    }
    for (unsigned round = 0; round < LOOP_TURNS; round++) {
        for (unsigned i = 0; i < SLOW_CALLERS; i++)
            send_chunk(fd[i], &unsent[i]);
        event_base_loop(w->base, EVLOOP_NONBLOCK);
        if (wp_buffered_update(&w->buffered, wp_downstream_poll_buffered(
                                                 w->downstream, w->now)))
            wp_downstream_set_over_limit(w->downstream, w->buffered.over_limit);
    }
    assert_true(w->buffered.over_limit);
}

/* Above the limit, large bodies are not read any further; below it, reading
   goes on. */
static void large_bodies_wait_above_the_limit(void **state)
{
    (void)state;
    World w;
    int fd[SLOW_CALLERS];
    size_t unsent[SLOW_CALLERS];
    open_world(&w, 32);
    upload_over_the_limit(&w, fd, unsent);
    assert_true(w.buffered.bytes <
                w.buffered.limit_bytes + SLOW_CALLERS * CHUNK_BYTES);
    assert_int_equal(w.requests, 0);
    wp_downstream_set_over_limit(w.downstream, false);
    int64_t end_us = g_get_monotonic_time() + TIMEOUT_MS * WP_US_PER_MS;
    while (w.requests < SLOW_CALLERS && g_get_monotonic_time() < end_us) {
        for (unsigned i = 0; i < SLOW_CALLERS; i++)
            send_chunk(fd[i], &unsent[i]);
        event_base_loop(w.base, EVLOOP_NONBLOCK);
    }
    assert_int_equal(w.requests, SLOW_CALLERS);
    for (unsigned i = 0; i < SLOW_CALLERS; i++)
        close(fd[i]);
    close_world(&w);
}

/* Ends the connection by a reset, which is not held up by bytes before it. */
static void reset(int fd)
{
    const struct linger now = { 1, 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
}

/* Guards against paused uploads whose callers have gone, which were kept, with
   the memory that they take, until the idle time-out. */
static void paused_upload_outlives_its_caller(void **state)
{
    World w;
    int fd[SLOW_CALLERS];
    size_t unsent[SLOW_CALLERS];
    (void)state;
    open_world(&w, 32);
    upload_over_the_limit(&w, fd, unsent);
    for (unsigned i = 0; i < SLOW_CALLERS; i++)
        reset(fd[i]);
    tick(&w);
    tick(&w);
    assert_int_equal(wp_downstream_connection_count(w.downstream), 0);
    assert_false(w.buffered.over_limit);
    close_world(&w);
}

/* Begins an upload of BODY_BYTES on a new connection. */
static int begin_upload(World *w)
{
    int fd = dial(w, false);
    tick(w);
    g_autofree char *head = g_strdup_printf(
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n",
        BODY_BYTES);
    assert_int_equal(write(fd, head, strlen(head)), strlen(head));
    tick(w);
    return fd;
}

/* Sends the bodies, a chunk of each by turns, until `requests` have arrived. */
static void finish_uploads(World *w, const int fd[], unsigned n,
                           unsigned requests)
{
    size_t unsent[SLOW_CALLERS];
    int64_t end_us = g_get_monotonic_time() + TIMEOUT_MS * WP_US_PER_MS;
    for (unsigned i = 0; i < n; i++)
        unsent[i] = BODY_BYTES;
    while (w->requests < requests && g_get_monotonic_time() < end_us) {
        for (unsigned i = 0; i < n; i++)
            send_chunk(fd[i], &unsent[i]);
        event_base_loop(w->base, EVLOOP_NONBLOCK);
    }
    assert_int_equal(w->requests, requests);
}

/* Guards against uploads that pause each other at the limit of buffered bytes,
   so that none of them is ever complete. */
static void large_uploads_at_once_do_not_hang_each_other(void **state)
{
    enum { FIT = 3 };
    World w;
    int fd[SLOW_CALLERS];
    char answer[64] = "";
    (void)state;
    open_world(&w, 512);
    wp_downstream_set_uploads_limit(w.downstream,
                                    FIT * BODY_BYTES + BODY_BYTES / 2);
    for (unsigned i = 0; i < SLOW_CALLERS; i++)
        fd[i] = begin_upload(&w);
    /* Those that do not fit are refused at once, and the callers learn it. */
    assert_int_equal(w.refused, SLOW_CALLERS - FIT);
    assert_int_equal(w.last_refusal, WP_NO_MEMORY);
    assert_true(read(fd[FIT], answer, sizeof(answer) - 1) > 0);
    assert_non_null(strstr(answer, "HTTP/1.1 503"));
    finish_uploads(&w, fd, FIT, FIT);
    /* There is room for others then. */
    int later = begin_upload(&w);
    finish_uploads(&w, &later, 1, FIT + 1);
    assert_int_equal(w.refused, SLOW_CALLERS - FIT);
    for (unsigned i = 0; i < SLOW_CALLERS; i++)
        close(fd[i]);
    close(later);
    close_world(&w);
}

/* A body that is longer than any may be is told so, not to come back. */
static void a_length_above_the_limit_is_refused_as_too_large(void **state)
{
    static const char text[] = "POST /x HTTP/1.1\r\nHost: h\r\n"
                               "Content-Length: 999999999\r\n\r\nx";
    World w;
    (void)state;
    open_world(&w, 512);
    wp_downstream_set_uploads_limit(w.downstream, BODY_BYTES);
    int fd = dial(&w, false);
    tick(&w);
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
    tick(&w);
    assert_int_equal(w.refused, 1);
    assert_int_equal(w.last_refusal, WP_TOO_LARGE);
    close(fd);
    close_world(&w);
}

/* Guards against requests that are begun ahead of an answer that their caller
   does not read, each of which adds its answer to the output. */
static void requests_ahead_begin_before_the_answer_is_read(void **state)
{
    enum { AHEAD = 20 };
    World w;
    size_t got = 0;
    (void)state;
    open_world(&w, 512);
    int fd = dial(&w, true);
    tick(&w);
    for (unsigned i = 0; i < AHEAD; i++)
        send_request(fd);
    settle(&w);
    assert_int_equal(w.requests, 1);
    int64_t end_us = g_get_monotonic_time() + TIMEOUT_MS * WP_US_PER_MS;
    while (w.requests < 2 && g_get_monotonic_time() < end_us) {
        event_base_loop(w.base, EVLOOP_NONBLOCK);
        got += read_available(fd);
    }
    assert_int_equal(w.requests, 2);
    assert_true(got > ANSWER_BYTES / 2);
    close(fd);
    close_world(&w);
}

/* Guards against an event loop that does not come to rest while a connection
   has more input than is read ahead, as the answer before has not been read. */
static void input_ahead_of_an_unread_answer_keeps_the_loop_busy(void **state)
{
    enum { SILENT_MS = 60000, GUARD_S = 2, PIECES = 8 };
    static const char zeros[CHUNK_BYTES];
    const struct timeval guard = { GUARD_S, 0 };
    World w;
    (void)state;
    open_world(&w, 512);
    wp_downstream_set_silence(w.downstream, SILENT_MS);
    int fd = dial(&w, true);
    tick(&w);
    send_request(fd);
    settle(&w);
    assert_int_equal(w.requests, 1);
    event_base_loopexit(w.base, &guard);
    for (unsigned i = 0; i < PIECES; i++) {
        (void)!write(fd, zeros, sizeof(zeros));
        event_base_loop(w.base, EVLOOP_NONBLOCK);
        assert_false(event_base_got_exit(w.base));
    }
    assert_int_equal(wp_downstream_connection_count(w.downstream), 1);
    close(fd);
    close_world(&w);
}

/* Guards against a body of which a byte comes now and then, for ever: each sets
   the idle time-out again. */
static void a_body_that_trickles_is_waited_for_for_ever(void **state)
{
    enum { ARRIVAL_MS = 200, GAP_MS = 20, IDLE_MS = 10000 };
    static const WPRouteLimits limits = { 16 << 10, 4 << 20, IDLE_MS, IDLE_MS };
    static const char head[] =
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n";
    World w;
    (void)state;
    open_world(&w, 512);
    wp_downstream_set_limits(w.downstream, &limits);
    wp_downstream_set_arrival_time(w.downstream, ARRIVAL_MS);
    int fd = dial(&w, false);
    tick(&w);
    assert_int_equal(write(fd, head, strlen(head)), strlen(head));
    int64_t end_us = g_get_monotonic_time() + TIMEOUT_MS * WP_US_PER_MS,
            next_us = 0;
    while (!w.refused && g_get_monotonic_time() < end_us) {
        event_base_loop(w.base, EVLOOP_NONBLOCK);
        if (g_get_monotonic_time() < next_us)
            continue;
        next_us = g_get_monotonic_time() + GAP_MS * WP_US_PER_MS;
        assert_int_equal(write(fd, "x", 1), 1);
    }
    assert_int_equal(w.refused, 1);
    assert_int_equal(w.last_refusal, WP_HEAD_SLOW);
    close(fd);
    close_world(&w);
}

/* Asks for an answer on a new connection that takes little at a time. */
static int begin_slow_answer(World *w)
{
    int fd = dial(w, true);
    tick(w);
    send_request(fd);
    tick(w);
    assert_int_equal(w->requests, 1);
    return fd;
}

static size_t read_some(int fd)
{
    static char buf[CHUNK_BYTES];
    ssize_t n = read(fd, buf, sizeof(buf));
    return n > 0 ? (size_t)n : 0;
}

/* Guards against a planned stop that drops the rest of a finished answer while
   its caller reads it. */
static void a_planned_stop_does_not_cut_answers_that_are_read(void **state)
{
    enum { IDLE_MS = 300, STUCK_MS = 3000 };
    World w;
    size_t got = 0;
    (void)state;
    open_world(&w, 512);
    int fd = begin_slow_answer(&w);
    wp_downstream_start_drain(w.downstream);
    int64_t end_us = g_get_monotonic_time() + TIMEOUT_MS * WP_US_PER_MS;
    while (got <= ANSWER_BYTES && g_get_monotonic_time() < end_us) {
        got += read_some(fd);
        tick(&w);
        wp_downstream_close_idle(w.downstream, w.now, IDLE_MS);
    }
    assert_true(got > ANSWER_BYTES);
    close(fd);
    close_world(&w);
    /* A caller that has stopped reading does not hold the stop up. */
    open_world(&w, 512);
    fd = begin_slow_answer(&w);
    settle(&w);
    wp_downstream_start_drain(w.downstream);
    unsigned left = 1;
    for (unsigned ms = 0; ms < STUCK_MS && left; ms += TICK_MS) {
        tick(&w);
        left = wp_downstream_close_idle(w.downstream, w.now, IDLE_MS);
    }
    assert_int_equal(left, 0);
    close(fd);
    close_world(&w);
}

/* Guards against an idle time-out that starts when an answer has been written
   to the output buffer, and cuts it while its caller reads it. */
static void the_idle_timeout_does_not_cut_an_answer_that_is_read(void **state)
{
    enum { SHORT_IDLE_MS = 300, READ_MS = 4 * SHORT_IDLE_MS };
    static const WPRouteLimits limits = { 16 << 10, 4 << 20, 5000,
                                          SHORT_IDLE_MS };
    World w;
    size_t got = 0;
    int64_t us = 0;
    (void)state;
    open_world(&w, 512);
    wp_downstream_set_limits(w.downstream, &limits);
    int fd = begin_slow_answer(&w);
    int64_t begin_us = g_get_monotonic_time();
    while (got <= ANSWER_BYTES && us < TIMEOUT_MS * WP_US_PER_MS) {
        event_base_loop(w.base, EVLOOP_NONBLOCK);
        us = g_get_monotonic_time() - begin_us;
        /* The caller reads at an even rate. */
        if (got * READ_MS < (uint64_t)us / WP_US_PER_MS * ANSWER_BYTES)
            got += read_some(fd);
    }
    assert_true(got > ANSWER_BYTES);
    close(fd);
    close_world(&w);
}

TESTS_MAIN(T(limit_has_hysteresis),
           T(requests_ahead_begin_before_the_answer_is_read),
           T(a_body_that_trickles_is_waited_for_for_ever),
           T(input_ahead_of_an_unread_answer_keeps_the_loop_busy),
           T(callers_that_do_not_read_are_closed),
           T(large_bodies_wait_above_the_limit),
           T(paused_upload_outlives_its_caller),
           T(large_uploads_at_once_do_not_hang_each_other),
           T(a_length_above_the_limit_is_refused_as_too_large),
           T(a_planned_stop_does_not_cut_answers_that_are_read),
           T(the_idle_timeout_does_not_cut_an_answer_that_is_read))
