/* Likelihoods of a slower version. */
#include "wp_speed.h"

#include <math.h>

enum {
    BINS_PER_OCTAVE = 8,
    USUAL_BIN = 11, /* of the ratio one */
    KERNEL_REACH = 2
};

/* A slower version: this share of its answers takes 2^(shift / BINS_PER_OCTAVE)
   times the usual time. The kernel leaves no bin between two shifts empty, or
   times there fit none. */
typedef struct Hypothesis {
    double share;
    int shift;
} Hypothesis;

static const Hypothesis slower[] = {
    { 0.15, 10 }, { 0.15, 12 }, { 0.15, 17 }, { 0.15, 24 }, { 0.3, 10 },
    { 0.3, 12 },  { 0.3, 17 },  { 0.3, 24 },  { 0.5, 10 },  { 0.5, 12 },
    { 0.5, 17 },  { 0.5, 24 },  { 1, 3 },     { 1, 4 },     { 1, 6 },
    { 1, 8 },     { 1, 10 },    { 1, 12 },    { 1, 17 },    { 1, 24 }
};

/* The loss of one hypothesis counts up to this: an answer this much slower is
   as useless as a slower one. */
#define LOSS_MAX 3.0

/* Answers of the old version are spread over neighboring bins, as few are
   known. */
static const double kernel[] = { 0.1, 0.2, 0.4, 0.2, 0.1 };

/* The share of answers of any version whose time shows nothing. It bounds the
   weight of a single answer. */
#define OUTLIERS 0.1

#define LOG_RATIO_MAX 300.0 /* its exponential is finite */

/* Bounds of the load classes, in running requests. */
static const double load_bounds[WP_SPEED_LOADS - 1] = { 2,  4,  6,  8, 12,
                                                        16, 24, 32, 64 };

static unsigned bin_of(double ratio)
{
    double bin = USUAL_BIN + round(BINS_PER_OCTAVE * log2(ratio));
    return (unsigned)CLAMP(bin, 0, WP_SPEED_BINS - 1);
}

void wp_speed_record(WPSpeedCounts *v, double ratio)
{
    v->n[bin_of(ratio)]++;
}

void wp_speed_add(WPSpeedCounts *to, const WPSpeedCounts *v)
{
    for (unsigned i = 0; i < WP_SPEED_BINS; i++)
        to->n[i] += v->n[i];
}

uint32_t wp_speed_total(const WPSpeedCounts *v)
{
    uint32_t sum = 0;
    for (unsigned i = 0; i < WP_SPEED_BINS; i++)
        sum += v->n[i];
    return sum;
}

/* Adds `weight` in bin `at`; beyond the ends, in the first or last bin. */
static void spread(double density[WP_SPEED_BINS], int at, double weight)
{
    density[CLAMP(at, 0, WP_SPEED_BINS - 1)] += weight;
}

/* The density of the old version's ratios. */
static void old_density(const WPSpeedCounts *old, double out[WP_SPEED_BINS])
{
    double total = wp_speed_total(old);
    memset(out, 0, WP_SPEED_BINS * sizeof(out[0]));
    for (int i = 0; i < WP_SPEED_BINS; i++)
        for (int k = -KERNEL_REACH; k <= KERNEL_REACH; k++)
            spread(out, i + k, kernel[k + KERNEL_REACH] * old->n[i] / total);
}

/* The density if the hypothesis holds. */
static void shifted_density(const double usual[WP_SPEED_BINS],
                            const Hypothesis *h, double out[WP_SPEED_BINS])
{
    memset(out, 0, WP_SPEED_BINS * sizeof(out[0]));
    for (int i = 0; i < WP_SPEED_BINS; i++) {
        spread(out, i, (1 - h->share) * usual[i]);
        spread(out, i + h->shift, h->share * usual[i]);
    }
}

/* Log likelihood of the answers, some of which show nothing. */
static double log_likelihood(const WPSpeedCounts *v,
                             const double density[WP_SPEED_BINS])
{
    double sum = 0;
    for (unsigned i = 0; i < WP_SPEED_BINS; i++)
        if (v->n[i])
            sum += v->n[i] *
                   log((1 - OUTLIERS) * density[i] + OUTLIERS / WP_SPEED_BINS);
    return sum;
}

/* Log likelihood of the answers of a version that is as fast as the old one, or
   faster: its endpoints may be less loaded. */
static double good_log_likelihood(const WPSpeedCounts *v,
                                  const double usual[WP_SPEED_BINS])
{
    double best = log_likelihood(v, usual), density[WP_SPEED_BINS];
    for (int shift = 1; shift <= BINS_PER_OCTAVE; shift++) {
        const Hypothesis faster = { 1, -shift };
        shifted_density(usual, &faster, density);
        best = MAX(best, log_likelihood(v, density));
    }
    return best;
}

static double loss_of(const Hypothesis *h)
{
    double slowdown = exp2((double)h->shift / BINS_PER_OCTAVE);
    return MIN(h->share * (slowdown - 1), LOSS_MAX);
}

WPSpeedEvidence wp_speed_compare(const WPSpeedCounts *v,
                                 const WPSpeedCounts *old)
{
    double usual[WP_SPEED_BINS], density[WP_SPEED_BINS];
    WPSpeedEvidence e = { .known = wp_speed_total(old) >= WP_SPEED_MIN_OLD };
    if (!e.known)
        return e;
    old_density(old, usual);
    double as_fast = good_log_likelihood(v, usual), odds = 0, loss = 0;
    for (unsigned i = 0; i < WP_COUNT(slower); i++) {
        shifted_density(usual, &slower[i], density);
        double log_ratio = log_likelihood(v, density) - as_fast;
        e.best_log_odds = i ? MAX(e.best_log_odds, log_ratio) : log_ratio;
        double ratio = exp(MIN(log_ratio, LOG_RATIO_MAX)) / WP_COUNT(slower);
        odds += ratio;
        loss += ratio * loss_of(&slower[i]);
    }
    e.log_odds = log(odds);
    e.expected_loss = loss / (1 + odds);
    return e;
}

unsigned wp_speed_load_class(double running)
{
    unsigned i = 0;
    while (i < WP_SPEED_LOADS - 1 && running >= load_bounds[i])
        i++;
    return i;
}
