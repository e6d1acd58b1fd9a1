/* A direct site for tests: orders, clocks, ends and starts of its processes,
 * ways that misbehave. */
#include "path_int.h"

#include <signal.h>
#include <sys/wait.h>

enum { START_MS = 5000, LOOK_MS = 5 };

void path_zone(Path *p, bool out)
{
    static const char key[] = "\"op/evacuate/" PATH_ZONE_OUT "\"";
    g_autofree char *text =
        out ? g_strdup_printf("{\"put\":{\"key\":%s,\"value\":{}}}", key)
            : g_strdup_printf("{\"remove\":%s}", key);
    json_decref(path_control(p->store.control, text));
}

void path_clock(Path *p, unsigned entry, int64_t ms)
{
    g_autofree char *text = g_strdup_printf("%ld", (long)ms);
    g_file_set_contents(path_child(p->entries, entry)->clock, text, -1, NULL);
}

void path_suspend(Path *p, unsigned entry, int64_t ms)
{
    g_autofree char *text = g_strdup_printf("0 %ld", (long)ms);
    g_file_set_contents(path_child(p->entries, entry)->clock, text, -1, NULL);
}

void path_add_version(Path *p, const char *version, unsigned n,
                      const char *json)
{
    for (unsigned i = 0; i < n; i++) {
        unsigned at = p->replicas->len;
        path_start_replica(p, at, version);
        path_fault(p, at, json);
    }
}

void path_order(Path *p, const char *version, double seconds)
{
    g_autofree char *text = g_strdup_printf(
        "{\"put\":{\"key\":\"op/rollout/app\",\"value\":{\"service\":\"app\","
        "\"targetVersion\":\"%s\",\"durationS\":%.3f}}}",
        version, seconds);
    path_need(path_control(p->store.control, text));
}

char *path_move_state(Path *p)
{
    json_t *j =
        path_control(p->store.control, "{\"get\":\"status/rollout/app\"}");
    const char *text = json_string_value(json_object_get(j, "value"));
    gsize n = 0;
    g_autofree guchar *value = text ? g_base64_decode(text, &n) : NULL;
    json_t *status = value ? json_loadb((char *)value, n, 0, NULL) : NULL;
    char *state = g_strdup(json_string_value(json_object_get(status, "state")));
    json_decref(status);
    json_decref(j);
    return state;
}

/* Ends what is running and starts it with the same settings. */
static void restart(Path *p, Child *c)
{
    char *argv[] = { c->program, (char *)"--config", c->file, NULL };
    if (c->gone)
        return;
    path_end_process(c);
    path_spawn(p, c, argv);
}

void path_end_replicas(Path *p, unsigned end)
{
    for (unsigned i = 0; i < end; i++) {
        Child *c = path_child(p->replicas, i);
        json_t *j = path_control(c->control, "{}");
        g_autofree char *text =
            g_strdup_printf("{\"remove\":\"servers/%s\"}",
                            json_string_value(json_object_get(j, "id")));
        json_decref(j);
        path_end_process(c);
        c->gone = true;
        json_decref(path_control(p->store.control, text));
    }
}

void path_signal_entry(Path *p, unsigned entry, int signal)
{
    Child *c = path_child(p->entries, entry);
    if (c->running)
        kill(c->pid, signal);
}

void path_restart_entry(Path *p, unsigned entry)
{
    restart(p, path_child(p->entries, entry));
}

void path_restart_replica(Path *p, unsigned replica)
{
    restart(p, path_child(p->replicas, replica));
}

void path_wait_replica(Path *p, unsigned replica)
{
    json_t *j = NULL;
    for (int i = 0; !j && i < START_MS / LOOK_MS; i++) {
        j = path_control(path_child(p->replicas, replica)->control, "{}");
        if (!j)
            g_usleep(LOOK_MS * WP_US_PER_MS);
    }
    json_decref(j);
}

bool path_replica_ended(Path *p, unsigned replica)
{
    Child *c = path_child(p->replicas, replica);
    if (c->running && waitpid(c->pid, NULL, WNOHANG) == c->pid)
        c->running = false;
    return !c->running;
}

/* Its id is the last word of the line that it wrote as it ended. */
void path_unlist_replica(Path *p, unsigned replica)
{
    g_autofree char *file = g_build_filename(p->folder, "runs", NULL);
    g_autofree char *text = NULL;
    g_autofree char *id =
        g_strdup_printf(" i-%u-", path_child(p->replicas, replica)->port);
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return;
    const char *at = g_strrstr(text, id);
    if (!at)
        return;
    g_autofree char *last = g_strndup(at + 1, strcspn(at, "\n") - 1);
    g_autofree char *json =
        g_strdup_printf("{\"remove\":\"servers/%s\"}", last);
    json_decref(path_control(p->store.control, json));
}

void path_way_to_store(Path *p, unsigned entry, const char *json)
{
    json_decref(path_control(path_child(p->proxies, entry)->control, json));
}

void path_way_to_replica(Path *p, unsigned replica, const char *json)
{
    json_decref(
        path_control(path_child(p->replica_ways, replica)->control, json));
}

void path_try_fault(Path *p, unsigned replica, const char *json)
{
    json_decref(path_control(path_child(p->replicas, replica)->control, json));
}
