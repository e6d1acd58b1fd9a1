/* What the boxes of a zone tell each other of endpoints. */
#include "wp_box_news.h"
#include "wp_fleet_int.h"

/* What another box tells is so old at most: two gatherings and two ways. A
   load that this box was told itself since is newer. */
#define HEARD_AGE_US (40 * WP_US_PER_MS)

/* How long a load that was told is believed. */
#define LOAD_FRESH_US (1500 * WP_US_PER_MS)

/* What is believed to lie before an engine goes by itself so fast, where the
   word that it is done has been lost: the engine reads four times as fast. */
#define FADE_RATE 0.25

/* Between two means over a cohort: loads change by one request in this time. */
#define SURVEY_US (20 * WP_US_PER_MS)

void wp_fleet_tell(WPFleet *f, WPBoxNews *news)
{
    f->news = news;
}

WPReplica *wp_fleet_by_hash(WPFleet *f, uint64_t hash)
{
    return g_hash_table_lookup(f->by_hash, &hash);
}

void wp_fleet_tell_sent(WPFleet *f, const WPReplica *s, double reading_us)
{
    if (f->news)
        wp_box_news_sent(f->news, s->life_hash, reading_us);
}

void wp_fleet_told_load(WPFleet *f, WPReplica *s, WPTime now, uint32_t running,
                        uint32_t waiting, uint32_t slots)
{
    wp_fleet_load(s, now, running, waiting, slots);
    if (f->news)
        wp_box_news_load(f->news, s->life_hash, running, waiting);
}

/* Reading for other boxes' requests that is left by now. */
static double others_left_us(const WPReplica *s, WPTime now)
{
    double age_us = (double)(now.mono_us - s->others_at_us);
    return MAX(0, s->others_us - FADE_RATE * age_us);
}

void wp_fleet_hear_sent(WPReplica *s, WPTime now, double reading_us)
{
    s->others_us = others_left_us(s, now) + reading_us;
    s->others_at_us = now.mono_us;
    s->since_load++;
    if (s->said.limit)
        wp_limit_note_other(s->said.limit, now);
    wp_peaks_note(&s->peaks, now, wp_fleet_ahead_us(s, now));
}

void wp_fleet_hear_began(WPReplica *s, WPTime now, double reading_us)
{
    s->others_us = MAX(0, others_left_us(s, now) - reading_us);
    s->others_at_us = now.mono_us;
}

void wp_fleet_hear_load(WPReplica *s, WPTime now, uint32_t running,
                        uint32_t waiting)
{
    if (!s->said.load_us || now.mono_us - s->said.load_us > HEARD_AGE_US)
        wp_fleet_load(s, now, running, waiting, 0);
}

double wp_fleet_ahead_us(const WPReplica *s, WPTime now)
{
    double known_us = s->ahead_us + others_left_us(s, now);
    if (!s->far || wp_fleet_is_fresh(s, now))
        return known_us;
    return MAX(known_us, s->cohort->ahead_us);
}

bool wp_fleet_is_fresh(const WPReplica *s, WPTime now)
{
    return s->said.load_us && now.mono_us - s->said.load_us < LOAD_FRESH_US;
}

WPCohort *wp_fleet_cohort(WPFleet *f, const WPReplica *s)
{
    g_autofree char *key = g_strdup_printf("%s %s", s->service, s->version);
    WPCohort *c = g_hash_table_lookup(f->cohorts, key);
    if (!c) {
        c = g_new0(WPCohort, 1);
        g_hash_table_insert(f->cohorts, g_steal_pointer(&key), c);
    }
    return c;
}

static bool counts(const WPReplica *s, const WPCohort *c, WPTime now)
{
    return s->cohort == c && !s->far && !s->said.leaving.from && s->slots &&
           wp_fleet_is_fresh(s, now);
}

static void survey_cohort(WPCohort *c, WPTime now, const GPtrArray *list)
{
    double taken = 0, ahead_us = 0;
    unsigned n = 0;
    for (guint i = 0; i < list->len; i++) {
        const WPReplica *s = g_ptr_array_index(list, i);
        if (!counts(s, c, now))
            continue;
        taken += wp_fleet_taken(s, now);
        ahead_us += wp_fleet_ahead_us(s, now);
        n++;
    }
    c->at_us = now.mono_us;
    c->taken = n ? taken / n : 0;
    c->ahead_us = n ? ahead_us / n : 0;
}

void wp_fleet_survey(WPTime now, const GPtrArray *list)
{
    for (guint i = 0; i < list->len; i++) {
        WPCohort *c = ((WPReplica *)g_ptr_array_index(list, i))->cohort;
        if (!c->at_us || now.mono_us - c->at_us > SURVEY_US)
            survey_cohort(c, now, list);
    }
}
