/* A request, and endpoints that end under it (wp_suspects.h). */
#include "wp_flow_int.h"

enum { SINGLE_FROM = 2 /* endpoints that have ended under a request */ };

bool wp_flow_is_single(const WPFlow *f)
{
    return wp_suspects_crash_count(f->d->suspects, f->hash) >= SINGLE_FROM;
}

uint64_t wp_flow_version(const WPReplica *s)
{
    return wp_hash(wp_str(s->version), wp_hash(wp_str(s->service), 0));
}

/* The workspace is part of what is the same, so that nobody speaks for
   another's requests by sending a copy. */
uint64_t wp_flow_hash(const WPFlow *f, const WPDirectAsk *ask)
{
    WPStr caller = f->workspace ? wp_str(f->workspace) : wp_str("");
    return wp_hash(caller, wp_hash(ask->host, ask->content));
}

/* How the leg ended that has lost its connection. An endpoint that crashes ends
   all that runs there: only the first one is a failure of its version. With
   each counted, one crash of a half-full endpoint made its version one that
   fails under load, which is then spared for 30 s (test_loaded). */
WPAttemptOutcome wp_flow_ended_how(const WPFlow *f, WPLoss how)
{
    bool gone = wp_suspects_is_presumed_dead(f->d->suspects,
                                             f->leg.replica->incarnation_hash);
    if (how == WP_LOSS_SILENT || gone)
        return WP_OUTCOME_NO_RESPONSE;
    bool stream = f->route->retry_policy == WP_RETRY_STREAM;
    return stream ? WP_OUTCOME_STREAM_BROKEN : WP_OUTCOME_FAILED;
}

void wp_flow_note_ended(WPFlow *f, WPTime now)
{
    const WPReplica *s = f->leg.replica;
    const WPSuspectAttempt run = { f->hash, s->incarnation_hash,
                                   wp_flow_version(s), f->leg.sent_us,
                                   f->leg.first_us };
    wp_count(&f->d->counters, WP_C_ENDED_UNDER);
    f->ended = wp_suspects_record_crash(f->d->suspects, now, &run);
}
