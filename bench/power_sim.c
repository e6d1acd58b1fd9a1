/* Simulation of how fast a slower version is found. */
#include "power_sim.h"
#include "wp_canary_judge.h"
#include "wp_latency.h"

#include <math.h>

enum {
    BOXES_MAX = 300,
    REPLICAS = 8,
    USUAL_MS = 50,
    NORMAL_SUM = 12 /* uniform numbers whose sum is nearly normal */
};

static double normal(GRand *rand)
{
    double sum = -NORMAL_SUM / 2.0;
    for (int i = 0; i < NORMAL_SUM; i++)
        sum += g_rand_double(rand);
    return sum;
}

static double usual_time(const PowerSite *site, GRand *rand)
{
    return USUAL_MS * exp(site->deviation * normal(rand));
}

static double new_time(const PowerSite *site, const PowerVersion *v,
                       GRand *rand)
{
    bool slow = g_rand_double(rand) < v->share;
    return usual_time(site, rand) * (slow ? v->slowdown : 1);
}

/* One answer of the old version at a box: it counts if the box knows what is
   usual, and is learned from. */
static void old_answer(const PowerSite *site, WPQuartiles *usual,
                       WPCanarySums *sums, GRand *rand)
{
    double ms = usual_time(site, rand), ref = wp_quartiles_middle(usual);
    if (ref > 0)
        wp_speed_record(&sums->old_speed, ms / ref);
    wp_quartiles_add(usual, ms);
}

static void new_answer(const PowerSite *site, const PowerVersion *version,
                       const WPQuartiles *usual, WPSpeedCounts replica[],
                       WPCanarySums *sums, GRand *rand)
{
    double ref = wp_quartiles_middle(usual);
    unsigned at = (unsigned)g_rand_int_range(rand, 0, REPLICAS);
    if (ref <= 0)
        return;
    double ratio = new_time(site, version, rand) / ref;
    wp_speed_record(&sums->speed, ratio);
    wp_speed_record(&replica[at], ratio);
}

static void set_replicas(const WPSpeedCounts replica[], WPCanarySums *sums)
{
    sums->timed_replicas = sums->slow_replicas = 0;
    for (unsigned i = 0; i < REPLICAS; i++) {
        if (!wp_speed_total(&replica[i]))
            continue;
        sums->timed_replicas |= (uint64_t)1 << i;
        if (wp_canary_sums_replica_is_slow(&replica[i], &sums->old_speed))
            sums->slow_replicas |= (uint64_t)1 << i;
    }
}

PowerResult power_play(const PowerSite *site, const PowerVersion *version,
                       double seconds, GRand *rand)
{
    WPQuartiles usual[BOXES_MAX] = { 0 };
    WPSpeedCounts replica[REPLICAS] = { 0 };
    WPCanarySums sums = { 0 }, before = { 0 };
    PowerResult out = { 0 };
    unsigned n_before = (unsigned)(site->rate * site->learn_s);
    unsigned n = (unsigned)(site->rate * seconds);
    for (unsigned i = 0; i < n_before; i++)
        old_answer(site, &usual[g_rand_int_range(rand, 0, (int)site->boxes)],
                   &before, rand);
    for (unsigned i = 0; i < n && !out.bad; i++) {
        WPQuartiles *u = &usual[g_rand_int_range(rand, 0, (int)site->boxes)];
        if (g_rand_double(rand) >= site->share) {
            old_answer(site, u, &sums, rand);
            continue;
        }
        new_answer(site, version, u, replica, &sums, rand);
        set_replicas(replica, &sums);
        out.bad = wp_canary_sums_speed_is_bad(&sums);
    }
    out.in_doubt = wp_canary_sums_speed_in_doubt(&sums);
    out.answers = wp_speed_total(&sums.speed);
    return out;
}
