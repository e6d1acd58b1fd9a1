/* A ring of what happened in one process, stamped by a hybrid logical clock
 * so that `wpctl timeline` can merge the rings of all processes. Nothing is
 * sent unless somebody asks. */
#ifndef WP_EVENTS_H
#define WP_EVENTS_H

#include "wp_base.h"

#include <jansson.h>

enum { WP_EVENT_TEXT = 96, WP_EVENTS_KEPT = 4096 };

/* X(name, text) */
#define WP_EVENT_KINDS(X)                                                      \
    X(STARTED, "started")                                                      \
    X(READY, "ready")                                                          \
    X(LEAVING, "leaving")                                                      \
    X(CONFIG, "config")                                                        \
    X(MEMBER, "member")                                                        \
    X(STORE, "store")                                                          \
    X(RECEIVED, "received")                                                    \
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

WPEvents *wp_events_new(const char *box);
void wp_events_free(WPEvents *e);

/* The clock's value after an event of this process now: Unix milliseconds in
   the upper 48 bits, a counter below. */
uint64_t wp_events_clock(WPEvents *e, WPTime now);

/* Takes in the clock of a message, so that effects sort behind causes. */
void wp_events_seen(WPEvents *e, uint64_t clock);

void wp_events_add(WPEvents *e, WPTime now, WPEventKind kind,
                   const char *request, const char *format, ...)
    G_GNUC_PRINTF(5, 6);

/* The newest `most` events, oldest first, as a JSON array; those of one
   request only when `request` is given. */
json_t *wp_events_json(const WPEvents *e, const char *request, unsigned most);

#endif
