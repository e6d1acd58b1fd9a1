/* Logs each relayed request with one line at its end. */
#include "wp_relay_int.h"

#include <stdio.h>

enum {
    NUMBER_SIZE = 24 /* buffer size for a number as text */
};

/* Appends the keys of the prompt's shared parts in hexadecimal, separated by
   commas; "-" if there are none. */
static void append_parts(const WPPrompt *p, GString *out)
{
    unsigned n = wp_prompt_shared_ids(p);
    for (unsigned i = 0; i < n; i++)
        g_string_append_printf(out, "%s%016lx", i ? "," : "",
                               (unsigned long)wp_suspect_part_key(p->ids[i]));
    if (!n)
        g_string_append_c(out, '-');
}

void wp_relay_log_end(WPRelay *r, const char *outcome, int status)
{
    const WPFlow *f = r->flow;
    char ms[NUMBER_SIZE], code[NUMBER_SIZE], version[NUMBER_SIZE];
    char session[NUMBER_SIZE], first[NUMBER_SIZE], tokens[NUMBER_SIZE];
    char gap[NUMBER_SIZE], targets[NUMBER_SIZE], hash[NUMBER_SIZE];
    char age[NUMBER_SIZE], speed[NUMBER_SIZE];
    g_autoptr(GString) parts = g_string_new(NULL);
    int64_t us = wp_clock_now(0).mono_us - f->start_us;
    uint64_t table = f->routes ? f->routes->version : 0;
    snprintf(ms, sizeof(ms), "%.1f", (double)us / WP_US_PER_MS);
    snprintf(code, sizeof(code), "%d", status);
    snprintf(session, sizeof(session), "%016lx", (unsigned long)f->session);
    snprintf(version, sizeof(version), "%lu", (unsigned long)table);
    snprintf(hash, sizeof(hash), "%016lx", (unsigned long)f->hash);
    /* "first_ms": when the stream began; "tokens": prompt tokens and the
       caller's estimate of the answer's. */
    snprintf(first, sizeof(first), "%.1f",
             r->stream_begun_us
                 ? (double)(r->stream_begun_us - f->start_us) / WP_US_PER_MS
                 : 0);
    snprintf(gap, sizeof(gap), "%.1f", (double)f->max_gap_us / WP_US_PER_MS);
    snprintf(targets, sizeof(targets), "%u+%u",
             f->route ? f->route->target_latency_ms : 0,
             f->route ? f->route->max_event_gap_ms : 0);
    snprintf(tokens, sizeof(tokens), "%u+%u", f->prompt.tokens,
             f->answer_tokens);
    snprintf(age, sizeof(age), "%ld", (long)r->registry_age_ms);
    snprintf(speed, sizeof(speed), "%.2f", f->speed_ratio);
    append_parts(&f->prompt, parts);
    wp_log(&r->host->log, WP_INFO, "request", "id", f->id, "outcome", outcome,
           "status", code, "ms", ms, "first_ms", first, "gap_ms", gap,
           "times_usual", speed, "aims", targets, "tokens", tokens, "route",
           f->route ? f->route->name : "-", "service",
           f->service ? f->service->name : "-", "workspace",
           f->workspace ? f->workspace : "-", "routes_version", version,
           "list_age_ms", age, "session", f->session ? session : "-",
           "not_retried", f->not_retried ? f->not_retried : "-", "request_hash",
           f->hash ? hash : "-", "parts", parts->str, "legs",
           r->attempts_text->str, NULL);
}

void wp_relay_log_connection_lost(WPRelay *r, const char *endpoint)
{
    const WPFlow *f = r->flow;
    char hash[NUMBER_SIZE], lost[NUMBER_SIZE];
    g_autoptr(GString) parts = g_string_new(NULL);
    append_parts(&f->prompt, parts);
    snprintf(hash, sizeof(hash), "%016lx", (unsigned long)f->hash);
    snprintf(lost, sizeof(lost), "%u", f->endpoints_lost);
    wp_log(&r->host->log, f->endpoints_lost > 1 ? WP_WARN : WP_INFO,
           "ended_under", "id", f->id, "request_hash", hash, "endpoint",
           endpoint, "ended", lost, "parts", parts->str, NULL);
}

static void log_limit(WPRelay *r, const WPReplica *s, double was)
{
    char previous[NUMBER_SIZE], current[NUMBER_SIZE];
    snprintf(previous, sizeof(previous), "%g", was);
    snprintf(current, sizeof(current), "%g", wp_fleet_limit_of(s));
    wp_log(&r->host->log, WP_INFO, "endpoint_limit", "endpoint", s->id,
           "service", s->service, "version", s->version, "per_s", current,
           "was", previous, "from", "answer", "id", r->flow->id, NULL);
}

static void log_backoff(WPRelay *r, const WPReplica *s)
{
    char seconds[NUMBER_SIZE];
    snprintf(seconds, sizeof(seconds), "%.3f", r->answer.backoff.backoff_s);
    wp_log(&r->host->log, WP_INFO, "endpoint_rests", "endpoint", s->id,
           "service", s->service, "version", s->version, "seconds", seconds,
           "id", r->flow->id, NULL);
}

void wp_relay_log_head_changes(WPRelay *r, const WPReplica *s,
                               const WPHeadChanges *h)
{
    if (h->limit == WP_LIMIT_CHANGED)
        log_limit(r, s, h->previous_limit);
    if (h->limit == WP_LIMIT_REPORT_INVALID)
        wp_log(&r->host->log, WP_WARN, "endpoint_limit_bad", "endpoint", s->id,
               "id", r->flow->id, NULL);
    if (h->draining)
        wp_log(&r->host->log, WP_INFO, "endpoint_leaving", "endpoint", s->id,
               "service", s->service, "version", s->version, "zone", s->zone,
               "from", "answer", "id", r->flow->id, NULL);
    if (h->backoff)
        log_backoff(r, s);
    if (h->contended)
        wp_log(&r->host->log, WP_INFO, "service_contended", "service",
               s->service, "why", "endpoints report their speed", "endpoint",
               s->id, "id", r->flow->id, NULL);
    if (h->bad_field)
        wp_log(&r->host->log, WP_WARN, "endpoint_notice_bad", "endpoint", s->id,
               "field", h->bad_field, "id", r->flow->id, NULL);
}

void wp_relay_note_attempt(WPRelay *r, const WPFlowAction *m, WPTime now)
{
    r->registry_age_ms = wp_sync_registry_age_ms(r->host->sync, now);
    const WPReplica *s = m->replica;
    int64_t age_ms =
        s->reported.load_reported_us
            ? (now.mono_us - s->reported.load_reported_us) / WP_US_PER_MS
            : -1;
    g_string_append_printf(
        r->attempts_text, "%s%s:%s:%s:%.*s:load=%u+%u/%u:age=%ldms",
        r->attempts_text->len ? "," : "", wp_attempt_reason_name(m->reason),
        s->id, s->version, (int)m->model.n, m->model.p, s->reported.running,
        s->reported.waiting, s->slots, (long)age_ms);
    const WPAttempt *attempt = &r->flow->attempt;
    if (attempt->expected_ttfb_us > 0)
        g_string_append_printf(r->attempts_text, ":unread=%u:expect=%.0fms",
                               attempt->ttfb_inputs.uncached_tokens,
                               attempt->expected_ttfb_us / WP_US_PER_MS);
    int64_t silence_us = wp_silence_unexplained_us(
        &s->silence, now, attempt->ttfb_inputs.queued_prefill_us);
    if (silence_us)
        g_string_append_printf(r->attempts_text, ":silent=%ldms",
                               (long)(silence_us / WP_US_PER_MS));
    if (m->prefix_source)
        g_string_append_printf(r->attempts_text, ":fetch=%s", m->prefix_source);
    if (wp_fleet_is_cold(s, now))
        g_string_append(r->attempts_text, ":cold");
}

void wp_relay_note_excluded(WPRelay *r, const WPFlowAction *m)
{
    const WPReplica *s = m->excluded;
    int64_t now_us = wp_clock_now(0).mono_us;
    g_string_append_printf(r->attempts_text, "%snone:%s",
                           r->attempts_text->len ? "," : "", s->id);
    if (m->exclusion == WP_EXCLUDED_LIMIT)
        g_string_append_printf(r->attempts_text, ":limit=%g",
                               wp_fleet_limit_of(s));
    else if (m->exclusion == WP_EXCLUDED_BACKOFF)
        g_string_append_printf(r->attempts_text, ":rest=%.3fs",
                               (double)(s->reported.backoff_until_us - now_us) /
                                   WP_US_PER_S);
    else
        g_string_append(r->attempts_text, ":cold");
}

void wp_relay_note_suspect(WPRelay *r, uint64_t key)
{
    g_string_append_printf(r->attempts_text, "%ssuspect:%016lx",
                           r->attempts_text->len ? "," : "",
                           (unsigned long)key);
}

void wp_relay_note_result(WPRelay *r, const char *how)
{
    g_string_append_printf(r->attempts_text, ":%s", how);
}

void wp_relay_note_invalid(WPRelay *r, const char *endpoint, WPCounter kind,
                           const char *fault)
{
    char status[NUMBER_SIZE];
    snprintf(status, sizeof(status), "%d", r->answer.status);
    wp_count(&r->host->direct.counters, kind);
    wp_relay_note_result(r, "invalid");
    wp_log(&r->host->log, WP_INFO, "answer_invalid", "endpoint", endpoint,
           "kind", wp_counter_name(kind), "why", fault, "status", status, "id",
           r->flow->id, NULL);
}

void wp_relay_note_events(WPRelay *r)
{
    const WPAttempt *attempt = &r->flow->attempt;
    double gap_us = wp_flow_usual_gap_us(r->flow);
    g_string_append_printf(r->attempts_text, "/events=%lu",
                           (unsigned long)attempt->events);
    if (gap_us > 0)
        g_string_append_printf(r->attempts_text, "/each=%.1fms/running=%.0f",
                               gap_us / WP_US_PER_MS, attempt->running);
}

void wp_relay_note_kept(WPRelay *r)
{
    if (r->flow->kept_reason)
        g_string_append_printf(r->attempts_text, "/kept=%s",
                               r->flow->kept_reason);
}

void wp_relay_note_wait(WPRelay *r, uint32_t ms)
{
    g_string_append_printf(r->attempts_text, "%swait=%ums",
                           r->attempts_text->len ? "," : "", ms);
}

void wp_relay_note_answer(WPRelay *r)
{
    int64_t us = wp_clock_now(0).mono_us - r->flow->attempt.sent_us;
    g_string_append_printf(r->attempts_text, ":%d/%ldms", r->answer.status,
                           (long)(us / WP_US_PER_MS));
    if (r->answer.confidence >= 0)
        g_string_append_printf(r->attempts_text, "/conf=%d",
                               r->answer.confidence);
    if (r->answer.load.slowdown)
        g_string_append_printf(r->attempts_text, "/pace=%u",
                               r->answer.load.slowdown);
    if (r->answer.not_run)
        g_string_append(r->attempts_text, "/not_run");
    if (r->answer.limit.status == WP_LIMIT_FIELD_PRESENT)
        g_string_append_printf(r->attempts_text, "/limit=%g",
                               r->answer.limit.per_s);
    if (r->answer.draining.status == WP_NOTICE_PRESENT)
        g_string_append(r->attempts_text, "/leaving");
    if (r->answer.backoff.status == WP_NOTICE_PRESENT)
        g_string_append_printf(r->attempts_text, "/rest=%gs",
                               r->answer.backoff.backoff_s);
}
