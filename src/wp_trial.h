/* What is known of the answers of a version on trial, and of those of the
 * version that it is to replace: of this box's own by route and endpoint, and
 * the sums that other boxes tell. Sums are kept by box and by life of its
 * process, so that what a life has told stays true when the next begins, and
 * nothing counts twice wherever it is heard from. */
#ifndef WP_TRIAL_H
#define WP_TRIAL_H

#include "wp_verdict.h"

/* Sums of one life of a box's process. */
typedef struct WPTrialLife {
    char *box;
    uint64_t life;
    WPShiftSums sums; /* of the version on trial */
} WPTrialLife;

typedef struct WPTrial {
    GHashTable *fresh, *old; /* route -> WPShiftSums, of this box */
    GHashTable *replicas;    /* id -> WPShiftSums, of the version on trial */
    GHashTable *loaded;      /* id -> WPShiftSums under load, of the same */
    GHashTable *lives;       /* "BOX LIFE" -> WPTrialLife, of all others */
} WPTrial;

void wp_trial_init(WPTrial *t);
void wp_trial_end(WPTrial *t);

/* How one request ended; `fresh`: on the version on trial. */
void wp_trial_answered(WPTrial *t, const WPShiftAnswer *a, bool fresh);

/* An answer of the version on trial came from a replica that was half full. */
void wp_trial_loaded(WPTrial *t, const char *replica, bool failed);

/* Sums of another box, or of an earlier life of this one. Returns whether the
   life is new. Of one life, what tells of more answers is the later. */
bool wp_trial_hear(WPTrial *t, const char *box, uint64_t life,
                   const WPShiftSums *sums);

/* Calls `fn` for each life that was heard of a box. */
void wp_trial_each(const WPTrial *t, const char *box,
                   void (*fn)(void *arg, const WPTrialLife *l), void *arg);

/* The sums of the version on trial at this box in this life; of all that is
   known; and those of the old version, its answers and failures at all boxes,
   its times at this one. */
WPShiftSums wp_trial_own(const WPTrial *t);
WPShiftSums wp_trial_pooled(const WPTrial *t);
WPShiftSums wp_trial_old(const WPTrial *t);

/* Whether the answers so far show that the version is bad; `why`, when it is,
   gives the figures and is freed with g_free(). `beside`: the old version
   serves as well, so that times can be compared. */
bool wp_trial_is_bad(const WPTrial *t, bool beside, char **why);

/* Whether the failures so far speak rather for a version that fails than for a
   good one. */
bool wp_trial_may_fail(const WPTrial *t);

/* Whether the answers so far speak rather for a slow version than for a good
   one, or are too few to speak where there could be more. */
bool wp_trial_is_doubtful(const WPTrial *t);

/* Whether there are enough answers to tell a good version from a bad one. */
bool wp_trial_tells(const WPTrial *t);

/* The figures, for the log; free with g_free(). */
char *wp_trial_text(const WPTrial *t);

#endif
