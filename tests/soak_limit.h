/* Endpoints that name the requests a second that they take from all boxes
 * together, within a soak. By the seed (tests/soak-limit-cases.txt) it is one,
 * two, a third or all of them, the limit changes, ends or is none, all callers
 * come to one entry, entries are killed in turn. Afterwards, by what the
 * endpoints have noted: none got more than the rule allows, limits are used,
 * and an endpoint that names none any more has its share again; and by what
 * callers saw: they were served while there was room. */
#ifndef SOAK_LIMIT_H
#define SOAK_LIMIT_H

#include "path.h"

typedef struct SoakLimit SoakLimit;

typedef struct SoakLimitOps {
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakLimitOps;

SoakLimit *soak_limit_new(Path *p, uint32_t seed, int seconds, unsigned entries,
                          unsigned replicas, const SoakLimitOps *ops);

/* Whether all callers come to the first entry. */
bool soak_limit_one_entry(const SoakLimit *l);

/* To be called several times a second. */
void soak_limit_tick(SoakLimit *l);

/* Of the requests so many were sent, and served. Appends what was broken, a
   line each, and frees all. Returns a text on what was seen, which is freed
   with g_free(). */
char *soak_limit_end(SoakLimit *l, unsigned sent, unsigned served,
                     GString *problems);

#endif
