/* Learns from the attempts of a request: the speed and load of endpoints, and
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

/* The usual gap between events is the one below which this part of them is: an
   engine reads prompts between many of them. */
#define USUAL_GAP_PART 3

/* Events that follow within this time came together. */
#define BURST_US 1000

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
    WPFleet *fleet = f->direct->fleet;
    bool known = wp_fleet_fails_under_load(fleet, now,
                                           attempt->replica->service, version);
    wp_fleet_record_answer(fleet, now, attempt->replica, attempt->utilization,
                           failed);
    if (known || !wp_fleet_fails_under_load(fleet, now,
                                            attempt->replica->service, version))
        return;
    wp_count(&f->direct->counters, WP_C_FAILS_LOADED);
    g_free(f->fails_loaded);
    f->fails_loaded = g_strdup(version);
}

/* Late first bytes show that the endpoints are overloaded, whatever their
   number of slots. */
static void update_target_ratio(WPFlow *f, int64_t took_us)
{
    double target_us = (double)f->route->target_latency_ms * WP_US_PER_MS;
    double ratio = MIN((double)took_us / target_us, TARGET_RATIO_MAX);
    f->direct->target_ratio +=
        TARGET_RATIO_WEIGHT * (ratio - f->direct->target_ratio);
}

/* Whether the attempt is on the new version of a running shift. Such attempts
   are compared with those on other versions, so that nothing is learned from
   them for the reference. */
static bool is_canary(const WPFlow *f)
{
    const WPShift *sh = wp_flow_shift(f);
    return sh && sh->state == WP_SHIFT_RUNNING &&
           !strcmp(f->attempt.replica->version, sh->version);
}

void wp_flow_record_first_byte(WPFlow *f, WPTime now)
{
    WPTtfbModel *v = wp_flow_ttfb_model(f, wp_flow_model(f));
    int64_t took_us = now.mono_us - f->attempt.sent_us;
    if (f->attempt.first_byte_seen)
        return;
    f->attempt.first_byte_seen = true;
    f->attempt.first_byte_us = now.mono_us;
    if (f->route->target_latency_ms)
        update_target_ratio(f, took_us);
    wp_fleet_first_byte(f->direct->fleet, f->attempt.replica, now,
                        f->attempt.prefill_us, took_us,
                        (int64_t)f->attempt.expected_ttfb_us);
    if (is_canary(f) && f->attempt.expected_ttfb_us)
        return;
    wp_ttfb_add(v, &f->attempt.ttfb_inputs, took_us);
    if (wp_flow_is_contended(f))
        wp_direct_share_ttfb(f->direct, v, &f->attempt.ttfb_inputs, took_us);
}

/* Whether a failure on the new version can be compared with an attempt on the
   old one. Sessions stay on the new version. */
static bool is_comparable(const WPFlow *f)
{
    return !f->session && !f->canary_failure && wp_flow_is_retryable(f);
}

void wp_flow_settle_canary_failure(WPFlow *f, bool counts)
{
    WPReplica *s = f->canary_failure;
    if (!s)
        return;
    WPShift *sh = wp_flow_shift(f);
    if (sh && counts && sh->state == WP_SHIFT_RUNNING &&
        !strcmp(s->version, sh->version)) {
        const WPCanaryAnswer a = { .version = s->version,
                                   .replica = s->id,
                                   .route = f->route->name,
                                   .failed = true };
        if (f->canary_failure_loaded)
            wp_canary_record_loaded(&sh->canary, s->id, true);
        wp_shift_record_answer(sh, &a);
    }
    f->canary_failure = NULL;
    wp_replica_unref(s);
}

void wp_flow_sample_shift(WPFlow *f, bool failed, WPAnswerTime time)
{
    WPShift *sh = wp_flow_shift(f);
    if (f->attempt.sampled || !f->attempt.replica)
        return;
    f->attempt.sampled = true;
    if (!sh || sh->state != WP_SHIFT_RUNNING)
        return;
    bool canary = is_canary(f);
    if (canary && failed && is_comparable(f)) {
        f->canary_failure = wp_replica_ref(f->attempt.replica);
        f->canary_failure_loaded = f->attempt.loaded;
        return;
    }
    /* A request that fails on the old version too says nothing of the new one.
     */
    if (!canary)
        wp_flow_settle_canary_failure(f, !failed);
    if (canary && f->attempt.loaded)
        wp_canary_record_loaded(&sh->canary, f->attempt.replica->id, failed);
    const WPCanaryAnswer a = { .version = f->attempt.replica->version,
                               .replica = f->attempt.replica->id,
                               .route = f->route->name,
                               .failed = failed,
                               .time = time,
                               .utilization = f->attempt.utilization };
    wp_shift_record_answer(sh, &a);
}

/* Classifies the time `us` of the present attempt by the quartiles of the times
   learned for `what` (a route, or a service for event gaps) and the model. The
   quartiles are learned at this box, without attempts on the new version of a
   running shift. Times at busy endpoints show nothing. */
static WPAnswerTime classify_time(WPFlow *f, const char *what, double us)
{
    WPQuartiles *u = wp_direct_quartiles(f->direct, what, wp_flow_model(f));
    double lower = wp_quartiles_lower(u), upper = wp_quartiles_upper(u);
    if (f->attempt.busy)
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

static int by_length(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;
    return (x > y) - (x < y);
}

double wp_flow_usual_gap_us(const WPFlow *f)
{
    uint32_t gaps_us[WP_ATTEMPT_GAPS];
    unsigned n = f->attempt.n_gaps;
    if (!n)
        return 0;
    memcpy(gaps_us, f->attempt.gaps_us, n * sizeof(gaps_us[0]));
    qsort(gaps_us, n, sizeof(gaps_us[0]), by_length);
    return gaps_us[(n - 1) / USUAL_GAP_PART];
}

/* The quartiles of the times for `what` at endpoints of a load class, or at
   endpoints of any load. */
static WPQuartiles *times_at_load(WPFlow *f, const char *what,
                                  unsigned load_class)
{
    g_autofree char *key = load_class < WP_SPEED_LOADS
                               ? g_strdup_printf("%s load=%u", what, load_class)
                               : g_strdup_printf("%s load=any", what);
    return wp_direct_quartiles(f->direct, key, wp_flow_model(f));
}

/* The usual time for `what` at endpoints of this load class: the shortest of
   those known for it and for the classes above it, as no answer takes longer
   with less load. Few values of engines are enough: those of the old version
   are hardly ever as idle as the new one's, and their times err upwards only,
   when other requests have come. 0: it is not known. */
static double usual_time_us(WPFlow *f, const char *what, unsigned load_class)
{
    double us = 0;
    for (unsigned i = load_class; i < WP_SPEED_LOADS; i++) {
        WPQuartiles *u = times_at_load(f, what, i);
        double known_us = is_unbatched(f) ? wp_quartiles_middle(u)
                                          : wp_quartiles_early_middle(u);
        if (known_us > 0 && (us <= 0 || known_us < us))
            us = known_us;
    }
    if (us <= 0 && !load_class)
        us = wp_quartiles_middle(times_at_load(f, what, WP_SPEED_LOADS));
    return us;
}

static void record_speed(WPFlow *f, double ratio)
{
    WPShift *sh = wp_flow_shift(f);
    const WPReplica *s = f->attempt.replica;
    f->speed_ratio = ratio;
    if (sh && sh->state == WP_SHIFT_RUNNING)
        wp_shift_record_speed(sh, s->version, s->id, ratio);
}

/* Compares the time `us` of the present attempt with the usual one, and learns
   what is usual from other versions than a running shift's new one. `what` is
   what the time is of: a route, or a service for event gaps. */
static void compare_time(WPFlow *f, const char *what, double us)
{
    WPAttempt *a = &f->attempt;
    if (a->speed_sampled || !a->replica || a->cold || us <= 0 ||
        (is_unbatched(f) && a->busy))
        return;
    a->speed_sampled = true;
    if (a->slowdown > 0) /* the machine's doing, not the version's */
        us /= a->slowdown;
    unsigned load_class = is_unbatched(f) ? 0 : wp_speed_load_class(a->running);
    double usual_us = usual_time_us(f, what, load_class);
    if (usual_us > 0)
        record_speed(f, us / usual_us);
    if (is_canary(f))
        return;
    wp_quartiles_add(times_at_load(f, what, load_class), us);
    wp_quartiles_add(times_at_load(f, what, WP_SPEED_LOADS), us);
}

void wp_flow_sample_stream_speed(WPFlow *f)
{
    compare_time(f, f->service->name, wp_flow_usual_gap_us(f));
}

void wp_flow_sample_answer_time(WPFlow *f, WPTime now)
{
    double us = (double)(now.mono_us - f->attempt.sent_us);
    compare_time(f, f->route->name, us);
    wp_flow_sample_shift(f, false, classify_time(f, f->route->name, us));
}

/* A slow version may begin its answers in time and then send their events at
   several times the usual gap. Few events show nothing. The gap depends on the
   model, not on the route. */
void wp_flow_sample_event_gap(WPFlow *f, WPTime now, uint64_t events)
{
    if (f->attempt.sampled || !f->attempt.first_byte_seen)
        return;
    if (events < GAP_EVENTS_MIN) {
        wp_flow_sample_shift(f, false, WP_TIME_UNKNOWN);
        return;
    }
    int64_t since_first_us = now.mono_us - f->attempt.first_byte_us;
    double mean_gap_us = (double)since_first_us / (double)(events - 1);
    wp_flow_sample_shift(f, false,
                         classify_time(f, f->service->name, mean_gap_us));
}

/* Whether an event that comes after this time was sent about as long after the
   last ones as those after each other. Events are held up by a network that
   waits for more to send: then several come shortly after each other, and the
   next one seems to follow early. */
static bool shares_gap(const WPAttempt *a, int64_t gap_us)
{
    uint64_t usual_us = a->gap_events ? a->gap_total_us / a->gap_events : 0;
    return gap_us < BURST_US || (a->gap_held && (uint64_t)gap_us < usual_us);
}

/* Keeps the time before the last `n` events of the attempt. */
static void keep_gap(WPAttempt *a, int64_t gap_us, uint64_t n)
{
    bool shares = shares_gap(a, gap_us);
    if (!a->events || (shares && !a->n_gaps) ||
        (!shares && a->n_gaps == WP_ATTEMPT_GAPS))
        return;
    if (!shares) {
        a->n_gaps++;
        a->gap_total_us = a->gap_events = 0;
    }
    a->gap_held = n > 1 || gap_us < BURST_US;
    a->gap_total_us += (uint64_t)gap_us;
    a->gap_events += n;
    a->gaps_us[a->n_gaps - 1] = (uint32_t)(a->gap_total_us / a->gap_events);
}

/* Updates the longest time that the caller of a stream waited between two
   events. */
static void update_gap(WPFlow *f, WPTime now, uint64_t events)
{
    if (events <= f->attempt.events)
        return;
    int64_t gap_us = f->last_event_us ? now.mono_us - f->last_event_us : 0;
    f->max_gap_us = MAX(f->max_gap_us, gap_us);
    keep_gap(&f->attempt, gap_us, events - f->attempt.events);
    f->attempt.events = events;
    f->last_event_us = now.mono_us;
}

void wp_flow_on_events(WPFlow *f, WPTime now, uint64_t events)
{
    update_gap(f, now, events);
    wp_suspects_endpoint_alive(f->direct->suspects, now,
                               f->attempt.replica->incarnation_hash,
                               f->attempt.sent_us);
    wp_flow_note_long_run(f, now);
    if (events >= GAP_SAMPLE_EVENTS && !f->attempt.sampled)
        wp_flow_sample_event_gap(f, now, events);
    if (f->attempt.n_gaps == WP_ATTEMPT_GAPS)
        wp_flow_sample_stream_speed(f);
}

/* A stream that was resumed at another endpoint was interrupted for another
   reason than prefill, so nothing is learned from it. */
void wp_flow_learn_stall(WPFlow *f)
{
    double target_us = (double)f->route->max_event_gap_ms * WP_US_PER_MS;
    if (!f->attempt.replica || !f->max_gap_us || f->n_tried)
        return;
    double prefill_us = wp_prefill_peaks_max_since(&f->attempt.replica->peaks,
                                                   f->attempt.first_byte_us);
    wp_stall_add(&f->direct->stalls, prefill_us, target_us,
                 (double)f->max_gap_us);
}

/* A non-streaming answer that is overdue counts as a slow one. */
void wp_flow_sample_overdue(WPFlow *f, WPTime now)
{
    if (!f->attempt.replica || f->attempt.sampled || !is_unbatched(f))
        return;
    double us = (double)(now.mono_us - f->attempt.sent_us);
    double upper = wp_quartiles_upper(
        wp_direct_quartiles(f->direct, f->route->name, wp_flow_model(f)));
    if (upper <= 0 || us <= SLOW_RATIO * upper || f->attempt.busy)
        return;
    compare_time(f, f->route->name, us);
    wp_flow_sample_shift(f, false, WP_TIME_RATIO_SLOW);
}
