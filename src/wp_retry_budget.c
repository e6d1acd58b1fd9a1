/* The token bucket of the retry budget. */
#include "wp_retry_budget.h"

/* Share of the bound that is used. The rest covers attempts that reach their
   endpoint later than they are counted. */
#define BOUND_SHARE 0.97

/* Share of `ratio` that a request adds to the bucket; the rest makes the bucket
   larger. */
#define REFILL_RATIO_SHARE 0.9

/* Share of `slack` that is added evenly over a window; the rest makes the
   bucket larger. */
#define REFILL_SLACK_SHARE 0.5

/* Share of a full bucket that escalations leave for failures. */
#define ESCALATION_RESERVE 0.15

static void advance(WPRetryBudget *b, const WPRetryBudgetRules *r, WPTime now)
{
    int64_t slice_us =
        MAX(1, (int64_t)r->window_ms * WP_US_PER_MS / WP_RETRY_BUDGET_SLICES);
    int64_t slice = now.mono_us / slice_us;
    int64_t n = MIN(slice - b->slice, WP_RETRY_BUDGET_SLICES);
    for (int64_t i = 0; i < n; i++)
        b->requests[(slice - i) % WP_RETRY_BUDGET_SLICES] = 0;
    b->slice = MAX(b->slice, slice);
}

static unsigned requests_in_window(const WPRetryBudget *b)
{
    unsigned n = 0;
    for (size_t i = 0; i < WP_RETRY_BUDGET_SLICES; i++)
        n += b->requests[i];
    return n;
}

/* This box's part of the slack, in retries a window. */
static double slack_part(const WPRetryBudgetRules *r, unsigned boxes)
{
    return BOUND_SHARE * r->slack / MAX(boxes, 1);
}

/* The size of the bucket, in retries; less than 1 at a box with few requests
   among many boxes. */
static double bucket_size(const WPRetryBudget *b, const WPRetryBudgetRules *r,
                          unsigned boxes)
{
    return BOUND_SHARE * (1 - REFILL_RATIO_SHARE) * r->ratio *
               requests_in_window(b) +
           (1 - REFILL_SLACK_SHARE) * slack_part(r, boxes);
}

/* Adds tokens, but no more than the bucket holds; that is one at least, as
   otherwise no retry could ever be taken. */
static void add_tokens(WPRetryBudget *b, const WPRetryBudgetRules *r,
                       unsigned boxes, double tokens)
{
    b->tokens = MIN(b->tokens + tokens, MAX(bucket_size(b, r, boxes), 1));
}

static double window_us_of(const WPRetryBudgetRules *r)
{
    return (double)MAX(r->window_ms, 1) * WP_US_PER_MS;
}

static void refill(WPRetryBudget *b, const WPRetryBudgetRules *r, WPTime now,
                   unsigned boxes)
{
    double since_us = (double)(now.mono_us - b->refilled_us);
    advance(b, r, now);
    add_tokens(b, r, boxes,
               REFILL_SLACK_SHARE * slack_part(r, boxes) * since_us /
                   window_us_of(r));
    b->refilled_us = now.mono_us;
}

void wp_retry_budget_init(WPRetryBudget *b, int64_t start_us)
{
    *b = (WPRetryBudget){ .refilled_us = start_us };
}

void wp_retry_budget_count_request(WPRetryBudget *b,
                                   const WPRetryBudgetRules *r, WPTime now,
                                   unsigned boxes)
{
    double tokens = BOUND_SHARE * REFILL_RATIO_SHARE * r->ratio;
    refill(b, r, now, boxes);
    b->requests[b->slice % WP_RETRY_BUDGET_SLICES]++;
    /* What add_tokens() lets a small bucket hold beyond its size is withheld
       from the refill of a window's requests. */
    double beyond_size = MAX(1 - bucket_size(b, r, boxes), 0);
    tokens -= beyond_size / requests_in_window(b);
    tokens = MAX(tokens, 0);
    if (now.mono_us > b->withheld_until_us)
        b->withheld = 0;
    double withheld = MIN(tokens, b->withheld);
    b->withheld -= withheld;
    add_tokens(b, r, boxes, tokens - withheld);
}

void wp_retry_budget_note_pause(WPRetryBudget *b, const WPRetryBudgetRules *r,
                                WPTime now, int64_t pause_us)
{
    double windows = MIN((double)pause_us / window_us_of(r), 1);
    b->withheld_until_us = now.mono_us + (int64_t)window_us_of(r);
    b->withheld += BOUND_SHARE * REFILL_RATIO_SHARE * r->ratio *
                   requests_in_window(b) * windows;
}

bool wp_retry_budget_take(WPRetryBudget *b, const WPRetryBudgetRules *r,
                          WPTime now, unsigned boxes, WPRetryPurpose purpose)
{
    double reserve = 0;
    refill(b, r, now, boxes);
    if (purpose == WP_RETRY_FOR_ESCALATION)
        reserve = ESCALATION_RESERVE * bucket_size(b, r, boxes);
    if (b->tokens < reserve + 1) {
        b->denied++;
        return false;
    }
    b->tokens--;
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
    refill(b, r, now, boxes);
    *out = (WPRetryBudgetReport){ requests_in_window(b), b->taken, b->denied,
                                  b->tokens };
    return true;
}
