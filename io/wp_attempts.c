/* Attempts of an exchange: sends Start frames to agents and processes the
 * frames that they send back. */
#include "wp_server_int.h"

#include <event2/buffer.h>
#include <stdlib.h>

/* An answer that is not streamed is buffered up to this size, so that another
   attempt can replace one that breaks off, unseen by the caller. */
#define HOLD_MAX (256 << 10)
/* What an exchange takes besides. */
#define EXCHANGE_BYTES (8 << 10)
/* Credit is granted to the agent once this fraction (1/N) of the flow control
   window is free. */
#define GRANT_DIVISOR 4
/* Endpoints that are asked for their load with each attempt. */
#define PROBES_PER_REQUEST 2
/* Bytes of an answer that are copied for the rating service. */
#define RATED_COPY_MAX (64 << 10)

static WPTime current_time(const WPExchange *x)
{
    return wp_host_now(x->server->host);
}

/* Ends the current attempt's use of its link: later frames of its stream are
   ignored. */
static void detach(WPExchange *x)
{
    if (!x->link)
        return;
    x->link->in_flight--;
    x->link = NULL;
    g_hash_table_remove(x->server->streams, &x->stream_id);
}

void wp_exchange_free(WPExchange *x)
{
    detach(x);
    wp_list_remove(&x->node);
    wp_request_free(x->request);
    json_decref(x->json_body);
    if (x->raw_body)
        g_byte_array_unref(x->raw_body);
    if (x->pending_answer)
        evbuffer_free(x->pending_answer);
    if (x->rating_copy)
        g_string_free(x->rating_copy, TRUE);
    g_free(x->path);
    g_free(x->method);
    g_free(x->content_type);
    g_free(x->answer_type);
    g_free(x);
}

static void send_on_stream(WPExchange *x, Wp__Frame *f)
{
    f->has_stream = 1;
    f->stream = x->stream_id;
    wp_link_send(x->link, f);
}

void wp_exchange_cancel(WPExchange *x)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Cancel c = WP__CANCEL__INIT;
    if (!x->link)
        return;
    f.body_case = WP__FRAME__BODY_CANCEL;
    f.cancel = &c;
    send_on_stream(x, &f);
    detach(x);
}

void wp_exchange_grant(WPExchange *x, size_t bytes)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Window w = WP__WINDOW__INIT;
    size_t window = (size_t)x->server->settings->window_kb << 10;
    x->ungranted_bytes += bytes;
    if (!x->link || x->ungranted_bytes < window / GRANT_DIVISOR)
        return;
    w.bytes = (uint32_t)x->ungranted_bytes;
    x->ungranted_bytes = 0;
    f.body_case = WP__FRAME__BODY_WINDOW;
    f.window = &w;
    send_on_stream(x, &f);
}

/* Returns the body for the endpoint, to be freed with free(), and sets its
   size: the caller's body with the chosen version as the model, and for a
   stream with the request to report token usage. */
static char *make_chat_body(WPExchange *x, size_t *size)
{
    json_object_set_new(x->json_body, "model",
                        json_string(x->request->version));
    if (x->stream) {
        json_t *o = json_object_get(x->json_body, "stream_options");
        if (!json_is_object(o)) {
            o = json_object();
            json_object_set_new(x->json_body, "stream_options", o);
        }
        json_object_set_new(o, "include_usage", json_true());
    }
    char *text = json_dumps(x->json_body, JSON_COMPACT);
    *size = strlen(text);
    return text;
}

static Wp__Label **copy_labels(const WPLabels *l, size_t *n)
{
    size_t count = l ? wp_labels_count(l) : 0;
    Wp__Label **out = g_new0(Wp__Label *, count + 1);
    for (size_t i = 0; i < count; i++) {
        const char *key, *value;
        wp_labels_at(l, i, &key, &value);
        out[i] = g_new0(Wp__Label, 1);
        wp__label__init(out[i]);
        out[i]->key = (char *)key;
        out[i]->value = (char *)value;
    }
    *n = count;
    return out;
}

static void free_labels(Wp__Label **l, size_t n)
{
    for (size_t i = 0; i < n; i++)
        g_free(l[i]);
    g_free(l);
}

static void fill_start(WPExchange *x, Wp__Start *s)
{
    const WPRequest *q = x->request;
    int64_t left_us = q->deadline_us - current_time(x).mono_us;
    s->request_id = (char *)q->id;
    s->workspace = q->workspace;
    s->kind = q->kind;
    s->version = q->version;
    s->path = x->path;
    s->method = x->method;
    s->has_budget_ms = 1;
    s->budget_ms = (uint32_t)(MAX(left_us, 0) / WP_US_PER_MS);
    s->has_leg = 1;
    s->leg = q->attempt;
    s->has_step = 1;
    s->step = q->step;
    s->once_key = q->idempotency_key;
    s->has_once_ms = 1;
    s->once_ms = q->key_issued_ms;
    s->has_window = 1;
    s->window = x->server->settings->window_kb << 10;
    s->has_stream = 1;
    s->stream = x->stream;
    s->has_want_usage = 1;
    s->want_usage = x->want_usage;
    s->has_answer_tokens = 1;
    s->answer_tokens = q->answer_tokens;
    s->entry = (char *)wp_node_self(wp_host_node(x->server->host))->id;
}

static void send_probe(WPServer *s, const WPEndpoint *p)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Ping ping = WP__PING__INIT;
    WPLink *l = wp_hub_get_link(wp_host_hub(s->host), p->addr);
    if (!l)
        return;
    ping.sent_us = (uint64_t)wp_host_now(s->host).mono_us;
    f.body_case = WP__FRAME__BODY_PING;
    f.ping = &ping;
    wp_link_send(l, &f);
}

/* Asks a few endpoints for their load, for later choices. */
static void send_probes(WPExchange *x)
{
    WPEndpoint *list[PROBES_PER_REQUEST];
    unsigned n = wp_entry_probe_targets(x->server->entry, current_time(x),
                                        x->request, list, PROBES_PER_REQUEST);
    for (unsigned i = 0; i < n; i++)
        send_probe(x->server, list[i]);
}

/* Starts an attempt: sends the request to the agent of `p`, and probes besides.
   If the agent's address is malformed, the attempt counts as a lost link. */
static void send_start(WPExchange *x, const WPEndpoint *p)
{
    WPServer *s = x->server;
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Start start = WP__START__INIT;
    size_t size;
    evbuffer_drain(x->pending_answer, evbuffer_get_length(x->pending_answer));
    x->ungranted_bytes = 0;
    if (x->rating_copy)
        g_string_free(x->rating_copy, TRUE);
    x->rating_copy = x->request->wants_rating ? g_string_new(NULL) : NULL;
    x->link = wp_hub_get_link(wp_host_hub(s->host), p->addr);
    if (!x->link) {
        wp_exchange_run_action(x, wp_entry_link_lost(s->entry, current_time(x),
                                                     x->request, false));
        return;
    }
    x->link->in_flight++;
    x->stream_id = ++s->next_stream;
    x->start_offset = x->link->queued_bytes;
    g_hash_table_insert(s->streams, &x->stream_id, x);
    fill_start(x, &start);
    char *text = x->json_body ? make_chat_body(x, &size) : NULL;
    start.has_body = 1;
    start.body.data = text ? (uint8_t *)text : x->raw_body->data;
    start.body.len = text ? size : x->raw_body->len;
    start.labels = copy_labels(x->request->labels, &start.n_labels);
    f.body_case = WP__FRAME__BODY_START;
    f.start = &start;
    send_on_stream(x, &f);
    free_labels(start.labels, start.n_labels);
    free(text);
    send_probes(x);
}

static void on_check_result(void *arg, int status, WPStr body);

typedef struct QualityCheck {
    WPServer *server;
    char id[40]; /* request id; the exchange may end before the result comes */
} QualityCheck;

/* Sends the pending answer to the rating service to be checked; without that
   service the answer counts as good. */
static void request_check(WPExchange *x)
{
    WPHttp *ratings = wp_host_ratings(x->server->host);
    size_t n = evbuffer_get_length(x->pending_answer);
    if (!ratings) {
        wp_exchange_run_action(x, wp_entry_checked(x->server->entry,
                                                   current_time(x), x->request,
                                                   true));
        return;
    }
    QualityCheck *c = g_new0(QualityCheck, 1);
    c->server = x->server;
    g_strlcpy(c->id, x->request->id, sizeof(c->id));
    json_t *o = json_pack("{s:s,s:s,s:s}", "request_id", x->request->id, "kind",
                          x->request->kind, "version", x->request->version);
    json_t *answer = json_stringn_nocheck(
        (const char *)evbuffer_pullup(x->pending_answer, -1), n);
    json_object_set_new(o, "answer", answer ? answer : json_null());
    char *text = json_dumps(o, JSON_COMPACT);
    wp_http_call(ratings, "/v1/check", text, on_check_result, g_free, c);
    free(text);
    json_decref(o);
}

static WPExchange *find_exchange(WPServer *s, const char *id)
{
    wp_list_each (it, &s->exchanges) {
        WPExchange *x = wp_list_item(it, WPExchange, node);
        if (!strcmp(x->request->id, id))
            return x;
    }
    return NULL;
}

static void on_check_result(void *arg, int status, WPStr body)
{
    QualityCheck *c = arg;
    WPExchange *x = find_exchange(c->server, c->id);
    json_t *j = status == 200 ? json_loadb(body.p, body.n, 0, NULL) : NULL;
    /* Without a result the answer is accepted: the check only saves cost. */
    bool is_good = !json_is_false(json_object_get(j, "good"));
    if (x)
        wp_exchange_run_action(x, wp_entry_checked(c->server->entry,
                                                   current_time(x), x->request,
                                                   is_good));
    json_decref(j);
    g_free(c);
}

static void ignore_result(void *arg, int status, WPStr body)
{
    (void)arg;
    (void)status;
    (void)body;
}

/* Sends an answer to the rating service, without waiting for the result. */
static void submit_for_rating(WPExchange *x)
{
    WPHttp *ratings = wp_host_ratings(x->server->host);
    if (!ratings || !x->rating_copy)
        return;
    json_t *o = json_pack("{s:s,s:s,s:s}", "request_id", x->request->id, "kind",
                          x->request->kind, "version", x->request->version);
    json_t *answer =
        json_stringn_nocheck(x->rating_copy->str, x->rating_copy->len);
    json_object_set_new(o, "answer", answer ? answer : json_null());
    char *text = json_dumps(o, JSON_COMPACT);
    wp_http_call(ratings, "/v1/submit", text, ignore_result, NULL, NULL);
    free(text);
    json_decref(o);
}

void wp_exchange_run_action(WPExchange *x, WPEntryAction step)
{
    switch (step.kind) {
    case WP_ENTRY_SEND:
        send_start(x, step.endpoint);
        return;
    case WP_ENTRY_CHECK:
        request_check(x);
        return;
    case WP_ENTRY_RETRY_LATER:
        x->retry_at_us = current_time(x).mono_us +
                         (int64_t)step.retry_after_ms * WP_US_PER_MS;
        return;
    case WP_ENTRY_DONE:
        submit_for_rating(x);
        wp_reply_finish(x);
        break;
    case WP_ENTRY_FAIL:
        if (x->reply_started) {
            wp_reply_abort(x, step.code);
        } else {
            wp_reply_fail(x, step.code, step.retry_after_ms);
        }
        break;
    }
    wp_exchange_free(x);
}

/* Whether the answer must still be buffered rather than forwarded. */
static bool must_buffer(const WPExchange *x)
{
    if (x->request->escalation_version)
        return true;
    return !x->stream && evbuffer_get_length(x->pending_answer) <= HOLD_MAX;
}

/* Charges the caller's connection what is held of its answer. */
static void charge_answer(const WPExchange *x)
{
    size_t rated = x->rating_copy ? x->rating_copy->len : 0;
    if (x->caller)
        wp_downstream_charge_answer(
            x->caller, EXCHANGE_BYTES + evbuffer_get_length(x->pending_answer) +
                           wp_array_capacity(rated));
}

static void on_chunk(WPExchange *x, const Wp__Chunk *c)
{
    wp_entry_first_bytes(x->server->entry, current_time(x), x->request);
    evbuffer_add(x->pending_answer, c->data.data, c->data.len);
    if (x->rating_copy && x->rating_copy->len + c->data.len <= RATED_COPY_MAX)
        g_string_append_len(x->rating_copy, (const char *)c->data.data,
                            (gssize)c->data.len);
    if (x->reply_started || !must_buffer(x))
        wp_reply_forward(x);
    else
        wp_exchange_grant(x, c->data.len);
    charge_answer(x);
}

static void on_head(WPExchange *x, const Wp__Head *h)
{
    x->status = (int)h->status;
    g_free(x->answer_type);
    x->answer_type = g_strdup(h->content_type);
}

static void send_backup(void *arg, const char *addr, Wp__Witness *w)
{
    WPServer *s = arg;
    Wp__Frame f = WP__FRAME__INIT;
    WPLink *l = wp_hub_get_link(wp_host_hub(s->host), addr);
    if (!l)
        return;
    f.body_case = WP__FRAME__BODY_WITNESS;
    f.witness = w;
    wp_link_send(l, &f);
}

void wp_attempts_send_backup(WPServer *s)
{
    wp_entry_send_backup(s->entry, wp_host_now(s->host), send_backup, s);
}

void wp_attempts_on_frame(WPServer *s, WPLink *l, Wp__Frame *f)
{
    WPTime now = wp_host_now(s->host);
    if (f->body_case == WP__FRAME__BODY_WITNESS)
        wp_entry_receive_backup(s->entry, now, f->witness);
    if (f->load && l->peer) {
        WPEndpoint *p = wp_entry_endpoint(s->entry, l->peer);
        if (p)
            wp_endpoint_update_load(p, f->load, now.mono_us);
    }
    if (f->body_case == WP__FRAME__BODY_SETTLED && l->peer)
        wp_entry_bills_settled(s->entry, l->peer, l->peer_incarnation,
                               f->settled->upto);
    WPExchange *x =
        f->has_stream ? g_hash_table_lookup(s->streams, &f->stream) : NULL;
    /* Ignore late frames of an abandoned attempt, and frames from another
       link. */
    if (!x || x->link != l)
        return;
    switch (f->body_case) {
    case WP__FRAME__BODY_ACCEPT:
        wp_entry_accepted(s->entry, now, x->request);
        break;
    case WP__FRAME__BODY_HEAD:
        on_head(x, f->head);
        break;
    case WP__FRAME__BODY_CHUNK:
        on_chunk(x, f->chunk);
        break;
    case WP__FRAME__BODY_END:
        detach(x);
        wp_exchange_run_action(
            x, wp_entry_ended(s->entry, now, x->request, f->end));
        /* Sent at once, as this entry and the agent may crash before the next
           tick. */
        wp_attempts_send_backup(s);
        break;
    case WP__FRAME__BODY_REFUSE:
        detach(x);
        wp_exchange_run_action(x, wp_entry_refused(s->entry, now, x->request,
                                                   (WPCode)f->refuse->code,
                                                   (WPRan)f->refuse->ran,
                                                   f->refuse->retry_after_ms));
        break;
    default:
        break;
    }
}

void wp_attempts_on_link_down(WPServer *s, WPLink *l)
{
    WPTime now = wp_host_now(s->host);
    uint64_t written = wp_link_written_bytes(l);
    wp_entry_backup_link_lost(s->entry, l->addr);
    wp_list_each_safe (it, tmp, &s->exchanges) {
        WPExchange *x = wp_list_item(it, WPExchange, node);
        if (x->link != l)
            continue;
        bool sent = l->connected && x->start_offset < written;
        detach(x);
        wp_exchange_run_action(
            x, wp_entry_link_lost(s->entry, now, x->request, sent));
    }
}
