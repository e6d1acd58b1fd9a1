/* Roll-outs, led by a state chart in a file. Any box may carry one on: a step
 * is a change of configuration that holds only if nothing else was changed
 * since the revision it was decided on, so a late writer always loses. */
#ifndef WP_ROLLOUT_H
#define WP_ROLLOUT_H

#include "settings.pb-c.h"
#include "wp_quality.h"

/* How far ahead a new share takes effect, so that every box knows it when it
   does: the time to be in force everywhere, and clocks that differ. */
#define WP_SHARE_LEAD_MS 3000

/* Checks that states and targets exist; NULL and an error if not. */
Wp__Chart *wp_chart_read(WPStr text, const char *file, GError **error);
const Wp__ChartState *wp_chart_state(const Wp__Chart *c, const char *name);

/* Where `event` leads from `state`; NULL when it leads nowhere. */
const Wp__ChartState *wp_chart_next(const Wp__Chart *c, const char *state,
                                    const char *event);

/* What this box has seen itself of the roll-outs that it may carry on: since
   when each is in its state, by the monotonic clock, and how many ratings the
   new version had when the roll-out was first seen. Neither the time of day at
   which another box says that it entered the state nor ratings from before the
   roll-out open a gate. */
typedef struct WPWatch {
    GHashTable *seen; /* roll-out's name -> WPWatched */
} WPWatch;

void wp_watch_init(WPWatch *w);
void wp_watch_end(WPWatch *w);

/* To be called several times a second. */
void wp_watch_look(WPWatch *w, const WPPolicy *p, const WPQuality *q,
                   WPTime now);

/* Operations that carry one roll-out one step on, NULL when nothing is due.
   Free with wp_ops_free(). `why` is set to a line for the events. */
GPtrArray *wp_rollout_step(const Wp__Chart *c, const WPPolicy *p,
                           const WPQuality *q, const WPWatch *w, WPTime now,
                           char **why);

/* The operations of an operator's event ("pause", "resume", "abort") on the
   roll-out `name`, or NULL and an error. */
GPtrArray *wp_rollout_event(const Wp__Chart *c, const WPConfig *config,
                            const char *name, const char *event, WPTime now,
                            GError **error);

/* Operations that withdraw a version which has turned bad outside of any
   roll-out, if another can take its traffic; NULL when there is none. */
GPtrArray *wp_stop_bad(const WPPolicy *p, const WPQuality *q, WPTime now,
                       char **why);

/* The operations that set or lift a withdrawal; NULL and an error when the
   version is not configured. */
GPtrArray *wp_withdraw_ops(const WPConfig *c, const char *version,
                           bool withdrawn, WPTime now, GError **error);

#endif
