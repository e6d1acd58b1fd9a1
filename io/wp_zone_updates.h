/* Exchange of updates on endpoints between the boxes of a zone. */
#ifndef WP_ZONE_UPDATES_H
#define WP_ZONE_UPDATES_H

#include "wp_box_updates.h"
#include "wp_direct_int.h"
#include "wp_peers.h"

typedef struct WPZoneUpdates WPZoneUpdates;

/* Creates the sender of these updates, without any to send. If the setting
   zone_news is on, the fleet of `h` adds its updates to it. `h` and `peers`
   must outlive it. */
WPZoneUpdates *wp_zone_updates_new(WPDirectHost *h, WPPeers *peers);
void wp_zone_updates_free(WPZoneUpdates *z);

/* Adds demand rates of this box that are due to its updates. */
void wp_zone_updates_tick(WPZoneUpdates *z, WPTime now);

/* Schedules a message if there are unsent updates. */
void wp_zone_updates_schedule(WPZoneUpdates *z);

/* Merges a message of another box. If this box is the relay root and the
   message was not relayed, it goes into the next batch. */
void wp_zone_updates_merge(WPZoneUpdates *z, const Wp__ZoneNews *m);

#endif
