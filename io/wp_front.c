/* The callers' side. */
#include "wp_front.h"
#include "wp_clock.h"
#include "wp_buffered.h"
#include "wp_net.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

enum {
    SILENT_MS = 6000,      /* a caller that answers no probe so long is gone */
    FULL_BYTES = 64 << 10, /* waiting for the caller, then the endpoint waits */
    READ_MOST = 64 << 10,  /* of the next request while one is answered */
    CLOSE_MS = 2000,       /* to take the last answer before the close */
    BACKLOG = 1024
};

struct WPFront {
    struct event_base *base;
    struct evconnlistener *listener;
    WPRouteLimits limits;
    const WPFrontOps *ops;
    void *arg;
    WPList peers;
    unsigned n_peers;
    bool leaving;
    bool over; /* too much is held */
};

static void advance(WPPeer *p);

static void free_peer(WPPeer *p)
{
    if (p->in_callback) {
        p->dead = true;
        return;
    }
    wp_list_remove(&p->node);
    p->front->n_peers--;
    event_free(p->timer);
    bufferevent_free(p->bev);
    wp_h1_end(&p->h1);
    g_byte_array_unref(p->body);
    g_free(p);
}

static void set_timer(WPPeer *p, uint32_t ms)
{
    struct timeval at = { ms / WP_MS_PER_S, ms % WP_MS_PER_S * WP_US_PER_MS };
    event_add(p->timer, &at);
}

static void gone(WPPeer *p)
{
    bool busy = p->busy;
    p->busy = false;
    if (busy)
        p->front->ops->left(p->front->arg, p);
    free_peer(p);
}

/* Ends the connection once all that was written has left. */
static void close_after_write(WPPeer *p)
{
    p->closing = true;
    if (!evbuffer_get_length(bufferevent_get_output(p->bev))) {
        free_peer(p);
        return;
    }
    set_timer(p, CLOSE_MS);
}

/* Refuses what cannot be read as a request; the connection ends with it. */
static void refuse(WPPeer *p, WPCode code, const char *detail)
{
    const WPCodeInfo *i = wp_code_info(code);
    g_autofree char *body = g_strdup_printf(
        "{\"error\":{\"code\":\"%s\",\"message\":\"%s\"}}\n", i->code, detail);
    p->front->ops->refused(p->front->arg, code, detail);
    p->keep_alive = false;
    p->busy = true;
    wp_front_answer(p, i->status, wp_str("Content-Type: application/json\r\n"),
                    wp_str(body));
}

static const char *check_head(const WPHead *h)
{
    unsigned n;
    WPStr te = wp_head_get(h, "Transfer-Encoding", &n);
    if (n > 1 || (n == 1 && (te.n != strlen("chunked") ||
                             g_ascii_strncasecmp(te.p, "chunked", te.n))))
        return "unknown transfer encoding";
    bool chunked = n == 1;
    WPStr length = wp_head_get(h, "Content-Length", &n);
    if (n > 1 || (n && chunked))
        return "more than one length";
    for (size_t i = 0; i < length.n; i++)
        if (!g_ascii_isdigit(length.p[i]))
            return "malformed length";
    if (n && !length.n)
        return "malformed length";
    wp_head_get(h, "Host", &n);
    if (n != 1)
        return "exactly one Host is needed";
    return h->target.n && h->target.p[0] == '/' ? NULL : "malformed path";
}

static bool on_head(void *arg, const WPHead *h)
{
    WPPeer *p = arg;
    p->keep_alive = h->keep_alive;
    p->is_head = wp_str_eq(h->method, wp_str("HEAD"));
    p->bad = check_head(h);
    p->head = *h;
    return true;
}

static void on_body(void *arg, const char *data, size_t n)
{
    WPPeer *p = arg;
    if (p->body->len + n > p->front->limits.body_bytes)
        p->too_large = true;
    else
        g_byte_array_append(p->body, (const guint8 *)data, (guint)n);
}

static const WPH1Ops h1_ops = { on_head, on_body };

/* Looks at a head before it is parsed. Returns whether it may be. */
static bool head_ready(WPPeer *p)
{
    struct evbuffer *in = bufferevent_get_input(p->bev);
    size_t n = wp_h1_head_length(in), have = evbuffer_get_length(in);
    if (!n && have <= p->front->limits.head_bytes)
        return false;
    if (!n || n > p->front->limits.head_bytes) {
        refuse(p, WP_HEAD_TOO_LARGE, "the head is too large");
        return false;
    }
    const char *text = (const char *)evbuffer_pullup(in, (ev_ssize_t)n);
    if (!wp_h1_head_is_strict(text, n)) {
        refuse(p, WP_BAD_REQUEST, "malformed head");
        return false;
    }
    return true;
}

static void whole(WPPeer *p)
{
    p->reading = false;
    p->busy = true;
    event_del(p->timer);
    if (p->bad)
        refuse(p, WP_BAD_REQUEST, p->bad);
    else if (p->too_large)
        refuse(p, WP_TOO_LARGE, "the body is too large");
    else
        p->front->ops->request(p->front->arg, p, &p->head);
}

static void wait_if_large(WPPeer *p)
{
    if (!p->front->over || p->waits || p->body->len < WP_BUFFERED_EXEMPT_BYTES)
        return;
    p->waits = true;
    bufferevent_disable(p->bev, EV_READ);
}

/* Goes on with what has been read, until a request is whole. */
static void advance(WPPeer *p)
{
    struct evbuffer *in = bufferevent_get_input(p->bev);
    while (!p->busy && !p->closing && !p->dead && evbuffer_get_length(in)) {
        if (!p->reading) {
            p->reading = true;
            set_timer(p, p->front->limits.head_ms);
        }
        if (!p->h1.has_head && !head_ready(p))
            return;
        WPH1State st = wp_h1_feed(&p->h1, in);
        if (st == WP_H1_BAD)
            refuse(p, WP_BAD_REQUEST, "malformed request");
        else if (p->bad || p->too_large || st == WP_H1_WHOLE)
            whole(p);
        else {
            set_timer(p, p->front->limits.idle_ms);
            wait_if_large(p);
            return;
        }
    }
}

static void enter(WPPeer *p)
{
    p->in_callback = true;
}

static void leave(WPPeer *p)
{
    p->in_callback = false;
    if (p->dead)
        free_peer(p);
}

static void on_read(struct bufferevent *bev, void *arg)
{
    WPPeer *p = arg;
    (void)bev;
    if (p->closing) {
        struct evbuffer *in = bufferevent_get_input(p->bev);
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    enter(p);
    p->active_us = wp_clock_now(0).mono_us;
    advance(p);
    leave(p);
}

static void on_write(struct bufferevent *bev, void *arg)
{
    WPPeer *p = arg;
    bool empty = !evbuffer_get_length(bufferevent_get_output(bev));
    if (p->closing && empty) {
        free_peer(p);
        return;
    }
    enter(p);
    if (p->held) {
        p->held = false;
        bufferevent_setwatermark(bev, EV_WRITE, 0, 0);
        p->front->ops->drained(p->front->arg, p);
    }
    leave(p);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
    WPPeer *p = arg;
    (void)bev;
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        gone(p);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
    WPPeer *p = arg;
    (void)fd;
    (void)what;
    if (p->busy)
        return;
    enter(p);
    if (p->reading && !p->closing)
        refuse(p, WP_HEAD_SLOW, "the request did not arrive in time");
    else
        free_peer(p);
    leave(p);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
                      struct sockaddr *sa, int n, void *arg)
{
    WPFront *f = arg;
    WPPeer *p = g_new0(WPPeer, 1);
    (void)l;
    (void)sa;
    (void)n;
    wp_net_options(fd, SILENT_MS);
    p->front = f;
    p->bev = bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE);
    p->timer = evtimer_new(f->base, on_timer, p);
    p->body = g_byte_array_new();
    p->active_us = wp_clock_now(0).mono_us;
    wp_h1_init(&p->h1, true, &h1_ops, p);
    wp_list_append(&f->peers, &p->node);
    f->n_peers++;
    bufferevent_setcb(p->bev, on_read, on_write, on_event, p);
    bufferevent_setwatermark(
        p->bev, EV_READ, 0,
        MAX((size_t)READ_MOST, (size_t)f->limits.head_bytes * 2));
    bufferevent_enable(p->bev, EV_READ | EV_WRITE);
    set_timer(p, f->limits.idle_ms);
}

/* The answer is whole: the connection rests, ends, or goes on with what the
   caller has sent meanwhile. */
static void answered(WPPeer *p)
{
    WPFront *f = p->front;
    p->busy = false;
    p->request = NULL;
    if (!p->keep_alive || f->leaving) {
        close_after_write(p);
        return;
    }
    wp_h1_reset(&p->h1);
    g_byte_array_set_size(p->body, 0);
    p->too_large = false;
    p->chunked = false;
    p->active_us = wp_clock_now(0).mono_us;
    set_timer(p, f->limits.idle_ms);
    /* Not from within the call that answered: the owner may still use it. */
    bufferevent_trigger(p->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

static void write_head(WPPeer *p, int status, WPStr fields)
{
    struct evbuffer *out = bufferevent_get_output(p->bev);
    const char *reason = http_status_str((enum http_status)status);
    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                        reason ? reason : "Unknown");
    evbuffer_add(out, fields.p, fields.n);
    if (!p->keep_alive || p->front->leaving)
        evbuffer_add_printf(out, "Connection: close\r\n");
}

void wp_front_answer(WPPeer *p, int status, WPStr fields, WPStr body)
{
    struct evbuffer *out = bufferevent_get_output(p->bev);
    write_head(p, status, fields);
    evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n", body.n);
    if (!p->is_head)
        evbuffer_add(out, body.p, body.n);
    answered(p);
}

void wp_front_begin(WPPeer *p, int status, WPStr fields)
{
    struct evbuffer *out = bufferevent_get_output(p->bev);
    p->chunked = true;
    write_head(p, status, fields);
    evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
}

void wp_front_piece(WPPeer *p, const void *data, size_t n)
{
    struct evbuffer *out = bufferevent_get_output(p->bev);
    if (!n || p->is_head) /* an empty chunk would end the answer */
        return;
    evbuffer_add_printf(out, "%zx\r\n", n);
    evbuffer_add(out, data, n);
    evbuffer_add(out, "\r\n", 2);
}

void wp_front_finish(WPPeer *p)
{
    if (!p->is_head)
        evbuffer_add(bufferevent_get_output(p->bev), "0\r\n\r\n", 5);
    answered(p);
}

void wp_front_cut(WPPeer *p)
{
    p->busy = false;
    p->request = NULL;
    p->keep_alive = false;
    close_after_write(p);
}

bool wp_front_is_full(WPPeer *p)
{
    size_t waits = evbuffer_get_length(bufferevent_get_output(p->bev));
    if (waits < FULL_BYTES)
        return false;
    p->held = true;
    bufferevent_setwatermark(p->bev, EV_WRITE, FULL_BYTES / 2, 0);
    return true;
}

WPFront *wp_front_new(struct event_base *base, const char *addr,
                      const WPFrontOps *ops, void *arg, GError **error)
{
    struct sockaddr_storage sa;
    int n = sizeof(sa);
    WPFront *f = g_new0(WPFront, 1);
    f->base = base;
    f->ops = ops;
    f->arg = arg;
    wp_list_init(&f->peers);
    if (!evutil_parse_sockaddr_port(addr, (struct sockaddr *)&sa, &n))
        f->listener = evconnlistener_new_bind(
            base, on_accept, f,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
            BACKLOG, (struct sockaddr *)&sa, n);
    if (f->listener)
        return f;
    g_set_error(error, WP_ERROR, WP_ERROR_CONTACT, "cannot listen on %s", addr);
    g_free(f);
    return NULL;
}

void wp_front_free(WPFront *f)
{
    if (!f)
        return;
    wp_list_each_safe (it, tmp, &f->peers)
        free_peer(wp_list_item(it, WPPeer, node));
    evconnlistener_free(f->listener);
    g_free(f);
}

void wp_front_limits(WPFront *f, const WPRouteLimits *limits)
{
    f->limits = *limits;
}

uint64_t wp_front_held(WPFront *f, WPTime now)
{
    uint64_t sum = 0;
    wp_list_each (it, &f->peers) {
        WPPeer *p = wp_list_item(it, WPPeer, node);
        size_t unread = evbuffer_get_length(bufferevent_get_output(p->bev));
        sum += unread + p->body->len +
               evbuffer_get_length(bufferevent_get_input(p->bev));
        if (!unread || unread < p->unread || !p->unread_us)
            p->unread_us = now.mono_us;
        p->unread = unread;
    }
    return sum;
}

void wp_front_hold(WPFront *f, bool over)
{
    f->over = over;
    wp_list_each (it, &f->peers) {
        WPPeer *p = wp_list_item(it, WPPeer, node);
        if (over || !p->waits)
            continue;
        p->waits = false;
        bufferevent_enable(p->bev, EV_READ);
    }
}

unsigned wp_front_cut_unread(WPFront *f, WPTime now, uint32_t unread_ms)
{
    int64_t late_us = now.mono_us - (int64_t)unread_ms * WP_US_PER_MS;
    unsigned n = 0;
    wp_list_each_safe (it, tmp, &f->peers) {
        WPPeer *p = wp_list_item(it, WPPeer, node);
        if (!p->unread || p->unread_us > late_us)
            continue;
        n++;
        gone(p);
    }
    return n;
}

void wp_front_leave(WPFront *f)
{
    f->leaving = true;
}

unsigned wp_front_close_idle(WPFront *f, WPTime now, uint32_t idle_ms)
{
    int64_t idle_us = (int64_t)idle_ms * WP_US_PER_MS;
    wp_list_each_safe (it, tmp, &f->peers) {
        WPPeer *p = wp_list_item(it, WPPeer, node);
        bool resting = !p->busy && !p->reading && !p->closing;
        if (resting && now.mono_us - p->active_us >= idle_us)
            free_peer(p);
    }
    return f->n_peers;
}

unsigned wp_front_connections(const WPFront *f)
{
    return f->n_peers;
}
