/* Configures, starts and stops the processes of a site. */
#include "site.h"
#include "wp_pb.h"

#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define ALL_VERSIONS_KEY "versions"

static Proc *add_proc(Site *s, const char *name, const char *program)
{
    Proc *p = g_new0(Proc, 1);
    p->name = g_strdup(name);
    p->program = program;
    p->config = g_strdup_printf("%s/%s.yaml", s->folder, name);
    p->port = ports_next(&s->ports);
    p->peer_port = ports_next(&s->ports);
    p->admin_port = ports_next(&s->ports);
    g_ptr_array_add(s->procs, p);
    return p;
}

static void write_config(const Proc *p, GString *text)
{
    g_file_set_contents(p->config, text->str, (gssize)text->len, NULL);
    g_string_free(text, TRUE);
}

static void add_stand_in(Site *s, const char *name, const char *kind,
                         const char *more)
{
    Proc *p = add_proc(s, name, "wpstand");
    GString *t = g_string_new(NULL);
    g_string_printf(t, "kind: %s\nport: %u\nseed: %lu\n%s", kind, p->port,
                    (unsigned long)s->plan->seed, more);
    write_config(p, t);
}

/* The setting in a node line of the plan if it applies to this process, else
   NULL. The prefix "NAME|" limits a line to one process. */
static const char *line_for_process(const Proc *p, const char *line)
{
    const char *bar = strchr(line, '|');
    size_t n = bar ? (size_t)(bar - line) : 0;
    if (!bar)
        return line;
    return strlen(p->name) == n && !strncmp(p->name, line, n) ? bar + 1 : NULL;
}

/* Adds the line "key: value" unless the plan sets the same key for this
   process. */
static void add_line(Site *s, const Proc *p, GString *t, const char *line)
{
    size_t key = strcspn(line, ":");
    for (size_t i = 0; i < s->plan->n_node; i++) {
        const char *own = line_for_process(p, s->plan->node[i]);
        if (own && !strncmp(own, line, key + 1))
            return;
    }
    g_string_append_printf(t, "  %s\n", line);
}

static void add_node_lines(Site *s, const Proc *p, unsigned zone, GString *t)
{
    static const char *const fast_settings[] = {
        "gossip_ms: 100",     "heartbeat_ms: 100",  "dead_ms: 1000",
        "boxes_poll_ms: 200", "bill_batch_ms: 200", "once_settle_ms: 500",
        "once_skew_ms: 100",  "test_hooks: true",
    };
    g_string_append_printf(
        t,
        "node:\n  id: %s\n  zone: z%u\n  peer_port: %u\n  admin_port: %u\n"
        "  store: [127.0.0.1:%u]\n  boxes: 127.0.0.1:%u\n"
        "  ratings: 127.0.0.1:%u\n  seed: %lu\n",
        p->name, zone, p->peer_port, p->admin_port, site_proc(s, "kv")->port,
        site_proc(s, "boxes")->port, site_proc(s, "ratings")->port,
        (unsigned long)s->plan->seed * 100 + s->procs->len);
    for (size_t i = 0; i < WP_COUNT(fast_settings); i++)
        add_line(s, p, t, fast_settings[i]);
    for (size_t i = 0; i < s->plan->n_node; i++) {
        const char *own = line_for_process(p, s->plan->node[i]);
        if (own)
            g_string_append_printf(t, "  %s\n", own);
    }
    if (s->disabled_guard)
        g_string_append_printf(t, "  test_off: [%s]\n", s->disabled_guard);
}

static void add_entry(Site *s, unsigned i)
{
    g_autofree char *name = g_strdup_printf("e%u", i + 1);
    Proc *p = add_proc(s, name, "wpentry");
    GString *t = g_string_new(NULL);
    add_node_lines(s, p, i % 3 + 1, t);
    g_string_append_printf(t, "http_port: %u\n", p->port);
    write_config(p, t);
}

/* Comma-separated names of the versions of plain services in the rules, or of
   the model versions. The caller frees the text. */
static char *list_versions(const Wp__Scenario *plan, bool services)
{
    GString *t = g_string_new(NULL);
    g_autofree char *text = NULL;
    gsize n;
    if (!g_file_get_contents(plan->rules, &text, &n, NULL))
        return g_string_free(t, FALSE);
    Wp__Rules *r = (Wp__Rules *)wp_yaml_read(
        &wp__rules__descriptor, wp_strn(text, n), plan->rules, NULL);
    for (size_t i = 0; r && i < r->n_versions; i++)
        if ((r->versions[i]->service != NULL) == services)
            g_string_append_printf(t, "%s%s", t->len ? ", " : "",
                                   r->versions[i]->name);
    wp_pb_free(r);
    return g_string_free(t, FALSE);
}

static void add_agent(Site *s, unsigned i)
{
    bool service = i + 1 == s->plan->agents;
    g_autofree char *name = g_strdup_printf("a%u", i + 1);
    g_autofree char *stand = g_strdup_printf("x%u", i + 1);
    g_autofree char *more = g_strdup_printf("slots: %u\nstep_us: %u\n",
                                            s->plan->slots, s->plan->step_us);
    g_autofree char *versions = list_versions(s->plan, service);
    add_stand_in(s, stand, service ? "service" : "engine", more);
    Proc *p = add_proc(s, name, "wpagent");
    GString *t = g_string_new(NULL);
    add_node_lines(s, p, i % 3 + 1, t);
    g_string_append_printf(t,
                           "endpoint: 127.0.0.1:%u\nversions: [%s]\n"
                           "slots: %u\nsilent_timeout_ms: 2000\n",
                           site_proc(s, stand)->port, versions, s->plan->slots);
    write_config(p, t);
}

Site *site_new(const Wp__Scenario *plan, const char *bin,
               const char *disabled_guard)
{
    Site *s = g_new0(Site, 1);
    g_autofree char *lag = g_strdup_printf("lag_ms: %u\n", plan->boxes_lag_ms);
    s->base = event_base_new();
    s->plan = plan;
    s->disabled_guard = disabled_guard;
    s->bin = g_strdup(bin);
    s->folder = g_dir_make_tmp("wpsite-XXXXXX", NULL);
    s->procs = g_ptr_array_new();
    ports_init(&s->ports);
    s->marks = g_array_new(FALSE, TRUE, sizeof(Mark));
    s->error_text = g_string_new(NULL);
    add_stand_in(s, "kv", "kv", "");
    add_stand_in(s, "boxes", "boxes", lag);
    add_stand_in(s, "ratings", "ratings", "");
    for (unsigned i = 0; i < plan->entries; i++)
        add_entry(s, i);
    for (unsigned i = 0; i < plan->agents; i++)
        add_agent(s, i);
    return s;
}

Proc *site_proc(Site *s, const char *name)
{
    for (guint i = 0; i < s->procs->len; i++) {
        Proc *p = s->procs->pdata[i];
        if (name && !strcmp(p->name, name))
            return p;
    }
    g_string_append_printf(s->error_text, "no process %s; ", name ? name : "?");
    return NULL;
}

/* Has the kernel kill the child when the test runner dies, so that none is
   left. */
static void kill_with_parent(gpointer arg)
{
    (void)arg;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

bool site_start(Site *s, Proc *p)
{
    g_autofree char *program = g_build_filename(s->bin, p->program, NULL);
    g_autofree char *log = g_strdup_printf("%s/%s.log", s->folder, p->name);
    char *argv[] = { program, (char *)"--config", p->config, NULL };
    GError *error = NULL;
    FILE *f = fopen(log, "a");
    p->running = g_spawn_async_with_fds(
        NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, kill_with_parent, NULL,
        &p->pid, -1, fileno(f), fileno(f), &error);
    fclose(f);
    p->frozen = false;
    if (!p->running)
        g_string_append_printf(s->error_text, "%s: %s; ", p->name,
                               error->message);
    g_clear_error(&error);
    return p->running;
}

void site_signal(Proc *p, int signal)
{
    if (!p->running)
        return;
    kill(p->pid, signal);
    p->frozen = signal == SIGSTOP || (p->frozen && signal != SIGCONT);
    if (signal == SIGKILL) {
        waitpid(p->pid, NULL, 0);
        p->running = false;
    }
}

bool site_process_exited(Proc *p)
{
    if (p->running && waitpid(p->pid, NULL, WNOHANG) == p->pid)
        p->running = false;
    return !p->running;
}

void site_run_loop(Site *s, int ms)
{
    struct timeval after = { ms / 1000, ms % 1000 * 1000 };
    event_base_loopexit(s->base, &after);
    event_base_loop(s->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

typedef struct Fetch {
    GString *text;
    int status;
    bool done;
} Fetch;

static void on_fetched(void *arg, int status, WPStr body)
{
    Fetch *f = arg;
    f->status = status;
    g_string_append_len(f->text, body.p, (gssize)body.n);
    f->done = true;
}

static GString *fetch(Site *s, uint16_t port, const char *path,
                      const char *body)
{
    Fetch f = { g_string_new(NULL), 0, false };
    g_autofree char *target = g_strdup_printf("127.0.0.1:%u", port);
    WPHttp *h = wp_http_new(s->base, target, 2000);
    wp_http_call(h, path, body, on_fetched, NULL, &f);
    while (!f.done)
        event_base_loop(s->base, EVLOOP_ONCE);
    wp_http_free(h);
    if (f.status == 200)
        return f.text;
    g_string_free(f.text, TRUE);
    return NULL;
}

json_t *site_fetch(Site *s, uint16_t port, const char *path, const char *body)
{
    GString *t = fetch(s, port, path, body);
    json_t *j = t ? json_loadb(t->str, t->len, 0, NULL) : NULL;
    if (t)
        g_string_free(t, TRUE);
    return j;
}

char *site_fetch_text(Site *s, uint16_t port, const char *path)
{
    GString *t = fetch(s, port, path, NULL);
    return t ? g_string_free(t, FALSE) : NULL;
}

void site_announce_box(Site *s, const Proc *p, const char *state)
{
    g_autofree char *body = g_strdup_printf(
        "{\"id\":\"%s\",\"addr\":\"127.0.0.1\",\"port\":%u,\"state\":\"%s\"}",
        p->name, p->peer_port, state);
    json_decref(site_fetch(s, site_proc(s, "boxes")->port, "/v1/boxes", body));
}

static char **ctl_argv(Site *s, const char *words)
{
    g_autofree char *line = g_strdup_printf(
        "%s/wpctl --store 127.0.0.1:%u --admin 127.0.0.1:%u --charts charts "
        "%s",
        s->bin, site_proc(s, "kv")->port, site_proc(s, "e1")->admin_port,
        words);
    char **argv = NULL;
    g_shell_parse_argv(line, NULL, &argv, NULL);
    return argv;
}

GPid site_ctl_start(Site *s, const char *words)
{
    g_auto(GStrv) argv = ctl_argv(s, words);
    g_autofree char *log = g_strdup_printf("%s/ctl.log", s->folder);
    FILE *f = fopen(log, "a");
    GPid pid = 0;
    g_spawn_async_with_fds(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL,
                           NULL, &pid, -1, fileno(f), fileno(f), NULL);
    fclose(f);
    return pid;
}

/* The load generator keeps running meanwhile. */
int site_ctl_wait(Site *s, GPid pid)
{
    int status = -1;
    while (pid && waitpid(pid, &status, WNOHANG) == 0)
        site_run_loop(s, 5);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int site_ctl(Site *s, const char *words, char **output)
{
    g_autofree char *log = g_strdup_printf("%s/ctl.log", s->folder);
    unlink(log);
    int code = site_ctl_wait(s, site_ctl_start(s, words));
    if (output)
        g_file_get_contents(log, output, NULL, NULL);
    return code;
}

static bool all_ready(Site *s)
{
    for (guint i = 0; i < s->procs->len; i++) {
        Proc *p = s->procs->pdata[i];
        if (!strcmp(p->program, "wpstand"))
            continue;
        json_t *j = site_fetch(s, p->admin_port, "/v1/status", NULL);
        bool ready = json_is_true(json_object_get(j, "ready")) &&
                     json_integer_value(json_object_get(j, "boxes")) >=
                         s->plan->entries + s->plan->agents;
        json_decref(j);
        if (!ready)
            return false;
    }
    return true;
}

static bool wait_until(Site *s, bool (*test)(Site *), double seconds)
{
    int64_t until = g_get_monotonic_time() + (int64_t)(seconds * WP_US_PER_S);
    while (!test(s)) {
        if (g_get_monotonic_time() > until)
            return false;
        site_run_loop(s, 20);
    }
    return true;
}

static bool kv_up(Site *s)
{
    json_t *j = site_fetch(s, site_proc(s, "kv")->port, "/control", "{}");
    json_t *b = site_fetch(s, site_proc(s, "boxes")->port, "/v1/boxes", NULL);
    bool up = j && b;
    json_decref(j);
    json_decref(b);
    return up;
}

bool site_start_all(Site *s)
{
    for (guint i = 0; i < s->procs->len; i++) {
        Proc *p = s->procs->pdata[i];
        if (!strcmp(p->program, "wpstand") && !site_start(s, p))
            return false;
    }
    g_autofree char *apply = g_strdup_printf("apply -f %s", s->plan->rules);
    if (!wait_until(s, kv_up, 10) || site_ctl(s, apply, NULL) != 0) {
        g_string_append(s->error_text, "the rules could not be applied; ");
        return false;
    }
    for (guint i = 0; i < s->procs->len; i++) {
        Proc *p = s->procs->pdata[i];
        if (!strcmp(p->program, "wpstand"))
            continue;
        site_announce_box(s, p, "live");
        if (!site_start(s, p))
            return false;
    }
    if (wait_until(s, all_ready, 20))
        return true;
    g_string_append(s->error_text, "not all processes became ready; ");
    return false;
}

bool site_load(Site *s, const char *file, double seconds, double rate)
{
    g_autofree char *text = NULL;
    g_autofree char *ratings =
        g_strdup_printf("127.0.0.1:%u", site_proc(s, "ratings")->port);
    gsize n;
    GError *error = NULL;
    if (g_file_get_contents(file, &text, &n, &error))
        s->mix = (Wp__Mix *)wp_yaml_read(&wp__mix__descriptor, wp_strn(text, n),
                                         file, &error);
    if (!s->mix) {
        g_string_append_printf(s->error_text, "%s; ", error->message);
        g_clear_error(&error);
        return false;
    }
    s->mix->seconds = seconds;
    s->mix->seed = s->plan->seed;
    if (rate > 0)
        s->mix->rate = rate;
    g_auto(GStrv) entries = g_new0(char *, s->plan->entries + 1);
    for (unsigned i = 0; i < s->plan->entries; i++) {
        g_autofree char *name = g_strdup_printf("e%u", i + 1);
        entries[i] = g_strdup_printf("127.0.0.1:%u", site_proc(s, name)->port);
    }
    s->load =
        load_new(s->base, s->mix, entries, s->plan->entries, ratings, NULL);
    load_start(s->load);
    return true;
}

char *site_sanitizer_report(Site *s)
{
    static const char *const words[] = { "AddressSanitizer", "LeakSanitizer",
                                         "runtime error", "CRITICAL" };
    for (guint i = 0; i < s->procs->len; i++) {
        const Proc *p = s->procs->pdata[i];
        g_autofree char *file =
            g_strdup_printf("%s/%s.log", s->folder, p->name);
        g_autofree char *text = NULL;
        g_file_get_contents(file, &text, NULL, NULL);
        for (size_t k = 0; text && k < WP_COUNT(words); k++) {
            const char *at = strstr(text, words[k]);
            if (at)
                return g_strdup_printf("%s: %.2000s", p->name, at);
        }
    }
    return NULL;
}

static void remove_folder(const char *folder)
{
    GDir *d = g_dir_open(folder, 0, NULL);
    const char *name;
    while (d && (name = g_dir_read_name(d))) {
        g_autofree char *path = g_build_filename(folder, name, NULL);
        unlink(path);
    }
    if (d)
        g_dir_close(d);
    rmdir(folder);
}

void site_free(Site *s)
{
    for (guint i = 0; i < s->procs->len; i++) {
        Proc *p = s->procs->pdata[i];
        site_signal(p, SIGKILL);
        g_free(p->name);
        g_free(p->config);
        g_free(p);
    }
    load_free(s->load);
    wp_pb_free(s->mix);
    for (guint i = 0; i < s->marks->len; i++)
        g_free(g_array_index(s->marks, Mark, i).name);
    g_array_unref(s->marks);
    g_ptr_array_unref(s->procs);
    if (!g_getenv("WP_KEEP"))
        remove_folder(s->folder);
    g_free(s->folder);
    g_free(s->bin);
    g_string_free(s->error_text, TRUE);
    event_base_free(s->base);
    ports_end(&s->ports);
    g_free(s);
}
