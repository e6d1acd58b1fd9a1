/* Floods updates about what endpoints report of themselves to all boxes:
 * each box forwards what was new to it. The contents come from
 * src/wp_fleet_limit.c, src/wp_demand.c and src/wp_fleet_notice.c. */
#ifndef WP_NOTICE_UPDATES_H
#define WP_NOTICE_UPDATES_H

#include "wp_direct_int.h"
#include "wp_peers.h"

typedef struct WPNoticeUpdates WPNoticeUpdates;

/* Creates the sender of these updates, which has sent none. `h` and `peers`
   must outlive it. */
WPNoticeUpdates *wp_notice_updates_new(WPDirectHost *h, WPPeers *peers);
void wp_notice_updates_free(WPNoticeUpdates *n);

/* Queues demand rates of the zone that are due and logs back-offs that have
   ended. */
void wp_notice_updates_tick(WPNoticeUpdates *n, WPTime now);

/* Schedules a message if there are unsent updates: now, or when the interval
   since the last message has passed. */
void wp_notice_updates_schedule(WPNoticeUpdates *n);

/* Merges a message that the box `from` has sent, and schedules the
   forwarding of what was new. */
void wp_notice_updates_merge(WPNoticeUpdates *n, const char *from,
                             const Wp__NoticeNews *m);

/* Another box was connected (`up`), and is sent the full state, or lost. */
void wp_notice_updates_peer_changed(WPNoticeUpdates *n, const char *peer,
                                    bool up);

#endif
