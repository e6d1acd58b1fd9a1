/* Answers that end with their connections: they look complete whether their
 * endpoints have crashed or not. Each waits for another sign: an answer of the
 * same incarnation shows that it was complete, a lost connection, at any box,
 * that the endpoint has crashed. */
#include "wp_suspects_int.h"

/* An answer that ended with its connection is confirmed by another one of the
   same incarnation within this time. */
#define CONFIRM_WITHIN_US (10000 * WP_US_PER_MS)

/* A box that awaits a sign asks for one this often. */
#define ASK_AGAIN_US (500 * WP_US_PER_MS)

void wp_suspects_free_unconfirmed(WPSuspects *s)
{
    for (unsigned i = 0; i < WP_SUSPECTS_UNCONFIRMED; i++)
        g_free(s->unconfirmed[i].keys);
}

/* Whether some answer may still wait for a sign: guards against a search of the
   table for each event of each stream. */
static bool any_waits(const WPSuspects *s, WPTime now)
{
    return s->unconfirmed_us &&
           now.mono_us - s->unconfirmed_us <= CONFIRM_WITHIN_US;
}

void wp_suspects_ended_with_connection(WPSuspects *s, WPTime now,
                                       const WPSuspectAttempt *attempt,
                                       const uint64_t *keys, unsigned n)
{
    const WPDeadIncarnation *d =
        g_hash_table_lookup(s->dead, &attempt->incarnation);
    if (d && now.mono_us - d->at_us <= WP_SUSPECTS_IN_TRANSIT_US) {
        wp_suspects_record_crash_of_all(s, now, attempt, keys, n);
        return;
    }
    WPUnconfirmed *u = &s->unconfirmed[s->next_unconfirmed++];
    s->next_unconfirmed %= WP_SUSPECTS_UNCONFIRMED;
    s->unconfirmed_us = now.mono_us;
    g_free(u->keys);
    *u = (WPUnconfirmed){ .attempt = *attempt,
                          .at_us = now.mono_us,
                          .n = n,
                          .keys = g_memdup2(keys, n * sizeof(*keys)) };
}

/* Whether the answer is of a request that may have crashed endpoints before. */
static bool is_suspect(WPSuspects *s, const WPUnconfirmed *u)
{
    for (unsigned i = 0; i < u->n; i++) {
        const WPSuspect *p = wp_suspects_find(s, u->keys[i]);
        if (p && wp_suspect_has_uncleared(p))
            return true;
    }
    return false;
}

static void add_verdict(WPSuspects *s, WPTime now, const WPUnconfirmed *u,
                        bool crashed)
{
    s->verdicts[s->verdicts_added++ % WP_SUSPECTS_VERDICTS] =
        (WPSuspectVerdict){ u->keys[0], u->attempt.incarnation, crashed,
                            now.mono_us - u->at_us };
}

bool wp_suspects_take_verdict(WPSuspects *s, WPSuspectVerdict *out)
{
    unsigned waiting = s->verdicts_added - s->verdicts_taken;
    if (!waiting)
        return false;
    s->verdicts_taken += waiting - MIN(waiting, WP_SUSPECTS_VERDICTS);
    *out = s->verdicts[s->verdicts_taken++ % WP_SUSPECTS_VERDICTS];
    return true;
}

void wp_suspects_lose_unconfirmed(WPSuspects *s, WPTime now,
                                  uint64_t incarnation, int64_t sent_us)
{
    for (unsigned i = 0; i < WP_SUSPECTS_UNCONFIRMED; i++) {
        WPUnconfirmed *u = &s->unconfirmed[i];
        if (!u->at_us || u->attempt.incarnation != incarnation)
            continue;
        /* An attempt that was under way already is lost with the endpoint at
           once; a later one only shows that it has crashed since. */
        int64_t within_us = sent_us > u->at_us ? WP_SUSPECTS_ALIVE_WITHIN_US
                                               : WP_SUSPECTS_IN_TRANSIT_US;
        bool crashed = now.mono_us - u->at_us <= within_us;
        if (crashed)
            add_verdict(s, now, u, true);
        u->at_us = 0;
        if (!crashed)
            continue;
        /* Otherwise the record of the first one would drop the others. */
        wp_suspects_dead_since_us(s, now, incarnation);
        wp_suspects_record_crash_of_all(s, now, &u->attempt, u->keys, u->n);
    }
}

void wp_suspects_endpoint_unreachable(WPSuspects *s, WPTime now,
                                      uint64_t incarnation)
{
    wp_suspects_lose_unconfirmed(s, now, incarnation, now.mono_us);
}

bool wp_suspects_shows_alive(WPTime now, int64_t at_us, int64_t sent_us,
                             int64_t within_us)
{
    int64_t since_us = now.mono_us - at_us;
    bool after = sent_us > at_us || since_us > WP_SUSPECTS_IN_TRANSIT_US;
    return after && since_us <= within_us;
}

void wp_suspects_confirm(WPSuspects *s, WPTime now, uint64_t incarnation,
                         int64_t sent_us)
{
    if (!any_waits(s, now))
        return;
    for (unsigned i = 0; i < WP_SUSPECTS_UNCONFIRMED; i++) {
        WPUnconfirmed *u = &s->unconfirmed[i];
        if (!u->at_us || u->attempt.incarnation != incarnation ||
            !wp_suspects_shows_alive(now, u->at_us, sent_us, CONFIRM_WITHIN_US))
            continue;
        if (is_suspect(s, u))
            add_verdict(s, now, u, false);
        u->at_us = 0;
        for (unsigned k = 0; k < u->n; k++)
            wp_suspects_completed(s, now, u->keys[k]);
    }
}

uint64_t wp_suspects_incarnation_to_verify(WPSuspects *s, WPTime now)
{
    if (!wp_suspects_any(s) || !any_waits(s, now))
        return 0;
    for (unsigned i = 0; i < WP_SUSPECTS_UNCONFIRMED; i++) {
        const WPUnconfirmed *u = &s->unconfirmed[i];
        if (u->at_us && now.mono_us - u->at_us <= CONFIRM_WITHIN_US &&
            (!u->asked_us || now.mono_us - u->asked_us > ASK_AGAIN_US) &&
            is_suspect(s, u))
            return u->attempt.incarnation;
    }
    return 0;
}

void wp_suspects_note_sent(WPSuspects *s, WPTime now, uint64_t incarnation)
{
    if (!any_waits(s, now))
        return;
    for (unsigned i = 0; i < WP_SUSPECTS_UNCONFIRMED; i++)
        if (s->unconfirmed[i].attempt.incarnation == incarnation)
            s->unconfirmed[i].asked_us = now.mono_us;
}
