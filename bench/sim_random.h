/* Random numbers for simulations in virtual time. */
#ifndef SIM_RANDOM_H
#define SIM_RANDOM_H

#include <glib.h>
#include <math.h>

/* A Poisson-distributed number of events with this mean. */
static inline unsigned sim_poisson(GRand *r, double mean)
{
    double limit = exp(-mean), product = g_rand_double(r);
    unsigned n = 0;
    for (; product > limit; n++)
        product *= g_rand_double(r);
    return n;
}

#endif
