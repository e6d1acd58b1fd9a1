/* Answers the load balancer's readiness check and exports the metrics of a box
 * in direct mode. */
#include "wp_direct_int.h"
#include "wp_code.h"
#include "wp_load_view.h"
#include "wp_page.h"
#include "wp_shift_view.h"

static void on_ready(void *arg, WPDownstreamConn *p, const WPHead *head)
{
    WPDirectHost *h = arg;
    (void)head;
    bool ready = !h->draining && wp_sync_ready(h->sync);
    wp_page_send_text(p, ready ? 200 : 503, "text/plain",
                      wp_str(ready         ? "ready\n"
                             : h->draining ? "leaving\n"
                                           : "starting\n"));
}

typedef struct Page {
    const char *box;
    GString *text;
} Page;

static void add_evacuated_zone(void *arg, const char *zone)
{
    Page *z = arg;
    g_string_append_printf(z->text, "wp_zone_out{box=\"%s\",zone=\"%s\"} 1\n",
                           z->box, zone);
}

static void add_limit(void *arg, WPReplica *s)
{
    Page *z = arg;
    if (s->reported.limit)
        g_string_append_printf(
            z->text,
            "wp_endpoint_limit{box=\"%s\",endpoint=\"%s\"} %g\n"
            "wp_endpoint_limited_sent_total{box=\"%s\",endpoint=\"%s\"} %lu\n",
            z->box, s->id, s->reported.limit->per_s, z->box, s->id,
            (unsigned long)s->reported.limit->own_send_count);
}

static void add_quarantined(void *arg, const WPSuspect *p)
{
    Page *z = arg;
    unsigned n = wp_suspect_crash_count(p);
    const char *kind = wp_suspect_key_is_part(p->request) ? "part" : "request";
    if (n >= WP_SUSPECT_QUARANTINE_CRASHES)
        g_string_append_printf(
            z->text, "wp_%s_kept_out{box=\"%s\",%s=\"%016lx\"} %u\n", kind,
            z->box, kind, (unsigned long)p->request, n);
}

static void add_peer_bytes(void *arg, const char *kind, const char *scope,
                           const char *direction, uint64_t bytes)
{
    Page *z = arg;
    g_string_append_printf(z->text,
                           "wp_peer_bytes_total{box=\"%s\",kind=\"%s\","
                           "border=\"%s\",way=\"%s\"} %lu\n",
                           z->box, kind, scope, direction,
                           (unsigned long)bytes);
}

static void add_request(void *arg, const WPFlow *f)
{
    wp_load_view_add_request(arg, f);
}

static void on_load(WPDownstreamConn *p, WPDirectHost *h)
{
    WPLoadView *v = wp_load_view_new(&h->direct, wp_clock_now(0));
    wp_relay_each_flow(h, add_request, v);
    wp_page_send_json(p, 200, wp_str(""), wp_load_view_end(v));
}

typedef struct SilentCount {
    WPTime now;
    unsigned silent;
} SilentCount;

static void count_silent(void *arg, WPReplica *s)
{
    SilentCount *p = arg;
    p->silent +=
        wp_silence_unexplained_us(&s->silence, p->now,
                                  wp_fleet_queued_prefill_us(s, p->now)) > 0;
}

static void add_contention(const WPDirectHost *h, GString *out)
{
    const WPRoutes *t = h->direct.routes;
    SilentCount p = { .now = wp_clock_now(0) };
    wp_fleet_each(h->direct.fleet, count_silent, &p);
    g_string_append_printf(out, "wp_endpoints_silent{box=\"%s\"} %u\n",
                           h->settings->id, p.silent);
    for (guint i = 0; t && i < t->services->len; i++) {
        const WPService *s = g_ptr_array_index(t->services, i);
        if (wp_direct_is_contended(&h->direct, s->name))
            g_string_append_printf(
                out, "wp_service_contended{box=\"%s\",service=\"%s\"} 1\n",
                h->settings->id, s->name);
    }
}

/* Answers requests for /load and /shifts, and any other with the counters and
   the present state of this box, in the text format of Prometheus. */
static void on_metrics(void *arg, WPDownstreamConn *p, const WPHead *head)
{
    WPDirectHost *h = arg;
    g_autofree char *path = wp_page_path(head);
    if (!strcmp(path, "/load")) {
        on_load(p, h);
        return;
    }
    if (!strcmp(path, "/shifts")) {
        wp_page_send_json(p, 200, wp_str(""),
                          wp_shift_view(h->direct.shifts, wp_clock_now(0)));
        return;
    }
    const Wp__DirectSettings *s = h->settings;
    g_autoptr(GString) out = g_string_new(NULL);
    g_autofree char *labels =
        g_strdup_printf("box=\"%s\",zone=\"%s\"", s->id, s->zone);
    wp_counters_text(&h->direct.counters, labels, out);
    g_string_append_printf(
        out,
        "wp_requests_open{%s} %u\nwp_callers_open{%s} %u\n"
        "wp_endpoint_connections_total{%s} %lu\nwp_store_up{%s} %d\n"
        "wp_reports_usage{%s} %d\n"
        "wp_held_bytes{%s} %lu\n"
        "wp_list_age_seconds{%s} %.3f\n"
        "wp_log_lines_dropped_total{%s} %lu\n",
        labels, h->n_relays, labels,
        wp_downstream_connection_count(h->downstream), labels,
        (unsigned long)wp_upstream_connections_opened(h->upstream), labels,
        wp_sync_store_up(h->sync), labels, wp_sync_holds_report_lease(h->sync),
        labels, (gulong)h->buffered.bytes, labels,
        (double)wp_sync_registry_age_ms(h->sync, wp_clock_now(0)) / WP_MS_PER_S,
        labels, (unsigned long)h->log.dropped);
    wp_account_metrics(&h->account, labels, out);
    const WPNoticeCount notices =
        wp_fleet_count_notices(h->direct.fleet, wp_clock_now(0));
    g_string_append_printf(
        out, "wp_endpoints_leaving{%s} %u\nwp_endpoints_resting{%s} %u\n",
        labels, notices.draining, labels, notices.backing_off);
    Page z = { s->id, out };
    wp_fleet_each_evacuated_zone(h->direct.fleet, add_evacuated_zone, &z);
    wp_suspects_each(h->direct.suspects, add_quarantined, &z);
    wp_fleet_each(h->direct.fleet, add_limit, &z);
    add_contention(h, out);
    wp_peer_traffic_each(wp_sync_traffic(h->sync), add_peer_bytes, &z);
    wp_page_send_text(p, 200, "text/plain; version=0.0.4",
                      wp_strn(out->str, out->len));
}

static const WPDownstreamOps ready_ops = { on_ready, wp_page_caller_gone,
                                           wp_page_writable,
                                           wp_relay_on_refused, NULL };
static const WPDownstreamOps metrics_ops = { on_metrics, wp_page_caller_gone,
                                             wp_page_writable,
                                             wp_relay_on_refused, NULL };

bool wp_direct_open_admin(WPDirectHost *h, GError **error)
{
    const Wp__DirectSettings *s = h->settings;
    g_autofree char *metrics =
        g_strdup_printf("%s:%u", s->listen, s->metrics_port);
    h->ready =
        wp_page_listen(h->base, s->ready, &ready_ops, h, &h->account, error);
    if (h->ready)
        h->metrics = wp_page_listen(h->base, metrics, &metrics_ops, h,
                                    &h->account, error);
    return h->ready && h->metrics;
}

void wp_direct_close_admin(WPDirectHost *h)
{
    wp_downstream_free(h->ready);
    wp_downstream_free(h->metrics);
}
