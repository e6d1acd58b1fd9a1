/* Likelihoods of a version that fails. */
#include "wp_failure.h"

#include <math.h>

/* Prior of the failure rate that both versions have in common: a beta
   distribution of this many answers, one of them failed. */
#define PRIOR_FAILED 1.0
#define PRIOR_ANSWERED 100.0

/* Shares of the answers that a bad version fails beside those that fail on any
   version. All are equally likely. */
static const double extra_shares[] = { 0.02, 0.04, 0.08, 0.15, 0.3, 0.5, 0.8 };

/* A sum of positive terms: `mantissa` times e to the power of `exponent`. */
typedef struct LogSum {
    double mantissa, exponent;
} LogSum;

#define MANTISSA_MAX 1e200

static double log_beta(double a, double b)
{
    return lgamma(a) + lgamma(b) - lgamma(a + b);
}

/* Answers, and what their likelihoods have in common. */
typedef struct Answers {
    double failed, sound; /* of the new version */
    /* Parameters of the beta distribution of the old version's rate. */
    double rate_failed, rate_sound;
    double good;       /* log likelihood if the new version fails as often */
    double sound_only; /* the same of the sound answers alone */
} Answers;

static Answers answers_of(const WPFailureCounts *c)
{
    Answers a = { .failed = c->failed,
                  .sound = (double)(c->answered - c->failed),
                  .rate_failed = PRIOR_FAILED + c->old_failed,
                  .rate_sound = PRIOR_ANSWERED - PRIOR_FAILED +
                                (double)(c->old_answered - c->old_failed) };
    double norm = log_beta(a.rate_failed, a.rate_sound);
    a.good = log_beta(a.rate_failed + a.failed, a.rate_sound + a.sound) - norm;
    a.sound_only = log_beta(a.rate_failed, a.rate_sound + a.sound) - norm;
    return a;
}

/* Log odds of a version that fails a share `q` of the requests that would not
   fail on any version, against a good one. A request fails with the probability
   q + (1 - q) p, where p is the rate; the integral over p is the sum over how
   many of the failures are due to p. */
static double log_ratio(const Answers *a, double q)
{
    double all = a->rate_failed + a->rate_sound + a->sound, term = 1;
    LogSum sum = { 1,
                   a->failed * log(q) + a->sound * log1p(-q) + a->sound_only };
    for (double i = 0; i < a->failed; i++) {
        term *= (a->failed - i) / (i + 1) * (1 - q) / q * (a->rate_failed + i) /
                (all + i);
        sum.mantissa += term;
        if (sum.mantissa > MANTISSA_MAX) {
            sum.mantissa /= MANTISSA_MAX;
            term /= MANTISSA_MAX;
            sum.exponent += log(MANTISSA_MAX);
        }
    }
    return log(sum.mantissa) + sum.exponent - a->good;
}

/* Adds `weight` times e to the power of `log_value`. */
static void add(LogSum *sum, double log_value, double weight)
{
    if (!sum->mantissa)
        sum->exponent = log_value;
    if (log_value > sum->exponent) {
        sum->mantissa *= exp(sum->exponent - log_value);
        sum->exponent = log_value;
    }
    sum->mantissa += weight * exp(log_value - sum->exponent);
}

static double log_of(const LogSum *sum)
{
    return log(sum->mantissa) + sum->exponent;
}

/* Log odds of each kind of hypothesis, and the number of hypotheses that the
   answers can tell from a good version. */
typedef struct Odds {
    LogSum kinds[WP_N_FAILURE_KINDS];
    double weights[WP_N_FAILURE_KINDS];
    double best_route_log_odds;
    unsigned best_route;
} Odds;

static void add_to_kind(Odds *o, WPFailureKind kind, double log_odds)
{
    add(&o->kinds[kind], log_odds, 1);
    o->weights[kind]++;
}

/* Answers of the new version from part `from` of the time on, and the old
   version's to all routes. */
static WPFailureCounts answers_since(const WPFailureCounts *routes, unsigned n,
                                     const WPFailureTime times[], unsigned from)
{
    WPFailureCounts sum = { 0 };
    for (unsigned i = from; i < WP_FAILURE_TIMES; i++) {
        sum.answered += times[i].answered;
        sum.failed += times[i].failed;
    }
    for (unsigned i = 0; i < n; i++) {
        sum.old_answered += routes[i].old_answered;
        sum.old_failed += routes[i].old_failed;
    }
    return sum;
}

static void weigh_routes(Odds *o, const WPFailureCounts *routes, unsigned n)
{
    double everywhere[WP_COUNT(extra_shares)] = { 0 };
    for (unsigned i = 0; i < n; i++) {
        LogSum route = { 0 };
        if (!routes[i].answered)
            continue;
        Answers a = answers_of(&routes[i]);
        for (size_t q = 0; q < WP_COUNT(extra_shares); q++) {
            double ratio = log_ratio(&a, extra_shares[q]);
            everywhere[q] += ratio;
            add_to_kind(o, WP_FAILS_ON_ROUTE, ratio);
            add(&route, ratio, 1.0 / WP_COUNT(extra_shares));
        }
        double log_odds = log_of(&route);
        if (!o->weights[WP_FAILS_EVERYWHERE] ||
            log_odds > o->best_route_log_odds) {
            o->best_route = i;
            o->best_route_log_odds = log_odds;
        }
        o->weights[WP_FAILS_EVERYWHERE] = WP_COUNT(extra_shares);
    }
    for (size_t q = 0; q < WP_COUNT(extra_shares); q++)
        add(&o->kinds[WP_FAILS_EVERYWHERE], everywhere[q], 1);
}

static void weigh_times(Odds *o, const WPFailureCounts *routes, unsigned n,
                        const WPFailureTime times[])
{
    for (unsigned from = 1; from < WP_FAILURE_TIMES; from++) {
        WPFailureCounts since = answers_since(routes, n, times, from);
        if (!since.answered)
            return;
        Answers a = answers_of(&since);
        for (size_t q = 0; q < WP_COUNT(extra_shares); q++)
            add_to_kind(o, WP_FAILS_LATE, log_ratio(&a, extra_shares[q]));
    }
}

WPFailureEvidence wp_failure_compare(const WPFailureCounts *routes, unsigned n,
                                     const WPFailureTime times[])
{
    Odds o = { 0 };
    WPFailureEvidence e = { 0 };
    LogSum total = { 0 };
    double kinds = 0;
    weigh_routes(&o, routes, n);
    weigh_times(&o, routes, n, times);
    for (int i = 0; i < WP_N_FAILURE_KINDS; i++) {
        if (!o.weights[i])
            continue;
        double log_odds = log_of(&o.kinds[i]) - log(o.weights[i]);
        add(&total, log_odds, 1);
        if (!kinds++ || log_odds > e.kind_log_odds) {
            e.kind = (WPFailureKind)i;
            e.kind_log_odds = log_odds;
        }
    }
    e.log_odds = kinds ? log_of(&total) - log(kinds) : 0;
    e.route = o.best_route;
    return e;
}

const char *wp_failure_kind_name(WPFailureKind kind)
{
    static const char *const names[] = { "everywhere", "route", "late" };
    return names[kind];
}
