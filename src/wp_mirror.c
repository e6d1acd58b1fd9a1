/* The copy of the store's entries. */
#include "wp_mirror.h"

struct WPMirror {
    GHashTable *items; /* key -> WPMirrorItem */
    uint64_t complete;
};

static void item_free(void *p)
{
    WPMirrorItem *i = p;
    g_free(i->key);
    if (i->value)
        g_bytes_unref(i->value);
    g_free(i);
}

WPMirror *wp_mirror_new(void)
{
    WPMirror *m = g_new0(WPMirror, 1);
    m->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
    return m;
}

void wp_mirror_free(WPMirror *m)
{
    if (!m)
        return;
    g_hash_table_unref(m->items);
    g_free(m);
}

uint64_t wp_mirror_complete(const WPMirror *m)
{
    return m->complete;
}

void wp_mirror_advance(WPMirror *m, uint64_t revision)
{
    m->complete = MAX(m->complete, revision);
}

bool wp_mirror_put(WPMirror *m, const char *key, const WPStr *value,
                   uint64_t revision, bool lapsed)
{
    const WPMirrorItem *had = g_hash_table_lookup(m->items, key);
    if (had && had->revision >= revision)
        return false;
    WPMirrorItem *i = g_new0(WPMirrorItem, 1);
    i->key = g_strdup(key);
    i->value = value ? g_bytes_new(value->p, value->n) : NULL;
    i->revision = revision;
    i->lapsed = lapsed;
    g_hash_table_replace(m->items, i->key, i);
    return true;
}

const WPMirrorItem *wp_mirror_get(const WPMirror *m, const char *key)
{
    const WPMirrorItem *i = g_hash_table_lookup(m->items, key);
    return i && i->value ? i : NULL;
}

uint64_t wp_mirror_revision(const WPMirror *m, const char *key)
{
    const WPMirrorItem *i = wp_mirror_get(m, key);
    return i ? i->revision : 0;
}

static gint by_revision(gconstpointer a, gconstpointer b)
{
    const WPMirrorItem *x = *(WPMirrorItem *const *)a;
    const WPMirrorItem *y = *(WPMirrorItem *const *)b;
    if (x->revision != y->revision)
        return x->revision < y->revision ? -1 : 1;
    return strcmp(x->key, y->key);
}

GPtrArray *wp_mirror_since(const WPMirror *m, uint64_t revision)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, m->items);
    while (g_hash_table_iter_next(&it, NULL, &p))
        if (((WPMirrorItem *)p)->revision > revision)
            g_ptr_array_add(list, p);
    g_ptr_array_sort(list, by_revision);
    return list;
}

GPtrArray *wp_mirror_lacking(const WPMirror *m, GHashTable *keys,
                             uint64_t revision)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, m->items);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPMirrorItem *i = p;
        if (i->value && i->revision <= revision &&
            !g_hash_table_contains(keys, i->key))
            g_ptr_array_add(list, p);
    }
    return list;
}

static Wp__MirrorItem *wire_item(const WPMirrorItem *i)
{
    Wp__MirrorItem *w = g_new0(Wp__MirrorItem, 1);
    gsize n = 0;
    wp__mirror_item__init(w);
    w->key = i->key;
    w->revision = i->revision;
    w->has_removed = !i->value;
    w->removed = !i->value;
    w->has_lapsed = i->lapsed;
    w->lapsed = i->lapsed;
    w->has_value = i->value != NULL;
    if (i->value) {
        w->value.data = (uint8_t *)g_bytes_get_data(i->value, &n);
        w->value.len = n;
    }
    return w;
}

Wp__MirrorDelta *wp_mirror_delta(const WPMirror *m, uint64_t since)
{
    Wp__MirrorDelta *d = g_new0(Wp__MirrorDelta, 1);
    g_autoptr(GPtrArray) list = wp_mirror_since(m, since);
    wp__mirror_delta__init(d);
    d->since = since;
    d->complete = m->complete;
    d->n_items = list->len;
    d->items = g_new0(Wp__MirrorItem *, list->len + 1);
    for (guint i = 0; i < list->len; i++)
        d->items[i] = wire_item(g_ptr_array_index(list, i));
    return d;
}

void wp_mirror_delta_free(Wp__MirrorDelta *d)
{
    for (size_t i = 0; i < d->n_items; i++)
        g_free(d->items[i]);
    g_free(d->items);
    g_free(d);
}
