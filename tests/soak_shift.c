/* Soak test of a shift between versions: one order to shift to a version that
 * is good or fails in one of several ways, while entries' wall clocks step and
 * all entries are restarted at once. Checked at the end, by the endpoints' run
 * log: a bad version gets few requests, is rolled back in time, and no shift to
 * it is completed. */
#include "soak_case.h"

#include <stdio.h>

/* The bounds that the platform sets for shifts. */
#define NEW_SHARE_MAX 0.15 /* of the requests during the order's time */
enum {
    NEW_SHARE_SLACK = 30,       /* requests in addition to that share */
    ROLLBACK_BAD_ANSWERS = 50,  /* then a bad version must be rolled back */
    ROLLBACK_MS = 5000,         /* from then until it gets no requests */
    BAD_BEFORE_COMPLETION = 10, /* bad answers that forbid completion */
    CLOCK_STEPS_MAX = 4,        /* steps of wall clocks */
    RESTARTS_MAX = 2,           /* restarts of all entries at once */
    STEP_MIN_MS = 500,          /* how long a clock stays stepped */
    STEP_MAX_MS = 3000,         /* as above */
    ORDER_AT_MS = WP_MS_PER_S   /* from the start to the order */
};

/* `late`: the faults begin at 0.4 of the order's time. */
typedef struct Version {
    const char *name, *faults;
    bool bad, late, fails_little;
} Version;

static const Version versions[] = {
    { "good", "{}", false, false, false },
    { "errors", "{\"fail\":0.4}", true, false, false },
    { "few errors", "{\"fail\":0.15}", true, false, false },
    { "slow", "{\"slow\":0.7,\"slow_ms\":60}", true, false, false },
    { "one route", "{\"fail\":0.8,\"fail_path\":\"/stream\"}", true, false,
      false },
    { "late errors", "{\"fail\":0.5}", true, true, false },
};

/* From this seed on the version is slower: this share of its answers takes so
   much longer. */
enum { SLOWER_FROM_SEED = 1000 };
static const double slower_shares[] = { 0.3, 0.5, 0.7, 1 };
static const int slower_ms[] = { 40, 80, 160, 320 };

/* From this seed on it fails a small share of its answers, or of those of one
   route. It may be completed if it has shown hardly any failure; what it has
   shown KNOWN_MS before the end is known to all boxes. */
enum { FAILING_FROM_SEED = 2000, FAILING_BAD_MAX = 3, KNOWN_MS = 1000 };
static const double failing_shares[] = { 0.03, 0.06, 0.12, 0.25 };

static const int64_t steps_ms[] = { 2000, 20000, 60000, -2000, -20000 };

#define LATE_FRACTION 0.4

typedef enum EventKind {
    ORDER,
    TURN_BAD,
    CLOCK_STEP,
    CLOCK_RESET,
    RESTART_ALL
} EventKind;

typedef struct Event {
    int64_t at_us;
    EventKind kind;
    unsigned entry;
    int64_t ms;
} Event;

typedef struct SoakShift {
    SoakCase base;
    TestCluster *cluster;
    unsigned entries, replicas;
    Version version;
    char *drawn_faults; /* of a slower version */
    double order_s;
    GArray *events;       /* Event */
    int64_t order_us;     /* when the order was given; 0: not yet */
    int64_t completed_us; /* when the shift was seen completed; 0: not */
    int64_t reverted_us;  /* when it was seen rolled back; 0: not */
} SoakShift;

static void add_event(SoakShift *m, EventKind kind, int64_t at_us,
                      unsigned entry, int64_t ms)
{
    const Event e = { at_us, kind, entry, ms };
    g_array_append_val(m->events, e);
}

/* Plans up to 4 steps of wall clocks; the first clock is stepped from the
   start, the others later, and each is set back after a while. */
static void plan_clocks(SoakShift *m, GRand *r, int64_t now_us, int64_t span_us)
{
    int n = g_rand_int_range(r, 0, CLOCK_STEPS_MAX + 1);
    for (int i = 0; i < n; i++) {
        unsigned entry = (unsigned)g_rand_int_range(r, 0, (gint)m->entries);
        int64_t ms = steps_ms[g_rand_int_range(r, 0, (gint)WP_COUNT(steps_ms))];
        int64_t at_us = now_us + (int64_t)(g_rand_double(r) * (double)span_us);
        int64_t for_us = WP_US_PER_MS *
                         (int64_t)g_rand_int_range(r, STEP_MIN_MS, STEP_MAX_MS);
        add_event(m, CLOCK_STEP, i ? at_us : now_us, entry, ms);
        add_event(m, CLOCK_RESET, at_us + for_us, entry, 0);
    }
}

static Version draw_failing_version(SoakShift *m, GRand *r)
{
    double share =
        failing_shares[g_rand_int_range(r, 0, (gint)WP_COUNT(failing_shares))];
    bool one_route = g_rand_boolean(r);
    m->drawn_faults =
        g_strdup_printf("{\"fail\":%.2f%s}", share,
                        one_route ? ",\"fail_path\":\"/stream\"" : "");
    return (Version){ m->drawn_faults, m->drawn_faults, true, false, true };
}

static Version draw_version(SoakShift *m, uint32_t seed, GRand *r)
{
    if (seed >= FAILING_FROM_SEED)
        return draw_failing_version(m, r);
    if (seed < SLOWER_FROM_SEED)
        return versions[g_rand_int_range(r, 0, (gint)WP_COUNT(versions))];
    m->drawn_faults = g_strdup_printf(
        "{\"slow\":%.1f,\"slow_ms\":%d}",
        slower_shares[g_rand_int_range(r, 0, WP_COUNT(slower_shares))],
        slower_ms[g_rand_int_range(r, 0, WP_COUNT(slower_ms))]);
    return (Version){ m->drawn_faults, m->drawn_faults, true,
                      g_rand_int_range(r, 0, 4) == 0, false };
}

static TestCluster *start(uint32_t seed, unsigned entries, unsigned replicas)
{
    (void)seed;
    return cluster_new_with_clocks(entries, replicas);
}

static SoakCase *create(const SoakSetup *setup)
{
    SoakShift *m = g_new0(SoakShift, 1);
    GRand *r = g_rand_new_with_seed(setup->seed);
    int64_t now_us = g_get_monotonic_time();
    int64_t order_us = now_us + ORDER_AT_MS * WP_US_PER_MS;
    int64_t span_us = (int64_t)(setup->seconds - 2) * WP_US_PER_S;
    m->base = (SoakCase){ &soak_shift_ops, *setup };
    m->cluster = setup->cluster;
    m->entries = setup->entries;
    m->replicas = setup->replicas;
    m->order_s = setup->seconds - 2;
    m->version = draw_version(m, setup->seed, r);
    m->events = g_array_new(FALSE, FALSE, sizeof(Event));
    add_event(m, ORDER, order_us, 0, 0);
    if (m->version.late)
        add_event(m, TURN_BAD,
                  order_us + (int64_t)(LATE_FRACTION * (double)span_us), 0, 0);
    plan_clocks(m, r, now_us, (int64_t)setup->seconds * WP_US_PER_S);
    int restarts = g_rand_int_range(r, 0, RESTARTS_MAX + 1);
    for (int i = 0; i < restarts; i++)
        add_event(m, RESTART_ALL,
                  order_us + (int64_t)(g_rand_double(r) * (double)span_us), 0,
                  0);
    g_rand_free(r);
    return &m->base;
}

static void turn_bad(SoakShift *m)
{
    for (unsigned i = 0; i < m->replicas; i++)
        cluster_try_replica_faults(m->cluster, m->replicas + i,
                                   m->version.faults);
}

static void give_order(SoakShift *m)
{
    const char *faults = m->version.late ? "{}" : m->version.faults;
    cluster_add_version(m->cluster, "v2", m->replicas, faults);
    cluster_order_shift(m->cluster, "v2", m->order_s);
    m->order_us = g_get_monotonic_time();
}

static void run_event(SoakShift *m, const Event *e)
{
    switch (e->kind) {
    case ORDER:
        give_order(m);
        break;
    case TURN_BAD:
        turn_bad(m);
        break;
    case CLOCK_STEP:
    case CLOCK_RESET:
        cluster_step_clock(m->cluster, e->entry, e->ms);
        break;
    case RESTART_ALL:
        for (unsigned i = 0; i < m->entries; i++)
            soak_case_restart_entry(&m->base, i);
        break;
    }
}

/* Reads the state of the shift. As the operator does, removes the old endpoints
   as soon as it is completed. */
static void poll_state(SoakShift *m)
{
    if (!m->order_us || m->completed_us || m->reverted_us)
        return;
    g_autofree char *state = cluster_read_shift_state(m->cluster);
    if (!g_strcmp0(state, "completed")) {
        m->completed_us = g_get_monotonic_time();
        cluster_remove_replicas(m->cluster, m->replicas);
    } else if (!g_strcmp0(state, "rolled_back")) {
        m->reverted_us = g_get_monotonic_time();
    }
}

static void tick(SoakCase *base, GString *problems)
{
    SoakShift *m = (SoakShift *)base;
    (void)problems;
    for (guint i = 0; i < m->events->len;) {
        Event e = g_array_index(m->events, Event, i);
        if (e.at_us > g_get_monotonic_time()) {
            i++;
            continue;
        }
        g_array_remove_index(m->events, i);
        run_event(m, &e);
    }
    poll_state(m);
}

/* Counts from the endpoints' run log. */
typedef struct Sums {
    unsigned all,
        new_runs; /* runs in the order's time: in all, of the new version */
    unsigned bad; /* bad answers of the new version */
    /* Of those, before the shift was completed, and before that by KNOWN_MS. */
    unsigned bad_before_completion, bad_known;
    unsigned late;          /* runs of the new version after `rollback_by_ms` */
    int64_t rollback_by_ms; /* by when it must be rolled back; 0: it need not */
} Sums;

/* Counts one line: "!bad VERSION MS" or "ID PATH VERSION MS ZONE". */
static void add_line(const SoakShift *m, char **word, Sums *s)
{
    const char *version = word[0][0] == '!' ? word[1] : word[2];
    const char *ms_text = word[0][0] == '!' ? word[2] : word[3];
    if (!version || !ms_text)
        return;
    int64_t ms = g_ascii_strtoll(ms_text, NULL, 10);
    int64_t end_ms =
        m->order_us / WP_US_PER_MS + (int64_t)(m->order_s * WP_MS_PER_S);
    bool is_new = !strcmp(version, "v2");
    bool within = ms >= m->order_us / WP_US_PER_MS && ms < end_ms;
    if (word[0][0] != '!') {
        s->all += within;
        s->new_runs += within && is_new;
        s->late += is_new && s->rollback_by_ms && ms > s->rollback_by_ms;
    } else if (is_new) {
        s->bad++;
        s->bad_before_completion +=
            m->completed_us && ms < m->completed_us / WP_US_PER_MS;
        s->bad_known +=
            m->completed_us && ms < m->completed_us / WP_US_PER_MS - KNOWN_MS;
        if (s->bad == ROLLBACK_BAD_ANSWERS)
            s->rollback_by_ms = ms + ROLLBACK_MS;
    }
}

static Sums read_runs(const SoakShift *m)
{
    Sums s = { 0 };
    g_autofree char *file =
        g_build_filename(cluster_folder(m->cluster), "runs", NULL);
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

static void check(const SoakShift *m, const Sums *s, GString *problems)
{
    unsigned new_max = (unsigned)(NEW_SHARE_MAX * s->all) + NEW_SHARE_SLACK;
    if (!m->version.bad) {
        if (m->reverted_us)
            g_string_append(problems, "    the good version was rolled back\n");
        return;
    }
    if (s->new_runs > new_max)
        g_string_append_printf(
            problems,
            "    the bad version got %u of %u requests of the order's time, "
            "%u are allowed\n",
            s->new_runs, s->all, new_max);
    if (m->version.fails_little && m->completed_us) {
        if (s->bad_known > FAILING_BAD_MAX)
            g_string_append_printf(problems,
                                   "    the shift was completed, %u bad "
                                   "answers were known\n",
                                   s->bad_known);
        return;
    }
    if (s->late)
        g_string_append_printf(problems,
                               "    the bad version got %u requests later than "
                               "%d ms after its bad answer %d\n",
                               s->late, ROLLBACK_MS, ROLLBACK_BAD_ANSWERS);
    if (m->completed_us && s->bad_before_completion >= BAD_BEFORE_COMPLETION)
        g_string_append_printf(problems,
                               "    the shift was completed after %u bad "
                               "answers\n",
                               s->bad_before_completion);
}

static char *end(SoakCase *base, const SoakTotals *totals, GString *problems)
{
    SoakShift *m = (SoakShift *)base;
    Sums s = read_runs(m);
    int64_t end_us = MAX(m->completed_us, m->reverted_us);
    (void)totals;
    check(m, &s, problems);
    char *text = g_strdup_printf(
        "version %s, order of %.0f s, %s after %.1f s, %u bad answers",
        m->version.name, m->order_s,
        m->completed_us  ? "completed"
        : m->reverted_us ? "rolled back"
                         : "not ended",
        end_us ? (double)(end_us - m->order_us) / WP_US_PER_S : 0, s.bad);
    g_array_unref(m->events);
    g_free(m->drawn_faults);
    g_free(m);
    return text;
}

const SoakCaseOps soak_shift_ops = { .option = "moves",
                                     .help = "one version shift per run",
                                     .start = start,
                                     .create = create,
                                     .tick = tick,
                                     .end = end };
