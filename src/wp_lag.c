/* Revisions that other boxes have and this one lacks. */
#include "wp_lag.h"

/* Where several boxes start together, the copies that all of them ask for would
   fill the links, so the wait grows with the number of entries; but where all
   boxes start, the store's own link is full, which longer waits make worse. */
#define START_US_PER_ENTRY 800
#define START_MAX_MS 700

void wp_lag_record_remote(WPLag *l, WPTime now, uint64_t revision)
{
    if (l->n && l->marks[l->n - 1].revision >= revision)
        return;
    /* The last mark keeps its time, so that the lag is never reported too
       short. */
    if (l->n == WP_LAG_MARKS_MAX)
        l->marks[l->n - 1].revision = revision;
    else
        l->marks[l->n++] = (WPLagMark){ revision, now.mono_us };
}

void wp_lag_record_local(WPLag *l, uint64_t revision)
{
    unsigned arrived = 0;
    while (arrived < l->n && l->marks[arrived].revision <= revision)
        arrived++;
    l->n -= arrived;
    memmove(l->marks, l->marks + arrived, l->n * sizeof(*l->marks));
}

uint64_t wp_lag_highest_missing(const WPLag *l)
{
    return l->n ? l->marks[l->n - 1].revision : 0;
}

int64_t wp_lag_ms(const WPLag *l, WPTime now)
{
    if (!l->n)
        return 0;
    return MAX((now.mono_us - l->marks[0].first_seen_us) / WP_US_PER_MS, 1);
}

uint32_t wp_lag_initial_pull_wait_ms(uint32_t entries)
{
    uint64_t ms = (uint64_t)entries * START_US_PER_ENTRY / WP_US_PER_MS;
    return (uint32_t)MIN(ms, START_MAX_MS);
}
