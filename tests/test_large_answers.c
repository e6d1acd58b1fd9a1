/* Large answers that arrive at a box at the same time. */
#include "cluster.h"

enum {
    CALLERS = 90,
    ANSWER_BYTES = 1500000, /* of each: together over twice the box's limit */
    SERVED_MIN = 60,
    RESIDENT_MAX_KB = 150 << 10
};

static TestCluster *cluster;

static void *ask(void *arg)
{
    ClusterAnswer *a = arg;
    cluster_exchange(a, cluster_entry_port(cluster, 0), "GET", "/call/x");
    return NULL;
}

/* Guards against large answers that pause each other until the time of all of
   them is over: some go on to their end, then the others. */
static void large_answers_pause_each_other(void **state)
{
    GThread *threads[CALLERS];
    ClusterAnswer answers[CALLERS];
    unsigned served = 0;
    (void)state;
    cluster = cluster_new_with_slots(1, 2, CALLERS, false);
    for (unsigned i = 0; i < 2; i++)
        cluster_set_replica_faults(cluster, i, "{\"answer_bytes\":1500000}");
    for (unsigned i = 0; i < CALLERS; i++) {
        answers[i] = (ClusterAnswer){ .fd = -1, .body = g_string_new(NULL) };
        g_snprintf(answers[i].id, sizeof(answers[i].id), "large-%u", i);
        threads[i] = g_thread_new("caller", ask, &answers[i]);
    }
    for (unsigned i = 0; i < CALLERS; i++) {
        g_thread_join(threads[i]);
        bool whole = answers[i].status == 200 && answers[i].complete &&
                     answers[i].body->len >= ANSWER_BYTES;
        served += whole;
        cluster_answer_release(&answers[i]);
    }
    assert_in_range(served, SERVED_MIN, CALLERS);
    assert_in_range(cluster_entry_resident_kb(cluster, 0), 1, RESIDENT_MAX_KB);
    cluster_free(cluster);
}

TESTS_MAIN(T(large_answers_pause_each_other))
