/* Links between direct entries. */
#include "wp_clock.h"
#include "wp_code.h"
#include "wp_http.h"
#include "wp_pb.h"
#include "wp_peers_int.h"

enum {
    DIGEST_HURRY_MS = 250, /* the same, while a move runs */
    DIGEST_MS = 1000,      /* between digests that tell nothing new */
    PULL_AGAIN_MS = 200,   /* a pull without an answer */
    FEEDER_MS = 500,    /* a hop takes a tick and an answer, some 60 ms, and a
                           zone of 500 boxes has five */
    FAR_AGAIN_MS = 600, /* after word of whom of the own zone to ask */
    PULL_ALL_AGAIN_MS = 1500, /* the same of all entries: 0.6 MB for three
                                 thousand, over links of 10 Mbit/s */
};

static void member_free(void *p)
{
    WPPeerMember *m = p;
    g_free(m->id);
    g_free(m->addr);
    g_free(m->zone);
    g_free(m);
}

/* A digest with all that goes along; what it tells counts as told. */
static void fill_digest(WPPeers *p, Wp__MirrorDigest *d)
{
    wp__mirror_digest__init(d);
    d->complete = wp_mirror_complete_revision(p->mirror);
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
    WPPeerMember *m = g_hash_table_lookup(p->members, l->peer);
    if (m) {
        m->heard = true;
        m->blind = d->blind;
        m->knows = d->complete;
    }
    l->peer_knows = d->complete;
    l->peer_blind = d->blind;
    p->entries = MAX(p->entries, d->entries);
    p->ops->heard(p->arg, l->peer, d);
    if (d->complete <= wp_mirror_complete_revision(p->mirror))
        return;
    wp_lag_record_remote(&p->lag, now, d->complete);
    /* The newest that knows more is asked: an earlier one may have died. */
    p->behind_link = l->id;
}

static void answer_pull(WPPeers *p, WPLink *l, const Wp__MirrorPull *pull)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__MirrorDelta *d =
        pull->packs ? wp_mirror_delta_compressed(p->mirror, pull->since) : NULL;
    if (d && !pull->since &&
        !wp_full_sync_limit_take(&p->tell, wp_clock_now(0), d->packed.len)) {
        wp_mirror_delta_free(d);
        d = wp_mirror_delta_matching(p->mirror, WP_KEY_BOX, l->peer_zone);
    }
    if (!d)
        d = wp_mirror_delta(p->mirror, pull->since);
    f.body_case = WP__FRAME__BODY_MIRROR_DELTA;
    f.mirror_delta = d;
    wp_link_send(l, &f);
    wp_mirror_delta_free(d);
}

static void take_delta(WPPeers *p, WPLink *l, const Wp__MirrorDelta *d)
{
    Wp__MirrorDelta *whole =
        d->has_packed ? wp_mirror_delta_decompress(d) : NULL;
    p->pulls = 0;
    if (d->partial) {
        p->partial_us = wp_clock_now(0).mono_us;
        p->pulled_us = 0;
    }
    /* A delta that begins after what is known would leave a gap. */
    if (d->since > wp_mirror_complete_revision(p->mirror))
        goto end;
    if (!d->has_packed)
        p->ops->delta(p->arg, l->peer, d);
    else if (whole)
        p->ops->delta(p->arg, l->peer, whole);
    else
        p->ops->bad_delta(p->arg, l->peer);
end:
    wp_pb_free(whole);
}

static void on_frame(void *arg, WPLink *l, Wp__Frame *f)
{
    WPPeers *p = arg;
    switch (f->body_case) {
    case WP__FRAME__BODY_MIRROR_DIGEST:
        take_digest(p, l, f->mirror_digest);
        break;
    case WP__FRAME__BODY_MIRROR_PULL:
        answer_pull(p, l, f->mirror_pull);
        break;
    case WP__FRAME__BODY_MIRROR_DELTA:
        take_delta(p, l, f->mirror_delta);
        break;
    case WP__FRAME__BODY_ZONE_NEWS:
        wp_peers_take_news(p, l, wp_clock_now(0), f->zone_news);
        break;
    case WP__FRAME__BODY_SUSPECT_NEWS:
        p->ops->suspects(p->arg, l->peer, f->suspect_news);
        break;
    case WP__FRAME__BODY_NOTICE_NEWS:
        p->ops->notices(p->arg, l->peer, f->notice_news);
        break;
    case WP__FRAME__BODY_USAGE_NEWS:
        p->ops->usage(p->arg, g_strcmp0(l->peer_zone, p->self.zone) != 0,
                      f->usage_news);
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
    d.complete = wp_mirror_complete_revision(p->mirror);
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
    if (!wp_http_parse_target(s->peers, &p->host, &port)) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                    "peers: expected HOST:PORT");
        wp_peers_free(p);
        return NULL;
    }
    p->self.id = g_strdup(s->id); /* settings go when they are read anew */
    p->self.incarnation = (uint64_t)wp_clock_now(0).wall_ms;
    p->self.addr = p->host;
    p->self.port = port;
    p->self.zone = g_strdup(s->zone);
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
    g_free(p->self.id);
    g_free(p->self.zone);
    g_free(p);
}

void wp_peers_member(WPPeers *p, const char *id, const char *addr,
                     const char *zone)
{
    WPPeerMember *m = g_hash_table_lookup(p->members, id);
    bool same = m && !strcmp(m->addr, addr) && !strcmp(m->zone, zone);
    if (same || !strcmp(id, p->self.id))
        return;
    m = g_new0(WPPeerMember, 1);
    m->id = g_strdup(id);
    m->addr = g_strdup(addr);
    m->zone = g_strdup(zone);
    wp_peers_forget_passer(p, g_hash_table_lookup(p->members, id));
    g_hash_table_replace(p->members, m->id, m);
    p->changes++;
}

uint32_t wp_peers_changes(const WPPeers *p)
{
    return p->changes;
}

void wp_peers_each_member(WPPeers *p, WPPeersEach fn, void *arg)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPPeerMember *m = v;
        fn(arg, m->id, m->addr, m->zone);
    }
}

void wp_peers_announce(WPPeers *p)
{
    p->dirty = true;
}

typedef struct Find {
    const WPPeers *peers;
    uint64_t id;    /* of the link whose digest told more last */
    WPLink *link;   /* that one, else any */
    WPLink *near;   /* one in this zone that knows more */
    WPLink *feeder; /* the one that this box has its zone's news from, if it
                       knows more */
} Find;

static void find_link(void *arg, WPLink *l)
{
    Find *f = arg;
    const WPPeers *p = f->peers;
    if (!l->peer)
        return;
    if (l->id == f->id || !f->link)
        f->link = l;
    bool own = l->peer_zone && !strcmp(l->peer_zone, p->self.zone);
    if (!own || l->peer_knows <= wp_mirror_complete_revision(p->mirror))
        return;
    f->near = l;
    if (p->feeder && !strcmp(l->peer, p->feeder->id))
        f->feeder = l;
}

/* A box of this zone is asked first, then, as that one may have died, the one
   that told of more last. All entries come from another zone only where the
   store does not give them: bytes between zones are paid for, and 300 boxes
   that asked three made 1.8 MB a second at one of them. */
static WPLink *choose_link(WPPeers *p, WPTime now, bool feeder_only)
{
    Find f = { .peers = p, .id = p->behind_link };
    int64_t named_us = now.mono_us - p->partial_us;
    bool named =
        p->partial_us && named_us < (int64_t)FAR_AGAIN_MS * WP_US_PER_MS;
    wp_hub_each(p->hub, find_link, &f);
    if (feeder_only)
        return f.feeder;
    if (!wp_mirror_complete_revision(p->mirror) && (named || !p->pulls_far))
        return f.near;
    return f.near && !p->pulls ? f.near : f.link;
}

/* In a large zone a change goes the way of news: the box that learns it first
   is asked by a few, not by all at once, whom it would take a second to tell.
   Who has waited for long asks any. */
static bool waits_for_feeder(const WPPeers *p, int64_t behind_ms)
{
    return p->feeder && p->zone_is_large &&
           wp_mirror_complete_revision(p->mirror) && behind_ms < FEEDER_MS;
}

static void pull(WPPeers *p, WPTime now)
{
    uint64_t complete = wp_mirror_complete_revision(p->mirror);
    int64_t behind_ms = wp_peers_behind_ms(p, now);
    if (!behind_ms || behind_ms < p->patience_ms ||
        !wp_peers_is_due(&p->pulled_us, now,
                         complete ? PULL_AGAIN_MS : PULL_ALL_AGAIN_MS))
        return;
    WPLink *l = choose_link(p, now, waits_for_feeder(p, behind_ms));
    if (!l) {
        p->pulled_us = 0; /* as soon as there is one to ask */
        return;
    }
    p->pulls++;
    Wp__Frame f = WP__FRAME__INIT;
    Wp__MirrorPull ask = WP__MIRROR_PULL__INIT;
    ask.since = complete;
    ask.has_packs = ask.packs = 1;
    f.body_case = WP__FRAME__BODY_MIRROR_PULL;
    f.mirror_pull = &ask;
    wp_link_send(l, &f);
}

typedef struct SendTo {
    const char *to; /* NULL: all */
    Wp__Frame *frame;
} SendTo;

static void send_frame(void *arg, WPLink *l)
{
    const SendTo *s = arg;
    if (l->peer && (!s->to || !strcmp(s->to, l->peer)))
        wp_link_send(l, s->frame);
}

void wp_peers_send_suspects(WPPeers *p, Wp__SuspectNews *n)
{
    Wp__Frame f = WP__FRAME__INIT;
    SendTo s = { NULL, &f };
    f.body_case = WP__FRAME__BODY_SUSPECT_NEWS;
    f.suspect_news = n;
    wp_hub_each(p->hub, send_frame, &s);
}

void wp_peers_send_notices(WPPeers *p, const char *to, Wp__NoticeNews *n)
{
    Wp__Frame f = WP__FRAME__INIT;
    SendTo s = { to, &f };
    f.body_case = WP__FRAME__BODY_NOTICE_NEWS;
    f.notice_news = n;
    wp_hub_each(p->hub, send_frame, &s);
}

static void close_silent(void *arg, WPLink *l)
{
    const WPTime *now = arg;
    if (l->peer &&
        now->mono_us - l->heard_us > (int64_t)WP_PEERS_SILENT_MS * WP_US_PER_MS)
        wp_link_close(l);
}

void wp_peers_tick(WPPeers *p, WPTime now)
{
    wp_hub_each(p->hub, close_silent, &now);
    wp_peers_reach(p, now);
    pull(p, now);
    bool due = wp_peers_is_due(&p->digest_us, now,
                               p->hurry ? DIGEST_HURRY_MS : DIGEST_MS);
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
    wp_lag_record_local(&p->lag, wp_mirror_complete_revision(p->mirror));
    return wp_lag_ms(&p->lag, now);
}

void wp_peers_hurry(WPPeers *p, bool hurry)
{
    p->hurry = hurry;
}

void wp_peers_pull_far(WPPeers *p, bool far)
{
    p->pulls_far = far;
}

void wp_peers_reach_far(WPPeers *p, bool far)
{
    p->reaches_far = far;
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

const WPTraffic *wp_peers_traffic(const WPPeers *p)
{
    return wp_hub_traffic(p->hub);
}

unsigned wp_peers_linked(const WPPeers *p)
{
    return p->linked;
}

typedef struct Each {
    WPPeersEach fn;
    void *arg;
} Each;

static void each_link(void *arg, WPLink *l)
{
    const Each *e = arg;
    if (l->peer && l->peer_zone && l->addr)
        e->fn(e->arg, l->peer, l->addr, l->peer_zone);
}

void wp_peers_each(WPPeers *p, WPPeersEach fn, void *arg)
{
    Each e = { fn, arg };
    wp_hub_each(p->hub, each_link, &e);
}

static void note_sighted(void *arg, WPLink *l)
{
    bool *any = arg;
    *any = *any || (l->peer && !l->peer_blind);
}

bool wp_peers_may_tell(const WPPeers *p)
{
    bool any = false;
    wp_hub_each(p->hub, note_sighted, &any);
    return any;
}
