/* wppace: compares policies of pacing requests to cold endpoints, a row for
 * each number of boxes, each view that boxes have of each other and each
 * policy. */
#include "pace_sim.h"

#include <stdio.h>

static const char *const view_names[] = { "all known", "third missing",
                                          "halves", "a tenth new" };

static void print_row(unsigned boxes, unsigned endpoints, PaceView view,
                      const PacePolicy *policy)
{
    PacePlan plan = { .boxes = boxes,
                      .endpoints = endpoints,
                      .seed = 1,
                      .view = view,
                      .same_order = true,
                      .rules = { 18, 1.5, 5 },
                      .endpoint_rate = 7.7 };
    PaceResult s = pace_simulate(&plan, policy);
    plan.same_order = false;
    PaceResult any_order = pace_simulate(&plan, policy);
    printf("%5u %5u  %-14s %-7s %6u %6u %6.1f %7ld %9.2f\n", boxes, endpoints,
           view_names[view], policy->name, s.max_in_second,
           any_order.max_in_second, any_order.mean_per_s,
           (long)any_order.recovery_ms, any_order.remote_share);
}

int main(void)
{
    static const unsigned sizes[][2] = {
        { 3, 12 }, { 21, 40 }, { 100, 500 }, { 300, 600 }
    };
    const PacePolicy *const policies[] = { &pace_policy_unlimited,
                                           &pace_policy_even_share,
                                           &pace_policy_quota };
    printf("limit 32 per second; max: all boxes in the same order, any order\n"
           "boxes  ends  view           policy     max    max   mean "
           "recover    remote\n");
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (PaceView v = PACE_ALL_KNOWN; v <= PACE_NEW_BOXES; v++)
            for (size_t k = 0; k < WP_COUNT(policies); k++)
                print_row(sizes[i][0], sizes[i][1], v, policies[k]);
    return 0;
}
