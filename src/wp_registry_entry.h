/* An endpoint's entry in the registry, the list of endpoints in the platform's
 * store. */
#ifndef WP_REGISTRY_ENTRY_H
#define WP_REGISTRY_ENTRY_H

#include "wp_base.h"

typedef struct WPRegistryEntry {
    const char *id; /* may stay the same after a restart */
    const char *service, *addr, *zone, *version;
    int64_t born_ms; /* Unix ms of the endpoint's start; 0: not given */
    int64_t slots;
    bool draining;
    int64_t cold_left_ms; /* how much longer the endpoint is cold after its
                             start, from the receipt of this entry */
} WPRegistryEntry;

/* Returns the name of the first invalid field: a number or name that is out of
   range, or a malformed address. NULL if the entry is valid. No request may be
   sent to an endpoint whose entry is invalid. */
const char *wp_registry_entry_invalid_field(const WPRegistryEntry *l);

#endif
