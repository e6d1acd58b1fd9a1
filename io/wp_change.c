/* Writes changes of the configuration to the store. */
#include "wp_change.h"
#include "wp_pb.h"

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

void wp_change_write(WPKv *kv, uint64_t read_revision, const char *change_id,
                     const char *author, const GPtrArray *ops,
                     WPChangeDone done, void *arg)
{
    Change *c = g_new0(Change, 1);
    Wp__Delta d = WP__DELTA__INIT;
    WPKvCompare head = { WP_KV_HEAD, read_revision };
    g_autofree WPKvOp *puts = g_new0(WPKvOp, ops->len + 1);
    c->kv = kv;
    c->id = g_strdup(change_id);
    c->done = done;
    c->arg = arg;
    d.prev = read_revision;
    d.change_id = (char *)change_id;
    d.author = (char *)author;
    d.n_ops = ops->len;
    d.ops = (Wp__Op **)ops->pdata;
    g_autoptr(GByteArray) serialized = wp_pb_pack(&d.base);
    for (guint i = 0; i < ops->len; i++) {
        const Wp__Op *op = ops->pdata[i];
        puts[i].key = g_strconcat(WP_KV_OBJECTS, op->key, NULL);
        puts[i].value = wp_strn((const char *)op->value.data, op->value.len);
        puts[i].remove = !op->has_value;
    }
    puts[ops->len].key = WP_KV_HEAD;
    puts[ops->len].value =
        wp_strn((const char *)serialized->data, serialized->len);
    kv->ops->txn(kv, &head, 1, puts, ops->len + 1, on_written, c);
    for (guint i = 0; i < ops->len; i++)
        g_free((gpointer)puts[i].key);
}
