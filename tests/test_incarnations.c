/* Endpoints that restart under their id, zones that an operator evacuates, and
 * invalid registry entries. */
#include "direct_fake.h"
#include "wp_box_updates.h"

static const WPRegistryEntry first_incarnation = { .id = "e1",
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

/* Registers an endpoint of which this box knows its load, a failure, a cached
   prefix and that it is draining. */
static WPReplica *put_with_state(Fake *k)
{
    WPRegistryEntry draining = first_incarnation;
    WPReplica *s = put(k, &first_incarnation);
    wp_fleet_set_load(s, k->now, 7, 5, 8);
    wp_fleet_request_ended(s, k->now, WP_OUTCOME_NO_RESPONSE);
    wp_prefix_cache_add_key(s->prefix_cache, k->now, 77, 500);
    draining.draining = true;
    return put(k, &draining);
}

static void new_incarnation_starts_without_state(void **state)
{
    WPRegistryEntry second = first_incarnation;
    Fake k;
    (void)state;
    fake_init(&k);
    WPReplica *old = wp_replica_ref(put_with_state(&k));
    second.born_ms += 30000;
    assert_true(wp_fleet_put(k.d.fleet, k.now, &second));
    WPReplica *s = wp_fleet_find(k.d.fleet, "e1");
    assert_ptr_not_equal(s, old);
    assert_true(old->gone);
    assert_false(s->reported.draining.source);
    assert_int_equal(s->reported.load_reported_us, 0);
    assert_int_equal(s->consecutive_failures, 0);
    assert_int_equal(s->avoid_until_us, 0);
    assert_int_equal(wp_prefix_cache_size(s->prefix_cache), 0);
    assert_true(s->incarnation_hash != old->incarnation_hash);
    /* A request to the previous incarnation ends there and does not count
       against the new one. */
    wp_fleet_request_ended(old, k.now, WP_OUTCOME_STREAM_BROKEN);
    wp_replica_unref(old);
    assert_int_equal(s->consecutive_failures, 0);
    fake_end(&k);
}

static void late_entry_of_the_previous_incarnation_is_ignored(void **state)
{
    WPRegistryEntry second = first_incarnation, late = first_incarnation;
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

/* The first entry that gives a start time begins a new incarnation. */
static void first_start_time_begins_a_new_incarnation(void **state)
{
    WPRegistryEntry l = first_incarnation;
    Fake k;
    (void)state;
    fake_init(&k);
    l.born_ms = 0;
    WPReplica *old = wp_replica_ref(put(&k, &l));
    assert_ptr_not_equal(put(&k, &first_incarnation), old);
    wp_replica_unref(old);
    old = wp_fleet_find(k.d.fleet, "e1");
    assert_ptr_equal(put(&k, &l), old); /* the start time is missing again */
    fake_end(&k);
}

/* Without start times, the address, zone and service distinguish
   incarnations. */
static void another_address_is_a_new_incarnation(void **state)
{
    WPRegistryEntry l = first_incarnation;
    Fake k;
    (void)state;
    fake_init(&k);
    l.born_ms = 0;
    WPReplica *old = put(&k, &l);
    assert_ptr_equal(put(&k, &l), old);
    wp_replica_ref(old);
    l.addr = "10.0.0.2:80";
    assert_ptr_not_equal(put(&k, &l), old);
    assert_string_equal(wp_fleet_find(k.d.fleet, "e1")->addr, "10.0.0.2:80");
    assert_true(old->gone);
    wp_replica_unref(old);
    fake_end(&k);
}

/* Updates between boxes name the incarnation; those of boxes that know only ids
   are accepted as well. */
static void updates_of_an_ended_incarnation_are_ignored(void **state)
{
    WPRegistryEntry second = first_incarnation;
    Fake k;
    (void)state;
    fake_init(&k);
    uint64_t before = put(&k, &first_incarnation)->incarnation_hash;
    second.born_ms += 30000;
    WPReplica *s = put(&k, &second);
    assert_null(wp_fleet_by_hash(k.d.fleet, before));
    assert_ptr_equal(wp_fleet_by_hash(k.d.fleet, s->incarnation_hash), s);
    assert_ptr_equal(wp_fleet_by_hash(k.d.fleet, s->id_hash), s);
    const WPCachedPrefixUpdate update = { before, 77, 500 };
    wp_fleet_merge_cached_prefix(k.d.fleet, k.now, &update);
    assert_int_equal(wp_prefix_cache_size(s->prefix_cache), 0);
    fake_end(&k);
}

static const char *chosen_endpoint(Fake *k, const char *path)
{
    WPFlowAction m;
    WPFlow *f = fake_ask(k, path, NULL, &m);
    const char *id = m.kind == WP_FLOW_SEND ? g_intern_string(m.replica->id)
                                            : wp_code_info(m.code)->code;
    wp_flow_on_caller_gone(f, k->now);
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

static void evacuated_zone_gets_no_requests(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    put_in_zone(&k, "far", "z2");
    assert_true(wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", true));
    assert_false(wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", true));
    put_in_zone(&k, "late", "z1"); /* registered meanwhile */
    for (int i = 0; i < 50; i++)
        assert_string_equal(chosen_endpoint(&k, "/safe/x"), "far");
    /* Evacuating an unknown zone excludes no endpoint. */
    assert_true(wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z9", true));
    assert_string_equal(chosen_endpoint(&k, "/safe/x"), "far");
    assert_true(wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", false));
    unsigned local = 0;
    for (int i = 0; i < 50; i++)
        local += strcmp(chosen_endpoint(&k, "/safe/x"), "far") != 0;
    assert_true(local > 0);
    fake_end(&k);
}

static void service_evacuated_everywhere_refuses_at_once(void **state)
{
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", true);
    WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
    assert_int_equal(m.kind, WP_FLOW_FAIL);
    assert_int_equal(m.code, WP_NO_ENDPOINT);
    assert_int_equal(m.retry_ms, 2000);
    wp_flow_free(f);
    fake_end(&k);
}

/* Retries, resumed streams and transfers of cached prefixes choose endpoints by
   the same rule. */
static void later_attempts_avoid_the_zone_too(void **state)
{
    WPFlowAction m;
    Fake k;
    (void)state;
    fake_init(&k);
    put_in_zone(&k, "far", "z2");
    WPFlow *f = fake_ask(&k, "/safe/x", NULL, &m);
    while (strcmp(m.replica->id, "far")) { /* sent before the evacuation */
        wp_fleet_set_zone_evacuated(k.d.fleet, k.now, "z1", true);
        wp_flow_on_lost(f, k.now, WP_LOSS_BROKEN, &m);
        assert_int_equal(m.kind, WP_FLOW_SEND);
    }
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

static void unreadable_entry_excludes_its_endpoint(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    put_in_zone(&k, "a1", "z1");
    wp_fleet_set_unreadable(k.d.fleet, "a1");
    wp_fleet_set_unreadable(k.d.fleet, "nobody");
    for (int i = 0; i < 20; i++)
        assert_string_equal(chosen_endpoint(&k, "/safe/x"), "a2");
    put_in_zone(&k, "a1", "z1");
    unsigned returned = 0;
    for (int i = 0; i < 50; i++)
        returned += !strcmp(chosen_endpoint(&k, "/safe/x"), "a1");
    assert_true(returned > 0);
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

static void numbers_are_checked(void **state)
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
        WPRegistryEntry l = first_incarnation;
        l.slots = rows[i].slots;
        l.cold_left_ms = rows[i].cold_left_ms;
        l.born_ms = rows[i].born_ms;
        const char *problem = wp_registry_entry_invalid_field(&l);
        if (g_strcmp0(problem, rows[i].problem))
            fail_msg("row %zu: %s", i, problem);
    }
}

TESTS_MAIN(T(new_incarnation_starts_without_state),
           T(late_entry_of_the_previous_incarnation_is_ignored),
           T(first_start_time_begins_a_new_incarnation),
           T(another_address_is_a_new_incarnation),
           T(updates_of_an_ended_incarnation_are_ignored),
           T(evacuated_zone_gets_no_requests),
           T(service_evacuated_everywhere_refuses_at_once),
           T(later_attempts_avoid_the_zone_too),
           T(unreadable_entry_excludes_its_endpoint),
           T(names_and_addresses_are_checked), T(numbers_are_checked))
