/* When a box reads the store, and how it handles entries that the store
 * lacks. */
#include "sync_fake.h"

/* A watch that is lost may have lost changes, and a new watch may withhold
   some from around that time. So all entries are read again once, and an
   immediate watch later gets what has changed since. */
static void after_a_lost_watch_all_is_read_once(void **state)
{
    SyncFixture s;
    (void)state;
    sync_fixture_start(&s);
    deliver_event(WP_KV_CHANGED, "s3", 14, false);
    deliver_event(WP_KV_WATCH_LOST, NULL, 0, false);
    assert_int_equal(store.ranges, 2);
    answer_range(two_ids, 2, 15);
    deliver_event(WP_KV_CHANGED, "s4", 16, false);
    tick(&s, 1400);
    assert_int_equal(store.immediate_watches, 1);
    assert_int_equal(store.from, 16);
    assert_int_equal(store.ranges, 2);
    sync_fixture_end(&s);
}

static void after_a_compaction_all_is_read_again(void **state)
{
    SyncFixture s;
    (void)state;
    sync_fixture_start(&s);
    deliver_event(WP_KV_COMPACTED, NULL, 0, false);
    assert_int_equal(store.ranges, 2);
    answer_range(two_ids, 1, 20);
    assert_null(find_endpoint(&s, "s2"));
    tick(&s, 1400);
    assert_int_equal(store.immediate_watches, 1);
    assert_int_equal(store.from, 21);
    sync_fixture_end(&s);
}

/* The interval between calls to a store that does not answer grows. */
static void calls_to_an_unavailable_store_back_off(void **state)
{
    SyncFixture s;
    unsigned calls;
    (void)state;
    sync_fixture_start(&s);
    deliver_event(WP_KV_WATCH_LOST, NULL, 0, false);
    store.range_done(store.range_arg, &unavailable);
    calls = store.immediate_watches;
    for (int64_t ms = 0; ms < 12000; ms += 50) {
        unsigned had = store.immediate_watches;
        tick(&s, ms);
        if (store.immediate_watches > had)
            deliver_event(WP_KV_WATCH_LOST, NULL, 0, false);
    }
    assert_in_range(store.immediate_watches - calls, 4, 14);
    assert_int_equal(store.ranges, 2);
    sync_fixture_end(&s);
}

/* While the store is unavailable, leases expire of endpoints that still run
   and register again after it. An endpoint that is removed shortly after is
   kept for a while. */
static void an_endpoint_lost_with_the_store_is_kept_for_a_while(void **state)
{
    SyncFixture s;
    (void)state;
    sync_fixture_start(&s);
    deliver_event(WP_KV_WATCH_LOST, NULL, 0, false);
    store.range_done(store.range_arg, &unavailable);
    tick(&s, 700);
    deliver_event(WP_KV_CHANGED, "s1", 30, true);
    assert_non_null(find_endpoint(&s, "s1"));
    assert_true(find_endpoint(&s, "s1")->missing_since_us > 0);
    sync_fixture_end(&s);
}

/* At any other time a removal takes effect at once: an endpoint was once
   sent requests for 2.2 s after it had reported that it was draining, with
   2.0 s allowed. */
static void a_removal_takes_effect_at_once(void **state)
{
    SyncFixture s;
    (void)state;
    sync_fixture_start(&s);
    deliver_event(WP_KV_CHANGED, "s1", 30, true);
    assert_null(find_endpoint(&s, "s1"));
    sync_fixture_end(&s);
}

/* A box with seeds in its settings does not read the store at its first
   start but waits for a seed to send all entries, for 4 s and some jitter;
   the seeds themselves read the store. */
static void a_box_with_seeds_does_not_read_at_first(void **state)
{
    static char *seeds[] = { (char *)"127.0.0.1:9" };
    SyncFixture s;
    (void)state;
    sync_fixture_init(&s);
    wp_sync_free(s.host.sync);
    s.settings.seeds = seeds;
    s.settings.n_seeds = 1;
    s.settings.first_start = true;
    s.host.sync = wp_sync_new(&s.host, NULL);
    assert_int_equal(store.ranges, 0);
    tick(&s, 3000);
    assert_int_equal(store.ranges, 0);
    tick(&s, 6000); /* the seeds do not send anything */
    assert_int_equal(store.ranges, 1);
    sync_fixture_end(&s);
}

/* A partial delta names the boxes to request all entries from; the box then
   knows these, but does not serve yet. When it starts again rather than for
   the first time, it waits less before it reads the store. */
static void a_partial_delta_does_not_make_a_box_ready(void **state)
{
    static char *seeds[] = { (char *)"127.0.0.1:9" };
    Wp__MirrorItem box = WP__MIRROR_ITEM__INIT, *items[] = { &box };
    Wp__MirrorDelta d = WP__MIRROR_DELTA__INIT;
    WPStr value = wp_str("10.0.0.2:1 z1");
    SyncFixture s;
    (void)state;
    sync_fixture_init(&s);
    wp_sync_free(s.host.sync);
    s.settings.seeds = seeds;
    s.settings.n_seeds = 1;
    s.host.sync = wp_sync_new(&s.host, NULL);
    box.key = (char *)WP_KEY_BOX "e2";
    box.revision = 5;
    box.has_value = 1;
    box.value.data = (uint8_t *)value.p;
    box.value.len = value.n;
    d.items = items;
    d.n_items = 1;
    d.has_partial = d.partial = 1;
    wp_sync_peers_ops.delta(s.host.sync, "e3", &d);
    assert_int_equal(wp_peers_known_count(s.host.sync->peers), 2);
    assert_false(s.host.sync->complete);
    assert_false(wp_sync_ready(s.host.sync));
    assert_int_equal(store.ranges, 0);
    tick(&s, 1000);
    assert_int_equal(store.ranges, 1);
    sync_fixture_end(&s);
}

/* A box without any entries retries soon, as callers are waiting for it: 8
   to 12 reads in 3 s. */
static void a_box_without_entries_retries_soon(void **state)
{
    SyncFixture s;
    (void)state;
    sync_fixture_init(&s);
    for (int64_t ms = 0; ms < 3000; ms += 50) {
        unsigned had = store.ranges;
        tick(&s, ms);
        if (store.ranges > had || ms == 0)
            store.range_done(store.range_arg, &unavailable);
    }
    assert_in_range(store.ranges, 8, 12);
    sync_fixture_end(&s);
}

/* Only a box of a system that has just been set up may use a window's slack at
   once. */
static void a_restarted_box_begins_without_retries(void **state)
{
    static const char *const ids[] = { "s1", WP_KEY_BOX "e2" };
    (void)state;
    for (size_t known = 1; known <= WP_COUNT(ids); known++) {
        SyncFixture s;
        sync_fixture_init(&s);
        int64_t since_us = s.host.direct.retries_since_us;
        answer_range(ids, known, 12);
        bool first = s.host.direct.retries_since_us < since_us;
        assert_int_equal(first, known == 1);
        sync_fixture_end(&s);
    }
}

/* Another box has read the store after s2 had gone. */
static void an_endpoint_that_went_before_a_peer_started_is_removed(void **state)
{
    WPMirror *peer = wp_mirror_new();
    WPStr value = wp_str("x");
    SyncFixture s;
    (void)state;
    sync_fixture_start(&s);
    uint64_t since = wp_mirror_complete_revision(s.host.sync->mirror);
    wp_mirror_put(peer, "s1", &value, 10, false);
    wp_mirror_note_copy(peer, 20);
    wp_mirror_advance(peer, 20);
    Wp__MirrorDelta *d = wp_mirror_delta(peer, since);
    wp_mirror_delta_join(d, 0);
    wp_sync_peers_ops.delta(s.host.sync, "e2", d);
    assert_non_null(find_endpoint(&s, "s1"));
    assert_null(find_endpoint(&s, "s2"));
    wp_mirror_delta_free(d);
    wp_mirror_free(peer);
    sync_fixture_end(&s);
}

static void an_acknowledged_write_is_known_before_its_watch_event(void **state)
{
    const WPKvResult taken = { true, true, 11, NULL, 0 };
    SyncFixture s;
    (void)state;
    sync_fixture_start(&s);
    tick(&s, 2000);
    assert_string_equal(store.key, WP_KEY_BOX "e1");
    assert_null(wp_mirror_get(s.host.sync->mirror, store.key));
    store.txn_done(store.txn_arg, &taken);
    assert_non_null(wp_mirror_get(s.host.sync->mirror, store.key));
    sync_fixture_end(&s);
}

enum { SUSPECT = 7 };

#define SUSPECT_KEY WP_KEY_SUSPECT "0000000000000007"

/* Crashes of three endpoints quarantine the request SUSPECT, and the store gets
   its record. */
static void quarantine(SyncFixture *s)
{
    static const WPKvResult written = { true, true, 20, NULL, 0 };
    WPTime now = wp_clock_now(0);
    for (uint64_t i = 1; i <= WP_SUSPECT_QUARANTINE_CRASHES; i++) {
        const WPSuspectAttempt a = { SUSPECT, i, 1, now.mono_us, 0 };
        wp_suspects_record_crash(s->host.direct.suspects, now, &a);
    }
    tick(s, 0);
    tick(s, 400);
    assert_string_equal(store.key, SUSPECT_KEY);
    assert_true(store.value->len > 0);
    store.txn_done(store.txn_arg, &written);
}

static void quarantine_that_has_ended_leaves_the_store_at_once(void **state)
{
    SyncFixture s;
    (void)state;
    sync_fixture_start(&s);
    quarantine(&s);
    wp_suspects_completed(s.host.direct.suspects, wp_clock_now(0), SUSPECT);
    tick(&s, 400);
    tick(&s, 800);
    assert_string_equal(store.key, SUSPECT_KEY);
    assert_int_equal(store.value->len, 0);
    sync_fixture_end(&s);
}

TESTS_MAIN(T(after_a_lost_watch_all_is_read_once),
           T(after_a_compaction_all_is_read_again),
           T(calls_to_an_unavailable_store_back_off),
           T(an_endpoint_lost_with_the_store_is_kept_for_a_while),
           T(a_removal_takes_effect_at_once),
           T(a_box_with_seeds_does_not_read_at_first),
           T(a_partial_delta_does_not_make_a_box_ready),
           T(a_box_without_entries_retries_soon),
           T(a_restarted_box_begins_without_retries),
           T(an_endpoint_that_went_before_a_peer_started_is_removed),
           T(an_acknowledged_write_is_known_before_its_watch_event),
           T(quarantine_that_has_ended_leaves_the_store_at_once))
