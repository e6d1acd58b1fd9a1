/* News of the limits that endpoints name. A limit that is first named goes out
 * with the loop's next turn, as the endpoint counts what all boxes send from
 * then on; what follows within some ms goes in one message. */
#include "wp_limit_news.h"

#include <stdio.h>

enum {
    GAP_MS = 20,     /* between messages */
    TOLD_MOST = 256, /* of each sort in one message */
    FIGURE = 24      /* bytes of a figure as text */
};

struct WPLimitFlood {
    WPDirectHost *host;
    WPPeers *peers;
    struct event *send;
    GArray *demands; /* WPDemandNews: of zones, to be told */
    int64_t sent_us;
};

/* To all boxes that are linked, or to one of them; goes out when it is full. */
typedef struct Message {
    WPPeers *peers;
    const char *to; /* NULL: all */
    Wp__EndpointLimit limits[TOLD_MOST], *limit_list[TOLD_MOST];
    Wp__ZoneDemand demands[TOLD_MOST], *demand_list[TOLD_MOST];
    Wp__LimitNews news;
} Message;

static Message *new_message(WPPeers *peers, const char *to)
{
    Message *m = g_new(Message, 1);
    m->peers = peers;
    m->to = to;
    wp__limit_news__init(&m->news);
    m->news.limits = m->limit_list;
    m->news.demands = m->demand_list;
    return m;
}

static void send_message(Message *m)
{
    if (m->news.n_limits || m->news.n_demands)
        wp_peers_send_limits(m->peers, m->to, &m->news);
    m->news.n_limits = m->news.n_demands = 0;
}

static void add_limit(void *arg, const WPLimitNews *n)
{
    Message *m = arg;
    if (m->news.n_limits == TOLD_MOST)
        send_message(m);
    size_t i = m->news.n_limits++;
    Wp__EndpointLimit *l = &m->limits[i];
    wp__endpoint_limit__init(l);
    l->endpoint = n->endpoint;
    l->per_s = n->per_s;
    l->number = n->number;
    l->box = n->box;
    m->limit_list[i] = l;
}

static void add_demand(void *arg, const WPDemandNews *n)
{
    Message *m = arg;
    if (m->news.n_demands == TOLD_MOST)
        send_message(m);
    size_t i = m->news.n_demands++;
    Wp__ZoneDemand *d = &m->demands[i];
    wp__zone_demand__init(d);
    d->service = n->service;
    d->zone = n->of;
    d->per_min = n->per_min;
    d->number = n->number;
    d->box = n->box;
    m->demand_list[i] = d;
}

static void on_send(evutil_socket_t fd, short what, void *arg)
{
    WPLimitFlood *n = arg;
    WPTime now = wp_clock_now(0);
    WPLimitNews limits[TOLD_MOST];
    g_autofree Message *m = new_message(n->peers, NULL);
    (void)fd;
    (void)what;
    size_t count = wp_fleet_tell_limits(n->host->direct.fleet, now, limits,
                                        WP_COUNT(limits));
    for (size_t i = 0; i < count; i++)
        add_limit(m, &limits[i]);
    for (guint i = 0; i < n->demands->len; i++)
        add_demand(m, &g_array_index(n->demands, WPDemandNews, i));
    g_array_set_size(n->demands, 0);
    n->sent_us = now.mono_us;
    send_message(m);
}

void wp_limit_news_wake(WPLimitFlood *n)
{
    static const struct timeval at_once = { 0, 0 };
    static const struct timeval later = { 0, GAP_MS * WP_US_PER_MS };
    bool any =
        n->demands->len || wp_fleet_any_untold_limit(n->host->direct.fleet);
    if (!any || event_pending(n->send, EV_TIMEOUT, NULL))
        return;
    int64_t gap_us = wp_clock_now(0).mono_us - n->sent_us;
    bool waits = gap_us < (int64_t)GAP_MS * WP_US_PER_MS;
    event_add(n->send, waits ? &later : &at_once);
}

static void add_figure(WPLimitFlood *n, const WPDemandNews *d)
{
    if (n->demands->len < TOLD_MOST)
        g_array_append_val(n->demands, *d);
}

void wp_limit_news_tick(WPLimitFlood *n, WPTime now)
{
    WPFleet *f = n->host->direct.fleet;
    WPDemandNews d;
    while (wp_demand_is_wanted(wp_fleet_demand(f), now) &&
           wp_peers_passes_news(n->peers) &&
           wp_fleet_tell_zone_demand(f, now, &d))
        add_figure(n, &d);
    wp_limit_news_wake(n);
}

static void log_heard(WPLimitFlood *n, const char *from, const WPReplica *s,
                      double was)
{
    char had[FIGURE], has[FIGURE];
    snprintf(had, sizeof(had), "%g", was);
    snprintf(has, sizeof(has), "%g", wp_fleet_limit_of(s));
    wp_log(&n->host->log, WP_INFO, "endpoint_limit", "endpoint", s->id,
           "service", s->service, "version", s->version, "per_s", has, "was",
           had, "from", from, NULL);
}

static void hear_limit(WPLimitFlood *n, WPTime now, const char *from,
                       const Wp__EndpointLimit *l)
{
    WPFleet *f = n->host->direct.fleet;
    const WPReplica *known = wp_fleet_by_hash(f, l->endpoint);
    double was = known ? wp_fleet_limit_of(known) : 0;
    const WPLimitNews news = { l->endpoint, l->per_s, l->number, l->box };
    const WPReplica *s = wp_fleet_hear_limit(f, now, &news);
    if (s && wp_fleet_limit_of(s) != was)
        log_heard(n, from, s, was);
}

static void hear_demand(WPLimitFlood *n, WPTime now, const Wp__ZoneDemand *d)
{
    const WPDemandNews news = { d->service, d->zone, d->per_min, d->number,
                                d->box };
    if (wp_demand_hear_zone(wp_fleet_demand(n->host->direct.fleet), now, &news))
        add_figure(n, &news);
}

void wp_limit_news_heard(WPLimitFlood *n, const char *from,
                         const Wp__LimitNews *m)
{
    WPTime now = wp_clock_now(0);
    for (size_t i = 0; i < m->n_limits; i++)
        hear_limit(n, now, from, m->limits[i]);
    for (size_t i = 0; i < m->n_demands; i++)
        hear_demand(n, now, m->demands[i]);
    wp_limit_news_wake(n);
}

void wp_limit_news_peer(WPLimitFlood *n, const char *peer, bool up)
{
    WPFleet *f = n->host->direct.fleet;
    WPDemand *d = wp_fleet_demand(f);
    g_autofree Message *m = new_message(n->peers, peer);
    wp_demand_set_away(d, wp_hash(wp_str(peer), 0), !up);
    if (!up)
        return;
    wp_fleet_each_limit(f, add_limit, m);
    wp_demand_each_zone(d, wp_clock_now(0), add_demand, m);
    send_message(m);
}

WPLimitFlood *wp_limit_news_new(WPDirectHost *h, WPPeers *peers)
{
    WPLimitFlood *n = g_new0(WPLimitFlood, 1);
    n->host = h;
    n->peers = peers;
    n->send = evtimer_new(h->base, on_send, n);
    n->demands = g_array_new(FALSE, FALSE, sizeof(WPDemandNews));
    return n;
}

void wp_limit_news_free(WPLimitFlood *n)
{
    if (!n)
        return;
    event_free(n->send);
    g_array_unref(n->demands);
    g_free(n);
}
