/* Soak test of a shift between versions: one order to shift to a version that
 * is good or fails in one of several ways, while entries' wall clocks step and
 * all entries are restarted at once. Checked at the end, by the endpoints' run
 * log: a bad version gets few requests, is rolled back in time, and no shift to
 * it is completed. */
#ifndef SOAK_SHIFT_H
#define SOAK_SHIFT_H

#include "cluster.h"

typedef struct SoakShift SoakShift;

typedef struct SoakShiftOps {
    /* Kills and restarts the process of an entry. */
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakShiftOps;

/* `p` was made by cluster_new_with_clocks(). The order is given after the first
   second of `seconds` and its duration ends one second before their end. When
   the shift is completed, the endpoints of the old version are removed. */
SoakShift *soak_shift_new(TestCluster *p, uint32_t seed, int seconds,
                          unsigned entries, unsigned replicas,
                          const SoakShiftOps *ops);

/* Plays the events that are due. Call it several times a second. */
void soak_shift_tick(SoakShift *m);

/* Ends the test and frees `m`. Appends a line to `problems` for each violation.
   Returns a summary of the shift, to be freed with g_free(). */
char *soak_shift_end(SoakShift *m, GString *problems);

#endif
