/* Framed connections between the processes of the router: a four byte
 * big-endian length, then a serialized Frame. Each side sends a Hello first. */
#ifndef WP_LINK_H
#define WP_LINK_H

#include "wire.pb-c.h"
#include "wp_base.h"
#include "wp_peer_traffic.h"

#include <event2/event.h>

enum {
    WP_FRAME_MAX_BYTES = 8 << 20, /* a longer frame closes the link */
    WP_LINK_IDLE_TIMEOUT_S = 60,
    WP_LINK_CONNECT_TIMEOUT_S = 2,
    /* Of a peer that has not identified itself by a Hello: the bytes that are
       read of it, and the time that it has. */
    WP_LINK_HELLO_MAX_BYTES = 16 << 10,
    WP_LINK_HELLO_TIMEOUT_S = 10
};

/* The listener and all links of a process. */
typedef struct WPHub WPHub;

typedef struct WPLink {
    WPList node;
    WPHub *hub;
    uint64_t id;
    struct bufferevent *bev;
    /* address that the peer listens on; NULL until known */
    char *addr;
    /* store revision up to which the peer is complete, from its last digest */
    uint64_t peer_revision;
    /* from its last digest: the store does not answer the peer */
    bool peer_store_unavailable;
    char *peer_zone; /* from its Hello; NULL: not given yet */
    char *peer;      /* the peer's box id; NULL before its Hello */
    uint64_t peer_incarnation;
    bool outgoing, connected, closing;
    uint64_t queued_bytes; /* bytes queued for sending since the start */
    int64_t received_us;   /* when data last arrived (monotonic) */
    /* when the last frame arrived (monotonic), for the idle timeout */
    int64_t last_used_us;
    int64_t opened_us;
    unsigned in_flight; /* requests in flight on the link */
    int64_t pinged_us;
} WPLink;

/* Callbacks of a hub; `arg` is the one given to wp_hub_new(). */
typedef struct WPHubOps {
    /* A frame has arrived; it is freed after this returns. */
    void (*frame)(void *arg, WPLink *l, Wp__Frame *f);
    void (*up)(void *arg, WPLink *l); /* the peer's Hello has arrived */
    /* the link is freed after this returns */
    void (*down)(void *arg, WPLink *l);
    /* Called for each outgoing frame, to add piggybacked fields. */
    void (*before_send)(void *arg, Wp__Frame *f);
    /* An invalid frame has arrived; the link is closed after this returns. */
    void (*bad_frame)(void *arg, WPLink *l);
    /* Whether fault injection drops frames in this direction; NULL outside
       of tests. */
    bool (*blocked)(void *arg, const WPLink *l, bool outwards);
} WPHubOps;

/* Listens on addr:port and returns the hub, which owns all links of the
   process. Returns NULL and sets `error` if that fails. `self` is sent in
   each Hello and must stay valid. */
WPHub *wp_hub_new(struct event_base *base, const char *addr, uint16_t port,
                  const Wp__Member *self, const WPHubOps *ops, void *arg,
                  GError **error);

/* Stops listening, closes all links and frees the hub. */
void wp_hub_free(WPHub *h);

/* Returns the bytes sent and received on all links. Frames sent with
   wp_link_send_serialized() are not counted. */
const WPPeerTraffic *wp_hub_traffic(const WPHub *h);

/* Returns the link to the peer that listens on `addr` (IP:PORT). If there is
   none, creates one and begins to connect: the link may then not be connected
   yet, and frames sent on it wait until it is. The hub owns the link, which is
   valid until `down` was called for it. Returns NULL if the address is
   malformed. */
WPLink *wp_hub_get_link(WPHub *h, const char *addr);

/* Sends a frame. */
void wp_link_send(WPLink *l, Wp__Frame *f);

/* Sends a Frame that was serialized beforehand. */
void wp_link_send_serialized(WPLink *l, const uint8_t *data, size_t size);

/* Closes the link and frees it, after a call of `down`. */
void wp_link_close(WPLink *l);

/* Returns how many bytes were written to the socket; less than
   `queued_bytes` while some are still buffered. */
uint64_t wp_link_written_bytes(const WPLink *l);

/* Sends a ping on each link with requests in flight that has been silent for
   `heartbeat_us`; closes such links after a silence of `dead_us`, and links
   without requests after WP_LINK_IDLE_TIMEOUT_S. */
void wp_hub_tick(WPHub *h, int64_t now_us, int64_t heartbeat_us,
                 int64_t dead_us);

/* Calls `fn` for each link; `fn` may close that link. */
void wp_hub_each(WPHub *h, void (*fn)(void *arg, WPLink *l), void *arg);

#endif
