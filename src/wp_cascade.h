/* Whether a better answer is worth its price: a request goes to the smallest
 * model first, and to the largest when what that gains is more than what it
 * costs. Nothing here depends on a kind of request by name. */
#ifndef WP_CASCADE_H
#define WP_CASCADE_H

#include "wp_base.h"

typedef struct WPCascadeRules {
    double even;   /* the confidence, 0 to 100, at which an answer is good half
                      the time */
    double spread; /* standard deviation of the confidence about that */
    double value;  /* of a good answer to a request of size 1,000 (tokens read
                      and ten times those made), in the unit of the models'
                      costs */
    double base;   /* of a good answer of any length, besides */
    double strain_from;   /* first bytes later than this part of their aim
                             show that the endpoints are strained */
    double strain_weight; /* how much dearer work is for each whole part */
} WPCascadeRules;

typedef struct WPCascadeCase {
    int confidence; /* of the answer in hand, 0 to 100 */
    uint32_t prompt_tokens, answer_tokens;
    double cost; /* of 1,000 tokens of the larger model */
    double lag;  /* recent first bytes, as a part of their aim */
    double
        in_time; /* the chance that the larger model's answer meets the aim */
} WPCascadeCase;

typedef struct WPCascadeAhead {
    uint32_t prompt_tokens, answer_tokens;
    double cost;         /* of 1,000 tokens of the largest model */
    double good;         /* share of the smallest's answers that are good */
    double in_time_both; /* the chance that one after the other meet the aim */
    double in_time_one;  /* that the largest alone does */
    double lag;          /* recent first bytes, as a part of their aim */
} WPCascadeAhead;

/* How often the smallest model's answers were good, as far as their
   confidence tells. */
typedef struct WPQualitySeen {
    double good; /* moving average */
    uint32_t seen;
} WPQualitySeen;

void wp_quality_note(WPQualitySeen *q, double good);

/* The chance that an answer of this confidence is good. */
double wp_cascade_good(const WPCascadeRules *r, int confidence);

/* What asking the larger model gains, less its price; above 0: ask it. */
double wp_cascade_gain(const WPCascadeRules *r, const WPCascadeCase *c);

/* The chance that an answer comes within `left_us` where `expect_us` is
   expected; 1 where either is not known (0). */
double wp_cascade_in_time(double expect_us, double left_us);

/* Whether to ask the largest model at once. */
bool wp_cascade_skips(const WPCascadeRules *r, const WPCascadeAhead *c);

#endif
