/* Everything that a request may be suspect for: the request itself, and the
 * shared parts of its prompt. No two requests with a part that crashes
 * endpoints need be alike, so their crashes are counted for each part as well
 * (wp_suspects.h).
 *
 * The parts that a crashing one comes along with are in the same crashes. Most
 * of them are cleared by answers that complete. One that is quarantined with it
 * before such an answer came may still be sent by requests without the other
 * one: wp_suspect_keys_admit(). */
#ifndef WP_SUSPECT_KEYS_H
#define WP_SUSPECT_KEYS_H

#include "wp_prompt.h"
#include "wp_suspects.h"

typedef struct WPSuspectKeys {
    unsigned n;
    uint64_t keys[1 + WP_PROMPT_IDS_MAX]; /* the request's first */
} WPSuspectKeys;

/* Sets the keys of a request with this hash and prompt. */
void wp_suspect_keys_init(WPSuspectKeys *k, uint64_t request,
                          const WPPrompt *prompt);

/* Whether the request may be sent to an endpoint of the version. If not, `*why`
   is set to the key for which it may not. */
WPSuspectAdmission wp_suspect_keys_admit(WPSuspects *s, WPTime now,
                                         const WPSuspectKeys *k,
                                         uint64_t version, uint64_t *why);

/* Whether one of the keys is quarantined, so that the request is a probe. */
bool wp_suspect_keys_any_quarantined(WPSuspects *s, WPTime now,
                                     const WPSuspectKeys *k);

/* Whether the request may be sent again after an attempt. */
bool wp_suspect_keys_may_retry(WPSuspects *s, WPTime now,
                               const WPSuspectKeys *k);

/* As the functions of wp_suspects.h, for all keys. */
void wp_suspect_keys_attempt_started(WPSuspects *s, WPTime now,
                                     const WPSuspectKeys *k);
void wp_suspect_keys_attempt_ended(WPSuspects *s, const WPSuspectKeys *k);
bool wp_suspect_keys_completed(WPSuspects *s, WPTime now,
                               const WPSuspectKeys *k);

/* Notes that an answer to the request has been coming for
   WP_SUSPECT_LONG_RUN_US, which clears its parts. Returns whether one had
   crashes. */
bool wp_suspect_keys_ran_long(WPSuspects *s, WPTime now,
                              const WPSuspectKeys *k);

/* Records a crash for all keys; `attempt->request` is not used. Returns the
   number of crashes that count against the request itself. */
unsigned wp_suspect_keys_record_crash(WPSuspects *s, WPTime now,
                                      const WPSuspectKeys *k,
                                      const WPSuspectAttempt *attempt);

/* The highest number of crashes that count against one of the keys, but for
   parts that are trusted. */
unsigned wp_suspect_keys_crash_count(WPSuspects *s, WPTime now,
                                     const WPSuspectKeys *k);

#endif
