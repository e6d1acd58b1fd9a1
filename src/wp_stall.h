/* Probability that a stream stalls for too long while its engine prefills
 * prompts. Between two pieces of a prompt an engine makes one token of each
 * running stream, and an event holds several tokens: where long prompts follow
 * one another, all streams of the engine stall. For how long depends on the
 * engine; it is learned from streams that have ended. */
#ifndef WP_STALL_H
#define WP_STALL_H

#include "wp_base.h"

enum { WP_STALL_POINTS = 5 };

/* Streams by the points of a curve over prefill time, older ones with less
   weight: those that stalled for longer than the target, and all. */
typedef struct WPStallModel {
    double stalled[WP_STALL_POINTS], total[WP_STALL_POINTS];
} WPStallModel;

/* Begins with the values of engines whose events hold 15 tokens. */
void wp_stall_init(WPStallModel *p);

/* Adds a stream that ran while its engine was to prefill for `prefill_us` at
   one time. The longest time between two of its events was `gap_us`, with a
   target of `target_us`. */
void wp_stall_add(WPStallModel *p, double prefill_us, double target_us,
                  double gap_us);

/* Probability that a stream stalls for longer than `target_us` when its engine
   has to prefill for `prefill_us`. */
double wp_stall_probability(const WPStallModel *p, double prefill_us,
                            double target_us);

/* The latest amounts of prefill that an engine had to do at one time. */
enum { WP_PREFILL_PEAKS = 8 };

typedef struct WPPrefillPeaks {
    struct {
        int64_t at_us;
        double prefill_us;
    } entries[WP_PREFILL_PEAKS];
    unsigned next; /* index of the oldest */
} WPPrefillPeaks;

/* Records that an engine has to prefill for `prefill_us` now. */
void wp_prefill_peaks_add(WPPrefillPeaks *p, WPTime now, double prefill_us);

/* The highest amount since `since_us`; 0: none worth recording. */
double wp_prefill_peaks_max_since(const WPPrefillPeaks *p, int64_t since_us);

#endif
