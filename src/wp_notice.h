/* Notices: what an endpoint reports about itself. For each kind of notice this
 * list gives its sources, the boxes that it applies to, what ends it, and its
 * effect: it either excludes the endpoint from requests or only lowers the
 * endpoint's rank among the candidates.
 *
 * - draining: from the registry, the endpoint's answers and other boxes;
 *   applies to every box; ends with the endpoint's incarnation; excludes
 * - back-off: from a refusal to this box; applies to this box; ends after its
 *   time or with the incarnation; excludes
 * - back-off of other boxes: from boxes that were refused; applies to no box;
 *   ends after some seconds; lowers the rank
 * - limit: from answers and other boxes; applies to all boxes together; ends
 *   with an answer that names none; excludes
 * - cold: from the registry; applies to all boxes together; ends after its
 *   time; excludes
 * - load: from answers and boxes of the zone; applies to no box; ends when it
 *   is too old; lowers the rank
 * - slowdown: from answers; applies to no box; a moving mean; lowers the rank
 *
 * A limit and the cold state exclude an endpoint only from requests beyond a
 * quota (wp_limit.h, wp_pace.h). Each code path that sends requests to an
 * endpoint asks wp_fleet_exclusion() (wp_fleet_exclusion.c) first. Alternatives
 * considered: docs/design/what-endpoints-say.md. */
#ifndef WP_NOTICE_H
#define WP_NOTICE_H

#include "wp_limit.h"

/* Whether an answer carries a notice field. */
typedef enum WPNoticeStatus {
    WP_NOTICE_NONE,    /* it does not */
    WP_NOTICE_PRESENT, /* it does, with a valid value */
    WP_NOTICE_INVALID  /* it does, with an invalid value or more than once */
} WPNoticeStatus;

/* A notice field of an answer, parsed. */
typedef struct WPNoticeField {
    WPNoticeStatus status;
    double backoff_s; /* of a valid back-off: seconds from now; otherwise 0 */
} WPNoticeField;

/* What an answer reports of its endpoint's load. */
typedef struct WPLoadReport {
    uint32_t running, waiting, slots;
    uint32_t slowdown; /* processing time in percent of the usual; 0: not
                          reported */
} WPLoadReport;

/* How this box knows that an endpoint is draining. */
typedef enum WPDrainingSource {
    WP_DRAINING_NONE,          /* it is not known to be draining */
    WP_DRAINING_FROM_REGISTRY, /* from its registry entry */
    WP_DRAINING_FROM_ENDPOINT, /* from an answer of the endpoint to this box */
    WP_DRAINING_FROM_BOX       /* from another box, which had such an answer */
} WPDrainingSource;

typedef struct WPDraining {
    WPDrainingSource source;
    bool unsent; /* still to be sent to the other boxes */
} WPDraining;

/* All notices of one endpoint that are in effect. Times are microseconds of
   this process's monotonic clock; 0: never. */
typedef struct WPEndpointNotices {
    WPDraining draining;
    int64_t backoff_until_us; /* this box sends no requests before */

    /* The latest end of a back-off that this box has sent to the others or
       received from them, and whether it is still to be sent. */
    int64_t shared_backoff_until_us;
    bool backoff_unsent;

    WPLimit *limit;            /* NULL: the endpoint has never named a limit */
    int64_t cold_until_us;     /* from its registry entry */
    uint32_t running, waiting; /* requests there, as last reported */
    int64_t load_reported_us;  /* when those were reported */

    /* Moving mean of the reported processing time, as a multiple of the usual
       one; 0: not reported. */
    double slowdown;

    int64_t invalid_logged_us; /* when an invalid field was last logged */
} WPEndpointNotices;

/* Each parses one notice field of an answer. `text` is the field's value and
   `times` how often the answer carries the field; more than once is invalid.
   The only valid value of the draining field is "1". A back-off is a decimal
   number of seconds or an HTTP date; a date that is past at `now` (wall-clock
   time) gives a back-off of 0 seconds. */
WPNoticeField wp_notice_read_draining(WPStr text, unsigned times);
WPNoticeField wp_notice_read_backoff(WPStr text, unsigned times, WPTime now);

/* Parses the load field, three numbers or more that are separated by commas.
   All are 0 unless it is valid. */
WPNoticeStatus wp_notice_read_load(WPStr text, unsigned times,
                                   WPLoadReport *out);

#endif
