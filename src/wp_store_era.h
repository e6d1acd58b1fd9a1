/* The era of the store. A store that was restored from an older copy has lost
 * what was written since, gives out revisions again, and names a higher era in
 * its answers. */
#ifndef WP_STORE_ERA_H
#define WP_STORE_ERA_H

#include "wp_revision.h"

typedef struct WPStoreEra {
    uint64_t number; /* the highest that was named; 0: none */
} WPStoreEra;

typedef enum WPStoreEraChange {
    WP_STORE_ERA_SAME,
    WP_STORE_ERA_RISEN,  /* the store was restored */
    WP_STORE_ERA_LATE,   /* the answer is from before a restore */
    WP_STORE_ERA_INVALID /* not a number up to WP_ERA_MAX; nothing changes */
} WPStoreEraChange;

/* Takes the era that an answer names; NULL: none, as before. */
WPStoreEraChange wp_store_era_observe(WPStoreEra *e, const char *text);

#endif
