/* Choice of the endpoint for a request. */
#include "wp_fleet_int.h"

/* Weights of an endpoint's score; 1 is the score of a fully utilized endpoint.
   The lowest score wins. */
#define FAILURE_WEIGHT 2.0 /* times its failure rate */
/* Times its failure rate, for requests that must not be repeated. */
#define NON_REPEATABLE_FAILURE_WEIGHT 6.0
#define AVOIDED_PENALTY 20.0 /* chosen only if there is no other endpoint */
#define COLD_PENALTY 0.3     /* it has just started */
/* For a request that another endpoint has failed: it has never responded to
   this box, and an entry may name an address where nobody listens. */
#define UNPROVEN_PENALTY 2.0
/* The endpoint refuses other boxes, so it likely refuses this one. */
#define REMOTE_BACKOFF_PENALTY 1.0
#define LIMIT_BONUS 0.5 /* bonus if its rate limit has room for this box */
/* Larger bonus of an endpoint whose rate limit has room and that has not
   answered for long. */
#define SILENT_LIMIT_BONUS 1.0
/* Random addition, so that boxes with the same view do not pick the same
   one. */
#define JITTER 0.02

/* A version that fails under load is not sent to endpoints from this
   utilization on while others are free: a little below the utilization at
   which failures are observed, as the requests of other boxes are not known at
   once. */
#define FULL_FROM 0.4
/* Penalty of an endpoint with that utilization. */
#define LOADED_PENALTY 5.0

/* Such a version gets less work from this utilization of all its endpoints on,
   as running requests go on for seconds. */
#define REDUCE_LOAD_FROM 0.3

/* With `fill`: bonus of endpoints below FILL_TO, larger the fuller they are.
   Boxes prefer the same one of those that are empty by FILL_ORDER_BONUS. */
#define FILL_TO 0.7
#define FILL_BONUS 4.0
#define FILL_ORDER_BONUS 1.0

/* A request during which two endpoints have crashed goes to the endpoint with
   the fewest requests: if that crashes too, fewer other requests lose their
   endpoint. */
#define SUSPECT_WEIGHT 10.0
#define SUSPECT_FROM 2

/* Bonus of the endpoint that the query asks to verify. */
#define VERIFY_BONUS 2.0

/* An endpoint with a rate limit has to be sent a request now and then to learn
   whether the limit still holds. */
enum { LIMIT_PROBE_MS = 3000 };

/* Whether the endpoint may take the request, apart from exclusions that end by
   themselves. */
static bool is_eligible(const WPEndpointQuery *q, const WPReplica *s)
{
    return wp_fleet_matches(q, s) && !wp_fleet_lasting_exclusion(s);
}

bool wp_fleet_should_reduce_load(WPFleet *f, WPTime now,
                                 const WPEndpointQuery *q, const char *version)
{
    return wp_fleet_fails_under_load(f, now, q->service, version) &&
           wp_fleet_service_utilization(f, now, q) >= REDUCE_LOAD_FROM;
}

#define KB 1024.0

static double engine_score(const WPFleet *f, WPTime now,
                           const WPEndpointQuery *q, const WPReplica *s,
                           uint32_t cached, const WPCacheHolders *holders,
                           bool affine)
{
    const WPEngineCost b =
        wp_engine_cost(&f->rules, now, q, s, cached, holders);
    double home_bonus =
        q->placing.on
            ? wp_placing_home_bonus(wp_prompt_shared_tokens(q->prompt))
            : f->rules.affinity_weight;
    double zone_weight_per_kb = q->placing.on
                                    ? f->rules.placing_zone_weight_per_kb
                                    : f->rules.zone_weight_per_kb;
    double v = b.cost - (affine ? home_bonus : 0);
    if (strcmp(s->zone, q->zone))
        v += zone_weight_per_kb * q->body_bytes / KB;
    return v;
}

/* For an endpoint whose rate limit does not exclude it: what it takes should
   be used. */
static double limit_bonus(const WPLimit *l, WPTime now)
{
    bool is_silent =
        now.mono_us - l->answered_us > LIMIT_PROBE_MS * WP_US_PER_MS;
    return is_silent ? SILENT_LIMIT_BONUS : LIMIT_BONUS;
}

/* The latency ratio is not used for an endpoint with a rate limit: with few
   requests it is hardly measured, and two slow answers, as after a start,
   would count against the endpoint for a minute while its limit stays
   unused. */
static double latency_cost(const WPFleet *f, const WPReplica *s)
{
    return wp_fleet_limit_of(s) > 0
               ? 0
               : f->rules.slow_weight * (s->latency_ratio - 1);
}

static double fill_bonus(const WPReplica *s, double utilization)
{
    if (utilization + 1.0 / MAX(s->slots, 1) > FILL_TO)
        return 0;
    double order = (double)s->id_hash / (double)UINT64_MAX;
    return FILL_BONUS * (1 + utilization) + FILL_ORDER_BONUS * order;
}

/* The cost of sending the request to the endpoint, in score units; the lowest
   is best. `cached`: tokens of the prompt in its prefix cache. `affine`: it is
   the affinity replica of the prompt. */
static double score(WPFleet *f, WPTime now, const WPEndpointQuery *q,
                    const WPReplica *s, uint32_t cached,
                    const WPCacheHolders *holders, bool affine)
{
    double v = wp_fleet_utilization(s, now);
    if (q->prompt)
        v += engine_score(f, now, q, s, cached, holders, affine);
    else if (strcmp(s->zone, q->zone))
        v += f->rules.zone_weight;
    v += (q->non_repeatable ? NON_REPEATABLE_FAILURE_WEIGHT : FAILURE_WEIGHT) *
         wp_fleet_fail_rate(s, now);
    v += latency_cost(f, s);
    v += JITTER * g_rand_double(f->rand);
    if (q->fill)
        v -= fill_bonus(s, wp_fleet_utilization(s, now));
    if (q->endpoint_losses >= SUSPECT_FROM)
        v += SUSPECT_WEIGHT * wp_fleet_utilization(s, now);
    if (q->verify && q->verify == s->incarnation_hash)
        v -= VERIFY_BONUS;
    if (s->avoid_until_us > now.mono_us)
        v += AVOIDED_PENALTY;
    if (s->reported.cold_until_us > now.mono_us)
        v += COLD_PENALTY;
    if (q->n_tried && !s->has_responded)
        v += UNPROVEN_PENALTY;
    if (s->reported.shared_backoff_until_us > now.mono_us)
        v += REMOTE_BACKOFF_PENALTY;
    if (wp_fleet_limit_of(s) > 0)
        v -= limit_bonus(s->reported.limit, now);
    if (wp_fleet_utilization(s, now) + 1.0 / MAX(s->slots, 1) >= FULL_FROM &&
        wp_fleet_fails_under_load(f, now, s->service, s->version))
        v += LOADED_PENALTY;
    return v;
}

unsigned wp_fleet_count_eligible(WPFleet *f, const WPEndpointQuery *q)
{
    GPtrArray *list = wp_fleet_service_endpoints(f, q->service);
    unsigned n = 0;
    for (guint i = 0; i < list->len; i++)
        n += is_eligible(q, g_ptr_array_index(list, i));
    return n;
}

double wp_fleet_service_utilization(WPFleet *f, WPTime now,
                                    const WPEndpointQuery *q)
{
    GPtrArray *list = wp_fleet_service_endpoints(f, q->service);
    double load = 0, slots = 0;
    for (guint i = 0; i < list->len; i++) {
        const WPReplica *s = g_ptr_array_index(list, i);
        if (!is_eligible(q, s) || s->avoid_until_us > now.mono_us ||
            wp_fleet_is_backing_off(s, now))
            continue;
        load += wp_fleet_load_of(s, now);
        slots += s->slots;
    }
    return slots > 0 ? load / slots : 1;
}

/* The endpoint that all boxes send requests with the same shared prompt to, so
   that the prompt is prefilled only once: one in each zone, or with WPPlacing
   one in all, as few prompts are asked for so often that each zone's engine
   still has them cached. */
static const WPReplica *affinity_replica(const WPEndpointQuery *q, WPTime now,
                                         GPtrArray *list)
{
    const WPReplica *best = NULL;
    uint64_t best_score = 0;
    uint64_t shared = q->prompt ? wp_prompt_shared_hash(q->prompt) : 0;
    if (!shared)
        return NULL;
    for (guint i = 0; i < list->len; i++) {
        const WPReplica *s = g_ptr_array_index(list, i);
        uint64_t key[2] = { shared ^ q->model, s->id_hash };
        if (!is_eligible(q, s) || wp_fleet_is_backing_off(s, now) ||
            (!q->placing.on && strcmp(s->zone, q->zone)))
            continue;
        uint64_t v = wp_hash(wp_strn((const char *)key, sizeof(key)), 0);
        if (!best || v > best_score) {
            best = s;
            best_score = v;
        }
    }
    return best;
}

/* Whether one endpoint out of `n` is among the candidates sampled for this
   choice. */
static bool is_sampled(WPFleet *f, guint n)
{
    return !f->rules.choices || n <= f->rules.choices ||
           g_rand_double(f->rand) * n < f->rules.choices;
}

/* The endpoint of `list` with the lowest score, among those that match the
   query, are sampled and are not excluded; NULL if there is none. The affinity
   replica is always among the candidates. */
static WPReplica *best_of(WPFleet *f, WPTime now, const WPEndpointQuery *q,
                          GPtrArray *list)
{
    const WPReplica *affine = affinity_replica(q, now, list);
    WPReplica *best = NULL;
    double best_score = 0;
    WPCacheHolders holders = { .cached_tokens =
                                   g_newa(uint32_t, list->len + 1) };
    wp_cache_holders_find(&holders, now, q, list);
    for (guint i = 0; i < list->len; i++) {
        WPReplica *s = g_ptr_array_index(list, i);
        if (!wp_fleet_matches(q, s) ||
            (s != affine && !is_sampled(f, list->len)) ||
            wp_fleet_exclusion(f, now, q, s))
            continue;
        double v = score(f, now, q, s, holders.cached_tokens[i], &holders,
                         s == affine);
        if (!best || v < best_score) {
            best = s;
            best_score = v;
        }
    }
    return best;
}

WPReplica *wp_fleet_choose(WPFleet *f, WPTime now, const WPEndpointQuery *q)
{
    GPtrArray *list = wp_fleet_service_endpoints(f, q->service);
    uint32_t choices = f->rules.choices;
    wp_fleet_refresh_cohorts(now, list);
    WPReplica *best = best_of(f, now, q, list);
    if (!best && choices) { /* no sampled endpoint may take it */
        f->rules.choices = 0;
        best = best_of(f, now, q, list);
        f->rules.choices = choices;
    }
    return best ? wp_replica_ref(best) : NULL;
}

WPTtfbInputs wp_fleet_ttfb_inputs(WPFleet *f, WPTime now,
                                  const WPEndpointQuery *q, const WPReplica *s,
                                  const WPReplica **source)
{
    GPtrArray *list = wp_fleet_service_endpoints(f, q->service);
    WPCacheHolders holders = { .cached_tokens =
                                   g_newa(uint32_t, list->len + 1) };
    *source = NULL;
    if (!q->prompt)
        return (WPTtfbInputs){ .load = wp_fleet_load_of(s, now),
                               .slowdown = s->reported.slowdown };
    wp_cache_holders_find(&holders, now, q, list);
    uint32_t cached =
        wp_prefix_cache_match(s->prefix_cache, now, q->model, q->prompt);
    const WPEngineCost b =
        wp_engine_cost(&f->rules, now, q, s, cached, &holders);
    *source = b.source;
    return b.inputs;
}
