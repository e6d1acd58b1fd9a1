/* Writes one change of the configuration: its objects and the head in one
 * transaction, which succeeds only if the head is still at the revision that
 * the change was based on. If the answer of the store is lost, the outcome
 * is found by reading the head, which holds the id of the last change. */
#ifndef WP_CHANGE_H
#define WP_CHANGE_H

#include "wp_config.h"
#include "wp_kv.h"

typedef enum WPChangeResult {
    WP_CHANGE_ACCEPTED, /* the change is in the store at `revision` */
    WP_CHANGE_CONFLICT, /* another change is in the store, at `revision` */
    /* the store did not answer: the change may still take effect */
    WP_CHANGE_UNKNOWN
} WPChangeResult;

/* Receives the result, the revision of the head (0 if unknown) and, if the
   head was read to find the result, the author that it names (otherwise
   NULL). */
typedef void (*WPChangeDone)(void *arg, WPChangeResult result,
                             uint64_t revision, const char *author);

/* Returns a change of `base` by `ops` (of Wp__Op), which it refers to, at the
   present time `now`. All but the first change of an empty configuration are
   recorded for sessions. Free with g_free(). */
Wp__Delta *wp_change_new(const WPConfig *base, const GPtrArray *ops,
                         const char *change_id, const char *author, WPTime now);

/* Writes the change `d`, and what takes it back, if the head is at the revision
   of `base`. Calls `done` once. */
void wp_change_write(WPKv *kv, const WPConfig *base, const Wp__Delta *d,
                     WPChangeDone done, void *arg);

#endif
