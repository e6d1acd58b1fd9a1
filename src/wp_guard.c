/* Guards that scenarios may disable, by their names in the settings. */
#include "wp_guard.h"

static const char *const names[] = {
#define X(name, text) text,
    WP_GUARD_LIST(X)
#undef X
};

bool wp_guard_is_disabled(const Wp__NodeSettings *s, WPGuard g)
{
    for (size_t i = 0; s->test_hooks && i < s->n_test_off; i++)
        if (!strcmp(s->test_off[i], names[g]))
            return true;
    return false;
}
