/* What an operator sees of a box under load: its requests by service, route and
 * workspace, and the endpoints as the box believes them to be. */
#ifndef WP_LOAD_VIEW_H
#define WP_LOAD_VIEW_H

#include "wp_direct.h"

#include <jansson.h>

typedef struct WPLoadView WPLoadView;

/* Returns an empty view of the box's state at `now`. */
WPLoadView *wp_load_view_new(const WPDirect *d, WPTime now);

/* Adds a request that has not ended. */
void wp_load_view_add_request(WPLoadView *v, const WPFlow *f);

/* Returns the view, with all endpoints, as a JSON object, and frees `v`:
   {"requests": [{"service", "route", "workspace", "priority", "contended",
   "waiting" (without a first byte), "running", "oldest_ms"}], "endpoints":
   [{"id", "service", "version", "zone", "slots", "load", "waiting",
   "report_ms" (age of its report, -1: none), "queued_ms" (of prefill),
   "silent_ms", "slowdown", "avoided"}]}, each list in alphabetical order. */
json_t *wp_load_view_end(WPLoadView *v);

#endif
