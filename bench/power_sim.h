/* Simulation of how fast a slower version is told from an equally fast one, in
 * virtual time. */
#ifndef POWER_SIM_H
#define POWER_SIM_H

#include "wp_speed.h"

typedef struct PowerSite {
    unsigned boxes;
    double rate;      /* requests a second at all boxes together */
    double share;     /* of them that the new version gets */
    double deviation; /* standard deviation of the logarithm of times */
    double learn_s;   /* traffic before the order */
} PowerSite;

/* A new version: `share` of its answers take `slowdown` times as long. */
typedef struct PowerVersion {
    double slowdown, share;
} PowerVersion;

typedef struct PowerResult {
    bool bad;      /* found bad */
    bool in_doubt; /* would be held back at the end of the time */
    unsigned answers;
} PowerResult;

/* Plays an order of `seconds`, the last of which are without a decision. */
PowerResult power_play(const PowerSite *site, const PowerVersion *version,
                       double seconds, GRand *rand);

#endif
