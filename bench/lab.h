/* The product's entries and agents with small fakes of engines and raters, in
 * virtual time: one run a policy and a seed, the same every time. */
#ifndef LAB_H
#define LAB_H

#include "sample.h"
#include "tools.pb-c.h"
#include "wp_agent.h"
#include "wp_entry.h"
#include "wp_rollout.h"

/* What an answer of a version is truly worth, which no policy is told. */
typedef struct LabTruth {
    const char *kind, *version;
    double quality;
} LabTruth;

typedef struct LabPool {
    const char *version;
    unsigned agents;
} LabPool;

typedef struct LabPlan {
    const char *rules, *mix; /* files */
    const LabTruth *truth;
    size_t n_truth;
    const LabPool *pools;
    size_t n_pools;
    unsigned entries, zones, slots, queue;
    double step_us;
    const char *choose, *balance;
    uint32_t seed;
    double rate, seconds, warm_s; /* results count from warm_s on */
    double burst_from_s, burst_to_s, burst_factor;
    double rating_lag_s;
    int slow_agent; /* or -1 */
    double slow_factor, slow_from_s;
    int lost_zone; /* or -1 */
    double lost_from_s;
    const char *bad_version; /* or NULL */
    double bad_from_s, bad_quality;
    double report_lag_s;    /* loads that agents report are this old */
    const Wp__Chart *chart; /* drives roll-outs when given */
    bool stop_bad;
} LabPlan;

typedef struct LabKind {
    char name[32];
    unsigned rank;
    uint64_t offered, ok, good;
    double target;
} LabKind;

typedef struct LabResult {
    uint64_t offered, ok, refused, unknown, attempts;
    double cost;        /* of answers */
    double fixed_cost;  /* of the best fixed choice known afterwards */
    double strong_cost; /* of always the strongest */
    GArray *first_ms;   /* of double */
    LabKind kinds[8];
    unsigned n_kinds;
    double jain;    /* over workspaces, of the best class's answers over their
                       fair part */
    double goodput; /* answered in time a second */
    uint64_t bad_served, window_served; /* since it turned bad, of its kinds */
    double stopped_after_s;             /* -1: never */
    double recovered_after_s;           /* from the burst's end; -1: never */
    unsigned steps;                     /* of roll-outs */
    char state[32];                     /* of the first roll-out in the end */
} LabResult;

void lab_run(const LabPlan *p, LabResult *r);
void lab_end(LabResult *r);

/* Requests a second that the pools can answer of this mix. */
double lab_capacity(const LabPlan *p);

#endif
