/* Endpoint state learned from how this box's own requests end. */
#include "wp_box_updates.h"
#include "wp_fleet_int.h"

enum {
    FAILS_UNDER_LOAD_US = 30000 * WP_US_PER_MS, /* after the last failure */
    AVOID_MIN_US = 500 * WP_US_PER_MS,
    AVOID_MAX_US = 4000 * WP_US_PER_MS,
    AVOID_FAILURES = 3, /* in a row, until the endpoint is avoided */
    /* In a row, followed by an answer: the endpoint may have restarted. One in
       thirty answers is damaged or lost now and then, two in a row hardly ever
       are. */
    RESTART_FAILURES = 2
};

/* A version fails under load if at least LOADED_FAILED_MIN answers of loaded
   endpoints failed, which are at least LOADED_FAILED_SHARE of them, and at most
   LIGHT_FAILED_SHARE of the answers of the other endpoints. Versions
   may fail on half-full endpoints. As the requests of other boxes are not
   known at once, an endpoint counts as loaded from a somewhat lower
   utilization on, and is avoided from a lower one still (FULL_FROM in
   wp_fleet_pick.c). The platform allows fifty failures, which a burst brings
   within a second or two. */
#define LOADED_FROM 0.44
#define LOADED_FAILED_MIN 2.5 /* three failures, as older ones decay */
#define LOADED_FAILED_SHARE 0.2
#define LIGHT_FAILED_SHARE 0.05

/* Factor by which the weight of older answers decays with each new one. */
#define ANSWER_DECAY 0.995

#define FAIL_WEIGHT 0.12        /* of the newest outcome */
#define FAIL_HALF_LIFE_US 3.0e6 /* of old failures */
#define LATENCY_WEIGHT 0.15
#define LATENCY_RATIO_MAX 20.0

/* An endpoint that refused a request as full within this time does not queue
   requests. */
#define REFUSES_FOR_US (10 * WP_US_PER_S)

/* Answers of one version, by whether the endpoint was loaded. */
typedef struct LoadedAnswers {
    double loaded, loaded_failed, light, light_failed;
    int64_t until_us; /* the version counts as failing under load until then */
    int64_t own_until_us; /* the same, by this box's own requests */
} LoadedAnswers;

void wp_fleet_suspect_restart(WPReplica *s, WPTime now)
{
    s->restart_suspected_until_us = now.mono_us + s->cold->start_us;
}

double wp_fleet_fail_rate(const WPReplica *s, WPTime now)
{
    if (s->fail_rate <= 0)
        return 0;
    double age = (double)(now.mono_us - s->fail_rate_updated_us);
    return s->fail_rate * exp2(-age / FAIL_HALF_LIFE_US);
}

/* Whether the endpoint has reported no load since it started, or since its
   back-off ended. Of the start of an endpoint in another zone too little is
   known: the boxes there send their updates only to each other. */
static bool has_reported_no_load(const WPReplica *s, WPTime now)
{
    if (!s->reported.load_reported_us)
        return !s->remote_zone;
    return s->reported.backoff_until_us > s->reported.load_reported_us &&
           !wp_fleet_is_backing_off(s, now);
}

/* Load of an endpoint without a recent report: the mean of its cohort; but
   right after its start or its back-off, no more than the requests boxes have
   sent there. If such an endpoint counts as being as busy as the mean, it is
   never the least busy one, and it got no work for seconds. */
static double cohort_load(const WPReplica *s, WPTime now)
{
    double mean = s->cohort->utilization * s->slots;
    return has_reported_no_load(s, now) ? MIN(mean, (double)s->sent_since_load)
                                        : mean;
}

double wp_fleet_load_of(const WPReplica *s, WPTime now)
{
    double load = 0;
    if (wp_fleet_is_load_fresh(s, now))
        load = s->reported.running + s->reported.waiting + s->sent_since_load;
    else
        load = cohort_load(s, now);
    return MAX(load, (double)s->in_flight);
}

double wp_fleet_utilization(const WPReplica *s, WPTime now)
{
    return wp_fleet_load_of(s, now) / (s->slots ? s->slots : 1);
}

bool wp_fleet_refuses_now(const WPReplica *s, WPTime now)
{
    return s->refused_us && now.mono_us - s->refused_us < REFUSES_FOR_US &&
           wp_fleet_utilization(s, now) >= 1;
}

static LoadedAnswers *loaded_answers(WPFleet *f, const char *service,
                                     const char *version)
{
    g_autofree char *key = g_strdup_printf("%s %s", service, version);
    LoadedAnswers *l = g_hash_table_lookup(f->answers_by_load, key);
    if (!l) {
        l = g_new0(LoadedAnswers, 1);
        g_hash_table_insert(f->answers_by_load, g_steal_pointer(&key), l);
    }
    return l;
}

/* Hardly any answer fails while loaded endpoints are avoided, so a finding is
   kept for a while. */
void wp_fleet_record_answer(WPFleet *f, WPTime now, const WPReplica *s,
                            double utilization, bool failed)
{
    LoadedAnswers *l = loaded_answers(f, s->service, s->version);
    /* This request took a slot as well. */
    bool loaded = utilization + 1.0 / MAX(s->slots, 1) >= LOADED_FROM;
    double *n = loaded ? &l->loaded : &l->light;
    double *failures = loaded ? &l->loaded_failed : &l->light_failed;
    *n = *n * ANSWER_DECAY + 1;
    *failures = *failures * ANSWER_DECAY + failed;
    bool found = l->loaded_failed >= LOADED_FAILED_MIN &&
                 l->loaded_failed >= LOADED_FAILED_SHARE * l->loaded &&
                 l->light_failed <= LIGHT_FAILED_SHARE * l->light;
    if (loaded && failed && (found || l->until_us > now.mono_us))
        l->own_until_us = l->until_us = now.mono_us + FAILS_UNDER_LOAD_US;
    f->fails_under_load_until_us =
        MAX(f->fails_under_load_until_us, l->until_us);
}

void wp_fleet_merge_fails_under_load(WPFleet *f, WPTime now,
                                     const char *service, const char *version)
{
    LoadedAnswers *l = loaded_answers(f, service, version);
    l->until_us = MAX(l->until_us, now.mono_us + FAILS_UNDER_LOAD_US);
    f->fails_under_load_until_us =
        MAX(f->fails_under_load_until_us, l->until_us);
}

void wp_fleet_each_failing_under_load(WPFleet *f, WPTime now,
                                      void (*fn)(void *arg, const char *key),
                                      void *arg)
{
    GHashTableIter it;
    gpointer key, l;
    g_hash_table_iter_init(&it, f->answers_by_load);
    while (g_hash_table_iter_next(&it, &key, &l))
        if (((LoadedAnswers *)l)->own_until_us > now.mono_us)
            fn(arg, key);
}

bool wp_fleet_fails_under_load(WPFleet *f, WPTime now, const char *service,
                               const char *version)
{
    if (f->fails_under_load_until_us <= now.mono_us)
        return false;
    return loaded_answers(f, service, version)->until_us > now.mono_us;
}

enum { UNSENT_MAX = 256 };

/* A shorter prefill is not worth an update to other boxes. */
#define UPDATE_MIN_PREFILL_US (100 * WP_US_PER_MS)

/* Queues an update for the other boxes: the endpoint now has the shared part of
   the request's prompt in its prefix cache. It goes to `unsent_prefixes`, for
   the next digest, and to the batch of updates for the boxes of this zone.
   Does nothing if the predicted prefill of that part is shorter than
   UPDATE_MIN_PREFILL_US. The fleet's own record is made by the caller. */
static void queue_prefix_update(WPFleet *f, const WPReplica *s,
                                const WPEndpointQuery *q)
{
    uint32_t shared = wp_prompt_shared_tokens(q->prompt);
    const WPTtfbInputs inputs = { .prompt_tokens = shared,
                                  .uncached_tokens = shared };
    if (wp_ttfb_predict_prefill(q->ttfb, &inputs) < UPDATE_MIN_PREFILL_US)
        return;
    uint64_t key =
        wp_prefix_cache_key(q->model, wp_prompt_shared_hash(q->prompt));
    const WPCachedPrefixUpdate n = { s->incarnation_hash, key, shared };
    if (f->unsent_prefixes->len < UNSENT_MAX)
        g_array_append_val(f->unsent_prefixes, n);
    if (f->updates)
        wp_box_updates_add_cached(f->updates, &n);
}

size_t wp_fleet_take_unsent_prefixes(WPFleet *f, WPCachedPrefixUpdate *out,
                                     size_t max)
{
    guint n = (guint)MIN(max, f->unsent_prefixes->len);
    if (!n)
        return 0;
    memcpy(out, f->unsent_prefixes->data, n * sizeof(*out));
    g_array_remove_range(f->unsent_prefixes, 0, n);
    return n;
}

void wp_fleet_merge_cached_prefix(WPFleet *f, WPTime now,
                                  const WPCachedPrefixUpdate *n)
{
    WPReplica *s = wp_fleet_by_hash(f, n->replica);
    if (s)
        wp_prefix_cache_add_key(s->prefix_cache, now, n->key, n->tokens);
}

void wp_fleet_request_sent(WPFleet *f, WPReplica *s, WPTime now,
                           const WPEndpointQuery *q, double prefill_us)
{
    s->in_flight++;
    wp_silence_sent(&s->silence, now);
    s->sent_since_load++;
    wp_pace_record_send(&s->cold_pacing, now);
    if (s->reported.limit)
        wp_limit_record_own_send(s->reported.limit, now);
    s->own_queued_prefill_us += prefill_us;
    wp_prefill_peaks_add(&s->peaks, now, wp_fleet_queued_prefill_us(s, now));
    wp_fleet_add_sent_update(f, s, prefill_us);
    if (!q->prompt || !f->rules.track_prefixes)
        return;
    wp_prefix_cache_set_capacity(s->prefix_cache, q->memory_tokens);
    wp_prefix_cache_add(s->prefix_cache, now, q->model, q->prompt);
    queue_prefix_update(f, s, q);
}

void wp_fleet_first_byte(WPFleet *f, WPReplica *s, WPTime now,
                         double prefill_us, int64_t took_us,
                         int64_t expected_us)
{
    wp_silence_first_byte(&s->silence, now);
    s->own_queued_prefill_us = MAX(0, s->own_queued_prefill_us - prefill_us);
    if (f->updates)
        wp_box_updates_add_first_byte(f->updates, s->incarnation_hash,
                                      prefill_us);
    if (expected_us <= 0)
        return;
    double ratio = (double)took_us / (double)expected_us;
    ratio = CLAMP(ratio, 0.1, LATENCY_RATIO_MAX);
    s->latency_ratio += LATENCY_WEIGHT * (ratio - s->latency_ratio);
}

void wp_fleet_no_first_byte(WPReplica *s)
{
    wp_silence_given_up(&s->silence);
}

void wp_fleet_idle_connection_lost(WPReplica *s, WPTime now)
{
    wp_fleet_suspect_restart(s, now);
}

static void note_outcome(WPReplica *s, WPTime now, bool failed)
{
    s->fail_rate = wp_fleet_fail_rate(s, now);
    s->fail_rate_updated_us = now.mono_us;
    s->fail_rate += FAIL_WEIGHT * ((failed ? 1 : 0) - s->fail_rate);
}

static void avoid(WPReplica *s, WPTime now, unsigned doublings)
{
    int64_t us = (int64_t)AVOID_MIN_US << MIN(doublings, 6);
    s->avoid_until_us = now.mono_us + MIN(us, (int64_t)AVOID_MAX_US);
}

void wp_fleet_request_ended(WPReplica *s, WPTime now, WPAttemptOutcome outcome)
{
    if (s->in_flight)
        s->in_flight--;
    if (!s->in_flight)
        s->own_queued_prefill_us = 0;
    if (outcome != WP_OUTCOME_NO_RESPONSE && outcome != WP_OUTCOME_ABANDONED)
        s->has_responded = true;
    switch (outcome) {
    case WP_OUTCOME_OK:
        if (s->consecutive_failures >= RESTART_FAILURES)
            wp_fleet_suspect_restart(s, now);
        s->consecutive_failures = 0;
        s->avoid_until_us = 0;
        note_outcome(s, now, false);
        break;
    case WP_OUTCOME_FAILED:
        s->consecutive_failures++;
        note_outcome(s, now, true);
        if (s->consecutive_failures >= AVOID_FAILURES)
            avoid(s, now, s->consecutive_failures - AVOID_FAILURES);
        break;
    case WP_OUTCOME_STREAM_BROKEN:
        /* The caller reconnects at once and must not be sent back to the
           crashed endpoint: without this, it waited 4 s there for its first
           event. */
        s->consecutive_failures++;
        note_outcome(s, now, true);
        avoid(s, now, 0);
        break;
    case WP_OUTCOME_NO_RESPONSE:
        wp_fleet_suspect_restart(s, now);
        s->consecutive_failures++;
        note_outcome(s, now, true);
        avoid(s, now, s->consecutive_failures);
        break;
    case WP_OUTCOME_REFUSED:
        /* The endpoint is full: it counts as having one request more until its
           next load report. */
        s->sent_since_load += 1;
        s->refused_us = now.mono_us;
        note_outcome(s, now, true);
        break;
    case WP_OUTCOME_BACKOFF:
        /* The back-off excludes the endpoint. When it also counted as a
           failure, the endpoint got no work for seconds afterwards. */
    case WP_OUTCOME_MISDIRECTED:
    case WP_OUTCOME_ABANDONED:
        break;
    }
}

bool wp_fleet_is_misdirected(const WPReplica *s, uint64_t model)
{
    for (size_t i = 0; i < WP_MISDIRECTED_MAX && s->misdirected[i]; i++)
        if (s->misdirected[i] == model)
            return true;
    return false;
}

void wp_fleet_forget_misdirected(WPReplica *s, uint64_t model)
{
    size_t kept = 0;
    for (size_t i = 0; i < WP_MISDIRECTED_MAX && s->misdirected[i]; i++)
        if (s->misdirected[i] != model)
            s->misdirected[kept++] = s->misdirected[i];
    while (kept < WP_MISDIRECTED_MAX)
        s->misdirected[kept++] = 0;
}

void wp_fleet_record_misdirected(WPReplica *s, uint64_t model)
{
    wp_fleet_forget_misdirected(s, model);
    memmove(&s->misdirected[1], &s->misdirected[0],
            (WP_MISDIRECTED_MAX - 1) * sizeof(s->misdirected[0]));
    s->misdirected[0] = model;
}

#define SLOWDOWN_WEIGHT 0.1 /* of one report, against those before */
#define SLOWDOWN_USUAL 100.0
#define SLOWDOWN_MIN 0.1
#define SLOWDOWN_MAX 10.0

void wp_fleet_record_slowdown(WPReplica *s, uint32_t percent)
{
    double v = CLAMP(percent / SLOWDOWN_USUAL, SLOWDOWN_MIN, SLOWDOWN_MAX);
    double old = s->reported.slowdown > 0 ? s->reported.slowdown : v;
    s->reported.slowdown = old + SLOWDOWN_WEIGHT * (v - old);
}

void wp_fleet_set_load(WPReplica *s, WPTime now, uint32_t running,
                       uint32_t waiting, uint32_t slots)
{
    s->reported.running = running;
    s->reported.waiting = waiting;
    s->sent_since_load = 0;
    s->reported.load_reported_us = now.mono_us;
    if (slots)
        s->slots = slots;
}
