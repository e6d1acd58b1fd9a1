#define _GNU_SOURCE
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
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

enum {
    RUN_MAX_S = 115, /* the whole case */
    START_MAX_S = 15,
    HEAD_MAX = 64 << 10,
    BODY_MAX = 8 << 20,
    REPLICAS_MAX = 8,
    PORTS_MAX = 8
};

typedef struct Replica {
    char id[32];
    uint16_t port;
    int listener;
    LabRun run;
} Replica;

typedef struct Channel {
    Replica *replica;
    int fd;
} Channel;

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec start;
static pid_t store_pid, box_pid;
static uint16_t store_port, box_port;
static Replica replicas[REPLICAS_MAX];
static char folder[] = "/tmp/review-XXXXXX";

double lab_now_s(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)(t.tv_sec - start.tv_sec) +
           (double)(t.tv_nsec - start.tv_nsec) / 1e9;
}

void lab_sleep_s(double s)
{
    struct timespec t = { (time_t)s, (long)((s - (double)(time_t)s) * 1e9) };
    while (s > 0 && nanosleep(&t, &t) && errno == EINTR)
        ;
}

void lab_record(const char *format, ...)
{
    char line[1024];
    va_list args;
    va_start(args, format);
    vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    pthread_mutex_lock(&record_lock);
    if (record)
        fprintf(record, "%8.3f %s\n", lab_now_s(), line);
    printf("%8.3f %s\n", lab_now_s(), line);
    pthread_mutex_unlock(&record_lock);
}

bool lab_has_trouble(void)
{
    const char *text = getenv("TROUBLE");
    return !text || strcmp(text, "0");
}

static void end_process(pid_t *pid)
{
    if (*pid <= 0)
        return;
    kill(*pid, SIGKILL);
    waitpid(*pid, NULL, 0);
    *pid = 0;
}

static void remove_folder(void)
{
    static const char *const names[] = { "store.yaml", "box.yaml", "box.log" };
    char path[128];
    for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++) {
        snprintf(path, sizeof(path), "%s/%s", folder, names[i]);
        unlink(path);
    }
    rmdir(folder);
}

void lab_finish(int code, const char *verdict)
{
    lab_record("verdict: %s (exit %d)", verdict, code);
    pthread_mutex_lock(&record_lock);
    fflush(stdout);
    if (record)
        fclose(record);
    end_process(&box_pid);
    end_process(&store_pid);
    remove_folder();
    _exit(code);
}

static void *watchdog(void *arg)
{
    (void)arg;
    lab_sleep_s(RUN_MAX_S);
    lab_finish(LAB_CANNOT_RUN, "the case took too long");
}

/* Finds `n` free ports. All are held until the last is found, so that they
   differ. */
static void free_ports(uint16_t *ports, size_t n)
{
    int held[PORTS_MAX];
    for (size_t i = 0; i < n; i++) {
        struct sockaddr_in sa = { .sin_family = AF_INET };
        socklen_t size = sizeof(sa);
        held[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(held[i], (struct sockaddr *)&sa, sizeof(sa)) ||
            getsockname(held[i], (struct sockaddr *)&sa, &size))
            lab_finish(LAB_CANNOT_RUN, "no free port");
        ports[i] = ntohs(sa.sin_port);
    }
    for (size_t i = 0; i < n; i++)
        close(held[i]);
}

static int dial(uint16_t port, int receive_bytes, int segment_bytes)
{
    struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (receive_bytes)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
    if (segment_bytes)
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                   sizeof(segment_bytes));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (!connect(fd, (struct sockaddr *)&sa, sizeof(sa)))
        return fd;
    close(fd);
    return -1;
}

int lab_dial(int receive_bytes, int segment_bytes)
{
    return dial(box_port, receive_bytes, segment_bytes);
}

bool lab_send(int fd, const void *data, size_t n)
{
    const char *p = data;
    while (n) {
        ssize_t k = send(fd, p, n, MSG_NOSIGNAL);
        if (k <= 0)
            return false;
        p += k;
        n -= (size_t)k;
    }
    return true;
}

/* Copies the value of the field `name` of a head; empty if there is none. */
static void get_field(const char *head, const char *name, char *out,
                      size_t size)
{
    size_t n = strlen(name);
    *out = '\0';
    for (const char *p = strstr(head, "\r\n"); p; p = strstr(p, "\r\n")) {
        p += 2;
        if (strncasecmp(p, name, n) || p[n] != ':')
            continue;
        p += n + 1;
        p += strspn(p, " \t");
        snprintf(out, size, "%.*s", (int)strcspn(p, "\r\n"), p);
        return;
    }
}

/* Reads up to the end of a head and what has come after it. Returns the length
   of the head, 0 at the end of the channel. */
static size_t read_head(int fd, char *buf, size_t *have)
{
    for (;;) {
        buf[*have] = '\0';
        char *end = memmem(buf, *have, "\r\n\r\n", 4);
        if (end)
            return (size_t)(end - buf) + 4;
        if (*have >= HEAD_MAX)
            return 0;
        ssize_t n = recv(fd, buf + *have, HEAD_MAX - *have, 0);
        if (n <= 0)
            return 0;
        *have += (size_t)n;
    }
}

size_t lab_head(char *out, size_t size, const char *method, const char *path,
                const char *id, unsigned deadline_ms, const char *fields)
{
    return (size_t)snprintf(out, size,
                            "%s %s HTTP/1.1\r\nHost: review.example\r\n"
                            "X-Attempt-Id: %s\r\nX-Deadline-Ms: %u\r\n"
                            "Authorization: Token review-key\r\n%s\r\n",
                            method, path, id, deadline_ms, fields);
}

LabAnswer lab_read_answer(int fd, size_t step_bytes, double step_s,
                          double until_s)
{
    LabAnswer a = { 0 };
    size_t size = step_bytes ? step_bytes : 64 << 10, have = 0, head = 0;
    char *buf = malloc(HEAD_MAX + 1), *step = malloc(size);
    for (;;) {
        double left_s = until_s - lab_now_s();
        struct pollfd p = { fd, POLLIN, 0 };
        if (left_s <= 0 || poll(&p, 1, (int)(left_s * 1000) + 1) <= 0)
            break;
        ssize_t n = recv(fd, step, size, 0);
        if (n <= 0)
            break;
        if (head) {
            a.body_bytes += (size_t)n;
        } else {
            size_t k = (size_t)n;
            if (have + k > HEAD_MAX)
                break;
            memcpy(buf + have, step, k);
            have += k;
            char *end = memmem(buf, have, "\r\n\r\n", 4);
            if (end) {
                char text[32];
                *end = '\0';
                head = (size_t)(end - buf) + 4;
                get_field(buf, "Content-Length", text, sizeof(text));
                a.expected_bytes = strtoul(text, NULL, 10);
                a.status = atoi(buf + strcspn(buf, " "));
                a.body_bytes = have - head;
            }
        }
        if (head && a.body_bytes >= a.expected_bytes) {
            a.complete = true;
            break;
        }
        lab_sleep_s(step_s);
    }
    a.ended_s = lab_now_s();
    free(buf);
    free(step);
    return a;
}

bool lab_reply(const LabRequest *r, const char *body, size_t n)
{
    char head[512];
    int k = snprintf(head, sizeof(head),
                     "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                     "X-Replica-Seal: seal.%s\r\nX-Replica-Load: 1,0,64\r\n"
                     "Keep-Alive: timeout=30\r\nContent-Length: %zu\r\n\r\n",
                     r->id, r->replica, n);
    return lab_send(r->fd, head, (size_t)k) && lab_send(r->fd, body, n);
}

/* Answers a request that is not run, with the mark for that. */
static bool refuse(const LabRequest *r, const char *status)
{
    char head[256];
    int k = snprintf(head, sizeof(head),
                     "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n",
                     status, r->id);
    lab_record("replica %s refuses %s: %s", r->replica, r->id, status);
    return lab_send(r->fd, head, (size_t)k);
}

/* Serves the requests of one channel, one at a time. Only a length tells the
   end of a body; any other framing is refused. */
static void *serve_channel(void *arg)
{
    Channel *c = arg;
    char *buf = malloc(HEAD_MAX + 1), *body = malloc(BODY_MAX);
    size_t have = 0, head;
    bool kept = true;
    while (kept && (head = read_head(c->fd, buf, &have))) {
        LabRequest r = { .replica = c->replica->id, .body = body, .fd = c->fd };
        char length[32], expected[64], framing[64];
        buf[head - 2] = '\0';
        snprintf(r.line, sizeof(r.line), "%.*s", (int)strcspn(buf, "\r\n"),
                 buf);
        get_field(buf, "X-Attempt-Id", r.id, sizeof(r.id));
        get_field(buf, "Content-Length", length, sizeof(length));
        get_field(buf, "X-Expect-Replica", expected, sizeof(expected));
        get_field(buf, "Transfer-Encoding", framing, sizeof(framing));
        r.body_bytes = strtoul(length, NULL, 10);
        if (r.body_bytes > BODY_MAX)
            break;
        size_t got = have - head < r.body_bytes ? have - head : r.body_bytes;
        memcpy(body, buf + head, got);
        memmove(buf, buf + head + got, have - head - got);
        have -= head + got;
        while (got < r.body_bytes) {
            ssize_t n = recv(c->fd, body + got, r.body_bytes - got, 0);
            if (n <= 0)
                goto end;
            got += (size_t)n;
        }
        if (!r.id[0] || framing[0])
            kept = refuse(&r, "400 Bad Request") && !framing[0];
        else if (expected[0] && strcmp(expected, r.replica))
            kept = refuse(&r, "421 Misdirected Request");
        else
            kept = c->replica->run(&r);
    }
end:
    close(c->fd);
    free(buf);
    free(body);
    free(c);
    return NULL;
}

static void start_thread(void *(*fn)(void *), void *arg)
{
    pthread_t t;
    if (pthread_create(&t, NULL, fn, arg))
        lab_finish(LAB_CANNOT_RUN, "no thread");
    pthread_detach(t);
}

static void *accept_channels(void *arg)
{
    Replica *r = arg;
    for (;;) {
        Channel *c = malloc(sizeof(*c));
        c->replica = r;
        c->fd = accept4(r->listener, NULL, NULL, SOCK_CLOEXEC);
        if (c->fd >= 0)
            start_thread(serve_channel, c);
        else
            free(c);
    }
    return NULL;
}

/* Has the store's stand-in write a value as the operator or a replica does. */
static bool put(const char *key, const char *value)
{
    size_t size = strlen(value) + 512;
    char *text = malloc(size), *body = malloc(size), answer[4096];
    int fd = dial(store_port, 0, 0);
    snprintf(body, size, "{\"put\":{\"key\":\"%s\",\"value\":%s}}", key, value);
    int n = snprintf(text, size,
                     "POST /control HTTP/1.1\r\nHost: store\r\n"
                     "Content-Length: %zu\r\n\r\n%s",
                     strlen(body), body);
    bool ok = fd >= 0 && lab_send(fd, text, (size_t)n) &&
              recv(fd, answer, sizeof(answer), 0) > 12 &&
              !strncmp(answer, "HTTP/1.1 200", 12);
    if (fd >= 0)
        close(fd);
    free(text);
    free(body);
    return ok;
}

static void start_replica(unsigned i, LabRun run)
{
    struct sockaddr_in sa = { .sin_family = AF_INET };
    socklen_t n = sizeof(sa);
    Replica *r = &replicas[i];
    char key[512], value[256];
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    r->run = run;
    r->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(r->listener, (struct sockaddr *)&sa, sizeof(sa)) ||
        listen(r->listener, 256) ||
        getsockname(r->listener, (struct sockaddr *)&sa, &n))
        lab_finish(LAB_CANNOT_RUN, "a replica cannot listen");
    r->port = ntohs(sa.sin_port);
    snprintf(r->id, sizeof(r->id), "i-%d-%u", (int)getpid(), i);
    start_thread(accept_channels, r);
    snprintf(key, sizeof(key), "servers/%s", r->id);
    snprintf(value, sizeof(value),
             "{\"service\":\"app\",\"address\":\"127.0.0.1:%u\","
             "\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,"
             "\"state\":\"ready\",\"coldLeftMs\":0,\"callSeq\":1}",
             r->port);
    if (!put(key, value))
        lab_finish(LAB_CANNOT_RUN, "a replica cannot register itself");
}

static void write_file(const char *name, char *path, size_t size,
                       const char *text)
{
    snprintf(path, size, "%s/%s", folder, name);
    FILE *f = fopen(path, "w");
    if (!f || fputs(text, f) < 0 || fclose(f))
        lab_finish(LAB_CANNOT_RUN, "a settings file cannot be written");
}

static pid_t spawn(const char *program, const char *settings, const char *log)
{
    pid_t pid = fork();
    if (pid)
        return pid;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(log, O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    setenv("WORKSPOINT_SETTINGS", settings, 1);
    if (strstr(program, "wpstand"))
        execl(program, program, "--config", settings, (char *)NULL);
    else
        execl(program, program, (char *)NULL);
    _exit(127);
}

static void start_store(void)
{
    char path[128], text[64];
    free_ports(&store_port, 1);
    snprintf(text, sizeof(text), "kind: pstore\nport: %u\n", store_port);
    write_file("store.yaml", path, sizeof(path), text);
    store_pid = spawn("target/wpstand", path, "/dev/null");
    for (double until_s = lab_now_s() + START_MAX_S; lab_now_s() < until_s;) {
        int fd = dial(store_port, 0, 0);
        if (fd >= 0) {
            close(fd);
            return;
        }
        lab_sleep_s(0.02);
    }
    lab_finish(LAB_CANNOT_RUN, "the store's stand-in does not start");
}

/* The fields of deploy/settings.yaml, filled as the platform does, and a port
   of its own for metrics, as other runs may share the address. */
static void start_box(const LabSite *site)
{
    char path[128], log[128], text[1024];
    uint16_t ports[4];
    free_ports(ports, 4);
    box_port = ports[0];
    snprintf(text, sizeof(text),
             "id: front-zone-a-1\nzone: zone-a\nlisten: 127.0.0.1\n"
             "http: 127.0.0.1:%u\nready: 127.0.0.1:%u\npeers: 127.0.0.1:%u\n"
             "seeds: [127.0.0.1:%u]\nstore: 127.0.0.1:%u\n"
             "metrics_port: %u\ndrain_s: %u\n"
             "retry_ratio: 0.9\nretry_slack: 54\nretry_window_s: 10\n"
             "session_s: 5\napply_ms: 2000\nmemory_mb: %u\nfirst_start: true\n"
             "areas: [zone-a=region-a]\ncontention: auto\n"
             "traits: [base,drain,config,cost,retry,recover,engine,stream,"
             "tenants,platform,rollout]\ncontention_trait: pressure\n",
             box_port, ports[1], ports[2], ports[2], store_port, ports[3],
             site->grace_s, site->memory_mb);
    write_file("box.yaml", path, sizeof(path), text);
    snprintf(log, sizeof(log), "%s/box.log", folder);
    box_pid = spawn("target/wpdirect", path, log);
}

/* Records the end of the log of a machine that does not start. */
static void record_box_log(void)
{
    char path[128], line[512];
    int status;
    if (waitpid(box_pid, &status, WNOHANG) == box_pid) {
        lab_record("its process has ended with status 0x%x", status);
        box_pid = 0;
    }
    snprintf(path, sizeof(path), "%s/box.log", folder);
    FILE *f = fopen(path, "r");
    for (int i = 0; f && i < 20 && fgets(line, sizeof(line), f); i++)
        lab_record("log: %.*s", (int)strcspn(line, "\n"), line);
    if (f)
        fclose(f);
}

/* Sends requests until one is served. */
static void wait_served(void)
{
    char head[1024];
    unsigned n = 0;
    for (double until_s = lab_now_s() + START_MAX_S; lab_now_s() < until_s;) {
        char id[32];
        snprintf(id, sizeof(id), "start-%u", ++n);
        int fd = lab_dial(0, 0);
        size_t k = lab_head(head, sizeof(head), "GET", "/safe/start", id, 1000,
                            "Content-Length: 0\r\n");
        LabAnswer a = { 0 };
        if (fd >= 0 && lab_send(fd, head, k))
            a = lab_read_answer(fd, 0, 0, lab_now_s() + 1.5);
        if (fd >= 0)
            close(fd);
        if (a.status == 200)
            return;
        lab_sleep_s(0.1);
    }
    record_box_log();
    lab_finish(LAB_CANNOT_RUN, "the machine does not serve");
}

void lab_start(const char *case_folder, const LabSite *site, unsigned n,
               LabRun run)
{
    char path[512], config[4096];
    clock_gettime(CLOCK_MONOTONIC, &start);
    signal(SIGPIPE, SIG_IGN);
    snprintf(path, sizeof(path), "%s/record.txt", case_folder);
    record = fopen(path, "w");
    if (!record || !mkdtemp(folder))
        lab_finish(LAB_CANNOT_RUN, "no record, or no temporary folder");
    start_thread(watchdog, NULL);
    start_store();
    snprintf(config, sizeof(config),
             "{\"version\":1,\"routes\":%s,\"services\":[{\"name\":\"app\","
             "\"healthPath\":\"/health\",\"maxConnections\":620,"
             "\"protocol\":\"h1\",\"tls\":false}],\"limits\":%s,\"tenants\":"
             "[{\"name\":\"review\",\"apiKeys\":[\"review-key\"]}]}",
             site->routes, site->limits);
    if (!put("op/config", config))
        lab_finish(LAB_CANNOT_RUN, "the configuration cannot be written");
    for (unsigned i = 0; i < n; i++)
        start_replica(i, run);
    start_box(site);
    wait_served();
    lab_record("the machine serves; disruption: %s",
               lab_has_trouble() ? "yes" : "no");
    lab_sleep_s(site->contact_ms / 1000.0 + 0.5);
}

void lab_signal(int number)
{
    lab_record("signal %d to the machine's process", number);
    kill(box_pid, number);
}
