/* What an endpoint has said of itself, in one place. Of each word: from whom,
 * whom it binds, what ends it, and whether it bars or only weighs:
 *
 * - leaving: the list, answers, boxes; each box; its life; bars
 * - rest: a refusal to this box; this box; its time or its life; bars
 * - rest of others: boxes that were told; nobody; some seconds; weighs
 * - limit: answers, boxes; all boxes together; an answer without it; bars
 * - cold: the list; all boxes together; its time; bars
 * - load: answers, boxes of the zone; nobody; its age; weighs
 * - pace: answers; nobody; follows slowly; weighs
 *
 * Limits and cold endpoints bar what is beyond a quota (wp_limit.h, wp_pace.h).
 * Each way to an endpoint asks wp_fleet_exclusion() (wp_fleet_exclusion.c).
 * Ways weighed: docs/design/what-endpoints-say.md. */
#ifndef WP_NOTICE_H
#define WP_NOTICE_H

#include "wp_limit.h"

typedef enum WPNoticeSaid {
    WP_NOTICE_NONE,  /* nothing */
    WP_NOTICE_GIVEN, /* that it is so */
    WP_NOTICE_BAD    /* something that cannot be read */
} WPNoticeSaid;

/* An answer's word. */
typedef struct WPNoticeField {
    WPNoticeSaid said;
    double rest_s; /* of a rest; else 0 */
} WPNoticeField;

/* Who has told that an endpoint leaves. */
typedef enum WPNoticeFrom {
    WP_FROM_NOBODY,
    WP_FROM_LIST,
    WP_FROM_ANSWER, /* of its own, to this box */
    WP_FROM_BOX     /* that was told so, and passed it on */
} WPNoticeFrom;

typedef struct WPLeaving {
    WPNoticeFrom from;
    bool untold; /* other boxes are to hear of it */
} WPLeaving;

/* All that is believed; microseconds of this process's clock, 0: never. */
typedef struct WPSaid {
    WPLeaving leaving;
    int64_t rest_until_us;
    int64_t rest_known_us; /* the same to any box that this one hears */
    bool rest_untold;
    WPLimit *limit;            /* NULL: none was named */
    int64_t cold_until_us;     /* by the list */
    uint32_t running, waiting; /* its load */
    int64_t load_us;           /* when that was told */
    double pace; /* how long work takes there, 1: as usual, on the mean; 0: it
                    does not say */
    int64_t bad_us; /* when a bad field was last reported */
} WPSaid;

/* Reads a field, which the answer carries `times` times. A rest is a decimal
   number of seconds or a date, and ends at once if that is over. */
WPNoticeField wp_notice_read_leaving(WPStr text, unsigned times);
WPNoticeField wp_notice_read_rest(WPStr text, unsigned times, WPTime now);

#endif
