/* Admission control, the queue and the bills of one agent. */
#include "wp_agent.h"
#include "wp_guard.h"
#include "wp_pb.h"

/* Suggested delays of a retry after a refusal: by then the configuration or the
   store may be up to date again, or a key may have a settled owner. */
#define STALE_RETRY_MS 1000
#define SETTLING_RETRY_MS 500

struct WPAgent {
    WPNode *node;
    WPPolicy *policy;
    WPQueue *queue;
    WPIdempotency *idempotency;
    WPBills *bills;
    char **versions;
    uint32_t once_settle_ms, once_skew_ms;
    /* agent's id -> incarnation that has our keys */
    GHashTable *handed_over_to;
    bool draining;
    bool guard_disabled[WP_GUARD_COUNT]; /* guards that a scenario disabled */
    WPList held;    /* of WPJob by `hold_link`: waiting for the configuration */
    WPList refused; /* the same: evicted from the queue, to be answered */
};

WPAgent *wp_agent_new(WPNode *n, const Wp__AgentSettings *s)
{
    const Wp__Member *self = wp_node_self(n);
    WPIdempotencyRules rules = { s->once_window_s, s->node->once_settle_ms,
                                 s->node->once_skew_ms };
    WPAgent *a = g_new0(WPAgent, 1);
    a->node = n;
    a->queue = wp_queue_new(s->slots, s->queue);
    a->idempotency = wp_idempotency_new(&rules);
    a->once_settle_ms = rules.settle_ms;
    a->once_skew_ms = rules.skew_ms;
    a->handed_over_to =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    a->bills = wp_bills_new(self->id, self->incarnation, s->node->bill_batch_ms,
                            s->node->bill_limit);
    if (wp_guard_is_disabled(s->node, WP_GUARD_BILL_RETRY))
        wp_bills_set_no_retry(a->bills);
    a->versions = g_new0(char *, s->n_versions + 1);
    for (size_t i = 0; i < s->n_versions; i++)
        a->versions[i] = g_strdup(s->versions[i]);
    for (int g = 0; g < WP_GUARD_COUNT; g++)
        a->guard_disabled[g] = wp_guard_is_disabled(s->node, (WPGuard)g);
    wp_list_init(&a->held);
    wp_list_init(&a->refused);
    return a;
}

void wp_agent_free(WPAgent *a)
{
    if (!a)
        return;
    wp_policy_unref(a->policy);
    wp_queue_free(a->queue);
    wp_idempotency_free(a->idempotency);
    g_hash_table_unref(a->handed_over_to);
    wp_bills_free(a->bills);
    g_strfreev(a->versions);
    g_free(a);
}

typedef struct RefreshContext {
    WPAgent *agent;
    WPTime now;
} RefreshContext;

static void note_departed(void *arg, const WPMemberRow *r)
{
    RefreshContext *c = arg;
    bool departed = r->m->leaving || r->m->gone;
    if (departed && r->m->role == WP__ROLE__ROLE_AGENT &&
        strcmp(r->m->id, wp_node_self(c->agent->node)->id))
        wp_idempotency_note_departed(c->agent->idempotency, c->now, r->m);
}

void wp_agent_refresh(WPAgent *a, WPTime now)
{
    const WPConfig *c = wp_node_config(a->node);
    const WPMembers *t = wp_node_members(a->node);
    RefreshContext context = { a, now };
    if (!a->policy || wp_policy_revision(a->policy) != wp_config_revision(c)) {
        wp_policy_unref(a->policy);
        a->policy = wp_policy_new(c);
        wp_node_set_policy(a->node, a->policy);
    }
    wp_members_each(t, note_departed, &context);
    wp_bills_set_writers(a->bills, wp_members_live_count(t));
}

static WPAgentDecision refuse(WPCode code, uint32_t retry_ms)
{
    return (WPAgentDecision){ WP_AGENT_REFUSE, code, retry_ms };
}

static bool served_here(const WPAgent *a, const char *version)
{
    return g_strv_contains((const char *const *)a->versions, version);
}

/* Whether the configuration lets a request of this workspace, kind and labels
   go to the version that it was sent for. */
static bool version_allowed(const WPAgent *a, const Wp__Start *s,
                            const WPWorkspace *ws, const WPKind *kind)
{
    const WPVersion *v = wp_policy_version(a->policy, s->version);
    WPLabels *labels = wp_labels_new();
    WPVersionSet set;
    for (size_t i = 0; i < s->n_labels; i++)
        wp_labels_set(labels, wp_str(s->labels[i]->key),
                      wp_str(s->labels[i]->value));
    wp_policy_allowed(a->policy, ws, kind, labels, &set);
    wp_labels_free(labels);
    return v && wp_version_set_has(&set, v->index);
}

/* Whether the configuration allows the request here. Checked when it arrives
   and again when it leaves the queue, because the configuration may have
   changed while it waited. */
static WPAgentDecision check_rules(const WPAgent *a, WPTime now,
                                   const Wp__Start *s)
{
    WPAgentDecision ok = { WP_AGENT_RUN, WP_OK, 0 };
    const WPWorkspace *ws = wp_policy_workspace(a->policy, s->workspace);
    const WPKind *kind = wp_policy_kind(a->policy, s->kind);
    if (a->guard_disabled[WP_GUARD_ALLOWED])
        return ok;
    if (!ws || !kind || !served_here(a, s->version) ||
        !version_allowed(a, s, ws, kind))
        return refuse(WP_VERSION_REFUSED, 0);
    int64_t bound_ms = (int64_t)kind->spec->stale_bound_s * WP_MS_PER_S;
    if (bound_ms && !a->guard_disabled[WP_GUARD_STALE] &&
        wp_node_config_age_ms(a->node, now) > bound_ms)
        return refuse(WP_STALE, STALE_RETRY_MS);
    return ok;
}

static bool needs_key(const WPAgent *a, const Wp__Start *s)
{
    const WPKind *kind = wp_policy_kind(a->policy, s->kind);
    return s->once_key && kind && !kind->spec->repeatable &&
           !a->guard_disabled[WP_GUARD_ONCE];
}

/* Checks and records the idempotency key of a request that needs one. Refuses
   if another agent owns the key, if the handover of its records is still
   pending, or if the key was used before; `holds_key` tells that the key is
   recorded as running for this job. */
static WPAgentDecision check_key(WPAgent *a, WPTime now, WPJob *j)
{
    const Wp__Start *s = j->start;
    const Wp__Member *self = wp_node_self(a->node);
    const WPMembers *t = wp_node_members(a->node);
    WPAgentDecision ok = { WP_AGENT_RUN, WP_OK, 0 };
    if (!needs_key(a, s))
        return ok;
    if (!wp_idempotency_is_owner(a->idempotency, t, self, s->version,
                                 s->once_key, (uint64_t)now.wall_ms))
        return refuse(WP_NOT_KEEPER, SETTLING_RETRY_MS);
    if (wp_idempotency_handover_pending(a->idempotency, t, now, self,
                                        s->version, s->once_key))
        return refuse(WP_NOT_KEEPER, SETTLING_RETRY_MS);
    uint64_t since = wp_idempotency_owner_since(a->idempotency, t, self,
                                                s->version, s->once_key);
    WPCode code = wp_idempotency_begin(a->idempotency, now, s->version,
                                       s->once_key, s->once_ms, since);
    j->holds_key = code == WP_OK;
    return code == WP_OK ? ok : refuse(code, 0);
}

static void release_key(WPAgent *a, WPTime now, WPJob *j, bool ran)
{
    if (!j->holds_key)
        return;
    j->holds_key = false;
    if (ran)
        wp_idempotency_done(a->idempotency, now, j->start->once_key);
    else
        wp_idempotency_forget(a->idempotency, j->start->once_key);
}

static void fill_ticket(const WPAgent *a, WPTime now, WPJob *j)
{
    const Wp__Start *s = j->start;
    const WPKind *kind = wp_policy_kind(a->policy, s->kind);
    const WPWorkspace *ws = wp_policy_workspace(a->policy, s->workspace);
    WPTicket *t = &j->ticket;
    g_strlcpy(t->workspace, s->workspace, sizeof(t->workspace));
    t->weight = ws && ws->spec->weight > 0 ? ws->spec->weight : 1;
    t->class_rank = kind ? kind->spec->class_rank : 1;
    t->relative_work = 1;
    t->deadline_us = s->has_budget_ms
                         ? now.mono_us + (int64_t)s->budget_ms * WP_US_PER_MS
                         : INT64_MAX;
}

/* Offers the job to the queue. If that refuses it, releases its key; if another
   job was evicted for it, releases that one's key and adds it to `refused`. */
static WPAgentDecision enqueue(WPAgent *a, WPTime now, WPJob *j)
{
    WPTicket *evicted;
    WPCode code;
    fill_ticket(a, now, j);
    WPAdmit admit =
        wp_queue_offer(a->queue, now.mono_us, &j->ticket, &code, &evicted);
    if (evicted) {
        WPJob *old = wp_list_item(evicted, WPJob, ticket);
        release_key(a, now, old, false);
        wp_list_append(&a->refused, &old->hold_link);
    }
    if (admit == WP_ADMIT_REFUSE) {
        release_key(a, now, j, false);
        return refuse(code, wp_queue_retry_ms(a->queue, j->ticket.class_rank));
    }
    j->started = admit == WP_ADMIT_RUN;
    return (WPAgentDecision){ j->started ? WP_AGENT_RUN : WP_AGENT_QUEUED,
                              WP_OK, 0 };
}

/* Decides on a job: refuses it, holds it until the configuration that its entry
   used is known here, or checks the rules and its key and offers it to the
   queue. */
static WPAgentDecision admit(WPAgent *a, WPTime now, WPJob *j)
{
    if (a->draining && !a->guard_disabled[WP_GUARD_LEAVING])
        return refuse(WP_LEAVING, 0);
    if (!wp_node_ready(a->node) || !a->policy)
        return refuse(WP_NOT_READY, SETTLING_RETRY_MS);
    if (j->config_revision > wp_policy_revision(a->policy) &&
        !a->guard_disabled[WP_GUARD_HOLD])
        return (WPAgentDecision){ WP_AGENT_HOLD, WP_OK, 0 };
    if (wp_bills_full(a->bills))
        return refuse(WP_BILLS_FULL, STALE_RETRY_MS);
    WPAgentDecision v = check_rules(a, now, j->start);
    if (v.kind == WP_AGENT_RUN)
        v = check_key(a, now, j);
    return v.kind == WP_AGENT_RUN ? enqueue(a, now, j) : v;
}

static void count_decision(WPAgent *a, WPTime now, const WPJob *j,
                           const WPAgentDecision *v)
{
    WPCounters *c = wp_node_counters(a->node);
    WPEvents *ev = wp_node_events(a->node);
    if (v->kind == WP_AGENT_RUN) {
        wp_count(c, WP_C_STARTS);
        wp_events_add(ev, now, WP_EVENT_RUN, j->start->request_id, "%s",
                      j->start->version);
    } else if (v->kind == WP_AGENT_REFUSE) {
        wp_count(c, WP_C_REFUSED);
        c->codes[v->code]++;
        wp_events_add(ev, now, WP_EVENT_REFUSED, j->start->request_id, "%s",
                      wp_code_info(v->code)->code);
    }
}

WPJob *wp_agent_start(WPAgent *a, WPTime now, Wp__Start *start, uint64_t link,
                      uint64_t stream, uint64_t revision, WPAgentDecision *v)
{
    WPJob *j = g_new0(WPJob, 1);
    j->start = start;
    j->link_id = link;
    j->stream_id = stream;
    j->config_revision = revision;
    j->arrived_us = now.mono_us;
    wp_list_init(&j->hold_link);
    wp_list_init(&j->ticket.link);
    wp_count(wp_node_counters(a->node), WP_C_REQUESTS);
    *v = admit(a, now, j);
    if (v->kind == WP_AGENT_HOLD)
        wp_list_append(&a->held, &j->hold_link);
    count_decision(a, now, j, v);
    return j;
}

void wp_job_free(WPJob *j)
{
    if (!j)
        return;
    wp_list_remove(&j->hold_link);
    wp_pb_free(j->start);
    g_free(j);
}

/* Returns the first held job whose configuration is known now, with the
   decision on it, or that has waited for longer than WP_CONFIG_WAIT_MS, with a
   refusal; NULL if there is none. */
static WPJob *next_held(WPAgent *a, WPTime now, WPAgentDecision *v)
{
    wp_list_each (it, &a->held) {
        WPJob *j = wp_list_item(it, WPJob, hold_link);
        bool late =
            now.mono_us - j->arrived_us > WP_CONFIG_WAIT_MS * WP_US_PER_MS;
        bool known = j->config_revision <= wp_policy_revision(a->policy);
        if (!late && !known)
            continue;
        wp_list_remove(&j->hold_link);
        *v = known ? admit(a, now, j) : refuse(WP_STALE, STALE_RETRY_MS);
        return j;
    }
    return NULL;
}

/* Returns the queued job whose turn it is, NULL if there is none. The rules may
   have changed while it waited: `v` then refuses it, and its key is released.
 */
static WPJob *next_queued(WPAgent *a, WPTime now, WPAgentDecision *v)
{
    WPTicket *t = wp_queue_start_next(a->queue, now.mono_us);
    if (!t)
        return NULL;
    WPJob *j = wp_list_item(t, WPJob, ticket);
    *v = check_rules(a, now, j->start);
    if (v->kind == WP_AGENT_RUN) {
        j->started = true;
        return j;
    }
    wp_queue_remove(a->queue, now.mono_us, t, false);
    release_key(a, now, j, false);
    return j;
}

WPJob *wp_agent_next_job(WPAgent *a, WPTime now, WPAgentDecision *v)
{
    WPJob *j = NULL;
    if (!wp_list_empty(&a->refused)) {
        j = wp_list_item(a->refused.next, WPJob, hold_link);
        wp_list_remove(&j->hold_link);
        *v = refuse(WP_OVERLOADED,
                    wp_queue_retry_ms(a->queue, j->ticket.class_rank));
    }
    if (!j) {
        WPTicket *t = wp_queue_pop_late(a->queue, now.mono_us);
        if (t) {
            j = wp_list_item(t, WPJob, ticket);
            release_key(a, now, j, false);
            *v = refuse(WP_LATE, wp_queue_retry_ms(a->queue, t->class_rank));
        }
    }
    if (!j)
        j = next_held(a, now, v);
    if (!j)
        j = next_queued(a, now, v);
    if (j)
        count_decision(a, now, j, v);
    return j;
}

uint64_t wp_agent_finish_job(WPAgent *a, WPTime now, WPJob *j, bool ran,
                             bool complete, uint32_t prompt_tokens,
                             uint32_t answer_tokens)
{
    const Wp__Start *s = j->start;
    Wp__Bill b = WP__BILL__INIT;
    wp_queue_remove(a->queue, now.mono_us, &j->ticket, complete);
    release_key(a, now, j, ran);
    if (!ran)
        return 0;
    b.request_id = s->request_id;
    b.workspace = s->workspace;
    b.kind = s->kind;
    b.version = s->version;
    b.leg = s->leg;
    b.has_step = s->has_step;
    b.step = s->step;
    b.prompt_tokens = prompt_tokens;
    b.answer_tokens = answer_tokens;
    b.has_whole = 1;
    b.whole = complete;
    b.entry = s->entry;
    wp_count(wp_node_counters(a->node), WP_C_BILLS);
    wp_events_add(wp_node_events(a->node), now, WP_EVENT_ENDED, s->request_id,
                  "%s %u tokens", complete ? "whole" : "cut", answer_tokens);
    return wp_bills_add(a->bills, now, &b);
}

void wp_agent_abandon_job(WPAgent *a, WPTime now, WPJob *j)
{
    bool held = !wp_list_empty(&j->hold_link);
    if (!held && !wp_list_empty(&j->ticket.link))
        wp_queue_remove(a->queue, now.mono_us, &j->ticket, false);
    release_key(a, now, j, false);
}

typedef struct HandoverContext {
    const WPAgent *agent;
    const char *successor;
    uint64_t now_ms;
    GPtrArray *keys; /* of Wp__OnceKey */
} HandoverContext;

static bool is_owner_at(const HandoverContext *p, const char *version,
                        const char *key, uint64_t at_ms)
{
    const WPMemberRow *r =
        wp_idempotency_owner(wp_node_members(p->agent->node), version, key,
                             at_ms, p->agent->once_settle_ms);
    return r && !strcmp(r->m->id, p->successor);
}

/* Whether the successor owns the key, or is about to: the present owner may
   have handed its keys over to an agent that settles within `once_skew_ms`, by
   a clock that is ahead by as much. */
static bool needs_key_soon(const HandoverContext *p, const char *version,
                           const char *key)
{
    bool needs = false;
    for (unsigned i = 0; i <= 2; i++)
        needs |= is_owner_at(p, version, key,
                             p->now_ms + i * p->agent->once_skew_ms);
    return needs;
}

/* The same for a key of any of this agent's versions. */
static bool needs_key_of_any_version(const HandoverContext *p, const char *key)
{
    bool needs = false;
    for (char **v = p->agent->versions; *v; v++)
        needs |= needs_key_soon(p, *v, key);
    return needs;
}

/* Agents of earlier releases hand keys over without their versions. */
static void add_key(void *arg, const char *version, const char *key, bool done)
{
    HandoverContext *p = arg;
    if (*version ? !needs_key_soon(p, version, key)
                 : !needs_key_of_any_version(p, key))
        return;
    Wp__OnceKey *k = g_new0(Wp__OnceKey, 1);
    wp__once_key__init(k);
    k->key = (char *)key;
    k->version = (char *)version;
    k->done = done;
    g_ptr_array_add(p->keys, k);
}

static bool shares_version(const WPAgent *a, const Wp__Member *m)
{
    for (size_t i = 0; i < m->n_versions; i++)
        if (served_here(a, m->versions[i]))
            return true;
    return false;
}

/* Sends the keys that `r` owns at the wall time `at_ms`, in one message. */
static void send_handover(WPAgent *a, const WPMemberRow *r, uint64_t at_ms,
                          WPHandoverFn fn, void *arg)
{
    const Wp__Member *self = wp_node_self(a->node);
    Wp__Handover h = WP__HANDOVER__INIT;
    HandoverContext p = { a, r->m->id, at_ms,
                          g_ptr_array_new_with_free_func(g_free) };
    wp_idempotency_each(a->idempotency, add_key, &p);
    h.agent = self->id;
    h.incarnation = self->incarnation;
    h.keys = (Wp__OnceKey **)p.keys->pdata;
    h.n_keys = p.keys->len;
    fn(arg, r->addr, &h);
    g_ptr_array_unref(p.keys);
}

static bool is_peer_agent(const WPAgent *a, const Wp__Member *m)
{
    return m->role == WP__ROLE__ROLE_AGENT && !m->leaving &&
           strcmp(m->id, wp_node_self(a->node)->id) && shares_version(a, m);
}

void wp_agent_hand_over_keys(WPAgent *a, WPTime now, WPHandoverFn fn, void *arg)
{
    const WPMembers *t = wp_node_members(a->node);
    for (unsigned i = 0; i < wp_members_live_count(t); i++) {
        const WPMemberRow *r = wp_members_live_at(t, i);
        if (is_peer_agent(a, r->m) && !a->guard_disabled[WP_GUARD_HANDOVER])
            send_handover(a, r, (uint64_t)now.wall_ms, fn, arg);
    }
}

/* Notes that this incarnation of `m` gets its keys; returns false if it has
   them already. */
static bool mark_handed_over(WPAgent *a, const Wp__Member *m)
{
    uint64_t *n = g_hash_table_lookup(a->handed_over_to, m->id);
    if (n && *n == m->incarnation)
        return false;
    n = g_new(uint64_t, 1);
    *n = m->incarnation;
    g_hash_table_replace(a->handed_over_to, g_strdup(m->id), n);
    return true;
}

/* From `once_skew_ms` before another agent settles, this one no longer runs
   requests whose keys that agent will own (wp_idempotency_is_owner()), so from
   then on they can be handed over. */
void wp_agent_hand_over_to_joining(WPAgent *a, WPTime now, WPHandoverFn fn,
                                   void *arg)
{
    const WPMembers *t = wp_node_members(a->node);
    uint64_t at_ms = (uint64_t)now.wall_ms + a->once_skew_ms;
    if (a->draining || a->guard_disabled[WP_GUARD_HANDOVER])
        return;
    for (unsigned i = 0; i < wp_members_live_count(t); i++) {
        const WPMemberRow *r = wp_members_live_at(t, i);
        if (r->m->incarnation + a->once_settle_ms <= at_ms &&
            is_peer_agent(a, r->m) && mark_handed_over(a, r->m))
            send_handover(a, r, at_ms, fn, arg);
    }
}

void wp_agent_receive_handover(WPAgent *a, WPTime now, const Wp__Handover *h)
{
    for (size_t i = 0; i < h->n_keys; i++)
        wp_idempotency_add_handed_over(
            a->idempotency, now, h->keys[i]->version ? h->keys[i]->version : "",
            h->keys[i]->key, h->keys[i]->done);
    wp_idempotency_note_handover(a->idempotency, h->agent, h->incarnation);
}

void wp_agent_start_drain(WPAgent *a, WPTime now)
{
    a->draining = true;
    wp_node_drain(a->node, now);
}

void wp_agent_load(const WPAgent *a, Wp__Load *out)
{
    wp__load__init(out);
    out->running = wp_queue_running(a->queue);
    out->queued = wp_queue_waiting(a->queue);
    out->slots = wp_queue_slots(a->queue);
    out->has_service_us = 1;
    out->service_us = (uint32_t)wp_queue_service_us(a->queue);
    out->has_leaving = a->draining;
    out->leaving = a->draining;
}

bool wp_agent_idle(const WPAgent *a)
{
    return !wp_queue_running(a->queue) && !wp_queue_waiting(a->queue) &&
           wp_list_empty(&a->held);
}

WPBills *wp_agent_bills(WPAgent *a)
{
    return a->bills;
}

WPQueue *wp_agent_queue(WPAgent *a)
{
    return a->queue;
}

WPPolicy *wp_agent_policy(WPAgent *a)
{
    return a->policy;
}
