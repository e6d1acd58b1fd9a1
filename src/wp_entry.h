/* An entry that sends requests to agents: its decisions on each request, that
 * is version, endpoint, retries, cascade and final outcome. No I/O: the daemon
 * passes in what has happened and carries out the action that is returned. */
#ifndef WP_ENTRY_H
#define WP_ENTRY_H

#include "wp_balance.h"
#include "wp_bill.h"
#include "wp_choose.h"
#include "wp_node.h"
#include "wp_session.h"

enum { WP_REQUEST_ATTEMPTS_MAX = 4 }; /* attempts in a step of the cascade */

/* Parameters of a caller's request, as far as decisions need them. */
typedef struct WPRequestParams {
    const WPWorkspace *workspace; /* of wp_entry_policy() */
    const WPKind *kind;
    const char *model;     /* name of a model, version or kind; NULL: any */
    const char *service;   /* name of a plain service, or NULL */
    WPLabels *labels;      /* taken over by the request; may be NULL */
    WPStr session_token;   /* or empty */
    WPStr session_id;      /* or empty */
    WPStr idempotency_key; /* or empty */
    uint32_t deadline_ms;  /* from now; 0: that of the kind */
    uint32_t prompt_tokens, answer_tokens; /* expected */
    uint64_t prefix; /* hash of the beginning of the prompt; 0: none */
} WPRequestParams;

/* One request at the entry. */
typedef struct WPRequest {
    char id[40];
    char *workspace, *kind;
    char *idempotency_key; /* with the workspace in front; NULL: none */
    char *model, *service, *session_token, *session_id; /* or NULL */
    WPLabels *labels;
    bool repeatable, strict; /* the kind's */
    bool sticky;             /* its session has determined the version */
    uint64_t key_issued_ms; /* when the key was issued, Unix ms; 0: not known */
    uint64_t affinity;      /* hash of session or prompt prefix; 0: none */
    uint64_t session_start_ms; /* when its session began, Unix ms; 0: none */
    uint32_t prompt_tokens, answer_tokens;
    int64_t begun_us, deadline_us, sent_us;
    char *version;            /* the one chosen */
    char *escalation_version; /* the stronger one to use if the answer's check
                                 fails, or NULL */
    char *new_session_token;  /* new session token for the answer, or NULL */
    bool session_moved;       /* the session could not stay on its version */
    bool explored;            /* sent to learn the quality of its version */
    /* the caller is to be asked for a rating of the answer */
    bool wants_rating;
    unsigned attempt; /* number of the present attempt, from 1 */
    unsigned step;    /* of the cascade, from 0 */
    WPEndpoint *endpoint;
    WPWaitPrediction predicted_wait; /* predicted time until the present
                                  attempt's first token */
    WPEndpoint *tried[WP_REQUEST_ATTEMPTS_MAX]; /* in this step */
    unsigned n_tried;
    bool sent, accepted, answered; /* states of the present attempt */
    bool answer_started;  /* the caller has been sent part of the answer */
    bool maybe_ran;       /* some attempt ran, or may have */
    bool billed_by_agent; /* the agent has made the bill of the last attempt */
    WPVersionSet
        allowed; /* versions that may serve it, as of wp_plan_version() */
    WPVersionSet full_versions; /* versions that had no room for it */
    WPCode last_refusal;
    uint32_t last_retry_ms;
} WPRequest;

/* The next action for a request. */
typedef enum WPEntryActionKind {
    WP_ENTRY_SEND,       /* send a Start message to the agent of `endpoint` */
    WP_ENTRY_FAIL,       /* end the request with `code` */
    WP_ENTRY_CHECK,      /* have the answer checked, then wp_entry_checked() */
    WP_ENTRY_DONE,       /* the answer is complete */
    WP_ENTRY_RETRY_LATER /* call wp_entry_retry() after `retry_after_ms` */
} WPEntryActionKind;

typedef struct WPEntryAction {
    WPEntryActionKind kind;
    WPCode code;
    uint32_t retry_after_ms; /* FAIL: when the caller may try again; 0: no use
                                in that */
    WPEndpoint *endpoint;
} WPEntryAction;

typedef struct WPEntry WPEntry;

/* The node must outlive the entry. Returns NULL, with an error, if the settings
   name an unknown policy (`balance`, `choose`). */
WPEntry *wp_entry_new(WPNode *n, const Wp__EntrySettings *s, uint32_t seed,
                      GError **error);
void wp_entry_free(WPEntry *e);

/* Takes over the node's configuration, table of boxes and ratings; to be called
   after each change of these. */
void wp_entry_refresh(WPEntry *e, WPTime now);

/* Returns the compiled configuration as of the last refresh; owned by the
   entry. */
WPPolicy *wp_entry_policy(WPEntry *e);

/* Returns the bills that this entry has made and that are not yet known to be
   in the store; owned by the entry. */
WPBills *wp_entry_bills(WPEntry *e);

/* The quality bounds, as of wp_quality_table(). */
const WPBound *wp_entry_bounds(const WPEntry *e);

/* Makes a request and decides on its first action. The request is always
   returned; free it with wp_request_free() after its last action. */
WPRequest *wp_entry_begin(WPEntry *e, WPTime now, const WPRequestParams *params,
                          WPEntryAction *action);
void wp_request_free(WPRequest *r);

/* Events of the present attempt of a request. The functions that return an
   action return the next one for the request. */

/* The agent has refused the attempt; `ran` and `retry_ms` are from its Refuse
   message. */
WPEntryAction wp_entry_refused(WPEntry *e, WPTime now, WPRequest *r,
                               WPCode code, WPRan ran, uint32_t retry_ms);

/* Records that the agent has given the attempt a slot to run. No action
   follows. */
void wp_entry_accepted(WPEntry *e, WPTime now, WPRequest *r);

/* Records that the first bytes of the attempt's answer have come. No action
   follows. */
void wp_entry_first_bytes(WPEntry *e, WPTime now, WPRequest *r);

/* The attempt has ended at the agent, which has made a bill for it; `end` is
   its End message. */
WPEntryAction wp_entry_ended(WPEntry *e, WPTime now, WPRequest *r,
                             const Wp__End *end);

/* The check of the answer that WP_ENTRY_CHECK asked for has ended; `good`: the
   answer passed. */
WPEntryAction wp_entry_checked(WPEntry *e, WPTime now, WPRequest *r, bool good);

/* The time of a WP_ENTRY_RETRY_LATER has come. */
WPEntryAction wp_entry_retry(WPEntry *e, WPTime now, WPRequest *r);

/* The link to the agent was lost; `sent`: some byte of the Start message had
   been handed to the network. */
WPEntryAction wp_entry_link_lost(WPEntry *e, WPTime now, WPRequest *r,
                                 bool sent);

/* The request's deadline has passed. */
WPEntryAction wp_entry_deadline_passed(WPEntry *e, WPTime now, WPRequest *r);

/* The caller has closed its connection. No action is returned: the daemon sends
   the agent a Cancel message. */
void wp_entry_caller_gone(WPEntry *e, WPTime now, WPRequest *r);

/* Returns the endpoint of the agent with this id, or NULL. */
WPEndpoint *wp_entry_endpoint(WPEntry *e, const char *id);

/* Returns the number of endpoints that are listed or have requests in
   flight. */
unsigned wp_entry_endpoint_count(const WPEntry *e);

/* Calls `fn` with `arg` for each endpoint that wp_entry_endpoint_count()
   counts. */
void wp_entry_each_endpoint(WPEntry *e, void (*fn)(void *, WPEndpoint *),
                            void *arg);

/* Writes up to `max` endpoints of the request's version whose load should be
   asked for to `out`; returns how many. */
unsigned wp_entry_probe_targets(WPEntry *e, WPTime now, const WPRequest *r,
                                WPEndpoint **out, unsigned max);

/* The agent has reported that its bills up to `upto` are settled: drops the
   copies. */
void wp_entry_bills_settled(WPEntry *e, const char *agent, uint64_t incarnation,
                            uint64_t upto);

/* Writes the bills of agents, and of entries that this one is the backup of,
   that are gone. */
void wp_entry_take_over_bills(WPEntry *e, WPTime now);

/* Calls `fn` with a message for the backup entry and its address (HOST:PORT),
   if there is anything to send: copies of bills that are not settled, so that
   they survive the loss of both this entry and the agent, and which are settled
   since. `w` is valid during the call. */
typedef void (*WPBackupFn)(void *arg, const char *addr, Wp__Witness *w);
void wp_entry_send_backup(WPEntry *e, WPTime now, WPBackupFn fn, void *arg);

/* The link to this address has ended. If it is the backup entry's, messages may
   have been lost, and all is sent again. */
void wp_entry_backup_link_lost(WPEntry *e, const char *addr);

/* Takes in such a message: this entry is the backup of its sender. */
void wp_entry_receive_backup(WPEntry *e, WPTime now, const Wp__Witness *w);

/* Returns lines (char *) that explain what would be chosen for a request, and
   why; free with g_ptr_array_unref(). */
GPtrArray *wp_entry_explain(WPEntry *e, WPTime now,
                            const WPRequestParams *params);

#endif
