/* Local copy of the store's entries. */
#include "wp_mirror.h"
#include "wp_pb.h"

#include <zlib.h>

enum {
    COMPRESS_MIN_BYTES = 1024, /* bytes; shorter values are sent uncompressed */
    COMPRESS_MIN_ITEMS = 16,   /* a delta with fewer is not made one block */
    VALUE_MAX = 8 << 20,       /* bytes of a received value, uncompressed */
    DELTA_MAX = 64 << 20       /* the same of a received delta */
};

struct WPMirror {
    GHashTable *items; /* key -> WPMirrorItem */
    uint64_t complete;
    /* Changes up to `floor`, and after `gap_from` up to `gap_to`, are known
       only by their result: removals may be missing. */
    uint64_t floor, gap_from, gap_to;
    /* The last compressed delta, and the state that it was made for. */
    GBytes *block;
    uint32_t block_size;
    uint64_t block_since, block_complete, block_change;
    uint64_t change; /* number of changes stored so far */
};

static void item_free(void *p)
{
    WPMirrorItem *i = p;
    g_free(i->key);
    if (i->value)
        g_bytes_unref(i->value);
    if (i->compressed)
        g_bytes_unref(i->compressed);
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
    if (m->block)
        g_bytes_unref(m->block);
    g_free(m);
}

uint64_t wp_mirror_complete_revision(const WPMirror *m)
{
    return m->complete;
}

void wp_mirror_advance(WPMirror *m, uint64_t revision)
{
    m->complete = MAX(m->complete, revision);
}

void wp_mirror_note_copy(WPMirror *m, uint64_t from)
{
    if (from <= m->complete)
        return;
    m->floor = m->gap_to;
    m->gap_from = m->complete;
    m->gap_to = from;
}

static bool has_changes_since(const WPMirror *m, uint64_t revision)
{
    bool in_gap = revision > m->gap_from && revision < m->gap_to;
    return revision >= m->floor && !in_gap;
}

static bool has_value(const WPMirrorItem *i, const WPStr *value)
{
    gsize n;
    if (!i->value || !value)
        return !i->value && !value;
    const char *p = g_bytes_get_data(i->value, &n);
    return wp_str_eq(wp_strn(p, n), *value);
}

static WPMirrorState state_of(const WPStr *value, uint64_t revision)
{
    return (WPMirrorState){ wp_revision_number(revision),
                            value ? wp_hash(*value, 0) : 0 };
}

/* Whether what a restored store has is a state from before the known one: the
   store has lost the changes since. A state that is not on record counts as a
   new one, as the store gives out its numbers again. */
static bool is_earlier_state(const WPMirrorItem *known, WPMirrorState state)
{
    unsigned n = MIN(known->n_earlier, WP_MIRROR_EARLIER_MAX);
    for (unsigned i = 0; i < n; i++)
        if (known->earlier[i].number == state.number &&
            known->earlier[i].hash == state.hash)
            return true;
    return false;
}

/* Gives a known state of an entry another revision. */
static void renumber(WPMirror *m, WPMirrorItem *i, uint64_t revision, bool lost)
{
    i->revision = revision;
    i->lost = lost;
    m->change++;
}

/* Records the state of `had` as the latest before that of `i`. */
static void record_earlier(WPMirrorItem *i, const WPMirrorItem *had)
{
    gsize n = 0;
    const char *p = had->value ? g_bytes_get_data(had->value, &n) : NULL;
    WPStr value = wp_strn(p, n);
    memcpy(i->earlier, had->earlier, sizeof(i->earlier));
    i->earlier[had->n_earlier % WP_MIRROR_EARLIER_MAX] =
        state_of(had->value ? &value : NULL, had->revision);
    i->n_earlier = had->n_earlier + 1;
}

static void store_item(WPMirror *m, const char *key, const WPStr *value,
                       uint64_t revision, bool lapsed)
{
    const WPMirrorItem *had = g_hash_table_lookup(m->items, key);
    WPMirrorItem *i = g_new0(WPMirrorItem, 1);
    i->key = g_strdup(key);
    i->value = value ? g_bytes_new(value->p, value->n) : NULL;
    i->revision = revision;
    i->lapsed = lapsed;
    if (had)
        record_earlier(i, had);
    g_hash_table_replace(m->items, i->key, i);
    m->change++;
}

WPMirrorChange wp_mirror_put(WPMirror *m, const char *key, const WPStr *value,
                             uint64_t revision, bool lapsed)
{
    WPMirrorItem *had = g_hash_table_lookup(m->items, key);
    if (had && had->revision >= revision)
        return WP_MIRROR_OLD;
    bool restored =
        had && wp_revision_era(had->revision) < wp_revision_era(revision);
    if (had && (restored || had->lost) && has_value(had, value)) {
        renumber(m, had, revision, false);
        return WP_MIRROR_SAME;
    }
    if (restored && is_earlier_state(had, state_of(value, revision))) {
        renumber(m, had, revision, true);
        return WP_MIRROR_LOST;
    }
    store_item(m, key, value, revision, lapsed);
    return WP_MIRROR_CHANGED;
}

void wp_mirror_mark_lost(WPMirror *m, const char *key)
{
    WPMirrorItem *i = g_hash_table_lookup(m->items, key);
    if (i)
        renumber(m, i, i->revision, true);
}

unsigned wp_mirror_mark_missing(WPMirror *m, uint64_t era)
{
    unsigned n = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, m->items);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        WPMirrorItem *i = p;
        if (wp_revision_era(i->revision) >= era)
            continue;
        /* A removal that the store also lacks is not lost. */
        renumber(m, i, wp_revision(era, 0), i->value != NULL);
        n += i->lost;
    }
    return n;
}

GPtrArray *wp_mirror_lost(const WPMirror *m, const char *prefix)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, m->items);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPMirrorItem *i = p;
        if (i->lost && g_str_has_prefix(i->key, prefix))
            g_ptr_array_add(list, p);
    }
    return list;
}

const WPMirrorItem *wp_mirror_get(const WPMirror *m, const char *key)
{
    const WPMirrorItem *i = g_hash_table_lookup(m->items, key);
    return i && i->value ? i : NULL;
}

bool wp_mirror_has_prefix(const WPMirror *m, const char *prefix)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, m->items);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPMirrorItem *i = p;
        if (i->value && g_str_has_prefix(i->key, prefix))
            return true;
    }
    return false;
}

uint32_t wp_mirror_size(const WPMirror *m)
{
    return g_hash_table_size(m->items);
}

uint64_t wp_mirror_key_revision(const WPMirror *m, const char *key)
{
    const WPMirrorItem *i = g_hash_table_lookup(m->items, key);
    bool exists =
        i && (i->lost ? wp_revision_number(i->revision) > 0 : i->value != NULL);
    return exists ? i->revision : 0;
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

GPtrArray *wp_mirror_not_in(const WPMirror *m, GHashTable *keys,
                            uint64_t revision)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, m->items);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const WPMirrorItem *i = p;
        bool same_era =
            wp_revision_era(i->revision) == wp_revision_era(revision);
        if (i->value && !i->lost && same_era && i->revision <= revision &&
            !g_hash_table_contains(keys, i->key))
            g_ptr_array_add(list, p);
    }
    return list;
}

/* Returns the value compressed by zlib, or the value itself if compression
   does not make it shorter; the result is cached in the item. */
static GBytes *compressed_value(WPMirrorItem *i)
{
    gsize n;
    const void *value = g_bytes_get_data(i->value, &n);
    uLongf size = compressBound(n);
    if (i->compressed)
        return i->compressed;
    g_autofree Bytef *out = g_malloc(size);
    bool shorter = n >= COMPRESS_MIN_BYTES &&
                   compress2(out, &size, value, n, Z_BEST_SPEED) == Z_OK &&
                   size < n;
    i->compressed = shorter ? g_bytes_new(out, size) : g_bytes_ref(i->value);
    return i->compressed;
}

/* Sets the value of a wire item: as it is if `raw`, or if compression makes it
   no smaller; else compressed, with its original size. It points into `i`. */
static void fill_value(Wp__MirrorItem *w, WPMirrorItem *i, bool raw)
{
    GBytes *sent = raw ? i->value : compressed_value(i);
    gsize n;
    ProtobufCBinaryData data = { 0 };
    data.data = (uint8_t *)g_bytes_get_data(sent, &n);
    data.len = n;
    if (sent == i->value) {
        w->has_value = 1;
        w->value = data;
        return;
    }
    w->has_packed = 1;
    w->packed = data;
    w->has_size = 1;
    w->size = (uint32_t)g_bytes_get_size(i->value);
}

static Wp__MirrorItem *wire_item(const WPMirror *m, WPMirrorItem *i, bool raw)
{
    uint64_t era = wp_revision_era(i->revision);
    Wp__MirrorItem *w = g_new0(Wp__MirrorItem, 1);
    wp__mirror_item__init(w);
    w->key = i->key;
    w->revision = wp_revision_number(i->revision);
    w->has_era = era != wp_revision_era(m->complete);
    w->era = era;
    w->has_lost = w->lost = i->lost;
    w->has_removed = !i->value;
    w->removed = !i->value;
    w->has_lapsed = i->lapsed;
    w->lapsed = i->lapsed;
    if (i->value)
        fill_value(w, i, raw);
    return w;
}

GBytes *wp_mirror_item_value(const Wp__MirrorItem *item)
{
    uLongf size = item->size;
    if (item->removed || size > VALUE_MAX)
        return NULL;
    if (!item->has_packed)
        return g_bytes_new(item->value.data, item->value.len);
    Bytef *out = g_malloc(MAX(size, 1));
    if (uncompress(out, &size, item->packed.data, item->packed.len) == Z_OK)
        return g_bytes_new_take(out, size);
    g_free(out);
    return NULL;
}

/* Sets the revisions of a delta. Without an era, as on a platform that names
   none, there are no fields for eras. */
static void set_revisions(const WPMirror *m, Wp__MirrorDelta *d, uint64_t since)
{
    d->since = wp_revision_number(since);
    d->since_era = wp_revision_era(since);
    d->complete = wp_revision_number(m->complete);
    d->era = wp_revision_era(m->complete);
    d->has_era = d->has_since_era = d->era > 0;
    d->has_changes_from = !since;
    d->changes_from = wp_revision_number(m->gap_to);
    d->changes_from_era = wp_revision_era(m->gap_to);
    d->has_changes_from_era = d->has_changes_from && d->has_era;
}

static uint64_t joined(protobuf_c_boolean has_era, uint64_t era,
                       uint64_t number, uint64_t absent)
{
    /* Nothing is known of any era. */
    if (!has_era && !number)
        return 0;
    return wp_revision(has_era ? era : absent, number);
}

void wp_mirror_delta_join(Wp__MirrorDelta *d, uint64_t own_era)
{
    uint64_t era = d->has_era ? d->era : own_era;
    d->since = joined(d->has_since_era, d->since_era, d->since, own_era);
    d->complete = joined(d->has_era, d->era, d->complete, own_era);
    d->changes_from = d->has_changes_from
                          ? joined(d->has_changes_from_era, d->changes_from_era,
                                   d->changes_from, own_era)
                          : d->complete;
    for (size_t i = 0; i < d->n_items; i++) {
        Wp__MirrorItem *item = d->items[i];
        item->revision = joined(item->has_era, item->era, item->revision, era);
    }
}

void wp_mirror_digest_join(Wp__MirrorDigest *d, uint64_t own_era)
{
    d->complete = joined(d->has_era, d->era, d->complete, own_era);
}

void wp_mirror_pull_join(Wp__MirrorPull *p, uint64_t own_era)
{
    p->since = joined(p->has_era, p->era, p->since, own_era);
}

void wp_mirror_digest_set_complete(Wp__MirrorDigest *d, uint64_t revision)
{
    d->complete = wp_revision_number(revision);
    d->era = wp_revision_era(revision);
    d->has_era = d->era > 0;
}

void wp_mirror_pull_set_since(Wp__MirrorPull *p, uint64_t revision)
{
    p->since = wp_revision_number(revision);
    p->era = wp_revision_era(revision);
    p->has_era = p->era > 0;
}

/* `raw`: the values are not compressed one by one. */
static Wp__MirrorDelta *make_delta(const WPMirror *m, uint64_t since, bool raw)
{
    Wp__MirrorDelta *d = g_new0(Wp__MirrorDelta, 1);
    g_autoptr(GPtrArray) list = wp_mirror_since(m, since);
    wp__mirror_delta__init(d);
    set_revisions(m, d, since);
    d->n_items = list->len;
    d->items = g_new0(Wp__MirrorItem *, list->len + 1);
    for (guint i = 0; i < list->len; i++)
        d->items[i] = wire_item(m, g_ptr_array_index(list, i), raw);
    return d;
}

Wp__MirrorDelta *wp_mirror_delta(const WPMirror *m, uint64_t since)
{
    return make_delta(m, has_changes_since(m, since) ? since : 0, false);
}

static bool is_block_current(const WPMirror *m, uint64_t since)
{
    return m->block && m->block_since == since &&
           m->block_complete == m->complete && m->block_change == m->change;
}

/* Compresses a delta as one block and sets `size` to its uncompressed size.
   Returns NULL if it has fewer than COMPRESS_MIN_ITEMS items. */
static GBytes *compress_items(const Wp__MirrorDelta *d, uint32_t *size)
{
    if (d->n_items < COMPRESS_MIN_ITEMS)
        return NULL;
    g_autoptr(GByteArray) serialized = wp_pb_pack(&d->base);
    uLongf n = compressBound(serialized->len);
    Bytef *out = g_malloc(n);
    *size = serialized->len;
    if (compress2(out, &n, serialized->data, serialized->len, Z_BEST_SPEED) ==
        Z_OK)
        return g_bytes_new_take(out, n);
    g_free(out);
    return NULL;
}

/* Rebuilds the cached block. Entries resemble each other, so that compressing
   them together takes a fraction of the space of compressing each. */
static void rebuild_block(WPMirror *m, uint64_t since)
{
    Wp__MirrorDelta *d = make_delta(m, since, true);
    if (m->block)
        g_bytes_unref(m->block);
    m->block = compress_items(d, &m->block_size);
    m->block_since = since;
    m->block_complete = m->complete;
    m->block_change = m->change;
    wp_mirror_delta_free(d);
}

/* Returns a delta that contains the compressed block in place of items. */
static Wp__MirrorDelta *block_delta(GBytes *items, uint32_t size)
{
    Wp__MirrorDelta *d = g_new0(Wp__MirrorDelta, 1);
    gsize n;
    wp__mirror_delta__init(d);
    d->has_packed = d->has_size = 1;
    d->packed.data =
        g_memdup2(g_bytes_get_data(items, NULL), g_bytes_get_size(items));
    g_bytes_get_data(items, &n);
    d->packed.len = n;
    d->size = size;
    return d;
}

Wp__MirrorDelta *wp_mirror_delta_compressed(WPMirror *m, uint64_t since)
{
    since = has_changes_since(m, since) ? since : 0;
    if (!is_block_current(m, since))
        rebuild_block(m, since);
    if (!m->block)
        return NULL;
    Wp__MirrorDelta *d = block_delta(m->block, m->block_size);
    set_revisions(m, d, since);
    return d;
}

Wp__MirrorDelta *wp_mirror_delta_decompress(const Wp__MirrorDelta *d)
{
    uLongf size = d->size;
    if (size > DELTA_MAX)
        return NULL;
    g_autofree Bytef *out = g_malloc(MAX(size, 1));
    if (uncompress(out, &size, d->packed.data, d->packed.len) != Z_OK)
        return NULL;
    Wp__MirrorDelta *decompressed = wp__mirror_delta__unpack(NULL, size, out);
    if (decompressed) {
        decompressed->has_partial = d->has_partial;
        decompressed->partial = d->partial;
    }
    return decompressed;
}

static bool ends_with(GBytes *value, WPStr end)
{
    gsize n;
    const char *p = g_bytes_get_data(value, &n);
    return n >= end.n && wp_str_eq(wp_strn(p + n - end.n, end.n), end);
}

Wp__MirrorDelta *wp_mirror_delta_matching(const WPMirror *m, const char *prefix,
                                          const char *end)
{
    Wp__MirrorDelta *d = g_new0(Wp__MirrorDelta, 1);
    GHashTableIter it;
    gpointer p;
    wp__mirror_delta__init(d);
    d->items = g_new0(Wp__MirrorItem *, g_hash_table_size(m->items) + 1);
    g_hash_table_iter_init(&it, m->items);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        WPMirrorItem *i = p;
        if (i->value && g_str_has_prefix(i->key, prefix) &&
            ends_with(i->value, wp_str(end)))
            d->items[d->n_items++] = wire_item(m, i, true);
    }
    set_revisions(m, d, 0);
    d->complete = 0;
    uint32_t size;
    g_autoptr(GBytes) packed = compress_items(d, &size);
    if (packed) {
        wp_mirror_delta_free(d);
        d = block_delta(packed, size);
    }
    d->has_partial = d->partial = 1;
    return d;
}

void wp_mirror_delta_free(Wp__MirrorDelta *d)
{
    for (size_t i = 0; i < d->n_items; i++)
        g_free(d->items[i]);
    g_free(d->items);
    g_free(d->packed.data);
    g_free(d);
}
