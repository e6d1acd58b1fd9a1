/* Soak test of the retry budget: all endpoints refuse or fail most requests
 * while entries are killed, frozen or stopped in series. The seed
 * (tests/soak-retry-cases.txt) chooses how. Checked at the end, by the
 * endpoints' run log: all entries together keep to the budget in every
 * window. */
#ifndef SOAK_RETRY_H
#define SOAK_RETRY_H

#include "cluster.h"

typedef struct SoakRetry SoakRetry;

typedef struct SoakRetryOps {
    /* Kills and restarts the process of an entry. */
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakRetryOps;

/* The faults begin 1.5 s after the start and end 1 s before `seconds`. */
SoakRetry *soak_retry_new(TestCluster *p, uint32_t seed, int seconds,
                          unsigned entries, unsigned replicas,
                          const SoakRetryOps *ops);

/* Plays the faults that are due. Call it several times a second. */
void soak_retry_tick(SoakRetry *s);

/* Ends the test and frees `s`. `sent_ms` (int64_t): when each request for a
   route was sent, by the monotonic clock. Appends a line to `problems` if the
   budget was exceeded. Returns a summary, to be freed with g_free(). */
char *soak_retry_end(SoakRetry *s, GArray *sent_ms, GString *problems);

#endif
