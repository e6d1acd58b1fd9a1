/* Crowds of clients that do not behave. */
#include "crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    QUIET_MS = 1000, /* without progress, after which nothing moves any more */
    ROUND_MS = 10,
    PIECE_BYTES = 64 << 10, /* sent at once */
    RCVBUF_BYTES = 4 << 10, /* what the kernel holds for a client is little */
    ASK_TRIES = 8,
    ASK_MS = 1000 /* for each part of an answer, and between two tries */
};

typedef struct Client {
    int fd; /* -1: closed */
    size_t sent;
} Client;

struct Crowd {
    GArray *clients;
    GString *bytes; /* that each client sends */
};

static int dial(uint16_t port)
{
    struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0),
        small = RCVBUF_BYTES;
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (fd < 0)
        return -1;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    if (!connect(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
        errno == EINPROGRESS)
        return fd;
    close(fd);
    return -1;
}

static GString *plan_bytes(const CrowdPlan *plan)
{
    GString *b = g_string_new_len(plan->head.p, (gssize)plan->head.n);
    for (unsigned i = 0; i < plan->repeats; i++)
        g_string_append(b, plan->unit);
    gsize at = b->len;
    g_string_set_size(b, at + plan->fill_bytes);
    memset(b->str + at, '0', plan->fill_bytes);
    return b;
}

static void hang_up(Client *c)
{
    close(c->fd);
    c->fd = -1;
}

/* Sends what the socket takes. Returns whether it took any. */
static bool send_some(Client *c, const GString *bytes)
{
    size_t n = MIN(bytes->len - c->sent, PIECE_BYTES);
    ssize_t k = send(c->fd, bytes->str + c->sent, n, MSG_NOSIGNAL);
    if (k > 0)
        c->sent += (size_t)k;
    else if (errno != EAGAIN && errno != ENOTCONN)
        hang_up(c);
    return k > 0;
}

static void read_some(Client *c, size_t n)
{
    g_autofree char *buf = g_malloc(n);
    ssize_t k = recv(c->fd, buf, n, 0);
    if (!k || (k < 0 && errno != EAGAIN && errno != ENOTCONN))
        hang_up(c);
}

/* Sends on all connections that take bytes. Returns whether any did. */
static bool send_round(Crowd *c)
{
    g_autofree struct pollfd *q = g_new0(struct pollfd, c->clients->len);
    bool moved = false;
    for (guint i = 0; i < c->clients->len; i++) {
        Client *x = &g_array_index(c->clients, Client, i);
        q[i].fd = x->sent < c->bytes->len ? x->fd : -1;
        q[i].events = POLLOUT;
    }
    poll(q, c->clients->len, ROUND_MS);
    for (guint i = 0; i < c->clients->len; i++)
        if (q[i].fd >= 0 && q[i].revents)
            moved |= send_some(&g_array_index(c->clients, Client, i), c->bytes);
    return moved;
}

static bool all_sent(const Crowd *c)
{
    for (guint i = 0; i < c->clients->len; i++) {
        const Client *x = &g_array_index(c->clients, Client, i);
        if (x->fd >= 0 && x->sent < c->bytes->len)
            return false;
    }
    return true;
}

static void read_round(Crowd *c, size_t n)
{
    for (guint i = 0; i < c->clients->len; i++) {
        Client *x = &g_array_index(c->clients, Client, i);
        if (x->fd >= 0 && n)
            read_some(x, n);
    }
    poll(NULL, 0, ROUND_MS);
}

Crowd *crowd_new(const CrowdPlan *plan)
{
    Crowd *c = g_new0(Crowd, 1);
    unsigned quiet_ms = 0;
    c->clients = g_array_new(FALSE, TRUE, sizeof(Client));
    c->bytes = plan_bytes(plan);
    for (unsigned i = 0; i < plan->connections; i++) {
        Client x = { dial(plan->port), 0 };
        g_array_append_val(c->clients, x);
    }
    while (quiet_ms < QUIET_MS)
        if (send_round(c))
            quiet_ms = 0;
        else if (all_sent(c))
            quiet_ms += (unsigned)(poll(NULL, 0, ROUND_MS) + ROUND_MS);
        else
            quiet_ms += ROUND_MS;
    for (unsigned i = 0; i < plan->rounds; i++)
        read_round(c, plan->read_bytes);
    return c;
}

void crowd_free(Crowd *c)
{
    if (!c)
        return;
    for (guint i = 0; i < c->clients->len; i++) {
        Client *x = &g_array_index(c->clients, Client, i);
        if (x->fd >= 0)
            hang_up(x);
    }
    g_array_unref(c->clients);
    g_string_free(c->bytes, TRUE);
    g_free(c);
}

/* Returns what a new connection answers, until it says nothing for ASK_MS. */
static GString *ask(uint16_t port, WPStr request)
{
    GString *answer = g_string_new(NULL);
    struct pollfd q = { dial(port), POLLOUT, 0 };
    char buf[4096];
    ssize_t n = 1;
    if (q.fd < 0)
        n = 0;
    for (size_t at = 0; n > 0 && at < request.n && poll(&q, 1, ASK_MS) > 0;) {
        n = send(q.fd, request.p + at, request.n - at, MSG_NOSIGNAL);
        at += (size_t)MAX(n, 0);
    }
    q.events = POLLIN;
    while (n > 0 && poll(&q, 1, ASK_MS) > 0) {
        n = recv(q.fd, buf, sizeof(buf), 0);
        g_string_append_len(answer, buf, MAX(n, 0));
    }
    if (q.fd >= 0)
        close(q.fd);
    return answer;
}

bool crowd_is_served(uint16_t port, WPStr request, const char *wanted)
{
    for (unsigned i = 0; i < ASK_TRIES; i++) {
        g_autoptr(GString) answer = ask(port, request);
        if (g_str_has_prefix(answer->str, wanted))
            return true;
        poll(NULL, 0, ASK_MS);
    }
    return false;
}

/* Copies the rest of the line of /proc/PID/status that begins with `name`;
   empty: there is none. */
static void read_status(pid_t pid, const char *name, char *out, size_t n)
{
    char *file = g_strdup_printf("/proc/%d/status", (int)pid);
    FILE *f = fopen(file, "r");
    char line[256];
    *out = 0;
    while (f && fgets(line, sizeof(line), f))
        if (g_str_has_prefix(line, name))
            g_strlcpy(out, line + strlen(name), n);
    if (f)
        fclose(f);
    g_free(file);
}

long crowd_peak_kb(pid_t pid)
{
    char text[64];
    read_status(pid, "VmHWM:", text, sizeof(text));
    return strtol(text, NULL, 10);
}

bool crowd_is_alive(pid_t pid)
{
    char text[64];
    read_status(pid, "State:", text, sizeof(text));
    return *text && !strpbrk(text, "ZX");
}

unsigned crowd_descriptors(pid_t pid)
{
    g_autofree char *folder = g_strdup_printf("/proc/%d/fd", (int)pid);
    g_autoptr(GDir) d = g_dir_open(folder, 0, NULL);
    unsigned n = 0;
    while (d && g_dir_read_name(d))
        n++;
    return n;
}

unsigned crowd_limit_descriptors(unsigned limit)
{
    struct rlimit r;
    getrlimit(RLIMIT_NOFILE, &r);
    unsigned before = (unsigned)r.rlim_cur;
    r.rlim_cur = limit;
    setrlimit(RLIMIT_NOFILE, &r);
    return before;
}
