/* Hundreds of nodes in one process: a change of the configuration reaches all
 * of them within seconds, and no node goes back to an older revision, whatever
 * messages are lost and whichever nodes or the store are down, cut off or
 * restarted. */
#include "fleet.h"
#include "test.h"

static Fleet *fleet_of(unsigned nodes, double loss, uint32_t seed)
{
    FleetPlan p = { .nodes = nodes,
                    .zones = 3,
                    .seed = seed,
                    .loss = loss,
                    .gossip_ms = 500,
                    .fanout = 3,
                    .versions = 4 };
    Fleet *f = fleet_new(&p);
    fleet_start_converged(f);
    return f;
}

/* Runs until every node that runs and is not cut off has the revision. Returns
   the seconds that it took; 99 if it took more than 500 steps of 20 ms. */
static double propagation_s(Fleet *f, uint64_t revision)
{
    int64_t start = fleet_now(f).mono_us;
    for (int i = 0; i < 500; i++) {
        if (!fleet_count_behind(f, revision))
            return (double)(fleet_now(f).mono_us - start) / WP_US_PER_S;
        fleet_run(f, 20000);
    }
    return 99;
}

static void a_change_reaches_300_within_seconds(void **state)
{
    static const double losses[] = { 0, 0.01, 0.1, 0.3 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(losses); i++) {
        Fleet *f = fleet_of(300, losses[i], 7 + (uint32_t)i);
        for (unsigned n = 0; n < 300; n += 10)
            fleet_set_down(f, n, true);
        double s = propagation_s(f, fleet_change(f, 500));
        if (s > 7)
            fail_msg("loss %g: %g s", losses[i], s);
        fleet_free(f);
    }
}

static void a_revision_never_goes_back(void **state)
{
    Fleet *f = fleet_of(60, 0.1, 21);
    GRand *r = g_rand_new_with_seed(5);
    uint64_t known[60] = { 0 };
    (void)state;
    for (int round = 0; round < 60; round++) {
        unsigned n = (unsigned)g_rand_int_range(r, 0, 60);
        if (round % 5 == 0)
            fleet_change(f, 100);
        if (round % 7 == 0)
            fleet_set_store_up(f, g_rand_boolean(r));
        fleet_set_partitioned(f, n, g_rand_boolean(r));
        fleet_run(f, 300000);
        for (unsigned i = 0; i < 60; i++) {
            uint64_t now = wp_config_revision(wp_node_config(fleet_node(f, i)));
            assert_true(now >= known[i]);
            known[i] = now;
        }
    }
    for (unsigned i = 0; i < 60; i++)
        fleet_set_partitioned(f, i, false);
    fleet_set_store_up(f, true);
    assert_true(propagation_s(f, fleet_change(f, 100)) < 40);
    g_rand_free(r);
    fleet_free(f);
}

/* The store is down and some boxes are stale: a starting box must not begin
   with a revision that its peers know to be outdated. */
static void a_starting_box_gets_the_newest_revision_of_its_peers(void **state)
{
    unsigned stale = 0, ready = 0;
    (void)state;
    for (uint32_t seed = 1; seed <= 20; seed++) {
        Fleet *f = fleet_of(20, 0, seed);
        for (unsigned i = 0; i < 4; i++)
            fleet_set_partitioned(f, i, true);
        uint64_t rev = fleet_change(f, 100);
        fleet_run(f, 3000000);
        fleet_set_store_up(f, false);
        for (unsigned i = 0; i < 4; i++)
            fleet_set_partitioned(f, i, false);
        fleet_restart(f, 10);
        for (int i = 0; i < 200 && !wp_node_ready(fleet_node(f, 10)); i++)
            fleet_run(f, 20000);
        ready += wp_node_ready(fleet_node(f, 10));
        stale += wp_config_revision(wp_node_config(fleet_node(f, 10))) < rev;
        fleet_free(f);
    }
    assert_int_equal(ready, 20);
    assert_int_equal(stale, 0);
}

static void a_dead_box_is_removed_from_every_table(void **state)
{
    Fleet *f = fleet_of(100, 0.01, 4);
    unsigned remaining = 0;
    (void)state;
    fleet_run(f, 4000000);
    fleet_set_down(f, 17, true);
    fleet_run(f, 20000000);
    for (unsigned i = 0; i < 100; i++) {
        const WPMemberRow *row =
            wp_members_get(wp_node_members(fleet_node(f, i)), "n00017");
        remaining += i != 17 && !(row && row->m->gone);
    }
    assert_int_equal(remaining, 0);
    /* It comes back as a new incarnation. */
    fleet_restart(f, 17);
    fleet_run(f, 10000000);
    const WPMemberRow *row =
        wp_members_get(wp_node_members(fleet_node(f, 40)), "n00017");
    assert_true(row && !row->m->gone);
    fleet_free(f);
}

static void store_reads_are_limited(void **state)
{
    Fleet *f = fleet_of(300, 0, 9);
    (void)state;
    fleet_run(f, 20 * WP_US_PER_S);
    FleetCosts c = fleet_take_costs(f);
    /* Two boxes in each of the three zones read every two seconds, and there
       are their watches. */
    assert_true(c.store_reads <= 20 * 6);
    /* The store is down for a minute: boxes that poll it do not flood it, with
       at most 300 reads in any second. */
    fleet_set_store_up(f, false);
    for (int i = 0; i < 60; i++) {
        fleet_run(f, WP_US_PER_S);
        c = fleet_take_costs(f);
        if (c.store_reads > 300)
            fail_msg("second %d: %lu reads", i, (unsigned long)c.store_reads);
    }
    fleet_free(f);
}

TESTS_MAIN(T(a_change_reaches_300_within_seconds),
           T(a_revision_never_goes_back),
           T(a_starting_box_gets_the_newest_revision_of_its_peers),
           T(a_dead_box_is_removed_from_every_table),
           T(store_reads_are_limited))
