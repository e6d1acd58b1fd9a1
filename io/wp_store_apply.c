/* Applies store entries to the state of the router, whether they come from
 * the store or from another box. */
#include "wp_reports.h"
#include "wp_sync_int.h"

#include <stdio.h>
#include <stdlib.h>

static void apply_routes(WPSync *s, WPRoutes *t)
{
    WPDirectHost *h = s->host;
    char version[24];
    snprintf(version, sizeof(version), "%lu", (unsigned long)t->version);
    if (!wp_direct_set_routes(&h->direct, t))
        return;
    wp_downstream_set_limits(h->downstream, &h->direct.routes->limits);
    wp_log(&h->log, WP_INFO, "routes", "version", version, NULL);
}

/* Logs an invalid store entry. If it describes an endpoint, that endpoint
   gets no more requests. */
static void reject_entry(WPSync *s, const char *key, const char *endpoint,
                         const char *problem)
{
    if (endpoint)
        wp_fleet_set_unreadable(s->host->direct.fleet, endpoint);
    wp_count(&s->host->direct.counters, WP_C_BAD_ENTRIES);
    wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_entry", "key", key, "why",
           problem, NULL);
}

void wp_sync_on_bad_item(void *arg, const char *what, const char *why)
{
    reject_entry(arg, what, NULL, why);
}

/* Adds or updates a registered endpoint; an invalid entry is rejected and
   logged. Logs only what has changed. */
static void apply_endpoint(WPSync *s, const char *key, const WPRegistryEntry *l)
{
    const char *problem = wp_registry_entry_invalid_field(l);
    if (problem) {
        reject_entry(s, key, l->id, problem);
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

static void remove_endpoint(WPSync *s, const char *id, bool lapsed)
{
    WPTime now = wp_clock_now(0);
    if (!wp_fleet_find(s->host->direct.fleet, id))
        return;
    wp_log(&s->host->log, WP_INFO, "endpoint_missing", "id", id, "kept",
           lapsed ? "for a while: the store was unavailable" : "no", NULL);
    wp_fleet_remove(s->host->direct.fleet, now, id, lapsed);
}

static void apply_zone_evacuation(WPSync *s, const char *zone, bool out)
{
    if (wp_fleet_set_zone_evacuated(s->host->direct.fleet, wp_clock_now(0),
                                    zone, out))
        wp_log(&s->host->log, WP_INFO, out ? "zone_out" : "zone_back", "zone",
               zone, NULL);
}

static void apply_order(WPSync *s, const WPShiftOrder *o)
{
    if (wp_shifts_add_order(s->host->direct.shifts, wp_clock_now(0), o))
        wp_log(&s->host->log, WP_INFO, "move_ordered", "service", o->service,
               "version", o->version, NULL);
}

static void apply_outcome(WPSync *s, const WPStoreEntry *n)
{
    WPShifts *shifts = s->host->direct.shifts;
    WPShift *sh = wp_shifts_find(shifts, n->order.service);
    WPShiftState previous = sh ? sh->state : WP_SHIFT_RUNNING;
    wp_shifts_apply_outcome(shifts, &n->order, n->state);
    if (!sh || sh->state == previous)
        return;
    g_autofree char *stats = wp_shift_stats_text(sh, wp_clock_now(0));
    wp_log(&s->host->log, WP_INFO, "move_ended", "service", sh->service,
           "version", sh->version, "state", wp_shift_state_name(sh->state),
           "figures", stats, NULL);
}

/* Applies the router's own store entry that marks a shift as begun. */
static void apply_shift_began(WPSync *s, const char *service, WPStr value)
{
    WPShift *sh = wp_shifts_find(s->host->direct.shifts, service);
    g_autofree char *text = g_strndup(value.p, value.n);
    uint64_t order = g_ascii_strtoull(text, NULL, 10);
    if (sh && wp_shift_order_id(sh) == order)
        wp_shift_merge_elapsed(sh, wp_clock_now(0), 0);
}

/* Applies an entry whose key belongs to the router itself. Returns false if
   the key is not one of these. */
static bool apply_own_entry(WPSync *s, const char *key, const WPStr *value,
                            uint64_t revision)
{
    bool is_lease = !strcmp(key, WP_KEY_REPORT_LEASE);
    const char *box = wp_skip_prefix(key, WP_KEY_BOX);
    const char *service = wp_skip_prefix(key, WP_KEY_SHIFT_BEGAN);
    const char *record = wp_skip_prefix(key, WP_KEY_SHIFT_RECORD);
    const char *suspect = wp_skip_prefix(key, WP_KEY_SUSPECT);
    if (box && value) {
        WPStr zone = *value, addr = wp_str_cut(&zone, ' ');
        g_autofree char *a = g_strndup(addr.p, addr.n);
        g_autofree char *z = g_strndup(zone.p, zone.n);
        wp_peers_set_member(s->peers, box, a, z);
    }
    if (service && value)
        apply_shift_began(s, service, *value);
    if (record && value)
        wp_shift_record_apply(s, record, *value);
    if (suspect)
        wp_suspect_record_apply(s, suspect, value);
    if (is_lease && s->reports)
        wp_reports_observe_record(s->reports, value, revision);
    return box || service || record || suspect || is_lease;
}

static void apply_platform_entry(WPSync *s, const WPKvItem *i, bool lapsed)
{
    WPStoreEntry n;
    s->host->platform->decode_store_entry(i, &n);
    switch (n.kind) {
    case WP_STORE_ENTRY_IGNORED:
        break;
    case WP_STORE_ENTRY_INVALID:
        reject_entry(s, i->key.p, n.endpoint.id, n.problem);
        break;
    case WP_STORE_ENTRY_ROUTES:
        apply_routes(s, n.routes);
        break;
    case WP_STORE_ENTRY_ENDPOINT:
        apply_endpoint(s, i->key.p, &n.endpoint);
        break;
    case WP_STORE_ENTRY_ENDPOINT_REMOVED:
        remove_endpoint(s, n.endpoint.id, lapsed);
        break;
    case WP_STORE_ENTRY_SHIFT_ORDER:
        apply_order(s, &n.order);
        break;
    case WP_STORE_ENTRY_SHIFT_OUTCOME:
        apply_outcome(s, &n);
        break;
    case WP_STORE_ENTRY_ZONE_EVACUATED:
    case WP_STORE_ENTRY_ZONE_EVACUATION_ENDED:
        apply_zone_evacuation(s, n.zone,
                              n.kind == WP_STORE_ENTRY_ZONE_EVACUATED);
        break;
    }
    s->host->platform->release_store_entry(&n);
}

/* Tells those who use an entry's revision that it has another one, with the
   same value. */
static void apply_renumbered(WPSync *s, const WPKvItem *i)
{
    WPStoreEntry n;
    if (!strcmp(i->key.p, WP_KEY_REPORT_LEASE) && s->reports)
        wp_reports_renumber(s->reports,
                            wp_mirror_key_revision(s->mirror, i->key.p));
    if (i->removed ||
        !g_str_has_prefix(i->key.p, s->host->platform->order_prefix))
        return;
    s->host->platform->decode_store_entry(i, &n);
    if (n.kind == WP_STORE_ENTRY_SHIFT_ORDER)
        wp_shifts_renumber(s->host->direct.shifts, &n.order);
    s->host->platform->release_store_entry(&n);
}

WPMirrorChange wp_store_apply(WPSync *s, const char *key, const WPStr *value,
                              uint64_t revision, bool lapsed)
{
    WPKvItem i = { wp_str(key), value ? *value : wp_str(""), revision, !value };
    WPMirrorChange change =
        wp_mirror_put(s->mirror, key, value, revision, lapsed);
    switch (change) {
    case WP_MIRROR_OLD:
        break;
    case WP_MIRROR_CHANGED:
        if (!apply_own_entry(s, key, value, revision))
            apply_platform_entry(s, &i, lapsed);
        break;
    case WP_MIRROR_SAME:
        apply_renumbered(s, &i);
        break;
    case WP_MIRROR_LOST:
        wp_log(&s->host->log, WP_INFO, "entry_lost", "key", key, "kept",
               "until it is written again", NULL);
        break;
    }
    return change;
}
