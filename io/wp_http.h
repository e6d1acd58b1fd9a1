/* HTTP over evhttp: a client for other services, and helpers for short
 * responses. */
#ifndef WP_HTTP_H
#define WP_HTTP_H

#include "wp_base.h"

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

typedef struct WPHttp WPHttp;

/* Called with the response to a call. `status` is 0 if there was none; `body`
   is valid during the call only. */
typedef void (*WPHttpDone)(void *arg, int status, WPStr body);

/* Makes a client of the service at `target` (host:port), which keeps one
   connection. Calls are answered in order. Returns NULL if `target` is
   malformed. */
WPHttp *wp_http_new(struct event_base *base, const char *target,
                    int timeout_ms);

/* Frees the client. Calls in flight are dropped: their `drop` is called, their
   `done` is not. */
void wp_http_free(WPHttp *h);

/* A header field of a call. */
typedef struct WPHttpField {
    const char *name;
    char *value;
} WPHttpField;

/* Sends a GET request for `path`, or, if `body` is not NULL, a POST request
   with this JSON text. `done` is called exactly once with `arg`, but never from
   within this call. If the client is freed before that, `drop` is called with
   `arg` instead (NULL: nothing is to be freed). */
void wp_http_call(WPHttp *h, const char *path, const char *body,
                  WPHttpDone done, GDestroyNotify drop, void *arg);

/* Like wp_http_call(), with further header fields. */
void wp_http_call_with_fields(WPHttp *h, const char *path,
                              const WPHttpField *fields, size_t n_fields,
                              const char *body, WPHttpDone done,
                              GDestroyNotify drop, void *arg);

/* Makes the next call use a new connection, as the present one may have failed
   without notice. The `done` of calls in flight is called from the event loop,
   with status 0. */
void wp_http_reconnect(WPHttp *h);

/* Returns a header field of the response whose `done` is being called; NULL if
   it has none, or if there was no response. */
const char *wp_http_response_header(const WPHttp *h, const char *name);

/* Returns whether calls are in flight. */
bool wp_http_is_busy(const WPHttp *h);

/* Splits host:port; `host` is freed with g_free(). Returns false if `target` is
   malformed. */
bool wp_http_parse_target(const char *target, char **host, uint16_t *port);

/* Listens on addr:port, with TCP_NODELAY, so that short chunks are sent at
   once. Returns false on failure. */
bool wp_http_listen(struct evhttp *http, const char *addr, uint16_t port);

/* Sends a response with a body of the given content type. */
void wp_http_reply_text(struct evhttp_request *r, int status, const char *type,
                        WPStr body);

/* Sends a response with a JSON body, and drops the reference to `o`. */
void wp_http_reply_json(struct evhttp_request *r, int status, json_t *o);

/* Returns the value of a query parameter, or NULL; free with g_free(). */
char *wp_http_query_param(struct evhttp_request *r, const char *name);

/* Returns the parsed JSON body, or NULL if it is empty or invalid. */
json_t *wp_http_body_json(struct evhttp_request *r);

/* Returns the value of a request header, or NULL. */
const char *wp_http_header(struct evhttp_request *r, const char *name);

#endif
