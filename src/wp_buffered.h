/* Bytes that a box buffers because callers or endpoints read slowly, against a
 * limit that its memory allows: bodies of requests, answers that are gathered
 * as a whole, and output that waits to be read. Guards against the load of many
 * that read slowly at once, which limits of single connections do not bound. */
#ifndef WP_BUFFERED_H
#define WP_BUFFERED_H

#include "wp_base.h"

enum {
    /* Bytes of one request or answer that are accepted even above the limit. */
    WP_BUFFERED_EXEMPT_BYTES = 64 << 10,
    /* After this time a caller whose large request finds no room should
       retry. */
    WP_BUFFERED_RETRY_S = 1,
    /* Above the limit, the connection of a caller that reads nothing for this
       time is closed. */
    WP_BUFFERED_READ_TIMEOUT_MS = 3000
};

typedef struct WPBuffered {
    uint64_t limit_bytes;
    /* What large requests may take of it, from their heads to their answers.
       Requests that are read only in part never reach the limit by themselves,
       so that pausing them always lets something else go on. */
    uint64_t uploads_limit_bytes;
    uint64_t bytes;  /* as of the last update */
    bool over_limit; /* above the limit: nothing larger than
                        WP_BUFFERED_EXEMPT_BYTES is accepted */
} WPBuffered;

/* Sets the limit for a machine with this much memory; 0: unknown. */
void wp_buffered_set_limit(WPBuffered *h, double memory_mb);

/* Takes the number of bytes that are buffered now. Returns whether `over_limit`
   has changed: it is set at the limit and cleared well below it. */
bool wp_buffered_update(WPBuffered *h, uint64_t bytes);

#endif
