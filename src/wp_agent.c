/* The gate, the queue and the bills of one agent. */
#include "wp_agent.h"
#include "wp_guard.h"
#include "wp_pb.h"

#define STALE_RETRY_MS 1000
#define SETTLING_RETRY_MS 500

struct WPAgent {
    WPNode *node;
    WPPolicy *policy;
    WPQueue *queue;
    WPOnce *once;
    WPBills *bills;
    char **versions;
    uint32_t once_settle_ms, once_skew_ms;
    GHashTable *offered; /* fellow's id -> incarnation that has our keys */
    bool leaving;
    bool off[WP_GUARD_COUNT];
    WPList held;    /* of WPJob */
    WPList refused; /* of WPJob by `hold`: evicted, to be answered */
};

WPAgent *wp_agent_new(WPNode *n, const Wp__AgentSettings *s)
{
    const Wp__Member *self = wp_node_self(n);
    WPOnceRules rules = { s->once_window_s, s->node->once_settle_ms,
                          s->node->once_skew_ms };
    WPAgent *a = g_new0(WPAgent, 1);
    a->node = n;
    a->queue = wp_queue_new(s->slots, s->queue);
    a->once = wp_once_new(&rules);
    a->once_settle_ms = rules.settle_ms;
    a->once_skew_ms = rules.skew_ms;
    a->offered = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    a->bills = wp_bills_new(self->id, self->incarnation, s->node->bill_batch_ms,
                            s->node->bill_limit);
    if (wp_guard_is_disabled(s->node, WP_GUARD_BILL_RETRY))
        wp_bills_set_careless(a->bills);
    a->versions = g_new0(char *, s->n_versions + 1);
    for (size_t i = 0; i < s->n_versions; i++)
        a->versions[i] = g_strdup(s->versions[i]);
    for (int g = 0; g < WP_GUARD_COUNT; g++)
        a->off[g] = wp_guard_is_disabled(s->node, (WPGuard)g);
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
    wp_once_free(a->once);
    g_hash_table_unref(a->offered);
    wp_bills_free(a->bills);
    g_strfreev(a->versions);
    g_free(a);
}

typedef struct Noting {
    WPAgent *agent;
    WPTime now;
} Noting;

static void note_left(void *arg, const WPMemberRow *r)
{
    Noting *n = arg;
    bool left = r->m->leaving || r->m->gone;
    if (left && r->m->role == WP__ROLE__ROLE_AGENT &&
        strcmp(r->m->id, wp_node_self(n->agent->node)->id))
        wp_once_left(n->agent->once, n->now, r->m);
}

void wp_agent_refresh(WPAgent *a, WPTime now)
{
    const WPConfig *c = wp_node_config(a->node);
    const WPMembers *t = wp_node_members(a->node);
    Noting noting = { a, now };
    if (!a->policy || wp_policy_revision(a->policy) != wp_config_revision(c)) {
        wp_policy_unref(a->policy);
        a->policy = wp_policy_new(c);
        wp_node_set_policy(a->node, a->policy);
    }
    wp_members_each(t, note_left, &noting);
    wp_bills_set_writers(a->bills, wp_members_live_count(t));
}

static WPVerdict refuse(WPCode code, uint32_t retry_ms)
{
    return (WPVerdict){ WP_VERDICT_REFUSE, code, retry_ms };
}

static bool served_here(const WPAgent *a, const char *version)
{
    return g_strv_contains((const char *const *)a->versions, version);
}

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

/* Checked when a request comes and again when its turn comes, because the
   configuration may have changed while it waited. */
static WPVerdict check_rules(const WPAgent *a, WPTime now, const Wp__Start *s)
{
    WPVerdict ok = { WP_VERDICT_RUN, WP_OK, 0 };
    const WPWorkspace *ws = wp_policy_workspace(a->policy, s->workspace);
    const WPKind *kind = wp_policy_kind(a->policy, s->kind);
    if (a->off[WP_GUARD_ALLOWED])
        return ok;
    if (!ws || !kind || !served_here(a, s->version) ||
        !version_allowed(a, s, ws, kind))
        return refuse(WP_VERSION_REFUSED, 0);
    int64_t bound_ms = (int64_t)kind->spec->stale_bound_s * WP_MS_PER_S;
    if (bound_ms && !a->off[WP_GUARD_STALE] &&
        wp_node_config_age_ms(a->node, now) > bound_ms)
        return refuse(WP_STALE, STALE_RETRY_MS);
    return ok;
}

static bool needs_key(const WPAgent *a, const Wp__Start *s)
{
    const WPKind *kind = wp_policy_kind(a->policy, s->kind);
    return s->once_key && kind && !kind->spec->repeatable &&
           !a->off[WP_GUARD_ONCE];
}

static WPVerdict check_key(WPAgent *a, WPTime now, WPJob *j)
{
    const Wp__Start *s = j->start;
    const Wp__Member *self = wp_node_self(a->node);
    const WPMembers *t = wp_node_members(a->node);
    WPVerdict ok = { WP_VERDICT_RUN, WP_OK, 0 };
    if (!needs_key(a, s))
        return ok;
    if (!wp_once_is_keeper(a->once, t, self, s->version, s->once_key,
                           (uint64_t)now.wall_ms))
        return refuse(WP_NOT_KEEPER, SETTLING_RETRY_MS);
    if (wp_once_pending(a->once, t, now, self, s->version, s->once_key))
        return refuse(WP_NOT_KEEPER, SETTLING_RETRY_MS);
    uint64_t since = wp_once_since(a->once, t, self, s->version, s->once_key);
    WPCode code =
        wp_once_begin(a->once, now, s->version, s->once_key, s->once_ms, since);
    j->holds_key = code == WP_OK;
    return code == WP_OK ? ok : refuse(code, 0);
}

static void release_key(WPAgent *a, WPTime now, WPJob *j, bool ran)
{
    if (!j->holds_key)
        return;
    j->holds_key = false;
    if (ran)
        wp_once_done(a->once, now, j->start->once_key);
    else
        wp_once_forget(a->once, j->start->once_key);
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

static WPVerdict offer(WPAgent *a, WPTime now, WPJob *j)
{
    WPTicket *evicted;
    WPCode code;
    fill_ticket(a, now, j);
    WPAdmit admit =
        wp_queue_offer(a->queue, now.mono_us, &j->ticket, &code, &evicted);
    if (evicted) {
        WPJob *old = wp_list_item(evicted, WPJob, ticket);
        release_key(a, now, old, false);
        wp_list_append(&a->refused, &old->hold);
    }
    if (admit == WP_ADMIT_REFUSE) {
        release_key(a, now, j, false);
        return refuse(code, wp_queue_retry_ms(a->queue, j->ticket.class_rank));
    }
    j->begun = admit == WP_ADMIT_RUN;
    return (WPVerdict){ j->begun ? WP_VERDICT_RUN : WP_VERDICT_WAIT, WP_OK, 0 };
}

static WPVerdict admit(WPAgent *a, WPTime now, WPJob *j)
{
    if (a->leaving && !a->off[WP_GUARD_LEAVING])
        return refuse(WP_LEAVING, 0);
    if (!wp_node_ready(a->node) || !a->policy)
        return refuse(WP_NOT_READY, SETTLING_RETRY_MS);
    if (j->revision > wp_policy_revision(a->policy) && !a->off[WP_GUARD_HOLD])
        return (WPVerdict){ WP_VERDICT_HOLD, WP_OK, 0 };
    if (wp_bills_full(a->bills))
        return refuse(WP_BILLS_FULL, STALE_RETRY_MS);
    WPVerdict v = check_rules(a, now, j->start);
    if (v.kind == WP_VERDICT_RUN)
        v = check_key(a, now, j);
    return v.kind == WP_VERDICT_RUN ? offer(a, now, j) : v;
}

static void note(WPAgent *a, WPTime now, const WPJob *j, const WPVerdict *v)
{
    WPCounters *c = wp_node_counters(a->node);
    WPEvents *ev = wp_node_events(a->node);
    if (v->kind == WP_VERDICT_RUN) {
        wp_count(c, WP_C_STARTS);
        wp_events_add(ev, now, WP_EVENT_RUN, j->start->request_id, "%s",
                      j->start->version);
    } else if (v->kind == WP_VERDICT_REFUSE) {
        wp_count(c, WP_C_REFUSED);
        c->codes[v->code]++;
        wp_events_add(ev, now, WP_EVENT_REFUSED, j->start->request_id, "%s",
                      wp_code_info(v->code)->code);
    }
}

WPJob *wp_agent_start(WPAgent *a, WPTime now, Wp__Start *start, uint64_t link,
                      uint64_t stream, uint64_t revision, WPVerdict *v)
{
    WPJob *j = g_new0(WPJob, 1);
    j->start = start;
    j->link = link;
    j->stream = stream;
    j->revision = revision;
    j->arrived_us = now.mono_us;
    wp_list_init(&j->hold);
    wp_list_init(&j->ticket.link);
    wp_count(wp_node_counters(a->node), WP_C_REQUESTS);
    *v = admit(a, now, j);
    if (v->kind == WP_VERDICT_HOLD)
        wp_list_append(&a->held, &j->hold);
    note(a, now, j, v);
    return j;
}

void wp_job_free(WPJob *j)
{
    if (!j)
        return;
    wp_list_remove(&j->hold);
    wp_pb_free(j->start);
    g_free(j);
}

static WPJob *next_held(WPAgent *a, WPTime now, WPVerdict *v)
{
    wp_list_each (it, &a->held) {
        WPJob *j = wp_list_item(it, WPJob, hold);
        bool late = now.mono_us - j->arrived_us > WP_HOLD_MS * WP_US_PER_MS;
        bool known = j->revision <= wp_policy_revision(a->policy);
        if (!late && !known)
            continue;
        wp_list_remove(&j->hold);
        *v = known ? admit(a, now, j) : refuse(WP_STALE, STALE_RETRY_MS);
        return j;
    }
    return NULL;
}

static WPJob *next_queued(WPAgent *a, WPTime now, WPVerdict *v)
{
    WPTicket *t = wp_queue_start_next(a->queue, now.mono_us);
    if (!t)
        return NULL;
    WPJob *j = wp_list_item(t, WPJob, ticket);
    *v = check_rules(a, now, j->start);
    if (v->kind == WP_VERDICT_RUN) {
        j->begun = true;
        return j;
    }
    wp_queue_remove(a->queue, now.mono_us, t, false);
    release_key(a, now, j, false);
    return j;
}

WPJob *wp_agent_next(WPAgent *a, WPTime now, WPVerdict *v)
{
    WPJob *j = NULL;
    if (!wp_list_empty(&a->refused)) {
        j = wp_list_item(a->refused.next, WPJob, hold);
        wp_list_remove(&j->hold);
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
        note(a, now, j, v);
    return j;
}

uint64_t wp_agent_ended(WPAgent *a, WPTime now, WPJob *j, bool begun,
                        bool whole, uint32_t prompt_tokens,
                        uint32_t answer_tokens)
{
    const Wp__Start *s = j->start;
    Wp__Bill b = WP__BILL__INIT;
    wp_queue_remove(a->queue, now.mono_us, &j->ticket, whole);
    release_key(a, now, j, begun);
    if (!begun)
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
    b.whole = whole;
    b.entry = s->entry;
    wp_count(wp_node_counters(a->node), WP_C_BILLS);
    wp_events_add(wp_node_events(a->node), now, WP_EVENT_ENDED, s->request_id,
                  "%s %u tokens", whole ? "whole" : "cut", answer_tokens);
    return wp_bills_add(a->bills, now, &b);
}

void wp_agent_dropped(WPAgent *a, WPTime now, WPJob *j)
{
    bool held = !wp_list_empty(&j->hold);
    if (!held && !wp_list_empty(&j->ticket.link))
        wp_queue_remove(a->queue, now.mono_us, &j->ticket, false);
    release_key(a, now, j, false);
}

typedef struct Passing {
    const WPAgent *agent;
    const char *successor;
    uint64_t now_ms;
    uint32_t settle_ms;
    GPtrArray *keys; /* of Wp__OnceKey */
} Passing;

static void pass_key(void *arg, const char *version, const char *key, bool done)
{
    Passing *p = arg;
    const WPMemberRow *r = wp_once_keeper(
        wp_node_members(p->agent->node), version, key, p->now_ms, p->settle_ms);
    if (!r || strcmp(r->m->id, p->successor))
        return;
    Wp__OnceKey *k = g_new0(Wp__OnceKey, 1);
    wp__once_key__init(k);
    k->key = (char *)key;
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

/* The keys that fall to `r` at the time given, in a message. */
static void pass_to(WPAgent *a, const WPMemberRow *r, uint64_t at_ms,
                    WPHandOver fn, void *arg)
{
    const Wp__Member *self = wp_node_self(a->node);
    Wp__Handover h = WP__HANDOVER__INIT;
    Passing p = { a, r->m->id, at_ms, a->once_settle_ms,
                  g_ptr_array_new_with_free_func(g_free) };
    wp_once_each(a->once, pass_key, &p);
    h.agent = self->id;
    h.incarnation = self->incarnation;
    h.keys = (Wp__OnceKey **)p.keys->pdata;
    h.n_keys = p.keys->len;
    fn(arg, r->addr, &h);
    g_ptr_array_unref(p.keys);
}

static bool is_fellow(const WPAgent *a, const Wp__Member *m)
{
    return m->role == WP__ROLE__ROLE_AGENT && !m->leaving &&
           strcmp(m->id, wp_node_self(a->node)->id) && shares_version(a, m);
}

void wp_agent_hand_over(WPAgent *a, WPTime now, WPHandOver fn, void *arg)
{
    const WPMembers *t = wp_node_members(a->node);
    for (unsigned i = 0; i < wp_members_live_count(t); i++) {
        const WPMemberRow *r = wp_members_live_at(t, i);
        if (is_fellow(a, r->m) && !a->off[WP_GUARD_HANDOVER])
            pass_to(a, r, (uint64_t)now.wall_ms, fn, arg);
    }
}

/* Notes that `m` is served; false when it was before. */
static bool first_offer(WPAgent *a, const Wp__Member *m)
{
    uint64_t *n = g_hash_table_lookup(a->offered, m->id);
    if (n && *n == m->incarnation)
        return false;
    n = g_new(uint64_t, 1);
    *n = m->incarnation;
    g_hash_table_replace(a->offered, g_strdup(m->id), n);
    return true;
}

/* From `skew` before a fellow settles this agent does not run its keys any
   more; from then on the fellow may have them. */
void wp_agent_offer(WPAgent *a, WPTime now, WPHandOver fn, void *arg)
{
    const WPMembers *t = wp_node_members(a->node);
    uint64_t at_ms = (uint64_t)now.wall_ms + a->once_skew_ms;
    if (a->leaving || a->off[WP_GUARD_HANDOVER])
        return;
    for (unsigned i = 0; i < wp_members_live_count(t); i++) {
        const WPMemberRow *r = wp_members_live_at(t, i);
        if (r->m->incarnation + a->once_settle_ms <= at_ms &&
            is_fellow(a, r->m) && first_offer(a, r->m))
            pass_to(a, r, at_ms, fn, arg);
    }
}

void wp_agent_handed(WPAgent *a, WPTime now, const Wp__Handover *h)
{
    for (size_t i = 0; i < h->n_keys; i++)
        wp_once_take(a->once, now, h->keys[i]->key, h->keys[i]->done);
    wp_once_handed(a->once, h->agent, h->incarnation);
}

void wp_agent_leave(WPAgent *a, WPTime now)
{
    a->leaving = true;
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
    out->has_leaving = a->leaving;
    out->leaving = a->leaving;
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
