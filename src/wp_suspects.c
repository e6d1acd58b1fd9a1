/* Requests under which endpoints have ended. */
#include "wp_suspects.h"

#include <stdlib.h>

enum {
    SUSPECTS_MOST = 1024, /* an endpoint ends with up to some hundred requests;
                             a caller may send many different ones */
    LIVES_MOST = 512,     /* endpoints taken to have ended */
    RECENT = 1024,        /* requests that have ended whole lately */
    RECORD_FROM = 2,      /* lives: most that were merely there have one */
    TRIES_MOST = 3        /* the platform's bound on what comes later */
};

/* After an endpoint has crashed it cannot answer for so long; one that does had
   only lost a connection. Later answers may be another life's under its id. */
#define ALIVE_WITHIN_US (1000 * WP_US_PER_MS)

#define AT_ONCE_US (30 * WP_US_PER_MS) /* between ends of one cause */

/* What crashes its endpoint does so 40 to 100 ms after its first byte; what has
   run for longer was more likely there by chance. Guards against: a stream that
   three crashes had met in 4.5 s was kept out (deploy/days, crashes beside
   resets). */
#define LONG_RUN_US (1000 * WP_US_PER_MS)

/* Answers that were on their way come up to so long after a crash. */
#define ON_THE_WAY_US (100 * WP_US_PER_MS)

/* Another box runs it for so long at most, unless it tells more: crashes came
   50 to 1,200 ms after the request was sent. */
#define BUSY_US (1500 * WP_US_PER_MS)

/* A request that ended whole so lately is innocent. */
#define TRUST_US (5000 * WP_US_PER_MS)

#define FADE_US (600 * WP_US_PER_S)   /* lives below those that keep it out */
#define CLEARED_US (60 * WP_US_PER_S) /* late news of cleared ones is known */
#define RECORD_GOES_US (30 * WP_US_PER_S) /* until its record is removed */
#define DEAD_FADE_US (60 * WP_US_PER_S)   /* endpoints taken to have ended */

typedef struct Recent {
    uint64_t request;
    int64_t at_us;
} Recent;

/* An endpoint's life that is taken to have ended. */
typedef struct Dead {
    uint64_t life;
    int64_t at_us;
} Dead;

/* Legs of one request that are under way here. */
typedef struct Legs {
    uint64_t request;
    unsigned n;
} Legs;

struct WPSuspects {
    GHashTable *all;     /* request -> WPSuspect */
    GHashTable *running; /* request -> Legs: all of this box, in doubt or not:
                            copies that were sent before the first crash count
                            as well. Without them 6 endpoints ended where a
                            request came each 0.1 s, with them 5 (test_suspects)
                          */
    GHashTable *dead;    /* life -> Dead */
    uint64_t self;
    Recent recent[RECENT];
    bool untold;
};

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
    const Dead *d = value;
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

static WPSuspect *need(WPSuspects *s, uint64_t request)
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

static void changed(WPSuspects *s, WPTime now, WPSuspect *p, bool own)
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
    changed(s, now, p, true);
    p->untold = p->told;
}

static WPSuspectLife *life_of(WPSuspect *p, uint64_t life)
{
    for (unsigned i = 0; i < p->n_lives; i++)
        if (p->lives[i].life == life)
            return &p->lives[i];
    return NULL;
}

/* Returns NULL when it is known, or there are enough. A cleared one makes
   room. */
static WPSuspectLife *add_life(WPSuspect *p, const WPSuspectLife *l)
{
    WPSuspectLife *at = NULL;
    if (life_of(p, l->life))
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

static Recent *recent_of(WPSuspects *s, uint64_t request)
{
    return &s->recent[request % RECENT];
}

static bool is_trusted(WPSuspects *s, WPTime now, uint64_t request)
{
    const Recent *r = recent_of(s, request);
    return r->request == request && r->at_us &&
           now.mono_us - r->at_us < TRUST_US;
}

static unsigned own_legs(const WPSuspects *s, uint64_t request)
{
    const Legs *l = g_hash_table_lookup(s->running, &request);
    return l ? l->n : 0;
}

/* Whether a copy of it is under way, here or at another box. */
static bool is_busy(const WPSuspects *s, const WPSuspect *p, WPTime now)
{
    return p->busy_until_us > now.mono_us || own_legs(s, p->request);
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
    if (!n || is_trusted(s, now, request))
        return WP_SUSPECT_FREE;
    if (is_busy(s, p, now))
        return WP_SUSPECT_BUSY;
    bool may = n < WP_SUSPECT_KEPT_OUT || has_try(p, n, version);
    return may ? WP_SUSPECT_FREE : WP_SUSPECT_OUT;
}

bool wp_suspects_may_go_on(WPSuspects *s, WPTime now, uint64_t request)
{
    const WPSuspect *p = find(s, request);
    unsigned n = p ? wp_suspect_count(p) : 0;
    if (!n || is_trusted(s, now, request))
        return true;
    return n < WP_SUSPECT_KEPT_OUT && !is_busy(s, p, now);
}

bool wp_suspects_sent(WPSuspects *s, WPTime now, uint64_t request)
{
    WPSuspect *p = find(s, request);
    unsigned n = p ? wp_suspect_count(p) : 0;
    Legs *l = g_hash_table_lookup(s->running, &request);
    if (!l) {
        l = g_new0(Legs, 1);
        l->request = request;
        g_hash_table_insert(s->running, &l->request, l);
    }
    l->n++;
    if (!n)
        return false;
    if (n >= WP_SUSPECT_KEPT_OUT)
        p->tries++;
    if (!is_trusted(s, now, request)) {
        p->busy_number++;
        p->busy_box = s->self;
        changed(s, now, p, true);
    }
    return true;
}

void wp_suspects_left(WPSuspects *s, uint64_t request)
{
    Legs *l = g_hash_table_lookup(s->running, &request);
    if (l && !--l->n)
        g_hash_table_remove(s->running, &request);
}

/* Since when the life is taken to have ended, from now on at the latest. */
static int64_t died_us(WPSuspects *s, WPTime now, uint64_t life)
{
    Dead *d = g_hash_table_lookup(s->dead, &life);
    if (d)
        return d->at_us;
    if (g_hash_table_size(s->dead) >= LIVES_MOST)
        return now.mono_us;
    d = g_new0(Dead, 1);
    d->life = life;
    d->at_us = now.mono_us;
    g_hash_table_insert(s->dead, &d->life, d);
    return d->at_us;
}

unsigned wp_suspects_ended(WPSuspects *s, WPTime now, const WPSuspectRun *r)
{
    /* What is sent to an endpoint that is already gone did not end it. */
    if (r->sent_us > died_us(s, now, r->life))
        return wp_suspects_count(s, r->request);
    WPSuspect *p = need(s, r->request);
    const WPSuspectLife l = { .life = r->life,
                              .version = r->version,
                              .at_us = now.mono_us,
                              .weak = r->first_us &&
                                      now.mono_us - r->first_us > LONG_RUN_US };
    if (!add_life(p, &l))
        return wp_suspect_count(p);
    changed(s, now, p, true);
    /* What is much in use ends whole in a moment: nobody need know. */
    if (is_trusted(s, now, r->request))
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
        WPSuspectLife *l = life_of(v, life);
        if (!l || l->cleared)
            continue;
        l->cleared = true;
        cleared(s, now, v);
    }
}

void wp_suspects_alive(WPSuspects *s, WPTime now, uint64_t life,
                       int64_t sent_us)
{
    const Dead *d =
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

static bool has_uncleared(const WPSuspect *p)
{
    for (unsigned i = 0; i < p->n_lives; i++)
        if (!p->lives[i].cleared)
            return true;
    return false;
}

static bool clear_all(WPSuspects *s, WPTime now, WPSuspect *p)
{
    if (!p || !has_uncleared(p))
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
    *recent_of(s, request) = (Recent){ request, now.mono_us };
    return clear_all(s, now, find(s, request));
}

bool wp_suspects_let_in(WPSuspects *s, WPTime now, uint64_t request)
{
    return clear_all(s, now, find(s, request));
}

/* Whatever is heard only ever adds: a life that counts, or that it counts no
   more. News that two boxes could take back from each other would go round for
   ever. */
static bool hear_life(WPSuspects *s, WPTime now, WPSuspect *p,
                      const WPSuspectLife *heard)
{
    WPSuspectLife *l = life_of(p, heard->life);
    if (!l && !heard->cleared && add_life(p, heard)) {
        died_us(s, now, heard->life);
        return true;
    }
    if (!l || l->cleared == heard->cleared)
        return false;
    /* The teller is behind: it is told. */
    if (l->cleared) {
        p->untold = s->untold = true;
        return false;
    }
    l->cleared = true;
    return true;
}

static bool hear_lives(WPSuspects *s, WPTime now, WPSuspect *p,
                       const Wp__Suspect *m)
{
    bool is_new = false;
    size_t n = MIN(m->n_lives, MIN(m->n_versions, m->n_cleared));
    for (size_t i = 0; i < n; i++) {
        const WPSuspectLife heard = { .life = m->lives[i],
                                      .version = m->versions[i],
                                      .at_us = now.mono_us,
                                      .weak = i < m->n_weak && m->weak[i],
                                      .cleared = m->cleared[i] };
        is_new |= hear_life(s, now, p, &heard);
    }
    return is_new;
}

static bool is_later(const Wp__Suspect *m, const WPSuspect *p)
{
    return m->busy_number > p->busy_number ||
           (m->busy_number == p->busy_number && m->busy_box > p->busy_box);
}

/* Copies that this box sent before it heard of a crash. */
static void note_copies(WPSuspects *s, WPTime now, WPSuspect *p)
{
    if (!own_legs(s, p->request) || is_trusted(s, now, p->request))
        return;
    p->busy_box = s->self;
    p->busy_number++;
}

bool wp_suspects_hear(WPSuspects *s, WPTime now, const Wp__Suspect *m)
{
    WPSuspect *p = need(s, m->request);
    bool is_new = hear_lives(s, now, p, m);
    if (is_new && wp_suspect_count(p))
        note_copies(s, now, p);
    p->told = true;
    if (m->tries > p->tries && wp_suspect_count(p)) {
        p->tries = m->tries;
        is_new = true;
    }
    if (!has_uncleared(p))
        p->tries = 0;
    if (is_later(m, p)) {
        p->busy_until_us =
            now.mono_us + MIN(m->busy_ms * WP_US_PER_MS, BUSY_US);
        p->busy_box = m->busy_box;
        p->busy_number = m->busy_number;
        is_new = true;
    }
    if (is_new)
        changed(s, now, p, false);
    return is_new;
}

bool wp_suspects_any_untold(const WPSuspects *s)
{
    return s->untold;
}

static gint by_count(gconstpointer a, gconstpointer b)
{
    unsigned m = wp_suspect_count(*(WPSuspect *const *)a);
    unsigned n = wp_suspect_count(*(WPSuspect *const *)b);
    return m < n ? 1 : m > n ? -1 : 0;
}

static void tell_one(WPSuspects *s, WPSuspect *p, WPSuspect *out)
{
    p->untold = false;
    p->told = true;
    *out = *p;
    if (p->busy_box == s->self && own_legs(s, p->request))
        out->busy_until_us = INT64_MAX;
}

size_t wp_suspects_tell(WPSuspects *s, WPSuspect *out, size_t most)
{
    GHashTableIter it;
    gpointer v;
    g_autoptr(GPtrArray) list = g_ptr_array_new();
    g_hash_table_iter_init(&it, s->all);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (((WPSuspect *)v)->untold)
            g_ptr_array_add(list, v);
    if (list->len > most)
        g_ptr_array_sort(list, by_count);
    size_t n = MIN(list->len, most);
    for (size_t i = 0; i < n; i++)
        tell_one(s, list->pdata[i], &out[i]);
    s->untold = list->len > most;
    return n;
}

void wp_suspects_tell_all(WPSuspects *s)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->all);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (!wp_suspect_count(v))
            continue;
        ((WPSuspect *)v)->untold = true;
        s->untold = true;
    }
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

void wp_suspect_fill(const WPSuspect *p, WPTime now, WPSuspectRoom *room,
                     Wp__Suspect *m)
{
    int64_t busy_us = CLAMP(p->busy_until_us - now.mono_us, 0, BUSY_US);
    wp__suspect__init(m);
    m->request = p->request;
    m->n_lives = m->n_versions = m->n_cleared = m->n_weak = p->n_lives;
    m->lives = room->lives;
    m->versions = room->versions;
    m->cleared = room->cleared;
    m->weak = room->weak;
    for (unsigned i = 0; i < p->n_lives; i++) {
        room->lives[i] = p->lives[i].life;
        room->versions[i] = p->lives[i].version;
        room->cleared[i] = p->lives[i].cleared;
        room->weak[i] = p->lives[i].weak;
    }
    m->has_tries = m->has_busy_ms = 1;
    m->tries = p->tries;
    m->busy_ms = (uint32_t)(busy_us / WP_US_PER_MS);
    m->has_busy_box = m->has_busy_number = 1;
    m->busy_box = p->busy_box;
    m->busy_number = p->busy_number;
}
