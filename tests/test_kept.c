/* What engines keep of prompts, and the choice that follows from it. */
#include "direct_fake.h"
#include "wp_engine_cost.h"

#include <stdlib.h>

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

static void a_part_is_kept_by_model_and_with_all_before_it(void **state)
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

static void the_least_recently_used_goes_first(void **state)
{
    WPPrefixCache *k = wp_prefix_cache_new();
    WPPrompt a = prompt_of(4000, 0, 1), b = prompt_of(4000, 0, 2);
    WPPrompt c = prompt_of(4000, 0, 3);
    (void)state;
    wp_prefix_cache_set_capacity(
        k, 12000); /* of which seven tenths are for kept prompts */
    wp_prefix_cache_add(k, at(0), 7, &a);
    wp_prefix_cache_add(k, at(1), 7, &b);
    wp_prefix_cache_add(k, at(2), 7, &a);
    wp_prefix_cache_add(k, at(3), 7, &c);
    assert_int_equal(wp_prefix_cache_match(k, at(4), 7, &a), 4000);
    assert_int_equal(wp_prefix_cache_match(k, at(4), 7, &b), 0);
    assert_int_equal(wp_prefix_cache_match(k, at(4), 7, &c), 4000);
    wp_prefix_cache_free(k);
}

/* Whatever is sent, the beliefs stay bounded and never exceed the prompt. */
static void beliefs_are_bounded(void **state)
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

/* An engine that reads 38 tokens a millisecond with the model at hand. */
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

static WPEndpointQuery want_of(WPTtfbModel *s, const WPPrompt *p, double second)
{
    return (WPEndpointQuery){ .service = "llm",
                              .zone = "z1",
                              .prompt = p,
                              .model = 7,
                              .ttfb = s,
                              .ttfb_weight = second,
                              .body_bytes = p->tokens };
}

static void the_endpoint_that_keeps_the_prompt_is_preferred(void **state)
{
    Fake k;
    WPTtfbModel s = { 0 };
    (void)state;
    fake_init(&k);
    wp_fleet_set_rules(k.d.fleet, &rules);
    learn(&s);
    for (unsigned i = 0; i < 20; i++) {
        WPPrompt p = prompt_of(9000, 1000, i), q = prompt_of(9000, 800, i);
        const WPEndpointQuery first = want_of(&s, &p, 0.7);
        const WPEndpointQuery next = want_of(&s, &q, 0.7);
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

/* Where the keeper is full, another takes what it keeps; but not where a second
   of reading is worth less than the move. */
static void kept_memory_is_moved_where_that_pays(void **state)
{
    Fake k;
    WPTtfbModel s = { 0 };
    uint32_t own_tokens[2];
    WPCacheHolders keepers = { .cached_tokens = own_tokens };
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
    for (int dear = 0; dear < 2; dear++) {
        const WPEndpointQuery w = want_of(&s, &p, dear ? 4 : 0.1);
        wp_cache_holders_find(&keepers, k.now, &w, list);
        WPEngineCost own =
            wp_engine_cost(&rules, k.now, &w, a, own_tokens[0], &keepers);
        WPEngineCost other =
            wp_engine_cost(&rules, k.now, &w, b, own_tokens[1], &keepers);
        assert_null(own.source);
        assert_true(other.cost > own.cost);
        assert_true((other.source == a) == dear);
        assert_int_equal(other.inputs.uncached_tokens, dear ? 0 : 10000);
    }
    g_ptr_array_unref(list);
    fake_end(&k);
}

/* Another version has other weights: what it keeps is of no use. */
static void memory_of_another_version_is_not_taken(void **state)
{
    Fake k;
    WPTtfbModel s = { 0 };
    uint32_t own_tokens[2];
    WPCacheHolders keepers = { .cached_tokens = own_tokens };
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
    const WPEndpointQuery w = want_of(&s, &p, 4);
    wp_cache_holders_find(&keepers, k.now, &w, list);
    WPEngineCost b =
        wp_engine_cost(&rules, k.now, &w, wp_fleet_find(k.d.fleet, "l2"),
                       own_tokens[1], &keepers);
    assert_null(b.source);
    g_ptr_array_unref(list);
    fake_end(&k);
}

/* What one box has sent, the others believe too; each thing is told once. */
static void boxes_tell_each_other_what_is_kept(void **state)
{
    Fake x, y;
    WPTtfbModel s = { 0 };
    WPCachedPrefixUpdate news[8];
    WPPrompt p = prompt_of(9000, 1000, 1), small = prompt_of(300, 100, 2);
    (void)state;
    fake_init(&x);
    fake_init(&y);
    wp_fleet_set_rules(x.d.fleet, &rules);
    learn(&s);
    WPReplica *a = wp_fleet_find(x.d.fleet, "l1");
    WPEndpointQuery w = want_of(&s, &p, 1);
    wp_fleet_request_sent(x.d.fleet, a, x.now, &w, 0);
    w.prompt = &small;
    wp_fleet_request_sent(x.d.fleet, a, x.now, &w, 0);
    assert_int_equal(wp_fleet_take_unsent_prefixes(x.d.fleet, news, 8), 1);
    assert_int_equal(wp_fleet_take_unsent_prefixes(x.d.fleet, news, 8), 0);
    wp_fleet_merge_cached_prefix(y.d.fleet, y.now, &news[0]);
    const WPReplica *b = wp_fleet_find(y.d.fleet, "l1");
    assert_int_equal(wp_prefix_cache_match(b->prefix_cache, y.now, 7, &p),
                     9000);
    news[0].replica++; /* one that is not known here */
    wp_fleet_merge_cached_prefix(y.d.fleet, y.now, &news[0]);
    fake_end(&x);
    fake_end(&y);
}

TESTS_MAIN(T(a_part_is_kept_by_model_and_with_all_before_it),
           T(the_least_recently_used_goes_first), T(beliefs_are_bounded),
           T(the_endpoint_that_keeps_the_prompt_is_preferred),
           T(kept_memory_is_moved_where_that_pays),
           T(memory_of_another_version_is_not_taken),
           T(boxes_tell_each_other_what_is_kept))
