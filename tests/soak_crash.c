/* Soak test of requests that crash endpoints. Some callers send such a request
 * again and again to random entries; each endpoint that begins to run it
 * crashes and is restarted after some seconds. The seed chooses whether it is a
 * call, a non-repeatable request or a stream that crashes the endpoint after
 * its first event; whether there are one or two such requests; whether all
 * entries are killed meanwhile; and whether the store is unavailable at the
 * start. Checked at the end: by the endpoints' run log, few endpoints crashed,
 * and hardly any such request was sent after that; by the other callers'
 * answers, they were served.
 *
 * Guards against one request crashing many endpoints. */
#include "soak_case.h"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

enum {
    REQUESTS_MAX = 2,
    SEND_EVERY_MS = 300,
    FAST_FROM_SEED = 100, /* seeds from here on: requests are sent faster, and
                            each runs for a random time before it crashes */
    FAST_EVERY_MS = 100,
    FAST_RUN_MAX_MS = 400,
    RESTART_MIN_MS = 1500, /* from an endpoint's crash to its restart */
    RESTART_MAX_MS = 2500,
    UNREGISTER_MS = 1200, /* from a crash to the removal from the registry */
    KILL_AFTER_MS = 4000,
    STORE_DOWN_MS = 3000,
    /* Of the requests that arrive later than this after the third crash, three
       are allowed. */
    PROPAGATION_MS = 3000,
    CRASHES_KNOWN = 3,
    LATE_REQUESTS_MAX = 3,
    CRASHES_MAX = 5, /* endpoints that one request may crash */
    LOG_WORDS = 4    /* of a line of the run log: kind, body, ms, endpoint */
};

#define SERVED_MIN 0.98

/* State of a replica between its crash and its restart. */
typedef struct Outage {
    bool down, registered;
    int64_t unregister_ms, restart_ms;
} Outage;

/* One crashing request, and the thread that sends it. */
typedef struct SoakCrash SoakCrash;

typedef struct CrashRequest {
    SoakCrash *soak;
    char body[24];
    GRand *rand;
    GThread *thread;
    unsigned sent;
    unsigned answered[6]; /* by the first digit of the status; 0: no answer */
} CrashRequest;

struct SoakCrash {
    SoakCase base;
    TestCluster *cluster;
    GRand *rand;
    unsigned entries, replicas, n_requests, interval_ms;
    const char *target;
    CrashRequest requests[REQUESTS_MAX];
    Outage *outages; /* of each replica */
    bool kills, store_down, killed;
    int64_t start_ms, store_up_ms;
    gint stop;
};

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

static gpointer run_sender(gpointer arg)
{
    CrashRequest *b = arg;
    SoakCrash *c = b->soak;
    while (!g_atomic_int_get(&c->stop)) {
        unsigned entry = (unsigned)g_rand_int_range(b->rand, 0, c->entries);
        ClusterAnswer a = { .fd = -1, .body = g_string_new(NULL) };
        g_snprintf(a.id, sizeof(a.id), "%s.%u", b->body, ++b->sent);
        cluster_exchange_body(&a, cluster_entry_port(c->cluster, entry), "POST",
                              c->target, b->body);
        b->answered[a.status / 100]++;
        cluster_answer_release(&a);
        g_usleep(c->interval_ms * WP_US_PER_MS);
    }
    return NULL;
}

/* The body tells the stand-in to crash, and for how many ms to run before it
   does. */
static void make_body(CrashRequest *b, unsigned i, uint32_t seed)
{
    if (seed < FAST_FROM_SEED)
        g_snprintf(b->body, sizeof(b->body), "crash-%u", i);
    else
        g_snprintf(b->body, sizeof(b->body), "crash-%u-%d", i,
                   g_rand_int_range(b->rand, 0, FAST_RUN_MAX_MS));
}

static SoakCase *create(const SoakSetup *setup)
{
    static const char *const targets[] = { "/call/x", "/stream/x", "/once/x" };
    SoakCrash *c = g_new0(SoakCrash, 1);
    c->base = (SoakCase){ &soak_crash_ops, *setup };
    c->cluster = setup->cluster;
    c->rand = g_rand_new_with_seed(setup->seed);
    c->entries = setup->entries;
    c->replicas = setup->replicas;
    c->target = targets[setup->seed % WP_COUNT(targets)];
    c->n_requests = setup->seed % 4 == 1 ? REQUESTS_MAX : 1;
    c->kills = setup->seed % 2 == 0;
    c->store_down = setup->seed % 5 == 0;
    c->interval_ms =
        setup->seed < FAST_FROM_SEED ? SEND_EVERY_MS : FAST_EVERY_MS;
    c->outages = g_new0(Outage, setup->replicas);
    c->start_ms = now_ms();
    for (unsigned i = 0; i < c->n_requests; i++) {
        CrashRequest *b = &c->requests[i];
        b->soak = c;
        b->rand = g_rand_new_with_seed(setup->seed * 10 + i);
        make_body(b, i, setup->seed);
        b->thread = g_thread_new("bad", run_sender, b);
    }
    return &c->base;
}

static char *read_run_log(const SoakCrash *c)
{
    g_autofree char *file =
        g_build_filename(cluster_folder(c->cluster), "runs", NULL);
    char *text = NULL;
    return g_file_get_contents(file, &text, NULL, NULL) ? text : g_strdup("");
}

/* Times in ms of the run log's lines of the kind `what` for a body, in order.
 */
static GArray *find_times(const SoakCrash *c, const char *what,
                          const char *body)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(int64_t));
    g_autofree char *text = read_run_log(c);
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l; l++) {
        g_auto(GStrv) word = g_strsplit(*l, " ", LOG_WORDS);
        if (g_strv_length(word) < LOG_WORDS || strcmp(word[0], what) ||
            strcmp(word[1], body))
            continue;
        int64_t ms = atoll(word[2]);
        g_array_append_val(list, ms);
    }
    return list;
}

/* Acts as the platform: a crashed endpoint is removed from the registry and
   then restarted. */
static void maintain_replica(SoakCrash *c, unsigned i)
{
    Outage *d = &c->outages[i];
    int64_t now = now_ms();
    if (!d->down && cluster_replica_exited(c->cluster, i)) {
        d->down = d->registered = true;
        d->unregister_ms = now + UNREGISTER_MS;
        d->restart_ms =
            now + g_rand_int_range(c->rand, RESTART_MIN_MS, RESTART_MAX_MS);
    }
    if (d->down && d->registered && now >= d->unregister_ms) {
        cluster_unregister_replica(c->cluster, i);
        d->registered = false;
    }
    if (d->down && now >= d->restart_ms) {
        cluster_restart_replica(c->cluster, i);
        d->down = false;
    }
}

/* Kills all entries at once, 4 s after the third crash. */
static void kill_entries(SoakCrash *c)
{
    g_autoptr(GArray) crashes = find_times(c, "CRASH", c->requests[0].body);
    if (c->killed || !c->kills || crashes->len < CRASHES_KNOWN ||
        now_ms() <
            g_array_index(crashes, int64_t, CRASHES_KNOWN - 1) + KILL_AFTER_MS)
        return;
    c->killed = true;
    for (unsigned i = 0; i < c->entries; i++)
        soak_case_restart_entry(&c->base, i);
}

/* Makes the store unavailable for 3 s from the start on. */
static void control_store(SoakCrash *c)
{
    if (!c->store_down)
        return;
    if (!c->store_up_ms) {
        cluster_control_store(c->cluster, "{\"down\":\"silent\"}");
        c->store_up_ms = now_ms() + STORE_DOWN_MS;
    } else if (now_ms() > c->store_up_ms) {
        cluster_control_store(c->cluster, "{\"down\":\"\"}");
        c->store_down = false;
    }
}

static void tick(SoakCase *base, GString *problems)
{
    SoakCrash *c = (SoakCrash *)base;
    (void)problems;
    for (unsigned i = 0; i < c->replicas; i++)
        maintain_replica(c, i);
    control_store(c);
    kill_entries(c);
}

/* Checks the bounds for one crashing request; returns how often it crashed an
   endpoint. */
static unsigned check_body(const SoakCrash *c, const char *body,
                           GString *problems)
{
    g_autoptr(GArray) crashes = find_times(c, "CRASH", body);
    g_autoptr(GArray) arrivals = find_times(c, "BAD", body);
    unsigned late = 0;
    if (crashes->len >= CRASHES_KNOWN) {
        int64_t from =
            g_array_index(crashes, int64_t, CRASHES_KNOWN - 1) + PROPAGATION_MS;
        for (guint i = 0; i < arrivals->len; i++)
            late += g_array_index(arrivals, int64_t, i) > from;
    }
    if (late > LATE_REQUESTS_MAX)
        g_string_append_printf(problems,
                               "    %s: sent %u times later than %d ms after "
                               "its third crash\n",
                               body, late, PROPAGATION_MS);
    if (crashes->len > CRASHES_MAX)
        g_string_append_printf(problems, "    %s: crashed %u endpoints\n", body,
                               crashes->len);
    return crashes->len;
}

static char *end(SoakCase *base, const SoakTotals *totals, GString *problems)
{
    SoakCrash *c = (SoakCrash *)base;
    unsigned crashes[REQUESTS_MAX] = { 0 }, requests_sent = 0, refused = 0;
    double served_share =
        totals->sent ? (double)totals->served / totals->sent : 0;
    g_atomic_int_set(&c->stop, 1);
    for (unsigned i = 0; i < c->n_requests; i++) {
        g_thread_join(c->requests[i].thread);
        crashes[i] = check_body(c, c->requests[i].body, problems);
        requests_sent += c->requests[i].sent;
        refused += c->requests[i].answered[5];
        g_rand_free(c->requests[i].rand);
    }
    if (served_share < SERVED_MIN)
        g_string_append_printf(problems, "    other callers: %.3f served\n",
                               served_share);
    char *text = g_strdup_printf("%s sent %u times, %u answered 5xx, "
                                 "%u+%u endpoints crashed, other "
                                 "callers: %.3f served",
                                 c->target, requests_sent, refused, crashes[0],
                                 crashes[1], served_share);
    g_rand_free(c->rand);
    g_free(c->outages);
    g_free(c);
    return text;
}

const SoakCaseOps soak_crash_ops = { .option = "crashing",
                                     .help = "requests that crash endpoints",
                                     .other_faults = SOAK_FAULTS_NONE,
                                     .pace = SOAK_PACE_ERRORS,
                                     .create = create,
                                     .tick = tick,
                                     .end = end };
