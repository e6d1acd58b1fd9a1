/* Guards that a scenario may switch off, to see that what they guard breaks
 * without them. The setting test_off names them; it takes effect only beside
 * test_hooks. */
#ifndef WP_GUARD_H
#define WP_GUARD_H

#include "settings.pb-c.h"
#include "wp_base.h"

/* X(name, text) */
#define WP_GUARD_LIST(X)                                                       \
    X(ALLOWED, "allowed")   /* agent: the version may serve this traffic */    \
    X(ONCE, "once")         /* agent: keys that may not be repeated */         \
    X(STALE, "stale")       /* agent: the age of the configuration */          \
    X(HOLD, "hold")         /* agent: waits for the entry's revision */        \
    X(LEAVING, "leaving")   /* agent: refuses while it leaves */               \
    X(HANDOVER, "handover") /* agent: passes keys on when it leaves */         \
    X(SESSION, "session")   /* entry: sessions keep their version */           \
    X(UNKNOWN, "unknown")   /* entry: a lost link means unknown */             \
    X(WHOLE, "whole")       /* entry: a cut answer is not whole */             \
    X(TAKEOVER, "takeover") /* entry: bills of dead agents */                  \
    X(WITNESS, "witness")   /* entry: another entry keeps copies of bills */   \
    X(BILL_RETRY, "bill_retry") /* both: a batch is written until it is in */  \
    X(BOXES, "boxes")           /* both: the platform's list of boxes */       \
    X(DRAIN, "drain")           /* both: a planned stop ends requests first */ \
    X(PEERS, "peers")           /* both: start from peers, the store down */   \
    X(STOP_BAD, "stop_bad")     /* entry: automatic stop of bad versions */    \
    X(REDIRECT, "redirect")     /* entry: a refusal by one agent is retried */

typedef enum WPGuard {
#define X(name, text) WP_GUARD_##name,
    WP_GUARD_LIST(X)
#undef X
        WP_GUARD_COUNT
} WPGuard;

bool wp_guard_off(const Wp__NodeSettings *s, WPGuard g);

#endif
