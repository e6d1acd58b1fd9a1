/* Replication lag: for how long this box has lacked revisions of the store that
 * other boxes have. Where changes arrive all the time there is always a
 * revision that has not arrived yet, so the lag is the time for which the
 * oldest of them has been missing. */
#ifndef WP_LAG_H
#define WP_LAG_H

#include "wp_base.h"

enum {
    WP_LAG_MARKS_MAX = 32 /* revisions; later ones count with the last */
};

/* A revision that another box has and this one lacks. */
typedef struct WPLagMark {
    uint64_t revision;
    int64_t first_seen_us; /* when this box first learned of it */
} WPLagMark;

typedef struct WPLag {
    WPLagMark marks[WP_LAG_MARKS_MAX]; /* by ascending revision */
    unsigned n;
} WPLag;

/* Another box has all revisions up to `revision`. */
void wp_lag_record_remote(WPLag *l, WPTime now, uint64_t revision);

/* This box has all revisions up to `revision`. */
void wp_lag_record_local(WPLag *l, uint64_t revision);

/* The highest revision that is missing here; 0: none is. */
uint64_t wp_lag_highest_missing(const WPLag *l);

/* For how many milliseconds the oldest missing revision has been missing, 1 at
   least; 0: none is. */
int64_t wp_lag_ms(const WPLag *l, WPTime now);

/* For how many milliseconds a box that starts waits for the store's answer
   before it asks other boxes for a copy of all entries; `entries`: their
   number. */
uint32_t wp_lag_initial_pull_wait_ms(uint32_t entries);

#endif
