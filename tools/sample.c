/* Quantiles of measured samples. */
#include "sample.h"

static gint by_value(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return x < y ? -1 : x > y;
}

double sample_quantile(GArray *sample, double q)
{
    if (!sample->len)
        return 0;
    g_array_sort(sample, by_value);
    guint i = (guint)(q * sample->len);
    return g_array_index(sample, double, MIN(i, sample->len - 1));
}
