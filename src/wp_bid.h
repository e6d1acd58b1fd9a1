/* What a request costs at an engine: the time until its first byte, shared
 * parts of its prompt that are read again, or the move of what another engine
 * keeps of it. In places, as the other weights of a choice. */
#ifndef WP_BID_H
#define WP_BID_H

#include "wp_fleet.h"

enum {
    WP_KEEPERS_MOST = 4 /* versions of a service at once; others do without */
};

/* The endpoint of a version that keeps the most of a prompt. */
typedef struct WPKeeper {
    const WPReplica *replica;
    uint32_t tokens;
} WPKeeper;

typedef struct WPKeepers {
    WPKeeper of[WP_KEEPERS_MOST];
    unsigned n;
    uint32_t *own; /* what each endpoint of the list keeps; the caller's */
} WPKeepers;

/* Of each version among `list` (WPReplica); fills `own`, of the same length. */
void wp_keepers_find(WPKeepers *k, WPTime now, const WPWant *w,
                     const GPtrArray *list);

typedef struct WPBid {
    WPWork work;
    const WPReplica *source; /* the prompt's beginning is taken from there;
                                NULL: it is read */
    double cost;
} WPBid;

/* The cheaper of the two ways, at an endpoint that keeps `own` tokens. */
WPBid wp_bid(const WPFleetRules *r, WPTime now, const WPWant *w,
             const WPReplica *s, uint32_t own, const WPKeepers *keepers);

#endif
