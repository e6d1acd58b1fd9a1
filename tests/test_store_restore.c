/* A store that comes back from an older copy, with real processes on
 * loopback. */
#include "cluster.h"

enum {
    ENTRIES = 4,
    REPLICAS = 4,
    COPY_MS = 1500, /* age of the copy that the store is restored from */
    AWAY_MS = 1000,
    FILLER = 60, /* writes that the copy lacks */
    LONG_AGO_MS = 60000,
    SHIFT_MS = 9000,
    SHIFT_WAIT_MS = 20000,
    USED_WAIT_MS = 10000,
    APPLY_MS = 2000, /* within which a change must be in force */
    POLL_MS = 10,
    TOLERANCE_MS = 100 /* of a test's own poll and answer */
};

static int64_t now_ms(void)
{
    return g_get_monotonic_time() / WP_US_PER_MS;
}

static int status_of(TestCluster *p, unsigned entry)
{
    ClusterAnswer a = cluster_request(p, entry, "GET", "/call/x", NULL);
    int status = a.status;
    cluster_answer_release(&a);
    return status;
}

/* Fails unless all entries refuse the revoked key before `deadline_ms`. */
static void expect_revoked(TestCluster *p, int64_t deadline_ms)
{
    for (unsigned i = 0; i < ENTRIES; i++) {
        while (status_of(p, i) != 401) {
            if (now_ms() > deadline_ms + TOLERANCE_MS)
                fail_msg("entry %u serves a revoked key", i);
            g_usleep(POLL_MS * WP_US_PER_MS);
        }
    }
}

/* Lets `ms` pass while callers are served. */
static void serve_for(TestCluster *p, int64_t ms)
{
    int64_t end_ms = now_ms() + ms;
    for (unsigned i = 0; now_ms() < end_ms; i++) {
        assert_int_equal(status_of(p, i % ENTRIES), 200);
        g_usleep(POLL_MS * WP_US_PER_MS);
    }
}

/* A cluster whose store has taken writes that its copy of COPY_MS ago lacks,
   and is away. */
static TestCluster *cluster_with_store_away(void)
{
    TestCluster *p = cluster_new(ENTRIES, REPLICAS);
    serve_for(p, COPY_MS);
    cluster_write_filler(p, FILLER);
    cluster_write_config(p, 2, "/new/");
    for (unsigned i = 0; i < ENTRIES; i++)
        cluster_wait_status(p, i, "/new/x", 200);
    cluster_control_store(p, "{\"down\":\"silent\"}");
    serve_for(p, AWAY_MS);
    return p;
}

static void first_change_after_a_restore_is_in_force(void **state)
{
    TestCluster *p = cluster_with_store_away();
    (void)state;
    cluster_restore_store(p, COPY_MS, 0);
    cluster_revoke_key(p, 3);
    cluster_write_filler(p, 2 * FILLER);
    expect_revoked(p, now_ms() + APPLY_MS);
    cluster_free(p);
}

static void change_seen_late_after_a_restore_is_in_force(void **state)
{
    TestCluster *p = cluster_with_store_away();
    (void)state;
    for (unsigned i = ENTRIES / 2; i < ENTRIES; i++)
        cluster_set_store_proxy(p, i, "{\"mode\":\"silent\"}");
    cluster_restore_store(p, COPY_MS, 0);
    cluster_revoke_key(p, 3);
    cluster_write_filler(p, 2 * FILLER);
    int64_t changed_ms = now_ms();
    while (now_ms() < changed_ms + AWAY_MS)
        g_usleep(POLL_MS * WP_US_PER_MS);
    for (unsigned i = ENTRIES / 2; i < ENTRIES; i++)
        cluster_set_store_proxy(p, i, "{\"mode\":\"pass\"}");
    expect_revoked(p, now_ms() + APPLY_MS);
    cluster_free(p);
}

/* Serves until the replica has run a request. */
static void wait_used(TestCluster *p, unsigned replica)
{
    int64_t end_ms = now_ms() + USED_WAIT_MS;
    while (!cluster_count_replica_runs(p, replica)) {
        if (now_ms() > end_ms)
            fail_msg("replica %u gets no requests", replica);
        serve_for(p, POLL_MS);
    }
}

static void endpoint_that_leaves_after_a_restore_gets_no_requests(void **state)
{
    TestCluster *p = cluster_new(ENTRIES, REPLICAS);
    (void)state;
    serve_for(p, AWAY_MS);
    int64_t copied_ms = now_ms();
    cluster_write_filler(p, FILLER);
    cluster_add_version(p, "v1", 1, "{}");
    wait_used(p, REPLICAS);
    cluster_control_store(p, "{\"down\":\"silent\"}");
    serve_for(p, AWAY_MS);
    cluster_restore_store(p, (unsigned)(now_ms() - copied_ms), 0);
    cluster_set_replica_faults(p, REPLICAS, "{\"draining\":true}");
    serve_for(p, APPLY_MS + TOLERANCE_MS);
    unsigned runs = cluster_count_replica_runs(p, REPLICAS);
    serve_for(p, AWAY_MS);
    assert_int_equal(cluster_count_replica_runs(p, REPLICAS), runs);
    cluster_free(p);
}

static void key_revoked_before_a_restore_stays_revoked(void **state)
{
    TestCluster *p = cluster_new(ENTRIES, REPLICAS);
    (void)state;
    serve_for(p, AWAY_MS);
    cluster_revoke_key(p, 2);
    expect_revoked(p, now_ms() + APPLY_MS);
    cluster_control_store(p, "{\"down\":\"silent\"}");
    int64_t away_ms = now_ms();
    while (now_ms() < away_ms + AWAY_MS)
        g_usleep(POLL_MS * WP_US_PER_MS);
    cluster_restore_store(p, 2 * AWAY_MS, AWAY_MS);
    int64_t end_ms = now_ms() + 2 * AWAY_MS;
    for (unsigned i = 0; now_ms() < end_ms; i++) {
        assert_int_equal(status_of(p, i % ENTRIES), 401);
        g_usleep(POLL_MS * WP_US_PER_MS);
    }
    cluster_free(p);
}

/* The copy is from before the boxes had written anything. */
static void records_of_boxes_are_written_again(void **state)
{
    static const char *const keys[] = { "wp/box/e0", "wp/box/e1", "wp/box/e2",
                                        "wp/box/e3" };
    TestCluster *p = cluster_new(ENTRIES, REPLICAS);
    (void)state;
    for (size_t i = 0; i < WP_COUNT(keys); i++)
        cluster_wait_store_key(p, keys[i]);
    cluster_control_store(p, "{\"down\":\"silent\"}");
    serve_for(p, AWAY_MS);
    cluster_restore_store(p, LONG_AGO_MS, 0);
    for (size_t i = 0; i < WP_COUNT(keys); i++)
        cluster_wait_store_key(p, keys[i]);
    serve_for(p, AWAY_MS);
    cluster_free(p);
}

/* Waits until the store has this state of the shift. */
static void wait_shift_state(TestCluster *p, const char *expected)
{
    int64_t end_ms = now_ms() + SHIFT_WAIT_MS;
    for (;;) {
        g_autofree char *state = cluster_read_shift_state(p);
        if (!g_strcmp0(state, expected))
            return;
        if (now_ms() <= end_ms) {
            status_of(p, 0);
            g_usleep(POLL_MS * WP_US_PER_MS);
            continue;
        }
        cluster_print_log(p, "move_");
        cluster_print_log(p, "version_bad");
        fail_msg("the shift is %s, not %s", state ? state : "unknown",
                 expected);
    }
}

/* The copies lack first the order and the record of its shift, then its end. */
static void a_shift_survives_restores(void **state)
{
    cluster_keep_log(true);
    TestCluster *p = cluster_new(ENTRIES, REPLICAS);
    (void)state;
    serve_for(p, AWAY_MS);
    cluster_add_version(p, "v2", REPLICAS, "{}");
    cluster_order_shift(p, "v2", (double)SHIFT_MS / WP_MS_PER_S);
    int64_t ordered_ms = now_ms();
    wait_shift_state(p, "running");
    cluster_control_store(p, "{\"down\":\"silent\"}");
    serve_for(p, AWAY_MS);
    cluster_restore_store(p, (unsigned)(now_ms() - ordered_ms) + AWAY_MS / 2,
                          AWAY_MS / 2);
    wait_shift_state(p, "completed");
    int64_t done_ms = now_ms();
    if (done_ms >= ordered_ms + SHIFT_MS) {
        cluster_print_log(p, "move_");
        cluster_print_log(p, "paused");
        cluster_print_log(p, "version_bad");
    }
    assert_true(done_ms < ordered_ms + SHIFT_MS);
    serve_for(p, AWAY_MS);
    cluster_control_store(p, "{\"down\":\"silent\"}");
    serve_for(p, AWAY_MS);
    cluster_restore_store(p, (unsigned)(now_ms() - done_ms) + AWAY_MS / 2, 0);
    wait_shift_state(p, "completed");
    serve_for(p, AWAY_MS);
    cluster_free(p);
    cluster_keep_log(false);
}

TESTS_MAIN(T(first_change_after_a_restore_is_in_force),
           T(change_seen_late_after_a_restore_is_in_force),
           T(endpoint_that_leaves_after_a_restore_gets_no_requests),
           T(key_revoked_before_a_restore_stays_revoked),
           T(records_of_boxes_are_written_again), T(a_shift_survives_restores))
