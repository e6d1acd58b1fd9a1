/* Internals of direct mode, shared by wp_direct.c and the parts of the flow. */
#ifndef WP_DIRECT_INT_H
#define WP_DIRECT_INT_H

#include "wp_direct.h"
#include "wp_latency.h"

/* The version that served a session last. */
typedef struct WPSessionRecord {
    uint64_t session; /* its key */
    /* interned; may be a WP_VERSION_* if only another box has reported it */
    const char *version;
    int64_t
        last_used_us;  /* when it was last served, or last reported by a box */
    bool served_here;  /* this box served it, not only another one */
    bool sent;         /* the other boxes have been sent that since */
    bool sent_retired; /* they have been sent that its version is retired */
} WPSessionRecord;

/* Stands for the version that was in use before the present shift. */
#define WP_VERSION_OLD "-"

/* Stands for the one in use before the last completed shift (retired). */
#define WP_VERSION_RETIRED "--"

/* The retry budget of a service. */
WPRetryBudget *wp_direct_retry_budget(WPDirect *d, const char *service);

/* The model that predicts the time to first byte of answers by `model`; created
   if missing. `what` is the name of a service, for streams, or of a route, for
   answers that are not streamed. */
WPTtfbModel *wp_direct_ttfb_model(WPDirect *d, const char *what, WPStr model);

/* Tells the other boxes of the zone a time to first byte that was added to
   `model`, while that has few. */
void wp_direct_share_ttfb(WPDirect *d, const WPTtfbModel *model,
                          const WPTtfbInputs *inputs, int64_t took_us);

/* The quartiles of the times learned for `model`: event gaps, if `what` is a
   service, or answer times, if it is a route; created if missing. */
WPQuartiles *wp_direct_quartiles(WPDirect *d, const char *what, WPStr model);

/* How good the smallest model's answers are on a route. */
WPGoodShare *wp_direct_quality(WPDirect *d, const char *route);

/* Names a session at one service, as it has a version at each that it uses;
   never 0. A part of the key is of the service alone, so that a box which gets
   the key from another one finds the service's shift. */
uint64_t wp_direct_session_key(const char *service, WPStr session);

/* A session's position in [0, 1), the same at every box. Sessions are given by
   their keys, here and below. */
double wp_direct_session_position(uint64_t session);

/* Its position in a shift: below the share of the shift's stage the session
   goes to the new version. `position`: the one above. */
double wp_direct_shift_position(const WPDirect *d, WPTime now,
                                const WPShift *sh, double position);

/* The version that the session is bound to, as it was served there lately;
   NULL: none. */
const char *wp_direct_session_version(WPDirect *d, WPTime now,
                                      uint64_t session);

/* For how many ms the session is still bound to it; 0: it is not. */
uint32_t wp_direct_session_remaining_ms(WPDirect *d, WPTime now,
                                        uint64_t session);

/* Records that this box serves the session on `version` now. */
void wp_direct_record_session(WPDirect *d, WPTime now, uint64_t session,
                              const char *version);

#endif
