/* What every daemon is made of: the event loop, the node, its links, the
 * platform's clients, the admin port and the orderly stop. The role (entry or
 * agent) plugs in through a small table. */
#ifndef WP_HOST_H
#define WP_HOST_H

#include "wp_bill.h"
#include "wp_clock.h"
#include "wp_http.h"
#include "wp_kv.h"
#include "wp_link.h"
#include "wp_log.h"
#include "wp_node.h"

typedef struct WPHost WPHost;

typedef struct WPRoleOps {
    void (*refresh)(void *role, WPTime now); /* config, boxes or quality */
    void (*frame)(void *role, WPLink *l, Wp__Frame *f);
    void (*link_down)(void *role, WPLink *l);
    void (*load)(void *role, Wp__Load *out); /* NULL: nothing rides along */
    void (*tick)(void *role, WPTime now);
    void (*leave)(void *role, WPTime now);
    bool (*idle)(void *role); /* no request under way */
    WPBills *(*bills)(void *role);
    void (*bills_settled)(void *role);
    void (*status)(void *role, json_t *into);
    /* Admin paths of its own; returns false when it has none such. */
    bool (*admin)(void *role, struct evhttp_request *r, const char *path);
} WPRoleOps;

/* NULL and an error when an address cannot be used. */
WPHost *wp_host_new(const Wp__NodeSettings *s, Wp__Role role, char **versions,
                    size_t n_versions, uint32_t slots, GError **error);
void wp_host_free(WPHost *h);
void wp_host_set_role(WPHost *h, const WPRoleOps *ops, void *role);

/* Runs until a planned stop has ended. */
void wp_host_run(WPHost *h);

WPTime wp_host_now(const WPHost *h);
WPNode *wp_host_node(WPHost *h);
WPHub *wp_host_hub(WPHost *h);
WPKv *wp_host_kv(WPHost *h);        /* or NULL */
WPHttp *wp_host_ratings(WPHost *h); /* or NULL */
struct event_base *wp_host_base(WPHost *h);
WPLog *wp_host_log(WPHost *h);
uint32_t wp_host_seed(const WPHost *h);
bool wp_host_leaving(const WPHost *h);
bool wp_host_lame_duck(const WPHost *h);

/* Does what the node's actions say; to be called after each input. */
void wp_host_pump(WPHost *h);

/* /healthz, /readyz and /metrics on any server; returns whether it was one
   of them. */
bool wp_host_health(WPHost *h, struct evhttp_request *r, const char *path);

#endif
