/* Chooses the endpoint and the model of a request's next attempt. */
#include "wp_first_byte.h"
#include "wp_flow_int.h"

enum { FIRST_BYTE_TIMEOUT_MIN_MS = 150, STREAM_TIMEOUT_MIN_MS = 600 };

/* An escalation with a lower chance to be in time is kept back as late. */
#define EVEN_CHANCE 0.5

/* Part of the time until the target that the smallest model may take to its
   first byte; the rest is for an escalation. */
#define SMALLEST_MODEL_SHARE 0.5

/* An escalation needs this many times the duration of the present attempt
   before the deadline. */
#define ESCALATION_TIME_RATIO 3.0

bool wp_flow_is_retryable(const WPFlow *f)
{
    const WPRoute *r = f->route;
    return r->retry_policy == WP_RETRY_SAFE ||
           (r->retry_policy == WP_RETRY_STREAM && r->resumable);
}

WPStr wp_flow_model(const WPFlow *f)
{
    if (f->route->models->len)
        return wp_str(g_ptr_array_index(f->route->models, f->step));
    return wp_str(f->model);
}

WPShift *wp_flow_shift(const WPFlow *f)
{
    return wp_shifts_find(f->direct->shifts, f->service->name);
}

static bool is_version_allowed(void *arg, const char *version)
{
    const WPFlow *f = arg;
    return wp_shifts_allows(f->direct->shifts, f->service->name, version);
}

/* Whether a version other than the shift's target may take requests. */
static bool is_other_version_allowed(void *arg, const char *version)
{
    const WPShift *sh = wp_flow_shift(arg);
    return wp_shift_allows(sh, version) && strcmp(version, sh->version);
}

bool wp_flow_is_contended(const WPFlow *f)
{
    return f->route->retry_policy == WP_RETRY_STREAM &&
           wp_direct_is_contended(f->direct, f->service->name);
}

/* Microseconds until the request's target; below 0: it has passed. */
static double target_left_us(const WPFlow *f, WPTime now)
{
    double target_us = (double)f->route->target_latency_ms * WP_US_PER_MS;
    return target_us > 0 ? target_us - (double)(now.mono_us - f->start_us)
                         : (double)(f->deadline_us - now.mono_us);
}

/* What the request loses by waiting for its first byte. */
static WPPlacing placing_of(const WPFlow *f, WPTime now)
{
    const WPDirect *d = f->direct;
    bool may_escalate = f->step + 1 < f->route->models->len;
    double weight = d->rules.first_byte_weight;
    return (WPPlacing){
        .on = wp_flow_is_contended(f),
        .left_us =
            target_left_us(f, now) * (may_escalate ? SMALLEST_MODEL_SHARE : 1),
        .late_loss = weight * wp_cascade_loss_if_late(&d->rules.cascade,
                                                      f->prompt.tokens,
                                                      f->answer_tokens),
        .second_weight = weight * wp_value_rate_per_s(&d->value_rate)
    };
}

/* The requirements of the request on an endpoint with this model. */
static WPEndpointQuery query_for(WPFlow *f, WPTime now, WPStr model)
{
    bool engine = f->route->retry_policy == WP_RETRY_STREAM;
    return (WPEndpointQuery){
        .service = f->service->name,
        .allowed = is_version_allowed,
        .allowed_arg = f,
        .zone = f->direct->rules.zone,
        .prompt = engine ? &f->prompt : NULL,
        .named_model = wp_hash(model, 0),
        .model = engine ? wp_hash(model, 0) : 0,
        .ttfb = wp_flow_ttfb_model(f, model),
        .ttfb_weight = f->direct->rules.first_byte_weight *
                       wp_value_rate_per_s(&f->direct->value_rate),
        .placing = placing_of(f, now),
        .stalls = engine ? &f->direct->stalls : NULL,
        .max_stall_us = (double)f->route->max_event_gap_ms * WP_US_PER_MS,
        .stall_weight = f->direct->rules.fleet.stall_weight *
                        f->direct->rules.first_byte_weight *
                        wp_cascade_late_loss(&f->direct->value_rate),
        .memory_tokens = f->service->kv_cache_tokens,
        .body_bytes = f->body_bytes,
        .tried = f->tried,
        .n_tried = f->n_tried,
        .non_repeatable = !wp_flow_is_retryable(f),
        .endpoint_losses =
            wp_suspect_keys_crash_count(f->direct->suspects, now, &f->suspects),
        .priority = f->priority,
        .random = f->draw,
        .areas = f->route->areas,
        .caller_areas = f->areas
    };
}

WPEndpointQuery wp_flow_query(WPFlow *f, WPTime now)
{
    return query_for(f, now, wp_flow_model(f));
}

/* Whether there are endpoints from which only a temporary exclusion of this
   kind keeps the request. */
static bool is_excluded(const WPFlow *f, WPTime now, const WPEndpointQuery *w,
                        WPExclusion exclusion)
{
    WPExcludedEndpoints excluded;
    return wp_fleet_find_excluded(f->direct->fleet, now, w, exclusion,
                                  &excluded);
}

/* The same for back-offs, including endpoints that this request has already
   tried: their back-offs are what it was told to wait for. */
static bool is_backing_off(const WPFlow *f, WPTime now,
                           const WPEndpointQuery *w)
{
    WPEndpointQuery with_tried = *w;
    with_tried.n_tried = 0;
    return is_excluded(f, now, &with_tried, WP_EXCLUDED_BACKOFF);
}

/* During a shift: an endpoint of the side (old or new versions) to which this
   request belongs, or NULL when that side has none. Sets `*stays` when the
   request must not go to the other side either, as its own side has endpoints
   that are excluded by back-offs or rate limits only: the new version would get
   more than its share, or a session would change its version. */
static WPReplica *choose_side(WPFlow *f, WPTime now, WPShift *sh,
                              WPEndpointQuery w, bool *stays)
{
    WPDirect *d = f->direct;
    const char *last =
        f->session ? wp_direct_session_version(d, now, f->session) : NULL;
    bool new_side = wp_shift_routes_to_new(
        d->shifts, sh, now, wp_direct_shift_position(d, now, sh, f->position),
        last);
    if (f->canary_failure)
        new_side = false;
    if (new_side) {
        w.version = sh->version;
        w.fill = !w.prompt && wp_shift_stage(d->shifts, sh, now)->share >= 1;
    } else {
        w.allowed = is_other_version_allowed;
    }
    WPReplica *s = wp_fleet_choose(d->fleet, now, &w);
    bool bound = !new_side || last;
    *stays = !s && bound && !f->answer_started &&
             (is_excluded(f, now, &w, WP_EXCLUDED_LIMIT) ||
              is_backing_off(f, now, &w));
    return s;
}

/* The incarnation that the request is to verify; 0: none. Only a request that
   may be repeated and is no suspect itself does so, at its first attempt. */
static uint64_t incarnation_to_verify(WPFlow *f, WPTime now,
                                      const WPEndpointQuery *w)
{
    if (w->n_tried || w->non_repeatable || w->endpoint_losses ||
        f->answer_started)
        return 0;
    return wp_suspects_incarnation_to_verify(f->direct->suspects, now);
}

WPReplica *wp_flow_choose_endpoint(WPFlow *f, WPTime now)
{
    WPDirect *d = f->direct;
    WPShift *sh = wp_flow_shift(f);
    WPEndpointQuery w = wp_flow_query(f, now);
    WPReplica *s = NULL;
    bool stays = false;
    w.verify = incarnation_to_verify(f, now, &w);
    if (sh && sh->state == WP_SHIFT_RUNNING)
        s = choose_side(f, now, sh, w, &stays);
    if (stays)
        return NULL;
    if (!s) /* rather the other side than none */
        s = wp_fleet_choose(d->fleet, now, &w);
    bool waits = !s && (is_excluded(f, now, &w, WP_EXCLUDED_COLD) ||
                        is_excluded(f, now, &w, WP_EXCLUDED_LIMIT) ||
                        is_backing_off(f, now, &w));
    if (!s && !sh && !waits) {
        /* Rather a version that no shift order has named than none. */
        w.allowed = NULL;
        s = wp_fleet_choose(d->fleet, now, &w);
    }
    if (!s && f->n_tried && wp_flow_is_retryable(f)) {
        /* All have been tried: rather one of them again than none, and
           preferably not the one that has just failed. */
        w.tried = &f->tried[f->n_tried - 1];
        w.n_tried = 1;
        s = wp_fleet_choose(d->fleet, now, &w);
    }
    if (!s && f->n_tried && wp_flow_is_retryable(f)) {
        w.n_tried = 0;
        s = wp_fleet_choose(d->fleet, now, &w);
    }
    return s;
}

uint32_t wp_flow_session_bound_ms(const WPFlow *f, WPTime now)
{
    const WPShift *sh = wp_flow_shift(f);
    if (!f->session || !sh || sh->state != WP_SHIFT_RUNNING)
        return 0;
    const char *last = wp_direct_session_version(f->direct, now, f->session);
    if (!last || !strcmp(last, WP_VERSION_OLD) ||
        !wp_shift_has_retired(sh, last))
        return 0;
    return wp_direct_session_remaining_ms(f->direct, now, f->session);
}

int64_t wp_flow_remaining_ms(const WPFlow *f, WPTime now)
{
    return (f->deadline_us - now.mono_us) / WP_US_PER_MS;
}

static WPStr model_at(const WPFlow *f, unsigned step)
{
    return wp_str(g_ptr_array_index(f->route->models, step));
}

WPTtfbModel *wp_flow_ttfb_model(WPFlow *f, WPStr model)
{
    /* The TTFB of a stream depends on the model and the prompt, not on the
       route. */
    bool streams = f->route->retry_policy == WP_RETRY_STREAM;
    return wp_direct_ttfb_model(
        f->direct, streams ? f->service->name : f->route->name, model);
}

/* The expected TTFB with a model of which too few samples are known: that with
   the smallest model, its prefill scaled by the ratio of the models' costs.
   Guards against prompts of 40,000 tokens and more that are sent to the largest
   model right after a start and block an engine for nine seconds. */
static double expected_ttfb_by_cost(WPFlow *f, WPStr model,
                                    const WPTtfbInputs *work,
                                    double *prefill_us)
{
    const GPtrArray *models = f->route->models;
    if (!models->len)
        return 0;
    const char *smallest = g_ptr_array_index(models, 0);
    WPTtfbModel *s = wp_flow_ttfb_model(f, wp_str(smallest));
    double smallest_cost = wp_service_cost(f->service, smallest);
    double us = wp_ttfb_predict(s, work);
    if (us <= 0 || smallest_cost <= 0)
        return 0;
    g_autofree char *name = g_strndup(model.p, model.n);
    double cost_ratio = wp_service_cost(f->service, name) / smallest_cost;
    double own_prefill_us = wp_ttfb_predict_prefill(s, work);
    *prefill_us = own_prefill_us * cost_ratio;
    return us - own_prefill_us + *prefill_us;
}

double wp_flow_expected_ttfb_us(WPFlow *f, WPTime now, WPStr model,
                                double *prefill_us)
{
    *prefill_us = 0;
    const WPEndpointQuery w = query_for(f, now, model);
    WPReplica *s = w.prompt ? wp_fleet_choose(f->direct->fleet, now, &w) : NULL;
    if (!s)
        return 0;
    const WPReplica *source;
    const WPTtfbInputs work =
        wp_fleet_ttfb_inputs(f->direct->fleet, now, &w, s, &source);
    wp_replica_unref(s);
    double us = wp_ttfb_predict(w.ttfb, &work);
    *prefill_us = wp_ttfb_predict_prefill(w.ttfb, &work);
    return us > 0 ? us : expected_ttfb_by_cost(f, model, &work, prefill_us);
}

uint32_t wp_flow_first_byte_timeout_ms(WPFlow *f, WPTime now)
{
    bool stream = f->route->retry_policy == WP_RETRY_STREAM;
    const WPFirstByteWait w = {
        .expected_ms = f->attempt.expected_ttfb_us / WP_US_PER_MS,
        .target_left_ms = target_left_us(f, now) / WP_US_PER_MS,
        .min_ms = stream ? STREAM_TIMEOUT_MIN_MS : FIRST_BYTE_TIMEOUT_MIN_MS
    };
    if (!wp_flow_is_retryable(f) || wp_flow_is_serialized(f, now) ||
        f->attempts_run + 1 >= f->route->max_attempts)
        return 0;
    uint32_t ms = wp_flow_is_contended(f) ? wp_first_byte_timeout_ms(&w) : 0;
    if (ms)
        return ms;
    if (f->first_byte_timed_out || f->attempt.busy)
        return 0;
    return w.expected_ms > 0
               ? wp_first_byte_overdue_ms(w.expected_ms, w.min_ms)
               : MAX(f->route->target_latency_ms, (uint32_t)w.min_ms);
}

/* Non-streaming answers hardly ever take longer than this many times the upper
   quartile of their times. */
#define PLAIN_TIME_RATIO 4.0

bool wp_flow_can_finish_within(WPFlow *f, uint32_t left_ms)
{
    double upper = wp_quartiles_upper(
        wp_direct_quartiles(f->direct, f->route->name, wp_flow_model(f)));
    bool plain = f->route->retry_policy != WP_RETRY_STREAM;
    return plain && upper > 0 &&
           PLAIN_TIME_RATIO * upper < (double)left_ms * WP_US_PER_MS;
}

/* Probability that an attempt with this model begins within the route's target.
   `*prefill_us` gets the prefill time of its prompt. */
static double probability_in_time(WPFlow *f, WPTime now, WPStr model,
                                  double *prefill_us)
{
    double target_us = (double)f->route->target_latency_ms * WP_US_PER_MS;
    double left_us = target_us - (double)(now.mono_us - f->start_us);
    *prefill_us = 0;
    if (target_us > 0 && left_us <= 0)
        return 0;
    return wp_cascade_on_time_chance(
        wp_flow_expected_ttfb_us(f, now, model, prefill_us), left_us);
}

/* The price of `us` microseconds of prefill at the present load, in the unit of
   the models' costs. */
static double prefill_price(const WPFlow *f, double us)
{
    const WPDirect *d = f->direct;
    WPCascadeRules rules = d->rules.cascade;
    if (wp_flow_is_contended(f))
        rules.strain_weight = d->rules.contended_strain_weight;
    return us / WP_US_PER_S *
           wp_cascade_prefill_price(&rules, &d->value_rate, d->target_ratio);
}

/* Why the answer in hand must not be escalated, whatever would be gained; NULL:
   nothing forbids it. */
static const char *escalation_forbidden(WPFlow *f, WPTime now)
{
    if (wp_flow_is_serialized(f, now))
        return "suspect";
    /* Rather a poor answer than a failure at endpoints that fail under load:
       the largest model is what loads them most. */
    const WPEndpointQuery w = wp_flow_query(f, now);
    if (wp_fleet_should_reduce_load(f->direct->fleet, now, &w,
                                    f->attempt.replica->version))
        return "fails_loaded";
    /* After a failed attempt, one should be left besides this one and the
       larger model's. */
    if (f->attempts_run > 0 && f->attempts_run + 3 > f->route->max_attempts)
        return "attempts";
    return NULL;
}

static bool has_time_to_escalate(const WPFlow *f, WPTime now)
{
    double took_us = (double)(now.mono_us - f->attempt.sent_us);
    return wp_flow_remaining_ms(f, now) * WP_US_PER_MS >
           ESCALATION_TIME_RATIO * took_us;
}

/* Why an escalation does not pay; its `gain` is 0 or below. */
static const char *no_gain_reason(const WPCascadeEscalation *c, double gain)
{
    if (gain + c->prefill_price > 0)
        return "engine_time";
    return c->on_time_chance < EVEN_CHANCE ? "late" : "good";
}

bool wp_flow_should_escalate(WPFlow *f, WPTime now, const WPDirectAnswer *a)
{
    const GPtrArray *models = f->route->models;
    const WPCascadeRules *rules = &f->direct->rules.cascade;
    f->kept_reason = NULL;
    if (a->confidence < 0 || f->step + 1 >= models->len || f->answer_started)
        return false;
    f->kept_reason = escalation_forbidden(f, now);
    if (f->kept_reason)
        return false;
    wp_good_share_add(wp_direct_quality(f->direct, f->route->name),
                      wp_cascade_good_chance(rules, a->confidence));
    const char *largest = g_ptr_array_index(models, models->len - 1);
    double prefill_us;
    double chance = probability_in_time(f, now, wp_str(largest), &prefill_us);
    const WPCascadeEscalation c = { .confidence = a->confidence,
                                    .prompt_tokens = f->prompt.tokens,
                                    .answer_tokens = f->answer_tokens,
                                    .model_cost =
                                        wp_service_cost(f->service, largest),
                                    .prefill_price =
                                        prefill_price(f, prefill_us),
                                    .on_time_chance = chance };
    double gain = wp_cascade_escalation_gain(rules, &c);
    if (gain <= 0)
        f->kept_reason = no_gain_reason(&c, gain);
    else if (!has_time_to_escalate(f, now))
        f->kept_reason = "deadline";
    return !f->kept_reason;
}

bool wp_flow_starts_with_largest(WPFlow *f, WPTime now)
{
    const GPtrArray *models = f->route->models;
    double target_us = (double)f->route->target_latency_ms * WP_US_PER_MS;
    if (models->len < 2 || target_us <= 0)
        return false;
    double prefill_us;
    double small =
        wp_flow_expected_ttfb_us(f, now, model_at(f, 0), &prefill_us);
    double large = wp_flow_expected_ttfb_us(
        f, now, model_at(f, models->len - 1), &prefill_us);
    if (small <= 0 || large <= 0)
        return false;
    const WPCascadeStart c = {
        .prompt_tokens = f->prompt.tokens,
        .answer_tokens = f->answer_tokens,
        .model_cost =
            wp_service_cost(f->service, model_at(f, models->len - 1).p),
        .prefill_price = prefill_price(f, prefill_us),
        .good_share = wp_direct_quality(f->direct, f->route->name)->share,
        .on_time_both = wp_cascade_on_time_chance(small + large, target_us),
        .on_time_largest = wp_cascade_on_time_chance(large, target_us),
    };
    return wp_cascade_starts_with_largest(&f->direct->rules.cascade, &c);
}
