/* Open-loop load: arrivals do not wait for answers. Sends a mix of kinds,
 * workspaces and sessions to the entries, checks every answer, and sums up. */
#ifndef LOAD_H
#define LOAD_H

#include "sample.h"
#include "tools.pb-c.h"
#include "wp_http.h"

typedef struct LoadCount {
    char *name;
    uint64_t count;
} LoadCount;

typedef struct LoadResult {
    uint64_t sent, ended, ok;
    uint64_t not_run;        /* refused, and the answer says not run */
    uint64_t unknown;        /* the answer says unknown */
    uint64_t no_answer;      /* the connection ended without an answer */
    uint64_t cut;            /* begun and not whole */
    uint64_t wrong;          /* whole, but another prompt's */
    uint64_t session_breaks; /* another version, and no word of it */
    uint64_t session_moves;  /* another version, and said so */
    uint64_t late_finals;    /* refusals that took most of their deadline */
    uint64_t good, bad;
    GHashTable *codes;    /* refusal code -> count (as a double *) */
    GHashTable *versions; /* version -> requests answered */
    GHashTable *quality;  /* kind -> LoadQuality */
    GHashTable *served;   /* workspace -> requests answered */
    GArray *first_ms, *whole_ms, *between_ms; /* of double */
    GArray *fates;          /* of LoadFate, in order of ending */
    GPtrArray *refused_ids; /* of attempts that were told not to have run */
    double cost;
} LoadResult;

typedef struct LoadQuality {
    uint64_t good, total;
} LoadQuality;

/* What became of one request, for comparison with the engines' ledgers. */
typedef struct LoadFate {
    char digest[20]; /* of the prompt; unique for each request */
    char request_id[40];
    char ran[12]; /* ran, not_run or unknown; empty: no answer */
    bool ok, once;
    double first_ms, at_s;
} LoadFate;

typedef struct Load Load;

/* `costs` (version -> double *, per 1,000 answer tokens) and `ratings` may be
   NULL. Entries are host:port. */
Load *load_new(struct event_base *base, const Wp__Mix *mix, char **entries,
               size_t n_entries, const char *ratings, GHashTable *costs);
void load_free(Load *l);
void load_start(Load *l);
void load_stop(Load *l);       /* no new requests */
bool load_done(const Load *l); /* all sent and all ended */
const LoadResult *load_result(const Load *l);

uint64_t load_count(GHashTable *counts, const char *name);

/* Jain's index of the answered shares, each over its offered share. */
double load_fairness(const Load *l);
json_t *load_json(const Load *l);
void load_print(const Load *l);

#endif
