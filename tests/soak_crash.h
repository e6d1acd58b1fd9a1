/* Soak test of requests that crash endpoints. Some callers send such a request
 * again and again to random entries; each endpoint that begins to run it
 * crashes and is restarted after some seconds. The seed chooses whether it is a
 * call, a non-repeatable request or a stream that crashes the endpoint after
 * its first event; whether there are one or two such requests; whether all
 * entries are killed meanwhile; and whether the store is unavailable at the
 * start. Checked at the end: by the endpoints' run log, few endpoints crashed,
 * and hardly any such request was sent after that; by the other callers'
 * answers, they were served. */
#ifndef SOAK_CRASH_H
#define SOAK_CRASH_H

#include "cluster.h"

typedef struct SoakCrash SoakCrash;

typedef struct SoakCrashOps {
    /* Kills and restarts the process of an entry. */
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakCrashOps;

/* Starts the callers that send the crashing requests. */
SoakCrash *soak_crash_new(TestCluster *p, uint32_t seed, unsigned entries,
                          unsigned replicas, const SoakCrashOps *ops);

/* Restarts endpoints and plays the faults that are due. Call it several times a
   second. */
void soak_crash_tick(SoakCrash *c);

/* Ends the test and frees `c`. `sent` and `served` are the numbers of the other
   callers' requests. Appends a line to `problems` for each violation. Returns a
   summary, to be freed with g_free(). */
char *soak_crash_end(SoakCrash *c, unsigned sent, unsigned served,
                     GString *problems);

#endif
