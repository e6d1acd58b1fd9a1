/* What wp_flow.c and wp_flow_pick.c share. */
#ifndef WP_FLOW_INT_H
#define WP_FLOW_INT_H

#include "wp_direct_int.h"

/* Whether the request may be sent again after it may have run. */
bool wp_flow_may_repeat(const WPFlow *f);

/* Whether it has one leg at a time, without better answers and without haste,
   as endpoints have ended under it. */
bool wp_flow_is_single(const WPFlow *f);

/* What names the request wherever its caller sends it, and the version of an
   endpoint. */
uint64_t wp_flow_hash(const WPFlow *f, const WPDirectAsk *ask);
uint64_t wp_flow_version(const WPReplica *s);

/* How the leg ended that has lost its connection; and the note that its
   endpoint may have ended under the request. */
WPAttemptOutcome wp_flow_ended_how(const WPFlow *f, WPLoss how);
void wp_flow_note_ended(WPFlow *f, WPTime now);

/* The model to name to the endpoint. */
WPStr wp_flow_model(const WPFlow *f);

/* The move of the request's service between versions, or NULL. */
WPShift *wp_flow_shift(const WPFlow *f);

int64_t wp_flow_left_ms(const WPFlow *f, WPTime now);

/* What is known of how long the first byte takes with a model, and how long it
   takes for this request; 0: not known. */
WPTtfbModel *wp_flow_speed(WPFlow *f, WPStr model);
double wp_flow_expect_us(WPFlow *f, WPTime now, WPStr model,
                         double *reading_us);

/* How long the first byte is waited for before another endpoint is asked; 0:
   no other is. */
uint32_t wp_flow_patience(WPFlow *f);

/* What the request wants of an endpoint with its present model. */
WPEndpointQuery wp_flow_want(WPFlow *f);

/* wp_flow_learn.c: what legs tell. Share of places taken from which on a
   version may be bad under load: */
#define WP_FLOW_HALF_FULL 0.5

/* Whether an endpoint so full may be slow for that. */
bool wp_flow_is_crowded(const WPFlow *f, double taken);

/* How a leg ended, for versions that fail on loaded endpoints. */
void wp_flow_learn_load(WPFlow *f, WPTime now, const WPAttempt *leg,
                        WPAttemptOutcome how);

/* The first byte of the leg has come. */
void wp_flow_note_first(WPFlow *f, WPTime now);

/* What the leg tells of the version that it was on; once a leg. */
void wp_flow_judge(WPFlow *f, bool failed, WPAnswerTime time);

/* How a time lies among the old version's; `what`: with whose times it is
   compared. */
WPAnswerTime wp_flow_judge_time(WPFlow *f, const char *what, double us);

/* What a whole stream tells of pauses at its endpoint. */
void wp_flow_learn_pause(WPFlow *f);

/* By the pace of its events; by its not having come yet. */
void wp_flow_judge_pace(WPFlow *f, WPTime now, uint64_t events);
void wp_flow_judge_overdue(WPFlow *f, WPTime now);

/* How long the request's session still binds it to a version that has been left
   while the next order runs; 0: it does not. Wherever it went it would change
   its version beside a move that it is no part of. */
uint32_t wp_flow_bound_ms(const WPFlow *f, WPTime now);

/* wp_flow_head.c: whether the answer refuses and asks for rest. */
bool wp_flow_asks_for_rest(const WPDirectAnswer *a);

/* The endpoint for the next leg, held; NULL when there is none. */
WPReplica *wp_flow_choose(WPFlow *f, WPTime now);

/* Whether the answer will surely be whole within `left_ms`. No stream's is: its
   length is only guessed, and a stream that is cut costs more than one that is
   refused. */
bool wp_flow_fits(WPFlow *f, uint32_t left_ms);

/* Whether the answer in hand is to be dropped for the largest model's. */
bool wp_flow_wants_better(WPFlow *f, WPTime now, const WPDirectAnswer *a);

/* Whether to begin with the largest model: asking the smallest first would
   make most answers that need the largest late. */
bool wp_flow_skips_ahead(WPFlow *f, WPTime now);

#endif
