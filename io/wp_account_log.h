/* Log lines and metrics of an account. */
#ifndef WP_ACCOUNT_LOG_H
#define WP_ACCOUNT_LOG_H

#include "wp_account.h"
#include "wp_log.h"

/* Logs that an owner has to give way: what it holds, of how much, and against
   which limit. `who`: the workspace or the request that it is for, or the kind
   of its port. */
void wp_log_gives_way(WPLog *l, const WPAccount *a, const WPOwner *o,
                      const char *who);

/* Appends the account to a page of metrics. */
void wp_account_metrics(const WPAccount *a, const char *labels, GString *out);

#endif
