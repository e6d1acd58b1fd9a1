/* Simulation of a traffic shift to a version that fails some of its requests,
 * in virtual time, with the decisions of wp_shift.h. */
#ifndef VERDICT_SIM_H
#define VERDICT_SIM_H

#include "wp_shift.h"

enum { VERDICT_ROUTES = 3 };

typedef struct VerdictSite {
    const char *name;
    double rate;                    /* requests a second of the service */
    double share[VERDICT_ROUTES];   /* of the requests, by route */
    double failing[VERDICT_ROUTES]; /* of these, on any version */
    WPExposureLimit exposure;
} VerdictSite;

typedef enum VerdictFault {
    VERDICT_GOOD,
    VERDICT_EVERYWHERE,
    VERDICT_ONE_ROUTE, /* the second */
    VERDICT_LATE       /* from LATE_PART of the order's duration on */
} VerdictFault;

/* A new version: this share of the answers that the fault concerns fails,
   beside those that fail on any version. */
typedef struct VerdictVersion {
    VerdictFault fault;
    double share;
} VerdictVersion;

typedef struct VerdictResult {
    WPShiftState state; /* at the end of the order's duration */
    double log_odds;    /* of the version's fault against a good one, known
                           exactly, by the answers before the last stage's end */
    unsigned answers;   /* of the new version */
    unsigned on_new;    /* requests that it got */
    unsigned allowed;   /* requests that a bad version may get */
} VerdictResult;

/* Plays an order. `decide`: the shift's own decisions apply; otherwise all
   stages take their time. `suspected` is the fault that `log_odds` is of. */
VerdictResult verdict_play(const Wp__Chart *chart, const VerdictSite *site,
                           const VerdictVersion *version,
                           const VerdictVersion *suspected, int64_t duration_ms,
                           bool decide, GRand *rand);

#endif
