/* Cold endpoints before many boxes. */
#include "pace_play.h"
#include "play.h"

enum {
    ZONES = 3,
    STEP_MS = 2,
    BIN_MS = 100,       /* of the time until the zone carries its load */
    WAY_LEAST_US = 200, /* to an endpoint */
    WAY_MOST_US = 20000,
    LATE_MOST_US = 250000 /* one in a hundred: packets sent again */
};

#define LATE_SHARE 0.01
#define CARRIES_SHARE 0.9

static const char *const zones[ZONES] = { "z0", "z1", "z2" };

typedef struct Play {
    const PacePlan *plan;
    const PaceWay *way;
    GRand *rand;
    WPPaceBoxes *views; /* of each box */
    WPPace *sent;       /* box by cold endpoint */
    unsigned cold;      /* endpoints of the first zone */
    GArray **arrivals;  /* of each: int64_t, us */
} Play;

static int64_t owners_free(const WPPaceBoxes *b, const WPPaceRules *r,
                           const WPPace *sent, uint64_t endpoint,
                           const char *zone)
{
    return wp_pace_next_send_us(sent, wp_pace_quota(b, r, endpoint, zone));
}

static int64_t shares_free(const WPPaceBoxes *b, const WPPaceRules *r,
                           const WPPace *sent, uint64_t endpoint,
                           const char *zone)
{
    double share = (r->per_s * r->overshoot + r->slack) / 2 / b->min_count;
    unsigned last = (sent->oldest + WP_PACE_QUOTA_MAX - 1) % WP_PACE_QUOTA_MAX;
    int64_t last_us = sent->sent_us[last];
    (void)endpoint;
    (void)zone;
    return last_us ? last_us + (int64_t)(WP_US_PER_S / share) : 0;
}

static int64_t none_free(const WPPaceBoxes *b, const WPPaceRules *r,
                         const WPPace *sent, uint64_t endpoint,
                         const char *zone)
{
    (void)b;
    (void)r;
    (void)sent;
    (void)endpoint;
    (void)zone;
    return 0;
}

const PaceWay pace_owners = { "owners", owners_free };
const PaceWay pace_shares = { "shares", shares_free };
const PaceWay pace_none = { "none", none_free };

static uint64_t hash_of(const char *what, unsigned i)
{
    g_autofree char *name = g_strdup_printf("%s-%u", what, i);
    return wp_hash(wp_str(name), 0);
}

static bool knows(Play *p, unsigned box, unsigned other)
{
    unsigned n = p->plan->boxes, new_from = n - n / 10;
    switch (p->plan->view) {
    case PACE_THIRD_LACKS:
        return g_rand_int_range(p->rand, 0, 3) > 0;
    case PACE_HALVES:
        return box % 2 == other % 2;
    case PACE_NEW_BOXES:
        return other < new_from || box >= new_from;
    default:
        return true;
    }
}

static void look_around(Play *p, unsigned box)
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

static void play_init(Play *p, const PacePlan *plan, const PaceWay *way)
{
    *p = (Play){ .plan = plan, .way = way };
    p->rand = g_rand_new_with_seed(plan->seed);
    p->cold = (plan->endpoints + ZONES - 1) / ZONES;
    p->views = g_new0(WPPaceBoxes, plan->boxes);
    p->sent = g_new0(WPPace, (gsize)plan->boxes * p->cold);
    p->arrivals = g_new0(GArray *, p->cold);
    for (unsigned i = 0; i < p->cold; i++)
        p->arrivals[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (unsigned i = 0; i < plan->boxes; i++)
        look_around(p, i);
}

static void play_end(Play *p)
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

static void send(Play *p, unsigned box, unsigned endpoint, WPTime now)
{
    int most = g_rand_double(p->rand) < LATE_SHARE ? LATE_MOST_US : WAY_MOST_US;
    int64_t at = now.mono_us + g_rand_int_range(p->rand, WAY_LEAST_US, most);
    wp_pace_record_send(&p->sent[(gsize)box * p->cold + endpoint], now);
    g_array_append_val(p->arrivals[endpoint], at);
}

/* A request of a box of the cold zone; false: no endpoint there is free. */
static bool place(Play *p, unsigned box, WPTime now)
{
    unsigned from = p->plan->herd
                        ? 0
                        : (unsigned)g_rand_int_range(p->rand, 0, (int)p->cold);
    for (unsigned i = 0; i < p->cold; i++) {
        unsigned e = (from + i) % p->cold;
        const WPPace *sent = &p->sent[(gsize)box * p->cold + e];
        if (p->way->free_us(&p->views[box], &p->plan->rules, sent,
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

static unsigned most_in_a_second(GArray *at)
{
    unsigned most = 0, from = 0;
    g_array_sort(at, by_time);
    for (guint i = 0; i < at->len; i++) {
        while (g_array_index(at, int64_t, i) -
                   g_array_index(at, int64_t, from) >
               WP_US_PER_S)
            from++;
        most = MAX(most, i - from + 1);
    }
    return most;
}

PaceSums pace_play(const PacePlan *plan, const PaceWay *way)
{
    double per_box = plan->per_endpoint * plan->endpoints / plan->boxes;
    unsigned asked = 0, stayed = 0, bin_asked = 0, bin_stayed = 0;
    PaceSums sums = { .carries_ms = -1 };
    Play p;
    play_init(&p, plan, way);
    for (int64_t ms = 0; ms < PACE_COLD_MS; ms += STEP_MS) {
        const WPTime now = { (1000 + ms) * WP_US_PER_MS, ms };
        for (unsigned b = 0; b < plan->boxes; b += ZONES)
            for (unsigned n =
                     play_poisson(p.rand, per_box * STEP_MS / WP_MS_PER_S);
                 n; n--) {
                bin_asked++;
                bin_stayed += place(&p, b, now);
            }
        if ((ms + STEP_MS) % BIN_MS)
            continue;
        if (sums.carries_ms < 0 && bin_stayed >= CARRIES_SHARE * bin_asked)
            sums.carries_ms = ms + STEP_MS;
        asked += bin_asked;
        stayed += bin_stayed;
        bin_asked = bin_stayed = 0;
    }
    for (unsigned e = 0; e < p.cold; e++) {
        unsigned most = most_in_a_second(p.arrivals[e]);
        sums.most = MAX(sums.most, most);
    }
    sums.mean = (double)stayed / p.cold * WP_MS_PER_S / PACE_COLD_MS;
    sums.elsewhere = asked ? 1 - (double)stayed / asked : 0;
    play_end(&p);
    return sums;
}
