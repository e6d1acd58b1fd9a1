/* The routing table: routes by host and path prefix, the services behind them,
 * the callers' API keys and the limits. It is immutable, and operators replace
 * it as a whole; a higher version replaces a lower one. */
#ifndef WP_ROUTE_H
#define WP_ROUTE_H

#include "wp_base.h"

/* Whether a request whose outcome is unknown may be sent again. */
typedef enum WPRetryPolicy {
    WP_RETRY_NEVER, /* runs at most once */
    WP_RETRY_SAFE,  /* may run again from its start */
    WP_RETRY_STREAM /* a stream of events; see WPRoute.resumable */
} WPRetryPolicy;

typedef struct WPModel {
    char *name;
    double cost; /* price of 1,000 generated tokens; only ratios matter */
} WPModel;

typedef struct WPService {
    char *name;
    uint32_t index;           /* its index in WPRoutes.services */
    uint32_t max_connections; /* of one endpoint, from all boxes together */
    uint32_t slots; /* requests that an engine runs at once; 0: not an engine */
    uint64_t kv_cache_tokens; /* tokens that an engine's KV cache holds; 0: not
                                 an engine */
    double cold_per_s; /* requests per second that an endpoint can take while it
                          is cold; 0: no cold-start pacing */
    double cold_start_s; /* seconds that an endpoint is cold after its start */
    GArray *models;      /* WPModel */
} WPService;

typedef struct WPRouteTarget {
    uint32_t service;
    double weight; /* share of the route's requests, relative to the other
                      weights */
} WPRouteTarget;

typedef struct WPRoute {
    char *name, *host, *prefix;
    WPRetryPolicy retry_policy;
    uint32_t timeout_ms;        /* longest duration of a request; 0: no bound */
    uint32_t target_latency_ms; /* target time to the complete answer, or to a
                                   stream's first event */
    uint32_t max_event_gap_ms; /* longest event gap of a stream that is still in
                                  time */
    int priority;              /* 0 is the most urgent */
    uint32_t max_attempts;
    bool anonymous; /* no API key is required */
    bool resumable; /* an interrupted stream may continue at another endpoint */
    GPtrArray *models; /* char *, the smallest first; empty: the model that the
                          request names */
    GPtrArray *areas;  /* char *, where requests may be served; empty:
                          anywhere */
    GArray *targets;   /* WPRouteTarget */
} WPRoute;

typedef struct WPCaller {
    char *workspace;
    int priority;     /* -1: use the route's */
    GPtrArray *areas; /* like a route's; both restrictions apply */
} WPCaller;

typedef struct WPRouteLimits {
    uint32_t head_bytes, body_bytes;
    uint32_t head_ms; /* to send the complete request head */
    uint32_t idle_ms; /* between requests of a connection */
} WPRouteLimits;

typedef struct WPRoutes {
    int refs;
    uint64_t version;
    bool requires_keys; /* callers need API keys */
    WPRouteLimits limits;
    GPtrArray *routes;      /* WPRoute */
    GPtrArray *services;    /* WPService */
    GPtrArray *callers;     /* WPCaller */
    GHashTable *by_path;    /* host and prefix -> WPRoute */
    GHashTable *by_service; /* name -> WPService */
    GHashTable *by_key;     /* key -> WPCaller */
    size_t longest_prefix;
} WPRoutes;

/* Returns an empty table with the default limits. It is filled by the functions
   below and not changed after that. */
WPRoutes *wp_routes_new(uint64_t version);

/* Takes and drops a reference. */
WPRoutes *wp_routes_ref(WPRoutes *t);
void wp_routes_unref(WPRoutes *t);

/* Adds a service, which the table owns. */
WPService *wp_routes_add_service(WPRoutes *t, const char *name);

/* Adds a model to a service; `cost`: see WPModel. */
void wp_service_add_model(WPService *s, const char *name, double cost);

/* Adds a route for `host` and the paths that begin with `prefix`, which ends in
   a slash. */
WPRoute *wp_routes_add(WPRoutes *t, const char *name, const char *host,
                       const char *prefix);

/* Adds a service to the targets of a route. Returns false if the table has no
   such service. */
bool wp_route_add_target(WPRoutes *t, WPRoute *r, const char *service,
                         double weight);

/* Adds a caller, which the table owns; from then on callers need API keys.
   `priority`: see WPCaller. */
WPCaller *wp_routes_add_caller(WPRoutes *t, const char *workspace,
                               int priority);

/* Adds an API key of the caller `c`. */
void wp_routes_add_key(WPRoutes *t, const char *key, WPCaller *c);

/* Returns the route of `host` with the longest prefix of `path`, or NULL. */
const WPRoute *wp_routes_find(const WPRoutes *t, WPStr host, WPStr path);

/* Returns the caller that the API key belongs to, or NULL. */
const WPCaller *wp_routes_caller_by_key(const WPRoutes *t, WPStr key);

/* Returns the service of this name, or NULL. */
const WPService *wp_routes_service(const WPRoutes *t, const char *name);

/* Returns the service at this index (WPService.index). */
const WPService *wp_routes_service_at(const WPRoutes *t, uint32_t index);

/* Picks the service for one request, in proportion to the weights; `unit` is
   uniform in [0, 1). Returns NULL if the route has no target with a weight
   above 0. */
const WPService *wp_route_pick_service(const WPRoutes *t, const WPRoute *r,
                                       double unit);

/* Whether the service lists a model of this name. */
bool wp_service_has_model(const WPService *s, const char *model);

/* Returns the price of 1,000 tokens of a model; 0 if it is unknown. */
double wp_service_cost(const WPService *s, const char *model);

#endif
