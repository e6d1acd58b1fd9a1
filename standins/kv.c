/* Stand-in for the key-value store, with the API of etcd's v3 gateway: range,
 * txn (compare on MOD only), put and watch. Requests are counted and rate-
 * limited. Outages, lost responses and delayed watch events are set on
 * /control. */
#include "stand.h"

#include <event2/buffer.h>
#include <stdlib.h>

typedef struct Item {
    char *key;   /* in base64; items are in the order of decoded keys */
    char *value; /* in base64 */
    uint64_t create, mod;
} Item;

typedef struct Watch {
    WPList link;
    char *key;
    struct evhttp_request *request;
    struct Kv *kv;
} Watch;

/* A watch event that is sent after watch_lag_ms. */
typedef struct DelayedEvent {
    struct Kv *kv;
    char *key, *line;
    struct event *timer;
} DelayedEvent;

typedef struct Kv {
    struct event_base *base;
    GTree *items; /* decoded key -> Item */
    uint64_t revision;
    WPList watches;
    double writes_per_s, reads_per_s;
    double write_tokens, read_tokens;
    int64_t filled_us;
    bool down, silent;
    double lose_answers, slow_ms, watch_lag_ms;
    /* Transactions are held until this many have come; below 1: none is. */
    double hold_writes;
    GQueue held; /* of evhttp_request */
    uint64_t writes, reads, refused, peak_waiting;
} Kv;

static gint compare(gconstpointer a, gconstpointer b, gpointer arg)
{
    (void)arg;
    return strcmp(a, b);
}

static void free_item(gpointer p)
{
    Item *i = p;
    g_free(i->key);
    g_free(i->value);
    g_free(i);
}

/* The string, decoded from base64. */
static char *decoded(const json_t *j)
{
    gsize n;
    const char *s = json_string_value(j);
    guchar *p = g_base64_decode(s ? s : "", &n);
    char *out = g_strndup((const char *)p, n);
    g_free(p);
    return out;
}

static json_t *rev_json(uint64_t rev)
{
    char text[24];
    g_snprintf(text, sizeof(text), "%lu", (unsigned long)rev);
    return json_string(text);
}

static json_t *header_json(const Kv *kv)
{
    return json_pack("{s:o}", "revision", rev_json(kv->revision));
}

static json_t *item_json(const Item *i)
{
    return json_pack("{s:s,s:s,s:o,s:o}", "key", i->key, "value", i->value,
                     "create_revision", rev_json(i->create), "mod_revision",
                     rev_json(i->mod));
}

typedef struct Range {
    const char *from, *end;
    json_t *out;
} Range;

static gboolean add_in_range(gpointer key, gpointer value, gpointer arg)
{
    Range *r = arg;
    if (r->end && strcmp(key, r->end) >= 0)
        return TRUE;
    if (strcmp(key, r->from) >= 0)
        json_array_append_new(r->out, item_json(value));
    return FALSE;
}

/* Items of the requested key, or of the keys from `key` to before `range_end`.
 */
static json_t *range(const Kv *kv, const json_t *request)
{
    g_autofree char *from = decoded(json_object_get(request, "key"));
    const json_t *end_json = json_object_get(request, "range_end");
    g_autofree char *end = end_json ? decoded(end_json) : NULL;
    json_t *out = json_array();
    if (end) {
        Range r = { from, end, out };
        g_tree_foreach(kv->items, add_in_range, &r);
    } else {
        Item *i = g_tree_lookup(kv->items, from);
        if (i)
            json_array_append_new(out, item_json(i));
    }
    return out;
}

static void send_line(Kv *kv, const char *key, const char *line)
{
    wp_list_each (it, &kv->watches) {
        Watch *w = wp_list_item(it, Watch, link);
        if (strcmp(w->key, key))
            continue;
        struct evbuffer *b = evbuffer_new();
        evbuffer_add_printf(b, "%s\n", line);
        evhttp_send_reply_chunk(w->request, b);
        evbuffer_free(b);
    }
}

static void on_event_timer(evutil_socket_t fd, short what, void *arg)
{
    DelayedEvent *l = arg;
    (void)fd;
    (void)what;
    send_line(l->kv, l->key, l->line);
    event_free(l->timer);
    g_free(l->key);
    free(l->line);
    g_free(l);
}

static void notify_watchers(Kv *kv, const char *key, const Item *i)
{
    json_t *j = json_pack("{s:{s:o,s:[{s:o}]}}", "result", "header",
                          header_json(kv), "events", "kv", item_json(i));
    char *line = json_dumps(j, JSON_COMPACT);
    json_decref(j);
    if (kv->watch_lag_ms <= 0) {
        send_line(kv, key, line);
        free(line);
        return;
    }
    DelayedEvent *l = g_new0(DelayedEvent, 1);
    struct timeval after = { (time_t)kv->watch_lag_ms / 1000,
                             (long)kv->watch_lag_ms % 1000 * 1000 };
    l->kv = kv;
    l->key = g_strdup(key);
    l->line = line;
    l->timer = evtimer_new(kv->base, on_event_timer, l);
    event_add(l->timer, &after);
}

static void put(Kv *kv, const json_t *request)
{
    char *key = decoded(json_object_get(request, "key"));
    const Item *old = g_tree_lookup(kv->items, key);
    Item *i = g_new0(Item, 1);
    i->key = g_strdup(json_string_value(json_object_get(request, "key")));
    i->value = g_strdup(json_string_value(json_object_get(request, "value")));
    i->create = old ? old->create : kv->revision;
    i->mod = kv->revision;
    g_tree_replace(kv->items, g_strdup(key), i);
    notify_watchers(kv, key, i);
    g_free(key);
}

/* Whether the key's mod revision is the one that the comparison expects. */
static bool holds(const Kv *kv, const json_t *cmp)
{
    g_autofree char *key = decoded(json_object_get(cmp, "key"));
    const Item *i = g_tree_lookup(kv->items, key);
    const json_t *want = json_object_get(cmp, "mod_revision");
    uint64_t rev = json_is_string(want)
                       ? g_ascii_strtoull(json_string_value(want), NULL, 10)
                       : (uint64_t)json_integer_value(want);
    return (i ? i->mod : 0) == rev;
}

static json_t *run_ops(Kv *kv, const json_t *ops)
{
    json_t *out = json_array(), *op;
    size_t i;
    json_array_foreach (ops, i, op) {
        const json_t *one;
        if ((one = json_object_get(op, "request_put"))) {
            put(kv, one);
        } else if ((one = json_object_get(op, "request_delete_range"))) {
            g_autofree char *key = decoded(json_object_get(one, "key"));
            g_tree_remove(kv->items, key);
        } else if ((one = json_object_get(op, "request_range"))) {
            json_array_append_new(out, json_pack("{s:{s:o}}", "response_range",
                                                 "kvs", range(kv, one)));
        }
    }
    return out;
}

static json_t *txn(Kv *kv, const json_t *request)
{
    json_t *cmp;
    size_t i;
    bool ok = true;
    json_array_foreach (json_object_get(request, "compare"), i, cmp)
        ok &= holds(kv, cmp);
    if (ok)
        kv->revision++;
    json_t *responses =
        run_ops(kv, json_object_get(request, ok ? "success" : "failure"));
    return json_pack("{s:o,s:b,s:o}", "header", header_json(kv), "succeeded",
                     ok, "responses", responses);
}

/* Takes a token from one of the two token buckets, which it refills first;
   false if there is none. */
static bool take_token(Kv *kv, double *tokens)
{
    int64_t now = g_get_monotonic_time();
    double s = (double)(now - kv->filled_us) / WP_US_PER_S;
    kv->filled_us = now;
    kv->write_tokens =
        MIN(kv->write_tokens + s * kv->writes_per_s, kv->writes_per_s);
    kv->read_tokens =
        MIN(kv->read_tokens + s * kv->reads_per_s, kv->reads_per_s);
    if (*tokens < 1) {
        kv->refused++;
        return false;
    }
    *tokens -= 1;
    return true;
}

/* A response that is sent after slow_ms. */
typedef struct DelayedReply {
    struct evhttp_request *r;
    json_t *reply;
    struct event *timer;
} DelayedReply;

static void on_reply_timer(evutil_socket_t fd, short what, void *arg)
{
    DelayedReply *s = arg;
    (void)fd;
    (void)what;
    wp_http_reply_json(s->r, 200, s->reply);
    event_free(s->timer);
    g_free(s);
}

static void reply(Kv *kv, struct evhttp_request *r, json_t *j)
{
    if (kv->slow_ms <= 0) {
        wp_http_reply_json(r, 200, j);
        return;
    }
    DelayedReply *s = g_new0(DelayedReply, 1);
    struct timeval after = { (time_t)kv->slow_ms / 1000,
                             (long)kv->slow_ms % 1000 * 1000 };
    s->r = r;
    s->reply = j;
    s->timer = evtimer_new(kv->base, on_reply_timer, s);
    event_add(s->timer, &after);
}

/* Whether a fault keeps the request from being served; sends 503 then, or
   nothing at all. */
static bool unavailable(Kv *kv, struct evhttp_request *r)
{
    if (kv->silent)
        return true; /* no response at all */
    if (!kv->down)
        return false;
    wp_http_reply_json(r, 503, json_pack("{s:s}", "error", "unavailable"));
    return true;
}

static void reply_rate_limited(struct evhttp_request *r)
{
    wp_http_reply_json(r, 429, json_pack("{s:s}", "error", "rate exceeded"));
}

static void on_range(struct evhttp_request *r, void *arg)
{
    Kv *kv = arg;
    if (unavailable(kv, r))
        return;
    kv->reads++;
    if (!take_token(kv, &kv->read_tokens)) {
        reply_rate_limited(r);
        return;
    }
    json_t *request = wp_http_body_json(r);
    json_t *kvs = range(kv, request);
    reply(kv, r, json_pack("{s:o,s:o}", "header", header_json(kv), "kvs", kvs));
    json_decref(request);
}

static void serve_txn(Kv *kv, struct evhttp_request *r)
{
    kv->writes++;
    if (!take_token(kv, &kv->write_tokens)) {
        reply_rate_limited(r);
        return;
    }
    json_t *request = wp_http_body_json(r);
    json_t *j = txn(kv, request);
    json_decref(request);
    if (kv->lose_answers >= 1) {
        kv->lose_answers--;
        json_decref(j);
        stand_close_connection(r);
        return;
    }
    reply(kv, r, j);
}

static void on_writer_gone(struct evhttp_connection *con, void *arg)
{
    Kv *kv = arg;
    for (GList *l = kv->held.head; l; l = l->next) {
        if (evhttp_request_get_connection(l->data) != con)
            continue;
        g_queue_delete_link(&kv->held, l);
        return;
    }
}

static void on_txn(struct evhttp_request *r, void *arg)
{
    Kv *kv = arg;
    if (unavailable(kv, r))
        return;
    if (kv->hold_writes < 1) {
        serve_txn(kv, r);
        return;
    }
    g_queue_push_tail(&kv->held, r);
    evhttp_connection_set_closecb(evhttp_request_get_connection(r),
                                  on_writer_gone, kv);
    if (kv->held.length < kv->hold_writes)
        return;
    while ((r = g_queue_pop_head(&kv->held)))
        serve_txn(kv, r);
}

static void on_watch_gone(struct evhttp_connection *con, void *arg)
{
    Watch *w = arg;
    (void)con;
    wp_list_remove(&w->link);
    g_free(w->key);
    g_free(w);
}

static void on_watch(struct evhttp_request *r, void *arg)
{
    Kv *kv = arg;
    if (unavailable(kv, r))
        return;
    kv->reads++;
    json_t *request = wp_http_body_json(r);
    const json_t *create = json_object_get(request, "create_request");
    const char *from_text =
        json_string_value(json_object_get(create, "start_revision"));
    uint64_t from = from_text ? g_ascii_strtoull(from_text, NULL, 10) : 0;
    Watch *w = g_new0(Watch, 1);
    w->kv = kv;
    w->key = decoded(json_object_get(create, "key"));
    w->request = r;
    json_decref(request);
    wp_list_append(&kv->watches, &w->link);
    evhttp_connection_set_closecb(evhttp_request_get_connection(r),
                                  on_watch_gone, w);
    evhttp_send_reply_start(r, 200, NULL);
    const Item *i = g_tree_lookup(kv->items, w->key);
    if (i && from && i->mod >= from)
        notify_watchers(kv, w->key, i);
}

static void cut_watches(Kv *kv)
{
    while (!wp_list_empty(&kv->watches))
        stand_close_connection(
            wp_list_item(kv->watches.next, Watch, link)->request);
}

static void on_control(struct evhttp_request *r, void *arg)
{
    Kv *kv = arg;
    json_t *j = wp_http_body_json(r);
    stand_set_bool(j, "down", &kv->down);
    stand_set_bool(j, "silent", &kv->silent);
    stand_set_number(j, "lose_answers", &kv->lose_answers);
    stand_set_number(j, "slow_ms", &kv->slow_ms);
    stand_set_number(j, "hold_writes", &kv->hold_writes);
    stand_set_number(j, "watch_lag_ms", &kv->watch_lag_ms);
    json_decref(j);
    if (kv->down || kv->silent)
        cut_watches(kv);
    wp_http_reply_json(r, 200,
                       json_pack("{s:I,s:I,s:I,s:I}", "writes",
                                 (json_int_t)kv->writes, "reads",
                                 (json_int_t)kv->reads, "refused",
                                 (json_int_t)kv->refused, "revision",
                                 (json_int_t)kv->revision));
}

void stand_kv(struct event_base *base, struct evhttp *http,
              const Wp__StandSettings *s)
{
    Kv *kv = g_new0(Kv, 1);
    kv->base = base;
    g_queue_init(&kv->held);
    kv->items = g_tree_new_full(compare, NULL, g_free, free_item);
    kv->writes_per_s = s->writes_per_s;
    kv->reads_per_s = s->reads_per_s;
    kv->write_tokens = kv->writes_per_s;
    kv->read_tokens = kv->reads_per_s;
    kv->filled_us = g_get_monotonic_time();
    wp_list_init(&kv->watches);
    evhttp_set_cb(http, "/v3/kv/range", on_range, kv);
    evhttp_set_cb(http, "/v3/kv/txn", on_txn, kv);
    evhttp_set_cb(http, "/v3/watch", on_watch, kv);
    evhttp_set_cb(http, "/control", on_control, kv);
}
