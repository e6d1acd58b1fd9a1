/* Keeps in step with the store: one range reads everything, then one watch
 * follows; after a break all is read again and compared. What the store does
 * not tell this box, other boxes do. */
#include "wp_sync_int.h"
#include "wp_lag.h"
#include "wp_notice_news.h"
#include "wp_reports.h"
#include "wp_zone.h"

enum {
    WATCH_PULL_MS = 120,   /* a box that watches the store mostly hears of a
                              change before it could be told */
    DOUBT_MS = 3000,       /* after the store was away, entries that lapsed
                              meanwhile may still come back: the platform says
                              two seconds */
    FIRST_ANSWER_MS = 300, /* from a lost store's first word until all pages of
                              it are read */
    START_RETRY_MS = 300,  /* between calls of a box that knows nothing yet and
                              whose callers wait: they are served sooner than
                              with pauses that grow */
    TOLD_ENTRIES_MOST = 4000, /* of more, each box reads the store for itself:
                                 to tell sixty boxes 0.1 MB each takes a link of
                                 20 Mbit/s 2.4 s */
    SLOW_READ_MS = 2500,      /* a reading of 3,000 entries takes 1 s */
    SELF_MS = 1000,  /* after the start, until the own record is written */
    ALONE_MS = 1000, /* between words of the store by way of other boxes:
                        digests come once a second */
    AGAIN_MS = 1300  /* after a watch broke: the store's watches may stay deaf
                        for a second around a break */
};

static void read_all(WPSync *s);
static void on_event(void *arg, WPKvWatched what, const WPKvItem *item);

/* The time for the store's answers, which do not bring it along: never before
   the last tick's. */
static WPTime time_of(const WPSync *s)
{
    WPTime now = wp_clock_now(0);
    now.mono_us = MAX(now.mono_us, s->tick_us);
    return now;
}

static void set_up(WPSync *s, bool up)
{
    int64_t now_us = time_of(s).mono_us;
    if (up)
        wp_staleness_confirm(&s->fresh, now_us);
    else if (!wp_peers_any_sighted(s->peers))
        s->away_us = now_us;
    if (s->up == up && s->tried)
        return;
    s->turned_us = now_us;
    s->up = up;
    s->tried = true;
    s->host->direct.start.store_unavailable = !up;
    wp_peers_announce(s->peers);
    wp_log(&s->host->log, up ? WP_INFO : WP_WARN,
           up ? "store_regained" : "store_lost", NULL);
}

/* Whether what the store now lacks may only have lapsed while it was away: by
   its first answer after it answered none of the boxes. What is removed later,
   or was while it only turned this box away, is gone. */
static bool may_have_lapsed(const WPSync *s)
{
    int64_t now_us = time_of(s).mono_us;
    bool lately = now_us - s->away_us < (int64_t)DOUBT_MS * WP_US_PER_MS;
    bool first =
        now_us - s->turned_us < (int64_t)FIRST_ANSWER_MS * WP_US_PER_MS;
    return s->away_us && lately && first;
}

/* Whether this box asks the store for the others, or for itself as nobody has
   told it anything. */
static bool must_ask(const WPSync *s)
{
    return !s->complete || wp_peers_on_duty(s->peers, s->tried && !s->up);
}

/* The store did not answer: asks again after a pause that grows. */
static void note_failure(WPSync *s)
{
    WPTime now = time_of(s);
    wp_count(&s->host->direct.counters, WP_C_STORE_ERRORS);
    set_up(s, false);
    uint32_t pause_ms = s->complete
                            ? wp_staleness_backoff_ms(&s->fresh, s->failures++)
                            : START_RETRY_MS;
    if (must_ask(s))
        s->retry_us = now.mono_us + (int64_t)pause_ms * WP_US_PER_MS;
}

static void watch_from(WPSync *s, uint64_t revision, bool look)
{
    s->watching = true;
    s->looking = look;
    s->kv->ops->watch(s->kv, "", revision, look, on_event, s);
}

/* Changes after this revision are asked for once more when the store is sure to
   tell all. */
static void ask_again_from(WPSync *s, uint64_t revision)
{
    s->again_from = revision;
    s->again_us = time_of(s).mono_us + (int64_t)AGAIN_MS * WP_US_PER_MS;
}

/* All is read again, and what has changed since is asked for once more when the
   store's watches are sure to tell all. A watch that is opened around a break
   may stay without an answer for a second, a reading does not: an order would
   be begun that much later. */
static void read_after_break(WPSync *s)
{
    s->watching = s->catching_up = false;
    s->broken = true;
    read_all(s);
}

static void on_broken(WPSync *s)
{
    if (!s->looking) {
        read_after_break(s);
        return;
    }
    s->watching = s->catching_up = false;
    note_failure(s);
}

/* All that the store holds at present has been taken in. */
static void note_known(WPSync *s)
{
    uint64_t has = wp_mirror_complete_revision(s->mirror);
    wp_staleness_note_synced(&s->fresh, has, has, time_of(s).mono_us);
}

static void on_answer(WPSync *s)
{
    s->looking = s->catching_up = false;
    s->failures = 0;
    set_up(s, true);
    wp_peers_announce(s->peers);
}

static void on_event(void *arg, WPKvWatched what, const WPKvItem *item)
{
    WPSync *s = arg;
    switch (what) {
    case WP_KV_CHANGED:
        on_answer(s);
        wp_news_take(s, item->key.p, item->removed ? NULL : &item->value,
                     item->mod_revision, item->removed && may_have_lapsed(s));
        wp_mirror_advance(s->mirror, item->mod_revision);
        note_known(s);
        break;
    case WP_KV_QUIET:
        on_answer(s);
        note_known(s);
        break;
    case WP_KV_BROKEN:
        on_broken(s);
        break;
    case WP_KV_FORGOTTEN:
        read_after_break(s);
        break;
    }
}

/* What the reading lacks is gone; right after the store was away it may only
   have lapsed. */
static void lose_missing(WPSync *s, const WPKvResult *r)
{
    bool lapsed = may_have_lapsed(s);
    g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < r->n_items; i++)
        g_hash_table_add(keys, (gpointer)r->items[i].key.p);
    g_autoptr(GPtrArray) lacking =
        wp_mirror_not_in(s->mirror, keys, r->revision);
    for (guint i = 0; i < lacking->len; i++) {
        const WPMirrorItem *item = g_ptr_array_index(lacking, i);
        g_autofree char *key = g_strdup(item->key);
        wp_news_take(s, key, NULL, MAX(r->revision, item->revision + 1),
                     lapsed);
    }
}

/* Asks the store for what has changed since this box's copy; all is read again
   only if the store cannot tell. */
static void catch_up(WPSync *s, WPTime now)
{
    if (!s->complete) {
        read_all(s);
        return;
    }
    s->catching_up = true;
    wp_staleness_note_poll(&s->fresh, now);
    watch_from(s, wp_mirror_complete_revision(s->mirror) + 1, true);
}

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
    set_up(s, true);
    for (size_t i = 0; i < r->n_items; i++)
        wp_news_take(s, r->items[i].key.p, &r->items[i].value,
                     r->items[i].mod_revision, false);
    lose_missing(s, r);
    wp_mirror_advance(s->mirror, r->revision);
    note_known(s);
    s->complete = true;
    wp_relay_enter_held(s->host);
    wp_peers_announce(s->peers);
    if (s->broken)
        ask_again_from(s, r->revision + 1);
    s->broken = false;
    if (must_ask(s))
        watch_from(s, r->revision + 1, false);
}

static void read_all(WPSync *s)
{
    if (s->reading)
        return;
    s->reading = true;
    s->read_us = time_of(s).mono_us;
    s->retry_us = 0;
    wp_staleness_note_poll(&s->fresh, time_of(s));
    s->kv->ops->range(s->kv, "", NULL, on_range, s);
}

static int64_t start_ms(const WPSync *s)
{
    return wp_staleness_start_wait_ms(&s->fresh, s->host->settings->first_start,
                                      wp_peers_may_tell(s->peers));
}

/* Whether this box has just started and others are given time to tell it. At
   the first start nobody asks the store meanwhile but for those that all are
   told to reach. */
static bool waits_to_be_told(const WPSync *s, WPTime now)
{
    bool told = s->complete && !s->host->settings->first_start;
    return !s->reads_first && !told &&
           now.mono_us < s->start_us + start_ms(s) * WP_US_PER_MS;
}

/* A box on duty watches: the client of the store ends a watch that has fallen
   silent. One that is not asks the store when nobody has had its word for
   long. */
static void keep_fresh(WPSync *s, WPTime now)
{
    bool must = must_ask(s);
    bool stale = wp_staleness_poll_due(&s->fresh, now, wp_peers_rank(s->peers));
    if (s->watching && !must && !s->catching_up) {
        s->kv->ops->unwatch(s->kv);
        s->watching = false;
    }
    if (s->reading || s->retry_us || s->watching || waits_to_be_told(s, now))
        return;
    bool behind = wp_staleness_catch_up_due(&s->fresh, now,
                                            wp_peers_behind_ms(s->peers, now));
    if (must && s->complete)
        watch_from(s, wp_mirror_complete_revision(s->mirror) + 1, true);
    else if (must || behind || stale)
        catch_up(s, now);
}

/* How long the others are given before this box asks them. */
static uint32_t pull_wait_ms(const WPSync *s)
{
    if (!s->complete && s->reading)
        return wp_lag_initial_pull_wait_ms(wp_peers_entries(s->peers));
    return s->watching ? WATCH_PULL_MS : 0;
}

static void note_running(void *arg, WPShift *sh)
{
    bool *moving = arg;
    *moving = *moving || sh->state == WP_SHIFT_RUNNING;
}

int64_t wp_sync_list_age_ms(const WPSync *s, WPTime now)
{
    return wp_staleness_ms(&s->fresh, now);
}

/* Whether this box may be the last to hear of a change: the store does not
   answer it, and what it knows grows old, as where the others of its zone are
   cut off as well or have fallen silent without a sign. */
static bool is_cut_off(const WPSync *s, WPTime now)
{
    return s->tried && !s->up && wp_sync_list_age_ms(s, now) > ALONE_MS;
}

/* Whether the store gives this box nothing, or only slowly. */
static bool gets_little(const WPSync *s, WPTime now)
{
    int64_t slow_us = (int64_t)SLOW_READ_MS * WP_US_PER_MS;
    bool slow = s->reading && now.mono_us - s->read_us > slow_us;
    return slow || (s->tried && !s->up);
}

static void add_box(void *arg, const char *id, const char *addr,
                    const char *zone)
{
    const WPPaceBox b = { wp_hash(wp_str(id), 0), zone };
    (void)addr;
    g_array_append_val((GArray *)arg, b);
}

/* Which boxes send to the same endpoints. */
static void share_endpoints(WPSync *s)
{
    const Wp__DirectSettings *set = s->host->settings;
    const WPPaceBox self = { wp_hash(wp_str(set->id), 0), set->zone };
    if (s->boxes_known == wp_peers_changes(s->peers) + 1)
        return;
    s->boxes_known = wp_peers_changes(s->peers) + 1;
    g_autoptr(GArray) others = g_array_new(FALSE, FALSE, sizeof(WPPaceBox));
    wp_peers_each_member(s->peers, add_box, others);
    wp_fleet_set_boxes(s->host->direct.fleet, &self,
                       (const WPPaceBox *)(void *)others->data, others->len,
                       wp_peers_known(s->peers));
}

void wp_sync_tick(WPSync *s, WPTime now)
{
    s->tick_us = now.mono_us;
    keep_fresh(s, now);
    if (s->retry_us && now.mono_us >= s->retry_us) {
        s->retry_us = 0;
        catch_up(s, now);
    }
    if (s->again_us && now.mono_us >= s->again_us) {
        s->again_us = 0;
        if (s->watching)
            watch_from(s, s->again_from, true);
    }
    wp_record_tick(s, now);
    wp_seen_tick(s, now);
    wp_suspect_news_tick(s, now);
    wp_zone_tick(s->zone, now);
    wp_notice_news_tick(s->notice_news, now);
    if (s->reports)
        wp_reports_tick(s->reports, now);
    bool moving = false;
    wp_shifts_each(s->host->direct.shifts, note_running, &moving);
    wp_peers_hurry(s->peers, moving);
    wp_peers_patience(s->peers, pull_wait_ms(s));
    wp_peers_pull_far(s->peers,
                      gets_little(s, now) || (!s->complete && !s->reading));
    wp_peers_reach_far(s->peers, is_cut_off(s, now));
    if (!s->complete && wp_peers_entries(s->peers) > TOLD_ENTRIES_MOST)
        s->reads_first = true;
    wp_peers_tick(s->peers, now);
    s->host->direct.boxes = wp_peers_known(s->peers);
    share_endpoints(s);
}

void wp_sync_share(WPSync *s)
{
    wp_zone_wake(s->zone);
}

void wp_sync_suspects(WPSync *s)
{
    if (s->suspect_news)
        wp_suspect_news_wake(s->suspect_news);
}

void wp_sync_notices(WPSync *s)
{
    if (s->notice_news)
        wp_notice_news_wake(s->notice_news);
}

void wp_sync_tell(WPSync *s)
{
    wp_peers_announce(s->peers);
}

const WPTraffic *wp_sync_traffic(const WPSync *s)
{
    return wp_peers_traffic(s->peers);
}

bool wp_sync_reports_usage(const WPSync *s)
{
    return s->reports && wp_reports_is_holder(s->reports);
}

bool wp_sync_ready(const WPSync *s)
{
    return s->complete && s->host->direct.routes != NULL;
}

bool wp_sync_store_up(const WPSync *s)
{
    return s->up;
}

/* Those that all others are told to reach first read the store at once. */
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
    s->fresh.apply_ms = (uint32_t)h->settings->apply_ms;
    s->seen = wp_seen_new();
    s->life = (uint64_t)wp_clock_seed() << 32 | wp_clock_seed();
    s->fresh.jitter = g_rand_double(h->direct.rand);
    s->mirror = wp_mirror_new();
    s->turns = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->peers = wp_peers_new(h->base, h->settings, s->mirror, &wp_sync_peers_ops,
                            s, error);
    s->kv = s->peers ? h->platform->store(h->base, h->settings->store) : NULL;
    if (s->kv) {
        s->zone = wp_zone_new(h, s->peers);
        s->suspect_news = wp_suspect_news_new(s);
        s->notice_news = wp_notice_news_new(h, s->peers);
        s->reports = wp_reports_new(s);
        s->start_us = time_of(s).mono_us;
        s->reads_first = reads_first(h->settings);
        s->self_us = s->start_us + (start_ms(s) + SELF_MS) * WP_US_PER_MS;
        s->boxes_us = time_of(s).mono_us + SELF_MS * WP_US_PER_MS / 2;
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
    wp_zone_free(s->zone);
    g_clear_pointer(&s->reports, wp_reports_free);
    g_clear_pointer(&s->suspect_news, wp_suspect_news_free);
    g_clear_pointer(&s->notice_news, wp_notice_news_free);
    wp_peers_free(s->peers);
    wp_mirror_free(s->mirror);
    g_hash_table_unref(s->turns);
    wp_seen_free(s->seen);
    g_free(s);
}
