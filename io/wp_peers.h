/* The direct entry's links to the other boxes: each tells the others how far
 * it knows the store, and brings those up to date that are behind. */
#ifndef WP_PEERS_H
#define WP_PEERS_H

#include "settings.pb-c.h"
#include "wp_mirror.h"
#include "wp_shift.h"
#include "wp_traffic.h"

#include <event2/event.h>

/* The entry of a box: where it is reached, "IP:PORT ZONE". */
#define WP_KEY_BOX "wp/box/"

typedef struct WPPeers WPPeers;

typedef struct WPPeersOps {
    /* Entries that a box behind the store's answers lacked. */
    void (*delta)(void *arg, const char *from, const Wp__MirrorDelta *d);
    /* The same, but they cannot be read. */
    void (*bad_delta)(void *arg, const char *from);
    /* What else another box tells with each digest, and what this one does;
       what `fill` points the digest to must outlive the call. */
    void (*heard)(void *arg, const char *from, const Wp__MirrorDigest *d);
    void (*fill)(void *arg, Wp__MirrorDigest *d);
    /* A peer was reached or lost. */
    void (*changed)(void *arg, const char *peer, bool up);
    /* News of endpoints, of one box or passed on for all of the zone. */
    void (*zone_news)(void *arg, const char *from, const Wp__ZoneNews *z);
    /* News of requests under which endpoints have ended. */
    void (*suspects)(void *arg, const char *from, const Wp__SuspectNews *n);
    /* News of what endpoints say of themselves. */
    void (*notices)(void *arg, const char *from, const Wp__NoticeNews *n);
    /* Counts of usage; `far`: from a box of another zone. */
    void (*usage)(void *arg, bool far, const Wp__UsageNews *n);
} WPPeersOps;

/* Listens on the settings' `peers`. NULL and an error if that fails. */
WPPeers *wp_peers_new(struct event_base *base, const Wp__DirectSettings *s,
                      WPMirror *mirror, const WPPeersOps *ops, void *arg,
                      GError **error);
void wp_peers_free(WPPeers *p);

/* A box of `zone` is to be reached at `addr` (IP:PORT). */
void wp_peers_member(WPPeers *p, const char *id, const char *addr,
                     const char *zone);

/* How many boxes of this zone come before this one, in an order that all boxes
   share, of those that are linked and that the store answers: the first ones
   do what one box of a zone must do for the others. */
unsigned wp_peers_rank(const WPPeers *p);

/* Whether the store answers some box that is linked to this one. */
bool wp_peers_any_sighted(const WPPeers *p);

/* Whether a box that is linked to this one may tell it all entries, by now or
   soon: the store has not turned it away. */
bool wp_peers_may_tell(const WPPeers *p);

/* Whether this box watches the store for its zone. One does; for each that the
   store has stopped answering two more, as the next one may be cut off too and
   takes seconds to notice. `blind`: the store does not answer this box; then
   two of those keep asking it. */
bool wp_peers_on_duty(const WPPeers *p, bool blind);

/* This box has learned something: tells the others at once. */
void wp_peers_announce(WPPeers *p);

/* Sends news of endpoints to the box that passes them on in this zone; returns
   false when there is none, or it is this one. */
bool wp_peers_send_news(WPPeers *p, Wp__ZoneNews *z);

/* Whether this box passes news on to the others of its zone: to some, which
   pass it on in turn. */
bool wp_peers_passes_news(const WPPeers *p);
void wp_peers_pass_news(WPPeers *p, WPTime now, Wp__ZoneNews *z);

/* How many boxes are told by this one what is passed on. */
unsigned wp_peers_feeds(const WPPeers *p, WPTime now);

/* The box that does; NULL: none is reached. */
const char *wp_peers_passer(const WPPeers *p);

/* Sends counts of usage to that box; from there to some of each other zone. */
void wp_peers_send_usage(WPPeers *p, Wp__UsageNews *n);

/* Sends news of requests to all that this box is linked to. */
void wp_peers_send_suspects(WPPeers *p, Wp__SuspectNews *n);

/* Sends news of what endpoints say to all that this box is linked to; to one of
   them, if `to` is not NULL. */
void wp_peers_send_notices(WPPeers *p, const char *to, Wp__NoticeNews *n);

void wp_peers_tick(WPPeers *p, WPTime now);

/* For how long others have known more than this box; 0: they do not. */
int64_t wp_peers_behind_ms(WPPeers *p, WPTime now);

/* Digests are due more often: what they carry besides is wanted soon. */
void wp_peers_hurry(WPPeers *p, bool hurry);

/* Whether a box that knows nothing may be told all by one of another zone. */
void wp_peers_pull_far(WPPeers *p, bool far);

/* Whether this box keeps links to other zones, wherever it comes among those of
   its own: a box that the store does not answer hears of an endpoint that
   leaves from others alone. With its own zone's links alone it may hear from
   one that is itself behind. */
void wp_peers_reach_far(WPPeers *p, bool far);

/* How long what others know may be missing here before they are asked. */
void wp_peers_patience(WPPeers *p, uint32_t ms);

/* The most entries of the store that another box has told of. */
uint32_t wp_peers_entries(const WPPeers *p);

/* Boxes known, this one included. */
unsigned wp_peers_known(const WPPeers *p);

/* Calls `fn` for each box that is linked, as it names itself. */
typedef void (*WPPeersEach)(void *arg, const char *id, const char *addr,
                            const char *zone);
void wp_peers_each(WPPeers *p, WPPeersEach fn, void *arg);

/* The same for each other box that is known, and how often those changed. */
void wp_peers_each_member(WPPeers *p, WPPeersEach fn, void *arg);
uint32_t wp_peers_changes(const WPPeers *p);

/* Bytes that went over links to other boxes. */
const WPTraffic *wp_peers_traffic(const WPPeers *p);

/* Links that work at present. */
unsigned wp_peers_linked(const WPPeers *p);

#endif
