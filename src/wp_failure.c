/* Likelihoods of a version that fails. */
#include "wp_failure.h"

#include <math.h>

/* Prior of the failure rate that both versions have in common: a mixture of
   beta distributions. Most routes hardly fail; on a few, requests fail as their
   callers send what cannot be served, in any share of the cases. */
static const struct {
    double weight, failed, sound;
} rate_priors[] = { { 0.9, 1, 99 }, { 0.1, 0.5, 0.5 } };

enum { N_RATES = WP_COUNT(rate_priors) };

/* Shares of the answers that a bad version fails beside those that fail on any
   version. All are equally likely. */
static const double extra_shares[] = { 0.02, 0.04, 0.08, 0.15, 0.3, 0.5, 0.8 };

/* More failures of the new version, and the sound answers beside them, are
   counted in proportion: so many decide, and each takes time to weigh. */
#define FAILED_MAX 256

/* A sum of positive terms: `mantissa` times e to the power of `exponent`. */
typedef struct LogSum {
    double mantissa, exponent;
} LogSum;

#define MANTISSA_MAX 1e200

static double log_beta(double a, double b)
{
    return lgamma(a) + lgamma(b) - lgamma(a + b);
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

/* Answers, and what their likelihoods have in common. */
typedef struct Answers {
    double failed, sound; /* of the new version */
    double good;          /* log likelihood if the new version fails as often */
    /* By component of the prior: parameters of the distribution of the old
       version's rate, and the log likelihood of the new version's sound answers
       times the component's probability. */
    struct {
        double failed, sound, sound_only;
    } rates[N_RATES];
} Answers;

static Answers answers_of(const WPFailureCounts *c)
{
    double scale = MIN(1, FAILED_MAX / MAX((double)c->failed, 1));
    Answers a = { .failed = MIN(c->failed, FAILED_MAX),
                  .sound = scale * (double)(c->answered - c->failed) };
    LogSum good = { 0 }, old = { 0 };
    for (int i = 0; i < N_RATES; i++) {
        double failed = rate_priors[i].failed + c->old_failed;
        double sound =
            rate_priors[i].sound + (double)(c->old_answered - c->old_failed);
        double weight = log(rate_priors[i].weight) -
                        log_beta(rate_priors[i].failed, rate_priors[i].sound);
        a.rates[i].failed = failed;
        a.rates[i].sound = sound;
        a.rates[i].sound_only = weight + log_beta(failed, sound + a.sound);
        add(&old, weight + log_beta(failed, sound), 1);
        add(&good, weight + log_beta(failed + a.failed, sound + a.sound), 1);
    }
    for (int i = 0; i < N_RATES; i++)
        a.rates[i].sound_only -= log_of(&old);
    a.good = log_of(&good) - log_of(&old);
    return a;
}

/* Log likelihood, with one component of the prior, of a version that fails a
   share `q` of the requests that would not fail on any version. A request fails
   with the probability q + (1 - q) p, where p is the rate; the integral over p
   is the sum over how many of the failures are due to p. */
static double bad_log_likelihood(const Answers *a, int rate, double q)
{
    double failed = a->rates[rate].failed, term = 1;
    double all = failed + a->rates[rate].sound + a->sound;
    LogSum sum = { 1, a->failed * log(q) + a->sound * log1p(-q) +
                          a->rates[rate].sound_only };
    for (double i = 0; i < a->failed; i++) {
        term *=
            (a->failed - i) / (i + 1) * (1 - q) / q * (failed + i) / (all + i);
        sum.mantissa += term;
        if (sum.mantissa > MANTISSA_MAX) {
            sum.mantissa /= MANTISSA_MAX;
            term /= MANTISSA_MAX;
            sum.exponent += log(MANTISSA_MAX);
        }
    }
    return log_of(&sum);
}

/* Log odds of such a version against a good one. */
static double log_ratio(const Answers *a, double q)
{
    LogSum bad = { 0 };
    for (int i = 0; i < N_RATES; i++)
        add(&bad, bad_log_likelihood(a, i, q), 1);
    return log_of(&bad) - a->good;
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
        e.kinds[i] = log_odds;
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
