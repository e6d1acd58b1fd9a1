/* What path.c and path_faults.c share. */
#ifndef PATH_INT_H
#define PATH_INT_H

#include "path.h"
#include "ports.h"

typedef struct Child {
    GPid pid;
    char *program, *file; /* to start it again */
    uint16_t port, control;
    bool running, gone; /* gone: not to be started again */
    char *clock;        /* file with what its time of day is off by; or NULL */
} Child;

struct Path {
    Ports ports;
    char *folder;
    const char *bin;
    Child store;
    GArray *entries, *proxies, *replicas; /* of Child */
    GArray *replica_ways;                 /* of Child: proxies */
    GArray *peers, *ready;                /* of uint16_t */
    unsigned asked, version;
    bool clocks;
    bool zones;     /* see path_new_zones() */
    unsigned slots; /* of each replica */
};

/* A stand-in's or a proxy's page, asked with `json`; NULL when it does not
   answer, which path_need() takes for a failure of the test. */
json_t *path_control(uint16_t port, const char *json);
void path_need(json_t *j);

Child *path_child(GArray *list, unsigned i);
void path_start_replica(Path *p, unsigned i, const char *version);
void path_spawn(Path *p, Child *c, char **argv);
void path_end_process(Child *c);

#endif
