/* Soak test of a store that comes back from older copies, in series, while keys
 * are revoked and added, entries are killed, and some of them are cut off from
 * the store. The seed (tests/soak-restore-cases.txt) chooses how. Checked while
 * it runs: a revoked key is refused, and a new one accepted, at each entry
 * within the bound on changes from the later of its write and the entry's
 * contact with the store.
 *
 * Guards against changes that are never in force after a restore: boxes
 * ordered them by revision alone. */
#include "soak_case.h"

enum {
    APPLY_MS = 2000,    /* within which a change must be in force */
    TOLERANCE_MS = 200, /* of the test's own requests */
    /* to the end, in which no fault or change begins, so that the last one is
       checked */
    END_MARGIN_MS = 4000,
    QUIET_MS = 2800, /* between two series of changes */
    CHANGES_MAX = 4, /* in a series */
    FILLER = 4,      /* writes that nobody reads, in a tick */
    RESTORES = 3,    /* in a series */
    PAUSE_MS = 4000  /* between two series of restores */
};

#define SERVED_MIN 0.97 /* of the callers' requests, without kills */

typedef struct RestoreCase {
    int up_ms;        /* from one return of the store to the next outage */
    int away_ms;      /* of an outage */
    int copy_ms;      /* age of the copy */
    int rewrite_ms;   /* until others write again what is lost */
    const char *down; /* how the store is away */
    int kill_ms;      /* between two kills; 0: none */
    bool kill_all;    /* all entries at once; else in turn */
    bool cut;         /* half of the entries reach the store 1 s later */
} RestoreCase;

/* Chosen by the seed modulo their number. */
static const RestoreCase cases[] = {
    { 3000, 1000, 3000, 0, "silent", 0, false, false },
    { 2500, 500, 2000, 400, "reset", 0, false, false },
    { 4000, 1200, 4000, 300, "busy", 0, false, true },
    { 2500, 300, 1500, 800, "silent", 4000, false, false },
    { 4000, 1000, 3000, 200, "reset", 5000, true, false },
    { 1200, 400, 3000, 100, "silent", 0, false, false },
    { 5000, 800, 500, 0, "silent", 1500, false, true },
    { 1500, 200, 8000, 300, "busy", 4000, false, true },
};

typedef struct SoakRestore {
    SoakCase base;
    TestCluster *cluster;
    const RestoreCase *plan;
    GRand *rand;
    unsigned entries, next_kill, restores, checks;
    int64_t end_ms, next_change_ms, next_fault_ms, heal_ms, next_kill_ms;
    int64_t returned_ms;    /* when the store last came back */
    int64_t started_ms[64]; /* of each entry */
    bool away, ended;
    /* The version of the latest configuration, when it was written, and the
       number of changes left in the series. */
    unsigned version, changes_left;
    int64_t written_ms;
} SoakRestore;

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

static SoakCase *create(const SoakSetup *setup)
{
    SoakRestore *s = g_new0(SoakRestore, 1);
    int64_t now = now_ms();
    s->base = (SoakCase){ &soak_restore_ops, *setup };
    s->cluster = setup->cluster;
    s->plan = &cases[setup->seed % WP_COUNT(cases)];
    s->rand = g_rand_new_with_seed(setup->seed);
    s->entries = setup->entries;
    s->end_ms = now + (int64_t)setup->seconds * WP_MS_PER_S - END_MARGIN_MS;
    s->next_change_ms = now;
    s->next_fault_ms = now + s->plan->up_ms;
    s->next_kill_ms = now + s->plan->kill_ms;
    s->returned_ms = now;
    s->version = 1;
    for (unsigned i = 0; i < setup->entries; i++)
        s->started_ms[i] = now;
    return &s->base;
}

/* Writes a configuration with a key of its own; the one before is revoked. */
static void change(SoakRestore *s, int64_t now)
{
    if (s->away || now < s->next_change_ms)
        return;
    if (!s->changes_left)
        s->changes_left =
            (unsigned)g_rand_int_range(s->rand, 1, CHANGES_MAX + 1);
    cluster_write_version_key(s->cluster, ++s->version);
    s->written_ms = now_ms();
    s->changes_left--;
    s->next_change_ms =
        s->written_ms +
        (s->changes_left ? g_rand_int_range(s->rand, 20, 300) : QUIET_MS);
}

static void cut(SoakRestore *s, const char *json)
{
    for (unsigned i = 0; s->plan->cut && i < s->entries / 2; i++)
        cluster_set_store_proxy(s->cluster, i, json);
}

static void take_store_away(SoakRestore *s, int64_t now)
{
    g_autofree char *json = g_strdup_printf("{\"down\":\"%s\"}", s->plan->down);
    cluster_control_store(s->cluster, json);
    cut(s, "{\"mode\":\"silent\"}");
    s->away = true;
    s->next_fault_ms = now + s->plan->away_ms;
}

static void bring_store_back(SoakRestore *s)
{
    cluster_restore_store(s->cluster, (unsigned)s->plan->copy_ms,
                          (unsigned)s->plan->rewrite_ms);
    s->away = false;
    s->restores++;
    s->returned_ms = now_ms();
    s->next_fault_ms =
        s->returned_ms + (s->restores % RESTORES ? s->plan->up_ms : PAUSE_MS);
    s->heal_ms = s->returned_ms + WP_MS_PER_S;
    /* The first change comes at once. */
    s->next_change_ms = s->changes_left ? s->returned_ms : s->next_change_ms;
}

static void kill_entries(SoakRestore *s, int64_t now)
{
    if (!s->plan->kill_ms || now < s->next_kill_ms)
        return;
    s->next_kill_ms = now + s->plan->kill_ms;
    for (unsigned i = 0; i < s->entries; i++) {
        if (!s->plan->kill_all && i != s->next_kill % s->entries)
            continue;
        soak_case_restart_entry(&s->base, i);
        s->started_ms[i] = now_ms();
    }
    s->next_kill++;
}

/* The status of a request with the key of a version; 0: no answer. */
static int status_of(SoakRestore *s, unsigned entry, unsigned version)
{
    g_autofree char *field =
        g_strdup_printf("Authorization: Token version-%u\r\n", version);
    ClusterAnswer a =
        cluster_request(s->cluster, entry, "GET", "/call/x", field);
    int status = a.status;
    cluster_answer_release(&a);
    return status;
}

/* Since when the entry must have all changes. */
static int64_t bound_ms(const SoakRestore *s, unsigned entry)
{
    int64_t contact_ms = MAX(s->returned_ms, s->started_ms[entry]);
    return MAX(s->written_ms, contact_ms) + APPLY_MS + TOLERANCE_MS;
}

static void check_entry(SoakRestore *s, unsigned entry, int64_t now,
                        GString *problems)
{
    if (s->away || s->version < 2 || now < bound_ms(s, entry))
        return;
    int revoked = status_of(s, entry, s->version - 1);
    int present = status_of(s, entry, s->version);
    s->checks++;
    if (revoked && revoked != 401 && revoked != 503)
        g_string_append_printf(
            problems, "    entry %u: key of version %u gets %d, %ld ms late\n",
            entry, s->version - 1, revoked, (long)(now - bound_ms(s, entry)));
    if (present == 401)
        g_string_append_printf(
            problems, "    entry %u: key of version %u gets 401, %ld ms late\n",
            entry, s->version, (long)(now - bound_ms(s, entry)));
}

static void tick(SoakCase *base, GString *problems)
{
    SoakRestore *s = (SoakRestore *)base;
    int64_t now = now_ms();
    if (s->heal_ms && now >= s->heal_ms) {
        cut(s, "{\"mode\":\"pass\"}");
        s->heal_ms = 0;
    }
    if (!s->away && now >= s->end_ms)
        s->ended = true;
    if (!s->ended && now >= s->next_fault_ms) {
        if (s->away)
            bring_store_back(s);
        else
            take_store_away(s, now);
    }
    if (!s->ended)
        kill_entries(s, now);
    if (!s->away)
        cluster_write_filler(s->cluster, FILLER);
    if (!s->ended)
        change(s, now);
    for (unsigned i = 0; i < s->entries; i++)
        check_entry(s, i, now_ms(), problems);
}

static char *end(SoakCase *base, const SoakTotals *totals, GString *problems)
{
    SoakRestore *s = (SoakRestore *)base;
    double share = totals->sent ? (double)totals->served / totals->sent : 0;
    if (!s->plan->kill_ms && share < SERVED_MIN)
        g_string_append_printf(problems, "    served %.3f\n", share);
    if (!s->checks)
        g_string_append(problems, "    nothing was checked\n");
    char *text =
        g_strdup_printf("%u restores, %u versions, %u checks, served %.3f",
                        s->restores, s->version, s->checks, share);
    g_rand_free(s->rand);
    g_free(s);
    return text;
}

const SoakCaseOps soak_restore_ops = {
    .option = "restores",
    .help = "the store is restored from older copies in series",
    .other_faults = SOAK_FAULTS_NONE,
    .pace = SOAK_PACE_ALL,
    .writes_config = true,
    .create = create,
    .tick = tick,
    .end = end
};
