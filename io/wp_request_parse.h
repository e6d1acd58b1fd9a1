/* Parses callers' HTTP requests into the parameters that the entry decides
 * on. */
#ifndef WP_REQUEST_PARSE_H
#define WP_REQUEST_PARSE_H

#include "wp_code.h"
#include "wp_entry.h"
#include "wp_page.h"

/* Request headers that callers may send; docs/API.md describes them. */
#define WP_H_KIND "X-Wp-Kind"
#define WP_H_LABELS "X-Wp-Labels"
#define WP_H_SESSION "X-Wp-Session"
#define WP_H_SESSION_TOKEN "X-Wp-Session-Token"
#define WP_H_IDEMPOTENCY_KEY "Idempotency-Key"
#define WP_H_DEADLINE "X-Wp-Deadline-Ms"
/* Response headers. */
#define WP_H_REQUEST_ID "X-Wp-Request-Id"
#define WP_H_VERSION "X-Wp-Version"
#define WP_H_RAN "X-Wp-Ran"
#define WP_H_SESSION_MOVED "X-Wp-Session-Moved"
#define WP_SESSION_COOKIE "wp_session"

/* A parsed request, with the strings that `params` points to. */
typedef struct WPParsedRequest {
    WPRequestParams params;
    json_t *body;       /* chat requests: the parsed body */
    char *cookie_token; /* session token, if it came in the cookie */
    char *service;      /* plain services: the name from the path */
    char *path;         /* path to request from the endpoint */
    bool stream;        /* the caller asked for a streamed answer */
    bool want_usage;    /* the caller asked for token usage in the stream */
} WPParsedRequest;

/* Fills `out`, which must be zeroed, from a chat request. Returns WP_OK, or the
   error code of a request that must be refused; `detail` is then set to a
   constant text, if there is more to say. In either case `out` is freed with
   wp_parsed_request_end(). */
WPCode wp_request_parse_chat(const WPPolicy *p, WPDownstreamConn *c,
                             WPParsedRequest *out, const char **detail);

/* Like wp_request_parse_chat(), for a request to a plain service. */
WPCode wp_request_parse_service(const WPPolicy *p, WPDownstreamConn *c,
                                WPParsedRequest *out, const char **detail);

/* Frees what `a` owns, but not `a` itself. */
void wp_parsed_request_end(WPParsedRequest *a);

/* Returns the workspace that the request's bearer key belongs to, or NULL. */
const WPWorkspace *wp_request_workspace(const WPPolicy *p, const WPHead *h);

/* Reads workspace, kind and labels from the query parameters of a `wpctl why`
   request. Returns WP_OK or an error code; the result is freed as above. */
WPCode wp_request_parse_query(const WPPolicy *p, const WPHead *h,
                              WPParsedRequest *out);

#endif
