/* What wp_suspects.c and wp_suspects_tell.c share. */
#ifndef WP_SUSPECTS_INT_H
#define WP_SUSPECTS_INT_H

#include "wp_suspects.h"

enum { WP_SUSPECTS_RECENT = 1024 /* requests that have ended whole lately */ };

/* Another box runs it for so long at most, unless it tells more. */
#define WP_SUSPECT_BUSY_US (1500 * WP_US_PER_MS)

typedef struct WPSuspectWhole {
    uint64_t request;
    int64_t at_us;
} WPSuspectWhole;

/* An endpoint's life that is taken to have ended. */
typedef struct WPSuspectDead {
    uint64_t life;
    int64_t at_us;
} WPSuspectDead;

/* Legs of one request that are under way here. */
typedef struct WPSuspectLegs {
    uint64_t request;
    unsigned n;
} WPSuspectLegs;

struct WPSuspects {
    GHashTable *all; /* request -> WPSuspect */

    /* request -> WPSuspectLegs: all of this box, in doubt or not, as copies
       that were sent before the first crash count as well: more endpoints end
       without them */
    GHashTable *running;

    GHashTable *dead; /* life -> WPSuspectDead */
    uint64_t self;
    WPSuspectWhole recent[WP_SUSPECTS_RECENT];
    bool untold;
};

/* The request's record, made when it is missing. */
WPSuspect *wp_suspects_need(WPSuspects *s, uint64_t request);

/* The others are to hear of it; `own`: this box saw it. */
void wp_suspects_changed(WPSuspects *s, WPTime now, WPSuspect *p, bool own);

/* One of its lives; NULL: it is not among them. */
WPSuspectLife *wp_suspect_life(WPSuspect *p, uint64_t life);

/* Returns NULL when it is known, or there are enough. A cleared one makes
   room. */
WPSuspectLife *wp_suspect_add(WPSuspect *p, const WPSuspectLife *l);

bool wp_suspect_has_uncleared(const WPSuspect *p);

/* Whether it has ended whole so lately here that it is innocent. */
bool wp_suspects_trust(WPSuspects *s, WPTime now, uint64_t request);

/* Legs of it that are under way at this box. */
unsigned wp_suspects_legs(const WPSuspects *s, uint64_t request);

/* Since when the life is taken to have ended, from now on at the latest. */
int64_t wp_suspects_died_us(WPSuspects *s, WPTime now, uint64_t life);

#endif
