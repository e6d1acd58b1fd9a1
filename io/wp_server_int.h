/* Shared by the parts of the server: exchanges, replies, legs. */
#ifndef WP_SERVER_INT_H
#define WP_SERVER_INT_H

#include "wp_request_parse.h"
#include "wp_code.h"
#include "wp_rollout.h"
#include "wp_server.h"

struct WPServer {
    WPHost *host;
    WPEntry *entry;
    struct evhttp *http;
    const Wp__EntrySettings *settings;
    GHashTable *streams; /* stream number -> WPExchange */
    WPList exchanges;
    uint64_t next_stream;
    Wp__Chart *chart;
    WPRolloutMonitor watch;
    int64_t rollout_due_us;
    bool rollout_writing;
};

/* One caller's request from its arrival to its answer's last byte. */
typedef struct WPExchange {
    WPList node;
    WPServer *server;
    struct evhttp_request *http; /* NULL once the caller has gone */
    WPRequest *request;
    json_t *body;    /* a chat request's */
    GByteArray *raw; /* a plain service's */
    char *path, *method;
    char *content_type;
    bool stream, want_usage;
    int64_t again_us; /* when to choose again; 0: not waiting */
    /* The present leg. */
    WPLink *link;
    uint64_t stream_id;
    uint64_t start_at; /* place of the Start in the link's bytes */
    int status;
    char *answer_type;
    struct evbuffer *held; /* not yet passed on */
    GString *copy;         /* of an answer that is to be rated, or NULL */
    bool replying;
    size_t unwritten; /* passed on, not yet taken by the caller */
    size_t credit;    /* to be granted to the agent */
} WPExchange;

/* wp_legs.c: the side of the agents. */
void wp_exchange_do(WPExchange *x, WPStep step);
void wp_exchange_cancel(WPExchange *x);
void wp_exchange_grant(WPExchange *x, size_t bytes);
void wp_legs_frame(WPServer *s, WPLink *l, Wp__Frame *f);
void wp_legs_down(WPServer *s, WPLink *l);
void wp_legs_tell_witness(WPServer *s);
void wp_exchange_free(WPExchange *x);

/* wp_reply.c: the side of the caller. */
void wp_reply_error(struct evhttp_request *r, const WPRequest *q, WPCode code,
                    uint32_t retry_ms, const char *detail);
void wp_reply_pass_on(WPExchange *x);
void wp_reply_end(WPExchange *x);
void wp_reply_broken(WPExchange *x, WPCode code);

/* wp_steer.c: roll-outs and automatic stops. */
void wp_steer_tick(WPServer *s, WPTime now);

#endif
