/* Requests that may not be repeated. Each idempotency key has one keeper: the
 * agent with the highest rendezvous score among those that serve the version.
 * The keeper remembers keys for a window; a key that may be older than its
 * time as keeper has an unknown fate, and is told so instead of run. */
#ifndef WP_ONCE_H
#define WP_ONCE_H

#include "wp_code.h"
#include "wp_members.h"

typedef struct WPOnceRules {
    uint32_t window_s;  /* how long a key is remembered */
    uint32_t settle_ms; /* a new agent takes keys only after this long, when
                           its record has spread */
    uint32_t skew_ms;   /* how far boxes' and callers' clocks may differ */
} WPOnceRules;

typedef struct WPOnce WPOnce;

WPOnce *wp_once_new(const WPOnceRules *rules);
void wp_once_free(WPOnce *o);

/* WP_OK: run it, the key is now held as running. Else WP_ONCE_RUNNING,
   WP_ONCE_DONE or WP_ONCE_UNKNOWN. `issued_ms` is the key's time of issue, 0
   when it has none; `since_ms` is from wp_once_since(). */
WPCode wp_once_begin(WPOnce *o, WPTime now, const char *version,
                     const char *key, uint64_t issued_ms, uint64_t since_ms);
void wp_once_done(WPOnce *o, WPTime now, const char *key);

/* The request was surely not run: its key may be used again. */
void wp_once_forget(WPOnce *o, const char *key);
unsigned wp_once_count(const WPOnce *o);

/* The keeper of `key` among agents that serve `version`, as this box sees
   it; NULL when there is none. With nobody settled yet, all count. */
const WPMemberRow *wp_once_keeper(const WPMembers *t, const char *version,
                                  const char *key, uint64_t now_ms,
                                  uint32_t settle_ms);

/* Whether `self` keeps `key` now and, clocks differing, surely still does. */
bool wp_once_is_keeper(const WPOnce *o, const WPMembers *t,
                       const Wp__Member *self, const char *version,
                       const char *key, uint64_t now_ms);

/* Notes when boxes left, for wp_once_since(). */
void wp_once_left(WPOnce *o, WPTime now, const Wp__Member *m);

/* An agent that leaves passes its keys on: `each` gives those that are held;
   `take` holds one passed on; `handed` notes that nothing of that agent's is
   missing here, so that its leaving makes no key's fate unknown. */
void wp_once_each(const WPOnce *o,
                  void (*fn)(void *arg, const char *version, const char *key,
                             bool done),
                  void *arg);
void wp_once_take(WPOnce *o, WPTime now, const char *key, bool done);
void wp_once_handed(WPOnce *o, const char *id, uint64_t incarnation);

/* Whether every other agent of the version has passed its keys on to `self`,
   so that its time of joining makes no key's fate unknown. */
bool wp_once_all_handed(const WPOnce *o, const WPMembers *t,
                        const Wp__Member *self, const char *version);

/* Whether keys may still be on their way: `self` has just settled, or an
   agent that came before it for this key has just begun to leave. */
bool wp_once_pending(const WPOnce *o, const WPMembers *t, WPTime now,
                     const Wp__Member *self, const char *version,
                     const char *key);

/* Since when this agent surely is the keeper of `key`, in Unix ms. */
uint64_t wp_once_since(const WPOnce *o, const WPMembers *t,
                       const Wp__Member *self, const char *version,
                       const char *key);

#endif
