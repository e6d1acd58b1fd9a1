/* What the store tells, and what is written to it: the operator's routes and
 * orders, the list of endpoints, and the records of moves between versions.
 * One range reads everything, then one watch follows; after a break all is
 * read again and compared. */
#include "wp_direct_int.h"

#include <stdio.h>
#include <stdlib.h>

enum {
    RETRY_MS = 400,        /* after a call without an answer */
    WRITE_RETRY_MS = 600,  /* the same, of a write */
    WRITE_SPREAD_MS = 120, /* boxes write the same record at different times,
                              so that most find it written */
    DOUBT_MS = 6000        /* after the store was away, entries that it lost
                              meanwhile may still come back */
};

#define OWN_MOVE "wp/move/" /* when a move began: "REVISION WALL_MS" */

struct WPSync {
    WPDirectHost *host;
    WPKv *kv;
    bool reading, watching, up, ever;
    int64_t retry_us;  /* when to read again; 0: not waiting */
    int64_t away_us;   /* when the store was last without an answer */
    uint64_t revision;
    GHashTable *revisions; /* key -> uint64_t, of the records of moves */
    GHashTable *listed;    /* ids of endpoints in the range being read */
    GHashTable *due_us;    /* key -> int64_t, when to write it */
    bool writing;
    int64_t write_after_us;
};

static WPTime now_of(void)
{
    return wp_clock_now(0);
}

static bool in_doubt(const WPSync *s, WPTime now)
{
    return s->away_us && now.mono_us - s->away_us <
                             (int64_t)DOUBT_MS * WP_US_PER_MS;
}

static void set_up(WPSync *s, bool up)
{
    if (!up)
        s->away_us = now_of().mono_us;
    if (s->up == up && s->ever)
        return;
    s->up = up;
    s->ever = true;
    wp_log(&s->host->log, up ? WP_INFO : WP_WARN,
           up ? "store_regained" : "store_lost", NULL);
}

static void take_routes(WPSync *s, WPRoutes *t)
{
    WPDirectHost *h = s->host;
    char version[24];
    snprintf(version, sizeof(version), "%lu", (unsigned long)t->version);
    if (!wp_direct_routes(&h->direct, t))
        return;
    wp_front_limits(h->front, &h->direct.routes->limits);
    wp_log(&h->log, WP_INFO, "routes", "version", version, NULL);
}

static void take_endpoint(WPSync *s, const WPListing *l)
{
    if (s->listed)
        g_hash_table_add(s->listed, g_strdup(l->id));
    if (!wp_fleet_put(s->host->direct.fleet, now_of(), l))
        return;
    wp_log(&s->host->log, WP_INFO, "endpoint", "id", l->id, "service",
           l->service, "addr", l->addr, "zone", l->zone, "version", l->version,
           "state", l->draining ? "draining" : "ready", NULL);
}

static void lose_endpoint(WPSync *s, const char *id)
{
    WPTime now = now_of();
    bool doubt = in_doubt(s, now);
    if (!wp_fleet_find(s->host->direct.fleet, id))
        return;
    wp_fleet_remove(s->host->direct.fleet, now, id, doubt);
    wp_log(&s->host->log, WP_INFO, "endpoint_missing", "id", id, "kept",
           doubt ? "for a while: the store was away" : "no", NULL);
}

static void take_order(WPSync *s, const WPShiftOrder *o)
{
    WPShift *sh = wp_shifts_order(s->host->direct.shifts, o);
    if (sh)
        wp_log(&s->host->log, WP_INFO, "move_ordered", "service", o->service,
               "version", o->version, NULL);
}

static void take_outcome(WPSync *s, const WPNews *n)
{
    WPShifts *shifts = s->host->direct.shifts;
    WPShift *sh = wp_shifts_find(shifts, n->order.service);
    WPShiftState had = sh ? sh->state : WP_SHIFT_RUNNING;
    wp_shifts_outcome(shifts, n->order.service, n->order.version, n->state);
    if (sh && sh->state != had)
        wp_log(&s->host->log, WP_INFO, "move_ended", "service", sh->service,
               "version", sh->version, "state",
               wp_shift_state_name(sh->state), NULL);
}

/* This system's own record of when a move began. */
static void take_began(WPSync *s, const WPKvItem *i)
{
    const char *service = i->key.p + strlen(OWN_MOVE);
    WPShift *sh = wp_shifts_find(s->host->direct.shifts, service);
    g_autofree char *text = g_strndup(i->value.p, i->value.n);
    char *end;
    uint64_t revision = g_ascii_strtoull(text, &end, 10);
    int64_t began = g_ascii_strtoll(end, NULL, 10);
    if (sh && sh->revision == revision && began > 0)
        sh->began_ms = began;
}

static void note_revision(WPSync *s, const WPKvItem *i)
{
    uint64_t *rev = g_new(uint64_t, 1);
    *rev = i->removed ? 0 : i->mod_revision;
    g_hash_table_replace(s->revisions, g_strdup(i->key.p), rev);
}

static void take_item(WPSync *s, const WPKvItem *i)
{
    WPNews n;
    if (g_str_has_prefix(i->key.p, OWN_MOVE)) {
        note_revision(s, i);
        if (!i->removed)
            take_began(s, i);
        return;
    }
    s->host->platform->news(i, &n);
    switch (n.kind) {
    case WP_NEWS_NONE:
        break;
    case WP_NEWS_BAD:
        wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_entry", "key", i->key.p,
               "why", n.problem, NULL);
        break;
    case WP_NEWS_ROUTES:
        take_routes(s, n.routes);
        break;
    case WP_NEWS_ENDPOINT:
        take_endpoint(s, &n.listing);
        break;
    case WP_NEWS_GONE:
        lose_endpoint(s, n.listing.id);
        break;
    case WP_NEWS_ORDER:
        take_order(s, &n.order);
        break;
    case WP_NEWS_OUTCOME:
        note_revision(s, i);
        take_outcome(s, &n);
        break;
    }
    s->host->platform->news_end(&n);
}

static void read_all(WPSync *s);

static void retry_later(WPSync *s)
{
    s->retry_us = now_of().mono_us + (int64_t)RETRY_MS * WP_US_PER_MS;
}

static void on_event(void *arg, const WPKvItem *item)
{
    WPSync *s = arg;
    if (!item) {
        s->watching = false;
        read_all(s);
        return;
    }
    if (!s->up)
        set_up(s, true);
    take_item(s, item);
}

typedef struct Missing {
    WPSync *sync;
    GPtrArray *ids;
} Missing;

static void note_missing(void *arg, WPReplica *r)
{
    Missing *m = arg;
    if (!g_hash_table_contains(m->sync->listed, r->id) && !r->missing_us)
        g_ptr_array_add(m->ids, r->id);
}

static void lose_missing(WPSync *s)
{
    Missing m = { s, g_ptr_array_new() };
    wp_fleet_each(s->host->direct.fleet, note_missing, &m);
    for (guint i = 0; i < m.ids->len; i++)
        lose_endpoint(s, g_ptr_array_index(m.ids, i));
    g_ptr_array_unref(m.ids);
}

/* Orders come before what is recorded of them. */
static void take_all(WPSync *s, const WPKvResult *r)
{
    s->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (size_t i = 0; i < r->n_items; i++)
        take_item(s, &r->items[i]);
    lose_missing(s);
    g_clear_pointer(&s->listed, g_hash_table_unref);
}

static void on_range(void *arg, const WPKvResult *r)
{
    WPSync *s = arg;
    s->reading = false;
    wp_count(&s->host->direct.counters, WP_C_STORE_READS);
    if (!r->ok) {
        wp_count(&s->host->direct.counters, WP_C_STORE_ERRORS);
        set_up(s, false);
        retry_later(s);
        return;
    }
    set_up(s, true);
    take_all(s, r);
    s->revision = r->revision;
    s->watching = true;
    s->kv->ops->watch(s->kv, "", r->revision + 1, on_event, s);
}

static void read_all(WPSync *s)
{
    if (s->reading)
        return;
    s->reading = true;
    s->retry_us = 0;
    s->kv->ops->range(s->kv, "", NULL, on_range, s);
}

static uint64_t revision_of(WPSync *s, const char *key)
{
    const uint64_t *rev = g_hash_table_lookup(s->revisions, key);
    return rev ? *rev : 0;
}

static void on_written(void *arg, const WPKvResult *r)
{
    WPSync *s = arg;
    s->writing = false;
    if (!r->ok) {
        wp_count(&s->host->direct.counters, WP_C_STORE_ERRORS);
        s->write_after_us =
            now_of().mono_us + (int64_t)WRITE_RETRY_MS * WP_US_PER_MS;
        return;
    }
    /* What holds now is learned the same way as what others write. */
    for (size_t i = 0; i < r->n_items; i++)
        take_item(s, &r->items[i]);
}

/* The record of a move, only if nobody has written it since it was read. */
static void write_move(WPSync *s, const WPShift *sh, WPShiftState state,
                       const char *why)
{
    g_autofree char *key = s->host->platform->outcome_key(sh->service);
    g_autofree char *own = g_strconcat(OWN_MOVE, sh->service, NULL);
    g_autofree char *text = s->host->platform->outcome_text(sh, state);
    g_autofree char *began = g_strdup_printf(
        "%lu %ld", (unsigned long)sh->revision,
        (long)(sh->began_ms ? sh->began_ms : now_of().wall_ms));
    WPKvCompare compares[] = { { key, revision_of(s, key) },
                               { own, revision_of(s, own) } };
    WPKvOp ops[] = { { key, wp_str(text), false },
                     { own, wp_str(began), false } };
    s->writing = true;
    wp_count(&s->host->direct.counters, WP_C_STORE_WRITES);
    wp_count(&s->host->direct.counters, WP_C_ROLLOUT_STEPS);
    wp_log(&s->host->log, WP_INFO, "move_step", "service", sh->service,
           "version", sh->version, "state", wp_shift_state_name(state), "why",
           why ? why : "ordered", NULL);
    s->kv->ops->txn(s->kv, compares, WP_COUNT(compares), ops, WP_COUNT(ops),
                    on_written, s);
}

/* Whether this box's turn to write has come: boxes wait for different times,
   and most then find the record written. */
static bool is_turn(WPSync *s, const WPShift *sh, WPShiftState state,
                    WPTime now)
{
    g_autofree char *what =
        g_strdup_printf("%s %lu %d", sh->service,
                        (unsigned long)sh->revision, (int)state);
    int64_t *due = g_hash_table_lookup(s->due_us, what);
    if (!due) {
        double wait_ms =
            WRITE_SPREAD_MS * g_rand_double(s->host->direct.rand);
        due = g_new(int64_t, 1);
        *due = now.mono_us + (int64_t)(wait_ms * WP_US_PER_MS);
        g_hash_table_insert(s->due_us, g_steal_pointer(&what), due);
    }
    return now.mono_us >= *due;
}

static void carry_on(void *arg, WPShift *sh)
{
    WPSync *s = arg;
    WPTime now = now_of();
    g_autofree char *why = NULL;
    if (s->writing || now.mono_us < s->write_after_us)
        return;
    if (sh->state == WP_SHIFT_RUNNING && !sh->began_ms) {
        if (is_turn(s, sh, WP_SHIFT_RUNNING, now))
            write_move(s, sh, WP_SHIFT_RUNNING, NULL);
        return;
    }
    WPShiftState due =
        wp_shift_due(s->host->direct.shifts, sh, now, &why);
    if (due != WP_SHIFT_RUNNING && is_turn(s, sh, due, now))
        write_move(s, sh, due, why);
}

void wp_sync_tick(WPSync *s, WPTime now)
{
    if (s->retry_us && now.mono_us >= s->retry_us)
        read_all(s);
    wp_shifts_each(s->host->direct.shifts, carry_on, s);
}

bool wp_sync_ready(const WPSync *s)
{
    return s->host->direct.routes != NULL && s->revision > 0;
}

bool wp_sync_store_up(const WPSync *s)
{
    return s->up;
}

WPSync *wp_sync_new(WPDirectHost *h)
{
    WPSync *s = g_new0(WPSync, 1);
    s->host = h;
    s->kv = h->platform->store(h->base, h->settings->store);
    if (!s->kv) {
        g_free(s);
        return NULL;
    }
    s->revisions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->due_us = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    read_all(s);
    return s;
}

void wp_sync_free(WPSync *s)
{
    if (!s)
        return;
    s->kv->ops->free(s->kv);
    g_hash_table_unref(s->revisions);
    g_hash_table_unref(s->due_us);
    g_free(s);
}
