/* Revisions of the store that stay in order across its restores: the store's
 * own number of a change in the low bits, the era in which it was given in the
 * high ones. Without an era they are the store's numbers. */
#ifndef WP_REVISION_H
#define WP_REVISION_H

#include "wp_base.h"

enum { WP_REVISION_BITS = 40, WP_ERA_BITS = 24 };

#define WP_REVISION_NUMBER_MAX (((uint64_t)1 << WP_REVISION_BITS) - 1)
#define WP_ERA_MAX (((uint64_t)1 << WP_ERA_BITS) - 1)

static inline uint64_t wp_revision(uint64_t era, uint64_t number)
{
    return MIN(era, WP_ERA_MAX) << WP_REVISION_BITS |
           MIN(number, WP_REVISION_NUMBER_MAX);
}

static inline uint64_t wp_revision_era(uint64_t revision)
{
    return revision >> WP_REVISION_BITS;
}

/* The store's own number, by which it compares and watches. */
static inline uint64_t wp_revision_number(uint64_t revision)
{
    return revision & WP_REVISION_NUMBER_MAX;
}

#endif
