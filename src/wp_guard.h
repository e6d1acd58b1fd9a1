/* Guards that a scenario may disable, to verify that the failure which each of
 * them prevents does occur without it. The setting test_off lists the disabled
 * guards by name; it has an effect only together with test_hooks. */
#ifndef WP_GUARD_H
#define WP_GUARD_H

#include "settings.pb-c.h"
#include "wp_base.h"

/* X(name, text): `text` is the guard's name in the setting test_off. */
#define WP_GUARD_LIST(X)                                                       \
    /* agent: rejects traffic that the version may not serve */                \
    X(ALLOWED, "allowed")                                                      \
    /* agent: rejects repeated idempotency keys */                             \
    X(ONCE, "once")                                                            \
    /* agent: rejects requests when its configuration is too old for them */   \
    X(STALE, "stale")                                                          \
    /* agent: holds a request until it has the entry's revision */             \
    X(HOLD, "hold")                                                            \
    /* agent: rejects requests while it is draining */                         \
    X(LEAVING, "leaving")                                                      \
    /* agent: hands its idempotency keys over when it is draining */           \
    X(HANDOVER, "handover")                                                    \
    /* entry: keeps sessions on their version */                               \
    X(SESSION, "session")                                                      \
    /* entry: takes the outcome of a request as unknown when the link to the   \
       agent is lost */                                                        \
    X(UNKNOWN, "unknown")                                                      \
    /* entry: does not take a truncated answer as complete */                  \
    X(WHOLE, "whole")                                                          \
    /* entry: takes over the bills of dead agents */                           \
    X(TAKEOVER, "takeover")                                                    \
    /* entry: another entry keeps copies of its bills */                       \
    X(WITNESS, "witness")                                                      \
    /* entry and agent: retry writing a bill batch until it is stored */       \
    X(BILL_RETRY, "bill_retry")                                                \
    /* entry and agent: use the platform's list of boxes */                    \
    X(BOXES, "boxes")                                                          \
    /* entry and agent: finish running requests before a planned stop */       \
    X(DRAIN, "drain")                                                          \
    /* entry and agent: start from peers while the store is unavailable */     \
    X(PEERS, "peers")                                                          \
    /* entry: withdraws bad versions automatically */                          \
    X(STOP_BAD, "stop_bad")                                                    \
    /* entry: retries a request that one agent refused */                      \
    X(REDIRECT, "redirect")

typedef enum WPGuard {
#define X(name, text) WP_GUARD_##name,
    WP_GUARD_LIST(X)
#undef X
        WP_GUARD_COUNT
} WPGuard;

/* Whether the settings disable guard `g`. */
bool wp_guard_is_disabled(const Wp__NodeSettings *s, WPGuard g);

#endif
