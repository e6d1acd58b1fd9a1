/* Runs the jobs that entries send to an agent, and implements the agent's
 * role in the host. */
#include "wp_runner_int.h"
#include "wp_pb.h"

#include <event2/buffer.h>

static WPTime now_of(const WPRunner *r)
{
    return wp_host_now(r->host);
}

static WPRun *new_run(WPRunner *owner, WPLink *l, WPJob *j)
{
    WPRun *r = g_new0(WPRun, 1);
    r->runner = owner;
    r->job = j;
    r->link = l;
    r->window = j->start->window;
    j->user_data = r;
    l->in_flight++;
    wp_list_append(&owner->jobs, &r->node);
    return r;
}

static void free_run(WPRun *r)
{
    wp_list_remove(&r->node);
    if (r->link)
        r->link->in_flight--;
    wp_engine_abort(r);
    wp_sse_end(&r->sse);
    if (r->answer_copy)
        g_byte_array_unref(r->answer_copy);
    wp_job_free(r->job);
    g_free(r);
}

void wp_run_send(WPRun *r, Wp__Frame *f)
{
    if (!r->link)
        return;
    f->has_stream = 1;
    f->stream = r->job->stream_id;
    wp_link_send(r->link, f);
}

void wp_run_refuse(WPRun *r, WPCode code, WPRan ran, uint32_t retry_ms)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Refuse m = WP__REFUSE__INIT;
    m.code = code;
    m.ran = (Wp__Ran)ran;
    m.has_retry_after_ms = 1;
    m.retry_after_ms = retry_ms;
    f.body_case = WP__FRAME__BODY_REFUSE;
    f.refuse = &m;
    wp_run_send(r, &f);
}

static void accept_run(WPRun *r)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Accept a = WP__ACCEPT__INIT;
    f.body_case = WP__FRAME__BODY_ACCEPT;
    f.accept = &a;
    wp_run_send(r, &f);
    wp_engine_start(r);
}

static void apply_decision(WPRun *r, const WPAgentDecision *v)
{
    switch (v->kind) {
    case WP_AGENT_RUN:
        accept_run(r);
        break;
    case WP_AGENT_REFUSE:
        wp_run_refuse(r, v->code, wp_code_info(v->code)->ran, v->retry_ms);
        free_run(r);
        break;
    case WP_AGENT_QUEUED:
    case WP_AGENT_HOLD:
        break;
    }
}

/* Starts jobs that a free slot or a new configuration allows to start. */
static void start_ready_jobs(WPRunner *owner)
{
    WPAgentDecision v;
    WPJob *j;
    if (owner->starting_jobs)
        return;
    owner->starting_jobs = true;
    while ((j = wp_agent_next_job(owner->agent, now_of(owner), &v)))
        apply_decision(j->user_data, &v);
    owner->starting_jobs = false;
}

/* Sets the tokens of prompt and answer to bill: as the engine reported them,
   else the number of events of a stream, else one call. */
static void usage_of(const WPRun *r, uint32_t *prompt, uint32_t *answer)
{
    const Wp__Start *s = r->job->start;
    *prompt = 0;
    *answer = 0;
    if (r->sse.has_usage) {
        *prompt = r->sse.prompt_tokens;
        *answer = r->sse.answer_tokens;
    } else if (s->stream) {
        *answer = r->sse.events;
    } else if (r->answer_copy &&
               !wp_sse_parse_usage(wp_strn((const char *)r->answer_copy->data,
                                           r->answer_copy->len),
                                   prompt, answer)) {
        *answer = 1; /* non-streaming service: one call */
    }
}

void wp_run_finished(WPRun *r, bool complete)
{
    WPRunner *owner = r->runner;
    Wp__Frame f = WP__FRAME__INIT;
    Wp__End end = WP__END__INIT;
    Wp__Usage usage = WP__USAGE__INIT;
    usage_of(r, &usage.prompt_tokens, &usage.answer_tokens);
    usage.has_prompt_tokens = 1;
    usage.has_answer_tokens = 1;
    end.usage = &usage;
    end.has_whole = 1;
    end.whole = complete;
    end.bill_seq =
        wp_agent_finish_job(owner->agent, now_of(owner), r->job, true, complete,
                            usage.prompt_tokens, usage.answer_tokens);
    f.body_case = WP__FRAME__BODY_END;
    f.end = &end;
    wp_run_send(r, &f);
    free_run(r);
    start_ready_jobs(owner);
}

void wp_run_not_started(WPRun *r, WPCode code, uint32_t retry_ms)
{
    WPRunner *owner = r->runner;
    wp_agent_finish_job(owner->agent, now_of(owner), r->job, false, false, 0,
                        0);
    wp_run_refuse(r, code, WP_RAN_NOT_RUN, retry_ms);
    free_run(r);
    start_ready_jobs(owner);
}

static WPRun *find_run(WPRunner *owner, const WPLink *l, uint64_t stream)
{
    wp_list_each (it, &owner->jobs) {
        WPRun *r = wp_list_item(it, WPRun, node);
        if (r->link == l && r->job->stream_id == stream)
            return r;
    }
    return NULL;
}

/* Ends a run whose caller does not wait for the answer any more. */
static void abandon_run(WPRun *r)
{
    WPRunner *owner = r->runner;
    if (!r->started) {
        wp_agent_abandon_job(owner->agent, now_of(owner), r->job);
        free_run(r);
        return;
    }
    uint32_t prompt, answer;
    bool sent = wp_engine_was_sent(r);
    usage_of(r, &prompt, &answer);
    wp_engine_abort(r);
    wp_agent_finish_job(owner->agent, now_of(owner), r->job, sent, false,
                        prompt, answer);
    free_run(r);
}

static void on_start(WPRunner *owner, WPLink *l, Wp__Frame *f)
{
    WPAgentDecision v;
    Wp__Start *start = f->start;
    f->start = NULL; /* the job takes ownership */
    f->body_case = WP__FRAME__BODY__NOT_SET;
    WPJob *j = wp_agent_start(owner->agent, now_of(owner), start, l->id,
                              f->stream, f->revision, &v);
    apply_decision(new_run(owner, l, j), &v);
    start_ready_jobs(owner);
}

/* Handles the frames of entries: starts and cancels runs, takes in handovers of
   idempotency keys, and widens the flow-control window of a run. */
static void role_frame(void *role, WPLink *l, Wp__Frame *f)
{
    WPRunner *owner = role;
    WPRun *r;
    switch (f->body_case) {
    case WP__FRAME__BODY_START:
        on_start(owner, l, f);
        break;
    case WP__FRAME__BODY_CANCEL:
        r = find_run(owner, l, f->stream);
        if (r)
            abandon_run(r);
        start_ready_jobs(owner);
        break;
    case WP__FRAME__BODY_HANDOVER:
        wp_agent_receive_handover(owner->agent, now_of(owner), f->handover);
        break;
    case WP__FRAME__BODY_WINDOW:
        r = find_run(owner, l, f->stream);
        if (r) {
            r->window += f->window->bytes;
            wp_engine_resume(r);
        }
        break;
    default:
        break;
    }
}

/* A request that may not be repeated runs to its end although nobody will
   read the answer: aborting it half-way would help no one. Other runs of the
   lost link are abandoned. */
static void role_link_down(void *role, WPLink *l)
{
    WPRunner *owner = role;
    wp_list_each_safe (it, tmp, &owner->jobs) {
        WPRun *r = wp_list_item(it, WPRun, node);
        if (r->link != l)
            continue;
        if (r->started && r->job->holds_key) {
            l->in_flight--;
            r->link = NULL;
            r->window = INT64_MAX / 2;
            wp_engine_resume(r);
        } else {
            abandon_run(r);
        }
    }
    start_ready_jobs(owner);
}

static void role_refresh(void *role, WPTime now)
{
    WPRunner *r = role;
    wp_agent_refresh(r->agent, now);
    start_ready_jobs(r);
}

static void role_load(void *role, Wp__Load *out)
{
    wp_agent_load(((WPRunner *)role)->agent, out);
}

static void send_handover(void *arg, const char *addr, const Wp__Handover *h)
{
    WPRunner *r = arg;
    WPLink *l = wp_hub_get_link(wp_host_hub(r->host), addr);
    Wp__Frame f = WP__FRAME__INIT;
    f.body_case = WP__FRAME__BODY_HANDOVER;
    f.handover = (Wp__Handover *)h;
    if (l)
        wp_link_send(l, &f);
}

static void role_tick(void *role, WPTime now)
{
    WPRunner *r = role;
    wp_agent_hand_over_to_joining(r->agent, now, send_handover, r);
    start_ready_jobs(role);
}

static void send_load(void *arg, WPLink *l)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Pong p = WP__PONG__INIT;
    (void)arg;
    f.body_case = WP__FRAME__BODY_PONG;
    f.pong = &p;
    wp_link_send(l, &f);
}

/* Entries are notified directly, because the platform's registry lags
   behind. */
static void role_drain(void *role, WPTime now)
{
    WPRunner *r = role;
    wp_agent_start_drain(r->agent, now);
    wp_agent_hand_over_keys(r->agent, now, send_handover, r);
    wp_hub_each(wp_host_hub(r->host), send_load, NULL);
}

static bool role_idle(void *role)
{
    return wp_list_empty(&((WPRunner *)role)->jobs);
}

static WPBills *role_bills(void *role)
{
    return wp_agent_bills(((WPRunner *)role)->agent);
}

static void send_settled(void *arg, WPLink *l)
{
    WPRunner *r = arg;
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Settled s = WP__SETTLED__INIT;
    s.upto = wp_bills_settled(wp_agent_bills(r->agent));
    f.body_case = WP__FRAME__BODY_SETTLED;
    f.settled = &s;
    wp_link_send(l, &f);
}

static void role_bills_settled(void *role)
{
    WPRunner *r = role;
    wp_hub_each(wp_host_hub(r->host), send_settled, r);
}

static void role_status(void *role, json_t *into)
{
    WPRunner *r = role;
    Wp__Load l;
    wp_agent_load(r->agent, &l);
    json_object_set_new(into, "running", json_integer(l.running));
    json_object_set_new(into, "queued", json_integer(l.queued));
    json_object_set_new(into, "slots", json_integer(l.slots));
    json_object_set_new(into, "requests", json_integer(l.running + l.queued));
}

static const WPRoleOps role_ops = {
    .refresh = role_refresh,
    .on_frame = role_frame,
    .on_link_down = role_link_down,
    .load = role_load,
    .tick = role_tick,
    .drain = role_drain,
    .idle = role_idle,
    .bills = role_bills,
    .bills_settled = role_bills_settled,
    .status = role_status,
};

WPRunner *wp_runner_new(WPHost *h, const Wp__AgentSettings *s, GError **error)
{
    WPRunner *r = g_new0(WPRunner, 1);
    r->host = h;
    r->settings = s;
    wp_list_init(&r->jobs);
    g_queue_init(&r->idle);
    if (!wp_http_parse_target(s->endpoint, &r->endpoint_host,
                              &r->endpoint_port)) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                    "endpoint: expected HOST:PORT");
        g_free(r);
        return NULL;
    }
    r->agent = wp_agent_new(wp_host_node(h), s);
    wp_host_set_role(h, &role_ops, r);
    return r;
}

void wp_runner_free(WPRunner *r)
{
    if (!r)
        return;
    wp_host_set_role(r->host, NULL, NULL);
    wp_list_each_safe (it, tmp, &r->jobs) {
        WPRun *run = wp_list_item(it, WPRun, node);
        run->link = NULL;
        free_run(run);
    }
    wp_engine_close_idle(r);
    wp_agent_free(r->agent);
    g_free(r->endpoint_host);
    g_free(r);
}
