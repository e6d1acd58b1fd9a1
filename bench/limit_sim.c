/* Simulation of endpoints that report a rate limit to many boxes. */
#include "limit_sim.h"
#include "sim_random.h"
#include "wp_box_updates.h"
#include "wp_fleet.h"

#include <math.h>

enum {
    DURATION_MS = 24000,
    SCHEDULE_MAX_MS = DURATION_MS + 2000, /* what is due later is dropped */
    LIMIT_START_MS = 2000,
    LIMIT_CHANGE_MS = 13000,
    GRACE_MS = 3000,  /* the platform counts from so long after first reports */
    WINDOW_MS = 4000, /* length of the window in which the platform counts */
    ALLOWED_SLACK = 5,
    STEP_MS = 5,
    BATCH_MS = 20,             /* interval at which a box sends its updates */
    ZONE_DELAY_MAX_MS = 20,    /* of an update in a zone, after batching */
    GLOBAL_DELAY_MAX_MS = 100, /* of an update to all boxes */
    SLOW_DELAY_MAX_MS = 500,   /* of an update with LIMIT_SLOW_UPDATES */
    ROTATE_MS = 5000,          /* callers change boxes, LIMIT_ROTATING */
    RESTART_MS = 3000,         /* between restarts, LIMIT_ROLLING_RESTARTS */
    RUN_MS = 20,               /* duration of a request at an endpoint */
    NETWORK_DELAY_MAX_MS = 5   /* to an endpoint, and back */
};

#define ALLOWED_FACTOR 1.5
#define SERVICE "app"
#define SLOTS 64

typedef struct Box {
    WPFleet *fleet;
    WPBoxUpdates updates;
    WPPaceBox self;
    double share; /* share of the callers' requests */
    unsigned incarnation;
} Box;

typedef struct Endpoint {
    char id[16];
    const char *zone;
    bool limited;
    GArray *at_ms; /* int64_t: arrival times */
} Endpoint;

/* A request on its way to an endpoint, or its answer on the way back. */
typedef struct Attempt {
    int64_t at_ms, sent_ms;
    unsigned box, incarnation, endpoint;
    bool is_reply;
    double limit_per_s; /* limit that the answer reports; 0: none */
} Attempt;

/* An update on its way to one box. */
typedef struct Update {
    int64_t at_ms;
    unsigned to;
    enum { UPDATE_SENT, UPDATE_DEMAND, UPDATE_ZONE_DEMAND, UPDATE_LIMIT } kind;
    uint64_t endpoint; /* for UPDATE_SENT */
    WPDemandUpdate demand;
    WPLimitUpdate limit;
} Update;

typedef struct Sim {
    const LimitPlan *plan;
    GRand *rand;
    Box *boxes;
    Endpoint *endpoints;
    GPtrArray *attempts[SCHEDULE_MAX_MS]; /* by due time in ms */
    GPtrArray *updates[SCHEDULE_MAX_MS];
    unsigned requests, refused; /* from GRACE_MS after the limit starts */
    unsigned next_restart;
} Sim;

static char *zone_name(unsigned i)
{
    return g_strdup_printf("z%u", i);
}

static const char *zone_of(const Sim *p, unsigned i)
{
    g_autofree char *name = zone_name(i % p->plan->zones);
    return g_intern_string(name);
}

static WPTime time_of(int64_t ms)
{
    /* An arbitrary start, well after 0. */
    return (WPTime){ (100000 + ms) * WP_US_PER_MS, 1700000000000 + ms };
}

/* Adds `what` to the list that is due at this time. Takes ownership. */
static void schedule(GPtrArray **table, int64_t at_ms, gpointer what)
{
    if (at_ms >= SCHEDULE_MAX_MS) {
        g_free(what);
        return;
    }
    if (!table[at_ms])
        table[at_ms] = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(table[at_ms], what);
}

/* A random delay of 1 to `max_ms` milliseconds. */
static int64_t random_delay(Sim *p, int64_t max_ms)
{
    return g_rand_int_range(p->rand, 1, (gint32)max_ms + 1);
}

/* Starts a box that knows the endpoint registry and the list of boxes. */
static void start_box(Sim *p, unsigned i, int64_t ms)
{
    Box *b = &p->boxes[i];
    const WPFleetRules rules = { .own_zone = g_intern_string(b->self.zone),
                                 .zone_weight = 0.35,
                                 .slow_weight = 0.25 };
    g_autofree WPPaceBox *all = g_new(WPPaceBox, p->plan->boxes);
    b->fleet = wp_fleet_new(p->plan->seed * 1000 + i + b->incarnation * 77);
    wp_fleet_set_rules(b->fleet, &rules);
    for (unsigned k = 0; k < p->plan->boxes; k++)
        all[k] = p->boxes[k].self;
    wp_fleet_set_boxes(b->fleet, &b->self, all, p->plan->boxes, p->plan->boxes);
    for (unsigned e = 0; e < p->plan->endpoints; e++) {
        const WPRegistryEntry l = { .id = p->endpoints[e].id,
                                    .service = SERVICE,
                                    .addr = "127.0.0.1:1",
                                    .zone = p->endpoints[e].zone,
                                    .version = "v1",
                                    .slots = SLOTS };
        wp_fleet_put(b->fleet, time_of(ms), &l);
    }
    wp_box_updates_init(&b->updates);
    wp_fleet_set_updates(b->fleet, &b->updates);
}

static void stop_box(Box *b)
{
    wp_fleet_free(b->fleet);
    wp_box_updates_destroy(&b->updates);
}

static void sim_init(Sim *p, const LimitPlan *plan)
{
    p->plan = plan;
    p->rand = g_rand_new_with_seed(plan->seed);
    p->boxes = g_new0(Box, plan->boxes);
    p->endpoints = g_new0(Endpoint, plan->endpoints);
    for (unsigned e = 0; e < plan->endpoints; e++) {
        Endpoint *n = &p->endpoints[e];
        g_snprintf(n->id, sizeof(n->id), "i-%u", e);
        n->zone = zone_of(p, e);
        n->limited = e < (unsigned)ceil(plan->limited_share * plan->endpoints);
        n->at_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    for (unsigned i = 0; i < plan->boxes; i++) {
        g_autofree char *name = g_strdup_printf("box-%u", i);
        p->boxes[i].self =
            (WPPaceBox){ wp_hash(wp_str(name), 0), zone_of(p, i) };
    }
    for (unsigned i = 0; i < plan->boxes; i++)
        start_box(p, i, 0);
}

static void free_schedule(GPtrArray **table)
{
    for (unsigned i = 0; i < SCHEDULE_MAX_MS; i++)
        if (table[i])
            g_ptr_array_unref(table[i]);
}

static void sim_destroy(Sim *p)
{
    for (unsigned i = 0; i < p->plan->boxes; i++)
        stop_box(&p->boxes[i]);
    for (unsigned e = 0; e < p->plan->endpoints; e++)
        g_array_unref(p->endpoints[e].at_ms);
    free_schedule(p->attempts);
    free_schedule(p->updates);
    g_free(p->boxes);
    g_free(p->endpoints);
    g_rand_free(p->rand);
    g_free(p);
}

/* The limit that endpoints report at this time; 0: none. */
static double limit_at(const LimitPlan *plan, int64_t ms)
{
    if (ms < LIMIT_START_MS)
        return 0;
    return plan->new_limit_per_s >= 0 && ms >= LIMIT_CHANGE_MS
               ? plan->new_limit_per_s
               : plan->limit_per_s;
}

static double caller_weight(const LimitPlan *plan, unsigned box, int64_t ms)
{
    switch (plan->callers) {
    case LIMIT_ONE_BOX:
        return box == 0;
    case LIMIT_UNEVEN:
        return 1.0 / (1 << (box % 4));
    case LIMIT_ONE_ZONE:
        return box % plan->zones == 0;
    case LIMIT_ROTATING:
        return box == (unsigned)(ms / ROTATE_MS) % plan->boxes;
    default:
        return 1;
    }
}

static void update_caller_shares(Sim *p, int64_t ms)
{
    double sum = 0;
    for (unsigned i = 0; i < p->plan->boxes; i++)
        sum += caller_weight(p->plan, i, ms);
    for (unsigned i = 0; i < p->plan->boxes; i++)
        p->boxes[i].share = caller_weight(p->plan, i, ms) / sum;
}

static void send(Sim *p, unsigned box, WPReplica *s, int64_t ms,
                 const WPEndpointQuery *w)
{
    Attempt *l = g_new0(Attempt, 1);
    l->at_ms = ms + random_delay(p, NETWORK_DELAY_MAX_MS);
    l->sent_ms = ms;
    l->box = box;
    l->incarnation = p->boxes[box].incarnation;
    l->endpoint = (unsigned)atoi(s->id + strlen("i-"));
    wp_fleet_request_sent(p->boxes[box].fleet, s, time_of(ms), w, 0);
    wp_replica_unref(s);
    schedule(p->attempts, l->at_ms, l);
}

static void handle_request(Sim *p, unsigned box, int64_t ms)
{
    Box *b = &p->boxes[box];
    const WPEndpointQuery w = { .service = SERVICE,
                                .zone = b->self.zone,
                                .random = g_rand_double(p->rand) };
    wp_fleet_count_request(b->fleet, time_of(ms), SERVICE);
    WPReplica *s = wp_fleet_choose(b->fleet, time_of(ms), &w);
    bool counts = ms >= LIMIT_START_MS + GRACE_MS;
    p->requests += counts;
    if (s)
        send(p, box, s, ms, &w);
    else
        p->refused += counts;
}

static void handle_arrival(Sim *p, const Attempt *l)
{
    Endpoint *e = &p->endpoints[l->endpoint];
    Attempt *reply = g_memdup2(l, sizeof(*l));
    g_array_append_val(e->at_ms, l->at_ms);
    reply->at_ms = l->at_ms + RUN_MS + random_delay(p, NETWORK_DELAY_MAX_MS);
    reply->is_reply = true;
    reply->limit_per_s = e->limited ? limit_at(p->plan, l->at_ms) : 0;
    schedule(p->attempts, reply->at_ms, reply);
}

static void handle_answer(Sim *p, const Attempt *l)
{
    Box *b = &p->boxes[l->box];
    WPTime now = time_of(l->at_ms);
    if (b->incarnation != l->incarnation)
        return;
    WPReplica *s = wp_fleet_find(b->fleet, p->endpoints[l->endpoint].id);
    const WPLimitReport seen = { { l->limit_per_s > 0 ? WP_LIMIT_FIELD_PRESENT
                                                      : WP_LIMIT_FIELD_NONE,
                                   l->limit_per_s },
                                 true,
                                 time_of(l->sent_ms).mono_us };
    wp_fleet_record_limit(b->fleet, s, now, &seen);
    wp_fleet_request_ended(s, now, WP_OUTCOME_OK);
}

static void run_attempts(Sim *p, int64_t ms)
{
    for (guint i = 0; p->attempts[ms] && i < p->attempts[ms]->len; i++) {
        const Attempt *l = g_ptr_array_index(p->attempts[ms], i);
        if (l->is_reply)
            handle_answer(p, l);
        else
            handle_arrival(p, l);
    }
}

static void send_update(Sim *p, unsigned to, int64_t ms, const Update *w)
{
    Update *copy = g_memdup2(w, sizeof(*w));
    bool late = p->plan->fault == LIMIT_SLOW_UPDATES;
    int64_t max_ms = late ? SLOW_DELAY_MAX_MS
                     : w->kind == UPDATE_SENT || w->kind == UPDATE_DEMAND
                         ? ZONE_DELAY_MAX_MS
                         : GLOBAL_DELAY_MAX_MS;
    copy->to = to;
    copy->at_ms = ms + random_delay(p, max_ms);
    schedule(p->updates, copy->at_ms, copy);
}

static void send_to_zone(Sim *p, unsigned from, int64_t ms, const Update *w)
{
    for (unsigned i = from % p->plan->zones; i < p->plan->boxes;
         i += p->plan->zones)
        if (i != from)
            send_update(p, i, ms, w);
}

static void send_to_all(Sim *p, unsigned from, int64_t ms, const Update *w)
{
    for (unsigned i = 0; i < p->plan->boxes; i++)
        if (i != from)
            send_update(p, i, ms, w);
}

/* Sends to the box's zone: its demand, and the requests that it sent to
   endpoints with a limit. */
static void send_zone_updates(Sim *p, unsigned box, int64_t ms)
{
    Box *b = &p->boxes[box];
    Update w = { .kind = UPDATE_DEMAND };
    while (wp_demand_take_unsent(wp_fleet_demand(b->fleet), time_of(ms),
                                 &w.demand)) {
        w.demand.subject = b->self.hash;
        send_to_zone(p, box, ms, &w);
    }
    for (guint i = 0; i < b->updates.sent_to->len; i++) {
        w.kind = UPDATE_SENT;
        w.endpoint = g_array_index(b->updates.sent_to, uint64_t, i);
        const WPReplica *s = wp_fleet_by_hash(b->fleet, w.endpoint);
        if (s && s->reported.limit)
            send_to_zone(p, box, ms, &w);
    }
    wp_box_updates_reset(&b->updates);
}

/* Sends to all boxes: the limits that this box got from endpoints and, from
   one box per zone, the demand of its zone. */
static void send_global_updates(Sim *p, unsigned box, int64_t ms)
{
    WPFleet *f = p->boxes[box].fleet;
    WPLimitUpdate limits[64];
    Update w = { .kind = UPDATE_LIMIT };
    size_t n =
        wp_fleet_take_unsent_limits(f, time_of(ms), limits, WP_COUNT(limits));
    for (size_t i = 0; i < n; i++) {
        w.limit = limits[i];
        /* A box sends only the limits that it got from an endpoint itself, to
           all boxes directly; none are relayed. */
        if (limits[i].origin_box == p->boxes[box].self.hash)
            send_to_all(p, box, ms, &w);
    }
    w.kind = UPDATE_ZONE_DEMAND;
    bool first = box < p->plan->zones;
    while (first && wp_demand_is_active(wp_fleet_demand(f), time_of(ms)) &&
           wp_fleet_take_unsent_zone_demand(f, time_of(ms), &w.demand))
        send_to_all(p, box, ms, &w);
}

static void merge_updates(Sim *p, int64_t ms)
{
    WPTime now = time_of(ms);
    for (guint i = 0; p->updates[ms] && i < p->updates[ms]->len; i++) {
        const Update *w = g_ptr_array_index(p->updates[ms], i);
        WPFleet *f = p->boxes[w->to].fleet;
        WPReplica *s = wp_fleet_by_hash(f, w->endpoint);
        switch (w->kind) {
        case UPDATE_SENT:
            if (s)
                wp_fleet_merge_sent(s, now, 0);
            break;
        case UPDATE_DEMAND:
            wp_demand_merge(wp_fleet_demand(f), now, &w->demand);
            break;
        case UPDATE_ZONE_DEMAND:
            wp_demand_merge_zone(wp_fleet_demand(f), now, &w->demand);
            break;
        case UPDATE_LIMIT:
            wp_fleet_merge_limit(f, now, &w->limit);
            break;
        }
    }
}

/* Argument of send_limit(): the box that gets the limits. */
typedef struct SyncTarget {
    Sim *sim;
    unsigned to;
    int64_t ms;
} SyncTarget;

static void send_limit(void *arg, const WPLimitUpdate *n)
{
    SyncTarget *t = arg;
    const Update w = { .kind = UPDATE_LIMIT, .limit = *n };
    send_update(t->sim, t->to, t->ms, &w);
}

/* Restarts a box; the next box sends it all the limits that it knows. */
static void restart_box(Sim *p, unsigned i, int64_t ms)
{
    SyncTarget t = { p, i, ms };
    stop_box(&p->boxes[i]);
    p->boxes[i].incarnation++;
    start_box(p, i, ms);
    if (p->plan->boxes > 1 && p->plan->fault != LIMIT_NO_UPDATES)
        wp_fleet_each_limit(p->boxes[(i + 1) % p->plan->boxes].fleet,
                            send_limit, &t);
}

static void inject_faults(Sim *p, int64_t ms)
{
    if (p->plan->fault == LIMIT_ROLLING_RESTARTS && ms % RESTART_MS == 0 && ms)
        restart_box(p, p->next_restart++ % p->plan->boxes, ms);
    if (p->plan->fault == LIMIT_RESTART_ALL && ms == DURATION_MS / 2)
        for (unsigned i = 0; i < p->plan->boxes; i++)
            restart_box(p, i, ms);
}

static void step(Sim *p, int64_t ms)
{
    double per_step = p->plan->requests_per_s * STEP_MS / WP_MS_PER_S;
    inject_faults(p, ms);
    update_caller_shares(p, ms);
    for (unsigned i = 0; i < p->plan->boxes; i++) {
        if (p->boxes[i].share > 0)
            for (unsigned n =
                     sim_poisson(p->rand, per_step * p->boxes[i].share);
                 n; n--)
                handle_request(p, i, ms);
        if (ms % BATCH_MS)
            continue;
        wp_fleet_tick(p->boxes[i].fleet, time_of(ms));
        if (p->plan->fault == LIMIT_NO_UPDATES)
            continue;
        send_zone_updates(p, i, ms);
        send_global_updates(p, i, ms);
    }
}

unsigned limit_allowed_in_window(double limit_per_s)
{
    return (unsigned)(ALLOWED_FACTOR * limit_per_s * WINDOW_MS / WP_MS_PER_S +
                      ALLOWED_SLACK);
}

/* Arrivals at the endpoint in [from_ms, to_ms). */
static unsigned count_within(const Endpoint *e, int64_t from_ms, int64_t to_ms)
{
    unsigned n = 0;
    for (guint i = 0; i < e->at_ms->len; i++) {
        int64_t ms = g_array_index(e->at_ms, int64_t, i);
        n += ms >= from_ms && ms < to_ms;
    }
    return n;
}

/* Adds the measurements of one endpoint with this limit, in [from_ms, to_ms),
   to the result. */
static void measure_limited(const Endpoint *e, double limit_per_s,
                            int64_t from_ms, int64_t to_ms, LimitResult *result)
{
    unsigned max_count = 0;
    for (guint i = 0; i < e->at_ms->len; i++) {
        int64_t ms = g_array_index(e->at_ms, int64_t, i);
        if (ms >= from_ms && ms < to_ms)
            max_count =
                MAX(max_count, count_within(e, ms, MIN(ms + WINDOW_MS, to_ms)));
    }
    result->max_in_window = MAX(result->max_in_window, max_count);
    result->endpoints_over += max_count > limit_allowed_in_window(limit_per_s);
    double used = count_within(e, from_ms, to_ms) * (double)WP_MS_PER_S /
                  (limit_per_s * (double)(to_ms - from_ms));
    result->min_utilization = MIN(result->min_utilization, used);
    result->utilization += used;
}

/* Mean number of requests per endpoint with (without) a limit from `from_ms`
   on. */
static double mean_requests(const Sim *p, bool limited, int64_t from_ms)
{
    double n = 0, of = 0;
    for (unsigned e = 0; e < p->plan->endpoints; e++)
        if (p->endpoints[e].limited == limited) {
            n += count_within(&p->endpoints[e], from_ms, DURATION_MS);
            of++;
        }
    return of ? n / of : 0;
}

static LimitResult compute_result(const Sim *p)
{
    const LimitPlan *plan = p->plan;
    LimitResult result = { .min_utilization = INFINITY };
    unsigned n = 0;
    bool limit_changes = plan->new_limit_per_s >= 0;
    for (unsigned e = 0; e < plan->endpoints; e++) {
        if (!p->endpoints[e].limited)
            continue;
        measure_limited(&p->endpoints[e], plan->limit_per_s,
                        LIMIT_START_MS + GRACE_MS,
                        limit_changes ? LIMIT_CHANGE_MS : DURATION_MS, &result);
        n++;
        if (plan->new_limit_per_s <= 0)
            continue;
        measure_limited(&p->endpoints[e], plan->new_limit_per_s,
                        LIMIT_CHANGE_MS + GRACE_MS, DURATION_MS, &result);
        n++;
    }
    result.utilization = n ? result.utilization / n : 0;
    result.served_share =
        p->requests ? 1 - (double)p->refused / p->requests : 0;
    double others = mean_requests(p, false, LIMIT_CHANGE_MS + GRACE_MS);
    if (plan->new_limit_per_s == 0 && others > 0)
        result.recovered_ratio =
            mean_requests(p, true, LIMIT_CHANGE_MS + GRACE_MS) / others;
    return result;
}

LimitResult limit_simulate(const LimitPlan *plan)
{
    Sim *p = g_new0(Sim, 1);
    sim_init(p, plan);
    for (int64_t ms = 0; ms < DURATION_MS; ms++) {
        run_attempts(p, ms);
        merge_updates(p, ms);
        if (ms % STEP_MS == 0)
            step(p, ms);
    }
    LimitResult result = compute_result(p);
    sim_destroy(p);
    return result;
}
