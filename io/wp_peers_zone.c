/* News of endpoints within a zone: one box, the first in an order that all
 * share, is told by the others and passes all on, so that a box takes some ten
 * messages a second for it and not one from each of the others.
 *
 * It passes news on to the next FANOUT boxes in that order, each of these to
 * the FANOUT after them, and so on: whatever the number of boxes in a zone,
 * what one of them sends is that many times what a box is told. Each box asks
 * the one before it for the news, so one that is gone is left out by those
 * after it. */
#include "wp_peers_int.h"

enum {
    FANOUT = 4,           /* boxes that one passes news on to */
    WANT_MS = 1000,       /* between requests for it */
    FED_MS = 2500,        /* after one, so long it is sent */
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

typedef struct Send {
    WPPeers *peers;
    const char *to; /* NULL: all that want it from this box */
    WPTime now;
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
    if (!s->to && m->fed_until_us < s->now.mono_us)
        return;
    m->news_no = p->news_no;
    wp_link_send(l, s->frame);
    s->sent = true;
}

static bool send_to(WPPeers *p, const char *to, WPTime now, Wp__ZoneNews *z)
{
    Wp__Frame f = WP__FRAME__INIT;
    Send s = { p, to, now, &f, false };
    f.body_case = WP__FRAME__BODY_ZONE_NEWS;
    f.zone_news = z;
    p->news_no++;
    wp_hub_each(p->hub, send_news, &s);
    return s.sent;
}

static bool is_late(const WPPeerMember *m, WPTime now)
{
    int64_t late_us = (int64_t)PASSER_LATE_MS * WP_US_PER_MS;
    return now.mono_us - m->unlinked_us >= late_us;
}

static void choose_passer(WPPeers *p, WPTime now, const GPtrArray *before)
{
    p->passer = NULL;
    p->passes = false;
    for (guint i = 0; i < before->len; i++) {
        WPPeerMember *m = g_ptr_array_index(before, i);
        wp_peers_dial(p, m, now, true);
        if (m->linked)
            p->passer = m;
        if (m->linked || !is_late(m, now))
            return;
    }
    p->passes = true;
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

/* The box before this one on the way of news that can be reached; while that is
   being found out, the one that passes news on. */
static const WPPeerMember *choose_feeder(WPPeers *p, WPTime now,
                                         const GPtrArray *before)
{
    for (guint i = before->len; i > 0;) {
        i = (i - 1) / FANOUT;
        WPPeerMember *m = g_ptr_array_index(before, i);
        if (p->zone_is_large)
            wp_peers_dial(p, m, now, true);
        if (m->linked)
            return m;
        if (!is_late(m, now))
            break;
    }
    return p->passer;
}

static void ask_for_news(WPPeers *p, WPTime now, const WPPeerMember *had)
{
    if (!p->feeder)
        return;
    if (p->feeder != had)
        p->wanted_us = 0;
    if (wp_peers_is_due(&p->wanted_us, now, WANT_MS)) {
        Wp__ZoneNews z = WP__ZONE_NEWS__INIT;
        z.has_wants = z.wants = 1;
        send_to(p, p->feeder->id, now, &z);
    }
}

void wp_peers_choose_passer(WPPeers *p, WPTime now)
{
    g_autoptr(GPtrArray) before = list_before(p);
    const WPPeerMember *had = p->feeder;
    p->zone_is_large = count_zone(p) > WP_PEERS_ALL_LINKED;
    choose_passer(p, now, before);
    p->feeder = p->passes ? NULL : choose_feeder(p, now, before);
    ask_for_news(p, now, had);
}

void wp_peers_forget_passer(WPPeers *p, const WPPeerMember *m)
{
    if (p->passer == m)
        p->passer = NULL;
    if (p->feeder == m)
        p->feeder = NULL;
}

bool wp_peers_send_news(WPPeers *p, Wp__ZoneNews *z)
{
    return p->passer && send_to(p, p->passer->id, (WPTime){ 0 }, z);
}

bool wp_peers_passes_news(const WPPeers *p)
{
    return p->passes;
}

void wp_peers_pass_news(WPPeers *p, WPTime now, Wp__ZoneNews *z)
{
    send_to(p, NULL, now, z);
}

unsigned wp_peers_feeds(const WPPeers *p, WPTime now)
{
    unsigned n = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPPeerMember *m = v;
        n += m->linked && m->fed_until_us >= now.mono_us;
    }
    return n;
}

/* What was passed on comes from one box alone: during a change it may come by
   two ways, and requests would be counted twice. */
void wp_peers_take_news(WPPeers *p, WPLink *l, WPTime now, Wp__ZoneNews *z)
{
    WPPeerMember *m = g_hash_table_lookup(p->members, l->peer);
    if (z->wants && m)
        m->fed_until_us = now.mono_us + (int64_t)FED_MS * WP_US_PER_MS;
    if (z->passed_on && (!m || m != p->feeder))
        return;
    if (z->passed_on)
        wp_peers_pass_news(p, now, z);
    if (!z->wants)
        p->ops->zone_news(p->arg, l->peer, z);
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
