/* Idempotency keys, for requests that may not be repeated. Each key has one
 * owner: the agent with the highest rendezvous score among those that serve the
 * version. The owner remembers keys for a window. If a key may have been issued
 * before the agent became its owner, whether its request has run is unknown;
 * the request is then refused as such (WP_ONCE_UNKNOWN) instead of run. */
#ifndef WP_IDEMPOTENCY_H
#define WP_IDEMPOTENCY_H

#include "wp_code.h"
#include "wp_members.h"

typedef struct WPIdempotencyRules {
    uint32_t window_s; /* how long a key is remembered */
    /* a new agent owns keys only after this time, when its member record has
       reached all boxes: it has settled */
    uint32_t settle_ms;
    uint32_t skew_ms; /* how far boxes' and callers' clocks may differ */
} WPIdempotencyRules;

/* The keys that one agent remembers. */
typedef struct WPIdempotency WPIdempotency;

/* Returns an empty table of keys; `rules` is copied. */
WPIdempotency *wp_idempotency_new(const WPIdempotencyRules *rules);
void wp_idempotency_free(WPIdempotency *o);

/* Checks a key before its request runs. WP_OK: run it; the key is now recorded
   as running. Else WP_ONCE_RUNNING, WP_ONCE_DONE or WP_ONCE_UNKNOWN.
   `issued_ms`: when the key was issued, Unix ms; 0: not known. `since_ms`: from
   wp_idempotency_owner_since(). */
WPCode wp_idempotency_begin(WPIdempotency *o, WPTime now, const char *version,
                            const char *key, uint64_t issued_ms,
                            uint64_t since_ms);

/* The request with this key has run. */
void wp_idempotency_done(WPIdempotency *o, WPTime now, const char *key);

/* The request has certainly not run: the key may be used again. */
void wp_idempotency_forget(WPIdempotency *o, const char *key);

/* How many keys are remembered. */
unsigned wp_idempotency_count(const WPIdempotency *o);

/* The owner of `key` among the agents that serve `version`, by this box's
   table; NULL when there is none. Agents that have not settled are candidates
   only while none has. */
const WPMemberRow *wp_idempotency_owner(const WPMembers *t, const char *version,
                                        const char *key, uint64_t now_ms,
                                        uint32_t settle_ms);

/* Whether `self` owns `key` now and for another skew_ms, as the boxes' clocks
   differ. */
bool wp_idempotency_is_owner(const WPIdempotency *o, const WPMembers *t,
                             const Wp__Member *self, const char *version,
                             const char *key, uint64_t now_ms);

/* Notes that an agent is draining or gone, for wp_idempotency_owner_since(). */
void wp_idempotency_note_departed(WPIdempotency *o, WPTime now,
                                  const Wp__Member *m);

/* Handover of keys by an agent that drains, or to one that starts.

   Calls `fn` for each key that is remembered. */
void wp_idempotency_each(const WPIdempotency *o,
                         void (*fn)(void *arg, const char *version,
                                    const char *key, bool done),
                         void *arg);

/* Records a key that another agent has handed over; `version` is empty if that
   agent has not named it. */
void wp_idempotency_add_handed_over(WPIdempotency *o, WPTime now,
                                    const char *version, const char *key,
                                    bool done);

/* Notes that this incarnation of an agent has handed over all its keys that
   this one is to own, so that no key becomes unknown when it drains. */
void wp_idempotency_note_handover(WPIdempotency *o, const char *id,
                                  uint64_t incarnation);

/* Whether all other agents of the version have handed keys over to `self`, so
   that no key is unknown because `self` has just joined. */
bool wp_idempotency_all_handed_over(const WPIdempotency *o, const WPMembers *t,
                                    const Wp__Member *self,
                                    const char *version);

/* Whether the key may still be on its way here: `self` has not settled or has
   just done so, or an agent that ranked before it for this key has just begun
   to drain. */
bool wp_idempotency_handover_pending(const WPIdempotency *o, const WPMembers *t,
                                     WPTime now, const Wp__Member *self,
                                     const char *version, const char *key);

/* Since when this agent has certainly owned `key`, Unix ms; 0: no earlier owner
   can have a record of it that is missing here. */
uint64_t wp_idempotency_owner_since(const WPIdempotency *o, const WPMembers *t,
                                    const Wp__Member *self, const char *version,
                                    const char *key);

#endif
