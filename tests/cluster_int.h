/* Shared by cluster.c and cluster_faults.c. */
#ifndef CLUSTER_INT_H
#define CLUSTER_INT_H

#include "cluster.h"
#include "ports.h"

typedef struct Child {
    GPid pid;
    char *program, *file;   /* to restart it */
    uint16_t port, control; /* for callers; for its /control page */
    bool running, removed;  /* removed: never started again */
    char *clock; /* file for wpclock.so with the clocks' offsets; NULL: none */
} Child;

struct TestCluster {
    Ports ports;
    char *folder;
    const char *bin;
    Child store;
    GArray *entries, *store_proxies, *replicas; /* of Child */
    GArray *replica_proxies;                    /* of Child: proxies */
    GArray *peer_ports, *ready_ports;           /* of uint16_t */
    unsigned requests_sent, version;
    bool clocks;
    bool zones;     /* see cluster_new_with_zones() */
    unsigned slots; /* of each replica */
    const char *entry_settings;
};

/* cluster_post_control() posts `json` to the /control page of a stand-in or a
   proxy and returns the answer; NULL if there is none.
   cluster_require_reply() fails the test if `j` is NULL, else releases it. */
json_t *cluster_post_control(uint16_t port, const char *json);
void cluster_require_reply(json_t *j);

/* The process with index `i` of an array of Child. */
Child *cluster_child(GArray *list, unsigned i);
/* Starts replica `i` of `version`, with a proxy before it. */
void cluster_start_replica(TestCluster *p, unsigned i, const char *version);
/* Starts a process; fails the test if that is not possible. */
void cluster_spawn(TestCluster *p, Child *c, char **argv);
void cluster_kill_process(Child *c);

#endif
