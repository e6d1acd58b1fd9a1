/* How many requests go to an endpoint that has just started. It bears few of
 * them, and the bound holds for all boxes together, whether or not they reach
 * each other. So each endpoint has a few boxes that may send to it while it is
 * cold, the same in every box's view; each of them keeps to a quota of its own
 * in any window of time. No box asks another. Boxes that know different lists
 * of boxes may take different ones for senders: half of the bound is left for
 * that.
 *
 * Ways weighed, and their figures: docs/design/cold-endpoints.md. */
#ifndef WP_PACE_H
#define WP_PACE_H

#include "wp_base.h"

enum {
    WP_PACE_QUOTA_MOST = 16, /* of one box */
    /* The platform counts within one second; requests that leave so far apart
       arrive further apart than that, though ways differ by some ms. */
    WP_PACE_WINDOW_MS = 1100
};

/* The platform's bound: requests that reach one cold endpoint in a second. */
typedef struct WPPaceRules {
    double per_s;     /* of the service; 0: its endpoints need no pacing */
    double overshoot; /* the platform allows this many times as many */
    double slack;     /* and so many besides */
} WPPaceRules;

/* A box that may send to endpoints. */
typedef struct WPPaceBox {
    uint64_t hash; /* of its id */
    const char *zone;
} WPPaceBox;

/* The boxes that this one knows, itself included. */
typedef struct WPPaceBoxes {
    GArray *all; /* WPPaceBox, zones interned */
    WPPaceBox self;
    unsigned least;  /* so many there are, whether or not they are known */
    uint32_t change; /* counts what changes quotas; never 0 */
} WPPaceBoxes;

/* A box that knows no other. */
void wp_pace_boxes_init(WPPaceBoxes *b);
void wp_pace_boxes_end(WPPaceBoxes *b);

/* This box and the others; zones are copied. */
void wp_pace_boxes_set(WPPaceBoxes *b, const WPPaceBox *self,
                       const WPPaceBox *others, size_t n, unsigned least);

/* All quotas are to be worked out anew. */
void wp_pace_boxes_changed(WPPaceBoxes *b);

/* How many requests this box may send to the endpoint within a window. */
unsigned wp_pace_quota(const WPPaceBoxes *b, const WPPaceRules *r,
                       uint64_t endpoint, const char *zone);

/* What this box has lately sent to one endpoint. */
typedef struct WPPace {
    int64_t sent_us[WP_PACE_QUOTA_MOST]; /* a ring; 0: nothing yet */
    unsigned next;                       /* its oldest */
    uint32_t change;                     /* WPPaceBoxes.change when `quota` was
                                            worked out; 0: it was not */
    unsigned quota;
} WPPace;

/* A request is sent to the endpoint, cold or not: it may turn cold. */
void wp_pace_note(WPPace *p, WPTime now);

/* When one more may be sent with this quota; INT64_MAX: never. */
int64_t wp_pace_free_us(const WPPace *p, unsigned quota);

#endif
