/* Requests that crash endpoints, within a soak.
 *
 * What users saw: one request ended 87 endpoints; after the third it was sent
 * 35 times more, and two thirds of what failed were other callers' requests.
 * Order of events: it runs, its endpoint ends with all that ran there; the box
 * sends it, and these, to the next ones; the caller repeats it at another box,
 * which does the same from the start. Cause: what a box learns of a crash ends
 * with the attempt that it came by. Evidence: with /once/, which boxes never
 * send a second time, 48 endpoints ended by 97 repeats at four boxes; with
 * other callers' requests on the same endpoints none ended that the repeated
 * one had not reached. */
#include "soak_crash.h"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

enum {
    BAD_MOST = 2,
    SEND_EVERY_MS = 300,
    HASTY_FROM = 100, /* seeds from here on: repeated at once, by some slowly */
    HASTY_EVERY_MS = 100,
    HASTY_RUNS_MOST_MS = 400,
    BACK_LEAST_MS = 1500, /* an endpoint is back so long after a crash */
    BACK_MOST_MS = 2500,
    LAPSE_MS = 1200, /* until the list drops one that has crashed */
    KILL_AFTER_MS = 4000,
    STORE_AWAY_MS = 3000,
    /* The rule: of the requests that come later than this after the third
       endpoint has ended, three are allowed. */
    TOLD_MS = 3000,
    CRASHES_SEEN = 3,
    LATER_MOST = 3,
    CRASHES_MOST = 5, /* the aim */
    NOTE_WORDS = 4    /* of a line: what, body, ms, endpoint */
};

#define SERVED_LEAST 0.98

typedef struct Down {
    bool down, listed;
    int64_t lapse_ms, back_ms;
} Down;

typedef struct Bad {
    SoakCrash *soak;
    char body[24];
    GRand *rand;
    GThread *thread;
    unsigned sent, answered[6]; /* by the status' first digit */
} Bad;

struct SoakCrash {
    Path *path;
    GRand *rand;
    SoakCrashOps ops;
    unsigned entries, replicas, n_bad, every_ms;
    const char *target;
    Bad bad[BAD_MOST];
    Down *down; /* of each replica */
    bool kills, store_away, killed;
    int64_t start_ms, store_back_ms;
    gint stop;
};

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

static gpointer send_on(gpointer arg)
{
    Bad *b = arg;
    SoakCrash *c = b->soak;
    while (!g_atomic_int_get(&c->stop)) {
        unsigned entry = (unsigned)g_rand_int_range(b->rand, 0, c->entries);
        PathAnswer a = { .fd = -1, .body = g_string_new(NULL) };
        g_snprintf(a.id, sizeof(a.id), "%s.%u", b->body, ++b->sent);
        path_exchange_body(&a, path_port(c->path, entry), "POST", c->target,
                           b->body);
        b->answered[a.status / 100]++;
        path_answer_end(&a);
        g_usleep(c->every_ms * WP_US_PER_MS);
    }
    return NULL;
}

/* The body tells the stand-in how long it runs until it crashes. */
static void name_bad(Bad *b, unsigned i, uint32_t seed)
{
    if (seed < HASTY_FROM)
        g_snprintf(b->body, sizeof(b->body), "crash-%u", i);
    else
        g_snprintf(b->body, sizeof(b->body), "crash-%u-%d", i,
                   g_rand_int_range(b->rand, 0, HASTY_RUNS_MOST_MS));
}

SoakCrash *soak_crash_new(Path *p, uint32_t seed, unsigned entries,
                          unsigned replicas, const SoakCrashOps *ops)
{
    static const char *const targets[] = { "/call/x", "/stream/x", "/once/x" };
    SoakCrash *c = g_new0(SoakCrash, 1);
    c->path = p;
    c->rand = g_rand_new_with_seed(seed);
    c->ops = *ops;
    c->entries = entries;
    c->replicas = replicas;
    c->target = targets[seed % WP_COUNT(targets)];
    c->n_bad = seed % 4 == 1 ? BAD_MOST : 1;
    c->kills = seed % 2 == 0;
    c->store_away = seed % 5 == 0;
    c->every_ms = seed < HASTY_FROM ? SEND_EVERY_MS : HASTY_EVERY_MS;
    c->down = g_new0(Down, replicas);
    c->start_ms = now_ms();
    for (unsigned i = 0; i < c->n_bad; i++) {
        Bad *b = &c->bad[i];
        b->soak = c;
        b->rand = g_rand_new_with_seed(seed * 10 + i);
        name_bad(b, i, seed);
        b->thread = g_thread_new("bad", send_on, b);
    }
    return c;
}

static char *read_notes(const SoakCrash *c)
{
    g_autofree char *file =
        g_build_filename(path_folder(c->path), "runs", NULL);
    char *text = NULL;
    return g_file_get_contents(file, &text, NULL, NULL) ? text : g_strdup("");
}

/* Times in ms at which endpoints noted `what` of a body. */
static GArray *times_of(const SoakCrash *c, const char *what, const char *body)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(int64_t));
    g_autofree char *text = read_notes(c);
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l; l++) {
        g_auto(GStrv) word = g_strsplit(*l, " ", NOTE_WORDS);
        if (g_strv_length(word) < NOTE_WORDS || strcmp(word[0], what) ||
            strcmp(word[1], body))
            continue;
        int64_t ms = atoll(word[2]);
        g_array_append_val(list, ms);
    }
    return list;
}

/* The platform's part: an endpoint that has ended leaves the list and is
   started again. */
static void care_for(SoakCrash *c, unsigned i)
{
    Down *d = &c->down[i];
    int64_t now = now_ms();
    if (!d->down && path_replica_ended(c->path, i)) {
        d->down = d->listed = true;
        d->lapse_ms = now + LAPSE_MS;
        d->back_ms =
            now + g_rand_int_range(c->rand, BACK_LEAST_MS, BACK_MOST_MS);
    }
    if (d->down && d->listed && now >= d->lapse_ms) {
        path_unlist_replica(c->path, i);
        d->listed = false;
    }
    if (d->down && now >= d->back_ms) {
        path_restart_replica(c->path, i);
        d->down = false;
    }
}

/* All entries at once, some seconds after the third crash. */
static void kill_entries(SoakCrash *c)
{
    g_autoptr(GArray) ended = times_of(c, "CRASH", c->bad[0].body);
    if (c->killed || !c->kills || ended->len < CRASHES_SEEN ||
        now_ms() <
            g_array_index(ended, int64_t, CRASHES_SEEN - 1) + KILL_AFTER_MS)
        return;
    c->killed = true;
    for (unsigned i = 0; i < c->entries; i++)
        c->ops.restart_entry(c->ops.arg, i);
}

/* From the start on, the store does not answer for a while. */
static void take_store(SoakCrash *c)
{
    if (!c->store_away)
        return;
    if (!c->store_back_ms) {
        path_store(c->path, "{\"down\":\"silent\"}");
        c->store_back_ms = now_ms() + STORE_AWAY_MS;
    } else if (now_ms() > c->store_back_ms) {
        path_store(c->path, "{\"down\":\"\"}");
        c->store_away = false;
    }
}

void soak_crash_tick(SoakCrash *c)
{
    for (unsigned i = 0; i < c->replicas; i++)
        care_for(c, i);
    take_store(c);
    kill_entries(c);
}

static unsigned check_body(const SoakCrash *c, const char *body,
                           GString *problems)
{
    g_autoptr(GArray) ended = times_of(c, "CRASH", body);
    g_autoptr(GArray) came = times_of(c, "BAD", body);
    unsigned later = 0;
    if (ended->len >= CRASHES_SEEN) {
        int64_t from =
            g_array_index(ended, int64_t, CRASHES_SEEN - 1) + TOLD_MS;
        for (guint i = 0; i < came->len; i++)
            later += g_array_index(came, int64_t, i) > from;
    }
    if (later > LATER_MOST)
        g_string_append_printf(problems,
                               "    %s: sent %u times later than %d ms after "
                               "its third crash\n",
                               body, later, TOLD_MS);
    if (ended->len > CRASHES_MOST)
        g_string_append_printf(problems, "    %s: ended %u endpoints\n", body,
                               ended->len);
    return ended->len;
}

char *soak_crash_end(SoakCrash *c, unsigned sent, unsigned served,
                     GString *problems)
{
    unsigned ended[BAD_MOST] = { 0 }, asked = 0, refused = 0;
    double share = sent ? (double)served / sent : 0;
    g_atomic_int_set(&c->stop, 1);
    for (unsigned i = 0; i < c->n_bad; i++) {
        g_thread_join(c->bad[i].thread);
        ended[i] = check_body(c, c->bad[i].body, problems);
        asked += c->bad[i].sent;
        refused += c->bad[i].answered[5];
        g_rand_free(c->bad[i].rand);
    }
    if (share < SERVED_LEAST)
        g_string_append_printf(problems, "    others were served %.3f\n",
                               share);
    char *text = g_strdup_printf(
        "%s sent %u times, %u answered 5xx, %u+%u endpoints ended, others "
        "served %.3f",
        c->target, asked, refused, ended[0], ended[1], share);
    g_rand_free(c->rand);
    g_free(c->down);
    g_free(c);
    return text;
}
