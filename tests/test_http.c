/* HTTP calls over connections that do not answer any more, on loopback. */
#include "test.h"
#include "wp_http.h"

#include <arpa/inet.h>

typedef struct Response {
    struct event_base *base;
    int status;
    unsigned calls;
} Response;

static void on_silent(struct evhttp_request *r, void *arg)
{
    (void)r; /* never answered */
    (void)arg;
}

static void on_ok(struct evhttp_request *r, void *arg)
{
    (void)arg;
    wp_http_reply_text(r, 200, "text/plain", wp_str("ok"));
}

static void on_done(void *arg, int status, WPStr body)
{
    Response *s = arg;
    (void)body;
    s->status = status;
    s->calls++;
    event_base_loopbreak(s->base);
}

/* After wp_http_reconnect() a call that waits on a silent connection has
   ended without an answer, and the next call does not queue behind it. */
static void a_reconnected_client_uses_another_connection(void **state)
{
    struct event_base *base = event_base_new();
    struct evhttp *server = evhttp_new(base);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    struct sockaddr_in sa;
    socklen_t n = sizeof(sa);
    Response silent = { base, -1, 0 }, ok = { base, -1, 0 };
    (void)state;
    evhttp_set_cb(server, "/silent", on_silent, NULL);
    evhttp_set_cb(server, "/ok", on_ok, NULL);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&sa, &n);
    g_autofree char *target =
        g_strdup_printf("127.0.0.1:%u", ntohs(sa.sin_port));
    WPHttp *h = wp_http_new(base, target, 10000);
    wp_http_call(h, "/silent", NULL, on_done, NULL, &silent);
    assert_true(wp_http_is_busy(h));
    wp_http_reconnect(h);
    assert_false(wp_http_is_busy(h));
    wp_http_call(h, "/ok", NULL, on_done, NULL, &ok);
    while (!ok.calls)
        event_base_dispatch(base);
    assert_int_equal(ok.status, 200);
    assert_int_equal(silent.calls, 1);
    assert_int_equal(silent.status, 0);
    wp_http_free(h);
    evhttp_free(server);
    event_base_free(base);
}

TESTS_MAIN(T(a_reconnected_client_uses_another_connection))
