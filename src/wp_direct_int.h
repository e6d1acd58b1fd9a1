/* What wp_direct.c and wp_flow.c share. */
#ifndef WP_DIRECT_INT_H
#define WP_DIRECT_INT_H

#include "wp_direct.h"
#include "wp_latency.h"

/* Which version served a session last. */
typedef struct WPSessionSeen {
    uint64_t session;
    const char *version; /* interned; one of WP_VERSION_* when only told of */
    int64_t used_us;
    bool own;       /* this box served it */
    bool told;      /* and has told the others so since */
    bool told_left; /* the same, of the version's having been left */
} WPSessionSeen;

/* Stands for whichever version was in use before a move. */
#define WP_VERSION_OLD "-"

/* The same, before the last move that was done. */
#define WP_VERSION_LEFT "--"

WPBudget *wp_direct_budget(WPDirect *d, const char *service);
/* `what` is a service, for streams, or a route, for whole answers. */
WPTtfbModel *wp_direct_speed(WPDirect *d, const char *what, WPStr model);
WPQuartiles *wp_direct_usual(WPDirect *d, const char *what, WPStr model);
WPGoodShare *wp_direct_quality(WPDirect *d, const char *route);

/* A session's place in [0, 1), the same at every box, and its place in a move:
   below the stage's share it goes to the new version. */
double wp_direct_unit(uint64_t session);
double wp_direct_place(const WPDirect *d, WPTime now, const WPShift *sh,
                       double unit);

/* The version that served the session within the time it binds, or NULL. */
const char *wp_direct_session(WPDirect *d, WPTime now, uint64_t session);

/* For how much longer it binds; 0: it does not. */
uint32_t wp_direct_session_left_ms(WPDirect *d, WPTime now, uint64_t session);
void wp_direct_session_on(WPDirect *d, WPTime now, uint64_t session,
                          const char *version);

#endif
