/* Placing of requests at scarce engines. */
#include "wp_placing.h"

#include <math.h>

/* Weight of a second of waiting against one of prefill: it harms this caller
   alone. */
#define WAIT_WEIGHT 0.5

/* Weight of a second of prefill, which delays the prompts behind it too. */
#define PREFILL_WEIGHT 2.0

/* A late caller often asks again, and its next prompt is one more in the
   queue. */
#define LATE_WEIGHT 5.0

/* For 1,000 tokens that the affinity replica will have cached for all boxes. */
#define HOME_WEIGHT_PER_KT 0.1

/* Standard deviation of the time to first byte under load, as a fraction of the
   predicted time: other boxes send meanwhile. */
#define DEVIATION 0.5

/* Until the engines' speed is known: an idle engine, and each request that
   waits there. A guess that is too high spreads requests more than needed, one
   that is too low lets boxes that have just started queue at one engine. */
#define UNLEARNED_US (300.0 * WP_US_PER_MS)
#define UNLEARNED_QUEUED_US (100.0 * WP_US_PER_MS)

#define KILO 1000.0

double wp_placing_late_chance(const WPPlacing *p, double ttfb_us)
{
    if (p->left_us <= 0)
        return 1;
    if (ttfb_us <= 0)
        return 0;
    double z = (p->left_us - ttfb_us) / (DEVIATION * ttfb_us);
    return 0.5 * erfc(z / M_SQRT2);
}

double wp_placing_cost(const WPPlacing *p, double ttfb_us, double prefill_us,
                       int64_t silent_us)
{
    double busy_us = WAIT_WEIGHT * ttfb_us + PREFILL_WEIGHT * prefill_us;
    double late =
        LATE_WEIGHT * p->late_loss * wp_placing_late_chance(p, ttfb_us);
    /* An endpoint that has been silent for a time is likely to stay so for
       about as long again. */
    return p->second_weight * (busy_us + (double)silent_us) / WP_US_PER_S +
           late;
}

double wp_placing_unlearned_ttfb_us(double queued)
{
    return UNLEARNED_US + UNLEARNED_QUEUED_US * queued;
}

double wp_placing_home_bonus(uint32_t shared_tokens)
{
    return HOME_WEIGHT_PER_KT * shared_tokens / KILO;
}
