/* Exchanges updates on endpoints with the other boxes of the zone
 * (src/wp_box_updates.h): updates that gather within BATCH_MS go out in one
 * message. */
#include "wp_sync_int.h"
#include "wp_zone_updates.h"

enum {
    /* a prompt's prefill takes 30 to 400 ms: updates must arrive before the
       next choice among the same engines */
    BATCH_MS = 20,
    DROPS_LOG_MS = 10000 /* between log lines on dropped records */
};

struct WPZoneUpdates {
    WPDirectHost *host;
    WPPeers *peers;
    uint64_t self; /* hash of this box's id */
    WPBoxUpdates updates;
    WPUpdateBatch batch; /* updates to relay; only filled at the relay root */
    struct event *send;
    /* records dropped: malformed ones so far; all, when last logged */
    uint64_t malformed, logged;
    int64_t logged_us;
};

static uint64_t drops_of(const WPZoneUpdates *z)
{
    return z->malformed + z->updates.dropped + z->batch.dropped;
}

static void log_drops(WPZoneUpdates *z, WPTime now)
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

static void relay_batch(WPZoneUpdates *z, WPTime now)
{
    Wp__ZoneNews out;
    if (!z->batch.records)
        return;
    wp_update_batch_fill(&z->batch, &out);
    wp_peers_relay_updates(z->peers, now, &out);
    wp_update_batch_reset(&z->batch);
}

static void send_own(WPZoneUpdates *z)
{
    Wp__BoxNews own, *list[1] = { &own };
    Wp__ZoneNews out = WP__ZONE_NEWS__INIT;
    if (!wp_box_updates_pending(&z->updates))
        return;
    wp_box_updates_fill(&z->updates, z->self, &own);
    out.n_boxes = 1;
    out.boxes = list;
    if (wp_peers_is_relay_root(z->peers))
        wp_update_batch_add(&z->batch, &own);
    else
        wp_peers_send_zone_updates(z->peers, &out);
    wp_box_updates_reset(&z->updates);
}

static void on_send(evutil_socket_t fd, short what, void *arg)
{
    WPZoneUpdates *z = arg;
    (void)fd;
    (void)what;
    WPTime now = wp_clock_now(0);
    send_own(z);
    relay_batch(z, now);
    log_drops(z, now);
}

static void schedule(WPZoneUpdates *z)
{
    static const struct timeval at = { 0, BATCH_MS * WP_US_PER_MS };
    if (!event_pending(z->send, EV_TIMEOUT, NULL))
        event_add(z->send, &at);
}

void wp_zone_updates_schedule(WPZoneUpdates *z)
{
    if (wp_box_updates_pending(&z->updates))
        schedule(z);
}

void wp_zone_updates_tick(WPZoneUpdates *z, WPTime now)
{
    WPDemand *d = wp_fleet_demand(z->host->direct.fleet);
    WPDemandUpdate n;
    if (!z->host->settings->zone_news || !wp_demand_is_active(d, now))
        return;
    while (wp_demand_take_unsent(d, now, &n))
        wp_box_updates_add_demand(&z->updates, &n);
    wp_zone_updates_schedule(z);
}

void wp_zone_updates_merge(WPZoneUpdates *z, const Wp__ZoneNews *m)
{
    WPTime now = wp_clock_now(0);
    for (size_t i = 0; i < m->n_boxes; i++) {
        if (m->boxes[i]->box == z->self)
            continue;
        z->malformed +=
            wp_box_updates_merge(z->host->direct.fleet, now, m->boxes[i]);
        if (!m->passed_on && wp_peers_is_relay_root(z->peers))
            wp_update_batch_add(&z->batch, m->boxes[i]);
    }
    if (z->batch.records)
        schedule(z);
}

WPZoneUpdates *wp_zone_updates_new(WPDirectHost *h, WPPeers *peers)
{
    WPZoneUpdates *z = g_new0(WPZoneUpdates, 1);
    z->host = h;
    z->peers = peers;
    z->self = wp_hash(wp_str(h->settings->id), 0);
    wp_box_updates_init(&z->updates);
    wp_update_batch_init(&z->batch);
    z->send = evtimer_new(h->base, on_send, z);
    if (h->settings->zone_news)
        wp_fleet_set_updates(h->direct.fleet, &z->updates);
    return z;
}

void wp_zone_updates_free(WPZoneUpdates *z)
{
    if (!z)
        return;
    wp_fleet_set_updates(z->host->direct.fleet, NULL);
    event_free(z->send);
    wp_update_batch_destroy(&z->batch);
    wp_box_updates_destroy(&z->updates);
    g_free(z);
}
