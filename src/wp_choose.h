/* Which version answers: policies behind one small table of functions, so
 * that the product's own and the baselines are measured alike. */
#ifndef WP_CHOOSE_H
#define WP_CHOOSE_H

#include "wp_quality.h"

typedef struct WPChoice {
    const WPPolicy *policy;
    const WPKind *kind;
    const WPBound *table;   /* from wp_quality_table() */
    WPSet allowed;          /* not empty */
    WPSet busy;             /* versions without a free place now */
    uint32_t prompt_tokens; /* expected */
    uint32_t answer_tokens; /* expected */
    double u;               /* uniform in [0, 1) */
    bool may_explore;       /* the workspace has room for it */
} WPChoice;

typedef struct WPChosen {
    int version;  /* index, or -1 */
    int escalate; /* the stronger version to try if a check fails, or -1 */
    bool explored;
} WPChosen;

typedef struct WPChooser WPChooser;

typedef struct WPChooserOps {
    const char *name;
    WPChosen (*choose)(const WPChooser *self, const WPChoice *c);
} WPChooserOps;

struct WPChooser {
    const WPChooserOps *ops;
};

/* "cost" (the product's), "strongest", "cheapest" or "static"; NULL for
   another name. The tables are constant and need no freeing. */
const WPChooser *wp_chooser(const char *name);

/* Expected cost of one answer, in the configuration's units. */
double wp_version_cost(const WPVersion *v, uint32_t prompt_tokens,
                       uint32_t answer_tokens);

#endif
