/* The entry daemon's part between HTTP callers and agents: it moves bytes and
 * does what the entry's decisions say. */
#ifndef WP_SERVER_H
#define WP_SERVER_H

#include "wp_entry.h"
#include "wp_host.h"

typedef struct WPServer WPServer;

WPServer *wp_server_new(WPHost *h, const Wp__EntrySettings *s, GError **error);
void wp_server_free(WPServer *s);

#endif
