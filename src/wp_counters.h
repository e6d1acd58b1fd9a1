/* Counters and logarithmic histograms of one process, exported in the
 * Prometheus text format. */
#ifndef WP_COUNTERS_H
#define WP_COUNTERS_H

#include "wp_base.h"

/* X(name, metric name, help) */
#define WP_COUNTER_LIST(X)                                                     \
    X(REQUESTS, "requests_total", "requests received")                         \
    X(ANSWERED, "answered_total", "requests answered whole")                   \
    X(REFUSED, "refused_total", "requests refused")                            \
    X(FAILED, "failed_total", "requests that failed after a start")            \
    X(RETRIES, "retries_total", "second and later attempts")                   \
    X(RETRIES_DENIED, "retries_denied_total",                                  \
      "retries that the budget did not allow")                                 \
    X(ESCALATIONS, "escalations_total", "cascade steps to a stronger version") \
    X(CALLERS_GONE, "callers_gone_total", "callers that left early")           \
    X(BAD_INPUT, "bad_input_total", "malformed requests")                      \
    X(BAD_FRAMES, "bad_frames_total", "malformed frames, links closed")        \
    X(STARTS, "starts_total", "requests started at the endpoint")              \
    X(BILLS, "bills_total", "bills made")                                      \
    X(BILLS_SETTLED, "bills_settled_total", "bills in the store")              \
    X(BILLS_TAKEN, "bills_taken_over_total", "bills of dead agents written")   \
    X(STORE_READS, "store_reads_total", "reads asked of the store")            \
    X(STORE_WRITES, "store_writes_total", "writes asked of the store")         \
    X(STORE_ERRORS, "store_errors_total", "store calls that failed")           \
    X(CONFIG_CHANGES, "config_changes_total", "changes taken")                 \
    X(BAD_ENTRIES, "bad_entries_total",                                        \
      "entries of the store that cannot be read or be true")                   \
    X(GOSSIP_SENT, "gossip_sent_total", "messages to other boxes")             \
    X(GOSSIP_BYTES, "gossip_bytes_total", "bytes to other boxes")              \
    X(EJECTIONS, "ejections_total", "endpoints set aside")                     \
    X(EXPLORED, "explored_total", "requests sent to learn quality")            \
    X(SESSIONS_MOVED, "sessions_moved_total",                                  \
      "turns of sessions whose version may not serve them any more")           \
    X(ROLLOUT_STEPS, "rollout_steps_total", "roll-out changes written")        \
    X(STOPS, "automatic_stops_total", "versions withdrawn automatically")      \
    X(MOVE_RECORDS, "move_records_total",                                      \
      "records of what was seen of a move, written")                           \
    X(MOVE_WAITS, "move_waits_total",                                          \
      "times that a move's next stage waited for answers")                     \
    X(ENDED_UNDER, "endpoints_ended_under_total",                              \
      "connections that ended under a request")                                \
    X(SUSPECTS_CLEARED, "suspects_cleared_total",                              \
      "requests in doubt that ended whole")                                    \
    X(HELD, "requests_held_total",                                             \
      "requests that waited for the routes of a box that starts")              \
    X(SLOT_WAITS, "slot_waits_total",                                          \
      "requests that waited for a slot of a full endpoint")                    \
    X(FIRST_BYTE_TIMEOUTS, "first_byte_timeouts_total",                        \
      "attempts given up as no first byte came in time")                       \
    X(CUT_UNREAD, "callers_cut_unread_total",                                  \
      "callers cut off as they read nothing while too much was held")          \
    X(GAVE_WAY, "connections_gave_way_total",                                  \
      "connections closed or refused as too many bytes were held")             \
    X(REPORTS, "usage_reports_total", "reports of usage that were taken")      \
    X(REPORTS_FAILED, "usage_reports_failed_total",                            \
      "calls with a report that was not taken")                                \
    X(REPORTS_MISSED, "usage_windows_missed_total",                            \
      "windows of usage that nobody was told of in time")                      \
    X(BAD_HEADS, "answers_bad_head_total",                                     \
      "answers of endpoints whose head is not valid HTTP")                     \
    X(BAD_BODIES, "answers_bad_body_total",                                    \
      "answers of endpoints whose body is not framed as HTTP")                 \
    X(BAD_EVENTS, "answers_bad_event_total",                                   \
      "streams of endpoints whose events do not follow each other")            \
    X(BAD_RESUMPTIONS, "answers_bad_resumption_total",                         \
      "answers that cannot resume the stream that they were to resume")        \
    X(FAILS_LOADED, "fails_loaded_total",                                      \
      "versions found to fail on half-full endpoints")

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

/* The counter's name among the metrics. */
const char *wp_counter_name(WPCounter which);

/* Appends all metrics to `out` in the Prometheus text format. `labels`, such as
   `box="e1"`, are added to each sample. */
void wp_counters_text(const WPCounters *c, const char *labels, GString *out);

#endif
