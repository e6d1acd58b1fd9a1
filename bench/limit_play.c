/* Endpoints that name a limit before many boxes. */
#include "limit_play.h"
#include "play.h"
#include "wp_box_updates.h"
#include "wp_fleet.h"

#include <math.h>

enum {
    LASTS_MS = 24000,
    DUE_MOST_MS = LASTS_MS + 2000, /* what is due later is not played */
    NAMES_MS = 2000,
    CHANGES_MS = 13000,
    TOLD_MS = 3000,   /* the platform counts so long after the naming */
    WINDOW_MS = 4000, /* and within so long */
    SLACK = 5,
    STEP_MS = 5,
    GATHER_MS = 20, /* of news in a zone */
    NEWS_MS = 20,   /* from box to box in a zone, at most, besides */
    FLOOD_MS = 100, /* to all boxes, at most */
    LATE_MS = 500,  /* the same of news that is late */
    MOVE_MS = 5000, /* callers move to another box */
    KILL_MS = 3000,
    RUN_MS = 20,    /* of a request at an endpoint */
    WAY_MOST_MS = 5 /* to it, and back */
};

#define RULE_TIMES 1.5
#define SERVICE "app"
#define SLOTS 64

typedef struct Box {
    WPFleet *fleet;
    WPBoxUpdates news;
    WPPaceBox name;
    double share; /* of the callers */
    unsigned life;
} Box;

typedef struct Endpoint {
    char id[16];
    const char *zone;
    bool limited;
    GArray *at_ms; /* int64_t, arrivals */
} Endpoint;

/* A request that comes to its endpoint, or whose answer comes back. */
typedef struct Leg {
    int64_t at_ms, sent_ms;
    unsigned box, life, endpoint;
    bool answered;
    double per_s; /* that the answer names */
} Leg;

/* News that one box hears. */
typedef struct Word {
    int64_t at_ms;
    unsigned to;
    enum { WORD_SENT, WORD_ASKED, WORD_ZONE, WORD_LIMIT } kind;
    uint64_t endpoint; /* SENT */
    WPDemandUpdate demand;
    WPLimitUpdate limit;
} Word;

typedef struct Play {
    const LimitPlan *plan;
    GRand *rand;
    Box *boxes;
    Endpoint *endpoints;
    GPtrArray *legs[DUE_MOST_MS]; /* by the time at which they are due */
    GPtrArray *words[DUE_MOST_MS];
    unsigned asked, refused; /* after TOLD_MS */
    unsigned next_kill;
} Play;

static char *zone_name(unsigned i)
{
    return g_strdup_printf("z%u", i);
}

static const char *zone_of(const Play *p, unsigned i)
{
    g_autofree char *name = zone_name(i % p->plan->zones);
    return g_intern_string(name);
}

static WPTime time_of(int64_t ms)
{
    /* Well after the start of clocks. */
    return (WPTime){ (100000 + ms) * WP_US_PER_MS, 1700000000000 + ms };
}

static void due(GPtrArray **table, int64_t at_ms, gpointer what)
{
    if (at_ms >= DUE_MOST_MS) {
        g_free(what);
        return;
    }
    if (!table[at_ms])
        table[at_ms] = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(table[at_ms], what);
}

static int64_t within(Play *p, int64_t most_ms)
{
    return g_rand_int_range(p->rand, 1, (gint32)most_ms + 1);
}

/* A process begins, and knows the list of endpoints and of boxes. */
static void start_box(Play *p, unsigned i, int64_t ms)
{
    Box *b = &p->boxes[i];
    const WPFleetRules rules = { .own_zone = g_intern_string(b->name.zone),
                                 .zone_weight = 0.35,
                                 .slow_weight = 0.25 };
    g_autofree WPPaceBox *all = g_new(WPPaceBox, p->plan->boxes);
    b->fleet = wp_fleet_new(p->plan->seed * 1000 + i + b->life * 77);
    wp_fleet_set_rules(b->fleet, &rules);
    for (unsigned k = 0; k < p->plan->boxes; k++)
        all[k] = p->boxes[k].name;
    wp_fleet_set_boxes(b->fleet, &b->name, all, p->plan->boxes, p->plan->boxes);
    for (unsigned e = 0; e < p->plan->endpoints; e++) {
        const WPRegistryEntry l = { .id = p->endpoints[e].id,
                                    .service = SERVICE,
                                    .addr = "127.0.0.1:1",
                                    .zone = p->endpoints[e].zone,
                                    .version = "v1",
                                    .slots = SLOTS };
        wp_fleet_put(b->fleet, time_of(ms), &l);
    }
    wp_box_updates_init(&b->news);
    wp_fleet_set_updates(b->fleet, &b->news);
}

static void end_box(Box *b)
{
    wp_fleet_free(b->fleet);
    wp_box_updates_destroy(&b->news);
}

static void play_init(Play *p, const LimitPlan *plan)
{
    p->plan = plan;
    p->rand = g_rand_new_with_seed(plan->seed);
    p->boxes = g_new0(Box, plan->boxes);
    p->endpoints = g_new0(Endpoint, plan->endpoints);
    for (unsigned e = 0; e < plan->endpoints; e++) {
        Endpoint *n = &p->endpoints[e];
        g_snprintf(n->id, sizeof(n->id), "i-%u", e);
        n->zone = zone_of(p, e);
        n->limited = e < (unsigned)ceil(plan->limited * plan->endpoints);
        n->at_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    for (unsigned i = 0; i < plan->boxes; i++) {
        g_autofree char *name = g_strdup_printf("box-%u", i);
        p->boxes[i].name =
            (WPPaceBox){ wp_hash(wp_str(name), 0), zone_of(p, i) };
    }
    for (unsigned i = 0; i < plan->boxes; i++)
        start_box(p, i, 0);
}

static void free_due(GPtrArray **table)
{
    for (unsigned i = 0; i < DUE_MOST_MS; i++)
        if (table[i])
            g_ptr_array_unref(table[i]);
}

static void play_end(Play *p)
{
    for (unsigned i = 0; i < p->plan->boxes; i++)
        end_box(&p->boxes[i]);
    for (unsigned e = 0; e < p->plan->endpoints; e++)
        g_array_unref(p->endpoints[e].at_ms);
    free_due(p->legs);
    free_due(p->words);
    g_free(p->boxes);
    g_free(p->endpoints);
    g_rand_free(p->rand);
    g_free(p);
}

/* The limit that is named then; 0: none. */
static double limit_at(const LimitPlan *plan, int64_t ms)
{
    if (ms < NAMES_MS)
        return 0;
    return plan->then_per_s >= 0 && ms >= CHANGES_MS ? plan->then_per_s
                                                     : plan->per_s;
}

static double weight_of(const LimitPlan *plan, unsigned box, int64_t ms)
{
    switch (plan->callers) {
    case LIMIT_ONE_BOX:
        return box == 0;
    case LIMIT_UNEVEN:
        return 1.0 / (1 << (box % 4));
    case LIMIT_ONE_ZONE:
        return box % plan->zones == 0;
    case LIMIT_MOVING:
        return box == (unsigned)(ms / MOVE_MS) % plan->boxes;
    default:
        return 1;
    }
}

static void spread_callers(Play *p, int64_t ms)
{
    double sum = 0;
    for (unsigned i = 0; i < p->plan->boxes; i++)
        sum += weight_of(p->plan, i, ms);
    for (unsigned i = 0; i < p->plan->boxes; i++)
        p->boxes[i].share = weight_of(p->plan, i, ms) / sum;
}

static void send(Play *p, unsigned box, WPReplica *s, int64_t ms,
                 const WPEndpointQuery *w)
{
    Leg *l = g_new0(Leg, 1);
    l->at_ms = ms + within(p, WAY_MOST_MS);
    l->sent_ms = ms;
    l->box = box;
    l->life = p->boxes[box].life;
    l->endpoint = (unsigned)atoi(s->id + strlen("i-"));
    wp_fleet_request_sent(p->boxes[box].fleet, s, time_of(ms), w, 0);
    wp_replica_unref(s);
    due(p->legs, l->at_ms, l);
}

static void ask(Play *p, unsigned box, int64_t ms)
{
    Box *b = &p->boxes[box];
    const WPEndpointQuery w = { .service = SERVICE,
                                .zone = b->name.zone,
                                .random = g_rand_double(p->rand) };
    wp_fleet_count_request(b->fleet, time_of(ms), SERVICE);
    WPReplica *s = wp_fleet_choose(b->fleet, time_of(ms), &w);
    bool counts = ms >= NAMES_MS + TOLD_MS;
    p->asked += counts;
    if (s)
        send(p, box, s, ms, &w);
    else
        p->refused += counts;
}

static void arrive(Play *p, const Leg *l)
{
    Endpoint *e = &p->endpoints[l->endpoint];
    Leg *back = g_memdup2(l, sizeof(*l));
    g_array_append_val(e->at_ms, l->at_ms);
    back->at_ms = l->at_ms + RUN_MS + within(p, WAY_MOST_MS);
    back->answered = true;
    back->per_s = e->limited ? limit_at(p->plan, l->at_ms) : 0;
    due(p->legs, back->at_ms, back);
}

static void answer(Play *p, const Leg *l)
{
    Box *b = &p->boxes[l->box];
    WPTime now = time_of(l->at_ms);
    if (b->life != l->life)
        return;
    WPReplica *s = wp_fleet_find(b->fleet, p->endpoints[l->endpoint].id);
    const WPLimitReport seen = { { l->per_s > 0 ? WP_LIMIT_FIELD_PRESENT
                                                : WP_LIMIT_FIELD_NONE,
                                   l->per_s },
                                 true,
                                 time_of(l->sent_ms).mono_us };
    wp_fleet_record_limit(b->fleet, s, now, &seen);
    wp_fleet_request_ended(s, now, WP_OUTCOME_OK);
}

static void run_legs(Play *p, int64_t ms)
{
    for (guint i = 0; p->legs[ms] && i < p->legs[ms]->len; i++) {
        const Leg *l = g_ptr_array_index(p->legs[ms], i);
        if (l->answered)
            answer(p, l);
        else
            arrive(p, l);
    }
}

static void say(Play *p, unsigned to, int64_t ms, const Word *w)
{
    Word *copy = g_memdup2(w, sizeof(*w));
    bool late = p->plan->trouble == LIMIT_LATE;
    int64_t most = late                                            ? LATE_MS
                   : w->kind == WORD_SENT || w->kind == WORD_ASKED ? NEWS_MS
                                                                   : FLOOD_MS;
    copy->to = to;
    copy->at_ms = ms + within(p, most);
    due(p->words, copy->at_ms, copy);
}

static void say_in_zone(Play *p, unsigned from, int64_t ms, const Word *w)
{
    for (unsigned i = from % p->plan->zones; i < p->plan->boxes;
         i += p->plan->zones)
        if (i != from)
            say(p, i, ms, w);
}

static void say_to_all(Play *p, unsigned from, int64_t ms, const Word *w)
{
    for (unsigned i = 0; i < p->plan->boxes; i++)
        if (i != from)
            say(p, i, ms, w);
}

/* What a box tells its zone of, of endpoints with a limit. */
static void tell_zone(Play *p, unsigned box, int64_t ms)
{
    Box *b = &p->boxes[box];
    Word w = { .kind = WORD_ASKED };
    while (wp_demand_take_unsent(wp_fleet_demand(b->fleet), time_of(ms),
                                 &w.demand)) {
        w.demand.subject = b->name.hash;
        say_in_zone(p, box, ms, &w);
    }
    for (guint i = 0; i < b->news.sent_to->len; i++) {
        w.kind = WORD_SENT;
        w.endpoint = g_array_index(b->news.sent_to, uint64_t, i);
        const WPReplica *s = wp_fleet_by_hash(b->fleet, w.endpoint);
        if (s && s->reported.limit)
            say_in_zone(p, box, ms, &w);
    }
    wp_box_updates_reset(&b->news);
}

static void tell_all(Play *p, unsigned box, int64_t ms)
{
    WPFleet *f = p->boxes[box].fleet;
    WPLimitUpdate limits[64];
    Word w = { .kind = WORD_LIMIT };
    size_t n =
        wp_fleet_take_unsent_limits(f, time_of(ms), limits, WP_COUNT(limits));
    for (size_t i = 0; i < n; i++) {
        w.limit = limits[i];
        if (limits[i].origin_box ==
            p->boxes[box].name.hash) /* all hear it at once */
            say_to_all(p, box, ms, &w);
    }
    w.kind = WORD_ZONE;
    bool first = box < p->plan->zones;
    while (first && wp_demand_is_active(wp_fleet_demand(f), time_of(ms)) &&
           wp_fleet_take_unsent_zone_demand(f, time_of(ms), &w.demand))
        say_to_all(p, box, ms, &w);
}

static void hear(Play *p, int64_t ms)
{
    WPTime now = time_of(ms);
    for (guint i = 0; p->words[ms] && i < p->words[ms]->len; i++) {
        const Word *w = g_ptr_array_index(p->words[ms], i);
        WPFleet *f = p->boxes[w->to].fleet;
        WPReplica *s = wp_fleet_by_hash(f, w->endpoint);
        switch (w->kind) {
        case WORD_SENT:
            if (s)
                wp_fleet_merge_sent(s, now, 0);
            break;
        case WORD_ASKED:
            wp_demand_merge(wp_fleet_demand(f), now, &w->demand);
            break;
        case WORD_ZONE:
            wp_demand_merge_zone(wp_fleet_demand(f), now, &w->demand);
            break;
        case WORD_LIMIT:
            wp_fleet_merge_limit(f, now, &w->limit);
            break;
        }
    }
}

typedef struct Told {
    Play *play;
    unsigned to;
    int64_t ms;
} Told;

static void tell_limit(void *arg, const WPLimitUpdate *n)
{
    Told *t = arg;
    const Word w = { .kind = WORD_LIMIT, .limit = *n };
    say(t->play, t->to, t->ms, &w);
}

/* Starts again; the next box tells it what it knows. */
static void kill_box(Play *p, unsigned i, int64_t ms)
{
    Told t = { p, i, ms };
    end_box(&p->boxes[i]);
    p->boxes[i].life++;
    start_box(p, i, ms);
    if (p->plan->boxes > 1 && p->plan->trouble != LIMIT_DEAF)
        wp_fleet_each_limit(p->boxes[(i + 1) % p->plan->boxes].fleet,
                            tell_limit, &t);
}

static void trouble(Play *p, int64_t ms)
{
    if (p->plan->trouble == LIMIT_KILLS && ms % KILL_MS == 0 && ms)
        kill_box(p, p->next_kill++ % p->plan->boxes, ms);
    if (p->plan->trouble == LIMIT_ALL_KILL && ms == LASTS_MS / 2)
        for (unsigned i = 0; i < p->plan->boxes; i++)
            kill_box(p, i, ms);
}

static void step(Play *p, int64_t ms)
{
    double per_step = p->plan->asked_per_s * STEP_MS / WP_MS_PER_S;
    trouble(p, ms);
    spread_callers(p, ms);
    for (unsigned i = 0; i < p->plan->boxes; i++) {
        if (p->boxes[i].share > 0)
            for (unsigned n =
                     play_poisson(p->rand, per_step * p->boxes[i].share);
                 n; n--)
                ask(p, i, ms);
        if (ms % GATHER_MS)
            continue;
        wp_fleet_tick(p->boxes[i].fleet, time_of(ms));
        if (p->plan->trouble == LIMIT_DEAF)
            continue;
        tell_zone(p, i, ms);
        tell_all(p, i, ms);
    }
}

unsigned limit_allowed(double per_s)
{
    return (unsigned)(RULE_TIMES * per_s * WINDOW_MS / WP_MS_PER_S + SLACK);
}

static unsigned count_within(const Endpoint *e, int64_t from_ms, int64_t to_ms)
{
    unsigned n = 0;
    for (guint i = 0; i < e->at_ms->len; i++) {
        int64_t ms = g_array_index(e->at_ms, int64_t, i);
        n += ms >= from_ms && ms < to_ms;
    }
    return n;
}

static void sum_limited(const Endpoint *e, double per_s, int64_t from_ms,
                        int64_t to_ms, LimitSums *sums)
{
    unsigned most = 0;
    for (guint i = 0; i < e->at_ms->len; i++) {
        int64_t ms = g_array_index(e->at_ms, int64_t, i);
        if (ms >= from_ms && ms < to_ms)
            most = MAX(most, count_within(e, ms, MIN(ms + WINDOW_MS, to_ms)));
    }
    sums->most = MAX(sums->most, most);
    sums->over += most > limit_allowed(per_s);
    double used = count_within(e, from_ms, to_ms) * (double)WP_MS_PER_S /
                  (per_s * (double)(to_ms - from_ms));
    sums->used_least = MIN(sums->used_least, used);
    sums->used += used;
}

static double mean_within(const Play *p, bool limited, int64_t from_ms)
{
    double n = 0, of = 0;
    for (unsigned e = 0; e < p->plan->endpoints; e++)
        if (p->endpoints[e].limited == limited) {
            n += count_within(&p->endpoints[e], from_ms, LASTS_MS);
            of++;
        }
    return of ? n / of : 0;
}

static LimitSums sum_up(const Play *p)
{
    const LimitPlan *plan = p->plan;
    LimitSums sums = { .used_least = INFINITY };
    unsigned n = 0;
    bool changes = plan->then_per_s >= 0;
    for (unsigned e = 0; e < plan->endpoints; e++) {
        if (!p->endpoints[e].limited)
            continue;
        sum_limited(&p->endpoints[e], plan->per_s, NAMES_MS + TOLD_MS,
                    changes ? CHANGES_MS : LASTS_MS, &sums);
        n++;
        if (plan->then_per_s <= 0)
            continue;
        sum_limited(&p->endpoints[e], plan->then_per_s, CHANGES_MS + TOLD_MS,
                    LASTS_MS, &sums);
        n++;
    }
    sums.used = n ? sums.used / n : 0;
    sums.served = p->asked ? 1 - (double)p->refused / p->asked : 0;
    double others = mean_within(p, false, CHANGES_MS + TOLD_MS);
    if (plan->then_per_s == 0 && others > 0)
        sums.back = mean_within(p, true, CHANGES_MS + TOLD_MS) / others;
    return sums;
}

LimitSums limit_play(const LimitPlan *plan)
{
    Play *p = g_new0(Play, 1);
    play_init(p, plan);
    for (int64_t ms = 0; ms < LASTS_MS; ms++) {
        run_legs(p, ms);
        hear(p, ms);
        if (ms % STEP_MS == 0)
            step(p, ms);
    }
    LimitSums sums = sum_up(p);
    play_end(p);
    return sums;
}
