/* Sends answers and errors to callers. */
#include "wp_server_int.h"

#include <event2/buffer.h>
#include <stdlib.h>

#define MS_PER_S 1000

static void add_header(struct evhttp_request *r, const char *name,
                       const char *value)
{
    evhttp_add_header(evhttp_request_get_output_headers(r), name, value);
}

static json_t *error_json(WPCode code, uint32_t retry_ms, const char *detail,
                          const WPRequest *q)
{
    const WPCodeInfo *info = wp_code_info(code);
    json_t *e = json_pack(
        "{s:s,s:s,s:n,s:s,s:s}", "message", detail ? detail : info->text,
        "type", info->status < 500 ? "invalid_request_error" : "server_error",
        "param", "code", info->code, "ran", wp_ran_name(info->ran));
    if (retry_ms)
        json_object_set_new(e, "retry_after_ms", json_integer(retry_ms));
    if (q)
        json_object_set_new(e, "request_id", json_string(q->id));
    return json_pack("{s:o}", "error", e);
}

void wp_reply_error(struct evhttp_request *r, const WPRequest *q, WPCode code,
                    uint32_t retry_ms, const char *detail)
{
    const WPCodeInfo *info = wp_code_info(code);
    add_header(r, WP_H_RAN, wp_ran_name(info->ran));
    if (q)
        add_header(r, WP_H_REQUEST_ID, q->id);
    if (retry_ms) {
        g_autofree char *s =
            g_strdup_printf("%u", (retry_ms + MS_PER_S - 1) / MS_PER_S);
        g_autofree char *ms = g_strdup_printf("%u", retry_ms);
        add_header(r, "Retry-After", s);
        add_header(r, "retry-after-ms", ms);
    }
    /* Client libraries retry by themselves. They must not retry a request that
       may have run, or an error that waiting will not resolve. */
    if (info->ran != WP_RAN_NOT_RUN || !retry_ms)
        add_header(r, "x-should-retry", "false");
    wp_http_reply_json(r, info->status, error_json(code, retry_ms, detail, q));
}

/* Adds the headers of an answer from an endpoint; a new session token goes into
   a header and a cookie. */
static void add_answer_headers(WPExchange *x)
{
    const WPRequest *q = x->request;
    add_header(x->http, "Content-Type",
               x->answer_type ? x->answer_type : "application/json");
    add_header(x->http, WP_H_REQUEST_ID, q->id);
    add_header(x->http, WP_H_VERSION, q->version);
    add_header(x->http, WP_H_RAN, "ran");
    if (q->session_moved)
        add_header(x->http, WP_H_SESSION_MOVED, "true");
    if (!q->new_session_token)
        return;
    g_autofree char *cookie =
        g_strdup_printf(WP_SESSION_COOKIE "=%s; Path=/; HttpOnly; SameSite=Lax",
                        q->new_session_token);
    add_header(x->http, WP_H_SESSION_TOKEN, q->new_session_token);
    add_header(x->http, "Set-Cookie", cookie);
}

/* The caller has taken all bytes that were forwarded, so the agent is granted
   as many again. */
static void on_written(struct evhttp_connection *con, void *arg)
{
    WPExchange *x = arg;
    size_t n = x->unwritten;
    (void)con;
    x->unwritten = 0;
    wp_exchange_grant(x, n);
}

void wp_reply_forward(WPExchange *x)
{
    size_t n = evbuffer_get_length(x->pending_answer);
    if (!x->http || !n)
        return;
    if (!x->reply_started) {
        x->reply_started = true;
        x->request->answer_started = true;
        add_answer_headers(x);
        evhttp_send_reply_start(x->http, x->status, NULL);
    }
    x->unwritten += n;
    evhttp_send_reply_chunk_with_cb(x->http, x->pending_answer, on_written, x);
}

/* Clears the exchange's reference to the evhttp request, and the callback for
   its connection's end. */
static void detach_http(WPExchange *x)
{
    struct evhttp_connection *con = evhttp_request_get_connection(x->http);
    evhttp_connection_set_closecb(con, NULL, NULL);
    x->http = NULL;
}

void wp_reply_finish(WPExchange *x)
{
    struct evhttp_request *r = x->http;
    if (!r)
        return;
    if (!x->reply_started) {
        add_answer_headers(x);
        detach_http(x);
        evhttp_send_reply(r, x->status, NULL, x->pending_answer);
        return;
    }
    wp_reply_forward(x);
    detach_http(x);
    evhttp_send_reply_end(r);
}

/* Part of the answer has been sent and the rest will not arrive. A stream is
   ended with an error event; for any other answer the connection is closed, so
   that the caller does not take it for complete. */
void wp_reply_abort(WPExchange *x, WPCode code)
{
    struct evhttp_request *r = x->http;
    struct evhttp_connection *con;
    if (!r)
        return;
    con = evhttp_request_get_connection(r);
    if (!x->stream) {
        detach_http(x);
        evhttp_connection_free(con);
        return;
    }
    json_t *o = error_json(code, 0, NULL, x->request);
    char *text = json_dumps(o, JSON_COMPACT);
    evbuffer_add_printf(x->pending_answer, "data: %s\n\n", text);
    wp_reply_forward(x);
    detach_http(x);
    evhttp_send_reply_end(r);
    free(text);
    json_decref(o);
}
