/* Moving a service's requests to another version of its endpoints: which
 * version each request may go to while the move runs, whether the new version
 * is bad, and when the move may be called done.
 *
 * The stages follow from the order and the time when it was first seen, which
 * the store keeps; so every box computes the same share, also after a
 * restart. What ends a move is written to the store by compare-and-swap, and
 * one outcome holds. */
#ifndef WP_SHIFT_H
#define WP_SHIFT_H

#include "settings.pb-c.h"
#include "wp_verdict.h"

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
    int64_t began_ms; /* wall time; 0: not yet known */
    int64_t known_us; /* since when this box knows of the order */
    int64_t duration_ms;
    GHashTable *fresh, *old; /* route -> WPShiftSums, of this box */
    GHashTable *replicas;    /* id -> WPShiftSums, of the new version */
    GHashTable *heard;       /* box -> WPShiftSums, of the new version */
    WPShiftSums lost;        /* heard of boxes that have started again since */
    GHashTable *heard_old;   /* box -> its requests on other versions */
    GHashTable *loaded;      /* replica -> WPShiftSums under load */
    GHashTable *undone;      /* versions of earlier orders that were bad */
    bool suspect;            /* found bad: takes nothing any more */
    bool open;               /* the gate of a stage has been passed */
    const char *stage;       /* its name at the last look; the chart's */
    uint32_t old_running;    /* requests of this box on other versions */
} WPShift;

typedef struct WPShifts WPShifts;

/* The chart gives the stages and must live as long. */
WPShifts *wp_shifts_new(const Wp__Chart *chart);
void wp_shifts_free(WPShifts *s);

/* Takes an order; NULL when it is known already. */
WPShift *wp_shifts_order(WPShifts *s, WPTime now, const WPShiftOrder *o);

/* Takes the store's word on how a move ended. */
void wp_shifts_outcome(WPShifts *s, const char *service, const char *version,
                       WPShiftState state);

WPShift *wp_shifts_find(WPShifts *s, const char *service);
void wp_shifts_each(WPShifts *s, void (*fn)(void *arg, WPShift *sh), void *arg);

/* Whether some move is in its first half. */
bool wp_shifts_first_half(const WPShifts *s, WPTime now);

/* Whether some move runs that has not yet reached all sessions. */
bool wp_shifts_partial(const WPShifts *s, WPTime now);

/* Whether some running move leads to this version. */
bool wp_shifts_is_target(const WPShifts *s, const char *version);

/* Whether a version may take requests at all. NULL allows every version. */
bool wp_shift_allows(const WPShift *sh, const char *version);

/* Whether a request is to go to the new version. `unit` in [0, 1) is the same
   for all requests of a session; `last` is the version that served the
   session before, NULL when this box knows of none. */
bool wp_shift_takes(const WPShifts *s, const WPShift *sh, WPTime now,
                    double unit, const char *last);

/* How one request ended at an endpoint. */
void wp_shift_answered(WPShift *sh, const WPShiftAnswer *a);

/* An answer of the new version came from a replica that was half full. */
void wp_shift_loaded(WPShift *sh, const char *replica, bool failed);

/* What this box knows of the move, for the log; free with g_free(). */
char *wp_shift_figures(const WPShift *sh, WPTime now);

/* The new version's sums at this box, and those of another box. */
WPShiftSums wp_shift_own(const WPShift *sh);
void wp_shift_hear(WPShift *sh, const char *box, WPShiftSums sums,
                   uint32_t old_running);

/* Another box finds the version bad: that holds here as well, whatever this one
   has seen itself. Guards against a box that was cut off from the others and
   ends the move on what it knows: 418 requests went to a bad version. */
void wp_shift_hear_bad(WPShift *sh);

/* Another box has passed the gate before the last stage. */
void wp_shift_hear_open(WPShift *sh);

/* Whether the answers so far show that the new version is bad; `why`, when it
   is, gives the figures and is freed with g_free(). `beside`: the old version
   serves as well, so that times can be compared. */
bool wp_shift_is_bad(const WPShift *sh, bool beside, char **why);

/* Whether the move is in its first half, in which sessions stay on the old
   version. */
bool wp_shift_first_half(const WPShift *sh, WPTime now);

/* The stage at this time. */
const Wp__ChartState *wp_shift_stage(const WPShifts *s, const WPShift *sh,
                                     WPTime now);

/* Whether the answers so far speak rather for a slow version than for a good
   one, or are too few to speak where there could be more. */
bool wp_shift_is_doubtful(const WPShift *sh);

/* Passes the gate of the next stage when its time has come and there is no
   doubt. Returns true when the stage is another one than at the last call;
   `why` then gives the figures and is freed with g_free(). */
bool wp_shift_advance(const WPShifts *s, WPShift *sh, WPTime now, char **why);

/* The state that the move is to be given now; RUNNING: none. */
WPShiftState wp_shift_due(const WPShifts *s, const WPShift *sh, WPTime now,
                          char **why);

const char *wp_shift_state_name(WPShiftState s);

#endif
