/* Counts the bytes sent between boxes. */
#include "wp_peer_traffic.h"

void wp_peer_traffic_add(WPPeerTraffic *t, const Wp__Frame *f, bool same_zone,
                         WPPeerTrafficDirection direction, size_t bytes)
{
    unsigned kind = (unsigned)f->body_case;
    WPPeerTrafficScope scope =
        same_zone ? WP_PEER_TRAFFIC_LOCAL_ZONE : WP_PEER_TRAFFIC_REMOTE_ZONE;
    if (kind < WP_PEER_TRAFFIC_KINDS)
        t->bytes[kind][scope][direction] += bytes;
}

void wp_peer_traffic_each(const WPPeerTraffic *t, WPPeerTrafficFn fn, void *arg)
{
    static const char *const scopes[] = { "zone", "far" };
    static const char *const directions[] = { "sent", "received" };
    for (unsigned k = 1; k < WP_PEER_TRAFFIC_KINDS; k++) {
        const ProtobufCFieldDescriptor *d =
            protobuf_c_message_descriptor_get_field(&wp__frame__descriptor, k);
        for (unsigned b = 0; d && b < WP_PEER_TRAFFIC_SCOPES; b++)
            for (unsigned w = 0; w < WP_PEER_TRAFFIC_DIRECTIONS; w++)
                if (t->bytes[k][b][w])
                    fn(arg, d->name, scopes[b], directions[w],
                       t->bytes[k][b][w]);
    }
}
