/* A session by id keeps its version through changes of the configuration, at
 * boxes that learn of them at different times. */
#include "test.h"
#include "wp_change.h"
#include "wp_rollout.h"
#include "wp_session.h"
#include "wp_undo.h"

enum {
    CHANGES = 24,
    BOXES = 3,
    SESSIONS = 60,
    TURNS = 12,
    SEEDS = 60,
    LAG_MAX_MS = WP_CHANGE_ACTIVATION_DELAY_MS - 100,
    END_MS = 240 * WP_MS_PER_S
};

/* The time of the first change; configured before it: three versions. */
#define BEGIN_MS 1800000000000

static const char initial_rules[] =
    "kinds: [{name: k, quality_target: 0.8}]\n"
    "workspaces: [{name: w, labels: {org: lake}}]\n"
    "versions:\n"
    "  - {name: v1, quality_prior: 0.9, cost_out: 3, labels: {stage: old}}\n"
    "  - {name: v2, quality_prior: 0.9, cost_out: 2, labels: {stage: next}}\n"
    "  - {name: v3, quality_prior: 0.9, cost_out: 1, labels: {stage: none}}\n"
    "selectors:\n"
    "  - {name: s1, traffic: 'org=lake', versions: 'stage=old'}\n";

typedef struct Box {
    WPConfig *config;
    WPPolicy *policy;
    uint64_t learns_ms[CHANGES]; /* when each change reaches it */
    unsigned known;              /* changes applied */
} Box;

typedef struct World {
    GRand *rand;
    WPConfig *store;
    GPtrArray *deltas;   /* Wp__Delta, packed */
    GPtrArray *policies; /* after that many changes */
    uint64_t at_ms[CHANGES];
    unsigned stored;
    Box boxes[BOXES];
} World;

static int draw(World *w, int n)
{
    return g_rand_int_range(w->rand, 0, n);
}

/* Returns the rules (YAML) of one random change. */
static char *random_rules(World *w, uint64_t now_ms)
{
    static const char *const traffics[] = { "org=lake", "''", "tier=gold",
                                            "org!=lake" };
    static const char *const stages[] = { "old", "next", "none" };
    int v = 1 + draw(w, 3);
    switch (draw(w, 8)) {
    case 0:
    case 1:
        return g_strdup_printf("selectors: [{name: s%d, traffic: %s, versions: "
                               "'stage in (%s,%s)', effect: %s}]\n",
                               1 + draw(w, 3), traffics[draw(w, 4)],
                               stages[draw(w, 3)], stages[draw(w, 3)],
                               draw(w, 6) ? "allow" : "deny");
    case 2:
        return g_strdup_printf("workspaces: [{name: w, labels: {org: lake, "
                               "tier: %s}}]\n",
                               draw(w, 2) ? "gold" : "tin");
    case 3:
        return g_strdup_printf("kinds: [{name: k, quality_target: %g}]\n",
                               0.1 * draw(w, 10));
    case 4:
        return g_strdup_printf("rules: [{name: r, on: version, match: "
                               "'version=v%d', set: {stage: %s}}]\n",
                               v, stages[draw(w, 3)]);
    case 5:
        return g_strdup_printf(
            "rollouts: [{name: o, from: v%d, to: v%d, history: [{at_ms: %lu, "
            "share: 0.5}]}]\n",
            v, 1 + v % 3,
            (unsigned long)(now_ms + WP_SHARE_ACTIVATION_DELAY_MS));
    default:
        return g_strdup_printf(
            "versions: [{name: v%d, quality_prior: %g, cost_out: %d, labels: "
            "{stage: %s}, withdrawn: %s}]\n",
            v, 0.1 * draw(w, 10), draw(w, 4), stages[draw(w, 3)],
            draw(w, 5) ? "false" : "true");
    }
}

static GPtrArray *random_ops(World *w, uint64_t now_ms)
{
    static const char *const keys[] = { "selector/s1", "selector/s2",
                                        "rollout/o", "rule/r", "version/v3" };
    GError *error = NULL;
    if (!draw(w, 5)) {
        GPtrArray *ops = g_ptr_array_new();
        g_ptr_array_add(ops, wp_op_delete(keys[draw(w, 5)]));
        return ops;
    }
    g_autofree char *rules = random_rules(w, now_ms);
    Wp__Rules *r = (Wp__Rules *)wp_yaml_read(&wp__rules__descriptor,
                                             wp_str(rules), "rules", &error);
    if (!r)
        fail_msg("%s", error->message);
    GPtrArray *ops = wp_rules_to_ops(r);
    wp_pb_free(r);
    return ops;
}

static void make_change(World *w, uint64_t now_ms)
{
    Wp__Delta d = WP__DELTA__INIT;
    GPtrArray *ops = random_ops(w, now_ms);
    d.prev = wp_config_revision(w->store);
    d.revision = d.prev + 1;
    d.change_id = (char *)"c";
    d.n_ops = ops->len;
    d.ops = (Wp__Op **)ops->pdata;
    d.has_effective_ms = 1;
    d.effective_ms = now_ms + WP_CHANGE_ACTIVATION_DELAY_MS;
    assert_int_equal(wp_config_apply(w->store, &d), WP_APPLY_DONE);
    g_ptr_array_add(w->deltas, wp_pb_pack(&d.base));
    w->at_ms[w->stored] = now_ms;
    for (unsigned i = 0; i < BOXES; i++) {
        Box *b = &w->boxes[i];
        uint64_t lag = (uint64_t)draw(w, LAG_MAX_MS);
        uint64_t before = w->stored ? b->learns_ms[w->stored - 1] : 0;
        b->learns_ms[w->stored] = MAX(before, now_ms + lag);
    }
    w->stored++;
    g_ptr_array_add(w->policies, wp_policy_new(w->store));
    wp_ops_free(ops);
}

/* Brings a box up to date with what has reached it at this time. */
static void update_box(World *w, Box *b, uint64_t now_ms)
{
    unsigned known = b->known;
    while (b->known < w->stored && b->learns_ms[b->known] <= now_ms) {
        const GByteArray *packed = w->deltas->pdata[b->known++];
        Wp__Delta *d = wp__delta__unpack(NULL, packed->len, packed->data);
        assert_int_equal(wp_config_apply(b->config, d), WP_APPLY_DONE);
        wp_pb_free(d);
    }
    if (b->policy && known == b->known)
        return;
    WPPolicy *old = b->policy;
    b->policy = wp_policy_new_with_past(b->config, old);
    wp_policy_unref(old);
}

static World *new_world(uint32_t seed)
{
    World *w = g_new0(World, 1);
    w->rand = g_rand_new_with_seed(seed);
    w->store = config_from(initial_rules, 1);
    w->deltas =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    w->policies =
        g_ptr_array_new_with_free_func((GDestroyNotify)wp_policy_unref);
    g_ptr_array_add(w->policies, wp_policy_new(w->store));
    for (unsigned i = 0; i < BOXES; i++)
        w->boxes[i].config = config_from(initial_rules, 1);
    return w;
}

static void free_world(World *w)
{
    for (unsigned i = 0; i < BOXES; i++) {
        wp_policy_unref(w->boxes[i].policy);
        wp_config_free(w->boxes[i].config);
    }
    wp_config_free(w->store);
    g_ptr_array_unref(w->deltas);
    g_ptr_array_unref(w->policies);
    g_rand_free(w->rand);
    g_free(w);
}

static bool allows(const WPPolicy *p, const char *version)
{
    WPVersionSet set;
    const WPVersion *v = wp_policy_version(p, version);
    wp_policy_allowed(p, wp_policy_workspace(p, "w"), wp_policy_kind(p, "k"),
                      NULL, &set);
    return v && wp_version_set_has(&set, v->index);
}

/* Returns the name of the session's version, "none" if there is none. */
static const char *place(const WPPolicy *p, const char *id, uint64_t now_ms)
{
    WPVersionSet set;
    const WPWorkspace *ws = wp_policy_workspace(p, "w");
    const WPKind *kind = wp_policy_kind(p, "k");
    WPSessionQuery ask = { .id = wp_str(id),
                           .workspace = ws,
                           .now_ms = now_ms };
    wp_policy_allowed(p, ws, kind, NULL, &set);
    int v = wp_session_place(p, kind, &set, &ask).version;
    return v < 0 ? "none" : wp_policy_version_at(p, (unsigned)v)->spec->name;
}

/* A box that has just started with a full copy places the session as one that
   has applied each change. */
static void check_restarted_box(const Box *b, const char *id, uint64_t now_ms)
{
    Wp__Snapshot *s = wp_config_snapshot(b->config);
    WPConfig *c = wp_config_new();
    assert_int_equal(wp_config_apply_snapshot(c, s), WP_APPLY_DONE);
    WPPolicy *p = wp_policy_new_with_past(c, NULL);
    assert_string_equal(place(p, id, now_ms), place(b->policy, id, now_ms));
    wp_policy_unref(p);
    wp_config_free(c);
    wp_pb_free(s);
}

typedef struct Turns {
    char id[40];
    char *version;  /* of the last turn */
    unsigned known; /* changes that its box knew */
} Turns;

/* Whether all configurations after `from` changes up to `to` allow the version.
 */
static bool allowed_through(const World *w, unsigned from, unsigned to,
                            const char *version)
{
    bool all = true;
    for (unsigned i = from + 1; i <= to; i++)
        all &= allows(w->policies->pdata[i], version);
    return all;
}

/* Returns whether the session has changed its version although no change that
   only one of the two boxes knew forbids the earlier one: the last turn's, or
   this turn's if its box is behind. */
static bool take_turn(World *w, Turns *t, uint64_t now_ms)
{
    Box *b = &w->boxes[draw(w, BOXES)];
    update_box(w, b, now_ms);
    const char *version = place(b->policy, t->id, now_ms);
    bool broken = t->version && strcmp(t->version, version);
    if (broken)
        broken = b->known < t->known
                     ? allowed_through(w, b->known, t->known, version)
                     : allowed_through(w, t->known, b->known, t->version);
    if (!draw(w, 20))
        check_restarted_box(b, t->id, now_ms);
    t->known = b->known;
    g_free(t->version);
    t->version = g_strdup(version);
    return broken;
}

/* Returns the number of turns that broke a session. */
static unsigned play(uint32_t seed)
{
    World *w = new_world(seed);
    Turns turns[SESSIONS] = { 0 };
    uint64_t begin_ms[SESSIONS];
    unsigned broken = 0;
    for (unsigned s = 0; s < SESSIONS; s++) {
        begin_ms[s] = BEGIN_MS + (uint64_t)draw(w, END_MS);
        wp_uuid7(turns[s].id, begin_ms[s], w->rand);
    }
    for (uint64_t ms = 0; ms < END_MS; ms += 500) {
        if (w->stored < CHANGES && !draw(w, 20))
            make_change(w, BEGIN_MS + ms);
        for (unsigned s = 0; s < SESSIONS; s++)
            if (BEGIN_MS + ms >= begin_ms[s] && !draw(w, TURNS))
                broken += take_turn(w, &turns[s], BEGIN_MS + ms);
    }
    for (unsigned s = 0; s < SESSIONS; s++)
        g_free(turns[s].version);
    free_world(w);
    return broken;
}

static void a_session_by_id_keeps_its_version_through_changes(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        unsigned broken = play(seed);
        if (broken)
            fail_msg("seed %u: %u turns at another version", seed, broken);
    }
}

/* Undos beyond their number and age are dropped. */
static void undos_are_bounded(void **state)
{
    World *w = new_world(1);
    (void)state;
    for (unsigned i = 0; i < 2 * WP_UNDO_MAX; i++) {
        w->stored = 0;
        make_change(w, BEGIN_MS + i);
    }
    assert_true(wp_config_undos(w->store) <= WP_UNDO_MAX);
    for (unsigned i = 0; i < 2 * WP_UNDO_MAX; i++) {
        w->stored = 0;
        make_change(w, BEGIN_MS + 2 * WP_UNDO_KEEP_MS + i);
    }
    assert_true(wp_config_undo_at(w->store, 0)->effective_ms >
                BEGIN_MS + WP_UNDO_KEEP_MS);
    free_world(w);
}

/* A store that keeps what is written to it. */
typedef struct FakeStore {
    WPKv kv;
    GTree *items; /* key -> GBytes */
    uint64_t revision;
} FakeStore;

static void fake_txn(WPKv *kv, const WPKvCompare *compares, size_t n_compares,
                     const WPKvOp *ops, size_t n_ops, WPKvResultFn done,
                     void *arg)
{
    FakeStore *f = (FakeStore *)kv;
    WPKvResult r = { .ok = true, .succeeded = true };
    (void)compares;
    (void)n_compares;
    for (size_t i = 0; i < n_ops; i++) {
        if (ops[i].remove)
            g_tree_remove(f->items, ops[i].key);
        else
            g_tree_replace(f->items, g_strdup(ops[i].key),
                           g_bytes_new(ops[i].value.p, ops[i].value.n));
    }
    r.revision = ++f->revision;
    done(arg, &r);
}

static const WPKvOps fake_store_ops = { .txn = fake_txn };

static gint compare_names(gconstpointer a, gconstpointer b, gpointer arg)
{
    (void)arg;
    return strcmp(a, b);
}

static gboolean add_item(gpointer key, gpointer value, gpointer arg)
{
    gsize n;
    const char *p = g_bytes_get_data(value, &n);
    WPKvItem item = { .key = wp_str(key), .value = wp_strn(p, n) };
    g_array_append_val(arg, item);
    return FALSE;
}

/* Returns the configuration as a box reads it from the store. */
static WPConfig *read_store(const FakeStore *f)
{
    g_autoptr(GArray) items = g_array_new(FALSE, TRUE, sizeof(WPKvItem));
    g_tree_foreach(f->items, add_item, items);
    WPKvResult r = { .ok = true,
                     .items = (const WPKvItem *)items->data,
                     .n_items = items->len };
    Wp__Snapshot *s = wp_kv_snapshot(&r);
    WPConfig *c = wp_config_new();
    s->revision = f->revision;
    assert_int_equal(wp_config_apply_snapshot(c, s), WP_APPLY_DONE);
    wp_pb_free(s);
    return c;
}

static gboolean count_undo(gpointer key, gpointer value, gpointer arg)
{
    (void)value;
    *(unsigned *)arg += g_str_has_prefix(key, WP_KV_UNDO);
    return FALSE;
}

static void ignore_result(void *arg, WPChangeResult result, uint64_t revision,
                          const char *author)
{
    (void)arg;
    (void)revision;
    (void)author;
    assert_int_equal(result, WP_CHANGE_ACCEPTED);
}

/* A box that starts with all others down has the same past as one that applied
   each change. */
static void undos_are_in_the_store(void **state)
{
    World *w = new_world(2);
    FakeStore f = { .kv = { .ops = &fake_store_ops }, .revision = 1 };
    (void)state;
    f.items = g_tree_new_full(compare_names, NULL, g_free,
                              (GDestroyNotify)g_bytes_unref);
    for (unsigned i = 0; i < WP_UNDO_MAX + 50; i++) {
        WPTime now = { .wall_ms = BEGIN_MS + 1000 * (int64_t)i };
        GPtrArray *ops = random_ops(w, (uint64_t)now.wall_ms);
        g_autofree Wp__Delta *d =
            wp_change_new(w->store, ops, "change", "operator", now);
        wp_change_write(&f.kv, w->store, d, ignore_result, NULL);
        d->revision = f.revision;
        assert_int_equal(wp_config_apply(w->store, d), WP_APPLY_DONE);
        wp_ops_free(ops);
    }
    WPConfig *c = read_store(&f);
    unsigned kept = 0;
    g_tree_foreach(f.items, count_undo, &kept);
    assert_int_equal(kept, WP_UNDO_MAX);
    assert_int_equal(wp_config_undos(c), WP_UNDO_MAX);
    for (unsigned i = 0; i < WP_UNDO_MAX; i++) {
        g_autoptr(GByteArray) a = wp_pb_pack(&wp_config_undo_at(c, i)->base);
        g_autoptr(GByteArray) b =
            wp_pb_pack(&wp_config_undo_at(w->store, i)->base);
        assert_int_equal(a->len, b->len);
        assert_memory_equal(a->data, b->data, a->len);
    }
    wp_config_free(c);
    g_tree_unref(f.items);
    free_world(w);
}

/* Shares, session keys and what a workspace pays are not recorded. */
static void changes_that_move_no_session_have_no_undo(void **state)
{
    static const char *const rules[] = {
        "session_keys: [{name: a, secret: s}]\n",
        "workspaces: [{name: w, labels: {org: lake}, weight: 2}]\n",
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rules); i++) {
        WPConfig *c = config_from(initial_rules, 1);
        WPConfig *changed = config_from(rules[i], 1);
        Wp__Snapshot *s = wp_config_snapshot(changed);
        Wp__Delta d = WP__DELTA__INIT;
        d.has_effective_ms = 1;
        d.n_ops = s->n_ops;
        d.ops = s->ops;
        assert_null(wp_undo_of_delta(c, &d));
        wp_pb_free(s);
        wp_config_free(changed);
        wp_config_free(c);
    }
}

TESTS_MAIN(T(a_session_by_id_keeps_its_version_through_changes),
           T(undos_are_bounded), T(undos_are_in_the_store),
           T(changes_that_move_no_session_have_no_undo))
