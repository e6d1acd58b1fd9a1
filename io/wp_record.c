/* What this box writes to the store: where it is reached, and the steps of
 * moves between versions. Each write holds only if nobody has written the
 * entry since it was read, so a late writer always loses. */
#include "wp_sync_int.h"

enum {
    RETRY_MS = 600, /* after a write without an answer */
    SPREAD_MS = 40, /* boxes write the same record at different times,
                       this far apart for each of them, so that most
                       find it written */
    SPREAD_MOST_MS = 1000
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

static void write_all(WPSync *s, const WPKvOp *ops, size_t n)
{
    g_autofree WPKvCompare *compares = g_new0(WPKvCompare, n);
    for (size_t i = 0; i < n; i++)
        compares[i] =
            (WPKvCompare){ ops[i].key,
                           wp_mirror_revision(s->mirror, ops[i].key) };
    s->writing = true;
    wp_count(&s->host->direct.counters, WP_C_STORE_WRITES);
    s->kv->ops->txn(s->kv, compares, n, ops, n, on_written, s);
}

static void write_move(WPSync *s, const WPShift *sh, WPShiftState state,
                       WPTime now, const char *why)
{
    g_autofree char *key = s->host->platform->outcome_key(sh->service);
    g_autofree char *own = g_strconcat(WP_KEY_MOVE, sh->service, NULL);
    g_autofree char *text = s->host->platform->outcome_text(sh, state);
    g_autofree char *began =
        g_strdup_printf("%lu %ld", (unsigned long)sh->revision,
                        (long)(sh->began_ms ? sh->began_ms : now.wall_ms));
    const WPKvOp ops[] = { { key, wp_str(text), false },
                           { own, wp_str(began), false } };
    wp_count(&s->host->direct.counters, WP_C_ROLLOUT_STEPS);
    wp_log(&s->host->log, WP_INFO, "move_step", "service", sh->service,
           "version", sh->version, "state", wp_shift_state_name(state), "why",
           why ? why : "ordered", NULL);
    write_all(s, ops, WP_COUNT(ops));
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
    return s->up && !s->writing && now.mono_us >= s->write_after_us;
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
    WPShiftState due = wp_shift_due(s->host->direct.shifts, sh, now, &why);
    /* A bad version is left at once, whether or not the store hears of it. */
    if (due == WP_SHIFT_UNDONE && !sh->suspect) {
        sh->suspect = true;
        wp_log(&s->host->log, WP_WARN, "version_bad", "service", sh->service,
               "version", sh->version, "why", why, NULL);
        wp_peers_announce(s->peers);
    }
    if (!may_write(s, now))
        return;
    bool begin = !sh->began_ms;
    if ((begin || due != WP_SHIFT_RUNNING) && is_turn(s, sh, due, now))
        write_move(s, sh, due, now, why);
}

/* Where the other boxes reach this one. */
static void write_self(WPSync *s, WPTime now)
{
    const Wp__DirectSettings *set = s->host->settings;
    g_autofree char *key = g_strconcat(WP_KEY_BOX, set->id, NULL);
    const WPMirrorItem *had = wp_mirror_get(s->mirror, key);
    g_autofree char *text = g_strdup_printf("%s %s", set->peers, set->zone);
    const WPKvOp op = { key, wp_str(text), false };
    if (!may_write(s, now) || !s->complete || s->host->leaving)
        return;
    gsize n = 0;
    const char *value = had ? g_bytes_get_data(had->value, &n) : "";
    if (had && wp_str_eq(wp_strn(value, n), wp_str(text)))
        return;
    write_all(s, &op, 1);
}

void wp_record_tick(WPSync *s, WPTime now)
{
    wp_shifts_each(s->host->direct.shifts, carry_on, s);
    write_self(s, now);
}
