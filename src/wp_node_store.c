/* The part of a node that talks to the platform. The store is polled and
 * watched by a few designated boxes of each zone, and polled by any box that
 * has had no confirmation for too long. */
#include "wp_node_int.h"

static bool is_watcher(WPNode *n)
{
    return wp_node_is_designated(n, n->settings->watchers_per_zone);
}

/* Returns whether enough peers have answered to trust their state:
   WP_START_PEERS, so that a single stale peer cannot decide, or fewer if no
   more were asked or if twice WP_START_PEER_WAIT_US has passed since the
   start. */
static bool enough_peers_answered(const WPNode *n, WPTime now)
{
    bool waited = now.mono_us - n->started_us > 2 * WP_START_PEER_WAIT_US;
    return n->peers_answered >= WP_START_PEERS ||
           (n->peers_answered > 0 &&
            (waited ||
             (n->peers_asked && n->peers_answered >= n->peers_asked)));
}

void wp_node_check_ready(WPNode *n, WPTime now)
{
    uint64_t own = wp_config_revision(n->config);
    if (n->ready || !own || own < n->store_head_revision)
        return;
    /* While the store answers, its head decides. A peer's confirmation that it
       had the newest revision a moment ago is as good. While the store is down,
       the peers decide alone. */
    bool by_store = n->store_up && n->store_head_revision;
    bool peers_trusted = enough_peers_answered(n, now) &&
                         !wp_guard_is_disabled(n->settings, WP_GUARD_PEERS);
    bool by_confirmation =
        peers_trusted && n->confirmed &&
        now.mono_us - n->confirmed_us < WP_START_CONFIRM_MAX_AGE_US;
    bool by_peers = peers_trusted && n->store_polled && !n->store_up;
    if (!by_store && !by_peers && !by_confirmation)
        return;
    n->ready = true;
    wp_events_add(n->events, now, WP_EVENT_READY, NULL,
                  "revision %lu, confirmed by %s", (unsigned long)own,
                  by_store          ? "the store"
                  : by_confirmation ? "peers that read the store"
                                    : "peers alone, the store is down");
    wp_node_queue_action(n, WP_ACT_READY);
}

/* Returns the interval between store polls of a box that is not designated. It
   grows with the number of boxes, so that the end of an outage does not cause a
   burst of reads. */
static int64_t undesignated_interval_us(const WPNode *n)
{
    int64_t share = (int64_t)wp_members_live_count(n->members) * WP_US_PER_S /
                    WP_FLEET_READS_PER_S;
    return MAX(share, WP_CONFIRM_INTERVAL_US);
}

/* Notes whether the store has answered. If not, schedules the next poll with
   jitter and doubles the back-off, up to WP_STORE_RETRY_MAX_US. */
static void set_store_up(WPNode *n, WPTime now, bool up)
{
    if (n->store_up != up || !n->store_polled)
        wp_events_add(n->events, now, WP_EVENT_STORE, NULL, "%s",
                      up ? "answers" : "does not answer");
    n->store_up = up;
    n->store_polled = true;
    if (up) {
        n->head_pause_us = WP_STORE_RETRY_US;
        return;
    }
    wp_count(&n->counters, WP_C_STORE_ERRORS);
    int64_t pause = n->head_pause_us;
    if (n->ready && !is_watcher(n))
        pause = MAX(pause, undesignated_interval_us(n));
    n->head_due_us = now.mono_us + pause / 2 + wp_node_jitter(n, pause);
    n->head_pause_us = MIN(2 * n->head_pause_us, WP_STORE_RETRY_MAX_US);
}

static void read_all(WPNode *n)
{
    if (n->reading_all)
        return;
    n->reading_all = true;
    wp_count(&n->counters, WP_C_STORE_READS);
    wp_node_queue_action(n, WP_ACT_READ_ALL);
}

/* Applies the newest change as read from the store. Reads the whole
   configuration if changes before it are missing. */
static void apply_head(WPNode *n, WPTime now, uint64_t revision,
                       const uint8_t *value, size_t size)
{
    n->store_head_revision = MAX(n->store_head_revision, revision);
    if (revision <= wp_config_revision(n->config))
        return;
    Wp__Delta *d = wp__delta__unpack(NULL, size, value);
    if (d) {
        d->revision = revision;
        if (wp_config_apply(n->config, d) == WP_APPLY_DONE)
            wp_node_config_changed(n, now, d, 0);
    }
    wp_pb_free(d);
    if (wp_config_revision(n->config) < revision)
        read_all(n);
}

void wp_node_on_head(WPNode *n, WPTime now, int64_t asked_us, bool ok,
                     uint64_t revision, const uint8_t *value, size_t size)
{
    set_store_up(n, now, ok);
    if (ok && revision)
        apply_head(n, now, revision, value, size);
    if (ok && revision && wp_config_revision(n->config) >= revision)
        wp_node_note_confirmed(n, asked_us);
    wp_node_check_ready(n, now);
}

void wp_node_on_snapshot(WPNode *n, WPTime now, int64_t asked_us, bool ok,
                         const Wp__Snapshot *s)
{
    n->reading_all = false;
    set_store_up(n, now, ok);
    if (ok && wp_config_apply_snapshot(n->config, s) == WP_APPLY_DONE)
        wp_node_config_changed(n, now, NULL, 0);
    if (ok && s->revision && wp_config_revision(n->config) >= s->revision) {
        n->store_head_revision = MAX(n->store_head_revision, s->revision);
        wp_node_note_confirmed(n, asked_us);
    }
    wp_node_check_ready(n, now);
}

void wp_node_on_watch_event(WPNode *n, WPTime now, uint64_t revision,
                            const uint8_t *value, size_t size)
{
    apply_head(n, now, revision, value, size);
    wp_node_check_ready(n, now);
}

void wp_node_on_watch_end(WPNode *n, WPTime now)
{
    n->watching = false;
    n->head_due_us =
        MIN(n->head_due_us, now.mono_us + wp_node_jitter(n, WP_STORE_RETRY_US));
}

/* Returns whether the last confirmation is so old that a box that is ready and
   not designated must poll the store itself. When this becomes true,
   schedules the poll at a random time. */
static bool update_overdue(WPNode *n, WPTime now)
{
    bool overdue =
        !n->confirmed || now.mono_us - n->confirmed_us > WP_CONFIRM_OVERDUE_US;
    if (overdue && !n->confirm_overdue)
        n->head_due_us =
            now.mono_us + wp_node_jitter(n, undesignated_interval_us(n));
    n->confirm_overdue = overdue;
    return overdue;
}

/* Polls the revision of the store if that is due: a designated box and one that
   is not ready yet do so often, others only if an update is overdue. */
static void head_tick(WPNode *n, WPTime now, bool designated)
{
    bool polls = designated || !n->ready || update_overdue(n, now);
    int64_t pause = designated || !n->ready ? WP_CONFIRM_INTERVAL_US
                                            : undesignated_interval_us(n);
    if (!polls || now.mono_us < n->head_due_us)
        return;
    n->head_due_us = now.mono_us + pause / 2 + wp_node_jitter(n, pause);
    wp_count(&n->counters, WP_C_STORE_READS);
    wp_node_queue_action(n, WP_ACT_READ_HEAD);
}

/* Starts the watch on the store at a designated box that is ready, and ends it
   when the box is no longer designated. */
static void watch_tick(WPNode *n, bool designated)
{
    if (designated && !n->watching && n->store_up && n->ready) {
        n->watching = true;
        wp_count(&n->counters, WP_C_STORE_READS);
        wp_node_queue_action(n, WP_ACT_WATCH);
    } else if (!designated && n->watching) {
        n->watching = false;
        wp_node_queue_action(n, WP_ACT_UNWATCH);
    }
}

void wp_node_store_tick(WPNode *n, WPTime now)
{
    bool designated = is_watcher(n);
    wp_node_check_ready(n, now);
    bool starting = !n->ready || wp_members_live_count(n->members) < 2;
    int64_t boxes_us = (int64_t)n->settings->boxes_poll_ms * WP_US_PER_MS;
    if (n->settings->n_store) {
        head_tick(n, now, designated);
        watch_tick(n, designated);
    }
    if (n->settings->boxes && now.mono_us >= n->boxes_due_us &&
        (designated || starting)) {
        n->boxes_due_us =
            now.mono_us + boxes_us / 2 + wp_node_jitter(n, boxes_us);
        wp_node_queue_action(n, WP_ACT_READ_BOXES);
    }
    if (n->settings->ratings && now.mono_us >= n->ratings_due_us &&
        designated) {
        n->ratings_due_us = now.mono_us + WP_RATINGS_INTERVAL_US;
        wp_node_queue_action(n, WP_ACT_READ_RATINGS);
    }
}

/* Marks a box as draining, or as gone if `gone` is true, because of the
   platform's list. A box that is draining by the list is marked at once; a box
   that is missing there is gone only if it has been known for longer than the
   list lags behind. */
static void mark_draining(WPNode *n, WPTime now, const WPMemberRow *r,
                          bool gone)
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
    wp_node_on_frame(n, now, n->addr, &f);
    wp_pb_free(m);
}

/* Requests the configuration and the membership table from a few random boxes
   of the list: boxes that are neighbours in the list may be cut off by the same
   fault. */
static void pull_from_boxes(WPNode *n, const WPBox *boxes, size_t count)
{
    const WPBox *pulled[WP_START_PEERS];
    unsigned k = 0;
    for (size_t tries = 0; tries < 4 * WP_START_PEERS && count; tries++) {
        const WPBox *b = &boxes[g_rand_int(n->rand) % count];
        bool skip = !strcmp(b->id, n->self->id) || b->draining;
        for (unsigned i = 0; i < k; i++)
            skip |= pulled[i] == b;
        if (skip || k == WP_START_PEERS)
            continue;
        g_autofree char *addr = g_strdup_printf("%s:%u", b->addr, b->port);
        wp_node_pull(n, addr, true);
        pulled[k++] = b;
    }
    n->peers_asked = MAX(n->peers_asked, k);
}

void wp_node_on_box_list(WPNode *n, WPTime now, const WPBox *boxes,
                         size_t count)
{
    g_autoptr(GHashTable) ids = g_hash_table_new(g_str_hash, g_str_equal);
    g_autoptr(GPtrArray) rows = g_ptr_array_new();
    for (size_t i = 0; i < count; i++)
        g_hash_table_insert(ids, (gpointer)boxes[i].id, (gpointer)&boxes[i]);
    for (unsigned i = 0; i < wp_members_live_count(n->members); i++)
        g_ptr_array_add(rows, (gpointer)wp_members_live_at(n->members, i));
    for (guint i = 0; i < rows->len; i++) {
        const WPMemberRow *r = rows->pdata[i];
        const WPBox *b = g_hash_table_lookup(ids, r->m->id);
        bool known_long = now.mono_us - r->first_seen_us > WP_LIST_GRACE_US;
        if (!strcmp(r->m->id, n->self->id))
            continue;
        if (wp_guard_is_disabled(n->settings, WP_GUARD_BOXES))
            continue;
        if (b && b->draining && !r->m->leaving)
            mark_draining(n, now, r, false);
        else if (!b && known_long)
            mark_draining(n, now, r, true);
    }
    if (n->ready && wp_members_live_count(n->members) >= 2)
        return;
    pull_from_boxes(n, boxes, count);
    /* Many boxes may be starting at once, so their reads of the store are
       spread. */
    if (!n->box_list_seen)
        n->head_due_us = now.mono_us + WP_START_PEER_WAIT_US +
                         wp_node_jitter(n, (int64_t)count * WP_US_PER_S /
                                               WP_FLEET_READS_PER_S);
    n->box_list_seen = true;
}
