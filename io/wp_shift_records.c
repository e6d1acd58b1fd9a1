/* Records in the store of each running shift: how long ago it began and what
 * the processes of each box have observed of the new version. Processes lose
 * their state when they end; without the records, boxes that are all killed
 * several times could complete a shift to a slow version, as none of them has
 * observed enough of it.
 *
 * Each box writes its own record, so writers never conflict. A box that
 * starts reads all records and continues from there. */
#include "wp_pb.h"
#include "wp_sync_int.h"

enum {
    /* written by a box during the duration of a shift */
    RECORDS_PER_SHIFT = 16,
    INTERVAL_MIN_MS = 500, /* between two records of a box */
    /* with more boxes each writes less often: at most 8 writes a second for
       a shift, whatever the number of boxes */
    FULL_RATE_BOXES = 4,
    /* XXX: if a box starts more often during one shift, the counts of the
       further incarnations are lost when all boxes are lost */
    INCARNATIONS_MAX = 16
};

typedef struct WPShiftRecords {
    bool writing;
    int64_t due_us;
    /* The write in progress. */
    char *key;
    GByteArray *value;
} WPShiftRecords;

WPShiftRecords *wp_shift_records_new(void)
{
    return g_new0(WPShiftRecords, 1);
}

static void clear(WPShiftRecords *v)
{
    g_clear_pointer(&v->key, g_free);
    g_clear_pointer(&v->value, g_byte_array_unref);
}

void wp_shift_records_free(WPShiftRecords *v)
{
    if (!v)
        return;
    clear(v);
    g_free(v);
}

static void encode_routes(const WPCanarySums *v, WPShiftSums *out)
{
    uint32_t *count = out->route_counts;
    for (unsigned i = 0; i < v->n_routes; i++) {
        const WPFailureCounts *c = &v->routes[i].counts;
        out->routes[i] = v->routes[i].name_hash;
        *count++ = c->answered;
        *count++ = c->failed;
        *count++ = c->old_answered;
        *count++ = c->old_failed;
    }
    out->message.n_route = v->n_routes;
    out->message.route = out->routes;
    out->message.n_route_counts = (size_t)(count - out->route_counts);
    out->message.route_counts = out->route_counts;
}

static void decode_routes(const Wp__MoveSums *m, WPCanarySums *out)
{
    size_t n = MIN(m->n_route, m->n_route_counts / WP_SHIFT_ROUTE_COUNTS);
    for (size_t i = 0; i < n; i++) {
        const uint32_t *count = &m->route_counts[i * WP_SHIFT_ROUTE_COUNTS];
        const WPCanaryRoute r = { m->route[i],
                                  { count[0], count[1], count[2], count[3] } };
        wp_canary_sums_add_route(out, &r);
    }
}

static void encode_times(const WPCanarySums *v, WPShiftSums *out)
{
    uint32_t *count = out->time_counts;
    for (unsigned i = 0; i < WP_FAILURE_TIMES; i++) {
        *count++ = v->times[i].answered;
        *count++ = v->times[i].failed;
    }
    out->message.n_time_counts = WP_COUNT(out->time_counts);
    out->message.time_counts = out->time_counts;
}

static void decode_times(const Wp__MoveSums *m, WPCanarySums *out)
{
    size_t n = MIN(m->n_time_counts / WP_SHIFT_TIME_COUNTS, WP_FAILURE_TIMES);
    for (size_t i = 0; i < n; i++) {
        const uint32_t *count = &m->time_counts[i * WP_SHIFT_TIME_COUNTS];
        out->times[i] = (WPFailureTime){ count[0], count[1] };
    }
}

/* Number of bins without the empty ones at the end. */
static size_t used_bins(const WPSpeedCounts *v)
{
    size_t n = WP_SPEED_BINS;
    while (n && !v->n[n - 1])
        n--;
    return n;
}

static void encode_speed(const WPCanarySums *v, WPShiftSums *out)
{
    out->speed = v->speed;
    out->old_speed = v->old_speed;
    out->message.n_speed = used_bins(&out->speed);
    out->message.speed = out->speed.n;
    out->message.n_old_speed = used_bins(&out->old_speed);
    out->message.old_speed = out->old_speed.n;
    out->message.has_timed_replicas = out->message.has_slow_replicas = 1;
    out->message.timed_replicas = v->timed_replicas;
    out->message.slow_replicas = v->slow_replicas;
}

static void decode_speed(const uint32_t *bins, size_t n, WPSpeedCounts *out)
{
    for (size_t i = 0; i < MIN(n, WP_SPEED_BINS); i++)
        out->n[i] = bins[i];
}

void wp_shift_sums_encode(const WPShift *sh, uint64_t incarnation,
                          const WPCanarySums *v, WPShiftSums *out)
{
    Wp__MoveSums *m = &out->message;
    wp__move_sums__init(m);
    m->service = sh->service;
    m->order = wp_shift_order_id(sh);
    m->has_life = 1;
    m->life = incarnation;
    m->has_answered = m->has_failed = m->has_slow = 1;
    m->answered = v->answered;
    m->failed = v->failed;
    m->slow = v->slow;
    m->has_timed = m->has_fast = m->has_taken = 1;
    m->timed = v->timed;
    m->fast = v->fast;
    m->taken = v->utilization_permille;
    m->has_wholes = m->has_far = 1;
    m->wholes = v->ratio_timed;
    m->far = v->ratio_slow;
    m->has_loaded = m->has_loaded_failed = m->has_loaded_bad = 1;
    m->loaded = v->loaded;
    m->loaded_failed = v->loaded_failed;
    m->loaded_bad = v->loaded_bad_replicas;
    m->has_fails_spread = m->has_slow_spread = 1;
    m->fails_spread = v->failures_widespread;
    m->slow_spread = v->slowness_widespread;
    m->has_old_answered = m->has_old_failed = 1;
    m->old_answered = v->old_answered;
    m->old_failed = v->old_failed;
    encode_routes(v, out);
    encode_times(v, out);
    encode_speed(v, out);
}

WPCanarySums wp_shift_sums_decode(const Wp__MoveSums *m)
{
    WPCanarySums v = { .answered = m->answered,
                       .failed = m->failed,
                       .timed = m->timed,
                       .slow = m->slow,
                       .fast = m->fast,
                       .utilization_permille = m->taken,
                       .ratio_timed = m->wholes,
                       .ratio_slow = m->far,
                       .loaded = m->loaded,
                       .loaded_failed = m->loaded_failed,
                       .loaded_bad_replicas = m->loaded_bad,
                       .failures_widespread = m->fails_spread,
                       .slowness_widespread = m->slow_spread,
                       .old_answered = m->old_answered,
                       .old_failed = m->old_failed };
    decode_routes(m, &v);
    decode_times(m, &v);
    v.timed_replicas = m->timed_replicas;
    v.slow_replicas = m->slow_replicas;
    decode_speed(m->speed, m->n_speed, &v.speed);
    decode_speed(m->old_speed, m->n_old_speed, &v.old_speed);
    return v;
}

bool wp_shift_sums_merge(WPSync *s, WPShift *sh, const char *box,
                         const char *from, const Wp__MoveSums *m, bool *is_new)
{
    WPCanarySums sums = wp_shift_sums_decode(m);
    const char *problem = wp_canary_sums_invalid_field(&sums);
    if (problem) {
        wp_count(&s->host->direct.counters, WP_C_BAD_ENTRIES);
        wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_counts", "service",
               sh->service, "box", box, "from", from, "why", problem, NULL);
        return false;
    }
    bool added = wp_canary_merge_report(&sh->canary, box, m->life, &sums);
    if (is_new)
        *is_new = *is_new || added;
    return true;
}

/* The write of a shift record has ended: applies the record, or, after a
   conflict, the present value of its key. */
static void on_written(void *arg, const WPKvResult *r)
{
    WPSync *s = arg;
    WPShiftRecords *v = s->shift_records;
    WPStr value = wp_strn((const char *)v->value->data, v->value->len);
    v->writing = false;
    wp_count(&s->host->direct.counters,
             r->ok ? WP_C_MOVE_RECORDS : WP_C_STORE_ERRORS);
    if (r->ok && r->succeeded)
        wp_store_apply(s, v->key, &value, r->revision, false);
    /* The conflict is most likely with an earlier write of this box whose
       answer was lost. */
    for (size_t i = 0; i < r->n_items; i++)
        wp_store_apply(s, r->items[i].key.p, &r->items[i].value,
                       r->items[i].mod_revision, false);
    clear(v);
}

/* The incarnations of this box in one record. */
typedef struct Incarnations {
    const WPShift *shift;
    WPShiftSums sums[INCARNATIONS_MAX];
    Wp__MoveSums *list[INCARNATIONS_MAX];
    size_t n;
} Incarnations;

static void add_incarnation(void *arg, const WPCanaryReport *l)
{
    Incarnations *all = arg;
    if (all->n == INCARNATIONS_MAX)
        return;
    wp_shift_sums_encode(all->shift, l->incarnation, &l->sums,
                         &all->sums[all->n]);
    all->list[all->n] = &all->sums[all->n].message;
    all->n++;
}

/* Writes this box's record of a running shift: the time elapsed, and the answer
   counts by incarnation, its own and those of other boxes. The write is
   conditional on the known revision of the record. */
static void write_record(WPSync *s, const WPShift *sh, WPTime now)
{
    WPShiftRecords *v = s->shift_records;
    const char *box = s->host->settings->id;
    Incarnations record = { .shift = sh };
    const WPCanaryReport own = { .incarnation = s->incarnation,
                                 .sums = wp_canary_own_sums(&sh->canary) };
    add_incarnation(&record, &own);
    wp_canary_each_report(&sh->canary, box, add_incarnation, &record);
    Wp__MoveRecord m = WP__MOVE_RECORD__INIT;
    m.order = wp_shift_order_id(sh);
    m.elapsed_ms = (uint64_t)wp_elapsed_ms(&sh->elapsed, now);
    m.lives = record.list;
    m.n_lives = record.n;
    v->key = g_strconcat(WP_KEY_SHIFT_RECORD, sh->service, "/", box, NULL);
    v->value = wp_pb_pack(&m.base);
    v->writing = true;
    const WPKvCompare compare = { v->key,
                                  wp_mirror_key_revision(s->mirror, v->key) };
    const WPKvOp op = { v->key,
                        wp_strn((const char *)v->value->data, v->value->len),
                        false };
    wp_count(&s->host->direct.counters, WP_C_STORE_WRITES);
    s->kv->ops->txn(s->kv, &compare, 1, &op, 1, on_written, s);
}

typedef struct Find {
    const WPShift *shift; /* the shift whose record is the oldest */
    WPSync *sync;
    uint64_t revision;
} Find;

static void find_oldest(void *arg, WPShift *sh)
{
    Find *f = arg;
    if (sh->state != WP_SHIFT_RUNNING || !wp_elapsed_started(&sh->elapsed))
        return;
    g_autofree char *key = g_strconcat(WP_KEY_SHIFT_RECORD, sh->service, "/",
                                       f->sync->host->settings->id, NULL);
    uint64_t revision = wp_mirror_key_revision(f->sync->mirror, key);
    if (f->shift && revision >= f->revision)
        return;
    f->shift = sh;
    f->revision = revision;
}

/* Interval until the next record; random, so that boxes write at different
   times. */
static int64_t interval_ms(const WPSync *s, const WPShift *sh)
{
    double factor =
        MAX(1.0, (double)s->host->direct.boxes / (double)FULL_RATE_BOXES);
    double ms =
        MAX((double)sh->duration_ms / RECORDS_PER_SHIFT, INTERVAL_MIN_MS) *
        factor;
    return (int64_t)(ms * (0.5 + g_rand_double(s->host->direct.rand)));
}

void wp_shift_records_tick(WPSync *s, WPTime now)
{
    WPShiftRecords *v = s->shift_records;
    Find f = { .sync = s };
    if (v->writing || !s->store_up || !wp_sync_may_write(s) ||
        now.mono_us < v->due_us)
        return;
    wp_shifts_each(s->host->direct.shifts, find_oldest, &f);
    if (!f.shift)
        return;
    if (v->due_us)
        write_record(s, f.shift, now);
    v->due_us = now.mono_us + interval_ms(s, f.shift) * WP_US_PER_MS;
}

/* Logs that this box continues a shift from the counts of its previous
   process. */
static void log_resumed(WPSync *s, const WPShift *sh, const Wp__MoveRecord *m)
{
    g_autofree char *elapsed =
        g_strdup_printf("%lu", (unsigned long)m->elapsed_ms);
    g_autofree char *stats = wp_canary_stats_text(&sh->canary);
    wp_log(&s->host->log, WP_INFO, "move_resumed", "service", sh->service,
           "version", sh->version, "elapsed_ms", elapsed, "figures", stats,
           NULL);
}

/* Merges the record of a box. This process has newer counts of its own
   incarnation, so that one is skipped. */
static void merge_record(WPSync *s, WPShift *sh, const char *box,
                         const Wp__MoveRecord *m)
{
    bool own = !strcmp(box, s->host->settings->id), is_new = false;
    if (wp_shift_order_id(sh) != m->order)
        return;
    wp_shift_merge_elapsed(sh, wp_clock_now(0), (int64_t)m->elapsed_ms);
    for (size_t i = 0; i < m->n_lives; i++)
        if (!own || m->lives[i]->life != s->incarnation)
            wp_shift_sums_merge(s, sh, box, "the store", m->lives[i], &is_new);
    if (own && is_new)
        log_resumed(s, sh, m);
}

void wp_shift_record_apply(WPSync *s, const char *what, WPStr value)
{
    g_auto(GStrv) part = g_strsplit(what, "/", 2);
    Wp__MoveRecord *m =
        wp__move_record__unpack(NULL, value.n, (const uint8_t *)value.p);
    if (!m || g_strv_length(part) != 2) {
        wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_entry", "key", what, "why",
               "not a valid shift record", NULL);
    } else {
        WPShift *sh = wp_shifts_find(s->host->direct.shifts, part[0]);
        if (sh)
            merge_record(s, sh, part[1], m);
    }
    wp_pb_free(m);
}
