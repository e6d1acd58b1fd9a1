/* What the ratings tell of each (kind, version): a posterior with bounds, and
 * a sequential test for a version that has turned bad. */
#ifndef WP_QUALITY_H
#define WP_QUALITY_H

#include "wire.pb-c.h"
#include "wp_policy.h"

/* Ratings older than about this many newer ones have lost their weight. */
#define WP_QUALITY_WINDOW 1000.0
/* Standard deviations from the mean to each bound: one-sided 90 in 100. */
#define WP_QUALITY_Z 1.28
/* The test ignores a loss of quality this small. */
#define WP_CUSUM_SLACK 0.1
/* Sum of losses at which the test says bad. */
#define WP_CUSUM_LIMIT 6.0

typedef struct WPQuality WPQuality;

/* Bounds of the probability that an answer is good. */
typedef struct WPBound {
    double mean, low, high;
} WPBound;

WPQuality *wp_quality_new(void);
void wp_quality_free(WPQuality *q);

/* Takes cumulative sums of the whole fleet; older sums are ignored. The
   policy gives what each version was expected to reach. */
void wp_quality_take(WPQuality *q, const Wp__Ratings *r, const WPPolicy *p);

/* A new array of [kinds * versions], indexed kind * versions + version. */
WPBound *wp_quality_table(const WPQuality *q, const WPPolicy *p);

/* Whether the test has found the version bad for any kind; `kind` then names
   it. Ratings from before `since` (a change of the reference) are forgotten
   by wp_quality_forget(). */
bool wp_quality_bad(const WPQuality *q, const char *version, const char **kind);
void wp_quality_forget(WPQuality *q, const char *version);

/* Ratings seen of the version, over all kinds. */
double wp_quality_count(const WPQuality *q, const char *version);

/* Latest cumulative sums, for passing on; free with wp_pb_free(). */
Wp__Ratings *wp_quality_sums(const WPQuality *q);
uint64_t wp_quality_seq(const WPQuality *q);

#endif
