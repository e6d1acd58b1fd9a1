/* Boxes in direct mode that send each other missing store entries, over real
 * links on loopback. */
#include "peers_fake.h"

/* A peer that has announced a newer revision and never answers, like one
   that has lost its power. */
typedef struct MutePeer {
    WPHub *hub;
    Wp__Member self;
    bool announced;
} MutePeer;

static void mute_on_frame(void *arg, WPLink *l, Wp__Frame *f)
{
    (void)arg;
    (void)l;
    (void)f;
}

static void mute_on_up(void *arg, WPLink *l)
{
    MutePeer *m = arg;
    Wp__Frame f = WP__FRAME__INIT;
    Wp__MirrorDigest d = WP__MIRROR_DIGEST__INIT;
    d.complete = 10;
    f.body_case = WP__FRAME__BODY_MIRROR_DIGEST;
    f.mirror_digest = &d;
    wp_link_send(l, &f);
    m->announced = true;
}

static void mute_on_link(void *arg, WPLink *l)
{
    (void)arg;
    (void)l;
}

static void mute_before_send(void *arg, Wp__Frame *f)
{
    (void)arg;
    (void)f;
}

static const WPHubOps mute_ops = { .frame = mute_on_frame,
                                   .up = mute_on_up,
                                   .down = mute_on_link,
                                   .before_send = mute_before_send,
                                   .bad_frame = mute_on_link };

static void a_lagging_box_pulls_from_another_when_one_is_silent(void **state)
{
    Network w = { .base = event_base_new() };
    MutePeer mute = { 0 };
    uint16_t port = free_port();
    g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", port);
    WPStr value = wp_str("1");
    (void)state;
    wp__member__init(&mute.self);
    mute.self.id = (char *)"e3";
    mute.self.addr = (char *)"127.0.0.1";
    mute.self.port = port;
    mute.hub = wp_hub_new(w.base, "127.0.0.1", port, &mute.self, &mute_ops,
                          &mute, NULL);
    assert_non_null(mute.hub);
    TestBox *behind = new_box(&w, "e1"), *ahead = new_box(&w, "e2");
    wp_peers_set_member(behind->peers, "e3", addr, "z1");
    assert_true(run_until(&w, &mute.announced));
    wp_mirror_put(ahead->mirror, "k", &value, 10, false);
    wp_mirror_advance(ahead->mirror, 10);
    wp_peers_set_member(behind->peers, "e2", ahead->addr, "z1");
    assert_true(run_until(&w, &behind->got_delta));
    assert_int_equal(wp_mirror_complete_revision(behind->mirror), 10);
    free_box(behind);
    free_box(ahead);
    wp_hub_free(mute.hub);
    event_base_free(w.base);
}

/* Sets `reached` if the boxes of the first zone are all linked to each
   other, and the last box, of another zone, to some of them. */
static void check_local_mesh(evutil_socket_t fd, short what, void *arg)
{
    Condition *d = arg;
    const Network *w = d->network;
    (void)fd;
    (void)what;
    unsigned remote = wp_peers_linked_count(w->boxes[w->n - 1]->peers),
             local = 0;
    for (size_t i = 0; i + 1 < w->n; i++)
        local += wp_peers_linked_count(w->boxes[i]->peers);
    d->reached = remote > 0 && local == (w->n - 1) * d->links + remote;
}

static TestBox *find_watcher(const Network *w)
{
    for (size_t i = 0; i < w->n; i++)
        if (wp_peers_is_designated_watcher(w->boxes[i]->peers, false))
            return w->boxes[i];
    return NULL;
}

/* One box of a zone watches the store for all; when the store does not
   answer that box any more, the next one takes over. */
static void a_box_without_the_store_is_not_the_watcher(void **state)
{
    Network w = { .base = event_base_new() };
    TestBox *a = new_box(&w, "e1"), *b = new_box(&w, "e2");
    (void)state;
    add_all_members(&w);
    assert_true(wait_for_watchers(&w, 1));
    TestBox *first = find_watcher(&w), *second = first == a ? b : a;
    first->no_store = true;
    wp_peers_schedule_digest(first->peers);
    assert_true(wait_for_watchers(&w, 1));
    assert_true(wp_peers_is_designated_watcher(second->peers, false));
    assert_int_equal(wp_peers_rank(second->peers), 0);
    free_box(a);
    free_box(b);
    event_base_free(w.base);
}

/* When the store stops answering the watcher, the next box may be cut off
   too and needs seconds to notice. So three boxes take over, and one remains
   when the store answers the first one again. */
static void more_boxes_watch_when_one_loses_the_store(void **state)
{
    Network w = { .base = event_base_new() };
    const char *ids[] = { "e1", "e2", "e3", "e4", "e5" };
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
        new_box(&w, ids[i]);
    add_all_members(&w);
    assert_true(wait_for_watchers(&w, 1));
    TestBox *first = find_watcher(&w);
    first->no_store = true;
    wp_peers_schedule_digest(first->peers);
    assert_true(wait_for_watchers(&w, 3));
    first->no_store = false;
    wp_peers_schedule_digest(first->peers);
    assert_true(wait_for_watchers(&w, 1));
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
        free_box(w.boxes[i]);
    event_base_free(w.base);
}

/* Missing entries are pulled from a box of the own zone, although one of
   another zone has a newer revision. */
static void the_own_zone_is_pulled_from_first(void **state)
{
    Network w = { .base = event_base_new() };
    WPStr value = wp_str("1");
    (void)state;
    TestBox *behind = new_box(&w, "e1");
    TestBox *local = new_box(&w, "e2"), *remote = new_box_in(&w, "e3", "z2");
    wp_mirror_put(local->mirror, "k", &value, 10, false);
    wp_mirror_advance(local->mirror, 10);
    wp_mirror_put(remote->mirror, "k", &value, 11, false);
    wp_mirror_advance(remote->mirror, 11);
    wp_peers_set_pull_delay(behind->peers, 300);
    add_all_members(&w);
    assert_true(run_until(&w, &behind->got_delta));
    assert_string_equal(behind->got_from, "e2");
    free_box(behind);
    free_box(local);
    free_box(remote);
    event_base_free(w.base);
}

/* Of nine boxes of a zone at most five are linked to the single box of
   another zone: three of the zone keep links to it, and it keeps links to
   two that it chooses. */
static void few_boxes_of_a_zone_keep_links_to_others(void **state)
{
    Network w = { .base = event_base_new() };
    const char *ids[] = {
        "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"
    };
    const unsigned neighbors = G_N_ELEMENTS(ids) - 1;
    unsigned remote_links = 0;
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
        new_box(&w, ids[i]);
    TestBox *remote = new_box_in(&w, "f", "z2");
    add_all_members(&w);
    Condition d = { &w, 1, neighbors, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w.base, -1, EV_PERSIST, check_local_mesh, &d);
    event_add(e, &every);
    assert_true(run_until(&w, &d.reached));
    event_free(e);
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
        remote_links += wp_peers_linked_count(w.boxes[i]->peers) - neighbors;
    assert_in_range(remote_links, 1, 5);
    assert_int_equal(wp_peers_linked_count(remote->peers), remote_links);
    for (size_t i = 0; i < w.n; i++)
        free_box(w.boxes[i]);
    event_base_free(w.base);
}

/* Sets `reached` if all boxes are linked to the last one, of another zone. */
static void check_remote_links(evutil_socket_t fd, short what, void *arg)
{
    Condition *d = arg;
    const Network *w = d->network;
    (void)fd;
    (void)what;
    d->reached = wp_peers_linked_count(w->boxes[w->n - 1]->peers) == w->n - 1;
}

static void add_traffic(void *arg, const char *kind, const char *scope,
                        const char *direction, uint64_t bytes)
{
    GString *text = arg;
    assert_true(bytes > 0);
    g_string_append_printf(text, "%s/%s/%s ", kind, scope, direction);
}

static void bytes_are_counted_by_kind_and_scope(void **state)
{
    Network w = { .base = event_base_new() };
    g_autoptr(GString) local = g_string_new(NULL), remote = g_string_new(NULL);
    (void)state;
    TestBox *a = new_box(&w, "e1");
    new_box(&w, "e2");
    TestBox *other = new_box_in(&w, "f", "z2");
    add_all_members(&w);
    Condition d = { &w, 1, 1, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w.base, -1, EV_PERSIST, check_remote_links, &d);
    event_add(e, &every);
    assert_true(run_until(&w, &d.reached));
    event_free(e);
    wp_peer_traffic_each(wp_peers_traffic(a->peers), add_traffic, local);
    wp_peer_traffic_each(wp_peers_traffic(other->peers), add_traffic, remote);
    assert_non_null(strstr(local->str, "mirror_digest/zone/sent"));
    assert_non_null(strstr(local->str, "hello/far/sent"));
    assert_non_null(strstr(remote->str, "mirror_digest/far/sent"));
    assert_null(strstr(remote->str, "/zone/"));
    for (size_t i = 0; i < w.n; i++)
        free_box(w.boxes[i]);
    event_base_free(w.base);
}

/* A box that the store does not answer keeps links to other zones whatever
   its rank. With links to its own zone only, one learned 3.2 s late that an
   endpoint was draining, through a single neighbor that was lost and
   connected again. */
static void a_box_without_the_store_links_to_other_zones(void **state)
{
    Network w = { .base = event_base_new() };
    const char *ids[] = { "e1", "e2", "e3", "e4", "e5" };
    const unsigned neighbors = G_N_ELEMENTS(ids) - 1;
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
        new_box(&w, ids[i]);
    TestBox *remote = new_box_in(&w, "f", "z2");
    add_all_members(&w);
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
        wp_peers_set_remote_links(w.boxes[i]->peers, true);
    Condition d = { &w, 1, neighbors, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w.base, -1, EV_PERSIST, check_remote_links, &d);
    event_add(e, &every);
    assert_true(run_until(&w, &d.reached));
    event_free(e);
    assert_int_equal(wp_peers_linked_count(remote->peers), G_N_ELEMENTS(ids));
    for (size_t i = 0; i < w.n; i++)
        free_box(w.boxes[i]);
    event_base_free(w.base);
}

static void find_peer(void *arg, const char *id, const char *addr,
                      const char *zone)
{
    bool *seen = arg;
    (void)addr;
    *seen |= !strcmp(id, "e1") && !strcmp(zone, "z1");
}

typedef struct PeerSeen {
    TestBox *by;
    bool linked;
} PeerSeen;

static void check_linked(evutil_socket_t fd, short what, void *arg)
{
    PeerSeen *s = arg;
    (void)fd;
    (void)what;
    wp_peers_each_linked(s->by->peers, find_peer, &s->linked);
}

/* Settings may be read again while a process runs, which frees the old ones.
   The id and zone that a box sends must be copies: they once pointed into
   the freed settings, and the box sent whatever stood there. */
static void a_box_keeps_its_id_when_settings_are_reloaded(void **state)
{
    Network w = { .base = event_base_new() };
    char id[] = "e1", zone[] = "z1";
    (void)state;
    TestBox *a = new_box_in(&w, id, zone), *b = new_box(&w, "e2");
    memset(id, '?', sizeof(id) - 1);
    memset(zone, '?', sizeof(zone) - 1);
    wp_peers_set_member(b->peers, "e1", a->addr, "z1");
    PeerSeen s = { b, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w.base, -1, EV_PERSIST, check_linked, &s);
    event_add(e, &every);
    assert_true(run_until(&w, &s.linked));
    event_free(e);
    free_box(a);
    free_box(b);
    event_base_free(w.base);
}

typedef struct Countdown {
    unsigned left;
    bool done;
} Countdown;

static void count_down(evutil_socket_t fd, short what, void *arg)
{
    Countdown *c = arg;
    (void)fd;
    (void)what;
    c->done = !--c->left;
}

/* A box without any entries pulls all of them from another zone only when
   that is allowed. When it always was, 300 boxes that started together
   pulled from three boxes of other zones: 1.8 MB/s at one of them. */
static void a_full_pull_from_another_zone_must_be_allowed(void **state)
{
    Network w = { .base = event_base_new() };
    WPStr value = wp_str("1");
    Countdown ticks = { 15, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    (void)state;
    TestBox *empty = new_box(&w, "e1"), *remote = new_box_in(&w, "e2", "z2");
    wp_mirror_put(remote->mirror, "k", &value, 10, false);
    wp_mirror_advance(remote->mirror, 10);
    wp_peers_set_member(empty->peers, "e2", remote->addr, "z2");
    struct event *e = event_new(w.base, -1, EV_PERSIST, count_down, &ticks);
    event_add(e, &every);
    run_until(&w, &ticks.done);
    /* The other box has reported its number of entries. */
    assert_true(wp_peers_max_entries(empty->peers) > 0);
    assert_false(empty->got_delta);
    wp_peers_set_remote_full_pull(empty->peers, true);
    assert_true(run_until(&w, &empty->got_delta));
    event_free(e);
    free_box(empty);
    free_box(remote);
    event_base_free(w.base);
}

TESTS_MAIN(T(the_own_zone_is_pulled_from_first),
           T(few_boxes_of_a_zone_keep_links_to_others),
           T(a_box_without_the_store_links_to_other_zones),
           T(bytes_are_counted_by_kind_and_scope),
           T(a_box_without_the_store_is_not_the_watcher),
           T(more_boxes_watch_when_one_loses_the_store),
           T(a_lagging_box_pulls_from_another_when_one_is_silent),
           T(a_box_keeps_its_id_when_settings_are_reloaded),
           T(a_full_pull_from_another_zone_must_be_allowed))
