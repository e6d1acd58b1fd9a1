/* The answers of a version on trial. */
#include "wp_trial.h"

/* A version is bad on all its endpoints; an endpoint that fails alone is the
   business of the choice of endpoints. */
#define REPLICA_SHARE 0.25
#define REPLICA_ANSWERS 3

static GHashTable *sums_table(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void life_free(void *p)
{
    WPTrialLife *l = p;
    g_free(l->box);
    g_free(l);
}

void wp_trial_init(WPTrial *t)
{
    t->fresh = sums_table();
    t->old = sums_table();
    t->replicas = sums_table();
    t->loaded = sums_table();
    t->lives =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, life_free);
}

void wp_trial_end(WPTrial *t)
{
    g_hash_table_unref(t->fresh);
    g_hash_table_unref(t->old);
    g_hash_table_unref(t->replicas);
    g_hash_table_unref(t->loaded);
    g_hash_table_unref(t->lives);
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

void wp_trial_answered(WPTrial *t, const WPShiftAnswer *a, bool fresh)
{
    wp_sums_answer(need_sums(fresh ? t->fresh : t->old, a->route), a);
    if (fresh)
        wp_sums_answer(need_sums(t->replicas, a->replica), a);
}

void wp_trial_loaded(WPTrial *t, const char *replica, bool failed)
{
    wp_sums_answer(need_sums(t->loaded, replica),
                   &(WPShiftAnswer){ .failed = failed });
}

bool wp_trial_hear(WPTrial *t, const char *box, uint64_t life,
                   const WPShiftSums *sums)
{
    g_autofree char *key = g_strdup_printf("%s %lu", box, (unsigned long)life);
    WPTrialLife *l = g_hash_table_lookup(t->lives, key);
    bool is_new = !l;
    if (is_new) {
        l = g_new0(WPTrialLife, 1);
        l->box = g_strdup(box);
        l->life = life;
        g_hash_table_insert(t->lives, g_steal_pointer(&key), l);
    }
    if (sums->answered >= l->sums.answered)
        l->sums = *sums;
    return is_new;
}

void wp_trial_each(const WPTrial *t, const char *box,
                   void (*fn)(void *, const WPTrialLife *), void *arg)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->lives);
    while (g_hash_table_iter_next(&it, NULL, &p))
        if (!strcmp(((const WPTrialLife *)p)->box, box))
            fn(arg, p);
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

/* Whether the bad answers of this box come from enough of the endpoints. */
static bool is_spread(const WPTrial *t, WPFault fault)
{
    bool slow = fault == WP_FAULT_SLOW;
    unsigned heard = 0, bad = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->replicas);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPShiftSums *v = p;
        bool is_bad = slow ? wp_sums_slow(v) : wp_sums_failed(v);
        bad += is_bad;
        heard += is_bad ||
                 (slow ? v->timed + v->wholes : v->answered) >= REPLICA_ANSWERS;
    }
    return bad >= WP_VERDICT_REPLICAS && bad >= REPLICA_SHARE * heard;
}

WPShiftSums wp_trial_own(const WPTrial *t)
{
    WPShiftSums sum = total(t->fresh), loaded = total(t->loaded);
    GHashTableIter it;
    gpointer v;
    sum.loaded = loaded.answered;
    sum.loaded_failed = loaded.failed;
    g_hash_table_iter_init(&it, t->loaded);
    while (g_hash_table_iter_next(&it, NULL, &v))
        sum.loaded_bad += ((WPShiftSums *)v)->failed > 0;
    WPShiftSums old = total(t->old);
    sum.old_answered = old.answered;
    sum.old_failed = old.failed;
    sum.fails_spread = is_spread(t, WP_FAULT_FAILS);
    sum.slow_spread = is_spread(t, WP_FAULT_SLOW);
    return sum;
}

WPShiftSums wp_trial_pooled(const WPTrial *t)
{
    WPShiftSums sum = wp_trial_own(t);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, t->lives);
    while (g_hash_table_iter_next(&it, NULL, &p))
        wp_sums_add(&sum, &((const WPTrialLife *)p)->sums);
    return sum;
}

/* By the same failures all boxes come to the same end: one that had started
   last and knew least of the old version ended a move that two others held.
   Times are told apart by each box's own bounds. */
WPShiftSums wp_trial_old(const WPTrial *t)
{
    WPShiftSums old = total(t->old), all = wp_trial_pooled(t);
    old.answered = all.old_answered;
    old.failed = all.old_failed;
    return old;
}

bool wp_trial_is_doubtful(const WPTrial *t)
{
    WPShiftSums fresh = wp_trial_pooled(t), old = wp_trial_old(t);
    return wp_sums_doubtful(&fresh, &old);
}

bool wp_trial_may_fail(const WPTrial *t)
{
    WPShiftSums fresh = wp_trial_pooled(t), old = wp_trial_old(t);
    return wp_sums_may_fail(&fresh, &old);
}

bool wp_trial_tells(const WPTrial *t)
{
    WPShiftSums fresh = wp_trial_pooled(t), old = wp_trial_old(t);
    return wp_sums_tell(&fresh, &old);
}

/* A version may be bad on a single route only. */
static WPFault route_fault(const WPTrial *t, bool beside, const char **route,
                           WPShiftSums *out)
{
    GHashTableIter it;
    gpointer name, p;
    g_hash_table_iter_init(&it, t->fresh);
    while (g_hash_table_iter_next(&it, &name, &p)) {
        const WPShiftSums *old = g_hash_table_lookup(t->old, name);
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

bool wp_trial_is_bad(const WPTrial *t, bool beside, char **why)
{
    WPShiftSums fresh = wp_trial_pooled(t), old = wp_trial_old(t);
    bool fails_spread = fresh.fails_spread, slow_spread = fresh.slow_spread;
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
        fault = route_fault(t, beside, &route, &fresh);
    bool spread = fault == WP_FAULT_SLOW ? slow_spread : fails_spread;
    if (fault == WP_FAULT_NONE || !spread)
        return false;
    if (why)
        *why = wp_sums_text(route, &fresh, &old);
    return true;
}

char *wp_trial_text(const WPTrial *t)
{
    WPShiftSums fresh = wp_trial_pooled(t), old = wp_trial_old(t);
    g_autofree char *sums = wp_sums_text("all", &fresh, &old);
    return g_strdup_printf("lives=%u %s", g_hash_table_size(t->lives), sums);
}
