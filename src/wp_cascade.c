/* The price of a better answer. */
#include "wp_cascade.h"

#include <math.h>

/* A prompt token costs a quarter of one that is made (the platform's price
   list). */
#define PROMPT_PRICE 0.25

/* What an answer that is not good is still worth, as a part. */
#define POOR 0.05

#define PRICED_TOKENS 1000.0

double wp_cascade_good(const WPCascadeRules *r, int confidence)
{
    double z = (confidence - r->even) / r->spread;
    return 0.5 * erfc(-z / M_SQRT2);
}

double wp_cascade_gain(const WPCascadeRules *r, const WPCascadeCase *c)
{
    double worth = r->base + r->value * c->answer_tokens / PRICED_TOKENS;
    double gain = (1 - wp_cascade_good(r, c->confidence)) * (1 - POOR) * worth;
    double tokens = c->answer_tokens + PROMPT_PRICE * c->prompt_tokens;
    double strain = MAX(0, c->pressure - r->strain_from) * r->strain_weight;
    return gain - c->cost * tokens / PRICED_TOKENS * (1 + strain);
}
