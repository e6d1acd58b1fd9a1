/* When a box asks the store, and what it makes of what the store lacks. */
#include "sync_fake.h"

/* A broken watch may have lost changes, and a new one may keep some back around
   the break: all is read again once, and later what has come since. */
static void after_a_broken_watch_all_is_read_once(void **state)
{
    Site s;
    (void)state;
    site_start(&s);
    tell(WP_KV_CHANGED, "s3", 14, false);
    tell(WP_KV_WATCH_LOST, NULL, 0, false);
    assert_int_equal(store.ranges, 2);
    answer_range(two, 2, 15);
    tell(WP_KV_CHANGED, "s4", 16, false);
    tick(&s, 1400);
    assert_int_equal(store.looks, 1);
    assert_int_equal(store.from, 16);
    assert_int_equal(store.ranges, 2);
    site_end(&s);
}

static void what_the_store_has_forgotten_is_read_again(void **state)
{
    Site s;
    (void)state;
    site_start(&s);
    tell(WP_KV_COMPACTED, NULL, 0, false);
    assert_int_equal(store.ranges, 2);
    answer_range(two, 1, 20);
    assert_null(known(&s, "s2"));
    tick(&s, 1400);
    assert_int_equal(store.looks, 1);
    assert_int_equal(store.from, 21);
    site_end(&s);
}

/* Of a store that does not answer: pauses grow. */
static void a_store_that_is_away_is_asked_with_growing_pauses(void **state)
{
    Site s;
    unsigned calls;
    (void)state;
    site_start(&s);
    tell(WP_KV_WATCH_LOST, NULL, 0, false);
    store.range_done(store.range_arg, &away);
    calls = store.looks;
    for (int64_t ms = 0; ms < 12000; ms += 50) {
        unsigned had = store.looks;
        tick(&s, ms);
        if (store.looks > had)
            tell(WP_KV_WATCH_LOST, NULL, 0, false);
    }
    assert_in_range(store.looks - calls, 4, 14);
    assert_int_equal(store.ranges, 2);
    site_end(&s);
}

/* Entries lapse while a store is away and come back after it. */
static void what_lapsed_with_the_store_away_is_kept_for_a_while(void **state)
{
    Site s;
    (void)state;
    site_start(&s);
    tell(WP_KV_WATCH_LOST, NULL, 0, false);
    store.range_done(store.range_arg, &away);
    tick(&s, 700);
    tell(WP_KV_CHANGED, "s1", 30, true);
    assert_non_null(known(&s, "s1"));
    assert_true(known(&s, "s1")->missing_since_us > 0);
    site_end(&s);
}

/* Later on, the store's word that an endpoint has gone is true: one was sent
   requests for 2.2 s after it had said so, 2.0 being allowed. */
static void what_goes_later_is_gone_at_once(void **state)
{
    Site s;
    (void)state;
    site_start(&s);
    tell(WP_KV_CHANGED, "s1", 30, true);
    assert_null(known(&s, "s1"));
    site_end(&s);
}

/* A box that others are told to reach first reads the store; one that is not
   is told by those. */
static void a_box_that_others_can_tell_does_not_read_at_first(void **state)
{
    static char *seeds[] = { (char *)"127.0.0.1:9" };
    Site s;
    (void)state;
    site_init(&s);
    wp_sync_free(s.host.sync);
    s.settings.seeds = seeds;
    s.settings.n_seeds = 1;
    s.settings.first_start = true;
    s.host.sync = wp_sync_new(&s.host, NULL);
    assert_int_equal(store.ranges, 0);
    tick(&s, 3000);
    assert_int_equal(store.ranges, 0);
    tick(&s, 6000); /* but they do not */
    assert_int_equal(store.ranges, 1);
    site_end(&s);
}

/* A box that is told whom to ask knows those, and no more: it does not serve.
   One that starts again is given less time than at the first start. */
static void who_is_told_whom_to_ask_does_not_know_all(void **state)
{
    static char *seeds[] = { (char *)"127.0.0.1:9" };
    Wp__MirrorItem box = WP__MIRROR_ITEM__INIT, *items[] = { &box };
    Wp__MirrorDelta d = WP__MIRROR_DELTA__INIT;
    WPStr value = wp_str("10.0.0.2:1 z1");
    Site s;
    (void)state;
    site_init(&s);
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
    site_end(&s);
}

/* While callers wait for a box that knows nothing, it asks soon again. */
static void a_box_that_knows_nothing_asks_soon_again(void **state)
{
    Site s;
    (void)state;
    site_init(&s);
    for (int64_t ms = 0; ms < 3000; ms += 50) {
        unsigned had = store.ranges;
        tick(&s, ms);
        if (store.ranges > had || ms == 0)
            store.range_done(store.range_arg, &away);
    }
    assert_in_range(store.ranges, 8, 12);
    site_end(&s);
}

TESTS_MAIN(T(after_a_broken_watch_all_is_read_once),
           T(what_the_store_has_forgotten_is_read_again),
           T(a_store_that_is_away_is_asked_with_growing_pauses),
           T(what_lapsed_with_the_store_away_is_kept_for_a_while),
           T(what_goes_later_is_gone_at_once),
           T(a_box_that_others_can_tell_does_not_read_at_first),
           T(who_is_told_whom_to_ask_does_not_know_all),
           T(a_box_that_knows_nothing_asks_soon_again))
