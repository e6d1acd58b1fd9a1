/* Quality of each (kind, version) by its ratings: a posterior distribution
 * with bounds, and a sequential test (CUSUM) for a version that has turned
 * bad. */
#ifndef WP_QUALITY_H
#define WP_QUALITY_H

#include "wire.pb-c.h"
#include "wp_policy.h"

/* Time constant, in ratings, of the decay of older ratings. */
#define WP_QUALITY_WINDOW 1000.0
/* Standard deviations from the mean to each bound: one-sided 90 in 100. */
#define WP_QUALITY_Z 1.28
/* The test ignores losses of quality up to this. */
#define WP_CUSUM_SLACK 0.1
/* Accumulated loss from which the test finds a version bad. */
#define WP_CUSUM_LIMIT 6.0

typedef struct WPQuality WPQuality;

/* Posterior mean and bounds of the probability that an answer is good. */
typedef struct WPBound {
    double mean, low, high;
} WPBound;

/* Returns an object without ratings. */
WPQuality *wp_quality_new(void);
void wp_quality_free(WPQuality *q);

/* Takes the cumulative rating sums of the whole fleet unless newer ones are
   known. The policy gives the quality expected of each version. */
void wp_quality_update(WPQuality *q, const Wp__Ratings *r, const WPPolicy *p);

/* Returns a new array of [kinds * versions] bounds, indexed kind * versions +
   version; free with g_free(). */
WPBound *wp_quality_table(const WPQuality *q, const WPPolicy *p);

/* Whether the test has found the version bad for some kind of request; sets
   `kind` to its name. */
bool wp_quality_is_bad(const WPQuality *q, const char *version,
                       const char **kind);

/* Discards the version's ratings so far, as is due when the expected quality
   changes. */
void wp_quality_forget(WPQuality *q, const char *version);

/* Number of ratings received for the version, over all kinds. */
double wp_quality_rating_count(const WPQuality *q, const char *version);

/* Returns the latest cumulative sums, to be sent to other boxes; free with
   wp_pb_free(). */
Wp__Ratings *wp_quality_sums(const WPQuality *q);

/* Returns the sequence number of the latest cumulative sums. */
uint64_t wp_quality_seq(const WPQuality *q);

#endif
