/* Endpoints that say that they leave, and that want nothing from a box for a
 * while, within a soak. By the seed (tests/soak-notice-cases.txt) it is some,
 * most or all of them, in series that overlap, beside entries that are killed,
 * a store that is away, a move between versions, a zone that is kept out, or a
 * new life of what has left. Afterwards, by what the endpoints have noted: no
 * box sent anything to one that had told it so (but what was under way), and
 * they have work again after a rest and in a new life; and by what callers saw:
 * they were served while there was room. */
#ifndef SOAK_NOTICE_H
#define SOAK_NOTICE_H

#include "path.h"

typedef struct SoakNotice SoakNotice;

typedef struct SoakNoticeOps {
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakNoticeOps;

/* The site that this seed is played on. */
Path *soak_notice_path(uint32_t seed, unsigned entries, unsigned replicas);

SoakNotice *soak_notice_new(Path *p, uint32_t seed, int seconds,
                            unsigned entries, unsigned replicas,
                            const SoakNoticeOps *ops);

/* To be called several times a second. */
void soak_notice_tick(SoakNotice *n);

/* Callers name the entry that they ask in the request's id. */
#define SOAK_NOTICE_ID "e%u.%u.%u"

/* Of the requests so many were sent, and served. Appends what was broken, a
   line each, and frees all. Returns a text on what was seen, which is freed
   with g_free(). */
char *soak_notice_end(SoakNotice *n, unsigned sent, unsigned served,
                      GString *problems);

#endif
