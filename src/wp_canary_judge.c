/* Judges whether a new version is bad. */
#include "wp_canary_judge.h"

#include <math.h>

/* Log odds of a version that fails against a good one from which on it is
   rolled back, if this many answers failed. With equal prior odds, fewer than 1
   in 400 good versions ever reach them. */
#define LOG_ODDS_FAILS 6.0
#define MIN_FAILED 3

/* The same up to which a shift with failures goes on to the last stage, and up
   to which it may be completed. A single failure may be an endpoint's or the
   network's. */
#define LOG_ODDS_GATE 0.7
#define LOG_ODDS_END 0.5
#define LOG_ODDS_END_SINGLE 0.7

/* By definition, a quarter of the old version's answers are fast and a quarter
   are slow. A version is slow when at least MIN_SLOW_SHARE of at least
   MIN_TIMED answers with a time are slow. Good versions had up to half of their
   answers there while their endpoints filled, so this is tested only while the
   old version serves as well. */
#define DEVIATIONS 4.0
#define USUAL_FAST 0.25
#define USUAL_SLOW 0.25
#define MIN_SLOW_SHARE 0.6
#define MIN_TIMED 10

/* Shares of answer times below the old version's first quartile, between its
   quartiles and above its third, when the answers come from endpoints with a
   lower utilization than the old version's: of a good version, and of a slow
   one. See docs/PLATFORM.md. */
static const struct {
    double fast, middle, slow;
} good_times = { 0.6, 0.3, 0.1 }, slow_times = { 0.03, 0.57, 0.4 };

/* Log odds of a slow version against a good one from which on a version counts
   as slow. The highest value of a good version in simulations was 1. */
#define LOG_ODDS_SLOW 6.0

/* A shift goes on while callers have to expect answers at most this part slower
   than usual. One that is completed too early makes them slow until a person
   acts; one that waits is late for its operator alone. */
#define EXPECTED_LOSS_MAX 0.15

/* The new version's endpoints are less loaded if their mean utilization is
   below this part of the old version's. */
#define LESS_LOADED 0.5

/* For times that are compared by their ratio (WP_TIME_RATIO_NORMAL,
   WP_TIME_RATIO_SLOW), as those of plain services: the share of answers that
   take more than twice the old version's third quartile. Of a good version,
   whose times have a standard deviation of a half, as the users' specification
   gives them; and of a slow one, half of whose answers are slow. */
#define RATIO_SLOW_SHARE_GOOD 0.03
#define RATIO_SLOW_SHARE_BAD 0.5

#define PERMILLE 1000.0

/* With this many answers of the old version that have a time, times can be
   compared. A new version with MAX_UNTIMED answers, none of which has a time,
   is suspicious then. */
#define MIN_OLD_TIMED 20
#define MAX_UNTIMED 40

/* This many answers of a new version, and this many of them with a time, tell a
   good one from a bad one. Of a version that fails three requests in ten, 8
   answers have no failure in 6 of 100 cases, and it is found at once when it
   gets all requests. Of a slow version, 5 of 5 times look like a good one's in
   fewer than 1 of 1,000 cases. */
#define ENOUGH_ANSWERS 8
#define ENOUGH_TIMES 5

/* A version is bad under load if at least this share of at least this many
   answers of loaded replicas failed. One that was bad under load failed half of
   its answers there. */
#define MIN_LOADED 8
#define LOADED_FAILED_SHARE 0.25

void wp_canary_sums_record(WPCanarySums *v, const WPCanaryAnswer *a)
{
    v->answered++;
    v->failed += a->failed;
    v->times[a->part].answered++;
    v->times[a->part].failed += a->failed;
    if (a->time == WP_TIME_UNKNOWN)
        return;
    if (a->time == WP_TIME_RATIO_NORMAL || a->time == WP_TIME_RATIO_SLOW) {
        v->ratio_timed++;
        v->ratio_slow += a->time == WP_TIME_RATIO_SLOW;
        return;
    }
    v->timed++;
    v->fast += a->time == WP_TIME_FAST;
    v->slow += a->time == WP_TIME_SLOW;
    v->utilization_permille += (uint64_t)(a->utilization * PERMILLE);
}

uint64_t wp_canary_route_hash(const char *name)
{
    return wp_hash(wp_str(name), 0);
}

static void counts_add(WPFailureCounts *to, const WPFailureCounts *c)
{
    to->answered += c->answered;
    to->failed += c->failed;
    to->old_answered += c->old_answered;
    to->old_failed += c->old_failed;
}

static uint32_t failures(const WPCanaryRoute *r)
{
    return r->counts.failed + r->counts.old_failed;
}

void wp_canary_sums_add_route(WPCanarySums *v, const WPCanaryRoute *r)
{
    WPCanaryRoute *fewest = NULL;
    for (unsigned i = 0; i < v->n_routes; i++) {
        WPCanaryRoute *known = &v->routes[i];
        if (known->name_hash == r->name_hash) {
            counts_add(&known->counts, &r->counts);
            return;
        }
        if (!fewest || failures(known) < failures(fewest))
            fewest = known;
    }
    if (v->n_routes < WP_CANARY_ROUTES_MAX)
        v->routes[v->n_routes++] = *r;
    else if (failures(fewest) < failures(r))
        *fewest = *r;
}

static bool is_possible(const WPFailureCounts *c)
{
    return c->failed <= c->answered && c->old_failed <= c->old_answered;
}

const char *wp_canary_sums_invalid_field(const WPCanarySums *v)
{
    const WPFailureCounts all = { v->answered, v->failed, v->old_answered,
                                  v->old_failed };
    uint64_t in_time = 0;
    if (!is_possible(&all))
        return "failed";
    if (v->loaded_failed > v->loaded)
        return "loaded_failed";
    if ((uint64_t)v->slow + v->fast > v->timed)
        return "slow";
    if (v->ratio_slow > v->ratio_timed)
        return "far";
    for (unsigned i = 0; i < v->n_routes; i++)
        if (!is_possible(&v->routes[i].counts))
            return "route_counts";
    for (unsigned i = 0; i < WP_FAILURE_TIMES; i++) {
        if (v->times[i].failed > v->times[i].answered)
            return "time_counts";
        in_time += v->times[i].answered;
    }
    return in_time > v->answered ? "time_counts" : NULL;
}

void wp_canary_sums_add(WPCanarySums *to, const WPCanarySums *v)
{
    for (unsigned i = 0; i < v->n_routes; i++)
        wp_canary_sums_add_route(to, &v->routes[i]);
    for (unsigned i = 0; i < WP_FAILURE_TIMES; i++) {
        to->times[i].answered += v->times[i].answered;
        to->times[i].failed += v->times[i].failed;
    }
    to->loaded += v->loaded;
    to->loaded_failed += v->loaded_failed;
    to->loaded_bad_replicas =
        MAX(to->loaded_bad_replicas, v->loaded_bad_replicas);
    to->answered += v->answered;
    to->failed += v->failed;
    to->timed += v->timed;
    to->slow += v->slow;
    to->fast += v->fast;
    to->ratio_timed += v->ratio_timed;
    to->ratio_slow += v->ratio_slow;
    to->utilization_permille += v->utilization_permille;
    wp_speed_add(&to->speed, &v->speed);
    wp_speed_add(&to->old_speed, &v->old_speed);
    to->timed_replicas |= v->timed_replicas;
    to->slow_replicas |= v->slow_replicas;
    to->failures_widespread |= v->failures_widespread;
    to->slowness_widespread |= v->slowness_widespread;
    to->old_answered += v->old_answered;
    to->old_failed += v->old_failed;
}

/* `part` of `n`; 0 if there are none. */
static double rate(uint32_t part, uint32_t n)
{
    return n ? (double)part / n : 0;
}

/* Number of routes that `v` tells apart. A single one is not told apart from
   answers whose route is not known. */
static unsigned known_routes(const WPCanarySums *v)
{
    return v->n_routes > 1 ? v->n_routes : 0;
}

/* The answers of `v` and `old` on the routes that `v` does not tell apart. */
static WPFailureCounts other_routes(const WPCanarySums *v,
                                    const WPCanarySums *old)
{
    WPFailureCounts out = { v->answered, v->failed, old->answered,
                            old->failed };
    for (unsigned i = 0; i < known_routes(v); i++) {
        const WPFailureCounts *c = &v->routes[i].counts;
        out.answered -= MIN(out.answered, c->answered);
        out.failed -= MIN(out.failed, c->failed);
        out.old_answered -= MIN(out.old_answered, c->old_answered);
        out.old_failed -= MIN(out.old_failed, c->old_failed);
    }
    out.failed = MIN(out.failed, out.answered);
    out.old_failed = MIN(out.old_failed, out.old_answered);
    return out;
}

WPFailureEvidence wp_canary_sums_failures(const WPCanarySums *v,
                                          const WPCanarySums *old)
{
    WPFailureCounts routes[WP_CANARY_ROUTES_MAX + 1];
    unsigned n = known_routes(v);
    for (unsigned i = 0; i < n; i++)
        routes[i] = v->routes[i].counts;
    routes[n] = other_routes(v, old);
    return wp_failure_compare(routes, n + 1, v->times);
}

/* Failures are expected route by route: requests that fail whatever serves them
   come by few routes. */
static bool fails(const WPCanarySums *v, const WPCanarySums *old)
{
    return v->failed >= MIN_FAILED &&
           wp_canary_sums_failures(v, old).log_odds >= LOG_ODDS_FAILS;
}

/* Whether most answers are slow, and significantly more than expected from the
   old version's rate of slow answers, which is taken to be a quarter at
   least. */
static bool is_slow(const WPCanarySums *v, const WPCanarySums *old)
{
    double base = MAX(USUAL_SLOW, rate(old->slow, old->timed));
    double expected = v->timed * base;
    double dev = sqrt(v->timed * base * (1 - base));
    return v->timed >= MIN_TIMED && rate(v->slow, v->timed) >= MIN_SLOW_SHARE &&
           v->slow > expected + DEVIATIONS * dev;
}

static double mean_utilization(const WPCanarySums *v)
{
    return v->timed ? (double)v->utilization_permille / v->timed : 0;
}

static bool is_less_loaded(const WPCanarySums *v, const WPCanarySums *old)
{
    return mean_utilization(v) < LESS_LOADED * mean_utilization(old);
}

/* Log odds of a slow version against a good one. Valid where the new version's
   endpoints are less loaded than the old version's: there a good version's
   answers are mostly fast, a slow one's hardly ever. */
static double log_odds(const WPCanarySums *v)
{
    uint32_t middle = v->timed - v->fast - v->slow;
    return v->fast * log(slow_times.fast / good_times.fast) +
           middle * log(slow_times.middle / good_times.middle) +
           v->slow * log(slow_times.slow / good_times.slow);
}

/* Whether the log odds show a slow version, on endpoints that are less loaded
   than the old version's. */
static bool is_rarely_fast(const WPCanarySums *v, const WPCanarySums *old)
{
    return log_odds(v) >= LOG_ODDS_SLOW && is_less_loaded(v, old);
}

/* Log odds of a slow version against a good one, of answers whose times are
   compared by their ratio to the old version's (WP_TIME_RATIO_NORMAL,
   WP_TIME_RATIO_SLOW). */
static double ratio_log_odds(const WPCanarySums *v)
{
    return v->ratio_slow * log(RATIO_SLOW_SHARE_BAD / RATIO_SLOW_SHARE_GOOD) +
           (v->ratio_timed - v->ratio_slow) *
               log((1 - RATIO_SLOW_SHARE_BAD) / (1 - RATIO_SLOW_SHARE_GOOD));
}

bool wp_canary_sums_may_fail(const WPCanarySums *v, const WPCanarySums *old)
{
    return v->failed &&
           wp_canary_sums_failures(v, old).log_odds > LOG_ODDS_GATE;
}

bool wp_canary_sums_not_sound(const WPCanarySums *v, const WPCanarySums *old)
{
    double bound = v->failed > 1 ? LOG_ODDS_END : LOG_ODDS_END_SINGLE;
    return v->failed && wp_canary_sums_failures(v, old).log_odds > bound;
}

/* Adds `n` answers without a failure, to the routes in the same shares. */
static void add_sound(WPCanarySums *v, uint32_t n)
{
    double more = v->answered ? (double)n / v->answered : 0;
    for (unsigned i = 0; i < v->n_routes; i++) {
        WPFailureCounts *c = &v->routes[i].counts;
        c->answered += (uint32_t)(more * c->answered);
    }
    v->times[WP_FAILURE_TIMES - 1].answered += n;
    v->answered += n;
}

unsigned wp_canary_sums_answers_needed(const WPCanarySums *v,
                                       const WPCanarySums *old)
{
    unsigned low = 0, high = WP_CANARY_NEEDED_MAX;
    if (!wp_canary_sums_not_sound(v, old))
        return 0;
    while (high - low > 1) {
        unsigned middle = low + (high - low) / 2;
        WPCanarySums later = *v;
        add_sound(&later, middle);
        if (wp_canary_sums_not_sound(&later, old))
            low = middle;
        else
            high = middle;
    }
    return high;
}

static unsigned count_bits(uint64_t v)
{
    return (unsigned)__builtin_popcountll(v);
}

/* Whether enough replicas are slow for it to be the version's fault. */
static bool slow_on_enough_replicas(const WPCanarySums *v)
{
    unsigned slow = count_bits(v->slow_replicas);
    return slow >= WP_CANARY_MIN_BAD_REPLICAS &&
           slow >= WP_CANARY_MIN_BAD_SHARE * count_bits(v->timed_replicas);
}

bool wp_canary_sums_speed_is_bad(const WPCanarySums *v)
{
    return slow_on_enough_replicas(v) &&
           wp_speed_compare(&v->speed, &v->old_speed).log_odds >= LOG_ODDS_SLOW;
}

bool wp_canary_sums_speed_in_doubt(const WPCanarySums *v)
{
    WPSpeedEvidence e = wp_speed_compare(&v->speed, &v->old_speed);
    return e.known && e.expected_loss > EXPECTED_LOSS_MAX;
}

bool wp_canary_sums_replica_is_slow(const WPSpeedCounts *replica,
                                    const WPSpeedCounts *old)
{
    WPSpeedEvidence e = wp_speed_compare(replica, old);
    return e.known && e.best_log_odds > 0;
}

bool wp_canary_sums_may_be_slow(const WPCanarySums *v, const WPCanarySums *old)
{
    if (v->ratio_timed && ratio_log_odds(v) > 0)
        return true;
    if (old->ratio_timed >= MIN_OLD_TIMED && !v->ratio_timed)
        return v->answered >= MAX_UNTIMED;
    if (old->timed < MIN_OLD_TIMED)
        return false;
    if (!v->timed)
        return v->answered >= MAX_UNTIMED;
    if (is_less_loaded(v, old))
        return log_odds(v) > 0;
    return rate(v->slow, v->timed) >= MIN_SLOW_SHARE;
}

bool wp_canary_sums_suffice(const WPCanarySums *v, const WPCanarySums *old)
{
    return v->answered >= ENOUGH_ANSWERS &&
           v->timed + v->ratio_timed >= ENOUGH_TIMES &&
           old->timed + old->ratio_timed >= MIN_OLD_TIMED;
}

WPVersionFault wp_canary_judge(const WPCanarySums *v, const WPCanarySums *old,
                               bool beside)
{
    if (fails(v, old))
        return WP_VERSION_FAULT_FAILS;
    return wp_canary_sums_is_slow(v, old, beside) ? WP_VERSION_FAULT_SLOW
                                                  : WP_VERSION_FAULT_NONE;
}

bool wp_canary_sums_is_slow(const WPCanarySums *v, const WPCanarySums *old,
                            bool beside)
{
    return ratio_log_odds(v) >= LOG_ODDS_SLOW ||
           (beside && (is_slow(v, old) || is_rarely_fast(v, old)));
}

bool wp_canary_sums_any_failed(const WPCanarySums *v)
{
    return v->failed > 0;
}

bool wp_canary_sums_are_slow(const WPCanarySums *v)
{
    bool half_slow = v->slow > 0 && v->slow * 2 >= v->timed;
    return half_slow || v->ratio_slow > 0 || v->fast < USUAL_FAST * v->timed;
}

/* Few replicas are loaded, so a few that fail are enough. */
bool wp_canary_sums_fail_loaded(const WPCanarySums *v)
{
    return v->loaded >= MIN_LOADED &&
           v->loaded_bad_replicas >= WP_CANARY_MIN_BAD_REPLICAS &&
           rate(v->loaded_failed, v->loaded) >= LOADED_FAILED_SHARE;
}

/* The failures as text for the log: how likely they are from a version that
   fails, the kind of one that fits best, and the route that does. */
static char *failures_text(const WPCanarySums *v, const WPCanarySums *old)
{
    WPFailureEvidence e = wp_canary_sums_failures(v, old);
    WPCanaryRoute worst = { .counts = other_routes(v, old) };
    if (e.route < known_routes(v))
        worst = v->routes[e.route];
    return g_strdup_printf(
        "fail_odds=%.1f fails=%s worst_route=%016lx %u/%u old %u/%u",
        e.log_odds, wp_failure_kind_name(e.kind),
        (unsigned long)worst.name_hash, worst.counts.failed,
        worst.counts.answered, worst.counts.old_failed,
        worst.counts.old_answered);
}

char *wp_canary_sums_text(const char *route, const WPCanarySums *v,
                          const WPCanarySums *old)
{
    WPSpeedEvidence e = wp_speed_compare(&v->speed, &v->old_speed);
    g_autofree char *failures = failures_text(v, old);
    return g_strdup_printf(
        "route=%s new=%u/%u failed, %u/%u slow, %u fast, %u/%u far, "
        "odds=%.1f loss=%.2f of %u on %u/%u replicas; "
        "old=%u/%u failed, %u/%u slow, %u fast, %u/%u far; %s",
        route, v->failed, v->answered, v->slow, v->timed, v->fast,
        v->ratio_slow, v->ratio_timed, e.log_odds, e.expected_loss,
        wp_speed_total(&v->speed), count_bits(v->slow_replicas),
        count_bits(v->timed_replicas), old->failed, old->answered, old->slow,
        old->timed, old->fast, old->ratio_slow, old->ratio_timed, failures);
}
