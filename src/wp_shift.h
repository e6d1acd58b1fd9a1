/* Moving a service's requests to another version of its endpoints: which
 * version each request may go to while the move runs, whether the new version
 * is bad, and when the move may be called done.
 *
 * The stages follow from the order and from how long ago its record was
 * written, which boxes tell each other and the store keeps (wp_elapsed.h); so
 * every box computes nearly the same share, also after a restart. What ends a
 * move is written to the store by compare-and-swap, and one outcome holds. */
#ifndef WP_SHIFT_H
#define WP_SHIFT_H

#include "settings.pb-c.h"
#include "wp_elapsed.h"
#include "wp_trial.h"

typedef enum WPShiftState {
    WP_SHIFT_RUNNING,
    WP_SHIFT_DONE,  /* the old endpoints stop at once */
    WP_SHIFT_UNDONE /* the new version takes nothing any more */
} WPShiftState;

/* An operator's order. */
typedef struct WPShiftOrder {
    const char *service, *version;
    uint32_t duration_ms;
    uint64_t revision; /* in the store; a later order replaces an earlier */
} WPShiftOrder;

typedef struct WPShift {
    char *service, *version;
    uint64_t revision;
    WPShiftState state;
    int64_t duration_ms;
    WPElapsed elapsed; /* since its record was written */
    WPTrial trial;
    GHashTable *undone; /* versions of earlier orders that were bad */
    char *base;   /* version that an earlier move was done to, the one to be
                     replaced; NULL: not known */
    bool suspect; /* found bad: takes nothing any more */
    bool open;    /* the gate of a stage has been passed */
    const char *stage;      /* its name at the last look; the chart's */
    uint32_t old_running;   /* requests of this box on other versions */
    int64_t looked_us;      /* when this box last looked at the move */
    int64_t watched_us;     /* since when it has without a pause */
    int64_t stage_us;       /* the same, at this stage */
    const char *waits;      /* why the next stage waits; NULL: it does not */
    const char *told_waits; /* the same, as the log tells it */
} WPShift;

typedef struct WPShifts WPShifts;

/* The chart gives the stages and must live as long. */
WPShifts *wp_shifts_new(const Wp__Chart *chart);
void wp_shifts_free(WPShifts *s);

/* Takes an order; NULL when it is known already. */
WPShift *wp_shifts_order(WPShifts *s, WPTime now, const WPShiftOrder *o);

/* Takes the store's word on how a move ended; `o` has the revision of that
   record. One that is older than the order is of an order before it. */
void wp_shifts_outcome(WPShifts *s, const WPShiftOrder *o, WPShiftState state);

/* Whether this box is one that takes no requests, as it stops: it sees nothing
   of a stage, and neither opens gates nor ends moves. Three that were stopped
   in turn let a last stage pass in which none of them had a request. */
void wp_shifts_set_draining(WPShifts *s, bool draining);

WPShift *wp_shifts_find(WPShifts *s, const char *service);
void wp_shifts_each(WPShifts *s, void (*fn)(void *arg, WPShift *sh), void *arg);

/* An endpoint of this version is listed. `starting`: this box is still being
   told what there is; what it finds then serves. Later a version that no order
   has named is passed over while there are others: its endpoints may be known
   before the order for them, by a box that the store has stopped answering in
   between, and would get an equal share. */
void wp_shifts_listed(WPShifts *s, const char *service, const char *version,
                      bool starting);

/* Whether some move that was done has left this version. */
bool wp_shifts_have_left(const WPShifts *s, const char *version);

/* Whether a version of the service may take requests. */
bool wp_shifts_allow(const WPShifts *s, const char *service,
                     const char *version);

/* Whether some move is in its first half. */
bool wp_shifts_first_half(const WPShifts *s, WPTime now);

/* Whether some move runs that has not yet reached all sessions. */
bool wp_shifts_partial(const WPShifts *s, WPTime now);

/* Whether some running move leads to this version. */
bool wp_shifts_is_target(const WPShifts *s, const char *version);

/* Whether an earlier move was done away from this version: its endpoints have
   stopped or are about to. */
bool wp_shift_has_left(const WPShift *sh, const char *version);

/* Whether a version may take requests beside or after this move. */
bool wp_shift_allows(const WPShift *sh, const char *version);

/* Whether a request is to go to the new version. `unit` in [0, 1) is the same
   for all requests of a session; `last` is the version that served the
   session before, NULL when this box knows of none. */
bool wp_shift_takes(const WPShifts *s, const WPShift *sh, WPTime now,
                    double unit, const char *last);

/* The record of the move has been in the store for at least so long. Before
   that nothing goes to the new version. */
void wp_shift_hear_elapsed(WPShift *sh, WPTime now, int64_t ms);

/* How one request ended at an endpoint. */
void wp_shift_answered(WPShift *sh, const WPShiftAnswer *a);

/* What this box knows of the move, for the log; free with g_free(). */
char *wp_shift_figures(const WPShift *sh, WPTime now);

/* Another box finds the version bad: that holds here as well, whatever this
   one has seen itself. Guards against a box that was cut off from the others
   and ends the move on what it knows. */
void wp_shift_hear_bad(WPShift *sh);

/* Another box has passed the gate before the last stage. */
void wp_shift_hear_open(WPShift *sh);

/* Whether the move is in its first half, in which sessions stay on the old
   version. */
bool wp_shift_first_half(const WPShift *sh, WPTime now);

/* The stage at this time. */
const Wp__ChartState *wp_shift_stage(const WPShifts *s, const WPShift *sh,
                                     WPTime now);

/* Looks at the move, several times a second: passes the gate of the next stage
   when its time has come and the answers are good. Returns true when the stage
   is another one than at the last call; `why` then gives the figures and is
   freed with g_free(). */
bool wp_shift_advance(const WPShifts *s, WPShift *sh, WPTime now, char **why);

/* The state that the move is to be given now; RUNNING: none. The end cannot be
   taken back, so it wants good answers, or to have looked on without a pause
   for as long as all stages take. */
WPShiftState wp_shift_due(const WPShifts *s, WPShift *sh, WPTime now,
                          char **why);

const char *wp_shift_state_name(WPShiftState s);

#endif
