/* Exchanges news of endpoints with the other boxes of the zone
 * (src/wp_box_news.h): what gathers within a few ms goes out in one message. */
#include "wp_sync_int.h"
#include "wp_zone.h"

enum {
    GATHER_MS = 20, /* a prompt is read in 30 to 400 ms: news is to be known
                       before the next choice among the same engines */
    DROPS_LOG_MS = 10000 /* between lines on what was left out */
};

struct WPZone {
    WPDirectHost *host;
    WPPeers *peers;
    uint64_t self; /* hash of this box's id */
    WPBoxUpdates news;
    WPUpdateBatch bundle; /* to be passed on, of a box that does so */
    struct event *send;
    uint64_t odd, logged; /* records left out: so far, when last told */
    int64_t logged_us;
};

static uint64_t drops_of(const WPZone *z)
{
    return z->odd + z->news.dropped + z->bundle.dropped;
}

static void log_drops(WPZone *z, WPTime now)
{
    char n[24];
    int64_t age_us = now.mono_us - z->logged_us;
    if (drops_of(z) == z->logged ||
        (z->logged_us && age_us < (int64_t)DROPS_LOG_MS * WP_US_PER_MS))
        return;
    g_snprintf(n, sizeof(n), "%lu", (unsigned long)(drops_of(z) - z->logged));
    z->logged = drops_of(z);
    z->logged_us = now.mono_us;
    wp_log(&z->host->log, WP_WARN, "zone_news_dropped", "records", n, NULL);
}

static void pass_on(WPZone *z, WPTime now)
{
    Wp__ZoneNews out;
    if (!z->bundle.records)
        return;
    wp_update_batch_fill(&z->bundle, &out);
    wp_peers_pass_news(z->peers, now, &out);
    wp_update_batch_reset(&z->bundle);
}

static void tell(WPZone *z)
{
    Wp__BoxNews own, *list[1] = { &own };
    Wp__ZoneNews out = WP__ZONE_NEWS__INIT;
    if (!wp_box_updates_pending(&z->news))
        return;
    wp_box_updates_fill(&z->news, z->self, &own);
    out.n_boxes = 1;
    out.boxes = list;
    if (wp_peers_passes_news(z->peers))
        wp_update_batch_add(&z->bundle, &own);
    else
        wp_peers_send_news(z->peers, &out);
    wp_box_updates_reset(&z->news);
}

static void on_send(evutil_socket_t fd, short what, void *arg)
{
    WPZone *z = arg;
    (void)fd;
    (void)what;
    WPTime now = wp_clock_now(0);
    tell(z);
    pass_on(z, now);
    log_drops(z, now);
}

static void arm(WPZone *z)
{
    static const struct timeval at = { 0, GATHER_MS * WP_US_PER_MS };
    if (!event_pending(z->send, EV_TIMEOUT, NULL))
        event_add(z->send, &at);
}

void wp_zone_wake(WPZone *z)
{
    if (wp_box_updates_pending(&z->news))
        arm(z);
}

void wp_zone_tick(WPZone *z, WPTime now)
{
    WPDemand *d = wp_fleet_demand(z->host->direct.fleet);
    WPDemandUpdate n;
    if (!z->host->settings->zone_news || !wp_demand_is_active(d, now))
        return;
    while (wp_demand_take_unsent(d, now, &n))
        wp_box_updates_add_demand(&z->news, &n);
    wp_zone_wake(z);
}

void wp_zone_heard(WPZone *z, const Wp__ZoneNews *m)
{
    WPTime now = wp_clock_now(0);
    for (size_t i = 0; i < m->n_boxes; i++) {
        if (m->boxes[i]->box == z->self)
            continue;
        z->odd += wp_box_updates_merge(z->host->direct.fleet, now, m->boxes[i]);
        if (!m->passed_on && wp_peers_passes_news(z->peers))
            wp_update_batch_add(&z->bundle, m->boxes[i]);
    }
    if (z->bundle.records)
        arm(z);
}

WPZone *wp_zone_new(WPDirectHost *h, WPPeers *peers)
{
    WPZone *z = g_new0(WPZone, 1);
    z->host = h;
    z->peers = peers;
    z->self = wp_hash(wp_str(h->settings->id), 0);
    wp_box_updates_init(&z->news);
    wp_update_batch_init(&z->bundle);
    z->send = evtimer_new(h->base, on_send, z);
    if (h->settings->zone_news)
        wp_fleet_set_updates(h->direct.fleet, &z->news);
    return z;
}

void wp_zone_free(WPZone *z)
{
    if (!z)
        return;
    wp_fleet_set_updates(z->host->direct.fleet, NULL);
    event_free(z->send);
    wp_update_batch_destroy(&z->bundle);
    wp_box_updates_destroy(&z->news);
    g_free(z);
}
