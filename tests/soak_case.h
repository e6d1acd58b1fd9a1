/* A case of the soak test: what is played beside the soak's callers, in place
 * of its other faults or with them, and the checks of its effects. The seed
 * chooses the details. */
#ifndef SOAK_CASE_H
#define SOAK_CASE_H

#include "cluster.h"

typedef struct SoakSetup {
    TestCluster *cluster;
    uint32_t seed;
    int seconds; /* for which ticks follow */
    unsigned entries, replicas;
    /* Kills and restarts the process of an entry. */
    void (*restart_entry)(void *arg, unsigned entry);
    void *arg;
} SoakSetup;

/* The requests of the soak's callers to existing routes. */
typedef struct SoakTotals {
    unsigned sent, served;
    unsigned cut_by_kills; /* of those sent: they got no answer, as the
                              process of their entry was killed */
    GArray *sent_ms; /* int64_t: when each was sent, by the monotonic clock */
} SoakTotals;

/* Which of the soak's other faults are played too. */
typedef enum SoakFaults {
    SOAK_FAULTS_ALL,
    SOAK_FAULTS_RESTARTS, /* only restarts of processes */
    SOAK_FAULTS_NONE
} SoakFaults;

/* When callers pause between requests. */
typedef enum SoakPace {
    SOAK_PACE_NONE,
    SOAK_PACE_ERRORS,
    SOAK_PACE_ALL
} SoakPace;

typedef struct SoakCase SoakCase;

typedef struct SoakCaseOps {
    const char *option, *help; /* of the command line */
    SoakFaults other_faults;
    SoakPace pace;
    bool writes_config; /* all configurations are written by the case */
    /* Starts the cluster; NULL: cluster_new(). */
    TestCluster *(*start)(uint32_t seed, unsigned entries, unsigned replicas);
    SoakCase *(*create)(const SoakSetup *setup);
    /* Whether all callers are to use the first entry; NULL: they are not. */
    bool (*uses_one_entry)(const SoakCase *c);
    /* Plays what is due; called several times a second. */
    void (*tick)(SoakCase *c, GString *problems);
    /* Ends the case, checks it and frees `c`. Appends a line to `problems` for
       each violation. Returns a summary, to be freed with g_free(). */
    char *(*end)(SoakCase *c, const SoakTotals *totals, GString *problems);
} SoakCaseOps;

/* The first member of each case. */
struct SoakCase {
    const SoakCaseOps *ops;
    SoakSetup setup;
};

extern const SoakCaseOps soak_shift_ops, soak_zone_ops, soak_crash_ops,
    soak_limit_ops, soak_notice_ops, soak_retry_ops, soak_restore_ops,
    soak_change_ops;

static inline void soak_case_restart_entry(const SoakCase *c, unsigned entry)
{
    c->setup.restart_entry(c->setup.arg, entry);
}

/* Format of callers' request ids: the entry, the caller, a sequence number. */
#define SOAK_REQUEST_ID "e%u.%u.%u"

#endif
