/* Boxes of tests that are linked to each other over loopback, each with a copy
 * of the store, and conditions on all of them that are waited for. */
#ifndef PEERS_FAKE_H
#define PEERS_FAKE_H

#include "free_port.h"
#include "test.h"
#include "wp_clock.h"
#include "wp_link.h"
#include "wp_peers.h"

enum { GUARD_MS = 2500, TICK_MS = 20 };

typedef struct TestBox {
    WPMirror *mirror;
    WPPeers *peers;
    Wp__DirectSettings set;
    char *addr;
    bool got_delta, no_store;
    char *got_from;    /* id of the box that sent the first delta */
    unsigned relayed;  /* relayed updates that it has received */
    unsigned to_relay; /* updates received that it is to relay */
} TestBox;

typedef struct Network {
    struct event_base *base;
    TestBox *boxes[12];
    size_t n;
    int64_t end_us;
} Network;

static inline void on_delta(void *arg, const char *from,
                            const Wp__MirrorDelta *d)
{
    TestBox *b = arg;
    if (!b->got_from)
        b->got_from = g_strdup(from);
    wp_mirror_advance(b->mirror, d->complete);
    wp_peers_schedule_digest(b->peers);
    b->got_delta = true;
}

static inline void on_bad_delta(void *arg, const char *from)
{
    (void)arg;
    fail_msg("a delta from %s cannot be decompressed", from);
}

static inline void on_digest(void *arg, const char *from,
                             const Wp__MirrorDigest *d)
{
    (void)arg;
    (void)from;
    (void)d;
}

static inline void fill_digest(void *arg, Wp__MirrorDigest *d)
{
    const TestBox *b = arg;
    d->has_blind = 1;
    d->blind = b->no_store;
}

static inline void on_changed(void *arg, const char *peer, bool up)
{
    (void)arg;
    (void)peer;
    (void)up;
}

static inline void on_suspects(void *arg, const char *from,
                               const Wp__SuspectNews *n)
{
    (void)arg;
    (void)from;
    (void)n;
}

static inline void on_notices(void *arg, const char *from,
                              const Wp__NoticeNews *n)
{
    (void)arg;
    (void)from;
    (void)n;
}

static inline void on_zone_updates(void *arg, const char *from,
                                   const Wp__ZoneNews *z)
{
    TestBox *b = arg;
    (void)from;
    if (z->passed_on)
        b->relayed++;
    else
        b->to_relay++;
}

static inline void on_usage(void *arg, bool remote, const Wp__UsageNews *n)
{
    (void)arg;
    (void)remote;
    (void)n;
}

static const WPPeersOps ops = { on_delta,    on_bad_delta, on_digest,
                                fill_digest, on_changed,   on_zone_updates,
                                on_suspects, on_notices,   on_usage };

static inline TestBox *new_box_in(Network *w, const char *id, const char *zone)
{
    GError *error = NULL;
    TestBox *b = g_new0(TestBox, 1);
    wp__direct_settings__init(&b->set);
    b->addr = g_strdup_printf("127.0.0.1:%u", free_port());
    b->set.id = (char *)id;
    b->set.zone = (char *)zone;
    b->set.peers = b->addr;
    b->mirror = wp_mirror_new();
    b->peers = wp_peers_new(w->base, &b->set, b->mirror, &ops, b, &error);
    if (!b->peers)
        fail_msg("%s", error->message);
    w->boxes[w->n++] = b;
    return b;
}

static inline TestBox *new_box(Network *w, const char *id)
{
    return new_box_in(w, id, "z1");
}

static inline void free_box(TestBox *b)
{
    g_free(b->got_from);
    wp_peers_free(b->peers);
    wp_mirror_free(b->mirror);
    g_free(b->addr);
    g_free(b);
}

static inline void on_tick(evutil_socket_t fd, short what, void *arg)
{
    Network *w = arg;
    WPTime now = wp_clock_now(0);
    (void)fd;
    (void)what;
    for (size_t i = 0; i < w->n; i++)
        wp_peers_tick(w->boxes[i]->peers, now);
}

/* Runs the event loop until `done` is set, for GUARD_MS at most; returns
   `done`. */
static inline bool run_until(Network *w, const bool *done)
{
    struct timeval tick = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w->base, -1, EV_PERSIST, on_tick, w);
    int64_t end_us = g_get_monotonic_time() + GUARD_MS * WP_US_PER_MS;
    event_add(e, &tick);
    while (!*done && g_get_monotonic_time() < end_us)
        event_base_loop(w->base, EVLOOP_ONCE);
    event_free(e);
    return *done;
}

/* A condition on the boxes of a network, which a timer checks until it is
   met. */
typedef struct Condition {
    Network *network;
    unsigned watchers;
    size_t links; /* minimum number of links of each box */
    bool reached;
} Condition;

static inline unsigned count_watchers(const Network *w)
{
    unsigned n = 0;
    for (size_t i = 0; i < w->n; i++)
        n += !w->boxes[i]->no_store &&
             wp_peers_is_designated_watcher(w->boxes[i]->peers, false);
    return n;
}

/* Sets `reached` if the wanted number of boxes watch the store and all boxes
   are linked. */
static inline void check_watchers(evutil_socket_t fd, short what, void *arg)
{
    Condition *d = arg;
    (void)fd;
    (void)what;
    d->reached = count_watchers(d->network) == d->watchers;
    for (size_t i = 0; i < d->network->n; i++)
        d->reached = d->reached && wp_peers_linked_count(
                                       d->network->boxes[i]->peers) >= d->links;
}

/* Waits until `watchers` boxes watch the store; returns whether that came in
   time. */
static inline bool wait_for_watchers(Network *w, unsigned watchers)
{
    Condition d = { w, watchers, w->n - 1, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w->base, -1, EV_PERSIST, check_watchers, &d);
    event_add(e, &every);
    bool ok = run_until(w, &d.reached);
    event_free(e);
    return ok;
}

static inline void add_all_members(Network *w)
{
    for (size_t i = 0; i < w->n; i++)
        for (size_t k = 0; k < w->n; k++)
            if (i != k)
                wp_peers_set_member(w->boxes[i]->peers, w->boxes[k]->set.id,
                                    w->boxes[k]->addr, w->boxes[k]->set.zone);
}

#endif
