/* The retry budget's window. */
#include "wp_budget.h"

/* What a box uses of its part: the bound holds over windows that slide finer
   than the slices here (a twentieth), and boxes' clocks differ. Less is used in
   vain: better answers are what it is spent on. */
#define MARGIN 0.9

/* Better answers may use this much of it, failures all. What is left is for
   failures that come in a burst. */
#define BETTER_SHARE 0.9

static void advance(WPBudget *b, const WPBudgetRules *r, WPTime now)
{
    int64_t slice_us =
        MAX(1, (int64_t)r->window_ms * WP_US_PER_MS / WP_BUDGET_SLICES);
    int64_t slice = now.mono_us / slice_us;
    int64_t n = MIN(slice - b->slice, WP_BUDGET_SLICES);
    for (int64_t i = 0; i < n; i++) {
        size_t at = (size_t)((slice - i) % WP_BUDGET_SLICES);
        b->requests[at] = 0;
        b->repeats[at] = 0;
    }
    b->slice = MAX(b->slice, slice);
}

static uint32_t sum(const uint32_t *v)
{
    uint32_t n = 0;
    for (size_t i = 0; i < WP_BUDGET_SLICES; i++)
        n += v[i];
    return n;
}

void wp_budget_request(WPBudget *b, const WPBudgetRules *r, WPTime now)
{
    advance(b, r, now);
    b->requests[b->slice % WP_BUDGET_SLICES]++;
}

bool wp_budget_take(WPBudget *b, const WPBudgetRules *r, WPTime now,
                    unsigned boxes, WPRepeatFor why)
{
    advance(b, r, now);
    double most =
        MARGIN * (r->ratio * sum(b->requests) + r->slack / MAX(boxes, 1));
    if (why == WP_REPEAT_BETTER)
        most *= BETTER_SHARE;
    if (sum(b->repeats) + 1 > most)
        return false;
    b->repeats[b->slice % WP_BUDGET_SLICES]++;
    return true;
}
