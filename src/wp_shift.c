/* Moves of services between versions. */
#include "wp_shift.h"
#include "wp_rollout.h"

/* A little more than the half that the platform grants sessions, as boxes hear
   at different times that a move has begun. */
#define FIRST_HALF 0.52

/* A move is to be done so long before the order's time: it begins some tenths
   of a second after the order, and its record is written before the time. */
#define SPARE_MS 500

/* How long a move waits until boxes have told each other which sessions are
   under way. */
#define LEAD_MS 1500

/* Looks come every 50 ms; after a pause of more, what this box knows of others
   may be old, and what they know of it. */
#define PAUSE_MS 1000

struct WPShifts {
    const Wp__Chart *chart;
    bool draining; /* this box takes no requests */
    GHashTable *by_service;
    GHashTable *serving; /* service -> set of versions that no order named */
};

static void shift_free(void *p)
{
    WPShift *sh = p;
    wp_trial_end(&sh->trial);
    g_hash_table_unref(sh->undone);
    g_free(sh->service);
    g_free(sh->version);
    g_free(sh->base);
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

/* Versions that an earlier order led to and that were found bad: their
   endpoints are still there for some seconds, and are not among the old ones:
   no session goes back there. XXX: a box that starts after the next order does
   not know of them. */
static GHashTable *undone_before(const WPShift *had, const char *version)
{
    GHashTable *t =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter it;
    gpointer v;
    if (!had)
        return t;
    g_hash_table_iter_init(&it, had->undone);
    while (g_hash_table_iter_next(&it, &v, NULL))
        g_hash_table_add(t, g_strdup(v));
    if (had->state == WP_SHIFT_UNDONE || had->suspect)
        g_hash_table_add(t, g_strdup(had->version));
    /* The operator may have mended it. */
    g_hash_table_remove(t, version);
    return t;
}

/* The version that serves when an order comes, if a move before it was done.
   Endpoints of the one before that are listed for some tenths of a second more;
   they are not among the old ones, so that no session goes back there. */
static char *base_of(const WPShift *had)
{
    if (!had)
        return NULL;
    return g_strdup(had->state == WP_SHIFT_DONE ? had->version : had->base);
}

WPShift *wp_shifts_order(WPShifts *s, WPTime now, const WPShiftOrder *o)
{
    const WPShift *had = wp_shifts_find(s, o->service);
    if (had && had->revision >= o->revision)
        return NULL;
    WPShift *sh = g_new0(WPShift, 1);
    sh->undone = undone_before(had, o->version);
    sh->base = base_of(had);
    sh->service = g_strdup(o->service);
    sh->version = g_strdup(o->version);
    sh->revision = o->revision;
    sh->duration_ms = o->duration_ms;
    sh->looked_us = sh->watched_us = sh->stage_us = now.mono_us;
    wp_trial_init(&sh->trial);
    g_hash_table_replace(s->by_service, sh->service, sh);
    return sh;
}

void wp_shifts_outcome(WPShifts *s, const WPShiftOrder *o, WPShiftState state)
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

void wp_shift_hear_elapsed(WPShift *sh, WPTime now, int64_t ms)
{
    wp_elapsed_hear(&sh->elapsed, now, ms);
}

/* The time that the stages have, with some to spare at the order's end. */
static int64_t span_ms(const WPShift *sh)
{
    return MAX(sh->duration_ms - SPARE_MS, 1);
}

/* The part of it that is over. */
static double part_over(const WPShift *sh, WPTime now)
{
    if (sh->duration_ms <= 0)
        return 0;
    return (double)wp_elapsed_ms(&sh->elapsed, now) / (double)span_ms(sh);
}

/* Whether this part of it has passed since a moment of this box's. */
static bool has_run(int64_t from_us, WPTime now, double part, const WPShift *sh)
{
    int64_t us = (int64_t)(part * (double)span_ms(sh)) * WP_US_PER_MS;
    return now.mono_us - from_us >= us;
}

typedef bool (*ShiftIs)(const WPShifts *s, const WPShift *sh, WPTime now);

/* Whether some running move is so. */
static bool some_move(const WPShifts *s, WPTime now, ShiftIs is)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, s->by_service);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPShift *sh = p;
        if (sh->state == WP_SHIFT_RUNNING && is(s, sh, now))
            return true;
    }
    return false;
}

static bool in_first_half(const WPShifts *s, const WPShift *sh, WPTime now)
{
    (void)s;
    return wp_shift_first_half(sh, now);
}

static bool is_partial(const WPShifts *s, const WPShift *sh, WPTime now)
{
    return wp_shift_stage(s, sh, now)->share < 1;
}

bool wp_shifts_first_half(const WPShifts *s, WPTime now)
{
    return some_move(s, now, in_first_half);
}

bool wp_shifts_partial(const WPShifts *s, WPTime now)
{
    return some_move(s, now, is_partial);
}

typedef bool (*ShiftHas)(const WPShift *sh, const char *version);

/* Whether some move has this to do with the version. */
static bool some_has(const WPShifts *s, const char *version, ShiftHas has)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, s->by_service);
    while (g_hash_table_iter_next(&it, NULL, &p))
        if (has(p, version))
            return true;
    return false;
}

static bool leads_to(const WPShift *sh, const char *version)
{
    return sh->state == WP_SHIFT_RUNNING && !strcmp(sh->version, version);
}

static bool was_done_away_from(const WPShift *sh, const char *version)
{
    bool done = sh->state == WP_SHIFT_DONE && strcmp(sh->version, version);
    return done || wp_shift_has_left(sh, version);
}

bool wp_shifts_is_target(const WPShifts *s, const char *version)
{
    return some_has(s, version, leads_to);
}

/* XXX: of versions that two services name alike, the one that is left counts
   for both. */
bool wp_shifts_have_left(const WPShifts *s, const char *version)
{
    return some_has(s, version, was_done_away_from);
}

void wp_shifts_listed(WPShifts *s, const char *service, const char *version,
                      bool starting)
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

bool wp_shifts_allow(const WPShifts *s, const char *service,
                     const char *version)
{
    const WPShift *sh = g_hash_table_lookup(s->by_service, service);
    GHashTable *set = g_hash_table_lookup(s->serving, service);
    if (sh)
        return wp_shift_allows(sh, version);
    return !set || g_hash_table_contains(set, version);
}

bool wp_shift_has_left(const WPShift *sh, const char *version)
{
    return sh->base && strcmp(version, sh->version) &&
           strcmp(version, sh->base);
}

bool wp_shift_allows(const WPShift *sh, const char *version)
{
    bool is_new = !strcmp(version, sh->version);
    if (wp_shift_has_left(sh, version) ||
        g_hash_table_contains(sh->undone, version))
        return false;
    if (sh->state == WP_SHIFT_UNDONE || sh->suspect)
        return !is_new;
    return sh->state == WP_SHIFT_RUNNING || is_new;
}

/* The part of the duration after which a stage may begin. */
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
    double part = part_over(sh, now);
    while (!at->final && part >= at->dwell_part) {
        const Wp__ChartState *next = wp_chart_next(s->chart, at->name, "next");
        if (!next || next->final)
            break;
        if (!strcmp(next->gate, "evidence") && !sh->open)
            break;
        part -= at->dwell_part;
        at = next;
    }
    return at;
}

bool wp_shift_first_half(const WPShift *sh, WPTime now)
{
    int64_t ms = wp_elapsed_ms(&sh->elapsed, now);
    return (double)ms < FIRST_HALF * (double)sh->duration_ms;
}

void wp_shift_answered(WPShift *sh, const WPShiftAnswer *a)
{
    wp_trial_answered(&sh->trial, a, !strcmp(a->version, sh->version));
}

bool wp_shift_takes(const WPShifts *s, const WPShift *sh, WPTime now,
                    double unit, const char *last)
{
    if (sh->state != WP_SHIFT_RUNNING)
        return sh->state == WP_SHIFT_DONE;
    if (sh->suspect || wp_elapsed_ms(&sh->elapsed, now) < LEAD_MS)
        return false;
    if (last && !strcmp(last, sh->version))
        return true;
    if (last && wp_shift_first_half(sh, now))
        return false;
    return unit < wp_shift_stage(s, sh, now)->share;
}

void wp_shift_hear_open(WPShift *sh)
{
    sh->open = true;
}

void wp_shift_hear_bad(WPShift *sh)
{
    sh->suspect = sh->suspect || sh->state == WP_SHIFT_RUNNING;
}

char *wp_shift_figures(const WPShift *sh, WPTime now)
{
    g_autofree char *sums = wp_trial_text(&sh->trial);
    return g_strdup_printf(
        "order=%lu elapsed_ms=%ld watched_ms=%ld %s",
        (unsigned long)sh->revision, (long)wp_elapsed_ms(&sh->elapsed, now),
        (long)((now.mono_us - sh->watched_us) / WP_US_PER_MS), sums);
}

/* Whether a stage may begin on what is known: on answers that tell, or when
   this box would have seen them. To know nothing bad is not enough: boxes that
   had all started again ended a move to a slow version on 4 answers. */
static bool is_shown(const WPShifts *s, const WPShift *sh, WPTime now,
                     const Wp__ChartState *stage)
{
    return wp_trial_tells(&sh->trial) ||
           has_run(sh->watched_us, now, part_before(s, stage), sh);
}

/* After a pause a box has not watched, whatever it did before. */
static void note_look(WPShift *sh, WPTime now)
{
    if (now.mono_us - sh->looked_us >= PAUSE_MS * WP_US_PER_MS)
        sh->watched_us = sh->stage_us = now.mono_us;
    sh->looked_us = now.mono_us;
}

/* Why the gate before a stage stays shut though its time has come, or NULL. */
static const char *ask_gate(const WPShifts *s, const WPShift *sh, WPTime now,
                            const Wp__ChartState *stage)
{
    if (s->draining)
        return "this box takes no requests";
    if (wp_trial_may_fail(&sh->trial))
        return "doubt: the failures speak rather for a bad version";
    if (!stage->final && wp_trial_is_doubtful(&sh->trial))
        return "doubt: the answers speak rather for a slow version";
    return is_shown(s, sh, now, stage) ? NULL : "too few answers are known";
}

bool wp_shift_advance(const WPShifts *s, WPShift *sh, WPTime now, char **why)
{
    note_look(sh, now);
    if (sh->state != WP_SHIFT_RUNNING || !wp_elapsed_begun(&sh->elapsed))
        return false;
    const Wp__ChartState *at = wp_shift_stage(s, sh, now);
    const Wp__ChartState *next = wp_chart_next(s->chart, at->name, "next");
    sh->waits = NULL;
    if (next && !strcmp(next->gate, "evidence") && !sh->open &&
        part_over(sh, now) >= part_before(s, next)) {
        sh->waits = ask_gate(s, sh, now, next);
        sh->open = !sh->waits;
        at = wp_shift_stage(s, sh, now);
    }
    if (sh->stage && !strcmp(sh->stage, at->name))
        return false;
    sh->stage = at->name;
    sh->stage_us = now.mono_us;
    *why = wp_shift_figures(sh, now);
    return true;
}

/* Whether the last stage has lasted as it should, before this box's eyes. One
   that was paused over both stages would end the move at its first look. */
static bool is_over(const WPShifts *s, WPShift *sh, WPTime now,
                    const Wp__ChartState *stage, const Wp__ChartState *end)
{
    if (part_over(sh, now) < part_before(s, end) ||
        !has_run(sh->stage_us, now, stage->dwell_part, sh))
        return false;
    sh->waits = ask_gate(s, sh, now, end);
    return !sh->waits;
}

WPShiftState wp_shift_due(const WPShifts *s, WPShift *sh, WPTime now,
                          char **why)
{
    if (sh->state != WP_SHIFT_RUNNING || !wp_elapsed_begun(&sh->elapsed))
        return WP_SHIFT_RUNNING;
    const Wp__ChartState *stage = wp_shift_stage(s, sh, now);
    if (wp_trial_is_bad(&sh->trial, stage->share < 1, why))
        return WP_SHIFT_UNDONE;
    if (sh->suspect) {
        if (why)
            *why = g_strdup("found bad before or by another box");
        return WP_SHIFT_UNDONE;
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
