/* Measures how long it takes until a revoked key is refused at each entry, from
 * the later of the write of that change and the store's return. The seed
 * chooses what happens beside it (cases in soak_change.c). Checked: the bound
 * on changes. */
#ifndef SOAK_CHANGE_H
#define SOAK_CHANGE_H

#include "cluster.h"

typedef struct SoakChange SoakChange;

typedef struct SoakChangeOps {
    /* Kills and restarts the process of an entry. */
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakChangeOps;

SoakChange *soak_change_new(TestCluster *p, uint32_t seed, unsigned entries,
                            const SoakChangeOps *ops);

/* Plays one change and waits until it is in force. */
void soak_change_tick(SoakChange *s, GString *problems);

/* Ends the measurement and frees `s`. Returns a summary, to be freed with
   g_free(). */
char *soak_change_end(SoakChange *s);

#endif
