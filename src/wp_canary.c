/* Canary analysis of a traffic shift. */
#include "wp_canary.h"

/* Answers from which on a replica without a bad one counts as good. */
#define MIN_REPLICA_ANSWERS 3

static GHashTable *sums_table(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void report_free(void *p)
{
    WPCanaryReport *r = p;
    g_free(r->box);
    g_free(r);
}

void wp_canary_init(WPCanary *c)
{
    c->new_by_route = sums_table();
    c->old_by_route = sums_table();
    c->new_by_replica = sums_table();
    c->loaded_by_replica = sums_table();
    c->reports =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, report_free);
}

void wp_canary_end(WPCanary *c)
{
    g_hash_table_unref(c->new_by_route);
    g_hash_table_unref(c->old_by_route);
    g_hash_table_unref(c->new_by_replica);
    g_hash_table_unref(c->loaded_by_replica);
    g_hash_table_unref(c->reports);
}

/* The sums of this name, added to the table if they are missing. */
static WPCanarySums *get_or_add_sums(GHashTable *t, const char *name)
{
    WPCanarySums *v = g_hash_table_lookup(t, name);
    if (!v) {
        v = g_new0(WPCanarySums, 1);
        g_hash_table_insert(t, g_strdup(name), v);
    }
    return v;
}

void wp_canary_record_answer(WPCanary *c, const WPCanaryAnswer *a, bool on_new)
{
    wp_canary_sums_record(
        get_or_add_sums(on_new ? c->new_by_route : c->old_by_route, a->route),
        a);
    if (on_new)
        wp_canary_sums_record(get_or_add_sums(c->new_by_replica, a->replica),
                              a);
}

void wp_canary_record_loaded(WPCanary *c, const char *replica, bool failed)
{
    wp_canary_sums_record(get_or_add_sums(c->loaded_by_replica, replica),
                          &(WPCanaryAnswer){ .failed = failed });
}

void wp_canary_record_speed(WPCanary *c, const char *replica, double ratio,
                            bool on_new)
{
    wp_speed_record(on_new ? &get_or_add_sums(c->new_by_replica, replica)->speed
                           : &c->old_speed,
                    ratio);
}

bool wp_canary_merge_report(WPCanary *c, const char *box, uint64_t incarnation,
                            const WPCanarySums *sums)
{
    g_autofree char *key =
        g_strdup_printf("%s %lu", box, (unsigned long)incarnation);
    WPCanaryReport *r = g_hash_table_lookup(c->reports, key);
    bool is_new = !r;
    if (is_new) {
        r = g_new0(WPCanaryReport, 1);
        r->box = g_strdup(box);
        r->incarnation = incarnation;
        g_hash_table_insert(c->reports, g_steal_pointer(&key), r);
    }
    if (sums->answered < r->sums.answered)
        return is_new;
    r->unsent = r->unsent || sums->answered > r->sums.answered;
    r->sums = *sums;
    return is_new;
}

unsigned wp_canary_reporting_boxes(const WPCanary *c)
{
    g_autoptr(GHashTable) boxes = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->reports);
    while (g_hash_table_iter_next(&it, NULL, &p))
        g_hash_table_add(boxes, ((WPCanaryReport *)p)->box);
    return g_hash_table_size(boxes);
}

size_t wp_canary_take_unsent(WPCanary *c, const WPCanaryReport **out,
                             size_t max)
{
    size_t n = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->reports);
    while (n < max && g_hash_table_iter_next(&it, NULL, &p)) {
        WPCanaryReport *r = p;
        if (!r->unsent)
            continue;
        r->unsent = false;
        out[n++] = r;
    }
    return n;
}

void wp_canary_each_report(const WPCanary *c, const char *box,
                           void (*fn)(void *, const WPCanaryReport *),
                           void *arg)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->reports);
    while (g_hash_table_iter_next(&it, NULL, &p))
        if (!strcmp(((const WPCanaryReport *)p)->box, box))
            fn(arg, p);
}

static WPCanarySums total(GHashTable *t)
{
    WPCanarySums sum = { 0 };
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, t);
    while (g_hash_table_iter_next(&it, NULL, &v))
        wp_canary_sums_add(&sum, v);
    return sum;
}

/* Whether the answers at this box that show the fault come from enough of the
   replicas for it to be the version's. */
static bool is_widespread(const WPCanary *c, WPVersionFault fault)
{
    bool slow = fault == WP_VERSION_FAULT_SLOW;
    unsigned n_replicas = 0, bad = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->new_by_replica);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPCanarySums *v = p;
        bool is_bad =
            slow ? wp_canary_sums_are_slow(v) : wp_canary_sums_any_failed(v);
        bad += is_bad;
        n_replicas += is_bad || (slow ? v->timed + v->ratio_timed
                                      : v->answered) >= MIN_REPLICA_ANSWERS;
    }
    return bad >= WP_CANARY_MIN_BAD_REPLICAS &&
           bad >= WP_CANARY_MIN_BAD_SHARE * n_replicas;
}

static WPCanaryRoute own_route(const WPCanary *c, const char *name)
{
    const WPCanarySums *v = g_hash_table_lookup(c->new_by_route, name);
    const WPCanarySums *old = g_hash_table_lookup(c->old_by_route, name);
    return (WPCanaryRoute){ .name_hash = wp_canary_route_hash(name),
                            .counts = { v ? v->answered : 0, v ? v->failed : 0,
                                        old ? old->answered : 0,
                                        old ? old->failed : 0 } };
}

/* Adds this box's routes to its own sums. */
static void add_own_routes(const WPCanary *c, WPCanarySums *sum)
{
    GHashTableIter it;
    gpointer name;
    g_hash_table_iter_init(&it, c->new_by_route);
    while (g_hash_table_iter_next(&it, &name, NULL)) {
        WPCanaryRoute r = own_route(c, name);
        wp_canary_sums_add_route(sum, &r);
    }
    g_hash_table_iter_init(&it, c->old_by_route);
    while (g_hash_table_iter_next(&it, &name, NULL)) {
        if (g_hash_table_contains(c->new_by_route, name))
            continue;
        WPCanaryRoute r = own_route(c, name);
        wp_canary_sums_add_route(sum, &r);
    }
}

static uint64_t bit_of(const char *replica)
{
    return (uint64_t)1 << (wp_hash(wp_str(replica), 0) % 64);
}

/* How long answers of the old version took, at all boxes. */
static WPSpeedCounts pooled_old_speed(const WPCanary *c)
{
    WPSpeedCounts sum = c->old_speed;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->reports);
    while (g_hash_table_iter_next(&it, NULL, &p))
        wp_speed_add(&sum, &((const WPCanaryReport *)p)->sums.old_speed);
    return sum;
}

/* Sets how long this box's answers took, at which replicas they were timed, and
   which of these are slow by them. */
static void set_speed(const WPCanary *c, WPCanarySums *sum)
{
    WPSpeedCounts old = pooled_old_speed(c);
    GHashTableIter it;
    gpointer id, p;
    sum->old_speed = c->old_speed;
    g_hash_table_iter_init(&it, c->new_by_replica);
    while (g_hash_table_iter_next(&it, &id, &p)) {
        const WPSpeedCounts *speed = &((const WPCanarySums *)p)->speed;
        if (!wp_speed_total(speed))
            continue;
        wp_speed_add(&sum->speed, speed);
        sum->timed_replicas |= bit_of(id);
        if (wp_canary_sums_replica_is_slow(speed, &old))
            sum->slow_replicas |= bit_of(id);
    }
}

WPCanarySums wp_canary_own_sums(const WPCanary *c)
{
    WPCanarySums sum = total(c->new_by_route),
                 loaded = total(c->loaded_by_replica);
    GHashTableIter it;
    gpointer v;
    sum.loaded = loaded.answered;
    sum.loaded_failed = loaded.failed;
    g_hash_table_iter_init(&it, c->loaded_by_replica);
    while (g_hash_table_iter_next(&it, NULL, &v))
        sum.loaded_bad_replicas += ((WPCanarySums *)v)->failed > 0;
    WPCanarySums old = total(c->old_by_route);
    sum.old_answered = old.answered;
    sum.old_failed = old.failed;
    set_speed(c, &sum);
    add_own_routes(c, &sum);
    sum.failures_widespread = is_widespread(c, WP_VERSION_FAULT_FAILS);
    sum.slowness_widespread = is_widespread(c, WP_VERSION_FAULT_SLOW);
    return sum;
}

WPCanarySums wp_canary_pooled_sums(const WPCanary *c)
{
    WPCanarySums sum = wp_canary_own_sums(c);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->reports);
    while (g_hash_table_iter_next(&it, NULL, &p))
        wp_canary_sums_add(&sum, &((const WPCanaryReport *)p)->sums);
    return sum;
}

/* All boxes judge by the same failures, so that they come to the same outcome:
   a box that had started last and knew least of the old version once completed
   a shift that two others held back. The old version's answer times are those
   of this box, because each box classifies times by bounds of its own. */
static WPCanarySums old_sums_of(const WPCanary *c, const WPCanarySums *pooled)
{
    WPCanarySums old = total(c->old_by_route);
    old.answered = pooled->old_answered;
    old.failed = pooled->old_failed;
    return old;
}

WPCanarySums wp_canary_old_sums(const WPCanary *c)
{
    WPCanarySums pooled = wp_canary_pooled_sums(c);
    return old_sums_of(c, &pooled);
}

bool wp_canary_may_be_slow(const WPCanary *c)
{
    WPCanarySums new_sums = wp_canary_pooled_sums(c);
    WPCanarySums old_sums = old_sums_of(c, &new_sums);
    return wp_canary_sums_may_be_slow(&new_sums, &old_sums) ||
           wp_canary_sums_speed_in_doubt(&new_sums);
}

bool wp_canary_speed_in_doubt(const WPCanary *c)
{
    WPCanarySums new_sums = wp_canary_pooled_sums(c);
    return wp_canary_sums_speed_in_doubt(&new_sums);
}

bool wp_canary_may_fail(const WPCanary *c)
{
    WPCanarySums new_sums = wp_canary_pooled_sums(c);
    WPCanarySums old_sums = old_sums_of(c, &new_sums);
    return wp_canary_sums_may_fail(&new_sums, &old_sums);
}

bool wp_canary_is_not_sound(const WPCanary *c)
{
    WPCanarySums new_sums = wp_canary_pooled_sums(c);
    WPCanarySums old_sums = old_sums_of(c, &new_sums);
    return wp_canary_sums_not_sound(&new_sums, &old_sums);
}

bool wp_canary_in_doubt(const WPCanary *c)
{
    WPCanarySums new_sums = wp_canary_pooled_sums(c);
    WPCanarySums old_sums = old_sums_of(c, &new_sums);
    return wp_canary_sums_may_fail(&new_sums, &old_sums) ||
           wp_canary_sums_speed_in_doubt(&new_sums);
}

bool wp_canary_has_enough_answers(const WPCanary *c)
{
    WPCanarySums new_sums = wp_canary_pooled_sums(c);
    WPCanarySums old_sums = old_sums_of(c, &new_sums);
    return wp_canary_sums_suffice(&new_sums, &old_sums);
}

/* Whether the version is slow on a single route; sets `route` and `out`, the
   sums of that route, if it is. */
static bool find_slow_route(const WPCanary *c, bool beside, const char **route,
                            WPCanarySums *out)
{
    GHashTableIter it;
    gpointer name, p;
    g_hash_table_iter_init(&it, c->new_by_route);
    while (g_hash_table_iter_next(&it, &name, &p)) {
        const WPCanarySums *old = g_hash_table_lookup(c->old_by_route, name);
        WPCanarySums none = { 0 };
        if (!wp_canary_sums_is_slow(p, old ? old : &none, beside))
            continue;
        *route = name;
        *out = *(WPCanarySums *)p;
        return true;
    }
    return false;
}

bool wp_canary_is_bad(const WPCanary *c, bool beside, char **why)
{
    WPCanarySums new_sums = wp_canary_pooled_sums(c);
    WPCanarySums old_sums = old_sums_of(c, &new_sums);
    bool failures = new_sums.failures_widespread,
         slowness = new_sums.slowness_widespread;
    const char *route = "all";
    if (wp_canary_sums_fail_loaded(&new_sums)) {
        if (why)
            *why = g_strdup_printf("loaded=%u/%u failed on %u replicas",
                                   new_sums.loaded_failed, new_sums.loaded,
                                   new_sums.loaded_bad_replicas);
        return true;
    }
    if (wp_canary_sums_speed_is_bad(&new_sums)) {
        if (why)
            *why = wp_canary_sums_text(route, &new_sums, &old_sums);
        return true;
    }
    WPVersionFault fault = wp_canary_judge(&new_sums, &old_sums, beside);
    if (fault == WP_VERSION_FAULT_NONE &&
        find_slow_route(c, beside, &route, &new_sums))
        fault = WP_VERSION_FAULT_SLOW;
    bool widespread = fault == WP_VERSION_FAULT_SLOW ? slowness : failures;
    if (fault == WP_VERSION_FAULT_NONE || !widespread)
        return false;
    if (why)
        *why = wp_canary_sums_text(route, &new_sums, &old_sums);
    return true;
}

char *wp_canary_stats_text(const WPCanary *c)
{
    WPCanarySums new_sums = wp_canary_pooled_sums(c);
    WPCanarySums old_sums = old_sums_of(c, &new_sums);
    g_autofree char *sums = wp_canary_sums_text("all", &new_sums, &old_sums);
    return g_strdup_printf("lives=%u %s", g_hash_table_size(c->reports), sums);
}
