/* Judges whether a new version is bad, by statistics of its answers and of
 * those of the version that it is to replace. */
#ifndef WP_CANARY_JUDGE_H
#define WP_CANARY_JUDGE_H

#include "wp_failure.h"
#include "wp_speed.h"

/* Answers of one route, of the new version and of the old one at the same
   boxes. */
typedef struct WPCanaryRoute {
    uint64_t name_hash; /* wp_canary_route_hash() of the route's name */
    WPFailureCounts counts;
} WPCanaryRoute;

/* Number of routes that sums tell apart. */
enum { WP_CANARY_ROUTES_MAX = 16 };

/* Statistics of a group of answers. Those of several boxes can be added. */
typedef struct WPCanarySums {
    uint32_t answered, failed;
    WPFailureTime times[WP_FAILURE_TIMES]; /* these by the time of the answer */
    /* Answers whose time is compared by the old version's quartiles, and those
       of them that were slow and fast (WP_TIME_SLOW, WP_TIME_FAST). */
    uint32_t timed, slow;
    uint32_t fast;
    /* The endpoint's utilization at each of these answers, in thousandths,
       added up. */
    uint64_t utilization_permille;
    /* Answers whose time is compared by its ratio to the old version's
       (WP_TIME_RATIO_NORMAL, WP_TIME_RATIO_SLOW), and those of them that were
       slow (WP_TIME_RATIO_SLOW). */
    uint32_t ratio_timed, ratio_slow;
    /* Answers by the ratio of their time to the usual one. */
    WPSpeedCounts speed;
    /* Answers of loaded replicas (utilization of a half or more), those of them
       that failed, and the number of replicas on which some of those failed. */
    uint32_t loaded, loaded_failed, loaded_bad_replicas;
    /* Whether a box saw failures, or slow answers, on enough endpoints, by
       number and by share of the version's, to blame the version and not some
       endpoints. */
    bool failures_widespread, slowness_widespread;
    /* In the sums of a new version: answers of the old version at the same
       boxes, and those of them that failed. */
    uint32_t old_answered, old_failed;
    /* Of those answers the ones with a known ratio; the replicas of the new
       version that have some, and those that are slow by them: a bit each, by
       the hash of the id. */
    WPSpeedCounts old_speed;
    uint64_t timed_replicas, slow_replicas;
    /* Of these and of `answered`: the routes with the most failures. */
    WPCanaryRoute routes[WP_CANARY_ROUTES_MAX];
    unsigned n_routes;
} WPCanarySums;

/* Returns the hash by which boxes name a route to each other. */
uint64_t wp_canary_route_hash(const char *name);

/* Adds the answers of a route to the routes of `v`; the one with the fewest
   failures is left out if there are too many. */
void wp_canary_sums_add_route(WPCanarySums *v, const WPCanaryRoute *r);

/* Class of an answer's time, compared with the times of the old version. */
typedef enum WPAnswerTime {
    WP_TIME_UNKNOWN, /* not counted: the endpoint was too busy, or too few times
                        of the old version are known */
    WP_TIME_FAST,    /* below the old version's first quartile */
    WP_TIME_MIDDLE,  /* between its first and its third quartile */
    WP_TIME_SLOW,    /* above its third quartile */
    /* For plain services, whose times do not depend on their load, and where
       the old version's quartiles lie close together: by the ratio to its third
       quartile. */
    WP_TIME_RATIO_NORMAL, /* not several times as long */
    WP_TIME_RATIO_SLOW    /* several times as long */
} WPAnswerTime;

/* How one request ended at an endpoint. */
typedef struct WPCanaryAnswer {
    const char *version, *replica, *route;
    bool failed;
    unsigned part; /* of the time since the order, below WP_FAILURE_TIMES */
    WPAnswerTime time;
    double utilization; /* share of the endpoint's slots that were in use when
                           the request was sent */
} WPCanaryAnswer;

/* A bad version is bad on all its endpoints. With fewer bad ones than this, it
   is left to the choice of endpoints to avoid them. */
enum { WP_CANARY_MIN_BAD_REPLICAS = 2 };

/* So a decision needs bad answers from this share of the replicas. */
#define WP_CANARY_MIN_BAD_SHARE 0.25

/* The reason to judge a version bad. */
typedef enum WPVersionFault {
    WP_VERSION_FAULT_NONE,
    WP_VERSION_FAULT_FAILS,
    WP_VERSION_FAULT_SLOW
} WPVersionFault;

/* Adds one answer to the sums. */
void wp_canary_sums_record(WPCanarySums *v, const WPCanaryAnswer *a);

/* The name of a count in sums of another box that cannot be, as more answers
   failed than there were; NULL: there is none. */
const char *wp_canary_sums_invalid_field(const WPCanarySums *v);

/* Adds the sums `v` of another group of answers to `to`. */
void wp_canary_sums_add(WPCanarySums *to, const WPCanarySums *v);

/* In the following functions `v` are the sums of the new version and `old`
   those of the old one. */

/* Returns the fault of the new version, if the statistics show one. `beside`:
   the old version serves as well, so that answer times can be compared. */
WPVersionFault wp_canary_judge(const WPCanarySums *v, const WPCanarySums *old,
                               bool beside);

/* Whether the answers are so much slower than the old version's that the new
   one is bad. */
bool wp_canary_sums_is_slow(const WPCanarySums *v, const WPCanarySums *old,
                            bool beside);

/* How well the failures fit a version that fails. A route that fits best is an
   index of `v->routes`, or else all that `v` does not tell apart. */
WPFailureEvidence wp_canary_sums_failures(const WPCanarySums *v,
                                          const WPCanarySums *old);

/* The number of answers without a failure, to the routes in the same shares,
   after which the failures do not keep the shift from its end; at most
   WP_CANARY_NEEDED_MAX. */
enum { WP_CANARY_NEEDED_MAX = 1 << 20 };
unsigned wp_canary_sums_answers_needed(const WPCanarySums *v,
                                       const WPCanarySums *old);

/* Whether some answers failed, and that is more likely from a version that
   fails than from a good one: so much that the new version is not given all
   requests. wp_canary_judge() takes more. */
bool wp_canary_sums_may_fail(const WPCanarySums *v, const WPCanarySums *old);

/* The same, so that the shift is not completed. */
bool wp_canary_sums_not_sound(const WPCanarySums *v, const WPCanarySums *old);

/* Whether the answers are more likely from a slow version than from a good one,
   or there are many without a single time although the old version's answers
   have times. */
bool wp_canary_sums_may_be_slow(const WPCanarySums *v, const WPCanarySums *old);

/* Whether there are enough answers of both versions, with times, to tell a good
   new version from a bad one. */
bool wp_canary_sums_suffice(const WPCanarySums *v, const WPCanarySums *old);

/* Whether the new version fails on loaded replicas. */
bool wp_canary_sums_fail_loaded(const WPCanarySums *v);

/* Whether some answer in the sums of a replica failed. */
bool wp_canary_sums_any_failed(const WPCanarySums *v);

/* Whether the answers are so much slower than the old version's that the new
   one is bad. */
bool wp_canary_sums_speed_is_bad(const WPCanarySums *v);

/* Whether the new version may still be so much slower that a person would have
   to undo the shift, by the slowdown that callers have to expect of it. */
bool wp_canary_sums_speed_in_doubt(const WPCanarySums *v);

/* Whether the answers of one replica, out of the sums `v` of the version, fit a
   slower version better. */
bool wp_canary_sums_replica_is_slow(const WPSpeedCounts *replica,
                                    const WPSpeedCounts *old);

/* Whether the answers in the sums of a replica are slow. */
bool wp_canary_sums_are_slow(const WPCanarySums *v);

/* The statistics as text for the log; `route` is the route that they are of, or
   "all". Free with g_free(). */
char *wp_canary_sums_text(const char *route, const WPCanarySums *v,
                          const WPCanarySums *old);

#endif
