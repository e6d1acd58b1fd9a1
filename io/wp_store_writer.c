/* Writes this box's records to the store: the addresses of boxes, and the steps
 * of shifts between versions. Each write is conditional on the key being
 * unchanged since it was read, so a late writer always fails. */
#include "wp_sync_int.h"

enum {
    RETRY_MS = 600, /* from the result of a write, or its failure, to the next
                       write */
    /* Boxes write the same record at random times, spread over this much time
       per box (SPREAD_MAX_MS in all at most), so that most boxes find it
       already written. */
    SPREAD_PER_BOX_MS = 40,
    SPREAD_MAX_MS = 1000,
    /* Between polls for boxes without a record; up to twice as long with
       jitter. Boxes that start together are then written together. */
    BOXES_INTERVAL_MS = 400,
    /* A transaction has at most 32 items, by the platform's rules, and each box
       takes two: a condition and a value. */
    BOXES_PER_TXN = 16,
    LOST_PER_TXN = 16 /* lost entries, for the same reason */
};

void wp_sync_write_free(void *p)
{
    WPSyncWrite *w = p;
    g_free(w->key);
    g_bytes_unref(w->value);
    g_free(w);
}

static void apply_written(WPSync *s, uint64_t revision)
{
    for (guint i = 0; i < s->written->len; i++) {
        const WPSyncWrite *w = g_ptr_array_index(s->written, i);
        gsize n = 0;
        const char *p = w->value ? g_bytes_get_data(w->value, &n) : NULL;
        WPStr value = wp_strn(p, n);
        wp_store_apply(s, w->key, w->value ? &value : NULL, revision, false);
    }
}

/* A write has ended. What took effect is in force at once, as the store may be
   away before the watch reports it. After a conflict the present values of its
   keys are applied. */
static void on_written(void *arg, const WPKvResult *r)
{
    WPSync *s = arg;
    WPTime now = wp_clock_now(0);
    s->writing = false;
    s->write_after_us = now.mono_us + (int64_t)RETRY_MS * WP_US_PER_MS;
    if (!r->ok) {
        wp_count(&s->host->direct.counters, WP_C_STORE_ERRORS);
        return;
    }
    if (r->succeeded) {
        apply_written(s, r->revision);
        return;
    }
    /* The present values are applied like those that other boxes write. */
    for (size_t i = 0; i < r->n_items; i++)
        wp_store_apply(s, r->items[i].key.p, &r->items[i].value,
                       r->items[i].mod_revision, false);
}

static void write_txn(WPSync *s, const WPKvCompare *compares, size_t n_compares,
                      const WPKvOp *ops, size_t n)
{
    s->writing = true;
    g_ptr_array_set_size(s->written, 0);
    for (size_t i = 0; i < n; i++) {
        WPSyncWrite *w = g_new0(WPSyncWrite, 1);
        w->key = g_strdup(ops[i].key);
        if (!ops[i].remove)
            w->value = g_bytes_new(ops[i].value.p, ops[i].value.n);
        g_ptr_array_add(s->written, w);
    }
    wp_count(&s->host->direct.counters, WP_C_STORE_WRITES);
    s->kv->ops->txn(s->kv, compares, n_compares, ops, n, on_written, s);
}

/* Returns the condition that a key is unchanged since this box read it, or, if
   this box knows of no such key, that the store has none. */
static WPKvCompare unchanged_since_read(const WPSync *s, const char *key)
{
    return (WPKvCompare){ key, wp_mirror_key_revision(s->mirror, key) };
}

/* Writes the next state of a shift and logs it with the reason `why`. The write
   is conditional on the order that the step was decided for: otherwise a late
   write by a box that was paused could end the next shift. */
static void write_shift(WPSync *s, const WPShift *sh, WPShiftState state,
                        WPTime now, const char *why)
{
    const WPPlatformOps *platform = s->host->platform;
    g_autofree char *order_key =
        g_strconcat(platform->order_prefix, sh->service, NULL);
    g_autofree char *key =
        g_strconcat(platform->outcome_prefix, sh->service, NULL);
    g_autofree char *started_key =
        g_strconcat(WP_KEY_SHIFT_BEGAN, sh->service, NULL);
    g_autofree char *text = platform->outcome_text(sh, state);
    g_autofree char *started =
        g_strdup_printf("%lu", (unsigned long)wp_shift_order_id(sh));
    const WPKvCompare compares[] = { { order_key, sh->revision },
                                     unchanged_since_read(s, key),
                                     unchanged_since_read(s, started_key) };
    const WPKvOp ops[] = { { key, wp_str(text), false },
                           { started_key, wp_str(started), false } };
    g_autofree char *stats = wp_shift_stats_text(sh, now);
    wp_count(&s->host->direct.counters, WP_C_ROLLOUT_STEPS);
    wp_log(&s->host->log, WP_INFO, "move_step", "service", sh->service,
           "version", sh->version, "state", wp_shift_state_name(state), "why",
           why ? why : "ordered", "figures", stats, NULL);
    write_txn(s, compares, WP_COUNT(compares), ops, WP_COUNT(ops));
}

/* Whether this box is due to write a step of a shift. Each box waits for a
   random time, so most boxes find the record written by then. */
static bool is_write_due(WPSync *s, const WPShift *sh, WPShiftState state,
                         WPTime now)
{
    g_autofree char *step = g_strdup_printf(
        "%s %lu %d", sh->service, (unsigned long)sh->revision, (int)state);
    int64_t *due = g_hash_table_lookup(s->write_due, step);
    if (!due) {
        double spread = MIN(SPREAD_PER_BOX_MS * wp_peers_known_count(s->peers),
                            SPREAD_MAX_MS);
        double wait_ms = spread * g_rand_double(s->host->direct.rand);
        due = g_new(int64_t, 1);
        *due = now.mono_us + (int64_t)(wait_ms * WP_US_PER_MS);
        g_hash_table_insert(s->write_due, g_steal_pointer(&step), due);
    }
    return now.mono_us >= *due;
}

static bool may_write(const WPSync *s, WPTime now)
{
    return (s->store_up || !s->store_tried) && !s->outdated_us && !s->writing &&
           now.mono_us >= s->write_after_us;
}

/* Logs why a shift waits, when the reason has changed, and tells other boxes at
   once whether this one doubts. */
static void log_wait_reason(WPSync *s, WPShift *sh, WPTime now)
{
    const char *old = sh->logged_wait_reason;
    sh->logged_wait_reason = sh->wait_reason;
    if (sh->wait_reason == old)
        return;
    wp_peers_schedule_digest(s->peers);
    if (!sh->wait_reason)
        return;
    g_autofree char *stats = wp_shift_stats_text(sh, now);
    wp_count(&s->host->direct.counters, WP_C_MOVE_WAITS);
    wp_log(&s->host->log, WP_INFO, "move_waits", "service", sh->service,
           "version", sh->version, "why", sh->wait_reason, "figures", stats,
           NULL);
}

/* Whether the store's copy of this key is as this box knows it. */
static bool is_in_store(const WPSync *s, const char *prefix,
                        const char *service)
{
    g_autofree char *key = g_strconcat(prefix, service, NULL);
    const WPMirrorItem *item = wp_mirror_get(s->mirror, key);
    return item && !item->lost;
}

/* Writes the state of a shift again if the store has lost it in a restore, or
   if the operator has written the order again, which only a later record of its
   outcome refers to. */
static void restore_shift(WPSync *s, WPShift *sh, WPTime now)
{
    const WPPlatformOps *platform = s->host->platform;
    if (!s->restored_us || now.mono_us < s->rewrite_us || !may_write(s, now) ||
        !wp_elapsed_started(&sh->elapsed) ||
        !wp_peers_is_designated_watcher(s->peers, false))
        return;
    bool recorded = is_in_store(s, platform->outcome_prefix, sh->service) &&
                    is_in_store(s, WP_KEY_SHIFT_BEGAN, sh->service);
    if ((recorded && !sh->renumbered) ||
        !is_in_store(s, platform->order_prefix, sh->service))
        return;
    sh->renumbered = false;
    write_shift(s, sh, sh->state, now, "lost by the store");
}

static void widen_canary(WPSync *s, WPShift *sh, WPTime now)
{
    const WPDirect *d = &s->host->direct;
    if (!wp_shift_widen_canary(d->shifts, sh, now, d->boxes))
        return;
    g_autofree char *share = g_strdup_printf("%.3f", sh->canary_share);
    g_autofree char *figures = wp_shift_stats_text(sh, now);
    wp_log(&s->host->log, WP_INFO, "move_share", "service", sh->service,
           "version", sh->version, "share", share, "figures", figures, NULL);
    wp_peers_schedule_digest(s->peers);
}

/* Advances a running shift, and writes its next state when that is due. */
static void advance_shift(void *arg, WPShift *sh)
{
    WPSync *s = arg;
    WPTime now = wp_clock_now(0);
    g_autofree char *why = NULL;
    restore_shift(s, sh, now);
    if (sh->state != WP_SHIFT_RUNNING)
        return;
    widen_canary(s, sh, now);
    if (wp_shift_advance(s->host->direct.shifts, sh, now, &why)) {
        wp_log(&s->host->log, WP_INFO, "move_stage", "service", sh->service,
               "version", sh->version, "stage", sh->stage, "why", why, NULL);
        wp_peers_schedule_digest(s->peers);
        g_clear_pointer(&why, g_free);
    }
    WPShiftState due =
        wp_shift_due_state(s->host->direct.shifts, sh, now, &why);
    log_wait_reason(s, sh, now);
    /* A bad version gets no more requests at once, whether or not the store
       can be written. */
    if (due == WP_SHIFT_ROLLED_BACK && !sh->found_bad) {
        sh->found_bad = true;
        wp_log(&s->host->log, WP_WARN, "version_bad", "service", sh->service,
               "version", sh->version, "why", why, NULL);
        wp_peers_schedule_digest(s->peers);
    }
    if (!may_write(s, now))
        return;
    bool begin = !wp_elapsed_started(&sh->elapsed);
    if ((begin || due != WP_SHIFT_RUNNING) && is_write_due(s, sh, due, now))
        write_shift(s, sh, due, now, why);
}

/* The box records that are written in one transaction. */
typedef struct BoxRecords {
    WPSync *sync;
    WPKvCompare compares[BOXES_PER_TXN];
    WPKvOp ops[BOXES_PER_TXN];
    char *owned[2 * BOXES_PER_TXN];
    size_t n;
} BoxRecords;

/* Adds a box's record to the transaction, unless the store has the same record
   or, with `any`, any record of that box. */
static void add_box_record(BoxRecords *b, const char *id, const char *addr,
                           const char *zone, bool any)
{
    g_autofree char *key = g_strconcat(WP_KEY_BOX, id, NULL);
    g_autofree char *text = g_strdup_printf("%s %s", addr, zone);
    const WPMirrorItem *old = wp_mirror_get(b->sync->mirror, key);
    gsize n = 0;
    const char *value = old ? g_bytes_get_data(old->value, &n) : "";
    bool same = old && wp_str_eq(wp_strn(value, n), wp_str(text));
    if (same || (old && any) || b->n == BOXES_PER_TXN)
        return;
    b->compares[b->n] = unchanged_since_read(b->sync, key);
    b->ops[b->n] = (WPKvOp){ key, wp_str(text), false };
    b->owned[2 * b->n] = g_steal_pointer(&key);
    b->owned[2 * b->n + 1] = g_steal_pointer(&text);
    b->n++;
}

static void add_peer_record(void *arg, const char *id, const char *addr,
                            const char *zone)
{
    add_box_record(arg, id, addr, zone, true);
}

/* Writes the addresses and zones of boxes. The designated box, if it reaches
   the store, writes for all boxes that are connected to it. Boxes that have not
   reached the store wait for that until `self_us`: when a hundred boxes start,
   this takes four transactions instead of a hundred. */
static void write_box_records(WPSync *s, WPTime now)
{
    const Wp__DirectSettings *set = s->host->settings;
    BoxRecords b = { .sync = s };
    if (now.mono_us < s->box_check_us || !may_write(s, now) || !s->complete ||
        s->host->draining)
        return;
    s->box_check_us =
        now.mono_us +
        (int64_t)(BOXES_INTERVAL_MS * (1 + s->staleness.jitter)) * WP_US_PER_MS;
    if (s->store_up || now.mono_us >= s->self_write_us)
        add_box_record(&b, set->id, set->peers, set->zone, false);
    if (s->store_up && wp_peers_is_designated_watcher(s->peers, false))
        wp_peers_each_linked(s->peers, add_peer_record, &b);
    if (b.n)
        write_txn(s, b.compares, b.n, b.ops, b.n);
    for (size_t i = 0; i < 2 * b.n; i++)
        g_free(b.owned[i]);
}

/* Writes again what boxes had written and the store has lost, on the condition
   that the store's entries are as they were read after the restore. */
static void write_lost_entries(WPSync *s, WPTime now)
{
    WPKvCompare compares[LOST_PER_TXN];
    WPKvOp ops[LOST_PER_TXN];
    if (!s->restored_us || now.mono_us < s->rewrite_us || !may_write(s, now))
        return;
    g_autoptr(GPtrArray) lost = wp_mirror_lost(s->mirror, WP_KEY_PREFIX);
    size_t n = MIN(lost->len, LOST_PER_TXN);
    for (size_t i = 0; i < n; i++) {
        const WPMirrorItem *item = g_ptr_array_index(lost, i);
        gsize size = 0;
        const char *value =
            item->value ? g_bytes_get_data(item->value, &size) : NULL;
        compares[i] = unchanged_since_read(s, item->key);
        ops[i] = (WPKvOp){ item->key, wp_strn(value, size), !value };
    }
    if (n)
        write_txn(s, compares, n, ops, n);
}

void wp_record_tick(WPSync *s, WPTime now)
{
    wp_shifts_each(s->host->direct.shifts, advance_shift, s);
    write_lost_entries(s, now);
    write_box_records(s, now);
}
