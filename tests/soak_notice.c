/* Soak test of endpoints that report that they are draining, or that ask a box
 * to back off for a while. The seed (tests/soak-notice-cases.txt) chooses
 * whether some, most or all of them do, in series that overlap, together with
 * entries that are killed, an unavailable store, a shift between versions, an
 * evacuated zone, or restarts of the draining endpoints. Checked at the end: by
 * the endpoints' run log, no box sent requests to an endpoint after such a
 * report (except those in flight), and endpoints get requests again after a
 * back-off and after a restart; by the callers' answers, they were served while
 * other endpoints had capacity.
 *
 * Guards against such reports being ignored. */
#include "soak_case.h"

#include <stdio.h>
#include <stdlib.h>

enum {
    SLOTS = 6, /* of each endpoint; few, so that load matters for the choice */
    NOTICES_AT_MS = 1500,
    DRAINING_GRACE_MS = 2000, /* after a report requests may still come */
    BACKOFF_GRACE_MS = 500,   /* the same after a request for back-off */
    BACKOFF_REQUESTS_MAX = 2, /* allowed in what is left of a back-off */
    KILL_EVERY_MS = 3000,
    OUTAGE_FROM_MS = 2000,
    OUTAGE_TO_MS = 8000,
    BACKOFF_EVERY_MS = 6000,
    RANDOM_MIN_MS = 500,
    RANDOM_MAX_MS = 2500,
    SHIFT_MS = 5000,
    RECOVERY_MS = 1500,    /* from a back-off's end to the next request */
    RESTART_WORK_MS = 3000 /* the same from a restart on */
};

#define SERVED_MIN 0.98 /* of the callers' requests */

typedef struct NoticeCase {
    unsigned draining_tenths; /* of the endpoints that drain, the first ones */
    unsigned backoff_tenths;  /* that ask for back-off, the last ones */
    const char *draining_field; /* the field's text; NULL: "1" */
    const char *backoff_field;  /* the field's text; NULL: by `backoff_ms` */
    int backoff_ms;             /* of each BACKOFF_EVERY_MS; 0: random times */
    int delay_ms;               /* of each answer; 0: the stand-in's default */
    bool kills, kills_all, store_down, shifts_version, evacuates_zone;
    bool restarts_draining; /* draining endpoints restart in the middle */
    bool has_room;          /* the other endpoints can serve all requests */
    const char *fault;      /* set at those that drain; NULL: none */
} NoticeCase;

/* Chosen by the seed modulo their number. */
static const NoticeCase cases[] = {
    { .draining_tenths = 2, .has_room = true },
    { .draining_tenths = 2, .kills = true },
    { .draining_tenths = 9 },
    { .draining_tenths = 10, .restarts_draining = true },
    { .draining_tenths = 2, .store_down = true, .has_room = true },
    { .backoff_tenths = 2, .backoff_ms = 3000, .has_room = true },
    { .backoff_tenths = 2, .backoff_ms = 3000, .kills = true },
    { .backoff_tenths = 8, .backoff_ms = 3000, .has_room = true },
    { .backoff_tenths = 10, .backoff_ms = 3000 },
    { .backoff_tenths = 5, .has_room = true },
    { .draining_tenths = 2,
      .backoff_tenths = 3,
      .backoff_ms = 2000,
      .store_down = true,
      .kills = true },
    { .draining_tenths = 2, .restarts_draining = true, .has_room = true },
    { .backoff_tenths = 5, .shifts_version = true },
    { .draining_tenths = 3,
      .backoff_tenths = 2,
      .draining_field = "0",
      .backoff_field = "nan",
      .has_room = true },
    { .draining_tenths = 2, .backoff_tenths = 2, .kills_all = true },
    { .draining_tenths = 2, .fault = "{\"refuse\":0.5}", .has_room = true },
    { .draining_tenths = 2, .backoff_tenths = 2, .evacuates_zone = true },
    { .draining_tenths = 5,
      .backoff_tenths = 5,
      .backoff_ms = 3000,
      .kills = true },
    { .backoff_tenths = 2,
      .backoff_ms = 3000,
      .delay_ms = 300,
      .has_room = true },
    { .backoff_tenths = 5, .delay_ms = 300, .has_room = true },
    { .draining_tenths = 4, .delay_ms = 300, .has_room = true },
    { .draining_tenths = 7, .has_room = true },
};

/* A period in which an entry's process was restarted. */
typedef struct Restart {
    unsigned entry;
    int64_t from_ms, to_ms;
} Restart;

typedef struct SoakNotice {
    SoakCase base;
    TestCluster *cluster;
    const NoticeCase *plan;
    GRand *rand;
    GArray *restarts; /* Restart */
    unsigned entries, replicas, n_draining, n_backoff;
    int64_t start_ms, half_ms, killed_ms, draining_restart_ms;
    int64_t *next_backoff_ms; /* of each endpoint that asks for back-off */
    unsigned next_kill;
    bool notices_set, half_done, store_is_down, zone_is_evacuated,
        shift_ordered;
} SoakNotice;

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

static const NoticeCase *case_for_seed(uint32_t seed)
{
    return &cases[seed % WP_COUNT(cases)];
}

static TestCluster *start(uint32_t seed, unsigned entries, unsigned replicas)
{
    return cluster_new_with_slots(entries, replicas, SLOTS,
                                  case_for_seed(seed)->evacuates_zone);
}

/* Makes the endpoints log arrivals and their own reports to the run log. */
static void start_logging(const SoakNotice *n)
{
    g_autofree char *slow =
        g_strdup_printf("{\"delay_ms\":%d}", n->plan->delay_ms);
    for (unsigned i = 0; i < n->replicas; i++) {
        cluster_try_replica_faults(n->cluster, i, "{\"noting\":true}");
        if (n->plan->delay_ms)
            cluster_try_replica_faults(n->cluster, i, slow);
    }
}

static SoakCase *create(const SoakSetup *setup)
{
    SoakNotice *n = g_new0(SoakNotice, 1);
    n->base = (SoakCase){ &soak_notice_ops, *setup };
    n->cluster = setup->cluster;
    n->plan = case_for_seed(setup->seed);
    n->rand = g_rand_new_with_seed(setup->seed);
    n->restarts = g_array_new(FALSE, FALSE, sizeof(Restart));
    n->entries = setup->entries;
    n->replicas = setup->replicas;
    n->n_draining = n->plan->draining_tenths * setup->replicas / 10;
    n->n_backoff = n->plan->backoff_tenths * setup->replicas / 10;
    n->next_backoff_ms = g_new0(int64_t, n->n_backoff + 1);
    n->start_ms = now_ms();
    n->half_ms = (int64_t)setup->seconds * WP_MS_PER_S / 2;
    start_logging(n);
    return &n->base;
}

static void restart_entry(SoakNotice *n, unsigned entry)
{
    Restart r = { .entry = entry, .from_ms = now_ms() };
    soak_case_restart_entry(&n->base, entry);
    r.to_ms = now_ms();
    g_array_append_val(n->restarts, r);
}

static void set_draining(SoakNotice *n)
{
    const char *field = n->plan->draining_field ? n->plan->draining_field : "1";
    g_autofree char *json = g_strdup_printf("{\"leaving\":\"%s\"}", field);
    for (unsigned i = 0; i < n->n_draining; i++) {
        cluster_try_replica_faults(n->cluster, i, json);
        if (n->plan->fault)
            cluster_try_replica_faults(n->cluster, i, n->plan->fault);
    }
}

/* If it is due, makes the endpoint with index `i` from the end ask for
   back-off. */
static void set_backoff(SoakNotice *n, unsigned i, int64_t now)
{
    const NoticeCase *plan = n->plan;
    int64_t *next_ms = &n->next_backoff_ms[i];
    unsigned at = n->replicas - 1 - i;
    g_autofree char *json = NULL;
    if (now < *next_ms)
        return;
    if (plan->backoff_field) {
        *next_ms = INT64_MAX;
        json = g_strdup_printf("{\"rest\":\"%s\"}", plan->backoff_field);
    } else if (plan->backoff_ms) {
        *next_ms = now + BACKOFF_EVERY_MS;
        json = g_strdup_printf("{\"rest_ms\":%d}", plan->backoff_ms);
    } else {
        int ms = g_rand_int_range(n->rand, RANDOM_MIN_MS, RANDOM_MAX_MS);
        *next_ms = now + ms + g_rand_int_range(n->rand, 0, RANDOM_MAX_MS);
        json = g_strdup_printf("{\"rest_ms\":%d}", ms);
    }
    cluster_try_replica_faults(n->cluster, at, json);
}

/* Restarts the draining endpoints; the new incarnations report nothing. */
static void restart_draining_replicas(SoakNotice *n)
{
    n->draining_restart_ms = now_ms();
    for (unsigned i = 0; i < n->n_draining; i++) {
        cluster_restart_replica(n->cluster, i);
        cluster_wait_replica_up(n->cluster, i);
        cluster_try_replica_faults(n->cluster, i, "{\"noting\":true}");
    }
}

static void run_half_time_events(SoakNotice *n)
{
    n->half_done = true;
    if (n->plan->restarts_draining)
        restart_draining_replicas(n);
    for (unsigned i = 0; n->plan->kills_all && i < n->entries; i++)
        restart_entry(n, i);
}

/* Plays the case's faults besides the reports. */
static void tick_other_faults(SoakNotice *n, int64_t now, int64_t age_ms)
{
    const NoticeCase *plan = n->plan;
    bool store_down_now =
        plan->store_down && age_ms >= OUTAGE_FROM_MS && age_ms < OUTAGE_TO_MS;
    bool evacuated_now = plan->evacuates_zone && age_ms >= OUTAGE_FROM_MS &&
                         age_ms < OUTAGE_TO_MS;
    if (n->store_is_down != store_down_now)
        cluster_control_store(n->cluster, store_down_now
                                              ? "{\"down\":\"silent\"}"
                                              : "{\"down\":\"\"}");
    if (n->zone_is_evacuated != evacuated_now)
        cluster_set_evacuated(n->cluster, evacuated_now);
    n->store_is_down = store_down_now;
    n->zone_is_evacuated = evacuated_now;
    if (plan->shifts_version && !n->shift_ordered && age_ms >= NOTICES_AT_MS) {
        n->shift_ordered = true;
        cluster_add_version(n->cluster, "v2", n->replicas, "{\"noting\":true}");
        cluster_order_shift(n->cluster, "v2", (double)SHIFT_MS / WP_MS_PER_S);
    }
    if (plan->kills && now - n->killed_ms >= KILL_EVERY_MS) {
        n->killed_ms = now;
        restart_entry(n, n->next_kill++ % n->entries);
    }
}

static void tick(SoakCase *base, GString *problems)
{
    SoakNotice *n = (SoakNotice *)base;
    int64_t now = now_ms(), age_ms = now - n->start_ms;
    (void)problems;
    if (age_ms < NOTICES_AT_MS)
        return;
    if (!n->notices_set) {
        n->notices_set = true;
        n->killed_ms = now;
        set_draining(n);
    }
    for (unsigned i = 0; i < n->n_backoff; i++)
        set_backoff(n, i, now);
    if (!n->half_done && age_ms >= n->half_ms)
        run_half_time_events(n);
    tick_other_faults(n, now, age_ms);
}

/* One line of the run log. */
typedef struct LogEntry {
    bool is_arrival;  /* of a request; else the endpoint's report to a box */
    bool is_draining; /* the report: draining; else back-off */
    double backoff_s; /* reported; 0: none */
    int64_t at_ms;
    const char *endpoint; /* interned */
    unsigned entry;       /* that sent the request or got the report */
} LogEntry;

/* Reads a line; false if it is of another kind. */
static bool read_line(const char *line, LogEntry *out)
{
    char what[8], detail[32], endpoint[64];
    long ms;
    if (sscanf(line, "%7s %31s %ld %63s e%u.", what, detail, &ms, endpoint,
               &out->entry) != 5)
        return false;
    out->is_arrival = !strcmp(what, "CAME");
    out->is_draining = !strcmp(detail, "leaving");
    out->backoff_s = g_ascii_strtod(detail, NULL);
    out->at_ms = ms;
    out->endpoint = g_intern_string(endpoint);
    return out->is_arrival || !strcmp(what, "TOLD");
}

static GArray *read_run_log(const SoakNotice *n)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(LogEntry));
    g_autofree char *file =
        g_build_filename(cluster_folder(n->cluster), "runs", NULL);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return all;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line; line++) {
        LogEntry one;
        if (read_line(*line, &one))
            g_array_append_val(all, one);
    }
    return all;
}

/* Whether the entry was restarted between the two times: a new process need not
   know of the report. */
static bool was_restarted(const SoakNotice *n, unsigned entry, int64_t from_ms,
                          int64_t to_ms)
{
    for (guint i = 0; i < n->restarts->len; i++) {
        const Restart *r = &g_array_index(n->restarts, Restart, i);
        if (r->entry == entry && r->to_ms >= from_ms && r->from_ms <= to_ms)
            return true;
    }
    return false;
}

/* Requests after `from_ms` up to `to_ms` at the endpoint of the report, from
   the entry that had got it and was not restarted since. */
static unsigned count_arrivals(const SoakNotice *n, const GArray *all,
                               const LogEntry *notice, int64_t from_ms,
                               int64_t to_ms)
{
    unsigned count = 0;
    for (guint i = 0; i < all->len; i++) {
        const LogEntry *c = &g_array_index(all, LogEntry, i);
        bool matches = c->is_arrival && c->endpoint == notice->endpoint &&
                       c->entry == notice->entry && c->at_ms > from_ms &&
                       c->at_ms <= to_ms;
        count +=
            matches && !was_restarted(n, c->entry, notice->at_ms, c->at_ms);
    }
    return count;
}

/* Time from `from_ms` until the endpoint's next request from any entry, or
   until `end_ms` if none came. */
static int64_t ms_until_arrival(const GArray *all, const char *endpoint,
                                int64_t from_ms, int64_t end_ms)
{
    for (guint i = 0; i < all->len; i++) {
        const LogEntry *c = &g_array_index(all, LogEntry, i);
        if (c->is_arrival && c->endpoint == endpoint && c->at_ms >= from_ms)
            return c->at_ms - from_ms;
    }
    return MAX(end_ms - from_ms, 0);
}

/* Whether the endpoint ever reported draining or back-off. */
static bool sent_notice(const GArray *all, const char *endpoint)
{
    for (guint i = 0; i < all->len; i++) {
        const LogEntry *notice = &g_array_index(all, LogEntry, i);
        if (!notice->is_arrival && notice->endpoint == endpoint)
            return true;
    }
    return false;
}

/* The longest time without requests at an endpoint that reported nothing: at
   low load some get none for seconds. */
static int64_t longest_idle_ms(const GArray *all)
{
    g_autoptr(GHashTable) last = g_hash_table_new(NULL, NULL);
    int64_t longest_ms = 0;
    for (guint i = 0; i < all->len; i++) {
        const LogEntry *c = &g_array_index(all, LogEntry, i);
        gpointer id = (gpointer)c->endpoint;
        const LogEntry *previous = g_hash_table_lookup(last, id);
        if (!c->is_arrival || sent_notice(all, c->endpoint))
            continue;
        if (previous)
            longest_ms = MAX(longest_ms, c->at_ms - previous->at_ms);
        g_hash_table_insert(last, id, (gpointer)c);
    }
    return longest_ms;
}

typedef struct Sums {
    unsigned late, backoffs, violated, max_requests, without_work;
    int64_t
        usual_idle_ms; /* longest time without requests of other endpoints */
    const LogEntry *worst; /* report with the most late requests; NULL: none */
} Sums;

static void check_draining(const SoakNotice *n, const GArray *all,
                           const LogEntry *notice, Sums *sums)
{
    unsigned late = count_arrivals(
        n, all, notice, notice->at_ms + DRAINING_GRACE_MS, INT64_MAX);
    if (late > sums->late)
        sums->worst = notice;
    sums->late = MAX(sums->late, late);
}

static void check_backoff(const SoakNotice *n, const GArray *all,
                          const LogEntry *notice, int64_t end_ms, Sums *sums)
{
    int64_t backoff_end_ms =
        notice->at_ms + (int64_t)(notice->backoff_s * WP_MS_PER_S);
    unsigned is_arrival = count_arrivals(
        n, all, notice, notice->at_ms + BACKOFF_GRACE_MS, backoff_end_ms);
    sums->backoffs++;
    sums->violated += is_arrival > BACKOFF_REQUESTS_MAX;
    sums->max_requests = MAX(sums->max_requests, is_arrival);
    sums->without_work +=
        ms_until_arrival(all, notice->endpoint, backoff_end_ms, end_ms) >
        MAX(RECOVERY_MS, sums->usual_idle_ms);
}

/* Number of endpoint ids that are new since the draining endpoints restarted
   and that got requests within 3 s. */
static unsigned count_restarted(const SoakNotice *n, const GArray *all)
{
    g_autoptr(GHashTable) known = g_hash_table_new(NULL, NULL);
    g_autoptr(GHashTable) restarted = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < all->len; i++) {
        const LogEntry *c = &g_array_index(all, LogEntry, i);
        gpointer id = (gpointer)c->endpoint;
        if (c->at_ms < n->draining_restart_ms)
            g_hash_table_add(known, id);
        else if (c->at_ms < n->draining_restart_ms + RESTART_WORK_MS &&
                 !g_hash_table_contains(known, id))
            g_hash_table_add(restarted, id);
    }
    return g_hash_table_size(restarted);
}

static void check_notices(const SoakNotice *n, const GArray *all,
                          int64_t end_ms, Sums *sums)
{
    for (guint i = 0; i < all->len; i++) {
        const LogEntry *notice = &g_array_index(all, LogEntry, i);
        if (notice->is_arrival)
            continue;
        if (notice->is_draining)
            check_draining(n, all, notice, sums);
        else
            check_backoff(n, all, notice, end_ms, sums);
    }
}

static void report_problems(const SoakNotice *n, const Sums *s,
                            unsigned restarted, double served_share,
                            GString *problems)
{
    const NoticeCase *plan = n->plan;
    bool checks_recovery = plan->has_room && !plan->backoff_field;
    if (s->late)
        g_string_append_printf(problems,
                               "    %u requests came more than %d ms after "
                               "their box got the report that the endpoint "
                               "is draining (entry %u, %s, report at %ld ms)\n",
                               s->late, DRAINING_GRACE_MS, s->worst->entry,
                               s->worst->endpoint,
                               (long)(s->worst->at_ms - n->start_ms));
    if (s->violated)
        g_string_append_printf(problems,
                               "    %u back-offs of %u violated, by up to %u "
                               "requests\n",
                               s->violated, s->backoffs, s->max_requests);
    if (checks_recovery && s->without_work)
        g_string_append_printf(
            problems, "    %u times no request %d ms after a back-off\n",
            s->without_work, (int)MAX(RECOVERY_MS, s->usual_idle_ms));
    if (plan->restarts_draining && restarted < n->n_draining)
        g_string_append_printf(problems,
                               "    %u of %u restarted endpoints have requests "
                               "%d ms after their start\n",
                               restarted, n->n_draining, RESTART_WORK_MS);
    if (plan->has_room && served_share < SERVED_MIN)
        g_string_append_printf(problems, "    served %.3f\n", served_share);
}

static char *end(SoakCase *base, const SoakTotals *totals, GString *problems)
{
    SoakNotice *n = (SoakNotice *)base;
    g_autoptr(GArray) all = read_run_log(n);
    double served_share =
        totals->sent ? (double)totals->served / totals->sent : 0;
    Sums sums = { .usual_idle_ms = longest_idle_ms(all) };
    check_notices(n, all, now_ms(), &sums);
    unsigned restarted =
        n->plan->restarts_draining ? count_restarted(n, all) : 0;
    report_problems(n, &sums, restarted, served_share, problems);
    char *text = g_strdup_printf(
        "%u draining (%u late), %u backing off (%u of %u back-offs violated, "
        "by at most %u), served %.3f",
        n->n_draining, sums.late, n->n_backoff, sums.violated, sums.backoffs,
        sums.max_requests, served_share);
    g_rand_free(n->rand);
    g_array_unref(n->restarts);
    g_free(n->next_backoff_ms);
    g_free(n);
    return text;
}

const SoakCaseOps soak_notice_ops = {
    .option = "notices",
    .help = "endpoints that drain or ask for back-off",
    .other_faults = SOAK_FAULTS_NONE,
    .pace = SOAK_PACE_ALL,
    .start = start,
    .create = create,
    .tick = tick,
    .end = end
};
