/* What an entry knows that calls endpoints directly. */
#include "wp_direct_int.h"

/* How often what is over is swept out. */
#define SWEEP_US (1000 * WP_US_PER_MS)

/* A session binds this much longer than it must, as the platform's clock of
   it is not this box's. */
#define SESSION_MARGIN 1.3

/* A session that is heard of again within this is not told on again. */
#define HEARD_AGAIN_US (1500 * WP_US_PER_MS)

/* Up to this many boxes take the whole share of a first half. */
#define FEW_BOXES 4

/* Sessions are kept this many times as long. */
#define SESSION_KEPT 2

void wp_direct_init(WPDirect *d, const WPDirectRules *rules,
                    const Wp__Chart *chart, uint32_t seed)
{
    memset(d, 0, sizeof(*d));
    d->rules = *rules;
    d->boxes = 1;
    wp_value_rate_init(&d->earned);
    wp_stall_init(&d->pauses);
    d->fleet = wp_fleet_new(seed);
    wp_fleet_set_rules(d->fleet, &rules->fleet);
    d->shifts = wp_shifts_new(chart);
    d->suspects = wp_suspects_new(rules->box);
    d->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->sessions =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    d->speeds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->usual = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->quality = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->rand = g_rand_new_with_seed(seed);
}

void wp_direct_end(WPDirect *d)
{
    wp_routes_unref(d->routes);
    wp_fleet_free(d->fleet);
    wp_shifts_free(d->shifts);
    wp_suspects_free(d->suspects);
    g_hash_table_unref(d->budgets);
    g_hash_table_unref(d->sessions);
    g_hash_table_unref(d->speeds);
    g_hash_table_unref(d->quality);
    g_hash_table_unref(d->usual);
    g_rand_free(d->rand);
}

bool wp_direct_routes(WPDirect *d, WPRoutes *t)
{
    if (d->routes && d->routes->version >= t->version) {
        wp_routes_unref(t);
        return false;
    }
    wp_routes_unref(d->routes);
    d->routes = t;
    for (guint i = 0; i < t->services->len; i++) {
        const WPService *s = g_ptr_array_index(t->services, i);
        wp_fleet_set_cold_rule(d->fleet, s->name, s->cold_per_s,
                               s->cold_start_s);
    }
    wp_count(&d->counters, WP_C_CONFIG_CHANGES);
    return true;
}

typedef struct Sweep {
    WPTime now;
    int64_t oldest_us;
} Sweep;

static gboolean is_over(gpointer key, gpointer value, gpointer arg)
{
    const WPSessionSeen *seen = value;
    const Sweep *sweep = arg;
    (void)key;
    return seen->used_us < sweep->oldest_us;
}

void wp_direct_tick(WPDirect *d, WPTime now)
{
    int64_t kept_us =
        (int64_t)d->rules.session_ms * WP_US_PER_MS * SESSION_KEPT;
    Sweep sweep = { now, now.mono_us - kept_us };
    wp_fleet_tick(d->fleet, now);
    if (now.mono_us - d->swept_us < SWEEP_US)
        return;
    d->swept_us = now.mono_us;
    wp_suspects_expire(d->suspects, now);
    g_hash_table_foreach_remove(d->sessions, is_over, &sweep);
}

WPBudget *wp_direct_budget(WPDirect *d, const char *service)
{
    WPBudget *b = g_hash_table_lookup(d->budgets, service);
    if (!b) {
        b = g_new0(WPBudget, 1);
        g_hash_table_insert(d->budgets, g_strdup(service), b);
    }
    return b;
}

/* The value of a table by name and model, made when it is missing. */
static void *need_value(GHashTable *t, const char *name, WPStr model,
                        size_t size)
{
    g_autofree char *key =
        g_strdup_printf("%s %.*s", name, (int)model.n, model.p);
    void *v = g_hash_table_lookup(t, key);
    if (!v) {
        v = g_malloc0(size);
        g_hash_table_insert(t, g_steal_pointer(&key), v);
    }
    return v;
}

WPTtfbModel *wp_direct_speed(WPDirect *d, const char *what, WPStr model)
{
    return need_value(d->speeds, what, model, sizeof(WPTtfbModel));
}

WPQuartiles *wp_direct_usual(WPDirect *d, const char *what, WPStr model)
{
    return need_value(d->usual, what, model, sizeof(WPQuartiles));
}

WPGoodShare *wp_direct_quality(WPDirect *d, const char *route)
{
    WPGoodShare *q = g_hash_table_lookup(d->quality, route);
    if (!q) {
        q = g_new0(WPGoodShare, 1);
        g_hash_table_insert(d->quality, g_strdup(route), q);
    }
    return q;
}

static int64_t session_bound_us(const WPDirect *d)
{
    return (int64_t)(d->rules.session_ms * SESSION_MARGIN) * WP_US_PER_MS;
}

const char *wp_direct_session(WPDirect *d, WPTime now, uint64_t session)
{
    const WPSessionSeen *seen = g_hash_table_lookup(d->sessions, &session);
    if (!seen || now.mono_us - seen->used_us > session_bound_us(d))
        return NULL;
    return seen->version;
}

uint32_t wp_direct_session_left_ms(WPDirect *d, WPTime now, uint64_t session)
{
    const WPSessionSeen *seen = g_hash_table_lookup(d->sessions, &session);
    int64_t left_us =
        seen ? seen->used_us + session_bound_us(d) - now.mono_us : 0;
    return (uint32_t)(MAX(left_us, 0) / WP_US_PER_MS);
}

void wp_direct_session_on(WPDirect *d, WPTime now, uint64_t session,
                          const char *version)
{
    WPSessionSeen *seen = g_hash_table_lookup(d->sessions, &session);
    if (!seen) {
        seen = g_new0(WPSessionSeen, 1);
        seen->session = session;
        g_hash_table_insert(d->sessions, &seen->session, seen);
    }
    seen->version = g_intern_string(version);
    seen->used_us = now.mono_us;
    seen->own = true;
    seen->told = seen->told_left = false;
}

double wp_direct_unit(uint64_t session)
{
    return wp_hash_unit(wp_strn((const char *)&session, sizeof(session)), 1);
}

/* In the first half many boxes take a smaller share each: the verdict wants a
   number of answers, not a part of all, and each session that is moved may meet
   a box that has not heard of it. All boxes know the same number of boxes. */
double wp_direct_place(const WPDirect *d, WPTime now, const WPShift *sh,
                       double unit)
{
    double few = (double)FEW_BOXES / MAX(d->boxes, FEW_BOXES);
    return wp_shift_first_half(sh, now) ? unit / few : unit;
}

typedef struct Reach {
    const WPDirect *d;
    WPTime now;
    uint64_t session;
    bool first_half; /* of some move */
    bool taken;      /* some move takes the session, as far as its place goes */
} Reach;

static void note_reach(void *arg, WPShift *sh)
{
    Reach *r = arg;
    if (sh->state != WP_SHIFT_RUNNING)
        return;
    double place =
        wp_direct_place(r->d, r->now, sh, wp_direct_unit(r->session));
    r->first_half |= wp_shift_first_half(sh, r->now);
    r->taken |= place < wp_shift_stage(r->d->shifts, sh, r->now)->share;
}

/* Whether boxes that know nothing of a session would send it elsewhere than it
   is. Most would not, and to tell of all sessions would grow with the square of
   the number of boxes. */
static bool needs_telling(const WPDirect *d, WPTime now, uint64_t session,
                          bool moved)
{
    Reach r = { d, now, session, false, false };
    wp_shifts_each(d->shifts, note_reach, &r);
    return moved ? r.first_half || !r.taken : r.taken;
}

static bool is_new_version(const WPDirect *d, const char *version)
{
    return wp_shifts_is_target(d->shifts, version);
}

/* Whether the others are to know this of the session. */
static bool is_news(const WPDirect *d, WPTime now, WPSessionNews what,
                    const WPSessionSeen *seen)
{
    if (what == WP_TELL_LEFT)
        return seen->own && !seen->told_left &&
               wp_shifts_any_retired(d->shifts, seen->version);
    bool moved = what == WP_TELL_MOVED;
    return !seen->told && is_new_version(d, seen->version) == moved &&
           needs_telling(d, now, seen->session, moved);
}

/* Whether there may be any such session now. */
static bool is_time_to_tell(const WPDirect *d, WPTime now, WPSessionNews what)
{
    switch (what) {
    case WP_TELL_BOUND:
        return wp_shifts_any_first_half(d->shifts, now);
    case WP_TELL_MOVED:
        return wp_shifts_any_partial(d->shifts, now);
    default:
        return true;
    }
}

size_t wp_direct_tell(WPDirect *d, WPTime now, WPSessionNews what,
                      uint64_t *out, size_t most)
{
    GHashTableIter it;
    gpointer p;
    size_t n = 0;
    int64_t oldest = now.mono_us - session_bound_us(d);
    if (!is_time_to_tell(d, now, what))
        return 0;
    g_hash_table_iter_init(&it, d->sessions);
    while (n < most && g_hash_table_iter_next(&it, NULL, &p)) {
        WPSessionSeen *seen = p;
        if (seen->used_us <= oldest || !is_news(d, now, what, seen))
            continue;
        if (what == WP_TELL_LEFT)
            seen->told_left = true;
        else
            seen->told = true;
        out[n++] = seen->session;
    }
    return n;
}

static void note_target(void *arg, WPShift *sh)
{
    const char **version = arg;
    if (sh->state == WP_SHIFT_RUNNING)
        *version = sh->version;
}

void wp_direct_hear(WPDirect *d, WPTime now, WPSessionNews what,
                    uint64_t session)
{
    WPSessionSeen *seen = g_hash_table_lookup(d->sessions, &session);
    int64_t age_us = seen ? now.mono_us - seen->used_us : INT64_MAX;
    const char *version =
        what == WP_TELL_LEFT ? WP_VERSION_LEFT : WP_VERSION_OLD;
    if (seen && seen->own && age_us < session_bound_us(d))
        return;
    /* XXX: with moves of two services at once, the last one's version. */
    if (what == WP_TELL_MOVED)
        wp_shifts_each(d->shifts, note_target, &version);
    bool known = seen && age_us < HEARD_AGAIN_US;
    wp_direct_session_on(d, now, session, version);
    seen = g_hash_table_lookup(d->sessions, &session);
    seen->own = false;
    /* Boxes that are linked to this one and not to the teller hear it too; what
       comes back the other way is known by then. */
    seen->told = known;
}
