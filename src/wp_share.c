/* Shares by weight. */
#include "wp_share.h"

/* Smallest fractional part of an exact share that is not taken for a rounding
   error. */
#define FRACTION_MIN 1e-9

static double fraction_of(const WPShare *s, size_t n, double sum,
                          unsigned total, unsigned *units)
{
    double exact =
        sum > 0 ? total * s->weight / sum : (double)total / (double)n;
    *units = (unsigned)(exact + FRACTION_MIN);
    return MAX(exact - *units, 0);
}

unsigned wp_share_of(const WPShare *all, size_t n, size_t self, unsigned total,
                     uint64_t seed)
{
    double sum = 0, own_score = 0;
    unsigned own = 0, assigned = 0, preceding = 0;
    g_autofree double *score = g_new0(double, n);
    for (size_t i = 0; i < n; i++)
        sum += all[i].weight;
    for (size_t i = 0; i < n; i++) {
        unsigned units;
        double fraction = fraction_of(&all[i], n, sum, total, &units);
        assigned += units;
        WPStr key = wp_strn((const char *)&all[i].key, sizeof(all[i].key));
        score[i] =
            fraction > FRACTION_MIN ? wp_rendezvous(key, seed, fraction) : 0;
        if (i != self)
            continue;
        own = units;
        own_score = score[i];
    }
    for (size_t i = 0; i < n; i++)
        preceding += score[i] > own_score;
    bool gets_remainder =
        own_score > 0 && assigned < total && preceding < total - assigned;
    return own + gets_remainder;
}
