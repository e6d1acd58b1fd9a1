/* A store that comes back from an older copy, with real processes on
 * loopback. */
#include "cluster.h"

enum {
    ENTRIES = 4,
    REPLICAS = 4,
    COPY_MS = 3000, /* age of the copy that the store is restored from */
    AWAY_MS = 1000,
    FILLER = 60,     /* writes that the copy lacks */
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

TESTS_MAIN(T(first_change_after_a_restore_is_in_force),
           T(change_seen_late_after_a_restore_is_in_force))
