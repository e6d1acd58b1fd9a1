/* Endpoints that start again under their id, zones that an operator keeps
 * requests out of, and entries of the list that are of no use. */
#include "direct_fake.h"
#include "wp_box_updates.h"

static const WPRegistryEntry first_life = { .id = "e1",
                                            .service = "llm",
                                            .addr = "10.0.0.1:80",
                                            .zone = "z1",
                                            .version = "v1",
                                            .slots = 8,
                                            .born_ms = 1700000000000 };

static WPReplica *put(Fake *k, const WPRegistryEntry *l)
{
    wp_fleet_put(k->d.fleet, k->now, l);
    return wp_fleet_find(k->d.fleet, l->id);
}

/* An endpoint of which this box believes much. */
static WPReplica *put_known(Fake *k)
{
    WPRegistryEntry leaving = first_life;
    WPReplica *s = put(k, &first_life);
    wp_fleet_set_load(s, k->now, 7, 5, 8);
    wp_fleet_request_ended(s, k->now, WP_OUTCOME_NO_RESPONSE);
    wp_prefix_cache_add_key(s->prefix_cache, k->now, 77, 500);
    leaving.draining = true;
    return put(k, &leaving);
}

static void a_new_life_begins_without_what_was_believed(void **state)
{
    WPRegistryEntry second = first_life;
    Fake k;
    (void)state;
    fake_init(&k);
    WPReplica *had = wp_replica_ref(put_known(&k));
    second.born_ms += 30000;
    assert_true(wp_fleet_put(k.d.fleet, k.now, &second));
    WPReplica *s = wp_fleet_find(k.d.fleet, "e1");
    assert_ptr_not_equal(s, had);
    assert_true(had->gone);
    assert_false(s->reported.draining.source);
    assert_int_equal(s->reported.load_reported_us, 0);
    assert_int_equal(s->consecutive_failures, 0);
    assert_int_equal(s->avoid_until_us, 0);
    assert_int_equal(wp_prefix_cache_size(s->prefix_cache), 0);
    assert_true(s->incarnation_hash != had->incarnation_hash);
    /* A request of the life before ends there and counts for nothing here. */
    wp_fleet_request_ended(had, k.now, WP_OUTCOME_STREAM_BROKEN);
    wp_replica_unref(had);
    assert_int_equal(s->consecutive_failures, 0);
    fake_end(&k);
}

static void what_comes_late_from_the_life_before_changes_nothing(void **state)
{
    WPRegistryEntry second = first_life, late = first_life;
    Fake k;
    (void)state;
    fake_init(&k);
    second.born_ms += 30000;
    WPReplica *s = put(&k, &second);
    late.draining = true;
    late.cold_left_ms = 60000;
    assert_false(wp_fleet_put(k.d.fleet, k.now, &late));
    assert_ptr_equal(wp_fleet_find(k.d.fleet, "e1"), s);
    assert_false(s->reported.draining.source);
    assert_true(s->reported.cold_until_us <= k.now.mono_us);
    fake_end(&k);
}

/* A start that is told for the first time is one. */
static void a_start_that_was_not_told_before_is_a_new_life(void **state)
{
    WPRegistryEntry l = first_life;
    Fake k;
    (void)state;
    fake_init(&k);
    l.born_ms = 0;
    WPReplica *had = wp_replica_ref(put(&k, &l));
    assert_ptr_not_equal(put(&k, &first_life), had);
    wp_replica_unref(had);
    had = wp_fleet_find(k.d.fleet, "e1");
    assert_ptr_equal(put(&k, &l), had); /* told no more */
    fake_end(&k);
}

/* Where starts are not told, the address, zone and service tell them apart. */
static void another_address_is_a_new_life(void **state)
{
    WPRegistryEntry l = first_life;
    Fake k;
    (void)state;
    fake_init(&k);
    l.born_ms = 0;
    WPReplica *had = put(&k, &l);
    assert_ptr_equal(put(&k, &l), had);
    wp_replica_ref(had);
    l.addr = "10.0.0.2:80";
    assert_ptr_not_equal(put(&k, &l), had);
    assert_string_equal(wp_fleet_find(k.d.fleet, "e1")->addr, "10.0.0.2:80");
    assert_true(had->gone);
    wp_replica_unref(had);
    fake_end(&k);
}

/* News between boxes names the life; boxes that know only ids are heard. */
static void news_of_a_life_that_is_over_is_passed_over(void **state)
{
    WPRegistryEntry second = first_life;
    Fake k;
    (void)state;
    fake_init(&k);
    uint64_t before = put(&k, &first_life)->incarnation_hash;
    second.born_ms += 30000;
    WPReplica *s = put(&k, &second);
    assert_null(wp_fleet_by_hash(k.d.fleet, before));
    assert_ptr_equal(wp_fleet_by_hash(k.d.fleet, s->incarnation_hash), s);
    assert_ptr_equal(wp_fleet_by_hash(k.d.fleet, s->id_hash), s);
    const WPCachedPrefixUpdate kept = { before, 77, 500 };
    wp_fleet_merge_cached_prefix(k.d.fleet, k.now, &kept);
    assert_int_equal(wp_prefix_cache_size(s->prefix_cache), 0);
    fake_end(&k);
}

static const char *chosen(Fake *k, const char *path)
{
    WPMove m;
    WPFlow *f = fake_ask(k, path, NULL, &m);
    const char *id = m.kind == WP_MOVE_SEND ? g_intern_string(m.replica->id)
                                            : wp_code_info(m.code)->code;
    wp_flow_left(f, k->now);
    wp_flow_free(f);
    return id;
}

static void put_in_zone(Fake *k, const char *id, const char *zone)
{
    const WPRegistryEntry l = { .id = id,
                                .service = "app",
                                .addr = "127.0.0.1:1",
                                .zone = zone,
                                .version = "v1",
                                .slots = 8 };
    put(k, &l);
}

static void nothing_goes_to_a_zone_that_is_out(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    put_in_zone(&k, "far", "z2");
    assert_true(wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", true));
    assert_false(wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", true));
    put_in_zone(&k, "late", "z1"); /* listed meanwhile */
    for (int i = 0; i < 50; i++)
        assert_string_equal(chosen(&k, "/safe/x"), "far");
    /* A zone that nobody knows keeps nothing out. */
    assert_true(wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z9", true));
    assert_string_equal(chosen(&k, "/safe/x"), "far");
    assert_true(wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", false));
    unsigned near = 0;
    for (int i = 0; i < 50; i++)
        near += strcmp(chosen(&k, "/safe/x"), "far") != 0;
    assert_true(near > 0);
    fake_end(&k);
}

static void a_service_that_is_out_everywhere_refuses_at_once(void **state)
{
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", true);
    WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
    assert_int_equal(m.kind, WP_MOVE_FAIL);
    assert_int_equal(m.code, WP_NO_ENDPOINT);
    assert_int_equal(m.retry_ms, 2000);
    wp_flow_free(f);
    fake_end(&k);
}

/* A retry, a stream that goes on elsewhere and a prompt that is moved choose by
   the same rule. */
static void later_legs_keep_out_of_the_zone_too(void **state)
{
    WPMove m;
    Fake k;
    (void)state;
    fake_init(&k);
    put_in_zone(&k, "far", "z2");
    WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
    while (strcmp(m.replica->id, "far")) { /* begun before the order */
        wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", true);
        wp_flow_lost(f, k.now, WP_LOSS_BROKEN, &m);
        assert_int_equal(m.kind, WP_MOVE_SEND);
    }
    wp_flow_left(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

static void an_unreadable_entry_takes_its_endpoint_out(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    put_in_zone(&k, "a1", "z1");
    wp_fleet_set_unreadable(k.d.fleet, "a1");
    wp_fleet_set_unreadable(k.d.fleet, "nobody");
    for (int i = 0; i < 20; i++)
        assert_string_equal(chosen(&k, "/safe/x"), "a2");
    put_in_zone(&k, "a1", "z1");
    unsigned back = 0;
    for (int i = 0; i < 50; i++)
        back += !strcmp(chosen(&k, "/safe/x"), "a1");
    assert_true(back > 0);
    fake_end(&k);
}

static void names_and_addresses_are_checked(void **state)
{
    static const struct {
        const char *id, *service, *addr, *zone, *version, *problem;
    } rows[] = {
        { "e1", "s", "10.0.0.1:80", "z", "v1", NULL },
        { "", "s", "10.0.0.1:80", "z", "v1", "id" },
        { "a\r\nX-Tenant: b", "s", "10.0.0.1:80", "z", "v1", "id" },
        { "e1", "", "10.0.0.1:80", "z", "v1", "service" },
        { "e1", "s", "10.0.0.1:80", "two words", "v1", "zone" },
        { "e1", "s", "10.0.0.1:80", "z", "", "version" },
        { "e1", "s", "no port", "z", "v1", "address" },
        { "e1", "s", "10.0.0.1", "z", "v1", "address" },
        { "e1", "s", "10.0.0.1:0", "z", "v1", "address" },
        { "e1", "s", "10.0.0.1:65536", "z", "v1", "address" },
        { "e1", "s", "10.0.0.300:80", "z", "v1", "address" },
        { "e1", "s", "::1:80", "z", "v1", "address" },
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        const WPRegistryEntry l = { .id = rows[i].id,
                                    .service = rows[i].service,
                                    .addr = rows[i].addr,
                                    .zone = rows[i].zone,
                                    .version = rows[i].version,
                                    .slots = 8 };
        const char *problem = wp_registry_entry_invalid_field(&l);
        if (g_strcmp0(problem, rows[i].problem))
            fail_msg("row %zu: %s", i, problem);
    }
}

static void figures_are_checked(void **state)
{
    static const struct {
        int64_t slots, cold_left_ms, born_ms;
        const char *problem;
    } rows[] = {
        { 8, 5, 5, NULL },
        { 0, 0, 0, "slots" },
        { -3, 0, 0, "slots" },
        { 100001, 0, 0, "slots" },
        { 8, -5, 0, "cold_left_ms" },
        { 8, 1000000000000000, 0, "cold_left_ms" },
        { 8, 0, -1, "born_ms" },
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        WPRegistryEntry l = first_life;
        l.slots = rows[i].slots;
        l.cold_left_ms = rows[i].cold_left_ms;
        l.born_ms = rows[i].born_ms;
        const char *problem = wp_registry_entry_invalid_field(&l);
        if (g_strcmp0(problem, rows[i].problem))
            fail_msg("row %zu: %s", i, problem);
    }
}

TESTS_MAIN(T(a_new_life_begins_without_what_was_believed),
           T(what_comes_late_from_the_life_before_changes_nothing),
           T(a_start_that_was_not_told_before_is_a_new_life),
           T(another_address_is_a_new_life),
           T(news_of_a_life_that_is_over_is_passed_over),
           T(nothing_goes_to_a_zone_that_is_out),
           T(a_service_that_is_out_everywhere_refuses_at_once),
           T(later_legs_keep_out_of_the_zone_too),
           T(an_unreadable_entry_takes_its_endpoint_out),
           T(names_and_addresses_are_checked), T(figures_are_checked))
