/* Internals of the server, shared by its source files: exchanges, replies,
 * attempts. */
#ifndef WP_SERVER_INT_H
#define WP_SERVER_INT_H

#include "wp_request_parse.h"
#include "wp_code.h"
#include "wp_rollout.h"
#include "wp_server.h"

struct WPServer {
    WPHost *host;
    WPEntry *entry;
    WPDownstream *callers;
    const Wp__EntrySettings *settings;
    GHashTable *streams; /* stream id of an attempt -> WPExchange */
    WPList exchanges;
    uint64_t next_stream;
    Wp__Chart *chart;
    WPRolloutMonitor rollout_monitor;
    int64_t rollout_due_us;
    bool rollout_writing;
};

/* One caller's request, from its arrival to the last byte of its answer. */
typedef struct WPExchange {
    WPList node;
    WPServer *server;
    WPDownstreamConn *caller; /* NULL once the caller has gone */
    WPRequest *request;
    json_t *json_body;    /* of a chat request */
    GByteArray *raw_body; /* of a request to a plain service */
    char *path, *method;
    char *content_type;
    bool stream;         /* the answer is to be streamed */
    bool want_usage;     /* the caller asked for token counts in the stream */
    int64_t retry_at_us; /* when to choose an endpoint again; 0: not waiting */
    /* The current attempt. */
    WPLink *link;
    uint64_t stream_id;
    uint64_t start_offset; /* of its Start frame in the bytes queued on the
                              link */
    int status;
    char *answer_type;
    struct evbuffer *pending_answer; /* not yet passed on to the
                                        caller */
    GString *rating_copy; /* of an answer that is to be rated, or NULL */
    bool reply_started;
    size_t untaken; /* bytes passed on while the caller was not reading */
    size_t ungranted_bytes; /* to be added to the agent's flow control window */
} WPExchange;

/* wp_attempts.c: attempts of exchanges at endpoints, by way of agents. */

/* Carries out what the entry has decided: sends an attempt, has the answer
   checked, waits for a retry, or ends and frees the exchange. */
void wp_exchange_run_action(WPExchange *x, WPEntryAction step);

/* Cancels the current attempt, if there is one, at its agent. */
void wp_exchange_cancel(WPExchange *x);

/* Allows the agent to send `bytes` bytes more. Grants are collected until they
   are a quarter of the flow control window. */
void wp_exchange_grant(WPExchange *x, size_t bytes);

/* Handles a frame of a link. */
void wp_attempts_on_frame(WPServer *s, WPLink *l, Wp__Frame *f);

/* The link has lost its connection, and with it its attempts. */
void wp_attempts_on_link_down(WPServer *s, WPLink *l);

/* Sends the backup entry the changes of the bills that it keeps copies of. */
void wp_attempts_send_backup(WPServer *s);

/* Removes the exchange from its server and its link, and frees it. */
void wp_exchange_free(WPExchange *x);

/* wp_reply.c: answers to callers. */

/* Answers with an error. `q` is the request, or NULL if the entry has none;
   `retry_ms`: when to try again, 0: not stated; `detail`: a message in place of
   the code's own, or NULL. */
void wp_reply_error(WPDownstreamConn *p, const WPRequest *q, WPCode code,
                    uint32_t retry_ms, const char *detail);

/* The caller reads again: the agent is granted what the caller has taken. */
void wp_reply_writable(WPExchange *x);

/* Sends the caller the part of the answer that has come. */
void wp_reply_forward(WPExchange *x);

/* Answers with an error, if the caller has not gone. */
void wp_reply_fail(WPExchange *x, WPCode code, uint32_t retry_ms);

/* Ends the answer, after what is left of it. */
void wp_reply_finish(WPExchange *x);

/* Breaks off an answer of which the caller has a part: a stream ends with an
   error event for `code`; for any other answer the connection is closed, so
   that it is not taken for complete. */
void wp_reply_abort(WPExchange *x, WPCode code);

/* wp_rollout_control.c: advances roll-outs and withdraws bad versions. */
void wp_rollout_control_tick(WPServer *s, WPTime now);

#endif
