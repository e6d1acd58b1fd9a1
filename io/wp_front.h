/* The callers' side of the direct way: reads requests strictly, one at a time
 * of each connection, and writes what they are answered. */
#ifndef WP_FRONT_H
#define WP_FRONT_H

#include "wp_code.h"
#include "wp_h1.h"
#include "wp_route.h"

#include <event2/event.h>

typedef struct WPFront WPFront;

/* One caller's connection; stands for its request while there is one. */
typedef struct WPPeer {
    WPList node;
    WPFront *front;
    struct bufferevent *bev;
    WPH1 h1;
    struct event *timer;
    void *request; /* what the owner keeps for the request under way */
    WPHead head;
    GByteArray *body;
    const char *bad; /* why the head is refused, or NULL */
    bool too_large;
    bool reading; /* part of a request has come */
    bool busy;    /* a request is being answered */
    bool closing; /* only what is written still leaves */
    bool dead, in_callback;
    bool keep_alive; /* the caller allows another request */
    bool chunked;    /* the answer goes out in chunks */
    bool is_head;    /* HEAD: no body goes out */
    bool held;       /* the caller reads too slowly */
    bool waits;      /* its body is not read on, as too much is held */
    size_t unread;   /* bytes that the caller has not taken, at the last look */
    int64_t unread_us; /* when it last took some, or nothing waited */
    int64_t active_us;
} WPPeer;

typedef struct WPFrontOps {
    /* A whole request; its head is valid until it is answered. */
    void (*request)(void *arg, WPPeer *p, const WPHead *h);
    /* The caller has gone before the answer was whole. */
    void (*left)(void *arg, WPPeer *p);
    /* The caller reads again after wp_front_is_full(). */
    void (*drained)(void *arg, WPPeer *p);
    /* A request that never became one was refused. */
    void (*refused)(void *arg, WPCode code, const char *detail);
} WPFrontOps;

/* Listens on `addr` (IP:PORT). NULL and an error if that fails. */
WPFront *wp_front_new(struct event_base *base, const char *addr,
                      const WPFrontOps *ops, void *arg, GError **error);
void wp_front_free(WPFront *f);
void wp_front_limits(WPFront *f, const WPRouteLimits *limits);

/* Answers tell callers from now on to come to another box. */
void wp_front_leave(WPFront *f);

/* While leaving: closes connections that rest for `idle_ms`. Returns how many
   are left. */
unsigned wp_front_close_idle(WPFront *f, WPTime now, uint32_t idle_ms);
unsigned wp_front_connections(const WPFront *f);

/* Bytes that are held for callers. To be called some times a second: it also
   notes who reads. */
uint64_t wp_front_held(WPFront *f, WPTime now);

/* While too much is held, no large body is read on. */
void wp_front_hold(WPFront *f, bool over);

/* Cuts off the callers that have read nothing for so long of what waits for
   them; returns how many. */
unsigned wp_front_cut_unread(WPFront *f, WPTime now, uint32_t unread_ms);

/* An answer of one piece. `fields` are lines with their line ends. */
void wp_front_answer(WPPeer *p, int status, WPStr fields, WPStr body);

/* An answer in pieces. */
void wp_front_begin(WPPeer *p, int status, WPStr fields);
void wp_front_piece(WPPeer *p, const void *data, size_t n);
void wp_front_finish(WPPeer *p);

/* Breaks the answer off, so that it does not look whole. */
void wp_front_cut(WPPeer *p);

/* Whether enough waits to be read by the caller; `drained` follows. */
bool wp_front_is_full(WPPeer *p);

#endif
