/* Endpoints that send bytes without end in the place of an answer, until the
 * box closes the connection. */
#include "cluster.h"

enum {
    REPLICAS = 3,
    REQUESTS = 24,
    RUNS_MIN = 1, /* at the endpoint that answers without end */
    RESIDENT_MAX_KB = 60 << 10,
    ANSWER_MAX_MS = 5000
};

/* Removes the comments that precede the events. */
static void skip_comments(ClusterAnswer *a)
{
    const char *events = strstr(a->body->str, "id:");
    if (events)
        g_string_erase(a->body, 0, events - a->body->str);
}

/* Sends requests while endpoint 0 answers them with endless bytes of `kind`.
   All have to be served by the others. */
static void serve_beside(const char *kind, const char *target, int events)
{
    TestCluster *p = cluster_new(1, REPLICAS);
    g_autofree char *fault = g_strdup_printf("{\"endless\":\"%s\"}", kind);
    cluster_set_replica_faults(p, 0, fault);
    for (int i = 0; i < REQUESTS; i++) {
        int64_t begin_us = g_get_monotonic_time();
        ClusterAnswer a = cluster_request(p, 0, "GET", target, NULL);
        int64_t ms = (g_get_monotonic_time() - begin_us) / WP_US_PER_MS;
        if (a.status != 200 || !a.complete)
            fail_msg("%s %s: status %d", kind, target, a.status);
        skip_comments(&a);
        if (events)
            assert_int_equal(cluster_count_events(&a), events);
        assert_in_range(ms, 0, ANSWER_MAX_MS);
        cluster_answer_release(&a);
    }
    assert_in_range(cluster_count_replica_runs(p, 0), RUNS_MIN, REQUESTS);
    assert_in_range(cluster_entry_resident_kb(p, 0), 1, RESIDENT_MAX_KB);
    cluster_free(p);
}

/* Guards against a stream's event that does not end, which was kept whole. */
static void an_event_without_end_is_given_up(void **state)
{
    (void)state;
    serve_beside("event", "/stream/x", 5);
}

/* Guards against comments without end, which were passed to the caller until
   its time was over. */
static void comments_without_end_are_given_up(void **state)
{
    (void)state;
    serve_beside("comments", "/stream/x", 5);
}

static void other_bytes_without_end_are_given_up(void **state)
{
    static const char *const kinds[] = { "head", "body", "chunk", "interim" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(kinds); i++)
        serve_beside(kinds[i], "/call/x", 0);
}

TESTS_MAIN(T(an_event_without_end_is_given_up),
           T(comments_without_end_are_given_up),
           T(other_bytes_without_end_are_given_up))
