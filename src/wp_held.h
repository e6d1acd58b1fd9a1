/* How much a box holds for callers and endpoints that read slowly, against what
 * its memory allows: bodies of requests, answers that are gathered, and what
 * waits to be read. Answers the load of many that read slowly at once, which no
 * bound of a single connection sees. */
#ifndef WP_HELD_H
#define WP_HELD_H

#include "wp_base.h"

enum {
    WP_HELD_SMALL = 64 << 10, /* bytes of one request or answer that are taken
                                 whatever is held */
    WP_HELD_UNREAD_MS = 3000  /* who reads nothing for so long is cut off, while
                                 too much is held */
};

typedef struct WPHeld {
    uint64_t most; /* bytes */
    uint64_t sum;  /* as last told */
    bool over;     /* nothing large is taken */
} WPHeld;

/* `memory_mb` of the machine; 0: not known. */
void wp_held_limit(WPHeld *h, double memory_mb);

/* So much is held now. Returns whether `over` has changed: it begins at the
   bound and ends well below it. */
bool wp_held_note(WPHeld *h, uint64_t sum);

#endif
