/* Soak test of the retry budget: all endpoints refuse or fail most requests
 * while entries are killed, frozen or stopped in series. The seed
 * (tests/soak-retry-cases.txt) chooses how. Checked at the end, by the
 * endpoints' run log: all entries together keep to the budget in every
 * window.
 *
 * Guards against retries beyond the budget where entries are killed in series:
 * a process did not know what the one before it had taken. */
#include "soak_case.h"

#include <signal.h>

enum {
    FAULTS_AT_MS = 1500,
    FREEZE_MS = 700,
    END_MARGIN_MS = 1000, /* without faults at the end */
    SLACK = 50,           /* of the entries' settings, a window */
    WINDOW_MS = 10000,
    LOG_WORDS = 5 /* of an arrival: kind, "-", ms, endpoint, request */
};

#define RATIO 0.1 /* of the entries' settings, to the requests of a window */

typedef struct RetryCase {
    const char *fault; /* of all endpoints */
    int every_ms;      /* between two faults of entries */
    bool all;          /* all entries at once; else in turn */
    int signal;        /* SIGKILL, SIGTERM or SIGSTOP */
} RetryCase;

#define REFUSE "{\"refuse\":0.8,\"noting\":true}"
#define FAIL "{\"fail\":0.8,\"noting\":true}"
#define NO_FAULT "{\"refuse\":0,\"fail\":0}"

/* Chosen by the seed modulo their number. */
static const RetryCase cases[] = {
    { REFUSE, 900, false, SIGKILL },  { REFUSE, 1700, true, SIGKILL },
    { FAIL, 700, false, SIGKILL },    { FAIL, 2500, true, SIGKILL },
    { REFUSE, 2000, false, SIGTERM }, { REFUSE, 1500, false, SIGSTOP },
    { FAIL, 2500, true, SIGSTOP },    { REFUSE, 60000, false, SIGKILL },
};

typedef struct SoakRetry {
    SoakCase base;
    TestCluster *cluster;
    const RetryCase *plan;
    unsigned entries, replicas, next;
    int64_t start_ms, next_ms;
    int64_t frozen_until_ms; /* 0: none is frozen */
    int64_t end_ms;          /* of the faults */
    bool failing, ended;
} SoakRetry;

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

static void set_fault(SoakRetry *s, const char *json)
{
    for (unsigned i = 0; i < s->replicas; i++)
        cluster_try_replica_faults(s->cluster, i, json);
}

static SoakCase *create(const SoakSetup *setup)
{
    SoakRetry *s = g_new0(SoakRetry, 1);
    s->base = (SoakCase){ &soak_retry_ops, *setup };
    s->cluster = setup->cluster;
    s->plan = &cases[setup->seed % WP_COUNT(cases)];
    s->entries = setup->entries;
    s->replicas = setup->replicas;
    s->next = setup->seed;
    s->start_ms = now_ms();
    s->end_ms =
        s->start_ms + (int64_t)setup->seconds * WP_MS_PER_S - END_MARGIN_MS;
    s->next_ms = s->start_ms + FAULTS_AT_MS + (int64_t)setup->seed * 37 % 1000;
    set_fault(s, "{\"noting\":true}"); /* starts the log of arrivals */
    return &s->base;
}

static void strike(SoakRetry *s, unsigned entry)
{
    if (s->plan->signal != SIGKILL)
        cluster_signal_entry(s->cluster, entry, s->plan->signal);
    if (s->plan->signal == SIGKILL)
        soak_case_restart_entry(&s->base, entry);
}

static void end_strike(SoakRetry *s)
{
    for (unsigned i = 0; i < s->entries; i++) {
        if (s->plan->signal == SIGSTOP)
            cluster_signal_entry(s->cluster, i, SIGCONT);
        else if (s->plan->all || i == s->next % s->entries)
            soak_case_restart_entry(&s->base, i);
    }
    s->frozen_until_ms = 0;
    s->next++;
}

static void end_faults(SoakRetry *s)
{
    s->ended = true;
    if (s->frozen_until_ms)
        end_strike(s);
    set_fault(s, NO_FAULT);
}

static void strike_next(SoakRetry *s, int64_t now)
{
    s->next_ms = now + s->plan->every_ms;
    for (unsigned i = 0; i < s->entries; i++)
        if (s->plan->all || i == s->next % s->entries)
            strike(s, i);
    if (s->plan->signal == SIGKILL)
        s->next++;
    else
        s->frozen_until_ms = now + FREEZE_MS;
}

static void tick(SoakCase *base, GString *problems)
{
    SoakRetry *s = (SoakRetry *)base;
    int64_t now = now_ms();
    (void)problems;
    if (s->ended)
        return;
    if (now >= s->end_ms) {
        end_faults(s);
        return;
    }
    if (!s->failing && now >= s->start_ms + FAULTS_AT_MS) {
        s->failing = true;
        set_fault(s, s->plan->fault);
    }
    if (s->frozen_until_ms && now >= s->frozen_until_ms)
        end_strike(s);
    if (now >= s->next_ms)
        strike_next(s, now);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
    int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

/* When arrivals beyond the first of their request came, in order (int64_t). */
static GArray *read_retries(const SoakRetry *s)
{
    GArray *at_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    g_autoptr(GHashTable) seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_autofree char *file =
        g_build_filename(cluster_folder(s->cluster), "runs", NULL);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return at_ms;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line; line++) {
        g_auto(GStrv) word = g_strsplit(*line, " ", LOG_WORDS);
        if (g_strv_length(word) < LOG_WORDS || strcmp(word[0], "CAME"))
            continue;
        int64_t ms = g_ascii_strtoll(word[2], NULL, 10);
        if (!g_hash_table_add(seen, g_strdup(word[4])))
            g_array_append_val(at_ms, ms);
    }
    g_array_sort(at_ms, by_time);
    return at_ms;
}

static unsigned count_within(const GArray *at_ms, int64_t from_ms)
{
    unsigned n = 0;
    for (guint i = 0; i < at_ms->len; i++) {
        int64_t ms = g_array_index(at_ms, int64_t, i);
        n += ms >= from_ms && ms < from_ms + WINDOW_MS;
    }
    return n;
}

/* Retries that the platform allows in the window from `from_ms` on: by the
   requests of that window, of the one before or of the one half a window
   earlier, whichever has most. */
static double allowed_within(const GArray *sent_ms, int64_t from_ms)
{
    unsigned n = MAX(count_within(sent_ms, from_ms),
                     MAX(count_within(sent_ms, from_ms - WINDOW_MS),
                         count_within(sent_ms, from_ms - WINDOW_MS / 2)));
    return RATIO * n + SLACK;
}

static char *end(SoakCase *base, const SoakTotals *totals, GString *problems)
{
    SoakRetry *s = (SoakRetry *)base;
    g_autoptr(GArray) retries = read_retries(s);
    unsigned most = 0;
    double allowed = SLACK, over = 0;
    for (guint i = 0; i < retries->len; i++) {
        int64_t from_ms = g_array_index(retries, int64_t, i);
        unsigned n = count_within(retries, from_ms);
        double max = allowed_within(totals->sent_ms, from_ms);
        if (i && n - max <= over && n <= most)
            continue;
        over = MAX(over, n - max);
        most = n;
        allowed = max;
    }
    if (over > 0)
        g_string_append_printf(problems, "    %.0f retries over the budget\n",
                               over);
    char *text = g_strdup_printf("at most %u retries in 10 s (allowed %.0f)",
                                 most, allowed);
    g_free(s);
    return text;
}

const SoakCaseOps soak_retry_ops = {
    .option = "retries",
    .help = "endpoints that refuse or fail, entries killed in series",
    .other_faults = SOAK_FAULTS_NONE,
    .pace = SOAK_PACE_ALL,
    .create = create,
    .tick = tick,
    .end = end
};
