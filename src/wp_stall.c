/* Streams that stall. */
#include "wp_stall.h"

/* Shorter prefill causes no stall worth recording. */
#define PEAK_MIN_US (200 * WP_US_PER_MS)

/* The points of the curve: prefill time as a part of the target of the longest
   time between events. Below the first point no stream stalls for too long. */
static const double point_at[WP_STALL_POINTS] = { 0.6, 0.9, 1.2, 1.6, 2.4 };

/* Probabilities before any stream has been seen, with the weight of
   FIRST_WEIGHT streams: of engines that make 15 steps to an event, with a piece
   of a prompt between each two. */
static const double first_probability[WP_STALL_POINTS] = { 0, 0.2, 0.5, 0.8,
                                                           1 };
#define FIRST_WEIGHT 3.0

/* Factor on the weight of older streams with each new one. */
#define DECAY 0.97

void wp_stall_init(WPStallModel *p)
{
    for (unsigned i = 0; i < WP_STALL_POINTS; i++) {
        p->total[i] = FIRST_WEIGHT;
        p->stalled[i] = FIRST_WEIGHT * first_probability[i];
    }
}

void wp_stall_add(WPStallModel *p, double prefill_us, double target_us,
                  double gap_us)
{
    unsigned i = WP_STALL_POINTS;
    while (i > 0 && prefill_us < point_at[i - 1] * target_us)
        i--;
    if (!i || target_us <= 0)
        return;
    p->stalled[i - 1] = p->stalled[i - 1] * DECAY + (gap_us > target_us);
    p->total[i - 1] = p->total[i - 1] * DECAY + 1;
}

static double probability_at(const WPStallModel *p, unsigned point)
{
    return p->stalled[point] / p->total[point];
}

double wp_stall_probability(const WPStallModel *p, double prefill_us,
                            double target_us)
{
    double ratio = target_us > 0 ? prefill_us / target_us : 0;
    if (ratio < point_at[0])
        return 0;
    for (unsigned i = 1; i < WP_STALL_POINTS; i++) {
        if (ratio >= point_at[i])
            continue;
        double fraction =
            (ratio - point_at[i - 1]) / (point_at[i] - point_at[i - 1]);
        return probability_at(p, i - 1) * (1 - fraction) +
               probability_at(p, i) * fraction;
    }
    return probability_at(p, WP_STALL_POINTS - 1);
}

void wp_prefill_peaks_add(WPPrefillPeaks *p, WPTime now, double prefill_us)
{
    if (prefill_us < PEAK_MIN_US)
        return;
    p->entries[p->next].at_us = now.mono_us;
    p->entries[p->next].prefill_us = prefill_us;
    p->next = (p->next + 1) % WP_PREFILL_PEAKS;
}

double wp_prefill_peaks_max_since(const WPPrefillPeaks *p, int64_t since_us)
{
    double max_us = 0;
    for (unsigned i = 0; i < WP_PREFILL_PEAKS; i++)
        if (p->entries[i].at_us >= since_us)
            max_us = MAX(max_us, p->entries[i].prefill_us);
    return max_us;
}
