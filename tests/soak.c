/* wpsoak: a randomized soak of the direct way. Real programs as separate
 * processes on loopback; faults come from outside them: ways that delay, reset,
 * pass one way or fall silent, processes that are killed, paused, stopped and
 * started again, a store that is down, deaf, forgets or loses answers,
 * endpoints that cut, refuse, fail and fall mute. Faults come in series and
 * overlap; callers go on all the while, on kept connections.
 *
 * Checked while and after, from what callers and endpoints see:
 *   - a request that may not be repeated runs at most once;
 *   - 408, 421, 429 and 503 are given only to what has not run;
 *   - each answer is to its own request, and whole or broken off;
 *   - streams have each event once and in order;
 *   - an endpoint never sees a caller's key or what only the system may set;
 *   - a box that has shown a route never says again that there is none;
 *   - after the faults every box serves again;
 *   - with --moves (soak_move.h): a version that is bad gets few requests, is
 *     left in time, and no move to it is completed;
 *   - with --zones (soak_zone.h): nothing runs in a zone that is kept out, and
 * no cold endpoint gets more than it bears;
 *   - with --crashing (soak_crash.h): a request that crashes what runs it ends
 * few endpoints, and others are served;
 *   - with --limits (soak_limit.h): endpoints that name a limit get no more,
 * and use it;
 *   - with --notices (soak_notice.h): endpoints that say that they leave, or
 * ask for rest, are left alone, and others serve.
 *
 *   wpsoak [--seeds 1,2,3] [--seconds 6] [--entries 3] [--replicas 4]
 *          [--callers 8] [--moves alone|beside] [--zones] [--crashing]
 *          [--limits] [--notices] */
#include "soak_crash.h"
#include "soak_limit.h"
#include "soak_move.h"
#include "soak_notice.h"
#include "soak_zone.h"

#include <signal.h>
#include <stdio.h>
#include <unistd.h>

enum {
    CALLER_READ_S = 25, /* longer than any route holds a request */
    RECOVER_S = 15,
    STEP_LEAST_MS = 60,
    STEP_MOST_MS = 350,
    LIMIT_PAUSE_MS = 40, /* between a caller's requests, with limits: 8 callers
                            send nearly 200 a second */
    FAULTS_MOST = 64
};

static char *moves;    /* NULL, "alone" or "beside" other faults */
static gboolean zones; /* zones that are kept out, beside starts of processes */
static gboolean
    crashing;            /* requests that crash endpoints, and no other fault */
static gboolean limits;  /* endpoints that name one, and no other fault */
static gboolean notices; /* that leave and that rest, and no other fault */
static int seconds = 6, entries = 3, replicas = 4, callers = 8;

/* One request as a caller saw it end. */
typedef struct Seen {
    char id[24];
    bool once;
    int status;
} Seen;

typedef struct Soak {
    Path *path;
    GMutex lock;
    GArray *seen;         /* Seen */
    GString *problems;    /* of the run */
    gint stop, lives[64]; /* generation of each entry's process */
    gint shown[64];       /* generation that has shown the new route */
    uint32_t seed;
    SoakMove *move;     /* NULL: none */
    SoakZone *zone;     /* NULL: none */
    SoakCrash *crash;   /* NULL: none */
    SoakLimit *limit;   /* NULL: none */
    SoakNotice *notice; /* NULL: none */
} Soak;

typedef struct Caller {
    Soak *soak;
    unsigned number;
    GRand *rand;
    int fd;
    unsigned entry, asked;
} Caller;

static void complain(Soak *s, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void complain(Soak *s, const char *format, ...)
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

/* Whether a stream's body is whole events of this request from 1 on. */
static bool is_stream_of(const char *id, const GString *body)
{
    g_auto(GStrv) events = g_strsplit(body->str, "\n\n", -1);
    for (unsigned n = 0; events[n] && *events[n]; n++) {
        g_autofree char *want =
            g_strdup_printf("id: %u\ndata: %s-%u", n + 1, id, n + 1);
        if (strcmp(events[n], want))
            return false;
    }
    return true;
}

static void check_answer(Caller *c, const char *target, const PathAnswer *a)
{
    Soak *s = c->soak;
    g_autofree char *plain = g_strdup_printf("ran %s\n", a->id);
    bool stream = g_str_has_prefix(target, "/stream/");
    if (a->status == 200 && a->whole && !stream && strcmp(a->body->str, plain))
        complain(s, "%s: wrong body: %.40s", a->id, a->body->str);
    if (a->status == 200 && a->whole && stream && !is_stream_of(a->id, a->body))
        complain(s, "%s: events lost or doubled: %.200s", a->id, a->body->str);
    if (a->status == 401)
        complain(s, "%s: its key was not known", a->id);
}

/* A box must not forget a route within one life of its process. */
static void check_route(Caller *c, int status, gint life)
{
    Soak *s = c->soak;
    gint *shown = &s->shown[c->entry];
    bool same = g_atomic_int_get(&s->lives[c->entry]) == life;
    if (status == 200 && same)
        g_atomic_int_set(shown, life);
    if (status == 404 && same && g_atomic_int_get(shown) == life)
        complain(s, "entry %u: went back to an older configuration", c->entry);
}

static void note(Soak *s, const PathAnswer *a, bool once)
{
    Seen seen = { .once = once, .status = a->status };
    g_strlcpy(seen.id, a->id, sizeof(seen.id));
    g_mutex_lock(&s->lock);
    g_array_append_val(s->seen, seen);
    g_mutex_unlock(&s->lock);
}

static unsigned choose_entry(Caller *c)
{
    const SoakLimit *l = c->soak->limit;
    if (l && soak_limit_one_entry(l))
        return 0;
    return (unsigned)g_rand_int_range(c->rand, 0, entries);
}

static void ask(Caller *c)
{
    static const char *const targets[] = { "/call/x", "/once/x", "/stream/x",
                                           "/new/x" };
    unsigned k = (unsigned)g_rand_int_range(c->rand, 0, WP_COUNT(targets));
    gint life = g_atomic_int_get(&c->soak->lives[c->entry]);
    PathAnswer a = { .fd = c->fd, .body = g_string_new(NULL) };
    if (notices)
        g_snprintf(a.id, sizeof(a.id), SOAK_NOTICE_ID, c->entry, c->number,
                   ++c->asked);
    else
        g_snprintf(a.id, sizeof(a.id), "s%u.%u", c->number, ++c->asked);
    path_exchange(&a, path_port(c->soak->path, c->entry),
                  k == 1 ? "POST" : "GET", targets[k]);
    c->fd = a.fd;
    if (k == 3)
        check_route(c, a.status, life);
    else
        check_answer(c, targets[k], &a);
    note(c->soak, &a, k == 1);
    if (a.closed || !a.whole) {
        path_answer_end(&a);
        c->fd = -1;
        c->entry = choose_entry(c);
    }
    if (a.body)
        g_string_free(a.body, TRUE);
    bool heeds = crashing && a.status != 200; /* as callers are told to */
    if (!a.status || heeds)
        g_usleep(STEP_LEAST_MS * WP_US_PER_MS);
    if (limits || notices)
        g_usleep(LIMIT_PAUSE_MS * WP_US_PER_MS);
}

static gpointer call_on(gpointer arg)
{
    Caller *c = arg;
    while (!g_atomic_int_get(&c->soak->stop))
        ask(c);
    return NULL;
}

/* Faults: each is set and, after a while, lifted. */
typedef enum FaultKind {
    STORE_WAY,
    REPLICA_WAY,
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

static const char *const ways[] = { "{\"mode\":\"silent\"}",
                                    "{\"mode\":\"in\"}", "{\"mode\":\"out\"}",
                                    "{\"mode\":\"reset\"}",
                                    "{\"delay_ms\":80}" };
static const char *const replica_faults[] = {
    "{\"cut\":0.3}", "{\"refuse\":0.5}", "{\"fail\":0.4}", "{\"mute\":0.2}",
    "{\"delay_ms\":200}"
};
static const char *const store_faults[] = {
    "{\"down\":\"silent\"}", "{\"down\":\"busy\"}", "{\"down\":\"reset\"}",
    "{\"deaf\":true}",       "{\"compact\":true}",  "{\"lose_answers\":0.5}"
};

static const char *one_of(GRand *r, const char *const *list, size_t n)
{
    return list[g_rand_int_range(r, 0, (gint32)n)];
}

static void restart_entry(Soak *s, unsigned at)
{
    g_atomic_int_inc(&s->lives[at]);
    path_restart_entry(s->path, at);
}

/* Beside zones that are kept out only what each box in touch bears. */
static FaultKind any_kind(GRand *r)
{
    static const FaultKind starts[] = { KILL, REPLICA_KILL, REPLICA_KILL };
    if (zones)
        return starts[g_rand_int_range(r, 0, WP_COUNT(starts))];
    return (FaultKind)g_rand_int_range(r, 0, FAULT_KINDS);
}

static void begin_fault(Soak *s, Fault *f, GRand *r)
{
    bool of_replica = f->kind == REPLICA_WAY || f->kind == REPLICA_FAULT ||
                      f->kind == REPLICA_KILL;
    f->at = (unsigned)g_rand_int_range(r, 0, of_replica ? replicas : entries);
    switch (f->kind) {
    case STORE_WAY:
        path_way_to_store(s->path, f->at, one_of(r, ways, WP_COUNT(ways)));
        break;
    case REPLICA_WAY:
        path_way_to_replica(s->path, f->at, one_of(r, ways, WP_COUNT(ways)));
        break;
    case REPLICA_FAULT:
        path_try_fault(s->path, f->at,
                       one_of(r, replica_faults, WP_COUNT(replica_faults)));
        break;
    case STORE_FAULT:
        path_store(s->path, one_of(r, store_faults, WP_COUNT(store_faults)));
        break;
    case PAUSE:
        path_signal_entry(s->path, f->at, SIGSTOP);
        break;
    case KILL:
        restart_entry(s, f->at);
        break;
    case STOP:
        path_signal_entry(s->path, f->at, SIGTERM);
        break;
    case REPLICA_KILL:
        path_restart_replica(s->path, f->at);
        break;
    case FAULT_KINDS:
        break;
    }
}

static void end_fault(Soak *s, const Fault *f)
{
    static const char pass[] = "{\"mode\":\"pass\",\"delay_ms\":0}";
    switch (f->kind) {
    case STORE_WAY:
        path_way_to_store(s->path, f->at, pass);
        break;
    case REPLICA_WAY:
        path_way_to_replica(s->path, f->at, pass);
        break;
    case REPLICA_FAULT:
        path_try_fault(s->path, f->at,
                       "{\"cut\":0,\"refuse\":0,\"fail\":0,\"mute\":0,"
                       "\"delay_ms\":5}");
        break;
    case STORE_FAULT:
        path_store(s->path,
                   "{\"down\":\"\",\"deaf\":false,\"lose_answers\":0}");
        break;
    case PAUSE:
        path_signal_entry(s->path, f->at, SIGCONT);
        break;
    case STOP:
        path_signal_entry(s->path, f->at, SIGCONT);
        restart_entry(s, f->at);
        break;
    case KILL:
    case REPLICA_KILL:
    case FAULT_KINDS:
        break;
    }
}

static void lift_due(Soak *s, GArray *faults, int64_t now_us)
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

static void restart_for(void *arg, unsigned entry)
{
    restart_entry(arg, entry);
}

static void play_faults(Soak *s)
{
    GRand *r = g_rand_new_with_seed(s->seed);
    g_autoptr(GArray) faults = g_array_new(FALSE, FALSE, sizeof(Fault));
    int64_t end_us = g_get_monotonic_time() + seconds * WP_US_PER_S;
    bool changed = false;
    while (g_get_monotonic_time() < end_us) {
        int64_t now_us = g_get_monotonic_time();
        Fault f = { .kind = any_kind(r) };
        f.until_us = now_us + g_rand_int_range(r, 100, 2500) * WP_US_PER_MS;
        lift_due(s, faults, now_us);
        if (s->move)
            soak_move_tick(s->move);
        if (s->zone)
            soak_zone_tick(s->zone);
        if (s->crash)
            soak_crash_tick(s->crash);
        if (s->limit)
            soak_limit_tick(s->limit);
        if (s->notice)
            soak_notice_tick(s->notice);
        if (!s->crash && !s->limit && !s->notice && faults->len < FAULTS_MOST &&
            g_strcmp0(moves, "alone")) {
            begin_fault(s, &f, r);
            g_array_append_val(faults, f);
        }
        if (!changed && end_us - now_us < seconds * WP_US_PER_S / 2) {
            path_config(s->path, 2, "/new/");
            changed = true;
        }
        g_usleep((gulong)g_rand_int_range(r, STEP_LEAST_MS, STEP_MOST_MS) *
                 WP_US_PER_MS);
    }
    lift_due(s, faults, INT64_MAX);
    g_rand_free(r);
}

/* How often each request ran, by the endpoints' own records. */
static GHashTable *read_runs(Soak *s)
{
    GHashTable *runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_autofree char *file =
        g_build_filename(path_folder(s->path), "runs", NULL);
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

static bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

static unsigned check_runs(Soak *s)
{
    g_autoptr(GHashTable) runs = read_runs(s);
    unsigned served = 0;
    for (guint i = 0; i < s->seen->len; i++) {
        const Seen *seen = &g_array_index(s->seen, Seen, i);
        int n = GPOINTER_TO_INT(g_hash_table_lookup(runs, seen->id));
        if (seen->once && n > 1)
            complain(s, "%s: ran %d times", seen->id, n);
        if (promises_not_run(seen->status) && n > 0)
            complain(s, "%s: refused with %d, but it ran", seen->id,
                     seen->status);
        served += seen->status == 200;
    }
    return served;
}

/* Requests on routes that were there: /new/ comes in the middle of a run. */
static unsigned count_routed(const Soak *s)
{
    unsigned n = 0;
    for (guint i = 0; i < s->seen->len; i++)
        n += g_array_index(s->seen, Seen, i).status != 404;
    return n;
}

static void check_recovery(Soak *s)
{
    int64_t end_us = g_get_monotonic_time() + RECOVER_S * WP_US_PER_S;
    for (unsigned e = 0; e < (unsigned)entries; e++) {
        int status = 0;
        while (status != 200 && g_get_monotonic_time() < end_us) {
            PathAnswer a = path_ask(s->path, e, "GET", "/new/x", NULL);
            status = a.status;
            path_answer_end(&a);
            if (status != 200)
                g_usleep(STEP_LEAST_MS * WP_US_PER_MS);
        }
        if (status != 200)
            complain(s, "entry %u does not serve again: %d", e, status);
    }
}

static bool soak(uint32_t seed)
{
    Soak s = { .seed = seed };
    Caller *all = g_new0(Caller, callers);
    GThread **threads = g_new0(GThread *, callers);
    s.path = moves   ? path_new_clocks((unsigned)entries, (unsigned)replicas)
             : zones ? path_new_zones((unsigned)entries, (unsigned)replicas)
             : notices
                 ? soak_notice_path(seed, (unsigned)entries, (unsigned)replicas)
                 : path_new((unsigned)entries, (unsigned)replicas);
    s.seen = g_array_new(FALSE, FALSE, sizeof(Seen));
    s.problems = g_string_new(NULL);
    g_mutex_init(&s.lock);
    for (int i = 0; i < entries; i++)
        s.lives[i] = 1;
    const SoakLimitOps limit_ops = { restart_for, &s };
    if (limits)
        s.limit = soak_limit_new(s.path, seed, seconds, (unsigned)entries,
                                 (unsigned)replicas, &limit_ops);
    const SoakNoticeOps notice_ops = { restart_for, &s };
    if (notices)
        s.notice = soak_notice_new(s.path, seed, seconds, (unsigned)entries,
                                   (unsigned)replicas, &notice_ops);
    bool one_entry = s.limit && soak_limit_one_entry(s.limit);
    for (int i = 0; i < callers; i++) {
        all[i] =
            (Caller){ .soak = &s,
                      .number = (unsigned)i,
                      .rand = g_rand_new_with_seed(seed * 1000 + (uint32_t)i),
                      .fd = -1,
                      .entry = one_entry ? 0 : (unsigned)(i % entries) };
        threads[i] = g_thread_new("caller", call_on, &all[i]);
    }
    const SoakMoveOps ops = { restart_for, &s };
    const SoakCrashOps crash_ops = { restart_for, &s };
    if (moves)
        s.move = soak_move_new(s.path, seed, seconds, (unsigned)entries,
                               (unsigned)replicas, &ops);
    if (zones)
        s.zone = soak_zone_new(s.path, seed);
    if (crashing)
        s.crash = soak_crash_new(s.path, seed, (unsigned)entries,
                                 (unsigned)replicas, &crash_ops);
    play_faults(&s);
    check_recovery(&s);
    g_atomic_int_set(&s.stop, 1);
    for (int i = 0; i < callers; i++) {
        g_thread_join(threads[i]);
        g_rand_free(all[i].rand);
        if (all[i].fd >= 0)
            close(all[i].fd);
    }
    unsigned served = check_runs(&s);
    if (path_broken(s.path))
        complain(&s, "an endpoint saw what only the system may set");
    g_autofree char *more =
        s.move   ? soak_move_end(s.move, s.problems)
        : s.zone ? soak_zone_end(s.zone, s.problems)
        : s.crash
            ? soak_crash_end(s.crash, count_routed(&s), served, s.problems)
        : s.limit
            ? soak_limit_end(s.limit, count_routed(&s), served, s.problems)
        : s.notice
            ? soak_notice_end(s.notice, count_routed(&s), served, s.problems)
            : g_strdup("no move");
    bool ok = !s.problems->len;
    printf("seed %u: %s, %u requests, %u served, %s\n%s", seed,
           ok ? "ok" : "FAILED", s.seen->len, served, more, s.problems->str);
    path_free(s.path);
    g_array_unref(s.seen);
    g_string_free(s.problems, TRUE);
    g_mutex_clear(&s.lock);
    g_free(threads);
    g_free(all);
    return ok;
}

int main(int argc, char **argv)
{
    g_autofree char *seeds = NULL;
    unsigned passed = 0, failed = 0;
    const GOptionEntry options[] = {
        { "seeds", 0, 0, G_OPTION_ARG_STRING, &seeds, "one run each", "LIST" },
        { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "of faults", "N" },
        { "entries", 0, 0, G_OPTION_ARG_INT, &entries, "64 at most", "N" },
        { "replicas", 0, 0, G_OPTION_ARG_INT, &replicas, "endpoints", "N" },
        { "moves", 0, 0, G_OPTION_ARG_STRING, &moves, "one a run",
          "alone|beside" },
        { "zones", 0, 0, G_OPTION_ARG_NONE, &zones, "kept out by turns", NULL },
        { "crashing", 0, 0, G_OPTION_ARG_NONE, &crashing,
          "requests that crash endpoints", NULL },
        { "limits", 0, 0, G_OPTION_ARG_NONE, &limits,
          "endpoints that name a limit", NULL },
        { "notices", 0, 0, G_OPTION_ARG_NONE, &notices,
          "endpoints that leave and that rest", NULL },
        { "callers", 0, 0, G_OPTION_ARG_INT, &callers, "threads", "N" },
        { NULL, 0, 0, 0, NULL, NULL, NULL }
    };
    g_autoptr(GOptionContext) c = g_option_context_new(NULL);
    g_option_context_add_main_entries(c, options, NULL);
    if (!g_option_context_parse(c, &argc, &argv, NULL) || entries < 1 ||
        (moves && strcmp(moves, "alone") && strcmp(moves, "beside")) ||
        entries > 64 || replicas < 1 || callers < 1)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    setvbuf(stdout, NULL, _IOLBF, 0);
    g_auto(GStrv) list = g_strsplit(seeds ? seeds : "1", ",", -1);
    for (char **l = list; *l; l++) {
        bool ok = soak((uint32_t)g_ascii_strtoull(*l, NULL, 10));
        passed += ok;
        failed += !ok;
    }
    printf("%u passed, %u failed\n", passed, failed);
    return failed ? 1 : 0;
}
