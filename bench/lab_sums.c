/* Computes the results of a lab run. */
#include "lab_int.h"
#include "wp_pb.h"

#include <math.h>

typedef struct Share {
    double offered, served;
} Share;

/* The largest allocation of one workspace when `total` requests are divided by
   max-min fairness; accurate to 0.01 requests. */
static double fair_level(const Share *shares, unsigned n, double total)
{
    double level = 0;
    for (double step = total; step > 0.01; step /= 2) {
        double filled = 0;
        for (unsigned i = 0; i < n; i++)
            filled += fmin(shares[i].offered, level + step);
        level += filled <= total ? step : 0;
    }
    return level;
}

/* Jain's fairness index of each workspace's answers in a class divided by its
   max-min fair share. A workspace that offered less than the share and got all
   of it counts as fully served. All workspaces have equal weight. */
static double fairness_of(Lab *lab, unsigned rank)
{
    Share shares[32];
    unsigned n = 0;
    double total = 0, sum = 0, squares = 0;
    WPPolicy *p = wp_entry_policy(lab->entries[0].entry);
    for (unsigned w = 0; w < wp_policy_workspaces(p) && n < 32; w++) {
        g_autofree char *key = g_strdup_printf(
            "%u/%s", rank, wp_policy_workspace_at(p, w)->spec->name);
        shares[n].offered = *lab_counter(lab->offered, key);
        shares[n].served = *lab_counter(lab->served, key);
        total += shares[n].served;
        n += shares[n].offered > 0;
    }
    double level = fair_level(shares, n, total);
    for (unsigned i = 0; i < n; i++) {
        double x = shares[i].served / fmax(fmin(shares[i].offered, level), 1);
        sum += x;
        squares += x * x;
    }
    return squares > 0 ? sum * sum / (n * squares) : 1;
}

void lab_compute_result(Lab *lab)
{
    LabResult *r = lab->r;
    const LabPlan *p = lab->plan;
    r->jain = fairness_of(lab, 0);
    r->goodput = (double)r->ok / (p->seconds - p->warm_s);
    r->stopped_after_s =
        lab->stopped_us ? (double)lab->stopped_us / WP_US_PER_S - p->bad_from_s
                        : -1;
    r->recovered_after_s = -1;
    for (int s = (int)p->burst_to_s; p->burst_factor > 1 && s < p->seconds;
         s++) {
        if ((double)lab->second_ok[s] < 0.9 * p->rate)
            continue;
        r->recovered_after_s = s - p->burst_to_s;
        break;
    }
    WPPolicy *policy = wp_entry_policy(lab->entries[0].entry);
    if (wp_policy_rollouts(policy))
        g_strlcpy(r->rollout_state,
                  wp_policy_rollout_at(policy, 0)->spec->state,
                  sizeof(r->rollout_state));
}

void lab_result_destroy(LabResult *r)
{
    g_array_unref(r->first_ms);
}

double lab_capacity(const LabPlan *p)
{
    Wp__Mix *mix = lab_read_yaml(&wp__mix__descriptor, p->mix);
    double tokens = 0, weight = 0;
    unsigned agents = 0;
    for (size_t i = 0; i < mix->n_items; i++) {
        const Wp__MixItem *m = mix->items[i];
        /* The heavy-tailed distribution, truncated at TAIL_MAX, has a mean of
           about 0.9 times answer_tokens. */
        double t = m->answer_tokens * (m->heavy_tail ? 0.9 : 1);
        tokens += m->weight * (t + m->prompt_words / 160.0);
        weight += m->weight;
    }
    for (size_t i = 0; i < p->n_pools; i++)
        agents += p->pools[i].agents;
    wp_pb_free(mix);
    double step_s = p->step_us * (1 + BATCH_SLOWDOWN) / WP_US_PER_S;
    return agents * p->slots / step_s / (tokens / weight);
}
