/* Traffic shifts: an operator orders that a service's requests move to another
 * version of its endpoints. A shift decides which version each request may go
 * to while it runs, whether the new version is bad, and when the shift is done.
 *
 * The stages follow from the order's duration and from the time since the
 * order's record was written, which boxes send each other and keep in the store
 * (wp_elapsed.h). So every box computes nearly the same share of requests for
 * the new version, also after a restart. The outcome is written to the store by
 * compare-and-swap, so there is only one. */
#ifndef WP_SHIFT_H
#define WP_SHIFT_H

#include "settings.pb-c.h"
#include "wp_elapsed.h"
#include "wp_canary.h"
#include "wp_exposure.h"

typedef enum WPShiftState {
    WP_SHIFT_RUNNING,
    WP_SHIFT_DONE,       /* the endpoints of the old version stop at once */
    WP_SHIFT_ROLLED_BACK /* the new version gets no more requests */
} WPShiftState;

/* An operator's order. */
typedef struct WPShiftOrder {
    const char *service, *version; /* `version`: the new one */
    uint32_t duration_ms;
    uint64_t revision; /* of its entry in the store; a service's order with a
                          higher revision replaces the one before */
} WPShiftOrder;

/* The shift that a service's latest order asks for. Times that end in _us are
   of this process's monotonic clock. */
typedef struct WPShift {
    char *service, *version; /* `version`: the new one */
    uint64_t revision;       /* of the order */
    WPShiftState state;
    int64_t duration_ms;
    WPElapsed elapsed; /* since the order's record was written */
    WPCanary canary;   /* the new version's answers against the old one's */

    /* Set of the versions of earlier orders that were found bad. */
    GHashTable *reverted_versions;

    /* The version to which the latest completed shift before this one led,
       which is the one to be replaced; NULL: not known. */
    char *baseline_version;

    bool renumbered; /* the order has another revision than the records of the
                        shift in the store know */
    bool found_bad;  /* the new version is bad and gets no more requests */
    /* Boxes that told last that what they know speaks against the new version:
       id -> when, an int64_t in microseconds of the monotonic clock. */
    GHashTable *doubts;
    /* Share of sessions that the canary gets, if it is above the chart's; it
       never falls. */
    double canary_share;
    int64_t widened_us;   /* when this box last looked whether it may rise */
    bool gate_passed;     /* the gate before the last stage has been passed */
    unsigned part;        /* of the time since the order, at the last poll
                             (WP_FAILURE_TIMES) */
    const char *stage;    /* name of the stage at the last poll; the chart's */
    uint32_t old_running; /* this box's requests in flight on other versions */
    int64_t polled_us;    /* time of the last poll */

    /* Since when this box has polled without a pause: at all, and in the
       present stage. */
    int64_t observed_since_us;
    int64_t stage_observed_since_us;

    /* Why the gate of the next stage is closed although its time has come, and
       the same as last logged; NULL: it is not. */
    const char *wait_reason;
    const char *logged_wait_reason;
} WPShift;

typedef struct WPShifts WPShifts;

/* All shifts that a box knows, one a service. `chart` defines the stages and
   must outlive the result. */
WPShifts *wp_shifts_new(const Wp__Chart *chart);
void wp_shifts_free(WPShifts *s);

/* Starts the shift of an order, in place of the service's earlier one. Returns
   NULL if this order, or a later one for the service, is known already. In
   another era of the store these are the order of the running shift, written
   again, and an earlier one that led to a version which has ended since. */
WPShift *wp_shifts_add_order(WPShifts *s, WPTime now, const WPShiftOrder *o);

/* The service's order has another revision, after a restore of the store, and
   is the same. */
void wp_shifts_renumber(WPShifts *s, const WPShiftOrder *o);

/* Names the order in messages and records: the store's number of its entry. */
uint64_t wp_shift_order_id(const WPShift *sh);

/* Takes the state of a shift from its outcome record in the store. `o` names
   the service and the version and has the record's own revision. A record with
   a lower revision than the order's belongs to an earlier order and is
   ignored. */
void wp_shifts_apply_outcome(WPShifts *s, const WPShiftOrder *o,
                             WPShiftState state);

/* Sets whether this box is draining. A draining box takes no requests and so
   observes nothing of a stage: it neither passes gates nor completes shifts.
   Guards against a last stage that passes unobserved: three boxes that were
   stopped in turn completed one in which none of them had a request. */
void wp_shifts_set_draining(WPShifts *s, bool draining);

/* Sets what a new version may get before it is known to be good. */
void wp_shifts_set_exposure(WPShifts *s, const WPExposureLimit *limit);

/* The service's shift; NULL if no order for it is known. */
WPShift *wp_shifts_find(WPShifts *s, const char *service);

/* Calls `fn` for each shift, also for those that have ended. */
void wp_shifts_each(WPShifts *s, void (*fn)(void *arg, WPShift *sh), void *arg);

/* Notes that an endpoint of this version is registered. `starting`: this box is
   still reading the registry's initial content; the versions found then may
   serve. A version that is registered later gets no requests before an order
   names it, while there are others. Otherwise it would get an equal share of
   them at a box that learns of its endpoints and then loses the store before it
   learns of the order. */
void wp_shifts_note_registered(WPShifts *s, const char *service,
                               const char *version, bool starting);

/* Whether the service's requests may go to this version. */
bool wp_shifts_allows(const WPShifts *s, const char *service,
                      const char *version);

/* Whether some running shift is in its first half. */
bool wp_shifts_any_first_half(const WPShifts *s, WPTime now);

/* Whether some running shift does not give the new version all sessions yet. */
bool wp_shifts_any_partial(const WPShifts *s, WPTime now);

/* Whether a shift that was completed before this one replaced the version: its
   endpoints have stopped or are about to. */
bool wp_shift_has_retired(const WPShift *sh, const char *version);

/* The same, or this shift itself was completed away from the version. */
bool wp_shift_has_replaced(const WPShift *sh, const char *version);

/* Whether requests may go to the version, in the shift's present state: never
   to a version that is retired (wp_shift_has_retired()) or was rolled back
   before; while the shift runs, to any other; to the new version alone once the
   shift is done; and to any but the new one after a roll-back, or once the new
   one is found bad. */
bool wp_shift_allows(const WPShift *sh, const char *version);

/* Whether a request is to go to the new version. Once the shift has ended, that
   is whether it was completed. While it runs, `unit` in [0, 1), which is the
   same for all requests of a session, is compared with wp_shift_share().
   `last` is the version that served the session before; NULL if this box knows
   none. A session stays on the new version, and during the first half also on
   the old one, whatever its `unit`. */
bool wp_shift_routes_to_new(const WPShifts *s, const WPShift *sh, WPTime now,
                            double unit, const char *last);

/* Takes a lower bound: the order's record has been in the store for at least
   `ms` milliseconds. Before the first call no request goes to the new
   version. */
void wp_shift_merge_elapsed(WPShift *sh, WPTime now, int64_t ms);

/* Records how one request ended at an endpoint, of either version. */
void wp_shift_record_answer(WPShift *sh, const WPCanaryAnswer *a);

/* Records how long an answer of either version took: see
   wp_canary_record_speed(). */
void wp_shift_record_speed(WPShift *sh, const char *version,
                           const char *replica, double ratio);

/* The counts of the shift that this box knows, as text for the log. Free with
   g_free(). */
char *wp_shift_stats_text(const WPShift *sh, WPTime now);

/* Merges another box's finding that the new version is bad, whatever this box
   has observed itself. Guards against a box that was cut off from the others
   and completes the shift on what it alone knows. */
void wp_shift_merge_bad(WPShift *sh);

/* Merges whether what another box knows speaks against the new version. While
   it does, the shift neither goes on to the last stage nor is completed. */
void wp_shift_merge_doubt(WPShift *sh, WPTime now, const char *box, bool doubt);

/* Merges the share of requests that the canary gets at another box. */
void wp_shift_merge_canary_share(WPShift *sh, double share);

/* Merges that another box has passed the gate before the last stage. */
void wp_shift_merge_gate_passed(WPShift *sh);

/* Whether the shift is in its first half, in which sessions stay on the old
   version. */
bool wp_shift_first_half(const WPShift *sh, WPTime now);

/* The stage of the shift at `now`. */
const Wp__ChartState *wp_shift_stage(const WPShifts *s, const WPShift *sh,
                                     WPTime now);

/* Raises the canary's share as far as what the new version may get allows it;
   to be called several times a second. `boxes`: the number of boxes that serve,
   with this one; the share stays where the counts of some are not known.
   Returns whether it has risen. */
bool wp_shift_widen_canary(const WPShifts *s, WPShift *sh, WPTime now,
                           unsigned boxes);

/* The share of sessions that the new version gets at `now`. */
double wp_shift_share(const WPShifts *s, const WPShift *sh, WPTime now);

/* Polls the shift; to be called several times a second. Passes the gate of the
   next stage if its time has come and the answers are good. Returns whether the
   stage has changed since the last call; `*why` is then set to the statistics
   that led to it, and is freed with g_free(). */
bool wp_shift_advance(const WPShifts *s, WPShift *sh, WPTime now, char **why);

/* The state that the shift is to be given now; WP_SHIFT_RUNNING: it goes on.
   Completing a shift cannot be undone. So it takes enough good answers, or that
   this box has observed the shift without a pause for as long as all stages
   take. Unless `why` is NULL, it is set to the reason, freed with g_free(),
   when the state is another one. */
WPShiftState wp_shift_due_state(const WPShifts *s, WPShift *sh, WPTime now,
                                char **why);

/* The state's name in the log. */
const char *wp_shift_state_name(WPShiftState s);

#endif
