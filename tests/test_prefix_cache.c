/* Estimates of the prefixes that engines have in their caches, and the choice
 * of endpoints by them. */
#include "direct_fake.h"
#include "wp_engine_cost.h"

#include <stdlib.h>

/* A prompt of two parts: `shared` tokens, the same for the same `which`, and
   `own` tokens that no other prompt has. */
static WPPrompt prompt_of(uint32_t shared, uint32_t own, unsigned which)
{
    WPPrompt p = { .tokens = shared + own };
    g_autofree char *a = g_strdup_printf("a%u", which);
    g_autofree char *b = g_strdup_printf("b%d", rand());
    wp_prompt_add(&p, wp_str(a), shared);
    wp_prompt_add(&p, wp_str(b), own);
    return p;
}

static WPTime at(int64_t ms)
{
    return (WPTime){ (1000 + ms) * WP_US_PER_MS, ms };
}

static void parts_match_by_model_and_with_all_before_them(void **state)
{
    WPPrefixCache *k = wp_prefix_cache_new();
    WPPrompt p = prompt_of(9000, 1000, 1), q = prompt_of(9000, 500, 1);
    WPPrompt other = prompt_of(9000, 1000, 2);
    (void)state;
    wp_prefix_cache_add(k, at(0), 7, &p);
    assert_int_equal(wp_prefix_cache_match(k, at(10), 7, &p), 10000);
    assert_int_equal(wp_prefix_cache_match(k, at(10), 7, &q), 9000);
    assert_int_equal(wp_prefix_cache_match(k, at(10), 8, &q), 0);
    assert_int_equal(wp_prefix_cache_match(k, at(10), 7, &other), 0);
    assert_int_equal(wp_prefix_cache_match(k, at(120000), 7, &q), 0);
    wp_prefix_cache_free(k);
}

static void least_recently_used_is_evicted_first(void **state)
{
    WPPrefixCache *k = wp_prefix_cache_new();
    WPPrompt a = prompt_of(4000, 0, 1), b = prompt_of(4000, 0, 2);
    WPPrompt c = prompt_of(4000, 0, 3);
    (void)state;
    /* Seven tenths of it are for cached prefixes. */
    wp_prefix_cache_set_capacity(k, 12000);
    wp_prefix_cache_add(k, at(0), 7, &a);
    wp_prefix_cache_add(k, at(1), 7, &b);
    wp_prefix_cache_add(k, at(2), 7, &a);
    wp_prefix_cache_add(k, at(3), 7, &c);
    assert_int_equal(wp_prefix_cache_match(k, at(4), 7, &a), 4000);
    assert_int_equal(wp_prefix_cache_match(k, at(4), 7, &b), 0);
    assert_int_equal(wp_prefix_cache_match(k, at(4), 7, &c), 4000);
    wp_prefix_cache_free(k);
}

/* Whatever prompts are sent, the number of recorded parts stays bounded, and a
   match is never longer than the prompt. */
static void estimates_are_bounded(void **state)
{
    WPPrefixCache *k = wp_prefix_cache_new();
    GRand *r = g_rand_new_with_seed(11);
    (void)state;
    for (int i = 0; i < 20000; i++) {
        WPPrompt p = { .tokens = g_rand_int(r) % 100000 };
        int parts = g_rand_int_range(r, 0, 20);
        for (int n = 0; n < parts; n++) {
            uint32_t id = g_rand_int(r) % 3000;
            WPStr name = wp_strn((const char *)&id, sizeof(id));
            bool added = wp_prompt_add(&p, name, g_rand_int(r));
            assert_true(added == (n < WP_PROMPT_PARTS_MAX));
        }
        assert_true(wp_prompt_shared_tokens(&p) <= p.tokens);
        if (i % 3)
            wp_prefix_cache_add(k, at(i), g_rand_int(r) % 3, &p);
        else
            wp_prefix_cache_add_key(k, at(i), g_rand_int(r), g_rand_int(r));
        assert_true(wp_prefix_cache_match(k, at(i), 1, &p) <= p.tokens);
        assert_true(wp_prefix_cache_size(k) <= 1024);
    }
    g_rand_free(r);
    wp_prefix_cache_free(k);
}

static void ids_are_kept_of_all_parts_but_the_last(void **state)
{
    WPPrompt p = { .tokens = 1000 };
    (void)state;
    assert_int_equal(wp_prompt_shared_ids(&p), 0);
    for (unsigned n = 1; n <= WP_PROMPT_IDS_MAX + 3; n++) {
        wp_prompt_add(&p, wp_strn((const char *)&n, sizeof(n)), 10);
        assert_int_equal(wp_prompt_shared_ids(&p),
                         MIN(n - 1, WP_PROMPT_IDS_MAX));
    }
    const unsigned tenth = 10;
    assert_int_equal(p.ids[9],
                     wp_hash(wp_strn((const char *)&tenth, sizeof(tenth)), 0));
}

/* An engine that takes 80 us to prefill a token (12.5 tokens a millisecond)
   with the model at hand. */
static void learn(WPTtfbModel *s)
{
    for (uint32_t i = 0; i < 100; i++) {
        uint32_t tokens = 500 + (i * 7919) % 20000;
        WPTtfbInputs w = { .prompt_tokens = tokens,
                           .uncached_tokens = tokens,
                           .load = i % 5 };
        wp_ttfb_add(s, &w, (int64_t)(20000 + tokens * 80.0 + w.load * 5000));
    }
}

static const WPFleetRules rules = { .zone_weight_per_kb = 0.03,
                                    .prefill_weight_per_kt = 0.04,
                                    .transfer_weight_per_kt = 0.1,
                                    .track_prefixes = true };

static WPEndpointQuery query_of(WPTtfbModel *s, const WPPrompt *p,
                                double ttfb_weight)
{
    return (WPEndpointQuery){ .service = "llm",
                              .zone = "z1",
                              .prompt = p,
                              .model = 7,
                              .ttfb = s,
                              .ttfb_weight = ttfb_weight,
                              .body_bytes = p->tokens };
}

static void endpoint_with_the_cached_prefix_is_preferred(void **state)
{
    Fake k;
    WPTtfbModel s = { 0 };
    (void)state;
    fake_init(&k);
    wp_fleet_set_rules(k.d.fleet, &rules);
    learn(&s);
    for (unsigned i = 0; i < 20; i++) {
        WPPrompt p = prompt_of(9000, 1000, i), q = prompt_of(9000, 800, i);
        const WPEndpointQuery first = query_of(&s, &p, 0.7);
        const WPEndpointQuery next = query_of(&s, &q, 0.7);
        WPReplica *a = wp_fleet_choose(k.d.fleet, k.now, &first);
        wp_fleet_request_sent(k.d.fleet, a, k.now, &first, 0);
        wp_fleet_request_ended(a, k.now, WP_OUTCOME_OK);
        WPReplica *b = wp_fleet_choose(k.d.fleet, k.now, &next);
        assert_ptr_equal(a, b);
        wp_replica_unref(a);
        wp_replica_unref(b);
    }
    fake_end(&k);
}

/* If the cache holder is not chosen, as when it is full, another endpoint
   fetches the cached prefix from it; but it prefills the prompt itself where a
   second until the first byte is worth less than the transfer. */
static void prefix_is_fetched_where_that_is_cheaper(void **state)
{
    Fake k;
    WPTtfbModel s = { 0 };
    uint32_t own_tokens[2];
    WPCacheHolders holders = { .cached_tokens = own_tokens };
    WPPrompt p = prompt_of(9000, 1000, 1);
    (void)state;
    fake_init(&k);
    learn(&s);
    GPtrArray *list = g_ptr_array_new();
    WPReplica *a = wp_fleet_find(k.d.fleet, "l1");
    WPReplica *b = wp_fleet_find(k.d.fleet, "l2");
    g_ptr_array_add(list, a);
    g_ptr_array_add(list, b);
    wp_prefix_cache_add(a->prefix_cache, k.now, 7, &p);
    for (int high_weight = 0; high_weight < 2; high_weight++) {
        const WPEndpointQuery w = query_of(&s, &p, high_weight ? 4 : 0.1);
        wp_cache_holders_find(&holders, k.now, &w, list);
        WPEngineCost own =
            wp_engine_cost(&rules, k.now, &w, a, own_tokens[0], &holders);
        WPEngineCost other =
            wp_engine_cost(&rules, k.now, &w, b, own_tokens[1], &holders);
        assert_null(own.source);
        assert_true(other.cost > own.cost);
        assert_true((other.source == a) == high_weight);
        assert_int_equal(other.inputs.uncached_tokens, high_weight ? 0 : 10000);
    }
    g_ptr_array_unref(list);
    fake_end(&k);
}

/* Another version has other model weights: its cached prefixes are of no
   use. */
static void prefix_of_another_version_is_not_fetched(void **state)
{
    Fake k;
    WPTtfbModel s = { 0 };
    uint32_t own_tokens[2];
    WPCacheHolders holders = { .cached_tokens = own_tokens };
    WPPrompt p = prompt_of(9000, 1000, 1);
    (void)state;
    fake_init(&k);
    learn(&s);
    fake_put(&k, "l2", "llm", "v2", false);
    GPtrArray *list = g_ptr_array_new();
    g_ptr_array_add(list, wp_fleet_find(k.d.fleet, "l1"));
    g_ptr_array_add(list, wp_fleet_find(k.d.fleet, "l2"));
    wp_prefix_cache_add(wp_fleet_find(k.d.fleet, "l1")->prefix_cache, k.now, 7,
                        &p);
    const WPEndpointQuery w = query_of(&s, &p, 4);
    wp_cache_holders_find(&holders, k.now, &w, list);
    WPEngineCost b =
        wp_engine_cost(&rules, k.now, &w, wp_fleet_find(k.d.fleet, "l2"),
                       own_tokens[1], &holders);
    assert_null(b.source);
    g_ptr_array_unref(list);
    fake_end(&k);
}

/* A box sends the others which prefixes it has sent to engines, each one once;
   they merge it into their estimates. */
static void boxes_exchange_cached_prefixes(void **state)
{
    Fake x, y;
    WPTtfbModel s = { 0 };
    WPCachedPrefixUpdate updates[8];
    WPPrompt p = prompt_of(9000, 1000, 1), small = prompt_of(300, 100, 2);
    (void)state;
    fake_init(&x);
    fake_init(&y);
    wp_fleet_set_rules(x.d.fleet, &rules);
    learn(&s);
    WPReplica *a = wp_fleet_find(x.d.fleet, "l1");
    WPEndpointQuery w = query_of(&s, &p, 1);
    wp_fleet_request_sent(x.d.fleet, a, x.now, &w, 0);
    w.prompt = &small;
    wp_fleet_request_sent(x.d.fleet, a, x.now, &w, 0);
    assert_int_equal(wp_fleet_take_unsent_prefixes(x.d.fleet, updates, 8), 1);
    assert_int_equal(wp_fleet_take_unsent_prefixes(x.d.fleet, updates, 8), 0);
    wp_fleet_merge_cached_prefix(y.d.fleet, y.now, &updates[0]);
    const WPReplica *b = wp_fleet_find(y.d.fleet, "l1");
    assert_int_equal(wp_prefix_cache_match(b->prefix_cache, y.now, 7, &p),
                     9000);
    updates[0].replica++; /* a replica that is not known here */
    wp_fleet_merge_cached_prefix(y.d.fleet, y.now, &updates[0]);
    fake_end(&x);
    fake_end(&y);
}

/* Guards against uncached tokens below 0, which wrap around: parts whose tokens
   are more together than the prompt's, as a caller may tell. */
static void parts_beyond_the_prompt_make_tokens_wrap(void **state)
{
    WPPrompt p = { .tokens = 100 };
    WPPrefixCache *k = wp_prefix_cache_new();
    (void)state;
    wp_prompt_add(&p, wp_str("a"), 80);
    wp_prompt_add(&p, wp_str("b"), UINT32_MAX);
    wp_prompt_add(&p, wp_str("c"), 80);
    wp_prefix_cache_add(k, at(0), 1, &p);
    assert_in_range(wp_prefix_cache_match(k, at(1), 1, &p), 0, p.tokens);
    assert_in_range(wp_prompt_shared_tokens(&p), 0, p.tokens);
    wp_prefix_cache_free(k);
}

TESTS_MAIN(T(parts_beyond_the_prompt_make_tokens_wrap),
           T(parts_match_by_model_and_with_all_before_them),
           T(least_recently_used_is_evicted_first), T(estimates_are_bounded),
           T(ids_are_kept_of_all_parts_but_the_last),
           T(endpoint_with_the_cached_prefix_is_preferred),
           T(prefix_is_fetched_where_that_is_cheaper),
           T(prefix_of_another_version_is_not_fetched),
           T(boxes_exchange_cached_prefixes))
