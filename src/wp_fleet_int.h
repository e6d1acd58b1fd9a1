/* What wp_fleet.c and wp_fleet_pick.c share. */
#ifndef WP_FLEET_INT_H
#define WP_FLEET_INT_H

#include "wp_bid.h"

#include <math.h>

struct WPFleet {
    GHashTable *by_load;     /* service and version -> LoadSeen */
    int64_t loaded_until_us; /* the latest of theirs */
    GHashTable *by_id;
    GHashTable *by_service; /* name -> GPtrArray of WPReplica */
    GHashTable *by_hash;    /* of the id -> WPReplica */
    GArray *untold;         /* WPKeptNews */
    GRand *rand;
    WPFleetRules rules;
};

/* The endpoints of a service (WPReplica), made when it is not known yet. */
GPtrArray *wp_fleet_of_service(WPFleet *f, const char *service);

/* The rate of failures as it is now: old ones are forgotten. */
double wp_fleet_fail_rate(const WPReplica *s, WPTime now);

#endif
