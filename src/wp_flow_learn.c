/* What a request's legs tell: of endpoints' speed and strain, and of versions
 * that are on trial or fail under load. */
#include "wp_flow_int.h"

/* Share of places taken from which on any engine may be slow, and any plain
   endpoint. */
#define CROWDED 0.25
#define CROWDED_PLAIN 0.9

/* A plain answer is slow from so many times the usual upper bound on. */
#define FAR_TIMES 2.0

/* Quarters of the usual times that are closer than this do not part a slow
   version from a good one: endpoints that take the same time whatever they have
   to do differ by tenths of a millisecond, by their connections alone. Engines'
   quarters are several times apart. */
#define NARROW_TIMES 1.25

/* Events of a stream from which on its pace is judged, and the fewest of a
   whole one that tell anything. */
#define PACE_EVENTS 6
#define PACE_LEAST 4

/* Part of the newest in the moving mean of lags. */
#define LAG_WEIGHT 0.06

/* A first byte that comes later than its aim counts as one that is just late:
   after all boxes had stopped, a few that took three times their aim kept the
   larger models unused for eight seconds. */
#define LAG_MOST 1.0

/* Whether the service's endpoints work on each request by itself, not in
   batches as engines do. */
static bool is_plain(const WPFlow *f)
{
    return !f->service->slots && f->route->retry_policy != WP_RETRY_STREAM;
}

bool wp_flow_is_crowded(const WPFlow *f, double taken)
{
    return taken >= (is_plain(f) ? CROWDED_PLAIN : CROWDED);
}

/* While a version is on trial its failures are for the verdict. */
void wp_flow_learn_load(WPFlow *f, WPTime now, const WPAttempt *leg,
                        WPAttemptOutcome how)
{
    const WPShift *sh = wp_flow_shift(f);
    const char *version = leg->replica->version;
    bool on_trial =
        sh && sh->state == WP_SHIFT_RUNNING && !strcmp(version, sh->version);
    bool failed = how == WP_OUTCOME_FAILED || how == WP_OUTCOME_STREAM_BROKEN;
    if (on_trial || (how != WP_OUTCOME_OK && !failed))
        return;
    WPFleet *fleet = f->d->fleet;
    bool known =
        wp_fleet_fails_under_load(fleet, now, leg->replica->service, version);
    wp_fleet_record_answer(fleet, now, leg->replica, leg->taken, failed);
    if (known ||
        !wp_fleet_fails_under_load(fleet, now, leg->replica->service, version))
        return;
    wp_count(&f->d->counters, WP_C_FAILS_LOADED);
    g_free(f->fails_loaded);
    f->fails_loaded = g_strdup(version);
}

/* How late first bytes come shows the strain on the endpoints, whatever their
   number of places is. */
static void note_lag(WPFlow *f, int64_t took_us)
{
    double aim_us = (double)f->route->target_latency_ms * WP_US_PER_MS;
    double part = MIN((double)took_us / aim_us, LAG_MOST);
    f->d->lag += LAG_WEIGHT * (part - f->d->lag);
}

/* Whether the leg is on the version that a running move leads to: it is
   measured against the others, not against itself. */
static bool is_on_trial(const WPFlow *f)
{
    const WPShift *sh = wp_flow_shift(f);
    return sh && sh->state == WP_SHIFT_RUNNING &&
           !strcmp(f->leg.replica->version, sh->version);
}

/* The first byte of the leg has come: what it tells of the endpoint. */
void wp_flow_note_first(WPFlow *f, WPTime now)
{
    WPTtfbModel *v = wp_flow_speed(f, wp_flow_model(f));
    int64_t took = now.mono_us - f->leg.sent_us;
    if (f->leg.heard)
        return;
    f->leg.heard = true;
    f->leg.first_us = now.mono_us;
    if (f->route->target_latency_ms)
        note_lag(f, took);
    wp_fleet_first_byte(f->d->fleet, f->leg.replica, f->leg.reading_us, took,
                        (int64_t)f->leg.expect_us);
    if (!is_on_trial(f) || !f->leg.expect_us)
        wp_ttfb_add(v, &f->leg.work, took);
}

/* What the leg tells of the version that it was on; once a leg. */
void wp_flow_judge(WPFlow *f, bool failed, WPAnswerTime time)
{
    WPShift *sh = wp_flow_shift(f);
    if (f->leg.judged || !f->leg.replica)
        return;
    f->leg.judged = true;
    if (!sh || sh->state != WP_SHIFT_RUNNING)
        return;
    if (is_on_trial(f) && f->leg.loaded)
        wp_canary_record_loaded(&sh->canary, f->leg.replica->id, failed);
    const WPCanaryAnswer a = { .version = f->leg.replica->version,
                               .replica = f->leg.replica->id,
                               .route = f->route->name,
                               .failed = failed,
                               .time = time,
                               .utilization = f->leg.taken };
    wp_shift_record_answer(sh, &a);
}

/* How a time lies among the old version's, by bounds that this box learns. A
   crowded endpoint's tell nothing. `what`: with whose times it is compared. */
WPAnswerTime wp_flow_judge_time(WPFlow *f, const char *what, double us)
{
    WPQuartiles *u = wp_direct_usual(f->d, what, wp_flow_model(f));
    double lower = wp_quartiles_lower(u), upper = wp_quartiles_upper(u);
    if (f->leg.crowded)
        return WP_TIME_UNKNOWN;
    if (!is_on_trial(f))
        wp_quartiles_add(u, us);
    if (upper <= 0)
        return WP_TIME_UNKNOWN;
    if (is_plain(f) || upper < NARROW_TIMES * lower)
        return us > FAR_TIMES * upper ? WP_TIME_RATIO_SLOW
                                      : WP_TIME_RATIO_NORMAL;
    if (us > upper)
        return WP_TIME_SLOW;
    return us < lower ? WP_TIME_FAST : WP_TIME_MIDDLE;
}

/* A slow version may begin its answers in time and then make their events
   several times more slowly. Few events show nothing. The pace hangs on the
   model, not on the route. */
void wp_flow_judge_pace(WPFlow *f, WPTime now, uint64_t events)
{
    if (f->leg.judged || !f->leg.heard)
        return;
    if (events < PACE_LEAST) {
        wp_flow_judge(f, false, WP_TIME_UNKNOWN);
        return;
    }
    int64_t rest_us = now.mono_us - f->leg.first_us;
    double pace_us = (double)rest_us / (double)(events - 1);
    wp_flow_judge(f, false, wp_flow_judge_time(f, f->service->name, pace_us));
}

/* The longest time that the caller of a stream waited between two events. */
static void note_gap(WPFlow *f, WPTime now, uint64_t events)
{
    if (events <= f->leg.events)
        return;
    int64_t gap_us = f->event_us ? now.mono_us - f->event_us : 0;
    f->gap_us = MAX(f->gap_us, gap_us);
    f->leg.events = events;
    f->event_us = now.mono_us;
}

void wp_flow_progress(WPFlow *f, WPTime now, uint64_t events)
{
    note_gap(f, now, events);
    wp_suspects_endpoint_alive(
        f->d->suspects, now, f->leg.replica->incarnation_hash, f->leg.sent_us);
    if (events >= PACE_EVENTS && !f->leg.judged)
        wp_flow_judge_pace(f, now, events);
}

/* A stream that went on elsewhere paused for another reason. */
void wp_flow_learn_pause(WPFlow *f)
{
    double aim_us = (double)f->route->max_event_gap_ms * WP_US_PER_MS;
    if (!f->leg.replica || !f->gap_us || f->n_tried)
        return;
    double reading_us = wp_peaks_since(&f->leg.replica->peaks, f->leg.first_us);
    wp_pauses_add(&f->d->pauses, reading_us, aim_us, (double)f->gap_us);
}

/* A plain answer that has not come for long is a slow one. */
void wp_flow_judge_overdue(WPFlow *f, WPTime now)
{
    if (!f->leg.replica || f->leg.judged || !is_plain(f))
        return;
    double us = (double)(now.mono_us - f->leg.sent_us);
    double upper = wp_quartiles_upper(
        wp_direct_usual(f->d, f->route->name, wp_flow_model(f)));
    if (upper > 0 && us > FAR_TIMES * upper && !f->leg.crowded)
        wp_flow_judge(f, false, WP_TIME_RATIO_SLOW);
}
