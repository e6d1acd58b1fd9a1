/* Quantiles of measured samples. */
#ifndef SAMPLE_H
#define SAMPLE_H

#include <glib.h>

/* Of an array of double, which it sorts; 0 when empty. */
double sample_quantile(GArray *sample, double q);

#endif
