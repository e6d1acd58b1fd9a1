/* Soak test of endpoints that report that they are draining, or that ask a box
 * to back off for a while. The seed (tests/soak-notice-cases.txt) chooses
 * whether some, most or all of them do, in series that overlap, together with
 * entries that are killed, an unavailable store, a shift between versions, an
 * evacuated zone, or restarts of the draining endpoints. Checked at the end: by
 * the endpoints' run log, no box sent requests to an endpoint after such a
 * report (except those in flight), and endpoints get requests again after a
 * back-off and after a restart; by the callers' answers, they were served while
 * other endpoints had capacity. */
#ifndef SOAK_NOTICE_H
#define SOAK_NOTICE_H

#include "cluster.h"

typedef struct SoakNotice SoakNotice;

typedef struct SoakNoticeOps {
    /* Kills and restarts the process of an entry. */
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakNoticeOps;

/* Starts the cluster for this seed. */
TestCluster *soak_notice_cluster(uint32_t seed, unsigned entries,
                                 unsigned replicas);

/* The reports begin 1.5 s after the start; a restart of endpoints or of all
   entries comes in the middle of `seconds`. */
SoakNotice *soak_notice_new(TestCluster *p, uint32_t seed, int seconds,
                            unsigned entries, unsigned replicas,
                            const SoakNoticeOps *ops);

/* Plays the reports and faults that are due. Call it several times a second. */
void soak_notice_tick(SoakNotice *n);

/* Format of callers' request ids: the entry, the caller, a sequence number. The
   check reads the entry from it. */
#define SOAK_NOTICE_ID "e%u.%u.%u"

/* Ends the test and frees `n`. `sent` and `served` are the numbers of the
   callers' requests. Appends a line to `problems` for each violation. Returns a
   summary, to be freed with g_free(). */
char *soak_notice_end(SoakNotice *n, unsigned sent, unsigned served,
                      GString *problems);

#endif
