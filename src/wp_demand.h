/* Which boxes have requests for a service, and how many: by that the boxes
 * share what an endpoint takes that names a limit, each working out its own
 * quota. A box tells the others of its zone its own figure, one box of a zone
 * tells the other zones the zone's; nobody is asked. Boxes with the same
 * figures have quotas that add up to what the endpoint takes; figures change
 * seldom, as they are told again only when they are off by half, and until then
 * each box uses for itself what it has told. */
#ifndef WP_DEMAND_H
#define WP_DEMAND_H

#include "wp_pace.h"
#include "wp_share.h"

enum {
    WP_DEMAND_MOST = 60000000 /* requests a minute that one box may tell */
};

typedef struct WPDemand WPDemand;

WPDemand *wp_demand_new(void);
void wp_demand_free(WPDemand *d);

/* A caller's request for the service has come to this box. */
void wp_demand_asked(WPDemand *d, WPTime now, uint64_t service);

/* From now on, for at least some seconds, the figures of this service are of
   use: they are told and listened for. */
void wp_demand_want(WPDemand *d, WPTime now, uint64_t service);
bool wp_demand_is_wanted(const WPDemand *d, WPTime now);

/* A box's figure, or a zone's, as it is told. */
typedef struct WPDemandNews {
    uint64_t service;
    uint64_t of;      /* box or zone, by hash */
    uint32_t per_min; /* requests */
    uint32_t number;  /* of a zone's figure: of two the higher (number, box) is
                         the later one */
    uint64_t box;     /* that tells a zone's */
} WPDemandNews;

/* The next figure of this box that is to be told now; it counts as told. */
bool wp_demand_tell(WPDemand *d, WPTime now, WPDemandNews *out);

/* The same of this box's zone, by the box that does that. */
bool wp_demand_tell_zone(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                         WPDemandNews *out);

/* What another box has told of itself; of a zone: returns true when that is
   new, and it is to be passed on. */
void wp_demand_hear(WPDemand *d, WPTime now, const WPDemandNews *n);
bool wp_demand_hear_zone(WPDemand *d, WPTime now, const WPDemandNews *n);

/* The zones' figures as they are known, for a box that comes. */
void wp_demand_each_zone(WPDemand *d, WPTime now,
                         void (*fn)(void *arg, const WPDemandNews *n),
                         void *arg);

/* The way to another box is lost, or there again. */
void wp_demand_set_away(WPDemand *d, uint64_t box, bool away);

/* An endpoint that takes few requests. */
typedef struct WPDemandFor {
    uint64_t service, endpoint; /* hashes */
    const char *zone;
    double zone_per_s; /* what all such endpoints of that service and zone
                          take */
    unsigned part;     /* requests within a window */
} WPDemandFor;

/* How many of them are this box's. */
unsigned wp_demand_quota(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                         const WPDemandFor *e);

#endif
