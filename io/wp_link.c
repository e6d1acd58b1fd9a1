/* Links between processes, built on libevent's bufferevents. */
#include "wp_link.h"
#include "wp_clock.h"
#include "wp_code.h"
#include "wp_process.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <protobuf-c/protobuf-c.h>

enum {
    LENGTH_BYTES = 4,
    /* Links that were accepted and have sent no Hello: so many at most, and 1
       in so many descriptors. */
    UNIDENTIFIED_MAX = 256,
    UNIDENTIFIED_PART = 16
};

struct WPHub {
    struct event_base *base;
    struct evconnlistener *listener;
    const Wp__Member *self;
    const WPHubOps *ops;
    void *arg;
    WPList links;
    GHashTable *by_addr; /* address -> WPLink */
    uint64_t next_id;
    /* the link whose frames are being handled; NULL once it is closed */
    WPLink *reading;
    WPPeerTraffic traffic;
    unsigned max_unidentified;
};

static void on_read(struct bufferevent *bev, void *arg);
static void on_event(struct bufferevent *bev, short what, void *arg);

static bool is_in_zone(const WPLink *l)
{
    const char *zone = l->hub->self->zone;
    return zone && l->peer_zone && !strcmp(zone, l->peer_zone);
}

static void send_hello(WPLink *l)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Hello hello = WP__HELLO__INIT;
    hello.self = (Wp__Member *)l->hub->self;
    f.body_case = WP__FRAME__BODY_HELLO;
    f.hello = &hello;
    wp_link_send(l, &f);
}

/* Adds a link on `bev` to the hub's list. An accepted one counts as connected,
   an outgoing one does not yet. */
static WPLink *new_link(WPHub *h, struct bufferevent *bev, bool outgoing)
{
    WPLink *l = g_new0(WPLink, 1);
    int one = 1;
    l->hub = h;
    l->id = ++h->next_id;
    l->bev = bev;
    l->outgoing = outgoing;
    l->connected = !outgoing;
    l->received_us = wp_clock_now(0).mono_us;
    l->last_used_us = l->received_us;
    l->opened_us = l->received_us;
    bufferevent_setwatermark(bev, EV_READ, 0,
                             WP_LINK_HELLO_MAX_BYTES + LENGTH_BYTES);
    wp_list_append(&h->links, &l->node);
    bufferevent_setcb(bev, on_read, NULL, on_event, l);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    if (!outgoing)
        setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &one,
                   sizeof(one));
    return l;
}

void wp_link_close(WPLink *l)
{
    WPHub *h = l->hub;
    if (l->closing)
        return;
    l->closing = true;
    if (h->reading == l)
        h->reading = NULL;
    /* A caller that reconnects from within `down` must get a new link. */
    if (l->addr && g_hash_table_lookup(h->by_addr, l->addr) == l)
        g_hash_table_remove(h->by_addr, l->addr);
    h->ops->down(h->arg, l);
    wp_list_remove(&l->node);
    bufferevent_free(l->bev);
    g_free(l->addr);
    g_free(l->peer);
    g_free(l->peer_zone);
    g_free(l);
}

static void reject_frame(WPLink *l)
{
    l->hub->ops->bad_frame(l->hub->arg, l);
    wp_link_close(l);
}

/* Records the identity of the peer. If another link to the peer's address
   exists, wp_hub_get_link() keeps returning that one; this link still
   carries answers. */
static void handle_hello(WPLink *l, const Wp__Member *m)
{
    WPHub *h = l->hub;
    g_free(l->peer);
    g_free(l->peer_zone);
    l->peer = g_strdup(m->id);
    bufferevent_setwatermark(l->bev, EV_READ, 0, 0);
    l->peer_zone = g_strdup(m->zone);
    l->peer_incarnation = m->incarnation;
    if (!l->addr) {
        l->addr = g_strdup_printf("%s:%u", m->addr, m->port);
        if (!g_hash_table_contains(h->by_addr, l->addr))
            g_hash_table_insert(h->by_addr, l->addr, l);
    }
}

static bool blocked(const WPLink *l, bool outwards)
{
    const WPHub *h = l->hub;
    return h->ops->blocked && h->ops->blocked(h->arg, l, outwards);
}

static void dispatch(WPLink *l, Wp__Frame *f)
{
    WPHub *h = l->hub;
    if (blocked(l, false))
        return;
    l->received_us = wp_clock_now(0).mono_us;
    l->last_used_us = l->received_us;
    if (f->body_case == WP__FRAME__BODY_HELLO) {
        handle_hello(l, f->hello->self);
        h->ops->up(h->arg, l);
    }
    h->ops->frame(h->arg, l, f);
}

/* Handles one frame of the input buffer. Returns false if no complete frame
   is there or the link was closed. */
static bool read_frame(WPLink *l)
{
    struct evbuffer *in = bufferevent_get_input(l->bev);
    uint32_t size;
    if (evbuffer_copyout(in, &size, LENGTH_BYTES) < LENGTH_BYTES)
        return false;
    size = ntohl(size);
    if (size > (l->peer ? WP_FRAME_MAX_BYTES : WP_LINK_HELLO_MAX_BYTES)) {
        reject_frame(l);
        return false;
    }
    if (evbuffer_get_length(in) < LENGTH_BYTES + size)
        return false;
    evbuffer_drain(in, LENGTH_BYTES);
    Wp__Frame *f =
        wp__frame__unpack(NULL, size, evbuffer_pullup(in, (ev_ssize_t)size));
    /* Until the peer has identified itself by a Hello, any other frame is an
       error. */
    if (!f || (!l->peer && f->body_case != WP__FRAME__BODY_HELLO)) {
        if (f)
            wp__frame__free_unpacked(f, NULL);
        reject_frame(l);
        return false;
    }
    evbuffer_drain(in, size);
    wp_peer_traffic_add(&l->hub->traffic, f, is_in_zone(l),
                        WP_PEER_TRAFFIC_RECEIVED, size + LENGTH_BYTES);
    dispatch(l, f);
    wp__frame__free_unpacked(f, NULL);
    return true;
}

static void on_read(struct bufferevent *bev, void *arg)
{
    WPLink *l = arg;
    WPHub *h = l->hub;
    (void)bev;
    /* Part of a long frame on a slow link also shows that the peer is alive. */
    l->received_us = wp_clock_now(0).mono_us;
    /* Handling a frame may close the link, which sets h->reading to NULL. */
    h->reading = l;
    while (read_frame(l) && h->reading == l)
        ;
    h->reading = NULL;
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
    WPLink *l = arg;
    int one = 1;
    if (what & BEV_EVENT_CONNECTED) {
        l->connected = true;
        l->received_us = wp_clock_now(0).mono_us;
        setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &one,
                   sizeof(one));
        bufferevent_set_timeouts(bev, NULL, NULL);
        return;
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
        wp_link_close(l);
}

/* Closes the oldest of the links that were accepted and have sent no Hello, if
   there are too many. */
static void limit_unidentified(WPHub *h)
{
    WPLink *oldest = NULL;
    unsigned n = 0;
    wp_list_each (it, &h->links) {
        WPLink *l = wp_list_item(it, WPLink, node);
        if (l->outgoing || l->peer)
            continue;
        n++;
        if (!oldest)
            oldest = l;
    }
    if (n >= h->max_unidentified)
        wp_link_close(oldest);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                      struct sockaddr *sa, int len, void *arg)
{
    WPHub *h = arg;
    (void)listener;
    (void)sa;
    (void)len;
    limit_unidentified(h);
    struct bufferevent *bev =
        bufferevent_socket_new(h->base, fd, BEV_OPT_CLOSE_ON_FREE);
    send_hello(new_link(h, bev, false));
}

static bool parse_addr(const char *addr, struct sockaddr_in *out)
{
    int len = sizeof(*out);
    memset(out, 0, sizeof(*out));
    return evutil_parse_sockaddr_port(addr, (struct sockaddr *)out, &len) ==
               0 &&
           out->sin_family == AF_INET;
}

WPHub *wp_hub_new(struct event_base *base, const char *addr, uint16_t port,
                  const Wp__Member *self, const WPHubOps *ops, void *arg,
                  GError **error)
{
    WPHub *h = g_new0(WPHub, 1);
    struct sockaddr_in sa;
    g_autofree char *full = g_strdup_printf("%s:%u", addr, port);
    h->base = base;
    h->self = self;
    h->ops = ops;
    h->arg = arg;
    h->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
    wp_list_init(&h->links);
    unsigned part = wp_process_descriptors() / UNIDENTIFIED_PART;
    h->max_unidentified = part ? MIN(part, UNIDENTIFIED_MAX) : UNIDENTIFIED_MAX;
    if (parse_addr(full, &sa))
        h->listener = evconnlistener_new_bind(
            base, on_accept, h, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
            (struct sockaddr *)&sa, sizeof(sa));
    if (!h->listener) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT, "cannot listen on %s",
                    full);
        wp_hub_free(h);
        return NULL;
    }
    return h;
}

void wp_hub_free(WPHub *h)
{
    if (!h)
        return;
    while (!wp_list_empty(&h->links))
        wp_link_close(wp_list_item(h->links.next, WPLink, node));
    if (h->listener)
        evconnlistener_free(h->listener);
    g_hash_table_unref(h->by_addr);
    g_free(h);
}

WPLink *wp_hub_get_link(WPHub *h, const char *addr)
{
    WPLink *l = g_hash_table_lookup(h->by_addr, addr);
    struct sockaddr_in sa;
    struct timeval limit = { WP_LINK_CONNECT_TIMEOUT_S, 0 };
    if (l)
        return l;
    if (!parse_addr(addr, &sa))
        return NULL;
    struct bufferevent *bev = bufferevent_socket_new(
        h->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    l = new_link(h, bev, true);
    l->addr = g_strdup(addr);
    g_hash_table_insert(h->by_addr, l->addr, l);
    send_hello(l);
    bufferevent_set_timeouts(bev, NULL, &limit);
    bufferevent_socket_connect(bev, (struct sockaddr *)&sa, sizeof(sa));
    return l;
}

uint64_t wp_link_written_bytes(const WPLink *l)
{
    if (!l->connected)
        return 0;
    return l->queued_bytes -
           evbuffer_get_length(bufferevent_get_output(l->bev));
}

/* Writes the output buffer to the socket at once instead of in the next
   iteration of the event loop, for frames that a request waits for. Bytes
   that the socket does not accept stay in the buffer until then. */
static void flush_now(WPLink *l)
{
    struct evbuffer *out = bufferevent_get_output(l->bev);
    evbuffer_unfreeze(out, 1);
    evbuffer_write(out, bufferevent_getfd(l->bev));
    evbuffer_freeze(out, 1);
}

static bool is_latency_critical(const Wp__Frame *f)
{
    return f->body_case == WP__FRAME__BODY_START ||
           f->body_case == WP__FRAME__BODY_END ||
           f->body_case == WP__FRAME__BODY_REFUSE ||
           f->body_case == WP__FRAME__BODY_PONG;
}

/* Serializes the frame directly into the output buffer. */
void wp_link_send(WPLink *l, Wp__Frame *f)
{
    struct evbuffer *out = bufferevent_get_output(l->bev);
    struct evbuffer_iovec v;
    if (blocked(l, true))
        return;
    l->hub->ops->before_send(l->hub->arg, f);
    size_t size = wp__frame__get_packed_size(f);
    uint32_t length = htonl((uint32_t)size);
    if (evbuffer_reserve_space(out, (ev_ssize_t)(size + LENGTH_BYTES), &v, 1) !=
        1)
        g_error("out of memory for a frame of %zu bytes", size);
    memcpy(v.iov_base, &length, LENGTH_BYTES);
    wp__frame__pack(f, (uint8_t *)v.iov_base + LENGTH_BYTES);
    v.iov_len = size + LENGTH_BYTES;
    evbuffer_commit_space(out, &v, 1);
    l->queued_bytes += v.iov_len;
    wp_peer_traffic_add(&l->hub->traffic, f, is_in_zone(l),
                        WP_PEER_TRAFFIC_SENT, v.iov_len);
    if (l->connected && is_latency_critical(f))
        flush_now(l);
}

const WPPeerTraffic *wp_hub_traffic(const WPHub *h)
{
    return &h->traffic;
}

void wp_link_send_serialized(WPLink *l, const uint8_t *data, size_t size)
{
    uint32_t length = htonl((uint32_t)size);
    if (blocked(l, true))
        return;
    bufferevent_write(l->bev, &length, LENGTH_BYTES);
    bufferevent_write(l->bev, data, size);
    l->queued_bytes += size + LENGTH_BYTES;
    l->last_used_us =
        l->received_us > l->last_used_us ? l->received_us : l->last_used_us;
}

static void ping(WPLink *l, int64_t now_us)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Ping p = WP__PING__INIT;
    p.sent_us = (uint64_t)now_us;
    f.body_case = WP__FRAME__BODY_PING;
    f.ping = &p;
    l->pinged_us = now_us;
    wp_link_send(l, &f);
}

void wp_hub_tick(WPHub *h, int64_t now_us, int64_t heartbeat_us,
                 int64_t dead_us)
{
    wp_list_each_safe (it, tmp, &h->links) {
        WPLink *l = wp_list_item(it, WPLink, node);
        int64_t idle_us = (int64_t)WP_LINK_IDLE_TIMEOUT_S * WP_US_PER_S;
        int64_t hello_us = (int64_t)WP_LINK_HELLO_TIMEOUT_S * WP_US_PER_S;
        if (!l->outgoing && !l->peer && now_us - l->opened_us > hello_us) {
            wp_link_close(l);
            continue;
        }
        /* A peer need not send anything on a link without requests in
           flight: the silence is measured from the first request on. */
        if (!l->in_flight)
            l->received_us = now_us;
        if (l->in_flight && now_us - l->received_us > dead_us)
            wp_link_close(l);
        else if (l->in_flight && now_us - l->received_us >= heartbeat_us &&
                 now_us - l->pinged_us >= heartbeat_us)
            ping(l, now_us);
        else if (!l->in_flight && now_us - l->last_used_us > idle_us)
            wp_link_close(l);
    }
}

void wp_hub_each(WPHub *h, void (*fn)(void *, WPLink *), void *arg)
{
    wp_list_each_safe (it, tmp, &h->links)
        fn(arg, wp_list_item(it, WPLink, node));
}
