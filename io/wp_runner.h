/* The part of the agent daemon between entries and the endpoint: transfers
 * requests and answers and carries out the decisions of the agent. */
#ifndef WP_RUNNER_H
#define WP_RUNNER_H

#include "wp_agent.h"
#include "wp_host.h"

typedef struct WPRunner WPRunner;

/* Creates the runner and its agent and registers it as the role of the host.
   Returns NULL and sets `error` if the endpoint's address is malformed. */
WPRunner *wp_runner_new(WPHost *h, const Wp__AgentSettings *s, GError **error);

/* Ends all runs, removes the runner as the role of its host, and frees it. NULL
   does nothing. */
void wp_runner_free(WPRunner *r);

#endif
