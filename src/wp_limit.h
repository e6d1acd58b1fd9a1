/* The requests a second that an endpoint in need takes from all boxes together:
 * what its answers say of that, and what is believed. */
#ifndef WP_LIMIT_H
#define WP_LIMIT_H

#include "wp_base.h"

typedef enum WPLimitSaid {
    WP_LIMIT_NONE,  /* nothing: it takes what comes */
    WP_LIMIT_NAMED, /* `per_s` */
    WP_LIMIT_BAD    /* something that is no positive decimal number */
} WPLimitSaid;

/* An answer's word on it. */
typedef struct WPLimitField {
    WPLimitSaid said;
    double per_s;
} WPLimitField;

/* Reads the field, which the answer carries `times` times. */
WPLimitField wp_limit_read(WPStr text, unsigned times);

/* What is believed of an endpoint that has named a limit. */
typedef struct WPLimit {
    double per_s;     /* 0: it names none any more */
    int64_t heard_us; /* when its last answer came */
    uint64_t sent;    /* requests that this box has sent to it since */
    int64_t bad_us;   /* when a bad field was last reported; 0: never */
} WPLimit;

#endif
