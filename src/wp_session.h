/* Sessions stay on their version without any state in the boxes: a signed token
 * carries the version, and a session that has only an id gets its version by a
 * function of the configuration and the id. */
#ifndef WP_SESSION_H
#define WP_SESSION_H

#include "wire.pb-c.h"
#include "wp_code.h"
#include "wp_policy.h"

/* How far a session id's time may be ahead of this box's clock, as callers'
   clocks differ. */
enum { WP_SESSION_SKEW_MS = 15000 };

/* Returns a new token for the claim, signed with the last session key that is
   active; NULL when none is. Free with g_free(). */
char *wp_token_sign(const WPPolicy *p, const Wp__SessionClaim *claim);

/* Checks a token. Returns WP_OK, with its claim in `out` (free with
   wp_pb_free()), or WP_BAD_TOKEN if it is forged, malformed, signed with a
   revoked key or of another workspace. */
WPCode wp_token_check(const WPPolicy *p, const WPWorkspace *ws, WPStr token,
                      Wp__SessionClaim **out);

typedef struct WPSessionQuery {
    const Wp__SessionClaim *claim; /* of its token, or NULL */
    WPStr id;                      /* the caller's own session id, or empty */
    const WPWorkspace *workspace;
    const WPLabels *labels; /* the request's; may be NULL */
    const char *model;      /* that the request names; NULL: any */
    const char *service;    /* plain service that it is for, or NULL */
    uint64_t now_ms;        /* Unix ms */
} WPSessionQuery;

typedef struct WPSessionPlacement {
    int version;       /* index; -1: no session, or no version is allowed */
    bool moved;        /* the token's version may no longer serve it */
    uint64_t start_ms; /* when the session began, as far as is known, Unix ms */
} WPSessionPlacement;

/* Returns the version of this session out of `allowed`; the same at every box
   that has the same configuration revision. A session that has only an id gets
   the version that the configuration in force when it began gives, and keeps it
   through each later one that allows it. */
WPSessionPlacement wp_session_place(const WPPolicy *p, const WPKind *kind,
                                    const WPVersionSet *allowed,
                                    const WPSessionQuery *query);

/* For each roll-out of which both versions are in `set`, removes one of them:
   by the hash of `key` and the share that was in force at `start_ms`. */
void wp_rollout_narrow(const WPPolicy *p, WPStr key, uint64_t start_ms,
                       WPVersionSet *set);

#endif
