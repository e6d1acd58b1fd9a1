/* Admission control of an agent, the process beside an endpoint: decides
 * whether a request from an entry runs now, waits or is refused, and makes its
 * bill. A request that is refused was not run at the endpoint, unless its code
 * says otherwise. No I/O: the daemon carries the decisions out. */
#ifndef WP_AGENT_H
#define WP_AGENT_H

#include "wp_bill.h"
#include "wp_node.h"
#include "wp_idempotency.h"
#include "wp_queue.h"

/* How long a request waits for this agent to get the configuration revision
   that its entry already has. */
enum { WP_CONFIG_WAIT_MS = 500 };

/* One request at this agent. */
typedef struct WPJob {
    WPTicket ticket;
    uint64_t link_id, stream_id; /* on which the request came */
    Wp__Start *start;            /* the entry's message; owned */
    uint64_t config_revision;    /* that the entry had */
    int64_t arrived_us;
    bool started;     /* has a slot to run at the endpoint */
    bool holds_key;   /* its idempotency key is marked as running here */
    void *user_data;  /* the daemon's record of it */
    WPList hold_link; /* while it waits for the configuration, or was evicted
                         and has to be answered */
} WPJob;

typedef enum WPAgentDecisionKind {
    WP_AGENT_RUN,    /* send it to the endpoint now */
    WP_AGENT_QUEUED, /* it waits for a slot */
    /* it waits until this agent has the entry's configuration revision */
    WP_AGENT_HOLD,
    WP_AGENT_REFUSE /* answer with `code`, which tells whether it ran */
} WPAgentDecisionKind;

typedef struct WPAgentDecision {
    WPAgentDecisionKind kind;
    WPCode code;
    uint32_t retry_ms; /* when the caller may try again; 0: none is suggested */
} WPAgentDecision;

typedef struct WPAgent WPAgent;

/* The node must outlive the agent; `s` is only read during the call. */
WPAgent *wp_agent_new(WPNode *n, const Wp__AgentSettings *s);
void wp_agent_free(WPAgent *a);

/* Takes over the node's configuration and table of boxes; to be called after
   each change of these. */
void wp_agent_refresh(WPAgent *a, WPTime now);

/* Decides on a request that has come on `stream` of `link` from an entry which
   had this configuration revision. Takes ownership of `start`. Always returns a
   job, to be freed with wp_job_free(), and the decision in `v`; a job that is
   refused only has to be answered and freed. */
WPJob *wp_agent_start(WPAgent *a, WPTime now, Wp__Start *start, uint64_t link,
                      uint64_t stream, uint64_t revision, WPAgentDecision *v);
void wp_job_free(WPJob *j);

/* Returns the next job that has left a queue, NULL when there is none; to be
   called until then. `v` is the decision: the job runs, or is refused because
   it was evicted, can no longer meet its deadline or waited too long for the
   configuration, or has moved from there to the queue. */
WPJob *wp_agent_next_job(WPAgent *a, WPTime now, WPAgentDecision *v);

/* Ends a job that had a slot, and makes its bill. `ran`: the endpoint got the
   request; if not, there is no bill. `complete`: its answer is complete.
   Returns the bill's sequence number, 0 without a bill. */
uint64_t wp_agent_finish_job(WPAgent *a, WPTime now, WPJob *j, bool ran,
                             bool complete, uint32_t prompt_tokens,
                             uint32_t answer_tokens);

/* Drops a job that the caller or the entry gave up before it had a slot. */
void wp_agent_abandon_job(WPAgent *a, WPTime now, WPJob *j);

/* Starts draining: new requests are refused from now on, and the other boxes
   learn it from this box's member record. */
void wp_agent_start_drain(WPAgent *a, WPTime now);

/* Sends `h` to the agent at `addr`, HOST:PORT; `h` is valid during the call. */
typedef void (*WPHandoverFn)(void *arg, const char *addr,
                             const Wp__Handover *h);

/* After wp_agent_start_drain(): hands the idempotency keys of this agent over
   to the agents that own them from now on. Calls `fn` once for each agent that
   serves one of this agent's versions, also if it gets no key: it then knows
   that none is missing. */
void wp_agent_hand_over_keys(WPAgent *a, WPTime now, WPHandoverFn fn,
                             void *arg);

/* To be called at each tick: hands keys over as wp_agent_hand_over_keys() does,
   to each agent that has started lately and is about to own keys of this one;
   once for each start of such an agent. */
void wp_agent_hand_over_to_joining(WPAgent *a, WPTime now, WPHandoverFn fn,
                                   void *arg);

/* Takes in the keys that another agent has handed over. */
void wp_agent_receive_handover(WPAgent *a, WPTime now, const Wp__Handover *h);

/* Fills in this agent's load, as it is sent to entries. */
void wp_agent_load(const WPAgent *a, Wp__Load *out);

/* Whether no job runs or waits. */
bool wp_agent_idle(const WPAgent *a);

/* Returns the bills that this agent has made and that are not yet known to be
   in the store; owned by the agent. */
WPBills *wp_agent_bills(WPAgent *a);

/* Returns the queue of jobs that wait for a slot or run; owned by the agent. */
WPQueue *wp_agent_queue(WPAgent *a);

/* Returns the compiled configuration as of the last refresh; owned by the
   agent. */
WPPolicy *wp_agent_policy(WPAgent *a);

#endif
