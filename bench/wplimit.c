/* Endpoints that name a limit, before 1 to 300 boxes: a row for each number of
 * boxes and each way that callers are spread over them. */
#include "limit_play.h"

#include <stdio.h>
#include <stdlib.h>

static const char *const callers[] = { "even", "one box", "uneven", "one zone",
                                       "moving" };
static const char *const troubles[] = { "calm", "kills", "all killed",
                                        "late news", "no news" };

static const struct {
    unsigned boxes, endpoints, zones;
    double asked_per_s;
} sites[] = {
    { 1, 10, 1, 60 },      { 4, 10, 1, 60 },   { 12, 24, 1, 120 },
    { 12, 24, 3, 120 },    { 30, 60, 3, 400 }, { 100, 90, 3, 900 },
    { 300, 120, 3, 1500 },
};

static void print_row(size_t site, LimitCallers c, LimitTrouble t,
                      double limited, double per_s)
{
    const LimitPlan p = { .boxes = sites[site].boxes,
                          .endpoints = sites[site].endpoints,
                          .zones = sites[site].zones,
                          .limited = limited,
                          .per_s = per_s,
                          .then_per_s = -1,
                          .asked_per_s = sites[site].asked_per_s,
                          .callers = c,
                          .trouble = t,
                          .seed = 1 };
    const LimitSums s = limit_play(&p);
    printf("%5u %4u %3u  %-9s %-10s %5.2f %5.1f %6u %7u %5u %6.2f %6.2f "
           "%6.3f\n",
           p.boxes, p.endpoints, p.zones, callers[c], troubles[t], limited,
           per_s, s.most, limit_allowed(per_s), s.over, s.used, s.used_least,
           s.served);
    fflush(stdout);
}

int main(int argc, char **argv)
{
    size_t last = argc > 1 ? (size_t)atoi(argv[1]) : WP_COUNT(sites);
    printf("boxes ends zones callers  trouble    share limit   most allowed  "
           "over   used  least served\n");
    for (size_t i = 0; i < MIN(last, WP_COUNT(sites)); i++)
        for (LimitCallers c = 0; c < LIMIT_CALLERS_COUNT; c++) {
            print_row(i, c, LIMIT_CALM, 0.2, 2.2);
            print_row(i, c, LIMIT_CALM, 0.05, 0.4);
            print_row(i, c, LIMIT_CALM, 1, 3);
        }
    for (size_t i = 0; i < MIN(last, WP_COUNT(sites)); i++)
        for (LimitTrouble t = LIMIT_KILLS; t < LIMIT_TROUBLES_COUNT; t++)
            print_row(i, LIMIT_EVEN, t, 1, 3);
    return 0;
}
