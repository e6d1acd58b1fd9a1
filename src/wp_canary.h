/* Canary analysis of a traffic shift: collects how requests end on the new
 * version, and on the old one that it is to replace, and judges by them whether
 * the new version is bad (wp_canary_judge.h).
 *
 * This box's own answers are counted by route and by replica. Other boxes
 * report sums of theirs. The latest report of each incarnation of each box's
 * process is kept: so what an incarnation has reported still counts after the
 * process has restarted, and a report that arrives several times counts
 * once. */
#ifndef WP_CANARY_H
#define WP_CANARY_H

#include "wp_canary_judge.h"

/* The latest report of one incarnation of a box's process. */
typedef struct WPCanaryReport {
    char *box;
    uint64_t incarnation;
    WPCanarySums sums; /* of the new version */
    bool unsent;       /* has answers that were not sent on yet */
} WPCanaryReport;

typedef struct WPCanary {
    /* This box's own answers: by route, of the new and of the old version; by
       replica id, of the new version; and the same of loaded replicas alone.
       Values: WPCanarySums. */
    GHashTable *new_by_route, *old_by_route;
    GHashTable *new_by_replica;
    GHashTable *loaded_by_replica;

    /* How long this box's answers of the old version took. */
    WPSpeedCounts old_speed;

    /* "BOX INCARNATION" -> WPCanaryReport, without this process's own. */
    GHashTable *reports;
} WPCanary;

/* Begins without answers and reports. */
void wp_canary_init(WPCanary *c);

/* Frees what `c` owns, but not `c` itself. */
void wp_canary_end(WPCanary *c);

/* Counts how one request ended at this box. `on_new`: it was on the new
   version; otherwise on the old one. */
void wp_canary_record_answer(WPCanary *c, const WPCanaryAnswer *a, bool on_new);

/* Counts an answer that came from a replica of the new version which was
   loaded: at least half of its slots were in use. wp_canary_record_answer()
   counts it too. */
void wp_canary_record_loaded(WPCanary *c, const char *replica, bool failed);

/* Counts how long an answer of a replica took, as the ratio to the usual time
   on the old version. */
void wp_canary_record_speed(WPCanary *c, const char *replica, double ratio,
                            bool on_new);

/* Takes a report of another box, or of an earlier incarnation of this one, and
   keeps it if it counts no fewer answers than the incarnation's report before,
   as the counts of an incarnation only rise. Returns whether the incarnation
   was not known before. */
bool wp_canary_merge_report(WPCanary *c, const char *box, uint64_t incarnation,
                            const WPCanarySums *sums);

/* Calls `fn` for each report of the box. */
void wp_canary_each_report(const WPCanary *c, const char *box,
                           void (*fn)(void *arg, const WPCanaryReport *r),
                           void *arg);

/* The number of boxes whose reports are known. */
unsigned wp_canary_reporting_boxes(const WPCanary *c);

/* Puts up to `max` reports whose new answers were not sent on yet into `out`
   and marks them as sent. Returns their number. */
size_t wp_canary_take_unsent(WPCanary *c, const WPCanaryReport **out,
                             size_t max);

/* Sums of the new version at this box, counted by this process. */
WPCanarySums wp_canary_own_sums(const WPCanary *c);

/* Sums of the new version counted by this process and in all reports. */
WPCanarySums wp_canary_pooled_sums(const WPCanary *c);

/* Sums of the old version: answers and failures at all boxes, answer times at
   this box alone. */
WPCanarySums wp_canary_old_sums(const WPCanary *c);

/* Whether the answers show that the new version is bad. Unless `why` is NULL,
   it is then set to the statistics, freed with g_free(). `beside`: the old
   version serves as well, so that answer times can be compared. */
bool wp_canary_is_bad(const WPCanary *c, bool beside, char **why);

/* Whether the failures are more likely from a version that fails than from a
   good one. */
bool wp_canary_may_fail(const WPCanary *c);

/* Whether the failures speak against completing the shift, which cannot be
   taken back: a good version is not by far the more likely one to have them. */
bool wp_canary_is_not_sound(const WPCanary *c);

/* Whether the answers are more likely from a slow version than from a good one,
   or there are many without a single time although the old version's answers
   have times. */
bool wp_canary_may_be_slow(const WPCanary *c);

/* Whether the slowdown that is to be expected of the new version, by how its
   answers compare with the usual ones at their load, is too large to keep
   it. */
bool wp_canary_speed_in_doubt(const WPCanary *c);

/* Whether what all boxes have counted speaks against the new version. */
bool wp_canary_in_doubt(const WPCanary *c);

/* Whether there are enough answers to tell a good version from a bad one. */
bool wp_canary_has_enough_answers(const WPCanary *c);

/* The statistics as text for the log. Free with g_free(). */
char *wp_canary_stats_text(const WPCanary *c);

#endif
