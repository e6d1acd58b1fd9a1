/* Ways of pacing requests to cold endpoints, side by side; a row for each
 * number of boxes and each view that they have of each other. */
#include "pace_play.h"

#include <stdio.h>

static const char *const view_names[] = { "all known", "a third lacks",
                                          "halves", "a tenth new" };

static void print_row(unsigned boxes, unsigned endpoints, PaceView view,
                      const PaceWay *way)
{
    PacePlan plan = { .boxes = boxes,
                      .endpoints = endpoints,
                      .seed = 1,
                      .view = view,
                      .herd = true,
                      .rules = { 18, 1.5, 5 },
                      .per_endpoint = 7.7 };
    PaceSums s = pace_play(&plan, way);
    plan.herd = false;
    PaceSums even = pace_play(&plan, way);
    printf("%5u %5u  %-14s %-7s %6u %6u %6.1f %7ld %9.2f\n", boxes, endpoints,
           view_names[view], way->name, s.most, even.most, even.mean,
           (long)even.carries_ms, even.elsewhere);
}

int main(void)
{
    static const unsigned sizes[][2] = {
        { 3, 12 }, { 21, 40 }, { 100, 500 }, { 300, 600 }
    };
    const PaceWay *const ways[] = { &pace_none, &pace_shares, &pace_owners };
    printf("bound 32 a second; most: boxes prefer the same endpoints, any\n"
           "boxes  ends  view           way       most   most   mean "
           "carries elsewhere\n");
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (PaceView v = PACE_ALL_KNOWN; v <= PACE_NEW_BOXES; v++)
            for (size_t k = 0; k < WP_COUNT(ways); k++)
                print_row(sizes[i][0], sizes[i][1], v, ways[k]);
    return 0;
}
