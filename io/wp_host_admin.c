/* The admin port: health, metrics, status, timeline of events, and the faults
 * that scenarios inject. */
#include "wp_account_log.h"
#include "wp_host_int.h"
#include "wp_page.h"
#include "wp_pb.h"

enum { TIMELINE_MAX_EVENTS = 4096 };

bool wp_host_health(WPHost *h, WPDownstreamConn *p, const char *path)
{
    if (!strcmp(path, "/healthz")) {
        /* The load balancer's check. It fails as the first step of a planned
           stop, and while a box that has just started could only refuse
           requests. */
        bool starting = !wp_node_ready(h->node);
        wp_page_send_text(p, h->draining || starting ? 503 : 200, "text/plain",
                          wp_str(h->draining ? "leaving\n"
                                 : starting  ? "starting\n"
                                             : "ok\n"));
        return true;
    }
    if (!strcmp(path, "/readyz")) {
        bool ready = wp_node_ready(h->node) && !h->draining;
        wp_page_send_text(p, ready ? 200 : 503, "text/plain",
                          wp_str(ready ? "ready\n" : "not ready\n"));
        return true;
    }
    if (strcmp(path, "/metrics"))
        return false;
    g_autoptr(GString) out = g_string_new(NULL);
    g_autofree char *labels = g_strdup_printf(
        "box=\"%s\",zone=\"%s\"", h->settings->id, h->settings->zone);
    wp_counters_text(wp_node_counters(h->node), labels, out);
    wp_account_metrics(&h->account, labels, out);
    wp_page_send_text(p, 200, "text/plain; version=0.0.4", wp_str(out->str));
    return true;
}

static json_t *status_json(WPHost *h)
{
    WPTime now = wp_host_now(h);
    const Wp__Member *self = wp_node_self(h->node);
    int64_t age = wp_node_config_age_ms(h->node, now);
    json_t *o = json_pack(
        "{s:s,s:s,s:s,s:I,s:I,s:b,s:b,s:b,s:I,s:i,s:i}", "id", self->id, "role",
        self->role == WP__ROLE__ROLE_ENTRY ? "entry" : "agent", "zone",
        h->settings->zone, "incarnation", (json_int_t)self->incarnation,
        "revision", (json_int_t)wp_config_revision(wp_node_config(h->node)),
        "ready", wp_node_ready(h->node), "store_up", wp_node_store_up(h->node),
        "leaving", h->draining, "age_ms",
        (json_int_t)(age == INT64_MAX ? -1 : age), "boxes",
        (int)wp_members_live_count(wp_node_members(h->node)), "bills_pending",
        (int)wp_bills_pending(h->ops->bills(h->role)));
    h->ops->status(h->role, o);
    return o;
}

static void close_link(void *arg, WPLink *l)
{
    (void)arg;
    wp_link_close(l);
}

/* Sets the faults of a scenario (wp_fault.h). A connection that has lost bytes
   cannot continue, so all links are closed, to be opened again, when the cut of
   links ends. */
static void set_fault(WPHost *h, WPDownstreamConn *p)
{
    json_t *j = wp_page_json(p);
    bool was = h->fault.in || h->fault.out;
    wp_fault_set(&h->fault, j);
    json_decref(j);
    if (was && !h->fault.in && !h->fault.out)
        wp_hub_each(h->hub, close_link, NULL);
    if (h->fault.store && h->kv)
        h->kv->ops->unwatch(h->kv);
    if (h->fault.store)
        wp_node_on_watch_end(h->node, wp_host_now(h));
    wp_page_send_json(p, 200, wp_str(""), json_object());
}

static void add_member(void *arg, const WPMemberRow *r)
{
    json_array_append_new(arg, wp_pb_json(&r->m->base));
}

/* Answers a request to the admin port: health, status, timeline of events,
   boxes, or a path of the role; fault injection with `test_hooks` only. */
static void on_admin(void *arg, WPDownstreamConn *p, const WPHead *head)
{
    WPHost *h = arg;
    g_autofree char *path = wp_page_path(head);
    if (wp_host_health(h, p, path))
        return;
    if (!strcmp(path, "/v1/test") && h->settings->test_hooks) {
        set_fault(h, p);
    } else if (!strcmp(path, "/v1/status")) {
        wp_page_send_json(p, 200, wp_str(""), status_json(h));
    } else if (!strcmp(path, "/v1/timeline")) {
        g_autofree char *request = wp_page_param(head, "request");
        wp_page_send_json(p, 200, wp_str(""),
                          wp_events_json(wp_node_events(h->node), request,
                                         TIMELINE_MAX_EVENTS));
    } else if (!strcmp(path, "/v1/boxes")) {
        json_t *list = json_array();
        wp_members_each(wp_node_members(h->node), add_member, list);
        wp_page_send_json(p, 200, wp_str(""), list);
    } else if (!h->ops->admin || !h->ops->admin(h->role, p, path)) {
        wp_page_send_json(p, 404, wp_str(""),
                          json_pack("{s:s}", "error", "no such page"));
    }
}

void wp_host_refused(void *arg, WPCode code, const char *detail)
{
    WPHost *h = arg;
    WPCounters *c = wp_node_counters(h->node);
    c->codes[code]++;
    wp_count(c, WP_C_BAD_INPUT);
    wp_log(&h->log, WP_INFO, "refused", "code", wp_code_info(code)->code, "why",
           detail, NULL);
}

void wp_host_gives_way(WPHost *h, const WPOwner *o, const char *who)
{
    wp_count(wp_node_counters(h->node), WP_C_GAVE_WAY);
    wp_log_gives_way(&h->log, &h->account, o, who);
}

static void on_gives_way(void *arg, const WPOwner *o)
{
    wp_host_gives_way(arg, o, "admin");
}

static const WPDownstreamOps admin_ops = { on_admin, wp_page_caller_gone,
                                           wp_page_writable, wp_host_refused,
                                           on_gives_way };

bool wp_host_open_admin(WPHost *h, GError **error)
{
    g_autofree char *addr =
        g_strdup_printf("%s:%u", h->settings->listen, h->settings->admin_port);
    g_autoptr(GError) why = NULL;
    h->admin = wp_page_listen(h->base, addr, &admin_ops, h, &h->account, &why);
    if (h->admin)
        return true;
    g_set_error(error, WP_ERROR, WP_ERROR_INPUT, "admin_port: %s",
                why->message);
    return false;
}
