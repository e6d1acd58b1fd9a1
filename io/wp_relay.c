/* One request between a caller and the endpoints: moves the bytes and does
 * what the flow decides. */
#include "wp_relay_int.h"

enum {
    BUFFER_MOST = 16 << 20 /* bytes of an answer that is gathered whole */
};

static void do_move(WPRelay *r, const WPMove *first);

static struct timeval in_us(int64_t us)
{
    us = MAX(us, 0);
    return (struct timeval){ us / WP_US_PER_S, us % WP_US_PER_S };
}

static void drop_channel(WPRelay *r)
{
    if (r->channel)
        wp_back_cancel(r->channel);
    r->channel = NULL;
}

static void free_relay(WPRelay *r)
{
    drop_channel(r);
    wp_list_remove(&r->node);
    r->host->n_relays--;
    if (r->peer)
        r->peer->request = NULL;
    event_free(r->expire);
    event_free(r->patience);
    wp_stream_end(&r->stream);
    wp_flow_free(r->flow);
    g_byte_array_unref(r->piece);
    g_byte_array_unref(r->body);
    g_string_free(r->fields, TRUE);
    g_string_free(r->legs, TRUE);
    g_free(r);
}

static void answer_own(WPRelay *r, WPCode code, uint32_t retry_ms)
{
    const WPCodeInfo *i = wp_code_info(code);
    g_autoptr(GString) fields = g_string_new(NULL);
    g_autofree char *body = g_strdup_printf(
        "{\"error\":{\"code\":\"%s\",\"message\":\"%s\",\"ran\":\"%s\"}}\n",
        i->code, i->text, wp_ran_name(i->ran));
    WPPeer *p = r->peer;
    WPCounters *c = &r->host->direct.counters;
    c->codes[code]++;
    wp_count(c, i->ran == WP_RAN_NOT_RUN ? WP_C_REFUSED : WP_C_FAILED);
    r->host->platform->write_own(r->flow->id, retry_ms, fields);
    g_string_append(fields, "Content-Type: application/json\r\n");
    wp_relay_log_end(r, i->code, i->status);
    free_relay(r);
    wp_front_answer(p, i->status, wp_strn(fields->str, fields->len),
                    wp_str(body));
}

static void cut(WPRelay *r, WPCode code)
{
    WPPeer *p = r->peer;
    WPCounters *c = &r->host->direct.counters;
    c->codes[code]++;
    wp_count(c, WP_C_FAILED);
    wp_relay_log_end(r, wp_code_info(code)->code, r->answer.status);
    free_relay(r);
    wp_front_cut(p);
}

static void answer_whole(WPRelay *r)
{
    WPPeer *p = r->peer;
    int status = r->answer.status;
    g_autoptr(GString) fields = g_steal_pointer(&r->fields);
    g_autoptr(GByteArray) body = g_steal_pointer(&r->body);
    r->fields = g_string_new(NULL);
    r->body = g_byte_array_new();
    wp_flow_done(r->flow, wp_clock_now(0), r->stream.events - r->leg_from);
    wp_relay_log_end(r, status < 400 ? "ok" : "endpoint_status", status);
    free_relay(r);
    wp_front_answer(p, status, wp_strn(fields->str, fields->len),
                    wp_strn((const char *)body->data, body->len));
}

static void begin_stream(WPRelay *r)
{
    r->streaming = true;
    if (r->begun)
        return;
    r->begun = true;
    r->begun_us = wp_clock_now(0).mono_us;
    wp_histogram_add(&r->host->direct.counters.first_token,
                     r->begun_us - r->flow->start_us);
    wp_front_begin(r->peer, r->answer.status,
                   wp_strn(r->fields->str, r->fields->len));
}

/* The request as it goes to an endpoint. */
static void write_request(WPRelay *r, const WPMove *m, struct evbuffer *out)
{
    const WPHead *h = &r->peer->head;
    const GByteArray *body = r->peer->body;
    WPLegText leg = { .replica = m->replica->id,
                      .workspace = r->flow->workspace,
                      .model = m->model,
                      .budget_ms = r->flow->deadline_us < INT64_MAX / 2
                                       ? m->budget_ms
                                       : 0,
                      .fetch = m->fetch,
                      .priority = r->flow->priority,
                      .resumes = r->stream.has_last_id,
                      .after_event = r->stream.last_id };
    evbuffer_add(out, h->method.p, h->method.n);
    evbuffer_add(out, " ", 1);
    evbuffer_add(out, h->target.p, h->target.n);
    evbuffer_add_printf(out, " HTTP/1.1\r\n");
    r->host->platform->write_leg(h, &leg, out);
    if (body->len || !wp_str_eq(h->method, wp_str("GET")))
        evbuffer_add_printf(out, "Content-Length: %u\r\n", body->len);
    evbuffer_add(out, "\r\n", 2);
    evbuffer_add(out, body->data, body->len);
}

static bool send_leg(WPRelay *r, const WPMove *m)
{
    WPTime now = wp_clock_now(0);
    struct evbuffer *request = evbuffer_new();
    bool once = r->flow->route->retry_policy == WP_RETRY_NEVER;
    wp_relay_note_leg(r, m, now);
    write_request(r, m, request);
    wp_sync_share(r->host->sync);
    r->streaming = false;
    r->answer = (WPDirectAnswer){ 0 };
    g_byte_array_set_size(r->body, 0);
    wp_stream_discard_partial(&r->stream);
    r->leg_from = r->stream.events;
    r->channel = wp_back_send(r->host->back, now, m->replica, request,
                              r->peer->is_head, once, r);
    evbuffer_free(request);
    if (r->channel && m->patience_ms) {
        struct timeval at = in_us((int64_t)m->patience_ms * WP_US_PER_MS);
        event_add(r->patience, &at);
    } else {
        event_del(r->patience);
    }
    return r->channel != NULL;
}

/* What the request has shown of a version is told to the others at once: its
   own end may be seconds away. */
static void tell_findings(WPRelay *r)
{
    WPFlow *f = r->flow;
    wp_sync_suspects(r->host->sync);
    if (!f->fails_loaded)
        return;
    wp_log(&r->host->log, WP_WARN, "fails_loaded", "service", f->service->name,
           "version", f->fails_loaded, "id", f->id, NULL);
    g_clear_pointer(&f->fails_loaded, g_free);
    wp_sync_tell(r->host->sync);
}

static void hold(WPRelay *r, uint32_t ms)
{
    struct timeval at = in_us((int64_t)ms * WP_US_PER_MS);
    r->held = true;
    wp_count(&r->host->direct.counters, WP_C_HELD);
    g_string_append(r->legs, "held");
    event_add(r->expire, &at);
}

/* Does what the flow decided; a leg that cannot even be begun asks again. */
static void do_move(WPRelay *r, const WPMove *first)
{
    WPMove m = *first;
    tell_findings(r);
    if (m.kind != WP_MOVE_PASS)
        drop_channel(r);
    while (m.kind == WP_MOVE_SEND && !send_leg(r, &m)) {
        wp_relay_note_result(r, "unreachable");
        wp_flow_lost(r->flow, wp_clock_now(0), WP_LOSS_UNSENT, &m);
    }
    switch (m.kind) {
    case WP_MOVE_SEND:
        break;
    case WP_MOVE_PASS:
        event_del(r->patience);
        if (r->channel && r->answer_streams)
            begin_stream(r);
        else
            answer_whole(r);
        break;
    case WP_MOVE_HOLD:
        hold(r, m.retry_ms);
        break;
    case WP_MOVE_FAIL:
        if (m.barred)
            wp_relay_note_barred(r, &m);
        answer_own(r, m.code, m.retry_ms);
        break;
    case WP_MOVE_CUT:
        cut(r, m.code);
        break;
    }
}

static bool is_mine(void *arg, const WPHead *h)
{
    WPRelay *r = arg;
    return r->host->platform->is_answer_to(h, r->flow->id);
}

static void keep_fields(WPRelay *r, const WPHead *h)
{
    g_string_truncate(r->fields, 0);
    for (size_t i = 0; i < h->n_fields; i++) {
        const WPField *f = &h->fields[i];
        if (!r->host->platform->passes_back(h, f))
            continue;
        g_string_append_len(r->fields, f->name.p, (gssize)f->name.n);
        g_string_append(r->fields, ": ");
        g_string_append_len(r->fields, f->value.p, (gssize)f->value.n);
        g_string_append(r->fields, "\r\n");
    }
}

/* With the head of any answer: its body may be long in coming. */
static void note_words(WPRelay *r)
{
    const WPReplica *s = r->flow->leg.replica;
    WPHeard heard;
    wp_flow_head(r->flow, wp_clock_now(0), &r->answer, &heard);
    wp_relay_log_heard(r, s, &heard);
    if (heard.leaves || heard.rests || heard.limit == WP_LIMIT_CHANGED)
        wp_sync_notices(r->host->sync);
}

static void on_head(void *arg, const WPHead *h)
{
    WPRelay *r = arg;
    WPMove m;
    r->host->platform->read_answer(h, &r->answer);
    wp_relay_note_answer(r);
    note_words(r);
    if (!r->begun)
        keep_fields(r, h);
    r->answer_streams = r->flow->route->retry_policy == WP_RETRY_STREAM &&
                        h->status == 200 && !r->answer.not_run;
    if (!r->answer_streams)
        return;
    wp_flow_answer(r->flow, wp_clock_now(0), &r->answer, &m);
    wp_sync_share(r->host->sync);
    do_move(r, &m);
}

static void lose_answer(WPRelay *r, const char *how)
{
    WPMove m;
    wp_relay_note_result(r, how);
    drop_channel(r);
    wp_flow_lost(r->flow, wp_clock_now(0), WP_LOSS_BROKEN, &m);
    do_move(r, &m);
}

static void pass_events(WPRelay *r, const char *p, size_t n)
{
    g_byte_array_set_size(r->piece, 0);
    bool in_order = wp_stream_feed(&r->stream, p, n, r->piece);
    wp_front_piece(r->peer, r->piece->data, r->piece->len);
    wp_flow_progress(r->flow, wp_clock_now(0), r->stream.events - r->leg_from);
    if (!in_order)
        lose_answer(r, "event_missing");
    else if (wp_front_is_full(r->peer))
        wp_back_pause(r->channel, true);
}

/* Part of an answer that is given as a whole; a large one waits while too much
   is held. */
static void gather(WPRelay *r, const char *p, size_t n)
{
    g_byte_array_append(r->body, (const guint8 *)p, (guint)n);
    if (r->host->held.over_limit && r->body->len >= WP_BUFFERED_EXEMPT_BYTES)
        wp_back_pause(r->channel, true);
}

uint64_t wp_relay_held(const WPDirectHost *h)
{
    uint64_t sum = 0;
    wp_list_each (it, &h->relays) {
        const WPRelay *r = wp_list_item(it, WPRelay, node);
        sum += r->body->len;
    }
    return sum;
}

void wp_relay_go_on(WPDirectHost *h)
{
    wp_list_each (it, &h->relays) {
        WPRelay *r = wp_list_item(it, WPRelay, node);
        if (r->channel && !r->streaming)
            wp_back_pause(r->channel, false);
    }
}

static void on_body(void *arg, const char *p, size_t n)
{
    WPRelay *r = arg;
    if (r->streaming)
        pass_events(r, p, n);
    else if (r->body->len + n > BUFFER_MOST)
        lose_answer(r, "too_large");
    else
        gather(r, p, n);
}

static void finish_stream(WPRelay *r)
{
    WPPeer *p = r->peer;
    wp_front_piece(p, r->stream.partial->data, r->stream.partial->len);
    wp_flow_done(r->flow, wp_clock_now(0), r->stream.events - r->leg_from);
    wp_relay_log_end(r, "ok", r->answer.status);
    free_relay(r);
    wp_front_finish(p);
}

static void on_whole(void *arg)
{
    WPRelay *r = arg;
    WPMove m;
    r->channel = NULL;
    if (r->streaming) {
        finish_stream(r);
        return;
    }
    wp_flow_answer(r->flow, wp_clock_now(0), &r->answer, &m);
    wp_sync_share(r->host->sync);
    do_move(r, &m);
}

static void on_lost(void *arg, bool sent, bool began)
{
    WPRelay *r = arg;
    WPMove m;
    WPLoss how = !sent   ? WP_LOSS_UNSENT
                 : began ? WP_LOSS_BROKEN
                         : WP_LOSS_SILENT;
    g_autofree char *at = g_strdup(r->flow->leg.replica->id);
    r->channel = NULL;
    wp_relay_note_result(r, !sent ? "unreachable" : began ? "broken" : "lost");
    wp_flow_lost(r->flow, wp_clock_now(0), how, &m);
    if (how != WP_LOSS_UNSENT)
        wp_relay_log_ended(r, at);
    do_move(r, &m);
}

const WPBackOps wp_relay_back_ops = { is_mine, on_head, on_body, on_whole,
                                      on_lost };

static void on_expire(evutil_socket_t fd, short what, void *arg)
{
    WPRelay *r = arg;
    WPMove m;
    (void)fd;
    (void)what;
    wp_relay_note_result(r, "expired");
    drop_channel(r);
    if (r->held)
        wp_flow_held_out(r->flow, &m);
    else
        wp_flow_expired(r->flow, wp_clock_now(0), &m);
    do_move(r, &m);
}

static void on_patience(evutil_socket_t fd, short what, void *arg)
{
    WPRelay *r = arg;
    WPMove m;
    (void)fd;
    (void)what;
    if (!wp_flow_impatient(r->flow, wp_clock_now(0), &m))
        return;
    wp_relay_note_result(r, "overdue");
    do_move(r, &m);
}

static void set_expiry(WPRelay *r, WPTime now)
{
    struct timeval at = in_us(r->flow->deadline_us - now.mono_us);
    if (r->flow->deadline_us < INT64_MAX / 2)
        event_add(r->expire, &at);
}

void wp_relay_set_timers(WPDirectHost *h, WPTime now)
{
    wp_list_each_safe (it, tmp, &h->relays) {
        set_expiry(wp_list_item(it, WPRelay, node), now);
    }
}

static WPRelay *new_relay(WPDirectHost *h, WPPeer *p)
{
    WPRelay *r = g_new0(WPRelay, 1);
    r->host = h;
    r->peer = p;
    r->expire = evtimer_new(h->base, on_expire, r);
    r->patience = evtimer_new(h->base, on_patience, r);
    r->piece = g_byte_array_new();
    r->body = g_byte_array_new();
    r->fields = g_string_new(NULL);
    r->legs = g_string_new(NULL);
    wp_stream_init(&r->stream);
    wp_list_append(&h->relays, &r->node);
    h->n_relays++;
    p->request = r;
    return r;
}

/* A request that is not even looked at. */
static void refuse_ask(WPDirectHost *h, WPPeer *p, const WPDirectAsk *ask,
                       WPCode code, uint32_t retry_ms, const char *why)
{
    const WPCodeInfo *i = wp_code_info(code);
    g_autofree char *id = g_strndup(ask->id.p, ask->id.n);
    g_autofree char *body =
        g_strdup_printf("{\"error\":{\"code\":\"%s\"}}\n", i->code);
    g_autoptr(GString) fields = g_string_new(NULL);
    h->direct.counters.codes[code]++;
    wp_count(&h->direct.counters, WP_C_REFUSED);
    wp_log(&h->log, WP_INFO, "refused", "id", id, "code", i->code, "why", why,
           NULL);
    h->platform->write_own(id, retry_ms, fields);
    g_string_append(fields, "Content-Type: application/json\r\n");
    wp_front_answer(p, i->status, wp_strn(fields->str, fields->len),
                    wp_str(body));
}

/* The bodies that are usual take some microseconds. */
static uint64_t content_of(const WPHead *h, const GByteArray *body)
{
    uint64_t head = wp_hash(h->target, wp_hash(h->method, 0));
    return wp_hash(wp_strn((const char *)body->data, body->len), head);
}

/* Reads a caller's request. Returns NULL, or why it is refused. */
static const char *read_ask(const WPDirectHost *h, WPTime now, const WPPeer *p,
                            const WPHead *head, WPDirectAsk *out)
{
    const char *bad = h->platform->read_ask(head, out);
    out->body_bytes = p->body->len;
    out->content = content_of(head, p->body);
    if (h->end_us)
        out->stay_ms =
            (uint32_t)MAX(1, (h->end_us - now.mono_us) / WP_US_PER_MS);
    return bad;
}

static void enter(WPRelay *r, WPTime now)
{
    WPDirectAsk ask;
    WPMove m;
    r->held = false;
    event_del(r->expire);
    read_ask(r->host, now, r->peer, &r->peer->head, &ask);
    wp_flow_enter(r->flow, now, &ask, &m);
    if (m.kind == WP_MOVE_SEND)
        set_expiry(r, now);
    do_move(r, &m);
}

void wp_relay_enter_held(WPDirectHost *h)
{
    WPTime now = wp_clock_now(0);
    wp_list_each_safe (it, tmp, &h->relays) {
        WPRelay *r = wp_list_item(it, WPRelay, node);
        if (r->held && h->direct.routes)
            enter(r, now);
    }
}

static void on_request(void *arg, WPPeer *p, const WPHead *head)
{
    WPDirectHost *h = arg;
    WPTime now = wp_clock_now(0);
    WPDirectAsk ask;
    WPMove m;
    const char *bad = read_ask(h, now, p, head, &ask);
    if (bad) {
        refuse_ask(h, p, &ask, WP_BAD_REQUEST, 0, bad);
        return;
    }
    WPRelay *r = new_relay(h, p);
    if (ask.resumes)
        wp_stream_set_last_id(&r->stream, ask.after_event);
    r->flow = wp_flow_begin(&h->direct, now, &ask, &m);
    if (m.kind == WP_MOVE_SEND)
        set_expiry(r, now);
    do_move(r, &m);
}

static void on_left(void *arg, WPPeer *p)
{
    WPRelay *r = p->request;
    (void)arg;
    if (!r)
        return;
    wp_relay_note_result(r, "caller_gone");
    drop_channel(r);
    wp_flow_left(r->flow, wp_clock_now(0));
    wp_relay_log_end(r, "caller_gone", 0);
    free_relay(r);
}

static void on_drained(void *arg, WPPeer *p)
{
    WPRelay *r = p->request;
    (void)arg;
    if (r && r->channel)
        wp_back_pause(r->channel, false);
}

static void on_refused(void *arg, WPCode code, const char *detail)
{
    WPDirectHost *h = arg;
    WPCounters *c = &h->direct.counters;
    c->codes[code]++;
    wp_count(c, WP_C_BAD_INPUT);
    wp_log(&h->log, WP_INFO, "refused", "code", wp_code_info(code)->code, "why",
           detail, NULL);
}

const WPFrontOps wp_relay_front_ops = { on_request, on_left, on_drained,
                                        on_refused };
