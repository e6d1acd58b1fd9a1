/* The frame that all daemons share. */
#include "wp_host.h"
#include "wp_code.h"
#include "wp_fault.h"
#include "wp_guard.h"
#include "wp_pb.h"

#include <event2/buffer.h>
#include <signal.h>
#include <stdlib.h>

/* An agent hears little of an entry while it streams to it, and has less to
   lose by a dead one: it pings and waits this many times longer. */
#define AGENT_PATIENCE 10

enum { TICK_MS = 20, HTTP_TIMEOUT_MS = 2000, TIMELINE_MOST = 4096 };

struct WPHost {
    struct event_base *base;
    Wp__NodeSettings *settings;
    WPLog log;
    WPNode *node;
    WPHub *hub;
    WPKv *kv;
    WPHttp *boxes, *ratings;
    struct evhttp *admin;
    struct event *tick, *term, *intr;
    const WPRoleOps *ops;
    void *role;
    uint32_t seed;
    Wp__Load load; /* what rides on frames */
    WPFault fault;
    bool leaving, pumping, boxes_asked, ratings_asked;
    int64_t leave_us;
};

typedef struct Ask {
    WPHost *h;
    int64_t asked_us;
} Ask;

static Ask *new_ask(WPHost *h)
{
    Ask *a = g_new0(Ask, 1);
    a->h = h;
    a->asked_us = wp_host_now(h).mono_us;
    return a;
}

WPTime wp_host_now(const WPHost *h)
{
    return wp_clock_now(h->settings->clock_skew_ms);
}

static void on_head(void *arg, const WPKvResult *r)
{
    Ask *a = arg;
    WPHost *h = a->h;
    const WPKvItem *i = r->n_items ? r->items : NULL;
    wp_node_head(h->node, wp_host_now(h), a->asked_us, r->ok,
                 i ? i->mod_revision : 0,
                 i ? (const uint8_t *)i->value.p : NULL, i ? i->value.n : 0);
    g_free(a);
    wp_host_pump(h);
}

static void on_all(void *arg, const WPKvResult *r)
{
    Ask *a = arg;
    WPHost *h = a->h;
    Wp__Snapshot *s = wp_kv_snapshot(r);
    wp_node_all(h->node, wp_host_now(h), a->asked_us, r->ok, s);
    wp_pb_free(s);
    g_free(a);
    wp_host_pump(h);
}

static void on_watch(void *arg, const WPKvItem *item)
{
    WPHost *h = arg;
    if (item)
        wp_node_watched(h->node, wp_host_now(h), item->mod_revision,
                        (const uint8_t *)item->value.p, item->value.n);
    else
        wp_node_watch_ended(h->node, wp_host_now(h));
    wp_host_pump(h);
}

static void on_boxes(void *arg, int status, WPStr body)
{
    WPHost *h = arg;
    json_t *j = status == 200 ? json_loadb(body.p, body.n, 0, NULL) : NULL;
    json_t *list = json_object_get(j, "boxes");
    size_t n = json_array_size(list), i;
    g_autofree WPBox *boxes = g_new0(WPBox, n + 1);
    json_t *one;
    h->boxes_asked = false;
    json_array_foreach (list, i, one) {
        const char *state = json_string_value(json_object_get(one, "state"));
        boxes[i].id = json_string_value(json_object_get(one, "id"));
        boxes[i].addr = json_string_value(json_object_get(one, "addr"));
        boxes[i].port =
            (uint32_t)json_integer_value(json_object_get(one, "port"));
        boxes[i].leaving = state && !strcmp(state, "leaving");
        if (!boxes[i].id || !boxes[i].addr)
            n = 0; /* not a list that can be trusted */
    }
    if (json_is_array(list) && (n || !json_array_size(list)))
        wp_node_boxes(h->node, wp_host_now(h), boxes, n);
    json_decref(j);
    wp_host_pump(h);
}

static void on_ratings(void *arg, int status, WPStr body)
{
    WPHost *h = arg;
    json_t *j = status == 200 ? json_loadb(body.p, body.n, 0, NULL) : NULL;
    json_t *list = json_object_get(j, "sums");
    size_t n = json_array_size(list), i;
    g_autofree Wp__RatingSum *room = g_new0(Wp__RatingSum, n + 1);
    g_autofree Wp__RatingSum **sums = g_new0(Wp__RatingSum *, n + 1);
    Wp__Ratings r = WP__RATINGS__INIT;
    json_t *one;
    h->ratings_asked = false;
    r.seq = (uint64_t)json_integer_value(json_object_get(j, "seq"));
    r.sums = sums;
    json_array_foreach (list, i, one) {
        Wp__RatingSum *s = &room[i];
        const char *kind = json_string_value(json_object_get(one, "kind"));
        const char *v = json_string_value(json_object_get(one, "version"));
        wp__rating_sum__init(s);
        if (!kind || !v)
            continue;
        s->kind = (char *)kind;
        s->version = (char *)v;
        s->count = (uint32_t)json_integer_value(json_object_get(one, "count"));
        s->sum = json_number_value(json_object_get(one, "sum"));
        sums[r.n_sums++] = s;
    }
    if (j)
        wp_node_ratings(h->node, wp_host_now(h), &r);
    json_decref(j);
    wp_host_pump(h);
}

static void log_config(WPHost *h)
{
    g_autofree char *rev = g_strdup_printf(
        "%lu", (unsigned long)wp_config_revision(wp_node_config(h->node)));
    wp_log(&h->log, WP_INFO, "config", "revision", rev, NULL);
}

static void refresh(WPHost *h)
{
    if (h->role)
        h->ops->refresh(h->role, wp_host_now(h));
}

static void act(WPHost *h, const WPAction *a)
{
    switch (a->kind) {
    case WP_ACT_SEND: {
        WPLink *l = wp_hub_link(h->hub, a->addr);
        if (l)
            wp_link_send_packed(l, a->frame->data, a->frame->len);
        break;
    }
    case WP_ACT_READ_HEAD:
        h->kv->ops->range(h->kv, WP_KV_HEAD, NULL, on_head, new_ask(h));
        break;
    case WP_ACT_READ_ALL:
        h->kv->ops->range(h->kv, WP_KV_CONFIG, WP_KV_CONFIG_END, on_all,
                          new_ask(h));
        break;
    case WP_ACT_WATCH:
        h->kv->ops->watch(h->kv, WP_KV_HEAD,
                          wp_config_revision(wp_node_config(h->node)) + 1,
                          on_watch, h);
        break;
    case WP_ACT_UNWATCH:
        h->kv->ops->unwatch(h->kv);
        break;
    case WP_ACT_READ_BOXES:
        if (!h->boxes_asked)
            wp_http_call(h->boxes, "/v1/boxes", NULL, on_boxes, h);
        h->boxes_asked = true;
        break;
    case WP_ACT_READ_RATINGS:
        if (!h->ratings_asked)
            wp_http_call(h->ratings, "/v1/sums", NULL, on_ratings, h);
        h->ratings_asked = true;
        break;
    case WP_ACT_CONFIG:
        log_config(h);
        refresh(h);
        break;
    case WP_ACT_MEMBERS:
    case WP_ACT_QUALITY:
        refresh(h);
        break;
    case WP_ACT_READY:
        wp_log(&h->log, WP_INFO, "ready", "store",
               wp_node_store_up(h->node) ? "up" : "down", NULL);
        refresh(h);
        break;
    }
}

void wp_host_pump(WPHost *h)
{
    WPAction *a;
    if (h->pumping)
        return;
    h->pumping = true;
    while ((a = wp_node_next(h->node))) {
        act(h, a);
        wp_action_free(a);
    }
    h->pumping = false;
}

static void on_frame(void *arg, WPLink *l, Wp__Frame *f)
{
    WPHost *h = arg;
    WPTime now = wp_host_now(h);
    bool done = wp_node_frame(h->node, now, l->addr ? l->addr : "", f);
    if (f->has_revision && l->addr)
        wp_node_saw(h->node, now, l->addr, f->revision);
    wp_host_pump(h);
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
        h->ops->frame(h->role, l, f);
    wp_host_pump(h);
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
        h->ops->link_down(h->role, l);
}

/* The revision, the clock and the load ride on every frame but the many that
   carry an answer's pieces. */
static void on_stamp(void *arg, Wp__Frame *f)
{
    WPHost *h = arg;
    if (f->body_case == WP__FRAME__BODY_CHUNK ||
        f->body_case == WP__FRAME__BODY_WINDOW)
        return;
    f->has_revision = 1;
    f->revision = wp_config_revision(wp_node_config(h->node));
    f->has_hlc = 1;
    f->hlc = wp_events_clock(wp_node_events(h->node), wp_host_now(h));
    if (h->role && h->ops->load) {
        h->ops->load(h->role, &h->load);
        f->load = &h->load;
    }
}

static void on_bad(void *arg, WPLink *l)
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
    .stamp = on_stamp,
    .bad = on_bad,
    .blocked = on_blocked,
};

static void on_bills(void *arg, const WPKvResult *r)
{
    WPHost *h = arg;
    WPBills *b = h->ops->bills(h->role);
    uint64_t before = wp_bills_settled(b);
    WPBillWrite result = !r->ok         ? WP_BILL_FAILED
                         : r->succeeded ? WP_BILL_CREATED
                         : r->n_items   ? WP_BILL_EXISTS
                                        : WP_BILL_FAILED;
    const WPKvItem *i = r->n_items ? r->items : NULL;
    wp_bills_written(b, wp_host_now(h), result,
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
    const WPBillBatch *batch = h->kv ? wp_bills_due(b, now, h->leaving) : NULL;
    if (!batch)
        return;
    WPKvCompare absent = { batch->key, 0 };
    WPKvOp put = { batch->key,
                   { (const char *)batch->value->data, batch->value->len },
                   false };
    wp_count(wp_node_counters(h->node), WP_C_STORE_WRITES);
    h->kv->ops->txn(h->kv, &absent, 1, &put, 1, on_bills, h);
}

/* The first part of a planned stop: the health answer has turned, but the
   balancer may not have seen it yet, so new requests are still served. */
bool wp_host_lame_duck(const WPHost *h)
{
    int64_t span_us = (int64_t)h->settings->lame_duck_ms * WP_US_PER_MS;
    return h->leaving && wp_host_now(h).mono_us - h->leave_us < span_us;
}

static void check_stop(WPHost *h, WPTime now)
{
    int64_t limit_us = (int64_t)h->settings->drain_s * WP_US_PER_S;
    if (wp_host_lame_duck(h))
        return;
    bool late = now.mono_us - h->leave_us > limit_us;
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

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
    WPHost *h = arg;
    WPTime now = wp_host_now(h);
    (void)fd;
    (void)what;
    wp_node_tick(h->node, now);
    wp_host_pump(h);
    int64_t patience = is_agent(h) ? AGENT_PATIENCE : 1;
    wp_hub_tick(h->hub, now.mono_us,
                patience * h->settings->heartbeat_ms * WP_US_PER_MS,
                patience * h->settings->dead_ms * WP_US_PER_MS);
    h->ops->tick(h->role, now);
    write_bills(h, now);
    if (h->leaving && wp_guard_off(h->settings, WP_GUARD_DRAIN))
        event_base_loopbreak(h->base);
    if (h->leaving)
        check_stop(h, now);
}

static void on_term(evutil_socket_t fd, short what, void *arg)
{
    WPHost *h = arg;
    (void)fd;
    (void)what;
    if (h->leaving)
        return;
    h->leaving = true;
    h->leave_us = wp_host_now(h).mono_us;
    wp_log(&h->log, WP_INFO, "leaving", NULL);
    h->ops->leave(h->role, wp_host_now(h));
    wp_host_pump(h);
}

bool wp_host_health(WPHost *h, struct evhttp_request *r, const char *path)
{
    if (!strcmp(path, "/healthz")) {
        /* Turned first at a planned stop, so that the balancer turns away. */
        wp_http_text(r, h->leaving ? 503 : 200, "text/plain",
                     wp_str(h->leaving ? "leaving\n" : "ok\n"));
        return true;
    }
    if (!strcmp(path, "/readyz")) {
        bool ready = wp_node_ready(h->node) && !h->leaving;
        wp_http_text(r, ready ? 200 : 503, "text/plain",
                     wp_str(ready ? "ready\n" : "not ready\n"));
        return true;
    }
    if (strcmp(path, "/metrics"))
        return false;
    g_autoptr(GString) out = g_string_new(NULL);
    g_autofree char *labels = g_strdup_printf(
        "box=\"%s\",zone=\"%s\"", h->settings->id, h->settings->zone);
    wp_counters_text(wp_node_counters(h->node), labels, out);
    wp_http_text(r, 200, "text/plain; version=0.0.4", wp_str(out->str));
    return true;
}

static json_t *status_json(WPHost *h)
{
    WPTime now = wp_host_now(h);
    const Wp__Member *self = wp_node_self(h->node);
    int64_t age = wp_node_age_ms(h->node, now);
    json_t *o = json_pack(
        "{s:s,s:s,s:s,s:I,s:I,s:b,s:b,s:b,s:I,s:i,s:i}", "id", self->id, "role",
        self->role == WP__ROLE__ROLE_ENTRY ? "entry" : "agent", "zone",
        h->settings->zone, "incarnation", (json_int_t)self->incarnation,
        "revision", (json_int_t)wp_config_revision(wp_node_config(h->node)),
        "ready", wp_node_ready(h->node), "store_up", wp_node_store_up(h->node),
        "leaving", h->leaving, "age_ms",
        (json_int_t)(age == INT64_MAX ? -1 : age), "boxes",
        (int)wp_members_live(wp_node_members(h->node)), "bills_pending",
        (int)wp_bills_pending(h->ops->bills(h->role)));
    h->ops->status(h->role, o);
    return o;
}

static void close_link(void *arg, WPLink *l)
{
    (void)arg;
    wp_link_close(l);
}

/* A connection that lost bytes cannot go on: with each change of the faults
   those that are not cut start anew. */
static void set_fault(WPHost *h, struct evhttp_request *r)
{
    json_t *j = wp_http_body_json(r);
    bool was = h->fault.in || h->fault.out;
    wp_fault_set(&h->fault, j);
    json_decref(j);
    if (was && !h->fault.in && !h->fault.out)
        wp_hub_each(h->hub, close_link, NULL);
    if (h->fault.store && h->kv)
        h->kv->ops->unwatch(h->kv);
    if (h->fault.store)
        wp_node_watch_ended(h->node, wp_host_now(h));
    wp_http_json(r, 200, json_object());
}

static void add_member(void *arg, const WPMemberRow *r)
{
    json_array_append_new(arg, wp_pb_json(&r->m->base));
}

static void on_admin(struct evhttp_request *r, void *arg)
{
    WPHost *h = arg;
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
    if (!path)
        path = "/";
    if (wp_host_health(h, r, path))
        return;
    if (!strcmp(path, "/v1/test") && h->settings->test_hooks) {
        set_fault(h, r);
    } else if (!strcmp(path, "/v1/status")) {
        wp_http_json(r, 200, status_json(h));
    } else if (!strcmp(path, "/v1/timeline")) {
        g_autofree char *request = wp_http_query(r, "request");
        wp_http_json(
            r, 200,
            wp_events_json(wp_node_events(h->node), request, TIMELINE_MOST));
    } else if (!strcmp(path, "/v1/boxes")) {
        json_t *list = json_array();
        wp_members_each(wp_node_members(h->node), add_member, list);
        wp_http_json(r, 200, list);
    } else if (!h->ops->admin || !h->ops->admin(h->role, r, path)) {
        wp_http_json(r, 404, json_pack("{s:s}", "error", "no such page"));
    }
}

static bool open_platform(WPHost *h, GError **error)
{
    Wp__NodeSettings *s = h->settings;
    if (s->n_store)
        h->kv = wp_kv_etcd(h->base, s->store, s->n_store);
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

static bool open_admin(WPHost *h, GError **error)
{
    h->admin = evhttp_new(h->base);
    evhttp_set_gencb(h->admin, on_admin, h);
    if (wp_http_listen(h->admin, h->settings->listen,
                       (uint16_t)h->settings->admin_port))
        return true;
    g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                "admin_port: cannot listen on %s:%u", h->settings->listen,
                h->settings->admin_port);
    return false;
}

WPHost *wp_host_new(const Wp__NodeSettings *s, Wp__Role role, char **versions,
                    size_t n_versions, uint32_t slots, GError **error)
{
    WPHost *h = g_new0(WPHost, 1);
    Wp__Member self = WP__MEMBER__INIT;
    struct timeval tick = { 0, TICK_MS * WP_US_PER_MS };
    signal(SIGPIPE, SIG_IGN);
    h->settings = wp_pb_copy(&s->base);
    h->base = event_base_new();
    h->seed = s->seed ? (uint32_t)s->seed : wp_clock_seed();
    wp_log_init(&h->log, h->settings->id, s->log_level, s->log_format);
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
    if (!h->hub || !open_platform(h, error) || !open_admin(h, error)) {
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
    if (h->admin)
        evhttp_free(h->admin);
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

const WPLog *wp_host_log(const WPHost *h)
{
    return &h->log;
}

uint32_t wp_host_seed(const WPHost *h)
{
    return h->seed;
}

bool wp_host_leaving(const WPHost *h)
{
    return h->leaving;
}
