/* Shares by weight. */
#include "wp_share.h"

/* What is left of an exact share after its whole ones, if not by rounding. */
#define PART_LEAST 1e-9

static double fraction_of(const WPShare *s, size_t n, double sum, unsigned part,
                          unsigned *whole)
{
    double exact = sum > 0 ? part * s->weight / sum : (double)part / (double)n;
    *whole = (unsigned)(exact + PART_LEAST);
    return MAX(exact - *whole, 0);
}

unsigned wp_share_of(const WPShare *all, size_t n, size_t self, unsigned part,
                     uint64_t seed)
{
    double sum = 0, own_score = 0;
    unsigned own = 0, given = 0, before = 0;
    g_autofree double *score = g_new0(double, n);
    for (size_t i = 0; i < n; i++)
        sum += all[i].weight;
    for (size_t i = 0; i < n; i++) {
        unsigned whole;
        double rest = fraction_of(&all[i], n, sum, part, &whole);
        given += whole;
        WPStr key = wp_strn((const char *)&all[i].key, sizeof(all[i].key));
        score[i] = rest > PART_LEAST ? wp_rendezvous(key, seed, rest) : 0;
        if (i != self)
            continue;
        own = whole;
        own_score = score[i];
    }
    for (size_t i = 0; i < n; i++)
        before += score[i] > own_score;
    bool gets_one = own_score > 0 && given < part && before < part - given;
    return own + gets_one;
}
