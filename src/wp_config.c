/* Configuration objects, deltas and full copies. */
#include "wp_config.h"
#include "wp_pb.h"
#include "wp_undo.h"

struct WPConfig {
    uint64_t revision;
    GTree *objects;   /* key -> Wp__Object */
    GQueue history;   /* of HistoryEntry, oldest first */
    GPtrArray *undos; /* of Wp__Undo, oldest first */
};

typedef struct HistoryEntry {
    uint64_t prev, revision;
    GBytes *serialized;
} HistoryEntry;

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer arg)
{
    (void)arg;
    return strcmp(a, b);
}

static void free_history_entry(gpointer p)
{
    HistoryEntry *entry = p;
    g_bytes_unref(entry->serialized);
    g_free(entry);
}

WPConfig *wp_config_new(void)
{
    WPConfig *c = g_new0(WPConfig, 1);
    c->objects = g_tree_new_full(compare_keys, NULL, g_free, wp_pb_free);
    g_queue_init(&c->history);
    c->undos = g_ptr_array_new_with_free_func(wp_pb_free);
    return c;
}

void wp_config_free(WPConfig *c)
{
    if (!c)
        return;
    g_tree_unref(c->objects);
    g_queue_clear_full(&c->history, free_history_entry);
    g_ptr_array_unref(c->undos);
    g_free(c);
}

uint64_t wp_config_revision(const WPConfig *c)
{
    return c->revision;
}

/* Decodes all values before any is stored, so that an invalid change is not
   applied in part. */
static bool decode_ops(Wp__Op **ops, size_t n, Wp__Object **out)
{
    for (size_t i = 0; i < n; i++) {
        if (!ops[i]->has_value)
            continue;
        out[i] =
            wp__object__unpack(NULL, ops[i]->value.len, ops[i]->value.data);
        if (!out[i] || out[i]->spec_case == WP__OBJECT__SPEC__NOT_SET) {
            for (size_t k = 0; k <= i; k++)
                wp_pb_free(out[k]);
            return false;
        }
    }
    return true;
}

static bool store_ops(WPConfig *c, Wp__Op **ops, size_t n)
{
    g_autofree Wp__Object **objects = g_new0(Wp__Object *, n + 1);
    if (!decode_ops(ops, n, objects))
        return false;
    for (size_t i = 0; i < n; i++) {
        if (objects[i])
            g_tree_replace(c->objects, g_strdup(ops[i]->key), objects[i]);
        else
            g_tree_remove(c->objects, ops[i]->key);
    }
    return true;
}

static void append_history(WPConfig *c, const Wp__Delta *d)
{
    GByteArray *b = wp_pb_pack(&d->base);
    HistoryEntry *entry = g_new0(HistoryEntry, 1);
    entry->prev = d->prev;
    entry->revision = d->revision;
    entry->serialized = g_byte_array_free_to_bytes(b);
    g_queue_push_tail(&c->history, entry);
    if (c->history.length > WP_CONFIG_HISTORY)
        free_history_entry(g_queue_pop_head(&c->history));
}

unsigned wp_config_undos(const WPConfig *c)
{
    return c->undos->len;
}

const Wp__Undo *wp_config_undo_at(const WPConfig *c, unsigned i)
{
    return c->undos->pdata[i];
}

unsigned wp_config_undos_dropped(const WPConfig *c, uint64_t effective_ms)
{
    unsigned n = 0;
    while (n < MIN(c->undos->len, WP_UNDO_DROP_MAX)) {
        const Wp__Undo *u = c->undos->pdata[n];
        if (c->undos->len - n < WP_UNDO_MAX &&
            u->effective_ms + WP_UNDO_KEEP_MS >= effective_ms)
            break;
        n++;
    }
    return n;
}

/* Records a change that has been applied; takes over `u`. */
static void add_undo(WPConfig *c, Wp__Undo *u)
{
    unsigned dropped = wp_config_undos_dropped(c, u->effective_ms);
    if (dropped)
        g_ptr_array_remove_range(c->undos, 0, dropped);
    g_ptr_array_add(c->undos, u);
}

static gboolean copy_object(gpointer key, gpointer value, gpointer arg)
{
    const Wp__Object *o = value;
    WPConfig *copy = arg;
    g_tree_replace(copy->objects, g_strdup(key), wp_pb_copy(&o->base));
    return FALSE;
}

WPConfig *wp_config_copy(const WPConfig *c)
{
    WPConfig *copy = wp_config_new();
    g_tree_foreach(c->objects, copy_object, copy);
    copy->revision = c->revision;
    return copy;
}

void wp_config_take_back(WPConfig *c, const Wp__Undo *u)
{
    store_ops(c, u->ops, u->n_ops);
    c->revision = u->revision;
}

WPApplyResult wp_config_apply(WPConfig *c, const Wp__Delta *d)
{
    if (d->revision <= c->revision)
        return WP_APPLY_STALE;
    if (d->prev != c->revision)
        return WP_APPLY_GAP;
    Wp__Undo *undo = wp_undo_of_delta(c, d);
    if (!store_ops(c, d->ops, d->n_ops)) {
        wp_pb_free(undo);
        return WP_APPLY_BAD;
    }
    if (undo)
        add_undo(c, undo);
    c->revision = d->revision;
    append_history(c, d);
    return WP_APPLY_DONE;
}

WPApplyResult wp_config_apply_snapshot(WPConfig *c, const Wp__Snapshot *s)
{
    if (s->revision <= c->revision)
        return WP_APPLY_STALE;
    GTree *old = c->objects;
    c->objects = g_tree_new_full(compare_keys, NULL, g_free, wp_pb_free);
    if (!store_ops(c, s->ops, s->n_ops)) {
        g_tree_unref(c->objects);
        c->objects = old;
        return WP_APPLY_BAD;
    }
    g_tree_unref(old);
    g_queue_clear_full(&c->history, free_history_entry);
    g_ptr_array_set_size(c->undos, 0);
    for (size_t i = 0; i < s->n_undo; i++)
        g_ptr_array_add(c->undos, wp_pb_copy(&s->undo[i]->base));
    c->revision = s->revision;
    return WP_APPLY_DONE;
}

static gboolean add_op(gpointer key, gpointer value, gpointer arg)
{
    (void)key;
    g_ptr_array_add(arg, wp_op_put(value));
    return FALSE;
}

Wp__Snapshot *wp_config_snapshot(const WPConfig *c)
{
    Wp__Snapshot *s = calloc(1, sizeof(*s));
    g_assert(s);
    GPtrArray *ops = g_ptr_array_new();
    wp__snapshot__init(s);
    s->revision = c->revision;
    g_tree_foreach(c->objects, add_op, ops);
    s->n_ops = ops->len;
    s->ops = (Wp__Op **)g_ptr_array_free(ops, FALSE);
    s->n_undo = c->undos->len;
    s->undo = g_new0(Wp__Undo *, s->n_undo + 1);
    for (size_t i = 0; i < s->n_undo; i++)
        s->undo[i] = wp_pb_copy(c->undos->pdata[i]);
    return s;
}

GPtrArray *wp_config_deltas_since(const WPConfig *c, uint64_t have)
{
    GPtrArray *out = NULL;
    for (GList *l = c->history.head; l; l = l->next) {
        const HistoryEntry *entry = l->data;
        if (!out && entry->prev == have)
            out = g_ptr_array_new();
        if (out)
            g_ptr_array_add(out, entry->serialized);
    }
    return out;
}

const Wp__Object *wp_config_get(const WPConfig *c, const char *key)
{
    return g_tree_lookup(c->objects, key);
}

typedef struct Each {
    void (*fn)(void *, const char *, const Wp__Object *);
    void *arg;
} Each;

static gboolean call_each(gpointer key, gpointer value, gpointer arg)
{
    const Each *e = arg;
    e->fn(e->arg, key, value);
    return FALSE;
}

void wp_config_each(const WPConfig *c,
                    void (*fn)(void *, const char *, const Wp__Object *),
                    void *arg)
{
    Each e = { fn, arg };
    g_tree_foreach(c->objects, call_each, &e);
}

/* The first field of every spec's message is its name. */
char *wp_object_key(const Wp__Object *o)
{
    for (unsigned i = 0; i < o->base.descriptor->n_fields; i++) {
        const ProtobufCFieldDescriptor *f = &o->base.descriptor->fields[i];
        if (f->id != o->spec_case)
            continue;
        const ProtobufCMessage *m = *(ProtobufCMessage **)WP_FIELD(o, f);
        const char *name = *(char **)WP_FIELD(m, &m->descriptor->fields[0]);
        return g_strdup_printf("%s/%s", f->name, name);
    }
    return NULL;
}

Wp__Op *wp_op_put(const Wp__Object *o)
{
    Wp__Op *op = calloc(1, sizeof(*op));
    g_assert(op);
    GByteArray *b = wp_pb_pack(&o->base);
    wp__op__init(op);
    op->key = wp_object_key(o);
    op->has_value = 1;
    op->value.len = b->len;
    op->value.data = g_byte_array_free(b, FALSE);
    return op;
}

Wp__Op *wp_op_delete(const char *key)
{
    Wp__Op *op = calloc(1, sizeof(*op));
    g_assert(op);
    wp__op__init(op);
    op->key = g_strdup(key);
    return op;
}

void wp_ops_free(GPtrArray *ops)
{
    g_ptr_array_set_free_func(ops, wp_pb_free);
    g_ptr_array_unref(ops);
}

#define ADD(field, member, kind)                                               \
    for (size_t i = 0; i < r->n_##field; i++) {                                \
        Wp__Object o = WP__OBJECT__INIT;                                       \
        o.spec_case = WP__OBJECT__SPEC_##kind;                                 \
        o.member = r->field[i];                                                \
        g_ptr_array_add(ops, wp_op_put(&o));                                   \
    }

GPtrArray *wp_rules_to_ops(const Wp__Rules *r)
{
    GPtrArray *ops = g_ptr_array_new();
    ADD(models, model, MODEL)
    ADD(versions, version, VERSION)
    ADD(kinds, kind, KIND)
    ADD(workspaces, workspace, WORKSPACE)
    ADD(rules, rule, RULE)
    ADD(selectors, selector, SELECTOR)
    ADD(session_keys, session_key, SESSION_KEY)
    ADD(rollouts, rollout, ROLLOUT)
    return ops;
}
