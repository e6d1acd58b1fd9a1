/* Chooses the boxes that a box is linked to, and the boxes that do the work
 * of their zone. */
#include "wp_peers_int.h"

enum {
    REMOTE_LINKS = 2, /* to each other zone */
    /* boxes of a zone that have links to other zones, the first ones by a
       hash of ids among those that are linked: traffic between zones costs
       money */
    REMOTE_LINK_BOXES = 3,
    /* the box with the lower id dials; the other one only if there is no
       link after this time */
    LATE_DIAL_MS = 2000
};

enum {
    WATCHERS = 1, /* boxes of a zone that watch the store for all */
    /* number of the boxes that the store does not answer which keep polling
       it; they inform the others */
    POLLERS_WITHOUT_STORE = 2,
    /* additional watchers for each box that the store has stopped answering:
       a box takes 2.5 s to notice that it is cut off, so two such delays in
       a row exceed the time that a change may take */
    SPARE_WATCHERS = 2
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

/* Updates which members are linked. */
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
    bool late = since_us > (int64_t)LATE_DIAL_MS * WP_US_PER_MS;
    if (!m->linked && (mine || late) &&
        wp_peers_is_due(&m->dialed_us, now, WP_PEERS_RECONNECT_MS))
        wp_hub_get_link(p->hub, m->addr);
}

static void dial_member(WPPeers *p, WPPeerMember *m, WPTime now)
{
    wp_peers_dial(p, m, now, strcmp(p->self.id, m->id) < 0);
}

static GPtrArray *members_of_zone(WPPeers *p, const char *zone)
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

static void connect_own_zone(WPPeers *p, WPTime now)
{
    g_autoptr(GPtrArray) list = members_of_zone(p, p->self.zone);
    guint self = 0;
    if (list->len <= WP_PEERS_FULL_MESH_MAX) {
        for (guint i = 0; i < list->len; i++)
            dial_member(p, g_ptr_array_index(list, i), now);
        return;
    }
    while (self < list->len &&
           strcmp(((WPPeerMember *)list->pdata[self])->id, p->self.id) < 0)
        self++;
    for (guint step = 1; step <= list->len; step *= 2)
        dial_member(p, g_ptr_array_index(list, (self + step - 1) % list->len),
                    now);
}

/* Dials REMOTE_LINKS boxes of another zone, chosen by rendezvous hashing so
   that each box chooses different ones. */
static void connect_remote_zone(WPPeers *p, const char *zone, WPTime now)
{
    g_autoptr(GPtrArray) list = members_of_zone(p, zone);
    uint64_t key = wp_hash(wp_str(p->self.id), 0);
    for (guint n = 0; n < REMOTE_LINKS && list->len; n++) {
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
        dial_member(p, g_ptr_array_index(list, best), now);
        g_ptr_array_remove_index(list, best);
    }
}

typedef bool (*MemberFilter)(const WPPeers *p, const WPPeerMember *m,
                             WPTime now);

/* Counts the other boxes of this zone for which `filter` returns true. */
static unsigned count_zone_members(const WPPeers *p, WPTime now,
                                   MemberFilter filter)
{
    unsigned n = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v))
        n += !strcmp(((WPPeerMember *)v)->zone, p->self.zone) &&
             filter(p, v, now);
    return n;
}

/* The order is that of a hash of the ids. */
bool wp_peers_is_before(const WPPeers *p, const WPPeerMember *m)
{
    return wp_hash(wp_str(m->id), 0) < wp_hash(wp_str(p->self.id), 0);
}

/* Whether a box precedes this one and is alive. A box that has only just
   become known counts as alive. */
static bool is_live_before(const WPPeers *p, const WPPeerMember *m, WPTime now)
{
    int64_t silent_us = (int64_t)WP_PEERS_SILENCE_TIMEOUT_MS * WP_US_PER_MS;
    bool is_live = m->linked || now.mono_us - m->unlinked_us < silent_us;
    return is_live && wp_peers_is_before(p, m);
}

static bool can_watch_before(const WPPeers *p, const WPPeerMember *m,
                             WPTime now)
{
    (void)now;
    return m->linked && !m->store_unavailable && wp_peers_is_before(p, m);
}

static bool lacks_store(const WPPeers *p, const WPPeerMember *m, WPTime now)
{
    (void)p;
    (void)now;
    return m->linked && m->store_unavailable;
}

static bool lacks_store_before(const WPPeers *p, const WPPeerMember *m,
                               WPTime now)
{
    return lacks_store(p, m, now) && wp_peers_is_before(p, m);
}

/* Whether this box keeps links to other zones: wp_peers_set_remote_links() has
   allowed it, or fewer than REMOTE_LINK_BOXES live boxes of its zone precede it
   in the order of wp_peers_is_before(). */
static bool needs_remote_links(const WPPeers *p, WPTime now)
{
    return p->remote_links ||
           count_zone_members(p, now, is_live_before) < REMOTE_LINK_BOXES;
}

static void connect_seeds(WPPeers *p, WPTime now)
{
    if (!wp_peers_is_due(&p->seeds_dialed_us, now, WP_PEERS_RECONNECT_MS) ||
        p->linked)
        return;
    for (guint i = 0; i < p->seeds->len; i++)
        wp_hub_get_link(p->hub, g_ptr_array_index(p->seeds, i));
}

void wp_peers_connect(WPPeers *p, WPTime now)
{
    g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter it;
    gpointer v;
    mark_members(p, now);
    connect_own_zone(p, now);
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v))
        g_hash_table_add(zones, ((WPPeerMember *)v)->zone);
    g_hash_table_iter_init(&it, zones);
    while (needs_remote_links(p, now) && g_hash_table_iter_next(&it, &v, NULL))
        if (strcmp(v, p->self.zone))
            connect_remote_zone(p, v, now);
    wp_peers_choose_relay(p, now);
    connect_seeds(p, now);
}

unsigned wp_peers_rank(const WPPeers *p)
{
    return count_zone_members(p, (WPTime){ 0 }, can_watch_before);
}

bool wp_peers_is_designated_watcher(const WPPeers *p, bool store_unavailable)
{
    if (store_unavailable)
        return count_zone_members(p, (WPTime){ 0 }, lacks_store_before) <
               POLLERS_WITHOUT_STORE;
    /* Linked boxes that the store does not answer. */
    unsigned without_store = count_zone_members(p, (WPTime){ 0 }, lacks_store);
    return wp_peers_rank(p) < WATCHERS + SPARE_WATCHERS * without_store;
}

bool wp_peers_any_with_store(const WPPeers *p)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->members);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPPeerMember *m = v;
        if (m->linked && m->digest_seen && !m->store_unavailable)
            return true;
    }
    return false;
}
