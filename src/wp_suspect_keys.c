/* Everything that a request may be suspect for. */
#include "wp_suspect_keys.h"
#include "wp_suspects_int.h"

void wp_suspect_keys_init(WPSuspectKeys *k, uint64_t request,
                          const WPPrompt *prompt)
{
    unsigned n = wp_prompt_shared_ids(prompt);
    k->n = 1;
    k->keys[0] = request;
    for (unsigned i = 0; i < n; i++)
        k->keys[k->n++] = wp_suspect_part_key(prompt->ids[i]);
}

static bool has_key(const WPSuspectKeys *k, uint64_t key)
{
    for (unsigned i = 0; i < k->n; i++)
        if (k->keys[i] == key)
            return true;
    return false;
}

/* The crashes of `p` that `other` has too, as bits by their index. */
static unsigned shared_crashes(const WPSuspect *p, const WPSuspect *other)
{
    unsigned bits = 0;
    for (unsigned i = 0; i < p->n_crashes; i++)
        for (unsigned j = 0; j < other->n_crashes; j++)
            if (!p->crashes[i].cleared && !other->crashes[j].cleared &&
                p->crashes[i].incarnation == other->crashes[j].incarnation)
                bits |= 1u << i;
    return bits;
}

/* Whether most crashes of `p` are also those of `other`, which has no fewer
   besides. */
static bool is_explained_by(const WPSuspect *p, const WPSuspect *other,
                            unsigned shared)
{
    unsigned n = (unsigned)__builtin_popcount(shared);
    unsigned own = wp_suspect_uncleared(p) - n;
    unsigned others = wp_suspect_uncleared(other) - n;
    return own < n && own <= others;
}

/* Whether `other` may be what crashed endpoints in place of a part of a request
   with the keys `k`. Any crash has requests that were never sent again. */
static bool is_alternative(WPSuspects *s, WPTime now, const WPSuspectKeys *k,
                           const WPSuspect *other)
{
    unsigned least = wp_suspect_is_part(other) ? 1 : 2;
    return wp_suspect_uncleared(other) >= least &&
           !has_key(k, other->request) &&
           !wp_suspects_is_trusted(s, now, other->request);
}

/* The alternative that has the most of the crashes of `p` that are set in
   `missing`; returns those crashes. */
static unsigned best_alternative(WPSuspects *s, WPTime now,
                                 const WPSuspectKeys *k, const WPSuspect *p,
                                 unsigned missing)
{
    GHashTableIter it;
    gpointer v;
    unsigned best = 0;
    g_hash_table_iter_init(&it, s->by_request);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (!is_alternative(s, now, k, v))
            continue;
        unsigned shared = shared_crashes(p, v) & missing;
        if (__builtin_popcount(shared) > __builtin_popcount(best))
            best = shared;
    }
    return best;
}

/* Whether a quarantined suspect that is not among the keys explains most of the
   crashes of `p`. */
static bool is_explained_by_one(WPSuspects *s, WPTime now,
                                const WPSuspectKeys *k, const WPSuspect *p)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_request);
    while (g_hash_table_iter_next(&it, NULL, &v))
        if (wp_suspects_is_quarantined(s, now, v) &&
            is_alternative(s, now, k, v) &&
            is_explained_by(p, v, shared_crashes(p, v)))
            return true;
    return false;
}

/* Whether the crashes of `p` are explained by suspects that are not among the
   keys, at most half as many as crashes: any crash has several suspects. */
static bool is_explained_by_few(WPSuspects *s, WPTime now,
                                const WPSuspectKeys *k, const WPSuspect *p)
{
    unsigned missing = shared_crashes(p, p);
    for (unsigned n = (wp_suspect_uncleared(p) + 1) / 2; n && missing; n--)
        missing &= ~best_alternative(s, now, k, p, missing);
    return !missing;
}

/* Whether a quarantined part may be sent without the suspects that came along
   with it, to find out which of them crashes endpoints. */
static bool may_probe_apart(WPSuspects *s, WPTime now, const WPSuspectKeys *k,
                            const WPSuspect *p)
{
    return wp_suspect_is_part(p) && wp_suspect_has_probes_left(p) &&
           (is_explained_by_one(s, now, k, p) ||
            is_explained_by_few(s, now, k, p));
}

static unsigned count_quarantined(WPSuspects *s, WPTime now,
                                  const WPSuspectKeys *k)
{
    unsigned n = 0;
    for (unsigned i = 0; i < k->n; i++) {
        const WPSuspect *p = wp_suspects_find(s, k->keys[i]);
        n += p && wp_suspects_is_quarantined(s, now, p);
    }
    return n;
}

static WPSuspectAdmission admit_key(WPSuspects *s, WPTime now,
                                    const WPSuspectKeys *k, uint64_t key,
                                    uint64_t version, bool others_quarantined)
{
    WPSuspectAdmission a =
        wp_suspects_admit_with(s, now, key, version, others_quarantined);
    if (a != WP_SUSPECT_QUARANTINED)
        return a;
    const WPSuspect *p = wp_suspects_find(s, key);
    /* A probe of the part shows in a moment whether it is to be kept out. */
    if (wp_suspect_is_part(p) && wp_suspect_is_in_flight(s, p, now))
        return WP_SUSPECT_IN_FLIGHT;
    return may_probe_apart(s, now, k, p) ? WP_SUSPECT_ADMITTED : a;
}

WPSuspectAdmission wp_suspect_keys_admit(WPSuspects *s, WPTime now,
                                         const WPSuspectKeys *k,
                                         uint64_t version, uint64_t *why)
{
    WPSuspectAdmission worst = WP_SUSPECT_ADMITTED;
    if (!wp_suspects_any(s))
        return worst;
    bool several = count_quarantined(s, now, k) > 1;
    for (unsigned i = 0; i < k->n; i++) {
        WPSuspectAdmission a =
            admit_key(s, now, k, k->keys[i], version, several);
        if (a <= worst)
            continue;
        worst = a;
        *why = k->keys[i];
    }
    return worst;
}

bool wp_suspect_keys_any_quarantined(WPSuspects *s, WPTime now,
                                     const WPSuspectKeys *k)
{
    return wp_suspects_any(s) && count_quarantined(s, now, k) > 0;
}

bool wp_suspect_keys_may_retry(WPSuspects *s, WPTime now,
                               const WPSuspectKeys *k)
{
    if (!wp_suspects_any(s))
        return true;
    for (unsigned i = 0; i < k->n; i++)
        if (!wp_suspects_may_retry(s, now, k->keys[i]))
            return false;
    return true;
}

void wp_suspect_keys_attempt_started(WPSuspects *s, WPTime now,
                                     const WPSuspectKeys *k)
{
    for (unsigned i = 0; i < k->n; i++)
        wp_suspects_attempt_started(s, now, k->keys[i]);
}

void wp_suspect_keys_attempt_ended(WPSuspects *s, const WPSuspectKeys *k)
{
    for (unsigned i = 0; i < k->n; i++)
        wp_suspects_attempt_ended(s, k->keys[i]);
}

bool wp_suspect_keys_completed(WPSuspects *s, WPTime now,
                               const WPSuspectKeys *k)
{
    bool cleared = false;
    for (unsigned i = 0; i < k->n; i++)
        cleared |= wp_suspects_completed(s, now, k->keys[i]);
    return cleared;
}

bool wp_suspect_keys_ran_long(WPSuspects *s, WPTime now, const WPSuspectKeys *k)
{
    bool cleared = false;
    for (unsigned i = 1; i < k->n; i++)
        cleared |= wp_suspects_completed(s, now, k->keys[i]);
    return cleared;
}

unsigned wp_suspect_keys_record_crash(WPSuspects *s, WPTime now,
                                      const WPSuspectKeys *k,
                                      const WPSuspectAttempt *attempt)
{
    return wp_suspects_record_crash_of_all(s, now, attempt, k->keys, k->n);
}

unsigned wp_suspect_keys_crash_count(WPSuspects *s, WPTime now,
                                     const WPSuspectKeys *k)
{
    unsigned most =
        wp_suspects_any(s) ? wp_suspects_crash_count(s, k->keys[0]) : 0;
    for (unsigned i = 1; i < k->n && wp_suspects_any(s); i++)
        if (!wp_suspects_is_trusted(s, now, k->keys[i]))
            most = MAX(most, wp_suspects_crash_count(s, k->keys[i]));
    return most;
}
