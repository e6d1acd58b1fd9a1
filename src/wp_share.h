/* Divides a number of units by weight. All boxes that know the same weights get
 * the same result without exchanging messages. */
#ifndef WP_SHARE_H
#define WP_SHARE_H

#include "wp_base.h"

/* A participant and its weight. */
typedef struct WPShare {
    uint64_t key; /* hash of its name, the same at all boxes */
    double weight;
} WPShare;

/* Returns how many of `total` units participant `self`, an index in `all`,
   gets. Each participant gets the integer part of its exact share; the
   remaining units are assigned by rendezvous hashing with `seed`, weighted by
   the fractional parts. All shares are equal if all weights are 0. */
unsigned wp_share_of(const WPShare *all, size_t n, size_t self, unsigned total,
                     uint64_t seed);

#endif
