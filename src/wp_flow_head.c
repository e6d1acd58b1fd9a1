/* Applies what the head of an answer reports of its endpoint. */
#include "wp_flow_int.h"
#include "wp_usage.h"

bool wp_flow_requests_backoff(const WPDirectAnswer *a)
{
    /* A 429 to a request that did run may be the application's limit for one
       caller. */
    bool refuses = a->status == 503 || (a->status == 429 && a->not_run);
    return !a->wrong && refuses && a->rest.backoff_s > 0;
}

static void apply_limit(WPFlow *f, WPTime now, const WPDirectAnswer *a,
                        WPHeard *out)
{
    WPReplica *s = f->leg.replica;
    const WPLimitReport seen = { a->limit, a->genuine, f->leg.sent_us };
    out->limit_was = wp_fleet_limit_of(s);
    out->limit = wp_fleet_record_limit(f->d->fleet, s, now, &seen);
}

static const char *invalid_field(const WPDirectAnswer *a)
{
    if (a->leaving.status == WP_NOTICE_INVALID)
        return "leaving";
    return a->rest.status == WP_NOTICE_INVALID ? "rest" : NULL;
}

/* Counts the request as usage of its workspace, once. An endpoint's answer
   shows that the request began to run: the head of a stream comes with its
   first token, a non-streaming answer after the work. Retries and escalations
   are of the same request. */
static void note_usage(WPFlow *f, WPTime now, const WPDirectAnswer *a)
{
    bool streams = f->route->retry_policy == WP_RETRY_STREAM;
    bool ran = !a->not_run && a->genuine && (!streams || a->status == 200);
    if (!f->d->usage || !f->workspace || !ran || f->counted)
        return;
    f->counted = true;
    wp_usage_note(f->d->usage, streams ? now.mono_us : f->leg.sent_us,
                  f->workspace);
}

void wp_flow_head(WPFlow *f, WPTime now, const WPDirectAnswer *a, WPHeard *out)
{
    WPFleet *fleet = f->d->fleet;
    WPReplica *s = f->leg.replica;
    *out = (WPHeard){ 0 };
    if (a->wrong) /* reports of another endpoint at this address */
        return;
    if (a->has_load)
        wp_fleet_record_load(fleet, s, now, a->running, a->waiting, a->slots);
    if (a->pace)
        wp_fleet_record_slowdown(s, a->pace);
    wp_suspects_endpoint_alive(f->d->suspects, now, s->incarnation_hash,
                               f->leg.sent_us);
    note_usage(f, now, a);
    apply_limit(f, now, a, out);
    if (a->leaving.status == WP_NOTICE_PRESENT)
        out->leaves = wp_fleet_record_draining(fleet, s, now);
    if (wp_flow_requests_backoff(a))
        out->rests = wp_fleet_record_backoff(fleet, s, now, a->rest.backoff_s);
    out->bad = invalid_field(a);
    if (out->bad && !wp_fleet_should_report_bad_field(s, now))
        out->bad = NULL;
}
