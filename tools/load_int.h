/* Internals of Load, shared by load.c (sending) and load_sums.c
 * (statistics). */
#ifndef LOAD_INT_H
#define LOAD_INT_H

#include "load.h"

/* A session; its turns are sent one after another. */
typedef struct Session {
    char id[40];
    char *token, *version;
    unsigned turns;
    bool uses_token, in_flight;
} Session;

/* An entry that requests are sent to. */
typedef struct Target {
    char *host;
    uint16_t port;
    GQueue idle;    /* evhttp_connection, ready for use */
    GQueue failed;  /* evhttp_connection that failed; freed with the load */
    WPHttp *health; /* health checks, as the platform's balancer makes */
    bool healthy, check_pending;
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
    uint64_t next_prompt, in_flight;
    bool stopped;
    Session **sessions; /* by index of the mix item */
    GPtrArray *prefixes;
    LoadResult r;
};

#endif
