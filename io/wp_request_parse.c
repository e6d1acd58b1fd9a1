/* Parses callers' requests. */
#include "wp_request_parse.h"
#include "wp_json.h"

#include <stdlib.h>

#define SERVICE_PREFIX "/v1/services/"
#define DEFAULT_KIND "default"
#define DEFAULT_ANSWER_TOKENS 256 /* if the request gives no bound */
/* Bytes of the prompt that are hashed to choose an endpoint that may have the
   prompt cached. */
#define PREFIX_BYTES 512
#define BYTES_PER_TOKEN 4 /* estimate */
#define LABELS_MAX 16
#define IDEMPOTENCY_KEY_MAX 200

const WPWorkspace *wp_request_workspace(const WPPolicy *p, const WPHead *h)
{
    g_autofree char *auth = wp_page_field(h, "Authorization");
    if (!auth || g_ascii_strncasecmp(auth, "Bearer ", 7))
        return NULL;
    g_autofree char *digest =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, auth + 7, -1);
    return wp_policy_by_key(p, digest);
}

/* Parses "key=value,key=value" into `out`. Returns false if the text is
   malformed or has more than LABELS_MAX labels. */
static bool read_labels(const char *text, WPLabels *out)
{
    WPStr rest = wp_str(text);
    while (rest.n) {
        WPStr pair = wp_str_trim(wp_str_cut(&rest, ','));
        WPStr value = pair;
        WPStr key = wp_str_trim(wp_str_cut(&value, '='));
        value = wp_str_trim(value);
        if (!key.n || !value.n || wp_labels_count(out) >= LABELS_MAX)
            return false;
        wp_labels_set(out, key, value);
    }
    return true;
}

static char *read_session_cookie(const WPHead *h)
{
    WPStr rest = wp_head_get(h, "Cookie", NULL);
    while (rest.n) {
        WPStr value = wp_str_trim(wp_str_cut(&rest, ';'));
        WPStr name = wp_str_cut(&value, '=');
        if (wp_str_eq(name, wp_str(WP_SESSION_COOKIE)))
            return g_strndup(value.p, value.n);
    }
    return NULL;
}

/* Reads the workspace, labels, deadline, idempotency key and session from the
   request's headers into `out`. Returns WP_OK, or the error code of a request
   to be refused, with `detail` set if there is more to say. */
static WPCode read_headers(const WPPolicy *p, const WPHead *h,
                           WPParsedRequest *out, const char **detail)
{
    g_autofree char *labels = wp_page_field(h, WP_H_LABELS);
    g_autofree char *deadline = wp_page_field(h, WP_H_DEADLINE);
    WPRequestParams *a = &out->params;
    unsigned n;
    a->workspace = wp_request_workspace(p, h);
    if (!a->workspace)
        return WP_NO_KEY;
    if (labels) {
        a->labels = wp_labels_new();
        if (!read_labels(labels, a->labels)) {
            *detail = WP_H_LABELS ": expected key=value,key=value";
            return WP_BAD_REQUEST;
        }
    }
    if (deadline) {
        char *end;
        unsigned long ms = strtoul(deadline, &end, 10);
        if (*end || !ms || ms > 24UL * 3600 * WP_MS_PER_S) {
            *detail = WP_H_DEADLINE ": expected milliseconds above 0";
            return WP_BAD_REQUEST;
        }
        a->deadline_ms = (uint32_t)ms;
    }
    a->idempotency_key = wp_head_get(h, WP_H_IDEMPOTENCY_KEY, NULL);
    if (a->idempotency_key.n > IDEMPOTENCY_KEY_MAX) {
        *detail = WP_H_IDEMPOTENCY_KEY ": too long";
        return WP_BAD_REQUEST;
    }
    a->session_id = wp_head_get(h, WP_H_SESSION, NULL);
    a->session_token = wp_head_get(h, WP_H_SESSION_TOKEN, &n);
    if (!n) {
        out->cookie_token = read_session_cookie(h);
        a->session_token = wp_str(out->cookie_token);
    }
    return WP_OK;
}

static bool find_kind(const WPPolicy *p, const char *header, const char *model,
                      WPRequestParams *a)
{
    if (header)
        a->kind = wp_policy_kind(p, header);
    else if (model && wp_policy_kind(p, model))
        a->kind = wp_policy_kind(p, model);
    else
        a->kind = wp_policy_kind(p, DEFAULT_KIND);
    return a->kind != NULL;
}

/* Estimates the prompt's tokens from the bytes of all messages, and hashes the
   messages that begin within the first PREFIX_BYTES (of each, PREFIX_BYTES at
   most). */
static void read_messages(const json_t *messages, WPRequestParams *a)
{
    size_t i, bytes = 0;
    json_t *m;
    json_array_foreach (messages, i, m) {
        const json_t *content = json_object_get(m, "content");
        size_t n = json_string_length(content);
        if (n && bytes < PREFIX_BYTES)
            a->prefix = wp_hash(
                wp_strn(json_string_value(content), MIN(n, PREFIX_BYTES)),
                a->prefix + 1);
        bytes += n;
    }
    a->prompt_tokens = (uint32_t)(bytes / BYTES_PER_TOKEN + 1);
}

static uint32_t answer_tokens(const json_t *body)
{
    json_t *limit = json_object_get(body, "max_completion_tokens");
    if (!limit)
        limit = json_object_get(body, "max_tokens");
    json_int_t n = json_integer_value(limit);
    return n > 0 && n < UINT32_MAX ? (uint32_t)n : DEFAULT_ANSWER_TOKENS;
}

WPCode wp_request_parse_chat(const WPPolicy *p, WPDownstreamConn *c,
                             WPParsedRequest *out, const char **detail)
{
    WPRequestParams *a = &out->params;
    WPCode code = read_headers(p, &c->head, out, detail);
    g_autofree char *kind = wp_page_field(&c->head, WP_H_KIND);
    if (code != WP_OK)
        return code;
    if (!wp_downstream_reserve_parsed(
            c, wp_json_parsed_bytes(
                   wp_strn((const char *)c->body->data, c->body->len))))
        return WP_NO_MEMORY;
    out->body = wp_page_json(c);
    if (!json_is_object(out->body))
        return WP_BAD_JSON;
    const json_t *messages = json_object_get(out->body, "messages");
    if (!json_is_array(messages) || !json_array_size(messages)) {
        *detail = "messages: expected a list";
        return WP_BAD_REQUEST;
    }
    a->model = json_string_value(json_object_get(out->body, "model"));
    if (!find_kind(p, kind, a->model, a)) {
        *detail = "no such kind of request";
        return WP_UNKNOWN_MODEL;
    }
    read_messages(messages, a);
    a->answer_tokens = answer_tokens(out->body);
    out->stream = json_is_true(json_object_get(out->body, "stream"));
    out->want_usage = json_is_true(json_object_get(
        json_object_get(out->body, "stream_options"), "include_usage"));
    out->path = g_strdup("/v1/chat/completions");
    return WP_OK;
}

WPCode wp_request_parse_service(const WPPolicy *p, WPDownstreamConn *c,
                                WPParsedRequest *out, const char **detail)
{
    WPRequestParams *a = &out->params;
    const WPHead *h = &c->head;
    g_autofree char *uri = g_strndup(h->target.p, h->target.n);
    g_autofree char *kind = wp_page_field(h, WP_H_KIND);
    const char *name = uri + strlen(SERVICE_PREFIX);
    const char *rest = strpbrk(name, "/?");
    WPCode code = read_headers(p, h, out, detail);
    if (code != WP_OK)
        return code;
    out->service =
        rest ? g_strndup(name, (gsize)(rest - name)) : g_strdup(name);
    out->path =
        rest && *rest == '/' ? g_strdup(rest) : g_strconcat("/", rest, NULL);
    a->service = out->service;
    if (!find_kind(p, kind, out->service, a)) {
        *detail = "no such kind of request";
        return WP_UNKNOWN_MODEL;
    }
    return WP_OK;
}

WPCode wp_request_parse_query(const WPPolicy *p, const WPHead *h,
                              WPParsedRequest *out)
{
    g_autofree char *ws = wp_page_param(h, "workspace");
    g_autofree char *kind = wp_page_param(h, "kind");
    g_autofree char *labels = wp_page_param(h, "labels");
    out->params.workspace = ws ? wp_policy_workspace(p, ws) : NULL;
    out->params.kind = kind ? wp_policy_kind(p, kind) : NULL;
    out->params.answer_tokens = DEFAULT_ANSWER_TOKENS;
    if (!out->params.workspace || !out->params.kind)
        return WP_UNKNOWN_MODEL;
    if (labels) {
        out->params.labels = wp_labels_new();
        if (!read_labels(labels, out->params.labels))
            return WP_BAD_REQUEST;
    }
    return WP_OK;
}

void wp_parsed_request_end(WPParsedRequest *a)
{
    wp_labels_free(a->params.labels);
    json_decref(a->body);
    g_free(a->cookie_token);
    g_free(a->service);
    g_free(a->path);
}
