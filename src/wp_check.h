/* Checks of a whole configuration before it is accepted. */
#ifndef WP_CHECK_H
#define WP_CHECK_H

#include "wp_policy.h"

/* What is wrong, a line each (of char *); empty when all is well. Free with
   g_ptr_array_unref(). Finds what wp_policy_problems() gives, workspaces that
   no version may serve, selectors that speak of version labels nobody sets,
   and values out of range. */
GPtrArray *wp_check(const WPConfig *c);

#endif
