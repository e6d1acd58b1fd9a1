/* wpproxy: a TCP proxy on loopback that injects network faults. It forwards
 * bytes between the ports --listen and --to, in the mode that is set with a
 * POST to the port --control:
 *   pass: forwards everything;
 *   silent: forwards nothing and closes nothing;
 *   in, out: forwards only towards the callers, or only away from them;
 *   reset: resets all connections, and each new one.
 * strand: true makes the present connections forward nothing any more, while
 * new ones work. delay_ms delays each piece of data. */
#include "wp_http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <sys/prctl.h>

typedef enum Mode { PASS, SILENT, IN, OUT, RESET } Mode;

static const char *const mode_names[] = { "pass", "silent", "in", "out",
                                          "reset" };

typedef struct Proxy {
    struct event_base *base;
    int to;
    Mode mode;
    double delay_ms;
    WPList pairs;
} Proxy;

typedef struct Pair {
    WPList node;
    Proxy *proxy;
    bool stranded;
    struct bufferevent *side[2]; /* the caller's side, the target's side */
} Pair;

static struct sockaddr_in loopback(int port)
{
    struct sockaddr_in sa = { .sin_family = AF_INET };
    sa.sin_port = htons((uint16_t)port);
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return sa;
}

static void free_pair(Pair *p, bool reset)
{
    struct linger hard = { 1, 0 };
    wp_list_remove(&p->node);
    for (int i = 0; i < 2; i++) {
        evutil_socket_t fd = bufferevent_getfd(p->side[i]);
        if (reset && fd >= 0)
            (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        bufferevent_free(p->side[i]);
    }
    g_free(p);
}

static bool passes(const Pair *p, int from)
{
    Mode mode = p->proxy->mode;
    return !p->stranded && (mode == PASS || (mode == OUT && from == 0) ||
                            (mode == IN && from == 1));
}

static void forward(Pair *p, int from)
{
    struct evbuffer *in = bufferevent_get_input(p->side[from]);
    if (passes(p, from))
        bufferevent_write_buffer(p->side[1 - from], in);
}

typedef struct PendingRead {
    Pair *pair;
    int from;
} PendingRead;

static bool pair_exists(const Proxy *x, const Pair *p)
{
    wp_list_each (it, &x->pairs)
        if (wp_list_item(it, Pair, node) == p)
            return true;
    return false;
}

typedef struct DelayedRead {
    Proxy *proxy;
    PendingRead what;
} DelayedRead;

static void on_delay(evutil_socket_t fd, short what, void *arg)
{
    DelayedRead *d = arg;
    (void)fd;
    (void)what;
    if (pair_exists(d->proxy, d->what.pair))
        forward(d->what.pair, d->what.from);
    g_free(d);
}

static void on_read(struct bufferevent *bev, void *arg)
{
    Pair *p = arg;
    Proxy *x = p->proxy;
    int from = bev == p->side[1];
    struct timeval at = { 0, (suseconds_t)(x->delay_ms * WP_US_PER_MS) };
    if (x->delay_ms <= 0) {
        forward(p, from);
        return;
    }
    DelayedRead *d = g_new0(DelayedRead, 1);
    *d = (DelayedRead){ x, { p, from } };
    event_base_once(x->base, -1, EV_TIMEOUT, on_delay, d, &at);
}

/* Writes what the event loop would still have to write before a close. */
static void write_rest(struct bufferevent *to)
{
    struct evbuffer *out = bufferevent_get_output(to);
    evutil_socket_t fd = bufferevent_getfd(to);
    evbuffer_unfreeze(out, 1); /* a bufferevent freezes what it writes */
    while (fd >= 0 && evbuffer_get_length(out) && evbuffer_write(out, fd) > 0)
        ;
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
    Pair *p = arg;
    int from = bev == p->side[1];
    if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
        return;
    if (!passes(p, from))
        return; /* the end of the stream is withheld like data */
    forward(p, from);
    write_rest(p->side[1 - from]);
    free_pair(p, what & BEV_EVENT_ERROR);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
                      struct sockaddr *sa, int n, void *arg)
{
    Proxy *x = arg;
    struct sockaddr_in to = loopback(x->to);
    (void)l;
    (void)sa;
    (void)n;
    Pair *p = g_new0(Pair, 1);
    p->proxy = x;
    p->side[0] = bufferevent_socket_new(x->base, fd, BEV_OPT_CLOSE_ON_FREE);
    p->side[1] = bufferevent_socket_new(x->base, -1, BEV_OPT_CLOSE_ON_FREE);
    wp_list_append(&x->pairs, &p->node);
    for (int i = 0; i < 2; i++) {
        bufferevent_setcb(p->side[i], on_read, NULL, on_event, p);
        bufferevent_enable(p->side[i], EV_READ | EV_WRITE);
    }
    if (x->mode == RESET)
        free_pair(p, true);
    else
        bufferevent_socket_connect(p->side[1], (struct sockaddr *)&to,
                                   sizeof(to));
}

static void set_mode(Proxy *x, Mode mode)
{
    x->mode = mode;
    wp_list_each_safe (it, tmp, &x->pairs) {
        Pair *p = wp_list_item(it, Pair, node);
        if (mode == RESET) {
            free_pair(p, true);
            continue;
        }
        forward(p, 0);
        forward(p, 1);
    }
}

static void on_control(struct evhttp_request *r, void *arg)
{
    Proxy *x = arg;
    json_t *j = wp_http_body_json(r);
    const json_t *delay = json_object_get(j, "delay_ms");
    const char *mode = json_string_value(json_object_get(j, "mode"));
    if (json_is_true(json_object_get(j, "strand")))
        wp_list_each (it, &x->pairs)
            wp_list_item(it, Pair, node)->stranded = true;
    if (json_is_number(delay))
        x->delay_ms = json_number_value(delay);
    for (size_t i = 0; mode && i < WP_COUNT(mode_names); i++)
        if (!strcmp(mode, mode_names[i]))
            set_mode(x, (Mode)i);
    json_decref(j);
    wp_http_reply_json(r, 200, json_object());
}

int main(int argc, char **argv)
{
    int listen = 0, to = 0, control = 0;
    const GOptionEntry options[] = {
        { "listen", 0, 0, G_OPTION_ARG_INT, &listen, "port to listen on",
          "PORT" },
        { "to", 0, 0, G_OPTION_ARG_INT, &to, "port to connect to", "PORT" },
        { "control", 0, 0, G_OPTION_ARG_INT, &control,
          "port of the control path", "PORT" },
        { NULL, 0, 0, 0, NULL, NULL, NULL }
    };
    g_autoptr(GOptionContext) c = g_option_context_new(NULL);
    g_option_context_add_main_entries(c, options, NULL);
    if (!g_option_context_parse(c, &argc, &argv, NULL) || !listen || !to ||
        !control) {
        fprintf(stderr, "wpproxy: --listen, --to and --control are required\n");
        return 2;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    signal(SIGPIPE, SIG_IGN);
    Proxy x = { .base = event_base_new(), .to = to };
    struct sockaddr_in sa = loopback(listen);
    struct evhttp *http = evhttp_new(x.base);
    wp_list_init(&x.pairs);
    evhttp_set_gencb(http, on_control, &x);
    if (!evconnlistener_new_bind(x.base, on_accept, &x,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                 (struct sockaddr *)&sa, sizeof(sa)) ||
        !wp_http_listen(http, "127.0.0.1", (uint16_t)control)) {
        fprintf(stderr, "wpproxy: cannot listen\n");
        return 2;
    }
    return event_base_dispatch(x.base) == 0 ? 0 : 1;
}
