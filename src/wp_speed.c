/* The line of times over prompt lengths. */
#include "wp_speed.h"

#include <math.h>
#include <stdlib.h>

enum { SEEN_LEAST = 20 /* answers before the line is relied on */ };

/* What remains of an older answer's weight with each new one: some two hundred
   count. */
#define KEEP 0.995

void wp_speed_add(WPSpeed *s, uint32_t prompt_tokens, int64_t took_us)
{
    double x = prompt_tokens, y = (double)took_us;
    s->n = s->n * KEEP + 1;
    s->x = s->x * KEEP + x;
    s->y = s->y * KEEP + y;
    s->xx = s->xx * KEEP + x * x;
    s->xy = s->xy * KEEP + x * y;
    s->seen++;
}

double wp_speed_expect(const WPSpeed *s, uint32_t prompt_tokens)
{
    if (s->seen < SEEN_LEAST)
        return 0;
    double mean_x = s->x / s->n, mean_y = s->y / s->n;
    double var = s->xx / s->n - mean_x * mean_x;
    double cov = s->xy / s->n - mean_x * mean_y;
    /* Prompts of one length give no slope. */
    double slope = var > 1 ? MAX(0, cov / var) : 0;
    double v = mean_y + slope * (prompt_tokens - mean_x);
    return MAX(v, mean_y / 10);
}

/* The shares that stay below the bounds, and the step as a part of them. */
#define LOWER_SHARE 0.25
#define UPPER_SHARE 0.75
#define USUAL_STEP 0.06

static int by_value(const void *a, const void *b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Moves a bound so that in the long run this share stays below it. */
static void follow(double *bound_us, double share, double us)
{
    *bound_us *= exp(USUAL_STEP * (us <= *bound_us ? share - 1 : share));
}

void wp_usual_add(WPUsual *u, double us)
{
    if (u->seen < WP_USUAL_FIRST) {
        u->first_us[u->seen++] = us;
        if (u->seen < WP_USUAL_FIRST)
            return;
        qsort(u->first_us, WP_USUAL_FIRST, sizeof(double), by_value);
        u->lower_us = u->first_us[(int)(WP_USUAL_FIRST * LOWER_SHARE)];
        u->upper_us = u->first_us[(int)(WP_USUAL_FIRST * UPPER_SHARE)];
        return;
    }
    u->seen++;
    follow(&u->lower_us, LOWER_SHARE, us);
    follow(&u->upper_us, UPPER_SHARE, us);
}

double wp_usual_lower(const WPUsual *u)
{
    return u->seen >= WP_USUAL_FIRST ? u->lower_us : 0;
}

double wp_usual_upper(const WPUsual *u)
{
    return u->seen >= WP_USUAL_FIRST ? u->upper_us : 0;
}
