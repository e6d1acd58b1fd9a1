/* Simulates, in virtual time, many boxes in front of endpoints that report a
 * rate limit: how many requests reach one endpoint within the platform's
 * window, how much of the limit is used and how many requests are refused.
 * Each box is the product's own endpoint table (WPFleet); boxes exchange the
 * same updates as the product, with a delay of some ms. */
#ifndef LIMIT_SIM_H
#define LIMIT_SIM_H

#include "wp_base.h"

/* How callers' requests are distributed over the boxes. */
typedef enum LimitCallers {
    LIMIT_EVEN,
    LIMIT_ONE_BOX,
    LIMIT_UNEVEN, /* each box gets half as many as the one before it; starts
                     over every 4 boxes */
    LIMIT_ONE_ZONE,
    LIMIT_ROTATING, /* all to one box, to the next box every 5 s */
    LIMIT_CALLERS_COUNT
} LimitCallers;

/* Fault injected during the run. */
typedef enum LimitFault {
    LIMIT_NO_FAULT,
    LIMIT_ROLLING_RESTARTS, /* boxes restart in turn, one every 3 s, with empty
                               state */
    LIMIT_RESTART_ALL, /* all boxes restart at once, in the middle of the run */
    LIMIT_SLOW_UPDATES, /* updates between boxes take up to half a second */
    LIMIT_NO_UPDATES,   /* no updates between boxes: they only know which others
                           exist */
    LIMIT_FAULTS_COUNT
} LimitFault;

typedef struct LimitPlan {
    unsigned boxes, endpoints; /* evenly distributed over `zones` zones */
    unsigned zones;
    double limited_share;   /* share of the endpoints that report a limit */
    double limit_per_s;     /* that limit, in requests per second */
    double new_limit_per_s; /* replaces it from the middle of the run on; 0: no
                               limit any more, below 0: unchanged */
    double requests_per_s;  /* rate of callers' requests over all boxes */
    LimitCallers callers;
    LimitFault fault;
    uint32_t seed;
} LimitPlan;

typedef struct LimitResult {
    unsigned max_in_window; /* most requests that reached one endpoint within
                               4 s, from 3 s after its first report on */
    double utilization; /* mean share of the limit that is used, from 3 s after
                           the first report on */
    double min_utilization; /* the lowest such share of one endpoint */
    double served_share; /* share of all requests that are sent to an endpoint,
                            from then on */
    double recovered_ratio;  /* requests per endpoint whose limit ended, divided
                                by those per endpoint that never had one, from 3
                                s after the end on */
    unsigned endpoints_over; /* endpoints that received more than the platform
                                allows */
} LimitResult;

/* Runs the simulation of the plan. */
LimitResult limit_simulate(const LimitPlan *p);

/* Requests that the platform lets through to an endpoint with this limit
   within 4 s: 1.5 times the limit and 5 more. */
unsigned limit_allowed_in_window(double limit_per_s);

#endif
