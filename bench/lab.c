/* Requests from their arrival to their answer, in virtual time. */
#include "lab_int.h"
#include "wp_code.h"
#include "wp_pb.h"

#include <math.h>
#include <stdlib.h>

WPTime lab_now(const Lab *lab)
{
    return (WPTime){ lab->now_us, WALL_START_MS + lab->now_us / WP_US_PER_MS };
}

static int64_t way(const Lab *lab, unsigned entry, unsigned server)
{
    return strcmp(lab->doors[entry].zone, lab->servers[server].zone) ? FAR_US
                                                                     : NEAR_US;
}

void lab_drain(WPNode *n)
{
    WPAction *a;
    while ((a = wp_node_next_action(n)))
        wp_action_free(a);
}

/* --- truth and results --- */

static double truth(const Lab *lab, const char *kind, const char *version)
{
    const LabPlan *p = lab->plan;
    if (p->bad_version && !strcmp(version, p->bad_version) &&
        lab->now_us >= p->bad_from_s * WP_US_PER_S)
        return p->bad_quality;
    for (size_t i = 0; i < p->n_truth; i++)
        if (!strcmp(p->truth[i].kind, kind) &&
            !strcmp(p->truth[i].version, version))
            return p->truth[i].quality;
    return 1;
}

static LabKind *kind_of(Lab *lab, const char *name)
{
    LabResult *r = lab->r;
    for (unsigned i = 0; i < r->n_kinds; i++)
        if (!strcmp(r->kinds[i].name, name))
            return &r->kinds[i];
    const WPKind *k =
        wp_policy_kind(wp_entry_policy(lab->doors[0].entry), name);
    LabKind *fresh = &r->kinds[r->n_kinds++];
    g_strlcpy(fresh->name, name, sizeof(fresh->name));
    fresh->target = k->spec->quality_target;
    fresh->rank = k->spec->class_rank;
    return fresh;
}

double *lab_count(GHashTable *t, const char *name)
{
    double *n = g_hash_table_lookup(t, name);
    if (!n) {
        n = g_new0(double, 1);
        g_hash_table_insert(t, g_strdup(name), n);
    }
    return n;
}

/* Counted by class and workspace. */
static double *class_count(GHashTable *t, Lab *lab, const Ask *a)
{
    g_autofree char *key = g_strdup_printf(
        "%u/%s", kind_of(lab, a->item->kind)->rank, a->item->workspace);
    return lab_count(t, key);
}

static double version_cost(Lab *lab, const char *version, const Ask *a)
{
    WPPolicy *p = wp_entry_policy(lab->doors[a->entry].entry);
    const WPVersion *v = wp_policy_version(p, version);
    return v ? wp_version_cost(v, a->prompt_tokens, a->answer_tokens) : 0;
}

/* What the cheapest allowed version that truly meets the target, and what the
   strongest, would have cost. */
static void note_fixed(Lab *lab, const Ask *a, double target)
{
    WPPolicy *p = wp_entry_policy(lab->doors[a->entry].entry);
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
        double q = truth(lab, a->item->kind, v->spec->name);
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

static void on_rating(Lab *lab, Event *e)
{
    Wp__Ratings *s = lab->sums;
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

static void note_answer(Lab *lab, Ask *a, const char *version, bool good)
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
        Event *e = lab_after(
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
    note_fixed(lab, a, k->target);
    ++*class_count(lab->served, lab, a);
    double first = (double)(a->first_us - a->start_us) / WP_US_PER_MS;
    g_array_append_val(r->first_ms, first);
    const LabPlan *p = lab->plan;
    if (p->bad_version && a->start_us >= p->bad_from_s * WP_US_PER_S) {
        r->window_served++;
        r->bad_served += !strcmp(version, p->bad_version);
    }
}

static void free_ask(Ask *a)
{
    wp_request_free(a->request);
    g_free(a);
}

/* --- the entry's side --- */

static void do_step(Lab *lab, Ask *a, WPEntryAction step);

static Wp__Start *make_start(const Lab *lab, const Ask *a)
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

static void on_start(Lab *lab, Event *e);
static void on_pong(Lab *lab, Event *e);

static void probe(Lab *lab, Ask *a)
{
    WPEndpoint *list[PROBES];
    unsigned n = wp_entry_probe_targets(lab->doors[a->entry].entry,
                                        lab_now(lab), a->request, list, PROBES);
    for (unsigned i = 0; i < n; i++) {
        unsigned k = (unsigned)atoi(list[i]->id + 1);
        Event *e = lab_after(lab, 2 * way(lab, a->entry, k), on_pong);
        e->n = a->entry;
        e->m = k;
    }
}

static void on_again(Lab *lab, Event *e)
{
    Ask *a = e->ask;
    do_step(
        lab, a,
        wp_entry_retry(lab->doors[a->entry].entry, lab_now(lab), a->request));
}

static void do_step(Lab *lab, Ask *a, WPEntryAction step)
{
    LabResult *r = lab->r;
    Event *e;
    switch (step.kind) {
    case WP_ENTRY_SEND:
        /* A cascade's second step is no second attempt. */
        r->attempts +=
            a->counted && (a->request->n_tried > 1 || a->request->step == 0);
        a->agent = (unsigned)atoi(step.endpoint->id + 1);
        a->stream = ++lab->stream;
        e = lab_after(lab, way(lab, a->entry, a->agent), on_start);
        e->ask = a;
        e->stream = a->stream;
        probe(lab, a);
        return;
    case WP_ENTRY_RETRY_LATER:
        e = lab_after(lab, (int64_t)step.retry_after_ms * WP_US_PER_MS,
                      on_again);
        e->ask = a;
        return;
    case WP_ENTRY_CHECK: {
        bool good = g_rand_double(lab->rand) <
                    truth(lab, a->item->kind, a->request->version);
        a->checked_good = good;
        if (a->counted)
            r->cost += 0.02 * version_cost(lab, a->request->version, a);
        do_step(lab, a,
                wp_entry_checked(lab->doors[a->entry].entry, lab_now(lab),
                                 a->request, good));
        return;
    }
    case WP_ENTRY_DONE: {
        bool checked = a->request->step == 0 && a->request->escalation_version;
        bool good = checked
                        ? a->checked_good
                        : g_rand_double(lab->rand) <
                              truth(lab, a->item->kind, a->request->version);
        note_answer(lab, a, a->request->version, good);
        break;
    }
    case WP_ENTRY_FAIL:
        if (a->counted && wp_code_info(step.code)->ran == WP_RAN_NOT_RUN)
            r->refused++;
        else
            r->unknown += a->counted;
        break;
    }
    free_ask(a);
}

/* --- the agent's side --- */

static void fill_load(Lab *lab, unsigned n, Wp__Load *out)
{
    Server *s = &lab->servers[n];
    wp_agent_load(s->agent, out);
    int64_t lag = (int64_t)(lab->plan->report_lag_s * WP_US_PER_S);
    if (!lag)
        return;
    if (lab->now_us - s->old_load_us >= lag) {
        Wp__Load fresh = *out;
        *out = s->old_load.slots ? s->old_load : fresh;
        s->old_load = fresh;
        s->old_load_us = lab->now_us;
    } else if (s->old_load.slots) {
        *out = s->old_load;
    }
}

static void take_load(Lab *lab, unsigned door, unsigned server,
                      const Wp__Load *l)
{
    WPEndpoint *p =
        wp_entry_endpoint(lab->doors[door].entry, lab->servers[server].id);
    if (p && l->slots)
        wp_endpoint_update_load(p, l, lab->now_us);
}

static void on_pong(Lab *lab, Event *e)
{
    Wp__Load l;
    if (lab->servers[e->m].lost)
        return;
    fill_load(lab, e->m, &l);
    take_load(lab, e->n, e->m, &l);
}

static void on_refused(Lab *lab, Event *e)
{
    Ask *a = e->ask;
    if (a->stream != e->stream)
        return;
    take_load(lab, a->entry, e->n, &e->load);
    do_step(lab, a,
            wp_entry_refused(lab->doors[a->entry].entry, lab_now(lab),
                             a->request, e->verdict.code, WP_RAN_NOT_RUN,
                             e->verdict.retry_ms));
}

static void on_lost(Lab *lab, Event *e)
{
    Ask *a = e->ask;
    if (a->stream != e->stream)
        return;
    do_step(lab, a,
            wp_entry_link_lost(lab->doors[a->entry].entry, lab_now(lab),
                               a->request, true));
}

static void on_first(Lab *lab, Event *e)
{
    Ask *a = e->ask;
    if (a->stream != e->stream)
        return;
    if (!a->first_us)
        a->first_us = lab->now_us;
    take_load(lab, a->entry, e->n, &e->load);
    wp_entry_first_bytes(lab->doors[a->entry].entry, lab_now(lab), a->request);
}

static void on_end(Lab *lab, Event *e)
{
    Ask *a = e->ask;
    if (a->stream != e->stream)
        return;
    take_load(lab, a->entry, e->n, &e->load);
    e->end.usage = &e->usage;
    if (a->counted)
        lab->r->cost += version_cost(lab, a->request->version, a);
    do_step(lab, a,
            wp_entry_ended(lab->doors[a->entry].entry, lab_now(lab), a->request,
                           &e->end));
}

static void send_back(Lab *lab, unsigned server, Ask *a,
                      void (*fn)(Lab *, Event *), const WPAgentDecision *v)
{
    Event *e = lab_after(lab, way(lab, a->entry, server), fn);
    e->ask = a;
    e->n = server;
    e->stream = a->stream;
    if (v)
        e->verdict = *v;
    fill_load(lab, server, &e->load);
    if (fn == on_end) {
        wp__end__init(&e->end);
        wp__usage__init(&e->usage);
        e->end.has_whole = 1;
        e->end.whole = 1;
        e->usage.answer_tokens = a->answer_tokens;
    }
}

static void on_accepted(Lab *lab, Event *e)
{
    if (e->ask->stream == e->stream)
        take_load(lab, e->ask->entry, e->n, &e->load);
}

static void on_step(Lab *lab, Event *e);

static void schedule(Lab *lab, unsigned n)
{
    Server *s = &lab->servers[n];
    if (s->stepping || !s->n_batch || s->lost)
        return;
    s->stepping = true;
    double fill = (double)s->n_batch / lab->plan->slots;
    double us = lab->plan->step_us * (1 + BATCH_SLOWDOWN * fill) * s->slow;
    lab_after(lab, (int64_t)us, on_step)->n = n;
}

static bool cached(Server *s, unsigned prefix)
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

static void begin(Lab *lab, unsigned n, Ask *a)
{
    Server *s = &lab->servers[n];
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

static void follow(Lab *lab, unsigned n, WPJob *j, const WPAgentDecision *v)
{
    Ask *a = j->user_data;
    if (v->kind == WP_AGENT_RUN) {
        begin(lab, n, a);
    } else if (v->kind == WP_AGENT_REFUSE) {
        send_back(lab, n, a, on_refused, v);
        a->job = NULL;
        wp_job_free(j);
    }
}

static void drain_agent(Lab *lab, unsigned n)
{
    WPAgentDecision v;
    WPJob *j;
    while ((j = wp_agent_next_job(lab->servers[n].agent, lab_now(lab), &v)))
        follow(lab, n, j, &v);
}

static void on_start(Lab *lab, Event *e)
{
    Ask *a = e->ask;
    unsigned n = a->agent;
    Server *s = &lab->servers[n];
    WPAgentDecision v;
    if (s->lost) {
        /* The link is found dead after the heartbeat's bound. */
        Event *lost = lab_after(lab, WP_US_PER_S, on_lost);
        lost->ask = a;
        lost->stream = a->stream;
        return;
    }
    a->job = wp_agent_start(s->agent, lab_now(lab), make_start(lab, a), 1,
                            a->stream, 0, &v);
    a->job->user_data = a;
    follow(lab, n, a->job, &v);
    drain_agent(lab, n);
}

static void finish(Lab *lab, unsigned n, Ask *a)
{
    Server *s = &lab->servers[n];
    wp_list_remove(&a->link);
    s->n_batch--;
    a->running = false;
    wp_agent_finish_job(s->agent, lab_now(lab), a->job, true, true,
                        a->prompt_tokens, a->answer_tokens);
    wp_job_free(a->job);
    a->job = NULL;
    send_back(lab, n, a, on_end, NULL);
}

static void on_step(Lab *lab, Event *e)
{
    Server *s = &lab->servers[e->n];
    s->stepping = false;
    if (s->lost)
        return;
    wp_list_each_safe (it, tmp, &s->batch) {
        Ask *a = wp_list_item(it, Ask, link);
        if (a->prefill) {
            a->prefill--;
            continue;
        }
        if (a->tokens++ == 0)
            send_back(lab, e->n, a, on_first, NULL);
        if (a->tokens >= a->answer_tokens)
            finish(lab, e->n, a);
    }
    drain_agent(lab, e->n);
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

static unsigned tokens_of(Lab *lab, const Wp__MixItem *i)
{
    if (!i->heavy_tail)
        return i->answer_tokens;
    double x = pow(1 - g_rand_double(lab->rand), -1 / TAIL_SHAPE) / 3;
    return (unsigned)MAX(2, i->answer_tokens * MIN(x, TAIL_MOST));
}

static double rate_at(const Lab *lab)
{
    const LabPlan *p = lab->plan;
    double s = (double)lab->now_us / WP_US_PER_S;
    bool burst = s >= p->burst_from_s && s < p->burst_to_s;
    return p->rate * (burst ? p->burst_factor : 1);
}

static void on_arrival(Lab *lab, Event *e)
{
    Ask *a = g_new0(Ask, 1);
    WPEntryAction step;
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
    Door *d = &lab->doors[a->entry];
    WPPolicy *p = wp_entry_policy(d->entry);
    char prefix[16];
    g_snprintf(prefix, sizeof(prefix), "p%u", a->prefix);
    WPRequestParams ask = { .workspace =
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
    a->request = wp_entry_begin(d->entry, lab_now(lab), &ask, &step);
    do_step(lab, a, step);
    if (lab->now_us < lab->plan->seconds * WP_US_PER_S)
        lab_after(lab,
                  (int64_t)(-log(1 - g_rand_double(lab->rand)) / rate_at(lab) *
                            WP_US_PER_S),
                  on_arrival);
}

/* --- what happens by the clock --- */

static void on_steer(Lab *lab, Event *e)
{
    WPEntry *entry = lab->doors[0].entry;
    const WPQuality *q = wp_node_quality(lab->doors[0].node);
    g_autofree char *why = NULL;
    GPtrArray *ops = NULL;
    (void)e;
    wp_rollout_monitor_poll(&lab->watch, wp_entry_policy(entry), q,
                            lab_now(lab));
    if (lab->plan->chart)
        ops = wp_rollout_step(lab->plan->chart, wp_entry_policy(entry), q,
                              &lab->watch, lab_now(lab), &why);
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
        lab->r->steps++;
    }
    if (lab->now_us < lab->plan->seconds * WP_US_PER_S)
        lab_after(lab, STEER_US, on_steer);
}

static void on_ratings(Lab *lab, Event *e)
{
    (void)e;
    for (unsigned i = 0; i < lab->plan->entries; i++) {
        Door *d = &lab->doors[i];
        wp_node_on_ratings(d->node, lab_now(lab), lab->sums);
        lab_drain(d->node);
        wp_entry_refresh(d->entry, lab_now(lab));
    }
    if (lab->now_us < lab->plan->seconds * WP_US_PER_S)
        lab_after(lab, RATINGS_US, on_ratings);
}

/* A lost zone: its running requests are found lost by their entries. */
static void lose(Lab *lab, unsigned n)
{
    Server *s = &lab->servers[n];
    s->lost = true;
    wp_list_each_safe (it, tmp, &s->batch) {
        Ask *a = wp_list_item(it, Ask, link);
        wp_list_remove(&a->link);
        Event *e = lab_after(lab, WP_US_PER_S, on_lost);
        e->ask = a;
        e->stream = a->stream;
    }
}

static void on_tick(Lab *lab, Event *e)
{
    const LabPlan *p = lab->plan;
    double s = (double)lab->now_us / WP_US_PER_S;
    (void)e;
    for (unsigned i = 0; i < lab->n_servers; i++) {
        Server *v = &lab->servers[i];
        v->slow =
            (int)i == p->slow_agent && s >= p->slow_from_s ? p->slow_factor : 1;
        if (p->lost_zone >= 0 && s >= p->lost_from_s && !v->lost &&
            (int)(i % p->zones) == p->lost_zone)
            lose(lab, i);
        if (!v->lost)
            drain_agent(lab, i);
    }
    if (lab->now_us < (p->seconds + 30) * WP_US_PER_S)
        lab_after(lab, TICK_US, on_tick);
}

void lab_run(const LabPlan *p, LabResult *r)
{
    Lab lab = { .plan = p, .r = r };
    memset(r, 0, sizeof(*r));
    r->first_ms = g_array_new(FALSE, FALSE, sizeof(double));
    lab_open(&lab);
    lab_after(&lab, 0, on_arrival);
    lab_after(&lab, TICK_US, on_tick);
    lab_after(&lab, RATINGS_US, on_ratings);
    lab_after(&lab, STEER_US, on_steer);
    while (lab.heap->len) {
        Event *e = lab_next(&lab);
        lab.now_us = e->at_us;
        e->fn(&lab, e);
        g_free(e);
    }
    lab_sum_up(&lab);
    lab_close(&lab);
}
