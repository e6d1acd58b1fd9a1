/* Test cluster of direct mode: operator's orders, clock offsets, restarts of
 * processes, and proxies that disturb connections. */
#include "cluster_int.h"

#include <signal.h>
#include <sys/wait.h>

enum { START_TIMEOUT_MS = 5000, POLL_MS = 5 };

void cluster_set_evacuated(TestCluster *p, bool evacuated)
{
    static const char key[] = "\"op/evacuate/" CLUSTER_EVACUATED_ZONE "\"";
    g_autofree char *text =
        evacuated ? g_strdup_printf("{\"put\":{\"key\":%s,\"value\":{}}}", key)
                  : g_strdup_printf("{\"remove\":%s}", key);
    json_decref(cluster_post_control(p->store.control, text));
}

void cluster_step_clock(TestCluster *p, unsigned entry, int64_t ms)
{
    g_autofree char *text = g_strdup_printf("%ld", (long)ms);
    g_file_set_contents(cluster_child(p->entries, entry)->clock, text, -1,
                        NULL);
}

void cluster_simulate_suspend(TestCluster *p, unsigned entry, int64_t ms)
{
    g_autofree char *text = g_strdup_printf("0 %ld", (long)ms);
    g_file_set_contents(cluster_child(p->entries, entry)->clock, text, -1,
                        NULL);
}

void cluster_add_version(TestCluster *p, const char *version, unsigned n,
                         const char *json)
{
    for (unsigned i = 0; i < n; i++) {
        unsigned at = p->replicas->len;
        cluster_start_replica(p, at, version);
        cluster_set_replica_faults(p, at, json);
    }
}

void cluster_order_shift(TestCluster *p, const char *version, double seconds)
{
    g_autofree char *text = g_strdup_printf(
        "{\"put\":{\"key\":\"op/rollout/app\",\"value\":{\"service\":\"app\","
        "\"targetVersion\":\"%s\",\"durationS\":%.3f}}}",
        version, seconds);
    cluster_require_reply(cluster_post_control(p->store.control, text));
}

char *cluster_read_shift_state(TestCluster *p)
{
    json_t *j = cluster_post_control(p->store.control,
                                     "{\"get\":\"status/rollout/app\"}");
    const char *text = json_string_value(json_object_get(j, "value"));
    gsize n = 0;
    g_autofree guchar *value = text ? g_base64_decode(text, &n) : NULL;
    json_t *status = value ? json_loadb((char *)value, n, 0, NULL) : NULL;
    char *state = g_strdup(json_string_value(json_object_get(status, "state")));
    json_decref(status);
    json_decref(j);
    return state;
}

/* Kills the process if it runs, and starts it with the same settings. */
static void restart(TestCluster *p, Child *c)
{
    char *argv[] = { c->program, (char *)"--config", c->file, NULL };
    if (c->removed)
        return;
    cluster_kill_process(c);
    cluster_spawn(p, c, argv);
}

void cluster_remove_replicas(TestCluster *p, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        Child *c = cluster_child(p->replicas, i);
        json_t *j = cluster_post_control(c->control, "{}");
        g_autofree char *text =
            g_strdup_printf("{\"remove\":\"servers/%s\"}",
                            json_string_value(json_object_get(j, "id")));
        json_decref(j);
        cluster_kill_process(c);
        c->removed = true;
        json_decref(cluster_post_control(p->store.control, text));
    }
}

void cluster_signal_entry(TestCluster *p, unsigned entry, int signal)
{
    Child *c = cluster_child(p->entries, entry);
    if (c->running)
        kill(c->pid, signal);
}

void cluster_restart_entry(TestCluster *p, unsigned entry)
{
    restart(p, cluster_child(p->entries, entry));
}

void cluster_restart_replica(TestCluster *p, unsigned replica)
{
    restart(p, cluster_child(p->replicas, replica));
}

void cluster_wait_replica_up(TestCluster *p, unsigned replica)
{
    json_t *j = NULL;
    for (int i = 0; !j && i < START_TIMEOUT_MS / POLL_MS; i++) {
        j = cluster_post_control(cluster_child(p->replicas, replica)->control,
                                 "{}");
        if (!j)
            g_usleep(POLL_MS * WP_US_PER_MS);
    }
    json_decref(j);
}

bool cluster_replica_exited(TestCluster *p, unsigned replica)
{
    Child *c = cluster_child(p->replicas, replica);
    if (c->running && waitpid(c->pid, NULL, WNOHANG) == c->pid)
        c->running = false;
    return !c->running;
}

/* A replica's id contains its port and is the last word of the line that it
   writes to the run log when it crashes. */
void cluster_unregister_replica(TestCluster *p, unsigned replica)
{
    g_autofree char *file = g_build_filename(p->folder, "runs", NULL);
    g_autofree char *text = NULL;
    g_autofree char *id =
        g_strdup_printf(" i-%u-", cluster_child(p->replicas, replica)->port);
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return;
    const char *at = g_strrstr(text, id);
    if (!at)
        return;
    g_autofree char *replica_id = g_strndup(at + 1, strcspn(at, "\n") - 1);
    g_autofree char *json =
        g_strdup_printf("{\"remove\":\"servers/%s\"}", replica_id);
    json_decref(cluster_post_control(p->store.control, json));
}

void cluster_set_store_proxy(TestCluster *p, unsigned entry, const char *json)
{
    json_decref(cluster_post_control(
        cluster_child(p->store_proxies, entry)->control, json));
}

void cluster_set_replica_proxy(TestCluster *p, unsigned replica,
                               const char *json)
{
    json_decref(cluster_post_control(
        cluster_child(p->replica_proxies, replica)->control, json));
}

void cluster_try_replica_faults(TestCluster *p, unsigned replica,
                                const char *json)
{
    json_decref(cluster_post_control(
        cluster_child(p->replicas, replica)->control, json));
}
