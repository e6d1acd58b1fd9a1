/* The duty of reporting usage, which one box has at a time: who has it, which
 * windows are settled, and what may be sent when.
 *
 * The store keeps one record: the holder, a fence that rises whenever the
 * holder changes, and the counts of the windows that may not have been reported
 * yet. Each step is a write that holds only if nobody has written since:
 *
 * - A window's counts are settled in the record before they are first sent, so
 *   whoever reports it, after a crash or a lost answer, sends the same.
 * - The holder sends for half a lease from when its last write set out. Another
 *   box takes over a whole lease and a margin after it has seen the last write,
 *   or when the holder has given the duty up, and the store takes that only if
 *   there was none since. So no two boxes send
 *   at one time, and none sends under an older fence than was sent before. */
#ifndef WP_DUTY_H
#define WP_DUTY_H

#include "wire.pb-c.h"
#include "wp_usage.h"

typedef struct WPDutyRules {
    const char *box; /* this one's id; lives as long as the duty */
    uint32_t window_ms;
    uint32_t late_ms;  /* a report is due so long after its window's end */
    uint32_t lease_ms; /* holders that act in turn stay apart for this */
    double haste;      /* 0 to 1: in which order boxes take over */
    bool unsettled;    /* tests: counts are sent as they are at the time */
} WPDutyRules;

typedef struct WPDuty WPDuty;

WPDuty *wp_duty_new(const WPDutyRules *rules, const WPUsage *usage, WPTime now);
void wp_duty_free(WPDuty *d);

/* The store's record, at its revision; NULL: there is none. Older ones than
   known change nothing. One that cannot be read (`unreadable`) bars all reports
   until an operator removes it: its fence is not known. */
void wp_duty_record(WPDuty *d, WPTime now, uint64_t revision,
                    const Wp__DutyRecord *r, bool unreadable);

/* Whether this box is to have the duty. */
typedef enum WPDutyFit {
    WP_DUTY_MAY,    /* it has the other boxes' counts, and the store answers */
    WP_DUTY_CANNOT, /* the store does not answer */
    WP_DUTY_YIELDS  /* it stops, or the others' counts go elsewhere: a duty that
                       it has is given up, so that another one need not wait */
} WPDutyFit;

typedef enum WPDutyKind {
    WP_DUTY_REST,  /* nothing to do at present */
    WP_DUTY_WRITE, /* `record`, if the store's is still at `revision` */
    WP_DUTY_SEND   /* `report` under `fence`, at once or not at all */
} WPDutyKind;

typedef struct WPDutyAct {
    WPDutyKind kind;
    const char *why; /* takes over, settles, renews, gives up */
    /* Live until the next call. */
    const Wp__DutyRecord *record;
    uint64_t revision;
    const Wp__SettledUsage *report;
    uint64_t fence;
} WPDutyAct;

/* The next step. A write or a report is under way until wp_duty_written() or
   wp_duty_sent(). */
void wp_duty_next(WPDuty *d, WPTime now, WPDutyFit fit, WPDutyAct *out);

/* The write's end. Without an answer it may still be done. */
void wp_duty_written(WPDuty *d, WPTime now, bool done, uint64_t revision);

/* The report's end: whether it was taken. */
void wp_duty_sent(WPDuty *d, WPTime now, bool taken);

/* Whether this process has the duty, by what it knows. */
bool wp_duty_is_mine(const WPDuty *d);
uint64_t wp_duty_fence(const WPDuty *d);

/* Why nothing is reported; NULL: no reason is known. */
const char *wp_duty_problem(const WPDuty *d, WPTime now);

/* Windows that came to nothing while this process had the duty. */
uint64_t wp_duty_missed(const WPDuty *d);

#endif
