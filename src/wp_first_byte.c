/* Time-outs of first bytes. */
#include "wp_first_byte.h"

/* An answer that takes this many times what was expected is overdue. */
#define OVERDUE_RATIO 5.0

/* Time that is left for the other endpoint, in multiples of what is expected
   here: it takes as long, and may be off by as much. */
#define OTHER_RATIO 2.0

/* Where nothing is expected, the other endpoint gets this part of the time. */
#define OTHER_SHARE 0.5

/* An attempt gets this many times what is expected at least, or the caller
   would be sent around among endpoints that are merely busy. */
#define LEAST_RATIO 2.0

/* Least time for an attempt: several times that of a connection and of a short
   prompt at an idle engine. */
#define LEAST_MS 250.0

uint32_t wp_first_byte_overdue_ms(double expected_ms, double min_ms)
{
    return (uint32_t)MAX(OVERDUE_RATIO * expected_ms, min_ms);
}

uint32_t wp_first_byte_timeout_ms(const WPFirstByteWait *w)
{
    bool known = w->expected_ms > 0;
    double usual_ms = known
                          ? wp_first_byte_overdue_ms(w->expected_ms, w->min_ms)
                          : MAX(w->target_left_ms, w->min_ms);
    double latest_ms = known ? w->target_left_ms - OTHER_RATIO * w->expected_ms
                             : w->target_left_ms * OTHER_SHARE;
    double least_ms = MAX(LEAST_RATIO * w->expected_ms, LEAST_MS);
    return latest_ms < least_ms ? 0 : (uint32_t)MIN(usual_ms, latest_ms);
}
