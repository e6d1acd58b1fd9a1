/* Reserves blocks of ports. */
#include "ports.h"

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#define FIRST_PORT 10000
#define LAST_PORT 32000
#define BLOCK_PORTS 160

static int bind_port(uint16_t port)
{
    struct sockaddr_in sa = { .sin_family = AF_INET };
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    sa.sin_port = htons(port);
    if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
        return fd;
    close(fd);
    return -1;
}

void ports_init(Ports *p)
{
    gint blocks = (LAST_PORT - FIRST_PORT) / BLOCK_PORTS;
    p->lock = -1;
    while (p->lock < 0) {
        gint k = g_random_int_range(0, blocks);
        p->next = (uint16_t)(FIRST_PORT + k * BLOCK_PORTS);
        p->lock = bind_port(p->next);
    }
}

void ports_end(Ports *p)
{
    close(p->lock);
}

uint16_t ports_next(Ports *p)
{
    int fd = -1;
    while (fd < 0)
        fd = bind_port(++p->next);
    close(fd);
    return p->next;
}
