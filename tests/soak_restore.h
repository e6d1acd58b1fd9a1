/* Soak test of a store that comes back from older copies, in series, while keys
 * are revoked and added, entries are killed, and some of them are cut off from
 * the store. The seed (tests/soak-restore-cases.txt) chooses how. Checked while
 * it runs: a revoked key is refused, and a new one accepted, at each entry
 * within the bound on changes from the later of its write and the entry's
 * contact with the store. */
#ifndef SOAK_RESTORE_H
#define SOAK_RESTORE_H

#include "cluster.h"

typedef struct SoakRestore SoakRestore;

typedef struct SoakRestoreOps {
    /* Kills and restarts the process of an entry. */
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakRestoreOps;

SoakRestore *soak_restore_new(TestCluster *p, uint32_t seed, int seconds,
                              unsigned entries, const SoakRestoreOps *ops);

/* Plays what is due, and checks. Call it several times a second. */
void soak_restore_tick(SoakRestore *s, GString *problems);

/* Ends the test and frees `s`. `sent` and `served` are the numbers of the
   callers' requests. Appends a line to `problems` for each violation. Returns a
   summary, to be freed with g_free(). */
char *soak_restore_end(SoakRestore *s, unsigned sent, unsigned served,
                       GString *problems);

#endif
