/* Moves of services between versions. */
#include "wp_shift.h"
#include "wp_rollout.h"

/* A version is bad on all its endpoints; an endpoint that fails alone is the
   business of the choice of endpoints. */
#define REPLICA_SHARE 0.25
#define REPLICA_ANSWERS 3

/* A little more than the half that the platform grants sessions, as clocks
   differ. */
#define FIRST_HALF 0.52

/* A move is to be done so long before the order's time: it begins up to 300 ms
   after the order, and 180 ms before the time were seen to be too late. */
#define SPARE_MS 500

/* How long a move waits until boxes have told each other which sessions are
   under way. */
#define LEAD_MS 1500

struct WPShifts {
    const Wp__Chart *chart;
    GHashTable *by_service;
};

static void shift_free(void *p)
{
    WPShift *sh = p;
    g_hash_table_unref(sh->fresh);
    g_hash_table_unref(sh->old);
    g_hash_table_unref(sh->replicas);
    g_hash_table_unref(sh->heard);
    g_hash_table_unref(sh->loaded);
    g_hash_table_unref(sh->undone);
    g_hash_table_unref(sh->heard_old);
    g_free(sh->service);
    g_free(sh->version);
    g_free(sh);
}

static GHashTable *sums_table(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

WPShifts *wp_shifts_new(const Wp__Chart *chart)
{
    WPShifts *s = g_new0(WPShifts, 1);
    s->chart = chart;
    s->by_service =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, shift_free);
    return s;
}

void wp_shifts_free(WPShifts *s)
{
    if (!s)
        return;
    g_hash_table_unref(s->by_service);
    g_free(s);
}

/* Versions that an earlier order led to and that were found bad: their
   endpoints are still there for some seconds, and are not among the old ones. A
   session was sent on one of them 0.9 s after it had been left for being bad.
   XXX: a box that starts after the next order does not know of them. */
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

WPShift *wp_shifts_order(WPShifts *s, WPTime now, const WPShiftOrder *o)
{
    const WPShift *had = wp_shifts_find(s, o->service);
    if (had && had->revision >= o->revision)
        return NULL;
    WPShift *sh = g_new0(WPShift, 1);
    sh->undone = undone_before(had, o->version);
    sh->service = g_strdup(o->service);
    sh->version = g_strdup(o->version);
    sh->revision = o->revision;
    sh->duration_ms = o->duration_ms;
    sh->known_us = now.mono_us;
    sh->fresh = sums_table();
    sh->old = sums_table();
    sh->replicas = sums_table();
    sh->heard = sums_table();
    sh->loaded = sums_table();
    sh->heard_old =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_replace(s->by_service, sh->service, sh);
    return sh;
}

void wp_shifts_outcome(WPShifts *s, const char *service, const char *version,
                       WPShiftState state)
{
    WPShift *sh = wp_shifts_find(s, service);
    /* A record may still tell of the order before. */
    if (sh && !strcmp(sh->version, version) && state != WP_SHIFT_RUNNING)
        sh->state = state;
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

/* The part of the order's duration that is over, with some time to spare at its
   end. */
static double part_over(const WPShift *sh, WPTime now)
{
    int64_t ms = MAX(sh->duration_ms - SPARE_MS, 1);
    if (!sh->began_ms || sh->duration_ms <= 0)
        return 0;
    return (double)(now.wall_ms - sh->began_ms) / (double)ms;
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

bool wp_shifts_is_target(const WPShifts *s, const char *version)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, s->by_service);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPShift *sh = p;
        if (sh->state == WP_SHIFT_RUNNING && !strcmp(sh->version, version))
            return true;
    }
    return false;
}

bool wp_shift_allows(const WPShift *sh, const char *version)
{
    if (!sh)
        return true;
    bool is_new = !strcmp(version, sh->version);
    if (g_hash_table_contains(sh->undone, version))
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
    int64_t ms = now.wall_ms - sh->began_ms;
    return !sh->began_ms || (double)ms < FIRST_HALF * (double)sh->duration_ms;
}

static WPShiftSums *need_sums(GHashTable *t, const char *name)
{
    WPShiftSums *v = g_hash_table_lookup(t, name);
    if (!v) {
        v = g_new0(WPShiftSums, 1);
        g_hash_table_insert(t, g_strdup(name), v);
    }
    return v;
}

void wp_shift_answered(WPShift *sh, const WPShiftAnswer *a)
{
    if (strcmp(a->version, sh->version)) {
        wp_sums_answer(need_sums(sh->old, a->route), a);
        return;
    }
    wp_sums_answer(need_sums(sh->fresh, a->route), a);
    wp_sums_answer(need_sums(sh->replicas, a->replica), a);
}

static WPShiftSums total(GHashTable *t)
{
    WPShiftSums sum = { 0 };
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, t);
    while (g_hash_table_iter_next(&it, NULL, &v))
        wp_sums_add(&sum, v);
    return sum;
}

bool wp_shift_takes(const WPShifts *s, const WPShift *sh, WPTime now,
                    double unit, const char *last)
{
    if (sh->state != WP_SHIFT_RUNNING)
        return sh->state == WP_SHIFT_DONE;
    if (!sh->began_ms || sh->suspect || now.wall_ms - sh->began_ms < LEAD_MS)
        return false;
    if (last && !strcmp(last, sh->version))
        return true;
    if (last && wp_shift_first_half(sh, now))
        return false;
    return unit < wp_shift_stage(s, sh, now)->share;
}

void wp_shift_loaded(WPShift *sh, const char *replica, bool failed)
{
    wp_sums_answer(need_sums(sh->loaded, replica),
                   &(WPShiftAnswer){ .failed = failed });
}

WPShiftSums wp_shift_own(const WPShift *sh)
{
    WPShiftSums sum = total(sh->fresh), loaded = total(sh->loaded);
    GHashTableIter it;
    gpointer v;
    sum.loaded = loaded.answered;
    sum.loaded_failed = loaded.failed;
    g_hash_table_iter_init(&it, sh->loaded);
    while (g_hash_table_iter_next(&it, NULL, &v))
        sum.loaded_bad += ((WPShiftSums *)v)->failed > 0;
    return sum;
}

void wp_shift_hear(WPShift *sh, const char *box, WPShiftSums sums,
                   uint32_t old_running)
{
    WPShiftSums *had = need_sums(sh->heard, box);
    /* A box that starts again begins anew; what it had told stays true. */
    if (sums.answered < had->answered)
        wp_sums_add(&sh->lost, had);
    *had = sums;
    g_hash_table_replace(sh->heard_old, g_strdup(box),
                         GUINT_TO_POINTER(old_running));
}

void wp_shift_hear_open(WPShift *sh)
{
    sh->open = true;
}

void wp_shift_hear_bad(WPShift *sh)
{
    sh->suspect = sh->suspect || sh->state == WP_SHIFT_RUNNING;
}

/* The new version's sums of all boxes. */
static WPShiftSums pooled(const WPShift *sh)
{
    WPShiftSums sum = wp_shift_own(sh), heard = total(sh->heard);
    wp_sums_add(&sum, &heard);
    wp_sums_add(&sum, &sh->lost);
    return sum;
}

char *wp_shift_figures(const WPShift *sh, WPTime now)
{
    WPShiftSums fresh = pooled(sh), old = total(sh->old);
    g_autofree char *sums = wp_sums_text("all", &fresh, &old);
    return g_strdup_printf(
        "order=%lu known_ms=%ld wall_ms=%ld boxes=%u %s",
        (unsigned long)sh->revision,
        (long)((now.mono_us - sh->known_us) / WP_US_PER_MS),
        (long)(sh->began_ms ? now.wall_ms - sh->began_ms : 0),
        g_hash_table_size(sh->heard), sums);
}

bool wp_shift_is_doubtful(const WPShift *sh)
{
    WPShiftSums fresh = pooled(sh), old = total(sh->old);
    return wp_sums_doubtful(&fresh, &old);
}

/* Whether the bad answers come from enough of the endpoints. */
static bool is_spread(const WPShift *sh, WPFault fault)
{
    bool slow = fault == WP_FAULT_SLOW;
    unsigned heard = 0, bad = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, sh->replicas);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPShiftSums *v = p;
        bool is_bad = slow ? wp_sums_slow(v) : wp_sums_failed(v);
        bad += is_bad;
        heard += is_bad ||
                 (slow ? v->timed + v->wholes : v->answered) >= REPLICA_ANSWERS;
    }
    return bad >= WP_VERDICT_REPLICAS && bad >= REPLICA_SHARE * heard;
}

/* A version may be bad on a single route only. */
static WPFault route_fault(const WPShift *sh, bool beside, const char **route,
                           WPShiftSums *out)
{
    GHashTableIter it;
    gpointer name, p;
    g_hash_table_iter_init(&it, sh->fresh);
    while (g_hash_table_iter_next(&it, &name, &p)) {
        const WPShiftSums *old = g_hash_table_lookup(sh->old, name);
        WPShiftSums none = { 0 };
        WPFault fault = wp_sums_fault(p, old ? old : &none, beside);
        if (fault == WP_FAULT_NONE)
            continue;
        *route = name;
        *out = *(WPShiftSums *)p;
        return fault;
    }
    return WP_FAULT_NONE;
}

bool wp_shift_advance(const WPShifts *s, WPShift *sh, WPTime now, char **why)
{
    if (sh->state != WP_SHIFT_RUNNING || !sh->began_ms)
        return false;
    const Wp__ChartState *at = wp_shift_stage(s, sh, now);
    const Wp__ChartState *next = wp_chart_next(s->chart, at->name, "next");
    if (next && !strcmp(next->gate, "evidence") &&
        part_over(sh, now) >= part_before(s, next) &&
        !wp_shift_is_doubtful(sh)) {
        sh->open = true;
        at = wp_shift_stage(s, sh, now);
    }
    if (sh->stage && !strcmp(sh->stage, at->name))
        return false;
    sh->stage = at->name;
    *why = wp_shift_figures(sh, now);
    return true;
}

bool wp_shift_is_bad(const WPShift *sh, bool beside, char **why)
{
    WPShiftSums fresh = pooled(sh), old = total(sh->old);
    const char *route = "all";
    if (wp_sums_fail_loaded(&fresh)) {
        if (why)
            *why = g_strdup_printf("loaded=%u/%u failed on %u replicas",
                                   fresh.loaded_failed, fresh.loaded,
                                   fresh.loaded_bad);
        return true;
    }
    WPFault fault = wp_sums_fault(&fresh, &old, beside);
    if (fault == WP_FAULT_NONE)
        fault = route_fault(sh, beside, &route, &fresh);
    if (fault == WP_FAULT_NONE || !is_spread(sh, fault))
        return false;
    if (why)
        *why = wp_sums_text(route, &fresh, &old);
    return true;
}

WPShiftState wp_shift_due(const WPShifts *s, const WPShift *sh, WPTime now,
                          char **why)
{
    if (sh->state != WP_SHIFT_RUNNING || !sh->began_ms)
        return WP_SHIFT_RUNNING;
    const Wp__ChartState *stage = wp_shift_stage(s, sh, now);
    if (wp_shift_is_bad(sh, stage->share < 1, why))
        return WP_SHIFT_UNDONE;
    if (sh->suspect) {
        if (why)
            *why = g_strdup("found bad before or by another box");
        return WP_SHIFT_UNDONE;
    }
    const Wp__ChartState *next = wp_chart_next(s->chart, stage->name, "next");
    if (!next || !next->final || part_over(sh, now) < part_before(s, next))
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
