/* Requests during which endpoints crashed (wp_suspects.h). */
#include "wp_flow_int.h"

enum {
    SERIALIZED_MIN_CRASHES = 2 /* of endpoints during a request */
};

bool wp_flow_is_serialized(const WPFlow *f, WPTime now)
{
    return wp_suspect_keys_crash_count(f->direct->suspects, now,
                                       &f->suspects) >= SERIALIZED_MIN_CRASHES;
}

uint64_t wp_flow_version_hash(const WPReplica *s)
{
    return wp_hash(wp_str(s->version), wp_hash(wp_str(s->service), 0));
}

/* The workspace is part of the hash, so that nobody affects another workspace's
   requests by sending a copy of them. */
uint64_t wp_flow_request_hash(const WPFlow *f, const WPDirectRequest *request)
{
    WPStr caller = f->workspace ? wp_str(f->workspace) : wp_str("");
    uint64_t hash =
        wp_hash(caller, wp_hash(request->host, request->content_hash));
    return hash & ~WP_SUSPECT_PART_BIT;
}

/* When an endpoint crashes, all requests that run there lose their connections:
   only the first counts as a failure of its version. With each counted, one
   crash of a half-full endpoint made its version one that fails under load,
   which was then avoided for 30 s (test_loaded). */
WPAttemptOutcome wp_flow_loss_outcome(const WPFlow *f, WPAttemptLoss how)
{
    bool gone = wp_suspects_is_presumed_dead(
        f->direct->suspects, f->attempt.replica->incarnation_hash);
    if (how == WP_LOSS_NO_ANSWER || gone)
        return WP_OUTCOME_NO_RESPONSE;
    bool stream = f->route->retry_policy == WP_RETRY_STREAM;
    return stream ? WP_OUTCOME_STREAM_BROKEN : WP_OUTCOME_FAILED;
}

/* The present attempt, as wp_suspects.h has it. */
static WPSuspectAttempt suspect_attempt(const WPFlow *f)
{
    const WPReplica *s = f->attempt.replica;
    return (WPSuspectAttempt){ f->hash, s->incarnation_hash,
                               wp_flow_version_hash(s), f->attempt.sent_us,
                               f->attempt.first_byte_us };
}

void wp_flow_clear_suspects(WPFlow *f, WPTime now)
{
    if (f->attempt.until_close && f->attempt.replica && !f->attempt.ran_long) {
        const WPSuspectAttempt run = suspect_attempt(f);
        wp_suspects_ended_with_connection(f->direct->suspects, now, &run,
                                          f->suspects.keys, f->suspects.n);
        return;
    }
    if (wp_suspect_keys_completed(f->direct->suspects, now, &f->suspects))
        wp_count(&f->direct->counters, WP_C_SUSPECTS_CLEARED);
}

void wp_flow_note_long_run(WPFlow *f, WPTime now)
{
    WPAttempt *a = &f->attempt;
    if (a->ran_long || !a->first_byte_seen ||
        now.mono_us - a->first_byte_us <= WP_SUSPECT_LONG_RUN_US)
        return;
    a->ran_long = true;
    if (wp_suspect_keys_ran_long(f->direct->suspects, now, &f->suspects))
        wp_count(&f->direct->counters, WP_C_SUSPECTS_CLEARED);
}

void wp_flow_record_crash(WPFlow *f, WPTime now)
{
    const WPSuspectAttempt run = suspect_attempt(f);
    wp_count(&f->direct->counters, WP_C_ENDED_UNDER);
    f->endpoints_lost = wp_suspect_keys_record_crash(f->direct->suspects, now,
                                                     &f->suspects, &run);
}
