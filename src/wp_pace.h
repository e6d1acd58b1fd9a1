/* Cold-start pacing: how many requests go to an endpoint that has just started.
 * It bears few of them, and the limit holds for all boxes together, whether or
 * not they reach each other. So each cold endpoint has a few boxes that may
 * send to it, which all boxes determine alike, and each of these keeps to a
 * quota of its own in any window of time. No box asks another. Boxes that know
 * different sets of boxes may determine different senders: half of the limit is
 * left for that.
 *
 * Alternatives considered, with figures: docs/design/cold-endpoints.md. */
#ifndef WP_PACE_H
#define WP_PACE_H

#include "wp_base.h"

enum {
    WP_PACE_QUOTA_MAX = 16, /* most requests of one box within a window */
    /* The platform counts within one second. Requests that are sent this far
       apart arrive more than a second apart, though network delays differ by
       some ms. */
    WP_PACE_WINDOW_MS = 1100
};

/* The platform's limit: requests that may reach a cold endpoint per second. */
typedef struct WPPaceRules {
    double per_s;     /* of the service; 0: its endpoints need no pacing */
    double overshoot; /* the platform tolerates this many times `per_s` */
    double slack;     /* and this many requests on top */
} WPPaceRules;

/* A box that may send to endpoints. */
typedef struct WPPaceBox {
    uint64_t hash; /* of its id */
    const char *zone;
} WPPaceBox;

/* The boxes that this box knows, itself included. */
typedef struct WPPaceBoxes {
    GArray *all; /* WPPaceBox, zones interned */
    WPPaceBox self;
    unsigned min_count;  /* boxes that there are at least, known or not */
    uint32_t generation; /* incremented when quotas may change; never 0 */
} WPPaceBoxes;

/* Begins with this box alone. */
void wp_pace_boxes_init(WPPaceBoxes *b);

/* Frees the list of boxes. */
void wp_pace_boxes_end(WPPaceBoxes *b);

/* Sets this box and the `n` others. `min_count`: see WPPaceBoxes. The names of
   zones are copied. */
void wp_pace_boxes_set(WPPaceBoxes *b, const WPPaceBox *self,
                       const WPPaceBox *others, size_t n, unsigned min_count);

/* Has all quotas computed again. */
void wp_pace_boxes_invalidate(WPPaceBoxes *b);

/* How many requests this box may send to the endpoint within a window. */
unsigned wp_pace_quota(const WPPaceBoxes *b, const WPPaceRules *r,
                       uint64_t endpoint, const char *zone);

/* The latest requests that this box has sent to one endpoint. */
typedef struct WPPace {
    int64_t sent_us[WP_PACE_QUOTA_MAX]; /* a ring; 0: nothing yet */
    unsigned oldest;                    /* index of the oldest */
    uint32_t boxes_generation; /* WPPaceBoxes.generation when `quota` was
                                  computed; 0: never */
    unsigned quota;
} WPPace;

/* Records that a request is sent to the endpoint, also if that is not cold: it
   may become cold. */
void wp_pace_record_send(WPPace *p, WPTime now);

/* When the next request may be sent with this quota, in monotonic microseconds;
   INT64_MAX: never. */
int64_t wp_pace_next_send_us(const WPPace *p, unsigned quota);

#endif
