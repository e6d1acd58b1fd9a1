/* Endpoints that are draining, and endpoints that asked this box for back-off:
 * the known state, its updates to other boxes, and what outlives registry
 * entries. */
#include "wp_fleet_int.h"

enum {
    /* Minimum time between two logged reports of invalid fields of one
       endpoint. */
    BAD_FIELD_INTERVAL_MS = 10000,
    /* A longer back-off is cut to this, after which the endpoint is asked
       again, so that a wrong unit does not exclude an endpoint for good. */
    BACKOFF_MAX_S = 1200,
    /* A later end is sent to other boxes if it is later by at least this. */
    BACKOFF_UPDATE_MIN_MS = 250,
    /* Longest back-off that is accepted from other boxes: it may be meant for
       them alone. */
    REMOTE_BACKOFF_MAX_MS = 5000,
    UNREGISTERED_MAX = 4096,
    UNREGISTERED_TTL_S = 600
};

/* The reports of an incarnation that is not registered, at present or yet. */
typedef struct Unregistered {
    int64_t at_us;
    bool draining;
    int64_t backoff_until_us;
} Unregistered;

static gboolean is_expired(gpointer key, gpointer value, gpointer arg)
{
    const Unregistered *u = value;
    const WPTime *now = arg;
    (void)key;
    return now->mono_us - u->at_us > (int64_t)UNREGISTERED_TTL_S * WP_US_PER_S;
}

/* The record of the incarnation, added if it is missing. If the table is full,
   expired records are removed, or all if none has expired. */
static Unregistered *get_unregistered(WPFleet *f, WPTime now,
                                      uint64_t incarnation)
{
    Unregistered *u = g_hash_table_lookup(f->unregistered, &incarnation);
    if (!u && g_hash_table_size(f->unregistered) >= UNREGISTERED_MAX)
        g_hash_table_foreach_remove(f->unregistered, is_expired, &now);
    if (!u && g_hash_table_size(f->unregistered) >= UNREGISTERED_MAX)
        g_hash_table_remove_all(f->unregistered);
    if (!u) {
        u = g_new0(Unregistered, 1);
        g_hash_table_insert(f->unregistered,
                            g_memdup2(&incarnation, sizeof(incarnation)), u);
    }
    u->at_us = now.mono_us;
    return u;
}

static void set_draining(WPFleet *f, WPReplica *s, WPDrainingSource from)
{
    s->reported.draining = (WPDraining){ .source = from, .unsent = true };
    f->draining_unsent = true;
    g_ptr_array_add(f->draining, s);
}

/* The registered endpoint of the same incarnation, or NULL: `s` may have been
   removed from the registry since its request was sent, and its incarnation
   registered again. */
static WPReplica *registered_endpoint(WPFleet *f, WPReplica *s)
{
    WPReplica *live = s->gone ? wp_fleet_by_hash(f, s->incarnation_hash) : s;
    return live && live->incarnation_hash == s->incarnation_hash ? live : NULL;
}

static int64_t remote_backoff_until_us(WPTime now, int64_t until_us)
{
    int64_t max_us =
        now.mono_us + (int64_t)REMOTE_BACKOFF_MAX_MS * WP_US_PER_MS;
    return MIN(until_us, max_us);
}

/* If two boxes are told of the same back-off, the second has mostly received
   the first one's update and sends none. */
static void mark_backoff_unsent(WPFleet *f, WPTime now, WPReplica *s)
{
    int64_t until_us =
        remote_backoff_until_us(now, s->reported.backoff_until_us);
    if (until_us < s->reported.shared_backoff_until_us +
                       BACKOFF_UPDATE_MIN_MS * WP_US_PER_MS)
        return;
    s->reported.shared_backoff_until_us = until_us;
    if (!s->reported.backoff_unsent)
        g_ptr_array_add(f->unsent_backoffs, s);
    s->reported.backoff_unsent = true;
    f->backoffs_unsent = true;
}

static void set_backoff(WPFleet *f, WPReplica *s, int64_t until_us)
{
    if (!g_ptr_array_find(f->backing_off, s, NULL))
        g_ptr_array_add(f->backing_off, s);
    s->reported.backoff_until_us = MAX(s->reported.backoff_until_us, until_us);
}

bool wp_fleet_record_draining(WPFleet *f, WPReplica *s, WPTime now)
{
    WPReplica *l = registered_endpoint(f, s);
    if (!l)
        get_unregistered(f, now, s->incarnation_hash)->draining = true;
    /* The report of the endpoint itself outlives its registry entry, so it
       replaces a state that came from the registry. */
    if (!l || l->reported.draining.source > WP_DRAINING_FROM_REGISTRY)
        return false;
    bool is_new = !l->reported.draining.source;
    set_draining(f, l, WP_DRAINING_FROM_ENDPOINT);
    return is_new;
}

/* Only its end and a new incarnation end a back-off: requests that succeed
   there meanwhile were sent before it. A shorter back-off does not cut a
   longer one short. */
bool wp_fleet_record_backoff(WPFleet *f, WPReplica *s, WPTime now,
                             double backoff_s)
{
    double us = MIN(backoff_s, (double)BACKOFF_MAX_S) * WP_US_PER_S;
    int64_t until_us = now.mono_us + (int64_t)us;
    WPReplica *l = registered_endpoint(f, s);
    if (!l) {
        Unregistered *u = get_unregistered(f, now, s->incarnation_hash);
        u->backoff_until_us = MAX(u->backoff_until_us, until_us);
        return false;
    }
    bool is_new = !wp_fleet_is_backing_off(l, now);
    set_backoff(f, l, until_us);
    mark_backoff_unsent(f, now, l);
    return is_new;
}

/* Not sent on: with each box its end would become later by the time of the
   transfer, and it might circulate forever. */
void wp_fleet_merge_backoff(WPFleet *f, WPTime now, const WPBackoffUpdate *n)
{
    WPReplica *s = wp_fleet_by_hash(f, n->endpoint);
    int64_t until_us = now.mono_us + (int64_t)n->left_ms * WP_US_PER_MS;
    if (s)
        s->reported.shared_backoff_until_us =
            MAX(s->reported.shared_backoff_until_us,
                remote_backoff_until_us(now, until_us));
}

size_t wp_fleet_take_unsent_backoffs(WPFleet *f, WPTime now,
                                     WPBackoffUpdate *out, size_t max)
{
    size_t n = 0;
    while (f->unsent_backoffs->len && n < max) {
        WPReplica *s = g_ptr_array_steal_index_fast(f->unsent_backoffs, 0);
        int64_t left_us = s->reported.shared_backoff_until_us - now.mono_us;
        s->reported.backoff_unsent = false;
        if (left_us > 0)
            out[n++] = (WPBackoffUpdate){ s->incarnation_hash,
                                          (uint32_t)(left_us / WP_US_PER_MS) };
    }
    f->backoffs_unsent = f->unsent_backoffs->len > 0;
    return n;
}

bool wp_fleet_has_unsent_backoffs(const WPFleet *f)
{
    return f->backoffs_unsent;
}

bool wp_fleet_is_backing_off(const WPReplica *s, WPTime now)
{
    return s->reported.backoff_until_us > now.mono_us;
}

bool wp_fleet_should_report_bad_field(WPReplica *s, WPTime now)
{
    int64_t age_us = now.mono_us - s->reported.invalid_logged_us;
    if (s->reported.invalid_logged_us &&
        age_us < (int64_t)BAD_FIELD_INTERVAL_MS * WP_US_PER_MS)
        return false;
    s->reported.invalid_logged_us = now.mono_us;
    return true;
}

WPReplica *wp_fleet_merge_draining(WPFleet *f, WPTime now, uint64_t incarnation)
{
    WPReplica *s = wp_fleet_by_hash(f, incarnation);
    if (!s || s->incarnation_hash != incarnation) {
        get_unregistered(f, now, incarnation)->draining = true;
        return NULL;
    }
    if (s->reported.draining.source)
        return NULL;
    set_draining(f, s, WP_DRAINING_FROM_BOX);
    return s;
}

size_t wp_fleet_take_unsent_draining(WPFleet *f, uint64_t *out, size_t max)
{
    size_t n = 0;
    if (!f->draining_unsent)
        return 0;
    f->draining_unsent = false;
    for (guint i = 0; i < f->draining->len; i++) {
        WPReplica *s = g_ptr_array_index(f->draining, i);
        if (!s->reported.draining.unsent)
            continue;
        if (n == max) {
            f->draining_unsent = true;
            break;
        }
        out[n++] = s->incarnation_hash;
        s->reported.draining.unsent = false;
    }
    return n;
}

bool wp_fleet_has_unsent_draining(const WPFleet *f)
{
    return f->draining_unsent;
}

void wp_fleet_each_draining(WPFleet *f, void (*fn)(void *, uint64_t), void *arg)
{
    for (guint i = 0; i < f->draining->len; i++)
        fn(arg,
           ((WPReplica *)g_ptr_array_index(f->draining, i))->incarnation_hash);
}

WPReplica *wp_fleet_next_backoff_ended(WPFleet *f, WPTime now)
{
    for (guint i = 0; i < f->backing_off->len; i++) {
        WPReplica *s = g_ptr_array_index(f->backing_off, i);
        if (wp_fleet_is_backing_off(s, now))
            continue;
        g_ptr_array_remove_index_fast(f->backing_off, i);
        return wp_replica_ref(s);
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
        n.draining += s->reported.draining.source != WP_DRAINING_NONE;
        n.backing_off += wp_fleet_is_backing_off(s, now);
    }
    return n;
}

void wp_fleet_save_notices(WPFleet *f, WPTime now, const WPReplica *s)
{
    bool is_draining = s->reported.draining.source > WP_DRAINING_FROM_REGISTRY;
    if (!is_draining && !wp_fleet_is_backing_off(s, now))
        return;
    Unregistered *u = get_unregistered(f, now, s->incarnation_hash);
    u->draining = is_draining;
    u->backoff_until_us = s->reported.backoff_until_us;
}

void wp_fleet_restore_notices(WPFleet *f, WPReplica *s)
{
    const Unregistered *u =
        g_hash_table_lookup(f->unregistered, &s->incarnation_hash);
    if (!u)
        return;
    if (u->draining)
        set_draining(f, s, WP_DRAINING_FROM_BOX);
    if (u->backoff_until_us)
        set_backoff(f, s, u->backoff_until_us);
    g_hash_table_remove(f->unregistered, &s->incarnation_hash);
}

void wp_fleet_forget_notices(WPFleet *f, WPReplica *s)
{
    g_ptr_array_remove_fast(f->draining, s);
    g_ptr_array_remove_fast(f->backing_off, s);
    g_ptr_array_remove_fast(f->unsent_backoffs, s);
}
