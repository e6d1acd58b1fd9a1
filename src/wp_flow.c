/* The course of one request to endpoints that are called directly. */
#include "wp_flow_int.h"

enum {
    REFUSALS_MOST = 4,    /* legs that did not run, before giving up */
    NO_ENDPOINT_MS = 300, /* when to come back; endpoints start in seconds */
    STARTING_MS = 500,    /* the same, while no routes are known */
    AWAY_MS = 2000,       /* the same, and the store does not answer: it stays
                             away for seconds, and callers come back but once:
                             too soon, and they are refused twice */
    KEPT_OUT_MS = 2000,   /* the same, while an operator keeps requests out of
                             all zones that have any: orders last for seconds
                             at least */
    NO_AREA_MS = 2000,    /* the same, while no endpoint is listed where the
                             request may be served */
    LEAVING_MS = 100,     /* the same, of a box that stops: others serve */
    IN_DOUBT_MS = 300,    /* the same, while another copy of the request may end
                             an endpoint: crashes come some tenths of a second
                             after a request is sent where nothing waits */
    RESTED_SPREAD_MS = 500,
    KEPT_OUT_REQUEST_MS =
        60000 /* the same, of one that ends each endpoint: only another release
                 or an operator's order lets it in again */
};

static WPMove move_fail(WPCode code, uint32_t retry_ms)
{
    return (WPMove){ .kind = WP_MOVE_FAIL, .code = code, .retry_ms = retry_ms };
}

static void note_earned(WPFlow *f, WPWhy why)
{
    WPDirect *d = f->d;
    if (why == WP_WHY_FIRST)
        wp_value_rate_add_request(&d->earned, &d->rules.cascade,
                                  f->prompt.tokens, f->answer_tokens);
    wp_value_rate_add_prefill(&d->earned, f->leg.reading_us / WP_US_PER_S);
}

/* Notes what the leg's endpoint has to do, and hands the request to it. Returns
   the address to take the prompt's beginning from, or NULL. */
static const char *foretell(WPFlow *f, WPTime now, WPReplica *s, WPWhy why)
{
    const WPEndpointQuery w = wp_flow_want(f);
    const WPReplica *source;
    f->leg.work = wp_fleet_ttfb_inputs(f->d->fleet, now, &w, s, &source);
    f->leg.expect_us = wp_ttfb_predict(w.ttfb, &f->leg.work);
    f->leg.reading_us = wp_ttfb_predict_prefill(w.ttfb, &f->leg.work);
    if (w.prompt && f->leg.expect_us > 0)
        note_earned(f, why);
    wp_fleet_request_sent(f->d->fleet, s, now, &w, f->leg.reading_us);
    return source ? source->addr : NULL;
}

static void begin_leg(WPFlow *f, WPTime now, WPReplica *s, WPWhy why,
                      WPMove *out)
{
    WPShift *sh = wp_flow_shift(f);
    bool old = sh && strcmp(s->version, sh->version);
    double taken = wp_fleet_utilization(s, now);
    bool cold = s->reported.cold_until_us > now.mono_us;
    f->leg = (WPAttempt){ .replica = s,
                          .sent_us = now.mono_us,
                          .crowded = wp_flow_is_crowded(f, taken) || cold,
                          .loaded = taken >= WP_FLOW_HALF_FULL,
                          .taken = taken,
                          .old_version = old };
    if (old)
        sh->old_running++;
    wp_suspects_attempt_started(f->d->suspects, now, f->hash);
    /* From now on the session is on this version, also for requests that come
       before this one is answered. */
    if (f->session)
        wp_direct_session_on(f->d, now, f->session, s->version);
    const char *fetch = foretell(f, now, s, why);
    *out = (WPMove){ .kind = WP_MOVE_SEND,
                     .replica = s,
                     .model = wp_flow_model(f),
                     .why = why,
                     .fetch = fetch,
                     .budget_ms = (uint32_t)MAX(wp_flow_left_ms(f, now), 1),
                     .patience_ms = wp_flow_patience(f) };
}

static void end_leg(WPFlow *f, WPTime now, const WPAttempt *leg,
                    WPAttemptOutcome how)
{
    WPShift *sh = wp_flow_shift(f);
    wp_flow_learn_load(f, now, leg, how);
    if (leg->old_version && sh && sh->old_running)
        sh->old_running--;
    wp_suspects_attempt_ended(f->d->suspects, f->hash);
    wp_fleet_request_ended(leg->replica, now, how);
    wp_replica_unref(leg->replica);
}

/* Ends the leg under way; its endpoint is not asked again for this request
   while there are others. */
static void end_this(WPFlow *f, WPTime now, WPAttemptOutcome how)
{
    WPAttempt leg = f->leg;
    if (!leg.replica)
        return;
    if (f->n_tried < WP_FLOW_TRIED_MOST)
        f->tried[f->n_tried++] = wp_replica_ref(leg.replica);
    f->leg = (WPAttempt){ 0 };
    end_leg(f, now, &leg, how);
}

/* Another leg if the request, the route and the budget allow it. */
static bool again(WPFlow *f, WPTime now, WPWhy why, WPMove *out)
{
    WPDirect *d = f->d;
    bool exhausted =
        f->ran >= f->route->max_attempts || f->refused >= REFUSALS_MOST;
    if (exhausted || wp_flow_left_ms(f, now) <= 0 ||
        !wp_suspects_may_retry(d->suspects, now, f->hash))
        return false;
    WPReplica *s = wp_flow_choose(f, now);
    if (!s)
        return false;
    WPRepeatFor needed =
        why == WP_WHY_BETTER ? WP_REPEAT_BETTER : WP_REPEAT_FAILURE;
    if (!wp_budget_take(wp_direct_budget(d, f->service->name),
                        &d->rules.retries, now, d->boxes, needed)) {
        wp_replica_unref(s);
        f->spent = true;
        return false;
    }
    wp_count(&d->counters,
             why == WP_WHY_BETTER ? WP_C_ESCALATIONS : WP_C_RETRIES);
    begin_leg(f, now, s, why, out);
    return true;
}

static WPCode check_caller(const WPDirect *d, WPFlow *f, const WPDirectAsk *ask)
{
    const WPCaller *c;
    f->priority = f->route->priority;
    if (!d->routes->requires_keys || f->route->anonymous)
        return WP_OK;
    c = ask->key.n ? wp_routes_caller_by_key(d->routes, ask->key) : NULL;
    if (!c)
        return WP_NO_KEY;
    f->workspace = c->workspace;
    f->areas = c->areas;
    if (c->priority >= 0)
        f->priority = c->priority;
    return WP_OK;
}

static WPCode admit(WPFlow *f, const WPDirectAsk *ask)
{
    WPDirect *d = f->d;
    if (!d->routes)
        return WP_NOT_READY;
    f->routes = wp_routes_ref(d->routes);
    f->route = wp_routes_find(d->routes, ask->host, ask->path);
    if (!f->route)
        return WP_NO_ROUTE;
    WPCode code = check_caller(d, f, ask);
    if (code != WP_OK)
        return code;
    f->service =
        wp_route_pick_service(d->routes, f->route, g_rand_double(d->rand));
    return f->service ? WP_OK : WP_NO_ENDPOINT;
}

static void set_times(WPFlow *f, const WPDirectAsk *ask)
{
    uint32_t route_ms = f->route->timeout_ms;
    uint32_t ms = ask->deadline_ms;
    if (route_ms && (!ms || route_ms < ms))
        ms = route_ms;
    /* What does not end in time after all gets a final answer, not a cut. */
    if (ask->stay_ms && (!ms || ask->stay_ms < ms))
        ms = ask->stay_ms;
    f->deadline_us =
        ms ? f->start_us + (int64_t)ms * WP_US_PER_MS : INT64_MAX / 2;
}

static uint32_t ms_until(WPTime now, int64_t us)
{
    return (uint32_t)(MAX(us - now.mono_us, 0) / WP_US_PER_MS) + 1;
}

/* Callers are spread a little behind the end of the first rest, so that they do
   not all come back in one instant. */
static uint32_t rested_ms(const WPFlow *f, WPTime now,
                          const WPExcludedEndpoints *rest)
{
    double spread_ms = g_rand_double(f->d->rand) * RESTED_SPREAD_MS;
    return ms_until(now, rest->next_send_us) + (uint32_t)spread_ms;
}

static WPMove barred(WPCode code, uint32_t retry_ms,
                     const WPExcludedEndpoints *by, WPExclusion bar)
{
    WPMove m = move_fail(code, retry_ms);
    m.barred = by->endpoint;
    m.bar = bar;
    return m;
}

/* By what passes first: a rest, a limit, or the time that an endpoint is cold.
   Returns false when none of these keeps the request from any. */
static bool barred_for_a_while(WPFlow *f, WPTime now, WPMove *out)
{
    const WPEndpointQuery w = wp_flow_want(f);
    WPEndpointQuery any =
        w; /* what it has tried may have asked for rest just now */
    any.n_tried = 0;
    WPFleet *fleet = f->d->fleet;
    WPExcludedEndpoints limit, cold, rest;
    bool limited =
        wp_fleet_find_excluded(fleet, now, &w, WP_EXCLUDED_LIMIT, &limit);
    bool spared =
        wp_fleet_find_excluded(fleet, now, &w, WP_EXCLUDED_COLD, &cold);
    bool rests =
        wp_fleet_find_excluded(fleet, now, &any, WP_EXCLUDED_BACKOFF, &rest);
    if (rests &&
        rest.next_send_us <= MIN(limit.next_send_us, cold.next_send_us))
        *out = barred(WP_RESTING, rested_ms(f, now, &rest), &rest,
                      WP_EXCLUDED_BACKOFF);
    else if (limited)
        *out =
            barred(WP_LIMITED, wp_fleet_limit_refused(fleet, now, &w, &limit),
                   &limit, WP_EXCLUDED_LIMIT);
    else if (spared)
        *out = barred(WP_STARTING, ms_until(now, cold.next_send_us), &cold,
                      WP_EXCLUDED_COLD);
    return rests || limited || spared;
}

/* No endpoint takes the request at present: why, and when one may. */
static WPMove no_endpoint(WPFlow *f, WPTime now)
{
    WPMove m;
    if (!f->spent && barred_for_a_while(f, now, &m))
        return m;
    const WPEndpointQuery w = wp_flow_want(f);
    if (wp_fleet_all_outside_areas(f->d->fleet, &w))
        return move_fail(WP_NO_AREA, NO_AREA_MS);
    bool kept_out =
        wp_fleet_has_evacuated_endpoints(f->d->fleet, f->service->name);
    return move_fail(WP_NO_ENDPOINT, kept_out ? KEPT_OUT_MS : NO_ENDPOINT_MS);
}

/* The first leg, to this endpoint, unless endpoints have ended under the
   request. */
static void begin(WPFlow *f, WPTime now, WPReplica *s, WPMove *out)
{
    switch (
        wp_suspects_admit(f->d->suspects, now, f->hash, wp_flow_version(s))) {
    case WP_SUSPECT_ADMITTED:
        begin_leg(f, now, s, WP_WHY_FIRST, out);
        return;
    case WP_SUSPECT_IN_FLIGHT:
        *out = move_fail(WP_IN_DOUBT, IN_DOUBT_MS);
        break;
    case WP_SUSPECT_QUARANTINED:
        *out = move_fail(WP_KEPT_OUT, KEPT_OUT_REQUEST_MS);
        break;
    }
    wp_replica_unref(s);
}

static uint32_t when_to_come_back(const WPDirect *d, WPCode code)
{
    if (code == WP_NOT_READY)
        return d->start.store_unavailable ? AWAY_MS : STARTING_MS;
    return code == WP_NO_ENDPOINT ? NO_ENDPOINT_MS : 0;
}

/* A request whose route and caller are known. */
static void place(WPFlow *f, WPTime now, WPMove *out)
{
    WPDirect *d = f->d;
    wp_budget_request(wp_direct_budget(d, f->service->name), &d->rules.retries,
                      now);
    wp_fleet_count_request(d->fleet, now, f->service->name);
    f->draw = g_rand_double(d->rand);
    if (wp_flow_skips_ahead(f, now))
        f->step = f->route->models->len - 1;
    WPReplica *s = wp_flow_choose(f, now);
    if (s)
        begin(f, now, s, out);
    else
        *out = no_endpoint(f, now);
}

void wp_flow_enter(WPFlow *f, WPTime now, const WPDirectAsk *ask, WPMove *out)
{
    WPDirect *d = f->d;
    WPCode code = admit(f, ask);
    if (code != WP_OK) {
        *out = move_fail(code, when_to_come_back(d, code));
        return;
    }
    f->hash = wp_flow_hash(f, ask);
    set_times(f, ask);
    if (ask->stay_ms && !wp_flow_fits(f, ask->stay_ms)) {
        *out = move_fail(WP_LEAVING, LEAVING_MS);
        return;
    }
    uint32_t bound_ms = wp_flow_bound_ms(f, now);
    if (bound_ms)
        *out = move_fail(WP_SESSION_BOUND, bound_ms);
    else
        place(f, now, out);
}

WPFlow *wp_flow_begin(WPDirect *d, WPTime now, const WPDirectAsk *ask,
                      WPMove *out)
{
    WPFlow *f = g_new0(WPFlow, 1);
    f->d = d;
    f->id = g_strndup(ask->id.p, ask->id.n);
    f->model = g_strndup(ask->model.p, ask->model.n);
    f->start_us = now.mono_us;
    f->deadline_us = INT64_MAX / 2;
    f->prompt = ask->prompt;
    f->answer_tokens = ask->answer_tokens;
    f->body_bytes = ask->body_bytes;
    f->session = ask->session.n ? wp_hash(ask->session, 0) : 0;
    f->unit = wp_direct_unit(f->session ? f->session : wp_hash(ask->id, 0));
    wp_count(&d->counters, WP_C_REQUESTS);
    uint32_t hold_ms =
        d->routes ? 0 : wp_startup_hold_ms(&d->start, now, ask->deadline_ms);
    if (hold_ms)
        *out = (WPMove){ .kind = WP_MOVE_HOLD, .retry_ms = hold_ms };
    else
        wp_flow_enter(f, now, ask, out);
    return f;
}

void wp_flow_held_out(WPFlow *f, WPMove *out)
{
    *out = move_fail(WP_NOT_READY, when_to_come_back(f->d, WP_NOT_READY));
}

static void give_up(WPFlow *f, WPCode code, uint32_t retry_ms, WPMove *out)
{
    if (f->passing)
        *out = (WPMove){ .kind = WP_MOVE_CUT, .code = code };
    else
        *out = move_fail(code, retry_ms);
}

/* The same of a request that no endpoint has run. */
static void give_up_unrun(WPFlow *f, WPTime now, WPMove *out)
{
    const WPMove m = no_endpoint(f, now);
    give_up(f, m.code, m.retry_ms, out);
    out->barred = m.barred;
    out->bar = m.bar;
}

/* The endpoint did not run it. The request has not run at all only if no
   earlier leg may have. */
static void after_refusal(WPFlow *f, WPTime now, WPAttemptOutcome how,
                          WPMove *out)
{
    f->refused++;
    end_this(f, now, how);
    if (again(f, now, WP_WHY_RETRY, out))
        return;
    if (f->ran)
        give_up(f, WP_ENDPOINT_FAILED, 0, out);
    else
        give_up_unrun(f, now, out);
}

static void pass(WPFlow *f, WPMove *out)
{
    f->passing = true;
    *out = (WPMove){ .kind = WP_MOVE_PASS };
}

static void try_better(WPFlow *f, WPTime now, WPMove *out)
{
    WPAttempt had;
    unsigned step = f->step;
    wp_flow_judge(f, false, WP_TIME_UNKNOWN);
    had = f->leg;
    f->step = f->route->models->len - 1;
    f->ran++;
    if (again(f, now, WP_WHY_BETTER, out)) {
        end_leg(f, now, &had, WP_OUTCOME_OK);
        return;
    }
    f->ran--;
    f->step = step;
    pass(f, out);
}

static WPAttemptOutcome refused_how(const WPDirectAnswer *a)
{
    if (a->wrong)
        return WP_OUTCOME_WRONG_ENDPOINT;
    return wp_flow_asks_for_rest(a) ? WP_OUTCOME_BACKOFF : WP_OUTCOME_REFUSED;
}

void wp_flow_answer(WPFlow *f, WPTime now, const WPDirectAnswer *a, WPMove *out)
{
    if (a->wrong || a->not_run) {
        after_refusal(f, now, refused_how(a), out);
        return;
    }
    bool failed = a->status >= 500;
    if (!a->genuine && a->status < 300) {
        wp_flow_lost(f, now, WP_LOSS_BROKEN, out);
        return;
    }
    wp_flow_note_first(f, now);
    if (failed || f->route->retry_policy != WP_RETRY_STREAM)
        wp_flow_judge(f, failed,
                      failed ? WP_TIME_UNKNOWN
                             : wp_flow_judge_time(
                                   f, f->route->name,
                                   (double)(now.mono_us - f->leg.sent_us)));
    if (failed) {
        f->ran++;
        end_this(f, now, WP_OUTCOME_FAILED);
        if (wp_flow_may_repeat(f) && again(f, now, WP_WHY_RETRY, out))
            return;
        /* A 503 without the mark of a refusal would promise too much. */
        if (f->passing || !a->genuine || a->status == 503)
            give_up(f, WP_ENDPOINT_FAILED, 0, out);
        else
            *out = (WPMove){ .kind = WP_MOVE_PASS };
        return;
    }
    if (f->passing) /* a stream that goes on elsewhere */
        *out = (WPMove){ .kind = WP_MOVE_PASS };
    else if (wp_flow_wants_better(f, now, a))
        try_better(f, now, out);
    else
        pass(f, out);
}

void wp_flow_lost(WPFlow *f, WPTime now, WPLoss how, WPMove *out)
{
    if (how == WP_LOSS_UNSENT) {
        after_refusal(f, now, WP_OUTCOME_NO_RESPONSE, out);
        return;
    }
    f->ran++;
    WPAttemptOutcome served = wp_flow_ended_how(f, how);
    wp_flow_note_ended(f, now);
    end_this(f, now, served);
    WPWhy why = f->passing ? WP_WHY_RESUME : WP_WHY_RETRY;
    if (wp_flow_may_repeat(f) && again(f, now, why, out))
        return;
    give_up(f, how == WP_LOSS_SILENT ? WP_LINK_LOST : WP_ENDPOINT_FAILED, 0,
            out);
}

bool wp_flow_impatient(WPFlow *f, WPTime now, WPMove *out)
{
    WPAttempt had = f->leg;
    if (had.heard || f->passing || f->hurried || !had.replica)
        return false;
    if (f->n_tried == WP_FLOW_TRIED_MOST)
        return false;
    wp_flow_judge_overdue(f, now);
    f->hurried = true;
    f->tried[f->n_tried++] = wp_replica_ref(had.replica);
    f->ran++;
    if (again(f, now, WP_WHY_RETRY, out)) {
        end_leg(f, now, &had, WP_OUTCOME_NO_RESPONSE);
        return true;
    }
    f->ran--;
    wp_replica_unref(f->tried[--f->n_tried]);
    return false;
}

void wp_flow_expired(WPFlow *f, WPTime now, WPMove *out)
{
    bool sent = f->leg.replica || f->ran;
    wp_flow_judge_overdue(f, now);
    end_this(f, now,
             f->leg.heard ? WP_OUTCOME_ABANDONED : WP_OUTCOME_NO_RESPONSE);
    if (sent)
        give_up(f, WP_TIMED_OUT, 0, out);
    else
        give_up_unrun(f, now, out);
}

/* A session binds from the end of its last request. */
static void note_session(WPFlow *f, WPTime now)
{
    if (f->session && f->leg.replica && f->passing)
        wp_direct_session_on(f->d, now, f->session, f->leg.replica->version);
}

void wp_flow_done(WPFlow *f, WPTime now, uint64_t events)
{
    wp_flow_judge_pace(f, now, events);
    wp_flow_learn_pause(f);
    note_session(f, now);
    end_this(f, now, WP_OUTCOME_OK);
    if (wp_suspects_completed(f->d->suspects, now, f->hash))
        wp_count(&f->d->counters, WP_C_SUSPECTS_CLEARED);
    wp_count(&f->d->counters, WP_C_ANSWERED);
    wp_histogram_add(&f->d->counters.whole_answer, now.mono_us - f->start_us);
    if (f->gap_us)
        wp_histogram_add(&f->d->counters.longest_gap, f->gap_us);
}

void wp_flow_left(WPFlow *f, WPTime now)
{
    note_session(f, now);
    end_this(f, now, WP_OUTCOME_ABANDONED);
    wp_count(&f->d->counters, WP_C_CALLERS_GONE);
}

void wp_flow_free(WPFlow *f)
{
    if (!f)
        return;
    for (size_t i = 0; i < f->n_tried; i++)
        wp_replica_unref(f->tried[i]);
    wp_routes_unref(f->routes);
    g_free(f->id);
    g_free(f->model);
    g_free(f->fails_loaded);
    g_free(f);
}

const char *wp_why_name(WPWhy why)
{
    static const char *const names[] = { "first", "retry", "better", "resume" };
    return names[why];
}
