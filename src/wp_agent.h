/* The agent's decisions: the last gate before an endpoint. Whatever it
 * refuses was not run. No I/O. */
#ifndef WP_AGENT_H
#define WP_AGENT_H

#include "wp_bill.h"
#include "wp_node.h"
#include "wp_once.h"
#include "wp_queue.h"

/* How long a start waits for a configuration its entry already has. */
enum { WP_HOLD_MS = 500 };

/* One request at this agent. */
typedef struct WPJob {
    WPTicket ticket;
    uint64_t link, stream; /* where it came from */
    Wp__Start *start;      /* own copy */
    uint64_t revision;     /* the entry's */
    int64_t arrived_us;
    bool begun; /* handed to the endpoint */
    bool holds_key;
    void *io;    /* the daemon's */
    WPList hold; /* while it waits for the configuration */
} WPJob;

typedef enum WPVerdictKind {
    WP_VERDICT_RUN,   /* start it at the endpoint now */
    WP_VERDICT_WAIT,  /* queued */
    WP_VERDICT_HOLD,  /* until the configuration is as new as the entry's */
    WP_VERDICT_REFUSE /* `code`; it was not run unless the code says so */
} WPVerdictKind;

typedef struct WPVerdict {
    WPVerdictKind kind;
    WPCode code;
    uint32_t retry_ms;
} WPVerdict;

typedef struct WPAgent WPAgent;

WPAgent *wp_agent_new(WPNode *n, const Wp__AgentSettings *s);
void wp_agent_free(WPAgent *a);
void wp_agent_refresh(WPAgent *a, WPTime now);

/* Takes over `start`. With WP_VERDICT_REFUSE the job has only to be answered
   and freed. */
WPJob *wp_agent_start(WPAgent *a, WPTime now, Wp__Start *start, uint64_t link,
                      uint64_t stream, uint64_t revision, WPVerdict *v);
void wp_job_free(WPJob *j);

/* Work that has become due, one at a time until NULL: jobs to run, jobs to
   refuse (evicted, hopeless, held too long). The verdict tells which. */
WPJob *wp_agent_next(WPAgent *a, WPTime now, WPVerdict *v);

/* The job's end at the endpoint: makes the bill and returns its number. With
   `begun` false the endpoint never got it, and there is no bill (0). */
uint64_t wp_agent_ended(WPAgent *a, WPTime now, WPJob *j, bool begun,
                        bool whole, uint32_t prompt_tokens,
                        uint32_t answer_tokens);

/* The caller or the entry gave it up before it was begun. */
void wp_agent_dropped(WPAgent *a, WPTime now, WPJob *j);

void wp_agent_leave(WPAgent *a, WPTime now);

/* After wp_agent_leave(): for each agent that may get keys of this one, what
   to send it. `h` lives during the call. */
typedef void (*WPHandOver)(void *arg, const char *addr, const Wp__Handover *h);
void wp_agent_hand_over(WPAgent *a, WPTime now, WPHandOver fn, void *arg);
/* To be called now and then: keys for agents that are about to settle. */
void wp_agent_offer(WPAgent *a, WPTime now, WPHandOver fn, void *arg);
void wp_agent_handed(WPAgent *a, WPTime now, const Wp__Handover *h);

void wp_agent_load(const WPAgent *a, Wp__Load *out);
bool wp_agent_idle(const WPAgent *a);
WPBills *wp_agent_bills(WPAgent *a);
WPQueue *wp_agent_queue(WPAgent *a);
WPPolicy *wp_agent_policy(WPAgent *a);

#endif
