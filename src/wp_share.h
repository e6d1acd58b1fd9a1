/* Whole things shared out by weights, the same way at all boxes that know the
 * same weights, without a word between them. */
#ifndef WP_SHARE_H
#define WP_SHARE_H

#include "wp_base.h"

/* Something that has a share by its weight. */
typedef struct WPShare {
    uint64_t key; /* hash of its name, the same at all boxes */
    double weight;
} WPShare;

/* How many of `part` whole things fall to share `self`: all get what their
   weight makes in whole ones, the rest goes by rendezvous hashing. Equal parts
   where all weights are 0. */
unsigned wp_share_of(const WPShare *all, size_t n, size_t self, unsigned part,
                     uint64_t seed);

#endif
