/* Digests between boxes: besides the revision of the store that a box has, a
 * digest carries answer counts of traffic shifts, versions that fail under
 * load, sessions, cached prefixes and clocks. */
#include "wp_reports.h"
#include "wp_sync_int.h"

#define PERMILLE 1000.0

/* Merges the answer counts, elapsed time, gate and finding on the new version
   that another box has sent of a shift. Ignored if this box knows no shift of
   the same order. */
static void merge_sums(WPSync *s, WPTime now, const char *from,
                       const Wp__MoveSums *m)
{
    WPShift *sh = wp_shifts_find(s->host->direct.shifts, m->service);
    if (!sh || wp_shift_order_id(sh) != m->order ||
        !wp_shift_sums_merge(s, sh, from, from, m, NULL))
        return;
    if (m->has_elapsed_ms)
        wp_shift_merge_elapsed(sh, now, (int64_t)m->elapsed_ms);
    wp_shift_merge_doubt(sh, now, from, m->has_doubt && m->doubt);
    if (m->open)
        wp_shift_merge_gate_passed(sh);
    if (m->has_share_permille)
        wp_shift_merge_canary_share(sh, m->share_permille / PERMILLE);
    if (m->bad && !sh->found_bad) {
        wp_shift_merge_bad(sh);
        wp_log(&s->host->log, WP_WARN, "version_bad", "service", sh->service,
               "version", sh->version, "why", "reported by another box", "from",
               from, NULL);
    }
}

/* Merges answer counts of a third box that the sender has relayed. */
static void merge_relayed(WPSync *s, const char *from, const Wp__MoveSums *m)
{
    WPShift *sh = wp_shifts_find(s->host->direct.shifts, m->service);
    bool own = m->box && !strcmp(m->box, s->host->settings->id);
    if (sh && m->box && !own && wp_shift_order_id(sh) == m->order)
        wp_shift_sums_merge(s, sh, m->box, from, m, NULL);
}

/* `what` is "SERVICE VERSION"; neither contains spaces. */
static void merge_failing_under_load(WPSync *s, WPTime now, const char *what)
{
    g_auto(GStrv) part = g_strsplit(what, " ", 2);
    if (part[0] && part[1])
        wp_fleet_merge_fails_under_load(s->host->direct.fleet, now, part[0],
                                        part[1]);
}

/* The three arrays run in parallel. If a peer sends different lengths, the
   items beyond the shortest are ignored. */
static void merge_cached_prefixes(WPSync *s, WPTime now,
                                  const Wp__MirrorDigest *d)
{
    size_t n = MIN(d->n_kept_at, MIN(d->n_kept_prefix, d->n_kept_tokens));
    for (size_t i = 0; i < n; i++) {
        const WPCachedPrefixUpdate update = { d->kept_at[i], d->kept_prefix[i],
                                              d->kept_tokens[i] };
        wp_fleet_merge_cached_prefix(s->host->direct.fleet, now, &update);
    }
}

void wp_sync_merge_digest(void *arg, const char *from,
                          const Wp__MirrorDigest *d)
{
    WPSync *s = arg;
    WPTime now = wp_clock_now(0);
    for (size_t i = 0; i < d->n_moves; i++)
        merge_sums(s, now, from, d->moves[i]);
    for (size_t i = 0; i < d->n_relayed_moves; i++)
        merge_relayed(s, from, d->relayed_moves[i]);
    for (size_t i = 0; i < d->n_fails_loaded; i++)
        merge_failing_under_load(s, now, d->fails_loaded[i]);
    merge_cached_prefixes(s, now, d);
    if (s->reports)
        wp_reports_observe_clock(s->reports, now, from, d);
    int64_t confirmed_us = wp_staleness_peer_confirmed_us(now, d->age_ms);
    if (d->has_age_ms) {
        wp_staleness_confirm(&s->staleness, confirmed_us);
        wp_staleness_note_synced(&s->staleness, d->complete,
                                 wp_mirror_complete_revision(s->mirror),
                                 confirmed_us);
    }
    for (size_t i = 0; i < d->n_bound; i++)
        wp_direct_merge_session(&s->host->direct, now, WP_SESSION_UPDATE_BOUND,
                                d->bound[i]);
    for (size_t i = 0; i < d->n_moved; i++)
        wp_direct_merge_session(&s->host->direct, now, WP_SESSION_UPDATE_MOVED,
                                d->moved[i]);
    for (size_t i = 0; i < d->n_left; i++)
        wp_direct_merge_session(&s->host->direct, now,
                                WP_SESSION_UPDATE_RETIRED, d->left[i]);
}

typedef struct Fill {
    WPSync *sync;
    WPTime now;
    Wp__MirrorDigest *digest;
} Fill;

/* Adds this box's own counts of a running shift to a digest, for up to
   WP_DIGEST_SHIFTS_MAX shifts. */
static void fill_sums(void *arg, WPShift *sh)
{
    Fill *f = arg;
    Wp__MirrorDigest *d = f->digest;
    if (sh->state != WP_SHIFT_RUNNING || d->n_moves == WP_DIGEST_SHIFTS_MAX)
        return;
    WPCanarySums own = wp_canary_own_sums(&sh->canary);
    WPShiftSums *sums = &f->sync->sums[d->n_moves];
    Wp__MoveSums *m = &sums->message;
    f->sync->sums_list[d->n_moves++] = m;
    wp_shift_sums_encode(sh, f->sync->incarnation, &own, sums);
    m->has_elapsed_ms = wp_elapsed_started(&sh->elapsed);
    m->elapsed_ms = (uint64_t)wp_elapsed_ms(&sh->elapsed, f->now);
    m->has_open = 1;
    m->open = sh->gate_passed;
    m->has_share_permille = sh->canary_share > 0;
    m->share_permille = (uint32_t)(sh->canary_share * PERMILLE);
    m->has_doubt = 1;
    m->doubt = wp_canary_in_doubt(&sh->canary);
    m->has_bad = 1;
    m->bad = sh->found_bad;
}

/* Adds to a digest what this box has heard of the counts of other boxes. Boxes
   have links to some boxes of other zones only, and all are to judge by the
   same counts. */
static void fill_relayed(void *arg, WPShift *sh)
{
    Fill *f = arg;
    WPSync *s = f->sync;
    Wp__MirrorDigest *d = f->digest;
    const WPCanaryReport *reports[WP_DIGEST_RELAYED_MAX];
    if (sh->state != WP_SHIFT_RUNNING)
        return;
    size_t n = wp_canary_take_unsent(
        &sh->canary, reports, WP_DIGEST_RELAYED_MAX - d->n_relayed_moves);
    for (size_t i = 0; i < n; i++) {
        WPShiftSums *sums = &s->relayed[d->n_relayed_moves];
        wp_shift_sums_encode(sh, reports[i]->incarnation, &reports[i]->sums,
                             sums);
        sums->message.box = reports[i]->box;
        s->relayed_list[d->n_relayed_moves++] = &sums->message;
    }
}

static void fill_failing_under_load(void *arg, const char *what)
{
    Fill *f = arg;
    if (f->digest->n_fails_loaded < WP_DIGEST_FAILING_MAX)
        f->sync->fails_under_load[f->digest->n_fails_loaded++] = (char *)what;
}

static void fill_cached_prefixes(WPSync *s, Wp__MirrorDigest *d)
{
    WPCachedPrefixUpdate updates[WP_DIGEST_PREFIXES_MAX];
    size_t n = wp_fleet_take_unsent_prefixes(s->host->direct.fleet, updates,
                                             WP_DIGEST_PREFIXES_MAX);
    for (size_t i = 0; i < n; i++) {
        s->prefix_replicas[i] = updates[i].replica;
        s->prefix_keys[i] = updates[i].key;
        s->prefix_tokens[i] = updates[i].tokens;
    }
    d->n_kept_at = d->n_kept_prefix = d->n_kept_tokens = n;
    d->kept_at = s->prefix_replicas;
    d->kept_prefix = s->prefix_keys;
    d->kept_tokens = s->prefix_tokens;
}

static size_t fill_sessions(WPSync *s, WPTime now, WPSessionUpdate what,
                            uint64_t *out)
{
    return wp_direct_take_unsent_sessions(&s->host->direct, now, what, out,
                                          WP_DIGEST_SESSIONS_MAX);
}

void wp_sync_fill_digest(void *arg, Wp__MirrorDigest *d)
{
    WPSync *s = arg;
    WPTime now = wp_clock_now(0);
    int64_t now_us = now.mono_us;
    d->has_blind = 1;
    d->blind = s->store_tried && !s->store_up;
    d->has_age_ms = s->staleness.confirmed_us > 0;
    d->age_ms = (uint32_t)((now_us - s->staleness.confirmed_us) / WP_US_PER_MS);
    if (s->reports)
        wp_reports_fill_digest(s->reports, now, d);
    Fill f = { s, now, d };
    d->moves = s->sums_list;
    wp_shifts_each(s->host->direct.shifts, fill_sums, &f);
    d->relayed_moves = s->relayed_list;
    if (wp_peers_linked_count(s->peers) + 1 < s->host->direct.boxes)
        wp_shifts_each(s->host->direct.shifts, fill_relayed, &f);
    d->fails_loaded = s->fails_under_load;
    wp_fleet_each_failing_under_load(s->host->direct.fleet, now,
                                     fill_failing_under_load, &f);
    d->bound = s->bound;
    d->n_bound = fill_sessions(s, now, WP_SESSION_UPDATE_BOUND, s->bound);
    fill_cached_prefixes(s, d);
    d->moved = s->moved;
    d->n_moved = fill_sessions(s, now, WP_SESSION_UPDATE_MOVED, s->moved);
    d->left = s->retired;
    d->n_left = fill_sessions(s, now, WP_SESSION_UPDATE_RETIRED, s->retired);
}
