/* Zones that are kept out, within a soak. */
#include "soak_zone.h"

#include <stdlib.h>

enum {
    ORDER_KNOWN_MS = 2500, /* by each box: a change of the store is in force
                              within 2 s, and half a second on its way */
    OUT_LEAST_MS = 2800,
    OUT_MOST_MS = 5000,
    BACK_LEAST_MS = 600,
    BACK_MOST_MS = 2500,
    RUN_WORDS = 5 /* of a line: id, path, version, ms, zone */
};

typedef struct Spell {
    int64_t from_ms, to_ms; /* by the clock that all processes share */
} Spell;

struct SoakZone {
    Path *path;
    GRand *rand;
    GArray *spells; /* Spell; the last one's end is open while it is out */
    bool out;
    int64_t next_ms;
};

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

SoakZone *soak_zone_new(Path *p, uint32_t seed)
{
    SoakZone *z = g_new0(SoakZone, 1);
    z->path = p;
    z->rand = g_rand_new_with_seed(seed);
    z->spells = g_array_new(FALSE, FALSE, sizeof(Spell));
    z->next_ms =
        now_ms() + g_rand_int_range(z->rand, BACK_LEAST_MS, BACK_MOST_MS);
    return z;
}

static void turn(SoakZone *z)
{
    z->out = !z->out;
    if (z->out) {
        path_zone(z->path, true);
        Spell s = { now_ms(), INT64_MAX };
        g_array_append_val(z->spells, s);
    } else {
        g_array_index(z->spells, Spell, z->spells->len - 1).to_ms = now_ms();
        path_zone(z->path, false);
    }
}

void soak_zone_tick(SoakZone *z)
{
    if (now_ms() < z->next_ms)
        return;
    turn(z);
    int least = z->out ? OUT_LEAST_MS : BACK_LEAST_MS;
    int most = z->out ? OUT_MOST_MS : BACK_MOST_MS;
    z->next_ms = now_ms() + g_rand_int_range(z->rand, least, most);
}

static bool is_out(const SoakZone *z, int64_t ms)
{
    for (guint i = 0; i < z->spells->len; i++) {
        const Spell *s = &g_array_index(z->spells, Spell, i);
        if (ms > s->from_ms + ORDER_KNOWN_MS && ms < s->to_ms)
            return true;
    }
    return false;
}

typedef struct Sums {
    unsigned runs, there; /* in all; in the zone */
    unsigned late;        /* there, while it was out */
    unsigned cold;        /* more than an endpoint bore */
} Sums;

static void add_line(const SoakZone *z, const char *line, Sums *sums)
{
    g_auto(GStrv) word = g_strsplit(line, " ", RUN_WORDS);
    unsigned n = g_strv_length(word);
    sums->cold += n && !strcmp(word[0], "COLD");
    if (n < RUN_WORDS)
        return;
    sums->runs++;
    if (strcmp(word[4], PATH_ZONE_OUT))
        return;
    sums->there++;
    sums->late += is_out(z, atoll(word[3]));
}

static Sums read_runs(const SoakZone *z)
{
    g_autofree char *file =
        g_build_filename(path_folder(z->path), "runs", NULL);
    g_autofree char *text = NULL;
    Sums sums = { 0 };
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return sums;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l; l++)
        add_line(z, *l, &sums);
    return sums;
}

char *soak_zone_end(SoakZone *z, GString *problems)
{
    if (z->out)
        turn(z);
    Sums s = read_runs(z);
    if (s.late)
        g_string_append_printf(
            problems, "    %u runs in a zone that was kept out\n", s.late);
    if (s.cold)
        g_string_append_printf(
            problems, "    %u runs more than a cold endpoint bears\n", s.cold);
    char *text = g_strdup_printf("zone out %u times, %u of %u runs there",
                                 z->spells->len, s.there, s.runs);
    g_rand_free(z->rand);
    g_array_unref(z->spells);
    g_free(z);
    return text;
}
