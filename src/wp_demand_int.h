/* What wp_demand.c and wp_demand_quota.c share. */
#ifndef WP_DEMAND_INT_H
#define WP_DEMAND_INT_H

#include "wp_demand.h"

enum {
    WP_DEMAND_BIN_MS = 500, /* of the count of this box's requests */
    WP_DEMAND_BINS = 4,
    WP_DEMAND_FRESH_MS = 12000,      /* a box's figure is believed */
    WP_DEMAND_ZONE_FRESH_MS = 20000, /* a zone's */
    WP_DEMAND_S_PER_MIN = 60
};

/* What another box told. */
typedef struct WPDemandFigure {
    double per_min;
    int64_t heard_us;
} WPDemandFigure;

typedef struct WPDemandZoneFigure {
    WPDemandNews news;
    int64_t heard_us, told_us; /* told: by this box, as its own zone's */
} WPDemandZoneFigure;

/* What quotas for one service rest on. */
typedef struct WPDemandView {
    GArray *boxes; /* WPShare: of this zone */
    size_t self;
    GArray *zones; /* WPShare: all, by the hash of their names; a weight below 0
                      is not known */
    size_t self_zone;
    double per_min; /* of this zone */
    int64_t at_us;
    uint32_t change, boxes_change;
} WPDemandView;

typedef struct WPDemandService {
    uint64_t service;
    uint32_t bins[WP_DEMAND_BINS];
    int64_t bin; /* number of the newest */
    double told_per_min;
    int64_t told_us; /* 0: never */
    int64_t wanted_until_us;
    WPDemandView view;
} WPDemandService;

struct WPDemand {
    GHashTable *services; /* hash -> WPDemandService */
    GHashTable *boxes;    /* hash of box and service -> WPDemandFigure */
    GHashTable *zones;    /* hash of zone and service -> WPDemandZoneFigure */
    GHashTable *away;     /* boxes, by hash */
    int64_t listens_us;   /* since when figures are wanted without a break */
    int64_t wanted_until_us;
    int64_t heard_us; /* when another box's figure last came */
    uint32_t change;  /* of what is known */
};

/* The key of a figure: of a box or zone, and a service. */
uint64_t wp_demand_key(uint64_t of, uint64_t service);
uint64_t wp_demand_zone_hash(const char *zone);

/* What is known of a service, made when it is missing. */
WPDemandService *wp_demand_service(WPDemand *d, uint64_t service);

/* Whether what was heard then is still believed. */
bool wp_demand_is_fresh(int64_t heard_us, WPTime now, int64_t ms);

/* This box's requests a minute. */
double wp_demand_per_min(WPDemandService *s, WPTime now);

/* wp_demand_quota.c: what quotas for the service rest on, put together anew if
   need be. */
const WPDemandView *wp_demand_view(WPDemand *d, WPTime now,
                                   const WPPaceBoxes *b, WPDemandService *s);

#endif
