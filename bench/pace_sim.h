/* Simulates, in virtual time, many boxes and a zone whose endpoints have all
 * just started: how many requests reach a cold endpoint within a second, and
 * how soon the zone serves its own load again, for different pacing policies
 * of the boxes. */
#ifndef PACE_SIM_H
#define PACE_SIM_H

#include "wp_pace.h"

/* A pacing policy: next_send_us() returns the monotonic time in microseconds
   from which the box with this view may send one more request to an endpoint,
   given what it has sent there (`sent`). */
typedef struct PacePolicy {
    const char *name;
    int64_t (*next_send_us)(const WPPaceBoxes *b, const WPPaceRules *r,
                            const WPPace *sent, uint64_t endpoint,
                            const char *zone);
} PacePolicy;

/* The product's policy: a few boxes per endpoint have a quota
   (wp_pace_quota()). */
extern const PacePolicy pace_policy_quota;

/* Each box has an equal share of the limit, spaced evenly over time. */
extern const PacePolicy pace_policy_even_share;

/* No pacing. */
extern const PacePolicy pace_policy_unlimited;

/* Which of the other boxes each box knows. */
typedef enum PaceView {
    PACE_ALL_KNOWN,
    PACE_THIRD_MISSING, /* each box does not know a different third of the
                           others */
    PACE_PARTITIONED,   /* two halves; each box knows only its own half */
    PACE_NEW_BOXES /* a tenth has just started: these know all boxes, the others
                      do not know them */
} PaceView;

typedef struct PacePlan {
    unsigned boxes, endpoints; /* distributed evenly over three zones */
    uint32_t seed;
    PaceView view;
    bool same_order; /* all boxes try the endpoints in the same order; else each
                        starts at a random one */
    WPPaceRules rules;
    double endpoint_rate; /* requests per second per endpoint, over all zones */
} PacePlan;

typedef struct PaceResult {
    unsigned max_in_second; /* most requests that reached one cold endpoint
                               within 1 s */
    double mean_per_s;      /* requests per second per cold endpoint */
    int64_t recovery_ms; /* until 90 % of the zone's requests are served in the
                            zone; -1: never */
    double remote_share; /* share of the zone's requests that found no endpoint
                            allowed there and went to another zone */
} PaceResult;

/* How long the endpoints are cold: the length of a run. */
enum { PACE_COLD_MS = 3000 };

/* Runs the simulation of the plan with this policy. */
PaceResult pace_simulate(const PacePlan *p, const PacePolicy *policy);

#endif
