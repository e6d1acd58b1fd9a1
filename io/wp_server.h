/* The entry daemon's HTTP server: relays requests and answers between callers
 * and agents, as the entry (wp_entry.h) decides. */
#ifndef WP_SERVER_H
#define WP_SERVER_H

#include "wp_entry.h"
#include "wp_host.h"

typedef struct WPServer WPServer;

/* Creates the server and sets it as the role of `h`; `s` must outlive it.
   Returns NULL and an error if the chart cannot be read, the entry's settings
   are invalid or the port cannot be used. */
WPServer *wp_server_new(WPHost *h, const Wp__EntrySettings *s, GError **error);

/* Ends all exchanges, removes the server as the role of its host, and frees it.
   NULL does nothing. */
void wp_server_free(WPServer *s);

#endif
