/* Internals of the lab, shared by lab.c (requests), lab_events.c (event
 * queue), lab_setup.c (construction) and lab_sums.c (results). */
#ifndef LAB_INT_H
#define LAB_INT_H

#include "lab.h"

#define WALL_START_MS 1800000000000LL
#define LOCAL_DELAY_US 250   /* network delay within a zone */
#define REMOTE_DELAY_US 1000 /* network delay between zones */
#define TICK_INTERVAL_US (20 * WP_US_PER_MS)
#define RATINGS_INTERVAL_US WP_US_PER_S
#define ROLLOUT_INTERVAL_US (500 * WP_US_PER_MS)
#define BATCH_SLOWDOWN 0.5 /* share by which a full batch slows a step */
#define PREFILL_TOKENS_PER_STEP 200
#define PREFIX_CACHE 8 /* prompt prefixes in an engine's cache */
#define TAIL_SHAPE 1.5 /* of heavy-tailed answer lengths (Pareto) */
#define TAIL_MAX 20.0  /* longest answer as a multiple of answer_tokens */
#define PROBES 2       /* endpoints probed with each request */

typedef struct Lab Lab;
typedef struct LabRequest LabRequest;

/* One request of a caller and its current attempt. */
struct LabRequest {
    Lab *lab;
    const Wp__MixItem *item;
    unsigned entry;
    WPRequest *request;
    WPJob *job;
    uint64_t stream; /* id of the attempt; events of earlier ones are ignored */
    unsigned agent;
    unsigned tokens, answer_tokens, prompt_tokens, prefill, prefix;
    int64_t start_us, first_us;
    bool counted, running, checked_good;
    WPList link; /* in LabAgent.batch */
};

/* An agent with the model of its inference engine. */
typedef struct LabAgent {
    WPNode *node;
    WPAgent *agent;
    char id[16], zone[8], version[64];
    char *versions[2];
    WPList batch; /* of LabRequest */
    unsigned n_batch;
    bool stepping, lost;
    double slowdown;              /* factor on the duration of a step */
    unsigned cache[PREFIX_CACHE]; /* prefix + 1, latest first; 0: none */
    Wp__Load reported_load; /* last report, used when reports are delayed */
    int64_t reported_load_us;
} LabAgent;

/* An entry. */
typedef struct LabEntry {
    WPNode *node;
    WPEntry *entry;
    char id[16], zone[8];
} LabEntry;

/* A scheduled call of `fn`. The other members are its arguments; which of them
   are set depends on `fn`. Events at the same time run in the order in which
   they were scheduled. */
typedef struct LabEvent {
    int64_t at_us;
    uint64_t order;
    void (*fn)(Lab *lab, struct LabEvent *e);
    LabRequest *request;
    unsigned n, m; /* indices of agents or entries */
    uint64_t stream;
    Wp__Load load;
    WPAgentDecision decision;
    Wp__End end;
    Wp__Usage usage;
    double score;
    const char *kind;
    char version[64];
} LabEvent;

struct Lab {
    WPRolloutMonitor rollout_monitor;
    const LabPlan *plan;
    LabResult *r;
    Wp__Mix *mix;
    WPConfig *config;
    uint64_t revision;
    LabEntry *entries;
    LabAgent *agents;
    unsigned n_agents;
    GPtrArray *heap; /* of LabEvent */
    GRand *rand;
    int64_t now_us;
    uint64_t order, stream;
    Wp__Ratings *ratings;
    GHashTable *offered, *served; /* "rank/workspace" -> double: requests */
    int64_t stopped_us; /* withdrawal of the bad version; 0: none yet */
    uint64_t ok_in_second, second_ok[600];
};

/* The current virtual time. */
WPTime lab_now(const Lab *lab);

/* Schedules a call of `fn` in `us` microseconds. Returns the event, in which
   the caller sets the arguments of `fn`. */
LabEvent *lab_schedule(Lab *lab, int64_t us, void (*fn)(Lab *lab, LabEvent *e));

/* Removes the earliest event from the queue and returns it; the caller frees
   it. The queue must not be empty. */
LabEvent *lab_pop_event(Lab *lab);

/* Drops the node's pending actions (messages, store reads): the lab delivers
   configuration and ratings directly. */
void lab_discard_actions(WPNode *n);

/* The counter of this name in the table; added with the value 0 if missing. */
double *lab_counter(GHashTable *t, const char *name);

/* --- lab_setup.c --- */

/* Reads a YAML file into a message of the given descriptor; ends the process
   on an error. Free the result with wp_pb_free(). */
void *lab_read_yaml(const ProtobufCMessageDescriptor *shape, const char *file);

/* Creates the entries, agents and queue from lab->plan. */
void lab_setup(Lab *lab);

/* Frees everything that lab_setup() created, and all events. */
void lab_teardown(Lab *lab);

/* Applies lab->config at every entry and agent, and records when the plan's
   bad version is withdrawn. */
void lab_set_config(Lab *lab);

/* --- lab_sums.c --- */

/* Computes the members of the result that are not counted during the run. */
void lab_compute_result(Lab *lab);

#endif
