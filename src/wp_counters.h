/* Counters and logarithmic histograms of one process, exported in the
 * Prometheus text format. */
#ifndef WP_COUNTERS_H
#define WP_COUNTERS_H

#include "wp_base.h"

/* X(name, metric name, help) */
#define WP_COUNTER_LIST(X)                                                     \
    X(REQUESTS, "requests_total", "requests received")                         \
    X(ANSWERED, "answered_total", "requests answered completely")              \
    X(REFUSED, "refused_total", "requests refused")                            \
    X(FAILED, "failed_total", "requests that failed and may have run")         \
    X(RETRIES, "retries_total", "second and later attempts")                   \
    X(ESCALATIONS, "escalations_total", "cascade steps to a stronger version") \
    X(CALLERS_GONE, "callers_gone_total", "callers that disconnected early")   \
    X(BAD_INPUT, "bad_input_total", "malformed requests")                      \
    X(BAD_FRAMES, "bad_frames_total", "malformed frames, links closed")        \
    X(STARTS, "starts_total", "requests started at the endpoint")              \
    X(BILLS, "bills_total", "bills created")                                   \
    X(BILLS_SETTLED, "bills_settled_total",                                    \
      "bills confirmed written to the store")                                  \
    X(BILLS_TAKEN, "bills_taken_over_total", "bills of dead agents written")   \
    X(STORE_READS, "store_reads_total", "reads requested from the store")      \
    X(STORE_WRITES, "store_writes_total", "writes requested from the store")   \
    X(STORE_ERRORS, "store_errors_total", "store calls that failed")           \
    X(CONFIG_CHANGES, "config_changes_total", "configuration changes applied") \
    X(BAD_ENTRIES, "bad_entries_total",                                        \
      "store entries that are malformed or invalid")                           \
    X(GOSSIP_SENT, "gossip_sent_total", "messages to other boxes")             \
    X(GOSSIP_BYTES, "gossip_bytes_total", "bytes to other boxes")              \
    X(EJECTIONS, "ejections_total", "endpoints ejected")                       \
    X(EXPLORED, "explored_total", "requests sent to explore quality")          \
    X(SESSIONS_MOVED, "sessions_moved_total",                                  \
      "session turns moved as their version may no longer serve them")         \
    X(ROLLOUT_STEPS, "rollout_steps_total", "rollout changes written")         \
    X(STOPS, "automatic_stops_total", "versions withdrawn automatically")      \
    X(MOVE_RECORDS, "move_records_total",                                      \
      "records of the observations of a shift, written")                       \
    X(MOVE_WAITS, "move_waits_total",                                          \
      "times that the next stage of a shift waited for answers")               \
    X(ENDED_UNDER, "endpoints_ended_under_total",                              \
      "endpoint connections that ended during a request")                      \
    X(SUSPECTS_CLEARED, "suspects_cleared_total",                              \
      "suspect requests that completed")                                       \
    X(HELD, "requests_held_total",                                             \
      "requests held until a starting box had its routes")                     \
    X(CUT_UNREAD, "callers_cut_unread_total",                                  \
      "callers disconnected for not reading while too much was buffered")      \
    X(REPORTS, "usage_reports_total", "usage reports accepted")                \
    X(REPORTS_FAILED, "usage_reports_failed_total",                            \
      "calls with a usage report that was not accepted")                       \
    X(REPORTS_MISSED, "usage_windows_missed_total",                            \
      "usage windows that were not reported in time")                          \
    X(FAILS_LOADED, "fails_loaded_total",                                      \
      "versions found to fail on endpoints that are half full")

typedef enum WPCounter {
#define X(name, metric, help) WP_C_##name,
    WP_COUNTER_LIST(X)
#undef X
        WP_COUNTER_COUNT
} WPCounter;

/* Four buckets per power of two, from 1 us: successive edges differ by 19 % in
   the mean and by 25 % at most. */
enum { WP_HISTOGRAM_BUCKETS = 128 };

typedef struct WPHistogram {
    uint64_t bucket[WP_HISTOGRAM_BUCKETS];
    uint64_t count;
    double sum; /* microseconds */
} WPHistogram;

/* Adds one duration in microseconds. */
void wp_histogram_add(WPHistogram *h, int64_t us);

/* Returns the upper edge, in microseconds, of the bucket that holds quantile
   `q` (0 to 1); 0 if the histogram is empty. */
double wp_histogram_quantile(const WPHistogram *h, double q);

typedef struct WPCounters {
    uint64_t value[WP_COUNTER_COUNT];
    uint64_t codes[64]; /* final outcomes by WPCode */
    WPHistogram first_token, whole_answer, decision;
    WPHistogram longest_gap; /* longest time between two events of a stream, for
                                each stream */
} WPCounters;

static inline void wp_count(WPCounters *c, WPCounter which)
{
    c->value[which]++;
}

/* Appends all metrics to `out` in the Prometheus text format. `labels`, such as
   `box="e1"`, are added to each sample. */
void wp_counters_text(const WPCounters *c, const char *labels, GString *out);

#endif
