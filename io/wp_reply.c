/* Sends answers and errors to callers. */
#include "wp_server_int.h"

#include <event2/buffer.h>
#include <stdlib.h>

static void add_field(GString *fields, const char *name, const char *value)
{
    g_string_append_printf(fields, "%s: %s\r\n", name, value);
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

void wp_reply_error(WPDownstreamConn *p, const WPRequest *q, WPCode code,
                    uint32_t retry_ms, const char *detail)
{
    const WPCodeInfo *info = wp_code_info(code);
    g_autoptr(GString) fields = g_string_new(NULL);
    add_field(fields, WP_H_RAN, wp_ran_name(info->ran));
    if (q)
        add_field(fields, WP_H_REQUEST_ID, q->id);
    if (retry_ms)
        g_string_append_printf(
            fields, "Retry-After: %u\r\nretry-after-ms: %u\r\n",
            (retry_ms + WP_MS_PER_S - 1) / WP_MS_PER_S, retry_ms);
    /* Client libraries retry by themselves. They must not retry a request that
       may have run, or an error that waiting will not resolve. */
    if (info->ran != WP_RAN_NOT_RUN || !retry_ms)
        add_field(fields, "x-should-retry", "false");
    wp_page_send_json(p, info->status, wp_strn(fields->str, fields->len),
                      error_json(code, retry_ms, detail, q));
}

/* Returns the header lines of an answer from an endpoint; a new session token
   goes into a header and a cookie. */
static GString *answer_fields(const WPExchange *x)
{
    const WPRequest *q = x->request;
    GString *fields = g_string_new(NULL);
    add_field(fields, "Content-Type",
              x->answer_type ? x->answer_type : "application/json");
    add_field(fields, WP_H_REQUEST_ID, q->id);
    add_field(fields, WP_H_VERSION, q->version);
    add_field(fields, WP_H_RAN, "ran");
    if (q->session_moved)
        add_field(fields, WP_H_SESSION_MOVED, "true");
    if (!q->new_session_token)
        return fields;
    add_field(fields, WP_H_SESSION_TOKEN, q->new_session_token);
    g_string_append_printf(fields,
                           "Set-Cookie: " WP_SESSION_COOKIE
                           "=%s; Path=/; HttpOnly; SameSite=Lax\r\n",
                           q->new_session_token);
    return fields;
}

void wp_reply_writable(WPExchange *x)
{
    size_t n = x->untaken;
    x->untaken = 0;
    wp_exchange_grant(x, n);
}

void wp_reply_forward(WPExchange *x)
{
    size_t n = evbuffer_get_length(x->pending_answer);
    if (!x->caller || !n)
        return;
    if (!x->reply_started) {
        g_autoptr(GString) fields = answer_fields(x);
        x->reply_started = true;
        x->request->answer_started = true;
        wp_downstream_begin_chunked(x->caller, x->status,
                                    wp_strn(fields->str, fields->len));
    }
    wp_downstream_send_chunk(x->caller, evbuffer_pullup(x->pending_answer, -1),
                             n);
    evbuffer_drain(x->pending_answer, n);
    x->untaken += n;
    if (!wp_downstream_is_backlogged(x->caller))
        wp_reply_writable(x);
}

/* Parts the exchange from its caller's connection and returns that. */
static WPDownstreamConn *detach_caller(WPExchange *x)
{
    WPDownstreamConn *p = x->caller;
    x->caller = NULL;
    if (p)
        p->request = NULL;
    return p;
}

void wp_reply_finish(WPExchange *x)
{
    if (!x->caller)
        return;
    if (x->reply_started) {
        wp_reply_forward(x);
        wp_downstream_end_chunked(detach_caller(x));
        return;
    }
    g_autoptr(GString) fields = answer_fields(x);
    size_t n = evbuffer_get_length(x->pending_answer);
    wp_downstream_send_answer(
        detach_caller(x), x->status, wp_strn(fields->str, fields->len),
        wp_strn((const char *)evbuffer_pullup(x->pending_answer, -1), n));
}

void wp_reply_fail(WPExchange *x, WPCode code, uint32_t retry_ms)
{
    if (x->caller)
        wp_reply_error(detach_caller(x), x->request, code, retry_ms, NULL);
}

/* Part of the answer has been sent and the rest will not arrive. A stream is
   ended with an error event; for any other answer the connection is closed, so
   that the caller does not take it for complete. */
void wp_reply_abort(WPExchange *x, WPCode code)
{
    if (!x->caller)
        return;
    if (!x->stream) {
        wp_downstream_abort(detach_caller(x));
        return;
    }
    json_t *o = error_json(code, 0, NULL, x->request);
    char *text = json_dumps(o, JSON_COMPACT);
    evbuffer_add_printf(x->pending_answer, "data: %s\n\n", text);
    wp_reply_forward(x);
    wp_downstream_end_chunked(detach_caller(x));
    free(text);
    json_decref(o);
}
