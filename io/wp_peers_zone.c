/* News of endpoints within a zone: one box, the first in an order that all
 * share, is told by the others and passes all on, so that a box takes some ten
 * messages a second for it and not one from each of the others. */
#include "wp_peers_int.h"

enum {
    USAGE_LINKS = 2,      /* to each other zone, of the box that passes news
                             on: one of them may lead to a box that is cut */
    PASSER_LATE_MS = 1500 /* the next box takes over from one that cannot be
                             reached; meanwhile each knows its own requests */
};

static gint by_order(gconstpointer a, gconstpointer b)
{
    uint64_t x = wp_hash(wp_str((*(WPPeerMember *const *)a)->id), 0);
    uint64_t y = wp_hash(wp_str((*(WPPeerMember *const *)b)->id), 0);
    return (x > y) - (x < y);
}

/* The boxes of this zone that come before this one, in order. */
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

void wp_peers_choose_passer(WPPeers *p, WPTime now)
{
    g_autoptr(GPtrArray) list = list_before(p);
    p->passer = NULL;
    p->passes = false;
    for (guint i = 0; i < list->len; i++) {
        WPPeerMember *m = g_ptr_array_index(list, i);
        int64_t late_us = (int64_t)PASSER_LATE_MS * WP_US_PER_MS;
        wp_peers_dial(p, m, now, true);
        if (m->linked)
            p->passer = m;
        if (m->linked || now.mono_us - m->unlinked_us < late_us)
            return;
    }
    p->passes = true;
}

typedef struct Send {
    WPPeers *peers;
    const char *to; /* NULL: all of the zone */
    Wp__Frame *frame;
    bool sent;
} Send;

static void send_news(void *arg, WPLink *l)
{
    Send *s = arg;
    WPPeers *p = s->peers;
    if (!l->peer || (s->to && strcmp(l->peer, s->to)))
        return;
    WPPeerMember *m = g_hash_table_lookup(p->members, l->peer);
    if (!m || strcmp(m->zone, p->self.zone) || m->news_no == p->news_no)
        return;
    m->news_no = p->news_no;
    wp_link_send(l, s->frame);
    s->sent = true;
}

static bool send_to(WPPeers *p, const char *to, Wp__ZoneNews *z)
{
    Wp__Frame f = WP__FRAME__INIT;
    Send s = { p, to, &f, false };
    f.body_case = WP__FRAME__BODY_ZONE_NEWS;
    f.zone_news = z;
    p->news_no++;
    wp_hub_each(p->hub, send_news, &s);
    return s.sent;
}

bool wp_peers_send_news(WPPeers *p, Wp__ZoneNews *z)
{
    return p->passer && send_to(p, p->passer->id, z);
}

bool wp_peers_passes_news(const WPPeers *p)
{
    return p->passes;
}

void wp_peers_pass_news(WPPeers *p, Wp__ZoneNews *z)
{
    send_to(p, NULL, z);
}

const char *wp_peers_passer(const WPPeers *p)
{
    if (p->passes)
        return p->self.id;
    return p->passer ? p->passer->id : NULL;
}

typedef struct SendUsage {
    WPPeers *peers;
    Wp__Frame *frame;
    GHashTable *zones; /* name -> links of it that it went along */
} SendUsage;

static void send_usage(void *arg, WPLink *l)
{
    const SendUsage *s = arg;
    WPPeers *p = s->peers;
    if (!l->peer || !l->peer_zone)
        return;
    if (!p->passes) {
        if (p->passer && !strcmp(l->peer, p->passer->id))
            wp_link_send(l, s->frame);
        return;
    }
    guint had = GPOINTER_TO_UINT(g_hash_table_lookup(s->zones, l->peer_zone));
    if (!strcmp(l->peer_zone, p->self.zone) || had == USAGE_LINKS)
        return;
    g_hash_table_insert(s->zones, l->peer_zone, GUINT_TO_POINTER(had + 1));
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
