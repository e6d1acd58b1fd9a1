/* How long the first byte of an answer takes, as a curve over the prompt's
 * length, learned from this box's own requests and forgotten slowly. Reading a
 * prompt takes time in proportion to its length and, as each token looks at all
 * before it, to the square of that. */
#ifndef WP_SPEED_H
#define WP_SPEED_H

#include "wp_base.h"

typedef struct WPSpeed {
    /* Weighted sums; x in units of 10,000 tokens, y in microseconds. */
    double n, x, x2, x3, x4, y, xy, x2y;
    uint32_t seen;
} WPSpeed;

void wp_speed_add(WPSpeed *s, uint32_t prompt_tokens, int64_t took_us);

/* The expected time in microseconds; 0 while too few are known. */
double wp_speed_expect(const WPSpeed *s, uint32_t prompt_tokens);

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
