/* The entry's HTTP server, and its callbacks as the role of the host. */
#include "wp_buffered.h"
#include "wp_pb.h"
#include "wp_process.h"
#include "wp_server_int.h"

#include <event2/buffer.h>
#include <stdlib.h>

#define SERVICES "/v1/services/"

/* Of the descriptors, 1 in so many is for callers; the rest is for agents,
   other boxes and the store. */
enum {
    CALLERS_PART = 2,
    DRAIN_IDLE_MS = 300 /* of a stopping entry's connections */
};

static WPTime now_of(const WPServer *s)
{
    return wp_host_now(s->host);
}

static void on_caller_gone(void *arg, WPDownstreamConn *p)
{
    WPServer *s = arg;
    WPExchange *x = p->request;
    if (!x)
        return;
    x->caller = NULL;
    p->request = NULL;
    wp_entry_caller_gone(s->entry, now_of(s), x->request);
    wp_exchange_cancel(x);
    wp_exchange_free(x);
}

static void on_writable(void *arg, WPDownstreamConn *p)
{
    (void)arg;
    if (p->request)
        wp_reply_writable(p->request);
}

static void on_refused(void *arg, WPCode code, const char *detail)
{
    wp_host_refused(((WPServer *)arg)->host, code, detail);
}

static void on_gives_way(void *arg, const WPOwner *o)
{
    const WPServer *s = arg;
    const WPExchange *x = wp_list_item(o, WPDownstreamConn, owner)->request;
    wp_host_gives_way(s->host, o, x ? x->request->id : "caller");
}

static bool is_method_allowed(WPStr method)
{
    static const char *const allowed[] = { "GET", "POST", "PUT", "DELETE" };
    for (size_t i = 0; i < WP_COUNT(allowed); i++)
        if (wp_str_eq(method, wp_str(allowed[i])))
            return true;
    return false;
}

/* Returns the exchange for a caller's request, added to the server's list.
   Takes a reference to the parsed JSON body, or to a body of another type. */
static WPExchange *new_exchange(WPServer *s, WPDownstreamConn *p,
                                WPParsedRequest *text)
{
    WPExchange *x = g_new0(WPExchange, 1);
    x->server = s;
    x->caller = p;
    x->pending_answer = evbuffer_new();
    x->status = 200;
    x->json_body = json_incref(text->body);
    x->path = g_strdup(text->path);
    x->method = g_strndup(p->head.method.p, p->head.method.n);
    x->stream = text->stream;
    x->want_usage = text->want_usage;
    if (!x->json_body)
        x->raw_body = g_byte_array_ref(p->body);
    wp_list_append(&s->exchanges, &x->node);
    p->request = x;
    return x;
}

/* Answers a request that the entry is not asked about, as it is refused with
   `code` or cannot be parsed. Returns false for WP_OK. */
static bool refuse_early(WPServer *s, WPDownstreamConn *p, WPCode code,
                         const char *detail)
{
    WPCounters *c = wp_node_counters(wp_host_node(s->host));
    if (code == WP_OK)
        return false;
    c->codes[code]++;
    wp_count(c, WP_C_BAD_INPUT);
    bool again =
        code == WP_NOT_READY || code == WP_LEAVING || code == WP_NO_MEMORY;
    wp_reply_error(p, NULL, code, again ? WP_MS_PER_S : 0, detail);
    return true;
}

static WPCode can_serve(const WPServer *s)
{
    if (wp_host_is_draining(s->host) && !wp_host_lame_duck(s->host))
        return WP_LEAVING;
    if (!wp_node_ready(wp_host_node(s->host)) || !wp_entry_policy(s->entry))
        return WP_NOT_READY;
    return WP_OK;
}

typedef WPCode (*ParseFn)(const WPPolicy *p, WPDownstreamConn *c,
                          WPParsedRequest *out, const char **detail);

/* Parses a request and begins it, or answers it at once with an error if it is
   invalid or this box cannot serve. */
static void serve(WPServer *s, WPDownstreamConn *p, ParseFn parse)
{
    WPParsedRequest text = { 0 };
    const char *detail = NULL;
    WPEntryAction step;
    WPCode code = can_serve(s);
    if (code == WP_OK && !is_method_allowed(p->head.method)) {
        code = WP_BAD_REQUEST;
        detail = "the method is not allowed";
    }
    if (code == WP_OK)
        code = parse(wp_entry_policy(s->entry), p, &text, &detail);
    if (refuse_early(s, p, code, detail)) {
        wp_parsed_request_end(&text);
        return;
    }
    WPTime now = now_of(s);
    WPExchange *x = new_exchange(s, p, &text);
    x->request = wp_entry_begin(s->entry, now, &text.params, &step);
    text.params.labels = NULL; /* the request owns them now */
    wp_histogram_add(&wp_node_counters(wp_host_node(s->host))->decision,
                     now_of(s).mono_us - now.mono_us);
    wp_parsed_request_end(&text);
    wp_exchange_run_action(x, step);
    wp_host_run_actions(s->host);
}

static void add_model(json_t *list, const char *id, const char *owner)
{
    json_array_append_new(list,
                          json_pack("{s:s,s:s,s:i,s:s}", "id", id, "object",
                                    "model", "created", 0, "owned_by", owner));
}

/* Answers with the list of models that the workspace may name: kinds, and the
   versions allowed for any of these kinds. */
static void list_models(WPServer *s, WPDownstreamConn *c)
{
    WPPolicy *p = wp_entry_policy(s->entry);
    const WPWorkspace *ws = p ? wp_request_workspace(p, &c->head) : NULL;
    WPVersionSet any = { 0 };
    if (refuse_early(s, c, p ? ws ? WP_OK : WP_NO_KEY : WP_NOT_READY, NULL))
        return;
    json_t *list = json_array();
    for (unsigned k = 0; k < wp_policy_kinds(p); k++) {
        const WPKind *kind = wp_policy_kind_at(p, k);
        WPVersionSet set;
        wp_policy_allowed(p, ws, kind, NULL, &set);
        wp_policy_filter_model(p, "auto", &set);
        if (!wp_version_set_empty(&set))
            add_model(list, kind->spec->name, "kind");
        for (unsigned w = 0; w < WP_VERSION_SET_WORDS; w++)
            any.w[w] |= set.w[w];
    }
    for (unsigned i = 0; i < wp_policy_versions(p); i++) {
        const Wp__Version *v = wp_policy_version_at(p, i)->spec;
        if (wp_version_set_has(&any, i))
            add_model(list, v->name, v->model ? v->model : "");
    }
    wp_page_send_json(c, 200, wp_str(""),
                      json_pack("{s:s,s:o}", "object", "list", "data", list));
}

static void on_request(void *arg, WPDownstreamConn *p, const WPHead *h)
{
    WPServer *s = arg;
    g_autofree char *path = wp_page_path(h);
    if (wp_host_health(s->host, p, path))
        return;
    if (!strcmp(path, "/v1/models"))
        list_models(s, p);
    else if (!strcmp(path, "/v1/chat/completions"))
        serve(s, p, wp_request_parse_chat);
    else if (g_str_has_prefix(path, SERVICES) && path[strlen(SERVICES)])
        serve(s, p, wp_request_parse_service);
    else
        wp_page_send_json(p, 404, wp_str(""),
                          json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "message",
                                    "no such path", "type",
                                    "invalid_request_error", "code",
                                    "not_found", "ran", "not_run"));
}

static const WPDownstreamOps caller_ops = { on_request, on_caller_gone,
                                            on_writable, on_refused,
                                            on_gives_way };

static void role_refresh(void *role, WPTime now)
{
    wp_entry_refresh(((WPServer *)role)->entry, now);
}

static void role_on_frame(void *role, WPLink *l, Wp__Frame *f)
{
    wp_attempts_on_frame(role, l, f);
}

static void role_on_link_down(void *role, WPLink *l)
{
    wp_attempts_on_link_down(role, l);
}

static void tick_exchange(WPExchange *x, WPTime now)
{
    WPEntry *e = x->server->entry;
    if (now.mono_us >= x->request->deadline_us) {
        WPEntryAction step = wp_entry_deadline_passed(e, now, x->request);
        wp_exchange_cancel(x);
        wp_exchange_run_action(x, step);
    } else if (x->retry_at_us && now.mono_us >= x->retry_at_us) {
        x->retry_at_us = 0;
        wp_exchange_run_action(x, wp_entry_retry(e, now, x->request));
    }
}

static void role_tick(void *role, WPTime now)
{
    WPServer *s = role;
    wp_list_each_safe (it, tmp, &s->exchanges)
        tick_exchange(wp_list_item(it, WPExchange, node), now);
    wp_downstream_poll_buffered(s->callers, now);
    if (wp_host_is_draining(s->host) && !wp_host_lame_duck(s->host))
        wp_downstream_close_idle(s->callers, now, DRAIN_IDLE_MS);
    wp_attempts_send_backup(s);
    wp_rollout_control_tick(s, now);
}

static void role_drain(void *role, WPTime now)
{
    WPServer *s = role;
    wp_downstream_start_drain(s->callers);
    wp_node_drain(wp_host_node(s->host), now);
}

static bool role_idle(void *role)
{
    const WPServer *s = role;
    return wp_list_empty(&s->exchanges) &&
           !wp_downstream_has_unread(s->callers);
}

static WPBills *role_bills(void *role)
{
    return wp_entry_bills(((WPServer *)role)->entry);
}

static void add_endpoint(void *arg, WPEndpoint *p)
{
    json_array_append_new(
        arg,
        json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:b,s:f}", "id", p->id, "zone",
                  p->zone, "inflight", (int)p->inflight, "running",
                  (int)p->reported_running, "queued", (int)p->reported_queued,
                  "slots", (int)p->slots, "leaving", p->draining,
                  "first_token_us", p->first_token_us));
}

static void role_status(void *role, json_t *into)
{
    WPServer *s = role;
    json_t *list = json_array();
    size_t open = 0;
    wp_list_each (it, &s->exchanges)
        open++;
    wp_entry_each_endpoint(s->entry, add_endpoint, list);
    json_object_set_new(into, "endpoints", list);
    json_object_set_new(into, "requests", json_integer((json_int_t)open));
}

/* Answers /v1/why: which versions may serve such a request, and why. Returns
   false for any other path. */
static bool role_admin(void *role, WPDownstreamConn *p, const char *path)
{
    WPServer *s = role;
    WPParsedRequest text = { 0 };
    if (strcmp(path, "/v1/why"))
        return false;
    WPCode code = can_serve(s);
    if (code == WP_OK)
        code =
            wp_request_parse_query(wp_entry_policy(s->entry), &p->head, &text);
    if (code != WP_OK) {
        wp_reply_error(p, NULL, code, 0, NULL);
    } else {
        GPtrArray *lines = wp_entry_explain(s->entry, now_of(s), &text.params);
        json_t *list = json_array();
        for (guint i = 0; i < lines->len; i++)
            json_array_append_new(list, json_string(lines->pdata[i]));
        g_ptr_array_unref(lines);
        wp_page_send_json(p, 200, wp_str(""), list);
    }
    wp_parsed_request_end(&text);
    return true;
}

static const WPRoleOps role_ops = {
    .refresh = role_refresh,
    .on_frame = role_on_frame,
    .on_link_down = role_on_link_down,
    .tick = role_tick,
    .drain = role_drain,
    .idle = role_idle,
    .bills = role_bills,
    .status = role_status,
    .admin = role_admin,
};

static Wp__Chart *load_chart(const Wp__EntrySettings *s, GError **error)
{
    g_autofree char *file =
        g_build_filename(s->node->charts, "rollout.yaml", NULL);
    g_autofree char *text = NULL;
    gsize n;
    if (!g_file_get_contents(file, &text, &n, error))
        return NULL;
    return wp_chart_read(wp_strn(text, n), file, error);
}

static bool listen_for_callers(WPServer *s, GError **error)
{
    const Wp__EntrySettings *set = s->settings;
    WPHost *h = s->host;
    g_autofree char *addr =
        g_strdup_printf("%s:%u", set->node->listen, set->http_port);
    g_autoptr(GError) why = NULL;
    WPBuffered buffered;
    const WPRouteLimits limits = { set->max_head_kb << 10,
                                   set->max_body_kb << 10,
                                   set->caller_timeout_s * WP_MS_PER_S,
                                   set->caller_timeout_s * WP_MS_PER_S };
    s->callers = wp_downstream_new(wp_host_base(h), addr, &caller_ops, s, &why);
    if (!s->callers) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT, "http_port: %s",
                    why->message);
        return false;
    }
    wp_buffered_set_limit(&buffered, set->node->memory_mb);
    wp_downstream_set_account(s->callers, wp_host_account(h));
    wp_downstream_set_limits(s->callers, &limits);
    wp_downstream_set_silence(s->callers, limits.idle_ms);
    wp_downstream_set_uploads_limit(s->callers, buffered.uploads_limit_bytes);
    wp_downstream_set_arrival_time(s->callers,
                                   (uint32_t)(set->arrival_s * WP_MS_PER_S));
    wp_downstream_set_max_connections(s->callers,
                                      wp_process_descriptors() / CALLERS_PART);
    return true;
}

WPServer *wp_server_new(WPHost *h, const Wp__EntrySettings *settings,
                        GError **error)
{
    WPServer *s = g_new0(WPServer, 1);
    s->host = h;
    s->settings = settings;
    s->streams = g_hash_table_new(g_int64_hash, g_int64_equal);
    wp_list_init(&s->exchanges);
    wp_rollout_monitor_init(&s->rollout_monitor);
    s->chart = load_chart(settings, error);
    if (s->chart)
        s->entry =
            wp_entry_new(wp_host_node(h), settings, wp_host_seed(h), error);
    if (!s->entry)
        goto fail;
    if (!listen_for_callers(s, error))
        goto fail;
    wp_host_set_role(h, &role_ops, s);
    return s;
fail:
    wp_server_free(s);
    return NULL;
}

void wp_server_free(WPServer *s)
{
    if (!s)
        return;
    wp_host_set_role(s->host, NULL, NULL);
    wp_list_each_safe (it, tmp, &s->exchanges) {
        WPExchange *x = wp_list_item(it, WPExchange, node);
        if (x->caller)
            x->caller->request = NULL;
        wp_exchange_free(x);
    }
    wp_downstream_free(s->callers);
    wp_entry_free(s->entry);
    wp_pb_free(s->chart);
    wp_rollout_monitor_end(&s->rollout_monitor);
    g_hash_table_unref(s->streams);
    g_free(s);
}
