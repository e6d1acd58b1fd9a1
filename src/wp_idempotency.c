/* Owners of idempotency keys, and the keys that an owner remembers. */
#include "wp_idempotency.h"

typedef struct Key {
    WPList link; /* in the order of begun_us */
    char *key, *version;
    bool done;
    int64_t begun_us;
} Key;

/* An agent that is draining or gone. */
typedef struct Departed {
    char *id;
    uint64_t incarnation;
    char **versions;
    uint64_t departed_ms;
} Departed;

/* How long the keys that an agent hands over may take to arrive. */
#define HANDOVER_MS 1000

struct WPIdempotency {
    WPIdempotencyRules rules;
    int64_t window_us;
    GHashTable *keys; /* key -> Key */
    WPList order;
    GArray *departed;      /* of Departed */
    GHashTable *handovers; /* agent id -> incarnation (uint64_t *) that has
                              handed its keys over */
};

static void clear_departed(gpointer p)
{
    Departed *d = p;
    g_free(d->id);
    g_strfreev(d->versions);
}

static void free_key(gpointer p)
{
    Key *e = p;
    wp_list_remove(&e->link);
    g_free(e->key);
    g_free(e->version);
    g_free(e);
}

WPIdempotency *wp_idempotency_new(const WPIdempotencyRules *rules)
{
    WPIdempotency *o = g_new0(WPIdempotency, 1);
    o->rules = *rules;
    o->window_us = (int64_t)rules->window_s * WP_US_PER_S;
    o->keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_key);
    o->departed = g_array_new(FALSE, FALSE, sizeof(Departed));
    g_array_set_clear_func(o->departed, clear_departed);
    o->handovers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    wp_list_init(&o->order);
    return o;
}

void wp_idempotency_free(WPIdempotency *o)
{
    if (!o)
        return;
    g_hash_table_unref(o->keys);
    g_array_unref(o->departed);
    g_hash_table_unref(o->handovers);
    g_free(o);
}

static void expire(WPIdempotency *o, WPTime now)
{
    while (!wp_list_empty(&o->order)) {
        Key *e = wp_list_item(o->order.next, Key, link);
        if (now.mono_us - e->begun_us < o->window_us)
            return;
        g_hash_table_remove(o->keys, e->key);
    }
}

static void add_key(WPIdempotency *o, WPTime now, const char *version,
                    const char *key, bool done)
{
    Key *e = g_new0(Key, 1);
    e->key = g_strdup(key);
    e->version = g_strdup(version);
    e->begun_us = now.mono_us;
    e->done = done;
    wp_list_append(&o->order, &e->link);
    g_hash_table_insert(o->keys, e->key, e);
}

WPCode wp_idempotency_begin(WPIdempotency *o, WPTime now, const char *version,
                            const char *key, uint64_t issued_ms,
                            uint64_t since_ms)
{
    expire(o, now);
    Key *e = g_hash_table_lookup(o->keys, key);
    uint64_t now_ms = (uint64_t)now.wall_ms;
    uint64_t window_ms = (uint64_t)(o->window_us / WP_US_PER_MS);
    if (e)
        return e->done ? WP_ONCE_DONE : WP_ONCE_RUNNING;
    bool dated = issued_ms && issued_ms <= now_ms + o->rules.skew_ms;
    bool owned_for_window = since_ms + window_ms < now_ms;
    bool issued_since = dated && issued_ms > since_ms + o->rules.skew_ms;
    bool expired = dated && issued_ms + window_ms < now_ms;
    if (expired || (!owned_for_window && !issued_since))
        return WP_ONCE_UNKNOWN;
    add_key(o, now, version, key, false);
    return WP_OK;
}

void wp_idempotency_done(WPIdempotency *o, WPTime now, const char *key)
{
    Key *e = g_hash_table_lookup(o->keys, key);
    if (!e)
        return;
    e->done = true;
    e->begun_us = now.mono_us;
    wp_list_remove(&e->link);
    wp_list_append(&o->order, &e->link);
}

void wp_idempotency_forget(WPIdempotency *o, const char *key)
{
    g_hash_table_remove(o->keys, key);
}

unsigned wp_idempotency_count(const WPIdempotency *o)
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

const WPMemberRow *wp_idempotency_owner(const WPMembers *t, const char *version,
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
        bool settled = r->m->incarnation + settle_ms <= now_ms;
        double s = score(r->m->id, key);
        bool lower = settled == best_settled ? s <= best_score : !settled;
        if (best && lower)
            continue;
        best = r;
        best_score = s;
        best_settled = settled;
    }
    return best;
}

bool wp_idempotency_is_owner(const WPIdempotency *o, const WPMembers *t,
                             const Wp__Member *self, const char *version,
                             const char *key, uint64_t now_ms)
{
    uint64_t times[2] = { now_ms, now_ms + o->rules.skew_ms };
    for (size_t i = 0; i < WP_COUNT(times); i++) {
        const WPMemberRow *r =
            wp_idempotency_owner(t, version, key, times[i], o->rules.settle_ms);
        if (!r || strcmp(r->m->id, self->id))
            return false;
    }
    return true;
}

void wp_idempotency_each(const WPIdempotency *o,
                         void (*fn)(void *, const char *, const char *, bool),
                         void *arg)
{
    wp_list_each (it, &o->order) {
        const Key *e = wp_list_item(it, Key, link);
        fn(arg, e->version, e->key, e->done);
    }
}

void wp_idempotency_add_handed_over(WPIdempotency *o, WPTime now,
                                    const char *version, const char *key,
                                    bool done)
{
    if (!g_hash_table_contains(o->keys, key))
        add_key(o, now, version, key, done);
}

void wp_idempotency_note_handover(WPIdempotency *o, const char *id,
                                  uint64_t incarnation)
{
    uint64_t *n = g_new(uint64_t, 1);
    *n = incarnation;
    g_hash_table_replace(o->handovers, g_strdup(id), n);
}

static bool handed_over(const WPIdempotency *o, const Departed *d)
{
    const uint64_t *n = g_hash_table_lookup(o->handovers, d->id);
    return n && *n == d->incarnation;
}

static Departed *find_departed(const WPIdempotency *o, const char *id)
{
    for (guint i = 0; i < o->departed->len; i++) {
        Departed *d = &g_array_index(o->departed, Departed, i);
        if (!strcmp(d->id, id))
            return d;
    }
    return NULL;
}

static void expire_departed(WPIdempotency *o, uint64_t now_ms)
{
    uint64_t window_ms = (uint64_t)(o->window_us / WP_US_PER_MS);
    for (guint i = o->departed->len; i-- > 0;)
        if (g_array_index(o->departed, Departed, i).departed_ms + window_ms <
            now_ms)
            g_array_remove_index_fast(o->departed, i);
}

void wp_idempotency_note_departed(WPIdempotency *o, WPTime now,
                                  const Wp__Member *m)
{
    Departed *old = find_departed(o, m->id);
    if (old && old->incarnation >= m->incarnation)
        return;
    expire_departed(o, (uint64_t)now.wall_ms);
    Departed d = { g_strdup(m->id), m->incarnation,
                   g_new0(char *, m->n_versions + 1), (uint64_t)now.wall_ms };
    for (size_t i = 0; i < m->n_versions; i++)
        d.versions[i] = g_strdup(m->versions[i]);
    g_array_append_val(o->departed, d);
}

/* Whether the departed agent ranked before `self` as the owner of this key. */
static bool ranked_before(const Departed *d, const Wp__Member *self,
                          const char *version, const char *key)
{
    return serves(d->versions, g_strv_length(d->versions), version) &&
           score(d->id, key) > score(self->id, key);
}

bool wp_idempotency_all_handed_over(const WPIdempotency *o, const WPMembers *t,
                                    const Wp__Member *self, const char *version)
{
    unsigned others = 0;
    for (unsigned i = 0; i < wp_members_live_count(t); i++) {
        const Wp__Member *m = wp_members_live_at(t, i)->m;
        if (m->role != WP__ROLE__ROLE_AGENT || m->leaving ||
            !strcmp(m->id, self->id) ||
            !serves(m->versions, m->n_versions, version))
            continue;
        const uint64_t *n = g_hash_table_lookup(o->handovers, m->id);
        if (!n || *n != m->incarnation)
            return false;
        others++;
    }
    /* With no other agent in the table it is not certain that none exists. */
    return others > 0;
}

bool wp_idempotency_handover_pending(const WPIdempotency *o, const WPMembers *t,
                                     WPTime now, const Wp__Member *self,
                                     const char *version, const char *key)
{
    uint64_t settles_ms = self->incarnation + o->rules.settle_ms;
    uint64_t now_ms = (uint64_t)now.wall_ms;
    if (now_ms < settles_ms)
        return true;
    if (now_ms < settles_ms + HANDOVER_MS &&
        !wp_idempotency_all_handed_over(o, t, self, version))
        return true;
    for (guint i = 0; i < o->departed->len; i++) {
        const Departed *d = &g_array_index(o->departed, Departed, i);
        bool recent = (uint64_t)now.wall_ms < d->departed_ms + HANDOVER_MS;
        if (recent && !handed_over(o, d) &&
            ranked_before(d, self, version, key))
            return true;
    }
    return false;
}

uint64_t wp_idempotency_owner_since(const WPIdempotency *o, const WPMembers *t,
                                    const Wp__Member *self, const char *version,
                                    const char *key)
{
    uint64_t since = wp_idempotency_all_handed_over(o, t, self, version)
                         ? 0
                         : self->incarnation + o->rules.settle_ms;
    for (guint i = 0; i < o->departed->len; i++) {
        const Departed *d = &g_array_index(o->departed, Departed, i);
        if (!handed_over(o, d) && ranked_before(d, self, version, key))
            since = MAX(since, d->departed_ms);
    }
    return since;
}
