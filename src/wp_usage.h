/* Usage: the requests of each workspace that began to run at endpoints, by
 * windows of the time of day. Each process counts its own; boxes tell each
 * other their counts, so that any of those that pass news on can report the
 * sum, and what a process has counted outlasts it.
 *
 * A count only grows, and the highest that was told holds: news may be lost,
 * repeated and late. */
#ifndef WP_USAGE_H
#define WP_USAGE_H

#include "wp_base.h"

typedef struct WPUsage WPUsage;

/* `life` names this run of the process; counts are kept for `keep_ms` after
   their window's end. */
WPUsage *wp_usage_new(uint64_t life, uint32_t window_ms, uint32_t keep_ms);
void wp_usage_free(WPUsage *u);

/* Windows are of one clock: the time of day when the process started, carried
   on by the monotonic clock, and set by the median of what other boxes tell of
   theirs. Guards against machines whose time of day jumps. */
void wp_usage_start_clock(WPUsage *u, WPTime now);
int64_t wp_usage_clock_ms(const WPUsage *u, int64_t mono_us);

/* What others are told: without that median. */
int64_t wp_usage_own_clock_ms(const WPUsage *u, int64_t mono_us);
void wp_usage_hear_clock(WPUsage *u, WPTime now, uint64_t box,
                         int64_t clock_ms);

uint64_t wp_usage_window(const WPUsage *u, int64_t clock_ms);

/* A request of the workspace began to run at an endpoint. */
void wp_usage_note(WPUsage *u, int64_t mono_us, const char *workspace);

/* A count as boxes tell it. */
typedef struct WPUsageCount {
    uint64_t life, window;
    const char *workspace;
    uint32_t count;
    bool far; /* comes from another zone */
} WPUsageCount;

typedef void (*WPUsageFn)(void *arg, const WPUsageCount *c);

/* Takes what another box tells; returns whether it is new. */
bool wp_usage_hear(WPUsage *u, const WPUsageCount *c);

/* Calls `fn` for each count that was not told since it last grew; all count as
   told. In the order of rows. */
void wp_usage_tell(WPUsage *u, WPUsageFn fn, void *arg);
bool wp_usage_any_untold(const WPUsage *u);

/* All is to be told again, as whom it was told may be gone. */
void wp_usage_tell_all(WPUsage *u);

/* A window's sums by workspace, by name; lives during the call. */
void wp_usage_each_sum(const WPUsage *u, uint64_t window, WPUsageFn fn,
                       void *arg);

/* Forgets windows that are over for long. */
void wp_usage_tick(WPUsage *u, WPTime now);

/* Rows that are kept: of processes and windows. */
unsigned wp_usage_rows(const WPUsage *u);

#endif
