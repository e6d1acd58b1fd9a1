/* Cost of a request at an engine while engine time is scarce: callers compete
 * for it, or engines differ in speed from one moment to the next. Waiting costs
 * little before the target and much after it, so that patient requests go where
 * their prompt is cached and urgent ones where the queue is short; each second
 * of prefill is charged, as others wait for it. In score units, as the other
 * weights of an endpoint choice (WPFleetRules). */
#ifndef WP_PLACING_H
#define WP_PLACING_H

#include "wp_base.h"

/* What a request loses by waiting. */
typedef struct WPPlacing {
    bool on;              /* else a request costs its time to first byte */
    double left_us;       /* until its first byte is late; below 0: it is */
    double late_loss;     /* lost if it is late */
    double second_weight; /* of a second of prefill */
} WPPlacing;

/* Returns the cost of a first byte that is predicted for `ttfb_us`, of which
   `prefill_us` is prefill of the request's own prompt, at an endpoint that has
   been silent for `silent_us` without a reason. */
double wp_placing_cost(const WPPlacing *p, double ttfb_us, double prefill_us,
                       int64_t silent_us);

/* Returns the time to first byte to assume, while too few answers are known for
   a prediction, at an endpoint where `queued` requests wait for theirs. */
double wp_placing_unlearned_ttfb_us(double queued);

/* Returns the bonus of the affinity replica for a prompt with this many shared
   tokens. */
double wp_placing_home_bonus(uint32_t shared_tokens);

/* Returns the chance that a first byte predicted for `ttfb_us` is late. */
double wp_placing_late_chance(const WPPlacing *p, double ttfb_us);

#endif
