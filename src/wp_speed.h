/* Compares how long the answers of a new version take with those of the version
 * that it is to replace, by likelihoods. The new version may be slower in all
 * its answers or in some of them, by a factor that is not known, so several
 * such hypotheses are weighed against the one that it is as fast.
 *
 * Each answer counts by its ratio to what such an answer usually takes on the
 * old version, so that counts of different models, routes, endpoints and boxes
 * can be added. */
#ifndef WP_SPEED_H
#define WP_SPEED_H

#include "wp_base.h"

enum {
    WP_SPEED_BINS = 32,   /* of ratios, from a half to eight */
    WP_SPEED_MIN_OLD = 20 /* answers of the old version that are needed */
};

/* Numbers of answers by the ratio of their time to the usual one. */
typedef struct WPSpeedCounts {
    uint32_t n[WP_SPEED_BINS];
} WPSpeedCounts;

/* Adds an answer that took `ratio` times the usual time. */
void wp_speed_record(WPSpeedCounts *v, double ratio);

void wp_speed_add(WPSpeedCounts *to, const WPSpeedCounts *v);

uint32_t wp_speed_total(const WPSpeedCounts *v);

/* How well the answers `v` fit a slower version than `old`. */
typedef struct WPSpeedEvidence {
    bool known; /* there are enough answers of the old version */
    /* Log odds of a slower version against an equally fast one. */
    double log_odds;
    /* The same of the slower version that fits best. */
    double best_log_odds;
    /* The slowdown that callers have to expect of the version if it serves
       them, in parts of the usual time: an answer that takes twice as long
       counts as one. */
    double expected_loss;
} WPSpeedEvidence;

WPSpeedEvidence wp_speed_compare(const WPSpeedCounts *v,
                                 const WPSpeedCounts *old);

/* The number of load classes; and the class of an endpoint that runs this many
   requests. Engines give each request less of their time the more they run. */
enum { WP_SPEED_LOADS = 10 };
unsigned wp_speed_load_class(double running);

#endif
