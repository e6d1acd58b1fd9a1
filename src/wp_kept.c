/* Prompt parts that an engine keeps, least recently used out first. */
#include "wp_kept.h"

enum { PARTS_MOST = 1024 /* of one engine: 64 bytes each */ };

/* A belief that has not been confirmed by a request for so long is dropped. */
#define LASTS_US (60 * WP_US_PER_S)

/* Running requests take the rest of the memory. */
#define ROOM_PART 0.7

typedef struct Part {
    WPList node; /* oldest use first */
    uint64_t key;
    uint32_t tokens;
    int64_t used_us;
} Part;

struct WPKept {
    GHashTable *parts; /* key -> Part */
    WPList by_use;
    uint64_t tokens, room;
};

WPKept *wp_kept_new(void)
{
    WPKept *k = g_new0(WPKept, 1);
    k->parts = g_hash_table_new(g_int64_hash, g_int64_equal);
    wp_list_init(&k->by_use);
    return k;
}

static void drop(WPKept *k, Part *p)
{
    k->tokens -= p->tokens;
    g_hash_table_remove(k->parts, &p->key);
    wp_list_remove(&p->node);
    g_free(p);
}

void wp_kept_free(WPKept *k)
{
    if (!k)
        return;
    wp_list_each_safe (it, tmp, &k->by_use)
        drop(k, wp_list_item(it, Part, node));
    g_hash_table_unref(k->parts);
    g_free(k);
}

void wp_kept_room(WPKept *k, uint64_t tokens)
{
    k->room = (uint64_t)((double)tokens * ROOM_PART);
}

uint64_t wp_kept_key(uint64_t model, uint64_t prefix)
{
    return prefix ^ model;
}

static void make_room(WPKept *k)
{
    while (!wp_list_empty(&k->by_use) &&
           (g_hash_table_size(k->parts) > PARTS_MOST ||
            (k->room && k->tokens > k->room)))
        drop(k, wp_list_item(k->by_use.next, Part, node));
}

static void note(WPKept *k, WPTime now, uint64_t key, uint32_t tokens)
{
    Part *p = g_hash_table_lookup(k->parts, &key);
    if (!p) {
        p = g_new0(Part, 1);
        p->key = key;
        wp_list_init(&p->node);
        g_hash_table_insert(k->parts, &p->key, p);
    }
    k->tokens += tokens;
    k->tokens -= p->tokens;
    p->tokens = tokens;
    p->used_us = now.mono_us;
    wp_list_remove(&p->node);
    wp_list_append(&k->by_use, &p->node);
}

void wp_kept_read(WPKept *k, WPTime now, uint64_t model, const WPPrompt *prompt)
{
    /* From the last to the first, so that no part goes before those that need
       it. */
    for (unsigned i = prompt->n; i-- > 0;) {
        const WPPart *p = &prompt->parts[i];
        uint32_t from = i ? p[-1].end : 0;
        note(k, now, wp_kept_key(model, p->prefix), p->end - from);
    }
    make_room(k);
}

void wp_kept_hear(WPKept *k, WPTime now, uint64_t key, uint32_t tokens)
{
    note(k, now, key, tokens);
    make_room(k);
}

uint32_t wp_kept_tokens(const WPKept *k, WPTime now, uint64_t model,
                        const WPPrompt *prompt)
{
    for (unsigned i = prompt->n; i-- > 0;) {
        uint64_t key = wp_kept_key(model, prompt->parts[i].prefix);
        const Part *p = g_hash_table_lookup(k->parts, &key);
        if (p && now.mono_us - p->used_us <= LASTS_US)
            return prompt->parts[i].end;
    }
    return 0;
}

unsigned wp_kept_size(const WPKept *k)
{
    return g_hash_table_size(k->parts);
}
