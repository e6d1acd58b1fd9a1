/* What the clients of key-value stores share. */
#include "wp_kv.h"
#include "wp_pb.h"

#include <stdlib.h>

static Wp__Op *new_op(WPStr key, WPStr value)
{
    Wp__Op *op = g_new0(Wp__Op, 1);
    wp__op__init(op);
    op->key = g_strndup(key.p, key.n);
    op->has_value = 1;
    op->value.len = value.n;
    op->value.data = g_memdup2(value.p, value.n);
    return op;
}

void wp_kv_items_init(WPKvItems *v)
{
    v->list = g_array_new(FALSE, FALSE, sizeof(WPKvItem));
    v->owned = g_ptr_array_new_with_free_func(g_free);
    v->skipped = 0;
}

void wp_kv_items_end(WPKvItems *v)
{
    g_array_unref(v->list);
    g_ptr_array_unref(v->owned);
}

typedef struct Load {
    WPKv *kv;
    WPKvItems *items;
} Load;

static void skip_item(WPKv *kv, WPKvItems *v, WPStr what, const char *why)
{
    g_autofree char *text = g_strndup(what.p, what.n);
    v->skipped++;
    for (size_t i = 0; i < what.n; i++)
        text[i] = what.p[i] ? what.p[i] : '?';
    if (kv->bad_item)
        kv->bad_item(kv->bad_item_arg, text, why);
}

static void on_bad_element(void *arg, WPStr start, const char *why)
{
    Load *l = arg;
    skip_item(l->kv, l->items, start, why);
}

json_t *wp_kv_load(WPKv *kv, WPKvItems *v, WPStr text, const char *list)
{
    Load l = { kv, v };
    return wp_json_load_list(text, list, on_bad_element, &l);
}

void wp_kv_items_add(WPKv *kv, WPKvItems *v, const WPKvItem *item)
{
    g_ptr_array_add(v->owned, (gpointer)item->key.p);
    g_ptr_array_add(v->owned, (gpointer)item->value.p);
    if (!item->key.n || memchr(item->key.p, '\0', item->key.n))
        skip_item(kv, v, item->key, "the key is empty or has a NUL byte");
    else if (!wp_revision_number(item->mod_revision))
        skip_item(kv, v, item->key, "it has no revision");
    else
        g_array_append_val(v->list, *item);
}

void wp_kv_items_result(const WPKvItems *v, WPKvResult *out)
{
    out->items = (const WPKvItem *)(void *)v->list->data;
    out->n_items = v->list->len;
}

bool wp_kv_note_last(GString *last, const json_t *list, const char *name)
{
    for (size_t i = json_array_size(list); i--;) {
        WPStr key =
            wp_json_bytes(json_object_get(json_array_get(list, i), name));
        if (!key.n)
            continue;
        bool same = wp_str_eq(key, wp_strn(last->str, last->len));
        g_string_truncate(last, 0);
        g_string_append_len(last, key.p, (gssize)key.n);
        return !same;
    }
    return false;
}

char *wp_kv_escape(const GString *key)
{
    /* glib takes a NUL byte for one of the characters to leave as they are. */
    bool has_nul = strlen(key->str) != key->len;
    return g_uri_escape_bytes((const guint8 *)key->str, key->len,
                              has_nul ? NULL : "/");
}

WPStr wp_kv_copy(const json_t *j)
{
    WPStr bytes = wp_json_bytes(j);
    char *copy = g_malloc(bytes.n + 1);
    memcpy(copy, bytes.p, bytes.n);
    copy[bytes.n] = '\0';
    return wp_strn(copy, bytes.n);
}

WPStr wp_kv_decode_base64(const json_t *j)
{
    const char *text = json_string_value(j);
    gsize n = 0;
    guchar *p = g_base64_decode(text ? text : "", &n);
    p = g_realloc(p, n + 1);
    p[n] = '\0';
    return wp_strn((const char *)p, n);
}

bool wp_kv_observe_era(WPKv *kv, const char *text)
{
    WPStoreEraChange change = wp_store_era_observe(&kv->era, text);
    if (change != WP_STORE_ERA_SAME && kv->era_changed)
        kv->era_changed(kv->era_arg, change, text);
    return change != WP_STORE_ERA_LATE;
}

/* Removes the prefix from the key; returns false if it does not have it. */
static bool skip_prefix(WPStr *key, const char *prefix)
{
    size_t n = strlen(prefix);
    if (key->n <= n || memcmp(key->p, prefix, n))
        return false;
    *key = wp_strn(key->p + n, key->n - n);
    return true;
}

Wp__Snapshot *wp_kv_snapshot(const WPKvResult *r)
{
    Wp__Snapshot *s = g_new0(Wp__Snapshot, 1);
    wp__snapshot__init(s);
    s->ops = g_new0(Wp__Op *, r->n_items + 1);
    s->undo = g_new0(Wp__Undo *, r->n_items + 1);
    for (size_t i = 0; i < r->n_items; i++) {
        const WPKvItem *item = &r->items[i];
        WPStr rest = item->key;
        if (wp_str_eq(item->key, wp_str(WP_KV_HEAD)))
            s->revision = item->mod_revision;
        if (skip_prefix(&rest, WP_KV_OBJECTS)) {
            s->ops[s->n_ops++] = new_op(rest, item->value);
        } else if (skip_prefix(&rest, WP_KV_UNDO)) {
            s->undo[s->n_undo] = wp__undo__unpack(
                NULL, item->value.n, (const uint8_t *)item->value.p);
            s->n_undo += s->undo[s->n_undo] != NULL;
        }
    }
    return s;
}
