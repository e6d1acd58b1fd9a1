/* Socket options and outgoing connections. */
#include "wp_net.h"
#include "wp_base.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <unistd.h>

enum { PROBES = 2 }; /* unanswered, after which the connection is dead */

static void set_option(int fd, int level, int name, int value)
{
    /* If the kernel does not support the option, its default applies. */
    (void)setsockopt(fd, level, name, &value, sizeof(value));
}

void wp_net_options(int fd, uint32_t dead_ms)
{
    int interval_s = (int)MAX(1, dead_ms / WP_MS_PER_S / (PROBES + 1));
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, PROBES);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)dead_ms);
}

static int socket_from(const char *from, uint32_t dead_ms)
{
    struct sockaddr_in sa = { .sin_family = AF_INET };
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    wp_net_options(fd, dead_ms);
    if (from && inet_pton(AF_INET, from, &sa.sin_addr) == 1)
        (void)bind(fd, (struct sockaddr *)&sa, sizeof(sa));
    return fd;
}

struct bufferevent *wp_net_connect(struct event_base *base, const char *from,
                                   const char *addr, uint32_t dead_ms)
{
    struct sockaddr_storage to;
    int n = sizeof(to);
    if (evutil_parse_sockaddr_port(addr, (struct sockaddr *)&to, &n))
        return NULL;
    int fd = socket_from(from, dead_ms);
    if (fd < 0)
        return NULL;
    struct bufferevent *bev =
        bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (bufferevent_socket_connect(bev, (struct sockaddr *)&to, n)) {
        bufferevent_free(bev);
        return NULL;
    }
    return bev;
}
