/* The insides of WPHost, for its parts: loop and stop, platform, admin. */
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
    struct evhttp *admin;
    struct event *tick, *term, *intr;
    const WPRoleOps *ops;
    void *role;
    uint32_t seed;
    Wp__Load load; /* what rides on frames */
    WPFault fault;
    WPClockMonitor steady;
    bool leaving, pumping, boxes_asked, ratings_asked;
    int64_t leave_us;
};

/* wp_host_platform.c: does what one of the node's actions says. */
void wp_host_act(WPHost *h, const WPAction *a);

/* wp_host_admin.c */
bool wp_host_open_admin(WPHost *h, GError **error);

#endif
