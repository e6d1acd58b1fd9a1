/* State of one request that is relayed between a caller and endpoints; shared
 * by the parts of the relay. */
#ifndef WP_RELAY_INT_H
#define WP_RELAY_INT_H

#include "wp_direct_int.h"
#include "wp_stream.h"

typedef struct WPRelay {
    WPList node;
    WPDirectHost *host;
    WPDownstreamConn *downstream_conn;
    WPFlow *flow;
    WPUpstreamConn *upstream_conn; /* of the current attempt, or NULL */
    struct event *deadline_timer;  /* the request's deadline, or the end of the
                                      wait for routes */
    struct event *first_byte_timer;
    struct event *slot_timer; /* end of the wait for an endpoint's slot */
    WPStream stream;
    uint64_t events_before_attempt; /* stream events received before the current
                                       attempt */
    bool awaits_routes;             /* held until the routes are known */
    bool stream_begun;       /* the caller has the head of a streamed answer */
    int64_t stream_begun_us; /* when it was sent; 0: not yet */
    bool answer_streams;     /* the attempt's answer is a stream */
    bool forwards_stream;    /* the stream is forwarded as it arrives */
    WPDirectAnswer answer;   /* decoded head of the attempt's answer */
    bool answer_paused;      /* as the box buffers more than its limit */
    bool answer_admitted;    /* it is read to its end nevertheless */
    GString *fields;         /* header lines that are forwarded to the caller */
    GByteArray *body;        /* body of an answer that is buffered whole */
    GString *attempts_text;  /* log field "legs": all attempts so far */
    int64_t registry_age_ms; /* age of this box's copy of the endpoint registry
                                when the last attempt's endpoint was chosen */
} WPRelay;

/* wp_relay_log.c: writes the log line of a request that has ended. `outcome` is
   "ok", an error code or another reason; `status` is the HTTP status sent to
   the caller, 0 if none. */
void wp_relay_log_end(WPRelay *r, const char *outcome, int status);

/* Logs the changes of the state of endpoint `s` that the head of its answer
   reported. */
void wp_relay_log_head_changes(WPRelay *r, const WPReplica *s,
                               const WPHeadChanges *h);

/* Appends to the log line why the request is refused: the endpoint that was
   closest to eligible, and its temporary exclusion. */
void wp_relay_note_excluded(WPRelay *r, const WPFlowAction *m);

/* The same for a request that is suspect: the key of what it is suspect for. */
void wp_relay_note_suspect(WPRelay *r, uint64_t key);

/* Logs that the connection to an endpoint was lost while it ran the request. */
void wp_relay_log_connection_lost(WPRelay *r, const char *endpoint);

/* Appends an attempt that is being sent to the log line of the request: its
   reason and endpoint, the endpoint's load as this box knew it and the age of
   that report, the estimated tokens of uncached prompt, and the time to first
   byte predicted from that. */
void wp_relay_note_attempt(WPRelay *r, const WPFlowAction *m, WPTime now);

/* Appends the head of the present attempt's answer to the log line. */
void wp_relay_note_answer(WPRelay *r);

/* Appends how many events the present attempt's stream had, and the usual time
   between two of them. */
void wp_relay_note_events(WPRelay *r);

/* Appends why the answer is of a smaller model than the route's largest. */
void wp_relay_note_kept(WPRelay *r);

/* Appends to the log line that the request waits for a slot. */
void wp_relay_note_wait(WPRelay *r, uint32_t ms);

/* Logs and counts, as `kind`, an answer of `endpoint` that breaks the protocol.
   `fault` says how. */
void wp_relay_note_invalid(WPRelay *r, const char *endpoint, WPCounter kind,
                           const char *fault);

/* Appends to the log line how the present attempt ended. */
void wp_relay_note_result(WPRelay *r, const char *how);

#endif
