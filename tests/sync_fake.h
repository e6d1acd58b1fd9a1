/* Fixture for tests of a box's copy of the store: a direct-mode host whose
 * store is a fake. The fake records each call; the test delivers the
 * answers. */
#ifndef SYNC_FAKE_H
#define SYNC_FAKE_H

#include "direct_fake.h"
#include "free_port.h"
#include "wp_clock.h"
#include "wp_sync_int.h"

enum { BATCH_MAX = 32 };

typedef struct Store {
    WPKv kv;
    unsigned ranges, watches, immediate_watches, txns;
    size_t written;
    char *key; /* key of the last value written */
    GByteArray *value;
    uint64_t from; /* first revision of the last watch */
    WPKvResultFn range_done, txn_done;
    void *range_arg, *txn_arg;
    WPKvWatchFn event;
    void *event_arg;
} Store;

/* The store of the box under test. */
static Store store;

static void on_range(WPKv *kv, const char *key, const char *end,
                     WPKvResultFn done, void *arg)
{
    Store *s = (Store *)kv;
    (void)key;
    (void)end;
    s->ranges++;
    s->range_done = done;
    s->range_arg = arg;
}

static void on_txn(WPKv *kv, const WPKvCompare *compares, size_t n_compares,
                   const WPKvOp *ops, size_t n_ops, WPKvResultFn done,
                   void *arg)
{
    Store *s = (Store *)kv;
    (void)compares;
    s->txns++;
    assert_true(n_compares + n_ops <= BATCH_MAX);
    g_free(s->key);
    s->key = g_strdup(ops[n_ops - 1].key);
    g_byte_array_set_size(s->value, 0);
    g_byte_array_append(s->value, (const guint8 *)ops[n_ops - 1].value.p,
                        (guint)ops[n_ops - 1].value.n);
    s->written += n_ops;
    s->txn_done = done;
    s->txn_arg = arg;
}

static void on_watch(WPKv *kv, const char *key, uint64_t from, bool immediate,
                     WPKvWatchFn event, void *arg)
{
    Store *s = (Store *)kv;
    (void)key;
    s->watches += !immediate;
    s->immediate_watches += immediate;
    s->from = from;
    s->event = event;
    s->event_arg = arg;
}

static void on_unwatch(WPKv *kv)
{
    ((Store *)kv)->event = NULL;
}

static void on_free(WPKv *kv)
{
    Store *s = (Store *)kv;
    g_free(s->key);
    g_byte_array_unref(s->value);
}

static const WPKvOps store_ops = { on_range, on_txn, on_watch, on_unwatch,
                                   on_free };

static WPKv *open_store(struct event_base *base, const char *target)
{
    (void)base;
    (void)target;
    store = (Store){ .kv = { &store_ops }, .value = g_byte_array_new() };
    return &store.kv;
}

/* Key of a store entry that orders a shift of the service "llm" to v2. */
#define ORDER_KEY "order"

enum { ORDER_MS = 20000 };

/* Decodes an entry as the platform's adapter does. Every key other than
   ORDER_KEY and the router's own is taken as an endpoint's id. */
static void decode_entry(const WPKvItem *item, WPStoreEntry *out)
{
    if (!strcmp(item->key.p, ORDER_KEY)) {
        *out = (WPStoreEntry){ .kind = WP_STORE_ENTRY_SHIFT_ORDER,
                               .order = { "llm", "v2", ORDER_MS,
                                          item->mod_revision } };
        return;
    }
    *out =
        (WPStoreEntry){ .kind = item->removed ? WP_STORE_ENTRY_ENDPOINT_REMOVED
                                              : WP_STORE_ENTRY_ENDPOINT,
                        .endpoint = { .id = item->key.p,
                                      .service = "llm",
                                      .addr = "127.0.0.1:1",
                                      .zone = "z1",
                                      .version = "v1",
                                      .slots = 8 } };
}

static void release_entry(WPStoreEntry *n)
{
    (void)n;
}

static const WPPlatformOps platform = { .store = open_store,
                                        .order_prefix = ORDER_KEY,
                                        .outcome_prefix = "outcome/",
                                        .decode_store_entry = decode_entry,
                                        .release_store_entry = release_entry };

typedef struct SyncFixture {
    Fake fake;
    WPDirectHost host;
    Wp__DirectSettings settings;
    char *addr;
} SyncFixture;

static void sync_fixture_init(SyncFixture *s)
{
    GError *error = NULL;
    memset(s, 0, sizeof(*s));
    fake_init(&s->fake);
    s->addr = g_strdup_printf("127.0.0.1:%u", free_port());
    wp__direct_settings__init(&s->settings);
    s->settings.id = (char *)"e1";
    s->settings.zone = (char *)"z1";
    s->settings.peers = s->addr;
    s->settings.store = (char *)"127.0.0.1:1";
    s->settings.apply_ms = 4000;
    wp_list_init(&s->host.relays);
    s->host.settings = &s->settings;
    s->host.platform = &platform;
    s->host.base = event_base_new();
    s->host.forwarded = g_byte_array_new();
    wp_buffered_set_limit(&s->host.buffered, 0);
    s->host.direct = s->fake.d;
    wp_log_init(&s->host.log, "e1", g_getenv("WP_TEST_LOG") ? "info" : "error",
                "kv");
    s->host.sync = wp_sync_new(&s->host, &error);
    if (!s->host.sync)
        fail_msg("%s", error->message);
}

static void sync_fixture_end(SyncFixture *s)
{
    wp_sync_free(s->host.sync);
    wp_log_end(&s->host.log);
    event_base_free(s->host.base);
    g_byte_array_unref(s->host.forwarded);
    s->fake.d = s->host.direct;
    fake_end(&s->fake);
    g_free(s->addr);
}

/* Runs the tick that is due `ms` from now. */
static inline void tick(SyncFixture *s, int64_t ms)
{
    WPTime now = wp_clock_now(0);
    now.mono_us += ms * WP_US_PER_MS;
    wp_sync_tick(s->host.sync, now);
}

/* Answers the last read of the store: it holds these endpoints, at this
   revision. */
static inline void answer_range(const char *const *ids, size_t n,
                                uint64_t revision)
{
    WPKvItem items[8];
    for (size_t i = 0; i < n; i++)
        items[i] = (WPKvItem){ wp_str(ids[i]), wp_str("x"), revision, false };
    const WPKvResult r = { true, true, revision, items, n };
    store.range_done(store.range_arg, &r);
}

/* Delivers an event of the watch; `id`: the endpoint concerned, or NULL. */
static inline void deliver_event(WPKvWatchEvent what, const char *id,
                                 uint64_t revision, bool removed)
{
    const WPKvItem item = { wp_str(id ? id : ""), wp_str("x"), revision,
                            removed };
    store.event(store.event_arg, what, id ? &item : NULL);
}

G_GNUC_UNUSED static const WPKvResult unavailable = { false, false, 0, NULL,
                                                      0 };

static const char *const two_ids[] = { "s1", "s2" };

/* Makes a box that has read two endpoints at revision 10 and watches the
   store from revision 11. */
static inline void sync_fixture_start(SyncFixture *s)
{
    sync_fixture_init(s);
    assert_int_equal(store.ranges, 1);
    answer_range(two_ids, 2, 10);
    assert_int_equal(store.watches, 1);
    assert_int_equal(store.from, 11);
}

/* Returns the endpoint of this id as the box knows it, or NULL. */
static inline const WPReplica *find_endpoint(SyncFixture *s, const char *id)
{
    return wp_fleet_find(s->host.direct.fleet, id);
}

#endif
