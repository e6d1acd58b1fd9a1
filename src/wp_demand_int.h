/* Declarations shared by wp_demand.c and wp_demand_quota.c. */
#ifndef WP_DEMAND_INT_H
#define WP_DEMAND_INT_H

#include "wp_demand.h"

enum {
    WP_DEMAND_BIN_MS = 500, /* length of one bin of the request counter */
    WP_DEMAND_BINS = 4,
    WP_DEMAND_BOX_TTL_MS = 12000,  /* a box's rate expires after this time */
    WP_DEMAND_ZONE_TTL_MS = 20000, /* the same for a zone's rate */
    WP_DEMAND_S_PER_MIN = 60
};

/* The rate received from another box. */
typedef struct WPDemandBoxRate {
    double per_min;
    int64_t received_us;
} WPDemandBoxRate;

typedef struct WPDemandZoneRate {
    WPDemandUpdate update;
    int64_t received_us, sent_us; /* sent_us: when this box last sent it, as the
                                     rate of its own zone */
} WPDemandZoneRate;

/* Weights by which the quotas for one service are divided, cached. */
typedef struct WPDemandWeights {
    GArray *boxes; /* WPShare: boxes of this zone */
    size_t self_index;
    GArray *zones; /* WPShare: all zones, by the hash of their names; a weight
                      below 0 is unknown */
    size_t self_zone_index;
    double zone_per_min; /* sum of the weights of `boxes` */
    int64_t computed_us;
    uint32_t generation, boxes_generation;
} WPDemandWeights;

typedef struct WPDemandService {
    uint64_t service;
    uint32_t bins[WP_DEMAND_BINS];
    int64_t newest_bin; /* index of the newest bin, by monotonic time */
    double sent_per_min;
    int64_t sent_us; /* 0: never */
    int64_t active_until_us;
    WPDemandWeights weights;
} WPDemandService;

struct WPDemand {
    GHashTable *services;    /* hash -> WPDemandService */
    GHashTable *boxes;       /* hash of box and service -> WPDemandBoxRate */
    GHashTable *zones;       /* hash of zone and service -> WPDemandZoneRate */
    GHashTable *unreachable; /* hashes of boxes whose links are lost */
    int64_t active_since_us; /* since when some service has been active without
                                a break */
    int64_t active_until_us;
    int64_t received_us; /* when another box's rate last arrived */
    uint32_t generation; /* incremented when known rates or links change */
};

/* Key of a rate: hash of the hashes of its box or zone and of the service. */
uint64_t wp_demand_key(uint64_t subject, uint64_t service);

/* Key of a zone in shares and rates: hash of its name. */
uint64_t wp_demand_zone_hash(const char *zone);

/* Returns the state of a service, created if it is missing. */
WPDemandService *wp_demand_get_service(WPDemand *d, uint64_t service);

/* Whether data received at `received_us` (0: never) is younger than `ms`. */
bool wp_demand_is_fresh(int64_t received_us, WPTime now, int64_t ms);

/* The rate measured at this box, in requests per minute. */
double wp_demand_own_per_min(WPDemandService *s, WPTime now);

/* wp_demand_quota.c: returns the weights for the service's quotas, computed
   again when a rate, a link or the set of boxes has changed or after 100 ms. */
const WPDemandWeights *wp_demand_weights(WPDemand *d, WPTime now,
                                         const WPPaceBoxes *b,
                                         WPDemandService *s);

#endif
