/* The plan of one request: its session, its version, its endpoint. */
#include "wp_entry_int.h"

/* While the owner of an idempotency key changes, the next one is asked again
   after each of these times, and for how long after the request's beginning. */
#define OWNER_RETRY_MS 50
#define OWNER_WAIT_MAX_US (3 * WP_US_PER_S)

WPEntryAction wp_entry_fail(WPCode code, uint32_t retry_ms)
{
    return (WPEntryAction){ WP_ENTRY_FAIL, code, retry_ms, NULL };
}

WPEntryAction wp_entry_retry_later(void)
{
    return (WPEntryAction){ WP_ENTRY_RETRY_LATER, WP_NOT_KEEPER, OWNER_RETRY_MS,
                            NULL };
}

bool wp_may_wait_for_key_owner(const WPRequest *r, WPTime now)
{
    return !r->repeatable && now.mono_us - r->begun_us < OWNER_WAIT_MAX_US &&
           now.mono_us + OWNER_RETRY_MS * WP_US_PER_MS < r->deadline_us;
}

/* Whether one of the pool's first WP_PICK_MAX local and remote endpoints is
   usable and has a free slot. */
static bool has_free_slot(const WPPool *pool, int64_t now_us)
{
    GPtrArray *const pools[] = { pool->local, pool->remote };
    for (int s = 0; s < 2; s++) {
        for (guint i = 0; i < MIN(pools[s]->len, WP_PICK_MAX); i++) {
            const WPEndpoint *p = pools[s]->pdata[i];
            if (wp_endpoint_usable(p, now_us) && p->inflight < p->slots &&
                now_us >= p->busy_until_us)
                return true;
        }
    }
    return false;
}

/* Returns the versions of `set` of which no endpoint has a free slot. Removes
   those without any endpoint from `set` as long as others are left. */
static WPVersionSet busy_versions(WPEntry *e, WPTime now, WPVersionSet *set)
{
    WPVersionSet busy = { 0 }, served = { 0 };
    for (unsigned i = 0; i < e->n_pools; i++) {
        const WPPool *pool = &e->pools[i];
        if (!wp_version_set_has(set, i) ||
            !(pool->local->len + pool->remote->len))
            continue;
        wp_version_set_add(&served, i);
        if (!has_free_slot(pool, now.mono_us))
            wp_version_set_add(&busy, i);
    }
    if (!wp_version_set_empty(&served))
        *set = served;
    return busy;
}

static bool may_explore(WPEntry *e, const WPRequest *r)
{
    const WPWorkspaceTraffic *u = g_hash_table_lookup(e->traffic, r->workspace);
    return (double)u->explored < WP_EXPLORE_CAP * (double)u->requests;
}

/* Lets the entry's chooser choose among the versions in `allowed`. */
static WPVersionChoice choose_among(WPEntry *e, WPTime now, const WPRequest *r,
                                    const WPKind *kind, WPVersionSet allowed,
                                    bool may_explore)
{
    WPVersionQuery c = {
        .policy = e->policy,
        .kind = kind,
        .bounds = e->bounds,
        .allowed = allowed,
        .prompt_tokens = r->prompt_tokens,
        .answer_tokens = r->answer_tokens,
        .random = g_rand_double(e->rand),
        .may_explore = may_explore,
    };
    wp_rollout_narrow(e->policy, wp_str(r->id), (uint64_t)now.wall_ms,
                      &c.allowed);
    c.busy = busy_versions(e, now, &c.allowed);
    return e->chooser->ops->choose(e->chooser, &c);
}

static const char *version_name(const WPEntry *e, int index)
{
    return wp_policy_version_at(e->policy, (unsigned)index)->spec->name;
}

/* Sets the request's version, and the one to escalate to, and counts it if it
   explores. Leaves them unset if no version can be chosen. */
static void choose_version(WPEntry *e, WPTime now, WPRequest *r,
                           const WPKind *kind)
{
    bool may = may_explore(e, r);
    WPVersionChoice got = choose_among(e, now, r, kind, r->allowed, may);
    if (got.version < 0)
        return;
    r->version = g_strdup(version_name(e, got.version));
    r->explored = got.explored;
    if (got.explored) {
        WPWorkspaceTraffic *x = g_hash_table_lookup(e->traffic, r->workspace);
        x->explored++;
        wp_count(wp_node_counters(e->node), WP_C_EXPLORED);
    }
    if (got.escalate >= 0)
        r->escalation_version = g_strdup(version_name(e, got.escalate));
}

void wp_plan_spill(WPEntry *e, WPTime now, WPRequest *r)
{
    const WPVersion *v = wp_policy_version(e->policy, r->version);
    const WPKind *kind = wp_policy_kind(e->policy, r->kind);
    WPVersionSet rest = r->allowed;
    if (!v || !kind || r->sticky || r->step)
        return;
    wp_version_set_add(&r->full_versions, v->index);
    for (unsigned w = 0; w < WP_VERSION_SET_WORDS; w++)
        rest.w[w] &= ~r->full_versions.w[w];
    if (wp_version_set_empty(&rest))
        return;
    WPVersionChoice got = choose_among(e, now, r, kind, rest, false);
    unsigned n = wp_policy_versions(e->policy);
    if (got.version < 0 || !wp_version_set_has(&rest, (unsigned)got.version) ||
        e->bounds[kind->index * n + (unsigned)got.version].low <
            kind->spec->quality_target)
        return;
    g_free(r->version);
    r->version = g_strdup(version_name(e, got.version));
    g_clear_pointer(&r->escalation_version, g_free);
    r->explored = false;
}

static void sign_token(WPEntry *e, WPTime now, WPRequest *r,
                       const Wp__SessionClaim *old, uint64_t start_ms)
{
    Wp__SessionClaim c = WP__SESSION_CLAIM__INIT;
    c.workspace = r->workspace;
    c.version = r->version;
    c.start_ms = start_ms ? start_ms : (uint64_t)now.wall_ms;
    c.nonce.data = old ? old->nonce.data : (uint8_t *)r->id;
    c.nonce.len = old ? old->nonce.len : strlen(r->id);
    r->new_session_token = wp_token_sign(e->policy, &c);
}

/* Sets the request's version by its session and makes the request sticky to it.
   Changes nothing if no version follows from the session, or if the guard for
   sessions is disabled. */
static void place_session(WPEntry *e, WPTime now, WPRequest *r,
                          const WPKind *kind, const Wp__SessionClaim *claim)
{
    WPSessionQuery s = { .claim = claim,
                         .id = wp_str(r->session_id),
                         .workspace =
                             wp_policy_workspace(e->policy, r->workspace),
                         .labels = r->labels,
                         .model = r->model,
                         .service = r->service,
                         .now_ms = (uint64_t)now.wall_ms };
    if (e->guard_disabled[WP_GUARD_SESSION])
        return;
    WPSessionPlacement at = wp_session_place(e->policy, kind, &r->allowed, &s);
    if (at.version < 0)
        return;
    r->version = g_strdup(
        wp_policy_version_at(e->policy, (unsigned)at.version)->spec->name);
    r->sticky = true;
    r->session_moved = at.moved;
    r->session_start_ms = at.start_ms;
    wp_events_add(wp_node_events(e->node), now, WP_EVENT_SESSION, r->id,
                  "%s by %s, began %lu, revision %lu", r->version,
                  claim ? "token" : "id", (unsigned long)at.start_ms,
                  (unsigned long)wp_policy_revision(e->policy));
    if (at.moved)
        wp_count(wp_node_counters(e->node), WP_C_SESSIONS_MOVED);
}

static WPCode find_allowed(WPEntry *e, WPRequest *r, const WPWorkspace *ws,
                           const WPKind *kind)
{
    wp_policy_allowed(e->policy, ws, kind, r->labels, &r->allowed);
    if (!wp_policy_filter_request(e->policy, r->model, r->service, &r->allowed))
        return WP_UNKNOWN_MODEL;
    return wp_version_set_empty(&r->allowed) ? WP_NO_VERSION : WP_OK;
}

/* Whether the version is being rolled out: the sooner its quality is known, the
   fewer requests are exposed to it. */
static bool is_rolling_out(const WPPolicy *p, const char *version)
{
    for (unsigned i = 0; i < wp_policy_rollouts(p); i++) {
        const Wp__Rollout *r = wp_policy_rollout_at(p, i)->spec;
        if (!strcmp(r->to, version) && strcmp(r->state, "done"))
            return true;
    }
    return false;
}

WPCode wp_plan_version(WPEntry *e, WPTime now, WPRequest *r)
{
    const WPWorkspace *ws = wp_policy_workspace(e->policy, r->workspace);
    const WPKind *kind = wp_policy_kind(e->policy, r->kind);
    Wp__SessionClaim *claim = NULL;
    g_clear_pointer(&r->version, g_free);
    g_clear_pointer(&r->escalation_version, g_free);
    g_clear_pointer(&r->new_session_token, g_free);
    if (!ws || !kind)
        return WP_NO_VERSION;
    WPCode code = find_allowed(e, r, ws, kind);
    if (code == WP_OK && r->session_token)
        code = wp_token_check(e->policy, ws, wp_str(r->session_token), &claim);
    if (code != WP_OK)
        return code;
    if (claim || r->session_id)
        place_session(e, now, r, kind, claim);
    if (!r->version)
        choose_version(e, now, r, kind);
    if (r->version && !r->service)
        sign_token(e, now, r, claim, r->session_start_ms);
    r->wants_rating = r->version && !r->service &&
                      (r->explored || is_rolling_out(e->policy, r->version));
    wp_pb_free(claim);
    return r->version ? WP_OK : WP_NO_VERSION;
}

/* The agent that owns the request's idempotency key, or NULL. `*known` tells
   whether there is an owner, even if it is draining and not to be asked now. */
static WPEndpoint *pick_key_owner(WPEntry *e, WPTime now, const WPRequest *r,
                                  bool *known)
{
    const WPMemberRow *row = wp_idempotency_owner(
        wp_node_members(e->node), r->version, r->idempotency_key,
        (uint64_t)now.wall_ms, e->once_settle_ms);
    WPEndpoint *p = row ? wp_entry_endpoint(e, row->m->id) : NULL;
    *known = row != NULL;
    return p && !p->draining ? p : NULL;
}

static WPEndpoint *pick_balanced(WPEntry *e, WPTime now, const WPRequest *r,
                                 const WPPool *pool)
{
    WPPickQuery pick = {
        .local = (WPEndpoint *const *)pool->local->pdata,
        .n_local = pool->local->len,
        .remote = (WPEndpoint *const *)pool->remote->pdata,
        .n_remote = pool->remote->len,
        .affinity = r->affinity,
        .now_us = now.mono_us,
    };
    for (unsigned i = 0; i < r->n_tried; i++)
        pick.tried[pick.n_tried++] = r->tried[i];
    return e->balancer->ops->pick(e->balancer, &pick);
}

WPEntryAction wp_plan_attempt(WPEntry *e, WPTime now, WPRequest *r)
{
    const WPVersion *v = wp_policy_version(e->policy, r->version);
    WPEndpoint *p = NULL;
    bool has_owner = false;
    if (v && r->idempotency_key && !r->repeatable)
        p = pick_key_owner(e, now, r, &has_owner);
    else if (v && v->index < e->n_pools)
        p = pick_balanced(e, now, r, &e->pools[v->index]);
    if (!p && has_owner && wp_may_wait_for_key_owner(r, now))
        return wp_entry_retry_later();
    if (!p)
        return r->n_tried
                   ? wp_entry_fail(r->last_refusal, r->last_retry_ms)
                   : wp_entry_fail(WP_NO_ENDPOINT, WP_NO_ENDPOINT_RETRY_MS);
    r->endpoint = p;
    r->tried[r->n_tried++] = p;
    r->attempt++;
    r->sent = true;
    r->accepted = false;
    r->answered = false;
    r->sent_us = now.mono_us;
    r->predicted_wait = wp_balancer_predict(p, now.mono_us);
    wp_endpoint_sent(p, now.mono_us);
    wp_events_add(wp_node_events(e->node), now, WP_EVENT_CHOSEN, r->id,
                  "%s at %s leg %u", r->version, p->id, r->attempt);
    return (WPEntryAction){ WP_ENTRY_SEND, WP_OK, 0, p };
}
