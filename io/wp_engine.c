/* Sends requests to the endpoint of this agent. Its answers are checked
 * strictly, as callers and entries rely on them. */
#include "wp_h1.h"
#include "wp_runner_int.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

/* Bytes of an answer that is not streamed that are copied to read its usage. */
#define USAGE_COPY_MAX (4 << 20)
#define IDLE_MAX 64 /* idle connections to the endpoint */
/* Back-off reported to the entry when the endpoint is down or refuses. */
#define RETRY_AFTER_MS 500

/* A persistent connection to the endpoint. */
struct WPEngineCon {
    WPRunner *runner;
    WPRun *run; /* in flight; NULL: idle */
    struct bufferevent *bev;
    WPH1 h1;
    size_t queued; /* length of the request in bytes */
    bool connected;
    bool is_answer; /* the response being read is not an interim one */
    bool began;     /* the head of the answer has arrived */
    bool reusable;  /* the answer allows reuse of the connection */
    bool in_callback;
    bool dead; /* freed at the end of the running callback */
};

static bool on_head(void *arg, const WPHead *h);
static void on_body(void *arg, const char *p, size_t n);

static const WPH1Ops h1_ops = { on_head, on_body };

/* Whether part of the request may have left this box: from then on the endpoint
   may have run it. */
static bool was_sent(const WPEngineCon *c)
{
    size_t left = evbuffer_get_length(bufferevent_get_output(c->bev));
    return c->connected && left < c->queued;
}

static void free_con(WPEngineCon *c)
{
    if (c->in_callback) {
        c->dead = true;
        return;
    }
    g_queue_remove(&c->runner->idle, c);
    bufferevent_free(c->bev);
    wp_h1_end(&c->h1);
    g_free(c);
}

/* Takes the run from its connection. */
static WPRun *detach(WPEngineCon *c)
{
    WPRun *r = c->run;
    c->run = NULL;
    if (r)
        r->con = NULL;
    return r;
}

static void make_idle(WPEngineCon *c)
{
    GQueue *idle = &c->runner->idle;
    bufferevent_set_timeouts(c->bev, NULL, NULL);
    bufferevent_enable(c->bev, EV_READ); /* its end has to be noticed */
    wp_h1_reset(&c->h1);
    g_queue_push_head(idle, c);
    if (idle->length > IDLE_MAX)
        free_con(g_queue_peek_tail(idle));
}

void wp_engine_close_idle(WPRunner *r)
{
    WPEngineCon *c;
    while ((c = g_queue_peek_head(&r->idle)))
        free_con(c);
}

static bool is_sse(const WPRun *r)
{
    return r->job->start->stream;
}

static void send_head(WPRun *r, const WPHead *head)
{
    WPStr type = wp_head_get(head, "Content-Type", NULL);
    g_autofree char *text = g_strndup(type.p, type.n);
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Head h = WP__HEAD__INIT;
    r->head_sent = true;
    h.status = (uint32_t)r->status;
    h.content_type = type.n ? text : NULL;
    f.body_case = WP__FRAME__BODY_HEAD;
    f.head = &h;
    wp_run_send(r, &f);
}

/* Whether the status means that the endpoint has not run the request. */
static bool is_refusal(int status)
{
    return status == 429 || status == 503;
}

/* The head of a response has been parsed; interim responses are discarded. */
static bool on_head(void *arg, const WPHead *h)
{
    WPEngineCon *c = arg;
    WPRun *r = c->run;
    c->is_answer = r && h->status / 100 != 1;
    if (!c->is_answer)
        return true;
    c->began = true;
    c->reusable = h->keep_alive && !h->until_close;
    r->status = h->status;
    if (r->status < 500 && !is_refusal(r->status))
        send_head(r, h);
    return true;
}

static void pause_reading(WPRun *r)
{
    r->paused = true;
    if (r->con)
        bufferevent_disable(r->con->bev, EV_READ);
}

void wp_engine_resume(WPRun *r)
{
    if (!r->paused || r->window <= 0 || !r->con)
        return;
    r->paused = false;
    bufferevent_enable(r->con->bev, EV_READ);
}

static void send_chunk(WPRun *r, const uint8_t *data, size_t n)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Chunk c = WP__CHUNK__INIT;
    if (!n)
        return;
    c.data.data = (uint8_t *)data;
    c.data.len = n;
    f.body_case = WP__FRAME__BODY_CHUNK;
    f.chunk = &c;
    r->window -= (int64_t)n;
    wp_run_send(r, &f);
    if (r->window <= 0 && r->link)
        pause_reading(r);
}

static void note_invalid(const WPRun *r, WPCounter kind, const char *fault)
{
    WPHost *h = r->runner->host;
    wp_count(wp_node_counters(wp_host_node(h)), kind);
    wp_log(wp_host_log(h), WP_INFO, "answer_invalid", "endpoint",
           r->runner->settings->endpoint, "kind", wp_counter_name(kind), "why",
           fault, "id", r->job->start->request_id, NULL);
}

/* Closes the connection, and ends the run in flight, if any, without a complete
   answer. */
static void fail_run(WPEngineCon *c)
{
    bool sent = was_sent(c);
    WPRun *r = detach(c);
    free_con(c);
    if (r && sent)
        wp_run_finished(r, false);
    else if (r)
        wp_run_not_started(r, WP_ENDPOINT_DOWN, RETRY_AFTER_MS);
}

/* The same for bytes from the endpoint that are not valid. */
static void fail_invalid(WPEngineCon *c, WPCounter kind, const char *fault)
{
    if (c->run)
        note_invalid(c->run, kind, fault);
    fail_run(c);
}

static void on_body(void *arg, const char *p, size_t n)
{
    WPEngineCon *c = arg;
    WPRun *r = c->run;
    const uint8_t *data = (const uint8_t *)p;
    if (!c->is_answer || !r || !r->head_sent)
        return;
    if (is_sse(r)) {
        g_autoptr(GByteArray) out = g_byte_array_sized_new((guint)n);
        bool ends = wp_sse_feed(&r->sse, data, n, out);
        send_chunk(r, out->data, out->len);
        if (!ends)
            fail_invalid(c, WP_C_BAD_EVENTS, "event without an end");
        return;
    }
    if (r->answer_copy->len + n <= USAGE_COPY_MAX)
        g_byte_array_append(r->answer_copy, data, (guint)n);
    send_chunk(r, data, n);
}

/* The answer is complete: keeps the connection if it can be used again, and
   decides whether the run counts as not started, incomplete or complete. */
static void finish_run(WPEngineCon *c)
{
    bool drained = !evbuffer_get_length(bufferevent_get_output(c->bev)) &&
                   !evbuffer_get_length(bufferevent_get_input(c->bev));
    WPRun *r = detach(c);
    if (c->reusable && drained)
        make_idle(c);
    else
        free_con(c);
    if (is_refusal(r->status))
        wp_run_not_started(r, WP_OVERLOADED, RETRY_AFTER_MS);
    else if (r->status >= 500)
        wp_run_finished(r, false);
    else
        wp_run_finished(r, !is_sse(r) || r->sse.done || r->status != 200);
}

/* Parses received bytes. Returns whether the input has bytes of a further
   response. */
static bool read_answer(WPEngineCon *c)
{
    struct evbuffer *in = bufferevent_get_input(c->bev);
    if (!c->run) { /* bytes without a request in flight */
        free_con(c);
        return false;
    }
    WPH1State st = wp_h1_feed(&c->h1, in);
    if (c->dead || st == WP_H1_MORE)
        return false;
    if (st == WP_H1_ERROR) {
        fail_invalid(c, c->began ? WP_C_BAD_BODIES : WP_C_BAD_HEADS,
                     c->h1.fault);
        return false;
    }
    if (c->is_answer) {
        finish_run(c);
        return false;
    }
    wp_h1_reset(&c->h1);
    return evbuffer_get_length(in) > 0;
}

static void end_callback(WPEngineCon *c)
{
    c->in_callback = false;
    if (c->dead)
        free_con(c);
}

static void on_read(struct bufferevent *bev, void *arg)
{
    WPEngineCon *c = arg;
    (void)bev;
    c->in_callback = true;
    while (read_answer(c))
        ;
    end_callback(c);
}

/* The connection was established, has ended, or is silent for too long. */
static void on_event(struct bufferevent *bev, short what, void *arg)
{
    WPEngineCon *c = arg;
    if (what & BEV_EVENT_CONNECTED) {
        c->connected = true;
        return;
    }
    bool silent = (what & BEV_EVENT_TIMEOUT) && (what & BEV_EVENT_READING);
    if (silent && evbuffer_get_length(bufferevent_get_output(bev))) {
        /* The endpoint has not got the whole request yet. */
        bufferevent_enable(bev, EV_READ);
        return;
    }
    c->in_callback = true;
    bool ends_answer = (what & BEV_EVENT_EOF) && c->run && c->is_answer;
    if (ends_answer && wp_h1_eof(&c->h1) == WP_H1_COMPLETE && !c->dead)
        finish_run(c);
    else if (!c->dead)
        fail_run(c);
    end_callback(c);
}

/* Callbacks are deferred, so that none is called while a connection that fails
   at once is opened. */
static WPEngineCon *open_con(WPRunner *r)
{
    WPEngineCon *c = g_new0(WPEngineCon, 1);
    c->runner = r;
    c->bev =
        bufferevent_socket_new(wp_host_base(r->host), -1,
                               BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    wp_h1_init(&c->h1, false, &h1_ops, c);
    bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
    return c;
}

static void connect_to_endpoint(WPEngineCon *c)
{
    bufferevent_enable(c->bev, EV_READ | EV_WRITE);
    /* A failure is reported to on_event(). */
    (void)bufferevent_socket_connect_hostname(c->bev, NULL, AF_UNSPEC,
                                              c->runner->endpoint_host,
                                              c->runner->endpoint_port);
}

static const char *http_method(const char *method)
{
    static const char *const names[] = { "GET", "PUT", "DELETE" };
    for (size_t i = 0; method && i < WP_COUNT(names); i++)
        if (!strcmp(names[i], method))
            return names[i];
    return "POST";
}

static void write_request(const WPRun *r, struct evbuffer *out)
{
    const Wp__Start *s = r->job->start;
    const char *method = http_method(s->method);
    evbuffer_add_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, s->path,
                        r->runner->endpoint_host);
    evbuffer_add_printf(out,
                        "Content-Type: application/json\r\n"
                        "X-Request-Id: %s\r\nX-Workspace: %s\r\n"
                        "X-Kind: %s\r\nX-Priority: %u\r\n",
                        s->request_id, s->workspace, s->kind,
                        r->job->ticket.class_rank);
    if (s->body.len || strcmp(method, "GET"))
        evbuffer_add_printf(out, "Content-Length: %zu\r\n", s->body.len);
    evbuffer_add(out, "\r\n", 2);
    evbuffer_add(out, s->body.data, s->body.len);
}

static void set_silent_timeout(WPEngineCon *c)
{
    uint32_t ms = c->runner->settings->silent_timeout_ms;
    struct timeval limit = { ms / WP_MS_PER_S,
                             ms % WP_MS_PER_S * WP_US_PER_MS };
    bufferevent_set_timeouts(c->bev, &limit, &limit);
}

/* Returns an idle or a new connection. If the endpoint closes an idle
   connection while a request is sent on it, it is unknown whether the request
   ran; a request with an idempotency key therefore always gets a new
   connection. */
static WPEngineCon *get_con(WPRun *r)
{
    WPEngineCon *c =
        r->job->holds_key ? NULL : g_queue_pop_head(&r->runner->idle);
    return c ? c : open_con(r->runner);
}

void wp_engine_start(WPRun *r)
{
    WPEngineCon *c = get_con(r);
    struct evbuffer *out = bufferevent_get_output(c->bev);
    r->con = c;
    r->started = true;
    r->answer_copy = g_byte_array_new();
    wp_sse_init(&r->sse, r->job->start->want_usage);
    c->run = r;
    c->is_answer = false;
    c->began = false;
    set_silent_timeout(c);
    write_request(r, out);
    c->queued = evbuffer_get_length(out);
    if (!c->connected)
        connect_to_endpoint(c);
}

bool wp_engine_was_sent(const WPRun *r)
{
    return r->con && was_sent(r->con);
}

void wp_engine_abort(WPRun *r)
{
    WPEngineCon *c = r->con;
    if (!c)
        return;
    detach(c);
    free_con(c);
}
