/* Suspect requests: requests during which endpoints have crashed. */
#include "wp_suspects_int.h"

#include <stdlib.h>

enum {
    /* Records of requests. An endpoint that crashes leaves up to some hundred,
       and a caller may send many different requests. */
    MAX_RECORDS = 1024,
    /* Incarnations that are presumed dead. */
    MAX_DEAD = 512,
    /* Crashes from which on a record is kept in the store: most requests that
       only ran on an endpoint that crashed have one. */
    STORE_CRASHES = 2,
    /* Crashes from which on copies of a part are sent one at a time: every
       crash has innocent parts. */
    PART_SERIALIZED_CRASHES = 2,
    /* The platform's limit on sends in quarantine. */
    MAX_PROBES = 3
};

/* Crashes at most this far apart count as one event with a common cause. */
#define SAME_EVENT_US (30 * WP_US_PER_MS)

/* A request that has completed within this time is trusted not to crash
   endpoints. */
#define TRUST_US (5000 * WP_US_PER_MS)

/* A quarantined part that was answered before is sent as a probe this often. */
#define ANSWERED_PROBE_US (1000 * WP_US_PER_MS)

/* A record with fewer crashes than lead to quarantine expires this long after
   its last change. */
#define EXPIRE_US (600 * WP_US_PER_S)

/* The same if all its crashes are cleared. The record is kept until then so
   that updates which arrive late do not count them again. */
#define EXPIRE_CLEARED_US (60 * WP_US_PER_S)

/* An expired record stays in memory for this long, so that its copy in the
   store can be removed first. */
#define STORE_REMOVAL_US (30 * WP_US_PER_S)

/* An incarnation is presumed dead for this long. */
#define EXPIRE_DEAD_US (60 * WP_US_PER_S)

WPSuspects *wp_suspects_new(uint64_t self)
{
    WPSuspects *s = g_new0(WPSuspects, 1);
    s->self = self;
    s->by_request =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    s->dead = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    s->local_attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return s;
}

void wp_suspects_free(WPSuspects *s)
{
    if (!s)
        return;
    g_hash_table_unref(s->by_request);
    g_hash_table_unref(s->dead);
    g_hash_table_unref(s->local_attempts);
    wp_suspects_free_unconfirmed(s);
    g_free(s);
}

static WPSuspect *find(WPSuspects *s, uint64_t request)
{
    return g_hash_table_lookup(s->by_request, &request);
}

bool wp_suspects_any(const WPSuspects *s)
{
    return g_hash_table_size(s->by_request) > 0;
}

const WPSuspect *wp_suspects_find(WPSuspects *s, uint64_t request)
{
    return find(s, request);
}

/* Two weak crashes count as one. */
unsigned wp_suspect_crash_count(const WPSuspect *p)
{
    unsigned halves = 0;
    for (unsigned i = 0; i < p->n_crashes; i++)
        if (!p->crashes[i].cleared)
            halves += p->crashes[i].weak ? 1 : 2;
    return halves / 2;
}

unsigned wp_suspects_crash_count(WPSuspects *s, uint64_t request)
{
    const WPSuspect *p = find(s, request);
    return p ? wp_suspect_crash_count(p) : 0;
}

/* Whether the record has expired. One in quarantine never does. */
static bool is_expired(const WPSuspect *p, WPTime now)
{
    unsigned n = wp_suspect_crash_count(p);
    int64_t age_us = now.mono_us - p->changed_us;
    if (n >= WP_SUSPECT_QUARANTINE_CRASHES)
        return false;
    return age_us > (n ? EXPIRE_US : EXPIRE_CLEARED_US);
}

bool wp_suspects_is_persistent(WPSuspects *s, const WPSuspect *p, WPTime now)
{
    bool is_part = wp_suspect_is_part(p);
    unsigned least = is_part ? WP_SUSPECT_QUARANTINE_CRASHES : STORE_CRASHES;
    if (is_part && wp_suspects_was_answered(s, p->request))
        return false;
    return wp_suspect_crash_count(p) >= least && !is_expired(p, now);
}

/* Whether the record expired long enough ago for its copy in the store to have
   been removed. */
static gboolean record_is_removable(gpointer key, gpointer value, gpointer arg)
{
    WPTime earlier = *(const WPTime *)arg;
    (void)key;
    earlier.mono_us -= STORE_REMOVAL_US;
    return is_expired(value, earlier);
}

static gboolean dead_is_expired(gpointer key, gpointer value, gpointer arg)
{
    const WPTime *now = arg;
    const WPDeadIncarnation *d = value;
    (void)key;
    return now->mono_us - d->at_us > EXPIRE_DEAD_US;
}

void wp_suspects_expire(WPSuspects *s, WPTime now)
{
    g_hash_table_foreach_remove(s->by_request, record_is_removable, &now);
    g_hash_table_foreach_remove(s->dead, dead_is_expired, &now);
}

/* If the table is full, removes the record with the fewest crashes, and of
   those the one whose last change is the longest ago. */
static void make_room(WPSuspects *s)
{
    GHashTableIter it;
    gpointer v;
    const WPSuspect *worst = NULL;
    unsigned min_crashes = 0;
    if (g_hash_table_size(s->by_request) < MAX_RECORDS)
        return;
    g_hash_table_iter_init(&it, s->by_request);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const WPSuspect *p = v;
        unsigned n = wp_suspect_crash_count(p);
        if (worst && (n > min_crashes ||
                      (n == min_crashes && p->changed_us >= worst->changed_us)))
            continue;
        worst = p;
        min_crashes = n;
    }
    uint64_t request = worst->request;
    g_hash_table_remove(s->by_request, &request);
}

WPSuspect *wp_suspects_get_or_add(WPSuspects *s, uint64_t request)
{
    WPSuspect *p = find(s, request);
    if (p)
        return p;
    make_room(s);
    p = g_new0(WPSuspect, 1);
    p->request = request;
    g_hash_table_insert(s->by_request, &p->request, p);
    return p;
}

void wp_suspects_mark_changed(WPSuspects *s, WPTime now, WPSuspect *p,
                              bool local)
{
    p->changed_us = now.mono_us;
    p->local_origin = local;
    p->unsent = true;
    s->unsent = true;
}

/* Notes that crashes of the record were cleared. That is sent only if other
   boxes know of the request. */
static void mark_cleared(WPSuspects *s, WPTime now, WPSuspect *p)
{
    wp_suspects_mark_changed(s, now, p, true);
    p->unsent = p->known_to_peers;
}

WPSuspectCrash *wp_suspect_find_crash(WPSuspect *p, uint64_t incarnation)
{
    for (unsigned i = 0; i < p->n_crashes; i++)
        if (p->crashes[i].incarnation == incarnation)
            return &p->crashes[i];
    return NULL;
}

WPSuspectCrash *wp_suspect_add_crash(WPSuspect *p, const WPSuspectCrash *c)
{
    WPSuspectCrash *at = NULL;
    if (wp_suspect_find_crash(p, c->incarnation))
        return NULL;
    for (unsigned i = 0; i < p->n_crashes && !at; i++)
        if (p->crashes[i].cleared)
            at = &p->crashes[i];
    if (p->n_crashes < WP_SUSPECT_MAX_CRASHES)
        at = &p->crashes[p->n_crashes++];
    if (at)
        *at = *c;
    return at;
}

/* Where the completion of the request is recorded. Requests whose hashes fall
   on the same place overwrite each other. */
static WPSuspectCompletion *completion_of(WPSuspects *s, uint64_t request)
{
    if (wp_suspect_key_is_part(request))
        return &s->part_completions[request % WP_SUSPECTS_PART_SLOTS];
    return &s->completions[request % WP_SUSPECTS_RECENT_SLOTS];
}

int64_t wp_suspects_completed_us(WPSuspects *s, uint64_t request)
{
    const WPSuspectCompletion *r = completion_of(s, request);
    return r->request == request ? r->at_us : 0;
}

/* When a request with the key was last known to be answered; 0: never. */
static int64_t answered_us(WPSuspects *s, uint64_t request)
{
    const WPSuspect *p = find(s, request);
    return MAX(wp_suspects_completed_us(s, request), p ? p->answered_us : 0);
}

bool wp_suspects_was_answered(WPSuspects *s, uint64_t part)
{
    return answered_us(s, part) > 0;
}

bool wp_suspects_is_trusted(WPSuspects *s, WPTime now, uint64_t request)
{
    int64_t at_us = answered_us(s, request);
    return at_us && now.mono_us - at_us < TRUST_US;
}

bool wp_suspects_is_quarantined(WPSuspects *s, WPTime now, const WPSuspect *p)
{
    unsigned n = wp_suspect_crash_count(p);
    if (!wp_suspect_is_part(p) || !wp_suspects_was_answered(s, p->request))
        return n >= WP_SUSPECT_QUARANTINE_CRASHES;
    return n >= WP_SUSPECT_ANSWERED_CRASHES &&
           !wp_suspects_is_trusted(s, now, p->request);
}

/* Whether only one copy of the suspect may be in flight. A request that has
   completed lately is sent whatever its crashes. */
static bool is_serialized(WPSuspects *s, WPTime now, const WPSuspect *p)
{
    if (!wp_suspect_is_part(p))
        return wp_suspect_crash_count(p) &&
               !wp_suspects_is_trusted(s, now, p->request);
    if (wp_suspects_was_answered(s, p->request))
        return wp_suspects_is_quarantined(s, now, p);
    return wp_suspect_crash_count(p) >= PART_SERIALIZED_CRASHES;
}

unsigned wp_suspects_local_attempts(const WPSuspects *s, uint64_t request)
{
    const WPLocalAttempts *l = g_hash_table_lookup(s->local_attempts, &request);
    return l ? l->n : 0;
}

/* Whether a copy of the request is in flight, from this box or another one. */
bool wp_suspect_is_in_flight(const WPSuspects *s, const WPSuspect *p,
                             WPTime now)
{
    return p->in_flight_until_us > now.mono_us ||
           wp_suspects_local_attempts(s, p->request);
}

/* Whether the request has crashed an endpoint of the version. */
static bool crashed_on(const WPSuspect *p, uint64_t version)
{
    for (unsigned i = 0; i < p->n_crashes; i++)
        if (!p->crashes[i].cleared && p->crashes[i].version == version)
            return true;
    return false;
}

/* Number of separate events in which endpoints crashed during the request. A
   rack that fails ends several endpoints in one event, and copies of a request
   that many callers send may have run on several of them. */
static unsigned crash_events(const WPSuspect *p)
{
    unsigned n = 0;
    for (unsigned i = 0; i < p->n_crashes; i++) {
        bool separate = !p->crashes[i].cleared;
        for (unsigned j = 0; j < i && separate; j++)
            separate = llabs(p->crashes[i].at_us - p->crashes[j].at_us) >
                       SAME_EVENT_US;
        n += separate;
    }
    return n;
}

/* Whether a quarantined suspect may be sent as a probe though that does not
   show which of several suspects crashes endpoints: once, if its crashes may
   have had a common cause. */
static bool may_probe_with_others(const WPSuspect *p)
{
    return !p->probes && crash_events(p) < WP_SUSPECT_QUARANTINE_CRASHES;
}

/* Whether a quarantined request may be sent to the version as a probe. `n`:
   number of crashes that count against it. While that is still the number from
   which on it is quarantined, the probes before have shown nothing: their
   callers left, or their boxes were killed. A request whose crashes fall into
   fewer separate events than that gets one probe at any version. */
static bool may_probe(const WPSuspect *p, unsigned n, uint64_t version)
{
    if (!wp_suspect_has_probes_left(p))
        return false;
    if (!crashed_on(p, version) || n == WP_SUSPECT_QUARANTINE_CRASHES)
        return true;
    return may_probe_with_others(p);
}

WPSuspectAdmission wp_suspects_admit_with(WPSuspects *s, WPTime now,
                                          uint64_t request, uint64_t version,
                                          bool others_quarantined)
{
    const WPSuspect *p = find(s, request);
    bool quarantined = p && wp_suspects_is_quarantined(s, now, p);
    if (!p || !(quarantined || is_serialized(s, now, p)))
        return WP_SUSPECT_ADMITTED;
    if (!wp_suspect_is_part(p) && wp_suspects_is_trusted(s, now, request))
        return WP_SUSPECT_ADMITTED;
    bool answered =
        wp_suspect_is_part(p) && wp_suspects_was_answered(s, request);
    if (quarantined && answered &&
        now.mono_us - p->probed_us < ANSWERED_PROBE_US)
        return WP_SUSPECT_IN_FLIGHT;
    if (quarantined && !answered &&
        !(others_quarantined
              ? may_probe_with_others(p)
              : may_probe(p, wp_suspect_crash_count(p), version)))
        return WP_SUSPECT_QUARANTINED;
    return wp_suspect_is_in_flight(s, p, now) ? WP_SUSPECT_IN_FLIGHT
                                              : WP_SUSPECT_ADMITTED;
}

WPSuspectAdmission wp_suspects_admit(WPSuspects *s, WPTime now,
                                     uint64_t request, uint64_t version)
{
    return wp_suspects_admit_with(s, now, request, version, false);
}

bool wp_suspect_has_probes_left(const WPSuspect *p)
{
    return p->probes < MAX_PROBES;
}

bool wp_suspects_may_retry(WPSuspects *s, WPTime now, uint64_t request)
{
    const WPSuspect *p = find(s, request);
    if (!p ||
        (!wp_suspect_is_part(p) && wp_suspects_is_trusted(s, now, request)))
        return true;
    if (wp_suspects_is_quarantined(s, now, p))
        return false;
    return !is_serialized(s, now, p) || !wp_suspect_is_in_flight(s, p, now);
}

void wp_suspects_attempt_started(WPSuspects *s, WPTime now, uint64_t request)
{
    WPSuspect *p = find(s, request);
    unsigned n = p ? wp_suspect_crash_count(p) : 0;
    WPLocalAttempts *l = g_hash_table_lookup(s->local_attempts, &request);
    if (!l) {
        l = g_new0(WPLocalAttempts, 1);
        l->request = request;
        g_hash_table_insert(s->local_attempts, &l->request, l);
    }
    l->n++;
    if (!n)
        return;
    if (wp_suspects_is_quarantined(s, now, p)) {
        p->probes++;
        p->probed_us = now.mono_us;
    }
    if (is_serialized(s, now, p)) {
        p->in_flight_sequence++;
        p->in_flight_box = s->self;
        wp_suspects_mark_changed(s, now, p, true);
    }
}

void wp_suspects_attempt_ended(WPSuspects *s, uint64_t request)
{
    WPLocalAttempts *l = g_hash_table_lookup(s->local_attempts, &request);
    if (l && !--l->n)
        g_hash_table_remove(s->local_attempts, &request);
}

int64_t wp_suspects_dead_since_us(WPSuspects *s, WPTime now,
                                  uint64_t incarnation)
{
    WPDeadIncarnation *d = g_hash_table_lookup(s->dead, &incarnation);
    if (d)
        return d->at_us;
    if (g_hash_table_size(s->dead) >= MAX_DEAD)
        return now.mono_us;
    d = g_new0(WPDeadIncarnation, 1);
    d->incarnation = incarnation;
    d->at_us = now.mono_us;
    g_hash_table_insert(s->dead, &d->incarnation, d);
    return d->at_us;
}

unsigned wp_suspects_record_crash_of_all(WPSuspects *s, WPTime now,
                                         const WPSuspectAttempt *attempt,
                                         const uint64_t *keys, unsigned n)
{
    WPSuspectAttempt a = *attempt;
    unsigned crashes = 0;
    for (unsigned i = n; i-- > 0;) {
        a.request = keys[i];
        crashes = wp_suspects_record_crash(s, now, &a);
    }
    return crashes;
}

unsigned wp_suspects_record_crash(WPSuspects *s, WPTime now,
                                  const WPSuspectAttempt *r)
{
    bool was_dead = wp_suspects_is_presumed_dead(s, r->incarnation);
    /* A request that was sent after the crash did not cause it. */
    if (r->sent_us > wp_suspects_dead_since_us(s, now, r->incarnation))
        return wp_suspects_crash_count(s, r->request);
    if (!was_dead)
        wp_suspects_lose_unconfirmed(s, now, r->incarnation, r->sent_us);
    bool is_part = wp_suspect_key_is_part(r->request);
    bool weak = r->first_byte_us &&
                now.mono_us - r->first_byte_us > WP_SUSPECT_LONG_RUN_US;
    if (is_part && weak)
        return wp_suspects_crash_count(s, r->request);
    WPSuspect *p = wp_suspects_get_or_add(s, r->request);
    const WPSuspectCrash c = { .incarnation = r->incarnation,
                               .version = r->version,
                               .at_us = now.mono_us,
                               .weak = weak };
    if (!wp_suspect_add_crash(p, &c))
        return wp_suspect_crash_count(p);
    wp_suspects_mark_changed(s, now, p, true);
    /* A request that many callers send completes again in a moment, so the
       other boxes need not know. */
    if (wp_suspects_is_trusted(s, now, r->request))
        p->unsent = false;
    return wp_suspect_crash_count(p);
}

bool wp_suspects_is_presumed_dead(const WPSuspects *s, uint64_t incarnation)
{
    return g_hash_table_contains(s->dead, &incarnation);
}

/* Clears the crash of the incarnation from all records. */
static void clear_crash(WPSuspects *s, WPTime now, uint64_t incarnation)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_request);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        WPSuspectCrash *c = wp_suspect_find_crash(v, incarnation);
        if (!c || c->cleared)
            continue;
        c->cleared = true;
        mark_cleared(s, now, v);
    }
}

unsigned wp_suspect_uncleared(const WPSuspect *p)
{
    unsigned n = 0;
    for (unsigned i = 0; i < p->n_crashes; i++)
        n += !p->crashes[i].cleared;
    return n;
}

bool wp_suspect_has_uncleared(const WPSuspect *p)
{
    return wp_suspect_uncleared(p) > 0;
}

/* Clears all crashes of the record, which may be NULL. Returns whether some
   counted. */
static bool clear_all(WPSuspects *s, WPTime now, WPSuspect *p)
{
    if (!p || !wp_suspect_has_uncleared(p))
        return false;
    for (unsigned i = 0; i < p->n_crashes; i++)
        p->crashes[i].cleared = true;
    p->in_flight_until_us = 0;
    p->probes = 0;
    mark_cleared(s, now, p);
    return true;
}

bool wp_suspects_completed(WPSuspects *s, WPTime now, uint64_t request)
{
    *completion_of(s, request) = (WPSuspectCompletion){ request, now.mono_us };
    return clear_all(s, now, find(s, request));
}

void wp_suspects_endpoint_alive(WPSuspects *s, WPTime now, uint64_t incarnation,
                                int64_t sent_us)
{
    wp_suspects_confirm(s, now, incarnation, sent_us);
    const WPDeadIncarnation *d =
        g_hash_table_size(s->dead) ? g_hash_table_lookup(s->dead, &incarnation)
                                   : NULL;
    if (!d)
        return;
    if (!wp_suspects_shows_alive(now, d->at_us, sent_us,
                                 WP_SUSPECTS_ALIVE_WITHIN_US))
        return;
    g_hash_table_remove(s->dead, &incarnation);
    clear_crash(s, now, incarnation);
}

bool wp_suspects_release(WPSuspects *s, WPTime now, uint64_t request)
{
    return clear_all(s, now, find(s, request));
}

void wp_suspects_each(WPSuspects *s, void (*fn)(void *arg, const WPSuspect *p),
                      void *arg)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_request);
    while (g_hash_table_iter_next(&it, NULL, &v))
        fn(arg, v);
}
