/* What a box makes of a store that was restored from an older copy: the order
 * of revisions, lost changes, and what is written again. */
#include "sync_fake.h"

static uint64_t in_era(uint64_t era, uint64_t number)
{
    return wp_revision(era, number);
}

static WPMirrorChange put(WPMirror *m, const char *key, const char *value,
                          uint64_t revision)
{
    WPStr v = wp_str(value);
    return wp_mirror_put(m, key, value ? &v : NULL, revision, false);
}

static bool has(const WPMirror *m, const char *key, const char *value)
{
    const WPMirrorItem *i = wp_mirror_get(m, key);
    gsize n;
    if (!i || !value)
        return !i && !value;
    const char *p = g_bytes_get_data(i->value, &n);
    return wp_str_eq(wp_strn(p, n), wp_str(value));
}

static void only_a_higher_era_counts(void **state)
{
    static const struct {
        const char *text;
        WPStoreEraChange change;
        uint64_t number;
    } steps[] = { { NULL, WP_STORE_ERA_SAME, 0 },
                  { "4", WP_STORE_ERA_RISEN, 4 },
                  { NULL, WP_STORE_ERA_SAME, 4 },
                  { " 4 ", WP_STORE_ERA_SAME, 4 },
                  { "3", WP_STORE_ERA_LATE, 4 },
                  { "five", WP_STORE_ERA_INVALID, 4 },
                  { "-5", WP_STORE_ERA_INVALID, 4 },
                  { "", WP_STORE_ERA_INVALID, 4 },
                  { "999999999999", WP_STORE_ERA_INVALID, 4 },
                  { "6", WP_STORE_ERA_RISEN, 6 },
                  { "5", WP_STORE_ERA_LATE, 6 } };
    WPStoreEra era = { 0 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(steps); i++) {
        assert_int_equal(wp_store_era_observe(&era, steps[i].text),
                         steps[i].change);
        assert_int_equal(era.number, steps[i].number);
    }
}

static void a_lower_number_of_a_later_era_is_newer(void **state)
{
    WPMirror *m = wp_mirror_new();
    (void)state;
    assert_true(in_era(2, 5) > in_era(1, 900));
    assert_int_equal(wp_revision_number(in_era(2, 5)), 5);
    wp_mirror_advance(m, in_era(1, 100));
    put(m, "key", "old", in_era(1, 900));
    wp_mirror_advance(m, in_era(1, 901));
    assert_int_equal(put(m, "key", "new", in_era(2, 5)), WP_MIRROR_CHANGED);
    assert_int_equal(put(m, "key", "old", in_era(1, 950)), WP_MIRROR_OLD);
    wp_mirror_advance(m, in_era(2, 6));
    wp_mirror_advance(m, in_era(1, 990));
    assert_int_equal(wp_mirror_complete_revision(m), in_era(2, 6));
    assert_true(has(m, "key", "new"));
    wp_mirror_free(m);
}

/* A copy that has entries from the read at 100 on and the given changes of
   "key": a value, another one, and in the end `last` (NULL: removed). */
static WPMirror *copy_with_changes(const char *last)
{
    WPMirror *m = wp_mirror_new();
    put(m, "other", "x", in_era(1, 90));
    wp_mirror_advance(m, in_era(1, 100));
    put(m, "key", "first", in_era(1, 110));
    put(m, "key", last, in_era(1, 150));
    wp_mirror_advance(m, in_era(1, 160));
    return m;
}

static void an_unchanged_entry_only_gets_another_revision(void **state)
{
    WPMirror *m = copy_with_changes("last");
    (void)state;
    assert_int_equal(put(m, "other", "x", in_era(2, 90)), WP_MIRROR_SAME);
    assert_int_equal(wp_mirror_key_revision(m, "other"), in_era(2, 90));
    assert_false(wp_mirror_get(m, "other")->lost);
    wp_mirror_free(m);
}

static void a_lost_change_stays_until_it_is_written_again(void **state)
{
    WPMirror *m = copy_with_changes("last");
    (void)state;
    assert_int_equal(put(m, "key", "first", in_era(2, 110)), WP_MIRROR_LOST);
    assert_true(has(m, "key", "last"));
    assert_true(wp_mirror_get(m, "key")->lost);
    assert_int_equal(wp_mirror_key_revision(m, "key"), in_era(2, 110));
    assert_int_equal(put(m, "key", "last", in_era(2, 130)), WP_MIRROR_SAME);
    assert_false(wp_mirror_get(m, "key")->lost);
    assert_int_equal(wp_mirror_key_revision(m, "key"), in_era(2, 130));
    assert_int_equal(put(m, "key", "next", in_era(2, 131)), WP_MIRROR_CHANGED);
    wp_mirror_free(m);
}

static void a_change_after_a_restore_replaces_a_lost_one(void **state)
{
    (void)state;
    for (int read_before = 0; read_before < 2; read_before++) {
        WPMirror *m = copy_with_changes("last");
        if (read_before)
            put(m, "key", "first", in_era(2, 110));
        assert_int_equal(put(m, "key", "next", in_era(2, 125)),
                         WP_MIRROR_CHANGED);
        assert_true(has(m, "key", "next"));
        wp_mirror_free(m);
    }
}

/* Two changes were lost, and the new one has a number between theirs. */
static void a_change_with_a_number_given_before_is_a_new_one(void **state)
{
    WPMirror *m = copy_with_changes("last");
    (void)state;
    put(m, "key", "latest", in_era(1, 170));
    assert_int_equal(put(m, "key", "next", in_era(2, 130)), WP_MIRROR_CHANGED);
    assert_true(has(m, "key", "next"));
    wp_mirror_free(m);
}

static void a_lost_removal_stays(void **state)
{
    WPMirror *m = copy_with_changes(NULL);
    (void)state;
    assert_int_equal(put(m, "key", "first", in_era(2, 110)), WP_MIRROR_LOST);
    assert_true(has(m, "key", NULL));
    /* The store has the entry, and a write depends on that. */
    assert_int_equal(wp_mirror_key_revision(m, "key"), in_era(2, 110));
    assert_int_equal(put(m, "key", "first", in_era(2, 170)), WP_MIRROR_CHANGED);
    wp_mirror_free(m);
}

static void a_missing_entry_stays_until_it_is_written_again(void **state)
{
    WPMirror *m = copy_with_changes("last");
    (void)state;
    put(m, "other", "x", in_era(2, 90));
    assert_int_equal(wp_mirror_mark_missing(m, 2), 1);
    assert_true(has(m, "key", "last"));
    assert_int_equal(wp_mirror_key_revision(m, "key"), 0);
    g_autoptr(GPtrArray) lost = wp_mirror_lost(m, "k");
    assert_int_equal(lost->len, 1);
    assert_int_equal(put(m, "key", "last", in_era(2, 101)), WP_MIRROR_SAME);
    assert_int_equal(wp_mirror_key_revision(m, "key"), in_era(2, 101));
    wp_mirror_free(m);
}

static void restores_in_series_lose_changes_again(void **state)
{
    WPMirror *m = copy_with_changes("last");
    (void)state;
    put(m, "key", "first", in_era(2, 110));
    put(m, "key", "last", in_era(2, 130));
    wp_mirror_advance(m, in_era(2, 140));
    /* The copy is from before the change was written again. */
    assert_int_equal(put(m, "key", "first", in_era(3, 110)), WP_MIRROR_LOST);
    assert_int_equal(put(m, "key", "first", in_era(4, 110)), WP_MIRROR_LOST);
    assert_true(has(m, "key", "last"));
    /* A new change may have a number that was given before. */
    assert_int_equal(put(m, "key", "next", in_era(5, 120)), WP_MIRROR_CHANGED);
    wp_mirror_free(m);
}

/* Sends all that `to` lacks, as boxes do. */
static void send_delta(WPMirror *from, WPMirror *to)
{
    uint64_t era = wp_revision_era(wp_mirror_complete_revision(to));
    Wp__MirrorDelta *d = wp_mirror_delta(from, wp_mirror_complete_revision(to));
    wp_mirror_delta_join(d, era);
    assert_int_equal(d->since, wp_mirror_complete_revision(to));
    for (size_t i = 0; i < d->n_items; i++) {
        const Wp__MirrorItem *item = d->items[i];
        g_autoptr(GBytes) bytes = wp_mirror_item_value(item);
        gsize n = 0;
        const char *data = bytes ? g_bytes_get_data(bytes, &n) : NULL;
        WPStr v = wp_strn(data, n);
        wp_mirror_put(to, item->key, bytes ? &v : NULL, item->revision, false);
        if (item->lost)
            wp_mirror_mark_lost(to, item->key);
    }
    wp_mirror_advance(to, d->complete);
    wp_mirror_delta_free(d);
}

static void a_box_of_the_era_before_gets_all_from_one_of_the_next(void **state)
{
    WPMirror *a = copy_with_changes("last"), *b = copy_with_changes("last");
    (void)state;
    put(a, "key", "first", in_era(2, 110));
    put(a, "other", "x", in_era(2, 90));
    put(a, "new", "y", in_era(2, 121));
    wp_mirror_advance(a, in_era(2, 121));
    Wp__MirrorDigest d = WP__MIRROR_DIGEST__INIT;
    wp_mirror_digest_set_complete(&d, wp_mirror_complete_revision(a));
    assert_int_equal(d.complete, 121);
    wp_mirror_digest_join(&d, 1);
    assert_true(d.complete > wp_mirror_complete_revision(b));
    send_delta(a, b);
    assert_true(has(b, "new", "y") && has(b, "key", "last"));
    assert_true(wp_mirror_get(b, "key")->lost);
    assert_int_equal(wp_mirror_key_revision(b, "other"), in_era(2, 90));
    assert_int_equal(wp_mirror_complete_revision(b), in_era(2, 121));
    wp_mirror_free(a);
    wp_mirror_free(b);
}

/* As a box that was started from an older build sends it. */
static void a_message_without_an_era_is_of_the_own_one(void **state)
{
    Wp__MirrorDigest d = WP__MIRROR_DIGEST__INIT;
    Wp__MirrorPull p = WP__MIRROR_PULL__INIT;
    (void)state;
    d.complete = 70;
    p.since = 60;
    wp_mirror_digest_join(&d, 3);
    wp_mirror_pull_join(&p, 3);
    assert_int_equal(d.complete, in_era(3, 70));
    assert_int_equal(p.since, in_era(3, 60));
}

static void a_box_that_knows_nothing_gets_all(void **state)
{
    WPMirror *a = wp_mirror_new(), *b = wp_mirror_new();
    Wp__MirrorPull p = WP__MIRROR_PULL__INIT;
    (void)state;
    put(a, "key", "x", in_era(2, 9));
    wp_mirror_advance(a, in_era(2, 10));
    wp_mirror_pull_set_since(&p, wp_mirror_complete_revision(b));
    wp_mirror_pull_join(&p, 2);
    assert_int_equal(p.since, 0);
    send_delta(a, b);
    assert_true(has(b, "key", "x"));
    assert_int_equal(wp_mirror_complete_revision(b), in_era(2, 10));
    wp_mirror_free(a);
    wp_mirror_free(b);
}

/* A box that has read two endpoints in era 1, and learns of era 2 when it reads
   `ids` there. */
static void start_and_restore(SyncFixture *s, const char *const *ids, size_t n)
{
    sync_fixture_init(s);
    answer_range(two_ids, 2, in_era(1, 100));
    deliver_event(WP_KV_COMPACTED, NULL, 0, false);
    answer_range(ids, n, in_era(2, 80));
}

static void
an_endpoint_that_the_store_has_lost_is_kept_for_a_while(void **state)
{
    SyncFixture s;
    (void)state;
    start_and_restore(&s, two_ids, 1);
    assert_non_null(find_endpoint(&s, "s2"));
    tick(&s, 2500);
    assert_non_null(find_endpoint(&s, "s2"));
    tick(&s, 3100);
    deliver_event(WP_KV_UNCHANGED, NULL, 0, false);
    tick(&s, 3200);
    assert_null(find_endpoint(&s, "s2"));
    assert_non_null(find_endpoint(&s, "s1"));
    sync_fixture_end(&s);
}

static void an_endpoint_that_registers_again_stays(void **state)
{
    SyncFixture s;
    (void)state;
    start_and_restore(&s, two_ids, 1);
    deliver_event(WP_KV_CHANGED, "s2", in_era(2, 81), false);
    tick(&s, 3100);
    deliver_event(WP_KV_UNCHANGED, NULL, 0, false);
    tick(&s, 3200);
    assert_non_null(find_endpoint(&s, "s2"));
    sync_fixture_end(&s);
}

/* Until the store was read in its present era, conditions on revisions mean
   nothing. */
static void nothing_is_written_by_revisions_of_an_earlier_era(void **state)
{
    SyncFixture s;
    (void)state;
    sync_fixture_init(&s);
    answer_range(two_ids, 2, in_era(1, 100));
    store.kv.era.number = 1;
    assert_true(wp_sync_may_write(s.host.sync));
    assert_true(wp_kv_observe_era(&store.kv, "2"));
    assert_false(wp_sync_may_write(s.host.sync));
    for (int64_t ms = 0; ms < 3000; ms += 50)
        tick(&s, ms);
    assert_int_equal(store.txns, 0);
    assert_int_equal(store.ranges, 2);
    answer_range(two_ids, 2, in_era(2, 90));
    assert_true(wp_sync_may_write(s.host.sync));
    assert_false(wp_kv_observe_era(&store.kv, "1"));
    sync_fixture_end(&s);
}

static void what_a_box_had_written_is_written_again_once(void **state)
{
    static const char *const ids[] = { "s1", WP_KEY_SUSPECT "0", "s2" };
    SyncFixture s;
    (void)state;
    sync_fixture_init(&s);
    answer_range(ids, 3, in_era(1, 100));
    deliver_event(WP_KV_COMPACTED, NULL, 0, false);
    answer_range(ids, 1, in_era(2, 80));
    store.txns = 0;
    for (int64_t ms = 0; ms < 400 && !store.txns; ms += 50)
        tick(&s, ms);
    assert_int_equal(store.txns, 1);
    assert_string_equal(store.key, ids[1]);
    assert_int_equal(store.written, 1);
    const WPKvResult ok = { true, true, in_era(2, 81), NULL, 0 };
    store.txn_done(store.txn_arg, &ok);
    deliver_event(WP_KV_CHANGED, ids[1], in_era(2, 81), false);
    for (int64_t ms = 400; ms < 4000; ms += 50)
        tick(&s, ms);
    g_autoptr(GPtrArray) lost = wp_mirror_lost(s.host.sync->mirror, "wp/");
    assert_int_equal(lost->len, 0);
    assert_string_not_equal(store.key, ids[1]);
    sync_fixture_end(&s);
}

static const WPShiftOrder order = { "app", "v2", 20000, 0 };

static WPShiftOrder order_at(uint64_t revision, const char *version)
{
    WPShiftOrder o = order;
    o.revision = revision;
    o.version = version;
    return o;
}

static void an_order_that_is_written_again_goes_on(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShifts *all = k.d.shifts;
    WPShiftOrder first = order_at(in_era(1, 300), "v2");
    WPShiftOrder again = order_at(in_era(2, 210), "v2");
    WPShift *sh = wp_shifts_add_order(all, k.now, &first);
    wp_shift_merge_elapsed(sh, k.now, 5000);
    assert_null(wp_shifts_add_order(all, k.now, &again));
    assert_ptr_equal(wp_shifts_find(all, "app"), sh);
    assert_true(wp_elapsed_ms(&sh->elapsed, k.now) >= 5000);
    assert_int_equal(sh->revision, again.revision);
    assert_true(sh->renumbered);
    WPShiftOrder next = order_at(in_era(2, 211), "v3");
    assert_non_null(wp_shifts_add_order(all, k.now, &next));
    fake_end(&k);
}

static void an_earlier_order_does_not_come_back(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    WPShifts *all = k.d.shifts;
    WPShiftOrder first = order_at(in_era(1, 100), "v2");
    WPShiftOrder second = order_at(in_era(1, 300), "v3");
    WPShiftOrder copied = order_at(in_era(2, 100), "v2");
    WPShiftOrder outcome = order_at(in_era(1, 200), "v2");
    wp_shifts_add_order(all, k.now, &first);
    wp_shifts_apply_outcome(all, &outcome, WP_SHIFT_DONE);
    wp_shifts_add_order(all, k.now, &second);
    assert_null(wp_shifts_add_order(all, k.now, &copied));
    assert_string_equal(wp_shifts_find(all, "app")->version, "v3");
    fake_end(&k);
}

TESTS_MAIN(T(only_a_higher_era_counts),
           T(a_lower_number_of_a_later_era_is_newer),
           T(an_unchanged_entry_only_gets_another_revision),
           T(a_lost_change_stays_until_it_is_written_again),
           T(a_change_after_a_restore_replaces_a_lost_one),
           T(a_change_with_a_number_given_before_is_a_new_one),
           T(a_lost_removal_stays),
           T(a_missing_entry_stays_until_it_is_written_again),
           T(restores_in_series_lose_changes_again),
           T(a_box_of_the_era_before_gets_all_from_one_of_the_next),
           T(a_message_without_an_era_is_of_the_own_one),
           T(a_box_that_knows_nothing_gets_all),
           T(an_endpoint_that_the_store_has_lost_is_kept_for_a_while),
           T(an_endpoint_that_registers_again_stays),
           T(nothing_is_written_by_revisions_of_an_earlier_era),
           T(what_a_box_had_written_is_written_again_once),
           T(an_order_that_is_written_again_goes_on),
           T(an_earlier_order_does_not_come_back))
