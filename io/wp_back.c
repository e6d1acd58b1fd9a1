/* Connections to endpoints. */
#include "wp_back.h"
#include "wp_clock.h"
#include "wp_net.h"

#include <event2/bufferevent.h>

enum {
    SILENT_MS = 3000,     /* a peer that answers no probe so long is gone */
    KEPT_PER_REPLICA = 32 /* idle connections */
};

/* An endpoint closes an idle connection after the time it told; this part of
   it is used, so that a request does not cross the close. */
#define KEEP_ALIVE_PART 0.6

struct WPBack {
    struct event_base *base;
    char *from;
    WPBackRules rules;
    const WPBackOps *ops;
    WPList channels;  /* all */
    GHashTable *idle; /* replica -> GQueue of WPChannel, newest first */
    uint64_t opened;
};

struct WPChannel {
    WPList node;
    WPBack *back;
    WPReplica *to;
    struct bufferevent *bev;
    WPH1 h1;
    struct event *connect_timer;
    void *arg;     /* of the request under way; NULL: idle */
    size_t queued; /* bytes of the request */
    int64_t idle_since_us;
    int64_t idle_us; /* how long it may rest */
    bool idle_told;  /* by the endpoint */
    bool connected, no_body;
    bool mine, began, keep; /* of the answer being read */
    bool dead;              /* freed at the end of the callback under way */
    bool in_callback;
};

static bool on_answer_head(void *arg, const WPHead *h);
static void on_answer_body(void *arg, const char *p, size_t n);

static const WPH1Ops h1_ops = { on_answer_head, on_answer_body };

static GQueue *idle_of(WPBack *b, WPReplica *to)
{
    return g_hash_table_lookup(b->idle, to);
}

static void leave_idle(WPChannel *c)
{
    GQueue *q = idle_of(c->back, c->to);
    if (!q || !g_queue_remove(q, c))
        return;
    if (g_queue_is_empty(q))
        g_hash_table_remove(c->back->idle, c->to);
}

static void free_channel(WPChannel *c)
{
    if (c->in_callback) {
        c->dead = true;
        return;
    }
    leave_idle(c);
    wp_list_remove(&c->node);
    if (c->connect_timer)
        event_free(c->connect_timer);
    bufferevent_free(c->bev);
    wp_h1_end(&c->h1);
    wp_replica_unref(c->to);
    g_free(c);
}

static bool was_sent(const WPChannel *c)
{
    size_t left = evbuffer_get_length(bufferevent_get_output(c->bev));
    return c->connected && left < c->queued;
}

/* The request under way gets no (whole) answer. */
static void lose(WPChannel *c)
{
    WPBack *b = c->back;
    void *arg = c->arg;
    bool sent = was_sent(c), began = c->began;
    c->arg = NULL;
    free_channel(c);
    if (arg)
        b->ops->lost(arg, sent, began);
}

/* How long the endpoint keeps an idle connection, from its Keep-Alive field
   ("5" or "timeout=5"); 0 when it does not tell. */
static double keep_alive_s(const WPHead *h)
{
    WPStr v = wp_head_get(h, "Keep-Alive", NULL);
    g_autofree char *text = g_strndup(v.p, v.n);
    const char *named = strstr(text, "timeout=");
    return g_ascii_strtod(named ? named + strlen("timeout=") : text, NULL);
}

static bool on_answer_head(void *arg, const WPHead *h)
{
    WPChannel *c = arg;
    bool interim = h->status >= 100 && h->status < 200;
    double seconds = keep_alive_s(h);
    c->mine = !interim && c->arg && c->back->ops->is_mine(c->arg, h);
    c->keep = h->keep_alive && !h->until_close;
    c->idle_told = seconds > 0;
    c->idle_us = c->idle_told
                     ? (int64_t)(seconds * KEEP_ALIVE_PART * WP_US_PER_S)
                     : (int64_t)c->back->rules.idle_ms * WP_US_PER_MS;
    if (!c->mine)
        return true;
    c->began = true;
    c->back->ops->head(c->arg, h);
    return !c->no_body;
}

static void on_answer_body(void *arg, const char *p, size_t n)
{
    WPChannel *c = arg;
    if (c->mine && c->arg)
        c->back->ops->body(c->arg, p, n);
}

static void make_idle(WPChannel *c)
{
    WPBack *b = c->back;
    GQueue *q = idle_of(b, c->to);
    if (!q) {
        q = g_queue_new();
        g_hash_table_insert(b->idle, c->to, q);
    }
    c->idle_since_us = wp_clock_now(0).mono_us;
    wp_h1_reset(&c->h1);
    g_queue_push_head(q, c);
    if (g_queue_get_length(q) > KEPT_PER_REPLICA)
        free_channel(g_queue_peek_tail(q));
}

/* The whole answer is in. A request that was answered before all of it had
   left, or bytes that follow, end the connection. */
static void finish(WPChannel *c)
{
    void *arg = c->arg;
    WPBack *b = c->back;
    bool drained = !evbuffer_get_length(bufferevent_get_output(c->bev)) &&
                   !evbuffer_get_length(bufferevent_get_input(c->bev));
    c->arg = NULL;
    if (c->keep && drained)
        make_idle(c);
    else
        free_channel(c);
    b->ops->whole(arg);
}

/* Takes what has come. Returns false when the channel's part is over. */
static bool take(WPChannel *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    WPH1State st;
    if (!c->arg) { /* nobody asked for these bytes */
        free_channel(c);
        return false;
    }
    st = wp_h1_feed(&c->h1, in);
    if (c->dead || st == WP_H1_MORE)
        return false;
    if (st == WP_H1_BAD) {
        lose(c);
        return false;
    }
    if (c->mine) {
        finish(c);
        return false;
    }
    /* An answer to an earlier request, or an interim one: read over. */
    wp_h1_reset(&c->h1);
    return evbuffer_get_length(in) > 0;
}

static void end_callback(WPChannel *c)
{
    c->in_callback = false;
    if (c->dead)
        free_channel(c);
}

static void on_read(struct bufferevent *bev, void *arg)
{
    WPChannel *c = arg;
    (void)bev;
    c->in_callback = true;
    while (take(c))
        ;
    end_callback(c);
}

static void on_connected(WPChannel *c)
{
    c->connected = true;
    if (c->connect_timer)
        event_del(c->connect_timer);
}

/* A resting connection that ends before the time that the endpoint told is a
   sign that it has started again. */
static void note_idle_end(const WPChannel *c, WPTime now)
{
    bool early = now.mono_us - c->idle_since_us < c->idle_us;
    if (!c->arg && c->idle_told && early)
        wp_fleet_idle_connection_lost(c->to, now);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
    WPChannel *c = arg;
    (void)bev;
    if (what & BEV_EVENT_CONNECTED) {
        on_connected(c);
        return;
    }
    note_idle_end(c, wp_clock_now(0));
    c->in_callback = true;
    bool clean = (what & BEV_EVENT_EOF) && c->arg && c->mine;
    if (clean && wp_h1_eof(&c->h1) == WP_H1_WHOLE && !c->dead) {
        c->keep = false;
        finish(c);
    } else if (!c->dead) {
        lose(c);
    }
    end_callback(c);
}

static void on_connect_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    lose(arg);
}

static WPChannel *new_channel(WPBack *b, WPReplica *to)
{
    struct bufferevent *bev =
        wp_net_connect(b->base, b->from, to->addr, SILENT_MS);
    struct timeval limit = { b->rules.connect_ms / WP_MS_PER_S,
                             b->rules.connect_ms % WP_MS_PER_S * WP_US_PER_MS };
    if (!bev)
        return NULL;
    WPChannel *c = g_new0(WPChannel, 1);
    c->back = b;
    c->to = wp_replica_ref(to);
    c->bev = bev;
    b->opened++;
    wp_list_append(&b->channels, &c->node);
    wp_h1_init(&c->h1, false, &h1_ops, c);
    bufferevent_setcb(bev, on_read, NULL, on_event, c);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    c->connect_timer = evtimer_new(b->base, on_connect_timer, c);
    event_add(c->connect_timer, &limit);
    return c;
}

static bool is_stale(const WPChannel *c, WPTime now, bool once)
{
    int64_t idle_us = now.mono_us - c->idle_since_us;
    int64_t most_us = c->idle_us;
    if (once)
        most_us =
            MIN(most_us, (int64_t)c->back->rules.idle_once_ms * WP_US_PER_MS);
    return idle_us >= most_us;
}

/* The connection that was used last, unless it has rested too long. */
static WPChannel *take_idle(WPBack *b, WPTime now, WPReplica *to, bool once)
{
    GQueue *q = idle_of(b, to);
    WPChannel *c = q ? g_queue_peek_head(q) : NULL;
    if (!c || is_stale(c, now, once))
        return NULL;
    leave_idle(c);
    return c;
}

WPChannel *wp_back_send(WPBack *b, WPTime now, WPReplica *to,
                        struct evbuffer *request, bool no_body, bool once,
                        void *arg)
{
    WPChannel *c = take_idle(b, now, to, once);
    if (!c)
        c = new_channel(b, to);
    if (!c) {
        evbuffer_drain(request, evbuffer_get_length(request));
        return NULL;
    }
    c->arg = arg;
    c->no_body = no_body;
    c->mine = false;
    c->began = false;
    c->queued = evbuffer_get_length(request);
    bufferevent_write_buffer(c->bev, request);
    return c;
}

void wp_back_cancel(WPChannel *c)
{
    c->arg = NULL;
    free_channel(c);
}

void wp_back_pause(WPChannel *c, bool paused)
{
    if (paused)
        bufferevent_disable(c->bev, EV_READ);
    else
        bufferevent_enable(c->bev, EV_READ);
}

void wp_back_tick(WPBack *b, WPTime now)
{
    wp_list_each_safe (it, tmp, &b->channels) {
        WPChannel *c = wp_list_item(it, WPChannel, node);
        if (!c->arg && (c->to->gone || is_stale(c, now, false)))
            free_channel(c);
    }
}

uint64_t wp_back_held(const WPBack *b)
{
    uint64_t sum = 0;
    wp_list_each (it, &b->channels) {
        const WPChannel *c = wp_list_item(it, WPChannel, node);
        sum += evbuffer_get_length(bufferevent_get_output(c->bev));
    }
    return sum;
}

uint64_t wp_back_opened(const WPBack *b)
{
    return b->opened;
}

static void free_queue(void *q)
{
    g_queue_free(q);
}

WPBack *wp_back_new(struct event_base *base, const char *from,
                    const WPBackRules *rules, const WPBackOps *ops)
{
    WPBack *b = g_new0(WPBack, 1);
    b->base = base;
    b->from = g_strdup(from);
    b->rules = *rules;
    b->ops = ops;
    b->idle =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_queue);
    wp_list_init(&b->channels);
    return b;
}

void wp_back_free(WPBack *b)
{
    if (!b)
        return;
    wp_list_each_safe (it, tmp, &b->channels) {
        WPChannel *c = wp_list_item(it, WPChannel, node);
        c->arg = NULL;
        free_channel(c);
    }
    g_hash_table_unref(b->idle);
    g_free(b->from);
    g_free(b);
}
