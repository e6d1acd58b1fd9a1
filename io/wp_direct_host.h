/* An entry that calls endpoints directly: the event loop, the callers' side,
 * the endpoints' side, the store, and the orderly stop. */
#ifndef WP_DIRECT_HOST_H
#define WP_DIRECT_HOST_H

#include "settings.pb-c.h"
#include "wp_platform.h"

typedef struct WPDirectHost WPDirectHost;

/* NULL and an error when an address cannot be used or the chart not read.
   `file` is read anew at SIGHUP; NULL: nothing is. */
WPDirectHost *wp_direct_host_new(const Wp__DirectSettings *s,
                                 const WPPlatformOps *platform,
                                 const char *file, GError **error);
void wp_direct_host_free(WPDirectHost *h);

/* Runs until a planned stop has ended. */
void wp_direct_host_run(WPDirectHost *h);

#endif
