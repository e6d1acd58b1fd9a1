/* Traffic shifts of services between versions. */
#include "wp_shift.h"
#include "wp_revision.h"
#include "wp_rollout.h"

/* The part of an order's duration for which sessions stay on the old version.
   The platform grants them half of it; the rest covers that boxes learn at
   different times that a shift has begun. */
#define FIRST_HALF 0.52

/* Time before the end of the order's duration at which a shift is to be done:
   it begins some tenths of a second after the order, and the record of its
   outcome must be written and noticed in time. */
#define SPARE_MS 800

/* Time from the start of a shift until the first request goes to the new
   version. Boxes use it to send each other which sessions are active on the old
   one. */
#define LEAD_MS 1500

/* Polls come every 50 ms. After a gap of this length, what this box knows of
   the others may be out of date, and what they know of it. */
#define PAUSE_MS 1000

/* For how long another box's doubt holds unless the box repeats it. */
#define DOUBT_MS 600

/* The canary's share rises in the second half only, when any session may go
   over, and until this part of the time of all stages: later answers hardly
   count. */
#define WIDEN_UNTIL 0.75
#define WIDEN_EVERY_MS 500

/* A box knows a shift's requests if it has observed the shift from at most this
   long after its start on. */
#define UNOBSERVED_MAX_MS 1000

struct WPShifts {
    const Wp__Chart *chart;
    bool draining; /* this box takes no requests */
    WPExposureLimit exposure;
    GHashTable *by_service; /* service -> WPShift */
    GHashTable *serving;    /* service -> set of versions that may serve without
                               an order, see wp_shifts_note_registered() */
};

static void shift_free(void *p)
{
    WPShift *sh = p;
    wp_canary_end(&sh->canary);
    g_hash_table_unref(sh->reverted_versions);
    g_hash_table_unref(sh->doubts);
    g_free(sh->service);
    g_free(sh->version);
    g_free(sh->baseline_version);
    g_free(sh);
}

WPShifts *wp_shifts_new(const Wp__Chart *chart)
{
    WPShifts *s = g_new0(WPShifts, 1);
    s->chart = chart;
    s->by_service =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shift_free);
    s->serving = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)g_hash_table_unref);
    return s;
}

void wp_shifts_free(WPShifts *s)
{
    if (!s)
        return;
    g_hash_table_unref(s->by_service);
    g_hash_table_unref(s->serving);
    g_free(s);
}

/* The set of versions that earlier orders led to and that were found bad.
   `previous`: the service's shift before the one to `version`, or NULL. The
   endpoints of those versions are still registered for some seconds. They do
   not count as endpoints of the old version, so that no session goes back to
   them. XXX: a box that starts after the next order does not know of them. */
static GHashTable *reverted_before(const WPShift *previous, const char *version)
{
    GHashTable *t =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter it;
    gpointer v;
    if (!previous)
        return t;
    g_hash_table_iter_init(&it, previous->reverted_versions);
    while (g_hash_table_iter_next(&it, &v, NULL))
        g_hash_table_add(t, g_strdup(v));
    if (previous->state == WP_SHIFT_ROLLED_BACK || previous->found_bad)
        g_hash_table_add(t, g_strdup(previous->version));
    /* The operator may have repaired it. */
    g_hash_table_remove(t, version);
    return t;
}

/* The version that serves when the next order comes, as far as completed shifts
   tell; NULL: not known. `previous`: the service's shift until then, or NULL.
   Endpoints of the version before stay registered for some tenths of a second.
   They do not count as endpoints of the old version, so that no session goes
   back to them. */
static char *baseline_after(const WPShift *previous)
{
    if (!previous)
        return NULL;
    return g_strdup(previous->state == WP_SHIFT_DONE
                        ? previous->version
                        : previous->baseline_version);
}

uint64_t wp_shift_order_id(const WPShift *sh)
{
    return wp_revision_number(sh->revision);
}

void wp_shifts_renumber(WPShifts *s, const WPShiftOrder *o)
{
    WPShift *sh = wp_shifts_find(s, o->service);
    if (!sh || sh->revision >= o->revision || strcmp(sh->version, o->version))
        return;
    sh->renumbered = sh->renumbered ||
                     wp_shift_order_id(sh) != wp_revision_number(o->revision);
    sh->revision = o->revision;
}

/* Whether an order that a restored store has is one of before the known one:
   its version was retired or rolled back since. */
static bool is_earlier_order(const WPShift *known, const WPShiftOrder *o)
{
    bool ended = !g_strcmp0(known->baseline_version, o->version) ||
                 wp_shift_has_retired(known, o->version) ||
                 g_hash_table_contains(known->reverted_versions, o->version);
    return ended && wp_revision_number(o->revision) < wp_shift_order_id(known);
}

static bool is_same_order(const WPShift *known, const WPShiftOrder *o)
{
    return known->state == WP_SHIFT_RUNNING &&
           !strcmp(known->version, o->version) &&
           known->duration_ms == o->duration_ms;
}

WPShift *wp_shifts_add_order(WPShifts *s, WPTime now, const WPShiftOrder *o)
{
    const WPShift *previous = wp_shifts_find(s, o->service);
    if (previous && previous->revision >= o->revision)
        return NULL;
    bool restored = previous && wp_revision_era(previous->revision) <
                                    wp_revision_era(o->revision);
    if (restored && is_same_order(previous, o)) {
        wp_shifts_renumber(s, o);
        return NULL;
    }
    if (restored && is_earlier_order(previous, o))
        return NULL;
    WPShift *sh = g_new0(WPShift, 1);
    sh->reverted_versions = reverted_before(previous, o->version);
    sh->doubts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    sh->baseline_version = baseline_after(previous);
    sh->service = g_strdup(o->service);
    sh->version = g_strdup(o->version);
    sh->revision = o->revision;
    sh->duration_ms = o->duration_ms;
    sh->polled_us = sh->observed_since_us = sh->stage_observed_since_us =
        now.mono_us;
    wp_canary_init(&sh->canary);
    g_hash_table_replace(s->by_service, sh->service, sh);
    return sh;
}

void wp_shifts_apply_outcome(WPShifts *s, const WPShiftOrder *o,
                             WPShiftState state)
{
    WPShift *sh = wp_shifts_find(s, o->service);
    if (!sh || strcmp(sh->version, o->version) || o->revision <= sh->revision)
        return;
    if (state != WP_SHIFT_RUNNING)
        sh->state = state;
}

void wp_shifts_set_draining(WPShifts *s, bool draining)
{
    s->draining = draining;
}

void wp_shifts_set_exposure(WPShifts *s, const WPExposureLimit *limit)
{
    s->exposure = *limit;
}

WPShift *wp_shifts_find(WPShifts *s, const char *service)
{
    return g_hash_table_lookup(s->by_service, service);
}

void wp_shifts_each(WPShifts *s, void (*fn)(void *, WPShift *), void *arg)
{
    GHashTableIter it;
    gpointer sh;
    g_hash_table_iter_init(&it, s->by_service);
    while (g_hash_table_iter_next(&it, NULL, &sh))
        fn(arg, sh);
}

void wp_shift_merge_elapsed(WPShift *sh, WPTime now, int64_t ms)
{
    wp_elapsed_merge(&sh->elapsed, now, ms);
}

/* The time that all stages together take: the order's duration without the
   spare time at its end. */
static int64_t stages_ms(const WPShift *sh)
{
    return MAX(sh->duration_ms - SPARE_MS, 1);
}

/* How much of that time is over, as a part of it. */
static double elapsed_part(const WPShift *sh, WPTime now)
{
    if (sh->duration_ms <= 0)
        return 0;
    return (double)wp_elapsed_ms(&sh->elapsed, now) / (double)stages_ms(sh);
}

/* Whether at least `part` of the time of all stages has passed since
   `from_us`. */
static bool has_passed(int64_t from_us, WPTime now, double part,
                       const WPShift *sh)
{
    int64_t us = (int64_t)(part * (double)stages_ms(sh)) * WP_US_PER_MS;
    return now.mono_us - from_us >= us;
}

typedef bool (*ShiftTest)(const WPShifts *s, const WPShift *sh, WPTime now);

/* Whether some running shift passes the test. */
static bool any_running(const WPShifts *s, WPTime now, ShiftTest test)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, s->by_service);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPShift *sh = p;
        if (sh->state == WP_SHIFT_RUNNING && test(s, sh, now))
            return true;
    }
    return false;
}

static bool in_first_half(const WPShifts *s, const WPShift *sh, WPTime now)
{
    (void)s;
    return wp_shift_first_half(sh, now);
}

/* Whether the stage gives the new version a part of the requests only. */
static bool is_partial(const WPShifts *s, const WPShift *sh, WPTime now)
{
    return wp_shift_stage(s, sh, now)->share < 1;
}

bool wp_shifts_any_first_half(const WPShifts *s, WPTime now)
{
    return any_running(s, now, in_first_half);
}

bool wp_shifts_any_partial(const WPShifts *s, WPTime now)
{
    return any_running(s, now, is_partial);
}

bool wp_shift_has_replaced(const WPShift *sh, const char *version)
{
    bool done = sh->state == WP_SHIFT_DONE && strcmp(sh->version, version);
    return done || wp_shift_has_retired(sh, version);
}

void wp_shifts_note_registered(WPShifts *s, const char *service,
                               const char *version, bool starting)
{
    GHashTable *set = g_hash_table_lookup(s->serving, service);
    if (!set) {
        set = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_insert(s->serving, g_strdup(service), set);
        starting = true;
    }
    if (starting)
        g_hash_table_add(set, g_strdup(version));
}

bool wp_shifts_allows(const WPShifts *s, const char *service,
                      const char *version)
{
    const WPShift *sh = g_hash_table_lookup(s->by_service, service);
    GHashTable *set = g_hash_table_lookup(s->serving, service);
    if (sh)
        return wp_shift_allows(sh, version);
    return !set || g_hash_table_contains(set, version);
}

bool wp_shift_has_retired(const WPShift *sh, const char *version)
{
    return sh->baseline_version && strcmp(version, sh->version) &&
           strcmp(version, sh->baseline_version);
}

bool wp_shift_allows(const WPShift *sh, const char *version)
{
    bool is_new = !strcmp(version, sh->version);
    if (wp_shift_has_retired(sh, version) ||
        g_hash_table_contains(sh->reverted_versions, version))
        return false;
    if (sh->state == WP_SHIFT_ROLLED_BACK || sh->found_bad)
        return !is_new;
    return sh->state == WP_SHIFT_RUNNING || is_new;
}

/* The part of the time of all stages after which `stage` may begin. */
static double part_before(const WPShifts *s, const Wp__ChartState *stage)
{
    double part = 0;
    const Wp__ChartState *at = wp_chart_state(s->chart, s->chart->initial);
    for (; at && at != stage && !at->final;
         at = wp_chart_next(s->chart, at->name, "next"))
        part += at->dwell_part;
    return part;
}

const Wp__ChartState *wp_shift_stage(const WPShifts *s, const WPShift *sh,
                                     WPTime now)
{
    const Wp__ChartState *at = wp_chart_state(s->chart, s->chart->initial);
    double part = elapsed_part(sh, now);
    while (!at->final && part >= at->dwell_part) {
        const Wp__ChartState *next = wp_chart_next(s->chart, at->name, "next");
        if (!next || next->final)
            break;
        if (!strcmp(next->gate, "evidence") && !sh->gate_passed)
            break;
        part -= at->dwell_part;
        at = next;
    }
    return at;
}

double wp_shift_share(const WPShifts *s, const WPShift *sh, WPTime now)
{
    return MAX(wp_shift_stage(s, sh, now)->share, sh->canary_share);
}

bool wp_shift_first_half(const WPShift *sh, WPTime now)
{
    int64_t ms = wp_elapsed_ms(&sh->elapsed, now);
    return (double)ms < FIRST_HALF * (double)sh->duration_ms;
}

void wp_shift_record_answer(WPShift *sh, const WPCanaryAnswer *a)
{
    WPCanaryAnswer answer = *a;
    answer.part = sh->part;
    wp_canary_record_answer(&sh->canary, &answer,
                            !strcmp(a->version, sh->version));
}

void wp_shift_record_speed(WPShift *sh, const char *version,
                           const char *replica, double ratio)
{
    wp_canary_record_speed(&sh->canary, replica, ratio,
                           !strcmp(version, sh->version));
}

bool wp_shift_routes_to_new(const WPShifts *s, const WPShift *sh, WPTime now,
                            double unit, const char *last)
{
    if (sh->state != WP_SHIFT_RUNNING)
        return sh->state == WP_SHIFT_DONE;
    if (sh->found_bad || wp_elapsed_ms(&sh->elapsed, now) < LEAD_MS)
        return false;
    if (last && !strcmp(last, sh->version))
        return true;
    if (last && wp_shift_first_half(sh, now))
        return false;
    return unit < wp_shift_share(s, sh, now);
}

void wp_shift_merge_canary_share(WPShift *sh, double share)
{
    sh->canary_share = MAX(sh->canary_share, share);
}

/* Whether this box knows what the new and the old version have answered at all
   boxes since the order. */
static bool knows_all_answers(const WPShift *sh, WPTime now, unsigned boxes)
{
    int64_t observed_ms = (now.mono_us - sh->observed_since_us) / WP_US_PER_MS;
    return wp_canary_reporting_boxes(&sh->canary) + 1 >= boxes &&
           observed_ms + UNOBSERVED_MAX_MS >= wp_elapsed_ms(&sh->elapsed, now);
}

/* Whether it is time to look whether the canary's share may rise. */
static bool is_widening_due(const WPShift *sh, WPTime now)
{
    return sh->state == WP_SHIFT_RUNNING && !sh->found_bad &&
           !sh->gate_passed && !wp_shift_first_half(sh, now) &&
           elapsed_part(sh, now) < WIDEN_UNTIL &&
           now.mono_us - sh->widened_us >= WIDEN_EVERY_MS * WP_US_PER_MS;
}

bool wp_shift_widen_canary(const WPShifts *s, WPShift *sh, WPTime now,
                           unsigned boxes)
{
    const Wp__ChartState *canary = wp_chart_state(s->chart, s->chart->initial);
    if (!is_widening_due(sh, now))
        return false;
    sh->widened_us = now.mono_us;
    if (!knows_all_answers(sh, now, boxes))
        return false;
    WPCanarySums sums = wp_canary_pooled_sums(&sh->canary);
    const WPExposure e = {
        .answered = (double)sums.answered + sums.old_answered,
        .answered_new = sums.answered,
        .elapsed_ms = wp_elapsed_ms(&sh->elapsed, now),
        .full_ms = (int64_t)(canary->dwell_part * (double)stages_ms(sh)),
        .duration_ms = sh->duration_ms,
    };
    double before = MAX(sh->canary_share, canary->share);
    wp_shift_merge_canary_share(sh, wp_exposure_share(&s->exposure, &e));
    return sh->canary_share > before;
}

void wp_shift_merge_gate_passed(WPShift *sh)
{
    sh->gate_passed = true;
}

void wp_shift_merge_doubt(WPShift *sh, WPTime now, const char *box, bool doubt)
{
    if (doubt)
        g_hash_table_replace(sh->doubts, g_strdup(box),
                             g_memdup2(&now.mono_us, sizeof(now.mono_us)));
    else
        g_hash_table_remove(sh->doubts, box);
}

/* Whether another box doubts, which it repeats in each digest: one that has
   gone does not take its doubt back. */
static bool is_doubted(const WPShift *sh, WPTime now)
{
    GHashTableIter it;
    gpointer told_us;
    g_hash_table_iter_init(&it, sh->doubts);
    while (g_hash_table_iter_next(&it, NULL, &told_us))
        if (now.mono_us - *(int64_t *)told_us < DOUBT_MS * WP_US_PER_MS)
            return true;
    return false;
}

void wp_shift_merge_bad(WPShift *sh)
{
    sh->found_bad = sh->found_bad || sh->state == WP_SHIFT_RUNNING;
}

char *wp_shift_stats_text(const WPShift *sh, WPTime now)
{
    g_autofree char *sums = wp_canary_stats_text(&sh->canary);
    return g_strdup_printf(
        "order=%lu elapsed_ms=%ld watched_ms=%ld %s",
        (unsigned long)sh->revision, (long)wp_elapsed_ms(&sh->elapsed, now),
        (long)((now.mono_us - sh->observed_since_us) / WP_US_PER_MS), sums);
}

/* Whether enough is known for `stage` to begin: there are enough answers for a
   decision, or this box has observed the shift without a pause for as long as
   the stages before take and would have seen bad ones. That nothing bad is
   known is not enough: boxes that had all restarted completed a shift to a slow
   version on 4 answers. */
static bool has_evidence(const WPShifts *s, const WPShift *sh, WPTime now,
                         const Wp__ChartState *stage)
{
    return wp_canary_has_enough_answers(&sh->canary) ||
           has_passed(sh->observed_since_us, now, part_before(s, stage), sh);
}

/* Notes a poll. After a gap between polls the time of observation counts from
   now, whatever this box observed before. */
static void note_poll(WPShift *sh, WPTime now)
{
    if (now.mono_us - sh->polled_us >= PAUSE_MS * WP_US_PER_MS)
        sh->observed_since_us = sh->stage_observed_since_us = now.mono_us;
    sh->polled_us = now.mono_us;
    double part = elapsed_part(sh, now) * WP_FAILURE_TIMES;
    sh->part = (unsigned)CLAMP(part, 0, WP_FAILURE_TIMES - 1);
}

/* Why the gate before `stage` stays closed although the stage's time has come;
   NULL if it opens. */
static const char *closed_gate_reason(const WPShifts *s, const WPShift *sh,
                                      WPTime now, const Wp__ChartState *stage)
{
    if (s->draining)
        return "this box is draining and takes no requests";
    if (wp_canary_may_fail(&sh->canary))
        return "the failures are more likely from a bad version than from a "
               "good one";
    if (stage->final && wp_canary_is_not_sound(&sh->canary))
        return "too few answers are known to call the failures those of a good "
               "version";
    if (!stage->final && wp_canary_may_be_slow(&sh->canary))
        return "the answers are more likely from a slow version than from a "
               "good one";
    if (stage->final && wp_canary_speed_in_doubt(&sh->canary))
        return "the last stage's answers are slower than usual";
    if (is_doubted(sh, now))
        return "what another box knows speaks against the version";
    return has_evidence(s, sh, now, stage)
               ? NULL
               : "too few answers are known for a verdict";
}

bool wp_shift_advance(const WPShifts *s, WPShift *sh, WPTime now, char **why)
{
    note_poll(sh, now);
    if (sh->state != WP_SHIFT_RUNNING || !wp_elapsed_started(&sh->elapsed))
        return false;
    const Wp__ChartState *at = wp_shift_stage(s, sh, now);
    const Wp__ChartState *next = wp_chart_next(s->chart, at->name, "next");
    sh->wait_reason = NULL;
    if (next && !strcmp(next->gate, "evidence") && !sh->gate_passed &&
        elapsed_part(sh, now) >= part_before(s, next)) {
        sh->wait_reason = closed_gate_reason(s, sh, now, next);
        sh->gate_passed = !sh->wait_reason;
        at = wp_shift_stage(s, sh, now);
    }
    if (sh->stage && !strcmp(sh->stage, at->name))
        return false;
    sh->stage = at->name;
    sh->stage_observed_since_us = now.mono_us;
    *why = wp_shift_stats_text(sh, now);
    return true;
}

/* Whether the last stage has lasted for its time while this box observed it,
   and its end is not held back. Without the observation, a box that was paused
   during both stages would complete the shift at its first poll. */
static bool is_over(const WPShifts *s, WPShift *sh, WPTime now,
                    const Wp__ChartState *stage, const Wp__ChartState *end)
{
    if (elapsed_part(sh, now) < part_before(s, end) ||
        !has_passed(sh->stage_observed_since_us, now, stage->dwell_part, sh))
        return false;
    sh->wait_reason = closed_gate_reason(s, sh, now, end);
    return !sh->wait_reason;
}

WPShiftState wp_shift_due_state(const WPShifts *s, WPShift *sh, WPTime now,
                                char **why)
{
    if (sh->state != WP_SHIFT_RUNNING || !wp_elapsed_started(&sh->elapsed))
        return WP_SHIFT_RUNNING;
    const Wp__ChartState *stage = wp_shift_stage(s, sh, now);
    if (wp_canary_is_bad(&sh->canary, stage->share < 1, why))
        return WP_SHIFT_ROLLED_BACK;
    if (sh->found_bad) {
        if (why)
            *why =
                g_strdup("the version was found bad before, or by another box");
        return WP_SHIFT_ROLLED_BACK;
    }
    const Wp__ChartState *next = wp_chart_next(s->chart, stage->name, "next");
    if (!next || !next->final || !is_over(s, sh, now, stage, next))
        return WP_SHIFT_RUNNING;
    if (why)
        *why = g_strdup_printf("old_running=%u", sh->old_running);
    return WP_SHIFT_DONE;
}

const char *wp_shift_state_name(WPShiftState s)
{
    static const char *const names[] = { "running", "done", "undone" };
    return names[s];
}
