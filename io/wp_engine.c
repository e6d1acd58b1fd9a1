/* Sends requests to the endpoint of this agent, over evhttp. */
#include "wp_runner_int.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>

/* Bytes of an answer that is not streamed that are copied to read its usage. */
#define USAGE_COPY_MAX (4 << 20)
#define IDLE_MAX 64 /* idle connections to the endpoint */
/* Back-off reported to the entry when the endpoint is down or refuses. */
#define RETRY_AFTER_MS 500

/* Nothing is written to the output buffer before the connection is established,
   so bytes drained from it have been sent: from then on the endpoint may have
   run the request. */
static void on_output(struct evbuffer *b, const struct evbuffer_cb_info *info,
                      void *arg)
{
    WPEngineCon *c = arg;
    (void)b;
    if (info->n_deleted)
        c->written = true;
}

static WPEngineCon *open_con(WPRunner *r)
{
    WPEngineCon *c = g_new0(WPEngineCon, 1);
    struct timeval limit = { r->settings->silent_timeout_ms / WP_MS_PER_S,
                             r->settings->silent_timeout_ms % WP_MS_PER_S *
                                 WP_US_PER_MS };
    c->bev = bufferevent_socket_new(wp_host_base(r->host), -1,
                                    BEV_OPT_CLOSE_ON_FREE);
    evbuffer_add_cb(bufferevent_get_output(c->bev), on_output, c);
    c->con = evhttp_connection_base_bufferevent_new(wp_host_base(r->host), NULL,
                                                    c->bev, r->endpoint_host,
                                                    r->endpoint_port);
    evhttp_connection_set_timeout_tv(c->con, &limit);
    return c;
}

static void close_con(WPEngineCon *c)
{
    evhttp_connection_free(c->con);
    g_free(c);
}

void wp_engine_close_surplus(WPRunner *r)
{
    WPEngineCon *c;
    while ((c = g_queue_pop_head(&r->dead)))
        close_con(c);
    while (r->idle.length > IDLE_MAX)
        close_con(g_queue_pop_tail(&r->idle));
}

void wp_engine_close_idle(WPRunner *r)
{
    WPEngineCon *c;
    wp_engine_close_surplus(r);
    while ((c = g_queue_pop_head(&r->idle)))
        close_con(c);
}

static bool is_sse(const WPRun *r)
{
    return r->job->start->stream;
}

static void send_head(WPRun *r, struct evhttp_request *req)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Head h = WP__HEAD__INIT;
    r->head_sent = true;
    h.status = (uint32_t)r->status;
    h.content_type = (char *)evhttp_find_header(
        evhttp_request_get_input_headers(req), "Content-Type");
    f.body_case = WP__FRAME__BODY_HEAD;
    f.head = &h;
    wp_run_send(r, &f);
}

/* Whether the status means that the endpoint has not run the request. */
static bool is_refusal(int status)
{
    return status == 429 || status == 503;
}

/* XXX: evhttp takes any number but 0 for a status, white space in field names
   and lines that end with an LF alone. */
static int on_head(struct evhttp_request *req, void *arg)
{
    WPRun *r = arg;
    r->status = evhttp_request_get_response_code(req);
    if (r->status < 500 && !is_refusal(r->status))
        send_head(r, req);
    return 0;
}

/* evhttp enables reading again after its callback, so reading is disabled in a
   later callback. */
static void on_pause(evutil_socket_t fd, short what, void *arg)
{
    WPRun *r = arg;
    (void)fd;
    (void)what;
    if (r->con && r->paused)
        bufferevent_disable(r->con->bev, EV_READ);
}

static void pause_reading(WPRun *r)
{
    if (r->paused)
        return;
    r->paused = true;
    if (!r->pause_event)
        r->pause_event =
            evtimer_new(wp_host_base(r->runner->host), on_pause, r);
    event_active(r->pause_event, EV_TIMEOUT, 0);
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

static void on_chunk(struct evhttp_request *req, void *arg)
{
    WPRun *r = arg;
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t n = evbuffer_get_length(in);
    const uint8_t *data = evbuffer_pullup(in, -1);
    if (!r->head_sent)
        return;
    if (is_sse(r)) {
        g_autoptr(GByteArray) out = g_byte_array_sized_new((guint)n);
        wp_sse_feed(&r->sse, data, n, out);
        send_chunk(r, out->data, out->len);
        return;
    }
    if (r->answer_copy->len + n <= USAGE_COPY_MAX)
        g_byte_array_append(r->answer_copy, data, (guint)n);
    send_chunk(r, data, n);
}

/* The engine's response has ended, or the request has failed (`req` NULL or
   without a status). Decides whether the run counts as not started, incomplete
   or complete, and keeps the connection if there was a response. */
static void on_done(struct evhttp_request *req, void *arg)
{
    WPRun *r = arg;
    WPEngineCon *c = r->con;
    r->request = NULL;
    r->con = NULL;
    if (!req || !evhttp_request_get_response_code(req)) {
        /* No response. If nothing was sent either, the request was certainly
           not run. */
        bool written = c->written;
        /* evhttp still uses the connection, so it must not be freed here. */
        g_queue_push_head(&r->runner->dead, c);
        if (written)
            wp_run_finished(r, false);
        else
            wp_run_not_started(r, WP_ENDPOINT_DOWN, RETRY_AFTER_MS);
        return;
    }
    g_queue_push_head(&r->runner->idle, c);
    if (is_refusal(r->status))
        wp_run_not_started(r, WP_OVERLOADED, RETRY_AFTER_MS);
    else if (r->status >= 500)
        wp_run_finished(r, false);
    else
        wp_run_finished(r, !is_sse(r) || r->sse.done || r->status != 200);
}

static enum evhttp_cmd_type http_method(const char *method)
{
    static const struct {
        const char *name;
        enum evhttp_cmd_type type;
    } rows[] = { { "GET", EVHTTP_REQ_GET },
                 { "PUT", EVHTTP_REQ_PUT },
                 { "DELETE", EVHTTP_REQ_DELETE } };
    for (size_t i = 0; method && i < WP_COUNT(rows); i++)
        if (!strcmp(rows[i].name, method))
            return rows[i].type;
    return EVHTTP_REQ_POST;
}

static void add_headers(WPRun *r, struct evhttp_request *req)
{
    struct evkeyvalq *h = evhttp_request_get_output_headers(req);
    const Wp__Start *s = r->job->start;
    char rank[16];
    g_snprintf(rank, sizeof(rank), "%u", r->job->ticket.class_rank);
    evhttp_add_header(h, "Host", r->runner->endpoint_host);
    evhttp_add_header(h, "Content-Type", "application/json");
    evhttp_add_header(h, "X-Request-Id", s->request_id);
    evhttp_add_header(h, "X-Workspace", s->workspace);
    evhttp_add_header(h, "X-Kind", s->kind);
    evhttp_add_header(h, "X-Priority", rank);
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
    const Wp__Start *s = r->job->start;
    struct evhttp_request *req = evhttp_request_new(on_done, r);
    r->con = get_con(r);
    r->con->written = false;
    r->request = req;
    r->started = true;
    r->answer_copy = g_byte_array_new();
    wp_sse_init(&r->sse, s->want_usage);
    evhttp_request_set_header_cb(req, on_head);
    evhttp_request_set_chunked_cb(req, on_chunk);
    add_headers(r, req);
    evbuffer_add(evhttp_request_get_output_buffer(req), s->body.data,
                 s->body.len);
    evhttp_make_request(r->con->con, req, http_method(s->method), s->path);
}

void wp_engine_abort(WPRun *r)
{
    WPEngineCon *c = r->con;
    r->con = NULL;
    if (!c)
        return;
    if (r->request)
        evhttp_cancel_request(r->request);
    r->request = NULL;
    close_con(c);
}
