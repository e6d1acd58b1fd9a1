/* What a box keeps in the store of each move that runs: how long ago it began
 * and what this box's processes have seen of the new version. Processes forget:
 * guards against boxes that are all killed several times and then end a move to
 * a slow version, as none has seen enough of it.
 *
 * Each box writes its own entry, so writers never meet. A box that starts reads
 * all of them and goes on from there. */
#include "wp_pb.h"
#include "wp_sync_int.h"

enum {
    PARTS = 16,           /* records of a box in an order's time */
    PAUSE_LEAST_MS = 500, /* between two */
    FULL_RATE_BOXES = 4,  /* with more, each writes less often: however many
                             boxes, 8 writes a second at most for a move */
    LIVES_MOST = 16 /* XXX: of a box that starts more often in one move, the
                       rest is forgotten when all boxes are lost */
};

typedef struct WPSeen {
    bool writing;
    int64_t due_us;
    /* The write under way. */
    char *key;
    GByteArray *value;
} WPSeen;

WPSeen *wp_seen_new(void)
{
    return g_new0(WPSeen, 1);
}

static void clear(WPSeen *v)
{
    g_clear_pointer(&v->key, g_free);
    g_clear_pointer(&v->value, g_byte_array_unref);
}

void wp_seen_free(WPSeen *v)
{
    if (!v)
        return;
    clear(v);
    g_free(v);
}

void wp_move_sums_fill(const WPShift *sh, uint64_t life, const WPCanarySums *v,
                       Wp__MoveSums *m)
{
    wp__move_sums__init(m);
    m->service = sh->service;
    m->order = sh->revision;
    m->has_life = 1;
    m->life = life;
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
}

WPCanarySums wp_move_sums_read(const Wp__MoveSums *m)
{
    return (WPCanarySums){ .answered = m->answered,
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
}

static void on_written(void *arg, const WPKvResult *r)
{
    WPSync *s = arg;
    WPSeen *v = s->seen;
    WPStr value = wp_strn((const char *)v->value->data, v->value->len);
    v->writing = false;
    wp_count(&s->host->direct.counters,
             r->ok ? WP_C_MOVE_RECORDS : WP_C_STORE_ERRORS);
    if (r->ok && r->succeeded)
        wp_news_take(s, v->key, &value, r->revision, false);
    /* An earlier write of this box whose answer was lost, most likely. */
    for (size_t i = 0; i < r->n_items; i++)
        wp_news_take(s, r->items[i].key.p, &r->items[i].value,
                     r->items[i].mod_revision, false);
    clear(v);
}

/* The lives of this box in one record. */
typedef struct Lives {
    const WPShift *shift;
    Wp__MoveSums sums[LIVES_MOST], *list[LIVES_MOST];
    size_t n;
} Lives;

static void add_life(void *arg, const WPCanaryReport *l)
{
    Lives *all = arg;
    if (all->n == LIVES_MOST)
        return;
    wp_move_sums_fill(all->shift, l->incarnation, &l->sums, &all->sums[all->n]);
    all->list[all->n] = &all->sums[all->n];
    all->n++;
}

static void write_seen(WPSync *s, const WPShift *sh, WPTime now)
{
    WPSeen *v = s->seen;
    const char *box = s->host->settings->id;
    Lives lives = { .shift = sh };
    const WPCanaryReport own = { NULL, s->life,
                                 wp_canary_own_sums(&sh->canary) };
    add_life(&lives, &own);
    wp_canary_each_report(&sh->canary, box, add_life, &lives);
    Wp__MoveRecord m = WP__MOVE_RECORD__INIT;
    m.order = sh->revision;
    m.elapsed_ms = (uint64_t)wp_elapsed_ms(&sh->elapsed, now);
    m.lives = lives.list;
    m.n_lives = lives.n;
    v->key = g_strconcat(WP_KEY_SEEN, sh->service, "/", box, NULL);
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
    const WPShift *shift; /* the move whose record is the oldest */
    WPSync *sync;
    uint64_t revision;
} Find;

static void find_oldest(void *arg, WPShift *sh)
{
    Find *f = arg;
    if (sh->state != WP_SHIFT_RUNNING || !wp_elapsed_started(&sh->elapsed))
        return;
    g_autofree char *key = g_strconcat(WP_KEY_SEEN, sh->service, "/",
                                       f->sync->host->settings->id, NULL);
    uint64_t revision = wp_mirror_key_revision(f->sync->mirror, key);
    if (f->shift && revision >= f->revision)
        return;
    f->shift = sh;
    f->revision = revision;
}

/* Boxes write at different times. */
static int64_t pause_ms(const WPSync *s, const WPShift *sh)
{
    double many =
        MAX(1.0, (double)s->host->direct.boxes / (double)FULL_RATE_BOXES);
    double ms = MAX((double)sh->duration_ms / PARTS, PAUSE_LEAST_MS) * many;
    return (int64_t)(ms * (0.5 + g_rand_double(s->host->direct.rand)));
}

void wp_seen_tick(WPSync *s, WPTime now)
{
    WPSeen *v = s->seen;
    Find f = { .sync = s };
    if (v->writing || !s->up || !s->complete || now.mono_us < v->due_us)
        return;
    wp_shifts_each(s->host->direct.shifts, find_oldest, &f);
    if (!f.shift)
        return;
    if (v->due_us)
        write_seen(s, f.shift, now);
    v->due_us = now.mono_us + pause_ms(s, f.shift) * WP_US_PER_MS;
}

/* A box that goes on where its process before was. */
static void note_own(WPSync *s, const WPShift *sh, const Wp__MoveRecord *m)
{
    g_autofree char *elapsed =
        g_strdup_printf("%lu", (unsigned long)m->elapsed_ms);
    g_autofree char *figures = wp_canary_stats_text(&sh->canary);
    wp_log(&s->host->log, WP_INFO, "move_resumed", "service", sh->service,
           "version", sh->version, "elapsed_ms", elapsed, "figures", figures,
           NULL);
}

/* Takes what a box has told; this process's own life is known better. */
static void hear_record(WPSync *s, WPShift *sh, const char *box,
                        const Wp__MoveRecord *m)
{
    bool own = !strcmp(box, s->host->settings->id), is_new = false;
    if (sh->revision != m->order)
        return;
    wp_shift_merge_elapsed(sh, wp_clock_now(0), (int64_t)m->elapsed_ms);
    for (size_t i = 0; i < m->n_lives; i++) {
        WPCanarySums sums = wp_move_sums_read(m->lives[i]);
        if (!own || m->lives[i]->life != s->life)
            is_new |= wp_canary_merge_report(&sh->canary, box,
                                             m->lives[i]->life, &sums);
    }
    if (own && is_new)
        note_own(s, sh, m);
}

void wp_seen_take(WPSync *s, const char *what, WPStr value)
{
    g_auto(GStrv) part = g_strsplit(what, "/", 2);
    Wp__MoveRecord *m =
        wp__move_record__unpack(NULL, value.n, (const uint8_t *)value.p);
    if (!m || g_strv_length(part) != 2) {
        wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_entry", "key", what, "why",
               "not a record of a move", NULL);
    } else {
        WPShift *sh = wp_shifts_find(s->host->direct.shifts, part[0]);
        if (sh)
            hear_record(s, sh, part[1], m);
    }
    wp_pb_free(m);
}
