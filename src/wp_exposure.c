/* Share of a canary by what a bad version may get. */
#include "wp_exposure.h"

/* The part of the limit that is planned with: counts arrive late, and the rate
   of requests changes. */
#define PLANNED_PART 0.8

/* However few requests there are, most go to the version that is known. */
#define SHARE_MAX 0.25

/* The rate of requests is not known from fewer answers. */
#define ANSWERED_MIN 20

double wp_exposure_share(const WPExposureLimit *limit, const WPExposure *e)
{
    if (e->answered < ANSWERED_MIN || e->elapsed_ms <= 0 ||
        e->elapsed_ms >= e->full_ms || e->full_ms > e->duration_ms)
        return 0;
    double per_ms = e->answered / (double)e->elapsed_ms;
    double total = per_ms * (double)e->duration_ms;
    double last_stage = per_ms * (double)(e->duration_ms - e->full_ms);
    double until_then = per_ms * (double)(e->full_ms - e->elapsed_ms);
    double planned = PLANNED_PART * (limit->share * total + limit->slack);
    double left = planned - last_stage - e->answered_new;
    return CLAMP(left / until_then, 0, SHARE_MAX);
}
