/* Endpoints that leave and endpoints that rest, within a soak.
 *
 * What users saw: an endpoint whose answers said that it leaves was sent
 * requests by the same box 2.2 and 3.8 s later; one that refused a box and
 * asked for 3 s of rest got seven requests from it meanwhile. Order of events:
 * an answer says so; the box passes it on and goes on choosing the endpoint
 * until the store's list says the same, 12 s later; a refusal's rest weighs
 * until an earlier request ends well there. Cause: only the list made an
 * endpoint one that leaves, and a rest was a preference that failures shared.
 * Evidence: first attempts went there at the old rate while others had room;
 * in plays of this, with two of ten that leave, 130 to 270 requests came later
 * than 2 s after the word. */
#include "soak_notice.h"

#include <stdio.h>
#include <stdlib.h>

enum {
    SLOTS = 6, /* so that endpoints are chosen by their load as well */
    BEGINS_MS = 1500,
    LEAVING_MS = 2000, /* requests may come so long after the word */
    RESTING_MS = 500,
    RESTING_MOST = 2, /* and so many during the rest of a rest */
    KILL_EVERY_MS = 3000,
    AWAY_FROM_MS = 2000,
    AWAY_TO_MS = 8000,
    REST_EVERY_MS = 6000,
    SERIES_LEAST_MS = 500,
    SERIES_MOST_MS = 2500,
    ROLL_OUT_MS = 5000,
    BACK_MS = 1500,    /* after a rest */
    NEW_LIFE_MS = 3000 /* after a start */
};

#define SERVED_LEAST 0.98

typedef struct NoticeCase {
    unsigned leave_tenths; /* of the endpoints, the first ones */
    unsigned rest_tenths;  /* the last ones */
    const char *leaving;   /* the field; NULL: "1" */
    const char *rest;      /* the field; NULL: as `rest_ms` */
    int rest_ms;           /* of each REST_EVERY_MS; 0: runs at random */
    int delay_ms;          /* of each answer; 0: a few */
    bool kills, kills_all, store_away, rolls_out, zone_out;
    bool new_life;     /* what leaves starts again in the middle */
    bool room;         /* others can take all */
    const char *fault; /* of those that leave */
} NoticeCase;

static const NoticeCase cases[] = {
    { .leave_tenths = 2, .room = true },
    { .leave_tenths = 2, .kills = true },
    { .leave_tenths = 9 },
    { .leave_tenths = 10, .new_life = true },
    { .leave_tenths = 2, .store_away = true, .room = true },
    { .rest_tenths = 2, .rest_ms = 3000, .room = true },
    { .rest_tenths = 2, .rest_ms = 3000, .kills = true },
    { .rest_tenths = 8, .rest_ms = 3000, .room = true },
    { .rest_tenths = 10, .rest_ms = 3000 },
    { .rest_tenths = 5, .room = true },
    { .leave_tenths = 2,
      .rest_tenths = 3,
      .rest_ms = 2000,
      .store_away = true,
      .kills = true },
    { .leave_tenths = 2, .new_life = true, .room = true },
    { .rest_tenths = 5, .rolls_out = true },
    { .leave_tenths = 3,
      .rest_tenths = 2,
      .leaving = "0",
      .rest = "nan",
      .room = true },
    { .leave_tenths = 2, .rest_tenths = 2, .kills_all = true },
    { .leave_tenths = 2, .fault = "{\"refuse\":0.5}", .room = true },
    { .leave_tenths = 2, .rest_tenths = 2, .zone_out = true },
    { .leave_tenths = 5, .rest_tenths = 5, .rest_ms = 3000, .kills = true },
    { .rest_tenths = 2, .rest_ms = 3000, .delay_ms = 300, .room = true },
    { .rest_tenths = 5, .delay_ms = 300, .room = true },
    { .leave_tenths = 4, .delay_ms = 300, .room = true },
    { .leave_tenths = 7, .room = true },
};

/* A time in which an entry's process was started anew. */
typedef struct Restart {
    unsigned entry;
    int64_t from_ms, to_ms;
} Restart;

struct SoakNotice {
    Path *path;
    const NoticeCase *plan;
    SoakNoticeOps ops;
    GRand *rand;
    GArray *restarts; /* Restart */
    unsigned entries, replicas, leaving, resting;
    int64_t start_ms, half_ms, killed_ms, new_life_ms;
    int64_t *next_rest_ms; /* of each that rests */
    unsigned next_kill;
    bool begun, halved, away, out, ordered;
};

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

static const NoticeCase *case_of(uint32_t seed)
{
    return &cases[seed % WP_COUNT(cases)];
}

Path *soak_notice_path(uint32_t seed, unsigned entries, unsigned replicas)
{
    return path_new_small(entries, replicas, SLOTS, case_of(seed)->zone_out);
}

static void begin_notes(const SoakNotice *n)
{
    g_autofree char *slow =
        g_strdup_printf("{\"delay_ms\":%d}", n->plan->delay_ms);
    for (unsigned i = 0; i < n->replicas; i++) {
        path_try_fault(n->path, i, "{\"noting\":true}");
        if (n->plan->delay_ms)
            path_try_fault(n->path, i, slow);
    }
}

SoakNotice *soak_notice_new(Path *p, uint32_t seed, int seconds,
                            unsigned entries, unsigned replicas,
                            const SoakNoticeOps *ops)
{
    SoakNotice *n = g_new0(SoakNotice, 1);
    n->path = p;
    n->plan = case_of(seed);
    n->ops = *ops;
    n->rand = g_rand_new_with_seed(seed);
    n->restarts = g_array_new(FALSE, FALSE, sizeof(Restart));
    n->entries = entries;
    n->replicas = replicas;
    n->leaving = n->plan->leave_tenths * replicas / 10;
    n->resting = n->plan->rest_tenths * replicas / 10;
    n->next_rest_ms = g_new0(int64_t, n->resting + 1);
    n->start_ms = now_ms();
    n->half_ms = (int64_t)seconds * WP_MS_PER_S / 2;
    begin_notes(n);
    return n;
}

static void restart(SoakNotice *n, unsigned entry)
{
    Restart r = { .entry = entry, .from_ms = now_ms() };
    n->ops.restart_entry(n->ops.arg, entry);
    r.to_ms = now_ms();
    g_array_append_val(n->restarts, r);
}

static void say_leaving(SoakNotice *n)
{
    const char *field = n->plan->leaving ? n->plan->leaving : "1";
    g_autofree char *json = g_strdup_printf("{\"leaving\":\"%s\"}", field);
    for (unsigned i = 0; i < n->leaving; i++) {
        path_try_fault(n->path, i, json);
        if (n->plan->fault)
            path_try_fault(n->path, i, n->plan->fault);
    }
}

static void rest_one(SoakNotice *n, unsigned i, int64_t now)
{
    const NoticeCase *plan = n->plan;
    int64_t *next_ms = &n->next_rest_ms[i];
    unsigned at = n->replicas - 1 - i;
    g_autofree char *json = NULL;
    if (now < *next_ms)
        return;
    if (plan->rest) {
        *next_ms = INT64_MAX;
        json = g_strdup_printf("{\"rest\":\"%s\"}", plan->rest);
    } else if (plan->rest_ms) {
        *next_ms = now + REST_EVERY_MS;
        json = g_strdup_printf("{\"rest_ms\":%d}", plan->rest_ms);
    } else {
        int ms = g_rand_int_range(n->rand, SERIES_LEAST_MS, SERIES_MOST_MS);
        *next_ms = now + ms + g_rand_int_range(n->rand, 0, SERIES_MOST_MS);
        json = g_strdup_printf("{\"rest_ms\":%d}", ms);
    }
    path_try_fault(n->path, at, json);
}

/* What left comes again as another life, which says nothing. */
static void begin_new_life(SoakNotice *n)
{
    n->new_life_ms = now_ms();
    for (unsigned i = 0; i < n->leaving; i++) {
        path_restart_replica(n->path, i);
        path_wait_replica(n->path, i);
        path_try_fault(n->path, i, "{\"noting\":true}");
    }
}

static void at_half(SoakNotice *n)
{
    n->halved = true;
    if (n->plan->new_life)
        begin_new_life(n);
    for (unsigned i = 0; n->plan->kills_all && i < n->entries; i++)
        restart(n, i);
}

static void trouble_beside(SoakNotice *n, int64_t now, int64_t age_ms)
{
    const NoticeCase *plan = n->plan;
    bool now_away =
        plan->store_away && age_ms >= AWAY_FROM_MS && age_ms < AWAY_TO_MS;
    bool now_out =
        plan->zone_out && age_ms >= AWAY_FROM_MS && age_ms < AWAY_TO_MS;
    if (n->away != now_away)
        path_store(n->path,
                   now_away ? "{\"down\":\"silent\"}" : "{\"down\":\"\"}");
    if (n->out != now_out)
        path_zone(n->path, now_out);
    n->away = now_away;
    n->out = now_out;
    if (plan->rolls_out && !n->ordered && age_ms >= BEGINS_MS) {
        n->ordered = true;
        path_add_version(n->path, "v2", n->replicas, "{\"noting\":true}");
        path_order(n->path, "v2", (double)ROLL_OUT_MS / WP_MS_PER_S);
    }
    if (plan->kills && now - n->killed_ms >= KILL_EVERY_MS) {
        n->killed_ms = now;
        restart(n, n->next_kill++ % n->entries);
    }
}

void soak_notice_tick(SoakNotice *n)
{
    int64_t now = now_ms(), age_ms = now - n->start_ms;
    if (age_ms < BEGINS_MS)
        return;
    if (!n->begun) {
        n->begun = true;
        n->killed_ms = now;
        say_leaving(n);
    }
    for (unsigned i = 0; i < n->resting; i++)
        rest_one(n, i, now);
    if (!n->halved && age_ms >= n->half_ms)
        at_half(n);
    trouble_beside(n, now, age_ms);
}

/* One line of an endpoint's notes. */
typedef struct Noted {
    bool came;   /* a request; else what it was told */
    bool leaves; /* told; else a rest */
    double rest_s;
    int64_t at_ms;
    const char *endpoint; /* interned */
    unsigned entry;
} Noted;

static bool read_line(const char *line, Noted *out)
{
    char what[8], how[32], endpoint[64];
    long ms;
    if (sscanf(line, "%7s %31s %ld %63s e%u.", what, how, &ms, endpoint,
               &out->entry) != 5)
        return false;
    out->came = !strcmp(what, "CAME");
    out->leaves = !strcmp(how, "leaving");
    out->rest_s = g_ascii_strtod(how, NULL);
    out->at_ms = ms;
    out->endpoint = g_intern_string(endpoint);
    return out->came || !strcmp(what, "TOLD");
}

static GArray *read_notes(const SoakNotice *n)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(Noted));
    g_autofree char *file =
        g_build_filename(path_folder(n->path), "runs", NULL);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return all;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line; line++) {
        Noted one;
        if (read_line(*line, &one))
            g_array_append_val(all, one);
    }
    return all;
}

/* Whether the entry was started anew between the two. */
static bool is_excused(const SoakNotice *n, unsigned entry, int64_t from_ms,
                       int64_t to_ms)
{
    for (guint i = 0; i < n->restarts->len; i++) {
        const Restart *r = &g_array_index(n->restarts, Restart, i);
        if (r->entry == entry && r->to_ms >= from_ms && r->from_ms <= to_ms)
            return true;
    }
    return false;
}

/* Requests of the same entry that came there between the two times. */
static unsigned count_came(const SoakNotice *n, const GArray *all,
                           const Noted *told, int64_t from_ms, int64_t to_ms)
{
    unsigned count = 0;
    for (guint i = 0; i < all->len; i++) {
        const Noted *c = &g_array_index(all, Noted, i);
        bool counts = c->came && c->endpoint == told->endpoint &&
                      c->entry == told->entry && c->at_ms > from_ms &&
                      c->at_ms <= to_ms;
        count += counts && !is_excused(n, c->entry, told->at_ms, c->at_ms);
    }
    return count;
}

/* How long after `from_ms` any entry's request came to the endpoint; until the
   end, if none did. */
static int64_t idle_ms(const GArray *all, const char *endpoint, int64_t from_ms,
                       int64_t end_ms)
{
    for (guint i = 0; i < all->len; i++) {
        const Noted *c = &g_array_index(all, Noted, i);
        if (c->came && c->endpoint == endpoint && c->at_ms >= from_ms)
            return c->at_ms - from_ms;
    }
    return MAX(end_ms - from_ms, 0);
}

static bool was_told(const GArray *all, const char *endpoint)
{
    for (guint i = 0; i < all->len; i++) {
        const Noted *told = &g_array_index(all, Noted, i);
        if (!told->came && told->endpoint == endpoint)
            return true;
    }
    return false;
}

/* The longest time that an endpoint which never said anything had no work: at
   little load some have none for seconds. */
static int64_t longest_idle_ms(const GArray *all)
{
    g_autoptr(GHashTable) last = g_hash_table_new(NULL, NULL);
    int64_t longest_ms = 0;
    for (guint i = 0; i < all->len; i++) {
        const Noted *c = &g_array_index(all, Noted, i);
        gpointer id = (gpointer)c->endpoint;
        const Noted *had = g_hash_table_lookup(last, id);
        if (!c->came || was_told(all, c->endpoint))
            continue;
        if (had)
            longest_ms = MAX(longest_ms, c->at_ms - had->at_ms);
        g_hash_table_insert(last, id, (gpointer)c);
    }
    return longest_ms;
}

typedef struct Sums {
    unsigned late, rests, broken, most, idle;
    int64_t usual_ms;   /* without work, of endpoints that never rested */
    const Noted *worst; /* the word after which most came late; NULL: none */
} Sums;

static void check_leaving(const SoakNotice *n, const GArray *all,
                          const Noted *told, Sums *sums)
{
    unsigned late =
        count_came(n, all, told, told->at_ms + LEAVING_MS, INT64_MAX);
    if (late > sums->late)
        sums->worst = told;
    sums->late = MAX(sums->late, late);
}

static void check_rest(const SoakNotice *n, const GArray *all,
                       const Noted *told, int64_t end_ms, Sums *sums)
{
    int64_t over_ms = told->at_ms + (int64_t)(told->rest_s * WP_MS_PER_S);
    unsigned came = count_came(n, all, told, told->at_ms + RESTING_MS, over_ms);
    sums->rests++;
    sums->broken += came > RESTING_MOST;
    sums->most = MAX(sums->most, came);
    sums->idle += idle_ms(all, told->endpoint, over_ms, end_ms) >
                  MAX(BACK_MS, sums->usual_ms);
}

/* Endpoints that were not there before what leaves started again, and have
   work. */
static unsigned count_new(const SoakNotice *n, const GArray *all)
{
    g_autoptr(GHashTable) old = g_hash_table_new(NULL, NULL);
    g_autoptr(GHashTable) fresh = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < all->len; i++) {
        const Noted *c = &g_array_index(all, Noted, i);
        gpointer id = (gpointer)c->endpoint;
        if (c->at_ms < n->new_life_ms)
            g_hash_table_add(old, id);
        else if (c->at_ms < n->new_life_ms + NEW_LIFE_MS &&
                 !g_hash_table_contains(old, id))
            g_hash_table_add(fresh, id);
    }
    return g_hash_table_size(fresh);
}

static void check_each(const SoakNotice *n, const GArray *all, int64_t end_ms,
                       Sums *sums)
{
    for (guint i = 0; i < all->len; i++) {
        const Noted *told = &g_array_index(all, Noted, i);
        if (told->came)
            continue;
        if (told->leaves)
            check_leaving(n, all, told, sums);
        else
            check_rest(n, all, told, end_ms, sums);
    }
}

static void complain(const SoakNotice *n, const Sums *s, unsigned fresh,
                     double share, GString *problems)
{
    const NoticeCase *plan = n->plan;
    bool sure = plan->room && !plan->rest;
    if (s->late)
        g_string_append_printf(problems,
                               "    %u requests came more than %d ms after "
                               "their box was told that the endpoint leaves "
                               "(entry %u, %s, told at %ld ms)\n",
                               s->late, LEAVING_MS, s->worst->entry,
                               s->worst->endpoint,
                               (long)(s->worst->at_ms - n->start_ms));
    if (s->broken)
        g_string_append_printf(problems,
                               "    %u rests of %u broken, by up to %u "
                               "requests\n",
                               s->broken, s->rests, s->most);
    if (sure && s->idle)
        g_string_append_printf(problems,
                               "    %u times no work %d ms after a rest\n",
                               s->idle, (int)MAX(BACK_MS, s->usual_ms));
    if (plan->new_life && fresh < n->leaving)
        g_string_append_printf(problems,
                               "    %u of %u new lives have work %d ms after "
                               "their start\n",
                               fresh, n->leaving, NEW_LIFE_MS);
    if (plan->room && share < SERVED_LEAST)
        g_string_append_printf(problems, "    served %.3f\n", share);
}

char *soak_notice_end(SoakNotice *n, unsigned sent, unsigned served,
                      GString *problems)
{
    g_autoptr(GArray) all = read_notes(n);
    double share = sent ? (double)served / sent : 0;
    Sums sums = { .usual_ms = longest_idle_ms(all) };
    check_each(n, all, now_ms(), &sums);
    unsigned fresh = n->plan->new_life ? count_new(n, all) : 0;
    complain(n, &sums, fresh, share, problems);
    char *text = g_strdup_printf(
        "%u leave (%u late), %u rest (%u of %u rests broken, most %u), "
        "served %.3f",
        n->leaving, sums.late, n->resting, sums.broken, sums.rests, sums.most,
        share);
    g_rand_free(n->rand);
    g_array_unref(n->restarts);
    g_free(n->next_rest_ms);
    g_free(n);
    return text;
}
