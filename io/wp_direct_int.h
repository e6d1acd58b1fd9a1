/* What the parts of the direct entry share. */
#ifndef WP_IO_DIRECT_INT_H
#define WP_IO_DIRECT_INT_H

#include "wp_upstream.h"
#include "wp_clock.h"
#include "wp_direct_host.h"
#include "wp_downstream.h"
#include "wp_buffered.h"
#include "wp_log.h"
#include "wp_traffic.h"

#include <event2/http.h>

typedef struct WPSync WPSync;

struct WPDirectHost {
    struct event_base *base;
    Wp__DirectSettings *settings;
    const WPPlatformOps *platform;
    char *file; /* of the settings, or NULL */
    Wp__Chart *chart;
    WPLog log;
    WPDirect direct;
    WPDownstream *front;
    WPUpstream *back;
    WPSync *sync;
    struct evhttp *ready, *metrics;
    struct event *tick, *term, *hup;
    WPList relays;
    unsigned n_relays;
    WPClockMonitor steady;
    WPBuffered held;
    int64_t traffic_us; /* when the bytes to other boxes were last logged */
    bool leaving;       /* a planned stop has begun */
    int64_t end_us; /* of the process, then; 0: all requests are still taken */
    int64_t leave_us;
};

/* wp_relay.c: one request between caller and endpoints. */
extern const WPDownstreamOps wp_relay_front_ops;
extern const WPUpstreamOps wp_relay_back_ops;

/* Sets the ends of all requests anew, by the present time. */
void wp_relay_set_timers(WPDirectHost *h, WPTime now);

/* The routes are known: requests that were held for that go on. */
void wp_relay_enter_held(WPDirectHost *h);

/* Bytes of answers that are gathered; those that waited are read on. */
uint64_t wp_relay_held(const WPDirectHost *h);
void wp_relay_go_on(WPDirectHost *h);

/* wp_sync.c: what the store tells, and what is written to it. */
WPSync *wp_sync_new(WPDirectHost *h, GError **error);
void wp_sync_free(WPSync *s);
void wp_sync_tick(WPSync *s, WPTime now);

/* What this box has found out is to be told to the others now. */
void wp_sync_tell(WPSync *s);

/* The same, to the boxes of its zone, of what it sends to endpoints. */
void wp_sync_share(WPSync *s);

/* The same, to all boxes, of requests under which endpoints have ended. */
void wp_sync_suspects(WPSync *s);

/* The same, of what endpoints say of themselves. */
void wp_sync_notices(WPSync *s);

/* How old what this box knows of the list is; -1: it knows nothing. */
int64_t wp_sync_list_age_ms(const WPSync *s, WPTime now);

/* Whether enough is known to serve. */
bool wp_sync_ready(const WPSync *s);
bool wp_sync_store_up(const WPSync *s);

/* Whether this box has the duty to report usage. */
bool wp_sync_reports_usage(const WPSync *s);

/* Bytes that went to other boxes and came from them. */
const WPTraffic *wp_sync_traffic(const WPSync *s);

/* wp_direct_admin.c: whether the box is ready, and its metrics. */
bool wp_direct_open_admin(WPDirectHost *h, GError **error);
void wp_direct_close_admin(WPDirectHost *h);

#endif
