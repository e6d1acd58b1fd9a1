/* Which other boxes a box is linked to, and which of a zone do its work. */
#include "wp_peers_int.h"

enum {
    FAR_LINKS = 2,       /* to each other zone */
    FAR_BOXES = 3,       /* boxes of a zone that have them, the first by a hash
                            of ids among those that are linked: bytes between
                            zones are paid for */
    DIAL_LATER_MS = 2000 /* the box with the lower id dials; the other one
                             only if that does not come about */
};

enum {
    WATCHERS = 1,      /* boxes of a zone that watch the store for all */
    BLIND_ASKERS = 2,  /* of those that the store does not answer, so many keep
                          asking; the others are told by them */
    SPARE_WATCHERS = 2 /* and for each that the store has stopped answering: a
                          cut takes a box 2.5 s to notice, so two in a row
                          are longer than a change may take */
};

bool wp_peers_is_due(int64_t *at_us, WPTime now, int64_t every_ms)
{
    if (*at_us && now.mono_us - *at_us < every_ms * WP_US_PER_MS)
        return false;
    *at_us = now.mono_us;
    return true;
}

static gint by_id(gconstpointer a, gconstpointer b)
{
    return strcmp((*(WPPeerMember *const *)a)->id,
                  (*(WPPeerMember *const *)b)->id);
}

static void mark_linked(void *arg, WPLink *l)
{
    WPPeers *p = arg;
    WPPeerMember *m = l->peer ? g_hash_table_lookup(p->members, l->peer) : NULL;
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
        ((WPPeerMember *)v)->linked = false;
    wp_hub_each(p->hub, mark_linked, p);
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        WPPeerMember *m = v;
        if (m->linked)
            m->unlinked_us = 0;
        else if (!m->unlinked_us)
            m->unlinked_us = now.mono_us;
    }
}

void wp_peers_dial(WPPeers *p, WPPeerMember *m, WPTime now, bool mine)
{
    int64_t since_us = now.mono_us - m->unlinked_us;
    bool late = since_us > (int64_t)DIAL_LATER_MS * WP_US_PER_MS;
    if (!m->linked && (mine || late) &&
        wp_peers_is_due(&m->tried_us, now, WP_PEERS_CONNECT_MS))
        wp_hub_link(p->hub, m->addr);
}

static void reach(WPPeers *p, WPPeerMember *m, WPTime now)
{
    wp_peers_dial(p, m, now, strcmp(p->self.id, m->id) < 0);
}

static GPtrArray *of_zone(WPPeers *p, const char *zone)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer m;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &m))
        if (!strcmp(((WPPeerMember *)m)->zone, zone))
            g_ptr_array_add(list, m);
    g_ptr_array_sort(list, by_id);
    return list;
}

static void reach_own_zone(WPPeers *p, WPTime now)
{
    g_autoptr(GPtrArray) list = of_zone(p, p->self.zone);
    guint self = 0;
    if (list->len <= WP_PEERS_ALL_LINKED) {
        for (guint i = 0; i < list->len; i++)
            reach(p, g_ptr_array_index(list, i), now);
        return;
    }
    while (self < list->len &&
           strcmp(((WPPeerMember *)list->pdata[self])->id, p->self.id) < 0)
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
            const WPPeerMember *m = g_ptr_array_index(list, i);
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

typedef bool (*MemberIs)(const WPPeers *p, const WPPeerMember *m, WPTime now);

/* How many other boxes of this zone are so. */
static unsigned count_fellows(const WPPeers *p, WPTime now, MemberIs is)
{
    unsigned n = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v))
        n += !strcmp(((WPPeerMember *)v)->zone, p->self.zone) && is(p, v, now);
    return n;
}

/* In the order by which boxes take on work for their zone. */
bool wp_peers_is_before(const WPPeers *p, const WPPeerMember *m)
{
    return wp_hash(wp_str(m->id), 0) < wp_hash(wp_str(p->self.id), 0);
}

/* A box that has just been heard of counts as one that lives. */
static bool lives_before(const WPPeers *p, const WPPeerMember *m, WPTime now)
{
    int64_t silent_us = (int64_t)WP_PEERS_SILENT_MS * WP_US_PER_MS;
    bool lives = m->linked || now.mono_us - m->unlinked_us < silent_us;
    return lives && wp_peers_is_before(p, m);
}

static bool may_watch_before(const WPPeers *p, const WPPeerMember *m,
                             WPTime now)
{
    (void)now;
    return m->linked && !m->blind && wp_peers_is_before(p, m);
}

static bool is_turned_away(const WPPeers *p, const WPPeerMember *m, WPTime now)
{
    (void)p;
    (void)now;
    return m->linked && m->blind;
}

static bool is_turned_away_before(const WPPeers *p, const WPPeerMember *m,
                                  WPTime now)
{
    return is_turned_away(p, m, now) && wp_peers_is_before(p, m);
}

/* Whether this box is to keep links to other zones. */
static bool has_far_links(const WPPeers *p, WPTime now)
{
    return p->reaches_far || count_fellows(p, now, lives_before) < FAR_BOXES;
}

static void reach_seeds(WPPeers *p, WPTime now)
{
    if (!wp_peers_is_due(&p->seeds_us, now, WP_PEERS_CONNECT_MS) || p->linked)
        return;
    for (guint i = 0; i < p->seeds->len; i++)
        wp_hub_link(p->hub, g_ptr_array_index(p->seeds, i));
}

void wp_peers_reach(WPPeers *p, WPTime now)
{
    g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter it;
    gpointer v;
    mark_members(p, now);
    reach_own_zone(p, now);
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v))
        g_hash_table_add(zones, ((WPPeerMember *)v)->zone);
    g_hash_table_iter_init(&it, zones);
    while (has_far_links(p, now) && g_hash_table_iter_next(&it, &v, NULL))
        if (strcmp(v, p->self.zone))
            reach_zone(p, v, now);
    wp_peers_choose_passer(p, now);
    reach_seeds(p, now);
}

unsigned wp_peers_rank(const WPPeers *p)
{
    return count_fellows(p, (WPTime){ 0 }, may_watch_before);
}

bool wp_peers_on_duty(const WPPeers *p, bool blind)
{
    if (blind)
        return count_fellows(p, (WPTime){ 0 }, is_turned_away_before) <
               BLIND_ASKERS;
    /* Boxes that are linked and that the store does not answer. */
    unsigned away = count_fellows(p, (WPTime){ 0 }, is_turned_away);
    return wp_peers_rank(p) < WATCHERS + SPARE_WATCHERS * away;
}

bool wp_peers_any_sighted(const WPPeers *p)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPPeerMember *m = v;
        if (m->linked && m->heard && !m->blind)
            return true;
    }
    return false;
}
