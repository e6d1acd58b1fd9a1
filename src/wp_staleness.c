/* Staleness of the local copy of the store. */
#include "wp_staleness.h"

/* Fractions of `apply_ms`. The last rank polls at 0.77 of it; the poll and the
   messages to the other boxes take 0.1 to 0.2 s. The limits guard against
   watches of all zones that fail silently at once: a limit that is not derived
   from `apply_ms` lets a revoked key be served beyond that time. */
#define LIMIT_FRACTION 0.65  /* the first box of a zone polls */
#define RANK_FRACTION 0.03   /* added for each further rank */
#define RANK_MAX 3           /* boxes of higher ranks poll together */
#define JITTER_FRACTION 0.03 /* spread within a rank, times the jitter */
#define POLL_INTERVAL_FRACTION                                                 \
    0.4 /* between two polls, and up to twice as long */
#define BEHIND_FRACTION                                                        \
    0.35 /* an update takes some 100 ms per hop, and six hops in a zone of a   \
            hundred boxes */

/* Upper bound of the time that a message takes from one box to another. Without
   it, an answer whose age boxes keep sending around a circle would not grow
   older, so that no box would poll the store. */
#define HOP_MAX_MS 50

/* Back-off for a store that does not answer: the first delay, the longest delay
   as a fraction of `apply_ms`, and the fraction by which the jitter may
   lengthen it. Calls to the store are billed, including those that are
   rejected. */
#define BACKOFF_FIRST_MS 250
#define BACKOFF_MAX_FRACTION 0.2
#define BACKOFF_JITTER 0.5

/* A box that reads the store makes a call for each 50 to 500 entries, and all
   boxes that start together share the store's link; a box that receives a copy
   from another box makes no call. At the first start of the system no callers
   are waiting yet, and there is time to receive a copy. At any other start
   callers are waiting: their requests are held for some hundred ms. */
#define START_WAIT_MS 400
#define START_WAIT_REACHES_MS                                                  \
    2000 /* the box that reads takes a second for 3,000 entries; if all read   \
            at once, they exceed what the store allows, and none succeeds */
#define START_WAIT_FIRST_MS 4000
#define START_WAIT_JITTER 0.4

void wp_staleness_confirm(WPStaleness *f, int64_t at_us)
{
    f->confirmed_us = MAX(f->confirmed_us, at_us);
}

int64_t wp_staleness_peer_confirmed_us(WPTime now, uint32_t age_ms)
{
    return now.mono_us - ((int64_t)age_ms + HOP_MAX_MS) * WP_US_PER_MS;
}

void wp_staleness_note_synced(WPStaleness *f, uint64_t complete_revision,
                              uint64_t local_revision, int64_t at_us)
{
    if (f->pending_revision && local_revision >= f->pending_revision) {
        f->synced_us = MAX(f->synced_us, f->pending_us);
        f->pending_revision = 0;
    }
    if (local_revision >= complete_revision) {
        f->synced_us = MAX(f->synced_us, at_us);
    } else if (!f->pending_revision || at_us > f->pending_us) {
        f->pending_revision = complete_revision;
        f->pending_us = at_us;
    }
}

int64_t wp_staleness_ms(const WPStaleness *f, WPTime now)
{
    if (!f->synced_us)
        return -1;
    return MAX(0, (now.mono_us - f->synced_us) / WP_US_PER_MS);
}

void wp_staleness_note_poll(WPStaleness *f, WPTime now)
{
    f->polled_us = now.mono_us;
}

static int64_t fraction_us(const WPStaleness *f, double fraction)
{
    return (int64_t)(f->apply_ms * fraction) * WP_US_PER_MS;
}

uint32_t wp_staleness_limit_ms(const WPStaleness *f, unsigned rank)
{
    double fraction = LIMIT_FRACTION + RANK_FRACTION * MIN(rank, RANK_MAX) +
                      JITTER_FRACTION * f->jitter;
    return (uint32_t)(f->apply_ms * fraction);
}

bool wp_staleness_poll_due(const WPStaleness *f, WPTime now, unsigned rank)
{
    int64_t limit_us = (int64_t)wp_staleness_limit_ms(f, rank) * WP_US_PER_MS;
    int64_t interval_us =
        fraction_us(f, POLL_INTERVAL_FRACTION * (1 + f->jitter));
    return now.mono_us - f->confirmed_us > limit_us &&
           now.mono_us - f->polled_us > interval_us;
}

uint32_t wp_staleness_backoff_ms(const WPStaleness *f, unsigned failures)
{
    double max_ms = BACKOFF_MAX_FRACTION * f->apply_ms;
    double ms = BACKOFF_FIRST_MS;
    while (failures-- && ms < max_ms)
        ms *= 2;
    return (uint32_t)(MIN(ms, max_ms) * (1 + BACKOFF_JITTER * f->jitter));
}

uint32_t wp_staleness_start_wait_ms(const WPStaleness *f, bool first,
                                    bool reaches)
{
    double restart_ms = reaches ? START_WAIT_REACHES_MS : START_WAIT_MS;
    double ms = first ? START_WAIT_FIRST_MS : restart_ms;
    return (uint32_t)(ms * (1 + START_WAIT_JITTER * f->jitter));
}

bool wp_staleness_catch_up_due(const WPStaleness *f, WPTime now,
                               int64_t behind_ms)
{
    int64_t limit_us = fraction_us(f, BEHIND_FRACTION);
    return behind_ms * WP_US_PER_MS > limit_us &&
           now.mono_us - f->polled_us > limit_us;
}
