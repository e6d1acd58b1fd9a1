/* Declarations shared by the parts of the request flow, wp_flow*.c. */
#ifndef WP_FLOW_INT_H
#define WP_FLOW_INT_H

#include "wp_direct_int.h"

/* Whether the request may be sent again after an attempt that may have run it:
   its route says that repeating is safe, or its stream can be resumed. */
bool wp_flow_is_retryable(const WPFlow *f);

/* Whether the request must run at one endpoint at a time, with neither
   escalations nor first-byte time-outs, because it may crash endpoints: two or
   more crashed during it. */
bool wp_flow_is_serialized(const WPFlow *f, WPTime now);

/* Hash of workspace, host and content (method, target and body), the same at
   each box to which a caller sends the request. */
uint64_t wp_flow_request_hash(const WPFlow *f, const WPDirectRequest *request);

/* Hash of an endpoint's service and version. */
uint64_t wp_flow_version_hash(const WPReplica *s);

/* Returns the outcome of the present attempt, whose connection was lost. */
WPAttemptOutcome wp_flow_loss_outcome(const WPFlow *f, WPAttemptLoss how);

/* Records that the present attempt's endpoint may have crashed during it. */
void wp_flow_record_crash(WPFlow *f, WPTime now);

/* Notes that the request has been answered without a crash, as far as that can
   be seen: it is not suspect, nor is any part of its prompt. To be called while
   its attempt is present. */
void wp_flow_clear_suspects(WPFlow *f, WPTime now);

/* Clears the prompt's parts once the present attempt's answer has been coming
   for so long that they do not crash its endpoint. */
void wp_flow_note_long_run(WPFlow *f, WPTime now);

/* The name of the model to request from the endpoint: the present one of the
   route's list, else the one that the caller named; may be empty. */
WPStr wp_flow_model(const WPFlow *f);

/* The shift of the request's service between versions, or NULL. */
WPShift *wp_flow_shift(const WPFlow *f);

/* Milliseconds until the deadline of the request; below 0: it has passed. */
int64_t wp_flow_remaining_ms(const WPFlow *f, WPTime now);

/* Whether the request competes with others for the time of its service's
   engines. */
bool wp_flow_is_contended(const WPFlow *f);

/* The model that predicts the time to first byte (TTFB) of answers by
   `model`. */
WPTtfbModel *wp_flow_ttfb_model(WPFlow *f, WPStr model);

/* The expected TTFB of this request with `model`, in microseconds; 0: unknown.
   `*prefill_us` is set to the part of it that is prefill of the prompt; 0:
   unknown. */
double wp_flow_expected_ttfb_us(WPFlow *f, WPTime now, WPStr model,
                                double *prefill_us);

/* Time-out for the first byte of the present attempt, after which another
   endpoint is tried; 0: none. */
uint32_t wp_flow_first_byte_timeout_ms(WPFlow *f, WPTime now);

/* The requirements of the request on an endpoint, with its present model. */
WPEndpointQuery wp_flow_query(WPFlow *f, WPTime now);

/* wp_flow_learn.c: what attempts show of endpoints and versions.

   Utilization of an endpoint from which on a version may fail under load: */
#define WP_FLOW_LOADED_SHARE 0.5

/* Whether an endpoint at this utilization may be slow because of its load. */
bool wp_flow_endpoint_is_busy(const WPFlow *f, double utilization);

/* Counts the outcome of an attempt, to detect versions that fail under load. */
void wp_flow_learn_load_failures(WPFlow *f, WPTime now,
                                 const WPAttempt *attempt,
                                 WPAttemptOutcome how);

/* The first byte of the present attempt has arrived: learns from its time. */
void wp_flow_record_first_byte(WPFlow *f, WPTime now);

/* Adds the present attempt to the samples by which a running shift is judged,
   at most once per attempt. `time`: the class of its time. */
void wp_flow_sample_shift(WPFlow *f, bool failed, WPAnswerTime time);

/* Ends the wait for a comparison of the request's failure on the new version,
   if there is one: counts it, or drops it. */
void wp_flow_settle_canary_failure(WPFlow *f, bool counts);

/* Samples the present attempt by the time of its complete answer, which is not
   a stream. */
void wp_flow_sample_answer_time(WPFlow *f, WPTime now);

/* Learns from a complete stream how streams stall at its endpoint. */
void wp_flow_learn_stall(WPFlow *f);

/* Samples the present attempt, as wp_flow_sample_shift() does, by the mean gap
   between the stream's `events` so far. */
void wp_flow_sample_event_gap(WPFlow *f, WPTime now, uint64_t events);

/* Compares the usual gap between events of the present attempt's stream with
   that of other such streams, once. */
void wp_flow_sample_stream_speed(WPFlow *f);

/* Samples the present attempt as slow if its non-streaming answer is long
   overdue. */
void wp_flow_sample_overdue(WPFlow *f, WPTime now);

/* For how many milliseconds the request's session still binds it to a version
   that an earlier shift retired, while the next shift runs; 0: it does not. At
   any endpoint the session would then change its version beside a shift of
   which it is no part. */
uint32_t wp_flow_session_bound_ms(const WPFlow *f, WPTime now);

/* wp_flow_head.c: whether the answer is a refusal that asks for a back-off.
 */
bool wp_flow_requests_backoff(const WPDirectAnswer *a);

/* The endpoint for the next attempt, with a reference for the caller; NULL when
   there is none. */
WPReplica *wp_flow_choose_endpoint(WPFlow *f, WPTime now);

/* Whether the answer will almost certainly be complete within `left_ms`. False
   for all streams: their length is only estimated, and a stream that is aborted
   costs more than one that is refused. */
bool wp_flow_can_finish_within(WPFlow *f, uint32_t left_ms);

/* Whether to discard the answer in hand and escalate to the largest model. */
bool wp_flow_should_escalate(WPFlow *f, WPTime now, const WPDirectAnswer *a);

/* Whether to start with the largest model: trying the smallest first would make
   most answers that need the largest one late. */
bool wp_flow_starts_with_largest(WPFlow *f, WPTime now);

#endif
