/* Usage: the requests of each workspace that began to run at endpoints, counted
 * by windows of the time of day. Each process counts its own; boxes send each
 * other their counts, so that any box that receives those of the others can
 * report the sum, and the counts of a process survive its end.
 *
 * A count only grows, and the highest value received is kept, so updates may be
 * lost, repeated or late. */
#ifndef WP_USAGE_H
#define WP_USAGE_H

#include "wp_base.h"

typedef struct WPUsage WPUsage;

/* `incarnation`: a number of this run of the process, different from all
   others'. Counts are kept for `keep_ms` after the end of their window. */
WPUsage *wp_usage_new(uint64_t incarnation, uint32_t window_ms,
                      uint32_t keep_ms);
void wp_usage_free(WPUsage *u);

/* Starts the usage clock, by which windows are counted: the time of day when
   the process started, advanced by the monotonic clock and corrected by the
   median of the other boxes' clocks. Guards against machines whose time of day
   jumps. */
void wp_usage_start_clock(WPUsage *u, WPTime now);

/* Returns the usage clock in Unix ms at the monotonic time `mono_us`. */
int64_t wp_usage_clock_ms(const WPUsage *u, int64_t mono_us);

/* Returns the usage clock without the correction by the other boxes' clocks, as
   it is sent to the other boxes. */
int64_t wp_usage_local_clock_ms(const WPUsage *u, int64_t mono_us);

/* Takes in the clock that another box has just sent; `box`: hash of its id. */
void wp_usage_observe_clock(WPUsage *u, WPTime now, uint64_t box,
                            int64_t clock_ms);

/* The window of this time of the usage clock. */
uint64_t wp_usage_window(const WPUsage *u, int64_t clock_ms);

/* Counts a request of the workspace that began to run at an endpoint. */
void wp_usage_count_request(WPUsage *u, int64_t mono_us, const char *workspace);

/* A count as boxes send it. */
typedef struct WPUsageCount {
    uint64_t incarnation, window;
    const char *workspace;
    uint32_t count;
    bool remote_zone; /* it comes from another zone */
} WPUsageCount;

typedef void (*WPUsageFn)(void *arg, const WPUsageCount *c);

/* Merges a count of another box; returns whether that changed anything. */
bool wp_usage_merge(WPUsage *u, const WPUsageCount *c);

/* Calls `fn` for each count that was not sent since it last grew, and marks all
   as sent. Counts of a window and process follow each other. */
void wp_usage_take_unsent(WPUsage *u, WPUsageFn fn, void *arg);

/* Whether some count was not sent since it last grew. */
bool wp_usage_has_unsent(const WPUsage *u);

/* Marks all counts as not sent, as the box that has received them may be
   gone. */
void wp_usage_mark_all_unsent(WPUsage *u);

/* Calls `fn` with the sum of each workspace in a window, sorted by name; the
   other fields are not set. */
void wp_usage_each_sum(const WPUsage *u, uint64_t window, WPUsageFn fn,
                       void *arg);

/* Removes windows that ended more than `keep_ms` ago. */
void wp_usage_tick(WPUsage *u, WPTime now);

/* How many rows are kept: one for each process and window. */
unsigned wp_usage_rows(const WPUsage *u);

#endif
