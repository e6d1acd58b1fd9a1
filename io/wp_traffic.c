/* Bytes between boxes. */
#include "wp_traffic.h"

void wp_traffic_add(WPTraffic *t, const Wp__Frame *f, bool same_zone,
                    WPTrafficWay way, size_t bytes)
{
    unsigned kind = (unsigned)f->body_case;
    WPTrafficBorder border = same_zone ? WP_TRAFFIC_ZONE : WP_TRAFFIC_FAR;
    if (kind < WP_TRAFFIC_KINDS)
        t->bytes[kind][border][way] += bytes;
}

void wp_traffic_each(const WPTraffic *t, WPTrafficEach fn, void *arg)
{
    static const char *const borders[] = { "zone", "far" };
    static const char *const ways[] = { "sent", "received" };
    for (unsigned k = 1; k < WP_TRAFFIC_KINDS; k++) {
        const ProtobufCFieldDescriptor *d =
            protobuf_c_message_descriptor_get_field(&wp__frame__descriptor, k);
        for (unsigned b = 0; d && b < WP_TRAFFIC_BORDERS; b++)
            for (unsigned w = 0; w < WP_TRAFFIC_WAYS; w++)
                if (t->bytes[k][b][w])
                    fn(arg, d->name, borders[b], ways[w], t->bytes[k][b][w]);
    }
}
