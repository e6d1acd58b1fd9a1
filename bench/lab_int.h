/* The insides of a lab: what runs, how it is set up, how it is summed up. */
#ifndef LAB_INT_H
#define LAB_INT_H

#include "lab.h"

#define WALL_START_MS 1800000000000LL
#define NEAR_US 250
#define FAR_US 1000
#define TICK_US (20 * WP_US_PER_MS)
#define RATINGS_US WP_US_PER_S
#define STEER_US (500 * WP_US_PER_MS)
#define BATCH_SLOWDOWN 0.5
#define PREFILL_TOKENS_PER_STEP 200
#define PREFIX_CACHE 8
#define TAIL_SHAPE 1.5
#define TAIL_MOST 20.0
#define PROBES 2

typedef struct Lab Lab;
typedef struct Ask Ask;

/* One request of a caller, and its present leg. */
struct Ask {
    Lab *lab;
    const Wp__MixItem *item;
    unsigned entry;
    WPRequest *request;
    WPJob *job;
    uint64_t stream;
    unsigned agent;
    unsigned tokens, answer_tokens, prompt_tokens, prefill, prefix;
    int64_t start_us, first_us;
    bool counted, running, checked_good;
    WPList link; /* in the engine's batch */
};

typedef struct Server {
    WPNode *node;
    WPAgent *agent;
    char id[16], zone[8], version[64];
    char *versions[2];
    WPList batch; /* of Ask */
    unsigned n_batch;
    bool stepping, lost;
    double slow;
    unsigned cache[PREFIX_CACHE];
    Wp__Load old_load; /* as reported when reports lag */
    int64_t old_load_us;
} Server;

typedef struct Door {
    WPNode *node;
    WPEntry *entry;
    char id[16], zone[8];
} Door;

typedef struct Event {
    int64_t at_us;
    uint64_t order;
    void (*fn)(Lab *lab, struct Event *e);
    Ask *ask;
    unsigned n, m;
    uint64_t stream;
    Wp__Load load;
    WPAgentDecision verdict;
    Wp__End end;
    Wp__Usage usage;
    double score;
    const char *kind;
    char version[64];
} Event;

struct Lab {
    WPRolloutMonitor watch;
    const LabPlan *plan;
    LabResult *r;
    Wp__Mix *mix;
    WPConfig *config;
    uint64_t revision;
    Door *doors;
    Server *servers;
    unsigned n_servers;
    GPtrArray *heap; /* of Event */
    GRand *rand;
    int64_t now_us;
    uint64_t order, stream;
    Wp__Ratings *sums;
    GHashTable *offered, *served; /* workspace -> double */
    int64_t stopped_us;
    uint64_t ok_in_second, second_ok[600];
};

WPTime lab_now(const Lab *lab);

/* An event `us` from now; fill in what `fn` needs. */
Event *lab_after(Lab *lab, int64_t us, void (*fn)(Lab *lab, Event *e));
/* Takes the earliest event; there must be one. */
Event *lab_next(Lab *lab);
void lab_drain(WPNode *n);
double *lab_count(GHashTable *t, const char *name);

/* lab_setup.c */
void *lab_yaml(const ProtobufCMessageDescriptor *shape, const char *file);
void lab_open(Lab *lab);
void lab_close(Lab *lab);

/* Puts the configuration in force at every entry and agent. */
void lab_set_config(Lab *lab);

/* lab_sums.c */
void lab_sum_up(Lab *lab);

#endif
