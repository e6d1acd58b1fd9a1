/* News of endpoints between the boxes of a zone. */
#ifndef WP_ZONE_H
#define WP_ZONE_H

#include "wp_box_updates.h"
#include "wp_direct_int.h"
#include "wp_peers.h"

typedef struct WPZone WPZone;

WPZone *wp_zone_new(WPDirectHost *h, WPPeers *peers);
void wp_zone_free(WPZone *z);

/* This box's own figures go out when they are due. */
void wp_zone_tick(WPZone *z, WPTime now);

/* What this box has to tell goes out soon. */
void wp_zone_wake(WPZone *z);

/* Another box's message. */
void wp_zone_heard(WPZone *z, const Wp__ZoneNews *m);

#endif
