/* The process of a box in direct mode, which calls endpoints without agents:
 * event loop, connections of callers, connections to endpoints, client of the
 * store, and planned stop. */
#ifndef WP_DIRECT_HOST_H
#define WP_DIRECT_HOST_H

#include "settings.pb-c.h"
#include "wp_platform.h"

typedef struct WPDirectHost WPDirectHost;

/* Opens all listeners. Returns NULL and an error if an address cannot be used
   or the chart cannot be read. `s` is copied. The settings are read again from
   `file` on SIGHUP; with NULL, reloading fails. */
WPDirectHost *wp_direct_host_new(const Wp__DirectSettings *s,
                                 const WPPlatformOps *platform,
                                 const char *file, GError **error);

/* Closes all listeners and connections and frees the host. */
void wp_direct_host_free(WPDirectHost *h);

/* Runs the event loop until a planned stop, begun by SIGTERM, has completed. */
void wp_direct_host_run(WPDirectHost *h);

#endif
