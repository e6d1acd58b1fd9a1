/* A budget for retries, that is second and later attempts, so that they cannot
 * multiply a burst of requests: a share of the requests in a sliding window,
 * and some slack. The bound holds for all boxes together; each box keeps to its
 * own part of it without communication.
 *
 * It is a token bucket that is empty when the process starts. In any window the
 * processes that follow each other on a box take one full bucket at most and
 * what was added in that window, so that none needs to know what those before
 * it have taken. */
#ifndef WP_RETRY_BUDGET_H
#define WP_RETRY_BUDGET_H

#include "wp_base.h"

enum { WP_RETRY_BUDGET_SLICES = 20 }; /* slices in a window */

typedef struct WPRetryBudgetRules {
    double ratio; /* retries for each request of a window */
    double slack; /* retries a window on top, for all boxes together */
    uint32_t window_ms;
} WPRetryBudgetRules;

typedef struct WPRetryBudget {
    double tokens;             /* retries that may be taken now */
    int64_t refilled_us;       /* when the slack was last added */
    double withheld;           /* tokens that the next requests do not add, */
    int64_t withheld_until_us; /* up to this time */
    int64_t slice;             /* index of the newest slice */
    uint32_t requests[WP_RETRY_BUDGET_SLICES];
    uint64_t taken, denied; /* retries since the process started */
    uint64_t reported;      /* their sum at the last report */
} WPRetryBudget;

/* The purpose of a retry; escalations leave some of the budget for failures. */
typedef enum WPRetryPurpose {
    WP_RETRY_FOR_FAILURE,   /* the request would fail without it */
    WP_RETRY_FOR_ESCALATION /* to get a better answer than the one received */
} WPRetryPurpose;

/* `start_us`: when this process started. */
void wp_retry_budget_init(WPRetryBudget *b, int64_t start_us);

/* Counts a new request in the window. `boxes`: how many share the slack. */
void wp_retry_budget_count_request(WPRetryBudget *b,
                                   const WPRetryBudgetRules *r, WPTime now,
                                   unsigned boxes);

/* The process has stood still for `pause_us` until now. Requests that callers
   sent meanwhile are counted after it, but belong to the window before: as many
   as usually come in that time add nothing. */
void wp_retry_budget_note_pause(WPRetryBudget *b, const WPRetryBudgetRules *r,
                                WPTime now, int64_t pause_us);

/* Takes one retry from this box's part of the budget; returns false, and takes
   nothing, if too little is left for that purpose. */
bool wp_retry_budget_take(WPRetryBudget *b, const WPRetryBudgetRules *r,
                          WPTime now, unsigned boxes, WPRetryPurpose purpose);

/* The use of a budget, for the log. */
typedef struct WPRetryBudgetReport {
    unsigned requests;      /* in the window */
    uint64_t taken, denied; /* retries since the process started */
    double left;            /* retries that may be taken now */
} WPRetryBudgetReport;

/* Returns false if no retry was taken or denied since the last report. */
bool wp_retry_budget_report(WPRetryBudget *b, const WPRetryBudgetRules *r,
                            WPTime now, unsigned boxes,
                            WPRetryBudgetReport *out);

#endif
