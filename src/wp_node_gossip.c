/* Gossip between nodes: configuration changes and membership records are pushed
 * to random peers; a periodic exchange of digests repairs what was missed. */
#include "wp_node_int.h"

/* Takes over a peer's confirmation that `revision` was the newest one `age` ms
   ago, if that is the local revision as well. */
static void confirm_from_peer(WPNode *n, WPTime now, uint64_t revision,
                              protobuf_c_boolean has_age, uint64_t age)
{
    if (!has_age || revision > wp_config_revision(n->config))
        return;
    /* The peer's newest revision is the local one, so no change was missing
       here at that moment. */
    if (revision == wp_config_revision(n->config))
        wp_node_note_confirmed(n, now.mono_us - (int64_t)age * WP_US_PER_MS);
}

void wp_node_send_digest(WPNode *n, WPTime now, const char *addr, bool reply)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Digest d = WP__DIGEST__INIT;
    d.revision = wp_config_revision(n->config);
    d.members_hash = wp_members_hash(n->members);
    d.has_confirmed_age_ms = n->confirmed;
    d.confirmed_age_ms =
        n->confirmed ? (uint64_t)wp_node_config_age_ms(n, now) : 0;
    d.has_ratings_seq = 1;
    d.ratings_seq = wp_quality_seq(n->quality);
    d.has_reply = reply;
    d.reply = reply;
    f.body_case = WP__FRAME__BODY_DIGEST;
    f.digest = &d;
    wp_node_send(n, addr, &f);
}

/* Sends a peer the changes from revision `have` to the current one, or a full
   copy if the history does not reach back to `have`. */
static void send_config(WPNode *n, WPTime now, const char *addr, uint64_t have)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Deltas m = WP__DELTAS__INIT;
    GPtrArray *history = wp_config_deltas_since(n->config, have);
    m.has_confirmed_age_ms = n->confirmed;
    m.confirmed_age_ms =
        n->confirmed ? (uint64_t)wp_node_config_age_ms(n, now) : 0;
    if (history) {
        m.deltas = g_new0(Wp__Delta *, history->len);
        for (guint i = 0; i < history->len; i++) {
            gsize size;
            const uint8_t *data = g_bytes_get_data(history->pdata[i], &size);
            m.deltas[m.n_deltas++] = wp__delta__unpack(NULL, size, data);
        }
        g_ptr_array_unref(history);
    } else {
        m.full = wp_config_snapshot(n->config);
    }
    f.body_case = WP__FRAME__BODY_DELTAS;
    f.deltas = &m;
    wp_node_send(n, addr, &f);
    for (size_t i = 0; i < m.n_deltas; i++)
        wp_pb_free(m.deltas[i]);
    g_free(m.deltas);
    wp_pb_free(m.full);
}

/* Sends a change of the configuration to `fanout` random peers. `hops`: number
   of boxes that it has passed on its way here. */
static void push_delta(WPNode *n, WPTime now, const Wp__Delta *d, unsigned hops)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Deltas m = WP__DELTAS__INIT;
    Wp__Delta *one = (Wp__Delta *)d;
    m.n_deltas = 1;
    m.deltas = &one;
    m.has_hops = 1;
    m.hops = hops + 1;
    m.has_confirmed_age_ms = n->confirmed;
    m.confirmed_age_ms =
        n->confirmed ? (uint64_t)wp_node_config_age_ms(n, now) : 0;
    f.body_case = WP__FRAME__BODY_DELTAS;
    f.deltas = &m;
    for (uint32_t i = 0; i < n->settings->fanout; i++) {
        const char *peer = wp_node_random_peer(n);
        if (peer)
            wp_node_send(n, peer, &f);
    }
}

void wp_node_config_changed(WPNode *n, WPTime now, const Wp__Delta *d,
                            unsigned hops)
{
    wp_count(&n->counters, WP_C_CONFIG_CHANGES);
    wp_node_queue_action(n, WP_ACT_CONFIG);
    wp_events_add(n->events, now, WP_EVENT_CONFIG, NULL,
                  "revision %lu change %s hops %u",
                  (unsigned long)wp_config_revision(n->config),
                  d ? d->change_id : "full copy", hops);
    if (d)
        push_delta(n, now, d, hops);
}

void wp_node_pull(WPNode *n, const char *from, bool members)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Pull p = WP__PULL__INIT;
    p.have = wp_config_revision(n->config);
    p.has_config = 1;
    p.config = 1;
    p.has_members = members;
    p.members = members;
    f.body_case = WP__FRAME__BODY_PULL;
    f.pull = &p;
    wp_node_send(n, from, &f);
}

void wp_node_on_peer_revision(WPNode *n, WPTime now, const char *from,
                              uint64_t revision)
{
    if (revision <= wp_config_revision(n->config))
        return;
    if (now.mono_us < n->pulled_us + WP_PULL_MIN_INTERVAL_US && n->pulled_us)
        return;
    n->pulled_us = now.mono_us;
    wp_node_pull(n, from, false);
}

void wp_node_note_peer(WPNode *n, const char *from)
{
    uint64_t h = wp_hash(wp_str(from), 4);
    for (unsigned i = 0; i < n->peers_answered; i++)
        if (n->peer_hashes[i] == h)
            return;
    if (n->peers_answered < WP_START_PEERS)
        n->peer_hashes[n->peers_answered++] = h;
}

/* Applies changes, or a snapshot, of the configuration that a peer has sent;
   new ones are gossiped on. Pulls from the peer if changes in between are
   missing. */
static void on_deltas(WPNode *n, WPTime now, const char *from,
                      const Wp__Deltas *m)
{
    bool gap = false;
    for (size_t i = 0; i < m->n_deltas; i++) {
        WPApplyResult r = wp_config_apply(n->config, m->deltas[i]);
        if (r == WP_APPLY_DONE)
            wp_node_config_changed(n, now, m->deltas[i], m->hops);
        gap |= r == WP_APPLY_GAP;
    }
    if (m->full &&
        wp_config_apply_snapshot(n->config, m->full) == WP_APPLY_DONE)
        wp_node_config_changed(n, now, NULL, m->hops);
    if (gap)
        wp_node_pull(n, from, false);
    uint64_t peer_revision = m->full ? m->full->revision
                             : m->n_deltas
                                 ? m->deltas[m->n_deltas - 1]->revision
                                 : 0;
    if (peer_revision)
        confirm_from_peer(n, now, peer_revision, m->has_confirmed_age_ms,
                          m->confirmed_age_ms);
    wp_node_note_peer(n, from);
    wp_node_check_ready(n, now);
}

static void send_members(WPNode *n, const char *addr, Wp__Member **rows,
                         size_t count, uint32_t *buckets, size_t n_buckets)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Members m = WP__MEMBERS__INIT;
    m.members = rows;
    m.n_members = count;
    m.buckets = buckets;
    m.n_buckets = n_buckets;
    f.body_case = WP__FRAME__BODY_MEMBERS;
    f.members = &m;
    wp_node_send(n, addr, &f);
}

typedef struct Selection {
    const bool *wanted; /* indexed by bucket; NULL: all buckets */
    GPtrArray *out;
} Selection;

static void select_row(void *arg, const WPMemberRow *r)
{
    Selection *g = arg;
    if (!g->wanted || g->wanted[wp_member_bucket(r->m->id)])
        g_ptr_array_add(g->out, r->m);
}

static void send_bucket_members(WPNode *n, const char *addr, const bool *wanted,
                                uint32_t *buckets, size_t n_buckets)
{
    Selection g = { wanted, g_ptr_array_new() };
    wp_members_each(n->members, select_row, &g);
    send_members(n, addr, (Wp__Member **)g.out->pdata, g.out->len, buckets,
                 n_buckets);
    g_ptr_array_unref(g.out);
}

void wp_node_push_member(WPNode *n, const Wp__Member *m)
{
    Wp__Member *one = (Wp__Member *)m;
    for (uint32_t i = 0; i < n->settings->fanout; i++) {
        const char *peer = wp_node_random_peer(n);
        if (peer)
            send_members(n, peer, &one, 1, NULL, 0);
    }
}

/* Handles a record of this box that a peer sent. If it shows the box as gone,
   or in a higher incarnation, refutes it by announcing a still higher one. */
static void refute(WPNode *n, WPTime now, const Wp__Member *m)
{
    if (m->incarnation < n->self->incarnation)
        return;
    if (m->incarnation == n->self->incarnation && !m->gone)
        return;
    n->self->incarnation = m->incarnation + 1;
    n->self->seq++;
    wp_members_merge(n->members, n->self, now.mono_us);
    wp_node_push_member(n, n->self);
}

/* Merges the record of a box and gossips it on if it is new. Returns whether
   the membership has changed. A record of this box itself is refuted instead.
 */
static bool merge_member(WPNode *n, WPTime now, const Wp__Member *m)
{
    if (!strcmp(m->id, n->self->id)) {
        refute(n, now, m);
        return false;
    }
    if (!wp_members_merge(n->members, m, now.mono_us))
        return false;
    wp_events_add(n->events, now, WP_EVENT_MEMBER, NULL, "%s %s", m->id,
                  m->gone      ? "gone"
                  : m->leaving ? "leaving"
                               : "live");
    wp_node_push_member(n, m);
    return true;
}

/* Merges membership records from a peer, and sends it the records of the
   buckets that it has asked for. */
static void on_members(WPNode *n, WPTime now, const char *from,
                       const Wp__Members *m)
{
    bool changed = false;
    bool wanted[WP_MEMBER_BUCKETS] = { false };
    for (size_t i = 0; i < m->n_members; i++)
        changed |= merge_member(n, now, m->members[i]);
    if (changed)
        wp_node_queue_action(n, WP_ACT_MEMBERS);
    for (size_t i = 0; i < m->n_buckets; i++)
        wanted[m->buckets[i] % WP_MEMBER_BUCKETS] = true;
    if (m->n_buckets)
        send_bucket_members(n, from, wanted, NULL, 0);
}

static void send_bucket_hashes(WPNode *n, const char *addr)
{
    uint64_t hash[WP_MEMBER_BUCKETS];
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Buckets b = WP__BUCKETS__INIT;
    for (unsigned i = 0; i < WP_MEMBER_BUCKETS; i++)
        hash[i] = wp_members_bucket_hash(n->members, i);
    b.n_hash = WP_MEMBER_BUCKETS;
    b.hash = hash;
    f.body_case = WP__FRAME__BODY_BUCKETS;
    f.buckets = &b;
    wp_node_send(n, addr, &f);
}

/* Sends the peer the membership records of the buckets whose hashes differ, and
   asks for its own. */
static void on_buckets(WPNode *n, const char *from, const Wp__Buckets *b)
{
    bool wanted[WP_MEMBER_BUCKETS] = { false };
    uint32_t differ[WP_MEMBER_BUCKETS];
    size_t count = 0;
    for (unsigned i = 0; i < WP_MEMBER_BUCKETS && i < b->n_hash; i++) {
        if (b->hash[i] == wp_members_bucket_hash(n->members, i))
            continue;
        wanted[i] = true;
        differ[count++] = i;
    }
    if (count)
        send_bucket_members(n, from, wanted, differ, count);
}

/* Compares the digest of a peer with this box's state: notes a newer revision,
   sends the configuration to a peer that has an older one, answers with a
   digest of its own if this is no answer, and reconciles members and ratings
   that differ. */
static void on_digest(WPNode *n, WPTime now, const char *from,
                      const Wp__Digest *d)
{
    uint64_t own = wp_config_revision(n->config);
    confirm_from_peer(n, now, d->revision, d->has_confirmed_age_ms,
                      d->confirmed_age_ms);
    if (d->revision > own)
        wp_node_on_peer_revision(n, now, from, d->revision);
    if (d->revision < own)
        send_config(n, now, from, d->revision);
    if (!d->reply)
        wp_node_send_digest(n, now, from, true);
    else if (d->members_hash != wp_members_hash(n->members))
        send_bucket_hashes(n, from);
    if (d->ratings_seq > wp_quality_seq(n->quality) &&
        n->self->role == WP__ROLE__ROLE_ENTRY) {
        Wp__Frame f = WP__FRAME__INIT;
        Wp__Pull p = WP__PULL__INIT;
        p.has_ratings = 1;
        p.ratings = 1;
        f.body_case = WP__FRAME__BODY_PULL;
        f.pull = &p;
        wp_node_send(n, from, &f);
    }
    wp_node_note_peer(n, from);
    wp_node_check_ready(n, now);
}

/* Sends a peer the parts of the state that it asks for: configuration, members
   or sums of ratings. Without a newer configuration it gets a digest. */
static void on_pull(WPNode *n, WPTime now, const char *from, const Wp__Pull *p)
{
    if (p->config && p->have < wp_config_revision(n->config))
        send_config(n, now, from, p->have);
    else if (p->config)
        wp_node_send_digest(n, now, from, true);
    if (p->members)
        send_bucket_members(n, from, NULL, NULL, 0);
    if (!p->ratings)
        return;
    Wp__Frame f = WP__FRAME__INIT;
    f.body_case = WP__FRAME__BODY_RATINGS;
    f.ratings = wp_quality_sums(n->quality);
    wp_node_send(n, from, &f);
    wp_pb_free(f.ratings);
}

bool wp_node_on_frame(WPNode *n, WPTime now, const char *from,
                      const Wp__Frame *f)
{
    if (f->has_hlc)
        wp_events_merge_clock(n->events, f->hlc);
    switch (f->body_case) {
    case WP__FRAME__BODY_DIGEST:
        on_digest(n, now, from, f->digest);
        return true;
    case WP__FRAME__BODY_PULL:
        on_pull(n, now, from, f->pull);
        return true;
    case WP__FRAME__BODY_DELTAS:
        on_deltas(n, now, from, f->deltas);
        return true;
    case WP__FRAME__BODY_MEMBERS:
        on_members(n, now, from, f->members);
        return true;
    case WP__FRAME__BODY_BUCKETS:
        on_buckets(n, from, f->buckets);
        return true;
    case WP__FRAME__BODY_RATINGS:
        wp_node_on_ratings(n, now, f->ratings);
        return true;
    case WP__FRAME__BODY_HELLO:
        if (merge_member(n, now, f->hello->self))
            wp_node_queue_action(n, WP_ACT_MEMBERS);
        return false;
    default:
        return false;
    }
}
