/* Pool of HTTP/1.1 connections to endpoints, in direct mode. Idle connections
 * are reused; each carries one request at a time. */
#ifndef WP_UPSTREAM_H
#define WP_UPSTREAM_H

#include "wp_fleet.h"
#include "wp_h1.h"

#include <event2/event.h>

typedef struct WPUpstream WPUpstream;
typedef struct WPUpstreamConn WPUpstreamConn;

/* Callbacks for the requests of a pool; `arg` is that of wp_upstream_send(). */
typedef struct WPUpstreamOps {
    /* Returns whether the response with this head answers the request in
       flight; other responses are read and discarded. */
    bool (*is_answer)(void *arg, const WPHead *h);
    /* The head of the answer has arrived. */
    void (*head)(void *arg, const WPHead *h);
    /* The next `n` bytes of the answer's body have arrived. */
    void (*body)(void *arg, const char *p, size_t n);
    /* The answer is complete. The connection no longer belongs to the
       request. */
    void (*complete)(void *arg);
    /* The connection failed before the answer was complete, and is closed.
       `sent`: part of the request may have reached the endpoint. `began`: the
       head of the answer had arrived. */
    void (*lost)(void *arg, bool sent, bool began);
    /* The endpoint has sent bytes that are no answer in HTTP, and the
       connection is closed. `sent`, `began`: as above. `fault` says what is
       wrong. */
    void (*invalid)(void *arg, bool sent, bool began, const char *fault);
} WPUpstreamOps;

typedef struct WPUpstreamRules {
    uint32_t connect_ms; /* connect timeout; the endpoint then counts as
                            silent */
    uint32_t idle_ms;    /* longest time that a connection stays idle before
                            reuse, if the endpoint has sent no Keep-Alive
                            time */
    uint32_t idle_non_repeatable_ms; /* upper bound of the idle time of a
                                        connection that is reused for a
                                        non-repeatable request */
} WPUpstreamRules;

/* Makes an empty pool. `from` is the local address to connect from. `ops` must
   outlive the pool. */
WPUpstream *wp_upstream_new(struct event_base *base, const char *from,
                            const WPUpstreamRules *rules,
                            const WPUpstreamOps *ops);

/* Closes all connections; no callback is called. */
void wp_upstream_free(WPUpstream *b);

/* Sends a request to the endpoint `to` on an idle or a new connection, and
   drains `request`. The callbacks are called with `arg`, but never from within
   this call. `no_body`: the answer has no body (HEAD). `non_repeatable`: the
   request must not run twice, so only connections idle for less than
   `idle_non_repeatable_ms` are reused for it. Returns NULL if no connection
   could be opened, as for a malformed address. */
WPUpstreamConn *wp_upstream_send(WPUpstream *b, WPTime now, WPReplica *to,
                                 struct evbuffer *request, bool no_body,
                                 bool non_repeatable, void *arg);

/* Abandons the request in flight on `c`: closes and frees the connection, so
   that the endpoint stops working on the request. No callback is called, and
   `c` is no longer valid. Must only be called while the request is in flight:
   after `complete` or `lost` the connection does not belong to it any more. */
void wp_upstream_cancel(WPUpstreamConn *c);

/* Stops or resumes reading the answer; used for backpressure while the caller
   does not read. */
void wp_upstream_set_paused(WPUpstreamConn *c, bool paused);

/* Closes idle connections whose idle time is over, or whose endpoint is
   gone. */
void wp_upstream_tick(WPUpstream *b, WPTime now);

/* Returns how many connections have been opened since the pool was made. */
uint64_t wp_upstream_connections_opened(const WPUpstream *b);

#endif
