/* The curve of times over prompt lengths, and usual times. */
#include "wp_speed.h"

#include <math.h>
#include <stdlib.h>

enum { SEEN_LEAST = 20 /* answers before the curve is relied on */ };

/* What remains of an older answer's weight with each new one: some two hundred
   count. */
#define KEEP 0.995

#define UNIT_TOKENS 10000.0

/* A system of equations is taken for one without a solution when its
   determinant is smaller than this part of the product of its diagonal. */
#define SINGULAR 1e-6

void wp_speed_add(WPSpeed *s, uint32_t prompt_tokens, int64_t took_us)
{
    double x = prompt_tokens / UNIT_TOKENS, y = (double)took_us;
    s->n = s->n * KEEP + 1;
    s->x = s->x * KEEP + x;
    s->x2 = s->x2 * KEEP + x * x;
    s->x3 = s->x3 * KEEP + x * x * x;
    s->x4 = s->x4 * KEEP + x * x * x * x;
    s->y = s->y * KEEP + y;
    s->xy = s->xy * KEEP + x * y;
    s->x2y = s->x2y * KEEP + x * x * y;
    s->seen++;
}

/* Least squares of y = a + b x. */
static double on_line(const WPSpeed *s, double x)
{
    double mean_x = s->x / s->n, mean_y = s->y / s->n;
    double var = s->x2 / s->n - mean_x * mean_x;
    double cov = s->xy / s->n - mean_x * mean_y;
    /* Prompts of one length give no slope. */
    double slope = var > SINGULAR ? MAX(0, cov / var) : 0;
    return mean_y + slope * (x - mean_x);
}

static double det3(const double m[3][3])
{
    return m[0][0] * (m[1][1] * m[2][2] - m[1][2] * m[2][1]) -
           m[0][1] * (m[1][0] * m[2][2] - m[1][2] * m[2][0]) +
           m[0][2] * (m[1][0] * m[2][1] - m[1][1] * m[2][0]);
}

/* Least squares of y = a + b x + c x^2, by Cramer's rule; false when the
   lengths do not tell, or when the curve would fall with the length. */
static bool on_curve(const WPSpeed *s, double x, double *y)
{
    const double m[3][3] = { { s->n, s->x, s->x2 },
                             { s->x, s->x2, s->x3 },
                             { s->x2, s->x3, s->x4 } };
    const double right[3] = { s->y, s->xy, s->x2y };
    double part[3], whole = det3(m);
    if (fabs(whole) <= SINGULAR * m[0][0] * m[1][1] * m[2][2])
        return false;
    for (int k = 0; k < 3; k++) {
        double with[3][3];
        memcpy(with, m, sizeof(with));
        for (int row = 0; row < 3; row++)
            with[row][k] = right[row];
        part[k] = det3(with) / whole;
    }
    if (part[1] < 0 || part[2] < 0)
        return false;
    *y = part[0] + part[1] * x + part[2] * x * x;
    return true;
}

double wp_speed_expect(const WPSpeed *s, uint32_t prompt_tokens)
{
    double x = prompt_tokens / UNIT_TOKENS, y;
    if (s->seen < SEEN_LEAST)
        return 0;
    if (!on_curve(s, x, &y))
        y = on_line(s, x);
    return MAX(y, s->y / s->n / 10);
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
