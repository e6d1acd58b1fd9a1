/* Undos of changes of the configuration. */
#include "wp_undo.h"
#include "wp_pb.h"

static bool same_message(const ProtobufCMessage *a, const ProtobufCMessage *b)
{
    g_autoptr(GByteArray) x = wp_pb_pack(a);
    g_autoptr(GByteArray) y = wp_pb_pack(b);
    return x->len == y->len && !memcmp(x->data, y->data, x->len);
}

static bool same_labels(const Wp__Workspace *a, const Wp__Workspace *b)
{
    if (a->n_labels != b->n_labels)
        return false;
    for (size_t i = 0; i < a->n_labels; i++)
        if (!same_message(&a->labels[i]->base, &b->labels[i]->base))
            return false;
    return true;
}

/* Whether `r` is the same roll-out as `old` with perhaps more shares, whose
   times it keeps itself. */
static bool continues(const Wp__Rollout *old, const Wp__Rollout *r)
{
    if (strcmp(old->from, r->from) || strcmp(old->to, r->to) ||
        old->n_history > r->n_history)
        return false;
    for (size_t i = 0; i < old->n_history; i++)
        if (!same_message(&old->history[i]->base, &r->history[i]->base))
            return false;
    return true;
}

/* Whether sessions may be placed in another way with `o` in place of `old`.
   Both have the same key; NULL: there is no object. */
static bool moves_sessions(const Wp__Object *old, const Wp__Object *o)
{
    const Wp__Object *any = old ? old : o;
    if (!any || any->spec_case == WP__OBJECT__SPEC_SESSION_KEY)
        return false;
    if (!old || !o || old->spec_case != o->spec_case)
        return true;
    switch (o->spec_case) {
    case WP__OBJECT__SPEC_WORKSPACE:
        return !same_labels(old->workspace, o->workspace);
    case WP__OBJECT__SPEC_ROLLOUT:
        return !continues(old->rollout, o->rollout);
    default:
        return !same_message(&old->base, &o->base);
    }
}

/* Returns the operation that takes back `op`, or NULL if sessions are placed in
   the same way after it. */
static Wp__Op *undo_op(const WPConfig *c, const Wp__Op *op)
{
    const Wp__Object *old = wp_config_get(c, op->key);
    Wp__Object *o = NULL;
    if (op->has_value)
        o = wp__object__unpack(NULL, op->value.len, op->value.data);
    bool moves = moves_sessions(old, o);
    wp_pb_free(o);
    if (!moves)
        return NULL;
    return old ? wp_op_put(old) : wp_op_delete(op->key);
}

Wp__Undo *wp_undo_of_delta(const WPConfig *c, const Wp__Delta *d)
{
    if (!d->has_effective_ms)
        return NULL;
    GPtrArray *ops = g_ptr_array_new();
    for (size_t i = 0; i < d->n_ops; i++) {
        Wp__Op *op = undo_op(c, d->ops[i]);
        if (op)
            g_ptr_array_add(ops, op);
    }
    if (!ops->len) {
        wp_ops_free(ops);
        return NULL;
    }
    Wp__Undo *u = calloc(1, sizeof(*u));
    g_assert(u);
    wp__undo__init(u);
    u->revision = wp_config_revision(c);
    u->effective_ms = d->effective_ms;
    u->n_ops = ops->len;
    u->ops = (Wp__Op **)g_ptr_array_free(ops, FALSE);
    return u;
}
