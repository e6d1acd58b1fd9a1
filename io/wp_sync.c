/* Keeps the local copy in sync with the store: one range call reads all
 * entries, then a watch follows the changes; after an interruption
 * everything is read again and compared. Changes that the store does not
 * deliver to this box come from other boxes. */
#include "wp_sync_int.h"
#include "wp_lag.h"
#include "wp_notice_updates.h"
#include "wp_reports.h"
#include "wp_zone_updates.h"

#include <stdio.h>

enum {
    /* a box that watches the store usually gets a change before another box
       could send it */
    WATCH_PULL_MS = 120,
    /* after the store was unavailable, entries whose lease expired meanwhile
       may still come back: the platform says two seconds */
    LAPSED_GRACE_MS = 3000,
    /* from the first answer of a store that was unavailable until all pages
       of it are read */
    FIRST_ANSWER_MS = 300,
    /* between calls of a box that has no entries yet and whose callers wait:
       they are served sooner than with exponential back-off */
    START_RETRY_MS = 300,
    /* with more, each box reads the store for itself: to send sixty boxes
       0.1 MB each takes 2.4 s on a link of 20 Mbit/s */
    FULL_COPY_ENTRIES_MAX = 4000,
    SLOW_READ_MS = 2500, /* reading 3,000 entries takes 1 s */
    /* after the start, until the own record is written */
    OWN_RECORD_DELAY_MS = 1000,
    /* between confirmations of the store that arrive by way of other boxes:
       digests come once a second */
    ISOLATED_AFTER_MS = 1000,
    /* until a box that does not read the store for its zone does so, as it is
       known to have been restored */
    OUTDATED_WAIT_MS = 500,
    /* after a watch broke: the store's watches may deliver nothing for a
       second around an interruption */
    REWATCH_DELAY_MS = 1300
};

static void read_all(WPSync *s);
static void on_event(void *arg, WPKvWatchEvent what, const WPKvItem *item);

/* The time for answers of the store, whose callbacks get none: never before
   that of the last tick. */
static WPTime time_of(const WPSync *s)
{
    WPTime now = wp_clock_now(0);
    now.mono_us = MAX(now.mono_us, s->tick_us);
    return now;
}

/* Notes whether the store has answered. A change is logged and sent to the
   other boxes. */
static void set_store_up(WPSync *s, bool up)
{
    int64_t now_us = time_of(s).mono_us;
    if (up)
        wp_staleness_confirm(&s->staleness, now_us);
    else if (!wp_peers_any_with_store(s->peers))
        s->store_unavailable_us = now_us;
    if (s->store_up == up && s->store_tried)
        return;
    s->store_changed_us = now_us;
    s->store_up = up;
    s->store_tried = true;
    s->host->direct.startup.store_unavailable = !up;
    wp_peers_schedule_digest(s->peers);
    wp_log(&s->host->log, up ? WP_INFO : WP_WARN,
           up ? "store_regained" : "store_lost", NULL);
}

/* Applies an item that the store has sent. Logs that it is older than the one
   that is known. */
static void apply_item(WPSync *s, const WPKvItem *item, bool lapsed)
{
    uint64_t known = wp_mirror_key_revision(s->mirror, item->key.p);
    if (item->mod_revision < known) {
        char revision[24], had[24];
        snprintf(revision, sizeof(revision), "%lu",
                 (unsigned long)item->mod_revision);
        snprintf(had, sizeof(had), "%lu", (unsigned long)known);
        wp_log(&s->host->log, WP_INFO, "entry_older", "key", item->key.p,
               "revision", revision, "known", had, NULL);
    }
    wp_store_apply(s, item->key.p, item->removed ? NULL : &item->value,
                   item->mod_revision, lapsed);
}

bool wp_sync_was_store_lost(const WPSync *s)
{
    int64_t lost_us = time_of(s).mono_us - s->store_unavailable_us;
    return s->store_unavailable_us &&
           lost_us < (int64_t)LAPSED_GRACE_MS * WP_US_PER_MS;
}

/* Returns whether an entry that the store now lacks may have been removed
   only because its lease expired while the store was unavailable: it is
   missing in the store's first answer after a time in which it answered none
   of the boxes. An entry that is removed later, or while the store answered
   other boxes but not this one, is really gone. */
static bool may_have_lapsed(const WPSync *s)
{
    int64_t now_us = time_of(s).mono_us;
    bool first =
        now_us - s->store_changed_us < (int64_t)FIRST_ANSWER_MS * WP_US_PER_MS;
    return first && wp_sync_was_store_lost(s);
}

/* Returns whether this box contacts the store on behalf of its zone, or for
   itself as it has no complete copy. */
static bool must_poll(const WPSync *s)
{
    return !s->complete || wp_peers_is_designated_watcher(
                               s->peers, s->store_tried && !s->store_up);
}

/* The store did not answer: retries after a back-off that grows. */
static void note_failure(WPSync *s)
{
    WPTime now = time_of(s);
    wp_count(&s->host->direct.counters, WP_C_STORE_ERRORS);
    set_store_up(s, false);
    uint32_t pause_ms =
        s->complete ? wp_staleness_backoff_ms(&s->staleness, s->failures++)
                    : START_RETRY_MS;
    if (must_poll(s))
        s->retry_us = now.mono_us + (int64_t)pause_ms * WP_US_PER_MS;
}

static void watch_from(WPSync *s, uint64_t revision, bool confirm)
{
    s->watching = true;
    s->confirming = confirm;
    s->kv->ops->watch(s->kv, "", revision, confirm, on_event, s);
}

/* After REWATCH_DELAY_MS, when the store's watches are reliable again, asks
   once more for the changes from this revision on. */
static void schedule_rewatch(WPSync *s, uint64_t revision)
{
    s->rewatch_revision = revision;
    s->rewatch_us =
        time_of(s).mono_us + (int64_t)REWATCH_DELAY_MS * WP_US_PER_MS;
}

/* Reads everything again, and later asks once more for what has changed
   since (see schedule_rewatch()). A watch that is opened around an
   interruption may stay without an answer for a second, a range call does
   not: waiting for the watch would start an ordered shift that much later. */
static void read_after_break(WPSync *s)
{
    s->watching = s->catching_up = false;
    s->watch_broken = true;
    read_all(s);
}

static void on_broken(WPSync *s)
{
    if (!s->confirming) {
        read_after_break(s);
        return;
    }
    s->watching = s->catching_up = false;
    note_failure(s);
}

/* Records that the local copy now has all changes of the store. */
static void note_synced(WPSync *s)
{
    uint64_t has = wp_mirror_complete_revision(s->mirror);
    wp_staleness_note_synced(&s->staleness, has, has, time_of(s).mono_us);
}

static void on_answer(WPSync *s)
{
    s->confirming = s->catching_up = false;
    s->failures = 0;
    set_store_up(s, true);
    wp_peers_schedule_digest(s->peers);
}

/* Applies an event of the watch on the store, or repeats the watch or the read
   after it is lost. */
static void on_event(void *arg, WPKvWatchEvent what, const WPKvItem *item)
{
    WPSync *s = arg;
    switch (what) {
    case WP_KV_CHANGED:
        on_answer(s);
        apply_item(s, item, item->removed && may_have_lapsed(s));
        wp_sync_advance(s, item->mod_revision);
        note_synced(s);
        break;
    case WP_KV_SKIPPED:
        on_answer(s);
        wp_sync_advance(s, item->mod_revision);
        note_synced(s);
        break;
    case WP_KV_UNCHANGED:
        on_answer(s);
        note_synced(s);
        break;
    case WP_KV_WATCH_LOST:
        on_broken(s);
        break;
    case WP_KV_COMPACTED:
        read_after_break(s);
        break;
    }
}

void wp_sync_remove_missing(WPSync *s, GHashTable *keys, uint64_t revision,
                            bool lapsed)
{
    g_autoptr(GPtrArray) lacking = wp_mirror_not_in(s->mirror, keys, revision);
    for (guint i = 0; i < lacking->len; i++) {
        const WPMirrorItem *item = g_ptr_array_index(lacking, i);
        g_autofree char *key = g_strdup(item->key);
        wp_store_apply(s, key, NULL, MAX(revision, item->revision + 1), lapsed);
    }
}

/* Removes entries that the range call did not return. Right after the store
   was unavailable, their leases may only have expired meanwhile. */
static void remove_missing(WPSync *s, const WPKvResult *r)
{
    g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < r->n_items; i++)
        g_hash_table_add(keys, (gpointer)r->items[i].key.p);
    wp_sync_remove_missing(s, keys, r->revision, may_have_lapsed(s));
}

/* Asks the store for the changes since the revision of the local copy.
   Everything is read again only if the store no longer has them. */
static void catch_up(WPSync *s, WPTime now)
{
    if (!s->complete) {
        read_all(s);
        return;
    }
    s->catching_up = true;
    wp_staleness_note_poll(&s->staleness, now);
    watch_from(s, wp_mirror_complete_revision(s->mirror) + 1, true);
}

void wp_sync_admit(WPSync *s)
{
    if (!s->complete && !wp_mirror_has_prefix(s->mirror, WP_KEY_BOX))
        wp_direct_note_first_start(&s->host->direct);
    s->complete = true;
    wp_relay_admit_held(s->host);
    wp_peers_schedule_digest(s->peers);
}

/* All entries were read, or the read has failed. Applies them, removes those
   that are gone, admits held requests and goes on with the watch. */
static void on_range(void *arg, const WPKvResult *r)
{
    WPSync *s = arg;
    s->reading = false;
    wp_count(&s->host->direct.counters, WP_C_STORE_READS);
    s->failures = r->ok ? 0 : s->failures;
    if (!r->ok) {
        note_failure(s);
        return;
    }
    set_store_up(s, true);
    for (size_t i = 0; i < r->n_items; i++)
        apply_item(s, &r->items[i], false);
    wp_mirror_note_copy(s->mirror, r->revision);
    wp_sync_advance(s, r->revision);
    remove_missing(s, r);
    note_synced(s);
    wp_sync_admit(s);
    if (s->watch_broken)
        schedule_rewatch(s, r->revision + 1);
    s->watch_broken = false;
    if (must_poll(s))
        watch_from(s, r->revision + 1, false);
}

static void read_all(WPSync *s)
{
    if (s->reading)
        return;
    s->reading = true;
    s->read_started_us = time_of(s).mono_us;
    s->retry_us = 0;
    wp_staleness_note_poll(&s->staleness, time_of(s));
    s->kv->ops->range(s->kv, "", NULL, on_range, s);
}

static int64_t start_wait_ms(const WPSync *s)
{
    return wp_staleness_start_wait_ms(&s->staleness,
                                      s->host->settings->first_start,
                                      wp_peers_may_send_full_copy(s->peers));
}

/* Returns whether this box has just started and gives others time to send it
   a full copy. At the first start of the system only the seeds, which all
   boxes dial first, read the store during that time. */
static bool waits_for_full_copy(const WPSync *s, WPTime now)
{
    bool has_copy = s->complete && !s->host->settings->first_start;
    return !s->reads_first && !has_copy &&
           now.mono_us < s->start_us + start_wait_ms(s) * WP_US_PER_MS;
}

/* Whether the store is known to be in a later era than the local copy, and this
   box is one of those that read it, or no other box has sent its copy. */
static bool is_read_due(const WPSync *s, WPTime now)
{
    int64_t outdated_us = now.mono_us - s->outdated_us;
    return s->outdated_us && !s->reading && !s->retry_us &&
           (must_poll(s) ||
            outdated_us > (int64_t)OUTDATED_WAIT_MS * WP_US_PER_MS);
}

/* A designated box watches the store; the store's client ends a watch that
   has fallen silent. Other boxes poll the store when no box has had an
   answer from it for too long. */
static void keep_fresh(WPSync *s, WPTime now)
{
    bool must = must_poll(s);
    bool stale =
        wp_staleness_poll_due(&s->staleness, now, wp_peers_rank(s->peers));
    if (s->watching && !must && !s->catching_up) {
        s->kv->ops->unwatch(s->kv);
        s->watching = false;
    }
    if (is_read_due(s, now)) {
        s->kv->ops->unwatch(s->kv);
        read_after_break(s);
    }
    if (s->reading || s->retry_us || s->watching || waits_for_full_copy(s, now))
        return;
    bool behind = wp_staleness_catch_up_due(&s->staleness, now,
                                            wp_peers_lag_ms(s->peers, now));
    if (must && s->complete)
        watch_from(s, wp_mirror_complete_revision(s->mirror) + 1, true);
    else if (must || behind || stale)
        catch_up(s, now);
}

/* Returns how long a revision may be missing before it is pulled from
   another box. */
static uint32_t pull_wait_ms(const WPSync *s)
{
    if (!s->complete && s->reading)
        return wp_lag_initial_pull_wait_ms(wp_peers_max_entries(s->peers));
    return s->watching ? WATCH_PULL_MS : 0;
}

static void note_running(void *arg, WPShift *sh)
{
    bool *moving = arg;
    *moving = *moving || sh->state == WP_SHIFT_RUNNING;
}

int64_t wp_sync_registry_age_ms(const WPSync *s, WPTime now)
{
    return wp_staleness_ms(&s->staleness, now);
}

/* Returns whether this box may be the last to learn of a change: the store
   does not answer it and its copy is getting stale, as when the other boxes
   of its zone are cut off too or have fallen silent unnoticed. */
static bool is_cut_off(const WPSync *s, WPTime now)
{
    return s->store_tried && !s->store_up &&
           wp_sync_registry_age_ms(s, now) > ISOLATED_AFTER_MS;
}

/* Returns whether the store does not answer this box, or only slowly. */
static bool store_is_slow_or_down(const WPSync *s, WPTime now)
{
    int64_t slow_us = (int64_t)SLOW_READ_MS * WP_US_PER_MS;
    bool slow = s->reading && now.mono_us - s->read_started_us > slow_us;
    return slow || (s->store_tried && !s->store_up);
}

static void add_box(void *arg, const char *id, const char *addr,
                    const char *zone)
{
    const WPPaceBox b = { wp_hash(wp_str(id), 0), zone };
    (void)addr;
    g_array_append_val((GArray *)arg, b);
}

/* Informs the fleet which boxes send requests to the same endpoints. */
static void update_fleet_boxes(WPSync *s)
{
    const Wp__DirectSettings *set = s->host->settings;
    const WPPaceBox self = { wp_hash(wp_str(set->id), 0), set->zone };
    if (s->boxes_generation == wp_peers_generation(s->peers) + 1)
        return;
    s->boxes_generation = wp_peers_generation(s->peers) + 1;
    g_autoptr(GArray) others = g_array_new(FALSE, FALSE, sizeof(WPPaceBox));
    wp_peers_each_member(s->peers, add_box, others);
    wp_fleet_set_boxes(s->host->direct.fleet, &self,
                       (const WPPaceBox *)(void *)others->data, others->len,
                       wp_peers_known_count(s->peers));
}

void wp_sync_tick(WPSync *s, WPTime now)
{
    s->tick_us = now.mono_us;
    keep_fresh(s, now);
    if (s->retry_us && now.mono_us >= s->retry_us) {
        s->retry_us = 0;
        catch_up(s, now);
    }
    if (s->rewatch_us && now.mono_us >= s->rewatch_us) {
        s->rewatch_us = 0;
        if (s->watching)
            watch_from(s, s->rewatch_revision, true);
    }
    wp_record_tick(s, now);
    wp_sync_restore_tick(s, now);
    wp_shift_records_tick(s, now);
    wp_suspect_updates_tick(s, now);
    wp_zone_updates_tick(s->zone_updates, now);
    wp_notice_updates_tick(s->notice_updates, now);
    if (s->reports)
        wp_reports_tick(s->reports, now);
    bool moving = false;
    wp_shifts_each(s->host->direct.shifts, note_running, &moving);
    wp_peers_set_fast_digests(s->peers, moving);
    wp_peers_set_pull_delay(s->peers, pull_wait_ms(s));
    wp_peers_set_remote_full_pull(s->peers, store_is_slow_or_down(s, now) ||
                                                (!s->complete && !s->reading));
    wp_peers_set_remote_links(s->peers, is_cut_off(s, now));
    if (!s->complete && wp_peers_max_entries(s->peers) > FULL_COPY_ENTRIES_MAX)
        s->reads_first = true;
    wp_peers_tick(s->peers, now);
    s->host->direct.boxes = wp_peers_known_count(s->peers);
    update_fleet_boxes(s);
}

void wp_sync_schedule_zone_updates(WPSync *s)
{
    wp_zone_updates_schedule(s->zone_updates);
}

void wp_sync_schedule_suspects(WPSync *s)
{
    if (s->suspect_updates)
        wp_suspect_updates_schedule(s->suspect_updates);
}

void wp_sync_schedule_notices(WPSync *s)
{
    if (s->notice_updates)
        wp_notice_updates_schedule(s->notice_updates);
}

void wp_sync_schedule_digest(WPSync *s)
{
    wp_peers_schedule_digest(s->peers);
}

const WPPeerTraffic *wp_sync_traffic(const WPSync *s)
{
    return wp_peers_traffic(s->peers);
}

bool wp_sync_holds_report_lease(const WPSync *s)
{
    return s->reports && wp_reports_is_holder(s->reports);
}

bool wp_sync_ready(const WPSync *s)
{
    return s->complete && s->host->direct.routes != NULL;
}

bool wp_sync_store_up(const WPSync *s)
{
    return s->store_up;
}

/* Seeds, which all other boxes dial first, read the store at once when they
   start. */
static bool reads_first(const Wp__DirectSettings *set)
{
    for (size_t i = 0; i < set->n_seeds; i++)
        if (!strcmp(set->seeds[i], set->peers))
            return true;
    return !set->n_seeds;
}

WPSync *wp_sync_new(WPDirectHost *h, GError **error)
{
    WPSync *s = g_new0(WPSync, 1);
    s->host = h;
    s->staleness.apply_ms = (uint32_t)h->settings->apply_ms;
    s->shift_records = wp_shift_records_new();
    s->incarnation = (uint64_t)wp_clock_seed() << 32 | wp_clock_seed();
    s->staleness.jitter = g_rand_double(h->direct.rand);
    s->mirror = wp_mirror_new();
    s->written = g_ptr_array_new_with_free_func(wp_sync_write_free);
    s->write_due =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->peers = wp_peers_new(h->base, h->settings, s->mirror, &wp_sync_peers_ops,
                            s, error);
    s->kv = s->peers ? h->platform->store(h->base, h->settings->store) : NULL;
    if (s->kv) {
        s->kv->era_changed = wp_sync_on_era;
        s->kv->era_arg = s;
        s->kv->bad_item = wp_sync_on_bad_item;
        s->kv->bad_item_arg = s;
        s->zone_updates = wp_zone_updates_new(h, s->peers);
        s->suspect_updates = wp_suspect_updates_new(s);
        s->notice_updates = wp_notice_updates_new(h, s->peers);
        s->reports = wp_reports_new(s);
        s->start_us = time_of(s).mono_us;
        s->reads_first = reads_first(h->settings);
        s->self_write_us =
            s->start_us +
            (start_wait_ms(s) + OWN_RECORD_DELAY_MS) * WP_US_PER_MS;
        s->box_check_us =
            time_of(s).mono_us + OWN_RECORD_DELAY_MS * WP_US_PER_MS / 2;
        if (s->reads_first)
            read_all(s);
        return s;
    }
    if (s->peers)
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                    "store: expected HOST:PORT");
    wp_sync_free(s);
    return NULL;
}

void wp_sync_free(WPSync *s)
{
    if (!s)
        return;
    if (s->kv)
        s->kv->ops->free(s->kv);
    wp_zone_updates_free(s->zone_updates);
    g_clear_pointer(&s->reports, wp_reports_free);
    g_clear_pointer(&s->suspect_updates, wp_suspect_updates_free);
    g_clear_pointer(&s->notice_updates, wp_notice_updates_free);
    wp_peers_free(s->peers);
    wp_mirror_free(s->mirror);
    g_hash_table_unref(s->write_due);
    g_ptr_array_unref(s->written);
    wp_shift_records_free(s->shift_records);
    g_free(s);
}
