/* Validation of a whole configuration before it is accepted. */
#ifndef WP_CONFIG_VALIDATE_H
#define WP_CONFIG_VALIDATE_H

#include "wp_policy.h"

/* Returns a message (char *) for each problem; the array is empty when there is
   none, and is freed with g_ptr_array_unref(). Finds what wp_policy_problems()
   reports, workspaces that no version may serve, selectors with labels that no
   version has, and values out of range. */
GPtrArray *wp_config_validate(const WPConfig *c);

#endif
