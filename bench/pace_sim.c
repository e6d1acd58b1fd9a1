/* Simulation of boxes that send to cold endpoints. */
#include "pace_sim.h"
#include "sim_random.h"

enum {
    ZONES = 3,
    STEP_MS = 2,
    BIN_MS = 100, /* interval over which the zone's own share is measured */
    DELAY_MIN_US = 200, /* network delay to an endpoint */
    DELAY_MAX_US = 20000,
    LATE_DELAY_MAX_US = 250000 /* of one in a hundred: TCP retransmissions */
};

#define LATE_SHARE 0.01
#define RECOVERED_SHARE 0.9

static const char *const zones[ZONES] = { "z0", "z1", "z2" };

typedef struct Sim {
    const PacePlan *plan;
    const PacePolicy *policy;
    GRand *rand;
    WPPaceBoxes *views; /* by box: the boxes that it knows */
    WPPace *sent;       /* by box and cold endpoint: what the box sent there */
    unsigned cold; /* number of endpoints in the first zone, all of them cold */
    GArray **arrivals; /* by cold endpoint: int64_t, times in us */
} Sim;

static int64_t quota_next_send_us(const WPPaceBoxes *b, const WPPaceRules *r,
                                  const WPPace *sent, uint64_t endpoint,
                                  const char *zone)
{
    return wp_pace_next_send_us(sent, wp_pace_quota(b, r, endpoint, zone));
}

static int64_t even_share_next_send_us(const WPPaceBoxes *b,
                                       const WPPaceRules *r, const WPPace *sent,
                                       uint64_t endpoint, const char *zone)
{
    double share = (r->per_s * r->overshoot + r->slack) / 2 / b->min_count;
    unsigned last = (sent->oldest + WP_PACE_QUOTA_MAX - 1) % WP_PACE_QUOTA_MAX;
    int64_t last_us = sent->sent_us[last];
    (void)endpoint;
    (void)zone;
    return last_us ? last_us + (int64_t)(WP_US_PER_S / share) : 0;
}

static int64_t unlimited_next_send_us(const WPPaceBoxes *b,
                                      const WPPaceRules *r, const WPPace *sent,
                                      uint64_t endpoint, const char *zone)
{
    (void)b;
    (void)r;
    (void)sent;
    (void)endpoint;
    (void)zone;
    return 0;
}

const PacePolicy pace_policy_quota = { "owners", quota_next_send_us };
const PacePolicy pace_policy_even_share = { "shares", even_share_next_send_us };
const PacePolicy pace_policy_unlimited = { "none", unlimited_next_send_us };

static uint64_t hash_of(const char *what, unsigned i)
{
    g_autofree char *name = g_strdup_printf("%s-%u", what, i);
    return wp_hash(wp_str(name), 0);
}

/* Whether `box` knows the box `other`, by the plan's view. */
static bool knows(Sim *p, unsigned box, unsigned other)
{
    unsigned n = p->plan->boxes, new_from = n - n / 10;
    switch (p->plan->view) {
    case PACE_THIRD_MISSING:
        return g_rand_int_range(p->rand, 0, 3) > 0;
    case PACE_PARTITIONED:
        return box % 2 == other % 2;
    case PACE_NEW_BOXES:
        return other < new_from || box >= new_from;
    default:
        return true;
    }
}

/* Sets the boxes that this box knows. */
static void init_view(Sim *p, unsigned box)
{
    g_autoptr(GArray) others = g_array_new(FALSE, FALSE, sizeof(WPPaceBox));
    const WPPaceBox self = { hash_of("box", box), zones[box % ZONES] };
    for (unsigned i = 0; i < p->plan->boxes; i++) {
        const WPPaceBox o = { hash_of("box", i), zones[i % ZONES] };
        if (i != box && knows(p, box, i))
            g_array_append_val(others, o);
    }
    wp_pace_boxes_init(&p->views[box]);
    wp_pace_boxes_set(&p->views[box], &self,
                      (const WPPaceBox *)(void *)others->data, others->len, 1);
}

static void sim_init(Sim *p, const PacePlan *plan, const PacePolicy *policy)
{
    *p = (Sim){ .plan = plan, .policy = policy };
    p->rand = g_rand_new_with_seed(plan->seed);
    p->cold = (plan->endpoints + ZONES - 1) / ZONES;
    p->views = g_new0(WPPaceBoxes, plan->boxes);
    p->sent = g_new0(WPPace, (gsize)plan->boxes * p->cold);
    p->arrivals = g_new0(GArray *, p->cold);
    for (unsigned i = 0; i < p->cold; i++)
        p->arrivals[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (unsigned i = 0; i < plan->boxes; i++)
        init_view(p, i);
}

static void sim_destroy(Sim *p)
{
    for (unsigned i = 0; i < p->cold; i++)
        g_array_unref(p->arrivals[i]);
    for (unsigned i = 0; i < p->plan->boxes; i++)
        wp_pace_boxes_end(&p->views[i]);
    g_free(p->arrivals);
    g_free(p->views);
    g_free(p->sent);
    g_rand_free(p->rand);
}

static void send(Sim *p, unsigned box, unsigned endpoint, WPTime now)
{
    int max_us =
        g_rand_double(p->rand) < LATE_SHARE ? LATE_DELAY_MAX_US : DELAY_MAX_US;
    int64_t at = now.mono_us + g_rand_int_range(p->rand, DELAY_MIN_US, max_us);
    wp_pace_record_send(&p->sent[(gsize)box * p->cold + endpoint], now);
    g_array_append_val(p->arrivals[endpoint], at);
}

/* Sends a request of a box in the cold zone to an endpoint there; false if
   pacing allows none. */
static bool try_send(Sim *p, unsigned box, WPTime now)
{
    unsigned from = p->plan->same_order
                        ? 0
                        : (unsigned)g_rand_int_range(p->rand, 0, (int)p->cold);
    for (unsigned i = 0; i < p->cold; i++) {
        unsigned e = (from + i) % p->cold;
        const WPPace *sent = &p->sent[(gsize)box * p->cold + e];
        if (p->policy->next_send_us(&p->views[box], &p->plan->rules, sent,
                                    hash_of("e", e), zones[0]) > now.mono_us)
            continue;
        send(p, box, e, now);
        return true;
    }
    return false;
}

static gint by_time(gconstpointer a, gconstpointer b)
{
    int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;
    return x < y ? -1 : x > y;
}

/* Most arrivals within any one second; sorts the array. */
static unsigned max_per_second(GArray *at)
{
    unsigned max_count = 0, from = 0;
    g_array_sort(at, by_time);
    for (guint i = 0; i < at->len; i++) {
        while (g_array_index(at, int64_t, i) -
                   g_array_index(at, int64_t, from) >
               WP_US_PER_S)
            from++;
        max_count = MAX(max_count, i - from + 1);
    }
    return max_count;
}

PaceResult pace_simulate(const PacePlan *plan, const PacePolicy *policy)
{
    double per_box = plan->endpoint_rate * plan->endpoints / plan->boxes;
    unsigned requests = 0, kept_local = 0, bin_requests = 0, bin_local = 0;
    PaceResult result = { .recovery_ms = -1 };
    Sim p;
    sim_init(&p, plan, policy);
    for (int64_t ms = 0; ms < PACE_COLD_MS; ms += STEP_MS) {
        const WPTime now = { (1000 + ms) * WP_US_PER_MS, ms };
        for (unsigned b = 0; b < plan->boxes; b += ZONES)
            for (unsigned n =
                     sim_poisson(p.rand, per_box * STEP_MS / WP_MS_PER_S);
                 n; n--) {
                bin_requests++;
                bin_local += try_send(&p, b, now);
            }
        if ((ms + STEP_MS) % BIN_MS)
            continue;
        if (result.recovery_ms < 0 &&
            bin_local >= RECOVERED_SHARE * bin_requests)
            result.recovery_ms = ms + STEP_MS;
        requests += bin_requests;
        kept_local += bin_local;
        bin_requests = bin_local = 0;
    }
    for (unsigned e = 0; e < p.cold; e++) {
        unsigned max_count = max_per_second(p.arrivals[e]);
        result.max_in_second = MAX(result.max_in_second, max_count);
    }
    result.mean_per_s =
        (double)kept_local / p.cold * WP_MS_PER_S / PACE_COLD_MS;
    result.remote_share = requests ? 1 - (double)kept_local / requests : 0;
    sim_destroy(&p);
    return result;
}
