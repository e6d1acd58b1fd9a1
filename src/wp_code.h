/* Outcomes of a request. One table generates the enum, the stable codes that
 * callers see, the HTTP status, whether the request ran, and the default
 * message. */
#ifndef WP_CODE_H
#define WP_CODE_H

#include "wp_base.h"

/* X(name, stable code, HTTP status, ran, default text) */
#define WP_CODES(X)                                                            \
    X(OK, "ok", 200, RAN, "ok")                                                \
    X(BAD_REQUEST, "bad_request", 400, NOT_RUN, "the request is malformed")    \
    X(BAD_JSON, "bad_json", 400, NOT_RUN, "the body is not valid JSON")        \
    X(TOO_LARGE, "too_large", 413, NOT_RUN, "the body is too large")           \
    X(NO_KEY, "invalid_api_key", 401, NOT_RUN, "no or unknown API key")        \
    X(UNKNOWN_MODEL, "model_not_found", 404, NOT_RUN,                          \
      "no such model, version or kind")                                        \
    X(BAD_TOKEN, "bad_session_token", 403, NOT_RUN,                            \
      "the session token is not valid for this workspace")                     \
    X(NO_VERSION, "no_allowed_version", 403, NOT_RUN,                          \
      "no version may serve this request")                                     \
    X(VERSION_REFUSED, "version_not_allowed", 409, NOT_RUN,                    \
      "the version may not serve this request")                                \
    X(NO_ENDPOINT, "no_endpoint", 503, NOT_RUN, "no endpoint is available")    \
    X(NO_MODEL, "model_not_served", 421, NOT_RUN,                              \
      "the endpoint that was asked has not got this model")                    \
    X(NO_AREA, "no_endpoint_in_area", 503, NOT_RUN,                            \
      "no endpoint is listed in the areas where this may be served")           \
    X(SESSION_BOUND, "session_bound", 503, NOT_RUN,                            \
      "the session's version has been replaced; it is free again then")        \
    X(IN_DOUBT, "request_in_doubt", 503, NOT_RUN,                              \
      "an endpoint ended under this request; another copy of it runs")         \
    X(KEPT_OUT, "request_kept_out", 503, NOT_RUN,                              \
      "endpoints ended under this request each time that it ran")              \
    X(STARTING, "endpoints_starting", 503, NOT_RUN,                            \
      "the endpoints have just started and take few requests")                 \
    X(LIMITED, "endpoints_limited", 503, NOT_RUN,                              \
      "the endpoints take few requests at present")                            \
    X(RESTING, "endpoints_resting", 503, NOT_RUN,                              \
      "the endpoints have asked for rest")                                     \
    X(OVERLOADED, "overloaded", 429, NOT_RUN, "no capacity at this time")      \
    X(LATE, "deadline_unreachable", 429, NOT_RUN,                              \
      "the deadline cannot be met")                                            \
    X(LEAVING, "leaving", 503, NOT_RUN, "this box is leaving")                 \
    X(NOT_READY, "not_ready", 503, NOT_RUN, "no configuration yet")            \
    X(STALE, "stale_configuration", 503, NOT_RUN,                              \
      "the configuration is too old for this kind of request")                 \
    X(BILLS_FULL, "bill_backlog", 503, NOT_RUN,                                \
      "too many bills wait for the store")                                     \
    X(ONCE_RUNNING, "already_running", 409, RAN,                               \
      "a request with this idempotency key is running")                        \
    X(ONCE_DONE, "already_ran", 409, RAN,                                      \
      "a request with this idempotency key has run")                           \
    X(ONCE_UNKNOWN, "key_unknown", 409, UNKNOWN,                               \
      "whether this idempotency key has run cannot be known")                  \
    X(NOT_KEEPER, "not_keeper", 503, NOT_RUN,                                  \
      "another agent keeps this idempotency key")                              \
    X(ENDPOINT_DOWN, "endpoint_unreachable", 503, NOT_RUN,                     \
      "the endpoint cannot be reached")                                        \
    X(ENDPOINT_FAILED, "endpoint_failed", 502, UNKNOWN,                        \
      "the endpoint failed during the request")                                \
    X(LINK_LOST, "outcome_unknown", 502, UNKNOWN,                              \
      "contact was lost after the request was handed over")                    \
    X(TIMED_OUT, "deadline_exceeded", 504, UNKNOWN, "the deadline has passed") \
    X(CANCELLED, "cancelled", 499, UNKNOWN, "the caller has gone")             \
    X(HEAD_TOO_LARGE, "head_too_large", 431, NOT_RUN,                          \
      "the head of the request is too large")                                  \
    X(HEAD_SLOW, "head_too_slow", 408, NOT_RUN,                                \
      "the request did not arrive in time")                                    \
    X(NO_ROUTE, "no_route", 404, NOT_RUN, "no route for this host and path")   \
    X(NO_MEMORY, "no_memory", 503, NOT_RUN,                                    \
      "too many large requests arrive at this box")

typedef enum WPCode {
#define X(name, code, status, ran, text) WP_##name,
    WP_CODES(X)
#undef X
        WP_CODE_COUNT
} WPCode;

/* Whether a request ran at an endpoint. Values equal those of Wp__Ran. */
typedef enum WPRan { WP_RAN_NOT_RUN, WP_RAN_RAN, WP_RAN_UNKNOWN } WPRan;

typedef struct WPCodeInfo {
    const char *code;
    int status;
    WPRan ran;
    const char *text;
} WPCodeInfo;

/* Returns the table row of `code`, never NULL; an unknown code gives the row of
   WP_ENDPOINT_FAILED. */
const WPCodeInfo *wp_code_info(unsigned code);

/* Returns the name of `ran` that callers see. */
const char *wp_ran_name(WPRan ran);

/* GError domain of the project; its codes are those of WPErrorCode. */
#define WP_ERROR (g_quark_from_static_string("workspoint"))
typedef enum WPErrorCode {
    WP_ERROR_INPUT,    /* invalid input */
    WP_ERROR_CONFLICT, /* the object was changed concurrently */
    WP_ERROR_CONTACT,  /* the remote side could not be reached */
    WP_ERROR_INTERNAL
} WPErrorCode;

#endif
