/* HTTP/1.1 server for callers, in direct mode: parses requests strictly, one at
 * a time on each connection, and writes their answers. */
#ifndef WP_DOWNSTREAM_H
#define WP_DOWNSTREAM_H

#include "wp_account.h"
#include "wp_code.h"
#include "wp_h1.h"
#include "wp_route.h"

#include <event2/event.h>

typedef struct WPDownstream WPDownstream;
struct bufferevent;

/* The connection of one caller. It also identifies the request that is being
   answered on it, if any. */
typedef struct WPDownstreamConn {
    WPList node;
    WPDownstream *downstream;
    WPOwner owner;      /* of what the connection holds, in the account */
    size_t array_bytes; /* of arrays in the output, which are kept whole */
    struct bufferevent *bev;
    WPH1 h1;
    struct event *timer; /* head, idle and close timeouts */
    void *request;       /* the owner's state of the request that is being
                            answered */
    WPHead head;
    GByteArray *body;
    const char *head_error;  /* why the head is refused, or NULL */
    bool too_large;          /* the body exceeds the limit */
    bool no_room;            /* the box takes no further large body now */
    uint64_t reserved_bytes; /* of what large bodies may take */
    bool request_begun;      /* part of a request has arrived */
    bool answering;          /* a complete request is being answered */
    bool lingers;            /* input is discarded for a while after the last
                                answer, which the caller else might not get */
    bool closing;            /* only output that is already written is sent */
    bool dead;               /* freed at the end of the running callback */
    bool in_callback;
    bool keep_alive;    /* the caller allows another request */
    bool chunked;       /* the answer is sent in chunks */
    bool until_close;   /* it ends with the connection */
    bool is_head;       /* HEAD request: the answer has no body */
    bool backlogged;    /* the output buffer is full; `writable` is due */
    bool input_held;    /* no more is read, as too much waits to be parsed */
    bool upload_paused; /* the body is not read on, as the box buffers more
                           than its limit */
    uint32_t timer_ms;  /* the duration that `timer` was last set to */
    size_t timer_unread_bytes; /* output that the caller had not taken then */
    size_t unread_bytes;  /* output that the caller had not taken at the last
                             wp_downstream_poll_buffered() */
    int64_t last_read_us; /* last poll at which the caller had taken some
                             output, or none was waiting */
    int64_t last_active_us;
    int64_t begun_us; /* when the request began to arrive */
} WPDownstreamConn;

typedef struct WPDownstreamOps {
    /* A complete request has arrived. `h` stays valid until the request is
       answered. */
    void (*request)(void *arg, WPDownstreamConn *p, const WPHead *h);
    /* The connection ended before the answer was complete. */
    void (*caller_gone)(void *arg, WPDownstreamConn *p);
    /* The caller has taken output again after wp_downstream_is_backlogged()
       returned true. */
    void (*writable)(void *arg, WPDownstreamConn *p);
    /* Input that is not a valid request has been refused with `code`. */
    void (*refused)(void *arg, WPCode code, const char *detail);
    /* The connection of `o` has to give way, as the account is over its limit:
       it is closed after this, or its request refused. NULL: not told. */
    void (*gives_way)(void *arg, const WPOwner *o);
} WPDownstreamOps;

/* Listens on `addr` (IP:PORT). `ops` are called with `arg`. Returns NULL and
   sets `error` on failure. */
WPDownstream *wp_downstream_new(struct event_base *base, const char *addr,
                                const WPDownstreamOps *ops, void *arg,
                                GError **error);

/* Adds the connection of a caller, which it takes over, and starts its idle
   time-out. */
void wp_downstream_add(WPDownstream *f, struct bufferevent *bev);

/* Closes the listener and all connections of callers. */
void wp_downstream_free(WPDownstream *f);

/* Sets the size limits and timeouts of requests. */
void wp_downstream_set_limits(WPDownstream *f, const WPRouteLimits *limits);

/* Sets how many bytes the bodies of large requests may take together, from
   their heads to their answers; 0: no limit. Further ones are refused. */
void wp_downstream_set_uploads_limit(WPDownstream *f, uint64_t bytes);

/* Sets after which time without a sign of life, or in which it takes nothing of
   its answer, a caller counts as dead. For connections that are accepted
   later. */
void wp_downstream_set_silence(WPDownstream *f, uint32_t ms);

/* Sets how long a request may take to arrive as a whole. */
void wp_downstream_set_arrival_time(WPDownstream *f, uint32_t ms);

/* Sets how many connections may be open; 0: any number. Beyond them, a new one
   takes the place of the one that has been idle, or in the middle of a request,
   for the longest; if all wait for answers, the new one is closed. */
void wp_downstream_set_max_connections(WPDownstream *f, unsigned n);

/* Charges what connections hold to `a`, which must outlive `f`. While it is
   over its limit, connections that it names are closed, or their requests
   refused if these have not arrived completely. To be called before any
   connection is accepted. */
void wp_downstream_set_account(WPDownstream *f, WPAccount *a);

/* Charges the answer of the request that is being answered, as far as it is
   held elsewhere. */
void wp_downstream_charge_answer(WPDownstreamConn *p, uint64_t bytes);

/* Charges what parsing the body of the request that is being answered will
   take, until it has been answered. Returns false if there is no room. */
bool wp_downstream_reserve_parsed(WPDownstreamConn *p, uint64_t bytes);

/* Starts to drain: from now on each answer closes its connection, so that the
   caller connects to another box. */
void wp_downstream_start_drain(WPDownstream *f);

/* While draining: closes connections that have been idle for `idle_ms`, and
   those whose callers have stopped reading. An answer that is being read is not
   idle. Returns how many connections are left. */
unsigned wp_downstream_close_idle(WPDownstream *f, WPTime now,
                                  uint32_t idle_ms);

/* Whether an answer that is complete has not been read to its end. */
bool wp_downstream_has_unread(const WPDownstream *f);

/* Returns the number of open connections of callers. */
unsigned wp_downstream_connection_count(const WPDownstream *f);

/* Returns the bytes buffered for all callers (input, bodies and output), and
   records which callers have read since the last call. To be called several
   times a second. */
uint64_t wp_downstream_poll_buffered(WPDownstream *f, WPTime now);

/* Tells whether the box buffers more than its limit (`over`). While it does,
   request bodies of WP_BUFFERED_EXEMPT_BYTES and more are not read on. */
void wp_downstream_set_over_limit(WPDownstream *f, bool over);

/* Closes the connections of callers that have output waiting and have read
   none of it for `unread_ms`. Returns how many were closed. */
unsigned wp_downstream_close_unread(WPDownstream *f, WPTime now,
                                    uint32_t unread_ms);

/* Sends a complete answer. `fields` are header lines with their line ends. */
void wp_downstream_send_answer(WPDownstreamConn *p, int status, WPStr fields,
                               WPStr body);

/* The same with a body that is not copied, but kept until it is sent. */
void wp_downstream_send_array(WPDownstreamConn *p, int status, WPStr fields,
                              GByteArray *body);

/* Appends an array, which must not change any more; one that is not small is
   not copied. */
void wp_downstream_add_array(struct evbuffer *out, GByteArray *a);

/* Begins an answer in chunked encoding: sends its head. `fields`: as in
   wp_downstream_send_answer(). */
void wp_downstream_begin_chunked(WPDownstreamConn *p, int status, WPStr fields);

/* Sends `n` bytes of a chunked answer as one chunk. */
void wp_downstream_send_chunk(WPDownstreamConn *p, const void *data, size_t n);

/* Ends a chunked answer: sends the last chunk, after which the answer is
   complete. */
void wp_downstream_end_chunked(WPDownstreamConn *p);

/* Aborts a chunked answer: closes the connection without the last chunk, so
   that the caller sees that the answer is incomplete. */
void wp_downstream_abort(WPDownstreamConn *p);

/* Returns whether 64 KiB of output or more wait to be read by the caller, so
   that the endpoint should be paused; `writable` is called once half of that or
   less is left. */
bool wp_downstream_is_backlogged(WPDownstreamConn *p);

#endif
