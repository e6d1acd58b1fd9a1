/* What this box writes to the store: where it is reached, and the steps of
 * moves between versions. Each write holds only if nobody has written the
 * entry since it was read, so a late writer always loses. */
#include "wp_sync_int.h"

enum {
    RETRY_MS = 600, /* after a write without an answer */
    SPREAD_MS = 40, /* boxes write the same record at different times,
                       this far apart for each of them, so that most
                       find it written */
    SPREAD_MOST_MS = 1000,
    BOXES_MS =
        400,        /* between looks for boxes without a record, and up to twice
                       as long: those that start together are written together */
    BOXES_MOST = 16 /* a transaction has 32 entries at most, by the platform's
                       rules, and each box takes a condition and a value */
};

static void on_written(void *arg, const WPKvResult *r)
{
    WPSync *s = arg;
    WPTime now = wp_clock_now(0);
    s->writing = false;
    if (!r->ok) {
        wp_count(&s->host->direct.counters, WP_C_STORE_ERRORS);
        s->write_after_us = now.mono_us + (int64_t)RETRY_MS * WP_US_PER_MS;
        return;
    }
    /* What holds now is learned the same way as what others write. */
    for (size_t i = 0; i < r->n_items; i++)
        wp_news_take(s, r->items[i].key.p, &r->items[i].value,
                     r->items[i].mod_revision, false);
    /* The watch tells of what was written; until then it is not repeated. */
    s->write_after_us = now.mono_us + (int64_t)RETRY_MS * WP_US_PER_MS;
}

static void write_all(WPSync *s, const WPKvCompare *compares, size_t n_compares,
                      const WPKvOp *ops, size_t n)
{
    s->writing = true;
    wp_count(&s->host->direct.counters, WP_C_STORE_WRITES);
    s->kv->ops->txn(s->kv, compares, n_compares, ops, n, on_written, s);
}

/* The condition that nobody has written a key since it was read. */
static WPKvCompare as_read(const WPSync *s, const char *key)
{
    return (WPKvCompare){ key, wp_mirror_key_revision(s->mirror, key) };
}

/* A step holds only for the order that it was decided on: one that a paused box
   sends late would else end the next. */
static void write_move(WPSync *s, const WPShift *sh, WPShiftState state,
                       WPTime now, const char *why)
{
    const WPPlatformOps *platform = s->host->platform;
    g_autofree char *order = platform->order_key(sh->service);
    g_autofree char *key = platform->outcome_key(sh->service);
    g_autofree char *own = g_strconcat(WP_KEY_BEGAN, sh->service, NULL);
    g_autofree char *text = platform->outcome_text(sh, state);
    g_autofree char *began =
        g_strdup_printf("%lu", (unsigned long)sh->revision);
    const WPKvCompare compares[] = { { order, sh->revision },
                                     as_read(s, key),
                                     as_read(s, own) };
    const WPKvOp ops[] = { { key, wp_str(text), false },
                           { own, wp_str(began), false } };
    g_autofree char *figures = wp_shift_stats_text(sh, now);
    wp_count(&s->host->direct.counters, WP_C_ROLLOUT_STEPS);
    wp_log(&s->host->log, WP_INFO, "move_step", "service", sh->service,
           "version", sh->version, "state", wp_shift_state_name(state), "why",
           why ? why : "ordered", "figures", figures, NULL);
    write_all(s, compares, WP_COUNT(compares), ops, WP_COUNT(ops));
}

/* Whether this box's turn to write has come: boxes wait for different times,
   and most then find the record written. */
static bool is_turn(WPSync *s, const WPShift *sh, WPShiftState state,
                    WPTime now)
{
    g_autofree char *what = g_strdup_printf(
        "%s %lu %d", sh->service, (unsigned long)sh->revision, (int)state);
    int64_t *due = g_hash_table_lookup(s->turns, what);
    if (!due) {
        double spread =
            MIN(SPREAD_MS * wp_peers_known(s->peers), SPREAD_MOST_MS);
        double wait_ms = spread * g_rand_double(s->host->direct.rand);
        due = g_new(int64_t, 1);
        *due = now.mono_us + (int64_t)(wait_ms * WP_US_PER_MS);
        g_hash_table_insert(s->turns, g_steal_pointer(&what), due);
    }
    return now.mono_us >= *due;
}

static bool may_write(const WPSync *s, WPTime now)
{
    return (s->up || !s->tried) && !s->writing &&
           now.mono_us >= s->write_after_us;
}

static void note_waits(WPSync *s, WPShift *sh, WPTime now)
{
    const char *had = sh->logged_wait_reason;
    sh->logged_wait_reason = sh->wait_reason;
    if (!sh->wait_reason || sh->wait_reason == had)
        return;
    g_autofree char *figures = wp_shift_stats_text(sh, now);
    wp_count(&s->host->direct.counters, WP_C_MOVE_WAITS);
    wp_log(&s->host->log, WP_INFO, "move_waits", "service", sh->service,
           "version", sh->version, "why", sh->wait_reason, "figures", figures,
           NULL);
}

static void carry_on(void *arg, WPShift *sh)
{
    WPSync *s = arg;
    WPTime now = wp_clock_now(0);
    g_autofree char *why = NULL;
    if (sh->state != WP_SHIFT_RUNNING)
        return;
    if (wp_shift_advance(s->host->direct.shifts, sh, now, &why)) {
        wp_log(&s->host->log, WP_INFO, "move_stage", "service", sh->service,
               "version", sh->version, "stage", sh->stage, "why", why, NULL);
        wp_peers_announce(s->peers);
        g_clear_pointer(&why, g_free);
    }
    WPShiftState due =
        wp_shift_due_state(s->host->direct.shifts, sh, now, &why);
    note_waits(s, sh, now);
    /* A bad version is left at once, whether or not the store hears of it. */
    if (due == WP_SHIFT_ROLLED_BACK && !sh->found_bad) {
        sh->found_bad = true;
        wp_log(&s->host->log, WP_WARN, "version_bad", "service", sh->service,
               "version", sh->version, "why", why, NULL);
        wp_peers_announce(s->peers);
    }
    if (!may_write(s, now))
        return;
    bool begin = !wp_elapsed_started(&sh->elapsed);
    if ((begin || due != WP_SHIFT_RUNNING) && is_turn(s, sh, due, now))
        write_move(s, sh, due, now, why);
}

/* What is written of boxes in one transaction. */
typedef struct Boxes {
    WPSync *sync;
    WPKvCompare compares[BOXES_MOST];
    WPKvOp ops[BOXES_MOST];
    char *owned[2 * BOXES_MOST];
    size_t n;
} Boxes;

/* Adds a box's record unless the store has it; `any`: has one of it at all. */
static void add_box(Boxes *b, const char *id, const char *addr,
                    const char *zone, bool any)
{
    g_autofree char *key = g_strconcat(WP_KEY_BOX, id, NULL);
    g_autofree char *text = g_strdup_printf("%s %s", addr, zone);
    const WPMirrorItem *had = wp_mirror_get(b->sync->mirror, key);
    gsize n = 0;
    const char *value = had ? g_bytes_get_data(had->value, &n) : "";
    bool same = had && wp_str_eq(wp_strn(value, n), wp_str(text));
    if (same || (had && any) || b->n == BOXES_MOST)
        return;
    b->compares[b->n] = as_read(b->sync, key);
    b->ops[b->n] = (WPKvOp){ key, wp_str(text), false };
    b->owned[2 * b->n] = g_steal_pointer(&key);
    b->owned[2 * b->n + 1] = g_steal_pointer(&text);
    b->n++;
}

static void add_linked(void *arg, const char *id, const char *addr,
                       const char *zone)
{
    add_box(arg, id, addr, zone, true);
}

/* Where boxes are reached. One that has the store's word writes for all that
   are linked to it, and these wait for that: at the start of a hundred boxes
   four transactions in place of a hundred. */
static void write_boxes(WPSync *s, WPTime now)
{
    const Wp__DirectSettings *set = s->host->settings;
    Boxes b = { .sync = s };
    if (now.mono_us < s->boxes_us || !may_write(s, now) || !s->complete ||
        s->host->leaving)
        return;
    s->boxes_us = now.mono_us +
                  (int64_t)(BOXES_MS * (1 + s->fresh.jitter)) * WP_US_PER_MS;
    if (s->up || now.mono_us >= s->self_us)
        add_box(&b, set->id, set->peers, set->zone, false);
    if (s->up && wp_peers_on_duty(s->peers, false))
        wp_peers_each(s->peers, add_linked, &b);
    if (b.n)
        write_all(s, b.compares, b.n, b.ops, b.n);
    for (size_t i = 0; i < 2 * b.n; i++)
        g_free(b.owned[i]);
}

void wp_record_tick(WPSync *s, WPTime now)
{
    wp_shifts_each(s->host->direct.shifts, carry_on, s);
    write_boxes(s, now);
}
