/* A move between versions within a soak. */
#include "soak_move.h"

#include <stdio.h>

/* The rules, as the users' platform has them. */
#define SHARE_MOST 0.15 /* of the requests between the order and its time */
enum {
    SHARE_SLACK = 30,      /* requests more than that */
    BAD_ANSWERS = 50,      /* from so many on, a bad version is left */
    LEFT_MS = 5000,        /* within this */
    BAD_AT_END = 10,       /* with so many before it, no move is completed */
    STEPS_MOST = 4,        /* of clocks */
    LOSSES_MOST = 2,       /* of all entries */
    STEP_LEAST_MS = 500,   /* how long a clock is off */
    STEP_MOST_MS = 3000,   /* the same */
    FIRST_MS = WP_MS_PER_S /* before the order */
};

/* What a version is like; `late`: only from 0.4 of the order's time on. */
static const struct {
    const char *name, *faults;
    bool bad, late;
} versions[] = {
    { "good", "{}", false, false },
    { "errors", "{\"fail\":0.4}", true, false },
    { "few errors", "{\"fail\":0.15}", true, false },
    { "slow", "{\"slow\":0.7,\"slow_ms\":60}", true, false },
    { "one route", "{\"fail\":0.8,\"fail_path\":\"/stream\"}", true, false },
    { "late errors", "{\"fail\":0.5}", true, true },
};

static const int64_t steps_ms[] = { 2000, 20000, 60000, -2000, -20000 };

#define LATE_PART 0.4

typedef enum EventKind { ORDER, TURN_BAD, STEP, SET_BACK, LOSS } EventKind;

typedef struct Event {
    int64_t at_us;
    EventKind kind;
    unsigned entry;
    int64_t ms;
} Event;

struct SoakMove {
    Path *path;
    SoakMoveOps ops;
    unsigned entries, replicas, version;
    double order_s;
    GArray *events;    /* Event */
    int64_t order_us;  /* given; 0: not yet */
    int64_t done_us;   /* seen to be completed */
    int64_t undone_us; /* seen to be rolled back */
};

static void add(SoakMove *m, EventKind kind, int64_t at_us, unsigned entry,
                int64_t ms)
{
    const Event e = { at_us, kind, entry, ms };
    g_array_append_val(m->events, e);
}

/* Some clocks are off from the start, others for a while. */
static void plan_clocks(SoakMove *m, GRand *r, int64_t now_us, int64_t span_us)
{
    int n = g_rand_int_range(r, 0, STEPS_MOST + 1);
    for (int i = 0; i < n; i++) {
        unsigned entry = (unsigned)g_rand_int_range(r, 0, (gint)m->entries);
        int64_t ms = steps_ms[g_rand_int_range(r, 0, (gint)WP_COUNT(steps_ms))];
        int64_t at_us = now_us + (int64_t)(g_rand_double(r) * (double)span_us);
        int64_t for_us = WP_US_PER_MS * (int64_t)g_rand_int_range(
                                            r, STEP_LEAST_MS, STEP_MOST_MS);
        add(m, STEP, i ? at_us : now_us, entry, ms);
        add(m, SET_BACK, at_us + for_us, entry, 0);
    }
}

SoakMove *soak_move_new(Path *p, uint32_t seed, int seconds, unsigned entries,
                        unsigned replicas, const SoakMoveOps *ops)
{
    SoakMove *m = g_new0(SoakMove, 1);
    GRand *r = g_rand_new_with_seed(seed);
    int64_t now_us = g_get_monotonic_time();
    int64_t order_us = now_us + FIRST_MS * WP_US_PER_MS;
    int64_t span_us = (int64_t)(seconds - 2) * WP_US_PER_S;
    m->path = p;
    m->ops = *ops;
    m->entries = entries;
    m->replicas = replicas;
    m->order_s = seconds - 2;
    m->version = (unsigned)g_rand_int_range(r, 0, (gint)WP_COUNT(versions));
    m->events = g_array_new(FALSE, FALSE, sizeof(Event));
    add(m, ORDER, order_us, 0, 0);
    if (versions[m->version].late)
        add(m, TURN_BAD, order_us + (int64_t)(LATE_PART * (double)span_us), 0,
            0);
    plan_clocks(m, r, now_us, (int64_t)seconds * WP_US_PER_S);
    int losses = g_rand_int_range(r, 0, LOSSES_MOST + 1);
    for (int i = 0; i < losses; i++)
        add(m, LOSS, order_us + (int64_t)(g_rand_double(r) * (double)span_us),
            0, 0);
    g_rand_free(r);
    return m;
}

static void turn_bad(SoakMove *m)
{
    for (unsigned i = 0; i < m->replicas; i++)
        path_try_fault(m->path, m->replicas + i, versions[m->version].faults);
}

static void give_order(SoakMove *m)
{
    const char *faults =
        versions[m->version].late ? "{}" : versions[m->version].faults;
    path_add_version(m->path, "v2", m->replicas, faults);
    path_order(m->path, "v2", m->order_s);
    m->order_us = g_get_monotonic_time();
}

static void play(SoakMove *m, const Event *e)
{
    switch (e->kind) {
    case ORDER:
        give_order(m);
        break;
    case TURN_BAD:
        turn_bad(m);
        break;
    case STEP:
    case SET_BACK:
        path_clock(m->path, e->entry, e->ms);
        break;
    case LOSS:
        for (unsigned i = 0; i < m->entries; i++)
            m->ops.restart_entry(m->ops.arg, i);
        break;
    }
}

/* The operator stops the old endpoints at once when the move is completed. */
static void look_at_state(SoakMove *m)
{
    if (!m->order_us || m->done_us || m->undone_us)
        return;
    g_autofree char *state = path_move_state(m->path);
    if (!g_strcmp0(state, "completed")) {
        m->done_us = g_get_monotonic_time();
        path_end_replicas(m->path, m->replicas);
    } else if (!g_strcmp0(state, "rolled_back")) {
        m->undone_us = g_get_monotonic_time();
    }
}

void soak_move_tick(SoakMove *m)
{
    for (guint i = 0; i < m->events->len;) {
        Event e = g_array_index(m->events, Event, i);
        if (e.at_us > g_get_monotonic_time()) {
            i++;
            continue;
        }
        g_array_remove_index(m->events, i);
        play(m, &e);
    }
    look_at_state(m);
}

/* What the endpoints have noted. */
typedef struct Sums {
    unsigned all, fresh; /* runs in the order's time */
    unsigned bad;        /* bad answers */
    unsigned bad_at_end; /* of those, before the move was completed */
    unsigned late;       /* runs of the version later than allowed */
    int64_t left_ms;     /* by when it should have been left; 0: not */
} Sums;

static void add_line(const SoakMove *m, char **word, Sums *s)
{
    const char *version = word[0][0] == '!' ? word[1] : word[2];
    const char *ms_text = word[0][0] == '!' ? word[2] : word[3];
    if (!version || !ms_text)
        return;
    int64_t ms = g_ascii_strtoll(ms_text, NULL, 10);
    int64_t end_ms =
        m->order_us / WP_US_PER_MS + (int64_t)(m->order_s * WP_MS_PER_S);
    bool fresh = !strcmp(version, "v2");
    bool within = ms >= m->order_us / WP_US_PER_MS && ms < end_ms;
    if (word[0][0] != '!') {
        s->all += within;
        s->fresh += within && fresh;
        s->late += fresh && s->left_ms && ms > s->left_ms;
    } else if (fresh) {
        s->bad++;
        s->bad_at_end += m->done_us && ms < m->done_us / WP_US_PER_MS;
        if (s->bad == BAD_ANSWERS)
            s->left_ms = ms + LEFT_MS;
    }
}

static Sums read_runs(const SoakMove *m)
{
    Sums s = { 0 };
    g_autofree char *file =
        g_build_filename(path_folder(m->path), "runs", NULL);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return s;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l; l++) {
        g_auto(GStrv) word = g_strsplit(*l, " ", 4);
        if (g_strv_length(word) >= 3)
            add_line(m, word, &s);
    }
    return s;
}

static void check(const SoakMove *m, const Sums *s, GString *problems)
{
    unsigned most = (unsigned)(SHARE_MOST * s->all) + SHARE_SLACK;
    if (!versions[m->version].bad)
        return;
    if (s->fresh > most)
        g_string_append_printf(
            problems,
            "    the bad version got %u of %u requests of the order's time, "
            "%u are allowed\n",
            s->fresh, s->all, most);
    if (s->late)
        g_string_append_printf(problems,
                               "    the bad version got %u requests later than "
                               "%d ms after its bad answer %d\n",
                               s->late, LEFT_MS, BAD_ANSWERS);
    if (m->done_us && s->bad_at_end >= BAD_AT_END)
        g_string_append_printf(problems,
                               "    the move was completed after %u bad "
                               "answers\n",
                               s->bad_at_end);
}

char *soak_move_end(SoakMove *m, GString *problems)
{
    Sums s = read_runs(m);
    int64_t end_us = MAX(m->done_us, m->undone_us);
    check(m, &s, problems);
    char *text = g_strdup_printf(
        "version %s, order of %.0f s, %s after %.1f s, %u bad answers",
        versions[m->version].name, m->order_s,
        m->done_us     ? "completed"
        : m->undone_us ? "rolled back"
                       : "not ended",
        end_us ? (double)(end_us - m->order_us) / WP_US_PER_S : 0, s.bad);
    g_array_unref(m->events);
    g_free(m);
    return text;
}
