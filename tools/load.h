/* Open-loop load generator: arrivals do not wait for answers. Sends a mix of
 * request kinds, workspaces and sessions to the entries, checks every answer
 * and computes statistics. */
#ifndef LOAD_H
#define LOAD_H

#include "sample.h"
#include "tools.pb-c.h"
#include "wp_http.h"

/* Unused. */
typedef struct LoadCount {
    char *name;
    uint64_t count;
} LoadCount;

/* Counters and samples of a run. */
typedef struct LoadResult {
    uint64_t sent, ended, ok; /* requests; ok: complete, correct answers */
    uint64_t not_run;   /* refused; the response says that it did not run */
    uint64_t unknown;   /* the response says that it is unknown whether the
                           request ran */
    uint64_t no_answer; /* the connection closed without a response */
    uint64_t aborted;   /* streams that ended early, without an error event */
    uint64_t wrong;     /* complete answers to another prompt */
    uint64_t session_breaks; /* session turns at another version that the
                                response did not announce */
    uint64_t session_moves;  /* session turns at another version, announced in
                                the response */
    uint64_t late_refusals;  /* refusals after more than 90 % of the deadline */
    uint64_t good, bad;      /* answers by quality */
    GHashTable *codes;       /* refusal code -> count (as a double *) */
    GHashTable *versions;    /* version -> requests answered */
    GHashTable *quality;     /* kind -> LoadQuality */
    GHashTable *served;      /* workspace -> requests answered */
    GArray *first_ms, *complete_ms, *event_gap_ms; /* of double */
    GArray *outcomes; /* of LoadOutcome, in the order in which requests ended */
    GPtrArray *refused_ids; /* ids of requests whose response says that they did
                               not run */
    double cost;
} LoadResult;

/* Answers of one kind: good ones and all. */
typedef struct LoadQuality {
    uint64_t good, total;
} LoadQuality;

/* Outcome of one request, for comparison with the engines' ledgers. */
typedef struct LoadOutcome {
    char digest[20]; /* of the prompt, which is unique for each request */
    char request_id[40];
    char ran[12]; /* ran, not_run or unknown; empty: no response */
    bool ok, has_idempotency_key;
    double first_ms, at_s; /* time to first token; end, since the start */
} LoadOutcome;

typedef struct Load Load;

/* Creates a load generator that sends `mix` to the entries (host:port).
   Answers are rated at the service `ratings` (host:port; NULL: no ratings).
   `costs` (version -> double *, per 1,000 answer tokens; NULL: no costs) gives
   LoadResult.cost. `mix` and `costs` must outlive it. NULL: an address is
   invalid. */
Load *load_new(struct event_base *base, const Wp__Mix *mix, char **entries,
               size_t n_entries, const char *ratings, GHashTable *costs);
void load_free(Load *l);

/* Starts sending; requests are sent while the event loop runs. */
void load_start(Load *l);

/* Stops sending; requests in flight go on. */
void load_stop(Load *l);

/* Whether all requests are sent and have ended. */
bool load_done(const Load *l);

/* The results so far; valid until load_free(). */
const LoadResult *load_result(const Load *l);

/* The count of this name in one of the result's tables; 0 if missing. */
uint64_t load_count(GHashTable *counts, const char *name);

/* Jain's fairness index over workspaces of the answered share of requests. */
double load_fairness(const Load *l);

/* The results as a JSON object; the caller releases it. */
json_t *load_json(const Load *l);

/* Prints the results as text. */
void load_print(const Load *l);

#endif
