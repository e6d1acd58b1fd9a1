/* Exchange of digests and deltas between the boxes of direct mode. */
#include "wp_clock.h"
#include "wp_code.h"
#include "wp_http.h"
#include "wp_pb.h"
#include "wp_peers_int.h"

enum {
    DIGEST_FAST_MS = 250, /* between digests while a shift runs */
    /* between digests otherwise, if nothing has changed */
    DIGEST_MS = 1000,
    PULL_RETRY_MS = 200, /* until a pull without an answer is repeated */
    /* a hop takes a tick and an answer, some 60 ms, and a zone of 500 boxes
       has five hops */
    PARENT_WAIT_MS = 500,
    /* time after a box has named others of the own zone to ask, during which
       there is no full pull from other zones */
    REMOTE_RETRY_MS = 600,
    /* PULL_RETRY_MS for a pull of all entries: 0.6 MB for three thousand,
       over links of 10 Mbit/s */
    FULL_PULL_RETRY_MS = 1500,
};

static void member_free(void *p)
{
    WPPeerMember *m = p;
    g_free(m->id);
    g_free(m->addr);
    g_free(m->zone);
    g_free(m);
}

/* Fills a digest with all that goes along with it; the updates in it are
   then marked as sent. */
static void fill_digest(WPPeers *p, Wp__MirrorDigest *d)
{
    wp__mirror_digest__init(d);
    wp_mirror_digest_set_complete(d, wp_mirror_complete_revision(p->mirror));
    d->has_entries = 1;
    d->entries = wp_mirror_size(p->mirror);
    p->ops->fill_digest(p->arg, d);
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

/* The era of the store that the local copy is of. */
static uint64_t own_era(const WPPeers *p)
{
    return wp_revision_era(wp_mirror_complete_revision(p->mirror));
}

/* Notes the revision and state of the store that a peer has sent. If its
   revision is newer than this box's, the lag begins and this link is the one to
   pull from. */
static void handle_digest(WPPeers *p, WPLink *l, Wp__MirrorDigest *d)
{
    WPTime now = wp_clock_now(0);
    wp_mirror_digest_join(d, own_era(p));
    WPPeerMember *m = g_hash_table_lookup(p->members, l->peer);
    if (m) {
        m->digest_seen = true;
        m->store_unavailable = d->blind;
        m->revision = d->complete;
    }
    l->peer_revision = d->complete;
    l->peer_store_unavailable = d->blind;
    p->max_entries = MAX(p->max_entries, d->entries);
    p->ops->digest_received(p->arg, l->peer, d);
    if (d->complete <= wp_mirror_complete_revision(p->mirror))
        return;
    wp_lag_record_remote(&p->lag, now, d->complete);
    /* The link with the latest such digest is asked: an earlier peer may
       have died since. */
    p->ahead_link_id = l->id;
}

/* Sends the entries changed since the revision of the pull. In place of all
   entries, beyond the limit of full synchronizations, it sends only the records
   of the boxes in the peer's zone, which it may ask instead. */
static void answer_pull(WPPeers *p, WPLink *l, Wp__MirrorPull *pull)
{
    Wp__Frame f = WP__FRAME__INIT;
    wp_mirror_pull_join(pull, own_era(p));
    Wp__MirrorDelta *d =
        pull->packs ? wp_mirror_delta_compressed(p->mirror, pull->since) : NULL;
    if (d && !d->since &&
        !wp_full_sync_limit_take(&p->full_sync_limit, wp_clock_now(0),
                                 d->packed.len)) {
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

/* Passes on the entries that a peer has sent, unless they begin after this
   box's revision. After a partial answer the next pull may follow at once. */
static void handle_delta(WPPeers *p, WPLink *l, Wp__MirrorDelta *d)
{
    Wp__MirrorDelta *decompressed =
        d->has_packed ? wp_mirror_delta_decompress(d) : NULL;
    wp_mirror_delta_join(d, own_era(p));
    if (decompressed)
        wp_mirror_delta_join(decompressed, own_era(p));
    p->unanswered_pulls = 0;
    if (d->partial) {
        p->partial_us = wp_clock_now(0).mono_us;
        p->pulled_us = 0;
    }
    /* A delta that starts after the local revision would leave a gap. */
    if (d->since > wp_mirror_complete_revision(p->mirror))
        goto end;
    if (!d->has_packed)
        p->ops->delta(p->arg, l->peer, d);
    else if (decompressed)
        p->ops->delta(p->arg, l->peer, decompressed);
    else
        p->ops->bad_delta(p->arg, l->peer);
end:
    wp_pb_free(decompressed);
}

/* Handles a frame of another box: the store's digests, pulls and deltas here,
   updates by the callbacks of the user. */
static void on_frame(void *arg, WPLink *l, Wp__Frame *f)
{
    WPPeers *p = arg;
    switch (f->body_case) {
    case WP__FRAME__BODY_MIRROR_DIGEST:
        handle_digest(p, l, f->mirror_digest);
        break;
    case WP__FRAME__BODY_MIRROR_PULL:
        answer_pull(p, l, f->mirror_pull);
        break;
    case WP__FRAME__BODY_MIRROR_DELTA:
        handle_delta(p, l, f->mirror_delta);
        break;
    case WP__FRAME__BODY_ZONE_NEWS:
        wp_peers_receive_zone_updates(p, l, wp_clock_now(0), f->zone_news);
        break;
    case WP__FRAME__BODY_SUSPECT_NEWS:
        p->ops->suspect_updates(p->arg, l->peer, f->suspect_news);
        break;
    case WP__FRAME__BODY_NOTICE_NEWS:
        p->ops->notice_updates(p->arg, l->peer, f->notice_news);
        break;
    case WP__FRAME__BODY_USAGE_NEWS:
        p->ops->usage_updates(
            p->arg, g_strcmp0(l->peer_zone, p->self.zone) != 0, f->usage_news);
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
    wp_mirror_digest_set_complete(&d, wp_mirror_complete_revision(p->mirror));
    d.has_entries = 1;
    d.entries = wp_mirror_size(p->mirror);
    p->ops->peer_changed(p->arg, l->peer, true);
    send_digest(l, &d);
}

static void on_down(void *arg, WPLink *l)
{
    WPPeers *p = arg;
    if (!l->peer)
        return;
    p->linked--;
    p->ops->peer_changed(p->arg, l->peer, false);
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
                                  .before_send = on_stamp,
                                  .bad_frame = on_bad };

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
    /* copied, as the settings are freed when they are reloaded */
    p->self.id = g_strdup(s->id);
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

void wp_peers_set_member(WPPeers *p, const char *id, const char *addr,
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
    wp_peers_forget_relay(p, g_hash_table_lookup(p->members, id));
    g_hash_table_replace(p->members, m->id, m);
    p->generation++;
}

uint32_t wp_peers_generation(const WPPeers *p)
{
    return p->generation;
}

void wp_peers_each_member(WPPeers *p, WPPeersEachFn fn, void *arg)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPPeerMember *m = v;
        fn(arg, m->id, m->addr, m->zone);
    }
}

void wp_peers_schedule_digest(WPPeers *p)
{
    p->digest_due = true;
}

typedef struct Find {
    const WPPeers *peers;
    /* id of the link whose digest last showed a newer revision */
    uint64_t id;
    WPLink *link;  /* that link, otherwise any */
    WPLink *local; /* one in this zone with a newer revision */
    /* the link to the relay parent, if that has a newer revision */
    WPLink *parent;
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
    if (!own || l->peer_revision <= wp_mirror_complete_revision(p->mirror))
        return;
    f->local = l;
    if (p->relay_parent && !strcmp(l->peer, p->relay_parent->id))
        f->parent = l;
}

/* Chooses the link to pull from: a box of this zone first, then, as that one
   may have died, the box whose digest last showed a newer revision. All
   entries are pulled from another zone only if the store does not deliver
   them: traffic between zones costs money, and 300 boxes that pulled from
   three boxes caused 1.8 MB a second at one of them. With `parent_only` only
   the relay parent is considered. */
static WPLink *choose_link(WPPeers *p, WPTime now, bool parent_only)
{
    Find f = { .peers = p, .id = p->ahead_link_id };
    int64_t referred_ago_us = now.mono_us - p->partial_us;
    bool referred = p->partial_us &&
                    referred_ago_us < (int64_t)REMOTE_RETRY_MS * WP_US_PER_MS;
    wp_hub_each(p->hub, find_link, &f);
    if (parent_only)
        return f.parent;
    if (!wp_mirror_complete_revision(p->mirror) &&
        (referred || !p->remote_full_pull))
        return f.local;
    return f.local && !p->unanswered_pulls ? f.local : f.link;
}

/* In a large zone changes follow the relay tree: the box that learns of a
   change first is asked by its few children and not by all boxes at once,
   which it would take a second to answer. A box that has waited for
   PARENT_WAIT_MS may ask any other. */
static bool waits_for_parent(const WPPeers *p, int64_t lag_ms)
{
    return p->relay_parent && p->zone_is_large &&
           wp_mirror_complete_revision(p->mirror) && lag_ms < PARENT_WAIT_MS;
}

/* Asks one peer for the missing entries, if this box has lagged behind for
   `pull_delay_ms` and the last pull is long enough ago. */
static void pull(WPPeers *p, WPTime now)
{
    uint64_t complete = wp_mirror_complete_revision(p->mirror);
    int64_t lag_ms = wp_peers_lag_ms(p, now);
    if (!lag_ms || lag_ms < p->pull_delay_ms ||
        !wp_peers_is_due(&p->pulled_us, now,
                         complete ? PULL_RETRY_MS : FULL_PULL_RETRY_MS))
        return;
    WPLink *l = choose_link(p, now, waits_for_parent(p, lag_ms));
    if (!l) {
        p->pulled_us = 0; /* pulls as soon as there is a link */
        return;
    }
    p->unanswered_pulls++;
    Wp__Frame f = WP__FRAME__INIT;
    Wp__MirrorPull request = WP__MIRROR_PULL__INIT;
    wp_mirror_pull_set_since(&request, complete);
    request.has_packs = request.packs = 1;
    f.body_case = WP__FRAME__BODY_MIRROR_PULL;
    f.mirror_pull = &request;
    wp_link_send(l, &f);
}

typedef struct SendTo {
    const char *to; /* box id; NULL: all */
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
    if (l->peer && now->mono_us - l->received_us >
                       (int64_t)WP_PEERS_SILENCE_TIMEOUT_MS * WP_US_PER_MS)
        wp_link_close(l);
}

void wp_peers_tick(WPPeers *p, WPTime now)
{
    wp_hub_each(p->hub, close_silent, &now);
    wp_peers_connect(p, now);
    pull(p, now);
    bool due = wp_peers_is_due(&p->digest_us, now,
                               p->fast_digests ? DIGEST_FAST_MS : DIGEST_MS);
    if (!due && !p->digest_due)
        return;
    p->digest_due = false;
    p->digest_us = now.mono_us;
    Wp__MirrorDigest d;
    fill_digest(p, &d);
    wp_hub_each(p->hub, send_to_each, &d);
}

int64_t wp_peers_lag_ms(WPPeers *p, WPTime now)
{
    wp_lag_record_local(&p->lag, wp_mirror_complete_revision(p->mirror));
    return wp_lag_ms(&p->lag, now);
}

void wp_peers_set_fast_digests(WPPeers *p, bool fast)
{
    p->fast_digests = fast;
}

void wp_peers_set_remote_full_pull(WPPeers *p, bool allowed)
{
    p->remote_full_pull = allowed;
}

void wp_peers_set_remote_links(WPPeers *p, bool allowed)
{
    p->remote_links = allowed;
}

void wp_peers_set_pull_delay(WPPeers *p, uint32_t ms)
{
    p->pull_delay_ms = ms;
}

uint32_t wp_peers_max_entries(const WPPeers *p)
{
    return p->max_entries;
}

unsigned wp_peers_known_count(const WPPeers *p)
{
    return 1 + MAX(g_hash_table_size(p->members), p->n_seeds);
}

const WPPeerTraffic *wp_peers_traffic(const WPPeers *p)
{
    return wp_hub_traffic(p->hub);
}

unsigned wp_peers_linked_count(const WPPeers *p)
{
    return p->linked;
}

typedef struct Each {
    WPPeersEachFn fn;
    void *arg;
} Each;

static void each_link(void *arg, WPLink *l)
{
    const Each *e = arg;
    if (l->peer && l->peer_zone && l->addr)
        e->fn(e->arg, l->peer, l->addr, l->peer_zone);
}

void wp_peers_each_linked(WPPeers *p, WPPeersEachFn fn, void *arg)
{
    Each e = { fn, arg };
    wp_hub_each(p->hub, each_link, &e);
}

static void find_with_store(void *arg, WPLink *l)
{
    bool *any = arg;
    *any = *any || (l->peer && !l->peer_store_unavailable);
}

bool wp_peers_may_send_full_copy(const WPPeers *p)
{
    bool any = false;
    wp_hub_each(p->hub, find_with_store, &any);
    return any;
}
