/* How old the store's word may grow before a box asks for it itself. All ages
 * are parts of the time within which a change must be in force everywhere, so
 * that it is kept even if every box that watches the store has fallen silent
 * without knowing: the first box asks, and tells the others. */
#ifndef WP_FRESH_H
#define WP_FRESH_H

#include "wp_base.h"

typedef struct WPFresh {
    uint32_t apply_ms; /* a change is to be in force within this */
    double haste;      /* in [0, 1), so that boxes do not ask all at once */
    int64_t word_us;   /* when the store's word was last known to be fresh */
    int64_t asked_us;  /* when this box last asked it */
    /* This box knows all that the store held then; 0: it has no list yet. */
    int64_t known_us;
    /* The same for another box, up to a revision that this one lacks. */
    uint64_t lacks;
    int64_t lacks_us;
} WPFresh;

/* The store's word was fresh at `at_us`, heard from it or from another box. */
void wp_fresh_hear(WPFresh *f, int64_t at_us);

/* When the store's word was fresh of which another box tells now that it is so
   old to it. */
int64_t wp_fresh_told_us(WPTime now, uint32_t age_ms);

/* The store was known whole at `at_us` by a box that knows it up to a revision;
   this one does up to `has`. */
void wp_fresh_know(WPFresh *f, uint64_t upto, uint64_t has, int64_t at_us);

/* How old what this box knows of the store is, in milliseconds: at the most so
   long ago something may have changed that it does not know. -1: it knows
   nothing. */
int64_t wp_fresh_known_ms(const WPFresh *f, WPTime now);

/* This box asks the store now. */
void wp_fresh_ask(WPFresh *f, WPTime now);

/* Whether this box is to ask, of which `rank` others of its zone ask before
   it. */
bool wp_fresh_is_due(const WPFresh *f, WPTime now, unsigned rank);

/* Whether it is to ask because others have known more for `behind_ms` and have
   not brought it up to date. */
bool wp_fresh_lags(const WPFresh *f, WPTime now, int64_t behind_ms);

/* How long to wait before the store is asked again after it has not answered so
   many times before. */
uint32_t wp_fresh_pause_ms(const WPFresh *f, unsigned failures);

/* How long a box that starts waits for others to tell it everything, before it
   reads the store; `first`: the whole system starts, and nobody waits yet;
   `reaches`: it is linked to a box that the store may answer. */
uint32_t wp_fresh_start_ms(const WPFresh *f, bool first, bool reaches);

/* The age in milliseconds at which the box of this rank asks. */
uint32_t wp_fresh_limit_ms(const WPFresh *f, unsigned rank);

#endif
