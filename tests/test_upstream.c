/* The pool of connections to endpoints, on loopback. */
#include "free_port.h"
#include "test.h"
#include "wp_clock.h"
#include "wp_upstream.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <sys/socket.h>

enum { TURNS_MAX = 2000 }; /* of the event loop */

/* An endpoint that answers each request at once, and one caller of it. */
typedef struct World {
    struct event_base *base;
    struct evconnlistener *listener;
    WPUpstream *pool;
    WPReplica *endpoint;
    WPFleet *fleet;
    struct bufferevent *served; /* the endpoint's last connection */
    WPUpstreamConn *conn;       /* of the request in flight */
    unsigned accepted, answered, lost;
    bool pauses;
    const char *keep_alive; /* value of the answers' field; NULL: none */
} World;

static void on_request(struct bufferevent *bev, void *arg)
{
    const World *w = arg;
    struct evbuffer *in = bufferevent_get_input(bev);
    struct evbuffer *out = bufferevent_get_output(bev);
    evbuffer_drain(in, evbuffer_get_length(in));
    evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n");
    if (w->keep_alive)
        evbuffer_add_printf(out, "Keep-Alive: %s\r\n", w->keep_alive);
    evbuffer_add_printf(out, "Content-Length: 2\r\n\r\nok");
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
                      struct sockaddr *sa, int n, void *arg)
{
    World *w = arg;
    (void)l;
    (void)sa;
    (void)n;
    w->accepted++;
    w->served = bufferevent_socket_new(w->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(w->served, on_request, NULL, NULL, w);
    bufferevent_enable(w->served, EV_READ | EV_WRITE);
}

static bool is_answer(void *arg, const WPHead *h)
{
    (void)arg;
    (void)h;
    return true;
}

static void on_head(void *arg, const WPHead *h)
{
    (void)arg;
    (void)h;
}

/* A caller that reads slowly: the answer is paused in the middle. */
static void on_body(void *arg, const char *p, size_t n)
{
    World *w = arg;
    (void)p;
    (void)n;
    if (w->pauses)
        wp_upstream_set_paused(w->conn, true);
}

static void on_complete(void *arg)
{
    ((World *)arg)->answered++;
}

static void on_lost(void *arg, bool sent, bool began)
{
    (void)sent;
    (void)began;
    ((World *)arg)->lost++;
}

static void on_invalid(void *arg, bool sent, bool began, const char *fault)
{
    (void)fault;
    on_lost(arg, sent, began);
}

static const WPUpstreamOps ops = { is_answer,   on_head, on_body,
                                   on_complete, on_lost, on_invalid };

static void open_world(World *w)
{
    static const WPUpstreamRules rules = { 1000, 30000, 30000 };
    uint16_t port = free_port();
    struct sockaddr_in sa = { .sin_family = AF_INET,
                              .sin_port = htons(port),
                              .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
    g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", port);
    const WPRegistryEntry entry = {
        .id = "e1", .service = "s", .addr = addr, .zone = "z", .version = "v"
    };
    *w = (World){ .base = event_base_new(), .fleet = wp_fleet_new(1) };
    w->listener = evconnlistener_new_bind(
        w->base, on_accept, w, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 8,
        (struct sockaddr *)&sa, sizeof(sa));
    assert_non_null(w->listener);
    wp_fleet_put(w->fleet, wp_clock_now(0), &entry);
    w->endpoint = wp_fleet_find(w->fleet, "e1");
    w->pool = wp_upstream_new(w->base, "127.0.0.1", &rules, &ops);
}

static void close_world(World *w)
{
    wp_upstream_free(w->pool);
    wp_fleet_free(w->fleet);
    if (w->served)
        bufferevent_free(w->served);
    evconnlistener_free(w->listener);
    event_base_free(w->base);
}

/* Sends a request and waits for its end. */
static void exchange(World *w)
{
    struct evbuffer *request = evbuffer_new();
    unsigned ended = w->answered + w->lost;
    evbuffer_add_printf(request, "GET / HTTP/1.1\r\n\r\n");
    w->conn = wp_upstream_send(w->pool, wp_clock_now(0), w->endpoint, request,
                               false, false, w);
    assert_non_null(w->conn);
    evbuffer_free(request);
    int64_t until_us = g_get_monotonic_time() + 2 * WP_US_PER_S;
    while (w->answered + w->lost == ended && g_get_monotonic_time() < until_us)
        event_base_loop(w->base, EVLOOP_NONBLOCK);
}

/* The endpoint closes its connection. */
static void close_served(World *w)
{
    bufferevent_free(w->served);
    w->served = NULL;
    for (int i = 0; i < TURNS_MAX; i++)
        event_base_loop(w->base, EVLOOP_NONBLOCK);
}

/* Guards against a connection that is not read any more after a slow reader's
   answer: the next request on it runs, and its answer is never read. */
static void paused_connection_serves_another_request(void **state)
{
    World w;
    (void)state;
    open_world(&w);
    w.pauses = true;
    exchange(&w);
    assert_int_equal(w.answered, 1);
    w.pauses = false;
    exchange(&w);
    assert_int_equal(w.answered, 2);
    assert_int_equal(w.accepted, 1); /* it was the same connection */
    close_world(&w);
}

/* Guards against a connection whose end is not noticed while it is idle, as it
   was paused before. */
static void end_of_a_paused_connection_is_not_noticed(void **state)
{
    World w;
    (void)state;
    open_world(&w);
    w.pauses = true;
    exchange(&w);
    close_served(&w);
    w.pauses = false;
    exchange(&w);
    assert_int_equal(w.answered, 2);
    assert_int_equal(w.lost, 0);
    assert_int_equal(w.accepted, 2);
    close_world(&w);
}

/* Whether the endpoint is taken for one that has started again, as it closes an
   idle connection before the time that this field names. */
static bool is_restart_suspected(const char *keep_alive)
{
    World w;
    open_world(&w);
    w.keep_alive = keep_alive;
    exchange(&w);
    close_served(&w);
    bool suspected = w.endpoint->restart_suspected_until_us > 0;
    close_world(&w);
    return suspected;
}

/* Guards against a Keep-Alive field that is no number of seconds and is
   believed nevertheless. */
static void malformed_keep_alive_is_believed(void **state)
{
    static const char *const bad[] = { "inf",        "1e30", "0x7fffffff",
                                       "nan",        "5s",   "timeout=1e30",
                                       "max=100",    "5.5",  "-5",
                                       "99999999999" };
    (void)state;
    assert_true(is_restart_suspected("60"));
    assert_true(is_restart_suspected("timeout=60"));
    assert_true(is_restart_suspected("max=100, timeout=60"));
    for (size_t i = 0; i < WP_COUNT(bad); i++)
        if (is_restart_suspected(bad[i]))
            fail_msg("'%s' is taken for a time", bad[i]);
}

TESTS_MAIN(T(paused_connection_serves_another_request),
           T(end_of_a_paused_connection_is_not_noticed),
           T(malformed_keep_alive_is_believed))
