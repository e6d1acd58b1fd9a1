/* The lease of usage reporting, which one box holds at a time: who holds it,
 * which windows are settled, and what may be sent when.
 *
 * The store keeps one record (DutyRecord): the holder, a fencing token that
 * rises whenever the holder changes, and the counts of the windows that may not
 * have been reported yet. Each step is a conditional write: it takes effect
 * only if the record has not changed since it was read.
 *
 * - A window's counts are settled, that is fixed in the record, before they are
 *   first sent. So each box that reports the window, after a crash or a lost
 *   answer, sends the same counts.
 * - The holder may send for half a lease from when it sent its last write.
 *   Another box takes over a whole lease and a margin after it has seen the
 *   last write, or when the holder has given the lease up, and the store
 *   accepts that only if nothing was written in between. So no two boxes send
 *   at the same time, and none sends with an older fencing token than one that
 *   was sent before. */
#ifndef WP_REPORT_LEASE_H
#define WP_REPORT_LEASE_H

#include "wire.pb-c.h"
#include "wp_usage.h"

typedef struct WPReportLeaseRules {
    const char *box; /* id of this box; must outlive the WPReportLease */
    uint32_t window_ms;
    /* a report must arrive within this time after its window's end */
    uint32_t report_deadline_ms;
    uint32_t lease_ms; /* also the shortest time between reports of two boxes */
    double jitter;     /* 0 to 1: delays this box's takeover against others' */
    /* tests: sends counts as known at the time, not the settled ones */
    bool send_unsettled;
} WPReportLeaseRules;

/* The state of the lease as known to this box. */
typedef struct WPReportLease WPReportLease;

/* `usage` is where the counts come from; it must outlive the lease. */
WPReportLease *wp_report_lease_new(const WPReportLeaseRules *rules,
                                   const WPUsage *usage, WPTime now);
void wp_report_lease_free(WPReportLease *d);

/* Takes in the store's record of this revision; NULL: there is none. A revision
   that is not newer than the known one changes nothing. A record that is behind
   the known one, as a restored store has it, is only to be replaced.
   `unreadable`: it cannot be decoded; nothing is reported then until an
   operator removes it, because its fencing token is not known. */
void wp_report_lease_observe(WPReportLease *d, WPTime now, uint64_t revision,
                             const Wp__DutyRecord *r, bool unreadable);

/* The known record has this revision in the store now; 0: the store has lost
   it. */
void wp_report_lease_renumber(WPReportLease *d, uint64_t revision);

/* Whether this box may hold the lease. */
typedef enum WPReportEligibility {
    WP_REPORT_ELIGIBLE,   /* it receives the other boxes' counts, and the store
                             answers */
    WP_REPORT_STORE_DOWN, /* the store does not answer */
    /* it is draining, or the others' counts go to another box: it gives up a
       lease that it holds, so that another box need not wait for its end */
    WP_REPORT_YIELD
} WPReportEligibility;

typedef enum WPReportActionKind {
    WP_REPORT_IDLE,  /* nothing to do at present */
    WP_REPORT_WRITE, /* write `record` if the store's is still at `revision` */
    WP_REPORT_SEND   /* send `report` with the token `fence`, at once or not at
                        all */
} WPReportActionKind;

typedef struct WPReportAction {
    WPReportActionKind kind;
    /* of a write: "takes over", "settles", "renews" or "gives up" */
    const char *reason;
    /* Valid until the next call. */
    const Wp__DutyRecord *record;
    uint64_t revision;
    const Wp__SettledUsage *report;
    uint64_t fence;
} WPReportAction;

/* Decides on the next step. After a write or a report there is none until
   wp_report_lease_written() or wp_report_lease_sent() is called. */
void wp_report_lease_next(WPReportLease *d, WPTime now,
                          WPReportEligibility eligibility, WPReportAction *out);

/* The write has ended; `done`: it took effect, and the record is at `revision`.
   If the store has not answered, `done` is false, and the write may still take
   effect. */
void wp_report_lease_written(WPReportLease *d, WPTime now, bool done,
                             uint64_t revision);

/* The report has ended; `accepted`: the receiver has accepted it. */
void wp_report_lease_sent(WPReportLease *d, WPTime now, bool accepted);

/* Whether this process holds the lease, as far as it knows. */
bool wp_report_lease_is_held(const WPReportLease *d);

/* The fencing token in the record; 0: no record is known. */
uint64_t wp_report_lease_fence(const WPReportLease *d);

/* Why nothing is reported, for the log; NULL: no reason is known. */
const char *wp_report_lease_problem(const WPReportLease *d, WPTime now);

/* Windows that were not reported while this process held the lease. */
uint64_t wp_report_lease_missed(const WPReportLease *d);

#endif
