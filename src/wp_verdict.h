/* Whether a new version is bad, from sums of its answers against those of the
 * version that it replaces. Sums of boxes can be added. */
#ifndef WP_VERDICT_H
#define WP_VERDICT_H

#include "wp_base.h"

/* What the answers of a group were; sums of boxes can be added. */
typedef struct WPShiftSums {
    uint32_t answered, failed;
    uint32_t timed, slow; /* answers that could be slow, and that were */
    uint32_t fast;        /* of those, the faster than a quarter of the old */
    uint64_t taken;       /* of those, places taken where they ran, summed in
                             thousandths of all places */
    /* Whole answers of plain services that have a time, and those that took
       several times as long as usual. */
    uint32_t wholes, far;
    /* Answers of replicas that were half full or more, those that failed, and
       the replicas that failed some. */
    uint32_t loaded, loaded_failed, loaded_bad;
    /* Whether a box saw failures, or slowness, on enough endpoints to be the
       version's and not some endpoints'. */
    bool fails_spread, slow_spread;
    /* Of the version on trial: what its box saw of the old one meanwhile. */
    uint32_t old_answered, old_failed;
} WPShiftSums;

/* How an answer came. */
typedef enum WPShiftTime {
    WP_TIME_UNKNOWN, /* the endpoint was so full that it says nothing */
    WP_TIME_FAST,    /* as the fastest quarter of the old version's */
    WP_TIME_USUAL,   /* between */
    WP_TIME_SLOW,    /* as the slowest quarter of the old version's */
    /* Of a plain service, whose times do not hang on its load: */
    WP_TIME_NEAR, /* as the old version's */
    WP_TIME_FAR   /* several times as long as most of them */
} WPShiftTime;

/* How one request ended at an endpoint. */
typedef struct WPShiftAnswer {
    const char *version, *replica, *route;
    bool failed;
    WPShiftTime time;
    double taken; /* share of the endpoint's places when it was sent */
} WPShiftAnswer;

/* A version is bad on all its endpoints; what fails on fewer is the business of
   the choice of endpoints. */
enum { WP_VERDICT_REPLICAS = 2 };

/* What makes a version bad. */
typedef enum WPFault { WP_FAULT_NONE, WP_FAULT_FAILS, WP_FAULT_SLOW } WPFault;

void wp_sums_answer(WPShiftSums *v, const WPShiftAnswer *a);
void wp_sums_add(WPShiftSums *to, const WPShiftSums *v);

/* The verdict on a version. `beside`: the old version serves as well, so that
   times can be compared. */
WPFault wp_sums_fault(const WPShiftSums *v, const WPShiftSums *old,
                      bool beside);

/* Whether the failures speak rather for a version that fails than for a good
   one; a verdict wants more. */
bool wp_sums_may_fail(const WPShiftSums *v, const WPShiftSums *old);

/* Whether the answers speak rather for a slow version than for a good one, or
   are too few to speak where there could be more. */
bool wp_sums_doubtful(const WPShiftSums *v, const WPShiftSums *old);

/* Whether there are enough answers of both versions, with times, to tell a good
   one from a bad one. */
bool wp_sums_tell(const WPShiftSums *v, const WPShiftSums *old);

/* Whether it fails on endpoints that are half full. */
bool wp_sums_fail_loaded(const WPShiftSums *v);

/* Whether the answers of one endpoint show failures, or slowness. */
bool wp_sums_failed(const WPShiftSums *v);
bool wp_sums_slow(const WPShiftSums *v);

/* The figures, for the log; free with g_free(). */
char *wp_sums_text(const char *route, const WPShiftSums *v,
                   const WPShiftSums *old);

#endif
