/* The half of a node that speaks with the platform: the store by a few boxes
 * of each zone, and by any box that has heard nothing for long. */
#include "wp_node_int.h"

static bool on_watch_duty(WPNode *n)
{
    return wp_node_on_duty(n, n->settings->watchers_per_zone);
}

/* Whether several peers have been heard, so that a single stale one cannot
   decide, or as many as there are within the patience of a start. */
static bool heard_enough(const WPNode *n, WPTime now)
{
    bool waited = now.mono_us - n->started_us > 2 * WP_START_PATIENCE_US;
    return n->peers_heard >= WP_START_PEERS ||
           (n->peers_heard > 0 &&
            (waited || (n->peers_asked && n->peers_heard >= n->peers_asked)));
}

void wp_node_check_ready(WPNode *n, WPTime now)
{
    uint64_t own = wp_config_revision(n->config);
    if (n->ready || !own || own < n->head_seen)
        return;
    /* With the store answering, its head decides. A peer's word that it knew
       the newest a moment ago is as good; with the store down, peers alone. */
    bool by_store = n->store_up && n->head_seen;
    bool heard = heard_enough(n, now) &&
                 !wp_guard_is_disabled(n->settings, WP_GUARD_PEERS);
    bool by_fresh = heard && n->confirmed &&
                    now.mono_us - n->confirmed_us < WP_START_FRESH_US;
    bool by_peers = heard && n->store_asked_once && !n->store_up;
    if (!by_store && !by_peers && !by_fresh)
        return;
    n->ready = true;
    wp_events_add(n->events, now, WP_EVENT_READY, NULL,
                  "revision %lu from the %s", (unsigned long)own,
                  by_store   ? "store"
                  : by_fresh ? "peers, as the store's newest"
                             : "peers, the store is down");
    wp_node_act(n, WP_ACT_READY);
}

/* The pause between askings of a box without a turn: the more boxes, the
   longer, so that an outage does not end in a storm. */
static int64_t lone_pause_us(const WPNode *n)
{
    int64_t share = (int64_t)wp_members_live(n->members) * WP_US_PER_S /
                    WP_FLEET_READS_PER_S;
    return MAX(share, WP_CONFIRM_US);
}

static void set_store_up(WPNode *n, WPTime now, bool up)
{
    if (n->store_up != up || !n->store_asked_once)
        wp_events_add(n->events, now, WP_EVENT_STORE, NULL, "%s",
                      up ? "answers" : "does not answer");
    n->store_up = up;
    n->store_asked_once = true;
    if (up) {
        n->head_pause_us = WP_STORE_RETRY_US;
        return;
    }
    wp_count(&n->counters, WP_C_STORE_ERRORS);
    int64_t pause = n->head_pause_us;
    if (n->ready && !on_watch_duty(n))
        pause = MAX(pause, lone_pause_us(n));
    n->head_due_us = now.mono_us + pause / 2 + wp_node_jitter(n, pause);
    n->head_pause_us = MIN(2 * n->head_pause_us, WP_STORE_RETRY_MOST_US);
}

static void read_all(WPNode *n)
{
    if (n->reading_all)
        return;
    n->reading_all = true;
    wp_count(&n->counters, WP_C_STORE_READS);
    wp_node_act(n, WP_ACT_READ_ALL);
}

/* Takes the newest change as the store holds it. */
static void take_head(WPNode *n, WPTime now, uint64_t revision,
                      const uint8_t *value, size_t size)
{
    n->head_seen = MAX(n->head_seen, revision);
    if (revision <= wp_config_revision(n->config))
        return;
    Wp__Delta *d = wp__delta__unpack(NULL, size, value);
    if (d) {
        d->revision = revision;
        if (wp_config_apply(n->config, d) == WP_APPLY_DONE)
            wp_node_changed(n, now, d, 0);
    }
    wp_pb_free(d);
    if (wp_config_revision(n->config) < revision)
        read_all(n);
}

void wp_node_head(WPNode *n, WPTime now, int64_t asked_us, bool ok,
                  uint64_t revision, const uint8_t *value, size_t size)
{
    set_store_up(n, now, ok);
    if (ok && revision)
        take_head(n, now, revision, value, size);
    if (ok && revision && wp_config_revision(n->config) >= revision)
        wp_node_confirm(n, asked_us);
    wp_node_check_ready(n, now);
}

void wp_node_all(WPNode *n, WPTime now, int64_t asked_us, bool ok,
                 const Wp__Snapshot *s)
{
    n->reading_all = false;
    set_store_up(n, now, ok);
    if (ok && wp_config_replace(n->config, s) == WP_APPLY_DONE)
        wp_node_changed(n, now, NULL, 0);
    if (ok && s->revision && wp_config_revision(n->config) >= s->revision) {
        n->head_seen = MAX(n->head_seen, s->revision);
        wp_node_confirm(n, asked_us);
    }
    wp_node_check_ready(n, now);
}

void wp_node_watched(WPNode *n, WPTime now, uint64_t revision,
                     const uint8_t *value, size_t size)
{
    take_head(n, now, revision, value, size);
    wp_node_check_ready(n, now);
}

void wp_node_watch_ended(WPNode *n, WPTime now)
{
    n->watching = false;
    n->head_due_us =
        MIN(n->head_due_us, now.mono_us + wp_node_jitter(n, WP_STORE_RETRY_US));
}

/* Whether a box that is ready and has no turn should ask for itself. */
static bool wonders(WPNode *n, WPTime now)
{
    bool late =
        !n->confirmed || now.mono_us - n->confirmed_us > WP_CONFIRM_LATE_US;
    if (late && !n->late)
        n->head_due_us = now.mono_us + wp_node_jitter(n, lone_pause_us(n));
    n->late = late;
    return late;
}

static void head_tick(WPNode *n, WPTime now, bool duty)
{
    bool asks = duty || !n->ready || wonders(n, now);
    int64_t pause = duty || !n->ready ? WP_CONFIRM_US : lone_pause_us(n);
    if (!asks || now.mono_us < n->head_due_us)
        return;
    n->head_due_us = now.mono_us + pause / 2 + wp_node_jitter(n, pause);
    wp_count(&n->counters, WP_C_STORE_READS);
    wp_node_act(n, WP_ACT_READ_HEAD);
}

static void watch_tick(WPNode *n, bool duty)
{
    if (duty && !n->watching && n->store_up && n->ready) {
        n->watching = true;
        wp_count(&n->counters, WP_C_STORE_READS);
        wp_node_act(n, WP_ACT_WATCH);
    } else if (!duty && n->watching) {
        n->watching = false;
        wp_node_act(n, WP_ACT_UNWATCH);
    }
}

void wp_node_store_tick(WPNode *n, WPTime now)
{
    bool duty = on_watch_duty(n);
    wp_node_check_ready(n, now);
    bool start = !n->ready || wp_members_live(n->members) < 2;
    int64_t boxes_us = (int64_t)n->settings->boxes_poll_ms * WP_US_PER_MS;
    if (n->settings->n_store) {
        head_tick(n, now, duty);
        watch_tick(n, duty);
    }
    if (n->settings->boxes && now.mono_us >= n->boxes_due_us &&
        (duty || start)) {
        n->boxes_due_us =
            now.mono_us + boxes_us / 2 + wp_node_jitter(n, boxes_us);
        wp_node_act(n, WP_ACT_READ_BOXES);
    }
    if (n->settings->ratings && now.mono_us >= n->ratings_due_us && duty) {
        n->ratings_due_us = now.mono_us + WP_RATINGS_US;
        wp_node_act(n, WP_ACT_READ_RATINGS);
    }
}

/* A box that the list marks as leaving is believed; one the list lacks is
   gone only when it has been known for longer than the list lags. */
static void mark(WPNode *n, WPTime now, const WPMemberRow *r, bool gone)
{
    Wp__Member *m = wp_member_copy(r->m);
    Wp__Members one = WP__MEMBERS__INIT;
    Wp__Frame f = WP__FRAME__INIT;
    m->has_gone |= gone;
    m->gone |= gone;
    m->has_leaving = 1;
    m->leaving = 1;
    one.n_members = 1;
    one.members = &m;
    f.body_case = WP__FRAME__BODY_MEMBERS;
    f.members = &one;
    wp_node_frame(n, now, n->addr, &f);
    wp_pb_free(m);
}

/* Asks some boxes, each picked by chance: neighbours in the list may share
   what cut them off. */
static void ask_boxes(WPNode *n, const WPBox *boxes, size_t count)
{
    const WPBox *asked[WP_START_PEERS];
    unsigned k = 0;
    for (size_t tries = 0; tries < 4 * WP_START_PEERS && count; tries++) {
        const WPBox *b = &boxes[g_rand_int(n->rand) % count];
        bool again = !strcmp(b->id, n->self->id) || b->leaving;
        for (unsigned i = 0; i < k; i++)
            again |= asked[i] == b;
        if (again || k == WP_START_PEERS)
            continue;
        g_autofree char *addr = g_strdup_printf("%s:%u", b->addr, b->port);
        wp_node_pull(n, addr, true);
        asked[k++] = b;
    }
    n->peers_asked = MAX(n->peers_asked, k);
}

void wp_node_boxes(WPNode *n, WPTime now, const WPBox *boxes, size_t count)
{
    g_autoptr(GHashTable) ids = g_hash_table_new(g_str_hash, g_str_equal);
    g_autoptr(GPtrArray) rows = g_ptr_array_new();
    for (size_t i = 0; i < count; i++)
        g_hash_table_insert(ids, (gpointer)boxes[i].id, (gpointer)&boxes[i]);
    for (unsigned i = 0; i < wp_members_live(n->members); i++)
        g_ptr_array_add(rows, (gpointer)wp_members_live_at(n->members, i));
    for (guint i = 0; i < rows->len; i++) {
        const WPMemberRow *r = rows->pdata[i];
        const WPBox *b = g_hash_table_lookup(ids, r->m->id);
        bool known_long = now.mono_us - r->first_us > WP_LIST_GRACE_US;
        if (!strcmp(r->m->id, n->self->id))
            continue;
        if (wp_guard_is_disabled(n->settings, WP_GUARD_BOXES))
            continue;
        if (b && b->leaving && !r->m->leaving)
            mark(n, now, r, false);
        else if (!b && known_long)
            mark(n, now, r, true);
    }
    if (n->ready && wp_members_live(n->members) >= 2)
        return;
    ask_boxes(n, boxes, count);
    /* Many may be starting at once: their asking of the store is spread. */
    if (!n->listed)
        n->head_due_us = now.mono_us + WP_START_PATIENCE_US +
                         wp_node_jitter(n, (int64_t)count * WP_US_PER_S /
                                               WP_FLEET_READS_PER_S);
    n->listed = true;
}
