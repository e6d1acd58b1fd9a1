/* Exchange of usage counts between boxes (src/wp_usage.h). */
#ifndef WP_USAGE_UPDATES_H
#define WP_USAGE_UPDATES_H

#include "wp_peers.h"
#include "wp_usage.h"

typedef struct WPUsageUpdates WPUsageUpdates;

/* Creates the sender of the counts in `usage`. `peers` and `usage` must outlive
   it. */
WPUsageUpdates *wp_usage_updates_new(WPPeers *peers, WPUsage *usage);
void wp_usage_updates_free(WPUsageUpdates *n);

/* Sends counts that are unsent yet, at most every 400 ms. */
void wp_usage_updates_tick(WPUsageUpdates *n, WPTime now);

/* Merges counts sent by another box; `remote_zone`: a box of another zone. */
void wp_usage_updates_merge(WPUsageUpdates *n, bool remote_zone,
                            const Wp__UsageNews *m);

#endif
