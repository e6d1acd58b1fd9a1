/* One request between a caller and the endpoints: moves the bytes and does
 * what the flow decides. */
#include "wp_direct_int.h"
#include "wp_stream.h"

#include <stdio.h>

enum {
    BUFFER_MOST = 16 << 20, /* bytes of an answer that is gathered whole */
    LOG_NUMBER = 24
};

typedef struct Relay {
    WPList node;
    WPDirectHost *host;
    WPPeer *peer;
    WPFlow *flow;
    WPChannel *channel; /* of the leg under way */
    struct event *expire, *patience;
    WPStream stream;
    uint64_t leg_from;     /* events that had come before this leg */
    GByteArray *piece;     /* of events, on their way */
    bool begun;            /* the caller has the head of a stream */
    int64_t begun_us;      /* since when; 0: not yet */
    bool answer_streams;   /* the leg's answer is a stream */
    bool streaming;        /* and is passed on as it comes */
    WPDirectAnswer answer; /* the leg's, decoded */
    GString *fields;       /* that reach the caller */
    GByteArray *body;
    GString *legs; /* for the log */
} Relay;

static void do_move(Relay *r, const WPMove *first);

static struct timeval in_us(int64_t us)
{
    us = MAX(us, 0);
    return (struct timeval){ us / WP_US_PER_S, us % WP_US_PER_S };
}

static void drop_channel(Relay *r)
{
    if (r->channel)
        wp_back_cancel(r->channel);
    r->channel = NULL;
}

static void free_relay(Relay *r)
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

/* One line for each request, with what decided it. */
static void log_end(Relay *r, const char *outcome, int status)
{
    const WPFlow *f = r->flow;
    char ms[LOG_NUMBER], code[LOG_NUMBER], version[LOG_NUMBER];
    char session[LOG_NUMBER], first[LOG_NUMBER], tokens[LOG_NUMBER];
    char gap[LOG_NUMBER], aims[LOG_NUMBER];
    int64_t us = wp_clock_now(0).mono_us - f->start_us;
    uint64_t table = f->routes ? f->routes->version : 0;
    snprintf(ms, sizeof(ms), "%.1f", (double)us / WP_US_PER_MS);
    snprintf(code, sizeof(code), "%d", status);
    snprintf(session, sizeof(session), "%016lx", (unsigned long)f->session);
    snprintf(version, sizeof(version), "%lu", (unsigned long)table);
    /* When a stream began, and the tokens read and (as told) to be made. */
    snprintf(first, sizeof(first), "%.1f",
             r->begun_us ? (double)(r->begun_us - f->start_us) / WP_US_PER_MS
                         : 0);
    snprintf(gap, sizeof(gap), "%.1f", (double)f->gap_us / WP_US_PER_MS);
    snprintf(aims, sizeof(aims), "%u+%u", f->route ? f->route->aim_ms : 0,
             f->route ? f->route->gap_ms : 0);
    snprintf(tokens, sizeof(tokens), "%u+%u", f->prompt.tokens,
             f->answer_tokens);
    wp_log(&r->host->log, WP_INFO, "request", "id", f->id, "outcome", outcome,
           "status", code, "ms", ms, "first_ms", first, "gap_ms", gap, "aims",
           aims, "tokens", tokens, "route", f->route ? f->route->name : "-",
           "service", f->service ? f->service->name : "-", "workspace",
           f->workspace ? f->workspace : "-", "routes_version", version,
           "session", f->session ? session : "-", "legs", r->legs->str, NULL);
}

/* One line's part for each leg: why, where, how loaded that was believed to
   be and how old the belief was, what it was believed to have to read, and the
   first byte's time foretold from that. */
static void note_leg(Relay *r, const WPMove *m, WPTime now)
{
    const WPReplica *s = m->replica;
    int64_t age_ms =
        s->load_us ? (now.mono_us - s->load_us) / WP_US_PER_MS : -1;
    g_string_append_printf(r->legs, "%s%s:%s:%s:%.*s:load=%u+%u/%u:age=%ldms",
                           r->legs->len ? "," : "", wp_why_name(m->why), s->id,
                           s->version, (int)m->model.n, m->model.p, s->running,
                           s->waiting, s->slots, (long)age_ms);
    const WPAttempt *leg = &r->flow->leg;
    if (leg->expect_us > 0)
        g_string_append_printf(r->legs, ":unread=%u:expect=%.0fms",
                               leg->work.unread, leg->expect_us / WP_US_PER_MS);
    if (m->fetch)
        g_string_append_printf(r->legs, ":fetch=%s", m->fetch);
    if (wp_fleet_is_cold(s, now))
        g_string_append(r->legs, ":cold");
}

static void note_result(Relay *r, const char *how)
{
    g_string_append_printf(r->legs, ":%s", how);
}

static void answer_own(Relay *r, WPCode code, uint32_t retry_ms)
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
    log_end(r, i->code, i->status);
    free_relay(r);
    wp_front_answer(p, i->status, wp_strn(fields->str, fields->len),
                    wp_str(body));
}

static void cut(Relay *r, WPCode code)
{
    WPPeer *p = r->peer;
    WPCounters *c = &r->host->direct.counters;
    c->codes[code]++;
    wp_count(c, WP_C_FAILED);
    log_end(r, wp_code_info(code)->code, r->answer.status);
    free_relay(r);
    wp_front_cut(p);
}

static void answer_whole(Relay *r)
{
    WPPeer *p = r->peer;
    int status = r->answer.status;
    g_autoptr(GString) fields = g_steal_pointer(&r->fields);
    g_autoptr(GByteArray) body = g_steal_pointer(&r->body);
    r->fields = g_string_new(NULL);
    r->body = g_byte_array_new();
    wp_flow_done(r->flow, wp_clock_now(0), r->stream.events - r->leg_from);
    log_end(r, status < 400 ? "ok" : "endpoint_status", status);
    free_relay(r);
    wp_front_answer(p, status, wp_strn(fields->str, fields->len),
                    wp_strn((const char *)body->data, body->len));
}

static void begin_stream(Relay *r)
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
static void write_request(Relay *r, const WPMove *m, struct evbuffer *out)
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
                      .resumes = r->stream.has_last,
                      .after_event = r->stream.last };
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

static bool send_leg(Relay *r, const WPMove *m)
{
    WPTime now = wp_clock_now(0);
    struct evbuffer *request = evbuffer_new();
    bool once = r->flow->route->repeat == WP_REPEAT_NEVER;
    note_leg(r, m, now);
    write_request(r, m, request);
    wp_sync_share(r->host->sync);
    r->streaming = false;
    r->answer = (WPDirectAnswer){ 0 };
    g_byte_array_set_size(r->body, 0);
    wp_stream_restart(&r->stream);
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
static void tell_findings(Relay *r)
{
    WPFlow *f = r->flow;
    if (!f->fails_loaded)
        return;
    wp_log(&r->host->log, WP_WARN, "fails_loaded", "service", f->service->name,
           "version", f->fails_loaded, "id", f->id, NULL);
    g_clear_pointer(&f->fails_loaded, g_free);
    wp_sync_tell(r->host->sync);
}

/* Does what the flow decided; a leg that cannot even be begun asks again. */
static void do_move(Relay *r, const WPMove *first)
{
    WPMove m = *first;
    tell_findings(r);
    if (m.kind != WP_MOVE_PASS)
        drop_channel(r);
    while (m.kind == WP_MOVE_SEND && !send_leg(r, &m)) {
        note_result(r, "unreachable");
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
    case WP_MOVE_FAIL:
        answer_own(r, m.code, m.retry_ms);
        break;
    case WP_MOVE_CUT:
        cut(r, m.code);
        break;
    }
}

static bool is_mine(void *arg, const WPHead *h)
{
    Relay *r = arg;
    return r->host->platform->is_answer_to(h, r->flow->id);
}

static void keep_fields(Relay *r, const WPHead *h)
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

/* The status, how long its head took, and what the model thinks of it. */
static void note_answer(Relay *r)
{
    int64_t us = wp_clock_now(0).mono_us - r->flow->leg.sent_us;
    g_string_append_printf(r->legs, ":%d/%ldms", r->answer.status,
                           (long)(us / WP_US_PER_MS));
    if (r->answer.confidence >= 0)
        g_string_append_printf(r->legs, "/conf=%d", r->answer.confidence);
    if (r->answer.not_run)
        g_string_append(r->legs, "/not_run");
}

static void on_head(void *arg, const WPHead *h)
{
    Relay *r = arg;
    WPMove m;
    r->host->platform->read_answer(h, &r->answer);
    note_answer(r);
    if (!r->begun)
        keep_fields(r, h);
    r->answer_streams = r->flow->route->repeat == WP_REPEAT_STREAM &&
                        h->status == 200 && !r->answer.not_run;
    if (!r->answer_streams)
        return;
    wp_flow_answer(r->flow, wp_clock_now(0), &r->answer, &m);
    wp_sync_share(r->host->sync);
    do_move(r, &m);
}

static void lose_answer(Relay *r, const char *how)
{
    WPMove m;
    note_result(r, how);
    drop_channel(r);
    wp_flow_lost(r->flow, wp_clock_now(0), WP_LOSS_BROKEN, &m);
    do_move(r, &m);
}

static void pass_events(Relay *r, const char *p, size_t n)
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

static void on_body(void *arg, const char *p, size_t n)
{
    Relay *r = arg;
    if (r->streaming)
        pass_events(r, p, n);
    else if (r->body->len + n > BUFFER_MOST)
        lose_answer(r, "too_large");
    else
        g_byte_array_append(r->body, (const guint8 *)p, (guint)n);
}

static void finish_stream(Relay *r)
{
    WPPeer *p = r->peer;
    wp_front_piece(p, r->stream.partial->data, r->stream.partial->len);
    wp_flow_done(r->flow, wp_clock_now(0), r->stream.events - r->leg_from);
    log_end(r, "ok", r->answer.status);
    free_relay(r);
    wp_front_finish(p);
}

static void on_whole(void *arg)
{
    Relay *r = arg;
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
    Relay *r = arg;
    WPMove m;
    WPLoss how = !sent   ? WP_LOSS_UNSENT
                 : began ? WP_LOSS_BROKEN
                         : WP_LOSS_SILENT;
    r->channel = NULL;
    note_result(r, !sent ? "unreachable" : began ? "broken" : "lost");
    wp_flow_lost(r->flow, wp_clock_now(0), how, &m);
    do_move(r, &m);
}

const WPBackOps wp_relay_back_ops = { is_mine, on_head, on_body, on_whole,
                                      on_lost };

static void on_expire(evutil_socket_t fd, short what, void *arg)
{
    Relay *r = arg;
    WPMove m;
    (void)fd;
    (void)what;
    note_result(r, "expired");
    drop_channel(r);
    wp_flow_expired(r->flow, wp_clock_now(0), &m);
    do_move(r, &m);
}

static void on_patience(evutil_socket_t fd, short what, void *arg)
{
    Relay *r = arg;
    WPMove m;
    (void)fd;
    (void)what;
    if (!wp_flow_impatient(r->flow, wp_clock_now(0), &m))
        return;
    note_result(r, "overdue");
    do_move(r, &m);
}

static Relay *new_relay(WPDirectHost *h, WPPeer *p)
{
    Relay *r = g_new0(Relay, 1);
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

static void on_request(void *arg, WPPeer *p, const WPHead *head)
{
    WPDirectHost *h = arg;
    WPTime now = wp_clock_now(0);
    WPDirectAsk ask;
    WPMove m;
    const char *bad = h->platform->read_ask(head, &ask);
    if (bad) {
        refuse_ask(h, p, &ask, WP_BAD_REQUEST, 0, bad);
        return;
    }
    ask.body_bytes = p->body->len;
    if (h->end_us)
        ask.stay_ms =
            (uint32_t)MAX(1, (h->end_us - now.mono_us) / WP_US_PER_MS);
    Relay *r = new_relay(h, p);
    if (ask.resumes)
        wp_stream_after(&r->stream, ask.after_event);
    r->flow = wp_flow_begin(&h->direct, now, &ask, &m);
    if (m.kind == WP_MOVE_SEND && r->flow->deadline_us < INT64_MAX / 2) {
        struct timeval at = in_us(r->flow->deadline_us - now.mono_us);
        event_add(r->expire, &at);
    }
    do_move(r, &m);
}

static void on_left(void *arg, WPPeer *p)
{
    Relay *r = p->request;
    (void)arg;
    if (!r)
        return;
    note_result(r, "caller_gone");
    drop_channel(r);
    wp_flow_left(r->flow, wp_clock_now(0));
    log_end(r, "caller_gone", 0);
    free_relay(r);
}

static void on_drained(void *arg, WPPeer *p)
{
    Relay *r = p->request;
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
