/* Connections to endpoints that are called directly: kept ones are used
 * again, one request at a time each. */
#ifndef WP_BACK_H
#define WP_BACK_H

#include "wp_fleet.h"
#include "wp_h1.h"

#include <event2/event.h>

typedef struct WPBack WPBack;
typedef struct WPChannel WPChannel;

typedef struct WPBackOps {
    /* Whether this answer belongs to the request under way; others are read
       over. `arg` is the request's. */
    bool (*is_mine)(void *arg, const WPHead *h);
    void (*head)(void *arg, const WPHead *h);
    void (*body)(void *arg, const char *p, size_t n);
    /* The answer has ended well; the channel is no longer the request's. */
    void (*whole)(void *arg);
    /* No (whole) answer will come; the channel is gone. `sent`: some of the
       request may have arrived. */
    void (*lost)(void *arg, bool sent, bool began);
} WPBackOps;

typedef struct WPBackRules {
    uint32_t connect_ms;   /* then the endpoint counts as silent */
    uint32_t idle_ms;      /* kept at most so long, if it told no other */
    uint32_t idle_once_ms; /* the same, for what may not be repeated */
} WPBackRules;

WPBack *wp_back_new(struct event_base *base, const char *from,
                    const WPBackRules *rules, const WPBackOps *ops);
void wp_back_free(WPBack *b);

/* Hands a request over; `request` is drained. The answer comes through the
   ops, never from within this call. NULL when the address is malformed. */
WPChannel *wp_back_send(WPBack *b, WPTime now, WPReplica *to,
                        struct evbuffer *request, bool no_body, bool once,
                        void *arg);

/* Gives the request up: the channel is closed, so that the endpoint stops. */
void wp_back_cancel(WPChannel *c);

/* Holds the answer back while the caller does not read. */
void wp_back_pause(WPChannel *c, bool paused);

/* Closes channels whose time is over, or whose endpoint is gone. */
void wp_back_tick(WPBack *b, WPTime now);

/* New connections made so far. */
/* Bytes of requests that endpoints have not taken yet. */
uint64_t wp_back_held(const WPBack *b);

uint64_t wp_back_opened(const WPBack *b);

#endif
