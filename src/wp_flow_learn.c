/* What the attempts of a request show: the speed and load of endpoints, and
 * whether a new version is bad or a version fails under load. */
#include "wp_flow_int.h"

/* Utilization from which on any engine, and any endpoint that does not batch,
   may be slow because of its load. */
#define ENGINE_BUSY_SHARE 0.25
#define UNBATCHED_BUSY_SHARE 0.9

/* A non-streaming answer is slow above this multiple of the upper quartile. */
#define SLOW_RATIO 2.0

/* Quartiles whose ratio is below this cannot tell a slow version from a good
   one: the times of endpoints that take equally long whatever they have to do
   differ by tenths of a millisecond, because of their connections alone. The
   quartiles of engines are several times apart. */
#define QUARTILE_RATIO_MIN 1.25

/* Events of a stream from which on its mean event gap is sampled, and the
   fewest events of a complete stream that show anything. */
#define GAP_SAMPLE_EVENTS 6
#define GAP_EVENTS_MIN 4

/* Weight of the newest value in the moving average of TTFB as a part of its
   target. */
#define TARGET_RATIO_WEIGHT 0.06

/* A TTFB above its target counts as one just at the target: after all boxes had
   stopped, a few that were three times their target kept the larger models
   unused for eight seconds. */
#define TARGET_RATIO_MAX 1.0

/* Whether the service's endpoints process each request by itself, not in
   batches as engines do. */
static bool is_unbatched(const WPFlow *f)
{
    return !f->service->slots && f->route->retry_policy != WP_RETRY_STREAM;
}

bool wp_flow_endpoint_is_busy(const WPFlow *f, double utilization)
{
    return utilization >=
           (is_unbatched(f) ? UNBATCHED_BUSY_SHARE : ENGINE_BUSY_SHARE);
}

/* Failures of the new version of a running shift count for the shift only. */
void wp_flow_learn_load_failures(WPFlow *f, WPTime now,
                                 const WPAttempt *attempt, WPAttemptOutcome how)
{
    const WPShift *sh = wp_flow_shift(f);
    const char *version = attempt->replica->version;
    bool is_new =
        sh && sh->state == WP_SHIFT_RUNNING && !strcmp(version, sh->version);
    bool failed = how == WP_OUTCOME_FAILED || how == WP_OUTCOME_STREAM_BROKEN;
    if (is_new || (how != WP_OUTCOME_OK && !failed))
        return;
    WPFleet *fleet = f->d->fleet;
    bool known = wp_fleet_fails_under_load(fleet, now,
                                           attempt->replica->service, version);
    wp_fleet_record_answer(fleet, now, attempt->replica, attempt->taken,
                           failed);
    if (known || !wp_fleet_fails_under_load(fleet, now,
                                            attempt->replica->service, version))
        return;
    wp_count(&f->d->counters, WP_C_FAILS_LOADED);
    g_free(f->fails_loaded);
    f->fails_loaded = g_strdup(version);
}

/* Late first bytes show that the endpoints are overloaded, whatever their
   number of slots. */
static void update_target_ratio(WPFlow *f, int64_t took_us)
{
    double target_us = (double)f->route->target_latency_ms * WP_US_PER_MS;
    double ratio = MIN((double)took_us / target_us, TARGET_RATIO_MAX);
    f->d->lag += TARGET_RATIO_WEIGHT * (ratio - f->d->lag);
}

/* Whether the attempt is on the new version of a running shift. Such attempts
   are compared with those on other versions, so that nothing is learned from
   them for the reference. */
static bool is_canary(const WPFlow *f)
{
    const WPShift *sh = wp_flow_shift(f);
    return sh && sh->state == WP_SHIFT_RUNNING &&
           !strcmp(f->leg.replica->version, sh->version);
}

void wp_flow_record_first_byte(WPFlow *f, WPTime now)
{
    WPTtfbModel *v = wp_flow_ttfb_model(f, wp_flow_model(f));
    int64_t took_us = now.mono_us - f->leg.sent_us;
    if (f->leg.heard)
        return;
    f->leg.heard = true;
    f->leg.first_us = now.mono_us;
    if (f->route->target_latency_ms)
        update_target_ratio(f, took_us);
    wp_fleet_first_byte(f->d->fleet, f->leg.replica, f->leg.reading_us, took_us,
                        (int64_t)f->leg.expect_us);
    if (!is_canary(f) || !f->leg.expect_us)
        wp_ttfb_add(v, &f->leg.work, took_us);
}

void wp_flow_sample_shift(WPFlow *f, bool failed, WPAnswerTime time)
{
    WPShift *sh = wp_flow_shift(f);
    if (f->leg.judged || !f->leg.replica)
        return;
    f->leg.judged = true;
    if (!sh || sh->state != WP_SHIFT_RUNNING)
        return;
    if (is_canary(f) && f->leg.loaded)
        wp_canary_record_loaded(&sh->canary, f->leg.replica->id, failed);
    const WPCanaryAnswer a = { .version = f->leg.replica->version,
                               .replica = f->leg.replica->id,
                               .route = f->route->name,
                               .failed = failed,
                               .time = time,
                               .utilization = f->leg.taken };
    wp_shift_record_answer(sh, &a);
}

/* The quartiles are learned at this box, without attempts on the new version of
   a running shift. Times at busy endpoints show nothing. */
WPAnswerTime wp_flow_classify_time(WPFlow *f, const char *what, double us)
{
    WPQuartiles *u = wp_direct_usual(f->d, what, wp_flow_model(f));
    double lower = wp_quartiles_lower(u), upper = wp_quartiles_upper(u);
    if (f->leg.crowded)
        return WP_TIME_UNKNOWN;
    if (!is_canary(f))
        wp_quartiles_add(u, us);
    if (upper <= 0)
        return WP_TIME_UNKNOWN;
    if (is_unbatched(f) || upper < QUARTILE_RATIO_MIN * lower)
        return us > SLOW_RATIO * upper ? WP_TIME_RATIO_SLOW
                                       : WP_TIME_RATIO_NORMAL;
    if (us > upper)
        return WP_TIME_SLOW;
    return us < lower ? WP_TIME_FAST : WP_TIME_MIDDLE;
}

/* A slow version may begin its answers in time and then send their events at
   several times the usual gap. Few events show nothing. The gap depends on the
   model, not on the route. */
void wp_flow_sample_event_gap(WPFlow *f, WPTime now, uint64_t events)
{
    if (f->leg.judged || !f->leg.heard)
        return;
    if (events < GAP_EVENTS_MIN) {
        wp_flow_sample_shift(f, false, WP_TIME_UNKNOWN);
        return;
    }
    int64_t since_first_us = now.mono_us - f->leg.first_us;
    double mean_gap_us = (double)since_first_us / (double)(events - 1);
    wp_flow_sample_shift(
        f, false, wp_flow_classify_time(f, f->service->name, mean_gap_us));
}

/* Updates the longest time that the caller of a stream waited between two
   events. */
static void update_gap(WPFlow *f, WPTime now, uint64_t events)
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
    update_gap(f, now, events);
    wp_suspects_endpoint_alive(
        f->d->suspects, now, f->leg.replica->incarnation_hash, f->leg.sent_us);
    if (events >= GAP_SAMPLE_EVENTS && !f->leg.judged)
        wp_flow_sample_event_gap(f, now, events);
}

/* A stream that was resumed at another endpoint was interrupted for another
   reason than prefill, so nothing is learned from it. */
void wp_flow_learn_stall(WPFlow *f)
{
    double target_us = (double)f->route->max_event_gap_ms * WP_US_PER_MS;
    if (!f->leg.replica || !f->gap_us || f->n_tried)
        return;
    double prefill_us =
        wp_prefill_peaks_max_since(&f->leg.replica->peaks, f->leg.first_us);
    wp_stall_add(&f->d->pauses, prefill_us, target_us, (double)f->gap_us);
}

/* A non-streaming answer that is overdue counts as a slow one. */
void wp_flow_sample_overdue(WPFlow *f, WPTime now)
{
    if (!f->leg.replica || f->leg.judged || !is_unbatched(f))
        return;
    double us = (double)(now.mono_us - f->leg.sent_us);
    double upper = wp_quartiles_upper(
        wp_direct_usual(f->d, f->route->name, wp_flow_model(f)));
    if (upper > 0 && us > SLOW_RATIO * upper && !f->leg.crowded)
        wp_flow_sample_shift(f, false, WP_TIME_RATIO_SLOW);
}
