/* The sliding window of the retry budget. */
#include "wp_retry_budget.h"

/* Share of its part that a box uses. Below 1, as the bound holds for windows
   that slide in finer steps than the slices here (a twentieth of the window),
   and the boxes' clocks differ. Not lower than needed for that: what is not
   used is lost to escalations, which get better answers. */
#define MARGIN 0.9

/* Share of that which escalations may use; retries after failures may use all
   of it. The rest is kept for failures that come in a burst. */
#define ESCALATION_SHARE 0.9

static void advance(WPRetryBudget *b, const WPRetryBudgetRules *r, WPTime now)
{
    int64_t slice_us =
        MAX(1, (int64_t)r->window_ms * WP_US_PER_MS / WP_RETRY_BUDGET_SLICES);
    int64_t slice = now.mono_us / slice_us;
    int64_t n = MIN(slice - b->slice, WP_RETRY_BUDGET_SLICES);
    for (int64_t i = 0; i < n; i++) {
        size_t at = (size_t)((slice - i) % WP_RETRY_BUDGET_SLICES);
        b->requests[at] = 0;
        b->retries[at] = 0;
    }
    b->slice = MAX(b->slice, slice);
}

static uint32_t sum(const uint32_t *v)
{
    uint32_t n = 0;
    for (size_t i = 0; i < WP_RETRY_BUDGET_SLICES; i++)
        n += v[i];
    return n;
}

void wp_retry_budget_count_request(WPRetryBudget *b,
                                   const WPRetryBudgetRules *r, WPTime now)
{
    advance(b, r, now);
    b->requests[b->slice % WP_RETRY_BUDGET_SLICES]++;
}

static double limit_of(const WPRetryBudget *b, const WPRetryBudgetRules *r,
                       unsigned boxes)
{
    return MARGIN * (r->ratio * sum(b->requests) + r->slack / MAX(boxes, 1));
}

bool wp_retry_budget_take(WPRetryBudget *b, const WPRetryBudgetRules *r,
                          WPTime now, unsigned boxes, WPRetryPurpose purpose)
{
    advance(b, r, now);
    double limit = limit_of(b, r, boxes);
    if (purpose == WP_RETRY_FOR_ESCALATION)
        limit *= ESCALATION_SHARE;
    if (sum(b->retries) + 1 > limit) {
        b->denied++;
        return false;
    }
    b->retries[b->slice % WP_RETRY_BUDGET_SLICES]++;
    b->taken++;
    return true;
}

bool wp_retry_budget_report(WPRetryBudget *b, const WPRetryBudgetRules *r,
                            WPTime now, unsigned boxes,
                            WPRetryBudgetReport *out)
{
    uint64_t total = b->taken + b->denied;
    if (total == b->reported)
        return false;
    b->reported = total;
    advance(b, r, now);
    *out = (WPRetryBudgetReport){ sum(b->requests), b->taken, b->denied,
                                  limit_of(b, r, boxes) - sum(b->retries) };
    return true;
}
