/* What an operator sees of the running orders: how likely it is that a new
 * version is bad, and in what way, by what this box knows. */
#ifndef WP_SHIFT_VIEW_H
#define WP_SHIFT_VIEW_H

#include "wp_shift.h"

#include <jansson.h>

/* Returns the running orders as a JSON object: {"orders": [{"service",
   "version", "stage", "share", "elapsed_ms", "duration_ms", "waits" (why; null:
   it does not), "answered", "failed", "old_answered", "old_failed", "odds"
   (natural logarithms of how much likelier a bad version is than a good one:
   {"fails", "fails_everywhere", "fails_on_route", "fails_late", "slower"}),
   "slowdown" (expected, in parts of the usual time), "needed" (answers without
   a failure until the failures no longer hold the end)}]}. */
json_t *wp_shift_view(WPShifts *s, WPTime now);

#endif
