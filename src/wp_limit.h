/* The requests a second that an endpoint in need takes from all boxes together:
 * what its answers say of that, what is believed, and when one more request may
 * be sent. Each box has a quota of what the endpoint takes within a window, by
 * the requests that boxes have for it (wp_demand.h); besides it holds back
 * while what it knows to have been sent by all is as much as the endpoint
 * takes.
 *
 * Ways weighed, and their figures: docs/design/endpoint-limits.md. */
#ifndef WP_LIMIT_H
#define WP_LIMIT_H

#include "wp_base.h"

enum {
    WP_LIMIT_PART_MOST = 64 /* requests that are counted within a window */
};

typedef enum WPLimitSaid {
    WP_LIMIT_NONE,  /* nothing: it takes what comes */
    WP_LIMIT_NAMED, /* `per_s` */
    WP_LIMIT_BAD    /* something that is no positive decimal number */
} WPLimitSaid;

/* An answer's word on it. */
typedef struct WPLimitField {
    WPLimitSaid said;
    double per_s;
} WPLimitField;

/* Reads the field, which the answer carries `times` times. */
WPLimitField wp_limit_read(WPStr text, unsigned times);

/* When the latest requests were sent: a ring, microseconds; 0: none yet. */
typedef struct WPLimitLog {
    int64_t at_us[WP_LIMIT_PART_MOST];
    unsigned next; /* the oldest */
} WPLimitLog;

/* So many requests may be sent within so long. */
typedef struct WPLimitWindow {
    unsigned part; /* 0: any number */
    int64_t us;
} WPLimitWindow;

/* What is believed of an endpoint that has named a limit. Of two beliefs the
   one with the higher (number, box) is the later one. */
typedef struct WPLimit {
    double per_s;       /* 0: it names none any more */
    uint32_t number;    /* of this belief; 0: there was none */
    uint64_t box;       /* that heard it from the endpoint, by hash */
    int64_t changed_us; /* when it became this box's */
    int64_t born_us;    /* since when this box knows of a limit there */
    double had_per_s;   /* what it named until it named none */
    bool untold;        /* other boxes are to hear of it */
    int64_t told_us;
    int64_t heard_us; /* when this box last had an answer there */
    int64_t bad_us;   /* when a bad field was last reported; 0: never */
    uint64_t sent;    /* requests that this box has sent there since */
    uint64_t place;   /* hash of service and zone */
    WPLimitLog own;   /* this box's requests */
    WPLimitLog all;   /* those of all boxes that this one knows of */
    unsigned quota;   /* of this box, of a window's `quota_part` */
    unsigned quota_part;
    int64_t quota_us; /* when it was worked out; 0: it was not */
} WPLimit;

/* Takes a belief; the caller has seen that it is later. */
void wp_limit_set(WPLimit *l, WPTime now, double per_s);

/* What the endpoint takes a second, as it is treated now; 0: anything. What
   named a limit is given its share again step by step. */
double wp_limit_rate(const WPLimit *l, WPTime now);

WPLimitWindow wp_limit_window(const WPLimit *l, WPTime now);

/* A request is sent there, by this box or by another one. */
void wp_limit_note_own(WPLimit *l, WPTime now);
void wp_limit_note_other(WPLimit *l, WPTime now);

/* When a box with this quota of the window may send one more; INT64_MAX: not
   before it has another quota. During the first window it keeps an even
   distance from the beginning on: it does not know what was sent before. */
int64_t wp_limit_free_us(const WPLimit *l, WPTime now, const WPLimitWindow *w,
                         unsigned quota);

#endif
