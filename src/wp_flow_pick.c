/* Which endpoint and which model a request goes to. */
#include "wp_flow_int.h"

enum { PATIENCE_LEAST_MS = 150, PATIENCE_STREAM_LEAST_MS = 600 };

/* A leg that may be repeated is waited for this many times the mean. */
#define PATIENCE_TIMES 5.0

/* A better answer is asked for only if this many times the mean is left. */
#define BETTER_TIMES 3.0

bool wp_flow_may_repeat(const WPFlow *f)
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
    return wp_shifts_find(f->d->shifts, f->service->name);
}

static bool version_allowed(void *arg, const char *version)
{
    const WPFlow *f = arg;
    return wp_shifts_allows(f->d->shifts, f->service->name, version);
}

/* Of the versions that a move does not lead to. */
static bool other_allowed(void *arg, const char *version)
{
    const WPShift *sh = wp_flow_shift(arg);
    return wp_shift_allows(sh, version) && strcmp(version, sh->version);
}

/* What the request wants of an endpoint with this model. */
static WPEndpointQuery want_of(WPFlow *f, WPStr model)
{
    bool engine = f->route->retry_policy == WP_RETRY_STREAM;
    return (WPEndpointQuery){
        .service = f->service->name,
        .allowed = version_allowed,
        .allowed_arg = f,
        .zone = f->d->rules.zone,
        .prompt = engine ? &f->prompt : NULL,
        .model = engine ? wp_hash(model, 0) : 0,
        .ttfb = wp_flow_speed(f, model),
        .ttfb_weight = f->d->rules.second * wp_value_rate_per_s(&f->d->earned),
        .stalls = engine ? &f->d->pauses : NULL,
        .max_stall_us = (double)f->route->max_event_gap_ms * WP_US_PER_MS,
        .stall_weight = f->d->rules.fleet.stall_weight * f->d->rules.second *
                        wp_cascade_late_loss(&f->d->earned),
        .memory_tokens = f->service->kv_cache_tokens,
        .body_bytes = f->body_bytes,
        .tried = f->tried,
        .n_tried = f->n_tried,
        .non_repeatable = !wp_flow_may_repeat(f),
        .endpoint_losses = wp_suspects_crash_count(f->d->suspects, f->hash),
        .priority = f->priority,
        .random = f->draw,
        .areas = f->route->areas,
        .caller_areas = f->areas
    };
}

WPEndpointQuery wp_flow_want(WPFlow *f)
{
    return want_of(f, wp_flow_model(f));
}

/* Whether a bar of this kind, which passes by itself, alone keeps the request
   from some. */
static bool is_barred(const WPFlow *f, WPTime now, const WPEndpointQuery *w,
                      WPExclusion bar)
{
    WPExcludedEndpoints barred;
    return wp_fleet_find_excluded(f->d->fleet, now, w, bar, &barred);
}

/* The same of rests, also of the endpoints that this request has tried: they
   are what it was told to wait for. */
static bool is_resting(const WPFlow *f, WPTime now, const WPEndpointQuery *w)
{
    WPEndpointQuery any = *w;
    any.n_tried = 0;
    return is_barred(f, now, &any, WP_EXCLUDED_BACKOFF);
}

/* While a service moves between versions: an endpoint of the side that this
   request belongs to, or NULL when that side has none. `stays`: it is not to go
   to the other one either, as its own has endpoints that rest or whose limits
   are met: a new version would get more than the move's share, or a session
   would change. */
static WPReplica *choose_side(WPFlow *f, WPTime now, WPShift *sh,
                              WPEndpointQuery w, bool *stays)
{
    WPDirect *d = f->d;
    const char *last =
        f->session ? wp_direct_session(d, now, f->session) : NULL;
    bool new_side = wp_shift_routes_to_new(
        d->shifts, sh, now, wp_direct_place(d, now, sh, f->unit), last);
    if (new_side)
        w.version = sh->version;
    else
        w.allowed = other_allowed;
    WPReplica *s = wp_fleet_choose(d->fleet, now, &w);
    bool bound = !new_side || last;
    *stays =
        !s && bound && !f->passing &&
        (is_barred(f, now, &w, WP_EXCLUDED_LIMIT) || is_resting(f, now, &w));
    return s;
}

WPReplica *wp_flow_choose(WPFlow *f, WPTime now)
{
    WPDirect *d = f->d;
    WPShift *sh = wp_flow_shift(f);
    WPEndpointQuery w = wp_flow_want(f);
    WPReplica *s = NULL;
    bool stays = false;
    if (sh && sh->state == WP_SHIFT_RUNNING)
        s = choose_side(f, now, sh, w, &stays);
    if (stays)
        return NULL;
    if (!s) /* the other side rather than none */
        s = wp_fleet_choose(d->fleet, now, &w);
    bool waits = !s && (is_barred(f, now, &w, WP_EXCLUDED_COLD) ||
                        is_barred(f, now, &w, WP_EXCLUDED_LIMIT) ||
                        is_resting(f, now, &w));
    if (!s && !sh && !waits) {
        /* A version that no order has named rather than none. */
        w.allowed = NULL;
        s = wp_fleet_choose(d->fleet, now, &w);
    }
    if (!s && f->n_tried && wp_flow_may_repeat(f)) {
        /* All have been tried: better one of them again than none, and rather
           not the one that has just failed. */
        w.tried = &f->tried[f->n_tried - 1];
        w.n_tried = 1;
        s = wp_fleet_choose(d->fleet, now, &w);
    }
    if (!s && f->n_tried && wp_flow_may_repeat(f)) {
        w.n_tried = 0;
        s = wp_fleet_choose(d->fleet, now, &w);
    }
    return s;
}

uint32_t wp_flow_bound_ms(const WPFlow *f, WPTime now)
{
    const WPShift *sh = wp_flow_shift(f);
    if (!f->session || !sh || sh->state != WP_SHIFT_RUNNING)
        return 0;
    const char *last = wp_direct_session(f->d, now, f->session);
    if (!last || !strcmp(last, WP_VERSION_OLD) ||
        !wp_shift_has_retired(sh, last))
        return 0;
    return wp_direct_session_left_ms(f->d, now, f->session);
}

int64_t wp_flow_left_ms(const WPFlow *f, WPTime now)
{
    return (f->deadline_us - now.mono_us) / WP_US_PER_MS;
}

static WPStr model_at(const WPFlow *f, unsigned step)
{
    return wp_str(g_ptr_array_index(f->route->models, step));
}

WPTtfbModel *wp_flow_speed(WPFlow *f, WPStr model)
{
    /* Of a stream, the first byte hangs on the model and the prompt, whatever
       the route. */
    bool streams = f->route->retry_policy == WP_RETRY_STREAM;
    return wp_direct_speed(f->d, streams ? f->service->name : f->route->name,
                           model);
}

/* While a model has not been seen enough: by the smallest one's, reading in
   proportion to the prices. Guards against prompts of 40,000 tokens and more
   that are asked of the largest one right after a start and hold an engine up
   for nine seconds. */
static double expect_by_price(WPFlow *f, WPStr model, const WPTtfbInputs *work,
                              double *reading_us)
{
    const GPtrArray *models = f->route->models;
    if (!models->len)
        return 0;
    const char *smallest = g_ptr_array_index(models, 0);
    WPTtfbModel *s = wp_flow_speed(f, wp_str(smallest));
    double least = wp_service_cost(f->service, smallest);
    double us = wp_ttfb_predict(s, work);
    if (us <= 0 || least <= 0)
        return 0;
    g_autofree char *name = g_strndup(model.p, model.n);
    double times = wp_service_cost(f->service, name) / least;
    double own_us = wp_ttfb_predict_prefill(s, work);
    *reading_us = own_us * times;
    return us - own_us + *reading_us;
}

double wp_flow_expect_us(WPFlow *f, WPTime now, WPStr model, double *reading_us)
{
    *reading_us = 0;
    const WPEndpointQuery w = want_of(f, model);
    WPReplica *s = w.prompt ? wp_fleet_choose(f->d->fleet, now, &w) : NULL;
    if (!s)
        return 0;
    const WPReplica *source;
    const WPTtfbInputs work =
        wp_fleet_ttfb_inputs(f->d->fleet, now, &w, s, &source);
    wp_replica_unref(s);
    double us = wp_ttfb_predict(w.ttfb, &work);
    *reading_us = wp_ttfb_predict_prefill(w.ttfb, &work);
    return us > 0 ? us : expect_by_price(f, model, &work, reading_us);
}

uint32_t wp_flow_patience(WPFlow *f)
{
    double mean = f->leg.expect_us;
    uint32_t least = f->route->retry_policy == WP_RETRY_STREAM
                         ? PATIENCE_STREAM_LEAST_MS
                         : PATIENCE_LEAST_MS;
    if (!wp_flow_may_repeat(f) || f->hurried || f->leg.crowded ||
        wp_flow_is_single(f) || f->ran + 1 >= f->route->max_attempts)
        return 0;
    if (mean <= 0)
        return MAX(f->route->target_latency_ms, least);
    return MAX((uint32_t)(PATIENCE_TIMES * mean / WP_US_PER_MS), least);
}

/* Plain answers hardly ever take so many times what three quarters of them stay
   below. */
#define PLAIN_TIMES 4.0

bool wp_flow_fits(WPFlow *f, uint32_t left_ms)
{
    double upper = wp_quartiles_upper(
        wp_direct_usual(f->d, f->route->name, wp_flow_model(f)));
    bool plain = f->route->retry_policy != WP_RETRY_STREAM;
    return plain && upper > 0 &&
           PLAIN_TIMES * upper < (double)left_ms * WP_US_PER_MS;
}

/* The chance that a leg with this model begins in time. */
static double in_time(WPFlow *f, WPTime now, WPStr model, double *reading_us)
{
    double aim_us = (double)f->route->target_latency_ms * WP_US_PER_MS;
    double left_us = aim_us - (double)(now.mono_us - f->start_us);
    *reading_us = 0;
    if (aim_us > 0 && left_us <= 0)
        return 0;
    return wp_cascade_on_time_chance(
        wp_flow_expect_us(f, now, model, reading_us), left_us);
}

static double reading_price(const WPFlow *f, double us)
{
    const WPDirect *d = f->d;
    return us / WP_US_PER_S *
           wp_cascade_prefill_price(&d->rules.cascade, &d->earned, d->lag);
}

bool wp_flow_wants_better(WPFlow *f, WPTime now, const WPDirectAnswer *a)
{
    const GPtrArray *models = f->route->models;
    if (a->confidence < 0 || f->step + 1 >= models->len || f->passing ||
        wp_flow_is_single(f))
        return false;
    /* Better a poor answer than a failure on endpoints that fail when full: the
       largest model is what fills them. */
    const WPEndpointQuery w = wp_flow_want(f);
    if (wp_fleet_should_reduce_load(f->d->fleet, now, &w,
                                    f->leg.replica->version))
        return false;
    /* With this leg and the larger model's, one attempt should be left. */
    if (f->ran > 0 && f->ran + 3 > f->route->max_attempts)
        return false;
    wp_good_share_add(
        wp_direct_quality(f->d, f->route->name),
        wp_cascade_good_chance(&f->d->rules.cascade, a->confidence));
    const char *largest = g_ptr_array_index(models, models->len - 1);
    double reading_us;
    double chance = in_time(f, now, wp_str(largest), &reading_us);
    const WPCascadeEscalation c = { .confidence = a->confidence,
                                    .prompt_tokens = f->prompt.tokens,
                                    .answer_tokens = f->answer_tokens,
                                    .model_cost =
                                        wp_service_cost(f->service, largest),
                                    .prefill_price =
                                        reading_price(f, reading_us),
                                    .on_time_chance = chance };
    if (wp_cascade_escalation_gain(&f->d->rules.cascade, &c) <= 0)
        return false;
    double took = (double)(now.mono_us - f->leg.sent_us);
    return wp_flow_left_ms(f, now) * WP_US_PER_MS > BETTER_TIMES * took;
}

bool wp_flow_skips_ahead(WPFlow *f, WPTime now)
{
    const GPtrArray *models = f->route->models;
    double aim_us = (double)f->route->target_latency_ms * WP_US_PER_MS;
    if (models->len < 2 || aim_us <= 0)
        return false;
    double reading_us;
    double small = wp_flow_expect_us(f, now, model_at(f, 0), &reading_us);
    double large =
        wp_flow_expect_us(f, now, model_at(f, models->len - 1), &reading_us);
    if (small <= 0 || large <= 0)
        return false;
    const WPCascadeStart c = {
        .prompt_tokens = f->prompt.tokens,
        .answer_tokens = f->answer_tokens,
        .model_cost =
            wp_service_cost(f->service, model_at(f, models->len - 1).p),
        .prefill_price = reading_price(f, reading_us),
        .good_share = wp_direct_quality(f->d, f->route->name)->share,
        .on_time_both = wp_cascade_on_time_chance(small + large, aim_us),
        .on_time_largest = wp_cascade_on_time_chance(large, aim_us),
    };
    return wp_cascade_starts_with_largest(&f->d->rules.cascade, &c);
}
