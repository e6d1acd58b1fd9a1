/* How much of a service's requests a new version may get while a shift to it is
 * not decided. The operator bounds what a version that turns out to be bad may
 * have had until the end of the order's duration: a share of the service's
 * requests and some more. What of that the last stage does not need goes to the
 * canary, as more answers tell sooner whether the version is bad. At services
 * with few requests that is several times the usual share. */
#ifndef WP_EXPOSURE_H
#define WP_EXPOSURE_H

#include "wp_base.h"

typedef struct WPExposureLimit {
    double share; /* of the service's requests in the order's duration */
    double slack; /* requests beyond these */
} WPExposureLimit;

/* What is known of a shift. */
typedef struct WPExposure {
    double answered;     /* requests of the service since the order */
    double answered_new; /* of these, by the new version */
    int64_t elapsed_ms;  /* since the order */
    int64_t full_ms;     /* when the new version gets all requests */
    int64_t duration_ms; /* of the order */
} WPExposure;

/* The largest share of requests that the new version may get from now on until
   `full_ms`; 0: not known, or none is left. */
double wp_exposure_share(const WPExposureLimit *limit, const WPExposure *e);

#endif
