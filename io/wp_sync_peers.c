/* Handles what other boxes send: store entries that this box lacks, and
 * updates. */
#include "wp_notice_updates.h"
#include "wp_reports.h"
#include "wp_sync_int.h"
#include "wp_zone_updates.h"

static void apply_delta_item(WPSync *s, const Wp__MirrorItem *item)
{
    g_autoptr(GBytes) bytes = wp_mirror_item_value(item);
    gsize n = 0;
    if (!bytes && !item->removed) {
        wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_entry", "key", item->key,
               "why", "cannot decompress the value sent by a peer", NULL);
        return;
    }
    const char *data = bytes ? g_bytes_get_data(bytes, &n) : NULL;
    WPStr value = wp_strn(data ? data : "", n);
    WPMirrorChange change = wp_store_apply(s, item->key, bytes ? &value : NULL,
                                           item->revision, item->lapsed);
    if (item->lost && change != WP_MIRROR_OLD)
        wp_mirror_mark_lost(s->mirror, item->key);
}

/* Removes entries that another box's full copy does not have. */
static void remove_missing(WPSync *s, const Wp__MirrorDelta *d)
{
    g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < d->n_items; i++)
        g_hash_table_add(keys, d->items[i]->key);
    wp_sync_remove_missing(s, keys, d->complete, wp_sync_was_store_lost(s));
}

/* Applies the entries that another box has sent. Unless they are only a part of
   the state, this box has caught up then, and admits held requests. */
static void on_delta(void *arg, const char *from, const Wp__MirrorDelta *d)
{
    WPSync *s = arg;
    for (size_t i = 0; i < d->n_items; i++)
        apply_delta_item(s, d->items[i]);
    if (d->partial) {
        wp_log(&s->host->log, WP_INFO, "boxes_told", "from", from, NULL);
        return;
    }
    if (!d->since)
        wp_mirror_note_copy(s->mirror, d->changes_from);
    wp_sync_advance(s, d->complete);
    if (!d->since)
        remove_missing(s, d);
    wp_staleness_note_synced(&s->staleness, 0,
                             wp_mirror_complete_revision(s->mirror), 0);
    wp_sync_admit(s);
    wp_log(&s->host->log, WP_INFO, "caught_up", "from", from, NULL);
}

static void on_bad_delta(void *arg, const char *from)
{
    WPSync *s = arg;
    wp_count(&s->host->direct.counters, WP_C_BAD_FRAMES);
    wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_delta", "from", from, "why",
           "cannot decompress the delta", NULL);
}

static void on_peer(void *arg, const char *peer, bool up)
{
    WPSync *s = arg;
    wp_log(&s->host->log, WP_INFO, up ? "peer_reached" : "peer_lost", "peer",
           peer, NULL);
    if (up)
        wp_suspects_mark_all_unsent(s->host->direct.suspects);
    wp_sync_schedule_suspects(s);
    if (s->notice_updates)
        wp_notice_updates_peer_changed(s->notice_updates, peer, up);
    if (s->reports)
        wp_reports_mark_all_unsent(s->reports);
}

static void on_zone_news(void *arg, const char *from, const Wp__ZoneNews *m)
{
    WPSync *s = arg;
    (void)from;
    if (s->zone_updates)
        wp_zone_updates_merge(s->zone_updates, m);
}

static void on_suspects(void *arg, const char *from, const Wp__SuspectNews *n)
{
    WPSync *s = arg;
    if (s->suspect_updates)
        wp_suspect_updates_merge(s, from, n);
}

static void on_notices(void *arg, const char *from, const Wp__NoticeNews *n)
{
    WPSync *s = arg;
    if (s->notice_updates)
        wp_notice_updates_merge(s->notice_updates, from, n);
}

static void on_usage(void *arg, bool remote_zone, const Wp__UsageNews *n)
{
    WPSync *s = arg;
    if (s->reports)
        wp_reports_merge(s->reports, remote_zone, n);
}

const WPPeersOps wp_sync_peers_ops = { .delta = on_delta,
                                       .bad_delta = on_bad_delta,
                                       .digest_received = wp_sync_merge_digest,
                                       .fill_digest = wp_sync_fill_digest,
                                       .peer_changed = on_peer,
                                       .zone_updates = on_zone_news,
                                       .suspect_updates = on_suspects,
                                       .notice_updates = on_notices,
                                       .usage_updates = on_usage };
