/* Declarations that wp_suspects.c, wp_suspects_gossip.c and wp_suspect_keys.c
 * share. */
#ifndef WP_SUSPECTS_INT_H
#define WP_SUSPECTS_INT_H

#include "wp_suspects.h"

enum {
    WP_SUSPECTS_RECENT_SLOTS = 1024, /* requests that have completed recently */
    WP_SUSPECTS_PART_SLOTS = 8192,   /* parts that were answered */
    WP_SUSPECTS_VERDICTS = 16,       /* that are not logged yet */
    WP_SUSPECTS_UNCONFIRMED = 256    /* answers that ended with connections */
};

/* For at most this long, another box is assumed to run a copy of a request,
   unless it sends a further update. */
#define WP_SUSPECT_IN_FLIGHT_MAX_US (1500 * WP_US_PER_MS)

/* A request that has completed at this box; monotonic time. */
typedef struct WPSuspectCompletion {
    uint64_t request;
    int64_t at_us;
} WPSuspectCompletion;

/* An incarnation of an endpoint that is presumed dead. */
typedef struct WPDeadIncarnation {
    uint64_t incarnation;
    int64_t at_us; /* since when, monotonic */
} WPDeadIncarnation;

/* Number of attempts of one request that are in flight from this box. */
typedef struct WPLocalAttempts {
    uint64_t request;
    unsigned n;
} WPLocalAttempts;

/* An answer that looks complete, but ended with its connection, as one does
   whose endpoint has crashed. */
typedef struct WPUnconfirmed {
    WPSuspectAttempt attempt; /* `request` is not used */
    int64_t at_us;            /* when it ended, monotonic; 0: free */
    int64_t asked_us;         /* when a request was last sent to the incarnation
                                 since, monotonic; 0: none was */
    unsigned n;
    uint64_t *keys; /* what it clears once the endpoint answers again */
} WPUnconfirmed;

struct WPSuspects {
    GHashTable *by_request; /* request -> WPSuspect */

    /* request -> WPLocalAttempts: all requests of this box, suspect or not.
       Copies that were sent before the first crash must count too: without them
       more endpoints crash. */
    GHashTable *local_attempts;

    GHashTable *dead; /* incarnation -> WPDeadIncarnation */
    uint64_t self;    /* hash of this box's id */

    /* Each at the request's hash modulo the size. */
    WPSuspectCompletion completions[WP_SUSPECTS_RECENT_SLOTS];
    WPSuspectCompletion part_completions[WP_SUSPECTS_PART_SLOTS];

    WPUnconfirmed unconfirmed[WP_SUSPECTS_UNCONFIRMED];
    unsigned next_unconfirmed; /* index that is overwritten next */
    int64_t unconfirmed_us;    /* when the latest was added; 0: none was */

    /* A ring: numbers of verdicts that were added and taken. */
    WPSuspectVerdict verdicts[WP_SUSPECTS_VERDICTS];
    unsigned verdicts_added, verdicts_taken;

    bool unsent; /* some record has changes that are still to be sent */
};

/* The request's record; added if it is missing. */
WPSuspect *wp_suspects_get_or_add(WPSuspects *s, uint64_t request);

/* Notes a change of the record, to be sent to the other boxes. `local`: this
   box made the change, otherwise it received it. */
void wp_suspects_mark_changed(WPSuspects *s, WPTime now, WPSuspect *p,
                              bool local);

/* The record's crash of this incarnation; NULL if it has none. */
WPSuspectCrash *wp_suspect_find_crash(WPSuspect *p, uint64_t incarnation);

/* Adds a copy of the crash to the record; in place of a cleared one, if the
   record is full. Returns the copy, which belongs to the record; NULL if the
   record has a crash of the same incarnation, or is full of crashes that are
   not cleared. */
WPSuspectCrash *wp_suspect_add_crash(WPSuspect *p, const WPSuspectCrash *c);

static inline bool wp_suspect_is_part(const WPSuspect *p)
{
    return wp_suspect_key_is_part(p->request);
}

/* Number of the record's crashes that are not cleared, weak ones included, and
   whether there are any. */
unsigned wp_suspect_uncleared(const WPSuspect *p);
bool wp_suspect_has_uncleared(const WPSuspect *p);

/* Whether the table has records. */
bool wp_suspects_any(const WPSuspects *s);

/* Whether the request has completed at this box, or one with the part at any
   box, within the last 5 s: it is then trusted not to crash endpoints. */
bool wp_suspects_is_trusted(WPSuspects *s, WPTime now, uint64_t request);

/* Whether a request with the part is known to have been answered. */
bool wp_suspects_was_answered(WPSuspects *s, uint64_t part);

/* Records a crash of the attempt for each of the keys; `attempt->request` is
   not used. Returns the number of crashes that count against the first. */
unsigned wp_suspects_record_crash_of_all(WPSuspects *s, WPTime now,
                                         const WPSuspectAttempt *attempt,
                                         const uint64_t *keys, unsigned n);

/* wp_suspect_answers.c. */

/* A crashed endpoint cannot answer for this long. One that answers within it
   had only lost a connection; later answers may come from its next incarnation,
   under the same id. */
#define WP_SUSPECTS_ALIVE_WITHIN_US (1000 * WP_US_PER_MS)

/* Answers that were in transit arrive up to this long after a crash. */
#define WP_SUSPECTS_IN_TRANSIT_US (100 * WP_US_PER_MS)

/* Whether an answer, to a request sent at `sent_us`, that comes now shows that
   its endpoint was alive after the time `at_us`, `within_us` ago at most. */
bool wp_suspects_shows_alive(WPTime now, int64_t at_us, int64_t sent_us,
                             int64_t within_us);

/* Counts answers of the incarnation that ended with their connections as
   complete, if an answer now to a request sent at `sent_us` shows that. */
void wp_suspects_confirm(WPSuspects *s, WPTime now, uint64_t incarnation,
                         int64_t sent_us);

void wp_suspects_free_unconfirmed(WPSuspects *s);

/* Counts answers of the incarnation that ended with their connections as lost:
   it has crashed, as was found by an attempt that was sent at `sent_us`, or now
   by other means. */
void wp_suspects_lose_unconfirmed(WPSuspects *s, WPTime now,
                                  uint64_t incarnation, int64_t sent_us);

/* When the request last completed at this box, monotonic; 0: unknown. */
int64_t wp_suspects_completed_us(WPSuspects *s, uint64_t request);

/* Whether the record has as many crashes as lead to quarantine. */
bool wp_suspects_is_quarantined(WPSuspects *s, WPTime now, const WPSuspect *p);

/* As wp_suspects_admit(). `others_quarantined`: other keys of the same request
   are quarantined too, so that a probe does not show which of them crashes
   endpoints. */
WPSuspectAdmission wp_suspects_admit_with(WPSuspects *s, WPTime now,
                                          uint64_t request, uint64_t version,
                                          bool others_quarantined);

/* Whether the record's number of probes in quarantine is not used up. */
bool wp_suspect_has_probes_left(const WPSuspect *p);

/* Whether a copy of the suspect is in flight, from this box or another one. */
bool wp_suspect_is_in_flight(const WPSuspects *s, const WPSuspect *p,
                             WPTime now);

/* Number of attempts of the request that are in flight from this box. */
unsigned wp_suspects_local_attempts(const WPSuspects *s, uint64_t request);

/* Since when the incarnation is presumed dead, in monotonic microseconds. If it
   was not until now, it is from `now` on, unless too many are already. */
int64_t wp_suspects_dead_since_us(WPSuspects *s, WPTime now,
                                  uint64_t incarnation);

#endif
