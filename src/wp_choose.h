/* Choice of the version that serves a request. All policies implement
 * one type of function table, WPChooserOps, so that the product's own and the
 * baselines are benchmarked alike. */
#ifndef WP_CHOOSE_H
#define WP_CHOOSE_H

#include "wp_quality.h"

/* The request that a version is chosen for. */
typedef struct WPVersionQuery {
    const WPPolicy *policy;
    const WPKind *kind;
    const WPBound *bounds;  /* from wp_quality_table() */
    WPVersionSet allowed;   /* versions that may serve the request; not empty */
    WPVersionSet busy;      /* versions without a free slot now */
    uint32_t prompt_tokens; /* expected */
    uint32_t answer_tokens; /* expected */
    double random;          /* uniform in [0, 1) */
    bool may_explore; /* the workspace's share of exploration is not used up */
} WPVersionQuery;

/* The version chosen. */
typedef struct WPVersionChoice {
    int version;  /* index in the policy, or -1 */
    int escalate; /* index of the stronger version to try if a check fails, or
                     -1 */
    bool explored;
} WPVersionChoice;

typedef struct WPChooser WPChooser;

typedef struct WPChooserOps {
    const char *name;
    WPVersionChoice (*choose)(const WPChooser *self, const WPVersionQuery *c);
} WPChooserOps;

struct WPChooser {
    const WPChooserOps *ops;
};

/* Returns the policy "cost" (the product's own), "strongest", "cheapest" or
   "static"; NULL for another name. The result is constant and is not freed. */
const WPChooser *wp_chooser(const char *name);

/* Expected cost of one answer, in the configuration's units. */
double wp_version_cost(const WPVersion *v, uint32_t prompt_tokens,
                       uint32_t answer_tokens);

#endif
