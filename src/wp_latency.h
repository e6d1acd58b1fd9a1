/* Prediction of the time to first byte (TTFB) of an answer from the work that
 * the endpoint has to do before it, learned from this box's own requests with
 * slowly decaying weights. Prefill time has a part proportional to the length
 * of the prompt and, as each token attends to all before it, one that grows
 * with its square; the work of other requests comes before and between. */
#ifndef WP_LATENCY_H
#define WP_LATENCY_H

#include "wp_base.h"

/* Work of an endpoint before the first byte of an answer. */
typedef struct WPTtfbInputs {
    uint32_t prompt_tokens;   /* of the whole prompt */
    uint32_t uncached_tokens; /* tokens of it that the endpoint does not have
                                 cached */
    double load;              /* requests at the endpoint, running or waiting */
    double waiting; /* requests of all boxes that wait there, by its report */
    /* Predicted prefill time of prompts sent there earlier whose first byte
       has not come. */
    double queued_prefill_us;
    /* How long work takes there, as the endpoint reports it; 1: as long as
       usual; 0: not reported. */
    double slowdown;
} WPTtfbInputs;

enum { WP_TTFB_INPUTS = 5 };

typedef struct WPTtfbModel {
    /* Weighted sums of the inputs, the time in microseconds and their
       products. */
    double n, y;
    double x[WP_TTFB_INPUTS], xy[WP_TTFB_INPUTS];
    double xx[WP_TTFB_INPUTS][WP_TTFB_INPUTS];
    uint32_t samples;
    /* Slopes fitted to these sums, updated every few answers. */
    double slope[WP_TTFB_INPUTS];
    uint32_t samples_at_fit;
} WPTtfbModel;

/* The time to first byte of one answer, as boxes tell each other. */
typedef struct WPTtfbSample {
    uint64_t model; /* hash of what its WPTtfbModel is kept under */
    WPTtfbInputs inputs;
    double usual_us; /* the time, divided by the endpoint's slowdown */
} WPTtfbSample;

/* Adds an answer whose first byte came `took_us` after its request was sent. */
void wp_ttfb_add(WPTtfbModel *s, const WPTtfbInputs *in, int64_t took_us);

/* Predicted time to first byte in microseconds; 0 while too few answers are
   known. */
double wp_ttfb_predict(WPTtfbModel *s, const WPTtfbInputs *in);

/* The part of that time that is the prefill of this prompt. */
double wp_ttfb_predict_prefill(WPTtfbModel *s, const WPTtfbInputs *in);

/* So many values, sorted, give the first estimates. */
enum { WP_QUARTILES_FIRST = 6 };

/* Estimates of the lower and upper quartile of a time. They move by small
   steps and follow slow changes. */
typedef struct WPQuartiles {
    double first_us[WP_QUARTILES_FIRST];
    double lower_us, upper_us;
    uint32_t samples;
} WPQuartiles;

/* Adds a time in microseconds. */
void wp_quartiles_add(WPQuartiles *u, double us);

/* The quartiles in microseconds; 0 while too few values are known. */
double wp_quartiles_lower(const WPQuartiles *u);
double wp_quartiles_upper(const WPQuartiles *u);

/* The middle of the values known so far, however few, but for a single one; of
   an even number, the lower of the two in the middle. */
double wp_quartiles_early_middle(const WPQuartiles *u);

/* The middle between the quartiles, by their ratio. */
double wp_quartiles_middle(const WPQuartiles *u);

#endif
