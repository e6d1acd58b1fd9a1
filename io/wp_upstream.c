/* Pool of connections to endpoints. */
#include "wp_upstream.h"
#include "wp_clock.h"
#include "wp_net.h"
#include "wp_process.h"

#include <event2/bufferevent.h>

enum {
    SILENT_MS = 3000, /* a peer that answers no keep-alive probe for this time
                         counts as dead */
    IDLE_PER_REPLICA_MAX = 32, /* idle connections per endpoint */
    KEEP_ALIVE_MAX_S = 86400
};

/* An endpoint closes an idle connection after its Keep-Alive time. Connections
   are reused during this share of that time only, as a request could otherwise
   be sent while the endpoint closes the connection. */
#define KEEP_ALIVE_SHARE 0.6

struct WPUpstream {
    struct event_base *base;
    char *from;
    WPUpstreamRules rules;
    const WPUpstreamOps *ops;
    WPList conns;     /* all connections */
    GHashTable *idle; /* replica -> GQueue of idle WPUpstreamConn, the one used
                         last first */
    uint64_t n_opened;
};

struct WPUpstreamConn {
    WPList node;
    WPUpstream *pool;
    WPReplica *to;
    struct bufferevent *bev;
    WPH1 h1;
    struct event *connect_timer;
    void *arg;     /* of the request in flight; NULL: idle */
    size_t queued; /* length of the request in bytes */
    int64_t idle_since_us;
    int64_t idle_us;         /* longest idle time before reuse */
    bool idle_from_endpoint; /* `idle_us` comes from the endpoint's Keep-Alive
                                field */
    bool connected, no_body;
    bool is_answer; /* the response being read answers the request in flight */
    bool answer_begun; /* the head of that answer has arrived */
    bool reusable;     /* the response allows reuse of the connection */
    bool dead;         /* freed at the end of the running callback */
    bool in_callback;
};

static bool on_answer_head(void *arg, const WPHead *h);
static void on_answer_body(void *arg, const char *p, size_t n);

static const WPH1Ops h1_ops = { on_answer_head, on_answer_body };

static GQueue *idle_queue(WPUpstream *b, WPReplica *to)
{
    return g_hash_table_lookup(b->idle, to);
}

static void remove_from_idle(WPUpstreamConn *c)
{
    GQueue *q = idle_queue(c->pool, c->to);
    if (!q || !g_queue_remove(q, c))
        return;
    if (g_queue_is_empty(q))
        g_hash_table_remove(c->pool->idle, c->to);
}

static void free_conn(WPUpstreamConn *c)
{
    if (c->in_callback) {
        c->dead = true;
        return;
    }
    remove_from_idle(c);
    wp_list_remove(&c->node);
    if (c->connect_timer)
        event_free(c->connect_timer);
    wp_process_close(c->bev);
    wp_h1_end(&c->h1);
    wp_replica_unref(c->to);
    g_free(c);
}

/* Whether part of the request in flight may have left this box. */
static bool was_any_sent(const WPUpstreamConn *c)
{
    size_t left = evbuffer_get_length(bufferevent_get_output(c->bev));
    return c->connected && left < c->queued;
}

/* Closes the connection, and reports the request in flight, if any, as lost:
   it gets no complete answer. `fault`: what is not valid in the bytes from the
   endpoint; NULL: the connection has ended. */
static void fail_request(WPUpstreamConn *c, const char *fault)
{
    WPUpstream *b = c->pool;
    void *arg = c->arg;
    bool sent = was_any_sent(c), began = c->answer_begun;
    c->arg = NULL;
    free_conn(c);
    if (arg && fault)
        b->ops->invalid(arg, sent, began, fault);
    else if (arg)
        b->ops->lost(arg, sent, began);
}

/* Returns for how many seconds the endpoint keeps an idle connection, from its
   Keep-Alive field ("5" or "timeout=5, max=100"); 0 if there is none that is
   valid. */
static uint32_t keep_alive_timeout_s(const WPHead *h)
{
    WPStr rest = wp_head_get(h, "Keep-Alive", NULL);
    uint64_t s;
    while (rest.n) {
        WPStr value = wp_str_trim(wp_str_cut(&rest, ','));
        if (memchr(value.p, '=', value.n) &&
            !wp_str_eq(wp_str_cut(&value, '='), wp_str("timeout")))
            continue;
        if (wp_str_uint(value, &s) && s <= KEEP_ALIVE_MAX_S)
            return (uint32_t)s;
    }
    return 0;
}

/* The head of a response has been parsed; `arg` is the connection
   (WPUpstreamConn). Notes whether and how long the connection may be reused. If
   the response answers the request in flight, passes the head to `ops->head`;
   other responses, among them interim ones (1xx), are read and discarded.
   Returns false if no body is to be read although the head may announce one:
   the answer to a HEAD request. */
static bool on_answer_head(void *arg, const WPHead *h)
{
    WPUpstreamConn *c = arg;
    bool interim = h->status >= 100 && h->status < 200;
    uint32_t seconds = keep_alive_timeout_s(h);
    c->is_answer = !interim && c->arg && c->pool->ops->is_answer(c->arg, h);
    c->reusable = h->keep_alive && !h->until_close;
    c->idle_from_endpoint = seconds > 0;
    c->idle_us = c->idle_from_endpoint
                     ? (int64_t)(KEEP_ALIVE_SHARE * seconds * WP_US_PER_S)
                     : (int64_t)c->pool->rules.idle_ms * WP_US_PER_MS;
    if (!c->is_answer)
        return true;
    c->answer_begun = true;
    c->pool->ops->head(c->arg, h);
    return !c->no_body;
}

static void on_answer_body(void *arg, const char *p, size_t n)
{
    WPUpstreamConn *c = arg;
    if (c->is_answer && c->arg)
        c->pool->ops->body(c->arg, p, n);
}

/* Keeps the connection for other requests. It is read while it is idle, also if
   the last answer was paused: its end has to be noticed, and the next answer
   has to be read. */
static void make_idle(WPUpstreamConn *c)
{
    WPUpstream *b = c->pool;
    wp_upstream_set_paused(c, false);
    GQueue *q = idle_queue(b, c->to);
    if (!q) {
        q = g_queue_new();
        g_hash_table_insert(b->idle, c->to, q);
    }
    c->idle_since_us = wp_clock_now(0).mono_us;
    wp_h1_reset(&c->h1);
    g_queue_push_head(q, c);
    if (g_queue_get_length(q) > IDLE_PER_REPLICA_MAX)
        free_conn(g_queue_peek_tail(q));
}

/* The answer is complete. The connection is not reused if the answer came
   before the request was fully sent, or if further bytes follow the answer. */
static void finish(WPUpstreamConn *c)
{
    void *arg = c->arg;
    WPUpstream *b = c->pool;
    bool drained = !evbuffer_get_length(bufferevent_get_output(c->bev)) &&
                   !evbuffer_get_length(bufferevent_get_input(c->bev));
    c->arg = NULL;
    if (c->reusable && drained)
        make_idle(c);
    else
        free_conn(c);
    b->ops->complete(arg);
}

/* Parses received bytes. Returns true if the input has bytes of a further
   response, and false if there is nothing more to parse or the connection is to
   be closed. */
static bool read_answer(WPUpstreamConn *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    WPH1State st;
    if (!c->arg) { /* bytes without a request in flight */
        free_conn(c);
        return false;
    }
    st = wp_h1_feed(&c->h1, in);
    if (c->dead || st == WP_H1_MORE)
        return false;
    if (st == WP_H1_ERROR) {
        fail_request(c, c->h1.fault);
        return false;
    }
    if (c->is_answer) {
        finish(c);
        return false;
    }
    /* Discard an answer to an earlier request, or an interim (1xx) response. */
    wp_h1_reset(&c->h1);
    return evbuffer_get_length(in) > 0;
}

static void end_callback(WPUpstreamConn *c)
{
    c->in_callback = false;
    if (c->dead)
        free_conn(c);
}

static void on_read(struct bufferevent *bev, void *arg)
{
    WPUpstreamConn *c = arg;
    (void)bev;
    c->in_callback = true;
    while (read_answer(c))
        ;
    end_callback(c);
}

static void on_connected(WPUpstreamConn *c)
{
    c->connected = true;
    if (c->connect_timer)
        event_del(c->connect_timer);
}

/* An idle connection that ends before the endpoint's Keep-Alive time indicates
   that the endpoint has restarted. */
static void note_idle_close(const WPUpstreamConn *c, WPTime now)
{
    bool early = now.mono_us - c->idle_since_us < c->idle_us;
    if (!c->arg && c->idle_from_endpoint && early)
        wp_fleet_idle_connection_lost(c->to, now);
}

/* The connection was established, or has ended. An end of file may complete an
   answer without a length; otherwise the request in flight is lost. */
static void on_event(struct bufferevent *bev, short what, void *arg)
{
    WPUpstreamConn *c = arg;
    (void)bev;
    if (what & BEV_EVENT_CONNECTED) {
        on_connected(c);
        return;
    }
    note_idle_close(c, wp_clock_now(0));
    c->in_callback = true;
    bool clean = (what & BEV_EVENT_EOF) && c->arg && c->is_answer;
    if (clean && wp_h1_eof(&c->h1) == WP_H1_COMPLETE && !c->dead) {
        c->reusable = false;
        finish(c);
    } else if (!c->dead) {
        fail_request(c, NULL);
    }
    end_callback(c);
}

static void on_connect_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    fail_request(arg, NULL);
}

/* Begins to connect to the endpoint, with the time-out `connect_ms`. Returns
   NULL if its address is malformed. */
static WPUpstreamConn *new_conn(WPUpstream *b, WPReplica *to)
{
    struct bufferevent *bev =
        wp_net_connect(b->base, b->from, to->addr, SILENT_MS);
    struct timeval limit = { b->rules.connect_ms / WP_MS_PER_S,
                             b->rules.connect_ms % WP_MS_PER_S * WP_US_PER_MS };
    if (!bev)
        return NULL;
    WPUpstreamConn *c = g_new0(WPUpstreamConn, 1);
    c->pool = b;
    c->to = wp_replica_ref(to);
    c->bev = bev;
    b->n_opened++;
    wp_list_append(&b->conns, &c->node);
    wp_h1_init(&c->h1, false, &h1_ops, c);
    bufferevent_setcb(bev, on_read, NULL, on_event, c);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    c->connect_timer = evtimer_new(b->base, on_connect_timeout, c);
    event_add(c->connect_timer, &limit);
    return c;
}

/* Whether a connection has been idle too long to be reused. A lower
   limit applies to reuse for a non-repeatable request. */
static bool is_stale(const WPUpstreamConn *c, WPTime now, bool non_repeatable)
{
    int64_t idle_us = now.mono_us - c->idle_since_us;
    int64_t max_us = c->idle_us;
    if (non_repeatable)
        max_us = MIN(max_us, (int64_t)c->pool->rules.idle_non_repeatable_ms *
                                 WP_US_PER_MS);
    return idle_us >= max_us;
}

/* Takes the most recently used idle connection to `to`. Returns NULL if there
   is none, or if it has been idle too long. */
static WPUpstreamConn *take_idle(WPUpstream *b, WPTime now, WPReplica *to,
                                 bool non_repeatable)
{
    GQueue *q = idle_queue(b, to);
    WPUpstreamConn *c = q ? g_queue_peek_head(q) : NULL;
    if (!c || is_stale(c, now, non_repeatable))
        return NULL;
    remove_from_idle(c);
    return c;
}

WPUpstreamConn *wp_upstream_send(WPUpstream *b, WPTime now, WPReplica *to,
                                 struct evbuffer *request, bool no_body,
                                 bool non_repeatable, void *arg)
{
    WPUpstreamConn *c = take_idle(b, now, to, non_repeatable);
    if (!c)
        c = new_conn(b, to);
    if (!c) {
        evbuffer_drain(request, evbuffer_get_length(request));
        return NULL;
    }
    c->arg = arg;
    c->no_body = no_body;
    c->is_answer = false;
    c->answer_begun = false;
    c->queued = evbuffer_get_length(request);
    bufferevent_write_buffer(c->bev, request);
    return c;
}

void wp_upstream_cancel(WPUpstreamConn *c)
{
    c->arg = NULL;
    free_conn(c);
}

void wp_upstream_set_paused(WPUpstreamConn *c, bool paused)
{
    if (paused)
        bufferevent_disable(c->bev, EV_READ);
    else
        bufferevent_enable(c->bev, EV_READ);
}

void wp_upstream_tick(WPUpstream *b, WPTime now)
{
    wp_list_each_safe (it, tmp, &b->conns) {
        WPUpstreamConn *c = wp_list_item(it, WPUpstreamConn, node);
        if (!c->arg && (c->to->gone || is_stale(c, now, false)))
            free_conn(c);
    }
}

uint64_t wp_upstream_connections_opened(const WPUpstream *b)
{
    return b->n_opened;
}

static void free_queue(void *q)
{
    g_queue_free(q);
}

WPUpstream *wp_upstream_new(struct event_base *base, const char *from,
                            const WPUpstreamRules *rules,
                            const WPUpstreamOps *ops)
{
    WPUpstream *b = g_new0(WPUpstream, 1);
    b->base = base;
    b->from = g_strdup(from);
    b->rules = *rules;
    b->ops = ops;
    b->idle =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_queue);
    wp_list_init(&b->conns);
    return b;
}

void wp_upstream_free(WPUpstream *b)
{
    if (!b)
        return;
    wp_list_each_safe (it, tmp, &b->conns) {
        WPUpstreamConn *c = wp_list_item(it, WPUpstreamConn, node);
        c->arg = NULL;
        free_conn(c);
    }
    g_hash_table_unref(b->idle);
    g_free(b->from);
    g_free(b);
}
