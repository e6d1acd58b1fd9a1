/* Request rates by service of the boxes, from which each box computes its quota
 * of endpoints that set a rate limit. A box sends its own rate to the other
 * boxes of its zone, and one box of each zone sends the zone's total rate to
 * the other zones; no box queries another. Boxes that know the same rates
 * compute quotas that add up to the limit of the endpoint. Known rates change
 * seldom, because a rate is sent early only when it has changed by half, and
 * until then a box uses the rate that it sent last instead of its latest
 * measurement. */
#ifndef WP_DEMAND_H
#define WP_DEMAND_H

#include "wp_pace.h"
#include "wp_share.h"

enum {
    WP_DEMAND_PER_MIN_MAX = 60000000 /* requests per minute; a higher rate of
                                        one box is rejected as malformed */
};

typedef struct WPDemand WPDemand;

/* Returns a table without any rates. */
WPDemand *wp_demand_new(void);
void wp_demand_free(WPDemand *d);

/* Counts a caller's request for the service (hash of its name) at this box. */
void wp_demand_count_request(WPDemand *d, WPTime now, uint64_t service);

/* Keeps the service active for the next 10 s: its rates are sent and used only
   while it is active. Called while an endpoint of the service has a limit. */
void wp_demand_activate(WPDemand *d, WPTime now, uint64_t service);

/* Whether any service is active. */
bool wp_demand_is_active(const WPDemand *d, WPTime now);

/* The request rate of one box, or the total rate of one zone, as boxes send it
   to each other. */
typedef struct WPDemandUpdate {
    uint64_t service;
    uint64_t subject;    /* hash of the id of the box or the name of the zone */
    uint32_t per_min;    /* requests per minute */
    uint32_t sequence;   /* zone rates only: of two updates the one with the
                            higher (sequence, origin_box) is newer */
    uint64_t origin_box; /* zone rates only: hash of the box that computed it */
} WPDemandUpdate;

/* Writes the next rate of this box that is due to be sent to `out` and marks it
   as sent; `out->subject` is left 0. Returns false when none is due. */
bool wp_demand_take_unsent(WPDemand *d, WPTime now, WPDemandUpdate *out);

/* The same for the total rates of this box's zone. Called only at the box that
   sends them to the other zones. `b`: the boxes that share the quotas. */
bool wp_demand_take_unsent_zone(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                                WPDemandUpdate *out);

/* Merges another box's own rate, as received from that box. */
void wp_demand_merge(WPDemand *d, WPTime now, const WPDemandUpdate *n);

/* Merges a zone's rate that was received. Returns true if the update is newer
   than what is known, and has to be forwarded. */
bool wp_demand_merge_zone(WPDemand *d, WPTime now, const WPDemandUpdate *n);

/* Calls `fn` for each zone rate that has not expired, to bring a box that has
   just connected up to date. */
void wp_demand_each_zone(WPDemand *d, WPTime now,
                         void (*fn)(void *arg, const WPDemandUpdate *n),
                         void *arg);

/* Records that the link to a box was lost, or is there again. A box without a
   link counts with a rate of 0 until a rate arrives from it. */
void wp_demand_set_unreachable(WPDemand *d, uint64_t box, bool unreachable);

/* An endpoint with a rate limit, for which a quota is computed. */
typedef struct WPDemandQuotaQuery {
    uint64_t service, endpoint; /* hashes */
    const char *zone;
    double zone_per_s; /* sum of the limits of the service's limited endpoints
                          in that zone */
    unsigned window_requests; /* requests that all boxes may send within one
                                 window */
} WPDemandQuotaQuery;

/* How many of `e->window_requests` this box may send within a window. `b`: the
   boxes that share them. */
unsigned wp_demand_quota(WPDemand *d, WPTime now, const WPPaceBoxes *b,
                         const WPDemandQuotaQuery *e);

#endif
