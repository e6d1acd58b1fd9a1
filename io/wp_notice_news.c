/* News of limits that endpoints name, and of endpoints that leave or rest. A
 * word goes out with the loop's next turn, as an endpoint counts what all boxes
 * send from the first naming of a limit on; what follows within some ms goes in
 * one message. */
#include "wp_notice_news.h"

#include <stdio.h>

enum {
    GAP_MS = 20,     /* between messages */
    TOLD_MOST = 256, /* of each sort in one message */
    FIGURE = 24      /* bytes of a figure as text */
};

struct WPNoticeFlood {
    WPDirectHost *host;
    WPPeers *peers;
    struct event *send;
    GArray *demands; /* WPDemandUpdate: of zones, to be told */
    int64_t sent_us;
};

/* To all boxes that are linked, or to one of them; goes out when it is full. */
typedef struct Message {
    WPPeers *peers;
    const char *to; /* NULL: all */
    Wp__EndpointLimit limits[TOLD_MOST], *limit_list[TOLD_MOST];
    Wp__ZoneDemand demands[TOLD_MOST], *demand_list[TOLD_MOST];
    uint64_t leaving[TOLD_MOST];
    Wp__EndpointRest rests[TOLD_MOST], *rest_list[TOLD_MOST];
    Wp__NoticeNews news;
} Message;

static Message *new_message(WPPeers *peers, const char *to)
{
    Message *m = g_new(Message, 1);
    m->peers = peers;
    m->to = to;
    wp__notice_news__init(&m->news);
    m->news.limits = m->limit_list;
    m->news.demands = m->demand_list;
    m->news.leaving = m->leaving;
    m->news.rests = m->rest_list;
    return m;
}

static void send_message(Message *m)
{
    if (m->news.n_limits || m->news.n_demands || m->news.n_leaving ||
        m->news.n_rests)
        wp_peers_send_notices(m->peers, m->to, &m->news);
    m->news.n_limits = m->news.n_demands = 0;
    m->news.n_leaving = m->news.n_rests = 0;
}

static void add_limit(void *arg, const WPLimitUpdate *n)
{
    Message *m = arg;
    if (m->news.n_limits == TOLD_MOST)
        send_message(m);
    size_t i = m->news.n_limits++;
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
    if (m->news.n_demands == TOLD_MOST)
        send_message(m);
    size_t i = m->news.n_demands++;
    Wp__ZoneDemand *d = &m->demands[i];
    wp__zone_demand__init(d);
    d->service = n->service;
    d->zone = n->subject;
    d->per_min = n->per_min;
    d->number = n->sequence;
    d->box = n->origin_box;
    m->demand_list[i] = d;
}

static void add_leaving(void *arg, uint64_t life)
{
    Message *m = arg;
    if (m->news.n_leaving == TOLD_MOST)
        send_message(m);
    m->leaving[m->news.n_leaving++] = life;
}

static void add_rests(WPNoticeFlood *n, WPTime now, Message *m)
{
    WPBackoffUpdate rests[TOLD_MOST];
    m->news.n_rests = wp_fleet_take_unsent_backoffs(n->host->direct.fleet, now,
                                                    rests, WP_COUNT(rests));
    for (size_t i = 0; i < m->news.n_rests; i++) {
        wp__endpoint_rest__init(&m->rests[i]);
        m->rests[i].endpoint = rests[i].endpoint;
        m->rests[i].left_ms = rests[i].left_ms;
        m->rest_list[i] = &m->rests[i];
    }
}

static void on_send(evutil_socket_t fd, short what, void *arg)
{
    WPNoticeFlood *n = arg;
    WPTime now = wp_clock_now(0);
    WPLimitUpdate limits[TOLD_MOST];
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
    m->news.n_leaving = wp_fleet_take_unsent_draining(
        n->host->direct.fleet, m->leaving, WP_COUNT(m->leaving));
    add_rests(n, now, m);
    n->sent_us = now.mono_us;
    send_message(m);
}

void wp_notice_news_wake(WPNoticeFlood *n)
{
    static const struct timeval at_once = { 0, 0 };
    static const struct timeval later = { 0, GAP_MS * WP_US_PER_MS };
    const WPFleet *f = n->host->direct.fleet;
    bool any = n->demands->len || wp_fleet_has_unsent_limits(f) ||
               wp_fleet_has_unsent_draining(f) ||
               wp_fleet_has_unsent_backoffs(f);
    if (!any || event_pending(n->send, EV_TIMEOUT, NULL))
        return;
    int64_t gap_us = wp_clock_now(0).mono_us - n->sent_us;
    bool waits = gap_us < (int64_t)GAP_MS * WP_US_PER_MS;
    event_add(n->send, waits ? &later : &at_once);
}

static void add_figure(WPNoticeFlood *n, const WPDemandUpdate *d)
{
    if (n->demands->len < TOLD_MOST)
        g_array_append_val(n->demands, *d);
}

static void log_rested(WPNoticeFlood *n, WPTime now)
{
    WPReplica *s;
    while ((s = wp_fleet_next_backoff_ended(n->host->direct.fleet, now))) {
        wp_log(&n->host->log, WP_INFO, "endpoint_rested", "endpoint", s->id,
               "service", s->service, "version", s->version, NULL);
        wp_replica_unref(s);
    }
}

void wp_notice_news_tick(WPNoticeFlood *n, WPTime now)
{
    WPFleet *f = n->host->direct.fleet;
    WPDemandUpdate d;
    while (wp_demand_is_active(wp_fleet_demand(f), now) &&
           wp_peers_passes_news(n->peers) &&
           wp_fleet_take_unsent_zone_demand(f, now, &d))
        add_figure(n, &d);
    log_rested(n, now);
    wp_notice_news_wake(n);
}

static void log_heard(WPNoticeFlood *n, const char *from, const WPReplica *s,
                      double was)
{
    char had[FIGURE], has[FIGURE];
    snprintf(had, sizeof(had), "%g", was);
    snprintf(has, sizeof(has), "%g", wp_fleet_limit_of(s));
    wp_log(&n->host->log, WP_INFO, "endpoint_limit", "endpoint", s->id,
           "service", s->service, "version", s->version, "per_s", has, "was",
           had, "from", from, NULL);
}

static void hear_limit(WPNoticeFlood *n, WPTime now, const char *from,
                       const Wp__EndpointLimit *l)
{
    WPFleet *f = n->host->direct.fleet;
    const WPReplica *known = wp_fleet_by_hash(f, l->endpoint);
    double was = known ? wp_fleet_limit_of(known) : 0;
    const WPLimitUpdate news = { l->endpoint, l->per_s, l->number, l->box };
    const WPReplica *s = wp_fleet_merge_limit(f, now, &news);
    if (s && wp_fleet_limit_of(s) != was)
        log_heard(n, from, s, was);
}

static void hear_demand(WPNoticeFlood *n, WPTime now, const Wp__ZoneDemand *d)
{
    const WPDemandUpdate news = { d->service, d->zone, d->per_min, d->number,
                                  d->box };
    if (wp_demand_merge_zone(wp_fleet_demand(n->host->direct.fleet), now,
                             &news))
        add_figure(n, &news);
}

static void hear_leaving(WPNoticeFlood *n, WPTime now, const char *from,
                         uint64_t life)
{
    const WPReplica *s =
        wp_fleet_merge_draining(n->host->direct.fleet, now, life);
    if (s)
        wp_log(&n->host->log, WP_INFO, "endpoint_leaving", "endpoint", s->id,
               "service", s->service, "version", s->version, "zone", s->zone,
               "from", from, NULL);
}

void wp_notice_news_heard(WPNoticeFlood *n, const char *from,
                          const Wp__NoticeNews *m)
{
    WPTime now = wp_clock_now(0);
    for (size_t i = 0; i < m->n_limits; i++)
        hear_limit(n, now, from, m->limits[i]);
    for (size_t i = 0; i < m->n_demands; i++)
        hear_demand(n, now, m->demands[i]);
    for (size_t i = 0; i < m->n_leaving; i++)
        hear_leaving(n, now, from, m->leaving[i]);
    for (size_t i = 0; i < m->n_rests; i++) {
        const WPBackoffUpdate r = { m->rests[i]->endpoint,
                                    m->rests[i]->left_ms };
        wp_fleet_merge_backoff(n->host->direct.fleet, now, &r);
    }
    wp_notice_news_wake(n);
}

void wp_notice_news_peer(WPNoticeFlood *n, const char *peer, bool up)
{
    WPFleet *f = n->host->direct.fleet;
    WPDemand *d = wp_fleet_demand(f);
    g_autofree Message *m = new_message(n->peers, peer);
    wp_demand_set_unreachable(d, wp_hash(wp_str(peer), 0), !up);
    if (!up)
        return;
    wp_fleet_each_limit(f, add_limit, m);
    wp_demand_each_zone(d, wp_clock_now(0), add_demand, m);
    wp_fleet_each_draining(f, add_leaving, m);
    send_message(m);
}

WPNoticeFlood *wp_notice_news_new(WPDirectHost *h, WPPeers *peers)
{
    WPNoticeFlood *n = g_new0(WPNoticeFlood, 1);
    n->host = h;
    n->peers = peers;
    n->send = evtimer_new(h->base, on_send, n);
    n->demands = g_array_new(FALSE, FALSE, sizeof(WPDemandUpdate));
    return n;
}

void wp_notice_news_free(WPNoticeFlood *n)
{
    if (!n)
        return;
    event_free(n->send);
    g_array_unref(n->demands);
    g_free(n);
}
