/* What is believed of endpoints by how this box's own requests end there. */
#include "wp_box_news.h"
#include "wp_fleet_int.h"

enum {
    LOADED_LASTS_US = 30000 * WP_US_PER_MS, /* after the last failure */
    AVOID_FIRST_US = 500 * WP_US_PER_MS,
    AVOID_MOST_US = 4000 * WP_US_PER_MS,
    AVOID_FAILURES = 3, /* in a row until it is avoided */
    DOUBT_FAILURES = 2  /* in a row, then an answer: it may have started again;
                           one in thirty answers is spoilt or lost now and then,
                           two in a row hardly ever */
};

/* A version fails under load when so many answers of loaded endpoints failed,
   at least this part of them, and hardly any of the others. Versions may fail
   on half-full endpoints; as what others send to one is not known at once, it
   counts as loaded from a little less on, and is passed over from still less.
   The platform allows fifty failures, which a burst brings within a second or
   two. */
#define LOADED_FROM 0.44
#define LOADED_FAILED_LEAST 2.5 /* three, as older ones fade */
#define LOADED_FAILED_SHARE 0.2
#define LIGHT_FAILED_SHARE 0.05

/* What remains of an older answer's weight with each new one. */
#define LEARN_KEEP 0.995

#define FAIL_WEIGHT 0.12        /* of the newest outcome */
#define FAIL_HALF_LIFE_US 3.0e6 /* old failures are forgotten */
#define SLOW_WEIGHT 0.15
#define SLOWNESS_MOST 20.0

/* Answers of one version, by whether the endpoint was half full. */
typedef struct LoadSeen {
    double loaded, loaded_failed, light, light_failed;
    int64_t until_us; /* so long it counts as one that fails there */
    int64_t own_us;   /* the same, by this box's own requests */
} LoadSeen;

void wp_fleet_doubt(WPReplica *s, WPTime now)
{
    s->doubt_until_us = now.mono_us + s->cold->start_us;
}

double wp_fleet_fail_rate(const WPReplica *s, WPTime now)
{
    if (s->fail_rate <= 0)
        return 0;
    double age = (double)(now.mono_us - s->fail_us);
    return s->fail_rate * exp2(-age / FAIL_HALF_LIFE_US);
}

/* Whether it has told no load since it began, or since its rest ended. Of the
   start of one of another zone too little is known: its own boxes are not
   heard.
 */
static bool is_unheard(const WPReplica *s, WPTime now)
{
    if (!s->said.load_us)
        return !s->far;
    return s->said.rest_until_us > s->said.load_us && !wp_fleet_rests(s, now);
}

/* Of one that has told nothing lately the mean of its peers is believed; but no
   more than what boxes have sent there, right after its start or its rest: what
   is believed to be as busy as the mean is never the least busy one, and had no
   work for seconds. */
static double load_by_peers(const WPReplica *s, WPTime now)
{
    double mean = s->cohort->taken * s->slots;
    return is_unheard(s, now) ? MIN(mean, (double)s->since_load) : mean;
}

double wp_fleet_load_of(const WPReplica *s, WPTime now)
{
    double told = 0;
    if (wp_fleet_is_fresh(s, now))
        told = s->said.running + s->said.waiting + s->since_load;
    else
        told = load_by_peers(s, now);
    return MAX(told, (double)s->in_flight);
}

double wp_fleet_taken(const WPReplica *s, WPTime now)
{
    return wp_fleet_load_of(s, now) / (s->slots ? s->slots : 1);
}

static LoadSeen *load_seen(WPFleet *f, const char *service, const char *version)
{
    g_autofree char *key = g_strdup_printf("%s %s", service, version);
    LoadSeen *l = g_hash_table_lookup(f->by_load, key);
    if (!l) {
        l = g_new0(LoadSeen, 1);
        g_hash_table_insert(f->by_load, g_steal_pointer(&key), l);
    }
    return l;
}

/* Hardly any answer fails while loaded endpoints are passed over, so what was
   found holds for a while. */
void wp_fleet_learn(WPFleet *f, WPTime now, const WPReplica *s, double taken,
                    bool failed)
{
    LoadSeen *l = load_seen(f, s->service, s->version);
    /* This request took a place as well. */
    bool loaded = taken + 1.0 / MAX(s->slots, 1) >= LOADED_FROM;
    double *n = loaded ? &l->loaded : &l->light;
    double *bad = loaded ? &l->loaded_failed : &l->light_failed;
    *n = *n * LEARN_KEEP + 1;
    *bad = *bad * LEARN_KEEP + failed;
    bool found = l->loaded_failed >= LOADED_FAILED_LEAST &&
                 l->loaded_failed >= LOADED_FAILED_SHARE * l->loaded &&
                 l->light_failed <= LIGHT_FAILED_SHARE * l->light;
    if (loaded && failed && (found || l->until_us > now.mono_us))
        l->own_us = l->until_us = now.mono_us + LOADED_LASTS_US;
    f->loaded_until_us = MAX(f->loaded_until_us, l->until_us);
}

void wp_fleet_hear_loaded(WPFleet *f, WPTime now, const char *service,
                          const char *version)
{
    LoadSeen *l = load_seen(f, service, version);
    l->until_us = MAX(l->until_us, now.mono_us + LOADED_LASTS_US);
    f->loaded_until_us = MAX(f->loaded_until_us, l->until_us);
}

void wp_fleet_each_loaded(WPFleet *f, WPTime now,
                          void (*fn)(void *arg, const char *what), void *arg)
{
    GHashTableIter it;
    gpointer what, l;
    g_hash_table_iter_init(&it, f->by_load);
    while (g_hash_table_iter_next(&it, &what, &l))
        if (((LoadSeen *)l)->own_us > now.mono_us)
            fn(arg, what);
}

bool wp_fleet_fails_loaded(WPFleet *f, WPTime now, const char *service,
                           const char *version)
{
    if (f->loaded_until_us <= now.mono_us)
        return false;
    return load_seen(f, service, version)->until_us > now.mono_us;
}

enum { UNTOLD_MOST = 256 };

/* Reading that takes less is not worth telling of. */
#define TOLD_LEAST_US (100 * WP_US_PER_MS)

static void note_untold(WPFleet *f, const WPReplica *s, const WPWant *w)
{
    uint32_t shared = wp_prompt_shared_tokens(w->prompt);
    const WPWork work = { .prompt = shared, .unread = shared };
    if (wp_speed_reading(w->speed, &work) < TOLD_LEAST_US)
        return;
    uint64_t key = wp_kept_key(w->model, wp_prompt_shared(w->prompt));
    const WPKeptNews n = { s->life_hash, key, shared };
    if (f->untold->len < UNTOLD_MOST)
        g_array_append_val(f->untold, n);
    if (f->news)
        wp_box_news_kept(f->news, &n);
}

size_t wp_fleet_tell_kept(WPFleet *f, WPKeptNews *out, size_t most)
{
    guint n = (guint)MIN(most, f->untold->len);
    if (!n)
        return 0;
    memcpy(out, f->untold->data, n * sizeof(*out));
    g_array_remove_range(f->untold, 0, n);
    return n;
}

void wp_fleet_hear_kept(WPFleet *f, WPTime now, const WPKeptNews *n)
{
    WPReplica *s = wp_fleet_by_hash(f, n->replica);
    if (s)
        wp_kept_hear(s->kept, now, n->key, n->tokens);
}

void wp_fleet_sent(WPFleet *f, WPReplica *s, WPTime now, const WPWant *w,
                   double reading_us)
{
    s->in_flight++;
    s->since_load++;
    wp_pace_note(&s->pace, now);
    if (s->said.limit)
        wp_limit_note_own(s->said.limit, now);
    s->ahead_us += reading_us;
    wp_peaks_note(&s->peaks, now, wp_fleet_ahead_us(s, now));
    wp_fleet_tell_sent(f, s, reading_us);
    if (!w->prompt || !f->rules.keep)
        return;
    wp_kept_room(s->kept, w->memory_tokens);
    wp_kept_read(s->kept, now, w->model, w->prompt);
    note_untold(f, s, w);
}

void wp_fleet_began(WPFleet *f, WPReplica *s, double reading_us,
                    int64_t took_us, int64_t expected_us)
{
    s->ahead_us = MAX(0, s->ahead_us - reading_us);
    if (f->news)
        wp_box_news_began(f->news, s->life_hash, reading_us);
    if (expected_us <= 0)
        return;
    double ratio = (double)took_us / (double)expected_us;
    ratio = CLAMP(ratio, 0.1, SLOWNESS_MOST);
    s->slowness += SLOW_WEIGHT * (ratio - s->slowness);
}

void wp_fleet_idle_lost(WPReplica *s, WPTime now)
{
    wp_fleet_doubt(s, now);
}

static void note_outcome(WPReplica *s, WPTime now, bool failed)
{
    s->fail_rate = wp_fleet_fail_rate(s, now);
    s->fail_us = now.mono_us;
    s->fail_rate += FAIL_WEIGHT * ((failed ? 1 : 0) - s->fail_rate);
}

static void avoid(WPReplica *s, WPTime now, unsigned doublings)
{
    int64_t us = (int64_t)AVOID_FIRST_US << MIN(doublings, 6);
    s->avoid_until_us = now.mono_us + MIN(us, (int64_t)AVOID_MOST_US);
}

void wp_fleet_ended(WPReplica *s, WPTime now, WPServed how)
{
    if (s->in_flight)
        s->in_flight--;
    if (!s->in_flight)
        s->ahead_us = 0;
    switch (how) {
    case WP_SERVED_OK:
        if (s->failures >= DOUBT_FAILURES)
            wp_fleet_doubt(s, now);
        s->failures = 0;
        s->avoid_until_us = 0;
        note_outcome(s, now, false);
        break;
    case WP_SERVED_FAILED:
        s->failures++;
        note_outcome(s, now, true);
        if (s->failures >= AVOID_FAILURES)
            avoid(s, now, s->failures - AVOID_FAILURES);
        break;
    case WP_SERVED_BROKEN:
        /* The caller comes back at once and is not to be sent to what has
           crashed: it then waited 4 s there for a first event. */
        s->failures++;
        note_outcome(s, now, true);
        avoid(s, now, 0);
        break;
    case WP_SERVED_SILENT:
        wp_fleet_doubt(s, now);
        s->failures++;
        note_outcome(s, now, true);
        avoid(s, now, s->failures);
        break;
    case WP_SERVED_REFUSED:
        /* Full: its load says so, and it is left alone for a moment. */
        s->since_load += 1;
        note_outcome(s, now, true);
        break;
    case WP_SERVED_WRONG:
        s->unreachable = true;
        break;
    case WP_SERVED_RESTS:
        /* Its rest bars it; held against it as a failure besides, it had no
           work for seconds after that. */
    case WP_SERVED_LEFT:
        break;
    }
}

#define PACE_WEIGHT 0.1 /* of one word, against those before */
#define PACE_USUAL 100.0
#define PACE_LEAST 0.1
#define PACE_MOST 10.0

void wp_fleet_told_pace(WPReplica *s, uint32_t pace)
{
    double v = CLAMP(pace / PACE_USUAL, PACE_LEAST, PACE_MOST);
    double had = s->said.pace > 0 ? s->said.pace : v;
    s->said.pace = had + PACE_WEIGHT * (v - had);
}

void wp_fleet_load(WPReplica *s, WPTime now, uint32_t running, uint32_t waiting,
                   uint32_t slots)
{
    s->said.running = running;
    s->said.waiting = waiting;
    s->since_load = 0;
    s->said.load_us = now.mono_us;
    if (slots)
        s->slots = slots;
}
