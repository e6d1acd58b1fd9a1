/* Loopback ports for tests with real connections. */
#ifndef FREE_PORT_H
#define FREE_PORT_H

#include "test.h"

#include <arpa/inet.h>
#include <unistd.h>

/* Returns a TCP port of 127.0.0.1 that was unused a moment ago. */
static inline uint16_t free_port(void)
{
    struct sockaddr_in sa = { .sin_family = AF_INET };
    socklen_t n = sizeof(sa);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&sa, &n), 0);
    close(fd);
    return ntohs(sa.sin_port);
}

#endif
