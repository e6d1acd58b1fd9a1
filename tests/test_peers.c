/* Boxes that bring each other up to date, over real links on loopback. */
#include "test.h"
#include "wp_clock.h"
#include "wp_link.h"
#include "wp_peers.h"

#include <arpa/inet.h>
#include <unistd.h>

enum { GUARD_MS = 2500, TICK_MS = 20 };

typedef struct Box {
    WPMirror *mirror;
    WPPeers *peers;
    Wp__DirectSettings set;
    char *addr;
    bool got_delta, blind;
} Box;

typedef struct World {
    struct event_base *base;
    Box *boxes[4];
    size_t n;
    int64_t end_us;
} World;

static void on_delta(void *arg, const char *from, const Wp__MirrorDelta *d)
{
    Box *b = arg;
    (void)from;
    wp_mirror_advance(b->mirror, d->complete);
    b->got_delta = true;
}

static void on_heard(void *arg, const char *from, const Wp__MirrorDigest *d)
{
    (void)arg;
    (void)from;
    (void)d;
}

static void on_fill(void *arg, Wp__MirrorDigest *d)
{
    const Box *b = arg;
    d->has_blind = 1;
    d->blind = b->blind;
}

static void on_changed(void *arg, const char *peer, bool up)
{
    (void)arg;
    (void)peer;
    (void)up;
}

static const WPPeersOps ops = { on_delta, on_heard, on_fill, on_changed };

static uint16_t free_port(void)
{
    struct sockaddr_in sa = { .sin_family = AF_INET };
    socklen_t n = sizeof(sa);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&sa, &n), 0);
    close(fd);
    return ntohs(sa.sin_port);
}

static Box *new_box(World *w, const char *id)
{
    GError *error = NULL;
    Box *b = g_new0(Box, 1);
    wp__direct_settings__init(&b->set);
    b->addr = g_strdup_printf("127.0.0.1:%u", free_port());
    b->set.id = (char *)id;
    b->set.zone = (char *)"z1";
    b->set.peers = b->addr;
    b->mirror = wp_mirror_new();
    b->peers = wp_peers_new(w->base, &b->set, b->mirror, &ops, b, &error);
    if (!b->peers)
        fail_msg("%s", error->message);
    w->boxes[w->n++] = b;
    return b;
}

static void free_box(Box *b)
{
    wp_peers_free(b->peers);
    wp_mirror_free(b->mirror);
    g_free(b->addr);
    g_free(b);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
    World *w = arg;
    WPTime now = wp_clock_now(0);
    (void)fd;
    (void)what;
    for (size_t i = 0; i < w->n; i++)
        wp_peers_tick(w->boxes[i]->peers, now);
}

/* Runs until `done`, or the guard's time is over. */
static bool run_until(World *w, const bool *done)
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

/* A peer that says that it knows more and never answers, as one does that has
   lost its power. */
typedef struct Mute {
    WPHub *hub;
    Wp__Member self;
    bool told;
} Mute;

static void mute_frame(void *arg, WPLink *l, Wp__Frame *f)
{
    (void)arg;
    (void)l;
    (void)f;
}

static void mute_up(void *arg, WPLink *l)
{
    Mute *m = arg;
    Wp__Frame f = WP__FRAME__INIT;
    Wp__MirrorDigest d = WP__MIRROR_DIGEST__INIT;
    d.complete = 10;
    f.body_case = WP__FRAME__BODY_MIRROR_DIGEST;
    f.mirror_digest = &d;
    wp_link_send(l, &f);
    m->told = true;
}

static void mute_link(void *arg, WPLink *l)
{
    (void)arg;
    (void)l;
}

static void mute_stamp(void *arg, Wp__Frame *f)
{
    (void)arg;
    (void)f;
}

static const WPHubOps mute_ops = { .frame = mute_frame,
                                   .up = mute_up,
                                   .down = mute_link,
                                   .stamp = mute_stamp,
                                   .bad = mute_link };

static void who_is_behind_asks_another_when_one_falls_silent(void **state)
{
    World w = { .base = event_base_new() };
    Mute mute = { 0 };
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
    Box *behind = new_box(&w, "e1"), *ahead = new_box(&w, "e2");
    wp_peers_member(behind->peers, "e3", addr, "z1");
    assert_true(run_until(&w, &mute.told));
    wp_mirror_put(ahead->mirror, "k", &value, 10, false);
    wp_mirror_advance(ahead->mirror, 10);
    wp_peers_member(behind->peers, "e2", ahead->addr, "z1");
    assert_true(run_until(&w, &behind->got_delta));
    assert_int_equal(wp_mirror_complete(behind->mirror), 10);
    free_box(behind);
    free_box(ahead);
    wp_hub_free(mute.hub);
    event_base_free(w.base);
}

/* Whether this box is the first of its zone, looked at until it is. */
typedef struct First {
    World *world;
    Box *box;
    bool is_first;
} First;

static void look(evutil_socket_t fd, short what, void *arg)
{
    First *f = arg;
    (void)fd;
    (void)what;
    f->is_first =
        wp_peers_linked(f->box->peers) > 0 && wp_peers_rank(f->box->peers) == 0;
}

static bool becomes_first(World *w, Box *b)
{
    First f = { w, b, false };
    struct timeval every = { 0, TICK_MS * WP_US_PER_MS };
    struct event *e = event_new(w->base, -1, EV_PERSIST, look, &f);
    event_add(e, &every);
    bool ok = run_until(w, &f.is_first);
    event_free(e);
    return ok;
}

/* One box of a zone watches the store for all; when the store turns that one
   away, the next takes over. */
static void a_box_that_the_store_does_not_answer_has_no_duty(void **state)
{
    World w = { .base = event_base_new() };
    Box *a = new_box(&w, "e1"), *b = new_box(&w, "e2");
    (void)state;
    wp_peers_member(a->peers, "e2", b->addr, "z1");
    wp_peers_member(b->peers, "e1", a->addr, "z1");
    bool a_first = wp_hash(wp_str("e1"), 0) < wp_hash(wp_str("e2"), 0);
    Box *first = a_first ? a : b, *second = a_first ? b : a;
    assert_true(becomes_first(&w, first));
    first->blind = true;
    wp_peers_announce(first->peers);
    assert_true(becomes_first(&w, second));
    free_box(a);
    free_box(b);
    event_base_free(w.base);
}

TESTS_MAIN(T(a_box_that_the_store_does_not_answer_has_no_duty),
           T(who_is_behind_asks_another_when_one_falls_silent))
