/* What an endpoint's answers say of itself beside its load and its limit
 * (wp_limit.h): that it leaves, and that it wants nothing from this box for a
 * while. */
#ifndef WP_NOTICE_H
#define WP_NOTICE_H

#include "wp_base.h"

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

/* Reads a field, which the answer carries `times` times. A rest is a decimal
   number of seconds or a date, and ends at once if that is over. */
WPNoticeField wp_notice_read_leaving(WPStr text, unsigned times);
WPNoticeField wp_notice_read_rest(WPStr text, unsigned times, WPTime now);

#endif
