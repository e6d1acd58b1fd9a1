/* The membership table. */
#include "wp_members.h"
#include "wp_pb.h"

struct WPMembers {
    GHashTable *rows; /* id -> WPMemberRow */
    GPtrArray *live;
    uint64_t bucket[WP_MEMBER_BUCKETS];
    uint64_t total; /* XOR of all buckets */
};

static void free_row(gpointer p)
{
    WPMemberRow *r = p;
    wp_pb_free(r->m);
    g_free(r->addr);
    g_free(r);
}

WPMembers *wp_members_new(void)
{
    WPMembers *t = g_new0(WPMembers, 1);
    t->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
    t->live = g_ptr_array_new();
    return t;
}

void wp_members_free(WPMembers *t)
{
    if (!t)
        return;
    g_hash_table_unref(t->rows);
    g_ptr_array_unref(t->live);
    g_free(t);
}

Wp__Member *wp_member_copy(const Wp__Member *m)
{
    return wp_pb_copy(&m->base);
}

unsigned wp_member_bucket(const char *id)
{
    return (unsigned)(wp_hash(wp_str(id), 1) % WP_MEMBER_BUCKETS);
}

static unsigned state_rank(const Wp__Member *m)
{
    return m->gone ? 2 : m->leaving ? 1 : 0;
}

static bool is_newer(const Wp__Member *a, const Wp__Member *b)
{
    if (a->incarnation != b->incarnation)
        return a->incarnation > b->incarnation;
    if (state_rank(a) != state_rank(b))
        return state_rank(a) > state_rank(b);
    return a->seq > b->seq;
}

static uint64_t record_hash(const Wp__Member *m)
{
    uint64_t h = wp_hash(wp_str(m->id), m->incarnation);
    uint64_t v[2] = { m->seq, state_rank(m) };
    return wp_hash(wp_strn((const char *)v, sizeof(v)), h);
}

static void remove_live(WPMembers *t, WPMemberRow *r)
{
    if (r->m->gone)
        return;
    WPMemberRow *last = t->live->pdata[t->live->len - 1];
    last->live_index = r->live_index;
    g_ptr_array_remove_index_fast(t->live, r->live_index);
}

static void add_live(WPMembers *t, WPMemberRow *r)
{
    if (r->m->gone)
        return;
    r->live_index = t->live->len;
    g_ptr_array_add(t->live, r);
}

bool wp_members_merge(WPMembers *t, const Wp__Member *m, int64_t now_us)
{
    WPMemberRow *r = g_hash_table_lookup(t->rows, m->id);
    unsigned b = wp_member_bucket(m->id);
    if (r && !is_newer(m, r->m))
        return false;
    if (r) {
        remove_live(t, r);
        t->bucket[b] ^= r->hash;
        t->total ^= r->hash;
        if (r->m->incarnation != m->incarnation)
            r->first_seen_us = now_us;
        g_hash_table_steal(t->rows, m->id);
        wp_pb_free(r->m);
        g_free(r->addr);
    } else {
        r = g_new0(WPMemberRow, 1);
        r->first_seen_us = now_us;
    }
    r->m = wp_member_copy(m);
    r->addr = g_strdup_printf("%s:%u", m->addr, m->port);
    r->hash = record_hash(m);
    t->bucket[b] ^= r->hash;
    t->total ^= r->hash;
    g_hash_table_insert(t->rows, r->m->id, r);
    add_live(t, r);
    return true;
}

const WPMemberRow *wp_members_get(const WPMembers *t, const char *id)
{
    return g_hash_table_lookup(t->rows, id);
}

unsigned wp_members_live_count(const WPMembers *t)
{
    return t->live->len;
}

const WPMemberRow *wp_members_live_at(const WPMembers *t, unsigned i)
{
    return t->live->pdata[i];
}

void wp_members_each(const WPMembers *t,
                     void (*fn)(void *, const WPMemberRow *), void *arg)
{
    GHashTableIter it;
    gpointer row;
    g_hash_table_iter_init(&it, t->rows);
    while (g_hash_table_iter_next(&it, NULL, &row))
        fn(arg, row);
}

uint64_t wp_members_hash(const WPMembers *t)
{
    return t->total;
}

uint64_t wp_members_bucket_hash(const WPMembers *t, unsigned bucket)
{
    return t->bucket[bucket];
}

unsigned wp_members_rank(const WPMembers *t, const Wp__Member *self,
                         unsigned role)
{
    uint64_t own = wp_hash(wp_str(self->id), 2);
    unsigned preceding = 0;
    for (guint i = 0; i < t->live->len; i++) {
        const Wp__Member *m = ((const WPMemberRow *)t->live->pdata[i])->m;
        if (m->leaving || (role && m->role != role) || !m->zone ||
            strcmp(m->zone, self->zone) || !strcmp(m->id, self->id))
            continue;
        preceding += wp_hash(wp_str(m->id), 2) < own;
    }
    return preceding;
}
