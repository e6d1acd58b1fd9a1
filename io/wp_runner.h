/* The agent daemon's part between entries and the endpoint: it moves bytes
 * and does what the agent's decisions say. */
#ifndef WP_RUNNER_H
#define WP_RUNNER_H

#include "wp_agent.h"
#include "wp_host.h"

typedef struct WPRunner WPRunner;

WPRunner *wp_runner_new(WPHost *h, const Wp__AgentSettings *s, GError **error);
void wp_runner_free(WPRunner *r);

#endif
