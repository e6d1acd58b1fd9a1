/* Advances roll-outs and withdraws bad versions, on the designated entries of a
 * zone. Each step is a configuration change that is conditional on the revision
 * it was decided for, so the write of an entry that is late or was paused
 * fails. */
#include "wp_change.h"
#include "wp_guard.h"
#include "wp_server_int.h"

#define CONTROL_INTERVAL_US (500 * WP_US_PER_MS)
#define DESIGNATED_PER_ZONE 1 /* entries that control roll-outs, per zone */

static void on_written(void *arg, WPChangeResult result, uint64_t revision,
                       const char *author)
{
    WPServer *s = arg;
    (void)revision;
    (void)author;
    s->rollout_writing = false;
    if (result == WP_CHANGE_ACCEPTED)
        wp_count(wp_node_counters(wp_host_node(s->host)), WP_C_ROLLOUT_STEPS);
}

/* Returns the operations of the next step, or NULL if none is due; sets `why`
   to its reason (free with g_free()) and `stop` if it withdraws a bad version.
   The result is freed with wp_ops_free(). */
static GPtrArray *next_ops(WPServer *s, WPTime now, char **why, bool *stop)
{
    WPPolicy *p = wp_entry_policy(s->entry);
    const WPQuality *q = wp_node_quality(wp_host_node(s->host));
    GPtrArray *ops =
        wp_rollout_step(s->chart, p, q, &s->rollout_monitor, now, why);
    if (!ops && !wp_guard_is_disabled(s->settings->node, WP_GUARD_STOP_BAD)) {
        ops = wp_withdraw_bad_version(p, q, now, why);
        *stop = ops != NULL;
    }
    return ops;
}

void wp_rollout_control_tick(WPServer *s, WPTime now)
{
    WPNode *n = wp_host_node(s->host);
    WPKv *kv = wp_host_kv(s->host);
    g_autofree char *why = NULL;
    bool stop = false;
    if (now.mono_us < s->rollout_due_us || s->rollout_writing || !kv ||
        !wp_node_ready(n) || !wp_entry_policy(s->entry) ||
        wp_policy_revision(wp_entry_policy(s->entry)) !=
            wp_config_revision(wp_node_config(n)))
        return;
    s->rollout_due_us = now.mono_us + CONTROL_INTERVAL_US;
    wp_rollout_monitor_poll(&s->rollout_monitor, wp_entry_policy(s->entry),
                            wp_node_quality(n), now);
    if (!wp_node_is_designated_entry(n, DESIGNATED_PER_ZONE))
        return;
    GPtrArray *ops = next_ops(s, now, &why, &stop);
    if (!ops)
        return;
    if (stop)
        wp_count(wp_node_counters(n), WP_C_STOPS);
    wp_events_add(wp_node_events(n), now, WP_EVENT_ROLLOUT, NULL, "%s", why);
    wp_log(wp_host_log(s->host), WP_INFO, "rollout", "step", why, NULL);
    g_autofree char *id =
        g_strdup_printf("%s-%ld", wp_node_self(n)->id, (long)now.mono_us);
    s->rollout_writing = true;
    wp_count(wp_node_counters(n), WP_C_STORE_WRITES);
    const WPConfig *base = wp_node_config(n);
    g_autofree Wp__Delta *d = wp_change_new(base, ops, id, "workspoint", now);
    wp_change_write(kv, base, d, on_written, s);
    wp_ops_free(ops);
}
