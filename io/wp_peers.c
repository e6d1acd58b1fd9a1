/* Links between direct entries. */
#include "wp_peers.h"
#include "wp_clock.h"
#include "wp_code.h"
#include "wp_http.h"
#include "wp_lag.h"
#include "wp_link.h"

enum {
    DIGEST_HURRY_MS = 250,    /* the same, while a move runs */
    DIGEST_MS = 1000,         /* between digests that tell nothing new */
    PULL_AGAIN_MS = 200,      /* a pull without an answer */
    PULL_ALL_AGAIN_MS = 1500, /* the same of all entries: 0.6 MB for three
                                 thousand, over links of 10 Mbit/s */
    SILENT_MS = 3000,         /* a link that is silent so long is closed */
    CONNECT_MS = 1000         /* between attempts to reach the same box */
};

enum {
    ZONE_LINKS_MOST = 10, /* a zone's boxes are all linked up to this many;
                             beyond, each reaches some at growing distances in
                             the order of ids, and news takes some hops */
    FAR_LINKS = 2,        /* to each other zone */
    FAR_BOXES = 3,        /* boxes of a zone that have them, the first by a hash
                             of ids among those that are linked: bytes between
                             zones are paid for */
    DIAL_LATER_MS = 2000  /* the box with the lower id dials; the other one
                             only if that does not come about */
};

enum {
    WATCHERS = 1,      /* boxes of a zone that watch the store for all */
    SPARE_WATCHERS = 2 /* and for each that the store has stopped answering: a
                          cut takes a box 2.5 s to notice, so two in a row
                          are longer than a change may take */
};

typedef struct Member {
    char *id, *addr, *zone;
    int64_t tried_us;
    int64_t unlinked_us; /* since when there is no link; 0: there is one */
    bool linked;
    bool blind;     /* the store does not answer it, by its last digest */
    uint64_t knows; /* all revisions up to this, by its last digest */
} Member;

struct WPPeers {
    WPHub *hub;
    Wp__Member self;
    char *host;
    WPMirror *mirror;
    const WPPeersOps *ops;
    void *arg;
    GHashTable *members; /* id -> Member */
    GPtrArray *seeds;    /* addresses */
    unsigned n_seeds;
    int64_t digest_us;
    uint64_t told;        /* revision of the last digest */
    bool dirty;           /* a digest is due now */
    bool hurry;           /* digests more often */
    uint32_t patience_ms; /* before the others are asked */
    WPLag lag;            /* revisions that others know and this box does not */
    int64_t pulled_us;
    unsigned pulls; /* in a row that brought nothing */
    uint64_t behind_link;
    uint32_t entries; /* the most that another box has told of */
    unsigned linked;
    int64_t seeds_us;
};

static void member_free(void *p)
{
    Member *m = p;
    g_free(m->id);
    g_free(m->addr);
    g_free(m->zone);
    g_free(m);
}

/* A digest with all that goes along; what it tells counts as told. */
static void fill_digest(WPPeers *p, Wp__MirrorDigest *d)
{
    wp__mirror_digest__init(d);
    d->complete = wp_mirror_complete(p->mirror);
    d->has_entries = 1;
    d->entries = wp_mirror_size(p->mirror);
    p->ops->fill(p->arg, d);
}

static void send_digest(WPLink *l, Wp__MirrorDigest *d)
{
    Wp__Frame f = WP__FRAME__INIT;
    f.body_case = WP__FRAME__BODY_MIRROR_DIGEST;
    f.mirror_digest = d;
    wp_link_send(l, &f);
}

static void send_to_each(void *arg, WPLink *l)
{
    if (l->peer)
        send_digest(l, arg);
}

static void take_digest(WPPeers *p, WPLink *l, const Wp__MirrorDigest *d)
{
    WPTime now = wp_clock_now(0);
    Member *m = g_hash_table_lookup(p->members, l->peer);
    if (m) {
        m->blind = d->blind;
        m->knows = d->complete;
    }
    p->entries = MAX(p->entries, d->entries);
    p->ops->heard(p->arg, l->peer, d);
    if (d->complete <= wp_mirror_complete(p->mirror))
        return;
    wp_lag_hear(&p->lag, now, d->complete);
    /* The newest that knows more is asked: an earlier one may have died. */
    p->behind_link = l->id;
}

static void answer_pull(WPPeers *p, WPLink *l, uint64_t since)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__MirrorDelta *d = wp_mirror_delta(p->mirror, since);
    f.body_case = WP__FRAME__BODY_MIRROR_DELTA;
    f.mirror_delta = d;
    wp_link_send(l, &f);
    wp_mirror_delta_free(d);
}

static void on_frame(void *arg, WPLink *l, Wp__Frame *f)
{
    WPPeers *p = arg;
    switch (f->body_case) {
    case WP__FRAME__BODY_MIRROR_DIGEST:
        take_digest(p, l, f->mirror_digest);
        break;
    case WP__FRAME__BODY_MIRROR_PULL:
        answer_pull(p, l, f->mirror_pull->since);
        break;
    case WP__FRAME__BODY_MIRROR_DELTA:
        /* A delta that begins after what is known would leave a gap. */
        if (f->mirror_delta->since <= wp_mirror_complete(p->mirror))
            p->ops->delta(p->arg, l->peer, f->mirror_delta);
        p->pulls = 0;
        break;
    default:
        break;
    }
}

static void on_up(void *arg, WPLink *l)
{
    WPPeers *p = arg;
    p->linked++;
    Wp__MirrorDigest d = WP__MIRROR_DIGEST__INIT;
    d.complete = wp_mirror_complete(p->mirror);
    d.has_entries = 1;
    d.entries = wp_mirror_size(p->mirror);
    p->ops->changed(p->arg, l->peer, true);
    send_digest(l, &d);
}

static void on_down(void *arg, WPLink *l)
{
    WPPeers *p = arg;
    if (!l->peer)
        return;
    p->linked--;
    p->ops->changed(p->arg, l->peer, false);
}

static void on_stamp(void *arg, Wp__Frame *f)
{
    (void)arg;
    (void)f;
}

static void on_bad(void *arg, WPLink *l)
{
    (void)arg;
    (void)l;
}

static const WPHubOps hub_ops = { .frame = on_frame,
                                  .up = on_up,
                                  .down = on_down,
                                  .stamp = on_stamp,
                                  .bad = on_bad };

WPPeers *wp_peers_new(struct event_base *base, const Wp__DirectSettings *s,
                      WPMirror *mirror, const WPPeersOps *ops, void *arg,
                      GError **error)
{
    WPPeers *p = g_new0(WPPeers, 1);
    uint16_t port;
    p->mirror = mirror;
    p->ops = ops;
    p->arg = arg;
    p->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
    p->seeds = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < s->n_seeds; i++)
        if (strcmp(s->seeds[i], s->peers))
            g_ptr_array_add(p->seeds, g_strdup(s->seeds[i]));
    p->n_seeds = p->seeds->len;
    wp__member__init(&p->self);
    if (!wp_http_target(s->peers, &p->host, &port)) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                    "peers: expected HOST:PORT");
        wp_peers_free(p);
        return NULL;
    }
    p->self.id = s->id;
    p->self.incarnation = (uint64_t)wp_clock_now(0).wall_ms;
    p->self.addr = p->host;
    p->self.port = port;
    p->self.zone = s->zone;
    p->hub = wp_hub_new(base, p->host, port, &p->self, &hub_ops, p, error);
    if (p->hub)
        return p;
    wp_peers_free(p);
    return NULL;
}

void wp_peers_free(WPPeers *p)
{
    if (!p)
        return;
    wp_hub_free(p->hub);
    g_hash_table_unref(p->members);
    g_ptr_array_unref(p->seeds);
    g_free(p->host);
    g_free(p);
}

void wp_peers_member(WPPeers *p, const char *id, const char *addr,
                     const char *zone)
{
    Member *m = g_hash_table_lookup(p->members, id);
    bool same = m && !strcmp(m->addr, addr) && !strcmp(m->zone, zone);
    if (same || !strcmp(id, p->self.id))
        return;
    m = g_new0(Member, 1);
    m->id = g_strdup(id);
    m->addr = g_strdup(addr);
    m->zone = g_strdup(zone);
    g_hash_table_replace(p->members, m->id, m);
}

void wp_peers_announce(WPPeers *p)
{
    p->dirty = true;
}

static bool is_due(int64_t *at_us, WPTime now, int64_t every_ms)
{
    if (*at_us && now.mono_us - *at_us < every_ms * WP_US_PER_MS)
        return false;
    *at_us = now.mono_us;
    return true;
}

static gint by_id(gconstpointer a, gconstpointer b)
{
    return strcmp((*(Member *const *)a)->id, (*(Member *const *)b)->id);
}

static void mark_linked(void *arg, WPLink *l)
{
    WPPeers *p = arg;
    Member *m = l->peer ? g_hash_table_lookup(p->members, l->peer) : NULL;
    if (m)
        m->linked = true;
}

/* Which members are linked now. */
static void mark_members(WPPeers *p, WPTime now)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v))
        ((Member *)v)->linked = false;
    wp_hub_each(p->hub, mark_linked, p);
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Member *m = v;
        if (m->linked)
            m->unlinked_us = 0;
        else if (!m->unlinked_us)
            m->unlinked_us = now.mono_us;
    }
}

static void reach(WPPeers *p, Member *m, WPTime now)
{
    int64_t since_us = now.mono_us - m->unlinked_us;
    bool mine = strcmp(p->self.id, m->id) < 0 ||
                since_us > (int64_t)DIAL_LATER_MS * WP_US_PER_MS;
    if (!m->linked && mine && is_due(&m->tried_us, now, CONNECT_MS))
        wp_hub_link(p->hub, m->addr);
}

static GPtrArray *of_zone(WPPeers *p, const char *zone)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer m;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &m))
        if (!strcmp(((Member *)m)->zone, zone))
            g_ptr_array_add(list, m);
    g_ptr_array_sort(list, by_id);
    return list;
}

static void reach_own_zone(WPPeers *p, WPTime now)
{
    g_autoptr(GPtrArray) list = of_zone(p, p->self.zone);
    guint self = 0;
    if (list->len <= ZONE_LINKS_MOST) {
        for (guint i = 0; i < list->len; i++)
            reach(p, g_ptr_array_index(list, i), now);
        return;
    }
    while (self < list->len &&
           strcmp(((Member *)list->pdata[self])->id, p->self.id) < 0)
        self++;
    for (guint step = 1; step <= list->len; step *= 2)
        reach(p, g_ptr_array_index(list, (self + step - 1) % list->len), now);
}

/* Some of another zone, different ones for each box. */
static void reach_zone(WPPeers *p, const char *zone, WPTime now)
{
    g_autoptr(GPtrArray) list = of_zone(p, zone);
    uint64_t key = wp_hash(wp_str(p->self.id), 0);
    for (guint n = 0; n < FAR_LINKS && list->len; n++) {
        guint best = 0;
        double best_score = -1;
        for (guint i = 0; i < list->len; i++) {
            const Member *m = g_ptr_array_index(list, i);
            double v = wp_rendezvous(wp_str(m->id), key, 1);
            if (v > best_score) {
                best = i;
                best_score = v;
            }
        }
        reach(p, g_ptr_array_index(list, best), now);
        g_ptr_array_remove_index(list, best);
    }
}

typedef bool (*MemberIs)(const WPPeers *p, const Member *m, WPTime now);

/* How many other boxes of this zone are so. */
static unsigned count_fellows(const WPPeers *p, WPTime now, MemberIs is)
{
    unsigned n = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v))
        n += !strcmp(((Member *)v)->zone, p->self.zone) && is(p, v, now);
    return n;
}

/* In the order by which boxes take on work for their zone. */
static bool is_before(const WPPeers *p, const Member *m)
{
    return wp_hash(wp_str(m->id), 0) < wp_hash(wp_str(p->self.id), 0);
}

/* A box that has just been heard of counts as one that lives. */
static bool lives_before(const WPPeers *p, const Member *m, WPTime now)
{
    int64_t silent_us = (int64_t)SILENT_MS * WP_US_PER_MS;
    bool lives = m->linked || now.mono_us - m->unlinked_us < silent_us;
    return lives && is_before(p, m);
}

static bool may_watch_before(const WPPeers *p, const Member *m, WPTime now)
{
    (void)now;
    return m->linked && !m->blind && is_before(p, m);
}

static bool is_turned_away(const WPPeers *p, const Member *m, WPTime now)
{
    (void)p;
    (void)now;
    return m->linked && m->blind;
}

/* Whether this box is to keep links to other zones. */
static bool has_far_links(const WPPeers *p, WPTime now)
{
    return count_fellows(p, now, lives_before) < FAR_BOXES;
}

static void reach_members(WPPeers *p, WPTime now)
{
    g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter it;
    gpointer v;
    mark_members(p, now);
    reach_own_zone(p, now);
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v))
        g_hash_table_add(zones, ((Member *)v)->zone);
    g_hash_table_iter_init(&it, zones);
    while (has_far_links(p, now) && g_hash_table_iter_next(&it, &v, NULL))
        if (strcmp(v, p->self.zone))
            reach_zone(p, v, now);
}

unsigned wp_peers_rank(const WPPeers *p)
{
    return count_fellows(p, (WPTime){ 0 }, may_watch_before);
}

bool wp_peers_on_duty(const WPPeers *p)
{
    /* Boxes that are linked and that the store does not answer. */
    unsigned away = count_fellows(p, (WPTime){ 0 }, is_turned_away);
    return wp_peers_rank(p) < WATCHERS + SPARE_WATCHERS * away;
}

static void reach_seeds(WPPeers *p, WPTime now)
{
    if (!is_due(&p->seeds_us, now, CONNECT_MS) || p->linked)
        return;
    for (guint i = 0; i < p->seeds->len; i++)
        wp_hub_link(p->hub, g_ptr_array_index(p->seeds, i));
}

typedef struct Find {
    const WPPeers *peers;
    uint64_t id;  /* of the link whose digest told more last */
    WPLink *link; /* that one, else any */
    WPLink *near; /* one in this zone that knows more */
} Find;

static void find_link(void *arg, WPLink *l)
{
    Find *f = arg;
    const WPPeers *p = f->peers;
    if (!l->peer)
        return;
    if (l->id == f->id || !f->link)
        f->link = l;
    const Member *m = g_hash_table_lookup(p->members, l->peer);
    if (m && !strcmp(m->zone, p->self.zone) &&
        m->knows > wp_mirror_complete(p->mirror))
        f->near = l;
}

/* A box of this zone is asked first, then, as that one may have died, the one
   that told of more last. */
static WPLink *choose_link(WPPeers *p)
{
    Find f = { p, p->behind_link, NULL, NULL };
    wp_hub_each(p->hub, find_link, &f);
    return f.near && !p->pulls ? f.near : f.link;
}

static void pull(WPPeers *p, WPTime now)
{
    uint64_t complete = wp_mirror_complete(p->mirror);
    int64_t behind_ms = wp_peers_behind_ms(p, now);
    if (!behind_ms || behind_ms < p->patience_ms ||
        !is_due(&p->pulled_us, now,
                complete ? PULL_AGAIN_MS : PULL_ALL_AGAIN_MS))
        return;
    WPLink *l = choose_link(p);
    if (!l)
        return;
    p->pulls++;
    Wp__Frame f = WP__FRAME__INIT;
    Wp__MirrorPull ask = WP__MIRROR_PULL__INIT;
    ask.since = complete;
    f.body_case = WP__FRAME__BODY_MIRROR_PULL;
    f.mirror_pull = &ask;
    wp_link_send(l, &f);
}

static void close_silent(void *arg, WPLink *l)
{
    const WPTime *now = arg;
    if (l->peer &&
        now->mono_us - l->heard_us > (int64_t)SILENT_MS * WP_US_PER_MS)
        wp_link_close(l);
}

void wp_peers_tick(WPPeers *p, WPTime now)
{
    wp_hub_each(p->hub, close_silent, &now);
    reach_members(p, now);
    reach_seeds(p, now);
    pull(p, now);
    bool due =
        is_due(&p->digest_us, now, p->hurry ? DIGEST_HURRY_MS : DIGEST_MS);
    if (!due && !p->dirty)
        return;
    p->dirty = false;
    p->digest_us = now.mono_us;
    Wp__MirrorDigest d;
    fill_digest(p, &d);
    wp_hub_each(p->hub, send_to_each, &d);
}

int64_t wp_peers_behind_ms(WPPeers *p, WPTime now)
{
    wp_lag_known(&p->lag, wp_mirror_complete(p->mirror));
    return wp_lag_ms(&p->lag, now);
}

void wp_peers_hurry(WPPeers *p, bool hurry)
{
    p->hurry = hurry;
}

void wp_peers_patience(WPPeers *p, uint32_t ms)
{
    p->patience_ms = ms;
}

uint32_t wp_peers_entries(const WPPeers *p)
{
    return p->entries;
}

unsigned wp_peers_known(const WPPeers *p)
{
    return 1 + MAX(g_hash_table_size(p->members), p->n_seeds);
}

unsigned wp_peers_linked(const WPPeers *p)
{
    return p->linked;
}
