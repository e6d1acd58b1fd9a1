/* HTTP over evhttp: calls to other services, and small answers. */
#ifndef WP_HTTP_H
#define WP_HTTP_H

#include "wp_base.h"

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

typedef struct WPHttp WPHttp;

/* `status` is 0 when there was no answer; `body` lives during the call. */
typedef void (*WPHttpDone)(void *arg, int status, WPStr body);

/* A client of the service at `target` (host:port), which keeps one
   connection. Calls are answered in order. */
WPHttp *wp_http_new(struct event_base *base, const char *target,
                    int timeout_ms);

/* Calls under way end without their `done` being called; `drop` is. */
void wp_http_free(WPHttp *h);

/* A field of a call's head. */
typedef struct WPHttpField {
    const char *name;
    char *value;
} WPHttpField;

/* `body` NULL: GET; else POST with JSON. `done` is always called once, but
   never from within this call; if the client is freed before, `drop` is called
   with `arg` instead (NULL: nothing is to be freed). */
void wp_http_call(WPHttp *h, const char *path, const char *body,
                  WPHttpDone done, GDestroyNotify drop, void *arg);

/* The same with further fields. */
void wp_http_call_with(WPHttp *h, const char *path, const WPHttpField *fields,
                       size_t n_fields, const char *body, WPHttpDone done,
                       GDestroyNotify drop, void *arg);

/* The next call uses a new connection, as the present one may have fallen
   silent without a sign. Calls under way end, from the loop, without an answer.
 */
void wp_http_renew(WPHttp *h);

/* Whether calls are under way. */
bool wp_http_is_busy(const WPHttp *h);

/* Splits host:port; returns false when it is malformed. */
bool wp_http_target(const char *target, char **host, uint16_t *port);

/* Listens on addr:port; small pieces of answers leave at once. */
bool wp_http_listen(struct evhttp *http, const char *addr, uint16_t port);

/* Answers. */
void wp_http_text(struct evhttp_request *r, int status, const char *type,
                  WPStr body);
void wp_http_json(struct evhttp_request *r, int status, json_t *o); /* eats o */

/* The value of a query parameter, or NULL; free with g_free(). */
char *wp_http_query(struct evhttp_request *r, const char *name);

/* The body as JSON, or NULL. */
json_t *wp_http_body_json(struct evhttp_request *r);
const char *wp_http_header(struct evhttp_request *r, const char *name);

#endif
