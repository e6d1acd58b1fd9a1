/* Soak test of zone evacuations: an operator evacuates a zone and ends the
 * evacuation, again and again, while endpoints restart with their old ids and
 * are cold. Checked at the end, by the endpoints' run log: nothing ran in the
 * zone while it was evacuated, and no cold endpoint got more than it can
 * serve. */
#include "soak_case.h"

#include <stdlib.h>

enum {
    ORDER_APPLIED_MS = 2500, /* until each box has applied an order: a change of
                              the store is applied within 2 s, and delivery may
                              take half a second */
    EVACUATED_MIN_MS = 2800,
    EVACUATED_MAX_MS = 5000,
    IN_USE_MIN_MS = 600,
    IN_USE_MAX_MS = 2500,
    LOG_WORDS = 5 /* of a line of the run log: id, path, version, ms, zone */
};

typedef struct Evacuation {
    int64_t from_ms,
        to_ms; /* by the monotonic clock, which all processes share */
} Evacuation;

typedef struct SoakZone {
    SoakCase base;
    TestCluster *cluster;
    GRand *rand;
    GArray *evacuations; /* Evacuation; the last one's end is open while it
                            lasts */
    bool is_evacuated;
    int64_t next_toggle_ms;
} SoakZone;

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

static TestCluster *start(uint32_t seed, unsigned entries, unsigned replicas)
{
    (void)seed;
    return cluster_new_with_zones(entries, replicas);
}

static SoakCase *create(const SoakSetup *setup)
{
    SoakZone *z = g_new0(SoakZone, 1);
    z->base = (SoakCase){ &soak_zone_ops, *setup };
    z->cluster = setup->cluster;
    z->rand = g_rand_new_with_seed(setup->seed);
    z->evacuations = g_array_new(FALSE, FALSE, sizeof(Evacuation));
    z->next_toggle_ms =
        now_ms() + g_rand_int_range(z->rand, IN_USE_MIN_MS, IN_USE_MAX_MS);
    return &z->base;
}

static void toggle_evacuation(SoakZone *z)
{
    z->is_evacuated = !z->is_evacuated;
    if (z->is_evacuated) {
        cluster_set_evacuated(z->cluster, true);
        Evacuation s = { now_ms(), INT64_MAX };
        g_array_append_val(z->evacuations, s);
    } else {
        g_array_index(z->evacuations, Evacuation, z->evacuations->len - 1)
            .to_ms = now_ms();
        cluster_set_evacuated(z->cluster, false);
    }
}

static void tick(SoakCase *base, GString *problems)
{
    SoakZone *z = (SoakZone *)base;
    (void)problems;
    if (now_ms() < z->next_toggle_ms)
        return;
    toggle_evacuation(z);
    int min_ms = z->is_evacuated ? EVACUATED_MIN_MS : IN_USE_MIN_MS;
    int max_ms = z->is_evacuated ? EVACUATED_MAX_MS : IN_USE_MAX_MS;
    z->next_toggle_ms = now_ms() + g_rand_int_range(z->rand, min_ms, max_ms);
}

/* Whether every box had to know at this time that the zone was evacuated. */
static bool was_evacuated(const SoakZone *z, int64_t ms)
{
    for (guint i = 0; i < z->evacuations->len; i++) {
        const Evacuation *s = &g_array_index(z->evacuations, Evacuation, i);
        if (ms > s->from_ms + ORDER_APPLIED_MS && ms < s->to_ms)
            return true;
    }
    return false;
}

typedef struct Sums {
    unsigned runs, in_zone; /* in all; in the zone that is evacuated at times */
    unsigned in_zone_evacuated; /* runs there during an evacuation */
    unsigned over_cold_limit;   /* runs beyond what a cold endpoint can serve */
} Sums;

static void add_line(const SoakZone *z, const char *line, Sums *sums)
{
    g_auto(GStrv) word = g_strsplit(line, " ", LOG_WORDS);
    unsigned n = g_strv_length(word);
    sums->over_cold_limit += n && !strcmp(word[0], "COLD");
    if (n < LOG_WORDS)
        return;
    sums->runs++;
    if (strcmp(word[4], CLUSTER_EVACUATED_ZONE))
        return;
    sums->in_zone++;
    sums->in_zone_evacuated += was_evacuated(z, atoll(word[3]));
}

static Sums read_runs(const SoakZone *z)
{
    g_autofree char *file =
        g_build_filename(cluster_folder(z->cluster), "runs", NULL);
    g_autofree char *text = NULL;
    Sums sums = { 0 };
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return sums;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l; l++)
        add_line(z, *l, &sums);
    return sums;
}

static char *end(SoakCase *base, const SoakTotals *totals, GString *problems)
{
    SoakZone *z = (SoakZone *)base;
    (void)totals;
    if (z->is_evacuated)
        toggle_evacuation(z);
    Sums s = read_runs(z);
    if (s.in_zone_evacuated)
        g_string_append_printf(problems, "    %u runs in an evacuated zone\n",
                               s.in_zone_evacuated);
    if (s.over_cold_limit)
        g_string_append_printf(
            problems, "    %u runs beyond the limit of a cold endpoint\n",
            s.over_cold_limit);
    char *text = g_strdup_printf("zone evacuated %u times, %u of %u runs there",
                                 z->evacuations->len, s.in_zone, s.runs);
    g_rand_free(z->rand);
    g_array_unref(z->evacuations);
    g_free(z);
    return text;
}

const SoakCaseOps soak_zone_ops = { .option = "zones",
                                    .help = "evacuate a zone repeatedly",
                                    .other_faults = SOAK_FAULTS_RESTARTS,
                                    .start = start,
                                    .create = create,
                                    .tick = tick,
                                    .end = end };
