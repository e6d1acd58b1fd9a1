/* The insides of Load, for its two halves: sending and summing up. */
#ifndef LOAD_INT_H
#define LOAD_INT_H

#include "load.h"

typedef struct Session {
    char id[40];
    char *token, *version;
    unsigned turns;
    bool by_token, busy;
} Session;

typedef struct Target {
    char *host;
    uint16_t port;
    GQueue idle;    /* of evhttp_connection */
    GQueue failed;  /* the same, not to be used again */
    WPHttp *health; /* as the platform's balancer asks */
    bool well, asking;
} Target;

struct Load {
    struct event_base *base;
    const Wp__Mix *mix;
    Target *targets;
    size_t n_targets;
    WPHttp *ratings;
    GHashTable *costs, *offered;
    GRand *rand;
    struct event *timer, *health;
    int64_t start_us, next_us;
    uint64_t serial, open;
    bool stopped;
    Session **sessions; /* by item */
    GPtrArray *prefixes;
    LoadResult r;
};

#endif
