/* Connections of callers. */
#define _GNU_SOURCE /* POLLRDHUP */
#include "wp_downstream.h"
#include "wp_clock.h"
#include "wp_buffered.h"
#include "wp_net.h"
#include "wp_process.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <poll.h>

enum {
    SILENT_MS = 6000, /* a caller that answers no keep-alive probe for this time
                         counts as dead */
    BACKLOG_BYTES = 64 << 10,    /* unsent output that pauses the endpoint */
    READ_MAX_BYTES = 64 << 10,   /* of input that waits to be parsed */
    UNREAD_MAX_BYTES = 16 << 10, /* of answers, above which the next request
                                    does not begin */
    CHAIN_SLACK = 4,             /* buffers take up to 1 part in so many more */
    CONNECTION_BYTES = 4 << 10,  /* what an idle connection takes */
    CLOSE_TIMEOUT_MS = 2000, /* a caller that takes nothing of its last answer
                                for this time has stopped reading */
    ARRIVAL_MS = 300000,     /* of a request as a whole, by default */
    LISTEN_BACKLOG = 1024
};

struct WPDownstream {
    struct event_base *base;
    struct evconnlistener *listener;
    WPRouteLimits limits;
    const WPDownstreamOps *ops;
    void *arg;
    WPList conns;
    unsigned n_conns;
    WPAccount *account; /* NULL: nothing is charged */
    struct event *reclaim;
    int64_t now_us;     /* as of the last event or poll */
    unsigned max_conns; /* 0: any number */
    uint32_t arrival_ms, silent_ms;
    bool draining;
    bool over_limit;              /* the box buffers more than its limit */
    uint64_t uploads_limit_bytes; /* of large bodies together; 0: none */
    uint64_t reserved_bytes;      /* of that */
};

static void advance(WPDownstreamConn *p);

/* Frees what the body of the last request had reserved. */
static void release_room(WPDownstreamConn *p)
{
    p->downstream->reserved_bytes -= p->reserved_bytes;
    p->reserved_bytes = 0;
}

/* Reserves `bytes` for the body in all, if it is large. Returns false if the
   bodies that were admitted before leave too little. */
static bool reserve_room(WPDownstreamConn *p, uint64_t bytes)
{
    WPDownstream *f = p->downstream;
    if (!f->uploads_limit_bytes ||
        bytes <= MAX(p->reserved_bytes, WP_BUFFERED_EXEMPT_BYTES))
        return true;
    uint64_t more = bytes - p->reserved_bytes;
    if (f->reserved_bytes + more > f->uploads_limit_bytes)
        return false;
    f->reserved_bytes += more;
    p->reserved_bytes = bytes;
    return true;
}

static size_t unsent_bytes(const WPDownstreamConn *p)
{
    return evbuffer_get_length(bufferevent_get_output(p->bev));
}

/* What the output takes. An array in it is freed as a whole, when all of it has
   been sent; little else waits beside one. */
static size_t output_bytes(const WPDownstreamConn *p)
{
    size_t n = unsent_bytes(p);
    if (p->array_bytes)
        return p->array_bytes + MIN(n, UNREAD_MAX_BYTES);
    return n + n / CHAIN_SLACK;
}

/* Charges what the connection holds now. A caller waits for this box while its
   request is answered, and it has read what there is of the answer. Connections
   that have to give way do so after the running callback. */
static void charge(WPDownstreamConn *p)
{
    WPDownstream *f = p->downstream;
    WPAccount *a = f->account;
    size_t unsent = unsent_bytes(p),
           input = evbuffer_get_length(bufferevent_get_input(p->bev));
    if (!a)
        return;
    wp_account_set_waits(a, &p->owner, p->answering && !unsent, f->now_us);
    wp_account_set(a, &p->owner, WP_HELD_INPUT,
                   input + input / CHAIN_SLACK +
                       wp_array_capacity(p->h1.text->len),
                   f->now_us);
    wp_account_set(a, &p->owner, WP_HELD_BODY, wp_array_capacity(p->body->len),
                   f->now_us);
    wp_account_set(a, &p->owner, WP_HELD_OUTPUT, output_bytes(p), f->now_us);
    if (wp_account_is_over(a))
        event_active(f->reclaim, EV_TIMEOUT, 0);
}

void wp_downstream_charge_answer(WPDownstreamConn *p, uint64_t bytes)
{
    WPDownstream *f = p->downstream;
    if (!f->account || p->owner.bytes[WP_HELD_ANSWER] == bytes)
        return;
    wp_account_set(f->account, &p->owner, WP_HELD_ANSWER, bytes, f->now_us);
    if (wp_account_is_over(f->account))
        event_active(f->reclaim, EV_TIMEOUT, 0);
}

bool wp_downstream_reserve_parsed(WPDownstreamConn *p, uint64_t bytes)
{
    WPDownstream *f = p->downstream;
    if (!f->account)
        return true;
    if (!wp_account_has_room(f->account, bytes))
        return false;
    wp_account_set(f->account, &p->owner, WP_HELD_PARSED, bytes, f->now_us);
    return true;
}

/* Releases what was charged for the request that has been answered. */
static void release_answer(WPDownstreamConn *p)
{
    WPDownstream *f = p->downstream;
    if (!f->account)
        return;
    wp_account_set(f->account, &p->owner, WP_HELD_PARSED, 0, f->now_us);
    wp_account_set(f->account, &p->owner, WP_HELD_ANSWER, 0, f->now_us);
}

static void free_conn(WPDownstreamConn *p)
{
    if (p->in_callback) {
        p->dead = true;
        return;
    }
    wp_list_remove(&p->node);
    if (p->downstream->account)
        wp_account_remove(p->downstream->account, &p->owner);
    release_room(p);
    p->downstream->n_conns--;
    event_free(p->timer);
    wp_process_close(p->bev);
    wp_h1_end(&p->h1);
    g_byte_array_unref(p->body);
    g_free(p);
}

static void set_timer(WPDownstreamConn *p, uint32_t ms)
{
    p->timer_ms = ms;
    p->timer_unread_bytes = unsent_bytes(p);
    struct timeval at = { ms / WP_MS_PER_S, ms % WP_MS_PER_S * WP_US_PER_MS };
    event_add(p->timer, &at);
}

static void on_disconnect(WPDownstreamConn *p)
{
    bool busy = p->answering;
    p->answering = false;
    if (busy)
        p->downstream->ops->caller_gone(p->downstream->arg, p);
    free_conn(p);
}

/* Closes the connection once all output has been sent, or the caller has taken
   none of it for CLOSE_TIMEOUT_MS. */
static void close_after_write(WPDownstreamConn *p)
{
    p->closing = true;
    if (!unsent_bytes(p) && !p->lingers) {
        free_conn(p);
        return;
    }
    set_timer(p, CLOSE_TIMEOUT_MS);
}

/* Answers input that is not a valid request with an error, and closes the
   connection. */
static void refuse(WPDownstreamConn *p, WPCode code, const char *detail)
{
    const WPCodeInfo *i = wp_code_info(code);
    g_autofree char *body = g_strdup_printf(
        "{\"error\":{\"code\":\"%s\",\"message\":\"%s\",\"ran\":\"%s\"}}\n",
        i->code, detail, wp_ran_name(i->ran));
    p->downstream->ops->refused(p->downstream->arg, code, detail);
    p->keep_alive = false;
    p->answering = true;
    p->lingers = code == WP_NO_MEMORY;
    g_autoptr(GString) fields =
        g_string_new("Content-Type: application/json\r\n");
    if (code == WP_NO_MEMORY)
        g_string_append_printf(fields, "Retry-After: %d\r\n",
                               WP_BUFFERED_RETRY_S);
    wp_downstream_send_answer(p, i->status, wp_strn(fields->str, fields->len),
                              wp_str(body));
}

/* Returns NULL, or why the head is refused. */
static const char *check_head(const WPHead *h)
{
    unsigned n;
    wp_head_get(h, "Host", &n);
    if (n != 1)
        return "exactly one Host is needed";
    return h->target.n && h->target.p[0] == '/' ? NULL : "malformed path";
}

/* The length of the body that the head tells; 0: none, or not known. */
static uint64_t body_length(const WPHead *h)
{
    uint64_t n;
    return wp_str_uint(wp_head_get(h, "Content-Length", NULL), &n) ? n : 0;
}

/* Whether the caller waits for leave to send its body. */
static bool expects_leave(const WPHead *h)
{
    WPStr v = wp_head_get(h, "Expect", NULL);
    static const char leave[] = "100-continue";
    return v.n == strlen(leave) && !g_ascii_strncasecmp(v.p, leave, v.n);
}

static bool on_head(void *arg, const WPHead *h)
{
    WPDownstreamConn *p = arg;
    p->keep_alive = h->keep_alive;
    p->is_head = wp_str_eq(h->method, wp_str("HEAD"));
    p->head_error = check_head(h);
    p->too_large = body_length(h) > p->downstream->limits.body_bytes;
    p->no_room = !p->too_large && !reserve_room(p, body_length(h));
    p->head = *h;
    if (!p->head_error && !p->too_large && !p->no_room && expects_leave(h))
        evbuffer_add_printf(bufferevent_get_output(p->bev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

static void on_body(void *arg, const char *data, size_t n)
{
    WPDownstreamConn *p = arg;
    if (p->body->len + n > p->downstream->limits.body_bytes)
        p->too_large = true;
    else if (p->no_room || !reserve_room(p, p->body->len + n))
        p->no_room = true;
    else
        g_byte_array_append(p->body, (const guint8 *)data, (guint)n);
}

static const WPH1Ops h1_ops = { on_head, on_body };

/* Whether what is held is over the limit although all that can give way has:
   what is left waits for endpoints. */
static bool over_account(const WPDownstreamConn *p)
{
    const WPAccount *a = p->downstream->account;
    return a && wp_account_is_over(a);
}

static void on_complete(WPDownstreamConn *p)
{
    p->request_begun = false;
    p->answering = true;
    event_del(p->timer);
    if (p->head_error)
        refuse(p, WP_BAD_REQUEST, p->head_error);
    else if (p->too_large)
        refuse(p, WP_TOO_LARGE, "the body is too large");
    else if (p->no_room || over_account(p))
        refuse(p, WP_NO_MEMORY, "too many large requests arrive at this box");
    else
        p->downstream->ops->request(p->downstream->arg, p, &p->head);
}

/* Pauses the upload of a large body while the box is over its buffer limit. */
static void pause_if_large(WPDownstreamConn *p)
{
    if (!p->downstream->over_limit || p->upload_paused ||
        p->body->len < WP_BUFFERED_EXEMPT_BYTES)
        return;
    p->upload_paused = true;
    bufferevent_disable(p->bev, EV_READ);
}

/* How long the rest of the request may take to arrive. */
static uint32_t time_left_ms(const WPDownstreamConn *p)
{
    const WPDownstream *f = p->downstream;
    int64_t ms = (f->now_us - p->begun_us) / WP_US_PER_MS;
    return ms < f->arrival_ms ? (uint32_t)(f->arrival_ms - ms) : 0;
}

/* Whether the next bytes of input may be parsed: a request begins once the
   answers before it have been read, but for UNREAD_MAX_BYTES. */
static bool may_advance(const WPDownstreamConn *p)
{
    if (p->answering || p->closing || p->dead)
        return false;
    return p->request_begun || unsent_bytes(p) <= UNREAD_MAX_BYTES;
}

/* Parses the input until a request is complete. */
static void advance(WPDownstreamConn *p)
{
    struct evbuffer *in = bufferevent_get_input(p->bev);
    while (may_advance(p) && evbuffer_get_length(in)) {
        if (!p->request_begun) {
            p->request_begun = true;
            p->begun_us = p->downstream->now_us;
            set_timer(p, p->downstream->limits.head_ms);
        }
        p->h1.head_max_bytes = p->downstream->limits.head_bytes;
        WPH1State st = wp_h1_feed(&p->h1, in);
        if (st == WP_H1_MORE && !p->h1.has_head)
            return;
        if (st == WP_H1_ERROR)
            refuse(p, p->h1.head_too_large ? WP_HEAD_TOO_LARGE : WP_BAD_REQUEST,
                   p->h1.fault);
        else if (p->head_error || p->too_large || p->no_room ||
                 st == WP_H1_COMPLETE)
            on_complete(p);
        else if (!time_left_ms(p))
            refuse(p, WP_HEAD_SLOW, "the request did not arrive in time");
        else {
            set_timer(p, MIN(p->downstream->limits.idle_ms, time_left_ms(p)));
            pause_if_large(p);
            return;
        }
    }
}

static void drain_input(WPDownstreamConn *p)
{
    struct evbuffer *in = bufferevent_get_input(p->bev);
    evbuffer_drain(in, evbuffer_get_length(in));
}

/* Stops reading while much input waits, and goes on when it has been parsed. A
   high watermark would do the same, but libevent calls the reader without end
   while the input stays above it. */
static void hold_input(WPDownstreamConn *p)
{
    struct evbuffer *in = bufferevent_get_input(p->bev);
    size_t most = MAX((size_t)READ_MAX_BYTES,
                      (size_t)p->downstream->limits.head_bytes * 2);
    bool hold = !p->closing && evbuffer_get_length(in) >= most;
    if (hold == p->input_held)
        return;
    p->input_held = hold;
    if (hold)
        bufferevent_disable(p->bev, EV_READ);
    else if (!p->upload_paused)
        bufferevent_enable(p->bev, EV_READ);
}

static void begin_callback(WPDownstreamConn *p)
{
    p->in_callback = true;
}

static void end_callback(WPDownstreamConn *p)
{
    p->in_callback = false;
    if (p->dead)
        free_conn(p);
}

static void on_read(struct bufferevent *bev, void *arg)
{
    WPDownstreamConn *p = arg;
    (void)bev;
    if (p->closing) {
        drain_input(p);
        return;
    }
    begin_callback(p);
    p->last_active_us = wp_clock_now(0).mono_us;
    p->downstream->now_us = p->last_active_us;
    advance(p);
    hold_input(p);
    charge(p);
    end_callback(p);
}

/* The caller has all of its answer, and no request has begun. */
static void begin_idle(WPDownstreamConn *p)
{
    p->last_active_us = wp_clock_now(0).mono_us;
    set_timer(p, p->downstream->limits.idle_ms);
}

static void on_write(struct bufferevent *bev, void *arg)
{
    WPDownstreamConn *p = arg;
    bool empty = !evbuffer_get_length(bufferevent_get_output(bev));
    if (p->closing && empty) {
        if (!p->lingers)
            free_conn(p);
        return;
    }
    if (empty && !p->answering && !p->request_begun)
        begin_idle(p);
    begin_callback(p);
    if (p->backlogged) {
        p->backlogged = false;
        bufferevent_setwatermark(bev, EV_WRITE, 0, 0);
        p->downstream->ops->writable(p->downstream->arg, p);
    }
    advance(p);
    hold_input(p);
    charge(p);
    end_callback(p);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
    WPDownstreamConn *p = arg;
    (void)bev;
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        on_disconnect(p);
}

/* Whether the caller has taken some output, but not all, since the timer was
   set. */
static bool is_reading(const WPDownstreamConn *p)
{
    size_t n = unsent_bytes(p);
    return n && n < p->timer_unread_bytes;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
    WPDownstreamConn *p = arg;
    (void)fd;
    (void)what;
    if (p->answering)
        return;
    if (is_reading(p)) {
        set_timer(p, p->timer_ms);
        return;
    }
    begin_callback(p);
    if (p->request_begun && !p->closing)
        refuse(p, WP_HEAD_SLOW, "the request did not arrive in time");
    else
        free_conn(p);
    end_callback(p);
}

void wp_downstream_add(WPDownstream *f, struct bufferevent *bev)
{
    WPDownstreamConn *p = g_new0(WPDownstreamConn, 1);
    f->now_us = wp_clock_now(0).mono_us;
    p->downstream = f;
    p->bev = bev;
    p->timer = evtimer_new(f->base, on_timer, p);
    p->body = g_byte_array_new();
    p->last_active_us = f->now_us;
    if (f->account) {
        wp_account_add(f->account, &p->owner, p->last_active_us);
        wp_account_set(f->account, &p->owner, WP_HELD_CONNECTION,
                       CONNECTION_BYTES, p->last_active_us);
    }
    wp_h1_init(&p->h1, true, &h1_ops, p);
    wp_list_append(&f->conns, &p->node);
    f->n_conns++;
    bufferevent_setcb(p->bev, on_read, on_write, on_event, p);
    bufferevent_enable(p->bev, EV_READ | EV_WRITE);
    set_timer(p, f->limits.idle_ms);
}

/* Returns the connection that has not been active for the longest, of those
   whose callers do not wait for an answer; NULL: there is none. */
static WPDownstreamConn *longest_idle(const WPDownstream *f)
{
    WPDownstreamConn *found = NULL;
    wp_list_each (it, &f->conns) {
        WPDownstreamConn *p = wp_list_item(it, WPDownstreamConn, node);
        if (!p->answering &&
            (!found || p->last_active_us < found->last_active_us))
            found = p;
    }
    return found;
}

/* Makes room for a new connection. Returns false if all others wait for
   answers. */
static bool make_place(WPDownstream *f)
{
    if (!f->max_conns || f->n_conns < f->max_conns)
        return true;
    WPDownstreamConn *p = longest_idle(f);
    if (!p)
        return false;
    if (f->ops->gives_way)
        f->ops->gives_way(f->arg, &p->owner);
    on_disconnect(p);
    return true;
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
                      struct sockaddr *sa, int n, void *arg)
{
    WPDownstream *f = arg;
    (void)l;
    (void)sa;
    (void)n;
    if (!make_place(f)) {
        f->ops->refused(f->arg, WP_NO_MEMORY, "too many connections");
        evutil_closesocket(fd);
        return;
    }
    wp_net_options(fd, f->silent_ms);
    wp_downstream_add(
        f, bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE));
}

/* The answer is complete: the connection becomes idle, is closed, or continues
   with the request that the caller has sent meanwhile. */
static void finish_answer(WPDownstreamConn *p)
{
    WPDownstream *f = p->downstream;
    p->answering = false;
    p->request = NULL;
    release_room(p);
    wp_array_clear(&p->body);
    release_answer(p);
    charge(p);
    if (!p->keep_alive || f->draining) {
        close_after_write(p);
        return;
    }
    wp_h1_reset(&p->h1);
    p->too_large = false;
    p->no_room = false;
    p->chunked = false;
    p->until_close = false;
    begin_idle(p);
    /* Deferred, as the owner, from whose call this runs, may still use the
       connection. */
    bufferevent_trigger(p->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

static void write_head(WPDownstreamConn *p, int status, WPStr fields)
{
    struct evbuffer *out = bufferevent_get_output(p->bev);
    const char *reason = http_status_str((enum http_status)status);
    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                        reason ? reason : "Unknown");
    evbuffer_add(out, fields.p, fields.n);
    if (!p->keep_alive || p->downstream->draining)
        evbuffer_add_printf(out, "Connection: close\r\n");
}

/* Writes the head of an answer with a body of `n` bytes. Returns whether that
   body is sent. */
static bool write_whole_head(WPDownstreamConn *p, int status, WPStr fields,
                             size_t n)
{
    struct evbuffer *out = bufferevent_get_output(p->bev);
    bool bodiless = wp_status_is_bodiless(status);
    write_head(p, status, fields);
    if (!bodiless)
        evbuffer_add_printf(out, "Content-Length: %zu\r\n", n);
    evbuffer_add(out, "\r\n", 2);
    return !p->is_head && !bodiless;
}

void wp_downstream_send_answer(WPDownstreamConn *p, int status, WPStr fields,
                               WPStr body)
{
    if (write_whole_head(p, status, fields, body.n))
        evbuffer_add(bufferevent_get_output(p->bev), body.p, body.n);
    finish_answer(p);
}

static void release_array(const void *data, size_t n, void *arg)
{
    (void)data;
    (void)n;
    g_byte_array_unref(arg);
}

void wp_downstream_add_array(struct evbuffer *out, GByteArray *a)
{
    if (a->len <= WP_ARRAY_KEEP_BYTES)
        evbuffer_add(out, a->data, a->len);
    else
        evbuffer_add_reference(out, a->data, a->len, release_array,
                               g_byte_array_ref(a));
}

/* An array in the output of a connection. */
typedef struct SentArray {
    WPDownstreamConn *conn;
    GByteArray *array;
} SentArray;

static void release_sent_array(const void *data, size_t n, void *arg)
{
    SentArray *s = arg;
    (void)data;
    s->conn->array_bytes -= wp_array_capacity(n);
    g_byte_array_unref(s->array);
    g_free(s);
}

void wp_downstream_send_array(WPDownstreamConn *p, int status, WPStr fields,
                              GByteArray *body)
{
    struct evbuffer *out = bufferevent_get_output(p->bev);
    if (body->len <= WP_ARRAY_KEEP_BYTES) {
        wp_downstream_send_answer(p, status, fields,
                                  wp_strn((const char *)body->data, body->len));
        return;
    }
    if (write_whole_head(p, status, fields, body->len)) {
        SentArray *s = g_new0(SentArray, 1);
        *s = (SentArray){ p, g_byte_array_ref(body) };
        p->array_bytes += wp_array_capacity(body->len);
        evbuffer_add_reference(out, body->data, body->len, release_sent_array,
                               s);
    }
    finish_answer(p);
}

void wp_downstream_begin_chunked(WPDownstreamConn *p, int status, WPStr fields)
{
    struct evbuffer *out = bufferevent_get_output(p->bev);
    p->until_close = !wp_h1_takes_chunks(&p->h1);
    p->chunked = !p->until_close;
    p->keep_alive &= p->chunked;
    write_head(p, status, fields);
    evbuffer_add_printf(out, p->chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                        : "\r\n");
}

void wp_downstream_send_chunk(WPDownstreamConn *p, const void *data, size_t n)
{
    struct evbuffer *out = bufferevent_get_output(p->bev);
    if (!n || p->is_head) /* an empty chunk would end the answer */
        return;
    if (p->chunked)
        evbuffer_add_printf(out, "%zx\r\n", n);
    evbuffer_add(out, data, n);
    if (p->chunked)
        evbuffer_add(out, "\r\n", 2);
    charge(p);
}

void wp_downstream_end_chunked(WPDownstreamConn *p)
{
    if (!p->is_head && p->chunked)
        evbuffer_add(bufferevent_get_output(p->bev), "0\r\n\r\n", 5);
    finish_answer(p);
}

/* Has the connection end by a reset, once it is closed. */
static void reset_on_close(const WPDownstreamConn *p)
{
    const struct linger now = { 1, 0 };
    (void)setsockopt(bufferevent_getfd(p->bev), SOL_SOCKET, SO_LINGER, &now,
                     sizeof(now));
}

void wp_downstream_abort(WPDownstreamConn *p)
{
    p->answering = false;
    p->request = NULL;
    p->keep_alive = false;
    release_answer(p);
    if (p->until_close) /* an orderly end would look like that of the answer */
        reset_on_close(p);
    close_after_write(p);
}

bool wp_downstream_is_backlogged(WPDownstreamConn *p)
{
    size_t unsent = evbuffer_get_length(bufferevent_get_output(p->bev));
    if (unsent < BACKLOG_BYTES)
        return false;
    p->backlogged = true;
    bufferevent_setwatermark(p->bev, EV_WRITE, BACKLOG_BYTES / 2, 0);
    return true;
}

WPDownstream *wp_downstream_new(struct event_base *base, const char *addr,
                                const WPDownstreamOps *ops, void *arg,
                                GError **error)
{
    struct sockaddr_storage sa;
    int n = sizeof(sa);
    WPDownstream *f = g_new0(WPDownstream, 1);
    f->base = base;
    f->ops = ops;
    f->arg = arg;
    f->arrival_ms = ARRIVAL_MS;
    f->silent_ms = SILENT_MS;
    wp_list_init(&f->conns);
    if (!evutil_parse_sockaddr_port(addr, (struct sockaddr *)&sa, &n))
        f->listener = evconnlistener_new_bind(
            base, on_accept, f,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
            LISTEN_BACKLOG, (struct sockaddr *)&sa, n);
    if (f->listener)
        return f;
    g_set_error(error, WP_ERROR, WP_ERROR_CONTACT, "cannot listen on %s", addr);
    g_free(f);
    return NULL;
}

void wp_downstream_free(WPDownstream *f)
{
    if (!f)
        return;
    wp_list_each_safe (it, tmp, &f->conns)
        free_conn(wp_list_item(it, WPDownstreamConn, node));
    evconnlistener_free(f->listener);
    if (f->reclaim)
        event_free(f->reclaim);
    g_free(f);
}

/* Refuses the request that has not arrived completely, or closes the
   connection. */
static void give_way(WPDownstreamConn *p)
{
    const WPDownstreamOps *ops = p->downstream->ops;
    if (ops->gives_way)
        ops->gives_way(p->downstream->arg, &p->owner);
    if (!p->request_begun || p->answering || p->closing || unsent_bytes(p)) {
        on_disconnect(p);
        return;
    }
    begin_callback(p);
    drain_input(p);
    refuse(p, WP_NO_MEMORY, "this box holds too many bytes");
    end_callback(p);
}

/* Runs before other events, so that between two of them no more is held than
   the limit and what one event brings. */
static void on_reclaim(evutil_socket_t fd, short what, void *arg)
{
    WPDownstream *f = arg;
    (void)fd;
    (void)what;
    f->now_us = wp_clock_now(0).mono_us;
    while (wp_account_is_over(f->account)) {
        WPOwner *o = wp_account_victim(f->account, true, f->now_us);
        if (!o)
            return;
        give_way(wp_list_item(o, WPDownstreamConn, owner));
    }
}

void wp_downstream_set_arrival_time(WPDownstream *f, uint32_t ms)
{
    f->arrival_ms = ms;
}

void wp_downstream_set_silence(WPDownstream *f, uint32_t ms)
{
    f->silent_ms = ms;
}

void wp_downstream_set_max_connections(WPDownstream *f, unsigned n)
{
    f->max_conns = n;
}

void wp_downstream_set_account(WPDownstream *f, WPAccount *a)
{
    f->account = a;
    f->now_us = wp_clock_now(0).mono_us;
    f->reclaim = evtimer_new(f->base, on_reclaim, f);
    event_priority_set(f->reclaim, 0);
}

void wp_downstream_set_limits(WPDownstream *f, const WPRouteLimits *limits)
{
    f->limits = *limits;
}

void wp_downstream_set_uploads_limit(WPDownstream *f, uint64_t bytes)
{
    f->uploads_limit_bytes = bytes;
}

/* Whether the caller has ended its connection, which is not read at present.
   XXX: an orderly end behind more bytes than the socket's buffers take is
   noticed only once the connection is read again. */
static bool is_abandoned(const WPDownstreamConn *p)
{
    struct pollfd q = { .fd = bufferevent_getfd(p->bev), .events = POLLRDHUP };
    return (p->upload_paused || p->input_held) && poll(&q, 1, 0) > 0;
}

uint64_t wp_downstream_poll_buffered(WPDownstream *f, WPTime now)
{
    uint64_t sum = 0;
    f->now_us = now.mono_us;
    wp_list_each_safe (it, tmp, &f->conns) {
        WPDownstreamConn *p = wp_list_item(it, WPDownstreamConn, node);
        if (is_abandoned(p)) {
            on_disconnect(p);
            continue;
        }
        size_t unread = evbuffer_get_length(bufferevent_get_output(p->bev));
        sum += unread + p->body->len +
               evbuffer_get_length(bufferevent_get_input(p->bev));
        if (!unread || unread < p->unread_bytes || !p->last_read_us)
            p->last_read_us = now.mono_us;
        p->unread_bytes = unread;
    }
    return sum;
}

void wp_downstream_set_over_limit(WPDownstream *f, bool over)
{
    f->over_limit = over;
    wp_list_each (it, &f->conns) {
        WPDownstreamConn *p = wp_list_item(it, WPDownstreamConn, node);
        if (over || !p->upload_paused)
            continue;
        p->upload_paused = false;
        if (!p->input_held)
            bufferevent_enable(p->bev, EV_READ);
    }
}

unsigned wp_downstream_close_unread(WPDownstream *f, WPTime now,
                                    uint32_t unread_ms)
{
    int64_t stalled_since_us = now.mono_us - (int64_t)unread_ms * WP_US_PER_MS;
    unsigned n = 0;
    wp_list_each_safe (it, tmp, &f->conns) {
        WPDownstreamConn *p = wp_list_item(it, WPDownstreamConn, node);
        if (!p->unread_bytes || p->last_read_us > stalled_since_us)
            continue;
        n++;
        on_disconnect(p);
    }
    return n;
}

void wp_downstream_start_drain(WPDownstream *f)
{
    f->draining = true;
}

/* Whether the caller, which has been answered, has sent nothing for `idle_ms`
   since it has its answer, or has stopped reading that. */
static bool is_unused(const WPDownstreamConn *p, WPTime now, uint32_t idle_ms)
{
    if (unsent_bytes(p))
        return now.mono_us - p->last_read_us >=
               (int64_t)CLOSE_TIMEOUT_MS * WP_US_PER_MS;
    return now.mono_us - p->last_active_us >= (int64_t)idle_ms * WP_US_PER_MS;
}

unsigned wp_downstream_close_idle(WPDownstream *f, WPTime now, uint32_t idle_ms)
{
    wp_list_each_safe (it, tmp, &f->conns) {
        WPDownstreamConn *p = wp_list_item(it, WPDownstreamConn, node);
        if (!p->answering && !p->request_begun && !p->closing &&
            is_unused(p, now, idle_ms))
            free_conn(p);
    }
    return f->n_conns;
}

bool wp_downstream_has_unread(const WPDownstream *f)
{
    wp_list_each (it, &f->conns)
        if (unsent_bytes(wp_list_item(it, WPDownstreamConn, node)))
            return true;
    return false;
}

unsigned wp_downstream_connection_count(const WPDownstream *f)
{
    return f->n_conns;
}
