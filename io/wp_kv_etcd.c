/* Client of etcd's v3 gRPC gateway: POST requests with JSON, keys and values in
 * base64, numbers as strings. */
#include "wp_http.h"
#include "wp_kv.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <stdlib.h>

enum { KV_TIMEOUT_MS = 2000 };

typedef struct Etcd {
    WPKv kv; /* first */
    struct event_base *base;
    char **targets;
    size_t n_targets, current;
    WPHttp **clients;
    /* The watch; there is one at a time. */
    struct evhttp_connection *watch_con;
    WPKvWatchFn event;
    void *event_arg;
    GString *partial; /* an incomplete line */
} Etcd;

typedef struct Call {
    Etcd *e;
    WPKvResultFn done;
    void *arg;
} Call;

static json_t *to_b64(const char *p, size_t n)
{
    g_autofree char *text = g_base64_encode((const guchar *)p, n);
    return json_string(text);
}

static json_t *str_to_b64(const char *s)
{
    return to_b64(s, strlen(s));
}

/* Numbers come as strings; some servers send plain numbers. */
static uint64_t number(const json_t *j)
{
    if (json_is_string(j))
        return g_ascii_strtoull(json_string_value(j), NULL, 10);
    return (uint64_t)json_integer_value(j);
}

static void add_item(Etcd *e, WPKvItems *out, const json_t *kv)
{
    const WPKvItem item = {
        .key = wp_kv_decode_base64(json_object_get(kv, "key")),
        .value = wp_kv_decode_base64(json_object_get(kv, "value")),
        .mod_revision = number(json_object_get(kv, "mod_revision")),
    };
    wp_kv_items_add(&e->kv, out, &item);
}

static void add_items(Etcd *e, WPKvItems *out, const json_t *kvs)
{
    size_t i;
    json_t *kv;
    json_array_foreach (kvs, i, kv)
        add_item(e, out, kv);
}

/* Decodes the response of the store and calls the caller's function. After a
   failure the next call goes to the next target. */
static void on_answer(void *arg, int status, WPStr body)
{
    Call *c = arg;
    WPKvItems items;
    wp_kv_items_init(&items);
    json_t *j =
        status == 200 ? wp_kv_load(&c->e->kv, &items, body, "kvs") : NULL;
    WPKvResult r = { .ok = j != NULL };
    if (j) {
        size_t i;
        json_t *part;
        r.revision =
            number(json_object_get(json_object_get(j, "header"), "revision"));
        r.succeeded = json_is_true(json_object_get(j, "succeeded"));
        add_items(c->e, &items, json_object_get(j, "kvs"));
        json_array_foreach (json_object_get(j, "responses"), i, part)
            add_items(c->e, &items,
                      json_object_get(json_object_get(part, "response_range"),
                                      "kvs"));
    } else {
        c->e->current = (c->e->current + 1) % c->e->n_targets;
    }
    wp_kv_items_result(&items, &r);
    c->done(c->arg, &r);
    wp_kv_items_end(&items);
    json_decref(j);
    g_free(c);
}

static void post(Etcd *e, const char *path, json_t *body, WPKvResultFn done,
                 void *arg)
{
    Call *c = g_new0(Call, 1);
    char *text = json_dumps(body, JSON_COMPACT);
    c->e = e;
    c->done = done;
    c->arg = arg;
    if (!e->clients[e->current])
        e->clients[e->current] =
            wp_http_new(e->base, e->targets[e->current], KV_TIMEOUT_MS);
    wp_http_call(e->clients[e->current], path, text, on_answer, g_free, c);
    free(text);
    json_decref(body);
}

static void etcd_range(WPKv *kv, const char *key, const char *end,
                       WPKvResultFn done, void *arg)
{
    json_t *body = json_pack("{s:o}", "key", str_to_b64(key));
    if (end)
        json_object_set_new(body, "range_end", str_to_b64(end));
    post((Etcd *)kv, "/v3/kv/range", body, done, arg);
}

static json_t *compare_json(const WPKvCompare *c)
{
    g_autofree char *rev =
        g_strdup_printf("%lu", (unsigned long)c->mod_revision);
    return json_pack("{s:o,s:s,s:s,s:s}", "key", str_to_b64(c->key), "target",
                     "MOD", "result", "EQUAL", "mod_revision", rev);
}

static json_t *op_json(const WPKvOp *op)
{
    if (op->remove)
        return json_pack("{s:{s:o}}", "request_delete_range", "key",
                         str_to_b64(op->key));
    return json_pack("{s:{s:o,s:o}}", "request_put", "key", str_to_b64(op->key),
                     "value", to_b64(op->value.p, op->value.n));
}

/* Sends a transaction. If a condition does not hold, etcd returns the present
   values of the compared keys instead. */
static void etcd_txn(WPKv *kv, const WPKvCompare *compares, size_t n_compares,
                     const WPKvOp *ops, size_t n_ops, WPKvResultFn done,
                     void *arg)
{
    json_t *compare = json_array(), *success = json_array();
    json_t *failure = json_array();
    for (size_t i = 0; i < n_compares; i++) {
        json_array_append_new(compare, compare_json(&compares[i]));
        json_array_append_new(failure,
                              json_pack("{s:{s:o}}", "request_range", "key",
                                        str_to_b64(compares[i].key)));
    }
    for (size_t i = 0; i < n_ops; i++)
        json_array_append_new(success, op_json(&ops[i]));
    post((Etcd *)kv, "/v3/kv/txn",
         json_pack("{s:o,s:o,s:o}", "compare", compare, "success", success,
                   "failure", failure),
         done, arg);
}

static void end_watch(Etcd *e)
{
    WPKvWatchFn event = e->event;
    e->event = NULL;
    if (event)
        event(e->event_arg, WP_KV_WATCH_LOST, NULL);
}

/* Reports each change in one line of the watch's JSON stream. The callback may
   end the watch, which leaves out the rest. */
static void on_watch_line(Etcd *e, WPStr line)
{
    WPKvItems items;
    wp_kv_items_init(&items);
    json_t *j = wp_kv_load(&e->kv, &items, line, "events");
    json_t *events = json_object_get(json_object_get(j, "result"), "events");
    json_t *one;
    size_t i;
    json_array_foreach (events, i, one)
        add_item(e, &items, json_object_get(one, "kv"));
    json_decref(j);
    for (guint k = 0; k < items.list->len && e->event; k++)
        e->event(e->event_arg, WP_KV_CHANGED,
                 &g_array_index(items.list, WPKvItem, k));
    wp_kv_items_end(&items);
}

static void on_watch_chunk(struct evhttp_request *r, void *arg)
{
    Etcd *e = arg;
    struct evbuffer *in = evhttp_request_get_input_buffer(r);
    size_t n = evbuffer_get_length(in);
    g_string_append_len(e->partial, (const char *)evbuffer_pullup(in, -1),
                        (gssize)n);
    evbuffer_drain(in, n);
    char *end;
    while ((end = memchr(e->partial->str, '\n', e->partial->len))) {
        size_t len = (size_t)(end - e->partial->str);
        on_watch_line(e, wp_strn(e->partial->str, len));
        g_string_erase(e->partial, 0, (gssize)len + 1);
    }
}

static void on_watch_end(struct evhttp_request *r, void *arg)
{
    (void)r;
    end_watch(arg);
}

static void etcd_unwatch(WPKv *kv)
{
    Etcd *e = (Etcd *)kv;
    e->event = NULL;
    if (e->watch_con)
        evhttp_connection_free(e->watch_con);
    e->watch_con = NULL;
}

/* `immediate` is not needed: the gateway answers a new watch at once in any
   case. */
static void etcd_watch(WPKv *kv, const char *key, uint64_t from, bool immediate,
                       WPKvWatchFn event, void *arg)
{
    (void)immediate;
    Etcd *e = (Etcd *)kv;
    g_autofree char *host = NULL;
    g_autofree char *rev = g_strdup_printf("%lu", (unsigned long)from);
    uint16_t port;
    etcd_unwatch(kv);
    wp_http_parse_target(e->targets[e->current], &host, &port);
    e->event = event;
    e->event_arg = arg;
    g_string_truncate(e->partial, 0);
    e->watch_con = evhttp_connection_base_new(e->base, NULL, host, port);
    struct evhttp_request *r = evhttp_request_new(on_watch_end, e);
    evhttp_request_set_chunked_cb(r, on_watch_chunk);
    evhttp_add_header(evhttp_request_get_output_headers(r), "Host", host);
    json_t *body = json_pack("{s:{s:o,s:s}}", "create_request", "key",
                             str_to_b64(key), "start_revision", rev);
    char *text = json_dumps(body, JSON_COMPACT);
    evbuffer_add(evhttp_request_get_output_buffer(r), text, strlen(text));
    free(text);
    json_decref(body);
    evhttp_make_request(e->watch_con, r, EVHTTP_REQ_POST, "/v3/watch");
}

static void etcd_free(WPKv *kv)
{
    Etcd *e = (Etcd *)kv;
    etcd_unwatch(kv);
    for (size_t i = 0; i < e->n_targets; i++)
        wp_http_free(e->clients[i]);
    g_free(e->clients);
    g_strfreev(e->targets);
    g_string_free(e->partial, TRUE);
    g_free(e);
}

static const WPKvOps etcd_ops = { etcd_range, etcd_txn, etcd_watch,
                                  etcd_unwatch, etcd_free };

WPKv *wp_kv_etcd(struct event_base *base, char **targets, size_t n)
{
    Etcd *e = g_new0(Etcd, 1);
    e->kv.ops = &etcd_ops;
    e->base = base;
    e->partial = g_string_new(NULL);
    e->targets = g_new0(char *, n + 1);
    e->clients = g_new0(WPHttp *, n + 1);
    for (size_t i = 0; i < n; i++) {
        g_autofree char *host = NULL;
        uint16_t port;
        e->targets[i] = g_strdup(targets[i]);
        e->n_targets++;
        if (!wp_http_parse_target(targets[i], &host, &port)) {
            etcd_free(&e->kv);
            return NULL;
        }
    }
    return &e->kv;
}
