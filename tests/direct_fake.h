/* A WPDirect for tests: one routing table, a few endpoints, and virtual time
 * that the test advances. */
#ifndef DIRECT_FAKE_H
#define DIRECT_FAKE_H

#include "test.h"
#include "wp_direct.h"
#include "wp_rollout.h"

#define FAKE_CHART                                                             \
    "name: shift\ninitial: canary\nstates:\n"                                  \
    "  - {name: canary, share: 0.1, dwell_part: 0.5, on: [{event: next, to: "  \
    "full}, {event: bad, to: undone}]}\n"                                      \
    "  - {name: full, share: 1, dwell_part: 0.4, on: [{event: next, to: "      \
    "done}, {event: bad, to: undone}]}\n"                                      \
    "  - {name: done, share: 1, final: true}\n"                                \
    "  - {name: undone, share: 0, final: true}\n"

typedef struct Fake {
    WPDirect d;
    Wp__Chart *chart;
    WPTime now;
    unsigned requests; /* begun so far; numbers their ids */
} Fake;

static inline WPRoutes *fake_routes(uint64_t version)
{
    WPRoutes *t = wp_routes_new(version);
    WPService *llm = wp_routes_add_service(t, "llm");
    wp_routes_add_service(t, "app");
    wp_service_add_model(llm, "small", 0.01);
    wp_service_add_model(llm, "large", 0.2);
    WPRoute *chat = wp_routes_add(t, "chat", "h.example", "/chat/");
    chat->retry_policy = WP_RETRY_STREAM;
    chat->resumable = true;
    chat->max_attempts = 3;
    chat->timeout_ms = 20000;
    chat->target_latency_ms = 2000;
    g_ptr_array_add(chat->models, g_strdup("small"));
    g_ptr_array_add(chat->models, g_strdup("large"));
    wp_route_add_target(t, chat, "llm", 1);
    WPRoute *safe = wp_routes_add(t, "safe", "h.example", "/safe/");
    safe->retry_policy = WP_RETRY_SAFE;
    safe->max_attempts = 2;
    safe->timeout_ms = 2000;
    wp_route_add_target(t, safe, "app", 1);
    WPRoute *once = wp_routes_add(t, "once", "h.example", "/once/");
    once->max_attempts = 3;
    once->timeout_ms = 2000;
    wp_route_add_target(t, once, "app", 1);
    wp_routes_add_key(t, "key-1", wp_routes_add_caller(t, "acme", -1));
    return t;
}

static inline void fake_put(Fake *k, const char *id, const char *service,
                            const char *version, bool draining)
{
    WPRegistryEntry l = { .id = id,
                          .service = service,
                          .addr = "127.0.0.1:1",
                          .zone = "z1",
                          .version = version,
                          .slots = 8,
                          .draining = draining };
    wp_fleet_put(k->d.fleet, k->now, &l);
}

static inline void fake_init_chart(Fake *k, const char *chart)
{
    GError *error = NULL;
    WPDirectRules rules = { .zone = "z1",
                            .retry_budget = { 0.5, 20, 10000 },
                            .session_idle_ms = 5000,
                            .cascade = { .confidence_even = 50,
                                         .confidence_spread = 10,
                                         .answer_value = 0.35,
                                         .request_value = 0.6,
                                         .strain_from = 0.35,
                                         .strain_weight = 5 },
                            .fleet = { .zone_weight = 0.35,
                                       .zone_weight_per_kb = 0.02,
                                       .affinity_weight = 0.4,
                                       .slow_weight = 0.25 } };
    memset(k, 0, sizeof(*k));
    k->now = (WPTime){ 1000000000, 1700000000000 };
    k->chart = wp_chart_read(wp_str(chart), "chart", &error);
    if (!k->chart)
        fail_msg("%s", error->message);
    wp_direct_init(&k->d, &rules, k->chart, 7);
    wp_direct_set_routes(&k->d, fake_routes(1));
    fake_put(k, "l1", "llm", "v1", false);
    fake_put(k, "l2", "llm", "v1", false);
    fake_put(k, "a1", "app", "v1", false);
    fake_put(k, "a2", "app", "v1", false);
}

static inline void fake_init(Fake *k)
{
    fake_init_chart(k, FAKE_CHART);
}

static inline void fake_end(Fake *k)
{
    wp_direct_end(&k->d);
    wp_pb_free(k->chart);
}

static inline void fake_advance(Fake *k, int64_t ms)
{
    k->now.mono_us += ms * WP_US_PER_MS;
    k->now.wall_ms += ms;
    wp_direct_tick(&k->d, k->now);
}

/* Begins a request for `path` in the session, which may be NULL. `*m` gets what
   is to be done first. */
static inline WPFlow *fake_ask(Fake *k, const char *path, const char *session,
                               WPFlowAction *m)
{
    g_autofree char *id = g_strdup_printf("r%u", ++k->requests);
    WPDirectRequest ask = { .id = wp_str(id),
                            .host = wp_str("h.example"),
                            .path = wp_str(path),
                            .key = wp_str("key-1"),
                            .session = wp_str(session),
                            .prompt = { .tokens = 1000 },
                            .answer_tokens = 300,
                            .deadline_ms = 10000 };
    return wp_flow_begin(&k->d, k->now, &ask, m);
}

static inline WPDirectAnswer fake_answer(int status, int confidence)
{
    return (WPDirectAnswer){ .status = status,
                             .has_seal = true,
                             .confidence = confidence };
}

/* Begins a request for `path` and, if it is sent to an endpoint, ends it with a
   good answer. Returns the endpoint's id, or the error code if the request is
   refused. */
static inline const char *fake_serve(Fake *k, const char *path, WPFlowAction *m)
{
    WPDirectAnswer a = fake_answer(200, 90);
    WPFlow *f = fake_ask(k, path, NULL, m);
    const char *result = "";
    if (m->kind == WP_FLOW_FAIL) {
        result = wp_code_info(m->code)->code;
    } else {
        result = g_intern_string(m->replica->id);
        wp_flow_on_answer(f, k->now, &a, &(WPFlowAction){ 0 });
        wp_flow_on_done(f, k->now, 0);
    }
    wp_flow_free(f);
    return result;
}

#endif
