/* Shared by the runner's two sides. */
#ifndef WP_RUNNER_INT_H
#define WP_RUNNER_INT_H

#include "wp_code.h"
#include "wp_runner.h"
#include "wp_sse.h"

struct WPRunner {
    WPHost *host;
    WPAgent *agent;
    const Wp__AgentSettings *settings;
    char *endpoint_host;
    uint16_t endpoint_port;
    WPList jobs; /* of WPRun */
    GQueue idle; /* of WPEngineCon */
    GQueue dead; /* of WPEngineCon, to be closed at the next tick */
    bool draining;
};

/* A kept connection to the endpoint. */
typedef struct WPEngineCon {
    struct evhttp_connection *con;
    struct bufferevent *bev;
    bool written; /* bytes of the present request have left */
} WPEngineCon;

/* One job's bytes. */
typedef struct WPRun {
    WPList node;
    WPRunner *runner;
    WPJob *job;
    WPLink *link; /* NULL once the entry has gone */
    WPEngineCon *con;
    struct evhttp_request *request;
    struct event *pause;
    WPSse sse;
    GByteArray *copy; /* a plain answer, kept for its usage */
    int64_t window;   /* bytes the entry can take */
    int status;
    bool begun, head_sent, paused;
} WPRun;

/* wp_runner.c: the side of the entries. */
void wp_run_send(WPRun *r, Wp__Frame *f);
void wp_run_refuse(WPRun *r, WPCode code, WPRan ran, uint32_t retry_ms);
void wp_run_finished(WPRun *r, bool whole);
void wp_run_not_begun(WPRun *r, WPCode code, uint32_t retry_ms);

/* wp_engine.c: the side of the endpoint. */
void wp_engine_begin(WPRun *r);
void wp_engine_abort(WPRun *r); /* cancels at the endpoint */
void wp_engine_resume(WPRun *r);
void wp_engine_close_idle(WPRunner *r);
void wp_engine_trim(WPRunner *r); /* closes what failed or is too many */

#endif
