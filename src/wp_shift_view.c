/* The operators' view of the running orders. */
#include "wp_shift_view.h"

#include <math.h>

typedef struct View {
    const WPShifts *shifts;
    WPTime now;
    json_t *orders;
} View;

/* JSON has no infinite numbers. */
static double finite_or_zero(double v)
{
    return isfinite(v) ? v : 0;
}

static json_t *odds(const WPCanarySums *v, const WPCanarySums *old,
                    const WPSpeedEvidence *speed)
{
    WPFailureEvidence e = wp_canary_sums_failures(v, old);
    return json_pack("{s:f,s:f,s:f,s:f,s:f}", "fails", e.log_odds,
                     "fails_everywhere", e.kinds[WP_FAILS_EVERYWHERE],
                     "fails_on_route", e.kinds[WP_FAILS_ON_ROUTE], "fails_late",
                     e.kinds[WP_FAILS_LATE], "slower",
                     finite_or_zero(speed->log_odds));
}

static void add_order(void *arg, WPShift *sh)
{
    View *view = arg;
    if (sh->state != WP_SHIFT_RUNNING)
        return;
    WPCanarySums v = wp_canary_pooled_sums(&sh->canary);
    WPCanarySums old = wp_canary_old_sums(&sh->canary);
    WPSpeedEvidence speed = wp_speed_compare(&v.speed, &v.old_speed);
    json_array_append_new(
        view->orders,
        json_pack("{s:s,s:s,s:s,s:f,s:I,s:I,s:s?,s:i,s:i,s:i,s:i,s:o,s:f,s:i}",
                  "service", sh->service, "version", sh->version, "stage",
                  wp_shift_stage(view->shifts, sh, view->now)->name, "share",
                  wp_shift_share(view->shifts, sh, view->now), "elapsed_ms",
                  (json_int_t)wp_elapsed_ms(&sh->elapsed, view->now),
                  "duration_ms", (json_int_t)sh->duration_ms, "waits",
                  sh->wait_reason, "answered", (int)v.answered, "failed",
                  (int)v.failed, "old_answered", (int)old.answered,
                  "old_failed", (int)old.failed, "odds", odds(&v, &old, &speed),
                  "slowdown", speed.expected_loss, "needed",
                  (int)wp_canary_sums_answers_needed(&v, &old)));
}

json_t *wp_shift_view(WPShifts *s, WPTime now)
{
    View view = { s, now, json_array() };
    wp_shifts_each(s, add_order, &view);
    return json_pack("{s:o}", "orders", view.orders);
}
