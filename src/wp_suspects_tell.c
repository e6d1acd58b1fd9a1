/* What boxes tell each other, and the store, of requests under which endpoints
 * have ended. */
#include "wp_suspects_int.h"

/* Whatever is heard only ever adds: a life that counts, or that it counts no
   more. News that two boxes could take back from each other would go round for
   ever. */
static bool hear_life(WPSuspects *s, WPTime now, WPSuspect *p,
                      const WPSuspectLife *heard)
{
    WPSuspectLife *l = wp_suspect_life(p, heard->life);
    if (!l && !heard->cleared && wp_suspect_add(p, heard)) {
        wp_suspects_died_us(s, now, heard->life);
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
    if (!wp_suspects_legs(s, p->request) ||
        wp_suspects_trust(s, now, p->request))
        return;
    p->busy_box = s->self;
    p->busy_number++;
}

bool wp_suspects_hear(WPSuspects *s, WPTime now, const Wp__Suspect *m)
{
    WPSuspect *p = wp_suspects_need(s, m->request);
    bool is_new = hear_lives(s, now, p, m);
    if (is_new && wp_suspect_count(p))
        note_copies(s, now, p);
    p->told = true;
    if (m->tries > p->tries && wp_suspect_count(p)) {
        p->tries = m->tries;
        is_new = true;
    }
    if (!wp_suspect_has_uncleared(p))
        p->tries = 0;
    if (is_later(m, p)) {
        p->busy_until_us =
            now.mono_us + MIN(m->busy_ms * WP_US_PER_MS, WP_SUSPECT_BUSY_US);
        p->busy_box = m->busy_box;
        p->busy_number = m->busy_number;
        is_new = true;
    }
    if (is_new)
        wp_suspects_changed(s, now, p, false);
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
    if (p->busy_box == s->self && wp_suspects_legs(s, p->request))
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

void wp_suspect_fill(const WPSuspect *p, WPTime now, WPSuspectRoom *room,
                     Wp__Suspect *m)
{
    int64_t busy_us =
        CLAMP(p->busy_until_us - now.mono_us, 0, WP_SUSPECT_BUSY_US);
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
