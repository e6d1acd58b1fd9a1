/* Test cluster of direct mode: start and end of its processes, requests, and
 * waits. */
#include "cluster_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <http_parser.h>
#include <signal.h>
#include <stdio.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
    WAIT_MAX_S = 20,    /* after which a wait fails the test */
    POLL_MS = 20,       /* between polls */
    READ_TIMEOUT_S = 30 /* for each read of an answer */
};

#define FREED_BYTE "165" /* fills freed memory; not a valid pointer */

/* Set in the environment: the processes log to a file of the cluster. */
#define LOG_FILE_VARIABLE "WP_CLUSTER_LOG"

static char *log_path(const TestCluster *p)
{
    return g_build_filename(p->folder, "log", NULL);
}

/* Runs in the child, before its program. */
static void set_up_child(void *arg)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (!g_getenv(LOG_FILE_VARIABLE))
        return;
    g_autofree char *path = log_path(arg);
    int fd = open(path, O_WRONLY | O_APPEND | O_CREAT, S_IRUSR | S_IWUSR);
    if (fd >= 0)
        dup2(fd, STDOUT_FILENO);
}

void cluster_keep_log(bool keep)
{
    if (keep)
        g_setenv(LOG_FILE_VARIABLE, "1", TRUE);
    else
        g_unsetenv(LOG_FILE_VARIABLE);
}

void cluster_print_log(const TestCluster *p, const char *event)
{
    g_autofree char *path = log_path(p), *text = NULL;
    g_autofree char *wanted = g_strconcat(" event=", event, NULL);
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l; l++)
        if (strstr(*l, wanted))
            print_message("%s\n", *l);
}

/* With WP_PATH_LOGS set, the processes log to this process's output. */
static GSpawnFlags log_flag(const TestCluster *p)
{
    (void)p;
    return g_getenv("WP_PATH_LOGS") ? G_SPAWN_CHILD_INHERITS_STDOUT
                                    : G_SPAWN_STDOUT_TO_DEV_NULL;
}

/* Returns the path of the cluster's own copy of a file of the build, which is
   made at the first call: a build that runs meanwhile changes nothing. */
static char *own_copy(TestCluster *p, const char *name)
{
    char *copy = g_build_filename(p->folder, name, NULL);
    g_autofree char *original = g_build_filename(p->bin, name, NULL);
    g_autofree char *contents = NULL;
    gsize n;
    if (g_file_test(copy, G_FILE_TEST_EXISTS))
        return copy;
    if (!g_file_get_contents(original, &contents, &n, NULL) ||
        !g_file_set_contents(copy, contents, (gssize)n, NULL) ||
        chmod(copy, S_IRWXU))
        fail_msg("%s cannot be copied to %s", original, copy);
    return copy;
}

void cluster_spawn(TestCluster *p, Child *c, char **argv)
{
    GError *error = NULL;
    g_auto(GStrv) env = g_get_environ();
    /* glibc fills freed memory, so that a use after free is noticed. */
    env = g_environ_setenv(env, "MALLOC_PERTURB_", FREED_BYTE, TRUE);
    if (c->clock) {
        g_autofree char *path = own_copy(p, "wpclock.so");
        env = g_environ_setenv(env, "LD_PRELOAD", path, TRUE);
        env = g_environ_setenv(env, "ASAN_OPTIONS", "verify_asan_link_order=0",
                               TRUE);
        env = g_environ_setenv(env, "WP_CLOCK_FILE", c->clock, TRUE);
    }
    if (!g_spawn_async(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD | log_flag(p),
                       set_up_child, p, &c->pid, &error))
        fail_msg("%s: %s", argv[0], error->message);
    c->running = true;
}

/* A cold replica's limit is 6 requests a second; 14 within a second are
   tolerated: the limit times 1.5, and 5 more. */
#define COLD_SERVICE ",\"coldPerS\":6,\"coldStartS\":1.5"
#define COLD_ENTRY "cold_overshoot: 1.5\ncold_slack: 5\n"
#define COLD_REPLICA "cold_ms: 1500\ncold_most: 14\n"

static void start_process(TestCluster *p, Child *c, const char *program,
                          const char *name, const char *settings)
{
    g_autofree char *path = own_copy(p, program);
    g_autofree char *file = g_strdup_printf("%s/%s.yaml", p->folder, name);
    char *argv[] = { path, (char *)"--config", file, NULL };
    c->program = g_strdup(path);
    c->file = g_strdup(file);
    if (!g_file_set_contents(file, settings, -1, NULL))
        fail_msg("cannot write %s", file);
    cluster_spawn(p, c, argv);
}

static int connect_loopback(uint16_t port)
{
    struct sockaddr_in sa = { .sin_family = AF_INET };
    struct timeval limit = { READ_TIMEOUT_S, 0 };
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sa.sin_port = htons(port);
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
        return fd;
    close(fd);
    return -1;
}

static void send_all(int fd, const char *bytes)
{
    size_t n = strlen(bytes), at = 0;
    while (at < n) {
        ssize_t k = send(fd, bytes + at, n - at, MSG_NOSIGNAL);
        if (k <= 0)
            return; /* the missing answer shows the failure */
        at += (size_t)k;
    }
}

static int on_body(http_parser *h, const char *at, size_t n)
{
    g_string_append_len(((ClusterAnswer *)h->data)->body, at, (gssize)n);
    return 0;
}

static int on_complete(http_parser *h)
{
    ((ClusterAnswer *)h->data)->complete = true;
    http_parser_pause(h, 1);
    return 0;
}

static void read_answer(ClusterAnswer *a)
{
    static const http_parser_settings set = { .on_body = on_body,
                                              .on_message_complete =
                                                  on_complete };
    char buf[4096];
    http_parser h;
    http_parser_init(&h, HTTP_RESPONSE);
    h.data = a;
    while (a->fd >= 0 && !a->complete) {
        ssize_t n = recv(a->fd, buf, sizeof(buf), 0);
        http_parser_execute(&h, &set, buf, n > 0 ? (size_t)n : 0);
        if (n <= 0) {
            a->closed = true;
            break;
        }
    }
    a->status = (int)h.status_code;
}

static ClusterAnswer open_connection(uint16_t port)
{
    return (ClusterAnswer){ .fd = connect_loopback(port),
                            .body = g_string_new(NULL) };
}

void cluster_answer_release(ClusterAnswer *a)
{
    if (a->fd >= 0)
        close(a->fd);
    a->fd = -1;
    if (a->body)
        g_string_free(a->body, TRUE);
    a->body = NULL;
}

json_t *cluster_post_control(uint16_t port, const char *json)
{
    ClusterAnswer a = open_connection(port);
    g_autofree char *text =
        g_strdup_printf("POST /control HTTP/1.1\r\nHost: c\r\nContent-Type: "
                        "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                        strlen(json), json);
    if (a.fd >= 0)
        send_all(a.fd, text);
    read_answer(&a);
    json_t *j = a.status == 200 ? json_loads(a.body->str, 0, NULL) : NULL;
    cluster_answer_release(&a);
    return j;
}

Child *cluster_child(GArray *list, unsigned i)
{
    return &g_array_index(list, Child, i);
}

void cluster_require_reply(json_t *j)
{
    if (!j)
        fail_msg("a stand-in or proxy does not answer on its control port");
    json_decref(j);
}

static void wait_listening(uint16_t port)
{
    for (int i = 0; i < WAIT_MAX_S * WP_MS_PER_S / POLL_MS; i++) {
        int fd = connect_loopback(port);
        if (fd >= 0) {
            close(fd);
            return;
        }
        g_usleep(POLL_MS * WP_US_PER_MS);
    }
    fail_msg("no process listens on port %u", port);
}

static void start_store(TestCluster *p)
{
    p->store.port = p->store.control = ports_next(&p->ports);
    g_autofree char *text =
        g_strdup_printf("kind: pstore\nport: %u\n", p->store.port);
    start_process(p, &p->store, "wpstand", "store", text);
    wait_listening(p->store.port);
}

static Child start_proxy(TestCluster *p, uint16_t to)
{
    Child c = { .port = ports_next(&p->ports),
                .control = ports_next(&p->ports) };
    g_autofree char *path = own_copy(p, "wpproxy");
    g_autofree char *listen = g_strdup_printf("--listen=%u", c.port);
    g_autofree char *target = g_strdup_printf("--to=%u", to);
    g_autofree char *ctl = g_strdup_printf("--control=%u", c.control);
    char *argv[] = { path, listen, target, ctl, NULL };
    cluster_spawn(p, &c, argv);
    wait_listening(c.control);
    return c;
}

void cluster_start_replica(TestCluster *p, unsigned i, const char *version)
{
    Child c = { 0 };
    c.port = c.control = ports_next(&p->ports);
    Child proxy = start_proxy(p, c.port);
    g_array_append_val(p->replica_proxies, proxy);
    g_autofree char *name = g_strdup_printf("replica%u", i);
    g_autofree char *text = g_strdup_printf(
        "kind: replica\nport: %u\nstore: 127.0.0.1:%u\nservice: app\n"
        "seed: %u\nslots: %u\nlisted_port: %u\nrun_log: %s/runs\n"
        "version: %s\n%s%s",
        c.port, p->store.port, i + 1, p->slots, proxy.port, p->folder, version,
        p->zones ? "same_id: true\n" COLD_REPLICA : "",
        p->zones && i % 2 ? "zone: " CLUSTER_EVACUATED_ZONE "\n" : "");
    start_process(p, &c, "wpstand", name, text);
    g_array_append_val(p->replicas, c);
    wait_listening(c.port);
}

static uint16_t port_at(GArray *ports, unsigned i)
{
    return g_array_index(ports, uint16_t, i);
}

static void start_entry(TestCluster *p, unsigned i)
{
    Child c = { .port = ports_next(&p->ports) };
    uint16_t metrics = c.control = ports_next(&p->ports);
    g_autofree char *name = g_strdup_printf("e%u", i);
    g_autofree char *text = g_strdup_printf(
        "id: %s\nzone: %s\nlisten: 127.0.0.1\nhttp: 127.0.0.1:%u\n"
        "ready: 127.0.0.1:%u\npeers: 127.0.0.1:%u\nmetrics_port: %u\n"
        "seeds: [127.0.0.1:%u]\nstore: 127.0.0.1:%u\n%s%s",
        name, p->zones && i % 2 ? CLUSTER_EVACUATED_ZONE : "z1", c.port,
        port_at(p->ready_ports, i), port_at(p->peer_ports, i), metrics,
        port_at(p->peer_ports, 0), cluster_child(p->store_proxies, i)->port,
        p->zones ? COLD_ENTRY : "", p->entry_settings);
    if (p->clocks) {
        c.clock = g_strdup_printf("%s/clock%u", p->folder, i);
        g_file_set_contents(c.clock, "0", -1, NULL);
    }
    start_process(p, &c, "wpdirect", name, text);
    g_array_append_val(p->entries, c);
    wait_listening(c.port);
}

static void write_config(TestCluster *p, unsigned version, const char *prefix,
                         const char *keys)
{
    static const char route[] =
        "{\"name\":\"r%u\",\"host\":\"h.example\",\"prefix\":\"%s\","
        "\"kind\":\"%s\",\"timeoutMs\":20000,\"maxAttempts\":4,"
        "\"resumable\":true,\"service\":\"app\"}%s";
    g_autoptr(GString) routes = g_string_new(NULL);
    g_string_append_printf(routes, route, 1, "/call/", "safe", ",");
    g_string_append_printf(routes, route, 2, "/once/", "unsafe", ",");
    g_string_append_printf(routes, route, 3, "/stream/", "streaming", ",");
    g_string_append_printf(routes, route, 4, prefix, "safe", "");
    g_autofree char *text = g_strdup_printf(
        "{\"put\":{\"key\":\"op/config\",\"value\":{\"version\":%u,"
        "\"routes\":[%s],\"services\":[{\"name\":\"app\"%s}],\"limits\":{},"
        "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[%s]}]}}}",
        version, routes->str, p->zones ? COLD_SERVICE : "", keys);
    cluster_require_reply(cluster_post_control(p->store.control, text));
}

void cluster_write_config(TestCluster *p, unsigned version, const char *prefix)
{
    write_config(p, version, prefix, "\"key-1\"");
}

void cluster_revoke_key(TestCluster *p, unsigned version)
{
    write_config(p, version, "/new/", "\"key-2\"");
}

void cluster_write_version_key(TestCluster *p, unsigned version)
{
    g_autofree char *keys =
        g_strdup_printf("\"key-1\",\"version-%u\"", version);
    write_config(p, version, "/new/", keys);
}

void cluster_write_filler(TestCluster *p, unsigned n)
{
    for (unsigned i = 0; i < n; i++)
        cluster_require_reply(cluster_post_control(
            p->store.control,
            "{\"put\":{\"key\":\"op/filler\",\"value\":{}}}"));
}

void cluster_restore_store(TestCluster *p, unsigned ms, unsigned rewrite_ms)
{
    g_autofree char *text = g_strdup_printf(
        "{\"restore_ms\":%u,\"rewrite_ms\":%u,\"down\":\"\"}", ms, rewrite_ms);
    cluster_require_reply(cluster_post_control(p->store.control, text));
}

enum { DEFAULT_SLOTS = 64 };

static TestCluster *new_cluster(unsigned entries, unsigned replicas,
                                bool clocks, bool zones, unsigned slots,
                                const char *settings)
{
    TestCluster *p = g_new0(TestCluster, 1);
    p->entry_settings = settings;
    p->clocks = clocks;
    p->zones = zones;
    p->slots = slots;
    p->bin = g_getenv("WP_BIN") ? g_getenv("WP_BIN") : "build";
    p->folder = g_dir_make_tmp("wp-path-XXXXXX", NULL);
    ports_init(&p->ports);
    p->entries = g_array_new(FALSE, TRUE, sizeof(Child));
    p->store_proxies = g_array_new(FALSE, TRUE, sizeof(Child));
    p->replicas = g_array_new(FALSE, TRUE, sizeof(Child));
    p->replica_proxies = g_array_new(FALSE, TRUE, sizeof(Child));
    p->peer_ports = g_array_new(FALSE, TRUE, sizeof(uint16_t));
    p->ready_ports = g_array_new(FALSE, TRUE, sizeof(uint16_t));
    start_store(p);
    cluster_write_config(p, 1, "/old/");
    for (unsigned i = 0; i < replicas; i++)
        cluster_start_replica(p, i, "v1");
    for (unsigned i = 0; i < entries; i++) {
        uint16_t a = ports_next(&p->ports), b = ports_next(&p->ports);
        g_array_append_val(p->peer_ports, a);
        g_array_append_val(p->ready_ports, b);
        Child proxy = start_proxy(p, p->store.port);
        g_array_append_val(p->store_proxies, proxy);
    }
    for (unsigned i = 0; i < entries; i++)
        start_entry(p, i);
    for (unsigned i = 0; i < entries; i++)
        cluster_wait_status(p, i, "/call/x", 200);
    return p;
}

TestCluster *cluster_new(unsigned entries, unsigned replicas)
{
    return new_cluster(entries, replicas, false, false, DEFAULT_SLOTS, "");
}

TestCluster *cluster_new_with_clocks(unsigned entries, unsigned replicas)
{
    return new_cluster(entries, replicas, true, false, DEFAULT_SLOTS, "");
}

TestCluster *cluster_new_with_zones(unsigned entries, unsigned replicas)
{
    return new_cluster(entries, replicas, false, true, DEFAULT_SLOTS, "");
}

TestCluster *cluster_new_with_slots(unsigned entries, unsigned replicas,
                                    unsigned slots, bool zones)
{
    return new_cluster(entries, replicas, false, zones, slots, "");
}

TestCluster *cluster_new_with_settings(unsigned entries, unsigned replicas,
                                       unsigned slots, const char *settings)
{
    return new_cluster(entries, replicas, false, false, slots, settings);
}

void cluster_kill_process(Child *c)
{
    if (!c->running)
        return;
    kill(c->pid, SIGKILL);
    waitpid(c->pid, NULL, 0);
    c->running = false;
}

static void release_child(Child *c)
{
    cluster_kill_process(c);
    g_free(c->program);
    g_free(c->file);
    g_free(c->clock);
}

long cluster_entry_resident_kb(const TestCluster *p, unsigned entry)
{
    g_autofree char *file = g_strdup_printf(
        "/proc/%d/status", (int)cluster_child(p->entries, entry)->pid);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return 0;
    const char *at = strstr(text, "VmRSS:");
    return at ? strtol(at + strlen("VmRSS:"), NULL, 10) : 0;
}

ClusterEntry cluster_entry(const TestCluster *p, unsigned entry)
{
    const Child *c = cluster_child(p->entries, entry);
    return (ClusterEntry){ c->pid, c->port, port_at(p->peer_ports, entry),
                           port_at(p->ready_ports, entry), c->control };
}

uint16_t cluster_entry_port(const TestCluster *p, unsigned entry)
{
    return cluster_child(p->entries, entry)->port;
}

char *cluster_entry_metrics(TestCluster *p, unsigned entry)
{
    ClusterAnswer a =
        open_connection(cluster_child(p->entries, entry)->control);
    if (a.fd >= 0)
        send_all(a.fd, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
    read_answer(&a);
    char *text = g_strdup(a.body->str);
    cluster_answer_release(&a);
    return text;
}

const char *cluster_folder(const TestCluster *p)
{
    return p->folder;
}

static void release_children(GArray *list)
{
    for (guint i = 0; i < list->len; i++)
        release_child(cluster_child(list, i));
    g_array_unref(list);
}

void cluster_free(TestCluster *p)
{
    release_children(p->entries);
    release_children(p->store_proxies);
    release_children(p->replicas);
    release_children(p->replica_proxies);
    release_child(&p->store);
    g_array_unref(p->peer_ports);
    g_array_unref(p->ready_ports);
    ports_end(&p->ports);
    g_autoptr(GDir) d = g_dir_open(p->folder, 0, NULL);
    const char *name;
    while (d && (name = g_dir_read_name(d))) {
        g_autofree char *file = g_build_filename(p->folder, name, NULL);
        g_unlink(file);
    }
    g_rmdir(p->folder);
    g_free(p->folder);
    g_free(p);
}

static char *request_text(const char *id, const char *method,
                          const char *target, const char *fields,
                          const char *body)
{
    return g_strdup_printf(
        "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\n"
        "X-Deadline-Ms: 20000\r\nX-Hold: forged\r\n%s"
        "Content-Length: %zu\r\n\r\n%s",
        method, target, id, fields ? fields : "Authorization: Token key-1\r\n",
        strlen(body), body);
}

static ClusterAnswer send_request(TestCluster *p, unsigned entry,
                                  const char *method, const char *target,
                                  const char *fields)
{
    ClusterAnswer a = open_connection(cluster_child(p->entries, entry)->port);
    g_snprintf(a.id, sizeof(a.id), "r%u", ++p->requests_sent);
    g_autofree char *text = request_text(a.id, method, target, fields, "");
    if (a.fd >= 0)
        send_all(a.fd, text);
    return a;
}

void cluster_exchange(ClusterAnswer *a, uint16_t port, const char *method,
                      const char *target)
{
    cluster_exchange_body(a, port, method, target, "");
}

void cluster_exchange_body(ClusterAnswer *a, uint16_t port, const char *method,
                           const char *target, const char *body)
{
    cluster_exchange_fields(a, port, method, target, NULL, body);
}

void cluster_exchange_fields(ClusterAnswer *a, uint16_t port,
                             const char *method, const char *target,
                             const char *fields, const char *body)
{
    g_autofree char *text = request_text(a->id, method, target, fields, body);
    if (a->fd < 0)
        a->fd = connect_loopback(port);
    if (a->fd >= 0)
        send_all(a->fd, text);
    read_answer(a);
}

ClusterAnswer cluster_send_request(TestCluster *p, unsigned entry,
                                   const char *method, const char *target)
{
    return send_request(p, entry, method, target, NULL);
}

void cluster_read_answer(TestCluster *p, ClusterAnswer *a)
{
    (void)p;
    read_answer(a);
}

ClusterAnswer cluster_request(TestCluster *p, unsigned entry,
                              const char *method, const char *target,
                              const char *fields)
{
    ClusterAnswer a = send_request(p, entry, method, target, fields);
    read_answer(&a);
    return a;
}

ClusterAnswer cluster_send_raw(TestCluster *p, unsigned entry,
                               const char *bytes)
{
    ClusterAnswer a = open_connection(cluster_child(p->entries, entry)->port);
    char buf[4096];
    ssize_t n;
    send_all(a.fd, bytes);
    while ((n = recv(a.fd, buf, sizeof(buf), 0)) > 0)
        g_string_append_len(a.body, buf, n);
    a.closed = n == 0 || (n < 0 && errno == ECONNRESET);
    if (g_str_has_prefix(a.body->str, "HTTP/1.1 "))
        a.status = atoi(a.body->str + strlen("HTTP/1.1 "));
    return a;
}

int cluster_count_events(const ClusterAnswer *a)
{
    int n = 0;
    g_auto(GStrv) events = g_strsplit(a->body->str, "\n\n", -1);
    for (char **e = events; *e && **e; e++) {
        g_autofree char *id = g_strdup_printf("id: %d\n", ++n);
        if (!g_str_has_prefix(*e, id))
            return -1;
    }
    return a->complete ? n : -1;
}

void cluster_set_replica_faults(TestCluster *p, unsigned replica,
                                const char *json)
{
    cluster_require_reply(cluster_post_control(
        cluster_child(p->replicas, replica)->control, json));
}

void cluster_control_store(TestCluster *p, const char *json)
{
    cluster_require_reply(cluster_post_control(p->store.control, json));
}

static bool has_key(TestCluster *p, const char *key)
{
    g_autofree char *json = g_strdup_printf("{\"get\":\"%s\"}", key);
    json_t *j = cluster_post_control(p->store.control, json);
    bool has = json_string_value(json_object_get(j, "value")) != NULL;
    json_decref(j);
    return has;
}

void cluster_wait_store_key(TestCluster *p, const char *key)
{
    for (int i = 0; i < WAIT_MAX_S * WP_MS_PER_S / POLL_MS; i++) {
        if (has_key(p, key))
            return;
        g_usleep(POLL_MS * WP_US_PER_MS);
    }
    fail_msg("the store never had %s", key);
}

void cluster_silence_store(TestCluster *p, unsigned entry)
{
    cluster_require_reply(
        cluster_post_control(cluster_child(p->store_proxies, entry)->control,
                             "{\"mode\":\"silent\"}"));
}

static json_t *read_replica_stats(TestCluster *p, unsigned replica)
{
    json_t *j = cluster_post_control(
        cluster_child(p->replicas, replica)->control, "{}");
    if (!j)
        fail_msg("replica %u does not answer", replica);
    return j;
}

static unsigned read_replica_stat(TestCluster *p, unsigned replica,
                                  const char *name)
{
    json_t *j = read_replica_stats(p, replica);
    unsigned n = (unsigned)json_number_value(json_object_get(j, name));
    json_decref(j);
    return n;
}

unsigned cluster_count_replica_runs(TestCluster *p, unsigned replica)
{
    return read_replica_stat(p, replica, "ran");
}

unsigned cluster_count_runs(TestCluster *p)
{
    unsigned n = 0;
    for (guint i = 0; i < p->replicas->len; i++)
        n += cluster_count_replica_runs(p, i);
    return n;
}

unsigned cluster_count_field_violations(TestCluster *p)
{
    unsigned n = 0;
    for (guint i = 0; i < p->replicas->len; i++)
        if (!cluster_child(p->replicas, i)->removed &&
            !cluster_replica_exited(p, i))
            n += read_replica_stat(p, i, "wrong") +
                 read_replica_stat(p, i, "keyless");
    return n;
}

static unsigned count_runs_of(TestCluster *p, const char *id)
{
    unsigned n = 0;
    for (guint i = 0; i < p->replicas->len; i++) {
        json_t *j = read_replica_stats(p, i);
        n += (unsigned)json_integer_value(
            json_object_get(json_object_get(j, "ids"), id));
        json_decref(j);
    }
    return n;
}

bool cluster_has_run(TestCluster *p, const char *id)
{
    return count_runs_of(p, id) > 0;
}

unsigned cluster_max_runs_of_a_request(TestCluster *p)
{
    unsigned max_runs = 0;
    for (unsigned i = 1; i <= p->requests_sent; i++) {
        g_autofree char *id = g_strdup_printf("r%u", i);
        max_runs = MAX(max_runs, count_runs_of(p, id));
    }
    return max_runs;
}

void cluster_wait_status(TestCluster *p, unsigned entry, const char *target,
                         int status)
{
    int last = 0;
    for (int i = 0; i < WAIT_MAX_S * WP_MS_PER_S / POLL_MS; i++) {
        ClusterAnswer a = cluster_request(p, entry, "GET", target, NULL);
        last = a.status;
        cluster_answer_release(&a);
        if (last == status)
            return;
        g_usleep(POLL_MS * WP_US_PER_MS);
    }
    fail_msg("entry %u: %s gives %d, not %d", entry, target, last, status);
}

void cluster_wait_no_requests(TestCluster *p, unsigned replica)
{
    unsigned quiet = 0;
    for (int i = 0; i < WAIT_MAX_S * WP_MS_PER_S / POLL_MS && quiet < 10; i++) {
        unsigned before = cluster_count_replica_runs(p, replica);
        for (guint e = 0; e < p->entries->len; e++) {
            ClusterAnswer a = cluster_request(p, e, "GET", "/call/x", NULL);
            cluster_answer_release(&a);
        }
        quiet =
            cluster_count_replica_runs(p, replica) == before ? quiet + 1 : 0;
    }
    assert_true(quiet >= 10);
}

void cluster_wait_running(TestCluster *p, unsigned replica, unsigned n)
{
    unsigned last = 0;
    for (int i = 0; i < WAIT_MAX_S * WP_MS_PER_S / POLL_MS; i++) {
        last = read_replica_stat(p, replica, "running");
        if (last == n)
            return;
        g_usleep(POLL_MS * WP_US_PER_MS);
    }
    fail_msg("replica %u runs %u, not %u", replica, last, n);
}

void cluster_stop_entry(TestCluster *p, unsigned entry)
{
    kill(cluster_child(p->entries, entry)->pid, SIGTERM);
}

int cluster_wait_exit_code(TestCluster *p, unsigned entry)
{
    Child *c = cluster_child(p->entries, entry);
    int status = -1;
    waitpid(c->pid, &status, 0);
    c->running = false;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}
