/* How many endpoints one request, or one prompt part, crashes at 1, 3, 30, 100
 * and 300 boxes, in virtual time. */
#include "suspect_fake.h"

/* Simulation: boxes that relay updates along links, endpoints that crash and
   come back, one caller that repeats a request that crashes them, and other
   callers. */
enum {
    ENDPOINTS = 40,
    RUN_MS = 12000,
    BAD_INTERVAL_MS = 100,
    OTHER_INTERVAL_MS = 4,
    OTHER_DURATION_MS = 300,
    CRASH_MIN_MS = 50,
    CRASH_MAX_MS = 300,
    RESTART_MS = 2000,
    UNREGISTER_MS = 1200,
    LINKS = 8,
    BEFORE_MS = 1000,     /* the other callers alone, where a part is bad */
    RARE_PARTS = 300,     /* second parts of the other callers' prompts */
    PART_CRASHES_MAX = 8, /* the fifth, and three more */
    RUNS_MAX = 4096,
    SEEDS = 4,
    QUIET_TEST_MS = 8000 /* the second half is without events */
};

typedef struct Run {
    WPFlow *flow; /* NULL: free */
    unsigned box;
    char endpoint[16]; /* the endpoint's id */
    int64_t end_ms;
    bool bad;
} Run;

typedef struct Update {
    int64_t at_ms;
    unsigned to;
    WPSuspect record;
} Update;

typedef struct Endpoint {
    char id[16];
    int64_t back_at_ms;       /* when it comes back; 0: it is up */
    int64_t unregister_at_ms; /* when its registry entry is removed; 0: not to
                                 be removed */
    unsigned incarnations;
} Endpoint;

typedef struct Sim {
    Fake *boxes;
    unsigned n_boxes;
    Endpoint endpoints[ENDPOINTS];
    Run runs[RUNS_MAX];
    GArray *updates;
    GRand *rand;
    int64_t ms;
    bool parts; /* no two bad requests are alike: a part of their prompts is */
    bool closing; /* a bad request's answer looks complete when its endpoint has
                     crashed */
    unsigned crashed, others, served;
} Sim;

static void register_everywhere(Sim *p, const char *id, bool registered)
{
    for (unsigned i = 0; i < p->n_boxes; i++) {
        Fake *k = &p->boxes[i];
        if (registered)
            fake_put(k, id, "many", "v1", false);
        else
            wp_fleet_remove(k->d.fleet, at_ms(p->ms), id, false);
    }
}

static Endpoint *find_endpoint(Sim *p, const char *id)
{
    for (unsigned i = 0; i < ENDPOINTS; i++)
        if (!p->endpoints[i].back_at_ms && !strcmp(p->endpoints[i].id, id))
            return &p->endpoints[i];
    return NULL;
}

static void end_run(Sim *p, Run *r, bool served)
{
    wp_flow_free(r->flow);
    r->flow = NULL;
    if (r->bad)
        return;
    p->others++;
    p->served += served;
}

static void run_action(Sim *p, Run *r, WPFlowAction *m);

/* Sends the attempt to its endpoint; it fails at once if the endpoint is
   down. */
static void send_attempt(Sim *p, Run *r, WPFlowAction *m)
{
    g_strlcpy(r->endpoint, m->replica->id, sizeof(r->endpoint));
    if (!find_endpoint(p, r->endpoint)) {
        wp_flow_on_lost(r->flow, at_ms(p->ms), WP_LOSS_UNSENT, m);
        run_action(p, r, m);
        return;
    }
    int ms = r->bad ? g_rand_int_range(p->rand, CRASH_MIN_MS, CRASH_MAX_MS)
                    : OTHER_DURATION_MS;
    r->end_ms = p->ms + ms;
}

static void run_action(Sim *p, Run *r, WPFlowAction *m)
{
    if (m->kind == WP_FLOW_SEND)
        send_attempt(p, r, m);
    else
        end_run(p, r, false);
}

static void begin_request(Sim *p, bool bad)
{
    Run *r = p->runs;
    while (r->flow)
        r++;
    assert_true(r < p->runs + RUNS_MAX);
    r->box = (unsigned)g_rand_int_range(p->rand, 0, (gint32)p->n_boxes);
    r->bad = bad;
    g_autofree char *id = g_strdup_printf("r%u", p->others);
    g_autofree char *rare =
        g_strdup_printf("rare%d", g_rand_int_range(p->rand, 0, RARE_PARTS));
    WPDirectRequest params = { .id = wp_str(id),
                               .host = wp_str("h.example"),
                               .path = wp_str("/many/x"),
                               .key = wp_str("key-1"),
                               .content_hash = bad && !p->parts
                                                   ? BAD
                                                   : 100 + g_rand_int(p->rand),
                               .prompt = { .tokens = 100 },
                               .deadline_ms = 10000 };
    if (p->parts) {
        wp_prompt_add(&params.prompt, wp_str("common"), 20);
        wp_prompt_add(&params.prompt, wp_str(bad ? "bad" : rare), 20);
        wp_prompt_add(&params.prompt, wp_str(id), 60);
    }
    WPFlowAction m;
    r->flow = wp_flow_begin(&p->boxes[r->box].d, at_ms(p->ms), &params, &m);
    run_action(p, r, &m);
}

static void crash_endpoint(Sim *p, const char *endpoint)
{
    Endpoint *down = find_endpoint(p, endpoint);
    char id[16];
    g_strlcpy(id, endpoint, sizeof(id));
    if (!down)
        return;
    down->back_at_ms = p->ms + RESTART_MS;
    down->unregister_at_ms = p->ms + UNREGISTER_MS;
    p->crashed++;
    for (Run *r = p->runs; r < p->runs + RUNS_MAX; r++) {
        WPFlowAction m;
        if (!r->flow || strcmp(r->endpoint, id))
            continue;
        if (r->bad && p->closing) {
            WPDirectAnswer a = fake_answer(200, -1);
            a.until_close = true;
            wp_flow_on_answer(r->flow, at_ms(p->ms), &a, &m);
            wp_flow_on_done(r->flow, at_ms(p->ms), 0);
            end_run(p, r, true);
            continue;
        }
        wp_flow_on_lost(r->flow, at_ms(p->ms), WP_LOSS_NO_ANSWER, &m);
        run_action(p, r, &m);
    }
}

static void end_due_runs(Sim *p)
{
    for (Run *r = p->runs; r < p->runs + RUNS_MAX; r++) {
        if (!r->flow || p->ms < r->end_ms)
            continue;
        if (r->bad) {
            crash_endpoint(p, r->endpoint);
            continue;
        }
        const WPDirectAnswer a = fake_answer(200, -1);
        WPFlowAction m;
        wp_flow_on_answer(r->flow, at_ms(p->ms), &a, &m);
        wp_flow_on_done(r->flow, at_ms(p->ms), 0);
        end_run(p, r, true);
    }
}

static void update_endpoints(Sim *p)
{
    for (Endpoint *e = p->endpoints; e < p->endpoints + ENDPOINTS; e++) {
        if (e->unregister_at_ms && p->ms >= e->unregister_at_ms) {
            register_everywhere(p, e->id, false);
            e->unregister_at_ms = 0;
        }
        if (!e->back_at_ms || p->ms < e->back_at_ms)
            continue;
        e->back_at_ms = 0;
        g_snprintf(e->id, sizeof(e->id), "e%u.%u", (unsigned)(e - p->endpoints),
                   ++e->incarnations);
        register_everywhere(p, e->id, true);
    }
}

/* Sends the unsent records of a box to the boxes at distances that double along
   a ring, 1 to 30 ms away. */
static void send_updates(Sim *p, unsigned from)
{
    static WPSuspect list[WP_SUSPECTS_PER_MESSAGE];
    size_t n = wp_suspects_take_unsent(p->boxes[from].d.suspects, list,
                                       WP_SUSPECTS_PER_MESSAGE);
    for (unsigned hop = 0; hop < LINKS; hop++) {
        unsigned distance = 1u << hop;
        if (distance >= p->n_boxes)
            return;
        for (size_t i = 0; i < n; i++) {
            Update w = { p->ms + g_rand_int_range(p->rand, 1, 30),
                         (from + distance) % p->n_boxes, list[i] };
            g_array_append_val(p->updates, w);
            w.to = (from + p->n_boxes - distance) % p->n_boxes;
            g_array_append_val(p->updates, w);
        }
    }
}

static void deliver(Sim *p)
{
    for (guint i = 0; i < p->updates->len;) {
        Update w = g_array_index(p->updates, Update, i);
        WPSuspectBuffers buffers;
        Wp__Suspect m;
        if (w.at_ms > p->ms) {
            i++;
            continue;
        }
        g_array_remove_index_fast(p->updates, i);
        wp_suspect_encode(&w.record, at_ms(p->ms), &buffers, &m);
        wp_suspects_merge(p->boxes[w.to].d.suspects, at_ms(p->ms), &m);
    }
}

/* Boxes relay each other's records: whatever has happened, the updates must
   stop once nothing happens any more. They circulated for ever between a
   hundred boxes after a request that many callers send had lost answers by
   connection resets: 300 MB in each box. */
static void updates_stop_without_events(void **state)
{
    Sim *p = g_new0(Sim, 1);
    (void)state;
    p->n_boxes = 20;
    p->rand = g_rand_new_with_seed(1);
    p->updates = g_array_new(FALSE, FALSE, sizeof(Update));
    p->boxes = g_new0(Fake, p->n_boxes);
    for (unsigned i = 0; i < p->n_boxes; i++)
        p->boxes[i].d.suspects = wp_suspects_new(i + 1);
    unsigned late_sends = 0;
    for (p->ms = 1; p->ms < QUIET_TEST_MS; p->ms++) {
        unsigned box = (unsigned)g_rand_int_range(p->rand, 0, p->n_boxes);
        WPSuspects *s = p->boxes[box].d.suspects;
        uint64_t incarnation = 1 + g_rand_int(p->rand) % 50;
        uint64_t request = 1 + g_rand_int(p->rand) % 3;
        if (p->ms < QUIET_TEST_MS / 2 && p->ms % 7 == 0)
            record_crash(s, p->ms, request, incarnation, 1, us_at(p->ms - 1));
        if (p->ms < QUIET_TEST_MS / 2 && p->ms % 11 == 0)
            wp_suspects_endpoint_alive(s, at_ms(p->ms), incarnation,
                                       us_at(p->ms));
        if (p->ms < QUIET_TEST_MS / 2 && p->ms % 101 == 0)
            wp_suspects_completed(s, at_ms(p->ms), request);
        if (p->ms < QUIET_TEST_MS / 2 && p->ms % 13 == 0)
            wp_suspects_attempt_started(s, at_ms(p->ms), request);
        if (p->ms < QUIET_TEST_MS / 2 && p->ms % 17 == 0)
            wp_suspects_attempt_ended(s, request);
        deliver(p);
        for (unsigned i = 0; i < p->n_boxes; i++)
            if (wp_suspects_any_unsent(p->boxes[i].d.suspects)) {
                send_updates(p, i);
                late_sends += p->ms > QUIET_TEST_MS * 3 / 4;
            }
    }
    assert_int_equal(late_sends, 0);
    for (unsigned i = 0; i < p->n_boxes; i++)
        wp_suspects_free(p->boxes[i].d.suspects);
    g_array_unref(p->updates);
    g_rand_free(p->rand);
    g_free(p->boxes);
    g_free(p);
}

static void add_route(Fake *k)
{
    WPRoutes *t = fake_routes(2);
    wp_routes_add_service(t, "many");
    WPRoute *many = wp_routes_add(t, "many", "h.example", "/many/");
    many->retry_policy = WP_RETRY_SAFE;
    many->max_attempts = 3;
    many->timeout_ms = 10000;
    wp_route_add_target(t, many, "many", 1);
    wp_direct_set_routes(&k->d, t);
}

static void simulate(unsigned n_boxes, unsigned seed, bool parts, bool closing)
{
    Sim *p = g_new0(Sim, 1);
    p->n_boxes = n_boxes;
    p->parts = parts;
    p->closing = closing;
    p->rand = g_rand_new_with_seed(seed);
    p->updates = g_array_new(FALSE, FALSE, sizeof(Update));
    p->boxes = g_new0(Fake, n_boxes);
    for (unsigned i = 0; i < n_boxes; i++) {
        fake_init(&p->boxes[i]);
        p->boxes[i].now = at_ms(0);
        wp_suspects_free(p->boxes[i].d.suspects);
        p->boxes[i].d.suspects = wp_suspects_new(i + 1);
        add_route(&p->boxes[i]);
    }
    for (unsigned i = 0; i < ENDPOINTS; i++) {
        g_snprintf(p->endpoints[i].id, sizeof(p->endpoints[i].id), "e%u.0", i);
        register_everywhere(p, p->endpoints[i].id, true);
    }
    for (p->ms = 1; p->ms < RUN_MS; p->ms++) {
        if (p->ms % BAD_INTERVAL_MS == 0 && p->ms > (parts ? BEFORE_MS : 0))
            begin_request(p, true);
        if (p->ms % OTHER_INTERVAL_MS == 0)
            begin_request(p, false);
        end_due_runs(p);
        update_endpoints(p);
        deliver(p);
        for (unsigned i = 0; i < n_boxes; i++)
            if (wp_suspects_any_unsent(p->boxes[i].d.suspects))
                send_updates(p, i);
    }
    printf("%u boxes: %u endpoints crashed, %u of %u others served\n", n_boxes,
           p->crashed, p->served, p->others);
    for (Run *r = p->runs; r < p->runs + RUNS_MAX; r++) {
        if (r->flow)
            wp_flow_on_caller_gone(r->flow, at_ms(p->ms));
        wp_flow_free(r->flow);
    }
    for (unsigned i = 0; i < n_boxes; i++)
        fake_end(&p->boxes[i]);
    assert_in_range(p->crashed, 3, parts ? PART_CRASHES_MAX : 5);
    assert_true(p->served >= 0.98 * p->others);
    g_array_unref(p->updates);
    g_rand_free(p->rand);
    g_free(p->boxes);
    g_free(p);
}

static void one_request_crashes_few_endpoints_at_any_size(void **state)
{
    static const unsigned sizes[] = { 1, 3, 30, 100, 300 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (unsigned seed = 1; seed <= SEEDS; seed++)
            simulate(sizes[i], seed, false, false);
}

static void one_part_crashes_few_endpoints_at_any_size(void **state)
{
    static const unsigned sizes[] = { 1, 3, 30, 100, 300 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (unsigned seed = 1; seed <= SEEDS; seed++)
            simulate(sizes[i], seed, true, false);
}

static void
part_whose_answers_look_complete_crashes_few_endpoints_at_any_size(void **state)
{
    static const unsigned sizes[] = { 1, 3, 30, 100, 300 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (unsigned seed = 1; seed <= SEEDS; seed++)
            simulate(sizes[i], seed, true, true);
}

TESTS_MAIN(
    T(updates_stop_without_events),
    T(one_request_crashes_few_endpoints_at_any_size),
    T(one_part_crashes_few_endpoints_at_any_size),
    T(part_whose_answers_look_complete_crashes_few_endpoints_at_any_size))
