/* Simulates many nodes of the product's own code in one process and in virtual
 * time, for tests and for measuring how costs grow with the number of nodes.
 * The driver delivers the encoded messages between nodes and acts as the
 * configuration store. */
#ifndef FLEET_H
#define FLEET_H

#include "wp_node.h"

typedef struct FleetPlan {
    unsigned nodes, zones;
    uint32_t seed;
    double loss; /* probability that a message is lost, 0 to 1 */
    unsigned gossip_ms, fanout;
    unsigned versions; /* distinct versions in the agents' member records */
} FleetPlan;

typedef struct Fleet Fleet;

/* Creates the nodes, each with an empty member table and no configuration. */
Fleet *fleet_new(const FleetPlan *p);
void fleet_free(Fleet *f);

/* Brings the fleet to a steady state: every node knows all others and has the
   store's first configuration. Advances 8 s and resets the costs. */
void fleet_start_converged(Fleet *f);

/* Advances virtual time by `us` microseconds. */
void fleet_run(Fleet *f, int64_t us);

/* The current virtual time. */
WPTime fleet_now(const Fleet *f);

/* Commits a configuration change of about `bytes` bytes to the store and
   returns its revision; 0 if the store is down. */
uint64_t fleet_change(Fleet *f, size_t bytes);

/* Takes the store down or brings it up; going down ends all watches. */
void fleet_set_store_up(Fleet *f, bool up);

/* While down, a node neither runs nor receives messages. */
void fleet_set_down(Fleet *f, unsigned node, bool down);

/* Partitions a node from its peers and from the store, or ends the partition.
 */
void fleet_set_partitioned(Fleet *f, unsigned node, bool partitioned);

/* Restarts a node with empty state. */
void fleet_restart(Fleet *f, unsigned node);

/* The `i`-th node; valid until it is restarted. */
WPNode *fleet_node(Fleet *f, unsigned i);

/* Number of nodes that are up, not partitioned and not yet at `revision`. */
unsigned fleet_count_behind(const Fleet *f, uint64_t revision);

/* Totals since the last call of fleet_take_costs(). */
typedef struct FleetCosts {
    uint64_t messages, bytes; /* sent by all nodes */
    uint64_t worst_bytes;     /* most bytes sent and received by one node */
    uint64_t store_reads;     /* requests to the store, watches included */
    uint64_t ticks;
} FleetCosts;

/* Returns the costs since the last call and resets them. */
FleetCosts fleet_take_costs(Fleet *f);

#endif
