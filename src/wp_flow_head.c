/* What the head of an answer tells of its endpoint. */
#include "wp_flow_int.h"
#include "wp_usage.h"

bool wp_flow_asks_for_rest(const WPDirectAnswer *a)
{
    /* A 429 that has run may be the application's word to one caller. */
    bool refuses = a->status == 503 || (a->status == 429 && a->not_run);
    return !a->wrong && refuses && a->rest.backoff_s > 0;
}

static void hear_limit(WPFlow *f, WPTime now, const WPDirectAnswer *a,
                       WPHeard *out)
{
    WPReplica *s = f->leg.replica;
    const WPLimitReport seen = { a->limit, a->genuine, f->leg.sent_us };
    out->limit_was = wp_fleet_limit_of(s);
    out->limit = wp_fleet_record_limit(f->d->fleet, s, now, &seen);
}

static const char *bad_field(const WPDirectAnswer *a)
{
    if (a->leaving.status == WP_NOTICE_INVALID)
        return "leaving";
    return a->rest.status == WP_NOTICE_INVALID ? "rest" : NULL;
}

/* An endpoint's answer shows that the request began to run: a stream's head
   comes with its first token, a plain answer after its work. A repeat or a
   better answer is the same request. */
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
    if (a->wrong) /* another endpoint's word */
        return;
    if (a->has_load)
        wp_fleet_record_load(fleet, s, now, a->running, a->waiting, a->slots);
    if (a->pace)
        wp_fleet_record_slowdown(s, a->pace);
    wp_suspects_endpoint_alive(f->d->suspects, now, s->incarnation_hash,
                               f->leg.sent_us);
    note_usage(f, now, a);
    hear_limit(f, now, a, out);
    if (a->leaving.status == WP_NOTICE_PRESENT)
        out->leaves = wp_fleet_record_draining(fleet, s, now);
    if (wp_flow_asks_for_rest(a))
        out->rests = wp_fleet_record_backoff(fleet, s, now, a->rest.backoff_s);
    out->bad = bad_field(a);
    if (out->bad && !wp_fleet_should_report_bad_field(s, now))
        out->bad = NULL;
}
