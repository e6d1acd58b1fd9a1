/* Prints how often slower versions are found within the time of an order, and
 * how often good ones are taken for slower ones or held back. */
#include "power_sim.h"

#include <stdio.h>

enum { PLAYS = 200 };

static const double slowdowns[] = { 2.5, 3, 4, 8 };
static const double shares[] = { 0.15, 0.3, 0.5, 1 };

static void print_row(const PowerSite *site, const PowerVersion *v,
                      double seconds)
{
    GRand *rand = g_rand_new_with_seed(1);
    unsigned bad = 0, held = 0, answers = 0;
    for (unsigned i = 0; i < PLAYS; i++) {
        PowerResult r = power_play(site, v, seconds, rand);
        bad += r.bad;
        held += !r.bad && r.in_doubt;
        answers += r.answers;
    }
    printf("| %u | %.0f | %.2f | %.1f | %.2f | %u | %u | %u | %.0f |\n",
           site->boxes, site->rate, site->deviation, v->slowdown, v->share,
           bad * 100 / PLAYS, held * 100 / PLAYS,
           (PLAYS - bad - held) * 100 / PLAYS, (double)answers / PLAYS);
    g_rand_free(rand);
}

int main(void)
{
    static const PowerSite sites[] = { { 3, 36, 0.04, 0.5, 3 },
                                       { 3, 100, 0.04, 0.15, 3 },
                                       { 16, 100, 0.04, 0.15, 3 },
                                       { 60, 400, 0.04, 0.15, 3 } };
    static const double seconds = 10;
    printf("| boxes | requests/s | deviation | times as slow | share | found, "
           "%% | held back, %% | completed, %% | answers |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (size_t s = 0; s < WP_COUNT(sites); s++) {
        print_row(&sites[s], &(PowerVersion){ 1, 1 }, seconds);
        for (size_t x = 0; x < WP_COUNT(slowdowns); x++)
            for (size_t p = 0; p < WP_COUNT(shares); p++)
                print_row(&sites[s], &(PowerVersion){ slowdowns[x], shares[p] },
                          seconds);
    }
    return 0;
}
