/* A zone whose endpoints have all just started, before many boxes, in virtual
 * time: how many requests reach a cold endpoint within a second, and how soon
 * the zone carries its load again, by the way that boxes pace what they send.
 */
#ifndef PACE_PLAY_H
#define PACE_PLAY_H

#include "wp_pace.h"

/* When one more request may leave for an endpoint. */
typedef struct PaceWay {
    const char *name;
    int64_t (*free_us)(const WPPaceBoxes *b, const WPPaceRules *r,
                       const WPPace *sent, uint64_t endpoint, const char *zone);
} PaceWay;

extern const PaceWay pace_owners; /* the product's */
extern const PaceWay pace_shares; /* each box has its part of the bound, spread
                                     over time */
extern const PaceWay pace_none;

typedef enum PaceView {
    PACE_ALL_KNOWN,
    PACE_THIRD_LACKS, /* each box lacks another third of the others */
    PACE_HALVES,      /* each half knows only itself */
    PACE_NEW_BOXES    /* a tenth has just come: known to none, knows all */
} PaceView;

typedef struct PacePlan {
    unsigned boxes, endpoints; /* in three zones, evenly */
    uint32_t seed;
    PaceView view;
    bool herd; /* boxes prefer the same endpoints; else any */
    WPPaceRules rules;
    double per_endpoint; /* requests a second and endpoint, over all of them */
} PacePlan;

typedef struct PaceSums {
    unsigned most; /* requests that reached one cold endpoint within 1 s */
    double mean;   /* a second and cold endpoint */
    int64_t
        carries_ms;   /* until nine in ten of the zone's requests stay there */
    double elsewhere; /* share of the requests of the zone that found none
                         free and went to another zone */
} PaceSums;

enum { PACE_COLD_MS = 3000 };

PaceSums pace_play(const PacePlan *p, const PaceWay *way);

#endif
