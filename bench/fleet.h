/* Many nodes of the product's own code in one process, for tests and slopes.
 * The driver only passes encoded messages on, in virtual time, and plays the
 * store's part for those nodes that ask it. */
#ifndef FLEET_H
#define FLEET_H

#include "wp_node.h"

typedef struct FleetPlan {
    unsigned nodes, zones;
    uint32_t seed;
    double loss; /* of messages, 0 to 1 */
    unsigned gossip_ms, fanout;
    unsigned versions; /* that agents name in their records */
} FleetPlan;

typedef struct Fleet Fleet;

Fleet *fleet_new(const FleetPlan *p);
void fleet_free(Fleet *f);

/* All know all, and the store's first configuration is in force. */
void fleet_settle(Fleet *f);
void fleet_run(Fleet *f, int64_t us);
WPTime fleet_now(const Fleet *f);

/* A change of about `bytes`, accepted by the store now; gives its revision.
   While the store is down it is not accepted and gives 0. */
uint64_t fleet_change(Fleet *f, size_t bytes);
void fleet_set_store(Fleet *f, bool up);
void fleet_set_down(Fleet *f, unsigned node, bool down);

/* Cuts a node off from peers and store alike. */
void fleet_set_cut(Fleet *f, unsigned node, bool cut);

/* Starts a node anew, empty. */
void fleet_restart(Fleet *f, unsigned node);
WPNode *fleet_node(Fleet *f, unsigned i);

/* Nodes that run, are not cut off and are not at `revision`. */
unsigned fleet_behind(const Fleet *f, uint64_t revision);

typedef struct FleetCosts {
    uint64_t messages, bytes; /* sent by all */
    uint64_t worst_bytes;     /* sent and received by one node */
    uint64_t store_reads;     /* asked of the store */
    uint64_t ticks;
} FleetCosts;

/* Since the last call. */
FleetCosts fleet_costs(Fleet *f);

#endif
