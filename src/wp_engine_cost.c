/* Cost of a request at an engine. */
#include "wp_fleet_int.h"

#define KILO 1000.0

static const WPCacheHolder *holder_of(const WPCacheHolders *k,
                                      const char *version)
{
    for (unsigned i = 0; i < k->n; i++)
        if (!strcmp(k->by_version[i].replica->version, version))
            return &k->by_version[i];
    return NULL;
}

static void note_holder(WPCacheHolders *k, const WPReplica *s, uint32_t tokens)
{
    WPCacheHolder *holder = (WPCacheHolder *)holder_of(k, s->version);
    if (!holder && k->n < WP_CACHE_HOLDERS_MAX)
        k->by_version[k->n++] = (WPCacheHolder){ s, tokens };
    else if (holder && tokens > holder->tokens)
        *holder = (WPCacheHolder){ s, tokens };
}

void wp_cache_holders_find(WPCacheHolders *k, WPTime now,
                           const WPEndpointQuery *q, const GPtrArray *list)
{
    k->n = 0;
    for (guint i = 0; q->prompt && i < list->len; i++) {
        const WPReplica *s = g_ptr_array_index(list, i);
        uint32_t tokens =
            wp_prefix_cache_match(s->prefix_cache, now, q->model, q->prompt);
        k->cached_tokens[i] = tokens;
        bool is_avoided = s->zone_evacuated || wp_fleet_limit_of(s) > 0 ||
                          wp_fleet_is_backing_off(s, now);
        /* A prefix must not be copied from an endpoint outside the request's
           areas either. */
        bool allowed = wp_fleet_in_areas(q, s);
        if (tokens && allowed && !s->misdirected[0] && !s->unreadable &&
            !is_avoided)
            note_holder(k, s, tokens);
    }
}

/* Cost of the running streams expected to stall for longer than the limit
   while the engine prefills this prompt, beyond those that would stall without
   it. */
static double stall_cost(const WPEndpointQuery *q, const WPTtfbInputs *inputs)
{
    if (!q->stalls || !q->ttfb || inputs->load <= 0)
        return 0;
    double prefill_us = wp_ttfb_predict_prefill(q->ttfb, inputs);
    double before = wp_stall_probability(q->stalls, inputs->queued_prefill_us,
                                         q->max_stall_us);
    double after = wp_stall_probability(
        q->stalls, inputs->queued_prefill_us + prefill_us, q->max_stall_us);
    return q->stall_weight * inputs->load * MAX(0, after - before);
}

/* What the choice takes from the endpoint besides the inputs of its TTFB. */
typedef struct EndpointState {
    double queued;     /* requests that wait there, as known to this box */
    int64_t silent_us; /* see wp_placing_cost() */
} EndpointState;

/* Cost of the request's time there. */
static double time_cost(const WPEndpointQuery *q, const WPTtfbInputs *inputs,
                        const EndpointState *e)
{
    double us = q->ttfb ? wp_ttfb_predict(q->ttfb, inputs) : 0;
    if (!q->placing.on)
        return q->ttfb_weight * us / WP_US_PER_S;
    double prefill_us = us > 0 ? wp_ttfb_predict_prefill(q->ttfb, inputs) : 0;
    if (us <= 0)
        us = wp_placing_unlearned_ttfb_us(e->queued);
    return wp_placing_cost(&q->placing, us, prefill_us, e->silent_us);
}

static double cost_of(const WPFleetRules *r, const WPEndpointQuery *q,
                      const WPTtfbInputs *inputs, const EndpointState *e)
{
    uint32_t own_tokens =
        inputs->prompt_tokens - wp_prompt_shared_tokens(q->prompt);
    uint32_t repeated = inputs->uncached_tokens > own_tokens
                            ? inputs->uncached_tokens - own_tokens
                            : 0;
    return time_cost(q, inputs, e) +
           r->prefill_weight_per_kt * repeated / KILO + stall_cost(q, inputs);
}

static double reported_waiting(const WPReplica *s, WPTime now)
{
    return wp_fleet_is_load_fresh(s, now) ? s->reported.waiting : 0;
}

static EndpointState endpoint_state(const WPReplica *s, WPTime now,
                                    const WPTtfbInputs *inputs)
{
    return (EndpointState){ .queued =
                                reported_waiting(s, now) + s->sent_since_load,
                            .silent_us = wp_silence_unexplained_us(
                                &s->silence, now, inputs->queued_prefill_us) };
}

WPEngineCost wp_engine_cost(const WPFleetRules *r, WPTime now,
                            const WPEndpointQuery *q, const WPReplica *s,
                            uint32_t cached, const WPCacheHolders *holders)
{
    WPEngineCost prefill = {
        .inputs = { .prompt_tokens = q->prompt->tokens,
                    .uncached_tokens = q->prompt->tokens - cached,
                    .load = wp_fleet_load_of(s, now),
                    .waiting = q->placing.on ? reported_waiting(s, now) : 0,
                    .queued_prefill_us = wp_fleet_queued_prefill_us(s, now),
                    .slowdown = s->reported.slowdown }
    };
    const EndpointState e = endpoint_state(s, now, &prefill.inputs);
    prefill.cost = cost_of(r, q, &prefill.inputs, &e);
    const WPCacheHolder *k = holder_of(holders, s->version);
    if (!r->transfer_weight_per_kt || !k || k->replica == s ||
        k->tokens <= cached)
        return prefill;
    WPEngineCost transfer = prefill;
    transfer.inputs.uncached_tokens = q->prompt->tokens - k->tokens;
    transfer.source = k->replica;
    transfer.cost = cost_of(r, q, &transfer.inputs, &e) +
                    r->transfer_weight_per_kt * (k->tokens - cached) / KILO;
    return transfer.cost < prefill.cost ? transfer : prefill;
}
