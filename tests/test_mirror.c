/* The local copy of the store's entries, and the removal of entries whose
 * lease may only have expired. */
#include "direct_fake.h"
#include "wp_mirror.h"

static bool put(WPMirror *m, const char *key, const char *value, uint64_t rev)
{
    WPStr v = wp_str(value);
    return wp_mirror_put(m, key, value ? &v : NULL, rev, false);
}

static void only_newer_entries_are_applied(void **state)
{
    WPMirror *m = wp_mirror_new();
    (void)state;
    assert_true(put(m, "a", "1", 5));
    assert_false(put(m, "a", "0", 4));
    assert_false(put(m, "a", "1", 5));
    assert_int_equal(wp_mirror_key_revision(m, "a"), 5);
    assert_true(put(m, "a", NULL, 6));
    assert_int_equal(wp_mirror_key_revision(m, "a"), 0);
    /* An older copy does not restore a removed entry. */
    assert_false(put(m, "a", "1", 5));
    assert_true(put(m, "a", "2", 9));
    wp_mirror_free(m);
}

/* A box that the store does not answer receives all changes from another
   box, removals included. */
static void a_delta_brings_another_box_up_to_date(void **state)
{
    WPMirror *a = wp_mirror_new(), *b = wp_mirror_new();
    (void)state;
    put(a, "x", "1", 3);
    put(b, "x", "1", 3);
    put(b, "gone", "1", 4);
    wp_mirror_advance(b, 4);
    put(a, "gone", "1", 4);
    put(a, "gone", NULL, 7);
    put(a, "y", "2", 6);
    wp_mirror_advance(a, 8);
    Wp__MirrorDelta *d = wp_mirror_delta(a, wp_mirror_complete_revision(b));
    assert_int_equal(d->n_items, 2);
    for (size_t i = 0; i < d->n_items; i++) {
        const Wp__MirrorItem *item = d->items[i];
        g_autoptr(GBytes) bytes = wp_mirror_item_value(item);
        gsize n = 0;
        const char *data = bytes ? g_bytes_get_data(bytes, &n) : NULL;
        WPStr v = wp_strn(data, n);
        wp_mirror_put(b, item->key, bytes ? &v : NULL, item->revision,
                      item->lapsed);
    }
    wp_mirror_advance(b, d->complete);
    assert_int_equal(wp_mirror_complete_revision(b), 8);
    assert_null(wp_mirror_get(b, "gone"));
    assert_int_equal(wp_mirror_key_revision(b, "y"), 6);
    wp_mirror_delta_free(d);
    wp_mirror_free(a);
    wp_mirror_free(b);
}

/* A configuration of many routes is repetitive: boxes with slow links
   receive it in time only if it is compressed. */
static uint64_t delta_since(const WPMirror *m, uint64_t since)
{
    Wp__MirrorDelta *d = wp_mirror_delta(m, since);
    uint64_t begins = d->since;
    wp_mirror_delta_free(d);
    return begins;
}

static void a_copy_sends_no_changes_from_before_it(void **state)
{
    WPMirror *m = wp_mirror_new();
    (void)state;
    put(m, "x", "1", 3);
    wp_mirror_note_copy(m, 10);
    wp_mirror_advance(m, 10);
    assert_int_equal(delta_since(m, 9), 0);
    assert_int_equal(delta_since(m, 10), 10);
    wp_mirror_advance(m, 12);
    wp_mirror_note_copy(m, 20); /* it was read again at 20 */
    wp_mirror_advance(m, 20);
    assert_int_equal(delta_since(m, 9), 0);
    assert_int_equal(delta_since(m, 12), 12);
    assert_int_equal(delta_since(m, 13), 0);
    assert_int_equal(delta_since(m, 20), 20);
    wp_mirror_free(m);
}

static void large_values_are_compressed(void **state)
{
    WPMirror *m = wp_mirror_new();
    g_autoptr(GString) big = g_string_new(NULL);
    (void)state;
    for (int i = 0; i < 1000; i++)
        g_string_append_printf(big, "{\"name\":\"route-%d\"},", i);
    put(m, "big", big->str, 3);
    Wp__MirrorDelta *d = wp_mirror_delta(m, 0);
    assert_true(d->items[0]->has_packed);
    assert_true(d->items[0]->packed.len * 4 < big->len);
    g_autoptr(GBytes) bytes = wp_mirror_item_value(d->items[0]);
    assert_int_equal(g_bytes_get_size(bytes), big->len);
    assert_memory_equal(g_bytes_get_data(bytes, NULL), big->str, big->len);
    /* A damaged value is rejected. */
    uint8_t half[64];
    memcpy(half, d->items[0]->packed.data, sizeof(half));
    d->items[0]->packed.data = half;
    d->items[0]->packed.len = sizeof(half);
    assert_null(wp_mirror_item_value(d->items[0]));
    wp_mirror_delta_free(d);
    wp_mirror_free(m);
}

/* Returns a copy with entries of this many endpoints and boxes, in the form
   in which the platform stores them. */
static WPMirror *fleet_of(unsigned endpoints, unsigned boxes)
{
    WPMirror *m = wp_mirror_new();
    GRand *rand = g_rand_new_with_seed(endpoints);
    for (unsigned i = 0; i < endpoints; i++) {
        g_autofree char *key =
            g_strdup_printf("servers/i-%08x%02x", g_rand_int(rand), i % 256);
        g_autofree char *text = g_strdup_printf(
            "{\"service\":\"huvo11a\",\"address\":\"10.%u.%u.%u:8080\","
            "\"zone\":\"depot-%u\",\"version\":\"v1\",\"slots\":24,"
            "\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"unified\","
            "\"models\":[{\"name\":\"daka510000\",\"version\":1,"
            "\"adapters\":[]}],\"callSeq\":0,\"born\":%u}",
            i % 5, i / 250, i % 250, i % 5, g_rand_int(rand));
        WPStr value = wp_str(text);
        wp_mirror_put(m, key, &value, i + 1, false);
    }
    for (unsigned i = 0; i < boxes; i++) {
        g_autofree char *key = g_strdup_printf("wp/box/front-depot-%u", i);
        g_autofree char *text = g_strdup_printf("10.%u.%u.%u:8089 depot-%u",
                                                i % 5, i / 250, i % 250, i % 5);
        WPStr value = wp_str(text);
        wp_mirror_put(m, key, &value, endpoints + i + 1, false);
    }
    wp_mirror_advance(m, endpoints + boxes);
    g_rand_free(rand);
    return m;
}

static size_t compressed_size(WPMirror *m)
{
    Wp__MirrorDelta *d = wp_mirror_delta_compressed(m, 0);
    size_t n = wp__mirror_delta__get_packed_size(d);
    wp_mirror_delta_free(d);
    return n;
}

static size_t plain_size(WPMirror *m)
{
    Wp__MirrorDelta *d = wp_mirror_delta(m, 0);
    size_t n = wp__mirror_delta__get_packed_size(d);
    wp_mirror_delta_free(d);
    return n;
}

/* A starting box receives all entries from another one. Uncompressed, the
   1,005 entries of a fleet took 300 KB, so that the boxes of larger fleets
   had to read the store, each for itself. */
static void all_entries_are_sent_as_one_compressed_block(void **state)
{
    (void)state;
    WPMirror *fleet = fleet_of(620, 385), *double_fleet = fleet_of(1240, 770);
    print_message(
        "bytes of all entries, plain and compressed: %zu, %zu; of twice as "
        "many: %zu, %zu\n",
        plain_size(fleet), compressed_size(fleet), plain_size(double_fleet),
        compressed_size(double_fleet));
    assert_true(compressed_size(fleet) < 50000);
    assert_true(compressed_size(double_fleet) < 100000);
    assert_true(plain_size(fleet) > 4 * compressed_size(fleet));
    wp_mirror_free(fleet);
    wp_mirror_free(double_fleet);
}

/* Instead of all entries, a starting box may be sent only the boxes of its
   zone, to request the entries from: 77 boxes take about 1 KB. */
static void a_partial_delta_has_the_boxes_of_a_zone(void **state)
{
    (void)state;
    WPMirror *m = fleet_of(620, 385);
    Wp__MirrorDelta *d = wp_mirror_delta_matching(m, "wp/box/", " depot-3");
    assert_true(d->partial && d->has_packed);
    assert_true(d->packed.len < 16 * 77);
    Wp__MirrorDelta *read = wp_mirror_delta_decompress(d);
    assert_int_equal(read->n_items, 77);
    assert_true(read->partial);
    assert_int_equal(read->complete, 0);
    wp_pb_free(read);
    wp_mirror_delta_free(d);
    d = wp_mirror_delta_matching(m, "wp/box/", " depot-none");
    assert_int_equal(d->n_items, 0);
    assert_true(d->partial);
    wp_mirror_delta_free(d);
    wp_mirror_free(m);
}

static void a_compressed_delta_is_decompressed(void **state)
{
    (void)state;
    WPMirror *m = fleet_of(100, 20);
    wp_mirror_put(m, "servers/gone", NULL, 500, true);
    Wp__MirrorDelta *d = wp_mirror_delta_compressed(m, 0);
    Wp__MirrorDelta *read = wp_mirror_delta_decompress(d);
    assert_non_null(read);
    assert_int_equal(read->n_items, 121);
    assert_int_equal(read->complete, wp_mirror_complete_revision(m));
    const Wp__MirrorItem *last = read->items[120];
    assert_string_equal(last->key, "servers/gone");
    assert_true(last->removed && last->lapsed);
    g_autoptr(GBytes) value = wp_mirror_item_value(read->items[0]);
    assert_true(g_bytes_get_size(value) > 100);
    d->size /= 2;
    assert_null(wp_mirror_delta_decompress(d));
    d->size = UINT32_MAX;
    assert_null(wp_mirror_delta_decompress(d));
    wp_pb_free(read);
    wp_mirror_delta_free(d);
    /* A later change of an entry is part of the next delta, although the
       compressed block is cached. */
    WPStr value2 = wp_str("x");
    wp_mirror_put(m, "servers/gone", &value2, 501, false);
    d = wp_mirror_delta_compressed(m, 0);
    read = wp_mirror_delta_decompress(d);
    assert_false(read->items[120]->removed);
    wp_pb_free(read);
    wp_mirror_delta_free(d);
    wp_mirror_free(m);
}

/* Whether a removal may only be an expired lease is sent along with it, so
   it does not depend on whether the receiving or the sending box has
   recently been without the store. */
static void lapsed_is_sent_with_a_removal(void **state)
{
    WPMirror *a = wp_mirror_new();
    (void)state;
    wp_mirror_put(a, "lapsed", NULL, 3, true);
    wp_mirror_put(a, "left", NULL, 4, false);
    Wp__MirrorDelta *d = wp_mirror_delta(a, 0);
    assert_int_equal(d->n_items, 2);
    assert_true(d->items[0]->lapsed);
    assert_false(d->items[1]->lapsed);
    wp_mirror_delta_free(d);
    wp_mirror_free(a);
}

/* An entry that is newer than a full read of the store is not missing from
   it. */
static void newer_entries_are_not_missing_from_a_read(void **state)
{
    WPMirror *m = wp_mirror_new();
    g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
    (void)state;
    put(m, "kept", "1", 3);
    put(m, "lost", "1", 4);
    put(m, "newer", "1", 12);
    g_hash_table_add(keys, (gpointer) "kept");
    g_autoptr(GPtrArray) missing = wp_mirror_not_in(m, keys, 10);
    assert_int_equal(missing->len, 1);
    assert_string_equal(((WPMirrorItem *)missing->pdata[0])->key, "lost");
    wp_mirror_free(m);
}

static unsigned app_endpoints(Fake *k)
{
    WPEndpointQuery w = { .service = "app", .zone = "z1" };
    return wp_fleet_count_eligible(k->d.fleet, &w);
}

/* While the store is unavailable, leases of endpoints that still run expire.
   An endpoint whose entry may have gone for that reason is kept for two
   seconds, in which it can register again; an explicit removal takes effect
   at once. */
static void a_lapsed_endpoint_is_kept_for_a_while(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    wp_fleet_remove(k.d.fleet, k.now, "a1", true);
    assert_int_equal(app_endpoints(&k), 2);
    fake_advance(&k, 1500);
    fake_put(&k, "a1", "app", "v1", false);
    fake_advance(&k, 3000);
    assert_int_equal(app_endpoints(&k), 2);
    wp_fleet_remove(k.d.fleet, k.now, "a1", true);
    fake_advance(&k, 3000);
    assert_int_equal(app_endpoints(&k), 1);
    wp_fleet_remove(k.d.fleet, k.now, "a2", false);
    assert_int_equal(app_endpoints(&k), 0);
    fake_end(&k);
}

static void a_failing_endpoint_is_ejected_and_probed(void **state)
{
    Fake k;
    WPEndpointQuery w = { .service = "app", .zone = "z1" };
    unsigned bad = 0;
    (void)state;
    fake_init(&k);
    WPReplica *a1 = wp_fleet_find(k.d.fleet, "a1");
    for (int i = 0; i < 4; i++) {
        wp_fleet_request_sent(k.d.fleet, a1, k.now, &w, 0);
        wp_fleet_request_ended(a1, k.now, WP_OUTCOME_NO_RESPONSE);
    }
    for (int i = 0; i < 100; i++) {
        WPReplica *s = wp_fleet_choose(k.d.fleet, k.now, &w);
        bad += s == a1;
        wp_replica_unref(s);
    }
    assert_int_equal(bad, 0);
    fake_advance(&k, 20000);
    for (int i = 0; i < 100; i++) {
        WPReplica *s = wp_fleet_choose(k.d.fleet, k.now, &w);
        bad += s == a1;
        wp_replica_unref(s);
    }
    assert_true(bad > 10);
    fake_end(&k);
}

static void the_own_zone_is_preferred_until_loaded(void **state)
{
    Fake k;
    WPRegistryEntry remote = { .id = "a9",
                               .service = "app",
                               .addr = "127.0.0.1:9",
                               .zone = "z2",
                               .version = "v1",
                               .slots = 8 };
    WPEndpointQuery w = { .service = "app", .zone = "z1" };
    (void)state;
    fake_init(&k);
    wp_fleet_put(k.d.fleet, k.now, &remote);
    for (int i = 0; i < 100; i++) {
        WPReplica *s = wp_fleet_choose(k.d.fleet, k.now, &w);
        assert_string_equal(s->zone, "z1");
        wp_replica_unref(s);
    }
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "a1"), k.now, 8, 4, 8);
    wp_fleet_set_load(wp_fleet_find(k.d.fleet, "a2"), k.now, 8, 4, 8);
    WPReplica *s = wp_fleet_choose(k.d.fleet, k.now, &w);
    assert_string_equal(s->id, "a9");
    wp_replica_unref(s);
    fake_end(&k);
}

TESTS_MAIN(T(only_newer_entries_are_applied),
           T(a_delta_brings_another_box_up_to_date),
           T(a_copy_sends_no_changes_from_before_it),
           T(large_values_are_compressed),
           T(all_entries_are_sent_as_one_compressed_block),
           T(a_partial_delta_has_the_boxes_of_a_zone),
           T(a_compressed_delta_is_decompressed),
           T(lapsed_is_sent_with_a_removal),
           T(newer_entries_are_not_missing_from_a_read),
           T(a_lapsed_endpoint_is_kept_for_a_while),
           T(a_failing_endpoint_is_ejected_and_probed),
           T(the_own_zone_is_preferred_until_loaded))
