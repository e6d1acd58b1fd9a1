/* Marks of revisions that others know. */
#include "wp_lag.h"

void wp_lag_hear(WPLag *l, WPTime now, uint64_t revision)
{
    if (l->n && l->marks[l->n - 1].revision >= revision)
        return;
    /* The time of the last mark is kept: the lag is never told too short. */
    if (l->n == WP_LAG_MOST)
        l->marks[l->n - 1].revision = revision;
    else
        l->marks[l->n++] = (WPLagMark){ revision, now.mono_us };
}

void wp_lag_known(WPLag *l, uint64_t revision)
{
    unsigned gone = 0;
    while (gone < l->n && l->marks[gone].revision <= revision)
        gone++;
    l->n -= gone;
    memmove(l->marks, l->marks + gone, l->n * sizeof(*l->marks));
}

uint64_t wp_lag_highest(const WPLag *l)
{
    return l->n ? l->marks[l->n - 1].revision : 0;
}

int64_t wp_lag_ms(const WPLag *l, WPTime now)
{
    if (!l->n)
        return 0;
    return MAX((now.mono_us - l->marks[0].heard_us) / WP_US_PER_MS, 1);
}
