/* wpsoak: a randomized soak test of direct mode. The real programs run as
 * separate processes on loopback. Faults are injected from outside: proxies
 * that delay or reset connections, forward one direction only or nothing;
 * processes that are killed, paused, stopped and restarted; a store that is
 * down, sends no watch events, drops its history or loses answers; endpoints
 * that abort answers, refuse requests, fail or never answer. Faults come in
 * series and overlap, while callers keep sending requests on persistent
 * connections.
 *
 * Checked during and after the run, by what callers and endpoints see:
 *   - a non-repeatable request runs at most once;
 *   - 408, 421, 429 and 503 are sent only for requests that have not run;
 *   - each answer belongs to its request, and is complete or visibly aborted;
 *   - streams have each event once and in order;
 *   - an endpoint never sees a caller's key or fields reserved to the router;
 *   - a box that has served a route never answers 404 for it again;
 *   - after the faults every box serves again;
 *   - with --moves (soak_shift.c): a bad version gets few requests, is rolled
 *     back in time, and no shift to it is completed;
 *   - with --zones (soak_zone.c): nothing runs in an evacuated zone, and
 *     no cold endpoint gets more than it can serve;
 *   - with --crashing (soak_crash.c): a request that crashes endpoints crashes
 *     few of them, and other callers are served;
 *   - with --limits (soak_limit.c): endpoints that report a rate limit get no
 *     more than that, and the limit is used;
 *   - with --notices (soak_notice.c): endpoints that are draining or ask for
 *     back-off get no requests, and others serve;
 *   - with --retries (soak_retry.c): all entries together keep to the retry
 *     budget;
 *   - with --restores (soak_restore.c): changes are in force in time around
 *     restores of the store from older copies;
 *   - with --changes (soak_change.c): changes are in force in time; prints how
 *     long they take.
 *
 *   wpsoak [--seeds 1,2,3] [--seconds 6] [--entries 3] [--replicas 4]
 *          [--callers 8] [--moves alone|beside] [--zones] [--crashing]
 *          [--limits] [--notices] [--retries]
 *          [--restores] [--changes] */
#include "soak_case.h"

#include <signal.h>
#include <stdio.h>
#include <unistd.h>

enum {
    CALLER_READ_S = 25, /* longer than the timeout of any route */
    RECOVER_S = 15,     /* after the faults, until every entry serves */
    STEP_MIN_MS = 60,   /* between two faults */
    STEP_MAX_MS = 350,
    /* Between a caller's requests with SOAK_PACE_ALL: 8 callers send nearly 200
       a second. */
    REQUEST_INTERVAL_MS = 40,
    FAULTS_MAX = 64
};

static char *moves; /* NULL: none; "alone" or "beside" other faults */
/* The case that was chosen; NULL: only the other faults. */
static const SoakCaseOps *case_ops;
static int seconds = 6, entries = 3, replicas = 4, callers = 8;

/* The result of one request as its caller saw it. */
typedef struct RequestOutcome {
    char id[24];
    bool non_repeatable;
    int status;
    int64_t sent_ms;  /* monotonic clock */
    bool cut_by_kill; /* no answer, on a connection of an entry's process
                         that was killed */
} RequestOutcome;

typedef struct Soak {
    TestCluster *cluster;
    GMutex lock;
    GArray *outcomes;               /* RequestOutcome */
    GString *problems;              /* a line each */
    gint stop, incarnations[64];    /* of each entry's process */
    gint new_route_incarnation[64]; /* of each entry, the last
                                  one that served the new route */
    uint32_t seed;
    SoakCase *special; /* NULL: none */
} Soak;

typedef struct Caller {
    Soak *soak;
    unsigned number;
    GRand *rand;
    int fd;
    gint fd_incarnation; /* of the entry, when `fd` was connected */
    unsigned entry, sent;
} Caller;

static void report_problem(Soak *s, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void report_problem(Soak *s, const char *format, ...)
{
    va_list ap;
    va_start(ap, format);
    g_mutex_lock(&s->lock);
    g_string_append(s->problems, "    ");
    g_string_append_vprintf(s->problems, format, ap);
    g_string_append_c(s->problems, '\n');
    g_mutex_unlock(&s->lock);
    va_end(ap);
}

/* Whether a stream's body consists of events of this request, from 1 on without
   a gap. */
static bool is_stream_of(const char *id, const GString *body)
{
    g_auto(GStrv) events = g_strsplit(body->str, "\n\n", -1);
    for (unsigned n = 0; events[n] && *events[n]; n++) {
        g_autofree char *expected =
            g_strdup_printf("id: %u\ndata: %s-%u", n + 1, id, n + 1);
        if (strcmp(events[n], expected))
            return false;
    }
    return true;
}

static void check_answer(Caller *c, const char *target, const ClusterAnswer *a)
{
    Soak *s = c->soak;
    g_autofree char *expected_body = g_strdup_printf("ran %s\n", a->id);
    bool stream = g_str_has_prefix(target, "/stream/");
    if (a->status == 200 && a->complete && !stream &&
        strcmp(a->body->str, expected_body))
        report_problem(s, "%s: wrong body: %.40s", a->id, a->body->str);
    if (a->status == 200 && a->complete && stream &&
        !is_stream_of(a->id, a->body))
        report_problem(s, "%s: events missing or duplicated: %.200s", a->id,
                       a->body->str);
    if (a->status == 401)
        report_problem(s, "%s: its key was rejected", a->id);
}

/* Within one incarnation an entry must not answer 404 for a route that it has
   served. */
static void check_route(Caller *c, int status, gint incarnation)
{
    Soak *s = c->soak;
    gint *new_route_incarnation = &s->new_route_incarnation[c->entry];
    bool same = g_atomic_int_get(&s->incarnations[c->entry]) == incarnation;
    if (status == 200 && same)
        g_atomic_int_set(new_route_incarnation, incarnation);
    if (status == 404 && same &&
        g_atomic_int_get(new_route_incarnation) == incarnation)
        report_problem(s, "entry %u: went back to an older configuration",
                       c->entry);
}

static void record_outcome(Soak *s, const ClusterAnswer *a, bool non_repeatable,
                           int64_t sent_us, bool killed)
{
    RequestOutcome outcome = { .non_repeatable = non_repeatable,
                               .status = a->status,
                               .sent_ms = sent_us / WP_US_PER_MS,
                               .cut_by_kill = killed && !a->status };
    g_strlcpy(outcome.id, a->id, sizeof(outcome.id));
    g_mutex_lock(&s->lock);
    g_array_append_val(s->outcomes, outcome);
    g_mutex_unlock(&s->lock);
}

static bool uses_one_entry(const Soak *s)
{
    return case_ops && case_ops->uses_one_entry &&
           case_ops->uses_one_entry(s->special);
}

static unsigned choose_entry(Caller *c)
{
    if (uses_one_entry(c->soak))
        return 0;
    return (unsigned)g_rand_int_range(c->rand, 0, entries);
}

static void send_request(Caller *c)
{
    static const char *const targets[] = { "/call/x", "/once/x", "/stream/x",
                                           "/new/x" };
    unsigned k = (unsigned)g_rand_int_range(c->rand, 0, WP_COUNT(targets));
    gint incarnation = g_atomic_int_get(&c->soak->incarnations[c->entry]);
    if (c->fd < 0)
        c->fd_incarnation = incarnation;
    ClusterAnswer a = { .fd = c->fd, .body = g_string_new(NULL) };
    g_snprintf(a.id, sizeof(a.id), SOAK_REQUEST_ID, c->entry, c->number,
               ++c->sent);
    int64_t sent_us = g_get_monotonic_time();
    cluster_exchange(&a, cluster_entry_port(c->soak->cluster, c->entry),
                     k == 1 ? "POST" : "GET", targets[k]);
    c->fd = a.fd;
    if (k == 3)
        check_route(c, a.status, incarnation);
    else
        check_answer(c, targets[k], &a);
    bool killed =
        g_atomic_int_get(&c->soak->incarnations[c->entry]) != c->fd_incarnation;
    record_outcome(c->soak, &a, k == 1, sent_us, killed);
    if (a.closed || !a.complete) {
        cluster_answer_release(&a);
        c->fd = -1;
        c->entry = choose_entry(c);
    }
    if (a.body)
        g_string_free(a.body, TRUE);
    SoakPace pace = case_ops ? case_ops->pace : SOAK_PACE_NONE;
    bool backs_off = pace == SOAK_PACE_ERRORS && a.status != 200;
    if (!a.status || backs_off)
        g_usleep(STEP_MIN_MS * WP_US_PER_MS);
    if (pace == SOAK_PACE_ALL)
        g_usleep(REQUEST_INTERVAL_MS * WP_US_PER_MS);
}

static gpointer run_caller(gpointer arg)
{
    Caller *c = arg;
    while (!g_atomic_int_get(&c->soak->stop))
        send_request(c);
    return NULL;
}

/* Each fault is set and, after a while, ended. */
typedef enum FaultKind {
    STORE_PROXY,
    REPLICA_PROXY,
    REPLICA_FAULT,
    STORE_FAULT,
    PAUSE,
    KILL,
    STOP,
    REPLICA_KILL,
    FAULT_KINDS
} FaultKind;

typedef struct Fault {
    FaultKind kind;
    unsigned at;
    int64_t until_us;
} Fault;

static const char *const proxy_faults[] = {
    "{\"mode\":\"silent\"}", "{\"mode\":\"in\"}", "{\"mode\":\"out\"}",
    "{\"mode\":\"reset\"}", "{\"delay_ms\":80}"
};
static const char *const replica_faults[] = {
    "{\"cut\":0.3}", "{\"refuse\":0.5}", "{\"fail\":0.4}", "{\"mute\":0.2}",
    "{\"delay_ms\":200}"
};
static const char *const store_faults[] = {
    "{\"down\":\"silent\"}", "{\"down\":\"busy\"}", "{\"down\":\"reset\"}",
    "{\"deaf\":true}",       "{\"compact\":true}",  "{\"lose_answers\":0.5}"
};

static const char *pick_string(GRand *r, const char *const *list, size_t n)
{
    return list[g_rand_int_range(r, 0, (gint32)n)];
}

static void restart_entry(Soak *s, unsigned at)
{
    g_atomic_int_inc(&s->incarnations[at]);
    cluster_restart_entry(s->cluster, at);
}

static SoakFaults other_faults(void)
{
    if (!case_ops)
        return SOAK_FAULTS_ALL;
    return g_strcmp0(moves, "alone") ? case_ops->other_faults
                                     : SOAK_FAULTS_NONE;
}

/* With evacuations only restarts: each box must be able to learn of an order in
   time, which the other faults may prevent. */
static FaultKind pick_fault_kind(GRand *r)
{
    static const FaultKind starts[] = { KILL, REPLICA_KILL, REPLICA_KILL };
    if (other_faults() == SOAK_FAULTS_RESTARTS)
        return starts[g_rand_int_range(r, 0, WP_COUNT(starts))];
    return (FaultKind)g_rand_int_range(r, 0, FAULT_KINDS);
}

static void begin_fault(Soak *s, Fault *f, GRand *r)
{
    bool of_replica = f->kind == REPLICA_PROXY || f->kind == REPLICA_FAULT ||
                      f->kind == REPLICA_KILL;
    f->at = (unsigned)g_rand_int_range(r, 0, of_replica ? replicas : entries);
    switch (f->kind) {
    case STORE_PROXY:
        cluster_set_store_proxy(
            s->cluster, f->at,
            pick_string(r, proxy_faults, WP_COUNT(proxy_faults)));
        break;
    case REPLICA_PROXY:
        cluster_set_replica_proxy(
            s->cluster, f->at,
            pick_string(r, proxy_faults, WP_COUNT(proxy_faults)));
        break;
    case REPLICA_FAULT:
        cluster_try_replica_faults(
            s->cluster, f->at,
            pick_string(r, replica_faults, WP_COUNT(replica_faults)));
        break;
    case STORE_FAULT:
        cluster_control_store(
            s->cluster, pick_string(r, store_faults, WP_COUNT(store_faults)));
        break;
    case PAUSE:
        cluster_signal_entry(s->cluster, f->at, SIGSTOP);
        break;
    case KILL:
        restart_entry(s, f->at);
        break;
    case STOP:
        cluster_signal_entry(s->cluster, f->at, SIGTERM);
        break;
    case REPLICA_KILL:
        cluster_restart_replica(s->cluster, f->at);
        break;
    case FAULT_KINDS:
        break;
    }
}

static void end_fault(Soak *s, const Fault *f)
{
    static const char pass[] = "{\"mode\":\"pass\",\"delay_ms\":0}";
    switch (f->kind) {
    case STORE_PROXY:
        cluster_set_store_proxy(s->cluster, f->at, pass);
        break;
    case REPLICA_PROXY:
        cluster_set_replica_proxy(s->cluster, f->at, pass);
        break;
    case REPLICA_FAULT:
        cluster_try_replica_faults(
            s->cluster, f->at,
            "{\"cut\":0,\"refuse\":0,\"fail\":0,\"mute\":0,"
            "\"delay_ms\":5}");
        break;
    case STORE_FAULT:
        cluster_control_store(
            s->cluster, "{\"down\":\"\",\"deaf\":false,\"lose_answers\":0}");
        break;
    case PAUSE:
        cluster_signal_entry(s->cluster, f->at, SIGCONT);
        break;
    case STOP:
        cluster_signal_entry(s->cluster, f->at, SIGCONT);
        restart_entry(s, f->at);
        break;
    case KILL:
    case REPLICA_KILL:
    case FAULT_KINDS:
        break;
    }
}

static void end_due_faults(Soak *s, GArray *faults, int64_t now_us)
{
    for (guint i = 0; i < faults->len;) {
        Fault f = g_array_index(faults, Fault, i);
        if (f.until_us > now_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(faults, i);
        end_fault(s, &f);
    }
}

static void on_restart_entry(void *arg, unsigned entry)
{
    restart_entry(arg, entry);
}

/* Callers may report problems meanwhile. */
static void tick_special(Soak *s)
{
    g_autoptr(GString) found = g_string_new(NULL);
    s->special->ops->tick(s->special, found);
    g_mutex_lock(&s->lock);
    g_string_append(s->problems, found->str);
    g_mutex_unlock(&s->lock);
}

static void run_faults(Soak *s)
{
    GRand *r = g_rand_new_with_seed(s->seed);
    g_autoptr(GArray) faults = g_array_new(FALSE, FALSE, sizeof(Fault));
    int64_t end_us = g_get_monotonic_time() + seconds * WP_US_PER_S;
    bool changed = false;
    while (g_get_monotonic_time() < end_us) {
        int64_t now_us = g_get_monotonic_time();
        Fault f = { .kind = pick_fault_kind(r) };
        f.until_us = now_us + g_rand_int_range(r, 100, 2500) * WP_US_PER_MS;
        end_due_faults(s, faults, now_us);
        if (s->special)
            tick_special(s);
        if (other_faults() != SOAK_FAULTS_NONE && faults->len < FAULTS_MAX) {
            begin_fault(s, &f, r);
            g_array_append_val(faults, f);
        }
        if (!changed && !(case_ops && case_ops->writes_config) &&
            end_us - now_us < seconds * WP_US_PER_S / 2) {
            cluster_write_config(s->cluster, 2, "/new/");
            changed = true;
        }
        g_usleep((gulong)g_rand_int_range(r, STEP_MIN_MS, STEP_MAX_MS) *
                 WP_US_PER_MS);
    }
    end_due_faults(s, faults, INT64_MAX);
    g_rand_free(r);
}

/* Request id -> number of its runs, from the endpoints' run log. */
static GHashTable *read_runs(Soak *s)
{
    GHashTable *runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_autofree char *file =
        g_build_filename(cluster_folder(s->cluster), "runs", NULL);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return runs;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l; l++) {
        char *space = strchr(*l, ' ');
        if (!space)
            continue;
        *space = '\0';
        int n = GPOINTER_TO_INT(g_hash_table_lookup(runs, *l));
        g_hash_table_replace(runs, g_strdup(*l), GINT_TO_POINTER(n + 1));
    }
    return runs;
}

static bool means_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Checks the runs against the answers; returns the number of answers with
   status 200. */
static unsigned check_runs(Soak *s)
{
    g_autoptr(GHashTable) runs = read_runs(s);
    unsigned served = 0;
    for (guint i = 0; i < s->outcomes->len; i++) {
        const RequestOutcome *outcome =
            &g_array_index(s->outcomes, RequestOutcome, i);
        int n = GPOINTER_TO_INT(g_hash_table_lookup(runs, outcome->id));
        if (outcome->non_repeatable && n > 1)
            report_problem(s, "%s: ran %d times", outcome->id, n);
        if (means_not_run(outcome->status) && n > 0)
            report_problem(s, "%s: refused with %d, but it ran", outcome->id,
                           outcome->status);
        served += outcome->status == 200;
    }
    return served;
}

/* Number of requests that were cut by kills of their entries. */
static unsigned count_cut_by_kills(const Soak *s)
{
    unsigned n = 0;
    for (guint i = 0; i < s->outcomes->len; i++)
        n += g_array_index(s->outcomes, RequestOutcome, i).cut_by_kill;
    return n;
}

/* How many requests got each status, as text; 0 stands for no answer. */
static char *statuses_text(const Soak *s)
{
    enum { STATUS_END = 600 };
    unsigned counts[STATUS_END] = { 0 };
    GString *text = g_string_new("statuses");
    for (guint i = 0; i < s->outcomes->len; i++) {
        int status = g_array_index(s->outcomes, RequestOutcome, i).status;
        if (status >= 0 && status < STATUS_END)
            counts[status]++;
    }
    for (int i = 0; i < STATUS_END; i++)
        if (counts[i])
            g_string_append_printf(text, " %d=%u", i, counts[i]);
    return g_string_free(text, FALSE);
}

/* When the requests to existing routes were sent (int64_t, ms): /new/ is added
   in the middle of a run, and answered with 404 before. */
static GArray *routed_sent_ms(const Soak *s)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (guint i = 0; i < s->outcomes->len; i++) {
        const RequestOutcome *o =
            &g_array_index(s->outcomes, RequestOutcome, i);
        if (o->status != 404)
            g_array_append_val(out, o->sent_ms);
    }
    return out;
}

/* Checks that every entry serves requests within 15 s after the faults. */
static void check_recovery(Soak *s)
{
    int64_t end_us = g_get_monotonic_time() + RECOVER_S * WP_US_PER_S;
    for (unsigned e = 0; e < (unsigned)entries; e++) {
        int status = 0;
        while (status != 200 && g_get_monotonic_time() < end_us) {
            ClusterAnswer a =
                cluster_request(s->cluster, e, "GET", "/new/x", NULL);
            status = a.status;
            cluster_answer_release(&a);
            if (status != 200)
                g_usleep(STEP_MIN_MS * WP_US_PER_MS);
        }
        if (status != 200)
            report_problem(s, "entry %u does not serve again: %d", e, status);
    }
}

static TestCluster *start_cluster(uint32_t seed)
{
    if (case_ops && case_ops->start)
        return case_ops->start(seed, (unsigned)entries, (unsigned)replicas);
    return cluster_new((unsigned)entries, (unsigned)replicas);
}

/* One run; prints its result and returns whether no check failed. */
static bool run_seed(uint32_t seed)
{
    Soak s = { .seed = seed };
    Caller *all_callers = g_new0(Caller, callers);
    GThread **threads = g_new0(GThread *, callers);
    s.cluster = start_cluster(seed);
    s.outcomes = g_array_new(FALSE, FALSE, sizeof(RequestOutcome));
    s.problems = g_string_new(NULL);
    g_mutex_init(&s.lock);
    for (int i = 0; i < entries; i++)
        s.incarnations[i] = 1;
    const SoakSetup setup = { .cluster = s.cluster,
                              .seed = seed,
                              .seconds = seconds,
                              .entries = (unsigned)entries,
                              .replicas = (unsigned)replicas,
                              .restart_entry = on_restart_entry,
                              .arg = &s };
    if (case_ops)
        s.special = case_ops->create(&setup);
    bool single_entry = uses_one_entry(&s);
    for (int i = 0; i < callers; i++) {
        all_callers[i] =
            (Caller){ .soak = &s,
                      .number = (unsigned)i,
                      .rand = g_rand_new_with_seed(seed * 1000 + (uint32_t)i),
                      .fd = -1,
                      .entry = single_entry ? 0 : (unsigned)(i % entries) };
        threads[i] = g_thread_new("caller", run_caller, &all_callers[i]);
    }
    run_faults(&s);
    check_recovery(&s);
    g_atomic_int_set(&s.stop, 1);
    for (int i = 0; i < callers; i++) {
        g_thread_join(threads[i]);
        g_rand_free(all_callers[i].rand);
        if (all_callers[i].fd >= 0)
            close(all_callers[i].fd);
    }
    unsigned served = check_runs(&s);
    if (cluster_count_field_violations(s.cluster))
        report_problem(&s,
                       "an endpoint got a caller's key or a reserved field");
    g_autoptr(GArray) sent_ms = routed_sent_ms(&s);
    const SoakTotals totals = { sent_ms->len, served, count_cut_by_kills(&s),
                                sent_ms };
    g_autofree char *summary =
        s.special ? case_ops->end(s.special, &totals, s.problems)
                  : g_strdup("no special case");
    g_autofree char *statuses = statuses_text(&s);
    bool ok = !s.problems->len;
    printf("seed %u: %s, %u requests, %u served, %s, %s\n%s", seed,
           ok ? "ok" : "FAILED", s.outcomes->len, served, summary, statuses,
           s.problems->str);
    cluster_free(s.cluster);
    g_array_unref(s.outcomes);
    g_string_free(s.problems, TRUE);
    g_mutex_clear(&s.lock);
    g_free(threads);
    g_free(all_callers);
    return ok;
}

static const SoakCaseOps *const all_cases[] = {
    &soak_shift_ops,  &soak_zone_ops,  &soak_crash_ops,   &soak_limit_ops,
    &soak_notice_ops, &soak_retry_ops, &soak_restore_ops, &soak_change_ops
};

/* Adds the option of each case, which sets its member of `chosen`; that of
   shifts has a value. */
static void add_case_options(GOptionContext *c, gboolean *chosen)
{
    g_autofree GOptionEntry *options =
        g_new0(GOptionEntry, WP_COUNT(all_cases) + 1);
    for (size_t i = 0; i < WP_COUNT(all_cases); i++) {
        const SoakCaseOps *ops = all_cases[i];
        options[i] = (GOptionEntry){ .long_name = ops->option,
                                     .arg = G_OPTION_ARG_NONE,
                                     .arg_data = &chosen[i],
                                     .description = ops->help };
        if (ops != &soak_shift_ops)
            continue;
        options[i].arg = G_OPTION_ARG_STRING;
        options[i].arg_data = &moves;
        options[i].arg_description = "alone|beside";
    }
    g_option_context_add_main_entries(c, options, NULL);
}

/* Sets the case that was chosen. Returns false if there is more than one. */
static bool choose_case(const gboolean *chosen)
{
    for (size_t i = 0; i < WP_COUNT(all_cases); i++) {
        if (!chosen[i] && !(moves && all_cases[i] == &soak_shift_ops))
            continue;
        if (case_ops)
            return false;
        case_ops = all_cases[i];
    }
    return true;
}

int main(int argc, char **argv)
{
    g_autofree char *seeds = NULL;
    unsigned passed = 0, failed = 0;
    gboolean chosen[WP_COUNT(all_cases)] = { 0 };
    const GOptionEntry options[] = {
        { "seeds", 0, 0, G_OPTION_ARG_STRING, &seeds, "one run per seed",
          "LIST" },
        { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "duration of the faults",
          "N" },
        { "entries", 0, 0, G_OPTION_ARG_INT, &entries, "64 at most", "N" },
        { "replicas", 0, 0, G_OPTION_ARG_INT, &replicas, "endpoints", "N" },
        { "callers", 0, 0, G_OPTION_ARG_INT, &callers, "threads", "N" },
        { NULL, 0, 0, 0, NULL, NULL, NULL }
    };
    g_autoptr(GOptionContext) c = g_option_context_new(NULL);
    g_option_context_add_main_entries(c, options, NULL);
    add_case_options(c, chosen);
    if (!g_option_context_parse(c, &argc, &argv, NULL) || entries < 1 ||
        (moves && strcmp(moves, "alone") && strcmp(moves, "beside")) ||
        !choose_case(chosen) || entries > 64 || replicas < 1 || callers < 1)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    setvbuf(stdout, NULL, _IOLBF, 0);
    g_auto(GStrv) list = g_strsplit(seeds ? seeds : "1", ",", -1);
    for (char **l = list; *l; l++) {
        bool ok = run_seed((uint32_t)g_ascii_strtoull(*l, NULL, 10));
        passed += ok;
        failed += !ok;
    }
    printf("%u passed, %u failed\n", passed, failed);
    return failed ? 1 : 0;
}
