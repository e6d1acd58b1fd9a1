/* Framed connections between the system's own processes: a four byte
 * big-endian length, then a packed Frame. Each side says Hello first. */
#ifndef WP_LINK_H
#define WP_LINK_H

#include "wire.pb-c.h"
#include "wp_base.h"
#include "wp_traffic.h"

#include <event2/event.h>

enum {
    WP_FRAME_MOST = 8 << 20, /* bytes; larger ones close the link */
    WP_LINK_IDLE_S = 60,
    WP_LINK_CONNECT_S = 2
};

typedef struct WPHub WPHub;

typedef struct WPLink {
    WPList node;
    WPHub *hub;
    uint64_t id;
    struct bufferevent *bev;
    char *addr;          /* where the peer listens, once known */
    uint64_t peer_knows; /* revisions of the store, by its last digest */
    bool peer_blind;     /* the store does not answer it, by the same */
    char *peer_zone;     /* as it names it; NULL: it has not */
    char *peer;          /* the peer's box id, once it said Hello */
    uint64_t peer_incarnation;
    bool outgoing, connected, closing;
    uint64_t queued;  /* bytes ever queued */
    int64_t heard_us; /* when the last frame came */
    int64_t used_us;  /* when the last frame went or came */
    unsigned streams; /* requests under way on it */
    int64_t pinged_us;
} WPLink;

typedef struct WPHubOps {
    void (*frame)(void *arg, WPLink *l, Wp__Frame *f);
    void (*up)(void *arg, WPLink *l);   /* the peer has said Hello */
    void (*down)(void *arg, WPLink *l); /* freed after this returns */
    /* Called for each frame that goes out, to add what rides along. */
    void (*stamp)(void *arg, Wp__Frame *f);
    void (*bad)(void *arg, WPLink *l);
    /* Whether a scenario has cut this direction; NULL outside of tests. */
    bool (*blocked)(void *arg, const WPLink *l, bool outwards);
} WPHubOps;

/* Listens on addr:port. NULL and an error if that fails. `self` is sent in
   each Hello and must stay valid. */
WPHub *wp_hub_new(struct event_base *base, const char *addr, uint16_t port,
                  const Wp__Member *self, const WPHubOps *ops, void *arg,
                  GError **error);
void wp_hub_free(WPHub *h);

/* What has gone over its links; frames packed beforehand are not in it. */
const WPTraffic *wp_hub_traffic(const WPHub *h);

/* The link to the peer that listens at `addr`, made if need be; NULL when
   the address is malformed. */
WPLink *wp_hub_link(WPHub *h, const char *addr);

void wp_link_send(WPLink *l, Wp__Frame *f);

/* Sends a frame packed beforehand. */
void wp_link_send_packed(WPLink *l, const uint8_t *data, size_t size);
void wp_link_close(WPLink *l);

/* Bytes that were handed to the network; less than `queued` while some
   wait. */
uint64_t wp_link_written(const WPLink *l);

/* Pings links in use that have been silent for a heartbeat, closes those that
   stay silent, and idle ones. */
void wp_hub_tick(WPHub *h, int64_t now_us, int64_t heartbeat_us,
                 int64_t dead_us);
void wp_hub_each(WPHub *h, void (*fn)(void *arg, WPLink *l), void *arg);

#endif
