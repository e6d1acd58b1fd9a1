/* The duty of reporting usage among some boxes, in virtual time: a store with
 * conditional writes, a service that takes reports and judges them, and what
 * goes wrong at a set time. */
#ifndef DUTY_PLAY_H
#define DUTY_PLAY_H

#include "wp_base.h"

typedef enum DutyTrouble {
    DUTY_QUIET,
    DUTY_KILL,         /* the holder's process; it starts again */
    DUTY_FREEZE,       /* the holder stops for a while */
    DUTY_CUT,          /* the holder has no way to store, service and boxes */
    DUTY_STORE_CUT,    /* the store turns the holder away */
    DUTY_STORE_AWAY,   /* the store answers nobody */
    DUTY_STORE_LOST,   /* its answers are lost; some writes are done later */
    DUTY_SERVICE_AWAY, /* reports reach the service, or not; no answer */
    DUTY_SERVICE_BUSY, /* it takes none */
    DUTY_SERVICE_SLOW,
    DUTY_STOP,   /* the holder is stopped, and starts again */
    DUTY_YIELDS, /* the holder gives the duty up, and so does the next */
    DUTY_WAKES,  /* the holder stops while it has a report that was not taken */
    DUTY_CLOCK,  /* times of day jump at some boxes, which then start again */
    DUTY_MIX,    /* several of these, at random */
    DUTY_TROUBLES
} DutyTrouble;

typedef struct DutyCase {
    DutyTrouble trouble;
    uint32_t seed;
    bool unsettled; /* counts are sent without having been settled */
} DutyCase;

typedef struct DutyResult {
    unsigned due;      /* windows whose report fell due */
    unsigned reported; /* of these, in time */
    unsigned right;    /* of these, within a twentieth of what began */
    unsigned twice;    /* reports of one window that differ */
    unsigned fences;   /* fences that went back or were two boxes' */
    unsigned returns;  /* holders that acted in turn within a lease */
    unsigned writes, sends;
} DutyResult;

DutyResult duty_play(const DutyCase *c);

#endif
