/* Socket options and outgoing connections. */
#ifndef WP_NET_H
#define WP_NET_H

#include <stdint.h>

struct bufferevent;
struct event_base;

/* Sets TCP_NODELAY, keepalive probes and TCP_USER_TIMEOUT, so that a peer that
   no longer responds is detected after about `dead_ms`. */
void wp_net_options(int fd, uint32_t dead_ms);

/* Begins a connection to `addr` (IP:PORT), with the options above, from the
   local address `from`; one that is NULL, malformed or not available is
   ignored. Returns NULL if `addr` is malformed or no socket can be opened. */
struct bufferevent *wp_net_connect(struct event_base *base, const char *from,
                                   const char *addr, uint32_t dead_ms);

#endif
