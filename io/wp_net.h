/* Socket options that every connection of the direct way gets. */
#ifndef WP_NET_H
#define WP_NET_H

#include <stdint.h>

struct bufferevent;
struct event_base;

/* No delay, and short probes, so that a peer that fell silent is found in
   about `silent_ms`. */
void wp_net_options(int fd, uint32_t silent_ms);

/* A connection to `addr` (IP:PORT) from the address `from`; NULL when either
   is malformed or no socket is left. */
struct bufferevent *wp_net_connect(struct event_base *base, const char *from,
                                   const char *addr, uint32_t silent_ms);

#endif
