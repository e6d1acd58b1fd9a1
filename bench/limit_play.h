/* Endpoints that name a limit, before many boxes, in virtual time: how many
 * requests reach one within the platform's window, how much of the limit is
 * used, who is refused. Boxes are the product's own fleets of endpoints and
 * tell each other what the product tells, some ms later. */
#ifndef LIMIT_PLAY_H
#define LIMIT_PLAY_H

#include "wp_base.h"

/* Where callers come to. */
typedef enum LimitCallers {
    LIMIT_EVEN,
    LIMIT_ONE_BOX,
    LIMIT_UNEVEN, /* each box half as many as the one before, by turns of 4 */
    LIMIT_ONE_ZONE,
    LIMIT_MOVING, /* all to one box, another one each 5 s */
    LIMIT_CALLERS_COUNT
} LimitCallers;

/* What goes wrong meanwhile. */
typedef enum LimitTrouble {
    LIMIT_CALM,
    LIMIT_KILLS,    /* boxes start again in turn, one each 3 s, and know
                       nothing */
    LIMIT_ALL_KILL, /* all of them at once, in the middle */
    LIMIT_LATE,     /* news takes up to half a second */
    LIMIT_DEAF,     /* no news at all: boxes only know that there are others */
    LIMIT_TROUBLES_COUNT
} LimitTrouble;

typedef struct LimitPlan {
    unsigned boxes, endpoints; /* in `zones` zones, evenly */
    unsigned zones;
    double limited;           /* share of the endpoints that name a limit */
    double per_s, then_per_s; /* that limit; from the middle on, below 0: the
                                 same, 0: none */
    double asked_per_s;       /* callers' requests, in all */
    LimitCallers callers;
    LimitTrouble trouble;
    uint32_t seed;
} LimitPlan;

typedef struct LimitSums {
    unsigned most;     /* that reached one endpoint within 4 s, later than 3 s
                          after it first named its limit */
    double used;       /* of all limits, from 3 s after the naming on */
    double used_least; /* the same, of one endpoint */
    double served;     /* share of all requests from then on */
    double back;       /* requests at an endpoint that names none any more, of
                          those at others, from 3 s after the end on */
    unsigned over;     /* endpoints that got more than the platform allows */
} LimitSums;

LimitSums limit_play(const LimitPlan *p);

/* What the platform allows within 4 s. */
unsigned limit_allowed(double per_s);

#endif
