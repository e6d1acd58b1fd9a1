/* Fault injection for scenarios. */
#include "wp_fault.h"

typedef struct Faulty {
    WPKv kv; /* must be the first member */
    WPKv *real;
    const WPFault *fault;
} Faulty;

void wp_fault_end(WPFault *f)
{
    g_strfreev(f->peers);
    memset(f, 0, sizeof(*f));
}

void wp_fault_set(WPFault *f, const json_t *j)
{
    const json_t *peers = json_object_get(j, "peers");
    size_t n = json_array_size(peers);
    wp_fault_end(f);
    f->peers = g_new0(char *, n + 1);
    for (size_t i = 0; i < n; i++)
        f->peers[i] = g_strdup(json_string_value(json_array_get(peers, i)));
    f->in = json_is_true(json_object_get(j, "in"));
    f->out = json_is_true(json_object_get(j, "out"));
    f->store = json_is_true(json_object_get(j, "store"));
}

bool wp_fault_blocks(const WPFault *f, const WPLink *l, bool outwards)
{
    if (!f->peers || !(outwards ? f->out : f->in))
        return false;
    if (g_strv_contains((const char *const *)f->peers, "*"))
        return true;
    return l->peer && g_strv_contains((const char *const *)f->peers, l->peer);
}

static void fail(WPKvResultFn done, void *arg)
{
    WPKvResult none = { 0 };
    done(arg, &none);
}

static void faulty_range(WPKv *kv, const char *key, const char *end,
                         WPKvResultFn done, void *arg)
{
    Faulty *f = (Faulty *)kv;
    if (f->fault->store)
        fail(done, arg);
    else
        f->real->ops->range(f->real, key, end, done, arg);
}

static void faulty_txn(WPKv *kv, const WPKvCompare *compares, size_t n_compares,
                       const WPKvOp *ops, size_t n_ops, WPKvResultFn done,
                       void *arg)
{
    Faulty *f = (Faulty *)kv;
    if (f->fault->store)
        fail(done, arg);
    else
        f->real->ops->txn(f->real, compares, n_compares, ops, n_ops, done, arg);
}

static void faulty_watch(WPKv *kv, const char *key, uint64_t from,
                         bool immediate, WPKvWatchFn event, void *arg)
{
    Faulty *f = (Faulty *)kv;
    if (f->fault->store)
        event(arg, WP_KV_WATCH_LOST, NULL);
    else
        f->real->ops->watch(f->real, key, from, immediate, event, arg);
}

static void faulty_unwatch(WPKv *kv)
{
    Faulty *f = (Faulty *)kv;
    f->real->ops->unwatch(f->real);
}

static void faulty_free(WPKv *kv)
{
    Faulty *f = (Faulty *)kv;
    f->real->ops->free(f->real);
    g_free(f);
}

static const WPKvOps ops = { faulty_range, faulty_txn, faulty_watch,
                             faulty_unwatch, faulty_free };

WPKv *wp_kv_faulty(WPKv *kv, const WPFault *f)
{
    Faulty *faulty = g_new0(Faulty, 1);
    faulty->kv.ops = &ops;
    faulty->real = kv;
    faulty->fault = f;
    return &faulty->kv;
}
