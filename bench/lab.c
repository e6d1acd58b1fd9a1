/* The lab's event handlers: requests from their arrival to their answer, and
 * periodic tasks. */
#include "lab_int.h"
#include "wp_code.h"
#include "wp_pb.h"

#include <math.h>
#include <stdlib.h>

WPTime lab_now(const Lab *lab)
{
    return (WPTime){ lab->now_us, WALL_START_MS + lab->now_us / WP_US_PER_MS };
}

static int64_t network_delay_us(const Lab *lab, unsigned entry, unsigned agent)
{
    return strcmp(lab->entries[entry].zone, lab->agents[agent].zone)
               ? REMOTE_DELAY_US
               : LOCAL_DELAY_US;
}

void lab_discard_actions(WPNode *n)
{
    WPAction *a;
    while ((a = wp_node_next_action(n)))
        wp_action_free(a);
}

/* --- true quality and results --- */

/* Probability that an answer of the version to a request of the kind is good
   now; 1 if the plan does not list it. */
static double true_quality(const Lab *lab, const char *kind,
                           const char *version)
{
    const LabPlan *p = lab->plan;
    if (p->bad_version && !strcmp(version, p->bad_version) &&
        lab->now_us >= p->bad_from_s * WP_US_PER_S)
        return p->bad_quality;
    for (size_t i = 0; i < p->n_true_quality; i++)
        if (!strcmp(p->true_quality[i].kind, kind) &&
            !strcmp(p->true_quality[i].version, version))
            return p->true_quality[i].quality;
    return 1;
}

/* The result row of the kind, added on its first request. */
static LabKind *kind_of(Lab *lab, const char *name)
{
    LabResult *r = lab->r;
    for (unsigned i = 0; i < r->n_kinds; i++)
        if (!strcmp(r->kinds[i].name, name))
            return &r->kinds[i];
    const WPKind *k =
        wp_policy_kind(wp_entry_policy(lab->entries[0].entry), name);
    LabKind *fresh = &r->kinds[r->n_kinds++];
    g_strlcpy(fresh->name, name, sizeof(fresh->name));
    fresh->target = k->spec->quality_target;
    fresh->rank = k->spec->class_rank;
    return fresh;
}

double *lab_counter(GHashTable *t, const char *name)
{
    double *n = g_hash_table_lookup(t, name);
    if (!n) {
        n = g_new0(double, 1);
        g_hash_table_insert(t, g_strdup(name), n);
    }
    return n;
}

/* The counter of the request's class and workspace. */
static double *class_count(GHashTable *t, Lab *lab, const LabRequest *a)
{
    g_autofree char *key = g_strdup_printf(
        "%u/%s", kind_of(lab, a->item->kind)->rank, a->item->workspace);
    return lab_counter(t, key);
}

static double version_cost(Lab *lab, const char *version, const LabRequest *a)
{
    WPPolicy *p = wp_entry_policy(lab->entries[a->entry].entry);
    const WPVersion *v = wp_policy_version(p, version);
    return v ? wp_version_cost(v, a->prompt_tokens, a->answer_tokens) : 0;
}

/* Adds the costs of the two baselines for this request: the cheapest allowed
   version whose true quality meets the target, and the strongest allowed
   version. */
static void add_baseline_costs(Lab *lab, const LabRequest *a, double target)
{
    WPPolicy *p = wp_entry_policy(lab->entries[a->entry].entry);
    const WPWorkspace *ws = wp_policy_workspace(p, a->item->workspace);
    const WPKind *k = wp_policy_kind(p, a->item->kind);
    double best = 0, strong = 0, strongest = -1;
    WPVersionSet set;
    wp_policy_allowed(p, ws, k, NULL, &set);
    for (unsigned i = 0; i < wp_policy_versions(p); i++) {
        const WPVersion *v = wp_policy_version_at(p, i);
        if (!wp_version_set_has(&set, i))
            continue;
        double cost = version_cost(lab, v->spec->name, a);
        double q = true_quality(lab, a->item->kind, v->spec->name);
        if (v->spec->quality_prior > strongest) {
            strongest = v->spec->quality_prior;
            strong = cost;
        }
        if (q >= target && (best == 0 || cost < best))
            best = cost;
    }
    lab->r->fixed_cost += best > 0 ? best : strong;
    lab->r->strong_cost += strong;
}

static void on_rating(Lab *lab, LabEvent *e)
{
    Wp__Ratings *s = lab->ratings;
    for (size_t i = 0; i < s->n_sums; i++) {
        if (strcmp(s->sums[i]->kind, e->kind) ||
            strcmp(s->sums[i]->version, e->version))
            continue;
        s->sums[i]->count++;
        s->sums[i]->sum += e->score;
        s->seq++;
        return;
    }
    Wp__RatingSum *one = calloc(1, sizeof(*one));
    wp__rating_sum__init(one);
    one->kind = g_strdup(e->kind);
    one->version = g_strdup(e->version);
    one->count = 1;
    one->sum = e->score;
    s->sums = g_realloc(s->sums, (s->n_sums + 1) * sizeof(one));
    s->sums[s->n_sums++] = one;
    s->seq++;
}

static void record_answer(Lab *lab, LabRequest *a, const char *version,
                          bool good)
{
    LabResult *r = lab->r;
    LabKind *k = kind_of(lab, a->item->kind);
    size_t second = (size_t)(lab->now_us / WP_US_PER_S);
    if (second < G_N_ELEMENTS(lab->second_ok))
        lab->second_ok[second]++;
    if (a->request->wants_rating && a->counted)
        r->cost += 0.02 * version_cost(lab, version, a);
    if (a->request->wants_rating ||
        g_rand_double(lab->rand) < lab->mix->rated_share) {
        LabEvent *e = lab_schedule(
            lab, (int64_t)(lab->plan->rating_lag_s * WP_US_PER_S), on_rating);
        e->kind = a->item->kind;
        g_strlcpy(e->version, version, sizeof(e->version));
        e->score = good;
    }
    if (!a->counted)
        return;
    r->ok++;
    k->ok++;
    k->good += good;
    add_baseline_costs(lab, a, k->target);
    ++*class_count(lab->served, lab, a);
    double first = (double)(a->first_us - a->start_us) / WP_US_PER_MS;
    g_array_append_val(r->first_ms, first);
    const LabPlan *p = lab->plan;
    if (p->bad_version && a->start_us >= p->bad_from_s * WP_US_PER_S) {
        r->window_served++;
        r->bad_served += !strcmp(version, p->bad_version);
    }
}

static void free_request(LabRequest *a)
{
    wp_request_free(a->request);
    g_free(a);
}

/* --- entry --- */

static void run_action(Lab *lab, LabRequest *a, WPEntryAction action);

static Wp__Start *make_start(const Lab *lab, const LabRequest *a)
{
    const WPRequest *q = a->request;
    Wp__Start s = WP__START__INIT;
    s.request_id = (char *)q->id;
    s.workspace = q->workspace;
    s.kind = q->kind;
    s.version = q->version;
    s.path = (char *)"/";
    s.has_budget_ms = 1;
    s.budget_ms =
        (uint32_t)(MAX(q->deadline_us - lab->now_us, 0) / WP_US_PER_MS);
    s.has_leg = 1;
    s.leg = q->attempt;
    return wp_pb_copy(&s.base);
}

static void on_start(Lab *lab, LabEvent *e);
static void on_pong(Lab *lab, LabEvent *e);

static void probe(Lab *lab, LabRequest *a)
{
    WPEndpoint *list[PROBES];
    unsigned n = wp_entry_probe_targets(lab->entries[a->entry].entry,
                                        lab_now(lab), a->request, list, PROBES);
    for (unsigned i = 0; i < n; i++) {
        unsigned k = (unsigned)atoi(list[i]->id + 1);
        LabEvent *e =
            lab_schedule(lab, 2 * network_delay_us(lab, a->entry, k), on_pong);
        e->n = a->entry;
        e->m = k;
    }
}

static void on_retry(Lab *lab, LabEvent *e)
{
    LabRequest *a = e->request;
    run_action(
        lab, a,
        wp_entry_retry(lab->entries[a->entry].entry, lab_now(lab), a->request));
}

static void run_action(Lab *lab, LabRequest *a, WPEntryAction action)
{
    LabResult *r = lab->r;
    LabEvent *e;
    switch (action.kind) {
    case WP_ENTRY_SEND:
        /* The second step of a cascade is not counted as another attempt. */
        r->attempts +=
            a->counted && (a->request->n_tried > 1 || a->request->step == 0);
        a->agent = (unsigned)atoi(action.endpoint->id + 1);
        a->stream = ++lab->stream;
        e = lab_schedule(lab, network_delay_us(lab, a->entry, a->agent),
                         on_start);
        e->request = a;
        e->stream = a->stream;
        probe(lab, a);
        return;
    case WP_ENTRY_RETRY_LATER:
        e = lab_schedule(lab, (int64_t)action.retry_after_ms * WP_US_PER_MS,
                         on_retry);
        e->request = a;
        return;
    case WP_ENTRY_CHECK: {
        bool good = g_rand_double(lab->rand) <
                    true_quality(lab, a->item->kind, a->request->version);
        a->checked_good = good;
        if (a->counted)
            r->cost += 0.02 * version_cost(lab, a->request->version, a);
        run_action(lab, a,
                   wp_entry_checked(lab->entries[a->entry].entry, lab_now(lab),
                                    a->request, good));
        return;
    }
    case WP_ENTRY_DONE: {
        bool checked = a->request->step == 0 && a->request->escalation_version;
        bool good =
            checked ? a->checked_good
                    : g_rand_double(lab->rand) <
                          true_quality(lab, a->item->kind, a->request->version);
        record_answer(lab, a, a->request->version, good);
        break;
    }
    case WP_ENTRY_FAIL:
        if (a->counted && wp_code_info(action.code)->ran == WP_RAN_NOT_RUN)
            r->refused++;
        else
            r->outcome_unknown += a->counted;
        break;
    }
    free_request(a);
}

/* --- agent and engine --- */

/* Fills in the load that the agent reports now. With report_lag_s set, that is
   a load from up to that long ago. */
static void fill_load(Lab *lab, unsigned n, Wp__Load *out)
{
    LabAgent *s = &lab->agents[n];
    wp_agent_load(s->agent, out);
    int64_t lag = (int64_t)(lab->plan->report_lag_s * WP_US_PER_S);
    if (!lag)
        return;
    if (lab->now_us - s->reported_load_us >= lag) {
        Wp__Load fresh = *out;
        *out = s->reported_load.slots ? s->reported_load : fresh;
        s->reported_load = fresh;
        s->reported_load_us = lab->now_us;
    } else if (s->reported_load.slots) {
        *out = s->reported_load;
    }
}

static void update_load(Lab *lab, unsigned entry, unsigned agent,
                        const Wp__Load *l)
{
    WPEndpoint *p =
        wp_entry_endpoint(lab->entries[entry].entry, lab->agents[agent].id);
    if (p && l->slots)
        wp_endpoint_update_load(p, l, lab->now_us);
}

static void on_pong(Lab *lab, LabEvent *e)
{
    Wp__Load l;
    if (lab->agents[e->m].lost)
        return;
    fill_load(lab, e->m, &l);
    update_load(lab, e->n, e->m, &l);
}

static void on_refused(Lab *lab, LabEvent *e)
{
    LabRequest *a = e->request;
    if (a->stream != e->stream)
        return;
    update_load(lab, a->entry, e->n, &e->load);
    run_action(lab, a,
               wp_entry_refused(lab->entries[a->entry].entry, lab_now(lab),
                                a->request, e->decision.code, WP_RAN_NOT_RUN,
                                e->decision.retry_ms));
}

static void on_lost(Lab *lab, LabEvent *e)
{
    LabRequest *a = e->request;
    if (a->stream != e->stream)
        return;
    run_action(lab, a,
               wp_entry_link_lost(lab->entries[a->entry].entry, lab_now(lab),
                                  a->request, true));
}

static void on_first(Lab *lab, LabEvent *e)
{
    LabRequest *a = e->request;
    if (a->stream != e->stream)
        return;
    if (!a->first_us)
        a->first_us = lab->now_us;
    update_load(lab, a->entry, e->n, &e->load);
    wp_entry_first_bytes(lab->entries[a->entry].entry, lab_now(lab),
                         a->request);
}

static void on_end(Lab *lab, LabEvent *e)
{
    LabRequest *a = e->request;
    if (a->stream != e->stream)
        return;
    update_load(lab, a->entry, e->n, &e->load);
    e->end.usage = &e->usage;
    if (a->counted)
        lab->r->cost += version_cost(lab, a->request->version, a);
    run_action(lab, a,
               wp_entry_ended(lab->entries[a->entry].entry, lab_now(lab),
                              a->request, &e->end));
}

static void send_back(Lab *lab, unsigned agent, LabRequest *a,
                      void (*fn)(Lab *, LabEvent *), const WPAgentDecision *v)
{
    LabEvent *e = lab_schedule(lab, network_delay_us(lab, a->entry, agent), fn);
    e->request = a;
    e->n = agent;
    e->stream = a->stream;
    if (v)
        e->decision = *v;
    fill_load(lab, agent, &e->load);
    if (fn == on_end) {
        wp__end__init(&e->end);
        wp__usage__init(&e->usage);
        e->end.has_whole = 1;
        e->end.whole = 1;
        e->usage.answer_tokens = a->answer_tokens;
    }
}

static void on_accepted(Lab *lab, LabEvent *e)
{
    if (e->request->stream == e->stream)
        update_load(lab, e->request->entry, e->n, &e->load);
}

static void on_step(Lab *lab, LabEvent *e);

static void schedule(Lab *lab, unsigned n)
{
    LabAgent *s = &lab->agents[n];
    if (s->stepping || !s->n_batch || s->lost)
        return;
    s->stepping = true;
    double fill = (double)s->n_batch / lab->plan->slots;
    double us = lab->plan->step_us * (1 + BATCH_SLOWDOWN * fill) * s->slowdown;
    lab_schedule(lab, (int64_t)us, on_step)->n = n;
}

/* Looks up a prompt prefix in the engine's LRU cache, and adds it if missing.
   Returns whether it was cached. */
static bool cached(LabAgent *s, unsigned prefix)
{
    for (int i = 0; i < PREFIX_CACHE; i++) {
        if (s->cache[i] != prefix + 1)
            continue;
        memmove(&s->cache[1], &s->cache[0], sizeof(unsigned) * (size_t)i);
        s->cache[0] = prefix + 1;
        return true;
    }
    memmove(&s->cache[1], &s->cache[0], sizeof(unsigned) * (PREFIX_CACHE - 1));
    s->cache[0] = prefix + 1;
    return false;
}

static void begin_run(Lab *lab, unsigned n, LabRequest *a)
{
    LabAgent *s = &lab->agents[n];
    a->tokens = 0;
    a->running = true;
    a->prefill = cached(s, a->prefix)
                     ? 0
                     : a->prompt_tokens / PREFILL_TOKENS_PER_STEP + 1;
    wp_list_append(&s->batch, &a->link);
    s->n_batch++;
    send_back(lab, n, a, on_accepted, NULL);
    schedule(lab, n);
}

static void apply_decision(Lab *lab, unsigned n, WPJob *j,
                           const WPAgentDecision *v)
{
    LabRequest *a = j->user_data;
    if (v->kind == WP_AGENT_RUN) {
        begin_run(lab, n, a);
    } else if (v->kind == WP_AGENT_REFUSE) {
        send_back(lab, n, a, on_refused, v);
        a->job = NULL;
        wp_job_free(j);
    }
}

static void run_ready_jobs(Lab *lab, unsigned n)
{
    WPAgentDecision v;
    WPJob *j;
    while ((j = wp_agent_next_job(lab->agents[n].agent, lab_now(lab), &v)))
        apply_decision(lab, n, j, &v);
}

static void on_start(Lab *lab, LabEvent *e)
{
    LabRequest *a = e->request;
    unsigned n = a->agent;
    LabAgent *s = &lab->agents[n];
    WPAgentDecision v;
    if (s->lost) {
        /* The entry detects the lost link after the heartbeat timeout, here 1
           s. */
        LabEvent *lost = lab_schedule(lab, WP_US_PER_S, on_lost);
        lost->request = a;
        lost->stream = a->stream;
        return;
    }
    a->job = wp_agent_start(s->agent, lab_now(lab), make_start(lab, a), 1,
                            a->stream, 0, &v);
    a->job->user_data = a;
    apply_decision(lab, n, a->job, &v);
    run_ready_jobs(lab, n);
}

static void finish(Lab *lab, unsigned n, LabRequest *a)
{
    LabAgent *s = &lab->agents[n];
    wp_list_remove(&a->link);
    s->n_batch--;
    a->running = false;
    wp_agent_finish_job(s->agent, lab_now(lab), a->job, true, true,
                        a->prompt_tokens, a->answer_tokens);
    wp_job_free(a->job);
    a->job = NULL;
    send_back(lab, n, a, on_end, NULL);
}

static void on_step(Lab *lab, LabEvent *e)
{
    LabAgent *s = &lab->agents[e->n];
    s->stepping = false;
    if (s->lost)
        return;
    wp_list_each_safe (it, tmp, &s->batch) {
        LabRequest *a = wp_list_item(it, LabRequest, link);
        if (a->prefill) {
            a->prefill--;
            continue;
        }
        if (a->tokens++ == 0)
            send_back(lab, e->n, a, on_first, NULL);
        if (a->tokens >= a->answer_tokens)
            finish(lab, e->n, a);
    }
    run_ready_jobs(lab, e->n);
    schedule(lab, e->n);
}

/* --- arrivals --- */

static const Wp__MixItem *pick_item(Lab *lab)
{
    double total = 0;
    for (size_t i = 0; i < lab->mix->n_items; i++)
        total += lab->mix->items[i]->weight;
    double x = g_rand_double(lab->rand) * total;
    for (size_t i = 0; i < lab->mix->n_items; i++) {
        x -= lab->mix->items[i]->weight;
        if (x < 0)
            return lab->mix->items[i];
    }
    return lab->mix->items[0];
}

/* Answer length in tokens; Pareto-distributed if the mix item asks for a heavy
   tail. */
static unsigned tokens_of(Lab *lab, const Wp__MixItem *i)
{
    if (!i->heavy_tail)
        return i->answer_tokens;
    double x = pow(1 - g_rand_double(lab->rand), -1 / TAIL_SHAPE) / 3;
    return (unsigned)MAX(2, i->answer_tokens * MIN(x, TAIL_MAX));
}

/* Arrival rate at the current time, in requests per second. */
static double rate_at(const Lab *lab)
{
    const LabPlan *p = lab->plan;
    double s = (double)lab->now_us / WP_US_PER_S;
    bool burst = s >= p->burst_from_s && s < p->burst_to_s;
    return p->rate * (burst ? p->burst_factor : 1);
}

static void on_arrival(Lab *lab, LabEvent *e)
{
    LabRequest *a = g_new0(LabRequest, 1);
    WPEntryAction action;
    (void)e;
    a->lab = lab;
    a->item = pick_item(lab);
    a->entry =
        (unsigned)g_rand_int_range(lab->rand, 0, (gint)lab->plan->entries);
    a->prompt_tokens = a->item->prompt_words * 5 / 4 + 10;
    a->answer_tokens = tokens_of(lab, a->item);
    a->prefix =
        (unsigned)g_rand_int_range(lab->rand, 0, (gint)lab->mix->prefixes);
    a->start_us = lab->now_us;
    a->counted = lab->now_us >= lab->plan->warm_s * WP_US_PER_S;
    wp_list_init(&a->link);
    LabEntry *d = &lab->entries[a->entry];
    WPPolicy *p = wp_entry_policy(d->entry);
    char prefix[16];
    g_snprintf(prefix, sizeof(prefix), "p%u", a->prefix);
    WPRequestParams params = { .workspace =
                                   wp_policy_workspace(p, a->item->workspace),
                               .kind = wp_policy_kind(p, a->item->kind),
                               .prompt_tokens = a->prompt_tokens,
                               .answer_tokens = a->item->answer_tokens,
                               .prefix = wp_hash(wp_str(prefix), 1) };
    if (a->counted) {
        lab->r->offered++;
        kind_of(lab, a->item->kind)->offered++;
        ++*class_count(lab->offered, lab, a);
    }
    a->request = wp_entry_begin(d->entry, lab_now(lab), &params, &action);
    run_action(lab, a, action);
    if (lab->now_us < lab->plan->seconds * WP_US_PER_S)
        lab_schedule(lab,
                     (int64_t)(-log(1 - g_rand_double(lab->rand)) /
                               rate_at(lab) * WP_US_PER_S),
                     on_arrival);
}

/* --- periodic tasks --- */

/* One step of rollout control: advances the rollouts, or else withdraws a bad
   version if the plan asks for it. */
static void on_rollout_tick(Lab *lab, LabEvent *e)
{
    WPEntry *entry = lab->entries[0].entry;
    const WPQuality *q = wp_node_quality(lab->entries[0].node);
    g_autofree char *why = NULL;
    GPtrArray *ops = NULL;
    (void)e;
    wp_rollout_monitor_poll(&lab->rollout_monitor, wp_entry_policy(entry), q,
                            lab_now(lab));
    if (lab->plan->chart)
        ops = wp_rollout_step(lab->plan->chart, wp_entry_policy(entry), q,
                              &lab->rollout_monitor, lab_now(lab), &why);
    if (!ops && lab->plan->stop_bad)
        ops = wp_withdraw_bad_version(wp_entry_policy(entry), q, lab_now(lab),
                                      &why);
    if (ops) {
        Wp__Delta d = WP__DELTA__INIT;
        d.prev = lab->revision;
        d.revision = ++lab->revision;
        d.change_id = (char *)"lab";
        d.n_ops = ops->len;
        d.ops = (Wp__Op **)ops->pdata;
        wp_config_apply(lab->config, &d);
        lab_set_config(lab);
        wp_ops_free(ops);
        lab->r->rollout_steps++;
    }
    if (lab->now_us < lab->plan->seconds * WP_US_PER_S)
        lab_schedule(lab, ROLLOUT_INTERVAL_US, on_rollout_tick);
}

static void on_ratings(Lab *lab, LabEvent *e)
{
    (void)e;
    for (unsigned i = 0; i < lab->plan->entries; i++) {
        LabEntry *d = &lab->entries[i];
        wp_node_on_ratings(d->node, lab_now(lab), lab->ratings);
        lab_discard_actions(d->node);
        wp_entry_refresh(d->entry, lab_now(lab));
    }
    if (lab->now_us < lab->plan->seconds * WP_US_PER_S)
        lab_schedule(lab, RATINGS_INTERVAL_US, on_ratings);
}

/* Marks an agent of a lost zone as lost. The entries detect the loss of its
   running requests 1 s later. */
static void lose_agent(Lab *lab, unsigned n)
{
    LabAgent *s = &lab->agents[n];
    s->lost = true;
    wp_list_each_safe (it, tmp, &s->batch) {
        LabRequest *a = wp_list_item(it, LabRequest, link);
        wp_list_remove(&a->link);
        LabEvent *e = lab_schedule(lab, WP_US_PER_S, on_lost);
        e->request = a;
        e->stream = a->stream;
    }
}

static void on_tick(Lab *lab, LabEvent *e)
{
    const LabPlan *p = lab->plan;
    double s = (double)lab->now_us / WP_US_PER_S;
    (void)e;
    for (unsigned i = 0; i < lab->n_agents; i++) {
        LabAgent *v = &lab->agents[i];
        v->slowdown =
            (int)i == p->slow_agent && s >= p->slow_from_s ? p->slow_factor : 1;
        if (p->lost_zone >= 0 && s >= p->lost_from_s && !v->lost &&
            (int)(i % p->zones) == p->lost_zone)
            lose_agent(lab, i);
        if (!v->lost)
            run_ready_jobs(lab, i);
    }
    if (lab->now_us < (p->seconds + 30) * WP_US_PER_S)
        lab_schedule(lab, TICK_INTERVAL_US, on_tick);
}

void lab_run(const LabPlan *p, LabResult *r)
{
    Lab lab = { .plan = p, .r = r };
    memset(r, 0, sizeof(*r));
    r->first_ms = g_array_new(FALSE, FALSE, sizeof(double));
    lab_setup(&lab);
    lab_schedule(&lab, 0, on_arrival);
    lab_schedule(&lab, TICK_INTERVAL_US, on_tick);
    lab_schedule(&lab, RATINGS_INTERVAL_US, on_ratings);
    lab_schedule(&lab, ROLLOUT_INTERVAL_US, on_rollout_tick);
    while (lab.heap->len) {
        LabEvent *e = lab_pop_event(&lab);
        lab.now_us = e->at_us;
        e->fn(&lab, e);
        g_free(e);
    }
    lab_compute_result(&lab);
    lab_teardown(&lab);
}
