/* The course of a request through the entry. */
#include "wp_entry_int.h"

WPEntry *wp_entry_new(WPNode *n, const Wp__EntrySettings *s, uint32_t seed,
                      GError **error)
{
    const WPChooser *chooser = wp_chooser(s->choose);
    WPBalancer *balancer = wp_balancer_new(s->balance, seed);
    if (!chooser || !balancer) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT, "%s: unknown policy '%s'",
                    chooser ? "balance" : "choose",
                    chooser ? s->balance : s->choose);
        wp_balancer_free(balancer);
        return NULL;
    }
    const Wp__Member *self = wp_node_self(n);
    WPEntry *e = g_new0(WPEntry, 1);
    e->node = n;
    e->chooser = chooser;
    e->balancer = balancer;
    e->rand = g_rand_new_with_seed(seed + 1);
    e->retry_share = s->retry_share;
    e->retry_tokens = WP_RETRY_BURST;
    e->once_settle_ms = s->node->once_settle_ms;
    e->zone = g_strdup(s->node->zone);
    e->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
    e->all_endpoints = g_ptr_array_new();
    e->traffic = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    e->withdrawn = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    e->bills = wp_bills_new(self->id, self->incarnation, s->node->bill_batch_ms,
                            s->node->bill_limit);
    wp_list_init(&e->bill_copies);
    wp_bill_backup_init(e);
    if (wp_guard_is_disabled(s->node, WP_GUARD_BILL_RETRY))
        wp_bills_set_no_retry(e->bills);
    for (int g = 0; g < WP_GUARD_COUNT; g++)
        e->guard_disabled[g] = wp_guard_is_disabled(s->node, (WPGuard)g);
    return e;
}

void wp_entry_free(WPEntry *e)
{
    if (!e)
        return;
    wp_list_each_safe (it, tmp, &e->bill_copies)
        wp_bill_copy_free(wp_list_item(it, WPBillCopy, link));
    wp_bill_backup_end(e);
    for (guint i = 0; i < e->all_endpoints->len; i++)
        wp_pools_free_endpoint(e->all_endpoints->pdata[i]);
    wp_pools_free(e);
    wp_bills_free(e->bills);
    g_hash_table_unref(e->withdrawn);
    g_hash_table_unref(e->traffic);
    g_hash_table_unref(e->endpoints);
    g_ptr_array_unref(e->all_endpoints);
    g_free(e->bounds);
    g_free(e->zone);
    wp_policy_unref(e->policy);
    g_rand_free(e->rand);
    wp_balancer_free(e->balancer);
    g_free(e);
}

/* The ratings of a version are forgotten when an operator ends its withdrawal,
   so that older ratings cannot overrule that decision. */
static void update_withdrawals(WPEntry *e)
{
    for (unsigned i = 0; i < wp_policy_versions(e->policy); i++) {
        const Wp__Version *v = wp_policy_version_at(e->policy, i)->spec;
        bool was = g_hash_table_contains(e->withdrawn, v->name);
        if (v->withdrawn && !was)
            g_hash_table_add(e->withdrawn, g_strdup(v->name));
        if (v->withdrawn || !was)
            continue;
        g_hash_table_remove(e->withdrawn, v->name);
        wp_quality_forget(wp_node_quality(e->node), v->name);
    }
}

void wp_entry_refresh(WPEntry *e, WPTime now)
{
    const WPConfig *c = wp_node_config(e->node);
    if (!e->policy || wp_policy_revision(e->policy) != wp_config_revision(c)) {
        WPPolicy *old = e->policy;
        e->policy = wp_policy_new_with_past(c, old);
        wp_policy_unref(old);
        wp_node_set_policy(e->node, e->policy);
        update_withdrawals(e);
    }
    g_free(e->bounds);
    e->bounds = wp_quality_table(wp_node_quality(e->node), e->policy);
    wp_pools_rebuild(e, now);
    wp_bills_set_writers(e->bills,
                         wp_members_live_count(wp_node_members(e->node)));
    wp_entry_take_over_bills(e, now);
}

WPPolicy *wp_entry_policy(WPEntry *e)
{
    return e->policy;
}

WPBills *wp_entry_bills(WPEntry *e)
{
    return e->bills;
}

const WPBound *wp_entry_bounds(const WPEntry *e)
{
    return e->bounds;
}

/* Returns a request with a new id and the parameters' values; it takes over the
   labels. One that is not repeatable and has no idempotency key gets its id as
   the key. */
static WPRequest *new_request(WPEntry *e, WPTime now,
                              const WPRequestParams *params)
{
    const Wp__Kind *k = params->kind->spec;
    uint32_t deadline =
        params->deadline_ms ? params->deadline_ms : k->deadline_ms;
    WPRequest *r = g_new0(WPRequest, 1);
    wp_uuid7(r->id, (uint64_t)now.wall_ms, e->rand);
    r->workspace = g_strdup(params->workspace->spec->name);
    r->kind = g_strdup(k->name);
    r->labels = params->labels;
    r->repeatable = k->repeatable;
    r->strict = k->strict;
    r->begun_us = now.mono_us;
    r->deadline_us = now.mono_us + (int64_t)deadline * WP_US_PER_MS;
    r->prompt_tokens = params->prompt_tokens;
    r->answer_tokens = params->answer_tokens;
    r->affinity =
        params->session_id.n ? wp_hash(params->session_id, 5) : params->prefix;
    r->model = g_strdup(params->model);
    r->service = g_strdup(params->service);
    if (params->session_token.n)
        r->session_token =
            g_strndup(params->session_token.p, params->session_token.n);
    if (params->session_id.n)
        r->session_id = g_strndup(params->session_id.p, params->session_id.n);
    if (params->idempotency_key.n) {
        /* Two workspaces may use the same key. */
        r->idempotency_key = g_strdup_printf("%s/%.*s", r->workspace,
                                             (int)params->idempotency_key.n,
                                             params->idempotency_key.p);
        r->key_issued_ms = wp_uuid7_ms(params->idempotency_key);
    } else if (!k->repeatable) {
        r->idempotency_key = g_strdup_printf("%s/%s", r->workspace, r->id);
        r->key_issued_ms = wp_uuid7_ms(wp_str(r->id));
    }
    return r;
}

void wp_request_free(WPRequest *r)
{
    if (!r)
        return;
    wp_labels_free(r->labels);
    g_free(r->workspace);
    g_free(r->kind);
    g_free(r->idempotency_key);
    g_free(r->model);
    g_free(r->service);
    g_free(r->session_token);
    g_free(r->session_id);
    g_free(r->version);
    g_free(r->escalation_version);
    g_free(r->new_session_token);
    g_free(r);
}

/* Counts the outcome of a finished request in the metrics, and adds an event.
 */
static void count_final(WPEntry *e, WPTime now, const WPRequest *r, WPCode code)
{
    WPCounters *c = wp_node_counters(e->node);
    c->codes[code]++;
    if (code == WP_OK) {
        wp_count(c, WP_C_ANSWERED);
        wp_histogram_add(&c->whole_answer, now.mono_us - r->begun_us);
        wp_events_add(wp_node_events(e->node), now, WP_EVENT_ENDED, r->id, "%s",
                      r->version);
        return;
    }
    bool refused = wp_code_info(code)->ran == WP_RAN_NOT_RUN;
    wp_count(c, refused ? WP_C_REFUSED : WP_C_FAILED);
    wp_events_add(wp_node_events(e->node), now,
                  refused ? WP_EVENT_REFUSED : WP_EVENT_FAILED, r->id, "%s",
                  wp_code_info(code)->code);
}

/* Completes a final action: once some attempt may have run, the request may
   have run, even if the last attempt was refused without running, and it has a
   bill. */
static WPEntryAction finish(WPEntry *e, WPTime now, WPRequest *r,
                            WPEntryAction action)
{
    if (action.kind != WP_ENTRY_FAIL)
        return action;
    if (r->maybe_ran && wp_code_info(action.code)->ran == WP_RAN_NOT_RUN)
        action = wp_entry_fail(WP_ENDPOINT_FAILED, 0);
    if (r->maybe_ran && !r->billed_by_agent)
        wp_entry_add_bill(e, now, r);
    count_final(e, now, r, action.code);
    return action;
}

WPRequest *wp_entry_begin(WPEntry *e, WPTime now, const WPRequestParams *params,
                          WPEntryAction *action)
{
    WPRequest *r = new_request(e, now, params);
    wp_count(wp_node_counters(e->node), WP_C_REQUESTS);
    wp_events_add(wp_node_events(e->node), now, WP_EVENT_RECEIVED, r->id,
                  "%s %s", r->workspace, r->kind);
    wp_workspace_traffic_count(e, r->workspace);
    e->retry_tokens = MIN(e->retry_tokens + e->retry_share, WP_RETRY_BURST);
    WPCode code =
        wp_bills_full(e->bills) ? WP_BILLS_FULL : wp_plan_version(e, now, r);
    *action =
        code == WP_OK ? wp_plan_attempt(e, now, r) : wp_entry_fail(code, 0);
    if (code == WP_BILLS_FULL)
        action->retry_after_ms = WP_NO_ENDPOINT_RETRY_MS;
    finish(e, now, r, *action);
    return r;
}

/* Retries are limited to a share of the requests, so that they cannot multiply
   a burst. `is_free`: this one takes nothing from that budget. */
static bool may_retry(WPEntry *e, const WPRequest *r, WPTime now, bool is_free)
{
    if (r->n_tried >= WP_REQUEST_ATTEMPTS_MAX || now.mono_us >= r->deadline_us)
        return false;
    if (is_free)
        return true;
    if (e->retry_tokens < 1)
        return false;
    if (e->retry_tokens < WP_RETRY_RESERVE &&
        wp_workspace_over_share(e, r->workspace))
        return false;
    e->retry_tokens -= 1;
    return true;
}

/* Whether the refusal is a redirect: the request has to go to another agent,
   not that there is no room. These cannot multiply, so a retry after one takes
   nothing from the retry budget. */
static bool is_redirect(WPCode code)
{
    return code == WP_LEAVING || code == WP_NOT_KEEPER ||
           code == WP_VERSION_REFUSED;
}

/* Chooses again under the newest configuration and table of boxes. */
static WPEntryAction retry(WPEntry *e, WPTime now, WPRequest *r)
{
    const WPVersion *v = wp_policy_version(e->policy, r->version);
    if (!v || v->spec->withdrawn)
        return wp_entry_fail(WP_VERSION_REFUSED, WP_NO_ENDPOINT_RETRY_MS);
    if (r->last_refusal == WP_OVERLOADED || r->last_refusal == WP_LATE)
        wp_plan_spill(e, now, r);
    wp_count(wp_node_counters(e->node), WP_C_RETRIES);
    wp_events_add(wp_node_events(e->node), now, WP_EVENT_RETRIED, r->id, "%s",
                  wp_code_info(r->last_refusal)->code);
    return wp_plan_attempt(e, now, r);
}

static void record_failure(WPEntry *e, WPTime now, WPEndpoint *p)
{
    if (!wp_endpoint_ended(p, false, 0, now.mono_us))
        return;
    wp_count(wp_node_counters(e->node), WP_C_EJECTIONS);
    wp_events_add(wp_node_events(e->node), now, WP_EVENT_EJECTED, NULL, "%s",
                  p->id);
}

/* Whether the code is the outcome of the idempotency key's check: no other
   agent can give a better one. */
static bool is_key_outcome(WPCode code)
{
    return code == WP_ONCE_RUNNING || code == WP_ONCE_DONE ||
           code == WP_ONCE_UNKNOWN;
}

/* The attempt gave no complete answer: another one, or the final outcome.
   `billed`: the agent has made a bill for it. */
static WPEntryAction attempt_failed(WPEntry *e, WPTime now, WPRequest *r,
                                    WPCode code, WPRan ran, uint32_t retry_ms,
                                    bool billed)
{
    bool again = ran == WP_RAN_NOT_RUN ||
                 (ran == WP_RAN_UNKNOWN && r->repeatable && !r->answer_started);
    WPEntryAction action = wp_entry_fail(code, retry_ms);
    r->sent = false;
    r->maybe_ran |= ran != WP_RAN_NOT_RUN && !is_key_outcome(code);
    r->billed_by_agent = billed;
    r->last_refusal = code;
    r->last_retry_ms = retry_ms;
    bool owner_changes = code == WP_LEAVING || code == WP_NOT_KEEPER;
    if (owner_changes && wp_may_wait_for_key_owner(r, now))
        return wp_entry_retry_later();
    if (again && !is_key_outcome(code) &&
        !e->guard_disabled[WP_GUARD_REDIRECT] &&
        may_retry(e, r, now, is_redirect(code)))
        action = retry(e, now, r);
    return finish(e, now, r, action);
}

WPEntryAction wp_entry_refused(WPEntry *e, WPTime now, WPRequest *r,
                               WPCode code, WPRan ran, uint32_t retry_ms)
{
    bool full = code == WP_OVERLOADED || code == WP_LATE;
    if (code == WP_ENDPOINT_DOWN || ran == WP_RAN_UNKNOWN)
        record_failure(e, now, r->endpoint);
    else
        wp_endpoint_refused(r->endpoint, full ? retry_ms : 0, now.mono_us);
    if (code == WP_LEAVING)
        r->endpoint->draining = true;
    /* The agent has a newer configuration: choose again by the newest here. */
    if (code == WP_VERSION_REFUSED && wp_plan_version(e, now, r) != WP_OK) {
        r->sent = false;
        return finish(e, now, r, wp_entry_fail(WP_NO_VERSION, 0));
    }
    return attempt_failed(e, now, r, code, ran, retry_ms, false);
}

WPEntryAction wp_entry_retry(WPEntry *e, WPTime now, WPRequest *r)
{
    r->n_tried = 0;
    return finish(e, now, r, retry(e, now, r));
}

void wp_entry_accepted(WPEntry *e, WPTime now, WPRequest *r)
{
    (void)e;
    (void)now;
    r->accepted = true;
}

void wp_entry_first_bytes(WPEntry *e, WPTime now, WPRequest *r)
{
    if (r->answered)
        return;
    r->answered = true;
    wp_endpoint_first_token(r->endpoint, now.mono_us - r->sent_us);
    wp_balancer_learn(e->balancer, &r->predicted_wait,
                      now.mono_us - r->sent_us);
    wp_histogram_add(&wp_node_counters(e->node)->first_token,
                     now.mono_us - r->begun_us);
}

WPEntryAction wp_entry_ended(WPEntry *e, WPTime now, WPRequest *r,
                             const Wp__End *end)
{
    wp_bill_copy_add(e, r, end);
    r->maybe_ran = true;
    r->billed_by_agent = true;
    if (!end->whole && !e->guard_disabled[WP_GUARD_WHOLE]) {
        record_failure(e, now, r->endpoint);
        return attempt_failed(e, now, r, WP_ENDPOINT_FAILED, WP_RAN_UNKNOWN, 0,
                              true);
    }
    wp_endpoint_ended(r->endpoint, true, now.mono_us - r->sent_us, now.mono_us);
    r->sent = false;
    if (r->escalation_version && now.mono_us < r->deadline_us)
        return (WPEntryAction){ WP_ENTRY_CHECK, WP_OK, 0, NULL };
    count_final(e, now, r, WP_OK);
    return (WPEntryAction){ WP_ENTRY_DONE, WP_OK, 0, NULL };
}

WPEntryAction wp_entry_checked(WPEntry *e, WPTime now, WPRequest *r, bool good)
{
    if (good || !r->escalation_version) {
        count_final(e, now, r, WP_OK);
        return (WPEntryAction){ WP_ENTRY_DONE, WP_OK, 0, NULL };
    }
    g_free(r->version);
    r->version = g_steal_pointer(&r->escalation_version);
    r->step++;
    r->n_tried = 0;
    wp_count(wp_node_counters(e->node), WP_C_ESCALATIONS);
    wp_events_add(wp_node_events(e->node), now, WP_EVENT_ESCALATED, r->id, "%s",
                  r->version);
    WPEntryAction action = wp_plan_attempt(e, now, r);
    /* No endpoint for the stronger version: the answer that failed the check is
       better than none. */
    if (action.kind == WP_ENTRY_FAIL) {
        count_final(e, now, r, WP_OK);
        return (WPEntryAction){ WP_ENTRY_DONE, WP_OK, 0, NULL };
    }
    return action;
}

WPEntryAction wp_entry_link_lost(WPEntry *e, WPTime now, WPRequest *r,
                                 bool sent)
{
    record_failure(e, now, r->endpoint);
    if (sent && !e->guard_disabled[WP_GUARD_UNKNOWN])
        return attempt_failed(e, now, r, WP_LINK_LOST, WP_RAN_UNKNOWN, 0,
                              false);
    return attempt_failed(e, now, r, WP_ENDPOINT_DOWN, WP_RAN_NOT_RUN,
                          WP_NO_ENDPOINT_RETRY_MS, false);
}

WPEntryAction wp_entry_deadline_passed(WPEntry *e, WPTime now, WPRequest *r)
{
    if (r->sent)
        record_failure(e, now, r->endpoint);
    r->maybe_ran |= r->sent;
    r->billed_by_agent &= !r->sent;
    r->sent = false;
    return finish(e, now, r,
                  r->maybe_ran ? wp_entry_fail(WP_TIMED_OUT, 0)
                               : wp_entry_fail(WP_LATE, r->last_retry_ms));
}

void wp_entry_caller_gone(WPEntry *e, WPTime now, WPRequest *r)
{
    wp_count(wp_node_counters(e->node), WP_C_CALLERS_GONE);
    if (r->sent) {
        wp_endpoint_refused(r->endpoint, 0, now.mono_us);
        wp_entry_add_bill(e, now, r);
    }
    r->sent = false;
    count_final(e, now, r, WP_CANCELLED);
}

GPtrArray *wp_entry_explain(WPEntry *e, WPTime now,
                            const WPRequestParams *params)
{
    GPtrArray *out = wp_policy_explain(e->policy, params->workspace,
                                       params->kind, params->labels);
    WPRequest *r = new_request(e, now, params);
    wp_workspace_traffic(e, r->workspace);
    WPCode code = wp_plan_version(e, now, r);
    unsigned n = wp_policy_versions(e->policy);
    for (unsigned i = 0; i < n; i++) {
        const WPVersion *v = wp_policy_version_at(e->policy, i);
        const WPBound *b = &e->bounds[params->kind->index * n + i];
        const WPPool *pool = &e->pools[i];
        g_ptr_array_add(
            out, g_strdup_printf(
                     "%s: quality %.2f to %.2f (target %.2f), cost "
                     "%.4f, endpoints near %u far %u",
                     v->spec->name, b->low, b->high,
                     params->kind->spec->quality_target,
                     wp_version_cost(v, r->prompt_tokens, r->answer_tokens),
                     pool->local->len, pool->remote->len));
    }
    g_ptr_array_add(
        out,
        code == WP_OK
            ? g_strdup_printf("chosen: %s%s%s%s", r->version,
                              r->sticky ? ", by its session" : "",
                              r->explored ? ", to learn its quality" : "",
                              r->escalation_version ? ", then escalates" : "")
            : g_strdup_printf("refused: %s", wp_code_info(code)->code));
    r->labels = NULL;
    wp_request_free(r);
    return out;
}
