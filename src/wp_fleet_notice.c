/* Endpoints that leave, and endpoints that want nothing from this box for a
 * while: what is believed, told and kept to. */
#include "wp_fleet_int.h"

enum {
    BAD_AGAIN_MS = 10000, /* between two reports of one endpoint's bad fields */
    REST_MOST_S = 1200,   /* a longer rest is asked about again, so that a slip
                             of units does not keep an endpoint out for good */
    REST_NEWS_MS = 250,   /* a later end is told on if it is so much later */
    REST_HEARD_MS = 5000, /* the longest rest that is believed of others: it may
                             be meant for them alone */
    UNLISTED_MOST = 4096,
    UNLISTED_LASTS_S = 600
};

/* What a life has said that is not listed, at present or yet. */
typedef struct Unlisted {
    int64_t at_us;
    bool leaving;
    int64_t rest_until_us;
} Unlisted;

static gboolean is_old(gpointer key, gpointer value, gpointer arg)
{
    const Unlisted *u = value;
    const WPTime *now = arg;
    (void)key;
    return now->mono_us - u->at_us > (int64_t)UNLISTED_LASTS_S * WP_US_PER_S;
}

static Unlisted *unlisted_of(WPFleet *f, WPTime now, uint64_t life)
{
    Unlisted *u = g_hash_table_lookup(f->unlisted, &life);
    if (!u && g_hash_table_size(f->unlisted) >= UNLISTED_MOST)
        g_hash_table_foreach_remove(f->unlisted, is_old, &now);
    if (!u && g_hash_table_size(f->unlisted) >= UNLISTED_MOST)
        g_hash_table_remove_all(f->unlisted);
    if (!u) {
        u = g_new0(Unlisted, 1);
        g_hash_table_insert(f->unlisted, g_memdup2(&life, sizeof(life)), u);
    }
    u->at_us = now.mono_us;
    return u;
}

static void believe_leaving(WPFleet *f, WPReplica *s, WPNoticeFrom from)
{
    s->said.leaving = (WPLeaving){ .from = from, .untold = true };
    f->leaving_untold = true;
    g_ptr_array_add(f->leaving, s);
}

/* The endpoint of this life that is listed now; `s` may have been taken out of
   the list since its request was sent, and its life have come back. */
static WPReplica *listed(WPFleet *f, WPReplica *s)
{
    WPReplica *live = s->gone ? wp_fleet_by_hash(f, s->life_hash) : s;
    return live && live->life_hash == s->life_hash ? live : NULL;
}

static int64_t believed_of_others_us(WPTime now, int64_t until_us)
{
    int64_t most_us = now.mono_us + (int64_t)REST_HEARD_MS * WP_US_PER_MS;
    return MIN(until_us, most_us);
}

/* Of two boxes that are told of one rest the second has mostly heard of it. */
static void tell_rest(WPFleet *f, WPTime now, WPReplica *s)
{
    int64_t until_us = believed_of_others_us(now, s->said.rest_until_us);
    if (until_us < s->said.rest_known_us + REST_NEWS_MS * WP_US_PER_MS)
        return;
    s->said.rest_known_us = until_us;
    if (!s->said.rest_untold)
        g_ptr_array_add(f->rested_by, s);
    s->said.rest_untold = true;
    f->rests_untold = true;
}

static void believe_rest(WPFleet *f, WPReplica *s, int64_t until_us)
{
    if (!g_ptr_array_find(f->resting, s, NULL))
        g_ptr_array_add(f->resting, s);
    s->said.rest_until_us = MAX(s->said.rest_until_us, until_us);
}

bool wp_fleet_told_leaving(WPFleet *f, WPReplica *s, WPTime now)
{
    WPReplica *l = listed(f, s);
    if (!l)
        unlisted_of(f, now, s->life_hash)->leaving = true;
    /* Its own word outlasts the list's. */
    if (!l || l->said.leaving.from > WP_FROM_LIST)
        return false;
    bool is_new = !l->said.leaving.from;
    believe_leaving(f, l, WP_FROM_ANSWER);
    return is_new;
}

/* Only its time and a new life end a rest: requests that end well there
   meanwhile were sent before the word. A shorter one cuts none short. */
bool wp_fleet_told_rest(WPFleet *f, WPReplica *s, WPTime now, double rest_s)
{
    double us = MIN(rest_s, (double)REST_MOST_S) * WP_US_PER_S;
    int64_t until_us = now.mono_us + (int64_t)us;
    WPReplica *l = listed(f, s);
    if (!l) {
        Unlisted *u = unlisted_of(f, now, s->life_hash);
        u->rest_until_us = MAX(u->rest_until_us, until_us);
        return false;
    }
    bool is_new = !wp_fleet_rests(l, now);
    believe_rest(f, l, until_us);
    tell_rest(f, now, l);
    return is_new;
}

/* Not passed on: with each box its end would come later by its time on the way,
   and it might go round for good. */
void wp_fleet_hear_rest(WPFleet *f, WPTime now, const WPRestNews *n)
{
    WPReplica *s = wp_fleet_by_hash(f, n->endpoint);
    int64_t until_us = now.mono_us + (int64_t)n->left_ms * WP_US_PER_MS;
    if (s)
        s->said.rest_known_us =
            MAX(s->said.rest_known_us, believed_of_others_us(now, until_us));
}

size_t wp_fleet_tell_rests(WPFleet *f, WPTime now, WPRestNews *out, size_t most)
{
    size_t n = 0;
    while (f->rested_by->len && n < most) {
        WPReplica *s = g_ptr_array_steal_index_fast(f->rested_by, 0);
        int64_t left_us = s->said.rest_known_us - now.mono_us;
        s->said.rest_untold = false;
        if (left_us > 0)
            out[n++] = (WPRestNews){ s->life_hash,
                                     (uint32_t)(left_us / WP_US_PER_MS) };
    }
    f->rests_untold = f->rested_by->len > 0;
    return n;
}

bool wp_fleet_any_untold_rest(const WPFleet *f)
{
    return f->rests_untold;
}

bool wp_fleet_rests(const WPReplica *s, WPTime now)
{
    return s->said.rest_until_us > now.mono_us;
}

bool wp_fleet_told_bad(WPReplica *s, WPTime now)
{
    int64_t age_us = now.mono_us - s->said.bad_us;
    if (s->said.bad_us && age_us < (int64_t)BAD_AGAIN_MS * WP_US_PER_MS)
        return false;
    s->said.bad_us = now.mono_us;
    return true;
}

WPReplica *wp_fleet_hear_leaving(WPFleet *f, WPTime now, uint64_t life)
{
    WPReplica *s = wp_fleet_by_hash(f, life);
    if (!s || s->life_hash != life) {
        unlisted_of(f, now, life)->leaving = true;
        return NULL;
    }
    if (s->said.leaving.from)
        return NULL;
    believe_leaving(f, s, WP_FROM_BOX);
    return s;
}

size_t wp_fleet_tell_leaving(WPFleet *f, uint64_t *out, size_t most)
{
    size_t n = 0;
    if (!f->leaving_untold)
        return 0;
    f->leaving_untold = false;
    for (guint i = 0; i < f->leaving->len; i++) {
        WPReplica *s = g_ptr_array_index(f->leaving, i);
        if (!s->said.leaving.untold)
            continue;
        if (n == most) {
            f->leaving_untold = true;
            break;
        }
        out[n++] = s->life_hash;
        s->said.leaving.untold = false;
    }
    return n;
}

bool wp_fleet_any_untold_leaving(const WPFleet *f)
{
    return f->leaving_untold;
}

void wp_fleet_each_leaving(WPFleet *f, void (*fn)(void *, uint64_t), void *arg)
{
    for (guint i = 0; i < f->leaving->len; i++)
        fn(arg, ((WPReplica *)g_ptr_array_index(f->leaving, i))->life_hash);
}

WPReplica *wp_fleet_rested(WPFleet *f, WPTime now)
{
    for (guint i = 0; i < f->resting->len; i++) {
        WPReplica *s = g_ptr_array_index(f->resting, i);
        if (wp_fleet_rests(s, now))
            continue;
        g_ptr_array_remove_index_fast(f->resting, i);
        return wp_fleet_hold(s);
    }
    return NULL;
}

WPNoticeCount wp_fleet_count_notices(const WPFleet *f, WPTime now)
{
    WPNoticeCount n = { 0 };
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, f->by_id);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPReplica *s = p;
        n.leaving += s->said.leaving.from != WP_FROM_NOBODY;
        n.resting += wp_fleet_rests(s, now);
    }
    return n;
}

void wp_fleet_keep_notices(WPFleet *f, WPTime now, const WPReplica *s)
{
    bool leaves = s->said.leaving.from > WP_FROM_LIST;
    if (!leaves && !wp_fleet_rests(s, now))
        return;
    Unlisted *u = unlisted_of(f, now, s->life_hash);
    u->leaving = leaves;
    u->rest_until_us = s->said.rest_until_us;
}

void wp_fleet_take_notices(WPFleet *f, WPReplica *s)
{
    const Unlisted *u = g_hash_table_lookup(f->unlisted, &s->life_hash);
    if (!u)
        return;
    if (u->leaving)
        believe_leaving(f, s, WP_FROM_BOX);
    if (u->rest_until_us)
        believe_rest(f, s, u->rest_until_us);
    g_hash_table_remove(f->unlisted, &s->life_hash);
}

void wp_fleet_forget_notices(WPFleet *f, WPReplica *s)
{
    g_ptr_array_remove_fast(f->leaving, s);
    g_ptr_array_remove_fast(f->resting, s);
    g_ptr_array_remove_fast(f->rested_by, s);
}
