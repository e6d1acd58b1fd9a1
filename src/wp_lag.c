/* Marks of revisions that others know. */
#include "wp_lag.h"

/* Where boxes start together the copies that all ask for would fill the links;
   but where all of them start, the store's own link is full, and longer waits
   make it worse. */
#define START_US_EACH 800
#define START_MOST_MS 700

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

uint32_t wp_lag_start_ms(uint32_t entries)
{
    uint64_t ms = (uint64_t)entries * START_US_EACH / WP_US_PER_MS;
    return (uint32_t)MIN(ms, START_MOST_MS);
}
