/* Decides when a box polls the store because its own copy may be stale. All
 * limits are fractions of `apply_ms`, the time within which a change must be in
 * force everywhere. That time is kept even if every box that watches the store
 * has stopped receiving changes without noticing it: the first box whose limit
 * is reached polls the store and informs the others. */
#ifndef WP_STALENESS_H
#define WP_STALENESS_H

#include "wp_base.h"

typedef struct WPStaleness {
    uint32_t apply_ms;    /* a change must be in force everywhere within this */
    double jitter;        /* in [0, 1); spreads the polls of the boxes */
    int64_t confirmed_us; /* when the store last answered a box, as far as is
                             known */
    int64_t polled_us;    /* when this box last polled the store */
    /* The local copy had every change of the store at this time; 0: there is no
       complete copy yet. */
    int64_t synced_us;
    /* Another box had every change up to `pending_revision` at `pending_us`.
       The local copy lacks some of these; `pending_revision` is 0 if it lacks
       none. */
    uint64_t pending_revision;
    int64_t pending_us;
} WPStaleness;

/* Records that the store answered this box or another one at `at_us`
   (monotonic). A time before the one on record is ignored. */
void wp_staleness_confirm(WPStaleness *f, int64_t at_us);

/* Returns when the store last answered a box (monotonic), from the age `age_ms`
   in a message that another box has sent and that arrives now. The time that
   the message took is added to the age. */
int64_t wp_staleness_peer_confirmed_us(WPTime now, uint32_t age_ms);

/* Records that a box, this one or another, had every change of the store at
   `at_us`, up to `complete_revision`. The local copy has every change up to
   `local_revision`. */
void wp_staleness_note_synced(WPStaleness *f, uint64_t complete_revision,
                              uint64_t local_revision, int64_t at_us);

/* Returns the staleness of the local copy in milliseconds: it contains every
   change that is older than this. -1 if there is no complete copy. */
int64_t wp_staleness_ms(const WPStaleness *f, WPTime now);

/* Records that this box polls the store now. */
void wp_staleness_note_poll(WPStaleness *f, WPTime now);

/* Returns whether this box must poll the store now because no box has had an
   answer for too long. `rank` boxes of its zone poll before it. */
bool wp_staleness_poll_due(const WPStaleness *f, WPTime now, unsigned rank);

/* Returns whether this box must poll the store now because other boxes have had
   newer revisions for `behind_ms` and have not sent them. */
bool wp_staleness_catch_up_due(const WPStaleness *f, WPTime now,
                               int64_t behind_ms);

/* Returns the back-off in milliseconds before the store is called again.
   `failures` is the number of consecutive failed calls before the last one. */
uint32_t wp_staleness_backoff_ms(const WPStaleness *f, unsigned failures);

/* Returns how many milliseconds a starting box waits for other boxes to send it
   a full copy before it reads the store. `first`: the whole system starts for
   the first time, and no callers are waiting yet. `reaches`: this box is linked
   to a box that can possibly read the store. */
uint32_t wp_staleness_start_wait_ms(const WPStaleness *f, bool first,
                                    bool reaches);

/* Returns the age in milliseconds of the store's last answer at which the box
   of this rank polls the store. */
uint32_t wp_staleness_limit_ms(const WPStaleness *f, unsigned rank);

#endif
