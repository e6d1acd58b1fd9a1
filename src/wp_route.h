/* Where requests go: routes by host and path prefix, the services behind
 * them, the callers' keys and the limits, as one immutable table. Operators
 * replace it as a whole; a higher version replaces a lower one. */
#ifndef WP_ROUTE_H
#define WP_ROUTE_H

#include "wp_base.h"

/* What may happen to a request whose outcome is unknown. */
typedef enum WPRepeat {
    WP_REPEAT_NEVER, /* runs at most once */
    WP_REPEAT_SAFE,  /* may run again from its start */
    WP_REPEAT_STREAM /* a stream of events; see WPRoute.resumable */
} WPRepeat;

typedef struct WPModel {
    char *name;
    double cost; /* price of 1,000 tokens made; only ratios matter */
} WPModel;

typedef struct WPService {
    char *name;
    uint32_t index;           /* its place in the table */
    uint32_t max_connections; /* an endpoint's, from all boxes together */
    uint32_t slots; /* requests an engine runs at once; 0: not an engine */
    uint64_t memory_tokens; /* an engine's; 0: not an engine */
    double cold_per_s;      /* requests that an endpoint bears while it is cold;
                               0: it needs no pacing */
    double cold_start_s;    /* how long it is cold after a start */
    GArray *models;         /* WPModel */
} WPService;

typedef struct WPTarget {
    uint32_t service;
    double weight; /* share of the route's requests, against the others' */
} WPTarget;

typedef struct WPRoute {
    char *name, *host, *prefix;
    WPRepeat repeat;
    uint32_t timeout_ms; /* the longest a request is held; 0: no bound */
    uint32_t aim_ms;     /* to the whole answer, or a stream's first event */
    uint32_t gap_ms;     /* the longest pause between events that is in time */
    int priority;        /* 0 is the most urgent */
    uint32_t max_attempts;
    bool anonymous;    /* no key is asked for */
    bool resumable;    /* a stream may go on at another endpoint */
    GPtrArray *models; /* char *, the smallest first; empty: as asked */
    GPtrArray *areas;  /* char *, where it may be served; empty: anywhere */
    GArray *targets;   /* WPTarget */
} WPRoute;

typedef struct WPCaller {
    char *workspace;
    int priority;     /* -1: the route's */
    GPtrArray *areas; /* as a route's; both bind */
} WPCaller;

typedef struct WPRouteLimits {
    uint32_t head_bytes, body_bytes;
    uint32_t head_ms; /* to send a whole head */
    uint32_t idle_ms; /* between requests of a connection */
} WPRouteLimits;

typedef struct WPRoutes {
    int refs;
    uint64_t version;
    bool keyed; /* callers need keys */
    WPRouteLimits limits;
    GPtrArray *routes;      /* WPRoute */
    GPtrArray *services;    /* WPService */
    GPtrArray *callers;     /* WPCaller */
    GHashTable *by_path;    /* host and prefix -> WPRoute */
    GHashTable *by_service; /* name -> WPService */
    GHashTable *by_key;     /* key -> WPCaller */
    size_t longest_prefix;
} WPRoutes;

/* An empty table with the default limits; filled by the functions below,
   then not changed any more. */
WPRoutes *wp_routes_new(uint64_t version);
WPRoutes *wp_routes_ref(WPRoutes *t);
void wp_routes_unref(WPRoutes *t);

WPService *wp_routes_add_service(WPRoutes *t, const char *name);
void wp_service_add_model(WPService *s, const char *name, double cost);
WPRoute *wp_routes_add(WPRoutes *t, const char *name, const char *host,
                       const char *prefix);
/* False when there is no such service. */
bool wp_route_add_target(WPRoutes *t, WPRoute *r, const char *service,
                         double weight);
WPCaller *wp_routes_add_caller(WPRoutes *t, const char *workspace,
                               int priority);
void wp_routes_add_key(WPRoutes *t, const char *key, WPCaller *c);

/* The route of that host with the longest prefix of the path, or NULL. */
const WPRoute *wp_routes_find(const WPRoutes *t, WPStr host, WPStr path);

/* The holder of a key, or NULL. */
const WPCaller *wp_routes_caller(const WPRoutes *t, WPStr key);

const WPService *wp_routes_service(const WPRoutes *t, const char *name);
const WPService *wp_routes_service_at(const WPRoutes *t, uint32_t index);

/* The service for one request; `unit` in [0, 1) divides by weight. NULL when
   the route has none. */
const WPService *wp_route_pick(const WPRoutes *t, const WPRoute *r,
                               double unit);

/* The price of 1,000 tokens of a model; 0 when it is not known. */
double wp_service_cost(const WPService *s, const char *model);

#endif
