/* The relay tree for updates on endpoints within a zone. All boxes send their
 * updates to one box, the first in an order that all share, which relays them,
 * so that a box receives some ten messages a second and not one from each other
 * box.
 *
 * The root relays updates to the next FANOUT boxes in that order, each of
 * these to the FANOUT after them, and so on: whatever the number of boxes in
 * a zone, a box sends FANOUT times what it receives. Each box subscribes at
 * its parent, so a box that has gone is bypassed by those below it. */
#include "wp_peers_int.h"

enum {
    FANOUT = 4,                   /* children of a box */
    SUBSCRIBE_INTERVAL_MS = 1000, /* between subscriptions */
    SUBSCRIPTION_MS = 2500,       /* lifetime of a subscription */
    /* of the relay root to each other zone: one of them may lead to a box
       that is cut off */
    USAGE_LINKS = 2,
    /* time for which a root cannot be reached before the next box takes over;
       until then each box knows its own requests only */
    TAKEOVER_MS = 1500
};

static gint by_order(gconstpointer a, gconstpointer b)
{
    uint64_t x = wp_hash(wp_str((*(WPPeerMember *const *)a)->id), 0);
    uint64_t y = wp_hash(wp_str((*(WPPeerMember *const *)b)->id), 0);
    return (x > y) - (x < y);
}

/* Returns the boxes of this zone that precede this one, in order. */
static GPtrArray *list_before(const WPPeers *p)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPPeerMember *m = v;
        if (!strcmp(m->zone, p->self.zone) && wp_peers_is_before(p, m))
            g_ptr_array_add(list, v);
    }
    g_ptr_array_sort(list, by_order);
    return list;
}

typedef struct Send {
    WPPeers *peers;
    const char *to; /* box id; NULL: all children of this box */
    WPTime now;
    Wp__Frame *frame;
    bool sent;
} Send;

static void send_update(void *arg, WPLink *l)
{
    Send *s = arg;
    WPPeers *p = s->peers;
    if (!l->peer || (s->to && strcmp(l->peer, s->to)))
        return;
    WPPeerMember *m = g_hash_table_lookup(p->members, l->peer);
    if (!m || strcmp(m->zone, p->self.zone) ||
        m->last_update_no == p->update_no)
        return;
    if (!s->to && m->child_until_us < s->now.mono_us)
        return;
    m->last_update_no = p->update_no;
    wp_link_send(l, s->frame);
    s->sent = true;
}

static bool send_to(WPPeers *p, const char *to, WPTime now, Wp__ZoneNews *z)
{
    Wp__Frame f = WP__FRAME__INIT;
    Send s = { p, to, now, &f, false };
    f.body_case = WP__FRAME__BODY_ZONE_NEWS;
    f.zone_news = z;
    p->update_no++;
    wp_hub_each(p->hub, send_update, &s);
    return s.sent;
}

static bool is_unreachable(const WPPeerMember *m, WPTime now)
{
    int64_t takeover_us = (int64_t)TAKEOVER_MS * WP_US_PER_MS;
    return now.mono_us - m->unlinked_us >= takeover_us;
}

/* The root is the first box in order that is linked, or this one if all
   before it have been unreachable for TAKEOVER_MS. While that time runs
   there may be no root. */
static void choose_root(WPPeers *p, WPTime now, const GPtrArray *before)
{
    p->relay_root = NULL;
    p->is_relay_root = false;
    for (guint i = 0; i < before->len; i++) {
        WPPeerMember *m = g_ptr_array_index(before, i);
        wp_peers_dial(p, m, now, true);
        if (m->linked)
            p->relay_root = m;
        if (m->linked || !is_unreachable(m, now))
            return;
    }
    p->is_relay_root = true;
}

static unsigned count_zone(const WPPeers *p)
{
    unsigned n = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v))
        n += !strcmp(((WPPeerMember *)v)->zone, p->self.zone);
    return n;
}

/* Returns the closest ancestor in the relay tree that is linked; the relay
   root while it is not certain that a closer one is unreachable. */
static const WPPeerMember *choose_parent(WPPeers *p, WPTime now,
                                         const GPtrArray *before)
{
    for (guint i = before->len; i > 0;) {
        i = (i - 1) / FANOUT;
        WPPeerMember *m = g_ptr_array_index(before, i);
        if (p->zone_is_large)
            wp_peers_dial(p, m, now, true);
        if (m->linked)
            return m;
        if (!is_unreachable(m, now))
            break;
    }
    return p->relay_root;
}

/* Subscribes at the relay parent, at once if it has changed. */
static void subscribe(WPPeers *p, WPTime now, const WPPeerMember *previous)
{
    if (!p->relay_parent)
        return;
    if (p->relay_parent != previous)
        p->subscribed_us = 0;
    if (wp_peers_is_due(&p->subscribed_us, now, SUBSCRIBE_INTERVAL_MS)) {
        Wp__ZoneNews z = WP__ZONE_NEWS__INIT;
        z.has_wants = z.wants = 1;
        send_to(p, p->relay_parent->id, now, &z);
    }
}

void wp_peers_choose_relay(WPPeers *p, WPTime now)
{
    g_autoptr(GPtrArray) before = list_before(p);
    const WPPeerMember *previous = p->relay_parent;
    p->zone_is_large = count_zone(p) > WP_PEERS_FULL_MESH_MAX;
    choose_root(p, now, before);
    p->relay_parent = p->is_relay_root ? NULL : choose_parent(p, now, before);
    subscribe(p, now, previous);
}

void wp_peers_forget_relay(WPPeers *p, const WPPeerMember *m)
{
    if (p->relay_root == m)
        p->relay_root = NULL;
    if (p->relay_parent == m)
        p->relay_parent = NULL;
}

bool wp_peers_send_zone_updates(WPPeers *p, Wp__ZoneNews *z)
{
    return p->relay_root && send_to(p, p->relay_root->id, (WPTime){ 0 }, z);
}

bool wp_peers_is_relay_root(const WPPeers *p)
{
    return p->is_relay_root;
}

void wp_peers_relay_updates(WPPeers *p, WPTime now, Wp__ZoneNews *z)
{
    send_to(p, NULL, now, z);
}

unsigned wp_peers_relay_child_count(const WPPeers *p, WPTime now)
{
    unsigned n = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPPeerMember *m = v;
        n += m->linked && m->child_until_us >= now.mono_us;
    }
    return n;
}

/* Relayed updates are accepted from the parent only: while the tree changes
   they may arrive by two ways, and requests would be counted twice. */
void wp_peers_receive_zone_updates(WPPeers *p, WPLink *l, WPTime now,
                                   Wp__ZoneNews *z)
{
    WPPeerMember *m = g_hash_table_lookup(p->members, l->peer);
    if (z->wants && m)
        m->child_until_us =
            now.mono_us + (int64_t)SUBSCRIPTION_MS * WP_US_PER_MS;
    if (z->passed_on && (!m || m != p->relay_parent))
        return;
    if (z->passed_on)
        wp_peers_relay_updates(p, now, z);
    if (!z->wants)
        p->ops->zone_updates(p->arg, l->peer, z);
}

const char *wp_peers_relay_root(const WPPeers *p)
{
    if (p->is_relay_root)
        return p->self.id;
    return p->relay_root ? p->relay_root->id : NULL;
}

typedef struct SendUsage {
    WPPeers *peers;
    Wp__Frame *frame;
    /* zone -> number of its links that the message was sent on */
    GHashTable *zones;
} SendUsage;

/* Sends the message on the link if that leads to the relay root, or, at the
   root itself, to another zone that has not yet got it on USAGE_LINKS links. */
static void send_usage(void *arg, WPLink *l)
{
    const SendUsage *s = arg;
    WPPeers *p = s->peers;
    if (!l->peer || !l->peer_zone)
        return;
    if (!p->is_relay_root) {
        if (p->relay_root && !strcmp(l->peer, p->relay_root->id))
            wp_link_send(l, s->frame);
        return;
    }
    guint previous =
        GPOINTER_TO_UINT(g_hash_table_lookup(s->zones, l->peer_zone));
    if (!strcmp(l->peer_zone, p->self.zone) || previous == USAGE_LINKS)
        return;
    g_hash_table_insert(s->zones, l->peer_zone, GUINT_TO_POINTER(previous + 1));
    wp_link_send(l, s->frame);
}

void wp_peers_send_usage(WPPeers *p, Wp__UsageNews *n)
{
    Wp__Frame f = WP__FRAME__INIT;
    g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
    SendUsage s = { p, &f, zones };
    f.body_case = WP__FRAME__BODY_USAGE_NEWS;
    f.usage_news = n;
    wp_hub_each(p->hub, send_usage, &s);
}
