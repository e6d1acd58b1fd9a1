/* The exchange of records of suspect requests with the other boxes and the
 * store. */
#include "wp_suspects_int.h"

/* Whether the request has completed at this box since the incarnation was
   presumed dead, so that a late report of its crash does not count. */
static bool completed_since(WPSuspects *s, uint64_t request,
                            uint64_t incarnation)
{
    const WPDeadIncarnation *d = g_hash_table_lookup(s->dead, &incarnation);
    return d && wp_suspects_completed_us(s, request) > d->at_us;
}

/* Merges a received crash into the record; returns whether it was new. Merging
   only ever adds a crash, or clears one. If a box could undo what another has
   sent, updates would circulate for ever. */
static bool merge_crash(WPSuspects *s, WPTime now, WPSuspect *p,
                        const WPSuspectCrash *received)
{
    WPSuspectCrash *known = wp_suspect_find_crash(p, received->incarnation);
    if (!known && !received->cleared &&
        completed_since(s, p->request, received->incarnation)) {
        known = wp_suspect_add_crash(p, received);
        if (known)
            known->cleared = true;
    }
    if (!known && !received->cleared && wp_suspect_add_crash(p, received)) {
        wp_suspects_dead_since_us(s, now, received->incarnation);
        return true;
    }
    if (!known || known->cleared == received->cleared)
        return false;
    /* The sender does not know yet that the crash is cleared: send it that. */
    if (known->cleared) {
        p->unsent = s->unsent = true;
        return false;
    }
    known->cleared = true;
    return true;
}

/* Merges the crashes of a received record; returns whether some were new.
   Arrays of different lengths are cut to the shortest. */
static bool merge_crashes(WPSuspects *s, WPTime now, WPSuspect *p,
                          const Wp__Suspect *m)
{
    bool is_new = false;
    size_t n = MIN(m->n_lives, MIN(m->n_versions, m->n_cleared));
    for (size_t i = 0; i < n; i++) {
        const WPSuspectCrash received = { .incarnation = m->lives[i],
                                          .version = m->versions[i],
                                          .at_us = now.mono_us,
                                          .weak = i < m->n_weak && m->weak[i],
                                          .cleared = m->cleared[i] };
        is_new |= merge_crash(s, now, p, &received);
    }
    return is_new;
}

/* Whether the received record is of a later copy of the request than the one
   that this box knows of. */
static bool is_later(const Wp__Suspect *m, const WPSuspect *p)
{
    return m->busy_number > p->in_flight_sequence ||
           (m->busy_number == p->in_flight_sequence &&
            m->busy_box > p->in_flight_box);
}

/* If copies of the request are in flight that this box sent before it received
   a crash, claims them as the latest copy, so that the other boxes learn of
   them. */
static void claim_local_copies(WPSuspects *s, WPTime now, WPSuspect *p)
{
    if (!wp_suspects_local_attempts(s, p->request) ||
        wp_suspects_is_trusted(s, now, p->request))
        return;
    p->in_flight_box = s->self;
    p->in_flight_sequence++;
}

/* Merges when a request with the part was last answered elsewhere. Returns
   whether the part has become trusted by that. */
static bool merge_answered(WPSuspects *s, WPTime now, WPSuspect *p,
                           const Wp__Suspect *m)
{
    bool trusted = wp_suspects_is_trusted(s, now, p->request);
    if (!wp_suspect_is_part(p))
        return false;
    if (m->has_answered_ms)
        p->answered_us =
            MAX(p->answered_us, now.mono_us - m->answered_ms * WP_US_PER_MS);
    else if (trusted)
        p->unsent = s->unsent = true; /* the sender does not know it */
    return !trusted && wp_suspects_is_trusted(s, now, p->request);
}

/* As wp_suspects_merge(), without what the crashes show of earlier answers. */
static bool merge_record(WPSuspects *s, WPTime now, const Wp__Suspect *m)
{
    WPSuspect *p = wp_suspects_get_or_add(s, m->request);
    bool is_new = merge_crashes(s, now, p, m);
    is_new |= merge_answered(s, now, p, m);
    if (is_new && wp_suspect_crash_count(p))
        claim_local_copies(s, now, p);
    p->known_to_peers = true;
    if (m->tries > p->probes && wp_suspect_crash_count(p)) {
        p->probes = m->tries;
        is_new = true;
    }
    if (!wp_suspect_has_uncleared(p))
        p->probes = 0;
    if (is_later(m, p)) {
        p->in_flight_until_us = now.mono_us + MIN(m->busy_ms * WP_US_PER_MS,
                                                  WP_SUSPECT_IN_FLIGHT_MAX_US);
        p->in_flight_box = m->busy_box;
        p->in_flight_sequence = m->busy_number;
        is_new = true;
    }
    if (is_new)
        wp_suspects_mark_changed(s, now, p, false);
    return is_new;
}

/* Counts answers that ended with their connections as lost if their endpoints
   are among those that crashed by the received record. */
static void lose_unconfirmed(WPSuspects *s, WPTime now, const Wp__Suspect *m)
{
    for (size_t i = 0; i < MIN(m->n_lives, m->n_cleared); i++)
        if (!m->cleared[i] && wp_suspects_is_presumed_dead(s, m->lives[i]))
            wp_suspects_lose_unconfirmed(s, now, m->lives[i], now.mono_us);
}

bool wp_suspects_merge(WPSuspects *s, WPTime now, const Wp__Suspect *m)
{
    bool is_new = merge_record(s, now, m);
    lose_unconfirmed(s, now, m);
    return is_new;
}

bool wp_suspects_any_unsent(const WPSuspects *s)
{
    return s->unsent;
}

/* Orders records by their crashes, the most first. */
static gint by_crashes(gconstpointer a, gconstpointer b)
{
    unsigned m = wp_suspect_crash_count(*(WPSuspect *const *)a);
    unsigned n = wp_suspect_crash_count(*(WPSuspect *const *)b);
    return m < n ? 1 : m > n ? -1 : 0;
}

/* Copies the record to `out` and marks it as sent. While this box runs the
   latest copy of the request, the copied record says so. */
static void take_one(WPSuspects *s, WPSuspect *p, WPSuspect *out)
{
    p->unsent = false;
    p->known_to_peers = true;
    *out = *p;
    if (wp_suspect_is_part(p))
        out->answered_us =
            MAX(p->answered_us, wp_suspects_completed_us(s, p->request));
    if (p->in_flight_box == s->self &&
        wp_suspects_local_attempts(s, p->request))
        out->in_flight_until_us = INT64_MAX;
}

size_t wp_suspects_take_unsent(WPSuspects *s, WPSuspect *out, size_t max)
{
    GHashTableIter it;
    gpointer v;
    g_autoptr(GPtrArray) list = g_ptr_array_new();
    g_hash_table_iter_init(&it, s->by_request);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (((WPSuspect *)v)->unsent)
            g_ptr_array_add(list, v);
    if (list->len > max)
        g_ptr_array_sort(list, by_crashes);
    size_t n = MIN(list->len, max);
    for (size_t i = 0; i < n; i++)
        take_one(s, list->pdata[i], &out[i]);
    s->unsent = list->len > max;
    return n;
}

void wp_suspects_mark_all_unsent(WPSuspects *s)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_request);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (!wp_suspect_crash_count(v))
            continue;
        ((WPSuspect *)v)->unsent = true;
        s->unsent = true;
    }
}

void wp_suspect_encode(const WPSuspect *p, WPTime now,
                       WPSuspectBuffers *buffers, Wp__Suspect *m)
{
    int64_t in_flight_us = CLAMP(p->in_flight_until_us - now.mono_us, 0,
                                 WP_SUSPECT_IN_FLIGHT_MAX_US);
    wp__suspect__init(m);
    m->request = p->request;
    m->n_lives = m->n_versions = m->n_cleared = m->n_weak = p->n_crashes;
    m->lives = buffers->incarnations;
    m->versions = buffers->versions;
    m->cleared = buffers->cleared;
    m->weak = buffers->weak;
    for (unsigned i = 0; i < p->n_crashes; i++) {
        buffers->incarnations[i] = p->crashes[i].incarnation;
        buffers->versions[i] = p->crashes[i].version;
        buffers->cleared[i] = p->crashes[i].cleared;
        buffers->weak[i] = p->crashes[i].weak;
    }
    m->has_tries = m->has_busy_ms = 1;
    m->tries = p->probes;
    m->busy_ms = (uint32_t)(in_flight_us / WP_US_PER_MS);
    m->has_answered_ms = p->answered_us > 0;
    m->answered_ms = (uint32_t)MIN(
        (now.mono_us - p->answered_us) / WP_US_PER_MS, UINT32_MAX);
    m->has_busy_box = m->has_busy_number = 1;
    m->busy_box = p->in_flight_box;
    m->busy_number = p->in_flight_sequence;
}
