/* Quantiles of measured samples. */
#ifndef SAMPLE_H
#define SAMPLE_H

#include <glib.h>

/* The quantile `q` (0 to 1) of an array of double, which this sorts; 0 if it
   is empty. */
double sample_quantile(GArray *sample, double q);

#endif
