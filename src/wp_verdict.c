/* The verdict on a new version. */
#include "wp_verdict.h"

#include <math.h>

/* The verdict: this many bad answers at least, and this many standard
   deviations more than the old version's rate would give. With three entries
   it is found well before the platform's fifty bad answers. */
#define LEAST_BAD 5
#define DEVIATIONS 4.0

/* Fewer bad answers are enough where hardly any were to be expected: three of
   some twenty, where the old version had none in hundreds, are hardly chance.
 */
#define FEW_BAD 3
#define FEW_EXPECTED 0.04

/* A version is slow when most of its answers are past the bound that a quarter
   of the old version's are past. Good ones had up to half of them there while
   they filled, so that is only asked while the old version serves beside it. */
#define USUAL_FAST 0.25
#define USUAL_SLOW 0.25
#define LEAST_SLOW_SHARE 0.6
#define LEAST_TIMED 10

/* Where the times of answers lie among the old version's (below its first
   quarter, between, above its third) when they come from endpoints that are
   less loaded: of a good version, and of a slow one. docs/PLATFORM.md. */
static const struct {
    double fast, usual, slow;
} good_times = { 0.6, 0.3, 0.1 }, slow_times = { 0.03, 0.57, 0.4 };

/* The log of the odds for a slow version from which it is taken for one: the
   highest of the good plays was 1. */
#define LOG_ODDS_SLOW 6.0

/* Endpoints are less loaded when no more than this part of the places are taken
   that are at the old version's. */
#define LESS_LOADED 0.5

/* Of a plain service, the share of answers that take over twice the time that
   three quarters of the old version's take: of a good version (times with a
   deviation of a half, as the users' sheets have them) and of a slow one, half
   of whose answers are slow. */
#define FAR_GOOD 0.03
#define FAR_SLOW 0.5

#define THOUSANDTHS 1000.0

/* So many of the old version's answers allow a comparison; then so many of the
   new one's without a time, and none with, are odd. */
#define OLD_TIMED_LEAST 20
#define UNTIMED_MOST 40

/* A version that fails does so with so many more of its answers, at least: the
   fewest that were played. */
#define FAILS_MORE 0.15

/* So many answers of a new version, and so many of them with a time, tell a
   good one from a bad one: of a version that fails three in ten, 8 are without
   a failure in 6 of 100 cases, and it is caught at once when it gets all
   requests; of a slow one 5 of 5 speak for a good one in less than 1 of 1,000.
 */
#define TELLING_ANSWERS 8
#define TELLING_TIMES 5

/* A version that is bad under load failed half of its answers there. */
#define LOADED_LEAST 8
#define LOADED_FAILED_SHARE 0.25

/* As many answers, one of them bad, are added to what is known of the old
   version. */
#define PRIOR_ANSWERS 100.0

void wp_sums_answer(WPShiftSums *v, const WPShiftAnswer *a)
{
    v->answered++;
    v->failed += a->failed;
    if (a->time == WP_TIME_UNKNOWN)
        return;
    if (a->time == WP_TIME_NEAR || a->time == WP_TIME_FAR) {
        v->wholes++;
        v->far += a->time == WP_TIME_FAR;
        return;
    }
    v->timed++;
    v->fast += a->time == WP_TIME_FAST;
    v->slow += a->time == WP_TIME_SLOW;
    v->taken += (uint64_t)(a->taken * THOUSANDTHS);
}

void wp_sums_add(WPShiftSums *to, const WPShiftSums *v)
{
    to->loaded += v->loaded;
    to->loaded_failed += v->loaded_failed;
    to->loaded_bad = MAX(to->loaded_bad, v->loaded_bad);
    to->answered += v->answered;
    to->failed += v->failed;
    to->timed += v->timed;
    to->slow += v->slow;
    to->fast += v->fast;
    to->wholes += v->wholes;
    to->far += v->far;
    to->taken += v->taken;
    to->fails_spread |= v->fails_spread;
    to->slow_spread |= v->slow_spread;
    to->old_answered += v->old_answered;
    to->old_failed += v->old_failed;
}

static double rate(uint32_t part, uint32_t n)
{
    return n ? (double)part / n : 0;
}

/* Whether `bad` of `n` is more than the old version's `old_bad` of `old_n`
   explains. Of an old version that is not known, one in a hundred is thought
   to be bad. */
static bool too_many(uint32_t bad, uint32_t n, uint32_t old_bad, uint32_t old_n)
{
    double expected = n * (old_bad + 1.0) / (old_n + PRIOR_ANSWERS);
    bool clear =
        bad >= LEAST_BAD && bad > expected + DEVIATIONS * sqrt(expected);
    return clear || (bad >= FEW_BAD && expected < FEW_EXPECTED);
}

static bool fails(const WPShiftSums *v, const WPShiftSums *old)
{
    return too_many(v->failed, v->answered, old->failed, old->answered);
}

/* A quarter of the usual answers are past the bound that makes them slow. */
static bool is_slow(const WPShiftSums *v, const WPShiftSums *old)
{
    double base = MAX(USUAL_SLOW, rate(old->slow, old->timed));
    double expected = v->timed * base;
    double dev = sqrt(v->timed * base * (1 - base));
    return v->timed >= LEAST_TIMED &&
           rate(v->slow, v->timed) >= LEAST_SLOW_SHARE &&
           v->slow > expected + DEVIATIONS * dev;
}

static double mean_taken(const WPShiftSums *v)
{
    return v->timed ? (double)v->taken / v->timed : 0;
}

static bool is_less_loaded(const WPShiftSums *v, const WPShiftSums *old)
{
    return mean_taken(v) < LESS_LOADED * mean_taken(old);
}

/* The log of the odds for a slow version against a good one, where its
   endpoints have less to do: there a good one's answers are mostly fast, a slow
   one's hardly ever. */
static double log_odds(const WPShiftSums *v)
{
    uint32_t usual = v->timed - v->fast - v->slow;
    return v->fast * log(slow_times.fast / good_times.fast) +
           usual * log(slow_times.usual / good_times.usual) +
           v->slow * log(slow_times.slow / good_times.slow);
}

static bool is_never_fast(const WPShiftSums *v, const WPShiftSums *old)
{
    return log_odds(v) >= LOG_ODDS_SLOW && is_less_loaded(v, old);
}

/* The same of a plain service. */
static double far_odds(const WPShiftSums *v)
{
    return v->far * log(FAR_SLOW / FAR_GOOD) +
           (v->wholes - v->far) * log((1 - FAR_SLOW) / (1 - FAR_GOOD));
}

/* Three failures of some thirty, where the old version had none in hundreds,
   are too few for a verdict after a start, and too many to end the move on. */
bool wp_sums_may_fail(const WPShiftSums *v, const WPShiftSums *old)
{
    double good = (old->failed + 1.0) / (old->answered + PRIOR_ANSWERS);
    double bad = MIN(good + FAILS_MORE, 1 - FAILS_MORE);
    double odds = v->failed * log(bad / good) +
                  (v->answered - v->failed) * log((1 - bad) / (1 - good));
    return v->failed && odds > 0;
}

bool wp_sums_doubtful(const WPShiftSums *v, const WPShiftSums *old)
{
    if (v->wholes && far_odds(v) > 0)
        return true;
    if (old->wholes >= OLD_TIMED_LEAST && !v->wholes)
        return v->answered >= UNTIMED_MOST;
    if (old->timed < OLD_TIMED_LEAST)
        return false;
    if (!v->timed)
        return v->answered >= UNTIMED_MOST;
    if (is_less_loaded(v, old))
        return log_odds(v) > 0;
    return rate(v->slow, v->timed) >= LEAST_SLOW_SHARE;
}

bool wp_sums_tell(const WPShiftSums *v, const WPShiftSums *old)
{
    return v->answered >= TELLING_ANSWERS &&
           v->timed + v->wholes >= TELLING_TIMES &&
           old->timed + old->wholes >= OLD_TIMED_LEAST;
}

WPFault wp_sums_fault(const WPShiftSums *v, const WPShiftSums *old, bool beside)
{
    if (fails(v, old))
        return WP_FAULT_FAILS;
    if (far_odds(v) >= LOG_ODDS_SLOW)
        return WP_FAULT_SLOW;
    if (beside && (is_slow(v, old) || is_never_fast(v, old)))
        return WP_FAULT_SLOW;
    return WP_FAULT_NONE;
}

bool wp_sums_failed(const WPShiftSums *v)
{
    return v->failed > 0;
}

bool wp_sums_slow(const WPShiftSums *v)
{
    bool mostly = v->slow > 0 && v->slow * 2 >= v->timed;
    return mostly || v->far > 0 || v->fast < USUAL_FAST * v->timed;
}

/* Few replicas are loaded, so a few bad ones show it. */
bool wp_sums_fail_loaded(const WPShiftSums *v)
{
    return v->loaded >= LOADED_LEAST && v->loaded_bad >= WP_VERDICT_REPLICAS &&
           rate(v->loaded_failed, v->loaded) >= LOADED_FAILED_SHARE;
}

char *wp_sums_text(const char *route, const WPShiftSums *v,
                   const WPShiftSums *old)
{
    return g_strdup_printf(
        "route=%s new=%u/%u failed, %u/%u slow, %u fast, %u/%u far; "
        "old=%u/%u failed, %u/%u slow, %u fast, %u/%u far",
        route, v->failed, v->answered, v->slow, v->timed, v->fast, v->far,
        v->wholes, old->failed, old->answered, old->slow, old->timed, old->fast,
        old->far, old->wholes);
}
