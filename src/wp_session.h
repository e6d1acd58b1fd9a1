/* Sessions stay on their version without anything being kept: a signed token
 * carries the version, and a session that has only an id is placed by a
 * function of the configuration alone. */
#ifndef WP_SESSION_H
#define WP_SESSION_H

#include "wire.pb-c.h"
#include "wp_code.h"
#include "wp_policy.h"

/* How far ahead of ours a caller's clock may be in a session id. */
enum { WP_SESSION_SKEW_MS = 15000 };

/* A new token, or NULL when no session key is active. Free with g_free(). */
char *wp_token_sign(const WPPolicy *p, const Wp__SessionClaim *claim);

/* WP_OK and the claim (free with wp_pb_free()), or WP_BAD_TOKEN for a token
   that is forged, malformed, of a revoked key or of another workspace. */
WPCode wp_token_check(const WPPolicy *p, const WPWorkspace *ws, WPStr token,
                      Wp__SessionClaim **out);

typedef struct WPSessionAsk {
    const Wp__SessionClaim *claim; /* or NULL */
    WPStr id;                      /* the caller's own session id, or empty */
    const WPWorkspace *workspace;
    const WPLabels *labels; /* the request's; may be NULL */
    uint64_t now_ms;
} WPSessionAsk;

typedef struct WPSessionPlace {
    int version;       /* index, or -1: no session, or none allowed */
    bool moved;        /* the token's version may not serve any more */
    uint64_t start_ms; /* when the session began, as far as is known */
} WPSessionPlace;

/* The version of this session out of `allowed`; every box gives the same
   answer at the same revision. */
WPSessionPlace wp_session_place(const WPPolicy *p, const WPKind *kind,
                                const WPVersionSet *allowed,
                                const WPSessionAsk *ask);

/* For each roll-out of which both versions are in `set`, leaves the one that
   `key` falls to, given the share in force when it began. */
void wp_rollout_narrow(const WPPolicy *p, WPStr key, uint64_t start_ms,
                       WPVersionSet *set);

#endif
