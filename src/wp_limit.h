/* Rate limits that endpoints set when they are overloaded, in requests per
 * second of all boxes together: reading them from answers, the limit that is
 * known of an endpoint, and when one more request may be sent. Each box has a
 * quota of the requests within a window, by the request rates of the boxes
 * (wp_demand.h). In addition a box sends nothing while the requests that it
 * knows to have been sent by all boxes reach the limit.
 *
 * Alternatives considered, with figures: docs/design/endpoint-limits.md. */
#ifndef WP_LIMIT_H
#define WP_LIMIT_H

#include "wp_base.h"

enum {
    WP_LIMIT_WINDOW_MAX = 64 /* requests that are counted within a window */
};

typedef enum WPLimitFieldStatus {
    WP_LIMIT_FIELD_NONE,    /* no field: the endpoint sets no limit */
    WP_LIMIT_FIELD_PRESENT, /* a limit of `per_s` */
    WP_LIMIT_FIELD_INVALID  /* not a positive decimal number */
} WPLimitFieldStatus;

/* The rate limit field of an answer. */
typedef struct WPLimitField {
    WPLimitFieldStatus status;
    double per_s;
} WPLimitField;

/* Parses the text of the field, which the answer carries `times` times; more
   than once is invalid. */
WPLimitField wp_limit_parse(WPStr text, unsigned times);

/* Times in microseconds at which the latest requests were sent: a ring; 0: none
   yet. */
typedef struct WPLimitSendLog {
    int64_t at_us[WP_LIMIT_WINDOW_MAX];
    unsigned oldest; /* index of the oldest */
} WPLimitSendLog;

/* The most requests that may be sent within a length of time. */
typedef struct WPLimitWindow {
    unsigned requests; /* 0: unlimited */
    int64_t length_us;
} WPLimitWindow;

/* The known rate limit of one endpoint. Of two states the one with
   the higher (sequence, origin_box) is the newer one. */
typedef struct WPLimit {
    double per_s;           /* 0: it sets none any more */
    uint32_t sequence;      /* of this state; 0: none was known */
    uint64_t origin_box;    /* hash of the box that got it from the endpoint */
    int64_t changed_us;     /* when this box last set `per_s` */
    int64_t first_known_us; /* since when this box has known of a limit there */
    double previous_per_s;  /* the last limit before it set none any more */
    bool unsent;            /* to be sent to other boxes */
    int64_t update_sent_us; /* when it was last sent; 0: never */
    int64_t answered_us;    /* when this box last got an answer from it */
    int64_t bad_field_reported_us; /* when an invalid field was last logged; 0:
                                      never */
    uint64_t own_send_count;    /* requests that this box has sent there since
                                   `first_known_us` */
    uint64_t service_zone_hash; /* hash of service and zone */
    WPLimitSendLog own_sends;   /* requests of this box */
    WPLimitSendLog all_sends; /* those of all boxes, as far as this one knows */
    unsigned quota; /* of this box, out of `quota_window` requests per window */
    unsigned quota_window;
    int64_t quota_computed_us; /* when the quota was computed; 0: never */
} WPLimit;

/* Sets the known limit, 0: none any more. The caller has checked that it is
   newer. */
void wp_limit_set(WPLimit *l, WPTime now, double per_s);

/* The requests per second that boxes may send to the endpoint at present; 0:
   unlimited. When an endpoint no longer sets a limit its rate is raised in
   steps. */
double wp_limit_rate(const WPLimit *l, WPTime now);

/* The window in which requests are counted at present; its `requests` are 0
   when the endpoint is not limited. */
WPLimitWindow wp_limit_window(const WPLimit *l, WPTime now);

/* Records that this box sends a request to the endpoint. */
void wp_limit_record_own_send(WPLimit *l, WPTime now);

/* Records that another box has sent a request to the endpoint. */
void wp_limit_record_remote_send(WPLimit *l, WPTime now);

/* When a box with this quota of the window may send its next request, in
   monotonic microseconds; INT64_MAX: not before it has another quota. During
   the first window its requests are evenly spaced from the beginning, as it
   does not know what was sent before. */
int64_t wp_limit_next_send_us(const WPLimit *l, WPTime now,
                              const WPLimitWindow *w, unsigned quota);

#endif
