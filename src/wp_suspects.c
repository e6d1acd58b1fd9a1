/* Requests under which endpoints have ended. */
#include "wp_suspects_int.h"

#include <stdlib.h>

enum {
    SUSPECTS_MOST = 1024, /* an endpoint ends with up to some hundred requests;
                             a caller may send many different ones */
    LIVES_MOST = 512,     /* endpoints taken to have ended */
    RECORD_FROM = 2,      /* lives: most that were merely there have one */
    TRIES_MOST = 3        /* the platform's bound on what comes later */
};

/* After an endpoint has crashed it cannot answer for so long; one that does had
   only lost a connection. Later answers may be another life's under its id. */
#define ALIVE_WITHIN_US (1000 * WP_US_PER_MS)

#define AT_ONCE_US (30 * WP_US_PER_MS) /* between ends of one cause */

/* What crashes its endpoint does so soon after its first byte; what has run for
   longer was more likely there by chance. Guards against streams that are kept
   out for crashes that they met. */
#define LONG_RUN_US (1000 * WP_US_PER_MS)

/* Answers that were on their way come up to so long after a crash. */
#define ON_THE_WAY_US (100 * WP_US_PER_MS)

/* A request that ended whole so lately is innocent. */
#define TRUST_US (5000 * WP_US_PER_MS)

#define FADE_US (600 * WP_US_PER_S)   /* lives below those that keep it out */
#define CLEARED_US (60 * WP_US_PER_S) /* late news of cleared ones is known */
#define RECORD_GOES_US (30 * WP_US_PER_S) /* until its record is removed */
#define DEAD_FADE_US (60 * WP_US_PER_S)   /* endpoints taken to have ended */

WPSuspects *wp_suspects_new(uint64_t self)
{
    WPSuspects *s = g_new0(WPSuspects, 1);
    s->self = self;
    s->all = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    s->dead = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    s->running =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return s;
}

void wp_suspects_free(WPSuspects *s)
{
    if (!s)
        return;
    g_hash_table_unref(s->all);
    g_hash_table_unref(s->dead);
    g_hash_table_unref(s->running);
    g_free(s);
}

static WPSuspect *find(WPSuspects *s, uint64_t request)
{
    return g_hash_table_lookup(s->all, &request);
}

const WPSuspect *wp_suspects_find(WPSuspects *s, uint64_t request)
{
    return find(s, request);
}

/* Two that are weak count as one. */
unsigned wp_suspect_count(const WPSuspect *p)
{
    unsigned halves = 0;
    for (unsigned i = 0; i < p->n_lives; i++)
        if (!p->lives[i].cleared)
            halves += p->lives[i].weak ? 1 : 2;
    return halves / 2;
}

unsigned wp_suspects_count(WPSuspects *s, uint64_t request)
{
    const WPSuspect *p = find(s, request);
    return p ? wp_suspect_count(p) : 0;
}

static bool is_over(const WPSuspect *p, WPTime now)
{
    unsigned n = wp_suspect_count(p);
    int64_t age_us = now.mono_us - p->changed_us;
    if (n >= WP_SUSPECT_KEPT_OUT)
        return false;
    return age_us > (n ? FADE_US : CLEARED_US);
}

bool wp_suspect_lasts(const WPSuspect *p, WPTime now)
{
    return wp_suspect_count(p) >= RECORD_FROM && !is_over(p, now);
}

/* Some time later, so that its record can be removed before. */
static gboolean suspect_is_over(gpointer key, gpointer value, gpointer arg)
{
    WPTime earlier = *(const WPTime *)arg;
    (void)key;
    earlier.mono_us -= RECORD_GOES_US;
    return is_over(value, earlier);
}

static gboolean dead_is_over(gpointer key, gpointer value, gpointer arg)
{
    const WPTime *now = arg;
    const WPSuspectDead *d = value;
    (void)key;
    return now->mono_us - d->at_us > DEAD_FADE_US;
}

void wp_suspects_tick(WPSuspects *s, WPTime now)
{
    g_hash_table_foreach_remove(s->all, suspect_is_over, &now);
    g_hash_table_foreach_remove(s->dead, dead_is_over, &now);
}

/* The one that is least worth keeping makes room. */
static void make_room(WPSuspects *s)
{
    GHashTableIter it;
    gpointer v;
    const WPSuspect *worst = NULL;
    unsigned least = 0;
    if (g_hash_table_size(s->all) < SUSPECTS_MOST)
        return;
    g_hash_table_iter_init(&it, s->all);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPSuspect *p = v;
        unsigned n = wp_suspect_count(p);
        if (worst &&
            (n > least || (n == least && p->changed_us >= worst->changed_us)))
            continue;
        worst = p;
        least = n;
    }
    uint64_t request = worst->request;
    g_hash_table_remove(s->all, &request);
}

WPSuspect *wp_suspects_need(WPSuspects *s, uint64_t request)
{
    WPSuspect *p = find(s, request);
    if (p)
        return p;
    make_room(s);
    p = g_new0(WPSuspect, 1);
    p->request = request;
    g_hash_table_insert(s->all, &p->request, p);
    return p;
}

void wp_suspects_changed(WPSuspects *s, WPTime now, WPSuspect *p, bool own)
{
    p->changed_us = now.mono_us;
    p->own = own;
    p->untold = true;
    s->untold = true;
}

/* The same of a life that counts no more: of what nobody has heard, nobody need
   hear. */
static void cleared(WPSuspects *s, WPTime now, WPSuspect *p)
{
    wp_suspects_changed(s, now, p, true);
    p->untold = p->told;
}

WPSuspectLife *wp_suspect_life(WPSuspect *p, uint64_t life)
{
    for (unsigned i = 0; i < p->n_lives; i++)
        if (p->lives[i].life == life)
            return &p->lives[i];
    return NULL;
}

/* Returns NULL when it is known, or there are enough. A cleared one makes
   room. */
WPSuspectLife *wp_suspect_add(WPSuspect *p, const WPSuspectLife *l)
{
    WPSuspectLife *at = NULL;
    if (wp_suspect_life(p, l->life))
        return NULL;
    for (unsigned i = 0; i < p->n_lives && !at; i++)
        if (p->lives[i].cleared)
            at = &p->lives[i];
    if (p->n_lives < WP_SUSPECT_LIVES)
        at = &p->lives[p->n_lives++];
    if (at)
        *at = *l;
    return at;
}

static WPSuspectWhole *recent_of(WPSuspects *s, uint64_t request)
{
    return &s->recent[request % WP_SUSPECTS_RECENT];
}

bool wp_suspects_trust(WPSuspects *s, WPTime now, uint64_t request)
{
    const WPSuspectWhole *r = recent_of(s, request);
    return r->request == request && r->at_us &&
           now.mono_us - r->at_us < TRUST_US;
}

unsigned wp_suspects_legs(const WPSuspects *s, uint64_t request)
{
    const WPSuspectLegs *l = g_hash_table_lookup(s->running, &request);
    return l ? l->n : 0;
}

/* Whether a copy of it is under way, here or at another box. */
static bool is_busy(const WPSuspects *s, const WPSuspect *p, WPTime now)
{
    return p->busy_until_us > now.mono_us || wp_suspects_legs(s, p->request);
}

static bool ended_on(const WPSuspect *p, uint64_t version)
{
    for (unsigned i = 0; i < p->n_lives; i++)
        if (!p->lives[i].cleared && p->lives[i].version == version)
            return true;
    return false;
}

/* Moments at which lives ended under it. Many copies of a request that is much
   in use are in one: a rack that fails ends several endpoints at once. */
static unsigned moments_of(const WPSuspect *p)
{
    unsigned n = 0;
    for (unsigned i = 0; i < p->n_lives; i++) {
        bool apart = !p->lives[i].cleared;
        for (unsigned j = 0; j < i && apart; j++)
            apart = llabs(p->lives[i].at_us - p->lives[j].at_us) > AT_ONCE_US;
        n += apart;
    }
    return n;
}

/* Whether a request that is kept out gets one more try. While no more lives
   have ended than keep it out, the tries before told nothing: their callers
   left, or their boxes were killed. */
static bool has_try(const WPSuspect *p, unsigned n, uint64_t version)
{
    if (p->tries >= TRIES_MOST)
        return false;
    if (!ended_on(p, version) || n == WP_SUSPECT_KEPT_OUT)
        return true;
    return !p->tries && moments_of(p) < WP_SUSPECT_KEPT_OUT;
}

WPSuspectVerdict wp_suspects_admit(WPSuspects *s, WPTime now, uint64_t request,
                                   uint64_t version)
{
    const WPSuspect *p = find(s, request);
    unsigned n = p ? wp_suspect_count(p) : 0;
    if (!n || wp_suspects_trust(s, now, request))
        return WP_SUSPECT_FREE;
    if (n >= WP_SUSPECT_KEPT_OUT && !has_try(p, n, version))
        return WP_SUSPECT_OUT;
    return is_busy(s, p, now) ? WP_SUSPECT_BUSY : WP_SUSPECT_FREE;
}

bool wp_suspects_may_go_on(WPSuspects *s, WPTime now, uint64_t request)
{
    const WPSuspect *p = find(s, request);
    unsigned n = p ? wp_suspect_count(p) : 0;
    if (!n || wp_suspects_trust(s, now, request))
        return true;
    return n < WP_SUSPECT_KEPT_OUT && !is_busy(s, p, now);
}

void wp_suspects_sent(WPSuspects *s, WPTime now, uint64_t request)
{
    WPSuspect *p = find(s, request);
    unsigned n = p ? wp_suspect_count(p) : 0;
    WPSuspectLegs *l = g_hash_table_lookup(s->running, &request);
    if (!l) {
        l = g_new0(WPSuspectLegs, 1);
        l->request = request;
        g_hash_table_insert(s->running, &l->request, l);
    }
    l->n++;
    if (!n)
        return;
    if (n >= WP_SUSPECT_KEPT_OUT)
        p->tries++;
    if (!wp_suspects_trust(s, now, request)) {
        p->busy_number++;
        p->busy_box = s->self;
        wp_suspects_changed(s, now, p, true);
    }
}

void wp_suspects_left(WPSuspects *s, uint64_t request)
{
    WPSuspectLegs *l = g_hash_table_lookup(s->running, &request);
    if (l && !--l->n)
        g_hash_table_remove(s->running, &request);
}

/* Since when the life is taken to have ended, from now on at the latest. */
int64_t wp_suspects_died_us(WPSuspects *s, WPTime now, uint64_t life)
{
    WPSuspectDead *d = g_hash_table_lookup(s->dead, &life);
    if (d)
        return d->at_us;
    if (g_hash_table_size(s->dead) >= LIVES_MOST)
        return now.mono_us;
    d = g_new0(WPSuspectDead, 1);
    d->life = life;
    d->at_us = now.mono_us;
    g_hash_table_insert(s->dead, &d->life, d);
    return d->at_us;
}

unsigned wp_suspects_ended(WPSuspects *s, WPTime now, const WPSuspectRun *r)
{
    /* What is sent to an endpoint that is already gone did not end it. */
    if (r->sent_us > wp_suspects_died_us(s, now, r->life))
        return wp_suspects_count(s, r->request);
    WPSuspect *p = wp_suspects_need(s, r->request);
    const WPSuspectLife l = { .life = r->life,
                              .version = r->version,
                              .at_us = now.mono_us,
                              .weak = r->first_us &&
                                      now.mono_us - r->first_us > LONG_RUN_US };
    if (!wp_suspect_add(p, &l))
        return wp_suspect_count(p);
    wp_suspects_changed(s, now, p, true);
    /* What is much in use ends whole in a moment: nobody need know. */
    if (wp_suspects_trust(s, now, r->request))
        p->untold = false;
    return wp_suspect_count(p);
}

bool wp_suspects_is_gone(const WPSuspects *s, uint64_t life)
{
    return g_hash_table_contains(s->dead, &life);
}

static void clear_life(WPSuspects *s, WPTime now, uint64_t life)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->all);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        WPSuspectLife *l = wp_suspect_life(v, life);
        if (!l || l->cleared)
            continue;
        l->cleared = true;
        cleared(s, now, v);
    }
}

void wp_suspects_alive(WPSuspects *s, WPTime now, uint64_t life,
                       int64_t sent_us)
{
    const WPSuspectDead *d =
        g_hash_table_size(s->dead) ? g_hash_table_lookup(s->dead, &life) : NULL;
    if (!d)
        return;
    int64_t since_us = now.mono_us - d->at_us;
    bool after = sent_us > d->at_us || since_us > ON_THE_WAY_US;
    if (!after || since_us > ALIVE_WITHIN_US)
        return;
    g_hash_table_remove(s->dead, &life);
    clear_life(s, now, life);
}

bool wp_suspect_has_uncleared(const WPSuspect *p)
{
    for (unsigned i = 0; i < p->n_lives; i++)
        if (!p->lives[i].cleared)
            return true;
    return false;
}

static bool clear_all(WPSuspects *s, WPTime now, WPSuspect *p)
{
    if (!p || !wp_suspect_has_uncleared(p))
        return false;
    for (unsigned i = 0; i < p->n_lives; i++)
        p->lives[i].cleared = true;
    p->busy_until_us = 0;
    p->tries = 0;
    cleared(s, now, p);
    return true;
}

bool wp_suspects_whole(WPSuspects *s, WPTime now, uint64_t request)
{
    *recent_of(s, request) = (WPSuspectWhole){ request, now.mono_us };
    return clear_all(s, now, find(s, request));
}

bool wp_suspects_let_in(WPSuspects *s, WPTime now, uint64_t request)
{
    return clear_all(s, now, find(s, request));
}

void wp_suspects_each(WPSuspects *s, void (*fn)(void *arg, const WPSuspect *p),
                      void *arg)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->all);
    while (g_hash_table_iter_next(&it, NULL, &v))
        fn(arg, v);
}
