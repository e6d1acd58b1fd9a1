/* Values and prices of answers in the model cascade. */
#include "wp_cascade.h"

#include <math.h>

/* A prompt token costs a quarter of a generated one (the platform's price
   list). */
#define PROMPT_PRICE 0.25

/* Value of an answer that is not good, as a fraction of that of a good one. */
#define POOR_VALUE 0.05

/* Value of an answer that misses its latency target, as a fraction of that of
   one in time. */
#define LATE_VALUE 0.3

/* Standard deviation of the time to first byte, as a fraction of the predicted
   time (of 103 prompts over 30,000 tokens on six quiet days). */
#define TTFB_DEVIATION 0.15

#define PRICED_TOKENS 1000.0
#define QUALITY_WEIGHT 0.02 /* weight of the newest answer */

/* Size of a request as the users count it: a generated token weighs as much as
   ten prompt tokens. */
#define GENERATED_WEIGHT 10.0

static double answer_value(const WPCascadeRules *r, uint32_t prompt,
                           uint32_t answer)
{
    return r->request_value + r->answer_value *
                                  (prompt + GENERATED_WEIGHT * answer) /
                                  PRICED_TOKENS;
}

static double answer_price(double cost, uint32_t prompt, uint32_t answer)
{
    return cost * (answer + PROMPT_PRICE * prompt) / PRICED_TOKENS;
}

/* Factor by which the weight of older requests decays with each new one. */
#define VALUE_RATE_DECAY 0.99

/* Initial estimate of the value per second of prefill, and the seconds of
   prefill that it counts for against this box's own observations. */
#define INITIAL_VALUE_PER_S 20.0
#define INITIAL_PREFILL_S 8.0
#define MIN_PREFILL_S 0.1

void wp_value_rate_init(WPValueRate *e)
{
    *e = (WPValueRate){ INITIAL_VALUE_PER_S * INITIAL_PREFILL_S,
                        INITIAL_PREFILL_S };
}

void wp_value_rate_add_request(WPValueRate *e, const WPCascadeRules *r,
                               uint32_t prompt_tokens, uint32_t answer_tokens)
{
    e->value = e->value * VALUE_RATE_DECAY +
               answer_value(r, prompt_tokens, answer_tokens);
    e->prefill_s *= VALUE_RATE_DECAY;
}

void wp_value_rate_add_prefill(WPValueRate *e, double prefill_s)
{
    e->prefill_s += prefill_s;
}

double wp_value_rate_per_s(const WPValueRate *e)
{
    return e->value / MAX(e->prefill_s, MIN_PREFILL_S);
}

double wp_cascade_late_loss(const WPValueRate *e)
{
    double mean = e->value * (1 - VALUE_RATE_DECAY);
    return mean * (1 - LATE_VALUE);
}

double wp_cascade_loss_if_late(const WPCascadeRules *r, uint32_t prompt_tokens,
                               uint32_t answer_tokens)
{
    return (1 - LATE_VALUE) * answer_value(r, prompt_tokens, answer_tokens);
}

double wp_cascade_prefill_price(const WPCascadeRules *r, const WPValueRate *e,
                                double target_ratio)
{
    double overload = MAX(0, target_ratio - r->strain_from) * r->strain_weight;
    return overload * wp_value_rate_per_s(e);
}

/* Expected value, as a fraction, of an answer that is in time with this
   chance. */
static double expected_timeliness(double on_time_chance)
{
    return on_time_chance + (1 - on_time_chance) * LATE_VALUE;
}

double wp_cascade_on_time_chance(double expect_us, double left_us)
{
    if (expect_us <= 0 || left_us <= 0)
        return 1;
    double z = (left_us - expect_us) / (TTFB_DEVIATION * expect_us);
    return 0.5 * erfc(-z / M_SQRT2);
}

void wp_good_share_add(WPGoodShare *q, double good)
{
    double weight = MAX(QUALITY_WEIGHT, 1.0 / (q->samples + 1));
    q->share += weight * (good - q->share);
    q->samples++;
}

double wp_cascade_good_chance(const WPCascadeRules *r, int confidence)
{
    double z = (confidence - r->confidence_even) / r->confidence_spread;
    return 0.5 * erfc(-z / M_SQRT2);
}

double wp_cascade_escalation_gain(const WPCascadeRules *r,
                                  const WPCascadeEscalation *c)
{
    double value = answer_value(r, c->prompt_tokens, c->answer_tokens);
    double good = wp_cascade_good_chance(r, c->confidence);
    double keep = (good + (1 - good) * POOR_VALUE) * value;
    double escalate = expected_timeliness(c->on_time_chance) * value;
    double price =
        answer_price(c->model_cost, c->prompt_tokens, c->answer_tokens);
    return escalate - keep - price - c->prefill_price;
}

bool wp_cascade_starts_with_largest(const WPCascadeRules *r,
                                    const WPCascadeStart *c)
{
    double value = answer_value(r, c->prompt_tokens, c->answer_tokens);
    double price =
        answer_price(c->model_cost, c->prompt_tokens, c->answer_tokens) +
        c->prefill_price;
    /* If the smallest model's answer is not good, the largest is asked only if
       that is worth its price. */
    double escalated = MAX(expected_timeliness(c->on_time_both) * value - price,
                           POOR_VALUE * value);
    double smallest_first =
        c->good_share * value + (1 - c->good_share) * escalated;
    return expected_timeliness(c->on_time_largest) * value - price >
           smallest_first;
}
