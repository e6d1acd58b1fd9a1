/* Relays one request between a caller and endpoints: forwards the bytes and
 * carries out the actions that the flow decides on. */
#include "wp_relay_int.h"

enum {
    RELAY_BYTES = 8 << 10, /* what a request takes besides, with its connection
                              to an endpoint */
    BUFFER_MAX_BYTES = 16 << 20, /* bytes of an answer that is not streamed */
    ADMITTED_MAX = 2 /* large answers that are read above the buffer limit */
};

static void do_action(WPRelay *r, const WPFlowAction *first);

static struct timeval timeval_from_us(int64_t us)
{
    us = MAX(us, 0);
    return (struct timeval){ us / WP_US_PER_S, us % WP_US_PER_S };
}

static void cancel_attempt(WPRelay *r)
{
    if (r->upstream_conn)
        wp_upstream_cancel(r->upstream_conn);
    r->upstream_conn = NULL;
}

/* Cancels the running attempt, if any, and frees the request; its caller's
   connection stays. */
static void free_relay(WPRelay *r)
{
    cancel_attempt(r);
    wp_list_remove(&r->node);
    r->host->n_relays--;
    if (r->downstream_conn)
        r->downstream_conn->request = NULL;
    event_free(r->deadline_timer);
    event_free(r->first_byte_timer);
    event_free(r->slot_timer);
    wp_stream_end(&r->stream);
    wp_flow_free(r->flow);
    g_byte_array_unref(r->body);
    g_string_free(r->fields, TRUE);
    g_string_free(r->attempts_text, TRUE);
    g_free(r);
}

/* Ends the request with an error answer of this box. */
static void send_own_answer(WPRelay *r, WPCode code, uint32_t retry_ms)
{
    const WPCodeInfo *i = wp_code_info(code);
    g_autoptr(GString) fields = g_string_new(NULL);
    g_autofree char *body = g_strdup_printf(
        "{\"error\":{\"code\":\"%s\",\"message\":\"%s\",\"ran\":\"%s\"}}\n",
        i->code, i->text, wp_ran_name(i->ran));
    WPDownstreamConn *p = r->downstream_conn;
    WPCounters *c = &r->host->direct.counters;
    c->codes[code]++;
    wp_count(c, i->ran == WP_RAN_NOT_RUN ? WP_C_REFUSED : WP_C_FAILED);
    r->host->platform->write_box_answer_fields(r->flow->id, retry_ms, fields);
    g_string_append(fields, "Content-Type: application/json\r\n");
    wp_relay_log_end(r, i->code, i->status);
    free_relay(r);
    wp_downstream_send_answer(p, i->status, wp_strn(fields->str, fields->len),
                              wp_str(body));
}

/* Ends a request whose caller already has part of the answer. */
static void abort_answer(WPRelay *r, WPCode code)
{
    WPDownstreamConn *p = r->downstream_conn;
    WPCounters *c = &r->host->direct.counters;
    c->codes[code]++;
    wp_count(c, WP_C_FAILED);
    wp_relay_log_end(r, wp_code_info(code)->code, r->answer.status);
    free_relay(r);
    wp_downstream_abort(p);
}

/* Ends the request with the endpoint's complete answer. */
static void forward_answer(WPRelay *r)
{
    WPDownstreamConn *p = r->downstream_conn;
    int status = r->answer.status;
    g_autoptr(GString) fields = g_steal_pointer(&r->fields);
    g_autoptr(GByteArray) body = g_steal_pointer(&r->body);
    r->fields = g_string_new(NULL);
    r->body = g_byte_array_new();
    wp_flow_on_done(r->flow, wp_clock_now(0),
                    r->stream.events - r->events_before_attempt);
    wp_relay_log_end(r, status < 400 ? "ok" : "endpoint_status", status);
    free_relay(r);
    wp_downstream_send_array(p, status, wp_strn(fields->str, fields->len),
                             body);
}

static void begin_stream(WPRelay *r)
{
    r->forwards_stream = true;
    if (r->stream_begun)
        return;
    r->stream_begun = true;
    r->stream_begun_us = wp_clock_now(0).mono_us;
    wp_histogram_add(&r->host->direct.counters.first_token,
                     r->stream_begun_us - r->flow->start_us);
    wp_downstream_begin_chunked(r->downstream_conn, r->answer.status,
                                wp_strn(r->fields->str, r->fields->len));
}

/* Writes the request as it is sent to an endpoint. */
static void write_request(WPRelay *r, const WPFlowAction *m,
                          struct evbuffer *out)
{
    const WPHead *h = &r->downstream_conn->head;
    GByteArray *body = r->downstream_conn->body;
    WPAttemptHeader attempt = {
        .replica_id = m->replica->id,
        .workspace = r->flow->workspace,
        .model = m->model,
        .budget_ms = r->flow->deadline_us < INT64_MAX / 2 ? m->budget_ms : 0,
        .prefix_source = m->prefix_source,
        .priority = r->flow->priority,
        .resumes = r->stream.has_last_id,
        .after_event = r->stream.last_id
    };
    evbuffer_add(out, h->method.p, h->method.n);
    evbuffer_add(out, " ", 1);
    evbuffer_add(out, h->target.p, h->target.n);
    evbuffer_add_printf(out, " HTTP/1.1\r\n");
    r->host->platform->write_attempt_fields(h, &attempt, out);
    if (body->len || !wp_str_eq(h->method, wp_str("GET")))
        evbuffer_add_printf(out, "Content-Length: %u\r\n", body->len);
    evbuffer_add(out, "\r\n", 2);
    wp_downstream_add_array(out, body);
}

/* Charges what is held of the present attempt's answer. */
static void charge_answer(WPRelay *r)
{
    wp_downstream_charge_answer(r->downstream_conn,
                                RELAY_BYTES + wp_array_capacity(r->body->len) +
                                    wp_array_capacity(r->stream.partial->len) +
                                    wp_array_capacity(r->stream.held->len));
}

/* Prepares for the events of another attempt. */
static void begin_run(WPRelay *r)
{
    const WPRoute *route = r->flow->route;
    bool resumable = route->retry_policy == WP_RETRY_STREAM && route->resumable;
    wp_stream_set_route(
        &r->stream, resumable,
        wp_direct_has_irregular_ids(&r->host->direct, route->name));
    wp_stream_begin_run(&r->stream);
}

/* Sends an attempt. Returns false if no connection could be opened. */
static bool send_attempt(WPRelay *r, const WPFlowAction *m)
{
    WPTime now = wp_clock_now(0);
    struct evbuffer *request = evbuffer_new();
    bool non_repeatable = r->flow->route->retry_policy == WP_RETRY_NEVER;
    wp_relay_note_attempt(r, m, now);
    write_request(r, m, request);
    wp_sync_schedule_zone_updates(r->host->sync);
    r->forwards_stream = false;
    r->answer = (WPDirectAnswer){ 0 };
    r->answer_paused = false;
    r->answer_admitted = false;
    wp_array_clear(&r->body);
    begin_run(r);
    charge_answer(r);
    r->events_before_attempt = r->stream.events;
    r->upstream_conn =
        wp_upstream_send(r->host->upstream, now, m->replica, request,
                         r->downstream_conn->is_head, non_repeatable, r);
    evbuffer_free(request);
    if (r->upstream_conn && m->first_byte_timeout_ms) {
        struct timeval at =
            timeval_from_us((int64_t)m->first_byte_timeout_ms * WP_US_PER_MS);
        event_add(r->first_byte_timer, &at);
    } else {
        event_del(r->first_byte_timer);
    }
    return r->upstream_conn != NULL;
}

/* Sends what the request has revealed about suspect requests and about its
   version to the other boxes at once, as the request itself may end seconds
   later. */
static void share_findings(WPRelay *r)
{
    WPFlow *f = r->flow;
    wp_sync_schedule_suspects(r->host->sync);
    if (!f->fails_loaded)
        return;
    wp_log(&r->host->log, WP_WARN, "fails_loaded", "service", f->service->name,
           "version", f->fails_loaded, "id", f->id, NULL);
    g_clear_pointer(&f->fails_loaded, g_free);
    wp_sync_schedule_digest(r->host->sync);
}

/* Holds the request until the routes are known, for `ms` at most. */
static void hold_for_routes(WPRelay *r, uint32_t ms)
{
    struct timeval at = timeval_from_us((int64_t)ms * WP_US_PER_MS);
    r->awaits_routes = true;
    wp_count(&r->host->direct.counters, WP_C_HELD);
    g_string_append(r->attempts_text, "held");
    event_add(r->deadline_timer, &at);
}

static void wait_for_slot(WPRelay *r, uint32_t ms)
{
    struct timeval at = timeval_from_us((int64_t)ms * WP_US_PER_MS);
    wp_relay_note_wait(r, ms);
    event_add(r->slot_timer, &at);
}

/* Carries out an action of the flow. If an attempt cannot be sent, the flow is
   asked for the next action. */
static void do_action(WPRelay *r, const WPFlowAction *first)
{
    WPFlowAction m = *first;
    share_findings(r);
    if (m.kind != WP_FLOW_FORWARD)
        cancel_attempt(r);
    while (m.kind == WP_FLOW_SEND && !send_attempt(r, &m)) {
        wp_relay_note_result(r, "unreachable");
        wp_flow_on_lost(r->flow, wp_clock_now(0), WP_LOSS_UNSENT, &m);
    }
    switch (m.kind) {
    case WP_FLOW_SEND:
        break;
    case WP_FLOW_FORWARD:
        event_del(r->first_byte_timer);
        if (!r->stream_begun)
            wp_relay_note_kept(r);
        if (r->upstream_conn && r->answer_streams)
            begin_stream(r);
        else
            forward_answer(r);
        break;
    case WP_FLOW_WAIT:
        wait_for_slot(r, m.retry_ms);
        break;
    case WP_FLOW_HOLD:
        hold_for_routes(r, m.retry_ms);
        break;
    case WP_FLOW_FAIL:
        if (m.excluded)
            wp_relay_note_excluded(r, &m);
        if (m.suspect)
            wp_relay_note_suspect(r, m.suspect);
        send_own_answer(r, m.code, m.retry_ms);
        break;
    case WP_FLOW_ABORT:
        abort_answer(r, m.code);
        break;
    }
}

static bool is_answer(void *arg, const WPHead *h)
{
    WPRelay *r = arg;
    return r->host->platform->is_answer_to(h, r->flow->id);
}

static void keep_fields(WPRelay *r, const WPHead *h)
{
    g_string_truncate(r->fields, 0);
    for (size_t i = 0; i < h->n_fields; i++) {
        const WPField *f = &h->fields[i];
        if (!r->host->platform->is_forwarded_to_caller(h, f))
            continue;
        g_string_append_len(r->fields, f->name.p, (gssize)f->name.n);
        g_string_append(r->fields, ": ");
        g_string_append_len(r->fields, f->value.p, (gssize)f->value.n);
        g_string_append(r->fields, "\r\n");
    }
}

/* Applies what the head of any answer reports about its endpoint at once, as
   the body may take long to arrive. */
static void note_head(WPRelay *r)
{
    const WPReplica *s = r->flow->attempt.replica;
    WPHeadChanges changes;
    wp_flow_on_head(r->flow, wp_clock_now(0), &r->answer, &changes);
    wp_relay_log_head_changes(r, s, &changes);
    if (changes.draining || changes.backoff ||
        changes.limit == WP_LIMIT_CHANGED)
        wp_sync_schedule_notices(r->host->sync);
}

/* Lets the flow decide on the answer, and does what follows. */
static void decide_on_answer(WPRelay *r)
{
    WPReplica *s = wp_replica_ref(r->flow->attempt.replica);
    WPFlowAction m;
    wp_flow_on_answer(r->flow, wp_clock_now(0), &r->answer, &m);
    if (r->flow->answer_fault)
        wp_relay_note_invalid(
            r, s->id, r->stream_begun ? WP_C_BAD_RESUMPTIONS : WP_C_BAD_HEADS,
            r->flow->answer_fault);
    wp_replica_unref(s);
    wp_sync_schedule_zone_updates(r->host->sync);
    do_action(r, &m);
}

/* Whether the media type is text/event-stream, whatever its parameters. */
static bool is_event_stream(WPStr type)
{
    static const char name[] = "text/event-stream";
    WPStr media = wp_str_trim(wp_str_cut(&type, ';'));
    return media.n == strlen(name) &&
           !g_ascii_strncasecmp(media.p, name, media.n);
}

static void read_framing(const WPHead *h, WPDirectAnswer *out)
{
    unsigned lengths;
    wp_head_get(h, "Content-Length", &lengths);
    out->until_close = h->until_close;
    out->has_length = lengths > 0;
    out->is_event_stream =
        is_event_stream(wp_head_get(h, "Content-Type", NULL));
}

/* The head of an attempt's answer has come. The flow decides at once on a
   stream that succeeds and on an answer that is to resume one; any other answer
   is read to its end first. */
static void on_head(void *arg, const WPHead *h)
{
    WPRelay *r = arg;
    r->host->platform->read_answer(h, &r->answer);
    read_framing(h, &r->answer);
    wp_relay_note_answer(r);
    note_head(r);
    if (!r->stream_begun)
        keep_fields(r, h);
    r->answer_streams = r->flow->route->retry_policy == WP_RETRY_STREAM &&
                        h->status == 200 && !r->answer.not_run;
    if (!r->answer_streams && (!r->stream_begun || r->answer.not_run))
        return;
    decide_on_answer(r);
}

/* The present attempt has ended without a complete answer. */
static void decide_on_loss(WPRelay *r, WPAttemptLoss how, WPFlowAction *out)
{
    if (r->stream_begun && !wp_stream_has_place(&r->stream))
        wp_flow_lose_place(r->flow);
    wp_flow_on_lost(r->flow, wp_clock_now(0), how, out);
}

/* Ends an attempt whose answer is not valid. */
static void fail_attempt(WPRelay *r)
{
    WPFlowAction m;
    cancel_attempt(r);
    decide_on_loss(r, WP_LOSS_INVALID, &m);
    do_action(r, &m);
}

static void fail_invalid(WPRelay *r, WPCounter kind, const char *fault)
{
    wp_relay_note_invalid(r, r->flow->attempt.replica->id, kind, fault);
    fail_attempt(r);
}

/* Passes on the events in `forwarded` of the host. */
static void send_events(WPRelay *r)
{
    const GByteArray *events = r->host->forwarded;
    wp_downstream_send_chunk(r->downstream_conn, events->data, events->len);
    wp_flow_on_events(r->flow, wp_clock_now(0),
                      r->stream.events - r->events_before_attempt);
}

static void forward_events(WPRelay *r, const char *p, size_t n)
{
    wp_array_clear(&r->host->forwarded);
    WPStreamStatus status =
        wp_stream_feed(&r->stream, p, n, r->host->forwarded);
    send_events(r);
    charge_answer(r);
    if (status == WP_STREAM_INVALID)
        fail_invalid(r, WP_C_BAD_EVENTS, r->stream.fault);
    else if (status == WP_STREAM_ENDLESS)
        fail_invalid(r, WP_C_BAD_EVENTS, "too many bytes without an event");
    else if (wp_downstream_is_backlogged(r->downstream_conn))
        wp_upstream_set_paused(r->upstream_conn, true);
}

/* Buffers part of an answer that is not streamed; reading of a large one is
   paused while the box is over its buffer limit. */
static void buffer_body(WPRelay *r, const char *p, size_t n)
{
    WPDirectHost *h = r->host;
    g_byte_array_append(r->body, (const guint8 *)p, (guint)n);
    charge_answer(r);
    bool over =
        h->buffered.over_limit || h->account.sum >= h->buffered.limit_bytes;
    if (!over || r->answer_admitted || r->body->len < WP_BUFFERED_EXEMPT_BYTES)
        return;
    r->answer_paused = true;
    h->answers_paused = true;
    wp_upstream_set_paused(r->upstream_conn, true);
}

static void resume_answer(WPRelay *r)
{
    r->answer_paused = false;
    if (r->upstream_conn && !r->forwards_stream)
        wp_upstream_set_paused(r->upstream_conn, false);
}

void wp_relay_admit_paused(WPDirectHost *h)
{
    unsigned admitted = 0;
    wp_list_each (it, &h->relays)
        admitted += wp_list_item(it, WPRelay, node)->answer_admitted;
    wp_list_each (it, &h->relays) {
        WPRelay *r = wp_list_item(it, WPRelay, node);
        if (admitted >= ADMITTED_MAX)
            return;
        if (!r->answer_paused || r->answer_admitted)
            continue;
        r->answer_admitted = true;
        resume_answer(r);
        admitted++;
    }
}

void wp_relay_each_flow(const WPDirectHost *h, WPEachFlowFn fn, void *arg)
{
    wp_list_each (it, &h->relays)
        fn(arg, wp_list_item(it, WPRelay, node)->flow);
}

void wp_relay_resume_reads(WPDirectHost *h)
{
    h->answers_paused = false;
    wp_list_each (it, &h->relays) {
        resume_answer(wp_list_item(it, WPRelay, node));
    }
}

static void fail_too_large(WPRelay *r)
{
    wp_relay_note_result(r, "too_large");
    fail_attempt(r);
}

static void on_body(void *arg, const char *p, size_t n)
{
    WPRelay *r = arg;
    if (r->forwards_stream)
        forward_events(r, p, n);
    else if (r->body->len + n > BUFFER_MAX_BYTES)
        fail_too_large(r);
    else
        buffer_body(r, p, n);
}

/* The run has ended properly: the caller gets the end of its stream. */
static void finish_stream(WPRelay *r)
{
    WPDownstreamConn *p = r->downstream_conn;
    wp_array_clear(&r->host->forwarded);
    if (wp_stream_finish(&r->stream, r->host->forwarded) != WP_STREAM_OK) {
        fail_invalid(r, WP_C_BAD_EVENTS, r->stream.fault);
        return;
    }
    send_events(r);
    if (r->stream.irregular)
        wp_direct_note_irregular_ids(&r->host->direct, r->flow->route->name);
    wp_relay_note_events(r);
    wp_flow_on_done(r->flow, wp_clock_now(0),
                    r->stream.events - r->events_before_attempt);
    wp_relay_log_end(r, "ok", r->answer.status);
    free_relay(r);
    wp_downstream_end_chunked(p);
}

/* The connection of the present attempt has ended without a complete answer. */
static void lose_attempt(WPRelay *r, WPAttemptLoss how, const char *result)
{
    g_autofree char *at = g_strdup(r->flow->attempt.replica->id);
    WPFlowAction m;
    wp_relay_note_result(r, result);
    decide_on_loss(r, how, &m);
    if (how != WP_LOSS_UNSENT)
        wp_relay_log_connection_lost(r, at);
    do_action(r, &m);
}

/* Whether a stream that ended with its connection was broken off. */
static bool ended_inside_event(const WPRelay *r)
{
    return r->answer.until_close && !wp_stream_at_event_boundary(&r->stream);
}

static void on_complete(void *arg)
{
    WPRelay *r = arg;
    r->upstream_conn = NULL;
    if (r->forwards_stream && ended_inside_event(r)) {
        lose_attempt(r, WP_LOSS_BROKEN, "broken");
        return;
    }
    if (r->forwards_stream) {
        finish_stream(r);
        return;
    }
    decide_on_answer(r);
}

static void on_lost(void *arg, bool sent, bool began)
{
    WPRelay *r = arg;
    r->upstream_conn = NULL;
    if (!sent)
        lose_attempt(r, WP_LOSS_UNSENT, "unreachable");
    else if (began)
        lose_attempt(r, WP_LOSS_BROKEN, "broken");
    else
        lose_attempt(r, WP_LOSS_NO_ANSWER, "lost");
}

static void on_invalid(void *arg, bool sent, bool began, const char *fault)
{
    WPRelay *r = arg;
    WPFlowAction m;
    r->upstream_conn = NULL;
    wp_relay_note_invalid(r, r->flow->attempt.replica->id,
                          began ? WP_C_BAD_BODIES : WP_C_BAD_HEADS, fault);
    decide_on_loss(r, sent ? WP_LOSS_INVALID : WP_LOSS_UNSENT, &m);
    do_action(r, &m);
}

const WPUpstreamOps wp_relay_upstream_ops = {
    is_answer, on_head, on_body, on_complete, on_lost, on_invalid
};

static void on_deadline(evutil_socket_t fd, short what, void *arg)
{
    WPRelay *r = arg;
    WPFlowAction m;
    (void)fd;
    (void)what;
    wp_relay_note_result(r, "expired");
    cancel_attempt(r);
    if (r->awaits_routes)
        wp_flow_hold_timeout(r->flow, &m);
    else
        wp_flow_on_deadline(r->flow, wp_clock_now(0), &m);
    do_action(r, &m);
}

static void on_first_byte_timeout(evutil_socket_t fd, short what, void *arg)
{
    WPRelay *r = arg;
    WPFlowAction m;
    (void)fd;
    (void)what;
    if (!wp_flow_on_first_byte_timeout(r->flow, wp_clock_now(0), &m))
        return;
    wp_relay_note_result(r, "overdue");
    do_action(r, &m);
}

static void on_slot_wait_end(evutil_socket_t fd, short what, void *arg)
{
    WPRelay *r = arg;
    WPFlowAction m;
    (void)fd;
    (void)what;
    wp_flow_on_wait_end(r->flow, wp_clock_now(0), &m);
    do_action(r, &m);
}

static void set_deadline_timer(WPRelay *r, WPTime now)
{
    struct timeval at = timeval_from_us(r->flow->deadline_us - now.mono_us);
    if (r->flow->deadline_us < INT64_MAX / 2)
        event_add(r->deadline_timer, &at);
}

void wp_relay_reset_deadlines(WPDirectHost *h, WPTime now)
{
    wp_list_each_safe (it, tmp, &h->relays) {
        set_deadline_timer(wp_list_item(it, WPRelay, node), now);
    }
}

static WPRelay *new_relay(WPDirectHost *h, WPDownstreamConn *p)
{
    WPRelay *r = g_new0(WPRelay, 1);
    r->host = h;
    r->downstream_conn = p;
    r->deadline_timer = evtimer_new(h->base, on_deadline, r);
    r->first_byte_timer = evtimer_new(h->base, on_first_byte_timeout, r);
    r->slot_timer = evtimer_new(h->base, on_slot_wait_end, r);
    r->body = g_byte_array_new();
    r->fields = g_string_new(NULL);
    r->attempts_text = g_string_new(NULL);
    wp_stream_init(&r->stream);
    wp_list_append(&h->relays, &r->node);
    h->n_relays++;
    p->request = r;
    return r;
}

/* Refuses a request that the platform adapter could not parse. */
static void refuse_request(WPDirectHost *h, WPDownstreamConn *p,
                           const WPDirectRequest *request, WPCode code,
                           uint32_t retry_ms, const char *why)
{
    const WPCodeInfo *i = wp_code_info(code);
    g_autofree char *id = g_strndup(request->id.p, request->id.n);
    g_autofree char *body =
        g_strdup_printf("{\"error\":{\"code\":\"%s\"}}\n", i->code);
    g_autoptr(GString) fields = g_string_new(NULL);
    h->direct.counters.codes[code]++;
    wp_count(&h->direct.counters, WP_C_REFUSED);
    wp_log(&h->log, WP_INFO, "refused", "id", id, "code", i->code, "why", why,
           NULL);
    h->platform->write_box_answer_fields(id, retry_ms, fields);
    g_string_append(fields, "Content-Type: application/json\r\n");
    wp_downstream_send_answer(p, i->status, wp_strn(fields->str, fields->len),
                              wp_str(body));
}

/* Returns the hash of method, target and body; takes some microseconds for
   bodies of usual size. */
static uint64_t content_hash(const WPHead *h, const GByteArray *body)
{
    uint64_t head = wp_hash(h->target, wp_hash(h->method, 0));
    return wp_hash(wp_strn((const char *)body->data, body->len), head);
}

/* Parses a caller's request. Returns NULL, or why it is refused. */
static const char *parse_request(const WPDirectHost *h, WPTime now,
                                 const WPDownstreamConn *p, const WPHead *head,
                                 WPDirectRequest *out)
{
    const char *problem = h->platform->parse_request(head, out);
    out->body_bytes = p->body->len;
    out->content_hash = content_hash(head, p->body);
    if (h->exit_us)
        out->box_stops_in_ms =
            (uint32_t)MAX(1, (h->exit_us - now.mono_us) / WP_US_PER_MS);
    return problem;
}

/* Admits a request that was held until the routes were known. */
static void admit_held(WPRelay *r, WPTime now)
{
    WPDirectRequest request;
    WPFlowAction m;
    r->awaits_routes = false;
    event_del(r->deadline_timer);
    parse_request(r->host, now, r->downstream_conn, &r->downstream_conn->head,
                  &request);
    wp_flow_admit(r->flow, now, &request, &m);
    if (m.kind == WP_FLOW_SEND || m.kind == WP_FLOW_WAIT)
        set_deadline_timer(r, now);
    do_action(r, &m);
}

void wp_relay_admit_held(WPDirectHost *h)
{
    WPTime now = wp_clock_now(0);
    wp_list_each_safe (it, tmp, &h->relays) {
        WPRelay *r = wp_list_item(it, WPRelay, node);
        if (r->awaits_routes && h->direct.routes)
            admit_held(r, now);
    }
}

/* A caller's request has arrived completely: refuses it if it is invalid, else
   begins its flow and carries out the first action. */
static void on_request(void *arg, WPDownstreamConn *p, const WPHead *head)
{
    WPDirectHost *h = arg;
    WPTime now = wp_clock_now(0);
    WPDirectRequest request;
    WPFlowAction m;
    const char *problem = parse_request(h, now, p, head, &request);
    if (problem) {
        refuse_request(h, p, &request, WP_BAD_REQUEST, 0, problem);
        return;
    }
    WPRelay *r = new_relay(h, p);
    if (request.resumes)
        wp_stream_set_last_id(&r->stream, request.after_event);
    r->flow = wp_flow_begin(&h->direct, now, &request, &m);
    if (m.kind == WP_FLOW_SEND || m.kind == WP_FLOW_WAIT)
        set_deadline_timer(r, now);
    do_action(r, &m);
}

static void on_caller_gone(void *arg, WPDownstreamConn *p)
{
    WPRelay *r = p->request;
    (void)arg;
    if (!r)
        return;
    wp_relay_note_result(r, "caller_gone");
    cancel_attempt(r);
    wp_flow_on_caller_gone(r->flow, wp_clock_now(0));
    wp_relay_log_end(r, "caller_gone", 0);
    free_relay(r);
}

static void on_writable(void *arg, WPDownstreamConn *p)
{
    WPRelay *r = p->request;
    (void)arg;
    if (r && r->upstream_conn)
        wp_upstream_set_paused(r->upstream_conn, false);
}

void wp_relay_on_refused(void *arg, WPCode code, const char *detail)
{
    WPDirectHost *h = arg;
    WPCounters *c = &h->direct.counters;
    c->codes[code]++;
    wp_count(c, WP_C_BAD_INPUT);
    wp_log(&h->log, WP_INFO, "refused", "code", wp_code_info(code)->code, "why",
           detail, NULL);
}

/* Has the log tell who holds how much of what. */
static void on_gives_way(void *arg, const WPOwner *o)
{
    WPDirectHost *h = arg;
    const WPDownstreamConn *p = wp_list_item(o, WPDownstreamConn, owner);
    const WPRelay *r = p->request;
    wp_count(&h->direct.counters, WP_C_GAVE_WAY);
    wp_log_gives_way(&h->log, &h->account, o,
                     r && r->flow && r->flow->workspace ? r->flow->workspace
                                                        : "-");
}

const WPDownstreamOps wp_relay_downstream_ops = {
    on_request, on_caller_gone, on_writable, wp_relay_on_refused, on_gives_way
};
