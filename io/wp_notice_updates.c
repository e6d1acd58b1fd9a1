/* Sends to other boxes the limits that endpoints report, and which endpoints
 * drain or ask for back-off. The first update goes out in the next iteration
 * of the event loop, because an endpoint counts the requests of all boxes as
 * soon as it has reported a limit; updates that follow within
 * MIN_INTERVAL_MS are sent in one message. */
#include "wp_notice_updates.h"

#include <stdio.h>

enum {
    MIN_INTERVAL_MS = 20, /* between messages */
    ITEMS_MAX = 256,      /* of each kind in one message */
    NUMBER_SIZE = 24      /* bytes of a number as text */
};

struct WPNoticeUpdates {
    WPDirectHost *host;
    WPPeers *peers;
    struct event *send;
    GArray *demands; /* WPDemandUpdate: demand rates of zones, not sent yet */
    int64_t sent_us;
};

/* A message to all linked boxes or to one of them; sent early when full. */
typedef struct Message {
    WPPeers *peers;
    const char *to; /* box id; NULL: all boxes */
    Wp__EndpointLimit limits[ITEMS_MAX], *limit_list[ITEMS_MAX];
    Wp__ZoneDemand demands[ITEMS_MAX], *demand_list[ITEMS_MAX];
    uint64_t leaving[ITEMS_MAX];
    Wp__EndpointRest rests[ITEMS_MAX], *rest_list[ITEMS_MAX];
    Wp__NoticeNews wire;
} Message;

static Message *new_message(WPPeers *peers, const char *to)
{
    Message *m = g_new(Message, 1);
    m->peers = peers;
    m->to = to;
    wp__notice_news__init(&m->wire);
    m->wire.limits = m->limit_list;
    m->wire.demands = m->demand_list;
    m->wire.leaving = m->leaving;
    m->wire.rests = m->rest_list;
    return m;
}

static void send_message(Message *m)
{
    if (m->wire.n_limits || m->wire.n_demands || m->wire.n_leaving ||
        m->wire.n_rests)
        wp_peers_send_notices(m->peers, m->to, &m->wire);
    m->wire.n_limits = m->wire.n_demands = 0;
    m->wire.n_leaving = m->wire.n_rests = 0;
}

/* Adds a rate limit to the Message `arg`, which is sent first if it is full. */
static void add_limit(void *arg, const WPLimitUpdate *n)
{
    Message *m = arg;
    if (m->wire.n_limits == ITEMS_MAX)
        send_message(m);
    size_t i = m->wire.n_limits++;
    Wp__EndpointLimit *l = &m->limits[i];
    wp__endpoint_limit__init(l);
    l->endpoint = n->endpoint;
    l->per_s = n->per_s;
    l->number = n->sequence;
    l->box = n->origin_box;
    m->limit_list[i] = l;
}

static void add_demand(void *arg, const WPDemandUpdate *n)
{
    Message *m = arg;
    if (m->wire.n_demands == ITEMS_MAX)
        send_message(m);
    size_t i = m->wire.n_demands++;
    Wp__ZoneDemand *d = &m->demands[i];
    wp__zone_demand__init(d);
    d->service = n->service;
    d->zone = n->subject;
    d->per_min = n->per_min;
    d->number = n->sequence;
    d->box = n->origin_box;
    m->demand_list[i] = d;
}

static void add_draining(void *arg, uint64_t incarnation)
{
    Message *m = arg;
    if (m->wire.n_leaving == ITEMS_MAX)
        send_message(m);
    m->leaving[m->wire.n_leaving++] = incarnation;
}

static void add_backoffs(WPNoticeUpdates *n, WPTime now, Message *m)
{
    WPBackoffUpdate rests[ITEMS_MAX];
    m->wire.n_rests = wp_fleet_take_unsent_backoffs(n->host->direct.fleet, now,
                                                    rests, WP_COUNT(rests));
    for (size_t i = 0; i < m->wire.n_rests; i++) {
        wp__endpoint_rest__init(&m->rests[i]);
        m->rests[i].endpoint = rests[i].endpoint;
        m->rests[i].left_ms = rests[i].left_ms;
        m->rest_list[i] = &m->rests[i];
    }
}

/* Sends the other boxes, in one message, the limits, demand rates, draining
   endpoints and back-offs that are unsent. */
static void on_send(evutil_socket_t fd, short what, void *arg)
{
    WPNoticeUpdates *n = arg;
    WPTime now = wp_clock_now(0);
    WPLimitUpdate limits[ITEMS_MAX];
    g_autofree Message *m = new_message(n->peers, NULL);
    (void)fd;
    (void)what;
    size_t count = wp_fleet_take_unsent_limits(n->host->direct.fleet, now,
                                               limits, WP_COUNT(limits));
    for (size_t i = 0; i < count; i++)
        add_limit(m, &limits[i]);
    for (guint i = 0; i < n->demands->len; i++)
        add_demand(m, &g_array_index(n->demands, WPDemandUpdate, i));
    g_array_set_size(n->demands, 0);
    m->wire.n_leaving = wp_fleet_take_unsent_draining(
        n->host->direct.fleet, m->leaving, WP_COUNT(m->leaving));
    add_backoffs(n, now, m);
    n->sent_us = now.mono_us;
    send_message(m);
}

void wp_notice_updates_schedule(WPNoticeUpdates *n)
{
    static const struct timeval at_once = { 0, 0 };
    static const struct timeval later = { 0, MIN_INTERVAL_MS * WP_US_PER_MS };
    const WPFleet *f = n->host->direct.fleet;
    bool any = n->demands->len || wp_fleet_has_unsent_limits(f) ||
               wp_fleet_has_unsent_draining(f) ||
               wp_fleet_has_unsent_backoffs(f);
    if (!any || event_pending(n->send, EV_TIMEOUT, NULL))
        return;
    int64_t gap_us = wp_clock_now(0).mono_us - n->sent_us;
    bool waits = gap_us < (int64_t)MIN_INTERVAL_MS * WP_US_PER_MS;
    event_add(n->send, waits ? &later : &at_once);
}

static void queue_demand(WPNoticeUpdates *n, const WPDemandUpdate *d)
{
    if (n->demands->len < ITEMS_MAX)
        g_array_append_val(n->demands, *d);
}

static void log_ended_backoffs(WPNoticeUpdates *n, WPTime now)
{
    WPReplica *s;
    while ((s = wp_fleet_next_backoff_ended(n->host->direct.fleet, now))) {
        wp_log(&n->host->log, WP_INFO, "endpoint_rested", "endpoint", s->id,
               "service", s->service, "version", s->version, NULL);
        wp_replica_unref(s);
    }
}

void wp_notice_updates_tick(WPNoticeUpdates *n, WPTime now)
{
    WPFleet *f = n->host->direct.fleet;
    WPDemandUpdate d;
    while (wp_demand_is_active(wp_fleet_demand(f), now) &&
           wp_peers_is_relay_root(n->peers) &&
           wp_fleet_take_unsent_zone_demand(f, now, &d))
        queue_demand(n, &d);
    log_ended_backoffs(n, now);
    wp_notice_updates_schedule(n);
}

static void log_merged_limit(WPNoticeUpdates *n, const char *from,
                             const WPReplica *s, double previous)
{
    char had[NUMBER_SIZE], has[NUMBER_SIZE];
    snprintf(had, sizeof(had), "%g", previous);
    snprintf(has, sizeof(has), "%g", wp_fleet_limit_of(s));
    wp_log(&n->host->log, WP_INFO, "endpoint_limit", "endpoint", s->id,
           "service", s->service, "version", s->version, "per_s", has, "was",
           had, "from", from, NULL);
}

static void merge_limit(WPNoticeUpdates *n, WPTime now, const char *from,
                        const Wp__EndpointLimit *l)
{
    WPFleet *f = n->host->direct.fleet;
    const WPReplica *known = wp_fleet_by_hash(f, l->endpoint);
    double previous = known ? wp_fleet_limit_of(known) : 0;
    const WPLimitUpdate update = { l->endpoint, l->per_s, l->number, l->box };
    const WPReplica *s = wp_fleet_merge_limit(f, now, &update);
    if (s && wp_fleet_limit_of(s) != previous)
        log_merged_limit(n, from, s, previous);
}

static void merge_demand(WPNoticeUpdates *n, WPTime now,
                         const Wp__ZoneDemand *d)
{
    const WPDemandUpdate update = { d->service, d->zone, d->per_min, d->number,
                                    d->box };
    if (wp_demand_merge_zone(wp_fleet_demand(n->host->direct.fleet), now,
                             &update))
        queue_demand(n, &update);
}

static void merge_draining(WPNoticeUpdates *n, WPTime now, const char *from,
                           uint64_t incarnation)
{
    const WPReplica *s =
        wp_fleet_merge_draining(n->host->direct.fleet, now, incarnation);
    if (s)
        wp_log(&n->host->log, WP_INFO, "endpoint_leaving", "endpoint", s->id,
               "service", s->service, "version", s->version, "zone", s->zone,
               "from", from, NULL);
}

void wp_notice_updates_merge(WPNoticeUpdates *n, const char *from,
                             const Wp__NoticeNews *m)
{
    WPTime now = wp_clock_now(0);
    for (size_t i = 0; i < m->n_limits; i++)
        merge_limit(n, now, from, m->limits[i]);
    for (size_t i = 0; i < m->n_demands; i++)
        merge_demand(n, now, m->demands[i]);
    for (size_t i = 0; i < m->n_leaving; i++)
        merge_draining(n, now, from, m->leaving[i]);
    for (size_t i = 0; i < m->n_rests; i++) {
        const WPBackoffUpdate r = { m->rests[i]->endpoint,
                                    m->rests[i]->left_ms };
        wp_fleet_merge_backoff(n->host->direct.fleet, now, &r);
    }
    wp_notice_updates_schedule(n);
}

void wp_notice_updates_peer_changed(WPNoticeUpdates *n, const char *peer,
                                    bool up)
{
    WPFleet *f = n->host->direct.fleet;
    WPDemand *d = wp_fleet_demand(f);
    g_autofree Message *m = new_message(n->peers, peer);
    wp_demand_set_unreachable(d, wp_hash(wp_str(peer), 0), !up);
    if (!up)
        return;
    wp_fleet_each_limit(f, add_limit, m);
    wp_demand_each_zone(d, wp_clock_now(0), add_demand, m);
    wp_fleet_each_draining(f, add_draining, m);
    send_message(m);
}

WPNoticeUpdates *wp_notice_updates_new(WPDirectHost *h, WPPeers *peers)
{
    WPNoticeUpdates *n = g_new0(WPNoticeUpdates, 1);
    n->host = h;
    n->peers = peers;
    n->send = evtimer_new(h->base, on_send, n);
    n->demands = g_array_new(FALSE, FALSE, sizeof(WPDemandUpdate));
    return n;
}

void wp_notice_updates_free(WPNoticeUpdates *n)
{
    if (!n)
        return;
    event_free(n->send);
    g_array_unref(n->demands);
    g_free(n);
}
