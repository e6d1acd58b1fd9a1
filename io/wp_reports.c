/* Usage reports: carries out what src/wp_report_lease.c decides. */
#include "wp_reports.h"
#include "wp_report_lease.h"
#include "wp_http.h"
#include "wp_pb.h"
#include "wp_usage_updates.h"

#include <stdio.h>

enum {
    SEND_MS = 900,    /* time-out of a report. A report is sent within the first
                         half of the lease and so, with this, has ended before
                         another box may send one. */
    KEEP_WINDOWS = 3, /* windows for which counts are kept after their report
                         is due */
    NUMBER_SIZE = 24  /* bytes of a number as text */
};

struct WPReports {
    WPSync *sync;
    WPUsage *usage;
    WPUsageUpdates *updates;
    WPReportLease *lease;
    char *box; /* a copy, as a reload frees the settings */
    WPHttp *service;
    GByteArray *value;   /* of the write in progress */
    bool holder;         /* as last logged */
    const char *problem; /* as last logged */
    uint64_t missed;     /* as last logged */
    uint64_t window;     /* of the report in progress */
    int64_t sent_us;     /* when that was sent */
};

static WPLog *log_of(const WPReports *r)
{
    return &r->sync->host->log;
}

static WPCounters *counters_of(const WPReports *r)
{
    return &r->sync->host->direct.counters;
}

/* Whether this box may hold the lease. Only one that receives the other boxes'
   counts may report them. */
static WPReportEligibility eligibility_of(const WPReports *r)
{
    const WPSync *s = r->sync;
    if (!s->store_up || !wp_sync_may_write(s))
        return WP_REPORT_STORE_DOWN;
    bool eligible = !s->host->draining && wp_peers_is_relay_root(s->peers);
    return eligible ? WP_REPORT_ELIGIBLE : WP_REPORT_YIELD;
}

static uint64_t total_of(const Wp__SettledUsage *u)
{
    uint64_t n = 0;
    for (size_t i = 0; i < u->n_counts; i++)
        n += u->counts[i];
    return n;
}

static void log_settled(WPReports *r, const Wp__DutyRecord *rec)
{
    for (size_t i = 0; i < rec->n_settled; i++) {
        const Wp__SettledUsage *u = rec->settled[i];
        char window[NUMBER_SIZE], total[NUMBER_SIZE], workspaces[NUMBER_SIZE];
        snprintf(window, sizeof(window), "%lu", (gulong)u->window);
        snprintf(total, sizeof(total), "%lu", (gulong)total_of(u));
        snprintf(workspaces, sizeof(workspaces), "%zu", u->n_workspaces);
        wp_log(log_of(r), WP_INFO, "usage_settled", "window", window,
               "requests", total, "workspaces", workspaces, NULL);
    }
}

/* The lease's record was written or not: tells the lease, and applies the
   present value of the store. */
static void on_written(void *arg, const WPKvResult *res)
{
    WPReports *r = arg;
    WPTime now = wp_clock_now(0);
    WPStr value = wp_strn((const char *)r->value->data, r->value->len);
    bool done = res->ok && res->succeeded;
    if (!res->ok)
        wp_count(counters_of(r), WP_C_STORE_ERRORS);
    wp_report_lease_written(r->lease, now, done, res->revision);
    if (done)
        wp_store_apply(r->sync, WP_KEY_REPORT_LEASE, &value, res->revision,
                       false);
    for (size_t i = 0; i < res->n_items; i++)
        wp_store_apply(r->sync, res->items[i].key.p, &res->items[i].value,
                       res->items[i].mod_revision, false);
    g_clear_pointer(&r->value, g_byte_array_unref);
}

static void write_record(WPReports *r, const WPReportAction *a)
{
    WPSync *s = r->sync;
    const WPKvCompare compare = { WP_KEY_REPORT_LEASE, a->revision };
    r->value = wp_pb_pack(&a->record->base);
    const WPKvOp op = { WP_KEY_REPORT_LEASE,
                        wp_strn((const char *)r->value->data, r->value->len),
                        false };
    wp_count(counters_of(r), WP_C_STORE_WRITES);
    if (!strcmp(a->reason, "settles"))
        log_settled(r, a->record);
    s->kv->ops->txn(s->kv, &compare, 1, &op, 1, on_written, r);
}

/* The usage report was answered with `status`, 0 for no answer: counts and logs
   that, and tells the lease whether it was accepted. */
static void on_sent(void *arg, int status, WPStr body)
{
    WPReports *r = arg;
    WPTime now = wp_clock_now(0);
    char window[NUMBER_SIZE], code[NUMBER_SIZE], ms[NUMBER_SIZE],
        fence[NUMBER_SIZE];
    bool accepted = status == 200;
    (void)body;
    snprintf(window, sizeof(window), "%lu", (gulong)r->window);
    snprintf(code, sizeof(code), "%d", status);
    snprintf(fence, sizeof(fence), "%lu",
             (gulong)wp_report_lease_fence(r->lease));
    snprintf(ms, sizeof(ms), "%.1f",
             (double)(now.mono_us - r->sent_us) / WP_US_PER_MS);
    wp_count(counters_of(r), accepted ? WP_C_REPORTS : WP_C_REPORTS_FAILED);
    wp_log(log_of(r), accepted ? WP_INFO : WP_WARN,
           accepted ? "usage_reported" : "usage_report_failed", "window",
           window, "fence", fence, "status", code, "ms", ms, NULL);
    wp_report_lease_sent(r->lease, now, accepted);
}

static void send_report(WPReports *r, WPTime now, const WPReportAction *a)
{
    WPUsageReport t;
    r->sync->host->platform->write_report(r->box, a->fence, a->report, &t);
    r->window = a->report->window;
    r->sent_us = now.mono_us;
    /* A connection that was idle since the last window may be dead without a
       sign: a new one is used. */
    wp_http_reconnect(r->service);
    wp_http_call_with_fields(r->service, t.path, t.fields, WP_REPORT_FIELDS,
                             t.body, on_sent, NULL, r);
    for (size_t i = 0; i < WP_REPORT_FIELDS; i++)
        g_free(t.fields[i].value);
    g_free(t.body);
}

static void log_holder(WPReports *r)
{
    bool holds = wp_report_lease_is_held(r->lease);
    char fence[NUMBER_SIZE];
    if (holds == r->holder)
        return;
    r->holder = holds;
    snprintf(fence, sizeof(fence), "%lu",
             (gulong)wp_report_lease_fence(r->lease));
    wp_log(log_of(r), WP_INFO, holds ? "duty_taken" : "duty_lost", "duty",
           "usage", "fence", fence, NULL);
}

static void log_problems(WPReports *r, WPTime now)
{
    const char *problem = wp_report_lease_problem(r->lease, now);
    uint64_t missed = wp_report_lease_missed(r->lease) - r->missed;
    char n[NUMBER_SIZE];
    if (problem && problem != r->problem)
        wp_log(log_of(r), WP_ERROR_LEVEL, "usage_barred", "why", problem, NULL);
    r->problem = problem;
    if (!missed)
        return;
    r->missed += missed;
    counters_of(r)->value[WP_C_REPORTS_MISSED] += missed;
    snprintf(n, sizeof(n), "%lu", (gulong)missed);
    wp_log(log_of(r), WP_WARN, "usage_missed", "windows", n, NULL);
}

void wp_reports_tick(WPReports *r, WPTime now)
{
    WPReportAction a;
    wp_usage_updates_tick(r->updates, now);
    wp_report_lease_next(r->lease, now, eligibility_of(r), &a);
    if (a.kind == WP_REPORT_WRITE)
        write_record(r, &a);
    else if (a.kind == WP_REPORT_SEND)
        send_report(r, now, &a);
    log_holder(r);
    log_problems(r, now);
}

void wp_reports_merge(WPReports *r, bool remote_zone, const Wp__UsageNews *n)
{
    wp_usage_updates_merge(r->updates, remote_zone, n);
}

void wp_reports_mark_all_unsent(WPReports *r)
{
    wp_usage_mark_all_unsent(r->usage);
}

void wp_reports_observe_record(WPReports *r, const WPStr *value,
                               uint64_t revision)
{
    WPTime now = wp_clock_now(0);
    Wp__DutyRecord *rec =
        value
            ? wp__duty_record__unpack(NULL, value->n, (const uint8_t *)value->p)
            : NULL;
    wp_report_lease_observe(r->lease, now, revision, rec, value && !rec);
    wp_pb_free(rec);
}

void wp_reports_renumber(WPReports *r, uint64_t revision)
{
    wp_report_lease_renumber(r->lease, revision);
}

void wp_reports_fill_digest(const WPReports *r, WPTime now, Wp__MirrorDigest *d)
{
    d->has_clock_ms = 1;
    d->clock_ms = (uint64_t)wp_usage_local_clock_ms(r->usage, now.mono_us);
}

void wp_reports_observe_clock(WPReports *r, WPTime now, const char *from,
                              const Wp__MirrorDigest *d)
{
    if (d->has_clock_ms)
        wp_usage_observe_clock(r->usage, now, wp_hash(wp_str(from), 0),
                               (int64_t)d->clock_ms);
}

bool wp_reports_is_holder(const WPReports *r)
{
    return wp_report_lease_is_held(r->lease);
}

/* Whether the settings ask for usage reports. Logs names in the setting
   `duties` that this version does not know. */
static bool reports_wanted(WPSync *s)
{
    const Wp__DirectSettings *set = s->host->settings;
    bool usage = false;
    for (size_t i = 0; i < set->n_duties; i++) {
        bool known = s->host->platform->is_usage_duty(set->duties[i]);
        usage = usage || known;
        if (!known)
            wp_log(&s->host->log, WP_INFO, "duty_not_taken", "duty",
                   set->duties[i], "why", "unknown to this version", NULL);
    }
    if (usage && (!*set->report_to || set->usage_window_s <= 0)) {
        wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_setting", "why",
               "usage reporting needs report_to and usage_window_s", NULL);
        return false;
    }
    return usage;
}

WPReports *wp_reports_new(WPSync *s)
{
    const Wp__DirectSettings *set = s->host->settings;
    uint32_t window_ms = (uint32_t)(set->usage_window_s * WP_MS_PER_S);
    uint32_t late_ms = (uint32_t)(set->usage_late_s * WP_MS_PER_S);
    WPTime now = wp_clock_now(0);
    if (!reports_wanted(s))
        return NULL;
    WPHttp *service = wp_http_new(s->host->base, set->report_to, SEND_MS);
    if (!service) {
        wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_setting", "report_to",
               set->report_to, "why", "expected HOST:PORT", NULL);
        return NULL;
    }
    WPReports *r = g_new0(WPReports, 1);
    r->sync = s;
    r->service = service;
    r->box = g_strdup(set->id);
    r->usage = wp_usage_new(s->incarnation, window_ms,
                            late_ms + KEEP_WINDOWS * window_ms);
    wp_usage_start_clock(r->usage, now);
    r->updates = wp_usage_updates_new(s->peers, r->usage);
    const WPReportLeaseRules rules = { .box = r->box,
                                       .window_ms = window_ms,
                                       .report_deadline_ms = late_ms,
                                       .lease_ms = (uint32_t)set->duty_lease_ms,
                                       .jitter = s->staleness.jitter };
    r->lease = wp_report_lease_new(&rules, r->usage, now);
    s->host->direct.usage = r->usage;
    return r;
}

void wp_reports_free(WPReports *r)
{
    if (!r)
        return;
    r->sync->host->direct.usage = NULL;
    wp_http_free(r->service);
    wp_usage_updates_free(r->updates);
    wp_report_lease_free(r->lease);
    wp_usage_free(r->usage);
    if (r->value)
        g_byte_array_unref(r->value);
    g_free(r->box);
    g_free(r);
}
