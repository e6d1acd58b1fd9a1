/* A move between versions within a soak: one order for a version that is good
 * or bad in one of several ways, steps of entries' time of day and losses of
 * all entries at once, and afterwards the rules of roll-outs by what the
 * endpoints have noted. */
#ifndef SOAK_MOVE_H
#define SOAK_MOVE_H

#include "path.h"

typedef struct SoakMove SoakMove;

typedef struct SoakMoveOps {
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakMoveOps;

/* Of a site that was made with path_new_clocks(). The order is given after the
   first second of `seconds` and lasts to the second before their end; at its
   end the old endpoints are stopped. */
SoakMove *soak_move_new(Path *p, uint32_t seed, int seconds, unsigned entries,
                        unsigned replicas, const SoakMoveOps *ops);

/* To be called several times a second. */
void soak_move_tick(SoakMove *m);

/* Appends what was broken, a line each; then all is freed. Returns a text on
   the move, which is freed with g_free(). */
char *soak_move_end(SoakMove *m, GString *problems);

#endif
