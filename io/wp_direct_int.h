/* Internals of the process in direct mode, shared by its source files. */
#ifndef WP_IO_DIRECT_INT_H
#define WP_IO_DIRECT_INT_H

#include "wp_upstream.h"
#include "wp_clock.h"
#include "wp_direct_host.h"
#include "wp_downstream.h"
#include "wp_account_log.h"
#include "wp_buffered.h"
#include "wp_log.h"
#include "wp_peer_traffic.h"

typedef struct WPSync WPSync;

struct WPDirectHost {
    struct event_base *base;
    Wp__DirectSettings *settings;
    const WPPlatformOps *platform;
    char *file; /* the settings file, or NULL */
    Wp__Chart *chart;
    WPLog log;
    WPDirect direct;
    WPDownstream *downstream;
    WPUpstream *upstream;
    WPSync *sync;
    WPDownstream *ready, *metrics; /* for the balancer, for operators */
    struct event *tick, *term, *hup;
    WPList relays;
    unsigned n_relays;
    WPClockMonitor clock_monitor;
    WPAccount account;
    WPBuffered buffered;
    bool answers_paused;       /* some are, as too many bytes are buffered */
    GByteArray *forwarded;     /* events that are being passed on */
    int64_t traffic_logged_us; /* when the bytes to and from other boxes were
                                  last logged; 0: not yet */
    int64_t retries_logged_us; /* when the retry budgets were last logged */
    bool draining;             /* a planned stop has begun */
    int64_t exit_us; /* time by which requests must have ended, set once a
                        draining box accepts only those that it can finish by
                        then; 0: it accepts all requests */
    int64_t drain_start_us;
};

/* wp_relay.c: relays requests between callers and endpoints. These tables hold
   its handlers for the events of both sides. */
extern const WPDownstreamOps wp_relay_downstream_ops;
extern const WPUpstreamOps wp_relay_upstream_ops;

/* Counts and logs input that was refused; for the ops of any port. */
void wp_relay_on_refused(void *arg, WPCode code, const char *detail);

/* Sets the deadline timers of all requests again by the time `now`; needed
   after the timers of the event loop have stood still. */
void wp_relay_reset_deadlines(WPDirectHost *h, WPTime now);

/* Admits the requests that were held until the routes were known; does nothing
   while they are not. */
void wp_relay_admit_held(WPDirectHost *h);

/* Calls `fn` for each request that has not ended. */
typedef void (*WPEachFlowFn)(void *arg, const WPFlow *f);
void wp_relay_each_flow(const WPDirectHost *h, WPEachFlowFn fn, void *arg);

/* Resumes reading answers that were paused because too many bytes were
   buffered. */
void wp_relay_resume_reads(WPDirectHost *h);

/* To be called at each tick while too many bytes are buffered: has the oldest
   paused answers read to their ends, a few at a time. If all were paused, none
   would free its bytes. */
void wp_relay_admit_paused(WPDirectHost *h);

/* wp_sync.c: keeps this box's state in step with the store and the other
   boxes. */
WPSync *wp_sync_new(WPDirectHost *h, GError **error);

/* Ends the links to the store and the other boxes. */
void wp_sync_free(WPSync *s);

/* To be called on each tick of the process. */
void wp_sync_tick(WPSync *s, WPTime now);

/* Schedules this box's digest to the other boxes at once, because its state has
   changed. */
void wp_sync_schedule_digest(WPSync *s);

/* Schedules the updates to the other boxes of the zone on requests that this
   box sends to endpoints. */
void wp_sync_schedule_zone_updates(WPSync *s);

/* Schedules the updates to all boxes on requests during which endpoints have
   crashed. */
void wp_sync_schedule_suspects(WPSync *s);

/* Schedules the updates to all boxes on the state that endpoints report of
   themselves, such as draining, back-off and limits. */
void wp_sync_schedule_notices(WPSync *s);

/* Age in ms of this box's copy of the store, which holds the registry; -1:
   there is no copy yet. */
int64_t wp_sync_registry_age_ms(const WPSync *s, WPTime now);

/* Whether requests can be served: the store was read completely, or received
   from a peer, and it has routes. */
bool wp_sync_ready(const WPSync *s);

/* Whether the store answered the last call of this box. */
bool wp_sync_store_up(const WPSync *s);

/* Whether this box holds the usage reporting lease. */
bool wp_sync_holds_report_lease(const WPSync *s);

/* Bytes sent to and received from other boxes. */
const WPPeerTraffic *wp_sync_traffic(const WPSync *s);

/* wp_direct_admin.c: the listeners for the readiness check and the metrics. */
bool wp_direct_open_admin(WPDirectHost *h, GError **error);

/* Closes the listeners that wp_direct_open_admin() has opened. */
void wp_direct_close_admin(WPDirectHost *h);

#endif
