/* The direct entry's process. */
#include "wp_direct_int.h"
#include "wp_pb.h"
#include "wp_rollout.h"
#include "wp_settings.h"

#include <math.h>
#include <signal.h>

enum {
    TICK_MS = 50,
    TRAFFIC_MS = 10000, /* between lines on bytes to other boxes */
    LATE_MS = 200, /* a tick that is so late: the loop's timers may have stood
                      still, as the machine was suspended */
    CONNECT_MS = 400, /* a lost opening packet is sent again after a second:
                         another endpoint is asked before that */
    IDLE_MS = 4000,   /* of connections whose endpoint told no time */
    IDLE_ONCE_MS = 800,
    LEAVE_TAKE_MS = 2800, /* how long a leaving box takes all requests: the
                             balancer asks once a second and turns away after
                             two misses; then it takes those that it can
                             finish */
    LEAVE_IDLE_MS = 300,  /* a connection that rests so long is closed */
    LEAVE_SPARE_MS = 500, /* before the platform's kill */
    LEAVE_WRITE_MS = 300  /* what is answered last still has to leave */
};

static void free_event(struct event *e)
{
    if (e)
        event_free(e);
}

/* Ends when no request is left, at the latest before the kill. */
static void carry_on_leaving(WPDirectHost *h, WPTime now)
{
    int64_t ms = (now.mono_us - h->leave_us) / WP_US_PER_MS;
    int64_t most = (int64_t)(h->settings->drain_s * WP_MS_PER_S);
    unsigned open;
    if (ms < LEAVE_TAKE_MS)
        return;
    h->end_us =
        h->leave_us + (most - LEAVE_SPARE_MS - LEAVE_WRITE_MS) * WP_US_PER_MS;
    open = wp_downstream_close_idle(h->front, now, LEAVE_IDLE_MS);
    if ((!open && !h->n_relays) || ms >= most - LEAVE_SPARE_MS)
        event_base_loopbreak(h->base);
}

static void add_traffic(void *arg, const char *kind, const char *border,
                        const char *way, uint64_t bytes)
{
    GString *text = arg;
    g_string_append_printf(text, "%s%s/%s/%s=%lu", text->len ? "," : "", kind,
                           border, way, (unsigned long)bytes);
}

/* What boxes tell each other is paid for by the byte: where it goes is seen in
   the log as well, of processes that nobody asks for metrics. */
static void log_traffic(WPDirectHost *h, WPTime now)
{
    int64_t age_us = now.mono_us - h->traffic_us;
    if (h->traffic_us && age_us < (int64_t)TRAFFIC_MS * WP_US_PER_MS)
        return;
    if (h->traffic_us) {
        g_autoptr(GString) text = g_string_new(NULL);
        wp_traffic_each(wp_sync_traffic(h->sync), add_traffic, text);
        wp_log(&h->log, WP_INFO, "peer_bytes", "since_start", text->str, NULL);
    }
    h->traffic_us = now.mono_us;
}

/* What slow readers leave here is bounded by the machine's memory. */
static void watch_held(WPDirectHost *h, WPTime now)
{
    uint64_t sum = wp_downstream_poll_buffered(h->front, now) +
                   wp_upstream_unsent_bytes(h->back) + wp_relay_held(h);
    bool changed = wp_buffered_update(&h->held, sum);
    unsigned cut = 0;
    if (changed) {
        wp_downstream_set_over_limit(h->front, h->held.over_limit);
        if (!h->held.over_limit)
            wp_relay_go_on(h);
    }
    if (h->held.over_limit)
        cut = wp_downstream_close_unread(h->front, now,
                                         WP_BUFFERED_READ_TIMEOUT_MS);
    h->direct.counters.value[WP_C_CUT_UNREAD] += cut;
    if (!changed && !cut)
        return;
    g_autofree char *bytes = g_strdup_printf("%lu", (gulong)sum);
    g_autofree char *most = g_strdup_printf("%lu", (gulong)h->held.limit_bytes);
    g_autofree char *n = g_strdup_printf("%u", cut);
    wp_log(&h->log, WP_WARN, h->held.over_limit ? "held_over" : "held_under",
           "bytes", bytes, "most", most, "callers_cut", n, NULL);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
    WPDirectHost *h = arg;
    WPTime now = wp_clock_now(0);
    (void)fd;
    (void)what;
    bool late = now.mono_us - h->steady.last.mono_us > LATE_MS * WP_US_PER_MS;
    wp_clock_watch(&h->log, &h->steady, now);
    if (late)
        wp_relay_set_timers(h, now);
    wp_direct_tick(&h->direct, now);
    wp_upstream_tick(h->back, now);
    wp_sync_tick(h->sync, now);
    watch_held(h, now);
    log_traffic(h, now);
    wp_log_flush(&h->log);
    if (h->leaving)
        carry_on_leaving(h, now);
}

static void on_term(evutil_socket_t fd, short what, void *arg)
{
    WPDirectHost *h = arg;
    (void)fd;
    (void)what;
    if (h->leaving)
        return;
    h->leaving = true;
    h->leave_us = wp_clock_now(0).mono_us;
    wp_shifts_set_draining(h->direct.shifts, true);
    wp_log(&h->log, WP_INFO, "leaving", NULL);
    wp_downstream_start_drain(h->front);
}

/* A duration of the settings, up to a whole millisecond. */
static uint32_t in_ms(double s)
{
    return (uint32_t)ceil(s * WP_MS_PER_S);
}

static WPDirectRules rules_of(const Wp__DirectSettings *s)
{
    return (WPDirectRules){
        .box = wp_hash(wp_str(s->id), 0),
        .zone = s->zone,
        .retries = { s->retry_ratio, s->retry_slack, in_ms(s->retry_window_s) },
        .session_ms = in_ms(s->session_s),
        .cascade = { s->confidence_even, s->confidence_spread, s->answer_value,
                     s->request_value, s->strain_from, s->strain_weight },
        .fleet = { .own_zone = g_intern_string(s->zone),
                   .zone_weight = s->weigh_zone,
                   .zone_weight_per_kb = s->weigh_zone_kb,
                   .affinity_weight = s->weigh_home,
                   .prefill_weight_per_kt = s->weigh_read_kt,
                   .transfer_weight_per_kt = s->weigh_move_kt,
                   .cold_overshoot = s->cold_overshoot,
                   .cold_slack = s->cold_slack,
                   .track_prefixes = s->keep_prompts,
                   .stall_weight = s->weigh_pause,
                   .slow_weight = s->weigh_slow,
                   .choices = s->choices },
        .second = s->weigh_time
    };
}

/* Each "ZONE=AREA". */
static void take_areas(WPDirectHost *h)
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
               error ? error->message : "no file", NULL);
    return s;
}

/* Takes the rules that may change while running; addresses stay. */
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
    h->direct.rules = rules_of(s);
    wp_fleet_set_rules(h->direct.fleet, &h->direct.rules.fleet);
    wp_buffered_set_limit(&h->held, s->memory_mb);
    take_areas(h);
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

static bool open_sides(WPDirectHost *h, GError **error)
{
    static const WPUpstreamRules back_rules = { CONNECT_MS, IDLE_MS,
                                                IDLE_ONCE_MS };
    const Wp__DirectSettings *s = h->settings;
    const WPRouteLimits limits = { 16 << 10, 4 << 20, 5000, 30000 };
    h->back =
        wp_upstream_new(h->base, s->listen, &back_rules, &wp_relay_back_ops);
    h->front =
        wp_downstream_new(h->base, s->http, &wp_relay_front_ops, h, error);
    if (!h->front || !wp_direct_open_admin(h, error))
        return false;
    wp_downstream_set_limits(h->front, &limits);
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
    h->base = event_base_new();
    wp_list_init(&h->relays);
    wp_log_init(&h->log, h->settings->id, s->log_level, s->log_format);
    wp_log_gather(&h->log, s->log_kb_per_s << 10);
    WPDirectRules rules = rules_of(h->settings);
    bool ok = read_chart(h, error);
    wp_direct_init(&h->direct, &rules, h->chart, seed);
    wp_buffered_set_limit(&h->held, h->settings->memory_mb);
    h->direct.start.start_us = wp_clock_now(0).mono_us;
    take_areas(h);
    if (ok && open_sides(h, error)) {
        open_signals(h);
        return h;
    }
    wp_direct_host_free(h);
    return NULL;
}

void wp_direct_host_run(WPDirectHost *h)
{
    wp_log(&h->log, WP_INFO, "started", "version", WP_VERSION, NULL);
    wp_clock_watch(&h->log, &h->steady, wp_clock_now(0));
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
    wp_downstream_free(h->front);
    wp_upstream_free(h->back);
    wp_sync_free(h->sync);
    wp_direct_close_admin(h);
    wp_direct_end(&h->direct);
    event_base_free(h->base);
    wp_pb_free(h->chart);
    wp_log_end(&h->log);
    wp_pb_free(h->settings);
    g_free(h->file);
    g_free(h);
}
