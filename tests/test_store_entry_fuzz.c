/* Fuzzes the decoding of the platform's store entries, which other programs
 * write: entries of tests/corpus/ with bytes and fields changed at random.
 * None may cause a fault, and an entry that is accepted must be usable.
 * WP_FUZZ_INPUTS sets the number of inputs per file. */
#include "direct_fake.h"
#include "pf.h"
#include "pf_names.h"

#include <jansson.h>

enum { INPUTS = 5000, CHANGES_MAX = 6, VALUES = 14 };

static const struct {
    const char *key, *file;
} corpus[] = {
    { PF_K_ENDPOINT "i-1", "tests/corpus/endpoint.json" },
    { PF_K_CONFIG, "tests/corpus/config.json" },
    { PF_K_ORDER "llm", "tests/corpus/order.json" },
    { PF_K_OUTCOME "llm", "tests/corpus/outcome.json" },
};

/* Returns a value of a random type and size. */
static json_t *any_value(GRand *r)
{
    static const char *const values[VALUES] = { "null",   "true",
                                                "[]",     "{}",
                                                "-1",     "0",
                                                "1e308",  "-1e18",
                                                "7.5",    "[null]",
                                                "\"\"",   "\"a b\\r\\n\"",
                                                "\"v9\"", "9007199254740993" };
    return json_loads(values[g_rand_int_range(r, 0, VALUES)], JSON_DECODE_ANY,
                      NULL);
}

/* Replaces or removes a random field of `j` or of a value nested in it. */
static void change_field(GRand *r, json_t *j)
{
    size_t n = json_is_object(j) ? json_object_size(j) : json_array_size(j);
    if (!n)
        return;
    size_t at = (size_t)g_rand_int_range(r, 0, (int)n);
    bool deeper = g_rand_boolean(r);
    if (json_is_array(j)) {
        if (deeper)
            change_field(r, json_array_get(j, at));
        else
            json_array_set_new(j, at, any_value(r));
        return;
    }
    void *it = json_object_iter(j);
    while (at--)
        it = json_object_iter_next(j, it);
    json_t *value = json_object_iter_value(it);
    g_autofree char *name = g_strdup(json_object_iter_key(it));
    if (deeper && (json_is_object(value) || json_is_array(value)))
        change_field(r, value);
    else if (g_rand_int_range(r, 0, 4) == 0)
        json_object_del(j, name);
    else
        json_object_set_new(j, name, any_value(r));
}

static void change_bytes(GRand *r, GString *s)
{
    for (int n = g_rand_int_range(r, 1, CHANGES_MAX); n && s->len; n--) {
        gsize at = (gsize)g_rand_int_range(r, 0, (int)s->len);
        if (g_rand_boolean(r))
            s->str[at] = (char)g_rand_int_range(r, 0, 256);
        else if (g_rand_boolean(r))
            g_string_erase(s, (gssize)at, 1);
        else
            g_string_truncate(s, at);
    }
}

static GString *make_input(GRand *r, const char *text)
{
    GString *s = g_string_new(text);
    if (g_rand_boolean(r)) {
        json_t *j = json_loads(text, 0, NULL);
        for (int n = g_rand_int_range(r, 1, CHANGES_MAX); n; n--)
            change_field(r, j);
        char *dump = json_dumps(j, JSON_COMPACT);
        g_string_assign(s, dump);
        free(dump);
        json_decref(j);
    }
    if (g_rand_int_range(r, 0, 3) == 0)
        change_bytes(r, s);
    return s;
}

/* Uses an accepted entry as the router does. */
static void apply_entry(Fake *k, const WPStoreEntry *n)
{
    switch (n->kind) {
    case WP_STORE_ENTRY_ENDPOINT:
        if (!wp_registry_entry_invalid_field(&n->endpoint)) {
            assert_true(n->endpoint.slots > 0);
            wp_fleet_put(k->d.fleet, k->now, &n->endpoint);
        }
        break;
    case WP_STORE_ENTRY_ROUTES:
        for (guint i = 0; i < n->routes->routes->len; i++) {
            const WPRoute *r = g_ptr_array_index(n->routes->routes, i);
            for (guint m = 0; m < r->models->len; m++)
                assert_non_null(g_ptr_array_index(r->models, m));
            wp_route_pick_service(n->routes, r, 0.5);
        }
        wp_routes_unref(n->routes);
        break;
    case WP_STORE_ENTRY_SHIFT_ORDER:
        assert_non_null(n->order.version);
        wp_shifts_add_order(k->d.shifts, k->now, &n->order);
        break;
    case WP_STORE_ENTRY_SHIFT_OUTCOME:
        wp_shifts_apply_outcome(k->d.shifts, &n->order, n->state);
        break;
    case WP_STORE_ENTRY_INVALID:
        assert_non_null(n->problem);
        break;
    default:
        break;
    }
}

static void random_entries_are_harmless(void **state)
{
    const char *inputs = g_getenv("WP_FUZZ_INPUTS");
    long n_inputs = inputs ? atol(inputs) : INPUTS;
    GRand *r = g_rand_new_with_seed(31);
    Fake k;
    (void)state;
    fake_init(&k);
    for (size_t c = 0; c < WP_COUNT(corpus); c++) {
        g_autofree char *text = NULL;
        unsigned accepted = 0;
        assert_true(g_file_get_contents(corpus[c].file, &text, NULL, NULL));
        for (long i = 0; i < n_inputs; i++) {
            g_autoptr(GString) s = make_input(r, text);
            const WPKvItem item = { wp_str(corpus[c].key),
                                    wp_strn(s->str, s->len), (uint64_t)i + 1,
                                    false };
            WPStoreEntry n;
            pf_decode_store_entry(&item, &n);
            accepted += n.kind != WP_STORE_ENTRY_INVALID;
            apply_entry(&k, &n);
            pf_release_store_entry(&n);
        }
        assert_true(accepted > 0 && (long)accepted < n_inputs);
    }
    fake_end(&k);
    g_rand_free(r);
}

TESTS_MAIN(T(random_entries_are_harmless))
