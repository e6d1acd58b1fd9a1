/* A store that was restored from an older copy. What it has lost stays in force
 * here: the operator and the endpoints write theirs again, and what boxes had
 * written is written again by wp_store_writer.c. */
#include "wp_reports.h"
#include "wp_sync_int.h"

#include <stdio.h>

enum {
    /* until an entry of others that the store has lost, and that nobody has
       written again, counts as removed */
    LOST_GRACE_MS = 3000,
    /* until entries of boxes are written again: random, so that few boxes
       write the same ones */
    REWRITE_SPREAD_MS = 300,
    /* added at boxes other than those that watch the store */
    REWRITE_WAIT_MS = 1500,
    NUMBER_SIZE = 24 /* bytes of a number as text */
};

void wp_sync_on_era(void *arg, WPStoreEraChange change, const char *text)
{
    static const char *const events[] = { [WP_STORE_ERA_RISEN] = "store_era",
                                          [WP_STORE_ERA_LATE] =
                                              "store_era_late",
                                          [WP_STORE_ERA_INVALID] =
                                              "store_era_bad" };
    WPSync *s = arg;
    uint64_t known = wp_mirror_complete_revision(s->mirror);
    char revision[NUMBER_SIZE];
    if (change == WP_STORE_ERA_SAME)
        return;
    if (change == WP_STORE_ERA_RISEN && s->complete &&
        wp_revision_era(known) < s->kv->era.number)
        s->outdated_us = wp_clock_now(0).mono_us;
    snprintf(revision, sizeof(revision), "%lu",
             (unsigned long)wp_revision_number(known));
    wp_log(&s->host->log, change == WP_STORE_ERA_RISEN ? WP_INFO : WP_WARN,
           events[change], "era", text, "known_revision", revision, NULL);
}

bool wp_sync_may_write(const WPSync *s)
{
    return s->complete && !s->outdated_us;
}

/* The lease's conditional writes use the revision that it was told. */
static void renumber_lease(WPSync *s)
{
    if (s->reports)
        wp_reports_renumber(
            s->reports, wp_mirror_key_revision(s->mirror, WP_KEY_REPORT_LEASE));
}

/* The local copy has come to a later era. */
static void begin_restore(WPSync *s, uint64_t era)
{
    WPTime now = wp_clock_now(0);
    unsigned missing = wp_mirror_mark_missing(s->mirror, era);
    g_autoptr(GPtrArray) lost = wp_mirror_lost(s->mirror, "");
    bool first = wp_peers_is_designated_watcher(s->peers, false);
    double wait_ms = REWRITE_SPREAD_MS * g_rand_double(s->host->direct.rand) +
                     (first ? 0 : REWRITE_WAIT_MS);
    char text[NUMBER_SIZE], n_missing[NUMBER_SIZE], n_lost[NUMBER_SIZE];
    renumber_lease(s);
    s->restored_us = now.mono_us;
    s->rewrite_us = now.mono_us + (int64_t)(wait_ms * WP_US_PER_MS);
    snprintf(text, sizeof(text), "%lu", (unsigned long)era);
    snprintf(n_missing, sizeof(n_missing), "%u", missing);
    snprintf(n_lost, sizeof(n_lost), "%u", lost->len);
    wp_log(&s->host->log, WP_WARN, "store_restored", "era", text, "missing",
           n_missing, "lost", n_lost, NULL);
}

void wp_sync_advance(WPSync *s, uint64_t revision)
{
    uint64_t had = wp_mirror_complete_revision(s->mirror);
    wp_mirror_advance(s->mirror, revision);
    if (had && wp_revision_era(revision) > wp_revision_era(had))
        begin_restore(s, wp_revision_era(revision));
    s->kv->era.number = MAX(s->kv->era.number, wp_revision_era(revision));
    if (wp_revision_era(wp_mirror_complete_revision(s->mirror)) >=
        s->kv->era.number)
        s->outdated_us = 0;
}

/* Whether boxes write this entry. */
static bool is_own(const WPSync *s, const char *key)
{
    return g_str_has_prefix(key, WP_KEY_PREFIX) ||
           g_str_has_prefix(key, s->host->platform->outcome_prefix);
}

/* Removes the entries of others that the store does not have and that were not
   written again. */
static void remove_missing(WPSync *s, const GPtrArray *lost)
{
    uint64_t revision = wp_mirror_complete_revision(s->mirror);
    for (guint i = 0; i < lost->len; i++) {
        const WPMirrorItem *item = g_ptr_array_index(lost, i);
        if (wp_revision_number(item->revision) || is_own(s, item->key))
            continue;
        g_autofree char *key = g_strdup(item->key);
        wp_log(&s->host->log, WP_INFO, "entry_gone", "key", key, "why",
               "lost by the store and not written again", NULL);
        wp_store_apply(s, key, NULL, revision, false);
    }
}

void wp_sync_restore_tick(WPSync *s, WPTime now)
{
    int64_t grace_us = s->restored_us + (int64_t)LOST_GRACE_MS * WP_US_PER_MS;
    /* Only a copy that was confirmed since shows what is not written again. */
    if (!s->restored_us || now.mono_us < grace_us ||
        s->staleness.synced_us < grace_us)
        return;
    g_autoptr(GPtrArray) lost = wp_mirror_lost(s->mirror, "");
    remove_missing(s, lost);
    if (!lost->len)
        s->restored_us = 0;
}
