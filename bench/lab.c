/* Runs entries and agents against fake engines in virtual time. */
#include "lab.h"
#include "wp_pb.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define WALL_START_MS 1800000000000LL
#define NEAR_US 250
#define FAR_US 1000
#define TICK_US (20 * WP_US_PER_MS)
#define RATINGS_US WP_US_PER_S
#define STEER_US (500 * WP_US_PER_MS)
#define BATCH_SLOWDOWN 0.5
#define PREFILL_TOKENS_PER_STEP 200
#define PREFIX_CACHE 8
#define TAIL_SHAPE 1.5
#define TAIL_MOST 20.0
#define PROBES 2

typedef struct Lab Lab;
typedef struct Ask Ask;

/* One request of a caller, and its present leg. */
struct Ask {
    Lab *lab;
    const Wp__MixItem *item;
    unsigned entry;
    WPRequest *request;
    WPJob *job;
    uint64_t stream;
    unsigned agent;
    unsigned tokens, answer_tokens, prompt_tokens, prefill, prefix;
    int64_t start_us, first_us;
    bool counted, running, checked_good;
    WPList link; /* in the engine's batch */
};

typedef struct Server {
    WPNode *node;
    WPAgent *agent;
    char id[16], zone[8], version[64];
    char *versions[2];
    WPList batch; /* of Ask */
    unsigned n_batch;
    bool stepping, lost;
    double slow;
    unsigned cache[PREFIX_CACHE];
    Wp__Load old_load; /* as reported when reports lag */
    int64_t old_load_us;
} Server;

typedef struct Door {
    WPNode *node;
    WPEntry *entry;
    char id[16], zone[8];
} Door;

typedef struct Event {
    int64_t at_us;
    uint64_t order;
    void (*fn)(Lab *lab, struct Event *e);
    Ask *ask;
    unsigned n, m;
    uint64_t stream;
    Wp__Load load;
    WPVerdict verdict;
    Wp__End end;
    Wp__Usage usage;
    double score;
    const char *kind;
    char version[64];
} Event;

struct Lab {
    const LabPlan *plan;
    LabResult *r;
    Wp__Mix *mix;
    WPConfig *config;
    uint64_t revision;
    Door *doors;
    Server *servers;
    unsigned n_servers;
    GPtrArray *heap; /* of Event */
    GRand *rand;
    int64_t now_us;
    uint64_t order, stream;
    Wp__Ratings *sums;
    GHashTable *offered, *served; /* workspace -> double */
    int64_t stopped_us;
    uint64_t ok_in_second, second_ok[600];
};

static WPTime now_of(const Lab *lab)
{
    return (WPTime){ lab->now_us, WALL_START_MS + lab->now_us / WP_US_PER_MS };
}

/* --- events --- */

static bool earlier(const Event *a, const Event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static Event *after(Lab *lab, int64_t us, void (*fn)(Lab *, Event *))
{
    Event *e = g_new0(Event, 1);
    GPtrArray *h = lab->heap;
    e->at_us = lab->now_us + us;
    e->order = lab->order++;
    e->fn = fn;
    g_ptr_array_add(h, e);
    for (guint i = h->len - 1; i;) {
        guint up = (i - 1) / 2;
        if (!earlier(h->pdata[i], h->pdata[up]))
            break;
        gpointer t = h->pdata[i];
        h->pdata[i] = h->pdata[up];
        h->pdata[up] = t;
        i = up;
    }
    return e;
}

static Event *pop(Lab *lab)
{
    GPtrArray *h = lab->heap;
    Event *first = h->pdata[0];
    guint n = h->len - 1;
    h->pdata[0] = h->pdata[n];
    g_ptr_array_set_size(h, (gint)n);
    for (guint i = 0, k; (k = 2 * i + 1) < n; i = k) {
        if (k + 1 < n && earlier(h->pdata[k + 1], h->pdata[k]))
            k++;
        if (!earlier(h->pdata[k], h->pdata[i]))
            break;
        gpointer t = h->pdata[i];
        h->pdata[i] = h->pdata[k];
        h->pdata[k] = t;
    }
    return first;
}

static int64_t way(const Lab *lab, unsigned entry, unsigned server)
{
    return strcmp(lab->doors[entry].zone, lab->servers[server].zone) ? FAR_US
                                                                     : NEAR_US;
}

static void drain(WPNode *n)
{
    WPAction *a;
    while ((a = wp_node_next(n)))
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

static double *count_of(GHashTable *t, const char *name)
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
    return count_of(t, key);
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
    WPSet set;
    wp_policy_allowed(p, ws, k, NULL, &set);
    for (unsigned i = 0; i < wp_policy_versions(p); i++) {
        const WPVersion *v = wp_policy_version_at(p, i);
        if (!wp_set_has(&set, i))
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
    if (a->request->ask_rating && a->counted)
        r->cost += 0.02 * version_cost(lab, version, a);
    if (a->request->ask_rating ||
        g_rand_double(lab->rand) < lab->mix->rated_share) {
        Event *e = after(lab, (int64_t)(lab->plan->rating_lag_s * WP_US_PER_S),
                         on_rating);
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

static void do_step(Lab *lab, Ask *a, WPStep step);

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
    s.leg = q->leg;
    g_autoptr(GByteArray) b = wp_pb_pack(&s.base);
    return wp__start__unpack(NULL, b->len, b->data);
}

static void on_start(Lab *lab, Event *e);
static void on_pong(Lab *lab, Event *e);

static void probe(Lab *lab, Ask *a)
{
    WPEndpoint *list[PROBES];
    unsigned n = wp_entry_probes(lab->doors[a->entry].entry, now_of(lab),
                                 a->request, list, PROBES);
    for (unsigned i = 0; i < n; i++) {
        unsigned k = (unsigned)atoi(list[i]->id + 1);
        Event *e = after(lab, 2 * way(lab, a->entry, k), on_pong);
        e->n = a->entry;
        e->m = k;
    }
}

static void on_again(Lab *lab, Event *e)
{
    Ask *a = e->ask;
    do_step(
        lab, a,
        wp_entry_again(lab->doors[a->entry].entry, now_of(lab), a->request));
}

static void do_step(Lab *lab, Ask *a, WPStep step)
{
    LabResult *r = lab->r;
    Event *e;
    switch (step.kind) {
    case WP_STEP_SEND:
        /* A cascade's second step is no second attempt. */
        r->attempts +=
            a->counted && (a->request->n_tried > 1 || a->request->step == 0);
        a->agent = (unsigned)atoi(step.endpoint->id + 1);
        a->stream = ++lab->stream;
        e = after(lab, way(lab, a->entry, a->agent), on_start);
        e->ask = a;
        e->stream = a->stream;
        probe(lab, a);
        return;
    case WP_STEP_LATER:
        e = after(lab, (int64_t)step.retry_after_ms * WP_US_PER_MS, on_again);
        e->ask = a;
        return;
    case WP_STEP_CHECK: {
        bool good = g_rand_double(lab->rand) <
                    truth(lab, a->item->kind, a->request->version);
        a->checked_good = good;
        if (a->counted)
            r->cost += 0.02 * version_cost(lab, a->request->version, a);
        do_step(lab, a,
                wp_entry_checked(lab->doors[a->entry].entry, now_of(lab),
                                 a->request, good));
        return;
    }
    case WP_STEP_DONE: {
        bool checked = a->request->step == 0 && a->request->escalate;
        bool good = checked
                        ? a->checked_good
                        : g_rand_double(lab->rand) <
                              truth(lab, a->item->kind, a->request->version);
        note_answer(lab, a, a->request->version, good);
        break;
    }
    case WP_STEP_FINAL:
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
        wp_endpoint_load(p, l, lab->now_us);
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
            wp_entry_refused(lab->doors[a->entry].entry, now_of(lab),
                             a->request, e->verdict.code, WP_RAN_NOT_RUN,
                             e->verdict.retry_ms));
}

static void on_lost(Lab *lab, Event *e)
{
    Ask *a = e->ask;
    if (a->stream != e->stream)
        return;
    do_step(lab, a,
            wp_entry_lost(lab->doors[a->entry].entry, now_of(lab), a->request,
                          true));
}

static void on_first(Lab *lab, Event *e)
{
    Ask *a = e->ask;
    if (a->stream != e->stream)
        return;
    if (!a->first_us)
        a->first_us = lab->now_us;
    take_load(lab, a->entry, e->n, &e->load);
    wp_entry_first_bytes(lab->doors[a->entry].entry, now_of(lab), a->request);
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
            wp_entry_ended(lab->doors[a->entry].entry, now_of(lab), a->request,
                           &e->end));
}

static void send_back(Lab *lab, unsigned server, Ask *a,
                      void (*fn)(Lab *, Event *), const WPVerdict *v)
{
    Event *e = after(lab, way(lab, a->entry, server), fn);
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
    after(lab, (int64_t)us, on_step)->n = n;
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

static void follow(Lab *lab, unsigned n, WPJob *j, const WPVerdict *v)
{
    Ask *a = j->io;
    if (v->kind == WP_VERDICT_RUN) {
        begin(lab, n, a);
    } else if (v->kind == WP_VERDICT_REFUSE) {
        send_back(lab, n, a, on_refused, v);
        a->job = NULL;
        wp_job_free(j);
    }
}

static void drain_agent(Lab *lab, unsigned n)
{
    WPVerdict v;
    WPJob *j;
    while ((j = wp_agent_next(lab->servers[n].agent, now_of(lab), &v)))
        follow(lab, n, j, &v);
}

static void on_start(Lab *lab, Event *e)
{
    Ask *a = e->ask;
    unsigned n = a->agent;
    Server *s = &lab->servers[n];
    WPVerdict v;
    if (s->lost) {
        /* The link is found dead after the heartbeat's bound. */
        Event *lost = after(lab, WP_US_PER_S, on_lost);
        lost->ask = a;
        lost->stream = a->stream;
        return;
    }
    a->job = wp_agent_start(s->agent, now_of(lab), make_start(lab, a), 1,
                            a->stream, 0, &v);
    a->job->io = a;
    follow(lab, n, a->job, &v);
    drain_agent(lab, n);
}

static void finish(Lab *lab, unsigned n, Ask *a)
{
    Server *s = &lab->servers[n];
    wp_list_remove(&a->link);
    s->n_batch--;
    a->running = false;
    wp_agent_ended(s->agent, now_of(lab), a->job, true, true, a->prompt_tokens,
                   a->answer_tokens);
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
    WPStep step;
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
    WPAsk ask = { .workspace = wp_policy_workspace(p, a->item->workspace),
                  .kind = wp_policy_kind(p, a->item->kind),
                  .prompt_tokens = a->prompt_tokens,
                  .answer_tokens = a->item->answer_tokens,
                  .prefix = wp_hash(wp_str(prefix), 1) };
    if (a->counted) {
        lab->r->offered++;
        kind_of(lab, a->item->kind)->offered++;
        ++*class_count(lab->offered, lab, a);
    }
    a->request = wp_entry_begin(d->entry, now_of(lab), &ask, &step);
    do_step(lab, a, step);
    if (lab->now_us < lab->plan->seconds * WP_US_PER_S)
        after(lab,
              (int64_t)(-log(1 - g_rand_double(lab->rand)) / rate_at(lab) *
                        WP_US_PER_S),
              on_arrival);
}

/* --- what happens by the clock --- */

static void set_config(Lab *lab);

static void on_steer(Lab *lab, Event *e)
{
    WPEntry *entry = lab->doors[0].entry;
    const WPQuality *q = wp_node_quality(lab->doors[0].node);
    g_autofree char *why = NULL;
    GPtrArray *ops = NULL;
    (void)e;
    if (lab->plan->chart)
        ops = wp_rollout_step(lab->plan->chart, wp_entry_policy(entry), q,
                              now_of(lab), &why);
    if (!ops && lab->plan->stop_bad)
        ops = wp_stop_bad(wp_entry_policy(entry), q, now_of(lab), &why);
    if (ops) {
        Wp__Delta d = WP__DELTA__INIT;
        d.prev = lab->revision;
        d.revision = ++lab->revision;
        d.change_id = (char *)"lab";
        d.n_ops = ops->len;
        d.ops = (Wp__Op **)ops->pdata;
        wp_config_apply(lab->config, &d);
        set_config(lab);
        wp_ops_free(ops);
        lab->r->steps++;
    }
    if (lab->now_us < lab->plan->seconds * WP_US_PER_S)
        after(lab, STEER_US, on_steer);
}

static void on_ratings(Lab *lab, Event *e)
{
    (void)e;
    for (unsigned i = 0; i < lab->plan->entries; i++) {
        Door *d = &lab->doors[i];
        wp_node_ratings(d->node, now_of(lab), lab->sums);
        drain(d->node);
        wp_entry_refresh(d->entry, now_of(lab));
    }
    if (lab->now_us < lab->plan->seconds * WP_US_PER_S)
        after(lab, RATINGS_US, on_ratings);
}

/* A lost zone: its running requests are found lost by their entries. */
static void lose(Lab *lab, unsigned n)
{
    Server *s = &lab->servers[n];
    s->lost = true;
    wp_list_each_safe (it, tmp, &s->batch) {
        Ask *a = wp_list_item(it, Ask, link);
        wp_list_remove(&a->link);
        Event *e = after(lab, WP_US_PER_S, on_lost);
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
        after(lab, TICK_US, on_tick);
}

/* --- set up and sum up --- */

static void *load_yaml(const ProtobufCMessageDescriptor *shape,
                       const char *file)
{
    g_autofree char *text = NULL;
    gsize n;
    GError *error = NULL;
    void *m = NULL;
    if (g_file_get_contents(file, &text, &n, &error))
        m = wp_yaml_read(shape, wp_strn(text, n), file, &error);
    if (!m)
        g_error("%s", error->message);
    return m;
}

static void set_node(Lab *lab, WPNode *n)
{
    Wp__Snapshot *s = wp_config_snapshot(lab->config);
    wp_node_all(n, now_of(lab), lab->now_us, true, s);
    wp_pb_free(s);
    drain(n);
}

static void set_config(Lab *lab)
{
    for (unsigned i = 0; i < lab->plan->entries; i++) {
        set_node(lab, lab->doors[i].node);
        wp_entry_refresh(lab->doors[i].entry, now_of(lab));
    }
    for (unsigned i = 0; i < lab->n_servers; i++) {
        set_node(lab, lab->servers[i].node);
        wp_agent_refresh(lab->servers[i].agent, now_of(lab));
    }
    const char *bad = lab->plan->bad_version;
    const WPVersion *v =
        bad ? wp_policy_version(wp_entry_policy(lab->doors[0].entry), bad)
            : NULL;
    if (v && v->spec->withdrawn && !lab->stopped_us)
        lab->stopped_us = lab->now_us;
}

static void make_server(Lab *lab, unsigned n, const char *version)
{
    static char any[] = "x:1", *stores[] = { any };
    Server *s = &lab->servers[n];
    Wp__NodeSettings node = WP__NODE_SETTINGS__INIT;
    Wp__AgentSettings a = WP__AGENT_SETTINGS__INIT;
    Wp__Member self = WP__MEMBER__INIT;
    g_snprintf(s->id, sizeof(s->id), "a%u", n);
    g_snprintf(s->zone, sizeof(s->zone), "z%u", n % lab->plan->zones);
    g_strlcpy(s->version, version, sizeof(s->version));
    s->versions[0] = s->version;
    s->slow = 1;
    wp_list_init(&s->batch);
    node.id = s->id;
    node.zone = s->zone;
    node.store = stores;
    node.n_store = 1;
    node.bill_limit = UINT32_MAX;
    a.node = &node;
    a.endpoint = any;
    a.versions = s->versions;
    a.n_versions = 1;
    a.slots = lab->plan->slots;
    a.queue = lab->plan->queue;
    self.id = s->id;
    self.incarnation = 1;
    self.role = WP__ROLE__ROLE_AGENT;
    self.addr = (char *)"127.0.0.1";
    self.port = n + 1;
    self.zone = s->zone;
    self.versions = s->versions;
    self.n_versions = 1;
    self.has_slots = 1;
    self.slots = lab->plan->slots;
    s->node = wp_node_new(&node, &self, lab->plan->seed + n, now_of(lab));
    s->agent = wp_agent_new(s->node, &a);
}

static void make_door(Lab *lab, unsigned n)
{
    static char any[] = "x:1", *stores[] = { any };
    Door *d = &lab->doors[n];
    Wp__NodeSettings node = WP__NODE_SETTINGS__INIT;
    Wp__EntrySettings s = WP__ENTRY_SETTINGS__INIT;
    Wp__Member self = WP__MEMBER__INIT;
    GError *error = NULL;
    g_snprintf(d->id, sizeof(d->id), "e%u", n);
    g_snprintf(d->zone, sizeof(d->zone), "z%u", n % lab->plan->zones);
    node.id = d->id;
    node.zone = d->zone;
    node.store = stores;
    node.n_store = 1;
    node.bill_limit = UINT32_MAX;
    s.node = &node;
    s.choose = (char *)lab->plan->choose;
    s.balance = (char *)lab->plan->balance;
    self.id = d->id;
    self.incarnation = 1;
    self.role = WP__ROLE__ROLE_ENTRY;
    self.addr = (char *)"127.0.0.2";
    self.zone = d->zone;
    d->node =
        wp_node_new(&node, &self, lab->plan->seed + 1000 + n, now_of(lab));
    d->entry = wp_entry_new(d->node, &s, lab->plan->seed * 31 + n, &error);
    if (!d->entry)
        g_error("%s", error->message);
}

static void introduce(Lab *lab)
{
    Wp__Members all = WP__MEMBERS__INIT;
    Wp__Frame f = WP__FRAME__INIT;
    g_autofree Wp__Member **rows = g_new0(Wp__Member *, lab->n_servers);
    for (unsigned i = 0; i < lab->n_servers; i++)
        rows[i] = (Wp__Member *)wp_node_self(lab->servers[i].node);
    all.n_members = lab->n_servers;
    all.members = rows;
    f.body_case = WP__FRAME__BODY_MEMBERS;
    f.members = &all;
    for (unsigned i = 0; i < lab->plan->entries; i++) {
        wp_node_frame(lab->doors[i].node, now_of(lab), "x:1", &f);
        drain(lab->doors[i].node);
    }
}

static void open_lab(Lab *lab)
{
    const LabPlan *p = lab->plan;
    Wp__Rules *rules = load_yaml(&wp__rules__descriptor, p->rules);
    GPtrArray *ops = wp_rules_ops(rules);
    Wp__Snapshot s = WP__SNAPSHOT__INIT;
    lab->mix = load_yaml(&wp__mix__descriptor, p->mix);
    lab->config = wp_config_new();
    lab->revision = s.revision = 1;
    s.n_ops = ops->len;
    s.ops = (Wp__Op **)ops->pdata;
    wp_config_replace(lab->config, &s);
    wp_ops_free(ops);
    wp_pb_free(rules);
    lab->rand = g_rand_new_with_seed(p->seed);
    lab->heap = g_ptr_array_new();
    lab->now_us = 1;
    lab->sums = calloc(1, sizeof(*lab->sums));
    wp__ratings__init(lab->sums);
    lab->offered =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    lab->served =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (size_t i = 0; i < p->n_pools; i++)
        lab->n_servers += p->pools[i].agents;
    lab->servers = g_new0(Server, lab->n_servers);
    lab->doors = g_new0(Door, p->entries);
    unsigned n = 0;
    for (size_t i = 0; i < p->n_pools; i++)
        for (unsigned k = 0; k < p->pools[i].agents; k++)
            make_server(lab, n++, p->pools[i].version);
    for (unsigned i = 0; i < p->entries; i++)
        make_door(lab, i);
    introduce(lab);
    set_config(lab);
}

typedef struct Part {
    double offered, served;
} Part;

/* The level up to which each is served when `total` is shared max-min. */
static double fair_level(const Part *parts, unsigned n, double total)
{
    double level = 0;
    for (double step = total; step > 0.01; step /= 2) {
        double filled = 0;
        for (unsigned i = 0; i < n; i++)
            filled += fmin(parts[i].offered, level + step);
        level += filled <= total ? step : 0;
    }
    return level;
}

/* Jain's index of what each workspace got of a class over its max-min fair
   part: a small one that got all it asked for counts as one that got its full
   part. Weights are equal here. */
static double fairness_of(Lab *lab, unsigned rank)
{
    Part parts[32];
    unsigned n = 0;
    double total = 0, sum = 0, squares = 0;
    WPPolicy *p = wp_entry_policy(lab->doors[0].entry);
    for (unsigned w = 0; w < wp_policy_workspaces(p) && n < 32; w++) {
        g_autofree char *key = g_strdup_printf(
            "%u/%s", rank, wp_policy_workspace_at(p, w)->spec->name);
        parts[n].offered = *count_of(lab->offered, key);
        parts[n].served = *count_of(lab->served, key);
        total += parts[n].served;
        n += parts[n].offered > 0;
    }
    double level = fair_level(parts, n, total);
    for (unsigned i = 0; i < n; i++) {
        double x = parts[i].served / fmax(fmin(parts[i].offered, level), 1);
        sum += x;
        squares += x * x;
    }
    return squares > 0 ? sum * sum / (n * squares) : 1;
}

static void sum_up(Lab *lab)
{
    LabResult *r = lab->r;
    const LabPlan *p = lab->plan;
    r->jain = fairness_of(lab, 0);
    r->goodput = (double)r->ok / (p->seconds - p->warm_s);
    r->stopped_after_s =
        lab->stopped_us ? (double)lab->stopped_us / WP_US_PER_S - p->bad_from_s
                        : -1;
    r->recovered_after_s = -1;
    for (int s = (int)p->burst_to_s; p->burst_factor > 1 && s < p->seconds;
         s++) {
        if ((double)lab->second_ok[s] < 0.9 * p->rate)
            continue;
        r->recovered_after_s = s - p->burst_to_s;
        break;
    }
    WPPolicy *policy = wp_entry_policy(lab->doors[0].entry);
    if (wp_policy_rollouts(policy))
        g_strlcpy(r->state, wp_policy_rollout_at(policy, 0)->spec->state,
                  sizeof(r->state));
}

static void close_lab(Lab *lab)
{
    for (guint i = 0; i < lab->heap->len; i++)
        g_free(lab->heap->pdata[i]);
    for (unsigned i = 0; i < lab->n_servers; i++) {
        wp_agent_free(lab->servers[i].agent);
        wp_node_free(lab->servers[i].node);
    }
    for (unsigned i = 0; i < lab->plan->entries; i++) {
        wp_entry_free(lab->doors[i].entry);
        wp_node_free(lab->doors[i].node);
    }
    g_hash_table_unref(lab->offered);
    g_hash_table_unref(lab->served);
    wp_pb_free(lab->sums);
    wp_pb_free(lab->mix);
    wp_config_free(lab->config);
    g_ptr_array_unref(lab->heap);
    g_rand_free(lab->rand);
    g_free(lab->doors);
    g_free(lab->servers);
}

void lab_run(const LabPlan *p, LabResult *r)
{
    Lab lab = { .plan = p, .r = r };
    memset(r, 0, sizeof(*r));
    r->first_ms = g_array_new(FALSE, FALSE, sizeof(double));
    open_lab(&lab);
    after(&lab, 0, on_arrival);
    after(&lab, TICK_US, on_tick);
    after(&lab, RATINGS_US, on_ratings);
    after(&lab, STEER_US, on_steer);
    while (lab.heap->len) {
        Event *e = pop(&lab);
        lab.now_us = e->at_us;
        e->fn(&lab, e);
        g_free(e);
    }
    sum_up(&lab);
    close_lab(&lab);
}

void lab_end(LabResult *r)
{
    g_array_unref(r->first_ms);
}

static gint by_value(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return x < y ? -1 : x > y;
}

double lab_quantile(GArray *sample, double q)
{
    if (!sample->len)
        return 0;
    g_array_sort(sample, by_value);
    guint i = (guint)(q * sample->len);
    return g_array_index(sample, double, MIN(i, sample->len - 1));
}

double lab_capacity(const LabPlan *p)
{
    Wp__Mix *mix = load_yaml(&wp__mix__descriptor, p->mix);
    double tokens = 0, weight = 0;
    unsigned servers = 0;
    for (size_t i = 0; i < mix->n_items; i++) {
        const Wp__MixItem *m = mix->items[i];
        /* The mean of the heavy tail, cut at its bound, is about 0.9. */
        double t = m->answer_tokens * (m->heavy_tail ? 0.9 : 1);
        tokens += m->weight * (t + m->prompt_words / 160.0);
        weight += m->weight;
    }
    for (size_t i = 0; i < p->n_pools; i++)
        servers += p->pools[i].agents;
    wp_pb_free(mix);
    double step_s = p->step_us * (1 + BATCH_SLOWDOWN) / WP_US_PER_S;
    return servers * p->slots / step_s / (tokens / weight);
}
