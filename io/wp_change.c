/* Writes changes of the configuration to the store. */
#include "wp_change.h"
#include "wp_pb.h"
#include "wp_undo.h"

enum { HEAD_READ_TRIES = 3 };

typedef struct Change {
    WPKv *kv;
    char *id;
    WPChangeDone done;
    void *arg;
    unsigned tries;
} Change;

static void finish(Change *c, WPChangeResult result, uint64_t revision,
                   const char *author)
{
    c->done(c->arg, result, revision, author);
    g_free(c->id);
    g_free(c);
}

/* Completes the change with the outcome that the head shows: accepted if the
   head carries the id of this change, otherwise a conflict with the change
   whose author it names. */
static void resolve_by_head(Change *c, const WPKvItem *head)
{
    Wp__Delta *d = head ? wp__delta__unpack(NULL, head->value.n,
                                            (const uint8_t *)head->value.p)
                        : NULL;
    bool is_own = d && !strcmp(d->change_id, c->id);
    uint64_t revision = head ? head->mod_revision : 0;
    g_autofree char *author = g_strdup(d && d->author ? d->author : "?");
    wp_pb_free(d);
    finish(c, is_own ? WP_CHANGE_ACCEPTED : WP_CHANGE_CONFLICT, revision,
           author);
}

static void on_head_read(void *arg, const WPKvResult *r)
{
    Change *c = arg;
    if (r->ok)
        resolve_by_head(c, r->n_items ? r->items : NULL);
    else if (++c->tries < HEAD_READ_TRIES)
        c->kv->ops->range(c->kv, WP_KV_HEAD, NULL, on_head_read, c);
    else
        finish(c, WP_CHANGE_UNKNOWN, 0, NULL);
}

static void on_written(void *arg, const WPKvResult *r)
{
    Change *c = arg;
    if (!r->ok)
        c->kv->ops->range(c->kv, WP_KV_HEAD, NULL, on_head_read, c);
    else if (r->succeeded)
        finish(c, WP_CHANGE_ACCEPTED, r->revision, NULL);
    else
        resolve_by_head(c, r->n_items ? r->items : NULL);
}

Wp__Delta *wp_change_new(const WPConfig *base, const GPtrArray *ops,
                         const char *change_id, const char *author, WPTime now)
{
    Wp__Delta *d = g_new0(Wp__Delta, 1);
    wp__delta__init(d);
    d->prev = wp_config_revision(base);
    d->change_id = (char *)change_id;
    d->author = (char *)author;
    d->n_ops = ops->len;
    d->ops = (Wp__Op **)ops->pdata;
    d->has_effective_ms = d->prev > 0;
    d->effective_ms = (uint64_t)now.wall_ms + WP_CHANGE_ACTIVATION_DELAY_MS;
    return d;
}

static WPKvOp *add_put(GArray *puts, char *key, const uint8_t *value, size_t n)
{
    WPKvOp op = { .key = key, .value = wp_strn((const char *)value, n) };
    g_array_append_val(puts, op);
    return &g_array_index(puts, WPKvOp, puts->len - 1);
}

/* Revisions in fixed width, so that the store lists the undos in their order.
 */
static char *undo_key(uint64_t revision)
{
    return g_strdup_printf(WP_KV_UNDO "%020lu", (unsigned long)revision);
}

/* Adds the write of the change's undo, which is returned packed, and removes
   the undos that are dropped for it. Returns NULL if the change has none. */
static GByteArray *add_undo(GArray *puts, const WPConfig *base,
                            const Wp__Delta *d)
{
    Wp__Undo *u = wp_undo_of_delta(base, d);
    if (!u)
        return NULL;
    GByteArray *packed = wp_pb_pack(&u->base);
    unsigned dropped = wp_config_undos_dropped(base, u->effective_ms);
    add_put(puts, undo_key(u->revision), packed->data, packed->len);
    for (unsigned i = 0; i < dropped; i++)
        add_put(puts, undo_key(wp_config_undo_at(base, i)->revision), NULL, 0)
            ->remove = true;
    wp_pb_free(u);
    return packed;
}

static void clear_put(gpointer p)
{
    WPKvOp *op = p;
    g_free((gpointer)op->key);
}

void wp_change_write(WPKv *kv, const WPConfig *base, const Wp__Delta *d,
                     WPChangeDone done, void *arg)
{
    Change *c = g_new0(Change, 1);
    WPKvCompare head = { WP_KV_HEAD, d->prev };
    g_autoptr(GArray) puts = g_array_new(FALSE, TRUE, sizeof(WPKvOp));
    g_array_set_clear_func(puts, clear_put);
    c->kv = kv;
    c->id = g_strdup(d->change_id);
    c->done = done;
    c->arg = arg;
    for (size_t i = 0; i < d->n_ops; i++) {
        const Wp__Op *op = d->ops[i];
        add_put(puts, g_strconcat(WP_KV_OBJECTS, op->key, NULL), op->value.data,
                op->value.len)
            ->remove = !op->has_value;
    }
    g_autoptr(GByteArray) undo = add_undo(puts, base, d);
    g_autoptr(GByteArray) packed = wp_pb_pack(&d->base);
    add_put(puts, g_strdup(WP_KV_HEAD), packed->data, packed->len);
    (void)undo;
    kv->ops->txn(kv, &head, 1, (const WPKvOp *)puts->data, puts->len,
                 on_written, c);
}
