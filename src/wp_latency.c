/* Time to first byte predicted by least squares; quartiles. */
#include "wp_latency.h"

#include <math.h>
#include <stdlib.h>

enum {
    MIN_SAMPLES = 20, /* answers before predictions are made */
    FIT_INTERVAL = 8, /* answers between two fits */
    /* While there are fewer answers, each answer leads to a new fit. */
    FIT_EACH_BELOW = 100
};

/* Factor by which the weight of older answers decays with each new one: an
   effective window of some two hundred answers. */
#define DECAY 0.995

/* Units that make the inputs of the order of one. */
#define UNIT_TOKENS 10000.0
#define UNIT_LOAD 10.0
#define UNIT_QUEUED_US 1e6

/* Ridge term added to the sums of squares: inputs that have not varied get no
   slope. */
#define RIDGE 1e-3

enum { EARLY_MIN = 2 }; /* values from which on there is a middle of few */

/* Lower bound of predictions, as a fraction of the mean. */
#define MIN_FRACTION 0.1

enum { PREFILL, ATTENTION, LOAD, QUEUED, WAITING };

static void inputs_of(const WPTtfbInputs *in, double x[WP_TTFB_INPUTS])
{
    double uncached = in->uncached_tokens / UNIT_TOKENS;
    double prompt = in->prompt_tokens / UNIT_TOKENS;
    x[PREFILL] = uncached;
    /* Each prefilled token attends to all tokens before it. */
    x[ATTENTION] = uncached * (prompt - uncached / 2);
    x[LOAD] = in->load / UNIT_LOAD;
    x[QUEUED] = in->queued_prefill_us / UNIT_QUEUED_US;
    x[WAITING] = in->waiting / UNIT_LOAD;
}

/* Solves the normal equations for the inputs in use by elimination; the ridge
   term makes the matrix positive definite. */
static void solve(const WPTtfbModel *s, const bool used[WP_TTFB_INPUTS],
                  double slope[WP_TTFB_INPUTS])
{
    double m[WP_TTFB_INPUTS][WP_TTFB_INPUTS + 1];
    unsigned at[WP_TTFB_INPUTS] = { 0 }, n = 0;
    for (unsigned i = 0; i < WP_TTFB_INPUTS; i++) {
        slope[i] = 0;
        if (used[i])
            at[n++] = i;
    }
    for (unsigned i = 0; i < n; i++) {
        unsigned a = at[i];
        for (unsigned k = 0; k < n; k++)
            m[i][k] = s->xx[a][at[k]] - s->x[a] * s->x[at[k]] / s->n;
        m[i][i] += RIDGE;
        m[i][n] = s->xy[a] - s->x[a] * s->y / s->n;
    }
    for (unsigned i = 0; i < n; i++)
        for (unsigned r = i + 1; r < n; r++) {
            double f = m[r][i] / m[i][i];
            for (unsigned k = i; k <= n; k++)
                m[r][k] -= f * m[i][k];
        }
    for (unsigned i = n; i-- > 0;) {
        double v = m[i][n];
        for (unsigned k = i + 1; k < n; k++)
            v -= m[i][k] * slope[at[k]];
        slope[at[i]] = v / m[i][i];
    }
}

/* More work never makes an answer faster: an input whose slope comes out
   negative, by chance, is left out. */
static void fit(WPTtfbModel *s)
{
    bool used[WP_TTFB_INPUTS] = { true, true, true, true, true };
    for (;;) {
        unsigned worst = 0;
        solve(s, used, s->slope);
        for (unsigned i = 1; i < WP_TTFB_INPUTS; i++)
            if (s->slope[i] < s->slope[worst])
                worst = i;
        if (s->slope[worst] >= 0)
            break;
        used[worst] = false;
    }
    s->samples_at_fit = s->samples;
}

static double slowdown_of(const WPTtfbInputs *in)
{
    return in->slowdown > 0 ? in->slowdown : 1;
}

void wp_ttfb_add(WPTtfbModel *s, const WPTtfbInputs *in, int64_t took_us)
{
    double x[WP_TTFB_INPUTS], y = (double)took_us / slowdown_of(in);
    inputs_of(in, x);
    s->n = s->n * DECAY + 1;
    s->y = s->y * DECAY + y;
    for (unsigned i = 0; i < WP_TTFB_INPUTS; i++) {
        s->x[i] = s->x[i] * DECAY + x[i];
        s->xy[i] = s->xy[i] * DECAY + x[i] * y;
        for (unsigned k = 0; k < WP_TTFB_INPUTS; k++)
            s->xx[i][k] = s->xx[i][k] * DECAY + x[i] * x[k];
    }
    s->samples++;
    if (s->samples < FIT_EACH_BELOW ||
        s->samples - s->samples_at_fit >= FIT_INTERVAL)
        fit(s);
}

double wp_ttfb_predict(WPTtfbModel *s, const WPTtfbInputs *in)
{
    double x[WP_TTFB_INPUTS];
    if (s->samples < MIN_SAMPLES)
        return 0;
    double mean = s->y / s->n, us = mean;
    inputs_of(in, x);
    for (unsigned i = 0; i < WP_TTFB_INPUTS; i++)
        us += s->slope[i] * (x[i] - s->x[i] / s->n);
    return slowdown_of(in) * MAX(us, MIN_FRACTION * mean);
}

double wp_ttfb_predict_prefill(WPTtfbModel *s, const WPTtfbInputs *in)
{
    double x[WP_TTFB_INPUTS];
    inputs_of(in, x);
    return slowdown_of(in) * (s->slope[PREFILL] * x[PREFILL] +
                              s->slope[ATTENTION] * x[ATTENTION]);
}

/* Fractions of the values below the two quartiles, and the relative step by
   which an estimate moves. */
#define LOWER_SHARE 0.25
#define UPPER_SHARE 0.75
#define QUARTILE_STEP 0.06

static int by_value(const void *a, const void *b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Moves a quantile estimate so that in the long run this share of the values
   is below it. */
static void move_estimate(double *bound_us, double share, double us)
{
    *bound_us *= exp(QUARTILE_STEP * (us <= *bound_us ? share - 1 : share));
}

void wp_quartiles_add(WPQuartiles *u, double us)
{
    if (u->samples < WP_QUARTILES_FIRST) {
        u->first_us[u->samples++] = us;
        if (u->samples < WP_QUARTILES_FIRST)
            return;
        qsort(u->first_us, WP_QUARTILES_FIRST, sizeof(double), by_value);
        u->lower_us = u->first_us[(int)(WP_QUARTILES_FIRST * LOWER_SHARE)];
        u->upper_us = u->first_us[(int)(WP_QUARTILES_FIRST * UPPER_SHARE)];
        return;
    }
    u->samples++;
    move_estimate(&u->lower_us, LOWER_SHARE, us);
    move_estimate(&u->upper_us, UPPER_SHARE, us);
}

double wp_quartiles_lower(const WPQuartiles *u)
{
    return u->samples >= WP_QUARTILES_FIRST ? u->lower_us : 0;
}

double wp_quartiles_upper(const WPQuartiles *u)
{
    return u->samples >= WP_QUARTILES_FIRST ? u->upper_us : 0;
}

double wp_quartiles_early_middle(const WPQuartiles *u)
{
    double us[WP_QUARTILES_FIRST];
    if (u->samples >= WP_QUARTILES_FIRST)
        return wp_quartiles_middle(u);
    if (u->samples < EARLY_MIN)
        return 0;
    memcpy(us, u->first_us, u->samples * sizeof(us[0]));
    qsort(us, u->samples, sizeof(us[0]), by_value);
    return us[(u->samples - 1) / 2];
}

double wp_quartiles_middle(const WPQuartiles *u)
{
    return sqrt(wp_quartiles_lower(u) * wp_quartiles_upper(u));
}
