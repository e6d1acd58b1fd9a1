/* Moves of services between versions. */
#include "wp_shift.h"
#include "wp_rollout.h"

#include <math.h>

/* The verdict: this many bad answers at least, and this many standard
   deviations more than the old version's rate would give. With three entries
   it is found well before the platform's fifty bad answers. */
#define LEAST_BAD 5
#define DEVIATIONS 4.0

/* A version is bad on all its endpoints; an endpoint that fails alone is the
   business of the choice of endpoints. */
#define LEAST_REPLICAS 2
#define REPLICA_SHARE 0.25
#define REPLICA_ANSWERS 3

/* A version is slow when most of its answers are past the bound that a quarter
   of the old version's are past. Good ones had up to half of them there while
   they filled, so that is only asked while the old version serves beside it. */
#define USUAL_FAST 0.25
#define USUAL_SLOW 0.25
#define LEAST_SLOW_SHARE 0.6
#define LEAST_TIMED 10

/* Where the times of answers lie among the old version's (below its first
   quarter, between, above its third) when they come from endpoints that are
   less loaded: of a good version, and of a slow one. Seen on 72 good and 60
   slow plays of both example sites; docs/PLATFORM.md. */
static const struct {
    double fast, usual, slow;
} good_times = { 0.6, 0.3, 0.1 }, slow_times = { 0.03, 0.57, 0.4 };

/* The log of the odds for a slow version from which it is taken for one: the
   highest of the good plays was 1. */
#define LOG_ODDS_SLOW 6.0

/* Endpoints are less loaded when no more than this part of the places are taken
   that are at the old version's. */
#define LESS_LOADED 0.5

#define THOUSANDTHS 1000.0

/* So many of the old version's answers allow a comparison; then so many of the
   new one's without a time, and none with, are odd. */
#define OLD_TIMED_LEAST 20
#define UNTIMED_MOST 40

/* A version that is bad under load failed half of its answers there. */
#define LOADED_LEAST 8
#define LOADED_FAILED_SHARE 0.25

/* A little more than the half that the platform grants sessions, as clocks
   differ. */
#define FIRST_HALF 0.52

/* How long a move waits until boxes have told each other which sessions are
   under way. */
#define LEAD_MS 1500

/* As many answers, one of them bad, are added to what is known of the old
   version. */
#define PRIOR_ANSWERS 100.0

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

WPShift *wp_shifts_order(WPShifts *s, const WPShiftOrder *o)
{
    WPShift *sh = wp_shifts_find(s, o->service);
    if (sh && sh->revision >= o->revision)
        return NULL;
    sh = g_new0(WPShift, 1);
    sh->service = g_strdup(o->service);
    sh->version = g_strdup(o->version);
    sh->revision = o->revision;
    sh->duration_ms = o->duration_ms;
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

/* The part of the order's duration that is over. */
static double part_over(const WPShift *sh, WPTime now)
{
    if (!sh->began_ms || sh->duration_ms <= 0)
        return 0;
    return (double)(now.wall_ms - sh->began_ms) / (double)sh->duration_ms;
}

bool wp_shifts_first_half(const WPShifts *s, WPTime now)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, s->by_service);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPShift *sh = p;
        if (sh->state == WP_SHIFT_RUNNING && wp_shift_first_half(sh, now))
            return true;
    }
    return false;
}

bool wp_shifts_partial(const WPShifts *s, WPTime now)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, s->by_service);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPShift *sh = p;
        if (sh->state == WP_SHIFT_RUNNING &&
            wp_shift_stage(s, sh, now)->share < 1)
            return true;
    }
    return false;
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
    return part_over(sh, now) < FIRST_HALF;
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

static void add_answer(WPShiftSums *v, const WPShiftAnswer *a)
{
    v->answered++;
    v->failed += a->failed;
    if (a->time == WP_TIME_UNKNOWN)
        return;
    v->timed++;
    v->fast += a->time == WP_TIME_FAST;
    v->slow += a->time == WP_TIME_SLOW;
    v->taken += (uint64_t)(a->taken * THOUSANDTHS);
}

void wp_shift_answered(WPShift *sh, const WPShiftAnswer *a)
{
    if (strcmp(a->version, sh->version)) {
        add_answer(need_sums(sh->old, a->route), a);
        return;
    }
    add_answer(need_sums(sh->fresh, a->route), a);
    add_answer(need_sums(sh->replicas, a->replica), a);
}

static void add_sums(WPShiftSums *to, const WPShiftSums *v)
{
    to->loaded += v->loaded;
    to->loaded_failed += v->loaded_failed;
    to->loaded_bad = MAX(to->loaded_bad, v->loaded_bad);
    to->answered += v->answered;
    to->failed += v->failed;
    to->timed += v->timed;
    to->slow += v->slow;
    to->fast += v->fast;
    to->taken += v->taken;
}

static WPShiftSums total(GHashTable *t)
{
    WPShiftSums sum = { 0 };
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, t);
    while (g_hash_table_iter_next(&it, NULL, &v))
        add_sums(&sum, v);
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
    add_answer(need_sums(sh->loaded, replica),
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
        add_sums(&sh->lost, had);
    *had = sums;
    g_hash_table_replace(sh->heard_old, g_strdup(box),
                         GUINT_TO_POINTER(old_running));
}

void wp_shift_hear_open(WPShift *sh)
{
    sh->open = true;
}

static double rate(uint32_t part, uint32_t n)
{
    return n ? (double)part / n : 0;
}

/* Whether `bad` of `n` is more than the old version's `old_bad` of `old_n`
   explains. Of an old version that is not known, one in a hundred is thought
   to be bad. */
static bool too_many(uint32_t bad, uint32_t n, uint32_t old_bad, uint32_t old_n)
{
    double expected = n * (old_bad + 1.0) / (old_n + PRIOR_ANSWERS);
    return bad >= LEAST_BAD && bad > expected + DEVIATIONS * sqrt(expected);
}

static bool fails(const WPShiftSums *v, const WPShiftSums *old)
{
    return too_many(v->failed, v->answered, old->failed, old->answered);
}

/* A quarter of the usual answers are past the bound that makes them slow. */
static bool is_slow(const WPShiftSums *v, const WPShiftSums *old)
{
    double base = MAX(USUAL_SLOW, rate(old->slow, old->timed));
    double expected = v->timed * base;
    double dev = sqrt(v->timed * base * (1 - base));
    return v->timed >= LEAST_TIMED &&
           rate(v->slow, v->timed) >= LEAST_SLOW_SHARE &&
           v->slow > expected + DEVIATIONS * dev;
}

static double mean_taken(const WPShiftSums *v)
{
    return v->timed ? (double)v->taken / v->timed : 0;
}

static bool is_less_loaded(const WPShiftSums *v, const WPShiftSums *old)
{
    return mean_taken(v) < LESS_LOADED * mean_taken(old);
}

/* The log of the odds for a slow version against a good one, where its
   endpoints have less to do: there a good one's answers are mostly fast, a slow
   one's hardly ever. */
static double log_odds(const WPShiftSums *v)
{
    uint32_t usual = v->timed - v->fast - v->slow;
    return v->fast * log(slow_times.fast / good_times.fast) +
           usual * log(slow_times.usual / good_times.usual) +
           v->slow * log(slow_times.slow / good_times.slow);
}

static bool is_never_fast(const WPShiftSums *v, const WPShiftSums *old)
{
    return log_odds(v) >= LOG_ODDS_SLOW && is_less_loaded(v, old);
}

/* The new version's sums of all boxes. */
static WPShiftSums pooled(const WPShift *sh)
{
    WPShiftSums sum = wp_shift_own(sh), heard = total(sh->heard);
    add_sums(&sum, &heard);
    add_sums(&sum, &sh->lost);
    return sum;
}

bool wp_shift_is_doubtful(const WPShift *sh)
{
    WPShiftSums fresh = pooled(sh), old = total(sh->old);
    if (old.timed < OLD_TIMED_LEAST)
        return false;
    if (!fresh.timed)
        return fresh.answered >= UNTIMED_MOST;
    if (is_less_loaded(&fresh, &old))
        return log_odds(&fresh) > 0;
    return rate(fresh.slow, fresh.timed) >= LEAST_SLOW_SHARE;
}

/* What makes a version bad. */
typedef enum Fault { FAULT_NONE, FAULT_FAILS, FAULT_SLOW } Fault;

static Fault fault_of(const WPShiftSums *v, const WPShiftSums *old, bool beside)
{
    if (fails(v, old))
        return FAULT_FAILS;
    if (beside && (is_slow(v, old) || is_never_fast(v, old)))
        return FAULT_SLOW;
    return FAULT_NONE;
}

static bool replica_fails(const WPShiftSums *v)
{
    return v->failed > 0;
}

static bool replica_is_slow(const WPShiftSums *v)
{
    bool mostly = v->slow > 0 && v->slow * 2 >= v->timed;
    return mostly || v->fast < USUAL_FAST * v->timed;
}

/* Whether the bad answers come from enough of the endpoints. */
static bool is_spread(const WPShift *sh, Fault fault)
{
    bool slow = fault == FAULT_SLOW;
    unsigned heard = 0, bad = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, sh->replicas);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPShiftSums *v = p;
        bool is_bad = slow ? replica_is_slow(v) : replica_fails(v);
        bad += is_bad;
        heard += is_bad || (slow ? v->timed : v->answered) >= REPLICA_ANSWERS;
    }
    return bad >= LEAST_REPLICAS && bad >= REPLICA_SHARE * heard;
}

/* A version may be bad on a single route only. */
static Fault route_fault(const WPShift *sh, bool beside, const char **route,
                         WPShiftSums *out)
{
    GHashTableIter it;
    gpointer name, p;
    g_hash_table_iter_init(&it, sh->fresh);
    while (g_hash_table_iter_next(&it, &name, &p)) {
        const WPShiftSums *old = g_hash_table_lookup(sh->old, name);
        WPShiftSums none = { 0 };
        Fault fault = fault_of(p, old ? old : &none, beside);
        if (fault == FAULT_NONE)
            continue;
        *route = name;
        *out = *(WPShiftSums *)p;
        return fault;
    }
    return FAULT_NONE;
}

static char *describe(const char *route, const WPShiftSums *fresh,
                      const WPShiftSums *old)
{
    return g_strdup_printf(
        "route=%s new=%u/%u failed, %u/%u slow, %u fast; old=%u/%u failed, "
        "%u/%u slow, %u fast",
        route, fresh->failed, fresh->answered, fresh->slow, fresh->timed,
        fresh->fast, old->failed, old->answered, old->slow, old->timed,
        old->fast);
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
    WPShiftSums fresh = pooled(sh), old = total(sh->old);
    *why = describe("all", &fresh, &old);
    return true;
}

/* Few replicas are loaded, so a few bad ones show it. */
static bool fails_under_load(const WPShiftSums *v)
{
    return v->loaded >= LOADED_LEAST && v->loaded_bad >= LEAST_REPLICAS &&
           rate(v->loaded_failed, v->loaded) >= LOADED_FAILED_SHARE;
}

bool wp_shift_is_bad(const WPShift *sh, bool beside, char **why)
{
    WPShiftSums fresh = pooled(sh), old = total(sh->old);
    const char *route = "all";
    if (fails_under_load(&fresh)) {
        if (why)
            *why = g_strdup_printf("loaded=%u/%u failed on %u replicas",
                                   fresh.loaded_failed, fresh.loaded,
                                   fresh.loaded_bad);
        return true;
    }
    Fault fault = fault_of(&fresh, &old, beside);
    if (fault == FAULT_NONE)
        fault = route_fault(sh, beside, &route, &fresh);
    if (fault == FAULT_NONE || !is_spread(sh, fault))
        return false;
    if (why)
        *why = describe(route, &fresh, &old);
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
