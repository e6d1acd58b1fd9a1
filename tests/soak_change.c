/* Measures how long it takes until a revoked key is refused at each entry, from
 * the later of the write of that change and the store's return. The seed
 * chooses what happens beside it. Checked: the bound on changes. */
#include "soak_case.h"

enum {
    APPLY_MS = 2000, /* within which a change must be in force */
    WAIT_MAX_MS = 6000,
    POLL_US = 2000,
    FAULT_LEAD_MS = 50, /* from a fault to the change */
    AWAY_MS = 700,
    REST_MAX_MS = 2500 /* between two changes, at random */
};

typedef enum Cause {
    NONE,
    STRANDED,      /* open connections to the store fall silent */
    SLOW,          /* the store takes 0.25 s to answer */
    STRANDED_SLOW, /* both */
    CUT,           /* half of the entries do not reach the store */
    KILLED,        /* an entry is killed with the change */
    AWAY,          /* the store was away until the change */
    RESTORED,      /* the same, and it comes back from an older copy */
    CAUSES
} Cause;

static const char *const cause_names[CAUSES] = {
    "nothing",           "stranded connections", "a slow store",
    "stranded and slow", "entries cut",          "an entry killed",
    "the store away",    "the store restored"
};

typedef struct SoakChange {
    SoakCase base;
    TestCluster *cluster;
    Cause cause;
    GRand *rand;
    unsigned entries, version;
    GArray *in_force_ms; /* int */
} SoakChange;

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

static SoakCase *create(const SoakSetup *setup)
{
    SoakChange *s = g_new0(SoakChange, 1);
    s->base = (SoakCase){ &soak_change_ops, *setup };
    s->cluster = setup->cluster;
    s->cause = (Cause)(setup->seed % CAUSES);
    s->rand = g_rand_new_with_seed(setup->seed);
    s->entries = setup->entries;
    s->version = 2;
    s->in_force_ms = g_array_new(FALSE, FALSE, sizeof(int));
    cluster_write_version_key(setup->cluster, s->version);
    return &s->base;
}

static void set_proxies(SoakChange *s, unsigned entries, const char *json)
{
    for (unsigned i = 0; i < entries; i++)
        cluster_set_store_proxy(s->cluster, i, json);
}

/* Sets the fault; returns with the store reachable by some entry. */
static void begin_fault(SoakChange *s)
{
    bool strands = s->cause == STRANDED || s->cause == STRANDED_SLOW;
    if (s->cause == SLOW || s->cause == STRANDED_SLOW)
        set_proxies(s, s->entries, "{\"delay_ms\":125}");
    if (strands)
        set_proxies(s, s->entries, "{\"strand\":true}");
    if (s->cause == CUT)
        set_proxies(s, s->entries / 2, "{\"mode\":\"silent\"}");
    if (s->cause == AWAY || s->cause == RESTORED) {
        cluster_write_filler(s->cluster, 50);
        cluster_control_store(s->cluster, "{\"down\":\"silent\"}");
        g_usleep(AWAY_MS * WP_US_PER_MS);
    }
    g_usleep(FAULT_LEAD_MS * WP_US_PER_MS);
    if (s->cause == AWAY)
        cluster_control_store(s->cluster, "{\"down\":\"\"}");
    if (s->cause == RESTORED)
        cluster_restore_store(s->cluster, 2 * AWAY_MS, 0);
}

static void end_fault(SoakChange *s)
{
    set_proxies(s, s->entries, "{\"mode\":\"pass\",\"delay_ms\":0}");
}

static bool is_in_force(SoakChange *s, unsigned entry)
{
    g_autofree char *field =
        g_strdup_printf("Authorization: Token version-%u\r\n", s->version - 1);
    ClusterAnswer a =
        cluster_request(s->cluster, entry, "GET", "/call/x", field);
    int status = a.status;
    cluster_answer_release(&a);
    /* An entry that starts does not serve. */
    return status == 401 || !status || status == 503;
}

static void wait_in_force(SoakChange *s, int64_t written_ms, GString *problems)
{
    g_autofree bool *done = g_new0(bool, s->entries);
    unsigned left = s->entries;
    while (left && now_ms() < written_ms + WAIT_MAX_MS) {
        for (unsigned i = 0; i < s->entries; i++) {
            if (done[i] || !is_in_force(s, i))
                continue;
            int ms = (int)(now_ms() - written_ms);
            done[i] = true;
            left--;
            g_array_append_val(s->in_force_ms, ms);
            if (ms > APPLY_MS)
                g_string_append_printf(
                    problems, "    entry %u: version %u in force after %d ms\n",
                    i, s->version, ms);
        }
        g_usleep(POLL_US);
    }
    if (left)
        g_string_append_printf(problems,
                               "    %u entries: version %u not in force\n",
                               left, s->version);
}

static void tick(SoakCase *base, GString *problems)
{
    SoakChange *s = (SoakChange *)base;
    begin_fault(s);
    cluster_write_version_key(s->cluster, ++s->version);
    int64_t written_ms = now_ms();
    if (s->cause == KILLED)
        soak_case_restart_entry(&s->base, s->version % s->entries);
    wait_in_force(s, written_ms, problems);
    end_fault(s);
    g_usleep((gulong)g_rand_int_range(s->rand, 0, REST_MAX_MS) * WP_US_PER_MS);
}

static gint by_value(gconstpointer a, gconstpointer b)
{
    return *(const int *)a - *(const int *)b;
}

static char *end(SoakCase *base, const SoakTotals *totals, GString *problems)
{
    SoakChange *s = (SoakChange *)base;
    (void)totals;
    guint n = s->in_force_ms->len;
    (void)problems;
    g_array_sort(s->in_force_ms, by_value);
    const int *ms = (const int *)(void *)s->in_force_ms->data;
    char *text = g_strdup_printf(
        "beside %s: %u in force after %d ms (half), %d (nine of ten), %d (all)",
        cause_names[s->cause], n, n ? ms[n / 2] : 0, n ? ms[n * 9 / 10] : 0,
        n ? ms[n - 1] : 0);
    g_array_unref(s->in_force_ms);
    g_rand_free(s->rand);
    g_free(s);
    return text;
}

const SoakCaseOps soak_change_ops = {
    .option = "changes",
    .help = "how long changes take to be in force",
    .other_faults = SOAK_FAULTS_NONE,
    .pace = SOAK_PACE_ALL,
    .writes_config = true,
    .create = create,
    .tick = tick,
    .end = end
};
