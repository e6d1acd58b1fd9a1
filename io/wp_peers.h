/* Links between the boxes in direct mode. Each box sends digests of its copy
 * of the store, and boxes that lag behind pull the missing entries from
 * others. */
#ifndef WP_PEERS_H
#define WP_PEERS_H

#include "settings.pb-c.h"
#include "wp_mirror.h"
#include "wp_shift.h"
#include "wp_peer_traffic.h"

#include <event2/event.h>

/* Key of a box's store entry; the value "IP:PORT ZONE" is its address. */
#define WP_KEY_BOX "wp/box/"

typedef struct WPPeers WPPeers;

typedef struct WPPeersOps {
    /* Store entries that this box lacked, as another box has sent them. */
    void (*delta)(void *arg, const char *from, const Wp__MirrorDelta *d);
    /* A delta could not be decompressed. */
    void (*bad_delta)(void *arg, const char *from);
    /* A digest has arrived. */
    void (*digest_received)(void *arg, const char *from,
                            const Wp__MirrorDigest *d);
    /* A digest is about to be sent: adds what else this box sends. Memory that
       the digest is made to point to must outlive the call. */
    void (*fill_digest)(void *arg, Wp__MirrorDigest *d);
    /* A peer was connected (`up`) or lost. */
    void (*peer_changed)(void *arg, const char *peer, bool up);
    /* Updates on endpoints, from one box or relayed for the whole zone. */
    void (*zone_updates)(void *arg, const char *from, const Wp__ZoneNews *z);
    /* Updates on requests that may crash endpoints. */
    void (*suspect_updates)(void *arg, const char *from,
                            const Wp__SuspectNews *n);
    /* Updates on what endpoints report of themselves. */
    void (*notice_updates)(void *arg, const char *from,
                           const Wp__NoticeNews *n);
    /* Usage counts; `remote_zone`: sent by a box of another zone. */
    void (*usage_updates)(void *arg, bool remote_zone, const Wp__UsageNews *n);
} WPPeersOps;

/* Listens on the setting `peers`. Returns NULL and sets `error` if that
   fails. */
WPPeers *wp_peers_new(struct event_base *base, const Wp__DirectSettings *s,
                      WPMirror *mirror, const WPPeersOps *ops, void *arg,
                      GError **error);

/* Closes the listener and all links to other boxes. */
void wp_peers_free(WPPeers *p);

/* Adds a box, or updates its zone and the address (IP:PORT) to dial. */
void wp_peers_set_member(WPPeers *p, const char *id, const char *addr,
                         const char *zone);

/* Returns the rank of this box in its zone: the number of boxes that precede
   it in an order that all boxes share, out of those that are linked and that
   the store answers. Boxes of low rank do the work that one box does for its
   whole zone. */
unsigned wp_peers_rank(const WPPeers *p);

/* Returns whether the store answers at least one box that is linked to this
   one. */
bool wp_peers_any_with_store(const WPPeers *p);

/* Returns whether a linked box may be able to send all entries, now or soon:
   one that has not reported that the store does not answer it. */
bool wp_peers_may_send_full_copy(const WPPeers *p);

/* Returns whether this box is one of those that watch the store for the
   zone. One box does, and two more for each box that the store has stopped
   answering, as the next one may be cut off too and takes seconds to notice.
   `store_unavailable`: the store does not answer this box; then two of these
   boxes keep polling it. */
bool wp_peers_is_designated_watcher(const WPPeers *p, bool store_unavailable);

/* Sends a digest to all linked boxes with the next tick, because the state
   of this box has changed. */
void wp_peers_schedule_digest(WPPeers *p);

/* Sends updates on endpoints to the relay root of this zone. Returns false
   if there is none or this box is the root. */
bool wp_peers_send_zone_updates(WPPeers *p, Wp__ZoneNews *z);

/* Returns whether this box is the relay root of its zone, which relays
   updates to some boxes that relay them in turn. */
bool wp_peers_is_relay_root(const WPPeers *p);

/* Sends updates to the relay children of this box. */
void wp_peers_relay_updates(WPPeers *p, WPTime now, Wp__ZoneNews *z);

/* Returns how many linked boxes this one relays updates to. */
unsigned wp_peers_relay_child_count(const WPPeers *p, WPTime now);

/* Returns the id of the zone's relay root, possibly this box; NULL: none is
   linked. */
const char *wp_peers_relay_root(const WPPeers *p);

/* Sends usage counts to the relay root of the zone; the root itself sends
   them to some boxes of each other zone. */
void wp_peers_send_usage(WPPeers *p, Wp__UsageNews *n);

/* Sends updates on suspect requests to all linked boxes. */
void wp_peers_send_suspects(WPPeers *p, Wp__SuspectNews *n);

/* Sends updates on what endpoints report to all linked boxes, or only to the
   box `to` if that is not NULL. */
void wp_peers_send_notices(WPPeers *p, const char *to, Wp__NoticeNews *n);

/* Closes silent links, connects to boxes, pulls missing entries and sends
   digests that are due. */
void wp_peers_tick(WPPeers *p, WPTime now);

/* Returns for how many milliseconds other boxes have had revisions that this
   one lacks; 0: it lacks none. */
int64_t wp_peers_lag_ms(WPPeers *p, WPTime now);

/* Sets whether digests are sent more often, because a shift needs what they
   carry soon. */
void wp_peers_set_fast_digests(WPPeers *p, bool fast);

/* Sets whether a box without any entries may pull all of them from another
   zone. */
void wp_peers_set_remote_full_pull(WPPeers *p, bool allowed);

/* Sets whether this box keeps links to other zones whatever its rank in its
   own. A box that the store does not answer learns only from other boxes
   that an endpoint is draining; with links to its own zone alone it may
   learn it from a box that itself lags behind. */
void wp_peers_set_remote_links(WPPeers *p, bool allowed);

/* Sets how many milliseconds a revision may be missing before it is pulled
   from another box. */
void wp_peers_set_pull_delay(WPPeers *p, uint32_t ms);

/* Returns the highest number of store entries that another box has reported. */
uint32_t wp_peers_max_entries(const WPPeers *p);

/* Returns the number of known boxes, this one included. */
unsigned wp_peers_known_count(const WPPeers *p);

/* Calls `fn` for each linked box, with the id, address and zone of its
   Hello. */
typedef void (*WPPeersEachFn)(void *arg, const char *id, const char *addr,
                              const char *zone);
void wp_peers_each_linked(WPPeers *p, WPPeersEachFn fn, void *arg);

/* Calls `fn` for each other known box, linked or not. */
void wp_peers_each_member(WPPeers *p, WPPeersEachFn fn, void *arg);

/* Returns a number that increases whenever another box becomes known, linked or
   not, or the address or zone of a known one changes. */
uint32_t wp_peers_generation(const WPPeers *p);

/* Returns the bytes sent to and received from other boxes. */
const WPPeerTraffic *wp_peers_traffic(const WPPeers *p);

/* Returns the number of links that are up. */
unsigned wp_peers_linked_count(const WPPeers *p);

#endif
