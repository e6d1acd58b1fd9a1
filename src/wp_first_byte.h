/* How long the first byte of an attempt is waited for before another endpoint
 * is tried: no longer than the other one can still answer within the target.
 * Answers the load of a crash or a burst, in which endpoints hang or fill up
 * and the callers that are most in a hurry would wait there until their target
 * has passed. */
#ifndef WP_FIRST_BYTE_H
#define WP_FIRST_BYTE_H

#include "wp_base.h"

typedef struct WPFirstByteWait {
    double expected_ms;    /* predicted time to first byte; 0: not known */
    double target_left_ms; /* until the target has passed */
    double min_ms;         /* a shorter time-out hits endpoints that are well */
} WPFirstByteWait;

/* Returns the time-out; 0 if a further attempt could not be in time. */
uint32_t wp_first_byte_timeout_ms(const WPFirstByteWait *w);

/* Returns the time-out where no target is to be kept: a multiple of what is
   expected. */
uint32_t wp_first_byte_overdue_ms(double expected_ms, double min_ms);

#endif
