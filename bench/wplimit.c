/* wplimit: prints the results of limit_simulate() for 1 to 300 boxes, a row
 * for each number of boxes and each distribution of callers over them, then
 * for each fault. */
#include "limit_sim.h"

#include <stdio.h>
#include <stdlib.h>

static const char *const caller_names[] = { "even", "one box", "uneven",
                                            "one zone", "moving" };
static const char *const fault_names[] = { "calm", "kills", "all killed",
                                           "slow updates", "no updates" };

static const struct {
    unsigned boxes, endpoints, zones;
    double asked_per_s;
} sites[] = {
    { 1, 10, 1, 60 },      { 4, 10, 1, 60 },   { 12, 24, 1, 120 },
    { 12, 24, 3, 120 },    { 30, 60, 3, 400 }, { 100, 90, 3, 900 },
    { 300, 120, 3, 1500 },
};

static void print_row(size_t site, LimitCallers c, LimitFault t, double limited,
                      double per_s)
{
    const LimitPlan p = { .boxes = sites[site].boxes,
                          .endpoints = sites[site].endpoints,
                          .zones = sites[site].zones,
                          .limited_share = limited,
                          .limit_per_s = per_s,
                          .new_limit_per_s = -1,
                          .requests_per_s = sites[site].asked_per_s,
                          .callers = c,
                          .fault = t,
                          .seed = 1 };
    const LimitResult s = limit_simulate(&p);
    printf("%5u %4u %3u  %-9s %-12s %5.2f %5.1f %6u %7u %5u %6.2f %6.2f "
           "%6.3f\n",
           p.boxes, p.endpoints, p.zones, caller_names[c], fault_names[t],
           limited, per_s, s.max_in_window, limit_allowed_in_window(per_s),
           s.endpoints_over, s.utilization, s.min_utilization, s.served_share);
    fflush(stdout);
}

int main(int argc, char **argv)
{
    size_t last = argc > 1 ? (size_t)atoi(argv[1]) : WP_COUNT(sites);
    printf("boxes ends zones callers  fault        share limit    max allowed  "
           "over   used    min served\n");
    for (size_t i = 0; i < MIN(last, WP_COUNT(sites)); i++)
        for (LimitCallers c = 0; c < LIMIT_CALLERS_COUNT; c++) {
            print_row(i, c, LIMIT_NO_FAULT, 0.2, 2.2);
            print_row(i, c, LIMIT_NO_FAULT, 0.05, 0.4);
            print_row(i, c, LIMIT_NO_FAULT, 1, 3);
        }
    for (size_t i = 0; i < MIN(last, WP_COUNT(sites)); i++)
        for (LimitFault t = LIMIT_ROLLING_RESTARTS; t < LIMIT_FAULTS_COUNT; t++)
            print_row(i, LIMIT_EVEN, t, 1, 3);
    return 0;
}
