/* What a new version gets before it is known to be good, against what the
 * operator allows a bad one. */
#include "shift_fake.h"
#include "test.h"

#include <math.h>

static const WPExposureLimit limits[] = { { 0.15, 30 },
                                          { 0.0975, 30 },
                                          { 0.15, 0 } };

/* A shift of the shipped chart, and the requests of its service. */
typedef struct Order {
    Fake fake;
    WPShift *shift;
    double total, on_new;
    double on_canary; /* of these, before the last stage */
} Order;

static void begin(Order *o, const WPExposureLimit *limit, int64_t duration_ms)
{
    g_autofree char *text = NULL;
    gsize n;
    memset(o, 0, sizeof(*o));
    assert_true(g_file_get_contents("charts/shift.yaml", &text, &n, NULL));
    fake_init_chart(&o->fake, text);
    wp_shifts_set_exposure(o->fake.d.shifts, limit);
    o->shift = start_shift(&o->fake);
    o->shift->duration_ms = duration_ms;
}

/* Serves `n` requests, evenly over all sessions, and counts their answers. */
static void serve(Order *o, double n)
{
    static const double step = 0.618034; /* any n successive units are even */
    double from = o->total;
    for (o->total += n; from < o->total; from++) {
        double unit = fmod(from * step, 1);
        bool on_new = wp_shift_routes_to_new(o->fake.d.shifts, o->shift,
                                             o->fake.now, unit, NULL);
        o->on_new += on_new;
        o->on_canary += on_new && !o->shift->gate_passed;
        record_answers(o->shift, on_new ? "v2" : "v1", on_new ? "n1" : "l1",
                       "r", 1, 0, 0);
    }
}

/* Plays the order's whole time, at `per_s` requests a second and known to
   `boxes` boxes, with a version that nothing is found of. */
static void play(Order *o, double per_s, unsigned boxes)
{
    double owed = 0;
    for (int64_t at = 0; at < o->shift->duration_ms; at += LOOK_MS) {
        g_autofree char *why = NULL;
        owed += per_s * LOOK_MS / WP_MS_PER_S;
        fake_advance(&o->fake, LOOK_MS);
        wp_shift_widen_canary(o->fake.d.shifts, o->shift, o->fake.now, boxes);
        if (at >= o->shift->duration_ms * 9 / 10)
            wp_shift_merge_gate_passed(o->shift);
        wp_shift_advance(o->fake.d.shifts, o->shift, o->fake.now, &why);
        serve(o, floor(owed));
        owed -= floor(owed);
    }
}

static Order play_order(const WPExposureLimit *limit, int64_t duration_ms,
                        double per_s, unsigned boxes)
{
    Order o;
    begin(&o, limit, duration_ms);
    play(&o, per_s, boxes);
    fake_end(&o.fake);
    return o;
}

/* Guards against a canary that gets more than a bad version may get. */
static void wider_canary_exceeds_the_limit(void **state)
{
    static const WPExposureLimit none = { 0, 0 };
    static const double rates[] = { 2, 5, 12, 36, 100, 300 };
    (void)state;
    for (size_t l = 0; l < WP_COUNT(limits); l++)
        for (size_t r = 0; r < WP_COUNT(rates); r++)
            for (int64_t ms = 8000; ms <= 25000; ms += 4250) {
                Order usual = play_order(&none, ms, rates[r], 1);
                Order o = play_order(&limits[l], ms, rates[r], 1);
                double most = limits[l].share * o.total + limits[l].slack;
                if (o.on_new > MAX(most, usual.on_new))
                    fail_msg("%.0f of %.0f requests, %.0f are allowed (%.0f a "
                             "second, %ld ms)",
                             o.on_new, o.total, most, rates[r], (long)ms);
            }
}

/* Guards against a small service of whose new version too few answers are seen
   to tell a slow one, although many more are allowed. */
static void canary_of_a_small_service_gets_few_requests(void **state)
{
    (void)state;
    Order o = play_order(&limits[0], 12000, 36, 1);
    Order usual = play_order(&limits[2], 12000, 36, 1);
    assert_true(o.on_canary >= usual.on_canary * 1.5);
}

/* Guards against a share that follows from a part of the requests: each box
   would plan with the whole slack. */
static void share_rises_where_boxes_are_not_heard(void **state)
{
    (void)state;
    Order o = play_order(&limits[0], 12000, 36, 2);
    Order usual = play_order(&limits[2], 12000, 36, 1);
    assert_true(o.on_canary <= usual.on_canary);
}

/* Guards against boxes that send the same session to different versions, as
   they know of different counts. */
static void share_of_another_box_is_not_taken_over(void **state)
{
    Order o;
    (void)state;
    begin(&o, &limits[2], DURATION_MS);
    fake_advance(&o.fake, LEAD_MS);
    assert_false(wp_shift_routes_to_new(o.fake.d.shifts, o.shift, o.fake.now,
                                        0.1, NULL));
    wp_shift_merge_canary_share(o.shift, 0.11);
    wp_shift_merge_canary_share(o.shift, 0.05);
    assert_true(wp_shift_routes_to_new(o.fake.d.shifts, o.shift, o.fake.now,
                                       0.1, NULL));
    fake_end(&o.fake);
}

TESTS_MAIN(T(wider_canary_exceeds_the_limit),
           T(canary_of_a_small_service_gets_few_requests),
           T(share_rises_where_boxes_are_not_heard),
           T(share_of_another_box_is_not_taken_over))
