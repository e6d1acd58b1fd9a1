/* Shared by wp_runner.c (links to entries) and wp_engine.c (connections to
 * the endpoint). */
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
    WPList jobs;        /* of WPRun */
    GQueue idle;        /* of WPEngineCon, for reuse */
    bool starting_jobs; /* guards start_ready_jobs() against recursion */
};

typedef struct WPEngineCon WPEngineCon;

/* The transfer of one job's request and answer. */
typedef struct WPRun {
    WPList node;
    WPRunner *runner;
    WPJob *job;
    WPLink *link;     /* NULL once the entry is gone */
    WPEngineCon *con; /* NULL: no request is in flight */
    WPSse sse;
    /* a non-streaming answer, kept to read its usage */
    GByteArray *answer_copy;
    int64_t window; /* bytes that the entry can still accept */
    int status;
    bool started, head_sent, paused;
} WPRun;

/* wp_runner.c: the side of the entries. */

/* Sends a frame of this run to its entry; does nothing if the entry is gone. */
void wp_run_send(WPRun *r, Wp__Frame *f);

/* Sends a refusal with an error code, whether the request ran, and after how
   many milliseconds to retry. */
void wp_run_refuse(WPRun *r, WPCode code, WPRan ran, uint32_t retry_ms);

/* Reports the end of the answer, which is `complete` or was aborted, with its
   usage; frees the run and starts jobs that were queued. */
void wp_run_finished(WPRun *r, bool complete);

/* Refuses a request that did not run at the endpoint; frees the run and starts
   jobs that were queued. */
void wp_run_not_started(WPRun *r, WPCode code, uint32_t retry_ms);

/* wp_engine.c: the side of the endpoint. */

/* Sends the job's request to the endpoint. */
void wp_engine_start(WPRun *r);

/* Cancels the request at the endpoint. */
void wp_engine_abort(WPRun *r);

/* Continues to read an answer that was paused, if the window allows it. */
void wp_engine_resume(WPRun *r);

/* Whether the endpoint may have got part of the request in flight. */
bool wp_engine_was_sent(const WPRun *r);

/* Closes all idle connections. */
void wp_engine_close_idle(WPRunner *r);

#endif
