/* What an entry knows that calls endpoints directly, and how it decides on
 * one request: which endpoint and model it goes to, and what follows from each
 * answer, failure and time limit. No sockets and no clocks: the caller moves
 * the bytes and hands in the time. */
#ifndef WP_DIRECT_H
#define WP_DIRECT_H

#include "wp_budget.h"
#include "wp_cascade.h"
#include "wp_code.h"
#include "wp_counters.h"
#include "wp_fleet.h"
#include "wp_notice.h"
#include "wp_route.h"
#include "wp_shift.h"
#include "wp_startup.h"
#include "wp_suspects.h"

typedef struct WPDirectRules {
    uint64_t box; /* hash of this box's id */
    const char *zone;
    WPBudgetRules retries;
    uint32_t session_ms; /* requests of a session follow within this */
    WPCascadeRules cascade;
    WPFleetRules fleet;
    double second; /* weight of a second until the first byte, in places for
                      what engines earn in that time */
} WPDirectRules;

typedef struct WPDirect {
    WPDirectRules rules;
    WPRoutes *routes; /* NULL: none known yet */
    WPFleet *fleet;
    WPShifts *shifts;
    WPSuspects *suspects;
    struct WPUsage *usage; /* what is to be reported is counted there; its
                              maker's, NULL: nothing is */
    WPCounters counters;
    WPStartup start;
    unsigned boxes;       /* entries that share the retry budget */
    GHashTable *budgets;  /* service -> WPBudget */
    GHashTable *sessions; /* hash -> which version served it, and when */
    GHashTable *speeds;   /* service or route, and model -> first bytes */
    GHashTable *usual;    /* service or route, and model -> usual times */
    GHashTable *quality;  /* route -> how good the smallest model's are */
    double lag;           /* recent first bytes, as a part of their aim */
    WPValueRate earned;
    WPStallModel pauses;
    int64_t swept_us;
    GRand *rand;
} WPDirect;

void wp_direct_init(WPDirect *d, const WPDirectRules *rules,
                    const Wp__Chart *chart, uint32_t seed);
void wp_direct_end(WPDirect *d);

/* Takes a table of routes, and the caller's reference, unless a newer one is
   known: what was once in force never comes back. */
bool wp_direct_routes(WPDirect *d, WPRoutes *t);

/* Why the other boxes are told of a session. */
typedef enum WPSessionNews {
    WP_TELL_BOUND, /* was lately on an old version and is to stay there;
                         while a move is in its first half */
    WP_TELL_MOVED, /* on the new one, until the move reaches all */
    WP_TELL_LEFT   /* was lately on a version that a move has left; what
                         follows is told in wp_flow_session_bound_ms() */
} WPSessionNews;

/* Sessions that the other boxes have not been told of. Returns how many were
   written to `out`; they count as told. */
size_t wp_direct_tell(WPDirect *d, WPTime now, WPSessionNews what,
                      uint64_t *out, size_t most);
void wp_direct_hear(WPDirect *d, WPTime now, WPSessionNews what,
                    uint64_t session);

/* Forgets sessions and endpoints whose time is over. */
void wp_direct_tick(WPDirect *d, WPTime now);

/* A caller's request, decoded. The strings live during wp_flow_begin(). */
typedef struct WPDirectAsk {
    WPStr id;
    WPStr host, path;
    WPStr key;     /* empty: none was sent */
    WPStr session; /* empty: on its own */
    WPStr model;   /* empty: none was named */
    WPPrompt prompt;
    uint32_t body_bytes;
    uint64_t content;       /* hash of method, target and body */
    uint32_t answer_tokens; /* as the caller guesses, or the most */
    uint32_t deadline_ms;   /* how long the caller waits; 0: not told */
    uint32_t stay_ms;       /* this box ends in so many; 0: it stays */
    bool resumes;           /* goes on after `after_event` */
    uint64_t after_event;
} WPDirectAsk;

typedef enum WPMoveKind {
    WP_MOVE_SEND, /* to `replica`, which is held until the flow says how it
                     ended there */
    WP_MOVE_PASS, /* give the caller the answer that is in hand */
    WP_MOVE_HOLD, /* no routes are known yet: for `retry_ms` at most, unless
                     wp_flow_enter() comes before */
    WP_MOVE_FAIL, /* give the caller an answer of the box's own */
    WP_MOVE_CUT   /* the caller has part of an answer: break it off */
} WPMoveKind;

typedef enum WPWhy {
    WP_WHY_FIRST,
    WP_WHY_RETRY,  /* the one before failed or refused */
    WP_WHY_BETTER, /* its answer was not good enough */
    WP_WHY_RESUME  /* its stream broke off */
} WPWhy;

typedef struct WPMove {
    WPMoveKind kind;
    WPReplica *replica;
    WPStr model; /* to name to the endpoint; empty: as it came */
    WPWhy why;
    const char *fetch;  /* address of an endpoint that keeps more of the prompt
                           and from which it is to be taken; NULL: none */
    uint32_t budget_ms; /* what is left of the caller's time */
    uint32_t patience_ms; /* to the first byte, then go elsewhere; 0: none */
    WPCode code;
    uint32_t retry_ms;       /* when to come back; 0: not told */
    const WPReplica *barred; /* FAIL: the endpoint that would take it first;
                                valid at once only; NULL: none */
    WPExclusion bar;         /* what keeps it from there */
} WPMove;

/* The head of an endpoint's answer, decoded. */
typedef struct WPDirectAnswer {
    int status;
    bool not_run;   /* the endpoint says that it did not run the request */
    bool wrong;     /* another endpoint has this address */
    bool genuine;   /* carries the endpoint's mark */
    int confidence; /* the model's own opinion, 0 to 100; -1: none */
    bool has_load;
    uint32_t running, waiting, slots;
    uint32_t pace; /* how long work takes there now, 100: as usual; 0: untold */
    WPLimitField limit;
    WPNoticeField leaving;
    WPNoticeField rest; /* counts of a refusal */
} WPDirectAnswer;

/* How a leg ended without an answer. */
typedef enum WPLoss {
    WP_LOSS_UNSENT, /* nothing of the request has left */
    WP_LOSS_SILENT, /* it may have run; no answer began */
    WP_LOSS_BROKEN  /* the answer broke off or was none */
} WPLoss;

enum { WP_FLOW_TRIED_MOST = 8 };

/* One attempt at an endpoint. */
typedef struct WPAttempt {
    WPReplica *replica; /* NULL: none is under way */
    int64_t sent_us;
    int64_t first_us;  /* when its first byte came */
    uint64_t events;   /* of its stream that have come */
    bool heard;        /* its first byte has come */
    bool crowded;      /* its endpoint was so full, or so new, that it may be
                          slow */
    WPTtfbInputs work; /* before the first byte, as believed when it was sent */
    double expect_us;  /* what was foretold from that; 0: nothing */
    double reading_us; /* of its own prompt, of that */
    double taken;      /* share of its endpoint's places when it was sent */
    bool loaded;       /* its endpoint was half full */
    bool judged;       /* counted in the verdict on a move's new version */
    bool old_version;  /* counts among those of a move's old version */
} WPAttempt;

typedef struct WPFlow {
    WPDirect *d;
    WPRoutes *routes; /* the table by which it was admitted */
    const WPRoute *route;
    const WPService *service;
    char *id, *model;
    const char *workspace;  /* NULL: anonymous */
    const GPtrArray *areas; /* of its caller; see WPEndpointQuery */
    int priority;
    uint64_t session;
    uint64_t hash; /* of caller, method, host, path and body: the same for each
                      time that a caller sends it */
    WPPrompt prompt;
    uint32_t answer_tokens, body_bytes;
    double draw; /* at random in [0, 1): see wp_fleet_limit_yields() */
    double unit; /* place of the session (or request) in [0, 1) */
    int64_t start_us, deadline_us;
    unsigned step;         /* index of the model in the route's list */
    unsigned ran, refused; /* legs that may have run; that did not */
    WPAttempt leg;         /* the one under way */
    WPReplica *tried[WP_FLOW_TRIED_MOST]; /* each held */
    size_t n_tried;
    bool passing;       /* the caller has part of an answer */
    bool hurried;       /* went elsewhere once for want of patience */
    bool counted;       /* as usage */
    bool spent;         /* the budget of repeats let it go nowhere else */
    unsigned ended;     /* endpoints whose connection ended under it */
    int64_t event_us;   /* when the caller's last event came; 0: none has */
    int64_t gap_us;     /* the longest time between two of them */
    char *fails_loaded; /* a version that this request showed to fail on
                           half-full endpoints; NULL: none */
} WPFlow;

/* Decides on a new request. The flow is freed with wp_flow_free() after its
   last move. */
WPFlow *wp_flow_begin(WPDirect *d, WPTime now, const WPDirectAsk *ask,
                      WPMove *out);

/* The routes are known now: decides on a request that was held. */
void wp_flow_enter(WPFlow *f, WPTime now, const WPDirectAsk *ask, WPMove *out);

/* They are not in time: it is refused. */
void wp_flow_held_out(WPFlow *f, WPMove *out);

/* What an answer's head changed of what is believed of its endpoint. */
typedef struct WPHeard {
    bool leaves, rests;  /* new */
    WPLimitChange limit; /* new, or to be reported */
    double limit_was;    /* requests a second; 0: none */
    const char *bad;     /* a field to be reported; NULL: none */
} WPHeard;

/* The head of any answer of this leg has come: what it says of its endpoint
   counts from now on, whatever becomes of the answer. */
void wp_flow_head(WPFlow *f, WPTime now, const WPDirectAnswer *a, WPHeard *out);

/* The head of an answer (of a stream that succeeds), or a whole answer; what
   its head says was taken by wp_flow_head(). */
void wp_flow_answer(WPFlow *f, WPTime now, const WPDirectAnswer *a,
                    WPMove *out);

/* The leg ended without a whole answer. */
void wp_flow_lost(WPFlow *f, WPTime now, WPLoss how, WPMove *out);

/* The leg's first byte is overdue: returns false to go on waiting. */
bool wp_flow_impatient(WPFlow *f, WPTime now, WPMove *out);

/* The caller's time or the route's is over. */
void wp_flow_expired(WPFlow *f, WPTime now, WPMove *out);

/* So many events of this leg's stream have come, the last of them now. */
void wp_flow_progress(WPFlow *f, WPTime now, uint64_t events);

/* The caller has the whole answer; `events` of a stream came by this leg. */
void wp_flow_done(WPFlow *f, WPTime now, uint64_t events);

/* The caller has gone. */
void wp_flow_left(WPFlow *f, WPTime now);

void wp_flow_free(WPFlow *f);

const char *wp_why_name(WPWhy why);

#endif
