/* Keepers of idempotency keys and their memory. */
#include "wp_once.h"

typedef struct Entry {
    WPList link; /* in order of beginning */
    char *key;
    bool done;
    int64_t begun_us;
} Entry;

typedef struct Left {
    char *id;
    char **versions;
    uint64_t left_ms;
} Left;

struct WPOnce {
    WPOnceRules rules;
    int64_t window_us;
    GHashTable *keys; /* key -> Entry */
    WPList order;
    GArray *left; /* of Left */
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
    wp_list_init(&o->order);
    return o;
}

void wp_once_free(WPOnce *o)
{
    if (!o)
        return;
    g_hash_table_unref(o->keys);
    g_array_unref(o->left);
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

WPCode wp_once_begin(WPOnce *o, WPTime now, const char *key, uint64_t issued_ms,
                     uint64_t since_ms)
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
    e = g_new0(Entry, 1);
    e->key = g_strdup(key);
    e->begun_us = now.mono_us;
    wp_list_append(&o->order, &e->link);
    g_hash_table_insert(o->keys, e->key, e);
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
    for (unsigned i = 0; i < wp_members_live(t); i++) {
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

void wp_once_left(WPOnce *o, WPTime now, const Wp__Member *m)
{
    uint64_t window_ms = (uint64_t)(o->window_us / WP_US_PER_MS);
    for (guint i = o->left->len; i-- > 0;) {
        const Left *l = &g_array_index(o->left, Left, i);
        if (!strcmp(l->id, m->id))
            return;
        if (l->left_ms + window_ms < (uint64_t)now.wall_ms)
            g_array_remove_index_fast(o->left, i);
    }
    Left l = { g_strdup(m->id), g_new0(char *, m->n_versions + 1),
               (uint64_t)now.wall_ms };
    for (size_t i = 0; i < m->n_versions; i++)
        l.versions[i] = g_strdup(m->versions[i]);
    g_array_append_val(o->left, l);
}

uint64_t wp_once_since(const WPOnce *o, const Wp__Member *self,
                       const char *version, const char *key)
{
    uint64_t since = self->incarnation + o->rules.settle_ms;
    double own = score(self->id, key);
    for (guint i = 0; i < o->left->len; i++) {
        const Left *l = &g_array_index(o->left, Left, i);
        if (serves(l->versions, g_strv_length(l->versions), version) &&
            score(l->id, key) > own)
            since = MAX(since, l->left_ms);
    }
    return since;
}
