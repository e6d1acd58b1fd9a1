/* What the log tells of one request: a line at its end. */
#include "wp_relay_int.h"

#include <stdio.h>

enum {
    LOG_NUMBER = 24 /* bytes of a figure as text */
};

void wp_relay_log_end(WPRelay *r, const char *outcome, int status)
{
    const WPFlow *f = r->flow;
    char ms[LOG_NUMBER], code[LOG_NUMBER], version[LOG_NUMBER];
    char session[LOG_NUMBER], first[LOG_NUMBER], tokens[LOG_NUMBER];
    char gap[LOG_NUMBER], aims[LOG_NUMBER], hash[LOG_NUMBER];
    char age[LOG_NUMBER];
    int64_t us = wp_clock_now(0).mono_us - f->start_us;
    uint64_t table = f->routes ? f->routes->version : 0;
    snprintf(ms, sizeof(ms), "%.1f", (double)us / WP_US_PER_MS);
    snprintf(code, sizeof(code), "%d", status);
    snprintf(session, sizeof(session), "%016lx", (unsigned long)f->session);
    snprintf(version, sizeof(version), "%lu", (unsigned long)table);
    snprintf(hash, sizeof(hash), "%016lx", (unsigned long)f->hash);
    /* When a stream began, and the tokens read and (as told) to be made. */
    snprintf(first, sizeof(first), "%.1f",
             r->begun_us ? (double)(r->begun_us - f->start_us) / WP_US_PER_MS
                         : 0);
    snprintf(gap, sizeof(gap), "%.1f", (double)f->gap_us / WP_US_PER_MS);
    snprintf(aims, sizeof(aims), "%u+%u",
             f->route ? f->route->target_latency_ms : 0,
             f->route ? f->route->max_event_gap_ms : 0);
    snprintf(tokens, sizeof(tokens), "%u+%u", f->prompt.tokens,
             f->answer_tokens);
    snprintf(age, sizeof(age), "%ld", (long)r->list_age_ms);
    wp_log(&r->host->log, WP_INFO, "request", "id", f->id, "outcome", outcome,
           "status", code, "ms", ms, "first_ms", first, "gap_ms", gap, "aims",
           aims, "tokens", tokens, "route", f->route ? f->route->name : "-",
           "service", f->service ? f->service->name : "-", "workspace",
           f->workspace ? f->workspace : "-", "routes_version", version,
           "list_age_ms", age, "session", f->session ? session : "-",
           "request_hash", f->hash ? hash : "-", "legs", r->legs->str, NULL);
}

void wp_relay_log_ended(WPRelay *r, const char *endpoint)
{
    const WPFlow *f = r->flow;
    char hash[LOG_NUMBER], ended[LOG_NUMBER];
    snprintf(hash, sizeof(hash), "%016lx", (unsigned long)f->hash);
    snprintf(ended, sizeof(ended), "%u", f->ended);
    wp_log(&r->host->log, f->ended > 1 ? WP_WARN : WP_INFO, "ended_under", "id",
           f->id, "request_hash", hash, "endpoint", endpoint, "ended", ended,
           NULL);
}

static void log_limit(WPRelay *r, const WPReplica *s, double was)
{
    char had[LOG_NUMBER], has[LOG_NUMBER];
    snprintf(had, sizeof(had), "%g", was);
    snprintf(has, sizeof(has), "%g", wp_fleet_limit_of(s));
    wp_log(&r->host->log, WP_INFO, "endpoint_limit", "endpoint", s->id,
           "service", s->service, "version", s->version, "per_s", has, "was",
           had, "from", "answer", "id", r->flow->id, NULL);
}

static void log_rest(WPRelay *r, const WPReplica *s)
{
    char rest[LOG_NUMBER];
    snprintf(rest, sizeof(rest), "%.3f", r->answer.rest.backoff_s);
    wp_log(&r->host->log, WP_INFO, "endpoint_rests", "endpoint", s->id,
           "service", s->service, "version", s->version, "seconds", rest, "id",
           r->flow->id, NULL);
}

void wp_relay_log_heard(WPRelay *r, const WPReplica *s, const WPHeard *h)
{
    if (h->limit == WP_LIMIT_CHANGED)
        log_limit(r, s, h->limit_was);
    if (h->limit == WP_LIMIT_REPORT_INVALID)
        wp_log(&r->host->log, WP_WARN, "endpoint_limit_bad", "endpoint", s->id,
               "id", r->flow->id, NULL);
    if (h->leaves)
        wp_log(&r->host->log, WP_INFO, "endpoint_leaving", "endpoint", s->id,
               "service", s->service, "version", s->version, "zone", s->zone,
               "from", "answer", "id", r->flow->id, NULL);
    if (h->rests)
        log_rest(r, s);
    if (h->bad)
        wp_log(&r->host->log, WP_WARN, "endpoint_notice_bad", "endpoint", s->id,
               "field", h->bad, "id", r->flow->id, NULL);
}

void wp_relay_note_leg(WPRelay *r, const WPMove *m, WPTime now)
{
    r->list_age_ms = wp_sync_list_age_ms(r->host->sync, now);
    const WPReplica *s = m->replica;
    int64_t age_ms =
        s->reported.load_reported_us
            ? (now.mono_us - s->reported.load_reported_us) / WP_US_PER_MS
            : -1;
    g_string_append_printf(r->legs, "%s%s:%s:%s:%.*s:load=%u+%u/%u:age=%ldms",
                           r->legs->len ? "," : "", wp_why_name(m->why), s->id,
                           s->version, (int)m->model.n, m->model.p,
                           s->reported.running, s->reported.waiting, s->slots,
                           (long)age_ms);
    const WPAttempt *leg = &r->flow->leg;
    if (leg->expect_us > 0)
        g_string_append_printf(r->legs, ":unread=%u:expect=%.0fms",
                               leg->work.uncached_tokens,
                               leg->expect_us / WP_US_PER_MS);
    if (m->fetch)
        g_string_append_printf(r->legs, ":fetch=%s", m->fetch);
    if (wp_fleet_is_cold(s, now))
        g_string_append(r->legs, ":cold");
}

void wp_relay_note_barred(WPRelay *r, const WPMove *m)
{
    const WPReplica *s = m->barred;
    int64_t now_us = wp_clock_now(0).mono_us;
    g_string_append_printf(r->legs, "%snone:%s", r->legs->len ? "," : "",
                           s->id);
    if (m->bar == WP_EXCLUDED_LIMIT)
        g_string_append_printf(r->legs, ":limit=%g", wp_fleet_limit_of(s));
    else if (m->bar == WP_EXCLUDED_BACKOFF)
        g_string_append_printf(r->legs, ":rest=%.3fs",
                               (double)(s->reported.backoff_until_us - now_us) /
                                   WP_US_PER_S);
    else
        g_string_append(r->legs, ":cold");
}

void wp_relay_note_result(WPRelay *r, const char *how)
{
    g_string_append_printf(r->legs, ":%s", how);
}

void wp_relay_note_answer(WPRelay *r)
{
    int64_t us = wp_clock_now(0).mono_us - r->flow->leg.sent_us;
    g_string_append_printf(r->legs, ":%d/%ldms", r->answer.status,
                           (long)(us / WP_US_PER_MS));
    if (r->answer.confidence >= 0)
        g_string_append_printf(r->legs, "/conf=%d", r->answer.confidence);
    if (r->answer.pace)
        g_string_append_printf(r->legs, "/pace=%u", r->answer.pace);
    if (r->answer.not_run)
        g_string_append(r->legs, "/not_run");
    if (r->answer.limit.status == WP_LIMIT_FIELD_PRESENT)
        g_string_append_printf(r->legs, "/limit=%g", r->answer.limit.per_s);
    if (r->answer.leaving.status == WP_NOTICE_PRESENT)
        g_string_append(r->legs, "/leaving");
    if (r->answer.rest.status == WP_NOTICE_PRESENT)
        g_string_append_printf(r->legs, "/rest=%gs", r->answer.rest.backoff_s);
}
