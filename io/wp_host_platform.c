/* Carries out the node's actions: calls the platform's store, list of boxes and
 * rating service, and passes their answers to the node. */
#include "wp_host_int.h"
#include "wp_pb.h"

/* A read from the store in progress. */
typedef struct StoreRead {
    WPHost *h;
    int64_t sent_us;
} StoreRead;

static StoreRead *new_store_read(WPHost *h)
{
    StoreRead *a = g_new0(StoreRead, 1);
    a->h = h;
    a->sent_us = wp_host_now(h).mono_us;
    return a;
}

static void on_head(void *arg, const WPKvResult *r)
{
    StoreRead *a = arg;
    WPHost *h = a->h;
    const WPKvItem *i = r->n_items ? r->items : NULL;
    wp_node_on_head(h->node, wp_host_now(h), a->sent_us, r->ok,
                    i ? i->mod_revision : 0,
                    i ? (const uint8_t *)i->value.p : NULL, i ? i->value.n : 0);
    g_free(a);
    wp_host_run_actions(h);
}

static void on_snapshot(void *arg, const WPKvResult *r)
{
    StoreRead *a = arg;
    WPHost *h = a->h;
    Wp__Snapshot *s = wp_kv_snapshot(r);
    wp_node_on_snapshot(h->node, wp_host_now(h), a->sent_us, r->ok, s);
    wp_pb_free(s);
    g_free(a);
    wp_host_run_actions(h);
}

static void on_watch(void *arg, WPKvWatchEvent what, const WPKvItem *item)
{
    WPHost *h = arg;
    if (what == WP_KV_UNCHANGED)
        return;
    if (what == WP_KV_CHANGED)
        wp_node_on_watch_event(h->node, wp_host_now(h), item->mod_revision,
                               (const uint8_t *)item->value.p, item->value.n);
    else
        wp_node_on_watch_end(h->node, wp_host_now(h));
    wp_host_run_actions(h);
}

/* Takes over the platform's list of boxes. A list with an incomplete record is
   ignored as a whole, unlike an empty one. */
static void on_boxes(void *arg, int status, WPStr body)
{
    WPHost *h = arg;
    json_t *j = status == 200 ? json_loadb(body.p, body.n, 0, NULL) : NULL;
    json_t *list = json_object_get(j, "boxes");
    size_t n = json_array_size(list), i;
    g_autofree WPBox *boxes = g_new0(WPBox, n + 1);
    json_t *one;
    h->boxes_requested = false;
    json_array_foreach (list, i, one) {
        const char *state = json_string_value(json_object_get(one, "state"));
        boxes[i].id = json_string_value(json_object_get(one, "id"));
        boxes[i].addr = json_string_value(json_object_get(one, "addr"));
        boxes[i].port =
            (uint32_t)json_integer_value(json_object_get(one, "port"));
        boxes[i].draining = state && !strcmp(state, "leaving");
        if (!boxes[i].id || !boxes[i].addr)
            n = 0; /* an incomplete record: the list is ignored */
    }
    if (json_is_array(list) && (n || !json_array_size(list)))
        wp_node_on_box_list(h->node, wp_host_now(h), boxes, n);
    json_decref(j);
    wp_host_run_actions(h);
}

/* Takes over the sums of ratings; those without a kind or version are left out.
   Without a valid response nothing changes. */
static void on_ratings(void *arg, int status, WPStr body)
{
    WPHost *h = arg;
    json_t *j = status == 200 ? json_loadb(body.p, body.n, 0, NULL) : NULL;
    json_t *list = json_object_get(j, "sums");
    size_t n = json_array_size(list), i;
    g_autofree Wp__RatingSum *storage = g_new0(Wp__RatingSum, n + 1);
    g_autofree Wp__RatingSum **sums = g_new0(Wp__RatingSum *, n + 1);
    Wp__Ratings r = WP__RATINGS__INIT;
    json_t *one;
    h->ratings_requested = false;
    r.seq = (uint64_t)json_integer_value(json_object_get(j, "seq"));
    r.sums = sums;
    json_array_foreach (list, i, one) {
        Wp__RatingSum *s = &storage[i];
        const char *kind = json_string_value(json_object_get(one, "kind"));
        const char *v = json_string_value(json_object_get(one, "version"));
        wp__rating_sum__init(s);
        if (!kind || !v)
            continue;
        s->kind = (char *)kind;
        s->version = (char *)v;
        s->count = (uint32_t)json_integer_value(json_object_get(one, "count"));
        s->sum = json_number_value(json_object_get(one, "sum"));
        sums[r.n_sums++] = s;
    }
    if (j)
        wp_node_on_ratings(h->node, wp_host_now(h), &r);
    json_decref(j);
    wp_host_run_actions(h);
}

static void log_config(WPHost *h)
{
    g_autofree char *rev = g_strdup_printf(
        "%lu", (unsigned long)wp_config_revision(wp_node_config(h->node)));
    wp_log(&h->log, WP_INFO, "config", "revision", rev, NULL);
}

static void refresh(WPHost *h)
{
    if (h->role)
        h->ops->refresh(h->role, wp_host_now(h));
}

void wp_host_run_action(WPHost *h, const WPAction *a)
{
    switch (a->kind) {
    case WP_ACT_SEND: {
        WPLink *l = wp_hub_get_link(h->hub, a->addr);
        if (l)
            wp_link_send_serialized(l, a->frame->data, a->frame->len);
        break;
    }
    case WP_ACT_READ_HEAD:
        h->kv->ops->range(h->kv, WP_KV_HEAD, NULL, on_head, new_store_read(h));
        break;
    case WP_ACT_READ_ALL:
        h->kv->ops->range(h->kv, WP_KV_CONFIG, WP_KV_CONFIG_END, on_snapshot,
                          new_store_read(h));
        break;
    case WP_ACT_WATCH:
        h->kv->ops->watch(h->kv, WP_KV_HEAD,
                          wp_config_revision(wp_node_config(h->node)) + 1,
                          false, on_watch, h);
        break;
    case WP_ACT_UNWATCH:
        h->kv->ops->unwatch(h->kv);
        break;
    case WP_ACT_READ_BOXES:
        if (!h->boxes_requested)
            wp_http_call(h->boxes, "/v1/boxes", NULL, on_boxes, NULL, h);
        h->boxes_requested = true;
        break;
    case WP_ACT_READ_RATINGS:
        if (!h->ratings_requested)
            wp_http_call(h->ratings, "/v1/sums", NULL, on_ratings, NULL, h);
        h->ratings_requested = true;
        break;
    case WP_ACT_CONFIG:
        log_config(h);
        refresh(h);
        break;
    case WP_ACT_MEMBERS:
    case WP_ACT_QUALITY:
        refresh(h);
        break;
    case WP_ACT_READY:
        wp_log(&h->log, WP_INFO, "ready", "store",
               wp_node_store_up(h->node) ? "up" : "down", NULL);
        refresh(h);
        break;
    }
}
