/* The retry budget: the retries that it allows at one box, and that many
 * boxes which each keep to their own share keep to the bound together. */
#include "test.h"
#include "wp_retry_budget.h"

enum { BOXES = 21, STEP_MS = 10, SPAN_MS = 60000, WINDOW_MS = 10000 };

static const WPRetryBudgetRules rules = { 0.9, 82, WINDOW_MS };

static WPTime at(int64_t ms)
{
    return (WPTime){ (1000 + ms) * WP_US_PER_MS, ms };
}

/* Of 1,000 requests in a window, `per_hundred` in 100 require an escalation
   to a larger model; returns how many escalations are allowed. */
static unsigned escalations_of_1000(unsigned per_hundred)
{
    WPRetryBudget b = { 0 };
    unsigned taken = 0;
    for (int i = 0; i < 1000; i++) {
        wp_retry_budget_count_request(&b, &rules, at(i * 9));
        if ((unsigned)(i * 37 % 100) < per_hundred)
            taken += wp_retry_budget_take(&b, &rules, at(i * 9), BOXES,
                                          WP_RETRY_FOR_ESCALATION);
    }
    return taken;
}

/* A workload of which 57 in 100 requests seem too hard for the smallest
   model (55 were measured): all of them must be escalated. With the former
   shares (0.8 of the budget, 0.75 of that for escalations) only 541 of these
   570 were. */
static void all_hard_requests_are_escalated(void **state)
{
    (void)state;
    assert_int_equal(escalations_of_1000(57), 570);
}

static void escalations_leave_budget_for_failures(void **state)
{
    WPRetryBudget b = { 0 };
    unsigned escalated = 0, failed = 0;
    (void)state;
    for (int i = 0; i < 1000; i++) {
        wp_retry_budget_count_request(&b, &rules, at(i * 9));
        escalated += wp_retry_budget_take(&b, &rules, at(i * 9), BOXES,
                                          WP_RETRY_FOR_ESCALATION);
        if (i % 20 == 0)
            failed += wp_retry_budget_take(&b, &rules, at(i * 9), BOXES,
                                           WP_RETRY_FOR_FAILURE);
    }
    assert_int_equal(failed, 50);
    assert_in_range(escalated, 650, 750);
}

typedef struct Sim {
    WPRetryBudget boxes[BOXES];
    GRand *rand;
    unsigned requests[SPAN_MS / STEP_MS], retries[SPAN_MS / STEP_MS];
} Sim;

/* Requests per second at all boxes: a burst in the middle, then few. */
static double rate_at(int64_t ms)
{
    return ms < 20000 ? 300 : ms < 30000 ? 1500 : 60;
}

/* Begins a request at a random box; it tries to take two retries, each for
   an escalation (3 in 4) or after a failure. */
static void begin_request(Sim *p, int64_t ms)
{
    unsigned i = (unsigned)(ms / STEP_MS);
    /* A third of the boxes gets most of the requests. */
    unsigned n = g_rand_boolean(p->rand) ? BOXES / 3 : BOXES;
    WPRetryBudget *b = &p->boxes[g_rand_int_range(p->rand, 0, (int)n)];
    p->requests[i]++;
    wp_retry_budget_count_request(b, &rules, at(ms));
    for (int k = 0; k < 2; k++)
        p->retries[i] += wp_retry_budget_take(b, &rules, at(ms), BOXES,
                                              g_rand_int_range(p->rand, 0, 4)
                                                  ? WP_RETRY_FOR_ESCALATION
                                                  : WP_RETRY_FOR_FAILURE);
}

static unsigned sum_before(const unsigned *v, int64_t ms)
{
    unsigned n = 0;
    for (int64_t t = MAX(0, ms - WINDOW_MS); t < ms; t += STEP_MS)
        n += v[t / STEP_MS];
    return n;
}

/* The platform allows retries in proportion to the requests of the window,
   of the one before or of the one half a window earlier, whichever has most. */
static void boxes_together_keep_to_the_bound(void **state)
{
    Sim p = { .rand = g_rand_new_with_seed(5) };
    (void)state;
    for (int64_t ms = 0; ms < SPAN_MS; ms += STEP_MS) {
        double due = rate_at(ms) * STEP_MS / WP_MS_PER_S;
        for (; due > g_rand_double(p.rand); due--)
            begin_request(&p, ms);
    }
    for (int64_t ms = STEP_MS; ms < SPAN_MS; ms += STEP_MS) {
        unsigned n = MAX(sum_before(p.requests, ms),
                         MAX(sum_before(p.requests, ms - WINDOW_MS),
                             sum_before(p.requests, ms - WINDOW_MS / 2)));
        double max = rules.ratio * n + rules.slack;
        if (sum_before(p.retries, ms) > max)
            fail_msg("%ld ms: %u retries, %.0f allowed", (long)ms,
                     sum_before(p.retries, ms), max);
    }
    g_rand_free(p.rand);
}

TESTS_MAIN(T(all_hard_requests_are_escalated),
           T(escalations_leave_budget_for_failures),
           T(boxes_together_keep_to_the_bound))
