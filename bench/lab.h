/* Discrete-event simulation in virtual time of the product's own entries and
 * agents, with simple models of inference engines and of the rating service. A
 * run is defined by its plan: the same plan with the same seed gives the same
 * result. */
#ifndef LAB_H
#define LAB_H

#include "sample.h"
#include "tools.pb-c.h"
#include "wp_agent.h"
#include "wp_entry.h"
#include "wp_rollout.h"

/* Probability that an answer of a version to a request kind is good. The
   policies are not given this; they only see ratings. */
typedef struct LabTrueQuality {
    const char *kind, *version;
    double quality;
} LabTrueQuality;

/* Number of agents that serve one version. */
typedef struct LabPool {
    const char *version;
    unsigned agents;
} LabPool;

/* Parameters of one run. Times in seconds are virtual time since the start. */
typedef struct LabPlan {
    const char *rules, *mix; /* paths of YAML files */
    const LabTrueQuality *true_quality;
    size_t n_true_quality;
    const LabPool *pools;
    size_t n_pools;
    unsigned entries, zones, slots, queue;
    double step_us; /* duration of an engine's step, its batch empty */
    const char *choose, *balance; /* settings of the entries */
    uint32_t seed;
    double rate, seconds, warm_s; /* requests that arrive before warm_s are left
                                     out of the result */
    double burst_from_s, burst_to_s; /* when `rate` is times burst_factor */
    double burst_factor;
    double rating_lag_s; /* from an answer to its rating */
    int slow_agent;      /* index; -1: none */
    double slow_factor, slow_from_s;
    int lost_zone; /* index; -1: none */
    double lost_from_s;
    const char *bad_version; /* NULL: none */
    double bad_from_s, bad_quality;
    double report_lag_s;    /* age of the load reports that entries receive */
    const Wp__Chart *chart; /* controls rollouts; NULL: no rollouts */
    bool stop_bad; /* whether a bad version is withdrawn without a rollout */
} LabPlan;

/* Result for one request kind. */
typedef struct LabKind {
    char name[32];
    unsigned rank;
    uint64_t offered, ok, good;
    double target;
} LabKind;

/* Result of a run. Counters cover the requests that arrive after warm_s. */
typedef struct LabResult {
    uint64_t offered, ok, refused, outcome_unknown, attempts;
    double cost;        /* of all runs, plus 2 % of a run's cost for each check
                           and each requested rating */
    double fixed_cost;  /* the same requests, each at the cheapest allowed
                           version whose true quality meets the target */
    double strong_cost; /* the same requests, each at the strongest allowed
                           version */
    GArray *first_ms;   /* double: time to first token of each answer */
    LabKind kinds[8];
    unsigned n_kinds;
    double jain;    /* Jain's fairness index over workspaces, for the highest
                       class: answers divided by the max-min fair share */
    double goodput; /* complete answers per second */
    uint64_t bad_served, window_served; /* answers of the bad version, and all
                                           answers, since it became bad */
    double stopped_after_s;   /* seconds after bad_from_s until the bad version
                                 was withdrawn; -1: never */
    double recovered_after_s; /* seconds from the end of the burst until 90 % of
                                 the base rate is answered again; -1: never */
    unsigned rollout_steps;   /* configuration changes made by rollouts or
                                 withdrawals */
    char rollout_state[32];   /* of the first rollout, at the end of the run */
} LabResult;

/* Runs the simulation. `r` is overwritten; free its contents with
   lab_result_destroy(). */
void lab_run(const LabPlan *p, LabResult *r);

/* Frees the contents of the result. */
void lab_result_destroy(LabResult *r);

/* Estimate of the requests per second of the plan's mix that its pools can
   answer with full batches. */
double lab_capacity(const LabPlan *p);

#endif
