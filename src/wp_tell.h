/* How much of a box's link goes to boxes that start and ask it for all entries.
 * Answers the load of many that start together and know of few others: a first
 * few are told all, the rest whom of their zone to ask, so that telling spreads
 * like a rumour and no link is filled. */
#ifndef WP_TELL_H
#define WP_TELL_H

#include "wp_base.h"

typedef struct WPTell {
    double spent; /* bytes, less what the link has carried since */
    int64_t at_us;
} WPTell;

/* Whether an answer of so many bytes may go out now; it counts as sent. The
   first may always. */
bool wp_tell_take(WPTell *t, WPTime now, size_t bytes);

#endif
