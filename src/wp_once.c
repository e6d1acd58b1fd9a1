/* Keepers of idempotency keys and their memory. */
#include "wp_once.h"

typedef struct Entry {
    WPList link; /* in order of beginning */
    char *key, *version;
    bool done;
    int64_t begun_us;
} Entry;

typedef struct Left {
    char *id;
    uint64_t incarnation;
    char **versions;
    uint64_t left_ms;
} Left;

/* How long keys of an agent that leaves may be under way. */
#define HANDOVER_MS 1000

struct WPOnce {
    WPOnceRules rules;
    int64_t window_us;
    GHashTable *keys; /* key -> Entry */
    WPList order;
    GArray *left;       /* of Left */
    GHashTable *handed; /* agent id -> incarnation (as uint64_t *) */
};

static void clear_left(gpointer p)
{
    Left *l = p;
    g_free(l->id);
    g_strfreev(l->versions);
}

static void free_entry(gpointer p)
{
    Entry *e = p;
    wp_list_remove(&e->link);
    g_free(e->key);
    g_free(e->version);
    g_free(e);
}

WPOnce *wp_once_new(const WPOnceRules *rules)
{
    WPOnce *o = g_new0(WPOnce, 1);
    o->rules = *rules;
    o->window_us = (int64_t)rules->window_s * WP_US_PER_S;
    o->keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    o->left = g_array_new(FALSE, FALSE, sizeof(Left));
    g_array_set_clear_func(o->left, clear_left);
    o->handed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    wp_list_init(&o->order);
    return o;
}

void wp_once_free(WPOnce *o)
{
    if (!o)
        return;
    g_hash_table_unref(o->keys);
    g_array_unref(o->left);
    g_hash_table_unref(o->handed);
    g_free(o);
}

static void expire(WPOnce *o, WPTime now)
{
    while (!wp_list_empty(&o->order)) {
        Entry *e = wp_list_item(o->order.next, Entry, link);
        if (now.mono_us - e->begun_us < o->window_us)
            return;
        g_hash_table_remove(o->keys, e->key);
    }
}

static void hold(WPOnce *o, WPTime now, const char *version, const char *key,
                 bool done)
{
    Entry *e = g_new0(Entry, 1);
    e->key = g_strdup(key);
    e->version = g_strdup(version);
    e->begun_us = now.mono_us;
    e->done = done;
    wp_list_append(&o->order, &e->link);
    g_hash_table_insert(o->keys, e->key, e);
}

WPCode wp_once_begin(WPOnce *o, WPTime now, const char *version,
                     const char *key, uint64_t issued_ms, uint64_t since_ms)
{
    expire(o, now);
    Entry *e = g_hash_table_lookup(o->keys, key);
    uint64_t now_ms = (uint64_t)now.wall_ms;
    uint64_t window_ms = (uint64_t)(o->window_us / WP_US_PER_MS);
    if (e)
        return e->done ? WP_ONCE_DONE : WP_ONCE_RUNNING;
    bool dated = issued_ms && issued_ms <= now_ms + o->rules.skew_ms;
    bool ours_all_along = since_ms + window_ms < now_ms;
    bool issued_since = dated && issued_ms > since_ms + o->rules.skew_ms;
    bool forgotten = dated && issued_ms + window_ms < now_ms;
    if (forgotten || (!ours_all_along && !issued_since))
        return WP_ONCE_UNKNOWN;
    hold(o, now, version, key, false);
    return WP_OK;
}

void wp_once_done(WPOnce *o, WPTime now, const char *key)
{
    Entry *e = g_hash_table_lookup(o->keys, key);
    if (!e)
        return;
    e->done = true;
    e->begun_us = now.mono_us;
    wp_list_remove(&e->link);
    wp_list_append(&o->order, &e->link);
}

void wp_once_forget(WPOnce *o, const char *key)
{
    g_hash_table_remove(o->keys, key);
}

unsigned wp_once_count(const WPOnce *o)
{
    return g_hash_table_size(o->keys);
}

static bool serves(char **versions, size_t n, const char *version)
{
    for (size_t i = 0; i < n; i++)
        if (!strcmp(versions[i], version))
            return true;
    return false;
}

static double score(const char *id, const char *key)
{
    return wp_rendezvous(wp_str(id), wp_hash(wp_str(key), 3), 1);
}

const WPMemberRow *wp_once_keeper(const WPMembers *t, const char *version,
                                  const char *key, uint64_t now_ms,
                                  uint32_t settle_ms)
{
    const WPMemberRow *best = NULL;
    double best_score = -1;
    bool best_settled = false;
    for (unsigned i = 0; i < wp_members_live_count(t); i++) {
        const WPMemberRow *r = wp_members_live_at(t, i);
        if (r->m->role != WP__ROLE__ROLE_AGENT || r->m->leaving ||
            !serves(r->m->versions, r->m->n_versions, version))
            continue;
        bool old = r->m->incarnation + settle_ms <= now_ms;
        double s = score(r->m->id, key);
        bool lower = old == best_settled ? s <= best_score : !old;
        if (best && lower)
            continue;
        best = r;
        best_score = s;
        best_settled = old;
    }
    return best;
}

bool wp_once_is_keeper(const WPOnce *o, const WPMembers *t,
                       const Wp__Member *self, const char *version,
                       const char *key, uint64_t now_ms)
{
    uint64_t times[2] = { now_ms, now_ms + o->rules.skew_ms };
    for (size_t i = 0; i < WP_COUNT(times); i++) {
        const WPMemberRow *r =
            wp_once_keeper(t, version, key, times[i], o->rules.settle_ms);
        if (!r || strcmp(r->m->id, self->id))
            return false;
    }
    return true;
}

void wp_once_each(const WPOnce *o,
                  void (*fn)(void *, const char *, const char *, bool),
                  void *arg)
{
    wp_list_each (it, &o->order) {
        const Entry *e = wp_list_item(it, Entry, link);
        fn(arg, e->version, e->key, e->done);
    }
}

void wp_once_take(WPOnce *o, WPTime now, const char *key, bool done)
{
    if (!g_hash_table_contains(o->keys, key))
        hold(o, now, "", key, done);
}

void wp_once_handed(WPOnce *o, const char *id, uint64_t incarnation)
{
    uint64_t *n = g_new(uint64_t, 1);
    *n = incarnation;
    g_hash_table_replace(o->handed, g_strdup(id), n);
}

static bool was_handed(const WPOnce *o, const Left *l)
{
    const uint64_t *n = g_hash_table_lookup(o->handed, l->id);
    return n && *n == l->incarnation;
}

static Left *find_left(const WPOnce *o, const char *id)
{
    for (guint i = 0; i < o->left->len; i++) {
        Left *l = &g_array_index(o->left, Left, i);
        if (!strcmp(l->id, id))
            return l;
    }
    return NULL;
}

static void forget_old(WPOnce *o, uint64_t now_ms)
{
    uint64_t window_ms = (uint64_t)(o->window_us / WP_US_PER_MS);
    for (guint i = o->left->len; i-- > 0;)
        if (g_array_index(o->left, Left, i).left_ms + window_ms < now_ms)
            g_array_remove_index_fast(o->left, i);
}

void wp_once_left(WPOnce *o, WPTime now, const Wp__Member *m)
{
    Left *old = find_left(o, m->id);
    if (old && old->incarnation >= m->incarnation)
        return;
    forget_old(o, (uint64_t)now.wall_ms);
    Left l = { g_strdup(m->id), m->incarnation,
               g_new0(char *, m->n_versions + 1), (uint64_t)now.wall_ms };
    for (size_t i = 0; i < m->n_versions; i++)
        l.versions[i] = g_strdup(m->versions[i]);
    g_array_append_val(o->left, l);
}

/* Whether the box that left came before `self` for this key. */
static bool came_before(const Left *l, const Wp__Member *self,
                        const char *version, const char *key)
{
    return serves(l->versions, g_strv_length(l->versions), version) &&
           score(l->id, key) > score(self->id, key);
}

bool wp_once_all_handed(const WPOnce *o, const WPMembers *t,
                        const Wp__Member *self, const char *version)
{
    unsigned others = 0;
    for (unsigned i = 0; i < wp_members_live_count(t); i++) {
        const Wp__Member *m = wp_members_live_at(t, i)->m;
        if (m->role != WP__ROLE__ROLE_AGENT || m->leaving ||
            !strcmp(m->id, self->id) ||
            !serves(m->versions, m->n_versions, version))
            continue;
        const uint64_t *n = g_hash_table_lookup(o->handed, m->id);
        if (!n || *n != m->incarnation)
            return false;
        others++;
    }
    /* Who knows of no other cannot tell that there is none. */
    return others > 0;
}

bool wp_once_pending(const WPOnce *o, const WPMembers *t, WPTime now,
                     const Wp__Member *self, const char *version,
                     const char *key)
{
    uint64_t settles_ms = self->incarnation + o->rules.settle_ms;
    uint64_t now_ms = (uint64_t)now.wall_ms;
    if (now_ms < settles_ms)
        return true;
    if (now_ms < settles_ms + HANDOVER_MS &&
        !wp_once_all_handed(o, t, self, version))
        return true;
    for (guint i = 0; i < o->left->len; i++) {
        const Left *l = &g_array_index(o->left, Left, i);
        bool young = (uint64_t)now.wall_ms < l->left_ms + HANDOVER_MS;
        if (young && !was_handed(o, l) && came_before(l, self, version, key))
            return true;
    }
    return false;
}

uint64_t wp_once_since(const WPOnce *o, const WPMembers *t,
                       const Wp__Member *self, const char *version,
                       const char *key)
{
    uint64_t since = wp_once_all_handed(o, t, self, version)
                         ? 0
                         : self->incarnation + o->rules.settle_ms;
    for (guint i = 0; i < o->left->len; i++) {
        const Left *l = &g_array_index(o->left, Left, i);
        if (!was_handed(o, l) && came_before(l, self, version, key))
            since = MAX(since, l->left_ms);
    }
    return since;
}
