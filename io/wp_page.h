/* Requests and short answers on connections of wp_downstream, and the ports for
 * operators. */
#ifndef WP_PAGE_H
#define WP_PAGE_H

#include "wp_downstream.h"

#include <jansson.h>

/* Listens on `addr` (IP:PORT) for operators and the platform's checks: small
   requests, and few connections at once. Returns NULL and sets `error` on
   failure. */
WPDownstream *wp_page_listen(struct event_base *base, const char *addr,
                             const WPDownstreamOps *ops, void *arg,
                             WPAccount *account, GError **error);

/* Returns the path of the request's target; free with g_free(). */
char *wp_page_path(const WPHead *h);

/* Returns the decoded value of a query parameter, or NULL; free with
   g_free(). */
char *wp_page_param(const WPHead *h, const char *name);

/* Returns the value of the first field with this name, or NULL; free with
   g_free(). */
char *wp_page_field(const WPHead *h, const char *name);

/* Returns the parsed JSON body, or NULL if it is empty or invalid. */
json_t *wp_page_json(const WPDownstreamConn *p);

/* Answers with a body of the given content type. */
void wp_page_send_text(WPDownstreamConn *p, int status, const char *type,
                       WPStr body);

/* Answers with a JSON body, and drops the reference to `o`. `fields`: further
   header lines with their line ends. */
void wp_page_send_json(WPDownstreamConn *p, int status, WPStr fields,
                       json_t *o);

/* Callbacks of ports whose requests are answered at once. */
void wp_page_caller_gone(void *arg, WPDownstreamConn *p);
void wp_page_writable(void *arg, WPDownstreamConn *p);

#endif
