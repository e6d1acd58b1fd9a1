/* Stand-in for the store of the users' platform: items with revisions, ranges,
 * long-polling watches and transactions. Faults are set on /control:
 *   down: "" (none), "silent" (no response), "busy" (503) or "reset" (the
 *     connection is closed);
 *   lose_answers: share of transactions that are committed without a response;
 *   deaf: watches get no events;
 *   compact: drops the history and closes the connections of watches;
 *   restore_ms: the store is as it was so many milliseconds ago, and its era
 *     rises. After rewrite_ms the operator and the endpoints write again what
 *     they have written since; what boxes have written is lost.
 * Writes of the operator and of endpoints come on /control too, as put and
 * remove; get returns an item's value. */
#include "pf_names.h"
#include "stand.h"

#include <stdio.h>
#include <stdlib.h>

enum { HISTORY_MAX = 2000, PAGE_MAX = 500, WAIT_MAX_MS = 30000 };

typedef struct Item {
    char *key, *value; /* value in base64; NULL: removed */
    uint64_t revision, created;
    int64_t at_us; /* when it was written */
} Item;

typedef struct Watch {
    WPList node;
    struct Store *store;
    struct evhttp_request *request;
    struct event *timer;
    char *prefix;
    uint64_t after;
} Watch;

typedef struct Store {
    struct event_base *base;
    GTree *items;       /* key -> Item */
    GPtrArray *history; /* of Item, in the order of writes */
    GPtrArray *journal; /* the same of all writes since the start */
    GPtrArray *lost;    /* of Item: writes of others that a restore has lost */
    struct event *rewrite;
    uint64_t revision, oldest, era;
    WPList watches;
    GRand *rand;
    char down[16];
    bool deaf;
    double lose_answers;
    double calls;
} Store;

static void item_free(void *p)
{
    Item *i = p;
    g_free(i->key);
    g_free(i->value);
    g_free(i);
}

static json_t *item_json(const Item *i)
{
    if (!i->value)
        return json_pack("{s:s,s:I,s:b}", "privateKey", i->key, "revision",
                         (json_int_t)i->revision, "deleted", 1);
    return json_pack("{s:s,s:s,s:I,s:I,s:i}", "privateKey", i->key, "value",
                     i->value, "revision", (json_int_t)i->revision, "createRev",
                     (json_int_t)i->created, "lease", 0);
}

static Item *copy_of(const Item *i)
{
    Item *c = g_new0(Item, 1);
    *c = *i;
    c->key = g_strdup(i->key);
    c->value = g_strdup(i->value);
    return c;
}

/* Adds a write, whose ownership it takes, to the history and the items. */
static void store_item(Store *s, Item *i)
{
    g_ptr_array_add(s->history, copy_of(i));
    if (s->history->len > HISTORY_MAX) {
        s->oldest = ((Item *)s->history->pdata[0])->revision;
        g_ptr_array_remove_index(s->history, 0);
    }
    if (i->value) {
        g_tree_replace(s->items, i->key, i);
        return;
    }
    g_tree_remove(s->items, i->key);
    item_free(i);
}

/* Applies one write with the store's current revision. `value` NULL removes
   the key. */
static void apply(Store *s, const char *key, const char *value)
{
    const Item *old = g_tree_lookup(s->items, key);
    Item *i = g_new0(Item, 1);
    i->key = g_strdup(key);
    i->value = g_strdup(value);
    i->revision = s->revision;
    i->created = old && old->value ? old->created : s->revision;
    i->at_us = g_get_monotonic_time();
    g_ptr_array_add(s->journal, copy_of(i));
    store_item(s, i);
}

static void free_watch(Watch *w)
{
    struct evhttp_connection *con = evhttp_request_get_connection(w->request);
    if (con)
        evhttp_connection_set_closecb(con, NULL, NULL);
    wp_list_remove(&w->node);
    event_free(w->timer);
    g_free(w->prefix);
    g_free(w);
}

/* Writes to keys with this prefix after this revision, oldest first. */
static json_t *events_after(const Store *s, const char *prefix, uint64_t after)
{
    json_t *list = json_array();
    for (guint k = 0; k < s->history->len; k++) {
        const Item *i = s->history->pdata[k];
        if (i->revision > after && g_str_has_prefix(i->key, prefix))
            json_array_append_new(list, item_json(i));
    }
    return list;
}

static void answer_watch(Watch *w, json_t *events)
{
    struct evhttp_request *r = w->request;
    uint64_t revision = w->store->revision;
    free_watch(w);
    wp_http_reply_json(r, 200,
                       json_pack("{s:o,s:I}", "events", events, "storeRevision",
                                 (json_int_t)revision));
}

/* Answers the watches that have events. */
static void notify_watches(Store *s)
{
    if (s->deaf)
        return;
    wp_list_each_safe (it, tmp, &s->watches) {
        Watch *w = wp_list_item(it, Watch, node);
        json_t *events = events_after(s, w->prefix, w->after);
        if (json_array_size(events))
            answer_watch(w, events);
        else
            json_decref(events);
    }
}

static void on_watch_timer(evutil_socket_t fd, short what, void *arg)
{
    Watch *w = arg;
    (void)fd;
    (void)what;
    answer_watch(w, events_after(w->store, w->prefix, w->after));
}

static void on_client_gone(struct evhttp_connection *con, void *arg)
{
    (void)con;
    free_watch(arg);
}

static uint64_t number(struct evhttp_request *r, const char *name)
{
    g_autofree char *v = wp_http_query_param(r, name);
    return v ? g_ascii_strtoull(v, NULL, 10) : 0;
}

static void watch(Store *s, struct evhttp_request *r)
{
    uint64_t after = number(r, "afterRev");
    uint64_t ms = MIN(number(r, "waitMs"), WAIT_MAX_MS);
    struct timeval limit = { (time_t)(ms / WP_MS_PER_S),
                             (suseconds_t)(ms % WP_MS_PER_S * WP_US_PER_MS) };
    if (after < s->oldest || after > s->revision) {
        wp_http_reply_json(r, 410, json_object());
        return;
    }
    Watch *w = g_new0(Watch, 1);
    w->store = s;
    w->request = r;
    w->prefix = wp_http_query_param(r, "prefix");
    w->prefix = w->prefix ? w->prefix : g_strdup("");
    w->after = after;
    w->timer = evtimer_new(s->base, on_watch_timer, w);
    event_add(w->timer, &limit);
    wp_list_append(&s->watches, &w->node);
    evhttp_connection_set_closecb(evhttp_request_get_connection(r),
                                  on_client_gone, w);
    notify_watches(s);
}

typedef struct RangeQuery {
    const char *prefix, *after;
    json_t *items;
    bool truncated;
} RangeQuery;

static gboolean add_to_range(gpointer key, gpointer value, gpointer arg)
{
    RangeQuery *p = arg;
    if (!g_str_has_prefix(key, p->prefix) ||
        (p->after && strcmp(key, p->after) <= 0))
        return FALSE;
    if (json_array_size(p->items) == PAGE_MAX) {
        p->truncated = true;
        return TRUE;
    }
    json_array_append_new(p->items, item_json(value));
    return FALSE;
}

static void range(Store *s, struct evhttp_request *r)
{
    g_autofree char *prefix = wp_http_query_param(r, "prefix");
    g_autofree char *after = wp_http_query_param(r, "afterRev");
    RangeQuery p = { prefix ? prefix : "", after, json_array(), false };
    g_tree_foreach(s->items, add_to_range, &p);
    wp_http_reply_json(r, 200,
                       json_pack("{s:o,s:b,s:I}", "items", p.items, "truncated",
                                 p.truncated, "storeRevision",
                                 (json_int_t)s->revision));
}

static const char *text_of(const json_t *j, const char *name)
{
    const char *t = json_string_value(json_object_get(j, name));
    return t ? t : "";
}

/* Whether only the operator or an endpoint may write this key; boxes get 403.
 */
static bool is_read_only(const char *key)
{
    return g_str_has_prefix(key, "op/") || g_str_has_prefix(key, "servers/");
}

/* The compared items as they are now, if the revision of one is not the
   expected one; else NULL. */
static json_t *conflicts(const Store *s, const json_t *expected)
{
    json_t *one, *present = json_array();
    size_t k;
    bool differs = false;
    json_array_foreach (expected, k, one) {
        const Item *i = g_tree_lookup(s->items, text_of(one, "privateKey"));
        json_int_t want = json_integer_value(json_object_get(one, "revision"));
        differs = differs || want != (json_int_t)(i ? i->revision : 0);
        if (i)
            json_array_append_new(present, item_json(i));
    }
    if (differs)
        return present;
    json_decref(present);
    return NULL;
}

static void txn(Store *s, struct evhttp_request *r)
{
    json_t *j = wp_http_body_json(r), *one;
    json_t *conflict = conflicts(s, json_object_get(j, "expectedRev"));
    const json_t *puts = json_object_get(j, "puts");
    size_t k;
    if (conflict) {
        wp_http_reply_json(r, 412, json_pack("{s:o}", "items", conflict));
        json_decref(j);
        return;
    }
    json_array_foreach (puts, k, one) {
        if (!is_read_only(text_of(one, "privateKey")))
            continue;
        wp_http_reply_json(r, 403, json_object());
        json_decref(j);
        return;
    }
    s->revision++;
    json_array_foreach (puts, k, one)
        apply(s, text_of(one, "privateKey"), text_of(one, "value"));
    json_array_foreach (json_object_get(j, "remove"), k, one)
        apply(s, json_string_value(one), NULL);
    json_decref(j);
    if (g_rand_double(s->rand) < s->lose_answers)
        stand_close_connection(r);
    else
        wp_http_reply_json(
            r, 200, json_pack("{s:I}", "revision", (json_int_t)s->revision));
    notify_watches(s);
}

static void close_watches(Store *s)
{
    wp_list_each_safe (it, tmp, &s->watches) {
        Watch *w = wp_list_item(it, Watch, node);
        struct evhttp_request *r = w->request;
        free_watch(w);
        stand_close_connection(r);
    }
}

static void compact(Store *s)
{
    s->oldest = s->revision;
    g_ptr_array_set_size(s->history, 0);
    close_watches(s);
}

/* Writes again what the operator and the endpoints had written. */
static void on_rewrite(evutil_socket_t fd, short what, void *arg)
{
    Store *s = arg;
    (void)fd;
    (void)what;
    for (guint k = 0; k < s->lost->len; k++) {
        const Item *i = s->lost->pdata[k];
        const Item *now = g_tree_lookup(s->items, i->key);
        /* Another write since the restore is later. */
        if (now && now->at_us > i->at_us)
            continue;
        s->revision++;
        apply(s, i->key, i->value);
    }
    g_ptr_array_set_size(s->lost, 0);
    notify_watches(s);
}

/* Moves the writes after `at_us` from the journal to the lost ones, the last of
   each key that boxes may not write. */
static void cut_journal(Store *s, int64_t at_us)
{
    g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
    g_ptr_array_set_size(s->lost, 0);
    while (s->journal->len) {
        guint last = s->journal->len - 1;
        const Item *i = s->journal->pdata[last];
        if (i->at_us <= at_us)
            return;
        if (is_read_only(i->key) && !g_hash_table_contains(seen, i->key)) {
            Item *lost = copy_of(i);
            g_ptr_array_insert(s->lost, 0, lost);
            g_hash_table_add(seen, lost->key);
        }
        g_ptr_array_remove_index(s->journal, last);
    }
}

/* Restores the store from its copy of `ms` ago. */
static void restore(Store *s, double ms, double rewrite_ms)
{
    const struct timeval later = { (time_t)(rewrite_ms / WP_MS_PER_S),
                                   (suseconds_t)(rewrite_ms * WP_US_PER_MS) %
                                       WP_US_PER_S };
    cut_journal(s, g_get_monotonic_time() - (int64_t)(ms * WP_US_PER_MS));
    g_tree_remove_all(s->items);
    g_ptr_array_set_size(s->history, 0);
    s->revision = s->oldest = 0;
    for (guint k = 0; k < s->journal->len; k++) {
        const Item *i = s->journal->pdata[k];
        s->revision = i->revision;
        store_item(s, copy_of(i));
    }
    s->era++;
    close_watches(s);
    event_add(s->rewrite, &later);
}

static void put_json(Store *s, const json_t *put)
{
    char *text = json_dumps(json_object_get(put, "value"), JSON_COMPACT);
    g_autofree char *value =
        g_base64_encode((const guchar *)text, strlen(text));
    s->revision++;
    apply(s, text_of(put, "key"), value);
    free(text);
}

static void control(Store *s, struct evhttp_request *r)
{
    json_t *j = wp_http_body_json(r);
    const json_t *down = json_object_get(j, "down");
    const char *remove = json_string_value(json_object_get(j, "remove"));
    double restore_ms = 0, rewrite_ms = 0;
    stand_set_number(j, "restore_ms", &restore_ms);
    stand_set_number(j, "rewrite_ms", &rewrite_ms);
    if (restore_ms > 0)
        restore(s, restore_ms, rewrite_ms);
    if (json_is_string(down))
        g_strlcpy(s->down, json_string_value(down), sizeof(s->down));
    stand_set_bool(j, "deaf", &s->deaf);
    stand_set_number(j, "lose_answers", &s->lose_answers);
    if (json_object_get(j, "put"))
        put_json(s, json_object_get(j, "put"));
    if (remove && g_tree_lookup(s->items, remove)) {
        s->revision++;
        apply(s, remove, NULL);
    }
    if (json_is_true(json_object_get(j, "compact")))
        compact(s);
    const char *get = json_string_value(json_object_get(j, "get"));
    const Item *i = get ? g_tree_lookup(s->items, get) : NULL;
    json_t *out = json_pack("{s:I,s:f}", "revision", (json_int_t)s->revision,
                            "calls", s->calls);
    if (i)
        json_object_set_new(out, "value", json_string(i->value));
    json_decref(j);
    notify_watches(s);
    wp_http_reply_json(r, 200, out);
}

static void item(Store *s, struct evhttp_request *r)
{
    g_autofree char *key = wp_http_query_param(r, "privateKey");
    const Item *i = key ? g_tree_lookup(s->items, key) : NULL;
    wp_http_reply_json(r, i ? 200 : 404, i ? item_json(i) : json_object());
}

/* Whether the store is down for this request. Then this sends the response, or
   for "silent" nothing. */
static bool is_down(Store *s, struct evhttp_request *r)
{
    if (!strcmp(s->down, "busy"))
        wp_http_reply_json(r, 503, json_object());
    else if (!strcmp(s->down, "reset"))
        stand_close_connection(r);
    return *s->down != '\0'; /* silent: no response is ever sent */
}

static void on_request(struct evhttp_request *r, void *arg)
{
    Store *s = arg;
    const char *path = stand_path(r);
    g_autofree char *era = g_strdup_printf("%lu", (gulong)s->era);
    evhttp_add_header(evhttp_request_get_output_headers(r), PF_H_ERA, era);
    s->calls++;
    if (!strcmp(path, "/control"))
        control(s, r);
    else if (is_down(s, r))
        return;
    else if (!strcmp(path, PF_C_RANGE))
        range(s, r);
    else if (!strcmp(path, PF_C_WATCH))
        watch(s, r);
    else if (!strcmp(path, PF_C_TXN))
        txn(s, r);
    else if (!strcmp(path, "/v1/kv-key"))
        item(s, r);
    else
        wp_http_reply_json(r, 404, json_object());
}

void stand_pstore(struct event_base *base, struct evhttp *http,
                  const Wp__StandSettings *set)
{
    Store *s = g_new0(Store, 1);
    s->base = base;
    s->items = g_tree_new_full((GCompareDataFunc)(void (*)(void))strcmp, NULL,
                               NULL, item_free);
    s->history = g_ptr_array_new_with_free_func(item_free);
    s->journal = g_ptr_array_new_with_free_func(item_free);
    s->lost = g_ptr_array_new_with_free_func(item_free);
    s->rewrite = evtimer_new(base, on_rewrite, s);
    s->era = 1;
    s->rand = g_rand_new_with_seed((guint32)set->seed);
    wp_list_init(&s->watches);
    evhttp_set_gencb(http, on_request, s);
}
