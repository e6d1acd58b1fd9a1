/* The entry's decisions for one request after another: version, endpoint,
 * retries, cascade and the final outcome. No I/O: the daemon tells what came
 * back and does what the returned step says. */
#ifndef WP_ENTRY_H
#define WP_ENTRY_H

#include "wp_balance.h"
#include "wp_bill.h"
#include "wp_choose.h"
#include "wp_node.h"
#include "wp_session.h"

enum { WP_REQUEST_TRIES = 4 };

/* What a caller asks, as far as deciding needs it. */
typedef struct WPAsk {
    const WPWorkspace *workspace; /* of the entry's present policy */
    const WPKind *kind;
    const char *model;    /* or NULL: any */
    const char *service;  /* a plain service's name, or NULL */
    WPLabels *labels;     /* taken over by the request; may be NULL */
    WPStr session_token;  /* or empty */
    WPStr session_id;     /* or empty */
    WPStr once_key;       /* idempotency key, or empty */
    uint32_t deadline_ms; /* from now; 0: the kind's */
    uint32_t prompt_tokens, answer_tokens; /* expected */
    uint64_t prefix; /* hash of the prompt's beginning; 0: none */
} WPAsk;

typedef struct WPRequest {
    char id[40];
    char *workspace, *kind, *once_key;
    char *model, *service, *session_token, *session_id; /* or NULL */
    WPLabels *labels;
    bool repeatable, strict, sticky;
    uint64_t once_ms, affinity, start_ms;
    uint32_t prompt_tokens, answer_tokens;
    int64_t begun_us, deadline_us, sent_us;
    char *version;  /* chosen */
    char *escalate; /* stronger one to try when the check fails, or NULL */
    char *token;    /* for the answer, or NULL */
    bool moved, explored;
    bool ask_rating; /* its rating is worth asking for */
    unsigned leg, step;
    WPEndpoint *endpoint;
    WPWaitPrediction foretold; /* the present leg's wait */
    WPEndpoint *tried[WP_REQUEST_TRIES];
    unsigned n_tried;
    bool sent, accepted, answered; /* of the present leg */
    bool passed_on;                /* the caller has got part of the answer */
    bool maybe_ran;                /* some leg ran, or may have */
    bool agent_bills;     /* an agent has made the bill of the last leg */
    WPVersionSet allowed; /* versions, at the revision the plan was made */
    WPVersionSet full;    /* versions that had no room for it */
    WPCode last_refusal;
    uint32_t last_retry_ms;
} WPRequest;

typedef enum WPStepKind {
    WP_STEP_SEND,  /* send a Start to `endpoint` */
    WP_STEP_FINAL, /* tell the caller `code` */
    WP_STEP_CHECK, /* have the answer checked, then wp_entry_checked() */
    WP_STEP_DONE,  /* the answer is whole */
    WP_STEP_LATER  /* wp_entry_again() after `retry_after_ms` */
} WPStepKind;

typedef struct WPStep {
    WPStepKind kind;
    WPCode code;
    uint32_t retry_after_ms; /* 0: no use in coming back */
    WPEndpoint *endpoint;
} WPStep;

typedef struct WPEntry WPEntry;

/* `n` outlives the entry. Unknown policy names give an error. */
WPEntry *wp_entry_new(WPNode *n, const Wp__EntrySettings *s, uint32_t seed,
                      GError **error);
void wp_entry_free(WPEntry *e);

/* Takes in a new configuration, table of boxes or ratings. */
void wp_entry_refresh(WPEntry *e, WPTime now);
WPPolicy *wp_entry_policy(WPEntry *e);
WPBills *wp_entry_bills(WPEntry *e);
const WPBound *wp_entry_bounds(const WPEntry *e);

/* Makes a request and its first step. The request is always returned; free
   it with wp_request_free() after its final step. */
WPRequest *wp_entry_begin(WPEntry *e, WPTime now, const WPAsk *ask,
                          WPStep *step);
void wp_request_free(WPRequest *r);

WPStep wp_entry_refused(WPEntry *e, WPTime now, WPRequest *r, WPCode code,
                        WPRan ran, uint32_t retry_ms);
void wp_entry_accepted(WPEntry *e, WPTime now, WPRequest *r);
void wp_entry_first_bytes(WPEntry *e, WPTime now, WPRequest *r);
WPStep wp_entry_ended(WPEntry *e, WPTime now, WPRequest *r, const Wp__End *end);
WPStep wp_entry_checked(WPEntry *e, WPTime now, WPRequest *r, bool good);

/* The time of a WP_STEP_LATER has come. */
WPStep wp_entry_again(WPEntry *e, WPTime now, WPRequest *r);

/* Contact with the agent was lost; `sent` tells whether any byte of the
   Start had been handed to the network. */
WPStep wp_entry_lost(WPEntry *e, WPTime now, WPRequest *r, bool sent);
WPStep wp_entry_expired(WPEntry *e, WPTime now, WPRequest *r);

/* The caller has gone; the agent is to be told to cancel. */
void wp_entry_caller_gone(WPEntry *e, WPTime now, WPRequest *r);

WPEndpoint *wp_entry_endpoint(WPEntry *e, const char *id);
unsigned wp_entry_endpoints(const WPEntry *e);
void wp_entry_each_endpoint(WPEntry *e, void (*fn)(void *, WPEndpoint *),
                            void *arg);

/* Up to `most` endpoints of the version whose load should be asked for. */
unsigned wp_entry_probes(WPEntry *e, WPTime now, const WPRequest *r,
                         WPEndpoint **out, unsigned most);

/* Settled word of an agent, and agents that are gone. */
void wp_entry_settled(WPEntry *e, const char *agent, uint64_t incarnation,
                      uint64_t upto);
void wp_entry_take_over(WPEntry *e, WPTime now);

/* Hands what another entry does not yet know of unsettled bills to `fn`, with
   that entry's address, so that they outlive this entry and the agent. */
typedef void (*WPWitnessFn)(void *arg, const char *addr, Wp__Witness *w);
void wp_entry_tell_witness(WPEntry *e, WPTime now, WPWitnessFn fn, void *arg);
/* The link to this address has ended: what was on its way may be lost. */
void wp_entry_witness_lost(WPEntry *e, const char *addr);
void wp_entry_witnessed(WPEntry *e, WPTime now, const Wp__Witness *w);

/* Lines that explain what would be chosen; free with
   g_ptr_array_unref(). */
GPtrArray *wp_entry_why(WPEntry *e, WPTime now, const WPAsk *ask);

#endif
