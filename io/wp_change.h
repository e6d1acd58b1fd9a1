/* One change of configuration: objects and head in one transaction that holds
 * only at the revision it was decided on. A lost answer is settled by reading
 * the head, which carries the change's own id. */
#ifndef WP_CHANGE_H
#define WP_CHANGE_H

#include "wp_config.h"
#include "wp_kv.h"

typedef enum WPChangeResult {
    WP_CHANGE_ACCEPTED, /* in the store at `revision` */
    WP_CHANGE_CONFLICT, /* the store is at `revision`, another change */
    WP_CHANGE_UNKNOWN   /* no answer: it may take effect yet */
} WPChangeResult;

typedef void (*WPChangeDone)(void *arg, WPChangeResult result,
                             uint64_t revision, const char *author);

/* `ops` (of Wp__Op) are only read. */
void wp_change_write(WPKv *kv, uint64_t read_revision, const char *change_id,
                     const char *author, const GPtrArray *ops,
                     WPChangeDone done, void *arg);

#endif
