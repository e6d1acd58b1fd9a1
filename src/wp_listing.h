/* An endpoint as the list of endpoints tells of it. */
#ifndef WP_LISTING_H
#define WP_LISTING_H

#include "wp_base.h"

typedef struct WPListing {
    const char *id; /* the same after a restart, perhaps */
    const char *service, *addr, *zone, *version;
    int64_t born_ms; /* time of day of its start; 0: not told */
    int64_t slots;
    bool draining;
    int64_t cold_left_ms; /* how much longer it is cold from its start */
} WPListing;

/* Why the listing names no endpoint that may be called: a figure or name out
   of its range; NULL: it may. */
const char *wp_listing_problem(const WPListing *l);

#endif
