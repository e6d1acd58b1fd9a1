/* Compares how often requests fail on a new version with how often they fail on
 * the version that it is to replace, by likelihoods. How often a bad version
 * fails is not known, nor whether it does so everywhere, on one route or from a
 * moment on, so mixtures of such hypotheses are weighed against the one that
 * it fails as often as the old version (docs/DESIGN.md). */
#ifndef WP_FAILURE_H
#define WP_FAILURE_H

#include "wp_base.h"

/* Answers of the new and of the old version to requests of one kind. */
typedef struct WPFailureCounts {
    uint32_t answered, failed;
    uint32_t old_answered, old_failed;
} WPFailureCounts;

/* Parts of the time since an order by which answers of the new version are
   told apart. */
enum { WP_FAILURE_TIMES = 8 };

/* Answers of the new version in one of these parts. */
typedef struct WPFailureTime {
    uint32_t answered, failed;
} WPFailureTime;

/* What a version that fails is assumed to do. */
typedef enum WPFailureKind {
    WP_FAILS_EVERYWHERE,
    WP_FAILS_ON_ROUTE,
    WP_FAILS_LATE, /* from a moment after the order on */
    WP_N_FAILURE_KINDS
} WPFailureKind;

typedef struct WPFailureEvidence {
    double log_odds;    /* of a version that fails against a good one */
    WPFailureKind kind; /* that fits best */
    double kind_log_odds;
    double
        kinds[WP_N_FAILURE_KINDS]; /* log odds by kind; 0: nothing is known */
    unsigned route; /* WP_FAILS_ON_ROUTE: the index of the one that fits best */
} WPFailureEvidence;

/* Compares by the answers to each of `n` routes and, of the new version, in
   each part of the time. */
WPFailureEvidence wp_failure_compare(const WPFailureCounts *routes, unsigned n,
                                     const WPFailureTime times[]);

/* The kind's name in the log. */
const char *wp_failure_kind_name(WPFailureKind kind);

#endif
