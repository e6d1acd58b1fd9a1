/* What the entries of the store mean for the router, wherever they were
 * learned. */
#include "wp_reports.h"
#include "wp_sync_int.h"

#include <stdio.h>
#include <stdlib.h>

static void take_routes(WPSync *s, WPRoutes *t)
{
    WPDirectHost *h = s->host;
    char version[24];
    snprintf(version, sizeof(version), "%lu", (unsigned long)t->version);
    if (!wp_direct_routes(&h->direct, t))
        return;
    wp_downstream_set_limits(h->front, &h->direct.routes->limits);
    wp_log(&h->log, WP_INFO, "routes", "version", version, NULL);
}

/* An entry that is of no use; one of an endpoint takes it out of use. */
static void refuse_entry(WPSync *s, const char *key, const char *endpoint,
                         const char *problem)
{
    if (endpoint)
        wp_fleet_set_unreadable(s->host->direct.fleet, endpoint);
    wp_count(&s->host->direct.counters, WP_C_BAD_ENTRIES);
    wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_entry", "key", key, "why",
           problem, NULL);
}

static void take_endpoint(WPSync *s, const char *key, const WPRegistryEntry *l)
{
    const char *problem = wp_registry_entry_invalid_field(l);
    if (problem) {
        refuse_entry(s, key, l->id, problem);
        return;
    }
    wp_shifts_note_registered(s->host->direct.shifts, l->service, l->version,
                              !s->complete);
    if (!wp_fleet_put(s->host->direct.fleet, wp_clock_now(0), l))
        return;
    char born[24], cold[24];
    snprintf(born, sizeof(born), "%ld", (long)l->born_ms);
    snprintf(cold, sizeof(cold), "%ld", (long)l->cold_left_ms);
    wp_log(&s->host->log, WP_INFO, "endpoint", "id", l->id, "service",
           l->service, "addr", l->addr, "zone", l->zone, "version", l->version,
           "born", born, "cold_ms", cold, "state",
           l->draining ? "draining" : "ready", NULL);
}

static void lose_endpoint(WPSync *s, const char *id, bool lapsed)
{
    WPTime now = wp_clock_now(0);
    if (!wp_fleet_find(s->host->direct.fleet, id))
        return;
    wp_log(&s->host->log, WP_INFO, "endpoint_missing", "id", id, "kept",
           lapsed ? "for a while: the store was away" : "no", NULL);
    wp_fleet_remove(s->host->direct.fleet, now, id, lapsed);
}

static void take_zone(WPSync *s, const char *zone, bool out)
{
    if (wp_fleet_set_zone_evacuated(s->host->direct.fleet, wp_clock_now(0),
                                    zone, out))
        wp_log(&s->host->log, WP_INFO, out ? "zone_out" : "zone_back", "zone",
               zone, NULL);
}

static void take_order(WPSync *s, const WPShiftOrder *o)
{
    if (wp_shifts_add_order(s->host->direct.shifts, wp_clock_now(0), o))
        wp_log(&s->host->log, WP_INFO, "move_ordered", "service", o->service,
               "version", o->version, NULL);
}

static void take_outcome(WPSync *s, const WPNews *n)
{
    WPShifts *shifts = s->host->direct.shifts;
    WPShift *sh = wp_shifts_find(shifts, n->order.service);
    WPShiftState had = sh ? sh->state : WP_SHIFT_RUNNING;
    wp_shifts_apply_outcome(shifts, &n->order, n->state);
    if (!sh || sh->state == had)
        return;
    g_autofree char *figures = wp_shift_stats_text(sh, wp_clock_now(0));
    wp_log(&s->host->log, WP_INFO, "move_ended", "service", sh->service,
           "version", sh->version, "state", wp_shift_state_name(sh->state),
           "figures", figures, NULL);
}

/* This system's own record that a move has begun. */
static void take_began(WPSync *s, const char *service, WPStr value)
{
    WPShift *sh = wp_shifts_find(s->host->direct.shifts, service);
    g_autofree char *text = g_strndup(value.p, value.n);
    uint64_t order = g_ascii_strtoull(text, NULL, 10);
    if (sh && sh->revision == order)
        wp_shift_merge_elapsed(sh, wp_clock_now(0), 0);
}

/* Returns whether the key is one of the system's own. */
static bool take_own(WPSync *s, const char *key, const WPStr *value,
                     uint64_t revision)
{
    bool duty = !strcmp(key, WP_KEY_DUTY);
    const char *box = wp_skip_prefix(key, WP_KEY_BOX);
    const char *service = wp_skip_prefix(key, WP_KEY_BEGAN);
    const char *seen = wp_skip_prefix(key, WP_KEY_SEEN);
    const char *suspect = wp_skip_prefix(key, WP_KEY_SUSPECT);
    if (box && value) {
        WPStr zone = *value, addr = wp_str_cut(&zone, ' ');
        g_autofree char *a = g_strndup(addr.p, addr.n);
        g_autofree char *z = g_strndup(zone.p, zone.n);
        wp_peers_member(s->peers, box, a, z);
    }
    if (service && value)
        take_began(s, service, *value);
    if (seen && value)
        wp_seen_take(s, seen, *value);
    if (suspect)
        wp_suspect_news_take(s, suspect, value);
    if (duty && s->reports)
        wp_reports_record(s->reports, value, revision);
    return box || service || seen || suspect || duty;
}

static void take_platform(WPSync *s, const WPKvItem *i, bool lapsed)
{
    WPNews n;
    s->host->platform->news(i, &n);
    switch (n.kind) {
    case WP_NEWS_NONE:
        break;
    case WP_NEWS_BAD:
        refuse_entry(s, i->key.p, n.listing.id, n.problem);
        break;
    case WP_NEWS_ROUTES:
        take_routes(s, n.routes);
        break;
    case WP_NEWS_ENDPOINT:
        take_endpoint(s, i->key.p, &n.listing);
        break;
    case WP_NEWS_GONE:
        lose_endpoint(s, n.listing.id, lapsed);
        break;
    case WP_NEWS_ORDER:
        take_order(s, &n.order);
        break;
    case WP_NEWS_OUTCOME:
        take_outcome(s, &n);
        break;
    case WP_NEWS_ZONE_OUT:
    case WP_NEWS_ZONE_BACK:
        take_zone(s, n.zone, n.kind == WP_NEWS_ZONE_OUT);
        break;
    }
    s->host->platform->news_end(&n);
}

void wp_news_take(WPSync *s, const char *key, const WPStr *value,
                  uint64_t revision, bool lapsed)
{
    WPKvItem i = { wp_str(key), value ? *value : wp_str(""), revision, !value };
    if (!wp_mirror_put(s->mirror, key, value, revision, lapsed))
        return;
    if (!take_own(s, key, value, revision))
        take_platform(s, &i, lapsed);
}
