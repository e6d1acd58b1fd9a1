/* Which endpoint takes a request. */
#include "wp_fleet_int.h"

/* Weights of a replica's score, in places: 1 is a replica whose every place
   is taken. The lowest score wins. */
#define FAILING 2.0      /* times its rate of failures */
#define FAILING_ONCE 6.0 /* the same, for what may not be repeated */
#define AVOIDED 20.0     /* chosen only when nothing else is left */
#define COLD 0.3         /* has just started */
#define RESTING 1.0      /* refuses other boxes: likely this one as well */
#define LIMITED 0.5      /* preferred: its limit has room for this box */
#define UNHEARD 1.0      /* the same, and it has not answered for long */
#define JITTER 0.02      /* so that boxes with one view do not herd */

/* A version that fails on loaded endpoints is passed over on those from this
   share of their places on, a little before it is seen to fail, as what others
   send there is not known at once. */
#define FULL_FROM 0.4
#define LOADED 5.0 /* the weight of a loaded one, in places */

/* Such a version is spared work from this share of all its places on, as what
   runs goes on for seconds. */
#define SPARE_FROM 0.3

/* A request under which two endpoints have ended goes to the one that has the
   least to lose: fewer other requests lose their endpoint with it. */
#define SUSPECT_ALONE 10.0
#define SUSPECT_ALONE_FROM 2

/* An endpoint that names a limit has to be asked now and then whether it still
   does. */
enum { UNHEARD_MS = 3000 };

/* Whether it may take the request once what passes by itself has passed. */
static bool may_take(const WPWant *w, const WPReplica *s)
{
    return wp_fleet_suits(w, s) && !wp_fleet_lasting_bar(s);
}

bool wp_fleet_spares(WPFleet *f, WPTime now, const WPWant *w,
                     const char *version)
{
    return wp_fleet_fails_loaded(f, now, w->service, version) &&
           wp_fleet_pressure(f, now, w) >= SPARE_FROM;
}

#define KB 1024.0

static double engine_score(const WPFleet *f, WPTime now, const WPWant *w,
                           const WPReplica *s, uint32_t own,
                           const WPKeepers *keepers, bool home)
{
    const WPBid b = wp_bid(&f->rules, now, w, s, own, keepers);
    double v = b.cost - (home ? f->rules.home : 0);
    if (strcmp(s->zone, w->zone))
        v += f->rules.zone_kb * w->body_bytes / KB;
    return v;
}

/* Of one that is not spared: what it takes is to be used. */
static double limit_bonus(const WPLimit *l, WPTime now)
{
    bool unheard = now.mono_us - l->heard_us > UNHEARD_MS * WP_US_PER_MS;
    return unheard ? UNHEARD : LIMITED;
}

/* Of one that names a limit it is not known: what gets few requests is hardly
   measured, and two slow answers, as those of a start, would be held against it
   for a minute, while its limit is not used. */
static double slow_cost(const WPFleet *f, const WPReplica *s)
{
    return wp_fleet_limit_of(s) > 0 ? 0 : f->rules.slow * (s->slowness - 1);
}

static double score(WPFleet *f, WPTime now, const WPWant *w, const WPReplica *s,
                    uint32_t own, const WPKeepers *keepers, bool home)
{
    double v = wp_fleet_taken(s, now);
    if (w->prompt)
        v += engine_score(f, now, w, s, own, keepers, home);
    else if (strcmp(s->zone, w->zone))
        v += f->rules.zone;
    v += (w->once ? FAILING_ONCE : FAILING) * wp_fleet_fail_rate(s, now);
    v += slow_cost(f, s);
    v += JITTER * g_rand_double(f->rand);
    if (w->suspect >= SUSPECT_ALONE_FROM)
        v += SUSPECT_ALONE * wp_fleet_taken(s, now);
    if (s->avoid_until_us > now.mono_us)
        v += AVOIDED;
    if (s->said.cold_until_us > now.mono_us)
        v += COLD;
    if (s->said.rest_known_us > now.mono_us)
        v += RESTING;
    if (wp_fleet_limit_of(s) > 0)
        v -= limit_bonus(s->said.limit, now);
    if (wp_fleet_taken(s, now) + 1.0 / MAX(s->slots, 1) >= FULL_FROM &&
        wp_fleet_fails_loaded(f, now, s->service, s->version))
        v += LOADED;
    return v;
}

unsigned wp_fleet_count(WPFleet *f, const WPWant *w)
{
    GPtrArray *list = wp_fleet_of_service(f, w->service);
    unsigned n = 0;
    for (guint i = 0; i < list->len; i++)
        n += may_take(w, g_ptr_array_index(list, i));
    return n;
}

double wp_fleet_pressure(WPFleet *f, WPTime now, const WPWant *w)
{
    GPtrArray *list = wp_fleet_of_service(f, w->service);
    double taken = 0, slots = 0;
    for (guint i = 0; i < list->len; i++) {
        const WPReplica *s = g_ptr_array_index(list, i);
        if (!may_take(w, s) || s->avoid_until_us > now.mono_us ||
            wp_fleet_rests(s, now))
            continue;
        taken += wp_fleet_load_of(s, now);
        slots += s->slots;
    }
    return slots > 0 ? taken / slots : 1;
}

/* The replica that all boxes send requests with the same shared prompt to, so
   that it is read once. */
static const WPReplica *home_of(const WPWant *w, WPTime now, GPtrArray *list)
{
    const WPReplica *best = NULL;
    uint64_t best_score = 0;
    uint64_t shared = w->prompt ? wp_prompt_shared(w->prompt) : 0;
    if (!shared)
        return NULL;
    for (guint i = 0; i < list->len; i++) {
        const WPReplica *s = g_ptr_array_index(list, i);
        uint64_t key[2] = { shared ^ w->model, s->id_hash };
        if (!may_take(w, s) || wp_fleet_rests(s, now) ||
            strcmp(s->zone, w->zone))
            continue;
        uint64_t v = wp_hash(wp_strn((const char *)key, sizeof(key)), 0);
        if (!best || v > best_score) {
            best = s;
            best_score = v;
        }
    }
    return best;
}

/* Whether one of `n` is among the candidates of this choice. */
static bool is_drawn(WPFleet *f, guint n)
{
    return !f->rules.choices || n <= f->rules.choices ||
           g_rand_double(f->rand) * n < f->rules.choices;
}

static WPReplica *best_of(WPFleet *f, WPTime now, const WPWant *w,
                          GPtrArray *list)
{
    const WPReplica *home = home_of(w, now, list);
    WPReplica *best = NULL;
    double best_score = 0;
    WPKeepers keepers = { .own = g_newa(uint32_t, list->len + 1) };
    wp_keepers_find(&keepers, now, w, list);
    for (guint i = 0; i < list->len; i++) {
        WPReplica *s = g_ptr_array_index(list, i);
        if (!wp_fleet_suits(w, s) || (s != home && !is_drawn(f, list->len)) ||
            wp_fleet_bar(f, now, w, s))
            continue;
        double v = score(f, now, w, s, keepers.own[i], &keepers, s == home);
        if (!best || v < best_score) {
            best = s;
            best_score = v;
        }
    }
    return best;
}

WPReplica *wp_fleet_choose(WPFleet *f, WPTime now, const WPWant *w)
{
    GPtrArray *list = wp_fleet_of_service(f, w->service);
    uint32_t choices = f->rules.choices;
    wp_fleet_survey(now, list);
    WPReplica *best = best_of(f, now, w, list);
    if (!best && choices) { /* none was drawn that may take it */
        f->rules.choices = 0;
        best = best_of(f, now, w, list);
        f->rules.choices = choices;
    }
    return best ? wp_fleet_hold(best) : NULL;
}

WPWork wp_fleet_work(WPFleet *f, WPTime now, const WPWant *w,
                     const WPReplica *s, const WPReplica **source)
{
    GPtrArray *list = wp_fleet_of_service(f, w->service);
    WPKeepers keepers = { .own = g_newa(uint32_t, list->len + 1) };
    *source = NULL;
    if (!w->prompt)
        return (WPWork){ .load = wp_fleet_load_of(s, now),
                         .pace = s->said.pace };
    wp_keepers_find(&keepers, now, w, list);
    uint32_t own = wp_kept_tokens(s->kept, now, w->model, w->prompt);
    const WPBid b = wp_bid(&f->rules, now, w, s, own, &keepers);
    *source = b.source;
    return b.work;
}
