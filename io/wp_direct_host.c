/* The process of a box in direct mode. */
#include "wp_direct_int.h"
#include "wp_process.h"
#include "wp_pb.h"
#include "wp_rollout.h"
#include "wp_settings.h"

#include <math.h>
#include <signal.h>

enum {
    TICK_MS = 50,
    RETRY_LOG_MS = 1000,    /* between log lines on a retry budget */
    TRAFFIC_LOG_MS = 10000, /* between log lines on bytes to other boxes */
    LATE_TICK_MS = 200, /* after a longer time without a tick the loop's timers
                           may have stood still, as the machine was
                           suspended */
    CONNECT_MS = 400, /* TCP sends a lost SYN again after 1 s: another endpoint
                         is tried before that */
    IDLE_MS = 4000,   /* idle time after which a connection is closed whose
                         endpoint stated none */
    IDLE_ONCE_MS = 800,     /* idle time up to which a connection is used for
                               non-repeatable requests */
    DRAIN_ACCEPT_MS = 2800, /* how long a draining box accepts all requests: the
                               load balancer checks once a second and takes the
                               box out after two failures; after that the box
                               accepts only requests that it can finish */
    DRAIN_IDLE_MS = 300,    /* then connections of callers that are idle for
                               this time are closed */
    DRAIN_MARGIN_MS = 500,  /* time from the exit of the process to the moment
                               at which the platform would kill it */
    DRAIN_WRITE_MS = 300,   /* left for writing out the last answers */
    CALLERS_PART = 2 /* of the descriptors, 1 in so many is for callers; the
                        rest is for endpoints, other boxes and the store */
};

static void free_event(struct event *e)
{
    if (e)
        event_free(e);
}

/* Called on each tick of a planned stop. Ends the event loop when no connection
   and no request is left, at the latest DRAIN_MARGIN_MS before the platform
   kills the process. */
static void continue_drain(WPDirectHost *h, WPTime now)
{
    int64_t ms = (now.mono_us - h->drain_start_us) / WP_US_PER_MS;
    int64_t limit = (int64_t)(h->settings->drain_s * WP_MS_PER_S);
    unsigned open;
    if (ms < DRAIN_ACCEPT_MS)
        return;
    h->exit_us = h->drain_start_us +
                 (limit - DRAIN_MARGIN_MS - DRAIN_WRITE_MS) * WP_US_PER_MS;
    open = wp_downstream_close_idle(h->downstream, now, DRAIN_IDLE_MS);
    if ((!open && !h->n_relays) || ms >= limit - DRAIN_MARGIN_MS)
        event_base_loopbreak(h->base);
}

static void add_peer_bytes(void *arg, const char *kind, const char *scope,
                           const char *direction, uint64_t bytes)
{
    GString *text = arg;
    g_string_append_printf(text, "%s%s/%s/%s=%lu", text->len ? "," : "", kind,
                           scope, direction, (unsigned long)bytes);
}

/* Traffic between boxes is paid for by the byte. Its volume is logged as well
   as exported as a metric, for processes whose metrics are not collected. */
static void log_peer_traffic(WPDirectHost *h, WPTime now)
{
    int64_t age_us = now.mono_us - h->traffic_logged_us;
    if (h->traffic_logged_us && age_us < (int64_t)TRAFFIC_LOG_MS * WP_US_PER_MS)
        return;
    if (h->traffic_logged_us) {
        g_autoptr(GString) text = g_string_new(NULL);
        wp_peer_traffic_each(wp_sync_traffic(h->sync), add_peer_bytes, text);
        wp_log(&h->log, WP_INFO, "peer_bytes", "since_start", text->str, NULL);
    }
    h->traffic_logged_us = now.mono_us;
}

static void log_retry_budget(WPDirectHost *h, WPTime now, const char *service,
                             WPRetryBudget *b)
{
    WPRetryBudgetReport report;
    if (!wp_retry_budget_report(b, &h->direct.rules.retry_budget, now,
                                h->direct.boxes, &report))
        return;
    int64_t age_us = now.mono_us - h->direct.startup.start_us;
    g_autofree char *requests = g_strdup_printf("%u", report.requests);
    g_autofree char *taken = g_strdup_printf("%lu", (gulong)report.taken);
    g_autofree char *denied = g_strdup_printf("%lu", (gulong)report.denied);
    g_autofree char *left = g_strdup_printf("%.1f", report.left);
    g_autofree char *boxes = g_strdup_printf("%u", h->direct.boxes);
    g_autofree char *age =
        g_strdup_printf("%ld", (glong)(age_us / WP_US_PER_MS));
    wp_log(&h->log, WP_INFO, "retry_budget", "service", service, "requests",
           requests, "taken", taken, "denied", denied, "left", left, "boxes",
           boxes, "since_start_ms", age, NULL);
}

static void log_retry_budgets(WPDirectHost *h, WPTime now)
{
    int64_t age_us = now.mono_us - h->retries_logged_us;
    GHashTableIter it;
    gpointer service, b;
    if (age_us < (int64_t)RETRY_LOG_MS * WP_US_PER_MS)
        return;
    h->retries_logged_us = now.mono_us;
    g_hash_table_iter_init(&it, h->direct.retry_budgets);
    while (g_hash_table_iter_next(&it, &service, &b))
        log_retry_budget(h, now, service, b);
}

/* Bounds the bytes buffered for slow readers by the machine's memory. Above the
   limit, large bodies are not read any further, and callers that have read
   nothing for WP_BUFFERED_READ_TIMEOUT_MS are disconnected. */
static void check_buffered(WPDirectHost *h, WPTime now)
{
    wp_downstream_poll_buffered(h->downstream, now);
    uint64_t sum = h->account.sum;
    bool changed = wp_buffered_update(&h->buffered, sum);
    unsigned closed = 0;
    if (changed)
        wp_downstream_set_over_limit(h->downstream, h->buffered.over_limit);
    if (h->answers_paused && !h->buffered.over_limit)
        wp_relay_resume_reads(h);
    if (h->buffered.over_limit) {
        wp_relay_admit_paused(h);
        closed = wp_downstream_close_unread(h->downstream, now,
                                            WP_BUFFERED_READ_TIMEOUT_MS);
    }
    h->direct.counters.value[WP_C_CUT_UNREAD] += closed;
    if (!changed && !closed)
        return;
    g_autofree char *bytes = g_strdup_printf("%lu", (gulong)sum);
    g_autofree char *limit =
        g_strdup_printf("%lu", (gulong)h->buffered.limit_bytes);
    g_autofree char *n = g_strdup_printf("%u", closed);
    wp_log(&h->log, WP_WARN,
           h->buffered.over_limit ? "held_over" : "held_under", "bytes", bytes,
           "most", limit, "callers_cut", n, NULL);
}

/* Does the periodic work of all parts, every TICK_MS. After a late tick the
   deadlines of requests are set again. */
static void on_tick(evutil_socket_t fd, short what, void *arg)
{
    WPDirectHost *h = arg;
    WPTime now = wp_clock_now(0);
    (void)fd;
    (void)what;
    bool late = now.mono_us - h->clock_monitor.last.mono_us >
                LATE_TICK_MS * WP_US_PER_MS;
    wp_clock_check(&h->log, &h->clock_monitor, now);
    if (late)
        wp_relay_reset_deadlines(h, now);
    wp_direct_tick(&h->direct, now);
    wp_upstream_tick(h->upstream, now);
    wp_sync_tick(h->sync, now);
    check_buffered(h, now);
    log_peer_traffic(h, now);
    log_retry_budgets(h, now);
    wp_log_flush(&h->log);
    if (h->draining)
        continue_drain(h, now);
}

static void on_term(evutil_socket_t fd, short what, void *arg)
{
    WPDirectHost *h = arg;
    (void)fd;
    (void)what;
    if (h->draining)
        return;
    h->draining = true;
    h->drain_start_us = wp_clock_now(0).mono_us;
    wp_shifts_set_draining(h->direct.shifts, true);
    wp_log(&h->log, WP_INFO, "leaving", NULL);
    wp_downstream_start_drain(h->downstream);
}

/* Converts a duration of the settings to ms, rounded up. */
static uint32_t in_ms(double s)
{
    return (uint32_t)ceil(s * WP_MS_PER_S);
}

/* The setting `contention`; "auto" is settled here if the platform states the
   trait that asks for it. */
static WPContention contention_from(const Wp__DirectSettings *s)
{
    if (!strcmp(s->contention, "off"))
        return WP_CONTENTION_OFF;
    for (size_t i = 0; i < s->n_traits; i++)
        if (!strcmp(s->traits[i], s->contention_trait))
            return WP_CONTENTION_ON;
    return strcmp(s->contention, "on") ? WP_CONTENTION_AUTO : WP_CONTENTION_ON;
}

static WPDirectRules rules_from(const Wp__DirectSettings *s)
{
    return (WPDirectRules){
        .contention = contention_from(s),
        .box = wp_hash(wp_str(s->id), 0),
        .zone = s->zone,
        .retry_budget = { s->retry_ratio, s->retry_slack,
                          in_ms(s->retry_window_s) },
        .session_idle_ms = in_ms(s->session_s),
        .exposure = { s->exposure_share, s->exposure_slack },
        .cascade = { s->confidence_even, s->confidence_spread, s->answer_value,
                     s->request_value, s->strain_from, s->strain_weight },
        .contended_strain_weight = s->strain_weight_contended,
        .fleet = { .own_zone = g_intern_string(s->zone),
                   .zone_weight = s->weigh_zone,
                   .zone_weight_per_kb = s->weigh_zone_kb,
                   .placing_zone_weight_per_kb = s->weigh_zone_kb_contended,
                   .affinity_weight = s->weigh_home,
                   .prefill_weight_per_kt = s->weigh_read_kt,
                   .transfer_weight_per_kt = s->weigh_move_kt,
                   .cold_overshoot = s->cold_overshoot,
                   .cold_slack = s->cold_slack,
                   .track_prefixes = s->keep_prompts,
                   .stall_weight = s->weigh_pause,
                   .slow_weight = s->weigh_slow,
                   .choices = s->choices },
        .first_byte_weight = s->weigh_time
    };
}

/* Applies the setting `areas`, each of the form "ZONE=AREA". */
static void apply_areas(WPDirectHost *h)
{
    const Wp__DirectSettings *s = h->settings;
    for (size_t i = 0; i < s->n_areas; i++) {
        g_auto(GStrv) part = g_strsplit(s->areas[i], "=", 2);
        if (part[0] && part[1])
            wp_fleet_set_area(h->direct.fleet, part[0], part[1]);
        else
            wp_log(&h->log, WP_ERROR_LEVEL, "bad_setting", "areas", s->areas[i],
                   "why", "expected ZONE=AREA", NULL);
    }
}

static Wp__DirectSettings *read_settings(WPDirectHost *h)
{
    g_autofree char *text = NULL;
    g_autoptr(GError) error = NULL;
    gsize n;
    void *s = NULL;
    if (h->file && g_file_get_contents(h->file, &text, &n, &error))
        s = wp_settings_read(&wp__direct_settings__descriptor, wp_strn(text, n),
                             h->file, &error);
    if (!s)
        wp_log(&h->log, WP_ERROR_LEVEL, "reload_failed", "why",
               error ? error->message : "no settings file was given", NULL);
    return s;
}

/* Reloads the settings on SIGHUP: rules and limits change, addresses stay as
   they were at the start. */
static void on_hup(evutil_socket_t fd, short what, void *arg)
{
    WPDirectHost *h = arg;
    Wp__DirectSettings *s = read_settings(h);
    (void)fd;
    (void)what;
    if (!s)
        return;
    wp_pb_free(h->settings);
    h->settings = s;
    h->log.box = s->id;
    h->direct.rules = rules_from(s);
    wp_fleet_set_rules(h->direct.fleet, &h->direct.rules.fleet);
    wp_account_set_memory(&h->account, s->memory_mb);
    wp_buffered_set_limit(&h->buffered, s->memory_mb);
    wp_downstream_set_uploads_limit(h->downstream,
                                    h->buffered.uploads_limit_bytes);
    wp_downstream_set_arrival_time(h->downstream, in_ms(s->arrival_s));
    apply_areas(h);
    wp_log(&h->log, WP_INFO, "reloaded", NULL);
}

static bool read_chart(WPDirectHost *h, GError **error)
{
    g_autofree char *file =
        g_build_filename(h->settings->charts, "shift.yaml", NULL);
    g_autofree char *text = NULL;
    gsize n;
    if (!g_file_get_contents(file, &text, &n, error))
        return false;
    h->chart = wp_chart_read(wp_strn(text, n), file, error);
    return h->chart != NULL;
}

static bool open_connections(WPDirectHost *h, GError **error)
{
    static const WPUpstreamRules back_rules = { CONNECT_MS, IDLE_MS,
                                                IDLE_ONCE_MS };
    const Wp__DirectSettings *s = h->settings;
    const WPRouteLimits limits = { 16 << 10, 4 << 20, 5000, 30000 };
    h->upstream = wp_upstream_new(h->base, s->listen, &back_rules,
                                  &wp_relay_upstream_ops);
    h->downstream =
        wp_downstream_new(h->base, s->http, &wp_relay_downstream_ops, h, error);
    if (!h->downstream || !wp_direct_open_admin(h, error))
        return false;
    wp_downstream_set_account(h->downstream, &h->account);
    wp_downstream_set_arrival_time(h->downstream, in_ms(s->arrival_s));
    wp_downstream_set_max_connections(h->downstream,
                                      wp_process_descriptors() / CALLERS_PART);
    wp_downstream_set_limits(h->downstream, &limits);
    wp_downstream_set_uploads_limit(h->downstream,
                                    h->buffered.uploads_limit_bytes);
    h->sync = wp_sync_new(h, error);
    return h->sync != NULL;
}

static void open_signals(WPDirectHost *h)
{
    struct timeval tick = { 0, TICK_MS * WP_US_PER_MS };
    signal(SIGPIPE, SIG_IGN);
    h->tick = event_new(h->base, -1, EV_PERSIST, on_tick, h);
    h->term = evsignal_new(h->base, SIGTERM, on_term, h);
    h->hup = evsignal_new(h->base, SIGHUP, on_hup, h);
    event_add(h->tick, &tick);
    event_add(h->term, NULL);
    event_add(h->hup, NULL);
}

WPDirectHost *wp_direct_host_new(const Wp__DirectSettings *s,
                                 const WPPlatformOps *platform,
                                 const char *file, GError **error)
{
    WPDirectHost *h = g_new0(WPDirectHost, 1);
    uint32_t seed = s->seed ? (uint32_t)s->seed : wp_clock_seed();
    h->settings = wp_pb_copy(&s->base);
    h->platform = platform;
    h->file = g_strdup(file);
    h->base = wp_process_base_new();
    h->forwarded = g_byte_array_new();
    wp_account_init(&h->account);
    wp_account_set_memory(&h->account, s->memory_mb);
    wp_list_init(&h->relays);
    wp_log_init(&h->log, h->settings->id, s->log_level, s->log_format);
    wp_log_enable_buffering(&h->log, s->log_kb_per_s << 10);
    WPDirectRules rules = rules_from(h->settings);
    bool ok = read_chart(h, error);
    wp_direct_init(&h->direct, &rules, h->chart, seed);
    wp_buffered_set_limit(&h->buffered, h->settings->memory_mb);
    h->direct.startup.start_us = wp_clock_now(0).mono_us;
    h->direct.retries_since_us = h->direct.startup.start_us;
    apply_areas(h);
    if (ok && open_connections(h, error)) {
        open_signals(h);
        return h;
    }
    wp_direct_host_free(h);
    return NULL;
}

void wp_direct_host_run(WPDirectHost *h)
{
    g_autofree char *fds = g_strdup_printf("%u", wp_process_descriptors());
    g_autofree char *held =
        g_strdup_printf("%lu", (gulong)h->account.limit_bytes);
    wp_log(&h->log, WP_INFO, "started", "version", WP_VERSION, "descriptors",
           fds, "account_limit", held, NULL);
    wp_clock_check(&h->log, &h->clock_monitor, wp_clock_now(0));
    event_base_dispatch(h->base);
    wp_log(&h->log, WP_INFO, "stopped", NULL);
}

void wp_direct_host_free(WPDirectHost *h)
{
    if (!h)
        return;
    free_event(h->tick);
    free_event(h->term);
    free_event(h->hup);
    wp_downstream_free(h->downstream);
    wp_upstream_free(h->upstream);
    wp_sync_free(h->sync);
    wp_direct_close_admin(h);
    wp_direct_end(&h->direct);
    event_base_free(h->base);
    wp_pb_free(h->chart);
    wp_log_end(&h->log);
    g_byte_array_unref(h->forwarded);
    wp_pb_free(h->settings);
    g_free(h->file);
    g_free(h);
}
