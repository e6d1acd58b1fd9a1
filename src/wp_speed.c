/* First bytes foretold by least squares, and usual times. */
#include "wp_speed.h"

#include <math.h>
#include <stdlib.h>

enum {
    SEEN_LEAST = 20,  /* answers before the fit is relied on */
    FIT_EVERY = 8,    /* answers between fits */
    FIT_EACH_TO = 100 /* while so few are known, each one gives a new fit */
};

/* What remains of an older answer's weight with each new one: some two hundred
   count. */
#define KEEP 0.995

/* Units in which the inputs are of the order of one. */
#define UNIT_TOKENS 10000.0
#define UNIT_LOAD 10.0
#define UNIT_AHEAD_US 1e6

/* Added to the sums of squares: inputs that have not varied get no slope. */
#define RIDGE 1e-3

/* The least that is foretold, as a part of the mean. */
#define LEAST_PART 0.1

enum { READ, READ_SQUARED, LOAD, AHEAD };

static void inputs_of(const WPWork *w, double x[WP_SPEED_INPUTS])
{
    double unread = w->unread / UNIT_TOKENS;
    double prompt = w->prompt / UNIT_TOKENS;
    x[READ] = unread;
    /* Each token that is read looks at all before it. */
    x[READ_SQUARED] = unread * (prompt - unread / 2);
    x[LOAD] = w->load / UNIT_LOAD;
    x[AHEAD] = w->ahead_us / UNIT_AHEAD_US;
}

/* Solves the normal equations for the inputs in use, by elimination; the
   matrix is positive definite by the ridge. */
static void solve(const WPSpeed *s, const bool used[WP_SPEED_INPUTS],
                  double slope[WP_SPEED_INPUTS])
{
    double m[WP_SPEED_INPUTS][WP_SPEED_INPUTS + 1];
    unsigned at[WP_SPEED_INPUTS] = { 0 }, n = 0;
    for (unsigned i = 0; i < WP_SPEED_INPUTS; i++) {
        slope[i] = 0;
        if (used[i])
            at[n++] = i;
    }
    for (unsigned i = 0; i < n; i++) {
        unsigned a = at[i];
        for (unsigned k = 0; k < n; k++)
            m[i][k] = s->xx[a][at[k]] - s->x[a] * s->x[at[k]] / s->n;
        m[i][i] += RIDGE;
        m[i][n] = s->xy[a] - s->x[a] * s->y / s->n;
    }
    for (unsigned i = 0; i < n; i++)
        for (unsigned r = i + 1; r < n; r++) {
            double f = m[r][i] / m[i][i];
            for (unsigned k = i; k <= n; k++)
                m[r][k] -= f * m[i][k];
        }
    for (unsigned i = n; i-- > 0;) {
        double v = m[i][n];
        for (unsigned k = i + 1; k < n; k++)
            v -= m[i][k] * slope[at[k]];
        slope[at[i]] = v / m[i][i];
    }
}

/* More work never makes an answer faster: an input whose slope would be
   negative, by chance, is left out. */
static void fit(WPSpeed *s)
{
    bool used[WP_SPEED_INPUTS] = { true, true, true, true };
    for (;;) {
        unsigned worst = 0;
        solve(s, used, s->slope);
        for (unsigned i = 1; i < WP_SPEED_INPUTS; i++)
            if (s->slope[i] < s->slope[worst])
                worst = i;
        if (s->slope[worst] >= 0)
            break;
        used[worst] = false;
    }
    s->fitted = s->seen;
}

static double pace_of(const WPWork *w)
{
    return w->pace > 0 ? w->pace : 1;
}

void wp_speed_add(WPSpeed *s, const WPWork *w, int64_t took_us)
{
    double x[WP_SPEED_INPUTS], y = (double)took_us / pace_of(w);
    inputs_of(w, x);
    s->n = s->n * KEEP + 1;
    s->y = s->y * KEEP + y;
    for (unsigned i = 0; i < WP_SPEED_INPUTS; i++) {
        s->x[i] = s->x[i] * KEEP + x[i];
        s->xy[i] = s->xy[i] * KEEP + x[i] * y;
        for (unsigned k = 0; k < WP_SPEED_INPUTS; k++)
            s->xx[i][k] = s->xx[i][k] * KEEP + x[i] * x[k];
    }
    s->seen++;
    if (s->seen < FIT_EACH_TO || s->seen - s->fitted >= FIT_EVERY)
        fit(s);
}

double wp_speed_expect(WPSpeed *s, const WPWork *w)
{
    double x[WP_SPEED_INPUTS];
    if (s->seen < SEEN_LEAST)
        return 0;
    double mean = s->y / s->n, us = mean;
    inputs_of(w, x);
    for (unsigned i = 0; i < WP_SPEED_INPUTS; i++)
        us += s->slope[i] * (x[i] - s->x[i] / s->n);
    return pace_of(w) * MAX(us, LEAST_PART * mean);
}

double wp_speed_reading(WPSpeed *s, const WPWork *w)
{
    double x[WP_SPEED_INPUTS];
    inputs_of(w, x);
    return pace_of(w) * (s->slope[READ] * x[READ] +
                         s->slope[READ_SQUARED] * x[READ_SQUARED]);
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
