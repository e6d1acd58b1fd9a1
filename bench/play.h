/* What plays in virtual time share. */
#ifndef PLAY_H
#define PLAY_H

#include <glib.h>
#include <math.h>

/* How many of the events come that come so often on average. */
static inline unsigned play_poisson(GRand *r, double mean)
{
    double limit = exp(-mean), product = g_rand_double(r);
    unsigned n = 0;
    for (; product > limit; n++)
        product *= g_rand_double(r);
    return n;
}

#endif
