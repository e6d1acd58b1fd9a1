/* Internals of WPHost, shared by its source files: event loop and stop,
 * platform, admin port. */
#ifndef WP_HOST_INT_H
#define WP_HOST_INT_H

#include "wp_code.h"
#include "wp_fault.h"
#include "wp_guard.h"
#include "wp_host.h"
#include "wp_clock_monitor.h"

struct WPHost {
    struct event_base *base;
    Wp__NodeSettings *settings;
    WPLog log;
    WPNode *node;
    WPHub *hub;
    WPKv *kv;
    WPHttp *boxes, *ratings;
    WPDownstream *admin;
    WPAccount account; /* of what clients of all ports make it hold */
    struct event *tick, *term, *intr;
    const WPRoleOps *ops;
    void *role;
    uint32_t seed;
    Wp__Load load; /* the report that goes with outgoing frames */
    WPFault fault;
    WPClockMonitor clock_monitor;
    bool draining, running_actions, boxes_requested, ratings_requested;
    int64_t drain_start_us;
};

/* wp_host_platform.c: carries out one of the node's actions. */
void wp_host_run_action(WPHost *h, const WPAction *a);

/* wp_host_admin.c: opens the admin port. */
bool wp_host_open_admin(WPHost *h, GError **error);

#endif
