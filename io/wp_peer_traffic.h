/* Counts the bytes sent between boxes, by kind of message and by whether they
 * leave the zone: traffic between zones is paid for. */
#ifndef WP_PEER_TRAFFIC_H
#define WP_PEER_TRAFFIC_H

#include "wire.pb-c.h"
#include "wp_base.h"

enum {
    /* more than the highest field number of a Frame's body */
    WP_PEER_TRAFFIC_KINDS = 64
};

typedef enum WPPeerTrafficDirection {
    WP_PEER_TRAFFIC_SENT,
    WP_PEER_TRAFFIC_RECEIVED,
    WP_PEER_TRAFFIC_DIRECTIONS
} WPPeerTrafficDirection;

typedef enum WPPeerTrafficScope {
    WP_PEER_TRAFFIC_LOCAL_ZONE,  /* within this box's zone */
    WP_PEER_TRAFFIC_REMOTE_ZONE, /* to or from another zone, or the peer's zone
                                    is not known yet */
    WP_PEER_TRAFFIC_SCOPES
} WPPeerTrafficScope;

typedef struct WPPeerTraffic {
    uint64_t bytes[WP_PEER_TRAFFIC_KINDS][WP_PEER_TRAFFIC_SCOPES]
                  [WP_PEER_TRAFFIC_DIRECTIONS];
} WPPeerTraffic;

/* Counts `bytes` of the frame; `same_zone`: the peer is in this box's zone. */
void wp_peer_traffic_add(WPPeerTraffic *t, const Wp__Frame *f, bool same_zone,
                         WPPeerTrafficDirection direction, size_t bytes);

/* Calls `fn` for each kind of message, scope ("zone" or "far") and direction
   ("sent" or "received") whose count is not 0. */
typedef void (*WPPeerTrafficFn)(void *arg, const char *kind, const char *scope,
                                const char *direction, uint64_t bytes);
void wp_peer_traffic_each(const WPPeerTraffic *t, WPPeerTrafficFn fn,
                          void *arg);

#endif
