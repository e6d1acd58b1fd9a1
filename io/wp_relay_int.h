/* One request between a caller and the endpoints, as the parts of the relay
 * share it. */
#ifndef WP_RELAY_INT_H
#define WP_RELAY_INT_H

#include "wp_direct_int.h"
#include "wp_stream.h"

typedef struct WPRelay {
    WPList node;
    WPDirectHost *host;
    WPPeer *peer;
    WPFlow *flow;
    WPChannel *channel; /* of the leg under way */
    struct event *expire, *patience;
    WPStream stream;
    uint64_t leg_from;     /* events that had come before this leg */
    GByteArray *piece;     /* of events, on their way */
    bool held;             /* until the routes are known */
    bool begun;            /* the caller has the head of a stream */
    int64_t begun_us;      /* since when; 0: not yet */
    bool answer_streams;   /* the leg's answer is a stream */
    bool streaming;        /* and is passed on as it comes */
    WPDirectAnswer answer; /* the leg's, decoded */
    GString *fields;       /* that reach the caller */
    GByteArray *body;
    GString *legs;       /* for the log */
    int64_t list_age_ms; /* how old what the last leg's choice knew of the list
                            was */
} WPRelay;

/* wp_relay_log.c: the line of a request, with what decided it. */
void wp_relay_log_end(WPRelay *r, const char *outcome, int status);

/* What an answer's head told of its endpoint, where that is new. */
void wp_relay_log_heard(WPRelay *r, const WPReplica *s, const WPHeard *h);

/* The request is refused for what bars endpoints for a while. */
void wp_relay_note_barred(WPRelay *r, const WPMove *m);

/* The connection to an endpoint has ended under the request. */
void wp_relay_log_ended(WPRelay *r, const char *endpoint);

/* The part of that line for each leg: why, where, how loaded that was believed
   to be and how old the belief was, what it was believed to have to read, and
   the first byte's time foretold from that; then the head of its answer, and
   how it ended. */
void wp_relay_note_leg(WPRelay *r, const WPMove *m, WPTime now);
void wp_relay_note_answer(WPRelay *r);
void wp_relay_note_result(WPRelay *r, const char *how);

#endif
