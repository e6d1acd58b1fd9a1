/* Requests that crash endpoints, within a soak: some callers send one again and
 * again, at any entry; each endpoint that begins to run it ends and is back
 * after some seconds. By the seed it is a call, one that may run once or a
 * stream that breaks after its first event; there are two of them; all entries
 * are killed meanwhile; the store is away. Afterwards, by what the endpoints
 * have noted: few ended, and hardly any more requests came after that; and by
 * what the other callers saw: they were served. */
#ifndef SOAK_CRASH_H
#define SOAK_CRASH_H

#include "path.h"

typedef struct SoakCrash SoakCrash;

typedef struct SoakCrashOps {
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakCrashOps;

SoakCrash *soak_crash_new(Path *p, uint32_t seed, unsigned entries,
                          unsigned replicas, const SoakCrashOps *ops);

/* To be called several times a second. */
void soak_crash_tick(SoakCrash *c);

/* Of the other requests so many were sent, and served. Appends what was broken,
   a line each, and frees all. Returns a text on what was seen, which is freed
   with g_free(). */
char *soak_crash_end(SoakCrash *c, unsigned sent, unsigned served,
                     GString *problems);

#endif
