/* Soak test of endpoints that report a rate limit: the requests a second that
 * they accept from all boxes together. The seed (tests/soak-limit-cases.txt)
 * chooses whether one, two, a third or all of them do; whether the limit
 * changes, ends or is invalid; whether all callers use one entry; and whether
 * entries are killed in turn. Checked at the end: by the endpoints' run log,
 * none got more than allowed, limits are used, and an endpoint that no longer
 * reports a limit gets more than that again; by the callers' answers, they were
 * served while other endpoints had capacity. */
#ifndef SOAK_LIMIT_H
#define SOAK_LIMIT_H

#include "cluster.h"

typedef struct SoakLimit SoakLimit;

typedef struct SoakLimitOps {
    /* Kills and restarts the process of an entry. */
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakLimitOps;

/* The limits are set 1.5 s after the start; a change comes in the middle of
   `seconds`. */
SoakLimit *soak_limit_new(TestCluster *p, uint32_t seed, int seconds,
                          unsigned entries, unsigned replicas,
                          const SoakLimitOps *ops);

/* Whether all callers are to use the first entry. */
bool soak_limit_uses_one_entry(const SoakLimit *l);

/* Plays the changes and faults that are due. Call it several times a second. */
void soak_limit_tick(SoakLimit *l);

/* Ends the test and frees `l`. `sent` and `served` are the numbers of the
   callers' requests. Appends a line to `problems` for each violation. Returns a
   summary, to be freed with g_free(). */
char *soak_limit_end(SoakLimit *l, unsigned sent, unsigned served,
                     GString *problems);

#endif
