/* Limits the bandwidth that a box spends on sending all store entries to boxes
 * that start. Many boxes that start together know few others, whose links would
 * be saturated. A first few are sent all entries; the rest are sent the boxes
 * of their zone to ask instead, so that the entries spread epidemically and no
 * link is saturated. */
#ifndef WP_FULL_SYNC_LIMIT_H
#define WP_FULL_SYNC_LIMIT_H

#include "wp_base.h"

typedef struct WPFullSyncLimit {
    double backlog_bytes; /* bytes sent, less what the link has carried since */
    int64_t updated_us;
} WPFullSyncLimit;

/* Returns whether an answer of this size may be sent now; if so, it counts as
   sent. While no bytes are outstanding, an answer of any size may be sent. */
bool wp_full_sync_limit_take(WPFullSyncLimit *t, WPTime now, size_t bytes);

#endif
