/* Entries while most new connections go to one of them, and callers open more
 * of them. */
#include "cluster.h"

enum {
    ENTRIES = 3,
    REPLICAS = 6,
    THREADS_MAX = 24,
    /* Of a thread; those of its first half are not counted. */
    REQUESTS = 300
};

/* Requests that an entry has read are served at the first attempt at this share
   of the rate before, at the least. */
#define SERVED_MIN 0.75

typedef struct Phase {
    unsigned threads;
    unsigned tenths; /* of the new connections that go to the first entry */
} Phase;

typedef struct Caller {
    GThread *thread;
    TestCluster *cluster;
    GRand *rand;
    const Phase *phase;
    unsigned number, read, served;
} Caller;

static unsigned choose_entry(Caller *c)
{
    bool first = g_rand_int_range(c->rand, 0, 10) < (gint32)c->phase->tenths;
    return first ? 0 : (unsigned)g_rand_int_range(c->rand, 0, ENTRIES);
}

/* Sends each request on a new connection. */
static gpointer run_caller(gpointer arg)
{
    static const char *const targets[] = { "/call/x", "/stream/x", "/once/x" };
    Caller *c = arg;
    for (unsigned i = 0; i < REQUESTS; i++) {
        ClusterAnswer a = { .fd = -1, .body = g_string_new(NULL) };
        g_snprintf(a.id, sizeof(a.id), "u%u.%u", c->number, i);
        cluster_exchange(&a, cluster_entry_port(c->cluster, choose_entry(c)),
                         "POST", targets[i % WP_COUNT(targets)]);
        if (i >= REQUESTS / 2) {
            c->read += a.status != 0;
            c->served += a.status == 200 && a.complete;
        }
        cluster_answer_release(&a);
    }
    return NULL;
}

/* Returns the share of the requests read that was served. */
static double play(TestCluster *p, const Phase *phase)
{
    Caller callers[THREADS_MAX] = { 0 };
    unsigned read = 0, served = 0;
    for (unsigned i = 0; i < phase->threads; i++) {
        Caller *c = &callers[i];
        *c = (Caller){ .cluster = p,
                       .rand = g_rand_new_with_seed(i),
                       .phase = phase,
                       .number = i };
        c->thread = g_thread_new("caller", run_caller, c);
    }
    for (unsigned i = 0; i < phase->threads; i++) {
        g_thread_join(callers[i].thread);
        g_rand_free(callers[i].rand);
        read += callers[i].read;
        served += callers[i].served;
    }
    assert_true(read > phase->threads * REQUESTS / 4);
    return (double)served / read;
}

static void an_entry_that_gets_most_new_connections_serves_them(void **state)
{
    static const Phase even = { 4, 0 };
    static const Phase uneven[] = { { THREADS_MAX, 9 }, { THREADS_MAX, 10 } };
    TestCluster *p = cluster_new(ENTRIES, REPLICAS);
    (void)state;
    double before = play(p, &even);
    for (size_t i = 0; i < WP_COUNT(uneven); i++) {
        double during = play(p, &uneven[i]);
        print_message("served: %.3f before, %.3f during\n", before, during);
        assert_true(during >= SERVED_MIN * before);
    }
    cluster_free(p);
}

TESTS_MAIN(T(an_entry_that_gets_most_new_connections_serves_them))
