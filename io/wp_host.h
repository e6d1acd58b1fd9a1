/* The infrastructure that all daemons share: event loop, node, links to other
 * boxes, clients of the platform's services, admin port and planned stop. The
 * role (entry or agent) plugs in through a table of callbacks. */
#ifndef WP_HOST_H
#define WP_HOST_H

#include "wp_bill.h"
#include "wp_clock.h"
#include "wp_downstream.h"
#include "wp_http.h"
#include "wp_kv.h"
#include "wp_link.h"
#include "wp_log.h"
#include "wp_node.h"

typedef struct WPHost WPHost;

typedef struct WPRoleOps {
    /* The configuration, the boxes or the quality of versions have changed, or
       the node has become ready. */
    void (*refresh)(void *role, WPTime now);
    /* A frame that the node has not handled itself. */
    void (*on_frame)(void *role, WPLink *l, Wp__Frame *f);
    /* The link has lost its connection. */
    void (*on_link_down)(void *role, WPLink *l);
    /* Fills in the load report that goes with outgoing frames; NULL: none. */
    void (*load)(void *role, Wp__Load *out);
    void (*tick)(void *role, WPTime now); /* every 20 ms */
    /* A planned stop begins. */
    void (*drain)(void *role, WPTime now);
    bool (*idle)(void *role); /* whether no request is in progress */
    /* The bills that the host is to write to the store. */
    WPBills *(*bills)(void *role);
    /* More bills were confirmed as written to the store; may be NULL. */
    void (*bills_settled)(void *role);
    /* Adds the role's members to the JSON object of /v1/status. */
    void (*status)(void *role, json_t *into);
    /* Answers a request to the admin port for a path of the role's own; returns
       false if it has no such path. May be NULL. */
    bool (*admin)(void *role, WPDownstreamConn *p, const char *path);
} WPRoleOps;

/* Creates the host and opens its listeners. `versions` are those that an agent
   serves, `slots` the number of requests that it runs at a time; none and 0 for
   an entry. Returns NULL and an error if an address cannot be used. */
WPHost *wp_host_new(const Wp__NodeSettings *s, Wp__Role role, char **versions,
                    size_t n_versions, uint32_t slots, GError **error);

/* Closes the listeners and links and frees the host, but not the role; that is
   freed before, as wp_server_free() and wp_runner_free() remove themselves. */
void wp_host_free(WPHost *h);

/* Sets the role and its callbacks; NULL, NULL removes it. Must be set before
   wp_host_run(). */
void wp_host_set_role(WPHost *h, const WPRoleOps *ops, void *role);

/* Runs the event loop until a planned stop, begun by SIGTERM or SIGINT, has
   completed. */
void wp_host_run(WPHost *h);

/* The present time, with a wall-clock time without steps
   (wp_clock_monitor_wall_ms()). */
WPTime wp_host_now(const WPHost *h);

/* Parts of the host, which owns them. */
WPNode *wp_host_node(WPHost *h);
WPHub *wp_host_hub(WPHost *h);
WPKv *wp_host_kv(WPHost *h);        /* client of the store, or NULL */
WPHttp *wp_host_ratings(WPHost *h); /* client of the rating service, or NULL */
struct event_base *wp_host_base(WPHost *h);
WPLog *wp_host_log(WPHost *h);
WPAccount *wp_host_account(WPHost *h); /* of what clients make it hold */

/* Seed for random numbers, from the settings or random. */
uint32_t wp_host_seed(const WPHost *h);

/* Whether a planned stop has begun. */
bool wp_host_is_draining(const WPHost *h);

/* Whether a planned stop is in its first part: the health check fails but
   requests are still served, as the load balancer may not have noticed yet. */
bool wp_host_lame_duck(const WPHost *h);

/* Carries out the actions that the node has queued; to be called after each
   input to the node. Does nothing when called from one of these actions. */
void wp_host_run_actions(WPHost *h);

/* Answers a request for /healthz, /readyz or /metrics, whichever port it came
   to. Returns false if `path` is none of them. */
bool wp_host_health(WPHost *h, WPDownstreamConn *p, const char *path);

/* Counts and logs input that was refused; for the ops of any port. */
void wp_host_refused(void *arg, WPCode code, const char *detail);

/* Counts and logs that a connection has to give way. `who`: its request, or
   what it is for. */
void wp_host_gives_way(WPHost *h, const WPOwner *o, const char *who);

#endif
