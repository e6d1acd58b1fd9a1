/* Ring buffer of the events of one process, stamped by a hybrid logical clock
 * so that `wpctl timeline` can merge the buffers of all processes. Events leave
 * the process only on request. */
#ifndef WP_EVENTS_H
#define WP_EVENTS_H

#include "wp_base.h"

#include <jansson.h>

enum { WP_EVENT_TEXT_SIZE = 96, WP_EVENTS_CAPACITY = 4096 };

/* X(name, text) */
#define WP_EVENT_KINDS(X)                                                      \
    X(STARTED, "started")                                                      \
    X(READY, "ready")                                                          \
    X(LEAVING, "leaving")                                                      \
    X(CONFIG, "config")                                                        \
    X(MEMBER, "member")                                                        \
    X(STORE, "store")                                                          \
    X(RECEIVED, "received")                                                    \
    X(SESSION, "session")                                                      \
    X(CHOSEN, "chosen")                                                        \
    X(RUN, "run")                                                              \
    X(REFUSED, "refused")                                                      \
    X(RETRIED, "retried")                                                      \
    X(ESCALATED, "escalated")                                                  \
    X(ENDED, "ended")                                                          \
    X(FAILED, "failed")                                                        \
    X(BILLED, "billed")                                                        \
    X(EJECTED, "ejected")                                                      \
    X(ROLLOUT, "rollout")

typedef enum WPEventKind {
#define X(name, text) WP_EVENT_##name,
    WP_EVENT_KINDS(X)
#undef X
} WPEventKind;

typedef struct WPEvents WPEvents;

/* Returns an empty buffer. `box` is the id of the box, which is in each event
   of wp_events_json(). */
WPEvents *wp_events_new(const char *box);
void wp_events_free(WPEvents *e);

/* Advances the clock for an event that happens now, and returns it: Unix
   milliseconds in the upper 48 bits, a counter in the lower 16. */
uint64_t wp_events_next_clock(WPEvents *e, WPTime now);

/* Advances the clock to at least that of a received message, so that effects
   sort after their causes. */
void wp_events_merge_clock(WPEvents *e, uint64_t clock);

/* Adds an event with a formatted text; the oldest one is overwritten if the
   buffer is full. `request` is the id of the request concerned, or NULL. */
void wp_events_add(WPEvents *e, WPTime now, WPEventKind kind,
                   const char *request, const char *format, ...)
    G_GNUC_PRINTF(5, 6);

/* Returns the newest `max` events, oldest first, as a JSON array; if `request`
   is given, only those of them that concern this request. */
json_t *wp_events_json(const WPEvents *e, const char *request, unsigned max);

#endif
