/* Updates that one box of a zone relays to the others, and changes that spread
 * through some of them. */
#include "peers_fake.h"

/* Sets `reached` if one box is the zone's relay root and all others send
   their updates to it. */
static void check_relay_root(evutil_socket_t fd, short what, void *arg)
{
    Condition *d = arg;
    unsigned roots = 0, senders = 0;
    (void)fd;
    (void)what;
    for (size_t i = 0; i < d->network->n; i++) {
        Wp__ZoneNews z = WP__ZONE_NEWS__INIT;
        WPPeers *p = d->network->boxes[i]->peers;
        roots += wp_peers_is_relay_root(p);
        senders += wp_peers_send_zone_updates(p, &z);
    }
    d->reached = roots == 1 && senders == d->network->n - 1;
}

static TestBox *wait_for_relay_root(Network *w)
{
    Condition d = { w, 1, 0, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w->base, -1, EV_PERSIST, check_relay_root, &d);
    event_add(e, &every);
    bool ok = run_until(w, &d.reached);
    event_free(e);
    assert_true(ok);
    for (size_t i = 0; i < w->n; i++)
        if (wp_peers_is_relay_root(w->boxes[i]->peers))
            return w->boxes[i];
    return NULL;
}

/* A condition that all boxes have to meet. */
typedef struct AllBoxes {
    Network *network;
    bool all;
} AllBoxes;

/* Sets `all` if the relayed updates have reached all boxes but the root. */
static void check_arrived(evutil_socket_t fd, short what, void *arg)
{
    AllBoxes *a = arg;
    unsigned n = 0;
    (void)fd;
    (void)what;
    for (size_t i = 0; i < a->network->n; i++)
        n += a->network->boxes[i]->relayed > 0;
    a->all = n == a->network->n - 1;
}

static void check_relay_tree(evutil_socket_t fd, short what, void *arg)
{
    AllBoxes *a = arg;
    unsigned children = 0, max = 0;
    (void)fd;
    (void)what;
    for (size_t i = 0; i < a->network->n; i++) {
        unsigned n = wp_peers_relay_child_count(a->network->boxes[i]->peers,
                                                wp_clock_now(0));
        children += n;
        max = MAX(max, n);
    }
    a->all = children == a->network->n - 1 && max <= 4;
}

/* Waits until each box but the root has a relay parent, and none has more
   than four relay children. */
static void wait_for_relay_tree(Network *w)
{
    AllBoxes a = { w, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w->base, -1, EV_PERSIST, check_relay_tree, &a);
    event_add(e, &every);
    assert_true(run_until(w, &a.all));
    event_free(e);
}

/* The relay root's updates reach every other box once, and no box relays to
   more than four. When the root is gone, another box becomes the root. Of
   twelve boxes, not all are linked to each other. */
static void updates_are_relayed_by_one_box_of_the_zone(void **state)
{
    Network w = { .base = event_base_new() };
    char ids[12][8];
    Wp__ZoneNews z = WP__ZONE_NEWS__INIT;
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        g_snprintf(ids[i], sizeof(ids[i]), "e%zu", i);
        new_box(&w, ids[i]);
    }
    add_all_members(&w);
    TestBox *root = wait_for_relay_root(&w);
    AllBoxes a = { &w, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w.base, -1, EV_PERSIST, check_arrived, &a);
    event_add(e, &every);
    z.has_passed_on = z.passed_on = 1;
    wait_for_relay_tree(&w);
    wp_peers_relay_updates(root->peers, wp_clock_now(0), &z);
    assert_true(run_until(&w, &a.all));
    for (size_t i = 0; i < w.n; i++) {
        assert_int_equal(w.boxes[i]->relayed, w.boxes[i] != root);
        assert_true(wp_peers_relay_child_count(w.boxes[i]->peers,
                                               wp_clock_now(0)) <= 4);
    }
    event_free(e);
    for (size_t i = 0; i < w.n; i++)
        if (w.boxes[i] == root)
            w.boxes[i] = w.boxes[--w.n];
    free_box(root);
    assert_ptr_not_equal(wait_for_relay_root(&w), root);
    for (size_t i = 0; i < w.n; i++)
        free_box(w.boxes[i]);
    event_base_free(w.base);
}

/* Sets `all` if all boxes have revision 10. */
static void check_revision(evutil_socket_t fd, short what, void *arg)
{
    AllBoxes *a = arg;
    unsigned n = 0;
    (void)fd;
    (void)what;
    for (size_t i = 0; i < a->network->n; i++)
        n += wp_mirror_complete_revision(a->network->boxes[i]->mirror) == 10;
    a->all = n == a->network->n;
}

/* In a zone of twelve boxes, at most four pull a change from the box that
   has it first; the others get it from those. When all pulled from one box,
   a configuration of 30 KB for 77 boxes occupied a link of 20 Mbit/s for a
   second. */
static void a_change_spreads_through_some_boxes(void **state)
{
    Network w = { .base = event_base_new() };
    char ids[12][8];
    unsigned pulls = 0;
    WPStr value = wp_str("1");
    (void)state;
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        g_snprintf(ids[i], sizeof(ids[i]), "e%zu", i);
        wp_mirror_advance(new_box(&w, ids[i])->mirror, 5);
    }
    add_all_members(&w);
    TestBox *first = wait_for_relay_root(&w);
    wait_for_relay_tree(&w);
    AllBoxes a = { &w, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w.base, -1, EV_PERSIST, check_revision, &a);
    event_add(e, &every);
    wp_mirror_put(first->mirror, "k", &value, 10, false);
    wp_mirror_advance(first->mirror, 10);
    wp_peers_schedule_digest(first->peers);
    assert_true(run_until(&w, &a.all));
    for (size_t i = 0; i < w.n; i++)
        pulls += w.boxes[i]->got_from &&
                 !strcmp(w.boxes[i]->got_from, first->set.id);
    assert_in_range(pulls, 1, 4);
    event_free(e);
    for (size_t i = 0; i < w.n; i++)
        free_box(w.boxes[i]);
    event_base_free(w.base);
}

TESTS_MAIN(T(updates_are_relayed_by_one_box_of_the_zone),
           T(a_change_spreads_through_some_boxes))
