/* The half of a node that speaks with its peers: configuration by change,
 * boxes by record, and a periodic exchange that repairs what was missed. */
#include "wp_node_int.h"

static char *join_addr(const Wp__Member *m)
{
    return g_strdup_printf("%s:%u", m->addr, m->port);
}

int64_t wp_node_jitter(WPNode *n, int64_t span_us)
{
    return (int64_t)(g_rand_double(n->rand) * (double)span_us);
}

WPNode *wp_node_new(const Wp__NodeSettings *s, const Wp__Member *self,
                    uint32_t seed, WPTime now)
{
    WPNode *n = g_new0(WPNode, 1);
    n->settings = wp_pb_copy(&s->base);
    n->self = wp_member_copy(self);
    n->addr = join_addr(self);
    n->rand = g_rand_new_with_seed(seed);
    n->config = wp_config_new();
    n->members = wp_members_new();
    n->quality = wp_quality_new();
    n->events = wp_events_new(s->id);
    n->head_pause_us = WP_STORE_RETRY_US;
    wp_list_init(&n->actions);
    wp_members_take(n->members, n->self, now.mono_us);
    n->gossip_due_us = now.mono_us;
    n->started_us = now.mono_us;
    n->head_due_us = now.mono_us + (s->boxes ? WP_START_PATIENCE_US : 0);
    n->boxes_due_us = now.mono_us;
    n->ratings_due_us = now.mono_us;
    wp_events_add(n->events, now, WP_EVENT_STARTED, NULL, "incarnation %lu",
                  (unsigned long)self->incarnation);
    return n;
}

void wp_node_free(WPNode *n)
{
    WPAction *a;
    if (!n)
        return;
    while ((a = wp_node_next(n)))
        wp_action_free(a);
    wp_policy_unref(n->policy);
    wp_events_free(n->events);
    wp_quality_free(n->quality);
    wp_members_free(n->members);
    wp_config_free(n->config);
    g_rand_free(n->rand);
    g_free(n->addr);
    wp_pb_free(n->self);
    wp_pb_free(n->settings);
    g_free(n);
}

WPAction *wp_node_act(WPNode *n, WPActionKind kind)
{
    WPAction *a = g_new0(WPAction, 1);
    a->kind = kind;
    wp_list_append(&n->actions, &a->link);
    return a;
}

WPAction *wp_node_next(WPNode *n)
{
    if (wp_list_empty(&n->actions))
        return NULL;
    WPAction *a = wp_list_item(n->actions.next, WPAction, link);
    wp_list_remove(&a->link);
    return a;
}

void wp_action_free(WPAction *a)
{
    if (a->frame)
        g_byte_array_unref(a->frame);
    g_free(a->addr);
    g_free(a);
}

void wp_node_send(WPNode *n, const char *addr, Wp__Frame *f)
{
    WPAction *a = wp_node_act(n, WP_ACT_SEND);
    f->has_revision = 1;
    f->revision = wp_config_revision(n->config);
    a->addr = g_strdup(addr);
    a->frame = wp_pb_pack(&f->base);
    wp_count(&n->counters, WP_C_GOSSIP_SENT);
    n->counters.value[WP_C_GOSSIP_BYTES] += a->frame->len + 4;
}

/* A live peer other than this box, or a seed before any is known. */
const char *wp_node_random_peer(WPNode *n)
{
    unsigned live = wp_members_live(n->members);
    for (int i = 0; live > 1 && i < 8; i++) {
        unsigned k = (unsigned)g_rand_int_range(n->rand, 0, (gint)live);
        const WPMemberRow *r = wp_members_live_at(n->members, k);
        if (strcmp(r->m->id, n->self->id))
            return r->addr;
    }
    if (!n->settings->n_seeds)
        return NULL;
    gint k = g_rand_int_range(n->rand, 0, (gint)n->settings->n_seeds);
    const char *seed = n->settings->seeds[k];
    return strcmp(seed, n->addr) ? seed : NULL;
}

static int64_t age_ms(const WPNode *n, int64_t now_us)
{
    return n->confirmed ? (now_us - n->confirmed_us) / WP_US_PER_MS : INT64_MAX;
}

int64_t wp_node_age_ms(const WPNode *n, WPTime now)
{
    return age_ms(n, now.mono_us);
}

void wp_node_confirm(WPNode *n, int64_t at_us)
{
    if (n->confirmed && at_us <= n->confirmed_us)
        return;
    n->confirmed = true;
    n->confirmed_us = at_us;
}

/* Takes another box's word that its revision was the newest `age` ago. */
static void confirm_from(WPNode *n, WPTime now, uint64_t revision,
                         protobuf_c_boolean has_age, uint64_t age)
{
    if (!has_age || revision > wp_config_revision(n->config))
        return;
    /* Their newest is at most ours, so nothing was missed at that moment. */
    if (revision == wp_config_revision(n->config))
        wp_node_confirm(n, now.mono_us - (int64_t)age * WP_US_PER_MS);
}

static void send_digest(WPNode *n, WPTime now, const char *addr, bool reply)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Digest d = WP__DIGEST__INIT;
    d.revision = wp_config_revision(n->config);
    d.members_hash = wp_members_hash(n->members);
    d.has_confirmed_age_ms = n->confirmed;
    d.confirmed_age_ms = n->confirmed ? (uint64_t)age_ms(n, now.mono_us) : 0;
    d.has_ratings_seq = 1;
    d.ratings_seq = wp_quality_seq(n->quality);
    d.has_reply = reply;
    d.reply = reply;
    f.body_case = WP__FRAME__BODY_DIGEST;
    f.digest = &d;
    wp_node_send(n, addr, &f);
}

/* Sends what leads from `have` to the present revision. */
static void send_config(WPNode *n, WPTime now, const char *addr, uint64_t have)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Deltas m = WP__DELTAS__INIT;
    GPtrArray *past = wp_config_since(n->config, have);
    m.has_confirmed_age_ms = n->confirmed;
    m.confirmed_age_ms = n->confirmed ? (uint64_t)age_ms(n, now.mono_us) : 0;
    if (past) {
        m.deltas = g_new0(Wp__Delta *, past->len);
        for (guint i = 0; i < past->len; i++) {
            gsize size;
            const uint8_t *data = g_bytes_get_data(past->pdata[i], &size);
            m.deltas[m.n_deltas++] = wp__delta__unpack(NULL, size, data);
        }
        g_ptr_array_unref(past);
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
    m.confirmed_age_ms = n->confirmed ? (uint64_t)age_ms(n, now.mono_us) : 0;
    f.body_case = WP__FRAME__BODY_DELTAS;
    f.deltas = &m;
    for (uint32_t i = 0; i < n->settings->fanout; i++) {
        const char *peer = wp_node_random_peer(n);
        if (peer)
            wp_node_send(n, peer, &f);
    }
}

void wp_node_changed(WPNode *n, WPTime now, const Wp__Delta *d, unsigned hops)
{
    wp_count(&n->counters, WP_C_CONFIG_CHANGES);
    wp_node_act(n, WP_ACT_CONFIG);
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

void wp_node_saw(WPNode *n, WPTime now, const char *from, uint64_t revision)
{
    if (revision <= wp_config_revision(n->config))
        return;
    if (now.mono_us < n->pulled_us + WP_PULL_GAP_US && n->pulled_us)
        return;
    n->pulled_us = now.mono_us;
    wp_node_pull(n, from, false);
}

/* Counts different peers, up to as many as a start asks. */
void wp_node_heard(WPNode *n, const char *from)
{
    uint64_t h = wp_hash(wp_str(from), 4);
    for (unsigned i = 0; i < n->peers_heard; i++)
        if (n->heard[i] == h)
            return;
    if (n->peers_heard < WP_START_PEERS)
        n->heard[n->peers_heard++] = h;
}

static void on_deltas(WPNode *n, WPTime now, const char *from,
                      const Wp__Deltas *m)
{
    bool gap = false;
    for (size_t i = 0; i < m->n_deltas; i++) {
        WPApply r = wp_config_apply(n->config, m->deltas[i]);
        if (r == WP_APPLY_DONE)
            wp_node_changed(n, now, m->deltas[i], m->hops);
        gap |= r == WP_APPLY_GAP;
    }
    if (m->full && wp_config_replace(n->config, m->full) == WP_APPLY_DONE)
        wp_node_changed(n, now, NULL, m->hops);
    if (gap)
        wp_node_pull(n, from, false);
    uint64_t shown = m->full       ? m->full->revision
                     : m->n_deltas ? m->deltas[m->n_deltas - 1]->revision
                                   : 0;
    if (shown)
        confirm_from(n, now, shown, m->has_confirmed_age_ms,
                     m->confirmed_age_ms);
    wp_node_heard(n, from);
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

typedef struct Gather {
    const bool *wanted; /* by bucket; NULL: all */
    GPtrArray *out;
} Gather;

static void gather_row(void *arg, const WPMemberRow *r)
{
    Gather *g = arg;
    if (!g->wanted || g->wanted[wp_member_bucket(r->m->id)])
        g_ptr_array_add(g->out, r->m);
}

static void send_buckets_of(WPNode *n, const char *addr, const bool *wanted,
                            uint32_t *buckets, size_t n_buckets)
{
    Gather g = { wanted, g_ptr_array_new() };
    wp_members_each(n->members, gather_row, &g);
    send_members(n, addr, (Wp__Member **)g.out->pdata, g.out->len, buckets,
                 n_buckets);
    g_ptr_array_unref(g.out);
}

static void push_member(WPNode *n, const Wp__Member *m)
{
    Wp__Member *one = (Wp__Member *)m;
    for (uint32_t i = 0; i < n->settings->fanout; i++) {
        const char *peer = wp_node_random_peer(n);
        if (peer)
            send_members(n, peer, &one, 1, NULL, 0);
    }
}

/* Somebody holds this box for gone or for an older one: a new incarnation
   puts that right. */
static void refute(WPNode *n, WPTime now, const Wp__Member *m)
{
    if (m->incarnation < n->self->incarnation)
        return;
    if (m->incarnation == n->self->incarnation && !m->gone)
        return;
    n->self->incarnation = m->incarnation + 1;
    n->self->seq++;
    wp_members_take(n->members, n->self, now.mono_us);
    push_member(n, n->self);
}

static bool take_member(WPNode *n, WPTime now, const Wp__Member *m)
{
    if (!strcmp(m->id, n->self->id)) {
        refute(n, now, m);
        return false;
    }
    if (!wp_members_take(n->members, m, now.mono_us))
        return false;
    wp_events_add(n->events, now, WP_EVENT_MEMBER, NULL, "%s %s", m->id,
                  m->gone      ? "gone"
                  : m->leaving ? "leaving"
                               : "live");
    push_member(n, m);
    return true;
}

static void on_members(WPNode *n, WPTime now, const char *from,
                       const Wp__Members *m)
{
    bool news = false;
    bool wanted[WP_MEMBER_BUCKETS] = { false };
    for (size_t i = 0; i < m->n_members; i++)
        news |= take_member(n, now, m->members[i]);
    if (news)
        wp_node_act(n, WP_ACT_MEMBERS);
    for (size_t i = 0; i < m->n_buckets; i++)
        wanted[m->buckets[i] % WP_MEMBER_BUCKETS] = true;
    if (m->n_buckets)
        send_buckets_of(n, from, wanted, NULL, 0);
}

static void send_buckets(WPNode *n, const char *addr)
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
        send_buckets_of(n, from, wanted, differ, count);
}

static void on_digest(WPNode *n, WPTime now, const char *from,
                      const Wp__Digest *d)
{
    uint64_t own = wp_config_revision(n->config);
    confirm_from(n, now, d->revision, d->has_confirmed_age_ms,
                 d->confirmed_age_ms);
    if (d->revision > own)
        wp_node_saw(n, now, from, d->revision);
    if (d->revision < own)
        send_config(n, now, from, d->revision);
    if (!d->reply)
        send_digest(n, now, from, true);
    else if (d->members_hash != wp_members_hash(n->members))
        send_buckets(n, from);
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
    wp_node_heard(n, from);
    wp_node_check_ready(n, now);
}

static void on_pull(WPNode *n, WPTime now, const char *from, const Wp__Pull *p)
{
    if (p->config && p->have < wp_config_revision(n->config))
        send_config(n, now, from, p->have);
    else if (p->config)
        send_digest(n, now, from, true);
    if (p->members)
        send_buckets_of(n, from, NULL, NULL, 0);
    if (!p->ratings)
        return;
    Wp__Frame f = WP__FRAME__INIT;
    f.body_case = WP__FRAME__BODY_RATINGS;
    f.ratings = wp_quality_sums(n->quality);
    wp_node_send(n, from, &f);
    wp_pb_free(f.ratings);
}

bool wp_node_frame(WPNode *n, WPTime now, const char *from, const Wp__Frame *f)
{
    if (f->has_hlc)
        wp_events_seen(n->events, f->hlc);
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
        wp_node_ratings(n, now, f->ratings);
        return true;
    case WP__FRAME__BODY_HELLO:
        if (take_member(n, now, f->hello->self))
            wp_node_act(n, WP_ACT_MEMBERS);
        return false;
    default:
        return false;
    }
}

void wp_node_ratings(WPNode *n, WPTime now, const Wp__Ratings *r)
{
    (void)now;
    if (r->seq <= wp_quality_seq(n->quality))
        return;
    wp_quality_take(n->quality, r, n->policy);
    wp_node_act(n, WP_ACT_QUALITY);
}

void wp_node_tick(WPNode *n, WPTime now)
{
    if (now.mono_us >= n->gossip_due_us) {
        int64_t span = (int64_t)n->settings->gossip_ms * WP_US_PER_MS;
        const char *peer = wp_node_random_peer(n);
        n->gossip_due_us = now.mono_us + span / 2 + wp_node_jitter(n, span);
        if (peer)
            send_digest(n, now, peer, false);
    }
    wp_node_store_tick(n, now);
}

static void spread_self(WPNode *n, WPTime now)
{
    n->self->seq++;
    wp_members_take(n->members, n->self, now.mono_us);
    push_member(n, n->self);
}

void wp_node_leave(WPNode *n, WPTime now)
{
    n->self->has_leaving = 1;
    n->self->leaving = 1;
    wp_events_add(n->events, now, WP_EVENT_LEAVING, NULL, "planned stop");
    spread_self(n, now);
}

void wp_node_serve(WPNode *n, WPTime now, char **versions)
{
    for (size_t i = 0; i < n->self->n_versions; i++)
        free(n->self->versions[i]);
    free(n->self->versions);
    n->self->n_versions = g_strv_length(versions);
    n->self->versions = calloc(n->self->n_versions + 1, sizeof(char *));
    g_assert(n->self->versions);
    for (size_t i = 0; i < n->self->n_versions; i++)
        n->self->versions[i] = strdup(versions[i]);
    spread_self(n, now);
}

bool wp_node_ready(const WPNode *n)
{
    return n->ready;
}

bool wp_node_store_up(const WPNode *n)
{
    return n->store_up;
}

const WPConfig *wp_node_config(const WPNode *n)
{
    return n->config;
}

const WPMembers *wp_node_members(const WPNode *n)
{
    return n->members;
}

const Wp__Member *wp_node_self(const WPNode *n)
{
    return n->self;
}

WPQuality *wp_node_quality(WPNode *n)
{
    return n->quality;
}

WPCounters *wp_node_counters(WPNode *n)
{
    return &n->counters;
}

WPEvents *wp_node_events(WPNode *n)
{
    return n->events;
}

void wp_node_set_policy(WPNode *n, WPPolicy *p)
{
    wp_policy_unref(n->policy);
    n->policy = wp_policy_ref(p);
}

static void update_ranks(WPNode *n)
{
    uint64_t hash = wp_members_hash(n->members);
    if (n->rank_hash == hash)
        return;
    n->rank_hash = hash;
    n->rank_any = wp_members_rank(n->members, n->self, 0);
    n->rank_entry = wp_members_rank(n->members, n->self, WP__ROLE__ROLE_ENTRY);
}

bool wp_node_on_duty(WPNode *n, unsigned most)
{
    update_ranks(n);
    return !n->self->leaving && n->rank_any < most;
}

bool wp_node_entry_on_duty(WPNode *n, unsigned most)
{
    update_ranks(n);
    return !n->self->leaving && n->rank_entry < most;
}
