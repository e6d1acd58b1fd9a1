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
