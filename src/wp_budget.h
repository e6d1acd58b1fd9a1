/* A budget for second and later attempts, so that retries cannot multiply a
 * burst: a share of the requests of a sliding window. The bound holds for all
 * boxes together; each box keeps to its own part of it without asking. */
#ifndef WP_BUDGET_H
#define WP_BUDGET_H

#include "wp_base.h"

enum { WP_BUDGET_SLICES = 20 }; /* a window is this many slices */

typedef struct WPBudgetRules {
    double ratio; /* repeats for each request of a window */
    double slack; /* repeats a window on top, for all boxes together */
    uint32_t window_ms;
} WPBudgetRules;

typedef struct WPBudget {
    int64_t slice; /* number of the newest slice */
    uint32_t requests[WP_BUDGET_SLICES], repeats[WP_BUDGET_SLICES];
} WPBudget;

/* What a repeat is for; the less needed ones leave room for the others. */
typedef enum WPRepeatFor {
    WP_REPEAT_FAILURE, /* the request would fail otherwise */
    WP_REPEAT_BETTER   /* a better answer than the one in hand */
} WPRepeatFor;

void wp_budget_request(WPBudget *b, const WPBudgetRules *r, WPTime now);

/* Whether one more repeat is within this box's part; takes it if so.
   `boxes` share the slack. */
bool wp_budget_take(WPBudget *b, const WPBudgetRules *r, WPTime now,
                    unsigned boxes, WPRepeatFor why);

#endif
