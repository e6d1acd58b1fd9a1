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
 * With a seed from PARTS_FROM_SEED on, no two of the requests are alike: a part
 * of their prompts crashes the endpoints. Other callers, the neighbours, send
 * requests with the same key and the same other parts to the same route; the
 * seed chooses the place of the part, and whether the neighbours are there
 * before it, come later, or are few, and whether entries are killed in turn.
 *
 * Guards against one request, or one part, crashing many endpoints. */
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
    LOG_WORDS = 4,   /* of a line of the run log: kind, body, ms, endpoint */

    PARTS_FROM_SEED = 300,
    CLOSING_FROM_SEED = 400,
    SERIES_FROM_SEED = 500, /* parts are sent faster, entries killed in turn */
    SERIES_KILL_MS = 1700,
    /* The store comes back from a copy without the records of parts, and all
       entries are killed some time later. */
    RESTORES_FROM_SEED = 600,
    RESTORE_AFTER_MS = 1000, /* of the crash after which few may be sent */
    RESTORE_COPY_MS = 6000,
    REWRITE_MS = 500,
    PART_CRASHES_KNOWN = 5,
    PART_CRASHES_MAX = PART_CRASHES_KNOWN + LATE_REQUESTS_MAX,
    PART_AFTER_MS = 2000, /* neighbours alone are served until then */
    NEIGHBOURS = 4,
    NEIGHBOUR_EVERY_MS = 50,
    FEW_NEIGHBOURS_EVERY_MS = 1500,
    /* Neighbours are served again this long after the last crash that counts.
     */
    NEIGHBOURS_BACK_MS = 2 * PROPAGATION_MS,
    ROUTE_PARTS = 12 /* longest prompt: parts before the last */
};

#define SERVED_MIN 0.98
#define NEIGHBOURS_SERVED_MIN 0.5 /* of the share before */

/* Endpoints take longer while parts are played: a crash ends several answers.
 */
#define PART_REPLICA "{\"delay_ms\":60,\"events\":30}"
/* The same for seeds from CLOSING_FROM_SEED on: half of the answers end with
   their connections. */
#define CLOSING_REPLICA "{\"delay_ms\":60,\"events\":30,\"until_close\":0.5}"

/* State of a replica between its crash and its restart. */
typedef struct Outage {
    bool down, registered;
    bool is_slow; /* takes as long as PART_REPLICA says */
    int64_t unregister_ms, restart_ms;
} Outage;

/* One crashing request, and the thread that sends it. */
typedef struct SoakCrash SoakCrash;

/* A caller whose requests share all parts but one with those that crash. */
typedef struct Neighbour {
    SoakCrash *soak;
    unsigned number, sent;
    GRand *rand;
    GThread *thread;
    GArray *sent_ms;   /* int64_t: when each request was sent */
    GArray *is_served; /* gboolean: at its first attempt */
} Neighbour;

typedef struct CrashRequest {
    SoakCrash *soak;
    unsigned number;
    char body[24]; /* of the request, or the id of its part */
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
    bool parts, closing, series, restores;
    int64_t restored_ms; /* 0: not yet */
    unsigned next_kill;
    int64_t next_kill_ms;
    unsigned n_parts, place; /* of the prompt before its last; of the one that
                                crashes endpoints */
    Neighbour neighbours[NEIGHBOURS];
    unsigned n_neighbours, neighbour_interval_ms;
    bool neighbours_come_later;
    Outage *outages; /* of each replica */
    bool kills, store_down, killed;
    int64_t start_ms, store_up_ms;
    gint stop;
};

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

/* The header fields of a request whose prompt has the part `crashing` (NULL:
   a sound one in its place), and a last part of its own. */
static char *make_fields(const SoakCrash *c, const char *crashing,
                         const char *own)
{
    GString *s = g_string_new("Authorization: Token key-1\r\nX-Model: m\r\n"
                              "X-Token-Count: 900,50\r\nX-Prompt-Prefix: ");
    for (unsigned i = 0; i < c->n_parts; i++)
        if (i == c->place && crashing)
            g_string_append_printf(s, "%s:40,", crashing);
        else if (i != c->place)
            g_string_append_printf(s, "a%u:40,", i);
    g_string_append_printf(s, "%s:60\r\n", own);
    return g_string_free(s, FALSE);
}

/* Sends one request with a part that crashes endpoints. */
static void send_part(CrashRequest *b, ClusterAnswer *a, uint16_t port)
{
    g_autofree char *own = g_strdup_printf("b%u%06u", b->number, b->sent);
    g_autofree char *fields = make_fields(b->soak, b->body, own);
    cluster_exchange_fields(a, port, "POST", b->soak->target, fields, own);
}

static gpointer run_neighbour(gpointer arg)
{
    Neighbour *b = arg;
    SoakCrash *c = b->soak;
    if (c->neighbours_come_later)
        g_usleep((PART_AFTER_MS + PROPAGATION_MS) * WP_US_PER_MS);
    while (!g_atomic_int_get(&c->stop)) {
        unsigned entry = (unsigned)g_rand_int_range(b->rand, 0, c->entries);
        ClusterAnswer a = { .fd = -1, .body = g_string_new(NULL) };
        g_autofree char *own = g_strdup_printf("%u%06u", b->number, ++b->sent);
        g_autofree char *fields = make_fields(c, NULL, own);
        int64_t sent_ms = now_ms();
        g_snprintf(a.id, sizeof(a.id), "n%u.%u", b->number, b->sent);
        cluster_exchange_fields(&a, cluster_entry_port(c->cluster, entry),
                                "POST", c->target, fields, own);
        gboolean ok = a.status == 200 && a.complete;
        g_array_append_val(b->sent_ms, sent_ms);
        g_array_append_val(b->is_served, ok);
        cluster_answer_release(&a);
        g_usleep(c->neighbour_interval_ms * WP_US_PER_MS);
    }
    return NULL;
}

static gpointer run_sender(gpointer arg)
{
    CrashRequest *b = arg;
    SoakCrash *c = b->soak;
    if (c->parts)
        g_usleep(PART_AFTER_MS * WP_US_PER_MS);
    while (!g_atomic_int_get(&c->stop)) {
        unsigned entry = (unsigned)g_rand_int_range(b->rand, 0, c->entries);
        uint16_t port = cluster_entry_port(c->cluster, entry);
        ClusterAnswer a = { .fd = -1, .body = g_string_new(NULL) };
        g_snprintf(a.id, sizeof(a.id), "%s.%u", b->body, ++b->sent);
        if (c->parts)
            send_part(b, &a, port);
        else
            cluster_exchange_body(&a, port, "POST", c->target, b->body);
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
    if (seed >= PARTS_FROM_SEED)
        g_snprintf(b->body, sizeof(b->body), "c0de%04u", i);
    else if (seed < FAST_FROM_SEED)
        g_snprintf(b->body, sizeof(b->body), "crash-%u", i);
    else
        g_snprintf(b->body, sizeof(b->body), "crash-%u-%d", i,
                   g_rand_int_range(b->rand, 0, FAST_RUN_MAX_MS));
}

static void start_neighbours(SoakCrash *c, uint32_t seed)
{
    static const unsigned lengths[] = { 2, 3, 1, ROUTE_PARTS };
    c->n_parts = lengths[seed % WP_COUNT(lengths)];
    c->place = (seed / WP_COUNT(lengths)) % c->n_parts;
    c->neighbours_come_later = seed % 5 == 1;
    bool few = seed % 5 == 2;
    c->neighbour_interval_ms =
        few ? FEW_NEIGHBOURS_EVERY_MS : NEIGHBOUR_EVERY_MS;
    c->n_neighbours = NEIGHBOURS;
    for (unsigned i = 0; i < c->n_neighbours; i++) {
        Neighbour *b = &c->neighbours[i];
        b->soak = c;
        b->number = i;
        b->rand = g_rand_new_with_seed(seed * 100 + i);
        b->sent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
        b->is_served = g_array_new(FALSE, FALSE, sizeof(gboolean));
        b->thread = g_thread_new("neighbour", run_neighbour, b);
    }
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
    c->kills = setup->seed % 2 == 0 || setup->seed >= RESTORES_FROM_SEED;
    c->store_down = setup->seed % 5 == 0;
    c->parts = setup->seed >= PARTS_FROM_SEED;
    c->closing = setup->seed >= CLOSING_FROM_SEED;
    c->series =
        setup->seed >= SERIES_FROM_SEED && setup->seed < RESTORES_FROM_SEED;
    c->restores = setup->seed >= RESTORES_FROM_SEED;
    bool fast = c->series || (!c->parts && setup->seed >= FAST_FROM_SEED);
    c->interval_ms = fast ? FAST_EVERY_MS : SEND_EVERY_MS;
    c->outages = g_new0(Outage, setup->replicas);
    c->start_ms = now_ms();
    if (c->parts)
        start_neighbours(c, setup->seed);
    for (unsigned i = 0; i < c->n_requests; i++) {
        CrashRequest *b = &c->requests[i];
        b->soak = c;
        b->number = i;
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
        d->down = d->is_slow = false;
        return;
    }
    if (c->parts && !d->down && !d->is_slow) {
        cluster_try_replica_faults(c->cluster, i,
                                   c->closing ? CLOSING_REPLICA : PART_REPLICA);
        d->is_slow = true;
    }
}

/* Number of crashes after which few requests may still be sent. */
static unsigned crashes_known(const SoakCrash *c)
{
    return c->parts ? PART_CRASHES_KNOWN : CRASHES_KNOWN;
}

/* The time of the crash from which the bounds run; 0: there was none. */
static int64_t known_since_ms(const SoakCrash *c, const GArray *crashes)
{
    guint n = MIN(crashes->len, crashes_known(c));
    return n ? g_array_index(crashes, int64_t, n - 1) : 0;
}

static void restore_store(SoakCrash *c)
{
    g_autoptr(GArray) crashes = find_times(c, "CRASH", c->requests[0].body);
    if (!c->restores || c->restored_ms || crashes->len < CRASHES_KNOWN ||
        now_ms() < known_since_ms(c, crashes) + RESTORE_AFTER_MS)
        return;
    c->restored_ms = now_ms();
    cluster_restore_store(c->cluster, RESTORE_COPY_MS, REWRITE_MS);
}

/* Kills all entries at once, 4 s after the third crash. */
static void kill_entries(SoakCrash *c)
{
    g_autoptr(GArray) crashes = find_times(c, "CRASH", c->requests[0].body);
    if (c->killed || !c->kills || crashes->len < CRASHES_KNOWN ||
        now_ms() < known_since_ms(c, crashes) + KILL_AFTER_MS)
        return;
    c->killed = true;
    for (unsigned i = 0; i < c->entries; i++)
        soak_case_restart_entry(&c->base, i);
}

static void kill_next_entry(SoakCrash *c)
{
    if (!c->series || now_ms() < c->next_kill_ms)
        return;
    c->next_kill_ms = now_ms() + SERIES_KILL_MS;
    soak_case_restart_entry(&c->base, c->next_kill++ % c->entries);
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
    restore_store(c);
    kill_entries(c);
    kill_next_entry(c);
}

/* Checks the bounds for one crashing request; returns how often it crashed an
   endpoint. */
static unsigned check_body(const SoakCrash *c, const char *body,
                           GString *problems)
{
    g_autoptr(GArray) crashes = find_times(c, "CRASH", body);
    g_autoptr(GArray) arrivals = find_times(c, "BAD", body);
    unsigned late = 0, most = c->parts ? PART_CRASHES_MAX : CRASHES_MAX;
    if (crashes->len >= crashes_known(c)) {
        int64_t from = known_since_ms(c, crashes) + PROPAGATION_MS;
        for (guint i = 0; i < arrivals->len; i++)
            late += g_array_index(arrivals, int64_t, i) > from;
    }
    if (late > LATE_REQUESTS_MAX)
        g_string_append_printf(problems,
                               "    %s: sent %u times later than %d ms after "
                               "its crash number %u\n",
                               body, late, PROPAGATION_MS, crashes_known(c));
    if (crashes->len > most)
        g_string_append_printf(problems, "    %s: crashed %u endpoints\n", body,
                               crashes->len);
    return crashes->len;
}

/* Counts the neighbours' requests sent from `from_ms` until `to_ms`; returns
   the share that was served. */
static double neighbours_served(const SoakCrash *c, int64_t from_ms,
                                int64_t to_ms, unsigned *sent)
{
    unsigned served = 0;
    *sent = 0;
    for (unsigned i = 0; i < c->n_neighbours; i++) {
        const Neighbour *b = &c->neighbours[i];
        for (guint k = 0; k < b->sent_ms->len; k++) {
            int64_t ms = g_array_index(b->sent_ms, int64_t, k);
            if (ms < from_ms || ms >= to_ms)
                continue;
            ++*sent;
            served += g_array_index(b->is_served, gboolean, k) != 0;
        }
    }
    return *sent ? (double)served / *sent : 1;
}

/* Checks that the neighbours were served again while requests with the part
   still came. Returns the share that was served of all of theirs. */
static double check_neighbours(const SoakCrash *c, GString *problems)
{
    int64_t last_ms = 0;
    unsigned n_before, n_after, n_all;
    for (unsigned i = 0; i < c->n_requests; i++) {
        g_autoptr(GArray) crashes = find_times(c, "CRASH", c->requests[i].body);
        last_ms = MAX(last_ms, known_since_ms(c, crashes));
    }
    double before =
        neighbours_served(c, 0, c->start_ms + PART_AFTER_MS, &n_before);
    double after =
        neighbours_served(c, last_ms + NEIGHBOURS_BACK_MS, INT64_MAX, &n_after);
    if (c->neighbours_come_later)
        before = 1;
    if (n_after && after < NEIGHBOURS_SERVED_MIN * before)
        g_string_append_printf(problems,
                               "    neighbours: %.3f of %u served before, %.3f "
                               "of %u after\n",
                               before, n_before, after, n_after);
    return neighbours_served(c, 0, INT64_MAX, &n_all);
}

static void end_neighbours(SoakCrash *c)
{
    for (unsigned i = 0; i < c->n_neighbours; i++) {
        g_rand_free(c->neighbours[i].rand);
        g_array_unref(c->neighbours[i].sent_ms);
        g_array_unref(c->neighbours[i].is_served);
    }
}

static char *end(SoakCase *base, const SoakTotals *totals, GString *problems)
{
    SoakCrash *c = (SoakCrash *)base;
    unsigned crashes[REQUESTS_MAX] = { 0 }, requests_sent = 0, refused = 0;
    unsigned n = totals->sent - totals->cut_by_kills;
    double served_share = n ? (double)totals->served / n : 0;
    g_atomic_int_set(&c->stop, 1);
    for (unsigned i = 0; i < c->n_requests; i++) {
        g_thread_join(c->requests[i].thread);
        crashes[i] = check_body(c, c->requests[i].body, problems);
        requests_sent += c->requests[i].sent;
        refused += c->requests[i].answered[5];
        g_rand_free(c->requests[i].rand);
    }
    for (unsigned i = 0; i < c->n_neighbours; i++)
        g_thread_join(c->neighbours[i].thread);
    double neighbours = c->parts ? check_neighbours(c, problems) : 1;
    end_neighbours(c);
    if (served_share < SERVED_MIN)
        g_string_append_printf(problems, "    other callers: %.3f served\n",
                               served_share);
    char *text = g_strdup_printf("%s sent %u times, %u answered 5xx, "
                                 "%u+%u endpoints crashed, other "
                                 "callers: %.3f served (%u more cut by kills), "
                                 "neighbours: %.3f",
                                 c->target, requests_sent, refused, crashes[0],
                                 crashes[1], served_share, totals->cut_by_kills,
                                 neighbours);
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
