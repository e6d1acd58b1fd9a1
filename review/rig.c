#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static FILE *record;
static char folder[128];
static struct timespec begin;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pid_t store_pid, rig_pid;
static uint16_t store_port;
static RigBox boxes[RIG_MAX_BOXES];
static unsigned n_boxes;
static unsigned n_requests;
static bool quiet;
static unsigned slots = 64;

void rig_note_each(bool each)
{
    quiet = !each;
}

int64_t rig_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (t.tv_sec - begin.tv_sec) * 1000 +
           (t.tv_nsec - begin.tv_nsec) / 1000000;
}

void rig_sleep_ms(int64_t ms)
{
    struct timespec t = { ms / 1000, ms % 1000 * 1000000 };
    if (ms > 0)
        nanosleep(&t, NULL);
}

void rig_note(const char *text, ...)
{
    va_list args;
    va_start(args, text);
    pthread_mutex_lock(&lock);
    if (record) {
        fprintf(record, "%8.3f  ", (double)rig_ms() / 1000);
        vfprintf(record, text, args);
        fputc('\n', record);
        fflush(record);
    }
    pthread_mutex_unlock(&lock);
    va_end(args);
}

static void end_process(pid_t pid)
{
    if (pid <= 0)
        return;
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
}

static void remove_folder(void)
{
    DIR *d = *folder ? opendir(folder) : NULL;
    struct dirent *e;
    char path[512];
    while (d && (e = readdir(d))) {
        snprintf(path, sizeof(path), "%s/%s", folder, e->d_name);
        if (e->d_name[0] != '.')
            unlink(path);
    }
    if (d)
        closedir(d);
    if (*folder)
        rmdir(folder);
}

void rig_exit(int status)
{
    static const char *const names[] = { "the rule held", "the rule was broken",
                                         "the case could not run" };
    rig_note("result: %s", names[status]);
    for (unsigned i = 0; i < n_boxes; i++)
        end_process(boxes[i].pid);
    end_process(store_pid);
    if (!getenv("RIG_KEEP"))
        remove_folder();
    printf("%s\n", names[status]);
    fflush(NULL);
    _exit(status);
}

void rig_die(const char *why, ...)
{
    char text[512];
    va_list args;
    va_start(args, why);
    vsnprintf(text, sizeof(text), why, args);
    va_end(args);
    rig_note("cannot run: %s", text);
    fprintf(stderr, "cannot run: %s\n", text);
    rig_exit(RIG_CANNOT_RUN);
}

bool rig_trouble(void)
{
    const char *v = getenv("TROUBLE");
    return !v || strcmp(v, "0");
}

static void *watch_limit(void *arg)
{
    rig_sleep_ms((int64_t)(intptr_t)arg * 1000);
    rig_die("the script takes too long");
}

void rig_init(const char *path, unsigned limit_s)
{
    pthread_t t;
    const char *tmp = getenv("TMPDIR");
    clock_gettime(CLOCK_MONOTONIC, &begin);
    rig_pid = getpid();
    signal(SIGPIPE, SIG_IGN);
    record = fopen(path, "w");
    snprintf(folder, sizeof(folder), "%s/review-XXXXXX", tmp ? tmp : "/tmp");
    if (!record || !mkdtemp(folder))
        rig_die("no record or no temporary folder");
    rig_note("trouble: %s", rig_trouble() ? "yes" : "no");
    pthread_create(&t, NULL, watch_limit, (void *)(intptr_t)limit_s);
}

static struct sockaddr_in loopback(uint16_t port)
{
    struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons(port) };
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return a;
}

/* Listens on `*port`; 0: on any, which it is set to. Returns -1 if the port is
   taken. */
static int try_listen(uint16_t *port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
    struct sockaddr_in a = loopback(*port);
    socklen_t n = sizeof(a);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&a, n) || listen(fd, 512) ||
        getsockname(fd, (struct sockaddr *)&a, &n)) {
        close(fd);
        return -1;
    }
    *port = ntohs(a.sin_port);
    return fd;
}

static int listen_on(uint16_t *port)
{
    int fd = try_listen(port);
    if (fd < 0)
        rig_die("no port to listen on: %s", strerror(errno));
    return fd;
}

/* Below the ports that the system gives to outgoing connections, so that the
   port is free again when its process starts anew. */
uint16_t rig_free_port(void)
{
    static uint16_t next;
    if (!next)
        next = (uint16_t)(15000 + (unsigned)getpid() * 37 % 16000);
    for (int i = 0; i < 1000; i++) {
        uint16_t port = next;
        next = (uint16_t)(next < 31999 ? next + 1 : 15000);
        int fd = try_listen(&port);
        if (fd < 0)
            continue;
        close(fd);
        return port;
    }
    rig_die("no free port");
}

static pid_t spawn(const char *program, const char *settings, const char *log)
{
    char path[256];
    pid_t pid = fork();
    if (pid < 0)
        rig_die("cannot fork");
    if (pid)
        return pid;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != rig_pid)
        _exit(1);
    signal(SIGPIPE, SIG_DFL);
    snprintf(path, sizeof(path), "%s/%s", folder, log);
    if (!freopen(path, "a", stdout) || !freopen(path, "a", stderr))
        _exit(1);
    setenv("WORKSPOINT_SETTINGS", settings, 1);
    execl(program, program, (char *)NULL);
    _exit(127);
}

static void write_file(const char *path, const char *text)
{
    FILE *f = fopen(path, "w");
    if (!f || fputs(text, f) < 0 || fclose(f))
        rig_die("cannot write %s", path);
}

int rig_connect(uint16_t port, int receive_bytes)
{
    struct sockaddr_in a = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
    if (receive_bytes)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (!connect(fd, (struct sockaddr *)&a, sizeof(a)))
        return fd;
    close(fd);
    return -1;
}

static void wait_listening(uint16_t port)
{
    for (int i = 0; i < 500; i++) {
        int fd = rig_connect(port, 0);
        if (fd >= 0) {
            close(fd);
            return;
        }
        rig_sleep_ms(20);
    }
    rig_die("nobody listens on port %u", port);
}

bool rig_send(int fd, const void *p, size_t n)
{
    const char *at = p;
    while (n) {
        ssize_t k = send(fd, at, n, MSG_NOSIGNAL);
        if (k <= 0)
            return false;
        at += k;
        n -= (size_t)k;
    }
    return true;
}

void rig_start_store(void)
{
    char path[256], text[256];
    store_port = rig_free_port();
    snprintf(path, sizeof(path), "%s/store.yaml", folder);
    snprintf(text, sizeof(text), "kind: pstore\nport: %u\n", store_port);
    write_file(path, text);
    store_pid = spawn("target/wpstand", path, "store.log");
    wait_listening(store_port);
}

void rig_control_store(const char *json, ...)
{
    static char text[65536];
    char head[256];
    RigAnswer a = { .fd = rig_connect(store_port, 0) };
    va_list args;
    va_start(args, json);
    int n = vsnprintf(text, sizeof(text), json, args);
    va_end(args);
    if (a.fd < 0 || n >= (int)sizeof(text))
        rig_die("the store is not there");
    int k = snprintf(head, sizeof(head),
                     "POST /control HTTP/1.1\r\nHost: c\r\nContent-Type: "
                     "application/json\r\nContent-Length: %d\r\n\r\n",
                     n);
    rig_send(a.fd, head, (size_t)k);
    rig_send(a.fd, text, (size_t)n);
    rig_read(&a, rig_ms() + 5000, 0, 0);
    close(a.fd);
    if (a.status != 200)
        rig_die("the store does not take %s", text);
}

void rig_write_config(unsigned version, const char *routes,
                      const char *services, const char *tenants)
{
    rig_note("operator writes configuration %u: routes [%s]", version, routes);
    rig_control_store(
        "{\"put\":{\"key\":\"op/config\",\"value\":{\"version\":%u,"
        "\"routes\":[%s],\"services\":[%s],\"limits\":{\"maxHeaderBytes\":"
        "16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,"
        "\"idleTimeoutMs\":30000}%s%s%s}}}",
        version, routes, services, tenants ? ",\"tenants\":[" : "",
        tenants ? tenants : "", tenants ? "]" : "");
}

static void box_path(const RigBox *b, char *path, size_t n)
{
    snprintf(path, n, "%s/box%u.yaml", folder, b->index);
}

RigBox *rig_start_box(const char *more)
{
    char path[256], text[4096];
    if (n_boxes == RIG_MAX_BOXES)
        rig_die("too many boxes");
    RigBox *b = &boxes[n_boxes];
    b->index = n_boxes++;
    b->port = rig_free_port();
    b->ready = rig_free_port();
    b->peers = rig_free_port();
    b->metrics = rig_free_port();
    /* As deploy/settings.yaml, with the bounds of the small deployments. */
    snprintf(text, sizeof(text),
             "id: front-%u\nzone: zone-a\nlisten: 127.0.0.1\n"
             "http: 127.0.0.1:%u\nready: 127.0.0.1:%u\npeers: 127.0.0.1:%u\n"
             "metrics_port: %u\nseeds: [127.0.0.1:%u]\nstore: 127.0.0.1:%u\n"
             "drain_s: 8\nretry_ratio: 0.9\nretry_slack: 52\n"
             "retry_window_s: 10\nsession_s: 5\napply_ms: 2000\n"
             "memory_mb: 260\nfirst_start: true\nareas: [zone-a=area-a]\n%s",
             b->index + 1, b->port, b->ready, b->peers, b->metrics,
             boxes[0].peers, store_port, more);
    box_path(b, path, sizeof(path));
    write_file(path, text);
    rig_restart_box(b);
    return b;
}

void rig_restart_box(RigBox *b)
{
    char path[256], log[32];
    box_path(b, path, sizeof(path));
    snprintf(log, sizeof(log), "box%u.log", b->index);
    b->pid = spawn("target/wpdirect", path, log);
    rig_note("box %u starts as process %d", b->index + 1, (int)b->pid);
}

void rig_wait_ready(const RigBox *b)
{
    static const char ask[] = "GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n";
    for (int i = 0; i < 1000; i++) {
        RigAnswer a = { .fd = rig_connect(b->ready, 0) };
        if (a.fd >= 0) {
            rig_send(a.fd, ask, strlen(ask));
            rig_read(&a, rig_ms() + 1000, 0, 0);
            close(a.fd);
        }
        if (a.status == 200) {
            rig_note("box %u is ready", b->index + 1);
            return;
        }
        rig_sleep_ms(20);
    }
    rig_die("box %u does not become ready", b->index + 1);
}

void rig_signal(const RigBox *b, int number)
{
    rig_note("box %u gets signal %d", b->index + 1, number);
    if (b->pid > 0)
        kill(b->pid, number);
}

bool rig_box_ended(RigBox *b, int *status)
{
    if (b->pid <= 0 || waitpid(b->pid, status, WNOHANG) != b->pid)
        return false;
    b->pid = 0;
    return true;
}

const char *rig_field(const RigHead *h, const char *name)
{
    static __thread char value[2048];
    size_t n = strlen(name);
    const char *p = strstr(h->text, "\r\n");
    for (; p && p[2] && p[2] != '\r'; p = strstr(p + 2, "\r\n")) {
        const char *line = p + 2, *end = strstr(line, "\r\n");
        if (!end || strncasecmp(line, name, n) || line[n] != ':')
            continue;
        const char *v = line + n + 1;
        while (*v == ' ')
            v++;
        size_t k = (size_t)(end - v);
        if (k >= sizeof(value))
            k = sizeof(value) - 1;
        memcpy(value, v, k);
        value[k] = 0;
        return value;
    }
    return NULL;
}

/* Reads a head, and nothing beyond it; false: the connection ended. */
static bool read_head(int fd, RigHead *h)
{
    size_t n = 0;
    for (;;) {
        ssize_t k = recv(fd, h->text + n, sizeof(h->text) - 1 - n, MSG_PEEK);
        if (k <= 0)
            return false;
        h->text[n + (size_t)k] = 0;
        const char *end = strstr(h->text + (n > 3 ? n - 3 : 0), "\r\n\r\n");
        size_t whole = end ? (size_t)(end + 4 - h->text) : n + (size_t)k;
        k = recv(fd, h->text + n, whole - n, MSG_WAITALL);
        if (k != (ssize_t)(whole - n))
            return false;
        n = whole;
        h->text[n] = 0;
        if (end)
            return true;
    }
}

typedef struct Connection {
    RigReplica *replica;
    int fd;
} Connection;

static bool read_call(RigCall *c)
{
    char buf[16384];
    if (!read_head(c->fd, &c->head) ||
        sscanf(c->head.text, "%15s %511s", c->head.method, c->head.target) != 2)
        return false;
    const char *v = rig_field(&c->head, "X-Attempt-Id");
    snprintf(c->id, sizeof(c->id), "%s", v ? v : "");
    v = rig_field(&c->head, "Content-Length");
    size_t left = v ? strtoul(v, NULL, 10) : 0;
    c->body_bytes = left;
    while (left) {
        ssize_t k = recv(c->fd, buf, left < sizeof(buf) ? left : sizeof(buf), 0);
        if (k <= 0)
            return false;
        left -= (size_t)k;
    }
    return true;
}

static void *serve_connection(void *arg)
{
    Connection *n = arg;
    RigCall *c = calloc(1, sizeof(*c));
    c->replica = n->replica;
    c->fd = n->fd;
    while (!c->close && read_call(c)) {
        const char *named = rig_field(&c->head, "X-Expect-Replica");
        if (named && strcmp(named, c->replica->id))
            rig_reply(c, 421, "X-Not-Executed: 1\r\n", "");
        else {
            if (!quiet)
                rig_note("replica %s gets %s %s, request %s", c->replica->id,
                         c->head.method, c->head.target, c->id);
            c->replica->serve(c);
        }
    }
    close(c->fd);
    free(c);
    free(n);
    return NULL;
}

static void detach(void *(*fn)(void *), void *arg)
{
    pthread_t t;
    if (pthread_create(&t, NULL, fn, arg))
        rig_die("no thread");
    pthread_detach(t);
}

static void *accept_all(void *arg)
{
    RigReplica *r = arg;
    int fd, one = 1;
    while ((fd = accept4(r->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
        Connection *n = malloc(sizeof(*n));
        *n = (Connection){ r, fd };
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        detach(serve_connection, n);
    }
    return NULL;
}

void rig_set_slots(unsigned n)
{
    slots = n;
}

RigReplica *rig_start_replica(const char *id, const char *service,
                              const char *version, RigServe serve)
{
    RigReplica *r = calloc(1, sizeof(*r));
    snprintf(r->id, sizeof(r->id), "%s", id);
    snprintf(r->service, sizeof(r->service), "%s", service);
    snprintf(r->version, sizeof(r->version), "%s", version);
    snprintf(r->zone, sizeof(r->zone), "zone-a");
    r->serve = serve;
    r->listener = listen_on(&r->port);
    detach(accept_all, r);
    rig_register(r, "ready");
    return r;
}

void rig_register(const RigReplica *r, const char *state)
{
    rig_note("replica %s of %s registers as %s", r->id, r->service, state);
    rig_control_store(
        "{\"put\":{\"key\":\"servers/%s\",\"value\":{\"service\":\"%s\","
        "\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\",\"version\":\"%s\","
        "\"slots\":%u,\"state\":\"%s\",\"coldLeftMs\":0,\"callSeq\":0}}}",
        r->id, r->service, r->port, r->zone, r->version, slots, state);
}

void rig_unregister(const RigReplica *r)
{
    rig_note("replica %s is gone from the store", r->id);
    rig_control_store("{\"remove\":\"servers/%s\"}", r->id);
}

void rig_reply(RigCall *c, int status, const char *more, const char *body)
{
    char head[1024];
    int n = snprintf(head, sizeof(head),
                     "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n"
                     "X-Replica-Seal: seal.%s.%s\r\n%sContent-Length: "
                     "%zu\r\n\r\n",
                     status, c->id, c->replica->id, c->id, more ? more : "",
                     strlen(body));
    rig_send(c->fd, head, (size_t)n);
    rig_send(c->fd, body, strlen(body));
}

void rig_begin_stream(RigCall *c)
{
    char head[1024];
    int n = snprintf(head, sizeof(head),
                     "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                     "X-Replica-Seal: seal.%s.%s\r\nContent-Type: "
                     "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                     c->id, c->replica->id, c->id);
    rig_send(c->fd, head, (size_t)n);
}

bool rig_send_event(RigCall *c, unsigned id, size_t bytes)
{
    char *text = malloc(bytes + 128), *chunk = malloc(bytes + 256);
    int n = sprintf(text, "id: %u\ndata: ", id);
    memset(text + n, 'x', bytes);
    memcpy(text + n + bytes, "\n\n", 3);
    int k = sprintf(chunk, "%zx\r\n%s\r\n", n + bytes + 2, text);
    bool ok = rig_send(c->fd, chunk, (size_t)k);
    free(text);
    free(chunk);
    return ok;
}

void rig_end_stream(RigCall *c)
{
    rig_send(c->fd, "0\r\n\r\n", 5);
}

void rig_request(RigAnswer *a, int fd, const char *method, const char *target,
                 const char *fields, const char *body)
{
    char *text = malloc(strlen(body) + 4096);
    memset(a, 0, sizeof(*a));
    a->fd = fd;
    pthread_mutex_lock(&lock);
    snprintf(a->id, sizeof(a->id), "a%08x%08x", (unsigned)rig_pid,
             ++n_requests);
    pthread_mutex_unlock(&lock);
    int n = sprintf(text,
                    "%s %s HTTP/1.1\r\nHost: app.example\r\n"
                    "X-Attempt-Id: %s\r\n%sContent-Length: %zu\r\n\r\n%s",
                    method, target, a->id, fields ? fields : "", strlen(body),
                    body);
    a->sent_ms = rig_ms();
    if (!quiet)
        rig_note("sent: %s %s, request %s", method, target, a->id);
    rig_send(fd, text, (size_t)n);
    free(text);
}

/* Reads up to `n` bytes before `until_ms`; 0: the end, -1: no time left. */
static ssize_t receive(int fd, void *p, size_t n, int64_t until_ms)
{
    int64_t ms = until_ms - rig_ms();
    struct timeval t = { ms / 1000, ms % 1000 * 1000 };
    if (ms <= 0)
        return -1;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
    ssize_t k = recv(fd, p, n, 0);
    if (k < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK ? -1 : 0;
    return k;
}

typedef struct Body {
    bool chunked;
    size_t left; /* of the length, or of the chunk */
    int state;   /* 0: size line, 1: data, 2: CRLF after data, 3: last line */
    char line[32];
    size_t line_n;
} Body;

static bool is_size(const char *line)
{
    size_t n = strspn(line, "0123456789abcdefABCDEF");
    return n && (!line[n] || line[n] == ';');
}

/* Takes body bytes; returns whether the body is complete. */
static bool take(RigAnswer *a, Body *b, const char *p, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (!b->chunked || b->state == 1) {
            if (a->bytes < sizeof(a->body) - 1)
                a->body[a->bytes] = p[i];
            a->bytes++;
            if (--b->left == 0) {
                if (!b->chunked)
                    return true;
                b->state = 2;
                b->line_n = 0;
            }
            continue;
        }
        if (p[i] != '\n') {
            if (b->line_n + 1 < sizeof(b->line) && p[i] != '\r')
                b->line[b->line_n++] = p[i];
            continue;
        }
        b->line[b->line_n] = 0;
        b->line_n = 0;
        if (b->state == 2) {
            b->state = 0;
        } else if (b->state == 3) {
            return true;
        } else if (!is_size(b->line)) {
            a->bad_chunk = true;
            snprintf(a->body, sizeof(a->body), "%s", b->line);
            return false;
        } else {
            b->left = strtoul(b->line, NULL, 16);
            b->state = b->left ? 1 : 3;
        }
    }
    return false;
}

static void read_answer(RigAnswer *a, int64_t until_ms, size_t step,
                        int64_t pause_us, size_t pause_after, int64_t pause_ms)
{
    char buf[65536];
    size_t n = 0;
    Body b = { 0 };
    if (!step || step > sizeof(buf))
        step = sizeof(buf);
    while (!a->status) {
        ssize_t k = receive(a->fd, a->head.text + n, 1, until_ms);
        if (k <= 0) {
            a->closed = !k;
            a->ended_ms = rig_ms();
            return;
        }
        a->head.text[++n] = 0;
        if (n >= 4 && !memcmp(a->head.text + n - 4, "\r\n\r\n", 4))
            sscanf(a->head.text, "HTTP/1.1 %d", &a->status);
        if (n + 2 >= sizeof(a->head.text))
            return;
    }
    const char *v = rig_field(&a->head, "Transfer-Encoding");
    b.chunked = v != NULL;
    v = rig_field(&a->head, "Content-Length");
    b.left = v ? strtoul(v, NULL, 10) : 0;
    a->complete = !b.chunked && v && !b.left;
    while (!a->complete) {
        if (pause_us) {
            struct timespec t = { pause_us / 1000000,
                                  pause_us % 1000000 * 1000 };
            nanosleep(&t, NULL);
        }
        if (pause_ms && a->bytes >= pause_after) {
            rig_note("the caller of %s reads nothing for %ld ms", a->id,
                     (long)pause_ms);
            rig_sleep_ms(pause_ms);
            pause_ms = 0;
        }
        ssize_t k = receive(a->fd, buf, step, until_ms);
        if (k <= 0) {
            a->closed = !k;
            break;
        }
        a->complete = take(a, &b, buf, (size_t)k);
        if (a->bad_chunk)
            break;
    }
    a->ended_ms = rig_ms();
}

void rig_read(RigAnswer *a, int64_t until_ms, size_t step, int64_t pause_us)
{
    read_answer(a, until_ms, step, pause_us, 0, 0);
}

void rig_read_pausing(RigAnswer *a, int64_t until_ms, size_t pause_after,
                      int64_t pause_ms)
{
    read_answer(a, until_ms, 0, 0, pause_after, pause_ms);
}

void rig_read_raw(RigAnswer *a, int64_t until_ms)
{
    char buf[16384];
    size_t n = 0;
    Body b = { .chunked = true };
    const char *end = NULL;
    while (!end && n + 1 < sizeof(buf)) {
        ssize_t k = receive(a->fd, buf + n, sizeof(buf) - 1 - n, until_ms);
        if (k <= 0) {
            a->closed = !k;
            a->ended_ms = rig_ms();
            return;
        }
        n += (size_t)k;
        buf[n] = 0;
        end = strstr(buf, "\r\n\r\n");
    }
    if (!end)
        return;
    size_t head = (size_t)(end - buf) + 4;
    memcpy(a->head.text, buf, head);
    sscanf(buf, "HTTP/1.1 %d", &a->status);
    const char *v = rig_field(&a->head, "Content-Length");
    b.chunked = !v;
    b.left = v ? strtoul(v, NULL, 10) : 0;
    a->complete = (v && !b.left) || take(a, &b, buf + head, n - head);
    while (!a->complete && !a->bad_chunk) {
        ssize_t k = receive(a->fd, buf, sizeof(buf), until_ms);
        if (k <= 0) {
            a->closed = !k;
            break;
        }
        a->complete = take(a, &b, buf, (size_t)k);
    }
    a->ended_ms = rig_ms();
}

void rig_note_answer(const char *who, const RigAnswer *a)
{
    rig_note("%s: request %s sent at %.3f, %s%d, %zu bytes of body, %s%s at "
             "%.3f",
             who, a->id, (double)a->sent_ms / 1000,
             a->status ? "status " : "no status ", a->status, a->bytes,
             a->complete ? "complete" : "not complete",
             a->closed ? ", the connection ended" : "",
             (double)a->ended_ms / 1000);
}
