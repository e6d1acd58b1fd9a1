/* Applies what the head of an answer reports of its endpoint. */
#include "wp_flow_int.h"
#include "wp_usage.h"

#define PERCENT 100.0

bool wp_flow_requests_backoff(const WPDirectAnswer *a)
{
    /* A 429 to a request that did run may be the application's limit for one
       caller. */
    bool refuses = a->status == 503 || (a->status == 429 && a->not_run);
    return !a->wrong_endpoint && refuses && a->backoff.backoff_s > 0;
}

static void apply_limit(WPFlow *f, WPTime now, const WPDirectAnswer *a,
                        WPHeadChanges *out)
{
    WPReplica *s = f->attempt.replica;
    const WPLimitReport report = { a->limit, a->has_seal, f->attempt.sent_us };
    out->previous_limit = wp_fleet_limit_of(s);
    out->limit = wp_fleet_record_limit(f->direct->fleet, s, now, &report);
}

static const char *invalid_field(const WPDirectAnswer *a)
{
    if (a->load_status == WP_NOTICE_INVALID)
        return "load";
    if (a->draining.status == WP_NOTICE_INVALID)
        return "leaving";
    return a->backoff.status == WP_NOTICE_INVALID ? "rest" : NULL;
}

/* Counts the request as usage of its workspace, once. An endpoint's answer
   shows that the request began to run: the head of a stream comes with its
   first token, a non-streaming answer after the work. Retries and escalations
   are of the same request. */
static void note_usage(WPFlow *f, WPTime now, const WPDirectAnswer *a)
{
    bool streams = f->route->retry_policy == WP_RETRY_STREAM;
    bool ran = !a->not_run && a->has_seal && (!streams || a->status == 200);
    if (!f->direct->usage || !f->workspace || !ran || f->usage_counted)
        return;
    f->usage_counted = true;
    wp_usage_count_request(f->direct->usage,
                           streams ? now.mono_us : f->attempt.sent_us,
                           f->workspace);
}

void wp_flow_on_head(WPFlow *f, WPTime now, const WPDirectAnswer *a,
                     WPHeadChanges *out)
{
    WPFleet *fleet = f->direct->fleet;
    WPReplica *s = f->attempt.replica;
    *out = (WPHeadChanges){ 0 };
    if (a->wrong_endpoint) /* reports of another endpoint at this address */
        return;
    if (a->load_status == WP_NOTICE_PRESENT) {
        wp_fleet_record_load(fleet, s, now, a->load.running, a->load.waiting,
                             a->load.slots);
        f->attempt.running = a->load.running;
    }
    if (a->load.slowdown) {
        f->attempt.slowdown = a->load.slowdown / PERCENT;
        wp_fleet_record_slowdown(s, a->load.slowdown);
        out->contended = wp_direct_note_uneven(f->direct, f->service->name);
    }
    wp_suspects_endpoint_alive(f->direct->suspects, now, s->incarnation_hash,
                               f->attempt.sent_us);
    note_usage(f, now, a);
    apply_limit(f, now, a, out);
    if (a->draining.status == WP_NOTICE_PRESENT)
        out->draining = wp_fleet_record_draining(fleet, s, now);
    if (wp_flow_requests_backoff(a))
        out->backoff =
            wp_fleet_record_backoff(fleet, s, now, a->backoff.backoff_s);
    out->bad_field = invalid_field(a);
    if (out->bad_field && !wp_fleet_should_report_bad_field(s, now))
        out->bad_field = NULL;
}
