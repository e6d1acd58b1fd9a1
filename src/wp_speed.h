/* How long the first byte of an answer takes, foretold from what the endpoint
 * has to do before it; learned from this box's own requests and forgotten
 * slowly. Reading a prompt takes time in proportion to its length and, as each
 * token looks at all before it, to the square of that; others' work comes
 * before and between. */
#ifndef WP_SPEED_H
#define WP_SPEED_H

#include "wp_base.h"

/* What lies before the first byte. */
typedef struct WPWork {
    uint32_t prompt; /* tokens */
    uint32_t unread; /* of those, that the endpoint does not keep */
    double load;     /* requests at the endpoint, running or waiting */
    double ahead_us; /* of prompts that this box has sent there and whose first
                        byte has not come */
    double pace;     /* how long work takes there by the endpoint's own word, 1:
                        as usual; 0: it does not say */
} WPWork;

enum { WP_SPEED_INPUTS = 4 };

typedef struct WPSpeed {
    /* Weighted sums of the inputs, the time in microseconds and their
       products. */
    double n, y;
    double x[WP_SPEED_INPUTS], xy[WP_SPEED_INPUTS];
    double xx[WP_SPEED_INPUTS][WP_SPEED_INPUTS];
    uint32_t seen;
    /* What follows from them, brought up to date every few answers. */
    double slope[WP_SPEED_INPUTS];
    uint32_t fitted;
} WPSpeed;

void wp_speed_add(WPSpeed *s, const WPWork *w, int64_t took_us);

/* The expected time in microseconds; 0 while too few are known. */
double wp_speed_expect(WPSpeed *s, const WPWork *w);

/* The part of it that is this prompt's own reading. */
double wp_speed_reading(WPSpeed *s, const WPWork *w);

/* The times that a quarter and three quarters of what is seen stay below, found
   by small steps; they follow slow changes. */
enum { WP_USUAL_FIRST = 6 }; /* so many, sorted, give the first bounds */

typedef struct WPUsual {
    double first_us[WP_USUAL_FIRST];
    double lower_us, upper_us;
    uint32_t seen;
} WPUsual;

void wp_usual_add(WPUsual *u, double us);

/* The bounds in microseconds; 0 while too few are known. */
double wp_usual_lower(const WPUsual *u);
double wp_usual_upper(const WPUsual *u);

#endif
