/* Roll-outs of versions, driven by a state chart that is read from a file. Any
 * box may advance a roll-out. A step is a change of the configuration that is
 * accepted only if the configuration is still at the revision that the step was
 * decided on, so a box that writes late always fails. */
#ifndef WP_ROLLOUT_H
#define WP_ROLLOUT_H

#include "settings.pb-c.h"
#include "wp_quality.h"

/* Delay until a new share takes effect, so that every box knows it by then: it
   covers the time until a change is in force everywhere and the difference
   between the boxes' clocks. */
#define WP_SHARE_ACTIVATION_DELAY_MS 3000

/* Parses the chart in `text`; `file` is named in errors. Returns NULL and sets
   `error` if the text is malformed, or if the initial state or the target of a
   transition is not defined. Free the result with wp_pb_free(). */
Wp__Chart *wp_chart_read(WPStr text, const char *file, GError **error);

/* The state of this name; NULL if the chart has none. */
const Wp__ChartState *wp_chart_state(const Wp__Chart *c, const char *name);

/* The target of the transition from `state` on `event`; NULL if there is no
   such transition. */
const Wp__ChartState *wp_chart_next(const Wp__Chart *c, const char *state,
                                    const char *event);

/* This box's own observations on the roll-outs that it may advance: since
   when, by the monotonic clock, each of them is in its state, and how many
   ratings the new version had when the roll-out was first seen. A gate opens
   only on these: neither on the wall-clock time at which another box entered
   the state, nor on ratings from before the roll-out. */
typedef struct WPRolloutMonitor {
    GHashTable *observed; /* roll-out's name -> Observed */
} WPRolloutMonitor;

/* Begins without observations. */
void wp_rollout_monitor_init(WPRolloutMonitor *w);

/* Frees the observations, but not `w` itself. */
void wp_rollout_monitor_end(WPRolloutMonitor *w);

/* Updates the observations from the policy's roll-outs and the ratings in `q`.
   To be called several times a second. */
void wp_rollout_monitor_poll(WPRolloutMonitor *w, const WPPolicy *p,
                             const WPQuality *q, WPTime now);

/* The operations that advance one roll-out by one step; NULL if no step is due.
   Free them with wp_ops_free(). With a step, `*why` is set to a line for the
   event log, which is freed with g_free(). */
GPtrArray *wp_rollout_step(const Wp__Chart *c, const WPPolicy *p,
                           const WPQuality *q, const WPRolloutMonitor *w,
                           WPTime now, char **why);

/* The operations that apply an operator's event ("pause", "resume" or "abort")
   to the roll-out `name`. Returns NULL and sets `error` if there is no such
   roll-out, or no transition from its state on the event. */
GPtrArray *wp_rollout_event(const Wp__Chart *c, const WPConfig *config,
                            const char *name, const char *event, WPTime now,
                            GError **error);

/* The operations that withdraw a version which its ratings show to be bad,
   whether or not a roll-out leads to it. A version stays if it is the only one
   that some workspace may use for some kind of request. Returns NULL if there
   is nothing to withdraw; `*why` is set as by wp_rollout_step(). */
GPtrArray *wp_withdraw_bad_version(const WPPolicy *p, const WPQuality *q,
                                   WPTime now, char **why);

/* The operations that withdraw a version, or lift its withdrawal. Returns NULL
   and sets `error` if the version is not configured. */
GPtrArray *wp_withdraw_ops(const WPConfig *c, const char *version,
                           bool withdrawn, WPTime now, GError **error);

#endif
