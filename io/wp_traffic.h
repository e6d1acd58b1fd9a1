/* Bytes between boxes, by kind of message and by whether they cross the border
 * of a zone, which is paid for. */
#ifndef WP_TRAFFIC_H
#define WP_TRAFFIC_H

#include "wire.pb-c.h"
#include "wp_base.h"

enum { WP_TRAFFIC_KINDS = 64 }; /* above the highest Frame body's number */

typedef enum WPTrafficWay {
    WP_TRAFFIC_SENT,
    WP_TRAFFIC_RECEIVED,
    WP_TRAFFIC_WAYS
} WPTrafficWay;

typedef enum WPTrafficBorder {
    WP_TRAFFIC_ZONE, /* within this box's zone */
    WP_TRAFFIC_FAR,  /* to or from another one, or not known yet */
    WP_TRAFFIC_BORDERS
} WPTrafficBorder;

typedef struct WPTraffic {
    uint64_t bytes[WP_TRAFFIC_KINDS][WP_TRAFFIC_BORDERS][WP_TRAFFIC_WAYS];
} WPTraffic;

void wp_traffic_add(WPTraffic *t, const Wp__Frame *f, bool same_zone,
                    WPTrafficWay way, size_t bytes);

/* Calls `fn` for each kind, border and way that has any. */
typedef void (*WPTrafficEach)(void *arg, const char *kind, const char *border,
                              const char *way, uint64_t bytes);
void wp_traffic_each(const WPTraffic *t, WPTrafficEach fn, void *arg);

#endif
