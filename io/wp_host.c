/* The frame that all daemons share: event loop, links and planned stop. */
#include "wp_host_int.h"
#include "wp_pb.h"
#include "wp_process.h"

#include <event2/buffer.h>
#include <signal.h>
#include <stdlib.h>

/* Factor by which an agent's ping interval and its time-out for a dead link are
   longer. An agent receives little from an entry while it streams an answer to
   it, and loses less by an entry that is dead. */
#define AGENT_TIMEOUT_FACTOR 10

enum { TICK_MS = 20, HTTP_TIMEOUT_MS = 2000 };

WPTime wp_host_now(const WPHost *h)
{
    WPTime now = wp_clock_now(h->settings->clock_skew_ms);
    now.wall_ms = wp_clock_monitor_wall_ms(&h->clock_monitor, now);
    return now;
}

void wp_host_run_actions(WPHost *h)
{
    WPAction *a;
    if (h->running_actions)
        return;
    h->running_actions = true;
    while ((a = wp_node_next_action(h->node))) {
        wp_host_run_action(h, a);
        wp_action_free(a);
    }
    h->running_actions = false;
}

/* Passes a frame to the node and, if that has not handled it, to the role;
   pings are answered here. */
static void on_frame(void *arg, WPLink *l, Wp__Frame *f)
{
    WPHost *h = arg;
    WPTime now = wp_host_now(h);
    bool done = wp_node_on_frame(h->node, now, l->addr ? l->addr : "", f);
    if (f->has_revision && l->addr)
        wp_node_on_peer_revision(h->node, now, l->addr, f->revision);
    wp_host_run_actions(h);
    if (done)
        return;
    if (f->body_case == WP__FRAME__BODY_PING) {
        Wp__Frame out = WP__FRAME__INIT;
        Wp__Pong pong = WP__PONG__INIT;
        pong.sent_us = f->ping->sent_us;
        out.body_case = WP__FRAME__BODY_PONG;
        out.pong = &pong;
        wp_link_send(l, &out);
    }
    if (h->role)
        h->ops->on_frame(h->role, l, f);
    wp_host_run_actions(h);
}

static void on_link_up(void *arg, WPLink *l)
{
    (void)arg;
    (void)l;
}

static void on_link_down(void *arg, WPLink *l)
{
    WPHost *h = arg;
    if (h->role)
        h->ops->on_link_down(h->role, l);
}

/* Adds the configuration revision, the hybrid logical clock and the load to
   each outgoing frame, except to chunk and window frames, which are too many.
 */
static void on_before_send(void *arg, Wp__Frame *f)
{
    WPHost *h = arg;
    if (f->body_case == WP__FRAME__BODY_CHUNK ||
        f->body_case == WP__FRAME__BODY_WINDOW)
        return;
    f->has_revision = 1;
    f->revision = wp_config_revision(wp_node_config(h->node));
    f->has_hlc = 1;
    f->hlc = wp_events_next_clock(wp_node_events(h->node), wp_host_now(h));
    if (h->role && h->ops->load) {
        h->ops->load(h->role, &h->load);
        f->load = &h->load;
    }
}

static void on_bad_frame(void *arg, WPLink *l)
{
    WPHost *h = arg;
    wp_count(wp_node_counters(h->node), WP_C_BAD_FRAMES);
    wp_log(&h->log, WP_WARN, "bad_frame", "peer", l->peer ? l->peer : "?",
           NULL);
}

static bool on_blocked(void *arg, const WPLink *l, bool outwards)
{
    const WPHost *h = arg;
    return wp_fault_blocks(&h->fault, l, outwards);
}

static const WPHubOps hub_ops = {
    .frame = on_frame,
    .up = on_link_up,
    .down = on_link_down,
    .before_send = on_before_send,
    .bad_frame = on_bad_frame,
    .blocked = on_blocked,
};

/* The write of a batch of bills has ended. If the key exists already, its value
   shows whether an earlier write of this batch had succeeded. Counts the bills
   that are confirmed by this, and tells the role. */
static void on_bills_written(void *arg, const WPKvResult *r)
{
    WPHost *h = arg;
    WPBills *b = h->ops->bills(h->role);
    uint64_t before = wp_bills_settled(b);
    WPBillWriteResult result = !r->ok         ? WP_BILL_FAILED
                               : r->succeeded ? WP_BILL_CREATED
                               : r->n_items   ? WP_BILL_EXISTS
                                              : WP_BILL_FAILED;
    const WPKvItem *i = r->n_items ? r->items : NULL;
    wp_bills_batch_written(b, wp_host_now(h), result,
                           i ? (const uint8_t *)i->value.p : NULL,
                           i ? i->value.n : 0);
    uint64_t after = wp_bills_settled(b);
    wp_node_counters(h->node)->value[WP_C_BILLS_SETTLED] += after - before;
    if (after > before && h->ops->bills_settled)
        h->ops->bills_settled(h->role);
}

static void write_bills(WPHost *h, WPTime now)
{
    WPBills *b = h->ops->bills(h->role);
    const WPBillBatch *batch =
        h->kv ? wp_bills_next_batch(b, now, h->draining) : NULL;
    if (!batch)
        return;
    WPKvCompare absent = { batch->key, 0 };
    WPKvOp put = { batch->key,
                   { (const char *)batch->value->data, batch->value->len },
                   false };
    wp_count(wp_node_counters(h->node), WP_C_STORE_WRITES);
    h->kv->ops->txn(h->kv, &absent, 1, &put, 1, on_bills_written, h);
}

/* The first part of a planned stop: the health check fails already, but the
   load balancer may not have noticed yet, so new requests are still served. */
bool wp_host_lame_duck(const WPHost *h)
{
    int64_t span_us = (int64_t)h->settings->lame_duck_ms * WP_US_PER_MS;
    return h->draining && wp_host_now(h).mono_us - h->drain_start_us < span_us;
}

static void check_stop(WPHost *h, WPTime now)
{
    int64_t limit_us = (int64_t)h->settings->drain_s * WP_US_PER_S;
    if (wp_host_lame_duck(h))
        return;
    bool late = now.mono_us - h->drain_start_us > limit_us;
    bool done = h->ops->idle(h->role) &&
                (!h->kv || !wp_bills_pending(h->ops->bills(h->role)));
    if (!done && !late)
        return;
    wp_log(&h->log, late ? WP_WARN : WP_INFO, "stopped", "drained",
           done ? "yes" : "no", NULL);
    event_base_loopbreak(h->base);
}

static bool is_agent(const WPHost *h)
{
    return wp_node_self(h->node)->role == WP__ROLE__ROLE_AGENT;
}

/* Does the periodic work of the node, the links and the role. An agent's links
   get AGENT_TIMEOUT_FACTOR times as long to answer. */
static void on_tick(evutil_socket_t fd, short what, void *arg)
{
    WPHost *h = arg;
    (void)fd;
    (void)what;
    wp_clock_check(&h->log, &h->clock_monitor,
                   wp_clock_now(h->settings->clock_skew_ms));
    WPTime now = wp_host_now(h);
    wp_node_tick(h->node, now);
    wp_host_run_actions(h);
    int64_t factor = is_agent(h) ? AGENT_TIMEOUT_FACTOR : 1;
    wp_hub_tick(h->hub, now.mono_us,
                factor * h->settings->heartbeat_ms * WP_US_PER_MS,
                factor * h->settings->dead_ms * WP_US_PER_MS);
    h->ops->tick(h->role, now);
    wp_downstream_poll_buffered(h->admin, now);
    write_bills(h, now);
    if (h->draining && wp_guard_is_disabled(h->settings, WP_GUARD_DRAIN))
        event_base_loopbreak(h->base);
    if (h->draining)
        check_stop(h, now);
}

static void on_term(evutil_socket_t fd, short what, void *arg)
{
    WPHost *h = arg;
    (void)fd;
    (void)what;
    if (h->draining)
        return;
    h->draining = true;
    h->drain_start_us = wp_host_now(h).mono_us;
    wp_log(&h->log, WP_INFO, "leaving", NULL);
    h->ops->drain(h->role, wp_host_now(h));
    wp_host_run_actions(h);
}

static void on_bad_item(void *arg, const char *what, const char *why)
{
    WPHost *h = arg;
    wp_count(wp_node_counters(h->node), WP_C_BAD_ENTRIES);
    wp_log(&h->log, WP_ERROR_LEVEL, "bad_entry", "key", what, "why", why, NULL);
}

/* Creates the clients of the services that the settings name; the store's may
   inject faults in tests. Returns false and sets the error if an address is
   malformed. */
static bool open_platform(WPHost *h, GError **error)
{
    Wp__NodeSettings *s = h->settings;
    if (s->n_store)
        h->kv = wp_kv_etcd(h->base, s->store, s->n_store);
    if (h->kv) {
        h->kv->bad_item = on_bad_item;
        h->kv->bad_item_arg = h;
    }
    if (h->kv && s->test_hooks)
        h->kv = wp_kv_faulty(h->kv, &h->fault);
    if (s->boxes)
        h->boxes = wp_http_new(h->base, s->boxes, HTTP_TIMEOUT_MS);
    if (s->ratings)
        h->ratings = wp_http_new(h->base, s->ratings, HTTP_TIMEOUT_MS);
    if ((s->n_store && !h->kv) || (s->boxes && !h->boxes) ||
        (s->ratings && !h->ratings)) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                    "store, boxes, ratings: expected HOST:PORT");
        return false;
    }
    return true;
}

WPHost *wp_host_new(const Wp__NodeSettings *s, Wp__Role role, char **versions,
                    size_t n_versions, uint32_t slots, GError **error)
{
    WPHost *h = g_new0(WPHost, 1);
    Wp__Member self = WP__MEMBER__INIT;
    struct timeval tick = { 0, TICK_MS * WP_US_PER_MS };
    signal(SIGPIPE, SIG_IGN);
    h->settings = wp_pb_copy(&s->base);
    h->base = wp_process_base_new();
    h->seed = s->seed ? (uint32_t)s->seed : wp_clock_seed();
    wp_log_init(&h->log, h->settings->id, s->log_level, s->log_format);
    wp_account_init(&h->account);
    wp_account_set_memory(&h->account, s->memory_mb);
    self.id = h->settings->id;
    self.incarnation = (uint64_t)wp_host_now(h).wall_ms;
    self.role = role;
    self.addr = h->settings->listen;
    self.port = s->peer_port;
    self.zone = h->settings->zone;
    self.versions = versions;
    self.n_versions = n_versions;
    self.has_admin_port = 1;
    self.admin_port = s->admin_port;
    self.has_slots = 1;
    self.slots = slots;
    h->node = wp_node_new(h->settings, &self, h->seed, wp_host_now(h));
    h->hub = wp_hub_new(h->base, s->listen, (uint16_t)s->peer_port,
                        wp_node_self(h->node), &hub_ops, h, error);
    if (!h->hub || !open_platform(h, error) || !wp_host_open_admin(h, error)) {
        wp_host_free(h);
        return NULL;
    }
    h->tick = event_new(h->base, -1, EV_PERSIST, on_tick, h);
    event_add(h->tick, &tick);
    h->term = evsignal_new(h->base, SIGTERM, on_term, h);
    h->intr = evsignal_new(h->base, SIGINT, on_term, h);
    event_add(h->term, NULL);
    event_add(h->intr, NULL);
    return h;
}

static void free_event(struct event *e)
{
    if (e)
        event_free(e);
}

void wp_host_free(WPHost *h)
{
    if (!h)
        return;
    free_event(h->tick);
    free_event(h->term);
    free_event(h->intr);
    wp_hub_free(h->hub);
    wp_downstream_free(h->admin);
    if (h->kv)
        h->kv->ops->free(h->kv);
    wp_http_free(h->boxes);
    wp_http_free(h->ratings);
    wp_node_free(h->node);
    event_base_free(h->base);
    wp_fault_end(&h->fault);
    wp_pb_free(h->settings);
    g_free(h);
}

void wp_host_set_role(WPHost *h, const WPRoleOps *ops, void *role)
{
    h->ops = ops;
    h->role = role;
}

void wp_host_run(WPHost *h)
{
    wp_log(&h->log, WP_INFO, "started", NULL);
    event_base_dispatch(h->base);
}

WPNode *wp_host_node(WPHost *h)
{
    return h->node;
}

WPHub *wp_host_hub(WPHost *h)
{
    return h->hub;
}

WPKv *wp_host_kv(WPHost *h)
{
    return h->kv;
}

WPHttp *wp_host_ratings(WPHost *h)
{
    return h->ratings;
}

struct event_base *wp_host_base(WPHost *h)
{
    return h->base;
}

WPLog *wp_host_log(WPHost *h)
{
    return &h->log;
}

WPAccount *wp_host_account(WPHost *h)
{
    return &h->account;
}

uint32_t wp_host_seed(const WPHost *h)
{
    return h->seed;
}

bool wp_host_is_draining(const WPHost *h)
{
    return h->draining;
}
