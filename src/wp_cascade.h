/* Model cascade: a request goes to the smallest model first, and to the
 * largest when the expected gain exceeds the price. Nothing here depends on a
 * particular kind of request. */
#ifndef WP_CASCADE_H
#define WP_CASCADE_H

#include "wp_base.h"

typedef struct WPCascadeRules {
    double confidence_even; /* the confidence, 0 to 100, at which half of the
                               answers are good */
    /* Standard deviation of the normal distribution about `confidence_even`
       that gives the chance of a good answer. */
    double confidence_spread;
    /* Value of a good answer per 1,000 units of size (prompt tokens plus ten
       times the generated tokens), in the unit of the models' costs. */
    double answer_value;
    double request_value; /* value of a good answer of any size, in addition */
    /* Endpoints are overloaded when the time to first byte exceeds this
       fraction of its target. */
    double strain_from;
    /* Price of prefill time, in multiples of the value rate, for each whole
       target by which the time to first byte exceeds that. */
    double strain_weight;
} WPCascadeRules;

/* An answer at hand that may be dropped for the larger model's. */
typedef struct WPCascadeEscalation {
    int confidence; /* of the answer at hand, 0 to 100 */
    uint32_t prompt_tokens, answer_tokens;
    double model_cost; /* of 1,000 generated tokens of the larger model */
    /* Of prefilling the prompt with it, by the overload. */
    double prefill_price;
    double on_time_chance; /* that the larger model's answer meets its target */
} WPCascadeEscalation;

/* A new request, for which the first model is chosen. */
typedef struct WPCascadeStart {
    uint32_t prompt_tokens, answer_tokens;
    double model_cost; /* of 1,000 generated tokens of the largest model */
    /* Of prefilling the prompt with it, by the overload. */
    double prefill_price;
    /* Fraction of the smallest model's answers that are good. */
    double good_share;
    /* Chance that the target is met if the smallest model is asked first and
       then the largest. */
    double on_time_both;
    double on_time_largest; /* chance that it is met if only the largest is
                               asked */
} WPCascadeStart;

/* Value that engines produce per second of prefill, as decaying sums over
   recent requests. */
typedef struct WPValueRate {
    double value;     /* of good answers to the requests received */
    double prefill_s; /* prefill time spent on them */
} WPValueRate;

/* Sets a typical rate, which counts as if it had been observed for some
   seconds. */
void wp_value_rate_init(WPValueRate *e);

/* Adds the value of a good answer to a request of this size. */
void wp_value_rate_add_request(WPValueRate *e, const WPCascadeRules *r,
                               uint32_t prompt_tokens, uint32_t answer_tokens);

/* Adds seconds of prefill that were spent on requests. */
void wp_value_rate_add_prefill(WPValueRate *e, double prefill_s);

/* Value per second of prefill; the initial estimate until requests have been
   observed. */
double wp_value_rate_per_s(const WPValueRate *e);

/* Mean value that a request loses if its answer is late. */
double wp_cascade_late_loss(const WPValueRate *e);

/* Value that a request of this size loses if its answer is late. */
double wp_cascade_loss_if_late(const WPCascadeRules *r, uint32_t prompt_tokens,
                               uint32_t answer_tokens);

/* Price of a second of prefill when the recent time to first byte is
   `target_ratio` times its target; 0 while endpoints are not overloaded. */
double wp_cascade_prefill_price(const WPCascadeRules *r, const WPValueRate *e,
                                double target_ratio);

/* How often the smallest model's answers are good, as estimated from their
   confidence. */
typedef struct WPGoodShare {
    double share; /* moving average */
    uint32_t samples;
} WPGoodShare;

/* Adds an answer that is good with the probability `good`. */
void wp_good_share_add(WPGoodShare *q, double good);

/* The chance that an answer with this confidence, 0 to 100, is good. */
double wp_cascade_good_chance(const WPCascadeRules *r, int confidence);

/* Expected gain from asking the larger model, less its price; the request is
   escalated if it is above 0. */
double wp_cascade_escalation_gain(const WPCascadeRules *r,
                                  const WPCascadeEscalation *c);

/* The chance that an answer comes within `left_us` if `expect_us` is
   predicted; 1 if either is not known (0). */
double wp_cascade_on_time_chance(double expect_us, double left_us);

/* Whether to ask the largest model at once instead of the smallest first. */
bool wp_cascade_starts_with_largest(const WPCascadeRules *r,
                                    const WPCascadeStart *c);

#endif
