/* From a caller's HTTP request to what the entry decides on. */
#ifndef WP_ASK_H
#define WP_ASK_H

#include "wp_code.h"
#include "wp_entry.h"
#include "wp_http.h"

/* Headers that callers may send; docs/API.md describes them. */
#define WP_H_KIND "X-Wp-Kind"
#define WP_H_LABELS "X-Wp-Labels"
#define WP_H_SESSION "X-Wp-Session"
#define WP_H_TOKEN "X-Wp-Session-Token"
#define WP_H_ONCE "Idempotency-Key"
#define WP_H_DEADLINE "X-Wp-Deadline-Ms"
/* Headers of answers. */
#define WP_H_REQUEST "X-Wp-Request-Id"
#define WP_H_VERSION "X-Wp-Version"
#define WP_H_RAN "X-Wp-Ran"
#define WP_H_MOVED "X-Wp-Session-Moved"
#define WP_COOKIE "wp_session"

typedef struct WPAskText {
    WPAsk ask;
    json_t *body; /* chat requests: the parsed body */
    char *token;  /* out of the cookie, when it came that way */
    char *service;
    char *path; /* what the endpoint is to be asked for */
    bool stream, want_usage;
} WPAskText;

/* Fills `out` for a chat request or a call of a plain service. On an error
   gives its code and sets `detail` (a constant or NULL). Ends with
   wp_ask_end() in either case. */
WPCode wp_ask_chat(const WPPolicy *p, struct evhttp_request *r, WPAskText *out,
                   const char **detail);
WPCode wp_ask_service(const WPPolicy *p, struct evhttp_request *r,
                      WPAskText *out, const char **detail);
void wp_ask_end(WPAskText *a);

/* The workspace of the request's bearer key, or NULL. */
const WPWorkspace *wp_ask_workspace(const WPPolicy *p,
                                    struct evhttp_request *r);

/* Kind and labels for `wpctl why`, from query parameters. */
WPCode wp_ask_query(const WPPolicy *p, struct evhttp_request *r,
                    WPAskText *out);

#endif
